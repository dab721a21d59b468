//! Holds what happened to the rules, on the records alone and with nothing of the pooler's own code.

use crate::record::{Record, RecordKind, Sink};
use linnetdeal_core::{Span, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A class as the rules see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassRules {
    /// It must not run twice.
    pub run_once: bool,
    /// It is a write.
    pub write: bool,
    /// A read's data.
    pub freshness: Freshness,
    /// How long a client waits, over all its tries.
    pub deadline: Span,
}

/// How current a read's data must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// As it comes.
    Any,
    /// No older than this when it was sent.
    Bounded(Span),
    /// All that its session wrote and was told of by this router.
    Session,
    /// All that was committed and answered before it was asked.
    All,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// By class.
    pub classes: Vec<ClassRules>,
    /// Nothing new to a box later than this after its drain was told.
    pub drain_grace: Span,
    /// How long past the deadline an answer may come.
    pub answer_slack: Span,
    /// A cold box's share, and when it is warm.
    pub cold: (f64, Span),
    /// It must not be sent more than this multiple of its capacity for so long.
    pub fall: (f64, Span),
    /// Whether what may run twice may have two attempts out.
    pub second_copies: bool,
    /// Whether clients say when their sessions last wrote; else a router need only know of what it was told itself.
    pub tokens_carried: bool,
    /// Where the list has to be asked: a router without a watch that has not asked for so long, four times that after a call
    /// that failed, counts as told of what was published that long before.
    pub poll_interval: Option<Span>,
    /// What the full records are held to.
    pub full: Option<FullRules>,
}

/// What clients' tries and the way of jobs through boxes are held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullRules {
    /// Tries of a client after the first.
    pub retries: u32,
    /// How much a box runs at once, first come, first served.
    pub cores: usize,
    /// The speed of the quickest box's cores.
    pub max_core_speed: f64,
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer in time.
    Answered,
    /// No repeated effect.
    Once,
    /// One attempt at a time.
    OneOut,
    /// Nothing new to who drains.
    Drain,
    /// No cold box pushed over.
    Cold,
    /// No stale read.
    Stale,
    /// What was served ran.
    Honest,
    /// A client's tries belong to its first one, one after another, no more of them and no later than it may.
    Tries,
    /// What a box took it works through, in its turn and no quicker than it can, whoever still waits for it.
    Works,
    /// The run's own count of first tries is what the records hold.
    Counted,
}

#[derive(Clone, Debug)]
struct Open {
    router: u32,
    class: usize,
    group: u32,
    session: i64,
    asked: Time,
    deadline: Time,
    sent: Time,
    out: u32,
    runs: u32,
    /// What a session's or a fresh read must have seen.
    need: Time,
}

/// Boxes' windows of the latest work.
#[derive(Clone, Debug)]
struct Cold {
    started: Time,
    capacity: f64,
    sent: VecDeque<(Time, f64)>,
    work: f64,
}

/// A client over its tries.
#[derive(Clone, Copy, Debug)]
struct Trying {
    tries: i64,
    request: u64,
    /// When it must have its answer.
    until: Time,
}

/// A job that a box has.
#[derive(Clone, Copy, Debug)]
struct Job {
    request: u64,
    attempt: i64,
    work: f64,
    /// When it was among the first, as many as there are cores.
    began: Option<Time>,
}

/// What a router has of a list that is asked.
#[derive(Clone, Copy, Debug)]
struct Asking {
    watching: bool,
    called: Time,
    failed: bool,
}

/// The auditor.
pub struct Auditor {
    rules: Rules,
    open: HashMap<u64, Open>,
    /// Requests that were refused and that were not to run after that: their ids, for as long as attempts may linger.
    ended: HashMap<u64, (bool, Time)>,
    told: HashMap<(u32, u32), Time>,
    tokens: HashMap<(u32, i64), Time>,
    commits: HashMap<u32, Time>,
    cold: BTreeMap<u32, Cold>,
    clients: HashMap<i64, Trying>,
    /// The client and the try's number of a request that is about to be asked.
    trying: Option<(u64, i64, i64)>,
    jobs: HashMap<u32, VecDeque<Job>>,
    asking: HashMap<u32, Asking>,
    /// Since when the list has said that a box is out of service.
    out: HashMap<u32, Time>,
    first_tries: u64,
    violations: BTreeMap<Rule, u64>,
    first_violation: Option<(Rule, Record)>,
    cold_peak: f64,
    requests: u64,
    swept: Time,
}

/// Stands for the router where clients carry what their sessions wrote.
const ANYBODY: u32 = u32::MAX;
/// After a call that failed a router may wait so many times as long for the next.
const AFTER_FAILURE: f64 = 4.0;
/// Ends of work are whole microseconds.
const ROUNDING: f64 = 4.0;
/// Ended requests are looked at for this long: longer than any attempt lasts.
const LINGER: Span = Span::millis(20_000);

impl Auditor {
    /// One by these rules.
    #[must_use]
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            open: HashMap::new(),
            ended: HashMap::new(),
            told: HashMap::new(),
            tokens: HashMap::new(),
            commits: HashMap::new(),
            cold: BTreeMap::new(),
            clients: HashMap::new(),
            trying: None,
            jobs: HashMap::new(),
            asking: HashMap::new(),
            out: HashMap::new(),
            first_tries: 0,
            violations: BTreeMap::new(),
            first_violation: None,
            cold_peak: 0.0,
            requests: 0,
            swept: Time(0),
        }
    }

    /// How often each rule was broken, once the run has ended; what has no answer by then is unanswered.
    #[must_use]
    pub fn finish(mut self, end: Time) -> AuditReport {
        let unanswered =
            self.open.values().filter(|open| open.deadline + self.rules.answer_slack < end).count() as u64;
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

    fn breaks(&mut self, rule: Rule, record: &Record) {
        *self.violations.entry(rule).or_default() += 1;
        self.first_violation.get_or_insert((rule, *record));
    }

    fn answer(&mut self, record: &Record) {
        let Some(open) = self.open.remove(&record.request) else {
            self.breaks(Rule::Answered, record);
            return;
        };
        let law = self.rules.classes[open.class];
        if record.at > open.deadline + self.rules.answer_slack {
            self.breaks(Rule::Answered, record);
        }
        let refused = record.what == RecordKind::Refused;
        if refused && law.run_once && (open.runs > 0 || open.out > 0) {
            self.breaks(Rule::Once, record);
        }
        if record.what == RecordKind::Served {
            let position = Time(record.x);
            if law.write {
                if open.runs == 0 {
                    self.breaks(Rule::Honest, record);
                }
                let knows = if self.rules.tokens_carried { ANYBODY } else { open.router };
                let token = self.tokens.entry((knows, open.session)).or_insert(position);
                *token = position.max(*token);
                let commit = self.commits.entry(open.group).or_insert(position);
                *commit = position.max(*commit);
            } else {
                let need = match law.freshness {
                    Freshness::Any => Time(i64::MIN),
                    Freshness::Bounded(bound) => open.sent - bound,
                    Freshness::Session | Freshness::All => open.need,
                };
                if position < need {
                    self.breaks(Rule::Stale, record);
                }
            }
        }
        self.ended.insert(record.request, (refused && law.run_once, record.at));
    }

    fn sweep(&mut self, now: Time) {
        if now - self.swept > LINGER {
            self.swept = now;
            self.ended.retain(|_, (_, at)| now - *at < LINGER);
            self.clients.retain(|_, client| now - client.until < LINGER);
        }
    }

    /// A try begins: the first of a client that nobody knows, or the next of one whose latest was answered.
    fn tries(&mut self, record: &Record, class: usize) {
        let (Some(full), Some((request, client, number))) = (self.rules.full, self.trying.take()) else {
            return;
        };
        let until = record.at + self.rules.classes[class].deadline;
        let wrong = match self.clients.get(&client).copied() {
            _ if request != record.request || number > i64::from(full.retries) => true,
            None => number != 0 || Time(record.x) > until,
            Some(before) => {
                number != before.tries + 1
                    || self.open.contains_key(&before.request)
                    || Time(record.x) > before.until
            }
        };
        self.first_tries += u64::from(number == 0);
        let until = self.clients.get(&client).map_or(until, |before| before.until);
        self.clients.insert(client, Trying { tries: number, request, until });
        if wrong {
            self.breaks(Rule::Tries, record);
        }
    }

    /// A box has taken a job, or is through with it. Of what it holds as many as it has cores are worked at.
    fn job(&mut self, record: &Record) {
        let Some(full) = self.rules.full else { return };
        let jobs = self.jobs.entry(record.b).or_default();
        if record.what == RecordKind::Took {
            let (request, attempt, work) = (record.request, record.y, record.x as f64);
            jobs.push_back(Job { request, attempt, work, began: None });
        } else {
            let of = |job: &Job| (job.request, job.attempt) == (record.request, record.y);
            let job = jobs.iter().position(of).and_then(|at| jobs.remove(at));
            let least = |job: &Job| job.work / full.max_core_speed - ROUNDING;
            let right = job.is_some_and(|job| {
                record.what == RecordKind::Lost
                    || job.began.is_some_and(|at| (record.at - at).0 as f64 >= least(&job))
            });
            if !right {
                self.breaks(Rule::Works, record);
            }
        }
        for job in self.jobs.entry(record.b).or_default().iter_mut().take(full.cores) {
            job.began.get_or_insert(record.at);
        }
    }

    /// Whether a router counts as told that a box is out of service, by what it could have asked long enough ago.
    fn deemed_told(&self, record: &Record) -> bool {
        let Some(every) = self.rules.poll_interval else { return false };
        let of = self.asking.get(&record.a).copied();
        let of = of.unwrap_or(Asking { watching: false, called: Time(0), failed: false });
        let age = if of.failed { every.times(AFTER_FAILURE) } else { every };
        let since = self.out.get(&record.b).copied();
        !of.watching
            && record.at - of.called > age
            && since.is_some_and(|since| record.at - since > Span(age.0 + self.rules.drain_grace.0))
    }

    /// Work has come to a box that may be cold.
    fn came(&mut self, record: &Record) {
        let (share, warm) = self.rules.cold;
        let (multiple, span) = self.rules.fall;
        let Some(cold) = self.cold.get_mut(&record.b) else { return };
        let warmth = |at: Time| {
            (share + (1.0 - share) * (at - cold.started).0 as f64 / warm.0.max(1) as f64).clamp(share, 1.0)
        };
        if warmth(record.at) >= 1.0 {
            self.cold.remove(&record.b);
            return;
        }
        cold.sent.push_back((record.at, record.x as f64));
        cold.work += record.x as f64;
        while let Some((_, work)) = cold.sent.front().copied().filter(|(at, _)| record.at - *at > span) {
            cold.work -= work;
            cold.sent.pop_front();
        }
        let began = cold.sent.front().map_or(record.at, |(at, _)| *at);
        let budget =
            multiple * cold.capacity * (warmth(began) + warmth(record.at)) / 2.0 * span.0 as f64 / 1e6;
        let used = cold.work / budget;
        self.cold_peak = self.cold_peak.max(used);
        if used > 1.0 {
            self.breaks(Rule::Cold, record);
        }
    }
}

impl Sink for Auditor {
    fn record(&mut self, record: Record) {
        self.sweep(record.at);
        match record.what {
            RecordKind::Told if record.x == 1 => drop(self.told.remove(&(record.a, record.b))),
            RecordKind::Told => drop(self.told.entry((record.a, record.b)).or_insert(record.at)),
            RecordKind::Asked => {
                self.requests += 1;
                let (class, group) = ((record.b % 256) as usize, record.b / 256);
                let need = match self.rules.classes[class].freshness {
                    Freshness::Session if self.rules.tokens_carried => {
                        self.tokens.get(&(ANYBODY, record.y)).copied()
                    }
                    Freshness::Session => self.tokens.get(&(record.a, record.y)).copied(),
                    Freshness::All => self.commits.get(&group).copied(),
                    Freshness::Any | Freshness::Bounded(_) => None,
                };
                let open = Open {
                    router: record.a,
                    class,
                    group,
                    session: record.y,
                    asked: record.at,
                    deadline: Time(record.x),
                    sent: record.at,
                    out: 0,
                    runs: 0,
                    need: need.unwrap_or(Time(i64::MIN)),
                };
                debug_assert!(open.asked <= open.deadline);
                self.tries(&record, class);
                self.open.insert(record.request, open);
            }
            RecordKind::Sent => {
                let late = |at: &Time| record.at - *at > self.rules.drain_grace;
                if self.told.get(&(record.a, record.b)).is_some_and(late) || self.deemed_told(&record) {
                    self.breaks(Rule::Drain, &record);
                }
                match self.open.get_mut(&record.request) {
                    Some(open) => {
                        (open.out, open.sent) = (open.out + 1, record.at);
                        let copies = self.rules.second_copies && !self.rules.classes[open.class].run_once;
                        if open.out > if copies { 2 } else { 1 } {
                            self.breaks(Rule::OneOut, &record);
                        }
                    }
                    None => self.breaks(Rule::Answered, &record),
                }
            }
            RecordKind::Came => self.came(&record),
            RecordKind::Over => {
                if let Some(open) = self.open.get_mut(&record.request) {
                    open.out = open.out.saturating_sub(1);
                }
            }
            RecordKind::Ran => match self.open.get_mut(&record.request) {
                Some(open) => {
                    open.runs += 1;
                    if open.runs > 1 && self.rules.classes[open.class].run_once {
                        self.breaks(Rule::Once, &record);
                    }
                }
                None if self.ended.get(&record.request).is_some_and(|(refused, _)| *refused) => {
                    self.breaks(Rule::Once, &record);
                }
                None => {}
            },
            RecordKind::Served | RecordKind::Refused | RecordKind::Failed => self.answer(&record),
            RecordKind::Killed => {
                self.open.retain(|_, open| open.router != record.a);
                self.tokens.retain(|(router, _), _| *router != record.a);
                self.told.retain(|(router, _), _| *router != record.a);
                self.asking.remove(&record.a);
            }
            RecordKind::Started => {
                let capacity = record.x as f64;
                self.cold.insert(
                    record.b,
                    Cold { started: record.at, capacity, sent: VecDeque::new(), work: 0.0 },
                );
            }
            RecordKind::Try => self.trying = Some((record.request, record.x, record.y)),
            RecordKind::Took | RecordKind::Through | RecordKind::Lost => self.job(&record),
            RecordKind::Published if record.x == 1 => drop(self.out.remove(&record.b)),
            RecordKind::Published => drop(self.out.entry(record.b).or_insert(record.at)),
            RecordKind::Called => {
                let of = self.asking.entry(record.a);
                of.or_insert(Asking { watching: false, called: record.at, failed: false }).called = record.at;
            }
            RecordKind::Watching => {
                let of = self.asking.entry(record.a);
                let of = of.or_insert(Asking { watching: false, called: record.at, failed: false });
                (of.watching, of.failed) = (record.x == 1, record.x < 0);
            }
            RecordKind::Kept | RecordKind::Fell | RecordKind::Trouble => {}
        }
    }
}

/// What an audit found.
#[derive(Clone, Debug)]
pub struct AuditReport {
    /// Requests asked.
    pub requests: u64,
    /// Those that were clients' first tries, where the records tell.
    pub first_tries: u64,
    /// How often each rule was broken.
    pub violations: BTreeMap<Rule, u64>,
    /// The first time.
    pub first_violation: Option<(Rule, Record)>,
    /// The most that a cold box was sent, as a part of its budget.
    pub cold_peak: f64,
}

impl AuditReport {
    /// Holds the run's own count of first tries to the records, where these tell which are first.
    #[must_use]
    pub fn check_first_tries(mut self, rules: &Rules, first_tries: u64) -> Self {
        if rules.full.is_some() && self.first_tries != first_tries {
            *self.violations.entry(Rule::Counted).or_default() += self.first_tries.abs_diff(first_tries);
        }
        self
    }
}
