//! Scenarios as files: typed records in the operator's form, each fault with its place.

use linnetdeal_core::Span;
use linnetdeal_operator::{Fault, Faults, Tree, unify};
use serde::{Deserialize, Deserializer};

/// The schema of scenarios.
pub const SCHEMA: &str = include_str!("schema.cue");
/// The most boxes and the most poolers times the boxes that each knows, as memory is.
const MOST_BOXES: usize = 100_000;
const MOST_KNOWN: usize = 30_000_000;

fn span<'de, D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
    let text = String::deserialize(from)?;
    let unit = text.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(text.len());
    let number: i64 = text[..unit].parse().map_err(serde::de::Error::custom)?;
    let us = match &text[unit..] {
        "us" => 1,
        "ms" => 1_000,
        "s" => 1_000_000,
        _ => 60_000_000,
    };
    Ok(Span(number.saturating_mul(us)))
}

fn maybe<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Span>, D::Error> {
    span(from).map(Some)
}

/// Whom a trouble befalls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Who {
    /// A group's primary at that moment.
    Primary,
    /// A group's replica of this number at that moment.
    Replica(usize),
    /// A share of all boxes.
    Boxes(f64),
    /// A share of the poolers.
    Poolers(f64),
}

impl<'de> Deserialize<'de> for Who {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let (what, number) = text.split_once(' ').unwrap_or((&text, "0"));
        let wrong = || serde::de::Error::custom(format!("nobody is called '{text}'"));
        match what {
            "primary" => Ok(Self::Primary),
            "replica" => number.parse().map(Self::Replica).map_err(|_| wrong()),
            "boxes" => number.parse().map(Self::Boxes).map_err(|_| wrong()),
            "poolers" => number.parse().map(Self::Poolers).map_err(|_| wrong()),
            _ => Err(wrong()),
        }
    }
}

/// What goes wrong, or is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ill {
    /// The process ends; a box comes back cold and goes on from where it stood.
    Crash,
    /// It stands still, with its connections open.
    Pause,
    /// New work takes longer.
    Slow,
    /// The log is applied more slowly.
    Lag,
    /// The primary hands over by plan, or a replica takes nothing new.
    Drain,
    /// Clients ask more.
    Surge,
}

/// A trouble.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Trouble {
    /// When.
    #[serde(deserialize_with = "span")]
    pub at: Span,
    /// What.
    pub what: Ill,
    /// Whom.
    pub who: Who,
    /// The first so many groups.
    pub groups: usize,
    /// For how long.
    #[serde(default, deserialize_with = "maybe")]
    pub lasts: Option<Span>,
    /// By how much.
    pub factor: f64,
    /// How far apart those are that are befallen.
    #[serde(deserialize_with = "span")]
    pub apart: Span,
}

/// How large the fleet is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Fleet {
    /// Groups.
    pub groups: usize,
    /// Boxes in each.
    pub members: usize,
    /// Poolers.
    pub poolers: usize,
    /// Zones.
    pub zones: usize,
    /// Groups that a pooler serves; 0 for all.
    pub reach: usize,
    /// Whether an operator told poolers how long changes of primary take.
    pub expected: bool,
}

/// What boxes are like.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Boxes {
    /// Cores of each.
    pub cores: usize,
    /// Of a core.
    pub speed: f64,
    /// How much may wait.
    pub room: usize,
    /// How much longer work takes in a full room.
    pub crowding: f64,
    /// How much they differ in speed.
    pub spread: f64,
    /// Until a replica has a commit.
    #[serde(deserialize_with = "span")]
    pub ship: Span,
    /// What applying one takes.
    #[serde(deserialize_with = "span")]
    pub apply: Span,
    /// Until a dead primary is given up.
    #[serde(deserialize_with = "span")]
    pub detect: Span,
    /// Until another has taken over.
    #[serde(deserialize_with = "span")]
    pub elect: Span,
    /// What a planned change takes.
    #[serde(deserialize_with = "span")]
    pub switch: Span,
    /// How old a report gets.
    #[serde(deserialize_with = "span")]
    pub report: Span,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Traffic {
    /// Requests a second; 0 for what keeps the fleet at `load`.
    pub rate: f64,
    /// The part of what primaries or boxes can do, whichever binds.
    pub load: f64,
    /// For how long.
    #[serde(deserialize_with = "span")]
    pub lasts: Span,
    /// Sessions.
    pub sessions: u64,
    /// How uneven they are.
    pub zipf: f64,
    /// Retries.
    pub retries: u32,
}

/// The network and the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Network {
    /// One way in a zone.
    #[serde(deserialize_with = "span")]
    pub same: Span,
    /// One way between zones.
    #[serde(deserialize_with = "span")]
    pub cross: Span,
    /// The list is late by this at the least,
    #[serde(deserialize_with = "span")]
    pub list_least: Span,
    /// and by this at the most.
    #[serde(deserialize_with = "span")]
    pub list_most: Span,
}

/// What has to come out.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Checks {
    /// The share of first tries that were served.
    pub served: f64,
    /// The same of writes.
    pub writes: f64,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What all chance in it comes from.
    pub seed: u64,
    /// How large the fleet is.
    pub fleet: Fleet,
    /// What boxes are like.
    #[serde(rename = "box")]
    pub boxes: Boxes,
    /// What is asked.
    pub traffic: Traffic,
    /// The network and the list.
    pub network: Network,
    /// What goes wrong.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    /// What has to come out.
    pub checks: Checks,
}

impl Scenario {
    /// Decodes a file's text; `name` is the file's, for its faults.
    ///
    /// # Errors
    ///
    /// When something in it is wrong.
    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, Faults> {
        let tree = unify(SCHEMA, name, bytes)?;
        let faults = |faults: Vec<Fault>| Faults { file: name.to_owned(), faults };
        let scenario: Self = tree.decode().map_err(|fault| faults(vec![fault]))?;
        let wrong = scenario.check(&tree);
        if wrong.is_empty() { Ok(scenario) } else { Err(faults(wrong)) }
    }

    /// What no schema can check.
    fn check(&self, tree: &Tree) -> Vec<Fault> {
        let mut wrong = Vec::new();
        let mut fault = |path: &str, what: String| wrong.push(tree.fault(path, what));
        let Fleet { groups, members, poolers, reach, .. } = self.fleet;
        let boxes = groups * members;
        if boxes > MOST_BOXES {
            fault(
                "fleet.groups",
                format!("{groups} groups of {members} are {boxes} boxes, and {MOST_BOXES} can be"),
            );
        }
        let known = poolers * members * if reach == 0 { groups } else { reach.min(groups) };
        if known > MOST_KNOWN {
            fault(
                "fleet.poolers",
                format!("they would know {known} boxes, and {MOST_KNOWN} can be; set 'reach'"),
            );
        }
        if reach > groups {
            fault("fleet.reach", format!("there are only {groups} groups"));
        }
        if self.network.list_least > self.network.list_most {
            fault("network.list_most", "it is less than 'list_least'".into());
        }
        if self.traffic.lasts.0 == 0 {
            fault("traffic.lasts", "nobody would ask anything".into());
        }
        for (at, trouble) in self.troubles.iter().enumerate() {
            let path = format!("troubles[{at}]");
            if trouble.groups > groups {
                fault(&format!("{path}.groups"), format!("there are only {groups}"));
            }
            if matches!(trouble.who, Who::Replica(number) if number + 1 >= members) {
                fault(&format!("{path}.who"), format!("a group has {} replicas, from 0", members - 1));
            }
            if trouble.at >= self.traffic.lasts {
                fault(&format!("{path}.at"), "nobody asks any more by then".into());
            }
            let poolers = matches!(trouble.who, Who::Poolers(_));
            if poolers && !matches!(trouble.what, Ill::Crash | Ill::Surge) {
                fault(&format!("{path}.what"), "poolers can crash, and nothing else".into());
            }
        }
        wrong
    }
}
