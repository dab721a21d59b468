//! Many plays of the soak, one after another: the program over many seeds, and each of its broken variants until it is found.

use super::report::Report;
use super::run::{Spec, play};
use serde_json::json;
use std::fmt::Display;

/// The broken variants, as `linnetdeal_net::mutants` names them.
pub const MUTANTS: [&str; 5] =
    ["unguarded-send", "ordered-deadline", "lost-answer-never-ran", "forgotten-answer", "ignored-drains"];

/// What is played.
pub struct Wanted {
    /// How each is played; its seed and variant are put in.
    pub spec: Spec,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Each broken variant is played with so many seeds at most, until it is found; none are played for 0.
    pub mutant_seeds: u64,
}

/// Plays all of it; false if the program broke a rule, a variant was not found, or nothing was injected.
///
/// # Errors
///
/// When a play can't be set up.
pub fn run(wanted: &Wanted, say: impl Fn(&dyn Display)) -> std::io::Result<bool> {
    let mut violated = 0;
    let mut injected = 0;
    for seed in &wanted.seeds {
        let report = play(&Spec { seed: *seed, ..wanted.spec.clone() })?;
        show(&report, &say);
        violated += report.violated();
        injected += report.injected.values().sum::<u64>();
    }
    let mut found = Vec::new();
    let mut missed = Vec::new();
    for mutant in MUTANTS.iter().filter(|_| wanted.mutant_seeds > 0) {
        match find(wanted, mutant, &say)? {
            Some(rules) => found.push(format!("{mutant}: {rules}")),
            None => missed.push(*mutant),
        }
    }
    say(
        &json!({"plays": wanted.seeds.len(), "violated": violated, "injected": injected, "variants_found": found,
        "variants_missed": missed}),
    );
    Ok(violated == 0 && missed.is_empty() && (wanted.seeds.is_empty() || injected > 0))
}

/// Plays a broken variant until a rule is broken that is not only of the program's own check; gives which were.
fn find(wanted: &Wanted, mutant: &str, say: &impl Fn(&dyn Display)) -> std::io::Result<Option<String>> {
    let first = wanted.seeds.first().copied().unwrap_or(1);
    for seed in first..first + wanted.mutant_seeds {
        let report = play(&Spec { seed, mutant: Some(mutant.to_owned()), ..wanted.spec.clone() })?;
        show(&report, say);
        if report.violated() > 0 {
            let rules: Vec<String> =
                report.violations.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
            return Ok(Some(rules.join(", ")));
        }
    }
    Ok(None)
}

fn show(report: &Report, say: &impl Fn(&dyn Display)) {
    say(&report.json());
    report.details.iter().for_each(|detail| say(&format!("  {detail}")));
}
