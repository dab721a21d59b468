//! The fleet in virtual time, as the command line runs it: single scenarios, folders of scenarios, and seeded faults.

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

/// Passes each record on to the log, the auditor and the recorder of charts.
struct Sinks<'s>(&'s mut Log, &'s mut Auditor, &'s mut ChartRecorder);

impl Sink for Sinks<'_> {
    fn record(&mut self, record: Record) {
        self.0.record(record);
        self.1.record(record);
        self.2.record(record);
    }
}

/// The run of a scenario and its results.
#[derive(Debug)]
pub struct ScenarioRun {
    /// Name of the scenario.
    pub name: String,
    /// Outcome of the simulation.
    pub outcome: RunOutcome,
    /// Report of the auditor.
    pub audit_report: AuditReport,
    /// Digest of the run's records, and their number.
    pub digest: (u64, u64),
    /// Elapsed real time of the run.
    pub elapsed: Duration,
    /// The scenario's own checks that the run missed, in words.
    pub missed_checks: Vec<String>,
    /// Names of the scenario's classes, writes last.
    pub classes: Vec<String>,
    /// Names of the scenario's tenants.
    pub tenants: Vec<String>,
}

impl ScenarioRun {
    /// The result as one line of text.
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
            self.missed_checks.iter().map(|text| format!("  MISSED {text}")).collect::<String>(),
        )
    }

    /// Served share weighted by worth, in total and by class and tenant, for the whole run and its worst 10 s, with
    /// the number of tries, attempts and probes for each request. Text of several lines.
    #[must_use]
    pub fn service(&self) -> String {
        let RunOutcome { service, requests, tries, calls, probes, attempts, .. } = &self.outcome;
        let first = requests.iter().sum::<u64>().max(1) as f64;
        let (from, worst) = service.worst_window();
        let mut text = format!(
            "    service {:.3}, worst 10 s {worst:.3} from {from} s; tries a request {:.2}, attempts {:.2}, probes {:.2}",
            service.overall(),
            *tries as f64 / first,
            *attempts as f64 / first,
            *probes as f64 / first,
        );
        if calls.0 > 0 {
            text += &format!("; {} calls for the list, {} failed", calls.0, calls.1);
        }
        let classes =
            self.classes.iter().enumerate().map(|(class, name)| (name, service.class_shares(class)));
        let tenants =
            self.tenants.iter().enumerate().map(|(tenant, name)| (name, service.tenant_shares(tenant)));
        for (name, [whole, worst]) in classes.chain(tenants) {
            text += &format!("\n        {name:<16} {whole:.3}, worst 10 s {worst:.3}");
        }
        text
    }
}

/// File with definitions that all scenarios of its folder may refer to.
const SHARED_DEFINITIONS: &str = "world.cue";

/// Reads a scenario, with the definitions of the `world.cue` in the same folder, if there is one.
///
/// # Errors
///
/// When a file can't be read or the scenario is not valid.
pub fn load_scenario(path: &Path) -> io::Result<Scenario> {
    let bytes =
        std::fs::read(path).map_err(|error| io::Error::other(format!("{}: {error}", path.display())))?;
    let shared = match std::fs::read_to_string(path.with_file_name(SHARED_DEFINITIONS)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
        shared => shared?,
    };
    Scenario::decode_in(&shared, &path.display().to_string(), &bytes).map_err(io::Error::other)
}

/// Reads all scenarios of a folder, sorted by file name.
///
/// # Errors
///
/// When a scenario can't be read or is not valid.
pub fn load_library(folder: &Path) -> io::Result<Vec<Scenario>> {
    let files =
        std::fs::read_dir(folder)?.map(|entry| Ok(entry?.path())).collect::<io::Result<Vec<PathBuf>>>()?;
    let mut files: Vec<_> = files
        .into_iter()
        .filter(|path| path.extension().is_some_and(|extension| extension == "cue"))
        .collect();
    files.retain(|path| !path.ends_with(SHARED_DEFINITIONS));
    files.sort();
    files.iter().map(|path| load_scenario(path)).collect()
}

/// Runs a scenario and audits its records.
#[must_use]
pub fn run_scenario(scenario: &Scenario) -> ScenarioRun {
    run_with_charts(scenario, &mut ChartRecorder::default())
}

/// Runs and audits a scenario, and records the data of its charts.
#[must_use]
pub fn run_with_charts(scenario: &Scenario, charts: &mut ChartRecorder) -> ScenarioRun {
    let (mut log, mut auditor) = (Log::default(), Auditor::new(sim::rules(scenario)));
    let began = Instant::now();
    let outcome = sim::run(scenario, &mut Sinks(&mut log, &mut auditor, charts));
    let elapsed = began.elapsed();
    let audit_report =
        auditor.finish(outcome.end).check_first_tries(&sim::rules(scenario), outcome.first_tries());
    let mut missed_checks = Vec::new();
    for (check, share, target) in [
        ("served", outcome.served_share(), scenario.checks.served),
        ("writes", outcome.class_served_share(outcome.write_class()), scenario.checks.writes),
        ("service", outcome.service.overall(), scenario.checks.service),
        ("worst 10 s", outcome.service.worst_window().1, scenario.checks.worst),
    ] {
        if share < target {
            missed_checks.push(format!("{check} {share:.3} of {target}"));
        }
    }
    let digest = (log.digest(), log.len());
    let classes = traffic::class_plans(scenario).into_iter().map(|plan| plan.class.name).collect();
    let tenants = scenario.tenants.iter().map(|tenant| tenant.name.clone()).collect();
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

/// Keeps the records of one request.
struct RequestRecords(u64, Vec<Record>);

impl Sink for RequestRecords {
    fn record(&mut self, record: Record) {
        if record.request == self.0 {
            self.1.push(record);
        }
    }
}

/// Runs a scenario and returns all records of a request.
#[must_use]
pub fn request_records(scenario: &Scenario, request: u64) -> Vec<Record> {
    let mut records = RequestRecords(request, Vec::new());
    sim::run(scenario, &mut records);
    records.1
}

/// Injects each fault into a copy of a run's records and audits it. Returns how many faults the auditor found, and how
/// many could be injected.
#[must_use]
pub fn detect_seeded_faults(scenario: &Scenario) -> (usize, usize) {
    let mut log = Log::with_records();
    let first_tries = sim::run(scenario, &mut log).first_tries();
    let (records, rules) = (log.into_records(), sim::rules(scenario));
    let (mut found, mut injected) = (0, 0);
    for fault in Fault::ALL.into_iter().chain(Fault::FULL_AUDIT) {
        let Some(changed) = fault.inject(&records, &rules) else { continue };
        injected += 1;
        let mut auditor = Auditor::new(rules.clone());
        changed.iter().for_each(|record| auditor.record(*record));
        let verdict = auditor.finish(faults::audit_end(&changed)).check_first_tries(&rules, first_tries);
        found += usize::from(verdict.violations.contains_key(&fault.rule()));
    }
    (found, injected)
}

/// Peak memory of this process, in MB; 0 if it can't be read.
#[must_use]
pub fn peak_memory_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0) / 1_024
}
