//! The classes as a client's side needs them: by name those of the present settings, by number those of all.

use linnetdeal_core::{Class, ClassId, Effect, Need};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// All classes.
#[derive(Debug, Default)]
pub struct Classes {
    all: RefCell<Vec<(String, Need, Effect)>>,
    present: RefCell<Vec<ClassId>>,
    longest_deadline: Cell<Duration>,
    second_copies: Cell<bool>,
}

impl Classes {
    /// Those of one version of the settings take the place of the ones before.
    pub fn set(&self, all: &[Class], present: Vec<ClassId>, longest_deadline: Duration, second_copies: bool) {
        let entries = all.iter().map(|class| (class.name.clone(), class.need, class.effect));
        *self.all.borrow_mut() = entries.collect();
        *self.present.borrow_mut() = present;
        self.longest_deadline.set(longest_deadline);
        self.second_copies.set(second_copies);
    }

    /// The class that is called so now.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<ClassId> {
        let all = self.all.borrow();
        self.present
            .borrow()
            .iter()
            .copied()
            .find(|id| all.get(id.0).is_some_and(|(class_name, ..)| class_name == name))
    }

    /// Name, need and effect of one, be it of an earlier version.
    #[must_use]
    pub fn get(&self, id: ClassId) -> Option<(String, Need, Effect)> {
        self.all.borrow().get(id.0).cloned()
    }

    /// Whether two attempts of a request of this class may be out at once: the settings say so, and it may run any number
    /// of times.
    #[must_use]
    pub fn may_be_copied(&self, id: ClassId) -> bool {
        let safe = |(_, _, effect): &(String, Need, Effect)| *effect == Effect::Safe;
        self.second_copies.get() && self.all.borrow().get(id.0).is_some_and(safe)
    }

    /// The longest deadline of any present class.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        self.longest_deadline.get()
    }
}
