//! The pooler's own registration: what to tell the registry of this pooler, and when. A registry that is away delays
//! nothing: what is due is tried, and tried again later. No I/O, no clock.

use super::model::Status;
use linnetdeal_core::{Span, Time};

/// A step that failed is tried again after this.
const AGAIN: Span = Span::millis(1_000);
const LONGEST_AGAIN: Span = Span::millis(30_000);

/// What to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// All of this pooler, with its status (`POST apps/{app}`).
    Register(Status),
    /// That it is still there (`PUT apps/{app}/{id}`).
    Renew(Status),
    /// That it has ended (`DELETE apps/{app}/{id}`).
    Cancel,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// It was taken.
    Taken,
    /// The registry does not know this pooler.
    Unknown,
    /// It was not taken, or nobody knows.
    Nothing,
}

/// The registration as it stands.
#[derive(Clone, Debug)]
pub struct Lease {
    renew: Span,
    wanted: Option<Status>,
    told: Option<Status>,
    /// When this pooler last changed itself, in ms; later with each change.
    dirty_ms: i64,
    next: Time,
    failures: u32,
}

impl Lease {
    /// One that is to be renewed this often, starting at `now` with [`Status::Starting`].
    #[must_use]
    pub fn new(renew: Span, now: Time) -> Self {
        Self {
            renew,
            wanted: Some(Status::Starting),
            told: None,
            dirty_ms: now.0 / 1_000,
            next: now,
            failures: 0,
        }
    }

    /// Wants another status told; `None` for the end. It is due at once, whatever failed before.
    pub fn want(&mut self, now: Time, status: Option<Status>) {
        if self.wanted != status {
            self.wanted = status;
            self.dirty_ms = (now.0 / 1_000).max(self.dirty_ms + 1);
            (self.next, self.failures) = (now, 0);
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
        (self.wanted.is_some() || self.told.is_some()).then_some(self.next)
    }

    /// What to tell, if it is due.
    #[must_use]
    pub fn act(&self, now: Time) -> Option<Act> {
        if self.due().is_none_or(|due| due > now) {
            return None;
        }
        match (self.wanted, self.told) {
            (None, Some(_)) => Some(Act::Cancel),
            (None, None) => None,
            (Some(status), told) if told != Some(status) => Some(Act::Register(status)),
            (Some(status), _) => Some(Act::Renew(status)),
        }
    }

    /// What came of it.
    pub fn done(&mut self, now: Time, act: Act, came: Came) {
        match (act, came) {
            (Act::Register(status) | Act::Renew(status), Came::Taken) => {
                self.told = Some(status);
                (self.next, self.failures) = (now + self.renew, 0);
            }
            (Act::Cancel, Came::Taken | Came::Unknown) => self.told = None,
            // It has forgotten this pooler: register at once, as something new.
            (Act::Renew(_), Came::Unknown) => {
                self.told = None;
                self.dirty_ms = (now.0 / 1_000).max(self.dirty_ms + 1);
                self.next = now;
            }
            _ => {
                let again = AGAIN.times(f64::from(1_u32 << self.failures.min(5))).min(LONGEST_AGAIN);
                self.failures += 1;
                self.next = now + again;
            }
        }
    }
}
