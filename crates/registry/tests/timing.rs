//! The schedules of polling and of the lease, on a simulated clock.

use linnetdeal_core::{Span, Time};
use linnetdeal_registry::eureka::lease::{Lease, LeaseAction, LeaseResult};
use linnetdeal_registry::eureka::model::Status;
use linnetdeal_registry::eureka::poller::{Failure, FetchKind, PollOptions, Poller};

const START: Time = Time(1_767_225_600_000_000);

fn at_ms(ms: i64) -> Time {
    START + Span::millis(ms)
}

fn poller(servers: usize) -> Poller {
    let options =
        PollOptions { interval: Span::millis(1_000), max_pause: Span::millis(8_000), use_deltas: true };
    Poller::new(servers, options, 7, START)
}

fn wait_ms(poller: &Poller, since: Time) -> i64 {
    (poller.due() - since).0 / 1_000
}

#[test]
fn a_full_list_is_fetched_first_and_deltas_afterwards() {
    let mut poller = poller(1);
    assert_eq!((poller.due(), poller.next_fetch(START)), (START, (0, FetchKind::Full)));
    poller.record_answer(START, FetchKind::Full, true);
    assert!((900..=1_100).contains(&wait_ms(&poller, START)));
    assert_eq!(poller.next_fetch(at_ms(1_100)), (0, FetchKind::Delta));
    // The first mismatch of hash codes leads to a full list at once, further ones after increasing waits.
    poller.record_answer(at_ms(1_100), FetchKind::Delta, false);
    assert_eq!((poller.due(), poller.next_fetch(at_ms(1_100)).1), (at_ms(1_100), FetchKind::Full));
    poller.record_answer(at_ms(1_100), FetchKind::Full, false);
    let mut now = at_ms(2_300);
    let mut full_fetches = 0;
    for _ in 0..64 {
        let kind = poller.next_fetch(now).1;
        full_fetches += u32::from(kind == FetchKind::Full);
        poller.record_answer(now, kind, false);
        now = poller.due().max(now);
    }
    assert!(
        (2..=12).contains(&full_fetches),
        "{full_fetches} full lists in 64 fetches from a registry whose hash code never matches"
    );
}

#[test]
fn the_next_server_is_tried_soon_and_failed_rounds_back_off() {
    let mut poller = poller(3);
    let mut now = START;
    let mut waits_ms = Vec::new();
    for attempt in 0..15 {
        let (server, kind) = poller.next_fetch(now);
        assert_eq!((server, kind), (attempt % 3, FetchKind::Full));
        poller.record_failure(now, kind, Failure::Unusable);
        waits_ms.push(wait_ms(&poller, now));
        now = poller.due();
    }
    for (attempt, wait_ms) in waits_ms.iter().enumerate() {
        let round = attempt as u32 / 3;
        let pause_ms = if attempt % 3 == 2 { (500 << round).min(8_000) } else { 20 };
        assert!(
            (pause_ms * 3 / 4 - 1..=pause_ms * 5 / 4 + 1).contains(wait_ms),
            "attempt {attempt}: {wait_ms} for {pause_ms}"
        );
    }
    poller.record_answer(now, FetchKind::Full, true);
    assert!(wait_ms(&poller, now) <= 1_100, "the interval applies again");
}

#[test]
fn retry_after_is_honoured_within_limits() {
    let mut poller = poller(2);
    poller.record_failure(START, FetchKind::Full, Failure::Status(429, Some(Span::millis(60_000))));
    assert_eq!(poller.next_fetch(at_ms(20)).0, 1);
    poller.record_failure(at_ms(20), FetchKind::Full, Failure::Unusable);
    assert_eq!(poller.next_fetch(at_ms(2_000)).0, 1, "the first server still has to wait");
    let mut single = self::poller(1);
    single.record_failure(START, FetchKind::Full, Failure::Status(503, Some(Span::millis(86_400_000))));
    assert_eq!(wait_ms(&single, START), 300_000, "five minutes at most");
    single.record_failure(START, FetchKind::Full, Failure::Status(503, Some(Span(-5))));
    assert!(wait_ms(&single, START) <= 1_300, "a negative Retry-After counts as none");
}

#[test]
fn a_server_without_deltas_is_not_a_failure() {
    let mut poller = poller(2);
    poller.record_answer(START, FetchKind::Full, true);
    poller.record_failure(at_ms(1_000), FetchKind::Delta, Failure::Status(404, None));
    assert_eq!((poller.consecutive_failures(), poller.next_fetch(at_ms(1_000))), (0, (0, FetchKind::Full)));
    poller.record_answer(at_ms(1_000), FetchKind::Full, true);
    assert_eq!(poller.next_fetch(at_ms(3_000)), (0, FetchKind::Full));
}

#[test]
fn a_lease_is_registered_renewed_and_cancelled() {
    let mut lease = Lease::new(Span::millis(30_000), START);
    let first_stamp = lease.dirty_ms();
    assert_eq!(lease.next_action(START), Some(LeaseAction::Register(Status::Starting)));
    lease.record_result(START, LeaseAction::Register(Status::Starting), LeaseResult::Accepted);
    lease.set_status(at_ms(100), Some(Status::Up));
    assert_eq!(lease.next_action(at_ms(100)), Some(LeaseAction::Register(Status::Up)));
    assert!(lease.dirty_ms() > first_stamp, "a change has a later timestamp");
    lease.record_result(at_ms(100), LeaseAction::Register(Status::Up), LeaseResult::Accepted);
    assert_eq!(
        (lease.next_action(at_ms(30_099)), lease.next_action(at_ms(30_100))),
        (None, Some(LeaseAction::Renew(Status::Up)))
    );
    // The registry has lost the registration: it is registered again, with a later timestamp.
    let previous_stamp = lease.dirty_ms();
    lease.record_result(at_ms(30_100), LeaseAction::Renew(Status::Up), LeaseResult::NotFound);
    assert_eq!(lease.next_action(at_ms(30_100)), Some(LeaseAction::Register(Status::Up)));
    assert!(lease.dirty_ms() > previous_stamp);
    // Repeated failures are retried after increasing delays, but a drain is reported at once.
    let mut now = at_ms(30_100);
    for wait_ms in [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        lease.record_result(now, LeaseAction::Register(Status::Up), LeaseResult::Failed);
        assert_eq!(lease.due(), Some(now + Span::millis(wait_ms)));
        now = now + Span::millis(wait_ms);
    }
    lease.set_status(now, Some(Status::OutOfService));
    assert_eq!(lease.next_action(now), Some(LeaseAction::Register(Status::OutOfService)));
    lease.record_result(now, LeaseAction::Register(Status::OutOfService), LeaseResult::Accepted);
    lease.set_status(now, None);
    assert_eq!(lease.next_action(now), Some(LeaseAction::Cancel));
    lease.record_result(now, LeaseAction::Cancel, LeaseResult::NotFound);
    assert_eq!((lease.next_action(now), lease.due()), (None, None), "no further call is due");
}

#[test]
fn a_lease_that_was_never_registered_is_not_cancelled() {
    let mut lease = Lease::new(Span::millis(30_000), START);
    lease.set_status(START, None);
    assert_eq!((lease.next_action(START), lease.due()), (None, None));
    // Timestamps increase even if the clock stands still.
    let mut lease = Lease::new(Span::millis(30_000), START);
    let previous_stamp = lease.dirty_ms();
    lease.set_status(START, Some(Status::Up));
    assert!(lease.dirty_ms() > previous_stamp);
}
