//! Runs the whole proof of maintenance work: the scripts, the large fleets and the simulation of order
//! policies; prints a summary as its last line.

use super::runner::{Outcome, run_script};
use super::script::Script;
use super::simulation;
use crate::processes::process;
use crate::processes::records::{quantile, script_runs};
use crate::run_parallel;
use linnetdeal_coordination::work::OrderPolicy;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::path::{Path, PathBuf};

/// What the proof runs.
pub struct ProofSpec {
    /// Folder of the scripts.
    pub folder: PathBuf,
    /// Runs only the scripts whose names contain this, and no other part of the proof.
    pub only: Option<String>,
    /// Runs of each script.
    pub times: u64,
    /// Scripts that run concurrently.
    pub side_by_side: usize,
    /// Path of the daemon's executable.
    pub program: PathBuf,
}

/// Slow start of a server in all scripts, in seconds.
const COLD_S: f64 = 0.4;

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Runs the proof and returns whether all of it passed.
///
/// # Errors
///
/// When scripts can't be read, or the processes of a large fleet can't be started.
pub fn run(
    spec: &ProofSpec,
    say: impl Fn(&dyn Display),
) -> Result<bool, Box<dyn std::error::Error + Send + Sync>> {
    let mut scripts = Script::read_folder(&spec.folder)?;
    scripts.retain(|script| spec.only.as_ref().is_none_or(|only| script.name.contains(only)));
    let runs = script_runs(scripts.len(), spec.times);
    let outcomes = run_parallel(&runs, spec.side_by_side, |(index, seed)| {
        run_script(&scripts[*index], scripts[*index].seed * 1_000 + seed, &spec.program)
    });
    let (mut total, mut passed) = (Outcome::default(), true);
    let (mut processes, mut servers) = (0, 0);
    for ((index, seed), outcome) in runs.iter().zip(outcomes) {
        let script = &scripts[*index];
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                passed = false;
                say(&format!("{:<28} {seed:>3} could not be played: {error}", script.name));
                continue;
            }
        };
        say(&summary_line(script, *seed, &outcome));
        passed &= outcome.passed(script);
        processes = processes.max(script.poolers);
        servers = servers.max(script.groups * script.members);
        accumulate(&mut total, outcome);
    }
    let mut served = BTreeMap::new();
    let mut plan = (0.0, 0.0);
    if spec.only.is_none() {
        let mut large = Script::read_folder(&spec.folder.join("large"))?;
        // One after another: each uses all of the machine.
        for script in &mut large {
            let outcome = run_script(script, script.seed, &spec.program)?;
            say(&summary_line(script, script.seed, &outcome));
            passed &= outcome.passed(script);
            processes = processes.max(script.poolers);
            servers = servers.max(script.groups * script.members);
            let share = outcome.served.0 as f64 / outcome.served.1.max(1) as f64;
            served.insert(script.name.clone(), share);
            if script.name == "large-calm" {
                plan = (outcome.plan_s, shortest_plan_seconds(script));
            }
            accumulate(&mut total, outcome);
        }
        compare_order_policies(&say)?;
    }
    let served_share = |name: &str| served.get(name).copied().map_or(0.0, rounded);
    let (started, ended) = process::counts();
    say(&json!({"processes": processes, "servers": servers, "scripts": runs.len(),
        "steps_interrupted": total.interrupted, "machines_worked": total.worked,
        "sends_to_free_machines": total.sends_to_free, "limits_exceeded": total.limits_exceeded,
        "machines_forgotten_out": total.forgotten, "drains_broken": total.drains_broken,
        "cold_pushed_over": total.cold_pushed, "rows_doubled": total.doubled, "rows_lost": total.lost,
        "unanswered": total.unanswered, "served_all": rounded(total.served.0 as f64 / total.served.1.max(1) as f64),
        "served": served_share("large-calm"), "served_without_plan": served_share("large-without"),
        "served_with_fault": served_share("large-fault"), "served_with_fault_without_plan": served_share("large-fault-without"),
        "plan_s": rounded(plan.0), "shortest_possible_s": rounded(plan.1),
        "resumed_after_holder_death_p99_s": rounded(quantile(&mut total.resumed, 0.99)),
        "bytes_max": total.max_datagram_bytes, "started": started, "leaks": started - ended}));
    Ok(passed && started == ended)
}

/// Lower bound of a plan's duration under a script's limits, in seconds. Zones take turns, with a limited
/// number of machines at once, and each machine takes the time of its work and its slow start. A primary goes
/// after its replicas, so that each zone needs a second turn for its primaries; only in the last zone the
/// replicas of its primaries are done by then.
fn shortest_plan_seconds(script: &Script) -> f64 {
    let each = script.lasts.as_secs_f64() + COLD_S;
    let zones = script.zones.min(script.members);
    let (mut primaries, mut others) = (vec![0; zones], vec![0; zones]);
    for group in 0..script.groups {
        for member in 0..script.members {
            let counts = if member == group % script.members { &mut primaries } else { &mut others };
            counts[member % zones] += 1;
        }
    }
    let per_turn = script.zone.min(script.all).max(1);
    let turns = |count: usize| count.div_ceil(per_turn);
    let turns_with_last = |last: usize| -> usize {
        let zone_turns = |zone: usize| {
            if zone == last {
                turns(primaries[zone] + others[zone])
            } else {
                turns(others[zone]) + turns(primaries[zone])
            }
        };
        (0..zones).map(zone_turns).sum()
    };
    let min_turns = (0..zones).map(turns_with_last).min().unwrap_or(0);
    each * min_turns as f64
}

/// Simulates the order of machines with each order policy, prints the results and plots them.
///
/// # Errors
///
/// When the plot can't be written.
pub fn compare_order_policies(
    say: &impl Fn(&dyn Display),
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let policies = [
        ("named", OrderPolicy::AsNamed),
        ("spare", OrderPolicy::MostSpare),
        ("ahead", OrderPolicy::LongestRemaining),
    ];
    for servers in [18, 120, 240] {
        for (name, policy) in policies {
            let (mut ratios, mut lost, mut out) = (Vec::new(), 0.0, 0);
            for seed in 1..=4 {
                let (fleet, limits) = (simulation::fleet(servers, seed), simulation::limits(policy));
                let result = simulation::simulate(&fleet, &limits);
                let complete = result.worked == servers;
                ratios.push(
                    result
                        .seconds
                        .filter(|_| complete)
                        .map_or(f64::NAN, |took| took / simulation::shortest_seconds(&fleet, &limits)),
                );
                lost += result.lost_share / 4.0;
                out = out.max(result.max_out);
            }
            let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
            let most = ratios.iter().copied().fold(0.0, f64::max);
            say(&format!(
                "model: {servers:>3} servers, {name:<6} {mean:.2} times the shortest, {most:.2} at most of 4 fleets; load lost {lost:.5}; {out} out at most"
            ));
        }
    }
    let fleet = simulation::fleet(120, 1);
    let runs: Vec<_> = policies
        .iter()
        .map(|(name, policy)| (*name, simulation::simulate(&fleet, &simulation::limits(*policy))))
        .collect();
    simulation::plot(Path::new("docs/design/work-plan.svg"), &runs)
}

fn accumulate(total: &mut Outcome, outcome: Outcome) {
    total.interrupted += outcome.interrupted;
    total.worked += outcome.worked;
    total.sends_to_free += outcome.sends_to_free;
    total.limits_exceeded += outcome.limits_exceeded;
    total.forgotten += outcome.forgotten;
    total.drains_broken += outcome.drains_broken;
    total.cold_pushed += outcome.cold_pushed;
    total.doubled += outcome.doubled;
    total.lost += outcome.lost;
    total.unanswered += outcome.unanswered;
    total.served = (total.served.0 + outcome.served.0, total.served.1 + outcome.served.1);
    total.resumed.extend(outcome.resumed);
    total.max_datagram_bytes = total.max_datagram_bytes.max(outcome.max_datagram_bytes);
}

fn summary_line(script: &Script, seed: u64, outcome: &Outcome) -> String {
    let kept_folder = outcome.kept_folder.as_ref().map(|folder| format!("  kept in {}", folder.display()));
    format!(
        "{:<28} {seed:>3} worked {:>3}  plan {:>5.1} s  sends {}  limits {}  forgotten {}  rows {}+{}  unanswered {}  served {:.3} of {}  {}{}",
        script.name,
        outcome.worked,
        outcome.plan_s,
        outcome.sends_to_free,
        outcome.limits_exceeded,
        outcome.forgotten,
        outcome.doubled,
        outcome.lost,
        outcome.unanswered,
        outcome.served.0 as f64 / outcome.served.1.max(1) as f64,
        outcome.served.1,
        outcome.missed.join("; "),
        kept_folder.unwrap_or_default()
    )
}
