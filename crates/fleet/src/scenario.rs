//! Scenarios as files: typed records in the operator's form, each fault with its place.

use linnetdeal_core::Span;
use linnetdeal_operator::{Diagnostic, Diagnostics, Tree, unify};
use serde::{Deserialize, Deserializer};

/// The schema of scenarios.
pub const SCHEMA: &str = include_str!("schema.cue");
/// The most boxes and the most poolers times the boxes that each knows, as memory is.
const MOST_BOXES: usize = 100_000;
const MOST_KNOWN: usize = 30_000_000;
/// Charts have a line for each class, and service is counted by second, tenant and class.
const MOST_CLASSES: usize = 5;
const MOST_TENANTS: usize = 64;

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
pub enum Target {
    /// A group's primary at that moment.
    Primary,
    /// A group's replica of this number at that moment.
    Replica(usize),
    /// A share of all boxes.
    Boxes(f64),
    /// A share of the poolers.
    Poolers(f64),
    /// The list.
    List,
}

impl<'de> Deserialize<'de> for Target {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let (what, number) = text.split_once(' ').unwrap_or((&text, "0"));
        let wrong = || serde::de::Error::custom(format!("nobody is called '{text}'"));
        match what {
            "primary" => Ok(Self::Primary),
            "replica" => number.parse().map(Self::Replica).map_err(|_| wrong()),
            "boxes" => number.parse().map(Self::Boxes).map_err(|_| wrong()),
            "poolers" => number.parse().map(Self::Poolers).map_err(|_| wrong()),
            "list" => Ok(Self::List),
            _ => Err(wrong()),
        }
    }
}

/// What goes wrong, or is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TroubleKind {
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
    /// It stands still, and goes on taking connections, requests and probes; only probes are answered.
    Hang,
    /// It drains, its process ends, and a successor starts cold.
    Deploy,
    /// The list runs further behind.
    Stale,
    /// The service that has the list ends all watches, and each call takes it longer.
    Overbook,
}

/// A trouble.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Trouble {
    /// When.
    #[serde(deserialize_with = "span")]
    pub at: Span,
    /// What.
    pub what: TroubleKind,
    /// Whom.
    pub who: Target,
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
    /// From the end of a process until its successor runs.
    #[serde(deserialize_with = "span")]
    pub away: Span,
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
    /// Whether a request may have two attempts out.
    pub second_copies: bool,
    /// Whether poolers are told of the end of what they call off.
    pub cancels: bool,
    /// The grace of drains.
    #[serde(deserialize_with = "span")]
    pub grace: Span,
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
    /// Whether reports tell how many requests wait.
    pub report_queue: bool,
    /// Beyond so many held for each core work takes longer,
    pub thrash_at: f64,
    /// by this part of itself from twice as many on.
    pub thrash: f64,
    /// Work of a probe.
    #[serde(deserialize_with = "span")]
    pub probe_work: Span,
    /// Work of a handshake.
    #[serde(deserialize_with = "span")]
    pub handshake_work: Span,
    /// What a handshake takes beside its round trips.
    #[serde(deserialize_with = "span")]
    pub handshake: Span,
    /// Whether a box turns away a read that it is too far behind for.
    pub checks: bool,
    /// The share of its capacity that a box starts with.
    pub cold_from: f64,
    /// When it is warm.
    #[serde(deserialize_with = "span")]
    pub cold_in: Span,
    /// Cold, it falls when it is sent more than so many times its capacity
    pub fall_multiple: f64,
    /// for so long.
    #[serde(deserialize_with = "span")]
    pub fall_for: Span,
}

impl Boxes {
    /// A cold box's share of its capacity, and when it has all.
    #[must_use]
    pub fn cold(&self) -> (f64, Span) {
        (self.cold_from, self.cold_in)
    }

    /// The multiple of its capacity at which a cold box falls, and after how long.
    #[must_use]
    pub fn fall(&self) -> (f64, Span) {
        (self.fall_multiple, self.fall_for)
    }
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
    /// Whether a session's read says when its last write was committed.
    pub tokens_carried: bool,
    /// The worth of what is beyond its tenant's share, as a part of the usual.
    pub over_share: f64,
    /// What all shares are together, as a part of what the fleet can do.
    pub quota: f64,
}

/// How a client's waits between its tries go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RetryWait {
    /// Each is drawn alike.
    Fixed,
    /// Each is drawn from twice as much as the one before.
    Exponential,
}

/// What clients do that are refused, failed or not answered.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Clients {
    /// How they wait.
    pub wait: RetryWait,
    /// The least and
    #[serde(deserialize_with = "span")]
    pub wait_least: Span,
    /// the most of the first wait.
    #[serde(deserialize_with = "span")]
    pub wait_most: Span,
    /// The share of those who heed a retry-after.
    pub heeds: f64,
    /// The least part of the deadline that a try lasts; 1 for all of it.
    pub patience: f64,
    /// Whether they mark their retries.
    pub marks: bool,
}

/// What data a class needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DataNeed {
    /// Any member's.
    Any,
    /// No older than its bound.
    Bounded,
    /// All that its session wrote.
    Session,
    /// All that was committed.
    Fresh,
    /// It is a write.
    Write,
}

/// How the work of a class is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkDistribution {
    /// Exponentially.
    Exponential,
    /// Lognormally.
    Lognormal,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// What data it needs.
    pub need: DataNeed,
    /// How old that may be.
    #[serde(deserialize_with = "span")]
    pub bound: Span,
    /// Its part of all requests, beside those of the others.
    pub share: f64,
    /// The mean work.
    #[serde(deserialize_with = "span")]
    pub work: Span,
    /// How that is spread.
    pub spread: WorkDistribution,
    /// The deviation as a part of the mean.
    pub cv: f64,
    /// Answered within this it has its full worth.
    #[serde(deserialize_with = "span")]
    pub aim: Span,
    /// How long a client waits, over all tries.
    #[serde(deserialize_with = "span")]
    pub deadline: Span,
    /// What one is worth.
    pub worth: f64,
    /// The part of that which it has after the aim.
    pub late_worth: f64,
    /// Whether it must never run twice.
    pub once: bool,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its part of what all may ask.
    pub share: f64,
    /// What it asks, as a multiple of that.
    pub usage: f64,
}

/// How poolers come by the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct List {
    /// Whether it has to be asked.
    pub asked: bool,
    /// What a call takes the service.
    #[serde(deserialize_with = "span")]
    pub call: Span,
    /// A call fails that has waited longer.
    #[serde(deserialize_with = "span")]
    pub wait: Span,
    /// News go out so often.
    #[serde(deserialize_with = "span")]
    pub every: Span,
    /// Whether it shows who is primary.
    pub roles: bool,
}

/// What a run records, and is held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AuditLevel {
    /// Requests and attempts.
    Usual,
    /// Clients' tries and the way of jobs through boxes, too.
    Full,
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
    /// The worth served within the aims, of what was asked for.
    pub service: f64,
    /// The same in the worst 10 s.
    pub worst: f64,
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
    /// What clients do.
    pub clients: Clients,
    /// How poolers come by the list.
    pub list: List,
    /// Classes; none for those of [`crate::traffic::portal`].
    #[serde(default)]
    pub classes: Vec<ClassSpec>,
    /// Customers; none where nobody counts them.
    #[serde(default)]
    pub tenants: Vec<TenantSpec>,
    /// What is recorded.
    pub audit: AuditLevel,
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
    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, Diagnostics> {
        Self::decode_in("", name, bytes)
    }

    /// The same of a file that may use the definitions of `world`, a file of the same package beside it.
    ///
    /// # Errors
    ///
    /// When something in either is wrong.
    pub fn decode_in(world: &str, name: &str, bytes: &[u8]) -> Result<Self, Diagnostics> {
        let shared: Vec<&str> = world.lines().filter(|line| !line.starts_with("package ")).collect();
        let tree = unify(&format!("{SCHEMA}\n{}\n", shared.join("\n")), name, bytes)?;
        let faults = |faults: Vec<Diagnostic>| Diagnostics { file: name.to_owned(), diagnostics: faults };
        let scenario: Self = tree.decode().map_err(|fault| faults(vec![fault]))?;
        let wrong = scenario.check(&tree);
        if wrong.is_empty() { Ok(scenario) } else { Err(faults(wrong)) }
    }

    /// What in it only virtual time has, if anything.
    #[must_use]
    pub fn unsupported_on_sockets(&self) -> Option<&'static str> {
        let troubles = |of: &Trouble| {
            matches!(
                of.what,
                TroubleKind::Hang | TroubleKind::Deploy | TroubleKind::Stale | TroubleKind::Overbook
            )
        };
        let (boxes, traffic, clients) = (&self.boxes, &self.traffic, &self.clients);
        let all = [
            (!self.classes.is_empty(), "own classes"),
            (!self.tenants.is_empty(), "tenants"),
            (self.list.asked || !self.list.roles, "a list that is asked, or shows no roles"),
            (self.fleet.second_copies || self.fleet.cancels, "second copies and cancels"),
            (
                boxes.checks || boxes.report_queue || traffic.tokens_carried,
                "checks, queues and carried tokens",
            ),
            (clients.heeds < 1.0 || clients.patience < 1.0, "clients that don't heed or wait"),
            (clients.marks, "marks of retries"),
            (self.audit == AuditLevel::Full, "the full audit"),
            (self.troubles.iter().any(troubles), "such a trouble"),
        ];
        all.into_iter().find(|(is, _)| *is).map(|(_, what)| what)
    }

    /// What no schema can check.
    fn check(&self, tree: &Tree) -> Vec<Diagnostic> {
        let mut wrong = Vec::new();
        let mut fault = |path: &str, what: String| wrong.push(tree.diagnostic(path, what));
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
            if matches!(trouble.who, Target::Replica(number) if number + 1 >= members) {
                fault(&format!("{path}.who"), format!("a group has {} replicas, from 0", members - 1));
            }
            if trouble.at >= self.traffic.lasts {
                fault(&format!("{path}.at"), "nobody asks any more by then".into());
            }
            let poolers = matches!(trouble.who, Target::Poolers(_));
            if poolers && !matches!(trouble.what, TroubleKind::Crash | TroubleKind::Surge) {
                fault(&format!("{path}.what"), "poolers can crash, and nothing else".into());
            }
            let lists = matches!(trouble.what, TroubleKind::Stale | TroubleKind::Overbook);
            if lists != (trouble.who == Target::List) {
                fault(
                    &format!("{path}.who"),
                    "'stale' and 'overbook' befall the list, and nothing else does".into(),
                );
            }
            if trouble.what == TroubleKind::Overbook && !self.list.asked {
                fault(&format!("{path}.what"), "nobody asks this list".into());
            }
            if trouble.what == TroubleKind::Deploy && trouble.lasts.is_none() {
                fault(&path, "a deploy needs 'lasts', which is how long a box drains".into());
            }
        }
        if self.clients.wait_least > self.clients.wait_most {
            fault("clients.wait_most", "it is less than 'wait_least'".into());
        }
        if self.list.asked && (self.list.call.0 == 0 || self.list.every.0 == 0) {
            fault("list", "'call' and 'every' take some time".into());
        }
        if self.classes.len() > MOST_CLASSES || self.classes.len() == 1 {
            fault("classes", format!("there can be from 2 to {MOST_CLASSES}, or none"));
        }
        for (at, class) in self.classes.iter().enumerate() {
            if (class.need == DataNeed::Write) != (at + 1 == self.classes.len()) {
                fault(&format!("classes[{at}].need"), "the last class takes writes, and no other".into());
            }
            if class.aim > class.deadline || class.work.0 == 0 {
                fault(&format!("classes[{at}]"), "it has work, and a deadline no sooner than its aim".into());
            }
        }
        if self.tenants.len() > MOST_TENANTS {
            fault("tenants", format!("there can be {MOST_TENANTS}"));
        }
        wrong
    }
}
