//! Where the record lives: in the memory of voters, none of which has a disk. [`Store`] is a voter's part, [`Writer`] that of who
//! holds the lease. The argument for safety stands in `docs/design/work.md`.

use super::record::{Message, Record};
use crate::lease::{Token, VoterSet};
use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

/// Numbers of other voters that one remembers of each: a late letter of an earlier number is known by them.
const MOST_NUMBERS: usize = 8;

/// What safety rests on, each part by name, so that the lab can take one away. [`Whole`] is what serves.
pub trait RegisterRules:
    Clone + Copy + std::fmt::Debug + Default + PartialEq + Eq + std::hash::Hash + 'static
{
    /// A voter that starts with empty memory counts for nothing until it has read from a majority.
    const BLANK: bool = true;
    /// A voter promises to store nothing with a lower token than it was read with.
    const PROMISES: bool = true;
    /// What was stored before a restart doesn't count after it.
    const NUMBERS: bool = true;
    /// A holder reads from a majority what its predecessor wrote.
    const READS: bool = true;
}

/// All parts in place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FullRegisterRules;

impl RegisterRules for FullRegisterRules {}

/// What a voter has.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterStore<K> {
    me: u16,
    /// Drawn when it began to read what there is; never 0.
    own: u32,
    blank: bool,
    promised: Token,
    record: Record,
    /// The numbers that other voters have drawn, the latest last.
    numbers: BTreeMap<u16, Vec<u32>>,
    /// Of the own round: who is blank, and who has what.
    heard: BTreeMap<u16, bool>,
    round: u32,
    keeping: PhantomData<K>,
}

/// The quorums of a council, by rules that are all in place.
fn decides(voter_set: &VoterSet, heard: &BTreeSet<u16>) -> bool {
    voter_set.is_quorum::<crate::lease::FullLeaseRules>(heard)
}

impl<K: RegisterRules> VoterStore<K> {
    /// A voter that has just started; `own` is drawn by chance.
    #[must_use]
    pub fn new(me: u16, own: u32) -> Self {
        Self {
            me,
            own: own.max(1),
            blank: K::BLANK,
            promised: Token(0),
            record: Record::default(),
            numbers: BTreeMap::new(),
            heard: BTreeMap::new(),
            round: 0,
            keeping: PhantomData,
        }
    }

    /// It knows nothing yet.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.blank
    }

    /// What it has.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// What a blank one asks all other voters, again and again until it isn't.
    pub fn ask(&mut self, round: u32) -> Option<Message> {
        if !self.blank {
            return None;
        }
        (self.round, self.heard) = (round, BTreeMap::new());
        Some(Message::Read { round, promise: Token(0), own: self.own })
    }

    /// Somebody reads.
    pub fn read(&mut self, from: u16, round: u32, promise: Token, own: u32) -> Message {
        if own != 0 && from != self.me {
            let known = self.numbers.entry(from).or_default();
            if !known.contains(&own) {
                if known.len() == MOST_NUMBERS {
                    known.remove(0);
                }
                known.push(own);
            }
        }
        if !self.blank && K::PROMISES {
            self.promised = self.promised.max(promise);
        }
        let (promised, record) = (self.promised, self.record.clone());
        Message::Seen { round, own: self.own, blank: self.blank, promised, record }
    }

    /// An answer to what a blank one has asked.
    pub fn seen(
        &mut self,
        voter_set: &VoterSet,
        from: u16,
        round: u32,
        blank: bool,
        promised: Token,
        record: &Record,
    ) {
        if !self.blank || round != self.round {
            return;
        }
        self.heard.insert(from, blank);
        if !blank {
            self.promised = self.promised.max(promised);
            if record.revision() > self.record.revision() {
                self.record = record.clone();
            }
        }
        let others = |want: bool| -> BTreeSet<u16> {
            self.heard.iter().filter(|(_, blank)| want || !**blank).map(|(of, _)| *of).collect()
        };
        // A majority of all that does not count this one: it shares a voter with each that has stored anything. Or everybody: then
        // nothing more is to be had anywhere.
        let everybody = voter_set.all_voters().iter().all(|of| *of == self.me || self.heard.contains_key(of));
        if decides(voter_set, &others(false)) || everybody && !others(true).is_empty() {
            self.blank = false;
            self.heard.clear();
        }
    }

    /// Somebody wants a record stored. `voters` are all that are asked, in the order of `numbers`.
    pub fn write(&mut self, voters: &BTreeSet<u16>, numbers: &[u32], record: &Record) -> Message {
        let (token, version) = record.revision();
        let fits = |of: u16, number: u32| {
            if of == self.me {
                return number == self.own;
            }
            // A voter that does not count in this write need not be known.
            number == 0
                || self.numbers.get(&of).and_then(|known| known.last()).is_none_or(|last| *last == number)
        };
        // A write that does not name all goes by another set of voters, or was cut.
        let whole = voters.len() == numbers.len();
        let known = !K::NUMBERS || whole && voters.iter().zip(numbers).all(|(of, number)| fits(*of, *number));
        let refused = self.blank || !known || token < self.promised;
        if !refused && record.revision() >= self.record.revision() {
            (self.promised, self.record) = (token, record.clone());
        }
        Message::Stored { token, version, own: self.own, refused, promised: self.promised }
    }
}

/// How far a writer is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// It asks a majority what there is.
    Reading { answers: BTreeMap<u16, Record> },
    /// This waits to be stored by a majority.
    Writing { record: Record, acks: BTreeSet<u16> },
    /// What it wrote last is stored.
    Settled,
    /// Somebody with a later token has read or written.
    Beaten,
}

/// The part of who holds the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Writer<K> {
    token: Token,
    round: u32,
    voters: BTreeSet<u16>,
    numbers: BTreeMap<u16, u32>,
    phase: Phase,
    record: Record,
    /// It has had something stored: what is to be read was.
    first: bool,
    keeping: PhantomData<K>,
}

impl<K: RegisterRules> Writer<K> {
    /// One that begins to read.
    #[must_use]
    pub fn new(token: Token, round: u32, voters: BTreeSet<u16>) -> Self {
        let phase = if K::READS { Phase::Reading { answers: BTreeMap::new() } } else { Phase::Settled };
        Self {
            token,
            round,
            voters,
            numbers: BTreeMap::new(),
            phase,
            record: Record::default(),
            first: false,
            keeping: PhantomData,
        }
    }

    /// The token.
    #[must_use]
    pub fn token(&self) -> Token {
        self.token
    }

    /// What a majority has stored, once this writer has written, and nothing else waits.
    #[must_use]
    pub fn settled(&self) -> Option<&Record> {
        (self.phase == Phase::Settled && self.first).then_some(&self.record)
    }

    /// It has read, and nothing waits: what there is, to be written anew.
    #[must_use]
    pub fn has_read(&self) -> Option<&Record> {
        (self.phase == Phase::Settled && !self.first).then_some(&self.record)
    }

    /// Somebody with a later token has been here.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.phase == Phase::Beaten
    }

    /// What is to be sent to which voters, now and again until it is answered.
    #[must_use]
    pub fn letters(&self) -> Vec<(u16, Message)> {
        match &self.phase {
            Phase::Reading { answers } => {
                let ask = Message::Read { round: self.round, promise: self.token, own: 0 };
                self.voters
                    .iter()
                    .filter(|of| !answers.contains_key(of))
                    .map(|of| (*of, ask.clone()))
                    .collect()
            }
            Phase::Writing { record, acks } => {
                let numbers =
                    self.voters.iter().map(|of| self.numbers.get(of).copied().unwrap_or(0)).collect();
                let write = Message::Write { numbers, record: record.clone() };
                self.voters.iter().filter(|of| !acks.contains(of)).map(|of| (*of, write.clone())).collect()
            }
            Phase::Settled | Phase::Beaten => Vec::new(),
        }
    }

    /// Has this stored in place of what was; `record`'s token and version are put in.
    pub fn write(&mut self, mut record: Record) {
        if self.phase != Phase::Settled {
            return;
        }
        (record.token, record.version) = (self.token, self.record.version + 1);
        self.phase = Phase::Writing { record, acks: BTreeSet::new() };
    }

    /// An answer to a read.
    pub fn seen(
        &mut self,
        voter_set: &VoterSet,
        from: u16,
        (round, own): (u32, u32),
        blank: bool,
        promised: Token,
        record: Record,
    ) {
        let token = self.token;
        let Phase::Reading { answers } = &mut self.phase else { return };
        if round != self.round || !self.voters.contains(&from) {
            return;
        }
        if promised > token {
            self.phase = Phase::Beaten;
            return;
        }
        // A promise of less is an answer to something else.
        if blank || K::PROMISES && promised < token {
            return;
        }
        self.numbers.insert(from, own);
        answers.insert(from, record);
        if decides(voter_set, &answers.keys().copied().collect()) {
            let newest = answers.values().max_by_key(|record| record.revision()).cloned();
            self.record = newest.unwrap_or_default();
            self.phase = Phase::Settled;
        }
    }

    /// An answer to a write.
    pub fn stored(
        &mut self,
        voter_set: &VoterSet,
        from: u16,
        (token, version): (Token, u32),
        own: u32,
        refused: bool,
        promised: Token,
    ) {
        if !self.voters.contains(&from) || token != self.token {
            return;
        }
        let own_token = self.token;
        let Phase::Writing { record, acks } = &mut self.phase else { return };
        if promised > own_token {
            self.phase = Phase::Beaten;
            return;
        }
        if version != record.version {
            return;
        }
        let before = self.numbers.get(&from).copied();
        if K::NUMBERS && before != Some(own) {
            // It has started anew since. What others have stored without knowing that counts for nothing, and if it was one of
            // those that were read, so does the promise that it gave.
            if before.is_some() && !self.first {
                (self.round, self.phase) =
                    (self.round.wrapping_add(1), Phase::Reading { answers: BTreeMap::new() });
                self.numbers.clear();
                return;
            }
            self.numbers.insert(from, own);
            record.version += 1;
            acks.clear();
            return;
        }
        if refused {
            return;
        }
        acks.insert(from);
        if decides(voter_set, acks) {
            let record = record.clone();
            (self.record, self.phase, self.first) = (record, Phase::Settled, true);
        }
    }
}
