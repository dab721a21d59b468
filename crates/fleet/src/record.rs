//! The log of a run: small records of fixed size, in order; the same seed gives the same bytes.

use linnetdeal_core::Time;
use xxhash_rust::xxh3::Xxh3;

/// The kind of a record. The numbers are part of the log's bytes, and the names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum RecordKind {
    /// A router received from the list that a box is in service (`x` is 1) or not (0). `y` is when the box started, or 0 if that
    /// was long ago.
    Told = 1,
    /// A client sent a request to a router. `x` is its deadline, `y` its session, `b` the class + 256 × the group.
    Asked,
    /// A router sent the first byte of a request to a box. `x` is the attempt.
    Sent,
    /// A box has received all of a request. `x` is the work in µs.
    Came,
    /// An attempt has ended for the router. `x` is the attempt.
    Over,
    /// A write ran and was committed. `x` is the commit.
    Ran,
    /// The write has reached a replica.
    Kept,
    /// The request was served. `x` is the commit of a write, or the position at which a read was answered.
    Served,
    /// The request was refused. `x` is the retry-after in µs.
    Refused,
    /// The request failed.
    Failed,
    /// The router was killed, and its state is lost.
    Killed,
    /// A box started. `x` is its full capacity in work per second.
    Started,
    /// A cold box collapsed from overload.
    Fell,
    /// A trouble began, for plots. `x` is its kind.
    Trouble,
    /// A client's try, recorded before its [`RecordKind::Asked`]. `x` is the client, `y` the number of the try from
    /// 0.
    Try,
    /// A box accepted a job. `x` is its work in µs, `y` the attempt.
    Took,
    /// The box has completed the job. `y` is the attempt.
    Through,
    /// The job was lost with the box. `y` is the attempt.
    Lost,
    /// Where the list has to be polled: it now has a box in service (`x` is 1) or not (0).
    Published,
    /// A router called for the list.
    Called,
    /// A router's watch was opened (`x` is 1) or ended (0), or the call failed (-1).
    Watching,
}

/// An event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// When it happened.
    pub at: Time,
    /// What happened.
    pub what: RecordKind,
    /// The router.
    pub a: u32,
    /// The box, or as described at [`RecordKind`].
    pub b: u32,
    /// The request.
    pub request: u64,
    /// As described at [`RecordKind`].
    pub x: i64,
    /// As described at [`RecordKind`].
    pub y: i64,
}

impl Record {
    /// The record's bytes, little-endian.
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

/// Receives records as they happen.
pub trait Sink {
    /// Receives the next record.
    fn record(&mut self, record: Record);
}

/// A log of records: their digest and number, and the records themselves if they are kept.
#[derive(Default)]
pub struct Log {
    hash: Xxh3,
    len: u64,
    records: Option<Vec<Record>>,
}

impl Log {
    /// A log that keeps its records.
    #[must_use]
    pub fn with_records() -> Self {
        Self { records: Some(Vec::new()), ..Self::default() }
    }

    /// The digest of all records' bytes.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.hash.digest()
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The records, if they were kept.
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
