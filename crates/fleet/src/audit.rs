//! Checks a run against the rules, by its records alone and without any of the pooler's own code.

use crate::record::{Record, RecordKind, Sink};
use linnetdeal_core::{Span, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What the rules require of a class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassRules {
    /// A request must not run twice.
    pub run_once: bool,
    /// Requests are writes.
    pub write: bool,
    /// How current a read's data must be.
    pub freshness: Freshness,
    /// How long a client waits, over all its tries.
    pub deadline: Span,
}

/// How current a read's data must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// No requirement.
    Any,
    /// No older than this when the read was sent.
    Bounded(Span),
    /// Everything that its session wrote and that this router knows of.
    Session,
    /// Everything that was committed and answered before the read was requested.
    All,
}

/// The parameters of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// By class.
    pub classes: Vec<ClassRules>,
    /// A box receives nothing new later than this after the router received its drain.
    pub drain_grace: Span,
    /// How long after the deadline an answer may come.
    pub answer_slack: Span,
    /// The share of its capacity that a box has at its start, and the time after which it has all of it.
    pub cold: (f64, Span),
    /// A cold box must not be sent more than this multiple of its capacity for that long.
    pub fall: (f64, Span),
    /// Whether a request that may run twice may have two attempts in flight.
    pub second_copies: bool,
    /// Whether clients say when their sessions last wrote; otherwise a session's read must only see the commits that
    /// its router was told of.
    pub tokens_carried: bool,
    /// Where the list has to be polled: a router without a watch that has not polled it for this long, or for four
    /// times as long after a failed call, is expected to know what was published that long before.
    pub poll_interval: Option<Span>,
    /// The checks that need the full records.
    pub full: Option<FullRules>,
}

/// Limits for the checks of clients' tries and of jobs in boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullRules {
    /// Tries of a client after the first.
    pub retries: u32,
    /// How many jobs a box runs at once, in the order of their arrival.
    pub cores: usize,
    /// The speed of the fastest box's cores.
    pub max_core_speed: f64,
}

/// A rule. The names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request has one final answer, in time.
    Answered,
    /// What must not run twice ran at most once, and not at all if it was refused.
    Once,
    /// A request has one attempt in flight at a time, or two where second copies are allowed.
    OneOut,
    /// A box that drains is sent nothing new.
    Drain,
    /// No cold box is overloaded.
    Cold,
    /// No read is stale.
    Stale,
    /// A write that was served has run.
    Honest,
    /// A client's tries follow one another, and keep to the number of retries and to the deadline of the first.
    Tries,
    /// A box works through all that it took, in order and no faster than it can, whether or not anybody still waits
    /// for it.
    Works,
    /// The run's own count of first tries equals that of the records.
    Counted,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    router: u32,
    class: usize,
    group: u32,
    session: i64,
    requested_at: Time,
    deadline: Time,
    last_sent: Time,
    in_flight: u32,
    executions: u32,
    /// The position that the answer to a session read or a fresh read must have reached.
    min_position: Time,
}

/// The work that a cold box received within the latest window.
#[derive(Clone, Debug)]
struct ColdBox {
    started: Time,
    capacity: f64,
    arrivals: VecDeque<(Time, f64)>,
    arrived_work: f64,
}

/// A client's latest try.
#[derive(Clone, Copy, Debug)]
struct ClientTries {
    last_try: i64,
    last_request: u64,
    /// When the client must have its answer.
    deadline: Time,
}

/// A job that a box holds.
#[derive(Clone, Copy, Debug)]
struct Job {
    request: u64,
    attempt: i64,
    work: f64,
    /// When it was first among the oldest jobs, as many as the box has cores.
    started: Option<Time>,
}

/// A router's watch of a list that is polled.
#[derive(Clone, Copy, Debug)]
struct ListWatch {
    open: bool,
    last_call: Time,
    failed: bool,
}

/// Checks records as they come in and counts violations.
pub struct Auditor {
    rules: Rules,
    open_requests: HashMap<u64, OpenRequest>,
    /// Requests with a final answer, kept for as long as attempts may still end: whether they must not run any
    /// more, and when they were answered.
    ended: HashMap<u64, (bool, Time)>,
    known_drains: HashMap<(u32, u32), Time>,
    session_commits: HashMap<(u32, i64), Time>,
    group_commits: HashMap<u32, Time>,
    cold_boxes: BTreeMap<u32, ColdBox>,
    clients: HashMap<i64, ClientTries>,
    /// The request, client and number of a try whose request is recorded next.
    announced_try: Option<(u64, i64, i64)>,
    jobs: HashMap<u32, VecDeque<Job>>,
    watches: HashMap<u32, ListWatch>,
    /// Since when the published list has a box out of service.
    unavailable_since: HashMap<u32, Time>,
    first_tries: u64,
    violations: BTreeMap<Rule, u64>,
    first_violation: Option<(Rule, Record)>,
    cold_peak: f64,
    requests: u64,
    last_expiry: Time,
}

/// Stands for the router where clients carry their sessions' last commits.
const ANY_ROUTER: u32 = u32::MAX;
/// After a failed call a router may wait this many times as long before the next.
const FAILED_CALL_FACTOR: f64 = 4.0;
/// Allowance in µs, as jobs end at whole microseconds.
const ROUNDING_US: f64 = 4.0;
/// Answered requests are kept for this long, which is longer than any attempt lasts.
const ENDED_RETENTION: Span = Span::millis(20_000);

impl Auditor {
    /// An auditor that applies these rules.
    #[must_use]
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            open_requests: HashMap::new(),
            ended: HashMap::new(),
            known_drains: HashMap::new(),
            session_commits: HashMap::new(),
            group_commits: HashMap::new(),
            cold_boxes: BTreeMap::new(),
            clients: HashMap::new(),
            announced_try: None,
            jobs: HashMap::new(),
            watches: HashMap::new(),
            unavailable_since: HashMap::new(),
            first_tries: 0,
            violations: BTreeMap::new(),
            first_violation: None,
            cold_peak: 0.0,
            requests: 0,
            last_expiry: Time(0),
        }
    }

    /// Ends the audit: counts requests that are past their deadline without an answer, and returns the report.
    #[must_use]
    pub fn finish(mut self, end: Time) -> AuditReport {
        let unanswered =
            self.open_requests.values().filter(|open| open.deadline + self.rules.answer_slack < end).count()
                as u64;
        if unanswered > 0 {
            *self.violations.entry(Rule::Answered).or_default() += unanswered;
        }
        let (requests, first_tries) = (self.requests, self.first_tries);
        AuditReport {
            requests,
            first_tries,
            violations: self.violations,
            first_violation: self.first_violation,
            cold_peak: self.cold_peak,
        }
    }

    fn record_violation(&mut self, rule: Rule, record: &Record) {
        *self.violations.entry(rule).or_default() += 1;
        self.first_violation.get_or_insert((rule, *record));
    }

    fn check_answer(&mut self, record: &Record) {
        let Some(open) = self.open_requests.remove(&record.request) else {
            self.record_violation(Rule::Answered, record);
            return;
        };
        let class = self.rules.classes[open.class];
        if record.at > open.deadline + self.rules.answer_slack {
            self.record_violation(Rule::Answered, record);
        }
        let refused = record.what == RecordKind::Refused;
        if refused && class.run_once && (open.executions > 0 || open.in_flight > 0) {
            self.record_violation(Rule::Once, record);
        }
        if record.what == RecordKind::Served {
            let position = Time(record.x);
            if class.write {
                if open.executions == 0 {
                    self.record_violation(Rule::Honest, record);
                }
                let writer = if self.rules.tokens_carried { ANY_ROUTER } else { open.router };
                let token = self.session_commits.entry((writer, open.session)).or_insert(position);
                *token = position.max(*token);
                let commit = self.group_commits.entry(open.group).or_insert(position);
                *commit = position.max(*commit);
            } else {
                let min_position = match class.freshness {
                    Freshness::Any => Time(i64::MIN),
                    Freshness::Bounded(bound) => open.last_sent - bound,
                    Freshness::Session | Freshness::All => open.min_position,
                };
                if position < min_position {
                    self.record_violation(Rule::Stale, record);
                }
            }
        }
        self.ended.insert(record.request, (refused && class.run_once, record.at));
    }

    fn expire(&mut self, now: Time) {
        if now - self.last_expiry > ENDED_RETENTION {
            self.last_expiry = now;
            self.ended.retain(|_, (_, at)| now - *at < ENDED_RETENTION);
            self.clients.retain(|_, client| now - client.deadline < ENDED_RETENTION);
        }
    }

    /// Checks a try: it is the first of an unknown client, or the next of a client whose latest try was answered.
    fn check_try(&mut self, record: &Record, class: usize) {
        let (Some(full), Some((request, client, number))) = (self.rules.full, self.announced_try.take())
        else {
            return;
        };
        let deadline = record.at + self.rules.classes[class].deadline;
        let wrong = match self.clients.get(&client).copied() {
            _ if request != record.request || number > i64::from(full.retries) => true,
            None => number != 0 || Time(record.x) > deadline,
            Some(before) => {
                number != before.last_try + 1
                    || self.open_requests.contains_key(&before.last_request)
                    || Time(record.x) > before.deadline
            }
        };
        self.first_tries += u64::from(number == 0);
        let deadline = self.clients.get(&client).map_or(deadline, |before| before.deadline);
        self.clients.insert(client, ClientTries { last_try: number, last_request: request, deadline });
        if wrong {
            self.record_violation(Rule::Tries, record);
        }
    }

    /// Checks the acceptance or the end of a job. A box works on as many of its oldest jobs as it has cores.
    fn check_job(&mut self, record: &Record) {
        let Some(full) = self.rules.full else { return };
        let jobs = self.jobs.entry(record.b).or_default();
        if record.what == RecordKind::Took {
            let (request, attempt, work) = (record.request, record.y, record.x as f64);
            jobs.push_back(Job { request, attempt, work, started: None });
        } else {
            let matches = |job: &Job| (job.request, job.attempt) == (record.request, record.y);
            let job = jobs.iter().position(matches).and_then(|index| jobs.remove(index));
            let min_duration = |job: &Job| job.work / full.max_core_speed - ROUNDING_US;
            let valid = job.is_some_and(|job| {
                record.what == RecordKind::Lost
                    || job.started.is_some_and(|started| (record.at - started).0 as f64 >= min_duration(&job))
            });
            if !valid {
                self.record_violation(Rule::Works, record);
            }
        }
        for job in self.jobs.entry(record.b).or_default().iter_mut().take(full.cores) {
            job.started.get_or_insert(record.at);
        }
    }

    /// Whether a router is expected to know that a box is out of service, as it could have polled the list long
    /// enough ago.
    fn should_know_of_drain(&self, record: &Record) -> bool {
        let Some(poll_interval) = self.rules.poll_interval else { return false };
        let watch = self.watches.get(&record.a).copied();
        let watch = watch.unwrap_or(ListWatch { open: false, last_call: Time(0), failed: false });
        let max_age = if watch.failed { poll_interval.times(FAILED_CALL_FACTOR) } else { poll_interval };
        let since = self.unavailable_since.get(&record.b).copied();
        !watch.open
            && record.at - watch.last_call > max_age
            && since.is_some_and(|since| record.at - since > Span(max_age.0 + self.rules.drain_grace.0))
    }

    /// Checks the work that a box, if it is cold, received within the window.
    fn check_cold_load(&mut self, record: &Record) {
        let (share, warm_up) = self.rules.cold;
        let (multiple, window) = self.rules.fall;
        let Some(cold) = self.cold_boxes.get_mut(&record.b) else { return };
        let warmth = |at: Time| {
            (share + (1.0 - share) * (at - cold.started).0 as f64 / warm_up.0.max(1) as f64).clamp(share, 1.0)
        };
        if warmth(record.at) >= 1.0 {
            self.cold_boxes.remove(&record.b);
            return;
        }
        cold.arrivals.push_back((record.at, record.x as f64));
        cold.arrived_work += record.x as f64;
        while let Some((_, work)) = cold.arrivals.front().copied().filter(|(at, _)| record.at - *at > window)
        {
            cold.arrived_work -= work;
            cold.arrivals.pop_front();
        }
        let window_start = cold.arrivals.front().map_or(record.at, |(at, _)| *at);
        let budget = multiple * cold.capacity * (warmth(window_start) + warmth(record.at)) / 2.0
            * window.0 as f64
            / 1e6;
        let used = cold.arrived_work / budget;
        self.cold_peak = self.cold_peak.max(used);
        if used > 1.0 {
            self.record_violation(Rule::Cold, record);
        }
    }
}

impl Sink for Auditor {
    fn record(&mut self, record: Record) {
        self.expire(record.at);
        match record.what {
            RecordKind::Told if record.x == 1 => drop(self.known_drains.remove(&(record.a, record.b))),
            RecordKind::Told => drop(self.known_drains.entry((record.a, record.b)).or_insert(record.at)),
            RecordKind::Asked => {
                self.requests += 1;
                let (class, group) = ((record.b % 256) as usize, record.b / 256);
                let min_position = match self.rules.classes[class].freshness {
                    Freshness::Session if self.rules.tokens_carried => {
                        self.session_commits.get(&(ANY_ROUTER, record.y)).copied()
                    }
                    Freshness::Session => self.session_commits.get(&(record.a, record.y)).copied(),
                    Freshness::All => self.group_commits.get(&group).copied(),
                    Freshness::Any | Freshness::Bounded(_) => None,
                };
                let open = OpenRequest {
                    router: record.a,
                    class,
                    group,
                    session: record.y,
                    requested_at: record.at,
                    deadline: Time(record.x),
                    last_sent: record.at,
                    in_flight: 0,
                    executions: 0,
                    min_position: min_position.unwrap_or(Time(i64::MIN)),
                };
                debug_assert!(open.requested_at <= open.deadline);
                self.check_try(&record, class);
                self.open_requests.insert(record.request, open);
            }
            RecordKind::Sent => {
                let late = |at: &Time| record.at - *at > self.rules.drain_grace;
                if self.known_drains.get(&(record.a, record.b)).is_some_and(late)
                    || self.should_know_of_drain(&record)
                {
                    self.record_violation(Rule::Drain, &record);
                }
                match self.open_requests.get_mut(&record.request) {
                    Some(open) => {
                        (open.in_flight, open.last_sent) = (open.in_flight + 1, record.at);
                        let copies = self.rules.second_copies && !self.rules.classes[open.class].run_once;
                        if open.in_flight > if copies { 2 } else { 1 } {
                            self.record_violation(Rule::OneOut, &record);
                        }
                    }
                    None => self.record_violation(Rule::Answered, &record),
                }
            }
            RecordKind::Came => self.check_cold_load(&record),
            RecordKind::Over => {
                if let Some(open) = self.open_requests.get_mut(&record.request) {
                    open.in_flight = open.in_flight.saturating_sub(1);
                }
            }
            RecordKind::Ran => match self.open_requests.get_mut(&record.request) {
                Some(open) => {
                    open.executions += 1;
                    if open.executions > 1 && self.rules.classes[open.class].run_once {
                        self.record_violation(Rule::Once, &record);
                    }
                }
                None if self.ended.get(&record.request).is_some_and(|(refused, _)| *refused) => {
                    self.record_violation(Rule::Once, &record);
                }
                None => {}
            },
            RecordKind::Served | RecordKind::Refused | RecordKind::Failed => self.check_answer(&record),
            RecordKind::Killed => {
                self.open_requests.retain(|_, open| open.router != record.a);
                self.session_commits.retain(|(router, _), _| *router != record.a);
                self.known_drains.retain(|(router, _), _| *router != record.a);
                self.watches.remove(&record.a);
            }
            RecordKind::Started => {
                let capacity = record.x as f64;
                self.cold_boxes.insert(
                    record.b,
                    ColdBox { started: record.at, capacity, arrivals: VecDeque::new(), arrived_work: 0.0 },
                );
            }
            RecordKind::Try => self.announced_try = Some((record.request, record.x, record.y)),
            RecordKind::Took | RecordKind::Through | RecordKind::Lost => self.check_job(&record),
            RecordKind::Published if record.x == 1 => drop(self.unavailable_since.remove(&record.b)),
            RecordKind::Published => drop(self.unavailable_since.entry(record.b).or_insert(record.at)),
            RecordKind::Called => {
                let watch = self.watches.entry(record.a);
                watch.or_insert(ListWatch { open: false, last_call: record.at, failed: false }).last_call =
                    record.at;
            }
            RecordKind::Watching => {
                let watch = self.watches.entry(record.a);
                let watch = watch.or_insert(ListWatch { open: false, last_call: record.at, failed: false });
                (watch.open, watch.failed) = (record.x == 1, record.x < 0);
            }
            RecordKind::Kept | RecordKind::Fell | RecordKind::Trouble => {}
        }
    }
}

/// The result of an audit.
#[derive(Clone, Debug)]
pub struct AuditReport {
    /// Requests.
    pub requests: u64,
    /// Those that were first tries of clients, where this is recorded.
    pub first_tries: u64,
    /// Violations by rule.
    pub violations: BTreeMap<Rule, u64>,
    /// The first violation.
    pub first_violation: Option<(Rule, Record)>,
    /// The most that a cold box was sent, as a share of what it may be sent.
    pub cold_peak: f64,
}

impl AuditReport {
    /// Compares the run's own count of first tries with that of the records, where these contain tries.
    #[must_use]
    pub fn check_first_tries(mut self, rules: &Rules, first_tries: u64) -> Self {
        if rules.full.is_some() && self.first_tries != first_tries {
            *self.violations.entry(Rule::Counted).or_default() += self.first_tries.abs_diff(first_tries);
        }
        self
    }
}
