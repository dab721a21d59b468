//! Whether this process has just stood still: stopped, starved of its core, or swapped out. What came meanwhile is found all at
//! once, in no order that means anything.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// A process to which nothing happens for so long may have stood still; a fifth of the least grace of drains in use.
const LONG: Duration = Duration::from_millis(50);
/// The turn in which all is found lasts no longer than this.
const TURN: Duration = Duration::from_millis(5);

/// Notes when things happen.
#[derive(Debug)]
pub struct StallDetector {
    last: Cell<Instant>,
    ended: Cell<Instant>,
}

impl Default for StallDetector {
    fn default() -> Self {
        let now = Instant::now();
        Self { last: Cell::new(now), ended: Cell::new(now) }
    }
}

impl StallDetector {
    /// Something happens now.
    pub fn moved(&self) {
        let now = Instant::now();
        if now - self.last.replace(now) > LONG {
            self.ended.set(now);
        }
    }

    /// Whether nothing had happened for long until just now; who asks may be the first to whom something happens.
    #[must_use]
    pub fn just_ended(&self) -> bool {
        self.moved();
        self.ended.get().elapsed() < TURN
    }
}
