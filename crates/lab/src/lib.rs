//! Stand-ins for what linnetdeal works with, all on loopback and of this project's own: a registry that speaks Eureka's
//! REST API and can be scripted to lag, lie and vanish; boxes that speak PostgreSQL and keep a ledger; clients. What a
//! proof reports is counted here, from what passed on the sockets, and never by the pooler.

pub mod boxes;
pub mod changes;
pub mod clients;
pub mod cost;
pub mod demo;
pub mod emulator;
pub mod eureka;
pub mod experiment;
pub mod family;
pub mod ledger;
pub mod load;
pub mod model;
pub mod play;
pub mod plot;
pub mod pooler;
pub mod primary;
pub mod rehearsal;
pub mod say;
pub mod script;
pub mod sizes;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// The lock, whoever may have panicked with it: what was counted until then still counts.
pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}
