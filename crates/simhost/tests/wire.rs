//! Runs the built adapter on transcripts of the simulator's protocol.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const START: &str = "start 3 42 FamilyInfo.NeedsByClass=eventual,mutate FamilyInfo.OldestData=0.0,0.0 \
Lanes.count=2 Lanes.0.Name=look Lanes.0.Effect=retryable Lanes.0.Objective=200.0 Lanes.0.Worth=1.0 \
Lanes.0.LateValue=0.0 Lanes.1.Name=book Lanes.1.Effect=fragile Lanes.1.Objective=300.0 Lanes.1.Worth=4.0 \
Lanes.1.LateValue=0.5 FleetSize=2 Zone=north Discovery=push FamilyInfo.WhenBehind=none \
FamilyInfo.SessionMarks=kept FamilyInfo.Zero=1000.0 Report.Fields=x0,x1 Limits.SendCap=6 \
Limits.MayDuplicate=false Limits.Probing=true Limits.Cancel=true Limits.RetryAfter=true \
Limits.MaxRetryAfter=2000.0 Rules.DrainGrace=500.0 Rules.ColdFrom=0.2 Rules.Cold=10000.0 \
Rules.FallMultiple=3.0 Rules.Fall=2000.0 Unknown.Key=ignored";

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linnetdeal-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Writing may fail because the adapter stops reading at malformed input; the exit code and the message are what
    // counts.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn start_instance() -> String {
    format!(
        "frame 5000.0 1\ncommit\nframe 5001.0 2\n{START}\ncensus 0 1\nm 10.0.0.1:70 north std 1 4 healthy 1 -\n\
         directory_update 3 disk 1 0\ncommit\n"
    )
}

fn assert_rejected(line: &str, expected: &str) {
    let output = run_adapter(&format!("{}frame 5002.0 3\n{line}\ncommit\n", start_instance()));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success(), "{line}");
    assert!(error.contains("line 1") && error.contains(expected), "{error}");
    assert_eq!(
        String::from_utf8(output.stdout).unwrap(),
        "ack 1\nack 2\n",
        "only replies on standard output"
    );
}

#[test]
fn a_request_is_forwarded_and_its_answer_leads_to_no_further_action() {
    let input = format!(
        "{}frame 5010.0 3\nnew_request 3 77 book - 5 900.0 - 4 - 4\ncommit\n\
         frame 5030.0 4\nresponse 3 77 0 20.0 16101 completed 10.0.0.1:70 1 4.01,1\ncommit\n",
        start_instance()
    );
    let output = run_adapter(&input);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let expected = "ack 1\nack 2\nforward 3 77 10.0.0.1:70 900.000\nremind 3 5910.000 wake\nack 3\nack 4\n";
    assert_eq!(text, expected);
}

#[test]
fn lists_are_resolved_in_event_order_and_a_restart_starts_empty() {
    let input = format!(
        "{}frame 5010.0 3\ncensus 0 1\nm 10.0.0.2:70 north std 0 4 healthy 1 -\ndirectory_update 3 diff 2 0\n\
         census 0 1\nm 10.0.0.1:70 north std 0 4 deregistered 1 -\ndirectory_update 3 diff 3 0\n\
         new_request 3 1 look - - 900.0 - 4 - 0\nstop 3\n{START}\ndirectory_update 3 disk 3 0\n\
         new_request 3 2 look - - 900.0 - 4 - 0\ncommit\n",
        start_instance()
    );
    let output = run_adapter(&input);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("forward 3 1 10.0.0.2:70"), "{text}");
    assert!(!text.contains("forward 3 2 "), "the new instance knows only of a removed member: {text}");
}

#[test]
fn malformed_lines_are_reported_on_standard_error() {
    assert_rejected("new_request 3 77 book - 5 soon - 4 - 4", "soon");
    assert_rejected("new_request 3 77 walk - 5 900.0 - 4 - 4", "walk");
    assert_rejected("new_request 3 77 book", "missing");
    assert_rejected("greet 3", "greet");
    assert_rejected("vanished 8 77", "instance 8");
    assert_rejected("directory_update 3 diff 2 9", "list 9");
    assert_rejected("census 1 1", "commit");
    assert_rejected(&START.replace("FleetSize=2 ", ""), "FleetSize");
    assert_rejected(&START.replace("SendCap=6", "SendCap=six"), "six");
}

#[test]
fn the_input_may_end_between_batches_only() {
    assert!(run_adapter("").status.success());
    assert!(run_adapter(&start_instance()).status.success());
    let output = run_adapter("frame 5000.0 1\n");
    assert!(!output.status.success());
    assert!(String::from_utf8(output.stderr).unwrap().contains("inside a batch"));
}
