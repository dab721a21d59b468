//! Open-loop load generator on real sockets. The time at which a request is due does not depend on the answers to
//! earlier requests, and latency counts from that time. A target that stalls for a second therefore shows a second of
//! late answers instead of one late answer for each session (coordinated omission).

use crate::clients::{CLASSES, ClientConnection, class_from_draw, now_ms, statement};
use crate::lock;
use hdrhistogram::Histogram;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Maximum number of sessions; each has a thread and a connection.
pub const MAX_SESSIONS: usize = 2_000;
/// Maximum number of requests. Arrivals are drawn before the load begins, at 16 bytes each.
pub const MAX_REQUESTS: f64 = 8_000_000.0;
/// Maximum duration of a load.
pub const MAX_DURATION: Duration = Duration::from_secs(600);
/// Number of sets of counts that the sessions share: a histogram for each session would take gigabytes.
const SHARDS: usize = 16;
/// Sleeps end this much early and the rest is spent spinning, because a sleep may end 60 us late.
const SPIN_TIME: Duration = Duration::from_micros(80);

/// When requests are due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// Open loop, at a rate that changes linearly from the first value to the second, in requests per second. Gaps are
    /// exponentially distributed, as those of many independent clients.
    Open(f64, f64),
    /// Closed loop: each session sends a request as soon as it has an answer. Measures the target's capacity only.
    Closed,
}

/// A load to generate.
#[derive(Clone, Debug)]
pub struct Load {
    /// Address of the target.
    pub to: SocketAddr,
    /// Number of sessions, each on a connection of its own.
    pub sessions: usize,
    /// When requests are due.
    pub pace: Pace,
    /// Duration of the load, warm-up included.
    pub duration: Duration,
    /// Warm-up: requests due in this time at the beginning are not counted.
    pub warm: Duration,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Share of writes; the mix of the lab's clients if not set.
    pub writes: Option<f64>,
    /// Seed of the gaps and classes.
    pub seed: u64,
}

/// Why a load can't be generated.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A parameter is out of range.
    #[error("{0} is {1}, must be {2}")]
    Bounds(&'static str, String, String),
    /// A connection to the target failed.
    #[error("{0}: {1}")]
    Target(SocketAddr, std::io::Error),
    /// A session's thread could not be started.
    #[error("cannot start a session's thread: {0}")]
    Threads(std::io::Error),
}

/// Counts and latencies of the requests of a class. Times are in us.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// From the due time of a request to the last byte of its answer; served requests only.
    pub from_due: Histogram<u64>,
    /// From the time at which the request was written; served requests only.
    pub from_written: Histogram<u64>,
    /// Number of requests by result.
    pub answers: BTreeMap<String, u64>,
}

impl Default for ClassStats {
    fn default() -> Self {
        Self { from_due: new_histogram(), from_written: new_histogram(), answers: BTreeMap::new() }
    }
}

impl ClassStats {
    /// Adds the counts of another.
    pub fn add(&mut self, other: &Self) {
        // Both histograms have the same bounds, so adding can't fail.
        let _ = self.from_due.add(&other.from_due);
        let _ = self.from_written.add(&other.from_written);
        for (result, count) in &other.answers {
            *self.answers.entry(result.clone()).or_default() += count;
        }
    }

    /// Number of requests, whatever their result.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.answers.values().sum()
    }

    /// Number of requests served.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.answers.get("served").copied().unwrap_or(0)
    }
}

/// A latency histogram with three significant digits, meant for 1 us to 100 s; it resizes as needed.
fn new_histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are within the library's bounds");
    histogram.auto(true);
    histogram
}

/// Result of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Statistics by class, in the order of [`CLASSES`].
    pub classes: Vec<ClassStats>,
    /// Time in which requests were counted.
    pub counted: Duration,
    /// Requests due before the end for which no session was free: the target is beyond its capacity.
    pub never_sent: u64,
}

impl LoadReport {
    /// Statistics of all classes together.
    #[must_use]
    pub fn all(&self) -> ClassStats {
        self.classes.iter().fold(ClassStats::default(), |mut all, one| {
            all.add(one);
            all
        })
    }

    /// Served requests per second.
    #[must_use]
    pub fn served_per_second(&self) -> f64 {
        self.all().served() as f64 / self.counted.as_secs_f64()
    }
}

/// A request to send, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Due time, from the beginning of the load.
    pub at: Duration,
    /// Number of the request's class.
    pub class: usize,
}

impl Load {
    /// Checks the parameters.
    ///
    /// # Errors
    ///
    /// When a parameter is out of range.
    pub fn check(&self) -> std::result::Result<(), LoadError> {
        let out_of_range =
            |name, value: String, allowed: &str| Err(LoadError::Bounds(name, value, allowed.to_owned()));
        if !(1..=MAX_SESSIONS).contains(&self.sessions) {
            return out_of_range(
                "the number of sessions",
                self.sessions.to_string(),
                &format!("1 to {MAX_SESSIONS}"),
            );
        }
        if self.duration.is_zero() || self.duration > MAX_DURATION {
            return out_of_range(
                "the duration",
                format!("{:?}", self.duration),
                &format!("up to {MAX_DURATION:?}"),
            );
        }
        if self.warm >= self.duration {
            return out_of_range("the warm-up time", format!("{:?}", self.warm), "below the duration");
        }
        if self.deadline < Duration::from_millis(1) || self.deadline > Duration::from_secs(60) {
            return out_of_range("the deadline", format!("{:?}", self.deadline), "1 ms to 60 s");
        }
        if let Some(share) = self.writes.filter(|share| !(0.0..=1.0).contains(share)) {
            return out_of_range("the share of writes", share.to_string(), "0 to 1");
        }
        if let Pace::Open(from, to) = self.pace {
            for rate in [from, to] {
                if !(rate > 0.0 && rate.is_finite()) {
                    return out_of_range("the rate", rate.to_string(), "above 0");
                }
            }
            let count = f64::midpoint(from, to) * self.duration.as_secs_f64();
            if count > MAX_REQUESTS {
                return out_of_range(
                    "the number of requests",
                    count.to_string(),
                    &format!("up to {MAX_REQUESTS}"),
                );
            }
        }
        Ok(())
    }

    /// The requests and their due times, which depend on the seed only. Empty for a closed loop.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        let Pace::Open(from, to) = self.pace else { return Vec::new() };
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let duration = self.duration.as_secs_f64();
        let (mut at, mut arrivals) = (0.0, Vec::new());
        loop {
            // The rate is taken as constant within a gap.
            let rate = from + (to - from) * at / duration;
            let gap: f64 = Exp1.sample(&mut rng);
            at += gap / rate;
            if at >= duration {
                return arrivals;
            }
            arrivals.push(Arrival { at: Duration::from_secs_f64(at), class: self.class(&mut rng) });
        }
    }

    fn class(&self, rng: &mut ChaCha8Rng) -> usize {
        match self.writes {
            None => class_from_draw(rng.next_u32() % 100),
            Some(share) if f64::from(rng.next_u32()) < share * f64::from(u32::MAX) => 4,
            // Reads, in the proportions of the mix.
            Some(_) => class_from_draw(rng.next_u32() % 89),
        }
    }

    /// Generates the load.
    ///
    /// # Errors
    ///
    /// When a parameter is out of range, the target accepts no connection or a thread can't be started. The target's
    /// answers to requests are no errors.
    pub fn run(&self) -> std::result::Result<LoadReport, LoadError> {
        self.check()?;
        let arrivals = self.arrivals();
        let next = AtomicUsize::new(0);
        let mut connections = Vec::new();
        for _ in 0..self.sessions {
            let mut connection = ClientConnection::new(self.to);
            connection
                .open(Instant::now() + self.deadline)
                .map_err(|error| LoadError::Target(self.to, error))?;
            connections.push(connection);
        }
        // Part of each request id, so that ids differ from those of an earlier load on the same target.
        let run = now_ms();
        let start = Instant::now() + Duration::from_millis(20);
        let empty_shard = || Mutex::new(vec![ClassStats::default(); CLASSES.len()]);
        let shards: Vec<_> = (0..SHARDS).map(|_| empty_shard()).collect();
        std::thread::scope(|scope| {
            for (index, connection) in connections.into_iter().enumerate() {
                let session = Session { load: self, connection, name: format!("acc{index}"), run, start };
                let (arrivals, next, shard) = (&arrivals, &next, &shards[index % SHARDS]);
                let builder = std::thread::Builder::new().stack_size(256 * 1024);
                builder.spawn_scoped(scope, move || session.run(index, arrivals, next, shard))?;
            }
            Ok(())
        })
        .map_err(LoadError::Threads)?;
        let mut classes = vec![ClassStats::default(); CLASSES.len()];
        for shard in &shards {
            classes.iter_mut().zip(lock(shard).iter()).for_each(|(sum, one)| sum.add(one));
        }
        let never_sent = arrivals.len().saturating_sub(next.load(Ordering::SeqCst));
        Ok(LoadReport {
            classes,
            counted: self.duration.saturating_sub(self.warm),
            never_sent: never_sent as u64,
        })
    }
}

/// Waits until `at`, with a precision of a few us.
fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()).saturating_sub(SPIN_TIME));
    while Instant::now() < at {
        std::hint::spin_loop();
    }
}

/// One session, with its connection.
struct Session<'a> {
    load: &'a Load,
    connection: ClientConnection,
    name: String,
    run: i64,
    start: Instant,
}

impl Session<'_> {
    fn run(
        mut self,
        number: usize,
        arrivals: &[Arrival],
        next: &AtomicUsize,
        counts: &Mutex<Vec<ClassStats>>,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.load.seed ^ (number as u64 + 1));
        let (warm, end) = (self.start + self.load.warm, self.start + self.load.duration);
        sleep_until(self.start);
        for request_number in 0.. {
            let (at, class) = match self.load.pace {
                Pace::Closed => (Instant::now(), self.load.class(&mut rng)),
                Pace::Open(..) => {
                    // Requests left over at the end are counted as never sent.
                    if Instant::now() >= end {
                        break;
                    }
                    let Some(arrival) = arrivals.get(next.fetch_add(1, Ordering::SeqCst)) else { break };
                    (self.start + arrival.at, arrival.class)
                }
            };
            sleep_until(at);
            let written = Instant::now();
            if written >= end && self.load.pace == Pace::Closed {
                break;
            }
            let result = self.request(class, request_number, written);
            let done = Instant::now();
            if at >= warm {
                let stats = &mut lock(counts)[class];
                if result == "served" {
                    // The histograms resize automatically, so recording can't fail.
                    let _ = stats
                        .from_due
                        .record(us(done - at))
                        .and_then(|()| stats.from_written.record(us(done - written)));
                }
                *stats.answers.entry(result).or_default() += 1;
            }
        }
    }

    fn request(&mut self, class: usize, request_number: u64, now: Instant) -> String {
        let id = format!("{}x{}x{request_number}", self.name, self.run);
        let deadline = self.load.deadline;
        let text = statement(class, &self.name, &id, deadline);
        match self.connection.exchange(&text, now + deadline) {
            Ok((result, value)) if result == "served" => {
                let matches_id = value.is_some_and(|value| value.split(' ').next() == Some(id.as_str()));
                if !matches_id {
                    return "another's answer".into();
                }
                if now.elapsed() > deadline { "late".into() } else { result }
            }
            Ok((result, _)) => result,
            Err(error) => {
                self.connection.close();
                if error.kind() == std::io::ErrorKind::WouldBlock {
                    "unanswered".into()
                } else {
                    "broken".into()
                }
            }
        }
    }
}

fn us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
