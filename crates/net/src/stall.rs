//! Whether this process has just stood still: stopped, starved of its core, or swapped out. What came meanwhile is found all at
//! once, in no order that means anything.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// A process to which nothing happens for so long may have stood still; a fifth of the least grace of drains in use.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);
/// The turn in which all is found lasts no longer than this.
const RESUME_WINDOW: Duration = Duration::from_millis(5);

/// Notes when things happen.
#[derive(Debug)]
pub struct StallDetector {
    last_activity: Cell<Instant>,
    resumed_at: Cell<Instant>,
}

impl Default for StallDetector {
    fn default() -> Self {
        let now = Instant::now();
        Self { last_activity: Cell::new(now), resumed_at: Cell::new(now) }
    }
}

impl StallDetector {
    /// Something happens now.
    pub fn record_activity(&self) {
        let now = Instant::now();
        if now - self.last_activity.replace(now) > STALL_THRESHOLD {
            self.resumed_at.set(now);
        }
    }

    /// Whether nothing had happened for long until just now; who asks may be the first to whom something happens.
    #[must_use]
    pub fn just_resumed(&self) -> bool {
        self.record_activity();
        self.resumed_at.get().elapsed() < RESUME_WINDOW
    }
}
