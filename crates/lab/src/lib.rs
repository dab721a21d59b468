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
pub mod eureka_bench;
pub mod even;
pub mod experiment;
pub mod leases;
pub mod load;
pub mod model;
pub mod pg_reply;
pub mod plot;
pub mod pooler;
pub mod primary;
pub mod processes;
pub mod recorder;
pub mod replica_group;
pub mod script;
pub mod script_runner;
pub mod soak;
pub mod socket_run;
pub mod work;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// The lock, whoever may have panicked with it: what was counted until then still counts.
pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Does the work for each of these, so many at once, and gives the results in their order.
pub fn run_parallel<T: Sync, R: Send>(of: &[T], most: usize, work: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let queue = Mutex::new(of.iter().enumerate());
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..most.max(1) {
            scope.spawn(|| {
                loop {
                    let Some((at, one)) = lock(&queue).next() else { return };
                    let result = work(one);
                    lock(&done).push((at, result));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|(at, _)| *at);
    done.into_iter().map(|(_, result)| result).collect()
}
