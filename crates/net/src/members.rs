//! Who the members are at this moment, by all sources that there are, and the way in for what these tell.

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

/// The platform's list, as discovery pushes it.
pub const PLATFORM: SourceId = SourceId(0);
/// A registry.
pub const REGISTRY: SourceId = SourceId(1);

/// Who has been gone for so long is forgotten, and sooner if they are more than so many. It bounds what is held of
/// members that came and went; a claim staler than that would count as news.
const REMEMBERS: Span = Span::millis(15 * 60 * 1_000);
const MOST_GONE: usize = 16 * 1024;

/// The members by id.
#[derive(Debug)]
pub struct Members(RefCell<Membership>);

impl Default for Members {
    fn default() -> Self {
        Self(RefCell::new(Membership::new(REMEMBERS, MOST_GONE)))
    }
}

impl Members {
    /// Where a member listens.
    #[must_use]
    pub fn address(&self, member: &MemberId) -> Option<SocketAddr> {
        self.0.borrow().get(member).and_then(|known| known.address)
    }

    /// A member's group.
    #[must_use]
    pub fn group(&self, member: &MemberId) -> Option<GroupId> {
        self.0.borrow().get(member).map(|known| known.group)
    }

    /// Whether a member would take new work if no plan had it out.
    #[must_use]
    pub fn serves_but_for_plans(&self, member: &MemberId) -> bool {
        self.0.borrow().in_service_without_plans(member)
    }

    /// Whether a member takes new work.
    #[must_use]
    pub fn in_service(&self, member: &MemberId) -> bool {
        self.0.borrow().get(member).is_some_and(|known| known.state == ListState::Healthy)
    }

    /// All that are known, by id.
    #[must_use]
    pub fn all(&self) -> Vec<(MemberId, MemberInfo)> {
        self.0.borrow().iter().map(|(id, known)| (id.clone(), known.clone())).collect()
    }
}

/// The way in for what a source tells: the members know it before the module does, so that nothing is sent to who has
/// just been told to drain.
#[derive(Clone)]
pub struct Feed {
    members: Rc<Members>,
    driver: Rc<Driver>,
}

impl Feed {
    /// A way in to these.
    #[must_use]
    pub fn new(members: Rc<Members>, driver: Rc<Driver>) -> Self {
        Self { members, driver }
    }

    /// Says how a source's full lists are doubted.
    pub fn doubt(&self, source: SourceId, doubt: ShrinkPolicy) {
        self.members.0.borrow_mut().set_shrink_policy(source, doubt);
    }

    /// The time on the clock that sources and module share: Unix, in microseconds.
    #[must_use]
    pub fn now(&self) -> Time {
        self.driver.clock.now()
    }

    /// Takes a member out by hand, or ends that; false for one that was never listed.
    #[must_use]
    pub fn by_hand(&self, member: &MemberId, out: bool) -> bool {
        let taken = self.members.0.borrow_mut().set_operator_drain(member, out);
        let known = taken.is_some();
        self.changed(taken.unwrap_or_default().changed);
        known
    }

    /// Says who is out by a plan from now on, and who has come back from one.
    pub fn by_plan(&self, out: &BTreeSet<u64>, back: &[u64]) {
        let back: Vec<_> = back.iter().map(|of| (*of, self.now())).collect();
        let taken = self.members.0.borrow_mut().apply_plan(out, &back);
        self.changed(taken.changed);
    }

    /// Takes over what another process of this pooler was told by hand.
    pub fn by_word(&self, changes: &DrainChanges) {
        let out = changes.out.iter().map(|member| (member, true));
        for (member, out) in out.chain(changes.back.iter().map(|member| (member, false))) {
            tracing::info!(
                "server {} {} by hand, as the other process was told",
                member.0,
                if out { "out" } else { "back" }
            );
            let taken = self.members.0.borrow_mut().adopt_operator_drain(member, out);
            self.changed(taken.changed);
        }
    }

    fn changed(&self, entries: Vec<Entry>) {
        if !entries.is_empty() {
            self.driver.feed(Event::List(Listing::Changes(entries)));
        }
    }

    /// Whether anybody is known who takes new work.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.members.0.borrow().iter().any(|(_, known)| known.state == ListState::Healthy)
    }

    /// Who is out by hand.
    #[must_use]
    pub fn banned(&self) -> Vec<MemberId> {
        self.members.0.borrow().operator_drained().cloned().collect()
    }

    /// Whether a claim from an older list would have somebody back who is out.
    #[must_use]
    pub fn keeps_out(&self, claim: &Claim) -> bool {
        self.members.0.borrow().would_revive(claim)
    }

    /// Takes news in and passes what it changes to the module at once.
    pub fn tell(&self, source: SourceId, news: SourceUpdate) -> UpdateOutcome {
        let taken = self.members.0.borrow_mut().apply_update(self.now(), source, news);
        self.changed(taken.changed.clone());
        if !taken.forgotten.is_empty() {
            self.driver.feed(Event::List(Listing::Forgotten(taken.forgotten.clone())));
        }
        taken
    }
}
