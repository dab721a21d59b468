//! When a kept connection carries a request at once.

use linnetdeal_core::connection_reuse::{Reuse, ReusePolicy};
use linnetdeal_core::{MemberId, Span, Time};
use proptest::prelude::*;

fn member(name: &str) -> MemberId {
    MemberId(name.into())
}

fn at(ms: i64) -> Time {
    Time(1_767_225_600_000_000) + Span::millis(ms)
}

const YOUNG: Span = Span::millis(5);

#[test]
fn a_member_heard_of_just_now_gets_reads_at_once_and_writes_that_must_not_run_twice_after_a_question() {
    let (mut trust, one) = (ReusePolicy::default(), member("s-1"));
    assert_eq!(trust.reuse(&one, at(0), YOUNG, false), Reuse::AfterPing);
    trust.record_answer(&one, at(0));
    assert_eq!(trust.reuse(&one, at(100), YOUNG, false), Reuse::Immediate);
    assert_eq!(trust.reuse(&one, at(0), YOUNG, true), Reuse::AfterPing);
    assert_eq!(trust.reuse(&member("s-2"), at(0), YOUNG, false), Reuse::AfterPing);
    // It may have vanished since, or the connection have been closed on the way.
    assert_eq!(trust.reuse(&one, at(101), YOUNG, false), Reuse::AfterPing);
    assert_eq!(trust.reuse(&one, at(0), Span::millis(1_001), false), Reuse::AfterPing);
}

#[test]
fn one_that_broke_makes_all_of_its_member_be_asked_for_a_while() {
    let (mut trust, one, other) = (ReusePolicy::default(), member("s-1"), member("s-2"));
    trust.record_answer(&one, at(0));
    trust.record_answer(&other, at(0));
    // What breaks in one blow counts once.
    for ms in 0..20 {
        trust.record_failure(&one, at(ms), Reuse::Immediate);
    }
    for ms in [20, 5_000, 9_999] {
        trust.record_answer(&one, at(ms));
        trust.record_answer(&other, at(ms));
        assert_eq!(trust.reuse(&one, at(ms), YOUNG, false), Reuse::AfterPing, "{ms}");
        assert!(!trust.needs_trailing_ping(&one, at(ms)));
        assert_eq!(trust.reuse(&other, at(ms), YOUNG, false), Reuse::Immediate);
    }
    trust.record_answer(&one, at(10_020));
    assert_eq!(trust.reuse(&one, at(10_020), YOUNG, false), Reuse::Immediate);
    assert!(trust.needs_trailing_ping(&one, at(10_020)));
}

#[test]
fn trust_that_came_too_early_comes_later_the_next_time_up_to_a_bound() {
    let (mut trust, one) = (ReusePolicy::default(), member("s-1"));
    let (mut now, mut lengths) = (0, Vec::new());
    for _ in 0..7 {
        trust.record_failure(&one, at(now), Reuse::Immediate);
        let began = now;
        while !trust.needs_trailing_ping(&one, at(now)) {
            now += 1_000;
        }
        lengths.push((now - began) / 1_000);
    }
    assert_eq!(lengths, [10, 20, 40, 80, 160, 160, 160]);
    // After a minute without one it is as the first time.
    now += 60_000;
    trust.record_failure(&one, at(now), Reuse::Immediate);
    assert!(
        !trust.needs_trailing_ping(&one, at(now + 9_999))
            && trust.needs_trailing_ping(&one, at(now + 10_000))
    );
}

#[test]
fn those_found_dead_when_asked_keep_the_question_up_and_do_not_lengthen_it() {
    let (mut trust, one) = (ReusePolicy::default(), member("s-1"));
    for ms in (0..300_000).step_by(500) {
        trust.record_failure(&one, at(ms), Reuse::AfterPing);
        assert!(!trust.needs_trailing_ping(&one, at(ms + 9_999)));
    }
    assert!(trust.needs_trailing_ping(&one, at(299_500 + 10_000)));
}

#[test]
fn who_is_gone_is_forgotten() {
    let mut trust = ReusePolicy::default();
    for name in 0..1_000 {
        trust.record_answer(&member(&name.to_string()), at(name));
    }
    trust.record_failure(&member("5"), at(0), Reuse::Immediate);
    trust.evict_stale(at(60_400));
    assert_eq!(trust.len(), 601);
    trust.evict_stale(at(200_000));
    assert!(trust.is_empty());
}

proptest! {
    /// Whatever happened: what must not run twice is never sent at once, nor anything within a doubt, nor to who was
    /// not heard of lately.
    #[test]
    fn nothing_goes_at_once_without_cause(steps in proptest::collection::vec((0..4u8, 0..3_000i64, any::<bool>()), 1..200)) {
        let (mut trust, one) = (ReusePolicy::default(), member("s-1"));
        let (mut now, mut heard, mut broke) = (0, None, None);
        for (what, later, way) in steps {
            now += later;
            match what {
                0 | 1 => {
                    trust.record_answer(&one, at(now));
                    heard = Some(now);
                }
                2 => {
                    trust.record_failure(&one, at(now), if way { Reuse::Immediate } else { Reuse::AfterPing });
                    broke = Some(now);
                    heard = heard.or(Some(now));
                }
                _ => trust.evict_stale(at(now)),
            }
            prop_assert_eq!(trust.reuse(&one, at(now), YOUNG, true), Reuse::AfterPing);
            if trust.reuse(&one, at(now), YOUNG, false) == Reuse::Immediate {
                prop_assert!(heard.is_some_and(|heard| now - heard <= 100));
                prop_assert!(broke.is_none_or(|broke| now - broke >= 10_000), "{now} {broke:?}");
                prop_assert!(trust.needs_trailing_ping(&one, at(now)));
            }
        }
    }
}
