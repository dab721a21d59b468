//! The clock of the sockets: Unix time in microseconds, read once and carried on by the steady clock, so that
//! it never runs backwards.

use linnetdeal_core::{Span, Time};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that only moves forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Time,
}

impl Clock {
    /// A clock anchored at the system's time.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), unix: Time(micros(unix)) }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.unix + Span(micros(self.started.elapsed()))
    }

    /// When `at` is on the steady clock.
    #[must_use]
    pub fn instant(&self, at: Time) -> Instant {
        self.started + crate::config::duration(at - self.unix)
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
