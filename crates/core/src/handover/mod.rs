//! Changes of primary: what a group knows of its primary, and what may be done with its writes meanwhile. No I/O, no clock and
//! no random numbers of its own; the decision module asks it, and still picks, retries and refuses itself.
//!
//! [`Change`] holds the state of one group; every turn of it has a named piece of [`Evidence`]. [`Seek`] says whom to ask
//! while no primary is known, [`Lengths`] remembers how long changes took, [`order`] is the order in which held requests go
//! out, and [`Record`] keeps the latest turns for the people on call.

mod lengths;
mod order;
mod record;
mod seek;

pub use lengths::{Kind, Lengths};
pub use order::{Held, order};
pub use record::{Line, Record};
pub use seek::Seek;

use crate::interface::*;

/// What may be out at a primary that was just found and has answered nothing yet, for one router. All routers learn of it at
/// about the same time; each answer in turn makes room for one more beside the one that takes its place.
const FIRST_OUT: f64 = 2.0;
/// A release this wide is over: the concurrency limit at the member is what binds.
const WIDE_OUT: f64 = 64.0;
/// A held write that has walked less than it may is tried at each heir this often at most; the answer of a box that is no
/// primary costs it nothing but a step of its walk. All routers together do so no more than 250 times a second.
const SCOUT: Span = Span::millis(40);
const MOST_SCOUTS_S: f64 = 250.0;
const LONGEST_SCOUT: Span = Span::millis(1_000);
/// From how long and how many answers the pace of a release is told, and how much faster it may yet get: a cold primary
/// warms up.
const TOLD: Span = Span::millis(500);
const TOLD_BY: u32 = 5;
const FASTER: f64 = 2.0;
/// So many held writes are tried at once, and a write's last moments.
const TRIED: u32 = 16;
const ENDS: Span = Span::millis(30);
/// A primary that is silent for so long may have a successor soon.
const SILENT: Span = Span::millis(300);
/// What is not known of any position.
const UNKNOWN: Time = Time(i64::MIN / 4);

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
    /// One is shown, and has answered nothing of what waited. A few go out.
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
pub struct Standing {
    /// The member.
    pub member: MemberId,
    /// Up to where it has applied the log, as far as is known.
    pub position: Time,
    /// When it was last asked.
    pub asked: Time,
    /// It was last shown as the primary: it takes part in the rounds, but is no heir.
    pub before: bool,
    /// The list names it as the primary.
    pub listed: bool,
    /// Something speaks against its being well.
    pub suspect: bool,
    /// It has room for one more.
    pub free: bool,
    /// A write is out at it.
    pub tried: bool,
}

/// Where a write goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// To the marked member, if it has room.
    Mark(MemberId),
    /// It waits, or is tried at a member; and these are to be asked who the primary is.
    Wait(Option<MemberId>, Vec<MemberId>),
}

/// The state of a group.
#[derive(Clone, Debug, Default)]
pub struct Change {
    phase: Phase,
    mark: Option<MemberId>,
    /// Since when the primary is in question, and whether a drain of it was told; `None` while it is not.
    lost: Option<(Time, Kind)>,
    /// Who was the primary before it came into question.
    before: Option<MemberId>,
    /// How much of what waited may be out at the found primary.
    out: f64,
    /// When the primary was found, when it last answered, and how often since.
    found: Option<(Time, Time, u32)>,
    /// How many waited when it was last looked at.
    waiting: usize,
    scouted: Option<Time>,
    /// Members that were tried without a pause after a drain was told.
    round: usize,
    seek: Seek,
    /// The latest turns.
    pub record: Record,
}

impl Change {
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
    pub fn lost(&self) -> Option<Time> {
        self.lost.map(|(at, _)| at)
    }

    /// How much may be out at the primary because of a change: nothing binds but in a release.
    #[must_use]
    pub fn window(&self) -> f64 {
        if matches!(self.phase, Phase::Found | Phase::Releasing) { self.out } else { f64::INFINITY }
    }

    /// Where a write goes that has walked so far. `shown`: nothing speaks against the mark.
    pub fn place(
        &mut self,
        now: Time,
        family: &[Standing],
        shown: bool,
        walked: u32,
        settings: &Settings,
    ) -> Option<Way> {
        let (fleet, most) = (settings.fleet, settings.max_attempts / 2);
        let there = |id: &MemberId| family.iter().find(|of| of.member == *id);
        // A fresh router starts where the list points, else at the lowest id; a mark that may not be sent to any
        // more passes to the next.
        let kept = self.mark.as_ref().and_then(there).or(family.iter().find(|of| of.listed));
        let mark = kept.or_else(|| next(family, self.mark.as_ref()))?;
        self.point(now, &mark.member, Evidence::Listed);
        let bound = u32::try_from(family.len()).unwrap_or(u32::MAX).min(most).max(1);
        if !shown && walked >= bound {
            self.against(now, Evidence::Walked);
        }
        if shown || (self.phase != Phase::Without && !mark.suspect) {
            return Some(Way::Mark(mark.member.clone()));
        }
        // One that was just found may be on trial: one request at a time.
        if matches!(self.phase, Phase::Settled | Phase::Doubted) {
            self.against(now, Evidence::Silent);
        }
        let scout = if walked < bound { self.scout(now, family, fleet) } else { None };
        Some(Way::Wait(scout, self.ask(now, fleet, family)))
    }

    /// Whom to ask who the primary is. A planned change is short, and has its heirs asked more often.
    pub fn ask(&mut self, now: Time, fleet: u32, family: &[Standing]) -> Vec<MemberId> {
        let planned =
            self.phase == Phase::Without && self.lost.is_some_and(|(_, kind)| kind == Kind::Planned);
        self.seek.ask(now, fleet, planned, family)
    }

    /// A write at a member is proven not to have run there. If that was the mark, it passes to the next.
    pub fn proved(&mut self, now: Time, member: &MemberId, why: Evidence, family: &[Standing]) {
        if self.mark.as_ref() == Some(member) {
            self.against(now, why);
            self.mark = next(family, Some(member)).map(|of| of.member.clone()).or(self.mark.take());
        }
    }

    /// A member is taken for the primary from now on.
    pub fn point(&mut self, now: Time, member: &MemberId, why: Evidence) {
        if self.mark.as_ref() != Some(member) {
            if matches!(self.phase, Phase::Settled | Phase::Found | Phase::Releasing) {
                self.against(now, why);
            }
            self.mark = Some(member.clone());
        }
    }

    /// The marked member can't be or is not the primary: proof from a write, silence, or a drain that was told. A drain
    /// needs no walk to prove it.
    pub fn against(&mut self, now: Time, why: Evidence) {
        let told = why == Evidence::Drain;
        let (at, kind) = self.lost.unwrap_or((now, Kind::Unplanned));
        self.lost = Some((at, if told { Kind::Planned } else { kind }));
        if self.before.is_none() && matches!(self.phase, Phase::Settled | Phase::Found | Phase::Releasing) {
            self.before = self.mark.clone();
        }
        let phase = match why {
            Evidence::Drain | Evidence::Walked => Phase::Without,
            _ => Phase::Doubted,
        };
        if self.phase != Phase::Without && self.phase != phase {
            // After a walk, or where it goes on, members are not tried once more without a pause.
            self.round = if told { 0 } else { usize::MAX };
            self.scouted = (!told).then_some(now);
            self.turn(now, phase, why);
        }
    }

    /// Takes in what is known by now: when the mark was last shown as the primary, if nothing speaks against it; whether it
    /// is told to drain; and how many requests wait. Gives whether a primary is shown after there was none, or another one;
    /// where that ends a change, its length is learned.
    pub fn look(
        &mut self,
        now: Time,
        shown: Option<Time>,
        drains: bool,
        waiting: usize,
        lengths: &mut Lengths,
    ) -> bool {
        self.waiting = waiting;
        if drains {
            self.against(now, Evidence::Drain);
        }
        let releasing = matches!(self.phase, Phase::Found | Phase::Releasing);
        if releasing && waiting == 0 {
            self.turn(now, Phase::Settled, Evidence::Empty);
        }
        let Some(at) = shown.filter(|_| !drains && !releasing && self.phase != Phase::Settled) else {
            return false;
        };
        // What was known before it was lost does not show that it is back.
        if self.phase == Phase::Without && self.lost.is_some_and(|(lost, _)| at <= lost) {
            return false;
        }
        let before = self.before.take();
        let changed = before.is_some() && before != self.mark;
        let news = changed || self.phase == Phase::Without;
        if let Some((at, kind)) = self.lost.take().filter(|_| changed) {
            lengths.learn(kind, now - at);
        }
        (self.out, self.found) = (FIRST_OUT, Some((now, now, 0)));
        self.turn(now, if changed && waiting > 0 { Phase::Found } else { Phase::Settled }, Evidence::Shown);
        news
    }

    /// An attempt or a probe at a member ended so. With each answer of the primary, what waits may go out faster; where no
    /// connection comes up to who was the primary and is in question already, it is gone, and the others may be tried.
    pub fn judged(&mut self, now: Time, member: &MemberId, verdict: Verdict) {
        if self.mark.as_ref() != Some(member) {
            return;
        }
        match (verdict, self.phase) {
            (Verdict::Ok, Phase::Found) => self.turn(now, Phase::Releasing, Evidence::Answered),
            (Verdict::Ok, Phase::Releasing) if self.out > WIDE_OUT => {
                self.turn(now, Phase::Settled, Evidence::Answered);
            }
            (Verdict::ConnectFailed | Verdict::Unreachable, Phase::Doubted) if self.before == self.mark => {
                (self.round, self.scouted) = (0, None);
                self.turn(now, Phase::Without, Evidence::Unreached);
            }
            _ => {}
        }
        if verdict == Verdict::Ok {
            self.out += 1.0;
            self.found = self.found.map(|(at, _, answers)| (at, now, answers.saturating_add(1)));
        }
    }

    /// The member at which a held write may be tried now, so that the new primary is known before a report tells. One at a
    /// time. After a drain was told each member once, those first that have most of the log; then the heirs take turns.
    fn scout(&mut self, now: Time, family: &[Standing], fleet: u32) -> Option<MemberId> {
        let silent = self.lost.is_some_and(|(at, _)| now - at > SILENT);
        let due = self.phase == Phase::Without || (self.phase == Phase::Doubted && silent);
        if !due || family.iter().any(|of| of.tried && !of.before) {
            return None;
        }
        let may = |of: &&Standing| !of.before && !of.suspect && of.free && of.position > UNKNOWN;
        let mut known: Vec<&Standing> = family.iter().filter(may).collect();
        known.sort_by_key(|of| std::cmp::Reverse(of.position));
        let pick = match known.get(self.round) {
            Some(pick) => *pick,
            None => {
                let heirs: Vec<&Standing> = seek::heirs(family).into_iter().filter(may).collect();
                let most = Span((f64::from(fleet) / MOST_SCOUTS_S * 1e6) as i64).min(LONGEST_SCOUT);
                let every = SCOUT.times(1.0 / heirs.len().max(1) as f64).max(most);
                if self.scouted.is_some_and(|at| now - at < every) {
                    return None;
                }
                *heirs.get((now.0 / every.0).unsigned_abs() as usize % heirs.len().max(1))?
            }
        };
        self.round = self.round.saturating_add(1);
        self.scouted = Some(now);
        Some(pick.member.clone())
    }

    /// Whether who gives up then waits in vain, by what is known of such changes.
    #[must_use]
    pub fn in_vain(&self, deadline: Time, lengths: &Lengths) -> bool {
        let lost = self.lost.filter(|_| self.phase == Phase::Without);
        lost.and_then(|(at, kind)| Some(at + lengths.least(kind)? > deadline)).unwrap_or(false)
    }

    /// The held requests that are to be tried now, in their order, and those that can't be reached in time by the pace of a
    /// release.
    ///
    /// Of the writes these are the first few, and those that have walked least while nobody is the primary: if none of them can
    /// go, no other can. It keeps what thousands of held writes cost from growing with each event. Who is out of time,
    /// or waits in vain, is always named, to be told so.
    #[must_use]
    pub fn order(
        &self,
        now: Time,
        mut held: Vec<Held>,
        lengths: &Lengths,
    ) -> (Vec<RequestId>, Vec<RequestId>) {
        order(&mut held, self.phase);
        let least = held.iter().filter(|one| one.write).map(|one| one.walked).min().unwrap_or(0);
        let (mut go, mut late, mut ahead, mut writes) = (Vec::with_capacity(held.len()), Vec::new(), 0, 0);
        for one in &held {
            let reached = self.each().filter(|_| one.primary).map(|each| now + each.times(f64::from(ahead)));
            if reached.is_some_and(|at| at > one.deadline) {
                late.push(one.id);
                continue;
            }
            ahead += u32::from(one.primary);
            let ends = one.deadline - now < ENDS || self.in_vain(one.deadline, lengths);
            let able = self.phase != Phase::Without || one.walked == least;
            if !one.write || ends || (able && writes < TRIED) {
                writes += u32::from(one.write);
                go.push(one.id);
            }
        }
        (go, late)
    }

    /// The least time that each of those takes that go out in a release, as far as its pace is told.
    fn each(&self) -> Option<Span> {
        let (at, last, answers) = self.found.filter(|_| self.phase == Phase::Releasing)?;
        let told = last - at > TOLD && answers >= TOLD_BY;
        told.then(|| Span((last - at).0 / i64::from(answers)).times(1.0 / FASTER))
    }

    /// When to come back, from now: when a primary is to be expected, or when a slow release will be through. `None` while
    /// neither binds, or nothing is known of how long it takes.
    #[must_use]
    pub fn back(&self, now: Time, lengths: &Lengths) -> Option<Span> {
        if let Some(each) = self.each() {
            return Some(each.times(self.waiting as f64));
        }
        let (since, kind) = self.lost.filter(|_| self.phase == Phase::Without)?;
        Some((since + lengths.usual(kind)? - now).max(Span(0)))
    }

    /// A member has left the group.
    pub fn forget(&mut self, member: &MemberId) {
        self.mark.take_if(|mark| mark == member);
        self.before.take_if(|before| before == member);
    }

    fn turn(&mut self, now: Time, to: Phase, why: Evidence) {
        self.record.add(Line { at: now, from: self.phase, to, why, member: self.mark.clone() });
        self.phase = to;
    }
}

/// The member that a walk goes on to.
fn next<'f>(family: &'f [Standing], from: Option<&MemberId>) -> Option<&'f Standing> {
    let mut after = family.iter().filter(|of| Some(&of.member) > from);
    after.next().or_else(|| family.iter().find(|of| Some(&of.member) != from))
}
