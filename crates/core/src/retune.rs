//! Settings that change while a router works. Classes are known by name across versions; each open request keeps the
//! class, by number, under which it was taken, so a class that differs in anything gets a number of its own. A tenant keeps
//! its number, and with it the count of what it had, whatever its share.

use crate::interface::{Class, ClassId, Tenant, TenantId};
use std::collections::HashMap;

/// So many classes are held, of all versions together. A further version is refused: the numbers of earlier ones stay, since
/// nobody here knows which requests are open.
pub const MAX_CLASSES: usize = 1_024;

/// The classes of all versions by number, and the numbers of this version's in its order; `None` if they are too many.
#[must_use]
pub fn merge_classes(held: &[Class], new: &[Class]) -> Option<(Vec<Class>, Vec<ClassId>)> {
    let mut all = held.to_vec();
    let mut number = |class: &Class| {
        let at = all.iter().position(|held| held == class).unwrap_or_else(|| {
            all.push(class.clone());
            all.len() - 1
        });
        ClassId(at)
    };
    let numbers = new.iter().map(&mut number).collect();
    (all.len() <= MAX_CLASSES).then_some((all, numbers))
}

/// So many tenants are held, of all versions together, for the same reason.
pub const MAX_TENANTS: usize = 4_096;

/// The tenants of all versions by number, and the numbers of this version's in its order; `None` if they are too many. The
/// shares are this version's: whom it doesn't name has none.
#[must_use]
pub fn merge_tenants(held: &[Tenant], new: &[Tenant]) -> Option<(Vec<Tenant>, Vec<TenantId>)> {
    let mut all: Vec<Tenant> = held.iter().map(|tenant| Tenant { quota: 0.0, ..tenant.clone() }).collect();
    let mut number: HashMap<String, usize> =
        all.iter().enumerate().map(|(at, tenant)| (tenant.name.clone(), at)).collect();
    let numbers = new.iter().map(|tenant| {
        let at = *number.entry(tenant.name.clone()).or_insert(all.len());
        match all.get_mut(at) {
            Some(known) => known.quota = tenant.quota,
            None => all.push(tenant.clone()),
        }
        TenantId(at)
    });
    let numbers = numbers.collect();
    (all.len() <= MAX_TENANTS).then_some((all, numbers))
}
