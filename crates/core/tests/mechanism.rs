//! The mechanism of the design page, part by part.

mod common;
use common::*;
use linnetdeal_core::*;
use std::collections::BTreeMap;

#[test]
fn idle_reads_spread_over_all_members() {
    let mut host = Host::new(settings(), 4);
    let mut seen = BTreeMap::new();
    for _ in 0..400 {
        let (id, actions) = host.request(ANY);
        let to = sends(&actions).remove(0);
        let at = (1..=4).find(|at| member(*at) == to).unwrap();
        *seen.entry(at).or_insert(0) += 1;
        host.now = host.now + Span::millis(5);
        host.end_attempt(id, 0, at, Verdict::Ok);
    }
    assert!((1..=4).all(|at| seen[&at] > 60), "{seen:?}");
}

#[test]
fn a_loaded_first_pick_is_stepped_over() {
    let mut host = Host::new(settings(), 2);
    let busy = sends(&host.request(ANY).1).remove(0);
    // The second and later reads must leave a member that holds more than its part.
    let second = sends(&host.request(ANY).1).remove(0);
    assert_ne!(busy, second);
}

#[test]
fn a_fresh_router_starts_its_walk_at_the_lowest_id_and_moves_on_proof() {
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
fn the_list_shows_where_a_walk_starts() {
    let mut host = Host::new(settings(), 3);
    let listed = Entry { primary: true, ..entry(2) };
    host.handle(Event::List(Listing::Changes(vec![listed])));
    assert_eq!(sends(&host.request(UNSAFE).1), [member(2)]);
}

#[test]
fn after_one_round_of_misses_a_write_waits_for_a_shown_primary() {
    let mut host = Host::new(settings(), 3);
    let (id, _) = host.request(UNSAFE);
    host.end_attempt_as(id, 0, 1, Verdict::Miss, Some(Role::Replica));
    host.end_attempt_as(id, 1, 2, Verdict::Miss, Some(Role::Replica));
    let actions = host.end_attempt_as(id, 2, 3, Verdict::Miss, Some(Role::Replica));
    assert!(sends(&actions).is_empty());
    let waiting = host.advance(300);
    assert!(sends(&waiting).is_empty());
    assert!(!probes(&waiting).is_empty(), "the primary is looked for meanwhile");
    let (other, actions) = host.request(KEYED);
    assert!(sends(&actions).is_empty(), "the next write waits too");
    let actions = host.probe_result(2, true, 1);
    assert_eq!(sends(&actions), [member(2), member(2)], "both are released, once");
    assert!(sends(&host.advance(100)).is_empty());
    assert!(!failed(&host.end_attempt_as(other, 0, 2, Verdict::Ok, Some(Role::Primary)), other));
}

#[test]
fn half_the_attempts_bound_the_walk() {
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
fn bounded_reads_keep_to_known_positions_where_members_do_not_check() {
    let mut host = Host::new(Settings { checks: Checks::None, ..settings() }, 3);
    let (_, actions) = host.request(READ);
    assert!(sends(&actions).is_empty(), "nothing is known of any member");
    assert_eq!(probes(&actions).len(), 3);
    assert!(probes(&host.request(READ).1).is_empty(), "at most one probe a bound");
    host.now = host.now + Span::millis(2);
    let actions = host.probe_result(2, false, 10);
    assert_eq!(sends(&actions), [member(2), member(2)]);
    host.probe_result(3, false, 5_000);
    assert_eq!(sends(&host.request(READ).1), [member(2)], "member 3 is shown to lag");
}

#[test]
fn meanwhile_the_groups_reads_go_to_a_shown_primary() {
    let mut host = Host::new(Settings { checks: Checks::None, ..settings() }, 3);
    host.probe_result(1, true, 0);
    assert_eq!(sends(&host.request(READ).1), [member(1)]);
}

#[test]
fn unknown_members_count_where_members_check() {
    let mut host = Host::new(settings(), 3);
    assert_eq!(sends(&host.request(READ).1).len(), 1);
}

#[test]
fn a_member_that_refused_a_read_as_behind_is_passed_over_for_a_while() {
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
        "member 2 has not shown the write"
    );
    assert_eq!(sends(&host.request_in_session(OWN, Some(8)).1).len(), 1, "another session may read anywhere");
    host.now = host.now + Span::millis(50);
    host.probe_result(2, false, 10);
    assert_eq!(sends(&host.request_in_session(OWN, Some(9)).1), [member(2)]);
}

#[test]
fn a_carried_token_is_met_by_position() {
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
fn fresh_reads_wait_for_a_shown_primary() {
    let mut host = Host::new(settings(), 3);
    let (_, actions) = host.request(FRESH);
    assert!(sends(&actions).is_empty());
    assert_eq!(probes(&actions).len(), 3);
    assert_eq!(sends(&host.probe_result(3, true, 1)), [member(3)]);
}

#[test]
fn reads_spill_over_to_a_primary_that_is_less_crowded() {
    let mut host = Host::new(settings(), 4);
    host.probe_result(1, true, 0);
    let (mut to_primary, mut answered) = (0, 0);
    for _ in 0..600 {
        let (id, actions) = host.request(ANY);
        let Some(to) = sends(&actions).pop() else { continue };
        let at = (1..=4).find(|at| member(*at) == to).unwrap_or(1);
        answered += 1;
        to_primary += usize::from(at == 1);
        // One answer in three of a replica is not in good time; all of the primary are.
        host.answer_after(id, 0, at, if at > 1 && answered % 3 == 0 { 180 } else { 20 });
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
    assert_eq!(sends(&actions), [member(2)], "within the bound of a second");
    assert!(host.router.is_fresh(host.now, id, &member(2)));
    let later = host.now + Span::millis(150);
    assert!(!host.router.is_fresh(later, id, &member(2)), "it has fallen out of it meanwhile");
    assert!(host.router.is_fresh(later, id, &member(1)), "the primary stands at the present");
    host.probe_result(2, false, 100);
    assert!(host.router.is_fresh(later, id, &member(2)), "it was heard of since");
    let checked = Host::new(settings(), 3);
    assert!(checked.router.is_fresh(later, id, &member(2)), "where members check, they say so themselves");
}
