//! Who did what when, by one steady clock of the machine.

use crate::lock;
use serde::Serialize;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "what")]
pub enum Event {
    /// A fault was caused, or taken away.
    Fault {
        /// In words.
        words: String,
    },
    /// A call came to the gate and was let through, or not.
    Act {
        /// The task.
        task: String,
        /// The token.
        token: u64,
        /// Who called: number and life.
        by: String,
        /// `begin` or `end`.
        step: String,
        /// It was let through.
        through: bool,
    },
    /// A process says that it has a task now.
    Gained {
        /// The task.
        task: String,
        /// The token.
        token: u64,
        /// The pooler's number.
        by: usize,
    },
}

/// When it happened, in microseconds since the history's begin, and what.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Record {
    /// The time.
    pub at: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A history that many threads write.
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
    /// The time now, in microseconds since its begin.
    #[must_use]
    pub fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Adds what happens now.
    pub fn add(&self, event: Event) {
        self.add_at(Instant::now(), event);
    }

    /// Adds what happened then.
    pub fn add_at(&self, at: Instant, event: Event) {
        let at = u64::try_from(at.saturating_duration_since(self.began).as_micros()).unwrap_or(u64::MAX);
        lock(&self.records).push(Record { at, event });
    }

    /// All so far, by time.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let mut records = lock(&self.records).clone();
        records.sort_by_key(|record| record.at);
        records
    }

    /// How much has been written so far: where to go on looking.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.records).len()
    }

    /// Whether nothing has.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What was written since the length was this, as written.
    #[must_use]
    pub fn since(&self, length: usize) -> Vec<Record> {
        lock(&self.records).get(length..).unwrap_or_default().to_vec()
    }
}
