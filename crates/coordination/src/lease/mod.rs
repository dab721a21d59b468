//! Leases: a task is done by one pooler at a time, its holder, who has a token that only grows. [`Voter`] is what a voter
//! remembers, [`Claimant`] one pooler's side of one task, [`Node`] all of one pooler with its messages. The argument for
//! safety stands in `docs/design/leases.md`.

mod claimant;
mod message;
mod node;
mod voter;
mod voter_set;

pub use claimant::{Claimant, Round, Stage, Step};
pub(crate) use message::Reader;
pub use message::{Body, DatagramError, Key, LONGEST, Letter, MAGIC, Position, Seen, open, seal, sign};
pub use node::{LeaseEvent, LeaseSetup, Node, TaskSetup, TaskView};
pub use voter::{Answer, Holder, MOST_TASKS, Voter};
pub use voter_set::VoterSet;

use linnetdeal_core::Span;
use std::fmt::Debug;
use std::hash::Hash;

/// A task by what stands for its name in a datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u32);

impl TaskId {
    /// What stands for this name (FNV-1a). Two names of one installation with the same are a fault of its file.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)))
    }
}

/// What an act carries: of two holders the later one's is higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// One life of one pooler: the place of its name among all, and a number drawn at its start, so that neither a restart nor
/// a second process of the same name is taken for the one that was granted something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolerInstance {
    /// Its number among the poolers.
    pub number: u16,
    /// Drawn at its start.
    pub incarnation: u64,
}

/// What safety rests on, each part by name, so that the lab can take one away and show that its checks find that.
/// [`FullLeaseRules`] is what serves.
pub trait LeaseRules: Clone + Copy + Debug + Default + PartialEq + Eq + Hash + 'static {
    /// A voter without memory says nothing for the longest term.
    const SILENT_AFTER_START: bool = true;
    /// The holder counts its term from before the claim was sent.
    const TERM_FROM_SEND: bool = true;
    /// A voter grants only tokens above all that it knows of.
    const TOKENS_ABOVE_FLOOR: bool = true;
    /// A running grant to somebody else is respected.
    const EXCLUSIVE: bool = true;

    /// How many of so many voters decide.
    #[must_use]
    fn quorum(voters: usize) -> usize {
        voters / 2 + 1
    }

    /// How long a holder may act on a term, where clocks run wrong by up to `drift` parts in a thousand.
    #[must_use]
    fn usable_term(term: Span, drift: u16) -> Span {
        let drift = i64::from(drift.min(999));
        Span(term.0 / (1_000 + drift) * (1_000 - drift))
    }
}

/// All parts in place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FullLeaseRules;

impl LeaseRules for FullLeaseRules {}
