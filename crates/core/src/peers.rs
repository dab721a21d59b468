//! Gossip between poolers: which member was shown to be a primary, and how quickly members have answered. No I/O: the
//! host carries the datagrams, which may be late, duplicated or lost. Decisions are correct without them.
//!
//! With a hundred poolers each sees one request in a hundred. On its own it would notice a change of primary or a
//! slow member so late that the knowledge would be of no use. A pooler therefore announces a new primary to all
//! others at once, unless it has learned of it from one of them, and sends its answer statistics at intervals to a
//! few others chosen at random. Both are limited by one budget of bytes that the pooler's own requests earn at the
//! price in the settings, so that the messages of the whole fleet cost a fixed small fraction of the service
//! objective G, whatever its size.
//!
//! A datagram consists of a header (version, site, time of sending), observations of seven bytes each and a checksum.
//! One that is truncated, altered, from another site, from the future, too old, or not newer than the last from the
//! same pooler is dropped as a whole. Observations of members that are not on this pooler's list are ignored.

use crate::interface::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_LEN: usize = 256;
const VERSION: u8 = 1;
const HEADER_LEN: usize = 11;
const OBSERVATION_LEN: usize = 7;
const CHECKSUM_LEN: usize = 4;
/// The maximum number of observations in a datagram.
pub const MAX_OBSERVATIONS: usize = (MAX_DATAGRAM_LEN - HEADER_LEN - CHECKSUM_LEN) / OBSERVATION_LEN;
/// The fraction of G that all messages together may cost.
const COST_SHARE: f64 = 0.004;
/// The size of the full message to which the price in the settings refers: one of them per request costs that price.
const FULL_DATAGRAM_BYTES: f64 = 256.0;
/// How much unspent budget may accumulate, and how far announcements may overdraw it, in full messages to all
/// poolers.
const MAX_SAVED_BROADCASTS: f64 = 1.0;
const MAX_OVERDRAWN_BROADCASTS: f64 = 2.0;
/// The minimum interval between sending answer statistics; random jitter adds up to half as much.
const SEND_INTERVAL: Span = Span::millis(400);
/// The number of receivers drawn for answer statistics; the draws are independent, so that some are drawn twice.
const FANOUT: u32 = 16;
/// Datagrams older than the maximum age are dropped, as are those sent in the future by more than the allowed clock
/// skew.
const MAX_AGE: Span = Span::millis(5_000);
const MAX_CLOCK_SKEW: Span = Span::millis(1_000);
/// A latency ratio is encoded logarithmically in one byte, with this many steps per factor of two.
const STEPS_PER_DOUBLING: f64 = 16.0;

/// The receivers of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// All other poolers.
    All,
    /// The pooler with this number.
    One(u32),
}

/// What a pooler has observed of a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The member proved to be the primary.
    Primary {
        /// The member.
        member: MemberId,
        /// When it proved so.
        at: Time,
    },
    /// Statistics of the member's answers, including those that timed out.
    Answers {
        /// The member.
        member: MemberId,
        /// The number of answers.
        answers: u32,
        /// How many of them were late.
        late: u32,
        /// Their mean latency, as a multiple of the usual latency of their classes.
        latency_ratio: f64,
    },
}

/// Answers of a member since they were last sent to other poolers.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerStats {
    answers: u32,
    late: u32,
    latency_ratio_sum: f64,
}

/// One pooler's side of the gossip.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// Whether gossip was possible at the start: the settings allowed it and the fleet has other poolers.
    available: bool,
    /// Whether the current settings allow messages.
    enabled: bool,
    fleet: u32,
    rank: u32,
    site_digest: u32,
    rng: ChaCha8Rng,
    /// The budget that each request earns, in bytes.
    bytes_per_request: f64,
    /// The available budget, in bytes times receivers.
    budget: f64,
    /// Members by the digest that identifies them in datagrams; `None` if two members have the same digest.
    members_by_digest: BTreeMap<u32, Option<MemberId>>,
    /// Answer statistics that have not been sent yet.
    answer_stats: BTreeMap<MemberId, AnswerStats>,
    /// The latest known primary of each group, when it proved so, and whether it is still to be announced.
    primaries: BTreeMap<GroupId, (MemberId, Time, bool)>,
    /// When answer statistics are sent next.
    next_exchange: Time,
    /// The time of sending of the latest datagram from each pooler, in milliseconds; at most one entry per pooler.
    latest_received: BTreeMap<u32, i64>,
}

impl Gossip {
    /// Creates a pooler's side of the gossip. It neither sends nor receives anything if the settings allow no
    /// messages or the fleet has no other pooler.
    #[must_use]
    pub fn new(seed: u64, settings: &Settings) -> Self {
        let mut class_names = Vec::new();
        for class in &settings.classes {
            class_names.extend_from_slice(class.name.as_bytes());
            class_names.push(0);
        }
        let price = settings.peer_price.max(1e-6);
        Self {
            available: settings.peers && settings.fleet > 1,
            enabled: true,
            fleet: settings.fleet,
            // A router without a configured number counts as number 0.
            rank: if settings.rank == Settings::NO_RANK { 0 } else { settings.rank },
            site_digest: digest(&class_names),
            rng: ChaCha8Rng::seed_from_u64(seed),
            bytes_per_request: COST_SHARE / price * FULL_DATAGRAM_BYTES,
            budget: 0.0,
            members_by_digest: BTreeMap::new(),
            answer_stats: BTreeMap::new(),
            primaries: BTreeMap::new(),
            next_exchange: Time(i64::MIN / 4),
            latest_received: BTreeMap::new(),
        }
    }

    /// Enables or disables messages after a change of settings. If the settings at the start did not allow them,
    /// there is no connection to other poolers and this has no effect.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
    }

    /// Adds a member of the list, of which observations may be sent and received.
    pub fn add_member(&mut self, member: &MemberId) {
        if !self.available {
            return;
        }
        let entry =
            self.members_by_digest.entry(digest(member.0.as_bytes())).or_insert_with(|| Some(member.clone()));
        if entry.as_ref() != Some(member) {
            *entry = None;
        }
    }

    /// Removes a member that has left the list.
    pub fn remove_member(&mut self, member: &MemberId) {
        self.members_by_digest.remove(&digest(member.0.as_bytes()));
        self.answer_stats.remove(member);
        self.primaries.retain(|_, (primary, ..)| primary != member);
    }

    /// Credits the budget with what one request of this pooler earns.
    pub fn credit_request(&mut self) {
        if self.available {
            let max_budget = MAX_SAVED_BROADCASTS * FULL_DATAGRAM_BYTES * f64::from(self.fleet);
            self.budget = (self.budget + self.bytes_per_request).min(max_budget);
        }
    }

    /// Records an answer of a member, or a timeout as `late`. `latency_ratio` is its latency as a multiple of the
    /// usual one.
    pub fn record_answer(&mut self, member: &MemberId, late: bool, latency_ratio: f64) {
        if self.available {
            let stats = self.answer_stats.entry(member.clone()).or_default();
            stats.answers += 1;
            stats.late += u32::from(late);
            stats.latency_ratio_sum += latency_ratio;
        }
    }

    /// Records that a member proved to be its group's primary. If another member was known as the primary before, the
    /// change is announced with the next [`Self::send_due`].
    pub fn record_primary(&mut self, group: GroupId, member: &MemberId, at: Time) {
        let known = self.primaries.get(&group);
        if self.available && known.is_none_or(|(_, known, _)| at > *known) {
            let announce = known.is_none_or(|(primary, _, pending)| primary != member || *pending);
            // The first primary known of a group is not announced: the other poolers know it from the list too.
            let announce = announce && known.is_some();
            self.primaries.insert(group, (member.clone(), at, announce));
        }
    }

    /// Cancels the announcement of a primary that another pooler has already announced to all.
    pub fn suppress_announcement(&mut self, member: &MemberId) {
        let matching = self.primaries.values_mut().filter(|(primary, ..)| primary == member);
        matching.for_each(|(.., pending)| *pending = false);
    }

    /// Appends the datagrams that are due: announcements of new primaries to all poolers, and at intervals answer
    /// statistics to some chosen at random.
    pub fn send_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.available || !self.enabled {
            return;
        }
        let mut announcements = Vec::new();
        for (member, at, pending) in
            self.primaries.values_mut().filter(|(.., pending)| *pending).take(MAX_OBSERVATIONS)
        {
            *pending = false;
            // A former primary that was partitioned off may still claim the role, as of long ago. The age field could
            // not represent that, so the claim would appear more recent than it is.
            if now - *at < MAX_AGE {
                announcements.push(Observation::Primary { member: member.clone(), at: *at });
            }
        }
        let bytes = self.encode(now, &announcements);
        let cost = bytes.len() as f64 * f64::from(self.fleet - 1);
        if !announcements.is_empty()
            && self.budget - cost > -MAX_OVERDRAWN_BROADCASTS * FULL_DATAGRAM_BYTES * f64::from(self.fleet)
        {
            self.budget -= cost;
            actions.push(Action::Tell { to: To::All, bytes });
        }
        if now < self.next_exchange || self.answer_stats.is_empty() {
            return;
        }
        self.next_exchange = now + SEND_INTERVAL + SEND_INTERVAL.times(0.5 * self.random_fraction());
        let mut observations: Vec<Observation> =
            std::mem::take(&mut self.answer_stats).into_iter().map(to_observation).collect();
        // The slowest members first, in case there are more than fit in a datagram.
        observations.sort_by(|a, b| priority(b).total_cmp(&priority(a)));
        observations.truncate(MAX_OBSERVATIONS);
        let bytes = self.encode(now, &observations);
        let cost = bytes.len() as f64;
        for _ in 0..FANOUT {
            let to = self.rng.next_u32() % self.fleet;
            if self.budget >= cost && to != self.rank {
                self.budget -= cost;
                actions.push(Action::Tell { to: To::One(to), bytes: bytes.clone() });
            }
        }
    }

    /// Decodes a datagram from the pooler `from`; returns no observations if it is invalid or out of date.
    pub fn receive(&mut self, now: Time, from: u32, bytes: &[u8]) -> Vec<Observation> {
        if !self.available || !self.enabled || from >= self.fleet || from == self.rank {
            return Vec::new();
        }
        let Some((sent, observations)) = split_datagram(self.site_digest, bytes) else { return Vec::new() };
        let last = self.latest_received.entry(from).or_insert(i64::MIN);
        let sent_at = Time(sent.saturating_mul(1_000));
        if sent <= *last || now - sent_at > MAX_AGE || sent_at - now > MAX_CLOCK_SKEW {
            return Vec::new();
        }
        *last = sent;
        observations
            .chunks_exact(OBSERVATION_LEN)
            .filter_map(|observation| self.decode(sent_at, observation))
            .collect()
    }

    fn decode(&self, sent: Time, observation: &[u8]) -> Option<Observation> {
        let member_digest = u32::from_be_bytes(observation.get(1..5)?.try_into().ok()?);
        let member = self.members_by_digest.get(&member_digest)?.clone()?;
        let (a, b) = (observation[5], observation[6]);
        match observation[0] {
            b'P' => Some(Observation::Primary {
                member,
                at: sent - Span::millis(i64::from(u16::from_be_bytes([a, b]))),
            }),
            b'S' => {
                let (answers, late) = (u32::from(a >> 4), u32::from(a & 15));
                let latency_ratio = ((f64::from(b) - 128.0) / STEPS_PER_DOUBLING).exp2();
                (late <= answers && answers > 0).then_some(Observation::Answers {
                    member,
                    answers,
                    late,
                    latency_ratio,
                })
            }
            _ => None,
        }
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn encode(&self, now: Time, observations: &[Observation]) -> Vec<u8> {
        let sent = now.0 / 1_000;
        let mut bytes = Vec::with_capacity(HEADER_LEN + OBSERVATION_LEN * observations.len() + CHECKSUM_LEN);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.site_digest.to_be_bytes());
        bytes.extend_from_slice(&sent.to_be_bytes()[2..]);
        for observation in observations.iter().take(MAX_OBSERVATIONS) {
            let (kind, member, payload) = match observation {
                Observation::Primary { member, at } => {
                    // Rounded down, so that the primary is not claimed for a later time than it proved so.
                    let age = (sent - at.0.div_euclid(1_000)).clamp(0, i64::from(u16::MAX)) as u16;
                    (b'P', member, age.to_be_bytes())
                }
                Observation::Answers { member, answers, late, latency_ratio } => {
                    // More than 15 answers are sent as 15 with the same fraction of late ones.
                    let (total, encoded) = (f64::from((*answers).max(1)), (*answers).clamp(1, 15));
                    let late = (f64::from(*late) * f64::from(encoded) / total).round();
                    let latency_ratio = (latency_ratio.max(1e-9).log2() * STEPS_PER_DOUBLING + 128.0)
                        .round()
                        .clamp(0.0, 255.0);
                    (b'S', member, [(encoded << 4) as u8 | late as u8, latency_ratio as u8])
                }
            };
            bytes.push(kind);
            bytes.extend_from_slice(&digest(member.0.as_bytes()).to_be_bytes());
            bytes.extend_from_slice(&payload);
        }
        let checksum = digest(&bytes);
        bytes.extend_from_slice(&checksum.to_be_bytes());
        bytes
    }
}

fn to_observation((member, stats): (MemberId, AnswerStats)) -> Observation {
    let AnswerStats { answers, late, latency_ratio_sum } = stats;
    Observation::Answers {
        member,
        answers,
        late,
        latency_ratio: latency_ratio_sum / f64::from(answers.max(1)),
    }
}

fn priority(observation: &Observation) -> f64 {
    if let Observation::Answers { latency_ratio, .. } = observation { *latency_ratio } else { f64::INFINITY }
}

/// Splits a datagram into its time of sending, in milliseconds, and its encoded observations; `None` if it is
/// malformed or from another site.
fn split_datagram(site_digest: u32, bytes: &[u8]) -> Option<(i64, &[u8])> {
    if bytes.len() > MAX_DATAGRAM_LEN || bytes.len() < HEADER_LEN + CHECKSUM_LEN {
        return None;
    }
    let (body, checksum) = bytes.split_at(bytes.len() - CHECKSUM_LEN);
    let (head, observations) = body.split_at(HEADER_LEN);
    let intact = digest(body).to_be_bytes() == *checksum && observations.len() % OBSERVATION_LEN == 0;
    if !intact || head[0] != VERSION || head[1..5] != site_digest.to_be_bytes() {
        return None;
    }
    Some((head[5..].iter().fold(0, |value, byte| value << 8 | i64::from(*byte)), observations))
}

/// FNV-1a. It detects accidental corruption; forged datagrams are rejected by the host, which checks the sender's
/// address.
fn digest(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193))
}
