//! Load on real sockets, open-loop: when a request is due does not depend on how the ones before it went, and its
//! time counts from when it was due. A target that stands still for a second so shows a second of late answers,
//! and not one late answer for each session (what the literature calls coordinated omission).

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

/// Each session has a thread and a connection.
pub const MOST_SESSIONS: usize = 2_000;
/// Arrivals are drawn before the load begins, at 16 bytes each.
pub const MOST_REQUESTS: f64 = 8_000_000.0;
/// No load duration longer.
pub const LONGEST: Duration = Duration::from_secs(600);
/// Sessions share their counts with some others: a histogram of its own for each would take gigabytes.
const SHARDS: usize = 16;
/// Sleeping ends this much early, and the rest is waited for by looking: a sleep may end 60 us late.
const LOOK: Duration = Duration::from_micros(80);

/// When requests are due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// At a rate that goes evenly from the first to the second, in requests a second; gaps are random as those of
    /// many clients that don't know of each other.
    Open(f64, f64),
    /// Each session asks as soon as it has its answer. Only good for what a target can do at most.
    Closed,
}

/// A load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Where to.
    pub to: SocketAddr,
    /// How many sessions ask, each on a connection of its own.
    pub sessions: usize,
    /// When.
    pub pace: Pace,
    /// How long.
    pub duration: Duration,
    /// What is asked in this time at the beginning is not counted.
    pub warm: Duration,
    /// How long a request waits for its answer.
    pub deadline: Duration,
    /// The part of writes; the mix of the lab's clients without it.
    pub writes: Option<f64>,
    /// For gaps and classes.
    pub seed: u64,
}

/// Why a load can't be played.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// Too much of something, or too little.
    #[error("{0} is {1}, and has to be {2}")]
    Bounds(&'static str, String, String),
    /// The target could not be reached at all.
    #[error("{0}: {1}")]
    Target(SocketAddr, std::io::Error),
    /// There is no room for a thread for each session.
    #[error("a session has no thread: {0}")]
    Threads(std::io::Error),
}

/// What came of the requests of a class. Times are in us.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// From when it was due to the answer's last byte, served only.
    pub from_due: Histogram<u64>,
    /// From when it was written.
    pub from_written: Histogram<u64>,
    /// How each was answered.
    pub answers: BTreeMap<String, u64>,
}

impl Default for ClassStats {
    fn default() -> Self {
        Self { from_due: times(), from_written: times(), answers: BTreeMap::new() }
    }
}

impl ClassStats {
    /// Adds another's counts.
    pub fn add(&mut self, other: &Self) {
        // Both have the same bounds: adding can't fail.
        let _ = self.from_due.add(&other.from_due);
        let _ = self.from_written.add(&other.from_written);
        for (how, count) in &other.answers {
            *self.answers.entry(how.clone()).or_default() += count;
        }
    }

    /// How many were answered, in whatever way, or not.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.answers.values().sum()
    }

    /// How many were served.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.answers.get("served").copied().unwrap_or(0)
    }
}

/// From 1 us to 100 s, to three digits.
fn times() -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("three digits are within the library's bounds");
    times.auto(true);
    times
}

/// What came of a load.
#[derive(Clone, Debug, Default)]
pub struct Result {
    /// By class, as [`CLASSES`] has them.
    pub classes: Vec<ClassStats>,
    /// How long requests were counted.
    pub counted: Duration,
    /// Requests that were due before the end and that no session was free for: the target is beyond what it can do.
    pub never_sent: u64,
}

impl Result {
    /// All classes in one.
    #[must_use]
    pub fn all(&self) -> ClassStats {
        self.classes.iter().fold(ClassStats::default(), |mut all, one| {
            all.add(one);
            all
        })
    }

    /// Served a second.
    #[must_use]
    pub fn served_per_second(&self) -> f64 {
        self.all().served() as f64 / self.counted.as_secs_f64()
    }
}

/// An arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// From the beginning.
    pub at: Duration,
    /// The number of its class.
    pub class: usize,
}

impl Load {
    /// Whether it can be played.
    ///
    /// # Errors
    ///
    /// When it would be too much, or nothing.
    pub fn check(&self) -> std::result::Result<(), LoadError> {
        let wrong = |what, is: String, not: &str| Err(LoadError::Bounds(what, is, not.to_owned()));
        if !(1..=MOST_SESSIONS).contains(&self.sessions) {
            return wrong(
                "the number of sessions",
                self.sessions.to_string(),
                &format!("1 to {MOST_SESSIONS}"),
            );
        }
        if self.duration.is_zero() || self.duration > LONGEST {
            return wrong("the time", format!("{:?}", self.duration), &format!("up to {LONGEST:?}"));
        }
        if self.warm >= self.duration {
            return wrong("the time to warm", format!("{:?}", self.warm), "below the whole time");
        }
        if self.deadline < Duration::from_millis(1) || self.deadline > Duration::from_secs(60) {
            return wrong("the deadline", format!("{:?}", self.deadline), "1 ms to 60 s");
        }
        if let Some(part) = self.writes.filter(|part| !(0.0..=1.0).contains(part)) {
            return wrong("the part of writes", part.to_string(), "0 to 1");
        }
        if let Pace::Open(from, to) = self.pace {
            for rate in [from, to] {
                if !(rate > 0.0 && rate.is_finite()) {
                    return wrong("the rate", rate.to_string(), "above 0");
                }
            }
            let count = f64::midpoint(from, to) * self.duration.as_secs_f64();
            if count > MOST_REQUESTS {
                return wrong("the number of requests", count.to_string(), &format!("up to {MOST_REQUESTS}"));
            }
        }
        Ok(())
    }

    /// When requests of which class are due: the same for the same seed. Empty without a rate.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        let Pace::Open(from, to) = self.pace else { return Vec::new() };
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let duration = self.duration.as_secs_f64();
        let (mut at, mut due) = (0.0, Vec::new());
        loop {
            // The rate hardly changes within a gap.
            let rate = from + (to - from) * at / duration;
            let gap: f64 = Exp1.sample(&mut rng);
            at += gap / rate;
            if at >= duration {
                return due;
            }
            due.push(Arrival { at: Duration::from_secs_f64(at), class: self.class(&mut rng) });
        }
    }

    fn class(&self, rng: &mut ChaCha8Rng) -> usize {
        match self.writes {
            None => class_from_draw(rng.next_u32() % 100),
            Some(part) if f64::from(rng.next_u32()) < part * f64::from(u32::MAX) => 4,
            // Reads in the proportions of the mix.
            Some(_) => class_from_draw(rng.next_u32() % 89),
        }
    }

    /// Plays it.
    ///
    /// # Errors
    ///
    /// When it can't be played, or the target takes no connection. What a target does with requests is no error.
    pub fn run(&self) -> std::result::Result<Result, LoadError> {
        self.check()?;
        let due = self.arrivals();
        let next = AtomicUsize::new(0);
        let mut wires = Vec::new();
        for _ in 0..self.sessions {
            let mut wire = ClientConnection::new(self.to);
            wire.open(Instant::now() + self.deadline).map_err(|error| LoadError::Target(self.to, error))?;
            wires.push(wire);
        }
        // Ids differ from those of an earlier load on the same target.
        let run = now_ms();
        let began = Instant::now() + Duration::from_millis(20);
        let none = || Mutex::new(vec![ClassStats::default(); CLASSES.len()]);
        let shards: Vec<_> = (0..SHARDS).map(|_| none()).collect();
        std::thread::scope(|scope| {
            for (at, wire) in wires.into_iter().enumerate() {
                let session = Session { load: self, wire, name: format!("acc{at}"), run, began };
                let (due, next, shard) = (&due, &next, &shards[at % SHARDS]);
                let builder = std::thread::Builder::new().stack_size(256 * 1024);
                builder.spawn_scoped(scope, move || session.run(at, due, next, shard))?;
            }
            Ok(())
        })
        .map_err(LoadError::Threads)?;
        let mut classes = vec![ClassStats::default(); CLASSES.len()];
        for shard in &shards {
            classes.iter_mut().zip(lock(shard).iter()).for_each(|(sum, one)| sum.add(one));
        }
        let left = due.len().saturating_sub(next.load(Ordering::SeqCst));
        Ok(Result { classes, counted: self.duration.saturating_sub(self.warm), never_sent: left as u64 })
    }
}

/// Waits until `at`, to within a few us.
fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()).saturating_sub(LOOK));
    while Instant::now() < at {
        std::hint::spin_loop();
    }
}

struct Session<'a> {
    load: &'a Load,
    wire: ClientConnection,
    name: String,
    run: i64,
    began: Instant,
}

impl Session<'_> {
    fn run(mut self, number: usize, due: &[Arrival], next: &AtomicUsize, counts: &Mutex<Vec<ClassStats>>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.load.seed ^ (number as u64 + 1));
        let (warm, end) = (self.began + self.load.warm, self.began + self.load.duration);
        sleep_until(self.began);
        for asked in 0.. {
            let (at, class) = match self.load.pace {
                Pace::Closed => (Instant::now(), self.load.class(&mut rng)),
                Pace::Open(..) => {
                    // What no session was free for before the end is left to be counted as never sent.
                    if Instant::now() >= end {
                        break;
                    }
                    let Some(one) = due.get(next.fetch_add(1, Ordering::SeqCst)) else { break };
                    (self.began + one.at, one.class)
                }
            };
            sleep_until(at);
            let written = Instant::now();
            if written >= end && self.load.pace == Pace::Closed {
                break;
            }
            let how = self.ask(class, asked, written);
            let done = Instant::now();
            if at >= warm {
                let of = &mut lock(counts)[class];
                if how == "served" {
                    // They grow with what they are given: recording can't fail.
                    let _ = of
                        .from_due
                        .record(us(done - at))
                        .and_then(|()| of.from_written.record(us(done - written)));
                }
                *of.answers.entry(how).or_default() += 1;
            }
        }
    }

    fn ask(&mut self, class: usize, asked: u64, now: Instant) -> String {
        let id = format!("{}x{}x{asked}", self.name, self.run);
        let deadline = self.load.deadline;
        let asked = statement(class, &self.name, &id, deadline);
        match self.wire.exchange(&asked, now + deadline) {
            Ok((how, value)) if how == "served" => {
                let own = value.is_some_and(|value| value.split(' ').next() == Some(id.as_str()));
                if !own {
                    return "another's answer".into();
                }
                if now.elapsed() > deadline { "late".into() } else { how }
            }
            Ok((how, _)) => how,
            Err(error) => {
                self.wire.close();
                if error.kind() == std::io::ErrorKind::WouldBlock {
                    "unanswered".into()
                } else {
                    "broken".into()
                }
            }
        }
    }
}

fn us(of: Duration) -> u64 {
    u64::try_from(of.as_micros()).unwrap_or(u64::MAX)
}
