//! What a member that has just started may be sent: it does a part of its usual work at first, and who sends it more than
//! a multiple of that for some seconds pushes it over. Every router keeps a share of that budget by itself.
//!
//! The shares add up over all routers, but each alone is of little use where routers see few requests: one has a send
//! left and nothing to send while a write waits seconds at another. With 100 routers writes waited 3 to 8 s for a new
//! primary that had its answers ready in 80 ms. So what a member *answers in good time* earns one more send beside the
//! share: as long as it answers so, it is sent less than it can do at that moment, and once it no longer does, nothing is
//! earned and the shares alone are left, which can't push it over.

use crate::interface::{Settings, Span, Time};

/// The part of the budget that is shared out, counted from what members serve, which is well under what they could (0.6
/// starved deploys).
const CAUTION: f64 = 1.0;
/// How much may be saved up beyond one send.
const SAVED: Span = Span::millis(100);

/// How cold one member is, and what it may be sent by this router.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    started: Option<Time>,
    /// Sends that the budget still allowed then.
    credit: (Time, f64),
}

impl SlowStart {
    /// It started at `at`. Its first credit is drawn by chance, so that many routers with less than one send each add
    /// up to their shares.
    pub fn start(&mut self, now: Time, at: Time, chance: f64) {
        (self.started, self.credit) = (Some(at), (now, chance));
    }

    /// When it started, if that is known and not long ago.
    #[must_use]
    pub fn started(&self) -> Option<Time> {
        self.started
    }

    /// The part of its capacity that it surely has by now.
    #[must_use]
    pub fn warmth(&self, now: Time, settings: &Settings) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let (share, span) = (settings.cold_share, settings.cold_span.0.max(1) as f64);
        (share + (1.0 - share) * (now - started).0 as f64 / span).clamp(share.clamp(0.01, 1.0), 1.0)
    }

    /// The sends that are allowed now, where `usual` is what a member usually serves for this router in a microsecond.
    #[must_use]
    pub fn credit(&self, now: Time, usual: f64, settings: &Settings) -> f64 {
        let rate = usual * settings.fall_multiple * self.warmth(now, settings) * CAUTION;
        (self.credit.1 + rate * (now - self.credit.0).0 as f64).min(1.0 + rate * SAVED.0 as f64)
    }

    /// Whether one more may be sent.
    #[must_use]
    pub fn has_credit(&self, now: Time, usual: f64, settings: &Settings) -> bool {
        self.warmth(now, settings) >= 1.0 || self.credit(now, usual, settings) >= 1.0
    }

    /// One was sent. What it is sent while it is warm is no debt to be paid off once it is cold.
    pub fn record_send(&mut self, now: Time, usual: f64, settings: &Settings) {
        self.credit = (now, (self.credit(now, usual, settings) - 1.0).max(0.0));
    }

    /// It answered in good time.
    pub fn record_timely_answer(&mut self) {
        self.credit.1 += 1.0;
    }
}
