//! The current members, merged from all sources, and the entry point for the sources' updates.

use crate::driver::Driver;
use linnetdeal_core::hot_restart::DrainChanges;
use linnetdeal_core::membership::{
    Claim, MemberInfo, Membership, ShrinkPolicy, SourceId, SourceUpdate, UpdateOutcome,
};
use linnetdeal_core::*;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// The source id of the platform's list of servers, as pushed by discovery.
pub const PLATFORM: SourceId = SourceId(0);
/// The source id of a service registry.
pub const REGISTRY: SourceId = SourceId(1);

/// How long members that are gone are remembered. Together with [`MAX_GONE`] this bounds the memory held for
/// members that came and went. A stale claim that arrives after this time is taken for a new member.
const GONE_RETENTION: Span = Span::millis(15 * 60 * 1_000);
/// Maximum number of members that are gone and remembered.
const MAX_GONE: usize = 16 * 1024;

/// The members by id.
#[derive(Debug)]
pub struct Members(RefCell<Membership>);

impl Default for Members {
    fn default() -> Self {
        Self(RefCell::new(Membership::new(GONE_RETENTION, MAX_GONE)))
    }
}

impl Members {
    /// The address of a member.
    #[must_use]
    pub fn address(&self, member: &MemberId) -> Option<SocketAddr> {
        self.0.borrow().get(member).and_then(|member_info| member_info.address)
    }

    /// The group of a member.
    #[must_use]
    pub fn group(&self, member: &MemberId) -> Option<GroupId> {
        self.0.borrow().get(member).map(|member_info| member_info.group)
    }

    /// Whether a member would accept new requests if no maintenance plan had taken it out.
    #[must_use]
    pub fn in_service_without_plans(&self, member: &MemberId) -> bool {
        self.0.borrow().in_service_without_plans(member)
    }

    /// Whether a member accepts new requests.
    #[must_use]
    pub fn in_service(&self, member: &MemberId) -> bool {
        self.0.borrow().get(member).is_some_and(|member_info| member_info.state == ListState::Healthy)
    }

    /// All known members, ordered by id.
    #[must_use]
    pub fn all(&self) -> Vec<(MemberId, MemberInfo)> {
        self.0.borrow().iter().map(|(id, member_info)| (id.clone(), member_info.clone())).collect()
    }
}

/// The entry point for updates. The member table is updated before the router, so that nothing is sent to a
/// member that has just started to drain.
#[derive(Clone)]
pub struct Feed {
    members: Rc<Members>,
    driver: Rc<Driver>,
}

impl Feed {
    /// Creates an entry point to a member table and the router behind `driver`.
    #[must_use]
    pub fn new(members: Rc<Members>, driver: Rc<Driver>) -> Self {
        Self { members, driver }
    }

    /// Sets when a source's full list that lacks many members is not believed.
    pub fn set_shrink_policy(&self, source: SourceId, policy: ShrinkPolicy) {
        self.members.0.borrow_mut().set_shrink_policy(source, policy);
    }

    /// The current time of the clock shared by sources and router, in microseconds since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> Time {
        self.driver.clock.now()
    }

    /// Starts or ends an operator's drain of a member; false if the member was never listed.
    #[must_use]
    pub fn set_operator_drain(&self, member: &MemberId, drained: bool) -> bool {
        let outcome = self.members.0.borrow_mut().set_operator_drain(member, drained);
        let found = outcome.is_some();
        self.notify_router(outcome.unwrap_or_default().changed);
        found
    }

    /// Sets which members are out for maintenance work, and which ones have returned from it, by the hashes of
    /// their ids.
    pub fn apply_plan(&self, out: &BTreeSet<u64>, returned: &[u64]) {
        let returned: Vec<_> = returned.iter().map(|hash| (*hash, self.now())).collect();
        let outcome = self.members.0.borrow_mut().apply_plan(out, &returned);
        self.notify_router(outcome.changed);
    }

    /// Adopts changes to the operator drains that another process of this pooler received.
    pub fn adopt_operator_drains(&self, changes: &DrainChanges) {
        let drains = changes.out.iter().map(|member| (member, true));
        for (member, drained) in drains.chain(changes.back.iter().map(|member| (member, false))) {
            tracing::info!(
                "server {} {} by hand, as the other process was told",
                member.0,
                if drained { "out" } else { "back" }
            );
            let outcome = self.members.0.borrow_mut().adopt_operator_drain(member, drained);
            self.notify_router(outcome.changed);
        }
    }

    fn notify_router(&self, entries: Vec<Entry>) {
        if !entries.is_empty() {
            self.driver.feed(Event::List(Listing::Changes(entries)));
        }
    }

    /// Whether any known member accepts new requests.
    #[must_use]
    pub fn has_serving_member(&self) -> bool {
        self.members.0.borrow().iter().any(|(_, member_info)| member_info.state == ListState::Healthy)
    }

    /// The members drained by an operator.
    #[must_use]
    pub fn operator_drained(&self) -> Vec<MemberId> {
        self.members.0.borrow().operator_drained().cloned().collect()
    }

    /// Whether a claim from an older list would bring back a member that is draining or gone.
    #[must_use]
    pub fn would_revive(&self, claim: &Claim) -> bool {
        self.members.0.borrow().would_revive(claim)
    }

    /// Applies a source's update and passes the resulting changes to the router at once.
    pub fn apply_update(&self, source: SourceId, update: SourceUpdate) -> UpdateOutcome {
        let outcome = self.members.0.borrow_mut().apply_update(self.now(), source, update);
        self.notify_router(outcome.changed.clone());
        if !outcome.forgotten.is_empty() {
            self.driver.feed(Event::List(Listing::Forgotten(outcome.forgotten.clone())));
        }
        outcome
    }
}
