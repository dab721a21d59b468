//! A play of the soak from its start to its report.

use super::clients;
use super::configuration::Place;
use super::discovery::Discovery;
use super::faults::{FaultKind, SCHEDULED_FAULTS};
use super::poolers::{Pooler, State};
use super::proxy;
use super::report::Report;
use super::servers::{Mode, Server};
use super::world::World;
use crate::processes::fleet::unique_loopback;
use async_io::Timer;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How a soak is played.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The program.
    pub program: PathBuf,
    /// The library with calls of the system that fail.
    pub shim: Option<PathBuf>,
    /// Where files are laid.
    pub folder: PathBuf,
    /// Processes.
    pub poolers: usize,
    /// Clients of each.
    pub clients: usize,
    /// How long troubles go on.
    pub duration: Duration,
    /// For all that is drawn.
    pub seed: u64,
    /// A broken variant.
    pub mutant: Option<String>,
    /// Only these kinds of trouble; all if there are none.
    pub only: Vec<FaultKind>,
    /// So many of a thousand calls of the system fail in each process; few in two of three processes without it.
    pub failing_calls: Option<u64>,
}

/// Members of the one group.
const SERVERS: usize = 6;
/// No more poolers than one in so many are down at a time.
const DOWN_PART: usize = 4;
/// A trouble lasts for this and up to so much more, in milliseconds.
const LASTS_MS: (u64, u64) = (300, 1_700);
/// The next one begins up to so many milliseconds later.
const NEXT_MS: u64 = 350;
/// After the last trouble, clients ask on for so long.
const CALM: Duration = Duration::from_secs(1);
/// How long the last answers are waited for.
const LAST_ANSWERS: Duration = Duration::from_secs(3);
/// How often the judge looks how late it is, and how often it forgets that.
const HEARTBEAT: Duration = Duration::from_millis(10);
const LAG_LASTS: Duration = Duration::from_secs(1);

/// A site: what all troubles act on.
struct Site {
    world: Rc<World>,
    spec: Spec,
    servers: Vec<Rc<Server>>,
    list: Rc<Discovery>,
    poolers: Vec<Rc<Pooler>>,
    pairs: RefCell<BTreeSet<(FaultKind, FaultKind)>>,
}

/// Plays one.
///
/// # Errors
///
/// When addresses can't be had.
pub fn run_soak(spec: &Spec) -> std::io::Result<Report> {
    std::fs::create_dir_all(&spec.folder)?;
    let world = World::new(spec.seed);
    let site = Rc::new(Site::lay(&world, spec)?);
    let report = async_io::block_on(world.executor.run(site.clone().run()));
    Ok(report)
}

impl Site {
    fn lay(world: &Rc<World>, spec: &Spec) -> std::io::Result<Self> {
        let servers: Vec<Rc<Server>> = (0..SERVERS)
            .map(|at| Server::start(world, &format!("s-{at}"), 0, at == 0))
            .collect::<Result<_, _>>()?;
        let list = Discovery::new(servers.clone());
        // Nobody else on this machine uses that address, so that its ports need not be held once all are had.
        let (ip, mut poolers) = (unique_loopback(), Vec::new());
        let listeners: Vec<TcpListener> =
            (0..spec.poolers).map(|_| TcpListener::bind((ip, 0))).collect::<Result<_, _>>()?;
        for (number, listener) in listeners.iter().enumerate() {
            let views =
                servers.iter().map(|server| proxy::open(world, number, server)).collect::<Result<_, _>>()?;
            let agent = list.agent(world, views)?;
            let place = Place { number, listen: listener.local_addr()?, discovery: agent.address() };
            poolers.push(Pooler::new(place, agent));
        }
        let pairs = RefCell::default();
        Ok(Self { world: world.clone(), spec: spec.clone(), servers, list, poolers, pairs })
    }

    async fn run(self: Rc<Self>) -> Report {
        let world = &self.world;
        world.executor.spawn(self.clone().heartbeat()).detach();
        let starts: Vec<_> = self.poolers.iter().map(|pooler| self.begin(pooler)).collect();
        for start in starts {
            start.await;
        }
        for pooler in &self.poolers {
            for number in 0..self.spec.clients {
                world.executor.spawn(clients::run(world.clone(), pooler.clone(), number)).detach();
            }
        }
        let began = Instant::now();
        while began.elapsed() < self.spec.duration {
            self.trouble().await;
            Timer::after(Duration::from_millis(world.scheduled(NEXT_MS))).await;
        }
        Timer::after(CALM).await;
        world.over.set(true);
        Timer::after(LAST_ANSWERS).await;
        for pooler in &self.poolers {
            pooler.look(world);
        }
        let stops: Vec<_> = self.poolers.iter().map(|pooler| self.end(pooler)).collect();
        for stop in stops {
            stop.await;
        }
        self.report()
    }

    fn report(&self) -> Report {
        let (audit, faults) = (self.world.audit.borrow(), self.world.faults.borrow());
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

    fn begin(self: &Rc<Self>, pooler: &Rc<Pooler>) -> async_executor::Task<()> {
        let (site, pooler) = (self.clone(), pooler.clone());
        self.world.executor.spawn(async move { pooler.start(&site.world, &site.spec, &site.list).await })
    }

    fn end(self: &Rc<Self>, pooler: &Rc<Pooler>) -> async_executor::Task<()> {
        let (site, pooler) = (self.clone(), pooler.clone());
        self.world.executor.spawn(async move { pooler.stop(&site.world).await })
    }

    /// Tells the judge how late it sees things, and looks whether all processes live.
    async fn heartbeat(self: Rc<Self>) {
        let (mut worst, mut since) = (Duration::ZERO, Instant::now());
        loop {
            let before = Instant::now();
            Timer::after(HEARTBEAT).await;
            let lag = before.elapsed().saturating_sub(HEARTBEAT);
            if lag > worst || since.elapsed() > LAG_LASTS {
                (worst, since) = (lag, Instant::now());
                self.world.audit.borrow_mut().set_lag(lag);
            }
            self.poolers.iter().for_each(|pooler| pooler.look(&self.world));
        }
    }

    /// A pooler that serves, by chance, if enough others do.
    fn victim(&self) -> Option<Rc<Pooler>> {
        let ready: Vec<_> = self.poolers.iter().filter(|pooler| pooler.state() == State::Ready).collect();
        let down = self.poolers.len() - ready.len();
        let enough = down < self.poolers.len().div_ceil(DOWN_PART) && !ready.is_empty();
        enough.then(|| ready[self.world.below(ready.len() as u64) as usize].clone())
    }

    /// A replica that is up by the list, if enough others are.
    fn replica(&self) -> Option<usize> {
        let up: Vec<usize> = (1..SERVERS).filter(|at| self.list.is_up(*at)).collect();
        (up.len() > 2).then(|| up[self.world.below(up.len() as u64) as usize])
    }

    /// Begins one trouble.
    async fn trouble(self: &Rc<Self>) {
        let kinds = if self.spec.only.is_empty() { SCHEDULED_FAULTS.as_slice() } else { &self.spec.only };
        let kind = kinds[self.world.scheduled(kinds.len() as u64) as usize];
        let length = Duration::from_millis(LASTS_MS.0 + self.world.scheduled(LASTS_MS.1));
        self.world.faults.borrow_mut().begin(kind, length);
        let holding: Vec<FaultKind> =
            SCHEDULED_FAULTS.into_iter().filter(|other| self.world.faults.borrow().holds(*other)).collect();
        let pairs =
            holding.iter().filter(|other| **other != kind).map(|other| (kind.min(*other), kind.max(*other)));
        self.pairs.borrow_mut().extend(pairs);
        if self.of_poolers(kind) || self.of_servers(kind, length) || self.of_discovery(kind, length) {
            self.world.faults.borrow_mut().injected(kind);
        }
    }

    /// Faults of poolers; whether this is one that could be begun.
    fn of_poolers(self: &Rc<Self>, kind: FaultKind) -> bool {
        let signals = [
            FaultKind::Stop,
            FaultKind::Kill,
            FaultKind::Pause,
            FaultKind::Reload,
            FaultKind::ReloadTwice,
            FaultKind::MoveDiscovery,
        ];
        if !signals.contains(&kind) {
            return false;
        }
        if kind == FaultKind::Pause {
            return self.pause_some();
        }
        let Some(pooler) = self.victim() else { return false };
        let site = self.clone();
        let act = async move {
            let (world, spec, list) = (&site.world, &site.spec, &site.list);
            match kind {
                FaultKind::Stop => {
                    pooler.stop(world).await;
                    pooler.start(world, spec, list).await;
                }
                FaultKind::Kill => {
                    pooler.kill(world);
                    Timer::after(Duration::from_millis(world.below(500))).await;
                    pooler.start(world, spec, list).await;
                }
                FaultKind::MoveDiscovery => {
                    pooler.agent.move_away();
                    pooler.reload(world, spec, list, false).await;
                }
                _ => pooler.reload(world, spec, list, kind == FaultKind::ReloadTwice).await,
            }
        };
        self.world.executor.spawn(act).detach();
        true
    }

    /// A quarter of the poolers stand still at once, as where their machine is busy.
    fn pause_some(self: &Rc<Self>) -> bool {
        let ready = self.poolers.iter().filter(|pooler| pooler.state() == State::Ready);
        let some: Vec<_> = ready.filter(|_| self.world.chance(250)).cloned().collect();
        for pooler in &some {
            let (pooler, length) = (pooler.clone(), Duration::from_millis(50 + self.world.below(100)));
            self.world.executor.spawn(async move { pooler.pause(length).await }).detach();
        }
        !some.is_empty()
    }

    /// Faults of servers.
    fn of_servers(self: &Rc<Self>, kind: FaultKind, length: Duration) -> bool {
        let mode = match kind {
            FaultKind::Drain | FaultKind::Remove => return self.withdraw(kind, length),
            FaultKind::ReplicaLag => return self.fall_behind(length),
            FaultKind::ServerDown => Mode::Down,
            FaultKind::ServerHang => Mode::Hangs,
            FaultKind::ServerSlow => Mode::Slow(Duration::from_millis(50 + self.world.below(400))),
            FaultKind::ServerErrors => Mode::Says("XX000"),
            FaultKind::ServerFull => Mode::Says("53300"),
            FaultKind::ServerOddCode => Mode::RunsAndSays("57P03"),
            _ => return false,
        };
        // The primary as well.
        self.servers[self.world.below(SERVERS as u64) as usize].behave(mode, length);
        true
    }

    fn withdraw(self: &Rc<Self>, kind: FaultKind, length: Duration) -> bool {
        let Some(at) = self.replica() else { return false };
        let lifecycle = if kind == FaultKind::Drain { "draining" } else { "removed" };
        self.list.say(&self.world, at, lifecycle, false);
        let site = self.clone();
        let back = async move {
            Timer::after(length).await;
            site.servers[at].restart();
            site.list.say(&site.world, at, "up", true);
        };
        self.world.executor.spawn(back).detach();
        true
    }

    fn fall_behind(self: &Rc<Self>, length: Duration) -> bool {
        let server = self.servers[1 + self.world.below(SERVERS as u64 - 1) as usize].clone();
        server.set_lag(500 + self.world.below(4_000) as i64);
        let back = async move {
            Timer::after(length).await;
            server.set_lag(10);
        };
        self.world.executor.spawn(back).detach();
        true
    }

    /// Faults of discovery. Refusals are counted where they are met.
    fn of_discovery(self: &Rc<Self>, kind: FaultKind, length: Duration) -> bool {
        let some = |of: &Rc<Pooler>| of.number() % 2 == self.world.below(2) as usize;
        let hit: Vec<_> = self.poolers.iter().filter(|of| some(of)).cloned().collect();
        match kind {
            FaultKind::WatchSilent => hit.iter().for_each(|pooler| pooler.agent.fall_silent()),
            FaultKind::WatchReset => hit.iter().for_each(|pooler| pooler.agent.reset()),
            FaultKind::WatchRefused => hit.iter().for_each(|pooler| pooler.agent.refuse(length)),
            FaultKind::DiscoveryDown => {
                hit.iter().for_each(|pooler| pooler.agent.set_down(&self.world, true));
                let world = self.world.clone();
                let back = async move {
                    Timer::after(length).await;
                    hit.iter().for_each(|pooler| pooler.agent.set_down(&world, false));
                };
                self.world.executor.spawn(back).detach();
            }
            _ => return false,
        }
        true
    }
}
