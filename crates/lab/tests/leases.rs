//! The audit finds what is wrong in a history, the check what is wrong in votes, and scripts their own faults.

use linnetdeal_coordination::lease::FullLeaseRules;
use linnetdeal_lab::leases::audit::audit;
use linnetdeal_lab::leases::check::check;
use linnetdeal_lab::leases::mutants::{self, NoMajority, NotExclusive};
use linnetdeal_lab::leases::script::Script;
use linnetdeal_lab::processes::history::{Event, Record};

fn act(at: u64, token: u64, by: &str, step: &str, through: bool) -> Record {
    let (task, by, step) = ("sweep".to_owned(), by.to_owned(), step.to_owned());
    Record { at, event: Event::Act { task, token, by, step, through } }
}

#[test]
fn the_audit_tells_acts_that_overlap_from_acts_that_follow() {
    let well = [act(1, 5, "a", "begin", true), act(2, 5, "a", "end", true), act(3, 6, "b", "begin", true)];
    let verdict = audit(&well);
    assert_eq!((verdict.overlapping_acts, verdict.late_acts, verdict.tokens), (0, 0, 2));
    // Its holder died in the middle of it, or the gate turned its end away: that act is over.
    let cut = [act(1, 5, "a", "begin", true), act(2, 6, "b", "begin", true), act(3, 5, "a", "end", false)];
    let verdict = audit(&cut);
    assert_eq!((verdict.overlapping_acts, verdict.old_tokens_let_through, verdict.late_acts), (0, 0, 1));
    let overlap = [act(1, 5, "a", "begin", true), act(2, 6, "b", "begin", true), act(3, 5, "a", "end", true)];
    let verdict = audit(&overlap);
    assert_eq!((verdict.overlapping_acts, verdict.old_tokens_let_through, verdict.late_acts), (1, 1, 1));
    let shared = [act(1, 5, "a", "begin", true), act(2, 5, "a", "end", true), act(3, 5, "b", "begin", true)];
    assert_eq!(audit(&shared).tokens_shared, 1);
    let gained = |at, token| Record { at, event: Event::Gained { task: "sweep".into(), token, by: 1 } };
    assert_eq!(audit(&[gained(1, 7), gained(2, 8), gained(3, 8), gained(4, 2)]).tokens_went_back, 2);
}

#[test]
fn the_check_finds_no_fault_in_the_votes_and_finds_it_in_broken_ones() {
    let bounds = mutants::bounds();
    let sound = check::<FullLeaseRules>(bounds, 4, 400_000);
    assert!(sound.wrong.is_none() && sound.states > 50_000, "{sound:?}");
    assert!(check::<NoMajority>(bounds, 4, 400_000).wrong.is_some());
    assert!(check::<NotExclusive>(bounds, 4, 3_000_000).wrong.is_some());
}

#[test]
fn a_scripts_faults_are_told_with_their_places() {
    for (line, words) in [
        ("steps: [{do: \"explode\"}]", "f:3"),
        ("steps: [{do: \"kill\", who: \"nobody\"}]", "f:3"),
        ("steps: [{do: \"kill\", who: \"7\"}]", "there is no such pooler"),
        ("voters: [0, 1, 9]\nsteps: []", "there is no pooler 9"),
    ] {
        let text = format!("package leases\nname: \"x\"\n{line}\n");
        let told = Script::decode("f", text.as_bytes()).expect_err(line).to_string();
        assert!(told.contains(words), "{line}: {told}");
    }
}
