//! Runs a script of maintenance work with pooler processes, stand-in servers, clients, a worker and injected
//! faults.

use super::environment::{Environment, Job, Server};
use super::script::{Action, Script, Step};
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

/// Key that authenticates the datagrams of leases and work.
const KEY: &str = "the key of the lab's installation";
/// Interval of the polls while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a stand-in server takes for an answer.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Delay of a late entry in the list of servers.
const LIST_DELAY: Duration = Duration::from_millis(700);
/// Time after a plan within which each server must receive requests again.
const REUSE_TIMEOUT: Duration = Duration::from_secs(8);
/// A cold server is overloaded by more than this multiple of its usual rate within [`OVERLOAD_WINDOW`], as in
/// the pooler's settings; [`OVERLOAD_TOLERANCE`] further requests are tolerated.
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);
const OVERLOAD_TOLERANCE: f64 = 20.0;
/// Minimum request rate, per second, of a server that is expected to receive requests within [`REUSE_TIMEOUT`].
const MIN_USUAL_RATE: f64 = 2.0;
/// Value of the script's `left` that accepts any number.
const ANY_NUMBER: usize = 256;
/// Time after which the poolers must know that a server is down; before, its group may still count it as left.
const DEATH_KNOWN_AFTER: Duration = Duration::from_secs(2);

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Outcome of a script.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of machines worked on.
    pub worked: usize,
    /// Connections and statements received by machines while they were free or at work.
    pub sends_to_free: usize,
    /// Number of times that the limits were exceeded or too few warm servers were left.
    pub limits_exceeded: usize,
    /// Servers that received no requests after the plan.
    pub forgotten: usize,
    /// Statements sent to a server after it was out by hand at all poolers.
    pub drains_broken: u64,
    /// Servers that were overloaded in their slow start.
    pub cold_pushed: usize,
    /// Writes that were executed twice.
    pub doubled: u64,
    /// Writes that were answered as served and never executed.
    pub lost: u64,
    /// Requests without an answer; 0 where the script interrupts clients itself.
    pub unanswered: u64,
    /// Numbers of requests served and sent.
    pub served: (u64, u64),
    /// Number of leaders that were isolated after a given number of datagrams and then killed.
    pub interrupted: usize,
    /// Time until another pooler had taken the plan over, for each loss of a leader, in seconds.
    pub resumed: Vec<f64>,
    /// Duration of all plans, in seconds.
    pub plan_s: f64,
    /// Handover requests that were rejected because of an old token.
    pub rejected_old_tokens: usize,
    /// Expectations of the script that were not met.
    pub missed: Vec<String>,
    /// Folder with script, history and logs, kept if the script did not pass.
    pub kept_folder: Option<PathBuf>,
    /// Size of the largest datagram, in bytes.
    pub max_datagram_bytes: usize,
}

impl Outcome {
    /// Whether all expectations were met, no rule was broken and enough requests were served.
    #[must_use]
    pub fn passed(&self, script: &Script) -> bool {
        let share = self.served.0 * 1_000 >= self.served.1 * script.served;
        self.missed.is_empty()
            && self.sends_to_free + self.limits_exceeded + self.forgotten + self.cold_pushed == 0
            && self.drains_broken + self.doubled + self.lost + self.unanswered == 0
            && share
    }
}

/// Threads of the clients of all poolers.
struct ClientThreads {
    stop: Arc<AtomicBool>,
    pause: Arc<AtomicU64>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl ClientThreads {
    fn start(addresses: &[SocketAddr], script: &Script, seed: u64, recorder: &Arc<Mutex<Recorder>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let pause = Arc::new(AtomicU64::new(script.pause.as_micros() as u64));
        let mut threads = Vec::new();
        for (pooler, address) in addresses.iter().enumerate() {
            for client_index in 0..script.clients {
                let number = pooler * script.clients + client_index;
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

impl Drop for ClientThreads {
    fn drop(&mut self) {
        self.stop();
    }
}

/// State of a running script.
struct Runner<'s> {
    script: &'s Script,
    fleet: Fleet,
    environment: Environment,
    links: Option<TcpLinks>,
    recorder: Arc<Mutex<Recorder>>,
    clients: Option<ClientThreads>,
    folder: PathBuf,
    rng: ChaCha8Rng,
    /// Poolers of the previous step that applied to any.
    previous_targets: BTreeSet<usize>,
    /// Work of the worker on machines.
    jobs: Vec<Job>,
    /// Servers seen to be free, and since when.
    free_servers: BTreeMap<usize, Instant>,
    started_at: Instant,
    /// Whether the worker finishes no work.
    worker_hung: bool,
    /// Servers that are down, and since when.
    down_servers: BTreeMap<usize, Instant>,
    /// Servers taken out by hand, and since when.
    out_by_hand: BTreeMap<usize, Instant>,
    /// Scheduled changes of a server's lifecycle in the list.
    scheduled_lifecycles: Vec<(Instant, usize, &'static str)>,
    plan_started: Option<Instant>,
    /// Highest token of the plan's record seen so far.
    highest_token: u64,
    /// When the leader was lost, until another one leads.
    leader_lost_at: Option<Instant>,
    /// Which tenth of the poolers the next step with `tenth` applies to.
    next_tenth: usize,
    last_poll: Instant,
    /// Last answer of the leader to `GET /-/work`, with its number as `at`.
    view: Value,
    outcome: Outcome,
}

/// Runs a script with this seed.
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
    let environment = Environment::start(
        (script.groups, script.members, script.zones),
        script.poolers,
        SERVICE_TIME,
        &recorder,
    )?;
    let addresses: Vec<SocketAddr> =
        environment.servers.iter().map(|server| server.stand_in.address).collect();
    let links = if script.ways { Some(TcpLinks::start(script.poolers, &addresses)?) } else { None };
    let pooler_addresses: Vec<Vec<SocketAddr>> = (0..script.poolers)
        .map(|pooler| {
            let link_address =
                |server: usize| links.as_ref().and_then(|links| links.address_for(pooler, server));
            (0..addresses.len()).map(|server| link_address(server).unwrap_or(addresses[server])).collect()
        })
        .collect();
    let servers: Vec<Server> = environment.servers.clone();
    let spec = Spec {
        program: program.to_owned(),
        count: script.poolers,
        seed,
        known_servers: Box::new(move |pooler| {
            Environment::known_servers(&servers, &|server| pooler_addresses[pooler][server])
        }),
        discovery: environment.discovery.clone(),
        zones: (0..script.zones).map(|zone| char::from(b'a' + zone as u8).to_string()).collect(),
        relayed: Box::new(|_, _| true),
    };
    let mut fleet = Fleet::new(spec)?;
    // The same slow start as in the operator's file.
    fleet.settings["Rules"]["Cold"] = 400.0.into();
    let mut runner = Runner {
        script,
        fleet,
        environment,
        links,
        recorder,
        clients: None,
        folder,
        rng: ChaCha8Rng::seed_from_u64(seed),
        previous_targets: BTreeSet::new(),
        jobs: Vec::new(),
        free_servers: BTreeMap::new(),
        started_at: Instant::now(),
        worker_hung: false,
        down_servers: BTreeMap::new(),
        out_by_hand: BTreeMap::new(),
        scheduled_lifecycles: Vec::new(),
        plan_started: None,
        highest_token: 0,
        leader_lost_at: None,
        next_tenth: 0,
        last_poll: Instant::now(),
        view: Value::Null,
        outcome: Outcome::default(),
    };
    let result = runner.run();
    if let Err(error) = &result {
        runner.record_miss(&error.to_string());
    }
    Ok(runner.finish(seed))
}

impl Runner<'_> {
    fn run(&mut self) -> Result<(), Failure> {
        for pooler in 0..self.script.poolers {
            let text = self.operator_file(pooler)?;
            self.fleet.start(pooler, &text, &[])?;
        }
        let mut addresses = Vec::new();
        for pooler in 0..self.script.poolers {
            addresses.push(self.fleet.wait_until_listening(pooler)?);
        }
        for pooler in 0..self.script.poolers {
            self.wait_until_ready(pooler)?;
        }
        self.clients = Some(ClientThreads::start(&addresses, self.script, self.script.seed, &self.recorder));
        self.wait_until("a leader", WAIT_TIMEOUT, |runner| runner.view["leads"] == true)?;
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
            if self.script.ends {
                self.wait_until("the plan's end", WAIT_TIMEOUT * 2, |runner| {
                    runner.view["mode"] == "over" && !runner.view["plan"].is_null()
                })?;
                if let Some(plan_started) = self.plan_started.take() {
                    self.outcome.plan_s += plan_started.elapsed().as_secs_f64();
                }
            }
        }
        if self.script.ends {
            self.check_servers_used_again()?;
        }
        Ok(())
    }

    fn wait_until_ready(&mut self, pooler: usize) -> Result<(), Failure> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.fleet.call(pooler, "GET", "/-/ready").map_or(0, |(status, _)| status) != 200 {
            if Instant::now() > deadline {
                return Err(format!("pooler {pooler} is never ready").into());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Text of the operator file of a pooler.
    fn operator_file(&self, pooler: usize) -> Result<String, Failure> {
        let file = self.folder.join("key");
        if !file.exists() {
            std::fs::write(&file, KEY)?;
        }
        let work = if self.script.old.contains(&pooler) {
            String::new()
        } else {
            format!(
                "work: {{{}, handover: {{address: \"{}\"}}}}\n",
                self.script.work, self.environment.handover
            )
        };
        Ok(format!(
            "package linnetdeal\nleases: {{site: \"lab\", version: 1, voters: {:?}, longest: \"800ms\", keys: [{:?}]}}\n{work}",
            self.script.voters,
            file.display().to_string()
        ))
    }

    fn is_up(&self, pooler: usize) -> bool {
        self.fleet.running().contains(&pooler) && !self.fleet.stopped().contains(&pooler)
    }

    /// A random running pooler with the maintenance feature.
    fn any_pooler(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.script.poolers)
            .filter(|pooler| self.is_up(*pooler) && !self.script.old.contains(pooler))
            .collect();
        up.choose(&mut self.rng).copied()
    }

    fn leader(&self) -> Option<usize> {
        self.view["at"].as_u64().map(|pooler| pooler as usize).filter(|pooler| self.is_up(*pooler))
    }

    /// Publishes lifecycles that are due, refreshes the view of the plan, and runs the worker.
    fn advance(&mut self) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) =
            self.scheduled_lifecycles.drain(..).partition(|(at, ..)| *at <= now);
        self.scheduled_lifecycles = later;
        for (_, server, lifecycle) in due {
            self.environment.set_lifecycle(server, lifecycle, lifecycle == "up");
        }
        if self.last_poll.elapsed() >= POLL_INTERVAL * 2 {
            self.last_poll = now;
            self.refresh_view();
        }
        self.run_worker();
    }

    /// Reads the plan from its leader; otherwise notes the holder of the lease.
    fn refresh_view(&mut self) {
        let candidates: Vec<usize> = self.leader().into_iter().chain(self.any_pooler()).collect();
        for pooler in candidates {
            let Ok((200, body)) = self.fleet.call(pooler, "GET", "/-/work") else { continue };
            let Ok(mut view) = serde_json::from_str::<Value>(&body) else { continue };
            view["at"] = pooler.into();
            let token = view["token"].as_u64().unwrap_or(0);
            if view["leads"] == true && token > self.highest_token {
                self.highest_token = token;
                if let Some(since) = self.leader_lost_at.take() {
                    self.outcome.resumed.push(since.elapsed().as_secs_f64());
                }
            }
            if view["leads"] == true && token >= self.highest_token {
                self.view = view;
                return;
            }
        }
        // No leader answered: take the holder of the lease that any pooler reports.
        let holder = self.any_pooler().and_then(|pooler| self.fleet.call(pooler, "GET", "/-/work").ok());
        let holder =
            holder.and_then(|(_, body)| serde_json::from_str::<Value>(&body).ok()?["holder"].as_u64());
        match holder.map(|pooler| pooler as usize).filter(|pooler| self.is_up(*pooler)) {
            Some(pooler) => self.view["at"] = pooler.into(),
            None => self.view["at"] = Value::Null,
        }
        self.view["leads"] = false.into();
    }

    /// Names and states of the plan's machines.
    fn machines(&self) -> Vec<(String, String)> {
        let machines = self.view["machines"].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
        machines.iter().map(|entry| (text(&entry["machine"]), text(&entry["state"]))).collect()
    }

    /// Sends a maintenance command to a random pooler.
    fn call(&mut self, command: &str, machine: Option<&str>) -> Option<(u16, String)> {
        let pooler = self.any_pooler()?;
        let path = machine
            .map_or_else(|| format!("/-/work/{command}"), |machine| format!("/-/work/{machine}/{command}"));
        self.fleet.call(pooler, "POST", &path).ok()
    }

    /// The worker begins work on a free machine, or finishes work that is due.
    fn run_worker(&mut self) {
        if self.view["leads"] != true {
            return;
        }
        let machines = self.machines();
        self.watch_free_servers(&machines);
        let open =
            |jobs: &[Job], machine: &str| jobs.iter().any(|job| job.machine == machine && !job.confirmed);
        let free = machines.iter().find(|(name, state)| state.starts_with("free") && !open(&self.jobs, name));
        if let Some((machine, _)) = free.cloned() {
            let path = machine.trim_start_matches("pooler ").to_owned();
            if matches!(self.call("begin", Some(&path)), Some((200, _))) {
                self.begin_work(&machine);
            }
            self.refresh_view();
            return;
        }
        // Work has begun, but the answer to `begin` was lost.
        let lost = machines.iter().find(|(name, state)| state == "at work" && !open(&self.jobs, name));
        if let Some((machine, _)) = lost.cloned() {
            self.begin_work(&machine);
            return;
        }
        if self.worker_hung {
            return;
        }
        let lasts = self.script.lasts;
        let due = self.jobs.iter().position(|job| !job.confirmed && job.began.elapsed() >= lasts);
        if let Some(job) = due {
            self.finish_work(job);
        }
    }

    /// Starts to record the traffic of each server that has become free, even before its work begins.
    fn watch_free_servers(&mut self, machines: &[(String, String)]) {
        for (machine, state) in machines {
            let Some(server) = self.environment.server_index(machine) else { continue };
            let open = self.jobs.iter().any(|job| job.machine == *machine && job.finished.is_none());
            match (state.starts_with("free"), self.free_servers.contains_key(&server)) {
                (true, false) if !open => {
                    self.environment.servers[server].stand_in.record_contacts(true);
                    self.free_servers.insert(server, Instant::now());
                }
                // Taken back without work: it was in use again before this was seen, so its traffic does not count.
                (false, true) if !open && state != "at work" => {
                    self.environment.servers[server].stand_in.record_contacts(false);
                    self.free_servers.remove(&server);
                }
                _ => {}
            }
        }
    }

    fn begin_work(&mut self, machine: &str) {
        self.fleet.record_fault(&format!("work begins on {machine}"));
        self.jobs.push(Job {
            machine: machine.to_owned(),
            began: Instant::now(),
            finished: None,
            confirmed: false,
        });
        if let Some(server) = self.environment.server_index(machine) {
            if !self.free_servers.contains_key(&server) {
                self.environment.servers[server].stand_in.record_contacts(true);
            }
            self.environment.servers[server].stand_in.set_down(true);
            match self.script.listed.as_str() {
                "so" | "late" => self.environment.set_lifecycle(server, "draining", false),
                "early" => {
                    self.environment.set_lifecycle(server, "draining", false);
                    self.scheduled_lifecycles.push((Instant::now() + self.script.lasts / 3, server, "up"));
                }
                _ => {}
            }
        } else if let Some(pooler) = pooler_number(machine) {
            if let Err(error) = self.fleet.terminate(pooler) {
                self.record_miss(&format!("the pooler that was free did not end: {error}"));
            }
        }
        self.check_limits(machine);
    }

    fn finish_work(&mut self, job: usize) {
        let machine = self.jobs[job].machine.clone();
        if self.jobs[job].finished.is_none() {
            if let Some(server) = self.environment.server_index(&machine) {
                if !self.down_servers.contains_key(&server) {
                    self.environment.servers[server].stand_in.set_down(false);
                }
                let sends = self.environment.servers[server].stand_in.record_contacts(false);
                let began = self.free_servers.remove(&server).unwrap_or(self.jobs[job].began);
                let violations: Vec<_> = sends.iter().filter(|sent_at| **sent_at > began).collect();
                if !violations.is_empty() {
                    self.outcome.sends_to_free += violations.len();
                    let first = violations.first().map(|sent_at| **sent_at - began);
                    self.fleet.record_fault(&format!(
                        "{} sends to {machine}, the first after {first:?}",
                        violations.len()
                    ));
                }
                match self.script.listed.as_str() {
                    "so" => self.environment.set_lifecycle(server, "up", true),
                    "late" => self.scheduled_lifecycles.push((Instant::now() + LIST_DELAY, server, "up")),
                    _ => {}
                }
            } else if let Some(pooler) = pooler_number(&machine) {
                let started =
                    self.operator_file(pooler).and_then(|text| Ok(self.fleet.start(pooler, &text, &[])?));
                if let Err(error) = started.and_then(|()| Ok(self.fleet.wait_until_listening(pooler)?)) {
                    self.record_miss(&format!("pooler {pooler} did not start again: {error}"));
                }
            }
            self.jobs[job].finished = Some(Instant::now());
            self.fleet.record_fault(&format!("work is done on {machine}"));
        }
        let path = machine.trim_start_matches("pooler ").to_owned();
        if matches!(self.call("done", Some(&path)), Some((200, _))) {
            self.jobs[job].confirmed = true;
            self.outcome.worked += 1;
        }
        self.refresh_view();
    }

    /// Checks the limits against the machines at work, as the worker has recorded them.
    fn check_limits(&mut self, machine: &str) {
        let script = self.script;
        let open: Vec<&Job> = self.jobs.iter().filter(|job| job.finished.is_none()).collect();
        let mut violations = Vec::new();
        if open.len() > script.all {
            violations.push(format!("{} machines at work", open.len()));
        }
        if let Some(index) = self.environment.server_index(machine) {
            let server = &self.environment.servers[index];
            let at_work: Vec<usize> =
                open.iter().filter_map(|job| self.environment.server_index(&job.machine)).collect();
            let count = |matches: &dyn Fn(&Server) -> bool| {
                at_work.iter().filter(|index| matches(&self.environment.servers[**index])).count()
            };
            let (zone, group) =
                (count(&|other| other.zone == server.zone), count(&|other| other.group == server.group));
            let zones: BTreeSet<&String> =
                at_work.iter().map(|server_index| &self.environment.servers[*server_index].zone).collect();
            if zone > script.zone || group > script.group || zones.len() > script.zones_at_once {
                violations.push(format!("{zone} of its zone, {group} of its group, {} zones", zones.len()));
            }
            let left = (0..self.environment.servers.len()).filter(|server_index| {
                let other = &self.environment.servers[*server_index];
                let known_dead = self
                    .down_servers
                    .get(server_index)
                    .is_some_and(|since| since.elapsed() > DEATH_KNOWN_AFTER);
                other.group == server.group
                    && !at_work.contains(server_index)
                    && !known_dead
                    && !other.stand_in.is_primary()
            });
            let forced = self.view["machines"].as_array().into_iter().flatten().any(|entry| {
                entry["machine"] == machine
                    && entry["state"].as_str().is_some_and(|state| state.contains("forced"))
            });
            if left.count() == 0 && script.members > 2 && !forced {
                violations.push("no replica of its group is left".to_owned());
            }
            if server.stand_in.is_primary() && !forced && !self.down_servers.contains_key(&index) {
                violations.push("it is the primary".to_owned());
            }
        }
        for violation in violations {
            self.outcome.limits_exceeded += 1;
            self.fleet.record_fault(&format!("LIMIT at {machine}: {violation}"));
        }
    }

    fn wait_until(
        &mut self,
        what: &str,
        timeout: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<(), Failure> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            self.advance();
            if self.view["leads"] == true && condition(self) {
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL / 2);
        }
        Err(format!("{what} did not come: {}", self.view).into())
    }

    fn wait(&mut self, lasts: Duration) {
        let deadline = Instant::now() + lasts;
        while Instant::now() < deadline {
            self.advance();
            std::thread::sleep(POLL_INTERVAL / 2);
        }
    }

    /// Checks that every live server receives requests again while the clients continue.
    fn check_servers_used_again(&mut self) -> Result<(), Failure> {
        let out: BTreeSet<usize> = self.down_servers.keys().chain(self.out_by_hand.keys()).copied().collect();
        // A server that received few requests before may well receive none for a while.
        let elapsed = self.started_at.elapsed().as_secs_f64();
        let is_used =
            |server_index: &usize| self.statement_count(*server_index) as f64 / elapsed >= MIN_USUAL_RATE;
        let alive: Vec<usize> = (0..self.environment.servers.len())
            .filter(|server_index| !out.contains(server_index) && is_used(server_index))
            .collect();
        let before: Vec<usize> =
            alive.iter().map(|server_index| self.statement_count(*server_index)).collect();
        let deadline = Instant::now() + REUSE_TIMEOUT;
        let mut unused = alive.clone();
        while !unused.is_empty() && Instant::now() < deadline {
            self.wait(POLL_INTERVAL * 5);
            unused = alive
                .iter()
                .zip(&before)
                .filter(|(server_index, before)| self.statement_count(**server_index) <= **before)
                .map(|(server_index, _)| *server_index)
                .collect();
        }
        self.outcome.forgotten += if self.script.clients > 0 { unused.len() } else { 0 };
        for server_index in unused {
            let id = self.environment.servers[server_index].id.clone();
            self.fleet.record_fault(&format!("FORGOTTEN: {id} is not used again"));
        }
        // No pooler may still consider the plan active.
        for pooler in 0..self.script.poolers {
            if self.is_up(pooler) && !self.script.old.contains(&pooler) {
                let deadline = Instant::now() + REUSE_TIMEOUT;
                loop {
                    let (_, body) = self.fleet.call(pooler, "GET", "/-/work")?;
                    let view: Value = serde_json::from_str(&body)?;
                    if view["mode"] == "over" {
                        break;
                    }
                    if Instant::now() > deadline {
                        self.record_miss(&format!(
                            "pooler {pooler} does not know that the plan is over: {body}"
                        ));
                        break;
                    }
                    std::thread::sleep(POLL_INTERVAL);
                }
            }
        }
        let machines = self.machines();
        let left = machines.iter().filter(|(_, state)| state != "back").count();
        if left != self.script.left && self.script.left != ANY_NUMBER {
            self.record_miss(&format!("{left} machines were left out: {machines:?}"));
        }
        Ok(())
    }

    fn statement_count(&self, server: usize) -> usize {
        lock(&self.recorder).statement_count(&self.environment.servers[server].id)
    }

    fn run_step(&mut self, step: &Step) -> Result<(), Failure> {
        let targets = self.resolve_poolers(&step.who);
        let first_target = targets.first().copied();
        match step.what {
            Action::Plan | Action::Call => {
                let mut pooler = first_target.ok_or("nobody to ask")?;
                if !self.is_up(pooler) || self.script.old.contains(&pooler) && step.status != 404 {
                    pooler = self.any_pooler().ok_or("nobody to ask")?;
                }
                let mut path = "/-/work".to_owned();
                if step.what == Action::Call {
                    let server =
                        if step.text.contains('@') { self.resolve_server(&step.server) } else { None };
                    let id = server.map_or_else(String::new, |server_index| {
                        self.environment.servers[server_index].id.clone()
                    });
                    path = format!("/-/work/{}", step.text.replace('@', &id));
                }
                let body = if step.what == Action::Plan { step.text.clone() } else { String::new() };
                let deadline = Instant::now() + WAIT_TIMEOUT;
                let (mut status, mut response);
                loop {
                    (status, response) = self.fleet.call_with_body(pooler, "POST", &path, &body)?;
                    // There is no leader at the moment.
                    if status != 503 || step.status == 503 || Instant::now() > deadline {
                        break;
                    }
                    self.wait(POLL_INTERVAL);
                }
                self.fleet.record_fault(&format!("{path} {body} at {pooler}: {status} {}", response.trim()));
                if step.status != 0 && status != step.status {
                    self.record_miss(&format!(
                        "{path} {body} at {pooler} was answered with {status} {}",
                        response.trim()
                    ));
                }
                if step.what == Action::Plan && status == 200 {
                    self.plan_started = Some(Instant::now());
                    self.refresh_view();
                }
            }
            Action::Kill => {
                self.time_takeover_if_leader(&targets);
                targets.iter().for_each(|pooler| self.fleet.kill(*pooler));
            }
            Action::Stop | Action::Go => {
                if step.what == Action::Stop {
                    self.time_takeover_if_leader(&targets);
                }
                for pooler in &targets {
                    self.fleet.signal(*pooler, if step.what == Action::Stop { "STOP" } else { "CONT" })?;
                }
            }
            Action::Start => {
                for pooler in &targets {
                    if self.fleet.running().contains(pooler) {
                        self.fleet.kill(*pooler);
                    }
                    let text = self.operator_file(*pooler)?;
                    self.fleet.start(*pooler, &text, &[])?;
                    self.fleet.wait_until_listening(*pooler)?;
                }
            }
            Action::Replace => {
                for pooler in &targets {
                    let text = self.operator_file(*pooler)?;
                    self.fleet.replace(*pooler, &text)?;
                }
            }
            Action::End => {
                self.time_takeover_if_leader(&targets);
                for pooler in &targets {
                    self.fleet.terminate(*pooler)?;
                }
            }
            Action::DieAfter => {
                let leader = self.leader().ok_or("nobody leads")?;
                self.fleet.record_fault(&format!("{leader} is to die after {} letters", step.count));
                self.fleet.relay.isolate_after(leader, step.count);
                let deadline = Instant::now() + Duration::from_secs(10);
                while !self.fleet.relay.is_isolated() && Instant::now() < deadline {
                    self.advance();
                    std::thread::sleep(Duration::from_millis(1));
                }
                self.outcome.interrupted += usize::from(self.fleet.relay.is_isolated());
                if self.is_up(leader) {
                    self.leader_lost_at = Some(Instant::now());
                    self.fleet.kill(leader);
                }
                self.fleet.relay.clear_isolation();
                self.previous_targets = [leader].into();
                return Ok(());
            }
            Action::Cut => {
                self.time_takeover_if_leader(&targets);
                for from in 0..self.script.poolers {
                    for to in (0..self.script.poolers).filter(|to| *to != from) {
                        if targets.contains(&from) != targets.contains(&to) {
                            self.fleet.relay.set_cut(from, to, true);
                        }
                    }
                }
                self.fleet.record_fault(&format!("cut {targets:?}"));
            }
            Action::CutWays => {
                let server = self.resolve_server(&step.server).ok_or("no such server")?;
                if let Some(links) = &self.links {
                    targets.iter().for_each(|pooler| links.set_cut(*pooler, server, true));
                }
                self.fleet
                    .record_fault(&format!("cut {targets:?} from {}", self.environment.servers[server].id));
            }
            Action::Heal => {
                self.fleet.relay.heal();
                self.links.iter().for_each(TcpLinks::heal);
                self.fleet.record_fault("heal");
            }
            Action::Fell | Action::Raise => {
                for server in self.resolve_servers(&step.server) {
                    let down = step.what == Action::Fell;
                    let at_work = self.jobs.iter().any(|job| {
                        job.finished.is_none() && self.environment.server_index(&job.machine) == Some(server)
                    });
                    if !at_work {
                        self.environment.servers[server].stand_in.set_down(down);
                    }
                    if down {
                        self.down_servers.insert(server, Instant::now());
                    } else {
                        self.down_servers.remove(&server);
                    }
                    let id = self.environment.servers[server].id.clone();
                    self.fleet
                        .record_fault(&format!("{id} {}", if down { "dies" } else { "is there again" }));
                }
            }
            Action::Load => {
                let pause = self.script.pause.as_micros() as u64 * 100 / step.count.max(1) as u64;
                if let Some(clients) = &self.clients {
                    clients.pause.store(pause, Ordering::SeqCst);
                }
                self.fleet.record_fault(&format!("load {} percent", step.count));
            }
            Action::List => {
                let server = self.resolve_server(&step.server).ok_or("no such server")?;
                self.environment.set_lifecycle(server, &step.text, step.text == "up");
                self.fleet.record_fault(&format!(
                    "the list says {} of {}",
                    step.text, self.environment.servers[server].id
                ));
            }
            Action::ByHand => {
                let server = self.resolve_server(&step.server).ok_or("no such server")?;
                let id = self.environment.servers[server].id.clone();
                let up: Vec<usize> = (0..self.script.poolers).filter(|pooler| self.is_up(*pooler)).collect();
                for pooler in up {
                    let (status, response) =
                        self.fleet.call(pooler, "POST", &format!("/-/servers/{id}/{}", step.text))?;
                    if status != 200 {
                        self.record_miss(&format!("{id} {} at {pooler}: {status} {response}", step.text));
                    }
                }
                if step.text == "disable" {
                    lock(&self.recorder).status_delivered(&id, false, (0, 0), Instant::now());
                    self.out_by_hand.insert(server, Instant::now());
                } else {
                    lock(&self.recorder).status_delivered(&id, true, (1, 1), Instant::now());
                    self.out_by_hand.remove(&server);
                }
                self.fleet.record_fault(&format!("{id} {} by hand", step.text));
            }
            Action::Wait => self.wait(step.lasts),
            Action::Until => {
                let (text, count) = (step.text.clone(), step.count);
                if text == "over" {
                    self.wait_until("the plan's end", WAIT_TIMEOUT * 2, |runner| {
                        runner.view["mode"] == "over"
                    })?;
                } else {
                    self.wait_until(&format!("{count} machines {text}"), WAIT_TIMEOUT, |runner| {
                        // Some states are too short to be observed reliably.
                        let out = ["leaving", "free", "at work", "warming"];
                        if text == "out" {
                            return runner
                                .machines()
                                .iter()
                                .any(|(_, state)| out.iter().any(|prefix| state.starts_with(prefix)));
                        }
                        runner.machines().iter().filter(|(_, state)| state.starts_with(text.as_str())).count()
                            >= count
                    })?;
                }
            }
            Action::Noise => {
                let lost = step.count as u32;
                self.fleet.relay.set_noise(Noise {
                    lost,
                    doubled: lost / 2,
                    flipped: lost / 10,
                    late: lost / 5,
                });
                self.fleet.record_fault(&format!("{lost} in a thousand are lost"));
            }
            Action::HangWorker => self.worker_hung = true,
            Action::FreeWorker => self.worker_hung = false,
            Action::DenyHandover => self.environment.set_denies_handovers(true),
            Action::GrantHandover => self.environment.set_denies_handovers(false),
        }
        if !matches!(step.what, Action::Wait | Action::Until | Action::Noise | Action::Heal) {
            self.previous_targets = targets;
        }
        Ok(())
    }

    /// Starts to time the takeover if the leader is among `targets`.
    fn time_takeover_if_leader(&mut self, targets: &BTreeSet<usize>) {
        self.refresh_view();
        if self.leader().is_some_and(|leader| targets.contains(&leader)) {
            self.leader_lost_at = Some(Instant::now());
        }
    }

    /// Poolers that a step's `who` names.
    fn resolve_poolers(&mut self, target: &str) -> BTreeSet<usize> {
        let leader = self.leader();
        let up: Vec<usize> = (0..self.script.poolers)
            .filter(|pooler| self.is_up(*pooler) && Some(*pooler) != leader)
            .collect();
        match target {
            "leader" => leader.into_iter().collect(),
            "other" => up.choose(&mut self.rng).copied().into_iter().collect(),
            "voter" => {
                let voters: Vec<usize> =
                    up.into_iter().filter(|pooler| self.script.voters.contains(pooler)).collect();
                voters.choose(&mut self.rng).copied().into_iter().collect()
            }
            "small-side" => {
                let max_voters = self.script.voters.len().saturating_sub(1) / 2;
                let mut minority: BTreeSet<usize> = leader.into_iter().collect();
                for voter in &self.script.voters {
                    if self.script.voters.iter().filter(|pooler| minority.contains(pooler)).count()
                        < max_voters
                    {
                        minority.insert(*voter);
                    }
                }
                minority
            }
            "tenth" => {
                let size = self.script.poolers.div_ceil(10);
                let from = self.next_tenth * size % self.script.poolers;
                self.next_tenth += 1;
                (from..(from + size).min(self.script.poolers)).collect()
            }
            "same" => self.previous_targets.clone(),
            "all" => (0..self.script.poolers).collect(),
            number => number.parse().into_iter().collect(),
        }
    }

    /// Servers that a step's `what` names: all of a zone, or one.
    fn resolve_servers(&mut self, target: &str) -> Vec<usize> {
        match target.strip_prefix("zone-") {
            Some(zone) => (0..self.environment.servers.len())
                .filter(|server_index| self.environment.servers[*server_index].zone == zone)
                .collect(),
            None => self.resolve_server(target).into_iter().collect(),
        }
    }

    /// Index of the server with this id, or of a random one in this state of the plan.
    fn resolve_server(&mut self, target: &str) -> Option<usize> {
        if let Some(index) = self.environment.server_index(target) {
            return Some(index);
        }
        self.refresh_view();
        let machines = self.machines();
        let in_state = |matches: &dyn Fn(&str) -> bool| -> Vec<usize> {
            machines
                .iter()
                .filter(|(_, state)| matches(state))
                .filter_map(|(name, _)| self.environment.server_index(name))
                .collect()
        };
        let candidates = match target {
            "waiting" => in_state(&|state| state.starts_with("waiting")),
            "out" => in_state(&|state| {
                state.starts_with("leaving") || state.starts_with("free") || state == "at work"
            }),
            "at-work" => in_state(&|state| state == "at work"),
            "back" => in_state(&|state| state == "back"),
            "primary" => (0..self.environment.servers.len())
                .filter(|server_index| self.environment.servers[*server_index].stand_in.is_primary())
                .collect(),
            // A replica of a group without machines out.
            _ => {
                let out: BTreeSet<usize> =
                    in_state(&|state| !state.starts_with("waiting") && state != "back")
                        .into_iter()
                        .map(|server_index| self.environment.servers[server_index].group)
                        .collect();
                (0..self.environment.servers.len())
                    .filter(|server_index| {
                        let server = &self.environment.servers[*server_index];
                        !out.contains(&server.group)
                            && !server.stand_in.is_primary()
                            && !self.down_servers.contains_key(server_index)
                    })
                    .collect()
            }
        };
        candidates.choose(&mut self.rng).copied()
    }

    fn record_miss(&mut self, message: &str) {
        self.fleet.record_fault(&format!("MISSED: {message}"));
        self.outcome.missed.push(message.to_owned());
    }

    /// Audits the run; keeps script, history and logs if the script did not pass.
    fn finish(mut self, seed: u64) -> Outcome {
        if let Some(mut clients) = self.clients.take() {
            clients.stop();
        }
        self.fleet.poll_logs();
        self.check_cold_servers();
        let verdict = lock(&self.recorder).verdict();
        self.outcome.drains_broken = verdict.drains_broken;
        self.outcome.doubled = verdict.writes_doubled;
        self.outcome.lost = verdict.served_without_row;
        // A pooler that is killed or stopped leaves its clients without an answer; that is no fault of the plan.
        self.outcome.unanswered =
            if self.interrupts_clients() { 0 } else { verdict.requests - verdict.answered };
        self.outcome.served = (verdict.served, verdict.requests);
        self.outcome.max_datagram_bytes = self.fleet.relay.stats.max_bytes.load(Ordering::Relaxed);
        self.outcome.rejected_old_tokens = self.environment.handovers().1;
        if self.outcome.passed(self.script) {
            let _ = std::fs::remove_dir_all(&self.folder);
            return self.outcome;
        }
        let mut history = String::new();
        for record in &self.fleet.history.records() {
            let _ = writeln!(history, "{}", serde_json::to_string(record).unwrap_or_default());
        }
        let _ = std::fs::write(self.folder.join("history.jsonl"), history);
        let outcomes = lock(&self.recorder).outcome_counts().clone();
        let summary = format!("seed {seed}\n{:#?}\n{:#?}\n{outcomes:#?}\n", self.script, self.outcome);
        let _ = std::fs::write(self.folder.join("script.txt"), summary);
        for (number, (pooler, log)) in self.fleet.logs().into_iter().enumerate() {
            let _ = std::fs::write(self.folder.join(format!("log-{pooler}-{number}.txt")), log.join("\n"));
        }
        self.outcome.kept_folder = Some(self.folder.clone());
        self.outcome
    }

    /// Checks that a server that came back did not receive more than the overload multiple of its usual rate in
    /// its first seconds.
    fn check_cold_servers(&mut self) {
        let elapsed = self.started_at.elapsed().as_secs_f64();
        for job in &self.jobs {
            let (Some(finished), Some(_)) = (job.finished, self.environment.server_index(&job.machine))
            else {
                continue;
            };
            let recorder = lock(&self.recorder);
            let usual = recorder.statement_count(&job.machine) as f64 / elapsed;
            let end = (finished + OVERLOAD_WINDOW).min(Instant::now());
            let received = recorder.statements_between(&job.machine, finished, end) as f64;
            if received > usual * OVERLOAD_MULTIPLE * OVERLOAD_WINDOW.as_secs_f64() + OVERLOAD_TOLERANCE {
                self.outcome.cold_pushed += 1;
                drop(recorder);
                self.fleet.record_fault(&format!(
                    "PUSHED: {} got {received} in {OVERLOAD_WINDOW:?}, usually {usual:.1} a second",
                    job.machine
                ));
            }
        }
    }

    /// Whether poolers were interrupted, by the script or by work on them, so that requests may be left without
    /// an answer.
    fn interrupts_clients(&self) -> bool {
        let poolers = |step: &Step| {
            matches!(step.what, Action::Kill | Action::Stop | Action::Start | Action::DieAfter | Action::End)
        };
        self.script.steps.iter().any(poolers)
            || self.jobs.iter().any(|job| pooler_number(&job.machine).is_some())
    }
}

/// Number of the pooler that a plan names as this machine.
fn pooler_number(machine: &str) -> Option<usize> {
    machine.strip_prefix("pooler ")?.parse().ok()
}
