//! Delays between a pooler's calls to discovery, a service that every pooler of the fleet calls.
//!
//! Retries that are harmless from one pooler can overload the service when the whole fleet sends them at once. When
//! 60 of 100 watches were reset at the same moment and each pooler retried immediately and then at least once a
//! second, the service spent its time on calls whose callers had already given up and answered 503 to all of them
//! indefinitely. Delays are therefore jittered, and after a refusal they grow with the size of the fleet, so that all
//! poolers together make a bounded number of calls per second, and half as many after each further refusal.
//!
//! The delay must not grow without a refusal, however: what the agent beside the pooler knows counts as delivered to
//! the pooler whether or not a watch is open. With 300 poolers a watch that was reset stayed closed for up to 6 s,
//! and requests went to servers that had begun to drain meanwhile. Without a refusal the first call after the end of
//! a watch therefore comes within a fraction of the grace period of drains.

use crate::interface::Span;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// The delay that each pooler of the fleet contributes to the base delay after a refusal.
const DELAY_PER_POOLER: Span = Span::millis(20);
/// The minimum base delay after a refusal, for small fleets.
const MIN_BASE_DELAY: Span = Span::millis(50);
/// The maximum delay after a refusal, as a multiple of the base delay, and the least value of that maximum for small
/// fleets. It is limited because a listed drain becomes binding after 6 s whether or not the pooler has received it.
const MAX_BASE_MULTIPLE: f64 = 8.0;
const MAX_DELAY_FLOOR: Span = Span::millis(1_000);
/// The maximum delay without a refusal, as a fraction of the drain grace. The rest of the grace is for the answer and
/// for attempts that are just being started.
const GRACE_FRACTION: f64 = 0.25;
/// The least value of that maximum; it prevents a busy loop where there is no drain grace.
const UNREFUSED_MAX_FLOOR: Span = Span::millis(20);
/// The delay after consecutive refusals doubles at most this many times.
const MAX_DOUBLINGS: u32 = 10;
/// A watch that was answered and stayed open for this long counts as served even if it brought no update.
const MIN_SERVED_DURATION: Span = Span::millis(1_000);

/// How a watch ended, after which discovery is called again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// It was answered, stayed open for a while and ended, perhaps for all poolers at the same time.
    Served,
    /// The service refused the call because it was overloaded.
    Refused,
    /// The service could not be reached or did not answer.
    Unreached,
}

impl WatchEnd {
    /// Classifies the end of a watch that lasted for `lasted`, by whether it was refused, answered at all and brought
    /// an update. A watch without any answer was not served, and an immediate retry would only lengthen the service's
    /// queue.
    #[must_use]
    pub fn classify(refused: bool, answered: bool, updated: bool, lasted: Span) -> Self {
        match (refused, answered && (updated || lasted > MIN_SERVED_DURATION)) {
            (true, _) => Self::Refused,
            (false, true) => Self::Served,
            (false, false) => Self::Unreached,
        }
    }
}

/// The delays of one pooler.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: ChaCha8Rng,
    fleet: u32,
    /// The maximum delay without a refusal.
    unrefused_max: Span,
    /// Consecutive refusals, up to [`MAX_DOUBLINGS`].
    refusals: u32,
}

impl Backoff {
    /// Creates the delays of a pooler in a fleet of this size, with jitter from this seed and this grace period of
    /// drains.
    #[must_use]
    pub fn new(seed: u64, fleet: u32, drain_grace: Span) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut backoff = Self { rng, fleet: 1, unrefused_max: UNREFUSED_MAX_FLOOR, refusals: 0 };
        backoff.reconfigure(fleet, drain_grace);
        backoff
    }

    /// Changes the size of the fleet and the drain grace.
    pub fn reconfigure(&mut self, fleet: u32, drain_grace: Span) {
        self.fleet = fleet.max(1);
        self.unrefused_max = drain_grace.times(GRACE_FRACTION).max(UNREFUSED_MAX_FLOOR);
    }

    /// The delay before the next call.
    pub fn pause(&mut self, ended: WatchEnd) -> Span {
        match ended {
            WatchEnd::Served => {
                self.refusals = 0;
                self.unrefused_max.times(self.random_fraction())
            }
            // Failing to reach the service costs it nothing, so the delay need not grow.
            WatchEnd::Unreached => self.unrefused_max.times(0.5 + 0.5 * self.random_fraction()),
            WatchEnd::Refused => {
                let base = DELAY_PER_POOLER.times(f64::from(self.fleet)).max(MIN_BASE_DELAY);
                self.refusals = (self.refusals + 1).min(MAX_DOUBLINGS);
                let max_delay = base.times(MAX_BASE_MULTIPLE).max(MAX_DELAY_FLOOR);
                base.times(f64::from(1 << self.refusals))
                    .min(max_delay)
                    .times(0.5 + 0.5 * self.random_fraction())
            }
        }
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }
}
