//! Holds what happened to the rules, on the records alone and with nothing of the pooler's own code.

use crate::record::{Record, Sink, What};
use linnetdeal_core::{Span, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A class as the rules see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Law {
    /// It must not run twice.
    pub fragile: bool,
    /// It is a write.
    pub write: bool,
    /// A read's data.
    pub fresh: Fresh,
    /// How long a client waits, over all its tries.
    pub deadline: Span,
}

/// How current a read's data must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fresh {
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
    pub laws: Vec<Law>,
    /// Nothing new to a box later than this after its drain was told.
    pub grace: Span,
    /// How long past the deadline an answer may come.
    pub slack: Span,
    /// A cold box's share, and when it is warm.
    pub cold: (f64, Span),
    /// It must not be sent more than this multiple of its capacity for so long.
    pub fall: (f64, Span),
    /// Whether what may run twice may have two attempts out.
    pub copies: bool,
    /// Whether clients say when their sessions last wrote; else a router need only know of what it was told itself.
    pub carried: bool,
    /// Where the list has to be asked: a router without a watch that has not asked for so long, four times that after a call
    /// that failed, counts as told of what was published that long before.
    pub asked: Option<Span>,
    /// What the full records are held to.
    pub full: Option<Full>,
}

/// What clients' tries and the way of jobs through boxes are held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Full {
    /// Tries of a client after the first.
    pub retries: u32,
    /// How much a box runs at once, first come, first served.
    pub cores: usize,
    /// The speed of the quickest box's cores.
    pub quickest: f64,
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
    broken: BTreeMap<Rule, u64>,
    first: Option<(Rule, Record)>,
    peak: f64,
    asked: u64,
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
            broken: BTreeMap::new(),
            first: None,
            peak: 0.0,
            asked: 0,
            swept: Time(0),
        }
    }

    /// How often each rule was broken, once the run has ended; what has no answer by then is unanswered.
    #[must_use]
    pub fn verdict(mut self, end: Time) -> Verdict {
        let unanswered =
            self.open.values().filter(|open| open.deadline + self.rules.slack < end).count() as u64;
        if unanswered > 0 {
            *self.broken.entry(Rule::Answered).or_default() += unanswered;
        }
        let (asked, first_tries) = (self.asked, self.first_tries);
        Verdict { asked, first_tries, broken: self.broken, first: self.first, peak: self.peak }
    }

    fn breaks(&mut self, rule: Rule, record: &Record) {
        *self.broken.entry(rule).or_default() += 1;
        self.first.get_or_insert((rule, *record));
    }

    fn answer(&mut self, record: &Record) {
        let Some(open) = self.open.remove(&record.request) else {
            self.breaks(Rule::Answered, record);
            return;
        };
        let law = self.rules.laws[open.class];
        if record.at > open.deadline + self.rules.slack {
            self.breaks(Rule::Answered, record);
        }
        let refused = record.what == What::Refused;
        if refused && law.fragile && (open.runs > 0 || open.out > 0) {
            self.breaks(Rule::Once, record);
        }
        if record.what == What::Served {
            let position = Time(record.x);
            if law.write {
                if open.runs == 0 {
                    self.breaks(Rule::Honest, record);
                }
                let knows = if self.rules.carried { ANYBODY } else { open.router };
                let token = self.tokens.entry((knows, open.session)).or_insert(position);
                *token = position.max(*token);
                let commit = self.commits.entry(open.group).or_insert(position);
                *commit = position.max(*commit);
            } else {
                let need = match law.fresh {
                    Fresh::Any => Time(i64::MIN),
                    Fresh::Bounded(bound) => open.sent - bound,
                    Fresh::Session | Fresh::All => open.need,
                };
                if position < need {
                    self.breaks(Rule::Stale, record);
                }
            }
        }
        self.ended.insert(record.request, (refused && law.fragile, record.at));
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
        let until = record.at + self.rules.laws[class].deadline;
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
        if record.what == What::Took {
            let (request, attempt, work) = (record.request, record.y, record.x as f64);
            jobs.push_back(Job { request, attempt, work, began: None });
        } else {
            let of = |job: &Job| (job.request, job.attempt) == (record.request, record.y);
            let job = jobs.iter().position(of).and_then(|at| jobs.remove(at));
            let least = |job: &Job| job.work / full.quickest - ROUNDING;
            let right = job.is_some_and(|job| {
                record.what == What::Lost
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
        let Some(every) = self.rules.asked else { return false };
        let of = self.asking.get(&record.a).copied();
        let of = of.unwrap_or(Asking { watching: false, called: Time(0), failed: false });
        let age = if of.failed { every.times(AFTER_FAILURE) } else { every };
        let since = self.out.get(&record.b).copied();
        !of.watching
            && record.at - of.called > age
            && since.is_some_and(|since| record.at - since > Span(age.0 + self.rules.grace.0))
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
        self.peak = self.peak.max(used);
        if used > 1.0 {
            self.breaks(Rule::Cold, record);
        }
    }
}

impl Sink for Auditor {
    fn take(&mut self, record: Record) {
        self.sweep(record.at);
        match record.what {
            What::Told if record.x == 1 => drop(self.told.remove(&(record.a, record.b))),
            What::Told => drop(self.told.entry((record.a, record.b)).or_insert(record.at)),
            What::Asked => {
                self.asked += 1;
                let (class, group) = ((record.b % 256) as usize, record.b / 256);
                let need = match self.rules.laws[class].fresh {
                    Fresh::Session if self.rules.carried => self.tokens.get(&(ANYBODY, record.y)).copied(),
                    Fresh::Session => self.tokens.get(&(record.a, record.y)).copied(),
                    Fresh::All => self.commits.get(&group).copied(),
                    Fresh::Any | Fresh::Bounded(_) => None,
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
            What::Sent => {
                let late = |at: &Time| record.at - *at > self.rules.grace;
                if self.told.get(&(record.a, record.b)).is_some_and(late) || self.deemed_told(&record) {
                    self.breaks(Rule::Drain, &record);
                }
                match self.open.get_mut(&record.request) {
                    Some(open) => {
                        (open.out, open.sent) = (open.out + 1, record.at);
                        let copies = self.rules.copies && !self.rules.laws[open.class].fragile;
                        if open.out > if copies { 2 } else { 1 } {
                            self.breaks(Rule::OneOut, &record);
                        }
                    }
                    None => self.breaks(Rule::Answered, &record),
                }
            }
            What::Came => self.came(&record),
            What::Over => {
                if let Some(open) = self.open.get_mut(&record.request) {
                    open.out = open.out.saturating_sub(1);
                }
            }
            What::Ran => match self.open.get_mut(&record.request) {
                Some(open) => {
                    open.runs += 1;
                    if open.runs > 1 && self.rules.laws[open.class].fragile {
                        self.breaks(Rule::Once, &record);
                    }
                }
                None if self.ended.get(&record.request).is_some_and(|(refused, _)| *refused) => {
                    self.breaks(Rule::Once, &record);
                }
                None => {}
            },
            What::Served | What::Refused | What::Failed => self.answer(&record),
            What::Killed => {
                self.open.retain(|_, open| open.router != record.a);
                self.tokens.retain(|(router, _), _| *router != record.a);
                self.told.retain(|(router, _), _| *router != record.a);
                self.asking.remove(&record.a);
            }
            What::Started => {
                let capacity = record.x as f64;
                self.cold.insert(
                    record.b,
                    Cold { started: record.at, capacity, sent: VecDeque::new(), work: 0.0 },
                );
            }
            What::Try => self.trying = Some((record.request, record.x, record.y)),
            What::Took | What::Through | What::Lost => self.job(&record),
            What::Published if record.x == 1 => drop(self.out.remove(&record.b)),
            What::Published => drop(self.out.entry(record.b).or_insert(record.at)),
            What::Called => {
                let of = self.asking.entry(record.a);
                of.or_insert(Asking { watching: false, called: record.at, failed: false }).called = record.at;
            }
            What::Watching => {
                let of = self.asking.entry(record.a);
                let of = of.or_insert(Asking { watching: false, called: record.at, failed: false });
                (of.watching, of.failed) = (record.x == 1, record.x < 0);
            }
            What::Kept | What::Fell | What::Trouble => {}
        }
    }
}

/// What an audit found.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Requests asked.
    pub asked: u64,
    /// Those that were clients' first tries, where the records tell.
    pub first_tries: u64,
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// The first time.
    pub first: Option<(Rule, Record)>,
    /// The most that a cold box was sent, as a part of its budget.
    pub peak: f64,
}

impl Verdict {
    /// Holds the run's own count of first tries to the records, where these tell which are first.
    #[must_use]
    pub fn counted(mut self, rules: &Rules, first_tries: u64) -> Self {
        if rules.full.is_some() && self.first_tries != first_tries {
            *self.broken.entry(Rule::Counted).or_default() += self.first_tries.abs_diff(first_tries);
        }
        self
    }
}
