//! How long changes of primary duration, and so how long the next one will.

use crate::interface::{Expected, Span};

/// So many of the latest are remembered, of each kind.
const MAX_SAMPLES: usize = 9;
/// What is known of one change alone says too little of the next.
const MIN_SAMPLES: usize = 2;
/// A change may be this much shorter than the shortest that was samples, before somebody who can't wait for it is told so.
const MINIMUM_MARGIN: f64 = 0.8;
/// Shorter ones were none: a mark that moved and came back.
const MIN_DURATION: Span = Span::millis(20);

/// Which kind of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ChangeKind {
    /// A drain of the old primary was told.
    Planned,
    /// It died, or fell silent, or nobody told.
    Unplanned,
}

/// The lengths that were samples, from when a router noticed that its primary was in question until the new one was shown.
#[derive(Clone, Debug, Default)]
pub struct ChangeDurations {
    /// What the operator expects of the planned and of the others, until enough were samples.
    expected: [Option<Expected>; 2],
    samples: [Vec<Span>; 2],
}

impl ChangeDurations {
    /// Nothing is samples yet; of planned changes and of the others this is expected.
    #[must_use]
    pub fn new(expected: [Option<Expected>; 2]) -> Self {
        Self { expected, samples: [Vec::new(), Vec::new()] }
    }

    /// One more change.
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

    /// A change of this kind takes so long at the least, as far as is known.
    #[must_use]
    pub fn minimum(&self, kind: ChangeKind) -> Option<Span> {
        let samples = self.sorted(kind).and_then(|samples| Some(samples.first()?.times(MINIMUM_MARGIN)));
        samples.or(self.expected[kind as usize].map(|expected| expected.least))
    }

    /// It usually takes no longer than this: seven in ten did not.
    #[must_use]
    pub fn typical(&self, kind: ChangeKind) -> Option<Span> {
        let samples = self
            .sorted(kind)
            .and_then(|samples| samples.get((samples.len() * 7 / 10).min(samples.len() - 1)).copied());
        samples.or(self.expected[kind as usize].map(|expected| expected.usual))
    }
}
