//! Reads a history after the run. It shares nothing with the program under test, and takes only what the gate wrote down,
//! and which tokens poolers say that they gained.

use crate::processes::history::{Event, Record};
use serde::Serialize;
use std::collections::BTreeMap;

/// What a history shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Calls that the gate let through.
    pub acts: usize,
    /// Acts that were begun by one process while another one's was under way.
    pub overlapping_acts: usize,
    /// Calls let through after a later token had been seen.
    pub old_tokens_let_through: usize,
    /// Calls that came to the gate after a later token had been seen, let through or not.
    pub late_acts: usize,
    /// Tokens gained that were no higher than one gained before.
    pub tokens_went_back: usize,
    /// Tokens that two processes acted with.
    pub tokens_shared: usize,
    /// Different tokens that were acted with.
    pub tokens: usize,
}

/// What is known of one task.
#[derive(Default)]
struct Task {
    highest: u64,
    gained: u64,
    by: BTreeMap<u64, String>,
    /// Who is in the middle of an act.
    open: BTreeMap<String, u64>,
}

/// The verdict on a history that is sorted by time.
#[must_use]
pub fn audit(records: &[Record]) -> Verdict {
    let mut verdict = Verdict::default();
    let mut tasks: BTreeMap<&str, Task> = BTreeMap::new();
    for (at, record) in records.iter().enumerate() {
        match &record.event {
            Event::Fault { .. } => {}
            Event::Gained { task, token, .. } => {
                let known = tasks.entry(task).or_default();
                verdict.tokens_went_back += usize::from(*token <= known.gained);
                known.gained = known.gained.max(*token);
            }
            Event::Act { task, token, by, step, through } => {
                let known = tasks.entry(task).or_default();
                let late = *token < known.highest;
                verdict.late_acts += usize::from(late);
                known.highest = known.highest.max(*token);
                if known.by.get(token).is_some_and(|other| other != by) {
                    verdict.tokens_shared += 1;
                }
                known.by.entry(*token).or_insert_with(|| by.clone());
                if !through {
                    known.open.remove(by);
                    continue;
                }
                verdict.acts += 1;
                verdict.old_tokens_let_through += usize::from(late);
                if step == "begin" {
                    // An act that somebody else began is under way if its end is still let through.
                    let goes_on = known.open.keys().filter(|other| *other != by);
                    verdict.overlapping_acts +=
                        goes_on.filter(|other| ends(&records[at..], task, other)).count();
                    known.open.insert(by.clone(), *token);
                } else {
                    known.open.remove(by);
                }
            }
        }
    }
    verdict.tokens = tasks.values().map(|task| task.by.len()).sum();
    verdict
}

/// Whether the next that comes of this process is the end of its act, let through.
fn ends(rest: &[Record], of: &str, process: &str) -> bool {
    let next = rest.iter().find_map(|record| match &record.event {
        Event::Act { task, by, step, through, .. } if task == of && by == process => Some((step, *through)),
        _ => None,
    });
    next.is_some_and(|(step, through)| step == "end" && through)
}
