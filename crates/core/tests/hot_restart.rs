//! The state shared by processes during a hot restart, and the shutdown schedule.

use linnetdeal_core::hot_restart::{DrainChanges, OperatorDrains, ShutdownSchedule};
use linnetdeal_core::{MemberId, Span};
use std::collections::BTreeSet;

fn ids(names: &[&str]) -> BTreeSet<MemberId> {
    names.iter().map(|id| MemberId((*id).into())).collect()
}

fn changes(out: &[&str], back: &[&str]) -> DrainChanges {
    DrainChanges { out: ids(out).into_iter().collect(), back: ids(back).into_iter().collect() }
}

#[test]
fn an_update_returns_only_changes_by_the_other_process() {
    let mut drains = OperatorDrains::default();
    assert_eq!(drains.update(ids(&["a", "b"])), changes(&["a", "b"], &[]));
    assert_eq!(drains.update(ids(&["a", "b"])), changes(&[], &[]), "changes are reported once");
    // Changes by this process itself are not reported.
    drains.record(&MemberId("c".into()), true);
    drains.record(&MemberId("a".into()), false);
    assert_eq!(drains.update(ids(&["b", "c"])), changes(&[], &[]));
    assert_eq!(drains.update(ids(&["c", "d"])), changes(&["d"], &["b"]));
    // A drain that could not be written was never part of the shared state, so its absence ends nothing.
    assert_eq!(drains.update(ids(&[])), changes(&[], &["c", "d"]));
    assert_eq!(drains.update(ids(&[])), changes(&[], &[]));
}

#[test]
fn a_process_exits_in_time_and_a_superseded_one_stops_accepting_at_once() {
    for ms in [0, 1, 100, 200, 300, 400, 1_000, 3_000, 5_000, 60_000] {
        // SIGKILL comes after the longest deadline, of which at most 3 s count, plus 0.7 s.
        let kill = Span::millis(ms.min(3_000) + 700);
        let (alone, superseded) =
            (ShutdownSchedule::plan(Span::millis(ms), false), ShutdownSchedule::plan(Span::millis(ms), true));
        for schedule in [alone, superseded] {
            assert!(schedule.answer_open < schedule.exit && schedule.exit < kill, "{ms}: {schedule:?}");
            // The steps are carried out in order: none may delay the last answers.
            assert!(
                schedule.close_idle <= schedule.answer_open
                    && schedule.stop_accepting <= schedule.answer_open,
                "{ms}: {schedule:?}"
            );
        }
        assert!(superseded.close_idle < superseded.answer_open, "{ms}: {superseded:?}");
        assert!(alone.stop_accepting >= Span::millis(400), "connections keep arriving: {alone:?}");
        assert_eq!(
            (superseded.stop_accepting, superseded.close_on_answer, alone.close_on_answer),
            (Span(0), Some(Span(0)), None)
        );
    }
}
