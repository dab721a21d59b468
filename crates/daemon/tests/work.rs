//! Machines out for work with processes of the program: a fixed part of `make proof-work`, the same each time, a test for each script.

use linnetdeal_lab::lock;
use linnetdeal_lab::processes::process;
use linnetdeal_lab::work::play::play;
use linnetdeal_lab::work::script::Script;
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex};

/// Played at the same time: each has five to ten processes, most of which wait.
const AT_ONCE: usize = 4;

/// How many are played now.
static PLAYED: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A place among those that are played at the same time, until it is dropped.
struct Place;

impl Place {
    fn take() -> Self {
        let played = lock(&PLAYED);
        let mut played = ENDED.wait_while(played, |played| *played >= AT_ONCE).unwrap();
        *played += 1;
        Self
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut played = lock(&PLAYED);
        *played -= 1;
        ENDED.notify_one();
        // Whoever is the last of all is among those who look.
        if *played == 0 && !std::thread::panicking() {
            let (started, ended) = process::counts();
            assert_eq!(started, ended, "every process that was started has ended");
        }
    }
}

/// Plays a script in which so many machines are worked on at least.
fn plays(name: &str, worked: usize) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../scenarios/work/{name}.cue"));
    let script = Script::decode(name, &std::fs::read(&file).unwrap()).unwrap();
    let place = Place::take();
    let outcome = play(&script, script.seed, &PathBuf::from(env!("CARGO_BIN_EXE_linnetdeal"))).unwrap();
    println!("{name} with seed {}: {outcome:?}", script.seed);
    assert!(outcome.is_well(&script), "{name}: {outcome:#?}");
    assert!(outcome.worked >= worked, "{name}: {} machines were worked on", outcome.worked);
    drop(place);
}

#[test]
fn script_leader_killed() {
    plays("leader-killed", 6);
}

#[test]
fn script_leader_cut_off() {
    plays("leader-cut-off", 6);
}

#[test]
fn script_leader_stopped() {
    plays("leader-stopped", 6);
}

#[test]
fn script_dies_after_03() {
    plays("dies-after-03", 1);
}

#[test]
fn script_dies_after_09() {
    plays("dies-after-09", 1);
}

#[test]
fn script_dies_after_18() {
    plays("dies-after-18", 1);
}

#[test]
fn script_dies_after_28() {
    plays("dies-after-28", 1);
}

#[test]
fn script_unheard() {
    plays("unheard", 1);
}

#[test]
fn script_forced() {
    plays("forced", 1);
}

#[test]
fn script_voters_forget() {
    plays("voters-forget", 6);
}

#[test]
fn script_two_staff() {
    plays("two-staff", 2);
}

#[test]
fn script_refused() {
    plays("refused", 1);
}

#[test]
fn script_never() {
    plays("never", 0);
}

#[test]
fn script_cancelled() {
    plays("cancelled", 2);
}

#[test]
fn script_by_hand() {
    plays("by-hand", 2);
}

#[test]
fn script_server_dies() {
    plays("server-dies", 9);
}

#[test]
fn script_replaced() {
    plays("replaced", 6);
}

#[test]
fn script_poolers() {
    plays("poolers", 5);
}

#[test]
fn script_noise() {
    plays("noise", 6);
}
