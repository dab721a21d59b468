//! Plays a script: processes, servers, clients, a worker, and what is broken between them.

use super::environment::{Environment, Job, Server};
use super::script::{Do, Script, Step};
use crate::clients::Client;
use crate::lock;
use crate::processes::fleet::{Fleet, Spec};
use crate::processes::process::WAIT_TIMEOUT;
use crate::processes::relay::Noise;
use crate::processes::tcp_links::TcpLinks;
use crate::recorder::Recorder;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const KEY: &str = "the key of the lab's installation";
const LOOK: Duration = Duration::from_millis(10);
/// A server answers after this.
const ANSWER: Duration = Duration::from_millis(2);
/// The list is late or early by this.
const LATE: Duration = Duration::from_millis(700);
/// After a plan each server must be used again within this.
const USED: Duration = Duration::from_secs(8);
/// More than this multiple of what a cold server can do pushes it over within so long, as the settings have it; a few more say nothing.
const FALL_MULTIPLE: f64 = 2.5;
const FALL: Duration = Duration::from_secs(3);
const FEW: f64 = 20.0;
/// Requests a second of a server of which silence for [`USED`] says something.
const USUAL: f64 = 2.0;
/// However many are left out.
const ANY: usize = 256;
/// Nothing of a plan may still count as a fault so long after a server has died: then it was known.
const KNOWN: Duration = Duration::from_secs(2);

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// How a script came out.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Machines worked on.
    pub worked: usize,
    /// Connections and statements at machines that were worked on.
    pub sends_to_free: usize,
    /// Times when more were at work than the limits have it, or too few warm ones left.
    pub limits_exceeded: usize,
    /// Machines that are not used again after the plan.
    pub forgotten: usize,
    /// Sends to a server after it was out by hand everywhere.
    pub drains_broken: u64,
    /// Servers that came back and were sent too much at once.
    pub cold_pushed: usize,
    /// Writes that ran twice.
    pub doubled: u64,
    /// Writes that were answered as served and never ran.
    pub lost: u64,
    /// Requests without an answer in time.
    pub unanswered: u64,
    /// Requests served, and asked.
    pub served: (u64, u64),
    /// Letters after which a leader was ended.
    pub interrupted: usize,
    /// How long it took until somebody else had the plan's record, in seconds.
    pub resumed: Vec<f64>,
    /// From the plan's begin to its end, in seconds.
    pub plan_s: f64,
    /// Hand-overs asked for with an old token that the gate let through; it lets none.
    pub old_tokens: usize,
    /// What did not come as the script has it.
    pub missed: Vec<String>,
    /// Where script, history and logs lie, if something is wrong.
    pub kept: Option<PathBuf>,
    /// The longest datagram.
    pub longest: usize,
}

impl Outcome {
    /// Whether everything is as it must be.
    #[must_use]
    pub fn passed(&self, script: &Script) -> bool {
        let share = self.served.0 * 1_000 >= self.served.1 * script.served;
        self.missed.is_empty()
            && self.sends_to_free + self.limits_exceeded + self.forgotten + self.cold_pushed == 0
            && self.drains_broken + self.doubled + self.lost + self.unanswered == 0
            && share
    }
}

/// Clients of all poolers.
struct Crowd {
    stop: Arc<AtomicBool>,
    pause: Arc<AtomicU64>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Crowd {
    fn start(addresses: &[SocketAddr], script: &Script, seed: u64, recorder: &Arc<Mutex<Recorder>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let pause = Arc::new(AtomicU64::new(script.pause.as_micros() as u64));
        let mut threads = Vec::new();
        for (pooler, address) in addresses.iter().enumerate() {
            for of in 0..script.clients {
                let number = pooler * script.clients + of;
                let (stop, pause, recorder, address) =
                    (stop.clone(), pause.clone(), recorder.clone(), *address);
                let group = (number % script.groups) as u32;
                threads.push(std::thread::spawn(move || {
                    let mut client = Client::new(address, number, seed).with_group(group);
                    while !stop.load(Ordering::SeqCst) {
                        client.request(&recorder);
                        std::thread::sleep(Duration::from_micros(pause.load(Ordering::SeqCst)));
                    }
                }));
            }
        }
        Self { stop, pause, threads }
    }

    fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Runner<'s> {
    script: &'s Script,
    fleet: Fleet,
    site: Environment,
    ways: Option<TcpLinks>,
    recorder: Arc<Mutex<Recorder>>,
    crowd: Option<Crowd>,
    folder: PathBuf,
    rng: ChaCha8Rng,
    same: BTreeSet<usize>,
    jobs: Vec<Job>,
    /// Servers that were seen to be free, and since when.
    free: BTreeMap<usize, Instant>,
    began_at: Instant,
    hung: bool,
    dead: BTreeMap<usize, Instant>,
    by_hand: BTreeMap<usize, Instant>,
    /// The list speaks of a server then.
    listed: Vec<(Instant, usize, &'static str)>,
    began: Option<Instant>,
    /// The token of the record as last seen, and since when somebody else is waited for.
    token: u64,
    waits: Option<Instant>,
    tenth: usize,
    polled: Instant,
    view: Value,
    outcome: Outcome,
}

/// Plays a script with this seed.
///
/// # Errors
///
/// When processes can't be started.
pub fn run_script(script: &Script, seed: u64, program: &Path) -> Result<Outcome, Failure> {
    static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("linnetdeal-work-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let recorder = Arc::new(Mutex::new(Recorder::default()));
    let site =
        Environment::start((script.groups, script.members, script.zones), script.poolers, ANSWER, &recorder)?;
    let addresses: Vec<SocketAddr> = site.servers.iter().map(|server| server.stand_in.address).collect();
    let ways = if script.ways { Some(TcpLinks::start(script.poolers, &addresses)?) } else { None };
    let views: Vec<Vec<SocketAddr>> = (0..script.poolers)
        .map(|pooler| {
            let of = |at: usize| ways.as_ref().and_then(|ways| ways.address_for(pooler, at));
            (0..addresses.len()).map(|at| of(at).unwrap_or(addresses[at])).collect()
        })
        .collect();
    let servers: Vec<Server> = site.servers.clone();
    let spec = Spec {
        program: program.to_owned(),
        count: script.poolers,
        seed,
        known_servers: Box::new(move |pooler| Environment::known(&servers, &|at| views[pooler][at])),
        discovery: site.discovery.clone(),
        zones: (0..script.zones).map(|zone| char::from(b'a' + zone as u8).to_string()).collect(),
        relayed: Box::new(|_, _| true),
    };
    let mut fleet = Fleet::new(spec)?;
    // Cold for as long as the operator's file has it.
    fleet.settings["Rules"]["Cold"] = 400.0.into();
    let mut runner = Runner {
        script,
        fleet,
        site,
        ways,
        recorder,
        crowd: None,
        folder,
        rng: ChaCha8Rng::seed_from_u64(seed),
        same: BTreeSet::new(),
        jobs: Vec::new(),
        free: BTreeMap::new(),
        began_at: Instant::now(),
        hung: false,
        dead: BTreeMap::new(),
        by_hand: BTreeMap::new(),
        listed: Vec::new(),
        began: None,
        token: 0,
        waits: None,
        tenth: 0,
        polled: Instant::now(),
        view: Value::Null,
        outcome: Outcome::default(),
    };
    let ran = runner.run();
    if let Err(error) = &ran {
        runner.missed(&error.to_string());
    }
    Ok(runner.end(seed))
}

impl Runner<'_> {
    fn run(&mut self) -> Result<(), Failure> {
        for at in 0..self.script.poolers {
            let text = self.operator(at)?;
            self.fleet.start(at, &text, &[])?;
        }
        let mut doors = Vec::new();
        for at in 0..self.script.poolers {
            doors.push(self.fleet.wait_until_listening(at)?);
        }
        for at in 0..self.script.poolers {
            self.until_ready(at)?;
        }
        self.crowd = Some(Crowd::start(&doors, self.script, self.script.seed, &self.recorder));
        self.until("a leader", WAIT_TIMEOUT, |runner| runner.view["leads"] == true)?;
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
            if self.script.ends {
                self.until("the plan's end", WAIT_TIMEOUT * 2, |runner| {
                    runner.view["mode"] == "over" && !runner.view["plan"].is_null()
                })?;
                if let Some(began) = self.began.take() {
                    self.outcome.plan_s += began.elapsed().as_secs_f64();
                }
            }
        }
        if self.script.ends {
            self.all_are_used()?;
        }
        Ok(())
    }

    fn until_ready(&mut self, at: usize) -> Result<(), Failure> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while self.fleet.call(at, "GET", "/-/ready").map_or(0, |(status, _)| status) != 200 {
            if Instant::now() > end {
                return Err(format!("pooler {at} is never ready").into());
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    fn operator(&self, at: usize) -> Result<String, Failure> {
        let file = self.folder.join("key");
        if !file.exists() {
            std::fs::write(&file, KEY)?;
        }
        let work = if self.script.old.contains(&at) {
            String::new()
        } else {
            format!("work: {{{}, handover: {{address: \"{}\"}}}}\n", self.script.work, self.site.handover)
        };
        Ok(format!(
            "package linnetdeal\nleases: {{site: \"lab\", version: 1, voters: {:?}, longest: \"800ms\", keys: [{:?}]}}\n{work}",
            self.script.voters,
            file.display().to_string()
        ))
    }

    fn is_up(&self, at: usize) -> bool {
        self.fleet.running().contains(&at) && !self.fleet.stopped().contains(&at)
    }

    /// Anybody who runs and knows of work.
    fn any(&mut self) -> Option<usize> {
        let up: Vec<usize> =
            (0..self.script.poolers).filter(|at| self.is_up(*at) && !self.script.old.contains(at)).collect();
        up.choose(&mut self.rng).copied()
    }

    fn leader(&self) -> Option<usize> {
        self.view["at"].as_u64().map(|at| at as usize).filter(|at| self.is_up(*at))
    }

    /// Looks at the plan as its leader sees it, does what the worker and the list have to do.
    fn pump(&mut self) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.listed.drain(..).partition(|(at, ..)| *at <= now);
        self.listed = later;
        for (_, server, lifecycle) in due {
            self.site.list(server, lifecycle, lifecycle == "up");
        }
        if self.polled.elapsed() >= LOOK * 2 {
            self.polled = now;
            self.look();
        }
        self.work();
    }

    fn look(&mut self) {
        let tried: Vec<usize> = self.leader().into_iter().chain(self.any()).collect();
        for at in tried {
            let Ok((200, body)) = self.fleet.call(at, "GET", "/-/work") else { continue };
            let Ok(mut view) = serde_json::from_str::<Value>(&body) else { continue };
            view["at"] = at.into();
            let token = view["token"].as_u64().unwrap_or(0);
            if view["leads"] == true && token > self.token {
                self.token = token;
                if let Some(since) = self.waits.take() {
                    self.outcome.resumed.push(since.elapsed().as_secs_f64());
                }
            }
            if view["leads"] == true && token >= self.token {
                self.view = view;
                return;
            }
        }
        // Whoever holds the lease, by somebody's word.
        let holder = self.any().and_then(|at| self.fleet.call(at, "GET", "/-/work").ok());
        let holder =
            holder.and_then(|(_, body)| serde_json::from_str::<Value>(&body).ok()?["holder"].as_u64());
        match holder.map(|at| at as usize).filter(|at| self.is_up(*at)) {
            Some(at) => self.view["at"] = at.into(),
            None => self.view["at"] = Value::Null,
        }
        self.view["leads"] = false.into();
    }

    fn machines(&self) -> Vec<(String, String)> {
        let machines = self.view["machines"].as_array().cloned().unwrap_or_default();
        let text = |of: &Value| of.as_str().unwrap_or("").to_owned();
        machines.iter().map(|of| (text(&of["machine"]), text(&of["state"]))).collect()
    }

    fn call(&mut self, verb: &str, machine: Option<&str>) -> Option<(u16, String)> {
        let at = self.any()?;
        let path = machine.map_or_else(|| format!("/-/work/{verb}"), |of| format!("/-/work/{of}/{verb}"));
        self.fleet.call(at, "POST", &path).ok()
    }

    /// The worker begins what is free, and ends what it has begun.
    fn work(&mut self) {
        if self.view["leads"] != true {
            return;
        }
        let machines = self.machines();
        self.watch_free(&machines);
        let open = |jobs: &[Job], machine: &str| jobs.iter().any(|job| job.machine == machine && !job.done);
        let free = machines.iter().find(|(of, state)| state.starts_with("free") && !open(&self.jobs, of));
        if let Some((machine, _)) = free.cloned() {
            let path = machine.trim_start_matches("pooler ").to_owned();
            if matches!(self.call("begin", Some(&path)), Some((200, _))) {
                self.begin(&machine);
            }
            self.look();
            return;
        }
        // Work has begun, and its begin was never answered.
        let lost = machines.iter().find(|(of, state)| state == "at work" && !open(&self.jobs, of));
        if let Some((machine, _)) = lost.cloned() {
            self.begin(&machine);
            return;
        }
        if self.hung {
            return;
        }
        let lasts = self.script.lasts;
        let ready = self.jobs.iter().position(|job| !job.done && job.began.elapsed() >= lasts);
        if let Some(at) = ready {
            self.finish(at);
        }
    }

    /// From when a server is free nobody may send there; whether work began is seen later.
    fn watch_free(&mut self, machines: &[(String, String)]) {
        for (machine, state) in machines {
            let Some(server) = self.site.place(machine) else { continue };
            let open = self.jobs.iter().any(|job| job.machine == *machine && job.over.is_none());
            match (state.starts_with("free"), self.free.contains_key(&server)) {
                (true, false) if !open => {
                    self.site.servers[server].stand_in.watch(true);
                    self.free.insert(server, Instant::now());
                }
                // Taken back untouched: it is used again, from before this was seen.
                (false, true) if !open && state != "at work" => {
                    self.site.servers[server].stand_in.watch(false);
                    self.free.remove(&server);
                }
                _ => {}
            }
        }
    }

    fn begin(&mut self, machine: &str) {
        self.fleet.record_fault(&format!("work begins on {machine}"));
        self.jobs.push(Job { machine: machine.to_owned(), began: Instant::now(), over: None, done: false });
        if let Some(server) = self.site.place(machine) {
            if !self.free.contains_key(&server) {
                self.site.servers[server].stand_in.watch(true);
            }
            self.site.servers[server].stand_in.set_down(true);
            match self.script.listed.as_str() {
                "so" | "late" => self.site.list(server, "draining", false),
                "early" => {
                    self.site.list(server, "draining", false);
                    self.listed.push((Instant::now() + self.script.lasts / 3, server, "up"));
                }
                _ => {}
            }
        } else if let Some(pooler) = pooler_of(machine) {
            if let Err(error) = self.fleet.terminate(pooler) {
                self.missed(&format!("the pooler that was free did not end: {error}"));
            }
        }
        self.check_limits(machine);
    }

    fn finish(&mut self, at: usize) {
        let machine = self.jobs[at].machine.clone();
        if self.jobs[at].over.is_none() {
            if let Some(server) = self.site.place(&machine) {
                if !self.dead.contains_key(&server) {
                    self.site.servers[server].stand_in.set_down(false);
                }
                let touched = self.site.servers[server].stand_in.watch(false);
                let began = self.free.remove(&server).unwrap_or(self.jobs[at].began);
                let early: Vec<_> = touched.iter().filter(|when| **when > began).collect();
                if !early.is_empty() {
                    self.outcome.sends_to_free += early.len();
                    let first = early.first().map(|when| **when - began);
                    self.fleet.record_fault(&format!(
                        "{} sends to {machine}, the first after {first:?}",
                        early.len()
                    ));
                }
                match self.script.listed.as_str() {
                    "so" => self.site.list(server, "up", true),
                    "late" => self.listed.push((Instant::now() + LATE, server, "up")),
                    _ => {}
                }
            } else if let Some(pooler) = pooler_of(&machine) {
                let started =
                    self.operator(pooler).and_then(|text| Ok(self.fleet.start(pooler, &text, &[])?));
                if let Err(error) = started.and_then(|()| Ok(self.fleet.wait_until_listening(pooler)?)) {
                    self.missed(&format!("pooler {pooler} did not start again: {error}"));
                }
            }
            self.jobs[at].over = Some(Instant::now());
            self.fleet.record_fault(&format!("work is done on {machine}"));
        }
        let path = machine.trim_start_matches("pooler ").to_owned();
        if matches!(self.call("done", Some(&path)), Some((200, _))) {
            self.jobs[at].done = true;
            self.outcome.worked += 1;
        }
        self.look();
    }

    /// What is worked on at this moment, by the worker's own book.
    fn check_limits(&mut self, machine: &str) {
        let script = self.script;
        let open: Vec<&Job> = self.jobs.iter().filter(|job| job.over.is_none()).collect();
        let mut wrong = Vec::new();
        if open.len() > script.all {
            wrong.push(format!("{} machines at work", open.len()));
        }
        if let Some(place) = self.site.place(machine) {
            let of = &self.site.servers[place];
            let places: Vec<usize> = open.iter().filter_map(|job| self.site.place(&job.machine)).collect();
            let count = |is: &dyn Fn(&Server) -> bool| {
                places.iter().filter(|at| is(&self.site.servers[**at])).count()
            };
            let (zone, group) = (count(&|one| one.zone == of.zone), count(&|one| one.group == of.group));
            let zones: BTreeSet<&String> = places.iter().map(|at| &self.site.servers[*at].zone).collect();
            if zone > script.zone || group > script.group || zones.len() > script.zones_at_once {
                wrong.push(format!("{zone} of its zone, {group} of its group, {} zones", zones.len()));
            }
            let left = (0..self.site.servers.len()).filter(|at| {
                let one = &self.site.servers[*at];
                let known_dead = self.dead.get(at).is_some_and(|since| since.elapsed() > KNOWN);
                one.group == of.group && !places.contains(at) && !known_dead && !one.stand_in.is_primary()
            });
            let forced = self.view["machines"].as_array().into_iter().flatten().any(|one| {
                one["machine"] == machine
                    && one["state"].as_str().is_some_and(|state| state.contains("forced"))
            });
            if left.count() == 0 && script.members > 2 && !forced {
                wrong.push("no replica of its group is left".to_owned());
            }
            if of.stand_in.is_primary() && !forced && !self.dead.contains_key(&place) {
                wrong.push("it is the primary".to_owned());
            }
        }
        for words in wrong {
            self.outcome.limits_exceeded += 1;
            self.fleet.record_fault(&format!("LIMIT at {machine}: {words}"));
        }
    }

    fn until(&mut self, what: &str, patience: Duration, is: impl Fn(&Self) -> bool) -> Result<(), Failure> {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            self.pump();
            if self.view["leads"] == true && is(self) {
                return Ok(());
            }
            std::thread::sleep(LOOK / 2);
        }
        Err(format!("{what} did not come: {}", self.view).into())
    }

    fn wait(&mut self, lasts: Duration) {
        let end = Instant::now() + lasts;
        while Instant::now() < end {
            self.pump();
            std::thread::sleep(LOOK / 2);
        }
    }

    /// Every server that lives is used again, by clients that go on as before.
    fn all_are_used(&mut self) -> Result<(), Failure> {
        let out: BTreeSet<usize> = self.dead.keys().chain(self.by_hand.keys()).copied().collect();
        // One that was hardly used before may well not be for a while.
        let whole = self.began_at.elapsed().as_secs_f64();
        let usual = |at: &usize| self.sends(*at) as f64 / whole >= USUAL;
        let alive: Vec<usize> =
            (0..self.site.servers.len()).filter(|at| !out.contains(at) && usual(at)).collect();
        let before: Vec<usize> = alive.iter().map(|at| self.sends(*at)).collect();
        let end = Instant::now() + USED;
        let mut unused = alive.clone();
        while !unused.is_empty() && Instant::now() < end {
            self.wait(LOOK * 5);
            unused = alive
                .iter()
                .zip(&before)
                .filter(|(at, before)| self.sends(**at) <= **before)
                .map(|(at, _)| *at)
                .collect();
        }
        self.outcome.forgotten += if self.script.clients > 0 { unused.len() } else { 0 };
        for at in unused {
            let id = self.site.servers[at].id.clone();
            self.fleet.record_fault(&format!("FORGOTTEN: {id} is not used again"));
        }
        // Nor does any pooler hold one to be out.
        for at in 0..self.script.poolers {
            if self.is_up(at) && !self.script.old.contains(&at) {
                let end = Instant::now() + USED;
                loop {
                    let (_, body) = self.fleet.call(at, "GET", "/-/work")?;
                    let view: Value = serde_json::from_str(&body)?;
                    if view["mode"] == "over" {
                        break;
                    }
                    if Instant::now() > end {
                        self.missed(&format!("pooler {at} does not know that the plan is over: {body}"));
                        break;
                    }
                    std::thread::sleep(LOOK);
                }
            }
        }
        let over = self.machines();
        let left = over.iter().filter(|(_, state)| state != "back").count();
        if left != self.script.left && self.script.left != ANY {
            self.missed(&format!("{left} machines were left out: {over:?}"));
        }
        Ok(())
    }

    fn sends(&self, server: usize) -> usize {
        lock(&self.recorder).statement_count(&self.site.servers[server].id)
    }

    fn step(&mut self, step: &Step) -> Result<(), Failure> {
        let whom = self.whom(&step.who);
        let one = whom.first().copied();
        match step.what {
            Do::Plan | Do::Call => {
                let mut at = one.ok_or("nobody to ask")?;
                if !self.is_up(at) || self.script.old.contains(&at) && step.status != 404 {
                    at = self.any().ok_or("nobody to ask")?;
                }
                let mut path = "/-/work".to_owned();
                if step.what == Do::Call {
                    let server = if step.text.contains('@') { self.server(&step.server) } else { None };
                    let id = server.map_or_else(String::new, |at| self.site.servers[at].id.clone());
                    path = format!("/-/work/{}", step.text.replace('@', &id));
                }
                let body = if step.what == Do::Plan { step.text.clone() } else { String::new() };
                let end = Instant::now() + WAIT_TIMEOUT;
                let (mut status, mut words);
                loop {
                    (status, words) = self.fleet.call_with_body(at, "POST", &path, &body)?;
                    // Nobody leads yet, or any more.
                    if status != 503 || step.status == 503 || Instant::now() > end {
                        break;
                    }
                    self.wait(LOOK);
                }
                self.fleet.record_fault(&format!("{path} {body} at {at}: {status} {}", words.trim()));
                if step.status != 0 && status != step.status {
                    self.missed(&format!(
                        "{path} {body} at {at} was answered with {status} {}",
                        words.trim()
                    ));
                }
                if step.what == Do::Plan && status == 200 {
                    self.began = Some(Instant::now());
                    self.look();
                }
            }
            Do::Kill => {
                self.note_if_leader(&whom);
                whom.iter().for_each(|at| self.fleet.kill(*at));
            }
            Do::Stop | Do::Go => {
                if step.what == Do::Stop {
                    self.note_if_leader(&whom);
                }
                for at in &whom {
                    self.fleet.signal(*at, if step.what == Do::Stop { "STOP" } else { "CONT" })?;
                }
            }
            Do::Start => {
                for at in &whom {
                    if self.fleet.running().contains(at) {
                        self.fleet.kill(*at);
                    }
                    let text = self.operator(*at)?;
                    self.fleet.start(*at, &text, &[])?;
                    self.fleet.wait_until_listening(*at)?;
                }
            }
            Do::Replace => {
                for at in &whom {
                    let text = self.operator(*at)?;
                    self.fleet.replace(*at, &text)?;
                }
            }
            Do::End => {
                self.note_if_leader(&whom);
                for at in &whom {
                    self.fleet.terminate(*at)?;
                }
            }
            Do::DieAfter => {
                let leader = self.leader().ok_or("nobody leads")?;
                self.fleet.record_fault(&format!("{leader} is to die after {} letters", step.count));
                self.fleet.relay.isolate_after(leader, step.count);
                let end = Instant::now() + Duration::from_secs(10);
                while !self.fleet.relay.is_isolated() && Instant::now() < end {
                    self.pump();
                    std::thread::sleep(Duration::from_millis(1));
                }
                self.outcome.interrupted += usize::from(self.fleet.relay.is_isolated());
                if self.is_up(leader) {
                    self.waits = Some(Instant::now());
                    self.fleet.kill(leader);
                }
                self.fleet.relay.clear_isolation();
                self.same = [leader].into();
                return Ok(());
            }
            Do::Cut => {
                self.note_if_leader(&whom);
                for from in 0..self.script.poolers {
                    for to in (0..self.script.poolers).filter(|to| *to != from) {
                        if whom.contains(&from) != whom.contains(&to) {
                            self.fleet.relay.set_cut(from, to, true);
                        }
                    }
                }
                self.fleet.record_fault(&format!("cut {whom:?}"));
            }
            Do::CutWays => {
                let server = self.server(&step.server).ok_or("no such server")?;
                if let Some(ways) = &self.ways {
                    whom.iter().for_each(|at| ways.set_cut(*at, server, true));
                }
                self.fleet.record_fault(&format!("cut {whom:?} from {}", self.site.servers[server].id));
            }
            Do::Heal => {
                self.fleet.relay.heal();
                self.ways.iter().for_each(TcpLinks::heal);
                self.fleet.record_fault("heal");
            }
            Do::Fell | Do::Raise => {
                for server in self.servers(&step.server) {
                    let down = step.what == Do::Fell;
                    let at_work = self
                        .jobs
                        .iter()
                        .any(|job| job.over.is_none() && self.site.place(&job.machine) == Some(server));
                    if !at_work {
                        self.site.servers[server].stand_in.set_down(down);
                    }
                    if down {
                        self.dead.insert(server, Instant::now());
                    } else {
                        self.dead.remove(&server);
                    }
                    let id = self.site.servers[server].id.clone();
                    self.fleet
                        .record_fault(&format!("{id} {}", if down { "dies" } else { "is there again" }));
                }
            }
            Do::Load => {
                let pause = self.script.pause.as_micros() as u64 * 100 / step.count.max(1) as u64;
                if let Some(crowd) = &self.crowd {
                    crowd.pause.store(pause, Ordering::SeqCst);
                }
                self.fleet.record_fault(&format!("load {} percent", step.count));
            }
            Do::List => {
                let server = self.server(&step.server).ok_or("no such server")?;
                self.site.list(server, &step.text, step.text == "up");
                self.fleet.record_fault(&format!(
                    "the list says {} of {}",
                    step.text, self.site.servers[server].id
                ));
            }
            Do::ByHand => {
                let server = self.server(&step.server).ok_or("no such server")?;
                let id = self.site.servers[server].id.clone();
                let up: Vec<usize> = (0..self.script.poolers).filter(|at| self.is_up(*at)).collect();
                for at in up {
                    let (status, words) =
                        self.fleet.call(at, "POST", &format!("/-/servers/{id}/{}", step.text))?;
                    if status != 200 {
                        self.missed(&format!("{id} {} at {at}: {status} {words}", step.text));
                    }
                }
                if step.text == "disable" {
                    lock(&self.recorder).status_delivered(&id, false, (0, 0), Instant::now());
                    self.by_hand.insert(server, Instant::now());
                } else {
                    lock(&self.recorder).status_delivered(&id, true, (1, 1), Instant::now());
                    self.by_hand.remove(&server);
                }
                self.fleet.record_fault(&format!("{id} {} by hand", step.text));
            }
            Do::Wait => self.wait(step.lasts),
            Do::Until => {
                let (text, count) = (step.text.clone(), step.count);
                if text == "over" {
                    self.until("the plan's end", WAIT_TIMEOUT * 2, |runner| runner.view["mode"] == "over")?;
                } else {
                    self.until(&format!("{count} machines {text}"), WAIT_TIMEOUT, |runner| {
                        // Some states are over too soon to be seen for sure.
                        let out = ["leaving", "free", "at work", "warming"];
                        if text == "out" {
                            return runner
                                .machines()
                                .iter()
                                .any(|(_, state)| out.iter().any(|of| state.starts_with(of)));
                        }
                        runner.machines().iter().filter(|(_, state)| state.starts_with(text.as_str())).count()
                            >= count
                    })?;
                }
            }
            Do::Noise => {
                let lost = step.count as u32;
                self.fleet.relay.set_noise(Noise {
                    lost,
                    doubled: lost / 2,
                    flipped: lost / 10,
                    late: lost / 5,
                });
                self.fleet.record_fault(&format!("{lost} in a thousand are lost"));
            }
            Do::HangWorker => self.hung = true,
            Do::FreeWorker => self.hung = false,
            Do::DenyHandover => self.site.deny(true),
            Do::GrantHandover => self.site.deny(false),
        }
        if !matches!(step.what, Do::Wait | Do::Until | Do::Noise | Do::Heal) {
            self.same = whom;
        }
        Ok(())
    }

    /// Whoever leads is taken away: it is waited for somebody else.
    fn note_if_leader(&mut self, whom: &BTreeSet<usize>) {
        self.look();
        if self.leader().is_some_and(|leader| whom.contains(&leader)) {
            self.waits = Some(Instant::now());
        }
    }

    fn whom(&mut self, who: &str) -> BTreeSet<usize> {
        let leader = self.leader();
        let up: Vec<usize> =
            (0..self.script.poolers).filter(|at| self.is_up(*at) && Some(*at) != leader).collect();
        match who {
            "leader" => leader.into_iter().collect(),
            "other" => up.choose(&mut self.rng).copied().into_iter().collect(),
            "voter" => {
                let voters: Vec<usize> =
                    up.into_iter().filter(|at| self.script.voters.contains(at)).collect();
                voters.choose(&mut self.rng).copied().into_iter().collect()
            }
            "small-side" => {
                let most = self.script.voters.len().saturating_sub(1) / 2;
                let mut side: BTreeSet<usize> = leader.into_iter().collect();
                for voter in &self.script.voters {
                    if self.script.voters.iter().filter(|of| side.contains(of)).count() < most {
                        side.insert(*voter);
                    }
                }
                side
            }
            "tenth" => {
                let size = self.script.poolers.div_ceil(10);
                let from = self.tenth * size % self.script.poolers;
                self.tenth += 1;
                (from..(from + size).min(self.script.poolers)).collect()
            }
            "same" => self.same.clone(),
            "all" => (0..self.script.poolers).collect(),
            number => number.parse().into_iter().collect(),
        }
    }

    fn servers(&mut self, what: &str) -> Vec<usize> {
        match what.strip_prefix("zone-") {
            Some(zone) => {
                (0..self.site.servers.len()).filter(|at| self.site.servers[*at].zone == zone).collect()
            }
            None => self.server(what).into_iter().collect(),
        }
    }

    fn server(&mut self, what: &str) -> Option<usize> {
        if let Some(place) = self.site.place(what) {
            return Some(place);
        }
        self.look();
        let machines = self.machines();
        let with = |is: &dyn Fn(&str) -> bool| -> Vec<usize> {
            machines.iter().filter(|(_, state)| is(state)).filter_map(|(of, _)| self.site.place(of)).collect()
        };
        let found = match what {
            "waiting" => with(&|state| state.starts_with("waiting")),
            "out" => {
                with(&|state| state.starts_with("leaving") || state.starts_with("free") || state == "at work")
            }
            "at-work" => with(&|state| state == "at work"),
            "back" => with(&|state| state == "back"),
            "primary" => (0..self.site.servers.len())
                .filter(|at| self.site.servers[*at].stand_in.is_primary())
                .collect(),
            // A replica of a group that has nothing out.
            _ => {
                let out: BTreeSet<usize> = with(&|state| !state.starts_with("waiting") && state != "back")
                    .into_iter()
                    .map(|at| self.site.servers[at].group)
                    .collect();
                (0..self.site.servers.len())
                    .filter(|at| {
                        let of = &self.site.servers[*at];
                        !out.contains(&of.group) && !of.stand_in.is_primary() && !self.dead.contains_key(at)
                    })
                    .collect()
            }
        };
        found.choose(&mut self.rng).copied()
    }

    fn missed(&mut self, words: &str) {
        self.fleet.record_fault(&format!("MISSED: {words}"));
        self.outcome.missed.push(words.to_owned());
    }

    /// Has it audited; keeps what is needed to see why, if something is wrong.
    fn end(mut self, seed: u64) -> Outcome {
        if let Some(mut crowd) = self.crowd.take() {
            crowd.stop();
        }
        self.fleet.poll_logs();
        self.look_for_pushes();
        let verdict = lock(&self.recorder).verdict();
        self.outcome.drains_broken = verdict.drains_broken;
        self.outcome.doubled = verdict.writes_doubled;
        self.outcome.lost = verdict.served_without_row;
        // Who is killed or stopped leaves its clients without an answer; that is not the plan's.
        self.outcome.unanswered = if self.breaks_clients() { 0 } else { verdict.requests - verdict.answered };
        self.outcome.served = (verdict.served, verdict.requests);
        self.outcome.longest = self.fleet.relay.stats.max_bytes.load(Ordering::Relaxed);
        self.outcome.old_tokens = self.site.handovers().1;
        if self.outcome.passed(self.script) {
            let _ = std::fs::remove_dir_all(&self.folder);
            return self.outcome;
        }
        let mut text = String::new();
        for record in &self.fleet.history.records() {
            let _ = writeln!(text, "{}", serde_json::to_string(record).unwrap_or_default());
        }
        let _ = std::fs::write(self.folder.join("history.jsonl"), text);
        let outcomes = lock(&self.recorder).outcome_counts().clone();
        let words = format!("seed {seed}\n{:#?}\n{:#?}\n{outcomes:#?}\n", self.script, self.outcome);
        let _ = std::fs::write(self.folder.join("script.txt"), words);
        for (number, (at, log)) in self.fleet.logs().into_iter().enumerate() {
            let _ = std::fs::write(self.folder.join(format!("log-{at}-{number}.txt")), log.join("\n"));
        }
        self.outcome.kept = Some(self.folder.clone());
        self.outcome
    }

    /// A server that came back gets no more in its first seconds than the multiple of what it usually gets that pushes a cold one over.
    fn look_for_pushes(&mut self) {
        let whole = self.began_at.elapsed().as_secs_f64();
        for job in &self.jobs {
            let (Some(over), Some(_)) = (job.over, self.site.place(&job.machine)) else { continue };
            let recorder = lock(&self.recorder);
            let usual = recorder.statement_count(&job.machine) as f64 / whole;
            let end = (over + FALL).min(Instant::now());
            let got = recorder.statements_between(&job.machine, over, end) as f64;
            if got > usual * FALL_MULTIPLE * FALL.as_secs_f64() + FEW {
                self.outcome.cold_pushed += 1;
                drop(recorder);
                self.fleet.record_fault(&format!(
                    "PUSHED: {} got {got} in {FALL:?}, usually {usual:.1} a second",
                    job.machine
                ));
            }
        }
    }

    fn breaks_clients(&self) -> bool {
        let poolers =
            |step: &Step| matches!(step.what, Do::Kill | Do::Stop | Do::Start | Do::DieAfter | Do::End);
        self.script.steps.iter().any(poolers) || self.jobs.iter().any(|job| pooler_of(&job.machine).is_some())
    }
}

fn pooler_of(machine: &str) -> Option<usize> {
    machine.strip_prefix("pooler ")?.parse().ok()
}
