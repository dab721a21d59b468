//! The plain state that the decisions (`choice.rs`) keep. No decision and no tuned value stands here.

use crate::cold::Cold;
use crate::handover::{HeldRequest, PrimaryTracker};
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
pub(crate) struct InFlight {
    pub(crate) sent_at: Time,
    pub(crate) class: usize,
    pub(crate) session: Option<SessionKey>,
    pub(crate) required: Option<Time>,
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
    pub(crate) position_read_at: Time,
    /// The need of the last read that it turned away as too far behind, and when.
    pub(crate) lag_refusal: Option<(Time, Time)>,
    /// The last moments at which it was shown to be primary and replica.
    pub(crate) seen_primary_at: Time,
    pub(crate) seen_replica_at: Time,
    pub(crate) in_flight: BTreeMap<(RequestId, AttemptNo), InFlight>,
    /// When attempts that were given up while they might run are done, by the usual pace.
    pub(crate) abandoned: Vec<Time>,
    /// Its latency as a multiple of the class's usual.
    pub(crate) slowness: Slowness,
    pub(crate) failure_score: f64,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Time,
    /// What speaks against it last is that no connection came up.
    pub(crate) connect_failed: bool,
    pub(crate) last_answer_at: Time,
    /// When the latest of the attempts was sent that it has answered.
    pub(crate) latest_answered_send: Time,
    pub(crate) last_probe: Time,
    /// Concurrency concurrency_limit: grows with answers in good time, shrinks with refusals and answers too late.
    pub(crate) concurrency_limit: f64,
    pub(crate) limit_cut_at: Time,
    pub(crate) rest_until: Time,
    /// Writes that it turned away in a row.
    pub(crate) write_refusals: u32,
}

impl Member {
    /// One that the list is about to name.
    pub(crate) fn new(group: GroupId, concurrency_limit: f64) -> Self {
        let state = ListState::Gone;
        Self {
            group,
            state,
            concurrency_limit,
            position: NEVER,
            position_read_at: NEVER,
            latest_answered_send: NEVER,
            ..Self::default()
        }
    }

    /// A removal does not wipe out a drain: where only drains bind, it binds on. Gives by how
    /// much the number of members in service changes.
    pub(crate) fn apply_list_state(&mut self, state: ListState) -> f64 {
        let served = self.state == ListState::Healthy;
        if self.state != ListState::Draining || state == ListState::Healthy {
            self.state = state;
        }
        f64::from(u8::from(self.state == ListState::Healthy)) - f64::from(u8::from(served))
    }

    /// What it was last shown to be.
    pub(crate) fn role(&self) -> usize {
        if self.seen_primary_at > self.seen_replica_at { PRIMARY } else { REPLICA }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeSet<MemberId>,
    /// What is known of its primary.
    pub(crate) tracker: PrimaryTracker,
    pub(crate) held: BTreeSet<(Time, RequestId)>,
    /// Of its replicas and of its primary: slow answers, and all.
    pub(crate) late_answers: [DecayingCounts; 2],
}

impl Group {
    /// A member is of this group no more.
    pub(crate) fn remove_member(&mut self, member: &MemberId) {
        self.members.remove(member);
        self.tracker.remove_member(member);
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) member: MemberId,
    pub(crate) pending: bool,
    pub(crate) errored: bool,
}

/// A request that is owed its final answer.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
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
    pub(crate) attempt_limit: u32,
    /// An attempt may have run.
    pub(crate) may_have_run: bool,
    pub(crate) rejections: u32,
    /// When it is to be looked at: its deadline, or when its attempt is overdue.
    pub(crate) due_at: Time,
}

impl OpenRequest {
    /// Whether it was sent there before.
    pub(crate) fn tried(&self, member: &MemberId) -> bool {
        self.attempts.iter().any(|attempt| attempt.member == *member)
    }

    /// As one that waits.
    pub(crate) fn to_held(&self, id: RequestId, merit: f64, need: Need) -> HeldRequest {
        let Self { arrived, deadline, session, rejections: walk_steps, .. } = *self;
        let needs_primary = matches!(need, Need::Write | Need::Fresh) && !self.may_have_run;
        HeldRequest {
            id,
            merit,
            arrived,
            deadline,
            session,
            needs_primary,
            write: need == Need::Write,
            walk_steps,
        }
    }
}

/// A part and the whole it is of, over the late past.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingCounts {
    pub(crate) sums: [f64; 2],
    pub(crate) updated_at: Time,
}

impl Default for DecayingCounts {
    fn default() -> Self {
        Self { sums: [0.0; 2], updated_at: NEVER }
    }
}

impl DecayingCounts {
    /// The sums as of now, when they last for `memory` microseconds.
    pub(crate) fn decayed(&self, now: Time, decay_us: f64) -> [f64; 2] {
        let keeps = (-((now - self.updated_at).0 as f64) / decay_us).exp();
        self.sums.map(|sum| sum * keeps)
    }

    /// Adds to both.
    pub(crate) fn add(&mut self, now: Time, decay_us: f64, more: [f64; 2]) {
        let kept = self.decayed(now, decay_us);
        *self = Self { sums: [kept[0] + more[0], kept[1] + more[1]], updated_at: now };
    }

    /// The part that they hold, where `prior` counts for so much.
    pub(crate) fn ratio(&self, now: Time, decay_us: f64, prior: f64, weight: f64) -> f64 {
        let [part, whole] = self.decayed(now, decay_us);
        (part + prior * weight) / (whole + weight)
    }
}
