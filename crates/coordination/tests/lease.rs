//! Tests of votes, claims and datagrams of leases, each with a clock of its own.

use linnetdeal_coordination::lease::*;
use linnetdeal_core::peers::To;
use linnetdeal_core::{Span, Time};
use proptest::prelude::*;
use std::collections::BTreeSet;

const TERM: Span = Span::millis(1_000);
const TASK: TaskId = TaskId(7);

fn instance(number: u16) -> PoolerInstance {
    PoolerInstance { number, incarnation: u64::from(number) + 100 }
}

fn at(ms: i64) -> Time {
    Time(ms * 1_000)
}

fn voter() -> Voter<FullLeaseRules> {
    let voter = Voter::new(at(-1_000), TERM, 0);
    assert_eq!(
        voter.query(at(0), TASK, instance(1)).unwrap().floor,
        Token(1_000),
        "what its clock will show when it votes"
    );
    voter
}

fn key(text: &str) -> Key {
    Key::new(text.as_bytes()).unwrap()
}

#[test]
fn a_voter_grants_one_and_remembers_what_it_granted() {
    let mut voter = voter();
    assert!(voter.query(at(-1), TASK, instance(1)).is_none(), "silent for the longest term");
    assert!(voter.claim(at(-1), TASK, instance(1), Token(1_011), TERM, 1).is_none());
    let mut claim = |ms, number, token, claim| {
        voter.claim(at(ms), TASK, instance(number), Token(token), TERM, claim).unwrap().granted
    };
    assert!(!claim(0, 1, 1_000, 1), "not above the floor");
    assert!(claim(0, 1, 1_001, 2));
    assert!(!claim(999, 2, 1_002, 1), "another grant is running");
    assert!(claim(500, 1, 1_001, 2), "a repeated claim is granted and not extended");
    assert!(!claim(999, 2, 1_002, 1));
    assert!(claim(999, 1, 1_001, 3), "renewed");
    assert!(claim(1_500, 1, 1_001, 2), "an older claim that arrives late extends nothing");
    assert!(!claim(1_998, 2, 1_002, 2));
    assert!(!claim(1_999, 1, 1_001, 4), "the grant has ended: a late renewal needs a new token");
    assert!(!claim(1_999, 2, 1_001, 3));
    assert!(claim(1_999, 2, 1_002, 4));
}

#[test]
fn a_release_is_final_in_any_order_of_datagrams() {
    let mut voter = voter();
    assert!(voter.claim(at(0), TASK, instance(1), Token(1_020), TERM, 1).unwrap().granted);
    voter.release(at(10), TASK, instance(2), Token(1_020), None);
    assert!(!voter.query(at(11), TASK, instance(2)).unwrap().granted, "only the holder can release it");
    voter.release(at(20), TASK, instance(1), Token(1_020), Some((3, TERM)));
    assert!(
        !voter.claim(at(30), TASK, instance(1), Token(1_020), TERM, 2).unwrap().granted,
        "a renewal that was in flight"
    );
    let kept = voter.claim(at(40), TASK, instance(2), Token(1_021), TERM, 1).unwrap();
    assert_eq!(kept.holder.map(|holder| holder.instance.number), Some(3), "kept for the successor");
    assert!(voter.claim(at(50), TASK, instance(3), Token(1_021), TERM, 1).unwrap().granted);
    // This successor is dead: others wait for half a term.
    voter.release(at(60), TASK, instance(3), Token(1_021), Some((4, TERM)));
    assert!(!voter.query(at(559), TASK, instance(2)).unwrap().granted);
    assert!(voter.query(at(560), TASK, instance(2)).unwrap().granted);
    // A rejected claimant releases its token, which raises the floor; the winner can still renew.
    voter.release(at(570), TASK, instance(2), Token(1_040), None);
    assert!(voter.claim(at(570), TASK, instance(5), Token(1_041), TERM, 1).unwrap().granted);
    voter.release(at(580), TASK, instance(2), Token(1_050), None);
    assert!(voter.claim(at(590), TASK, instance(5), Token(1_041), TERM, 2).unwrap().granted);
    assert!(!voter.query(at(1_589), TASK, instance(2)).unwrap().granted);
    // A voter that never saw the claim learns from the release that the token is used up.
    let mut other = self::voter();
    other.release(at(0), TASK, instance(1), Token(1_030), None);
    assert!(!other.claim(at(1), TASK, instance(1), Token(1_030), TERM, 9).unwrap().granted);
}

#[test]
fn a_full_memory_forgets_no_token_and_no_running_grant() {
    let mut voter = voter();
    for task in 0..MAX_TASKS as u32 {
        let token = Token(2_000 + u64::from(task));
        assert!(voter.claim(at(i64::from(task)), TaskId(task), instance(1), token, TERM, 1).unwrap().granted);
    }
    let more = TaskId(5_000);
    assert!(
        !voter.claim(at(100), more, instance(1), Token(9_000), TERM, 1).unwrap().granted,
        "all tasks have holders"
    );
    voter.observe_token(at(100), more, Token(8_000));
    assert!(!voter.claim(at(1_000), more, instance(1), Token(8_000), TERM, 2).unwrap().granted);
    assert!(
        voter.claim(at(1_000), more, instance(1), Token(8_001), TERM, 3).unwrap().granted,
        "the first grant has ended"
    );
    assert!(
        !voter.claim(at(1_001), TaskId(0), instance(1), Token(2_000), TERM, 9).unwrap().granted,
        "the task was forgotten, its token was not"
    );
}

#[test]
fn the_term_starts_before_the_claim_and_is_shortened_by_drift() {
    let voter_set = VoterSet::new([0, 1, 2].into(), Vec::new());
    let yes = Answer { granted: true, floor: Token(4), holder: None };
    let no = Answer { granted: false, floor: Token(9), holder: None };
    // With a drift of 50 parts per thousand the holder may use 904 of 1000 ms.
    let mut claimant = Claimant::<FullLeaseRules>::new(instance(1), TERM, 50);
    claimant.query(at(0), 1);
    assert_eq!(claimant.answer(at(1), &voter_set, 0, 1, yes), Step::Wait);
    assert_eq!(claimant.answer(at(1), &voter_set, 0, 1, yes), Step::Wait, "one voter counts once");
    assert_eq!(claimant.answer(at(2), &voter_set, 1, 1, yes), Step::Claim(Token(4)));
    assert_eq!(claimant.claim(at(10), 2, Token(4)), Token(5));
    assert_eq!(claimant.answer(at(20), &voter_set, 2, 1, yes), Step::Wait, "an answer to the previous round");
    assert_eq!(claimant.answer(at(20), &voter_set, 0, 2, yes), Step::Wait);
    assert_eq!(claimant.answer(at(700), &voter_set, 2, 2, yes), Step::Held(Token(5)));
    assert_eq!(claimant.holds(at(913)), Some(Token(5)));
    assert_eq!(claimant.holds(at(915)), None, "the term has ended, though the answer came at 700");
    // A renewal that is answered after the term has ended restores nothing.
    assert_eq!(claimant.renew(at(900), 9), Some(Token(5)));
    assert_eq!(claimant.answer(at(1_900), &voter_set, 0, 9, yes), Step::Wait);
    assert_eq!(claimant.answer(at(1_900), &voter_set, 1, 9, yes), Step::Wait);
    assert_eq!(claimant.holds(at(1_900)), None);
    // Answers that arrive after the term.
    assert_eq!(claimant.claim(at(2_000), 3, Token(4)), Token(6), "no token is claimed twice");
    claimant.answer(at(2_001), &voter_set, 0, 3, yes);
    assert_eq!(claimant.answer(at(2_950), &voter_set, 1, 3, yes), Step::Rejected(Token(6)));
    assert_eq!(claimant.holds(at(2_950)), None);
    // Two of three refuse.
    assert_eq!(claimant.claim(at(3_000), 4, Token(6)), Token(7));
    claimant.answer(at(3_001), &voter_set, 0, 4, no);
    assert_eq!(claimant.answer(at(3_001), &voter_set, 1, 4, no), Step::Rejected(Token(7)));
}

#[test]
fn with_one_voter_replaced_a_majority_of_both_sets_is_needed() {
    let set = |of: &[u16]| of.iter().copied().collect::<BTreeSet<u16>>();
    let (old, new) = (set(&[0, 1, 2]), set(&[0, 1, 3]));
    let simple = VoterSet::new(new.clone(), Vec::new());
    // The case that a simple majority gets wrong: with the old set, voters 0 and 2 decide as well.
    assert!(
        simple.is_quorum::<FullLeaseRules>(&set(&[1, 3]))
            && VoterSet::new(old.clone(), Vec::new()).is_quorum::<FullLeaseRules>(&set(&[0, 2]))
    );
    let joint = VoterSet::new(new, vec![old]);
    assert!(
        !joint.is_quorum::<FullLeaseRules>(&set(&[1, 3])) && joint.is_quorum::<FullLeaseRules>(&set(&[0, 1]))
    );
    assert!(
        joint.can_reach_quorum_without::<FullLeaseRules>(&set(&[3]))
            && !joint.can_reach_quorum_without::<FullLeaseRules>(&set(&[0, 2]))
    );
    assert_eq!(joint.all_voters(), set(&[0, 1, 2, 3]));
}

fn setup(number: u16, wanted: bool) -> LeaseSetup {
    LeaseSetup {
        me: instance(number),
        seed: 5,
        site: "here".into(),
        version: 3,
        voters: [0, 1, 2].into(),
        previous: Vec::new(),
        drift: 50,
        max_term: TERM,
        keys: vec![key("a key of an installation")],
        tasks: vec![TaskSetup { name: "sweep".into(), term: TERM, wanted }],
        wall_ms: 1,
    }
}

/// The first datagram that a node sends to `to` until the time `until`.
fn first_datagram(node: &mut Node<FullLeaseRules>, to: u16, until: Time) -> Vec<u8> {
    while node.due() <= until {
        node.tick(node.due());
        if let Some((_, bytes)) =
            node.take_datagrams().into_iter().find(|(to_pooler, _)| *to_pooler == To::One(to.into()))
        {
            return bytes;
        }
    }
    panic!("nothing was sent");
}

#[test]
fn a_datagram_is_accepted_once_unaltered_and_from_its_sender_only() {
    let mut node = Node::<FullLeaseRules>::new(at(-1_000), setup(0, false));
    let mut sender = Node::<FullLeaseRules>::new(at(-1_000), setup(1, true));
    let datagram = first_datagram(&mut sender, 0, at(60_000));
    for bit in 0..datagram.len() * 8 {
        let mut bad = datagram.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(
            matches!(
                node.receive(at(bit as i64 * 10 - 20_000), 1, &bad),
                Err(DatagramError::BadSignature | DatagramError::Malformed)
            ),
            "bit {bit}"
        );
    }
    assert_eq!(node.receive(at(1_000), 2, &datagram), Err(DatagramError::SenderMismatch));
    assert_eq!(node.receive(at(1_000), 1, &datagram[..datagram.len() - 1]), Err(DatagramError::BadSignature));
    assert_eq!(node.receive(at(1_000), 1, &datagram), Ok(()));
    assert_eq!(node.receive(at(1_001), 1, &datagram), Err(DatagramError::Replayed));
    for (change, refused) in [
        (
            &(|of: &mut LeaseSetup| of.version = 4) as &dyn Fn(&mut LeaseSetup),
            DatagramError::VersionMismatch(3),
        ),
        (&|of| of.site = "there".into(), DatagramError::SiteMismatch),
        (&|of| of.drift = 10, DatagramError::SiteMismatch),
        (&|of| of.keys = vec![key("another installation")], DatagramError::BadSignature),
    ] {
        let mut different = setup(0, false);
        change(&mut different);
        let mut other = Node::<FullLeaseRules>::new(at(-1_000), different);
        assert_eq!(other.receive(at(0), 1, &datagram), Err(refused));
        assert_eq!(other.take_events().len(), 1, "{refused}");
    }
    // During a change of keys both are accepted.
    let mut both = setup(0, false);
    both.keys = vec![key("the key that comes"), key("a key of an installation")];
    assert_eq!(Node::<FullLeaseRules>::new(at(-1_000), both).receive(at(0), 1, &datagram), Ok(()));
    // A sender that sends without end is rate-limited.
    let limited = (0..1_000)
        .filter(|_| node.receive(at(1_002), 1, &datagram) == Err(DatagramError::RateLimited))
        .count();
    assert!(limited > 700, "{limited}");
}

#[test]
fn a_grant_to_an_earlier_incarnation_does_not_count() {
    let key = key("a key of an installation");
    let mut node = Node::<FullLeaseRules>::new(at(0), setup(9, true));
    let site = decode(&first_datagram(&mut node, 1, at(60_000)), std::slice::from_ref(&key)).unwrap().site;
    let task = TaskId::of("sweep");
    // Answers to the rounds that this incarnation may have started, as two voters would send them to its
    // predecessor.
    let mut number = 0;
    for (incarnation, held) in [(instance(9).incarnation + 1, false), (instance(9).incarnation, true)] {
        for round in 0..10 {
            for voter in [1, 2] {
                let answer = Answer { granted: true, floor: Token(4), holder: None };
                let no_holders = Body::HeldTasks { round, more: false, tasks: Vec::new() };
                for body in [no_holders, Body::Answer { task, round, incarnation, answer }] {
                    number += 1;
                    let datagram = Datagram { site, version: 3, sender: instance(voter), number, body };
                    node.receive(at(61_000 + number as i64 * 10), voter, &encode(&datagram, &key)).unwrap();
                }
            }
        }
        assert_eq!(node.take_events().iter().any(|event| matches!(event, LeaseEvent::Gained(..))), held);
    }
}

#[test]
fn a_voters_silence_starts_when_it_opens_its_address() {
    let mut node = Node::<FullLeaseRules>::new(at(0), setup(0, false));
    assert!(node.is_silent(at(999)) && !node.is_silent(at(1_000)));
    // The previous process may have granted something until then.
    node.socket_opened(at(5_000), 1);
    assert!(node.is_silent(at(5_999)) && !node.is_silent(at(6_000)));
}

#[test]
fn a_leaving_pooler_ignores_offers() {
    let key = key("a key of an installation");
    for leaving in [false, true] {
        let mut node = Node::<FullLeaseRules>::new(at(0), setup(9, true));
        let site =
            decode(&first_datagram(&mut node, 1, at(60_000)), std::slice::from_ref(&key)).unwrap().site;
        if leaving {
            node.leave(at(60_000), false);
        }
        node.take_datagrams();
        let body = Body::Offer { task: TaskId::of("sweep"), token: Token(3) };
        let datagram = Datagram { site, version: 3, sender: instance(1), number: 1, body };
        node.receive(at(60_001), 1, &encode(&datagram, &key)).unwrap();
        assert_eq!(node.take_datagrams().is_empty(), leaving);
    }
}

#[test]
fn a_voter_with_two_processes_does_not_count() {
    let key = key("a key of an installation");
    for duplicate in [false, true] {
        let mut node = Node::<FullLeaseRules>::new(at(0), setup(9, true));
        let site =
            decode(&first_datagram(&mut node, 1, at(60_000)), std::slice::from_ref(&key)).unwrap().site;
        let task = TaskId::of("sweep");
        let answer = Answer { granted: true, floor: Token(4), holder: None };
        let mut number = 0;
        for round in 0..10 {
            for (voter, incarnation) in [(1, 7), (1, if duplicate { 8 } else { 7 }), (2, 7)] {
                let no_holders = Body::HeldTasks { round, more: false, tasks: Vec::new() };
                for body in
                    [no_holders, Body::Answer { task, round, incarnation: instance(9).incarnation, answer }]
                {
                    number += 1;
                    let datagram = Datagram {
                        site,
                        version: 3,
                        sender: PoolerInstance { number: voter, incarnation },
                        number,
                        body,
                    };
                    node.receive(at(61_000 + number as i64 * 10), voter, &encode(&datagram, &key)).unwrap();
                }
            }
        }
        let events = node.take_events();
        assert_eq!(events.iter().any(|event| matches!(event, LeaseEvent::Gained(..))), !duplicate);
        assert_eq!(events.contains(&LeaseEvent::DuplicateVoter(1)), duplicate);
    }
}

#[test]
fn a_pooler_without_peers_backs_off() {
    let mut node = Node::<FullLeaseRules>::new(at(0), setup(9, true));
    let mut sent = 0;
    while node.due() < at(60_000) {
        node.tick(node.due());
        sent += node.take_datagrams().len();
    }
    assert!((10..120).contains(&sent), "{sent} in a minute of 60 terms");
}

proptest! {
    #[test]
    fn every_datagram_is_short_and_round_trips(
        task: u32, round: u32, token: u64, number in 0u16..300, incarnation: u64, remaining in 0i64..60_000, kind in 0u8..8, some: bool, count in 0usize..12,
    ) {
        let (task, token, remaining) = (TaskId(task), Token(token), Span::millis(remaining));
        let holder = Holder { instance: PoolerInstance { number, incarnation }, token, remaining };
        let body = match kind {
            0 => Body::Query { task, round, known: token },
            1 => Body::Claim { task, round, token, term: remaining },
            2 => Body::Answer { task, round, incarnation, answer: Answer { granted: some, floor: token, holder: some.then_some(holder) } },
            3 => Body::Release { task, token, successor: some.then_some((number, remaining)) },
            4 => Body::ListHeld { round, after: Some(task) },
            5 => Body::HeldTasks { round, more: some, tasks: vec![(task, holder); count.min(Body::MAX_HELD_TASKS)] },
            6 => {
                let position = Position { member: task, position: incarnation as i64, primary: some };
                Body::Positions { task, positions: vec![position; count.min(Body::MAX_POSITIONS)] }
            }
            _ => Body::Offer { task, token },
        };
        let datagram = Datagram { site: 1, version: 2, sender: holder.instance, number: token.0, body };
        let key = key("0123456789abcdef");
        let bytes = encode(&datagram, &key);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(decode(&bytes, &[key]), Ok(datagram));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_reader(bytes in proptest::collection::vec(any::<u8>(), 0..300), from in 0u16..4) {
        let mut node = Node::<FullLeaseRules>::new(at(-1_000), setup(0, true));
        prop_assert!(node.receive(at(0), from, &bytes).is_err());
        // Unexpected contents from a sender that has the key are handled as well.
        let key = key("a key of an installation");
        let datagram = Datagram { site: 0, version: 0, sender: instance(1), number: 1, body: Body::Offer { task: TASK, token: Token(1) } };
        let mut text = encode(&datagram, &key);
        text.truncate(28);
        text.extend(bytes.iter().take(200));
        let text = append_mac(text, &key);
        if let Ok(datagram) = decode(&text, std::slice::from_ref(&key)) {
            prop_assert_eq!(decode(&encode(&datagram, &key), &[key]), Ok(datagram));
        }
    }
}
