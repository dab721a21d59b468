//! The budget of a cold member.

mod common;

use common::settings;
use linnetdeal_core::{Settings, SlowStart, Span, Time};

/// What a hundred routers that each see two tenths of a request a second of a member may send it.
const USUAL: f64 = 0.2 / 1e6;

fn fleet() -> (Settings, Vec<SlowStart>) {
    let cold = |at: u32| {
        let mut cold = SlowStart::default();
        cold.start(Time(0), Time(0), f64::from(at) / 100.0);
        cold
    };
    (settings(), (0..100).map(cold).collect())
}

/// Sends until `end` of which each is wanted by one router in turn, `a_second` of them by all, each answered after
/// 80 ms, in good time for as long as there are no more than `able` a second.
fn sent(a_second: i64, able: i64, end: Time) -> (i64, i64) {
    let (settings, mut fleet) = fleet();
    let (mut sent, mut wanted, mut out) = (0, 0, Vec::new());
    let mut now = Time(0);
    while now < end {
        let back = out.iter().filter(|(at, _)| now - *at >= Span::millis(80)).count();
        for (_, at) in out.drain(..back) {
            let crowd = sent * 1_000_000 > able * now.0.max(1_000_000);
            if !crowd {
                let cold: &mut SlowStart = &mut fleet[at];
                cold.record_timely_answer();
            }
        }
        let at = (wanted * 37 % 100) as usize;
        wanted += 1;
        if fleet[at].has_credit(now, USUAL, &settings) {
            fleet[at].record_send(now, USUAL, &settings);
            out.push((now, at));
            sent += 1;
        }
        now = now + Span(1_000_000 / a_second);
    }
    (sent, wanted)
}

#[test]
fn what_is_answered_in_good_time_lets_a_small_share_serve_all_that_is_wanted() {
    // A member that can do 100 a second from the start, and 60 are wanted.
    let (before, wanted) = sent(60, 100, Time(3_000_000));
    let (all, all_wanted) = sent(60, 100, Time(9_000_000));
    assert!((all - before) * 10 >= (all_wanted - wanted) * 9, "{before} of {wanted}, {all} of {all_wanted}");
    // The shares alone do not.
    let (shares, _) = sent(60, 0, Time(9_000_000));
    assert!(shares * 4 < all_wanted * 3, "{shares} of {all_wanted}");
}

#[test]
fn a_member_that_no_longer_answers_in_good_time_is_sent_the_shares_alone() {
    // It can do 5 a second; 200 are wanted. The shares of all are 3 x 0.2 x 20 a second at first, 3 x 0.36 x 20 after 2 s,
    // and half a send each at the start.
    let (sent, _) = sent(200, 5, Time(2_000_000));
    assert!(sent <= 50 + 2 * 22 + 10, "{sent}");
}

#[test]
fn nothing_much_is_saved_up() {
    let (settings, mut fleet) = fleet();
    let cold = &mut fleet[0];
    (0..50).for_each(|_| cold.record_timely_answer());
    assert!(cold.credit(Time(0), USUAL, &settings) < 1.1);
    cold.record_send(Time(0), USUAL, &settings);
    assert!(!cold.has_credit(Time(0), USUAL, &settings));
}
