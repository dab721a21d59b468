//! Runs the whole proof of leases: the scripts, the large fleet and the model checks; prints a summary as its
//! last line.

use super::check::{Bounds, check};
use super::mutants;
use super::runner::{Outcome, run_script};
use super::script::Script;
use crate::processes::process;
use crate::processes::records::{quantile, script_runs};
use crate::run_parallel;
use linnetdeal_coordination::lease::FullLeaseRules;
use serde_json::json;
use std::fmt::Display;
use std::path::PathBuf;

/// Threads of a model check.
const THREADS: usize = 6;

/// Maximum of states generated in one model check of the whole proof.
const MAX_STATES: usize = 12_000_000;

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
    /// Number of processes of the large fleet.
    pub fleet: usize,
    /// Path of the daemon's executable.
    pub program: PathBuf,
}

fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Runs the proof and returns whether all of it passed.
///
/// # Errors
///
/// When scripts can't be read or processes can't be started.
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
    let (mut total, mut passed, mut takeovers) = (Outcome::default(), true, Vec::new());
    let (mut late_acts, mut overlapping, mut let_through, mut processes) = (0, 0, 0, 0);
    for ((index, seed), outcome) in runs.iter().zip(outcomes) {
        let script = &scripts[*index];
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                passed = false;
                say(&format!("{:<22} {seed:>3} could not be played: {error}", script.name));
                continue;
            }
        };
        let verdict = &outcome.verdict;
        let mut run_takeovers = outcome.takeovers.clone();
        let kept_folder =
            outcome.kept_folder.as_ref().map(|folder| format!("  kept in {}", folder.display()));
        say(&format!(
            "{:<22} {seed:>3} acts {:>4}  tokens {:>3}  overlapping {}  old {}  late {}  back {}  takeover p50 {:.2} most {:.2} terms  {}{}",
            script.name,
            verdict.acts,
            verdict.tokens,
            verdict.overlapping_acts,
            verdict.old_tokens_let_through,
            verdict.late_acts,
            verdict.tokens_went_back,
            quantile(&mut run_takeovers, 0.5),
            quantile(&mut run_takeovers, 1.0),
            outcome.missed.join("; "),
            kept_folder.unwrap_or_default()
        ));
        passed &= outcome.passed(script);
        processes = processes.max(script.poolers);
        late_acts += if script.late_acts { 0 } else { verdict.late_acts };
        overlapping += verdict.overlapping_acts;
        let_through += verdict.old_tokens_let_through;
        total.verdict.acts += verdict.acts;
        total.verdict.tokens_went_back += verdict.tokens_went_back + verdict.tokens_shared;
        total.max_datagram_bytes = total.max_datagram_bytes.max(outcome.max_datagram_bytes);
        takeovers.extend(outcome.takeovers);
    }
    if spec.only.is_some() {
        let (started, ended) = process::counts();
        say(&json!({"scripts": runs.len(), "takeovers": takeovers.len(), "overlapping_acts": overlapping,
            "takeover_p99_terms": rounded(quantile(&mut takeovers, 0.99)), "leaks": started - ended}));
        return Ok(passed && started == ended);
    }
    let (mut fleet_size, mut rates) = (0, (0.0, 0.0));
    for mut script in Script::read_folder(&spec.folder.join("large"))? {
        script.poolers = spec.fleet.max(script.voters.len());
        let outcome = run_script(&script, script.seed, &spec.program)?;
        let mut run_takeovers = outcome.takeovers.clone();
        say(&format!(
            "{:<22} {} processes, acts {}, takeovers {}, most {:.2} terms, datagrams a second of a pooler that is no voter: most {:.2}, mean {:.2}  {}",
            script.name,
            script.poolers,
            outcome.verdict.acts,
            outcome.takeovers.len(),
            quantile(&mut run_takeovers, 1.0),
            outcome.rates.0,
            outcome.rates.1,
            outcome.missed.join("; ")
        ));
        passed &= outcome.passed(&script);
        let verdict = &outcome.verdict;
        late_acts += verdict.late_acts;
        overlapping += verdict.overlapping_acts;
        let_through += verdict.old_tokens_let_through;
        total.verdict.tokens_went_back += verdict.tokens_went_back + verdict.tokens_shared;
        total.max_datagram_bytes = total.max_datagram_bytes.max(outcome.max_datagram_bytes);
        takeovers.extend(outcome.takeovers);
        (fleet_size, rates) = (script.poolers, outcome.rates);
    }
    let summary = run_model_checks(MAX_STATES, &say)?;
    passed &= summary.passed;
    let (started, ended) = process::counts();
    say(&json!({"processes": processes, "scripts": runs.len(), "acts": total.verdict.acts,
        "takeovers": takeovers.len(), "overlapping_acts": overlapping,
        "acts_with_old_token_let_through": let_through, "late_acts_within_bounds": late_acts,
        "tokens_went_back": total.verdict.tokens_went_back,
        "takeover_p50_terms": rounded(quantile(&mut takeovers, 0.5)),
        "takeover_p99_terms": rounded(quantile(&mut takeovers, 0.99)),
        "mutants": summary.mutants, "mutants_found": summary.found, "states_checked": summary.states,
        "fleet": fleet_size, "datagrams_per_s_per_pooler": rounded(rates.0), "datagrams_per_s_mean": rounded(rates.1),
        "bytes_max": total.max_datagram_bytes, "started": started, "leaks": started - ended}));
    Ok(passed && started == ended)
}

/// Summary of the model checks.
pub struct ModelSummary {
    /// States explored with the full lease rules.
    pub states: usize,
    /// Number of mutants.
    pub mutants: usize,
    /// Number of mutants for which a violation was found.
    pub found: usize,
    /// Whether the full rules were never broken and all mutants were found.
    pub passed: bool,
}

/// Checks the full lease rules within several bounds, and each mutant.
///
/// # Errors
///
/// Never; the result type matches the other proofs.
pub fn run_model_checks(
    max_states: usize,
    say: impl Fn(&dyn Display),
) -> Result<ModelSummary, Box<dyn std::error::Error + Send + Sync>> {
    let base = mutants::bounds();
    let cases = [
        ("two claimants, duplicates, losses, pauses", base),
        ("clocks wrong by what was stated", Bounds { drift: true, ..base }),
        ("a voter starts anew", Bounds { voter_restarts: 1, drift: true, ..base }),
        ("a claimant starts anew", Bounds { claimant_restarts: 1, ticks: 3, ..base }),
        ("the task is given up", Bounds { releases: 1, ..base }),
        ("acts under way", Bounds { acts: true, ..base }),
        ("a renewal or a second claim each", Bounds { rounds: 2, ..base }),
    ];
    let mut summary = ModelSummary { states: 0, mutants: 0, found: 0, passed: true };
    for (name, bounds) in cases {
        let result = check::<FullLeaseRules>(bounds, THREADS, max_states);
        let description = result
            .violation
            .as_ref()
            .map_or("no rule broken".to_owned(), |(rule, steps)| format!("{rule}: {steps:?}"));
        let holder_note = if result.changed_hands { "" } else { ", AND THE TASK NEVER CHANGED HANDS" };
        let coverage = if result.complete { "all of" } else { "of more" };
        say(&format!(
            "model: {name:<44} {coverage} {:>9} states, {:>3} deep, {description}{holder_note}",
            result.states, result.depth
        ));
        summary.states += result.states;
        summary.passed &= result.violation.is_none() && result.changed_hands;
    }
    for mutant in mutants::check_all(THREADS, max_states) {
        let description = mutant.result.violation.as_ref().map_or("NOT FOUND".to_owned(), |(rule, steps)| {
            format!("found in {} steps: {rule}", steps.len())
        });
        say(&format!("mutant: {:<43} {:>9} states, {description}", mutant.name, mutant.result.states));
        summary.mutants += 1;
        summary.found += usize::from(mutant.result.violation.is_some());
    }
    summary.passed &= summary.found == summary.mutants;
    Ok(summary)
}
