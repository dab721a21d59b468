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
    broken: BTreeMap<Rule, u64>,
    first: Option<(Rule, Record)>,
    peak: f64,
    asked: u64,
    swept: Time,
}

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
        Verdict { asked: self.asked, broken: self.broken, first: self.first, peak: self.peak }
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
                let token = self.tokens.entry((open.router, open.session)).or_insert(position);
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
        }
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
                self.open.insert(record.request, open);
            }
            What::Sent => {
                let late = |at: &Time| record.at - *at > self.rules.grace;
                if self.told.get(&(record.a, record.b)).is_some_and(late) {
                    self.breaks(Rule::Drain, &record);
                }
                match self.open.get_mut(&record.request) {
                    Some(open) => {
                        (open.out, open.sent) = (open.out + 1, record.at);
                        if open.out > 1 {
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
            }
            What::Started => {
                let capacity = record.x as f64;
                self.cold.insert(
                    record.b,
                    Cold { started: record.at, capacity, sent: VecDeque::new(), work: 0.0 },
                );
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
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// The first time.
    pub first: Option<(Rule, Record)>,
    /// The most that a cold box was sent, as a part of its budget.
    pub peak: f64,
}
