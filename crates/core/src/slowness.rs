//! The slowness of a member: its latency relative to what is usual for the classes of its answers.

use crate::interface::{Span, Time};

/// The weight of the previous estimate when an answer is added, so that no few answers determine it.
const KEPT_WEIGHT: f64 = 0.9;
/// The bounds of the estimate.
const MIN_RATIO: f64 = 0.3;
const MAX_RATIO: f64 = 10.0;
/// The time constant with which the estimate decays to 1 without further answers. Otherwise a member that was found
/// too slow to be sent anything would keep that estimate forever, even after it has recovered.
const DECAY_TIME: Span = Span::millis(2_500);

/// A decaying estimate of a member's latency ratio.
#[derive(Clone, Copy, Debug)]
pub struct Slowness {
    value: f64,
    updated_at: Time,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { value: 1.0, updated_at: Time(0) }
    }
}

impl Slowness {
    /// The estimated latency as a multiple of the usual one; 1 is as usual.
    #[must_use]
    pub fn ratio(&self, now: Time) -> f64 {
        let kept = (-((now - self.updated_at).0.max(0) as f64) / DECAY_TIME.0 as f64).exp();
        1.0 + (self.value - 1.0) * kept
    }

    /// Adds answers whose mean latency was `latency_ratio` times the usual one.
    pub fn observe(&mut self, now: Time, answers: u32, latency_ratio: f64) {
        let kept = KEPT_WEIGHT.powi(i32::try_from(answers).unwrap_or(i32::MAX));
        self.value = (self.ratio(now) * kept + (1.0 - kept) * latency_ratio).clamp(MIN_RATIO, MAX_RATIO);
        self.updated_at = now;
    }
}
