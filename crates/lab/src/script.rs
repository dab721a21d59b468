//! Scripts: a fleet, a registry and what happens to them when.

use crate::eureka::AnswerMode;
use serde::{Deserialize, Serialize};

/// Something that happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// A box says itself that it drains, with a later stamp.
    Drain(String),
    /// A box says itself that it is up, with a later stamp.
    Up(String),
    /// A box says itself that it is starting, with a later stamp.
    Starting(String),
    /// Somebody sets a status over a box's own; the box's stamp stays.
    Override(String, String),
    /// Somebody takes that back; the box's stamp stays.
    Lift(String),
    /// A box leaves.
    Remove(String),
    /// A box of this id comes, with the role `primary` or `replica`.
    Come(String, String),
    /// A box starts again: later stamp, later start.
    Restart(String),
    /// A box of this id listens elsewhere from now on, by its own word.
    Move(String),
    /// Another box registers under this id, with the same stamp.
    Twin(String),
    /// Something registers outside of the networks in which boxes may lie.
    Outside(String),
    /// A box that is known says that it lies outside of them from now on.
    Stray(String),
    /// The registry loses its memory.
    Forget,
    /// All boxes that run register anew, one after another with so many ms between.
    Return(u64),
    /// A peer answers so from now on.
    Behave(usize, AnswerMode),
    /// A peer knows nothing newer than so many ms.
    Lag(usize, u64),
    /// The clock of the registry and of the boxes steps by so many ms.
    Step(i64),
    /// A box falls behind the log by so many ms.
    Behind(String, i64),
    /// A box goes down.
    Down(String),
    /// The pooler is told to end.
    Terminate,
}

/// When it happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// After so many ms.
    pub at: u64,
    /// What.
    #[serde(rename = "do")]
    pub act: Act,
}

/// What must come out, beside the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expect {
    /// The share of requests that is served, at least.
    pub served: f64,
    /// Boxes that get nothing in the last part of the run.
    pub idle: Vec<String>,
    /// Boxes that do get something there.
    pub busy: Vec<String>,
    /// What stands in the log.
    pub log: Vec<String>,
}

/// A script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// What it is about.
    pub about: String,
    /// How many boxes there are at the start; the first is the primary.
    #[serde(default = "four")]
    pub boxes: usize,
    /// How many peers the registry has.
    #[serde(default = "one")]
    pub peers: usize,
    /// How long it lasts, in ms.
    pub ms: u64,
    /// What else stands in the operator's record.
    #[serde(default)]
    pub operator: String,
    /// Whether peers write XML.
    #[serde(default)]
    pub xml: bool,
    /// What happens.
    pub steps: Vec<Step>,
    /// What must come out.
    #[serde(default)]
    pub expect: Expect,
}

fn four() -> usize {
    4
}

fn one() -> usize {
    1
}

/// Why a script can't be played.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// It can't be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// It is none.
    #[error("{0}: {1}")]
    Json(String, serde_json::Error),
}

impl Script {
    /// Reads scripts, one JSON object after another, from a file.
    ///
    /// # Errors
    ///
    /// When it can't be read, or holds something else.
    pub fn load(path: &std::path::Path) -> Result<Vec<Self>, ScriptError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ScriptError::Read(name.clone(), error))?;
        Self::parse(&text).map_err(|error| ScriptError::Json(name, error))
    }

    /// Reads scripts from a text.
    ///
    /// # Errors
    ///
    /// When something else stands in it.
    pub fn parse(text: &str) -> Result<Vec<Self>, serde_json::Error> {
        serde_json::Deserializer::from_str(text).into_iter().collect()
    }

    /// The scripts of the registry's proof.
    ///
    /// # Errors
    ///
    /// When one is wrong.
    pub fn eureka() -> Result<Vec<Self>, serde_json::Error> {
        Self::parse(include_str!("../scripts/eureka.json"))
    }
}
