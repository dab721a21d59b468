//! When to ask, and when to tell, on a clock that the tests hold.

use linnetdeal_core::{Span, Time};
use linnetdeal_registry::eureka::lease::{Lease, LeaseAction, LeaseResult};
use linnetdeal_registry::eureka::model::Status;
use linnetdeal_registry::eureka::poller::{Failure, FetchKind, PollOptions, Poller};

const START: Time = Time(1_767_225_600_000_000);

fn at(ms: i64) -> Time {
    START + Span::millis(ms)
}

fn poller(servers: usize) -> Poller {
    let options =
        PollOptions { interval: Span::millis(1_000), max_pause: Span::millis(8_000), use_deltas: true };
    Poller::new(servers, options, 7, START)
}

fn wait(poller: &Poller, since: Time) -> i64 {
    (poller.due() - since).0 / 1_000
}

#[test]
fn a_whole_list_comes_first_and_deltas_after_it() {
    let mut poller = poller(1);
    assert_eq!((poller.due(), poller.next_fetch(START)), (START, (0, FetchKind::Full)));
    poller.record_answer(START, FetchKind::Full, true);
    assert!((900..=1_100).contains(&wait(&poller, START)));
    assert_eq!(poller.next_fetch(at(1_100)), (0, FetchKind::Delta));
    // What does not add up is asked for in full at once, the next time later and later.
    poller.record_answer(at(1_100), FetchKind::Delta, false);
    assert_eq!((poller.due(), poller.next_fetch(at(1_100)).1), (at(1_100), FetchKind::Full));
    poller.record_answer(at(1_100), FetchKind::Full, false);
    let mut now = at(2_300);
    let mut fulls = 0;
    for _ in 0..64 {
        let kind = poller.next_fetch(now).1;
        fulls += u32::from(kind == FetchKind::Full);
        poller.record_answer(now, kind, false);
        now = poller.due().max(now);
    }
    assert!((2..=12).contains(&fulls), "{fulls} whole lists of 64 answers from a registry that never agrees");
}

#[test]
fn another_server_is_asked_at_once_and_all_of_them_less_and_less_often() {
    let mut poller = poller(3);
    let mut now = START;
    let mut waits = Vec::new();
    for turn in 0..15 {
        let (server, kind) = poller.next_fetch(now);
        assert_eq!((server, kind), (turn % 3, FetchKind::Full));
        poller.record_failure(now, kind, Failure::Unusable);
        waits.push(wait(&poller, now));
        now = poller.due();
    }
    for (turn, wait) in waits.iter().enumerate() {
        let round = turn as u32 / 3;
        let pause = if turn % 3 == 2 { (500 << round).min(8_000) } else { 20 };
        assert!((pause * 3 / 4 - 1..=pause * 5 / 4 + 1).contains(wait), "turn {turn}: {wait} for {pause}");
    }
    poller.record_answer(now, FetchKind::Full, true);
    assert!(wait(&poller, now) <= 1_100, "it is well again");
}

#[test]
fn who_asks_to_be_left_alone_is_and_not_for_ever() {
    let mut poller = poller(2);
    poller.record_failure(START, FetchKind::Full, Failure::Status(429, Some(Span::millis(60_000))));
    assert_eq!(poller.next_fetch(at(20)).0, 1);
    poller.record_failure(at(20), FetchKind::Full, Failure::Unusable);
    assert_eq!(poller.next_fetch(at(2_000)).0, 1, "the first still rests");
    let mut alone = self::poller(1);
    alone.record_failure(START, FetchKind::Full, Failure::Status(503, Some(Span::millis(86_400_000))));
    assert_eq!(wait(&alone, START), 300_000, "five minutes at most");
    alone.record_failure(START, FetchKind::Full, Failure::Status(503, Some(Span(-5))));
    assert!(wait(&alone, START) <= 1_300, "nobody comes back in the past");
}

#[test]
fn a_server_without_deltas_is_asked_for_all_and_is_no_failure() {
    let mut poller = poller(2);
    poller.record_answer(START, FetchKind::Full, true);
    poller.record_failure(at(1_000), FetchKind::Delta, Failure::Status(404, None));
    assert_eq!((poller.consecutive_failures(), poller.next_fetch(at(1_000))), (0, (0, FetchKind::Full)));
    poller.record_answer(at(1_000), FetchKind::Full, true);
    assert_eq!(poller.next_fetch(at(3_000)), (0, FetchKind::Full));
}

#[test]
fn the_life_of_a_registration() {
    let mut lease = Lease::new(Span::millis(30_000), START);
    let first = lease.dirty_ms();
    assert_eq!(lease.next_action(START), Some(LeaseAction::Register(Status::Starting)));
    lease.record_result(START, LeaseAction::Register(Status::Starting), LeaseResult::Accepted);
    lease.set_status(at(100), Some(Status::Up));
    assert_eq!(lease.next_action(at(100)), Some(LeaseAction::Register(Status::Up)));
    assert!(lease.dirty_ms() > first, "a change has a later stamp");
    lease.record_result(at(100), LeaseAction::Register(Status::Up), LeaseResult::Accepted);
    assert_eq!(
        (lease.next_action(at(30_099)), lease.next_action(at(30_100))),
        (None, Some(LeaseAction::Renew(Status::Up)))
    );
    // The registry has forgotten it: it registers anew, with a later stamp.
    let before = lease.dirty_ms();
    lease.record_result(at(30_100), LeaseAction::Renew(Status::Up), LeaseResult::NotFound);
    assert_eq!(lease.next_action(at(30_100)), Some(LeaseAction::Register(Status::Up)));
    assert!(lease.dirty_ms() > before);
    // It fails over and over: later and later, but a drain is told at once.
    let mut now = at(30_100);
    for wait in [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        lease.record_result(now, LeaseAction::Register(Status::Up), LeaseResult::Failed);
        assert_eq!(lease.due(), Some(now + Span::millis(wait)));
        now = now + Span::millis(wait);
    }
    lease.set_status(now, Some(Status::OutOfService));
    assert_eq!(lease.next_action(now), Some(LeaseAction::Register(Status::OutOfService)));
    lease.record_result(now, LeaseAction::Register(Status::OutOfService), LeaseResult::Accepted);
    lease.set_status(now, None);
    assert_eq!(lease.next_action(now), Some(LeaseAction::Cancel));
    lease.record_result(now, LeaseAction::Cancel, LeaseResult::NotFound);
    assert_eq!((lease.next_action(now), lease.due()), (None, None), "nothing more to tell");
}

#[test]
fn who_never_registered_has_nothing_to_take_back() {
    let mut lease = Lease::new(Span::millis(30_000), START);
    lease.set_status(START, None);
    assert_eq!((lease.next_action(START), lease.due()), (None, None));
    // A clock that stands still still makes later stamps.
    let mut lease = Lease::new(Span::millis(30_000), START);
    let before = lease.dirty_ms();
    lease.set_status(START, Some(Status::Up));
    assert!(lease.dirty_ms() > before);
}
