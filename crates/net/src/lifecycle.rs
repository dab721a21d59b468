//! The lifecycle of a pooler process. The stages are reached in the order of the fields, each once. The
//! exception is a process that handed its clients over to a newer process which then died: it accepts clients
//! again.

use crate::flag::{Flag, Switch};
use std::cell::Cell;

/// The stages of shutting down a pooler.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// Shutdown was requested: the process still serves, but takes on nothing that would outlast the drain.
    pub draining: Flag,
    /// On while a newer process takes over the clients: each connection is closed after its next answer.
    pub handing_over_clients: Switch,
    /// Idle client connections are closed.
    pub closing_idle: Flag,
    /// On while no connections are accepted.
    pub accept_paused: Switch,
    /// Open requests are answered at once.
    pub terminating: Flag,
    /// The process exits, which closes all connections: no answer is being written any more.
    pub terminated: Flag,
    /// Whether an operator has drained the pooler and not resumed it.
    pub drained_by_operator: Cell<bool>,
    /// On while the pooler is drained by an operator or a maintenance plan; unlike the stages it ends on resume.
    pub drained: Switch,
    /// The number of final answers that are being written to clients.
    answers_in_progress: Cell<usize>,
}

impl Lifecycle {
    /// Counts a final answer as being written to its client until the result is dropped.
    pub fn begin_answer(&self) -> AnswerInProgress<'_> {
        self.answers_in_progress.set(self.answers_in_progress.get() + 1);
        AnswerInProgress { lifecycle: self }
    }

    /// The number of final answers that are being written to clients.
    #[must_use]
    pub fn answers_in_progress(&self) -> usize {
        self.answers_in_progress.get()
    }
}

/// A final answer that is being written to its client.
#[derive(Debug)]
pub struct AnswerInProgress<'a> {
    lifecycle: &'a Lifecycle,
}

impl Drop for AnswerInProgress<'_> {
    fn drop(&mut self) {
        let count = &self.lifecycle.answers_in_progress;
        count.set(count.get() - 1);
    }
}
