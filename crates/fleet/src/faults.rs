//! Faults put into the records of a clean run, each of which an auditor has to find.

use crate::audit::{Freshness, Rule, Rules};
use crate::record::{Record, RecordKind};
use linnetdeal_core::{Span, Time};

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A write runs once more.
    DoubledWrite,
    /// A write that ran is refused.
    RefusedThatRan,
    /// A request has no answer.
    Unanswered,
    /// It has two.
    AnsweredTwice,
    /// It has one too late.
    AnsweredLate,
    /// Two attempts are out at once.
    TwoOut,
    /// A send goes to who was told to drain.
    AfterDrain,
    /// A cold box gets a hundred times as much.
    PushedOver,
    /// A session's read does not see what it wrote.
    StaleSession,
    /// A fresh read misses what was committed.
    StaleFresh,
    /// A bounded read is older than its bound.
    StaleBounded,
    /// A write is served that never ran.
    ServedWithoutRow,
    /// A client's retry is called a first try of the same client.
    RetryAsFirst,
    /// It is called a first try of another client.
    RetryAsAnother,
    /// It is given more time than is left of the first try's.
    RetryWithNewTime,
    /// A box ends a job when its router has given it up.
    CancelFrees,
    /// It never comes to the end of it.
    CancelDrops,
    /// A request that may run twice has three attempts out.
    ThirdCopy,
    /// A router that has long asked nobody sends to a box that was published as gone meanwhile.
    UnaskedDrain,
}

impl Fault {
    /// All.
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

    /// Those that need the full records, and a list that is asked.
    pub const FULL_AUDIT: [Self; 7] = [
        Self::RetryAsFirst,
        Self::RetryAsAnother,
        Self::RetryWithNewTime,
        Self::CancelFrees,
        Self::CancelDrops,
        Self::ThirdCopy,
        Self::UnaskedDrain,
    ];

    /// The rule that it breaks.
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

    /// Puts it into the records, somewhere past their middle. `None` where they hold nothing that it could befall.
    #[must_use]
    pub fn inject(self, records: &[Record], rules: &Rules) -> Option<Vec<Record>> {
        let mut all = records.to_vec();
        let middle = all.len() / 2;
        let asked: std::collections::HashMap<u64, (usize, i64)> = all
            .iter()
            .filter(|of| of.what == RecordKind::Asked)
            .map(|of| (of.request, ((of.b % 256) as usize, of.y)))
            .collect();
        let law = |of: &Record| asked.get(&of.request).map(|(class, _)| rules.classes[*class]);
        let find = |what: RecordKind, may: &dyn Fn(&Record) -> bool| {
            (middle..records.len()).find(|at| records[*at].what == what && may(&records[*at]))
        };
        match self {
            Self::DoubledWrite => {
                let at = find(RecordKind::Ran, &|of| law(of).is_some_and(|law| law.run_once))?;
                all.insert(at + 1, all[at]);
            }
            Self::RefusedThatRan => {
                let at = find(RecordKind::Served, &|of| law(of).is_some_and(|law| law.run_once))?;
                all[at].what = RecordKind::Refused;
            }
            Self::Unanswered => {
                let at = find(RecordKind::Served, &|_| true)?;
                all.remove(at);
            }
            Self::AnsweredTwice => {
                let at = find(RecordKind::Served, &|_| true)?;
                all.insert(at + 1, all[at]);
            }
            Self::AnsweredLate => {
                let at = find(RecordKind::Served, &|_| true)?;
                let mut late = all.remove(at);
                late.at = late.at + Span::millis(10_000);
                let to = all.iter().position(|of| of.at > late.at).unwrap_or(all.len());
                all.insert(to, late);
            }
            Self::TwoOut => {
                // Where second copies are allowed, of what must not run twice.
                let may = |of: &Record| !rules.second_copies || law(of).is_some_and(|law| law.run_once);
                let at = find(RecordKind::Sent, &may)?;
                all.insert(at + 1, all[at]);
            }
            Self::AfterDrain => {
                // Not where it was told to be back in the meantime: then the send would be right.
                let back = |of: &Record| {
                    let since = of.at - rules.drain_grace - Span::millis(1);
                    records.iter().any(|told| {
                        told.what == RecordKind::Told
                            && (told.a, told.b) == (of.a, of.b)
                            && (since..=of.at).contains(&told.at)
                    })
                };
                let at = find(RecordKind::Sent, &|of| !back(of))?;
                let mut told = Record { what: RecordKind::Told, x: 0, ..all[at] };
                told.at = told.at - rules.drain_grace - Span::millis(1);
                let to = all.iter().position(|of| of.at > told.at)?;
                all.insert(to, told);
            }
            Self::PushedOver => {
                let start = all.iter().position(|of| of.what == RecordKind::Started)?;
                let (cold, began) = (all[start].b, all[start].at);
                let at =
                    (start..all.len()).find(|at| all[*at].what == RecordKind::Came && all[*at].b == cold)?;
                let near = all[at].at - began < rules.cold.1;
                all[at].x = all[at].x.saturating_mul(100_000);
                return near.then_some(all);
            }
            Self::StaleSession | Self::StaleFresh | Self::StaleBounded => {
                let wanted = |fresh: Freshness| match self {
                    Self::StaleSession => fresh == Freshness::Session,
                    Self::StaleFresh => fresh == Freshness::All,
                    _ => matches!(fresh, Freshness::Bounded(_)),
                };
                // A session's read has something to see only if that session was served a write there before.
                let wrote = |of: &Record| {
                    records.iter().take_while(|other| other.at < of.at - Span::millis(2_000)).any(|other| {
                        other.what == RecordKind::Served
                            && other.a == of.a
                            && law(other).is_some_and(|law| law.write)
                            && asked.get(&other.request).map(|asked| asked.1)
                                == asked.get(&of.request).map(|asked| asked.1)
                    })
                };
                let may = |of: &Record| {
                    law(of).is_some_and(|law| !law.write && wanted(law.freshness))
                        && (self != Self::StaleSession || wrote(of))
                };
                let at = find(RecordKind::Served, &may)?;
                all[at].x = all[0].at.0 - 60_000_000;
            }
            Self::ServedWithoutRow => {
                let at = find(RecordKind::Served, &|of| law(of).is_some_and(|law| law.write))?;
                let id = all[at].request;
                all.retain(|of| of.request != id || of.what != RecordKind::Ran);
            }
            Self::RetryAsFirst => all[find(RecordKind::Try, &|of| of.y > 0)?].y = 0,
            Self::RetryAsAnother => {
                let at = find(RecordKind::Try, &|of| of.y > 0)?;
                // The last of its client, or the next would be out of order, too.
                let client = all[at].x;
                let at = all.iter().rposition(|of| of.what == RecordKind::Try && of.x == client)?;
                (all[at].x, all[at].y) = (i64::MAX, 0);
            }
            Self::RetryWithNewTime => {
                let at = find(RecordKind::Try, &|of| of.y > 0)?;
                let request = all[at].request;
                let at = all.iter().position(|of| of.what == RecordKind::Asked && of.request == request)?;
                all[at].x += 10_000_000;
            }
            Self::CancelFrees => {
                let (at, over) = self.given_up(&all, middle, true)?;
                let mut through = all.remove(at);
                through.at = all[over].at;
                all.insert(over + 1, through);
            }
            Self::CancelDrops => {
                let (at, _) = self.given_up(&all, middle, false)?;
                all.remove(at);
            }
            Self::ThirdCopy => {
                let at = find(RecordKind::Sent, &|of| law(of).is_some_and(|law| !law.run_once))?;
                all.insert(at + 1, all[at]);
                all.insert(at + 1, all[at]);
            }
            Self::UnaskedDrain => {
                let every = rules.poll_interval?;
                let at = all.iter().rposition(|of| of.what == RecordKind::Sent)?;
                let sent = all[at];
                let since = sent.at - every - rules.drain_grace - Span::millis(1);
                let own = |of: &Record| {
                    of.a == sent.a && matches!(of.what, RecordKind::Called | RecordKind::Watching)
                };
                let told = |of: &Record| of.b == sent.b && of.what == RecordKind::Published;
                all.retain(|of| of.at <= since || !(own(of) || told(of)));
                let to = all.iter().position(|of| of.at > since)?;
                let ended = Record { at: since, what: RecordKind::Watching, x: 0, ..sent };
                all.insert(to, ended);
                all.insert(to, Record { what: RecordKind::Published, ..ended });
            }
        }
        Some(all)
    }
}

impl Fault {
    /// Where a job is through that its router had given up before, and where that was; if need be before it can have been
    /// worked at for as long as it takes.
    fn given_up(self, all: &[Record], from: usize, early: bool) -> Option<(usize, usize)> {
        let mut took = std::collections::HashMap::new();
        let mut over = std::collections::HashMap::new();
        for (at, of) in all.iter().enumerate() {
            match of.what {
                RecordKind::Took => drop(took.insert((of.request, of.y), *of)),
                RecordKind::Over => drop(over.insert((of.request, of.x), at)),
                RecordKind::Through if at >= from => {
                    let of = (of.request, of.y);
                    let Some((took, over)) = took.get(&of).zip(over.get(&of)) else { continue };
                    // No core is twice as quick as the standard.
                    if !early || (all[*over].at - took.at).0 < took.x / 2 {
                        return Some((at, *over));
                    }
                }
                _ => {}
            }
        }
        None
    }
}

/// The end of records that were changed: later than all in them.
#[must_use]
pub fn audit_end(records: &[Record]) -> Time {
    records.iter().map(|of| of.at).max().unwrap_or_default() + Span::millis(60_000)
}
