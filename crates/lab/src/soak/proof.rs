//! Many plays of the soak, one after another: the program over many seeds, and each of its broken variants until it is found.

use super::faults::FaultKind;
use super::report::Report;
use super::run::{Spec, run_soak};
use serde_json::json;
use std::fmt::Display;

/// A broken variant, as `linnetdeal_net::mutants` names it, and the troubles at which it shows; all of them if there are none.
struct Variant {
    name: &'static str,
    faults: &'static [FaultKind],
    /// So many of a thousand calls of the system fail at it, if that is what it shows at.
    failing_calls: Option<u64>,
    /// Whether missing it fails the proof. One that something else in the program covers as well is reported all the same.
    required: bool,
}

const VARIANTS: [Variant; 6] = [
    Variant {
        name: "unguarded-send",
        faults: &[FaultKind::LateConnect, FaultKind::IdleClose, FaultKind::Pause],
        failing_calls: None,
        required: false,
    },
    Variant {
        name: "ordered-deadline",
        faults: &[FaultKind::LateConnect, FaultKind::IdleClose, FaultKind::ServerDown],
        failing_calls: None,
        required: true,
    },
    Variant { name: "lost-answer-never-ran", faults: &[], failing_calls: None, required: true },
    Variant { name: "forgotten-answer", faults: &[], failing_calls: None, required: true },
    Variant { name: "ignored-drains", faults: &[], failing_calls: None, required: true },
    Variant {
        name: "signal-error-ends",
        faults: &[FaultKind::Reload, FaultKind::ReloadTwice],
        failing_calls: Some(150),
        required: true,
    },
];

/// What is played.
pub struct ProofSpec {
    /// How each is played; its seed and variant are put in.
    pub spec: Spec,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Each broken variant is played with so many seeds at most, until it is found; none are played for 0.
    pub mutant_seeds: u64,
}

/// Plays all of it; false if the program broke a rule, a required variant was not found, or nothing
/// was injected.
///
/// # Errors
///
/// When a play can't be set up.
pub fn run(proof: &ProofSpec, say: impl Fn(&dyn Display)) -> std::io::Result<bool> {
    let mut violated = 0;
    let mut injected = 0;
    for seed in &proof.seeds {
        let report = run_soak(&Spec { seed: *seed, ..proof.spec.clone() })?;
        print_report(&report, &say);
        violated += report.violation_count();
        injected += report.injected.values().sum::<u64>();
    }
    let mut found = Vec::new();
    let mut missed = Vec::new();
    let mut failed = false;
    for variant in VARIANTS.iter().filter(|_| proof.mutant_seeds > 0) {
        match find_violation(proof, variant, &say)? {
            Some(rules) => found.push(format!("{}: {rules}", variant.name)),
            None => {
                missed.push(variant.name);
                failed |= variant.required;
            }
        }
    }
    say(
        &json!({"plays": proof.seeds.len(), "violated": violated, "injected": injected, "variants_found": found,
        "variants_missed": missed}),
    );
    Ok(violated == 0 && !failed && (proof.seeds.is_empty() || injected > 0))
}

/// Plays a broken variant until it breaks a rule, and then the program itself in the same way: only what it does not break counts
/// as found. Gives which rules were broken.
fn find_violation(
    proof: &ProofSpec,
    variant: &Variant,
    say: &impl Fn(&dyn Display),
) -> std::io::Result<Option<String>> {
    let first = proof.seeds.first().copied().unwrap_or(1);
    for seed in first..first + proof.mutant_seeds {
        let (only, failing_calls) = (variant.faults.to_vec(), variant.failing_calls);
        let control = Spec { seed, only, failing_calls, ..proof.spec.clone() };
        let report = run_soak(&Spec { mutant: Some(variant.name.to_owned()), ..control.clone() })?;
        print_report(&report, say);
        if report.violation_count() == 0 {
            continue;
        }
        let control_report = run_soak(&control)?;
        print_report(&control_report, say);
        if control_report.violation_count() == 0 {
            let rules: Vec<String> =
                report.violations.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
            return Ok(Some(rules.join(", ")));
        }
    }
    Ok(None)
}

fn print_report(report: &Report, say: &impl Fn(&dyn Display)) {
    say(&report.json());
    report.details.iter().for_each(|detail| say(&format!("  {detail}")));
}
