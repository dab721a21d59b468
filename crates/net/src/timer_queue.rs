//! Time limits, many of which are set and hardly any ever reached.
//!
//! A timer of the reactor costs a call to the system and a needless turn of its loop whenever one is set, since the
//! loop may be asleep for longer. All limits of attempts share one: it is set anew only where a limit is sooner
//! than all before, and finds the next one when it rings.

use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

type Key = (Instant, u64);

/// All limits: one for each that waits.
#[derive(Debug, Default)]
pub struct TimerQueue {
    due: RefCell<BTreeMap<Key, Waker>>,
    last: Cell<u64>,
    /// When the timer rings.
    rings: Cell<Option<Instant>>,
    sooner: Event,
}

impl TimerQueue {
    /// Ends at `when`, or a little later.
    pub fn at(&self, when: Instant) -> Timeout<'_> {
        self.last.set(self.last.get() + 1);
        Timeout { timers: self, key: (when, self.last.get()), set: false }
    }

    /// Wakes those whose time has come. Runs for ever.
    pub async fn run(&self) {
        loop {
            let sooner = self.sooner.listen();
            let first = self.due.borrow().first_key_value().map(|(key, _)| key.0);
            self.rings.set(first);
            match first {
                None => sooner.await,
                Some(at) => {
                    let rings = async {
                        Timer::at(at).await;
                    };
                    or(rings, sooner).await;
                }
            }
            let later = self.due.borrow_mut().split_off(&(Instant::now(), u64::MAX));
            let due = self.due.replace(later);
            due.into_values().for_each(Waker::wake);
        }
    }

    /// How many limits are being waited for.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.due.borrow().len()
    }

    fn set(&self, key: Key, waker: Waker) {
        self.due.borrow_mut().insert(key, waker);
        if self.rings.get().is_none_or(|at| key.0 < at) {
            self.rings.set(Some(key.0));
            self.sooner.notify(1);
        }
    }
}

/// A limit; it is set when it is first waited for, and taken back when dropped.
#[derive(Debug)]
pub struct Timeout<'a> {
    timers: &'a TimerQueue,
    key: Key,
    set: bool,
}

impl Future for Timeout<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.key.0 {
            return Poll::Ready(());
        }
        let known = self.timers.due.borrow().get(&self.key).is_some_and(|of| of.will_wake(context.waker()));
        if !known {
            self.timers.set(self.key, context.waker().clone());
            self.set = true;
        }
        Poll::Pending
    }
}

impl Drop for Timeout<'_> {
    fn drop(&mut self) {
        if self.set {
            self.timers.due.borrow_mut().remove(&self.key);
        }
    }
}
