//! The schemes by which a pooler chooses a member.

use super::forward;
use super::{Figures, Member, Plan, ZONES};
use linnetdeal_core::{LatencyEstimate, Slowness, Span, Time, subset};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// As in `choice.rs`: the threshold over the mean load, and the limit of the age of requests in flight as a
/// multiple of the usual latency.
const THRESHOLD: f64 = 1.2;
const MAX_AGE_RATIO: f64 = 4.0;
/// Number of members of each group in a pooler's subset on the ring.
const SUBSET_SIZE: usize = 3;
/// Smoothing of the learned speeds, as a number of answers.
const SPEED_SMOOTHING: f64 = 30.0;
/// Probing as in Prequal: probes sent for each request, the most that are kept, the most uses of each, the greatest
/// age, and the quantile of job counts from which a member is hot.
const PROBES_PER_REQUEST: usize = 2;
const MAX_PROBES: usize = 16;
const MAX_PROBE_USES: u32 = 3;
const MAX_PROBE_AGE: Span = Span::millis(1_000);
const HOT_QUANTILE: f64 = 0.84;

/// The members from which two choices are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePool {
    /// All eligible members.
    All,
    /// A subset of the ring of members, by the pooler's rank.
    Ring,
    /// The same, compared by published loads.
    RingPublished,
    /// Members of the pooler's zone.
    Zone,
}

/// A scheme of choosing a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheme {
    /// A random member.
    Random,
    /// The random pick with the forward step and a threshold.
    ForwardStep,
    /// The same, with the random pick in the router's window: the choice of the program.
    Windows,
    /// The less loaded of two random members, by the pooler's own counts.
    TwoChoices(ChoicePool),
    /// A random member, weighted by learned speeds.
    LearnedSpeeds,
    /// The least loaded member by the published loads.
    LeastPublished,
    /// The random pick with the forward step, by the published loads.
    ForwardPublished,
    /// The published loads, corrected by the requests that must have arrived since (Dahlin).
    StaleInterpreted,
    /// Probes that are kept and used a few times (Prequal's hot and cold members).
    Probes,
    /// The least loaded of the random pick in its window and the members after it, by what the pooler knows itself:
    /// see [`forward`].
    LeastOfStep,
    /// A central choice with full and current knowledge.
    Central,
}

impl Scheme {
    /// All schemes, in the order of the table.
    pub const ALL: [Self; 14] = [
        Self::Random,
        Self::ForwardStep,
        Self::Windows,
        Self::TwoChoices(ChoicePool::All),
        Self::TwoChoices(ChoicePool::Ring),
        Self::TwoChoices(ChoicePool::Zone),
        Self::TwoChoices(ChoicePool::RingPublished),
        Self::LearnedSpeeds,
        Self::LeastPublished,
        Self::ForwardPublished,
        Self::StaleInterpreted,
        Self::Probes,
        Self::LeastOfStep,
        Self::Central,
    ];

    /// The name in the table.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::ForwardStep => "random, forward step",
            Self::Windows => "windows, forward step",
            Self::TwoChoices(ChoicePool::All) => "two choices, own counts",
            Self::TwoChoices(ChoicePool::Ring) => "two choices on a ring's part",
            Self::TwoChoices(ChoicePool::Zone) => "two choices in the zone",
            Self::TwoChoices(ChoicePool::RingPublished) => "two choices on a ring's part, told",
            Self::LearnedSpeeds => "learned speeds",
            Self::LeastPublished => "least loaded as told",
            Self::ForwardPublished => "forward step, counts told",
            Self::StaleInterpreted => "stale load interpreted",
            Self::Probes => "probes, hot and cold",
            Self::LeastOfStep => "windows, least of the step",
            Self::Central => "central, knows all",
        }
    }

    /// Whether the scheme depends on loads that are published at intervals.
    #[must_use]
    pub fn uses_published_loads(self) -> bool {
        matches!(
            self,
            Self::LeastPublished
                | Self::ForwardPublished
                | Self::StaleInterpreted
                | Self::TwoChoices(ChoicePool::RingPublished)
        )
    }
}

/// What a pooler knows of a server.
#[derive(Clone, Copy, Debug, Default)]
struct PoolerView {
    in_flight: u16,
    /// The most requests that were in flight at once; as many connections are kept.
    max_in_flight: u16,
    /// The sum of the send times of the requests in flight.
    sent_at_sum: i64,
    slowness: Slowness,
    latency_ratio: f64,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    sent_at: Time,
    server: u32,
    jobs: f64,
    latency: f64,
    uses: u32,
}

/// Makes the choices of all poolers.
pub(super) struct Chooser {
    scheme: Scheme,
    plan: Plan,
    rng: ChaCha8Rng,
    servers: usize,
    views: Vec<PoolerView>,
    latency: Vec<LatencyEstimate>,
    /// The last publication: its time, and the number of jobs of each server.
    published_at: Time,
    published_jobs: Vec<f64>,
    /// Mean requests per second of a group.
    rate: f64,
    probes: Vec<Vec<Probe>>,
    messages: u64,
    loads: Vec<f64>,
}

impl Chooser {
    pub(super) fn new(plan: &Plan, scheme: Scheme, rate: f64) -> Self {
        let servers = plan.servers();
        let probed = if scheme == Scheme::Probes { plan.poolers * plan.groups } else { 0 };
        Self {
            scheme,
            plan: *plan,
            rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 0xC401CE),
            servers,
            views: vec![PoolerView { latency_ratio: 1.0, ..PoolerView::default() }; servers * plan.poolers],
            latency: vec![LatencyEstimate::initial(super::OBJECTIVE); plan.poolers],
            published_at: super::BEGIN,
            published_jobs: vec![0.0; servers],
            rate: rate / plan.groups as f64,
            probes: vec![Vec::new(); probed],
            messages: 0,
            loads: Vec::new(),
        }
    }

    fn view(&self, pooler: usize, to: u32) -> &PoolerView {
        &self.views[pooler * self.servers + to as usize]
    }

    fn view_mut(&mut self, pooler: usize, to: u32) -> &mut PoolerView {
        &mut self.views[pooler * self.servers + to as usize]
    }

    pub(super) fn choose(
        &mut self,
        now: Time,
        pooler: usize,
        pool: &[u32],
        members: &[Member],
    ) -> Option<u32> {
        let draw = self.rng.next_u32() as usize;
        let count = pool.len();
        if count == 0 {
            return None;
        }
        let random_member = pool[draw % count];
        Some(match self.scheme {
            Scheme::Random => random_member,
            Scheme::ForwardStep => self.forward_from(now, pooler, pool, draw % count),
            Scheme::Windows => {
                let first = subset::first_pick(draw, pooler as u32, self.plan.poolers as u32, count);
                self.forward_from(now, pooler, pool, first)
            }
            Scheme::TwoChoices(choice_pool) => self.two_choices(pooler, pool, choice_pool, members),
            Scheme::LearnedSpeeds => self.by_learned_speed(pooler, pool),
            Scheme::LeastPublished => {
                self.least_loaded(pool, |this, server| this.published_jobs[server as usize])
            }
            Scheme::ForwardPublished => {
                self.loads = pool.iter().map(|server| 1.0 + self.published_jobs[*server as usize]).collect();
                self.forward_step(pool, draw % count)
            }
            Scheme::StaleInterpreted => self.by_interpreted_loads(now, pool),
            Scheme::Probes => self.by_probes(now, pooler, pool, members),
            Scheme::LeastOfStep => {
                let first = subset::first_pick(draw, pooler as u32, self.plan.poolers as u32, count);
                pool[forward::least_loaded(first, count, |index| self.load(now, pooler, pool[index]))]
            }
            Scheme::Central => self.least_loaded(pool, |_, server_index| {
                let server = &members[server_index as usize].server;
                (server.jobs() + 1) as f64 * server.slowdown / server.capacity(now)
            }),
        })
    }

    /// The load of a member by the pooler's own sends and answers, as in `choice.rs`.
    fn load(&self, now: Time, pooler: usize, to: u32) -> f64 {
        let view = self.view(pooler, to);
        let in_flight = f64::from(view.in_flight);
        let age_ratio = (now.0 as f64 - view.sent_at_sum as f64 / in_flight.max(1.0))
            / self.latency[pooler].mean.max(1.0);
        (1.0 + in_flight * age_ratio.clamp(1.0, MAX_AGE_RATIO)) * view.slowness.ratio(now)
    }

    fn forward_from(&mut self, now: Time, pooler: usize, pool: &[u32], first: usize) -> u32 {
        self.loads = pool.iter().map(|server| self.load(now, pooler, *server)).collect();
        self.forward_step(pool, first)
    }

    fn forward_step(&self, pool: &[u32], first: usize) -> u32 {
        let limit = THRESHOLD * self.loads.iter().sum::<f64>() / pool.len() as f64;
        let mut steps =
            (0..=forward::FORWARD_STEPS.min(pool.len() - 1)).map(|step| (first + step) % pool.len());
        pool[steps.find(|index| self.loads[*index] <= limit).unwrap_or(first)]
    }

    /// The least loaded member; a random one of equals.
    fn least_loaded(&mut self, pool: &[u32], load: impl Fn(&Self, u32) -> f64) -> u32 {
        let begin = self.rng.next_u32() as usize;
        let order = (0..pool.len()).map(|index| pool[(begin + index) % pool.len()]);
        let least = order.min_by(|a, b| load(self, *a).total_cmp(&load(self, *b)));
        least.unwrap_or(pool[0])
    }

    fn two_choices(
        &mut self,
        pooler: usize,
        pool: &[u32],
        choice_pool: ChoicePool,
        members: &[Member],
    ) -> u32 {
        let mut candidates: Vec<u32> = match choice_pool {
            ChoicePool::All => pool.to_vec(),
            ChoicePool::Zone => {
                let near = |server: &&u32| members[**server as usize].zone == pooler % ZONES;
                pool.iter().filter(near).copied().collect()
            }
            ChoicePool::Ring | ChoicePool::RingPublished => {
                let begin = pooler * pool.len() / self.plan.poolers;
                (0..SUBSET_SIZE.min(pool.len())).map(|index| pool[(begin + index) % pool.len()]).collect()
            }
        };
        if candidates.is_empty() {
            candidates.extend(pool);
        }
        let first = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
        if candidates.is_empty() {
            return first;
        }
        let second = candidates[self.rng.random_range(0..candidates.len())];
        let load = |server: u32| match choice_pool {
            ChoicePool::RingPublished => self.published_jobs[server as usize],
            _ => f64::from(self.view(pooler, server).in_flight),
        };
        if load(second) < load(first) { second } else { first }
    }

    fn by_learned_speed(&mut self, pooler: usize, pool: &[u32]) -> u32 {
        let total: f64 = pool.iter().map(|server| self.view(pooler, *server).latency_ratio.recip()).sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for server in pool {
            remaining -= self.view(pooler, *server).latency_ratio.recip();
            if remaining < 0.0 {
                return *server;
            }
        }
        pool[0]
    }

    /// Draws a member in proportion to the difference between its published number of jobs and the level to which
    /// the requests that have arrived since would fill all members.
    fn by_interpreted_loads(&mut self, now: Time, pool: &[u32]) -> u32 {
        let arrived = (self.rate * (now - self.published_at).0 as f64 / 1e6).max(1.0);
        let mut jobs: Vec<f64> = pool.iter().map(|server| self.published_jobs[*server as usize]).collect();
        jobs.sort_by(f64::total_cmp);
        let (mut sum, mut level) = (0.0, 0.0);
        for (count, server_jobs) in jobs.iter().enumerate() {
            if count > 0 && level <= *server_jobs {
                break;
            }
            sum += server_jobs;
            level = (sum + arrived) / (count + 1) as f64;
        }
        let mut remaining = self.rng.random::<f64>() * arrived;
        for server in pool {
            remaining -= (level - self.published_jobs[*server as usize]).max(0.0);
            if remaining < 0.0 {
                return *server;
            }
        }
        pool[0]
    }

    fn by_probes(&mut self, now: Time, pooler: usize, pool: &[u32], members: &[Member]) -> u32 {
        let slot = pooler * self.plan.groups + pool[0] as usize / self.plan.members;
        let mut kept = std::mem::take(&mut self.probes[slot]);
        kept.retain(|probe| now - probe.sent_at < MAX_PROBE_AGE && probe.uses < MAX_PROBE_USES);
        let mut job_counts: Vec<f64> = kept.iter().map(|probe| probe.jobs).collect();
        job_counts.sort_by(f64::total_cmp);
        let hot = job_counts
            .get((job_counts.len() as f64 * HOT_QUANTILE) as usize)
            .copied()
            .unwrap_or(f64::INFINITY);
        let usable = |probe: &&mut Probe| pool.contains(&probe.server);
        let cold = kept.iter_mut().filter(usable).filter(|probe| probe.jobs < hot);
        let cold = cold.min_by(|a, b| a.latency.total_cmp(&b.latency));
        let best = match cold {
            Some(best) => Some(best),
            None => kept.iter_mut().filter(usable).min_by(|a, b| a.jobs.total_cmp(&b.jobs)),
        };
        let pick = match best {
            Some(best) => {
                best.uses += 1;
                best.jobs += 1.0;
                best.server
            }
            None => pool[self.rng.random_range(0..pool.len())],
        };
        // The answers arrive after this choice, and are used for the next ones.
        for _ in 0..PROBES_PER_REQUEST {
            let server = pool[self.rng.random_range(0..pool.len())];
            let member = &members[server as usize];
            if member.server.state() != crate::server::ServerState::Up {
                continue;
            }
            let jobs = member.server.jobs() as f64;
            let latency =
                (jobs / member.config.cores as f64).max(1.0) * member.server.slowdown / member.config.speed;
            if kept.len() == MAX_PROBES {
                kept.remove(0);
            }
            kept.push(Probe { sent_at: now, server, jobs, latency, uses: 0 });
            self.messages += 1;
        }
        self.probes[slot] = kept;
        pick
    }

    /// Prepares a send; returns whether it needs a new connection.
    pub(super) fn opens_connection(&mut self, pooler: usize, to: u32) -> bool {
        let view = self.view_mut(pooler, to);
        let new = view.in_flight >= view.max_in_flight;
        view.max_in_flight = view.max_in_flight.max(view.in_flight + 1);
        new
    }

    pub(super) fn record_send(&mut self, now: Time, pooler: usize, to: u32) {
        let view = self.view_mut(pooler, to);
        view.in_flight += 1;
        view.sent_at_sum += now.0;
    }

    pub(super) fn forget(&mut self, pooler: usize, to: u32, sent: Time) {
        let view = self.view_mut(pooler, to);
        view.in_flight = view.in_flight.saturating_sub(1);
        view.sent_at_sum -= sent.0;
    }

    pub(super) fn record_answer(&mut self, now: Time, pooler: usize, to: u32, sent: Time, took: Span) {
        self.forget(pooler, to, sent);
        let ratio = took.0 as f64 / self.latency[pooler].mean.max(1.0);
        let view = self.view_mut(pooler, to);
        view.slowness.observe(now, 1, ratio);
        view.latency_ratio += (ratio.clamp(0.1, 10.0) - view.latency_ratio) / SPEED_SMOOTHING;
        self.latency[pooler].observe(took.0 as f64);
    }

    pub(super) fn publish(&mut self, now: Time, members: &[Member]) {
        self.published_at = now;
        for (jobs, member) in self.published_jobs.iter_mut().zip(members) {
            *jobs = member.server.jobs() as f64;
        }
        if self.scheme.uses_published_loads() {
            self.messages += (self.plan.poolers * (self.plan.poolers - 1)) as u64;
        }
    }

    pub(super) fn write_figures(&self, figures: &mut Figures) {
        figures.connections = self.views.iter().map(|view| u64::from(view.max_in_flight)).sum();
        figures.messages = self.messages;
    }
}
