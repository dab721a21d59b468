//! Schedules the polling of a registry: deltas while their hash codes match, a full list after a mismatch, the next
//! server after a failure, and increasing pauses while all servers fail. No I/O, and no clock of its own.

use linnetdeal_core::{Span, Time};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// The pause before the next server is tried within a round in which all have failed so far.
const NEXT_SERVER_DELAY: Span = Span::millis(20);
/// The pause after the first round in which all servers failed; it doubles with each further round.
const INITIAL_PAUSE: Span = Span::millis(500);
/// The longest `Retry-After` that is honoured.
const MAX_RETRY_AFTER: Span = Span::millis(300_000);
/// Limits how often the wait for a full list is doubled while the deltas' hash codes keep mismatching.
const MAX_DOUBLINGS: u32 = 5;

/// What to fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchKind {
    /// The full list.
    Full,
    /// The recent changes.
    Delta,
}

/// Why a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// There was no response, or it was invalid.
    Unusable,
    /// The response had this error status, with its `Retry-After` if present.
    Status(u16, Option<Span>),
}

/// The options of polling.
#[derive(Clone, Copy, Debug)]
pub struct PollOptions {
    /// The interval after a successful fetch.
    pub interval: Span,
    /// The maximum pause while all servers fail.
    pub max_pause: Span,
    /// Whether deltas are fetched at all.
    pub use_deltas: bool,
}

/// Decides which server to poll next, when, and for what.
#[derive(Debug)]
pub struct Poller {
    options: PollOptions,
    rng: ChaCha8Rng,
    /// When each server may be polled again, by its index.
    retry_at: Vec<Time>,
    /// The index of the server to poll next.
    current: usize,
    consecutive_failures: u32,
    next_at: Time,
    /// When a full list is due; `None` if deltas suffice.
    full_due: Option<Time>,
    /// Consecutive deltas whose hash codes did not match.
    mismatches: u32,
    /// Only full lists are fetched: deltas are disabled, or the current server does not support them.
    full_only: bool,
}

impl Poller {
    /// Creates a poller for this number of servers. The first fetch is due at once.
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

    /// When the next fetch is due.
    #[must_use]
    pub fn due(&self) -> Time {
        // After a failure the pause applies even if a full list is due.
        if self.consecutive_failures > 0 {
            self.next_at
        } else {
            self.full_due.map_or(self.next_at, |time| time.min(self.next_at))
        }
    }

    /// The index of the server to poll and what to fetch from it, once a fetch is due.
    #[must_use]
    pub fn next_fetch(&self, now: Time) -> (usize, FetchKind) {
        let full = self.full_only || self.full_due.is_some_and(|time| time <= now);
        (self.current, if full { FetchKind::Full } else { FetchKind::Delta })
    }

    /// The number of consecutive failures.
    #[must_use]
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Records a successful fetch. `hash_matches` tells whether the registry's hash code matches the local copy.
    pub fn record_answer(&mut self, now: Time, kind: FetchKind, hash_matches: bool) {
        self.consecutive_failures = 0;
        let interval = self.options.interval;
        self.next_at = now + self.with_jitter(interval, 0.1);
        match kind {
            FetchKind::Full => self.full_due = None,
            FetchKind::Delta if hash_matches => self.mismatches = 0,
            // The first mismatch is followed by a full list at once; the waits before the next ones double, so that a
            // registry whose hash code is always wrong is not polled for the full list each time.
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

    /// Records a failed fetch.
    pub fn record_failure(&mut self, now: Time, kind: FetchKind, failure: Failure) {
        if kind == FetchKind::Delta && matches!(failure, Failure::Status(403 | 404 | 501, _)) {
            // The server does not support deltas but works otherwise.
            self.full_only = true;
            self.full_due = Some(now);
            return;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if let Failure::Status(_, Some(retry_after)) = failure {
            self.retry_at[self.current] = now + Span(retry_after.0.clamp(0, MAX_RETRY_AFTER.0));
        }
        let servers = self.retry_at.len();
        // Another server may have seen other changes, so a full list is fetched from it.
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

    /// Varies a span randomly by up to this fraction in either direction, so that poolers don't poll in lockstep.
    fn with_jitter(&mut self, span: Span, fraction: f64) -> Span {
        let random = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        span.times(1.0 + fraction * (2.0 * random - 1.0))
    }
}
