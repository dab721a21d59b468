//! Leases that are broken on purpose, one part at a time. They are types of the lab: no build of the daemon can hold them.

use super::check::{Bounds, Found, check};
use linnetdeal_coordination::lease::{FullLeaseRules, LeaseRules};
use linnetdeal_core::Span;

/// What is wrong outside of the votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wrong {
    /// What is acted on lets older tokens through.
    pub no_gate: bool,
    /// An answer counts whichever life of the claimant it is for.
    pub blind_to_lives: bool,
}

macro_rules! mutant {
    ($name:ident, $words:literal, $($part:tt)*) => {
        #[doc = $words]
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
mutant!(NoSilence, "A voter that has forgotten all votes at once.", const SILENT_AFTER_START: bool = false;);
mutant!(
    NoMargin,
    "Clocks are taken to run alike.",
    fn usable_term(term: Span, _: u16) -> Span {
        term
    }
);
mutant!(FromAnswer, "The term counts from the answer.", const TERM_FROM_SEND: bool = false;);
mutant!(
    LowTokens,
    "A voter grants tokens that are no higher than what it knows of.",
    const TOKENS_ABOVE_FLOOR: bool = false;
);
mutant!(NotExclusive, "A higher token beats a running grant.", const EXCLUSIVE: bool = false;);

/// A mutant, and what the check found of it.
pub struct Tried {
    /// Its name.
    pub name: &'static str,
    /// What was found.
    pub found: Found,
}

/// The bounds in which a mutant is looked for.
#[must_use]
pub fn bounds() -> Bounds {
    Bounds {
        ticks: 4,
        rounds: 1,
        voters: 0,
        claimants: 0,
        releases: 0,
        acts: false,
        drift: false,
        wrong: Wrong::default(),
    }
}

/// Has each mutant checked, until it is found or `most` states were looked at.
#[must_use]
pub fn all(threads: usize, most: usize) -> Vec<Tried> {
    let of = bounds();
    let tried = |name, found| Tried { name, found };
    let no_gate = Wrong { no_gate: true, ..Wrong::default() };
    let blind = Wrong { blind_to_lives: true, ..Wrong::default() };
    vec![
        tried("no majority", check::<NoMajority>(of, threads, most)),
        tried("no silence after a restart", check::<NoSilence>(Bounds { voters: 1, ..of }, threads, most)),
        tried("no margin for drift", check::<NoMargin>(Bounds { drift: true, ..of }, threads, most)),
        tried("term counted from the answer", check::<FromAnswer>(of, threads, most)),
        tried("lower tokens granted", check::<LowTokens>(Bounds { releases: 1, ..of }, threads, most)),
        tried("running grants overridden", check::<NotExclusive>(of, threads, most)),
        tried("no gate", check::<FullLeaseRules>(Bounds { acts: true, wrong: no_gate, ..of }, threads, most)),
        tried(
            "answers to an earlier life",
            check::<FullLeaseRules>(Bounds { claimants: 1, wrong: blind, ..of }, threads, most),
        ),
    ]
}
