//! The poolers of a soak: processes that are terminated, killed, paused and reconfigured, and restarted from
//! nothing under the same names and addresses.

use super::audit::Rule;
use super::configuration::{MAX_DEADLINE, PoolerAddresses, SHORT_MAX_DEADLINE, Variation, pooler_config};
use super::context::Context;
use super::discovery::{Agent, Discovery};
use super::run::Spec;
use crate::processes::process::Process;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use linnetdeal_net::pg::write;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Error;
use std::net::TcpStream;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// New connections keep arriving for this long after SIGTERM.
const ARRIVALS_AFTER_TERM: Duration = Duration::from_millis(300);
/// The platform sends SIGKILL this long after the longest deadline.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// A busy machine may delay the exit of a process by this much.
const EXIT_SLACK: Duration = Duration::from_millis(500);
/// Requests that were sent up to this long after SIGTERM may be found unanswered by SIGKILL.
const EXCUSED_AFTER_TERM: Duration = Duration::from_millis(700);
/// How many of a thousand stops end with SIGKILL at its earliest, and how many come as a series of signals.
const KILLED_PER_MILLE: u64 = 500;
const SERIES_PER_MILLE: u64 = 500;
/// Maximum number of further signals in a series, and the time within which they follow, in milliseconds.
const MAX_FURTHER_SIGNALS: u64 = 4;
const SERIES_MS: u64 = 1_500;
/// The signals of a series: each of them is harmless to a process that is already ending.
const SERIES_SIGNALS: [&str; 4] = ["TERM", "HUP", "INT", "USR1"];
/// Connections of a crowd, more than the slots of a pooler, and how long they stay silent.
const CROWD_SIZE: usize = 300;
const CROWD_DURATION: Duration = Duration::from_millis(1_500);
/// Time within which a process has to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The state of a pooler's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No process runs.
    Down,
    /// A process has been started.
    Starting,
    /// The process serves requests.
    Ready,
    /// The process was sent SIGTERM at that time.
    Terminating(Instant),
}

/// One pooler.
pub struct Pooler {
    /// Its number and addresses; the address of discovery is taken from the agent.
    addresses: PoolerAddresses,
    /// The discovery agent beside it.
    pub agent: Rc<Agent>,
    process: RefCell<Option<Process>>,
    state: Cell<State>,
    /// Number of starts.
    starts: Cell<u64>,
    killed_at: Cell<Option<Instant>>,
    /// Requests sent later are not excused by that kill.
    excused_until: Cell<Option<Instant>>,
    /// Until when idle clients fill its slots.
    crowded_until: Cell<Option<Instant>>,
    variation: Cell<Variation>,
    shim_count_files: RefCell<Vec<PathBuf>>,
}

impl Pooler {
    /// A pooler without a process.
    #[must_use]
    pub fn new(addresses: PoolerAddresses, agent: Rc<Agent>) -> Rc<Self> {
        Rc::new(Self {
            addresses,
            agent,
            process: RefCell::default(),
            state: Cell::new(State::Down),
            starts: Cell::new(0),
            killed_at: Cell::new(None),
            excused_until: Cell::new(None),
            crowded_until: Cell::new(None),
            variation: Cell::default(),
            shim_count_files: RefCell::default(),
        })
    }

    /// Its number.
    #[must_use]
    pub fn number(&self) -> usize {
        self.addresses.number
    }

    /// The state of its process.
    #[must_use]
    pub fn state(&self) -> State {
        self.state.get()
    }

    /// Number of starts. A process knows nothing of the sessions of earlier starts.
    #[must_use]
    pub fn starts(&self) -> u64 {
        self.starts.get()
    }

    /// Whether the platform's load balancer would send new connections.
    #[must_use]
    pub fn takes_clients(&self) -> bool {
        match self.state.get() {
            State::Ready => true,
            State::Terminating(since) => since.elapsed() < ARRIVALS_AFTER_TERM,
            State::Down | State::Starting => false,
        }
    }

    /// Whether its process was killed, or ended unexpectedly, at or after that time, so that a request sent then is
    /// excused.
    #[must_use]
    pub fn killed_since(&self, since: Instant) -> bool {
        self.killed_at.get().is_some_and(|killed_at| killed_at >= since)
            && self.excused_until.get().is_none_or(|until| since <= until)
    }

    /// Whether idle clients have filled its slots since that time: new connections may be closed unread then.
    #[must_use]
    pub fn crowded_since(&self, since: Instant) -> bool {
        self.crowded_until.get().is_some_and(|until| until >= since)
    }

    /// Fills its slots with idle clients for a while.
    pub async fn crowd(&self) {
        // The connections are closed, and the slots free again, some time later.
        self.crowded_until.set(Some(Instant::now() + CROWD_DURATION + KILL_GRACE));
        let mut clients = Vec::new();
        for _ in 0..CROWD_SIZE {
            clients.extend(self.connect().await);
        }
        Timer::after(CROWD_DURATION).await;
    }

    /// Opens a client connection.
    ///
    /// # Errors
    ///
    /// When the connection can't be opened.
    pub async fn connect(&self) -> std::io::Result<Async<TcpStream>> {
        let stream = Async::<TcpStream>::connect(self.addresses.listen).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(stream)
    }

    /// Starts a process and waits until it serves requests.
    pub async fn start(&self, context: &Context, spec: &Spec, discovery: &Discovery) {
        self.starts.set(self.starts.get() + 1);
        context.audit.borrow_mut().note(self.number(), "start");
        self.state.set(State::Starting);
        if let Err(error) = self.spawn(context, spec, discovery) {
            return self.record_crash(context, &format!("start: {error}"));
        }
        context.audit.borrow_mut().pooler_started(self.number(), Instant::now());
        let end = Instant::now() + START_TIMEOUT;
        while !self.is_serving().await {
            if self.has_exited() || Instant::now() > end {
                return self.record_crash(context, "it is not ready");
            }
            Timer::after(POLL_INTERVAL).await;
        }
        if self.state.get() == State::Starting {
            self.state.set(State::Ready);
        }
    }

    fn spawn(&self, context: &Context, spec: &Spec, discovery: &Discovery) -> std::io::Result<()> {
        let addresses = PoolerAddresses { discovery: self.agent.address(), ..self.addresses.clone() };
        let seed = context.random_below(u64::MAX);
        let known = discovery.known_servers(&self.agent);
        let config = pooler_config(&addresses, spec.poolers, seed, &known, self.variation.get());
        let mut variables = Vec::new();
        if let Some(mutant) = &spec.mutant {
            variables.push(("LINNETDEAL_MUTANT", mutant.clone()));
        }
        // Two in three processes run with failing system calls, and one in three of these with a stepped wall
        // clock.
        if let Some(shim) = spec.shim.as_ref().filter(|_| spec.failing_calls.is_some() || context.chance(667))
        {
            let name = format!("shim-{}-{}-{seed:x}.txt", self.number(), self.starts.get());
            let counts = spec.folder.join(name);
            variables.push(("LD_PRELOAD", shim.display().to_string()));
            variables.push(("SHIM_SEED", context.random_below(1 << 40).to_string()));
            let failing = spec.failing_calls.unwrap_or_else(|| 1 + context.random_below(20));
            variables.push(("SHIM_PER_MILLE", failing.to_string()));
            variables.push(("SHIM_COUNTS", counts.display().to_string()));
            if context.chance(333) {
                let steps = [3_600_000, -3_600_000, 7_000, -7_000];
                variables.push(("SHIM_WALL_STEP_MS", steps[context.random_below(4) as usize].to_string()));
            }
            self.shim_count_files.borrow_mut().push(counts);
        }
        let process = Process::start(&spec.program, &config, None, &variables)?;
        *self.process.borrow_mut() = Some(process);
        Ok(())
    }

    /// Whether the process answers an empty query.
    async fn is_serving(&self) -> bool {
        let query = async {
            let Ok(stream) = self.connect().await else { return false };
            let mut out = Vec::new();
            write::startup(&mut out, "backend", "store");
            write::query(&mut out, "");
            let mut stream = &stream;
            if stream.write_all(&out).await.is_err() {
                return false;
            }
            let (mut received, mut bytes) = (Vec::new(), [0; 1_024]);
            while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                received.extend_from_slice(&bytes[..count]);
                if received.windows(5).any(|five| five == b"I\0\0\0\x04") {
                    return true;
                }
            }
            false
        };
        or(query, async {
            Timer::after(Duration::from_secs(1)).await;
            false
        })
        .await
    }

    fn has_exited(&self) -> bool {
        self.process
            .borrow_mut()
            .as_mut()
            .is_none_or(|process| matches!(process.exit_status(), Ok(Some(_)) | Err(_)))
    }

    /// Records a violation if a process has ended that was not told to.
    pub fn check_alive(&self, context: &Context) {
        if matches!(self.state.get(), State::Ready | State::Starting) && self.has_exited() {
            self.record_crash(context, "it has ended by itself");
        }
    }

    fn record_crash(&self, context: &Context, why: &str) {
        let log = self.process.borrow().as_ref().map(Process::log).unwrap_or_default();
        let last_lines = log.iter().rev().take(3).rev().cloned().collect::<Vec<_>>().join(" | ");
        let detail = format!("pooler {}: {why}: {last_lines}", self.number());
        context.audit.borrow_mut().record_violation(Rule::Crash, &detail);
        self.excused_until.set(None);
        self.killed_at.set(Some(Instant::now()));
        self.reap(context);
    }

    /// Kills the process if it still runs, and records the violations that its log reports.
    fn reap(&self, context: &Context) {
        self.state.set(State::Down);
        let Some(mut process) = self.process.borrow_mut().take() else { return };
        process.kill();
        for line in process.log() {
            if let Some((_, what)) = line.split_once("violated: ") {
                let detail = format!("pooler {}: {what}", self.number());
                context.audit.borrow_mut().record_violation(Rule::Invariant, &detail);
            }
            if line.contains("panicked") {
                context
                    .audit
                    .borrow_mut()
                    .record_violation(Rule::Crash, &format!("pooler {}: {line}", self.number()));
            }
        }
    }

    fn signal(&self, name: &str) -> std::io::Result<()> {
        let process = self.process.borrow();
        process.as_ref().map_or(Err(Error::other("no process")), |process| process.signal(name))
    }

    /// Sends SIGTERM, in some cases with further signals behind it, and waits until the process exits, or in some cases
    /// until SIGKILL may come.
    pub async fn stop(&self, context: &Context) {
        if self.signal("TERM").is_err() {
            return;
        }
        let signalled_at = Instant::now();
        context.audit.borrow_mut().note(self.number(), "SIGTERM");
        self.state.set(State::Terminating(signalled_at));
        let short_writes = self.variation.get().short_writes;
        let longest_deadline = if short_writes { SHORT_MAX_DEADLINE } else { MAX_DEADLINE };
        let kill_at = signalled_at + longest_deadline + KILL_GRACE;
        let is_killed = context.chance(KILLED_PER_MILLE);
        let mut further_signals = further_signals(context, signalled_at);
        while !self.has_exited() {
            let now = Instant::now();
            if further_signals.last().is_some_and(|(at, _)| *at <= now) {
                let _ = further_signals.pop().map(|(_, name)| self.signal(name));
            }
            if is_killed && now >= kill_at {
                context.audit.borrow_mut().note(self.number(), "SIGKILL at its earliest");
                self.excused_until.set(Some(signalled_at + EXCUSED_AFTER_TERM));
                self.killed_at.set(Some(now));
                return self.reap(context);
            }
            if signalled_at.elapsed() > MAX_DEADLINE + KILL_GRACE + EXIT_SLACK {
                return self.record_crash(context, "it does not end when told to");
            }
            Timer::after(POLL_INTERVAL).await;
        }
        let status = self.process.borrow_mut().as_mut().map(Process::exit_status);
        if !matches!(&status, Some(Ok(Some(status))) if status.success()) {
            return self.record_crash(context, &format!("it ended with {status:?}"));
        }
        self.reap(context);
    }

    /// Kills the process.
    pub fn kill(&self, context: &Context) {
        self.excused_until.set(None);
        self.killed_at.set(Some(Instant::now()));
        self.reap(context);
    }

    /// Stops the process (SIGSTOP) for this long.
    pub async fn pause(&self, duration: Duration) {
        if self.signal("STOP").is_ok() {
            Timer::after(duration).await;
            let _ = self.signal("CONT");
        }
    }

    /// Reloads the configuration with random variations, after an invalid one if `broken`.
    pub async fn reload(&self, context: &Context, spec: &Spec, discovery: &Discovery, broken: bool) {
        let variation = Variation {
            fields_swapped: context.chance(500),
            keepalive: context.chance(500).then(|| Duration::from_millis(100)),
            short_writes: context.chance(500),
        };
        context.audit.borrow_mut().note(self.number(), "SIGHUP");
        if broken && self.configure("{\"settings\": 7").is_ok() {
            let _ = self.signal("HUP");
            Timer::after(Duration::from_millis(context.random_below(20))).await;
        }
        self.variation.set(variation);
        let addresses = PoolerAddresses { discovery: self.agent.address(), ..self.addresses.clone() };
        let config =
            pooler_config(&addresses, spec.poolers, 1, &discovery.known_servers(&self.agent), variation);
        if self.configure(&config.to_string()).is_ok() {
            let _ = self.signal("HUP");
        }
    }

    fn configure(&self, text: &str) -> std::io::Result<()> {
        let process = self.process.borrow();
        process.as_ref().map_or(Err(Error::other("no process")), |process| process.write_config(text))
    }

    /// How often each kind of system call fault was injected, over all processes.
    #[must_use]
    pub fn shim_counts(&self) -> BTreeMap<String, u64> {
        let mut totals = BTreeMap::new();
        for path in self.shim_count_files.borrow().iter() {
            for pair in std::fs::read_to_string(path).unwrap_or_default().split_whitespace() {
                if let Some((name, Ok(count))) =
                    pair.split_once('=').map(|(name, count)| (name, count.parse::<u64>()))
                {
                    *totals.entry(name.to_owned()).or_default() += count;
                }
            }
        }
        totals
    }
}

/// The further signals of a stop with their times, the latest first.
fn further_signals(context: &Context, signalled_at: Instant) -> Vec<(Instant, &'static str)> {
    if !context.chance(SERIES_PER_MILLE) {
        return Vec::new();
    }
    let mut signals: Vec<_> = (0..=context.random_below(MAX_FURTHER_SIGNALS))
        .map(|_| {
            let delay = Duration::from_millis(context.random_below(SERIES_MS));
            let name = SERIES_SIGNALS[context.random_below(SERIES_SIGNALS.len() as u64) as usize];
            (signalled_at + delay, name)
        })
        .collect();
    signals.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    signals
}
