//! What sessions read after their commits were evicted: members that were away then must not serve them too early.

mod common;

use common::*;
use linnetdeal_core::sessions::{LastCommit, MAX_SESSIONS, Sessions};
use linnetdeal_core::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::HashMap;

/// The member that is away while commits are evicted.
const AWAY: usize = 3;
/// Reads by which a member that may serve them would be picked.
const READS: u64 = 60;

/// Settings for members that answer a read from whatever data they have.
fn unchecked_settings() -> Settings {
    Settings { checks: Checks::None, ..settings() }
}

fn listed_as(state: ListState) -> Event {
    Event::List(Listing::Changes(vec![Entry { state, ..entry(AWAY) }]))
}

/// More sessions write at member 1 than are remembered, while members 1 and 2 report positions in the present.
fn write_in_too_many_sessions(host: &mut Host) {
    host.probe_result(1, true, 0);
    for session in 0..=MAX_SESSIONS as u64 {
        let (id, actions) = host.request_in_session(UNSAFE, Some(session));
        assert_eq!(sends(&actions), [member(1)], "session {session}");
        host.answer_after(id, 0, 1, 1);
    }
    host.probe_result(1, true, 0);
    host.probe_result(2, false, 0);
    host.advance(20);
    assert!(host.router.session_count() < MAX_SESSIONS / 2, "{} remembered", host.router.session_count());
}

/// How many of [`READS`] reads, each of an evicted session, are sent to the member that was away.
fn reads_at_returned_member(host: &mut Host) -> usize {
    let mut count = 0;
    for session in 0..READS {
        let (id, actions) = host.request_in_session(OWN, Some(session));
        count += usize::from(sends(&actions) == [member(AWAY)]);
        host.handle(Event::Gone(id));
    }
    count
}

/// Guards against stale reads: a replica that died, or was drained, and is listed again while it is behind must not
/// serve sessions whose commits were evicted meanwhile.
#[test]
fn a_replica_that_returns_behind_serves_no_session_whose_commit_was_evicted() {
    for away_as in [ListState::Gone, ListState::Draining] {
        let mut host = Host::new(unchecked_settings(), 3);
        host.probe_result(AWAY, false, 10);
        host.handle(listed_as(away_as));
        write_in_too_many_sessions(&mut host);
        host.handle(listed_as(ListState::Healthy));
        assert_eq!(reads_at_returned_member(&mut host), 0, "{away_as:?}: its position is not known");
        host.probe_result(AWAY, false, 8_000);
        assert_eq!(reads_at_returned_member(&mut host), 0, "{away_as:?}: it is known to be behind");
        host.probe_result(AWAY, false, 1);
        assert!(reads_at_returned_member(&mut host) > 0, "{away_as:?}: it has caught up");
    }
}

/// Guards against stale reads: a replica that was forgotten, or is new and starts from an older copy, has no known
/// position, and must not serve sessions whose commits were evicted before it shows one.
#[test]
fn a_replica_without_a_known_position_serves_no_session_whose_commit_was_evicted() {
    let mut host = Host::new(unchecked_settings(), 3);
    host.handle(listed_as(ListState::Gone));
    host.handle(Event::List(Listing::Forgotten(vec![member(AWAY)])));
    write_in_too_many_sessions(&mut host);
    host.handle(listed_as(ListState::Healthy));
    assert_eq!(reads_at_returned_member(&mut host), 0);
    host.probe_result(AWAY, false, 1);
    assert!(reads_at_returned_member(&mut host) > 0, "it has caught up");
}

/// Guards against positions that are believed without proof: members that check their reads know nothing of the
/// floor, so that an answer to a session that has not written proves nothing.
#[test]
fn an_answer_to_a_session_without_a_commit_proves_no_position() {
    let mut host = Host::new(settings(), 2);
    write_in_too_many_sessions(&mut host);
    host.handle(Event::List(Listing::Changes(vec![entry(AWAY)])));
    let unwritten = 1_000_000;
    let served = (0..READS).any(|_| {
        let (id, actions) = host.request_in_session(OWN, Some(unwritten));
        let [target] = &sends(&actions)[..] else { panic!("{actions:?}") };
        let number = (1..=AWAY).find(|number| member(*number) == *target).unwrap();
        host.answer_after(id, 0, number, 1);
        number == AWAY
    });
    assert!(served, "the new member is picked, and answers from whatever it has");
    let (id, _) = host.request_in_session(OWN, Some(unwritten));
    let freshness = host.router.freshness(host.now, id, &member(AWAY)).unwrap();
    assert!(freshness.required.is_some() && freshness.position.is_none(), "{freshness:?}");
}

/// One step of [`no_less_than_the_latest_commit_is_ever_required`].
#[derive(Clone, Debug)]
struct Burst {
    /// Commits of a few sessions that write again and again.
    commits: Vec<(u64, i64)>,
    /// The earliest commit of [`BURST_SESSIONS`] sessions that write once.
    earliest: i64,
    /// The position that every member is known to have applied.
    applied_everywhere: Option<i64>,
}

const BURST_SESSIONS: u64 = 3_000;
/// The number of the first session that writes only once.
const FIRST_SINGLE_WRITER: u64 = 1_000;

fn bursts() -> impl Strategy<Value = Vec<Burst>> {
    let commits = proptest::collection::vec((0..20_u64, 0..40_000_i64), 0..10);
    let burst = (commits, 0..40_000_i64, proptest::option::of(0..40_000_i64))
        .prop_map(|(commits, earliest, applied_everywhere)| Burst { commits, earliest, applied_everywhere });
    proptest::collection::vec(burst, 1..20)
}

/// Guards the bound that all of this rests on: whatever is evicted and in whatever order commits arrive, no less is
/// required of a session's read than its latest commit.
#[test]
fn no_less_than_the_latest_commit_is_ever_required() {
    let config = Config { cases: 12, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&bursts(), |bursts| {
            let (mut sessions, mut latest_commits) = (Sessions::default(), HashMap::<u64, Time>::new());
            let mut next_session = FIRST_SINGLE_WRITER;
            for Burst { mut commits, earliest, applied_everywhere } in bursts {
                commits.extend((0..BURST_SESSIONS).map(|n| (next_session + n, earliest + n as i64)));
                next_session += BURST_SESSIONS;
                for (session, commit) in commits {
                    sessions.record_commit(SessionKey(session), Time(commit));
                    let latest = latest_commits.entry(session).or_insert(Time(commit));
                    *latest = Time(commit).max(*latest);
                }
                sessions.evict(|| applied_everywhere.map(Time));
                prop_assert!(sessions.len() <= MAX_SESSIONS);
                for (session, commit) in &latest_commits {
                    let required =
                        sessions.last_commit(SessionKey(*session)).map(LastCommit::required_position);
                    prop_assert!(required >= Some(*commit), "session {session}: {required:?} < {commit:?}");
                }
            }
            Ok(())
        })
        .unwrap();
}
