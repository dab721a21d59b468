//! The plain state that the decisions (`choice.rs`) keep. No decision and no tuned value stands here.

use crate::cold::Cold;
use crate::handover::{Change, Held};
use crate::interface::*;
use crate::slowness::Slowness;
use std::collections::{BTreeMap, BTreeSet};

/// The roles, as crowding is kept by them.
pub(crate) const REPLICA: usize = 0;
pub(crate) const PRIMARY: usize = 1;
/// Before all that happens.
pub(crate) const NEVER: Time = Time(i64::MIN / 4);

/// An attempt that is out, as its member's load sees it.
#[derive(Clone, Debug)]
pub(crate) struct Out {
    pub(crate) sent: Time,
    pub(crate) class: usize,
    pub(crate) session: Option<SessionKey>,
    pub(crate) need: Option<Time>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Member {
    pub(crate) group: GroupId,
    pub(crate) state: ListState,
    pub(crate) listed_primary: bool,
    /// Whether it started lately, and what it may be sent then.
    pub(crate) cold: Cold,
    /// It has applied all up to here; never goes back.
    pub(crate) position: Time,
    /// When the position was read.
    pub(crate) read_at: Time,
    /// The need of the last read that it turned away as too far behind, and when.
    pub(crate) behind: Option<(Time, Time)>,
    /// The last moments at which it was shown to be primary and replica.
    pub(crate) primary_at: Time,
    pub(crate) replica_at: Time,
    pub(crate) out: BTreeMap<(RequestId, AttemptNo), Out>,
    /// When attempts that were given up while they might run are done, by the usual pace.
    pub(crate) left: Vec<Time>,
    /// Its latency as a multiple of the class's usual.
    pub(crate) slow: Slowness,
    pub(crate) ill: f64,
    pub(crate) ejections: u32,
    pub(crate) ejected: Time,
    /// What speaks against it last is that no connection came up.
    pub(crate) unreached: bool,
    pub(crate) heard: Time,
    /// When the latest of the attempts was sent that it has answered.
    pub(crate) reached: Time,
    pub(crate) probed: Time,
    /// Concurrency limit: grows with answers in good time, shrinks with refusals and answers too late.
    pub(crate) limit: f64,
    pub(crate) cut: Time,
    pub(crate) rested: Time,
    /// Writes that it turned away in a row.
    pub(crate) refusals: u32,
}

impl Member {
    /// One that the list is about to name.
    pub(crate) fn new(group: GroupId, limit: f64) -> Self {
        let state = ListState::Gone;
        Self { group, state, limit, position: NEVER, read_at: NEVER, reached: NEVER, ..Self::default() }
    }

    /// A removal does not wipe out a drain: where only drains bind, it binds on. Gives by how
    /// much the number of members in service changes.
    pub(crate) fn becomes(&mut self, state: ListState) -> f64 {
        let served = self.state == ListState::Healthy;
        if self.state != ListState::Draining || state == ListState::Healthy {
            self.state = state;
        }
        f64::from(u8::from(self.state == ListState::Healthy)) - f64::from(u8::from(served))
    }

    /// What it was last shown to be.
    pub(crate) fn role(&self) -> usize {
        if self.primary_at > self.replica_at { PRIMARY } else { REPLICA }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeSet<MemberId>,
    /// What is known of its primary.
    pub(crate) change: Change,
    pub(crate) held: BTreeSet<(Time, RequestId)>,
    /// Of its replicas and of its primary: slow answers, and all.
    pub(crate) crowd: [Counts; 2],
}

impl Group {
    /// A member is of this group no more.
    pub(crate) fn leave(&mut self, member: &MemberId) {
        self.members.remove(member);
        self.change.forget(member);
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) member: MemberId,
    pub(crate) open: bool,
    pub(crate) errored: bool,
}

/// A request that is owed its final answer.
#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) group: GroupId,
    pub(crate) session: Option<SessionKey>,
    pub(crate) token: Option<Time>,
    /// Its client has asked before.
    pub(crate) retry: bool,
    pub(crate) arrived: Time,
    pub(crate) aim: Time,
    pub(crate) deadline: Time,
    pub(crate) attempts: Vec<Attempt>,
    /// It may have so many, by the settings when it was taken.
    pub(crate) most: u32,
    /// An attempt may have run.
    pub(crate) may_have_run: bool,
    pub(crate) misses: u32,
    /// When it is to be looked at: its deadline, or when its attempt is overdue.
    pub(crate) due: Time,
}

impl Open {
    /// Whether it was sent there before.
    pub(crate) fn tried(&self, member: &MemberId) -> bool {
        self.attempts.iter().any(|attempt| attempt.member == *member)
    }

    /// As one that waits.
    pub(crate) fn held(&self, id: RequestId, merit: f64, need: Need) -> Held {
        let Self { arrived, deadline, session, misses: walked, .. } = *self;
        let primary = matches!(need, Need::Write | Need::Fresh) && !self.may_have_run;
        Held { id, merit, arrived, deadline, session, primary, write: need == Need::Write, walked }
    }
}

/// A part and the whole it is of, over the late past.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Counts {
    pub(crate) sums: [f64; 2],
    pub(crate) at: Time,
}

impl Default for Counts {
    fn default() -> Self {
        Self { sums: [0.0; 2], at: NEVER }
    }
}

impl Counts {
    /// The sums as of now, when they last for `memory` microseconds.
    pub(crate) fn now(&self, now: Time, memory: f64) -> [f64; 2] {
        let keeps = (-((now - self.at).0 as f64) / memory).exp();
        self.sums.map(|sum| sum * keeps)
    }

    /// Adds to both.
    pub(crate) fn add(&mut self, now: Time, memory: f64, more: [f64; 2]) {
        let kept = self.now(now, memory);
        *self = Self { sums: [kept[0] + more[0], kept[1] + more[1]], at: now };
    }

    /// The part that they hold, where `prior` counts for so much.
    pub(crate) fn part(&self, now: Time, memory: f64, prior: f64, weight: f64) -> f64 {
        let [part, whole] = self.now(now, memory);
        (part + prior * weight) / (whole + weight)
    }
}
