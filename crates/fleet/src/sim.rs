//! The simulation in virtual time: events are handled in the order of their times and, for equal times, of their
//! scheduling. It drives the same router and membership as the daemon and takes no decisions of its own.

use crate::audit::{ClassRules, Freshness, FullRules, Rules};
use crate::discovery::{CallOutcome, DiscoveryService};
use crate::event_queue::EventQueue;
use crate::fleet::{Delivery, Fleet, FleetAction, FleetEvent, JobResult, ListChange};
use crate::record::{Record, RecordKind, Sink};
use crate::scenario::{AuditLevel, RetryWait, Scenario, TenantSpec};
use crate::server::{Job, ServerState};
use crate::service_level::ServiceLevel;
use crate::traffic::{ClassPlan, ClientRequest, Traffic, class_plans};
use hdrhistogram::Histogram;
use linnetdeal_core::membership::{Claim, ClaimVersion, Membership, ShrinkPolicy, SourceId, SourceUpdate};
use linnetdeal_core::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::HashMap;
use std::sync::Arc;

/// When a run begins, which is also the zero of positions.
pub const BEGIN: Time = Time(1_000_000_000_000);
const ANSWER_SLACK: Span = Span::millis(20);
const CONNECT_TIMEOUT: Span = Span::millis(250);
/// A router without a watch that has not polled the list for this long is expected to know what was published that
/// long before.
const POLL_INTERVAL: Span = Span::millis(10_000);
/// The delay of a wake-up that is due already.
const MIN_WAKE_DELAY: Span = Span::millis(1);
/// A run goes on for at most this long after the last request has arrived.
const MAX_RUN_ON: Span = Span::millis(8_000);

/// The rules by which a scenario's run is audited.
#[must_use]
pub fn rules(scenario: &Scenario) -> Rules {
    let class_rules = |plan: &ClassPlan| ClassRules {
        run_once: plan.class.effect == Effect::Unsafe,
        write: plan.class.need == Need::Write,
        freshness: match plan.class.need {
            Need::Any | Need::Write => Freshness::Any,
            Need::Bounded(bound) => Freshness::Bounded(bound),
            Need::Session => Freshness::Session,
            Need::Fresh => Freshness::All,
        },
        deadline: plan.deadline,
    };
    let boxes = &scenario.boxes;
    Rules {
        classes: class_plans(scenario).iter().map(class_rules).collect(),
        drain_grace: scenario.fleet.grace,
        answer_slack: ANSWER_SLACK,
        cold: boxes.cold(),
        fall: boxes.fall(),
        second_copies: scenario.fleet.second_copies,
        tokens_carried: scenario.traffic.tokens_carried,
        poll_interval: scenario.list.asked.then_some(POLL_INTERVAL),
        full: (scenario.audit == AuditLevel::Full).then_some(FullRules {
            retries: scenario.traffic.retries,
            cores: boxes.cores,
            max_core_speed: boxes.speed * (1.0 + boxes.spread),
        }),
    }
}

#[derive(Clone, Copy, Debug)]
enum SimEvent {
    ClientArrives,
    Retry {
        router: u32,
        client: u32,
    },
    RequestArrives {
        attempt: usize,
        dialed: bool,
    },
    Fleet(FleetEvent),
    Replicated {
        attempt: usize,
        incarnation: u32,
    },
    AnswerArrives {
        attempt: usize,
        verdict: Verdict,
        note: Option<Note>,
    },
    AttemptTimeout {
        attempt: usize,
        request: u64,
        attempt_number: u32,
    },
    Wake {
        router: u32,
        incarnation: u32,
    },
    ProbeArrives {
        router: u32,
        incarnation: u32,
        server: u32,
    },
    ProbeAnswered {
        router: u32,
        incarnation: u32,
        server: u32,
        report: Option<[f64; 3]>,
        verdict: Verdict,
    },
    /// Where the list is pushed: a router receives a change.
    ListUpdate {
        router: u32,
        change: usize,
    },
    /// Where the list is polled: a change is published.
    Publish {
        change: usize,
    },
    /// Where the list is polled: a router's watch brings the changes that were published.
    WatchUpdate {
        router: u32,
        incarnation: u32,
    },
    /// Where the list is polled: a router's call has been answered or has failed.
    ListCallEnds {
        router: u32,
        incarnation: u32,
        failed: bool,
    },
    /// A router cancelled an attempt.
    Cancelled {
        attempt: usize,
        request: u64,
        attempt_number: u32,
    },
    KillPooler {
        trouble: usize,
        router: u32,
    },
    StartPooler {
        router: u32,
    },
}

/// A pooler in the simulation.
struct Pooler {
    router: Option<Box<Router>>,
    members: Membership,
    zone: usize,
    incarnation: u32,
    next_wake: Option<Time>,
    /// Idle connections by box, and the box's incarnation that they lead to.
    idle_connections: HashMap<u32, (u32, u32)>,
    open_requests: HashMap<u64, u32>,
    /// Where the list is polled: whether a watch is open, and how many of the published changes it has brought.
    watching: bool,
    changes_seen: usize,
}

/// A client's request over all its tries.
#[derive(Clone, Copy, Debug)]
struct Client {
    class: usize,
    session: u64,
    group: u32,
    first_try_at: Time,
    retries: u32,
    work: Span,
    id: u64,
    tenant: Option<usize>,
    /// Whether it is within its tenant's share.
    within_quota: bool,
    /// Whether the client waits for a retry-after.
    heeds_retry_after: bool,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    router: u32,
    incarnation: u32,
    request: u64,
    number: u32,
    server: u32,
    server_incarnation: u32,
    class: usize,
    work: Span,
    sent_at: Time,
    position: Time,
    /// The position that a read must have reached.
    min_position: Time,
    ended: bool,
}

/// The results of a run, as counted by the simulation.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Number of events.
    pub events: u64,
    /// First tries, by class.
    pub requests: Vec<u64>,
    /// Those of them that were served before their client gave up, including in a later try.
    pub served: Vec<u64>,
    /// From the first try to the answer, in µs, by class.
    pub latency: Vec<Histogram<u64>>,
    /// First tries, and those that were served, by the second of the first try.
    pub by_second: Vec<(u64, u64)>,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Probes that were sent.
    pub probes: u64,
    /// The most clients with an open request at the same time.
    pub max_open: usize,
    /// Number of boxes that collapsed.
    pub collapsed: u64,
    /// When the run ended.
    pub end: Time,
    /// When boxes took over as primaries.
    pub promotions: Vec<(Time, u32)>,
    /// Worth that was served, by second, tenant and class.
    pub service: ServiceLevel,
    /// Tries of clients that reached a pooler, first ones included.
    pub tries: u64,
    /// First tries whose pooler was down.
    pub pooler_down: u64,
    /// Calls for the list where it is polled, and those that failed.
    pub calls: (u64, u64),
}

impl RunOutcome {
    /// First tries that reached a pooler.
    #[must_use]
    pub fn first_tries(&self) -> u64 {
        self.requests.iter().sum::<u64>() - self.pooler_down
    }

    /// The index of the class of writes.
    #[must_use]
    pub fn write_class(&self) -> usize {
        self.requests.len() - 1
    }

    /// The share of all first tries that were served.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        self.served.iter().sum::<u64>() as f64 / self.requests.iter().sum::<u64>().max(1) as f64
    }

    /// The same for a class.
    #[must_use]
    pub fn class_served_share(&self, class: usize) -> f64 {
        self.served[class] as f64 / self.requests[class].max(1) as f64
    }
}

/// The index of the class of writes in scenarios without classes of their own.
pub const WRITE_CLASS: usize = 4;

/// The state of a run.
struct Sim<'s, S> {
    scenario: &'s Scenario,
    classes: Vec<ClassPlan>,
    settings: Settings,
    sink: &'s mut S,
    rng: ChaCha8Rng,
    traffic: Traffic,
    now: Time,
    queue: EventQueue<SimEvent>,
    fleet: Fleet,
    poolers: Vec<Pooler>,
    member_ids: Vec<MemberId>,
    attempts: Vec<Attempt>,
    free_attempts: Vec<usize>,
    clients: Vec<Client>,
    free_clients: Vec<u32>,
    fleet_actions: Vec<FleetAction>,
    next_request: u64,
    next_client: u64,
    surge: f64,
    discovery: DiscoveryService,
    published: Vec<usize>,
    /// The latest commits of sessions, as their clients know them.
    session_commits: HashMap<u64, Time>,
    /// Attempts that may be cancelled, by request and number.
    cancellable: HashMap<(u64, u32), usize>,
    arrivals_end: Time,
    outcome: RunOutcome,
    actions: Vec<Action>,
}

/// Runs a scenario, and passes all records to `sink`.
pub fn run<S: Sink>(scenario: &Scenario, sink: &mut S) -> RunOutcome {
    let mut sim = Sim::new(scenario, sink);
    sim.begin();
    while let Some((at, event)) = sim.queue.pop() {
        if at > sim.arrivals_end + MAX_RUN_ON {
            break;
        }
        sim.now = at;
        sim.outcome.events += 1;
        sim.handle(event);
    }
    sim.outcome.end = sim.arrivals_end + MAX_RUN_ON;
    (sim.outcome.promotions, sim.outcome.collapsed) = (sim.fleet.promotions, sim.fleet.collapsed);
    sim.outcome.calls = sim.discovery.calls;
    sim.outcome
}

impl<'s, S: Sink> Sim<'s, S> {
    fn new(scenario: &'s Scenario, sink: &'s mut S) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let traffic = Traffic::new(scenario);
        let classes = class_plans(scenario);
        let tenant = |(spec, quota): (&TenantSpec, &f64)| Tenant { name: spec.name.clone(), quota: *quota };
        let fields = if scenario.boxes.report_queue { &["x0", "x1", "queue"][..] } else { &["x0", "x1"] };
        let settings = Settings {
            tenants: scenario.tenants.iter().zip(&traffic.quotas).map(tenant).collect(),
            over_share_worth: scenario.traffic.over_share,
            discovery: if scenario.list.asked { Discovery::Ask } else { Discovery::Push },
            second_copies: scenario.fleet.second_copies,
            classes: classes.iter().map(|plan| plan.class.clone()).collect(),
            fleet: traffic.poolers_per_group(),
            checks: if scenario.boxes.checks { Checks::Refuse } else { Checks::None },
            tokens: if scenario.traffic.tokens_carried { Tokens::Carried } else { Tokens::Remembered },
            zero: BEGIN,
            report: fields.iter().map(|name| Field::named(name)).collect(),
            max_attempts: 10,
            probes: true,
            cancels: true,
            retry_after: true,
            max_retry_after: Span::millis(2_000),
            drain_grace: scenario.fleet.grace,
            cold_share: scenario.boxes.cold_from,
            cold_span: scenario.boxes.cold_in,
            fall_multiple: scenario.boxes.fall_multiple,
            fall_span: scenario.boxes.fall_for,
            goal: Goal { whole: 0.6, worst_class: 0.2 },
            changes: Fleet::expected(scenario),
            ..Settings::default()
        };
        let fleet = &scenario.fleet;
        let box_fleet = Fleet::new(scenario, BEGIN, &mut rng);
        let member_ids =
            (0..box_fleet.hosts.len()).map(|index| MemberId(Arc::from(format!("b-{index:06}")))).collect();
        let poolers = (0..fleet.poolers)
            .map(|index| Pooler {
                router: None,
                members: Membership::new(Span::millis(900_000), 16_384),
                zone: index % fleet.zones,
                incarnation: 0,
                next_wake: None,
                idle_connections: HashMap::new(),
                open_requests: HashMap::new(),
                watching: false,
                changes_seen: 0,
            })
            .collect();
        let histogram = || Histogram::new_with_bounds(1, 100_000_000, 3).expect("bounds that are in order");
        let outcome = RunOutcome {
            events: 0,
            requests: vec![0; classes.len()],
            served: vec![0; classes.len()],
            latency: classes.iter().map(|_| histogram()).collect(),
            by_second: vec![(0, 0); (scenario.traffic.lasts.0 / 1_000_000) as usize + 2],
            attempts: 0,
            probes: 0,
            max_open: 0,
            collapsed: 0,
            end: BEGIN,
            promotions: Vec::new(),
            service: ServiceLevel::new(scenario, &classes, &traffic.quotas, BEGIN),
            tries: 0,
            pooler_down: 0,
            calls: (0, 0),
        };
        Self {
            fleet: box_fleet,
            arrivals_end: BEGIN + scenario.traffic.lasts,
            now: BEGIN,
            queue: EventQueue::default(),
            attempts: Vec::new(),
            free_attempts: Vec::new(),
            clients: Vec::new(),
            free_clients: Vec::new(),
            fleet_actions: Vec::new(),
            next_request: 1,
            next_client: 0,
            surge: 1.0,
            discovery: DiscoveryService::new(&scenario.list),
            published: Vec::new(),
            session_commits: HashMap::new(),
            cancellable: HashMap::new(),
            actions: Vec::new(),
            scenario,
            classes,
            settings,
            sink,
            rng,
            traffic,
            poolers,
            member_ids,
            outcome,
        }
    }

    fn schedule(&mut self, at: Time, event: SimEvent) {
        self.queue.schedule(at, event);
    }

    fn schedule_after(&mut self, span: Span, event: SimEvent) {
        self.schedule(self.now + span, event);
    }

    fn record(&mut self, what: RecordKind, a: u32, b: u32, request: u64, x: i64, y: i64) {
        self.sink.record(Record { at: self.now, what, a, b, request, x, y });
    }

    fn begin(&mut self) {
        for router in 0..self.poolers.len() {
            self.start_pooler(router as u32);
        }
        let first_arrival = Span(1_000_000);
        self.schedule_after(first_arrival, SimEvent::ClientArrives);
        let mut actions = Vec::new();
        self.fleet.schedule_troubles(&mut actions);
        self.fleet_actions = actions;
        self.apply_fleet_actions();
    }

    /// Starts a pooler with the list as first published, primaries included.
    fn start_pooler(&mut self, router: u32) {
        let incarnation = self.poolers[router as usize].incarnation;
        let seed = self.scenario.seed ^ (u64::from(router) << 20) ^ (u64::from(incarnation) << 52);
        let mut claims = Vec::new();
        for server in 0..self.fleet.hosts.len() as u32 {
            if self.traffic.serves(router, self.fleet.hosts[server as usize].group) {
                let primary = self.fleet.hosts[server as usize].member == 0;
                claims.push(self.claim(ListChange {
                    server,
                    state: ListState::Healthy,
                    started: None,
                    primary,
                    number: 0,
                }));
            }
        }
        let mut members = Membership::new(Span::millis(900_000), 16_384);
        members.set_shrink_policy(SourceId(0), ShrinkPolicy::ACCEPT_ALL);
        let update = members.apply_update(self.now, SourceId(0), SourceUpdate::Full { claims, view: 0 });
        let pooler = &mut self.poolers[router as usize];
        pooler.members = members;
        (pooler.watching, pooler.changes_seen) = (false, 0);
        pooler.router = Some(Box::new(Router::new(seed, self.settings.clone())));
        self.handle_router_event(router, linnetdeal_core::Event::List(Listing::Full(update.changed)));
        // Earlier changes, which it has missed: where the list is polled its watch brings them once it is open.
        if self.scenario.list.asked {
            return;
        }
        for change in 0..self.fleet.changes.len() {
            if self.traffic.serves(router, self.fleet.hosts[self.fleet.changes[change].server as usize].group)
                && incarnation > 0
            {
                self.schedule_after(Span::millis(50), SimEvent::ListUpdate { router, change });
            }
        }
    }

    fn claim(&self, change: ListChange) -> Claim {
        let host = &self.fleet.hosts[change.server as usize];
        Claim {
            member: self.member_ids[change.server as usize].clone(),
            address: None,
            group: Some(GroupId(i64::from(host.group))),
            zone: String::new(),
            machine: String::new(),
            primary: change.primary && self.scenario.list.roles,
            started: change.started,
            state: change.state,
            version: ClaimVersion { stamp: change.number, ..ClaimVersion::default() },
        }
    }

    /// The network delay in one direction between a pooler and a box.
    fn network_delay(&mut self, router: u32, server: u32) -> Span {
        let same = self.poolers[router as usize].zone == self.fleet.hosts[server as usize].zone;
        let delay = if same { self.scenario.network.same } else { self.scenario.network.cross };
        delay.times(0.85 + 0.3 * self.rng.random::<f64>())
    }

    fn handle_router_event(&mut self, router: u32, event: linnetdeal_core::Event) {
        let pooler = &mut self.poolers[router as usize];
        let Some(core) = pooler.router.as_mut() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        core.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, member, timeout } => self.send(router, request.0, &member, timeout),
                Action::Refuse { request, retry_after } => {
                    let wait = retry_after.unwrap_or_default();
                    self.record(RecordKind::Refused, router, 0, request.0, wait.0, 0);
                    self.finish_try(router, request.0, Some(wait));
                }
                Action::Fail { request } => {
                    self.record(RecordKind::Failed, router, 0, request.0, 0, 0);
                    self.finish_try(router, request.0, None);
                }
                Action::Probe { member } => self.probe(router, &member),
                Action::Wake { at } => {
                    let pooler = &mut self.poolers[router as usize];
                    // A wake-up that is due already must not occur at the same time, as no real clock stands still.
                    let at = if at > self.now { at } else { self.now + MIN_WAKE_DELAY };
                    pooler.next_wake = Some(at);
                    let incarnation = pooler.incarnation;
                    self.schedule(at, SimEvent::Wake { router, incarnation });
                }
                Action::Subscribe if self.scenario.list.asked => self.subscribe(router),
                Action::Cancel { request, attempt } if self.scenario.fleet.cancels => {
                    let (request, attempt_number) = (request.0, attempt.0);
                    if let Some(attempt) = self.cancellable.get(&(request, attempt_number)).copied() {
                        self.schedule_after(
                            Span(0),
                            SimEvent::Cancelled { attempt, request, attempt_number },
                        );
                    }
                }
                // Otherwise timeouts end the attempts.
                Action::Cancel { .. } | Action::Tell { .. } | Action::Subscribe | Action::Log { .. } => {}
            }
        }
        self.actions = actions;
    }

    fn server_index(member: &MemberId) -> u32 {
        member.0[2..].parse().unwrap_or(0)
    }

    fn send(&mut self, router: u32, request: u64, member: &MemberId, timeout: Span) {
        let server = Self::server_index(member);
        let pooler = &mut self.poolers[router as usize];
        let Some(client) = pooler.open_requests.get(&request).copied() else { return };
        let client = self.clients[client as usize];
        let (incarnation, server_incarnation) =
            (pooler.incarnation, self.fleet.hosts[server as usize].incarnation);
        let idle = pooler
            .idle_connections
            .get_mut(&server)
            .filter(|(count, connected_to)| *count > 0 && *connected_to == server_incarnation);
        let dialed = idle.map(|(count, _)| *count -= 1).is_none();
        // The count of a request's own attempts gives the same numbers as the router.
        let number = self.next_attempt_number(router, request);
        self.record(RecordKind::Sent, router, server, request, i64::from(number), 0);
        self.outcome.attempts += 1;
        let delay = self.network_delay(router, server);
        let min_position = match self.classes[client.class].class.need {
            Need::Bounded(bound) => self.now - bound,
            Need::Session => self.session_commits.get(&client.session).copied().unwrap_or_default(),
            Need::Any | Need::Write | Need::Fresh => Time(0),
        };
        let attempt = Attempt {
            router,
            incarnation,
            request,
            number,
            server,
            server_incarnation,
            class: client.class,
            work: client.work,
            sent_at: self.now,
            position: self.now,
            min_position,
            ended: false,
        };
        let index = match self.free_attempts.pop() {
            Some(index) => {
                self.attempts[index] = attempt;
                index
            }
            None => {
                self.attempts.push(attempt);
                self.attempts.len() - 1
            }
        };
        let arrival_delay = if dialed { Span(3 * delay.0 + self.scenario.boxes.handshake.0) } else { delay };
        if self.scenario.fleet.cancels {
            self.cancellable.insert((request, number), index);
        }
        self.schedule_after(arrival_delay, SimEvent::RequestArrives { attempt: index, dialed });
        self.schedule_after(
            timeout.max(Span(1)),
            SimEvent::AttemptTimeout { attempt: index, request, attempt_number: number },
        );
    }

    fn next_attempt_number(&mut self, router: u32, request: u64) -> u32 {
        let count = self.poolers[router as usize]
            .open_requests
            .get(&(request | ATTEMPT_COUNT_BIT))
            .copied()
            .unwrap_or(0);
        self.poolers[router as usize].open_requests.insert(request | ATTEMPT_COUNT_BIT, count + 1);
        count
    }

    fn probe(&mut self, router: u32, member: &MemberId) {
        let (server, incarnation) = (Self::server_index(member), self.poolers[router as usize].incarnation);
        self.outcome.probes += 1;
        let delay = self.network_delay(router, server);
        self.schedule_after(delay, SimEvent::ProbeArrives { router, incarnation, server });
    }

    fn submit(&mut self, router: u32, client: u32) {
        let state = self.clients[client as usize];
        let (full_deadline, patience) = (self.classes[state.class].deadline, self.scenario.clients.patience);
        let mut deadline = state.first_try_at + full_deadline;
        if patience < 1.0 {
            deadline = deadline.min(self.now + full_deadline.times(self.rng.random_range(patience..=1.0)));
        }
        if self.poolers[router as usize].router.is_none() || deadline <= self.now {
            self.outcome.pooler_down += u64::from(state.retries == 0);
            self.finish_client(client, None);
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        let class_and_group = state.class as u32 + 256 * state.group;
        self.outcome.tries += 1;
        if self.scenario.audit == AuditLevel::Full {
            self.record(RecordKind::Try, router, 0, request, state.id as i64, i64::from(state.retries));
        }
        self.record(RecordKind::Asked, router, class_and_group, request, deadline.0, state.session as i64);
        let pooler = &mut self.poolers[router as usize];
        pooler.open_requests.insert(request, client);
        self.outcome.max_open = self.outcome.max_open.max(self.clients.len() - self.free_clients.len());
        let need = self.classes[state.class].class.need;
        let session = matches!(need, Need::Write | Need::Session);
        let last_commit = self.session_commits.get(&state.session).filter(|_| need == Need::Session);
        let last_write = last_commit.map(|at| self.now - *at);
        self.handle_router_event(
            router,
            linnetdeal_core::Event::Request(Request {
                id: RequestId(request),
                class: ClassId(state.class),
                tenant: state.tenant.map(TenantId),
                session: session.then_some(SessionKey(state.session)),
                left: deadline - self.now,
                group: GroupId(i64::from(state.group)),
                last_write,
                cost: None,
                retry: self.scenario.clients.marks && state.retries > 0,
            }),
        );
    }

    /// Ends a try that was not served. The client may try again within its deadline.
    fn finish_try(&mut self, router: u32, request: u64, refused: Option<Span>) {
        let pooler = &mut self.poolers[router as usize];
        pooler.open_requests.remove(&(request | ATTEMPT_COUNT_BIT));
        let Some(client) = pooler.open_requests.remove(&request) else { return };
        let state = &mut self.clients[client as usize];
        let safe = self.classes[state.class].class.effect == Effect::Safe;
        if state.retries >= self.scenario.traffic.retries || (refused.is_none() && !safe) {
            self.finish_client(client, None);
            return;
        }
        state.retries += 1;
        let (clients, heeds) = (&self.scenario.clients, state.heeds_retry_after);
        let backoff =
            if clients.wait == RetryWait::Exponential { 1 << (state.retries - 1).min(16) } else { 1 };
        let ms = |span: Span| span.0 / 1_000;
        let max_wait = ms(clients.wait_most).max(ms(clients.wait_least) + 1);
        let drawn = Span::millis(self.rng.random_range(ms(clients.wait_least)..max_wait) * backoff);
        let wait = drawn.max(refused.filter(|_| heeds).unwrap_or_default());
        self.schedule_after(wait, SimEvent::Retry { router, client });
    }

    /// Ends a client's request.
    fn finish_client(&mut self, client: u32, served: Option<Time>) {
        let state = self.clients[client as usize];
        if let Some(at) = served {
            self.outcome.served[state.class] += 1;
            self.outcome.service.record_served(
                state.first_try_at,
                at - state.first_try_at,
                state.tenant,
                state.within_quota,
                state.class,
            );
            let took = (at - state.first_try_at).0.max(1).unsigned_abs();
            self.outcome.latency[state.class].saturating_record(took);
            let second = ((state.first_try_at - BEGIN).0 / 1_000_000) as usize;
            if let Some(counts) = self.outcome.by_second.get_mut(second) {
                counts.1 += 1;
            }
        }
        self.free_clients.push(client);
    }

    fn client_arrives(&mut self) {
        let gap = self.traffic.gap(self.surge, &mut self.rng);
        if self.now + gap < self.arrivals_end {
            self.schedule_after(gap, SimEvent::ClientArrives);
        }
        let ClientRequest { class, session, group, router, work, tenant } = self.traffic.draw(&mut self.rng);
        let share = self.scenario.clients.heeds;
        let heeds_retry_after = share >= 1.0 || self.rng.random::<f64>() < share;
        let within_quota = self.outcome.service.record_request(self.now, tenant, class);
        self.next_client += 1;
        let id = self.next_client;
        let client = Client {
            class,
            session,
            group,
            first_try_at: self.now,
            retries: 0,
            work,
            id,
            tenant,
            within_quota,
            heeds_retry_after,
        };
        let index = match self.free_clients.pop() {
            Some(index) => {
                self.clients[index as usize] = client;
                index
            }
            None => {
                self.clients.push(client);
                self.clients.len() as u32 - 1
            }
        };
        self.outcome.requests[class] += 1;
        let second = ((self.now - BEGIN).0 / 1_000_000) as usize;
        if let Some(counts) = self.outcome.by_second.get_mut(second) {
            counts.0 += 1;
        }
        self.submit(router, index);
    }

    /// Sends an attempt's result back to the pooler.
    fn send_answer(&mut self, attempt: usize, verdict: Verdict, note: Option<Note>) {
        let Attempt { router, server, .. } = self.attempts[attempt];
        let delay = self.network_delay(router, server);
        self.schedule_after(delay, SimEvent::AnswerArrives { attempt, verdict, note });
    }

    fn request_arrives(&mut self, index: usize, dialed: bool) {
        let attempt = self.attempts[index];
        let host = &self.fleet.hosts[attempt.server as usize];
        match host.server.state() {
            ServerState::Dead | ServerState::Collapsed => {
                let verdict = if dialed { Verdict::ConnectFailed } else { Verdict::Reset };
                return self.send_answer(index, verdict, None);
            }
            ServerState::Paused(_) if dialed && !host.hangs => {
                self.schedule_after(
                    CONNECT_TIMEOUT,
                    SimEvent::AnswerArrives { attempt: index, verdict: Verdict::Unreachable, note: None },
                );
                return;
            }
            _ if !dialed && host.incarnation != attempt.server_incarnation => {
                return self.send_answer(index, Verdict::Reset, None);
            }
            _ => {}
        }
        self.attempts[index].server_incarnation = host.incarnation;
        self.record(RecordKind::Came, attempt.router, attempt.server, attempt.request, attempt.work.0, 0);
        if dialed {
            self.fleet.hosts[attempt.server as usize].server.add_overhead(self.scenario.boxes.handshake_work);
        }
        if self.is_too_stale(&attempt)
            && self.fleet.hosts[attempt.server as usize].server.state() == ServerState::Up
        {
            let note = self.fleet.note(attempt.server, self.now);
            return self.send_answer(index, Verdict::Miss, Some(note));
        }
        let (job, write) = (Job { id: index as u64, work: attempt.work }, self.is_write(attempt.class));
        let delivery =
            self.fleet.deliver(self.now, attempt.server, job, write, &mut self.rng, &mut self.fleet_actions);
        match delivery {
            Delivery::Accepted => self.record_job(RecordKind::Took, &attempt, attempt.work.0),
            Delivery::Answered(verdict, note) => self.send_answer(index, verdict, Some(note)),
            Delivery::ConnectionLost => self.send_answer(index, Verdict::Reset, None),
        }
        self.apply_fleet_actions();
    }

    /// Whether a box that checks reads is too far behind for this one.
    fn is_too_stale(&mut self, attempt: &Attempt) -> bool {
        self.scenario.boxes.checks
            && !self.is_write(attempt.class)
            && self.fleet.position(attempt.server, self.now) < attempt.min_position
    }

    fn record_job(&mut self, what: RecordKind, attempt: &Attempt, x: i64) {
        if self.scenario.audit == AuditLevel::Full {
            self.record(what, attempt.router, attempt.server, attempt.request, x, i64::from(attempt.number));
        }
    }

    fn is_write(&self, class: usize) -> bool {
        self.classes[class].class.need == Need::Write
    }

    /// Carries out the actions that the fleet returned.
    fn apply_fleet_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.fleet_actions);
        for action in actions.drain(..) {
            match action {
                FleetAction::Schedule(at, what) => self.schedule(at, SimEvent::Fleet(what)),
                FleetAction::Record(what, server, request, x) => self.record(what, 0, server, request, x, 0),
                FleetAction::JobLost(id) => {
                    let attempt = self.attempts[id as usize];
                    self.record_job(RecordKind::Lost, &attempt, 0);
                    self.send_answer(id as usize, Verdict::Reset, None);
                }
                FleetAction::JobDone(server, id) => self.job_done(server, id as usize),
                FleetAction::ListChanged(change, noticed) => self.list_changed(change, noticed),
                // Connections to an earlier incarnation are recognised as such, and the model keeps the jobs of a
                // paused box.
                FleetAction::StateChanged(_) => {}
                FleetAction::KillPooler(at, trouble, router) => {
                    self.schedule(at, SimEvent::KillPooler { trouble, router })
                }
                FleetAction::SetSurge(factor) => self.surge = factor,
                FleetAction::ListOverbooked(factor) => self.set_list_overbooked(factor),
            }
        }
        self.fleet_actions = actions;
    }

    fn job_done(&mut self, server: u32, index: usize) {
        let attempt = self.attempts[index];
        self.record_job(RecordKind::Through, &attempt, 0);
        // The read arrived while the box was paused, and could not be rejected then.
        if self.is_too_stale(&attempt) {
            let note = self.fleet.note(attempt.server, self.now);
            return self.send_answer(index, Verdict::Miss, Some(note));
        }
        match self.fleet.finish(self.now, server, self.is_write(attempt.class)) {
            JobResult::Read(note, position) => {
                self.attempts[index].position = position;
                self.send_answer(index, Verdict::Ok, Some(note));
            }
            // The box lost its role while it held the write.
            JobResult::RoleLost(note) => self.send_answer(index, Verdict::Error, Some(note)),
            JobResult::Committed(commit) => {
                self.attempts[index].position = commit;
                self.record(RecordKind::Ran, attempt.router, server, attempt.request, commit.0, 0);
                let incarnation = self.fleet.hosts[server as usize].incarnation;
                self.schedule_after(self.fleet.ship(), SimEvent::Replicated { attempt: index, incarnation });
            }
        }
    }

    /// A router polls the list and asks to watch it.
    fn subscribe(&mut self, router: u32) {
        self.record(RecordKind::Called, router, 0, 0, 0, 0);
        let incarnation = self.poolers[router as usize].incarnation;
        let (at, failed) = match self.discovery.call(self.now) {
            CallOutcome::Answered(at) => (at, false),
            CallOutcome::Failed(at) => (at, true),
        };
        self.schedule(at, SimEvent::ListCallEnds { router, incarnation, failed });
    }

    fn list_call_ends(&mut self, router: u32, incarnation: u32, failed: bool) {
        if self.poolers[router as usize].incarnation != incarnation
            || self.poolers[router as usize].router.is_none()
        {
            return;
        }
        self.poolers[router as usize].watching = !failed;
        self.record(RecordKind::Watching, router, 0, 0, if failed { -1 } else { 1 }, 0);
        let answer = if failed { Listing::Failed } else { Listing::Changes(Vec::new()) };
        self.handle_router_event(router, linnetdeal_core::Event::List(answer));
        self.deliver_changes(router, incarnation);
    }

    /// A watch brings the changes that were published since it last did.
    fn deliver_changes(&mut self, router: u32, incarnation: u32) {
        let pooler = &self.poolers[router as usize];
        if pooler.incarnation != incarnation || !pooler.watching {
            return;
        }
        while let Some(change) = self.published.get(self.poolers[router as usize].changes_seen).copied() {
            self.poolers[router as usize].changes_seen += 1;
            let group = self.fleet.hosts[self.fleet.changes[change].server as usize].group;
            if self.traffic.serves(router, group) {
                self.deliver_change(router, change);
            }
        }
    }

    fn publish(&mut self, change: usize) {
        let list_change = self.fleet.changes[change];
        let up = i64::from(list_change.state == ListState::Healthy);
        self.record(RecordKind::Published, 0, list_change.server, 0, up, 0);
        self.published.push(change);
        let notified_at = self.discovery.next_notification(self.now);
        for router in 0..self.poolers.len() as u32 {
            let incarnation = self.poolers[router as usize].incarnation;
            if self.poolers[router as usize].watching {
                self.schedule(
                    notified_at + self.traffic.list_delay(router),
                    SimEvent::WatchUpdate { router, incarnation },
                );
            }
        }
    }

    /// Ends all watches and makes calls take this multiple of the usual time; 1 ends the trouble.
    fn set_list_overbooked(&mut self, factor: f64) {
        self.discovery.slowdown = factor;
        for router in 0..self.poolers.len() as u32 {
            if factor > 1.0 && std::mem::take(&mut self.poolers[router as usize].watching) {
                self.record(RecordKind::Watching, router, 0, 0, 0, 0);
                self.handle_router_event(router, linnetdeal_core::Event::List(Listing::Failed));
            }
        }
    }

    fn list_changed(&mut self, change: usize, noticed: Time) {
        if self.scenario.list.asked {
            return self.schedule(noticed, SimEvent::Publish { change });
        }
        let group = self.fleet.hosts[self.fleet.changes[change].server as usize].group;
        for router in 0..self.poolers.len() as u32 {
            if self.traffic.serves(router, group) {
                self.schedule(
                    noticed + self.traffic.list_delay(router),
                    SimEvent::ListUpdate { router, change },
                );
            }
        }
    }

    fn replicated(&mut self, index: usize, incarnation: u32) {
        let attempt = self.attempts[index];
        if self.fleet.hosts[attempt.server as usize].incarnation != incarnation {
            return self.send_answer(index, Verdict::Reset, None);
        }
        self.record(RecordKind::Kept, attempt.router, attempt.server, attempt.request, attempt.position.0, 0);
        let commit = Time(attempt.position.0.div_euclid(1_000) * 1_000 + 1_000);
        self.send_answer(
            index,
            Verdict::Ok,
            Some(Note { role: Some(Role::Primary), position: Some(commit) }),
        );
    }

    /// A pooler receives the result of an attempt, and ignores it if it has given the attempt up.
    fn answer_arrives(&mut self, index: usize, verdict: Verdict, note: Option<Note>) {
        let attempt = self.attempts[index];
        self.free_attempts.push(index);
        if std::mem::replace(&mut self.attempts[index].ended, true) {
            return;
        }
        if self.poolers[attempt.router as usize].incarnation != attempt.incarnation {
            return;
        }
        let reusable = !matches!(verdict, Verdict::ConnectFailed | Verdict::Unreachable | Verdict::Reset);
        if reusable && self.fleet.hosts[attempt.server as usize].incarnation == attempt.server_incarnation {
            let idle = self.poolers[attempt.router as usize]
                .idle_connections
                .entry(attempt.server)
                .or_insert((0, attempt.server_incarnation));
            *idle = if idle.1 == attempt.server_incarnation {
                (idle.0 + 1, idle.1)
            } else {
                (1, attempt.server_incarnation)
            };
        }
        self.end_attempt(attempt, verdict, note);
    }

    fn end_attempt(&mut self, attempt: Attempt, verdict: Verdict, note: Option<Note>) {
        self.record(
            RecordKind::Over,
            attempt.router,
            attempt.server,
            attempt.request,
            i64::from(attempt.number),
            0,
        );
        self.cancellable.remove(&(attempt.request, attempt.number));
        let client = self.poolers[attempt.router as usize].open_requests.get(&attempt.request).copied();
        let served = verdict == Verdict::Ok && client.is_some();
        if let Some(client) = client.filter(|_| served) {
            // The exact commit of a write or position of a read, not as a status note rounds them.
            self.record(
                RecordKind::Served,
                attempt.router,
                attempt.server,
                attempt.request,
                attempt.position.0,
                0,
            );
            if self.scenario.traffic.tokens_carried && self.is_write(attempt.class) {
                let token = self
                    .session_commits
                    .entry(self.clients[client as usize].session)
                    .or_insert(attempt.position);
                *token = attempt.position.max(*token);
            }
            let pooler = &mut self.poolers[attempt.router as usize];
            pooler.open_requests.remove(&attempt.request);
            pooler.open_requests.remove(&(attempt.request | ATTEMPT_COUNT_BIT));
            self.finish_client(client, Some(self.now));
        }
        self.handle_router_event(
            attempt.router,
            linnetdeal_core::Event::Outcome(linnetdeal_core::Outcome {
                request: RequestId(attempt.request),
                attempt: AttemptNo(attempt.number),
                member: self.member_ids[attempt.server as usize].clone(),
                verdict,
                note,
                took: self.now - attempt.sent_at,
                closed: served,
                report: None,
            }),
        );
    }

    fn attempt_timed_out(&mut self, index: usize, request: u64, attempt_number: u32) {
        let attempt = self.attempts[index];
        // The slot may belong to another attempt by now.
        let same = (attempt.request, attempt.number) == (request, attempt_number);
        if attempt.ended || !same || self.poolers[attempt.router as usize].incarnation != attempt.incarnation
        {
            return;
        }
        self.attempts[index].ended = true;
        self.end_attempt(attempt, Verdict::Timeout, None);
    }

    /// A cancelled attempt has ended for its router; the box continues with the job.
    fn attempt_cancelled(&mut self, index: usize, request: u64, attempt_number: u32) {
        let attempt = self.attempts[index];
        if attempt.ended || (attempt.request, attempt.number) != (request, attempt_number) {
            return;
        }
        self.attempts[index].ended = true;
        if self.poolers[attempt.router as usize].incarnation == attempt.incarnation {
            self.end_attempt(attempt, Verdict::Cancelled, None);
        }
    }

    fn probe_arrives(&mut self, router: u32, incarnation: u32, server: u32) {
        let (verdict, report) = match self.fleet.hosts[server as usize].server.state() {
            ServerState::Dead | ServerState::Collapsed => (Verdict::ConnectFailed, None),
            ServerState::Paused(_) if !self.fleet.hosts[server as usize].hangs => {
                let verdict = Verdict::Unreachable;
                self.schedule_after(
                    CONNECT_TIMEOUT,
                    SimEvent::ProbeAnswered { router, incarnation, server, report: None, verdict },
                );
                return;
            }
            ServerState::Up | ServerState::Paused(_) => {
                self.fleet.hosts[server as usize].server.add_overhead(self.scenario.boxes.probe_work);
                (Verdict::Ok, self.fleet.report(server, self.now))
            }
        };
        let delay = self.network_delay(router, server);
        self.schedule_after(delay, SimEvent::ProbeAnswered { router, incarnation, server, report, verdict });
    }

    fn deliver_change(&mut self, router: u32, change: usize) {
        if self.poolers[router as usize].router.is_none() {
            return;
        }
        let change = self.fleet.changes[change];
        let (up, started) = (change.state == ListState::Healthy, change.started.unwrap_or(Time(0)));
        self.record(RecordKind::Told, router, change.server, 0, i64::from(up), started.0);
        let claim = self.claim(change);
        let now = self.now;
        let update = self.poolers[router as usize].members.apply_update(
            now,
            SourceId(0),
            SourceUpdate::Changes(vec![claim]),
        );
        if !update.changed.is_empty() {
            self.handle_router_event(router, linnetdeal_core::Event::List(Listing::Changes(update.changed)));
        }
    }

    fn kill_pooler(&mut self, trouble: usize, router: u32) {
        let pooler = &mut self.poolers[router as usize];
        if pooler.router.take().is_none() {
            return;
        }
        pooler.incarnation += 1;
        (pooler.next_wake, pooler.idle_connections, pooler.watching) = (None, HashMap::new(), false);
        let mut open: Vec<(u64, u32)> = std::mem::take(&mut pooler.open_requests).into_iter().collect();
        open.sort_unstable();
        self.record(RecordKind::Killed, router, 0, 0, 0, 0);
        for (request, client) in open {
            if request & ATTEMPT_COUNT_BIT == 0 {
                self.finish_client(client, None);
            }
        }
        if let Some(downtime) = self.fleet.pooler_downtime(trouble) {
            self.schedule_after(downtime, SimEvent::StartPooler { router });
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientArrives => self.client_arrives(),
            SimEvent::Retry { router, client } => self.submit(router, client),
            SimEvent::RequestArrives { attempt, dialed } => self.request_arrives(attempt, dialed),
            SimEvent::Fleet(what) => {
                self.fleet.handle(self.now, what, &mut self.rng, &mut self.fleet_actions);
                self.apply_fleet_actions();
            }
            SimEvent::Replicated { attempt, incarnation } => self.replicated(attempt, incarnation),
            SimEvent::AnswerArrives { attempt, verdict, note } => self.answer_arrives(attempt, verdict, note),
            SimEvent::AttemptTimeout { attempt, request, attempt_number } => {
                self.attempt_timed_out(attempt, request, attempt_number)
            }
            SimEvent::Wake { router, incarnation } => {
                let pooler = &mut self.poolers[router as usize];
                if pooler.incarnation == incarnation && pooler.next_wake == Some(self.now) {
                    pooler.next_wake = None;
                    self.handle_router_event(router, linnetdeal_core::Event::Wake);
                }
            }
            SimEvent::ProbeArrives { router, incarnation, server } => {
                self.probe_arrives(router, incarnation, server)
            }
            SimEvent::ProbeAnswered { router, incarnation, server, report, verdict } => {
                if self.poolers[router as usize].incarnation == incarnation {
                    let member = self.member_ids[server as usize].clone();
                    let fields = self.settings.report.len();
                    let report = report.map(|report| report[..fields].to_vec());
                    let took = Span(1_000);
                    self.handle_router_event(
                        router,
                        linnetdeal_core::Event::Probed { member, verdict, took, report },
                    );
                }
            }
            SimEvent::ListUpdate { router, change } => self.deliver_change(router, change),
            SimEvent::Publish { change } => self.publish(change),
            SimEvent::WatchUpdate { router, incarnation } => self.deliver_changes(router, incarnation),
            SimEvent::ListCallEnds { router, incarnation, failed } => {
                self.list_call_ends(router, incarnation, failed)
            }
            SimEvent::Cancelled { attempt, request, attempt_number } => {
                self.attempt_cancelled(attempt, request, attempt_number)
            }
            SimEvent::KillPooler { trouble, router } => self.kill_pooler(trouble, router),
            SimEvent::StartPooler { router } => self.start_pooler(router),
        }
    }
}

/// `Pooler::open_requests` also holds the number of a request's attempts, under the request's number with this bit
/// set.
const ATTEMPT_COUNT_BIT: u64 = 1 << 63;
