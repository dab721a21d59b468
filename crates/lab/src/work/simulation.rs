//! Simulation of the order of machines in a plan, without processes: how long a plan takes with each order
//! policy, how much load it loses, and the shortest time that the limits allow.

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

/// Time step of the simulation.
const STEP: Span = Span::millis(5_000);
/// Maximum number of steps; a plan that is not done by then counts as never ending.
const MAX_STEPS: i64 = 60_000;

/// A fleet of servers, with the durations of maintenance work.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Servers and loads of the fleet.
    pub info: FleetInfo,
    /// Duration of the work on a machine.
    pub work_time: Span,
    /// Time until all poolers have confirmed that a machine is drained.
    pub drain_time: Span,
    /// Duration of a handover.
    pub handover_time: Span,
    /// Load at the start of the day, as a share of the peak load at midday.
    pub min_load_share: f64,
}

/// Result of a simulated plan.
#[derive(Clone, Debug, Default)]
pub struct SimulatedPlan {
    /// Duration in seconds; none if the plan did not end.
    pub seconds: Option<f64>,
    /// Share of all load that was lost over the whole plan: load beyond 80% of a group's warm capacity is lost.
    pub lost_share: f64,
    /// By time step: the share of all capacity that is out, and the share of the load that was served.
    pub curve: Vec<(f64, f64)>,
    /// Maximum number of machines out concurrently.
    pub max_out: usize,
    /// Number of machines worked on.
    pub worked: usize,
}

/// Generates a random fleet: groups of three to seven servers in three zones, of unequal capacity and load.
#[must_use]
pub fn fleet(servers: usize, seed: u64) -> Fleet {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut machines, mut loads, mut group) = (Vec::new(), BTreeMap::new(), 0_u16);
    while machines.len() < servers {
        // A group of two is too small for a server to be out.
        let left = servers - machines.len();
        let members = rng.random_range(3..=7).min(left);
        let members = if left - members < 3 { left } else { members };
        let capacity = rng.random_range(60.0..140.0_f64);
        let first_zone = rng.random_range(0..3_u16);
        let mut group_capacity = 0.0;
        for member in 0..members {
            let own_capacity = capacity * rng.random_range(0.85..1.15);
            group_capacity += own_capacity;
            machines.push(MachineInfo {
                machine: machines.len() as u64 + 1,
                group,
                zone: (first_zone + member as u16) % 3,
                capacity: own_capacity,
                primary: member == 0,
                in_service: true,
                failing: false,
                warm: true,
            });
        }
        let load = group_capacity * rng.random_range(0.25..0.6);
        loads.insert(group, (load, load));
        group += 1;
    }
    let fleet_info = FleetInfo { machines, loads, ..FleetInfo::default() };
    Fleet {
        info: fleet_info,
        work_time: Span::millis(600_000),
        drain_time: Span::millis(5_000),
        handover_time: Span::millis(3_000),
        min_load_share: 0.6,
    }
}

/// Load at a time as a share of its peak: a cosine over the day.
fn load_at(now: Time, min_load_share: f64) -> f64 {
    let day = now.0 as f64 / 86_400e6;
    min_load_share + (1.0 - min_load_share) * (1.0 - (day * std::f64::consts::TAU).cos()) / 2.0
}

/// Simulates a plan for all servers, without failures.
#[must_use]
pub fn simulate(fleet: &Fleet, limits: &Limits) -> SimulatedPlan {
    let mut fleet_info = fleet.info.clone();
    let machines: Vec<u64> = fleet_info.machines.iter().map(|info| info.machine).collect();
    let plan = Plan { kind: MachineKind::Servers, machines, nonce: 1 };
    let states = vec![MachineState::Waiting; plan.machines.len()];
    let mut record = Record { token: Token(1), version: 1, plan: plan.id(), mode: Mode::Running, states };
    let mut since = vec![Time(0); plan.machines.len()];
    let peak: BTreeMap<u16, f64> =
        fleet_info.loads.iter().map(|(group, (_, peak))| (*group, *peak)).collect();
    let capacity: f64 = fleet_info.machines.iter().map(|info| info.capacity).sum();
    let (mut result, mut total_load, mut total_lost) = (SimulatedPlan::default(), 0.0, 0.0);
    for step in 0..MAX_STEPS {
        let now = Time(step * STEP.0);
        let share = load_at(now, fleet.min_load_share);
        let window_start = (step - 3_600_000_000 / STEP.0).max(0);
        let peak_share = (window_start..=step)
            .step_by(60)
            .map(|earlier| load_at(Time(earlier * STEP.0), fleet.min_load_share));
        let peak_share = peak_share.fold(share, f64::max);
        for (group, (current, peak_load)) in &mut fleet_info.loads {
            (*current, *peak_load) = (peak[group] * share, peak[group] * peak_share);
        }
        let is_clear = |index: usize| now - since[index] >= fleet.drain_time;
        let after = next_step(now, &plan, &record, &since, &fleet_info, limits, &is_clear);
        let mut states = after.states;
        for (index, state) in states.iter_mut().enumerate() {
            let lasted = now - since[index];
            match *state {
                MachineState::Free => *state = MachineState::AtWork,
                MachineState::AtWork if lasted >= fleet.work_time => *state = MachineState::Warming,
                MachineState::HandingOver
                    if record.states[index] == MachineState::HandingOver && lasted >= fleet.handover_time =>
                {
                    let group = fleet_info.machines[index].group;
                    let successor = fleet_info.machines.iter().position(|info| {
                        info.group == group && !info.primary && info.machine != plan.machines[index]
                    });
                    if let Some(successor) = successor {
                        fleet_info.machines[index].primary = false;
                        fleet_info.machines[successor].primary = true;
                    }
                }
                _ => {}
            }
            if *state != record.states[index] {
                since[index] = now;
            }
        }
        (record.states, record.mode) = (states, after.mode);
        let out = record.states.iter().filter(|state| state.is_out()).count();
        result.max_out = result.max_out.max(out);
        let mut usable_capacity: BTreeMap<u16, f64> = BTreeMap::new();
        let mut capacity_out = 0.0;
        for (info, state) in fleet_info.machines.iter().zip(&record.states) {
            // A cold server starts with about a sixth of its capacity.
            let share = match state {
                state if state.is_out() => 0.0,
                MachineState::Warming => 0.16,
                _ => 1.0,
            };
            *usable_capacity.entry(info.group).or_default() += info.capacity * share;
            capacity_out += info.capacity * (1.0 - share);
        }
        let (mut load, mut lost) = (0.0, 0.0);
        for (group, (current, _)) in &fleet_info.loads {
            load += current;
            lost += (current - usable_capacity.get(group).copied().unwrap_or(0.0) * 0.8).max(0.0);
        }
        total_load += load;
        total_lost += lost;
        result.curve.push((capacity_out / capacity, 1.0 - lost / load));
        if record.mode == Mode::Idle {
            result.seconds = Some(step as f64 * STEP.0 as f64 / 1e6);
            break;
        }
    }
    result.worked = record.states.iter().filter(|state| **state == MachineState::Back).count();
    result.lost_share = total_lost / total_load;
    result
}

/// Lower bound of a plan's duration, in seconds, from the counts of machines alone: all other limits can only
/// make it longer.
#[must_use]
pub fn shortest_seconds(fleet: &Fleet, limits: &Limits) -> f64 {
    let each = (fleet.drain_time.0 + fleet.work_time.0 + limits.cold_period.0) as f64 / 1e6;
    let count = |matches: &dyn Fn(&MachineInfo) -> bool| {
        fleet.info.machines.iter().filter(|info| matches(info)).count()
    };
    let turns = |count: usize, limit: usize| count.div_ceil(limit.max(1));
    let zones: Vec<u16> = (0..3).collect();
    let by_zone: Vec<usize> = zones
        .iter()
        .map(|zone| turns(count(&|info| info.zone == *zone), limits.per_zone.min(limits.total)))
        .collect();
    // Zones that may be out concurrently overlap.
    let zones = by_zone.iter().sum::<usize>().div_ceil(limits.zones.clamp(1, 3));
    let groups: BTreeMap<u16, usize> =
        fleet.info.machines.iter().fold(BTreeMap::new(), |mut groups, info| {
            *groups.entry(info.group).or_default() += 1;
            groups
        });
    let longest = groups.values().map(|count| turns(*count, limits.per_group)).max().unwrap_or(0);
    each * zones.max(longest).max(turns(fleet.info.machines.len(), limits.total)) as f64
}

/// Limits of a typical kernel update.
#[must_use]
pub fn limits(policy: OrderPolicy) -> Limits {
    Limits {
        total: 12,
        per_zone: 12,
        per_group: 1,
        zones: 1,
        min_warm: 1,
        load_factor: 1.2,
        cold_period: Span::millis(30_000),
        handover_timeout: Span::millis(60_000),
        order: policy,
    }
}

/// Plots the share of capacity that was out, by order policy.
///
/// # Errors
///
/// When the file can't be written.
pub fn plot(
    path: &Path,
    plans: &[(&str, SimulatedPlan)],
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let longest = plans.iter().map(|(_, plan)| plan.curve.len()).max().unwrap_or(1) as f64 / 720.0;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..longest, 0.0..0.25)?;
    chart.configure_mesh().x_desc("hours").y_desc("share of capacity out").draw()?;
    for (index, (name, plan)) in plans.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points =
            plan.curve.iter().enumerate().step_by(4).map(|(step, (out, _))| (step as f64 / 720.0, *out));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
