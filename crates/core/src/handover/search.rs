//! The search for a group's new primary.
//!
//! While a group has no primary, the positions of its members do not advance, and the replica with the latest
//! position is promoted. So all members are probed once for their positions. After that the *candidates*, the
//! replicas whose position no other exceeds, are probed often and the others seldom. This finds the new primary
//! within about one interval of its promotion, with fewer probes than rounds of all members at growing intervals.
//! Candidates are only a guess: the member that reports to be the primary is taken for it, and if that is none of
//! the candidates, the rounds of all members find it.

use super::MemberView;
use crate::interface::*;

/// Probes per second that a search may cost a member, from all routers together, as long as these are at most
/// 100. A probe costs a member of the platform at most 0.39 ms, so that on four cores this is under 1% of its
/// capacity. A larger fleet probes once a second per router; ten rounds a second from each of 500 routers would
/// cost 0.15 of the goal function G.
const MAX_PROBES_PER_S: f64 = 100.0;
/// The least interval between probes of a candidate, however few routers there are: reports are not fresher than
/// this.
const MIN_INTERVAL: Span = Span::millis(100);
/// The same during a planned change. That is over soon, so that this rate lasts for a second at most.
const MIN_INTERVAL_PLANNED: Span = Span::millis(40);
const MAX_INTERVAL: Span = Span::millis(1_000);
/// The wait between two rounds of all members: the first, its growth per round, and the longest.
const FIRST_ROUND_WAIT: Span = Span::millis(100);
const ROUND_WAIT_GROWTH: f64 = 1.6;
const MAX_ROUND_WAIT: Span = Span::millis(1_000);
/// Positions this close count as equal, since reports are of different ages.
const POSITION_TOLERANCE: Span = Span::millis(2);
/// With more candidates than this there is no point in preferring them, and all members are probed alike.
const MAX_CANDIDATES: usize = 3;

/// The search for a group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimarySearch {
    /// When the next round of all members is due.
    next_round_at: Time,
    round_wait: Span,
    /// When the search was last called; after a longer break it starts anew.
    last_call: Time,
    /// A round of all members has been probed since the search began.
    round_done: bool,
}

impl Default for PrimarySearch {
    fn default() -> Self {
        let never = Time(i64::MIN / 4);
        Self { next_round_at: never, round_wait: FIRST_ROUND_WAIT, last_call: never, round_done: false }
    }
}

impl PrimarySearch {
    /// The interval between probes of a candidate by one router of a fleet of this size.
    #[must_use]
    pub fn interval(fleet: u32, planned: bool) -> Span {
        let min_interval = if planned { MIN_INTERVAL_PLANNED } else { MIN_INTERVAL };
        Span((f64::from(fleet) / MAX_PROBES_PER_S * 1e6) as i64).max(min_interval).min(MAX_INTERVAL)
    }

    /// The members to probe now. The search advances with each call; calls more often than every 10 ms are not
    /// needed.
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

/// The replicas whose position no other replica exceeds; none if these are more than a few.
pub(super) fn candidates(members: &[MemberView]) -> Vec<&MemberView> {
    let eligible = || members.iter().filter(|view| !view.was_primary);
    let Some(latest) = eligible().map(|view| view.position).max() else { return Vec::new() };
    let candidates: Vec<_> = eligible().filter(|view| latest - view.position <= POSITION_TOLERANCE).collect();
    if candidates.len() > MAX_CANDIDATES { Vec::new() } else { candidates }
}
