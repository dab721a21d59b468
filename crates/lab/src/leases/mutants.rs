//! Mutants of the lease rules, each with one rule removed. They are types of the lab, so no build of the daemon
//! can contain them.

use super::check::{Bounds, CheckResult, check};
use linnetdeal_coordination::lease::{FullLeaseRules, LeaseRules};
use linnetdeal_core::Span;

/// Seeded faults outside of the voters' rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SeededFaults {
    /// The gate lets acts with older tokens through.
    pub no_gate: bool,
    /// An answer counts whichever incarnation of the claimant it is for.
    pub ignores_incarnation: bool,
}

macro_rules! mutant {
    ($name:ident, $doc:literal, $($part:tt)*) => {
        #[doc = $doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
        pub struct $name;

        impl LeaseRules for $name {
            $($part)*
        }
    };
}

mutant!(
    NoMajority,
    "One voter is enough.",
    fn quorum(_: usize) -> usize {
        1
    }
);
mutant!(
    NoSilenceAfterStart,
    "A voter that has lost its memory votes at once.",
    const SILENT_AFTER_START: bool = false;
);
mutant!(
    NoDriftMargin,
    "Clocks are assumed to run at the same rate.",
    fn usable_term(term: Span, _: u16) -> Span {
        term
    }
);
mutant!(
    TermFromAnswer,
    "The term counts from the answer instead of from the claim.",
    const TERM_FROM_SEND: bool = false;
);
mutant!(
    LowTokensGranted,
    "A voter grants tokens that are no higher than the highest it knows.",
    const TOKENS_ABOVE_FLOOR: bool = false;
);
mutant!(NotExclusive, "A higher token overrides a running grant.", const EXCLUSIVE: bool = false;);

/// A mutant and the result of its check.
pub struct MutantResult {
    /// The mutant's name, as printed.
    pub name: &'static str,
    /// Result of the check.
    pub result: CheckResult,
}

/// The base bounds in which mutants are checked.
#[must_use]
pub fn bounds() -> Bounds {
    Bounds {
        ticks: 4,
        rounds: 1,
        voter_restarts: 0,
        claimant_restarts: 0,
        releases: 0,
        acts: false,
        drift: false,
        faults: SeededFaults::default(),
    }
}

/// Checks each mutant until a violation is found or `max_states` states were generated.
#[must_use]
pub fn check_all(threads: usize, max_states: usize) -> Vec<MutantResult> {
    let base = bounds();
    let entry = |name, result| MutantResult { name, result };
    let no_gate = SeededFaults { no_gate: true, ..SeededFaults::default() };
    let ignores_incarnation = SeededFaults { ignores_incarnation: true, ..SeededFaults::default() };
    vec![
        entry("no majority", check::<NoMajority>(base, threads, max_states)),
        entry(
            "no silence after a restart",
            check::<NoSilenceAfterStart>(Bounds { voter_restarts: 1, ..base }, threads, max_states),
        ),
        entry(
            "no margin for drift",
            check::<NoDriftMargin>(Bounds { drift: true, ..base }, threads, max_states),
        ),
        entry("term counted from the answer", check::<TermFromAnswer>(base, threads, max_states)),
        entry(
            "lower tokens granted",
            check::<LowTokensGranted>(Bounds { releases: 1, ..base }, threads, max_states),
        ),
        entry("running grants overridden", check::<NotExclusive>(base, threads, max_states)),
        entry(
            "no gate",
            check::<FullLeaseRules>(Bounds { acts: true, faults: no_gate, ..base }, threads, max_states),
        ),
        entry(
            "answers to an earlier life",
            check::<FullLeaseRules>(
                Bounds { claimant_restarts: 1, faults: ignores_incarnation, ..base },
                threads,
                max_states,
            ),
        ),
    ]
}
