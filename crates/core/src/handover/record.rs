//! A flight recorder: the latest turns of a group's state, each with its evidence.

use super::{Evidence, Phase};
use crate::interface::{MemberId, Time};
use std::collections::VecDeque;
use std::fmt;

/// So many turns are kept for each group.
pub const MAX_TRANSITIONS: usize = 48;

/// A turn.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// When.
    pub at: Time,
    /// The state before.
    pub from: Phase,
    /// The state after.
    pub to: Phase,
    /// What turned it.
    pub why: Evidence,
    /// The marked member after it.
    pub member: Option<MemberId>,
}

/// The latest turns, the oldest first.
#[derive(Clone, Default)]
pub struct Record {
    transitions: VecDeque<Transition>,
    total: u64,
}

impl Record {
    /// One more. The same again at the same member is counted, and not kept.
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

    /// What is kept.
    pub fn transitions(&self) -> impl Iterator<Item = &Transition> {
        self.transitions.iter()
    }

    /// How many turns there were.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }
}

/// Two states that differ in their past alone are alike to whoever compares them by their text, as the model check does.
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
