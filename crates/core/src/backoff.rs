//! When a pooler asks a service again that all poolers of a fleet ask: discovery.
//!
//! What is harmless alone takes the service down together. After 60 of 100 watches were reset at one moment, each pooler
//! asked again at once and then at least every second; the service, busy with calls that had waited too long by the
//! time it came to them, answered 503 to all of them for as long as the day lasted. So the pauses are jittered, and where
//! the service refuses they are as long as the fleet is large: all poolers together ask so many times a second and no more,
//! and half as often each time that it says that it is overbooked.
//!
//! But what an agent beside the pooler has counts as told whether or not a watch is open. With 300 poolers a watch that was
//! reset stayed shut for up to 6 s, and requests went to servers that drained meanwhile. So nothing but a refusal makes the
//! pause longer than a part of the grace that drains have: the first call after an end comes within it.

use crate::interface::Span;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// What each pooler of the fleet adds to the pause of all, before anybody was refused.
const EACH: Span = Span::millis(20);
/// The least pause, for small fleets.
const LEAST: Span = Span::millis(50);
/// No pause after a refusal is longer than so many times what all poolers add up to, nor than a second in a small fleet:
/// what the list has to tell binds 6 s later, heard or not.
const MOST_TIMES: f64 = 8.0;
const LEAST_MOST: Span = Span::millis(1_000);
/// The part of the grace of drains that passes before a call that nobody refused: the rest is for the answer, and for what
/// is being opened by then.
const GRACE_PART: f64 = 0.25;
/// Without a grace it still must not spin.
const LEAST_SOON: Span = Span::millis(20);
const MOST_DOUBLINGS: u32 = 10;
/// A watch without news that lasted for so long has served.
const LASTED: Span = Span::millis(1_000);

/// Why one has to ask again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// It was answered, went on for a while and ended, as it may have for all at once.
    Served,
    /// The service said that it can't.
    Refused,
    /// Nobody was reached, or nobody answered.
    Unreached,
}

impl WatchEnd {
    /// How a watch ended that lasted for so long: whether it was refused, answered at all, and had news. Where it waited
    /// and nobody said a word it has not been served, and asking again at once would only add to those who wait.
    #[must_use]
    pub fn classify(refused: bool, answered: bool, news: bool, lasted: Span) -> Self {
        match (refused, answered && (news || lasted > LASTED)) {
            (true, _) => Self::Refused,
            (false, true) => Self::Served,
            (false, false) => Self::Unreached,
        }
    }
}

/// The pauses of one pooler.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: ChaCha8Rng,
    fleet: u32,
    /// The longest pause that no refusal asked for.
    soon: Span,
    refused: u32,
}

impl Backoff {
    /// Pauses among so many poolers, by chance from this seed, where drains have this grace.
    #[must_use]
    pub fn new(seed: u64, fleet: u32, drain_grace: Span) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut backoff = Self { rng, fleet: 1, soon: LEAST_SOON, refused: 0 };
        backoff.retune(fleet, drain_grace);
        backoff
    }

    /// Goes by this number of poolers and this grace from now on.
    pub fn retune(&mut self, fleet: u32, drain_grace: Span) {
        self.fleet = fleet.max(1);
        self.soon = drain_grace.times(GRACE_PART).max(LEAST_SOON);
    }

    /// How long to wait before it is asked again.
    pub fn pause(&mut self, ended: WatchEnd) -> Span {
        match ended {
            WatchEnd::Served => {
                self.refused = 0;
                self.soon.times(self.chance())
            }
            // It costs the service nothing that the own way to it fails.
            WatchEnd::Unreached => self.soon.times(0.5 + 0.5 * self.chance()),
            WatchEnd::Refused => {
                let all = EACH.times(f64::from(self.fleet)).max(LEAST);
                self.refused = (self.refused + 1).min(MOST_DOUBLINGS);
                let most = all.times(MOST_TIMES).max(LEAST_MOST);
                all.times(f64::from(1 << self.refused)).min(most).times(0.5 + 0.5 * self.chance())
            }
        }
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }
}
