//! The fleet with the troubles of a scenario, as any caller drives it.

use linnetdeal_core::{ListState, Role, Span, Time, Verdict};
use linnetdeal_fleet::fleet::{Delivery, Fleet, FleetAction, FleetEvent, JobResult};
use linnetdeal_fleet::scenario::Scenario;
use linnetdeal_fleet::server::{Job, ServerState};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const BEGIN: Time = Time(1_000_000_000);

/// Drives a fleet: handles all events that are due up to a time, and collects the other actions.
struct FleetDriver {
    fleet: Fleet,
    rng: ChaCha8Rng,
    due: Vec<(Time, FleetEvent)>,
    other_actions: Vec<(Time, FleetAction)>,
}

impl FleetDriver {
    fn new(troubles: &str) -> Self {
        let text = format!("package scenario\nname: \"one\"\nseed: 3\ntroubles: [{troubles}]\n");
        let plan = Scenario::decode("one", text.as_bytes()).expect("a valid scenario");
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let fleet = Fleet::new(&plan, BEGIN, &mut rng);
        let mut driver = Self { fleet, rng, due: Vec::new(), other_actions: Vec::new() };
        let mut actions = Vec::new();
        driver.fleet.schedule_troubles(&mut actions);
        driver.apply(BEGIN, actions);
        driver
    }

    fn apply(&mut self, now: Time, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Schedule(at, event) => self.due.push((at, event)),
                other => self.other_actions.push((now, other)),
            }
        }
    }

    fn run_until(&mut self, end: Time) {
        while let Some(next) = (0..self.due.len()).min_by_key(|index| (self.due[*index].0, *index)) {
            if self.due[next].0 > end {
                return;
            }
            let (now, event) = self.due.remove(next);
            let mut actions = Vec::new();
            self.fleet.handle(now, event, &mut self.rng, &mut actions);
            self.apply(now, actions);
        }
    }

    fn deliver(&mut self, now: Time, server: u32, id: u64, write: bool) -> Delivery {
        let (job, mut actions) = (Job { id, work: Span::millis(50) }, Vec::new());
        let delivery = self.fleet.deliver(now, server, job, write, &mut self.rng, &mut actions);
        self.apply(now, actions);
        delivery
    }

    fn completed_jobs(&self) -> Vec<u64> {
        let completed = self.other_actions.iter().filter_map(|(_, action)| match action {
            FleetAction::JobDone(_, id) => Some(*id),
            _ => None,
        });
        completed.collect()
    }

    fn list_changes(&self) -> Vec<(u32, ListState, bool)> {
        self.fleet.changes.iter().map(|change| (change.server, change.state, change.primary)).collect()
    }
}

fn at(ms: i64) -> Time {
    BEGIN + Span::millis(ms)
}

#[test]
fn a_dead_primary_loses_its_jobs_and_another_takes_over_and_is_listed() {
    let mut driver = FleetDriver::new("{at: \"1s\", what: \"crash\", who: \"primary\", lasts: \"20s\"}");
    driver.run_until(at(990));
    assert_eq!(driver.deliver(at(990), 0, 7, true), Delivery::Accepted);
    driver.run_until(at(1_000));
    assert!(driver.other_actions.iter().any(|(_, action)| *action == FleetAction::JobLost(7)));
    assert_eq!(driver.deliver(at(1_001), 0, 8, true), Delivery::ConnectionLost);
    assert!(matches!(driver.deliver(at(1_001), 1, 9, true), Delivery::Answered(Verdict::Miss, _)));
    driver.run_until(at(19_000));
    let (when, successor) = driver.fleet.promotions[0];
    // 2.2 s until it is declared dead and 2 s for the election, up to a quarter less or more.
    assert!((at(1_000 + 3_150)..at(1_000 + 5_300)).contains(&when), "{when:?}");
    assert!(successor != 0 && driver.fleet.is_primary(successor));
    assert_eq!(driver.list_changes(), [(0, ListState::Gone, false), (successor, ListState::Healthy, true)]);
    assert_eq!(driver.deliver(at(19_000), successor, 10, true), Delivery::Accepted);
    driver.run_until(at(21_000));
    // It is back, cold, and no longer the primary.
    assert_eq!(driver.fleet.hosts[0].server.state(), ServerState::Up);
    assert!(driver.fleet.hosts[0].server.warmth(at(21_000)) < 0.2 && !driver.fleet.is_primary(0));
    assert_eq!(driver.completed_jobs(), [10]);
}

#[test]
fn a_paused_box_continues_with_its_jobs() {
    let mut driver = FleetDriver::new("{at: \"1s\", what: \"pause\", who: \"replica 0\", lasts: \"5s\"}");
    driver.run_until(at(990));
    assert_eq!(driver.deliver(at(990), 1, 7, false), Delivery::Accepted);
    driver.run_until(at(5_999));
    assert_eq!(driver.completed_jobs(), [0_u64; 0]);
    assert_eq!(driver.deliver(at(3_000), 1, 8, false), Delivery::Accepted);
    assert_eq!(driver.fleet.report(1, at(3_000)), None);
    driver.run_until(at(7_000));
    assert_eq!(driver.completed_jobs(), [7, 8]);
    assert!(driver.fleet.report(1, at(7_000)).is_some());
    assert!(driver.fleet.promotions.is_empty());
}

#[test]
fn a_hanging_box_accepts_work_and_answers_only_probes() {
    let mut driver = FleetDriver::new("{at: \"1s\", what: \"hang\", who: \"replica 0\", lasts: \"5s\"}");
    driver.run_until(at(3_000));
    assert_eq!(driver.deliver(at(3_000), 1, 7, false), Delivery::Accepted);
    assert!(driver.fleet.report(1, at(3_000)).is_some_and(|[_, _, waits]| waits == 1.0));
    driver.run_until(at(5_999));
    assert_eq!(driver.completed_jobs(), [0_u64; 0]);
    driver.run_until(at(7_000));
    assert_eq!(driver.completed_jobs(), [7]);
}

#[test]
fn a_deployed_box_drains_ends_and_starts_cold() {
    let mut driver =
        FleetDriver::new("{at: \"1s\", what: \"deploy\", who: \"replica 0\", lasts: \"2s\", away: \"1s\"}");
    driver.run_until(at(2_000));
    assert!(matches!(driver.deliver(at(2_000), 1, 7, false), Delivery::Answered(Verdict::Full, _)));
    driver.run_until(at(3_500));
    assert_eq!(driver.fleet.hosts[1].server.state(), ServerState::Dead);
    driver.run_until(at(4_000));
    assert!(driver.fleet.hosts[1].server.warmth(at(4_000)) < 0.2);
    let states: Vec<ListState> = driver.list_changes().into_iter().map(|(_, state, _)| state).collect();
    assert_eq!(states, [ListState::Draining, ListState::Gone, ListState::Healthy]);
}

#[test]
fn a_planned_change_rejects_writes_and_loses_no_commit() {
    let mut driver = FleetDriver::new("{at: \"1s\", what: \"drain\", who: \"primary\"}");
    assert_eq!(driver.deliver(at(900), 0, 7, true), Delivery::Accepted);
    driver.run_until(at(999));
    assert_eq!(driver.fleet.finish(at(999), 0, true), JobResult::Committed(at(999)));
    driver.run_until(at(1_000));
    assert!(matches!(driver.deliver(at(1_001), 0, 8, true), Delivery::Answered(Verdict::Full, _)));
    driver.run_until(at(2_000));
    let (when, successor) = driver.fleet.promotions[0];
    assert!(when >= at(1_600), "{when:?}");
    assert!(driver.fleet.position(successor, at(2_000)) >= at(999));
    assert_eq!(driver.fleet.note(successor, at(2_000)).role, Some(Role::Primary));
    assert_eq!(driver.list_changes()[0], (0, ListState::Draining, false));
}

#[test]
fn a_replica_answers_from_what_it_has_applied() {
    let mut driver = FleetDriver::new("{at: \"1s\", what: \"lag\", who: \"replica 0\", factor: 100}");
    driver.run_until(at(1_000));
    for ms in 0..20 {
        assert!(matches!(driver.fleet.finish(at(2_000 + ms), 0, true), JobResult::Committed(_)));
    }
    // Twenty commits at half a second each: after three seconds it has applied at most six of them, and the other
    // replicas all.
    let JobResult::Read(note, exact) = driver.fleet.finish(at(5_000), 1, false) else { panic!("a read") };
    assert!(exact < at(2_006) && note.position.is_some_and(|position| position <= exact), "{exact:?}");
    let JobResult::Read(_, other) = driver.fleet.finish(at(5_000), 2, false) else { panic!("a read") };
    assert!(other >= at(2_019), "{other:?}");
}
