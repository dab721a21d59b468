//! Replicated register that holds the record. It lives in the memory of the voters, none of which has a disk.
//! [`VoterStore`] is a voter's part, and [`Writer`] that of the lease holder. `docs/design/work.md` has the
//! safety argument.

use super::record::{Message, Record};
use crate::lease::{Token, VoterSet};
use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

/// How many memory ids are remembered of each other voter, so that a late datagram with an earlier id is
/// recognized.
const MAX_MEMORY_IDS: usize = 8;

/// The rules on which safety rests. Each can be switched off by itself, so that tests can show that their
/// checks detect the missing rule. [`FullRegisterRules`] is what production code uses.
pub trait RegisterRules:
    Clone + Copy + std::fmt::Debug + Default + PartialEq + Eq + std::hash::Hash + 'static
{
    /// A voter that starts with empty memory counts for nothing until it has read from a majority.
    const BLANK_AFTER_START: bool = true;
    /// A voter that was read with a token promises to store nothing with a lower one.
    const PROMISES: bool = true;
    /// What a voter stored before a restart does not count after it.
    const MEMORY_IDS: bool = true;
    /// A holder reads what its predecessor wrote from a majority before it writes.
    const READ_FIRST: bool = true;
}

/// All rules in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FullRegisterRules;

impl RegisterRules for FullRegisterRules {}

/// The part of one voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterStore<K> {
    me: u16,
    /// Random number drawn when the memory was created, which identifies it; never 0.
    memory_id: u32,
    blank: bool,
    promised: Token,
    record: Record,
    /// Memory ids of the other voters, the latest last.
    memory_ids: BTreeMap<u16, Vec<u32>>,
    /// Answers to the own recovery round: which voters are blank.
    answers: BTreeMap<u16, bool>,
    round: u32,
    rules: PhantomData<K>,
}

/// Whether `answered` is a quorum of all sets, with all lease rules in force.
fn is_quorum(voter_set: &VoterSet, answered: &BTreeSet<u16>) -> bool {
    voter_set.is_quorum::<crate::lease::FullLeaseRules>(answered)
}

impl<K: RegisterRules> VoterStore<K> {
    /// A voter that has just started; `memory_id` is drawn at random.
    #[must_use]
    pub fn new(me: u16, memory_id: u32) -> Self {
        Self {
            me,
            memory_id: memory_id.max(1),
            blank: K::BLANK_AFTER_START,
            promised: Token(0),
            record: Record::default(),
            memory_ids: BTreeMap::new(),
            answers: BTreeMap::new(),
            round: 0,
            rules: PhantomData,
        }
    }

    /// Whether the voter has started with empty memory and has not yet read what a majority has.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.blank
    }

    /// The stored record.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The read that a blank voter sends to all other voters, repeatedly until it is no longer blank.
    pub fn recovery_read(&mut self, round: u32) -> Option<Message> {
        if !self.blank {
            return None;
        }
        (self.round, self.answers) = (round, BTreeMap::new());
        Some(Message::Read { round, promise: Token(0), memory_id: self.memory_id })
    }

    /// Handles a read by a writer or a blank voter.
    pub fn read(&mut self, from: u16, round: u32, promise: Token, memory_id: u32) -> Message {
        if memory_id != 0 && from != self.me {
            let known_ids = self.memory_ids.entry(from).or_default();
            if !known_ids.contains(&memory_id) {
                if known_ids.len() == MAX_MEMORY_IDS {
                    known_ids.remove(0);
                }
                known_ids.push(memory_id);
            }
        }
        if !self.blank && K::PROMISES {
            self.promised = self.promised.max(promise);
        }
        let (promised, record) = (self.promised, self.record.clone());
        Message::ReadReply { round, memory_id: self.memory_id, blank: self.blank, promised, record }
    }

    /// Handles an answer to the own recovery read.
    pub fn on_read_reply(
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
        self.answers.insert(from, blank);
        if !blank {
            self.promised = self.promised.max(promised);
            if record.revision() > self.record.revision() {
                self.record = record.clone();
            }
        }
        let answered = |include_blank: bool| -> BTreeSet<u16> {
            self.answers
                .iter()
                .filter(|(_, blank)| include_blank || !**blank)
                .map(|(voter, _)| *voter)
                .collect()
        };
        // A majority that does not include this voter has a voter in common with each majority that has stored
        // anything. If all voters have answered, there is nothing more to be had anywhere.
        let all_answered =
            voter_set.all_voters().iter().all(|voter| *voter == self.me || self.answers.contains_key(voter));
        if is_quorum(voter_set, &answered(false)) || all_answered && !answered(true).is_empty() {
            self.blank = false;
            self.answers.clear();
        }
    }

    /// Handles a write. `voters` are all voters asked, in the order of `memory_ids`.
    pub fn write(&mut self, voters: &BTreeSet<u16>, memory_ids: &[u32], record: &Record) -> Message {
        let (token, version) = record.revision();
        let matches = |voter: u16, id: u32| {
            if voter == self.me {
                return id == self.memory_id;
            }
            // A voter that does not count in this write need not be known.
            id == 0
                || self
                    .memory_ids
                    .get(&voter)
                    .and_then(|known_ids| known_ids.last())
                    .is_none_or(|last| *last == id)
        };
        // A write that does not name all voters uses another voter set, or was truncated.
        let complete = voters.len() == memory_ids.len();
        let is_current = !K::MEMORY_IDS
            || complete && voters.iter().zip(memory_ids).all(|(voter, id)| matches(*voter, *id));
        let refused = self.blank || !is_current || token < self.promised;
        if !refused && record.revision() >= self.record.revision() {
            (self.promised, self.record) = (token, record.clone());
        }
        Message::WriteReply { token, version, memory_id: self.memory_id, refused, promised: self.promised }
    }
}

/// State of a writer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// It reads from a majority.
    Reading { answers: BTreeMap<u16, Record> },
    /// It waits for a majority to store this.
    Writing { record: Record, acks: BTreeSet<u16> },
    /// Nothing is pending: what it read or wrote last is in `record`.
    Idle,
    /// A holder with a later token has read or written.
    Superseded,
}

/// The part of the lease holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Writer<K> {
    token: Token,
    round: u32,
    voters: BTreeSet<u16>,
    memory_ids: BTreeMap<u16, u32>,
    phase: Phase,
    record: Record,
    /// Whether this writer has had a record stored; until then `record` is what it has read.
    has_written: bool,
    rules: PhantomData<K>,
}

impl<K: RegisterRules> Writer<K> {
    /// A writer that begins to read.
    #[must_use]
    pub fn new(token: Token, round: u32, voters: BTreeSet<u16>) -> Self {
        let phase = if K::READ_FIRST { Phase::Reading { answers: BTreeMap::new() } } else { Phase::Idle };
        Self {
            token,
            round,
            voters,
            memory_ids: BTreeMap::new(),
            phase,
            record: Record::default(),
            has_written: false,
            rules: PhantomData,
        }
    }

    /// The token.
    #[must_use]
    pub fn token(&self) -> Token {
        self.token
    }

    /// The record that a majority has stored, once this writer has written and nothing is pending.
    #[must_use]
    pub fn committed(&self) -> Option<&Record> {
        (self.phase == Phase::Idle && self.has_written).then_some(&self.record)
    }

    /// The record that was read, before this writer's first write; it is to be written again with this writer's
    /// token.
    #[must_use]
    pub fn recovered(&self) -> Option<&Record> {
        (self.phase == Phase::Idle && !self.has_written).then_some(&self.record)
    }

    /// Whether a holder with a later token was observed.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.phase == Phase::Superseded
    }

    /// Messages to be sent, with the voters to send them to; to be repeated until they are answered.
    #[must_use]
    pub fn pending_messages(&self) -> Vec<(u16, Message)> {
        match &self.phase {
            Phase::Reading { answers } => {
                let read = Message::Read { round: self.round, promise: self.token, memory_id: 0 };
                self.voters
                    .iter()
                    .filter(|voter| !answers.contains_key(voter))
                    .map(|voter| (*voter, read.clone()))
                    .collect()
            }
            Phase::Writing { record, acks } => {
                let memory_ids = self
                    .voters
                    .iter()
                    .map(|voter| self.memory_ids.get(voter).copied().unwrap_or(0))
                    .collect();
                let write = Message::Write { memory_ids, record: record.clone() };
                self.voters
                    .iter()
                    .filter(|voter| !acks.contains(voter))
                    .map(|voter| (*voter, write.clone()))
                    .collect()
            }
            Phase::Idle | Phase::Superseded => Vec::new(),
        }
    }

    /// Starts to store a record in place of the present one; sets its token and version.
    pub fn write(&mut self, mut record: Record) {
        if self.phase != Phase::Idle {
            return;
        }
        (record.token, record.version) = (self.token, self.record.version + 1);
        self.phase = Phase::Writing { record, acks: BTreeSet::new() };
    }

    /// Handles an answer to a read.
    pub fn on_read_reply(
        &mut self,
        voter_set: &VoterSet,
        from: u16,
        (round, memory_id): (u32, u32),
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
            self.phase = Phase::Superseded;
            return;
        }
        // An answer with a lower promise belongs to another read.
        if blank || K::PROMISES && promised < token {
            return;
        }
        self.memory_ids.insert(from, memory_id);
        answers.insert(from, record);
        if is_quorum(voter_set, &answers.keys().copied().collect()) {
            let newest = answers.values().max_by_key(|record| record.revision()).cloned();
            self.record = newest.unwrap_or_default();
            self.phase = Phase::Idle;
        }
    }

    /// Handles an answer to a write.
    pub fn on_write_reply(
        &mut self,
        voter_set: &VoterSet,
        from: u16,
        (token, version): (Token, u32),
        memory_id: u32,
        refused: bool,
        promised: Token,
    ) {
        if !self.voters.contains(&from) || token != self.token {
            return;
        }
        let own_token = self.token;
        let Phase::Writing { record, acks } = &mut self.phase else { return };
        if promised > own_token {
            self.phase = Phase::Superseded;
            return;
        }
        if version != record.version {
            return;
        }
        let known_id = self.memory_ids.get(&from).copied();
        if K::MEMORY_IDS && known_id != Some(memory_id) {
            // The voter has restarted since. What others have stored without knowing that does not count, and
            // if the voter was among those that were read, neither does the promise that it gave.
            if known_id.is_some() && !self.has_written {
                (self.round, self.phase) =
                    (self.round.wrapping_add(1), Phase::Reading { answers: BTreeMap::new() });
                self.memory_ids.clear();
                return;
            }
            self.memory_ids.insert(from, memory_id);
            record.version += 1;
            acks.clear();
            return;
        }
        if refused {
            return;
        }
        acks.insert(from);
        if is_quorum(voter_set, acks) {
            let record = record.clone();
            (self.record, self.phase, self.has_written) = (record, Phase::Idle, true);
        }
    }
}
