//! The budget of a member in slow start.

mod common;

use common::settings;
use linnetdeal_core::{Settings, SlowStart, Span, Time};

/// The usual rate of a member per router, in requests per microsecond, where each of a hundred routers sends it 0.2
/// per second.
const USUAL_RATE: f64 = 0.2 / 1e6;

fn fleet() -> (Settings, Vec<SlowStart>) {
    let slow_start = |index: u32| {
        let mut cold = SlowStart::default();
        cold.start(Time(0), Time(0), f64::from(index) / 100.0);
        cold
    };
    (settings(), (0..100).map(slow_start).collect())
}

/// Simulates `offered_per_s` requests per second until `end`, spread over the routers. Each is answered after 80 ms,
/// in good time while the member is sent no more than `capacity_per_s`. Returns the numbers of requests sent and
/// offered.
fn simulate(offered_per_s: i64, capacity_per_s: i64, end: Time) -> (i64, i64) {
    let (settings, mut fleet) = fleet();
    let (mut sent, mut offered, mut in_flight) = (0, 0, Vec::new());
    let mut now = Time(0);
    while now < end {
        let answered = in_flight.iter().filter(|(sent_at, _)| now - *sent_at >= Span::millis(80)).count();
        for (_, router) in in_flight.drain(..answered) {
            let overloaded = sent * 1_000_000 > capacity_per_s * now.0.max(1_000_000);
            if !overloaded {
                let cold: &mut SlowStart = &mut fleet[router];
                cold.record_timely_answer();
            }
        }
        let router = (offered * 37 % 100) as usize;
        offered += 1;
        if fleet[router].has_credit(now, USUAL_RATE, &settings) {
            fleet[router].record_send(now, USUAL_RATE, &settings);
            in_flight.push((now, router));
            sent += 1;
        }
        now = now + Span(1_000_000 / offered_per_s);
    }
    (sent, offered)
}

#[test]
fn timely_answers_let_small_shares_serve_all_offered_requests() {
    // The member can do 100 requests per second from the start, and 60 are offered.
    let (before, offered) = simulate(60, 100, Time(3_000_000));
    let (total, total_offered) = simulate(60, 100, Time(9_000_000));
    assert!(
        (total - before) * 10 >= (total_offered - offered) * 9,
        "{before} of {offered}, {total} of {total_offered}"
    );
    // Without timely answers the shares alone are not enough.
    let (shares, _) = simulate(60, 0, Time(9_000_000));
    assert!(shares * 4 < total_offered * 3, "{shares} of {total_offered}");
}

#[test]
fn a_member_that_answers_late_is_sent_the_shares_only() {
    // It can do 5 requests per second and 200 are offered. The shares of all routers are 3 x 0.2 x 20 per second at
    // first and 3 x 0.36 x 20 after 2 s, plus half a send per router at the start.
    let (sent, _) = simulate(200, 5, Time(2_000_000));
    assert!(sent <= 50 + 2 * 22 + 10, "{sent}");
}

#[test]
fn unused_credit_is_limited() {
    let (settings, mut fleet) = fleet();
    let cold = &mut fleet[0];
    (0..50).for_each(|_| cold.record_timely_answer());
    assert!(cold.credit(Time(0), USUAL_RATE, &settings) < 1.1);
    cold.record_send(Time(0), USUAL_RATE, &settings);
    assert!(!cold.has_credit(Time(0), USUAL_RATE, &settings));
}
