//! The pooler's cost for a request: the same load on a stand-in server directly and through the pooler, alternating
//! within one run, so that changes in the machine's speed affect both alike.

use crate::boxes::{Log, StandInServer};
use crate::load::{ClassStats, Load, LoadError, Pace};
use crate::pooler::Pooler;
use crate::recorder::Recorder;
use serde_json::{Value, json};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Rounds; in each, every program and the direct connection are measured once.
const ROUNDS: u64 = 5;
/// Duration of one load, warm-up included.
const LOAD_DURATION: Duration = Duration::from_millis(2_500);
const WARM_UP: Duration = Duration::from_millis(500);

/// CPU time of all threads of a process.
///
/// # Errors
///
/// When `/proc` can't be read or has no `schedstat`.
pub fn cpu_time(process: u32) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let ns = text.split_ascii_whitespace().next().and_then(|text| text.parse().ok());
        sum += Duration::from_nanos(ns.ok_or_else(|| io::Error::other("no schedstat"))?);
    }
    Ok(sum)
}

/// Latencies and CPU time measured for a pooler.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    direct: ClassStats,
    pooler: ClassStats,
    /// The pooler's CPU time under a closed loop of 16 sessions; the two fields below are of the same load.
    cpu_time: Duration,
    saturated: ClassStats,
    saturated_s: f64,
    not_served: u64,
}

impl Cost {
    /// The figures as the JSON line that the command prints last.
    #[must_use]
    pub fn line(&self) -> Value {
        let quantile = |of: &ClassStats, q| of.from_written.value_at_quantile(q);
        let cpu_us = self.cpu_time.as_secs_f64() * 1e6 / self.saturated.total().max(1) as f64;
        let (direct, pooler) = (quantile(&self.direct, 0.5), quantile(&self.pooler, 0.5));
        json!({"direct_p50_us": direct, "pooler_p50_us": pooler,
            "added_p50_us": pooler as i64 - direct as i64,
            "added_p99_us": quantile(&self.pooler, 0.99) as i64 - quantile(&self.direct, 0.99) as i64,
            "cpu_us_per_request": (cpu_us * 10.0).round() / 10.0,
            "requests_per_s_core": (1e6 / cpu_us).round(),
            "served_per_s": (self.saturated.served() as f64 / self.saturated_s).round(),
            "not_served": self.not_served})
    }

    /// Whether all requests were served: the cost of refused requests says nothing.
    #[must_use]
    pub fn all_served(&self) -> bool {
        self.not_served == 0 && self.saturated.served() > 0
    }
}

/// Measures the programs at these paths and returns a cost for each. The stand-in servers answer at once. All
/// programs are measured within each round, so that changes in the machine's speed affect them alike. `report` gets a
/// line of text for each measurement.
///
/// # Errors
///
/// When a server or a pooler can't be started, or a load can't be generated.
pub fn measure(programs: &[&Path], mut report: impl FnMut(&str)) -> Result<Vec<Cost>, CostError> {
    let (log, recorder) = (Arc::<Log>::default(), Arc::<Mutex<Recorder>>::default());
    let loopback = IpAddr::V4(Ipv4Addr::new(127, 10, 0, 1));
    let boxes = (1..=3).map(|at| {
        StandInServer::start(
            &format!("s-{at}"),
            loopback,
            at == 1,
            Duration::ZERO,
            log.clone(),
            recorder.clone(),
        )
    });
    let boxes = boxes.collect::<io::Result<Vec<_>>>()?;
    let instances: Vec<Value> = boxes
        .iter()
        .enumerate()
        .map(|(at, one)| {
            json!({"instanceId": one.name, "hostPort": one.address.to_string(), "zone": "adum", "machineType": "m1",
                "cell": 2, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
                "part": if at == 0 { "master" } else { "replica" }})
        })
        .collect();
    let server_list = json!({"generation": 1, "reset": true, "instances": instances});
    let poolers = programs.iter().map(|program| Pooler::start(program, None, &server_list));
    let poolers = poolers.collect::<io::Result<Vec<_>>>()?;
    let mut costs = vec![Cost::default(); poolers.len()];
    for round in 0..ROUNDS {
        let direct = load(boxes[0].address, round).run()?.all();
        for (number, (pooler, cost)) in poolers.iter().zip(&mut costs).enumerate() {
            let line = cost.measure_round(pooler, round, &direct)?;
            report(&format!("round {round}  pooler {number}  {line}"));
        }
    }
    Ok(costs)
}

/// A closed loop of one session.
fn load(to: SocketAddr, seed: u64) -> Load {
    Load {
        to,
        sessions: 1,
        pace: Pace::Closed,
        duration: LOAD_DURATION,
        warm: WARM_UP,
        deadline: Duration::from_secs(1),
        writes: None,
        seed,
    }
}

impl Cost {
    /// Measures a pooler for one round; `direct` was measured on a server just before. Returns a line of text.
    fn measure_round(
        &mut self,
        pooler: &Pooler,
        round: u64,
        direct: &ClassStats,
    ) -> Result<String, CostError> {
        let pooled = load(pooler.address, round).run()?.all();
        let before = cpu_time(pooler.id())?;
        // No warm-up: the CPU time is that of all requests, so all of them are counted.
        let saturated =
            Load { sessions: 16, warm: Duration::ZERO, ..load(pooler.address, round + 100) }.run()?;
        let used = cpu_time(pooler.id())?.saturating_sub(before);
        self.saturated_s += saturated.counted.as_secs_f64();
        self.cpu_time += used;
        let saturated = saturated.all();
        for (sum, one) in
            [(&mut self.direct, direct), (&mut self.pooler, &pooled), (&mut self.saturated, &saturated)]
        {
            self.not_served += one.total() - one.served();
            sum.add(one);
        }
        let quantiles = |of: &ClassStats| [0.5, 0.99].map(|q| of.from_written.value_at_quantile(q));
        let ([d50, d99], [p50, p99]) = (quantiles(direct), quantiles(&pooled));
        let (cpu_us, served) =
            (used.as_secs_f64() * 1e6 / saturated.total().max(1) as f64, saturated.served() as f64);
        Ok(format!(
            "direct p50 {d50:>4} p99 {d99:>5} us  through it p50 {p50:>4} p99 {p99:>5} us  {cpu_us:.1} us CPU a request at {:.0} a second",
            served / LOAD_DURATION.as_secs_f64()
        ))
    }
}

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum CostError {
    /// A stand-in server or the pooler failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The load could not be generated.
    #[error("{0}")]
    Load(#[from] LoadError),
}
