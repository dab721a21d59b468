//! A local copy of the status of each instance of each application in a registry. The registry's hash code is computed
//! from these; after each delta the hash code of the copy is compared with the one that the registry sent. No I/O.

use super::model::{ActionType, Instance, Status};
use std::collections::HashMap;
use std::fmt::Write;
use std::hash::{BuildHasher, RandomState};

/// The statuses of all instances in a registry, by application and id.
#[derive(Debug, Default)]
pub struct Mirror {
    /// By a keyed hash of application and id, so that 20,000 instances take less than 1 MB.
    statuses: HashMap<u64, Status>,
    counts: [usize; Status::ALL.len()],
    hash_builder: RandomState,
}

/// The status of one instance for a mirror. It has only 16 bytes, because all changes of a delta are held until the
/// end of its body.
#[derive(Clone, Copy, Debug)]
pub struct StatusChange {
    key: u64,
    /// `None` if the instance was deleted.
    status: Option<Status>,
}

impl Mirror {
    /// Creates an empty mirror with the same hasher, so that status changes of either can be applied to both.
    #[must_use]
    pub fn empty_with_same_hasher(&self) -> Self {
        Self { hash_builder: self.hash_builder.clone(), ..Self::default() }
    }

    /// Returns the status change that an instance in a body stands for.
    #[must_use]
    pub fn status_change(&self, instance: &Instance) -> StatusChange {
        let key = self.hash_builder.hash_one((instance.app.to_ascii_uppercase(), &instance.id));
        StatusChange { key, status: Some(instance.status).filter(|_| instance.action != ActionType::Deleted) }
    }

    /// Applies a status change, in constant time.
    pub fn apply(&mut self, StatusChange { key, status }: StatusChange) {
        let previous = match status {
            None => self.statuses.remove(&key),
            Some(status) => {
                self.counts[index_of(status)] += 1;
                self.statuses.insert(key, status)
            }
        };
        if let Some(status) = previous {
            self.counts[index_of(status)] -= 1;
        }
    }

    /// The number of instances.
    #[must_use]
    pub fn len(&self) -> usize {
        self.statuses.len()
    }

    /// Whether there are no instances.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statuses.is_empty()
    }

    /// The hash code as Eureka computes it: the statuses in alphabetical order, each with its count.
    #[must_use]
    pub fn hash_code(&self) -> String {
        let mut code = String::new();
        for (status, count) in Status::ALL.iter().zip(self.counts).filter(|(_, count)| *count > 0) {
            let _ = write!(code, "{}_{count}_", status.name());
        }
        code
    }
}

fn index_of(status: Status) -> usize {
    Status::ALL.iter().position(|candidate| *candidate == status).unwrap_or(0)
}
