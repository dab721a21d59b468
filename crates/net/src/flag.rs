//! Flags that tasks can wait for.

use event_listener::Event;
use std::cell::Cell;
use std::time::Instant;

/// A flag that is raised once and never lowered.
#[derive(Debug, Default)]
pub struct Flag {
    up: Cell<bool>,
    event: Event,
}

impl Flag {
    /// Whether it is raised.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Raises it and wakes all tasks that wait for it.
    pub fn raise(&self) {
        self.up.set(true);
        self.event.notify(usize::MAX);
    }

    /// Waits until it is raised.
    pub async fn raised(&self) {
        while !self.is_up() {
            let listener = self.event.listen();
            if !self.is_up() {
                listener.await;
            }
        }
    }
}

/// A switch that can be turned on and off any number of times.
#[derive(Debug, Default)]
pub struct Switch {
    since: Cell<Option<Instant>>,
    event: Event,
}

impl Switch {
    /// Since when it has been on, if it is on.
    #[must_use]
    pub fn on_since(&self) -> Option<Instant> {
        self.since.get()
    }

    /// Turns it on or off and wakes all tasks that wait for it. Turning it on again does not change
    /// [`Switch::on_since`].
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

    /// Waits until it is on; returns since when it has been.
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
