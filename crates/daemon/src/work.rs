//! Converts the maintenance settings of an operator's file to the pooler's options, and simulates plans for
//! `linnetdeal work --dry-run`.

use crate::ExitError;
use linnetdeal_coordination::lease::{TaskId, TaskSetup, Token};
use linnetdeal_coordination::work::*;
use linnetdeal_core::membership::id_hash;
use linnetdeal_core::{ListState, Span, Time};
use linnetdeal_net::config::{Config, span_of};
use linnetdeal_net::leases::LeaseOptions;
use linnetdeal_net::work::{PlanRequest, ServerCandidate, TASK, WorkOptions, zone_hash};
use linnetdeal_operator::{OperatorSettings, OutLimits, WorkSettings};
use std::path::Path;

/// The lease task whose holder executes maintenance plans.
pub fn task(settings: &WorkSettings) -> TaskSetup {
    TaskSetup { name: TASK.to_owned(), term: span_of(settings.term), wanted: true }
}

fn limits(settings: &WorkSettings, bounds: OutLimits) -> Limits {
    Limits {
        total: bounds.total,
        per_zone: bounds.per_zone,
        per_group: settings.per_group,
        zones: bounds.zones,
        min_warm: settings.min_warm,
        load_factor: settings.load_factor,
        cold_period: span_of(settings.cold_period),
        handover_timeout: span_of(settings.handover_timeout),
        order: match settings.order.as_str() {
            "named" => OrderPolicy::AsNamed,
            "spare" => OrderPolicy::MostSpare,
            _ => OrderPolicy::LongestRemaining,
        },
    }
}

/// Builds the maintenance options of this pooler.
pub fn options(settings: &WorkSettings, config: &Config, leases: &LeaseOptions) -> WorkOptions {
    let fleet = config.peers.as_ref().map_or(0, |peers| u16::try_from(peers.each.len()).unwrap_or(u16::MAX));
    let lease_setup = &leases.setup;
    let own_tasks = lease_setup.tasks.iter().filter(|task| task.wanted).map(|task| TaskId::of(&task.name));
    WorkOptions {
        setup: CoordinatorSetup {
            me: lease_setup.me,
            seed: lease_setup.seed,
            fleet,
            voters: lease_setup.voters.clone(),
            previous: lease_setup.previous.clone(),
            heartbeat_interval: span_of(settings.heartbeat_interval),
            start_timeout: span_of(settings.start_timeout),
            server_limits: limits(settings, settings.server_limits),
            pooler_limits: limits(settings, settings.pooler_limits),
        },
        capacity: settings.capacity.iter().cloned().collect(),
        quiet_hours: settings.quiet_hours.clone(),
        handover: settings.handover.clone(),
        max_out_time: settings.max_out_time,
        zone: config.settings.zone.clone(),
        tasks: own_tasks.chain([TaskId::of(TASK)]).collect(),
    }
}

/// Prints the order in which a plan's machines would go out, assuming that nothing fails and all work takes
/// equally long.
pub fn dry_run(plan: &Path, operator: &Path, config: &Path) -> Result<(), ExitError> {
    let operator = OperatorSettings::load(operator).map_err(ExitError::config)?;
    let Some(settings) = &operator.work else {
        return Err(ExitError::config("the operator's file has no 'work'"));
    };
    let config = Config::load(config).map_err(ExitError::config)?;
    let bytes =
        std::fs::read(plan).map_err(|error| ExitError::config(format!("{}: {error}", plan.display())))?;
    let plan_request = PlanRequest::from_json(&bytes).map_err(ExitError::config)?;
    let listed = || config.known.instances.iter().filter(|instance| instance.state() != ListState::Gone);
    let servers: Vec<ServerCandidate> = listed()
        .map(|instance| {
            let claim = instance.claim(0);
            ServerCandidate { id: instance.instance_id.clone(), zone: claim.zone, machine: claim.machine }
        })
        .collect();
    let fleet = config.peers.as_ref().map_or(0, |peers| u16::try_from(peers.each.len()).unwrap_or(u16::MAX));
    let (kind, machines) = plan_request.machines(&servers, fleet).map_err(ExitError::config)?;
    let capacity = |machine: &str| {
        let of_type =
            |name: &str| settings.capacity.iter().find(|(ty, _)| ty == name).map(|(_, requests)| *requests);
        of_type(machine).or_else(|| of_type("")).unwrap_or(0.0)
    };
    let mut fleet_state = FleetInfo::default();
    for instance in listed() {
        let claim = instance.claim(0);
        fleet_state.machines.push(MachineInfo {
            machine: id_hash(&instance.instance_id),
            group: claim.group.map_or(0, |group| u16::try_from(group.0).unwrap_or(u16::MAX)),
            zone: zone_hash(&claim.zone),
            capacity: capacity(&claim.machine),
            primary: claim.primary,
            in_service: claim.state == ListState::Healthy,
            failing: false,
            warm: true,
        });
    }
    if kind == MachineKind::Poolers {
        let pooler_info = |number: u64| MachineInfo {
            machine: number,
            in_service: true,
            warm: true,
            ..MachineInfo::default()
        };
        fleet_state.machines = (0..u64::from(fleet)).map(pooler_info).collect();
        let voters = operator.leases.iter().flat_map(|leases| leases.voters.iter());
        fleet_state.voters = voters.map(|voter| u64::from(*voter)).collect();
    }
    let limits = limits(
        settings,
        if kind == MachineKind::Servers { settings.server_limits } else { settings.pooler_limits },
    );
    let name = |machine: u64| match kind {
        MachineKind::Poolers => format!("pooler {machine}"),
        MachineKind::Servers => servers
            .iter()
            .find(|server| id_hash(&server.id) == machine)
            .map_or_else(String::new, |server| server.id.clone()),
    };
    let plan = Plan { kind, machines, nonce: 0 };
    if let Err((index, reason)) = check_feasible(&plan, &fleet_state, &limits) {
        return Err(ExitError::other(format!("{} could never go out: {reason}", name(plan.machines[index]))));
    }
    for (step, out) in simulate(&plan, fleet_state, &limits).into_iter().enumerate() {
        let names: Vec<String> = out.iter().map(|index| name(plan.machines[*index])).collect();
        println!("{:>4}  {}", step + 1, names.join("  "));
    }
    Ok(())
}

/// Simulates a plan. Returns its steps, each with the indices of the machines that go out together.
fn simulate(plan: &Plan, mut fleet_state: FleetInfo, limits: &Limits) -> Vec<Vec<usize>> {
    let limits = Limits { cold_period: Span(0), handover_timeout: Span(i64::MAX / 4), ..limits.clone() };
    let states = vec![MachineState::Waiting; plan.machines.len()];
    let mut record = Record { token: Token(1), version: 1, plan: plan.id(), mode: Mode::Running, states };
    let since = vec![Time(0); plan.machines.len()];
    let mut steps = Vec::new();
    // Each round takes a machine out, hands one over or brings one back, so further rounds would change nothing.
    for _ in 0..plan.machines.len() * 6 + 6 {
        let next = next_step(Time(0), plan, &record, &since, &fleet_state, &limits, &|_| true);
        let leaving: Vec<usize> =
            (0..next.states.len()).filter(|index| next.states[*index].is_leaving()).collect();
        for (index, state) in
            next.states.iter().enumerate().filter(|(_, state)| **state == MachineState::HandingOver)
        {
            let _ = state;
            let machine = plan.machines[index];
            let group = fleet_state
                .machines
                .iter()
                .find(|machine_info| machine_info.machine == machine)
                .map(|machine_info| machine_info.group);
            let same_group =
                fleet_state.machines.iter_mut().filter(|machine_info| Some(machine_info.group) == group);
            let mut first_other = true;
            for machine_info in same_group {
                machine_info.primary = machine_info.machine != machine && std::mem::take(&mut first_other);
            }
        }
        (record.states, record.mode) = (next.states, next.mode);
        if !leaving.is_empty() {
            steps.push(leaving);
        }
        if record.mode == Mode::Idle {
            break;
        }
        for state in &mut record.states {
            if state.is_out() {
                *state = MachineState::Warming;
            }
        }
    }
    steps
}
