//! Faults that are inserted into the records of a correct run, to check that the auditor finds each of them.

use crate::audit::{Freshness, Rule, Rules};
use crate::record::{Record, RecordKind};
use linnetdeal_core::{Span, Time};

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A write runs twice.
    DoubledWrite,
    /// A write that ran is refused.
    RefusedThatRan,
    /// A request has no answer.
    Unanswered,
    /// A request has two answers.
    AnsweredTwice,
    /// A request is answered too late.
    AnsweredLate,
    /// Two attempts are in flight at once.
    TwoOut,
    /// A request is sent to a box that is known to drain.
    AfterDrain,
    /// A cold box receives a hundred times as much.
    PushedOver,
    /// A session's read does not see the session's own write.
    StaleSession,
    /// A fresh read misses a committed write.
    StaleFresh,
    /// A bounded read is older than its bound.
    StaleBounded,
    /// A write is served that never ran.
    ServedWithoutRow,
    /// A client's retry is recorded as a first try of the same client.
    RetryAsFirst,
    /// A client's retry is recorded as a first try of another client.
    RetryAsAnother,
    /// A retry is given more time than is left of the first try's deadline.
    RetryWithNewTime,
    /// A box ends a job at the moment at which its router gives it up.
    CancelFrees,
    /// A box never ends a job that its router gave up.
    CancelDrops,
    /// A request that may run twice has three attempts in flight.
    ThirdCopy,
    /// A router that has not polled the list for long sends to a box that was meanwhile published as out of service.
    UnaskedDrain,
}

impl Fault {
    /// Faults that the usual records can hold.
    pub const ALL: [Self; 12] = [
        Self::DoubledWrite,
        Self::RefusedThatRan,
        Self::Unanswered,
        Self::AnsweredTwice,
        Self::AnsweredLate,
        Self::TwoOut,
        Self::AfterDrain,
        Self::PushedOver,
        Self::StaleSession,
        Self::StaleFresh,
        Self::StaleBounded,
        Self::ServedWithoutRow,
    ];

    /// Faults that need the full records or a list that is polled.
    pub const FULL_AUDIT: [Self; 7] = [
        Self::RetryAsFirst,
        Self::RetryAsAnother,
        Self::RetryWithNewTime,
        Self::CancelFrees,
        Self::CancelDrops,
        Self::ThirdCopy,
        Self::UnaskedDrain,
    ];

    /// The rule that it violates.
    #[must_use]
    pub fn rule(self) -> Rule {
        match self {
            Self::DoubledWrite | Self::RefusedThatRan => Rule::Once,
            Self::Unanswered | Self::AnsweredTwice | Self::AnsweredLate => Rule::Answered,
            Self::TwoOut | Self::ThirdCopy => Rule::OneOut,
            Self::AfterDrain | Self::UnaskedDrain => Rule::Drain,
            Self::RetryAsFirst | Self::RetryWithNewTime => Rule::Tries,
            Self::RetryAsAnother => Rule::Counted,
            Self::CancelFrees | Self::CancelDrops => Rule::Works,
            Self::PushedOver => Rule::Cold,
            Self::StaleSession | Self::StaleFresh | Self::StaleBounded => Rule::Stale,
            Self::ServedWithoutRow => Rule::Honest,
        }
    }

    /// Inserts the fault into a copy of the records, at or after their middle. `None` if they contain no place for
    /// it.
    #[must_use]
    pub fn inject(self, records: &[Record], rules: &Rules) -> Option<Vec<Record>> {
        let mut all = records.to_vec();
        let middle = all.len() / 2;
        let requests: std::collections::HashMap<u64, (usize, i64)> = all
            .iter()
            .filter(|record| record.what == RecordKind::Asked)
            .map(|record| (record.request, ((record.b % 256) as usize, record.y)))
            .collect();
        let class_of =
            |record: &Record| requests.get(&record.request).map(|(class, _)| rules.classes[*class]);
        let find = |what: RecordKind, eligible: &dyn Fn(&Record) -> bool| {
            (middle..records.len()).find(|index| records[*index].what == what && eligible(&records[*index]))
        };
        match self {
            Self::DoubledWrite => {
                let index =
                    find(RecordKind::Ran, &|record| class_of(record).is_some_and(|class| class.run_once))?;
                all.insert(index + 1, all[index]);
            }
            Self::RefusedThatRan => {
                let index =
                    find(RecordKind::Served, &|record| class_of(record).is_some_and(|class| class.run_once))?;
                all[index].what = RecordKind::Refused;
            }
            Self::Unanswered => {
                let index = find(RecordKind::Served, &|_| true)?;
                all.remove(index);
            }
            Self::AnsweredTwice => {
                let index = find(RecordKind::Served, &|_| true)?;
                all.insert(index + 1, all[index]);
            }
            Self::AnsweredLate => {
                let index = find(RecordKind::Served, &|_| true)?;
                let mut late = all.remove(index);
                late.at = late.at + Span::millis(10_000);
                let position = all.iter().position(|record| record.at > late.at).unwrap_or(all.len());
                all.insert(position, late);
            }
            Self::TwoOut => {
                // Where second copies are allowed, a request that must not run twice.
                let eligible = |record: &Record| {
                    !rules.second_copies || class_of(record).is_some_and(|class| class.run_once)
                };
                let index = find(RecordKind::Sent, &eligible)?;
                all.insert(index + 1, all[index]);
            }
            Self::AfterDrain => {
                // Not if the box was reported to be back in the meantime: the send would then be correct.
                let reported_again = |record: &Record| {
                    let since = record.at - rules.drain_grace - Span::millis(1);
                    records.iter().any(|other| {
                        other.what == RecordKind::Told
                            && (other.a, other.b) == (record.a, record.b)
                            && (since..=record.at).contains(&other.at)
                    })
                };
                let index = find(RecordKind::Sent, &|record| !reported_again(record))?;
                let mut drain_report = Record { what: RecordKind::Told, x: 0, ..all[index] };
                drain_report.at = drain_report.at - rules.drain_grace - Span::millis(1);
                let position = all.iter().position(|record| record.at > drain_report.at)?;
                all.insert(position, drain_report);
            }
            Self::PushedOver => {
                let start = all.iter().position(|record| record.what == RecordKind::Started)?;
                let (cold, started) = (all[start].b, all[start].at);
                let index = (start..all.len())
                    .find(|index| all[*index].what == RecordKind::Came && all[*index].b == cold)?;
                let still_cold = all[index].at - started < rules.cold.1;
                all[index].x = all[index].x.saturating_mul(100_000);
                return still_cold.then_some(all);
            }
            Self::StaleSession | Self::StaleFresh | Self::StaleBounded => {
                let matches_fault = |fresh: Freshness| match self {
                    Self::StaleSession => fresh == Freshness::Session,
                    Self::StaleFresh => fresh == Freshness::All,
                    _ => matches!(fresh, Freshness::Bounded(_)),
                };
                // A session read has something to miss only if the session's earlier write was served there.
                let wrote_before = |record: &Record| {
                    records.iter().take_while(|other| other.at < record.at - Span::millis(2_000)).any(
                        |other| {
                            other.what == RecordKind::Served
                                && other.a == record.a
                                && class_of(other).is_some_and(|class| class.write)
                                && requests.get(&other.request).map(|entry| entry.1)
                                    == requests.get(&record.request).map(|entry| entry.1)
                        },
                    )
                };
                let eligible = |record: &Record| {
                    class_of(record).is_some_and(|class| !class.write && matches_fault(class.freshness))
                        && (self != Self::StaleSession || wrote_before(record))
                };
                let index = find(RecordKind::Served, &eligible)?;
                all[index].x = all[0].at.0 - 60_000_000;
            }
            Self::ServedWithoutRow => {
                let index =
                    find(RecordKind::Served, &|record| class_of(record).is_some_and(|class| class.write))?;
                let id = all[index].request;
                all.retain(|record| record.request != id || record.what != RecordKind::Ran);
            }
            Self::RetryAsFirst => all[find(RecordKind::Try, &|record| record.y > 0)?].y = 0,
            Self::RetryAsAnother => {
                let index = find(RecordKind::Try, &|record| record.y > 0)?;
                // The last try of this client, as otherwise the next one would be out of order, too.
                let client = all[index].x;
                let index =
                    all.iter().rposition(|record| record.what == RecordKind::Try && record.x == client)?;
                (all[index].x, all[index].y) = (i64::MAX, 0);
            }
            Self::RetryWithNewTime => {
                let index = find(RecordKind::Try, &|record| record.y > 0)?;
                let request = all[index].request;
                let index = all
                    .iter()
                    .position(|record| record.what == RecordKind::Asked && record.request == request)?;
                all[index].x += 10_000_000;
            }
            Self::CancelFrees => {
                let (index, given_up) = self.find_given_up_job(&all, middle, true)?;
                let mut completion = all.remove(index);
                completion.at = all[given_up].at;
                all.insert(given_up + 1, completion);
            }
            Self::CancelDrops => {
                let (index, _) = self.find_given_up_job(&all, middle, false)?;
                all.remove(index);
            }
            Self::ThirdCopy => {
                let index =
                    find(RecordKind::Sent, &|record| class_of(record).is_some_and(|class| !class.run_once))?;
                all.insert(index + 1, all[index]);
                all.insert(index + 1, all[index]);
            }
            Self::UnaskedDrain => {
                let poll_interval = rules.poll_interval?;
                let index = all.iter().rposition(|record| record.what == RecordKind::Sent)?;
                let sent = all[index];
                let since = sent.at - poll_interval - rules.drain_grace - Span::millis(1);
                let from_router = |record: &Record| {
                    record.a == sent.a && matches!(record.what, RecordKind::Called | RecordKind::Watching)
                };
                let of_box = |record: &Record| record.b == sent.b && record.what == RecordKind::Published;
                all.retain(|record| record.at <= since || !(from_router(record) || of_box(record)));
                let position = all.iter().position(|record| record.at > since)?;
                let ended = Record { at: since, what: RecordKind::Watching, x: 0, ..sent };
                all.insert(position, ended);
                all.insert(position, Record { what: RecordKind::Published, ..ended });
            }
        }
        Some(all)
    }
}

impl Fault {
    /// The index of the end of a job that its router had given up earlier, and the index of the giving up. With
    /// `early`, one that was given up before the box can have worked on it for as long as it takes.
    fn find_given_up_job(self, all: &[Record], from: usize, early: bool) -> Option<(usize, usize)> {
        let mut took = std::collections::HashMap::new();
        let mut given_up = std::collections::HashMap::new();
        for (index, record) in all.iter().enumerate() {
            match record.what {
                RecordKind::Took => drop(took.insert((record.request, record.y), *record)),
                RecordKind::Over => drop(given_up.insert((record.request, record.x), index)),
                RecordKind::Through if index >= from => {
                    let attempt = (record.request, record.y);
                    let Some((took, given_up)) = took.get(&attempt).zip(given_up.get(&attempt)) else {
                        continue;
                    };
                    // No core is twice as fast as the standard one.
                    if !early || (all[*given_up].at - took.at).0 < took.x / 2 {
                        return Some((index, *given_up));
                    }
                }
                _ => {}
            }
        }
        None
    }
}

/// An end of the run for changed records: later than all of them.
#[must_use]
pub fn audit_end(records: &[Record]) -> Time {
    records.iter().map(|record| record.at).max().unwrap_or_default() + Span::millis(60_000)
}
