//! The schemes: how a pooler chooses a member.

use super::forward;
use super::{Figures, Member, Plan, ZONES};
use linnetdeal_core::{LatencyEstimate, Slowness, Span, Time, subset};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// As in `choice.rs`.
const THRESHOLD: f64 = 1.2;
const LONGEST_WAIT: f64 = 4.0;
/// The members that a pooler's ring subset has of each group.
const APERTURE: usize = 3;
/// Answers that the learned speed remembers.
const SPEED_MEMORY: f64 = 30.0;
/// Probing as Prequal does it: probes sent a request, kept at most, used each at most, too old after, and the quantile above which a
/// member is hot.
const PROBES: usize = 2;
const PROBES_KEPT: usize = 16;
const PROBE_USES: u32 = 3;
const PROBE_OLD: Span = Span::millis(1_000);
const HOT: f64 = 0.84;

/// Whom two choices are drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePool {
    /// All that may answer.
    All,
    /// A part of the ring of members, by rank.
    Ring,
    /// The same, and counts of all poolers are told.
    RingPublished,
    /// Members of the own zone.
    Zone,
}

/// A way to choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheme {
    /// Any.
    Random,
    /// The random pick with the forward step, as it was before windows.
    ForwardStep,
    /// The same in windows: the program's choice on 2026-12-02.
    Windows,
    /// The lesser of two by own counts.
    TwoChoices(ChoicePool),
    /// At random, by weights that are learned speeds.
    LearnedSpeeds,
    /// The least of all by the counts that are told.
    LeastPublished,
    /// The random pick with the forward step, by the counts that are told.
    ForwardPublished,
    /// Counts that are told, and what must have come since (Dahlin).
    StaleInterpreted,
    /// Probes, kept and used a few times (Prequal's hot and cold).
    Probes,
    /// The least of the random pick in its window and of those after it, by what the pooler knows by itself: `forward.rs` beside this.
    LeastOfStep,
    /// Knows all at each moment.
    Central,
}

impl Scheme {
    /// All of them, in the order of the table.
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

    /// As the table has it.
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

    /// Whether poolers tell each other counts for it.
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

/// What a pooler keeps of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    out: u16,
    /// The most that were out at once: connections are kept.
    most: u16,
    /// The sum of when what is out was sent.
    sent: i64,
    slow: Slowness,
    speed: f64,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    at: Time,
    to: u32,
    held: f64,
    takes: f64,
    uses: u32,
}

/// The choices of all poolers.
pub(super) struct Chooser {
    scheme: Scheme,
    plan: Plan,
    rng: ChaCha8Rng,
    servers: usize,
    pairs: Vec<Pair>,
    pace: Vec<LatencyEstimate>,
    /// What was told last: when, and what each server held.
    told_at: Time,
    held: Vec<f64>,
    /// Requests a second that a group gets, in the mean.
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
            pairs: vec![Pair { speed: 1.0, ..Pair::default() }; servers * plan.poolers],
            pace: vec![LatencyEstimate::initial(super::AIM); plan.poolers],
            told_at: super::BEGIN,
            held: vec![0.0; servers],
            rate: rate / plan.groups as f64,
            probes: vec![Vec::new(); probed],
            messages: 0,
            loads: Vec::new(),
        }
    }

    fn pair(&self, pooler: usize, to: u32) -> &Pair {
        &self.pairs[pooler * self.servers + to as usize]
    }

    fn pair_mut(&mut self, pooler: usize, to: u32) -> &mut Pair {
        &mut self.pairs[pooler * self.servers + to as usize]
    }

    pub(super) fn choose(
        &mut self,
        now: Time,
        pooler: usize,
        pool: &[u32],
        members: &[Member],
    ) -> Option<u32> {
        let draw = self.rng.next_u32() as usize;
        let all = pool.len();
        if all == 0 {
            return None;
        }
        let any = pool[draw % all];
        Some(match self.scheme {
            Scheme::Random => any,
            Scheme::ForwardStep => self.forward(now, pooler, pool, draw % all),
            Scheme::Windows => {
                let first = subset::first_pick(draw, pooler as u32, self.plan.poolers as u32, all);
                self.forward(now, pooler, pool, first)
            }
            Scheme::TwoChoices(of) => self.two(pooler, pool, of, members),
            Scheme::LearnedSpeeds => self.speeds(pooler, pool),
            Scheme::LeastPublished => self.least_loaded(pool, |this, at| this.held[at as usize]),
            Scheme::ForwardPublished => {
                self.loads = pool.iter().map(|at| 1.0 + self.held[*at as usize]).collect();
                self.step(pool, draw % all)
            }
            Scheme::StaleInterpreted => self.interpreted(now, pool),
            Scheme::Probes => self.probed(now, pooler, pool, members),
            Scheme::LeastOfStep => {
                let first = subset::first_pick(draw, pooler as u32, self.plan.poolers as u32, all);
                pool[forward::least_loaded(first, all, |at| self.load(now, pooler, pool[at]))]
            }
            Scheme::Central => self.least_loaded(pool, |_, at| {
                let server = &members[at as usize].server;
                (server.jobs() + 1) as f64 * server.slowdown / server.capacity(now)
            }),
        })
    }

    /// As `choice.rs` has it.
    fn load(&self, now: Time, pooler: usize, to: u32) -> f64 {
        let pair = self.pair(pooler, to);
        let out = f64::from(pair.out);
        let age = (now.0 as f64 - pair.sent as f64 / out.max(1.0)) / self.pace[pooler].mean.max(1.0);
        (1.0 + out * age.clamp(1.0, LONGEST_WAIT)) * pair.slow.ratio(now)
    }

    fn forward(&mut self, now: Time, pooler: usize, pool: &[u32], first: usize) -> u32 {
        self.loads = pool.iter().map(|at| self.load(now, pooler, *at)).collect();
        self.step(pool, first)
    }

    fn step(&self, pool: &[u32], first: usize) -> u32 {
        let valid = THRESHOLD * self.loads.iter().sum::<f64>() / pool.len() as f64;
        let mut steps =
            (0..=forward::FORWARD_STEPS.min(pool.len() - 1)).map(|step| (first + step) % pool.len());
        pool[steps.find(|at| self.loads[*at] <= valid).unwrap_or(first)]
    }

    /// The least; of equals one by chance.
    fn least_loaded(&mut self, pool: &[u32], load: impl Fn(&Self, u32) -> f64) -> u32 {
        let begin = self.rng.next_u32() as usize;
        let order = (0..pool.len()).map(|at| pool[(begin + at) % pool.len()]);
        let least = order.min_by(|a, b| load(self, *a).total_cmp(&load(self, *b)));
        least.unwrap_or(pool[0])
    }

    fn two(&mut self, pooler: usize, pool: &[u32], of: ChoicePool, members: &[Member]) -> u32 {
        let mut part: Vec<u32> = match of {
            ChoicePool::All => pool.to_vec(),
            ChoicePool::Zone => {
                let near = |at: &&u32| members[**at as usize].zone == pooler % ZONES;
                pool.iter().filter(near).copied().collect()
            }
            ChoicePool::Ring | ChoicePool::RingPublished => {
                let begin = pooler * pool.len() / self.plan.poolers;
                (0..APERTURE.min(pool.len())).map(|at| pool[(begin + at) % pool.len()]).collect()
            }
        };
        if part.is_empty() {
            part.extend(pool);
        }
        let first = part.swap_remove(self.rng.random_range(0..part.len()));
        if part.is_empty() {
            return first;
        }
        let second = part[self.rng.random_range(0..part.len())];
        let load = |at: u32| match of {
            ChoicePool::RingPublished => self.held[at as usize],
            _ => f64::from(self.pair(pooler, at).out),
        };
        if load(second) < load(first) { second } else { first }
    }

    fn speeds(&mut self, pooler: usize, pool: &[u32]) -> u32 {
        let all: f64 = pool.iter().map(|at| self.pair(pooler, *at).speed.recip()).sum();
        let mut left = self.rng.random::<f64>() * all;
        for at in pool {
            left -= self.pair(pooler, *at).speed.recip();
            if left < 0.0 {
                return *at;
            }
        }
        pool[0]
    }

    /// Each member gets what is left between what it held and a level that all that has come since fills up to.
    fn interpreted(&mut self, now: Time, pool: &[u32]) -> u32 {
        let came = (self.rate * (now - self.told_at).0 as f64 / 1e6).max(1.0);
        let mut held: Vec<f64> = pool.iter().map(|at| self.held[*at as usize]).collect();
        held.sort_by(f64::total_cmp);
        let (mut sum, mut level) = (0.0, 0.0);
        for (count, one) in held.iter().enumerate() {
            if count > 0 && level <= *one {
                break;
            }
            sum += one;
            level = (sum + came) / (count + 1) as f64;
        }
        let mut left = self.rng.random::<f64>() * came;
        for at in pool {
            left -= (level - self.held[*at as usize]).max(0.0);
            if left < 0.0 {
                return *at;
            }
        }
        pool[0]
    }

    fn probed(&mut self, now: Time, pooler: usize, pool: &[u32], members: &[Member]) -> u32 {
        let slot = pooler * self.plan.groups + pool[0] as usize / self.plan.members;
        let mut kept = std::mem::take(&mut self.probes[slot]);
        kept.retain(|of| now - of.at < PROBE_OLD && of.uses < PROBE_USES);
        let mut rifs: Vec<f64> = kept.iter().map(|of| of.held).collect();
        rifs.sort_by(f64::total_cmp);
        let hot = rifs.get((rifs.len() as f64 * HOT) as usize).copied().unwrap_or(f64::INFINITY);
        let usable = |of: &&mut Probe| pool.contains(&of.to);
        let cold = kept.iter_mut().filter(usable).filter(|of| of.held < hot);
        let cold = cold.min_by(|a, b| a.takes.total_cmp(&b.takes));
        let best = match cold {
            Some(best) => Some(best),
            None => kept.iter_mut().filter(usable).min_by(|a, b| a.held.total_cmp(&b.held)),
        };
        let pick = match best {
            Some(best) => {
                best.uses += 1;
                best.held += 1.0;
                best.to
            }
            None => pool[self.rng.random_range(0..pool.len())],
        };
        // They come back after the choice, and serve the next ones.
        for _ in 0..PROBES {
            let to = pool[self.rng.random_range(0..pool.len())];
            let of = &members[to as usize];
            if of.server.state() != crate::server::ServerState::Up {
                continue;
            }
            let held = of.server.jobs() as f64;
            let takes = (held / of.config.cores as f64).max(1.0) * of.server.slowdown / of.config.speed;
            if kept.len() == PROBES_KEPT {
                kept.remove(0);
            }
            kept.push(Probe { at: now, to, held, takes, uses: 0 });
            self.messages += 1;
        }
        self.probes[slot] = kept;
        pick
    }

    /// One is about to be sent; gives whether it needs a new connection.
    pub(super) fn connects(&mut self, pooler: usize, to: u32) -> bool {
        let pair = self.pair_mut(pooler, to);
        let new = pair.out >= pair.most;
        pair.most = pair.most.max(pair.out + 1);
        new
    }

    pub(super) fn sent(&mut self, now: Time, pooler: usize, to: u32) {
        let pair = self.pair_mut(pooler, to);
        pair.out += 1;
        pair.sent += now.0;
    }

    pub(super) fn lost(&mut self, pooler: usize, to: u32, sent: Time) {
        let pair = self.pair_mut(pooler, to);
        pair.out = pair.out.saturating_sub(1);
        pair.sent -= sent.0;
    }

    pub(super) fn answered(&mut self, now: Time, pooler: usize, to: u32, sent: Time, took: Span) {
        self.lost(pooler, to, sent);
        let ratio = took.0 as f64 / self.pace[pooler].mean.max(1.0);
        let pair = self.pair_mut(pooler, to);
        pair.slow.observe(now, 1, ratio);
        pair.speed += (ratio.clamp(0.1, 10.0) - pair.speed) / SPEED_MEMORY;
        self.pace[pooler].observe(took.0 as f64);
    }

    pub(super) fn told(&mut self, now: Time, members: &[Member]) {
        self.told_at = now;
        for (held, of) in self.held.iter_mut().zip(members) {
            *held = of.server.jobs() as f64;
        }
        if self.scheme.uses_published_loads() {
            self.messages += (self.plan.poolers * (self.plan.poolers - 1)) as u64;
        }
    }

    pub(super) fn tell(&self, figures: &mut Figures) {
        figures.connections = self.pairs.iter().map(|of| u64::from(of.most)).sum();
        figures.messages = self.messages;
    }
}
