//! Stories of the pooler beside a registry, against stand-ins. Nothing here rests on how fast something is: a step is
//! over when the registry has been asked again, since the pooler asks only after it has taken in the answer before.

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
const READ: usize = 2;

struct Story {
    stage: Stage,
    pooler: Pooler,
    client: Client,
}

fn begin(boxes: usize, peers: usize, operator: &str) -> Story {
    let stage = Stage::new(boxes, peers).unwrap();
    let none = json!({"generation": 0, "reset": true, "instances": []});
    let mut pooler = Pooler::start(Path::new(PROGRAM), Some(&stage.operator(operator)), &none).unwrap();
    pooler.wait_for_log("instances read").unwrap();
    let client = Client::new(pooler.address, 1, 1);
    Story { stage, pooler, client }
}

impl Story {
    fn act(&mut self, act: Act) {
        self.stage.act(&act, &self.pooler).unwrap();
    }

    /// Waits until all that a peer knew has been taken in: it has been asked twice more.
    fn taken(&self, peer: usize) {
        let asked = |peer: &Peer| peer.heard().fulls + peer.heard().deltas;
        let before = asked(&self.stage.peers[peer]);
        wait("the registry is asked", || asked(&self.stage.peers[peer]) >= before + 2).unwrap();
    }

    /// So many reads, and to whom they went.
    fn reads(&mut self, count: usize) -> Vec<(String, usize)> {
        let sends = |stage: &Stage| -> Vec<usize> {
            stage.boxes.keys().map(|name| lock(&stage.ledger).sends(name)).collect()
        };
        let before = sends(&self.stage);
        for _ in 0..count {
            assert_eq!(self.client.ask_for(READ, &self.stage.ledger), "served");
        }
        let counts = sends(&self.stage).into_iter().zip(before).map(|(now, before)| now - before);
        self.stage.boxes.keys().cloned().zip(counts).collect()
    }

    fn sent_to(&mut self, name: &str) -> usize {
        self.reads(60).into_iter().find(|(of, _)| of == name).map_or(0, |(_, count)| count)
    }

    fn kept_the_rules(&self) {
        let verdict = lock(&self.stage.ledger).verdict();
        assert_eq!((verdict.drains_broken, verdict.stale_reads, verdict.writes_doubled), (0, 0, 0));
        assert_eq!((verdict.sends_outside, verdict.answered), (0, verdict.requests));
    }
}

#[test]
fn a_drain_is_kept_though_another_peer_still_lists_the_box_as_up() {
    let mut story = begin(3, 2, "");
    story.stage.peers[1].set_lag(Duration::from_secs(3_600));
    assert!(story.sent_to("s-2") > 0);
    story.act(Act::Drain("s-2".into()));
    story.taken(0);
    assert_eq!(story.sent_to("s-2"), 0);
    story.act(Act::Behave(0, Manner::Refuse));
    story.taken(1);
    assert_eq!(story.sent_to("s-2"), 0, "the other peer is older than the drain");
    // The box's own later word, heard by the peer that is behind no more.
    story.stage.peers[1].set_lag(Duration::ZERO);
    story.act(Act::Up("s-2".into()));
    story.taken(1);
    assert!(story.sent_to("s-2") > 0);
    story.kept_the_rules();
}

#[test]
fn what_a_sick_registry_says_removes_nobody() {
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
    let mut story = begin(4, 1, "");
    for manner in manners {
        story.act(Act::Behave(0, manner.clone()));
        story.taken(0);
        let reads = story.reads(60);
        let used = reads.iter().filter(|(_, count)| *count > 0).count();
        assert!(used >= 3, "{manner:?}: {reads:?}");
        story.act(Act::Behave(0, Manner::Well));
        story.taken(0);
    }
    // A registry that has lost its memory and gets it back, box by box.
    story.act(Act::Forget);
    story.taken(0);
    for _ in 0..2 {
        story.act(Act::Return(0));
        story.taken(0);
        assert!(story.reads(60).iter().filter(|(_, count)| *count > 0).count() >= 3);
    }
    story.kept_the_rules();
}

#[test]
fn a_box_that_leaves_moves_or_lies_elsewhere_gets_nothing_more_where_it_was() {
    let mut story = begin(4, 1, "");
    story.act(Act::Remove("s-2".into()));
    story.act(Act::Move("s-3".into()));
    story.act(Act::Stray("s-4".into()));
    story.act(Act::Outside("s-9".into()));
    story.taken(0);
    let reads = story.reads(60);
    let sent = |name: &str| reads.iter().find(|(of, _)| of == name).map(|(_, count)| *count);
    assert_eq!((sent("s-2"), sent("s-3"), sent("s-4")), (Some(0), Some(0), Some(0)), "{reads:?}");
    assert!(sent("s-3-moved") > Some(0), "{reads:?}");
    assert!(story.pooler.wait_for_log("lies outside of the networks").is_ok());
    story.kept_the_rules();
}

#[test]
fn the_pooler_registers_says_that_it_drains_first_thing_and_takes_itself_off() {
    let mut story = begin(2, 1, "register: {app: \"POOLER\", renew: \"1s\", expires: \"3s\"}");
    let peer = story.stage.peers[0].clone();
    wait("it is up", || peer.heard().own.iter().any(|words| words == "POST POOLER UP")).unwrap();
    wait("it renews", || peer.heard().own.iter().any(|words| words == "PUT POOLER UP")).unwrap();
    let id = story
        .stage
        .world
        .ids()
        .into_iter()
        .find(|id| id.contains(&story.pooler.address.to_string()))
        .unwrap();
    // The registry forgets it: it registers anew.
    story.stage.world.cancel(&id);
    wait("it is back", || story.stage.world.get(&id).is_some()).unwrap();
    let before = peer.heard().own.len();
    story.pooler.signal("TERM").unwrap();
    wait("it drains", || peer.heard().own.len() > before).unwrap();
    assert!(story.pooler.wait_for_exit().unwrap().success());
    let told: Vec<String> = peer.heard().own.split_off(before);
    let last: Vec<&str> = told.iter().map(String::as_str).filter(|words| !words.starts_with("PUT")).collect();
    assert_eq!(last, ["POST POOLER OUT_OF_SERVICE", "DELETE POOLER"]);
    assert!(story.stage.world.get(&id).is_none());
}

#[test]
fn a_silent_registry_delays_neither_requests_nor_the_end() {
    let mut story = begin(2, 1, "register: {app: \"POOLER\", renew: \"1s\", expires: \"3s\"}");
    story.act(Act::Behave(0, Manner::Silent));
    assert_eq!(story.reads(20).iter().map(|(_, count)| count).sum::<usize>(), 20);
    story.pooler.signal("TERM").unwrap();
    assert!(story.pooler.wait_for_exit().unwrap().success());
}

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).env_remove("GW_CONFIG").env_remove("LINNETDEAL_OPERATOR");
    let output = command.output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// A file that is there until it is dropped.
struct Held(std::path::PathBuf);

impl Held {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("linnetdeal-test-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn check_tells_each_fault_with_its_place_and_members_shows_whom_it_believes() {
    let stage = Stage::new(2, 1).unwrap();
    let good = Held::new("good.cue", &stage.operator(""));
    assert_eq!(run(&["check", good.path()]), (Some(0), String::new(), String::new()));
    let bad = Held::new("bad.cue", &stage.operator("interval_s: 5\n\tprimary: 7"));
    let (code, _, words) = run(&["check", bad.path()]);
    assert_eq!(code, Some(78));
    let file = bad.path();
    assert!(words.contains(&format!("{file}:9:2: there is no field 'interval_s' here")), "{words}");
    assert!(words.contains(&format!("{file}:10:")) && words.contains("7 does not fit string"), "{words}");
    let secret = Held::new("password", "x");
    let open = stage.operator(&format!("user: {{name: \"n\", password_file: {:?}}}", secret.path()));
    let open = Held::new("open.cue", &open);
    let (code, _, words) = run(&["check", open.path()]);
    assert!(code == Some(78) && words.contains("others than its owner"), "{words}");
    let broken = Held::new("config.json", "{\n  \"listen\": 7}");
    let (code, _, words) = run(&["check", "--config", broken.path()]);
    assert!(code == Some(78) && words.contains(broken.path()) && words.contains("line 2 column"), "{words}");

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
fn check_tells_which_settings_have_no_effect_and_finds_no_fault_in_them() {
    let mut config = json!({"listen": "127.0.0.1:0", "settings": linnetdeal_lab::pooler::settings()});
    let settings = &mut config["settings"];
    settings["WorthBy"] = "work".into();
    settings["Limits"]["MayDuplicate"] = true.into();
    settings["Report"] = json!({"Fields": ["x0", "eps"], "How": "probe"});
    settings["Weather"] = json!({"Wind": 3});
    let held = Held::new("settings.json", &config.to_string());
    let (code, out, words) = run(&["check", "--config", held.path()]);
    assert_eq!((code, words.as_str()), (Some(0), ""));
    for (path, why) in [
        ("WorthBy", "worth"),
        ("Discovery", "watched"),
        ("Report.Fields eps", "no decision"),
        ("Report.How", "wherever it comes"),
    ] {
        let told = |line: &str| line.starts_with(&format!("not used: {path}: ")) && line.contains(why);
        assert_eq!(out.lines().filter(|line| told(line)).count(), 1, "{path}: {out}");
    }
    assert!(out.lines().any(|line| line == "not known: Weather.Wind"), "{out}");
    let used = ["Lanes.count", "SendCap", "MayDuplicate"];
    assert!(used.iter().all(|path| !out.contains(path)), "{out}");

    // A file that can't be used is told as before, and nothing beside it.
    config["settings"]["Limits"]["SendCap"] = 0.into();
    let held = Held::new("useless.json", &config.to_string());
    let (code, out, words) = run(&["check", "--config", held.path()]);
    assert!(code == Some(78) && out.is_empty() && words.contains("Limits.SendCap"), "{out}{words}");
}
