//! The service that has the list, where it has to be asked: one for all poolers, which sees to one call after another. A call that
//! has waited too long by the time it is seen to has failed, and has cost the service as much as any. Time is handed in.

use crate::scenario::List;
use linnetdeal_core::{Span, Time};

/// Calls that would wait for more than this multiple of the longest wait are turned away unseen.
const MAX_QUEUED_WAITS: f64 = 8.0;

/// The service.
#[derive(Clone, Debug)]
pub struct DiscoveryService {
    call_time: Span,
    max_wait: Span,
    notify_interval: Span,
    /// How much longer than usual a call takes.
    pub slowdown: f64,
    busy_until: Time,
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
            call_time: list.call,
            max_wait: list.wait,
            notify_interval: list.every,
            slowdown: 1.0,
            busy_until: Time(0),
            calls: (0, 0),
        }
    }

    /// Somebody asks.
    pub fn call(&mut self, now: Time) -> CallOutcome {
        self.calls.0 += 1;
        let starts_at = self.busy_until.max(now);
        let failed = starts_at - now > self.max_wait;
        self.calls.1 += u64::from(failed);
        if starts_at - now <= self.max_wait.times(MAX_QUEUED_WAITS) {
            self.busy_until = starts_at + self.call_time.times(self.slowdown);
        }
        if failed { CallOutcome::Failed(now + self.max_wait) } else { CallOutcome::Answered(self.busy_until) }
    }

    /// When news of this moment go out to those who watch.
    #[must_use]
    pub fn next_notification(&self, now: Time) -> Time {
        let interval = self.notify_interval.0.max(1);
        Time((now.0.div_euclid(interval) + 1).saturating_mul(interval))
    }
}
