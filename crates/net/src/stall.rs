//! Detects whether this process has just been stalled: stopped, starved of its core, or swapped out. Events
//! that arrived meanwhile are found all at once, in no meaningful order.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Without any activity for this long the process may have been stalled; a fifth of the shortest drain grace in use.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);
/// Upper limit for the turn of the reactor in which everything that arrived meanwhile is found.
const RESUME_WINDOW: Duration = Duration::from_millis(5);

/// Tracks when the process was last active.
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
    /// Records activity at this moment.
    pub fn record_activity(&self) {
        let now = Instant::now();
        if now - self.last_activity.replace(now) > STALL_THRESHOLD {
            self.resumed_at.set(now);
        }
    }

    /// Whether the process has just resumed after a stall. Calling this counts as activity: the caller may be
    /// the first to run.
    #[must_use]
    pub fn just_resumed(&self) -> bool {
        self.record_activity();
        self.resumed_at.get().elapsed() < RESUME_WINDOW
    }
}
