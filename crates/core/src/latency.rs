//! The usual latency of a class, estimated from its answers.

use crate::interface::Span;

/// The initial estimate of the mean, as a fraction of the class's latency objective. With a shorter one, routers
/// with little traffic timed out a tenth of the attempts of a quiet day.
const INITIAL_MEAN: f64 = 0.25;
/// The same of the mean deviation.
const INITIAL_DEVIATION: f64 = 0.125;
/// The number of answers for which the initial estimate counts.
const PRIOR_ANSWERS: f64 = 4.0;
/// The number of answers over which the estimate averages at most.
const MAX_ANSWERS: f64 = 33.0;

/// A running estimate of a class's latency and of its mean deviation, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    /// The mean.
    pub mean: f64,
    deviation: f64,
    answers: f64,
}

impl LatencyEstimate {
    /// The estimate before any answer, from the class's latency objective.
    #[must_use]
    pub fn initial(aim: Span) -> Self {
        let aim = aim.0 as f64;
        Self { mean: aim * INITIAL_MEAN, deviation: aim * INITIAL_DEVIATION, answers: PRIOR_ANSWERS }
    }

    /// The mean plus this many deviations.
    #[must_use]
    pub fn upper_bound(&self, deviations: f64) -> Span {
        Span((self.mean + deviations * self.deviation) as i64)
    }

    /// Adds an answer that took this many microseconds.
    pub fn observe(&mut self, took: f64) {
        self.answers = (self.answers + 1.0).min(MAX_ANSWERS);
        self.deviation += ((took - self.mean).abs() - self.deviation) / self.answers;
        self.mean += (took - self.mean) / self.answers;
    }
}
