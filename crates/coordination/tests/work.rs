//! Tests of the order in which machines go out, and of plans carried out by a fleet of poolers in virtual time,
//! with holders that die, messages that are lost and poolers that restart.

use linnetdeal_coordination::lease::{Body, Datagram, Key, PoolerInstance, Token, decode, encode};
use linnetdeal_coordination::work::*;
use linnetdeal_core::peers::To;
use linnetdeal_core::{Span, Time};
use proptest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const HEARTBEAT_INTERVAL: Span = Span::millis(100);

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

/// Groups of three servers in three zones; each group's primary is in another zone than that of the next group.
fn facts(groups: u16) -> FleetInfo {
    let machine = |group: u16, zone: u16| MachineInfo {
        machine: u64::from(group * 10 + zone) + 1_000,
        group,
        zone,
        capacity: 100.0,
        primary: zone == group % 3,
        in_service: true,
        failing: false,
        warm: true,
    };
    let machines = (0..groups).flat_map(|group| (0..3).map(move |zone| machine(group, zone))).collect();
    FleetInfo { machines, ..FleetInfo::default() }
}

fn plan(facts: &FleetInfo) -> Plan {
    Plan {
        kind: MachineKind::Servers,
        machines: facts.machines.iter().map(|info| info.machine).collect(),
        nonce: 1,
    }
}

fn record(plan: &Plan) -> Record {
    let states = vec![MachineState::Waiting; plan.machines.len()];
    Record { token: Token(1), version: 1, plan: plan.id(), mode: Mode::Running, states }
}

/// Takes one step after another until the plan is done; machines are clear at once, and work lasts one step.
fn run_plan(
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
        for (index, (before, after)) in record.states.iter().zip(&next.states).enumerate() {
            if before != after {
                since[index] = now;
            }
            // The handover is made at once.
            if *after == MachineState::HandingOver {
                let (group, machine) = (facts.machines[index].group, plan.machines[index]);
                let new_primary =
                    facts.machines.iter().position(|info| info.group == group && info.machine != machine);
                facts.machines[index].primary = false;
                facts.machines[new_primary.unwrap()].primary = true;
            }
        }
        (record.states, record.mode) = (next.states, next.mode);
        each(step as usize, &record.states, facts);
        if record.mode == Mode::Idle {
            return record;
        }
        for (index, state) in record.states.iter_mut().enumerate() {
            if state.is_free() {
                (*state, since[index]) = (MachineState::AtWork, now);
            } else if *state == MachineState::AtWork {
                (*state, since[index]) = (MachineState::Warming, now);
            }
        }
    }
    panic!("the plan does not end: {:?}", record.states);
}

#[test]
fn all_are_worked_on_within_the_limits_replicas_first() {
    for order in [OrderPolicy::AsNamed, OrderPolicy::MostSpare, OrderPolicy::LongestRemaining] {
        let (mut facts, limits) = (facts(6), Limits { order, ..limits() });
        let first: Vec<bool> = facts.machines.iter().map(|info| info.primary).collect();
        let mut seen = BTreeMap::new();
        let end = run_plan(&mut facts, &limits, |step, states, facts| {
            let out: Vec<&MachineInfo> = states
                .iter()
                .zip(&facts.machines)
                .filter(|(state, _)| state.counts_against_limits())
                .map(|(_, info)| info)
                .collect();
            assert!(out.len() <= limits.total, "{order:?}");
            let zones: BTreeSet<u16> = out.iter().map(|info| info.zone).collect();
            let groups: BTreeSet<u16> = out.iter().map(|info| info.group).collect();
            assert!(
                zones.len() <= 1 && out.len() <= limits.per_zone && groups.len() == out.len(),
                "{order:?}"
            );
            assert!(out.iter().all(|info| !info.primary), "never a primary");
            for (index, state) in states.iter().enumerate().filter(|(_, state)| state.is_out()) {
                seen.entry(index).or_insert((step, *state));
            }
        });
        assert!(end.states.iter().all(|state| *state == MachineState::Back), "{order:?}: {:?}", end.states);
        for (index, was_primary) in first.iter().enumerate().filter(|(_, primary)| **primary) {
            let group = index / 3 * 3;
            let before = (group..group + 3)
                .filter(|other| *other != index)
                .all(|other| seen[&other].0 < seen[&index].0);
            assert!(before && *was_primary, "{order:?}: replicas before their primary");
        }
    }
}

#[test]
fn machines_without_work_come_back_when_others_die() {
    let (mut facts, limits) = (facts(6), limits());
    let plan = plan(&facts);
    let mut record = record(&plan);
    let since = vec![Time(0); 18];
    let step = |record: &Record, facts: &FleetInfo, clear: bool| {
        next_step(Time(0), &plan, record, &since, facts, &limits, &|_| clear)
    };
    let first = step(&record, &facts, false);
    let out: Vec<usize> = (0..18).filter(|index| first.states[*index].is_leaving()).collect();
    assert_eq!(out.len(), 2, "as many as a zone allows: {:?}", first.wait_reasons);
    assert_eq!(first.wait_reasons.len(), 16, "each other machine has a reason to wait");
    record.states = first.states;
    record.states[out[0]] = MachineState::AtWork;
    record.states[out[1]] = MachineState::Free;
    // One server in each zone dies.
    for zone in 0..3 {
        let dying = facts.machines.iter().position(|info| {
            info.zone == zone && !info.primary && !out.contains(&usize::from(info.group * 3 + zone))
        });
        facts.machines[dying.unwrap()].failing = true;
    }
    let after_failures = step(&record, &facts, false);
    assert_eq!(after_failures.states[out[0]], MachineState::AtWork, "work has begun and cannot be undone");
    assert_eq!(after_failures.states[out[1]], MachineState::Waiting);
    assert_eq!(after_failures.wait_reasons[&out[1]], WaitReason::LimitsBroken);
    record.states = after_failures.states;
    let after = step(&record, &facts, false).states;
    let newly_out = (0..18).filter(|index| after[*index] != record.states[*index]);
    assert!(
        newly_out.clone().all(|index| facts.machines[index].failing),
        "only dead machines go out: {after:?}"
    );
    // Forced by an operator, it goes out nevertheless, and stays out.
    record.states[out[1]] = MachineState::Forced;
    record.states = step(&record, &facts, false).states;
    assert_eq!(record.states[out[1]], MachineState::ForcedLeaving);
    assert_eq!(step(&record, &facts, false).states, record.states);
    assert_eq!(step(&record, &facts, true).states[out[1]], MachineState::ForcedFree);
}

#[test]
fn steps_respect_the_load_and_infeasible_plans_are_refused() {
    let (mut facts, limits) = (facts(2), limits());
    let plan = plan(&facts);
    let since = vec![Time(0); 6];
    facts.loads = [(0, (50.0, 250.0)), (1, (150.0, 160.0))].into();
    let step = |facts: &FleetInfo, limits: &Limits| {
        next_step(Time(0), &plan, &record(&plan), &since, facts, limits, &|_| false)
    };
    let next = step(&facts, &limits);
    let why: Vec<_> =
        next.wait_reasons.values().filter(|why| matches!(why, WaitReason::Capacity(..))).collect();
    assert_eq!(
        why,
        [&WaitReason::Capacity(200.0, 250.0), &WaitReason::Capacity(200.0, 250.0)],
        "the peak counts: {:?}",
        next.wait_reasons
    );
    assert!(next.states[3..].iter().any(|state| state.is_leaving()), "the other group has capacity");
    assert!(check_feasible(&plan, &facts, &limits).is_ok(), "the load may fall");
    let never = check_feasible(&plan, &facts, &Limits { min_warm: 2, ..limits.clone() });
    assert_eq!(never, Err((0, WaitReason::WarmReplicas(1))));
    assert_eq!(
        check_feasible(&plan, &facts, &Limits { per_zone: 0, ..limits.clone() }),
        Err((0, WaitReason::ZoneLimit(0)))
    );
    // The only warm replica stays; a group whose primary is changing waits.
    facts.loads.clear();
    facts.machines[1].warm = false;
    facts.changing_primary.insert(1);
    let next = step(&facts, &Limits { zones: 3, total: 9, per_group: 3, ..limits.clone() });
    assert_eq!(next.wait_reasons[&2], WaitReason::WarmReplicas(0));
    assert_eq!(
        (&next.wait_reasons[&4], &next.wait_reasons[&0]),
        (&WaitReason::PrimaryChanging, &WaitReason::ReplicasFirst)
    );
    facts.quiet_hours = true;
    assert!(step(&facts, &limits).wait_reasons.values().all(|why| *why == WaitReason::QuietHours));
}

#[test]
fn poolers_go_one_zone_at_a_time_and_one_voter_at_a_time() {
    let pooler = |number: u64| MachineInfo {
        machine: number,
        zone: number as u16 % 2,
        in_service: true,
        warm: true,
        ..MachineInfo::default()
    };
    let facts = FleetInfo {
        machines: (0..10).map(pooler).collect(),
        voters: [0, 2, 4].into(),
        ..FleetInfo::default()
    };
    let plan = Plan { kind: MachineKind::Poolers, machines: (0..10).collect(), nonce: 1 };
    let limits = Limits { total: 4, per_zone: 4, ..limits() };
    let next = next_step(Time(0), &plan, &record(&plan), &[Time(0); 10], &facts, &limits, &|_| false);
    let out: Vec<usize> = (0..10).filter(|index| next.states[*index].is_out()).collect();
    assert_eq!(out, [0, 6, 8], "{:?}", next.wait_reasons);
    assert_eq!(
        (&next.wait_reasons[&2], &next.wait_reasons[&1]),
        (&WaitReason::Voters, &WaitReason::OtherZones(1))
    );
}

/// A pooler of the fleet.
struct Pooler {
    work: Coordinator<FullRegisterRules>,
    instance: PoolerInstance,
    /// Machines with requests under way, and when those end.
    busy: BTreeMap<u64, Time>,
}

struct Fleet {
    now: Time,
    count: u16,
    rng: ChaCha8Rng,
    poolers: Vec<Option<Pooler>>,
    /// Messages in flight: time of arrival, sender, receiver, message.
    messages: Vec<(Time, PoolerInstance, u16, Message)>,
    /// Last number drawn for an incarnation, a seed or a token.
    last_number: u64,
    /// The poolers that take themselves for the holder of the lease, with their tokens.
    holders: BTreeMap<u16, Token>,
    facts: FleetInfo,
    /// Machines that are worked on, and until when.
    at_work: BTreeMap<u64, Time>,
    worked: BTreeSet<u64>,
    sends_to_work: usize,
    most_out: usize,
    /// Poolers that can neither send nor receive.
    cut_off: BTreeSet<u16>,
    lost_per_mille: u32,
    /// The load that each pooler reports.
    loads: Vec<GroupLoad>,
}

impl Fleet {
    fn new(count: u16, seed: u64, groups: u16) -> Self {
        let mut fleet = Self {
            now: Time(0),
            count,
            rng: ChaCha8Rng::seed_from_u64(seed),
            poolers: (0..count).map(|_| None).collect(),
            messages: Vec::new(),
            last_number: 0,
            holders: BTreeMap::new(),
            facts: facts(groups),
            at_work: BTreeMap::new(),
            worked: BTreeSet::new(),
            sends_to_work: 0,
            most_out: 0,
            cut_off: BTreeSet::new(),
            lost_per_mille: 50,
            loads: Vec::new(),
        };
        (0..count).for_each(|number| fleet.start(number));
        fleet
    }

    fn random_below(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    fn start(&mut self, number: u16) {
        self.last_number += 1;
        let instance = PoolerInstance { number, incarnation: self.last_number };
        let setup = CoordinatorSetup {
            me: instance,
            seed: self.last_number,
            fleet: self.count,
            voters: [0, 1, 2].into(),
            previous: vec![],
            heartbeat_interval: HEARTBEAT_INTERVAL,
            start_timeout: Span::millis(3_600_000),
            server_limits: limits(),
            pooler_limits: limits(),
        };
        let work = Coordinator::new(self.now, setup);
        self.poolers[usize::from(number)] = Some(Pooler { work, instance, busy: BTreeMap::new() });
        self.holders.remove(&number);
    }

    fn kill(&mut self, number: u16) {
        self.poolers[usize::from(number)] = None;
        self.holders.remove(&number);
    }

    /// Advances by ten milliseconds.
    fn step(&mut self) {
        self.now = Time(self.now.0 + 10_000);
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.messages.drain(..).partition(|(due_at, ..)| *due_at <= now);
        self.messages = later;
        for (_, from, to, message) in due {
            if self.cut_off.contains(&to) || self.cut_off.contains(&from.number) {
                continue;
            }
            if let Some(pooler) = &mut self.poolers[usize::from(to)] {
                pooler.work.receive(now, from, message);
            }
        }
        // Counts for each machine the poolers that take it for out.
        let (facts, mut kept_out) = (self.facts.clone(), BTreeMap::new());
        let mut sent = Vec::new();
        for number in 0..self.count {
            let token = self.holders.get(&number).copied();
            let send = self.rng.next_u32();
            let Some(pooler) = &mut self.poolers[usize::from(number)] else { continue };
            pooler.busy.retain(|_, until| *until > now);
            let mut out = BTreeSet::new();
            if let Some((plan, record)) = pooler.work.current_plan() {
                out.extend(record.out().map(|index| plan.machines[index]));
            }
            out.iter().for_each(|id| *kept_out.entry(*id).or_insert(0) += 1);
            if pooler.work.has_started() {
                let machine = facts.machines[send as usize % facts.machines.len()].machine;
                if !out.contains(&machine) {
                    self.sends_to_work += usize::from(self.at_work.contains_key(&machine));
                    pooler.busy.insert(machine, Time(now.0 + i64::from(send >> 8) % 80_000));
                }
            }
            let clear = match pooler.work.current_plan() {
                Some((plan, record)) => MachineSet::of(
                    record.out().filter(|index| !pooler.busy.contains_key(&plan.machines[*index])),
                ),
                None => MachineSet::default(),
            };
            let holder = self.holders.iter().max_by_key(|(_, token)| **token).map(|(id, _)| *id);
            let (clear_revision, loads) = (pooler.work.revision(), self.loads.clone());
            let local = LocalState { token, holder, clear, clear_revision, loads, ..LocalState::default() };
            pooler.work.tick(now, &local, &|_| facts.clone());
            let instance = pooler.instance;
            sent.extend(pooler.work.take_messages().into_iter().map(|outgoing| (instance, outgoing)));
        }
        // A machine counts as out if it is worked on or if most poolers do not use it: a pooler that was cut
        // off learns late that a machine is back.
        let half = self.poolers.iter().flatten().count() / 2;
        let mut out_now: BTreeSet<u64> =
            kept_out.into_iter().filter(|(_, by)| *by > half).map(|(id, _)| id).collect();
        out_now.extend(self.at_work.keys().copied());
        self.most_out = self.most_out.max(out_now.len());
        for (instance, (to, message)) in sent {
            let To::One(to) = to else { panic!("messages are sent to single poolers") };
            for _ in 0..if self.random_below(50) == 0 { 2 } else { 1 } {
                let late = i64::from(self.random_below(30_000));
                if self.random_below(1_000) >= self.lost_per_mille {
                    self.messages.push((Time(now.0 + late), instance, to as u16, message.clone()));
                }
            }
        }
        self.hand_over();
    }

    /// Moves the primary where a handover is requested.
    fn hand_over(&mut self) {
        let requested: Vec<u64> = self
            .poolers
            .iter()
            .flatten()
            .filter_map(|pooler| pooler.work.current_plan())
            .flat_map(|(plan, record)| {
                let indexes = record
                    .states
                    .iter()
                    .enumerate()
                    .filter(|(_, state)| **state == MachineState::HandingOver);
                indexes.map(|(index, _)| plan.machines[index]).collect::<Vec<_>>()
            })
            .collect();
        for machine in requested {
            let handing_over = self.facts.machines.iter().position(|info| info.machine == machine).unwrap();
            if self.facts.machines[handing_over].primary {
                let group = self.facts.machines[handing_over].group;
                let new_primary =
                    self.facts.machines.iter().position(|info| info.group == group && !info.primary).unwrap();
                self.facts.machines[handing_over].primary = false;
                self.facts.machines[new_primary].primary = true;
            }
        }
    }

    /// Gives the lease to another pooler. With `keep_previous` the former holder still takes itself for the
    /// holder.
    fn change_holder(&mut self, keep_previous: bool) {
        let token =
            Token(self.holders.values().map(|token| token.0).max().unwrap_or(0).max(self.last_number) + 1);
        self.last_number = self.last_number.max(token.0);
        let able: Vec<u16> = (0..self.count)
            .filter(|number| {
                self.poolers[usize::from(*number)].as_ref().is_some_and(|pooler| pooler.work.has_started())
            })
            .collect();
        if able.is_empty() {
            return;
        }
        let next = able[self.random_below(able.len() as u32) as usize];
        if !keep_previous {
            self.holders.clear();
        }
        self.holders.insert(next, token);
    }

    fn view(&self) -> Option<PlanView> {
        let leads = |pooler: &&Pooler| pooler.work.view(self.now).leads;
        self.poolers.iter().flatten().find(leads).map(|pooler| pooler.work.view(self.now))
    }

    /// Issues a command and waits for its result.
    fn run_command(
        &mut self,
        number: u16,
        command: Command,
        plan: PlanId,
        index: usize,
    ) -> Option<CommandResult> {
        let now = self.now;
        let pooler = self.poolers[usize::from(number)].as_mut()?;
        let id = pooler.work.queue_command(now, command, plan, index as u16)?;
        for _ in 0..400 {
            self.step();
            let result =
                self.poolers[usize::from(number)].as_mut().and_then(|pooler| pooler.work.take_result(id));
            if result.is_some() {
                return result;
            }
        }
        None
    }

    /// Works on free machines, and reports that to any pooler.
    fn work(&mut self, duration: i64) {
        let Some(view) = self.view() else { return };
        let finished: Vec<u64> =
            self.at_work.iter().filter(|(_, until)| **until <= self.now).map(|(id, _)| *id).collect();
        for machine in finished {
            // The work is done: from here on the machine may be used.
            self.at_work.remove(&machine);
            self.worked.insert(machine);
        }
        for (index, machine) in view.machines.iter().enumerate() {
            let any = self.random_below(u32::from(self.count)) as u16;
            if machine.state.is_free() && !self.worked.contains(&machine.machine) {
                if self.run_command(any, Command::Begin, view.plan, index) == Some(CommandResult::Done) {
                    let until = Time(self.now.0 + duration);
                    self.at_work.entry(machine.machine).or_insert(until);
                }
                return;
            }
            if machine.state == MachineState::AtWork && !self.at_work.contains_key(&machine.machine) {
                // The command to begin was not answered in time, or the work is done.
                self.worked.insert(machine.machine);
                self.run_command(any, Command::Done, view.plan, index);
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
    fleet.change_holder(false);
    let machines: Vec<u64> = fleet.facts.machines.iter().map(|info| info.machine).collect();
    let now = fleet.now;
    let (plan_id, command_id) =
        fleet.poolers[5].as_mut().unwrap().work.submit(now, MachineKind::Servers, machines).unwrap();
    for _ in 0..200 {
        fleet.step();
    }
    assert_eq!(
        fleet.poolers[5].as_mut().unwrap().work.take_result(command_id),
        Some(CommandResult::Done),
        "seed {seed}"
    );
    let mut dead: Option<(u16, Time)> = None;
    let mut faults = 0;
    while fleet.now < Time(600_000_000) {
        fleet.step();
        fleet.work(200_000);
        if fleet.random_below(60) == 0 && dead.is_none() {
            faults += 1;
            let any = fleet.random_below(u32::from(count)) as u16;
            match fleet.random_below(4) {
                0 => fleet.change_holder(false),
                1 => fleet.change_holder(true),
                2 => {
                    fleet.kill(any);
                    dead = Some((any, Time(fleet.now.0 + 300_000)));
                    fleet.change_holder(false);
                }
                _ => {
                    fleet.cut_off.insert(any);
                    dead = Some((any, Time(fleet.now.0 + 500_000)));
                    if fleet.random_below(2) == 0 {
                        fleet.change_holder(true);
                    }
                }
            }
        }
        if let Some((number, _)) = dead.filter(|(_, until)| *until <= fleet.now) {
            if !fleet.cut_off.remove(&number) {
                fleet.start(number);
            }
            dead = None;
        }
        if fleet.holders.is_empty() || fleet.view().is_none() && fleet.random_below(100) == 0 {
            fleet.change_holder(false);
        }
        let finished = fleet.view().is_some_and(|view| view.plan == plan_id && view.mode == Mode::Idle);
        if finished {
            let view = fleet.view().unwrap();
            assert!(
                view.machines.iter().all(|machine| machine.state == MachineState::Back),
                "seed {seed}: {view:?}"
            );
            break;
        }
    }
    assert_eq!(fleet.sends_to_work, 0, "seed {seed}: sent to a machine that was worked on");
    assert!(fleet.most_out <= limits().total, "seed {seed}: {} were out", fleet.most_out);
    assert_eq!(fleet.worked.len(), usize::from(groups * 3), "seed {seed}: {:?}", fleet.view());
    (faults, fleet.now.0)
}

#[test]
fn a_plan_is_completed_despite_faults_and_no_request_goes_to_a_machine_at_work() {
    let mut faults = 0;
    for seed in 0..40 {
        faults += run(seed).0;
    }
    assert!(faults > 200, "{faults} faults were caused");
}

#[test]
fn a_holder_learns_the_load_of_more_groups_than_fit_into_one_heartbeat() {
    let mut fleet = Fleet::new(3, 1, 3);
    fleet.lost_per_mille = 0;
    for _ in 0..50 {
        fleet.step();
    }
    fleet.change_holder(false);
    let machines: Vec<u64> = fleet.facts.machines.iter().map(|info| info.machine).collect();
    let now = fleet.now;
    fleet.poolers[0].as_mut().unwrap().work.submit(now, MachineKind::Servers, machines).unwrap();
    let groups = 3 * Heartbeat::MAX_LOADS as u16 + 1;
    fleet.loads = (0..groups).map(|group| GroupLoad { group, current: group, peak: 2 * group }).collect();
    for _ in 0..150 {
        fleet.step();
    }
    let holder = fleet.holders.keys().next().copied().unwrap();
    let loads = fleet.poolers[usize::from(holder)].as_ref().unwrap().work.loads(fleet.now);
    for group in 0..groups {
        let all = 3.0 * f64::from(group);
        assert_eq!(loads.get(&group), Some(&(all, 2.0 * all)), "group {group} of {groups}");
    }
}

/// A single pooler; the test sends and reads all of its messages.
struct SinglePooler {
    work: Coordinator<FullRegisterRules>,
    now: Time,
    /// Recipient of its last heartbeat.
    heartbeat_to: Option<u16>,
    /// The round of its last read.
    round: u32,
}

impl SinglePooler {
    /// Pooler 4 of five, just started; the voters are 0, 1 and 2.
    fn start() -> Self {
        let setup = CoordinatorSetup {
            me: PoolerInstance { number: 4, incarnation: 9 },
            seed: 9,
            fleet: 5,
            voters: [0, 1, 2].into(),
            previous: vec![],
            heartbeat_interval: HEARTBEAT_INTERVAL,
            start_timeout: Span::millis(3_600_000),
            server_limits: limits(),
            pooler_limits: limits(),
        };
        Self { work: Coordinator::new(Time(0), setup), now: Time(0), heartbeat_to: None, round: 0 }
    }

    fn receive(&mut self, from: u16, message: Message) {
        self.work.receive(self.now, PoolerInstance { number: from, incarnation: 1 }, message);
    }

    /// Advances by ten milliseconds; the lease is held by `holder` as far as known here, and this pooler has
    /// nothing at any machine.
    fn step(&mut self, holder: Option<u16>) {
        self.now = Time(self.now.0 + 10_000);
        let clear = self
            .work
            .current_plan()
            .map_or(MachineSet::default(), |(_, record)| MachineSet::of(record.out()));
        let local =
            LocalState { holder, clear, clear_revision: self.work.revision(), ..LocalState::default() };
        self.work.tick(self.now, &local, &|_| FleetInfo::default());
        for (to, message) in self.work.take_messages() {
            let To::One(to) = to else { panic!("messages are sent to single poolers") };
            match message {
                Message::Heartbeat(_) => self.heartbeat_to = Some(to as u16),
                Message::Read { round, .. } => self.round = round,
                _ => {}
            }
        }
    }

    /// A voter answers the last read.
    fn answer_read(&mut self, from: u16, record: &Record) {
        let (round, promised, record) = (self.round, record.token, record.clone());
        self.receive(from, Message::ReadReply { round, memory_id: 1, blank: false, promised, record });
    }
}

/// A plan with one machine that is leaving, and its record.
fn leaving() -> (Plan, Record) {
    let plan = Plan { kind: MachineKind::Servers, machines: vec![1_001], nonce: 1 };
    let record = Record { token: Token(7), version: 2, states: vec![MachineState::Leaving], ..record(&plan) };
    (plan, record)
}

fn plan_chunk(plan: &Plan) -> Message {
    let machines = plan.machines.clone();
    Message::PlanChunk { plan: plan.id(), kind: plan.kind, nonce: plan.nonce, count: 1, index: 0, machines }
}

#[test]
fn a_starting_pooler_sends_heartbeats_to_the_publisher_of_the_record() {
    // The holder, which is no voter, publishes the record between the read at start and the answers to it.
    for late in [false, true] {
        let (plan, record) = leaving();
        let mut pooler = SinglePooler::start();
        pooler.step(None);
        pooler.receive(3, Message::Publish { record: record.clone() });
        pooler.receive(3, plan_chunk(&plan));
        pooler.step(None);
        assert_eq!(pooler.heartbeat_to, Some(3), "it acknowledges the record");
        assert!(!pooler.work.has_started());
        if late {
            // The answers are from before the holder's write.
            let before = Record { token: Token(6), version: 9, ..record.clone() };
            [0, 1].into_iter().for_each(|voter| pooler.answer_read(voter, &before));
        } else {
            [0, 1].into_iter().for_each(|voter| pooler.answer_read(voter, &record));
        }
        assert!(pooler.work.has_started());
        for _ in 0..100 {
            pooler.heartbeat_to = None;
            (0..15).for_each(|_| pooler.step(None));
            assert_eq!(pooler.heartbeat_to, Some(3), "late {late}: the holder waits for its heartbeat");
        }
    }
}

#[test]
fn a_pooler_that_only_read_the_record_sends_heartbeats_to_the_lease_holder() {
    let (plan, record) = leaving();
    let mut pooler = SinglePooler::start();
    pooler.step(Some(3));
    [0, 1].into_iter().for_each(|voter| pooler.answer_read(voter, &record));
    pooler.receive(0, plan_chunk(&plan));
    pooler.step(Some(3));
    [0, 1].into_iter().for_each(|voter| pooler.answer_read(voter, &record));
    assert!(pooler.work.has_started());
    (0..15).for_each(|_| pooler.step(Some(3)));
    assert_eq!(pooler.heartbeat_to, Some(3), "voters do not say who wrote the record");
}

/// A fleet that loses no messages, in which pooler 3 holds the lease; it is no voter.
fn led_by_pooler_3(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(5, seed, 1);
    fleet.lost_per_mille = 0;
    (0..50).for_each(|_| fleet.step());
    fleet.holders.insert(3, Token(100));
    fleet.last_number = 100;
    (0..50).for_each(|_| fleet.step());
    fleet
}

/// A fleet in which pooler 3 holds the lease, and a plan for one machine waits for pooler 4, which has requests
/// there.
fn waiting_for_pooler_4(seed: u64) -> Fleet {
    let mut fleet = led_by_pooler_3(seed);
    let machine = fleet.facts.machines[1].machine;
    let now = fleet.now;
    fleet.poolers[0].as_mut().unwrap().work.submit(now, MachineKind::Servers, vec![machine]).unwrap();
    for _ in 0..300 {
        let busy = &mut fleet.poolers[4].as_mut().unwrap().busy;
        busy.insert(machine, Time(i64::MAX));
        fleet.step();
        // A later request there would end sooner.
        fleet.poolers[4].as_mut().unwrap().busy.insert(machine, Time(i64::MAX));
    }
    let machine = &fleet.view().unwrap().machines[0];
    assert_eq!((machine.state, &machine.unconfirmed), (MachineState::Leaving, &vec![4]), "seed {seed}");
    fleet
}

/// Expects the machine to be free within this many heartbeat intervals.
fn free_within(fleet: &mut Fleet, intervals: i64, seed: u64) {
    let end = fleet.now + Span(HEARTBEAT_INTERVAL.0 * intervals);
    while fleet.view().is_none_or(|view| view.machines[0].state != MachineState::Free) {
        assert!(fleet.now < end, "seed {seed}: {:?}", fleet.view());
        fleet.step();
    }
}

#[test]
fn a_pooler_that_restarts_while_a_machine_waits_for_it_confirms() {
    for seed in 0..20 {
        let mut fleet = waiting_for_pooler_4(seed);
        fleet.kill(4);
        (0..10).for_each(|_| fleet.step());
        fleet.start(4);
        free_within(&mut fleet, 20, seed);
    }
}

#[test]
fn a_pooler_that_falls_silent_is_sent_the_record_again() {
    for seed in 0..20 {
        let mut fleet = waiting_for_pooler_4(seed);
        // A record of the same revision from a pooler that does not lead: heartbeats go to that pooler from now
        // on.
        let record = fleet.poolers[0].as_ref().unwrap().work.current_plan().unwrap().1.clone();
        let now = fleet.now;
        let pooler = fleet.poolers[4].as_mut().unwrap();
        pooler.work.receive(now, PoolerInstance { number: 0, incarnation: 1 }, Message::Publish { record });
        pooler.busy.clear();
        free_within(&mut fleet, 20, seed);
    }
}

#[test]
fn a_holder_that_receives_its_own_record_keeps_its_heartbeats() {
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
    leader.work.receive(now, PoolerInstance { number: 0, incarnation: 1 }, Message::Publish { record });
    free_within(&mut fleet, 40, 1);
}

#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_does_not_replace_the_present_one() {
    for seed in 0..20 {
        let mut fleet = waiting_for_pooler_4(seed);
        let old = fleet.poolers[4].as_ref().unwrap().instance;
        let record = fleet.poolers[4].as_ref().unwrap().work.current_plan().unwrap().1;
        let (plan, token, version) = (record.plan, record.token, record.version);
        fleet.kill(4);
        (0..300).for_each(|_| fleet.step());
        fleet.start(4);
        // Its new incarnation is heard, and keeps the machine busy.
        let machine = fleet.facts.machines[1].machine;
        for _ in 0..100 {
            fleet.poolers[4].as_mut().unwrap().busy.insert(machine, Time(i64::MAX));
            fleet.step();
        }
        // The last heartbeat of the earlier incarnation arrives only now.
        let heartbeat = Heartbeat { plan, token, version, ..Heartbeat::default() };
        let now = fleet.now;
        fleet.poolers[3].as_mut().unwrap().work.receive(now, old, Message::Heartbeat(heartbeat));
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
            states: states.into_iter().map(|state| MachineState::ALL[state]).collect(),
        },
    )
}

fn any_message() -> impl Strategy<Value = Message> {
    let memory_ids = prop::collection::vec(any::<u32>(), 0..=MAX_VOTERS);
    let heartbeat =
        (any::<[u64; 2]>(), any::<u32>(), prop::collection::btree_set(0..MAX_MACHINES, 0..40), any::<bool>());
    let rest = (
        prop::collection::vec(any::<u64>(), 0..=Heartbeat::MAX_FAILING),
        prop::collection::vec(any::<[u16; 3]>(), 0..=Heartbeat::MAX_LOADS),
    );
    let part = (
        any::<[u64; 2]>(),
        any::<bool>(),
        any::<[u16; 2]>(),
        prop::collection::vec(any::<u64>(), 0..=MACHINES_PER_CHUNK),
    );
    prop_oneof![
        any::<(u32, u64, u32)>().prop_map(|(round, promise, memory_id)| Message::Read {
            round,
            promise: Token(promise),
            memory_id
        }),
        (any::<(u32, u32, bool, u64)>(), any_record()).prop_map(
            |((round, memory_id, blank, promised), record)| {
                Message::ReadReply { round, memory_id, blank, promised: Token(promised), record }
            }
        ),
        (memory_ids, any_record()).prop_map(|(memory_ids, record)| Message::Write { memory_ids, record }),
        any::<(u64, u32, u32, bool, u64)>().prop_map(|(token, version, memory_id, refused, promised)| {
            Message::WriteReply {
                token: Token(token),
                version,
                memory_id,
                refused,
                promised: Token(promised),
            }
        }),
        any_record().prop_map(|record| Message::Publish { record }),
        (heartbeat, rest, any::<u16>()).prop_map(
            |(([plan, token], version, clear, blank), (failing, loads), zone)| {
                let loads = loads
                    .into_iter()
                    .map(|[group, current, peak]| GroupLoad { group, current, peak })
                    .collect();
                let (plan, token, clear) = (PlanId(plan), Token(token), MachineSet::of(clear));
                Message::Heartbeat(Heartbeat { plan, token, version, clear, blank, zone, failing, loads })
            }
        ),
        any::<(u64, u16)>().prop_map(|(plan, index)| Message::FetchPlan { plan: PlanId(plan), index }),
        part.prop_map(|([plan, nonce], poolers, [count, index], machines)| Message::PlanChunk {
            plan: PlanId(plan),
            kind: if poolers { MachineKind::Poolers } else { MachineKind::Servers },
            nonce,
            count,
            index,
            machines
        }),
        (any::<(u32, u64, u16)>(), 0..8_usize).prop_map(|((id, plan, index), command)| Message::Command {
            id,
            command: Command::ALL[command],
            plan: PlanId(plan),
            index
        }),
        (any::<u32>(), 0..6_usize)
            .prop_map(|(id, result)| Message::CommandReply { id, result: CommandResult::ALL[result] }),
    ]
}

proptest! {
    #[test]
    fn messages_round_trip_or_are_rejected(message in any_message(), cut in 0..300_usize, bytes in prop::collection::vec(any::<u8>(), 0..260)) {
        let key = Key::new(b"the key of this test").unwrap();
        let sender = PoolerInstance { number: 3, incarnation: 4 };
        let datagram = Datagram { site: 1, version: 2, sender, number: 5, body: Body::Work(message) };
        let encoded = encode(&datagram, &key);
        prop_assert!(encoded.len() <= linnetdeal_coordination::lease::MAX_DATAGRAM_BYTES, "{} bytes", encoded.len());
        prop_assert_eq!(decode(&encoded, std::slice::from_ref(&key)), Ok(datagram));
        // Whatever a sender with the key sends is rejected or read, without a panic.
        let short = encoded.len().saturating_sub(16).min(cut);
        let _ = decode(&linnetdeal_coordination::lease::append_mac(encoded[..short].to_vec(), &key), std::slice::from_ref(&key));
        let unexpected = [&encoded[..28], &bytes[..]].concat();
        let _ = decode(&linnetdeal_coordination::lease::append_mac(unexpected, &key), &[key]);
    }
}
