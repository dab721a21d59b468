//! Many poolers and few servers in virtual time: how evenly a scheme of choosing members spreads work when each
//! pooler sees little of it.
//!
//! Smaller than [`crate::sim`], which simulates a whole pooler: here a request is the choice of a member, its
//! answer, and at most two more choices. So 2,000 poolers with 400 servers take seconds, and [`Scheme`]s that the
//! program does not have can be compared on the same arrivals. Servers are those of [`crate::server`].
//! `docs/design/even-load.md` says what is left out.

mod figures;
pub mod forward;
mod scheme;

pub use figures::Figures;
pub use scheme::{ChoicePool, Scheme};

use crate::event_queue::EventQueue;
use crate::server::{Admission, Job, Server, ServerConfig, ServerState};
use figures::Loads;
use linnetdeal_core::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use scheme::Chooser;

/// The mean work of a request on a standard core; an answer within [`OBJECTIVE`] earns the request's full worth.
pub const MEAN_WORK: Span = Span::millis(20);
/// The latency objective; see [`MEAN_WORK`].
pub const OBJECTIVE: Span = Span::millis(150);
/// Network delay of a request with its answer, within a zone and between zones.
const SAME_ZONE_DELAY: Span = Span(250);
const CROSS_ZONE_DELAY: Span = Span(850);
/// Work that a new connection causes at its server.
const HANDSHAKE_WORK: Span = Span::millis(2);
/// The most attempts of a request.
const MAX_ATTEMPTS: usize = 3;
/// A primary's load, as a share of a replica's.
const PRIMARY_LOAD: f64 = 0.8;
/// Share of reads that must see what their session wrote, and how long ago that was, on average.
const SESSION_READ_SHARE: f64 = 0.1;
const MEAN_WRITE_AGE: Span = Span::millis(150);
/// How far replicas lag, in ms, and how far one in six does.
const REPLICA_LAG_MS: std::ops::Range<i64> = 5..60;
const SLOW_REPLICA_LAG: Span = Span::millis(250);
/// Number of zones, and the share of requests that come from each, before and after the shift.
const ZONES: usize = 3;
const ZONE_SHARES: [[f64; ZONES]; 2] = [[0.5, 0.3, 0.2], [0.2, 0.3, 0.5]];
/// One in this many poolers has more traffic than the others, by the factor that follows; the first pooler has the
/// most.
const HEAVY_EVERY: usize = 20;
const HEAVY_FACTOR: f64 = 4.0;
const HEAVIEST_FACTOR: f64 = 10.0;
/// Seconds at the beginning that are not counted.
pub const WARM_UP_SECONDS: i64 = 2;
const BEGIN: Time = Time(1_000_000_000_000);

/// Sources of uneven load; each can be turned off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sources {
    /// Arrivals and work are random; otherwise requests arrive evenly and are all alike.
    pub chance: bool,
    /// Cores are 0.85 to 1.7 times as fast as the standard; otherwise all are alike.
    pub speed: bool,
    /// Groups have primaries that take writes; otherwise they consist of replicas only.
    pub writes: bool,
    /// Some reads can be answered by some of the replicas only.
    pub sessions: bool,
    /// Traffic differs by the poolers' zones; otherwise all poolers have the same.
    pub zones: bool,
    /// A few poolers have several times the mean traffic.
    pub heavy: bool,
}

impl Sources {
    /// All sources.
    pub const ALL: Self =
        Self { chance: true, speed: true, writes: true, sessions: true, zones: true, heavy: true };
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of poolers.
    pub poolers: usize,
    /// Number of groups, and of members of each; the first member is the primary.
    pub groups: usize,
    /// See `groups`.
    pub members: usize,
    /// Requested work, as a share of the servers' capacity.
    pub load: f64,
    /// Duration in seconds.
    pub seconds: i64,
    /// The interval at which servers' loads are published, to all poolers at the same time.
    pub publish_interval: Span,
    /// Sources of uneven load.
    pub sources: Sources,
    /// Whether load steps up, servers slow down, restart and fail, and traffic shifts between zones; see
    /// [`trouble_times`].
    pub troubles: bool,
}

impl Plan {
    /// The usual plan for a number of poolers: a server for every two to five of them, in groups as large as those
    /// of the bench.
    #[must_use]
    pub fn for_poolers(poolers: usize) -> Self {
        let (groups, members) = match poolers {
            0..=10 => (2, 6),
            11..=100 => (4, 10),
            101..=1_000 => (10, 12),
            _ => (20, 20),
        };
        Self {
            seed: 1,
            poolers,
            groups,
            members,
            load: 0.65,
            seconds: 26,
            publish_interval: Span::millis(100),
            sources: Sources::ALL,
            troubles: true,
        }
    }

    /// Number of servers.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.groups * self.members
    }

    /// The request rate at this second, as a multiple of the usual.
    fn load_factor(&self, second: f64) -> f64 {
        if self.troubles && LOAD_STEP.contains(&second) { 1.4 } else { 1.0 }
    }

    /// Which of [`ZONE_SHARES`] applies at this time.
    fn zone_share_index(&self, at: Time) -> usize {
        usize::from(self.troubles && at >= time_at(ZONE_SHIFT))
    }
}

fn time_at(seconds: i64) -> Time {
    BEGIN + Span::millis(seconds * 1_000)
}

/// What happens to the affected servers: the third of each group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// New work takes this many percent of the usual time.
    Slow(i64),
    /// The process ends, and poolers notice at once.
    Crashes,
    Unlisted,
    /// The process starts again, cold.
    Returns,
    Listed,
    /// Whether all requests are answered with an error at once.
    Errors(bool),
}

/// When clients send more, and from when zones have exchanged their shares, in seconds.
const LOAD_STEP: std::ops::Range<f64> = 6.0..10.0;
const ZONE_SHIFT: i64 = 23;
/// When servers are affected, in ms, and how.
const TROUBLES: [(i64, Trouble); 8] = [
    (11_000, Trouble::Slow(200)),
    (14_000, Trouble::Slow(100)),
    (15_000, Trouble::Crashes),
    (15_300, Trouble::Unlisted),
    (17_000, Trouble::Returns),
    (17_300, Trouble::Listed),
    (21_000, Trouble::Errors(true)),
    (22_000, Trouble::Errors(false)),
];

/// When troubles begin and end, in seconds: the step, the changes of servers, the shift.
#[must_use]
pub fn trouble_times() -> Vec<f64> {
    let servers = TROUBLES.iter().map(|(ms, _)| *ms as f64 / 1_000.0);
    [LOAD_STEP.start, LOAD_STEP.end].into_iter().chain(servers).chain([ZONE_SHIFT as f64]).collect()
}

/// A request as its client sends it: the same for every scheme.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Time,
    pooler: u32,
    group: u32,
    write: bool,
    /// How long ago its session wrote.
    wrote: Option<Span>,
    work: Span,
}

/// The arrivals in order, drawn from their own generator.
struct Arrivals {
    plan: Plan,
    rng: ChaCha8Rng,
    at: Time,
    /// Requests per microsecond.
    rate: f64,
    /// Running sums of weights over groups and, before and after the shift, over poolers.
    groups: Vec<f64>,
    poolers: [Vec<f64>; 2],
    write_share: f64,
}

/// The index at which a draw from 0 to 1 falls, in proportion to the weights of these running sums.
fn weighted_index(sums: &[f64], draw: f64) -> usize {
    let total = sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|sum| *sum <= draw * total).min(sums.len() - 1)
}

fn running_sums(values: impl Iterator<Item = f64>) -> Vec<f64> {
    values
        .scan(0.0, |sum, value| {
            *sum += value;
            Some(*sum)
        })
        .collect()
}

impl Arrivals {
    fn new(plan: Plan, servers: &[Member]) -> Self {
        let capacity = |group: &[Member]| {
            group.iter().map(|member| member.config.cores as f64 * member.config.speed).sum::<f64>()
        };
        let groups: Vec<f64> = servers.chunks(plan.members).map(capacity).collect();
        let weight = |pooler: usize, when: usize| {
            let zone =
                if plan.sources.zones { ZONE_SHARES[when][pooler % ZONES] * ZONES as f64 } else { 1.0 };
            let weight_factor = match pooler {
                0 if plan.sources.heavy => HEAVIEST_FACTOR,
                _ if plan.sources.heavy && pooler % HEAVY_EVERY == 7 => HEAVY_FACTOR,
                _ => 1.0,
            };
            zone * weight_factor
        };
        let writes = PRIMARY_LOAD / (plan.members as f64 - 1.0 + PRIMARY_LOAD);
        let share = (plan.members as f64 - 1.0 + PRIMARY_LOAD) / plan.members as f64;
        let (share, write_share) = if plan.sources.writes { (share, writes) } else { (1.0, 0.0) };
        Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            at: BEGIN,
            rate: plan.load * share * groups.iter().sum::<f64>() / MEAN_WORK.0 as f64,
            groups: running_sums(groups.into_iter()),
            poolers: [0, 1].map(|when| running_sums((0..plan.poolers).map(|pooler| weight(pooler, when)))),
            write_share,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let sources = self.plan.sources;
        let mut drawn = || if sources.chance { Exp1.sample(&mut self.rng) } else { 1.0 };
        let (gap, work): (f64, f64) = (drawn(), drawn());
        let now = (self.at - BEGIN).0 as f64 / 1e6;
        self.at = self.at + Span((gap / (self.rate * self.plan.load_factor(now))).max(1.0) as i64);
        if self.at >= time_at(self.plan.seconds) {
            return None;
        }
        let write = self.rng.random_bool(self.write_share);
        let session = self.rng.random_bool(SESSION_READ_SHARE) && !write && sources.sessions;
        let wrote: f64 = Exp1.sample(&mut self.rng);
        Some(Arrival {
            at: self.at,
            pooler: weighted_index(&self.poolers[self.plan.zone_share_index(self.at)], self.rng.random())
                as u32,
            group: weighted_index(&self.groups, self.rng.random()) as u32,
            write,
            wrote: session.then(|| MEAN_WRITE_AGE.times(wrote)),
            work: MEAN_WORK.times(work).max(Span(1)),
        })
    }
}

/// A server, and what poolers know of it from the list and from reported positions.
#[derive(Clone, Debug)]
struct Member {
    config: ServerConfig,
    server: Server,
    zone: usize,
    lag: Span,
    listed: bool,
    returns_errors: bool,
}

fn servers(plan: &Plan) -> Vec<Member> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5EED);
    let member = |index: usize| {
        let speed = rng.random_range(0.85..1.7);
        let config = ServerConfig {
            cores: 4,
            speed: if plan.sources.speed { speed } else { 1.25 },
            queue_limit: 64,
            queue_slowdown: 0.0,
            thrash: (5.0, 0.15),
            cold: (0.2, Span::millis(12_000)),
            fall: (f64::INFINITY, Span::millis(1)),
        };
        let near = Span::millis(rng.random_range(REPLICA_LAG_MS));
        let lag = if index % 6 == 5 { SLOW_REPLICA_LAG } else { near };
        Member {
            config,
            server: Server::new(config),
            zone: index % ZONES,
            lag,
            listed: true,
            returns_errors: false,
        }
    };
    (0..plan.servers()).map(member).collect()
}

#[derive(Clone, Copy, Debug)]
enum Event {
    JobDone {
        server: u32,
        slot: usize,
    },
    Trouble(usize),
    /// The servers' loads are published.
    PublishLoads,
    /// The loads of the latest interval are recorded.
    SampleLoads,
}

/// A request without a final answer.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    arrival: Arrival,
    tried: [u32; MAX_ATTEMPTS],
    attempts: usize,
    sent_at: Time,
    /// Whether an eligible member had a free core when it was last sent.
    idle_member_available: bool,
}

/// The state of a simulation.
struct Simulation {
    plan: Plan,
    members: Vec<Member>,
    queue: EventQueue<Event>,
    open: Vec<OpenRequest>,
    free_slots: Vec<usize>,
    chooser: Chooser,
    loads: Loads,
    figures: Figures,
    pool: Vec<u32>,
    rng: ChaCha8Rng,
}

/// Simulates a scheme.
#[must_use]
pub fn run(plan: &Plan, scheme: Scheme) -> Figures {
    simulate(plan, scheme).figures
}

/// Simulates a scheme, and returns with its figures a function that makes one more decision in the final state, to
/// measure the cost of a decision.
pub fn run_with_chooser(plan: &Plan, scheme: Scheme) -> (Figures, impl FnMut(usize) -> Option<u32>) {
    let mut simulation = simulate(plan, scheme);
    let figures = simulation.figures.clone();
    let decide = move |call: usize| {
        let (pooler, group) =
            (call % simulation.plan.poolers, call / simulation.plan.poolers % simulation.plan.groups);
        let from = group * simulation.plan.members + 1;
        simulation.pool.clear();
        simulation.pool.extend((from..from + simulation.plan.members - 1).map(|index| index as u32));
        simulation.chooser.choose(
            time_at(simulation.plan.seconds),
            pooler,
            &simulation.pool,
            &simulation.members,
        )
    };
    (figures, decide)
}

fn simulate(plan: &Plan, scheme: Scheme) -> Simulation {
    let members = servers(plan);
    let mut arrivals = Arrivals::new(*plan, &members);
    let rate = arrivals.rate * 1e6;
    let mut simulation = Simulation {
        plan: *plan,
        chooser: Chooser::new(plan, scheme, rate),
        loads: Loads::new(plan.members, members.len()),
        members,
        queue: EventQueue::default(),
        open: Vec::new(),
        free_slots: Vec::new(),
        figures: Figures::default(),
        pool: Vec::new(),
        rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 0xC01D),
    };
    simulation.queue.schedule(BEGIN, Event::SampleLoads);
    simulation.queue.schedule(BEGIN, Event::PublishLoads);
    for (index, (ms, _)) in TROUBLES.iter().enumerate().filter(|_| plan.troubles) {
        simulation.queue.schedule(BEGIN + Span::millis(*ms), Event::Trouble(index));
    }
    let mut next = arrivals.next();
    loop {
        let due = simulation.queue.next_time().unwrap_or(Time(i64::MAX));
        if let Some(arrival) = next.filter(|arrival| arrival.at <= due) {
            simulation.submit(arrival);
            next = arrivals.next();
            continue;
        }
        match simulation.queue.pop() {
            Some((now, event)) if now < time_at(plan.seconds) => simulation.handle(now, event),
            _ => break,
        }
    }
    simulation.loads.write_figures(&mut simulation.figures);
    simulation.chooser.write_figures(&mut simulation.figures);
    simulation
}

impl Simulation {
    fn submit(&mut self, arrival: Arrival) {
        let open = OpenRequest {
            arrival,
            tried: [u32::MAX; MAX_ATTEMPTS],
            attempts: 0,
            sent_at: arrival.at,
            idle_member_available: false,
        };
        let slot = self.free_slots.pop().unwrap_or(self.open.len());
        if slot == self.open.len() {
            self.open.push(open);
        } else {
            self.open[slot] = open;
        }
        self.send(arrival.at, slot);
    }

    /// Fills the pool with the members that may answer the request; it omits those that were tried.
    fn fill_pool(&mut self, now: Time, open: &OpenRequest) {
        let begin = open.arrival.group as usize * self.plan.members;
        let primary = self.plan.sources.writes;
        self.pool.clear();
        if open.arrival.write {
            self.pool.push(begin as u32);
            return;
        }
        let range = begin + usize::from(primary)..begin + self.plan.members;
        for index in range {
            let member = &self.members[index];
            let fresh = open.arrival.wrote.is_none_or(|ago| member.lag <= ago);
            // With every scheme a cold member is considered in proportion to its warmth; the send credit of cold
            // members is not modelled here.
            let warmth = member.server.warmth(now);
            let warm = warmth >= 1.0 || self.rng.random_bool(warmth);
            if member.listed && fresh && warm && !open.tried.contains(&(index as u32)) {
                self.pool.push(index as u32);
            }
        }
        if self.pool.is_empty() {
            // No replica is fresh enough or left; the primary always is.
            self.pool.push(begin as u32);
        }
    }

    fn send(&mut self, now: Time, slot: usize) {
        let mut open = self.open[slot];
        loop {
            if open.attempts == MAX_ATTEMPTS {
                self.finish(&open, None);
                self.free_slots.push(slot);
                return;
            }
            self.fill_pool(now, &open);
            let pooler = open.arrival.pooler as usize;
            open.idle_member_available = self.pool.iter().any(|index| {
                let member = &self.members[*index as usize];
                member.server.state() == ServerState::Up
                    && !member.returns_errors
                    && member.server.jobs() < member.config.cores
            });
            let pick = self.chooser.choose(now, pooler, &self.pool, &self.members);
            let to = pick.unwrap_or(self.pool[0]);
            open.tried[open.attempts] = to;
            open.attempts += 1;
            open.sent_at = now;
            let counts = now >= time_at(WARM_UP_SECONDS);
            self.figures.attempts += u64::from(counts);
            let member = &mut self.members[to as usize];
            if self.chooser.opens_connection(pooler, to) {
                member.server.add_overhead(HANDSHAKE_WORK);
            }
            self.loads.record_send(to, open.arrival.work);
            // Errors and refusals are not recorded as answers: they must not look like fast ones.
            if member.returns_errors {
                continue;
            }
            match member.server.admit(now, Job { id: slot as u64, work: open.arrival.work }) {
                Admission::Started(ends) => self.queue.schedule(ends, Event::JobDone { server: to, slot }),
                Admission::Queued => {}
                Admission::Rejected | Admission::Down | Admission::Collapsed => continue,
            }
            self.chooser.record_send(now, pooler, to);
            self.open[slot] = open;
            return;
        }
    }

    /// Counts a request that was answered after this time, or never.
    fn finish(&mut self, open: &OpenRequest, took: Option<Span>) {
        if open.arrival.at < time_at(WARM_UP_SECONDS) {
            return;
        }
        let late = took.is_none_or(|took| took > OBJECTIVE);
        self.figures.requests += 1;
        self.figures.refused += u64::from(took.is_none());
        self.figures.late += u64::from(late && took.is_some());
        self.figures.failed_beside_idle += u64::from(late && open.idle_member_available);
        if let Some(took) = took.filter(|_| !open.arrival.write) {
            self.figures.latencies.saturating_record(took.0.max(1) as u64);
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::JobDone { server, slot } => {
                let member = &mut self.members[server as usize];
                // The server has died meanwhile, and the slot may belong to another request.
                let Some(next) = member.server.complete(now, slot as u64) else { return };
                if let Some((id, ends_at)) = next {
                    self.queue.schedule(ends_at, Event::JobDone { server, slot: id as usize });
                }
                let open = self.open[slot];
                let pooler = open.arrival.pooler as usize;
                let network = if pooler % ZONES == member.zone { SAME_ZONE_DELAY } else { CROSS_ZONE_DELAY };
                self.chooser.record_answer(
                    now,
                    pooler,
                    server,
                    open.sent_at,
                    Span((now - open.sent_at).0 + network.0),
                );
                self.finish(&open, Some(Span((now - open.arrival.at).0 + network.0)));
                self.free_slots.push(slot);
            }
            Event::PublishLoads => {
                self.chooser.publish(now, &self.members);
                self.queue.schedule(now + self.plan.publish_interval, Event::PublishLoads);
            }
            Event::SampleLoads => {
                self.loads.sample(now >= time_at(WARM_UP_SECONDS), now, &self.members);
                self.queue.schedule(now + figures::SAMPLE_INTERVAL, Event::SampleLoads);
            }
            Event::Trouble(index) => {
                for group in 0..self.plan.groups {
                    self.apply_trouble(now, TROUBLES[index].1, group * self.plan.members + 2);
                }
            }
        }
    }

    fn apply_trouble(&mut self, now: Time, trouble: Trouble, index: usize) {
        let member = &mut self.members[index];
        match trouble {
            Trouble::Slow(percent) => member.server.slowdown = percent as f64 / 100.0,
            Trouble::Unlisted => member.listed = false,
            Trouble::Listed => member.listed = true,
            Trouble::Errors(errors) => member.returns_errors = errors,
            Trouble::Returns => drop(member.server.start(now)),
            Trouble::Crashes => {
                for slot in member.server.die() {
                    let open = self.open[slot as usize];
                    self.chooser.forget(open.arrival.pooler as usize, index as u32, open.sent_at);
                    self.send(now, slot as usize);
                }
            }
        }
    }
}
