//! All of the proof, and its last line.

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

/// What is to be played.
pub struct ProofSpec {
    /// The folder of the scripts.
    pub folder: PathBuf,
    /// Only scripts whose names hold this.
    pub only: Option<String>,
    /// How often each.
    pub times: u64,
    /// How many at once.
    pub side_by_side: usize,
    /// The program.
    pub program: PathBuf,
}

/// Machines count as cold for so long in all scripts, in seconds.
const COLD_S: f64 = 0.4;

fn rounded(of: f64) -> f64 {
    (of * 1_000.0).round() / 1_000.0
}

/// Plays it all; whether all came out as it must.
///
/// # Errors
///
/// When scripts can't be read.
pub fn run(
    spec: &ProofSpec,
    say: impl Fn(&dyn Display),
) -> Result<bool, Box<dyn std::error::Error + Send + Sync>> {
    let mut scripts = Script::read_folder(&spec.folder)?;
    scripts.retain(|script| spec.only.as_ref().is_none_or(|only| script.name.contains(only)));
    let plays = script_runs(scripts.len(), spec.times);
    let outcomes = run_parallel(&plays, spec.side_by_side, |(at, seed)| {
        run_script(&scripts[*at], scripts[*at].seed * 1_000 + seed, &spec.program)
    });
    let (mut all, mut passed) = (Outcome::default(), true);
    let (mut processes, mut servers) = (0, 0);
    for ((at, seed), outcome) in plays.iter().zip(outcomes) {
        let script = &scripts[*at];
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                passed = false;
                say(&format!("{:<28} {seed:>3} could not be played: {error}", script.name));
                continue;
            }
        };
        say(&line(script, *seed, &outcome));
        passed &= outcome.passed(script);
        processes = processes.max(script.poolers);
        servers = servers.max(script.groups * script.members);
        add(&mut all, outcome);
    }
    let mut served = BTreeMap::new();
    let mut plan = (0.0, 0.0);
    if spec.only.is_none() {
        let mut large = Script::read_folder(&spec.folder.join("large"))?;
        // One after another: each fills the machine.
        for script in &mut large {
            let outcome = run_script(script, script.seed, &spec.program)?;
            say(&line(script, script.seed, &outcome));
            passed &= outcome.passed(script);
            processes = processes.max(script.poolers);
            servers = servers.max(script.groups * script.members);
            let share = outcome.served.0 as f64 / outcome.served.1.max(1) as f64;
            served.insert(script.name.clone(), share);
            if script.name == "large-calm" {
                plan = (outcome.plan_s, shortest_of(script));
            }
            add(&mut all, outcome);
        }
        compare_order_policies(&say)?;
    }
    let of = |name: &str| served.get(name).copied().map_or(0.0, rounded);
    let (started, ended) = process::counts();
    say(&json!({"processes": processes, "servers": servers, "scripts": plays.len(),
        "steps_interrupted": all.interrupted, "machines_worked": all.worked,
        "sends_to_free_machines": all.sends_to_free, "limits_exceeded": all.limits_exceeded,
        "machines_forgotten_out": all.forgotten, "drains_broken": all.drains_broken,
        "cold_pushed_over": all.cold_pushed, "rows_doubled": all.doubled, "rows_lost": all.lost,
        "unanswered": all.unanswered, "served_all": rounded(all.served.0 as f64 / all.served.1.max(1) as f64),
        "served": of("large-calm"), "served_without_plan": of("large-without"),
        "served_with_fault": of("large-fault"), "served_with_fault_without_plan": of("large-fault-without"),
        "plan_s": rounded(plan.0), "shortest_possible_s": rounded(plan.1),
        "resumed_after_holder_death_p99_s": rounded(quantile(&mut all.resumed, 0.99)),
        "bytes_max": all.longest, "started": started, "leaks": started - ended}));
    Ok(passed && started == ended)
}

/// The shortest that the limits of a script allow, in seconds: its zones in turn, so many machines of each at once, each at work and
/// cold for as long as the script has it, and a primary after its replicas. Only the last zone's primaries have theirs done by then;
/// all others' zones have a second turn.
fn shortest_of(script: &Script) -> f64 {
    let each = script.lasts.as_secs_f64() + COLD_S;
    let zones = script.zones.min(script.members);
    let (mut primaries, mut others) = (vec![0; zones], vec![0; zones]);
    for group in 0..script.groups {
        for member in 0..script.members {
            let of = if member == group % script.members { &mut primaries } else { &mut others };
            of[member % zones] += 1;
        }
    }
    let most = script.zone.min(script.all).max(1);
    let turns = |count: usize| count.div_ceil(most);
    let with_last = |last: usize| -> usize {
        let of = |zone: usize| {
            if zone == last {
                turns(primaries[zone] + others[zone])
            } else {
                turns(others[zone]) + turns(primaries[zone])
            }
        };
        (0..zones).map(of).sum()
    };
    let least = (0..zones).map(with_last).min().unwrap_or(0);
    each * least as f64
}

/// The order of machines by each scheme, in the model, and a plot of it.
///
/// # Errors
///
/// When the plot can't be written.
pub fn compare_order_policies(
    say: &impl Fn(&dyn Display),
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let all = [
        ("named", OrderPolicy::AsNamed),
        ("spare", OrderPolicy::MostSpare),
        ("ahead", OrderPolicy::LongestRemaining),
    ];
    for servers in [18, 120, 240] {
        for (name, scheme) in all {
            let (mut over, mut lost, mut out) = (Vec::new(), 0.0, 0);
            for seed in 1..=4 {
                let (fleet, limits) = (simulation::fleet(servers, seed), simulation::limits(scheme));
                let played = simulation::simulate(&fleet, &limits);
                let whole = played.worked == servers;
                over.push(
                    played
                        .seconds
                        .filter(|_| whole)
                        .map_or(f64::NAN, |took| took / simulation::shortest(&fleet, &limits)),
                );
                lost += played.lost / 4.0;
                out = out.max(played.most_out);
            }
            let mean = over.iter().sum::<f64>() / over.len() as f64;
            let most = over.iter().copied().fold(0.0, f64::max);
            say(&format!(
                "model: {servers:>3} servers, {name:<6} {mean:.2} times the shortest, {most:.2} at most of 4 fleets; load lost {lost:.5}; {out} out at most"
            ));
        }
    }
    let fleet = simulation::fleet(120, 1);
    let plays: Vec<_> = all
        .iter()
        .map(|(name, scheme)| (*name, simulation::simulate(&fleet, &simulation::limits(*scheme))))
        .collect();
    simulation::plot(Path::new("docs/design/work-plan.svg"), &plays)
}

fn add(all: &mut Outcome, one: Outcome) {
    all.interrupted += one.interrupted;
    all.worked += one.worked;
    all.sends_to_free += one.sends_to_free;
    all.limits_exceeded += one.limits_exceeded;
    all.forgotten += one.forgotten;
    all.drains_broken += one.drains_broken;
    all.cold_pushed += one.cold_pushed;
    all.doubled += one.doubled;
    all.lost += one.lost;
    all.unanswered += one.unanswered;
    all.served = (all.served.0 + one.served.0, all.served.1 + one.served.1);
    all.resumed.extend(one.resumed);
    all.longest = all.longest.max(one.longest);
}

fn line(script: &Script, seed: u64, of: &Outcome) -> String {
    let kept = of.kept.as_ref().map(|folder| format!("  kept in {}", folder.display()));
    format!(
        "{:<28} {seed:>3} worked {:>3}  plan {:>5.1} s  sends {}  limits {}  forgotten {}  rows {}+{}  unanswered {}  served {:.3} of {}  {}{}",
        script.name,
        of.worked,
        of.plan_s,
        of.sends_to_free,
        of.limits_exceeded,
        of.forgotten,
        of.doubled,
        of.lost,
        of.unanswered,
        of.served.0 as f64 / of.served.1.max(1) as f64,
        of.served.1,
        of.missed.join("; "),
        kept.unwrap_or_default()
    )
}
