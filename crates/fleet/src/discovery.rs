//! The discovery service, where the list of servers has to be polled: one service for all poolers, which handles
//! one call after another. A call that has waited too long by its turn has failed, and takes as much of the
//! service's time as any. The caller passes the current time in.

use crate::scenario::List;
use linnetdeal_core::{Span, Time};

/// A call that would wait for more than this multiple of the longest wait is rejected and takes none of the
/// service's time.
const MAX_QUEUED_WAITS: f64 = 8.0;

/// The discovery service.
#[derive(Clone, Debug)]
pub struct DiscoveryService {
    call_time: Span,
    max_wait: Span,
    notify_interval: Span,
    /// How many times as long as usual a call takes.
    pub slowdown: f64,
    busy_until: Time,
    /// Number of calls, and of those that failed.
    pub calls: (u64, u64),
}

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered at this time.
    Answered(Time),
    /// Failed at this time.
    Failed(Time),
}

impl DiscoveryService {
    /// A service that has received no calls.
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

    /// A pooler calls for the list.
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

    /// When changes that are published now are sent to the watches.
    #[must_use]
    pub fn next_notification(&self, now: Time) -> Time {
        let interval = self.notify_interval.0.max(1);
        Time((now.0.div_euclid(interval) + 1).saturating_mul(interval))
    }
}
