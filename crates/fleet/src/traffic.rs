//! The requests of clients, drawn from one generator in a fixed order, so that everything that runs a scenario has
//! the same.

use crate::scenario::{ClassSpec, DataNeed, Scenario, WorkDistribution};
use linnetdeal_core::{Class, Effect, Need, Span};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};

/// The shortest wait of a client before a retry, in ms.
pub const RETRY_WAIT_MS: std::ops::Range<i64> = 10..80;

/// No request has more work than this multiple of its class's mean.
const MAX_WORK_FACTOR: f64 = 20.0;
/// Session ids of different tenants are at least this far apart.
const SESSION_IDS_PER_TENANT: u64 = 1 << 40;

/// The work of a class's requests on a standard core, in µs.
#[derive(Clone, Debug)]
pub enum Work {
    /// Uniform within the range.
    Between(std::ops::Range<i64>),
    /// Exponential, with this mean.
    Exponential(f64),
    /// Lognormal, with this mean.
    Lognormal(f64, LogNormal<f64>),
}

impl Work {
    fn from_class(class: &ClassSpec) -> Self {
        let mean = class.work.0 as f64;
        let variance = (1.0 + class.cv * class.cv).ln();
        match (class.spread, LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt())) {
            (WorkDistribution::Lognormal, Ok(distribution)) => Self::Lognormal(mean, distribution),
            _ => Self::Exponential(mean),
        }
    }

    /// The mean, in seconds.
    #[must_use]
    pub fn mean(&self) -> f64 {
        match self {
            Self::Between(range) => (range.start + range.end) as f64 / 2e6,
            Self::Exponential(mean) | Self::Lognormal(mean, _) => mean / 1e6,
        }
    }

    /// Draws the work of a request.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Span {
        let bounded = |drawn: f64, mean: f64| Span((drawn.min(MAX_WORK_FACTOR * mean) as i64).max(1));
        match self {
            Self::Between(range) => Span(rng.random_range(range.clone())),
            Self::Exponential(mean) => {
                let drawn: f64 = Exp1.sample(rng);
                bounded(drawn * mean, *mean)
            }
            Self::Lognormal(mean, distribution) => bounded(distribution.sample(rng), *mean),
        }
    }
}

/// A class in the model: its settings, and what its clients request.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// The class's settings.
    pub class: Class,
    /// Its share of all requests.
    pub share: f64,
    /// The work of a request.
    pub work: Work,
    /// How long a client waits.
    pub deadline: Span,
}

/// All classes of a scenario, writes last.
#[must_use]
pub fn class_plans(scenario: &Scenario) -> Vec<ClassPlan> {
    if scenario.classes.is_empty() {
        return default_class_plans();
    }
    let all: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let plan = |class: &ClassSpec| ClassPlan {
        class: Class {
            name: class.name.clone(),
            effect: if class.once { Effect::Unsafe } else { Effect::Safe },
            need: match class.need {
                DataNeed::Any => Need::Any,
                DataNeed::Bounded => Need::Bounded(class.bound),
                DataNeed::Session => Need::Session,
                DataNeed::Fresh => Need::Fresh,
                DataNeed::Write => Need::Write,
            },
            aim: class.aim,
            aim_stretch: 0.0,
            worth: class.worth,
            late_worth: class.late_worth,
        },
        share: class.share / all,
        work: Work::from_class(class),
        deadline: class.deadline,
    };
    scenario.classes.iter().map(plan).collect()
}

/// The classes of a scenario that defines none.
#[must_use]
pub fn default_class_plans() -> Vec<ClassPlan> {
    let plan = |name: &str, need, effect, share, aim, deadline, worth, late_worth, work| ClassPlan {
        class: Class {
            name: name.into(),
            effect,
            need,
            aim: Span::millis(aim),
            aim_stretch: 0.0,
            worth,
            late_worth,
        },
        share,
        work: Work::Between(work),
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

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// Its class.
    pub class: usize,
    /// Its session.
    pub session: u64,
    /// The group that holds its data.
    pub group: u32,
    /// The pooler that it is sent to.
    pub router: u32,
    /// The work of it on a standard core.
    pub work: Span,
    /// The tenant, if the scenario has tenants.
    pub tenant: Option<usize>,
}

/// The traffic of a scenario.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The classes.
    pub plans: Vec<ClassPlan>,
    /// Requests per second, without a surge.
    pub rate: f64,
    /// What each tenant may request per second.
    pub quotas: Vec<f64>,
    /// Each tenant's share of all requests.
    request_shares: Vec<f64>,
    /// Number of sets of poolers; each set serves its own groups.
    pub pooler_sets: usize,
    zipf: Option<Zipf<f64>>,
    sessions: u64,
    groups: usize,
    poolers: usize,
}

impl Traffic {
    /// The traffic of a scenario.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let (boxes, fleet, plans) = (&scenario.boxes, &scenario.fleet, class_plans(scenario));
        let mean = |include: &dyn Fn(&ClassPlan) -> bool| -> f64 {
            plans.iter().filter(|plan| include(plan)).map(|plan| plan.share * plan.work.mean()).sum()
        };
        let box_capacity = boxes.cores as f64 * boxes.speed;
        let primary_work = mean(&|plan| matches!(plan.class.need, Need::Write | Need::Fresh));
        let max_rate = (box_capacity * fleet.members as f64 / mean(&|_| true))
            .min(box_capacity / primary_work)
            * fleet.groups as f64;
        let rate = if scenario.traffic.rate > 0.0 {
            scenario.traffic.rate
        } else {
            max_rate * scenario.traffic.load
        };
        let zipf = (scenario.traffic.zipf > 0.0)
            .then(|| Zipf::new(scenario.traffic.sessions as f64, scenario.traffic.zipf).ok())
            .flatten();
        let reach = if fleet.reach == 0 { fleet.groups } else { fleet.reach };
        let pooler_sets = fleet.groups.div_ceil(reach).clamp(1, fleet.poolers);
        let (sessions, groups, poolers) = (scenario.traffic.sessions, fleet.groups, fleet.poolers);
        let shares: f64 = scenario.tenants.iter().map(|tenant| tenant.share).sum();
        let quota = |share: f64| max_rate * scenario.traffic.quota * share / shares;
        let quotas = scenario.tenants.iter().map(|tenant| quota(tenant.share)).collect();
        let usage: f64 = scenario.tenants.iter().map(|tenant| tenant.share * tenant.usage).sum();
        let request_shares =
            scenario.tenants.iter().map(|tenant| tenant.share * tenant.usage / usage).collect();
        Self { plans, rate, quotas, request_shares, pooler_sets, zipf, sessions, groups, poolers }
    }

    /// Number of poolers that serve the same group.
    #[must_use]
    pub fn poolers_per_group(&self) -> u32 {
        (self.poolers / self.pooler_sets).max(1) as u32
    }

    /// The delay after which a pooler receives a change of the list, counted from the time at which the change is
    /// visible.
    #[must_use]
    pub fn list_delay(&self, router: u32) -> Span {
        Span(35_000 + i64::from(router) * 7_919 % 265_000)
    }

    /// Whether a pooler serves a group.
    #[must_use]
    pub fn serves(&self, router: u32, group: u32) -> bool {
        router as usize % self.pooler_sets == group as usize % self.pooler_sets
    }

    /// The time until the next request.
    pub fn gap(&self, surge: f64, rng: &mut ChaCha8Rng) -> Span {
        let gap: f64 = Exp1.sample(rng);
        Span(((gap / (self.rate * surge)) * 1e6) as i64)
    }

    /// Draws the next request.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> ClientRequest {
        let tenant = (!self.request_shares.is_empty()).then(|| weighted_index(&self.request_shares, rng));
        let session = match &self.zipf {
            Some(zipf) => zipf.sample(rng) as u64,
            None => rng.random_range(1..=self.sessions),
        };
        let session = session + tenant.unwrap_or(0) as u64 * SESSION_IDS_PER_TENANT;
        let session_hash = session.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let group = ((session_hash >> 33) % self.groups as u64) as u32;
        let set = group as usize % self.pooler_sets;
        let poolers_in_set = (self.poolers - set).div_ceil(self.pooler_sets);
        let router = (set + ((session_hash >> 13) as usize % poolers_in_set) * self.pooler_sets) as u32;
        let mut remaining = rng.random::<f64>();
        let class = self
            .plans
            .iter()
            .position(|plan| {
                remaining -= plan.share;
                remaining < 0.0
            })
            .unwrap_or(0);
        let work = self.plans[class].work.draw(rng);
        ClientRequest { class, session, group, router, work, tenant }
    }
}

/// A random index, weighted by these shares of 1.
fn weighted_index(parts: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut remaining = rng.random::<f64>();
    let index = parts.iter().position(|part| {
        remaining -= part;
        remaining < 0.0
    });
    index.unwrap_or(0)
}
