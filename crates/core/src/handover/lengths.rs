//! How long changes of primary took, and so how long the next one will.

use crate::interface::{Expected, Span};

/// So many of the latest are remembered, of each kind.
const KEPT: usize = 9;
/// What is known of one change alone says too little of the next.
const ENOUGH: usize = 2;
/// A change may be this much shorter than the shortest that was seen, before somebody who can't wait for it is told so.
const SURELY: f64 = 0.8;
/// Shorter ones were none: a mark that moved and came back.
const SHORTEST: Span = Span::millis(20);

/// Which kind of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A drain of the old primary was told.
    Planned,
    /// It died, or fell silent, or nobody told.
    Unplanned,
}

/// The lengths that were seen, from when a router noticed that its primary was in question until the new one was shown.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    /// What the operator expects of the planned and of the others, until enough were seen.
    expected: [Option<Expected>; 2],
    seen: [Vec<Span>; 2],
}

impl Lengths {
    /// Nothing is seen yet; of planned changes and of the others this is expected.
    #[must_use]
    pub fn new(expected: [Option<Expected>; 2]) -> Self {
        Self { expected, seen: [Vec::new(), Vec::new()] }
    }

    /// One more change.
    pub fn learn(&mut self, kind: Kind, took: Span) {
        if took < SHORTEST {
            return;
        }
        let seen = &mut self.seen[kind as usize];
        if seen.len() == KEPT {
            seen.remove(0);
        }
        seen.push(took);
    }

    fn sorted(&self, kind: Kind) -> Option<Vec<Span>> {
        let mut seen = self.seen[kind as usize].clone();
        seen.sort();
        (seen.len() >= ENOUGH).then_some(seen)
    }

    /// A change of this kind takes so long at the least, as far as is known.
    #[must_use]
    pub fn least(&self, kind: Kind) -> Option<Span> {
        let seen = self.sorted(kind).and_then(|seen| Some(seen.first()?.times(SURELY)));
        seen.or(self.expected[kind as usize].map(|expected| expected.least))
    }

    /// It usually takes no longer than this: seven in ten did not.
    #[must_use]
    pub fn usual(&self, kind: Kind) -> Option<Span> {
        let seen =
            self.sorted(kind).and_then(|seen| seen.get((seen.len() * 7 / 10).min(seen.len() - 1)).copied());
        seen.or(self.expected[kind as usize].map(|expected| expected.usual))
    }
}
