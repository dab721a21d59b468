//! Flags that can be waited for.

use event_listener::Event;
use std::cell::Cell;
use std::time::Instant;

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

/// Turned on and off, any number of times.
#[derive(Debug, Default)]
pub struct Switch {
    since: Cell<Option<Instant>>,
    event: Event,
}

impl Switch {
    /// Since when it is on.
    #[must_use]
    pub fn on_since(&self) -> Option<Instant> {
        self.since.get()
    }

    /// Turns it on or off and wakes all who wait. On once more changes nothing.
    pub fn set_on(&self, on: bool) {
        let since = self.since.get().or_else(|| Some(Instant::now()));
        self.since.set(since.filter(|_| on));
        self.event.notify(usize::MAX);
    }

    /// Whether it is on.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.since.get().is_some()
    }

    /// Waits until it is off.
    pub async fn wait_off(&self) {
        loop {
            let listener = self.event.listen();
            if !self.is_on() {
                return;
            }
            listener.await;
        }
    }

    /// Waits until it is on.
    pub async fn wait_on(&self) -> Instant {
        loop {
            let listener = self.event.listen();
            if let Some(since) = self.since.get() {
                return since;
            }
            listener.await;
        }
    }
}
