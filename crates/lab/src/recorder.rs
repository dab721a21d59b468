//! What passed on the sockets: who was told what of which box and when, what was sent where, what ran, what was
//! answered. The rules are checked on this alone, by code that shares nothing with the pooler's.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Nothing new goes to a box later than this after the pooler was told that it drains or is gone. Everything here is on
/// one machine's clock, so that no allowance is made.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
struct Drain {
    /// The registration's stamp, and when the registry last changed it.
    version: (i64, i64),
    delivered_at: Instant,
    /// When somebody told something newer.
    ended_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedStatement {
    first_byte_at: Instant,
}

/// The counts that a proof needs.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Requests that clients asked.
    pub requests: u64,
    /// Those that got a final answer in time.
    pub answered: u64,
    /// Those that were served.
    pub served: u64,
    /// Sends to a box too long after its drain was told.
    pub drains_broken: u64,
    /// The latest send to a box after its drain was told, in ms.
    pub worst_drain_ms: f64,
    /// Reads answered from older data than their class allows.
    pub stale_reads: u64,
    /// Writes that ran more than once.
    pub writes_doubled: u64,
    /// Writes that were answered as served and never ran.
    pub served_without_row: u64,
    /// Connections to where no box may lie.
    pub sends_outside: u64,
    /// Drains that were told.
    pub drains: u64,
    /// What each box was sent.
    pub sends: BTreeMap<String, u64>,
}

/// What an answer showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerData {
    /// Of a write, its commit.
    pub commit: Option<i64>,
    /// Of a read, what it must have seen and what it was answered from.
    pub read: Option<(i64, i64)>,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Recorder {
    drains: HashMap<String, Vec<Drain>>,
    /// Boxes whose drain is to count as lifted once somebody tells them UP again.
    override_removals: HashSet<String>,
    newest_in_service: HashMap<String, (i64, i64)>,
    statements: HashMap<String, Vec<ReceivedStatement>>,
    write_runs: HashMap<String, u32>,
    served_writes: HashSet<String>,
    /// By session, the latest commit that a client has been told of.
    session_commits: HashMap<String, i64>,
    /// The latest commit of all that a client has been told of.
    latest_commit: i64,
    stale: u64,
    outside: HashMap<SocketAddr, u64>,
    requests: u64,
    answered: u64,
    served: u64,
    outcomes: BTreeMap<String, u64>,
    /// Which part of the run it is, and what was asked and served in it.
    phase: u64,
    phase_requests: u64,
    phase_served: u64,
}

impl Recorder {
    /// A body that says so of a box has been written to the pooler. `stamp` is the registration's, and `updated` when
    /// the registry last changed it.
    pub fn status_delivered(
        &mut self,
        name: &str,
        in_service: bool,
        (stamp, updated): (i64, i64),
        now: Instant,
    ) {
        let drains = self.drains.entry(name.to_owned()).or_default();
        let up = self.newest_in_service.entry(name.to_owned()).or_insert((i64::MIN, i64::MIN));
        let removal_counts = self.override_removals.contains(name);
        // Where a lift counts, what was before it in the same registration is old news.
        let newer =
            |than: (i64, i64)| stamp > than.0 || removal_counts && stamp == than.0 && updated > than.1;
        match (drains.last_mut().filter(|drain| drain.ended_at.is_none()), in_service) {
            (Some(drain), true) if newer(drain.version) => drain.ended_at = Some(now),
            (Some(drain), false) => drain.version = drain.version.max((stamp, updated)),
            (None, false) if newer(*up) || stamp == up.0 && !removal_counts => {
                drains.push(Drain { version: (stamp, updated), delivered_at: now, ended_at: None });
            }
            _ => {}
        }
        if in_service {
            *up = (*up).max((stamp, updated));
        }
    }

    /// Somebody has taken back what was set over a box's own status, and the operator counts that.
    pub fn accept_override_removal(&mut self, name: &str) {
        self.override_removals.insert(name.to_owned());
    }

    /// Whether a drain of a box holds at present.
    #[must_use]
    pub fn is_draining(&self, name: &str) -> bool {
        self.drains.get(name).and_then(|drains| drains.last()).is_some_and(|drain| drain.ended_at.is_none())
    }

    /// A statement's first byte has come to a box.
    pub fn statement_received(&mut self, name: &str, first_byte_at: Instant) {
        self.statements.entry(name.to_owned()).or_default().push(ReceivedStatement { first_byte_at });
    }

    /// A write runs on a primary.
    pub fn write_executed(&mut self, id: &str) {
        *self.write_runs.entry(id.to_owned()).or_default() += 1;
    }

    /// Somebody connected to where no box may lie.
    pub fn outside_connection(&mut self, at: SocketAddr) {
        *self.outside.entry(at).or_default() += 1;
    }

    /// What a session's reads must have seen from now on.
    #[must_use]
    pub fn required_position(&self, session: &str, fresh: bool) -> i64 {
        if fresh { self.latest_commit } else { self.session_commits.get(session).copied().unwrap_or(0) }
    }

    /// A client has asked; in which part of the run, goes with its answer.
    pub fn request_started(&mut self) -> u64 {
        self.requests += 1;
        self.phase_requests += 1;
        self.phase
    }

    /// Another part of the run begins: what was asked before does not count in it.
    pub fn begin_phase(&mut self) {
        self.phase += 1;
        (self.phase_requests, self.phase_served) = (0, 0);
    }

    /// Served and asked in this part.
    #[must_use]
    pub fn phase_counts(&self) -> (u64, u64) {
        (self.phase_served, self.phase_requests)
    }

    /// A client has an answer in time: how it ended, and what it showed.
    pub fn request_answered(&mut self, id: &str, phase: u64, how: &str, session: &str, seen: AnswerData) {
        let AnswerData { commit, read } = seen;
        self.answered += 1;
        *self.outcomes.entry(how.to_owned()).or_default() += 1;
        if how != "served" {
            return;
        }
        self.served += 1;
        self.phase_served += u64::from(phase == self.phase);
        if let Some(commit) = commit {
            self.served_writes.insert(id.to_owned());
            let held = self.session_commits.entry(session.to_owned()).or_default();
            *held = (*held).max(commit);
            self.latest_commit = self.latest_commit.max(commit);
        }
        if let Some((needed, position)) = read {
            self.stale += u64::from(position < needed);
        }
    }

    /// How many statements a box has got.
    #[must_use]
    pub fn statement_count(&self, name: &str) -> usize {
        self.statements.get(name).map_or(0, Vec::len)
    }

    /// How many statements a box has got in this time.
    #[must_use]
    pub fn statements_between(&self, name: &str, from: Instant, to: Instant) -> usize {
        let sent = self.statements.get(name).into_iter().flatten();
        sent.filter(|one| one.first_byte_at >= from && one.first_byte_at < to).count()
    }

    /// How answers were worded.
    #[must_use]
    pub fn outcome_counts(&self) -> &BTreeMap<String, u64> {
        &self.outcomes
    }

    /// The rules, on all that was seen.
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
