//! What processes that take each other's place share, and how one leaves.

use linnetdeal_core::succession::{Bans, Changes, Leaving};
use linnetdeal_core::{MemberId, Span};
use std::collections::BTreeSet;

fn ids(of: &[&str]) -> BTreeSet<MemberId> {
    of.iter().map(|id| MemberId((*id).into())).collect()
}

fn changes(out: &[&str], back: &[&str]) -> Changes {
    Changes { out: ids(out).into_iter().collect(), back: ids(back).into_iter().collect() }
}

#[test]
fn a_look_tells_only_what_the_other_process_did() {
    let mut bans = Bans::default();
    assert_eq!(bans.look(ids(&["a", "b"])), changes(&["a", "b"], &[]));
    assert_eq!(bans.look(ids(&["a", "b"])), changes(&[], &[]), "once");
    // The own calls are no news, whichever way they went.
    bans.set(&MemberId("c".into()), true);
    bans.set(&MemberId("a".into()), false);
    assert_eq!(bans.look(ids(&["b", "c"])), changes(&[], &[]));
    assert_eq!(bans.look(ids(&["c", "d"])), changes(&["d"], &["b"]));
    // One that could not be written down was never among them, so its absence ends nothing.
    assert_eq!(bans.look(ids(&[])), changes(&[], &["c", "d"]));
    assert_eq!(bans.look(ids(&[])), changes(&[], &[]));
}

#[test]
fn a_process_leaves_in_time_and_at_once_where_its_place_is_taken() {
    for ms in [0, 1, 100, 200, 300, 400, 1_000, 3_000, 5_000, 60_000] {
        // SIGKILL comes after the longest deadline, counted as 3 s at most, and 0.7 s.
        let kill = Span::millis(ms.min(3_000) + 700);
        let (alone, taken) = (Leaving::plan(Span::millis(ms), false), Leaving::plan(Span::millis(ms), true));
        for plan in [alone, taken] {
            assert!(plan.ending < plan.ended && plan.ended < kill, "{ms}: {plan:?}");
            // The steps are carried out one after another: none may hold up the last answers.
            assert!(plan.closing <= plan.ending && plan.deaf <= plan.ending, "{ms}: {plan:?}");
        }
        assert!(taken.closing < taken.ending, "{ms}: {taken:?}");
        assert!(alone.deaf >= Span::millis(400), "connections keep arriving: {alone:?}");
        assert_eq!((taken.deaf, taken.parting, alone.parting), (Span(0), Some(Span(0)), None));
    }
}
