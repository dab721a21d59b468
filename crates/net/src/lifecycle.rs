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
    /// The process may exit.
    pub terminated: Flag,
    /// Whether an operator has drained the pooler and not resumed it.
    pub drained_by_operator: Cell<bool>,
    /// On while the pooler is drained by an operator or a maintenance plan; unlike the stages it ends on resume.
    pub drained: Switch,
}
