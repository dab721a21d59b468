//! The pooler's own registration: what to tell the registry of this pooler, and when. A registry that is away delays
//! nothing: what is due is tried, and tried again later. No I/O, no clock.

use super::model::Status;
use linnetdeal_core::{Span, Time};

/// A step that failed is tried again after this.
const RETRY_DELAY: Span = Span::millis(1_000);
const MAX_RETRY_DELAY: Span = Span::millis(30_000);

/// What to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// All of this pooler, with its status (`POST apps/{app}`).
    Register(Status),
    /// That it is still there (`PUT apps/{app}/{id}`).
    Renew(Status),
    /// That it has ended (`DELETE apps/{app}/{id}`).
    Cancel,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseResult {
    /// It was taken.
    Accepted,
    /// The registry does not know this pooler.
    NotFound,
    /// It was not taken, or nobody knows.
    Failed,
}

/// The registration as it stands.
#[derive(Clone, Debug)]
pub struct Lease {
    renew_interval: Span,
    desired: Option<Status>,
    registered: Option<Status>,
    /// When this pooler last changed itself, in ms; later with each change.
    dirty_ms: i64,
    next_attempt: Time,
    failures: u32,
}

impl Lease {
    /// One that is to be renewed this often, starting at `now` with [`Status::Starting`].
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

    /// Wants another status told; `None` for the end. It is due at once, whatever failed before.
    pub fn set_status(&mut self, now: Time, status: Option<Status>) {
        if self.desired != status {
            self.desired = status;
            self.dirty_ms = (now.0 / 1_000).max(self.dirty_ms + 1);
            (self.next_attempt, self.failures) = (now, 0);
        }
    }

    /// The stamp that goes with what is told.
    #[must_use]
    pub fn dirty_ms(&self) -> i64 {
        self.dirty_ms
    }

    /// When something is due; `None` once the registry knows that this pooler has ended.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        (self.desired.is_some() || self.registered.is_some()).then_some(self.next_attempt)
    }

    /// What to tell, if it is due.
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

    /// What came of it.
    pub fn record_result(&mut self, now: Time, action: LeaseAction, result: LeaseResult) {
        match (action, result) {
            (LeaseAction::Register(status) | LeaseAction::Renew(status), LeaseResult::Accepted) => {
                self.registered = Some(status);
                (self.next_attempt, self.failures) = (now + self.renew_interval, 0);
            }
            (LeaseAction::Cancel, LeaseResult::Accepted | LeaseResult::NotFound) => self.registered = None,
            // It has forgotten this pooler: register at once, as something new.
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
