//! The precedence table of the membership, cell by cell, and invariants under any order of updates.

use linnetdeal_core::membership::*;
use linnetdeal_core::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::sync::Arc;

const LIST: SourceId = SourceId(0);
const REGISTRY: SourceId = SourceId(1);
const STATES: [ListState; 3] = [ListState::Healthy, ListState::Draining, ListState::Gone];

fn id(index: usize) -> MemberId {
    MemberId(Arc::from(format!("s-{index}")))
}

fn claim(index: usize, state: ListState, started: Option<i64>, stamp: i64) -> Claim {
    let started = started.map(Time);
    Claim {
        member: id(index),
        address: format!("127.0.0.1:{}", 7_000 + index % 50_000).parse().ok(),
        group: Some(GroupId(2)),
        zone: "adum".into(),
        machine: String::new(),
        primary: false,
        started,
        state,
        version: ClaimVersion { started, stamp, ..ClaimVersion::default() },
    }
}

fn up(index: usize, stamp: i64) -> Claim {
    claim(index, ListState::Healthy, None, stamp)
}

fn members() -> Membership {
    let mut members = Membership::new(Span::millis(60_000), 100);
    members.set_shrink_policy(
        REGISTRY,
        ShrinkPolicy { lost_share: 0.5, believe_after: Some(Span::millis(10_000)) },
    );
    members
}

fn state(members: &Membership, index: usize) -> Option<ListState> {
    members.get(&id(index)).map(|info| info.state)
}

fn changes(members: &mut Membership, at_ms: i64, claims: Vec<Claim>) -> UpdateOutcome {
    members.apply_update(Time(at_ms * 1_000), REGISTRY, SourceUpdate::Changes(claims))
}

fn full(members: &mut Membership, at_ms: i64, view: i64, claims: Vec<Claim>) -> UpdateOutcome {
    members.apply_update(Time(at_ms * 1_000), REGISTRY, SourceUpdate::Full { claims, view })
}

#[test]
fn every_cell_of_the_precedence_table() {
    // For every held state, every new state and every order of their versions, the state that counts afterwards.
    let rank = |state| STATES.iter().position(|one| *one == state);
    let ages = [(Some(6), 1, "a later start"), (Some(5), 8, "a later stamp"), (Some(5), 7, "the same")];
    let older = [(Some(5), 6, "an earlier stamp"), (Some(4), 9, "an earlier start")];
    for held in STATES {
        for incoming in STATES {
            for (started, stamp, what) in ages.into_iter().chain(older) {
                let mut members = members();
                changes(&mut members, 0, vec![claim(1, held, Some(5), 7)]);
                let outcome = changes(&mut members, 1, vec![claim(1, incoming, started, stamp)]);
                let expected = match what {
                    "a later start" | "a later stamp" => incoming,
                    "the same" if rank(incoming) > rank(held) => incoming,
                    _ => held,
                };
                assert_eq!(state(&members, 1), Some(expected), "held {held:?}, {what} reports {incoming:?}");
                let kept_out = rank(incoming) < rank(held) && expected == held;
                assert_eq!(
                    outcome.kept_out,
                    usize::from(kept_out),
                    "held {held:?}, {what} reports {incoming:?}"
                );
                let reported = expected != held || what == "a later start";
                assert_eq!(!outcome.changed.is_empty(), reported, "only changes are reported");
            }
        }
    }
}

#[test]
fn a_member_missing_from_a_list_is_gone_until_a_newer_list_names_it() {
    let mut members = members();
    full(&mut members, 0, 30, vec![up(1, 10), up(2, 20), up(3, 30)]);
    // A registry server that lags does not know of the third member yet, which proves nothing.
    full(&mut members, 1, 20, vec![up(1, 10), up(2, 20)]);
    assert_eq!(state(&members, 3), Some(ListState::Healthy));
    // A list with a view later than the member's stamp that does not name it removes it.
    full(&mut members, 2, 40, vec![up(1, 10), up(2, 20), up(4, 40)]);
    assert_eq!(state(&members, 3), Some(ListState::Gone));
    // Neither an older list nor a delta with the same registration brings it back.
    assert_eq!(full(&mut members, 3, 30, vec![up(1, 10), up(2, 20), up(3, 30)]).kept_out, 1);
    assert_eq!(changes(&mut members, 4, vec![up(3, 30)]).kept_out, 1);
    assert_eq!(state(&members, 3), Some(ListState::Gone));
    full(&mut members, 5, 41, vec![up(1, 10), up(2, 20), up(3, 30), up(4, 41)]);
    assert_eq!(state(&members, 3), Some(ListState::Healthy));
    // A member that was deleted by a delta only comes back with a new registration.
    changes(&mut members, 6, vec![claim(3, ListState::Gone, None, 30)]);
    full(&mut members, 7, 50, vec![up(1, 10), up(2, 20), up(3, 30), up(4, 50)]);
    assert_eq!(state(&members, 3), Some(ListState::Gone));
    full(&mut members, 8, 50, vec![up(1, 10), up(2, 20), up(3, 51), up(4, 50)]);
    assert_eq!(state(&members, 3), Some(ListState::Healthy));
}

#[test]
fn a_list_that_lacks_most_members_is_suspect_until_that_has_lasted() {
    let mut members = members();
    full(&mut members, 0, 9, (1..=8).map(|index| up(index, 9)).collect());
    let outcome = full(&mut members, 1, 9, (1..=3).map(|index| up(index, 9)).collect());
    assert_eq!((outcome.suspect_list, outcome.changed.len()), (Some((5, 8)), 0), "five of eight");
    assert_eq!(
        full(&mut members, 2, 0, Vec::new()).suspect_list,
        Some((0, 8)),
        "an empty list is always suspect"
    );
    assert_eq!(full(&mut members, 3, 9, Vec::new()).suspect_list, Some((8, 8)));
    // While a registry regains its members its lists stay suspect, but a drain that they name always counts.
    let mut named: Vec<Claim> = (1..=7).map(|index| up(index, 9)).collect();
    named[0] = claim(1, ListState::Draining, None, 9);
    assert_eq!(full(&mut members, 4, 9, named).suspect_list, Some((1, 8)));
    assert_eq!(state(&members, 1), Some(ListState::Draining));
    full(&mut members, 4, 9, (1..=8).map(|index| up(index, 9)).collect());
    // After a complete list a smaller fleet is accepted again.
    assert_eq!(full(&mut members, 4, 9, (1..=5).map(|index| up(index, 9)).collect()).suspect_list, None);
    assert_eq!(members.iter().filter(|(_, info)| info.state == ListState::Healthy).count(), 4);
    // Lists that stay suspect for ten seconds are accepted.
    assert_eq!(full(&mut members, 5, 9, Vec::new()).suspect_list, Some((4, 4)));
    assert_eq!(full(&mut members, 9_000, 9, Vec::new()).suspect_list, Some((4, 4)));
    assert_eq!(full(&mut members, 10_005, 9, Vec::new()).suspect_list, None);
    assert!(members.iter().all(|(_, info)| info.state == ListState::Gone));
}

#[test]
fn an_empty_list_from_a_registry_that_lost_its_data_removes_nothing() {
    let mut members = members();
    full(&mut members, 0, 9, (1..=4).map(|index| up(index, 9)).collect());
    full(&mut members, 1, 0, Vec::new());
    // The members register again one by one, each with a later stamp.
    for index in 1..=4 {
        full(
            &mut members,
            10,
            20 + index as i64,
            (1..=index).map(|index| up(index, 20 + index as i64)).collect(),
        );
        assert!((1..=4).all(|index| state(&members, index) == Some(ListState::Healthy)), "after {index}");
    }
}

#[test]
fn the_worst_of_two_sources_counts_until_a_later_start_is_reported() {
    let mut members = members();
    let report = |members: &mut Membership, at_ms: i64, source, claim| {
        members.apply_update(Time(at_ms * 1_000), source, SourceUpdate::Changes(vec![claim]))
    };
    report(&mut members, 10, LIST, up(1, 1));
    report(&mut members, 11, REGISTRY, up(1, 500));
    report(&mut members, 12, LIST, claim(1, ListState::Draining, None, 2));
    // The registry still reports UP, even with a later stamp of its own: stamps of different sources are not
    // comparable.
    report(&mut members, 13, REGISTRY, up(1, 900));
    assert_eq!(state(&members, 1), Some(ListState::Draining));
    // A start after the drain was reported ends it.
    report(&mut members, 14, REGISTRY, claim(1, ListState::Healthy, Some(13_500), 901));
    assert_eq!(state(&members, 1), Some(ListState::Healthy));
    report(&mut members, 15, REGISTRY, claim(1, ListState::Gone, Some(13_500), 902));
    assert_eq!(state(&members, 1), Some(ListState::Gone), "the worst state counts");
}

#[test]
fn a_later_claim_counts_only_if_it_comes_from_the_same_registry_lease() {
    let claim_of = |state, registry_lease, lease_updated| {
        let mut one = claim(1, state, None, 7);
        (one.version.registry_lease, one.version.lease_updated) = (registry_lease, lease_updated);
        one
    };
    // Claims of another server, of another lease or without one, and an earlier claim of the same lease bring nothing
    // back.
    for (registry_lease, lease_updated) in
        [(Some((1, 100)), 60), (Some((0, 101)), 60), (None, 60), (Some((0, 100)), 49)]
    {
        let mut members = members();
        changes(&mut members, 0, vec![claim_of(ListState::Healthy, Some((0, 100)), 40)]);
        changes(&mut members, 1, vec![claim_of(ListState::Draining, Some((0, 100)), 50)]);
        changes(&mut members, 2, vec![claim_of(ListState::Healthy, registry_lease, lease_updated)]);
        assert_eq!(state(&members, 1), Some(ListState::Draining), "{registry_lease:?} {lease_updated}");
        changes(&mut members, 3, vec![claim_of(ListState::Healthy, Some((0, 100)), 60)]);
        assert_eq!(state(&members, 1), Some(ListState::Healthy));
    }
}

#[test]
fn an_id_with_two_addresses_keeps_the_first_until_a_newer_claim() {
    let mut members = members();
    let with_port =
        |port: u16, stamp| Claim { address: format!("127.0.0.1:{port}").parse().ok(), ..up(1, stamp) };
    let address = |members: &Membership| members.get(&id(1)).and_then(|info| info.address).unwrap().port();
    changes(&mut members, 0, vec![with_port(7_001, 5)]);
    assert_eq!(changes(&mut members, 1, vec![with_port(7_002, 5)]).conflicts, 1);
    assert_eq!(address(&members), 7_001);
    changes(&mut members, 2, vec![with_port(7_002, 6)]);
    assert_eq!(address(&members), 7_002);
}

#[test]
fn the_number_of_members_is_bounded_and_drains_still_count_at_the_bound() {
    let mut members = members();
    let outcome = changes(&mut members, 0, (0..MAX_MEMBERS + 5).map(|index| up(index, 1)).collect());
    assert_eq!((outcome.changed.len(), outcome.stale, members.iter().count()), (MAX_MEMBERS, 5, MAX_MEMBERS));
    changes(&mut members, 1, vec![claim(7, ListState::Draining, None, 2)]);
    assert_eq!(state(&members, 7), Some(ListState::Draining));
}

#[test]
fn gone_members_are_dropped_by_age_and_by_number() {
    let mut members = Membership::new(Span::millis(1_000), 2);
    let gone = |index| claim(index, ListState::Gone, None, 2);
    for index in 1..=3 {
        changes(&mut members, 0, vec![up(index, 1)]);
        changes(&mut members, index as i64, vec![gone(index)]);
    }
    assert_eq!(state(&members, 1), None, "more than two");
    let outcome = changes(&mut members, 1_002, Vec::new());
    assert_eq!(outcome.forgotten, [id(2)]);
    // A member that came back meanwhile is kept.
    changes(&mut members, 1_002, vec![up(3, 3)]);
    assert_eq!(changes(&mut members, 9_000, Vec::new()).forgotten, []);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever updates arrive in whatever order: a member that drains with a stamp does not return to service by a
    /// claim that is not newer, the reported changes add up to the held state, and the number of gone members stays
    /// within its limit.
    #[test]
    fn no_order_of_updates_returns_a_draining_member_to_service(steps in prop::collection::vec(
        (0..4_usize, 0..3_usize, 0..6_i64, any::<bool>(), 0..2_u8), 1..60))
    {
        let mut members = Membership::new(Span::millis(1_000_000), 2);
        members.set_shrink_policy(REGISTRY, ShrinkPolicy { lost_share: 0.5, believe_after: None });
        let (mut ups, mut drains) = (BTreeMap::new(), BTreeMap::new());
        let mut reported: BTreeMap<MemberId, ListState> = BTreeMap::new();
        for (now, (member_index, state_index, stamp, whole, source)) in steps.into_iter().enumerate() {
            let one = claim(member_index, STATES[state_index], None, stamp);
            let update = if whole { SourceUpdate::Full { claims: vec![one], view: stamp } } else { SourceUpdate::Changes(vec![one]) };
            let outcome = members.apply_update(Time(now as i64), SourceId(source), update);
            let record_stamp = |stamps: &mut BTreeMap<(u8, usize), i64>| {
                let held = stamps.entry((source, member_index)).or_insert(stamp);
                *held = (*held).max(stamp);
            };
            match STATES[state_index] {
                ListState::Healthy => record_stamp(&mut ups),
                ListState::Draining => record_stamp(&mut drains),
                ListState::Gone => {}
            }
            for entry in outcome.changed {
                reported.insert(entry.member, entry.state);
            }
            for member in &outcome.forgotten {
                reported.remove(member);
                ups.retain(|(_, index), _| id(*index) != *member);
                drains.retain(|(_, index), _| id(*index) != *member);
            }
            for (member, info) in members.iter() {
                prop_assert_eq!(reported.get(member), Some(&info.state));
            }
            prop_assert!(members.iter().filter(|(_, info)| info.state == ListState::Gone).count() <= 2);
            // A drain is ended only by the source that reported it, with a later stamp.
            for ((source, index), drained) in drains.iter().filter(|((_, index), _)| state(&members, *index) == Some(ListState::Healthy)) {
                prop_assert!(ups.get(&(*source, *index)) > Some(drained), "{index} drained by {source} at {drained}");
            }
        }
    }
}

#[test]
fn a_member_drained_by_the_operator_stays_out_until_the_operator_returns_it() {
    let mut members = members();
    assert!(members.set_operator_drain(&id(1), true).is_none(), "no source ever named it");
    changes(&mut members, 0, vec![up(1, 1), up(2, 1)]);
    let out = members.set_operator_drain(&id(1), true).unwrap();
    assert!(matches!(&out.changed[..], [entry] if entry.state == ListState::Draining));
    assert!(
        members.set_operator_drain(&id(1), true).unwrap().changed.is_empty(),
        "draining it again changes nothing"
    );
    // It restarts, goes, is dropped and is listed again.
    changes(&mut members, 5, vec![claim(1, ListState::Healthy, Some(4), 2)]);
    assert_eq!(state(&members, 1), Some(ListState::Draining));
    changes(&mut members, 6, vec![claim(1, ListState::Gone, Some(4), 3)]);
    changes(&mut members, 90_000, vec![up(2, 4)]);
    assert_eq!(state(&members, 1), None);
    changes(&mut members, 90_001, vec![claim(1, ListState::Healthy, Some(80), 5)]);
    assert_eq!(state(&members, 1), Some(ListState::Draining));

    let back = members.set_operator_drain(&id(1), false).unwrap();
    let cold = |entry: &Entry| entry.state == ListState::Healthy && entry.started == Some(Time(80));
    assert!(matches!(&back.changed[..], [entry] if cold(entry)), "the state is that of the list");
    assert!(members.set_operator_drain(&id(2), false).unwrap().changed.is_empty());

    let mut successor = self::members();
    for index in 0..MAX_OPERATOR_DRAINS + 5 {
        successor.adopt_operator_drain(&id(index), true);
    }
    assert_eq!(successor.operator_drained().count(), MAX_OPERATOR_DRAINS);
    changes(&mut successor, 0, vec![up(1, 1)]);
    assert_eq!(state(&successor, 1), Some(ListState::Draining), "the drain survives a change of process");
}
