//! The model of a server ("box"): cores that run jobs in the order of arrival, a queue, a cold start, pauses, and
//! the collapse of a cold server that is sent too much. The caller passes the current time in.

use linnetdeal_core::{Span, Time};
use std::collections::VecDeque;

/// The properties of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerConfig {
    /// The number of jobs that run at the same time.
    pub cores: usize,
    /// The speed of a core, as a multiple of the standard.
    pub speed: f64,
    /// The number of jobs that may wait.
    pub queue_limit: usize,
    /// How much longer work takes when the queue is full, as a share of its usual time.
    pub queue_slowdown: f64,
    /// Above the first value of jobs for each core, work takes longer, by up to the second as a share, reached at
    /// twice as many jobs.
    pub thrash: (f64, f64),
    /// The share of its capacity that the server has at its start, and the time after which it has all of it.
    pub cold: (f64, Span),
    /// When cold it collapses if it is sent more than this multiple of its capacity for this long.
    pub fall: (f64, Span),
}

/// A piece of work for a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Its number, chosen by the sender.
    pub id: u64,
    /// The work, as the time on a standard core.
    pub work: Span,
}

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It works.
    Up,
    /// Paused since then; connections stay open.
    Paused(Time),
    /// The process has ended.
    Dead,
    /// It was sent too much while it was cold, and stays down.
    Collapsed,
}

/// The result of sending a job to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job runs, until this time.
    Started(Time),
    /// The job waits.
    Queued,
    /// The queue is full or the server drains: the job never runs.
    Rejected,
    /// The server is down.
    Down,
    /// The server collapses; all its jobs are lost, and [`Server::die`] returns them.
    Collapsed,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    ends_at: Time,
}

/// A server.
#[derive(Clone, Debug)]
pub struct Server {
    config: ServerConfig,
    state: ServerState,
    /// Whether it accepts no new jobs.
    pub draining: bool,
    started: Option<Time>,
    /// How many times as long as usual new jobs take.
    pub slowdown: f64,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    /// Work of probes and handshakes that delays the next job.
    overhead: Span,
    /// Time and work of what was received during the latest window of a cold start.
    recent_arrivals: VecDeque<(Time, f64)>,
    recent_work: f64,
}

impl Server {
    /// A warm server.
    #[must_use]
    pub fn new(config: ServerConfig) -> Self {
        Self {
            config,
            state: ServerState::Up,
            draining: false,
            started: None,
            slowdown: 1.0,
            running: Vec::with_capacity(config.cores),
            waiting: VecDeque::new(),
            overhead: Span(0),
            recent_arrivals: VecDeque::new(),
            recent_work: 0.0,
        }
    }

    /// Its state.
    #[must_use]
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// When it last started, if that was not long ago.
    #[must_use]
    pub fn started(&self) -> Option<Time> {
        self.started
    }

    /// The share of its capacity that is available.
    #[must_use]
    pub fn warmth(&self, now: Time) -> f64 {
        let (share, warm_up) = self.config.cold;
        let Some(started) = self.started else { return 1.0 };
        (share + (1.0 - share) * (now - started).0 as f64 / warm_up.0.max(1) as f64).clamp(share, 1.0)
    }

    /// Its capacity now, as work on standard cores per microsecond.
    #[must_use]
    pub fn capacity(&self, now: Time) -> f64 {
        self.config.cores as f64 * self.config.speed * self.warmth(now)
    }

    /// Number of jobs that run or wait.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Number of jobs that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Adds work that is not a request, such as a probe or a handshake; it delays the next job to start.
    pub fn add_overhead(&mut self, work: Span) {
        self.overhead = Span(self.overhead.0.saturating_add(work.0));
    }

    /// Accepts or rejects a job.
    pub fn admit(&mut self, now: Time, job: Job) -> Admission {
        if matches!(self.state, ServerState::Dead | ServerState::Collapsed) {
            return Admission::Down;
        }
        if self.is_overloaded_cold(now, job.work) {
            self.state = ServerState::Collapsed;
            return Admission::Collapsed;
        }
        if self.draining || self.waiting.len() >= self.config.queue_limit {
            return Admission::Rejected;
        }
        if self.running.len() < self.config.cores && self.state == ServerState::Up {
            return Admission::Started(self.run(now, job));
        }
        self.waiting.push_back(job);
        Admission::Queued
    }

    fn run(&mut self, now: Time, job: Job) -> Time {
        let queue_factor = 1.0
            + self.config.queue_slowdown * self.waiting.len() as f64 / self.config.queue_limit.max(1) as f64;
        let (threshold, max_slowdown) = self.config.thrash;
        let thrash_factor = 1.0
            + max_slowdown
                * (self.jobs() as f64 / self.config.cores as f64 / threshold - 1.0).clamp(0.0, 1.0);
        let work = Span(job.work.0 + std::mem::take(&mut self.overhead).0);
        let duration =
            work.times(self.slowdown * queue_factor * thrash_factor / (self.config.speed * self.warmth(now)));
        let ends_at = now + duration.max(Span(1));
        self.running.push(Running { id: job.id, ends_at });
        ends_at
    }

    /// Counts the work that a cold server receives, rejected work included. Returns whether it is too much.
    fn is_overloaded_cold(&mut self, now: Time, work: Span) -> bool {
        let (multiple, window) = self.config.fall;
        if self.warmth(now) >= 1.0 {
            self.recent_arrivals.clear();
            self.recent_work = 0.0;
            return false;
        }
        self.recent_arrivals.push_back((now, work.0 as f64));
        self.recent_work += work.0 as f64;
        while let Some((_, work)) = self.recent_arrivals.front().copied().filter(|(at, _)| now - *at > window)
        {
            self.recent_work -= work;
            self.recent_arrivals.pop_front();
        }
        let window_start = self.recent_arrivals.front().map_or(now, |(at, _)| *at);
        let mean_capacity = (self.capacity(window_start) + self.capacity(now)) / 2.0;
        self.recent_work > multiple * mean_capacity * window.0 as f64
    }

    /// Completes the job of this number, if it is due. Returns the job that starts in its place, with the time of
    /// its end.
    pub fn complete(&mut self, now: Time, id: u64) -> Option<Option<(u64, Time)>> {
        if self.state != ServerState::Up {
            return None;
        }
        let index = self.running.iter().position(|job| job.id == id && job.ends_at <= now)?;
        self.running.swap_remove(index);
        Some(self.next(now))
    }

    fn next(&mut self, now: Time) -> Option<(u64, Time)> {
        let job = self.waiting.pop_front()?;
        Some((job.id, self.run(now, job)))
    }

    /// Pauses the server.
    pub fn pause(&mut self, now: Time) {
        if self.state == ServerState::Up {
            self.state = ServerState::Paused(now);
        }
    }

    /// Resumes the server. Returns the jobs that run now, with the times of their end.
    pub fn resume(&mut self, now: Time) -> Vec<(u64, Time)> {
        let ServerState::Paused(since) = self.state else { return Vec::new() };
        self.state = ServerState::Up;
        for job in &mut self.running {
            job.ends_at = job.ends_at + (now - since);
        }
        while self.running.len() < self.config.cores && self.next(now).is_some() {}
        self.running.iter().map(|job| (job.id, job.ends_at)).collect()
    }

    /// Ends the process. Returns the jobs that are lost.
    pub fn die(&mut self) -> Vec<u64> {
        if self.state != ServerState::Collapsed {
            self.state = ServerState::Dead;
        }
        self.take_jobs()
    }

    fn take_jobs(&mut self) -> Vec<u64> {
        let running = std::mem::take(&mut self.running).into_iter().map(|job| job.id);
        running.chain(std::mem::take(&mut self.waiting).into_iter().map(|job| job.id)).collect()
    }

    /// Starts the process, cold. Returns whether it did: a server that has collapsed stays down.
    pub fn start(&mut self, now: Time) -> bool {
        if self.state != ServerState::Dead {
            return false;
        }
        (self.state, self.started, self.draining, self.overhead) =
            (ServerState::Up, Some(now), false, Span(0));
        true
    }
}
