//! The lab's command line.

use clap::{Parser, Subcommand};
use linnetdeal_lab::play::{Outcome, play, program};
use linnetdeal_lab::script::Script;
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;

/// Stand-ins, scripts and proofs round linnetdeal, on loopback only.
#[derive(Parser)]
#[command(name = "linnetdeal-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play scripts against a stand-in registry, and print what came out as one JSON object.
    Eureka {
        /// A file of scripts; the built-in ones without it.
        #[arg(long)]
        script: Option<PathBuf>,
        /// Only scripts whose names hold this.
        #[arg(long, default_value = "")]
        only: String,
        /// For the clients' choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Scripts that run at the same time.
        #[arg(long, default_value_t = 3)]
        side_by_side: usize,
    },
    /// Measure what registries of different sizes cost the pooler, a JSON object a line.
    EurekaBench {
        /// Instances.
        #[arg(long, value_delimiter = ',', default_value = "200,2000,20000")]
        sizes: Vec<usize>,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Eureka { script, only, seed, side_by_side } => eureka(script, &only, seed, side_by_side),
        Command::EurekaBench { sizes } => bench(&sizes),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("linnetdeal-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn bench(sizes: &[usize]) -> Result<bool, Failure> {
    for size in sizes {
        println!("{}", linnetdeal_lab::sizes::measure(&program(), *size)?);
    }
    Ok(true)
}

/// Whether all came out as it should.
fn eureka(script: Option<PathBuf>, only: &str, seed: u64, side_by_side: usize) -> Result<bool, Failure> {
    let mut scripts = match script {
        Some(path) => Script::load(&path)?,
        None => Script::eureka()?,
    };
    scripts.retain(|script| script.name.contains(only));
    let program = program();
    let queue = Mutex::new(scripts.iter().enumerate());
    let outcomes: Mutex<Vec<(usize, std::io::Result<Outcome>)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..side_by_side.max(1) {
            scope.spawn(|| {
                loop {
                    let Some((at, script)) = linnetdeal_lab::lock(&queue).next() else { return };
                    let outcome = play(script, &program, seed);
                    linnetdeal_lab::lock(&outcomes).push((at, outcome));
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().unwrap_or_default();
    outcomes.sort_by_key(|(at, _)| *at);
    let mut whole = linnetdeal_lab::ledger::Verdict::default();
    let (mut well, mut missed, mut shares) = (true, 0, std::collections::BTreeMap::new());
    for (at, outcome) in outcomes {
        let name = &scripts[at].name;
        match outcome {
            Err(error) => {
                well = false;
                println!("{name:<22} could not be played: {error}");
            }
            Ok(Outcome { verdict, missed: words, share, .. }) => {
                println!(
                    "{name:<22} requests {:>5}  served {share:.4}  drains {}  worst {:>6.1} ms  broken {}  stale {}  doubled {}  outside {}{}",
                    verdict.requests,
                    verdict.drains,
                    verdict.worst_drain_ms,
                    verdict.drains_broken,
                    verdict.stale_reads,
                    verdict.writes_doubled,
                    verdict.sends_outside,
                    if words.is_empty() { "" } else { "  MISSED" }
                );
                words.iter().for_each(|words| println!("    {words}"));
                missed += usize::from(!words.is_empty());
                shares.insert(name.clone(), share);
                whole.requests += verdict.requests;
                whole.answered += verdict.answered;
                whole.drains += verdict.drains;
                whole.drains_broken += verdict.drains_broken;
                whole.stale_reads += verdict.stale_reads;
                whole.writes_doubled += verdict.writes_doubled;
                whole.served_without_row += verdict.served_without_row;
                whole.sends_outside += verdict.sends_outside;
                whole.worst_drain_ms = whole.worst_drain_ms.max(verdict.worst_drain_ms);
            }
        }
    }
    let broken = whole.drains_broken + whole.stale_reads + whole.writes_doubled + whole.sends_outside;
    let rounded = |share: Option<&f64>| share.map(|share| (share * 10_000.0).round() / 10_000.0);
    println!(
        "{}",
        json!({"scripts": scripts.len(), "missed": missed, "seed": seed, "requests": whole.requests,
            "answered": whole.answered, "drains": whole.drains, "drains_broken": whole.drains_broken,
            "stale_reads": whole.stale_reads, "writes_doubled": whole.writes_doubled,
            "served_without_row": whole.served_without_row, "sends_outside_networks": whole.sends_outside,
            "worst_drain_ms": whole.worst_drain_ms.round(), "registry_away_s": 600,
            "served_while_away": rounded(shares.get("away")), "served_beside_well_registry": rounded(shares.get("well"))})
    );
    Ok(well && missed == 0 && broken == 0)
}
