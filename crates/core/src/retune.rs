//! Settings that change while a router works. Classes are known by name across versions; each open request keeps the
//! class, by number, under which it was taken, so a class that differs in anything gets a number of its own.

use crate::interface::{Class, ClassId};

/// So many classes are held, of all versions together. A further version is refused: the numbers of earlier ones stay, since
/// nobody here knows which requests are open.
pub const MOST_CLASSES: usize = 1_024;

/// The classes of all versions by number, and the numbers of this version's in its order; `None` if they are too many.
#[must_use]
pub fn merge(held: &[Class], new: &[Class]) -> Option<(Vec<Class>, Vec<ClassId>)> {
    let mut all = held.to_vec();
    let mut number = |class: &Class| {
        let at = all.iter().position(|held| held == class).unwrap_or_else(|| {
            all.push(class.clone());
            all.len() - 1
        });
        ClassId(at)
    };
    let numbers = new.iter().map(&mut number).collect();
    (all.len() <= MOST_CLASSES).then_some((all, numbers))
}
