//! A flight recorder: the latest turns of a group's state, each with its evidence.

use super::{Evidence, Phase};
use crate::interface::{MemberId, Time};
use std::collections::VecDeque;
use std::fmt;

/// So many turns are kept for each group.
pub const KEPT: usize = 48;

/// A turn.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
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
    lines: VecDeque<Line>,
    all: u64,
}

impl Record {
    /// One more. The same again at the same member is counted, and not kept.
    pub fn add(&mut self, line: Line) {
        self.all += 1;
        let again = |last: &Line| {
            (last.from, last.to, last.why) == (line.from, line.to, line.why) && last.member == line.member
        };
        if self.lines.back().is_some_and(again) {
            return;
        }
        if self.lines.len() == KEPT {
            self.lines.pop_front();
        }
        self.lines.push_back(line);
    }

    /// What is kept.
    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.lines.iter()
    }

    /// How many turns there were.
    #[must_use]
    pub fn all(&self) -> u64 {
        self.all
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
        write!(f, "{} turns", self.all)?;
        for Line { at, from, to, why, member } in &self.lines {
            let member = member.as_ref().map_or("-", |member| &member.0);
            write!(f, "; {} us {from:?} -> {to:?} by {why:?} at {member}", at.0)?;
        }
        Ok(())
    }
}
