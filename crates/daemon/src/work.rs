//! Turns what an operator's file says of work into what the pooler takes part with, and plays a plan without touching anything.

use crate::End;
use linnetdeal_coordination::lease::{TaskId, TaskSetup, Token};
use linnetdeal_coordination::work::*;
use linnetdeal_core::membership::id_hash;
use linnetdeal_core::{ListState, Span, Time};
use linnetdeal_net::config::{Config, span_of};
use linnetdeal_net::leases::LeaseOptions;
use linnetdeal_net::work::{PlanRequest, ServerCandidate, TASK, WorkOptions, zone_hash};
use linnetdeal_operator::{Bounds, Operator, WorkSettings};
use std::path::Path;

/// The lease of who has steps taken.
pub fn task(settings: &WorkSettings) -> TaskSetup {
    TaskSetup { name: TASK.to_owned(), term: span_of(settings.term), wanted: true }
}

fn limits(settings: &WorkSettings, of: Bounds) -> Limits {
    Limits {
        total: of.all,
        per_zone: of.zone,
        per_group: settings.group,
        zones: of.zones,
        min_warm: settings.warm,
        load_factor: settings.spare,
        cold_period: span_of(settings.cold),
        handover_timeout: span_of(settings.handing),
        order: match settings.order.as_str() {
            "named" => OrderPolicy::AsNamed,
            "spare" => OrderPolicy::MostSpare,
            _ => OrderPolicy::LongestRemaining,
        },
    }
}

/// What this pooler is to take part with.
pub fn wanted(settings: &WorkSettings, config: &Config, leases: &LeaseOptions) -> WorkOptions {
    let fleet = config.peers.as_ref().map_or(0, |peers| u16::try_from(peers.each.len()).unwrap_or(u16::MAX));
    let of = &leases.setup;
    let own = of.tasks.iter().filter(|task| task.wanted).map(|task| TaskId::of(&task.name));
    WorkOptions {
        setup: CoordinatorSetup {
            me: of.me,
            seed: of.seed,
            fleet,
            voters: of.voters.clone(),
            previous: of.previous.clone(),
            heartbeat_interval: span_of(settings.every),
            start_timeout: span_of(settings.hold),
            server_limits: limits(settings, settings.servers),
            pooler_limits: limits(settings, settings.poolers),
        },
        capacity: settings.capacity.iter().cloned().collect(),
        quiet_hours: settings.quiet.clone(),
        handover: settings.handover.clone(),
        max_out_time: settings.longest,
        zone: config.settings.zone.clone(),
        tasks: own.chain([TaskId::of(TASK)]).collect(),
    }
}

/// Prints the order in which a plan's machines would go out, if nothing failed and all work took equally long.
pub fn dry_run(plan: &Path, operator: &Path, config: &Path) -> Result<(), End> {
    let operator = Operator::load(operator).map_err(End::config)?;
    let Some(settings) = &operator.work else { return Err(End::config("the operator's file has no 'work'")) };
    let config = Config::load(config).map_err(End::config)?;
    let bytes = std::fs::read(plan).map_err(|error| End::config(format!("{}: {error}", plan.display())))?;
    let asked = PlanRequest::read(&bytes).map_err(End::config)?;
    let listed = || config.known.instances.iter().filter(|of| of.state() != ListState::Gone);
    let servers: Vec<ServerCandidate> = listed()
        .map(|of| {
            let claim = of.claim(0);
            ServerCandidate { id: of.instance_id.clone(), zone: claim.zone, machine: claim.machine }
        })
        .collect();
    let fleet = config.peers.as_ref().map_or(0, |peers| u16::try_from(peers.each.len()).unwrap_or(u16::MAX));
    let (kind, machines) = asked.machines(&servers, fleet).map_err(End::config)?;
    let capacity = |machine: &str| {
        let of =
            |name: &str| settings.capacity.iter().find(|(of, _)| of == name).map(|(_, requests)| *requests);
        of(machine).or_else(|| of("")).unwrap_or(0.0)
    };
    let mut facts = FleetInfo::default();
    for of in listed() {
        let claim = of.claim(0);
        facts.machines.push(MachineInfo {
            machine: id_hash(&of.instance_id),
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
        let of = |number: u64| MachineInfo {
            machine: number,
            in_service: true,
            warm: true,
            ..MachineInfo::default()
        };
        facts.machines = (0..u64::from(fleet)).map(of).collect();
        let voters = operator.leases.iter().flat_map(|leases| leases.voters.iter());
        facts.voters = voters.map(|voter| u64::from(*voter)).collect();
    }
    let limits =
        limits(settings, if kind == MachineKind::Servers { settings.servers } else { settings.poolers });
    let name = |machine: u64| match kind {
        MachineKind::Poolers => format!("pooler {machine}"),
        MachineKind::Servers => {
            servers.iter().find(|of| id_hash(&of.id) == machine).map_or_else(String::new, |of| of.id.clone())
        }
    };
    let plan = Plan { kind, machines, nonce: 0 };
    if let Err((at, why)) = check_feasible(&plan, &facts, &limits) {
        return Err(End::other(format!("{} could never go out: {why}", name(plan.machines[at]))));
    }
    for (step, out) in rehearse(&plan, facts, &limits).into_iter().enumerate() {
        let names: Vec<String> = out.iter().map(|at| name(plan.machines[*at])).collect();
        println!("{:>4}  {}", step + 1, names.join("  "));
    }
    Ok(())
}

/// The plan's steps, each with the places of the machines that go out together.
fn rehearse(plan: &Plan, mut facts: FleetInfo, limits: &Limits) -> Vec<Vec<usize>> {
    let limits = Limits { cold_period: Span(0), handover_timeout: Span(i64::MAX / 4), ..limits.clone() };
    let states = vec![MachineState::Waiting; plan.machines.len()];
    let mut record = Record { token: Token(1), version: 1, plan: plan.id(), mode: Mode::Running, states };
    let since = vec![Time(0); plan.machines.len()];
    let mut steps = Vec::new();
    // Each turn takes one out, hands one over or brings one back, so that more turns than these come to nothing.
    for _ in 0..plan.machines.len() * 6 + 6 {
        let next = next_step(Time(0), plan, &record, &since, &facts, &limits, &|_| true);
        let went: Vec<usize> = (0..next.states.len()).filter(|at| next.states[*at].is_leaving()).collect();
        for (at, state) in
            next.states.iter().enumerate().filter(|(_, state)| **state == MachineState::HandingOver)
        {
            let _ = state;
            let machine = plan.machines[at];
            let group = facts.machines.iter().find(|of| of.machine == machine).map(|of| of.group);
            let others = facts.machines.iter_mut().filter(|of| Some(of.group) == group);
            let mut heir = true;
            for of in others {
                of.primary = of.machine != machine && std::mem::take(&mut heir);
            }
        }
        (record.states, record.mode) = (next.states, next.mode);
        if !went.is_empty() {
            steps.push(went);
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
