//! Experiments: a run is there whole or not at all, what is there is not played again, and differences have their intervals.

use linnetdeal_lab::experiment::{self, Cell, Experiment, FIGURES, Results};

const SCENARIO: &str =
    "name: \"small\"\nfleet: {members: 3, poolers: 2}\ntraffic: {load: 0.3, lasts: \"4s\"}\n";
const EXPERIMENT: &str = "name: \"sizes\"\nscenario: \"small.cue\"\nseeds: 2\npoolers: [1, 3]\n";

#[test]
fn what_is_there_is_not_played_again_and_what_is_torn_is() {
    let folder = std::env::temp_dir().join(format!("linnetdeal-experiment-{}", std::process::id()));
    let results = folder.join("results");
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("small.cue"), SCENARIO).unwrap();
    std::fs::write(folder.join("sizes.cue"), EXPERIMENT).unwrap();
    let (experiment, scenario) = Experiment::load(&folder.join("sizes.cue")).unwrap();
    assert_eq!(experiment::run_missing(&experiment, &scenario, &results, 2).unwrap(), (4, 4));
    let first = experiment::read_results(&results).unwrap();
    assert_eq!(experiment::run_missing(&experiment, &scenario, &results, 2).unwrap(), (0, 4));

    // It was killed in the middle of a file: the part is no result, and the run is played again.
    let torn = results.join("sizes-p00003-l0.300-s00002.parquet");
    let bytes = std::fs::read(&torn).unwrap();
    std::fs::remove_file(&torn).unwrap();
    std::fs::write(torn.with_extension("part"), &bytes[..bytes.len() / 2]).unwrap();
    assert_eq!(experiment::read_results(&results).unwrap().len(), 3);
    assert_eq!(experiment::run_missing(&experiment, &scenario, &results, 2).unwrap(), (1, 4));
    assert_eq!(experiment::read_results(&results).unwrap(), first, "the same seed gives the same figures");

    // A file that is no result is told by its name.
    std::fs::write(&torn, &bytes[..bytes.len() / 2]).unwrap();
    let error = experiment::read_results(&results).unwrap_err().to_string();
    assert!(error.contains("s00002.parquet"), "{error}");
    let wrong = EXPERIMENT.replace("seeds: 2", "seeds: 0");
    std::fs::write(folder.join("sizes.cue"), wrong).unwrap();
    let error = Experiment::load(&folder.join("sizes.cue")).unwrap_err().to_string();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(error.contains("sizes.cue:3:8: 'seeds': 0"), "{error}");
}

#[test]
fn a_difference_has_an_interval_round_it_and_seeds_are_paired() {
    let results = |more: f64| -> Results {
        let one = |seed: i64| {
            let mut figures = [0.0; FIGURES.len()];
            // Seeds differ by far more than the two do.
            figures[0] = seed as f64 + more + 0.001 * (seed % 3) as f64 * more;
            (Cell { poolers: 4, seed, load: 0.5 }, figures)
        };
        (1..=20).map(one).collect()
    };
    let differences = experiment::compare(&results(0.0), &results(0.01));
    let served = &differences[0];
    assert_eq!((served.figure, served.seeds, differences.len()), ("served", 20, FIGURES.len()));
    assert!(served.interval.0 > 0.0099 && served.interval.1 < 0.0102, "{served:?}");
    assert!(differences[1].interval == (0.0, 0.0));
    assert!(experiment::compare(&results(0.0), &Vec::new()).is_empty(), "nothing to pair");
}
