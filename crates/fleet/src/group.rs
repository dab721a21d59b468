//! A group: a primary with a log, and replicas that receive it with a delay and apply it on one thread each. The
//! caller passes the current time in.

use linnetdeal_core::{Span, Time};
use std::collections::VecDeque;

/// Length of the log that is kept for members that reconnect; one that was away for longer starts from a copy.
const MAX_LOG_LEN: usize = 65_536;

/// How long a group takes to replicate and to change its primary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicationTiming {
    /// From a commit until a replica has received it.
    pub ship: Span,
    /// Time that a replica needs to apply one commit.
    pub apply: Span,
    /// From the death of a primary until it is declared dead.
    pub detect: Span,
    /// From then until a replica has taken over.
    pub elect: Span,
    /// From the drain of a primary until another has taken over.
    pub switch: Span,
}

#[derive(Clone, Debug)]
struct Replica {
    /// The commit up to which it has applied the log.
    applied: Time,
    /// Commits that it has received but not applied: when each will be applied, and the commit.
    queue: VecDeque<(Time, Time)>,
    /// How many times as long as usual it takes to apply a commit.
    apply_factor: f64,
    /// Whether it receives the log.
    connected: bool,
}

/// A group of replicas.
#[derive(Clone, Debug)]
pub struct Group {
    timing: ReplicationTiming,
    replicas: Vec<Replica>,
    primary: Option<usize>,
    /// Since when the group has no primary; positions do not advance meanwhile.
    lost_since: Option<Time>,
    log: VecDeque<Time>,
}

impl Group {
    /// A group of this many members, all of them up to date; the first is the primary.
    #[must_use]
    pub fn new(timing: ReplicationTiming, members: usize, now: Time) -> Self {
        let replica = Replica { applied: now, queue: VecDeque::new(), apply_factor: 1.0, connected: true };
        Self {
            timing,
            replicas: vec![replica; members],
            primary: Some(0),
            lost_since: None,
            log: VecDeque::new(),
        }
    }

    /// The primary, if there is one.
    #[must_use]
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    /// How long replication and changes of primary take.
    #[must_use]
    pub fn timing(&self) -> ReplicationTiming {
        self.timing
    }

    /// The primary commits a write.
    pub fn commit(&mut self, now: Time) {
        if self.log.len() == MAX_LOG_LEN {
            self.log.pop_front();
        }
        self.log.push_back(now);
        let (primary, timing) = (self.primary, self.timing);
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            if Some(index) != primary && replica.connected {
                replica.receive(now + timing.ship, now, timing.apply);
            }
        }
    }

    /// The position up to which a member has applied the log.
    pub fn position(&mut self, member: usize, now: Time) -> Time {
        if self.primary == Some(member) {
            return now;
        }
        let shipped_up_to = self.lost_since.map_or(now, |lost_since| lost_since.min(now)) - self.timing.ship;
        let replica = &mut self.replicas[member];
        while let Some((_, commit)) = replica.queue.front().copied().filter(|(done, _)| *done <= now) {
            replica.applied = replica.applied.max(commit);
            replica.queue.pop_front();
        }
        // A replica with nothing left to apply has everything that was shipped.
        if replica.queue.is_empty() && replica.connected {
            replica.applied = replica.applied.max(shipped_up_to);
        }
        replica.applied
    }

    /// Sets how many times as long as usual a replica takes to apply a commit from now on.
    pub fn set_apply_factor(&mut self, member: usize, factor: f64) {
        self.replicas[member].apply_factor = factor;
    }

    /// Disconnects a member from the log. Returns whether it was the primary, so that another has to take over.
    pub fn leave(&mut self, member: usize, now: Time) -> bool {
        let replica = &mut self.replicas[member];
        replica.connected = false;
        // It keeps what it had received, and applies the rest of it when it is back.
        if self.primary == Some(member) {
            (self.primary, self.lost_since) = (None, Some(now));
            self.replicas[member].applied = now;
            return true;
        }
        false
    }

    /// The primary stops accepting writes, so that another can take over.
    pub fn hand_over(&mut self, now: Time) -> Option<usize> {
        let primary = self.primary.take()?;
        self.lost_since = Some(now);
        self.replicas[primary].applied = now;
        Some(primary)
    }

    /// Connects a member to the log again; it continues from its position.
    pub fn join(&mut self, member: usize, now: Time) {
        let (timing, lost_since) = (self.timing, self.lost_since);
        let replica = &mut self.replicas[member];
        if replica.connected {
            return;
        }
        replica.connected = true;
        replica.queue.clear();
        let applied = replica.applied;
        for commit in self
            .log
            .iter()
            .filter(|commit| **commit > applied && lost_since.is_none_or(|lost_since| **commit <= lost_since))
        {
            replica.receive(now + timing.ship, *commit, timing.apply);
        }
    }

    /// The member to take over: of the eligible ones the one that has received most. Returned with the time by
    /// which it has applied all that it received.
    #[must_use]
    pub fn successor(&self, now: Time, eligible: impl Fn(usize) -> bool) -> Option<(usize, Time)> {
        let candidates = self
            .replicas
            .iter()
            .enumerate()
            .filter(|(member, replica)| replica.connected && eligible(*member));
        let received =
            |replica: &Replica| replica.queue.back().map_or(replica.applied, |(_, commit)| *commit);
        let (member, replica) =
            candidates.max_by_key(|(member, replica)| (received(replica), std::cmp::Reverse(*member)))?;
        Some((member, replica.queue.back().map_or(now, |(done, _)| (*done).max(now))))
    }

    /// Makes a member the primary. Commits that no replica had received are lost with the old primary.
    pub fn promote(&mut self, member: usize, now: Time) {
        let replica = &mut self.replicas[member];
        let kept = replica.queue.back().map_or(replica.applied, |(_, commit)| *commit);
        replica.queue.clear();
        replica.applied = now;
        while self.log.back().is_some_and(|commit| *commit > kept) {
            self.log.pop_back();
        }
        (self.primary, self.lost_since) = (Some(member), None);
    }
}

impl Replica {
    fn receive(&mut self, arrives: Time, commit: Time, apply_time: Span) {
        let start = self.queue.back().map_or(arrives, |(done, _)| (*done).max(arrives));
        self.queue.push_back((start + apply_time.times(self.apply_factor), commit));
    }
}
