//! The states of a group, turn by turn; what is learned of changes; and what the router makes of both.

mod common;
use common::*;
use linnetdeal_core::handover::*;
use linnetdeal_core::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn ms(ms: i64) -> Time {
    Time(1_000_000_000 + ms * 1_000)
}

fn standing(at: usize, position: i64) -> MemberView {
    MemberView {
        member: member(at),
        position: ms(position),
        last_probe: Time(0),
        was_primary: false,
        listed_as_primary: false,
        suspect: false,
        has_room: true,
        write_in_flight: false,
    }
}

/// A group whose primary is the first of three, and was shown at 0 ms.
fn settled() -> (PrimaryTracker, Vec<MemberView>, ChangeDurations) {
    let (mut change, mut lengths) = (PrimaryTracker::default(), ChangeDurations::default());
    let mut family: Vec<_> = (1..=3).map(|at| standing(at, -10 * at as i64)).collect();
    change.set_mark(ms(0), &member(1), Evidence::Shown);
    change.update(ms(0), Some(ms(0)), false, 0, &mut lengths);
    assert_eq!(change.phase(), Phase::Settled);
    family[0].was_primary = true;
    (change, family, lengths)
}

fn place(
    change: &mut PrimaryTracker,
    at: i64,
    family: &[MemberView],
    shown: bool,
    walk_steps: u32,
) -> Option<WritePlacement> {
    change.place(ms(at), family, shown, walk_steps, &settings())
}

#[test]
fn a_drain_that_is_told_needs_no_walk_and_tries_who_has_most_of_the_log() {
    let (mut change, family, mut lengths) = settled();
    change.update(ms(10), Some(ms(10)), true, 0, &mut lengths);
    assert_eq!(change.phase(), Phase::Without);
    let left = &family[1..];
    assert!(
        matches!(place(&mut change, 10, left, false, 0), Some(WritePlacement::Wait(Some(to), _)) if to == member(2))
    );
    assert!(
        matches!(place(&mut change, 11, left, false, 0), Some(WritePlacement::Wait(Some(to), _)) if to == member(3))
    );
    assert!(
        matches!(place(&mut change, 12, left, false, 0), Some(WritePlacement::Wait(None, _))),
        "then with pauses"
    );
    assert!(
        matches!(place(&mut change, 60, left, false, 0), Some(WritePlacement::Wait(Some(to), _)) if to == member(2))
    );
    assert!(
        matches!(place(&mut change, 200, left, false, 9), Some(WritePlacement::Wait(None, _))),
        "it has walked enough"
    );
    change.set_mark(ms(300), &member(2), Evidence::Shown);
    change.update(ms(300), Some(ms(300)), false, 4, &mut lengths);
    assert_eq!((change.phase(), change.window()), (Phase::Found, 2.0));
    let why: Vec<Evidence> = change.record.transitions().map(|line| line.why).collect();
    assert_eq!(why, [Evidence::Shown, Evidence::Drain, Evidence::Shown]);
}

#[test]
fn one_write_at_a_time_tries_an_heir() {
    let (mut change, mut family, mut lengths) = settled();
    change.update(ms(10), Some(ms(10)), true, 0, &mut lengths);
    family[2].write_in_flight = true;
    assert!(matches!(place(&mut change, 10, &family[1..], false, 0), Some(WritePlacement::Wait(None, _))));
    family[2].write_in_flight = false;
    family[1].suspect = true;
    assert!(
        matches!(place(&mut change, 10, &family[1..], false, 0), Some(WritePlacement::Wait(Some(to), _)) if to == member(3))
    );
}

#[test]
fn proof_moves_the_mark_and_the_end_of_the_walk_holds() {
    let (mut change, family, _) = settled();
    change.write_not_run(ms(5), &member(1), Evidence::TurnedAway, &family);
    assert_eq!((change.phase(), change.mark()), (Phase::Doubted, Some(&member(2))));
    change.write_not_run(ms(6), &member(1), Evidence::TurnedAway, &family);
    assert_eq!(change.mark(), Some(&member(2)), "an old answer moves nothing more");
    assert_eq!(place(&mut change, 7, &family, false, 1), Some(WritePlacement::Mark(member(2))));
    assert!(matches!(place(&mut change, 8, &family, false, 3), Some(WritePlacement::Wait(None, _))));
    assert_eq!(change.phase(), Phase::Without);
}

#[test]
fn a_release_grows_with_each_answer_and_ends_when_nothing_waits() {
    let (mut change, _, mut lengths) = settled();
    change.invalidate_mark(ms(10), Evidence::Walked);
    change.set_mark(ms(2_000), &member(3), Evidence::Shown);
    change.update(ms(2_000), Some(ms(2_000)), false, 100, &mut lengths);
    let mut windows = vec![change.window()];
    for at in 1..=4 {
        change.record_outcome(ms(2_000 + at), &member(2), Verdict::Ok);
        change.record_outcome(ms(2_000 + at), &member(3), Verdict::Ok);
        windows.push(change.window());
    }
    assert_eq!(windows, [2.0, 3.0, 4.0, 5.0, 6.0]);
    assert_eq!(change.phase(), Phase::Releasing);
    change.update(ms(2_010), Some(ms(2_010)), false, 0, &mut lengths);
    assert_eq!((change.phase(), change.window()), (Phase::Settled, f64::INFINITY));
}

#[test]
fn what_a_slow_release_can_not_reach_in_time_is_told_so() {
    let (mut change, _, mut lengths) = settled();
    change.invalidate_mark(ms(10), Evidence::Walked);
    change.set_mark(ms(2_000), &member(3), Evidence::Shown);
    change.update(ms(2_000), Some(ms(2_000)), false, 100, &mut lengths);
    let held = |at: u64| HeldRequest {
        id: RequestId(at),
        merit: 1.0,
        arrived: ms(at as i64),
        deadline: ms(4_000),
        session: None,
        needs_primary: at != 99,
        write: false,
        walk_steps: 0,
    };
    let late = |change: &PrimaryTracker, now| {
        change.release_order(ms(now), (0..100).map(held).collect(), &ChangeDurations::default()).1.len()
    };
    for at in 1..=10 {
        assert_eq!(late(&change, 2_000 + at * 50), 0, "its pace is not told yet");
        change.record_outcome(ms(2_000 + at * 50 + 40), &member(3), Verdict::Ok);
    }
    // Ten in 540 ms, so it may become 27 ms each: 55 until the deadline, and one that asks for no primary.
    assert_eq!(late(&change, 2_540), 44);
    change.update(ms(2_540), Some(ms(2_540)), false, 100, &mut lengths);
    assert_eq!(
        change.expected_wait(ms(2_540), &lengths),
        Some(Span::millis(2_700)),
        "when all of them would be done"
    );
}

#[test]
fn of_many_held_writes_a_few_are_tried_and_all_are_told_when_their_time_is_over() {
    let (mut change, _, _) = settled();
    change.invalidate_mark(ms(10), Evidence::Walked);
    let held = |at: u64| HeldRequest {
        id: RequestId(at),
        merit: 1.0,
        arrived: ms(at as i64),
        deadline: ms(if at == 900 { 5_020 } else { 9_000 }),
        session: None,
        needs_primary: true,
        write: true,
        walk_steps: u32::from(at < 500),
    };
    let lengths =
        ChangeDurations::new([None, Some(Expected { least: Span::millis(100), usual: Span::millis(200) })]);
    let (go, late) = change.release_order(ms(5_000), (0..1_000).map(held).collect(), &lengths);
    let first: Vec<_> = (500..516).chain([900]).map(RequestId).collect();
    assert_eq!((go, late.len()), (first, 0), "those that may walk, and who is out of time");
}

#[test]
fn the_same_primary_again_is_no_change() {
    let (mut change, _, mut lengths) = settled();
    for round in 0..5 {
        change.invalidate_mark(ms(round * 100 + 10), Evidence::Silent);
        assert!(
            !change.update(ms(round * 100 + 90), Some(ms(round * 100 + 90)), false, 9, &mut lengths),
            "nothing to tell"
        );
        assert_eq!((change.phase(), change.window()), (Phase::Settled, f64::INFINITY));
    }
    assert_eq!(
        (lengths.minimum(ChangeKind::Unplanned), change.expected_wait(ms(600), &lengths)),
        (None, None)
    );
}

#[test]
fn lengths_are_learned_by_kind_and_give_the_time_to_come_back() {
    let (mut change, _, mut lengths) = settled();
    let mut at = 0;
    for (round, took) in [3_000, 4_000, 5_000].into_iter().enumerate() {
        at += 10_000;
        change.invalidate_mark(ms(at), Evidence::Walked);
        assert_eq!(lengths.minimum(ChangeKind::Unplanned).is_some(), round >= 2, "two say enough");
        change.set_mark(ms(at + took), &member(2 + round % 2), Evidence::Shown);
        change.update(ms(at + took), Some(ms(at + took)), false, 0, &mut lengths);
    }
    assert_eq!(lengths.minimum(ChangeKind::Unplanned), Some(Span::millis(2_400)));
    assert_eq!(lengths.minimum(ChangeKind::Planned), None);
    change.invalidate_mark(ms(50_000), Evidence::Walked);
    assert!(change.outlasts(ms(52_000), &lengths) && !change.outlasts(ms(52_500), &lengths));
    assert_eq!(change.expected_wait(ms(51_000), &lengths), Some(Span::millis(4_000)));
    assert_eq!(
        change.expected_wait(ms(60_000), &lengths),
        Some(Span(0)),
        "it is late; nobody knows for how long"
    );
}

#[test]
fn what_an_operator_says_counts_until_enough_was_seen() {
    let says = Expected { least: Span::millis(2_800), usual: Span::millis(5_000) };
    let mut lengths = ChangeDurations::new([None, Some(says)]);
    assert_eq!(
        (lengths.minimum(ChangeKind::Planned), lengths.minimum(ChangeKind::Unplanned)),
        (None, Some(Span::millis(2_800)))
    );
    lengths.observe(ChangeKind::Unplanned, Span::millis(1_000));
    assert_eq!(lengths.typical(ChangeKind::Unplanned), Some(Span::millis(5_000)));
    lengths.observe(ChangeKind::Unplanned, Span::millis(2_000));
    assert_eq!(lengths.minimum(ChangeKind::Unplanned), Some(Span::millis(800)));
    for _ in 0..1_000 {
        lengths.observe(ChangeKind::Unplanned, Span::millis(7_000));
    }
    assert_eq!(lengths.minimum(ChangeKind::Unplanned), Some(Span::millis(5_600)), "old ones are forgotten");
}

#[test]
fn the_record_is_bounded_and_tells_turn_by_turn() {
    let (mut change, _, mut lengths) = settled();
    for round in 0..1_000 {
        change.invalidate_mark(ms(round * 10), Evidence::Silent);
        change.update(ms(round * 10 + 5), Some(ms(round * 10 + 5)), false, 0, &mut lengths);
    }
    assert_eq!((change.record.transitions().count(), change.record.total()), (48, 2_001));
    assert!(
        change.record.to_string().contains("Settled -> Doubted by Silent at 10.0.0.1:7000"),
        "{}",
        change.record
    );
}

fn with_changes_seen() -> Host {
    let says = Expected { least: Span::millis(700), usual: Span::millis(900) };
    let mut host = Host::new(Settings { changes: [None, Some(says)], ..settings() }, 3);
    host.probe_result(1, true, 0);
    host
}

/// All three turn a write away, as after a death.
fn walk(host: &mut Host) -> RequestId {
    let (id, _) = host.request_within(UNSAFE, 950);
    host.now = host.now + Span::millis(2);
    host.end_attempt(id, 0, 1, Verdict::ConnectFailed);
    host.end_attempt_as(id, 1, 2, Verdict::Miss, Some(Role::Replica));
    host.end_attempt_as(id, 2, 3, Verdict::Miss, Some(Role::Replica));
    id
}

#[test]
fn a_write_that_can_not_outlast_the_change_is_refused_at_once_with_an_honest_time() {
    let mut host = with_changes_seen();
    walk(&mut host);
    host.advance(100);
    let (short, actions) = host.request_within(UNSAFE, 400);
    let back = refused(&actions, short).expect("refused at once").expect("with a time");
    assert!((Span::millis(790)..=Span::millis(800)).contains(&back), "{back:?}");
    let (long, actions) = host.request_within(UNSAFE, 700);
    assert!(refused(&actions, long).is_none(), "this one may outlast it");
    let (read, actions) = host.request(READ);
    assert!(refused(&actions, read).is_none(), "other reads have other members");
}

#[test]
fn a_box_that_started_anew_is_not_taken_for_the_primary_that_it_was() {
    let mut host = Host::new(Settings { cold_share: 1.0, ..settings() }, 3);
    host.probe_result(1, true, 0);
    assert_eq!(sends(&host.request(FRESH).1), [member(1)]);
    let again = Entry { started: Some(host.now + Span::millis(5)), ..entry(1) };
    host.now = host.now + Span::millis(1_000);
    host.handle(Event::List(Listing::Changes(vec![again])));
    let (_, actions) = host.request(FRESH);
    assert!(sends(&actions).is_empty(), "it has to show it anew");
    assert_eq!(sends(&host.probe_result(1, true, 1)).len(), 1);
}

#[test]
fn a_start_that_lies_ahead_of_our_clock_does_not_keep_a_primary_from_being_shown() {
    let mut host = Host::new(Settings { cold_share: 1.0, ..settings() }, 3);
    host.probe_result(1, true, 0);
    let ahead = Entry { started: Some(host.now + Span::millis(3_600_000)), ..entry(1) };
    host.handle(Event::List(Listing::Changes(vec![ahead])));
    host.now = host.now + Span::millis(1_000);
    host.probe_result(1, true, 1);
    assert_eq!(sends(&host.request(FRESH).1), [member(1)]);
}

#[test]
fn a_report_from_before_the_change_does_not_undo_an_answer_from_behind_it() {
    let mut host = with_changes_seen();
    let held = walk(&mut host);
    host.advance(200);
    // The old primary's report is from before its death; it came late.
    host.probe_result(1, true, 190);
    let actions = host.probe_result(2, true, 1);
    assert_eq!(sends(&actions), [member(2)]);
    host.now = host.now + Span::millis(4);
    host.end_attempt_as(held, 3, 2, Verdict::Ok, Some(Role::Primary));
    host.probe_result(1, true, 150);
    assert_eq!(sends(&host.request(UNSAFE).1), [member(2)], "what it was is not what it is");
}

/// An answer from a primary whose position is so old.
fn claims(host: &mut Host, at: usize, behind_ms: i64) -> Vec<Action> {
    let (id, actions) = host.request(ANY);
    let to = sends(&actions).first().cloned();
    let note = Note { role: Some(Role::Primary), position: Some(host.now - Span::millis(behind_ms)) };
    let outcome = Outcome {
        request: id,
        attempt: AttemptNo(0),
        member: if to == Some(member(at)) { member(at) } else { to.unwrap() },
        verdict: Verdict::Ok,
        note: (sends(&actions) == [member(at)]).then_some(note),
        took: Span::millis(1),
        closed: true,
        report: None,
    };
    host.handle(Event::Outcome(outcome))
}

#[test]
fn an_old_primary_that_still_says_it_is_one_moves_no_mark() {
    let mut host = with_changes_seen();
    let held = walk(&mut host);
    host.advance(200);
    host.probe_result(2, true, 1);
    host.now = host.now + Span::millis(4);
    host.end_attempt_as(held, 3, 2, Verdict::Ok, Some(Role::Primary));
    // It is back and answers reads, with where it stood.
    host.probe_result(1, true, 400);
    for _ in 0..60 {
        host.now = host.now + Span::millis(5);
        claims(&mut host, 1, 400);
    }
    assert_eq!(sends(&host.request(UNSAFE).1), [member(2)]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    /// In a release, each session's writes keep their order, and no one with a later deadline and no session goes before one
    /// with an earlier deadline and none.
    #[test]
    fn a_release_is_by_deadline_and_each_session_in_its_order(asked in prop::collection::vec((0..4_u64, 1..60_i64), 0..40)) {
        let mut held: Vec<HeldRequest> = asked.iter().enumerate().map(|(at, (session, left))| HeldRequest {
            id: RequestId(at as u64),
            merit: 1.0,
            arrived: ms(at as i64),
            deadline: ms(at as i64 + left),
            session: (*session > 0).then_some(SessionKey(*session)),
            needs_primary: true,
            write: false,
            walk_steps: 0,
        }).collect();
        sort_held(&mut held, Phase::Releasing);
        for (at, one) in held.iter().enumerate() {
            for later in &held[at + 1..] {
                if one.session.is_some() && one.session == later.session {
                    prop_assert!(one.arrived < later.arrived, "{held:?}");
                }
                if one.session.is_none() && later.session.is_none() {
                    prop_assert!(one.deadline <= later.deadline, "{held:?}");
                }
            }
        }
        sort_held(&mut held, Phase::Settled);
        prop_assert!(held.is_sorted_by_key(|one| one.arrived), "else by arrival");
    }

    /// Whatever happens in whatever order: writes go to the mark or wait, a scout is never who was the primary or is suspect,
    /// the mark is a member, and the record keeps its bound.
    #[test]
    fn any_order_of_evidence_keeps_the_state_sound(steps in prop::collection::vec((0..9_u8, 1..4_usize, 0..400_i64), 0..80)) {
        let (mut change, mut family, mut lengths) = settled();
        let mut now = 0;
        for (what, who, after) in steps {
            now += after;
            match what {
                0 => change.write_not_run(ms(now), &member(who), Evidence::TurnedAway, &family),
                1 => change.invalidate_mark(ms(now), Evidence::Silent),
                2 => drop(change.update(ms(now), None, true, 3, &mut lengths)),
                3 => {
                    change.set_mark(ms(now), &member(who), Evidence::Shown);
                    change.update(ms(now), Some(ms(now)), false, 3, &mut lengths);
                }
                4 => change.record_outcome(ms(now), &member(who), Verdict::Ok),
                5 => family[who - 1].suspect ^= true,
                6 => family[who - 1].was_primary ^= true,
                _ => match place(&mut change, now, &family, false, u32::from(what == 8)) {
                    Some(WritePlacement::Mark(mark)) => prop_assert_eq!(Some(&mark), change.mark()),
                    Some(WritePlacement::Wait(Some(to), _)) => {
                        let of = family.iter().find(|of| of.member == to).expect("a member");
                        prop_assert!(!of.was_primary && !of.suspect);
                    }
                    _ => {}
                },
            }
            prop_assert!(change.mark().is_some() && change.record.transitions().count() <= 48 && change.window() >= 2.0);
            prop_assert!(change.lost_since().is_none() || !matches!(change.phase(), Phase::Found | Phase::Releasing));
        }
    }
}
