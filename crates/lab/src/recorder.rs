//! Records what passed on the sockets: which status of which server was delivered to the pooler and when, which
//! statements each server received, which writes ran, and how requests were answered. The rules are checked on these
//! records alone, by code that shares nothing with the pooler.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The time within which the pooler must stop sending to a server after the registry has reported it as drained or
/// gone. All times are taken from the clock of one machine, so there is no tolerance on top of it.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
struct Drain {
    /// The registration's own timestamp, and when the registry last changed it, both in milliseconds.
    version: (i64, i64),
    delivered_at: Instant,
    /// When a newer status that ends the drain was delivered.
    ended_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedStatement {
    first_byte_at: Instant,
}

/// The counts that a proof reports.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests that got a final answer in time.
    pub answered: u64,
    /// Requests that were served.
    pub served: u64,
    /// Statements that a server received later than [`DRAIN_GRACE`] after its drain was delivered.
    pub drains_broken: u64,
    /// The longest time from the delivery of a drain to a statement at that server, in milliseconds.
    pub worst_drain_ms: f64,
    /// Reads that were answered from older data than their class allows.
    pub stale_reads: u64,
    /// Writes that ran more than once.
    pub writes_doubled: u64,
    /// Writes that were answered as served and never ran.
    pub served_without_row: u64,
    /// Connections to addresses outside of the networks in which servers may lie.
    pub sends_outside: u64,
    /// Drains that were delivered.
    pub drains: u64,
    /// The number of statements that each server received.
    pub sends: BTreeMap<String, u64>,
}

/// The data of an answer that the consistency checks need.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerData {
    /// Of a write, the position of its commit.
    pub commit: Option<i64>,
    /// Of a read, the position that it was required to see and the position that it was answered from.
    pub read: Option<(i64, i64)>,
}

/// All records of a run.
#[derive(Debug, Default)]
pub struct Recorder {
    drains: HashMap<String, Vec<Drain>>,
    /// Servers whose drain ends once they are reported as UP again, because the override of their status was removed.
    override_removals: HashSet<String>,
    newest_in_service: HashMap<String, (i64, i64)>,
    statements: HashMap<String, Vec<ReceivedStatement>>,
    write_runs: HashMap<String, u32>,
    served_writes: HashSet<String>,
    /// By session, the latest commit that was acknowledged to its client.
    session_commits: HashMap<String, i64>,
    /// The latest commit that was acknowledged to any client.
    latest_commit: i64,
    stale: u64,
    outside: HashMap<SocketAddr, u64>,
    requests: u64,
    answered: u64,
    served: u64,
    outcomes: BTreeMap<String, u64>,
    /// The number of the current phase of the run, and the requests sent and served in it.
    phase: u64,
    phase_requests: u64,
    phase_served: u64,
}

impl Recorder {
    /// Records that a body with a server's status has been written to the pooler. `timestamp` is the registration's own
    /// timestamp, and `updated` the time at which the registry last changed it.
    pub fn status_delivered(
        &mut self,
        name: &str,
        in_service: bool,
        (timestamp, updated): (i64, i64),
        now: Instant,
    ) {
        let drains = self.drains.entry(name.to_owned()).or_default();
        let latest_in_service = self.newest_in_service.entry(name.to_owned()).or_insert((i64::MIN, i64::MIN));
        let override_removed = self.override_removals.contains(name);
        // Where the removal of an override counts, an earlier change of the same registration is outdated.
        let newer = |other: (i64, i64)| {
            timestamp > other.0 || override_removed && timestamp == other.0 && updated > other.1
        };
        match (drains.last_mut().filter(|drain| drain.ended_at.is_none()), in_service) {
            (Some(drain), true) if newer(drain.version) => drain.ended_at = Some(now),
            (Some(drain), false) => drain.version = drain.version.max((timestamp, updated)),
            (None, false)
                if newer(*latest_in_service) || timestamp == latest_in_service.0 && !override_removed =>
            {
                drains.push(Drain { version: (timestamp, updated), delivered_at: now, ended_at: None });
            }
            _ => {}
        }
        if in_service {
            *latest_in_service = (*latest_in_service).max((timestamp, updated));
        }
    }

    /// Records that the override of a server's status was removed, where the operator's configuration lets that end a
    /// drain.
    pub fn accept_override_removal(&mut self, name: &str) {
        self.override_removals.insert(name.to_owned());
    }

    /// Whether the server is drained at present.
    #[must_use]
    pub fn is_draining(&self, name: &str) -> bool {
        self.drains.get(name).and_then(|drains| drains.last()).is_some_and(|drain| drain.ended_at.is_none())
    }

    /// Records that a server has received the first byte of a statement.
    pub fn statement_received(&mut self, name: &str, first_byte_at: Instant) {
        self.statements.entry(name.to_owned()).or_default().push(ReceivedStatement { first_byte_at });
    }

    /// Records that a write was executed by a primary.
    pub fn write_executed(&mut self, id: &str) {
        *self.write_runs.entry(id.to_owned()).or_default() += 1;
    }

    /// Records a connection to an address outside of the networks in which servers may lie.
    pub fn outside_connection(&mut self, address: SocketAddr) {
        *self.outside.entry(address).or_default() += 1;
    }

    /// The position that a read of the session must see from now on; with `fresh`, the latest commit of all sessions.
    #[must_use]
    pub fn required_position(&self, session: &str, fresh: bool) -> i64 {
        if fresh { self.latest_commit } else { self.session_commits.get(session).copied().unwrap_or(0) }
    }

    /// Records that a client has sent a request; returns the current phase, which is passed on with its answer.
    pub fn request_started(&mut self) -> u64 {
        self.requests += 1;
        self.phase_requests += 1;
        self.phase
    }

    /// Begins another phase of the run, in which earlier requests are not counted.
    pub fn begin_phase(&mut self) {
        self.phase += 1;
        (self.phase_requests, self.phase_served) = (0, 0);
    }

    /// The numbers of requests served and sent in the current phase.
    #[must_use]
    pub fn phase_counts(&self) -> (u64, u64) {
        (self.phase_served, self.phase_requests)
    }

    /// Records an answer that a client has received in time.
    pub fn request_answered(&mut self, id: &str, phase: u64, how: &str, session: &str, data: AnswerData) {
        let AnswerData { commit, read } = data;
        self.answered += 1;
        *self.outcomes.entry(how.to_owned()).or_default() += 1;
        if how != "served" {
            return;
        }
        self.served += 1;
        self.phase_served += u64::from(phase == self.phase);
        if let Some(commit) = commit {
            self.served_writes.insert(id.to_owned());
            let latest_of_session = self.session_commits.entry(session.to_owned()).or_default();
            *latest_of_session = (*latest_of_session).max(commit);
            self.latest_commit = self.latest_commit.max(commit);
        }
        if let Some((needed, position)) = read {
            self.stale += u64::from(position < needed);
        }
    }

    /// The number of statements that a server has received.
    #[must_use]
    pub fn statement_count(&self, name: &str) -> usize {
        self.statements.get(name).map_or(0, Vec::len)
    }

    /// The number of statements that a server has received from `from` until before `to`.
    #[must_use]
    pub fn statements_between(&self, name: &str, from: Instant, to: Instant) -> usize {
        let sent = self.statements.get(name).into_iter().flatten();
        sent.filter(|one| one.first_byte_at >= from && one.first_byte_at < to).count()
    }

    /// The number of answers by outcome.
    #[must_use]
    pub fn outcome_counts(&self) -> &BTreeMap<String, u64> {
        &self.outcomes
    }

    /// Checks the rules on all records and returns the counts.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let mut verdict = Verdict {
            requests: self.requests,
            answered: self.answered,
            served: self.served,
            stale_reads: self.stale,
            writes_doubled: self.write_runs.values().filter(|count| **count > 1).count() as u64,
            served_without_row: self
                .served_writes
                .iter()
                .filter(|id| !self.write_runs.contains_key(*id))
                .count() as u64,
            sends_outside: self.outside.values().sum(),
            ..Verdict::default()
        };
        for (name, drains) in &self.drains {
            verdict.drains += drains.len() as u64;
            for drain in drains {
                for sent in self.statements.get(name).into_iter().flatten() {
                    if sent.first_byte_at < drain.delivered_at
                        || drain.ended_at.is_some_and(|ended_at| sent.first_byte_at >= ended_at)
                    {
                        continue;
                    }
                    let late = sent.first_byte_at - drain.delivered_at;
                    verdict.worst_drain_ms = verdict.worst_drain_ms.max(late.as_secs_f64() * 1_000.0);
                    verdict.drains_broken += u64::from(late > DRAIN_GRACE);
                }
            }
        }
        verdict.sends =
            self.statements.iter().map(|(name, sent)| (name.clone(), sent.len() as u64)).collect();
        verdict
    }
}
