//! Scripts of leases as files, in the operator's typed records; each fault with its place.

use crate::processes::records;
use linnetdeal_operator::{Diagnostics, unify};
use serde::{Deserialize, Deserializer};
use std::path::Path;
use std::time::Duration;

/// The schema of scripts.
pub const SCHEMA: &str = include_str!("script.cue");

/// Whom a step befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whom {
    /// The pooler of this number.
    Number(usize),
    /// Who acts.
    Holder,
    /// A voter that does not act.
    Voter,
    /// A pooler that does not act.
    Other,
    /// All voters.
    Voters,
    /// Who acts, with as many voters as are no majority.
    SmallSide,
    /// Whom the step before named.
    Same,
    /// Everybody.
    All,
}

impl<'de> Deserialize<'de> for Whom {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        Ok(match text.as_str() {
            "holder" => Self::Holder,
            "voter" => Self::Voter,
            "other" => Self::Other,
            "voters" => Self::Voters,
            "small-side" => Self::SmallSide,
            "same" => Self::Same,
            "all" => Self::All,
            number => Self::Number(number.parse().map_err(serde::de::Error::custom)?),
        })
    }
}

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Do {
    /// A process starts from nothing, in place of one that runs.
    Start,
    /// SIGKILL.
    Kill,
    /// SIGTERM, and its end.
    End,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Go,
    /// Nothing passes between these and the others.
    Cut,
    /// All ways are mended.
    Heal,
    /// What becomes of all datagrams from now on.
    Noise,
    /// The task is given up, by a call.
    Release,
    /// The task is handed to a pooler, by a call.
    Hand,
    /// Calls of these come late to the gate.
    HoldGate,
    /// Time goes by.
    Wait,
    /// A pooler is told to want the task.
    Seize,
    /// A newer process takes the place of one that runs, which ends.
    Replace,
    /// A second process of the same name starts beside the first.
    Twin,
}

/// What must follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Then {
    /// Nothing.
    #[default]
    #[serde(rename = "")]
    Nothing,
    /// Somebody acts with a new token.
    Takeover,
    /// The same one goes on with its token.
    Same,
    /// From one term later on, for the step's time, nobody begins an act.
    Nobody,
}

/// A step.
#[derive(Clone, Debug, Deserialize)]
pub struct Step {
    /// What is done.
    #[serde(rename = "do")]
    pub what: Do,
    /// To whom.
    pub who: Whom,
    /// Whom it is handed to.
    pub to: Whom,
    /// `in`, `out` or `both`.
    pub way: String,
    /// For how long.
    #[serde(deserialize_with = "records::duration")]
    pub lasts: Duration,
    /// Datagrams lost, in a thousand.
    pub lost: u32,
    /// Datagrams that come twice.
    pub doubled: u32,
    /// Datagrams with a bit flipped.
    pub flipped: u32,
    /// Datagrams late by up to so many milliseconds.
    pub late: u32,
    /// A clock that runs wrong.
    pub bend: String,
    /// Another version of the voters; 0 for the script's.
    pub version: u32,
    /// Another key.
    pub key: String,
    /// The voters from here on; none for those there are.
    pub voters: Vec<usize>,
    /// Who voted before these.
    pub previous: Vec<Vec<usize>>,
    /// What must follow.
    pub then: Then,
}

/// A script.
#[derive(Clone, Debug, Deserialize)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// For all that is by chance.
    pub seed: u64,
    /// How many poolers.
    pub poolers: usize,
    /// Who votes.
    pub voters: Vec<usize>,
    /// Who voted.
    pub previous: Vec<Vec<usize>>,
    /// The task's term.
    #[serde(deserialize_with = "records::duration")]
    pub term: Duration,
    /// The stated drift, in a thousand.
    pub drift: u16,
    /// How long an act lasts.
    #[serde(deserialize_with = "records::duration")]
    pub lasts: Duration,
    /// How long it is to the next.
    #[serde(deserialize_with = "records::duration")]
    pub every: Duration,
    /// How often the steps are done.
    pub rounds: usize,
    /// Whether late acts may come to the gate.
    pub late_acts: bool,
    /// Whether the gate turns old tokens away.
    pub gate: bool,
    /// The steps.
    pub steps: Vec<Step>,
}

impl Script {
    /// Reads a script's text; `name` is its file's.
    ///
    /// # Errors
    ///
    /// When something in it is wrong.
    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, Diagnostics> {
        let tree = unify(SCHEMA, name, bytes)?;
        let fault = |path: &str, what: String| Diagnostics {
            file: name.to_owned(),
            diagnostics: vec![tree.diagnostic(path, what)],
        };
        let script: Self =
            tree.decode().map_err(|fault| Diagnostics { file: name.to_owned(), diagnostics: vec![fault] })?;
        if let Some(voter) = script.voters.iter().find(|voter| **voter >= script.poolers) {
            return Err(fault("voters", format!("there is no pooler {voter}")));
        }
        for (at, step) in script.steps.iter().enumerate() {
            for (field, whom) in [("who", step.who), ("to", step.to)] {
                if matches!(whom, Whom::Number(number) if number >= script.poolers) {
                    return Err(fault(&format!("steps[{at}].{field}"), "there is no such pooler".into()));
                }
            }
        }
        Ok(script)
    }

    /// All scripts of a folder, by name.
    ///
    /// # Errors
    ///
    /// When one can't be read, or something in it is wrong.
    pub fn folder(folder: &Path) -> Result<Vec<Self>, records::ScriptError> {
        records::read_folder(folder, |name, bytes| Ok(Self::decode(name, bytes)?))
    }
}
