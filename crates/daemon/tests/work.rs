//! Maintenance plans carried out by processes of the program: a fixed part of `make proof-work` with fixed
//! seeds, one test for each script.

use linnetdeal_lab::lock;
use linnetdeal_lab::processes::process;
use linnetdeal_lab::work::runner::run_script;
use linnetdeal_lab::work::script::Script;
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex};

/// Maximum number of scripts that run concurrently: each starts five to ten processes, most of which are idle.
const MAX_CONCURRENT: usize = 4;

/// Number of scripts that are running.
static RUNNING: Mutex<usize> = Mutex::new(0);
/// Notified when a script has ended.
static ENDED: Condvar = Condvar::new();

/// A permit to run one script, returned when dropped.
struct Permit;

impl Permit {
    fn acquire() -> Self {
        let running = lock(&RUNNING);
        let mut running = ENDED.wait_while(running, |running| *running >= MAX_CONCURRENT).unwrap();
        *running += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut running = lock(&RUNNING);
        *running -= 1;
        ENDED.notify_one();
        // The last script of all is among those that check this.
        if *running == 0 && !std::thread::panicking() {
            let (started, ended) = process::counts();
            assert_eq!(started, ended, "every process that was started has ended");
        }
    }
}

/// Runs a script, which has to end well with at least `min_worked` machines worked on.
fn check_script(name: &str, min_worked: usize) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../scenarios/work/{name}.cue"));
    let script = Script::decode(name, &std::fs::read(&file).unwrap()).unwrap();
    let permit = Permit::acquire();
    let outcome = run_script(&script, script.seed, &PathBuf::from(env!("CARGO_BIN_EXE_linnetdeal"))).unwrap();
    println!("{name} with seed {}: {outcome:?}", script.seed);
    assert!(outcome.passed(&script), "{name}: {outcome:#?}");
    assert!(outcome.worked >= min_worked, "{name}: {} machines were worked on", outcome.worked);
    drop(permit);
}

#[test]
fn script_leader_killed() {
    check_script("leader-killed", 6);
}

#[test]
fn script_leader_cut_off() {
    check_script("leader-cut-off", 6);
}

#[test]
fn script_leader_stopped() {
    check_script("leader-stopped", 6);
}

#[test]
fn script_dies_after_03() {
    check_script("dies-after-03", 1);
}

#[test]
fn script_dies_after_09() {
    check_script("dies-after-09", 1);
}

#[test]
fn script_dies_after_18() {
    check_script("dies-after-18", 1);
}

#[test]
fn script_dies_after_28() {
    check_script("dies-after-28", 1);
}

#[test]
fn script_unheard() {
    check_script("unheard", 1);
}

#[test]
fn script_forced() {
    check_script("forced", 1);
}

#[test]
fn script_voters_forget() {
    check_script("voters-forget", 6);
}

#[test]
fn script_two_staff() {
    check_script("two-staff", 2);
}

#[test]
fn script_refused() {
    check_script("refused", 1);
}

#[test]
fn script_never() {
    check_script("never", 0);
}

#[test]
fn script_cancelled() {
    check_script("cancelled", 2);
}

#[test]
fn script_by_hand() {
    check_script("by-hand", 2);
}

#[test]
fn script_server_dies() {
    check_script("server-dies", 9);
}

#[test]
fn script_replaced() {
    check_script("replaced", 6);
}

#[test]
fn script_poolers() {
    check_script("poolers", 5);
}

#[test]
fn script_noise() {
    check_script("noise", 6);
}
