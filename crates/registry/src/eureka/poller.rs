//! When to ask which server of a registry for what: deltas while these add up, a whole list where they don't, another
//! server when one fails, and less and less often while all do. No I/O, no clock.

use linnetdeal_core::{Span, Time};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// Between two servers of one round of failures.
const NEXT_SERVER: Span = Span::millis(20);
/// After a first round in which all failed; it doubles from there.
const FIRST_PAUSE: Span = Span::millis(500);
/// A registry that asks to be left alone is left alone for no longer than this.
const LONGEST_REST: Span = Span::millis(300_000);
/// Whole lists that don't make deltas add up are asked for after this many intervals at the latest.
const MOST_DOUBLINGS: u32 = 5;

/// What to ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The whole list.
    Full,
    /// What has changed of late.
    Delta,
}

/// Why nothing came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No answer, or one that can't be read.
    Broken,
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
    rests: Vec<Time>,
    at: usize,
    /// Failures in a row.
    failed: u32,
    next: Time,
    /// When the whole list is wanted.
    full_at: Option<Time>,
    /// Deltas in a row that did not add up.
    apart: u32,
    /// The server has no deltas.
    without_deltas: bool,
}

impl Poller {
    /// One that asks `servers` servers, the first at once.
    #[must_use]
    pub fn new(servers: usize, options: PollOptions, seed: u64, now: Time) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            rests: vec![now; servers.max(1)],
            at: 0,
            failed: 0,
            next: now,
            full_at: Some(now),
            apart: 0,
            without_deltas: !options.use_deltas,
        }
    }

    /// When to ask.
    #[must_use]
    pub fn due(&self) -> Time {
        // After failures the pause counts, whatever is wanted.
        if self.failed > 0 { self.next } else { self.full_at.map_or(self.next, |at| at.min(self.next)) }
    }

    /// Whom to ask for what, once it is due.
    #[must_use]
    pub fn ask(&self, now: Time) -> (usize, Ask) {
        let full = self.without_deltas || self.full_at.is_some_and(|at| at <= now);
        (self.at, if full { Ask::Full } else { Ask::Delta })
    }

    /// How many failed in a row.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failed
    }

    /// An answer was taken; `adds_up` if the registry's hash code agrees with what is held now.
    pub fn answered(&mut self, now: Time, ask: Ask, adds_up: bool) {
        self.failed = 0;
        let interval = self.options.interval;
        self.next = now + self.spread(interval, 0.1);
        match ask {
            Ask::Full => self.full_at = None,
            Ask::Delta if adds_up => self.apart = 0,
            // The first time at once; a registry whose hash code is always wrong is not asked for all each time.
            Ask::Delta => {
                let wait = match self.apart {
                    0 => Span(0),
                    times => interval.times(f64::from(1_u32 << times.min(MOST_DOUBLINGS))),
                };
                self.full_at.get_or_insert(now + wait);
                self.apart += 1;
            }
        }
    }

    /// Nothing came of it.
    pub fn failed(&mut self, now: Time, ask: Ask, failure: Failure) {
        if ask == Ask::Delta && matches!(failure, Failure::Status(403 | 404 | 501, _)) {
            // It knows no deltas; nothing else is wrong with it.
            self.without_deltas = true;
            self.full_at = Some(now);
            return;
        }
        self.failed = self.failed.saturating_add(1);
        if let Failure::Status(_, Some(rest)) = failure {
            self.rests[self.at] = now + Span(rest.0.clamp(0, LONGEST_REST.0));
        }
        let servers = self.rests.len();
        // Another server may know other changes: it is asked for all.
        let order = (1..=servers).map(|step| (self.at + step) % servers);
        let awake = order.clone().find(|at| self.rests[*at] <= now);
        let next = awake.or_else(|| order.min_by_key(|at| self.rests[*at])).unwrap_or(0);
        if next != self.at {
            self.at = next;
            self.without_deltas = !self.options.use_deltas;
        }
        self.full_at = Some(now);
        let rounds = (self.failed - 1) / servers as u32;
        let within = self.failed % servers as u32 != 0;
        let pause = if within {
            NEXT_SERVER
        } else {
            FIRST_PAUSE.times(f64::from(1_u32 << rounds.min(16))).min(self.options.max_pause)
        };
        self.next = (now + self.spread(pause, 0.25)).max(self.rests[self.at]);
    }

    /// The span, by up to this part more or less, so that many poolers don't ask in step.
    fn spread(&mut self, span: Span, part: f64) -> Span {
        let dice = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        span.times(1.0 + part * (2.0 * dice - 1.0))
    }
}
