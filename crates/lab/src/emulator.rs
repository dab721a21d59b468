//! The fleet in virtual time, from the command line: a scenario, the library of them, and how large it gets.

use crate::plot::ChartRecorder;
use linnetdeal_fleet::audit::{AuditReport, Auditor};
use linnetdeal_fleet::faults::{self, Fault};
use linnetdeal_fleet::record::{Log, Record, Sink};
use linnetdeal_fleet::scenario::Scenario;
use linnetdeal_fleet::sim::{self, RunOutcome};
use linnetdeal_fleet::traffic;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Tells all of them what happens.
struct All<'s>(&'s mut Log, &'s mut Auditor, &'s mut ChartRecorder);

impl Sink for All<'_> {
    fn record(&mut self, record: Record) {
        self.0.record(record);
        self.1.record(record);
        self.2.record(record);
    }
}

/// A scenario that was played.
#[derive(Debug)]
pub struct ScenarioRun {
    /// Its name.
    pub name: String,
    /// What came out.
    pub outcome: RunOutcome,
    /// What the auditor says.
    pub audit_report: AuditReport,
    /// The digest of its records, and their number.
    pub digest: (u64, u64),
    /// What it took.
    pub elapsed: Duration,
    /// Checks of its own that it missed.
    pub missed_checks: Vec<String>,
    /// The names of its classes, writes last, and of its tenants.
    pub classes: Vec<String>,
    /// The names of its tenants.
    pub tenants: Vec<String>,
}

impl ScenarioRun {
    /// In a line.
    #[must_use]
    pub fn line(&self) -> String {
        let RunOutcome { events, requests, latency, attempts, probes, collapsed, .. } = &self.outcome;
        let p99 = |class: usize| latency[class].value_at_quantile(0.99) as f64 / 1_000.0;
        let broken: Vec<String> =
            self.audit_report.violations.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
        format!(
            "{:<20} asked {:>7}  served {:.4}  writes {:.4}  p99 {:>5.0} ms, of writes {:>5.0}  sent {attempts:>8}  probes {probes:>7}  fell {collapsed}  cold peak {:.2}  {:>5.2} M events/s  {}{}",
            self.name,
            requests.iter().sum::<u64>(),
            self.outcome.served_share(),
            self.outcome.class_served_share(self.outcome.write_class()),
            p99(0),
            p99(self.outcome.write_class()),
            self.audit_report.cold_peak,
            *events as f64 / self.elapsed.as_secs_f64() / 1e6,
            if broken.is_empty() {
                "no rule broken".to_owned()
            } else {
                format!("BROKEN {}", broken.join(", "))
            },
            self.missed_checks.iter().map(|words| format!("  MISSED {words}")).collect::<String>(),
        )
    }

    /// What clients got in worth, by class and tenant, in the whole run and in the worst 10 s, and how often it was asked for.
    #[must_use]
    pub fn service(&self) -> String {
        let RunOutcome { service, requests, tries, calls, probes, attempts, .. } = &self.outcome;
        let first = requests.iter().sum::<u64>().max(1) as f64;
        let (from, worst) = service.worst_window();
        let mut words = format!(
            "    service {:.3}, worst 10 s {worst:.3} from {from} s; tries a request {:.2}, attempts {:.2}, probes {:.2}",
            service.overall(),
            *tries as f64 / first,
            *attempts as f64 / first,
            *probes as f64 / first,
        );
        if calls.0 > 0 {
            words += &format!("; {} calls for the list, {} failed", calls.0, calls.1);
        }
        let classes = self.classes.iter().enumerate().map(|(at, name)| (name, service.class_shares(at)));
        let tenants = self.tenants.iter().enumerate().map(|(at, name)| (name, service.tenant_shares(at)));
        for (name, [whole, worst]) in classes.chain(tenants) {
            words += &format!("\n        {name:<16} {whole:.3}, worst 10 s {worst:.3}");
        }
        words
    }
}

/// What scenarios of a folder share: definitions that each may refer to.
const WORLD: &str = "world.cue";

/// Reads a scenario, with what stands in `world.cue` beside it.
///
/// # Errors
///
/// When it can't be read, or something in it is wrong.
pub fn load_scenario(path: &Path) -> io::Result<Scenario> {
    let bytes =
        std::fs::read(path).map_err(|error| io::Error::other(format!("{}: {error}", path.display())))?;
    let world = match std::fs::read_to_string(path.with_file_name(WORLD)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
        world => world?,
    };
    Scenario::decode_in(&world, &path.display().to_string(), &bytes).map_err(io::Error::other)
}

/// All scenarios of a folder, by name.
///
/// # Errors
///
/// When one can't be read.
pub fn load_library(folder: &Path) -> io::Result<Vec<Scenario>> {
    let files =
        std::fs::read_dir(folder)?.map(|entry| Ok(entry?.path())).collect::<io::Result<Vec<PathBuf>>>()?;
    let mut files: Vec<_> =
        files.into_iter().filter(|path| path.extension().is_some_and(|of| of == "cue")).collect();
    files.retain(|path| !path.ends_with(WORLD));
    files.sort();
    files.iter().map(|path| load_scenario(path)).collect()
}

/// Plays a scenario and has it audited.
#[must_use]
pub fn run_scenario(scenario: &Scenario) -> ScenarioRun {
    run_with_charts(scenario, &mut ChartRecorder::default())
}

/// The same, with the troubles marked.
#[must_use]
pub fn run_with_charts(scenario: &Scenario, marks: &mut ChartRecorder) -> ScenarioRun {
    let (mut log, mut auditor) = (Log::default(), Auditor::new(sim::rules(scenario)));
    let began = Instant::now();
    let outcome = sim::run(scenario, &mut All(&mut log, &mut auditor, marks));
    let elapsed = began.elapsed();
    let audit_report =
        auditor.finish(outcome.end).check_first_tries(&sim::rules(scenario), outcome.first_tries());
    let mut missed_checks = Vec::new();
    for (what, share, wanted) in [
        ("served", outcome.served_share(), scenario.checks.served),
        ("writes", outcome.class_served_share(outcome.write_class()), scenario.checks.writes),
        ("service", outcome.service.overall(), scenario.checks.service),
        ("worst 10 s", outcome.service.worst_window().1, scenario.checks.worst),
    ] {
        if share < wanted {
            missed_checks.push(format!("{what} {share:.3} of {wanted}"));
        }
    }
    let digest = (log.digest(), log.len());
    let classes = traffic::class_plans(scenario).into_iter().map(|of| of.class.name).collect();
    let tenants = scenario.tenants.iter().map(|of| of.name.clone()).collect();
    ScenarioRun {
        name: scenario.name.clone(),
        outcome,
        audit_report,
        digest,
        elapsed,
        missed_checks,
        classes,
        tenants,
    }
}

/// Keeps what concerns a request.
struct Of(u64, Vec<Record>);

impl Sink for Of {
    fn record(&mut self, record: Record) {
        if record.request == self.0 {
            self.1.push(record);
        }
    }
}

/// All records of a request.
#[must_use]
pub fn request_records(scenario: &Scenario, request: u64) -> Vec<Record> {
    let mut of = Of(request, Vec::new());
    sim::run(scenario, &mut of);
    of.1
}

/// Puts each fault into a run's records; gives how many were found, of how many that found a place.
#[must_use]
pub fn detect_seeded_faults(scenario: &Scenario) -> (usize, usize) {
    let mut log = Log::with_records();
    let first_tries = sim::run(scenario, &mut log).first_tries();
    let (records, rules) = (log.into_records(), sim::rules(scenario));
    let (mut found, mut put) = (0, 0);
    for fault in Fault::ALL.into_iter().chain(Fault::FULL_AUDIT) {
        let Some(changed) = fault.inject(&records, &rules) else { continue };
        put += 1;
        let mut auditor = Auditor::new(rules.clone());
        changed.iter().for_each(|record| auditor.record(*record));
        let verdict = auditor.finish(faults::audit_end(&changed)).check_first_tries(&rules, first_tries);
        found += usize::from(verdict.violations.contains_key(&fault.rule()));
    }
    (found, put)
}

/// The most memory that this process has had, in MB.
#[must_use]
pub fn peak_memory_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0) / 1_024
}
