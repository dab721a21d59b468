//! One process takes another's place while it serves: what a look at the facts that they share changes, and in which
//! steps a process leaves. No I/O and no clock.

use crate::interface::{MemberId, Span};
use std::collections::BTreeSet;

/// Who is out by hand by the facts that the processes share, as last seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorDrains(BTreeSet<MemberId>);

/// What a look at them brought that was not known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainChanges {
    /// Taken out by the other process.
    pub out: Vec<MemberId>,
    /// Brought back by it.
    pub back: Vec<MemberId>,
}

impl OperatorDrains {
    /// Takes a whole look in. What was never seen among the facts is none of the other process's: a ban that could not be
    /// written down holds here until it is ended here.
    pub fn update(&mut self, found: BTreeSet<MemberId>) -> DrainChanges {
        let out = found.difference(&self.0).cloned().collect();
        let back = self.0.difference(&found).cloned().collect();
        self.0 = found;
        DrainChanges { out, back }
    }

    /// A fact was written or taken away by this process itself.
    pub fn record(&mut self, member: &MemberId, out: bool) {
        if out {
            self.0.insert(member.clone());
        } else {
            self.0.remove(member);
        }
    }
}

/// When a process that was told to end takes which step, counted from then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// From here on each answer ends its connection.
    pub close_on_answer: Option<Span>,
    /// Idle connections are closed.
    pub close_idle: Span,
    /// Nobody is accepted any more.
    pub stop_accepting: Span,
    /// What is open gets its answer.
    pub answer_open: Span,
    /// The process ends, whoever is left.
    pub exit: Span,
}

/// Connections keep arriving for up to 0.4 s after SIGTERM; until a little later nothing changes for clients,
const ARRIVALS: Span = Span::millis(500);
/// and for as long as there is this much time left for what is under way. Who has a connection has no other
/// pooler while it lasts, so to close it early fails what would have been asked on it.
const PARTING: Span = Span::millis(700);
/// For this long after that a straggler is still accepted, served and closed.
const STRAGGLERS: Span = Span::millis(250);
/// SIGKILL comes no earlier than the longest deadline, counted as no more than this, and a grace.
const LONGEST_COUNTED: Span = Span::millis(3_000);
const KILL_GRACE: Span = Span::millis(700);
/// What is still open so long before SIGKILL is answered at once.
const MARGIN: Span = Span::millis(400);
/// The time in which those last answers are written.
const FLUSH: Span = Span::millis(150);

impl ShutdownSchedule {
    /// The steps of a process whose classes have no longer deadline than this. One whose place is `taken` leaves who
    /// connects to the newer process, and its clients come there as soon as they have their answers.
    #[must_use]
    pub fn plan(longest_deadline: Span, taken: bool) -> Self {
        // Where deadlines are short all of it comes close together, but each step no later than the next: had the last two
        // come at one moment, what was open would have ended with the process, without an answer.
        let answer_open =
            Span(longest_deadline.min(LONGEST_COUNTED).0 + KILL_GRACE.0 - MARGIN.0).max(ARRIVALS);
        let close_idle = Span(answer_open.0 - PARTING.0).max(if taken { Span(0) } else { ARRIVALS });
        let stop_accepting = if taken { Span(0) } else { Span(close_idle.0 + STRAGGLERS.0).min(answer_open) };
        Self {
            close_on_answer: taken.then_some(Span(0)),
            close_idle,
            stop_accepting,
            answer_open,
            exit: Span(answer_open.0 + FLUSH.0),
        }
    }
}
