//! Plays a script with real processes.

use super::audit::{Verdict, audit};
use super::gate::Gate;
use super::script::{Do, Script, Step, Then, Whom};
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

/// The task of all scripts.
const TASK: &str = "sweep";
const KEY: &str = "the key of the lab's installation";
/// Up to so many poolers there is a relay for each pair.
const MOST_WHOLE: usize = 24;
const LOOK: Duration = Duration::from_millis(2);

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// How a script came out.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// What the history shows.
    pub verdict: Verdict,
    /// How long each takeover took, in terms.
    pub takeovers: Vec<f64>,
    /// What did not come as the script has it, in words.
    pub missed: Vec<String>,
    /// Datagrams sent.
    pub sent: usize,
    /// The longest, in bytes.
    pub longest: usize,
    /// Datagrams a second of the pooler that sent most and is no voter, and of all these in the mean.
    pub rates: (f64, f64),
    /// Where script, history and logs lie, if something is wrong.
    pub kept: Option<PathBuf>,
}

impl Outcome {
    /// Whether everything is as it must be.
    #[must_use]
    pub fn is_well(&self, script: &Script) -> bool {
        let of = &self.verdict;
        let late = if script.late_acts { 0 } else { of.late_acts };
        let acts = if script.gate { of.overlapping_acts + of.old_tokens_let_through } else { 0 };
        self.missed.is_empty() && late + acts + of.tokens_went_back + of.tokens_shared == 0
    }
}

struct Play<'s> {
    script: &'s Script,
    fleet: Fleet,
    gate: Gate,
    folder: PathBuf,
    rng: ChaCha8Rng,
    same: BTreeSet<usize>,
    /// What starts go by now: the version, the voters and those before them.
    council: (u32, Vec<usize>, Vec<Vec<usize>>),
    outcome: Outcome,
}

/// Plays a script with this seed.
///
/// # Errors
///
/// When processes can't be started.
pub fn play(script: &Script, seed: u64, program: &Path) -> Result<Outcome, Failure> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("linnetdeal-leases-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    // A relay for each pair of a large fleet would need more sockets than there are; all letters are to or from voters.
    let (large, voters) = (script.poolers > MOST_WHOLE, script.voters.clone());
    let spec = Spec {
        program: program.to_owned(),
        count: script.poolers,
        seed,
        // A pooler without a server is never ready; nobody asks anything of this one.
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
    let mut play = Play {
        script,
        fleet,
        gate,
        folder,
        rng: ChaCha8Rng::seed_from_u64(seed),
        same: BTreeSet::new(),
        council: (1, script.voters.clone(), script.previous.clone()),
        outcome: Outcome::default(),
    };
    play.run()?;
    Ok(play.end(seed))
}

impl Play<'_> {
    fn run(&mut self) -> Result<(), Failure> {
        for at in 0..self.script.poolers {
            let text = self.operator(0, "")?;
            self.fleet.start(at, &text, &[])?;
        }
        for at in 0..self.script.poolers {
            self.fleet.wait_until_listening(at)?;
        }
        if self.wait_for(0, WAIT_TIMEOUT, |_| true).is_none() {
            self.missed("nobody acts at the beginning");
            return Ok(());
        }
        for round in 0..self.script.rounds {
            for (at, step) in self.script.steps.iter().enumerate() {
                self.step(step).map_err(|error| format!("step {at} of round {round}: {error}"))?;
                for gone in self.fleet.poll_logs() {
                    self.missed(&format!("pooler {gone} has ended by itself"));
                }
                if !self.outcome.missed.is_empty() {
                    self.missed(&format!("in step {at} of round {round}"));
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// The operator's file of the fleet, by this version (0 for the present one) and key.
    fn operator(&self, version: u32, key: &str) -> Result<String, Failure> {
        let key = if key.is_empty() { KEY } else { key };
        let file = self.folder.join(format!("key-{}", key.len()));
        // Whole at once: another process may be reading it.
        let beside = file.with_extension("new");
        std::fs::write(&beside, key)?;
        std::fs::rename(&beside, &file)?;
        let script = self.script;
        let ms = |of: Duration| format!("{}ms", of.as_millis());
        Ok(format!(
            "package linnetdeal\nleases: {{site: \"lab\", version: {}, voters: {:?}, previous: {:?}, drift: {}, longest: {:?},\n\
             keys: [{:?}], tasks: [{{name: \"{TASK}\", term: {:?}, call: {{address: \"{}\", every: {:?}, lasts: {:?}}}}}]}}\n",
            if version == 0 { self.council.0 } else { version },
            self.council.1,
            self.council.2,
            script.drift,
            ms(script.term),
            file.display().to_string(),
            ms(script.term),
            self.gate.address,
            ms(script.every),
            ms(script.lasts)
        ))
    }

    fn step(&mut self, step: &Step) -> Result<(), Failure> {
        let (before, mark) = (self.highest(), self.fleet.history.len());
        let began = self.fleet.history.now();
        let whom = self.whom(step.who);
        let mut heir = None;
        match step.what {
            Do::Start => {
                for at in &whom {
                    if self.fleet.running().contains(at) {
                        self.fleet.kill(*at);
                    }
                }
                if !step.voters.is_empty() {
                    self.council = (step.version, step.voters.clone(), step.previous.clone());
                }
                let text = self.operator(step.version, &step.key)?;
                let bend = [("LINNETDEAL_BEND", step.bend.clone())];
                let variables = if step.bend.is_empty() { &[][..] } else { &bend[..] };
                for at in &whom {
                    self.fleet.start(*at, &text, variables)?;
                }
                for at in &whom {
                    self.fleet.wait_until_listening(*at)?;
                }
            }
            Do::Kill => whom.iter().for_each(|at| self.fleet.kill(*at)),
            Do::End => {
                for at in &whom {
                    self.fleet.terminate(*at)?;
                }
            }
            Do::Stop | Do::Go => {
                let name = if step.what == Do::Stop { "STOP" } else { "CONT" };
                for at in &whom {
                    self.fleet.signal(*at, name)?;
                }
            }
            Do::Cut => {
                for from in 0..self.script.poolers {
                    for to in (0..self.script.poolers).filter(|to| *to != from) {
                        let (inward, outward) = (whom.contains(&to), whom.contains(&from));
                        let cut = inward != outward
                            && (step.way == "both"
                                || inward && step.way == "in"
                                || outward && step.way == "out");
                        if cut {
                            self.fleet.relay.set_cut(from, to, true);
                        }
                    }
                }
                self.fleet.record_fault(&format!("cut {whom:?} {}", step.way));
            }
            Do::Heal => {
                self.fleet.relay.heal();
                self.fleet.record_fault("heal");
            }
            Do::Noise => {
                let (lost, doubled, flipped, late) = (step.lost, step.doubled, step.flipped, step.late);
                let noise = Noise { lost, doubled, flipped, late };
                self.fleet.relay.set_noise(noise);
                self.fleet.record_fault(&format!("{noise:?}"));
            }
            Do::Release | Do::Hand | Do::Seize => {
                let to = self.whom(step.to).first().copied().unwrap_or(0);
                let path = match step.what {
                    Do::Hand => format!("/-/leases/{TASK}/hand/{to}"),
                    Do::Release => format!("/-/leases/{TASK}/release"),
                    _ => format!("/-/leases/{TASK}/acquire"),
                };
                heir = Some(to).filter(|to| step.what == Do::Hand && self.is_up(*to));
                for at in &whom {
                    let (status, words) = self.fleet.call(*at, "POST", &path)?;
                    self.fleet.record_fault(&format!("{path} at {at}: {status} {}", words.trim()));
                }
            }
            Do::HoldGate => whom.iter().for_each(|at| self.gate.hold(*at, step.lasts)),
            Do::Twin => {
                let text = self.operator(step.version, &step.key)?;
                for at in &whom {
                    self.fleet.start_duplicate(*at, &text)?;
                }
            }
            Do::Replace => {
                let text = self.operator(step.version, &step.key)?;
                for at in &whom {
                    self.fleet.replace(*at, &text)?;
                    // What the older one held is handed to it.
                    heir = Some(*at).filter(|_| step.who == Whom::Holder);
                }
            }
            Do::Wait => std::thread::sleep(step.lasts),
        }
        if !matches!(step.what, Do::Wait | Do::Noise | Do::Heal) {
            self.same = whom;
        }
        match step.then {
            Then::Nothing => {}
            Then::Takeover => match self.wait_for(mark, WAIT_TIMEOUT, |token| token > before) {
                None => self.missed(&format!("nobody has taken over after {:?}", step.what)),
                Some((at, by)) => {
                    let took = Duration::from_micros(at.saturating_sub(began)).as_secs_f64();
                    let took = took / self.script.term.as_secs_f64();
                    self.outcome.takeovers.push(took);
                    if let Some(heir) = heir.filter(|heir| *heir != by) {
                        self.missed(&format!("{by} acts, and {heir} is the heir"));
                    }
                }
            },
            Then::Same => {
                // So long that a term would be over, if nobody renewed it.
                std::thread::sleep(self.script.term * 2);
                if self.highest() != before || !self.begun(mark).any(|(_, token, _)| token == before) {
                    self.missed(&format!("the same one should have gone on after {:?}", step.what));
                }
            }
            Then::Nobody => {
                std::thread::sleep(self.script.term);
                let mark = self.fleet.history.len();
                std::thread::sleep(step.lasts);
                if self.begun(mark).next().is_some() {
                    self.missed(&format!("somebody began an act after {:?}", step.what));
                }
            }
        }
        Ok(())
    }

    fn is_up(&self, at: usize) -> bool {
        self.fleet.running().contains(&at) && !self.fleet.stopped().contains(&at)
    }

    /// Acts that were begun and let through since the history was so long: their times, tokens and poolers.
    fn begun(&self, mark: usize) -> impl Iterator<Item = (u64, u64, usize)> + use<> {
        self.fleet.history.since(mark).into_iter().filter_map(|Record { at, event }| match event {
            Event::Act { token, by, step, through: true, .. } if step == "begin" => {
                Some((at, token, by.split('/').next()?.parse().ok()?))
            }
            _ => None,
        })
    }

    fn highest(&self) -> u64 {
        self.begun(0).map(|(_, token, _)| token).max().unwrap_or(0)
    }

    /// Waits until somebody begins an act with such a token, and says when and who.
    fn wait_for(
        &mut self,
        mark: usize,
        patience: Duration,
        is: impl Fn(u64) -> bool,
    ) -> Option<(u64, usize)> {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            if let Some((at, _, by)) = self.begun(mark).find(|(_, token, _)| is(*token)) {
                return Some((at, by));
            }
            std::thread::sleep(LOOK);
        }
        None
    }

    fn whom(&mut self, whom: Whom) -> BTreeSet<usize> {
        let highest = self.highest();
        let holder =
            self.begun(0).filter(|(_, token, _)| *token == highest).map(|(_, _, by)| by).last().unwrap_or(0);
        let voters = &self.script.voters;
        let up: Vec<usize> = (0..self.script.poolers).filter(|at| *at != holder && self.is_up(*at)).collect();
        match whom {
            Whom::Number(number) => [number].into(),
            Whom::Holder => [holder].into(),
            Whom::Other => up.choose(&mut self.rng).copied().into_iter().collect(),
            Whom::Voter => {
                let voters: Vec<usize> = up.into_iter().filter(|at| voters.contains(at)).collect();
                voters.choose(&mut self.rng).copied().into_iter().collect()
            }
            Whom::Voters => voters.iter().copied().collect(),
            Whom::SmallSide => {
                let most = voters.len().saturating_sub(1) / 2;
                let mut side: BTreeSet<usize> = [holder].into();
                for voter in voters {
                    if voters.iter().filter(|voter| side.contains(voter)).count() < most {
                        side.insert(*voter);
                    }
                }
                side
            }
            Whom::Same => self.same.clone(),
            Whom::All => (0..self.script.poolers).collect(),
        }
    }

    fn missed(&mut self, words: &str) {
        self.fleet.record_fault(&format!("MISSED: {words}"));
        self.outcome.missed.push(words.to_owned());
    }

    /// Has it audited; keeps what is needed to see why, if something is wrong.
    fn end(mut self, seed: u64) -> Outcome {
        self.fleet.poll_logs();
        let records = self.fleet.history.records();
        self.outcome.verdict = audit(&records);
        self.outcome.sent = self.fleet.relay.stats.sent.load(Ordering::Relaxed);
        self.outcome.longest = self.fleet.relay.stats.max_bytes.load(Ordering::Relaxed);
        let lasted = self.fleet.history.now() as f64 / 1e6;
        let by = self.fleet.relay.stats.sent_by_pooler();
        let others = (0..self.script.poolers).filter(|at| !self.script.voters.contains(at));
        let rates: Vec<f64> = others.map(|at| by.get(&at).copied().unwrap_or(0) as f64 / lasted).collect();
        let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        self.outcome.rates = (rates.iter().copied().fold(0.0, f64::max), mean);
        if self.outcome.is_well(self.script) {
            let _ = std::fs::remove_dir_all(&self.folder);
            return self.outcome;
        }
        let mut text = String::new();
        for record in &records {
            let _ = writeln!(text, "{}", serde_json::to_string(record).unwrap_or_default());
        }
        let _ = std::fs::write(self.folder.join("history.jsonl"), text);
        let _ = std::fs::write(self.folder.join("script.txt"), format!("seed {seed}\n{:#?}\n", self.script));
        for (number, (at, log)) in self.fleet.logs().into_iter().enumerate() {
            let _ = std::fs::write(self.folder.join(format!("log-{at}-{number}.txt")), log.join("\n"));
        }
        self.outcome.kept = Some(self.folder.clone());
        self.outcome
    }
}
