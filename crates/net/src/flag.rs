//! A flag that is raised once and can be waited for.

use event_listener::Event;
use std::cell::Cell;

/// Raised once, never lowered.
#[derive(Debug, Default)]
pub struct Flag {
    up: Cell<bool>,
    event: Event,
}

impl Flag {
    /// Whether it is up.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Raises it and wakes all who wait.
    pub fn raise(&self) {
        self.up.set(true);
        self.event.notify(usize::MAX);
    }

    /// Waits until it is up.
    pub async fn raised(&self) {
        while !self.is_up() {
            let listener = self.event.listen();
            if !self.is_up() {
                listener.await;
            }
        }
    }
}
