//! The order of machines by itself, without processes: how long a plan takes by each scheme, what it costs, and the shortest that
//! the limits allow.

use linnetdeal_coordination::lease::Token;
use linnetdeal_coordination::work::{
    FleetInfo, Limits, MachineInfo, MachineKind, MachineState, Mode, OrderPolicy, Plan, Record, next_step,
};
use linnetdeal_core::{Span, Time};
use plotters::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::path::Path;

/// A step of the model.
const STEP: Span = Span::millis(5_000);
/// No plan takes longer.
const MOST_STEPS: i64 = 60_000;

/// A fleet, and what work costs it.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// What is known of its servers.
    pub facts: FleetInfo,
    /// How long work lasts.
    pub work: Span,
    /// How long it takes until everybody has said that a machine is clear.
    pub leave: Span,
    /// How long a hand-over takes.
    pub handing: Span,
    /// The load by group over the day, as a share of what it is at its peak: this much at the begin, 1 at the peak.
    pub swing: f64,
}

/// What came of a plan.
#[derive(Clone, Debug, Default)]
pub struct SimulatedPlan {
    /// How long it took, in seconds; none if it never ended.
    pub seconds: Option<f64>,
    /// Of the load of all groups, the share that found no room, over the whole plan: load beyond 80% of what is warm is lost.
    pub lost: f64,
    /// By step of five seconds: the share of all capacity that is out, and the share of the load that was served.
    pub curve: Vec<(f64, f64)>,
    /// Machines out at once, at most.
    pub most_out: usize,
    /// Worked on.
    pub worked: usize,
}

/// A fleet by chance: groups of three to seven servers in three zones, of unequal speed and load.
#[must_use]
pub fn fleet(servers: usize, seed: u64) -> Fleet {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut machines, mut loads, mut group) = (Vec::new(), BTreeMap::new(), 0_u16);
    while machines.len() < servers {
        // Two are too few for one to be out.
        let left = servers - machines.len();
        let members = rng.random_range(3..=7).min(left);
        let members = if left - members < 3 { left } else { members };
        let capacity = rng.random_range(60.0..140.0_f64);
        let first = rng.random_range(0..3_u16);
        let mut can = 0.0;
        for member in 0..members {
            let own = capacity * rng.random_range(0.85..1.15);
            can += own;
            machines.push(MachineInfo {
                machine: machines.len() as u64 + 1,
                group,
                zone: (first + member as u16) % 3,
                capacity: own,
                primary: member == 0,
                in_service: true,
                failing: false,
                warm: true,
            });
        }
        let load = can * rng.random_range(0.25..0.6);
        loads.insert(group, (load, load));
        group += 1;
    }
    let facts = FleetInfo { machines, loads, ..FleetInfo::default() };
    Fleet {
        facts,
        work: Span::millis(600_000),
        leave: Span::millis(5_000),
        handing: Span::millis(3_000),
        swing: 0.6,
    }
}

/// The load's share of its peak at a time: a day is a wave.
fn load_at(now: Time, swing: f64) -> f64 {
    let day = now.0 as f64 / 86_400e6;
    swing + (1.0 - swing) * (1.0 - (day * std::f64::consts::TAU).cos()) / 2.0
}

/// Carries a plan of all servers out, with nothing that fails.
#[must_use]
pub fn simulate(fleet: &Fleet, limits: &Limits) -> SimulatedPlan {
    let mut facts = fleet.facts.clone();
    let machines: Vec<u64> = facts.machines.iter().map(|of| of.machine).collect();
    let plan = Plan { kind: MachineKind::Servers, machines, nonce: 1 };
    let states = vec![MachineState::Waiting; plan.machines.len()];
    let mut record = Record { token: Token(1), version: 1, plan: plan.id(), mode: Mode::Running, states };
    let mut since = vec![Time(0); plan.machines.len()];
    let peak: BTreeMap<u16, f64> = facts.loads.iter().map(|(group, (_, peak))| (*group, *peak)).collect();
    let capacity: f64 = facts.machines.iter().map(|of| of.capacity).sum();
    let (mut result, mut asked, mut missed) = (SimulatedPlan::default(), 0.0, 0.0);
    for step in 0..MOST_STEPS {
        let now = Time(step * STEP.0);
        let share = load_at(now, fleet.swing);
        let hour = (step - 3_600_000_000 / STEP.0).max(0);
        let peak_share = (hour..=step).step_by(60).map(|of| load_at(Time(of * STEP.0), fleet.swing));
        let peak_share = peak_share.fold(share, f64::max);
        for (group, (of, most)) in &mut facts.loads {
            (*of, *most) = (peak[group] * share, peak[group] * peak_share);
        }
        let clear = |at: usize| now - since[at] >= fleet.leave;
        let after = next_step(now, &plan, &record, &since, &facts, limits, &clear);
        let mut states = after.states;
        for (at, state) in states.iter_mut().enumerate() {
            let lasted = now - since[at];
            match *state {
                MachineState::Free => *state = MachineState::AtWork,
                MachineState::AtWork if lasted >= fleet.work => *state = MachineState::Warming,
                MachineState::HandingOver
                    if record.states[at] == MachineState::HandingOver && lasted >= fleet.handing =>
                {
                    let group = facts.machines[at].group;
                    let heir = facts
                        .machines
                        .iter()
                        .position(|of| of.group == group && !of.primary && of.machine != plan.machines[at]);
                    if let Some(heir) = heir {
                        facts.machines[at].primary = false;
                        facts.machines[heir].primary = true;
                    }
                }
                _ => {}
            }
            if *state != record.states[at] {
                since[at] = now;
            }
        }
        (record.states, record.mode) = (states, after.mode);
        let out = record.states.iter().filter(|state| state.is_out()).count();
        result.most_out = result.most_out.max(out);
        let mut can: BTreeMap<u16, f64> = BTreeMap::new();
        let mut gone = 0.0;
        for (of, state) in facts.machines.iter().zip(&record.states) {
            // A cold one does a sixth of its work at first.
            let share = match state {
                state if state.is_out() => 0.0,
                MachineState::Warming => 0.16,
                _ => 1.0,
            };
            *can.entry(of.group).or_default() += of.capacity * share;
            gone += of.capacity * (1.0 - share);
        }
        let (mut load, mut lost) = (0.0, 0.0);
        for (group, (of, _)) in &facts.loads {
            load += of;
            lost += (of - can.get(group).copied().unwrap_or(0.0) * 0.8).max(0.0);
        }
        asked += load;
        missed += lost;
        result.curve.push((gone / capacity, 1.0 - lost / load));
        if record.mode == Mode::Idle {
            result.seconds = Some(step as f64 * STEP.0 as f64 / 1e6);
            break;
        }
    }
    result.worked = record.states.iter().filter(|state| **state == MachineState::Back).count();
    result.lost = missed / asked;
    result
}

/// The shortest that counts of machines allow, in seconds: whatever else the limits ask for can only make it longer.
#[must_use]
pub fn shortest(fleet: &Fleet, limits: &Limits) -> f64 {
    let each = (fleet.leave.0 + fleet.work.0 + limits.cold_period.0) as f64 / 1e6;
    let count = |is: &dyn Fn(&MachineInfo) -> bool| fleet.facts.machines.iter().filter(|of| is(of)).count();
    let turns = |count: usize, most: usize| count.div_ceil(most.max(1));
    let zones: Vec<u16> = (0..3).collect();
    let by_zone: Vec<usize> = zones
        .iter()
        .map(|zone| turns(count(&|of| of.zone == *zone), limits.per_zone.min(limits.total)))
        .collect();
    // Zones that may be out together overlap.
    let zones = by_zone.iter().sum::<usize>().div_ceil(limits.zones.clamp(1, 3));
    let groups: BTreeMap<u16, usize> = fleet.facts.machines.iter().fold(BTreeMap::new(), |mut groups, of| {
        *groups.entry(of.group).or_default() += 1;
        groups
    });
    let longest = groups.values().map(|count| turns(*count, limits.per_group)).max().unwrap_or(0);
    each * zones.max(longest).max(turns(fleet.facts.machines.len(), limits.total)) as f64
}

/// The limits of a kernel round.
#[must_use]
pub fn limits(scheme: OrderPolicy) -> Limits {
    Limits {
        total: 12,
        per_zone: 12,
        per_group: 1,
        zones: 1,
        min_warm: 1,
        load_factor: 1.2,
        cold_period: Span::millis(30_000),
        handover_timeout: Span::millis(60_000),
        order: scheme,
    }
}

/// Plots what was out and served, by scheme.
///
/// # Errors
///
/// When the file can't be written.
pub fn plot(
    path: &Path,
    plays: &[(&str, SimulatedPlan)],
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let longest = plays.iter().map(|(_, of)| of.curve.len()).max().unwrap_or(1) as f64 / 720.0;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..longest, 0.0..0.25)?;
    chart.configure_mesh().x_desc("hours").y_desc("share of capacity out").draw()?;
    for (at, (name, of)) in plays.iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
        let points =
            of.curve.iter().enumerate().step_by(4).map(|(step, (out, _))| (step as f64 / 720.0, *out));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
