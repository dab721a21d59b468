//! How long earlier changes of primary took, as an estimate of the next one.

use crate::interface::{Expected, Span};

/// The number of latest changes of each kind that are remembered.
const MAX_SAMPLES: usize = 9;
/// The least number of changes that makes an estimate: one alone says too little about the next.
const MIN_SAMPLES: usize = 2;
/// The next change is assumed to take at least this fraction of the shortest one known. Requests whose deadline is
/// sooner are refused.
const MINIMUM_FACTOR: f64 = 0.8;
/// Anything shorter was not a change of primary, but a mark that moved and came back.
const MIN_DURATION: Span = Span::millis(20);

/// The kind of a change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ChangeKind {
    /// The old primary was drained.
    Planned,
    /// The old primary died or fell silent, or its drain was not announced.
    Unplanned,
}

/// Durations of changes, from when a router noticed that the primary was in question until it saw the new one.
#[derive(Clone, Debug, Default)]
pub struct ChangeDurations {
    /// What the operators expect of planned and of unplanned changes, until enough were observed.
    expected: [Option<Expected>; 2],
    samples: [Vec<Span>; 2],
}

impl ChangeDurations {
    /// No observations yet; `expected` holds the operators' estimates of planned and of unplanned changes.
    #[must_use]
    pub fn new(expected: [Option<Expected>; 2]) -> Self {
        Self { expected, samples: [Vec::new(), Vec::new()] }
    }

    /// Adds the duration of a change.
    pub fn observe(&mut self, kind: ChangeKind, duration: Span) {
        if duration < MIN_DURATION {
            return;
        }
        let samples = &mut self.samples[kind as usize];
        if samples.len() == MAX_SAMPLES {
            samples.remove(0);
        }
        samples.push(duration);
    }

    fn sorted(&self, kind: ChangeKind) -> Option<Vec<Span>> {
        let mut samples = self.samples[kind as usize].clone();
        samples.sort();
        (samples.len() >= MIN_SAMPLES).then_some(samples)
    }

    /// The least duration of a change of this kind, as far as is known.
    #[must_use]
    pub fn minimum(&self, kind: ChangeKind) -> Option<Span> {
        let observed = self.sorted(kind).and_then(|samples| Some(samples.first()?.times(MINIMUM_FACTOR)));
        observed.or(self.expected[kind as usize].map(|expected| expected.least))
    }

    /// The duration that most changes of this kind do not exceed: the 70th percentile of those observed.
    #[must_use]
    pub fn typical(&self, kind: ChangeKind) -> Option<Span> {
        let observed = self
            .sorted(kind)
            .and_then(|samples| samples.get((samples.len() * 7 / 10).min(samples.len() - 1)).copied());
        observed.or(self.expected[kind as usize].map(|expected| expected.usual))
    }
}
