//! The tenants as a client's side needs them: by name those of the present settings, by number those of all.

use linnetdeal_core::{Tenant, TenantId};
use std::cell::{Ref, RefCell};
use std::collections::HashMap;

/// All tenants.
#[derive(Debug, Default)]
pub struct Tenants {
    all: RefCell<Vec<Tenant>>,
    present: RefCell<HashMap<String, TenantId>>,
}

impl Tenants {
    /// Those of one version of the settings take the place of the ones before.
    pub fn set(&self, all: &[Tenant], present: Vec<TenantId>) {
        let name = |id: &TenantId| all.get(id.0).map(|tenant| (tenant.name.clone(), *id));
        *self.present.borrow_mut() = present.iter().filter_map(name).collect();
        *self.all.borrow_mut() = all.to_vec();
    }

    /// The tenant that is called so now; `None` for one that the settings don't name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<TenantId> {
        self.present.borrow().get(name).copied()
    }

    /// Those of all versions, by number.
    #[must_use]
    pub fn all(&self) -> Ref<'_, [Tenant]> {
        Ref::map(self.all.borrow(), Vec::as_slice)
    }
}
