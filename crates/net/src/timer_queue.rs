//! A queue of timeouts that share one timer, for many timeouts of which hardly any expires.
//!
//! Setting a timer of the reactor costs a system call and a needless turn of its loop, which may be asleep for
//! longer. All timeouts of attempts therefore share one timer. It is re-armed only for a timeout that is sooner
//! than all others, and for the next one when it fires.

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

/// The timeouts that are being waited for.
#[derive(Debug, Default)]
pub struct TimerQueue {
    due: RefCell<BTreeMap<Key, Waker>>,
    last_id: Cell<u64>,
    /// The time for which the shared timer is armed.
    armed_for: Cell<Option<Instant>>,
    rearm: Event,
}

impl TimerQueue {
    /// A future that completes at `deadline` or shortly after.
    pub fn wait_until(&self, deadline: Instant) -> Timeout<'_> {
        self.last_id.set(self.last_id.get() + 1);
        Timeout { timers: self, key: (deadline, self.last_id.get()), registered: false }
    }

    /// Wakes the tasks whose timeouts have expired. Never returns.
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

    /// Number of timeouts that are being waited for.
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

/// A timeout; registered when it is first polled, and removed when dropped.
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
