//! Leases between processes of the program while faults are injected: runs each script once, with a fixed seed.

use linnetdeal_lab::leases::runner::run_script;
use linnetdeal_lab::leases::script::{Action, Script};
use linnetdeal_lab::processes::fleet::{Fleet, Spec};
use linnetdeal_lab::processes::process;
use linnetdeal_lab::replica_group::ReplicaGroup;
use linnetdeal_lab::{lock, run_parallel};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnetdeal");
/// Held by tests that start processes, so that they run one after another: terms are short, and appear shorter
/// still on a busy machine.
static EXCLUSIVE: Mutex<()> = Mutex::new(());
/// Scripts that run concurrently; on four cores each process still gets the CPU time that it needs.
const MAX_CONCURRENT: usize = 6;

fn scripts() -> Vec<Script> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/leases");
    Script::read_folder(&folder).expect("scripts")
}

/// A fleet whose poolers all know the same servers and follow no discovery.
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
fn two_holders_never_act_concurrently_whatever_fails() {
    let _guard = lock(&EXCLUSIVE);
    let scripts = scripts();
    let outcomes =
        run_parallel(&scripts, MAX_CONCURRENT, |script| run_script(script, script.seed, Path::new(PROGRAM)));
    let mut failures = Vec::new();
    for (script, outcome) in scripts.iter().zip(outcomes) {
        let outcome = outcome.expect(&script.name);
        println!("{}, seed {}: {outcome:?}", script.name, script.seed);
        if !outcome.passed(script) {
            failures.push((script.name.clone(), outcome));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Where clocks drift by more than the stated bound, only the check of fencing tokens at the gate still
/// protects: without it, older tokens are accepted.
#[test]
fn without_the_gate_excessive_clock_drift_lets_older_tokens_through() {
    let _guard = lock(&EXCLUSIVE);
    let mut script = scripts().into_iter().find(|script| script.name == "drift-beyond").expect("the script");
    script.gate = false;
    let let_through = (1..=3).any(|seed| {
        let outcome = run_script(&script, seed, Path::new(PROGRAM)).expect("a run");
        println!("seed {seed}: {outcome:?}");
        outcome.verdict.old_tokens_let_through > 0
    });
    assert!(let_through, "the audit found no older token that was let through");
}

/// Writes the key and returns the operator's file with a lease task named `sweep`.
fn operator(folder: &Path, key: &str) -> String {
    std::fs::write(folder.join("key"), key).expect("a file");
    format!(
        "package linnetdeal\nleases: {{site: \"test\", version: 1, voters: [0, 1, 2], longest: \"500ms\", keys: [{:?}],\n\
         tasks: [{{name: \"sweep\", term: \"500ms\"}}]}}\n",
        folder.join("key").display().to_string()
    )
}

#[test]
fn the_operator_api_shows_leases_and_moves_them() {
    let _guard = lock(&EXCLUSIVE);
    let folder = std::env::temp_dir().join(format!("linnetdeal-leases-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let text = operator(&folder, "a key that is long enough");
    let known = json!({"generation": 1, "reset": true, "instances": []});
    let spec = spec(3, 4, known);
    let mut fleet = Fleet::new(spec).expect("a fleet");
    for pooler in 0..3 {
        fleet.start(pooler, &text, &[]).expect("a start");
    }
    for pooler in 0..3 {
        fleet.wait_until_listening(pooler).expect("a pooler");
    }
    let lease_status = |fleet: &Fleet, pooler: usize| -> Value {
        let (status, body) = fleet.call(pooler, "GET", "/-/leases").expect("an answer");
        assert_eq!(status, 200);
        serde_json::from_str(&body).expect("JSON")
    };
    let holder =
        |fleet: &Fleet, pooler: usize| lease_status(fleet, pooler)["tasks"][0]["holder"]["pooler"].as_u64();
    let wait_until = |fleet: &Fleet, holds: &dyn Fn(&Fleet) -> bool| {
        let deadline = Instant::now() + process::WAIT_TIMEOUT;
        while !holds(fleet) {
            assert!(Instant::now() < deadline, "condition not met in time: {}", lease_status(fleet, 0));
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    // All poolers see the same holder.
    wait_until(&fleet, &|fleet| {
        holder(fleet, 0).is_some() && (1..3).all(|pooler| holder(fleet, pooler) == holder(fleet, 0))
    });
    let first = holder(&fleet, 0).expect("a holder") as usize;
    let token = lease_status(&fleet, first)["tasks"][0]["own"]["token"].as_u64().expect("its token");
    assert_eq!(lease_status(&fleet, first)["voters"].as_array().map(Vec::len), Some(3));
    let successor = (first + 1) % 3;
    assert_eq!(
        fleet.call(successor, "POST", "/-/leases/sweep/release").expect("an answer").0,
        409,
        "not its lease"
    );
    assert_eq!(fleet.call(first, "POST", "/-/leases/nothing/release").expect("an answer").0, 409);
    assert_eq!(fleet.call(first, "POST", "/-/leases/sweep/hand/x").expect("an answer").0, 400);
    assert_eq!(fleet.call(first, "GET", "/-/leases/sweep/release").expect("an answer").0, 405);
    assert_eq!(
        fleet.call(first, "POST", &format!("/-/leases/sweep/hand/{successor}")).expect("an answer").0,
        200
    );
    wait_until(&fleet, &|fleet| holder(fleet, first) == Some(successor as u64));
    assert!(lease_status(&fleet, successor)["tasks"][0]["own"]["token"].as_u64() > Some(token));
    // A terminating holder releases its lease first, so that others need not wait for the end of the term.
    fleet.terminate(successor).expect("its end");
    assert!(
        fleet
            .logs()
            .iter()
            .any(|(pooler, log)| *pooler == successor
                && log.iter().any(|line| line.contains("sweep released")))
    );
    drop(fleet);
    // A key that is short enough to be guessed is refused, and the error names the reason.
    let text = operator(&folder, "short");
    let file = folder.join("operator.cue");
    std::fs::write(&file, text).expect("a file");
    let checked = std::process::Command::new(PROGRAM).arg("check").arg(&file).output().expect("the program");
    let errors = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert!(!checked.status.success() && errors.contains("has fewer than 16 bytes"), "{errors}");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn every_script_has_a_step_besides_waiting() {
    let scripts = scripts();
    assert!(scripts.len() >= 25);
    for script in &scripts {
        assert!(script.steps.iter().any(|step| !matches!(step.what, Action::Wait)), "{}", script.name);
    }
}

#[test]
fn one_pooler_per_group_polls_positions_and_sends_them_to_the_others() {
    let _guard = lock(&EXCLUSIVE);
    let folder = std::env::temp_dir().join(format!("linnetdeal-positions-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let text = operator(&folder, "a key that is long enough").replace(
        "tasks: [{name: \"sweep\", term: \"500ms\"}]",
        "positions: {term: \"500ms\", every: \"200ms\"}",
    );
    let members = ReplicaGroup::start(3, std::net::Ipv4Addr::LOCALHOST.into()).expect("a replica group");
    let entry = |(index, address): (usize, &SocketAddr)| {
        json!({"instanceId": format!("s{index}"), "hostPort": address.to_string(), "zone": "a", "machineType": "m",
               "cell": 1, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0})
    };
    let list: Vec<Value> = members.addresses.iter().enumerate().map(entry).collect();
    let known = json!({"generation": 1, "reset": true, "instances": list});
    let spec = spec(5, 6, known);
    let mut fleet = Fleet::new(spec).expect("a fleet");
    fleet.settings["FamilyInfo"]["WhenBehind"] = "bounce".into();
    for pooler in 0..5 {
        fleet.start(pooler, &text, &[]).expect("a start");
    }
    for pooler in 0..5 {
        fleet.wait_until_listening(pooler).expect("a pooler");
    }
    let wait_until = |description: &str, holds: &mut dyn FnMut() -> bool| {
        let deadline = Instant::now() + process::WAIT_TIMEOUT;
        while !holds() {
            assert!(Instant::now() < deadline, "not in time: {description}");
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    // One pooler probes three members five times a second; if all five did, there would be five times as many
    // probes.
    let assert_polled_by_one = |members: &ReplicaGroup| {
        let (began, before) = (Instant::now(), members.probes());
        wait_until("probes", &mut || members.probes() >= before + 45);
        assert!(began.elapsed() > Duration::from_millis(1_500), "45 probes in {:?}", began.elapsed());
    };
    wait_until("a first probe", &mut || members.probes() > 0);
    assert_polled_by_one(&members);
    let holder = (0..5).find(|pooler| {
        let (_, body) = fleet.call(*pooler, "GET", "/-/leases").expect("an answer");
        serde_json::from_str::<Value>(&body).expect("JSON")["tasks"][0]["own"].is_object()
    });
    let holder = holder.expect("a holder");
    for pooler in (0..5).filter(|pooler| *pooler != holder) {
        wait_until("positions received from the holder", &mut || {
            fleet.signal(pooler, "USR1").expect("a signal");
            let log = fleet.log(pooler);
            let counts = log.iter().filter_map(|line| line.split_once("positions_heard="));
            counts.filter_map(|(_, count)| count.trim().parse::<u64>().ok()).any(|count| count >= 10)
        });
    }
    fleet.kill(holder);
    assert_polled_by_one(&members);
    drop(fleet);
    let _ = std::fs::remove_dir_all(&folder);
}
