//! Arrival times of a client's commands.

use linnetdeal_core::Time;
use linnetdeal_net::arrivals::Arrivals;

const fn ms(count: i64) -> Time {
    Time(count * 1_000)
}

#[test]
fn a_command_arrives_with_its_last_byte() {
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.arrival_time(0), None);
    // A command of 10 bytes in two pieces, one of 5 bytes right behind it, and the first 3 bytes of the next.
    arrivals.record(4, ms(1));
    arrivals.record(11, ms(20));
    arrivals.record(3, ms(30));
    assert_eq!(arrivals.arrival_time(8), Some(ms(20)));
    assert_eq!(arrivals.arrival_time(3), Some(ms(20)));
    arrivals.record(7, ms(50));
    assert_eq!(arrivals.arrival_time(0), Some(ms(50)));
    // The result is the same when queried again without new bytes.
    assert_eq!(arrivals.arrival_time(0), Some(ms(50)));
}

#[test]
fn bytes_sent_one_by_one_are_tracked_within_bounds_and_never_dated_too_late() {
    let mut arrivals = Arrivals::default();
    (0..100_000).for_each(|at| arrivals.record(1, ms(2 * at)));
    for bytes_after in (0..100_000_usize).rev() {
        let arrived = ms(2 * (99_999 - bytes_after as i64));
        assert!(arrivals.arrival_time(bytes_after).is_some_and(|at| at <= arrived), "{bytes_after}");
    }
    // Once all bytes are consumed, new arrivals are tracked individually again.
    arrivals.record(1, ms(300_000));
    arrivals.record(1, ms(300_010));
    assert_eq!((arrivals.arrival_time(1), arrivals.arrival_time(0)), (Some(ms(300_000)), Some(ms(300_010))));
}
