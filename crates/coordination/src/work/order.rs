//! In which order machines go out, and what brings them back: facts, limits and a record in, the next states out.

use super::record::{Kind, Mode, Plan, Record, State};
use linnetdeal_core::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Which of several that may go out goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scheme {
    /// As they were named.
    Named,
    /// Whose group has most to spare.
    Spare,
    /// Whose group and zone have the longest way still to go: nothing else can make that shorter later on.
    #[default]
    Ahead,
}

/// What must hold while machines are out. Those that are dead count as out, whoever took them out.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Out at once.
    pub all: usize,
    /// Of one zone.
    pub zone: usize,
    /// Of one group.
    pub group: usize,
    /// In so many zones at once.
    pub zones: usize,
    /// Warm replicas that a group keeps.
    pub warm: usize,
    /// What a group keeps can do so many times its load, now and at the last hour's peak.
    pub spare: f64,
    /// Back, a machine counts as cold for so long.
    pub cold: Span,
    /// Somebody else is primary after so long, or the machine is left out.
    pub handing: Span,
    /// The order.
    pub scheme: Scheme,
}

/// What is known of a machine, be it of the plan or not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fact {
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
    pub serves: bool,
    /// It fails those who send to it.
    pub failing: bool,
    /// It has not started lately.
    pub warm: bool,
}

/// What is known of all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    /// The machines, each once.
    pub machines: Vec<Fact>,
    /// Groups whose primary changes, or is not known.
    pub changing: BTreeSet<u16>,
    /// Requests a second, by group: now, and at the last hour's peak.
    pub loads: BTreeMap<u16, (f64, f64)>,
    /// Machines that the list had, and has no more.
    pub gone: BTreeSet<u64>,
    /// Nothing begins at this hour.
    pub quiet: bool,
    /// The poolers have not said yet what they bear.
    pub unknown: bool,
    /// Poolers only: voters, of which a majority stays.
    pub voters: BTreeSet<u64>,
}

/// Why a machine waits.
#[derive(Clone, Debug, PartialEq)]
pub enum Why {
    /// So many are out of all, and no more may be.
    All(usize),
    /// So many are out in its zone.
    Zone(usize),
    /// So many are out in its group.
    Group(usize),
    /// Machines are out in so many other zones.
    Zones(usize),
    /// Its group would have so few warm replicas.
    Warm(usize),
    /// What its group kept could do this, and must do that, in requests a second.
    Capacity(f64, f64),
    /// Others of its group come first.
    Replicas,
    /// The primary of its group changes.
    Changing,
    /// Nothing begins at this hour.
    Quiet,
    /// The poolers have not all had time to say what they bear.
    Unknown,
    /// The list does not name it at present.
    Unlisted,
    /// The plan is paused.
    Paused,
    /// It would be one voter too many.
    Voters,
    /// Something outside the plan fails, and what has not been touched comes back.
    Hurts,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All(out) => write!(f, "{out} machines are out or dead, no more may be"),
            Self::Zone(out) => write!(f, "{out} machines of its zone are out or dead, no more may be"),
            Self::Group(out) => write!(f, "{out} machines of its group are out or dead, no more may be"),
            Self::Zones(out) => {
                write!(f, "machines are out in {out} other zones, its zone has its turn after them")
            }
            Self::Warm(left) => write!(f, "its group would keep {left} warm replicas, which is too few"),
            Self::Capacity(keeps, needs) => {
                write!(f, "its group would keep {keeps:.1} requests a second, and needs {needs:.1}")
            }
            Self::Replicas => write!(f, "it is the primary, and others of its group come first"),
            Self::Changing => write!(f, "the primary of its group changes, or is not known"),
            Self::Quiet => write!(f, "nothing begins at this hour"),
            Self::Unknown => write!(f, "the poolers have yet to say what they bear"),
            Self::Unlisted => write!(f, "the list does not name it at present"),
            Self::Paused => write!(f, "the plan is paused"),
            Self::Voters => write!(f, "another voter is out"),
            Self::Hurts => write!(f, "others fail: what has not been touched comes back"),
        }
    }
}

/// What is to come of a record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Next {
    /// The states.
    pub states: Vec<State>,
    /// How the plan goes on.
    pub mode: Mode,
    /// By place, why machines wait.
    pub waits: BTreeMap<usize, Why>,
}

/// The machines as they stand, those that count as out among them.
struct Board<'f> {
    facts: &'f Facts,
    limits: &'f Limits,
    kind: Kind,
    by: BTreeMap<u64, &'f Fact>,
    members: BTreeMap<u16, Vec<&'f Fact>>,
    /// Out by the plan, or of no use.
    out: BTreeSet<u64>,
    /// Out by the plan.
    planned: BTreeSet<u64>,
}

impl<'f> Board<'f> {
    fn new(kind: Kind, plan: &Plan, states: &[State], facts: &'f Facts, limits: &'f Limits) -> Self {
        let by: BTreeMap<u64, &Fact> = facts.machines.iter().map(|of| (of.machine, of)).collect();
        let mut members: BTreeMap<u16, Vec<&Fact>> = BTreeMap::new();
        for of in &facts.machines {
            members.entry(of.group).or_default().push(of);
        }
        let planned: BTreeSet<u64> =
            plan.machines.iter().zip(states).filter(|(_, state)| state.counts()).map(|(of, _)| *of).collect();
        let dead = facts.machines.iter().filter(|of| !of.serves || of.failing).map(|of| of.machine);
        let out = planned.iter().copied().chain(dead).collect();
        Self { facts, limits, kind, by, members, out, planned }
    }

    fn count(&self, is: impl Fn(&Fact) -> bool) -> usize {
        self.out.iter().filter(|of| self.by.get(of).is_some_and(|of| is(of))).count()
    }

    /// What is broken in this group, or by all.
    fn broken(&self, of: &Fact) -> Option<Why> {
        let limits = self.limits;
        if self.out.len() > limits.all {
            return Some(Why::All(self.out.len() - 1));
        }
        let zone = self.count(|one| one.zone == of.zone);
        if zone > limits.zone {
            return Some(Why::Zone(zone - 1));
        }
        if self.kind == Kind::Poolers {
            let voters = self.out.intersection(&self.facts.voters).count();
            return (voters > 1).then_some(Why::Voters);
        }
        let group = self.count(|one| one.group == of.group);
        if group > limits.group {
            return Some(Why::Group(group - 1));
        }
        let left = || {
            self.members.get(&of.group).into_iter().flatten().filter(|one| !self.out.contains(&one.machine))
        };
        let warm = left().filter(|one| one.warm && !one.primary).count();
        if warm < limits.warm {
            return Some(Why::Warm(warm));
        }
        let (now, peak) = self.facts.loads.get(&of.group).copied().unwrap_or_default();
        let keeps: f64 = left().filter(|one| one.warm).map(|one| one.capacity).sum();
        let needs = now.max(peak) * limits.spare;
        let known = left().any(|one| one.capacity > 0.0);
        (known && keeps < needs).then_some(Why::Capacity(keeps, needs))
    }

    /// What would be broken with one more out.
    fn with(&mut self, of: &Fact) -> Option<Why> {
        let zones: BTreeSet<u16> = self.planned.iter().filter_map(|of| Some(self.by.get(of)?.zone)).collect();
        if !zones.contains(&of.zone) && zones.len() >= self.limits.zones {
            return Some(Why::Zones(zones.len()));
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
        let count = |is: &dyn Fn(&Fact) -> bool| {
            self.planned.iter().filter(|one| self.by.get(one).is_some_and(|one| is(one))).count()
        };
        let (all, zone) = (self.planned.len(), count(&|one| one.zone == of.zone));
        let group = if self.kind == Kind::Servers { count(&|one| one.group == of.group) } else { 0 };
        let limits = self.limits;
        if all >= limits.all {
            Some(Why::All(all))
        } else if zone >= limits.zone {
            Some(Why::Zone(zone))
        } else {
            (group >= limits.group).then_some(Why::Group(group))
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
pub fn possible(plan: &Plan, facts: &Facts, limits: &Limits) -> Result<(), (usize, Why)> {
    let mut best = facts.clone();
    for of in &mut best.machines {
        (of.serves, of.failing, of.warm) = (true, false, true);
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
pub fn next(
    now: Time,
    plan: &Plan,
    record: &Record,
    since: &[Time],
    facts: &Facts,
    limits: &Limits,
    clear: &dyn Fn(usize) -> bool,
) -> Next {
    let mut states = record.states.clone();
    states.resize(plan.machines.len(), State::Waiting);
    let mut waits = BTreeMap::new();
    if record.mode == Mode::Over {
        return Next { states, mode: Mode::Over, waits };
    }
    let known: BTreeMap<u64, &Fact> = facts.machines.iter().map(|of| (of.machine, of)).collect();
    let lasted = |at: usize| since.get(at).map_or(Span(0), |since| now - *since);
    for (at, machine) in plan.machines.iter().enumerate() {
        let fact = known.get(machine);
        states[at] = match (states[at], fact) {
            // A list that is not whole yet, or not believed, makes nobody go.
            (State::Waiting | State::Forced | State::Handing, None) if facts.gone.contains(machine) => {
                State::Gone
            }
            (State::Leaving, _) if clear(at) => State::Free,
            (State::ForcedLeaving, _) if clear(at) => State::ForcedFree,
            (State::Warming, Some(of))
                if of.serves && !of.failing && of.warm && lasted(at) >= limits.cold =>
            {
                State::Back
            }
            (State::Handing, Some(of)) if of.primary && lasted(at) >= limits.handing => State::NotHanded,
            (state, _) => state,
        };
        if record.mode == Mode::Cancelled && !states[at].is_over() {
            states[at] = match states[at] {
                state @ (State::AtWork | State::Warming) => state,
                _ => State::Cancelled,
            };
        }
    }
    let mut board = Board::new(plan.kind, plan, &states, facts, limits);
    if board.hurts() {
        for (at, state) in states.iter_mut().enumerate() {
            // One that is dead would be of no use back.
            let dead = known.get(&plan.machines[at]).is_some_and(|of| !of.serves || of.failing);
            if matches!(state, State::Leaving | State::Free) && !dead {
                *state = State::Waiting;
                waits.insert(at, Why::Hurts);
            }
        }
        // Those come back before anything else is looked at.
        if states != record.states {
            return Next { states, mode: record.mode, waits };
        }
    }
    if record.mode == Mode::Running && !facts.quiet && !facts.unknown {
        go_out(plan, &mut states, &mut board, &known, &mut waits);
    } else {
        let why = match record.mode {
            Mode::Running if facts.unknown => Why::Unknown,
            Mode::Running => Why::Quiet,
            _ => Why::Paused,
        };
        let waiting = states.iter().enumerate().filter(|(_, state)| **state == State::Waiting);
        waits.extend(waiting.map(|(at, _)| (at, why.clone())));
    }
    let mode = if states.iter().all(|state| state.is_over()) { Mode::Over } else { record.mode };
    Next { states, mode, waits }
}

/// Takes out as many as may go.
fn go_out(
    plan: &Plan,
    states: &mut [State],
    board: &mut Board<'_>,
    known: &BTreeMap<u64, &Fact>,
    waits: &mut BTreeMap<usize, Why>,
) {
    let left: Vec<usize> = (0..states.len()).filter(|at| !states[*at].is_over()).collect();
    let remaining = |is: &dyn Fn(&Fact) -> bool| {
        left.iter().filter(|at| known.get(&plan.machines[**at]).is_some_and(|of| is(of))).count()
    };
    let (limits, kind) = (board.limits, board.kind);
    let rank = |at: usize, of: &Fact, turn: &BTreeSet<u16>| {
        // What is forced goes first, then what is of no use already, then the zone whose turn it is; primaries last.
        let first =
            (states_forced(states, at), of.failing || !of.serves, turn.contains(&of.zone), !of.primary);
        let (group, zone) = (of.group, of.zone);
        let by = match limits.scheme {
            Scheme::Named => 0.0,
            Scheme::Spare => {
                let load = board.facts.loads.get(&group).map_or(0.0, |(now, peak)| now.max(*peak));
                let can: f64 = board.members.get(&group).into_iter().flatten().map(|of| of.capacity).sum();
                can - load
            }
            Scheme::Ahead => {
                let in_zone = remaining(&|one| one.zone == zone) as f64 / limits.zone.max(1) as f64;
                let in_group = match kind {
                    Kind::Servers => remaining(&|one| one.group == group) as f64 / limits.group.max(1) as f64,
                    Kind::Poolers => 0.0,
                };
                in_group.max(in_zone)
            }
        };
        (first, by)
    };
    let turn: BTreeSet<u16> = board.planned.iter().filter_map(|of| Some(known.get(of)?.zone)).collect();
    let mut order: Vec<(usize, _)> = left
        .iter()
        .filter(|at| matches!(states[**at], State::Waiting | State::Forced | State::Handing))
        .filter_map(|at| Some((*at, rank(*at, known.get(&plan.machines[*at])?, &turn))))
        .collect();
    order.sort_by(|(a, one), (b, other)| other.0.cmp(&one.0).then(other.1.total_cmp(&one.1)).then(a.cmp(b)));
    for at in &left {
        if states[*at] == State::Waiting && !known.contains_key(&plan.machines[*at]) {
            waits.insert(*at, Why::Unlisted);
        }
    }
    let mut handing: BTreeSet<u16> = BTreeSet::new();
    for (at, _) in order {
        let Some(of) = known.get(&plan.machines[at]) else { continue };
        let forced = states[at] == State::Forced;
        let others = || {
            (0..states.len()).any(|other| {
                other != at
                    && !states[other].is_over()
                    && known.get(&plan.machines[other]).is_some_and(|one| one.group == of.group)
            })
        };
        let why = match kind {
            Kind::Servers if of.primary && of.serves && !of.failing && !forced => {
                if board.facts.changing.contains(&of.group) || handing.contains(&of.group) {
                    Some(Why::Changing)
                } else if others() {
                    Some(Why::Replicas)
                } else {
                    board.with(of)
                }
            }
            Kind::Servers if board.facts.changing.contains(&of.group) && of.serves && !forced => {
                Some(Why::Changing)
            }
            _ if forced => None,
            _ => board.with(of),
        };
        match why {
            Some(why) => {
                if states[at] == State::Handing && !of.primary {
                    states[at] = State::Waiting;
                }
                waits.insert(at, why);
            }
            // It stays in use until somebody else is primary.
            None if of.primary && of.serves && !of.failing && !forced => {
                states[at] = State::Handing;
                handing.insert(of.group);
            }
            None => {
                states[at] = if forced { State::ForcedLeaving } else { State::Leaving };
                board.take(of.machine);
            }
        }
    }
}

fn states_forced(states: &[State], at: usize) -> bool {
    states[at] == State::Forced
}
