//! Scripts of maintenance work: files in the operator's typed record format. Every error in a script is
//! reported with its position.

use crate::processes::records;
use linnetdeal_operator::{Diagnostics, unify};
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

/// Schema of the scripts.
pub const SCHEMA: &str = include_str!("script.cue");

/// Action of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Sends a plan.
    Plan,
    /// Sends another command of the maintenance API.
    Call,
    /// Sends SIGKILL.
    Kill,
    /// Sends SIGSTOP.
    Stop,
    /// Sends SIGCONT.
    Go,
    /// Starts a new process; one that still runs is killed first.
    Start,
    /// Replaces a running process with a newer one.
    Replace,
    /// Sends SIGTERM and waits until the process has exited.
    End,
    /// Isolates the leader after a number of datagrams, then kills it.
    DieAfter,
    /// Cuts the links between these poolers and all others.
    Cut,
    /// Cuts the links between these poolers and a server.
    CutWays,
    /// Restores all links.
    Heal,
    /// A server goes down.
    Fell,
    /// A server comes back up.
    Raise,
    /// Sets the clients' request rate, in percent of the script's.
    Load,
    /// Changes the lifecycle of a server in the list of servers.
    List,
    /// Takes a server out by hand at all poolers, or ends that.
    ByHand,
    /// Waits.
    Wait,
    /// Waits until the plan has reached a state.
    Until,
    /// Sets the loss, duplication, corruption and delay of all datagrams from now on.
    Noise,
    /// The worker finishes no work that it has begun, until `free-worker`.
    HangWorker,
    /// The worker continues.
    FreeWorker,
    /// Handovers of primaries are refused.
    DenyHandover,
    /// Handovers of primaries are made again.
    GrantHandover,
}

/// A step of a script.
#[derive(Clone, Debug, Deserialize)]
pub struct Step {
    /// The action.
    #[serde(rename = "do")]
    pub what: Action,
    /// The poolers that the step applies to.
    pub who: String,
    /// The server that the step applies to.
    #[serde(rename = "what")]
    pub server: String,
    /// Text of the action: a plan, a command, a lifecycle or a state.
    pub text: String,
    /// Expected HTTP status; 0 accepts any.
    pub status: u16,
    /// Duration of a wait.
    #[serde(deserialize_with = "records::duration")]
    pub lasts: Duration,
    /// A count: datagrams, machines, a percentage or a loss rate per thousand.
    pub count: usize,
}

/// A script of maintenance work.
#[derive(Clone, Debug, Deserialize)]
pub struct Script {
    /// Name of the script.
    pub name: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of poolers.
    pub poolers: usize,
    /// The voters.
    pub voters: Vec<usize>,
    /// Number of groups.
    pub groups: usize,
    /// Servers per group.
    pub members: usize,
    /// Number of zones.
    pub zones: usize,
    /// Clients per pooler.
    pub clients: usize,
    /// Pause of a client between requests.
    #[serde(deserialize_with = "records::duration")]
    pub pause: Duration,
    /// Settings of `work` in the operator's file.
    pub work: String,
    /// Duration of the work on a machine.
    #[serde(deserialize_with = "records::duration")]
    pub lasts: Duration,
    /// How the list of servers shows work: `so` as it is, `early` or `late` with its end, or `never`.
    pub listed: String,
    /// Whether poolers reach servers through relays, whose links can be cut.
    pub ways: bool,
    /// Poolers that run without the maintenance feature.
    pub old: Vec<usize>,
    /// Number of times that the steps are run.
    pub rounds: usize,
    /// Whether the plan has to end.
    pub ends: bool,
    /// Number of machines that end without work; 256 accepts any.
    pub left: usize,
    /// Maximum number of machines at work concurrently.
    pub all: usize,
    /// Maximum number of servers of one zone at work concurrently.
    pub zone: usize,
    /// Maximum number of servers of one group at work concurrently.
    pub group: usize,
    /// Maximum number of zones with machines at work.
    pub zones_at_once: usize,
    /// Minimum share of requests served, in thousandths.
    pub served: u64,
    /// Steps of each round.
    pub steps: Vec<Step>,
}

impl Script {
    /// Decodes the text of a script; `name` is the file name used in diagnostics.
    ///
    /// # Errors
    ///
    /// When the script does not fit the schema.
    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, Diagnostics> {
        let tree = unify(SCHEMA, name, bytes)?;
        tree.decode()
            .map_err(|diagnostic| Diagnostics { file: name.to_owned(), diagnostics: vec![diagnostic] })
    }

    /// Reads all scripts of a folder, sorted by file name.
    ///
    /// # Errors
    ///
    /// When a script can't be read or is invalid.
    pub fn read_folder(folder: &Path) -> Result<Vec<Self>, records::ScriptError> {
        records::read_folder(folder, |name, bytes| Ok(Self::decode(name, bytes)?))
    }
}
