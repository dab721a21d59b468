//! The result of a soak.

use super::audit::{Audit, Counts, Rule};
use super::faults::{FaultKind, Faults};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The figures of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed that the run was drawn from.
    pub seed: u64,
    /// The broken variant that was run, if any.
    pub mutant: Option<String>,
    /// Counts of requests and attempts.
    pub counts: Counts,
    /// How often each rule was violated.
    pub violations: BTreeMap<Rule, u64>,
    /// Descriptions of the first violations.
    pub details: Vec<String>,
    /// How often each fault was injected.
    pub injected: BTreeMap<FaultKind, u64>,
    /// Pairs of faults that were active at the same time.
    pub overlapping_pairs: BTreeSet<(FaultKind, FaultKind)>,
    /// How often each kind of system call fault was injected.
    pub failed_calls: BTreeMap<String, u64>,
    /// How often processes were started.
    pub starts: u64,
}

impl Report {
    /// A report of what was checked and injected.
    #[must_use]
    pub(super) fn new(seed: u64, mutant: Option<String>, audit: &Audit, faults: &Faults) -> Self {
        Self {
            seed,
            mutant,
            counts: audit.counts.clone(),
            violations: audit.violations().clone(),
            details: audit.details().to_vec(),
            injected: faults.counts().clone(),
            overlapping_pairs: BTreeSet::new(),
            failed_calls: BTreeMap::new(),
            starts: 0,
        }
    }

    /// The number of violations of all rules.
    #[must_use]
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }

    /// The report as one JSON object.
    #[must_use]
    pub fn json(&self) -> Value {
        let by_name = |counts: &BTreeMap<FaultKind, u64>| -> BTreeMap<String, u64> {
            counts.iter().map(|(kind, count)| (format!("{kind:?}"), *count)).collect()
        };
        let violations: BTreeMap<String, u64> =
            self.violations.iter().map(|(rule, count)| (format!("{rule:?}"), *count)).collect();
        let Counts { requests, served, refused, failed, excused, departed, attempts, .. } = self.counts;
        json!({"seed": self.seed, "mutant": self.mutant, "violated": self.violation_count(),
            "violations": violations, "asked": requests, "served": served, "refused": refused, "failed": failed,
            "excused": excused, "left": departed, "attempts": attempts, "starts": self.starts,
            "worst_drain_ms": self.counts.worst_drain_ms, "worst_departure_ms": self.counts.worst_departure_ms,
            "worst_overstated_ms": self.counts.worst_overstated_ms,
            "injected": by_name(&self.injected), "pairs": self.overlapping_pairs.len(), "calls": self.failed_calls})
    }
}
