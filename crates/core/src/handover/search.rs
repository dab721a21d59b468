//! The search for a group's new primary.
//!
//! While a members has no primary its members' positions stand still, and the replica that has most of the log takes over.
//! So one round asks all, for their positions; after it the *candidates*, those whose position no other exceeds, are asked
//! often and the others seldom. That finds the new primary within about one interval of its being one, for fewer probes
//! than asking all in rounds that grow rarer. What is seen decides, not the guess: whoever answers that it is the primary is,
//! and if the candidates were the wrong ones, the rounds of all find that out.

use super::MemberView;
use crate::interface::*;

/// What a search eligible cost a member: probes a second, over all routers, as long as these are no more than a hundred. At
/// the most that a probe costs a member of the platform, 0.39 ms, and with four cores, that is under 1% of its work. More
/// routers ask once a second each: ten rounds a second from each of 500 cost 0.15 of G.
const MAX_PROBES_PER_S: f64 = 100.0;
/// An heir is asked no more often than this, however few routers there are: reports are no fresher.
const MIN_INTERVAL: Span = Span::millis(100);
/// A planned change is over soon, so that this is for a second at most.
const MIN_INTERVAL_PLANNED: Span = Span::millis(40);
const MAX_INTERVAL: Span = Span::millis(1_000);
/// Between two rounds of all: the first, how it grows, and the longest.
const FIRST_ROUND_WAIT: Span = Span::millis(100);
const ROUND_WAIT_GROWTH: f64 = 1.6;
const MAX_ROUND_WAIT: Span = Span::millis(1_000);
/// Positions this close are the same: reports are of different ages.
const POSITION_TOLERANCE: Span = Span::millis(2);
/// More candidates than this are no candidates: then all are asked alike.
const MAX_CANDIDATES: usize = 3;

/// The search for a group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimarySearch {
    /// When the next round of all is due.
    next_round_at: Time,
    round_wait: Span,
    /// When the search last went on; one that rested begins anew.
    last_call: Time,
    /// Whether a round of all has been asked since it began.
    round_done: bool,
}

impl Default for PrimarySearch {
    fn default() -> Self {
        let never = Time(i64::MIN / 4);
        Self { next_round_at: never, round_wait: FIRST_ROUND_WAIT, last_call: never, round_done: false }
    }
}

impl PrimarySearch {
    /// How often an heir is asked, with so many routers asking the same.
    #[must_use]
    pub fn interval(fleet: u32, planned: bool) -> Span {
        let min_interval = if planned { MIN_INTERVAL_PLANNED } else { MIN_INTERVAL };
        Span((f64::from(fleet) / MAX_PROBES_PER_S * 1e6) as i64).max(min_interval).min(MAX_INTERVAL)
    }

    /// Whom to ask now. The search goes on as often as it is called; it has no need to be called more often than every
    /// 10 ms.
    pub fn probe_targets(
        &mut self,
        now: Time,
        fleet: u32,
        planned: bool,
        members: &[MemberView],
    ) -> Vec<MemberId> {
        let min_gap = Self::interval(fleet, planned);
        if now - self.last_call > MAX_ROUND_WAIT {
            *self = Self { next_round_at: now, ..Self::default() };
        }
        self.last_call = now;
        if now >= self.next_round_at {
            let wait = self.round_wait.max(min_gap);
            (self.next_round_at, self.round_wait) =
                (now + wait, wait.times(ROUND_WAIT_GROWTH).min(MAX_ROUND_WAIT));
            self.round_done = true;
            let due = members.iter().filter(|view| now - view.last_probe >= min_gap);
            return due.map(|view| view.member.clone()).collect();
        }
        let candidates = candidates(members);
        let due = candidates.into_iter().filter(|view| self.round_done && now - view.last_probe >= min_gap);
        due.map(|view| view.member.clone()).collect()
    }
}

/// Those whose position no other exceeds, if they are few.
pub(super) fn candidates(members: &[MemberView]) -> Vec<&MemberView> {
    let eligible = || members.iter().filter(|view| !view.was_primary);
    let Some(most) = eligible().map(|view| view.position).max() else { return Vec::new() };
    let candidates: Vec<_> = eligible().filter(|view| most - view.position <= POSITION_TOLERANCE).collect();
    if candidates.len() > MAX_CANDIDATES { Vec::new() } else { candidates }
}
