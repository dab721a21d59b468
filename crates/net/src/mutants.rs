//! Deliberately broken variants of the program, with which the soak test proves that it detects such faults.
//! `LINNETDEAL_MUTANT` selects one; release builds contain none.

/// One way in which the program can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// The check before the first byte of an attempt is skipped.
    UnguardedSend,
    /// The timeout announced to a member is the one ordered originally, regardless of the time that has passed since.
    OrderedDeadline,
    /// An attempt whose answer was lost after its last byte was written counts as never run.
    LostAnswerNeverRan,
    /// One request in fifty is closed without an answer.
    ForgottenAnswer,
    /// Drains in the list of servers are ignored.
    IgnoredDrains,
    /// A signal that can't be read counts as a request to terminate.
    SignalErrorEnds,
}

#[cfg(debug_assertions)]
impl Mutant {
    /// The name that selects it.
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

/// Whether this variant is selected.
#[cfg(debug_assertions)]
#[must_use]
pub fn is_active(mutant: Mutant) -> bool {
    static REQUESTED: std::sync::OnceLock<Option<String>> = std::sync::OnceLock::new();
    REQUESTED.get_or_init(|| std::env::var("LINNETDEAL_MUTANT").ok()).as_deref() == Some(mutant.name())
}

/// Whether this variant is selected.
#[cfg(not(debug_assertions))]
#[must_use]
pub const fn is_active(_mutant: Mutant) -> bool {
    false
}
