//! Changes of primary: what a group knows of its primary, and what may be done with its writes meanwhile. No I/O, no clock and
//! no random numbers of its own; the decision module asks it, and still picks, retries and refuses itself.
//!
//! [`PrimaryTracker`] holds the state of one group; every turn of it has a named piece of [`Evidence`]. [`PrimarySearch`] says whom to ask
//! while no primary is known, [`ChangeDurations`] remembers how long changes took, [`order`] is the order in which held requests go
//! out, and [`Record`] keeps the latest turns for the people on call.

mod durations;
mod order;
mod record;
mod search;

pub use durations::{ChangeDurations, ChangeKind};
pub use order::{HeldRequest, sort_held};
pub use record::{Record, Transition};
pub use search::PrimarySearch;

use crate::interface::*;

/// What may be out at a primary that was just found and has answered nothing yet, for one router. All routers learn of it at
/// about the same time; each answer in turn makes room for one more beside the one that takes its place.
const INITIAL_WINDOW: f64 = 2.0;
/// A release this wide is over: the concurrency limit at the member is what binds.
const MAX_WINDOW: f64 = 64.0;
/// A held write that has walked less than it may is tried at each heir this often at most; the answer of a box that is no
/// primary costs it nothing but a step of its walk. All routers together do so no more than 250 times a second.
const TRIAL_INTERVAL: Span = Span::millis(40);
const MAX_TRIALS_PER_S: f64 = 250.0;
const MAX_TRIAL_INTERVAL: Span = Span::millis(1_000);
/// From how long and how many answers the pace of a release is told, and how much faster it may yet get: a cold primary
/// warms up.
const MIN_RATE_PERIOD: Span = Span::millis(500);
const MIN_RATE_ANSWERS: u32 = 5;
const MAX_SPEEDUP: f64 = 2.0;
/// So many held writes are tried at once, and a write's last moments.
const MAX_WRITES_TRIED: u32 = 16;
const DEADLINE_MARGIN: Span = Span::millis(30);
/// A primary that is silent for so long may have a successor soon.
const MIN_SILENCE: Span = Span::millis(300);
/// What is not known of any position.
const POSITION_UNKNOWN: Time = Time(i64::MIN / 4);

/// What is known of a group's primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Nothing shows that the marked member is the primary, or something speaks against it. Writes walk.
    #[default]
    Doubted,
    /// The marked member was shown as the primary, and nothing speaks against it.
    Settled,
    /// Nobody is known to be the primary. Writes and fresh reads wait.
    Without,
    /// One is confirmed, and has answered nothing of what waited. A few go out.
    Found,
    /// It answers: what waited goes out, more with each answer.
    Releasing,
}

/// What turns a group's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Evidence {
    /// The list names a primary; the weakest.
    Listed,
    /// An answer or a report shows a primary.
    Shown,
    /// A write was turned away by who is none (25006).
    TurnedAway,
    /// No connection came up, or it broke before the last byte.
    Unreached,
    /// Attempts are out for far too long, or failed in a row.
    Silent,
    /// The list says that the marked member drains or is gone.
    Drain,
    /// A write has walked as far as it may.
    Walked,
    /// A member answered what had waited.
    Answered,
    /// Nothing waits any more.
    Empty,
}

/// What is known of a member that may be sent to.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// The member.
    pub member: MemberId,
    /// Up to where it has applied the log, as far as is known.
    pub position: Time,
    /// When it was last asked.
    pub last_probe: Time,
    /// It was last shown as the primary: it takes part in the rounds, but is no heir.
    pub was_primary: bool,
    /// The list names it as the primary.
    pub listed_as_primary: bool,
    /// Something speaks against its being well.
    pub suspect: bool,
    /// It has room for one more.
    pub has_room: bool,
    /// A write is out at it.
    pub write_in_flight: bool,
}

/// Where a write goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WritePlacement {
    /// To the marked member, if it has room.
    Mark(MemberId),
    /// It waits, or is tried at a member; and these are to be asked who the primary is.
    Wait(Option<MemberId>, Vec<MemberId>),
}

/// The state of a group.
#[derive(Clone, Debug, Default)]
pub struct PrimaryTracker {
    phase: Phase,
    mark: Option<MemberId>,
    /// Since when the primary is in question, and whether a drain of it was told; `None` while it is not.
    lost: Option<(Time, ChangeKind)>,
    /// Who was the primary before it came into question.
    previous: Option<MemberId>,
    /// How much of what waited may be out at the found primary.
    writes_allowed: f64,
    /// When the primary was found, when it last answered, and how often since.
    release_progress: Option<(Time, Time, u32)>,
    /// How many waited when it was last looked at.
    waiting: usize,
    last_trial: Option<Time>,
    /// Members that were tried without a pause after a drain was told.
    trials: usize,
    search: PrimarySearch,
    /// The latest turns.
    pub record: Record,
}

impl PrimaryTracker {
    /// The state.
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

    /// How much may be out at the primary because of a change: nothing binds but in a release.
    #[must_use]
    pub fn window(&self) -> f64 {
        if matches!(self.phase, Phase::Found | Phase::Releasing) {
            self.writes_allowed
        } else {
            f64::INFINITY
        }
    }

    /// Where a write goes that has walked so far. `shown`: nothing speaks against the mark.
    pub fn place(
        &mut self,
        now: Time,
        members: &[MemberView],
        confirmed: bool,
        walk_steps: u32,
        settings: &Settings,
    ) -> Option<WritePlacement> {
        let (fleet, most) = (settings.fleet, settings.max_attempts / 2);
        let there = |id: &MemberId| members.iter().find(|view| view.member == *id);
        // A fresh router starts where the list points, else at the lowest id; a mark that may not be sent to any
        // more passes to the next.
        let kept = self.mark.as_ref().and_then(there).or(members.iter().find(|view| view.listed_as_primary));
        let mark = kept.or_else(|| next(members, self.mark.as_ref()))?;
        self.set_mark(now, &mark.member, Evidence::Listed);
        let bound = u32::try_from(members.len()).unwrap_or(u32::MAX).min(most).max(1);
        if !confirmed && walk_steps >= bound {
            self.invalidate_mark(now, Evidence::Walked);
        }
        if confirmed || (self.phase != Phase::Without && !mark.suspect) {
            return Some(WritePlacement::Mark(mark.member.clone()));
        }
        // One that was just found may be on trial: one request at a time.
        if matches!(self.phase, Phase::Settled | Phase::Doubted) {
            self.invalidate_mark(now, Evidence::Silent);
        }
        let scout = if walk_steps < bound { self.trial_member(now, members, fleet) } else { None };
        Some(WritePlacement::Wait(scout, self.probe_targets(now, fleet, members)))
    }

    /// Whom to ask who the primary is. A planned change is short, and has its heirs asked more often.
    pub fn probe_targets(&mut self, now: Time, fleet: u32, members: &[MemberView]) -> Vec<MemberId> {
        let planned =
            self.phase == Phase::Without && self.lost.is_some_and(|(_, kind)| kind == ChangeKind::Planned);
        self.search.probe_targets(now, fleet, planned, members)
    }

    /// A write at a member is proven not to have run there. If that was the mark, it passes to the next.
    pub fn write_not_run(&mut self, now: Time, member: &MemberId, why: Evidence, members: &[MemberView]) {
        if self.mark.as_ref() == Some(member) {
            self.invalidate_mark(now, why);
            self.mark = next(members, Some(member)).map(|view| view.member.clone()).or(self.mark.take());
        }
    }

    /// A member is taken for the primary from now on.
    pub fn set_mark(&mut self, now: Time, member: &MemberId, why: Evidence) {
        if self.mark.as_ref() != Some(member) {
            if matches!(self.phase, Phase::Settled | Phase::Found | Phase::Releasing) {
                self.invalidate_mark(now, why);
            }
            self.mark = Some(member.clone());
        }
    }

    /// The marked member can't be or is not the primary: proof from a write, silence, or a drain that was told. A drain
    /// needs no walk to prove it.
    pub fn invalidate_mark(&mut self, now: Time, why: Evidence) {
        let told = why == Evidence::Drain;
        let (at, kind) = self.lost.unwrap_or((now, ChangeKind::Unplanned));
        self.lost = Some((at, if told { ChangeKind::Planned } else { kind }));
        if self.previous.is_none() && matches!(self.phase, Phase::Settled | Phase::Found | Phase::Releasing) {
            self.previous = self.mark.clone();
        }
        let phase = match why {
            Evidence::Drain | Evidence::Walked => Phase::Without,
            _ => Phase::Doubted,
        };
        if self.phase != Phase::Without && self.phase != phase {
            // After a walk, or where it goes on, members are not tried once more without a pause.
            self.trials = if told { 0 } else { usize::MAX };
            self.last_trial = (!told).then_some(now);
            self.transition(now, phase, why);
        }
    }

    /// Takes in what is known by now: when the mark was last shown as the primary, if nothing speaks against it; whether it
    /// is told to drain; and how many requests wait. Gives whether a primary is shown after there was none, or another one;
    /// where that ends a change, its length is learned.
    pub fn update(
        &mut self,
        now: Time,
        confirmed: Option<Time>,
        drains: bool,
        waiting: usize,
        durations: &mut ChangeDurations,
    ) -> bool {
        self.waiting = waiting;
        if drains {
            self.invalidate_mark(now, Evidence::Drain);
        }
        let releasing = matches!(self.phase, Phase::Found | Phase::Releasing);
        if releasing && waiting == 0 {
            self.transition(now, Phase::Settled, Evidence::Empty);
        }
        let Some(at) = confirmed.filter(|_| !drains && !releasing && self.phase != Phase::Settled) else {
            return false;
        };
        // What was known before it was lost does not show that it is back.
        if self.phase == Phase::Without && self.lost.is_some_and(|(lost, _)| at <= lost) {
            return false;
        }
        let before = self.previous.take();
        let changed = before.is_some() && before != self.mark;
        let news = changed || self.phase == Phase::Without;
        if let Some((at, kind)) = self.lost.take().filter(|_| changed) {
            durations.observe(kind, now - at);
        }
        (self.writes_allowed, self.release_progress) = (INITIAL_WINDOW, Some((now, now, 0)));
        self.transition(
            now,
            if changed && waiting > 0 { Phase::Found } else { Phase::Settled },
            Evidence::Shown,
        );
        news
    }

    /// An attempt or a probe at a member ended so. With each answer of the primary, what waits may go out faster; where no
    /// connection comes up to who was the primary and is in question already, it is gone, and the others may be tried.
    pub fn record_outcome(&mut self, now: Time, member: &MemberId, verdict: Verdict) {
        if self.mark.as_ref() != Some(member) {
            return;
        }
        match (verdict, self.phase) {
            (Verdict::Ok, Phase::Found) => self.transition(now, Phase::Releasing, Evidence::Answered),
            (Verdict::Ok, Phase::Releasing) if self.writes_allowed > MAX_WINDOW => {
                self.transition(now, Phase::Settled, Evidence::Answered);
            }
            (Verdict::ConnectFailed | Verdict::Unreachable, Phase::Doubted) if self.previous == self.mark => {
                (self.trials, self.last_trial) = (0, None);
                self.transition(now, Phase::Without, Evidence::Unreached);
            }
            _ => {}
        }
        if verdict == Verdict::Ok {
            self.writes_allowed += 1.0;
            self.release_progress =
                self.release_progress.map(|(at, _, answers)| (at, now, answers.saturating_add(1)));
        }
    }

    /// The member at which a held write may be tried now, so that the new primary is known before a report tells. One at a
    /// time. After a drain was told each member once, those first that have most of the log; then the heirs take turns.
    fn trial_member(&mut self, now: Time, members: &[MemberView], fleet: u32) -> Option<MemberId> {
        let silent = self.lost.is_some_and(|(at, _)| now - at > MIN_SILENCE);
        let due = self.phase == Phase::Without || (self.phase == Phase::Doubted && silent);
        if !due || members.iter().any(|view| view.write_in_flight && !view.was_primary) {
            return None;
        }
        let may = |view: &&MemberView| {
            !view.was_primary && !view.suspect && view.has_room && view.position > POSITION_UNKNOWN
        };
        let mut known: Vec<&MemberView> = members.iter().filter(may).collect();
        known.sort_by_key(|view| std::cmp::Reverse(view.position));
        let pick = match known.get(self.trials) {
            Some(pick) => *pick,
            None => {
                let heirs: Vec<&MemberView> = search::candidates(members).into_iter().filter(may).collect();
                let most = Span((f64::from(fleet) / MAX_TRIALS_PER_S * 1e6) as i64).min(MAX_TRIAL_INTERVAL);
                let every = TRIAL_INTERVAL.times(1.0 / heirs.len().max(1) as f64).max(most);
                if self.last_trial.is_some_and(|at| now - at < every) {
                    return None;
                }
                *heirs.get((now.0 / every.0).unsigned_abs() as usize % heirs.len().max(1))?
            }
        };
        self.trials = self.trials.saturating_add(1);
        self.last_trial = Some(now);
        Some(pick.member.clone())
    }

    /// Whether who gives up then waits in vain, by what is known of such changes.
    #[must_use]
    pub fn outlasts(&self, deadline: Time, durations: &ChangeDurations) -> bool {
        let lost = self.lost.filter(|_| self.phase == Phase::Without);
        lost.and_then(|(at, kind)| Some(at + durations.minimum(kind)? > deadline)).unwrap_or(false)
    }

    /// The held requests that are to be tried now, in their order, and those that can't be reached in time by the pace of a
    /// release.
    ///
    /// Of the writes these are the first few, and those that have walked least while nobody is the primary: if none of them can
    /// go, no other can. It keeps what thousands of held writes cost from growing with each event. Who is out of time,
    /// or waits in vain, is always named, to be told so.
    #[must_use]
    pub fn release_order(
        &self,
        now: Time,
        mut held: Vec<HeldRequest>,
        durations: &ChangeDurations,
    ) -> (Vec<RequestId>, Vec<RequestId>) {
        sort_held(&mut held, self.phase);
        let least =
            held.iter().filter(|request| request.write).map(|request| request.walk_steps).min().unwrap_or(0);
        let (mut go, mut late, mut ahead, mut writes) = (Vec::with_capacity(held.len()), Vec::new(), 0, 0);
        for request in &held {
            let reached = self
                .release_interval()
                .filter(|_| request.needs_primary)
                .map(|each| now + each.times(f64::from(ahead)));
            if reached.is_some_and(|at| at > request.deadline) {
                late.push(request.id);
                continue;
            }
            ahead += u32::from(request.needs_primary);
            let ends = request.deadline - now < DEADLINE_MARGIN || self.outlasts(request.deadline, durations);
            let able = self.phase != Phase::Without || request.walk_steps == least;
            if !request.write || ends || (able && writes < MAX_WRITES_TRIED) {
                writes += u32::from(request.write);
                go.push(request.id);
            }
        }
        (go, late)
    }

    /// The least time that each of those takes that go out in a release, as far as its pace is told.
    fn release_interval(&self) -> Option<Span> {
        let (at, last, answers) = self.release_progress.filter(|_| self.phase == Phase::Releasing)?;
        let told = last - at > MIN_RATE_PERIOD && answers >= MIN_RATE_ANSWERS;
        told.then(|| Span((last - at).0 / i64::from(answers)).times(1.0 / MAX_SPEEDUP))
    }

    /// When to come back, from now: when a primary is to be expected, or when a slow release will be through. `None` while
    /// neither binds, or nothing is known of how long it takes.
    #[must_use]
    pub fn expected_wait(&self, now: Time, durations: &ChangeDurations) -> Option<Span> {
        if let Some(each) = self.release_interval() {
            return Some(each.times(self.waiting as f64));
        }
        let (since, kind) = self.lost.filter(|_| self.phase == Phase::Without)?;
        Some((since + durations.typical(kind)? - now).max(Span(0)))
    }

    /// A member has left the group.
    pub fn remove_member(&mut self, member: &MemberId) {
        self.mark.take_if(|mark| mark == member);
        self.previous.take_if(|before| before == member);
    }

    fn transition(&mut self, now: Time, to: Phase, why: Evidence) {
        self.record.add(Transition { at: now, from: self.phase, to, why, member: self.mark.clone() });
        self.phase = to;
    }
}

/// The member that a walk goes on to.
fn next<'f>(members: &'f [MemberView], from: Option<&MemberId>) -> Option<&'f MemberView> {
    let mut after = members.iter().filter(|view| Some(&view.member) > from);
    after.next().or_else(|| members.iter().find(|view| Some(&view.member) != from))
}
