//! Machines out for work with processes of the program: a fixed part of `make proof-work`, the same each time.

use linnetdeal_lab::at_once;
use linnetdeal_lab::processes::process;
use linnetdeal_lab::work::play::play;
use linnetdeal_lab::work::script::Script;
use std::path::{Path, PathBuf};

/// Played at the same time: each has five to ten processes, most of which wait.
const AT_ONCE: usize = 4;

#[test]
fn machines_go_out_and_come_back_whoever_dies() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/work");
    let mut scripts = Script::folder(&folder).unwrap();
    let all = scripts.len();
    let wanted = [
        "leader-killed",
        "leader-cut-off",
        "leader-stopped",
        "dies-after-03",
        "dies-after-09",
        "dies-after-18",
        "dies-after-28",
        "unheard",
        "forced",
        "voters-forget",
        "two-staff",
        "refused",
        "never",
        "cancelled",
        "by-hand",
        "server-dies",
        "replaced",
        "poolers",
        "noise",
    ];
    scripts.retain(|script| wanted.contains(&script.name.as_str()));
    assert_eq!(scripts.len(), wanted.len(), "of {all} scripts");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_linnetdeal"));
    let outcomes = at_once(&scripts, AT_ONCE, |script| play(script, script.seed, &program).unwrap());
    let mut worked = 0;
    for (script, outcome) in scripts.iter().zip(&outcomes) {
        println!("{} with seed {}: {outcome:?}", script.name, script.seed);
        worked += outcome.worked;
        assert!(outcome.is_well(script), "{}: {outcome:#?}", script.name);
    }
    assert!(worked > 50, "{worked} machines were worked on");
    let (started, ended) = process::count();
    assert_eq!(started, ended, "every process that was started has ended");
}
