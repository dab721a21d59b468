//! Runs a script with real processes.

use super::audit::{Verdict, audit};
use super::gate::Gate;
use super::script::{Action, Expectation, Script, Step, Target};
use crate::processes::fleet::{Fleet, Spec};
use crate::processes::history::{Event, Record};
use crate::processes::process::WAIT_TIMEOUT;
use crate::processes::relay::Noise;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The task that all scripts contend for.
const TASK: &str = "sweep";
/// Default key that authenticates the datagrams of leases.
const KEY: &str = "the key of the lab's installation";
/// Up to this number of poolers, every pair has a relay.
const MAX_FULLY_RELAYED: usize = 24;
/// Interval of the polls while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Outcome of a script.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Audit of the history.
    pub verdict: Verdict,
    /// Duration of each takeover, in terms.
    pub takeovers: Vec<f64>,
    /// Expectations of the script that were not met.
    pub missed: Vec<String>,
    /// Number of datagrams sent.
    pub sent: usize,
    /// Size of the largest datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// Datagrams per second of poolers that are not voters: the maximum and the mean.
    pub rates: (f64, f64),
    /// Folder with script, history and logs, kept if the script did not pass.
    pub kept_folder: Option<PathBuf>,
}

impl Outcome {
    /// Whether all expectations were met and the audit found no violation that the script excludes.
    #[must_use]
    pub fn passed(&self, script: &Script) -> bool {
        let verdict = &self.verdict;
        let late = if script.late_acts { 0 } else { verdict.late_acts };
        let acts = if script.gate { verdict.overlapping_acts + verdict.old_tokens_let_through } else { 0 };
        self.missed.is_empty() && late + acts + verdict.tokens_went_back + verdict.tokens_shared == 0
    }
}

/// State of a running script.
struct Runner<'s> {
    script: &'s Script,
    fleet: Fleet,
    gate: Gate,
    folder: PathBuf,
    rng: ChaCha8Rng,
    /// Poolers of the previous step that applied to any.
    previous_targets: BTreeSet<usize>,
    /// Configuration for processes started from now on: version, voters and previous sets of voters.
    voter_config: (u32, Vec<usize>, Vec<Vec<usize>>),
    outcome: Outcome,
}

/// Runs a script with this seed.
///
/// # Errors
///
/// When processes can't be started.
pub fn run_script(script: &Script, seed: u64, program: &Path) -> Result<Outcome, Failure> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("linnetdeal-leases-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    // A relay for each pair of a large fleet would need too many sockets; all datagrams are sent to or by voters.
    let (large, voters) = (script.poolers > MAX_FULLY_RELAYED, script.voters.clone());
    let spec = Spec {
        program: program.to_owned(),
        count: script.poolers,
        seed,
        // A pooler without a server never becomes ready; this server receives no requests.
        known_servers: Box::new(|_| {
            json!({"generation": 1, "reset": true, "instances": [{"instanceId": "s0", "hostPort": "127.0.0.1:1",
                "zone": "a", "machineType": "m", "cell": 1, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0}]})
        }),
        discovery: Vec::new(),
        zones: Vec::new(),
        relayed: Box::new(move |from, to| !large || voters.contains(&from) || voters.contains(&to)),
    };
    let fleet = Fleet::new(spec)?;
    let gate = Gate::start(fleet.history.clone(), script.gate)?;
    let mut runner = Runner {
        script,
        fleet,
        gate,
        folder,
        rng: ChaCha8Rng::seed_from_u64(seed),
        previous_targets: BTreeSet::new(),
        voter_config: (1, script.voters.clone(), script.previous.clone()),
        outcome: Outcome::default(),
    };
    runner.run()?;
    Ok(runner.finish(seed))
}

impl Runner<'_> {
    fn run(&mut self) -> Result<(), Failure> {
        for pooler in 0..self.script.poolers {
            let text = self.operator_file(0, "")?;
            self.fleet.start(pooler, &text, &[])?;
        }
        for pooler in 0..self.script.poolers {
            self.fleet.wait_until_listening(pooler)?;
        }
        if self.wait_for(0, WAIT_TIMEOUT, |_| true).is_none() {
            self.record_miss("nobody acts at the beginning");
            return Ok(());
        }
        for round in 0..self.script.rounds {
            for (index, step) in self.script.steps.iter().enumerate() {
                self.run_step(step).map_err(|error| format!("step {index} of round {round}: {error}"))?;
                for exited in self.fleet.poll_logs() {
                    self.record_miss(&format!("pooler {exited} has ended by itself"));
                }
                if !self.outcome.missed.is_empty() {
                    self.record_miss(&format!("in step {index} of round {round}"));
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Text of the fleet's operator file with this version (0 for the current one) and key (empty for the default).
    fn operator_file(&self, version: u32, key: &str) -> Result<String, Failure> {
        let key = if key.is_empty() { KEY } else { key };
        let file = self.folder.join(format!("key-{}", key.len()));
        // Replaced atomically: another process may be reading the file.
        let temporary = file.with_extension("new");
        std::fs::write(&temporary, key)?;
        std::fs::rename(&temporary, &file)?;
        let script = self.script;
        let ms = |duration: Duration| format!("{}ms", duration.as_millis());
        Ok(format!(
            "package linnetdeal\nleases: {{site: \"lab\", version: {}, voters: {:?}, previous: {:?}, drift: {}, longest: {:?},\n\
             keys: [{:?}], tasks: [{{name: \"{TASK}\", term: {:?}, call: {{address: \"{}\", every: {:?}, lasts: {:?}}}}}]}}\n",
            if version == 0 { self.voter_config.0 } else { version },
            self.voter_config.1,
            self.voter_config.2,
            script.drift,
            ms(script.term),
            file.display().to_string(),
            ms(script.term),
            self.gate.address,
            ms(script.every),
            ms(script.lasts)
        ))
    }

    fn run_step(&mut self, step: &Step) -> Result<(), Failure> {
        let (before, history_len) = (self.highest_token(), self.fleet.history.len());
        let start = self.fleet.history.now();
        let targets = self.resolve_target(step.who);
        let mut successor = None;
        match step.what {
            Action::Start => {
                for pooler in &targets {
                    if self.fleet.running().contains(pooler) {
                        self.fleet.kill(*pooler);
                    }
                }
                if !step.voters.is_empty() {
                    self.voter_config = (step.version, step.voters.clone(), step.previous.clone());
                }
                let text = self.operator_file(step.version, &step.key)?;
                let bend = [("LINNETDEAL_BEND", step.bend.clone())];
                let variables = if step.bend.is_empty() { &[][..] } else { &bend[..] };
                for pooler in &targets {
                    self.fleet.start(*pooler, &text, variables)?;
                }
                for pooler in &targets {
                    self.fleet.wait_until_listening(*pooler)?;
                }
            }
            Action::Kill => targets.iter().for_each(|pooler| self.fleet.kill(*pooler)),
            Action::End => {
                for pooler in &targets {
                    self.fleet.terminate(*pooler)?;
                }
            }
            Action::Stop | Action::Go => {
                let name = if step.what == Action::Stop { "STOP" } else { "CONT" };
                for pooler in &targets {
                    self.fleet.signal(*pooler, name)?;
                }
            }
            Action::Cut => {
                for from in 0..self.script.poolers {
                    for to in (0..self.script.poolers).filter(|to| *to != from) {
                        let (inward, outward) = (targets.contains(&to), targets.contains(&from));
                        let cut = inward != outward
                            && (step.way == "both"
                                || inward && step.way == "in"
                                || outward && step.way == "out");
                        if cut {
                            self.fleet.relay.set_cut(from, to, true);
                        }
                    }
                }
                self.fleet.record_fault(&format!("cut {targets:?} {}", step.way));
            }
            Action::Heal => {
                self.fleet.relay.heal();
                self.fleet.record_fault("heal");
            }
            Action::Noise => {
                let (lost, doubled, flipped, late) = (step.lost, step.doubled, step.flipped, step.late);
                let noise = Noise { lost, doubled, flipped, late };
                self.fleet.relay.set_noise(noise);
                self.fleet.record_fault(&format!("{noise:?}"));
            }
            Action::Release | Action::Hand | Action::Seize => {
                let to = self.resolve_target(step.to).first().copied().unwrap_or(0);
                let path = match step.what {
                    Action::Hand => format!("/-/leases/{TASK}/hand/{to}"),
                    Action::Release => format!("/-/leases/{TASK}/release"),
                    _ => format!("/-/leases/{TASK}/acquire"),
                };
                successor = Some(to).filter(|to| step.what == Action::Hand && self.is_up(*to));
                for pooler in &targets {
                    let (status, response) = self.fleet.call(*pooler, "POST", &path)?;
                    self.fleet.record_fault(&format!("{path} at {pooler}: {status} {}", response.trim()));
                }
            }
            Action::HoldGate => targets.iter().for_each(|pooler| self.gate.set_delay(*pooler, step.lasts)),
            Action::Twin => {
                let text = self.operator_file(step.version, &step.key)?;
                for pooler in &targets {
                    self.fleet.start_duplicate(*pooler, &text)?;
                }
            }
            Action::Replace => {
                let text = self.operator_file(step.version, &step.key)?;
                for pooler in &targets {
                    self.fleet.replace(*pooler, &text)?;
                    // The old process hands its leases over to the new one.
                    successor = Some(*pooler).filter(|_| step.who == Target::Holder);
                }
            }
            Action::Wait => std::thread::sleep(step.lasts),
        }
        if !matches!(step.what, Action::Wait | Action::Noise | Action::Heal) {
            self.previous_targets = targets;
        }
        match step.then {
            Expectation::Nothing => {}
            Expectation::Takeover => match self.wait_for(history_len, WAIT_TIMEOUT, |token| token > before) {
                None => self.record_miss(&format!("nobody has taken over after {:?}", step.what)),
                Some((at, by)) => {
                    let took = Duration::from_micros(at.saturating_sub(start)).as_secs_f64();
                    let took = took / self.script.term.as_secs_f64();
                    self.outcome.takeovers.push(took);
                    if let Some(successor) = successor.filter(|successor| *successor != by) {
                        self.record_miss(&format!("{by} acts, and {successor} is the heir"));
                    }
                }
            },
            Expectation::Same => {
                // Long enough for an unrenewed lease to expire.
                std::thread::sleep(self.script.term * 2);
                if self.highest_token() != before
                    || !self.acts_begun(history_len).any(|(_, token, _)| token == before)
                {
                    self.record_miss(&format!("the same one should have gone on after {:?}", step.what));
                }
            }
            Expectation::Nobody => {
                std::thread::sleep(self.script.term);
                let history_len = self.fleet.history.len();
                std::thread::sleep(step.lasts);
                if self.acts_begun(history_len).next().is_some() {
                    self.record_miss(&format!("somebody began an act after {:?}", step.what));
                }
            }
        }
        Ok(())
    }

    fn is_up(&self, pooler: usize) -> bool {
        self.fleet.running().contains(&pooler) && !self.fleet.stopped().contains(&pooler)
    }

    /// Times, tokens and poolers of the acts begun and let through since the history had `history_len` records.
    fn acts_begun(&self, history_len: usize) -> impl Iterator<Item = (u64, u64, usize)> + use<> {
        self.fleet.history.since(history_len).into_iter().filter_map(|Record { at, event }| match event {
            Event::Act { token, by, step, through: true, .. } if step == "begin" => {
                Some((at, token, by.split('/').next()?.parse().ok()?))
            }
            _ => None,
        })
    }

    /// Highest token with which an act was begun and let through.
    fn highest_token(&self) -> u64 {
        self.acts_begun(0).map(|(_, token, _)| token).max().unwrap_or(0)
    }

    /// Waits until an act begins with a matching token; returns its time and its pooler.
    fn wait_for(
        &mut self,
        history_len: usize,
        timeout: Duration,
        matches: impl Fn(u64) -> bool,
    ) -> Option<(u64, usize)> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some((at, _, by)) = self.acts_begun(history_len).find(|(_, token, _)| matches(*token)) {
                return Some((at, by));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Poolers that a target stands for at this moment.
    fn resolve_target(&mut self, target: Target) -> BTreeSet<usize> {
        let highest_token = self.highest_token();
        let holder = self
            .acts_begun(0)
            .filter(|(_, token, _)| *token == highest_token)
            .map(|(_, _, by)| by)
            .last()
            .unwrap_or(0);
        let voters = &self.script.voters;
        let up: Vec<usize> =
            (0..self.script.poolers).filter(|pooler| *pooler != holder && self.is_up(*pooler)).collect();
        match target {
            Target::Number(number) => [number].into(),
            Target::Holder => [holder].into(),
            Target::Other => up.choose(&mut self.rng).copied().into_iter().collect(),
            Target::Voter => {
                let voters: Vec<usize> = up.into_iter().filter(|pooler| voters.contains(pooler)).collect();
                voters.choose(&mut self.rng).copied().into_iter().collect()
            }
            Target::Voters => voters.iter().copied().collect(),
            Target::SmallSide => {
                let max_voters = voters.len().saturating_sub(1) / 2;
                let mut minority: BTreeSet<usize> = [holder].into();
                for voter in voters {
                    if voters.iter().filter(|voter| minority.contains(voter)).count() < max_voters {
                        minority.insert(*voter);
                    }
                }
                minority
            }
            Target::Same => self.previous_targets.clone(),
            Target::All => (0..self.script.poolers).collect(),
        }
    }

    fn record_miss(&mut self, message: &str) {
        self.fleet.record_fault(&format!("MISSED: {message}"));
        self.outcome.missed.push(message.to_owned());
    }

    /// Audits the history; keeps script, history and logs if the script did not pass.
    fn finish(mut self, seed: u64) -> Outcome {
        self.fleet.poll_logs();
        let records = self.fleet.history.records();
        self.outcome.verdict = audit(&records);
        self.outcome.sent = self.fleet.relay.stats.sent.load(Ordering::Relaxed);
        self.outcome.max_datagram_bytes = self.fleet.relay.stats.max_bytes.load(Ordering::Relaxed);
        let elapsed = self.fleet.history.now() as f64 / 1e6;
        let sent_by_pooler = self.fleet.relay.stats.sent_by_pooler();
        let others = (0..self.script.poolers).filter(|pooler| !self.script.voters.contains(pooler));
        let rates: Vec<f64> =
            others.map(|pooler| sent_by_pooler.get(&pooler).copied().unwrap_or(0) as f64 / elapsed).collect();
        let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        self.outcome.rates = (rates.iter().copied().fold(0.0, f64::max), mean);
        if self.outcome.passed(self.script) {
            let _ = std::fs::remove_dir_all(&self.folder);
            return self.outcome;
        }
        let mut history = String::new();
        for record in &records {
            let _ = writeln!(history, "{}", serde_json::to_string(record).unwrap_or_default());
        }
        let _ = std::fs::write(self.folder.join("history.jsonl"), history);
        let _ = std::fs::write(self.folder.join("script.txt"), format!("seed {seed}\n{:#?}\n", self.script));
        for (number, (pooler, log)) in self.fleet.logs().into_iter().enumerate() {
            let _ = std::fs::write(self.folder.join(format!("log-{pooler}-{number}.txt")), log.join("\n"));
        }
        self.outcome.kept_folder = Some(self.folder.clone());
        self.outcome
    }
}
