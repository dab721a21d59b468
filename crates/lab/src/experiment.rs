//! Experiments: a scenario run with several fleet sizes, loads and seeds, on all cores. The figures of each run are
//! written atomically to a Parquet file of their own, so that an interrupted experiment resumes where it stopped.

use crate::emulator::{self, ScenarioRun};
use indicatif::{ProgressBar, ProgressStyle};
use linnetdeal_fleet::scenario::Scenario;
use linnetdeal_operator::{Diagnostic, Diagnostics, unify};
use parquet::column::writer::ColumnWriter;
use parquet::data_type::ByteArray;
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::record::RowAccessor;
use parquet::schema::parser::parse_message_type;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Schema of experiment files.
pub const SCHEMA: &str = include_str!("experiment.cue");
/// Parquet schema of a run's file.
const COLUMNS: &str = "message run {
    REQUIRED BYTE_ARRAY scenario (UTF8);
    REQUIRED INT64 poolers;
    REQUIRED INT64 seed;
    REQUIRED DOUBLE load;
    REQUIRED DOUBLE served;
    REQUIRED DOUBLE writes;
    REQUIRED DOUBLE p99_ms;
    REQUIRED DOUBLE writes_p99_ms;
    REQUIRED DOUBLE probes_per_request;
    REQUIRED DOUBLE cold_peak;
    REQUIRED DOUBLE rules_broken;
}";
/// Names of a run's figures, in the order of their columns.
pub const FIGURES: [&str; 7] =
    ["served", "writes", "p99_ms", "writes_p99_ms", "probes_per_request", "cold_peak", "rules_broken"];
/// Number of bootstrap resamples.
const RESAMPLES: usize = 2_000;
/// Probability outside of the interval at each end.
const TAIL: f64 = 0.025;

/// An experiment, as its file describes it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// Path of the scenario, relative to the experiment's file.
    pub scenario: String,
    /// Number of seeds for each combination of poolers and load.
    pub seeds: u64,
    /// Numbers of poolers; the scenario's own if empty.
    #[serde(default)]
    pub poolers: Vec<usize>,
    /// Loads; the scenario's own if empty.
    #[serde(default)]
    pub loads: Vec<f64>,
}

/// Parameters of one run of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Number of poolers.
    pub poolers: i64,
    /// Seed of the run.
    pub seed: i64,
    /// Load of the run.
    pub load: f64,
}

/// Figures of a run, in the order of [`FIGURES`].
pub type Figures = [f64; FIGURES.len()];

/// Runs with their figures.
pub type Results = Vec<(Cell, Figures)>;

/// Figures of the same run in two sets of results.
type Pair = (Figures, Figures);

/// Why an experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The experiment or its scenario is not valid.
    #[error("{0}")]
    Invalid(#[from] Diagnostics),
    /// A file can't be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A results file can't be decoded or encoded.
    #[error("{0}: {1}")]
    Results(PathBuf, parquet::errors::ParquetError),
}

impl Experiment {
    /// Reads an experiment and its scenario.
    ///
    /// # Errors
    ///
    /// When a file can't be read or is not valid.
    pub fn load(path: &Path) -> Result<(Self, Scenario), ExperimentError> {
        let read =
            |path: &Path| std::fs::read(path).map_err(|error| ExperimentError::File(path.into(), error));
        let name = path.display().to_string();
        let tree = unify(SCHEMA, &name, &read(path)?)?;
        let invalid =
            |diagnostic: Diagnostic| Diagnostics { file: name.clone(), diagnostics: vec![diagnostic] };
        let experiment: Self = tree.decode().map_err(invalid)?;
        let file = path.parent().unwrap_or(Path::new(".")).join(&experiment.scenario);
        let scenario = Scenario::decode(&file.display().to_string(), &read(&file)?)?;
        Ok((experiment, scenario))
    }

    /// All runs of the experiment, each with its scenario.
    #[must_use]
    pub fn cells(&self, scenario: &Scenario) -> Vec<(Cell, Scenario)> {
        let values_or =
            |values: &[usize], default| if values.is_empty() { vec![default] } else { values.to_vec() };
        let loads = if self.loads.is_empty() { vec![scenario.traffic.load] } else { self.loads.clone() };
        let mut cells = Vec::new();
        for poolers in values_or(&self.poolers, scenario.fleet.poolers) {
            for load in &loads {
                for seed in 1..=self.seeds {
                    let mut variant = Scenario { seed, ..scenario.clone() };
                    (variant.fleet.poolers, variant.traffic.load) = (poolers, *load);
                    cells.push((Cell { poolers: poolers as i64, seed: seed as i64, load: *load }, variant));
                }
            }
        }
        cells
    }
}

fn figures(played: &ScenarioRun) -> Figures {
    let p99 = |class: usize| played.outcome.latency[class].value_at_quantile(0.99) as f64 / 1_000.0;
    [
        played.outcome.served_share(),
        played.outcome.class_served_share(played.outcome.write_class()),
        p99(0),
        p99(played.outcome.write_class()),
        played.outcome.probes as f64 / played.outcome.requests.iter().sum::<u64>().max(1) as f64,
        played.audit_report.cold_peak,
        played.audit_report.violations.values().sum::<u64>() as f64,
    ]
}

/// Writes the row of a run atomically: a partly written file never has the final name.
fn write(path: &Path, name: &str, cell: &Cell, figures: &[f64]) -> Result<(), ExperimentError> {
    let part = path.with_extension("part");
    let results_error = |error| ExperimentError::Results(part.clone(), error);
    let file = File::create(&part).map_err(|error| ExperimentError::File(part.clone(), error))?;
    let schema = Arc::new(parse_message_type(COLUMNS).map_err(results_error)?);
    let properties = Arc::new(WriterProperties::builder().build());
    let mut writer = SerializedFileWriter::new(file, schema, properties).map_err(results_error)?;
    let mut group = writer.next_row_group().map_err(results_error)?;
    let mut integers = [cell.poolers, cell.seed].into_iter();
    let mut reals = std::iter::once(cell.load).chain(figures.iter().copied());
    while let Some(mut column) = group.next_column().map_err(results_error)? {
        let written = match column.untyped() {
            ColumnWriter::ByteArrayColumnWriter(to) => to.write_batch(&[ByteArray::from(name)], None, None),
            ColumnWriter::Int64ColumnWriter(to) => {
                to.write_batch(&[integers.next().unwrap_or_default()], None, None)
            }
            ColumnWriter::DoubleColumnWriter(to) => {
                to.write_batch(&[reals.next().unwrap_or_default()], None, None)
            }
            _ => Ok(0),
        };
        written.map_err(results_error)?;
        column.close().map_err(results_error)?;
    }
    group.close().map_err(results_error)?;
    writer.close().map_err(results_error)?;
    std::fs::rename(&part, path).map_err(|error| ExperimentError::File(path.into(), error))
}

/// Reads all results of a folder, sorted by file name.
///
/// # Errors
///
/// When a file can't be read or decoded.
pub fn read_results(folder: &Path) -> Result<Results, ExperimentError> {
    let failed = |error| ExperimentError::File(folder.into(), error);
    let files = std::fs::read_dir(folder).map_err(failed)?.map(|entry| Ok(entry?.path()));
    let mut files = files.collect::<std::io::Result<Vec<_>>>().map_err(failed)?;
    files.retain(|path| path.extension().is_some_and(|extension| extension == "parquet"));
    files.sort();
    let mut results = Results::new();
    for path in files {
        let results_error = |error| ExperimentError::Results(path.clone(), error);
        let file = File::open(&path).map_err(|error| ExperimentError::File(path.clone(), error))?;
        let reader = SerializedFileReader::new(file).map_err(results_error)?;
        for row in reader.get_row_iter(None).map_err(results_error)? {
            let row = row.map_err(results_error)?;
            let cell = Cell {
                poolers: row.get_long(1).map_err(results_error)?,
                seed: row.get_long(2).map_err(results_error)?,
                load: row.get_double(3).map_err(results_error)?,
            };
            let mut figures = [0.0; FIGURES.len()];
            for (index, figure) in figures.iter_mut().enumerate() {
                *figure = row.get_double(4 + index).map_err(results_error)?;
            }
            results.push((cell, figures));
        }
    }
    Ok(results)
}

/// Runs the parts of an experiment that have no results file yet. Returns the number of these runs and of all runs.
///
/// # Errors
///
/// When a result can't be written.
pub fn run_missing(
    experiment: &Experiment,
    scenario: &Scenario,
    folder: &Path,
    threads: usize,
) -> Result<(usize, usize), ExperimentError> {
    std::fs::create_dir_all(folder).map_err(|error| ExperimentError::File(folder.into(), error))?;
    let cells = experiment.cells(scenario);
    let file = |cell: &Cell| {
        let Cell { poolers, seed, load } = cell;
        folder.join(format!("{}-p{poolers:05}-l{load:.3}-s{seed:05}.parquet", experiment.name))
    };
    let missing: Vec<_> = cells.iter().filter(|(cell, _)| !file(cell).exists()).collect();
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left");
    let bar =
        ProgressBar::new(missing.len() as u64).with_style(style.unwrap_or(ProgressStyle::default_bar()));
    let next = AtomicUsize::new(0);
    let done = std::thread::scope(|scope| {
        let worker = || -> Result<(), ExperimentError> {
            while let Some((cell, scenario)) = missing.get(next.fetch_add(1, Ordering::Relaxed)) {
                write(&file(cell), &experiment.name, cell, &figures(&emulator::run_scenario(scenario)))?;
                bar.inc(1);
            }
            Ok(())
        };
        let threads: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(worker)).collect();
        threads.into_iter().map(|thread| thread.join().unwrap_or(Ok(()))).collect::<Result<Vec<_>, _>>()
    });
    bar.finish_and_clear();
    done.map(|_| (missing.len(), cells.len()))
}

/// Difference of a figure between two sets of results.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Number of poolers and load of the compared runs.
    pub cell: (i64, f64),
    /// Name of the figure.
    pub figure: &'static str,
    /// Mean of the figure in each set.
    pub means: (f64, f64),
    /// 95% bootstrap confidence interval of the difference of the means.
    pub interval: (f64, f64),
    /// Number of seeds that both sets have.
    pub seeds: usize,
}

/// Compares two sets of results, paired by seed. Runs with the same seed have the same random events, so the
/// differences of the pairs are resampled.
#[must_use]
pub fn compare(a: &Results, b: &Results) -> Vec<Difference> {
    let key = |cell: &Cell| (cell.poolers, cell.load.to_bits());
    let of_b: BTreeMap<_, _> = b.iter().map(|(cell, figures)| ((key(cell), cell.seed), figures)).collect();
    let mut pairs: BTreeMap<(i64, u64), Vec<Pair>> = BTreeMap::new();
    for (cell, figures) in a {
        if let Some(other) = of_b.get(&(key(cell), cell.seed)) {
            pairs.entry(key(cell)).or_default().push((*figures, **other));
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut all = Vec::new();
    for ((poolers, load), pairs) in pairs {
        for (index, figure) in FIGURES.into_iter().enumerate() {
            let mean = |get: &dyn Fn(&Pair) -> f64| pairs.iter().map(get).sum::<f64>() / pairs.len() as f64;
            let differences: Vec<f64> = pairs.iter().map(|(a, b)| b[index] - a[index]).collect();
            let mut resampled: Vec<f64> = (0..RESAMPLES)
                .map(|_| {
                    let draw = |_| differences[rng.next_u32() as usize % differences.len()];
                    (0..differences.len()).map(draw).sum::<f64>() / differences.len() as f64
                })
                .collect();
            resampled.sort_by(f64::total_cmp);
            let tail_count = (RESAMPLES as f64 * TAIL) as usize;
            all.push(Difference {
                cell: (poolers, f64::from_bits(load)),
                figure,
                means: (mean(&|(a, _)| a[index]), mean(&|(_, b)| b[index])),
                interval: (resampled[tail_count], resampled[RESAMPLES - 1 - tail_count]),
                seeds: pairs.len(),
            });
        }
    }
    all
}
