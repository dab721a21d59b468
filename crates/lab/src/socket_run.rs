//! Runs a scenario on real sockets in real time: the same servers, groups, server list and clients as in virtual time,
//! around real processes of the daemon. One thread owns the model and processes events in the order of time; the other
//! threads only read from sockets and run clients.
//!
//! A server listens on a separate port for each pooler, so that the port identifies the sender of a statement.

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

/// Limits of a run: beyond them the machine is measured rather than the poolers.
const MAX_BOXES: usize = 64;
const MAX_POOLERS: usize = 16;
const MAX_RATE: f64 = 3_000.0;
/// Maximum duration of a run. All records are kept until the audit, about 400 bytes per request.
const MAX_SECONDS: f64 = 300.0;
/// Maximum number of requests in progress; requests beyond it count as never sent.
const MAX_OPEN_REQUESTS: usize = 3_000;
/// Time from the start of the run until the first request.
const START_DELAY: Duration = Duration::from_secs(1);
/// Time from the last request to the end of the run.
const END_DELAY: Duration = Duration::from_secs(6);
/// The end of an attempt that its pooler gave up is seen when its connection closes, late by up to this time.
const CLOSE_DETECTION_DELAY: Span = Span::millis(20);
/// Delay of threads on a busy machine, in addition to the model's own allowance. The audit extends every limit by it.
const SCHEDULING_DELAY: Span = Span::millis(50);

/// Unix time in us, advanced by the monotonic clock.
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

/// Messages from the other threads to the thread that owns the model.
enum Input {
    /// A pooler has connected to a server.
    Opened { conn: u64, server: u32, router: u32, stream: TcpStream },
    /// A complete statement was received; its first byte arrived at `first`.
    Received { conn: u64, first: Time, what: ServerRequest },
    /// The pooler has closed the connection.
    Closed { conn: u64, at: Time },
    /// A pooler watches the server list from this version on.
    Watch { router: u32, since: usize, lines: Sender<String> },
    /// A record of a client.
    Record(Record),
    /// A pooler was restarted, or its start failed.
    Started { router: u32, pooler: io::Result<Pooler> },
}

/// What a pooler sends to a server.
enum ServerRequest {
    Startup,
    EmptyQuery,
    Report,
    Request { id: String, request: u64, class: usize, work: Span },
}

/// Events in the queue of the thread that owns the model.
enum Event {
    Fleet(FleetEvent),
    Deliver { conn: u64, what: ServerRequest },
    Write { conn: u64, bytes: Vec<u8>, finishes: Option<u64> },
    Replicated { conn: u64, incarnation: u32, id: String, request: u64, commit: Time },
    PublishChange { router: u32, change: usize },
    Kill { trouble: usize, router: u32 },
    Start { router: u32 },
}

/// A pooler's connection to a server.
struct Connection {
    server: u32,
    router: u32,
    incarnation: u32,
    stream: TcpStream,
    /// Number of the request on it that has no answer yet; there is at most one.
    in_flight: Option<u64>,
    /// Statements received while a request was in progress or the server was paused.
    queued: Vec<ServerRequest>,
}

/// The request behind a job of the model.
#[derive(Clone)]
struct PendingJob {
    conn: u64,
    id: String,
    request: u64,
    router: u32,
    class: usize,
}

/// Result of a run on sockets.
#[derive(Debug)]
pub struct SocketRun {
    /// First tries of requests, by class.
    pub requests: Vec<u64>,
    /// Requests served, at the first or a later try, by class.
    pub served: Vec<u64>,
    /// Latency from the first try to the answer, in us, by class.
    pub latency: Vec<Histogram<u64>>,
    /// First tries and served requests, by the second of the first try.
    pub by_second: Vec<(u64, u64)>,
    /// Requests that were not sent because too many were in progress.
    pub never_sent: u64,
    /// Number of servers that collapsed.
    pub collapsed: u64,
    /// Report of the auditor.
    pub audit_report: audit::AuditReport,
}

impl SocketRun {
    /// Served share of all requests.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        self.served.iter().sum::<u64>() as f64 / self.requests.iter().sum::<u64>().max(1) as f64
    }

    /// Served share of the requests of a class.
    #[must_use]
    pub fn class_served_share(&self, class: usize) -> f64 {
        self.served[class] as f64 / self.requests[class].max(1) as f64
    }
}

/// Checks whether a scenario can be run on sockets.
///
/// # Errors
///
/// When the scenario exceeds the limits of one machine, or has a feature that is not supported on sockets.
pub fn check_limits(plan: &Scenario) -> io::Result<()> {
    if let Some(what) = plan.unsupported_on_sockets() {
        let message = format!("{}: {what} is not supported on sockets; run it in virtual time", plan.name);
        return Err(io::Error::other(message));
    }
    let surges = plan
        .troubles
        .iter()
        .filter(|trouble| trouble.what == TroubleKind::Surge)
        .map(|trouble| trouble.factor);
    let rate = Traffic::new(plan).rate * surges.fold(1.0, f64::max);
    let boxes = plan.fleet.groups * plan.fleet.members;
    for (what, is, most) in [
        ("boxes", boxes as f64, MAX_BOXES as f64),
        ("poolers", plan.fleet.poolers as f64, MAX_POOLERS as f64),
        ("requests a second", rate, MAX_RATE),
        ("seconds", plan.traffic.lasts.0 as f64 / 1e6, MAX_SECONDS),
    ] {
        if is > most {
            return Err(io::Error::other(format!(
                "{}: {is:.0} {what} exceed the limit of {most:.0} on sockets; run it in virtual time",
                plan.name
            )));
        }
    }
    Ok(())
}

/// Settings of a scenario's poolers, in the platform's format.
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

/// The operator's configuration of a scenario's poolers; `None` if the scenario expects no durations of changes of
/// primary.
fn operator_config(plan: &Scenario) -> Option<String> {
    let [planned, unplanned] = Fleet::expected(plan);
    let duration = |expected: linnetdeal_core::Expected| {
        format!("{{least: \"{}ms\", usual: \"{}ms\"}}", expected.least.0 / 1_000, expected.usual.0 / 1_000)
    };
    Some(format!(
        "package linnetdeal\n\nprimary: {{planned: {}, unplanned: {}}}\n",
        duration(planned?),
        duration(unplanned?)
    ))
}

/// Counts of the clients' requests.
struct Counts {
    requests: Vec<u64>,
    served: Vec<u64>,
    latency: Vec<Histogram<u64>>,
    by_second: Vec<(u64, u64)>,
}

/// State shared by all threads.
struct Shared {
    clock: Clock,
    begin: Time,
    inputs: Sender<Input>,
    next_connection: AtomicU64,
    next_request: AtomicU64,
    open_requests: AtomicUsize,
    /// By server: whether it is down, so that its ports are closed.
    down: Vec<AtomicBool>,
    finished: AtomicBool,
    surge: Mutex<f64>,
    /// By pooler: the address for clients, `None` while the pooler is not running.
    pooler_addresses: Vec<Mutex<Option<SocketAddr>>>,
    /// By pooler: idle connections of clients.
    idle_connections: Vec<Mutex<Vec<ClientConnection>>>,
    counts: Mutex<Counts>,
}

impl Shared {
    fn send(&self, input: Input) {
        // After the end of the run the receiver is gone, and messages are dropped.
        let _ = self.inputs.send(input);
    }

    fn record(&self, what: RecordKind, (a, b): (u32, u32), request: u64, x: i64, y: i64) {
        self.send(Input::Record(Record { at: self.clock.now(), what, a, b, request, x, y }));
    }
}

/// Runs a scenario on sockets with the program at `program`.
///
/// # Errors
///
/// When the scenario exceeds the limits, or a server or pooler can't be started.
pub fn run_on_sockets(plan: &Scenario, program: &Path) -> io::Result<SocketRun> {
    check_limits(plan)?;
    let (inputs, input_receiver) = channel();
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
        next_connection: AtomicU64::new(1),
        next_request: AtomicU64::new(1),
        open_requests: AtomicUsize::new(0),
        down: fleet.hosts.iter().map(|_| AtomicBool::new(false)).collect(),
        finished: AtomicBool::new(false),
        surge: Mutex::new(1.0),
        pooler_addresses: (0..plan.fleet.poolers).map(|_| Mutex::new(None)).collect(),
        idle_connections: (0..plan.fleet.poolers).map(|_| Mutex::default()).collect(),
        counts: Mutex::new(Counts {
            requests: vec![0; classes],
            served: vec![0; classes],
            latency: (0..classes).map(|_| histogram()).collect::<io::Result<_>>()?,
            by_second: vec![(0, 0); seconds],
        }),
    });
    let mut runner = Runner::new(plan, program, &shared, fleet, traffic.clone(), rng)?;
    let mut actions = Vec::new();
    runner.fleet.schedule_troubles(&mut actions);
    runner.apply_actions(actions);
    let clients = {
        let (shared, plan, traffic) = (shared.clone(), plan.clone(), traffic);
        std::thread::spawn(move || generate_requests(&shared, &plan, &Arc::new(traffic)))
    };
    let end = shared.begin + plan.traffic.lasts + Span(END_DELAY.as_micros() as i64);
    runner.run(&input_receiver, end);
    shared.finished.store(true, Ordering::SeqCst);
    let never_sent = clients.join().unwrap_or(0);
    // The records of the last answers may still be in the channel.
    while let Ok(input) = input_receiver.try_recv() {
        runner.handle_input(input);
    }
    let collapsed = runner.fleet.collapsed;
    let audit_report = audit_records(plan, std::mem::take(&mut runner.records), end);
    let counts = std::mem::replace(
        &mut *crate::lock(&shared.counts),
        Counts { requests: vec![], served: vec![], latency: vec![], by_second: vec![] },
    );
    let Counts { requests, served, latency, by_second } = counts;
    Ok(SocketRun { requests, served, latency, by_second, never_sent, collapsed, audit_report })
}

/// Audits the records. Threads report slightly late and out of order, so the records are sorted first.
fn audit_records(plan: &Scenario, mut records: Vec<Record>, end: Time) -> audit::AuditReport {
    let mut rules = sim::rules(plan);
    rules.answer_slack = Span(rules.answer_slack.0 + SCHEDULING_DELAY.0);
    rules.drain_grace = Span(rules.drain_grace.0 + SCHEDULING_DELAY.0);
    for class in &mut rules.classes {
        if let Freshness::Bounded(bound) = &mut class.freshness {
            *bound = Span(bound.0 + SCHEDULING_DELAY.0);
        }
    }
    records.sort_by_key(|record| record.at);
    let mut sent = HashMap::new();
    for record in &mut records {
        match record.what {
            RecordKind::Sent => drop(sent.insert((record.request, record.b), record.at)),
            RecordKind::Over => {
                let began = sent.get(&(record.request, record.b)).copied().unwrap_or(Time(0));
                record.at = (record.at + Span(-CLOSE_DETECTION_DELAY.0)).max(began + Span(1));
            }
            _ => {}
        }
    }
    records.sort_by_key(|record| record.at);
    let mut auditor = Auditor::new(rules);
    records.into_iter().for_each(|record| auditor.record(record));
    auditor.finish(end)
}

/// State of the thread that owns the model.
struct Runner<'p> {
    plan: &'p Scenario,
    program: &'p Path,
    shared: Arc<Shared>,
    fleet: Fleet,
    traffic: Traffic,
    rng: ChaCha8Rng,
    queue: EventQueue<Event>,
    connections: HashMap<u64, Connection>,
    jobs: HashMap<u64, PendingJob>,
    next_job: u64,
    /// By server and pooler: the address at which the server listens for the pooler.
    ports: Vec<Vec<SocketAddr>>,
    poolers: Vec<Option<Pooler>>,
    discoveries: Vec<SocketAddr>,
    watches: Vec<Vec<Sender<String>>>,
    /// By pooler: the list changes published to it, whether it was watching or not.
    published_changes: Vec<Vec<usize>>,
    records: Vec<Record>,
}

impl<'p> Runner<'p> {
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
            let addresses = (0..poolers as u32).map(|router| start_listener(shared, server, router));
            ports.push(addresses.collect::<io::Result<Vec<_>>>()?);
        }
        let discoveries = (0..poolers as u32).map(|router| start_discovery(shared, router));
        let mut runner = Self {
            plan,
            program,
            shared: shared.clone(),
            fleet,
            traffic,
            rng,
            queue: EventQueue::default(),
            connections: HashMap::new(),
            jobs: HashMap::new(),
            next_job: 1,
            ports,
            poolers: (0..poolers).map(|_| None).collect(),
            discoveries: discoveries.collect::<io::Result<_>>()?,
            watches: (0..poolers).map(|_| Vec::new()).collect(),
            published_changes: vec![Vec::new(); poolers],
            records: Vec::new(),
        };
        for router in 0..poolers as u32 {
            let pooler = runner.pooler_starter(router)();
            runner.pooler_started(router, pooler)?;
        }
        Ok(runner)
    }

    /// Returns a function that starts a pooler with the initial server list; it gets later changes from discovery.
    fn pooler_starter(&self, router: u32) -> impl FnOnce() -> io::Result<Pooler> + Send + 'static {
        let instances = (0..self.fleet.hosts.len() as u32)
            .filter(|server| self.traffic.serves(router, self.fleet.hosts[*server as usize].group));
        let initial = |server: u32| ListChange {
            server,
            state: ListState::Healthy,
            started: None,
            primary: self.fleet.hosts[server as usize].member == 0,
            number: 0,
        };
        let instances: Vec<Value> =
            instances.map(|server| self.list_entry(router, initial(server))).collect();
        let initial_list = json!({"generation": 1, "reset": true, "instances": instances});
        let setup = PoolerSetup {
            fleet_size: self.traffic.poolers_per_group(),
            sockets: 2_048,
            listen: None,
            discovery: Some(self.discoveries[router as usize]),
        };
        let (program, operator) = (self.program.to_owned(), operator_config(self.plan));
        let settings = daemon_settings(&self.traffic);
        move || Pooler::start_with_settings(&program, operator.as_deref(), &initial_list, setup, settings)
    }

    fn pooler_started(&mut self, router: u32, pooler: io::Result<Pooler>) -> io::Result<()> {
        let pooler = pooler?;
        *crate::lock(&self.shared.pooler_addresses[router as usize]) = Some(pooler.address);
        self.poolers[router as usize] = Some(pooler);
        Ok(())
    }

    fn list_entry(&self, router: u32, change: ListChange) -> Value {
        let host = &self.fleet.hosts[change.server as usize];
        let lifecycle = match change.state {
            ListState::Healthy => "up",
            ListState::Gone => "removed",
            _ => "draining",
        };
        json!({"instanceId": member_name(change.server),
            "hostPort": self.ports[change.server as usize][router as usize].to_string(),
            "zone": format!("z{}", host.zone), "machineType": "m1", "cell": host.group, "lifecycle": lifecycle,
            "weight": 1.0, "startedAtMs": change.started.map_or(0, |at| at.0 / 1_000),
            "part": if change.primary { "master" } else { "replica" }})
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.queue.schedule(at, event);
    }

    /// Schedules an event after the network latency between the pooler and the server.
    fn schedule_delivery(&mut self, router: u32, server: u32, event: Event) {
        let same = router as usize % self.plan.fleet.zones == self.fleet.hosts[server as usize].zone;
        let latency = if same { self.plan.network.same } else { self.plan.network.cross };
        let latency = latency.times(0.85 + 0.3 * self.rng.random::<f64>());
        self.schedule(self.shared.clock.now() + latency, event);
    }

    fn record(&mut self, what: RecordKind, (a, b): (u32, u32), request: u64, x: i64, y: i64) {
        self.records.push(Record { at: self.shared.clock.now(), what, a, b, request, x, y });
    }

    fn run(&mut self, input_receiver: &Receiver<Input>, end: Time) {
        loop {
            let now = self.shared.clock.now();
            if now >= end {
                return;
            }
            if self.queue.next_time().is_some_and(|at| at <= now) {
                if let Some((_, event)) = self.queue.pop() {
                    self.handle_event(event);
                }
                // Messages are handled between events, so that a long series of events does not delay them.
                while let Ok(input) = input_receiver.try_recv() {
                    self.handle_input(input);
                }
                continue;
            }
            let next = self.queue.next_time().map_or(end, |at| at.min(end));
            match input_receiver.recv_timeout(self.shared.clock.until(next)) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Opened { conn, server, router, stream } => {
                let incarnation = self.fleet.hosts[server as usize].incarnation;
                let queued = Vec::new();
                self.connections.insert(
                    conn,
                    Connection { server, router, incarnation, stream, in_flight: None, queued },
                );
            }
            Input::Received { conn, first, what } => {
                let Some(connection) = self.connections.get_mut(&conn) else { return };
                let (server, router) = (connection.server, connection.router);
                if let ServerRequest::Request { request, .. } = &what {
                    let request = *request;
                    connection.in_flight = Some(request);
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
                self.schedule_delivery(router, server, Event::Deliver { conn, what });
            }
            Input::Closed { conn, at } => {
                let Some(connection) = self.connections.remove(&conn) else { return };
                if let Some(request) = connection.in_flight {
                    let (a, b) = (connection.router, connection.server);
                    self.records.push(Record { at, what: RecordKind::Over, a, b, request, x: 0, y: 0 });
                }
            }
            Input::Watch { router, since, lines } => {
                // The initial list has version 1.
                let missed = self.published_changes[router as usize].iter().skip(since.saturating_sub(1));
                let missed: Vec<Value> =
                    missed.map(|change| self.list_entry(router, self.fleet.changes[*change])).collect();
                let generation = self.published_changes[router as usize].len() + 1;
                let line = json!({"generation": generation, "reset": false, "instances": missed});
                let _ = lines.send(line.to_string());
                self.watches[router as usize].push(lines);
                for change in
                    self.published_changes[router as usize].clone().into_iter().skip(since.saturating_sub(1))
                {
                    self.record_list_change(router, change);
                }
            }
            Input::Record(record) => self.records.push(record),
            Input::Started { router, pooler } => {
                if let Err(error) = self.pooler_started(router, pooler) {
                    eprintln!("cannot restart a pooler: {error}");
                }
            }
        }
    }

    fn record_list_change(&mut self, router: u32, change: usize) {
        let change = self.fleet.changes[change];
        let up = i64::from(change.state == ListState::Healthy);
        self.record(RecordKind::Told, (router, change.server), 0, up, change.started.unwrap_or(Time(0)).0);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Fleet(what) => {
                let mut actions = Vec::new();
                let now = self.shared.clock.now();
                self.fleet.handle(now, what, &mut self.rng, &mut actions);
                self.apply_actions(actions);
            }
            Event::Deliver { conn, what } => self.handle_request(conn, what),
            Event::Write { conn, bytes, finishes } => {
                let Some(connection) = self.connections.get_mut(&conn) else { return };
                let (router, server) = (connection.router, connection.server);
                if finishes.is_some() {
                    connection.in_flight = None;
                }
                if let Some(request) = finishes {
                    self.record(RecordKind::Over, (router, server), request, 0, 0);
                }
                // A closed connection gets no answer.
                if let Some(connection) = self.connections.get_mut(&conn) {
                    let _ = connection.stream.write_all(&bytes);
                    let queued = std::mem::take(&mut connection.queued);
                    queued.into_iter().for_each(|what| self.handle_request(conn, what));
                }
            }
            Event::Replicated { conn, incarnation, id, request, commit } => {
                let Some(connection) = self.connections.get(&conn) else { return };
                let (server, router) = (connection.server, connection.router);
                if self.fleet.hosts[server as usize].incarnation != incarnation {
                    return;
                }
                self.record(RecordKind::Kept, (router, server), request, commit.0, 0);
                let position = commit.0.div_euclid(1_000) + 1;
                let mut bytes = Vec::new();
                pg_reply::single_row(&mut bytes, format!("{id} {}", commit.0).as_bytes(), true, position);
                write::ready_for_query(&mut bytes);
                self.schedule_delivery(router, server, Event::Write { conn, bytes, finishes: Some(request) });
            }
            Event::PublishChange { router, change } => {
                self.published_changes[router as usize].push(change);
                let generation = self.published_changes[router as usize].len() + 1;
                let entry = self.list_entry(router, self.fleet.changes[change]);
                let line =
                    json!({"generation": generation, "reset": false, "instances": [entry]}).to_string();
                let watches = &mut self.watches[router as usize];
                watches.retain(|lines| lines.send(line.clone()).is_ok());
                if !watches.is_empty() {
                    self.record_list_change(router, change);
                }
            }
            Event::Kill { trouble, router } => {
                *crate::lock(&self.shared.pooler_addresses[router as usize]) = None;
                crate::lock(&self.shared.idle_connections[router as usize]).clear();
                if let Some(pooler) = self.poolers[router as usize].take() {
                    self.watches[router as usize].clear();
                    drop(pooler);
                    self.record(RecordKind::Killed, (router, 0), 0, 0, 0);
                    if let Some(downtime) = self.fleet.pooler_downtime(trouble) {
                        self.schedule(self.shared.clock.now() + downtime, Event::Start { router });
                    }
                }
            }
            Event::Start { router } => {
                let (start, shared) = (self.pooler_starter(router), self.shared.clone());
                std::thread::spawn(move || shared.send(Input::Started { router, pooler: start() }));
            }
        }
    }

    /// Carries out the actions that the model of the servers returned.
    fn apply_actions(&mut self, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Schedule(at, what) => self.schedule(at, Event::Fleet(what)),
                FleetAction::Record(what, server, request, x) => {
                    self.record(what, (0, server), request, x, 0)
                }
                // Its connection ends with the server.
                FleetAction::JobLost(job) => drop(self.jobs.remove(&job)),
                FleetAction::JobDone(server, job) => self.finish_job(server, job),
                FleetAction::ListChanged(change, noticed) => {
                    let server = self.fleet.changes[change].server;
                    let group = self.fleet.hosts[server as usize].group;
                    for router in 0..self.poolers.len() as u32 {
                        if self.traffic.serves(router, group) {
                            self.schedule(
                                noticed + self.traffic.list_delay(router),
                                Event::PublishChange { router, change },
                            );
                        }
                    }
                }
                FleetAction::StateChanged(server) => self.apply_server_state(server),
                FleetAction::KillPooler(at, trouble, router) => {
                    self.schedule(at, Event::Kill { trouble, router })
                }
                // Such a list is not supported on sockets: `check_limits` refuses it.
                FleetAction::ListOverbooked(_) => {}
                FleetAction::SetSurge(factor) => *crate::lock(&self.shared.surge) = factor,
            }
        }
    }

    /// Applies a server's change of state: crashed, paused, resumed or started.
    fn apply_server_state(&mut self, server: u32) {
        let state = self.fleet.hosts[server as usize].server.state();
        let down = matches!(state, ServerState::Dead | ServerState::Collapsed);
        if self.shared.down[server as usize].swap(down, Ordering::SeqCst) != down && down {
            for connection in self.connections.values().filter(|connection| connection.server == server) {
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
            // Wakes the threads that wait in `accept`.
            for port in &self.ports[server as usize] {
                drop(TcpStream::connect(port));
            }
        }
        if state == ServerState::Up {
            let queued = self.connections.iter_mut().filter(|(_, connection)| connection.server == server);
            let queued: Vec<(u64, Vec<ServerRequest>)> =
                queued.map(|(conn, connection)| (*conn, std::mem::take(&mut connection.queued))).collect();
            for (conn, queued) in queued {
                queued.into_iter().for_each(|what| self.handle_request(conn, what));
            }
        }
    }

    /// Handles a statement that has arrived at a server.
    fn handle_request(&mut self, conn: u64, what: ServerRequest) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        let (server, router, incarnation) = (connection.server, connection.router, connection.incarnation);
        let host = &self.fleet.hosts[server as usize];
        if host.incarnation != incarnation
            || matches!(host.server.state(), ServerState::Dead | ServerState::Collapsed)
        {
            let _ = connection.stream.shutdown(Shutdown::Both);
            return;
        }
        // Statements of a connection are answered in order, and a paused server answers none.
        let busy = connection.in_flight.is_some() || matches!(host.server.state(), ServerState::Paused(_));
        if busy && !matches!(what, ServerRequest::Request { .. }) {
            connection.queued.push(what);
            return;
        }
        let now = self.shared.clock.now();
        let mut bytes = Vec::new();
        match what {
            ServerRequest::Startup => write::session_start(&mut bytes, 1, 1),
            ServerRequest::EmptyQuery => {
                write::empty_query_response(&mut bytes);
                write::ready_for_query(&mut bytes);
            }
            ServerRequest::Report => {
                let [position, primary, _] = self.fleet.report(server, now).unwrap_or_default();
                let position = position + self.shared.begin.0 as f64 / 1e6;
                let note = self.fleet.note(server, now);
                write_answer(&mut bytes, format!("x0={position:.3},x1={primary}").as_bytes(), note);
            }
            ServerRequest::Request { id, request, class, work } => {
                self.record(RecordKind::Came, (router, server), request, work.0, 0);
                let job = self.next_job;
                self.next_job += 1;
                self.jobs.insert(job, PendingJob { conn, id, request, router, class });
                let write = self.traffic.plans[class].class.need == Need::Write;
                let (mut actions, new_job) = (Vec::new(), Job { id: job, work });
                let delivery = self.fleet.deliver(now, server, new_job, write, &mut self.rng, &mut actions);
                match delivery {
                    Delivery::Accepted => {}
                    Delivery::ConnectionLost => {
                        self.jobs.remove(&job);
                        if let Some(connection) = self.connections.get(&conn) {
                            let _ = connection.stream.shutdown(Shutdown::Both);
                        }
                    }
                    Delivery::Answered(verdict, note) => {
                        self.jobs.remove(&job);
                        write_refusal(&mut bytes, verdict, note);
                        self.schedule_delivery(
                            router,
                            server,
                            Event::Write { conn, bytes, finishes: Some(request) },
                        );
                    }
                }
                return self.apply_actions(actions);
            }
        }
        self.schedule_delivery(router, server, Event::Write { conn, bytes, finishes: None });
    }

    /// Answers a finished job. Jobs continue even if their pooler has disconnected.
    fn finish_job(&mut self, server: u32, job: u64) {
        let Some(PendingJob { conn, id, request, router, class }) = self.jobs.remove(&job) else { return };
        let write = self.traffic.plans[class].class.need == Need::Write;
        let (now, incarnation) = (self.shared.clock.now(), self.fleet.hosts[server as usize].incarnation);
        let mut bytes = Vec::new();
        match self.fleet.finish(now, server, write) {
            JobResult::Read(note, position) => {
                write_answer(&mut bytes, format!("{id} {}", position.0).as_bytes(), note);
            }
            JobResult::RoleLost(note) => write_refusal(&mut bytes, Verdict::Error, note),
            JobResult::Committed(commit) => {
                self.record(RecordKind::Ran, (router, server), request, commit.0, 0);
                let event = Event::Replicated { conn, incarnation, id, request, commit };
                return self.schedule(now + self.fleet.ship(), event);
            }
        }
        self.schedule_delivery(router, server, Event::Write { conn, bytes, finishes: Some(request) });
    }
}

fn member_name(server: u32) -> String {
    format!("b-{server:06}")
}

fn write_answer(out: &mut Vec<u8>, value: &[u8], note: Note) {
    let position = note.position.map_or(0, |at| at.0 / 1_000);
    pg_reply::single_row(out, value, note.role == Some(Role::Primary), position);
    write::ready_for_query(out);
}

fn write_refusal(out: &mut Vec<u8>, verdict: Verdict, note: Note) {
    let (code, message) = match verdict {
        Verdict::Full => ("53300", "full"),
        Verdict::Miss => ("25006", "read only"),
        _ => ("XX000", "lost its role"),
    };
    write::error_response(out, write::Severity::Error, code, message, None);
    let position = note.position.map_or(0, |at| at.0 / 1_000);
    pg_reply::status_parameters(out, note.role == Some(Role::Primary), position);
    write::ready_for_query(out);
}

/// Opens a server's port for a pooler. The port is closed while the server is down.
fn start_listener(shared: &Arc<Shared>, server: u32, router: u32) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let shared = shared.clone();
    std::thread::spawn(move || {
        let mut listener = Some(listener);
        while !shared.finished.load(Ordering::SeqCst) {
            if shared.down[server as usize].load(Ordering::SeqCst) {
                listener = None;
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Some(open_listener) = &listener else {
                listener = TcpListener::bind(address).ok();
                continue;
            };
            let Ok((stream, _)) = open_listener.accept() else { continue };
            if shared.down[server as usize].load(Ordering::SeqCst) {
                continue;
            }
            let conn = shared.next_connection.fetch_add(1, Ordering::Relaxed);
            let Ok(write) = stream.try_clone() else { continue };
            let _ = stream.set_nodelay(true);
            shared.send(Input::Opened { conn, server, router, stream: write });
            let shared = shared.clone();
            let builder = std::thread::Builder::new().stack_size(128 * 1024);
            let _ = builder.spawn(move || {
                let _ = read_connection(&shared, conn, stream);
                shared.send(Input::Closed { conn, at: shared.clock.now() });
            });
        }
    });
    Ok(address)
}

/// Reads the statements of a pooler until it disconnects or sends something invalid.
fn read_connection(shared: &Shared, conn: u64, mut stream: TcpStream) -> io::Result<()> {
    let (mut data, mut bytes) = (Vec::new(), [0; 8 * 1024]);
    let (mut session_started, mut first) = (false, None);
    let invalid = |_| io::Error::from(io::ErrorKind::InvalidData);
    loop {
        if !session_started {
            if let Some((_, size)) = pg::startup(&data).map_err(invalid)? {
                data.drain(..size);
                session_started = true;
                shared.send(Input::Received {
                    conn,
                    first: shared.clock.now(),
                    what: ServerRequest::Startup,
                });
                first = None;
            }
        }
        while let Some(message) = pg::message(&data).map_err(invalid)?.filter(|_| session_started) {
            let size = message.size;
            if message.tag != b'Q' {
                return Ok(());
            }
            let statement = pg::query_text(message.body).map_err(invalid)?;
            let what = parse_statement(statement).ok_or(io::ErrorKind::InvalidData)?;
            let at = first.take().unwrap_or_else(|| shared.clock.now());
            shared.send(Input::Received { conn, first: at, what });
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

/// Parses a statement. Its id holds the request's number and work, and poolers pass it on unchanged.
fn parse_statement(statement: &str) -> Option<ServerRequest> {
    if statement.is_empty() {
        return Some(ServerRequest::EmptyQuery);
    }
    if statement.starts_with("SHOW") {
        return Some(ServerRequest::Report);
    }
    let id = crate::boxes::comment_field(statement, "id")?;
    let (request, work) = id.split_once('w')?;
    let class = crate::boxes::comment_field(statement, "c")?;
    let class = crate::clients::CLASSES.iter().position(|name| *name == class)?;
    Some(ServerRequest::Request {
        request: request.parse().ok()?,
        work: Span(work.parse().ok()?),
        class,
        id: id.to_owned(),
    })
}

/// Starts the discovery service for one pooler.
fn start_discovery(shared: &Arc<Shared>, router: u32) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let shared = shared.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), shared) = (stream, shared.clone()) else { continue };
            std::thread::spawn(move || {
                let _ = serve_watch(&shared, router, stream);
            });
        }
    });
    Ok(address)
}

/// Serves a watch: the changes of the server list, and an empty line every 2 s.
fn serve_watch(shared: &Shared, router: u32, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = BufReader::new(stream.try_clone()?).lines();
    let first = head.next().ok_or(io::ErrorKind::UnexpectedEof)??;
    while head.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    let since = first.split_once("since=").map_or("", |(_, rest)| rest);
    let digits = since.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(since.len());
    let (lines, line_receiver) = channel();
    shared.send(Input::Watch { router, since: since[..digits].parse().unwrap_or(0), lines });
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    loop {
        let line = match line_receiver.recv_timeout(Duration::from_secs(2)) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => String::new(),
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        };
        stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
    }
}

/// Sends requests at the scenario's rate, each in a thread of its own. Returns the number of requests never sent.
fn generate_requests(shared: &Arc<Shared>, plan: &Scenario, traffic: &Arc<Traffic>) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5eed);
    let until = shared.begin + plan.traffic.lasts;
    let mut at = shared.begin + Span(START_DELAY.as_micros() as i64);
    let (mut never_sent, mut threads) = (0, Vec::new());
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
            if let Some(counted) = counts.by_second.get_mut(second) {
                counted.0 += 1;
            }
        }
        if shared.open_requests.fetch_add(1, Ordering::SeqCst) >= MAX_OPEN_REQUESTS {
            shared.open_requests.fetch_sub(1, Ordering::SeqCst);
            never_sent += 1;
            continue;
        }
        let (worker_shared, traffic, retries) = (shared.clone(), traffic.clone(), plan.traffic.retries);
        let work = move || {
            run_client(&worker_shared, &traffic, drawn, at, retries, seed);
            worker_shared.open_requests.fetch_sub(1, Ordering::SeqCst);
        };
        match std::thread::Builder::new().stack_size(128 * 1024).spawn(work) {
            Ok(thread) => threads.push(thread),
            Err(_) => {
                shared.open_requests.fetch_sub(1, Ordering::SeqCst);
                never_sent += 1;
            }
        }
        if threads.len() > 2 * MAX_OPEN_REQUESTS {
            threads.retain(|thread| !thread.is_finished());
        }
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    never_sent
}

/// Runs a client's request with all its tries.
fn run_client(
    shared: &Shared,
    traffic: &Traffic,
    drawn: ClientRequest,
    asked: Time,
    retries: u32,
    seed: u64,
) {
    let ClientRequest { class, session, group, router, work, .. } = drawn;
    let plan = &traffic.plans[class];
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let deadline = asked + plan.deadline;
    for remaining_tries in (0..=retries).rev() {
        let now = shared.clock.now();
        let address = *crate::lock(&shared.pooler_addresses[router as usize]);
        let (Some(address), true) = (address, now < deadline) else { return };
        let idle = crate::lock(&shared.idle_connections[router as usize]).pop();
        let mut connection = idle
            .filter(|connection| connection.address() == address)
            .unwrap_or_else(|| ClientConnection::new(address));
        let wait = Duration::from_micros((deadline - now).0.unsigned_abs());
        if connection.open(Instant::now() + wait).is_err() {
            return;
        }
        let request = shared.next_request.fetch_add(1, Ordering::Relaxed);
        let id = format!("{request}w{}", work.0);
        let b = class as u32 + 256 * group;
        let session_number = i64::try_from(session).unwrap_or(i64::MAX);
        shared.record(RecordKind::Asked, (router, b), request, deadline.0, session_number);
        let text = statement_for(class, &format!("acc{session}"), &id, wait, group);
        let answer = connection.exchange(&text, Instant::now() + wait);
        let Ok((result, value)) = answer else {
            return;
        };
        let retry_after = connection.retry_after.take();
        crate::lock(&shared.idle_connections[router as usize]).push(connection);
        match result.as_str() {
            "served" => {
                let value = value.unwrap_or_default();
                let own = value.split_once(' ').filter(|(answered_id, _)| *answered_id == id);
                // An answer to another request counts as none, so the auditor sees no answer.
                let Some(position) = own.and_then(|(_, position)| position.parse().ok()) else { return };
                shared.record(RecordKind::Served, (router, b), request, position, 0);
                let now = shared.clock.now();
                let mut counts = crate::lock(&shared.counts);
                counts.served[class] += 1;
                counts.latency[class].saturating_record((now - asked).0.max(1).unsigned_abs());
                let second = ((asked - shared.begin).0 / 1_000_000) as usize;
                if let Some(counted) = counts.by_second.get_mut(second) {
                    counted.1 += 1;
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
        if remaining_tries == 0 {
            return;
        }
        let min_delay = Duration::from_millis(rng.random_range(RETRY_WAIT_MS).unsigned_abs());
        std::thread::sleep(min_delay.max(retry_after.unwrap_or_default()));
    }
}
