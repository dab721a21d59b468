//! The lease of the pooler's own registration: which call to make to the registry, and when. An unavailable registry
//! blocks nothing: a call that failed is repeated after a delay. No I/O, and no clock of its own.

use super::model::Status;
use linnetdeal_core::{Span, Time};

/// The delay before a failed call is repeated; it doubles with each further failure.
const RETRY_DELAY: Span = Span::millis(1_000);
/// The longest delay before a failed call is repeated.
const MAX_RETRY_DELAY: Span = Span::millis(30_000);

/// A call to make to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Registers the pooler with this status (`POST apps/{app}`).
    Register(Status),
    /// Renews the lease (`PUT apps/{app}/{id}`).
    Renew(Status),
    /// Removes the registration (`DELETE apps/{app}/{id}`).
    Cancel,
}

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseResult {
    /// The registry accepted it.
    Accepted,
    /// The registry does not know the registration.
    NotFound,
    /// It was rejected, or its result is unknown.
    Failed,
}

/// The state of the registration.
#[derive(Clone, Debug)]
pub struct Lease {
    renew_interval: Span,
    /// The status to register; `None` to end the registration.
    desired: Option<Status>,
    /// The status that the registry accepted last; `None` if it holds no registration.
    registered: Option<Status>,
    /// Eureka's `lastDirtyTimestamp`: when the pooler last changed its registration, in ms since 1970. It increases
    /// with each change even if the clock stands still.
    dirty_ms: i64,
    next_attempt: Time,
    failures: u32,
}

impl Lease {
    /// Creates a lease that is renewed at this interval. The pooler is to be registered at once with
    /// [`Status::Starting`].
    #[must_use]
    pub fn new(renew_interval: Span, now: Time) -> Self {
        Self {
            renew_interval,
            desired: Some(Status::Starting),
            registered: None,
            dirty_ms: now.0 / 1_000,
            next_attempt: now,
            failures: 0,
        }
    }

    /// Sets the status to register, or `None` to end the registration. A change is due at once, even while earlier
    /// failures are waited out.
    pub fn set_status(&mut self, now: Time, status: Option<Status>) {
        if self.desired != status {
            self.desired = status;
            self.dirty_ms = (now.0 / 1_000).max(self.dirty_ms + 1);
            (self.next_attempt, self.failures) = (now, 0);
        }
    }

    /// The `lastDirtyTimestamp` to send, in ms since 1970.
    #[must_use]
    pub fn dirty_ms(&self) -> i64 {
        self.dirty_ms
    }

    /// When the next call is due; `None` once the registration has ended.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        (self.desired.is_some() || self.registered.is_some()).then_some(self.next_attempt)
    }

    /// The call to make, if one is due.
    #[must_use]
    pub fn next_action(&self, now: Time) -> Option<LeaseAction> {
        if self.due().is_none_or(|due| due > now) {
            return None;
        }
        match (self.desired, self.registered) {
            (None, Some(_)) => Some(LeaseAction::Cancel),
            (None, None) => None,
            (Some(status), registered) if registered != Some(status) => Some(LeaseAction::Register(status)),
            (Some(status), _) => Some(LeaseAction::Renew(status)),
        }
    }

    /// Records the result of a call.
    pub fn record_result(&mut self, now: Time, action: LeaseAction, result: LeaseResult) {
        match (action, result) {
            (LeaseAction::Register(status) | LeaseAction::Renew(status), LeaseResult::Accepted) => {
                self.registered = Some(status);
                (self.next_attempt, self.failures) = (now + self.renew_interval, 0);
            }
            (LeaseAction::Cancel, LeaseResult::Accepted | LeaseResult::NotFound) => self.registered = None,
            // The registry has lost the registration: register again at once, with a later timestamp.
            (LeaseAction::Renew(_), LeaseResult::NotFound) => {
                self.registered = None;
                self.dirty_ms = (now.0 / 1_000).max(self.dirty_ms + 1);
                self.next_attempt = now;
            }
            _ => {
                let delay = RETRY_DELAY.times(f64::from(1_u32 << self.failures.min(5))).min(MAX_RETRY_DELAY);
                self.failures += 1;
                self.next_attempt = now + delay;
            }
        }
    }
}
