//! Leases among processes of the program, with faults between them: all scripts once, with fixed seeds.

use linnetdeal_lab::family::Family;
use linnetdeal_lab::leases::play::play;
use linnetdeal_lab::leases::script::{Do, Script};
use linnetdeal_lab::processes::fleet::{Fleet, Spec};
use linnetdeal_lab::processes::process;
use linnetdeal_lab::{at_once, lock};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnetdeal");
/// Tests that start processes run one after another: terms are short, and a machine that is crowded makes them look shorter.
static ONE: Mutex<()> = Mutex::new(());
/// Scripts that run side by side; on four cores each process gets what it needs.
const AT_ONCE: usize = 6;

fn scripts() -> Vec<Script> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/leases");
    Script::folder(&folder).expect("scripts")
}

/// A fleet whose poolers all know the same servers and follow no list.
fn spec(count: usize, seed: u64, known: serde_json::Value) -> Spec {
    Spec {
        program: PROGRAM.into(),
        count,
        seed,
        known_servers: Box::new(move |_| known.clone()),
        discovery: Vec::new(),
        zones: Vec::new(),
        relayed: Box::new(|_, _| true),
    }
}

#[test]
fn two_holders_never_act_at_once_whatever_fails() {
    let _one = lock(&ONE);
    let scripts = scripts();
    let outcomes = at_once(&scripts, AT_ONCE, |script| play(script, script.seed, Path::new(PROGRAM)));
    let mut wrong = Vec::new();
    for (script, outcome) in scripts.iter().zip(outcomes) {
        let outcome = outcome.expect(&script.name);
        println!("{}, seed {}: {outcome:?}", script.name, script.seed);
        if !outcome.is_well(script) {
            wrong.push((script.name.clone(), outcome));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// What stays in force where clocks run beyond what was stated is the gate alone: without it, older tokens get through.
#[test]
fn without_its_gate_the_worst_script_is_found_out() {
    let _one = lock(&ONE);
    let mut script = scripts().into_iter().find(|script| script.name == "drift-beyond").expect("the script");
    script.gate = false;
    let let_through = (1..=3).any(|seed| {
        let outcome = play(&script, seed, Path::new(PROGRAM)).expect("a play");
        println!("seed {seed}: {outcome:?}");
        outcome.verdict.old_tokens_let_through > 0
    });
    assert!(let_through, "the audit finds nothing where there must be something");
}

fn operator(folder: &Path, key: &str) -> String {
    std::fs::write(folder.join("key"), key).expect("a file");
    format!(
        "package linnetdeal\nleases: {{site: \"test\", version: 1, voters: [0, 1, 2], longest: \"500ms\", keys: [{:?}],\n\
         tasks: [{{name: \"sweep\", term: \"500ms\"}}]}}\n",
        folder.join("key").display().to_string()
    )
}

#[test]
fn the_second_address_shows_leases_and_moves_them() {
    let _one = lock(&ONE);
    let folder = std::env::temp_dir().join(format!("linnetdeal-leases-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let text = operator(&folder, "a key that is long enough");
    let known = json!({"generation": 1, "reset": true, "instances": []});
    let spec = spec(3, 4, known);
    let mut fleet = Fleet::new(spec).expect("a fleet");
    for at in 0..3 {
        fleet.start(at, &text, &[]).expect("a start");
    }
    for at in 0..3 {
        fleet.wait_until_listening(at).expect("a pooler");
    }
    let shown = |fleet: &Fleet, at: usize| -> Value {
        let (status, body) = fleet.call(at, "GET", "/-/leases").expect("an answer");
        assert_eq!(status, 200);
        serde_json::from_str(&body).expect("JSON")
    };
    let holder = |fleet: &Fleet, at: usize| shown(fleet, at)["tasks"][0]["holder"]["pooler"].as_u64();
    let until = |fleet: &Fleet, what: &dyn Fn(&Fleet) -> bool| {
        let end = Instant::now() + process::WAIT_TIMEOUT;
        while !what(fleet) {
            assert!(Instant::now() < end, "in vain: {}", shown(fleet, 0));
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    // All of them see the same one.
    until(&fleet, &|fleet| {
        holder(fleet, 0).is_some() && (1..3).all(|at| holder(fleet, at) == holder(fleet, 0))
    });
    let first = holder(&fleet, 0).expect("a holder") as usize;
    let token = shown(&fleet, first)["tasks"][0]["own"]["token"].as_u64().expect("its token");
    assert_eq!(shown(&fleet, first)["voters"].as_array().map(Vec::len), Some(3));
    let heir = (first + 1) % 3;
    assert_eq!(fleet.call(heir, "POST", "/-/leases/sweep/release").expect("an answer").0, 409, "not its");
    assert_eq!(fleet.call(first, "POST", "/-/leases/nothing/release").expect("an answer").0, 409);
    assert_eq!(fleet.call(first, "POST", "/-/leases/sweep/hand/x").expect("an answer").0, 400);
    assert_eq!(fleet.call(first, "GET", "/-/leases/sweep/release").expect("an answer").0, 405);
    assert_eq!(fleet.call(first, "POST", &format!("/-/leases/sweep/hand/{heir}")).expect("an answer").0, 200);
    until(&fleet, &|fleet| holder(fleet, first) == Some(heir as u64));
    assert!(shown(&fleet, heir)["tasks"][0]["own"]["token"].as_u64() > Some(token));
    // Who is told to end gives it back first, and others need not wait for the term.
    fleet.terminate(heir).expect("its end");
    assert!(
        fleet
            .logs()
            .iter()
            .any(|(at, log)| *at == heir && log.iter().any(|line| line.contains("sweep released")))
    );
    drop(fleet);
    // A key that can be guessed is refused at the start, with its place.
    let text = operator(&folder, "short");
    let file = folder.join("operator.cue");
    std::fs::write(&file, text).expect("a file");
    let checked = std::process::Command::new(PROGRAM).arg("check").arg(&file).output().expect("the program");
    let words = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert!(!checked.status.success() && words.contains("has fewer than 16 bytes"), "{words}");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn every_script_says_what_it_causes_and_none_is_idle() {
    let scripts = scripts();
    assert!(scripts.len() >= 25);
    for script in &scripts {
        assert!(script.steps.iter().any(|step| !matches!(step.what, Do::Wait)), "{}", script.name);
    }
}

#[test]
fn one_pooler_a_group_asks_members_and_the_others_hear_of_it() {
    let _one = lock(&ONE);
    let folder = std::env::temp_dir().join(format!("linnetdeal-positions-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let text = operator(&folder, "a key that is long enough").replace(
        "tasks: [{name: \"sweep\", term: \"500ms\"}]",
        "positions: {term: \"500ms\", every: \"200ms\"}",
    );
    let family = Family::start(3, std::net::Ipv4Addr::LOCALHOST.into()).expect("a family");
    let entry = |(at, address): (usize, &SocketAddr)| {
        json!({"instanceId": format!("s{at}"), "hostPort": address.to_string(), "zone": "a", "machineType": "m",
               "cell": 1, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0})
    };
    let list: Vec<Value> = family.addresses.iter().enumerate().map(entry).collect();
    let known = json!({"generation": 1, "reset": true, "instances": list});
    let spec = spec(5, 6, known);
    let mut fleet = Fleet::new(spec).expect("a fleet");
    fleet.settings["FamilyInfo"]["WhenBehind"] = "bounce".into();
    for at in 0..5 {
        fleet.start(at, &text, &[]).expect("a start");
    }
    for at in 0..5 {
        fleet.wait_until_listening(at).expect("a pooler");
    }
    let until = |words: &str, what: &mut dyn FnMut() -> bool| {
        let end = Instant::now() + process::WAIT_TIMEOUT;
        while !what() {
            assert!(Instant::now() < end, "in vain: {words}");
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    // Three members are asked five times a second by one, and would be five times as often if each asked.
    let asked_by_one = |family: &Family| {
        let (began, before) = (Instant::now(), family.probes());
        until("probes", &mut || family.probes() >= before + 45);
        assert!(began.elapsed() > Duration::from_millis(1_500), "45 probes in {:?}", began.elapsed());
    };
    until("a first probe", &mut || family.probes() > 0);
    asked_by_one(&family);
    let holder = (0..5).find(|at| {
        let (_, body) = fleet.call(*at, "GET", "/-/leases").expect("an answer");
        serde_json::from_str::<Value>(&body).expect("JSON")["tasks"][0]["own"].is_object()
    });
    let holder = holder.expect("somebody holds it");
    for at in (0..5).filter(|at| *at != holder) {
        until("hearsay", &mut || {
            fleet.signal(at, "USR1").expect("a signal");
            let log = fleet.log(at);
            let heard = log.iter().filter_map(|line| line.split_once("positions_heard="));
            heard.filter_map(|(_, count)| count.trim().parse::<u64>().ok()).any(|count| count >= 10)
        });
    }
    fleet.kill(holder);
    asked_by_one(&family);
    drop(fleet);
    let _ = std::fs::remove_dir_all(&folder);
}
