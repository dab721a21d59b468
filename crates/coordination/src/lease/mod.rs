//! Leases: each task has at most one holder among the poolers at a time, which acts with a fencing token that
//! only grows. [`Voter`] is the memory of one voter, [`Claimant`] is one pooler's side of one task, and
//! [`Node`] combines both with the datagrams of one pooler. `docs/design/leases.md` has the safety argument.

mod claimant;
mod message;
mod node;
mod voter;
mod voter_set;

pub use claimant::{Claimant, Round, Stage, Step};
pub(crate) use message::Reader;
pub use message::{
    Body, Datagram, DatagramError, HeldTask, Key, MAGIC, MAX_DATAGRAM_BYTES, Position, append_mac, decode,
    encode,
};
pub use node::{LeaseEvent, LeaseSetup, Node, TaskSetup, TaskView};
pub use voter::{Answer, Holder, MAX_TASKS, Voter};
pub use voter_set::VoterSet;

use linnetdeal_core::Span;
use std::fmt::Debug;
use std::hash::Hash;

/// Identifies a task in a datagram: a 32-bit hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u32);

impl TaskId {
    /// Hashes a task name (FNV-1a). Two task names with the same hash are a configuration error.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)))
    }
}

/// Fencing token that accompanies each act: a later holder always has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// One process of one pooler: the pooler's number, and a random number drawn at start. A grant to an earlier
/// process of the pooler, or to a second process of the same name, is thereby never taken for a grant to this
/// one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolerInstance {
    /// The pooler's number in the fleet.
    pub number: u16,
    /// Random number drawn when the process starts.
    pub incarnation: u64,
}

/// The rules on which safety rests. Each can be switched off by itself, so that the lab can show that its
/// checks detect the missing rule. [`FullLeaseRules`] is what production code uses.
pub trait LeaseRules: Clone + Copy + Debug + Default + PartialEq + Eq + Hash + 'static {
    /// A voter that starts with empty memory does not vote for the longest term.
    const SILENT_AFTER_START: bool = true;
    /// The holder counts its term from before the claim was sent, not from the answer.
    const TERM_FROM_SEND: bool = true;
    /// A voter grants only tokens above every token that it knows of.
    const TOKENS_ABOVE_FLOOR: bool = true;
    /// A voter does not grant a task while a grant to another process is running.
    const EXCLUSIVE: bool = true;

    /// The size of a quorum of `voters` voters.
    #[must_use]
    fn quorum(voters: usize) -> usize {
        voters / 2 + 1
    }

    /// How long a holder may act on a grant of `term`, where clock rates are off by up to `drift` parts per
    /// thousand.
    #[must_use]
    fn usable_term(term: Span, drift: u16) -> Span {
        let drift = i64::from(drift.min(999));
        Span(term.0 / (1_000 + drift) * (1_000 - drift))
    }
}

/// All rules in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FullLeaseRules;

impl LeaseRules for FullLeaseRules {}
