//! Audits a history after the run. It shares no code with the program under test, and uses only the calls that
//! the gate recorded and the tokens that poolers logged as gained.

use crate::processes::history::{Event, Record};
use serde::Serialize;
use std::collections::BTreeMap;

/// Result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Calls that the gate let through.
    pub acts: usize,
    /// Acts begun by one process while an act of another process was in progress.
    pub overlapping_acts: usize,
    /// Calls let through after a later token had been seen.
    pub old_tokens_let_through: usize,
    /// Calls that reached the gate after a later token had been seen, whether let through or not.
    pub late_acts: usize,
    /// Gained tokens that were no higher than one gained before.
    pub tokens_went_back: usize,
    /// Acts with a token that another process had acted with before.
    pub tokens_shared: usize,
    /// Number of distinct tokens used in acts.
    pub tokens: usize,
}

/// Audit state of one task.
#[derive(Default)]
struct Task {
    /// Highest token seen at the gate.
    highest: u64,
    /// Highest token that a pooler gained.
    highest_gained: u64,
    /// The first process that acted with each token.
    first_user: BTreeMap<u64, String>,
    /// Processes with an act in progress, and its token.
    in_progress: BTreeMap<String, u64>,
}

/// Audits a history that is sorted by time.
#[must_use]
pub fn audit(records: &[Record]) -> Verdict {
    let mut verdict = Verdict::default();
    let mut tasks: BTreeMap<&str, Task> = BTreeMap::new();
    for (index, record) in records.iter().enumerate() {
        match &record.event {
            Event::Fault { .. } => {}
            Event::Gained { task, token, .. } => {
                let state = tasks.entry(task).or_default();
                verdict.tokens_went_back += usize::from(*token <= state.highest_gained);
                state.highest_gained = state.highest_gained.max(*token);
            }
            Event::Act { task, token, by, step, through } => {
                let state = tasks.entry(task).or_default();
                let late = *token < state.highest;
                verdict.late_acts += usize::from(late);
                state.highest = state.highest.max(*token);
                if state.first_user.get(token).is_some_and(|other| other != by) {
                    verdict.tokens_shared += 1;
                }
                state.first_user.entry(*token).or_insert_with(|| by.clone());
                if !through {
                    state.in_progress.remove(by);
                    continue;
                }
                verdict.acts += 1;
                verdict.old_tokens_let_through += usize::from(late);
                if step == "begin" {
                    // An act of another process is in progress if its end is let through later.
                    let others = state.in_progress.keys().filter(|other| *other != by);
                    verdict.overlapping_acts +=
                        others.filter(|other| act_completes(&records[index..], task, other)).count();
                    state.in_progress.insert(by.clone(), *token);
                } else {
                    state.in_progress.remove(by);
                }
            }
        }
    }
    verdict.tokens = tasks.values().map(|task| task.first_user.len()).sum();
    verdict
}

/// Whether the next call of this process for the task is the end of its act, and is let through.
fn act_completes(rest: &[Record], task_name: &str, process: &str) -> bool {
    let next = rest.iter().find_map(|record| match &record.event {
        Event::Act { task, by, step, through, .. } if task == task_name && by == process => {
            Some((step, *through))
        }
        _ => None,
    });
    next.is_some_and(|(step, through)| step == "end" && through)
}
