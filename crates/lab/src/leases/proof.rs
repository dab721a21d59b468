//! All of the proof, and its last line.

use super::check::{Bounds, check};
use super::mutants;
use super::play::{Outcome, play};
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

/// States generated in one check of the whole proof, at most.
const MOST_STATES: usize = 12_000_000;

/// What is to be played.
pub struct Wanted {
    /// The folder of the scripts.
    pub folder: PathBuf,
    /// Only scripts whose names hold this, and nothing else.
    pub only: Option<String>,
    /// How often each.
    pub times: u64,
    /// How many at once.
    pub side_by_side: usize,
    /// Processes of the large fleet.
    pub fleet: usize,
    /// The program.
    pub program: PathBuf,
}

fn rounded(of: f64) -> f64 {
    (of * 100.0).round() / 100.0
}

/// Plays it all; whether all came out as it must.
///
/// # Errors
///
/// When scripts can't be read or processes not be started.
pub fn run(
    wanted: &Wanted,
    say: impl Fn(&dyn Display),
) -> Result<bool, Box<dyn std::error::Error + Send + Sync>> {
    let mut scripts = Script::folder(&wanted.folder)?;
    scripts.retain(|script| wanted.only.as_ref().is_none_or(|only| script.name.contains(only)));
    let plays = script_runs(scripts.len(), wanted.times);
    let outcomes = run_parallel(&plays, wanted.side_by_side, |(at, seed)| {
        play(&scripts[*at], scripts[*at].seed * 1_000 + seed, &wanted.program)
    });
    let (mut whole, mut well, mut takeovers) = (Outcome::default(), true, Vec::new());
    let (mut unsafe_acts, mut overlapping, mut let_through, mut processes) = (0, 0, 0, 0);
    for ((at, seed), outcome) in plays.iter().zip(outcomes) {
        let script = &scripts[*at];
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                well = false;
                say(&format!("{:<22} {seed:>3} could not be played: {error}", script.name));
                continue;
            }
        };
        let of = &outcome.verdict;
        let mut own = outcome.takeovers.clone();
        let kept = outcome.kept.as_ref().map(|folder| format!("  kept in {}", folder.display()));
        say(&format!(
            "{:<22} {seed:>3} acts {:>4}  tokens {:>3}  overlapping {}  old {}  late {}  back {}  takeover p50 {:.2} most {:.2} terms  {}{}",
            script.name,
            of.acts,
            of.tokens,
            of.overlapping_acts,
            of.old_tokens_let_through,
            of.late_acts,
            of.tokens_went_back,
            quantile(&mut own, 0.5),
            quantile(&mut own, 1.0),
            outcome.missed.join("; "),
            kept.unwrap_or_default()
        ));
        well &= outcome.is_well(script);
        processes = processes.max(script.poolers);
        unsafe_acts += if script.late_acts { 0 } else { of.late_acts };
        overlapping += of.overlapping_acts;
        let_through += of.old_tokens_let_through;
        whole.verdict.acts += of.acts;
        whole.verdict.tokens_went_back += of.tokens_went_back + of.tokens_shared;
        whole.longest = whole.longest.max(outcome.longest);
        takeovers.extend(outcome.takeovers);
    }
    if wanted.only.is_some() {
        let (started, ended) = process::counts();
        say(&json!({"scripts": plays.len(), "takeovers": takeovers.len(), "overlapping_acts": overlapping,
            "takeover_p99_terms": rounded(quantile(&mut takeovers, 0.99)), "leaks": started - ended}));
        return Ok(well && started == ended);
    }
    let (mut of_fleet, mut rates) = (0, (0.0, 0.0));
    for mut script in Script::folder(&wanted.folder.join("large"))? {
        script.poolers = wanted.fleet.max(script.voters.len());
        let outcome = play(&script, script.seed, &wanted.program)?;
        let mut own = outcome.takeovers.clone();
        say(&format!(
            "{:<22} {} processes, acts {}, takeovers {}, most {:.2} terms, datagrams a second of a pooler that is no voter: most {:.2}, mean {:.2}  {}",
            script.name,
            script.poolers,
            outcome.verdict.acts,
            outcome.takeovers.len(),
            quantile(&mut own, 1.0),
            outcome.rates.0,
            outcome.rates.1,
            outcome.missed.join("; ")
        ));
        well &= outcome.is_well(&script);
        let of = &outcome.verdict;
        unsafe_acts += of.late_acts;
        overlapping += of.overlapping_acts;
        let_through += of.old_tokens_let_through;
        whole.verdict.tokens_went_back += of.tokens_went_back + of.tokens_shared;
        whole.longest = whole.longest.max(outcome.longest);
        takeovers.extend(outcome.takeovers);
        (of_fleet, rates) = (script.poolers, outcome.rates);
    }
    let modelled = model(MOST_STATES, &say)?;
    well &= modelled.well;
    let (started, ended) = process::counts();
    say(&json!({"processes": processes, "scripts": plays.len(), "acts": whole.verdict.acts,
        "takeovers": takeovers.len(), "overlapping_acts": overlapping,
        "acts_with_old_token_let_through": let_through, "late_acts_within_bounds": unsafe_acts,
        "tokens_went_back": whole.verdict.tokens_went_back,
        "takeover_p50_terms": rounded(quantile(&mut takeovers, 0.5)),
        "takeover_p99_terms": rounded(quantile(&mut takeovers, 0.99)),
        "mutants": modelled.mutants, "mutants_found": modelled.found, "states_checked": modelled.states,
        "fleet": of_fleet, "datagrams_per_s_per_pooler": rounded(rates.0), "datagrams_per_s_mean": rounded(rates.1),
        "bytes_max": whole.longest, "started": started, "leaks": started - ended}));
    Ok(well && started == ended)
}

/// What the model check showed.
pub struct Modelled {
    /// States of the leases as they are.
    pub states: usize,
    /// Mutants.
    pub mutants: usize,
    /// Mutants found.
    pub found: usize,
    /// Nothing was wrong with the leases as they are, and all mutants were found.
    pub well: bool,
}

/// Checks the votes as they are within several bounds, and each mutant.
///
/// # Errors
///
/// Never; so that it can stand beside the other proofs.
pub fn model(
    most: usize,
    say: impl Fn(&dyn Display),
) -> Result<Modelled, Box<dyn std::error::Error + Send + Sync>> {
    let of = mutants::bounds();
    let cases = [
        ("two claimants, duplicates, losses, pauses", of),
        ("clocks wrong by what was stated", Bounds { drift: true, ..of }),
        ("a voter starts anew", Bounds { voters: 1, drift: true, ..of }),
        ("a claimant starts anew", Bounds { claimants: 1, ticks: 3, ..of }),
        ("the task is given up", Bounds { releases: 1, ..of }),
        ("acts under way", Bounds { acts: true, ..of }),
        ("a renewal or a second claim each", Bounds { rounds: 2, ..of }),
    ];
    let mut all = Modelled { states: 0, mutants: 0, found: 0, well: true };
    for (name, bounds) in cases {
        let found = check::<FullLeaseRules>(bounds, THREADS, most);
        let words = found
            .wrong
            .as_ref()
            .map_or("no rule broken".to_owned(), |(words, steps)| format!("{words}: {steps:?}"));
        let hands = if found.changed_hands { "" } else { ", AND THE TASK NEVER CHANGED HANDS" };
        let whole = if found.whole { "all of" } else { "of more" };
        say(&format!(
            "model: {name:<44} {whole} {:>9} states, {:>3} deep, {words}{hands}",
            found.states, found.depth
        ));
        all.states += found.states;
        all.well &= found.wrong.is_none() && found.changed_hands;
    }
    for tried in mutants::all(THREADS, most) {
        let words = tried.found.wrong.as_ref().map_or("NOT FOUND".to_owned(), |(words, steps)| {
            format!("found in {} steps: {words}", steps.len())
        });
        say(&format!("mutant: {:<43} {:>9} states, {words}", tried.name, tried.found.states));
        all.mutants += 1;
        all.found += usize::from(tried.found.wrong.is_some());
    }
    all.well &= all.found == all.mutants;
    Ok(all)
}
