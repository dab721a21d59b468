//! Decides which kept connections carry a request immediately and which must answer a ping first.
//!
//! A kept connection may have been closed without notice, and a request that is written to it is lost and may have
//! run. A ping, which is an empty query in front of the request, detects that, but costs a round trip and as much
//! work again. So it is sent only where it matters: in front of a request that must not run twice; to a member that
//! has not answered for a moment and may be down; on a connection that has been idle for long; and for a while after
//! a connection to the member broke or delivered unexpected data. Every other request may be sent again elsewhere,
//! and is sent immediately.
//!
//! The caller has to make sure that an answer is complete and that nothing follows it before it keeps the connection.
//! It does so by an empty query *behind* the request, whose answer nobody waits for; see
//! [`ReusePolicy::needs_trailing_ping`].

use crate::{MemberId, Span, Time};
use std::collections::HashMap;

/// A member that has not answered for longer may be down. At 20 requests per second it answers more often than that.
const MAX_SILENCE: Span = Span::millis(100);
/// A connection that has been idle for longer may have been closed by a middlebox.
const MAX_IDLE: Span = Span::millis(1_000);
/// How long a member's connections are pinged after one broke. The period doubles each time one breaks soon after the
/// last period, up to the maximum.
const PING_PERIOD: Span = Span::millis(10_000);
const MAX_PING_PERIOD: Span = Span::millis(160_000);
/// This long after the end of a ping period the next one starts at the initial length again.
const PING_PERIOD_RESET: Span = Span::millis(60_000);

/// How a kept connection is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// The request is sent immediately.
    Immediate,
    /// The connection has to answer an empty query first.
    AfterPing,
}

/// What is known of the connections to one member.
#[derive(Clone, Copy, Debug)]
struct MemberRecord {
    /// When the member last answered.
    last_answer: Time,
    /// Its connections are pinged until then.
    ping_until: Time,
    /// The length of the latest ping period; 0 before the first.
    ping_period: Span,
}

/// The policy for reusing connections. It holds an entry for each member that answered or failed recently.
#[derive(Debug, Default)]
pub struct ReusePolicy {
    members: HashMap<MemberId, MemberRecord>,
}

impl ReusePolicy {
    /// How a connection to `member` that has been idle for `idle` is used for a request, which must not run twice if
    /// `unsafe_to_repeat`.
    #[must_use]
    pub fn reuse(&self, member: &MemberId, now: Time, idle: Span, unsafe_to_repeat: bool) -> Reuse {
        let healthy =
            |record: &MemberRecord| now >= record.ping_until && now - record.last_answer <= MAX_SILENCE;
        if !unsafe_to_repeat && idle <= MAX_IDLE && self.members.get(member).is_some_and(healthy) {
            Reuse::Immediate
        } else {
            Reuse::AfterPing
        }
    }

    /// Whether an empty query is sent behind a request to `member`. Its answer shows before the next request that
    /// nothing but the expected answer came. It is not needed while the member's connections are pinged anyway.
    #[must_use]
    pub fn needs_trailing_ping(&self, member: &MemberId, now: Time) -> bool {
        self.members.get(member).is_none_or(|record| now >= record.ping_until)
    }

    /// Records an answer from `member`.
    pub fn record_answer(&mut self, member: &MemberId, now: Time) {
        match self.members.get_mut(member) {
            Some(record) => record.last_answer = now,
            None => drop(self.members.insert(member.clone(), MemberRecord::first_seen(now))),
        }
    }

    /// Records that a kept connection to `member` broke, did not answer or delivered unexpected data, by how it was
    /// used. A failed ping proves that pings are still needed; the failure of a connection that was used immediately,
    /// that pings ended too early.
    pub fn record_failure(&mut self, member: &MemberId, now: Time, used: Reuse) {
        let record = self.members.entry(member.clone()).or_insert(MemberRecord::first_seen(now));
        // Connections that break together count once.
        let ended_too_early = used == Reuse::Immediate && now >= record.ping_until;
        if ended_too_early || record.ping_period == Span(0) {
            let recurred = record.ping_period > Span(0) && now - record.ping_until < PING_PERIOD_RESET;
            record.ping_period =
                if recurred { record.ping_period.times(2.0).min(MAX_PING_PERIOD) } else { PING_PERIOD };
        }
        record.ping_until = record.ping_until.max(now + record.ping_period);
    }

    /// Drops members whose entries are too old to affect any decision.
    pub fn evict_stale(&mut self, now: Time) {
        self.members.retain(|_, record| {
            now - record.last_answer <= PING_PERIOD_RESET || now - record.ping_until < PING_PERIOD_RESET
        });
    }

    /// The number of members with an entry.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

impl MemberRecord {
    fn first_seen(now: Time) -> Self {
        Self { last_answer: now, ping_until: now, ping_period: Span(0) }
    }
}
