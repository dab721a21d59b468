//! Tests of the lease proof itself: the audit finds violations in a history, the model check finds them in
//! broken lease rules, and errors in a script are reported with their position.

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
fn audit_distinguishes_overlapping_from_consecutive_acts() {
    let consecutive =
        [act(1, 5, "a", "begin", true), act(2, 5, "a", "end", true), act(3, 6, "b", "begin", true)];
    let verdict = audit(&consecutive);
    assert_eq!((verdict.overlapping_acts, verdict.late_acts, verdict.tokens), (0, 0, 2));
    // The holder died during the act, or the gate rejected the end of the act: the act is over.
    let interrupted =
        [act(1, 5, "a", "begin", true), act(2, 6, "b", "begin", true), act(3, 5, "a", "end", false)];
    let verdict = audit(&interrupted);
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
fn model_check_finds_violations_only_in_broken_rules() {
    let bounds = mutants::bounds();
    let unbroken = check::<FullLeaseRules>(bounds, 4, 400_000);
    assert!(unbroken.violation.is_none() && unbroken.states > 50_000, "{unbroken:?}");
    assert!(check::<NoMajority>(bounds, 4, 400_000).violation.is_some());
    assert!(check::<NotExclusive>(bounds, 4, 3_000_000).violation.is_some());
}

#[test]
fn script_errors_are_reported_with_their_position() {
    for (line, expected) in [
        ("steps: [{do: \"explode\"}]", "f:3"),
        ("steps: [{do: \"kill\", who: \"nobody\"}]", "f:3"),
        ("steps: [{do: \"kill\", who: \"7\"}]", "there is no such pooler"),
        ("voters: [0, 1, 9]\nsteps: []", "there is no pooler 9"),
    ] {
        let text = format!("package leases\nname: \"x\"\n{line}\n");
        let error = Script::decode("f", text.as_bytes()).expect_err(line).to_string();
        assert!(error.contains(expected), "{line}: {error}");
    }
}
