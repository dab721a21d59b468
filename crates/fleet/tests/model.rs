//! Parts of the model, the auditor with seeded faults, and the reproducibility of runs.

use linnetdeal_core::{Span, Time};
use linnetdeal_fleet::audit::{AuditReport, Auditor};
use linnetdeal_fleet::faults::{self, Fault};
use linnetdeal_fleet::group::{Group, ReplicationTiming};
use linnetdeal_fleet::record::{Log, Record, Sink};
use linnetdeal_fleet::scenario::Scenario;
use linnetdeal_fleet::server::{Admission, Job, Server, ServerConfig, ServerState};
use linnetdeal_fleet::sim;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CONFIG: ServerConfig = ServerConfig {
    cores: 2,
    speed: 1.0,
    queue_limit: 3,
    queue_slowdown: 0.0,
    thrash: (4.0, 0.0),
    cold: (0.16, Span::millis(16_000)),
    fall: (2.5, Span::millis(3_000)),
};

fn ms(ms: i64) -> Time {
    Time(1_000_000_000_000 + ms * 1_000)
}

fn job(id: u64, work: i64) -> Job {
    Job { id, work: Span::millis(work) }
}

#[test]
fn a_box_runs_jobs_in_order_and_rejects_them_when_its_queue_is_full() {
    let mut server = Server::new(CONFIG);
    assert_eq!(server.admit(ms(0), job(1, 10)), Admission::Started(ms(10)));
    assert_eq!(server.admit(ms(0), job(2, 30)), Admission::Started(ms(30)));
    for id in 3..6 {
        assert_eq!(server.admit(ms(1), job(id, 10)), Admission::Queued);
    }
    assert_eq!(server.admit(ms(1), job(6, 10)), Admission::Rejected);
    assert_eq!(server.complete(ms(10), 1), Some(Some((3, ms(20)))));
    assert_eq!(server.complete(ms(10), 1), None, "it was completed already");
    assert_eq!(server.complete(ms(19), 3), None, "it is not due yet");
    assert_eq!(server.die().len(), 4);
    assert_eq!(server.admit(ms(20), job(7, 10)), Admission::Down);
}

#[test]
fn a_pause_delays_running_jobs_and_a_cold_start_is_slow() {
    let mut server = Server::new(CONFIG);
    server.admit(ms(0), job(1, 10));
    server.pause(ms(4));
    assert_eq!((server.complete(ms(10), 1), server.admit(ms(5), job(2, 10))), (None, Admission::Queued));
    assert_eq!(server.resume(ms(104)), [(1, ms(110)), (2, ms(114))]);
    server.die();
    assert!(server.start(ms(1_000)));
    assert_eq!(server.admit(ms(1_000), job(3, 16)), Admission::Started(ms(1_100)), "at 16%");
    assert!((server.warmth(ms(9_000)) - 0.58).abs() < 0.001 && server.warmth(ms(20_000)) == 1.0);
}

#[test]
fn an_overloaded_cold_box_collapses_and_stays_down() {
    let mut server = Server::new(CONFIG);
    server.die();
    server.start(ms(0));
    // 2.5 times the capacity of two cores at about 0.24 for 3 s is 3.6 s of work; rejected work counts.
    let collapsed = (0..200)
        .position(|index| server.admit(ms(index * 10), job(index as u64, 40)) == Admission::Collapsed);
    assert!((60..100).contains(&collapsed.unwrap()), "{collapsed:?}");
    assert_eq!((server.state(), server.start(ms(60_000))), (ServerState::Collapsed, false));
    assert_eq!(
        server.admit(ms(60_000), job(1, 1)),
        Admission::Down,
        "it stays down although nothing was sent for a while"
    );
}

fn timing() -> ReplicationTiming {
    ReplicationTiming {
        ship: Span::millis(8),
        apply: Span::millis(5),
        detect: Span::millis(2_000),
        elect: Span::millis(2_000),
        switch: Span::millis(500),
    }
}

#[test]
fn replicas_apply_commits_late_and_one_after_another() {
    let mut group = Group::new(timing(), 3, ms(0));
    for offset in 100..110 {
        group.commit(ms(offset));
    }
    assert_eq!(group.position(0, ms(110)), ms(110));
    assert_eq!(group.position(1, ms(118)), ms(101), "two are applied by then: at 113 and 118");
    group.set_apply_factor(2, 100.0);
    group.commit(ms(200));
    assert_eq!(group.position(1, ms(220)), ms(212), "it has nothing left to apply");
    assert!(group.position(2, ms(300)) < ms(200));
}

#[test]
fn positions_stop_without_a_primary_and_the_most_advanced_replica_takes_over() {
    let mut group = Group::new(timing(), 3, ms(0));
    group.set_apply_factor(1, 1_000.0);
    group.commit(ms(100));
    assert!(group.leave(0, ms(103)));
    assert_eq!(group.primary(), None);
    assert_eq!(group.position(2, ms(5_000)), ms(100));
    // Both replicas have received the commit, and the first needs 5 s to apply it.
    let (successor, at) = group.successor(ms(200), |_| true).unwrap();
    assert_eq!((successor, at), (1, ms(5_108)));
    let (successor, _) = group.successor(ms(200), |member| member != 1).unwrap();
    group.promote(successor, ms(300));
    assert_eq!((group.primary(), group.position(2, ms(400))), (Some(2), ms(400)));
    group.commit(ms(500));
    group.join(0, ms(600));
    assert!(group.position(0, ms(605)) < ms(500) && group.position(0, ms(700)) >= ms(500));
}

fn scenario(text: &str) -> Scenario {
    Scenario::decode("test.cue", text.as_bytes()).unwrap()
}

const TROUBLED: &str = r#"
name: "troubled"
seed: 7
fleet: {groups: 2, members: 4, poolers: 3}
traffic: {load: 0.4, lasts: "12s", sessions: 60}
troubles: [
	{at: "3s", what: "crash", who: "primary", lasts: "3s"},
	{at: "5s", what: "pause", who: "replica 1", groups: 2, lasts: "2s"},
	{at: "6s", what: "drain", who: "primary", groups: 2, lasts: "4s"},
]
"#;

fn records(scenario: &Scenario) -> (Vec<Record>, u64) {
    let mut log = Log::with_records();
    sim::run(scenario, &mut log);
    let digest = log.digest();
    (log.into_records(), digest)
}

fn audit(scenario: &Scenario, records: &[Record]) -> AuditReport {
    let mut auditor = Auditor::new(sim::rules(scenario));
    records.iter().for_each(|record| auditor.record(*record));
    auditor.finish(faults::audit_end(records))
}

#[test]
fn the_same_seed_gives_the_same_records_and_another_seed_others() {
    let first = scenario(TROUBLED);
    let other = Scenario { seed: 8, ..first.clone() };
    let (records, digest) = records(&first);
    let again = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..3).map(|_| scope.spawn(|| self::records(&first).1)).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect::<Vec<_>>()
    });
    assert!(records.len() > 2_000 && again.iter().all(|other| *other == digest), "{again:?}");
    assert_ne!(self::records(&other).1, digest);
}

#[test]
fn the_auditor_finds_each_seeded_fault_and_nothing_in_correct_records() {
    let scenario = scenario(TROUBLED);
    let (records, _) = records(&scenario);
    let clean = audit(&scenario, &records);
    assert!(clean.violations.is_empty() && clean.requests > 500, "{clean:?}");
    for fault in Fault::ALL {
        let seeded = fault
            .inject(&records, &sim::rules(&scenario))
            .unwrap_or_else(|| panic!("{fault:?} has no place in the records"));
        let report = audit(&scenario, &seeded);
        assert!(report.violations.contains_key(&fault.rule()), "{fault:?}: {:?}", report.violations);
    }
}

#[test]
fn invalid_scenarios_are_rejected_with_their_place() {
    let cases = [
        ("fleet: {groups: 2, members: 4", "fleet: {groups: 9999, members: 64", "4:"),
        ("replica 1", "replica 3", "'troubles[1].who': a group has 3 replicas"),
        ("groups: 2, lasts: \"2s\"", "groups: 3, lasts: \"2s\"", "'troubles[1].groups': there are only 2"),
        ("at: \"6s\"", "at: \"60s\"", "'troubles[2].at': no requests arrive any more"),
        ("\"crash\"", "\"crsh\"", "7:19"),
    ];
    for (from, to, what) in cases {
        let text = TROUBLED.replace(from, to);
        let faults = Scenario::decode("f", text.as_bytes()).unwrap_err().to_string();
        assert!(faults.contains(what), "{faults}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens: the number of jobs is bounded, and each accepted job is completed once or returned as lost.
    #[test]
    fn each_job_of_a_box_is_completed_or_lost_once(steps in prop::collection::vec((0..4_u8, 1..200_i64), 1..80)) {
        let (mut server, mut now, mut next) = (Server::new(CONFIG), 0, 0_u64);
        let mut ends: Vec<(Time, u64)> = Vec::new();
        let (mut taken, mut completed) = (0, 0);
        for (what, after) in steps {
            now += after;
            while let Some(at) = ends.iter().position(|(at, _)| *at <= ms(now)) {
                let (at, id) = ends.swap_remove(at);
                if let Some(more) = server.complete(at.max(ms(now)), id) {
                    completed += 1;
                    ends.extend(more.map(|(id, at)| (at, id)));
                }
            }
            match what {
                0 => server.pause(ms(now)),
                1 => {
                    let again = server.resume(ms(now));
                    if !again.is_empty() {
                        ends = again.into_iter().map(|(id, at)| (at, id)).collect();
                    }
                }
                _ => {
                    next += 1;
                    match server.admit(ms(now), job(next, after)) {
                        Admission::Started(at) => {
                            ends.push((at, next));
                            taken += 1;
                        }
                        Admission::Queued => taken += 1,
                        _ => {}
                    }
                }
            }
            prop_assert!(server.jobs() <= CONFIG.cores + CONFIG.queue_limit);
        }
        prop_assert_eq!(taken, completed + server.die().len());
    }

    #[test]
    fn positions_never_go_back(steps in prop::collection::vec((0..6_u8, 0..3_usize, 0..300_i64), 1..80)) {
        let mut group = Group::new(timing(), 3, ms(0));
        let (mut now, mut seen) = (0, [ms(-1_000); 3]);
        for (what, member, after) in steps {
            now += after;
            match what {
                0 if group.primary().is_some() => group.commit(ms(now)),
                1 => drop(group.leave(member, ms(now))),
                2 => group.join(member, ms(now)),
                3 => drop(group.hand_over(ms(now))),
                4 if group.primary().is_none() => {
                    if let Some((successor, at)) = group.successor(ms(now), |_| true) {
                        now = now.max((at.0 - ms(0).0) / 1_000 + 1);
                        group.promote(successor, ms(now));
                    }
                }
                _ => group.set_apply_factor(member, 1.0 + after as f64 / 30.0),
            }
            for (index, seen) in seen.iter_mut().enumerate() {
                let position = group.position(index, ms(now));
                prop_assert!(position >= *seen, "{index}: {position:?} after {seen:?}");
                *seen = position;
            }
        }
    }
}
