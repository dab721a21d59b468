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

/// Prints a line. Who reads may have left: then there is nobody to print for, and no reason to end otherwise than so.
macro_rules! say {
    ($($words:tt)*) => {{
        use std::io::Write as _;
        if writeln!(std::io::stdout(), $($words)*).is_err() {
            std::process::exit(1);
        }
    }};
}

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
    /// Have a primary die at each step of a write, in each way, and hand over by plan; print what came out.
    Primary {
        /// Only cases whose names hold this.
        #[arg(long, default_value = "")]
        only: String,
        /// Cases that run at the same time.
        #[arg(long, default_value_t = 4)]
        side_by_side: usize,
        /// How often each case is played.
        #[arg(long, default_value_t = 1)]
        times: usize,
    },
    /// Play scripts of leases with processes and faults between them, check the same decisions in the model, and have each
    /// of their parts taken away once; print what came out.
    Leases {
        /// The folder of the scripts.
        #[arg(long, default_value = "scenarios/leases")]
        folder: PathBuf,
        /// Only scripts whose names hold this, and nothing but scripts.
        #[arg(long)]
        only: Option<String>,
        /// How often each script is played, each time with another seed.
        #[arg(long, default_value_t = 10)]
        times: u64,
        /// Scripts that are played at the same time.
        #[arg(long, default_value_t = 10)]
        side_by_side: usize,
        /// Processes of the large fleet.
        #[arg(long, default_value_t = 300)]
        fleet: usize,
    },
    /// Play scripts of machines out for work with processes, servers, a worker and faults between them.
    Work {
        /// The folder of the scripts.
        #[arg(long, default_value = "scenarios/work")]
        folder: PathBuf,
        /// Only scripts whose names hold this.
        #[arg(long)]
        only: Option<String>,
        /// How often each script is played, each time with another seed.
        #[arg(long, default_value_t = 1)]
        times: u64,
        /// Scripts that are played at the same time.
        #[arg(long, default_value_t = 4)]
        side_by_side: usize,
    },
    /// Soak a few dozen processes in overlapping troubles, one seed after another, and find broken variants of the program.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds.
        #[arg(long, default_value_t = 4)]
        seeds: u64,
        /// Processes.
        #[arg(long, default_value_t = 24)]
        poolers: usize,
        /// Clients of each.
        #[arg(long, default_value_t = 4)]
        clients: usize,
        /// How long troubles go on in each play, in seconds.
        #[arg(long, default_value_t = 12)]
        seconds: u64,
        /// Seeds for each broken variant; a debug build of the program has them.
        #[arg(long, default_value_t = 0)]
        mutant_seeds: u64,
        /// The library with failing calls of the system, as `SHIM` has it; none without it.
        #[arg(long, env = "SHIM")]
        shim: Option<PathBuf>,
    },
    /// Play plans in the model by each scheme, and plot them.
    WorkModel,
    /// Spread load over servers by each scheme in the model of many poolers; print a table, and what each source of unevenness is worth.
    Even {
        /// Poolers.
        #[arg(long, value_delimiter = ',', default_value = "5,50,300,2000")]
        poolers: Vec<usize>,
        /// How old what is told gets, in ms.
        #[arg(long, value_delimiter = ',', default_value = "100,1000")]
        ages: Vec<i64>,
        /// For all that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A folder for plots by scheme, age and second.
        #[arg(long)]
        plots: Option<PathBuf>,
    },
    /// Check the votes of leases through all orders of events within bounds, and have each of their parts taken away once.
    LeaseModel {
        /// No more states than this are looked at in one check.
        #[arg(long, default_value_t = 3_000_000)]
        most: usize,
    },
    /// Check the decisions through all orders of a change of primary, within bounds.
    Model {
        /// Routers.
        #[arg(long, default_value_t = 2)]
        routers: usize,
        /// Writes asked of each.
        #[arg(long, default_value_t = 1)]
        writes: usize,
        /// Answers lost beside those that a death loses.
        #[arg(long, default_value_t = 1)]
        losses: u8,
        /// Routers that crash.
        #[arg(long, default_value_t = 1)]
        crashes: u8,
    },
    /// Plays a scenario in virtual time, and has it audited.
    Fleet {
        /// The scenario's file.
        scenario: PathBuf,
        /// Play it on real sockets round the real daemon too, in real time, and say how the two differ.
        #[arg(long, conflicts_with_all = ["request", "report"])]
        sockets: bool,
        /// Another seed than the file's.
        #[arg(long)]
        seed: Option<u64>,
        /// Print all records of this request.
        #[arg(long)]
        request: Option<u64>,
        /// Write a report here: one HTML file with its charts.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Plays what of an experiment is not there yet, on all cores, and compares it with earlier results.
    Experiment {
        /// The experiment's file.
        file: PathBuf,
        /// The folder of its results.
        #[arg(long)]
        out: PathBuf,
        /// Runs at the same time.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Says how the results in the second folder differ from those in the first.
    Compare {
        /// The first folder.
        before: PathBuf,
        /// The second.
        after: PathBuf,
    },
    /// Plays all scenarios of a folder, twice; seeds faults for the auditor; and tries the largest fleet.
    Emulator {
        /// The folder.
        #[arg(long, default_value = "scenarios")]
        folder: PathBuf,
        /// Leave the largest fleet out.
        #[arg(long)]
        small: bool,
    },
    /// Puts load on a pooler, or on a box directly; times count from when a request was due.
    Load {
        /// Where to, as address:port.
        to: SocketAddr,
        /// Requests a second; without it, each session asks as soon as it is answered.
        #[arg(long)]
        rate: Option<f64>,
        /// The rate at the end, which it goes to evenly.
        #[arg(long, requires = "rate")]
        ramp_to: Option<f64>,
        /// How many sessions ask, each on a connection of its own.
        #[arg(long, default_value_t = 16)]
        sessions: usize,
        /// How long, in seconds.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// What is asked so long at the beginning is not counted, in seconds.
        #[arg(long, default_value_t = 0.0)]
        warm: f64,
        /// How long a request waits, in ms.
        #[arg(long, default_value_t = 1_000)]
        deadline: u64,
        /// The part of writes, from 0 to 1; a mix of five classes without it.
        #[arg(long)]
        writes: Option<f64>,
        /// For gaps and classes.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures what the pooler itself adds to a request, in time and in CPU.
    Cost {
        /// Another build of the daemon, measured in turns with this one; its line comes first.
        #[arg(long)]
        against: Option<PathBuf>,
    },
    /// A registry, boxes, a pooler and clients on loopback, to look at.
    Demo {
        /// Ends after so many seconds; 0 is for ever.
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
            linnetdeal_lab::leases::proof::run(&wanted, |line| say!("{line}"))
        }
        Command::Work { folder, only, times, side_by_side } => {
            let wanted = linnetdeal_lab::work::proof::ProofSpec {
                folder,
                only,
                times,
                side_by_side,
                program: program(),
            };
            linnetdeal_lab::work::proof::run(&wanted, |line| say!("{line}"))
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
            let done = linnetdeal_lab::soak::proof::run(&wanted, |line| say!("{line}"));
            let _ = std::fs::remove_dir_all(folder);
            done.map_err(Into::into)
        }
        Command::WorkModel => {
            linnetdeal_lab::work::proof::compare_order_policies(&|line: &dyn std::fmt::Display| {
                say!("{line}")
            })
            .map(|()| true)
        }
        Command::LeaseModel { most } => {
            linnetdeal_lab::leases::proof::run_model_checks(most, |line| say!("{line}")).map(|of| of.passed)
        }
        Command::Model { routers, writes, losses, crashes } => {
            let bounds =
                Bounds { routers, writes, losses, crashes, drains: true, reset_proves_not_run: false };
            let found = check(bounds, 4);
            say!(
                "{}",
                json!({"states_checked": found.states, "outlasted": found.write_outlasted_change,
                "wrong": found.violation.as_ref().map(|(words, steps)| format!("{words}: {steps:?}"))})
            );
            Ok(found.violation.is_none())
        }
        Command::Fleet { scenario, seed, sockets: true, .. } => rehearse(&scenario, seed),
        Command::Fleet { scenario, seed, request, report, .. } => {
            fleet(&scenario, seed, request, report.as_deref())
        }
        Command::Experiment { file, out, threads } => experiment(&file, &out, threads),
        Command::Compare { before, after } => compare(&before, &after),
        Command::Even { poolers, ages, seed, plots } => linnetdeal_lab::even::table(
            &poolers,
            &ages,
            seed,
            plots.as_deref(),
            &|line: &dyn std::fmt::Display| say!("{line}"),
        )
        .map(|()| true)
        .map_err(Into::into),
        Command::Emulator { folder, small } => emulator_proof(&folder, small),
        Command::EurekaBench { sizes } => bench(&sizes),
        Command::Load { to, rate, ramp_to, sessions, seconds, warm, deadline, writes, seed } => {
            let pace = rate.map_or(Pace::Closed, |rate| Pace::Open(rate, ramp_to.unwrap_or(rate)));
            let span = |of: f64| Duration::try_from_secs_f64(of).unwrap_or(Duration::ZERO);
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

fn bench(sizes: &[usize]) -> Result<bool, Failure> {
    for size in sizes {
        say!("{}", linnetdeal_lab::eureka_bench::measure(&program(), *size)?);
    }
    Ok(true)
}

/// What becomes of each of these, so many at a time.
fn fleet(
    path: &Path,
    seed: Option<u64>,
    request: Option<u64>,
    report: Option<&Path>,
) -> Result<bool, Failure> {
    let mut scenario = emulator::load_scenario(path)?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    if let Some(request) = request {
        emulator::request_records(&scenario, request).iter().for_each(|record| say!("{record:?}"));
        return Ok(true);
    }
    let mut marks = match report {
        Some(_) => plot::ChartRecorder::with_charts(linnetdeal_fleet::sim::BEGIN)
            .write_class(traffic::class_plans(&scenario).len() - 1),
        None => plot::ChartRecorder::default(),
    };
    let played = emulator::run_with_charts(&scenario, &mut marks);
    say!("{}", played.line());
    say!("{}", played.service());
    if let Some(report) = report {
        plot::write_atomically(report, &plot::report(&played, &marks)?)?;
    }
    if let Some((rule, record)) = &played.audit_report.first_violation {
        say!("    first: {rule:?} by {record:?}");
    }
    for (second, (asked, served)) in
        played.outcome.by_second.iter().enumerate().filter(|(_, (asked, _))| *asked > 0)
    {
        say!("    {second:>3} s  asked {asked:>6}  served {:.3}", *served as f64 / *asked as f64);
    }
    Ok(played.audit_report.violations.is_empty() && played.missed_checks.is_empty())
}

/// A scenario in virtual time and on sockets: its lines, the gap of the served shares, and the ratio of the 99th
/// percentiles of the most common class; whether all rules were kept.
fn both(scenario: &Scenario) -> Result<(f64, f64, bool), Failure> {
    let virtual_one = emulator::run_scenario(scenario);
    let real = socket_run::run_on_sockets(scenario, &program())?;
    let p99 = |of: &hdrhistogram::Histogram<u64>| of.value_at_quantile(0.99).max(1) as f64 / 1_000.0;
    let broken: Vec<String> =
        real.audit_report.violations.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
    say!("{}", virtual_one.line());
    say!(
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
        say!("    first: {rule:?} by {record:?}");
    }
    let gap = (real.served_share() - virtual_one.outcome.served_share()).abs();
    let ratio = p99(&real.latency[0]) / p99(&virtual_one.outcome.latency[0]);
    Ok((gap, ratio, broken.is_empty() && virtual_one.audit_report.violations.is_empty()))
}

fn rehearse(path: &Path, seed: Option<u64>) -> Result<bool, Failure> {
    let mut scenario = emulator::load_scenario(path)?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    socket_run::check_limits(&scenario)?;
    let (gap, ratio, kept) = both(&scenario)?;
    say!("{}", json!({"served_gap": rounded(gap), "p99_ratio": rounded(ratio), "rules_kept": kept}));
    Ok(kept)
}

/// To four places.
fn rounded(of: f64) -> f64 {
    (of * 10_000.0).round() / 10_000.0
}

fn load(load: &Load) -> Result<bool, Failure> {
    let result = load.run()?;
    let line = |name: &str, of: &ClassStats| {
        let mut words = format!("{name:<14} asked {:>8}  served {:>8}", of.total(), of.served());
        for (what, times) in [("from due", &of.from_due), ("from written", &of.from_written)] {
            let [p50, p90, p99, p999] = [0.5, 0.9, 0.99, 0.999].map(|q| times.value_at_quantile(q));
            words += &format!("  {what} p50 {p50} p90 {p90} p99 {p99} p99.9 {p999} max {} us", times.max());
        }
        words
    };
    for (name, of) in CLASSES.iter().zip(&result.classes).filter(|(_, of)| of.total() > 0) {
        say!("{}", line(name, of));
    }
    let all = result.all();
    say!("{}", line("all", &all));
    say!(
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
    let costs = linnetdeal_lab::cost::measure(&programs, |words| say!("{words}"))?;
    costs.iter().for_each(|cost| say!("{}", cost.line()));
    Ok(costs.iter().all(linnetdeal_lab::cost::Cost::all_served))
}

fn experiment(file: &Path, out: &Path, threads: usize) -> Result<bool, Failure> {
    let (experiment, scenario) = Experiment::load(file)?;
    let (played, of) = experiment::run_missing(&experiment, &scenario, out, threads)?;
    say!("{}: {played} of {of} runs played, the others were there", experiment.name);
    let results = experiment::read_results(out)?;
    let mut cells: Vec<_> = results.iter().map(|(cell, _)| (cell.poolers, cell.load.to_bits())).collect();
    cells.sort_unstable();
    cells.dedup();
    for (poolers, load) in cells {
        let of = results.iter().filter(|(cell, _)| (cell.poolers, cell.load.to_bits()) == (poolers, load));
        let count = of.clone().count() as f64;
        let means = FIGURES.iter().enumerate().map(|(at, name)| {
            let mean = of.clone().map(|(_, figures)| figures[at]).sum::<f64>() / count;
            format!("{name} {mean:.4}")
        });
        let means: Vec<String> = means.collect();
        say!("poolers {poolers:>5}  load {:.2}  runs {count}  {}", f64::from_bits(load), means.join("  "));
    }
    Ok(true)
}

fn compare(before: &Path, after: &Path) -> Result<bool, Failure> {
    for of in experiment::compare(&experiment::read_results(before)?, &experiment::read_results(after)?) {
        let (low, high) = of.interval;
        let sure = if low > 0.0 || high < 0.0 { "  differs" } else { "" };
        say!(
            "poolers {:>5}  load {:.2}  {:<18} {:>10.4} -> {:>10.4}  by {low:+.4} to {high:+.4} (95%, {} seeds){sure}",
            of.cell.0,
            of.cell.1,
            of.figure,
            of.means.0,
            of.means.1,
            of.seeds
        );
    }
    Ok(true)
}

/// The scenarios that the proof plays on sockets too.
const ON_SOCKETS: [&str; 3] = ["planned", "primary-dies", "slow-box"];

/// The largest fleet that is tried.
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
    let once = run_parallel(&scenarios, 1, emulator::run_scenario);
    let again = run_parallel(&scenarios, 4, emulator::run_scenario);
    let identical = once.iter().zip(&again).all(|(one, other)| one.digest == other.digest);
    let (mut broken, mut missed) = (0, 0);
    for played in &once {
        say!("{}", played.line());
        if !played.tenants.is_empty() {
            say!("{}", played.service());
        }
        if let Some((rule, record)) = &played.audit_report.first_violation {
            say!("    first: {rule:?} by {record:?}");
        }
        broken += played.audit_report.violations.values().sum::<u64>();
        missed += played.missed_checks.len();
    }
    let (mut found, mut put) = (0, 0);
    let seeded = ["primary-dies", "planned", "freight-crash", "freight-deploy"];
    for scenario in scenarios.iter().filter(|of| seeded.contains(&of.name.as_str())) {
        let (more, of) = emulator::detect_seeded_faults(scenario);
        (found, put) = (found + more, put + of);
    }
    let events: u64 = once.iter().map(|played| played.outcome.events).sum();
    let seconds: f64 = once.iter().map(|played| played.elapsed.as_secs_f64()).sum();
    let mut largest = json!(null);
    if !small {
        let scenario = Scenario::decode("largest", LARGEST.as_bytes())?;
        let played = emulator::run_scenario(&scenario);
        say!("{}", played.line());
        broken += played.audit_report.violations.values().sum::<u64>();
        largest = json!({"boxes": scenario.fleet.groups * scenario.fleet.members, "poolers": scenario.fleet.poolers,
            "requests_per_s": scenario.traffic.rate, "events": played.outcome.events, "took_s": played.elapsed.as_secs()});
    }
    // Those that one machine can show; each takes its own time, and the last two figures are the worst of them.
    let (mut gap, mut ratio, mut on_sockets) = (0.0, 1.0, 0);
    for scenario in scenarios.iter().filter(|of| !small && ON_SOCKETS.contains(&of.name.as_str())) {
        let (one_gap, one_ratio, kept) = both(scenario)?;
        gap = f64::max(gap, one_gap);
        ratio = if f64::abs(one_ratio.ln()) > f64::abs(f64::ln(ratio)) { one_ratio } else { ratio };
        (on_sockets, broken) = (on_sockets + 1, broken + u64::from(!kept));
    }
    say!(
        "{}",
        json!({"scenarios": scenarios.len(), "missed": missed, "replays_identical": identical,
            "on_sockets": on_sockets, "virtual_vs_sockets_served_gap": rounded(gap),
            "virtual_vs_sockets_p99_ratio": rounded(ratio),
            "events": events, "events_per_s_core": (events as f64 / seconds).round(), "largest": largest,
            "peak_memory_mb": emulator::peak_memory_mb(), "rules_broken": broken,
            "seeded_faults_found": found, "seeded_faults": put})
    );
    Ok(identical && broken == 0 && missed == 0 && found == put && put > 0)
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
    let (mut between, mut handovers, mut added) = ((0, 0), Vec::new(), Vec::new());
    let (mut planned_errors, mut never) = (0, 0);
    for (case, outcome) in cases.iter().zip(outcomes) {
        let one = outcome?;
        let mut words: Vec<String> =
            one.answers.iter().map(|(how, count)| format!("{how} {count}")).collect();
        let log = words.iter().position(|words| words.starts_with("log: ")).map(|at| words.remove(at));
        say!(
            "{:<24} top-ups {:>5}  doubled {}  served without row {}  refused with row {}  unanswered {}  late {}  between {}/{}  handover {:>5} ms  {}{}",
            case.to_string(),
            one.top_ups,
            one.doubled,
            one.served_without_row,
            one.refused_with_row,
            one.unanswered,
            one.late,
            one.without_primary.0,
            one.without_primary.1,
            one.handover.unwrap_or_default().as_millis(),
            words.join(", "),
            if one.fault_occurred { "" } else { "  DID NOT HAPPEN" }
        );
        if let Some(log) = log.filter(|_| !only.is_empty()) {
            say!("    {log}");
        }
        never += usize::from(!one.fault_occurred);
        let counts = [
            one.top_ups,
            one.doubled,
            one.served_without_row,
            one.refused_with_row,
            one.unanswered,
            one.late,
            one.failed,
        ];
        sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        if *case == Case::Planned {
            planned_errors += one.top_ups - one.answers.get("served").copied().unwrap_or(0);
            added.extend(
                one.during_change.iter().map(|took| took.saturating_sub(quantile(&one.before_change, 0.5))),
            );
        } else {
            between = (between.0 + one.without_primary.0, between.1 + one.without_primary.1);
            handovers.extend(one.handover);
        }
    }
    let share = between.0 as f64 / f64::max(between.1 as f64, 1.0);
    let courses: Vec<Course> =
        Course::ALL.into_iter().filter(|course| format!("{course:?}").contains(only)).collect();
    let tallies =
        run_parallel(&courses, side_by_side.min(2), |course| changes::run_course(*course, &program));
    let (mut more, mut budget, mut hints) = (changes::Tally::default(), 0.0, Vec::new());
    for (course, tally) in courses.iter().zip(tallies) {
        let tally = tally?;
        say!("{}", tally.line(*course));
        if !only.is_empty() {
            say!("    {}", tally.flight_record);
        }
        planned_errors += if course.is_planned() { tally.writes - tally.served } else { 0 };
        budget = tally.cold_budget_peak.unwrap_or(budget);
        hints.extend(tally.hints.iter().copied());
        more.add(&tally);
    }
    let honest = hints.iter().filter(|hint| (0.75..=1.25).contains(*hint)).count();
    // The same decisions through all orders in which a change can fall, and once with a fault that must be found.
    let bounds =
        Bounds { routers: 2, writes: 1, losses: 1, crashes: 1, drains: true, reset_proves_not_run: false };
    let found = if only.is_empty() { check(bounds, 8) } else { check(Bounds { routers: 1, ..bounds }, 4) };
    let seeded = check(Bounds { routers: 1, reset_proves_not_run: true, ..bounds }, 4);
    if let Some((words, steps)) = &found.violation {
        say!("model: {words}: {steps:?}");
    }
    let model = found.violation.is_none() && seeded.violation.is_some();
    sums.iter_mut().zip(more.counts()).for_each(|(sum, count)| *sum += count);
    let broken = more.drains_broken as usize
        + more.stale_reads as usize
        + more.misdirected_writes
        + usize::from(budget > 1.0);
    let [top_ups, doubled, without, refused, unanswered, late, failed, _] = sums;
    say!(
        "{}",
        json!({"cases": cases.len() + courses.len(), "did_not_happen": never, "top_ups": top_ups, "rows_doubled": doubled,
            "rows_lost": without, "unanswered": unanswered, "answered_late": late, "served_without_row": without,
            "refused_with_row": refused, "failed": failed, "planned_errors": planned_errors,
            "planned_added_p99_ms": quantile(&added, 0.99).as_millis() as u64,
            "handover_p99_ms": quantile(&handovers, 0.99).as_millis() as u64,
            "drains_broken": more.drains_broken, "writes_astray": more.misdirected_writes, "stale_reads": more.stale_reads, "release_peak_over_budget": (budget * 100.0).round() / 100.0,
            "hints": hints.len(), "hints_within_quarter": honest,
            "unplanned_served_share": (share * 10_000.0).round() / 10_000.0,
            "states_checked": found.states, "model_violations": u8::from(found.violation.is_some()),
            "seeded_fault_found": seeded.violation.is_some()})
    );
    Ok(model && doubled + without + refused + unanswered + late + never + broken == 0)
}

/// Whether all came out as it should.
fn eureka(script: Option<PathBuf>, only: &str, seed: u64, side_by_side: usize) -> Result<bool, Failure> {
    let mut scripts = match script {
        Some(path) => Script::load(&path)?,
        None => Script::eureka()?,
    };
    scripts.retain(|script| script.name.contains(only));
    let program = program();
    let outcomes = run_parallel(&scripts, side_by_side, |script| run_script(script, &program, seed));
    let mut whole = linnetdeal_lab::recorder::Verdict::default();
    let (mut well, mut missed, mut shares) = (true, 0, std::collections::BTreeMap::new());
    for (script, outcome) in scripts.iter().zip(outcomes) {
        let name = &script.name;
        match outcome {
            Err(error) => {
                well = false;
                say!("{name:<22} could not be played: {error}");
            }
            Ok(ScriptOutcome { verdict, missed: words, served_share: share, .. }) => {
                say!(
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
                words.iter().for_each(|words| say!("    {words}"));
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
    say!(
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
