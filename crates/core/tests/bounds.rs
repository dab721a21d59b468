//! The router's memory is bounded, whatever clients request and however long it runs.

mod common;

use common::*;
use linnetdeal_core::*;

/// Sends a request for a group that no list has named.
fn request_for_group(host: &mut Host, group: i64) -> Vec<Action> {
    host.handle(Event::Request(Request {
        id: RequestId(1_000_000 + group.unsigned_abs()),
        class: ANY,
        tenant: None,
        session: None,
        left: Span::millis(500),
        group: GroupId(group),
        last_write: None,
        cost: None,
        retry: false,
    }))
}

#[test]
fn groups_that_no_list_names_are_not_kept() {
    let mut host = Host::new(settings(), 3);
    for group in 1..=5_000 {
        request_for_group(&mut host, group);
    }
    host.advance(1_000);
    assert_eq!(host.router.primaries().count(), 1, "only the group that has members");
}

#[test]
fn sessions_are_bounded_even_if_a_member_never_reports_a_position() {
    // Member 3 never reports a position, so that no session's writes can be known to have reached it.
    let mut host = Host::new(settings(), 3);
    host.probe_result(1, true, 0);
    for session in 0..40_000 {
        let (id, actions) = host.request_in_session(UNSAFE, Some(session));
        assert_eq!(sends(&actions), [member(1)]);
        host.answer_after(id, 0, 1, 1);
        if session % 100 == 0 {
            host.advance(10);
        }
    }
    host.advance(100);
    assert!(host.router.session_count() <= 10_000, "{} sessions are kept", host.router.session_count());
    // An evicted session still reads its own writes: a replica that is known to be behind all of them gets none of
    // its reads.
    host.probe_result(2, false, 60_000_000);
    for _ in 0..20 {
        let (_, actions) = host.request_in_session(OWN, Some(0));
        assert!(!sends(&actions).contains(&member(2)), "{actions:?}");
    }
}
