//! The host in virtual time: events in the order of their times, and of their making where these are equal. It drives the same
//! router and membership as the daemon and decides nothing for them.

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

/// When a run begins; the positions' zero, too.
pub const BEGIN: Time = Time(1_000_000_000_000);
const SLACK: Span = Span::millis(20);
const DIAL: Span = Span::millis(250);
/// A router without a watch that has not asked for so long counts as told of what was listed that long before.
const ASK_EVERY: Span = Span::millis(10_000);
/// A wake-up that is due already comes after so long.
const TICK: Span = Span::millis(1);
/// After the last request has come, a run goes on for so long at the most.
const AFTER: Span = Span::millis(8_000);

/// The rules that a scenario's run is to be held to.
#[must_use]
pub fn rules(scenario: &Scenario) -> Rules {
    let law = |plan: &ClassPlan| ClassRules {
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
        classes: class_plans(scenario).iter().map(law).collect(),
        drain_grace: scenario.fleet.grace,
        answer_slack: SLACK,
        cold: boxes.cold(),
        fall: boxes.fall(),
        second_copies: scenario.fleet.second_copies,
        tokens_carried: scenario.traffic.tokens_carried,
        poll_interval: scenario.list.asked.then_some(ASK_EVERY),
        full: (scenario.audit == AuditLevel::Full).then_some(FullRules {
            retries: scenario.traffic.retries,
            cores: boxes.cores,
            max_core_speed: boxes.speed * (1.0 + boxes.spread),
        }),
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Again {
        router: u32,
        try_of: u32,
    },
    Reach {
        attempt: usize,
        dialed: bool,
    },
    Fleet(FleetEvent),
    Shipped {
        attempt: usize,
        incarnation: u32,
    },
    Back {
        attempt: usize,
        verdict: Verdict,
        note: Option<Note>,
    },
    Late {
        attempt: usize,
        request: u64,
        number: u32,
    },
    Wake {
        router: u32,
        incarnation: u32,
    },
    Ask {
        router: u32,
        incarnation: u32,
        server: u32,
    },
    Tell {
        router: u32,
        incarnation: u32,
        server: u32,
        report: Option<[f64; 3]>,
        verdict: Verdict,
    },
    Told {
        router: u32,
        change: usize,
    },
    /// The list that is asked says something new; watches bring it; a call for it has come to its end.
    Publish {
        change: usize,
    },
    News {
        router: u32,
        incarnation: u32,
    },
    Watch {
        router: u32,
        incarnation: u32,
        failed: bool,
    },
    /// A router called off an attempt.
    Cancelled {
        attempt: usize,
        request: u64,
        number: u32,
    },
    Kill {
        trouble: usize,
        router: u32,
    },
    Start {
        router: u32,
    },
}

/// A pooler in the host.
struct Pooler {
    router: Option<Box<Router>>,
    members: Membership,
    zone: usize,
    incarnation: u32,
    wake: Option<Time>,
    /// Idle connections by box, and the life of the box that they are to.
    idle: HashMap<u32, (u32, u32)>,
    open: HashMap<u64, u32>,
    /// Where the list is asked: whether a watch is open, and how much of what was published it has brought.
    watch: bool,
    seen: usize,
}

/// A client's request over all its tries.
#[derive(Clone, Copy, Debug)]
struct Client {
    class: usize,
    session: u64,
    group: u32,
    asked: Time,
    tries: u32,
    work: Span,
    number: u64,
    tenant: Option<usize>,
    /// Within its tenant's share.
    within: bool,
    /// It heeds a retry-after.
    heeds: bool,
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
    sent: Time,
    commit: Time,
    /// A read must see what was committed by then.
    need: Time,
    over: bool,
}

/// What came out of a run, by the model's own count.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Events.
    pub events: u64,
    /// First tries, by class.
    pub requests: Vec<u64>,
    /// Of these, those that were served before their client gave up, be it at a later try.
    pub served: Vec<u64>,
    /// From the first try to the answer, in µs, by class.
    pub latency: Vec<Histogram<u64>>,
    /// First tries and served ones by the second in which they were asked.
    pub by_second: Vec<(u64, u64)>,
    /// Attempts that were sent, and probes.
    pub attempts: u64,
    /// Probes.
    pub probes: u64,
    /// The most boxes, poolers and requests that were open at once.
    pub max_open: usize,
    /// Boxes that fell.
    pub collapsed: u64,
    /// When the last event happened.
    pub end: Time,
    /// When boxes took over as primaries.
    pub promotions: Vec<(Time, u32)>,
    /// Worth served, by second, tenant and class.
    pub service: ServiceLevel,
    /// Tries of clients, first ones included, that reached a pooler.
    pub tries: u64,
    /// First tries that found their pooler dead.
    pub pooler_down: u64,
    /// Calls for the list where it is asked, and those that failed.
    pub calls: (u64, u64),
}

impl RunOutcome {
    /// First tries that reached a pooler.
    #[must_use]
    pub fn first_tries(&self) -> u64 {
        self.requests.iter().sum::<u64>() - self.pooler_down
    }

    /// The number of the class of writes.
    #[must_use]
    pub fn write_class(&self) -> usize {
        self.requests.len() - 1
    }

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

/// The number of the class of writes where the scenario names none.
pub const WRITE_CLASS: usize = 4;

/// The host.
struct Sim<'s, S> {
    plan: &'s Scenario,
    plans: Vec<ClassPlan>,
    settings: Settings,
    sink: &'s mut S,
    rng: ChaCha8Rng,
    traffic: Traffic,
    now: Time,
    queue: EventQueue<Event>,
    fleet: Fleet,
    poolers: Vec<Pooler>,
    names: Vec<MemberId>,
    attempts: Vec<Attempt>,
    free: Vec<usize>,
    clients: Vec<Client>,
    free_clients: Vec<u32>,
    effects: Vec<FleetAction>,
    next_request: u64,
    next_client: u64,
    surge: f64,
    discovery: DiscoveryService,
    published: Vec<usize>,
    /// The latest commits of sessions, as their clients know them.
    tokens: HashMap<u64, Time>,
    /// Attempts that may be called off, by request and number.
    out: HashMap<(u64, u32), usize>,
    until: Time,
    outcome: RunOutcome,
    actions: Vec<Action>,
}

/// Runs a scenario, and tells `sink` all that happens.
pub fn run<S: Sink>(scenario: &Scenario, sink: &mut S) -> RunOutcome {
    let mut sim = Sim::new(scenario, sink);
    sim.begin();
    while let Some((at, event)) = sim.queue.pop() {
        if at > sim.until + AFTER {
            break;
        }
        sim.now = at;
        sim.outcome.events += 1;
        sim.happens(event);
    }
    sim.outcome.end = sim.until + AFTER;
    (sim.outcome.promotions, sim.outcome.collapsed) = (sim.fleet.promotions, sim.fleet.collapsed);
    sim.outcome.calls = sim.discovery.calls;
    sim.outcome
}

impl<'s, S: Sink> Sim<'s, S> {
    fn new(plan: &'s Scenario, sink: &'s mut S) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let traffic = Traffic::new(plan);
        let plans = class_plans(plan);
        let tenant = |(of, quota): (&TenantSpec, &f64)| Tenant { name: of.name.clone(), quota: *quota };
        let fields = if plan.boxes.report_queue { &["x0", "x1", "queue"][..] } else { &["x0", "x1"] };
        let settings = Settings {
            tenants: plan.tenants.iter().zip(&traffic.quotas).map(tenant).collect(),
            over_share_worth: plan.traffic.over_share,
            discovery: if plan.list.asked { Discovery::Ask } else { Discovery::Push },
            second_copies: plan.fleet.second_copies,
            classes: plans.iter().map(|plan| plan.class.clone()).collect(),
            fleet: traffic.poolers_per_group(),
            checks: if plan.boxes.checks { Checks::Refuse } else { Checks::None },
            tokens: if plan.traffic.tokens_carried { Tokens::Carried } else { Tokens::Remembered },
            zero: BEGIN,
            report: fields.iter().map(|name| Field::named(name)).collect(),
            max_attempts: 10,
            probes: true,
            cancels: true,
            retry_after: true,
            max_retry_after: Span::millis(2_000),
            drain_grace: plan.fleet.grace,
            cold_share: plan.boxes.cold_from,
            cold_span: plan.boxes.cold_in,
            fall_multiple: plan.boxes.fall_multiple,
            fall_span: plan.boxes.fall_for,
            goal: Goal { whole: 0.6, worst_class: 0.2 },
            changes: Fleet::expected(plan),
            ..Settings::default()
        };
        let fleet = &plan.fleet;
        let boxes_of = Fleet::new(plan, BEGIN, &mut rng);
        let names = (0..boxes_of.hosts.len()).map(|at| MemberId(Arc::from(format!("b-{at:06}")))).collect();
        let poolers = (0..fleet.poolers)
            .map(|at| Pooler {
                router: None,
                members: Membership::new(Span::millis(900_000), 16_384),
                zone: at % fleet.zones,
                incarnation: 0,
                wake: None,
                idle: HashMap::new(),
                open: HashMap::new(),
                watch: false,
                seen: 0,
            })
            .collect();
        let histogram = || Histogram::new_with_bounds(1, 100_000_000, 3).expect("bounds that are in order");
        let outcome = RunOutcome {
            events: 0,
            requests: vec![0; plans.len()],
            served: vec![0; plans.len()],
            latency: plans.iter().map(|_| histogram()).collect(),
            by_second: vec![(0, 0); (plan.traffic.lasts.0 / 1_000_000) as usize + 2],
            attempts: 0,
            probes: 0,
            max_open: 0,
            collapsed: 0,
            end: BEGIN,
            promotions: Vec::new(),
            service: ServiceLevel::new(plan, &plans, &traffic.quotas, BEGIN),
            tries: 0,
            pooler_down: 0,
            calls: (0, 0),
        };
        Self {
            fleet: boxes_of,
            until: BEGIN + plan.traffic.lasts,
            now: BEGIN,
            queue: EventQueue::default(),
            attempts: Vec::new(),
            free: Vec::new(),
            clients: Vec::new(),
            free_clients: Vec::new(),
            effects: Vec::new(),
            next_request: 1,
            next_client: 0,
            surge: 1.0,
            discovery: DiscoveryService::new(&plan.list),
            published: Vec::new(),
            tokens: HashMap::new(),
            out: HashMap::new(),
            actions: Vec::new(),
            plan,
            plans,
            settings,
            sink,
            rng,
            traffic,
            poolers,
            names,
            outcome,
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.queue.schedule(at, event);
    }

    fn after(&mut self, span: Span, event: Event) {
        self.at(self.now + span, event);
    }

    fn record(&mut self, what: RecordKind, a: u32, b: u32, request: u64, x: i64, y: i64) {
        self.sink.record(Record { at: self.now, what, a, b, request, x, y });
    }

    fn begin(&mut self) {
        for router in 0..self.poolers.len() {
            self.start(router as u32);
        }
        let first = Span(1_000_000);
        self.after(first, Event::Arrive);
        let mut effects = Vec::new();
        self.fleet.schedule_troubles(&mut effects);
        self.effects = effects;
        self.follow();
    }

    /// A pooler starts with its list: as it was last told, roles included.
    fn start(&mut self, router: u32) {
        let incarnation = self.poolers[router as usize].incarnation;
        let seed = self.plan.seed ^ (u64::from(router) << 20) ^ (u64::from(incarnation) << 52);
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
        let taken = members.apply_update(self.now, SourceId(0), SourceUpdate::Full { claims, view: 0 });
        let pooler = &mut self.poolers[router as usize];
        pooler.members = members;
        (pooler.watch, pooler.seen) = (false, 0);
        pooler.router = Some(Box::new(Router::new(seed, self.settings.clone())));
        self.feed(router, linnetdeal_core::Event::List(Listing::Full(taken.changed)));
        // What was told before, and it has missed: a watch brings it at once, or once it is open.
        if self.plan.list.asked {
            return;
        }
        for change in 0..self.fleet.changes.len() {
            if self.traffic.serves(router, self.fleet.hosts[self.fleet.changes[change].server as usize].group)
                && incarnation > 0
            {
                self.after(Span::millis(50), Event::Told { router, change });
            }
        }
    }

    fn claim(&self, change: ListChange) -> Claim {
        let host = &self.fleet.hosts[change.server as usize];
        Claim {
            member: self.names[change.server as usize].clone(),
            address: None,
            group: Some(GroupId(i64::from(host.group))),
            zone: String::new(),
            machine: String::new(),
            primary: change.primary && self.plan.list.roles,
            started: change.started,
            state: change.state,
            version: ClaimVersion { stamp: change.number, ..ClaimVersion::default() },
        }
    }

    /// One way between a pooler and a box.
    fn way(&mut self, router: u32, server: u32) -> Span {
        let same = self.poolers[router as usize].zone == self.fleet.hosts[server as usize].zone;
        let way = if same { self.plan.network.same } else { self.plan.network.cross };
        way.times(0.85 + 0.3 * self.rng.random::<f64>())
    }

    fn feed(&mut self, router: u32, event: linnetdeal_core::Event) {
        let pooler = &mut self.poolers[router as usize];
        let Some(core) = pooler.router.as_mut() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        core.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, member, timeout } => self.send(router, request.0, &member, timeout),
                Action::Refuse { request, retry_after } => {
                    let back = retry_after.unwrap_or_default();
                    self.record(RecordKind::Refused, router, 0, request.0, back.0, 0);
                    self.ended(router, request.0, Some(back));
                }
                Action::Fail { request } => {
                    self.record(RecordKind::Failed, router, 0, request.0, 0, 0);
                    self.ended(router, request.0, None);
                }
                Action::Probe { member } => self.probe(router, &member),
                Action::Wake { at } => {
                    let pooler = &mut self.poolers[router as usize];
                    // One that is due by now must not come before time goes on: no clock of a host stands still.
                    let at = if at > self.now { at } else { self.now + TICK };
                    pooler.wake = Some(at);
                    let incarnation = pooler.incarnation;
                    self.at(at, Event::Wake { router, incarnation });
                }
                Action::Subscribe if self.plan.list.asked => self.subscribe(router),
                Action::Cancel { request, attempt } if self.plan.fleet.cancels => {
                    let (request, number) = (request.0, attempt.0);
                    if let Some(attempt) = self.out.get(&(request, number)).copied() {
                        self.after(Span(0), Event::Cancelled { attempt, request, number });
                    }
                }
                // Else time-outs end attempts here.
                Action::Cancel { .. } | Action::Tell { .. } | Action::Subscribe | Action::Log { .. } => {}
            }
        }
        self.actions = actions;
    }

    fn number_of(member: &MemberId) -> u32 {
        member.0[2..].parse().unwrap_or(0)
    }

    fn send(&mut self, router: u32, request: u64, member: &MemberId, timeout: Span) {
        let server = Self::number_of(member);
        let pooler = &mut self.poolers[router as usize];
        let Some(client) = pooler.open.get(&request).copied() else { return };
        let client = self.clients[client as usize];
        let (incarnation, server_incarnation) =
            (pooler.incarnation, self.fleet.hosts[server as usize].incarnation);
        let idle = pooler.idle.get_mut(&server).filter(|(count, of)| *count > 0 && *of == server_incarnation);
        let dialed = idle.map(|(count, _)| *count -= 1).is_none();
        // Attempts are numbered by request; a request has no two out, so that its own count does.
        let number = self.attempts_of(router, request);
        self.record(RecordKind::Sent, router, server, request, i64::from(number), 0);
        self.outcome.attempts += 1;
        let way = self.way(router, server);
        let need = match self.plans[client.class].class.need {
            Need::Bounded(bound) => self.now - bound,
            Need::Session => self.tokens.get(&client.session).copied().unwrap_or_default(),
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
            sent: self.now,
            commit: self.now,
            need,
            over: false,
        };
        let at = match self.free.pop() {
            Some(at) => {
                self.attempts[at] = attempt;
                at
            }
            None => {
                self.attempts.push(attempt);
                self.attempts.len() - 1
            }
        };
        let takes = if dialed { Span(3 * way.0 + self.plan.boxes.handshake.0) } else { way };
        if self.plan.fleet.cancels {
            self.out.insert((request, number), at);
        }
        self.after(takes, Event::Reach { attempt: at, dialed });
        self.after(timeout.max(Span(1)), Event::Late { attempt: at, request, number });
    }

    fn attempts_of(&mut self, router: u32, request: u64) -> u32 {
        let count = self.poolers[router as usize].open.get(&(request | COUNT)).copied().unwrap_or(0);
        self.poolers[router as usize].open.insert(request | COUNT, count + 1);
        count
    }

    fn probe(&mut self, router: u32, member: &MemberId) {
        let (server, incarnation) = (Self::number_of(member), self.poolers[router as usize].incarnation);
        self.outcome.probes += 1;
        let way = self.way(router, server);
        self.after(way, Event::Ask { router, incarnation, server });
    }

    fn asked(&mut self, router: u32, client: u32) {
        let of = self.clients[client as usize];
        let (full, patience) = (self.plans[of.class].deadline, self.plan.clients.patience);
        let mut deadline = of.asked + full;
        if patience < 1.0 {
            deadline = deadline.min(self.now + full.times(self.rng.random_range(patience..=1.0)));
        }
        if self.poolers[router as usize].router.is_none() || deadline <= self.now {
            self.outcome.pooler_down += u64::from(of.tries == 0);
            self.over(client, None);
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        let b = of.class as u32 + 256 * of.group;
        self.outcome.tries += 1;
        if self.plan.audit == AuditLevel::Full {
            self.record(RecordKind::Try, router, 0, request, of.number as i64, i64::from(of.tries));
        }
        self.record(RecordKind::Asked, router, b, request, deadline.0, of.session as i64);
        let pooler = &mut self.poolers[router as usize];
        pooler.open.insert(request, client);
        self.outcome.max_open = self.outcome.max_open.max(self.clients.len() - self.free_clients.len());
        let need = self.plans[of.class].class.need;
        let session = matches!(need, Need::Write | Need::Session);
        let wrote = self.tokens.get(&of.session).filter(|_| need == Need::Session);
        let last_write = wrote.map(|at| self.now - *at);
        self.feed(
            router,
            linnetdeal_core::Event::Request(Request {
                id: RequestId(request),
                class: ClassId(of.class),
                tenant: of.tenant.map(TenantId),
                session: session.then_some(SessionKey(of.session)),
                left: deadline - self.now,
                group: GroupId(i64::from(of.group)),
                last_write,
                cost: None,
                retry: self.plan.clients.marks && of.tries > 0,
            }),
        );
    }

    /// A request has its final answer, and no value. A client may come back, with what time it has.
    fn ended(&mut self, router: u32, request: u64, refused: Option<Span>) {
        let pooler = &mut self.poolers[router as usize];
        pooler.open.remove(&(request | COUNT));
        let Some(client) = pooler.open.remove(&request) else { return };
        let of = &mut self.clients[client as usize];
        let safe = self.plans[of.class].class.effect == Effect::Safe;
        if of.tries >= self.plan.traffic.retries || (refused.is_none() && !safe) {
            self.over(client, None);
            return;
        }
        of.tries += 1;
        let (clients, heeds) = (&self.plan.clients, of.heeds);
        let longer = if clients.wait == RetryWait::Exponential { 1 << (of.tries - 1).min(16) } else { 1 };
        let ms = |of: Span| of.0 / 1_000;
        let most = ms(clients.wait_most).max(ms(clients.wait_least) + 1);
        let drawn = Span::millis(self.rng.random_range(ms(clients.wait_least)..most) * longer);
        let wait = drawn.max(refused.filter(|_| heeds).unwrap_or_default());
        self.after(wait, Event::Again { router, try_of: client });
    }

    /// A client is done.
    fn over(&mut self, client: u32, served: Option<Time>) {
        let of = self.clients[client as usize];
        if let Some(at) = served {
            self.outcome.served[of.class] += 1;
            self.outcome.service.record_served(of.asked, at - of.asked, of.tenant, of.within, of.class);
            let took = (at - of.asked).0.max(1).unsigned_abs();
            self.outcome.latency[of.class].saturating_record(took);
            let second = ((of.asked - BEGIN).0 / 1_000_000) as usize;
            if let Some(of) = self.outcome.by_second.get_mut(second) {
                of.1 += 1;
            }
        }
        self.free_clients.push(client);
    }

    fn arrive(&mut self) {
        let gap = self.traffic.gap(self.surge, &mut self.rng);
        if self.now + gap < self.until {
            self.after(gap, Event::Arrive);
        }
        let ClientRequest { class, session, group, router, work, tenant } = self.traffic.draw(&mut self.rng);
        let share = self.plan.clients.heeds;
        let heeds = share >= 1.0 || self.rng.random::<f64>() < share;
        let within = self.outcome.service.record_request(self.now, tenant, class);
        self.next_client += 1;
        let number = self.next_client;
        let client =
            Client { class, session, group, asked: self.now, tries: 0, work, number, tenant, within, heeds };
        let at = match self.free_clients.pop() {
            Some(at) => {
                self.clients[at as usize] = client;
                at
            }
            None => {
                self.clients.push(client);
                self.clients.len() as u32 - 1
            }
        };
        self.outcome.requests[class] += 1;
        let second = ((self.now - BEGIN).0 / 1_000_000) as usize;
        if let Some(of) = self.outcome.by_second.get_mut(second) {
            of.0 += 1;
        }
        self.asked(router, at);
    }

    /// An attempt's end is on its way to the pooler.
    fn answer(&mut self, attempt: usize, verdict: Verdict, note: Option<Note>) {
        let Attempt { router, server, .. } = self.attempts[attempt];
        let way = self.way(router, server);
        self.after(way, Event::Back { attempt, verdict, note });
    }

    fn reach(&mut self, at: usize, dialed: bool) {
        let of = self.attempts[at];
        let host = &self.fleet.hosts[of.server as usize];
        match host.server.state() {
            ServerState::Dead | ServerState::Collapsed => {
                let verdict = if dialed { Verdict::ConnectFailed } else { Verdict::Reset };
                return self.answer(at, verdict, None);
            }
            ServerState::Paused(_) if dialed && !host.hangs => {
                self.after(DIAL, Event::Back { attempt: at, verdict: Verdict::Unreachable, note: None });
                return;
            }
            _ if !dialed && host.incarnation != of.server_incarnation => {
                return self.answer(at, Verdict::Reset, None);
            }
            _ => {}
        }
        self.attempts[at].server_incarnation = host.incarnation;
        self.record(RecordKind::Came, of.router, of.server, of.request, of.work.0, 0);
        if dialed {
            self.fleet.hosts[of.server as usize].server.add_overhead(self.plan.boxes.handshake_work);
        }
        if self.behind(&of) && self.fleet.hosts[of.server as usize].server.state() == ServerState::Up {
            let note = self.fleet.note(of.server, self.now);
            return self.answer(at, Verdict::Miss, Some(note));
        }
        let (job, write) = (Job { id: at as u64, work: of.work }, self.is_write(of.class));
        let came = self.fleet.deliver(self.now, of.server, job, write, &mut self.rng, &mut self.effects);
        match came {
            Delivery::Accepted => self.record_job(RecordKind::Took, &of, of.work.0),
            Delivery::Answered(verdict, note) => self.answer(at, verdict, Some(note)),
            Delivery::ConnectionLost => self.answer(at, Verdict::Reset, None),
        }
        self.follow();
    }

    /// Whether a box that checks its reads is too far behind for this one.
    fn behind(&mut self, of: &Attempt) -> bool {
        self.plan.boxes.checks
            && !self.is_write(of.class)
            && self.fleet.position(of.server, self.now) < of.need
    }

    fn record_job(&mut self, what: RecordKind, of: &Attempt, x: i64) {
        if self.plan.audit == AuditLevel::Full {
            self.record(what, of.router, of.server, of.request, x, i64::from(of.number));
        }
    }

    fn is_write(&self, class: usize) -> bool {
        self.plans[class].class.need == Need::Write
    }

    /// Sees to what follows from what happened to the boxes.
    fn follow(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                FleetAction::Schedule(at, what) => self.at(at, Event::Fleet(what)),
                FleetAction::Record(what, server, request, x) => self.record(what, 0, server, request, x, 0),
                FleetAction::JobLost(id) => {
                    let of = self.attempts[id as usize];
                    self.record_job(RecordKind::Lost, &of, 0);
                    self.answer(id as usize, Verdict::Reset, None);
                }
                FleetAction::JobDone(server, id) => self.through(server, id as usize),
                FleetAction::ListChanged(change, noticed) => self.listed(change, noticed),
                // Its connections are told from those of its earlier life, and what it holds waits in the model.
                FleetAction::StateChanged(_) => {}
                FleetAction::KillPooler(at, trouble, router) => self.at(at, Event::Kill { trouble, router }),
                FleetAction::SetSurge(factor) => self.surge = factor,
                FleetAction::ListOverbooked(factor) => self.overbooked(factor),
            }
        }
        self.effects = effects;
    }

    fn through(&mut self, server: u32, at: usize) {
        let of = self.attempts[at];
        self.record_job(RecordKind::Through, &of, 0);
        // It came while the box stood still, and could not be turned away.
        if self.behind(&of) {
            let note = self.fleet.note(of.server, self.now);
            return self.answer(at, Verdict::Miss, Some(note));
        }
        match self.fleet.finish(self.now, server, self.is_write(of.class)) {
            JobResult::Read(note, position) => {
                self.attempts[at].commit = position;
                self.answer(at, Verdict::Ok, Some(note));
            }
            // It lost its role while it held the write.
            JobResult::RoleLost(note) => self.answer(at, Verdict::Error, Some(note)),
            JobResult::Committed(commit) => {
                self.attempts[at].commit = commit;
                self.record(RecordKind::Ran, of.router, server, of.request, commit.0, 0);
                let incarnation = self.fleet.hosts[server as usize].incarnation;
                self.after(self.fleet.ship(), Event::Shipped { attempt: at, incarnation });
            }
        }
    }

    /// A router asks for the list, and to be told of what changes.
    fn subscribe(&mut self, router: u32) {
        self.record(RecordKind::Called, router, 0, 0, 0, 0);
        let incarnation = self.poolers[router as usize].incarnation;
        let (at, failed) = match self.discovery.call(self.now) {
            CallOutcome::Answered(at) => (at, false),
            CallOutcome::Failed(at) => (at, true),
        };
        self.at(at, Event::Watch { router, incarnation, failed });
    }

    fn watch(&mut self, router: u32, incarnation: u32, failed: bool) {
        if self.poolers[router as usize].incarnation != incarnation
            || self.poolers[router as usize].router.is_none()
        {
            return;
        }
        self.poolers[router as usize].watch = !failed;
        self.record(RecordKind::Watching, router, 0, 0, if failed { -1 } else { 1 }, 0);
        let answer = if failed { Listing::Failed } else { Listing::Changes(Vec::new()) };
        self.feed(router, linnetdeal_core::Event::List(answer));
        self.news(router, incarnation);
    }

    /// A watch brings what was published since it last did.
    fn news(&mut self, router: u32, incarnation: u32) {
        let pooler = &self.poolers[router as usize];
        if pooler.incarnation != incarnation || !pooler.watch {
            return;
        }
        while let Some(change) = self.published.get(self.poolers[router as usize].seen).copied() {
            self.poolers[router as usize].seen += 1;
            let group = self.fleet.hosts[self.fleet.changes[change].server as usize].group;
            if self.traffic.serves(router, group) {
                self.told(router, change);
            }
        }
    }

    fn publish(&mut self, change: usize) {
        let of = self.fleet.changes[change];
        let up = i64::from(of.state == ListState::Healthy);
        self.record(RecordKind::Published, 0, of.server, 0, up, 0);
        self.published.push(change);
        let out = self.discovery.next_notification(self.now);
        for router in 0..self.poolers.len() as u32 {
            let incarnation = self.poolers[router as usize].incarnation;
            if self.poolers[router as usize].watch {
                self.at(out + self.traffic.list_delay(router), Event::News { router, incarnation });
            }
        }
    }

    /// All watches end, and calls take so many times as long; or it is over.
    fn overbooked(&mut self, factor: f64) {
        self.discovery.slowdown = factor;
        for router in 0..self.poolers.len() as u32 {
            if factor > 1.0 && std::mem::take(&mut self.poolers[router as usize].watch) {
                self.record(RecordKind::Watching, router, 0, 0, 0, 0);
                self.feed(router, linnetdeal_core::Event::List(Listing::Failed));
            }
        }
    }

    fn listed(&mut self, change: usize, noticed: Time) {
        if self.plan.list.asked {
            return self.at(noticed, Event::Publish { change });
        }
        let group = self.fleet.hosts[self.fleet.changes[change].server as usize].group;
        for router in 0..self.poolers.len() as u32 {
            if self.traffic.serves(router, group) {
                self.at(noticed + self.traffic.list_delay(router), Event::Told { router, change });
            }
        }
    }

    fn shipped(&mut self, at: usize, incarnation: u32) {
        let of = self.attempts[at];
        if self.fleet.hosts[of.server as usize].incarnation != incarnation {
            return self.answer(at, Verdict::Reset, None);
        }
        self.record(RecordKind::Kept, of.router, of.server, of.request, of.commit.0, 0);
        let commit = Time(of.commit.0.div_euclid(1_000) * 1_000 + 1_000);
        self.answer(at, Verdict::Ok, Some(Note { role: Some(Role::Primary), position: Some(commit) }));
    }

    /// A pooler hears of the end of an attempt. What it has given up before is of no use to it any more.
    fn back(&mut self, at: usize, verdict: Verdict, note: Option<Note>) {
        let of = self.attempts[at];
        self.free.push(at);
        if std::mem::replace(&mut self.attempts[at].over, true) {
            return;
        }
        if self.poolers[of.router as usize].incarnation != of.incarnation {
            return;
        }
        let kept = !matches!(verdict, Verdict::ConnectFailed | Verdict::Unreachable | Verdict::Reset);
        if kept && self.fleet.hosts[of.server as usize].incarnation == of.server_incarnation {
            let idle =
                self.poolers[of.router as usize].idle.entry(of.server).or_insert((0, of.server_incarnation));
            *idle = if idle.1 == of.server_incarnation {
                (idle.0 + 1, idle.1)
            } else {
                (1, of.server_incarnation)
            };
        }
        self.ends(of, verdict, note);
    }

    fn ends(&mut self, of: Attempt, verdict: Verdict, note: Option<Note>) {
        self.record(RecordKind::Over, of.router, of.server, of.request, i64::from(of.number), 0);
        self.out.remove(&(of.request, of.number));
        let client = self.poolers[of.router as usize].open.get(&of.request).copied();
        let served = verdict == Verdict::Ok && client.is_some();
        if let Some(client) = client.filter(|_| served) {
            // The commit of a write, the position that a read was answered from: as they are, not as a note rounds them.
            self.record(RecordKind::Served, of.router, of.server, of.request, of.commit.0, 0);
            if self.plan.traffic.tokens_carried && self.is_write(of.class) {
                let token = self.tokens.entry(self.clients[client as usize].session).or_insert(of.commit);
                *token = of.commit.max(*token);
            }
            let pooler = &mut self.poolers[of.router as usize];
            pooler.open.remove(&of.request);
            pooler.open.remove(&(of.request | COUNT));
            self.over(client, Some(self.now));
        }
        self.feed(
            of.router,
            linnetdeal_core::Event::Outcome(linnetdeal_core::Outcome {
                request: RequestId(of.request),
                attempt: AttemptNo(of.number),
                member: self.names[of.server as usize].clone(),
                verdict,
                note,
                took: self.now - of.sent,
                closed: served,
                report: None,
            }),
        );
    }

    fn late(&mut self, at: usize, request: u64, number: u32) {
        let of = self.attempts[at];
        // Its place may be another's by now.
        let same = (of.request, of.number) == (request, number);
        if of.over || !same || self.poolers[of.router as usize].incarnation != of.incarnation {
            return;
        }
        self.attempts[at].over = true;
        self.ends(of, Verdict::Timeout, None);
    }

    /// What was called off has ended for its router; a box that has it works on.
    fn cancelled(&mut self, at: usize, request: u64, number: u32) {
        let of = self.attempts[at];
        if of.over || (of.request, of.number) != (request, number) {
            return;
        }
        self.attempts[at].over = true;
        if self.poolers[of.router as usize].incarnation == of.incarnation {
            self.ends(of, Verdict::Cancelled, None);
        }
    }

    fn ask(&mut self, router: u32, incarnation: u32, server: u32) {
        let (verdict, report) = match self.fleet.hosts[server as usize].server.state() {
            ServerState::Dead | ServerState::Collapsed => (Verdict::ConnectFailed, None),
            ServerState::Paused(_) if !self.fleet.hosts[server as usize].hangs => {
                let verdict = Verdict::Unreachable;
                self.after(DIAL, Event::Tell { router, incarnation, server, report: None, verdict });
                return;
            }
            ServerState::Up | ServerState::Paused(_) => {
                self.fleet.hosts[server as usize].server.add_overhead(self.plan.boxes.probe_work);
                (Verdict::Ok, self.fleet.report(server, self.now))
            }
        };
        let way = self.way(router, server);
        self.after(way, Event::Tell { router, incarnation, server, report, verdict });
    }

    fn told(&mut self, router: u32, change: usize) {
        if self.poolers[router as usize].router.is_none() {
            return;
        }
        let change = self.fleet.changes[change];
        let (up, started) = (change.state == ListState::Healthy, change.started.unwrap_or(Time(0)));
        self.record(RecordKind::Told, router, change.server, 0, i64::from(up), started.0);
        let claim = self.claim(change);
        let now = self.now;
        let taken = self.poolers[router as usize].members.apply_update(
            now,
            SourceId(0),
            SourceUpdate::Changes(vec![claim]),
        );
        if !taken.changed.is_empty() {
            self.feed(router, linnetdeal_core::Event::List(Listing::Changes(taken.changed)));
        }
    }

    fn kill(&mut self, at: usize, router: u32) {
        let pooler = &mut self.poolers[router as usize];
        if pooler.router.take().is_none() {
            return;
        }
        pooler.incarnation += 1;
        (pooler.wake, pooler.idle, pooler.watch) = (None, HashMap::new(), false);
        let mut open: Vec<(u64, u32)> = std::mem::take(&mut pooler.open).into_iter().collect();
        open.sort_unstable();
        self.record(RecordKind::Killed, router, 0, 0, 0, 0);
        for (request, client) in open {
            if request & COUNT == 0 {
                self.over(client, None);
            }
        }
        if let Some(lasts) = self.fleet.away(at) {
            self.after(lasts, Event::Start { router });
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Again { router, try_of } => self.asked(router, try_of),
            Event::Reach { attempt, dialed } => self.reach(attempt, dialed),
            Event::Fleet(what) => {
                self.fleet.handle(self.now, what, &mut self.rng, &mut self.effects);
                self.follow();
            }
            Event::Shipped { attempt, incarnation } => self.shipped(attempt, incarnation),
            Event::Back { attempt, verdict, note } => self.back(attempt, verdict, note),
            Event::Late { attempt, request, number } => self.late(attempt, request, number),
            Event::Wake { router, incarnation } => {
                let pooler = &mut self.poolers[router as usize];
                if pooler.incarnation == incarnation && pooler.wake == Some(self.now) {
                    pooler.wake = None;
                    self.feed(router, linnetdeal_core::Event::Wake);
                }
            }
            Event::Ask { router, incarnation, server } => self.ask(router, incarnation, server),
            Event::Tell { router, incarnation, server, report, verdict } => {
                if self.poolers[router as usize].incarnation == incarnation {
                    let member = self.names[server as usize].clone();
                    let fields = self.settings.report.len();
                    let report = report.map(|report| report[..fields].to_vec());
                    let took = Span(1_000);
                    self.feed(router, linnetdeal_core::Event::Probed { member, verdict, took, report });
                }
            }
            Event::Told { router, change } => self.told(router, change),
            Event::Publish { change } => self.publish(change),
            Event::News { router, incarnation } => self.news(router, incarnation),
            Event::Watch { router, incarnation, failed } => self.watch(router, incarnation, failed),
            Event::Cancelled { attempt, request, number } => self.cancelled(attempt, request, number),
            Event::Kill { trouble, router } => self.kill(trouble, router),
            Event::Start { router } => self.start(router),
        }
    }
}

/// Beside a request's client, its count of attempts is kept under its number with this bit.
const COUNT: u64 = 1 << 63;
