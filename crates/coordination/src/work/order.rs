//! In which order machines go out, and what brings them back: facts, limits and a record in, the next states out.

use super::record::{MachineKind, MachineState, Mode, Plan, Record};
use linnetdeal_core::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Which of several that may go out goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderPolicy {
    /// As they were named.
    AsNamed,
    /// Whose group has most to spare.
    MostSpare,
    /// Whose group and zone have the longest way still to go: nothing else can make that shorter later on.
    #[default]
    LongestRemaining,
}

/// What must hold while machines are out. Those that are dead count as out, whoever took them out.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Out at once.
    pub total: usize,
    /// Of one zone.
    pub per_zone: usize,
    /// Of one group.
    pub per_group: usize,
    /// In so many zones at once.
    pub zones: usize,
    /// Warm replicas that a group keeps.
    pub min_warm: usize,
    /// What a group keeps can do so many times its load, now and at the last hour's peak.
    pub load_factor: f64,
    /// Back, a machine counts as cold for so long.
    pub cold_period: Span,
    /// Somebody else is primary after so long, or the machine is left out.
    pub handover_timeout: Span,
    /// The order.
    pub order: OrderPolicy,
}

/// What is known of a machine, be it of the plan or not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineInfo {
    /// Which it is.
    pub machine: u64,
    /// Its group; poolers have none.
    pub group: u16,
    /// What stands for its zone.
    pub zone: u16,
    /// Requests a second that it bears; 0 if that is not known.
    pub capacity: f64,
    /// It is its group's primary.
    pub primary: bool,
    /// By all but the plan it is in service.
    pub in_service: bool,
    /// It fails those who send to it.
    pub failing: bool,
    /// It has not started lately.
    pub warm: bool,
}

/// What is known of all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetInfo {
    /// The machines, each once.
    pub machines: Vec<MachineInfo>,
    /// Groups whose primary changes, or is not known.
    pub changing_primary: BTreeSet<u16>,
    /// Requests a second, by group: now, and at the last hour's peak.
    pub loads: BTreeMap<u16, (f64, f64)>,
    /// Machines that the list had, and has no more.
    pub gone: BTreeSet<u64>,
    /// Nothing begins at this hour.
    pub quiet_hours: bool,
    /// The poolers have not said yet what they bear.
    pub load_unknown: bool,
    /// Poolers only: voters, of which a majority stays.
    pub voters: BTreeSet<u64>,
}

/// Why a machine waits.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitReason {
    /// So many are out of all, and no more may be.
    TotalLimit(usize),
    /// So many are out in its zone.
    ZoneLimit(usize),
    /// So many are out in its group.
    GroupLimit(usize),
    /// Machines are out in so many other zones.
    OtherZones(usize),
    /// Its group would have so few warm replicas.
    WarmReplicas(usize),
    /// What its group kept could do this, and must do that, in requests a second.
    Capacity(f64, f64),
    /// Others of its group come first.
    ReplicasFirst,
    /// The primary of its group changes.
    PrimaryChanging,
    /// Nothing begins at this hour.
    QuietHours,
    /// The poolers have not all had time to say what they bear.
    LoadUnknown,
    /// The list does not name it at present.
    Unlisted,
    /// The plan is paused.
    Paused,
    /// It would be one voter too many.
    Voters,
    /// Something outside the plan fails, and what has not been touched comes back.
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

/// What is to come of a record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NextStep {
    /// The states.
    pub states: Vec<MachineState>,
    /// How the plan goes on.
    pub mode: Mode,
    /// By place, why machines wait.
    pub waits: BTreeMap<usize, WaitReason>,
}

/// The machines as they stand, those that count as out among them.
struct Board<'f> {
    facts: &'f FleetInfo,
    limits: &'f Limits,
    kind: MachineKind,
    by: BTreeMap<u64, &'f MachineInfo>,
    members: BTreeMap<u16, Vec<&'f MachineInfo>>,
    /// Out by the plan, or of no use.
    out: BTreeSet<u64>,
    /// Out by the plan.
    planned: BTreeSet<u64>,
}

impl<'f> Board<'f> {
    fn new(
        kind: MachineKind,
        plan: &Plan,
        states: &[MachineState],
        facts: &'f FleetInfo,
        limits: &'f Limits,
    ) -> Self {
        let by: BTreeMap<u64, &MachineInfo> = facts.machines.iter().map(|of| (of.machine, of)).collect();
        let mut members: BTreeMap<u16, Vec<&MachineInfo>> = BTreeMap::new();
        for of in &facts.machines {
            members.entry(of.group).or_default().push(of);
        }
        let planned: BTreeSet<u64> = plan
            .machines
            .iter()
            .zip(states)
            .filter(|(_, state)| state.counts_against_limits())
            .map(|(of, _)| *of)
            .collect();
        let dead = facts.machines.iter().filter(|of| !of.in_service || of.failing).map(|of| of.machine);
        let out = planned.iter().copied().chain(dead).collect();
        Self { facts, limits, kind, by, members, out, planned }
    }

    fn count(&self, is: impl Fn(&MachineInfo) -> bool) -> usize {
        self.out.iter().filter(|of| self.by.get(of).is_some_and(|of| is(of))).count()
    }

    /// What is broken in this group, or by all.
    fn broken(&self, of: &MachineInfo) -> Option<WaitReason> {
        let limits = self.limits;
        if self.out.len() > limits.total {
            return Some(WaitReason::TotalLimit(self.out.len() - 1));
        }
        let zone = self.count(|one| one.zone == of.zone);
        if zone > limits.per_zone {
            return Some(WaitReason::ZoneLimit(zone - 1));
        }
        if self.kind == MachineKind::Poolers {
            let voters = self.out.intersection(&self.facts.voters).count();
            return (voters > 1).then_some(WaitReason::Voters);
        }
        let group = self.count(|one| one.group == of.group);
        if group > limits.per_group {
            return Some(WaitReason::GroupLimit(group - 1));
        }
        let left = || {
            self.members.get(&of.group).into_iter().flatten().filter(|one| !self.out.contains(&one.machine))
        };
        let warm = left().filter(|one| one.warm && !one.primary).count();
        if warm < limits.min_warm {
            return Some(WaitReason::WarmReplicas(warm));
        }
        let (now, peak) = self.facts.loads.get(&of.group).copied().unwrap_or_default();
        let keeps: f64 = left().filter(|one| one.warm).map(|one| one.capacity).sum();
        let needs = now.max(peak) * limits.load_factor;
        let known = left().any(|one| one.capacity > 0.0);
        (known && keeps < needs).then_some(WaitReason::Capacity(keeps, needs))
    }

    /// What would be broken with one more out.
    fn with(&mut self, of: &MachineInfo) -> Option<WaitReason> {
        let zones: BTreeSet<u16> = self.planned.iter().filter_map(|of| Some(self.by.get(of)?.zone)).collect();
        if !zones.contains(&of.zone) && zones.len() >= self.limits.zones {
            return Some(WaitReason::OtherZones(zones.len()));
        }
        let new = self.out.insert(of.machine);
        let why = self.broken(of);
        if new {
            self.out.remove(&of.machine);
        }
        if new {
            return why;
        }
        // One that is dead already: to take it out takes nothing away, and only those that the plan has out are counted.
        let count = |is: &dyn Fn(&MachineInfo) -> bool| {
            self.planned.iter().filter(|one| self.by.get(one).is_some_and(|one| is(one))).count()
        };
        let (all, zone) = (self.planned.len(), count(&|one| one.zone == of.zone));
        let group = if self.kind == MachineKind::Servers { count(&|one| one.group == of.group) } else { 0 };
        let limits = self.limits;
        if all >= limits.total {
            Some(WaitReason::TotalLimit(all))
        } else if zone >= limits.per_zone {
            Some(WaitReason::ZoneLimit(zone))
        } else {
            (group >= limits.per_group).then_some(WaitReason::GroupLimit(group))
        }
    }

    fn take(&mut self, of: u64) {
        self.out.insert(of);
        self.planned.insert(of);
    }

    /// Whether what is out at present must not be.
    fn hurts(&self) -> bool {
        self.planned.iter().filter_map(|of| self.by.get(of)).any(|of| self.broken(of).is_some())
    }
}

/// Whether a plan can be carried out once all others are as well as they can be; the first machine that never may go out.
///
/// # Errors
///
/// That machine's place, and why.
pub fn check_feasible(plan: &Plan, facts: &FleetInfo, limits: &Limits) -> Result<(), (usize, WaitReason)> {
    let mut best = facts.clone();
    for of in &mut best.machines {
        (of.in_service, of.failing, of.warm) = (true, false, true);
    }
    best.loads.clear();
    for (at, machine) in plan.machines.iter().enumerate() {
        let mut best = best.clone();
        let Some(place) = best.machines.iter().position(|of| of.machine == *machine) else { continue };
        // Once it is handed over, another one is the primary.
        if best.machines[place].primary {
            let group = best.machines[place].group;
            let heir = best.machines.iter_mut().find(|of| of.group == group && of.machine != *machine);
            heir.into_iter().for_each(|of| of.primary = true);
            best.machines[place].primary = false;
        }
        let mut board = Board::new(plan.kind, plan, &[], &best, limits);
        if let Some(why) = board.with(&best.machines[place]) {
            return Err((at, why));
        }
    }
    Ok(())
}

/// What comes next. `since` says of each machine since when it is in its state, `clear` where nobody has anything any more, and
/// `settled` which poolers have come back whole.
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
    let mut waits = BTreeMap::new();
    if record.mode == Mode::Idle {
        return NextStep { states, mode: Mode::Idle, waits };
    }
    let known: BTreeMap<u64, &MachineInfo> = facts.machines.iter().map(|of| (of.machine, of)).collect();
    let lasted = |at: usize| since.get(at).map_or(Span(0), |since| now - *since);
    for (at, machine) in plan.machines.iter().enumerate() {
        let fact = known.get(machine);
        states[at] = match (states[at], fact) {
            // A list that is not whole yet, or not believed, makes nobody go.
            (MachineState::Waiting | MachineState::Forced | MachineState::HandingOver, None)
                if facts.gone.contains(machine) =>
            {
                MachineState::Gone
            }
            (MachineState::Leaving, _) if clear(at) => MachineState::Free,
            (MachineState::ForcedLeaving, _) if clear(at) => MachineState::ForcedFree,
            (MachineState::Warming, Some(of))
                if of.in_service && !of.failing && of.warm && lasted(at) >= limits.cold_period =>
            {
                MachineState::Back
            }
            (MachineState::HandingOver, Some(of)) if of.primary && lasted(at) >= limits.handover_timeout => {
                MachineState::NotHandedOver
            }
            (state, _) => state,
        };
        if record.mode == Mode::Cancelled && !states[at].is_final() {
            states[at] = match states[at] {
                state @ (MachineState::AtWork | MachineState::Warming) => state,
                _ => MachineState::Cancelled,
            };
        }
    }
    let mut board = Board::new(plan.kind, plan, &states, facts, limits);
    if board.hurts() {
        for (at, state) in states.iter_mut().enumerate() {
            // One that is dead would be of no use back.
            let dead = known.get(&plan.machines[at]).is_some_and(|of| !of.in_service || of.failing);
            if matches!(state, MachineState::Leaving | MachineState::Free) && !dead {
                *state = MachineState::Waiting;
                waits.insert(at, WaitReason::LimitsBroken);
            }
        }
        // Those come back before anything else is looked at.
        if states != record.states {
            return NextStep { states, mode: record.mode, waits };
        }
    }
    if record.mode == Mode::Running && !facts.quiet_hours && !facts.load_unknown {
        go_out(plan, &mut states, &mut board, &known, &mut waits);
    } else {
        let why = match record.mode {
            Mode::Running if facts.load_unknown => WaitReason::LoadUnknown,
            Mode::Running => WaitReason::QuietHours,
            _ => WaitReason::Paused,
        };
        let waiting = states.iter().enumerate().filter(|(_, state)| **state == MachineState::Waiting);
        waits.extend(waiting.map(|(at, _)| (at, why.clone())));
    }
    let mode = if states.iter().all(|state| state.is_final()) { Mode::Idle } else { record.mode };
    NextStep { states, mode, waits }
}

/// Takes out as many as may go.
fn go_out(
    plan: &Plan,
    states: &mut [MachineState],
    board: &mut Board<'_>,
    known: &BTreeMap<u64, &MachineInfo>,
    waits: &mut BTreeMap<usize, WaitReason>,
) {
    let left: Vec<usize> = (0..states.len()).filter(|at| !states[*at].is_final()).collect();
    let remaining = |is: &dyn Fn(&MachineInfo) -> bool| {
        left.iter().filter(|at| known.get(&plan.machines[**at]).is_some_and(|of| is(of))).count()
    };
    let (limits, kind) = (board.limits, board.kind);
    let rank = |at: usize, of: &MachineInfo, turn: &BTreeSet<u16>| {
        // What is forced goes first, then what is of no use already, then the zone whose turn it is; primaries last.
        let first =
            (states_forced(states, at), of.failing || !of.in_service, turn.contains(&of.zone), !of.primary);
        let (group, zone) = (of.group, of.zone);
        let by = match limits.order {
            OrderPolicy::AsNamed => 0.0,
            OrderPolicy::MostSpare => {
                let load = board.facts.loads.get(&group).map_or(0.0, |(now, peak)| now.max(*peak));
                let can: f64 = board.members.get(&group).into_iter().flatten().map(|of| of.capacity).sum();
                can - load
            }
            OrderPolicy::LongestRemaining => {
                let in_zone = remaining(&|one| one.zone == zone) as f64 / limits.per_zone.max(1) as f64;
                let in_group = match kind {
                    MachineKind::Servers => {
                        remaining(&|one| one.group == group) as f64 / limits.per_group.max(1) as f64
                    }
                    MachineKind::Poolers => 0.0,
                };
                in_group.max(in_zone)
            }
        };
        (first, by)
    };
    let turn: BTreeSet<u16> = board.planned.iter().filter_map(|of| Some(known.get(of)?.zone)).collect();
    let mut order: Vec<(usize, _)> = left
        .iter()
        .filter(|at| {
            matches!(states[**at], MachineState::Waiting | MachineState::Forced | MachineState::HandingOver)
        })
        .filter_map(|at| Some((*at, rank(*at, known.get(&plan.machines[*at])?, &turn))))
        .collect();
    order.sort_by(|(a, one), (b, other)| other.0.cmp(&one.0).then(other.1.total_cmp(&one.1)).then(a.cmp(b)));
    for at in &left {
        if states[*at] == MachineState::Waiting && !known.contains_key(&plan.machines[*at]) {
            waits.insert(*at, WaitReason::Unlisted);
        }
    }
    let mut handing: BTreeSet<u16> = BTreeSet::new();
    for (at, _) in order {
        let Some(of) = known.get(&plan.machines[at]) else { continue };
        let forced = states[at] == MachineState::Forced;
        let others = || {
            (0..states.len()).any(|other| {
                other != at
                    && !states[other].is_final()
                    && known.get(&plan.machines[other]).is_some_and(|one| one.group == of.group)
            })
        };
        let why = match kind {
            MachineKind::Servers if of.primary && of.in_service && !of.failing && !forced => {
                if board.facts.changing_primary.contains(&of.group) || handing.contains(&of.group) {
                    Some(WaitReason::PrimaryChanging)
                } else if others() {
                    Some(WaitReason::ReplicasFirst)
                } else {
                    board.with(of)
                }
            }
            MachineKind::Servers
                if board.facts.changing_primary.contains(&of.group) && of.in_service && !forced =>
            {
                Some(WaitReason::PrimaryChanging)
            }
            _ if forced => None,
            _ => board.with(of),
        };
        match why {
            Some(why) => {
                if states[at] == MachineState::HandingOver && !of.primary {
                    states[at] = MachineState::Waiting;
                }
                waits.insert(at, why);
            }
            // It stays in use until somebody else is primary.
            None if of.primary && of.in_service && !of.failing && !forced => {
                states[at] = MachineState::HandingOver;
                handing.insert(of.group);
            }
            None => {
                states[at] = if forced { MachineState::ForcedLeaving } else { MachineState::Leaving };
                board.take(of.machine);
            }
        }
    }
}

fn states_forced(states: &[MachineState], at: usize) -> bool {
    states[at] == MachineState::Forced
}
