//! The clocks of the process. The main one is Unix time in microseconds, read once and advanced by the
//! monotonic clock, so that it never goes backwards.

use linnetdeal_core::{Span, Time};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that only moves forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Time,
}

impl Clock {
    /// A clock set to the system's time.
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

    /// Converts `at` to the monotonic clock.
    #[must_use]
    pub fn instant(&self, at: Time) -> Instant {
        self.started + crate::config::duration(at - self.unix)
    }
}

/// A monotonic clock (boot time) that also advances while the process is stopped or the machine is suspended,
/// for anything that must expire in time in every case. Only its differences have a meaning.
#[must_use]
pub fn steady() -> Time {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    skew::steady(Time(now.tv_sec * 1_000_000 + now.tv_nsec / 1_000))
}

/// The wall clock, in ms since 1970. It may be wrong, and may go backwards.
#[must_use]
pub fn wall_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    skew::wall(u64::try_from(unix.as_millis()).unwrap_or(u64::MAX))
}

/// Clock errors for the lab: `LINNETDEAL_BEND` holds, separated by commas, `rate=0.95`, `jump=3000:500` (after
/// 3 s, forward by
/// 0.5 s) or `wall=-3600000` (one hour behind). Not compiled into release builds.
#[cfg(debug_assertions)]
mod skew {
    use linnetdeal_core::Time;
    use std::sync::OnceLock;

    #[derive(Default)]
    struct Skew {
        rate: Option<f64>,
        jump: (i64, i64),
        wall: i64,
    }

    fn configured() -> &'static Skew {
        static SKEW: OnceLock<Skew> = OnceLock::new();
        SKEW.get_or_init(|| {
            let mut skew = Skew::default();
            for part in std::env::var("LINNETDEAL_BEND").unwrap_or_default().split(',') {
                match part.split_once('=') {
                    Some(("rate", value)) => skew.rate = value.parse().ok(),
                    Some(("wall", value)) => skew.wall = value.parse().unwrap_or(0),
                    Some(("jump", value)) => {
                        let (after, by) = value.split_once(':').unwrap_or((value, "0"));
                        skew.jump = (after.parse().unwrap_or(0), by.parse().unwrap_or(0));
                    }
                    _ => {}
                }
            }
            skew
        })
    }

    pub fn steady(now: Time) -> Time {
        static FIRST: OnceLock<i64> = OnceLock::new();
        let first = *FIRST.get_or_init(|| now.0);
        let (skew, since) = (configured(), now.0 - first);
        let jumped = if since >= skew.jump.0 * 1_000 { skew.jump.1 * 1_000 } else { 0 };
        Time(first + (since as f64 * skew.rate.unwrap_or(1.0)) as i64 + jumped)
    }

    pub fn wall(now: u64) -> u64 {
        now.saturating_add_signed(configured().wall)
    }
}

#[cfg(not(debug_assertions))]
mod skew {
    use linnetdeal_core::Time;

    pub fn steady(now: Time) -> Time {
        now
    }

    pub fn wall(now: u64) -> u64 {
        now
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
