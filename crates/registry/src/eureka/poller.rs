//! When to ask which server of a registry for what: deltas while these add up, a whole list where they don't, another
//! server when one fails, and less and less often while all do. No I/O, no clock.

use linnetdeal_core::{Span, Time};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// Between two servers of one round of failures.
const NEXT_SERVER_DELAY: Span = Span::millis(20);
/// After a first round in which all failed; it doubles from there.
const INITIAL_PAUSE: Span = Span::millis(500);
/// A registry that asks to be left alone is left alone for no longer than this.
const MAX_RETRY_AFTER: Span = Span::millis(300_000);
/// Whole lists that don't make deltas add up are asked for after this many intervals at the latest.
const MAX_DOUBLINGS: u32 = 5;

/// What to ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchKind {
    /// The whole list.
    Full,
    /// What has changed of late.
    Delta,
}

/// Why nothing came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No answer, or one that can't be read.
    Unusable,
    /// An answer that says no, with the time to come back if it names one.
    Status(u16, Option<Span>),
}

/// How asking goes.
#[derive(Clone, Copy, Debug)]
pub struct PollOptions {
    /// Between two answers that were good.
    pub interval: Span,
    /// The longest pause while all servers fail.
    pub max_pause: Span,
    /// Whether deltas are asked for at all.
    pub use_deltas: bool,
}

/// What is to be asked next.
#[derive(Debug)]
pub struct Poller {
    options: PollOptions,
    rng: ChaCha8Rng,
    /// When each server may be asked again.
    retry_at: Vec<Time>,
    current: usize,
    /// Failures in a row.
    consecutive_failures: u32,
    next_at: Time,
    /// When the whole list is wanted.
    full_due: Option<Time>,
    /// Deltas in a row that did not add up.
    mismatches: u32,
    /// The server has no deltas.
    full_only: bool,
}

impl Poller {
    /// One that asks `servers` servers, the first at once.
    #[must_use]
    pub fn new(servers: usize, options: PollOptions, seed: u64, now: Time) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            retry_at: vec![now; servers.max(1)],
            current: 0,
            consecutive_failures: 0,
            next_at: now,
            full_due: Some(now),
            mismatches: 0,
            full_only: !options.use_deltas,
        }
    }

    /// When to ask.
    #[must_use]
    pub fn due(&self) -> Time {
        // After failures the pause counts, whatever is wanted.
        if self.consecutive_failures > 0 {
            self.next_at
        } else {
            self.full_due.map_or(self.next_at, |time| time.min(self.next_at))
        }
    }

    /// Whom to ask for what, once it is due.
    #[must_use]
    pub fn next_fetch(&self, now: Time) -> (usize, FetchKind) {
        let full = self.full_only || self.full_due.is_some_and(|time| time <= now);
        (self.current, if full { FetchKind::Full } else { FetchKind::Delta })
    }

    /// How many failed in a row.
    #[must_use]
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// An answer was taken; `adds_up` if the registry's hash code agrees with what is held now.
    pub fn record_answer(&mut self, now: Time, kind: FetchKind, hash_matches: bool) {
        self.consecutive_failures = 0;
        let interval = self.options.interval;
        self.next_at = now + self.with_jitter(interval, 0.1);
        match kind {
            FetchKind::Full => self.full_due = None,
            FetchKind::Delta if hash_matches => self.mismatches = 0,
            // The first time at once; a registry whose hash code is always wrong is not asked for all each time.
            FetchKind::Delta => {
                let wait = match self.mismatches {
                    0 => Span(0),
                    count => interval.times(f64::from(1_u32 << count.min(MAX_DOUBLINGS))),
                };
                self.full_due.get_or_insert(now + wait);
                self.mismatches += 1;
            }
        }
    }

    /// Nothing came of it.
    pub fn record_failure(&mut self, now: Time, kind: FetchKind, failure: Failure) {
        if kind == FetchKind::Delta && matches!(failure, Failure::Status(403 | 404 | 501, _)) {
            // It knows no deltas; nothing else is wrong with it.
            self.full_only = true;
            self.full_due = Some(now);
            return;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if let Failure::Status(_, Some(retry_after)) = failure {
            self.retry_at[self.current] = now + Span(retry_after.0.clamp(0, MAX_RETRY_AFTER.0));
        }
        let servers = self.retry_at.len();
        // Another server may know other changes: it is asked for all.
        let order = (1..=servers).map(|step| (self.current + step) % servers);
        let available = order.clone().find(|server| self.retry_at[*server] <= now);
        let next_server =
            available.or_else(|| order.min_by_key(|server| self.retry_at[*server])).unwrap_or(0);
        if next_server != self.current {
            self.current = next_server;
            self.full_only = !self.options.use_deltas;
        }
        self.full_due = Some(now);
        let rounds = (self.consecutive_failures - 1) / servers as u32;
        let round_incomplete = self.consecutive_failures % servers as u32 != 0;
        let pause = if round_incomplete {
            NEXT_SERVER_DELAY
        } else {
            INITIAL_PAUSE.times(f64::from(1_u32 << rounds.min(16))).min(self.options.max_pause)
        };
        self.next_at = (now + self.with_jitter(pause, 0.25)).max(self.retry_at[self.current]);
    }

    /// The span, by up to this part more or less, so that many poolers don't ask in step.
    fn with_jitter(&mut self, span: Span, fraction: f64) -> Span {
        let random = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        span.times(1.0 + fraction * (2.0 * random - 1.0))
    }
}
