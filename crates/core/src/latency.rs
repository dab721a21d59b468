//! How long the answers of a class usually take.

use crate::interface::Span;

/// The first guess of a class's pace in parts of its aim, the answers it counts for, and how many the pace
/// remembers. By a shorter guess routers with little traffic timed out a tenth of a quiet day.
const MEAN: f64 = 0.25;
const DEV: f64 = 0.125;
const PRIOR: f64 = 4.0;
const MEMORY: f64 = 33.0;

/// The usual latency of a class, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    /// The mean.
    pub mean: f64,
    dev: f64,
    seen: f64,
}

impl LatencyEstimate {
    /// A guess, by the class's aim.
    #[must_use]
    pub fn initial(aim: Span) -> Self {
        let aim = aim.0 as f64;
        Self { mean: aim * MEAN, dev: aim * DEV, seen: PRIOR }
    }

    /// The mean and so many deviations.
    #[must_use]
    pub fn upper_bound(&self, deviations: f64) -> Span {
        Span((self.mean + deviations * self.dev) as i64)
    }

    /// One answer took this many microseconds.
    pub fn observe(&mut self, took: f64) {
        self.seen = (self.seen + 1.0).min(MEMORY);
        self.dev += ((took - self.mean).abs() - self.dev) / self.seen;
        self.mean += (took - self.mean) / self.seen;
    }
}
