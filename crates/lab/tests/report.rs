//! A run's report: written atomically, and self-contained without links to other resources.

use linnetdeal_fleet::scenario::Scenario;
use linnetdeal_lab::{emulator, plot};

const SMALL: &str = r#"
name: "small"
fleet: {members: 3, poolers: 2}
traffic: {load: 0.3, lasts: "5s"}
troubles: [{at: "2s", what: "crash", who: "primary"}]
"#;

#[test]
fn a_report_is_one_file_with_charts_and_marked_troubles() {
    let scenario = Scenario::decode("small.cue", SMALL.as_bytes()).unwrap();
    let mut charts = plot::ChartRecorder::with_charts(linnetdeal_fleet::sim::BEGIN);
    let run = emulator::run_with_charts(&scenario, &mut charts);
    assert_eq!(charts.troubles, [2.0]);
    let html = plot::report(&run, &charts).unwrap();
    assert_eq!((html.matches("<svg").count(), html.contains("rules broken<td>none")), (5, true));
    for line in ["top-up", "the middle box", "writes that wait"] {
        assert!(html.contains(line), "{line}");
    }
    let links = html.matches("http").count();
    assert_eq!(links, html.matches("http://www.w3.org/2000/svg").count(), "only XML namespaces, no links");

    let folder = std::env::temp_dir().join(format!("linnetdeal-report-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    plot::write_atomically(&folder.join("run.html"), &html).unwrap();
    assert!(
        plot::write_atomically(&folder.join("none/run.html"), &html).is_err(),
        "the folder does not exist"
    );
    let remaining: Vec<_> =
        std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().file_name()).collect();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(remaining, ["run.html"]);
}

#[test]
fn every_scenario_of_the_library_is_valid_and_named_as_its_file() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let library = emulator::load_library(&folder).unwrap();
    assert!(library.len() >= 12);
    for scenario in library {
        assert!(folder.join(format!("{}.cue", scenario.name)).exists(), "{}", scenario.name);
        assert!(!scenario.troubles.is_empty() || scenario.name == "calm");
    }
}
