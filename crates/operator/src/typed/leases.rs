//! Lease settings: tasks that one pooler of the fleet executes at a time.

use super::Validator;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Leases of tasks that one pooler of the fleet executes at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// The name of the installation.
    pub site: String,
    /// The version of the set of voters. Poolers with different versions do not communicate.
    pub version: u32,
    /// The pooler numbers of the voters.
    pub voters: BTreeSet<u16>,
    /// Earlier sets of voters that poolers with an older version may still use.
    pub previous: Vec<BTreeSet<u16>>,
    /// Maximum error of a clock's speed, in parts per thousand.
    pub drift: u16,
    /// The maximum term of all leases.
    pub max_term: Duration,
    /// The key files. The first key signs, all are accepted.
    pub keys: Vec<PathBuf>,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Lease term and polling interval, if one pooler per group polls the members for their positions.
    pub positions: Option<(Duration, Duration)>,
}

/// A task that is executed by the holder of its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// The task's name.
    pub name: String,
    /// The term of the lease.
    pub term: Duration,
    /// The poolers that may hold the lease; empty for all.
    pub candidates: BTreeSet<u16>,
    /// The HTTP call that the holder makes.
    pub call: Option<HolderCall>,
}

/// An HTTP call that a lease holder makes repeatedly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCall {
    /// The address of the HTTP server.
    pub address: SocketAddr,
    /// The path of the request.
    pub path: String,
    /// The pause between two acts.
    pub interval: Duration,
    /// The duration of an act.
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
const MIN_TERM: Duration = Duration::from_millis(100);
const MAX_TERM: Duration = Duration::from_secs(600);
/// Maximum number of tasks that a voter keeps track of; `linnetdeal-coordination` has the same limit.
const MAX_TASKS: usize = 64;
const MAX_PREVIOUS_SETS: usize = 4;

/// Checks a set of voters. Its size is odd, because an even number tolerates no more failures than the odd number below
/// it.
fn voter_set(path: &str, numbers: &[u16], validator: &mut Validator<'_>) -> BTreeSet<u16> {
    let voters: BTreeSet<u16> = numbers.iter().copied().collect();
    if voters.len() < numbers.len() {
        validator.report(path, "a pooler is named twice");
    }
    if ![3, 5, 7].contains(&numbers.len()) {
        validator.report(path, format!("{} voters are named, and 3, 5 or 7 decide", numbers.len()));
    }
    voters
}

pub(super) fn decode(raw: RawLeases, validator: &mut Validator<'_>) -> LeaseSettings {
    let voters = voter_set("leases.voters", &raw.voters, validator);
    let mut previous = Vec::new();
    for (index, numbers) in raw.previous.iter().enumerate() {
        let path = format!("leases.previous[{index}]");
        let earlier = voter_set(&path, numbers, validator);
        if index == 0 && earlier.difference(&voters).count() > 1 {
            validator.report(&path, "more than one voter is replaced: voters change one at a time");
        }
        previous.push(earlier);
    }
    if previous.len() > MAX_PREVIOUS_SETS {
        validator.report(
            "leases.previous",
            format!("{} sets are named, at most {MAX_PREVIOUS_SETS} are allowed", previous.len()),
        );
    }
    if raw.keys.is_empty() || raw.keys.len() > 2 {
        validator.report("leases.keys", format!("{} keys are named, 1 or 2 are allowed", raw.keys.len()));
    }
    if raw.tasks.len() > MAX_TASKS {
        validator.report(
            "leases.tasks",
            format!("{} tasks are named, at most {MAX_TASKS} are allowed", raw.tasks.len()),
        );
    }
    let max_term = validator.duration("leases.longest", &raw.longest, (MIN_TERM, MAX_TERM));
    let mut tasks: Vec<Task> = Vec::new();
    for (index, raw) in raw.tasks.into_iter().enumerate() {
        let path = format!("leases.tasks[{index}]");
        let term = validator.duration(&format!("{path}.term"), &raw.term, (MIN_TERM, MAX_TERM));
        if term > max_term {
            validator.report(&format!("{path}.term"), format!("{} is longer than 'longest'", raw.term));
        }
        if tasks.iter().any(|other| other.name == raw.name) {
            validator.report(&format!("{path}.name"), "it is named twice");
        }
        let call = raw.call.and_then(|raw| decode_call(&format!("{path}.call"), &raw, validator));
        let candidates = raw.candidates.into_iter().collect();
        tasks.push(Task { name: raw.name, term, candidates, call });
    }
    let positions = raw.positions.map(|raw| {
        let term = validator.duration("leases.positions.term", &raw.term, (MIN_TERM, max_term.max(MIN_TERM)));
        let interval = validator.duration("leases.positions.every", &raw.every, (MIN_TERM, MAX_TERM));
        (term, interval)
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

fn decode_call(path: &str, raw: &RawCall, validator: &mut Validator<'_>) -> Option<HolderCall> {
    let range = (MS, MAX_TERM);
    let interval = validator.duration(&format!("{path}.every"), &raw.every, range);
    let act_duration = validator.duration(&format!("{path}.lasts"), &raw.lasts, range);
    match raw.address.parse() {
        Ok(address) => Some(HolderCall { address, path: raw.path.clone(), interval, act_duration }),
        Err(error) => {
            validator.report(&format!("{path}.address"), format!("{error}"));
            None
        }
    }
}
