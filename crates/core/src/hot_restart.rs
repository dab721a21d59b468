//! Hot restart, in which a newer process takes over while the older one still serves: the changes to the state that
//! both processes share, and the schedule by which a process shuts down. No I/O and no clock.

use crate::interface::{MemberId, Span};
use std::collections::BTreeSet;

/// The members drained by the operator, as last read from the state that the processes share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorDrains(BTreeSet<MemberId>);

/// The changes found by reading the shared state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainChanges {
    /// Members that the other process has drained.
    pub out: Vec<MemberId>,
    /// Members whose drain the other process has ended.
    pub back: Vec<MemberId>,
}

impl OperatorDrains {
    /// Replaces the known state by a complete reading and returns the changes. A drain that was never in the shared
    /// state is not ended by its absence: one that could not be written there holds in this process until it is ended
    /// here.
    pub fn update(&mut self, current: BTreeSet<MemberId>) -> DrainChanges {
        let out = current.difference(&self.0).cloned().collect();
        let back = self.0.difference(&current).cloned().collect();
        self.0 = current;
        DrainChanges { out, back }
    }

    /// Records that this process itself has added a drain to the shared state or removed one.
    pub fn record(&mut self, member: &MemberId, drained: bool) {
        if drained {
            self.0.insert(member.clone());
        } else {
            self.0.remove(member);
        }
    }
}

/// The times at which a terminating process takes the steps of its shutdown, counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When connections begin to be closed with their next answer; `None` for never.
    pub close_on_answer: Option<Span>,
    /// When idle connections are closed.
    pub close_idle: Span,
    /// When the process stops accepting connections.
    pub stop_accepting: Span,
    /// When open requests get a final answer.
    pub answer_open: Span,
    /// When the process exits, even if connections are left, unless answers are still being written.
    pub exit: Span,
}

/// Without a newer process nothing changes for clients until this long after SIGTERM, since connections keep arriving
/// for up to 0.4 s.
const MIN_SERVING_TIME: Span = Span::millis(500);
/// How long before open requests are answered idle connections are closed. A client uses its connection for as long
/// as it lasts and no other pooler meanwhile, so closing it earlier would fail requests that could still be served.
const CLOSE_IDLE_LEAD: Span = Span::millis(700);
/// How long connections are still accepted, served and closed after idle ones were closed.
const LATE_ACCEPT_TIME: Span = Span::millis(250);
/// SIGKILL comes no earlier than the longest deadline, of which at most this much counts, plus a grace.
const MAX_COUNTED_DEADLINE: Span = Span::millis(3_000);
const KILL_GRACE: Span = Span::millis(700);
/// Requests that are still open this long before SIGKILL are answered at once.
const ANSWER_LEAD: Span = Span::millis(400);
/// The time for writing those last answers.
const FLUSH_TIME: Span = Span::millis(150);

impl ShutdownSchedule {
    /// The schedule of a process whose classes have deadlines of at most `longest_deadline`. If it is `superseded` by
    /// a newer process, it stops accepting at once and closes each connection with its next answer, so that clients
    /// reach the newer one.
    #[must_use]
    pub fn plan(longest_deadline: Span, superseded: bool) -> Self {
        // With short deadlines the steps are close together, but each is still no later than the next. If the last
        // two came at the same time, the process would exit with open requests unanswered.
        let answer_open = Span(longest_deadline.min(MAX_COUNTED_DEADLINE).0 + KILL_GRACE.0 - ANSWER_LEAD.0)
            .max(MIN_SERVING_TIME);
        let close_idle =
            Span(answer_open.0 - CLOSE_IDLE_LEAD.0).max(if superseded { Span(0) } else { MIN_SERVING_TIME });
        let stop_accepting =
            if superseded { Span(0) } else { Span(close_idle.0 + LATE_ACCEPT_TIME.0).min(answer_open) };
        Self {
            close_on_answer: superseded.then_some(Span(0)),
            close_idle,
            stop_accepting,
            answer_open,
            exit: Span(answer_open.0 + FLUSH_TIME.0),
        }
    }
}
