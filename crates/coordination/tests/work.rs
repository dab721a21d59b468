//! A plan carried out by a fleet of poolers in virtual time, with holders that die, letters that are lost and poolers that start anew;
//! and the order of machines by itself.

use linnetdeal_coordination::lease::{Body, Datagram, Key, PoolerInstance, Token, decode, encode};
use linnetdeal_coordination::work::*;
use linnetdeal_core::peers::To;
use linnetdeal_core::{Span, Time};
use proptest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const EVERY: Span = Span::millis(100);

fn limits() -> Limits {
    Limits {
        total: 3,
        per_zone: 2,
        per_group: 1,
        zones: 1,
        min_warm: 1,
        load_factor: 1.0,
        cold_period: Span::millis(300),
        handover_timeout: Span::millis(1_000),
        order: OrderPolicy::LongestRemaining,
    }
}

/// Groups of three in three zones; the first of each is its primary.
fn facts(groups: u16) -> FleetInfo {
    let of = |group: u16, zone: u16| MachineInfo {
        machine: u64::from(group * 10 + zone) + 1_000,
        group,
        zone,
        capacity: 100.0,
        primary: zone == group % 3,
        in_service: true,
        failing: false,
        warm: true,
    };
    let machines = (0..groups).flat_map(|group| (0..3).map(move |zone| of(group, zone))).collect();
    FleetInfo { machines, ..FleetInfo::default() }
}

fn plan(facts: &FleetInfo) -> Plan {
    Plan {
        kind: MachineKind::Servers,
        machines: facts.machines.iter().map(|of| of.machine).collect(),
        nonce: 1,
    }
}

fn record(plan: &Plan) -> Record {
    let states = vec![MachineState::Waiting; plan.machines.len()];
    Record { token: Token(1), version: 1, plan: plan.id(), mode: Mode::Running, states }
}

/// One step after another until nothing changes, with machines that are clear at once and work that lasts a step.
fn carry_out(
    facts: &mut FleetInfo,
    limits: &Limits,
    mut each: impl FnMut(usize, &[MachineState], &FleetInfo),
) -> Record {
    let plan = plan(facts);
    let mut record = record(&plan);
    let mut since = vec![Time(0); plan.machines.len()];
    for step in 0..1_000 {
        let now = Time(step * 100_000);
        let next = next_step(now, &plan, &record, &since, facts, limits, &|_| true);
        for (at, (before, after)) in record.states.iter().zip(&next.states).enumerate() {
            if before != after {
                since[at] = now;
            }
            // The hand-over is made.
            if *after == MachineState::HandingOver {
                let (group, machine) = (facts.machines[at].group, plan.machines[at]);
                let heir = facts.machines.iter().position(|of| of.group == group && of.machine != machine);
                facts.machines[at].primary = false;
                facts.machines[heir.unwrap()].primary = true;
            }
        }
        (record.states, record.mode) = (next.states, next.mode);
        each(step as usize, &record.states, facts);
        if record.mode == Mode::Idle {
            return record;
        }
        for (at, state) in record.states.iter_mut().enumerate() {
            if state.is_free() {
                (*state, since[at]) = (MachineState::AtWork, now);
            } else if *state == MachineState::AtWork {
                (*state, since[at]) = (MachineState::Warming, now);
            }
        }
    }
    panic!("it never ends: {:?}", record.states);
}

#[test]
fn all_are_worked_on_within_the_limits_replicas_first() {
    for scheme in [OrderPolicy::AsNamed, OrderPolicy::MostSpare, OrderPolicy::LongestRemaining] {
        let (mut facts, limits) = (facts(6), Limits { order: scheme, ..limits() });
        let first: Vec<bool> = facts.machines.iter().map(|of| of.primary).collect();
        let mut seen = BTreeMap::new();
        let end = carry_out(&mut facts, &limits, |step, states, facts| {
            let out: Vec<&MachineInfo> = states
                .iter()
                .zip(&facts.machines)
                .filter(|(state, _)| state.counts_against_limits())
                .map(|(_, of)| of)
                .collect();
            assert!(out.len() <= limits.total, "{scheme:?}");
            let zones: BTreeSet<u16> = out.iter().map(|of| of.zone).collect();
            let groups: BTreeSet<u16> = out.iter().map(|of| of.group).collect();
            assert!(
                zones.len() <= 1 && out.len() <= limits.per_zone && groups.len() == out.len(),
                "{scheme:?}"
            );
            assert!(out.iter().all(|of| !of.primary), "never a primary");
            for (at, state) in states.iter().enumerate().filter(|(_, state)| state.is_out()) {
                seen.entry(at).or_insert((step, *state));
            }
        });
        assert!(end.states.iter().all(|state| *state == MachineState::Back), "{scheme:?}: {:?}", end.states);
        for (at, was_primary) in first.iter().enumerate().filter(|(_, primary)| **primary) {
            let group = at / 3 * 3;
            let before =
                (group..group + 3).filter(|other| *other != at).all(|other| seen[&other].0 < seen[&at].0);
            assert!(before && *was_primary, "{scheme:?}: replicas before their primary");
        }
    }
}

#[test]
fn what_has_not_been_touched_comes_back_when_others_die() {
    let (mut facts, limits) = (facts(6), limits());
    let plan = plan(&facts);
    let mut record = record(&plan);
    let since = vec![Time(0); 18];
    let go = |record: &Record, facts: &FleetInfo, clear: bool| {
        next_step(Time(0), &plan, record, &since, facts, &limits, &|_| clear)
    };
    let first = go(&record, &facts, false);
    let out: Vec<usize> = (0..18).filter(|at| first.states[*at].is_leaving()).collect();
    assert_eq!(out.len(), 2, "as many as a zone allows: {:?}", first.waits);
    assert_eq!(first.waits.len(), 16, "each other has a reason");
    record.states = first.states;
    record.states[out[0]] = MachineState::AtWork;
    record.states[out[1]] = MachineState::Free;
    // A server of each of two other zones dies.
    for zone in 0..3 {
        let dies = facts.machines.iter().position(|of| {
            of.zone == zone && !of.primary && !out.contains(&usize::from(of.group * 3 + zone))
        });
        facts.machines[dies.unwrap()].failing = true;
    }
    let hurt = go(&record, &facts, false);
    assert_eq!(hurt.states[out[0]], MachineState::AtWork, "work has begun: nobody can take that back");
    assert_eq!(hurt.states[out[1]], MachineState::Waiting);
    assert_eq!(hurt.waits[&out[1]], WaitReason::LimitsBroken);
    record.states = hurt.states;
    let after = go(&record, &facts, false).states;
    let went = (0..18).filter(|at| after[*at] != record.states[*at]);
    assert!(
        went.clone().all(|at| facts.machines[at].failing),
        "nothing more goes out but what is dead: {after:?}"
    );
    // Forced by staff, it goes all the same, and stays.
    record.states[out[1]] = MachineState::Forced;
    record.states = go(&record, &facts, false).states;
    assert_eq!(record.states[out[1]], MachineState::ForcedLeaving);
    assert_eq!(go(&record, &facts, false).states, record.states);
    assert_eq!(go(&record, &facts, true).states[out[1]], MachineState::ForcedFree);
}

#[test]
fn a_step_is_checked_against_the_load_and_what_can_never_be_is_refused() {
    let (mut facts, limits) = (facts(2), limits());
    let plan = plan(&facts);
    let since = vec![Time(0); 6];
    facts.loads = [(0, (50.0, 250.0)), (1, (150.0, 160.0))].into();
    let next_of = |facts: &FleetInfo, limits: &Limits| {
        next_step(Time(0), &plan, &record(&plan), &since, facts, limits, &|_| false)
    };
    let next = next_of(&facts, &limits);
    let why: Vec<_> = next.waits.values().filter(|why| matches!(why, WaitReason::Capacity(..))).collect();
    assert_eq!(
        why,
        [&WaitReason::Capacity(200.0, 250.0), &WaitReason::Capacity(200.0, 250.0)],
        "the peak counts: {:?}",
        next.waits
    );
    assert!(next.states[3..].iter().any(|state| state.is_leaving()), "the other group has room");
    assert!(check_feasible(&plan, &facts, &limits).is_ok(), "the load will not always be so");
    let never = check_feasible(&plan, &facts, &Limits { min_warm: 2, ..limits.clone() });
    assert_eq!(never, Err((0, WaitReason::WarmReplicas(1))));
    assert_eq!(
        check_feasible(&plan, &facts, &Limits { per_zone: 0, ..limits.clone() }),
        Err((0, WaitReason::ZoneLimit(0)))
    );
    // The only warm replica stays; a primary that changes holds its group.
    facts.loads.clear();
    facts.machines[1].warm = false;
    facts.changing_primary.insert(1);
    let next = next_of(&facts, &Limits { zones: 3, total: 9, per_group: 3, ..limits.clone() });
    assert_eq!(next.waits[&2], WaitReason::WarmReplicas(0));
    assert_eq!(
        (&next.waits[&4], &next.waits[&0]),
        (&WaitReason::PrimaryChanging, &WaitReason::ReplicasFirst)
    );
    facts.quiet_hours = true;
    assert!(next_of(&facts, &limits).waits.values().all(|why| *why == WaitReason::QuietHours));
}

#[test]
fn poolers_go_one_zone_at_a_time_and_one_voter_at_a_time() {
    let of = |number: u64| MachineInfo {
        machine: number,
        zone: number as u16 % 2,
        in_service: true,
        warm: true,
        ..MachineInfo::default()
    };
    let facts =
        FleetInfo { machines: (0..10).map(of).collect(), voters: [0, 2, 4].into(), ..FleetInfo::default() };
    let plan = Plan { kind: MachineKind::Poolers, machines: (0..10).collect(), nonce: 1 };
    let limits = Limits { total: 4, per_zone: 4, ..limits() };
    let next = next_step(Time(0), &plan, &record(&plan), &[Time(0); 10], &facts, &limits, &|_| false);
    let out: Vec<usize> = (0..10).filter(|at| next.states[*at].is_out()).collect();
    assert_eq!(out, [0, 6, 8], "{:?}", next.waits);
    assert_eq!((&next.waits[&2], &next.waits[&1]), (&WaitReason::Voters, &WaitReason::OtherZones(1)));
}

/// A pooler of the fleet, with what it has under way.
struct Pooler {
    work: Coordinator<FullRegisterRules>,
    who: PoolerInstance,
    /// Requests under way end then, by machine.
    busy: BTreeMap<u64, Time>,
}

struct Fleet {
    now: Time,
    count: u16,
    rng: ChaCha8Rng,
    poolers: Vec<Option<Pooler>>,
    letters: Vec<(Time, PoolerInstance, u16, Message)>,
    lives: u64,
    /// By whom the lease may be thought to be held, with which token.
    holders: BTreeMap<u16, Token>,
    facts: FleetInfo,
    /// Machines that somebody works on, and until when.
    at_work: BTreeMap<u64, Time>,
    worked: BTreeSet<u64>,
    sends_to_work: usize,
    most_out: usize,
    cut: BTreeSet<u16>,
    lost: u32,
    /// What each pooler bears.
    loads: Vec<GroupLoad>,
}

impl Fleet {
    fn new(count: u16, seed: u64, groups: u16) -> Self {
        let mut fleet = Self {
            now: Time(0),
            count,
            rng: ChaCha8Rng::seed_from_u64(seed),
            poolers: (0..count).map(|_| None).collect(),
            letters: Vec::new(),
            lives: 0,
            holders: BTreeMap::new(),
            facts: facts(groups),
            at_work: BTreeMap::new(),
            worked: BTreeSet::new(),
            sends_to_work: 0,
            most_out: 0,
            cut: BTreeSet::new(),
            lost: 50,
            loads: Vec::new(),
        };
        (0..count).for_each(|number| fleet.start(number));
        fleet
    }

    fn dice(&mut self, of: u32) -> u32 {
        self.rng.next_u32() % of
    }

    fn start(&mut self, number: u16) {
        self.lives += 1;
        let who = PoolerInstance { number, incarnation: self.lives };
        let setup = CoordinatorSetup {
            me: who,
            seed: self.lives,
            fleet: self.count,
            voters: [0, 1, 2].into(),
            previous: vec![],
            heartbeat_interval: EVERY,
            start_timeout: Span::millis(3_600_000),
            server_limits: limits(),
            pooler_limits: limits(),
        };
        let work = Coordinator::new(self.now, setup);
        self.poolers[usize::from(number)] = Some(Pooler { work, who, busy: BTreeMap::new() });
        self.holders.remove(&number);
    }

    fn kill(&mut self, number: u16) {
        self.poolers[usize::from(number)] = None;
        self.holders.remove(&number);
    }

    /// Ten milliseconds.
    fn step(&mut self) {
        self.now = Time(self.now.0 + 10_000);
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.letters.drain(..).partition(|(at, ..)| *at <= now);
        self.letters = later;
        for (_, from, to, note) in due {
            if self.cut.contains(&to) || self.cut.contains(&from.number) {
                continue;
            }
            if let Some(pooler) = &mut self.poolers[usize::from(to)] {
                pooler.work.receive(now, from, note);
            }
        }
        // What a plan has out is out of service for everybody else's eyes too.
        let (facts, mut banned) = (self.facts.clone(), BTreeMap::new());
        let mut sent = Vec::new();
        for number in 0..self.count {
            let token = self.holders.get(&number).copied();
            let send = self.rng.next_u32();
            let Some(pooler) = &mut self.poolers[usize::from(number)] else { continue };
            pooler.busy.retain(|_, until| *until > now);
            let mut out = BTreeSet::new();
            if let Some((plan, record)) = pooler.work.current_plan() {
                out.extend(record.out().map(|at| plan.machines[at]));
            }
            out.iter().for_each(|of| *banned.entry(*of).or_insert(0) += 1);
            if pooler.work.has_started() {
                let machine = facts.machines[send as usize % facts.machines.len()].machine;
                if !out.contains(&machine) {
                    self.sends_to_work += usize::from(self.at_work.contains_key(&machine));
                    pooler.busy.insert(machine, Time(now.0 + i64::from(send >> 8) % 80_000));
                }
            }
            let clear = match pooler.work.current_plan() {
                Some((plan, record)) => {
                    MachineSet::of(record.out().filter(|at| !pooler.busy.contains_key(&plan.machines[*at])))
                }
                None => MachineSet::default(),
            };
            let holder = self.holders.iter().max_by_key(|(_, token)| **token).map(|(of, _)| *of);
            let (clear_revision, loads) = (pooler.work.revision(), self.loads.clone());
            let own = LocalState { token, holder, clear, clear_revision, loads, ..LocalState::default() };
            pooler.work.tick(now, &own, &|_| facts.clone());
            let who = pooler.who;
            sent.extend(pooler.work.take_messages().into_iter().map(|datagram| (who, datagram)));
        }
        // Out is what is worked on, and what most don't use; who was cut off learns late that one is back.
        let half = self.poolers.iter().flatten().count() / 2;
        let mut out_now: BTreeSet<u64> =
            banned.into_iter().filter(|(_, by)| *by > half).map(|(of, _)| of).collect();
        out_now.extend(self.at_work.keys().copied());
        self.most_out = self.most_out.max(out_now.len());
        for (who, (to, note)) in sent {
            let To::One(to) = to else { panic!("work is told one by one") };
            for _ in 0..if self.dice(50) == 0 { 2 } else { 1 } {
                let late = i64::from(self.dice(30_000));
                if self.dice(1_000) >= self.lost {
                    self.letters.push((Time(now.0 + late), who, to as u16, note.clone()));
                }
            }
        }
        self.hand_over();
    }

    /// The primary moves where that is asked for.
    fn hand_over(&mut self) {
        let handing: Vec<u64> = self
            .poolers
            .iter()
            .flatten()
            .filter_map(|pooler| pooler.work.current_plan())
            .flat_map(|(plan, record)| {
                let places = record
                    .states
                    .iter()
                    .enumerate()
                    .filter(|(_, state)| **state == MachineState::HandingOver);
                places.map(|(at, _)| plan.machines[at]).collect::<Vec<_>>()
            })
            .collect();
        for machine in handing {
            let of = self.facts.machines.iter().position(|of| of.machine == machine).unwrap();
            if self.facts.machines[of].primary {
                let group = self.facts.machines[of].group;
                let heir =
                    self.facts.machines.iter().position(|of| of.group == group && !of.primary).unwrap();
                self.facts.machines[of].primary = false;
                self.facts.machines[heir].primary = true;
            }
        }
    }

    /// Somebody else takes the lease. The one before may go on believing that it is his.
    fn elect(&mut self, also: bool) {
        let token = Token(self.holders.values().map(|token| token.0).max().unwrap_or(0).max(self.lives) + 1);
        self.lives = self.lives.max(token.0);
        let able: Vec<u16> = (0..self.count)
            .filter(|of| {
                self.poolers[usize::from(*of)].as_ref().is_some_and(|pooler| pooler.work.has_started())
            })
            .collect();
        if able.is_empty() {
            return;
        }
        let next = able[self.dice(able.len() as u32) as usize];
        if !also {
            self.holders.clear();
        }
        self.holders.insert(next, token);
    }

    fn view(&self) -> Option<PlanView> {
        let leads = |pooler: &&Pooler| pooler.work.view(self.now).leads;
        self.poolers.iter().flatten().find(leads).map(|pooler| pooler.work.view(self.now))
    }

    /// Waits for a call's outcome, with steps of the fleet.
    fn call(&mut self, at: u16, verb: Command, plan: PlanId, place: usize) -> Option<CommandResult> {
        let now = self.now;
        let pooler = self.poolers[usize::from(at)].as_mut()?;
        let call = pooler.work.queue_command(now, verb, plan, place as u16)?;
        for _ in 0..400 {
            self.step();
            let said =
                self.poolers[usize::from(at)].as_mut().and_then(|pooler| pooler.work.take_result(call));
            if said.is_some() {
                return said;
            }
        }
        None
    }

    /// Works on what is free, and says so at any pooler.
    fn work(&mut self, lasts: i64) {
        let Some(view) = self.view() else { return };
        let over: Vec<u64> =
            self.at_work.iter().filter(|(_, until)| **until <= self.now).map(|(of, _)| *of).collect();
        for machine in over {
            // Work is done; from here on it may be used, whenever that is known.
            self.at_work.remove(&machine);
            self.worked.insert(machine);
        }
        for (place, machine) in view.machines.iter().enumerate() {
            let any = self.dice(u32::from(self.count)) as u16;
            if machine.state.is_free() && !self.worked.contains(&machine.machine) {
                if self.call(any, Command::Begin, view.plan, place) == Some(CommandResult::Done) {
                    let until = Time(self.now.0 + lasts);
                    self.at_work.entry(machine.machine).or_insert(until);
                }
                return;
            }
            if machine.state == MachineState::AtWork && !self.at_work.contains_key(&machine.machine) {
                // Its begin was not answered in time, or it is done.
                self.worked.insert(machine.machine);
                self.call(any, Command::Done, view.plan, place);
                return;
            }
        }
    }
}

fn run(seed: u64) -> (usize, i64) {
    let (count, groups) = (8, 3);
    let mut fleet = Fleet::new(count, seed, groups);
    for _ in 0..100 {
        fleet.step();
    }
    fleet.elect(false);
    let machines: Vec<u64> = fleet.facts.machines.iter().map(|of| of.machine).collect();
    let now = fleet.now;
    let (id, call) =
        fleet.poolers[5].as_mut().unwrap().work.submit(now, MachineKind::Servers, machines).unwrap();
    for _ in 0..200 {
        fleet.step();
    }
    assert_eq!(
        fleet.poolers[5].as_mut().unwrap().work.take_result(call),
        Some(CommandResult::Done),
        "seed {seed}"
    );
    let mut dead: Option<(u16, Time)> = None;
    let mut faults = 0;
    while fleet.now < Time(600_000_000) {
        fleet.step();
        fleet.work(200_000);
        if fleet.dice(60) == 0 && dead.is_none() {
            faults += 1;
            let any = fleet.dice(u32::from(count)) as u16;
            match fleet.dice(4) {
                0 => fleet.elect(false),
                1 => fleet.elect(true),
                2 => {
                    fleet.kill(any);
                    dead = Some((any, Time(fleet.now.0 + 300_000)));
                    fleet.elect(false);
                }
                _ => {
                    fleet.cut.insert(any);
                    dead = Some((any, Time(fleet.now.0 + 500_000)));
                    if fleet.dice(2) == 0 {
                        fleet.elect(true);
                    }
                }
            }
        }
        if let Some((of, _)) = dead.filter(|(_, until)| *until <= fleet.now) {
            if !fleet.cut.remove(&of) {
                fleet.start(of);
            }
            dead = None;
        }
        if fleet.holders.is_empty() || fleet.view().is_none() && fleet.dice(100) == 0 {
            fleet.elect(false);
        }
        let over = fleet.view().is_some_and(|view| view.plan == id && view.mode == Mode::Idle);
        if over {
            let view = fleet.view().unwrap();
            assert!(view.machines.iter().all(|of| of.state == MachineState::Back), "seed {seed}: {view:?}");
            break;
        }
    }
    assert_eq!(fleet.sends_to_work, 0, "seed {seed}: sent to a machine that was worked on");
    assert!(fleet.most_out <= limits().total, "seed {seed}: {} were out", fleet.most_out);
    assert_eq!(fleet.worked.len(), usize::from(groups * 3), "seed {seed}: {:?}", fleet.view());
    (faults, fleet.now.0)
}

#[test]
fn a_plan_is_carried_out_whoever_dies_and_nothing_is_sent_where_work_is_done() {
    let mut faults = 0;
    for seed in 0..40 {
        faults += run(seed).0;
    }
    assert!(faults > 200, "{faults} faults were caused");
}

#[test]
fn a_holder_hears_what_others_bear_of_more_groups_than_one_word_has_room_for() {
    let mut fleet = Fleet::new(3, 1, 3);
    fleet.lost = 0;
    for _ in 0..50 {
        fleet.step();
    }
    fleet.elect(false);
    let machines: Vec<u64> = fleet.facts.machines.iter().map(|of| of.machine).collect();
    let now = fleet.now;
    fleet.poolers[0].as_mut().unwrap().work.submit(now, MachineKind::Servers, machines).unwrap();
    let groups = 3 * Heartbeat::MOST_LOADS as u16 + 1;
    fleet.loads = (0..groups).map(|group| GroupLoad { group, current: group, peak: 2 * group }).collect();
    for _ in 0..150 {
        fleet.step();
    }
    let holder = fleet.holders.keys().next().copied().unwrap();
    let heard = fleet.poolers[usize::from(holder)].as_ref().unwrap().work.loads(fleet.now);
    for group in 0..groups {
        let all = 3.0 * f64::from(group);
        assert_eq!(heard.get(&group), Some(&(all, 2.0 * all)), "group {group} of {groups}");
    }
}

/// A pooler that stands alone before the test, which reads and writes all of its letters.
struct Alone {
    work: Coordinator<FullRegisterRules>,
    now: Time,
    /// Whom its last word went to.
    word_to: Option<u16>,
    /// The round of its last question.
    round: u32,
}

impl Alone {
    /// Number 4 of five, voters are 0, 1 and 2, just started.
    fn start() -> Self {
        let setup = CoordinatorSetup {
            me: PoolerInstance { number: 4, incarnation: 9 },
            seed: 9,
            fleet: 5,
            voters: [0, 1, 2].into(),
            previous: vec![],
            heartbeat_interval: EVERY,
            start_timeout: Span::millis(3_600_000),
            server_limits: limits(),
            pooler_limits: limits(),
        };
        Self { work: Coordinator::new(Time(0), setup), now: Time(0), word_to: None, round: 0 }
    }

    fn hear(&mut self, from: u16, note: Message) {
        self.work.receive(self.now, PoolerInstance { number: from, incarnation: 1 }, note);
    }

    /// Ten milliseconds, with the lease held by `holder` as far as is known here, and nothing out anywhere.
    fn step(&mut self, holder: Option<u16>) {
        self.now = Time(self.now.0 + 10_000);
        let clear = self
            .work
            .current_plan()
            .map_or(MachineSet::default(), |(_, record)| MachineSet::of(record.out()));
        let own = LocalState { holder, clear, clear_revision: self.work.revision(), ..LocalState::default() };
        self.work.tick(self.now, &own, &|_| FleetInfo::default());
        for (to, note) in self.work.take_messages() {
            let To::One(to) = to else { panic!("work is told one by one") };
            match note {
                Message::Heartbeat(_) => self.word_to = Some(to as u16),
                Message::Read { round, .. } => self.round = round,
                _ => {}
            }
        }
    }

    /// A voter answers its last question.
    fn seen(&mut self, from: u16, record: &Record) {
        let (round, promised, record) = (self.round, record.token, record.clone());
        self.hear(from, Message::Seen { round, own: 1, blank: false, promised, record });
    }
}

/// One machine that leaves, as the holder of a token has it stored.
fn leaving() -> (Plan, Record) {
    let plan = Plan { kind: MachineKind::Servers, machines: vec![1_001], nonce: 1 };
    let record = Record { token: Token(7), version: 2, states: vec![MachineState::Leaving], ..record(&plan) };
    (plan, record)
}

fn part(plan: &Plan) -> Message {
    let machines = plan.machines.clone();
    Message::Part { plan: plan.id(), kind: plan.kind, nonce: plan.nonce, count: 1, at: 0, machines }
}

#[test]
fn who_was_told_while_it_still_read_speaks_to_who_told_it() {
    // The holder's letter comes between a start's question and its answers, and its sender is no voter.
    for late in [false, true] {
        let (plan, record) = leaving();
        let mut pooler = Alone::start();
        pooler.step(None);
        pooler.hear(3, Message::Tell { record: record.clone() });
        pooler.hear(3, part(&plan));
        pooler.step(None);
        assert_eq!(pooler.word_to, Some(3), "it was told, and says so");
        assert!(!pooler.work.has_started());
        if late {
            // The answers are of before the holder wrote.
            let before = Record { token: Token(6), version: 9, ..record.clone() };
            [0, 1].into_iter().for_each(|voter| pooler.seen(voter, &before));
        } else {
            [0, 1].into_iter().for_each(|voter| pooler.seen(voter, &record));
        }
        assert!(pooler.work.has_started());
        for _ in 0..100 {
            pooler.word_to = None;
            (0..15).for_each(|_| pooler.step(None));
            assert_eq!(pooler.word_to, Some(3), "late {late}: the holder waits for its word");
        }
    }
}

#[test]
fn who_has_read_and_was_not_told_speaks_to_who_holds_the_lease() {
    let (plan, record) = leaving();
    let mut pooler = Alone::start();
    pooler.step(Some(3));
    [0, 1].into_iter().for_each(|voter| pooler.seen(voter, &record));
    pooler.hear(0, part(&plan));
    pooler.step(Some(3));
    [0, 1].into_iter().for_each(|voter| pooler.seen(voter, &record));
    assert!(pooler.work.has_started());
    (0..15).for_each(|_| pooler.step(Some(3)));
    assert_eq!(pooler.word_to, Some(3), "voters have told what there is, and not whose it is");
}

/// A fleet that loses no letter, in which pooler 3 holds the lease; it is no voter.
fn led_by_pooler_3(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(5, seed, 1);
    fleet.lost = 0;
    (0..50).for_each(|_| fleet.step());
    fleet.holders.insert(3, Token(100));
    fleet.lives = 100;
    (0..50).for_each(|_| fleet.step());
    fleet
}

/// A fleet in which pooler 3 holds the lease, and a plan for one machine waits for pooler 4, which has something out there.
fn waits_for_pooler_4(seed: u64) -> Fleet {
    let mut fleet = led_by_pooler_3(seed);
    let machine = fleet.facts.machines[1].machine;
    let now = fleet.now;
    fleet.poolers[0].as_mut().unwrap().work.submit(now, MachineKind::Servers, vec![machine]).unwrap();
    for _ in 0..300 {
        let busy = &mut fleet.poolers[4].as_mut().unwrap().busy;
        busy.insert(machine, Time(i64::MAX));
        fleet.step();
        // A later send there would end sooner.
        fleet.poolers[4].as_mut().unwrap().busy.insert(machine, Time(i64::MAX));
    }
    let of = &fleet.view().unwrap().machines[0];
    assert_eq!((of.state, &of.unconfirmed), (MachineState::Leaving, &vec![4]), "seed {seed}");
    fleet
}

/// The machine is free in less than so many words' time.
fn free_within(fleet: &mut Fleet, words: i64, seed: u64) {
    let end = fleet.now + Span(EVERY.0 * words);
    while fleet.view().is_none_or(|view| view.machines[0].state != MachineState::Free) {
        assert!(fleet.now < end, "seed {seed}: {:?}", fleet.view());
        fleet.step();
    }
}

#[test]
fn who_starts_again_while_a_machine_waits_for_it_is_heard() {
    for seed in 0..20 {
        let mut fleet = waits_for_pooler_4(seed);
        fleet.kill(4);
        (0..10).for_each(|_| fleet.step());
        fleet.start(4);
        free_within(&mut fleet, 20, seed);
    }
}

#[test]
fn who_has_said_a_word_of_the_record_and_falls_silent_is_told_again() {
    for seed in 0..20 {
        let mut fleet = waits_for_pooler_4(seed);
        // A record of this age from somebody who does not lead: that one is spoken to from now on.
        let record = fleet.poolers[0].as_ref().unwrap().work.current_plan().unwrap().1.clone();
        let now = fleet.now;
        let pooler = fleet.poolers[4].as_mut().unwrap();
        pooler.work.receive(now, PoolerInstance { number: 0, incarnation: 1 }, Message::Tell { record });
        pooler.busy.clear();
        free_within(&mut fleet, 20, seed);
    }
}

#[test]
fn who_leads_and_is_told_its_own_record_goes_on_speaking_to_itself() {
    let mut fleet = led_by_pooler_3(1);
    let now = fleet.now;
    let machine = fleet.facts.machines[1].machine;
    fleet.poolers[0].as_mut().unwrap().work.submit(now, MachineKind::Servers, vec![machine]).unwrap();
    while fleet.view().is_none_or(|view| view.machines.is_empty()) {
        fleet.step();
    }
    assert_eq!(fleet.view().unwrap().machines[0].state, MachineState::Waiting);
    let record = fleet.poolers[3].as_ref().unwrap().work.current_plan().unwrap().1.clone();
    let now = fleet.now;
    let leader = fleet.poolers[3].as_mut().unwrap();
    leader.work.receive(now, PoolerInstance { number: 0, incarnation: 1 }, Message::Tell { record });
    free_within(&mut fleet, 40, 1);
}

#[test]
fn a_late_letter_of_an_earlier_life_does_not_put_it_in_the_place_of_the_present_one() {
    for seed in 0..20 {
        let mut fleet = waits_for_pooler_4(seed);
        let old = fleet.poolers[4].as_ref().unwrap().who;
        let of = fleet.poolers[4].as_ref().unwrap().work.current_plan().unwrap().1;
        let (plan, token, version) = (of.plan, of.token, of.version);
        fleet.kill(4);
        (0..300).for_each(|_| fleet.step());
        fleet.start(4);
        // Its new life is heard, and keeps the machine busy.
        let machine = fleet.facts.machines[1].machine;
        for _ in 0..100 {
            fleet.poolers[4].as_mut().unwrap().busy.insert(machine, Time(i64::MAX));
            fleet.step();
        }
        // Now what its earlier life has said last, which has been on its way since.
        let word = Heartbeat { plan, token, version, ..Heartbeat::default() };
        let now = fleet.now;
        fleet.poolers[3].as_mut().unwrap().work.receive(now, old, Message::Heartbeat(word));
        fleet.poolers[4].as_mut().unwrap().busy.clear();
        free_within(&mut fleet, 20, seed);
    }
}

fn any_record() -> impl Strategy<Value = Record> {
    let states = prop::collection::vec(0..MachineState::ALL.len(), 0..=MAX_MACHINES);
    (any::<u64>(), any::<u32>(), any::<u64>(), 0..4_usize, states).prop_map(
        |(token, version, plan, mode, states)| Record {
            token: Token(token),
            version,
            plan: PlanId(plan),
            mode: Mode::ALL[mode],
            states: states.into_iter().map(|of| MachineState::ALL[of]).collect(),
        },
    )
}

fn any_note() -> impl Strategy<Value = Message> {
    let numbers = prop::collection::vec(any::<u32>(), 0..=MAX_VOTERS);
    let word =
        (any::<[u64; 2]>(), any::<u32>(), prop::collection::btree_set(0..MAX_MACHINES, 0..40), any::<bool>());
    let rest = (
        prop::collection::vec(any::<u64>(), 0..=Heartbeat::MOST_FAILING),
        prop::collection::vec(any::<[u16; 3]>(), 0..=Heartbeat::MOST_LOADS),
    );
    let part =
        (any::<[u64; 2]>(), any::<bool>(), any::<[u16; 2]>(), prop::collection::vec(any::<u64>(), 0..=PART));
    prop_oneof![
        any::<(u32, u64, u32)>().prop_map(|(round, promise, own)| Message::Read {
            round,
            promise: Token(promise),
            own
        }),
        (any::<(u32, u32, bool, u64)>(), any_record()).prop_map(|((round, own, blank, promised), record)| {
            Message::Seen { round, own, blank, promised: Token(promised), record }
        }),
        (numbers, any_record()).prop_map(|(numbers, record)| Message::Write { numbers, record }),
        any::<(u64, u32, u32, bool, u64)>().prop_map(|(token, version, own, refused, promised)| {
            Message::Stored { token: Token(token), version, own, refused, promised: Token(promised) }
        }),
        any_record().prop_map(|record| Message::Tell { record }),
        (word, rest, any::<u16>()).prop_map(
            |(([plan, token], version, clear, blank), (failing, loads), zone)| {
                let loads = loads
                    .into_iter()
                    .map(|[group, now, peak]| GroupLoad { group, current: now, peak })
                    .collect();
                let (plan, token, clear) = (PlanId(plan), Token(token), MachineSet::of(clear));
                Message::Heartbeat(Heartbeat { plan, token, version, clear, blank, zone, failing, loads })
            }
        ),
        any::<(u64, u16)>().prop_map(|(plan, at)| Message::Wants { plan: PlanId(plan), at }),
        part.prop_map(|([plan, nonce], poolers, [count, at], machines)| Message::Part {
            plan: PlanId(plan),
            kind: if poolers { MachineKind::Poolers } else { MachineKind::Servers },
            nonce,
            count,
            at,
            machines
        }),
        (any::<(u32, u64, u16)>(), 0..8_usize).prop_map(|((call, plan, at), verb)| Message::Call {
            call,
            verb: Command::ALL[verb],
            plan: PlanId(plan),
            at
        }),
        (any::<u32>(), 0..6_usize)
            .prop_map(|(call, said)| Message::Reply { call, said: CommandResult::ALL[said] }),
    ]
}

proptest! {
    #[test]
    fn letters_are_read_whole_or_refused(note in any_note(), cut in 0..300_usize, bytes in prop::collection::vec(any::<u8>(), 0..260)) {
        let key = Key::new(b"the key of this test").unwrap();
        let sender = PoolerInstance { number: 3, incarnation: 4 };
        let datagram = Datagram { site: 1, version: 2, sender, number: 5, body: Body::Work(note) };
        let encoded = encode(&datagram, &key);
        prop_assert!(encoded.len() <= linnetdeal_coordination::lease::MAX_DATAGRAM_BYTES, "{} bytes", encoded.len());
        prop_assert_eq!(decode(&encoded, std::slice::from_ref(&key)), Ok(datagram));
        // Whoever has the key and sends anything is refused or read, and ends nothing.
        let short = encoded.len().saturating_sub(16).min(cut);
        let _ = decode(&linnetdeal_coordination::lease::append_mac(encoded[..short].to_vec(), &key), std::slice::from_ref(&key));
        let strange = [&encoded[..28], &bytes[..]].concat();
        let _ = decode(&linnetdeal_coordination::lease::append_mac(strange, &key), &[key]);
    }
}
