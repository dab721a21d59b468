//! Many runs of the soak, one after another: the program with many seeds, and each of its broken variants until
//! it is found.

use super::faults::FaultKind;
use super::report::Report;
use super::run::{Spec, run_soak};
use serde_json::json;
use std::fmt::Display;

/// A broken variant, as `linnetdeal_net::mutants` names it, and the faults that expose it; empty for all faults.
struct Variant {
    name: &'static str,
    faults: &'static [FaultKind],
    /// How many of a thousand system calls fail, if failing calls expose the variant.
    failing_calls: Option<u64>,
    /// Whether the proof fails if the variant is not found. A variant that another part of the program also
    /// protects against is not required, but still reported.
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

/// The extent of a proof.
pub struct ProofSpec {
    /// The set-up of each run, without its seed and variant.
    pub spec: Spec,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Each broken variant is run with at most this many seeds until it is found; 0 runs none.
    pub mutant_seeds: u64,
}

/// Runs the whole proof. False if the program broke a rule, a required variant was not found, or no fault was
/// injected.
///
/// # Errors
///
/// When a run can't be set up.
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

/// Runs a broken variant until it breaks a rule, and then the correct program in the same way: the variant counts
/// as found only if the correct program breaks no rule. Returns the rules that were broken.
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
