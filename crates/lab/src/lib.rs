//! Test environments for linnetdeal, all on loopback: a stand-in registry that speaks Eureka's REST API and can be
//! scripted to lag, to answer wrongly or not to answer; stand-in servers ("boxes") that speak PostgreSQL and record what
//! they are sent; and clients. The results that a proof reports are counted here, from the traffic on the sockets, and
//! never by the pooler itself.

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

/// Locks a mutex also if a thread has panicked while holding it: the counts up to then remain valid.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs `work` for each item on up to `max_threads` threads, at least one, and returns the results in the order of the
/// items.
pub fn run_parallel<T: Sync, R: Send>(
    items: &[T],
    max_threads: usize,
    work: impl Fn(&T) -> R + Sync,
) -> Vec<R> {
    let queue = Mutex::new(items.iter().enumerate());
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..max_threads.max(1) {
            scope.spawn(|| {
                loop {
                    let Some((index, item)) = lock(&queue).next() else { return };
                    let result = work(item);
                    lock(&results).push((index, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
