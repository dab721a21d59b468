//! Votes, claims and letters of leases, each case with its own clock.

use linnetdeal_coordination::lease::*;
use linnetdeal_core::peers::To;
use linnetdeal_core::{Span, Time};
use proptest::prelude::*;
use std::collections::BTreeSet;

const TERM: Span = Span::millis(1_000);
const TASK: TaskId = TaskId(7);

fn who(number: u16) -> PoolerInstance {
    PoolerInstance { number, incarnation: u64::from(number) + 100 }
}

fn at(ms: i64) -> Time {
    Time(ms * 1_000)
}

fn voter() -> Voter<FullLeaseRules> {
    let voter = Voter::new(at(-1_000), TERM, 0);
    assert_eq!(
        voter.ask(at(0), TASK, who(1)).unwrap().floor,
        Token(1_000),
        "as its clock will show when it votes"
    );
    voter
}

fn key(text: &str) -> Key {
    Key::new(text.as_bytes()).unwrap()
}

#[test]
fn a_voter_grants_one_and_remembers_what_it_granted() {
    let mut voter = voter();
    assert!(voter.ask(at(-1), TASK, who(1)).is_none(), "silent for the longest term");
    assert!(voter.claim(at(-1), TASK, who(1), Token(1_011), TERM, 1).is_none());
    let mut claim = |ms, number, token, claim| {
        voter.claim(at(ms), TASK, who(number), Token(token), TERM, claim).unwrap().granted
    };
    assert!(!claim(0, 1, 1_000, 1), "no higher than the floor");
    assert!(claim(0, 1, 1_001, 2));
    assert!(!claim(999, 2, 1_002, 1), "somebody else's is running");
    assert!(claim(500, 1, 1_001, 2), "the same claim twice is granted, and no longer than it was");
    assert!(!claim(999, 2, 1_002, 1));
    assert!(claim(999, 1, 1_001, 3), "renewed");
    assert!(claim(1_500, 1, 1_001, 2), "one that comes late extends nothing");
    assert!(!claim(1_998, 2, 1_002, 2));
    assert!(!claim(1_999, 1, 1_001, 4), "over: a renewal that comes late needs a new token");
    assert!(!claim(1_999, 2, 1_001, 3));
    assert!(claim(1_999, 2, 1_002, 4));
}

#[test]
fn a_release_is_final_however_letters_cross() {
    let mut voter = voter();
    assert!(voter.claim(at(0), TASK, who(1), Token(1_020), TERM, 1).unwrap().granted);
    voter.release(at(10), TASK, who(2), Token(1_020), None);
    assert!(!voter.ask(at(11), TASK, who(2)).unwrap().granted, "another's word frees nothing");
    voter.release(at(20), TASK, who(1), Token(1_020), Some((3, TERM)));
    assert!(
        !voter.claim(at(30), TASK, who(1), Token(1_020), TERM, 2).unwrap().granted,
        "a renewal on its way"
    );
    let kept = voter.claim(at(40), TASK, who(2), Token(1_021), TERM, 1).unwrap();
    assert_eq!(kept.holder.map(|holder| holder.instance.number), Some(3), "kept for the heir");
    assert!(voter.claim(at(50), TASK, who(3), Token(1_021), TERM, 1).unwrap().granted);
    // The heir of this one is dead: others wait for half a term.
    voter.release(at(60), TASK, who(3), Token(1_021), Some((4, TERM)));
    assert!(!voter.ask(at(559), TASK, who(2)).unwrap().granted);
    assert!(voter.ask(at(560), TASK, who(2)).unwrap().granted);
    // Who was beaten takes his token back; the floor is higher then, and who beat him renews all the same.
    voter.release(at(570), TASK, who(2), Token(1_040), None);
    assert!(voter.claim(at(570), TASK, who(5), Token(1_041), TERM, 1).unwrap().granted);
    voter.release(at(580), TASK, who(2), Token(1_050), None);
    assert!(voter.claim(at(590), TASK, who(5), Token(1_041), TERM, 2).unwrap().granted);
    assert!(!voter.ask(at(1_589), TASK, who(2)).unwrap().granted);
    // One that never saw the claim still learns from the release that its token is spent.
    let mut other = self::voter();
    other.release(at(0), TASK, who(1), Token(1_030), None);
    assert!(!other.claim(at(1), TASK, who(1), Token(1_030), TERM, 9).unwrap().granted);
}

#[test]
fn a_full_memory_forgets_no_token_and_no_running_grant() {
    let mut voter = voter();
    for task in 0..MOST_TASKS as u32 {
        let token = Token(2_000 + u64::from(task));
        assert!(voter.claim(at(i64::from(task)), TaskId(task), who(1), token, TERM, 1).unwrap().granted);
    }
    let more = TaskId(5_000);
    assert!(!voter.claim(at(100), more, who(1), Token(9_000), TERM, 1).unwrap().granted, "all are running");
    voter.observe_token(at(100), more, Token(8_000));
    assert!(!voter.claim(at(1_000), more, who(1), Token(8_000), TERM, 2).unwrap().granted);
    assert!(
        voter.claim(at(1_000), more, who(1), Token(8_001), TERM, 3).unwrap().granted,
        "the first is over"
    );
    assert!(
        !voter.claim(at(1_001), TaskId(0), who(1), Token(2_000), TERM, 9).unwrap().granted,
        "forgotten, not its token"
    );
}

#[test]
fn the_term_counts_from_before_the_claim_and_less_drift() {
    let council = VoterSet::new([0, 1, 2].into(), Vec::new());
    let yes = Answer { granted: true, floor: Token(4), holder: None };
    let no = Answer { granted: false, floor: Token(9), holder: None };
    // 50 parts in a thousand: 1000 ms are 904 to the holder.
    let mut claimant = Claimant::<FullLeaseRules>::new(who(1), TERM, 50);
    claimant.ask(at(0), 1);
    assert_eq!(claimant.answer(at(1), &council, 0, 1, yes), Step::Wait);
    assert_eq!(claimant.answer(at(1), &council, 0, 1, yes), Step::Wait, "one voter counts once");
    assert_eq!(claimant.answer(at(2), &council, 1, 1, yes), Step::Claim(Token(4)));
    assert_eq!(claimant.claim(at(10), 2, Token(4)), Token(5));
    assert_eq!(claimant.answer(at(20), &council, 2, 1, yes), Step::Wait, "an answer to the round before");
    assert_eq!(claimant.answer(at(20), &council, 0, 2, yes), Step::Wait);
    assert_eq!(claimant.answer(at(700), &council, 2, 2, yes), Step::Held(Token(5)));
    assert_eq!(claimant.holds(at(913)), Some(Token(5)));
    assert_eq!(claimant.holds(at(915)), None, "over, though the answer came at 700");
    // A renewal that is answered after all terms are over brings nothing back.
    assert_eq!(claimant.renew(at(900), 9), Some(Token(5)));
    assert_eq!(claimant.answer(at(1_900), &council, 0, 9, yes), Step::Wait);
    assert_eq!(claimant.answer(at(1_900), &council, 1, 9, yes), Step::Wait);
    assert_eq!(claimant.holds(at(1_900)), None);
    // Answers that come after the term.
    assert_eq!(claimant.claim(at(2_000), 3, Token(4)), Token(6), "none twice, whoever saw the first claim");
    claimant.answer(at(2_001), &council, 0, 3, yes);
    assert_eq!(claimant.answer(at(2_950), &council, 1, 3, yes), Step::Rejected(Token(6)));
    assert_eq!(claimant.holds(at(2_950)), None);
    // Two of three say no.
    assert_eq!(claimant.claim(at(3_000), 4, Token(6)), Token(7));
    claimant.answer(at(3_001), &council, 0, 4, no);
    assert_eq!(claimant.answer(at(3_001), &council, 1, 4, no), Step::Rejected(Token(7)));
}

#[test]
fn with_one_voter_replaced_a_majority_of_both_sets_is_needed() {
    let set = |of: &[u16]| of.iter().copied().collect::<BTreeSet<u16>>();
    let (old, new) = (set(&[0, 1, 2]), set(&[0, 1, 3]));
    let simple = VoterSet::new(new.clone(), Vec::new());
    // The case that a simple majority gets wrong: two processes by the old file decide with 0 and 2.
    assert!(
        simple.decides::<FullLeaseRules>(&set(&[1, 3]))
            && VoterSet::new(old.clone(), Vec::new()).decides::<FullLeaseRules>(&set(&[0, 2]))
    );
    let joint = VoterSet::new(new, vec![old]);
    assert!(
        !joint.decides::<FullLeaseRules>(&set(&[1, 3])) && joint.decides::<FullLeaseRules>(&set(&[0, 1]))
    );
    assert!(
        joint.may_decide_without::<FullLeaseRules>(&set(&[3]))
            && !joint.may_decide_without::<FullLeaseRules>(&set(&[0, 2]))
    );
    assert_eq!(joint.asked(), set(&[0, 1, 2, 3]));
}

fn setup(number: u16, wanted: bool) -> LeaseSetup {
    LeaseSetup {
        me: who(number),
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

/// What a node sends to another while time goes on to `until`.
fn first_letter(node: &mut Node<FullLeaseRules>, to: u16, until: Time) -> Vec<u8> {
    while node.due() <= until {
        node.tick(node.due());
        if let Some((_, bytes)) =
            node.take_datagrams().into_iter().find(|(whom, _)| *whom == To::One(to.into()))
        {
            return bytes;
        }
    }
    panic!("nothing was sent");
}

#[test]
fn a_letter_counts_once_whole_and_from_its_sender_only() {
    let mut node = Node::<FullLeaseRules>::new(at(-1_000), setup(0, false));
    let mut sender = Node::<FullLeaseRules>::new(at(-1_000), setup(1, true));
    let letter = first_letter(&mut sender, 0, at(60_000));
    for bit in 0..letter.len() * 8 {
        let mut bad = letter.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(
            matches!(
                node.receive(at(bit as i64 * 10 - 20_000), 1, &bad),
                Err(DatagramError::BadSignature | DatagramError::Malformed)
            ),
            "bit {bit}"
        );
    }
    assert_eq!(node.receive(at(1_000), 2, &letter), Err(DatagramError::SenderMismatch));
    assert_eq!(node.receive(at(1_000), 1, &letter[..letter.len() - 1]), Err(DatagramError::BadSignature));
    assert_eq!(node.receive(at(1_000), 1, &letter), Ok(()));
    assert_eq!(node.receive(at(1_001), 1, &letter), Err(DatagramError::Replayed));
    for (change, refused) in [
        (
            &(|of: &mut LeaseSetup| of.version = 4) as &dyn Fn(&mut LeaseSetup),
            DatagramError::VersionMismatch(3),
        ),
        (&|of| of.site = "there".into(), DatagramError::SiteMismatch),
        (&|of| of.drift = 10, DatagramError::SiteMismatch),
        (&|of| of.keys = vec![key("another installation")], DatagramError::BadSignature),
    ] {
        let mut unlike = setup(0, false);
        change(&mut unlike);
        let mut other = Node::<FullLeaseRules>::new(at(-1_000), unlike);
        assert_eq!(other.receive(at(0), 1, &letter), Err(refused));
        assert_eq!(other.take_events().len(), 1, "{refused}");
    }
    // While a key is changed both count.
    let mut both = setup(0, false);
    both.keys = vec![key("the key that comes"), key("a key of an installation")];
    assert_eq!(Node::<FullLeaseRules>::new(at(-1_000), both).receive(at(0), 1, &letter), Ok(()));
    // Somebody who sends without end is not looked into without end.
    let flood =
        (0..1_000).filter(|_| node.receive(at(1_002), 1, &letter) == Err(DatagramError::RateLimited)).count();
    assert!(flood > 700, "{flood}");
}

#[test]
fn a_grant_to_an_earlier_life_is_not_this_ones() {
    let key = key("a key of an installation");
    let mut node = Node::<FullLeaseRules>::new(at(0), setup(9, true));
    let site = open(&first_letter(&mut node, 1, at(60_000)), std::slice::from_ref(&key)).unwrap().site;
    let task = TaskId::of("sweep");
    // The answers to rounds that this life may have out, as two voters would give them to the one before it.
    let mut number = 0;
    for (life, held) in [(who(9).incarnation + 1, false), (who(9).incarnation, true)] {
        for round in 0..10 {
            for voter in [1, 2] {
                let answer = Answer { granted: true, floor: Token(4), holder: None };
                let free = Body::Seen { round, more: false, tasks: Vec::new() };
                for body in [free, Body::Answer { task, round, life, answer }] {
                    number += 1;
                    let letter = Letter { site, version: 3, sender: who(voter), number, body };
                    node.receive(at(61_000 + number as i64 * 10), voter, &seal(&letter, &key)).unwrap();
                }
            }
        }
        assert_eq!(node.take_events().iter().any(|note| matches!(note, LeaseEvent::Gained(..))), held);
    }
}

#[test]
fn a_voters_silence_counts_from_when_its_address_is_its_own() {
    let mut node = Node::<FullLeaseRules>::new(at(0), setup(0, false));
    assert!(node.is_silent(at(999)) && !node.is_silent(at(1_000)));
    // The process before it has granted something until then.
    node.socket_opened(at(5_000), 1);
    assert!(node.is_silent(at(5_999)) && !node.is_silent(at(6_000)));
}

#[test]
fn who_is_leaving_takes_nothing_that_is_offered() {
    let key = key("a key of an installation");
    for leaving in [false, true] {
        let mut node = Node::<FullLeaseRules>::new(at(0), setup(9, true));
        let site = open(&first_letter(&mut node, 1, at(60_000)), std::slice::from_ref(&key)).unwrap().site;
        if leaving {
            node.leave(at(60_000), false);
        }
        node.take_datagrams();
        let body = Body::Offer { task: TaskId::of("sweep"), token: Token(3) };
        let letter = Letter { site, version: 3, sender: who(1), number: 1, body };
        node.receive(at(60_001), 1, &seal(&letter, &key)).unwrap();
        assert_eq!(node.take_datagrams().is_empty(), leaving);
    }
}

#[test]
fn a_voter_with_two_processes_does_not_count() {
    let key = key("a key of an installation");
    for twins in [false, true] {
        let mut node = Node::<FullLeaseRules>::new(at(0), setup(9, true));
        let site = open(&first_letter(&mut node, 1, at(60_000)), std::slice::from_ref(&key)).unwrap().site;
        let task = TaskId::of("sweep");
        let answer = Answer { granted: true, floor: Token(4), holder: None };
        let mut number = 0;
        for round in 0..10 {
            for (voter, life) in [(1, 7), (1, if twins { 8 } else { 7 }), (2, 7)] {
                let free = Body::Seen { round, more: false, tasks: Vec::new() };
                for body in [free, Body::Answer { task, round, life: who(9).incarnation, answer }] {
                    number += 1;
                    let letter = Letter {
                        site,
                        version: 3,
                        sender: PoolerInstance { number: voter, incarnation: life },
                        number,
                        body,
                    };
                    node.receive(at(61_000 + number as i64 * 10), voter, &seal(&letter, &key)).unwrap();
                }
            }
        }
        let notes = node.take_events();
        assert_eq!(notes.iter().any(|note| matches!(note, LeaseEvent::Gained(..))), !twins);
        assert_eq!(notes.contains(&LeaseEvent::DuplicateVoter(1)), twins);
    }
}

#[test]
fn who_is_alone_asks_less_and_less_often() {
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
    fn every_letter_is_short_and_reads_as_written(
        task: u32, round: u32, token: u64, number in 0u16..300, life: u64, left in 0i64..60_000, kind in 0u8..8, some: bool, count in 0usize..12,
    ) {
        let (task, token, left) = (TaskId(task), Token(token), Span::millis(left));
        let holder = Holder { instance: PoolerInstance { number, incarnation: life }, token, remaining: left };
        let body = match kind {
            0 => Body::Ask { task, round, known: token },
            1 => Body::Claim { task, round, token, term: left },
            2 => Body::Answer { task, round, life, answer: Answer { granted: some, floor: token, holder: some.then_some(holder) } },
            3 => Body::Release { task, token, heir: some.then_some((number, left)) },
            4 => Body::Look { round, after: Some(task) },
            5 => Body::Seen { round, more: some, tasks: vec![(task, holder); count.min(Body::MOST_SEEN)] },
            6 => {
                let said = Position { member: task, position: life as i64, primary: some };
                Body::Positions { task, positions: vec![said; count.min(Body::MOST_POSITIONS)] }
            }
            _ => Body::Offer { task, token },
        };
        let letter = Letter { site: 1, version: 2, sender: holder.instance, number: token.0, body };
        let key = key("0123456789abcdef");
        let bytes = seal(&letter, &key);
        prop_assert!(bytes.len() <= LONGEST);
        prop_assert_eq!(open(&bytes, &[key]), Ok(letter));
    }

    #[test]
    fn no_bytes_bring_a_reader_down(bytes in proptest::collection::vec(any::<u8>(), 0..300), from in 0u16..4) {
        let mut node = Node::<FullLeaseRules>::new(at(-1_000), setup(0, true));
        prop_assert!(node.receive(at(0), from, &bytes).is_err());
        // Nor do strange bodies from who has the key.
        let key = key("a key of an installation");
        let letter = Letter { site: 0, version: 0, sender: who(1), number: 1, body: Body::Offer { task: TASK, token: Token(1) } };
        let mut text = seal(&letter, &key);
        text.truncate(28);
        text.extend(bytes.iter().take(200));
        let text = sign(text, &key);
        if let Ok(letter) = open(&text, std::slice::from_ref(&key)) {
            prop_assert_eq!(open(&seal(&letter, &key), &[key]), Ok(letter));
        }
    }
}
