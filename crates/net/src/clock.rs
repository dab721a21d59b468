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

/// A clock that no one sets and that goes on while the process is stopped and while its machine sleeps, for what must be
/// over in time whatever happened meanwhile. It tells nothing but how much later it is.
#[must_use]
pub fn steady() -> Time {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    skew::steady(Time(now.tv_sec * 1_000_000 + now.tv_nsec / 1_000))
}

/// The wall clock, in ms since 1970. It may be wrong, and may go back.
#[must_use]
pub fn wall_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    skew::wall(u64::try_from(unix.as_millis()).unwrap_or(u64::MAX))
}

/// Clocks that run wrong, for the lab: `LINNETDEAL_BEND` holds `rate=0.95`, `jump=3000:500` (after 3 s, 0.5 s on) or
/// `wall=-3600000` (an hour behind), apart by commas. A release build has none of it.
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
