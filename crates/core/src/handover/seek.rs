//! The search for a group's new primary.
//!
//! While a family has no primary its members' positions stand still, and the replica that has most of the log takes over.
//! So one round asks all, for their positions; after it the *heirs*, those whose position no other exceeds, are asked
//! often and the others seldom. That finds the new primary within about one interval of its being one, for fewer probes
//! than asking all in rounds that grow rarer. What is seen decides, not the guess: whoever answers that it is the primary is,
//! and if the heirs were the wrong ones, the rounds of all find that out.

use super::Standing;
use crate::interface::*;

/// What a search may cost a member: probes a second, over all routers, as long as these are no more than a hundred. At
/// the most that a probe costs a member of the platform, 0.39 ms, and with four cores, that is under 1% of its work. More
/// routers ask once a second each: ten rounds a second from each of 500 cost 0.15 of G.
const MOST_PROBES_S: f64 = 100.0;
/// An heir is asked no more often than this, however few routers there are: reports are no fresher.
const SHORTEST: Span = Span::millis(100);
/// A planned change is over soon, so that this is for a second at most.
const SHORTEST_PLANNED: Span = Span::millis(40);
const LONGEST: Span = Span::millis(1_000);
/// Between two rounds of all: the first, how it grows, and the longest.
const ROUND: Span = Span::millis(100);
const ROUND_GROWS: f64 = 1.6;
const LONGEST_ROUND: Span = Span::millis(1_000);
/// Positions this close are the same: reports are of different ages.
const SAME: Span = Span::millis(2);
/// More heirs than this are no heirs: then all are asked alike.
const MOST_HEIRS: usize = 3;

/// The search for a group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seek {
    /// When the next round of all is due.
    round_at: Time,
    round_wait: Span,
    /// When the search last went on; one that rested begins anew.
    last: Time,
    /// Whether a round of all has been asked since it began.
    knows: bool,
}

impl Default for Seek {
    fn default() -> Self {
        let never = Time(i64::MIN / 4);
        Self { round_at: never, round_wait: ROUND, last: never, knows: false }
    }
}

impl Seek {
    /// How often an heir is asked, with so many routers asking the same.
    #[must_use]
    pub fn interval(fleet: u32, planned: bool) -> Span {
        let shortest = if planned { SHORTEST_PLANNED } else { SHORTEST };
        Span((f64::from(fleet) / MOST_PROBES_S * 1e6) as i64).max(shortest).min(LONGEST)
    }

    /// Whom to ask now. The search goes on as often as it is called; it has no need to be called more often than every
    /// 10 ms.
    pub fn ask(&mut self, now: Time, fleet: u32, planned: bool, family: &[Standing]) -> Vec<MemberId> {
        let every = Self::interval(fleet, planned);
        if now - self.last > LONGEST_ROUND {
            *self = Self { round_at: now, ..Self::default() };
        }
        self.last = now;
        if now >= self.round_at {
            let wait = self.round_wait.max(every);
            (self.round_at, self.round_wait) = (now + wait, wait.times(ROUND_GROWS).min(LONGEST_ROUND));
            self.knows = true;
            let due = family.iter().filter(|of| now - of.asked >= every);
            return due.map(|of| of.member.clone()).collect();
        }
        let heirs = heirs(family);
        let due = heirs.into_iter().filter(|of| self.knows && now - of.asked >= every);
        due.map(|of| of.member.clone()).collect()
    }
}

/// Those whose position no other exceeds, if they are few.
pub(super) fn heirs(family: &[Standing]) -> Vec<&Standing> {
    let may = || family.iter().filter(|of| !of.before);
    let Some(most) = may().map(|of| of.position).max() else { return Vec::new() };
    let heirs: Vec<_> = may().filter(|of| most - of.position <= SAME).collect();
    if heirs.len() > MOST_HEIRS { Vec::new() } else { heirs }
}
