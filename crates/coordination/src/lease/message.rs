//! Datagrams of the lease protocol. A datagram is accepted as a whole or rejected as a whole, and only if it is
//! signed with a key of the installation.
//!
//! Header: magic (1), format (1), site (4), version of the voter set (4), sender's number (2), sender's
//! incarnation (8), sequence number (8). The body follows, and then the first 16 bytes of an HMAC-SHA-256 over
//! everything before. Numbers are big-endian.

use super::{Answer, Holder, PoolerInstance, TaskId, Token};
use crate::work;
use hmac::{Hmac, Mac};
use linnetdeal_core::Span;
use sha2::Sha256;

/// Maximum length of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// First byte of each datagram; tells it from the other datagrams that poolers exchange.
pub const MAGIC: u8 = 0xA7;
const FORMAT: u8 = 1;
const HEADER_LEN: usize = 28;
const MAC_LEN: usize = 16;
const HELD_TASK_LEN: usize = 26;
const POSITION_LEN: usize = 13;
/// Maximum number of held tasks in one datagram.
const MAX_HELD_TASKS: usize = (MAX_DATAGRAM_BYTES - HEADER_LEN - MAC_LEN - 6) / HELD_TASK_LEN;
/// Maximum number of positions in one datagram.
const MAX_POSITIONS: usize = (MAX_DATAGRAM_BYTES - HEADER_LEN - MAC_LEN - 5) / POSITION_LEN;
/// Pooler number that stands for no pooler.
const NO_POOLER: u16 = u16::MAX;

/// Signing key that all poolers of an installation share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Vec<u8>);

impl Key {
    /// Minimum length of a key: a shorter one could be guessed.
    pub const MIN_BYTES: usize = 16;

    /// A key of these bytes, or `None` if there are fewer than [`Key::MIN_BYTES`].
    #[must_use]
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= Self::MIN_BYTES).then(|| Self(bytes.to_vec()))
    }

    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = match Hmac::<Sha256>::new_from_slice(&self.0) {
            Ok(mac) => mac,
            // HMAC accepts keys of any length.
            Err(_) => unreachable!("HMAC refused a key"),
        };
        mac.update(bytes);
        mac
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// It is truncated, too long or not in this format.
    #[error("malformed")]
    Malformed,
    /// It is from another installation, or from a pooler with different terms or drift.
    #[error("of another site")]
    SiteMismatch,
    /// The sender uses another version of the voter set.
    #[error("of version {0}")]
    VersionMismatch(u32),
    /// It was altered, or signed with an unknown key.
    #[error("not authentic")]
    BadSignature,
    /// The sender's number does not match the address it came from.
    #[error("from a stranger")]
    SenderMismatch,
    /// It was received before, or is too old to tell.
    #[error("replayed")]
    Replayed,
    /// Its sender exceeded the rate limit.
    #[error("too many")]
    RateLimited,
}

/// Contents of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks whether a claim would be granted.
    Query {
        /// The task.
        task: TaskId,
        /// The sender's round.
        round: u32,
        /// The highest token known to the sender.
        known: Token,
    },
    /// Asks to be granted the task.
    Claim {
        /// The task.
        task: TaskId,
        /// The sender's round.
        round: u32,
        /// The token claimed.
        token: Token,
        /// The term claimed.
        term: Span,
    },
    /// Answers a query or a claim.
    Answer {
        /// The task.
        task: TaskId,
        /// The round that is answered.
        round: u32,
        /// The incarnation that asked: each one numbers its rounds from the start, and two processes of one
        /// name receive each other's answers.
        incarnation: u64,
        /// The answer.
        answer: Answer,
    },
    /// Gives the task up.
    Release {
        /// The task.
        task: TaskId,
        /// The token it was held with.
        token: Token,
        /// The pooler that is to have it next, and the term that it had been granted for.
        successor: Option<(u16, Span)>,
    },
    /// Asks which tasks have holders.
    ListHeld {
        /// The sender's round.
        round: u32,
        /// Only tasks after this one, in the order of task ids.
        after: Option<TaskId>,
    },
    /// Answers [`Body::ListHeld`].
    HeldTasks {
        /// The round that is answered.
        round: u32,
        /// More tasks follow after these.
        more: bool,
        /// Tasks with their holders.
        tasks: Vec<HeldTask>,
    },
    /// Positions that the holder of the task read from members.
    Positions {
        /// The task.
        task: TaskId,
        /// What the members reported.
        positions: Vec<Position>,
    },
    /// A message of the maintenance plan.
    Work(work::Message),
    /// Offers the receiver a task that the sender has just released.
    Offer {
        /// The task.
        task: TaskId,
        /// The token it was held with.
        token: Token,
    },
}

/// What a member reported of itself. A position never decreases, so that a late report is still true as a lower
/// bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Hash of the member's id.
    pub member: TaskId,
    /// Its position, in microseconds since 1970.
    pub position: i64,
    /// Whether it reported to be the primary.
    pub primary: bool,
}

/// A task with its holder.
pub type HeldTask = (TaskId, Holder);

impl Body {
    /// Maximum number of tasks in one [`Body::HeldTasks`].
    pub const MAX_HELD_TASKS: usize = MAX_HELD_TASKS;
    /// Maximum number of positions in one [`Body::Positions`].
    pub const MAX_POSITIONS: usize = MAX_POSITIONS;
}

/// A datagram without its signature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Hash of what all poolers of an installation have in common: its name, the longest term and the drift.
    pub site: u32,
    /// Version of the voter set.
    pub version: u32,
    /// The sending process.
    pub sender: PoolerInstance,
    /// Sequence number among the datagrams of the sender.
    pub number: u64,
    /// The contents.
    pub body: Body,
}

fn millis_u32(span: Span) -> u32 {
    u32::try_from(span.0.max(0) / 1_000).unwrap_or(u32::MAX)
}

fn write_holder(out: &mut Vec<u8>, holder: Option<Holder>) {
    let no_holder = Holder {
        instance: PoolerInstance { number: NO_POOLER, incarnation: 0 },
        token: Token(0),
        remaining: Span(0),
    };
    let holder = holder.unwrap_or(no_holder);
    out.extend(holder.instance.number.to_be_bytes());
    out.extend(holder.instance.incarnation.to_be_bytes());
    out.extend(holder.token.0.to_be_bytes());
    out.extend(millis_u32(holder.remaining).to_be_bytes());
}

/// Encodes and signs a datagram; the result is no longer than [`MAX_DATAGRAM_BYTES`].
#[must_use]
pub fn encode(datagram: &Datagram, key: &Key) -> Vec<u8> {
    let mut out = vec![MAGIC, FORMAT];
    out.extend(datagram.site.to_be_bytes());
    out.extend(datagram.version.to_be_bytes());
    out.extend(datagram.sender.number.to_be_bytes());
    out.extend(datagram.sender.incarnation.to_be_bytes());
    out.extend(datagram.number.to_be_bytes());
    match &datagram.body {
        Body::Query { task, round, known } => {
            out.push(1);
            out.extend(task.0.to_be_bytes());
            out.extend(round.to_be_bytes());
            out.extend(known.0.to_be_bytes());
        }
        Body::Claim { task, round, token, term } => {
            out.push(2);
            out.extend(task.0.to_be_bytes());
            out.extend(round.to_be_bytes());
            out.extend(token.0.to_be_bytes());
            out.extend(millis_u32(*term).to_be_bytes());
        }
        Body::Answer { task, round, incarnation, answer } => {
            out.push(3);
            out.extend(task.0.to_be_bytes());
            out.extend(round.to_be_bytes());
            out.extend(incarnation.to_be_bytes());
            out.push(u8::from(answer.granted));
            out.extend(answer.floor.0.to_be_bytes());
            write_holder(&mut out, answer.holder);
        }
        Body::Release { task, token, successor } => {
            out.push(4);
            out.extend(task.0.to_be_bytes());
            out.extend(token.0.to_be_bytes());
            let (number, term) = successor.unwrap_or((NO_POOLER, Span(0)));
            out.extend(number.to_be_bytes());
            out.extend(millis_u32(term).to_be_bytes());
        }
        Body::ListHeld { round, after } => {
            out.push(5);
            out.extend(round.to_be_bytes());
            out.push(u8::from(after.is_some()));
            out.extend(after.unwrap_or_default().0.to_be_bytes());
        }
        Body::HeldTasks { round, more, tasks } => {
            out.push(6);
            out.extend(round.to_be_bytes());
            out.push(u8::from(*more));
            for (task, holder) in tasks.iter().take(MAX_HELD_TASKS) {
                out.extend(task.0.to_be_bytes());
                write_holder(&mut out, Some(*holder));
            }
        }
        Body::Positions { task, positions } => {
            out.push(8);
            out.extend(task.0.to_be_bytes());
            for entry in positions.iter().take(MAX_POSITIONS) {
                out.extend(entry.member.0.to_be_bytes());
                out.extend(entry.position.to_be_bytes());
                out.push(u8::from(entry.primary));
            }
        }
        Body::Work(message) => work::encode(&mut out, message),
        Body::Offer { task, token } => {
            out.push(7);
            out.extend(task.0.to_be_bytes());
            out.extend(token.0.to_be_bytes());
        }
    }
    append_mac(out, key)
}

/// Appends the truncated HMAC of `payload`.
#[must_use]
pub fn append_mac(mut payload: Vec<u8>, key: &Key) -> Vec<u8> {
    let tag = key.mac(&payload).finalize().into_bytes();
    payload.extend_from_slice(&tag[..MAC_LEN]);
    payload
}

/// Decodes a datagram that is signed with one of `keys`. Checking the sender and rejecting replays is left to
/// the caller.
///
/// # Errors
///
/// When it is malformed or its signature is wrong; nothing of it may be used then.
pub fn decode(bytes: &[u8], keys: &[Key]) -> Result<Datagram, DatagramError> {
    if bytes.len() < HEADER_LEN + MAC_LEN || bytes.len() > MAX_DATAGRAM_BYTES || bytes[..2] != [MAGIC, FORMAT]
    {
        return Err(DatagramError::Malformed);
    }
    let (payload, tag) = bytes.split_at(bytes.len() - MAC_LEN);
    if !keys.iter().any(|key| key.mac(payload).verify_truncated_left(tag).is_ok()) {
        return Err(DatagramError::BadSignature);
    }
    let mut reader = Reader(&payload[2..]);
    let datagram = reader.datagram().ok_or(DatagramError::Malformed)?;
    if reader.0.is_empty() { Ok(datagram) } else { Err(DatagramError::Malformed) }
}

/// Reads from the front of a byte slice. The methods return `None` where bytes are missing or invalid.
pub(crate) struct Reader<'b>(pub(crate) &'b [u8]);

impl Reader<'_> {
    pub(crate) fn read_bytes<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }

    pub(crate) fn read_u16(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.read_bytes()?))
    }

    pub(crate) fn read_u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.read_bytes()?))
    }

    pub(crate) fn read_u64(&mut self) -> Option<u64> {
        Some(u64::from_be_bytes(self.read_bytes()?))
    }

    pub(crate) fn read_bool(&mut self) -> Option<bool> {
        match self.read_bytes::<1>()? {
            [0] => Some(false),
            [1] => Some(true),
            _ => None,
        }
    }

    fn span(&mut self) -> Option<Span> {
        Some(Span::millis(i64::from(self.read_u32()?)))
    }

    fn task(&mut self) -> Option<TaskId> {
        Some(TaskId(self.read_u32()?))
    }

    pub(crate) fn token(&mut self) -> Option<Token> {
        Some(Token(self.read_u64()?))
    }

    fn holder(&mut self) -> Option<Option<Holder>> {
        let instance = PoolerInstance { number: self.read_u16()?, incarnation: self.read_u64()? };
        let holder = Holder { instance, token: self.token()?, remaining: self.span()? };
        Some((instance.number != NO_POOLER).then_some(holder))
    }

    fn datagram(&mut self) -> Option<Datagram> {
        let (site, version) = (self.read_u32()?, self.read_u32()?);
        let sender = PoolerInstance { number: self.read_u16()?, incarnation: self.read_u64()? };
        Some(Datagram { site, version, sender, number: self.read_u64()?, body: self.body()? })
    }

    fn body(&mut self) -> Option<Body> {
        Some(match self.read_bytes::<1>()?[0] {
            1 => Body::Query { task: self.task()?, round: self.read_u32()?, known: self.token()? },
            2 => Body::Claim {
                task: self.task()?,
                round: self.read_u32()?,
                token: self.token()?,
                term: self.span()?,
            },
            3 => {
                let (task, round, incarnation) = (self.task()?, self.read_u32()?, self.read_u64()?);
                let (granted, floor, holder) = (self.read_bool()?, self.token()?, self.holder()?);
                Body::Answer { task, round, incarnation, answer: Answer { granted, floor, holder } }
            }
            4 => {
                let (task, token, number, term) =
                    (self.task()?, self.token()?, self.read_u16()?, self.span()?);
                Body::Release { task, token, successor: (number != NO_POOLER).then_some((number, term)) }
            }
            5 => {
                let (round, has_after, task) = (self.read_u32()?, self.read_bool()?, self.task()?);
                Body::ListHeld { round, after: has_after.then_some(task) }
            }
            6 => {
                let (round, more) = (self.read_u32()?, self.read_bool()?);
                let mut tasks = Vec::new();
                while !self.0.is_empty() {
                    tasks.push((self.task()?, self.holder()??));
                }
                Body::HeldTasks { round, more, tasks }
            }
            8 => {
                let task = self.task()?;
                let mut positions = Vec::new();
                while !self.0.is_empty() {
                    let (member, position) = (self.task()?, i64::from_be_bytes(self.read_bytes()?));
                    positions.push(Position { member, position, primary: self.read_bool()? });
                }
                Body::Positions { task, positions }
            }
            7 => Body::Offer { task: self.task()?, token: self.token()? },
            kind => Body::Work(work::decode(kind, self)?),
        })
    }
}
