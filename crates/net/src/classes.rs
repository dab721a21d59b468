//! Lookup of classes for the client side: by name among the current settings, by number among all versions of
//! the settings.

use linnetdeal_core::{Class, ClassId, Effect, Need};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The classes of all versions of the settings.
#[derive(Debug, Default)]
pub struct Classes {
    all: RefCell<Vec<(String, Need, Effect)>>,
    current: RefCell<Vec<ClassId>>,
    longest_deadline: Cell<Duration>,
    second_copies: Cell<bool>,
}

impl Classes {
    /// Applies a new version of the settings: `all` are the classes of every version, `current` those of the new one.
    pub fn set(&self, all: &[Class], current: Vec<ClassId>, longest_deadline: Duration, second_copies: bool) {
        let entries = all.iter().map(|class| (class.name.clone(), class.need, class.effect));
        *self.all.borrow_mut() = entries.collect();
        *self.current.borrow_mut() = current;
        self.longest_deadline.set(longest_deadline);
        self.second_copies.set(second_copies);
    }

    /// The class with this name in the current settings.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<ClassId> {
        let all = self.all.borrow();
        self.current
            .borrow()
            .iter()
            .copied()
            .find(|id| all.get(id.0).is_some_and(|(class_name, ..)| class_name == name))
    }

    /// Name, need and effect of a class, also of one from an earlier version.
    #[must_use]
    pub fn get(&self, id: ClassId) -> Option<(String, Need, Effect)> {
        self.all.borrow().get(id.0).cloned()
    }

    /// Whether a request of this class may have two concurrent attempts: the settings must allow it, and the
    /// class must be safe to run any number of times.
    #[must_use]
    pub fn may_be_copied(&self, id: ClassId) -> bool {
        let safe = |(_, _, effect): &(String, Need, Effect)| *effect == Effect::Safe;
        self.second_copies.get() && self.all.borrow().get(id.0).is_some_and(safe)
    }

    /// The longest deadline of the current classes.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        self.longest_deadline.get()
    }
}
