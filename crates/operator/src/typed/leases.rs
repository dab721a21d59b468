//! The tasks of a whole fleet, as an operator names them.

use super::Checker;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Tasks that one pooler at a time does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// The installation.
    pub site: String,
    /// The version of the voters.
    pub version: u32,
    /// The voters, by their numbers.
    pub voters: BTreeSet<u16>,
    /// Earlier sets that may still be in force somewhere.
    pub previous: Vec<BTreeSet<u16>>,
    /// By how many parts in a thousand a clock may run wrong.
    pub drift: u16,
    /// No term is longer.
    pub max_term: Duration,
    /// The files of the keys, the one that signs first.
    pub keys: Vec<PathBuf>,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Whether one pooler a group asks members for their positions: for which term, and how often.
    pub positions: Option<(Duration, Duration)>,
}

/// A task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Its name.
    pub name: String,
    /// How long a grant lasts.
    pub term: Duration,
    /// Who may hold it; all where it is empty.
    pub candidates: BTreeSet<u16>,
    /// What its holder calls.
    pub call: Option<HolderCall>,
}

/// What a holder calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCall {
    /// Where.
    pub address: SocketAddr,
    /// What.
    pub path: String,
    /// The pause between two acts.
    pub interval: Duration,
    /// How long an act lasts.
    pub act_duration: Duration,
}

#[derive(Deserialize)]
pub(super) struct RawLeases {
    site: String,
    version: u32,
    voters: Vec<u16>,
    previous: Vec<Vec<u16>>,
    drift: u16,
    longest: String,
    keys: Vec<PathBuf>,
    tasks: Vec<RawTask>,
    positions: Option<RawPositions>,
}

#[derive(Deserialize)]
struct RawPositions {
    term: String,
    every: String,
}

#[derive(Deserialize)]
struct RawTask {
    name: String,
    term: String,
    candidates: Vec<u16>,
    call: Option<RawCall>,
}

#[derive(Deserialize)]
struct RawCall {
    address: String,
    path: String,
    every: String,
    lasts: String,
}

const MS: Duration = Duration::from_millis(1);
const SHORTEST_TERM: Duration = Duration::from_millis(100);
const LONGEST_TERM: Duration = Duration::from_secs(600);
/// As many as a voter remembers; `linnetdeal-coordination` has the same bound.
const MOST_TASKS: usize = 64;
const MOST_PREVIOUS: usize = 4;

/// A set of voters. An even number bears the loss of no more than the odd one below it.
fn set(path: &str, numbers: &[u16], check: &mut Checker<'_>) -> BTreeSet<u16> {
    let set: BTreeSet<u16> = numbers.iter().copied().collect();
    if set.len() < numbers.len() {
        check.fault(path, "a pooler is named twice");
    }
    if ![3, 5, 7].contains(&numbers.len()) {
        check.fault(path, format!("{} voters are named, and 3, 5 or 7 decide", numbers.len()));
    }
    set
}

pub(super) fn decode(raw: RawLeases, check: &mut Checker<'_>) -> LeaseSettings {
    let voters = set("leases.voters", &raw.voters, check);
    let mut previous = Vec::new();
    for (at, numbers) in raw.previous.iter().enumerate() {
        let path = format!("leases.previous[{at}]");
        let earlier = set(&path, numbers, check);
        if at == 0 && earlier.difference(&voters).count() > 1 {
            check.fault(&path, "more than one voter is replaced: voters change one at a time");
        }
        previous.push(earlier);
    }
    if previous.len() > MOST_PREVIOUS {
        check.fault(
            "leases.previous",
            format!("{} sets are named, and {MOST_PREVIOUS} can be", previous.len()),
        );
    }
    if raw.keys.is_empty() || raw.keys.len() > 2 {
        check.fault("leases.keys", format!("{} keys are named, and 1 or 2 can be", raw.keys.len()));
    }
    if raw.tasks.len() > MOST_TASKS {
        check.fault("leases.tasks", format!("{} tasks are named, and {MOST_TASKS} can be", raw.tasks.len()));
    }
    let max_term = check.duration("leases.longest", &raw.longest, (SHORTEST_TERM, LONGEST_TERM));
    let mut tasks: Vec<Task> = Vec::new();
    for (at, raw) in raw.tasks.into_iter().enumerate() {
        let path = format!("leases.tasks[{at}]");
        let term = check.duration(&format!("{path}.term"), &raw.term, (SHORTEST_TERM, LONGEST_TERM));
        if term > max_term {
            check.fault(&format!("{path}.term"), format!("{} is longer than 'longest'", raw.term));
        }
        if tasks.iter().any(|other| other.name == raw.name) {
            check.fault(&format!("{path}.name"), "it is named twice");
        }
        let call = raw.call.and_then(|raw| call(&format!("{path}.call"), &raw, check));
        let candidates = raw.candidates.into_iter().collect();
        tasks.push(Task { name: raw.name, term, candidates, call });
    }
    let positions = raw.positions.map(|raw| {
        let term =
            check.duration("leases.positions.term", &raw.term, (SHORTEST_TERM, max_term.max(SHORTEST_TERM)));
        let every = check.duration("leases.positions.every", &raw.every, (SHORTEST_TERM, LONGEST_TERM));
        (term, every)
    });
    LeaseSettings {
        site: raw.site,
        version: raw.version,
        voters,
        previous,
        drift: raw.drift,
        max_term,
        keys: raw.keys,
        tasks,
        positions,
    }
}

fn call(path: &str, raw: &RawCall, check: &mut Checker<'_>) -> Option<HolderCall> {
    let range = (MS, LONGEST_TERM);
    let interval = check.duration(&format!("{path}.every"), &raw.every, range);
    let act_duration = check.duration(&format!("{path}.lasts"), &raw.lasts, range);
    match raw.address.parse() {
        Ok(address) => Some(HolderCall { address, path: raw.path.clone(), interval, act_duration }),
        Err(error) => {
            check.fault(&format!("{path}.address"), format!("{error}"));
            None
        }
    }
}
