//! The state behind the routing decisions in `choice.rs`. This file holds no decisions and no tuning constants.

use crate::handover::{HeldRequest, PrimaryTracker};
use crate::interface::*;
use crate::sessions::LastCommit;
use crate::slow_start::SlowStart;
use crate::slowness::Slowness;
use std::collections::{BTreeMap, BTreeSet};

/// Roles as indexes of per-role counts.
pub(crate) const REPLICA: usize = 0;
pub(crate) const PRIMARY: usize = 1;
/// A time before every event, far enough from the limits that differences do not saturate.
pub(crate) const NEVER: Time = Time(i64::MIN / 4);

/// An attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) sent_at: Time,
    pub(crate) class: usize,
    pub(crate) session: Option<SessionKey>,
    /// The log position that its member, if it checks its reads, has applied once it answers.
    pub(crate) proven: Option<Time>,
}

/// A member of the list, with what is known of its role, position and health.
#[derive(Clone, Debug, Default)]
pub(crate) struct Member {
    pub(crate) group: GroupId,
    pub(crate) state: ListState,
    /// The list names it as the primary.
    pub(crate) listed_primary: bool,
    /// Its slow start after a recent start.
    pub(crate) cold: SlowStart,
    /// The log position up to which it has applied everything; never decreases.
    pub(crate) position: Time,
    /// When the position was last observed.
    pub(crate) position_read_at: Time,
    /// The position that the latest read required which it refused as too far behind, and when it did.
    pub(crate) lag_refusal: Option<(Time, Time)>,
    /// The latest times for which there is evidence that it was the primary, or a replica.
    pub(crate) seen_primary_at: Time,
    pub(crate) seen_replica_at: Time,
    pub(crate) in_flight: BTreeMap<(RequestId, AttemptNo), InFlight>,
    /// When attempts that were abandoned while they may still run should be done, by the usual latency.
    pub(crate) abandoned: Vec<Time>,
    /// Its latency as a multiple of what is usual for the classes.
    pub(crate) slowness: Slowness,
    /// From 0 (healthy) to 1 (dead).
    pub(crate) failure_score: f64,
    /// Ejections that were not yet offset by as many answers.
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Time,
    /// The latest failure was a connection that could not be established.
    pub(crate) connect_failed: bool,
    pub(crate) last_answer_at: Time,
    /// The latest send time among its answered attempts.
    pub(crate) latest_answered_send: Time,
    pub(crate) last_probe: Time,
    /// Grows with answers that are in time, shrinks with refusals and with late answers.
    pub(crate) concurrency_limit: f64,
    /// When the concurrency limit was last reduced.
    pub(crate) limit_cut_at: Time,
    /// It gets no attempts until then, after a refusal.
    pub(crate) rest_until: Time,
    /// Writes that it refused in a row.
    pub(crate) write_refusals: u32,
}

impl Member {
    /// A member that is not in service until a list state is applied.
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

    /// Applies a state from the list, and returns the resulting change of the number of members in service. A
    /// removal does not end a drain: where only drains are binding, the drain stays binding.
    pub(crate) fn apply_list_state(&mut self, state: ListState) -> f64 {
        let was_in_service = self.state == ListState::Healthy;
        if self.state != ListState::Draining || state == ListState::Healthy {
            self.state = state;
        }
        f64::from(u8::from(self.state == ListState::Healthy)) - f64::from(u8::from(was_in_service))
    }

    /// The role for which there is the latest evidence.
    pub(crate) fn role(&self) -> usize {
        if self.seen_primary_at > self.seen_replica_at { PRIMARY } else { REPLICA }
    }
}

/// A replication group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeSet<MemberId>,
    pub(crate) tracker: PrimaryTracker,
    /// Requests that wait, by their time of arrival.
    pub(crate) held: BTreeSet<(Time, RequestId)>,
    /// Answers that were not in time, and all answers, of its replicas and of its primary.
    pub(crate) late_answers: [DecayingCounts; 2],
}

impl Group {
    pub(crate) fn remove_member(&mut self, member: &MemberId) {
        self.members.remove(member);
        self.tracker.remove_member(member);
    }
}

/// An attempt of an open request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) member: MemberId,
    /// It has not ended.
    pub(crate) pending: bool,
    /// It ended with an error from the member.
    pub(crate) errored: bool,
}

/// A request without a final answer.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) group: GroupId,
    pub(crate) session: Option<SessionKey>,
    /// The commit that a session read must see.
    pub(crate) token: Option<LastCommit>,
    /// The client marked it as a retry.
    pub(crate) retry: bool,
    pub(crate) arrived: Time,
    /// The latency objective as a time.
    pub(crate) aim: Time,
    pub(crate) deadline: Time,
    pub(crate) attempts: Vec<Attempt>,
    /// The number of attempts that it may have, by the settings at its arrival.
    pub(crate) attempt_limit: u32,
    /// An attempt may have run.
    pub(crate) may_have_run: bool,
    /// Attempts that proved that their member is not the primary or cannot be reached.
    pub(crate) rejections: u32,
    /// When it is handled next: at its deadline, or when its attempt is to be hedged.
    pub(crate) due_at: Time,
}

impl OpenRequest {
    /// Whether it was sent to the member before.
    pub(crate) fn tried(&self, member: &MemberId) -> bool {
        self.attempts.iter().any(|attempt| attempt.member == *member)
    }

    /// The request as an entry of the release order.
    pub(crate) fn to_held(&self, id: RequestId, merit: f64, need: Need) -> HeldRequest {
        let Self { arrived, deadline, session, rejections: members_tried, .. } = *self;
        let needs_primary = matches!(need, Need::Write | Need::Fresh) && !self.may_have_run;
        HeldRequest {
            id,
            merit,
            arrived,
            deadline,
            session,
            needs_primary,
            write: need == Need::Write,
            members_tried,
        }
    }
}

/// Two exponentially decaying sums: a part and the whole that it belongs to.
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
    /// The sums at `now`, decayed with a time constant of `decay_us` microseconds.
    pub(crate) fn decayed(&self, now: Time, decay_us: f64) -> [f64; 2] {
        let factor = (-((now - self.updated_at).0 as f64) / decay_us).exp();
        self.sums.map(|sum| sum * factor)
    }

    /// Adds to both sums.
    pub(crate) fn add(&mut self, now: Time, decay_us: f64, amounts: [f64; 2]) {
        let old = self.decayed(now, decay_us);
        *self = Self { sums: [old[0] + amounts[0], old[1] + amounts[1]], updated_at: now };
    }

    /// The part's share of the whole, where `prior` counts as a share seen with this weight.
    pub(crate) fn ratio(&self, now: Time, decay_us: f64, prior: f64, weight: f64) -> f64 {
        let [part, whole] = self.decayed(now, decay_us);
        (part + prior * weight) / (whole + weight)
    }
}
