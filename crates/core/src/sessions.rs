//! The latest commit of each session, so that its reads see its writes, within a bound on memory.
//!
//! A commit that every member has applied is no longer needed. Where a member never reports its position, that is
//! never known; in that case the older half is evicted, and every session that is not remembered is assumed to
//! have written as late as the latest evicted commit. This requires more of some reads than necessary, and never
//! less.

use crate::interface::{SessionKey, Time};
use std::collections::HashMap;
use std::fmt;

/// The number of sessions above which [`Sessions::evict`] removes some.
pub const MAX_SESSIONS: usize = 8_192;

/// The commits of sessions.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    commits: HashMap<SessionKey, Time>,
    /// The latest commit among those that were evicted.
    evicted: Option<Time>,
    /// How many commits were evicted.
    evictions: u64,
}

impl Sessions {
    /// The position that a read of the session must see.
    #[must_use]
    pub fn last_commit(&self, session: SessionKey) -> Option<Time> {
        self.commits.get(&session).copied().or(self.evicted)
    }

    /// Records that a write of the session was committed at this position.
    pub fn record_commit(&mut self, session: SessionKey, commit: Time) {
        let latest = self.commits.entry(session).or_insert(commit);
        *latest = commit.max(*latest);
    }

    /// Evicts commits once there are more than [`MAX_SESSIONS`]. `applied_everywhere` gives the position that every
    /// member is known to have applied, if there is one.
    pub fn evict(&mut self, applied_everywhere: impl FnOnce() -> Option<Time>) {
        if self.commits.len() <= MAX_SESSIONS {
            return;
        }
        let count_before = self.commits.len();
        if let Some(applied_everywhere) = applied_everywhere() {
            self.commits.retain(|_, commit| *commit > applied_everywhere);
        }
        if self.commits.len() > MAX_SESSIONS {
            self.evict_older_half();
        }
        self.evictions += (count_before - self.commits.len()) as u64;
    }

    fn evict_older_half(&mut self) {
        let mut commits: Vec<Time> = self.commits.values().copied().collect();
        let middle = commits.len() / 2;
        let latest = *commits.select_nth_unstable(middle).1;
        self.commits.retain(|_, commit| *commit > latest);
        self.evicted = self.evicted.max(Some(latest));
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
        let floor_us = self.evicted.map_or(0, |position| position.0);
        write!(f, "sessions remembered={} evicted={} floor_us={floor_us}", self.len(), self.evictions)
    }
}
