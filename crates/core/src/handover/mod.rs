//! Tracking of each group's primary through failovers and planned handovers, and what may be done with its writes
//! meanwhile. Nothing here performs I/O, reads a clock or draws random numbers. The routing module asks it, and
//! still selects members, retries and refuses requests itself.
//!
//! [`PrimaryTracker`] is the state machine of one group; each transition names its [`Evidence`].
//! [`PrimarySearch`] selects the members to probe while no primary is known, [`ChangeDurations`] remembers how
//! long changes of primary took, [`sort_held`] puts held requests into the order in which they are released, and
//! [`Record`] keeps the latest transitions for operators.

mod durations;
mod order;
mod record;
mod search;

pub use durations::{ChangeDurations, ChangeKind};
pub use order::{HeldRequest, sort_held};
pub use record::{Record, Transition};
pub use search::PrimarySearch;

use crate::interface::*;

/// Attempts that one router may have in flight at a primary that was just found and has answered nothing yet. All
/// routers learn of it at about the same time. Each answer makes room for one more beside its own replacement.
const INITIAL_WINDOW: f64 = 2.0;
/// A release ends when its window is wider than this; from there on the member's concurrency limit is what binds.
const MAX_WINDOW: f64 = 64.0;
/// Least interval between held writes that are tried at the same candidate. A member that is not the primary
/// refuses such a write, which costs it no more than one of the members that it may try.
const TRIAL_INTERVAL: Span = Span::millis(40);
/// Upper bound of trials per second of all routers together.
const MAX_TRIALS_PER_S: f64 = 250.0;
/// Upper bound of the interval that results from that rate.
const MAX_TRIAL_INTERVAL: Span = Span::millis(1_000);
/// The least time that a release has lasted before its rate is estimated.
const MIN_RATE_PERIOD: Span = Span::millis(500);
/// The least number of answers in a release before its rate is estimated.
const MIN_RATE_ANSWERS: u32 = 5;
/// A release may become this many times faster than it was so far, since a cold primary warms up.
const MAX_SPEEDUP: f64 = 2.0;
/// The number of held writes that are considered at once.
const MAX_WRITES_TRIED: u32 = 16;
/// A held write this close to its deadline is always considered, so that it gets its final answer.
const DEADLINE_MARGIN: Span = Span::millis(30);
/// A primary that has been silent for longer may have a successor, so that held writes are tried at candidates.
const MIN_SILENCE: Span = Span::millis(300);
/// The position of a member of which none is known.
const POSITION_UNKNOWN: Time = Time(i64::MIN / 4);

/// What is known of a group's primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Nothing shows that the marked member is the primary, or something speaks against it. Writes try one member
    /// after the other.
    #[default]
    Doubted,
    /// The marked member was seen to be the primary, and nothing speaks against it.
    Settled,
    /// No member is known to be the primary. Writes and fresh reads are held.
    Without,
    /// A new primary was seen, and has not answered any held request yet. A few of them are sent.
    Found,
    /// The new primary answers. Held requests are sent, more with each answer.
    Releasing,
}

/// The reason for a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Evidence {
    /// The list names a primary. This is the weakest evidence.
    Listed,
    /// An answer or a report shows a primary.
    Shown,
    /// A member refused a write since it is not the primary (SQLSTATE 25006).
    TurnedAway,
    /// No connection could be established, or it broke before the last byte was sent.
    Unreached,
    /// Attempts are overdue, or several failed in a row.
    Silent,
    /// The list says that the marked member drains or is gone.
    Drain,
    /// A write was rejected by as many members as it may try.
    Walked,
    /// A member answered a request that had been held.
    Answered,
    /// No requests are held any more.
    Empty,
}

/// What is known of a member that may be sent to.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// The member.
    pub member: MemberId,
    /// The log position up to which it is known to have applied everything.
    pub position: Time,
    /// When it was last probed.
    pub last_probe: Time,
    /// Its latest known role is primary. It is probed in the rounds, but is not a candidate for the new primary.
    pub was_primary: bool,
    /// The list names it as the primary.
    pub listed_as_primary: bool,
    /// Something speaks against its health.
    pub suspect: bool,
    /// It has room for one more attempt.
    pub has_room: bool,
    /// A write is in flight at it.
    pub write_in_flight: bool,
}

/// Where a write goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WritePlacement {
    /// To the marked member, if it has room.
    Mark(MemberId),
    /// It is tried at the first member, if there is one, and held otherwise. The members of the list are to be
    /// probed for who the primary is.
    Wait(Option<MemberId>, Vec<MemberId>),
}

/// The state of a group with respect to its primary.
#[derive(Clone, Debug, Default)]
pub struct PrimaryTracker {
    phase: Phase,
    mark: Option<MemberId>,
    /// Since when the primary is in question, and by which kind of change; `None` while it is not.
    lost: Option<(Time, ChangeKind)>,
    /// The primary before it came into question.
    previous: Option<MemberId>,
    /// How many held requests may be in flight at the found primary.
    release_window: f64,
    /// When the primary was found, when it last answered, and its number of answers since.
    release_progress: Option<(Time, Time, u32)>,
    /// The number of held requests at the latest update.
    waiting: usize,
    last_trial: Option<Time>,
    /// The number of members at which writes were tried without a pause after a drain.
    trials: usize,
    search: PrimarySearch,
    /// The latest transitions.
    pub record: Record,
}

impl PrimaryTracker {
    /// What is known of the primary.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The member that is taken for the primary.
    #[must_use]
    pub fn mark(&self) -> Option<&MemberId> {
        self.mark.as_ref()
    }

    /// Since when the primary is in question.
    #[must_use]
    pub fn lost_since(&self) -> Option<Time> {
        self.lost.map(|(at, _)| at)
    }

    /// How many attempts may be in flight at the primary because of a change; infinite except during a release.
    #[must_use]
    pub fn window(&self) -> f64 {
        if matches!(self.phase, Phase::Found | Phase::Releasing) {
            self.release_window
        } else {
            f64::INFINITY
        }
    }

    /// Where a write goes that was rejected by `members_tried` members so far. `confirmed` means that nothing speaks
    /// against the mark. `None` for a group without members.
    pub fn place(
        &mut self,
        now: Time,
        members: &[MemberView],
        confirmed: bool,
        members_tried: u32,
        settings: &Settings,
    ) -> Option<WritePlacement> {
        let (fleet, max_steps) = (settings.fleet, settings.max_attempts / 2);
        let view_of = |id: &MemberId| members.iter().find(|view| view.member == *id);
        // A new router starts with the primary that the list names, or else with the lowest id. A mark that may
        // no longer be sent to passes to the next member.
        let kept =
            self.mark.as_ref().and_then(view_of).or(members.iter().find(|view| view.listed_as_primary));
        let mark = kept.or_else(|| next_member(members, self.mark.as_ref()))?;
        self.set_mark(now, &mark.member, Evidence::Listed);
        let bound = u32::try_from(members.len()).unwrap_or(u32::MAX).min(max_steps).max(1);
        if !confirmed && members_tried >= bound {
            self.invalidate_mark(now, Evidence::Walked);
        }
        if confirmed || (self.phase != Phase::Without && !mark.suspect) {
            return Some(WritePlacement::Mark(mark.member.clone()));
        }
        // A suspect primary that was just found stays in its phase: it is on trial, with one request at a time.
        if matches!(self.phase, Phase::Settled | Phase::Doubted) {
            self.invalidate_mark(now, Evidence::Silent);
        }
        let trial = if members_tried < bound { self.trial_member(now, members, fleet) } else { None };
        Some(WritePlacement::Wait(trial, self.probe_targets(now, fleet, members)))
    }

    /// The members to probe for who the primary is. During a planned change, which is short, candidates are
    /// probed more often.
    pub fn probe_targets(&mut self, now: Time, fleet: u32, members: &[MemberView]) -> Vec<MemberId> {
        let planned =
            self.phase == Phase::Without && self.lost.is_some_and(|(_, kind)| kind == ChangeKind::Planned);
        self.search.probe_targets(now, fleet, planned, members)
    }

    /// Records proof that a write did not run at a member. If that is the marked member, the mark passes to the
    /// next.
    pub fn write_not_run(&mut self, now: Time, member: &MemberId, why: Evidence, members: &[MemberView]) {
        if self.mark.as_ref() == Some(member) {
            self.invalidate_mark(now, why);
            self.mark =
                next_member(members, Some(member)).map(|view| view.member.clone()).or(self.mark.take());
        }
    }

    /// Takes a member for the primary from now on.
    pub fn set_mark(&mut self, now: Time, member: &MemberId, why: Evidence) {
        if self.mark.as_ref() != Some(member) {
            if matches!(self.phase, Phase::Settled | Phase::Found | Phase::Releasing) {
                self.invalidate_mark(now, why);
            }
            self.mark = Some(member.clone());
        }
    }

    /// Records that the marked member is not or cannot be the primary: by proof from a write, by its silence, or
    /// by a drain. After a drain no write has to try all members first.
    pub fn invalidate_mark(&mut self, now: Time, why: Evidence) {
        let drained = why == Evidence::Drain;
        let (at, kind) = self.lost.unwrap_or((now, ChangeKind::Unplanned));
        self.lost = Some((at, if drained { ChangeKind::Planned } else { kind }));
        if self.previous.is_none() && matches!(self.phase, Phase::Settled | Phase::Found | Phase::Releasing) {
            self.previous = self.mark.clone();
        }
        let phase = match why {
            Evidence::Drain | Evidence::Walked => Phase::Without,
            _ => Phase::Doubted,
        };
        if self.phase != Phase::Without && self.phase != phase {
            // Where writes have tried the members, or still do, these are not tried again without a pause.
            self.trials = if drained { 0 } else { usize::MAX };
            self.last_trial = (!drained).then_some(now);
            self.transition(now, phase, why);
        }
    }

    /// Takes in what is known by now: the latest time at which the mark was seen to be the primary, if nothing
    /// speaks against it; whether the list has it draining; and the number of held requests. Returns whether a
    /// primary is known after there was none, or another one than before. Where that ends a change, its duration
    /// is added to `durations`.
    pub fn update(
        &mut self,
        now: Time,
        confirmed_at: Option<Time>,
        draining: bool,
        waiting: usize,
        durations: &mut ChangeDurations,
    ) -> bool {
        self.waiting = waiting;
        if draining {
            self.invalidate_mark(now, Evidence::Drain);
        }
        let releasing = matches!(self.phase, Phase::Found | Phase::Releasing);
        if releasing && waiting == 0 {
            self.transition(now, Phase::Settled, Evidence::Empty);
        }
        let Some(at) = confirmed_at.filter(|_| !draining && !releasing && self.phase != Phase::Settled)
        else {
            return false;
        };
        // An observation from before the loss does not show that the primary is back.
        if self.phase == Phase::Without && self.lost.is_some_and(|(lost_at, _)| at <= lost_at) {
            return false;
        }
        let previous = self.previous.take();
        let changed = previous.is_some() && previous != self.mark;
        let newly_known = changed || self.phase == Phase::Without;
        if let Some((at, kind)) = self.lost.take().filter(|_| changed) {
            durations.observe(kind, now - at);
        }
        (self.release_window, self.release_progress) = (INITIAL_WINDOW, Some((now, now, 0)));
        self.transition(
            now,
            if changed && waiting > 0 { Phase::Found } else { Phase::Settled },
            Evidence::Shown,
        );
        newly_known
    }

    /// Records how an attempt or a probe at a member ended. Each answer of the primary widens the window of a
    /// release. If no connection can be established to a primary that is in question already, it is gone, and
    /// writes may be tried at the others.
    pub fn record_outcome(&mut self, now: Time, member: &MemberId, verdict: Verdict) {
        if self.mark.as_ref() != Some(member) {
            return;
        }
        match (verdict, self.phase) {
            (Verdict::Ok, Phase::Found) => self.transition(now, Phase::Releasing, Evidence::Answered),
            (Verdict::Ok, Phase::Releasing) if self.release_window > MAX_WINDOW => {
                self.transition(now, Phase::Settled, Evidence::Answered);
            }
            (Verdict::ConnectFailed | Verdict::Unreachable, Phase::Doubted) if self.previous == self.mark => {
                (self.trials, self.last_trial) = (0, None);
                self.transition(now, Phase::Without, Evidence::Unreached);
            }
            _ => {}
        }
        if verdict == Verdict::Ok {
            self.release_window += 1.0;
            self.release_progress =
                self.release_progress.map(|(at, _, answers)| (at, now, answers.saturating_add(1)));
        }
    }

    /// The member at which a held write may be tried now, so that the new primary is known before a report shows
    /// it. At most one write is tried at a time. After a drain each member is tried once, in the order of their
    /// positions from the latest; after that the candidates take turns.
    fn trial_member(&mut self, now: Time, members: &[MemberView], fleet: u32) -> Option<MemberId> {
        let silent = self.lost.is_some_and(|(at, _)| now - at > MIN_SILENCE);
        let due = self.phase == Phase::Without || (self.phase == Phase::Doubted && silent);
        if !due || members.iter().any(|view| view.write_in_flight && !view.was_primary) {
            return None;
        }
        let eligible = |view: &&MemberView| {
            !view.was_primary && !view.suspect && view.has_room && view.position > POSITION_UNKNOWN
        };
        let mut by_position: Vec<&MemberView> = members.iter().filter(eligible).collect();
        by_position.sort_by_key(|view| std::cmp::Reverse(view.position));
        let pick = match by_position.get(self.trials) {
            Some(pick) => *pick,
            None => {
                let candidates: Vec<&MemberView> =
                    search::candidates(members).into_iter().filter(eligible).collect();
                let fleet_interval =
                    Span((f64::from(fleet) / MAX_TRIALS_PER_S * 1e6) as i64).min(MAX_TRIAL_INTERVAL);
                let interval = TRIAL_INTERVAL.times(1.0 / candidates.len().max(1) as f64).max(fleet_interval);
                if self.last_trial.is_some_and(|at| now - at < interval) {
                    return None;
                }
                *candidates.get((now.0 / interval.0).unsigned_abs() as usize % candidates.len().max(1))?
            }
        };
        self.trials = self.trials.saturating_add(1);
        self.last_trial = Some(now);
        Some(pick.member.clone())
    }

    /// Whether the present change, by what is known of such changes, will last beyond this deadline.
    #[must_use]
    pub fn outlasts(&self, deadline: Time, durations: &ChangeDurations) -> bool {
        let lost = self.lost.filter(|_| self.phase == Phase::Without);
        lost.and_then(|(at, kind)| Some(at + durations.minimum(kind)? > deadline)).unwrap_or(false)
    }

    /// The held requests that are to be tried now, in their order, and those that the release will not reach in
    /// time.
    ///
    /// Of the writes only the first few are listed and, while no primary is known, only those that were rejected
    /// least often: if none of these can be sent, no other can. This keeps the cost of an event from growing with
    /// thousands of held writes. Requests at the end of their time, or which the change outlasts, are always
    /// listed, so that they get their final answer.
    #[must_use]
    pub fn release_order(
        &self,
        now: Time,
        mut held: Vec<HeldRequest>,
        durations: &ChangeDurations,
    ) -> (Vec<RequestId>, Vec<RequestId>) {
        sort_held(&mut held, self.phase);
        let fewest_tried = held
            .iter()
            .filter(|request| request.write)
            .map(|request| request.members_tried)
            .min()
            .unwrap_or(0);
        let (mut ready, mut too_late, mut ahead, mut writes) =
            (Vec::with_capacity(held.len()), Vec::new(), 0, 0);
        for request in &held {
            let reached_at = self
                .release_interval()
                .filter(|_| request.needs_primary)
                .map(|interval| now + interval.times(f64::from(ahead)));
            if reached_at.is_some_and(|at| at > request.deadline) {
                too_late.push(request.id);
                continue;
            }
            ahead += u32::from(request.needs_primary);
            let ends = request.deadline - now < DEADLINE_MARGIN || self.outlasts(request.deadline, durations);
            let may_try = self.phase != Phase::Without || request.members_tried == fewest_tried;
            if !request.write || ends || (may_try && writes < MAX_WRITES_TRIED) {
                writes += u32::from(request.write);
                ready.push(request.id);
            }
        }
        (ready, too_late)
    }

    /// The least time between two requests of a release, once enough answers came to estimate it.
    fn release_interval(&self) -> Option<Span> {
        let (at, last_answer, answers) = self.release_progress.filter(|_| self.phase == Phase::Releasing)?;
        let enough = last_answer - at > MIN_RATE_PERIOD && answers >= MIN_RATE_ANSWERS;
        enough.then(|| Span((last_answer - at).0 / i64::from(answers)).times(1.0 / MAX_SPEEDUP))
    }

    /// The time from now until a primary is expected, or until a slow release will be done. `None` while neither
    /// applies, or where nothing is known of how long it takes.
    #[must_use]
    pub fn expected_wait(&self, now: Time, durations: &ChangeDurations) -> Option<Span> {
        if let Some(interval) = self.release_interval() {
            return Some(interval.times(self.waiting as f64));
        }
        let (since, kind) = self.lost.filter(|_| self.phase == Phase::Without)?;
        Some((since + durations.typical(kind)? - now).max(Span(0)))
    }

    /// Forgets a member that has left the group.
    pub fn remove_member(&mut self, member: &MemberId) {
        self.mark.take_if(|mark| mark == member);
        self.previous.take_if(|previous| previous == member);
    }

    fn transition(&mut self, now: Time, to: Phase, why: Evidence) {
        self.record.add(Transition { at: now, from: self.phase, to, why, member: self.mark.clone() });
        self.phase = to;
    }
}

/// The member that follows `from` in the order of ids, with wrap-around.
fn next_member<'f>(members: &'f [MemberView], from: Option<&MemberId>) -> Option<&'f MemberView> {
    let mut after = members.iter().filter(|view| Some(&view.member) > from);
    after.next().or_else(|| members.iter().find(|view| Some(&view.member) != from))
}
