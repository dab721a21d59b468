//! The host in virtual time: events in the order of their times, and of their making where these are equal. It drives the same
//! router and membership as the daemon and decides nothing for them.

use crate::audit::{Fresh, Law, Rules};
use crate::group::{Group, Ways};
use crate::record::{Record, Sink, What};
use crate::scenario::{Ill, Scenario, Trouble, Who};
use crate::server::{Came, Job, Kind, Life, Server};
use hdrhistogram::Histogram;
use linnetdeal_core::membership::{Claim, Doubt, Evidence, Membership, News, SourceId};
use linnetdeal_core::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_distr::{Distribution, Exp1, Zipf};
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

/// When a run begins; the positions' zero, too.
pub const BEGIN: Time = Time(1_000_000_000_000);
const GRACE: Span = Span::millis(250);
const SLACK: Span = Span::millis(20);
const COLD: (f64, Span) = (0.16, Span::millis(16_000));
const FALL: (f64, Span) = (2.5, Span::millis(3_000));
const DIAL: Span = Span::millis(250);
/// What opening a connection takes a box, beside a round trip.
const HANDSHAKE: Span = Span(2_000);
/// After the last request has come, a run goes on for so long at the most.
const AFTER: Span = Span::millis(8_000);
/// The shortest change without a plan, as a part of the usual.
const LEAST_CHANGE: f64 = 0.75;
const BACK_MS: std::ops::Range<i64> = 10..80;

/// A class of the model: what a client asks of it, and the share of requests that it is.
struct Plan {
    class: Class,
    share: f64,
    work: std::ops::Range<i64>,
    deadline: Span,
}

fn plans() -> Vec<Plan> {
    let plan = |name: &str, need, effect, share, aim, deadline, worth, late, work| Plan {
        class: Class {
            name: name.into(),
            effect,
            need,
            aim: Span::millis(aim),
            aim_stretch: 0.0,
            worth,
            late_worth: late,
        },
        share,
        work,
        deadline: Span::millis(deadline),
    };
    let bound = Need::Bounded(Span::millis(1_500));
    let read = 53_000..92_000;
    vec![
        plan("bundle-menu", bound, Effect::Safe, 0.41, 400, 1_000, 3.0, 0.2, read.clone()),
        plan("my-recent", Need::Session, Effect::Safe, 0.24, 400, 1_000, 1.0, 0.0, read.clone()),
        plan("usage-history", Need::Any, Effect::Safe, 0.20, 300, 1_000, 2.0, 0.2, read.clone()),
        plan("balance-check", Need::Fresh, Effect::Safe, 0.035, 300, 1_000, 1.0, 0.0, read),
        plan("top-up", Need::Write, Effect::Unsafe, 0.115, 300, 5_000, 3.0, 0.3, 32_000..55_000),
    ]
}

/// The rules that a run is to be held to.
#[must_use]
pub fn rules() -> Rules {
    let law = |plan: &Plan| Law {
        fragile: plan.class.effect == Effect::Unsafe,
        write: plan.class.need == Need::Write,
        fresh: match plan.class.need {
            Need::Any | Need::Write => Fresh::Any,
            Need::Bounded(bound) => Fresh::Bounded(bound),
            Need::Session => Fresh::Session,
            Need::Fresh => Fresh::All,
        },
    };
    Rules { laws: plans().iter().map(law).collect(), grace: GRACE, slack: SLACK, cold: COLD, fall: FALL }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Again { router: u32, try_of: u32 },
    Reach { attempt: usize, dialed: bool },
    Done { server: u32, id: u64 },
    Shipped { attempt: usize, life: u32 },
    Back { attempt: usize, verdict: Verdict, note: Option<Note> },
    Late { attempt: usize, request: u64, number: u32 },
    Wake { router: u32, life: u32 },
    Ask { router: u32, life: u32, server: u32 },
    Tell { router: u32, life: u32, server: u32, report: Option<[f64; 2]>, verdict: Verdict },
    Told { router: u32, change: usize },
    Trouble { at: usize },
    Befalls { trouble: usize, server: u32 },
    Over { trouble: usize, server: u32, life: u32 },
    Elect { group: u32, epoch: u32 },
    Promote { group: u32, epoch: u32, member: u32 },
    Kill { trouble: usize, router: u32 },
    Start { router: u32 },
}

struct Due {
    at: Time,
    number: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The earliest is the greatest; of equal times the one that was made first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A box in the host: the model, and what is round it.
struct Host {
    server: Server,
    group: u32,
    member: u32,
    zone: usize,
    /// How often it has died: connections of an earlier life are gone.
    life: u32,
    /// The latest report, and when it was made.
    report: (Time, [f64; 2]),
    /// When the list tells of its latest change.
    noticed: Time,
}

/// A pooler in the host.
struct Pooler {
    router: Option<Box<Router>>,
    members: Membership,
    zone: usize,
    life: u32,
    wake: Option<Time>,
    /// Idle connections by box, and the life of the box that they are to.
    idle: HashMap<u32, (u32, u32)>,
    open: HashMap<u64, u32>,
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
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    router: u32,
    life: u32,
    request: u64,
    number: u32,
    server: u32,
    server_life: u32,
    class: usize,
    work: Span,
    sent: Time,
    commit: Time,
    over: bool,
}

/// A change of the list: what it says from then on.
#[derive(Clone, Copy, Debug)]
struct Change {
    server: u32,
    state: ListState,
    started: Option<Time>,
    primary: bool,
    number: i64,
}

/// What came out of a run, by the model's own count.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Events.
    pub events: u64,
    /// First tries, by class.
    pub asked: Vec<u64>,
    /// Of these, those that were served before their client gave up, be it at a later try.
    pub served: Vec<u64>,
    /// From the first try to the answer, in µs, by class.
    pub latency: Vec<Histogram<u64>>,
    /// First tries and served ones by the second in which they were asked.
    pub by_second: Vec<(u64, u64)>,
    /// Attempts that were sent, and probes.
    pub sent: u64,
    /// Probes.
    pub probes: u64,
    /// The most boxes, poolers and requests that were open at once.
    pub most_open: usize,
    /// Boxes that fell.
    pub fallen: u64,
    /// When the last event happened.
    pub end: Time,
    /// When boxes took over as primaries.
    pub promoted: Vec<(Time, u32)>,
}

impl Outcome {
    /// The share of all that was served.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.served.iter().sum::<u64>() as f64 / self.asked.iter().sum::<u64>().max(1) as f64
    }

    /// The same of a class.
    #[must_use]
    pub fn share_of(&self, class: usize) -> f64 {
        self.served[class] as f64 / self.asked[class].max(1) as f64
    }
}

/// The number of the class of writes.
pub const WRITES: usize = 4;

/// The host.
struct Sim<'s, S> {
    plan: &'s Scenario,
    plans: Vec<Plan>,
    settings: Settings,
    sink: &'s mut S,
    rng: ChaCha8Rng,
    zipf: Option<Zipf<f64>>,
    now: Time,
    queue: BinaryHeap<Due>,
    number: u64,
    hosts: Vec<Host>,
    groups: Vec<Group>,
    epochs: Vec<u32>,
    poolers: Vec<Pooler>,
    names: Vec<MemberId>,
    attempts: Vec<Attempt>,
    free: Vec<usize>,
    clients: Vec<Client>,
    free_clients: Vec<u32>,
    changes: Vec<Change>,
    next_request: u64,
    rate: f64,
    surge: f64,
    until: Time,
    sets: usize,
    outcome: Outcome,
    actions: Vec<Action>,
}

/// Runs a scenario, and tells `sink` all that happens.
pub fn run<S: Sink>(scenario: &Scenario, sink: &mut S) -> Outcome {
    let mut sim = Sim::new(scenario, sink);
    sim.begin();
    while let Some(Due { at, event, .. }) = sim.queue.pop() {
        if at > sim.until + AFTER {
            break;
        }
        sim.now = at;
        sim.outcome.events += 1;
        sim.happens(event);
    }
    sim.outcome.end = sim.until + AFTER;
    sim.outcome
}

impl<'s, S: Sink> Sim<'s, S> {
    fn new(plan: &'s Scenario, sink: &'s mut S) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let plans = plans();
        let settings = Settings {
            classes: plans.iter().map(|plan| plan.class.clone()).collect(),
            fleet: Self::sharing(plan),
            checks: Checks::None,
            tokens: Tokens::Remembered,
            zero: BEGIN,
            report: vec![Field::Position, Field::Primary],
            max_attempts: 10,
            probes: true,
            cancels: true,
            retry_after: true,
            max_retry_after: Span::millis(2_000),
            drain_grace: GRACE,
            cold_share: COLD.0,
            cold_span: COLD.1,
            fall_multiple: FALL.0,
            fall_span: FALL.1,
            goal: Goal { whole: 0.6, worst_class: 0.2 },
            changes: [plan.boxes.switch, Span(plan.boxes.detect.0 + plan.boxes.elect.0)].map(|usual| {
                let least = usual.times(LEAST_CHANGE);
                plan.fleet.expected.then_some(Expected { least, usual })
            }),
            ..Settings::default()
        };
        let (boxes, fleet) = (&plan.boxes, &plan.fleet);
        let ways = Ways {
            ship: boxes.ship,
            apply: boxes.apply,
            detect: boxes.detect,
            elect: boxes.elect,
            switch: boxes.switch,
        };
        let mut hosts = Vec::new();
        for group in 0..fleet.groups {
            for member in 0..fleet.members {
                let spread = 1.0 + boxes.spread * (rng.random::<f64>() * 2.0 - 1.0);
                let kind = Kind {
                    cores: boxes.cores,
                    speed: boxes.speed * spread,
                    room: boxes.room,
                    crowding: boxes.crowding,
                    cold: COLD,
                    fall: FALL,
                };
                hosts.push(Host {
                    server: Server::new(kind),
                    group: group as u32,
                    member: member as u32,
                    zone: (group + member) % fleet.zones,
                    life: 0,
                    report: (Time(0), [0.0; 2]),
                    noticed: BEGIN,
                });
            }
        }
        let mean = |of: &dyn Fn(&Plan) -> bool| -> f64 {
            plans
                .iter()
                .filter(|plan| of(plan))
                .map(|plan| plan.share * (plan.work.start + plan.work.end) as f64 / 2e6)
                .sum()
        };
        let one = boxes.cores as f64 * boxes.speed;
        let primary = mean(&|plan| matches!(plan.class.need, Need::Write | Need::Fresh));
        let able = (one * fleet.members as f64 / mean(&|_| true)).min(one / primary) * fleet.groups as f64;
        let rate = if plan.traffic.rate > 0.0 { plan.traffic.rate } else { able * plan.traffic.load };
        let names = (0..hosts.len()).map(|at| MemberId(Arc::from(format!("b-{at:06}")))).collect();
        let sets = Self::sets(plan);
        let poolers = (0..fleet.poolers)
            .map(|at| Pooler {
                router: None,
                members: Membership::new(Span::millis(900_000), 16_384),
                zone: at % fleet.zones,
                life: 0,
                wake: None,
                idle: HashMap::new(),
                open: HashMap::new(),
            })
            .collect();
        let histogram = || Histogram::new_with_bounds(1, 100_000_000, 3).expect("bounds that are in order");
        let zipf = (plan.traffic.zipf > 0.0)
            .then(|| Zipf::new(plan.traffic.sessions as f64, plan.traffic.zipf).ok())
            .flatten();
        let outcome = Outcome {
            events: 0,
            asked: vec![0; plans.len()],
            served: vec![0; plans.len()],
            latency: plans.iter().map(|_| histogram()).collect(),
            by_second: vec![(0, 0); (plan.traffic.lasts.0 / 1_000_000) as usize + 2],
            sent: 0,
            probes: 0,
            most_open: 0,
            fallen: 0,
            end: BEGIN,
            promoted: Vec::new(),
        };
        Self {
            groups: vec![Group::new(ways, fleet.members, BEGIN); fleet.groups],
            epochs: vec![0; fleet.groups],
            until: BEGIN + plan.traffic.lasts,
            now: BEGIN,
            queue: BinaryHeap::new(),
            number: 0,
            attempts: Vec::new(),
            free: Vec::new(),
            clients: Vec::new(),
            free_clients: Vec::new(),
            changes: Vec::new(),
            next_request: 1,
            surge: 1.0,
            actions: Vec::new(),
            plan,
            plans,
            settings,
            sink,
            rng,
            zipf,
            hosts,
            poolers,
            names,
            rate,
            sets,
            outcome,
        }
    }

    /// Poolers come in so many sets, each of which serves its own groups.
    fn sets(plan: &Scenario) -> usize {
        let reach = if plan.fleet.reach == 0 { plan.fleet.groups } else { plan.fleet.reach };
        plan.fleet.groups.div_ceil(reach).clamp(1, plan.fleet.poolers)
    }

    /// How many poolers share a group.
    fn sharing(plan: &Scenario) -> u32 {
        (plan.fleet.poolers / Self::sets(plan)).max(1) as u32
    }

    fn at(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.queue.push(Due { at, number: self.number, event });
    }

    fn after(&mut self, span: Span, event: Event) {
        self.at(self.now + span, event);
    }

    fn record(&mut self, what: What, a: u32, b: u32, request: u64, x: i64, y: i64) {
        self.sink.take(Record { at: self.now, what, a, b, request, x, y });
    }

    fn begin(&mut self) {
        for router in 0..self.poolers.len() {
            self.start(router as u32);
        }
        let first = Span(1_000_000);
        self.after(first, Event::Arrive);
        for (at, trouble) in self.plan.troubles.iter().enumerate() {
            self.at(BEGIN + trouble.at, Event::Trouble { at });
        }
    }

    /// A pooler starts with its list: as it was last told, roles included.
    fn start(&mut self, router: u32) {
        let life = self.poolers[router as usize].life;
        let seed = self.plan.seed ^ (u64::from(router) << 20) ^ (u64::from(life) << 52);
        let mut claims = Vec::new();
        for server in 0..self.hosts.len() as u32 {
            if self.reaches(router, self.hosts[server as usize].group) {
                let primary = self.hosts[server as usize].member == 0;
                claims.push(self.claim(Change {
                    server,
                    state: ListState::Healthy,
                    started: None,
                    primary,
                    number: 0,
                }));
            }
        }
        let mut members = Membership::new(Span::millis(900_000), 16_384);
        members.doubt(SourceId(0), Doubt::NONE);
        let taken = members.take(self.now, SourceId(0), News::Full { claims, view: 0 });
        let pooler = &mut self.poolers[router as usize];
        pooler.members = members;
        pooler.router = Some(Box::new(Router::new(seed, self.settings.clone())));
        self.feed(router, linnetdeal_core::Event::List(Listing::Full(taken.changed)));
        // What was told before, and it has missed: a watch brings it at once.
        for change in 0..self.changes.len() {
            if self.reaches(router, self.hosts[self.changes[change].server as usize].group) && life > 0 {
                self.after(Span::millis(50), Event::Told { router, change });
            }
        }
    }

    fn reaches(&self, router: u32, group: u32) -> bool {
        router as usize % self.sets == group as usize % self.sets
    }

    fn claim(&self, change: Change) -> Claim {
        let host = &self.hosts[change.server as usize];
        Claim {
            member: self.names[change.server as usize].clone(),
            address: None,
            group: Some(GroupId(i64::from(host.group))),
            zone: String::new(),
            primary: change.primary,
            started: change.started,
            state: change.state,
            evidence: Evidence { stamp: change.number, ..Evidence::default() },
        }
    }

    /// One way between a pooler and a box.
    fn way(&mut self, router: u32, server: u32) -> Span {
        let same = self.poolers[router as usize].zone == self.hosts[server as usize].zone;
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
                    self.record(What::Refused, router, 0, request.0, back.0, 0);
                    self.ended(router, request.0, Some(back));
                }
                Action::Fail { request } => {
                    self.record(What::Failed, router, 0, request.0, 0, 0);
                    self.ended(router, request.0, None);
                }
                Action::Probe { member } => self.probe(router, &member),
                Action::Wake { at } => {
                    let pooler = &mut self.poolers[router as usize];
                    pooler.wake = Some(at);
                    let life = pooler.life;
                    self.at(at.max(self.now), Event::Wake { router, life });
                }
                // No second copies are allowed, and time-outs end attempts here.
                Action::Cancel { .. } | Action::Subscribe | Action::Log { .. } => {}
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
        let (life, server_life) = (pooler.life, self.hosts[server as usize].life);
        let idle = pooler.idle.get_mut(&server).filter(|(count, of)| *count > 0 && *of == server_life);
        let dialed = idle.map(|(count, _)| *count -= 1).is_none();
        // Attempts are numbered by request; a request has no two out, so that its own count does.
        let number = self.attempts_of(router, request);
        self.record(What::Sent, router, server, request, i64::from(number), 0);
        self.outcome.sent += 1;
        let way = self.way(router, server);
        let attempt = Attempt {
            router,
            life,
            request,
            number,
            server,
            server_life,
            class: client.class,
            work: client.work,
            sent: self.now,
            commit: self.now,
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
        let takes = if dialed { Span(3 * way.0 + HANDSHAKE.0) } else { way };
        self.after(takes, Event::Reach { attempt: at, dialed });
        self.after(timeout.max(Span(1)), Event::Late { attempt: at, request, number });
    }

    fn attempts_of(&mut self, router: u32, request: u64) -> u32 {
        let count = self.poolers[router as usize].open.get(&(request | COUNT)).copied().unwrap_or(0);
        self.poolers[router as usize].open.insert(request | COUNT, count + 1);
        count
    }

    fn probe(&mut self, router: u32, member: &MemberId) {
        let (server, life) = (Self::number_of(member), self.poolers[router as usize].life);
        self.outcome.probes += 1;
        let way = self.way(router, server);
        self.after(way, Event::Ask { router, life, server });
    }

    fn asked(&mut self, router: u32, client: u32) {
        let of = self.clients[client as usize];
        let deadline = of.asked + self.plans[of.class].deadline;
        if self.poolers[router as usize].router.is_none() || deadline <= self.now {
            self.over(client, None);
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        let b = of.class as u32 + 256 * of.group;
        self.record(What::Asked, router, b, request, deadline.0, of.session as i64);
        let pooler = &mut self.poolers[router as usize];
        pooler.open.insert(request, client);
        self.outcome.most_open = self.outcome.most_open.max(self.clients.len() - self.free_clients.len());
        let session = matches!(self.plans[of.class].class.need, Need::Write | Need::Session);
        self.feed(
            router,
            linnetdeal_core::Event::Request(Request {
                id: RequestId(request),
                class: ClassId(of.class),
                tenant: None,
                session: session.then_some(SessionKey(of.session)),
                left: deadline - self.now,
                group: GroupId(i64::from(of.group)),
                last_write: None,
                cost: None,
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
        let wait = Span::millis(self.rng.random_range(BACK_MS)).max(refused.unwrap_or_default());
        self.after(wait, Event::Again { router, try_of: client });
    }

    /// A client is done.
    fn over(&mut self, client: u32, served: Option<Time>) {
        let of = self.clients[client as usize];
        if let Some(at) = served {
            self.outcome.served[of.class] += 1;
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
        let gap: f64 = Exp1.sample(&mut self.rng);
        let gap = Span(((gap / (self.rate * self.surge)) * 1e6) as i64);
        if self.now + gap < self.until {
            self.after(gap, Event::Arrive);
        }
        let session = match &self.zipf {
            Some(zipf) => zipf.sample(&mut self.rng) as u64,
            None => self.rng.random_range(1..=self.plan.traffic.sessions),
        };
        let mixed = session.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let group = ((mixed >> 33) % self.plan.fleet.groups as u64) as u32;
        let set = group as usize % self.sets;
        let of_set = (self.poolers.len() - set).div_ceil(self.sets);
        let router = (set + ((mixed >> 13) as usize % of_set) * self.sets) as u32;
        let mut dice = self.rng.random::<f64>();
        let class = self
            .plans
            .iter()
            .position(|plan| {
                dice -= plan.share;
                dice < 0.0
            })
            .unwrap_or(0);
        let work = Span(self.rng.random_range(self.plans[class].work.clone()));
        let client = Client { class, session, group, asked: self.now, tries: 0, work };
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
        self.outcome.asked[class] += 1;
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
        let host = &mut self.hosts[of.server as usize];
        match host.server.life() {
            Life::Dead | Life::Fallen => {
                let verdict = if dialed { Verdict::ConnectFailed } else { Verdict::Reset };
                return self.answer(at, verdict, None);
            }
            Life::Paused(_) if dialed => {
                self.after(DIAL, Event::Back { attempt: at, verdict: Verdict::Unreachable, note: None });
                return;
            }
            _ if !dialed && host.life != of.server_life => return self.answer(at, Verdict::Reset, None),
            _ => {}
        }
        self.attempts[at].server_life = host.life;
        let (group, member) = (host.group as usize, host.member as usize);
        let write = self.plans[of.class].class.need == Need::Write;
        self.record(What::Came, of.router, of.server, of.request, of.work.0, 0);
        let paused = matches!(self.hosts[of.server as usize].server.life(), Life::Paused(_));
        if write && !paused && self.groups[group].primary() != Some(member) {
            let note = self.note(of.server);
            let drains = self.hosts[of.server as usize].server.draining;
            return self.answer(at, if drains { Verdict::Full } else { Verdict::Miss }, Some(note));
        }
        let job = Job { id: at as u64, work: of.work };
        match self.hosts[of.server as usize].server.come(self.now, job) {
            Came::Runs(ends) => self.at(ends, Event::Done { server: of.server, id: at as u64 }),
            Came::Waits => {}
            Came::Full => {
                let note = self.note(of.server);
                self.answer(at, Verdict::Full, Some(note));
            }
            Came::Nobody => self.answer(at, Verdict::Reset, None),
            Came::Fell => {
                self.outcome.fallen += 1;
                self.record(What::Fell, 0, of.server, 0, 0, 0);
                self.answer(at, Verdict::Reset, None);
                self.dies(of.server);
            }
        }
    }

    fn note(&mut self, server: u32) -> Note {
        let host = &self.hosts[server as usize];
        let (group, member) = (host.group as usize, host.member as usize);
        let role = if self.groups[group].primary() == Some(member) { Role::Primary } else { Role::Replica };
        let position = self.groups[group].position(member, self.now);
        // Rounded down to a millisecond.
        Note { role: Some(role), position: Some(Time(position.0.div_euclid(1_000) * 1_000)) }
    }

    fn done(&mut self, server: u32, id: u64) {
        let Some(next) = self.hosts[server as usize].server.done(self.now, id) else { return };
        if let Some((id, ends)) = next {
            self.at(ends, Event::Done { server, id });
        }
        let at = id as usize;
        let of = self.attempts[at];
        let host = &self.hosts[server as usize];
        let (group, member, life) = (host.group as usize, host.member as usize, host.life);
        if self.plans[of.class].class.need != Need::Write {
            let note = self.note(server);
            self.attempts[at].commit = self.groups[group].position(member, self.now);
            self.answer(at, Verdict::Ok, Some(note));
            return;
        }
        if self.groups[group].primary() != Some(member) {
            // It lost its role while it held the write.
            let note = self.note(server);
            self.answer(at, Verdict::Error, Some(note));
            return;
        }
        self.attempts[at].commit = self.now;
        self.groups[group].commit(self.now);
        self.record(What::Ran, of.router, server, of.request, self.now.0, 0);
        let ship = self.groups[group].ways().ship;
        self.after(ship, Event::Shipped { attempt: at, life });
    }

    fn shipped(&mut self, at: usize, life: u32) {
        let of = self.attempts[at];
        if self.hosts[of.server as usize].life != life {
            return self.answer(at, Verdict::Reset, None);
        }
        self.record(What::Kept, of.router, of.server, of.request, of.commit.0, 0);
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
        if self.poolers[of.router as usize].life != of.life {
            return;
        }
        let kept = !matches!(verdict, Verdict::ConnectFailed | Verdict::Unreachable | Verdict::Reset);
        if kept && self.hosts[of.server as usize].life == of.server_life {
            let idle = self.poolers[of.router as usize].idle.entry(of.server).or_insert((0, of.server_life));
            *idle = if idle.1 == of.server_life { (idle.0 + 1, idle.1) } else { (1, of.server_life) };
        }
        self.ends(of, verdict, note);
    }

    fn ends(&mut self, of: Attempt, verdict: Verdict, note: Option<Note>) {
        self.record(What::Over, of.router, of.server, of.request, i64::from(of.number), 0);
        let client = self.poolers[of.router as usize].open.get(&of.request).copied();
        let served = verdict == Verdict::Ok && client.is_some();
        if let Some(client) = client.filter(|_| served) {
            // The commit of a write, the position that a read was answered from: as they are, not as a note rounds them.
            self.record(What::Served, of.router, of.server, of.request, of.commit.0, 0);
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
        if of.over || !same || self.poolers[of.router as usize].life != of.life {
            return;
        }
        self.attempts[at].over = true;
        self.ends(of, Verdict::Timeout, None);
    }

    fn ask(&mut self, router: u32, life: u32, server: u32) {
        let host = &self.hosts[server as usize];
        let (verdict, report) = match host.server.life() {
            Life::Dead | Life::Fallen => (Verdict::ConnectFailed, None),
            Life::Paused(_) => {
                let verdict = Verdict::Unreachable;
                self.after(DIAL, Event::Tell { router, life, server, report: None, verdict });
                return;
            }
            Life::Up => {
                if self.now - host.report.0 >= self.plan.boxes.report {
                    let (group, member) = (host.group as usize, host.member as usize);
                    let primary = self.groups[group].primary() == Some(member);
                    let position = self.groups[group].position(member, self.now);
                    let report = [(position - BEGIN).0 as f64 / 1e6, f64::from(u8::from(primary))];
                    self.hosts[server as usize].report = (self.now, report);
                }
                (Verdict::Ok, Some(self.hosts[server as usize].report.1))
            }
        };
        let way = self.way(router, server);
        self.after(way, Event::Tell { router, life, server, report, verdict });
    }

    /// The list says something from now on; each pooler hears of it in its own time.
    fn list(&mut self, server: u32, state: ListState, started: Option<Time>, primary: bool) {
        let number = self.changes.len() as i64 + 1;
        self.changes.push(Change { server, state, started, primary, number });
        let (least, most) = (self.plan.network.list_least.0, self.plan.network.list_most.0);
        let notice = self.now + Span(self.rng.random_range(least..=most));
        let change = self.changes.len() - 1;
        // What it says of one box it says in order.
        let host = &mut self.hosts[server as usize];
        host.noticed = host.noticed.max(notice);
        let (group, noticed) = (host.group, host.noticed);
        for router in 0..self.poolers.len() as u32 {
            if self.reaches(router, group) {
                let own = Span(35_000 + i64::from(router) * 7_919 % 265_000);
                self.at(noticed + own, Event::Told { router, change });
            }
        }
    }

    fn told(&mut self, router: u32, change: usize) {
        if self.poolers[router as usize].router.is_none() {
            return;
        }
        let change = self.changes[change];
        let (up, started) = (change.state == ListState::Healthy, change.started.unwrap_or(Time(0)));
        self.record(What::Told, router, change.server, 0, i64::from(up), started.0);
        let claim = self.claim(change);
        let now = self.now;
        let taken = self.poolers[router as usize].members.take(now, SourceId(0), News::Changes(vec![claim]));
        if !taken.changed.is_empty() {
            self.feed(router, linnetdeal_core::Event::List(Listing::Changes(taken.changed)));
        }
    }

    /// What a box held is lost with it, and its group may need another primary.
    fn dies(&mut self, server: u32) {
        let lost = self.hosts[server as usize].server.die();
        let host = &mut self.hosts[server as usize];
        host.life += 1;
        let (group, member) = (host.group as usize, host.member as usize);
        for id in lost {
            self.answer(id as usize, Verdict::Reset, None);
        }
        self.list(server, ListState::Gone, None, false);
        if self.groups[group].leave(member, self.now) {
            self.seeks(group);
        }
    }

    fn seeks(&mut self, group: usize) {
        self.epochs[group] += 1;
        let epoch = self.epochs[group];
        let ways = self.groups[group].ways();
        let takes = Span(ways.detect.0 + ways.elect.0).times(LEAST_CHANGE + 0.5 * self.rng.random::<f64>());
        self.after(takes, Event::Elect { group: group as u32, epoch });
    }

    fn elect(&mut self, group: u32, epoch: u32) {
        if self.epochs[group as usize] != epoch || self.groups[group as usize].primary().is_some() {
            return;
        }
        let first = group as usize * self.plan.fleet.members;
        let hosts = &self.hosts;
        let may = |at: usize| {
            let server = &hosts[first + at].server;
            server.life() == Life::Up && !server.draining
        };
        match self.groups[group as usize].heir(self.now, may) {
            Some((member, at)) => self.at(at, Event::Promote { group, epoch, member: member as u32 }),
            None => self.after(Span::millis(200), Event::Elect { group, epoch }),
        }
    }

    fn promote(&mut self, group: u32, epoch: u32, member: u32) {
        if self.epochs[group as usize] != epoch || self.groups[group as usize].primary().is_some() {
            return;
        }
        let server = group as usize * self.plan.fleet.members + member as usize;
        if self.hosts[server].server.life() != Life::Up {
            return self.elect(group, epoch);
        }
        self.groups[group as usize].promote(member as usize, self.now);
        self.outcome.promoted.push((self.now, server as u32));
        self.list(server as u32, ListState::Healthy, self.hosts[server].server.started(), true);
    }

    /// Whom a trouble befalls, in the order in which it does.
    fn befallen(&mut self, trouble: &Trouble) -> Vec<u32> {
        let members = self.plan.fleet.members;
        match trouble.who {
            Who::Primary => (0..trouble.groups)
                .filter_map(|group| Some((group * members + self.groups[group].primary()?) as u32))
                .collect(),
            Who::Replica(number) => (0..trouble.groups)
                .filter_map(|group| {
                    let primary = self.groups[group].primary();
                    let mut replicas = (0..members).filter(|at| Some(*at) != primary);
                    replicas.nth(number).map(|at| (group * members + at) as u32)
                })
                .collect(),
            Who::Boxes(share) => self.some(self.hosts.len(), share),
            Who::Poolers(share) => self.some(self.poolers.len(), share),
        }
    }

    /// A share of so many, by chance.
    fn some(&mut self, count: usize, share: f64) -> Vec<u32> {
        let mut all: Vec<u32> = (0..count as u32).collect();
        for at in (1..all.len()).rev() {
            all.swap(at, self.rng.random_range(0..=at));
        }
        all.truncate((count as f64 * share).round() as usize);
        all
    }

    fn trouble(&mut self, at: usize) {
        let trouble = &self.plan.troubles[at];
        if trouble.what == Ill::Surge {
            self.surge = trouble.factor;
            self.record(What::Trouble, 0, 0, 0, trouble.what as i64, 0);
            if let Some(lasts) = trouble.lasts {
                self.after(lasts, Event::Over { trouble: at, server: 0, life: 0 });
            }
            return;
        }
        let who = self.befallen(trouble);
        let poolers = matches!(trouble.who, Who::Poolers(_));
        for (place, one) in who.into_iter().enumerate() {
            let when = trouble.apart.times(place as f64);
            let event = if poolers {
                Event::Kill { trouble: at, router: one }
            } else {
                Event::Befalls { trouble: at, server: one }
            };
            self.after(when, event);
        }
    }

    fn befalls(&mut self, at: usize, server: u32) {
        let trouble = &self.plan.troubles[at];
        self.record(What::Trouble, 0, server, 0, trouble.what as i64, 0);
        let host = &mut self.hosts[server as usize];
        let (group, member) = (host.group as usize, host.member as usize);
        match trouble.what {
            Ill::Crash => {
                if matches!(host.server.life(), Life::Up | Life::Paused(_)) {
                    self.dies(server);
                }
            }
            Ill::Pause => {
                host.server.pause(self.now);
                if self.groups[group].leave(member, self.now) {
                    self.seeks(group);
                }
            }
            Ill::Slow => host.server.slow = trouble.factor,
            Ill::Lag => self.groups[group].slow(member, trouble.factor),
            Ill::Drain => {
                host.server.draining = true;
                self.list(server, ListState::Draining, None, false);
                if self.groups[group].primary() == Some(member) {
                    self.groups[group].hand_over(self.now);
                    self.epochs[group] += 1;
                    let epoch = self.epochs[group];
                    let switch = self.groups[group].ways().switch;
                    self.after(switch, Event::Elect { group: group as u32, epoch });
                }
            }
            Ill::Surge => {}
        }
        if let Some(lasts) = trouble.lasts {
            let life = self.hosts[server as usize].life;
            self.after(lasts, Event::Over { trouble: at, server, life });
        }
    }

    fn ends_trouble(&mut self, at: usize, server: u32, life: u32) {
        let trouble = &self.plan.troubles[at];
        if trouble.what == Ill::Surge {
            self.surge = 1.0;
            return;
        }
        let host = &mut self.hosts[server as usize];
        let (group, member) = (host.group as usize, host.member as usize);
        match trouble.what {
            Ill::Crash => {
                if host.life == life && host.server.start(self.now) {
                    let capacity = self.hosts[server as usize].server.capacity(self.now + COLD.1);
                    self.record(What::Started, 0, server, 0, (capacity * 1e6) as i64, 0);
                    self.groups[group].join(member, self.now);
                    self.list(server, ListState::Healthy, Some(self.now), false);
                }
            }
            Ill::Pause => {
                for (id, ends) in host.server.resume(self.now) {
                    self.at(ends, Event::Done { server, id });
                }
                self.groups[group].join(member, self.now);
            }
            Ill::Slow => host.server.slow = 1.0,
            Ill::Lag => self.groups[group].slow(member, 1.0),
            Ill::Drain => {
                host.server.draining = false;
                self.list(server, ListState::Healthy, None, false);
            }
            Ill::Surge => {}
        }
    }

    fn kill(&mut self, at: usize, router: u32) {
        let pooler = &mut self.poolers[router as usize];
        if pooler.router.take().is_none() {
            return;
        }
        pooler.life += 1;
        (pooler.wake, pooler.idle) = (None, HashMap::new());
        let mut open: Vec<(u64, u32)> = std::mem::take(&mut pooler.open).into_iter().collect();
        open.sort_unstable();
        self.record(What::Killed, router, 0, 0, 0, 0);
        for (request, client) in open {
            if request & COUNT == 0 {
                self.over(client, None);
            }
        }
        if let Some(lasts) = self.plan.troubles[at].lasts {
            self.after(lasts, Event::Start { router });
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Again { router, try_of } => self.asked(router, try_of),
            Event::Reach { attempt, dialed } => self.reach(attempt, dialed),
            Event::Done { server, id } => self.done(server, id),
            Event::Shipped { attempt, life } => self.shipped(attempt, life),
            Event::Back { attempt, verdict, note } => self.back(attempt, verdict, note),
            Event::Late { attempt, request, number } => self.late(attempt, request, number),
            Event::Wake { router, life } => {
                let pooler = &mut self.poolers[router as usize];
                if pooler.life == life && pooler.wake == Some(self.now) {
                    pooler.wake = None;
                    self.feed(router, linnetdeal_core::Event::Wake);
                }
            }
            Event::Ask { router, life, server } => self.ask(router, life, server),
            Event::Tell { router, life, server, report, verdict } => {
                if self.poolers[router as usize].life == life {
                    let member = self.names[server as usize].clone();
                    let report = report.map(|report| report.to_vec());
                    let took = Span(1_000);
                    self.feed(router, linnetdeal_core::Event::Probed { member, verdict, took, report });
                }
            }
            Event::Told { router, change } => self.told(router, change),
            Event::Trouble { at } => self.trouble(at),
            Event::Befalls { trouble, server } => self.befalls(trouble, server),
            Event::Over { trouble, server, life } => self.ends_trouble(trouble, server, life),
            Event::Elect { group, epoch } => self.elect(group, epoch),
            Event::Promote { group, epoch, member } => self.promote(group, epoch, member),
            Event::Kill { trouble, router } => self.kill(trouble, router),
            Event::Start { router } => self.start(router),
        }
    }
}

/// Beside a request's client, its count of attempts is kept under its number with this bit.
const COUNT: u64 = 1 << 63;
