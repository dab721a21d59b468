//! What a registry holds in all, as far as its hash code needs: the status of each instance of each application. After
//! a delta the hash code made from it is compared with the registry's own. No I/O.

use super::model::{ActionType, Instance, Status};
use std::collections::HashMap;
use std::fmt::Write;
use std::hash::{BuildHasher, RandomState};

/// The statuses of all that a registry holds, by application and id.
#[derive(Debug, Default)]
pub struct Mirror {
    /// By a keyed hash of application and id: 20,000 of them take up less than 1 MB.
    statuses: HashMap<u64, Status>,
    counts: [usize; Status::ALL.len()],
    hash_builder: RandomState,
}

/// An instance as far as a mirror needs it: 16 bytes, so that a delta of many is held cheaply until its end.
#[derive(Clone, Copy, Debug)]
pub struct StatusChange {
    key: u64,
    /// `None` for one that is gone.
    status: Option<Status>,
}

impl Mirror {
    /// One of nothing, that notes instances as this one does.
    #[must_use]
    pub fn empty_with_same_hasher(&self) -> Self {
        Self { hash_builder: self.hash_builder.clone(), ..Self::default() }
    }

    /// Notes an instance as a body names it.
    #[must_use]
    pub fn status_change(&self, instance: &Instance) -> StatusChange {
        let key = self.hash_builder.hash_one((instance.app.to_ascii_uppercase(), &instance.id));
        StatusChange { key, status: Some(instance.status).filter(|_| instance.action != ActionType::Deleted) }
    }

    /// Takes in what was noted. The cost does not depend on how many there are.
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

    /// How many instances there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.statuses.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statuses.is_empty()
    }

    /// The hash code as Eureka makes it: the statuses in alphabetical order, each with its count.
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
