//! Limits that share one timer end each at its own time.

use async_io::{Timer, block_on};
use futures_lite::future::{or, poll_once, zip};
use linnetdeal_net::timer_queue::TimerQueue;
use std::cell::RefCell;
use std::time::{Duration, Instant};

const AN_HOUR: Duration = Duration::from_secs(3_600);

/// Does `work` while the timers run; a broken one fails in place of hanging.
fn with<T>(timers: &TimerQueue, work: impl Future<Output = T>) -> T {
    let run = async {
        timers.run().await;
        None
    };
    let hangs = async {
        Timer::after(Duration::from_secs(30)).await;
        None
    };
    block_on(or(or(async { Some(work.await) }, run), hangs)).expect("a limit was never told")
}

#[test]
fn one_that_is_sooner_than_those_before_rings_first() {
    let timers = TimerQueue::default();
    let now = Instant::now();
    let order = RefCell::new(Vec::new());
    let one = |ms: u64| {
        let (timers, order) = (&timers, &order);
        async move {
            let at = now + Duration::from_millis(ms);
            timers.wait_until(at).await;
            assert!(Instant::now() >= at, "{ms}");
            order.borrow_mut().push(ms);
        }
    };
    // The hour is set first, and the timer with it.
    let hour = async {
        timers.wait_until(now + AN_HOUR).await;
    };
    let work = zip(one(60), zip(one(20), one(40)));
    with(
        &timers,
        or(
            async {
                work.await;
            },
            hour,
        ),
    );
    assert_eq!(*order.borrow(), [20, 40, 60]);
    assert_eq!(timers.pending(), 0);
}

#[test]
fn what_is_dropped_is_forgotten_and_nobody_is_woken_for_it() {
    let timers = TimerQueue::default();
    let at = Instant::now() + AN_HOUR;
    with(&timers, async {
        let mut many: Vec<_> = (0..100).map(|_| timers.wait_until(at)).collect();
        assert_eq!(timers.pending(), 0, "set only once they are waited for");
        for one in &mut many {
            assert!(poll_once(one).await.is_none());
        }
        assert_eq!(timers.pending(), 100);
        drop(many);
        assert_eq!(timers.pending(), 0);
        // One that follows is told all the same.
        timers.wait_until(Instant::now() + Duration::from_millis(10)).await;
    });
}

#[test]
fn a_time_that_is_over_ends_at_once() {
    let timers = TimerQueue::default();
    assert!(block_on(poll_once(timers.wait_until(Instant::now()))).is_some());
    assert_eq!(timers.pending(), 0);
}
