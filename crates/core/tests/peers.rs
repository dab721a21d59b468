//! Gossip between poolers, and how the router uses it.

mod common;

use common::*;
use linnetdeal_core::peers::{Gossip, MAX_DATAGRAM_LEN, MAX_OBSERVATIONS, Observation, To};
use linnetdeal_core::*;
use proptest::prelude::*;

fn gossip_settings() -> Settings {
    Settings { peers: true, fleet: 100, rank: 3, peer_price: 0.016, ..settings() }
}

fn peers(rank: u32) -> Gossip {
    let mut peers = Gossip::new(u64::from(rank) + 1, &Settings { rank, ..gossip_settings() });
    (0..60).for_each(|index| peers.add_member(&member(index)));
    peers
}

fn sent(peers: &mut Gossip, now: Time) -> Vec<(To, Vec<u8>)> {
    let mut actions = Vec::new();
    peers.send_due(now, &mut actions);
    let datagram = |action| if let Action::Tell { to, bytes } = action { Some((to, bytes)) } else { None };
    actions.into_iter().filter_map(datagram).collect()
}

const NOW: Time = Time(1_800_000_000_000_000);

#[test]
fn a_new_primary_is_announced_once_to_all_and_not_by_poolers_that_received_it() {
    let (mut one, mut two) = (peers(1), peers(2));
    let group = GroupId(4);
    for peers in [&mut one, &mut two] {
        peers.record_primary(group, &member(7), NOW);
        assert!(sent(peers, NOW).is_empty(), "the first known primary is not announced");
    }
    let later = NOW + Span::millis(5_000);
    one.record_primary(group, &member(8), later);
    let datagrams = sent(&mut one, later);
    assert!(matches!(&datagrams[..], [(To::All, _)]), "{datagrams:?}");
    one.record_primary(group, &member(8), later + Span::millis(50));
    assert!(sent(&mut one, later + Span::millis(50)).is_empty());

    let observations = two.receive(later + Span::millis(30), 1, &datagrams[0].1);
    assert_eq!(observations, [Observation::Primary { member: member(8), at: later }]);
    two.record_primary(group, &member(8), later);
    two.suppress_announcement(&member(8));
    assert!(sent(&mut two, later + Span::millis(30)).is_empty(), "a received announcement is not repeated");
}

#[test]
fn messages_stay_within_the_budget_earned_by_requests() {
    let mut one = peers(1);
    let (mut bytes, mut now) = (0, NOW);
    for _ in 0..2_000 {
        one.credit_request();
        one.record_answer(&member(5), true, 4.0);
        one.record_answer(&member(6), false, 0.5);
        now = now + Span::millis(70);
        bytes += sent(&mut one, now).iter().map(|(_, bytes)| bytes.len()).sum::<usize>();
    }
    // 0.4% of G at a price of 1.6% for 256 bytes per request allows 64 bytes per request.
    assert!((100_000..=2_000 * 64).contains(&bytes), "{bytes}");

    // A change of primary in every round: no more is sent than the budget and its permitted overdraft.
    let mut bytes = 0;
    for round in 0..5_000 {
        now = now + Span::millis(1);
        one.record_primary(GroupId(1), &member(round % 50), now);
        let all = sent(&mut one, now).into_iter().filter(|(to, _)| *to == To::All);
        bytes += all.map(|(_, bytes)| 99 * bytes.len()).sum::<usize>();
    }
    assert!(bytes <= 3 * 256 * 100 + 25_600, "{bytes}");
}

fn datagram() -> Vec<u8> {
    let mut one = peers(1);
    (0..200).for_each(|_| one.credit_request());
    one.record_answer(&member(5), true, 4.0);
    one.record_answer(&member(5), false, 1.0);
    sent(&mut one, NOW).remove(0).1
}

#[test]
fn answer_statistics_are_received_and_count_once() {
    let mut two = peers(2);
    let received = two.receive(NOW, 1, &datagram());
    let [Observation::Answers { member: observed, answers: 2, late: 1, latency_ratio }] = &received[..]
    else {
        panic!("{received:?}")
    };
    assert!(*observed == member(5) && (latency_ratio - 2.5).abs() < 0.06, "{latency_ratio}");
    assert!(two.receive(NOW, 1, &datagram()).is_empty(), "a duplicate");
    assert!(peers(2).receive(NOW, 2, &datagram()).is_empty(), "from itself");
    assert!(peers(2).receive(NOW, 100, &datagram()).is_empty(), "from a number outside of the fleet");
    assert!(peers(2).receive(NOW + Span::millis(6_000), 1, &datagram()).is_empty(), "too old");
    assert!(peers(2).receive(NOW - Span::millis(2_000), 1, &datagram()).is_empty(), "from the future");
    let other = Settings { classes: vec![class("else", Need::Any, Effect::Safe)], ..gossip_settings() };
    assert!(Gossip::new(2, &other).receive(NOW, 1, &datagram()).is_empty(), "from another site");
    let unknown = Gossip::new(2, &gossip_settings()).receive(NOW, 1, &datagram());
    assert!(unknown.is_empty(), "a member that is not on the receiver's list");
}

#[test]
fn the_slowest_members_are_sent_where_not_all_fit_and_late_shares_are_kept() {
    let mut one = peers(1);
    (0..29).for_each(|at| one.record_answer(&member(59), at < 10, 60.0));
    (0..500).for_each(|_| one.credit_request());
    (0..60).for_each(|at| one.record_answer(&member(at), false, at as f64 + 1.0));
    let bytes = sent(&mut one, NOW).remove(0).1;
    assert!(bytes.len() <= MAX_DATAGRAM_LEN);
    let received = peers(2).receive(NOW, 1, &bytes);
    assert_eq!(received.len(), MAX_OBSERVATIONS);
    let late_share_kept = |observation: &Observation| matches!(observation, Observation::Answers { member: observed, answers: 15, late: 5, .. } if *observed == member(59));
    assert!(received.iter().any(late_share_kept), "{received:?}");
}

/// A router of the fleet with three members that reject reads for which they are too far behind.
fn host(settings: Settings) -> Host {
    Host::new(Settings { rank: 2, ..settings }, 3)
}

/// The announcement of a pooler that has just seen the primary change to `to`.
fn changed(now: Time, to: usize) -> Vec<u8> {
    let mut one = peers(1);
    one.record_primary(entry(1).group, &member(1), now - Span::millis(10));
    one.record_primary(entry(1).group, &member(to), now);
    sent(&mut one, now).remove(0).1
}

#[test]
fn an_announced_primary_receives_writes_if_members_check_requests() {
    let mut without = host(gossip_settings());
    assert_eq!(sends(&without.request(UNSAFE).1), [member(1)]);
    let mut with = host(gossip_settings());
    let bytes = changed(with.now, 3);
    let actions = with.handle(Event::Told { from: 1, bytes: bytes.clone() });
    assert!(
        !actions.iter().any(|action| matches!(action, Action::Tell { .. })),
        "all poolers know it already"
    );
    assert_eq!(sends(&with.request(UNSAFE).1), [member(3)]);
    // Otherwise a read that must be current would go to a member that is only reported to be the primary.
    let mut unchecked = host(Settings { checks: Checks::None, ..gossip_settings() });
    unchecked.handle(Event::Told { from: 1, bytes });
    assert!(sends(&unchecked.request(FRESH).1).is_empty());
}

#[test]
fn an_old_change_of_primary_is_not_announced_as_a_recent_one() {
    let mut one = peers(1);
    one.record_primary(GroupId(4), &member(7), NOW - Span::millis(90_000));
    one.record_primary(GroupId(4), &member(8), NOW - Span::millis(80_000));
    assert!(sent(&mut one, NOW).is_empty());
}

#[test]
fn a_member_that_other_poolers_found_slow_receives_fewer_reads() {
    let share = |informed: bool| {
        let mut host = host(gossip_settings());
        for from in (10..40).filter(|_| informed) {
            let mut other = peers(from);
            (0..200).for_each(|_| other.credit_request());
            (0..3).for_each(|_| other.record_answer(&member(2), true, 6.0));
            (0..3).for_each(|_| other.record_answer(&member(3), false, 0.8));
            let bytes = self::sent(&mut other, host.now).remove(0).1;
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
    fn a_truncated_or_altered_datagram_is_ignored(at in 0_usize..40, bit in 0_u32..8, cut in 0_usize..40) {
        let original = datagram();
        let mut altered = original.clone();
        let index = at % original.len();
        altered[index] ^= 1 << bit;
        prop_assert!(peers(2).receive(NOW, 1, &altered).is_empty());
        let truncated = &original[..cut % original.len()];
        prop_assert!(peers(2).receive(NOW, 1, truncated).is_empty());
        let mut longer = original.clone();
        longer.extend_from_slice(truncated);
        prop_assert!(truncated.is_empty() || peers(2).receive(NOW, 1, &longer).is_empty());
    }

    #[test]
    fn arbitrary_bytes_are_ignored(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(peers(2).receive(NOW, 1, &bytes).is_empty());
    }
}

#[test]
fn nothing_is_sent_once_the_settings_disable_messages() {
    for allowed in [true, false] {
        let mut host = Host::new(gossip_settings(), 3);
        host.probe_result(1, true, 0);
        host.router.update_settings(Settings { peers: allowed, ..gossip_settings() });
        host.now = host.now + Span::millis(2_000);
        let actions = host.probe_result(2, true, 0);
        let messages = actions.iter().filter(|action| matches!(action, Action::Tell { .. })).count();
        assert_eq!(messages > 0, allowed, "{actions:?}");
    }
}
