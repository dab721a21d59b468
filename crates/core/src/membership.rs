//! Merges what several sources report of the members: the platform's list, a registry and the servers themselves.
//! Sources lag, contradict one another and lose data; this module decides which report counts, without I/O and
//! without a clock of its own. The precedence table is in `docs/design/eureka.md`, and the tests check each of its
//! cells.
//!
//! The most important rule: **a member that was reported as draining or gone stays so until a newer report says
//! otherwise.** A repeated report, a stale copy and the older view of another registry server are not newer.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The maximum number of members. It bounds the memory that a registry can fill whose deltas keep naming new members;
/// claims of members that are already known are still accepted at the limit.
pub const MAX_MEMBERS: usize = 100_000;
/// The maximum number of members that the operator may have drained at the same time.
pub const MAX_OPERATOR_DRAINS: usize = 10_000;

/// The 64-bit FNV-1a hash of the bytes.
#[must_use]
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes.into_iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// The hash that identifies a member in messages and plans, for which ids are too long.
#[must_use]
pub fn id_hash(id: &str) -> u64 {
    fnv1a(id.bytes())
}

/// The number of a source of claims, assigned by the host. Data that can come from one source only is taken from the
/// lowest number that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u8);

/// The version of a claim. It orders claims by what the member itself reported, not by when they arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimVersion {
    /// When the member last started, if the source reports it. A later start outranks any stamp.
    pub started: Option<Time>,
    /// The timestamp of the member's last change of its own registration (derived from Eureka's
    /// `lastDirtyTimestamp`), or the sequence number of the message where the messages of a source are ordered.
    pub stamp: i64,
    /// The number of the registry server that made the claim and the start of the lease that it holds for the member.
    /// Claims of the same start and stamp are ordered by [`Self::lease_updated`] if they come from the same server
    /// and lease; `None` if the source has no leases.
    pub registry_lease: Option<(usize, i64)>,
    /// When that server last changed the entry, on its own clock.
    pub lease_updated: i64,
}

/// How recent one claim is compared with another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recency {
    /// It reports a later state of the member.
    Newer,
    /// It reports the same state, or the order is unknown.
    Same,
    /// It reports an earlier state of the member.
    Older,
}

impl ClaimVersion {
    /// Compares `self` with the version that is held.
    #[must_use]
    pub fn compare(&self, held: &Self) -> Recency {
        let start_order = self.started.zip(held.started).map(|(new, old)| new.cmp(&old));
        let same_lease = self.registry_lease.is_some() && self.registry_lease == held.registry_lease;
        let lease_order =
            if same_lease { self.lease_updated.cmp(&held.lease_updated) } else { std::cmp::Ordering::Equal };
        match start_order
            .unwrap_or(std::cmp::Ordering::Equal)
            .then(self.stamp.cmp(&held.stamp))
            .then(lease_order)
        {
            std::cmp::Ordering::Greater => Recency::Newer,
            std::cmp::Ordering::Equal => Recency::Same,
            std::cmp::Ordering::Less => Recency::Older,
        }
    }
}

/// What a source reports of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// The member.
    pub member: MemberId,
    /// The address on which it listens; `None` if the source does not report one or it is unreadable.
    pub address: Option<SocketAddr>,
    /// Its replication group; `None` keeps the known one.
    pub group: Option<GroupId>,
    /// Its zone.
    pub zone: String,
    /// Whether the source names it as the primary.
    pub primary: bool,
    /// The type of its machine, as the source names it.
    pub machine: String,
    /// When it last started; `None` if that was long ago or the source does not report it.
    pub started: Option<Time>,
    /// Its state.
    pub state: ListState,
    /// The version of this claim.
    pub version: ClaimVersion,
}

/// An update from a source.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// All members that the source knows. A member that is held but not listed is gone, unless its stamp is later
    /// than `view`: then the source did not know of it yet.
    Full {
        /// The members.
        claims: Vec<Claim>,
        /// How recent the list is, on the scale of [`ClaimVersion::stamp`].
        view: i64,
    },
    /// Only the members that changed.
    Changes(Vec<Claim>),
}

/// When a full list that lacks members is attributed to a faulty source rather than to a smaller fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShrinkPolicy {
    /// The share of a source's members in service that one full list may lack and still be accepted. At 1 only an
    /// empty list is suspect; above 1 every list is accepted.
    pub lost_share: f64,
    /// How long lists must have been suspect before one is accepted; `None` for never.
    pub believe_after: Option<Span>,
}

impl ShrinkPolicy {
    /// Accepts every list, as the platform's list requires.
    pub const ACCEPT_ALL: Self = Self { lost_share: 2.0, believe_after: None };
}

/// The result of applying an update.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpdateOutcome {
    /// The entries that changed, in the form that the router takes.
    pub changed: Vec<Entry>,
    /// Members that were dropped after being gone for long enough.
    pub forgotten: Vec<MemberId>,
    /// The number of claims that were ignored because a newer one is held, or because the limit of members is
    /// reached.
    pub stale: usize,
    /// The number of those that would have returned a draining or gone member to service.
    pub kept_out: usize,
    /// The number of claims that give another address for the same registration: two members share an id.
    pub conflicts: usize,
    /// Set if a full list was suspect: how many members in service it lacked, and out of how many.
    pub suspect_list: Option<(usize, usize)>,
}

/// The merged state of a member, as hosts need it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberInfo {
    /// The address on which it listens.
    pub address: Option<SocketAddr>,
    /// Its state, merged from all sources, the operator's drains and plans.
    pub state: ListState,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: String,
    /// The type of its machine.
    pub machine: String,
    /// Whether a source names it as the primary.
    pub primary: bool,
    /// When it last started.
    pub started: Option<Time>,
}

/// The latest claim of one source about one member.
#[derive(Clone, Debug)]
struct HeldClaim {
    claim: Claim,
    /// The view of the full list that did not name the member, if it is gone for that reason. Only a list with a
    /// later view, or a newer claim, brings it back.
    missing_from: Option<i64>,
    /// When the claim was stored.
    since: Time,
}

/// The claims of all sources about one member, and the state merged from them.
#[derive(Clone, Debug)]
struct MemberRecord {
    /// Sorted by source. There are one or two, and a map would need ten times the memory.
    claims: Vec<(SourceId, HeldClaim)>,
    info: MemberInfo,
    gone_since: Option<Time>,
}

/// The policy for the full lists of a source, and whether they are suspect.
#[derive(Clone, Copy, Debug)]
struct Source {
    policy: ShrinkPolicy,
    /// Since when its full lists have been suspect.
    suspect_since: Option<Time>,
}

impl MemberRecord {
    fn claim_of(&self, source: SourceId) -> Option<&HeldClaim> {
        self.claims.iter().find(|(id, _)| *id == source).map(|(_, held)| held)
    }

    fn set_claim(&mut self, source: SourceId, held: HeldClaim) {
        match self.claims.binary_search_by_key(&source, |(id, _)| *id) {
            Ok(index) => self.claims[index].1 = held,
            Err(index) => {
                self.claims.reserve_exact(1);
                self.claims.insert(index, (source, held));
            }
        }
    }
}

/// The members, merged from all sources.
#[derive(Debug)]
pub struct Membership {
    sources: BTreeMap<SourceId, Source>,
    members: BTreeMap<MemberId, MemberRecord>,
    /// The gone members by when they went, so that evicting costs no more than the number of evicted members.
    gone: BTreeSet<(Time, MemberId)>,
    /// The members that the operator has drained. Entries outlive the members' records.
    operator_drained: BTreeSet<MemberId>,
    /// The members that a plan has taken out of service, by the hashes of their ids, and the time from which each
    /// member that came back from a plan counts as cold. Both outlive the members' records, and neither ends a drain
    /// by the operator.
    plan_drained: BTreeSet<u64>,
    plan_returned: BTreeMap<u64, Time>,
    gone_retention: Span,
    max_gone: usize,
}

impl Membership {
    /// Creates an empty membership. Gone members are kept for `gone_retention`, and at most `max_gone` of them; a
    /// stale claim that arrives after that is taken for a new member.
    #[must_use]
    pub fn new(gone_retention: Span, max_gone: usize) -> Self {
        Self {
            sources: BTreeMap::new(),
            members: BTreeMap::new(),
            gone: BTreeSet::new(),
            operator_drained: BTreeSet::new(),
            plan_drained: BTreeSet::new(),
            plan_returned: BTreeMap::new(),
            gone_retention,
            max_gone,
        }
    }

    /// Sets the policy for full lists of a source that lack members. Without one every list is accepted.
    pub fn set_shrink_policy(&mut self, source: SourceId, policy: ShrinkPolicy) {
        self.sources.insert(source, Source { policy, suspect_since: None });
    }

    /// The state of a member; gone members are included for as long as they are kept.
    #[must_use]
    pub fn get(&self, member: &MemberId) -> Option<&MemberInfo> {
        self.members.get(member).map(|record| &record.info)
    }

    /// All known members, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&MemberId, &MemberInfo)> {
        self.members.iter().map(|(id, record)| (id, &record.info))
    }

    /// Drains a member on the operator's request, or ends that. A drained member stays out of service whatever the
    /// sources report and however often it restarts. Returns `None` for a member that no source ever named, or if the
    /// limit of drained members is reached.
    pub fn set_operator_drain(&mut self, member: &MemberId, drained: bool) -> Option<UpdateOutcome> {
        if !self.members.contains_key(member) && !self.operator_drained.contains(member) {
            return None;
        }
        if drained
            && self.operator_drained.len() >= MAX_OPERATOR_DRAINS
            && !self.operator_drained.contains(member)
        {
            return None;
        }
        Some(self.record_operator_drain(member, drained))
    }

    /// Takes over a drain, or its end, that another process of this pooler has accepted. The member need not be known
    /// here.
    pub fn adopt_operator_drain(&mut self, member: &MemberId, drained: bool) -> UpdateOutcome {
        if drained && self.operator_drained.len() >= MAX_OPERATOR_DRAINS {
            UpdateOutcome::default()
        } else {
            self.record_operator_drain(member, drained)
        }
    }

    fn record_operator_drain(&mut self, member: &MemberId, drained: bool) -> UpdateOutcome {
        if drained {
            self.operator_drained.insert(member.clone());
        } else {
            self.operator_drained.remove(member);
        }
        let mut outcome = UpdateOutcome::default();
        self.refresh(member, &mut outcome);
        outcome
    }

    /// Sets which members plans take out of service from now on, by the hashes of their ids, and which have come back
    /// from one and when. Those count as cold from that time, whatever the sources report of their start.
    pub fn apply_plan(&mut self, out: &BTreeSet<u64>, back: &[(u64, Time)]) -> UpdateOutcome {
        let mut affected: BTreeSet<u64> = self.plan_drained.symmetric_difference(out).copied().collect();
        self.plan_drained = out.clone();
        if self.plan_returned.len() + back.len() > MAX_OPERATOR_DRAINS {
            self.plan_returned.clear();
        }
        self.plan_returned.extend(back.iter().copied());
        affected.extend(back.iter().map(|(hash, _)| *hash));
        let members: Vec<MemberId> =
            self.members.keys().filter(|id| affected.contains(&id_hash(&id.0))).cloned().collect();
        let mut outcome = UpdateOutcome::default();
        members.iter().for_each(|member| self.refresh(member, &mut outcome));
        outcome
    }

    /// Whether a member would be in service without plans.
    #[must_use]
    pub fn in_service_without_plans(&self, member: &MemberId) -> bool {
        let tracked = self.members.get(member);
        tracked.is_some_and(|record| merge_claims(&record.claims).state == ListState::Healthy)
            && !self.operator_drained.contains(member)
    }

    /// Recomputes the state of a member and reports it if it has changed.
    fn refresh(&mut self, member: &MemberId, outcome: &mut UpdateOutcome) {
        let Some(info) = self.members.get(member).map(|record| self.effective_info(member, &record.claims))
        else {
            return;
        };
        let Some(record) = self.members.get_mut(member).filter(|record| record.info != info) else {
            return;
        };
        outcome.changed.push(list_entry(member.clone(), &info));
        record.info = info;
    }

    /// The state of a member by the claims of all sources, the operator's drains and plans.
    fn effective_info(&self, member: &MemberId, held: &[(SourceId, HeldClaim)]) -> MemberInfo {
        let info = with_drain(merge_claims(held), self.operator_drained.contains(member));
        if self.plan_drained.is_empty() && self.plan_returned.is_empty() {
            return info;
        }
        let hash = id_hash(&member.0);
        let returned = self.plan_returned.get(&hash).copied();
        MemberInfo {
            started: info.started.max(returned),
            ..with_drain(info, self.plan_drained.contains(&hash))
        }
    }

    /// Whether a claim from an outdated list would return a draining or gone member to service. The drain or removal
    /// was reported after that list, unless the claim shows a later start of the member.
    #[must_use]
    pub fn would_revive(&self, claim: &Claim) -> bool {
        let withdrawn = self.get(&claim.member).filter(|info| info.state != ListState::Healthy);
        claim.state == ListState::Healthy && withdrawn.is_some_and(|info| claim.started <= info.started)
    }

    /// The members that the operator has drained.
    pub fn operator_drained(&self) -> impl Iterator<Item = &MemberId> {
        self.operator_drained.iter()
    }

    /// Applies an update from a source. The cost is proportional to the number of its claims, and for a full list
    /// also to the number of known members.
    pub fn apply_update(&mut self, now: Time, source: SourceId, update: SourceUpdate) -> UpdateOutcome {
        let mut outcome = UpdateOutcome::default();
        match update {
            SourceUpdate::Changes(claims) => {
                for claim in claims {
                    self.apply_claim(now, source, claim, None, &mut outcome);
                }
            }
            SourceUpdate::Full { claims, view } => {
                let named: BTreeSet<MemberId> = claims.iter().map(|claim| claim.member.clone()).collect();
                let (missing, lost, in_service) = self.missing(source, &named, view);
                let suspect = self.check_suspect(now, source, lost, in_service, named.is_empty());
                for claim in claims {
                    self.apply_claim(now, source, claim, Some(view), &mut outcome);
                }
                if suspect {
                    outcome.suspect_list = Some((lost, in_service));
                } else {
                    for member in missing {
                        self.mark_absent(now, source, member, view, &mut outcome);
                    }
                }
            }
        }
        self.evict_gone(now, &mut outcome);
        outcome
    }

    /// The members that a full list of this view should have named but did not, how many of them were in service
    /// according to this source, and how many members are in service according to it.
    fn missing(
        &self,
        source: SourceId,
        named: &BTreeSet<MemberId>,
        view: i64,
    ) -> (Vec<MemberId>, usize, usize) {
        let (mut missing, mut lost, mut in_service) = (Vec::new(), 0, 0);
        for (id, record) in &self.members {
            let Some(held) = record.claim_of(source) else { continue };
            if held.claim.state == ListState::Gone {
                continue;
            }
            let serves = usize::from(held.claim.state == ListState::Healthy);
            in_service += serves;
            if !named.contains(id) && held.claim.version.stamp <= view {
                lost += serves;
                missing.push(id.clone());
            }
        }
        (missing, lost, in_service)
    }

    /// Whether a full list that lacks `lost` of `in_service` members is suspect and must not remove any.
    fn check_suspect(
        &mut self,
        now: Time,
        source: SourceId,
        lost: usize,
        in_service: usize,
        empty: bool,
    ) -> bool {
        let Some(entry) = self.sources.get_mut(&source) else { return false };
        // Once a list was suspect, later ones are as well until all members are named again: a registry that lost its
        // data regains the members one by one, and would at some point lack few enough to be accepted.
        let max_share = if entry.suspect_since.is_some() { 0.0 } else { entry.policy.lost_share };
        let lost = lost > 0 && lost as f64 > max_share * in_service as f64;
        let emptied = empty && in_service > 0 && entry.policy.lost_share <= 1.0;
        if !(lost || emptied) {
            entry.suspect_since = None;
            return false;
        }
        let since = *entry.suspect_since.get_or_insert(now);
        let accepted = entry.policy.believe_after.is_some_and(|after| now - since >= after);
        if accepted {
            entry.suspect_since = None;
        }
        !accepted
    }

    fn apply_claim(
        &mut self,
        now: Time,
        source: SourceId,
        mut claim: Claim,
        view: Option<i64>,
        outcome: &mut UpdateOutcome,
    ) {
        let held = self.members.get(&claim.member).and_then(|record| record.claim_of(source));
        if let Some(held) = held {
            let address_changed = claim.address.zip(held.claim.address).is_some_and(|(new, old)| new != old);
            let worse = severity(claim.state) > severity(held.claim.state);
            let better = severity(claim.state) < severity(held.claim.state);
            let listed_again =
                held.missing_from.zip(view).is_some_and(|(missing_from, view)| view > missing_from);
            let accepted = match claim.version.compare(&held.claim.version) {
                Recency::Newer => true,
                // The same registration may only worsen the state, unless the member was gone merely for not being
                // listed.
                Recency::Same => !better || listed_again,
                Recency::Older => false,
            };
            if !accepted {
                outcome.stale += 1;
                outcome.kept_out += usize::from(better);
                return;
            }
            // Apparently two members share an id: the address that was known first stays.
            if address_changed && claim.version.compare(&held.claim.version) == Recency::Same {
                outcome.conflicts += 1;
                if !worse {
                    return;
                }
                claim.address = held.claim.address;
            }
            claim.address = claim.address.or(held.claim.address);
            claim.group = claim.group.or(held.claim.group);
        }
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&claim.member) {
            outcome.stale += 1;
            return;
        }
        let member = claim.member.clone();
        self.store_claim(now, source, member, HeldClaim { claim, missing_from: None, since: now }, outcome);
    }

    /// Marks a member as gone because a full list with this view does not name it.
    fn mark_absent(
        &mut self,
        now: Time,
        source: SourceId,
        member: MemberId,
        view: i64,
        outcome: &mut UpdateOutcome,
    ) {
        let held = self.members.get(&member).and_then(|record| record.claim_of(source));
        if let Some(mut held) = held.cloned() {
            held.claim.state = ListState::Gone;
            (held.missing_from, held.since) = (Some(view), now);
            self.store_claim(now, source, member, held, outcome);
        }
    }

    /// Stores the claim of a source, and reports the member if its merged state has changed.
    fn store_claim(
        &mut self,
        now: Time,
        source: SourceId,
        member: MemberId,
        held: HeldClaim,
        outcome: &mut UpdateOutcome,
    ) {
        let entry = self.members.entry(member.clone());
        let new = matches!(entry, std::collections::btree_map::Entry::Vacant(_));
        let record = entry.or_insert_with(|| MemberRecord {
            claims: Vec::new(),
            info: MemberInfo::default(),
            gone_since: None,
        });
        record.set_claim(source, held);
        let held = std::mem::take(&mut record.claims);
        let info = self.effective_info(&member, &held);
        let Some(record) = self.members.get_mut(&member) else { return };
        record.claims = held;
        match (record.gone_since, info.state == ListState::Gone) {
            (None, true) => {
                record.gone_since = Some(now);
                self.gone.insert((now, member.clone()));
            }
            (Some(since), false) => {
                record.gone_since = None;
                self.gone.remove(&(since, member.clone()));
            }
            _ => {}
        }
        if new || record.info != info {
            outcome.changed.push(list_entry(member, &info));
            record.info = info;
        }
    }

    /// Drops gone members whose retention has passed or that exceed the limit, the oldest first.
    fn evict_gone(&mut self, now: Time, outcome: &mut UpdateOutcome) {
        while let Some((since, _)) = self.gone.first() {
            if now - *since < self.gone_retention && self.gone.len() <= self.max_gone {
                return;
            }
            if let Some((_, member)) = self.gone.pop_first() {
                self.members.remove(&member);
                outcome.forgotten.push(member);
            }
        }
    }
}

/// The list entry that the router receives for a member.
fn list_entry(member: MemberId, info: &MemberInfo) -> Entry {
    let MemberInfo { state, group, zone, primary, started, .. } = info.clone();
    Entry { member, group, state, primary, started, zone }
}

/// The state of a member that may be drained by the operator or a plan: a drain overrides a healthy state, not a
/// worse one.
fn with_drain(info: MemberInfo, drained: bool) -> MemberInfo {
    let overridden = drained && info.state == ListState::Healthy;
    MemberInfo { state: if overridden { ListState::Draining } else { info.state }, ..info }
}

/// Merges the claims of all sources about a member. The worst state counts, unless another source shows that the
/// member has started since: a drain or removal does not concern a restarted member. Other data comes from the first
/// source that has it.
fn merge_claims(held: &[(SourceId, HeldClaim)]) -> MemberInfo {
    let all = || held.iter().map(|(_, held)| held);
    let restarted_after = |earlier: &HeldClaim| {
        let since = earlier.claim.started.unwrap_or(earlier.since);
        all().any(|other| other.claim.state == ListState::Healthy && other.claim.started > Some(since))
    };
    let relevant =
        || all().filter(|other| other.claim.state == ListState::Healthy || !restarted_after(other));
    let state = relevant()
        .map(|other| other.claim.state)
        .max_by_key(|state| severity(*state))
        .unwrap_or(ListState::Gone);
    MemberInfo {
        address: relevant()
            .find_map(|other| other.claim.address)
            .or(all().find_map(|other| other.claim.address)),
        state,
        group: all().find_map(|other| other.claim.group).unwrap_or_default(),
        machine: all()
            .map(|other| &other.claim.machine)
            .find(|machine| !machine.is_empty())
            .cloned()
            .unwrap_or_default(),
        zone: all().map(|other| &other.claim.zone).find(|zone| !zone.is_empty()).cloned().unwrap_or_default(),
        primary: relevant().any(|other| other.claim.primary),
        started: all().filter_map(|other| other.claim.started).max(),
    }
}

/// The precedence of a state in a merge; the greatest counts.
fn severity(state: ListState) -> u8 {
    match state {
        ListState::Healthy => 0,
        ListState::Draining => 1,
        ListState::Gone => 2,
    }
}
