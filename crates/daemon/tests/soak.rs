//! A short soak on real sockets: the program breaks no rule in overlapping troubles, and broken variants of it are found. The
//! long one is `make -s soak`.

use linnetdeal_lab::soak::{Report, Spec, run_soak};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

/// Plays judge times: one at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// Where cargo lays the library with failing calls: beside the tests.
fn shim() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let path = own.parent().unwrap().join("liblinnetdeal_lab_shim.so");
    assert!(path.exists(), "{} is not built", path.display());
    path
}

fn soak(seed: u64, mutant: Option<&str>) -> Report {
    let _alone = ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let folder = std::env::temp_dir().join(format!("linnetdeal-soak-{}-{seed}", std::process::id()));
    let spec = Spec {
        program: Path::new(env!("CARGO_BIN_EXE_linnetdeal")).to_owned(),
        shim: Some(shim()),
        folder: folder.clone(),
        poolers: 8,
        clients: 3,
        duration: Duration::from_secs(6),
        seed,
        mutant: mutant.map(str::to_owned),
        only: Vec::new(),
        failing_calls: None,
    };
    let report = run_soak(&spec).unwrap();
    let _ = std::fs::remove_dir_all(folder);
    println!("{}", report.json());
    report
}

#[test]
fn no_rule_is_broken_in_overlapping_troubles() {
    for seed in [1, 2] {
        let report = soak(seed, None);
        assert_eq!(report.violation_count(), 0, "{:#?}", report.details);
        assert!(
            report.counts.served > 0 && report.injected.len() > 5 && report.overlapping_pairs.len() > 20,
            "{report:?}"
        );
        assert!(report.failed_calls.values().sum::<u64>() > 0, "no call of the system was made to fail");
    }
}

#[test]
fn a_variant_that_forgets_answers_is_found() {
    assert!(soak(3, Some("forgotten-answer")).violation_count() > 0);
}

#[test]
fn a_variant_that_takes_no_drain_is_found() {
    assert!(soak(4, Some("ignored-drains")).violation_count() > 0);
}
