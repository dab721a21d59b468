//! Which kept connections carry a request at once, and which are asked first whether they live.
//!
//! A kept connection may have been closed without a sign, and what is written to it is lost: it may have run. An empty
//! query in front of each request finds that out, at the price of a round trip and of as much work again. So it is
//! asked only where it may matter: in front of what must not run twice; at a member that has not been heard of for a
//! moment, which may have vanished; on a connection that has rested for long; and for a while after one broke or
//! brought what was nobody's. All else may be sent again elsewhere, and is sent at once.
//!
//! Whoever carries requests has to see to it that an answer is whole and alone before its connection is kept, by an
//! empty query *behind* the request whose answer nobody waits for; see [`ReusePolicy::needs_trailing_ping`].

use crate::{MemberId, Span, Time};
use std::collections::HashMap;

/// A member that was not heard of for longer may have vanished. At 20 requests a second it is heard of oftener.
const HEARD: Span = Span::millis(100);
/// A connection that rested for longer may have been closed by something between here and there.
const RESTED: Span = Span::millis(1_000);
/// How long a member's connections are asked after one broke; twice as long each time that it happens soon after.
const DOUBT: Span = Span::millis(10_000);
const LONGEST_DOUBT: Span = Span::millis(160_000);
/// So long after a doubt the next one is as short as the first.
const FORGIVEN: Span = Span::millis(60_000);

/// How a kept connection is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// The request is sent at once.
    Immediate,
    /// It has to answer an empty query first.
    AfterPing,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    heard: Time,
    /// Its connections are asked until then.
    doubted: Time,
    /// How long the latest doubt was to last; none before the first.
    length: Span,
}

/// What is known of the members' connections. Holds an entry for each member that was heard of or doubted lately.
#[derive(Debug, Default)]
pub struct ReusePolicy {
    of: HashMap<MemberId, Record>,
}

impl ReusePolicy {
    /// How a connection to `member` is used that has rested for so long; `once` if the request must not run twice.
    #[must_use]
    pub fn reuse(&self, member: &MemberId, now: Time, rested: Span, once: bool) -> Reuse {
        let well = |of: &Record| now >= of.doubted && now - of.heard <= HEARD;
        if !once && rested <= RESTED && self.of.get(member).is_some_and(well) {
            Reuse::Immediate
        } else {
            Reuse::AfterPing
        }
    }

    /// Whether an empty query goes behind a request to `member`, which shows before the next one that nothing but the
    /// answer came. Where connections are asked anyway it would be of no use.
    #[must_use]
    pub fn needs_trailing_ping(&self, member: &MemberId, now: Time) -> bool {
        self.of.get(member).is_none_or(|of| now >= of.doubted)
    }

    /// An answer came from `member`.
    pub fn record_answer(&mut self, member: &MemberId, now: Time) {
        match self.of.get_mut(member) {
            Some(of) => of.heard = now,
            None => drop(self.of.insert(member.clone(), Record::heard(now))),
        }
    }

    /// A kept connection to `member` broke, fell silent or brought what was nobody's. One that had been asked to
    /// proves that asking is still needed; one that had not, that trust came too early.
    pub fn record_failure(&mut self, member: &MemberId, now: Time, used: Reuse) {
        let of = self.of.entry(member.clone()).or_insert(Record::heard(now));
        // All that broke in one blow counts once.
        let trusted = used == Reuse::Immediate && now >= of.doubted;
        if trusted || of.length == Span(0) {
            let soon = of.length > Span(0) && now - of.doubted < FORGIVEN;
            of.length = if soon { of.length.times(2.0).min(LONGEST_DOUBT) } else { DOUBT };
        }
        of.doubted = of.doubted.max(now + of.length);
    }

    /// Forgets members of which nothing was heard for so long that nothing depends on it.
    pub fn evict_stale(&mut self, now: Time) {
        self.of.retain(|_, of| now - of.heard <= FORGIVEN || now - of.doubted < FORGIVEN);
    }

    /// How many members it holds something of.
    #[must_use]
    pub fn len(&self) -> usize {
        self.of.len()
    }

    /// Whether it holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }
}

impl Record {
    fn heard(now: Time) -> Self {
        Self { heard: now, doubted: now, length: Span(0) }
    }
}
