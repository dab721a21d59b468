//! Tests of the pooler with a registry, against scripted registry peers and servers. No test depends on timing:
//! a step is complete once the registry has been polled again, because the pooler polls only after it has
//! applied the previous answer.

use linnetdeal_lab::clients::Client;
use linnetdeal_lab::eureka::{Manner, Peer};
use linnetdeal_lab::lock;
use linnetdeal_lab::play::{Stage, wait};
use linnetdeal_lab::pooler::Pooler;
use linnetdeal_lab::script::Act;
use serde_json::{Value, json};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnetdeal");
/// The index of the class of reads that the client sends.
const READ: usize = 2;

/// A pooler that follows scripted registry peers, with the stage that they and the servers belong to, and a
/// client.
struct Fixture {
    stage: Stage,
    pooler: Pooler,
    client: Client,
}

/// Starts the pooler and waits until it has read its list.
fn start_fixture(boxes: usize, peers: usize, operator: &str) -> Fixture {
    let stage = Stage::new(boxes, peers).unwrap();
    let empty_list = json!({"generation": 0, "reset": true, "instances": []});
    let mut pooler = Pooler::start(Path::new(PROGRAM), Some(&stage.operator(operator)), &empty_list).unwrap();
    pooler.wait_for_log("instances read").unwrap();
    let client = Client::new(pooler.address, 1, 1);
    Fixture { stage, pooler, client }
}

impl Fixture {
    /// Performs an action of a script on the stage.
    fn act(&mut self, act: Act) {
        self.stage.act(&act, &self.pooler).unwrap();
    }

    /// Waits until the pooler has applied all that a peer knows now, which is so once it has polled the peer
    /// twice more.
    fn wait_applied(&self, peer: usize) {
        let polls = |peer: &Peer| peer.heard().fulls + peer.heard().deltas;
        let before = polls(&self.stage.peers[peer]);
        wait("the registry is polled", || polls(&self.stage.peers[peer]) >= before + 2).unwrap();
    }

    /// Sends this many reads; returns how many went to each server.
    fn reads(&mut self, count: usize) -> Vec<(String, usize)> {
        let sends = |stage: &Stage| -> Vec<usize> {
            stage.boxes.keys().map(|name| lock(&stage.ledger).sends(name)).collect()
        };
        let before = sends(&self.stage);
        for _ in 0..count {
            assert_eq!(self.client.ask_for(READ, &self.stage.ledger), "served");
        }
        let counts = sends(&self.stage).into_iter().zip(before).map(|(after, before)| after - before);
        self.stage.boxes.keys().cloned().zip(counts).collect()
    }

    /// How many of 60 reads go to this server.
    fn sent_to(&mut self, name: &str) -> usize {
        self.reads(60).into_iter().find(|(server, _)| server == name).map_or(0, |(_, count)| count)
    }

    /// Asserts that no rule was broken and each request was answered.
    fn assert_rules_kept(&self) {
        let verdict = lock(&self.stage.ledger).verdict();
        assert_eq!((verdict.drains_broken, verdict.stale_reads, verdict.writes_doubled), (0, 0, 0));
        assert_eq!((verdict.sends_outside, verdict.answered), (0, verdict.requests));
    }
}

#[test]
fn a_drain_holds_although_another_registry_peer_still_lists_the_server_as_up() {
    let mut fixture = start_fixture(3, 2, "");
    fixture.stage.peers[1].set_lag(Duration::from_secs(3_600));
    assert!(fixture.sent_to("s-2") > 0);
    fixture.act(Act::Drain("s-2".into()));
    fixture.wait_applied(0);
    assert_eq!(fixture.sent_to("s-2"), 0);
    fixture.act(Act::Behave(0, Manner::Refuse));
    fixture.wait_applied(1);
    assert_eq!(fixture.sent_to("s-2"), 0, "the other peer is older than the drain");
    // The server's own later update, at the peer that no longer lags.
    fixture.stage.peers[1].set_lag(Duration::ZERO);
    fixture.act(Act::Up("s-2".into()));
    fixture.wait_applied(1);
    assert!(fixture.sent_to("s-2") > 0);
    fixture.assert_rules_kept();
}

#[test]
fn answers_of_a_faulty_registry_remove_no_server() {
    let manners = [
        Manner::Empty,
        Manner::Few(1),
        Manner::Half,
        Manner::Noise(1),
        Manner::Deep(10_000),
        Manner::Status(500, None),
        Manner::WrongHash,
        Manner::LostDelta,
    ];
    let mut fixture = start_fixture(4, 1, "");
    for manner in manners {
        fixture.act(Act::Behave(0, manner.clone()));
        fixture.wait_applied(0);
        let reads = fixture.reads(60);
        let used = reads.iter().filter(|(_, count)| *count > 0).count();
        assert!(used >= 3, "{manner:?}: {reads:?}");
        fixture.act(Act::Behave(0, Manner::Well));
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
    let peer = fixture.stage.peers[0].clone();
    wait("it is up", || peer.heard().own.iter().any(|call| call == "POST POOLER UP")).unwrap();
    wait("it renews", || peer.heard().own.iter().any(|call| call == "PUT POOLER UP")).unwrap();
    let id = fixture
        .stage
        .world
        .ids()
        .into_iter()
        .find(|id| id.contains(&fixture.pooler.address.to_string()))
        .unwrap();
    // The registry loses its entry: it registers again.
    fixture.stage.world.cancel(&id);
    wait("it is back", || fixture.stage.world.get(&id).is_some()).unwrap();
    let before = peer.heard().own.len();
    fixture.pooler.signal("TERM").unwrap();
    wait("it drains", || peer.heard().own.len() > before).unwrap();
    assert!(fixture.pooler.wait_for_exit().unwrap().success());
    let calls: Vec<String> = peer.heard().own.split_off(before);
    let last: Vec<&str> = calls.iter().map(String::as_str).filter(|call| !call.starts_with("PUT")).collect();
    assert_eq!(last, ["POST POOLER OUT_OF_SERVICE", "DELETE POOLER"]);
    assert!(fixture.stage.world.get(&id).is_none());
}

#[test]
fn a_silent_registry_delays_neither_requests_nor_termination() {
    let mut fixture = start_fixture(2, 1, "register: {app: \"POOLER\", renew: \"1s\", expires: \"3s\"}");
    fixture.act(Act::Behave(0, Manner::Silent));
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
    let stage = Stage::new(2, 1).unwrap();
    let good = TempFile::new("good.cue", &stage.operator(""));
    assert_eq!(run(&["check", good.path()]), (Some(0), String::new(), String::new()));
    let bad = TempFile::new("bad.cue", &stage.operator("interval_s: 5\n\tprimary: 7"));
    let (code, _, errors) = run(&["check", bad.path()]);
    assert_eq!(code, Some(78));
    let file = bad.path();
    assert!(errors.contains(&format!("{file}:9:2: there is no field 'interval_s' here")), "{errors}");
    assert!(errors.contains(&format!("{file}:10:")) && errors.contains("7 does not fit string"), "{errors}");
    let secret = TempFile::new("password", "x");
    let readable = stage.operator(&format!("user: {{name: \"n\", password_file: {:?}}}", secret.path()));
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
    assert_eq!(rows[1]["address"], json!(stage.boxes["s-2"].address.to_string()));
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
