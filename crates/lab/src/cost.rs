//! What the pooler itself costs a request: the same load on a box directly and through the pooler, in turns within
//! one run, so that the difference is the pooler's and not the machine's mood.

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

/// Turns of each kind.
const ROUNDS: u64 = 5;
const LASTS: Duration = Duration::from_millis(2_500);
const WARM: Duration = Duration::from_millis(500);

/// CPU time of all threads of a process.
///
/// # Errors
///
/// When the system does not tell.
pub fn cpu(process: u32) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let ns = text.split_ascii_whitespace().next().and_then(|text| text.parse().ok());
        sum += Duration::from_nanos(ns.ok_or_else(|| io::Error::other("no schedstat"))?);
    }
    Ok(sum)
}

/// What was measured.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    direct: ClassStats,
    pooler: ClassStats,
    /// With 16 sessions that ask as fast as they are answered: the pooler's CPU and what was served.
    cpu: Duration,
    crowd: ClassStats,
    crowd_s: f64,
    wrong: u64,
}

impl Cost {
    /// The last line.
    #[must_use]
    pub fn line(&self) -> Value {
        let quantile = |of: &ClassStats, q| of.from_written.value_at_quantile(q);
        let cpu = self.cpu.as_secs_f64() * 1e6 / self.crowd.total().max(1) as f64;
        let (direct, pooler) = (quantile(&self.direct, 0.5), quantile(&self.pooler, 0.5));
        json!({"direct_p50_us": direct, "pooler_p50_us": pooler,
            "added_p50_us": pooler as i64 - direct as i64,
            "added_p99_us": quantile(&self.pooler, 0.99) as i64 - quantile(&self.direct, 0.99) as i64,
            "cpu_us_per_request": (cpu * 10.0).round() / 10.0,
            "requests_per_s_core": (1e6 / cpu).round(),
            "served_per_s": (self.crowd.served() as f64 / self.crowd_s).round(),
            "not_served": self.wrong})
    }

    /// Whether all was served: a cost of refusals would be none.
    #[must_use]
    pub fn all_served(&self) -> bool {
        self.wrong == 0 && self.crowd.served() > 0
    }
}

/// Measures the programs at these paths, a cost each; boxes answer at once. All take their turns within each round, so
/// that what the machine does meanwhile befalls them alike.
///
/// # Errors
///
/// When something can't be started or asked.
pub fn measure(programs: &[&Path], mut each: impl FnMut(&str)) -> Result<Vec<Cost>, CostError> {
    let (log, recorder) = (Arc::<Log>::default(), Arc::<Mutex<Recorder>>::default());
    let inside = IpAddr::V4(Ipv4Addr::new(127, 10, 0, 1));
    let boxes = (1..=3).map(|at| {
        StandInServer::start(
            &format!("s-{at}"),
            inside,
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
    let known = json!({"generation": 1, "reset": true, "instances": instances});
    let poolers = programs.iter().map(|program| Pooler::start(program, None, &known));
    let poolers = poolers.collect::<io::Result<Vec<_>>>()?;
    let mut costs = vec![Cost::default(); poolers.len()];
    for round in 0..ROUNDS {
        let direct = load(boxes[0].address, round).run()?.all();
        for (number, (pooler, cost)) in poolers.iter().zip(&mut costs).enumerate() {
            let words = cost.turn(pooler, round, &direct)?;
            each(&format!("round {round}  pooler {number}  {words}"));
        }
    }
    Ok(costs)
}

/// One session that asks as soon as it is answered.
fn load(to: SocketAddr, seed: u64) -> Load {
    Load {
        to,
        sessions: 1,
        pace: Pace::Closed,
        duration: LASTS,
        warm: WARM,
        deadline: Duration::from_secs(1),
        writes: None,
        seed,
    }
}

impl Cost {
    /// One turn of a pooler, beside what a box took directly just before.
    fn turn(&mut self, pooler: &Pooler, round: u64, direct: &ClassStats) -> Result<String, CostError> {
        let through = load(pooler.address, round).run()?.all();
        let before = cpu(pooler.id())?;
        // No time to warm: all that the CPU time went to is counted.
        let crowd = Load { sessions: 16, warm: Duration::ZERO, ..load(pooler.address, round + 100) }.run()?;
        let used = cpu(pooler.id())?.saturating_sub(before);
        self.crowd_s += crowd.counted.as_secs_f64();
        self.cpu += used;
        let crowd = crowd.all();
        for (sum, one) in
            [(&mut self.direct, direct), (&mut self.pooler, &through), (&mut self.crowd, &crowd)]
        {
            self.wrong += one.total() - one.served();
            sum.add(one);
        }
        let quantiles = |of: &ClassStats| [0.5, 0.99].map(|q| of.from_written.value_at_quantile(q));
        let ([d50, d99], [p50, p99]) = (quantiles(direct), quantiles(&through));
        let (cpu, rate) = (used.as_secs_f64() * 1e6 / crowd.total().max(1) as f64, crowd.served() as f64);
        Ok(format!(
            "direct p50 {d50:>4} p99 {d99:>5} us  through it p50 {p50:>4} p99 {p99:>5} us  {cpu:.1} us CPU a request at {:.0} a second",
            rate / LASTS.as_secs_f64()
        ))
    }
}

/// Why nothing was measured.
#[derive(Debug, thiserror::Error)]
pub enum CostError {
    /// The stand-ins or the pooler.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The load.
    #[error("{0}")]
    Load(#[from] LoadError),
}
