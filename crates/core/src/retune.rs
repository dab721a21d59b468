//! Merges the classes and tenants of new settings with those of earlier ones while a router runs. Classes are
//! identified across versions by their whole definition: each open request keeps the class, by number, with which it
//! was accepted, so a class that differs in any way gets a new number. A tenant keeps its number, and with it its
//! accounting, whatever its share.

use crate::interface::{Class, ClassId, Tenant, TenantId};
use std::collections::HashMap;

/// The maximum number of classes of all versions together; settings that would exceed it are refused. Earlier numbers
/// can't be reused, because it is not known here which requests are open.
pub const MAX_CLASSES: usize = 1_024;

/// Returns the classes of all versions by number, and the numbers of the new version's classes in its order; `None`
/// if there are too many.
#[must_use]
pub fn merge_classes(held: &[Class], new: &[Class]) -> Option<(Vec<Class>, Vec<ClassId>)> {
    let mut all = held.to_vec();
    let mut number_of = |class: &Class| {
        let index = all.iter().position(|held| held == class).unwrap_or_else(|| {
            all.push(class.clone());
            all.len() - 1
        });
        ClassId(index)
    };
    let numbers = new.iter().map(&mut number_of).collect();
    (all.len() <= MAX_CLASSES).then_some((all, numbers))
}

/// The maximum number of tenants of all versions together, for the same reason.
pub const MAX_TENANTS: usize = 4_096;

/// Returns the tenants of all versions by number, and the numbers of the new version's tenants in its order; `None`
/// if there are too many. The shares are those of the new version: a tenant that it doesn't name has none.
#[must_use]
pub fn merge_tenants(held: &[Tenant], new: &[Tenant]) -> Option<(Vec<Tenant>, Vec<TenantId>)> {
    let mut all: Vec<Tenant> = held.iter().map(|tenant| Tenant { quota: 0.0, ..tenant.clone() }).collect();
    let mut number_by_name: HashMap<String, usize> =
        all.iter().enumerate().map(|(index, tenant)| (tenant.name.clone(), index)).collect();
    let numbers = new.iter().map(|tenant| {
        let index = *number_by_name.entry(tenant.name.clone()).or_insert(all.len());
        match all.get_mut(index) {
            Some(existing) => existing.quota = tenant.quota,
            None => all.push(tenant.clone()),
        }
        TenantId(index)
    });
    let numbers = numbers.collect();
    (all.len() <= MAX_TENANTS).then_some((all, numbers))
}
