//! The boxes with what befalls them, as any host drives them.

use linnetdeal_core::{ListState, Role, Span, Time, Verdict};
use linnetdeal_fleet::fleet::{Delivery, Fleet, FleetAction, FleetEvent, JobResult};
use linnetdeal_fleet::scenario::Scenario;
use linnetdeal_fleet::server::{Job, ServerState};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const BEGIN: Time = Time(1_000_000_000);

/// A fleet in which everything that is due happens up to a time.
struct World {
    fleet: Fleet,
    rng: ChaCha8Rng,
    due: Vec<(Time, FleetEvent)>,
    seen: Vec<(Time, FleetAction)>,
}

impl World {
    fn new(troubles: &str) -> Self {
        let text = format!("package scenario\nname: \"one\"\nseed: 3\ntroubles: [{troubles}]\n");
        let plan = Scenario::decode("one", text.as_bytes()).expect("a scenario");
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let fleet = Fleet::new(&plan, BEGIN, &mut rng);
        let mut world = Self { fleet, rng, due: Vec::new(), seen: Vec::new() };
        let mut actions = Vec::new();
        world.fleet.schedule_troubles(&mut actions);
        world.follow(BEGIN, actions);
        world
    }

    fn follow(&mut self, now: Time, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Schedule(at, what) => self.due.push((at, what)),
                other => self.seen.push((now, other)),
            }
        }
    }

    fn until(&mut self, end: Time) {
        while let Some(next) = (0..self.due.len()).min_by_key(|at| (self.due[*at].0, *at)) {
            if self.due[next].0 > end {
                return;
            }
            let (now, what) = self.due.remove(next);
            let mut actions = Vec::new();
            self.fleet.handle(now, what, &mut self.rng, &mut actions);
            self.follow(now, actions);
        }
    }

    fn deliver(&mut self, now: Time, server: u32, id: u64, write: bool) -> Delivery {
        let (job, mut actions) = (Job { id, work: Span::millis(50) }, Vec::new());
        let delivery = self.fleet.deliver(now, server, job, write, &mut self.rng, &mut actions);
        self.follow(now, actions);
        delivery
    }

    fn through(&self) -> Vec<u64> {
        let through = self.seen.iter().filter_map(|(_, action)| match action {
            FleetAction::JobDone(_, id) => Some(*id),
            _ => None,
        });
        through.collect()
    }

    fn listed(&self) -> Vec<(u32, ListState, bool)> {
        self.fleet.changes.iter().map(|change| (change.server, change.state, change.primary)).collect()
    }
}

fn at(ms: i64) -> Time {
    BEGIN + Span::millis(ms)
}

#[test]
fn a_dead_primary_loses_what_it_held_and_another_takes_over_and_is_listed() {
    let mut world = World::new("{at: \"1s\", what: \"crash\", who: \"primary\", lasts: \"20s\"}");
    world.until(at(990));
    assert_eq!(world.deliver(at(990), 0, 7, true), Delivery::Accepted);
    world.until(at(1_000));
    assert!(world.seen.iter().any(|(_, action)| *action == FleetAction::JobLost(7)));
    assert_eq!(world.deliver(at(1_001), 0, 8, true), Delivery::ConnectionLost);
    assert!(matches!(world.deliver(at(1_001), 1, 9, true), Delivery::Answered(Verdict::Miss, _)));
    world.until(at(19_000));
    let (when, successor) = world.fleet.promotions[0];
    // 2.2 s until it is given up and 2 s for the choice, a quarter less or more.
    assert!((at(1_000 + 3_150)..at(1_000 + 5_300)).contains(&when), "{when:?}");
    assert!(successor != 0 && world.fleet.is_primary(successor));
    assert_eq!(world.listed(), [(0, ListState::Gone, false), (successor, ListState::Healthy, true)]);
    assert_eq!(world.deliver(at(19_000), successor, 10, true), Delivery::Accepted);
    world.until(at(21_000));
    // It is back, cold, and no primary any more.
    assert_eq!(world.fleet.hosts[0].server.state(), ServerState::Up);
    assert!(world.fleet.hosts[0].server.warmth(at(21_000)) < 0.2 && !world.fleet.is_primary(0));
    assert_eq!(world.through(), [10]);
}

#[test]
fn a_box_that_stood_still_goes_on_with_what_it_held() {
    let mut world = World::new("{at: \"1s\", what: \"pause\", who: \"replica 0\", lasts: \"5s\"}");
    world.until(at(990));
    assert_eq!(world.deliver(at(990), 1, 7, false), Delivery::Accepted);
    world.until(at(5_999));
    assert_eq!(world.through(), [0_u64; 0]);
    assert_eq!(world.deliver(at(3_000), 1, 8, false), Delivery::Accepted);
    assert_eq!(world.fleet.report(1, at(3_000)), None);
    world.until(at(7_000));
    assert_eq!(world.through(), [7, 8]);
    assert!(world.fleet.report(1, at(7_000)).is_some());
    assert!(world.fleet.promotions.is_empty());
}

#[test]
fn a_box_that_hangs_takes_work_and_answers_nothing_but_probes() {
    let mut world = World::new("{at: \"1s\", what: \"hang\", who: \"replica 0\", lasts: \"5s\"}");
    world.until(at(3_000));
    assert_eq!(world.deliver(at(3_000), 1, 7, false), Delivery::Accepted);
    assert!(world.fleet.report(1, at(3_000)).is_some_and(|[_, _, waits]| waits == 1.0));
    world.until(at(5_999));
    assert_eq!(world.through(), [0_u64; 0]);
    world.until(at(7_000));
    assert_eq!(world.through(), [7]);
}

#[test]
fn what_is_deployed_drains_ends_and_starts_cold() {
    let mut world =
        World::new("{at: \"1s\", what: \"deploy\", who: \"replica 0\", lasts: \"2s\", away: \"1s\"}");
    world.until(at(2_000));
    assert!(matches!(world.deliver(at(2_000), 1, 7, false), Delivery::Answered(Verdict::Full, _)));
    world.until(at(3_500));
    assert_eq!(world.fleet.hosts[1].server.state(), ServerState::Dead);
    world.until(at(4_000));
    assert!(world.fleet.hosts[1].server.warmth(at(4_000)) < 0.2);
    let states: Vec<ListState> = world.listed().into_iter().map(|(_, state, _)| state).collect();
    assert_eq!(states, [ListState::Draining, ListState::Gone, ListState::Healthy]);
}

#[test]
fn a_planned_change_turns_writes_away_and_loses_none_that_was_committed() {
    let mut world = World::new("{at: \"1s\", what: \"drain\", who: \"primary\"}");
    assert_eq!(world.deliver(at(900), 0, 7, true), Delivery::Accepted);
    world.until(at(999));
    assert_eq!(world.fleet.finish(at(999), 0, true), JobResult::Committed(at(999)));
    world.until(at(1_000));
    assert!(matches!(world.deliver(at(1_001), 0, 8, true), Delivery::Answered(Verdict::Full, _)));
    world.until(at(2_000));
    let (when, successor) = world.fleet.promotions[0];
    assert!(when >= at(1_600), "{when:?}");
    assert!(world.fleet.position(successor, at(2_000)) >= at(999));
    assert_eq!(world.fleet.note(successor, at(2_000)).role, Some(Role::Primary));
    assert_eq!(world.listed()[0], (0, ListState::Draining, false));
}

#[test]
fn what_a_replica_answers_is_what_it_has_applied() {
    let mut world = World::new("{at: \"1s\", what: \"lag\", who: \"replica 0\", factor: 100}");
    world.until(at(1_000));
    for ms in 0..20 {
        assert!(matches!(world.fleet.finish(at(2_000 + ms), 0, true), JobResult::Committed(_)));
    }
    // Twenty commits at half a second each: after three seconds it has at most six of them, and others all.
    let JobResult::Read(note, exact) = world.fleet.finish(at(5_000), 1, false) else { panic!("a read") };
    assert!(exact < at(2_006) && note.position.is_some_and(|told| told <= exact), "{exact:?}");
    let JobResult::Read(_, other) = world.fleet.finish(at(5_000), 2, false) else { panic!("a read") };
    assert!(other >= at(2_019), "{other:?}");
}
