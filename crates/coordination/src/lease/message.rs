//! Datagrams of the leases: read whole or refused whole, and only from who knows the installation's key.
//!
//! Header: magic, form, site (4), version of the operator's file's leases (4), sender (2), its life (8), number (8). Behind the
//! body stand 16 bytes of HMAC-SHA-256 over all before them. Numbers are big-endian.

use super::{Answer, Holder, PoolerInstance, TaskId, Token};
use crate::work;
use hmac::{Hmac, Mac};
use linnetdeal_core::Span;
use sha2::Sha256;

/// No datagram is longer, in bytes.
pub const LONGEST: usize = 256;
/// The first byte, which no other datagram between poolers has.
pub const MAGIC: u8 = 0xA7;
const FORM: u8 = 1;
const HEADER: usize = 28;
const CODE: usize = 16;
const ENTRY: usize = 26;
const POSITION: usize = 13;
/// Tasks that one datagram tells of.
const MOST_SEEN: usize = (LONGEST - HEADER - CODE - 6) / ENTRY;
/// Positions that one datagram tells of.
const MOST_POSITIONS: usize = (LONGEST - HEADER - CODE - 5) / POSITION;
/// Stands for nobody.
const NOBODY: u16 = u16::MAX;

/// A key that all poolers of an installation share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Vec<u8>);

impl Key {
    /// Fewer bytes can be guessed.
    pub const SHORTEST: usize = 16;

    /// A key of these bytes; none where they are too few.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= Self::SHORTEST).then(|| Self(bytes.to_vec()))
    }

    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = match Hmac::<Sha256>::new_from_slice(&self.0) {
            Ok(mac) => mac,
            // HMAC takes keys of any length.
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

/// Why a datagram is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// It is cut, too long or not of this form.
    #[error("malformed")]
    Malformed,
    /// Of another installation, or with unlike terms or drift.
    #[error("of another site")]
    SiteMismatch,
    /// By another version of the voters.
    #[error("of version {0}")]
    VersionMismatch(u32),
    /// Altered, or from somebody without the key.
    #[error("not authentic")]
    BadSignature,
    /// Its sender is not the one who it says.
    #[error("from a stranger")]
    SenderMismatch,
    /// It was heard before, or is too old to tell.
    #[error("replayed")]
    Replayed,
    /// Its sender has been answered more often than it may be.
    #[error("too many")]
    RateLimited,
}

/// What one pooler tells another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Could I have the task?
    Ask {
        /// The task.
        task: TaskId,
        /// The round.
        round: u32,
        /// The highest token that the sender knows of.
        known: Token,
    },
    /// Grant me the task.
    Claim {
        /// The task.
        task: TaskId,
        /// The round.
        round: u32,
        /// With this token.
        token: Token,
        /// For so long.
        term: Span,
    },
    /// The answer to either.
    Answer {
        /// The task.
        task: TaskId,
        /// The round.
        round: u32,
        /// The life that asked: rounds begin anew in each, and two processes of one name hear each other's answers.
        life: u64,
        /// The answer.
        answer: Answer,
    },
    /// I am done with the task.
    Release {
        /// The task.
        task: TaskId,
        /// The token.
        token: Token,
        /// Who is to have it next, and for how long it was granted.
        heir: Option<(u16, Span)>,
    },
    /// Who has what, from the task behind this one?
    Look {
        /// The round.
        round: u32,
        /// The task.
        after: Option<TaskId>,
    },
    /// The answer to that.
    Seen {
        /// The round.
        round: u32,
        /// There is more behind these.
        more: bool,
        /// Tasks with their holders.
        tasks: Vec<Seen>,
    },
    /// Whoever holds the task has asked members of the fleet for their positions.
    Positions {
        /// The task.
        task: TaskId,
        /// What they said.
        positions: Vec<Position>,
    },
    /// Of machines out for work.
    Work(work::Message),
    /// You are to have the task that I have just released.
    Offer {
        /// The task.
        task: TaskId,
        /// The token that it was held with.
        token: Token,
    },
}

/// What a member said of itself. A position only grows: it is no less at any later time, so that this is true however late it
/// comes, if it was true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// What stands for the member's id.
    pub member: TaskId,
    /// Its position, in microseconds since 1970.
    pub position: i64,
    /// It called itself the primary.
    pub primary: bool,
}

/// A task with its holder.
pub type Seen = (TaskId, Holder);

impl Body {
    /// How many tasks fit into one answer.
    pub const MOST_SEEN: usize = MOST_SEEN;
    /// How many positions do.
    pub const MOST_POSITIONS: usize = MOST_POSITIONS;
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Letter {
    /// What all who talk have in common.
    pub site: u32,
    /// The version of the voters.
    pub version: u32,
    /// Who sent it.
    pub sender: PoolerInstance,
    /// Its number among the sender's.
    pub number: u64,
    /// What it says.
    pub body: Body,
}

fn ms(span: Span) -> u32 {
    u32::try_from(span.0.max(0) / 1_000).unwrap_or(u32::MAX)
}

fn put_holder(out: &mut Vec<u8>, holder: Option<Holder>) {
    let none = Holder {
        instance: PoolerInstance { number: NOBODY, incarnation: 0 },
        token: Token(0),
        remaining: Span(0),
    };
    let holder = holder.unwrap_or(none);
    out.extend(holder.instance.number.to_be_bytes());
    out.extend(holder.instance.incarnation.to_be_bytes());
    out.extend(holder.token.0.to_be_bytes());
    out.extend(ms(holder.remaining).to_be_bytes());
}

/// Writes a letter, no longer than [`LONGEST`].
#[must_use]
pub fn seal(letter: &Letter, key: &Key) -> Vec<u8> {
    let mut out = vec![MAGIC, FORM];
    out.extend(letter.site.to_be_bytes());
    out.extend(letter.version.to_be_bytes());
    out.extend(letter.sender.number.to_be_bytes());
    out.extend(letter.sender.incarnation.to_be_bytes());
    out.extend(letter.number.to_be_bytes());
    match &letter.body {
        Body::Ask { task, round, known } => {
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
            out.extend(ms(*term).to_be_bytes());
        }
        Body::Answer { task, round, life, answer } => {
            out.push(3);
            out.extend(task.0.to_be_bytes());
            out.extend(round.to_be_bytes());
            out.extend(life.to_be_bytes());
            out.push(u8::from(answer.granted));
            out.extend(answer.floor.0.to_be_bytes());
            put_holder(&mut out, answer.holder);
        }
        Body::Release { task, token, heir } => {
            out.push(4);
            out.extend(task.0.to_be_bytes());
            out.extend(token.0.to_be_bytes());
            let (number, term) = heir.unwrap_or((NOBODY, Span(0)));
            out.extend(number.to_be_bytes());
            out.extend(ms(term).to_be_bytes());
        }
        Body::Look { round, after } => {
            out.push(5);
            out.extend(round.to_be_bytes());
            out.push(u8::from(after.is_some()));
            out.extend(after.unwrap_or_default().0.to_be_bytes());
        }
        Body::Seen { round, more, tasks } => {
            out.push(6);
            out.extend(round.to_be_bytes());
            out.push(u8::from(*more));
            for (task, holder) in tasks.iter().take(MOST_SEEN) {
                out.extend(task.0.to_be_bytes());
                put_holder(&mut out, Some(*holder));
            }
        }
        Body::Positions { task, positions } => {
            out.push(8);
            out.extend(task.0.to_be_bytes());
            for of in positions.iter().take(MOST_POSITIONS) {
                out.extend(of.member.0.to_be_bytes());
                out.extend(of.position.to_be_bytes());
                out.push(u8::from(of.primary));
            }
        }
        Body::Work(note) => work::put(&mut out, note),
        Body::Offer { task, token } => {
            out.push(7);
            out.extend(task.0.to_be_bytes());
            out.extend(token.0.to_be_bytes());
        }
    }
    sign(out, key)
}

/// Puts the code of a key behind some bytes.
#[must_use]
pub fn sign(mut text: Vec<u8>, key: &Key) -> Vec<u8> {
    let code = key.mac(&text).finalize().into_bytes();
    text.extend_from_slice(&code[..CODE]);
    text
}

/// Reads a letter that one of the `keys` vouches for. Whose it is and whether it is new is the reader's matter.
///
/// # Errors
///
/// When anything about it is wrong; nothing of it counts then.
pub fn open(bytes: &[u8], keys: &[Key]) -> Result<Letter, DatagramError> {
    if bytes.len() < HEADER + CODE || bytes.len() > LONGEST || bytes[..2] != [MAGIC, FORM] {
        return Err(DatagramError::Malformed);
    }
    let (text, code) = bytes.split_at(bytes.len() - CODE);
    if !keys.iter().any(|key| key.mac(text).verify_truncated_left(code).is_ok()) {
        return Err(DatagramError::BadSignature);
    }
    let mut read = Reader(&text[2..]);
    let letter = read.letter().ok_or(DatagramError::Malformed)?;
    if read.0.is_empty() { Ok(letter) } else { Err(DatagramError::Malformed) }
}

/// Bytes that are read from the front; `None` where there are too few, or they mean nothing.
pub(crate) struct Reader<'b>(pub(crate) &'b [u8]);

impl Reader<'_> {
    pub(crate) fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }

    pub(crate) fn short(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.take()?))
    }

    pub(crate) fn word(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.take()?))
    }

    pub(crate) fn long(&mut self) -> Option<u64> {
        Some(u64::from_be_bytes(self.take()?))
    }

    pub(crate) fn flag(&mut self) -> Option<bool> {
        match self.take::<1>()? {
            [0] => Some(false),
            [1] => Some(true),
            _ => None,
        }
    }

    fn span(&mut self) -> Option<Span> {
        Some(Span::millis(i64::from(self.word()?)))
    }

    fn task(&mut self) -> Option<TaskId> {
        Some(TaskId(self.word()?))
    }

    pub(crate) fn token(&mut self) -> Option<Token> {
        Some(Token(self.long()?))
    }

    fn holder(&mut self) -> Option<Option<Holder>> {
        let instance = PoolerInstance { number: self.short()?, incarnation: self.long()? };
        let holder = Holder { instance, token: self.token()?, remaining: self.span()? };
        Some((instance.number != NOBODY).then_some(holder))
    }

    fn letter(&mut self) -> Option<Letter> {
        let (site, version) = (self.word()?, self.word()?);
        let sender = PoolerInstance { number: self.short()?, incarnation: self.long()? };
        Some(Letter { site, version, sender, number: self.long()?, body: self.body()? })
    }

    fn body(&mut self) -> Option<Body> {
        Some(match self.take::<1>()?[0] {
            1 => Body::Ask { task: self.task()?, round: self.word()?, known: self.token()? },
            2 => Body::Claim {
                task: self.task()?,
                round: self.word()?,
                token: self.token()?,
                term: self.span()?,
            },
            3 => {
                let (task, round, life) = (self.task()?, self.word()?, self.long()?);
                let (granted, floor, holder) = (self.flag()?, self.token()?, self.holder()?);
                Body::Answer { task, round, life, answer: Answer { granted, floor, holder } }
            }
            4 => {
                let (task, token, number, term) = (self.task()?, self.token()?, self.short()?, self.span()?);
                Body::Release { task, token, heir: (number != NOBODY).then_some((number, term)) }
            }
            5 => {
                let (round, is_after, task) = (self.word()?, self.flag()?, self.task()?);
                Body::Look { round, after: is_after.then_some(task) }
            }
            6 => {
                let (round, more) = (self.word()?, self.flag()?);
                let mut tasks = Vec::new();
                while !self.0.is_empty() {
                    tasks.push((self.task()?, self.holder()??));
                }
                Body::Seen { round, more, tasks }
            }
            8 => {
                let task = self.task()?;
                let mut positions = Vec::new();
                while !self.0.is_empty() {
                    let (member, position) = (self.task()?, i64::from_be_bytes(self.take()?));
                    positions.push(Position { member, position, primary: self.flag()? });
                }
                Body::Positions { task, positions }
            }
            7 => Body::Offer { task: self.task()?, token: self.token()? },
            form => Body::Work(work::take(form, self)?),
        })
    }
}
