//! What happened in a run, in fixed records: small, ordered, and the same bytes from the same seed.

use linnetdeal_core::Time;
use xxhash_rust::xxh3::Xxh3;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum RecordKind {
    /// A router was told that a box is in service (`x` 1) or not (0). `y` is when it started, 0 for long ago.
    Told = 1,
    /// A client asked a router. `x` is its deadline, `y` its session; `b` is class + 256 × group.
    Asked,
    /// A router sent a request to a box: the first byte. `x` is the attempt.
    Sent,
    /// All of it has come to the box. `x` is the work in µs.
    Came,
    /// The attempt is over for the router; nothing of it is out any more. `x` is the attempt.
    Over,
    /// A write ran and was committed. `x` is the commit.
    Ran,
    /// The write is on a replica too.
    Kept,
    /// The request was served. `x` is the commit of a write, or the position that a read was answered from.
    Served,
    /// It was refused. `x` is when to come back, in µs.
    Refused,
    /// It failed.
    Failed,
    /// The router was killed, and with it what it held.
    Killed,
    /// A box started. `x` is its full capacity in work per second.
    Started,
    /// A box fell.
    Fell,
    /// A box died, paused, or handed over: a mark for plots. `x` is the kind of trouble.
    Trouble,
    /// Before [`What::Asked`]: the try of a client. `x` is the client, `y` the try's number from 0.
    Try,
    /// A job is in a box's hands. `x` is its work in µs, `y` the attempt.
    Took,
    /// It is through there. `y` is the attempt.
    Through,
    /// It is lost there, with the box. `y` is the attempt.
    Lost,
    /// The list, where it has to be asked, says from now on that a box is in service (`x` 1) or not (0).
    Published,
    /// A router asked for the list.
    Called,
    /// Its watch is open (`x` 1), was ended (0), or the call failed (-1).
    Watching,
}

/// A record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// When.
    pub at: Time,
    /// What.
    pub what: RecordKind,
    /// The router.
    pub a: u32,
    /// The box, or see [`What`].
    pub b: u32,
    /// The request.
    pub request: u64,
    /// See [`What`].
    pub x: i64,
    /// See [`What`].
    pub y: i64,
}

impl Record {
    /// Its bytes, little end first.
    #[must_use]
    pub fn bytes(&self) -> [u8; 41] {
        let mut bytes = [0; 41];
        bytes[..8].copy_from_slice(&self.at.0.to_le_bytes());
        bytes[8] = self.what as u8;
        bytes[9..13].copy_from_slice(&self.a.to_le_bytes());
        bytes[13..17].copy_from_slice(&self.b.to_le_bytes());
        bytes[17..25].copy_from_slice(&self.request.to_le_bytes());
        bytes[25..33].copy_from_slice(&self.x.to_le_bytes());
        bytes[33..41].copy_from_slice(&self.y.to_le_bytes());
        bytes
    }
}

/// Takes records as they happen.
pub trait Sink {
    /// One more.
    fn record(&mut self, record: Record);
}

/// A log: its digest and its length, and the records if they are kept.
#[derive(Default)]
pub struct Log {
    hash: Xxh3,
    len: u64,
    records: Option<Vec<Record>>,
}

impl Log {
    /// One that keeps its records.
    #[must_use]
    pub fn with_records() -> Self {
        Self { records: Some(Vec::new()), ..Self::default() }
    }

    /// A digest of all records' bytes.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.hash.digest()
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The records, where they were kept.
    #[must_use]
    pub fn into_records(self) -> Vec<Record> {
        self.records.unwrap_or_default()
    }
}

impl Sink for Log {
    fn record(&mut self, record: Record) {
        self.hash.update(&record.bytes());
        self.len += 1;
        if let Some(records) = &mut self.records {
            records.push(record);
        }
    }
}
