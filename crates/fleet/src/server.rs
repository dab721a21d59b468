//! A box: cores that run what came first, a waiting room, a cold start, pauses, and the fall of one that is sent too much while
//! it is cold. Time is handed in.

use linnetdeal_core::{Span, Time};
use std::collections::VecDeque;

/// What a box is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerConfig {
    /// How much runs at once.
    pub cores: usize,
    /// Of a core, as a multiple of the standard.
    pub speed: f64,
    /// How much may wait.
    pub queue_limit: usize,
    /// How much longer work takes when the room is full, as a part of itself.
    pub queue_slowdown: f64,
    /// Beyond so many held for each core work takes longer, by this part of itself from twice as many on.
    pub thrash: (f64, f64),
    /// The share of its capacity that it starts with, and when it has all.
    pub cold: (f64, Span),
    /// Cold, it falls when it is sent more than this multiple of its capacity for so long.
    pub fall: (f64, Span),
}

/// Work that a box is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Its number, for its sender.
    pub id: u64,
    /// On a standard core.
    pub work: Span,
}

/// How a box lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It works.
    Up,
    /// It stands still, since then; connections stay open.
    Paused(Time),
    /// Its process is gone.
    Dead,
    /// It was sent too much while it was cold, and stays down.
    Collapsed,
}

/// What becomes of what is sent to a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs, until then.
    Started(Time),
    /// It waits its turn.
    Queued,
    /// The room is full, or the box drains: it never runs.
    Rejected,
    /// Nobody is there.
    Down,
    /// The box has fallen by it; all that it held is lost, and is told by [`Server::die`].
    Collapsed,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    ends_at: Time,
}

/// A box.
#[derive(Clone, Debug)]
pub struct Server {
    config: ServerConfig,
    state: ServerState,
    /// Nothing new is taken.
    pub draining: bool,
    started: Option<Time>,
    /// How much slower than usual new work runs.
    pub slowdown: f64,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    /// Work of probes and handshakes that is done by what runs next.
    overhead: Span,
    /// What came in the last while of a cold start: when, and how much work.
    recent_arrivals: VecDeque<(Time, f64)>,
    recent_work: f64,
}

impl Server {
    /// A warm box.
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

    /// How it lives.
    #[must_use]
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// When it last started, if that was not long ago.
    #[must_use]
    pub fn started(&self) -> Option<Time> {
        self.started
    }

    /// The part of its capacity that it has.
    #[must_use]
    pub fn warmth(&self, now: Time) -> f64 {
        let (share, warm_up) = self.config.cold;
        let Some(started) = self.started else { return 1.0 };
        (share + (1.0 - share) * (now - started).0 as f64 / warm_up.0.max(1) as f64).clamp(share, 1.0)
    }

    /// Work on standard cores that it can do in a microsecond, now.
    #[must_use]
    pub fn capacity(&self, now: Time) -> f64 {
        self.config.cores as f64 * self.config.speed * self.warmth(now)
    }

    /// How much it holds.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// How much of that waits.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Work beside requests, as of a probe or a handshake: what runs next takes so much longer.
    pub fn add_overhead(&mut self, work: Span) {
        self.overhead = Span(self.overhead.0.saturating_add(work.0));
    }

    /// Work arrives.
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

    /// Counts what a cold box is sent, what it turns away included.
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

    /// The work of this number is through, if it is now that it ends. Gives what runs in its place, and until when.
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

    /// It stands still.
    pub fn pause(&mut self, now: Time) {
        if self.state == ServerState::Up {
            self.state = ServerState::Paused(now);
        }
    }

    /// It goes on; gives what runs now, and until when.
    pub fn resume(&mut self, now: Time) -> Vec<(u64, Time)> {
        let ServerState::Paused(since) = self.state else { return Vec::new() };
        self.state = ServerState::Up;
        for job in &mut self.running {
            job.ends_at = job.ends_at + (now - since);
        }
        while self.running.len() < self.config.cores && self.next(now).is_some() {}
        self.running.iter().map(|job| (job.id, job.ends_at)).collect()
    }

    /// Its process ends; gives what it held.
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

    /// It starts anew, cold; one that has fallen stays down.
    pub fn start(&mut self, now: Time) -> bool {
        if self.state != ServerState::Dead {
            return false;
        }
        (self.state, self.started, self.draining, self.overhead) =
            (ServerState::Up, Some(now), false, Span(0));
        true
    }
}
