//! A bounded record of the latest transitions of a group's state, each with its evidence.

use super::{Evidence, Phase};
use crate::interface::{MemberId, Time};
use std::collections::VecDeque;
use std::fmt;

/// The number of transitions that are kept for each group.
pub const MAX_TRANSITIONS: usize = 48;

/// A transition.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// When it happened.
    pub at: Time,
    /// The phase before it.
    pub from: Phase,
    /// The phase after it.
    pub to: Phase,
    /// Its reason.
    pub why: Evidence,
    /// The marked member after it.
    pub member: Option<MemberId>,
}

/// The latest transitions, from the oldest.
#[derive(Clone, Default)]
pub struct Record {
    transitions: VecDeque<Transition>,
    total: u64,
}

impl Record {
    /// Adds a transition. One that repeats the latest with the same marked member is counted, but not kept.
    pub fn add(&mut self, transition: Transition) {
        self.total += 1;
        let repeats = |last: &Transition| {
            (last.from, last.to, last.why) == (transition.from, transition.to, transition.why)
                && last.member == transition.member
        };
        if self.transitions.back().is_some_and(repeats) {
            return;
        }
        if self.transitions.len() == MAX_TRANSITIONS {
            self.transitions.pop_front();
        }
        self.transitions.push_back(transition);
    }

    /// The transitions that are kept.
    pub fn transitions(&self) -> impl Iterator<Item = &Transition> {
        self.transitions.iter()
    }

    /// The number of all transitions so far.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }
}

/// Leaves the contents out: the model check compares states by their debug text, and two states that differ only
/// in their past count as the same.
impl fmt::Debug for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Record")
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} turns", self.total)?;
        for Transition { at, from, to, why, member } in &self.transitions {
            let member = member.as_ref().map_or("-", |member| &member.0);
            write!(f, "; {} us {from:?} -> {to:?} by {why:?} at {member}", at.0)?;
        }
        Ok(())
    }
}
