//! Slow start: limits what a member that has just started is sent. At first it can do only a fraction of its usual
//! work, and if it is sent more than a multiple of that for some seconds it fails. Each router enforces a share of
//! this budget on its own.
//!
//! The shares add up to the budget over all routers, but on its own a small share is of little use: one router may
//! have credit and nothing to send while a write waits for seconds at another. With 100 routers, writes waited 3 s to
//! 8 s for a new primary that answered within 80 ms. So each *timely answer* of a member earns one more send beside
//! the share. While it answers in time it is sent less than it can do at that moment, and once it no longer does,
//! nothing more is earned and only the shares are left, which can't overload it.

use crate::interface::{Settings, Span, Time};

/// The fraction of the budget that the routers' shares add up to. The budget is derived from the load that members
/// usually serve, which is well below their capacity, so no further reduction is needed; a smaller fraction such as
/// 0.6 starves new members during deployments.
const BUDGET_FRACTION: f64 = 1.0;
/// Credit accumulates up to one send plus what is earned in this time.
const CREDIT_WINDOW: Span = Span::millis(100);

/// The slow start of one member: when it started and how many sends this router may still make.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// When the member started; `None` if it is not in slow start.
    started: Option<Time>,
    /// The sends that were allowed at the given time.
    credit: (Time, f64),
}

impl SlowStart {
    /// Begins the slow start of a member that started at `at`. `initial_credit` is drawn at random, so that many
    /// routers with less than one send each add up to their shares.
    pub fn start(&mut self, now: Time, at: Time, initial_credit: f64) {
        (self.started, self.credit) = (Some(at), (now, initial_credit));
    }

    /// When the member started; `None` if that is unknown or long ago.
    #[must_use]
    pub fn started(&self) -> Option<Time> {
        self.started
    }

    /// The fraction of its capacity that the member is sure to have by now, from 0.01 to 1.
    #[must_use]
    pub fn warmth(&self, now: Time, settings: &Settings) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let (initial_share, span) = (settings.cold_share, settings.cold_span.0.max(1) as f64);
        (initial_share + (1.0 - initial_share) * (now - started).0 as f64 / span)
            .clamp(initial_share.clamp(0.01, 1.0), 1.0)
    }

    /// The sends that are allowed now. `usual_rate` is the number of requests per microsecond that a member usually
    /// serves for this router.
    #[must_use]
    pub fn credit(&self, now: Time, usual_rate: f64, settings: &Settings) -> f64 {
        let rate = usual_rate * settings.fall_multiple * self.warmth(now, settings) * BUDGET_FRACTION;
        (self.credit.1 + rate * (now - self.credit.0).0 as f64).min(1.0 + rate * CREDIT_WINDOW.0 as f64)
    }

    /// Whether one more request may be sent.
    #[must_use]
    pub fn has_credit(&self, now: Time, usual_rate: f64, settings: &Settings) -> bool {
        self.warmth(now, settings) >= 1.0 || self.credit(now, usual_rate, settings) >= 1.0
    }

    /// Records a send. Credit never becomes negative: requests sent to a warm member don't count against a later slow
    /// start.
    pub fn record_send(&mut self, now: Time, usual_rate: f64, settings: &Settings) {
        self.credit = (now, (self.credit(now, usual_rate, settings) - 1.0).max(0.0));
    }

    /// Records an answer in good time, which earns one more send.
    pub fn record_timely_answer(&mut self) {
        self.credit.1 += 1.0;
    }
}
