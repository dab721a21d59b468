//! Who the members are, by what several sources say of them: the platform's list, a registry, the boxes themselves.
//! Sources lag, contradict one another and lose things; this settles what counts, without I/O and without a clock of
//! its own. The table of what outranks what stands in `docs/design/eureka.md`, and each of its cells in the tests.
//!
//! The one rule above all: **who was told to drain or to be gone stays so until something newer says otherwise.** A
//! repeat, a stale copy or another peer's older view is nothing newer.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// No more members than this are held. A registry whose deltas name ever new ones fills the memory no further; who is
/// known already is heard as before.
pub const MAX_MEMBERS: usize = 100_000;
/// No more members than this may be out by hand.
pub const MAX_OPERATOR_DRAINS: usize = 10_000;

/// FNV-1a, 64 bits.
#[must_use]
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes.into_iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// What stands for a member's id where ids are too long to be told.
#[must_use]
pub fn id_hash(id: &str) -> u64 {
    fnv1a(id.bytes())
}

/// A source of claims, in the order in which the host numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u8);

/// How new a claim is, by what the member said itself and not by when the claim arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimVersion {
    /// When the member last started, where the source tells. A later start outranks any stamp.
    pub started: Option<Time>,
    /// The stamp of the member's last change of itself (Eureka's `lastDirtyTimestamp`, in its own unit), or the number
    /// of the message where a source's messages come in order.
    pub stamp: i64,
    /// The memory that tells it: a server of a registry, by number, and the lease that it holds, by its begin. Of one
    /// start and one stamp, the later word counts as newer if both come from one memory; `None` has none.
    pub registry_lease: Option<(usize, i64)>,
    /// When that memory last changed it, by its own clock.
    pub lease_updated: i64,
}

/// How one piece of evidence stands to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recency {
    /// It tells of something later.
    Newer,
    /// It tells of the same.
    Same,
    /// It tells of something earlier.
    Older,
}

impl ClaimVersion {
    /// How `self` stands to `held`.
    #[must_use]
    pub fn compare(&self, held: &Self) -> Recency {
        let starts = self.started.zip(held.started).map(|(new, old)| new.cmp(&old));
        let one_memory = self.registry_lease.is_some() && self.registry_lease == held.registry_lease;
        let words =
            if one_memory { self.lease_updated.cmp(&held.lease_updated) } else { std::cmp::Ordering::Equal };
        match starts.unwrap_or(std::cmp::Ordering::Equal).then(self.stamp.cmp(&held.stamp)).then(words) {
            std::cmp::Ordering::Greater => Recency::Newer,
            std::cmp::Ordering::Equal => Recency::Same,
            std::cmp::Ordering::Less => Recency::Older,
        }
    }
}

/// What a source says of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// The member.
    pub member: MemberId,
    /// Where it listens; `None` where the source does not tell or could not be read.
    pub address: Option<SocketAddr>,
    /// Its group; `None` keeps the one that is known.
    pub group: Option<GroupId>,
    /// Its zone.
    pub zone: String,
    /// Whether the source holds it to be the primary.
    pub primary: bool,
    /// The machine's type, as the source names it.
    pub machine: String,
    /// When it last started; `None` for long ago or not told.
    pub started: Option<Time>,
    /// Its state.
    pub state: ListState,
    /// How new all this is.
    pub version: ClaimVersion,
}

/// News from a source.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// All that the source knows. `view` is how new its knowledge is, on the scale of [`ClaimVersion::stamp`]: a member with
    /// a later stamp that is not named was not known yet, which tells nothing.
    Full {
        /// The members.
        claims: Vec<Claim>,
        /// How new the whole is.
        view: i64,
    },
    /// Some members.
    Changes(Vec<Claim>),
}

/// When a list that lacks members is taken for a sick source rather than for a smaller fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShrinkPolicy {
    /// The share of a source's members in service that one full list may lack and still be believed; at 1 only an empty
    /// list is doubted, over 1 nothing is.
    pub lost_share: f64,
    /// After so long of the same doubted story it is believed; `None` never.
    pub believe_after: Option<Span>,
}

impl ShrinkPolicy {
    /// Believes all that it is told, as the platform's list asks for.
    pub const ACCEPT_ALL: Self = Self { lost_share: 2.0, believe_after: None };
}

/// What became of news.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpdateOutcome {
    /// The entries that differ from before, as the module takes them.
    pub changed: Vec<Entry>,
    /// Members that were forgotten.
    pub forgotten: Vec<MemberId>,
    /// Claims that were set aside since what is held is newer.
    pub stale: usize,
    /// Of those, claims that would have brought back who drains or is gone.
    pub kept_out: usize,
    /// Claims of one registration with two addresses: two members under one id.
    pub conflicts: usize,
    /// A list that was not believed: it lacked so many of so many.
    pub suspect_list: Option<(usize, usize)>,
}

/// A member as a host needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberInfo {
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its state, all sources taken together.
    pub state: ListState,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: String,
    /// Its machine's type.
    pub machine: String,
    /// Whether a source holds it to be the primary.
    pub primary: bool,
    /// When it last started.
    pub started: Option<Time>,
}

/// What one source holds of one member.
#[derive(Clone, Debug)]
struct Held {
    claim: Claim,
    /// It went by not being named in a list this new. Only a newer view brings it back, or newer version.
    absent: Option<i64>,
    /// When this source last said so.
    since: Time,
}

#[derive(Clone, Debug)]
struct Record {
    /// In the order of the sources. There are one or two, and a map would take up ten times their size.
    held: Vec<(SourceId, Held)>,
    known: MemberInfo,
    gone_since: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Source {
    doubt: ShrinkPolicy,
    /// Since when it has told the doubted story.
    doubted: Option<Time>,
}

impl Record {
    fn of(&self, source: SourceId) -> Option<&Held> {
        self.held.iter().find(|(of, _)| *of == source).map(|(_, held)| held)
    }

    fn set(&mut self, source: SourceId, held: Held) {
        match self.held.binary_search_by_key(&source, |(of, _)| *of) {
            Ok(at) => self.held[at].1 = held,
            Err(at) => {
                self.held.reserve_exact(1);
                self.held.insert(at, (source, held));
            }
        }
    }
}

/// The members by what all sources say.
#[derive(Debug)]
pub struct Membership {
    sources: BTreeMap<SourceId, Source>,
    members: BTreeMap<MemberId, Record>,
    /// Who is gone, by when; so that forgetting costs what it forgets.
    gone: BTreeSet<(Time, MemberId)>,
    /// Who was taken out by hand; this outlives what is known of them.
    banned: BTreeSet<MemberId>,
    /// Who is out by a plan, by what stands for their ids, and since when those that came back from one count as cold. Both outlive
    /// what is known of them, and neither ends what was done by hand.
    planned: BTreeSet<u64>,
    returned: BTreeMap<u64, Time>,
    remembers: Span,
    most_gone: usize,
}

impl Membership {
    /// An empty one. Who is gone is remembered for `remembers`, and no more than `most_gone` of them: a stale claim that
    /// comes later than that is taken for a new member.
    #[must_use]
    pub fn new(remembers: Span, most_gone: usize) -> Self {
        Self {
            sources: BTreeMap::new(),
            members: BTreeMap::new(),
            gone: BTreeSet::new(),
            banned: BTreeSet::new(),
            planned: BTreeSet::new(),
            returned: BTreeMap::new(),
            remembers,
            most_gone,
        }
    }

    /// Says how a source's full lists are doubted. Without it all is believed.
    pub fn set_shrink_policy(&mut self, source: SourceId, doubt: ShrinkPolicy) {
        self.sources.insert(source, Source { doubt, doubted: None });
    }

    /// A member that is known, gone ones included for as long as they are remembered.
    #[must_use]
    pub fn get(&self, member: &MemberId) -> Option<&MemberInfo> {
        self.members.get(member).map(|record| &record.known)
    }

    /// All that are known, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&MemberId, &MemberInfo)> {
        self.members.iter().map(|(id, record)| (id, &record.known))
    }

    /// Takes a member out by hand, or ends that. Out, it drains whatever the sources say and however often it starts
    /// anew. Gives what that changes; `None` for one that nobody ever named, or if too many are out.
    pub fn set_operator_drain(&mut self, member: &MemberId, out: bool) -> Option<UpdateOutcome> {
        if !self.members.contains_key(member) && !self.banned.contains(member) {
            return None;
        }
        if out && self.banned.len() >= MAX_OPERATOR_DRAINS && !self.banned.contains(member) {
            return None;
        }
        Some(self.ban(member, out))
    }

    /// The same for a call that another process of this pooler took, which knew the member; named here or not.
    pub fn adopt_operator_drain(&mut self, member: &MemberId, out: bool) -> UpdateOutcome {
        if out && self.banned.len() >= MAX_OPERATOR_DRAINS {
            UpdateOutcome::default()
        } else {
            self.ban(member, out)
        }
    }

    fn ban(&mut self, member: &MemberId, out: bool) -> UpdateOutcome {
        if out {
            self.banned.insert(member.clone());
        } else {
            self.banned.remove(member);
        }
        let mut taken = UpdateOutcome::default();
        self.show(member, &mut taken);
        taken
    }

    /// Says who is out by a plan from now on, all of them, by what stands for their ids; and who has come back from one `at` that
    /// time and is to be used as a cold one, whatever the sources say of its start.
    pub fn apply_plan(&mut self, out: &BTreeSet<u64>, back: &[(u64, Time)]) -> UpdateOutcome {
        let mut touched: BTreeSet<u64> = self.planned.symmetric_difference(out).copied().collect();
        self.planned = out.clone();
        if self.returned.len() + back.len() > MAX_OPERATOR_DRAINS {
            self.returned.clear();
        }
        self.returned.extend(back.iter().copied());
        touched.extend(back.iter().map(|(of, _)| *of));
        let members: Vec<MemberId> =
            self.members.keys().filter(|id| touched.contains(&id_hash(&id.0))).cloned().collect();
        let mut taken = UpdateOutcome::default();
        members.iter().for_each(|member| self.show(member, &mut taken));
        taken
    }

    /// Whether a member would be in service if no plan had it out.
    #[must_use]
    pub fn in_service_without_plans(&self, member: &MemberId) -> bool {
        let of = self.members.get(member);
        of.is_some_and(|record| combine(&record.held).state == ListState::Healthy)
            && !self.banned.contains(member)
    }

    /// Tells of a member if what counts of it has changed.
    fn show(&mut self, member: &MemberId, taken: &mut UpdateOutcome) {
        let Some(known) = self.members.get(member).map(|record| self.settle(member, &record.held)) else {
            return;
        };
        let Some(record) = self.members.get_mut(member).filter(|record| record.known != known) else {
            return;
        };
        taken.changed.push(told(member.clone(), &known));
        record.known = known;
    }

    /// What counts of a member: what all sources say, and what was done by hand or by a plan.
    fn settle(&self, member: &MemberId, held: &[(SourceId, Held)]) -> MemberInfo {
        let known = with_ban(combine(held), self.banned.contains(member));
        if self.planned.is_empty() && self.returned.is_empty() {
            return known;
        }
        let mark = id_hash(&member.0);
        let returned = self.returned.get(&mark).copied();
        MemberInfo { started: known.started.max(returned), ..with_ban(known, self.planned.contains(&mark)) }
    }

    /// Whether a claim from a list that is older than what is held would have somebody back who drains or is gone: that was
    /// told since, unless the claim shows a later start.
    #[must_use]
    pub fn would_revive(&self, claim: &Claim) -> bool {
        let out = self.get(&claim.member).filter(|known| known.state != ListState::Healthy);
        claim.state == ListState::Healthy && out.is_some_and(|known| claim.started <= known.started)
    }

    /// Who is out by hand.
    pub fn operator_drained(&self) -> impl Iterator<Item = &MemberId> {
        self.banned.iter()
    }

    /// Takes what a source says. The cost goes with what it names, and for a full list with what is known.
    pub fn apply_update(&mut self, now: Time, source: SourceId, news: SourceUpdate) -> UpdateOutcome {
        let mut taken = UpdateOutcome::default();
        match news {
            SourceUpdate::Changes(claims) => {
                for claim in claims {
                    self.claim(now, source, claim, None, &mut taken);
                }
            }
            SourceUpdate::Full { claims, view } => {
                let named: BTreeSet<MemberId> = claims.iter().map(|claim| claim.member.clone()).collect();
                let (missing, lost, in_service) = self.missing(source, &named, view);
                let sick = self.sick(now, source, lost, in_service, named.is_empty());
                for claim in claims {
                    self.claim(now, source, claim, Some(view), &mut taken);
                }
                if sick {
                    taken.suspect_list = Some((lost, in_service));
                } else {
                    for member in missing {
                        self.absent(now, source, member, view, &mut taken);
                    }
                }
            }
        }
        self.forget(now, &mut taken);
        taken
    }

    /// Those that a list of this view should have named and did not; how many of them are in service by this source's
    /// word, and how many members are.
    fn missing(
        &self,
        source: SourceId,
        named: &BTreeSet<MemberId>,
        view: i64,
    ) -> (Vec<MemberId>, usize, usize) {
        let (mut missing, mut lost, mut in_service) = (Vec::new(), 0, 0);
        for (id, record) in &self.members {
            let Some(held) = record.of(source) else { continue };
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

    fn sick(&mut self, now: Time, source: SourceId, lost: usize, in_service: usize, empty: bool) -> bool {
        let Some(of) = self.sources.get_mut(&source) else { return false };
        // What has begun to be doubted is doubted until all are named again: a registry that lost its memory fills up
        // one by one, and at some point lacks few enough.
        let share = if of.doubted.is_some() { 0.0 } else { of.doubt.lost_share };
        let lost = lost > 0 && lost as f64 > share * in_service as f64;
        let nothing = empty && in_service > 0 && of.doubt.lost_share <= 1.0;
        if !(lost || nothing) {
            of.doubted = None;
            return false;
        }
        let since = *of.doubted.get_or_insert(now);
        let believed = of.doubt.believe_after.is_some_and(|after| now - since >= after);
        if believed {
            of.doubted = None;
        }
        !believed
    }

    fn claim(
        &mut self,
        now: Time,
        source: SourceId,
        mut claim: Claim,
        view: Option<i64>,
        taken: &mut UpdateOutcome,
    ) {
        let held = self.members.get(&claim.member).and_then(|record| record.of(source));
        if let Some(held) = held {
            let moved = claim.address.zip(held.claim.address).is_some_and(|(new, old)| new != old);
            let worse = rank(claim.state) > rank(held.claim.state);
            let better = rank(claim.state) < rank(held.claim.state);
            let back = held.absent.zip(view).is_some_and(|(absent, view)| view > absent);
            let counts = match claim.version.compare(&held.claim.version) {
                Recency::Newer => true,
                // The same registration: it may only get worse, but for one that was merely not named.
                Recency::Same => !better || back,
                Recency::Older => false,
            };
            if !counts {
                taken.stale += 1;
                taken.kept_out += usize::from(better);
                return;
            }
            // Two members under one id, as far as can be seen: the one that was there first stays.
            if moved && claim.version.compare(&held.claim.version) == Recency::Same {
                taken.conflicts += 1;
                if !worse {
                    return;
                }
                claim.address = held.claim.address;
            }
            claim.address = claim.address.or(held.claim.address);
            claim.group = claim.group.or(held.claim.group);
        }
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&claim.member) {
            taken.stale += 1;
            return;
        }
        let member = claim.member.clone();
        self.hold(now, source, member, Held { claim, absent: None, since: now }, taken);
    }

    fn absent(
        &mut self,
        now: Time,
        source: SourceId,
        member: MemberId,
        view: i64,
        taken: &mut UpdateOutcome,
    ) {
        let held = self.members.get(&member).and_then(|record| record.of(source));
        if let Some(mut held) = held.cloned() {
            held.claim.state = ListState::Gone;
            (held.absent, held.since) = (Some(view), now);
            self.hold(now, source, member, held, taken);
        }
    }

    /// Holds what a source says, and tells if all sources taken together now say something else than before.
    fn hold(&mut self, now: Time, source: SourceId, member: MemberId, held: Held, taken: &mut UpdateOutcome) {
        let entry = self.members.entry(member.clone());
        let new = matches!(entry, std::collections::btree_map::Entry::Vacant(_));
        let record = entry.or_insert_with(|| Record {
            held: Vec::new(),
            known: MemberInfo::default(),
            gone_since: None,
        });
        record.set(source, held);
        let held = std::mem::take(&mut record.held);
        let known = self.settle(&member, &held);
        let Some(record) = self.members.get_mut(&member) else { return };
        record.held = held;
        match (record.gone_since, known.state == ListState::Gone) {
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
        if new || record.known != known {
            taken.changed.push(told(member, &known));
            record.known = known;
        }
    }

    fn forget(&mut self, now: Time, taken: &mut UpdateOutcome) {
        while let Some((since, _)) = self.gone.first() {
            if now - *since < self.remembers && self.gone.len() <= self.most_gone {
                return;
            }
            if let Some((_, member)) = self.gone.pop_first() {
                self.members.remove(&member);
                taken.forgotten.push(member);
            }
        }
    }
}

/// What the module is told of a member.
fn told(member: MemberId, known: &MemberInfo) -> Entry {
    let MemberInfo { state, group, zone, primary, started, .. } = known.clone();
    Entry { member, group, state, primary, started, zone }
}

/// Out by hand outranks all that says that a member serves.
fn with_ban(known: MemberInfo, banned: bool) -> MemberInfo {
    let out = banned && known.state == ListState::Healthy;
    MemberInfo { state: if out { ListState::Draining } else { known.state }, ..known }
}

/// What all sources say of a member, taken together. The worst of them counts, unless another source shows a start
/// after it: who started anew is not who drained. What only one tells comes from the first source that tells it.
fn combine(held: &[(SourceId, Held)]) -> MemberInfo {
    let all = || held.iter().map(|(_, held)| held);
    let shown = |than: &Held| {
        let after = than.claim.started.unwrap_or(than.since);
        all().any(|one| one.claim.state == ListState::Healthy && one.claim.started > Some(after))
    };
    let counted = || all().filter(|one| one.claim.state == ListState::Healthy || !shown(one));
    let state =
        counted().map(|one| one.claim.state).max_by_key(|state| rank(*state)).unwrap_or(ListState::Gone);
    MemberInfo {
        address: counted().find_map(|one| one.claim.address).or(all().find_map(|one| one.claim.address)),
        state,
        group: all().find_map(|one| one.claim.group).unwrap_or_default(),
        machine: all().map(|one| &one.claim.machine).find(|of| !of.is_empty()).cloned().unwrap_or_default(),
        zone: all().map(|one| &one.claim.zone).find(|zone| !zone.is_empty()).cloned().unwrap_or_default(),
        primary: counted().any(|one| one.claim.primary),
        started: all().filter_map(|one| one.claim.started).max(),
    }
}

/// The more, the more care a state asks for.
fn rank(state: ListState) -> u8 {
    match state {
        ListState::Healthy => 0,
        ListState::Draining => 1,
        ListState::Gone => 2,
    }
}
