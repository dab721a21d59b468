//! The lab's command line.

use clap::{Parser, Subcommand};
use linnetdeal_fleet::scenario::Scenario;
use linnetdeal_fleet::sim::WRITE_CLASS;
use linnetdeal_fleet::traffic;
use linnetdeal_lab::clients::CLASSES;
use linnetdeal_lab::emulator;
use linnetdeal_lab::experiment::{self, Experiment, FIGURES};
use linnetdeal_lab::load::{ClassStats, Load, Pace};
use linnetdeal_lab::model::{Bounds, check};
use linnetdeal_lab::plot;
use linnetdeal_lab::run_parallel;
use linnetdeal_lab::script::Script;
use linnetdeal_lab::script_runner::{ScriptOutcome, program, run_script};
use linnetdeal_lab::socket_run;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Prints a line to stdout. Exits with status 1 if stdout is closed, as there is then nobody to print for; `println!`
/// would panic instead.
macro_rules! print_line {
    ($($args:tt)*) => {{
        use std::io::Write as _;
        if writeln!(std::io::stdout(), $($args)*).is_err() {
            std::process::exit(1);
        }
    }};
}

/// Test environments, scripts and proofs for linnetdeal, on loopback only.
#[derive(Parser)]
#[command(name = "linnetdeal-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run scripts against a stand-in registry, and print the results as one JSON object.
    Eureka {
        /// File of scripts; by default the built-in scripts.
        #[arg(long)]
        script: Option<PathBuf>,
        /// Run only scripts whose names contain this.
        #[arg(long, default_value = "")]
        only: String,
        /// Seed of the clients' random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of scripts that run concurrently.
        #[arg(long, default_value_t = 3)]
        side_by_side: usize,
    },
    /// Measure what registries of different sizes cost the pooler, and print one JSON object a line.
    EurekaBench {
        /// Numbers of instances.
        #[arg(long, value_delimiter = ',', default_value = "200,2000,20000")]
        sizes: Vec<usize>,
    },
    /// Let a primary fail at each step of a write, in each way, and hand over as planned; print the results.
    Primary {
        /// Run only cases whose names contain this.
        #[arg(long, default_value = "")]
        only: String,
        /// Number of cases that run concurrently.
        #[arg(long, default_value_t = 4)]
        side_by_side: usize,
        /// How often each case is run.
        #[arg(long, default_value_t = 1)]
        times: usize,
    },
    /// Run scripts of leases with processes and faults between them, and check the same decisions in the model, also with
    /// each safety rule switched off once; print the results.
    Leases {
        /// Folder of the scripts.
        #[arg(long, default_value = "scenarios/leases")]
        folder: PathBuf,
        /// Run only scripts whose names contain this, and nothing else.
        #[arg(long)]
        only: Option<String>,
        /// How often each script is run, each time with another seed.
        #[arg(long, default_value_t = 10)]
        times: u64,
        /// Number of scripts that run concurrently.
        #[arg(long, default_value_t = 10)]
        side_by_side: usize,
        /// Number of processes in the large fleet.
        #[arg(long, default_value_t = 300)]
        fleet: usize,
    },
    /// Run scripts of machines under maintenance with processes, servers, a maintenance worker and faults
    /// between them.
    Work {
        /// Folder of the scripts.
        #[arg(long, default_value = "scenarios/work")]
        folder: PathBuf,
        /// Run only scripts whose names contain this.
        #[arg(long)]
        only: Option<String>,
        /// How often each script is run, each time with another seed.
        #[arg(long, default_value_t = 1)]
        times: u64,
        /// Number of scripts that run concurrently.
        #[arg(long, default_value_t = 4)]
        side_by_side: usize,
    },
    /// Run a few dozen processes under overlapping faults, one seed after another, and detect broken variants of the
    /// program.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds.
        #[arg(long, default_value_t = 4)]
        seeds: u64,
        /// Number of processes.
        #[arg(long, default_value_t = 24)]
        poolers: usize,
        /// Number of clients of each process.
        #[arg(long, default_value_t = 4)]
        clients: usize,
        /// How long faults are injected in each run, in seconds.
        #[arg(long, default_value_t = 12)]
        seconds: u64,
        /// Number of seeds for each broken variant, which only a debug build of the program contains.
        #[arg(long, default_value_t = 0)]
        mutant_seeds: u64,
        /// Preloaded library that makes system calls fail; without it, none fail.
        #[arg(long, env = "SHIM")]
        shim: Option<PathBuf>,
    },
    /// Run maintenance plans in the model with each order policy, and plot them.
    WorkModel,
    /// Spread load over servers by each scheme in the model of many poolers; print a table, and the contribution of each
    /// source of unevenness.
    Even {
        /// Numbers of poolers.
        #[arg(long, value_delimiter = ',', default_value = "5,50,300,2000")]
        poolers: Vec<usize>,
        /// Ages that load reports reach, in ms.
        #[arg(long, value_delimiter = ',', default_value = "100,1000")]
        ages: Vec<i64>,
        /// Seed of all random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Folder for plots by scheme, age and second.
        #[arg(long)]
        plots: Option<PathBuf>,
    },
    /// Check the lease protocol for all orders of events within bounds, also with each of its safety rules switched off.
    LeaseModel {
        /// Upper bound on the states visited in one check.
        #[arg(long, default_value_t = 3_000_000)]
        most: usize,
    },
    /// Check the routing decisions for all orders of events during a change of primary, within bounds.
    Model {
        /// Number of routers.
        #[arg(long, default_value_t = 2)]
        routers: usize,
        /// Number of writes sent to each router.
        #[arg(long, default_value_t = 1)]
        writes: usize,
        /// Number of answers lost in addition to those lost with a failed server.
        #[arg(long, default_value_t = 1)]
        losses: u8,
        /// Number of routers that crash.
        #[arg(long, default_value_t = 1)]
        crashes: u8,
    },
    /// Run a scenario in virtual time, and audit it.
    Fleet {
        /// File of the scenario.
        scenario: PathBuf,
        /// Also run it in real time, on sockets with the real daemon, and print how the two differ.
        #[arg(long, conflicts_with_all = ["request", "report"])]
        sockets: bool,
        /// Seed that replaces the one in the file.
        #[arg(long)]
        seed: Option<u64>,
        /// Print all records of this request instead of the results.
        #[arg(long)]
        request: Option<u64>,
        /// Write a report to this file: HTML with charts.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Run those runs of an experiment that have no results yet, and print the means of all results.
    Experiment {
        /// File of the experiment.
        file: PathBuf,
        /// Folder of its results.
        #[arg(long)]
        out: PathBuf,
        /// Number of runs that are executed concurrently.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Print how the results in the second folder differ from those in the first.
    Compare {
        /// First folder.
        before: PathBuf,
        /// Second folder.
        after: PathBuf,
    },
    /// Run all scenarios of a folder twice, check that the audit detects seeded faults, and run the largest fleet.
    Emulator {
        /// Folder of the scenarios.
        #[arg(long, default_value = "scenarios")]
        folder: PathBuf,
        /// Skip the largest fleet and the runs on sockets.
        #[arg(long)]
        small: bool,
    },
    /// Generate load on a pooler, or directly on a server; latencies count from when a request was due.
    Load {
        /// Target, as address:port.
        to: SocketAddr,
        /// Requests a second; without it, each session sends its next request when it is answered.
        #[arg(long)]
        rate: Option<f64>,
        /// Rate at the end, which is reached linearly.
        #[arg(long, requires = "rate")]
        ramp_to: Option<f64>,
        /// Number of sessions, each on a connection of its own.
        #[arg(long, default_value_t = 16)]
        sessions: usize,
        /// Duration in seconds.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Warm-up in seconds, whose requests are not counted.
        #[arg(long, default_value_t = 0.0)]
        warm: f64,
        /// Deadline of a request in ms.
        #[arg(long, default_value_t = 1_000)]
        deadline: u64,
        /// Share of writes, from 0 to 1; without it, a mix of five classes.
        #[arg(long)]
        writes: Option<f64>,
        /// Seed of the random intervals and classes.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure the latency and CPU time that the pooler itself adds to a request.
    Cost {
        /// Another build of the daemon, measured alternately with this one; its line is printed first.
        #[arg(long)]
        against: Option<PathBuf>,
    },
    /// Run a demonstration with a registry, servers, a pooler and clients on loopback.
    Demo {
        /// End after this many seconds; 0 means to run until interrupted.
        #[arg(long, default_value_t = 0)]
        seconds: u64,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Eureka { script, only, seed, side_by_side } => eureka(script, &only, seed, side_by_side),
        Command::Primary { only, side_by_side, times } => primary(&only, side_by_side, times),
        Command::Leases { folder, only, times, side_by_side, fleet } => {
            let wanted = linnetdeal_lab::leases::proof::ProofSpec {
                folder,
                only,
                times,
                side_by_side,
                fleet,
                program: program(),
            };
            linnetdeal_lab::leases::proof::run(&wanted, |line| print_line!("{line}"))
        }
        Command::Work { folder, only, times, side_by_side } => {
            let wanted = linnetdeal_lab::work::proof::ProofSpec {
                folder,
                only,
                times,
                side_by_side,
                program: program(),
            };
            linnetdeal_lab::work::proof::run(&wanted, |line| print_line!("{line}"))
        }
        Command::Soak { seed, seeds, poolers, clients, seconds, mutant_seeds, shim } => {
            let folder = std::env::temp_dir().join(format!("linnetdeal-soak-{}", std::process::id()));
            let spec = linnetdeal_lab::soak::Spec {
                program: program(),
                shim,
                folder: folder.clone(),
                poolers,
                clients,
                duration: Duration::from_secs(seconds),
                seed,
                mutant: None,
                only: Vec::new(),
                failing_calls: None,
            };
            let seeds = (seed..seed + seeds).collect();
            let wanted = linnetdeal_lab::soak::proof::ProofSpec { spec, seeds, mutant_seeds };
            let done = linnetdeal_lab::soak::proof::run(&wanted, |line| print_line!("{line}"));
            let _ = std::fs::remove_dir_all(folder);
            done.map_err(Into::into)
        }
        Command::WorkModel => {
            linnetdeal_lab::work::proof::compare_order_policies(&|line: &dyn std::fmt::Display| {
                print_line!("{line}")
            })
            .map(|()| true)
        }
        Command::LeaseModel { most } => {
            linnetdeal_lab::leases::proof::run_model_checks(most, |line| print_line!("{line}"))
                .map(|result| result.passed)
        }
        Command::Model { routers, writes, losses, crashes } => {
            let bounds =
                Bounds { routers, writes, losses, crashes, drains: true, reset_proves_not_run: false };
            let found = check(bounds, 4);
            print_line!(
                "{}",
                json!({"states_checked": found.states, "outlasted": found.write_outlasted_change,
                "wrong": found.violation.as_ref().map(|(words, steps)| format!("{words}: {steps:?}"))})
            );
            Ok(found.violation.is_none())
        }
        Command::Fleet { scenario, seed, sockets: true, .. } => compare_sockets(&scenario, seed),
        Command::Fleet { scenario, seed, request, report, .. } => {
            fleet(&scenario, seed, request, report.as_deref())
        }
        Command::Experiment { file, out, threads } => experiment(&file, &out, threads),
        Command::Compare { before, after } => compare(&before, &after),
        Command::Even { poolers, ages, seed, plots } => linnetdeal_lab::even::print_tables(
            &poolers,
            &ages,
            seed,
            plots.as_deref(),
            &|line: &dyn std::fmt::Display| print_line!("{line}"),
        )
        .map(|()| true)
        .map_err(Into::into),
        Command::Emulator { folder, small } => emulator_proof(&folder, small),
        Command::EurekaBench { sizes } => eureka_bench(&sizes),
        Command::Load { to, rate, ramp_to, sessions, seconds, warm, deadline, writes, seed } => {
            let pace = rate.map_or(Pace::Closed, |rate| Pace::Open(rate, ramp_to.unwrap_or(rate)));
            let span = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO);
            let deadline = Duration::from_millis(deadline);
            let (duration, warm) = (span(seconds), span(warm));
            load(&Load { to, sessions, pace, duration, warm, deadline, writes, seed })
        }
        Command::Cost { against } => cost(against.as_deref()),
        Command::Demo { seconds } => {
            linnetdeal_lab::demo::run(&program(), seconds).map(|()| true).map_err(Failure::from)
        }
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

fn eureka_bench(sizes: &[usize]) -> Result<bool, Failure> {
    for size in sizes {
        print_line!("{}", linnetdeal_lab::eureka_bench::measure(&program(), *size)?);
    }
    Ok(true)
}

/// Runs a scenario in virtual time and prints its results. Returns whether all rules were kept and all checks passed.
fn fleet(
    path: &Path,
    seed: Option<u64>,
    request: Option<u64>,
    report: Option<&Path>,
) -> Result<bool, Failure> {
    let mut scenario = emulator::load_scenario(path)?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    if let Some(request) = request {
        emulator::request_records(&scenario, request).iter().for_each(|record| print_line!("{record:?}"));
        return Ok(true);
    }
    let mut charts = match report {
        Some(_) => plot::ChartRecorder::with_charts(linnetdeal_fleet::sim::BEGIN)
            .write_class(traffic::class_plans(&scenario).len() - 1),
        None => plot::ChartRecorder::default(),
    };
    let played = emulator::run_with_charts(&scenario, &mut charts);
    print_line!("{}", played.line());
    print_line!("{}", played.service());
    if let Some(report) = report {
        plot::write_atomically(report, &plot::report(&played, &charts)?)?;
    }
    if let Some((rule, record)) = &played.audit_report.first_violation {
        print_line!("    first: {rule:?} by {record:?}");
    }
    for (second, (asked, served)) in
        played.outcome.by_second.iter().enumerate().filter(|(_, (asked, _))| *asked > 0)
    {
        print_line!("    {second:>3} s  asked {asked:>6}  served {:.3}", *served as f64 / *asked as f64);
    }
    Ok(played.audit_report.violations.is_empty() && played.missed_checks.is_empty())
}

/// Runs a scenario in virtual time and on sockets, and prints the results of both. Returns the difference of the served
/// shares, the ratio of the 99th percentiles of the most common class, and whether all rules were kept.
fn run_both(scenario: &Scenario) -> Result<(f64, f64, bool), Failure> {
    let simulated = emulator::run_scenario(scenario);
    let real = socket_run::run_on_sockets(scenario, &program())?;
    let p99 =
        |latency: &hdrhistogram::Histogram<u64>| latency.value_at_quantile(0.99).max(1) as f64 / 1_000.0;
    let broken: Vec<String> =
        real.audit_report.violations.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
    print_line!("{}", simulated.line());
    print_line!(
        "{:<20} asked {:>7}  served {:.4}  writes {:.4}  p99 {:>5.0} ms, of writes {:>5.0}  never sent {}  fell {}  cold peak {:.2}  {}",
        "  on sockets",
        real.requests.iter().sum::<u64>(),
        real.served_share(),
        real.class_served_share(WRITE_CLASS),
        p99(&real.latency[0]),
        p99(&real.latency[WRITE_CLASS]),
        real.never_sent,
        real.collapsed,
        real.audit_report.cold_peak,
        if broken.is_empty() { "no rule broken".to_owned() } else { format!("BROKEN {}", broken.join(", ")) }
    );
    if let Some((rule, record)) = &real.audit_report.first_violation {
        print_line!("    first: {rule:?} by {record:?}");
    }
    let gap = (real.served_share() - simulated.outcome.served_share()).abs();
    let ratio = p99(&real.latency[0]) / p99(&simulated.outcome.latency[0]);
    Ok((gap, ratio, broken.is_empty() && simulated.audit_report.violations.is_empty()))
}

fn compare_sockets(path: &Path, seed: Option<u64>) -> Result<bool, Failure> {
    let mut scenario = emulator::load_scenario(path)?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    socket_run::check_limits(&scenario)?;
    let (gap, ratio, kept) = run_both(&scenario)?;
    print_line!("{}", json!({"served_gap": rounded(gap), "p99_ratio": rounded(ratio), "rules_kept": kept}));
    Ok(kept)
}

/// Rounds to four decimal places.
fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

fn load(load: &Load) -> Result<bool, Failure> {
    let result = load.run()?;
    let line = |name: &str, stats: &ClassStats| {
        let mut words = format!("{name:<14} asked {:>8}  served {:>8}", stats.total(), stats.served());
        for (what, times) in [("from due", &stats.from_due), ("from written", &stats.from_written)] {
            let [p50, p90, p99, p999] = [0.5, 0.9, 0.99, 0.999].map(|q| times.value_at_quantile(q));
            words += &format!("  {what} p50 {p50} p90 {p90} p99 {p99} p99.9 {p999} max {} us", times.max());
        }
        words
    };
    for (name, stats) in CLASSES.iter().zip(&result.classes).filter(|(_, stats)| stats.total() > 0) {
        print_line!("{}", line(name, stats));
    }
    let all = result.all();
    print_line!("{}", line("all", &all));
    print_line!(
        "{}",
        json!({"seed": load.seed, "asked": all.total(), "answers": all.answers, "never_sent": result.never_sent,
            "served_per_s": result.served_per_second().round(), "p50_us": all.from_due.value_at_quantile(0.5),
            "p99_us": all.from_due.value_at_quantile(0.99), "p999_us": all.from_due.value_at_quantile(0.999),
            "from_written_p50_us": all.from_written.value_at_quantile(0.5),
            "from_written_p99_us": all.from_written.value_at_quantile(0.99)})
    );
    Ok(all.total() > 0)
}

fn cost(against: Option<&Path>) -> Result<bool, Failure> {
    let own = program();
    let programs: Vec<&Path> = against.into_iter().chain([own.as_path()]).collect();
    let costs = linnetdeal_lab::cost::measure(&programs, |words| print_line!("{words}"))?;
    costs.iter().for_each(|cost| print_line!("{}", cost.line()));
    Ok(costs.iter().all(linnetdeal_lab::cost::Cost::all_served))
}

fn experiment(file: &Path, out: &Path, threads: usize) -> Result<bool, Failure> {
    let (experiment, scenario) = Experiment::load(file)?;
    let (run_count, total) = experiment::run_missing(&experiment, &scenario, out, threads)?;
    print_line!("{}: {run_count} of {total} runs played, the others were there", experiment.name);
    let results = experiment::read_results(out)?;
    let mut cells: Vec<_> = results.iter().map(|(cell, _)| (cell.poolers, cell.load.to_bits())).collect();
    cells.sort_unstable();
    cells.dedup();
    for (poolers, load) in cells {
        let runs = results.iter().filter(|(cell, _)| (cell.poolers, cell.load.to_bits()) == (poolers, load));
        let count = runs.clone().count() as f64;
        let means = FIGURES.iter().enumerate().map(|(index, name)| {
            let mean = runs.clone().map(|(_, figures)| figures[index]).sum::<f64>() / count;
            format!("{name} {mean:.4}")
        });
        let means: Vec<String> = means.collect();
        print_line!(
            "poolers {poolers:>5}  load {:.2}  runs {count}  {}",
            f64::from_bits(load),
            means.join("  ")
        );
    }
    Ok(true)
}

fn compare(before: &Path, after: &Path) -> Result<bool, Failure> {
    for difference in
        experiment::compare(&experiment::read_results(before)?, &experiment::read_results(after)?)
    {
        let (low, high) = difference.interval;
        let suffix = if low > 0.0 || high < 0.0 { "  differs" } else { "" };
        print_line!(
            "poolers {:>5}  load {:.2}  {:<18} {:>10.4} -> {:>10.4}  by {low:+.4} to {high:+.4} (95%, {} seeds){suffix}",
            difference.cell.0,
            difference.cell.1,
            difference.figure,
            difference.means.0,
            difference.means.1,
            difference.seeds
        );
    }
    Ok(true)
}

/// The scenarios that the proof also runs on sockets.
const ON_SOCKETS: [&str; 3] = ["planned", "primary-dies", "slow-box"];

/// The scenario with the largest fleet.
const LARGEST: &str = r#"
name: "largest"
fleet: {groups: 1667, members: 6, poolers: 2000, reach: 8}
traffic: {rate: 250000, lasts: "4s", sessions: 1000000}
troubles: [{at: "2s", what: "crash", who: "boxes 0.02"}]
"#;

fn emulator_proof(folder: &Path, small: bool) -> Result<bool, Failure> {
    let mut scenarios = emulator::load_library(folder)?;
    let freight = folder.join("freight");
    if freight.is_dir() {
        scenarios.extend(emulator::load_library(&freight)?);
    }
    let first_runs = run_parallel(&scenarios, 1, emulator::run_scenario);
    let second_runs = run_parallel(&scenarios, 4, emulator::run_scenario);
    let identical = first_runs.iter().zip(&second_runs).all(|(one, other)| one.digest == other.digest);
    let (mut broken, mut missed) = (0, 0);
    for played in &first_runs {
        print_line!("{}", played.line());
        if !played.tenants.is_empty() {
            print_line!("{}", played.service());
        }
        if let Some((rule, record)) = &played.audit_report.first_violation {
            print_line!("    first: {rule:?} by {record:?}");
        }
        broken += played.audit_report.violations.values().sum::<u64>();
        missed += played.missed_checks.len();
    }
    let (mut found, mut injected) = (0, 0);
    let seeded = ["primary-dies", "planned", "freight-crash", "freight-deploy"];
    for scenario in scenarios.iter().filter(|scenario| seeded.contains(&scenario.name.as_str())) {
        let (detected, total) = emulator::detect_seeded_faults(scenario);
        (found, injected) = (found + detected, injected + total);
    }
    let events: u64 = first_runs.iter().map(|played| played.outcome.events).sum();
    let seconds: f64 = first_runs.iter().map(|played| played.elapsed.as_secs_f64()).sum();
    let mut largest = json!(null);
    if !small {
        let scenario = Scenario::decode("largest", LARGEST.as_bytes())?;
        let played = emulator::run_scenario(&scenario);
        print_line!("{}", played.line());
        broken += played.audit_report.violations.values().sum::<u64>();
        largest = json!({"boxes": scenario.fleet.groups * scenario.fleet.members, "poolers": scenario.fleet.poolers,
            "requests_per_s": scenario.traffic.rate, "events": played.outcome.events,
            "took_s": played.elapsed.as_secs()});
    }
    // Scenarios that are small enough for one machine, in real time; the gap and the ratio are the worst of them.
    let (mut gap, mut ratio, mut on_sockets) = (0.0, 1.0, 0);
    for scenario in scenarios.iter().filter(|scenario| !small && ON_SOCKETS.contains(&scenario.name.as_str()))
    {
        let (one_gap, one_ratio, kept) = run_both(scenario)?;
        gap = f64::max(gap, one_gap);
        ratio = if f64::abs(one_ratio.ln()) > f64::abs(f64::ln(ratio)) { one_ratio } else { ratio };
        (on_sockets, broken) = (on_sockets + 1, broken + u64::from(!kept));
    }
    print_line!(
        "{}",
        json!({"scenarios": scenarios.len(), "missed": missed, "replays_identical": identical,
            "on_sockets": on_sockets, "virtual_vs_sockets_served_gap": rounded(gap),
            "virtual_vs_sockets_p99_ratio": rounded(ratio),
            "events": events, "events_per_s_core": (events as f64 / seconds).round(), "largest": largest,
            "peak_memory_mb": emulator::peak_memory_mb(), "rules_broken": broken,
            "seeded_faults_found": found, "seeded_faults": injected})
    );
    Ok(identical && broken == 0 && missed == 0 && found == injected && injected > 0)
}

fn primary(only: &str, side_by_side: usize, times: usize) -> Result<bool, Failure> {
    use linnetdeal_lab::changes::{self, Course};
    use linnetdeal_lab::primary::{Case, quantile, run_case};
    use linnetdeal_lab::replica_group::{Step, Way};
    let ways = |step| Way::ALL.map(|way| Case::Dies(step, way));
    let cases: Vec<Case> = Step::ALL.into_iter().flat_map(ways).chain([Case::Planned; 3]).collect();
    let cases: Vec<Case> = cases.iter().copied().filter(|case| case.to_string().contains(only)).collect();
    let cases = cases.repeat(times);
    let program = program();
    let outcomes = run_parallel(&cases, side_by_side, |case| run_case(*case, &program));
    let mut sums = [0; 8];
    let (mut without_primary, mut handovers, mut added_latencies) = ((0, 0), Vec::new(), Vec::new());
    let (mut planned_errors, mut did_not_happen) = (0, 0);
    for (case, outcome) in cases.iter().zip(outcomes) {
        let result = outcome?;
        let mut answer_counts: Vec<String> =
            result.answers.iter().map(|(outcome, count)| format!("{outcome} {count}")).collect();
        let log = answer_counts
            .iter()
            .position(|answer| answer.starts_with("log: "))
            .map(|at| answer_counts.remove(at));
        print_line!(
            "{:<24} top-ups {:>5}  doubled {}  served without row {}  refused with row {}  unanswered {}  late {}  between {}/{}  handover {:>5} ms  {}{}",
            case.to_string(),
            result.top_ups,
            result.doubled,
            result.served_without_row,
            result.refused_with_row,
            result.unanswered,
            result.late,
            result.without_primary.0,
            result.without_primary.1,
            result.handover.unwrap_or_default().as_millis(),
            answer_counts.join(", "),
            if result.fault_occurred { "" } else { "  DID NOT HAPPEN" }
        );
        if let Some(log) = log.filter(|_| !only.is_empty()) {
            print_line!("    {log}");
        }
        did_not_happen += usize::from(!result.fault_occurred);
        let counts = [
            result.top_ups,
            result.doubled,
            result.served_without_row,
            result.refused_with_row,
            result.unanswered,
            result.late,
            result.failed,
        ];
        sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        if *case == Case::Planned {
            planned_errors += result.top_ups - result.answers.get("served").copied().unwrap_or(0);
            added_latencies.extend(
                result
                    .during_change
                    .iter()
                    .map(|took| took.saturating_sub(quantile(&result.before_change, 0.5))),
            );
        } else {
            without_primary =
                (without_primary.0 + result.without_primary.0, without_primary.1 + result.without_primary.1);
            handovers.extend(result.handover);
        }
    }
    let served_share = without_primary.0 as f64 / f64::max(without_primary.1 as f64, 1.0);
    let courses: Vec<Course> =
        Course::ALL.into_iter().filter(|course| format!("{course:?}").contains(only)).collect();
    let tallies =
        run_parallel(&courses, side_by_side.min(2), |course| changes::run_course(*course, &program));
    let (mut totals, mut budget_peak, mut hints) = (changes::Tally::default(), 0.0, Vec::new());
    for (course, tally) in courses.iter().zip(tallies) {
        let tally = tally?;
        print_line!("{}", tally.line(*course));
        if !only.is_empty() {
            print_line!("    {}", tally.flight_record);
        }
        planned_errors += if course.is_planned() { tally.writes - tally.served } else { 0 };
        budget_peak = tally.cold_budget_peak.unwrap_or(budget_peak);
        hints.extend(tally.hints.iter().copied());
        totals.add(&tally);
    }
    let accurate_hints = hints.iter().filter(|hint| (0.75..=1.25).contains(*hint)).count();
    // The same decisions for all orders of events during a change of primary, and once with a fault that must be
    // detected.
    let bounds =
        Bounds { routers: 2, writes: 1, losses: 1, crashes: 1, drains: true, reset_proves_not_run: false };
    let found = if only.is_empty() { check(bounds, 8) } else { check(Bounds { routers: 1, ..bounds }, 4) };
    let seeded = check(Bounds { routers: 1, reset_proves_not_run: true, ..bounds }, 4);
    if let Some((violation, steps)) = &found.violation {
        print_line!("model: {violation}: {steps:?}");
    }
    let model_ok = found.violation.is_none() && seeded.violation.is_some();
    sums.iter_mut().zip(totals.counts()).for_each(|(sum, count)| *sum += count);
    let broken = totals.drains_broken as usize
        + totals.stale_reads as usize
        + totals.misdirected_writes
        + usize::from(budget_peak > 1.0);
    let [top_ups, doubled, without_row, refused, unanswered, late, failed, _] = sums;
    print_line!(
        "{}",
        json!({"cases": cases.len() + courses.len(), "did_not_happen": did_not_happen,
            "top_ups": top_ups, "rows_doubled": doubled,
            "rows_lost": without_row, "unanswered": unanswered, "answered_late": late,
            "served_without_row": without_row,
            "refused_with_row": refused, "failed": failed, "planned_errors": planned_errors,
            "planned_added_p99_ms": quantile(&added_latencies, 0.99).as_millis() as u64,
            "handover_p99_ms": quantile(&handovers, 0.99).as_millis() as u64,
            "drains_broken": totals.drains_broken, "writes_astray": totals.misdirected_writes,
            "stale_reads": totals.stale_reads, "release_peak_over_budget": (budget_peak * 100.0).round() / 100.0,
            "hints": hints.len(), "hints_within_quarter": accurate_hints,
            "unplanned_served_share": (served_share * 10_000.0).round() / 10_000.0,
            "states_checked": found.states, "model_violations": u8::from(found.violation.is_some()),
            "seeded_fault_found": seeded.violation.is_some()})
    );
    Ok(model_ok && doubled + without_row + refused + unanswered + late + did_not_happen + broken == 0)
}

/// Runs the scripts of the registry tests and prints their results. Returns whether all expectations were met and all
/// rules kept.
fn eureka(script: Option<PathBuf>, only: &str, seed: u64, side_by_side: usize) -> Result<bool, Failure> {
    let mut scripts = match script {
        Some(path) => Script::load(&path)?,
        None => Script::eureka()?,
    };
    scripts.retain(|script| script.name.contains(only));
    let program = program();
    let outcomes = run_parallel(&scripts, side_by_side, |script| run_script(script, &program, seed));
    let mut totals = linnetdeal_lab::recorder::Verdict::default();
    let (mut all_well, mut missed, mut shares) = (true, 0, std::collections::BTreeMap::new());
    for (script, outcome) in scripts.iter().zip(outcomes) {
        let name = &script.name;
        match outcome {
            Err(error) => {
                all_well = false;
                print_line!("{name:<22} could not be played: {error}");
            }
            Ok(ScriptOutcome { verdict, missed: unmet, served_share, .. }) => {
                print_line!(
                    "{name:<22} requests {:>5}  served {served_share:.4}  drains {}  worst {:>6.1} ms  broken {}  stale {}  doubled {}  outside {}{}",
                    verdict.requests,
                    verdict.drains,
                    verdict.worst_drain_ms,
                    verdict.drains_broken,
                    verdict.stale_reads,
                    verdict.writes_doubled,
                    verdict.sends_outside,
                    if unmet.is_empty() { "" } else { "  MISSED" }
                );
                unmet.iter().for_each(|line| print_line!("    {line}"));
                missed += usize::from(!unmet.is_empty());
                shares.insert(name.clone(), served_share);
                totals.requests += verdict.requests;
                totals.answered += verdict.answered;
                totals.drains += verdict.drains;
                totals.drains_broken += verdict.drains_broken;
                totals.stale_reads += verdict.stale_reads;
                totals.writes_doubled += verdict.writes_doubled;
                totals.served_without_row += verdict.served_without_row;
                totals.sends_outside += verdict.sends_outside;
                totals.worst_drain_ms = totals.worst_drain_ms.max(verdict.worst_drain_ms);
            }
        }
    }
    let broken = totals.drains_broken + totals.stale_reads + totals.writes_doubled + totals.sends_outside;
    let rounded = |share: Option<&f64>| share.map(|share| (share * 10_000.0).round() / 10_000.0);
    print_line!(
        "{}",
        json!({"scripts": scripts.len(), "missed": missed, "seed": seed, "requests": totals.requests,
            "answered": totals.answered, "drains": totals.drains, "drains_broken": totals.drains_broken,
            "stale_reads": totals.stale_reads, "writes_doubled": totals.writes_doubled,
            "served_without_row": totals.served_without_row, "sends_outside_networks": totals.sends_outside,
            "worst_drain_ms": totals.worst_drain_ms.round(), "registry_away_s": 600,
            "served_while_away": rounded(shares.get("away")),
            "served_beside_well_registry": rounded(shares.get("well"))})
    );
    Ok(all_well && missed == 0 && broken == 0)
}
