//! How slow a member is, as a multiple of what is usual for the classes that it answered.

use crate::interface::{Span, Time};

/// What is kept with each answer, so that a few can neither hide nor damn a member.
const KEEPS: f64 = 0.9;
const QUICKEST: f64 = 0.3;
const SLOWEST: f64 = 10.0;
/// What nothing more is heard of is forgotten in this time: who is found too slow to be sent anything would stay so for
/// ever, though it may have got well.
const FORGETS: Span = Span::millis(2_500);

/// A member's slowness.
#[derive(Clone, Copy, Debug)]
pub struct Slowness {
    value: f64,
    at: Time,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { value: 1.0, at: Time(0) }
    }
}

impl Slowness {
    /// What it is taken for now: 1 is as usual.
    #[must_use]
    pub fn ratio(&self, now: Time) -> f64 {
        let keeps = (-((now - self.at).0.max(0) as f64) / FORGETS.0 as f64).exp();
        1.0 + (self.value - 1.0) * keeps
    }

    /// So many answers took this multiple of the usual, in the mean.
    pub fn observe(&mut self, now: Time, answers: u32, pace: f64) {
        let keeps = KEEPS.powi(i32::try_from(answers).unwrap_or(i32::MAX));
        self.value = (self.ratio(now) * keeps + (1.0 - keeps) * pace).clamp(QUICKEST, SLOWEST);
        self.at = now;
    }
}
