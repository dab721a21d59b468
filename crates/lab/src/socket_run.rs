//! A scenario on real sockets in real time: the same boxes, groups, list and clients as in virtual time, round the real
//! daemon. One thread has the model and does in the order of time what happens; others only read, and wait for clients.
//!
//! A box listens on a port of its own for each pooler, so that what comes there shows who sent it.

use crate::clients::{ClientConnection, statement_for};
use crate::pg_reply;
use crate::pooler::{Pooler, PoolerSetup, settings};
use hdrhistogram::Histogram;
use linnetdeal_core::{Effect, ListState, Need, Note, Role, Span, Time, Verdict};
use linnetdeal_fleet::audit::{self, Auditor, Freshness};
use linnetdeal_fleet::event_queue::EventQueue;
use linnetdeal_fleet::fleet::{Delivery, Fleet, FleetAction, FleetEvent, JobResult, ListChange};
use linnetdeal_fleet::record::{Record, RecordKind, Sink};
use linnetdeal_fleet::scenario::{Scenario, TroubleKind};
use linnetdeal_fleet::server::{Job, ServerState};
use linnetdeal_fleet::sim;
use linnetdeal_fleet::traffic::{ClientRequest, RETRY_WAIT_MS, Traffic};
use linnetdeal_net::pg::{self, write};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Beyond this one machine shows itself and not the poolers.
const MOST_BOXES: usize = 64;
const MOST_POOLERS: usize = 16;
const MOST_RATE: f64 = 3_000.0;
/// All that happens is kept until it is audited, some 400 bytes a request.
const MOST_SECONDS: f64 = 300.0;
/// Clients that wait at once; what is asked beyond it counts as never sent.
const MOST_OPEN: usize = 3_000;
/// From the first start until clients ask, and from the last request to the end.
const BEFORE: Duration = Duration::from_secs(1);
const AFTER: Duration = Duration::from_secs(6);
/// An attempt that its pooler gave up is known to be over when its connection is seen to end, up to this late.
const SEEN: Span = Span::millis(20);
/// What threads are late by on a busy machine, beside the model's own allowance: every limit is longer by this, as the
/// platform has it on sockets.
const LATE: Span = Span::millis(50);

/// Unix time in us, carried on by the steady clock.
#[derive(Clone, Copy)]
struct Clock {
    anchor: Instant,
    unix: Time,
}

impl Clock {
    fn now(&self) -> Time {
        self.unix + Span(i64::try_from(self.anchor.elapsed().as_micros()).unwrap_or(i64::MAX))
    }

    fn until(&self, at: Time) -> Duration {
        Duration::from_micros(u64::try_from((at - self.now()).0).unwrap_or(0))
    }
}

/// What the threads that read tell the one that has the model.
enum Input {
    /// A pooler has connected to a box.
    Opened { conn: u64, server: u32, router: u32, stream: TcpStream },
    /// Something came there whole; its first byte came at `first`.
    Came { conn: u64, first: Time, what: Asked },
    /// The pooler has closed it.
    Closed { conn: u64, at: Time },
    /// A pooler follows the list from this change on.
    Watch { router: u32, since: usize, lines: Sender<String> },
    /// A client did, or was told, something.
    Record(Record),
    /// A pooler was started.
    Started { router: u32, pooler: io::Result<Pooler> },
}

/// What is asked of a box.
enum Asked {
    Hello,
    Nothing,
    Report,
    Request { id: String, request: u64, class: usize, work: Span },
}

enum Event {
    Fleet(FleetEvent),
    Come { conn: u64, what: Asked },
    Write { conn: u64, bytes: Vec<u8>, over: Option<u64> },
    Shipped { conn: u64, life: u32, id: String, request: u64, commit: Time },
    Told { router: u32, change: usize },
    Kill { trouble: usize, router: u32 },
    Start { router: u32 },
}

struct Conn {
    server: u32,
    router: u32,
    life: u32,
    stream: TcpStream,
    /// What was sent on it and has no answer: at most one request, by its number.
    out: Option<u64>,
    /// What came while a request was out, or while the box stood still.
    held: Vec<Asked>,
}

#[derive(Clone)]
struct JobOf {
    conn: u64,
    id: String,
    request: u64,
    router: u32,
    class: usize,
}

/// What came of a rehearsal.
#[derive(Debug)]
pub struct SocketRun {
    /// First tries, by class.
    pub requests: Vec<u64>,
    /// Of these, those that were served, be it at a later try.
    pub served: Vec<u64>,
    /// From the first try to the answer, in us, by class.
    pub latency: Vec<Histogram<u64>>,
    /// First tries and served ones by the second in which they were asked.
    pub by_second: Vec<(u64, u64)>,
    /// What no client was free for.
    pub never_sent: u64,
    /// Boxes that fell.
    pub collapsed: u64,
    /// What the auditor says.
    pub audit_report: audit::AuditReport,
}

impl SocketRun {
    /// The share of all that was served.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        self.served.iter().sum::<u64>() as f64 / self.requests.iter().sum::<u64>().max(1) as f64
    }

    /// The same of a class.
    #[must_use]
    pub fn class_served_share(&self, class: usize) -> f64 {
        self.served[class] as f64 / self.requests[class].max(1) as f64
    }
}

/// Why a scenario can't be rehearsed on sockets.
///
/// # Errors
///
/// When it is larger than one machine can show.
pub fn check_limits(plan: &Scenario) -> io::Result<()> {
    if let Some(what) = plan.unsupported_on_sockets() {
        let words = format!("{}: {what} can't be on sockets; play it in virtual time", plan.name);
        return Err(io::Error::other(words));
    }
    let surges = plan.troubles.iter().filter(|of| of.what == TroubleKind::Surge).map(|of| of.factor);
    let rate = Traffic::new(plan).rate * surges.fold(1.0, f64::max);
    let boxes = plan.fleet.groups * plan.fleet.members;
    for (what, is, most) in [
        ("boxes", boxes as f64, MOST_BOXES as f64),
        ("poolers", plan.fleet.poolers as f64, MOST_POOLERS as f64),
        ("requests a second", rate, MOST_RATE),
        ("seconds", plan.traffic.lasts.0 as f64 / 1e6, MOST_SECONDS),
    ] {
        if is > most {
            return Err(io::Error::other(format!(
                "{}: {is:.0} {what} are too many for sockets, which stand {most:.0}; play it in virtual time",
                plan.name
            )));
        }
    }
    Ok(())
}

/// The settings of a scenario's poolers, in the platform's form.
fn daemon_settings(traffic: &Traffic) -> Value {
    let mut all = settings();
    let lanes = traffic.plans.iter().map(|plan| {
        let effect = if plan.class.effect == Effect::Unsafe { "fragile" } else { "retryable" };
        json!({"Name": plan.class.name, "Effect": effect, "Objective": plan.class.aim.0 as f64 / 1e3,
            "Deadline": plan.deadline.0 as f64 / 1e3, "Worth": plan.class.worth, "LateValue": plan.class.late_worth,
            "KeyScope": "all", "Stream": false})
    });
    all["Lanes"] = lanes.collect();
    all["FleetSize"] = traffic.poolers_per_group().into();
    all
}

fn operator(plan: &Scenario) -> Option<String> {
    let [planned, unplanned] = Fleet::expected(plan);
    let of = |of: linnetdeal_core::Expected| {
        format!("{{least: \"{}ms\", usual: \"{}ms\"}}", of.least.0 / 1_000, of.usual.0 / 1_000)
    };
    Some(format!(
        "package linnetdeal\n\nprimary: {{planned: {}, unplanned: {}}}\n",
        of(planned?),
        of(unplanned?)
    ))
}

struct Counts {
    requests: Vec<u64>,
    served: Vec<u64>,
    latency: Vec<Histogram<u64>>,
    by_second: Vec<(u64, u64)>,
}

/// What all threads share.
struct Shared {
    clock: Clock,
    begin: Time,
    inputs: Sender<Input>,
    next_conn: AtomicU64,
    next_request: AtomicU64,
    open: AtomicUsize,
    /// By box: it is gone, and nobody listens there.
    gone: Vec<AtomicBool>,
    over: AtomicBool,
    surge: Mutex<f64>,
    /// By pooler, where clients connect; `None` while it is away.
    doors: Vec<Mutex<Option<SocketAddr>>>,
    /// By pooler, clients' connections that are free.
    idle: Vec<Mutex<Vec<ClientConnection>>>,
    counts: Mutex<Counts>,
}

impl Shared {
    fn tell(&self, input: Input) {
        // After the end nobody listens any more.
        let _ = self.inputs.send(input);
    }

    fn record(&self, what: RecordKind, (a, b): (u32, u32), request: u64, x: i64, y: i64) {
        self.tell(Input::Record(Record { at: self.clock.now(), what, a, b, request, x, y }));
    }
}

/// Plays a scenario round the program at `program`.
///
/// # Errors
///
/// When it is too large, or something can't be started.
pub fn run_on_sockets(plan: &Scenario, program: &Path) -> io::Result<SocketRun> {
    check_limits(plan)?;
    let (inputs, told) = channel();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix = Time(i64::try_from(unix.as_micros()).unwrap_or(i64::MAX));
    let clock = Clock { anchor: Instant::now(), unix };
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let begin = clock.now();
    let fleet = Fleet::new(plan, begin, &mut rng);
    let traffic = Traffic::new(plan);
    let classes = traffic.plans.len();
    let histogram = || Histogram::new_with_bounds(1, 100_000_000, 3).map_err(io::Error::other);
    let seconds = (plan.traffic.lasts.0 / 1_000_000) as usize + 2;
    let shared = Arc::new(Shared {
        clock,
        begin,
        inputs,
        next_conn: AtomicU64::new(1),
        next_request: AtomicU64::new(1),
        open: AtomicUsize::new(0),
        gone: fleet.hosts.iter().map(|_| AtomicBool::new(false)).collect(),
        over: AtomicBool::new(false),
        surge: Mutex::new(1.0),
        doors: (0..plan.fleet.poolers).map(|_| Mutex::new(None)).collect(),
        idle: (0..plan.fleet.poolers).map(|_| Mutex::default()).collect(),
        counts: Mutex::new(Counts {
            requests: vec![0; classes],
            served: vec![0; classes],
            latency: (0..classes).map(|_| histogram()).collect::<io::Result<_>>()?,
            by_second: vec![(0, 0); seconds],
        }),
    });
    let mut stage = Stage::new(plan, program, &shared, fleet, traffic.clone(), rng)?;
    let mut effects = Vec::new();
    stage.fleet.schedule_troubles(&mut effects);
    stage.follow(effects);
    let clients = {
        let (shared, plan, traffic) = (shared.clone(), plan.clone(), traffic);
        std::thread::spawn(move || ask(&shared, &plan, &Arc::new(traffic)))
    };
    let end = shared.begin + plan.traffic.lasts + Span(AFTER.as_micros() as i64);
    stage.run(&told, end);
    shared.over.store(true, Ordering::SeqCst);
    let never_sent = clients.join().unwrap_or(0);
    // Answers that clients got last are still on their way here.
    while let Ok(input) = told.try_recv() {
        stage.take(input);
    }
    let collapsed = stage.fleet.collapsed;
    let audit_report = audit(plan, std::mem::take(&mut stage.records), end);
    let counts = std::mem::replace(
        &mut *crate::lock(&shared.counts),
        Counts { requests: vec![], served: vec![], latency: vec![], by_second: vec![] },
    );
    let Counts { requests, served, latency, by_second } = counts;
    Ok(SocketRun { requests, served, latency, by_second, never_sent, collapsed, audit_report })
}

/// Threads tell of what happened a little late and out of order: it is put in order first.
fn audit(plan: &Scenario, mut records: Vec<Record>, end: Time) -> audit::AuditReport {
    let mut rules = sim::rules(plan);
    rules.answer_slack = Span(rules.answer_slack.0 + LATE.0);
    rules.drain_grace = Span(rules.drain_grace.0 + LATE.0);
    for law in &mut rules.classes {
        if let Freshness::Bounded(bound) = &mut law.freshness {
            *bound = Span(bound.0 + LATE.0);
        }
    }
    records.sort_by_key(|of| of.at);
    let mut sent = HashMap::new();
    for record in &mut records {
        match record.what {
            RecordKind::Sent => drop(sent.insert((record.request, record.b), record.at)),
            RecordKind::Over => {
                let began = sent.get(&(record.request, record.b)).copied().unwrap_or(Time(0));
                record.at = (record.at + Span(-SEEN.0)).max(began + Span(1));
            }
            _ => {}
        }
    }
    records.sort_by_key(|of| of.at);
    let mut auditor = Auditor::new(rules);
    records.into_iter().for_each(|record| auditor.record(record));
    auditor.finish(end)
}

/// What has the model.
struct Stage<'p> {
    plan: &'p Scenario,
    program: &'p Path,
    shared: Arc<Shared>,
    fleet: Fleet,
    traffic: Traffic,
    rng: ChaCha8Rng,
    queue: EventQueue<Event>,
    conns: HashMap<u64, Conn>,
    jobs: HashMap<u64, JobOf>,
    next_job: u64,
    /// By box and pooler, where the box listens for it.
    ports: Vec<Vec<SocketAddr>>,
    poolers: Vec<Option<Pooler>>,
    discoveries: Vec<SocketAddr>,
    watches: Vec<Vec<Sender<String>>>,
    /// By pooler, the changes that it was told, or would have been.
    told: Vec<Vec<usize>>,
    records: Vec<Record>,
}

impl<'p> Stage<'p> {
    fn new(
        plan: &'p Scenario,
        program: &'p Path,
        shared: &Arc<Shared>,
        fleet: Fleet,
        traffic: Traffic,
        rng: ChaCha8Rng,
    ) -> io::Result<Self> {
        let poolers = plan.fleet.poolers;
        let mut ports = Vec::new();
        for server in 0..fleet.hosts.len() as u32 {
            let of = (0..poolers as u32).map(|router| listen(shared, server, router));
            ports.push(of.collect::<io::Result<Vec<_>>>()?);
        }
        let discoveries = (0..poolers as u32).map(|router| discovery(shared, router));
        let mut stage = Self {
            plan,
            program,
            shared: shared.clone(),
            fleet,
            traffic,
            rng,
            queue: EventQueue::default(),
            conns: HashMap::new(),
            jobs: HashMap::new(),
            next_job: 1,
            ports,
            poolers: (0..poolers).map(|_| None).collect(),
            discoveries: discoveries.collect::<io::Result<_>>()?,
            watches: (0..poolers).map(|_| Vec::new()).collect(),
            told: vec![Vec::new(); poolers],
            records: Vec::new(),
        };
        for router in 0..poolers as u32 {
            let pooler = stage.daemon(router)();
            stage.started(router, pooler)?;
        }
        Ok(stage)
    }

    /// What starts a pooler: it knows the list as it was at the beginning, and hears the rest from discovery.
    fn daemon(&self, router: u32) -> impl FnOnce() -> io::Result<Pooler> + Send + 'static {
        let instances = (0..self.fleet.hosts.len() as u32)
            .filter(|server| self.traffic.serves(router, self.fleet.hosts[*server as usize].group));
        let first = |server: u32| ListChange {
            server,
            state: ListState::Healthy,
            started: None,
            primary: self.fleet.hosts[server as usize].member == 0,
            number: 0,
        };
        let instances: Vec<Value> = instances.map(|server| self.entry(router, first(server))).collect();
        let known = json!({"generation": 1, "reset": true, "instances": instances});
        let setup = PoolerSetup {
            fleet_size: self.traffic.poolers_per_group(),
            sockets: 2_048,
            listen: None,
            discovery: Some(self.discoveries[router as usize]),
        };
        let (program, operator) = (self.program.to_owned(), operator(self.plan));
        let settings = daemon_settings(&self.traffic);
        move || Pooler::start_with_settings(&program, operator.as_deref(), &known, setup, settings)
    }

    fn started(&mut self, router: u32, pooler: io::Result<Pooler>) -> io::Result<()> {
        let pooler = pooler?;
        *crate::lock(&self.shared.doors[router as usize]) = Some(pooler.address);
        self.poolers[router as usize] = Some(pooler);
        Ok(())
    }

    fn entry(&self, router: u32, change: ListChange) -> Value {
        let host = &self.fleet.hosts[change.server as usize];
        let lifecycle = match change.state {
            ListState::Healthy => "up",
            ListState::Gone => "removed",
            _ => "draining",
        };
        json!({"instanceId": name(change.server),
            "hostPort": self.ports[change.server as usize][router as usize].to_string(),
            "zone": format!("z{}", host.zone), "machineType": "m1", "cell": host.group, "lifecycle": lifecycle,
            "weight": 1.0, "startedAtMs": change.started.map_or(0, |at| at.0 / 1_000),
            "part": if change.primary { "master" } else { "replica" }})
    }

    fn at(&mut self, at: Time, event: Event) {
        self.queue.schedule(at, event);
    }

    /// Something reaches the other side a way later.
    fn later(&mut self, router: u32, server: u32, event: Event) {
        let same = router as usize % self.plan.fleet.zones == self.fleet.hosts[server as usize].zone;
        let way = if same { self.plan.network.same } else { self.plan.network.cross };
        let way = way.times(0.85 + 0.3 * self.rng.random::<f64>());
        self.at(self.shared.clock.now() + way, event);
    }

    fn record(&mut self, what: RecordKind, (a, b): (u32, u32), request: u64, x: i64, y: i64) {
        self.records.push(Record { at: self.shared.clock.now(), what, a, b, request, x, y });
    }

    fn run(&mut self, told: &Receiver<Input>, end: Time) {
        loop {
            let now = self.shared.clock.now();
            if now >= end {
                return;
            }
            if self.queue.next_time().is_some_and(|at| at <= now) {
                if let Some((_, event)) = self.queue.pop() {
                    self.happens(event);
                }
                // What came meanwhile is not kept waiting by a row of events.
                while let Ok(input) = told.try_recv() {
                    self.take(input);
                }
                continue;
            }
            let next = self.queue.next_time().map_or(end, |at| at.min(end));
            match told.recv_timeout(self.shared.clock.until(next)) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Opened { conn, server, router, stream } => {
                let life = self.fleet.hosts[server as usize].incarnation;
                let held = Vec::new();
                self.conns.insert(conn, Conn { server, router, life, stream, out: None, held });
            }
            Input::Came { conn, first, what } => {
                let Some(of) = self.conns.get_mut(&conn) else { return };
                let (server, router) = (of.server, of.router);
                if let Asked::Request { request, .. } = &what {
                    let request = *request;
                    of.out = Some(request);
                    let (a, b) = (router, server);
                    self.records.push(Record {
                        at: first,
                        what: RecordKind::Sent,
                        a,
                        b,
                        request,
                        x: 0,
                        y: 0,
                    });
                }
                self.later(router, server, Event::Come { conn, what });
            }
            Input::Closed { conn, at } => {
                let Some(of) = self.conns.remove(&conn) else { return };
                if let Some(request) = of.out {
                    let (a, b) = (of.router, of.server);
                    self.records.push(Record { at, what: RecordKind::Over, a, b, request, x: 0, y: 0 });
                }
            }
            Input::Watch { router, since, lines } => {
                // The list as it was first has version 1.
                let missed = self.told[router as usize].iter().skip(since.saturating_sub(1));
                let missed: Vec<Value> =
                    missed.map(|change| self.entry(router, self.fleet.changes[*change])).collect();
                let generation = self.told[router as usize].len() + 1;
                let line = json!({"generation": generation, "reset": false, "instances": missed});
                let _ = lines.send(line.to_string());
                self.watches[router as usize].push(lines);
                for change in self.told[router as usize].clone().into_iter().skip(since.saturating_sub(1)) {
                    self.tells(router, change);
                }
            }
            Input::Record(record) => self.records.push(record),
            Input::Started { router, pooler } => {
                if let Err(error) = self.started(router, pooler) {
                    eprintln!("a pooler does not start again: {error}");
                }
            }
        }
    }

    fn tells(&mut self, router: u32, change: usize) {
        let change = self.fleet.changes[change];
        let up = i64::from(change.state == ListState::Healthy);
        self.record(RecordKind::Told, (router, change.server), 0, up, change.started.unwrap_or(Time(0)).0);
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Fleet(what) => {
                let mut effects = Vec::new();
                let now = self.shared.clock.now();
                self.fleet.handle(now, what, &mut self.rng, &mut effects);
                self.follow(effects);
            }
            Event::Come { conn, what } => self.come(conn, what),
            Event::Write { conn, bytes, over } => {
                let Some(of) = self.conns.get_mut(&conn) else { return };
                let (router, server) = (of.router, of.server);
                if over.is_some() {
                    of.out = None;
                }
                if let Some(request) = over {
                    self.record(RecordKind::Over, (router, server), request, 0, 0);
                }
                // Who has left takes no answer.
                if let Some(of) = self.conns.get_mut(&conn) {
                    let _ = of.stream.write_all(&bytes);
                    let held = std::mem::take(&mut of.held);
                    held.into_iter().for_each(|what| self.come(conn, what));
                }
            }
            Event::Shipped { conn, life, id, request, commit } => {
                let Some(of) = self.conns.get(&conn) else { return };
                let (server, router) = (of.server, of.router);
                if self.fleet.hosts[server as usize].incarnation != life {
                    return;
                }
                self.record(RecordKind::Kept, (router, server), request, commit.0, 0);
                let position = commit.0.div_euclid(1_000) + 1;
                let mut bytes = Vec::new();
                pg_reply::single_row(&mut bytes, format!("{id} {}", commit.0).as_bytes(), true, position);
                write::ready_for_query(&mut bytes);
                self.later(router, server, Event::Write { conn, bytes, over: Some(request) });
            }
            Event::Told { router, change } => {
                self.told[router as usize].push(change);
                let generation = self.told[router as usize].len() + 1;
                let entry = self.entry(router, self.fleet.changes[change]);
                let line =
                    json!({"generation": generation, "reset": false, "instances": [entry]}).to_string();
                let watches = &mut self.watches[router as usize];
                watches.retain(|lines| lines.send(line.clone()).is_ok());
                if !watches.is_empty() {
                    self.tells(router, change);
                }
            }
            Event::Kill { trouble, router } => {
                *crate::lock(&self.shared.doors[router as usize]) = None;
                crate::lock(&self.shared.idle[router as usize]).clear();
                if let Some(pooler) = self.poolers[router as usize].take() {
                    self.watches[router as usize].clear();
                    drop(pooler);
                    self.record(RecordKind::Killed, (router, 0), 0, 0, 0);
                    if let Some(away) = self.fleet.pooler_downtime(trouble) {
                        self.at(self.shared.clock.now() + away, Event::Start { router });
                    }
                }
            }
            Event::Start { router } => {
                let (start, shared) = (self.daemon(router), self.shared.clone());
                std::thread::spawn(move || shared.tell(Input::Started { router, pooler: start() }));
            }
        }
    }

    /// Sees to what follows from what happened to the boxes.
    fn follow(&mut self, effects: Vec<FleetAction>) {
        for effect in effects {
            match effect {
                FleetAction::Schedule(at, what) => self.at(at, Event::Fleet(what)),
                FleetAction::Record(what, server, request, x) => {
                    self.record(what, (0, server), request, x, 0)
                }
                // Its connection ends with the box.
                FleetAction::JobLost(job) => drop(self.jobs.remove(&job)),
                FleetAction::JobDone(server, job) => self.through(server, job),
                FleetAction::ListChanged(change, noticed) => {
                    let server = self.fleet.changes[change].server;
                    let group = self.fleet.hosts[server as usize].group;
                    for router in 0..self.poolers.len() as u32 {
                        if self.traffic.serves(router, group) {
                            self.at(
                                noticed + self.traffic.list_delay(router),
                                Event::Told { router, change },
                            );
                        }
                    }
                }
                FleetAction::StateChanged(server) => self.lives(server),
                FleetAction::KillPooler(at, trouble, router) => self.at(at, Event::Kill { trouble, router }),
                // No such list is on sockets: `check_limits` refuses it.
                FleetAction::ListOverbooked(_) => {}
                FleetAction::SetSurge(factor) => *crate::lock(&self.shared.surge) = factor,
            }
        }
    }

    /// A box has died, stands still, goes on or has started.
    fn lives(&mut self, server: u32) {
        let life = self.fleet.hosts[server as usize].server.state();
        let gone = matches!(life, ServerState::Dead | ServerState::Collapsed);
        if self.shared.gone[server as usize].swap(gone, Ordering::SeqCst) != gone && gone {
            for of in self.conns.values().filter(|of| of.server == server) {
                let _ = of.stream.shutdown(Shutdown::Both);
            }
            // Those who wait for connections there look up.
            for port in &self.ports[server as usize] {
                drop(TcpStream::connect(port));
            }
        }
        if life == ServerState::Up {
            let held = self.conns.iter_mut().filter(|(_, of)| of.server == server);
            let held: Vec<(u64, Vec<Asked>)> =
                held.map(|(conn, of)| (*conn, std::mem::take(&mut of.held))).collect();
            for (conn, held) in held {
                held.into_iter().for_each(|what| self.come(conn, what));
            }
        }
    }

    /// Something has come to a box.
    fn come(&mut self, conn: u64, what: Asked) {
        let Some(of) = self.conns.get_mut(&conn) else { return };
        let (server, router, life) = (of.server, of.router, of.life);
        let host = &self.fleet.hosts[server as usize];
        if host.incarnation != life
            || matches!(host.server.state(), ServerState::Dead | ServerState::Collapsed)
        {
            let _ = of.stream.shutdown(Shutdown::Both);
            return;
        }
        // A connection is answered in order, and by who stands still not at all.
        let busy = of.out.is_some() || matches!(host.server.state(), ServerState::Paused(_));
        if busy && !matches!(what, Asked::Request { .. }) {
            of.held.push(what);
            return;
        }
        let now = self.shared.clock.now();
        let mut bytes = Vec::new();
        match what {
            Asked::Hello => write::session_start(&mut bytes, 1, 1),
            Asked::Nothing => {
                write::empty_query_response(&mut bytes);
                write::ready_for_query(&mut bytes);
            }
            Asked::Report => {
                let [position, primary, _] = self.fleet.report(server, now).unwrap_or_default();
                let position = position + self.shared.begin.0 as f64 / 1e6;
                let note = self.fleet.note(server, now);
                answer(&mut bytes, format!("x0={position:.3},x1={primary}").as_bytes(), note);
            }
            Asked::Request { id, request, class, work } => {
                self.record(RecordKind::Came, (router, server), request, work.0, 0);
                let job = self.next_job;
                self.next_job += 1;
                self.jobs.insert(job, JobOf { conn, id, request, router, class });
                let write = self.traffic.plans[class].class.need == Need::Write;
                let (mut effects, job_of) = (Vec::new(), Job { id: job, work });
                let came = self.fleet.deliver(now, server, job_of, write, &mut self.rng, &mut effects);
                match came {
                    Delivery::Accepted => {}
                    Delivery::ConnectionLost => {
                        self.jobs.remove(&job);
                        if let Some(of) = self.conns.get(&conn) {
                            let _ = of.stream.shutdown(Shutdown::Both);
                        }
                    }
                    Delivery::Answered(verdict, note) => {
                        self.jobs.remove(&job);
                        refusal(&mut bytes, verdict, note);
                        self.later(router, server, Event::Write { conn, bytes, over: Some(request) });
                    }
                }
                return self.follow(effects);
            }
        }
        self.later(router, server, Event::Write { conn, bytes, over: None });
    }

    /// A job is through. Work goes on though its pooler has left.
    fn through(&mut self, server: u32, job: u64) {
        let Some(JobOf { conn, id, request, router, class }) = self.jobs.remove(&job) else { return };
        let write = self.traffic.plans[class].class.need == Need::Write;
        let (now, life) = (self.shared.clock.now(), self.fleet.hosts[server as usize].incarnation);
        let mut bytes = Vec::new();
        match self.fleet.finish(now, server, write) {
            JobResult::Read(note, position) => {
                answer(&mut bytes, format!("{id} {}", position.0).as_bytes(), note);
            }
            JobResult::RoleLost(note) => refusal(&mut bytes, Verdict::Error, note),
            JobResult::Committed(commit) => {
                self.record(RecordKind::Ran, (router, server), request, commit.0, 0);
                let event = Event::Shipped { conn, life, id, request, commit };
                return self.at(now + self.fleet.ship(), event);
            }
        }
        self.later(router, server, Event::Write { conn, bytes, over: Some(request) });
    }
}

fn name(server: u32) -> String {
    format!("b-{server:06}")
}

fn answer(out: &mut Vec<u8>, value: &[u8], note: Note) {
    let position = note.position.map_or(0, |at| at.0 / 1_000);
    pg_reply::single_row(out, value, note.role == Some(Role::Primary), position);
    write::ready_for_query(out);
}

fn refusal(out: &mut Vec<u8>, verdict: Verdict, note: Note) {
    let (code, words) = match verdict {
        Verdict::Full => ("53300", "full"),
        Verdict::Miss => ("25006", "read only"),
        _ => ("XX000", "lost its role"),
    };
    write::error_response(out, write::Severity::Error, code, words, None);
    let position = note.position.map_or(0, |at| at.0 / 1_000);
    pg_reply::status_parameters(out, note.role == Some(Role::Primary), position);
    write::ready_for_query(out);
}

/// A box's port for a pooler. While the box is gone nobody listens there.
fn listen(shared: &Arc<Shared>, server: u32, router: u32) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let shared = shared.clone();
    std::thread::spawn(move || {
        let mut listener = Some(listener);
        while !shared.over.load(Ordering::SeqCst) {
            if shared.gone[server as usize].load(Ordering::SeqCst) {
                listener = None;
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Some(door) = &listener else {
                listener = TcpListener::bind(address).ok();
                continue;
            };
            let Ok((stream, _)) = door.accept() else { continue };
            if shared.gone[server as usize].load(Ordering::SeqCst) {
                continue;
            }
            let conn = shared.next_conn.fetch_add(1, Ordering::Relaxed);
            let Ok(write) = stream.try_clone() else { continue };
            let _ = stream.set_nodelay(true);
            shared.tell(Input::Opened { conn, server, router, stream: write });
            let shared = shared.clone();
            let builder = std::thread::Builder::new().stack_size(128 * 1024);
            let _ = builder.spawn(move || {
                let _ = read(&shared, conn, stream);
                shared.tell(Input::Closed { conn, at: shared.clock.now() });
            });
        }
    });
    Ok(address)
}

/// Reads what a pooler sends, until it leaves or makes no sense.
fn read(shared: &Shared, conn: u64, mut stream: TcpStream) -> io::Result<()> {
    let (mut data, mut bytes) = (Vec::new(), [0; 8 * 1024]);
    let (mut greeted, mut first) = (false, None);
    let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
    loop {
        if !greeted {
            if let Some((_, size)) = pg::startup(&data).map_err(bad)? {
                data.drain(..size);
                greeted = true;
                shared.tell(Input::Came { conn, first: shared.clock.now(), what: Asked::Hello });
                first = None;
            }
        }
        while let Some(message) = pg::message(&data).map_err(bad)?.filter(|_| greeted) {
            let size = message.size;
            if message.tag != b'Q' {
                return Ok(());
            }
            let statement = pg::query_text(message.body).map_err(bad)?;
            let what = asked(statement).ok_or(io::ErrorKind::InvalidData)?;
            let at = first.take().unwrap_or_else(|| shared.clock.now());
            shared.tell(Input::Came { conn, first: at, what });
            data.drain(..size);
        }
        match stream.read(&mut bytes)? {
            0 => return Ok(()),
            count => {
                first.get_or_insert_with(|| shared.clock.now());
                data.extend_from_slice(&bytes[..count]);
            }
        }
    }
}

/// What a statement asks: the id holds the request's number and its work, and both go on unchanged.
fn asked(statement: &str) -> Option<Asked> {
    if statement.is_empty() {
        return Some(Asked::Nothing);
    }
    if statement.starts_with("SHOW") {
        return Some(Asked::Report);
    }
    let id = crate::boxes::comment_field(statement, "id")?;
    let (request, work) = id.split_once('w')?;
    let class = crate::boxes::comment_field(statement, "c")?;
    let class = crate::clients::CLASSES.iter().position(|of| *of == class)?;
    Some(Asked::Request {
        request: request.parse().ok()?,
        work: Span(work.parse().ok()?),
        class,
        id: id.to_owned(),
    })
}

/// Discovery for one pooler.
fn discovery(shared: &Arc<Shared>, router: u32) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let shared = shared.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), shared) = (stream, shared.clone()) else { continue };
            std::thread::spawn(move || {
                let _ = watch(&shared, router, stream);
            });
        }
    });
    Ok(address)
}

fn watch(shared: &Shared, router: u32, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = BufReader::new(stream.try_clone()?).lines();
    let first = head.next().ok_or(io::ErrorKind::UnexpectedEof)??;
    while head.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    let since = first.split_once("since=").map_or("", |(_, rest)| rest);
    let digits = since.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(since.len());
    let (lines, told) = channel();
    shared.tell(Input::Watch { router, since: since[..digits].parse().unwrap_or(0), lines });
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    loop {
        let line = match told.recv_timeout(Duration::from_secs(2)) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => String::new(),
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        };
        stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
    }
}

/// Asks at the scenario's rate, each client in a thread of its own while it waits. Gives what was never sent.
fn ask(shared: &Arc<Shared>, plan: &Scenario, traffic: &Arc<Traffic>) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5eed);
    let until = shared.begin + plan.traffic.lasts;
    let mut at = shared.begin + Span(BEFORE.as_micros() as i64);
    let (mut never, mut waiting) = (0, Vec::new());
    loop {
        let surge = *crate::lock(&shared.surge);
        at = at + traffic.gap(surge, &mut rng);
        if at >= until {
            break;
        }
        let (drawn, seed) = (traffic.draw(&mut rng), rng.random());
        std::thread::sleep(shared.clock.until(at));
        {
            let mut counts = crate::lock(&shared.counts);
            counts.requests[drawn.class] += 1;
            let second = ((at - shared.begin).0 / 1_000_000) as usize;
            if let Some(of) = counts.by_second.get_mut(second) {
                of.0 += 1;
            }
        }
        if shared.open.fetch_add(1, Ordering::SeqCst) >= MOST_OPEN {
            shared.open.fetch_sub(1, Ordering::SeqCst);
            never += 1;
            continue;
        }
        let (own, traffic, retries) = (shared.clone(), traffic.clone(), plan.traffic.retries);
        let work = move || {
            client(&own, &traffic, drawn, at, retries, seed);
            own.open.fetch_sub(1, Ordering::SeqCst);
        };
        match std::thread::Builder::new().stack_size(128 * 1024).spawn(work) {
            Ok(thread) => waiting.push(thread),
            Err(_) => {
                shared.open.fetch_sub(1, Ordering::SeqCst);
                never += 1;
            }
        }
        if waiting.len() > 2 * MOST_OPEN {
            waiting.retain(|of| !of.is_finished());
        }
    }
    waiting.into_iter().for_each(|of| drop(of.join()));
    never
}

/// A client with all its tries.
fn client(shared: &Shared, traffic: &Traffic, drawn: ClientRequest, asked: Time, retries: u32, seed: u64) {
    let ClientRequest { class, session, group, router, work, .. } = drawn;
    let plan = &traffic.plans[class];
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let deadline = asked + plan.deadline;
    for left in (0..=retries).rev() {
        let now = shared.clock.now();
        let door = *crate::lock(&shared.doors[router as usize]);
        let (Some(door), true) = (door, now < deadline) else { return };
        let free = crate::lock(&shared.idle[router as usize]).pop();
        let mut wire =
            free.filter(|wire| wire.address() == door).unwrap_or_else(|| ClientConnection::new(door));
        let wait = Duration::from_micros((deadline - now).0.unsigned_abs());
        if wire.open(Instant::now() + wait).is_err() {
            return;
        }
        let request = shared.next_request.fetch_add(1, Ordering::Relaxed);
        let id = format!("{request}w{}", work.0);
        let b = class as u32 + 256 * group;
        let session_of = i64::try_from(session).unwrap_or(i64::MAX);
        shared.record(RecordKind::Asked, (router, b), request, deadline.0, session_of);
        let text = statement_for(class, &format!("acc{session}"), &id, wait, group);
        let answer = wire.exchange(&text, Instant::now() + wait);
        let Ok((how, value)) = answer else {
            return;
        };
        let told = wire.retry_after.take();
        crate::lock(&shared.idle[router as usize]).push(wire);
        match how.as_str() {
            "served" => {
                let value = value.unwrap_or_default();
                let own = value.split_once(' ').filter(|(of, _)| *of == id);
                // Another's answer is no answer: it never comes, for the auditor.
                let Some(position) = own.and_then(|(_, position)| position.parse().ok()) else { return };
                shared.record(RecordKind::Served, (router, b), request, position, 0);
                let now = shared.clock.now();
                let mut counts = crate::lock(&shared.counts);
                counts.served[class] += 1;
                counts.latency[class].saturating_record((now - asked).0.max(1).unsigned_abs());
                let second = ((asked - shared.begin).0 / 1_000_000) as usize;
                if let Some(of) = counts.by_second.get_mut(second) {
                    of.1 += 1;
                }
                return;
            }
            "refused" => shared.record(RecordKind::Refused, (router, b), request, 0, 0),
            _ => {
                shared.record(RecordKind::Failed, (router, b), request, 0, 0);
                if plan.class.effect != Effect::Safe {
                    return;
                }
            }
        }
        if left == 0 {
            return;
        }
        let least = Duration::from_millis(rng.random_range(RETRY_WAIT_MS).unsigned_abs());
        std::thread::sleep(least.max(told.unwrap_or_default()));
    }
}
