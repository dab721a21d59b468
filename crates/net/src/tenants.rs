//! Lookup of tenants for the client side: by name among the current settings, by number among all versions of
//! the settings.

use linnetdeal_core::{Tenant, TenantId};
use std::cell::{Ref, RefCell};
use std::collections::HashMap;

/// The tenants of all versions of the settings.
#[derive(Debug, Default)]
pub struct Tenants {
    all: RefCell<Vec<Tenant>>,
    current: RefCell<HashMap<String, TenantId>>,
}

impl Tenants {
    /// Applies a new version of the settings: `all` are the tenants of every version, `current` those of the new one.
    pub fn set(&self, all: &[Tenant], current: Vec<TenantId>) {
        let name = |id: &TenantId| all.get(id.0).map(|tenant| (tenant.name.clone(), *id));
        *self.current.borrow_mut() = current.iter().filter_map(name).collect();
        *self.all.borrow_mut() = all.to_vec();
    }

    /// The tenant with this name in the current settings.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<TenantId> {
        self.current.borrow().get(name).copied()
    }

    /// The tenants of all versions, by number.
    #[must_use]
    pub fn all(&self) -> Ref<'_, [Tenant]> {
        Ref::map(self.all.borrow(), Vec::as_slice)
    }
}
