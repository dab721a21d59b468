//! Experiments: results are written atomically, runs with a result are not repeated, and differences have confidence
//! intervals.

use linnetdeal_lab::experiment::{self, Cell, Experiment, FIGURES, Results};

const SCENARIO: &str =
    "name: \"small\"\nfleet: {members: 3, poolers: 2}\ntraffic: {load: 0.3, lasts: \"4s\"}\n";
const EXPERIMENT: &str = "name: \"sizes\"\nscenario: \"small.cue\"\nseeds: 2\npoolers: [1, 3]\n";

#[test]
fn runs_with_a_result_are_skipped_and_partly_written_ones_are_repeated() {
    let folder = std::env::temp_dir().join(format!("linnetdeal-experiment-{}", std::process::id()));
    let results = folder.join("results");
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("small.cue"), SCENARIO).unwrap();
    std::fs::write(folder.join("sizes.cue"), EXPERIMENT).unwrap();
    let (experiment, scenario) = Experiment::load(&folder.join("sizes.cue")).unwrap();
    assert_eq!(experiment::run_missing(&experiment, &scenario, &results, 2).unwrap(), (4, 4));
    let first = experiment::read_results(&results).unwrap();
    assert_eq!(experiment::run_missing(&experiment, &scenario, &results, 2).unwrap(), (0, 4));

    // A process killed while writing leaves a partial file, which is not a result: the run is repeated.
    let partial = results.join("sizes-p00003-l0.300-s00002.parquet");
    let bytes = std::fs::read(&partial).unwrap();
    std::fs::remove_file(&partial).unwrap();
    std::fs::write(partial.with_extension("part"), &bytes[..bytes.len() / 2]).unwrap();
    assert_eq!(experiment::read_results(&results).unwrap().len(), 3);
    assert_eq!(experiment::run_missing(&experiment, &scenario, &results, 2).unwrap(), (1, 4));
    assert_eq!(experiment::read_results(&results).unwrap(), first, "the same seed gives the same figures");

    // An invalid results file is named in the error.
    std::fs::write(&partial, &bytes[..bytes.len() / 2]).unwrap();
    let error = experiment::read_results(&results).unwrap_err().to_string();
    assert!(error.contains("s00002.parquet"), "{error}");
    let invalid = EXPERIMENT.replace("seeds: 2", "seeds: 0");
    std::fs::write(folder.join("sizes.cue"), invalid).unwrap();
    let error = Experiment::load(&folder.join("sizes.cue")).unwrap_err().to_string();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(error.contains("sizes.cue:3:8: 'seeds': 0"), "{error}");
}

#[test]
fn differences_are_paired_by_seed_and_have_a_confidence_interval() {
    let results = |offset: f64| -> Results {
        let one = |seed: i64| {
            let mut figures = [0.0; FIGURES.len()];
            // Seeds differ by far more than the two sets do.
            figures[0] = seed as f64 + offset + 0.001 * (seed % 3) as f64 * offset;
            (Cell { poolers: 4, seed, load: 0.5 }, figures)
        };
        (1..=20).map(one).collect()
    };
    let differences = experiment::compare(&results(0.0), &results(0.01));
    let served = &differences[0];
    assert_eq!((served.figure, served.seeds, differences.len()), ("served", 20, FIGURES.len()));
    assert!(served.interval.0 > 0.0099 && served.interval.1 < 0.0102, "{served:?}");
    assert!(differences[1].interval == (0.0, 0.0));
    assert!(experiment::compare(&results(0.0), &Vec::new()).is_empty(), "no pairs");
}
