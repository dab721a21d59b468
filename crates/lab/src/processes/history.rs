//! A history of what happened when, on the monotonic clock of the machine.

use crate::lock;
use serde::Serialize;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "what")]
pub enum Event {
    /// A fault was injected or removed.
    Fault {
        /// Description of the fault.
        words: String,
    },
    /// A call by a lease holder reached the gate, which let it through or rejected it.
    Act {
        /// The task.
        task: String,
        /// The fencing token.
        token: u64,
        /// The calling pooler instance: its number and its incarnation.
        by: String,
        /// `begin` or `end`.
        step: String,
        /// Whether it was let through.
        through: bool,
    },
    /// A process reports that it holds a task from now on.
    Gained {
        /// The task.
        task: String,
        /// The fencing token.
        token: u64,
        /// The pooler's number.
        by: usize,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Record {
    /// The time, in microseconds since the history began.
    pub at: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A history that many threads append to.
#[derive(Clone, Debug)]
pub struct History {
    began: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Default for History {
    fn default() -> Self {
        Self { began: Instant::now(), records: Arc::default() }
    }
}

impl History {
    /// The present time, in microseconds since the history began.
    #[must_use]
    pub fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Appends an event that happens now.
    pub fn add(&self, event: Event) {
        self.add_at(Instant::now(), event);
    }

    /// Appends an event that happened at the given time.
    pub fn add_at(&self, at: Instant, event: Event) {
        let at = u64::try_from(at.saturating_duration_since(self.began).as_micros()).unwrap_or(u64::MAX);
        lock(&self.records).push(Record { at, event });
    }

    /// All records so far, sorted by time.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let mut records = lock(&self.records).clone();
        records.sort_by_key(|record| record.at);
        records
    }

    /// The number of records so far; pass it to [`Self::since`] later.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.records).len()
    }

    /// Whether there are no records yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The records appended since the history had this length, in the order in which they were appended.
    #[must_use]
    pub fn since(&self, length: usize) -> Vec<Record> {
        lock(&self.records).get(length..).unwrap_or_default().to_vec()
    }
}
