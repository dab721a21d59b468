//! When a kept connection carries a request immediately.

use linnetdeal_core::connection_reuse::{Reuse, ReusePolicy};
use linnetdeal_core::{MemberId, Span, Time};
use proptest::prelude::*;

fn member(name: &str) -> MemberId {
    MemberId(name.into())
}

fn at(ms: i64) -> Time {
    Time(1_767_225_600_000_000) + Span::millis(ms)
}

const SHORT_IDLE: Span = Span::millis(5);

#[test]
fn requests_to_a_member_that_just_answered_are_sent_immediately_unless_unsafe_to_repeat() {
    let (mut policy, one) = (ReusePolicy::default(), member("s-1"));
    assert_eq!(policy.reuse(&one, at(0), SHORT_IDLE, false), Reuse::AfterPing);
    policy.record_answer(&one, at(0));
    assert_eq!(policy.reuse(&one, at(100), SHORT_IDLE, false), Reuse::Immediate);
    assert_eq!(policy.reuse(&one, at(0), SHORT_IDLE, true), Reuse::AfterPing);
    assert_eq!(policy.reuse(&member("s-2"), at(0), SHORT_IDLE, false), Reuse::AfterPing);
    // The member may be down since then, or a middlebox may have closed the connection.
    assert_eq!(policy.reuse(&one, at(101), SHORT_IDLE, false), Reuse::AfterPing);
    assert_eq!(policy.reuse(&one, at(0), Span::millis(1_001), false), Reuse::AfterPing);
}

#[test]
fn a_broken_connection_makes_all_connections_of_its_member_be_pinged_for_a_while() {
    let (mut policy, one, other) = (ReusePolicy::default(), member("s-1"), member("s-2"));
    policy.record_answer(&one, at(0));
    policy.record_answer(&other, at(0));
    // Connections that break together count once.
    for ms in 0..20 {
        policy.record_failure(&one, at(ms), Reuse::Immediate);
    }
    for ms in [20, 5_000, 9_999] {
        policy.record_answer(&one, at(ms));
        policy.record_answer(&other, at(ms));
        assert_eq!(policy.reuse(&one, at(ms), SHORT_IDLE, false), Reuse::AfterPing, "{ms}");
        assert!(!policy.needs_trailing_ping(&one, at(ms)));
        assert_eq!(policy.reuse(&other, at(ms), SHORT_IDLE, false), Reuse::Immediate);
    }
    policy.record_answer(&one, at(10_020));
    assert_eq!(policy.reuse(&one, at(10_020), SHORT_IDLE, false), Reuse::Immediate);
    assert!(policy.needs_trailing_ping(&one, at(10_020)));
}

#[test]
fn the_ping_period_doubles_up_to_a_bound_if_failures_recur() {
    let (mut policy, one) = (ReusePolicy::default(), member("s-1"));
    let (mut now, mut periods) = (0, Vec::new());
    for _ in 0..7 {
        policy.record_failure(&one, at(now), Reuse::Immediate);
        let started = now;
        while !policy.needs_trailing_ping(&one, at(now)) {
            now += 1_000;
        }
        periods.push((now - started) / 1_000);
    }
    assert_eq!(periods, [10, 20, 40, 80, 160, 160, 160]);
    // After a minute without a failure the period has its initial length again.
    now += 60_000;
    policy.record_failure(&one, at(now), Reuse::Immediate);
    assert!(
        !policy.needs_trailing_ping(&one, at(now + 9_999))
            && policy.needs_trailing_ping(&one, at(now + 10_000))
    );
}

#[test]
fn failed_pings_extend_the_ping_period_without_doubling_it() {
    let (mut policy, one) = (ReusePolicy::default(), member("s-1"));
    for ms in (0..300_000).step_by(500) {
        policy.record_failure(&one, at(ms), Reuse::AfterPing);
        assert!(!policy.needs_trailing_ping(&one, at(ms + 9_999)));
    }
    assert!(policy.needs_trailing_ping(&one, at(299_500 + 10_000)));
}

#[test]
fn stale_members_are_evicted() {
    let mut policy = ReusePolicy::default();
    for name in 0..1_000 {
        policy.record_answer(&member(&name.to_string()), at(name));
    }
    policy.record_failure(&member("5"), at(0), Reuse::Immediate);
    policy.evict_stale(at(60_400));
    assert_eq!(policy.len(), 601);
    policy.evict_stale(at(200_000));
    assert!(policy.is_empty());
}

proptest! {
    /// Whatever happened before, a request that must not run twice is never sent immediately, and no request is sent
    /// immediately within a ping period or to a member that has not answered recently.
    #[test]
    fn immediate_reuse_requires_a_recent_answer_and_no_recent_failure(steps in proptest::collection::vec((0..4u8, 0..3_000i64, any::<bool>()), 1..200)) {
        let (mut policy, one) = (ReusePolicy::default(), member("s-1"));
        let (mut now, mut answered_at, mut failed_at) = (0, None, None);
        for (event, delay, immediate) in steps {
            now += delay;
            match event {
                0 | 1 => {
                    policy.record_answer(&one, at(now));
                    answered_at = Some(now);
                }
                2 => {
                    policy.record_failure(&one, at(now), if immediate { Reuse::Immediate } else { Reuse::AfterPing });
                    failed_at = Some(now);
                    answered_at = answered_at.or(Some(now));
                }
                _ => policy.evict_stale(at(now)),
            }
            prop_assert_eq!(policy.reuse(&one, at(now), SHORT_IDLE, true), Reuse::AfterPing);
            if policy.reuse(&one, at(now), SHORT_IDLE, false) == Reuse::Immediate {
                prop_assert!(answered_at.is_some_and(|answered| now - answered <= 100));
                prop_assert!(failed_at.is_none_or(|failed| now - failed >= 10_000), "{now} {failed_at:?}");
                prop_assert!(policy.needs_trailing_ping(&one, at(now)));
            }
        }
    }
}
