//! What poolers tell each other: who was shown to be a primary, and how members have answered. Pure: the host carries
//! datagrams, which may come late, twice or never; nothing here is needed for a decision to be right.
//!
//! Of a hundred poolers each sees one request in a hundred, and learns alone that a primary has changed or that a
//! member is slow after so much time that it no longer matters. So each tells *news*, a primary that was not known to be
//! one, to all at once, unless it has heard the same; and at intervals what it has *seen* of members since, to a few
//! others by chance. Both are paid for from one allowance of bytes, which the own requests earn by the price in the
//! settings, so that the whole fleet's messages cost a fixed small part of G whatever its size.
//!
//! A datagram is a header (version, site, time of sending), facts of seven bytes each and a checksum. What is cut,
//! altered, of another site, from the future, old, or no newer than the last from the same pooler is dropped whole. A
//! fact of a member that is not on the own list is passed over.

use crate::interface::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

/// No datagram is longer, in bytes.
pub const MAX_DATAGRAM_LEN: usize = 256;
const VERSION: u8 = 1;
const HEADER: usize = 11;
const FACT: usize = 7;
const CHECK: usize = 4;
/// Facts in a datagram at most.
pub const MAX_OBSERVATIONS: usize = (MAX_DATAGRAM_LEN - HEADER - CHECK) / FACT;
/// The part of G that messages may cost, all in all.
const ALLOWED: f64 = 0.004;
/// Bytes of one full message for each request cost the price in the settings.
const FULL: f64 = 256.0;
/// How much of the allowance is saved up, and how far news may overdraw it: so many full messages to all.
const SAVED: f64 = 1.0;
const OVERDRAWN: f64 = 2.0;
/// How often what was seen is told, at the least; up to half as much is added by chance.
const EVERY: Span = Span::millis(400);
/// So many others are told of what was seen at most; some are drawn twice.
const MOST_TOLD: u32 = 16;
/// A datagram older than this, or from later than the clocks' difference allows, is of no use.
const OLDEST: Span = Span::millis(5_000);
const AHEAD: Span = Span::millis(1_000);
/// A member's pace as a byte: so many steps to a doubling.
const STEPS: f64 = 16.0;

/// Whom a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// Every other pooler.
    All,
    /// The pooler of this number.
    One(u32),
}

/// What a pooler tells of a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// It was shown to be the primary as of this time.
    Primary {
        /// The member.
        member: MemberId,
        /// When.
        at: Time,
    },
    /// It answered, or did not in time.
    Answers {
        /// The member.
        member: MemberId,
        /// How often.
        answers: u32,
        /// How many of these not in good time.
        late: u32,
        /// The mean time that they took, as a multiple of what is usual for their classes.
        pace: f64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    answers: u32,
    late: u32,
    pace: f64,
}

/// One pooler's side of the talk.
#[derive(Clone, Debug)]
pub struct Gossip {
    on: bool,
    /// The settings allow it still.
    allowed: bool,
    fleet: u32,
    rank: u32,
    site: u32,
    rng: ChaCha8Rng,
    /// Bytes that each request earns.
    earns: f64,
    allowance: f64,
    /// Members by what stands for them in a datagram; `None` where two have the same.
    names: BTreeMap<u32, Option<MemberId>>,
    /// Of members that are known, until it is told.
    seen: BTreeMap<MemberId, Seen>,
    /// The latest that is known of each group's primary, and whether it has yet to be told.
    primaries: BTreeMap<GroupId, (MemberId, Time, bool)>,
    due: Time,
    /// When the latest datagram of each pooler was sent: as many entries as there are poolers.
    heard: BTreeMap<u32, i64>,
}

impl Gossip {
    /// A pooler's side; silent and deaf where the settings allow no messages, or nobody is there.
    #[must_use]
    pub fn new(seed: u64, settings: &Settings) -> Self {
        let mut site = Vec::new();
        for class in &settings.classes {
            site.extend_from_slice(class.name.as_bytes());
            site.push(0);
        }
        let price = settings.peer_price.max(1e-6);
        Self {
            on: settings.peers && settings.fleet > 1,
            allowed: true,
            fleet: settings.fleet,
            // Who was told no number is taken for the first, as ever.
            rank: if settings.rank == Settings::NO_RANK { 0 } else { settings.rank },
            site: digest(&site),
            rng: ChaCha8Rng::seed_from_u64(seed),
            earns: ALLOWED / price * FULL,
            allowance: 0.0,
            names: BTreeMap::new(),
            seen: BTreeMap::new(),
            primaries: BTreeMap::new(),
            due: Time(i64::MIN / 4),
            heard: BTreeMap::new(),
        }
    }

    /// Whether the settings allow talk now. Where they did not at the start there is no way to others.
    pub fn set_enabled(&mut self, allowed: bool) {
        self.allowed = allowed;
    }

    /// A member that may be told of.
    pub fn add_member(&mut self, member: &MemberId) {
        if !self.on {
            return;
        }
        let entry = self.names.entry(digest(member.0.as_bytes())).or_insert_with(|| Some(member.clone()));
        if entry.as_ref() != Some(member) {
            *entry = None;
        }
    }

    /// A member that is told of no more.
    pub fn remove_member(&mut self, member: &MemberId) {
        self.names.remove(&digest(member.0.as_bytes()));
        self.seen.remove(member);
        self.primaries.retain(|_, (of, ..)| of != member);
    }

    /// An own request has come, which earns part of a message.
    pub fn credit_request(&mut self) {
        if self.on {
            let most = SAVED * FULL * f64::from(self.fleet);
            self.allowance = (self.allowance + self.earns).min(most);
        }
    }

    /// A member answered, or did not in time; `pace` is what it took as a multiple of the usual.
    pub fn record_answer(&mut self, member: &MemberId, late: bool, pace: f64) {
        if self.on {
            let seen = self.seen.entry(member.clone()).or_default();
            seen.answers += 1;
            seen.late += u32::from(late);
            seen.pace += pace;
        }
    }

    /// A member was shown here to be its group's primary; news if it was not the one known, or not known so lately.
    pub fn record_primary(&mut self, group: GroupId, member: &MemberId, at: Time) {
        let known = self.primaries.get(&group);
        if self.on && known.is_none_or(|(_, known, _)| at > *known) {
            let news = known.is_none_or(|(of, _, tell)| of != member || *tell);
            // What was known from the list's start is no news to anybody.
            let news = news && known.is_some();
            self.primaries.insert(group, (member.clone(), at, news));
        }
    }

    /// All have been told that a member is the primary.
    pub fn suppress_announcement(&mut self, member: &MemberId) {
        let of = self.primaries.values_mut().filter(|(of, ..)| of == member);
        of.for_each(|(.., tell)| *tell = false);
    }

    /// What is to be told now.
    pub fn send_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.on || !self.allowed {
            return;
        }
        let mut news = Vec::new();
        for (member, at, tell) in
            self.primaries.values_mut().filter(|(.., tell)| *tell).take(MAX_OBSERVATIONS)
        {
            *tell = false;
            // Who was cut off may still say that it is the primary, as of long ago: older than its age can be told.
            if now - *at < OLDEST {
                news.push(Observation::Primary { member: member.clone(), at: *at });
            }
        }
        let bytes = self.encode(now, &news);
        let costs = bytes.len() as f64 * f64::from(self.fleet - 1);
        if !news.is_empty() && self.allowance - costs > -OVERDRAWN * FULL * f64::from(self.fleet) {
            self.allowance -= costs;
            actions.push(Action::Tell { to: To::All, bytes });
        }
        if now < self.due || self.seen.is_empty() {
            return;
        }
        self.due = now + EVERY + EVERY.times(0.5 * self.chance());
        let mut facts: Vec<Observation> = std::mem::take(&mut self.seen).into_iter().map(fact).collect();
        // The slowest first, should there be more than one datagram holds.
        facts.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
        facts.truncate(MAX_OBSERVATIONS);
        let bytes = self.encode(now, &facts);
        let each = bytes.len() as f64;
        for _ in 0..MOST_TOLD {
            let to = self.rng.next_u32() % self.fleet;
            if self.allowance >= each && to != self.rank {
                self.allowance -= each;
                actions.push(Action::Tell { to: To::One(to), bytes: bytes.clone() });
            }
        }
    }

    /// The facts of a datagram from the pooler `from`; none of one that is no use.
    pub fn receive(&mut self, now: Time, from: u32, bytes: &[u8]) -> Vec<Observation> {
        if !self.on || !self.allowed || from >= self.fleet || from == self.rank {
            return Vec::new();
        }
        let Some((sent, facts)) = open(self.site, bytes) else { return Vec::new() };
        let last = self.heard.entry(from).or_insert(i64::MIN);
        let at = Time(sent.saturating_mul(1_000));
        if sent <= *last || now - at > OLDEST || at - now > AHEAD {
            return Vec::new();
        }
        *last = sent;
        facts.chunks_exact(FACT).filter_map(|fact| self.read(at, fact)).collect()
    }

    fn read(&self, sent: Time, fact: &[u8]) -> Option<Observation> {
        let name = u32::from_be_bytes(fact.get(1..5)?.try_into().ok()?);
        let member = self.names.get(&name)?.clone()?;
        let (a, b) = (fact[5], fact[6]);
        match fact[0] {
            b'P' => Some(Observation::Primary {
                member,
                at: sent - Span::millis(i64::from(u16::from_be_bytes([a, b]))),
            }),
            b'S' => {
                let (answers, late) = (u32::from(a >> 4), u32::from(a & 15));
                let pace = ((f64::from(b) - 128.0) / STEPS).exp2();
                (late <= answers && answers > 0).then_some(Observation::Answers {
                    member,
                    answers,
                    late,
                    pace,
                })
            }
            _ => None,
        }
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn encode(&self, now: Time, facts: &[Observation]) -> Vec<u8> {
        let sent = now.0 / 1_000;
        let mut bytes = Vec::with_capacity(HEADER + FACT * facts.len() + CHECK);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.site.to_be_bytes());
        bytes.extend_from_slice(&sent.to_be_bytes()[2..]);
        for fact in facts.iter().take(MAX_OBSERVATIONS) {
            let (kind, member, rest) = match fact {
                Observation::Primary { member, at } => {
                    // Rounded down: a primary is not claimed for later than it was shown.
                    let age = (sent - at.0.div_euclid(1_000)).clamp(0, i64::from(u16::MAX)) as u16;
                    (b'P', member, age.to_be_bytes())
                }
                Observation::Answers { member, answers, late, pace } => {
                    // More than fifteen are told as fifteen, with the same part of them late.
                    let (all, most) = (f64::from((*answers).max(1)), (*answers).clamp(1, 15));
                    let late = (f64::from(*late) * f64::from(most) / all).round();
                    let pace = (pace.max(1e-9).log2() * STEPS + 128.0).round().clamp(0.0, 255.0);
                    (b'S', member, [(most << 4) as u8 | late as u8, pace as u8])
                }
            };
            bytes.push(kind);
            bytes.extend_from_slice(&digest(member.0.as_bytes()).to_be_bytes());
            bytes.extend_from_slice(&rest);
        }
        let check = digest(&bytes);
        bytes.extend_from_slice(&check.to_be_bytes());
        bytes
    }
}

fn fact((member, seen): (MemberId, Seen)) -> Observation {
    let Seen { answers, late, pace } = seen;
    Observation::Answers { member, answers, late, pace: pace / f64::from(answers.max(1)) }
}

fn weight(fact: &Observation) -> f64 {
    if let Observation::Answers { pace, .. } = fact { *pace } else { f64::INFINITY }
}

/// When a datagram was sent, in milliseconds, and its facts; `None` if it is none of this site's.
fn open(site: u32, bytes: &[u8]) -> Option<(i64, &[u8])> {
    if bytes.len() > MAX_DATAGRAM_LEN || bytes.len() < HEADER + CHECK {
        return None;
    }
    let (body, check) = bytes.split_at(bytes.len() - CHECK);
    let (head, facts) = body.split_at(HEADER);
    let whole = digest(body).to_be_bytes() == *check && facts.len() % FACT == 0;
    if !whole || head[0] != VERSION || head[1..5] != site.to_be_bytes() {
        return None;
    }
    Some((head[5..].iter().fold(0, |all, byte| all << 8 | i64::from(*byte)), facts))
}

/// FNV-1a: against accidents, not against forgers, whom the host keeps out by their addresses.
fn digest(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |all, byte| (all ^ u32::from(*byte)).wrapping_mul(0x0100_0193))
}
