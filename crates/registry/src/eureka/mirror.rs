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
    keys: RandomState,
}

impl Mirror {
    /// Takes an instance in as a body names it. The cost does not depend on how many there are.
    pub fn take(&mut self, instance: &Instance) {
        let key = self.keys.hash_one((instance.app.to_ascii_uppercase(), &instance.id));
        let before = match instance.action {
            ActionType::Deleted => self.statuses.remove(&key),
            ActionType::Added | ActionType::Modified => {
                self.counts[place(instance.status)] += 1;
                self.statuses.insert(key, instance.status)
            }
        };
        if let Some(status) = before {
            self.counts[place(status)] -= 1;
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

fn place(status: Status) -> usize {
    Status::ALL.iter().position(|one| *one == status).unwrap_or(0)
}
