//! Timeouts that share one timer expire each at its own time.

use async_io::{Timer, block_on};
use futures_lite::future::{or, poll_once, zip};
use linnetdeal_net::timer_queue::TimerQueue;
use std::cell::RefCell;
use std::time::{Duration, Instant};

const ONE_HOUR: Duration = Duration::from_secs(3_600);

/// Runs `work` together with the timers. If a timeout never expires, the test fails instead of hanging.
fn run_with<T>(timers: &TimerQueue, work: impl Future<Output = T>) -> T {
    let run = async {
        timers.run().await;
        None
    };
    let test_timeout = async {
        Timer::after(Duration::from_secs(30)).await;
        None
    };
    block_on(or(or(async { Some(work.await) }, run), test_timeout)).expect("a timeout did not expire")
}

#[test]
fn timeouts_expire_in_order_of_time_not_of_registration() {
    let timers = TimerQueue::default();
    let now = Instant::now();
    let order = RefCell::new(Vec::new());
    let timeout = |ms: u64| {
        let (timers, order) = (&timers, &order);
        async move {
            let at = now + Duration::from_millis(ms);
            timers.wait_until(at).await;
            assert!(Instant::now() >= at, "{ms}");
            order.borrow_mut().push(ms);
        }
    };
    // The longest timeout is registered first, which arms the timer.
    let hour = async {
        timers.wait_until(now + ONE_HOUR).await;
    };
    let work = zip(timeout(60), zip(timeout(20), timeout(40)));
    run_with(
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
fn a_dropped_timeout_is_removed() {
    let timers = TimerQueue::default();
    let at = Instant::now() + ONE_HOUR;
    run_with(&timers, async {
        let mut timeouts: Vec<_> = (0..100).map(|_| timers.wait_until(at)).collect();
        assert_eq!(timers.pending(), 0, "registered only when first polled");
        for timeout in &mut timeouts {
            assert!(poll_once(timeout).await.is_none());
        }
        assert_eq!(timers.pending(), 100);
        drop(timeouts);
        assert_eq!(timers.pending(), 0);
        // A later timeout still expires.
        timers.wait_until(Instant::now() + Duration::from_millis(10)).await;
    });
}

#[test]
fn a_time_in_the_past_expires_at_once() {
    let timers = TimerQueue::default();
    assert!(block_on(poll_once(timers.wait_until(Instant::now()))).is_some());
    assert_eq!(timers.pending(), 0);
}
