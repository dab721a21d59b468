//! How far the life of a pooler has come. Stages come in this order, each once; only who gave its place to a newer process that
//! died before the end takes clients again.

use crate::flag::{Flag, Switch};
use std::cell::Cell;

/// The stages of a pooler's end.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// It has been told to end: it serves on, but wants nothing new for longer than that.
    pub draining: Flag,
    /// While a newer process takes the clients: each answer ends its connection.
    pub handing_over_clients: Switch,
    /// Idle clients are closed.
    pub closing_idle: Flag,
    /// Nobody is accepted any more.
    pub accept_paused: Switch,
    /// What is open gets its answer now.
    pub terminating: Flag,
    /// All is done.
    pub terminated: Flag,
    /// The people on call have emptied it, and not ended that.
    pub drained_by_operator: Cell<bool>,
    /// Emptied by hand or by a plan; unlike the rest this ends when it is resumed.
    pub drained: Switch,
}
