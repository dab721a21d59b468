//! The reasons for which the routing module gives requests up: counted for operators, and given by request for the
//! host's log.

use crate::interface::RequestId;
use std::fmt;

/// The reason for which the module refused or failed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// It has used up its attempts.
    AttemptsSpent,
    /// An attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// It is a client's retry of a repeatable request, and gives way to first tries under overload.
    RetryGaveWay,
    /// It could not be answered in time any more.
    TooLate,
    /// The group has no primary, and will presumably have none before the deadline.
    NoPrimaryInTime,
    /// Its deadline has passed, or is too close for another attempt.
    DeadlineOver,
    /// It was shed: the members are overloaded, and other requests have more merit.
    Shed,
    /// Several members answered it with an error.
    RepeatedErrors,
    /// Held requests are released to a new primary too slowly for this one to be sent in time.
    ReleaseTooSlow,
}

/// All reasons, in the order in which they are displayed.
pub const REASONS: [GivenUp; 9] = [
    GivenUp::AttemptsSpent,
    GivenUp::MayHaveRun,
    GivenUp::RetryGaveWay,
    GivenUp::TooLate,
    GivenUp::NoPrimaryInTime,
    GivenUp::DeadlineOver,
    GivenUp::Shed,
    GivenUp::RepeatedErrors,
    GivenUp::ReleaseTooSlow,
];

/// The number of requests given up for each reason, and those that the latest event gave up.
#[derive(Clone, Debug, Default)]
pub struct Reasons {
    counts: [u64; REASONS.len()],
    latest: Vec<(RequestId, GivenUp)>,
}

impl Reasons {
    /// Starts the next event.
    pub(crate) fn begin(&mut self) {
        self.latest.clear();
    }

    /// Records that a request was given up.
    pub(crate) fn add(&mut self, request: RequestId, why: GivenUp) {
        for (reason, count) in REASONS.iter().zip(&mut self.counts) {
            *count += u64::from(*reason == why);
        }
        self.latest.push((request, why));
    }

    /// The reason for which the latest event gave a request up, if it did.
    #[must_use]
    pub fn reason_for(&self, request: RequestId) -> Option<GivenUp> {
        self.latest.iter().find(|(given_up, _)| *given_up == request).map(|(_, why)| *why)
    }

    /// The number of requests given up for this reason.
    #[must_use]
    pub fn count(&self, why: GivenUp) -> u64 {
        let index = REASONS.iter().position(|reason| *reason == why);
        index.map_or(0, |index| self.counts[index])
    }
}

impl fmt::Display for Reasons {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "given up")?;
        REASONS.iter().zip(&self.counts).try_for_each(|(reason, count)| write!(f, " {reason:?}={count}"))
    }
}
