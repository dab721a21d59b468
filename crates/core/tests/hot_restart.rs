//! What processes that take each other's place share, and how one leaves.

use linnetdeal_core::hot_restart::{DrainChanges, OperatorDrains, ShutdownSchedule};
use linnetdeal_core::{MemberId, Span};
use std::collections::BTreeSet;

fn ids(of: &[&str]) -> BTreeSet<MemberId> {
    of.iter().map(|id| MemberId((*id).into())).collect()
}

fn changes(out: &[&str], back: &[&str]) -> DrainChanges {
    DrainChanges { out: ids(out).into_iter().collect(), back: ids(back).into_iter().collect() }
}

#[test]
fn a_look_tells_only_what_the_other_process_did() {
    let mut bans = OperatorDrains::default();
    assert_eq!(bans.update(ids(&["a", "b"])), changes(&["a", "b"], &[]));
    assert_eq!(bans.update(ids(&["a", "b"])), changes(&[], &[]), "once");
    // The own calls are no news, whichever way they went.
    bans.record(&MemberId("c".into()), true);
    bans.record(&MemberId("a".into()), false);
    assert_eq!(bans.update(ids(&["b", "c"])), changes(&[], &[]));
    assert_eq!(bans.update(ids(&["c", "d"])), changes(&["d"], &["b"]));
    // One that could not be written down was never among them, so its absence ends nothing.
    assert_eq!(bans.update(ids(&[])), changes(&[], &["c", "d"]));
    assert_eq!(bans.update(ids(&[])), changes(&[], &[]));
}

#[test]
fn a_process_leaves_in_time_and_at_once_where_its_place_is_taken() {
    for ms in [0, 1, 100, 200, 300, 400, 1_000, 3_000, 5_000, 60_000] {
        // SIGKILL comes after the longest deadline, counted as 3 s at most, and 0.7 s.
        let kill = Span::millis(ms.min(3_000) + 700);
        let (alone, taken) =
            (ShutdownSchedule::plan(Span::millis(ms), false), ShutdownSchedule::plan(Span::millis(ms), true));
        for plan in [alone, taken] {
            assert!(plan.answer_open < plan.exit && plan.exit < kill, "{ms}: {plan:?}");
            // The steps are carried out one after another: none may hold up the last answers.
            assert!(
                plan.close_idle <= plan.answer_open && plan.stop_accepting <= plan.answer_open,
                "{ms}: {plan:?}"
            );
        }
        assert!(taken.close_idle < taken.answer_open, "{ms}: {taken:?}");
        assert!(alone.stop_accepting >= Span::millis(400), "connections keep arriving: {alone:?}");
        assert_eq!(
            (taken.stop_accepting, taken.close_on_answer, alone.close_on_answer),
            (Span(0), Some(Span(0)), None)
        );
    }
}
