//! The service level as operators count it: the worth that was answered within the latency objectives, as a share
//! of the worth that was requested; all tries of a client count as one request. Kept by second, tenant and class.
//! Requests beyond a tenant's share count less.

use crate::scenario::Scenario;
use crate::traffic::ClassPlan;
use linnetdeal_core::{Span, Time};

/// Length of the window of which the worst one is reported, in seconds.
const WINDOW_SECONDS: usize = 10;
/// What a tenant may request in a burst, in seconds of its share.
const BURST_SECONDS: f64 = 1.0;

/// Worth that was served, and worth that was requested.
pub type Worth = [f64; 2];

/// The service level of a run.
#[derive(Clone, Debug)]
pub struct ServiceLevel {
    begin: Time,
    classes: Vec<(Span, f64, f64)>,
    quotas: Vec<f64>,
    over_share: f64,
    /// What remains of each tenant's share, and at which time.
    remaining: Vec<(f64, Time)>,
    /// Worth by second, tenant, whether it was within the share, and class.
    cells: Vec<Worth>,
}

impl ServiceLevel {
    /// The accounting of a scenario that begins at this time.
    #[must_use]
    pub fn new(scenario: &Scenario, plans: &[ClassPlan], quotas: &[f64], begin: Time) -> Self {
        let seconds = (scenario.traffic.lasts.0 / 1_000_000) as usize + 2;
        let tenants = quotas.len().max(1);
        let classes = plans.iter().map(|plan| (plan.class.aim, plan.class.worth, plan.class.late_worth));
        Self {
            begin,
            classes: classes.collect(),
            quotas: quotas.to_vec(),
            over_share: scenario.traffic.over_share,
            remaining: quotas.iter().map(|quota| (quota * BURST_SECONDS, begin)).collect(),
            cells: vec![[0.0; 2]; seconds * tenants * 2 * plans.len()],
        }
    }

    fn tenants(&self) -> usize {
        self.quotas.len().max(1)
    }

    fn cell_index(&self, at: Time, tenant: Option<usize>, within: bool, class: usize) -> usize {
        let second = ((at - self.begin).0.max(0) / 1_000_000) as usize;
        ((second * self.tenants() + tenant.unwrap_or(0)) * 2 + usize::from(within)) * self.classes.len()
            + class
    }

    fn full_worth(&self, class: usize, within: bool) -> f64 {
        self.classes[class].1 * if within { 1.0 } else { self.over_share }
    }

    /// Counts a client's first try; returns whether it is within its tenant's share.
    pub fn record_request(&mut self, now: Time, tenant: Option<usize>, class: usize) -> bool {
        let within = tenant.is_none_or(|tenant| {
            let (quota, (remaining, since)) = (self.quotas[tenant], self.remaining[tenant]);
            let remaining = (remaining + quota * (now - since).0 as f64 / 1e6).min(quota * BURST_SECONDS);
            let within = remaining >= 1.0;
            self.remaining[tenant] = (remaining - f64::from(u8::from(within)), now);
            within
        });
        let (cell, worth) = (self.cell_index(now, tenant, within, class), self.full_worth(class, within));
        if let Some(entry) = self.cells.get_mut(cell) {
            entry[1] += worth;
        }
        within
    }

    /// Counts an answer that took this long since the first try.
    pub fn record_served(
        &mut self,
        requested_at: Time,
        took: Span,
        tenant: Option<usize>,
        within: bool,
        class: usize,
    ) {
        let (aim, _, late_worth) = self.classes[class];
        let part = if took <= aim { 1.0 } else { late_worth };
        let (cell, worth) =
            (self.cell_index(requested_at, tenant, within, class), self.full_worth(class, within));
        if let Some(entry) = self.cells.get_mut(cell) {
            entry[0] += worth * part;
        }
    }

    /// The sum over the cells that `include` selects by second, tenant, whether within the share, and class.
    fn sum_cells(&self, include: impl Fn(usize, usize, bool, usize) -> bool) -> Worth {
        let (classes, tenants) = (self.classes.len(), self.tenants());
        let mut sum = [0.0; 2];
        for (index, cell) in self.cells.iter().enumerate() {
            let (class, rest) = (index % classes, index / classes);
            let (within, rest) = (rest % 2 == 1, rest / 2);
            if include(rest / tenants, rest % tenants, within, class) {
                sum = [sum[0] + cell[0], sum[1] + cell[1]];
            }
        }
        sum
    }

    /// The share that was served in the whole run.
    #[must_use]
    pub fn overall(&self) -> f64 {
        share(self.sum_cells(|_, _, _, _| true))
    }

    /// The second in which the worst window of 10 s begins, and the share that was served in it; windows without
    /// requests don't count.
    #[must_use]
    pub fn worst_window(&self) -> (usize, f64) {
        self.worst_window_of(|_, _, _| true)
    }

    fn worst_window_of(&self, include: impl Fn(usize, bool, usize) -> bool) -> (usize, f64) {
        let seconds = self.cells.len() / (self.tenants() * 2 * self.classes.len());
        let by_second: Vec<Worth> = (0..seconds)
            .map(|second| {
                self.sum_cells(|cell_second, tenant, within, class| {
                    cell_second == second && include(tenant, within, class)
                })
            })
            .collect();
        let active_seconds: Vec<usize> = (0..seconds).filter(|second| by_second[*second][1] > 0.0).collect();
        let (Some(first), Some(last)) = (active_seconds.first().copied(), active_seconds.last().copied())
        else {
            return (0, 1.0);
        };
        let window = |from: usize| {
            let part = &by_second[from..(from + WINDOW_SECONDS).min(last + 1)];
            (from, share(part.iter().fold([0.0; 2], |sum, worth| [sum[0] + worth[0], sum[1] + worth[1]])))
        };
        let starts = first..=(last + 1).saturating_sub(WINDOW_SECONDS).max(first);
        starts.map(window).min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, 1.0))
    }

    /// A class's share in the whole run and in its worst window.
    #[must_use]
    pub fn class_shares(&self, class: usize) -> [f64; 2] {
        [
            share(self.sum_cells(|_, _, _, other| other == class)),
            self.worst_window_of(|_, _, other| other == class).1,
        ]
    }

    /// A tenant's share, in the whole run and in its worst window, counting only what it requested within its share.
    #[must_use]
    pub fn tenant_shares(&self, tenant: usize) -> [f64; 2] {
        let include = |other: usize, within: bool| other == tenant && within;
        [
            share(self.sum_cells(|_, other, within, _| include(other, within))),
            self.worst_window_of(|other, within, _| include(other, within)).1,
        ]
    }
}

/// 1 if nothing was requested.
fn share([served, requested]: Worth) -> f64 {
    if requested > 0.0 { served / requested } else { 1.0 }
}
