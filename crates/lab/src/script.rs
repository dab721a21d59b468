//! Scripts of the registry tests: a fleet, a registry, timed events and the expected results.

use crate::eureka::AnswerMode;
use serde::{Deserialize, Serialize};

/// An event of a script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// A box reports that it is out of service, with a newer timestamp.
    Drain(String),
    /// A box reports that it is up, with a newer timestamp.
    Up(String),
    /// A box reports that it is starting, with a newer timestamp.
    Starting(String),
    /// The status of a box is overridden in the registry; the box's own timestamp stays.
    Override(String, String),
    /// The override is removed; the box's own timestamp stays.
    Lift(String),
    /// A box deregisters.
    Remove(String),
    /// A box with this id registers, with the role `primary` or `replica`.
    Come(String, String),
    /// A box restarts: it registers with a newer timestamp and a later start.
    Restart(String),
    /// A box reports another address, with a newer timestamp.
    Move(String),
    /// Another box registers with this id and the same timestamp.
    Twin(String),
    /// An instance registers with an address outside of the networks in which boxes may lie.
    Outside(String),
    /// A known box reports an address outside of these networks.
    Stray(String),
    /// The registry loses all registrations.
    Forget,
    /// All running boxes register again, one after another, with this pause in milliseconds.
    Return(u64),
    /// A peer of the registry changes how it answers.
    Behave(usize, AnswerMode),
    /// A peer lags: it knows nothing newer than this many milliseconds.
    Lag(usize, u64),
    /// The clock of the boxes steps by this many milliseconds.
    Step(i64),
    /// A box's replication lag becomes this many milliseconds.
    Behind(String, i64),
    /// A box closes all connections without an answer.
    Down(String),
    /// The pooler receives SIGTERM.
    Terminate,
}

/// A timed event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Milliseconds from the start of the script.
    pub at: u64,
    /// The event.
    #[serde(rename = "do")]
    pub act: Act,
}

/// The expected results, in addition to the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expect {
    /// The least share of requests that must be served.
    pub served: f64,
    /// Boxes that must receive no statement in the final phase of the run.
    pub idle: Vec<String>,
    /// Boxes that must receive statements in that phase.
    pub busy: Vec<String>,
    /// Texts that the pooler's log must contain.
    pub log: Vec<String>,
}

/// A script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// A description of what it tests.
    pub about: String,
    /// The number of boxes at the start, of which the first is the primary.
    #[serde(default = "four")]
    pub boxes: usize,
    /// The number of peers of the registry.
    #[serde(default = "one")]
    pub peers: usize,
    /// Its duration in milliseconds.
    pub ms: u64,
    /// Additional lines of the `registry` record in the operator's file.
    #[serde(default)]
    pub operator: String,
    /// Whether the peers answer in XML instead of JSON.
    #[serde(default)]
    pub xml: bool,
    /// The events, by time.
    pub steps: Vec<Step>,
    /// The expected results.
    #[serde(default)]
    pub expect: Expect,
}

fn four() -> usize {
    4
}

fn one() -> usize {
    1
}

/// The reason why scripts could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The file could not be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The file does not contain scripts.
    #[error("{0}: {1}")]
    Json(String, serde_json::Error),
}

impl Script {
    /// Reads scripts, one JSON object after another, from a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or contains anything else.
    pub fn load(path: &std::path::Path) -> Result<Vec<Self>, ScriptError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ScriptError::Read(name.clone(), error))?;
        Self::parse(&text).map_err(|error| ScriptError::Json(name, error))
    }

    /// Parses scripts, one JSON object after another.
    ///
    /// # Errors
    ///
    /// If the text contains anything else.
    pub fn parse(text: &str) -> Result<Vec<Self>, serde_json::Error> {
        serde_json::Deserializer::from_str(text).into_iter().collect()
    }

    /// The built-in scripts of the registry tests.
    ///
    /// # Errors
    ///
    /// If the built-in file is invalid.
    pub fn eureka() -> Result<Vec<Self>, serde_json::Error> {
        Self::parse(include_str!("../scripts/eureka.json"))
    }
}
