//! One run of the soak, from its start to its report.

use super::clients;
use super::configuration::PoolerAddresses;
use super::context::Context;
use super::discovery::Discovery;
use super::faults::{FaultKind, SCHEDULED_FAULTS};
use super::poolers::{Pooler, State};
use super::proxy;
use super::report::Report;
use super::servers::{Mode, Server};
use crate::processes::fleet::unique_loopback;
use async_io::Timer;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The set-up of a run.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The program.
    pub program: PathBuf,
    /// The library that makes system calls fail.
    pub shim: Option<PathBuf>,
    /// Folder for the library's counts.
    pub folder: PathBuf,
    /// Number of pooler processes.
    pub poolers: usize,
    /// Number of clients of each pooler.
    pub clients: usize,
    /// How long faults are injected.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// A broken variant of the program.
    pub mutant: Option<String>,
    /// Only these kinds of faults; all if empty.
    pub only: Vec<FaultKind>,
    /// How many of a thousand system calls fail in each process. Without it, a few fail in two of three
    /// processes.
    pub failing_calls: Option<u64>,
}

/// Number of members of the only group.
const SERVERS: usize = 6;
/// At most one in this many poolers is down at a time, rounded up.
const POOLERS_PER_OUTAGE: usize = 4;
/// Minimum duration of a fault, and up to how much longer it may be, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (300, 1_700);
/// Maximum time until the next fault begins, in milliseconds.
const MAX_FAULT_PAUSE_MS: u64 = 350;
/// How long clients go on after the last fault.
const CALM_PERIOD: Duration = Duration::from_secs(1);
/// How long the last answers are waited for.
const FINAL_ANSWERS_WAIT: Duration = Duration::from_secs(3);
/// One in so many seeds has crowds, with a pause before each.
const SEEDS_PER_CROWD: u64 = 3;
const CROWD_PAUSE: Duration = Duration::from_millis(700);
/// How often the scheduling lag of this process is measured, and after what time a lower lag replaces a higher
/// one.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const LAG_RETENTION: Duration = Duration::from_secs(1);

/// All parts of a run, which faults act on.
struct Soak {
    context: Rc<Context>,
    spec: Spec,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    poolers: Vec<Rc<Pooler>>,
    pairs: RefCell<BTreeSet<(FaultKind, FaultKind)>>,
}

/// Runs a soak.
///
/// # Errors
///
/// When the folder can't be created or a socket can't be bound.
pub fn run_soak(spec: &Spec) -> std::io::Result<Report> {
    std::fs::create_dir_all(&spec.folder)?;
    let context = Context::new(spec.seed);
    let soak = Rc::new(Soak::set_up(&context, spec)?);
    let report = context.executor.run_until(soak.clone().run());
    Ok(report)
}

impl Soak {
    fn set_up(context: &Rc<Context>, spec: &Spec) -> std::io::Result<Self> {
        let servers: Vec<Rc<Server>> = (0..SERVERS)
            .map(|index| Server::start(context, &format!("s-{index}"), 0, index == 0))
            .collect::<Result<_, _>>()?;
        let discovery = Discovery::new(servers.clone());
        // No other process on this machine uses this address, so its ports need not stay bound.
        let (ip, mut poolers) = (unique_loopback(), Vec::new());
        let listeners: Vec<TcpListener> =
            (0..spec.poolers).map(|_| TcpListener::bind((ip, 0))).collect::<Result<_, _>>()?;
        for (number, listener) in listeners.iter().enumerate() {
            let server_addresses = servers
                .iter()
                .map(|server| proxy::open(context, number, server))
                .collect::<Result<_, _>>()?;
            let agent = discovery.agent(context, server_addresses)?;
            let addresses =
                PoolerAddresses { number, listen: listener.local_addr()?, discovery: agent.address() };
            poolers.push(Pooler::new(addresses, agent));
        }
        let pairs = RefCell::default();
        Ok(Self { context: context.clone(), spec: spec.clone(), servers, discovery, poolers, pairs })
    }

    async fn run(self: Rc<Self>) -> Report {
        let context = &self.context;
        context.executor.spawn(self.clone().monitor()).detach();
        let starts: Vec<_> = self.poolers.iter().map(|pooler| self.start_pooler(pooler)).collect();
        for start in starts {
            start.await;
        }
        for pooler in &self.poolers {
            for number in 0..self.spec.clients {
                context.executor.spawn(clients::run(context.clone(), pooler.clone(), number)).detach();
            }
        }
        if self.spec.seed % SEEDS_PER_CROWD == 0 {
            context.executor.spawn(self.clone().run_crowds()).detach();
        }
        let began = Instant::now();
        while began.elapsed() < self.spec.duration {
            self.inject_fault().await;
            Timer::after(Duration::from_millis(context.scheduled_below(MAX_FAULT_PAUSE_MS))).await;
        }
        Timer::after(CALM_PERIOD).await;
        context.finished.set(true);
        Timer::after(FINAL_ANSWERS_WAIT).await;
        for pooler in &self.poolers {
            pooler.check_alive(context);
        }
        let stops: Vec<_> = self.poolers.iter().map(|pooler| self.stop_pooler(pooler)).collect();
        for stop in stops {
            stop.await;
        }
        self.report()
    }

    /// Fills the slots of one pooler after another with idle clients.
    async fn run_crowds(self: Rc<Self>) {
        while !self.context.finished.get() {
            Timer::after(CROWD_PAUSE).await;
            if let Some(pooler) = self.pick_pooler() {
                self.context.faults.borrow_mut().count_injection(FaultKind::ClientCrowd);
                pooler.crowd().await;
            }
        }
    }

    fn report(&self) -> Report {
        let (audit, faults) = (self.context.audit.borrow(), self.context.faults.borrow());
        let mut report = Report::new(self.spec.seed, self.spec.mutant.clone(), &audit, &faults);
        report.overlapping_pairs = self.pairs.borrow().clone();
        for pooler in &self.poolers {
            report.starts += pooler.starts();
            for (name, count) in pooler.shim_counts() {
                *report.failed_calls.entry(name).or_default() += count;
            }
        }
        report
    }

    fn start_pooler(self: &Rc<Self>, pooler: &Rc<Pooler>) -> async_executor::Task<()> {
        let (soak, pooler) = (self.clone(), pooler.clone());
        self.context
            .executor
            .spawn(async move { pooler.start(&soak.context, &soak.spec, &soak.discovery).await })
    }

    fn stop_pooler(self: &Rc<Self>, pooler: &Rc<Pooler>) -> async_executor::Task<()> {
        let (soak, pooler) = (self.clone(), pooler.clone());
        self.context.executor.spawn(async move { pooler.stop(&soak.context).await })
    }

    /// Measures the scheduling lag of this process for the checker, and checks that all pooler processes run.
    async fn monitor(self: Rc<Self>) {
        let (mut worst, mut since) = (Duration::ZERO, Instant::now());
        loop {
            let before = Instant::now();
            Timer::after(LAG_CHECK_INTERVAL).await;
            let lag = before.elapsed().saturating_sub(LAG_CHECK_INTERVAL);
            if lag > worst || since.elapsed() > LAG_RETENTION {
                (worst, since) = (lag, Instant::now());
                self.context.audit.borrow_mut().set_lag(lag);
            }
            self.poolers.iter().for_each(|pooler| pooler.check_alive(&self.context));
        }
    }

    /// A random pooler that is ready, if enough of the others are.
    fn pick_pooler(&self) -> Option<Rc<Pooler>> {
        let ready: Vec<_> = self.poolers.iter().filter(|pooler| pooler.state() == State::Ready).collect();
        let unavailable = self.poolers.len() - ready.len();
        let enough_ready = unavailable < self.poolers.len().div_ceil(POOLERS_PER_OUTAGE) && !ready.is_empty();
        enough_ready.then(|| ready[self.context.random_below(ready.len() as u64) as usize].clone())
    }

    /// A random replica that is up according to discovery, if enough others are.
    fn pick_replica(&self) -> Option<usize> {
        let up: Vec<usize> = (1..SERVERS).filter(|index| self.discovery.is_up(*index)).collect();
        (up.len() > 2).then(|| up[self.context.random_below(up.len() as u64) as usize])
    }

    /// Injects one scheduled fault.
    async fn inject_fault(self: &Rc<Self>) {
        let kinds = if self.spec.only.is_empty() { SCHEDULED_FAULTS.as_slice() } else { &self.spec.only };
        let kind = kinds[self.context.scheduled_below(kinds.len() as u64) as usize];
        let duration =
            Duration::from_millis(FAULT_DURATION_MS.0 + self.context.scheduled_below(FAULT_DURATION_MS.1));
        self.context.faults.borrow_mut().activate(kind, duration);
        let active: Vec<FaultKind> = SCHEDULED_FAULTS
            .into_iter()
            .filter(|other| self.context.faults.borrow().is_active(*other))
            .collect();
        let pairs =
            active.iter().filter(|other| **other != kind).map(|other| (kind.min(*other), kind.max(*other)));
        self.pairs.borrow_mut().extend(pairs);
        if self.inject_pooler_fault(kind)
            || self.inject_server_fault(kind, duration)
            || self.inject_discovery_fault(kind, duration)
        {
            self.context.faults.borrow_mut().count_injection(kind);
        }
    }

    /// Injects a fault of a pooler; false if it is of another kind or no pooler can take it now.
    fn inject_pooler_fault(self: &Rc<Self>, kind: FaultKind) -> bool {
        let pooler_faults = [
            FaultKind::Stop,
            FaultKind::Kill,
            FaultKind::Pause,
            FaultKind::Reload,
            FaultKind::ReloadTwice,
            FaultKind::MoveDiscovery,
        ];
        if !pooler_faults.contains(&kind) {
            return false;
        }
        if kind == FaultKind::Pause {
            return self.pause_poolers();
        }
        let Some(pooler) = self.pick_pooler() else { return false };
        let soak = self.clone();
        let task = async move {
            let (context, spec, discovery) = (&soak.context, &soak.spec, &soak.discovery);
            match kind {
                FaultKind::Stop => {
                    pooler.stop(context).await;
                    pooler.start(context, spec, discovery).await;
                }
                FaultKind::Kill => {
                    pooler.kill(context);
                    Timer::after(Duration::from_millis(context.random_below(500))).await;
                    pooler.start(context, spec, discovery).await;
                }
                FaultKind::MoveDiscovery => {
                    pooler.agent.switch_address();
                    pooler.reload(context, spec, discovery, false).await;
                }
                _ => pooler.reload(context, spec, discovery, kind == FaultKind::ReloadTwice).await,
            }
        };
        self.context.executor.spawn(task).detach();
        true
    }

    /// Pauses about a quarter of the poolers at once, as when their machine is busy.
    fn pause_poolers(self: &Rc<Self>) -> bool {
        let ready = self.poolers.iter().filter(|pooler| pooler.state() == State::Ready);
        let selected: Vec<_> = ready.filter(|_| self.context.chance(250)).cloned().collect();
        for pooler in &selected {
            let (pooler, duration) =
                (pooler.clone(), Duration::from_millis(50 + self.context.random_below(100)));
            self.context.executor.spawn(async move { pooler.pause(duration).await }).detach();
        }
        !selected.is_empty()
    }

    /// Injects a fault of a server; false if it is of another kind or no server can take it now.
    fn inject_server_fault(self: &Rc<Self>, kind: FaultKind, duration: Duration) -> bool {
        let mode = match kind {
            FaultKind::Drain | FaultKind::Remove => return self.withdraw(kind, duration),
            FaultKind::ReplicaLag => return self.delay_replica(duration),
            FaultKind::ServerDown => Mode::Down,
            FaultKind::ServerHang => Mode::Hanging,
            FaultKind::ServerSlow => Mode::Slow(Duration::from_millis(50 + self.context.random_below(400))),
            FaultKind::ServerErrors => Mode::Failing("XX000"),
            FaultKind::ServerFull => Mode::Failing("53300"),
            FaultKind::ServerOddCode => Mode::RunThenFail("57P03"),
            _ => return false,
        };
        // Any server, the primary included.
        self.servers[self.context.random_below(SERVERS as u64) as usize].set_mode(mode, duration);
        true
    }

    fn withdraw(self: &Rc<Self>, kind: FaultKind, duration: Duration) -> bool {
        let Some(index) = self.pick_replica() else { return false };
        let lifecycle = if kind == FaultKind::Drain { "draining" } else { "removed" };
        self.discovery.set_lifecycle(&self.context, index, lifecycle, false);
        let soak = self.clone();
        let restore = async move {
            Timer::after(duration).await;
            soak.servers[index].restart();
            soak.discovery.set_lifecycle(&soak.context, index, "up", true);
        };
        self.context.executor.spawn(restore).detach();
        true
    }

    fn delay_replica(self: &Rc<Self>, duration: Duration) -> bool {
        let server = self.servers[1 + self.context.random_below(SERVERS as u64 - 1) as usize].clone();
        server.set_lag(500 + self.context.random_below(4_000) as i64);
        let restore = async move {
            Timer::after(duration).await;
            server.set_lag(10);
        };
        self.context.executor.spawn(restore).detach();
        true
    }

    /// Injects a fault of discovery; false if it is of another kind. Refused watches are also counted when they
    /// occur.
    fn inject_discovery_fault(self: &Rc<Self>, kind: FaultKind, duration: Duration) -> bool {
        let is_selected = |pooler: &Rc<Pooler>| pooler.number() % 2 == self.context.random_below(2) as usize;
        let selected: Vec<_> = self.poolers.iter().filter(|pooler| is_selected(pooler)).cloned().collect();
        match kind {
            FaultKind::WatchSilent => selected.iter().for_each(|pooler| pooler.agent.silence_watches()),
            FaultKind::WatchReset => selected.iter().for_each(|pooler| pooler.agent.reset_watches()),
            FaultKind::WatchRefused => {
                selected.iter().for_each(|pooler| pooler.agent.refuse_watches(duration))
            }
            FaultKind::DiscoveryDown => {
                selected.iter().for_each(|pooler| pooler.agent.set_down(&self.context, true));
                let context = self.context.clone();
                let restore = async move {
                    Timer::after(duration).await;
                    selected.iter().for_each(|pooler| pooler.agent.set_down(&context, false));
                };
                self.context.executor.spawn(restore).detach();
            }
            _ => return false,
        }
        true
    }
}
