//! Who the members are at this moment, as discovery tells: where each listens and whether it takes new work.

use crate::config::{Server, ServerList};
use linnetdeal_core::*;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

#[derive(Debug)]
struct Known {
    address: Option<SocketAddr>,
    state: ListState,
    group: GroupId,
}

/// The members by id.
#[derive(Debug, Default)]
pub struct Members(RefCell<HashMap<MemberId, Known>>);

impl Members {
    /// Takes a list and gives it as the module has it. `whole` overrides what the list says of itself.
    pub fn take(&self, list: &ServerList, whole: bool) -> Listing {
        let mut known = self.0.borrow_mut();
        let whole = whole || list.reset;
        if whole {
            let named: HashSet<_> = list.instances.iter().map(Server::member).collect();
            for (_, gone) in known.iter_mut().filter(|(id, _)| !named.contains(*id)) {
                gone.state = ListState::Gone;
            }
        }
        let mut entries = Vec::with_capacity(list.instances.len());
        for server in &list.instances {
            let before = known.get(&server.member());
            let entry = server.entry(before.map(|known| known.group));
            let address = server.address().or(before.and_then(|known| known.address));
            known.insert(entry.member.clone(), Known { address, state: entry.state, group: entry.group });
            entries.push(entry);
        }
        if whole { Listing::Full(entries) } else { Listing::Changes(entries) }
    }

    /// Where a member listens.
    #[must_use]
    pub fn address(&self, member: &MemberId) -> Option<SocketAddr> {
        self.0.borrow().get(member).and_then(|known| known.address)
    }

    /// Whether a member takes new work.
    #[must_use]
    pub fn in_service(&self, member: &MemberId) -> bool {
        self.0.borrow().get(member).is_some_and(|known| known.state == ListState::Healthy)
    }
}
