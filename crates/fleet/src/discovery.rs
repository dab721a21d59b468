//! The service that has the list, where it has to be asked: one for all poolers, which sees to one call after another. A call that
//! has waited too long by the time it is seen to has failed, and has cost the service as much as any. Time is handed in.

use crate::scenario::List;
use linnetdeal_core::{Span, Time};

/// Calls that would wait for more than this multiple of the longest wait are turned away unseen.
const MAX_QUEUED_WAITS: f64 = 8.0;

/// The service.
#[derive(Clone, Debug)]
pub struct DiscoveryService {
    call: Span,
    wait: Span,
    every: Span,
    /// How much longer than usual a call takes.
    pub slowdown: f64,
    free: Time,
    /// Calls, and those that failed.
    pub calls: (u64, u64),
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It is answered then.
    Answered(Time),
    /// It fails then.
    Failed(Time),
}

impl DiscoveryService {
    /// One that nobody has asked yet.
    #[must_use]
    pub fn new(list: &List) -> Self {
        Self {
            call: list.call,
            wait: list.wait,
            every: list.every,
            slowdown: 1.0,
            free: Time(0),
            calls: (0, 0),
        }
    }

    /// Somebody asks.
    pub fn call(&mut self, now: Time) -> CallOutcome {
        self.calls.0 += 1;
        let begins = self.free.max(now);
        let failed = begins - now > self.wait;
        self.calls.1 += u64::from(failed);
        if begins - now <= self.wait.times(MAX_QUEUED_WAITS) {
            self.free = begins + self.call.times(self.slowdown);
        }
        if failed { CallOutcome::Failed(now + self.wait) } else { CallOutcome::Answered(self.free) }
    }

    /// When news of this moment go out to those who watch.
    #[must_use]
    pub fn next_notification(&self, now: Time) -> Time {
        let every = self.every.0.max(1);
        Time((now.0.div_euclid(every) + 1).saturating_mul(every))
    }
}
