//! The primary tracker and its transitions, the durations of changes, and how the router uses both.

mod common;
use common::*;
use linnetdeal_core::handover::*;
use linnetdeal_core::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn ms(ms: i64) -> Time {
    Time(1_000_000_000 + ms * 1_000)
}

fn view(number: usize, position: i64) -> MemberView {
    MemberView {
        member: member(number),
        position: ms(position),
        last_probe: Time(0),
        was_primary: false,
        listed_as_primary: false,
        suspect: false,
        has_room: true,
        write_in_flight: false,
    }
}

/// A tracker whose primary is the first of three members and was seen at 0 ms, with views and durations.
fn settled() -> (PrimaryTracker, Vec<MemberView>, ChangeDurations) {
    let (mut tracker, mut durations) = (PrimaryTracker::default(), ChangeDurations::default());
    let mut views: Vec<_> = (1..=3).map(|number| view(number, -10 * number as i64)).collect();
    tracker.set_mark(ms(0), &member(1), Evidence::Shown);
    tracker.update(ms(0), Some(ms(0)), false, 0, &mut durations);
    assert_eq!(tracker.phase(), Phase::Settled);
    views[0].was_primary = true;
    (tracker, views, durations)
}

fn place(
    tracker: &mut PrimaryTracker,
    now_ms: i64,
    views: &[MemberView],
    confirmed: bool,
    members_tried: u32,
) -> Option<WritePlacement> {
    tracker.place(ms(now_ms), views, confirmed, members_tried, &settings())
}

#[test]
fn after_a_drain_writes_are_tried_at_the_member_with_the_latest_position() {
    let (mut tracker, views, mut durations) = settled();
    tracker.update(ms(10), Some(ms(10)), true, 0, &mut durations);
    assert_eq!(tracker.phase(), Phase::Without);
    let remaining = &views[1..];
    assert!(
        matches!(place(&mut tracker, 10, remaining, false, 0), Some(WritePlacement::Wait(Some(to), _)) if to == member(2))
    );
    assert!(
        matches!(place(&mut tracker, 11, remaining, false, 0), Some(WritePlacement::Wait(Some(to), _)) if to == member(3))
    );
    assert!(
        matches!(place(&mut tracker, 12, remaining, false, 0), Some(WritePlacement::Wait(None, _))),
        "later trials are at intervals"
    );
    assert!(
        matches!(place(&mut tracker, 60, remaining, false, 0), Some(WritePlacement::Wait(Some(to), _)) if to == member(2))
    );
    assert!(
        matches!(place(&mut tracker, 200, remaining, false, 9), Some(WritePlacement::Wait(None, _))),
        "it has tried enough members"
    );
    tracker.set_mark(ms(300), &member(2), Evidence::Shown);
    tracker.update(ms(300), Some(ms(300)), false, 4, &mut durations);
    assert_eq!((tracker.phase(), tracker.window()), (Phase::Found, 2.0));
    let why: Vec<Evidence> = tracker.record.transitions().map(|transition| transition.why).collect();
    assert_eq!(why, [Evidence::Shown, Evidence::Drain, Evidence::Shown]);
}

#[test]
fn one_write_at_a_time_is_tried_at_a_candidate() {
    let (mut tracker, mut views, mut durations) = settled();
    tracker.update(ms(10), Some(ms(10)), true, 0, &mut durations);
    views[2].write_in_flight = true;
    assert!(matches!(place(&mut tracker, 10, &views[1..], false, 0), Some(WritePlacement::Wait(None, _))));
    views[2].write_in_flight = false;
    views[1].suspect = true;
    assert!(
        matches!(place(&mut tracker, 10, &views[1..], false, 0), Some(WritePlacement::Wait(Some(to), _)) if to == member(3))
    );
}

#[test]
fn proof_moves_the_mark_and_writes_are_held_after_the_last_member() {
    let (mut tracker, views, _) = settled();
    tracker.write_not_run(ms(5), &member(1), Evidence::TurnedAway, &views);
    assert_eq!((tracker.phase(), tracker.mark()), (Phase::Doubted, Some(&member(2))));
    tracker.write_not_run(ms(6), &member(1), Evidence::TurnedAway, &views);
    assert_eq!(tracker.mark(), Some(&member(2)), "an old answer does not move the mark again");
    assert_eq!(place(&mut tracker, 7, &views, false, 1), Some(WritePlacement::Mark(member(2))));
    assert!(matches!(place(&mut tracker, 8, &views, false, 3), Some(WritePlacement::Wait(None, _))));
    assert_eq!(tracker.phase(), Phase::Without);
}

#[test]
fn a_release_window_grows_with_each_answer_until_nothing_is_held() {
    let (mut tracker, _, mut durations) = settled();
    tracker.invalidate_mark(ms(10), Evidence::Walked);
    tracker.set_mark(ms(2_000), &member(3), Evidence::Shown);
    tracker.update(ms(2_000), Some(ms(2_000)), false, 100, &mut durations);
    let mut windows = vec![tracker.window()];
    for at in 1..=4 {
        tracker.record_outcome(ms(2_000 + at), &member(2), Verdict::Ok);
        tracker.record_outcome(ms(2_000 + at), &member(3), Verdict::Ok);
        windows.push(tracker.window());
    }
    assert_eq!(windows, [2.0, 3.0, 4.0, 5.0, 6.0]);
    assert_eq!(tracker.phase(), Phase::Releasing);
    tracker.update(ms(2_010), Some(ms(2_010)), false, 0, &mut durations);
    assert_eq!((tracker.phase(), tracker.window()), (Phase::Settled, f64::INFINITY));
}

#[test]
fn requests_that_a_slow_release_cannot_reach_in_time_are_listed_as_too_late() {
    let (mut tracker, _, mut durations) = settled();
    tracker.invalidate_mark(ms(10), Evidence::Walked);
    tracker.set_mark(ms(2_000), &member(3), Evidence::Shown);
    tracker.update(ms(2_000), Some(ms(2_000)), false, 100, &mut durations);
    let held = |index: u64| HeldRequest {
        id: RequestId(index),
        merit: 1.0,
        arrived: ms(index as i64),
        deadline: ms(4_000),
        session: None,
        needs_primary: index != 99,
        write: false,
        members_tried: 0,
    };
    let late = |tracker: &PrimaryTracker, now| {
        tracker.release_order(ms(now), (0..100).map(held).collect(), &ChangeDurations::default()).1.len()
    };
    for at in 1..=10 {
        assert_eq!(late(&tracker, 2_000 + at * 50), 0, "the rate is not known yet");
        tracker.record_outcome(ms(2_000 + at * 50 + 40), &member(3), Verdict::Ok);
    }
    // Ten answers in 540 ms, so at best 27 ms each: 55 until the deadline, and one request that needs no primary.
    assert_eq!(late(&tracker, 2_540), 44);
    tracker.update(ms(2_540), Some(ms(2_540)), false, 100, &mut durations);
    assert_eq!(
        tracker.expected_wait(ms(2_540), &durations),
        Some(Span::millis(2_700)),
        "until all of them are done"
    );
}

#[test]
fn of_many_held_writes_a_few_are_tried_and_expired_ones_are_always_listed() {
    let (mut tracker, _, _) = settled();
    tracker.invalidate_mark(ms(10), Evidence::Walked);
    let held = |index: u64| HeldRequest {
        id: RequestId(index),
        merit: 1.0,
        arrived: ms(index as i64),
        deadline: ms(if index == 900 { 5_020 } else { 9_000 }),
        session: None,
        needs_primary: true,
        write: true,
        members_tried: u32::from(index < 500),
    };
    let durations =
        ChangeDurations::new([None, Some(Expected { least: Span::millis(100), usual: Span::millis(200) })]);
    let (ready, late) = tracker.release_order(ms(5_000), (0..1_000).map(held).collect(), &durations);
    let first: Vec<_> = (500..516).chain([900]).map(RequestId).collect();
    assert_eq!((ready, late.len()), (first, 0), "the first that may try a member, and the one that expires");
}

#[test]
fn the_same_primary_again_is_not_a_change() {
    let (mut tracker, _, mut durations) = settled();
    for round in 0..5 {
        tracker.invalidate_mark(ms(round * 100 + 10), Evidence::Silent);
        assert!(
            !tracker.update(ms(round * 100 + 90), Some(ms(round * 100 + 90)), false, 9, &mut durations),
            "no new primary"
        );
        assert_eq!((tracker.phase(), tracker.window()), (Phase::Settled, f64::INFINITY));
    }
    assert_eq!(
        (durations.minimum(ChangeKind::Unplanned), tracker.expected_wait(ms(600), &durations)),
        (None, None)
    );
}

#[test]
fn durations_are_kept_by_kind_and_give_the_expected_wait() {
    let (mut tracker, _, mut durations) = settled();
    let mut at = 0;
    for (round, took) in [3_000, 4_000, 5_000].into_iter().enumerate() {
        at += 10_000;
        tracker.invalidate_mark(ms(at), Evidence::Walked);
        assert_eq!(
            durations.minimum(ChangeKind::Unplanned).is_some(),
            round >= 2,
            "two observations are enough"
        );
        tracker.set_mark(ms(at + took), &member(2 + round % 2), Evidence::Shown);
        tracker.update(ms(at + took), Some(ms(at + took)), false, 0, &mut durations);
    }
    assert_eq!(durations.minimum(ChangeKind::Unplanned), Some(Span::millis(2_400)));
    assert_eq!(durations.minimum(ChangeKind::Planned), None);
    tracker.invalidate_mark(ms(50_000), Evidence::Walked);
    assert!(tracker.outlasts(ms(52_000), &durations) && !tracker.outlasts(ms(52_500), &durations));
    assert_eq!(tracker.expected_wait(ms(51_000), &durations), Some(Span::millis(4_000)));
    assert_eq!(tracker.expected_wait(ms(60_000), &durations), Some(Span(0)), "overdue by an unknown time");
}

#[test]
fn the_operators_estimate_counts_until_enough_changes_were_observed() {
    let expected = Expected { least: Span::millis(2_800), usual: Span::millis(5_000) };
    let mut durations = ChangeDurations::new([None, Some(expected)]);
    assert_eq!(
        (durations.minimum(ChangeKind::Planned), durations.minimum(ChangeKind::Unplanned)),
        (None, Some(Span::millis(2_800)))
    );
    durations.observe(ChangeKind::Unplanned, Span::millis(1_000));
    assert_eq!(durations.typical(ChangeKind::Unplanned), Some(Span::millis(5_000)));
    durations.observe(ChangeKind::Unplanned, Span::millis(2_000));
    assert_eq!(durations.minimum(ChangeKind::Unplanned), Some(Span::millis(800)));
    for _ in 0..1_000 {
        durations.observe(ChangeKind::Unplanned, Span::millis(7_000));
    }
    assert_eq!(
        durations.minimum(ChangeKind::Unplanned),
        Some(Span::millis(5_600)),
        "old observations are dropped"
    );
}

#[test]
fn the_record_is_bounded_and_lists_the_transitions() {
    let (mut tracker, _, mut durations) = settled();
    for round in 0..1_000 {
        tracker.invalidate_mark(ms(round * 10), Evidence::Silent);
        tracker.update(ms(round * 10 + 5), Some(ms(round * 10 + 5)), false, 0, &mut durations);
    }
    assert_eq!((tracker.record.transitions().count(), tracker.record.total()), (48, 2_001));
    assert!(
        tracker.record.to_string().contains("Settled -> Doubted by Silent at 10.0.0.1:7000"),
        "{}",
        tracker.record
    );
}

fn host_with_expected_changes() -> Host {
    let expected = Expected { least: Span::millis(700), usual: Span::millis(900) };
    let mut host = Host::new(Settings { changes: [None, Some(expected)], ..settings() }, 3);
    host.probe_result(1, true, 0);
    host
}

/// A write that all three members reject, as after the death of the primary.
fn reject_write(host: &mut Host) -> RequestId {
    let (id, _) = host.request_within(UNSAFE, 950);
    host.now = host.now + Span::millis(2);
    host.end_attempt(id, 0, 1, Verdict::ConnectFailed);
    host.end_attempt_as(id, 1, 2, Verdict::Miss, Some(Role::Replica));
    host.end_attempt_as(id, 2, 3, Verdict::Miss, Some(Role::Replica));
    id
}

#[test]
fn a_write_that_the_change_outlasts_is_refused_at_once_with_the_expected_wait() {
    let mut host = host_with_expected_changes();
    reject_write(&mut host);
    host.advance(100);
    let (short, actions) = host.request_within(UNSAFE, 400);
    let retry_after = refused(&actions, short).expect("refused at once").expect("with a retry-after");
    assert!((Span::millis(790)..=Span::millis(800)).contains(&retry_after), "{retry_after:?}");
    let (long, actions) = host.request_within(UNSAFE, 700);
    assert!(refused(&actions, long).is_none(), "its deadline is late enough");
    let (read, actions) = host.request(READ);
    assert!(refused(&actions, read).is_none(), "other reads do not need the primary");
}

#[test]
fn a_restarted_member_is_not_taken_for_the_primary_that_it_was() {
    let mut host = Host::new(Settings { cold_share: 1.0, ..settings() }, 3);
    host.probe_result(1, true, 0);
    assert_eq!(sends(&host.request(FRESH).1), [member(1)]);
    let restarted = Entry { started: Some(host.now + Span::millis(5)), ..entry(1) };
    host.now = host.now + Span::millis(1_000);
    host.handle(Event::List(Listing::Changes(vec![restarted])));
    let (_, actions) = host.request(FRESH);
    assert!(sends(&actions).is_empty(), "the member has to report the role again");
    assert_eq!(sends(&host.probe_result(1, true, 1)).len(), 1);
}

#[test]
fn a_start_time_ahead_of_the_clock_does_not_hide_a_primary() {
    let mut host = Host::new(Settings { cold_share: 1.0, ..settings() }, 3);
    host.probe_result(1, true, 0);
    let ahead = Entry { started: Some(host.now + Span::millis(3_600_000)), ..entry(1) };
    host.handle(Event::List(Listing::Changes(vec![ahead])));
    host.now = host.now + Span::millis(1_000);
    host.probe_result(1, true, 1);
    assert_eq!(sends(&host.request(FRESH).1), [member(1)]);
}

#[test]
fn a_report_from_before_the_change_does_not_override_a_later_answer() {
    let mut host = host_with_expected_changes();
    let held = reject_write(&mut host);
    host.advance(200);
    // A delayed report of the old primary, from before its death.
    host.probe_result(1, true, 190);
    let actions = host.probe_result(2, true, 1);
    assert_eq!(sends(&actions), [member(2)]);
    host.now = host.now + Span::millis(4);
    host.end_attempt_as(held, 3, 2, Verdict::Ok, Some(Role::Primary));
    host.probe_result(1, true, 150);
    assert_eq!(sends(&host.request(UNSAFE).1), [member(2)], "an old report does not override a newer answer");
}

/// A read is answered by the member as a primary whose position is this old, if it is sent there.
fn claim_primary(host: &mut Host, number: usize, behind_ms: i64) -> Vec<Action> {
    let (id, actions) = host.request(ANY);
    let target = sends(&actions).first().cloned();
    let note = Note { role: Some(Role::Primary), position: Some(host.now - Span::millis(behind_ms)) };
    let outcome = Outcome {
        request: id,
        attempt: AttemptNo(0),
        member: if target == Some(member(number)) { member(number) } else { target.unwrap() },
        verdict: Verdict::Ok,
        note: (sends(&actions) == [member(number)]).then_some(note),
        took: Span::millis(1),
        closed: true,
        report: None,
    };
    host.handle(Event::Outcome(outcome))
}

#[test]
fn a_former_primary_that_still_claims_the_role_does_not_get_the_mark() {
    let mut host = host_with_expected_changes();
    let held = reject_write(&mut host);
    host.advance(200);
    host.probe_result(2, true, 1);
    host.now = host.now + Span::millis(4);
    host.end_attempt_as(held, 3, 2, Verdict::Ok, Some(Role::Primary));
    // The former primary is back and answers reads at its old position.
    host.probe_result(1, true, 400);
    for _ in 0..60 {
        host.now = host.now + Span::millis(5);
        claim_primary(&mut host, 1, 400);
    }
    assert_eq!(sends(&host.request(UNSAFE).1), [member(2)]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    /// In a release, the requests of each session keep their order, and those without a session are sorted by
    /// deadline.
    #[test]
    fn a_release_is_sorted_by_deadline_and_keeps_the_order_of_each_session(requests in prop::collection::vec((0..4_u64, 1..60_i64), 0..40)) {
        let mut held: Vec<HeldRequest> = requests.iter().enumerate().map(|(at, (session, remaining))| HeldRequest {
            id: RequestId(at as u64),
            merit: 1.0,
            arrived: ms(at as i64),
            deadline: ms(at as i64 + remaining),
            session: (*session > 0).then_some(SessionKey(*session)),
            needs_primary: true,
            write: false,
            members_tried: 0,
        }).collect();
        sort_held(&mut held, Phase::Releasing);
        for (at, request) in held.iter().enumerate() {
            for later in &held[at + 1..] {
                if request.session.is_some() && request.session == later.session {
                    prop_assert!(request.arrived < later.arrived, "{held:?}");
                }
                if request.session.is_none() && later.session.is_none() {
                    prop_assert!(request.deadline <= later.deadline, "{held:?}");
                }
            }
        }
        sort_held(&mut held, Phase::Settled);
        prop_assert!(held.is_sorted_by_key(|request| request.arrived), "otherwise by arrival");
    }

    /// For any order of evidence: writes go to the mark or are held, they are never tried at the former primary
    /// or at a suspect member, the mark is a member, and the record stays within its bound.
    #[test]
    fn any_order_of_evidence_keeps_the_state_valid(steps in prop::collection::vec((0..9_u8, 1..4_usize, 0..400_i64), 0..80)) {
        let (mut tracker, mut views, mut durations) = settled();
        let mut now = 0;
        for (step, number, after) in steps {
            now += after;
            match step {
                0 => tracker.write_not_run(ms(now), &member(number), Evidence::TurnedAway, &views),
                1 => tracker.invalidate_mark(ms(now), Evidence::Silent),
                2 => drop(tracker.update(ms(now), None, true, 3, &mut durations)),
                3 => {
                    tracker.set_mark(ms(now), &member(number), Evidence::Shown);
                    tracker.update(ms(now), Some(ms(now)), false, 3, &mut durations);
                }
                4 => tracker.record_outcome(ms(now), &member(number), Verdict::Ok),
                5 => views[number - 1].suspect ^= true,
                6 => views[number - 1].was_primary ^= true,
                _ => match place(&mut tracker, now, &views, false, u32::from(step == 8)) {
                    Some(WritePlacement::Mark(mark)) => prop_assert_eq!(Some(&mark), tracker.mark()),
                    Some(WritePlacement::Wait(Some(to), _)) => {
                        let view = views.iter().find(|view| view.member == to).expect("a member");
                        prop_assert!(!view.was_primary && !view.suspect);
                    }
                    _ => {}
                },
            }
            prop_assert!(tracker.mark().is_some() && tracker.record.transitions().count() <= 48 && tracker.window() >= 2.0);
            prop_assert!(tracker.lost_since().is_none() || !matches!(tracker.phase(), Phase::Found | Phase::Releasing));
        }
    }
}
