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
    last_id: Cell<u64>,
    /// When the timer rings.
    armed_for: Cell<Option<Instant>>,
    rearm: Event,
}

impl TimerQueue {
    /// Ends at `when`, or a little later.
    pub fn wait_until(&self, deadline: Instant) -> Timeout<'_> {
        self.last_id.set(self.last_id.get() + 1);
        Timeout { timers: self, key: (deadline, self.last_id.get()), registered: false }
    }

    /// Wakes those whose time has come. Runs for ever.
    pub async fn run(&self) {
        loop {
            let rearm = self.rearm.listen();
            let first = self.due.borrow().first_key_value().map(|(key, _)| key.0);
            self.armed_for.set(first);
            match first {
                None => rearm.await,
                Some(at) => {
                    let timer_fires = async {
                        Timer::at(at).await;
                    };
                    or(timer_fires, rearm).await;
                }
            }
            let later = self.due.borrow_mut().split_off(&(Instant::now(), u64::MAX));
            let due = self.due.replace(later);
            due.into_values().for_each(Waker::wake);
        }
    }

    /// How many limits are being waited for.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.due.borrow().len()
    }

    fn register(&self, key: Key, waker: Waker) {
        self.due.borrow_mut().insert(key, waker);
        if self.armed_for.get().is_none_or(|at| key.0 < at) {
            self.armed_for.set(Some(key.0));
            self.rearm.notify(1);
        }
    }
}

/// A limit; it is set when it is first waited for, and taken back when dropped.
#[derive(Debug)]
pub struct Timeout<'a> {
    timers: &'a TimerQueue,
    key: Key,
    registered: bool,
}

impl Future for Timeout<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.key.0 {
            return Poll::Ready(());
        }
        let up_to_date =
            self.timers.due.borrow().get(&self.key).is_some_and(|waker| waker.will_wake(context.waker()));
        if !up_to_date {
            self.timers.register(self.key, context.waker().clone());
            self.registered = true;
        }
        Poll::Pending
    }
}

impl Drop for Timeout<'_> {
    fn drop(&mut self) {
        if self.registered {
            self.timers.due.borrow_mut().remove(&self.key);
        }
    }
}
