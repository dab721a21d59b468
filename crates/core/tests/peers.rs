//! What poolers tell each other, and what they make of it.

mod common;

use common::*;
use linnetdeal_core::peers::{Gossip, MAX_DATAGRAM_LEN, MAX_OBSERVATIONS, Observation, To};
use linnetdeal_core::*;
use proptest::prelude::*;

fn talk() -> Settings {
    Settings { peers: true, fleet: 100, rank: 3, peer_price: 0.016, ..settings() }
}

fn peers(rank: u32) -> Gossip {
    let mut peers = Gossip::new(u64::from(rank) + 1, &Settings { rank, ..talk() });
    (0..60).for_each(|at| peers.add_member(&member(at)));
    peers
}

fn told(peers: &mut Gossip, now: Time) -> Vec<(To, Vec<u8>)> {
    let mut actions = Vec::new();
    peers.send_due(now, &mut actions);
    let tell = |action| if let Action::Tell { to, bytes } = action { Some((to, bytes)) } else { None };
    actions.into_iter().filter_map(tell).collect()
}

const NOW: Time = Time(1_800_000_000_000_000);

#[test]
fn a_new_primary_is_told_once_to_all_and_by_nobody_who_heard_it() {
    let (mut one, mut two) = (peers(1), peers(2));
    let group = GroupId(4);
    for peers in [&mut one, &mut two] {
        peers.record_primary(group, &member(7), NOW);
        assert!(told(peers, NOW).is_empty(), "what was so from the start is no news");
    }
    let later = NOW + Span::millis(5_000);
    one.record_primary(group, &member(8), later);
    let out = told(&mut one, later);
    assert!(matches!(&out[..], [(To::All, _)]), "{out:?}");
    one.record_primary(group, &member(8), later + Span::millis(50));
    assert!(told(&mut one, later + Span::millis(50)).is_empty());

    let facts = two.receive(later + Span::millis(30), 1, &out[0].1);
    assert_eq!(facts, [Observation::Primary { member: member(8), at: later }]);
    two.record_primary(group, &member(8), later);
    two.suppress_announcement(&member(8));
    assert!(told(&mut two, later + Span::millis(30)).is_empty(), "it is not told on and on");
}

#[test]
fn what_is_told_is_paid_by_requests() {
    let mut one = peers(1);
    let (mut bytes, mut now) = (0, NOW);
    for _ in 0..2_000 {
        one.credit_request();
        one.record_answer(&member(5), true, 4.0);
        one.record_answer(&member(6), false, 0.5);
        now = now + Span::millis(70);
        bytes += told(&mut one, now).iter().map(|(_, bytes)| bytes.len()).sum::<usize>();
    }
    // 0.4% of G at 1.6% for 256 bytes a request: 64 bytes a request.
    assert!((100_000..=2_000 * 64).contains(&bytes), "{bytes}");

    // Another primary at every turn: no more than the allowance and what may be overdrawn.
    let mut bytes = 0;
    for turn in 0..5_000 {
        now = now + Span::millis(1);
        one.record_primary(GroupId(1), &member(turn % 50), now);
        let all = told(&mut one, now).into_iter().filter(|(to, _)| *to == To::All);
        bytes += all.map(|(_, bytes)| 99 * bytes.len()).sum::<usize>();
    }
    assert!(bytes <= 3 * 256 * 100 + 25_600, "{bytes}");
}

fn datagram() -> Vec<u8> {
    let mut one = peers(1);
    (0..200).for_each(|_| one.credit_request());
    one.record_answer(&member(5), true, 4.0);
    one.record_answer(&member(5), false, 1.0);
    told(&mut one, NOW).remove(0).1
}

#[test]
fn what_was_seen_comes_through_and_counts_once() {
    let mut two = peers(2);
    let heard = two.receive(NOW, 1, &datagram());
    let [Observation::Answers { member: of, answers: 2, late: 1, pace }] = &heard[..] else {
        panic!("{heard:?}")
    };
    assert!(*of == member(5) && (pace - 2.5).abs() < 0.06, "{pace}");
    assert!(two.receive(NOW, 1, &datagram()).is_empty(), "the same again");
    assert!(peers(2).receive(NOW, 2, &datagram()).is_empty(), "from itself");
    assert!(peers(2).receive(NOW, 100, &datagram()).is_empty(), "from a number that nobody has");
    assert!(peers(2).receive(NOW + Span::millis(6_000), 1, &datagram()).is_empty(), "long ago");
    assert!(peers(2).receive(NOW - Span::millis(2_000), 1, &datagram()).is_empty(), "from the future");
    let other = Settings { classes: vec![class("else", Need::Any, Effect::Safe)], ..talk() };
    assert!(Gossip::new(2, &other).receive(NOW, 1, &datagram()).is_empty(), "another site's");
    let stranger = Gossip::new(2, &talk()).receive(NOW, 1, &datagram());
    assert!(stranger.is_empty(), "of a member that is not on the own list");
}

#[test]
fn the_slowest_are_told_where_not_all_fit_and_shares_are_kept() {
    let mut one = peers(1);
    (0..29).for_each(|at| one.record_answer(&member(59), at < 10, 60.0));
    (0..500).for_each(|_| one.credit_request());
    (0..60).for_each(|at| one.record_answer(&member(at), false, at as f64 + 1.0));
    let out = told(&mut one, NOW).remove(0).1;
    assert!(out.len() <= MAX_DATAGRAM_LEN);
    let heard = peers(2).receive(NOW, 1, &out);
    assert_eq!(heard.len(), MAX_OBSERVATIONS);
    let shares = |fact: &Observation| matches!(fact, Observation::Answers { member: of, answers: 15, late: 5, .. } if *of == member(59));
    assert!(heard.iter().any(shares), "{heard:?}");
}

/// A router of the fleet with three members that check what they are sent.
fn host(settings: Settings) -> Host {
    Host::new(Settings { rank: 2, ..settings }, 3)
}

/// What a pooler says to whom the primary has just changed.
fn changed(now: Time, to: usize) -> Vec<u8> {
    let mut one = peers(1);
    one.record_primary(entry(1).group, &member(1), now - Span::millis(10));
    one.record_primary(entry(1).group, &member(to), now);
    told(&mut one, now).remove(0).1
}

#[test]
fn a_router_that_is_told_of_a_primary_sends_its_write_there_if_members_check() {
    let mut without = host(talk());
    assert_eq!(sends(&without.request(UNSAFE).1), [member(1)]);
    let mut with = host(talk());
    let bytes = changed(with.now, 3);
    let actions = with.handle(Event::Told { from: 1, bytes: bytes.clone() });
    assert!(!actions.iter().any(|action| matches!(action, Action::Tell { .. })), "it is known to all");
    assert_eq!(sends(&with.request(UNSAFE).1), [member(3)]);
    // Where they don't, a read that must be current would go to whom hearsay names.
    let mut unchecked = host(Settings { checks: Checks::None, ..talk() });
    unchecked.handle(Event::Told { from: 1, bytes });
    assert!(sends(&unchecked.request(FRESH).1).is_empty());
}

#[test]
fn what_was_so_long_ago_is_not_told_as_newer() {
    let mut one = peers(1);
    one.record_primary(GroupId(4), &member(7), NOW - Span::millis(90_000));
    one.record_primary(GroupId(4), &member(8), NOW - Span::millis(80_000));
    assert!(told(&mut one, NOW).is_empty());
}

#[test]
fn a_member_that_others_found_slow_loses_its_reads() {
    let share = |told: bool| {
        let mut host = host(talk());
        for from in (10..40).filter(|_| told) {
            let mut other = peers(from);
            (0..200).for_each(|_| other.credit_request());
            (0..3).for_each(|_| other.record_answer(&member(2), true, 6.0));
            (0..3).for_each(|_| other.record_answer(&member(3), false, 0.8));
            let bytes = self::told(&mut other, host.now).remove(0).1;
            host.handle(Event::Told { from, bytes });
        }
        let mut slow = 0;
        for _ in 0..200 {
            host.now = host.now + Span::millis(20);
            let (id, actions) = host.request(ANY);
            host.handle(Event::Gone(id));
            for at in (1..=3).filter(|at| sends(&actions).contains(&member(*at))) {
                slow += usize::from(at == 2);
                host.end_attempt(id, 0, at, Verdict::Moot);
            }
        }
        slow
    };
    let (with, without) = (share(true), share(false));
    assert!(with * 4 < without, "{with} of 200 with, {without} without");
}

proptest! {
    #[test]
    fn a_datagram_that_was_cut_or_altered_changes_nothing(at in 0_usize..40, bit in 0_u32..8, cut in 0_usize..40) {
        let whole = datagram();
        let mut altered = whole.clone();
        let place = at % whole.len();
        altered[place] ^= 1 << bit;
        prop_assert!(peers(2).receive(NOW, 1, &altered).is_empty());
        let short = &whole[..cut % whole.len()];
        prop_assert!(peers(2).receive(NOW, 1, short).is_empty());
        let mut longer = whole.clone();
        longer.extend_from_slice(short);
        prop_assert!(short.is_empty() || peers(2).receive(NOW, 1, &longer).is_empty());
    }

    #[test]
    fn any_bytes_may_come(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(peers(2).receive(NOW, 1, &bytes).is_empty());
    }
}

#[test]
fn nobody_is_told_anything_once_the_settings_forbid_it() {
    for allowed in [true, false] {
        let mut host = Host::new(talk(), 3);
        host.probe_result(1, true, 0);
        host.router.update_settings(Settings { peers: allowed, ..talk() });
        host.now = host.now + Span::millis(2_000);
        let actions = host.probe_result(2, true, 0);
        let tells = actions.iter().filter(|action| matches!(action, Action::Tell { .. })).count();
        assert_eq!(tells > 0, allowed, "{actions:?}");
    }
}
