//! The routing mechanism, part by part: placement of reads and writes, freshness, and the search for a primary.

mod common;
use common::*;
use linnetdeal_core::*;
use std::collections::BTreeMap;

#[test]
fn idle_reads_spread_over_all_members() {
    let mut host = Host::new(settings(), 4);
    let mut counts = BTreeMap::new();
    for _ in 0..400 {
        let (id, actions) = host.request(ANY);
        let target = sends(&actions).remove(0);
        let n = (1..=4).find(|n| member(*n) == target).unwrap();
        *counts.entry(n).or_insert(0) += 1;
        host.now = host.now + Span::millis(5);
        host.end_attempt(id, 0, n, Verdict::Ok);
    }
    assert!((1..=4).all(|n| counts[&n] > 60), "{counts:?}");
}

#[test]
fn a_loaded_first_pick_is_skipped() {
    let mut host = Host::new(settings(), 2);
    let busy = sends(&host.request(ANY).1).remove(0);
    // The next read must avoid the member that has more than its share of the load.
    let second = sends(&host.request(ANY).1).remove(0);
    assert_ne!(busy, second);
}

#[test]
fn a_new_router_tries_writes_from_the_lowest_id_on_and_moves_on_proof() {
    let mut host = Host::new(settings(), 3);
    let (id, actions) = host.request(UNSAFE);
    assert_eq!(sends(&actions), [member(1)]);
    let actions = host.end_attempt_as(id, 0, 1, Verdict::Miss, Some(Role::Replica));
    assert_eq!(sends(&actions), [member(2)]);
    let actions = host.end_attempt(id, 1, 2, Verdict::ConnectFailed);
    assert_eq!(sends(&actions), [member(3)]);
    host.end_attempt_as(id, 2, 3, Verdict::Ok, Some(Role::Primary));
    assert_eq!(sends(&host.request(KEYED).1), [member(3)], "an answer from the primary sets the mark");
}

#[test]
fn the_list_names_the_first_member_to_try() {
    let mut host = Host::new(settings(), 3);
    let listed = Entry { primary: true, ..entry(2) };
    host.handle(Event::List(Listing::Changes(vec![listed])));
    assert_eq!(sends(&host.request(UNSAFE).1), [member(2)]);
}

#[test]
fn after_one_round_of_misses_a_write_is_held_until_a_primary_is_known() {
    let mut host = Host::new(settings(), 3);
    let (id, _) = host.request(UNSAFE);
    host.end_attempt_as(id, 0, 1, Verdict::Miss, Some(Role::Replica));
    host.end_attempt_as(id, 1, 2, Verdict::Miss, Some(Role::Replica));
    let actions = host.end_attempt_as(id, 2, 3, Verdict::Miss, Some(Role::Replica));
    assert!(sends(&actions).is_empty());
    let waiting = host.advance(300);
    assert!(sends(&waiting).is_empty());
    assert!(!probes(&waiting).is_empty(), "the primary is searched for meanwhile");
    let (other, actions) = host.request(KEYED);
    assert!(sends(&actions).is_empty(), "the next write is held too");
    let actions = host.probe_result(2, true, 1);
    assert_eq!(sends(&actions), [member(2), member(2)], "both are released, each once");
    assert!(sends(&host.advance(100)).is_empty());
    assert!(!failed(&host.end_attempt_as(other, 0, 2, Verdict::Ok, Some(Role::Primary)), other));
}

#[test]
fn a_write_tries_members_with_at_most_half_of_its_attempts() {
    let mut host = Host::new(Settings { max_attempts: 4, ..settings() }, 6);
    let (id, _) = host.request(UNSAFE);
    let second = host.end_attempt_as(id, 0, 1, Verdict::Miss, Some(Role::Replica));
    assert_eq!(sends(&second).len(), 1);
    let third = host.end_attempt_as(id, 1, 2, Verdict::Miss, Some(Role::Replica));
    assert!(sends(&third).is_empty());
}

#[test]
fn a_held_write_fails_at_its_deadline() {
    let mut host = Host::new(settings(), 1);
    let (id, _) = host.request(UNSAFE);
    host.end_attempt_as(id, 0, 1, Verdict::Miss, Some(Role::Replica));
    let early = host.advance(900);
    assert!(!failed(&early, id) && refused(&early, id).is_none());
    assert!(failed(&host.advance(110), id));
}

#[test]
fn bounded_reads_use_only_known_positions_where_members_do_not_check() {
    let mut host = Host::new(Settings { checks: Checks::None, ..settings() }, 3);
    let (_, actions) = host.request(READ);
    assert!(sends(&actions).is_empty(), "no member's position is known");
    assert_eq!(probes(&actions).len(), 3);
    assert!(probes(&host.request(READ).1).is_empty(), "at most one probe per staleness bound");
    host.now = host.now + Span::millis(2);
    let actions = host.probe_result(2, false, 10);
    assert_eq!(sends(&actions), [member(2), member(2)]);
    host.probe_result(3, false, 5_000);
    assert_eq!(sends(&host.request(READ).1), [member(2)], "member 3 is known to lag");
}

#[test]
fn reads_go_to_a_known_primary_while_no_replica_is_known_to_be_fresh() {
    let mut host = Host::new(Settings { checks: Checks::None, ..settings() }, 3);
    host.probe_result(1, true, 0);
    assert_eq!(sends(&host.request(READ).1), [member(1)]);
}

#[test]
fn members_of_unknown_position_serve_where_members_check() {
    let mut host = Host::new(settings(), 3);
    assert_eq!(sends(&host.request(READ).1).len(), 1);
}

#[test]
fn a_member_that_refused_a_read_as_too_far_behind_is_skipped_for_a_while() {
    let mut host = Host::new(settings(), 2);
    let (id, actions) = host.request(READ);
    let behind = if sends(&actions) == [member(1)] { 1 } else { 2 };
    let other = member(3 - behind);
    assert_eq!(
        sends(&host.end_attempt_as(id, 0, behind, Verdict::Miss, Some(Role::Replica))),
        std::slice::from_ref(&other)
    );
    for _ in 0..3 {
        assert_eq!(sends(&host.request(READ).1), std::slice::from_ref(&other));
    }
}

#[test]
fn a_session_read_follows_its_remembered_write() {
    let mut host = Host::new(Settings { checks: Checks::None, ..settings() }, 3);
    host.probe_result(1, true, 0);
    host.probe_result(2, false, 50);
    let (id, actions) = host.request_in_session(KEYED, Some(9));
    assert_eq!(sends(&actions), [member(1)]);
    host.now = host.now + Span::millis(10);
    let now = host.now;
    let outcome = |position| Outcome {
        request: id,
        attempt: AttemptNo(0),
        member: member(1),
        verdict: Verdict::Ok,
        note: Some(Note { role: Some(Role::Primary), position: Some(position) }),
        took: Span::millis(5),
        closed: true,
        report: None,
    };
    host.handle(Event::Outcome(outcome(now)));
    assert_eq!(
        sends(&host.request_in_session(OWN, Some(9)).1),
        [member(1)],
        "member 2 is not known to have the write"
    );
    assert_eq!(sends(&host.request_in_session(OWN, Some(8)).1).len(), 1, "another session may read anywhere");
    host.now = host.now + Span::millis(50);
    host.probe_result(2, false, 10);
    assert_eq!(sends(&host.request_in_session(OWN, Some(9)).1), [member(2)]);
}

#[test]
fn a_carried_token_selects_members_by_position() {
    let settings = Settings { checks: Checks::None, tokens: Tokens::Carried, ..settings() };
    let mut host = Host::new(settings, 2);
    host.probe_result(1, false, 300);
    host.probe_result(2, false, 20);
    let request = Request {
        id: RequestId(77),
        class: OWN,
        tenant: None,
        session: None,
        left: Span::millis(1_000),
        group: GroupId(0),
        last_write: Some(Span::millis(100)),
        cost: None,
        retry: false,
    };
    assert_eq!(sends(&host.handle(Event::Request(request))), [member(2)]);
}

#[test]
fn fresh_reads_are_held_until_a_primary_is_known() {
    let mut host = Host::new(settings(), 3);
    let (_, actions) = host.request(FRESH);
    assert!(sends(&actions).is_empty());
    assert_eq!(probes(&actions).len(), 3);
    assert_eq!(sends(&host.probe_result(3, true, 1)), [member(3)]);
}

#[test]
fn reads_spill_over_to_a_primary_that_is_less_overloaded() {
    let mut host = Host::new(settings(), 4);
    host.probe_result(1, true, 0);
    let (mut to_primary, mut answered) = (0, 0);
    for _ in 0..600 {
        let (id, actions) = host.request(ANY);
        let Some(target) = sends(&actions).pop() else { continue };
        let n = (1..=4).find(|n| member(*n) == target).unwrap_or(1);
        answered += 1;
        to_primary += usize::from(n == 1);
        // A third of the replicas' answers are late, and none of the primary's.
        host.answer_after(id, 0, n, if n > 1 && answered % 3 == 0 { 180 } else { 20 });
    }
    assert!(to_primary * 6 > answered && to_primary * 2 < answered, "{to_primary} of {answered}");
}

#[test]
fn a_bound_moves_on_while_an_attempt_waits_for_a_connection() {
    let mut host = Host::new(Settings { checks: Checks::None, ..settings() }, 3);
    host.probe_result(1, true, 0);
    host.probe_result(2, false, 900);
    host.probe_result(3, false, 60_000);
    let (id, actions) = host.request(READ);
    assert_eq!(sends(&actions), [member(2)], "within the bound of one second");
    assert!(host.router.is_fresh(host.now, id, &member(2)));
    let later = host.now + Span::millis(150);
    assert!(!host.router.is_fresh(later, id, &member(2)), "meanwhile its data is older than the bound");
    assert!(host.router.is_fresh(later, id, &member(1)), "the primary is always fresh");
    host.probe_result(2, false, 100);
    assert!(host.router.is_fresh(later, id, &member(2)), "a newer position was reported");
    let checked = Host::new(settings(), 3);
    assert!(checked.router.is_fresh(later, id, &member(2)), "where members check, they refuse themselves");
}
