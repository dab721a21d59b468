//! All of the proof, and its last line.

use super::play::{Outcome, play};
use super::script::Script;
use crate::at_once;
use crate::processes::process;
use serde_json::json;
use std::fmt::Display;
use std::path::PathBuf;

/// What is to be played.
pub struct Wanted {
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

/// The value below which this share of them lies.
fn quantile(of: &mut [f64], share: f64) -> f64 {
    of.sort_by(f64::total_cmp);
    let at = (of.len() as f64 * share).ceil() as usize;
    of.get(at.clamp(1, of.len().max(1)) - 1).copied().unwrap_or(0.0)
}

fn rounded(of: f64) -> f64 {
    (of * 1_000.0).round() / 1_000.0
}

/// Plays it all; whether all came out as it must.
///
/// # Errors
///
/// When scripts can't be read.
pub fn run(
    wanted: &Wanted,
    say: impl Fn(&dyn Display),
) -> Result<bool, Box<dyn std::error::Error + Send + Sync>> {
    let mut scripts = Script::folder(&wanted.folder)?;
    scripts.retain(|script| wanted.only.as_ref().is_none_or(|only| script.name.contains(only)));
    let plays: Vec<(usize, u64)> =
        (1..=wanted.times).flat_map(|seed| (0..scripts.len()).map(move |at| (at, seed))).collect();
    let outcomes = at_once(&plays, wanted.side_by_side, |(at, seed)| {
        play(&scripts[*at], scripts[*at].seed * 1_000 + seed, &wanted.program)
    });
    let (mut all, mut well) = (Outcome::default(), true);
    let (mut processes, mut servers) = (0, 0);
    for ((at, seed), outcome) in plays.iter().zip(outcomes) {
        let script = &scripts[*at];
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                well = false;
                say(&format!("{:<28} {seed:>3} could not be played: {error}", script.name));
                continue;
            }
        };
        say(&line(script, *seed, &outcome));
        well &= outcome.is_well(script);
        processes = processes.max(script.poolers);
        servers = servers.max(script.groups * script.members);
        add(&mut all, outcome);
    }
    let (started, ended) = process::count();
    say(&json!({"processes": processes, "servers": servers, "scripts": plays.len(),
        "steps_interrupted": all.interrupted, "machines_worked": all.worked,
        "sends_to_free_machines": all.sends_to_free, "limits_exceeded": all.limits_exceeded,
        "machines_forgotten_out": all.forgotten, "drains_broken": all.drains_broken,
        "cold_pushed_over": all.cold_pushed, "rows_doubled": all.doubled, "rows_lost": all.lost,
        "unanswered": all.unanswered, "served": rounded(all.served.0 as f64 / all.served.1.max(1) as f64),
        "resumed_after_holder_death_p99_s": rounded(quantile(&mut all.resumed, 0.99)),
        "bytes_max": all.longest, "started": started, "leaks": started - ended}));
    Ok(well && started == ended)
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
