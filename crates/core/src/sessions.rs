//! What sessions have written, so that their reads see it: the latest commit of each session, within a bound.
//!
//! A commit that every member has is of no more use. Where a member never tells how far it is, that is never known; then the
//! older half is let go of, and every session that is not remembered is taken to have written as late as the latest of those.
//! That asks for more than it has to, and never for less.

use crate::interface::{SessionKey, Time};
use std::collections::HashMap;

/// No more sessions than this are remembered for long.
pub const MOST: usize = 8_192;

/// The sessions.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    commits: HashMap<SessionKey, Time>,
    /// The latest commit of all that were let go of.
    forgotten: Option<Time>,
}

impl Sessions {
    /// What a read of the session must see.
    #[must_use]
    pub fn must_see(&self, session: SessionKey) -> Option<Time> {
        self.commits.get(&session).copied().or(self.forgotten)
    }

    /// A write of the session was committed at this position.
    pub fn wrote(&mut self, session: SessionKey, commit: Time) {
        let latest = self.commits.entry(session).or_insert(commit);
        *latest = commit.max(*latest);
    }

    /// Lets go of what is of no use once there are too many. `everywhere`: what every member is known to have.
    pub fn trim(&mut self, everywhere: impl FnOnce() -> Option<Time>) {
        if self.commits.len() <= MOST {
            return;
        }
        if let Some(everywhere) = everywhere() {
            self.commits.retain(|_, commit| *commit > everywhere);
        }
        if self.commits.len() > MOST {
            self.forget_older_half();
        }
    }

    fn forget_older_half(&mut self) {
        let mut commits: Vec<Time> = self.commits.values().copied().collect();
        let middle = commits.len() / 2;
        let latest = *commits.select_nth_unstable(middle).1;
        self.commits.retain(|_, commit| *commit > latest);
        self.forgotten = self.forgotten.max(Some(latest));
    }

    /// How many are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.commits.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.commits.is_empty()
    }
}
