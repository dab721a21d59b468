//! Tests of the pooler with a registry, against scripted registry peers and servers. No test depends on timing:
//! a step is complete once the registry has been polled again, because the pooler polls only after it has
//! applied the previous answer.

use linnetdeal_lab::clients::Client;
use linnetdeal_lab::eureka::{AnswerMode, Peer};
use linnetdeal_lab::lock;
use linnetdeal_lab::pooler::Pooler;
use linnetdeal_lab::script::Act;
use linnetdeal_lab::script_runner::{Testbed, wait_until};
use serde_json::{Value, json};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnetdeal");
/// The index of the class of reads that the client sends.
const READ: usize = 2;

/// A pooler that follows scripted registry peers, with the testbed that they and the servers belong to, and a
/// client.
struct Fixture {
    testbed: Testbed,
    pooler: Pooler,
    client: Client,
}

/// Starts the pooler and waits until it has read its list.
fn start_fixture(boxes: usize, peers: usize, operator: &str) -> Fixture {
    let testbed = Testbed::new(boxes, peers).unwrap();
    let empty_list = json!({"generation": 0, "reset": true, "instances": []});
    let mut pooler =
        Pooler::start(Path::new(PROGRAM), Some(&testbed.operator_file(operator)), &empty_list).unwrap();
    pooler.wait_for_log("instances read").unwrap();
    let client = Client::new(pooler.address, 1, 1);
    Fixture { testbed, pooler, client }
}

impl Fixture {
    /// Performs an action of a script on the testbed.
    fn act(&mut self, act: Act) {
        self.testbed.apply(&act, &self.pooler).unwrap();
    }

    /// Waits until the pooler has applied all that a peer knows now, which is so once it has polled the peer
    /// twice more.
    fn wait_applied(&self, peer: usize) {
        let polls = |peer: &Peer| peer.request_counts().fulls + peer.request_counts().deltas;
        let before = polls(&self.testbed.peers[peer]);
        wait_until("the registry is polled", || polls(&self.testbed.peers[peer]) >= before + 2).unwrap();
    }

    /// Sends this many reads; returns how many went to each server.
    fn reads(&mut self, count: usize) -> Vec<(String, usize)> {
        let sends = |testbed: &Testbed| -> Vec<usize> {
            testbed.boxes.keys().map(|name| lock(&testbed.recorder).statement_count(name)).collect()
        };
        let before = sends(&self.testbed);
        for _ in 0..count {
            assert_eq!(self.client.request_class(READ, &self.testbed.recorder), "served");
        }
        let counts = sends(&self.testbed).into_iter().zip(before).map(|(after, before)| after - before);
        self.testbed.boxes.keys().cloned().zip(counts).collect()
    }

    /// How many of 60 reads go to this server.
    fn sent_to(&mut self, name: &str) -> usize {
        self.reads(60).into_iter().find(|(server, _)| server == name).map_or(0, |(_, count)| count)
    }

    /// Asserts that no rule was broken and each request was answered.
    fn assert_rules_kept(&self) {
        let verdict = lock(&self.testbed.recorder).verdict();
        assert_eq!((verdict.drains_broken, verdict.stale_reads, verdict.writes_doubled), (0, 0, 0));
        assert_eq!((verdict.sends_outside, verdict.answered), (0, verdict.requests));
    }
}

#[test]
fn a_drain_holds_although_another_registry_peer_still_lists_the_server_as_up() {
    let mut fixture = start_fixture(3, 2, "");
    fixture.testbed.peers[1].set_lag(Duration::from_secs(3_600));
    assert!(fixture.sent_to("s-2") > 0);
    fixture.act(Act::Drain("s-2".into()));
    fixture.wait_applied(0);
    assert_eq!(fixture.sent_to("s-2"), 0);
    fixture.act(Act::Behave(0, AnswerMode::Refuse));
    fixture.wait_applied(1);
    assert_eq!(fixture.sent_to("s-2"), 0, "the other peer is older than the drain");
    // The server's own later update, at the peer that no longer lags.
    fixture.testbed.peers[1].set_lag(Duration::ZERO);
    fixture.act(Act::Up("s-2".into()));
    fixture.wait_applied(1);
    assert!(fixture.sent_to("s-2") > 0);
    fixture.assert_rules_kept();
}

#[test]
fn answers_of_a_faulty_registry_remove_no_server() {
    let modes = [
        AnswerMode::Empty,
        AnswerMode::Few(1),
        AnswerMode::Half,
        AnswerMode::Noise(1),
        AnswerMode::Deep(10_000),
        AnswerMode::Status(500, None),
        AnswerMode::WrongHash,
        AnswerMode::LostDelta,
    ];
    let mut fixture = start_fixture(4, 1, "");
    for mode in modes {
        fixture.act(Act::Behave(0, mode.clone()));
        fixture.wait_applied(0);
        let reads = fixture.reads(60);
        let used = reads.iter().filter(|(_, count)| *count > 0).count();
        assert!(used >= 3, "{mode:?}: {reads:?}");
        fixture.act(Act::Behave(0, AnswerMode::Well));
        fixture.wait_applied(0);
    }
    // A registry that has lost its contents and gets them back server by server.
    fixture.act(Act::Forget);
    fixture.wait_applied(0);
    for _ in 0..2 {
        fixture.act(Act::Return(0));
        fixture.wait_applied(0);
        assert!(fixture.reads(60).iter().filter(|(_, count)| *count > 0).count() >= 3);
    }
    fixture.assert_rules_kept();
}

#[test]
fn a_server_that_was_removed_or_moved_gets_nothing_more_at_its_old_address() {
    let mut fixture = start_fixture(4, 1, "");
    fixture.act(Act::Remove("s-2".into()));
    fixture.act(Act::Move("s-3".into()));
    fixture.act(Act::Stray("s-4".into()));
    fixture.act(Act::Outside("s-9".into()));
    fixture.wait_applied(0);
    let reads = fixture.reads(60);
    let sent = |name: &str| reads.iter().find(|(server, _)| server == name).map(|(_, count)| *count);
    assert_eq!((sent("s-2"), sent("s-3"), sent("s-4")), (Some(0), Some(0), Some(0)), "{reads:?}");
    assert!(sent("s-3-moved") > Some(0), "{reads:?}");
    assert!(fixture.pooler.wait_for_log("lies outside of the networks").is_ok());
    fixture.assert_rules_kept();
}

#[test]
fn the_pooler_registers_and_on_sigterm_reports_its_drain_and_deregisters() {
    let mut fixture = start_fixture(2, 1, "register: {app: \"POOLER\", renew: \"1s\", expires: \"3s\"}");
    let peer = fixture.testbed.peers[0].clone();
    wait_until("it is up", || peer.request_counts().self_reports.iter().any(|call| call == "POST POOLER UP"))
        .unwrap();
    wait_until("it renews", || peer.request_counts().self_reports.iter().any(|call| call == "PUT POOLER UP"))
        .unwrap();
    let id = fixture
        .testbed
        .registrations
        .ids()
        .into_iter()
        .find(|id| id.contains(&fixture.pooler.address.to_string()))
        .unwrap();
    // The registry loses its entry: it registers again.
    fixture.testbed.registrations.cancel(&id);
    wait_until("it is back", || fixture.testbed.registrations.get(&id).is_some()).unwrap();
    let before = peer.request_counts().self_reports.len();
    fixture.pooler.signal("TERM").unwrap();
    wait_until("it drains", || peer.request_counts().self_reports.len() > before).unwrap();
    assert!(fixture.pooler.wait_for_exit().unwrap().success());
    let calls: Vec<String> = peer.request_counts().self_reports.split_off(before);
    let last: Vec<&str> = calls.iter().map(String::as_str).filter(|call| !call.starts_with("PUT")).collect();
    assert_eq!(last, ["POST POOLER OUT_OF_SERVICE", "DELETE POOLER"]);
    assert!(fixture.testbed.registrations.get(&id).is_none());
}

#[test]
fn a_silent_registry_delays_neither_requests_nor_termination() {
    let mut fixture = start_fixture(2, 1, "register: {app: \"POOLER\", renew: \"1s\", expires: \"3s\"}");
    fixture.act(Act::Behave(0, AnswerMode::Silent));
    assert_eq!(fixture.reads(20).iter().map(|(_, count)| count).sum::<usize>(), 20);
    fixture.pooler.signal("TERM").unwrap();
    assert!(fixture.pooler.wait_for_exit().unwrap().success());
}

/// Runs the program; returns its exit code, stdout and stderr.
fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).env_remove("GW_CONFIG").env_remove("LINNETDEAL_OPERATOR");
    let output = command.output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// A file in the folder for temporary files that is removed when dropped.
struct TempFile(std::path::PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("linnetdeal-test-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn check_reports_each_error_with_its_position_and_members_lists_the_known_servers() {
    let testbed = Testbed::new(2, 1).unwrap();
    let good = TempFile::new("good.cue", &testbed.operator_file(""));
    assert_eq!(run(&["check", good.path()]), (Some(0), String::new(), String::new()));
    let bad = TempFile::new("bad.cue", &testbed.operator_file("interval_s: 5\n\tprimary: 7"));
    let (code, _, errors) = run(&["check", bad.path()]);
    assert_eq!(code, Some(78));
    let file = bad.path();
    assert!(errors.contains(&format!("{file}:9:2: there is no field 'interval_s' here")), "{errors}");
    assert!(errors.contains(&format!("{file}:10:")) && errors.contains("7 does not fit string"), "{errors}");
    let secret = TempFile::new("password", "x");
    let readable =
        testbed.operator_file(&format!("user: {{name: \"n\", password_file: {:?}}}", secret.path()));
    let readable = TempFile::new("open.cue", &readable);
    let (code, _, errors) = run(&["check", readable.path()]);
    assert!(code == Some(78) && errors.contains("others than its owner"), "{errors}");
    let broken = TempFile::new("config.json", "{\n  \"listen\": 7}");
    let (code, _, errors) = run(&["check", "--config", broken.path()]);
    assert!(
        code == Some(78) && errors.contains(broken.path()) && errors.contains("line 2 column"),
        "{errors}"
    );

    let (code, out, _) = run(&["members", "--operator", good.path(), "--json"]);
    assert_eq!(code, Some(0));
    let members: Value = serde_json::from_str(&out).unwrap();
    let rows = members["members"].as_array().unwrap();
    assert_eq!(rows.len(), 2);
    assert_eq!(
        (&rows[0]["member"], &rows[0]["state"], &rows[0]["primary"]),
        (&json!("s-1"), &json!("up"), &json!(true))
    );
    assert_eq!(rows[1]["address"], json!(testbed.boxes["s-2"].address.to_string()));
    let (_, out, _) = run(&["members", "--operator", good.path()]);
    assert!(out.starts_with("MEMBER") && out.lines().count() == 3, "{out}");
}

#[test]
fn check_lists_settings_without_effect_and_treats_them_as_no_error() {
    let mut config = json!({"listen": "127.0.0.1:0", "settings": linnetdeal_lab::pooler::settings()});
    let settings = &mut config["settings"];
    settings["WorthBy"] = "work".into();
    settings["Limits"]["MayDuplicate"] = true.into();
    settings["Report"] = json!({"Fields": ["x0", "eps"], "How": "probe"});
    settings["Weather"] = json!({"Wind": 3});
    let config_file = TempFile::new("settings.json", &config.to_string());
    let (code, out, errors) = run(&["check", "--config", config_file.path()]);
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    for (path, reason) in [
        ("WorthBy", "worth"),
        ("Discovery", "watched"),
        ("Report.Fields eps", "no decision"),
        ("Report.How", "wherever it comes"),
    ] {
        let is_listed =
            |line: &str| line.starts_with(&format!("not used: {path}: ")) && line.contains(reason);
        assert_eq!(out.lines().filter(|line| is_listed(line)).count(), 1, "{path}: {out}");
    }
    assert!(out.lines().any(|line| line == "not known: Weather.Wind"), "{out}");
    let used = ["Lanes.count", "SendCap", "MayDuplicate"];
    assert!(used.iter().all(|path| !out.contains(path)), "{out}");

    // For an unusable file only the error is reported.
    config["settings"]["Limits"]["SendCap"] = 0.into();
    let config_file = TempFile::new("useless.json", &config.to_string());
    let (code, out, errors) = run(&["check", "--config", config_file.path()]);
    assert!(code == Some(78) && out.is_empty() && errors.contains("Limits.SendCap"), "{out}{errors}");
}
