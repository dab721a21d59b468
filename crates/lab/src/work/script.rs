//! Scripts of machines out for work as files, in the operator's typed records; each fault with its place.

use crate::processes::records;
use linnetdeal_operator::{Diagnostics, unify};
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

/// The schema of scripts.
pub const SCHEMA: &str = include_str!("script.cue");

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Do {
    /// A plan is sent.
    Plan,
    /// Another call about work.
    Call,
    /// SIGKILL.
    Kill,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Go,
    /// A process starts from nothing.
    Start,
    /// A newer process takes the place of one that runs.
    Replace,
    /// SIGTERM, and its end.
    End,
    /// Nothing more comes from or to it after so many letters; then it is killed.
    DieAfter,
    /// Nothing passes between these and the others.
    Cut,
    /// Nothing passes between these and a server.
    CutWays,
    /// All ways are mended.
    Heal,
    /// A server dies.
    Fell,
    /// It is there again.
    Raise,
    /// Clients ask so much more, in percent.
    Load,
    /// The list says so of a server.
    List,
    /// A server is taken out by hand, or that is ended, at all poolers.
    ByHand,
    /// Time goes by.
    Wait,
    /// Waits until something is to be seen.
    Until,
    /// What becomes of all datagrams from now on.
    Noise,
    /// The worker ends nothing that it has begun, until it is freed.
    HangWorker,
    /// It goes on.
    FreeWorker,
    /// Whoever hands primaries over says no.
    DenyHandover,
    /// It does so again.
    GrantHandover,
}

/// A step.
#[derive(Clone, Debug, Deserialize)]
pub struct Step {
    /// What is done.
    #[serde(rename = "do")]
    pub what: Do,
    /// To which poolers.
    pub who: String,
    /// To which server.
    #[serde(rename = "what")]
    pub server: String,
    /// The words that go with it.
    pub text: String,
    /// The status that is to be answered; 0 for any.
    pub status: u16,
    /// For how long.
    #[serde(deserialize_with = "records::duration")]
    pub lasts: Duration,
    /// How many.
    pub count: usize,
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
    /// How many groups.
    pub groups: usize,
    /// Servers of each.
    pub members: usize,
    /// In so many zones.
    pub zones: usize,
    /// Clients of each pooler.
    pub clients: usize,
    /// The pause of each.
    #[serde(deserialize_with = "records::duration")]
    pub pause: Duration,
    /// What stands in the operator's file.
    pub work: String,
    /// How long work lasts.
    #[serde(deserialize_with = "records::duration")]
    pub lasts: Duration,
    /// What the list says of it.
    pub listed: String,
    /// Whether a relay stands between poolers and servers.
    pub ways: bool,
    /// Poolers that know nothing of work.
    pub old: Vec<usize>,
    /// How often the steps are done.
    pub rounds: usize,
    /// Whether the plan comes to its end.
    pub ends: bool,
    /// Machines that are not worked on.
    pub left: usize,
    /// Machines at work at once.
    pub all: usize,
    /// Of one zone.
    pub zone: usize,
    /// Of one group.
    pub group: usize,
    /// In so many zones.
    pub zones_at_once: usize,
    /// The share of requests served at least, in thousandths.
    pub served: u64,
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
        tree.decode().map_err(|fault| Diagnostics { file: name.to_owned(), diagnostics: vec![fault] })
    }

    /// All scripts of a folder, by name.
    ///
    /// # Errors
    ///
    /// When one can't be read, or something in it is wrong.
    pub fn read_folder(folder: &Path) -> Result<Vec<Self>, records::ScriptError> {
        records::read_folder(folder, |name, bytes| Ok(Self::decode(name, bytes)?))
    }
}
