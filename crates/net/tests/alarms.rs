//! Limits that share one timer end each at its own time.

use async_io::{Timer, block_on};
use futures_lite::future::{or, poll_once, zip};
use linnetdeal_net::alarms::Alarms;
use std::cell::RefCell;
use std::time::{Duration, Instant};

const AN_HOUR: Duration = Duration::from_secs(3_600);

/// Does `work` while the alarms run; a broken one fails in place of hanging.
fn with<T>(alarms: &Alarms, work: impl Future<Output = T>) -> T {
    let run = async {
        alarms.run().await;
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
    let alarms = Alarms::default();
    let now = Instant::now();
    let order = RefCell::new(Vec::new());
    let one = |ms: u64| {
        let (alarms, order) = (&alarms, &order);
        async move {
            let at = now + Duration::from_millis(ms);
            alarms.at(at).await;
            assert!(Instant::now() >= at, "{ms}");
            order.borrow_mut().push(ms);
        }
    };
    // The hour is set first, and the timer with it.
    let hour = async {
        alarms.at(now + AN_HOUR).await;
    };
    let work = zip(one(60), zip(one(20), one(40)));
    with(
        &alarms,
        or(
            async {
                work.await;
            },
            hour,
        ),
    );
    assert_eq!(*order.borrow(), [20, 40, 60]);
    assert_eq!(alarms.waiting(), 0);
}

#[test]
fn what_is_dropped_is_forgotten_and_nobody_is_woken_for_it() {
    let alarms = Alarms::default();
    let at = Instant::now() + AN_HOUR;
    with(&alarms, async {
        let mut many: Vec<_> = (0..100).map(|_| alarms.at(at)).collect();
        assert_eq!(alarms.waiting(), 0, "set only once they are waited for");
        for one in &mut many {
            assert!(poll_once(one).await.is_none());
        }
        assert_eq!(alarms.waiting(), 100);
        drop(many);
        assert_eq!(alarms.waiting(), 0);
        // One that follows is told all the same.
        alarms.at(Instant::now() + Duration::from_millis(10)).await;
    });
}

#[test]
fn a_time_that_is_over_ends_at_once() {
    let alarms = Alarms::default();
    assert!(block_on(poll_once(alarms.at(Instant::now()))).is_some());
    assert_eq!(alarms.waiting(), 0);
}
