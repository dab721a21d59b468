//! The measurements of a simulation, taken at the servers.

use super::Member;
use crate::server::ServerState;
use hdrhistogram::Histogram;
use linnetdeal_core::{Span, Time};

/// The interval of load samples; four of them are a window of one second.
pub(super) const SAMPLE_INTERVAL: Span = Span::millis(250);
const SAMPLES_PER_WINDOW: usize = 4;
/// A server that receives more than this multiple of its group's mean within an interval is hit by a herd.
pub const HERD_FACTOR: f64 = 4.0;
/// A server with less than this share of its group's mean is idle.
const IDLE_SHARE: f64 = 0.5;

/// The results of a simulation. A load is the work sent against the capacity, as a multiple of the mean over the
/// replicas of the group.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Requests. Of these, `refused` were refused, `late` were answered after the latency objective, and
    /// `failed_beside_idle` were one or the other although an eligible member had a free core when they were sent.
    pub requests: u64,
    /// See `requests`.
    pub refused: u64,
    /// See `requests`.
    pub late: u64,
    /// See `requests`.
    pub failed_beside_idle: u64,
    /// Number of attempts.
    pub attempts: u64,
    /// Latencies of reads that were answered, in microseconds.
    pub latencies: Histogram<u64>,
    /// Loads in windows of 1 s, in thousandths.
    pub loads: Histogram<u64>,
    /// The greatest load, by second.
    pub peaks: Vec<f64>,
    /// Seconds in which a server had less than half of the mean for at least two windows in a row, while warm and
    /// in service; summed over servers.
    pub idle_seconds: u64,
    /// The greatest load within 250 ms; `herd_events` counts the loads above `HERD_FACTOR`, 4 times the mean.
    pub max_interval_load: f64,
    /// See `max_interval_load`.
    pub herd_events: u64,
    /// Connections that poolers hold at the end; each took one handshake.
    pub connections: u64,
    /// Messages between poolers, and answers to probes.
    pub messages: u64,
}

impl Default for Figures {
    fn default() -> Self {
        let histogram = |most| Histogram::new_with_bounds(1, most, 3).expect("bounds that are constants");
        Self {
            requests: 0,
            refused: 0,
            late: 0,
            failed_beside_idle: 0,
            attempts: 0,
            latencies: histogram(60_000_000),
            loads: histogram(1_000_000),
            peaks: Vec::new(),
            idle_seconds: 0,
            max_interval_load: 0.0,
            herd_events: 0,
            connections: 0,
            messages: 0,
        }
    }
}

impl Figures {
    /// Peak to mean: the 99th percentile of the loads of servers in windows.
    #[must_use]
    pub fn peak_to_mean(&self) -> f64 {
        self.loads.value_at_quantile(0.99) as f64 / 1_000.0
    }

    /// The 99th percentile of the latency of reads, in ms.
    #[must_use]
    pub fn p99_ms(&self) -> f64 {
        self.latencies.value_at_quantile(0.99) as f64 / 1_000.0
    }

    /// The mean latency of reads, in ms.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.latencies.mean() / 1_000.0
    }

    /// The share of requests that were refused or late.
    #[must_use]
    pub fn failed_share(&self) -> f64 {
        (self.refused + self.late) as f64 / self.requests.max(1) as f64
    }

    /// The share of requests that were refused or late although a server was idle.
    #[must_use]
    pub fn failed_share_beside_idle(&self) -> f64 {
        self.failed_beside_idle as f64 / self.requests.max(1) as f64
    }

    /// Messages per request.
    #[must_use]
    pub fn messages_per_request(&self) -> f64 {
        self.messages as f64 / self.requests.max(1) as f64
    }
}

/// Accumulates the loads of servers.
#[derive(Debug)]
pub(super) struct Loads {
    members: usize,
    /// Work sent since the last sample; and work sent and capacity in the current window.
    sent_work: Vec<f64>,
    window: Vec<(f64, f64)>,
    /// Whether the server was in service, and whether it was warm, throughout the window.
    in_service: Vec<bool>,
    warm: Vec<bool>,
    /// Number of consecutive windows in which the server was idle.
    idle_windows: Vec<u64>,
    samples: usize,
    figures: Figures,
}

impl Loads {
    pub(super) fn new(members: usize, servers: usize) -> Self {
        Self {
            members,
            sent_work: vec![0.0; servers],
            window: vec![(0.0, 0.0); servers],
            in_service: vec![true; servers],
            warm: vec![true; servers],
            idle_windows: vec![0; servers],
            samples: 0,
            figures: Figures::default(),
        }
    }

    pub(super) fn record_send(&mut self, to: u32, work: Span) {
        self.sent_work[to as usize] += work.0 as f64;
    }

    /// Records the loads since the last sample.
    pub(super) fn sample(&mut self, counted: bool, now: Time, members: &[Member]) {
        for (index, member) in members.iter().enumerate() {
            let up = member.server.state() == ServerState::Up && member.listed;
            self.in_service[index] &= up;
            self.warm[index] &= member.server.warmth(now) >= 1.0 && !member.returns_errors;
            self.window[index].0 += self.sent_work[index];
            self.window[index].1 +=
                member.server.capacity(now) / member.server.slowdown * SAMPLE_INTERVAL.0 as f64;
        }
        if counted {
            for begin in (0..members.len()).step_by(self.members) {
                let replicas = begin + 1..begin + self.members;
                let capacity =
                    |index: usize| members[index].server.capacity(now) / members[index].server.slowdown;
                let up: Vec<usize> = replicas.filter(|index| self.in_service[*index]).collect();
                let work: f64 = up.iter().map(|index| self.sent_work[*index]).sum();
                let mean = work / up.iter().map(|index| capacity(*index)).sum::<f64>();
                for index in up.into_iter().filter(|index| self.warm[*index]) {
                    let load = self.sent_work[index] / capacity(index) / mean.max(f64::EPSILON);
                    self.figures.max_interval_load = self.figures.max_interval_load.max(load);
                    self.figures.herd_events += u64::from(load > HERD_FACTOR);
                }
            }
        }
        self.sent_work.fill(0.0);
        self.samples += 1;
        if self.samples % SAMPLES_PER_WINDOW == 0 {
            if counted {
                self.close_window();
            }
            self.window.fill((0.0, 0.0));
            self.in_service.fill(true);
            self.warm.fill(true);
        }
    }

    /// Evaluates a completed window.
    fn close_window(&mut self) {
        let mut peak: f64 = 0.0;
        for begin in (0..self.window.len()).step_by(self.members) {
            let up = (begin + 1..begin + self.members).filter(|index| self.in_service[*index]);
            let up: Vec<usize> = up.collect();
            let (work, capacity) = up.iter().fold((0.0, 0.0), |sum: (f64, f64), index| {
                (sum.0 + self.window[*index].0, sum.1 + self.window[*index].1)
            });
            let mean = work / capacity;
            for index in up {
                let load = self.window[index].0 / self.window[index].1 / mean.max(f64::EPSILON);
                peak = peak.max(load);
                self.figures.loads.saturating_record((load * 1_000.0) as u64 + 1);
                let idle = load < IDLE_SHARE && self.warm[index];
                self.idle_windows[index] = if idle { self.idle_windows[index] + 1 } else { 0 };
                // A single idle window may be chance: the first counts only once a second one follows.
                self.figures.idle_seconds += match self.idle_windows[index] {
                    0 | 1 => 0,
                    2 => 2,
                    _ => 1,
                };
            }
        }
        self.figures.peaks.push(peak);
    }

    pub(super) fn write_figures(&mut self, figures: &mut Figures) {
        figures.loads = self.figures.loads.clone();
        figures.peaks = std::mem::take(&mut self.figures.peaks);
        figures.idle_seconds = self.figures.idle_seconds;
        figures.max_interval_load = self.figures.max_interval_load;
        figures.herd_events = self.figures.herd_events;
    }
}
