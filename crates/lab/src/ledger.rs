//! What passed on the sockets: who was told what of which box and when, what was sent where, what ran, what was
//! answered. The rules are checked on this alone, by code that shares nothing with the pooler's.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Nothing new goes to a box later than this after the pooler was told that it drains or is gone. Everything here is on
/// one machine's clock, so that no allowance is made.
pub const GRACE: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
struct Drain {
    /// The registration's stamp, and when the registry last changed it.
    said: (i64, i64),
    told: Instant,
    /// When somebody told something newer.
    lifted: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    first: Instant,
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
pub struct Seen {
    /// Of a write, its commit.
    pub commit: Option<i64>,
    /// Of a read, what it must have seen and what it was answered from.
    pub read: Option<(i64, i64)>,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    drains: HashMap<String, Vec<Drain>>,
    /// Boxes whose drain is to count as lifted once somebody tells them UP again.
    lifts: HashSet<String>,
    newest_up: HashMap<String, (i64, i64)>,
    sent: HashMap<String, Vec<Sent>>,
    rows: HashMap<String, u32>,
    served_writes: HashSet<String>,
    /// By session, the latest commit that a client has been told of.
    commits: HashMap<String, i64>,
    /// The latest commit of all that a client has been told of.
    latest: i64,
    stale: u64,
    outside: HashMap<SocketAddr, u64>,
    requests: u64,
    answered: u64,
    served: u64,
    outcomes: BTreeMap<String, u64>,
    /// Which part of the run it is, and what was asked and served in it.
    part: u64,
    part_requests: u64,
    part_served: u64,
}

impl Ledger {
    /// A body that says so of a box has been written to the pooler. `stamp` is the registration's, and `updated` when
    /// the registry last changed it.
    pub fn told(&mut self, name: &str, in_service: bool, (stamp, updated): (i64, i64), now: Instant) {
        let drains = self.drains.entry(name.to_owned()).or_default();
        let up = self.newest_up.entry(name.to_owned()).or_insert((i64::MIN, i64::MIN));
        let lifts = self.lifts.contains(name);
        // Where a lift counts, what was before it in the same registration is old news.
        let newer = |than: (i64, i64)| stamp > than.0 || lifts && stamp == than.0 && updated > than.1;
        match (drains.last_mut().filter(|drain| drain.lifted.is_none()), in_service) {
            (Some(drain), true) if newer(drain.said) => drain.lifted = Some(now),
            (Some(drain), false) => drain.said = drain.said.max((stamp, updated)),
            (None, false) if newer(*up) || stamp == up.0 && !lifts => {
                drains.push(Drain { said: (stamp, updated), told: now, lifted: None });
            }
            _ => {}
        }
        if in_service {
            *up = (*up).max((stamp, updated));
        }
    }

    /// Somebody has taken back what was set over a box's own status, and the operator counts that.
    pub fn lift(&mut self, name: &str) {
        self.lifts.insert(name.to_owned());
    }

    /// Whether a drain of a box holds at present.
    #[must_use]
    pub fn drains(&self, name: &str) -> bool {
        self.drains.get(name).and_then(|drains| drains.last()).is_some_and(|drain| drain.lifted.is_none())
    }

    /// A statement's first byte has come to a box.
    pub fn sent(&mut self, name: &str, first: Instant) {
        self.sent.entry(name.to_owned()).or_default().push(Sent { first });
    }

    /// A write runs on a primary.
    pub fn ran(&mut self, id: &str) {
        *self.rows.entry(id.to_owned()).or_default() += 1;
    }

    /// Somebody connected to where no box may lie.
    pub fn outside(&mut self, at: SocketAddr) {
        *self.outside.entry(at).or_default() += 1;
    }

    /// What a session's reads must have seen from now on.
    #[must_use]
    pub fn must_see(&self, session: &str, fresh: bool) -> i64 {
        if fresh { self.latest } else { self.commits.get(session).copied().unwrap_or(0) }
    }

    /// A client has asked; in which part of the run, goes with its answer.
    pub fn asked(&mut self) -> u64 {
        self.requests += 1;
        self.part_requests += 1;
        self.part
    }

    /// Another part of the run begins: what was asked before does not count in it.
    pub fn begin_part(&mut self) {
        self.part += 1;
        (self.part_requests, self.part_served) = (0, 0);
    }

    /// Served and asked in this part.
    #[must_use]
    pub fn in_part(&self) -> (u64, u64) {
        (self.part_served, self.part_requests)
    }

    /// A client has an answer in time: how it ended, and what it showed.
    pub fn answer(&mut self, id: &str, part: u64, how: &str, session: &str, seen: Seen) {
        let Seen { commit, read } = seen;
        self.answered += 1;
        *self.outcomes.entry(how.to_owned()).or_default() += 1;
        if how != "served" {
            return;
        }
        self.served += 1;
        self.part_served += u64::from(part == self.part);
        if let Some(commit) = commit {
            self.served_writes.insert(id.to_owned());
            let held = self.commits.entry(session.to_owned()).or_default();
            *held = (*held).max(commit);
            self.latest = self.latest.max(commit);
        }
        if let Some((needed, position)) = read {
            self.stale += u64::from(position < needed);
        }
    }

    /// How many statements a box has got.
    #[must_use]
    pub fn sends(&self, name: &str) -> usize {
        self.sent.get(name).map_or(0, Vec::len)
    }

    /// How many statements a box has got in this time.
    #[must_use]
    pub fn sends_between(&self, name: &str, from: Instant, to: Instant) -> usize {
        let sent = self.sent.get(name).into_iter().flatten();
        sent.filter(|one| one.first >= from && one.first < to).count()
    }

    /// How answers were worded.
    #[must_use]
    pub fn outcomes(&self) -> &BTreeMap<String, u64> {
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
            writes_doubled: self.rows.values().filter(|count| **count > 1).count() as u64,
            served_without_row: self.served_writes.iter().filter(|id| !self.rows.contains_key(*id)).count()
                as u64,
            sends_outside: self.outside.values().sum(),
            ..Verdict::default()
        };
        for (name, drains) in &self.drains {
            verdict.drains += drains.len() as u64;
            for drain in drains {
                for sent in self.sent.get(name).into_iter().flatten() {
                    if sent.first < drain.told || drain.lifted.is_some_and(|lifted| sent.first >= lifted) {
                        continue;
                    }
                    let late = sent.first - drain.told;
                    verdict.worst_drain_ms = verdict.worst_drain_ms.max(late.as_secs_f64() * 1_000.0);
                    verdict.drains_broken += u64::from(late > GRACE);
                }
            }
        }
        verdict.sends = self.sent.iter().map(|(name, sent)| (name.clone(), sent.len() as u64)).collect();
        verdict
    }
}
