//! Broken variants of the program, by which the soak shows that it would find such a fault. `LINNETDEAL_MUTANT` names one; a
//! release build has none of them.

/// A way in which the program is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// The guard before a first byte is passed over.
    UnguardedSend,
    /// A member is told the wait that was ordered, however much of it has passed.
    OrderedDeadline,
    /// What was lost after its last byte counts as never run.
    LostAnswerNeverRan,
    /// One request in fifty is closed without an answer.
    ForgottenAnswer,
    /// What the list says of drains is not taken.
    IgnoredDrains,
    /// A signal that can't be read counts as one to end.
    SignalErrorEnds,
}

#[cfg(debug_assertions)]
impl Mutant {
    /// The name by which it is called for.
    const fn name(self) -> &'static str {
        match self {
            Self::UnguardedSend => "unguarded-send",
            Self::OrderedDeadline => "ordered-deadline",
            Self::LostAnswerNeverRan => "lost-answer-never-ran",
            Self::ForgottenAnswer => "forgotten-answer",
            Self::IgnoredDrains => "ignored-drains",
            Self::SignalErrorEnds => "signal-error-ends",
        }
    }
}

/// Whether this variant was called for.
#[cfg(debug_assertions)]
#[must_use]
pub fn is_active(mutant: Mutant) -> bool {
    static REQUESTED: std::sync::OnceLock<Option<String>> = std::sync::OnceLock::new();
    REQUESTED.get_or_init(|| std::env::var("LINNETDEAL_MUTANT").ok()).as_deref() == Some(mutant.name())
}

/// Whether this variant was called for.
#[cfg(not(debug_assertions))]
#[must_use]
pub const fn is_active(_mutant: Mutant) -> bool {
    false
}
