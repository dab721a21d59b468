//! The latest commit of each session, so that its reads see its writes, within a bound on memory.
//!
//! A commit that every member in service has applied is evicted first, then the older half of the rest: a member
//! that never reports its position would otherwise keep all of them. Whatever is evicted raises the floor, the
//! position that the reads of sessions without a remembered commit require. Without it, a member that was out of
//! service during the eviction would serve them when it is back, although it is still behind. With it, more is
//! required of some reads than necessary, and never less.

use crate::interface::{SessionKey, Time};
use std::collections::HashMap;
use std::fmt;

/// The number of sessions above which [`Sessions::evict`] removes some.
pub const MAX_SESSIONS: usize = 8_192;

/// What is known of the latest commit of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastCommit {
    /// It is at this position.
    At(Time),
    /// It was evicted, or the session has not written: it is at this position at the latest.
    AtMost(Time),
}

impl LastCommit {
    /// The position that a read of the session must see.
    #[must_use]
    pub fn required_position(self) -> Time {
        match self {
            Self::At(position) | Self::AtMost(position) => position,
        }
    }

    /// The position that a member which checks its reads has applied when it answers one of the session. It knows
    /// only of the session's own writes, so that an upper bound is not proven.
    #[must_use]
    pub fn proven_position(self) -> Option<Time> {
        match self {
            Self::At(position) => Some(position),
            Self::AtMost(_) => None,
        }
    }
}

/// The commits of sessions.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    /// All of them are later than the floor.
    commits: HashMap<SessionKey, Time>,
    /// The latest commit among those that were evicted.
    floor: Option<Time>,
    /// How many commits were evicted.
    evictions: u64,
}

impl Sessions {
    /// The latest commit of the session; `None` if it has not written.
    #[must_use]
    pub fn last_commit(&self, session: SessionKey) -> Option<LastCommit> {
        let remembered = self.commits.get(&session).copied().map(LastCommit::At);
        remembered.or(self.floor.map(LastCommit::AtMost))
    }

    /// Records that a write of the session was committed at this position.
    pub fn record_commit(&mut self, session: SessionKey, commit: Time) {
        // The session may have written later than that, and the later commit may have been evicted.
        if Some(commit) <= self.floor {
            return;
        }
        let latest = self.commits.entry(session).or_insert(commit);
        *latest = commit.max(*latest);
    }

    /// Evicts commits once there are more than [`MAX_SESSIONS`]. `applied_everywhere` gives the position that every
    /// member in service is known to have applied, if there is one.
    pub fn evict(&mut self, applied_everywhere: impl FnOnce() -> Option<Time>) {
        if self.commits.len() <= MAX_SESSIONS {
            return;
        }
        if let Some(applied_everywhere) = applied_everywhere() {
            self.evict_up_to(applied_everywhere);
        }
        if self.commits.len() > MAX_SESSIONS {
            let mut commits: Vec<Time> = self.commits.values().copied().collect();
            let middle = commits.len() / 2;
            let median = *commits.select_nth_unstable(middle).1;
            self.evict_up_to(median);
        }
    }

    /// Evicts the commits at this position and before it, and raises the floor to the latest of them.
    fn evict_up_to(&mut self, position: Time) {
        let count_before = self.commits.len();
        let evicted = self.commits.values().copied().filter(|commit| *commit <= position);
        self.floor = self.floor.max(evicted.max());
        self.commits.retain(|_, commit| *commit > position);
        self.evictions += (count_before - self.commits.len()) as u64;
    }

    /// The number of sessions that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.commits.len()
    }

    /// Whether no session is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.commits.is_empty()
    }
}

/// One line for the status log.
impl fmt::Display for Sessions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let floor_us = self.floor.map_or(0, |position| position.0);
        write!(f, "sessions remembered={} evicted={} floor_us={floor_us}", self.len(), self.evictions)
    }
}
