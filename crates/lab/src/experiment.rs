//! Experiments: a scenario for each of several sizes and loads, with several seeds, on all cores. Each run's figures are a Parquet
//! file of their own, written whole or not at all, so that an experiment that was ended goes on where it was.

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

/// The schema of experiments.
pub const SCHEMA: &str = include_str!("experiment.cue");
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
/// The figures of a run, in the order of their columns.
pub const FIGURES: [&str; 7] =
    ["served", "writes", "p99_ms", "writes_p99_ms", "probes_per_request", "cold_peak", "rules_broken"];
/// How many times a difference is drawn anew, and the chance that its interval leaves out at each end.
const DRAWS: usize = 2_000;
const TAIL: f64 = 0.025;

/// What is to be played.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// The scenario's file.
    pub scenario: String,
    /// Seeds of each.
    pub seeds: u64,
    /// Numbers of poolers; the scenario's own where none is named.
    #[serde(default)]
    pub poolers: Vec<usize>,
    /// Loads; the scenario's own where none is named.
    #[serde(default)]
    pub loads: Vec<f64>,
}

/// One run of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Poolers.
    pub poolers: i64,
    /// The seed.
    pub seed: i64,
    /// The load.
    pub load: f64,
}

/// The figures of a run.
pub type Figures = [f64; FIGURES.len()];

/// Cells with their figures.
pub type Results = Vec<(Cell, Figures)>;

/// The same run's figures before and after.
type Pair = (Figures, Figures);

/// Why an experiment could not be done.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file of it is wrong.
    #[error("{0}")]
    Wrong(#[from] Diagnostics),
    /// A file can't be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A file holds no results.
    #[error("{0}: {1}")]
    Results(PathBuf, parquet::errors::ParquetError),
}

impl Experiment {
    /// Reads one, and its scenario.
    ///
    /// # Errors
    ///
    /// When something in them is wrong.
    pub fn load(path: &Path) -> Result<(Self, Scenario), ExperimentError> {
        let read =
            |path: &Path| std::fs::read(path).map_err(|error| ExperimentError::File(path.into(), error));
        let name = path.display().to_string();
        let tree = unify(SCHEMA, &name, &read(path)?)?;
        let faults = |fault: Diagnostic| Diagnostics { file: name.clone(), diagnostics: vec![fault] };
        let experiment: Self = tree.decode().map_err(faults)?;
        let file = path.parent().unwrap_or(Path::new(".")).join(&experiment.scenario);
        let scenario = Scenario::decode(&file.display().to_string(), &read(&file)?)?;
        Ok((experiment, scenario))
    }

    /// All its runs, each as a scenario of its own.
    #[must_use]
    pub fn cells(&self, scenario: &Scenario) -> Vec<(Cell, Scenario)> {
        let or = |of: &[usize], own| if of.is_empty() { vec![own] } else { of.to_vec() };
        let loads = if self.loads.is_empty() { vec![scenario.traffic.load] } else { self.loads.clone() };
        let mut cells = Vec::new();
        for poolers in or(&self.poolers, scenario.fleet.poolers) {
            for load in &loads {
                for seed in 1..=self.seeds {
                    let mut one = Scenario { seed, ..scenario.clone() };
                    (one.fleet.poolers, one.traffic.load) = (poolers, *load);
                    cells.push((Cell { poolers: poolers as i64, seed: seed as i64, load: *load }, one));
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

/// Writes a run's row; whole, or there is no file.
fn write(path: &Path, name: &str, cell: &Cell, figures: &[f64]) -> Result<(), ExperimentError> {
    let part = path.with_extension("part");
    let wrong = |error| ExperimentError::Results(part.clone(), error);
    let file = File::create(&part).map_err(|error| ExperimentError::File(part.clone(), error))?;
    let schema = Arc::new(parse_message_type(COLUMNS).map_err(wrong)?);
    let properties = Arc::new(WriterProperties::builder().build());
    let mut writer = SerializedFileWriter::new(file, schema, properties).map_err(wrong)?;
    let mut group = writer.next_row_group().map_err(wrong)?;
    let mut whole = [cell.poolers, cell.seed].into_iter();
    let mut real = std::iter::once(cell.load).chain(figures.iter().copied());
    while let Some(mut column) = group.next_column().map_err(wrong)? {
        let written = match column.untyped() {
            ColumnWriter::ByteArrayColumnWriter(to) => to.write_batch(&[ByteArray::from(name)], None, None),
            ColumnWriter::Int64ColumnWriter(to) => {
                to.write_batch(&[whole.next().unwrap_or_default()], None, None)
            }
            ColumnWriter::DoubleColumnWriter(to) => {
                to.write_batch(&[real.next().unwrap_or_default()], None, None)
            }
            _ => Ok(0),
        };
        written.map_err(wrong)?;
        column.close().map_err(wrong)?;
    }
    group.close().map_err(wrong)?;
    writer.close().map_err(wrong)?;
    std::fs::rename(&part, path).map_err(|error| ExperimentError::File(path.into(), error))
}

/// Reads all results of a folder, in the order of their files.
///
/// # Errors
///
/// When a file can't be read, or holds no results.
pub fn read_results(folder: &Path) -> Result<Results, ExperimentError> {
    let failed = |error| ExperimentError::File(folder.into(), error);
    let files = std::fs::read_dir(folder).map_err(failed)?.map(|entry| Ok(entry?.path()));
    let mut files = files.collect::<std::io::Result<Vec<_>>>().map_err(failed)?;
    files.retain(|path| path.extension().is_some_and(|of| of == "parquet"));
    files.sort();
    let mut results = Results::new();
    for path in files {
        let wrong = |error| ExperimentError::Results(path.clone(), error);
        let file = File::open(&path).map_err(|error| ExperimentError::File(path.clone(), error))?;
        let reader = SerializedFileReader::new(file).map_err(wrong)?;
        for row in reader.get_row_iter(None).map_err(wrong)? {
            let row = row.map_err(wrong)?;
            let cell = Cell {
                poolers: row.get_long(1).map_err(wrong)?,
                seed: row.get_long(2).map_err(wrong)?,
                load: row.get_double(3).map_err(wrong)?,
            };
            let mut figures = [0.0; FIGURES.len()];
            for (at, figure) in figures.iter_mut().enumerate() {
                *figure = row.get_double(4 + at).map_err(wrong)?;
            }
            results.push((cell, figures));
        }
    }
    Ok(results)
}

/// Plays what of an experiment is not there yet; gives how many runs that were, of how many.
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
        let work = || -> Result<(), ExperimentError> {
            while let Some((cell, scenario)) = missing.get(next.fetch_add(1, Ordering::Relaxed)) {
                write(&file(cell), &experiment.name, cell, &figures(&emulator::run_scenario(scenario)))?;
                bar.inc(1);
            }
            Ok(())
        };
        let threads: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        threads.into_iter().map(|thread| thread.join().unwrap_or(Ok(()))).collect::<Result<Vec<_>, _>>()
    });
    bar.finish_and_clear();
    done.map(|_| (missing.len(), cells.len()))
}

/// How a figure of some cells differs between two sets of results.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Poolers and load of these cells.
    pub cell: (i64, f64),
    /// The figure's name.
    pub figure: &'static str,
    /// The means.
    pub means: (f64, f64),
    /// The difference of the means lies between these with a chance of 95%, by the bootstrap.
    pub interval: (f64, f64),
    /// Seeds that both have.
    pub seeds: usize,
}

/// Compares two sets of results seed by seed: the same chances befell both, so that it is the differences that are drawn anew.
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
        for (at, figure) in FIGURES.into_iter().enumerate() {
            let mean = |of: &dyn Fn(&Pair) -> f64| pairs.iter().map(of).sum::<f64>() / pairs.len() as f64;
            let differences: Vec<f64> = pairs.iter().map(|(a, b)| b[at] - a[at]).collect();
            let mut drawn: Vec<f64> = (0..DRAWS)
                .map(|_| {
                    let one = |_| differences[rng.next_u32() as usize % differences.len()];
                    (0..differences.len()).map(one).sum::<f64>() / differences.len() as f64
                })
                .collect();
            drawn.sort_by(f64::total_cmp);
            let out = (DRAWS as f64 * TAIL) as usize;
            all.push(Difference {
                cell: (poolers, f64::from_bits(load)),
                figure,
                means: (mean(&|(a, _)| a[at]), mean(&|(_, b)| b[at])),
                interval: (drawn[out], drawn[DRAWS - 1 - out]),
                seeds: pairs.len(),
            });
        }
    }
    all
}
