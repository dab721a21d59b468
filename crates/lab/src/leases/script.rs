//! Lease scripts: files in the operator's typed record format. Every error in a script is reported with its
//! position.

use crate::processes::records;
use linnetdeal_operator::{Diagnostics, unify};
use serde::{Deserialize, Deserializer};
use std::path::Path;
use std::time::Duration;

/// Schema of the scripts.
pub const SCHEMA: &str = include_str!("script.cue");

/// The poolers that a step applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The pooler of this number.
    Number(usize),
    /// The pooler that holds the task.
    Holder,
    /// A random voter that does not hold the task.
    Voter,
    /// A random pooler that does not hold the task.
    Other,
    /// All voters.
    Voters,
    /// The holder with further voters, up to the largest minority of the voters.
    SmallSide,
    /// The poolers of the previous step that applied to any.
    Same,
    /// All poolers.
    All,
}

impl<'de> Deserialize<'de> for Target {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
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

/// Action of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Starts a new process; one that still runs is killed first.
    Start,
    /// Sends SIGKILL.
    Kill,
    /// Sends SIGTERM and waits until the process has exited.
    End,
    /// Sends SIGSTOP.
    Stop,
    /// Sends SIGCONT.
    Go,
    /// Cuts the links between these poolers and all others.
    Cut,
    /// Restores all links.
    Heal,
    /// Sets the loss, duplication, corruption and delay of all datagrams from now on.
    Noise,
    /// Releases the task through the operator's API.
    Release,
    /// Hands the task to a pooler through the operator's API.
    Hand,
    /// Delays the calls of these poolers at the gate.
    HoldGate,
    /// Waits.
    Wait,
    /// Asks a pooler through the operator's API to acquire the task.
    Seize,
    /// Replaces a running process with a newer one; the old one exits.
    Replace,
    /// Starts a second process of the same name beside the first.
    Twin,
}

/// What must follow a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expectation {
    /// Nothing is expected.
    #[default]
    #[serde(rename = "")]
    Nothing,
    /// A pooler acts with a new token.
    Takeover,
    /// The same holder continues with its token.
    Same,
    /// After one term, no act begins for the duration of the step.
    Nobody,
}

/// A step of a script.
#[derive(Clone, Debug, Deserialize)]
pub struct Step {
    /// Action of a step.
    #[serde(rename = "do")]
    pub what: Action,
    /// The poolers that the step applies to.
    pub who: Target,
    /// The pooler that the task is handed to.
    pub to: Target,
    /// Direction of a cut: `in`, `out` or `both`.
    pub way: String,
    /// Duration of a wait, of a delay at the gate, or of [`Expectation::Nobody`].
    #[serde(deserialize_with = "records::duration")]
    pub lasts: Duration,
    /// Datagrams lost, per thousand.
    pub lost: u32,
    /// Datagrams delivered twice, per thousand.
    pub doubled: u32,
    /// Datagrams with a flipped bit, per thousand.
    pub flipped: u32,
    /// Maximum delay of datagrams, in milliseconds.
    pub late: u32,
    /// Clock error of the started process, passed in `LINNETDEAL_BEND`; empty for none.
    pub bend: String,
    /// Version of the voter set; 0 for the current one.
    pub version: u32,
    /// Key of the datagrams; empty for the default.
    pub key: String,
    /// Voters from this step on; empty keeps the current ones.
    pub voters: Vec<usize>,
    /// Earlier sets of voters that go with `voters`.
    pub previous: Vec<Vec<usize>>,
    /// What must follow a step.
    pub then: Expectation,
}

/// A script of leases.
#[derive(Clone, Debug, Deserialize)]
pub struct Script {
    /// Name of the script.
    pub name: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of poolers.
    pub poolers: usize,
    /// The voters at the start.
    pub voters: Vec<usize>,
    /// Earlier sets of voters.
    pub previous: Vec<Vec<usize>>,
    /// Term of the task.
    #[serde(deserialize_with = "records::duration")]
    pub term: Duration,
    /// Stated clock drift, in thousandths.
    pub drift: u16,
    /// Duration of an act.
    #[serde(deserialize_with = "records::duration")]
    pub lasts: Duration,
    /// Interval between acts.
    #[serde(deserialize_with = "records::duration")]
    pub every: Duration,
    /// Number of times that the steps are run.
    pub rounds: usize,
    /// Whether acts may reach the gate after a later token was seen.
    pub late_acts: bool,
    /// Whether the gate rejects old tokens.
    pub gate: bool,
    /// Steps of each round.
    pub steps: Vec<Step>,
}

impl Script {
    /// Decodes the text of a script; `name` is the file name used in diagnostics.
    ///
    /// # Errors
    ///
    /// When the script does not fit the schema, or names a pooler that does not exist.
    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, Diagnostics> {
        let tree = unify(SCHEMA, name, bytes)?;
        let invalid = |path: &str, message: String| Diagnostics {
            file: name.to_owned(),
            diagnostics: vec![tree.diagnostic(path, message)],
        };
        let script: Self = tree
            .decode()
            .map_err(|diagnostic| Diagnostics { file: name.to_owned(), diagnostics: vec![diagnostic] })?;
        if let Some(voter) = script.voters.iter().find(|voter| **voter >= script.poolers) {
            return Err(invalid("voters", format!("there is no pooler {voter}")));
        }
        for (index, step) in script.steps.iter().enumerate() {
            for (field, target) in [("who", step.who), ("to", step.to)] {
                if matches!(target, Target::Number(number) if number >= script.poolers) {
                    return Err(invalid(
                        &format!("steps[{index}].{field}"),
                        "there is no such pooler".into(),
                    ));
                }
            }
        }
        Ok(script)
    }

    /// Reads all scripts of a folder, sorted by name.
    ///
    /// # Errors
    ///
    /// When a script can't be read or is invalid.
    pub fn read_folder(folder: &Path) -> Result<Vec<Self>, records::ScriptError> {
        records::read_folder(folder, |name, bytes| Ok(Self::decode(name, bytes)?))
    }
}
