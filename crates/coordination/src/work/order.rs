//! Decides which machines go out next and when they come back: from what is known of the fleet, the limits and
//! the present record to the next states.

use super::record::{MachineKind, MachineState, Mode, Plan, Record};
use linnetdeal_core::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Which of several machines that may go out goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderPolicy {
    /// In the order in which they were named.
    AsNamed,
    /// The one whose group has the most spare capacity.
    MostSpare,
    /// The one whose group and zone have the most machines still to go in relation to the limits, since nothing
    /// else can shorten that later.
    #[default]
    LongestRemaining,
}

/// What must hold while machines are out. A machine that is dead counts as out, whatever the reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of machines out at once.
    pub total: usize,
    /// Maximum number of machines out in one zone.
    pub per_zone: usize,
    /// Maximum number of machines out in one group.
    pub per_group: usize,
    /// Maximum number of zones with machines out.
    pub zones: usize,
    /// Minimum number of warm replicas that a group keeps.
    pub min_warm: usize,
    /// The remaining capacity of a group must be at least this multiple of its load, both the present one and
    /// the peak of the last hour.
    pub load_factor: f64,
    /// How long a machine counts as cold after it is back.
    pub cold_period: Span,
    /// How long to wait for another member to become the primary before the machine is left out.
    pub handover_timeout: Span,
    /// The order in which machines go out.
    pub order: OrderPolicy,
}

/// What is known of a machine, whether it is in the plan or not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineInfo {
    /// Identifies the machine, as in [`Plan::machines`].
    pub machine: u64,
    /// Its group; 0 for poolers, which have none.
    pub group: u16,
    /// Hash of its zone's name.
    pub zone: u16,
    /// Its capacity in requests per second; 0 if not known.
    pub capacity: f64,
    /// Whether it is its group's primary.
    pub primary: bool,
    /// Whether it is in service, apart from the plan.
    pub in_service: bool,
    /// Whether it fails requests sent to it.
    pub failing: bool,
    /// Whether it has been running for longer than the cold period.
    pub warm: bool,
}

/// What is known of the whole fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetInfo {
    /// The machines, each once.
    pub machines: Vec<MachineInfo>,
    /// Groups whose primary is changing or not known.
    pub changing_primary: BTreeSet<u16>,
    /// Load by group in requests per second: at present, and at the peak of the last hour.
    pub loads: BTreeMap<u16, (f64, f64)>,
    /// Machines that are no longer listed.
    pub gone: BTreeSet<u64>,
    /// No machine may go out at this hour.
    pub quiet_hours: bool,
    /// The poolers have not had time to report their load.
    pub load_unknown: bool,
    /// Poolers only: the voters, of which a majority has to stay.
    pub voters: BTreeSet<u64>,
}

/// Why a machine waits.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitReason {
    /// This many machines are out, which is the limit.
    TotalLimit(usize),
    /// This many machines of its zone are out.
    ZoneLimit(usize),
    /// This many machines of its group are out.
    GroupLimit(usize),
    /// Machines are out in this many other zones.
    OtherZones(usize),
    /// Its group would keep only this many warm replicas.
    WarmReplicas(usize),
    /// The capacity that its group would keep, and the capacity that it needs, in requests per second.
    Capacity(f64, f64),
    /// It is the primary, and other machines of its group go first.
    ReplicasFirst,
    /// The primary of its group is changing or not known.
    PrimaryChanging,
    /// No machine may go out at this hour.
    QuietHours,
    /// The poolers have not all had time to report their load.
    LoadUnknown,
    /// It is not listed at present.
    Unlisted,
    /// The plan is paused.
    Paused,
    /// Another voter is out.
    Voters,
    /// Failures outside the plan broke a limit, so that machines without work in progress come back.
    LimitsBroken,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TotalLimit(out) => write!(f, "{out} machines are out or dead, no more may be"),
            Self::ZoneLimit(out) => write!(f, "{out} machines of its zone are out or dead, no more may be"),
            Self::GroupLimit(out) => write!(f, "{out} machines of its group are out or dead, no more may be"),
            Self::OtherZones(out) => {
                write!(f, "machines are out in {out} other zones, its zone has its turn after them")
            }
            Self::WarmReplicas(left) => {
                write!(f, "its group would keep {left} warm replicas, which is too few")
            }
            Self::Capacity(keeps, needs) => {
                write!(f, "its group would keep {keeps:.1} requests a second, and needs {needs:.1}")
            }
            Self::ReplicasFirst => write!(f, "it is the primary, and others of its group come first"),
            Self::PrimaryChanging => write!(f, "the primary of its group changes, or is not known"),
            Self::QuietHours => write!(f, "nothing begins at this hour"),
            Self::LoadUnknown => write!(f, "the poolers have yet to say what they bear"),
            Self::Unlisted => write!(f, "the list does not name it at present"),
            Self::Paused => write!(f, "the plan is paused"),
            Self::Voters => write!(f, "another voter is out"),
            Self::LimitsBroken => write!(f, "others fail: what has not been touched comes back"),
        }
    }
}

/// The result of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NextStep {
    /// The states.
    pub states: Vec<MachineState>,
    /// The plan's mode.
    pub mode: Mode,
    /// Why machines wait, by index.
    pub wait_reasons: BTreeMap<usize, WaitReason>,
}

/// Which machines are available, and which count as out.
struct Availability<'f> {
    facts: &'f FleetInfo,
    limits: &'f Limits,
    kind: MachineKind,
    by_machine: BTreeMap<u64, &'f MachineInfo>,
    members: BTreeMap<u16, Vec<&'f MachineInfo>>,
    /// Out because of the plan, or out of service or failing.
    out: BTreeSet<u64>,
    /// Out because of the plan.
    planned: BTreeSet<u64>,
}

impl<'f> Availability<'f> {
    fn new(
        kind: MachineKind,
        plan: &Plan,
        states: &[MachineState],
        facts: &'f FleetInfo,
        limits: &'f Limits,
    ) -> Self {
        let by_machine: BTreeMap<u64, &MachineInfo> =
            facts.machines.iter().map(|info| (info.machine, info)).collect();
        let mut members: BTreeMap<u16, Vec<&MachineInfo>> = BTreeMap::new();
        for info in &facts.machines {
            members.entry(info.group).or_default().push(info);
        }
        let planned: BTreeSet<u64> = plan
            .machines
            .iter()
            .zip(states)
            .filter(|(_, state)| state.counts_against_limits())
            .map(|(id, _)| *id)
            .collect();
        let dead =
            facts.machines.iter().filter(|info| !info.in_service || info.failing).map(|info| info.machine);
        let out = planned.iter().copied().chain(dead).collect();
        Self { facts, limits, kind, by_machine, members, out, planned }
    }

    fn count(&self, predicate: impl Fn(&MachineInfo) -> bool) -> usize {
        self.out.iter().filter(|id| self.by_machine.get(id).is_some_and(|info| predicate(info))).count()
    }

    /// The limit that is violated at present, overall or in the zone or group of this machine.
    fn violated_limit(&self, info: &MachineInfo) -> Option<WaitReason> {
        let limits = self.limits;
        if self.out.len() > limits.total {
            return Some(WaitReason::TotalLimit(self.out.len() - 1));
        }
        let zone = self.count(|other| other.zone == info.zone);
        if zone > limits.per_zone {
            return Some(WaitReason::ZoneLimit(zone - 1));
        }
        if self.kind == MachineKind::Poolers {
            let voters = self.out.intersection(&self.facts.voters).count();
            return (voters > 1).then_some(WaitReason::Voters);
        }
        let group = self.count(|other| other.group == info.group);
        if group > limits.per_group {
            return Some(WaitReason::GroupLimit(group - 1));
        }
        let available = || {
            self.members
                .get(&info.group)
                .into_iter()
                .flatten()
                .filter(|other| !self.out.contains(&other.machine))
        };
        let warm = available().filter(|other| other.warm && !other.primary).count();
        if warm < limits.min_warm {
            return Some(WaitReason::WarmReplicas(warm));
        }
        let (now, peak) = self.facts.loads.get(&info.group).copied().unwrap_or_default();
        let keeps: f64 = available().filter(|other| other.warm).map(|other| other.capacity).sum();
        let needs = now.max(peak) * limits.load_factor;
        let known = available().any(|other| other.capacity > 0.0);
        (known && keeps < needs).then_some(WaitReason::Capacity(keeps, needs))
    }

    /// The limit that would be violated if this machine went out as well.
    fn blocked_by(&mut self, info: &MachineInfo) -> Option<WaitReason> {
        let zones: BTreeSet<u16> =
            self.planned.iter().filter_map(|id| Some(self.by_machine.get(id)?.zone)).collect();
        if !zones.contains(&info.zone) && zones.len() >= self.limits.zones {
            return Some(WaitReason::OtherZones(zones.len()));
        }
        let newly_out = self.out.insert(info.machine);
        let why = self.violated_limit(info);
        if newly_out {
            self.out.remove(&info.machine);
        }
        if newly_out {
            return why;
        }
        // The machine is out of service already: taking it out reduces nothing, so that only machines out
        // because of the plan are counted.
        let count = |predicate: &dyn Fn(&MachineInfo) -> bool| {
            self.planned
                .iter()
                .filter(|id| self.by_machine.get(id).is_some_and(|info| predicate(info)))
                .count()
        };
        let (total, zone) = (self.planned.len(), count(&|other| other.zone == info.zone));
        let group =
            if self.kind == MachineKind::Servers { count(&|other| other.group == info.group) } else { 0 };
        let limits = self.limits;
        if total >= limits.total {
            Some(WaitReason::TotalLimit(total))
        } else if zone >= limits.per_zone {
            Some(WaitReason::ZoneLimit(zone))
        } else {
            (group >= limits.per_group).then_some(WaitReason::GroupLimit(group))
        }
    }

    fn mark_out(&mut self, id: u64) {
        self.out.insert(id);
        self.planned.insert(id);
    }

    /// Whether the machines that are out because of the plan violate a limit.
    fn violates_limits(&self) -> bool {
        self.planned
            .iter()
            .filter_map(|id| self.by_machine.get(id))
            .any(|info| self.violated_limit(info).is_some())
    }
}

/// Whether a plan can be carried out when everything outside of it is healthy.
///
/// # Errors
///
/// The index of the first machine that may never go out, and why.
pub fn check_feasible(plan: &Plan, facts: &FleetInfo, limits: &Limits) -> Result<(), (usize, WaitReason)> {
    let mut best = facts.clone();
    for info in &mut best.machines {
        (info.in_service, info.failing, info.warm) = (true, false, true);
    }
    best.loads.clear();
    for (index, machine) in plan.machines.iter().enumerate() {
        let mut best = best.clone();
        let Some(place) = best.machines.iter().position(|info| info.machine == *machine) else { continue };
        // After the handover another member is the primary.
        if best.machines[place].primary {
            let group = best.machines[place].group;
            let successor =
                best.machines.iter_mut().find(|info| info.group == group && info.machine != *machine);
            successor.into_iter().for_each(|info| info.primary = true);
            best.machines[place].primary = false;
        }
        let mut availability = Availability::new(plan.kind, plan, &[], &best, limits);
        if let Some(why) = availability.blocked_by(&best.machines[place]) {
            return Err((index, why));
        }
    }
    Ok(())
}

/// Computes the next states of a plan. `since` is when each machine entered its state, and `clear` says whether
/// all poolers have confirmed that they have nothing at a machine.
#[must_use]
pub fn next_step(
    now: Time,
    plan: &Plan,
    record: &Record,
    since: &[Time],
    facts: &FleetInfo,
    limits: &Limits,
    clear: &dyn Fn(usize) -> bool,
) -> NextStep {
    let mut states = record.states.clone();
    states.resize(plan.machines.len(), MachineState::Waiting);
    let mut wait_reasons = BTreeMap::new();
    if record.mode == Mode::Idle {
        return NextStep { states, mode: Mode::Idle, wait_reasons };
    }
    let known: BTreeMap<u64, &MachineInfo> = facts.machines.iter().map(|info| (info.machine, info)).collect();
    let elapsed_in_state = |index: usize| since.get(index).map_or(Span(0), |since| now - *since);
    for (index, machine) in plan.machines.iter().enumerate() {
        let listed = known.get(machine);
        states[index] = match (states[index], listed) {
            // A list that is incomplete or not trusted yet makes no machine count as gone.
            (MachineState::Waiting | MachineState::Forced | MachineState::HandingOver, None)
                if facts.gone.contains(machine) =>
            {
                MachineState::Gone
            }
            (MachineState::Leaving, _) if clear(index) => MachineState::Free,
            (MachineState::ForcedLeaving, _) if clear(index) => MachineState::ForcedFree,
            (MachineState::Warming, Some(info))
                if info.in_service
                    && !info.failing
                    && info.warm
                    && elapsed_in_state(index) >= limits.cold_period =>
            {
                MachineState::Back
            }
            (MachineState::HandingOver, Some(info))
                if info.primary && elapsed_in_state(index) >= limits.handover_timeout =>
            {
                MachineState::NotHandedOver
            }
            (state, _) => state,
        };
        if record.mode == Mode::Cancelled && !states[index].is_final() {
            states[index] = match states[index] {
                state @ (MachineState::AtWork | MachineState::Warming) => state,
                _ => MachineState::Cancelled,
            };
        }
    }
    let mut availability = Availability::new(plan.kind, plan, &states, facts, limits);
    if availability.violates_limits() {
        for (index, state) in states.iter_mut().enumerate() {
            // A machine that is dead would be of no use if it came back.
            let dead = known.get(&plan.machines[index]).is_some_and(|info| !info.in_service || info.failing);
            if matches!(state, MachineState::Leaving | MachineState::Free) && !dead {
                *state = MachineState::Waiting;
                wait_reasons.insert(index, WaitReason::LimitsBroken);
            }
        }
        // These come back before anything else is considered.
        if states != record.states {
            return NextStep { states, mode: record.mode, wait_reasons };
        }
    }
    if record.mode == Mode::Running && !facts.quiet_hours && !facts.load_unknown {
        start_outages(plan, &mut states, &mut availability, &known, &mut wait_reasons);
    } else {
        let why = match record.mode {
            Mode::Running if facts.load_unknown => WaitReason::LoadUnknown,
            Mode::Running => WaitReason::QuietHours,
            _ => WaitReason::Paused,
        };
        let waiting = states.iter().enumerate().filter(|(_, state)| **state == MachineState::Waiting);
        wait_reasons.extend(waiting.map(|(index, _)| (index, why.clone())));
    }
    let mode = if states.iter().all(|state| state.is_final()) { Mode::Idle } else { record.mode };
    NextStep { states, mode, wait_reasons }
}

/// Takes out as many machines as the limits allow.
fn start_outages(
    plan: &Plan,
    states: &mut [MachineState],
    availability: &mut Availability<'_>,
    known: &BTreeMap<u64, &MachineInfo>,
    wait_reasons: &mut BTreeMap<usize, WaitReason>,
) {
    let unfinished: Vec<usize> = (0..states.len()).filter(|index| !states[*index].is_final()).collect();
    let remaining = |predicate: &dyn Fn(&MachineInfo) -> bool| {
        unfinished
            .iter()
            .filter(|index| known.get(&plan.machines[**index]).is_some_and(|info| predicate(info)))
            .count()
    };
    let (limits, kind) = (availability.limits, availability.kind);
    let rank = |index: usize, info: &MachineInfo, active_zones: &BTreeSet<u16>| {
        // Forced machines go first, then those that are out of service already, then those of a zone that has
        // machines out; primaries go last.
        let priority = (
            is_forced(states, index),
            info.failing || !info.in_service,
            active_zones.contains(&info.zone),
            !info.primary,
        );
        let (group, zone) = (info.group, info.zone);
        let score = match limits.order {
            OrderPolicy::AsNamed => 0.0,
            OrderPolicy::MostSpare => {
                let load = availability.facts.loads.get(&group).map_or(0.0, |(now, peak)| now.max(*peak));
                let capacity: f64 =
                    availability.members.get(&group).into_iter().flatten().map(|info| info.capacity).sum();
                capacity - load
            }
            OrderPolicy::LongestRemaining => {
                let in_zone = remaining(&|other| other.zone == zone) as f64 / limits.per_zone.max(1) as f64;
                let in_group = match kind {
                    MachineKind::Servers => {
                        remaining(&|other| other.group == group) as f64 / limits.per_group.max(1) as f64
                    }
                    MachineKind::Poolers => 0.0,
                };
                in_group.max(in_zone)
            }
        };
        (priority, score)
    };
    let active_zones: BTreeSet<u16> =
        availability.planned.iter().filter_map(|id| Some(known.get(id)?.zone)).collect();
    let mut order: Vec<(usize, _)> = unfinished
        .iter()
        .filter(|index| {
            matches!(
                states[**index],
                MachineState::Waiting | MachineState::Forced | MachineState::HandingOver
            )
        })
        .filter_map(|index| Some((*index, rank(*index, known.get(&plan.machines[*index])?, &active_zones))))
        .collect();
    order.sort_by(|(a, a_rank), (b, b_rank)| {
        b_rank.0.cmp(&a_rank.0).then(b_rank.1.total_cmp(&a_rank.1)).then(a.cmp(b))
    });
    for index in &unfinished {
        if states[*index] == MachineState::Waiting && !known.contains_key(&plan.machines[*index]) {
            wait_reasons.insert(*index, WaitReason::Unlisted);
        }
    }
    let mut handing_over: BTreeSet<u16> = BTreeSet::new();
    for (index, _) in order {
        let Some(info) = known.get(&plan.machines[index]) else { continue };
        let forced = states[index] == MachineState::Forced;
        let others_pending = || {
            (0..states.len()).any(|other_index| {
                other_index != index
                    && !states[other_index].is_final()
                    && known.get(&plan.machines[other_index]).is_some_and(|other| other.group == info.group)
            })
        };
        let why = match kind {
            MachineKind::Servers if info.primary && info.in_service && !info.failing && !forced => {
                if availability.facts.changing_primary.contains(&info.group)
                    || handing_over.contains(&info.group)
                {
                    Some(WaitReason::PrimaryChanging)
                } else if others_pending() {
                    Some(WaitReason::ReplicasFirst)
                } else {
                    availability.blocked_by(info)
                }
            }
            MachineKind::Servers
                if availability.facts.changing_primary.contains(&info.group)
                    && info.in_service
                    && !forced =>
            {
                Some(WaitReason::PrimaryChanging)
            }
            _ if forced => None,
            _ => availability.blocked_by(info),
        };
        match why {
            Some(why) => {
                if states[index] == MachineState::HandingOver && !info.primary {
                    states[index] = MachineState::Waiting;
                }
                wait_reasons.insert(index, why);
            }
            // It stays in use until another member is the primary.
            None if info.primary && info.in_service && !info.failing && !forced => {
                states[index] = MachineState::HandingOver;
                handing_over.insert(info.group);
            }
            None => {
                states[index] = if forced { MachineState::ForcedLeaving } else { MachineState::Leaving };
                availability.mark_out(info.machine);
            }
        }
    }
}

fn is_forced(states: &[MachineState], index: usize) -> bool {
    states[index] == MachineState::Forced
}
