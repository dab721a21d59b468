//! When the bytes of a client came.

use linnetdeal_core::Time;
use linnetdeal_net::arrivals::Arrivals;

const fn ms(count: i64) -> Time {
    Time(count * 1_000)
}

#[test]
fn a_command_came_with_its_last_byte() {
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.arrival_time(0), None);
    // One of 10 bytes in two pieces; one of 5 right behind it, and 3 bytes of the next.
    arrivals.record(4, ms(1));
    arrivals.record(11, ms(20));
    arrivals.record(3, ms(30));
    assert_eq!(arrivals.arrival_time(8), Some(ms(20)));
    assert_eq!(arrivals.arrival_time(3), Some(ms(20)));
    arrivals.record(7, ms(50));
    assert_eq!(arrivals.arrival_time(0), Some(ms(50)));
    // Nothing new: it is asked again before the command is whole.
    assert_eq!(arrivals.arrival_time(0), Some(ms(50)));
}

#[test]
fn one_that_sends_byte_by_byte_is_held_within_bounds_and_never_counted_late() {
    let mut arrivals = Arrivals::default();
    (0..100_000).for_each(|at| arrivals.record(1, ms(2 * at)));
    for behind in (0..100_000_usize).rev() {
        let came = ms(2 * (99_999 - behind as i64));
        assert!(arrivals.arrival_time(behind).is_some_and(|at| at <= came), "{behind}");
    }
    // Once they are used up, what comes is told apart again.
    arrivals.record(1, ms(300_000));
    arrivals.record(1, ms(300_010));
    assert_eq!((arrivals.arrival_time(1), arrivals.arrival_time(0)), (Some(ms(300_000)), Some(ms(300_010))));
}
