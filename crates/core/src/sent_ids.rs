//! The ids of requests that may have run and must not run again, within a bound. An id comes again when its client sends
//! the request once more, on a new connection or to another process of the same pooler, because its connection was closed.

use std::collections::{HashMap, VecDeque};

/// Maximum number of ids that are kept; beyond that, the oldest are forgotten.
pub const MAX_SENT_IDS: usize = 16 * 1024;

/// A digest of a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdDigest(pub [u8; 16]);

/// The ids.
#[derive(Debug, Default)]
pub struct SentIds {
    /// The number of the latest insertion of each id.
    numbers: HashMap<IdDigest, u64>,
    /// All insertions, the oldest first.
    insertions: VecDeque<(u64, IdDigest)>,
    last_number: u64,
}

impl SentIds {
    /// Whether the id is known.
    #[must_use]
    pub fn contains(&self, id: &IdDigest) -> bool {
        self.numbers.contains_key(id)
    }

    /// Records an id, before the first byte of its request is sent. Forgets the oldest if there are too many.
    pub fn insert(&mut self, id: IdDigest) {
        self.last_number += 1;
        self.numbers.insert(id, self.last_number);
        self.insertions.push_back((self.last_number, id));
        if self.insertions.len() <= MAX_SENT_IDS {
            return;
        }
        if let Some((number, oldest)) = self.insertions.pop_front() {
            // It may have been removed and inserted again since.
            if self.numbers.get(&oldest) == Some(&number) {
                self.numbers.remove(&oldest);
            }
        }
    }

    /// Removes an id whose request is known not to have run.
    pub fn remove(&mut self, id: &IdDigest) {
        self.numbers.remove(id);
    }
}
