//! Run-time checks of invariants on attempts, retries, answers, closed connections and the start of serving. They
//! influence no decision and share no state with the code that they check: they are notified of each event, keep
//! their own record of open requests, and count violations. In a correct program all counts are zero. No I/O and no
//! clock.

use crate::interface::{AttemptNo, Effect, MemberId, RequestId, Span, Time, Verdict};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// How long after its client has closed the connection an attempt may still start.
pub const DEPARTURE_SLACK: Span = Span::millis(100);
/// By how much the timeout sent to a member may exceed the time that the client has left.
pub const DEADLINE_SLACK: Span = Span::millis(150);
/// How long after the client's deadline an answer may come: within this time it only earns nothing, later it is lost.
pub const ANSWER_SLACK: Span = Span::millis(500);
/// The number of latest violations that are kept with their details.
const MAX_RECENT: usize = 32;

/// The kinds of violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// An attempt started at a member that had been withdrawn for longer than the grace.
    SentToWithdrawn,
    /// An attempt started after its client had disconnected.
    SentAfterDeparture,
    /// An attempt started for a request that had its final answer or was never accepted.
    SentAfterAnswer,
    /// An attempt started after its client's deadline.
    SentPastDeadline,
    /// The timeout sent to a member exceeded the time that the client had left.
    DeadlineOverstated,
    /// Two attempts of a request were in flight at the same time where that is not allowed.
    SecondOut,
    /// A request that must not run twice was sent again although it may have run.
    UnsafeRepeat,
    /// A request that may have run and must not run twice was refused as safe to retry.
    UnsafeRefusal,
    /// A request got a second final answer.
    SecondAnswer,
    /// A request's final answer came after its client's deadline.
    LateAnswer,
    /// A client's connection was closed with an unanswered request.
    ClosedUnanswered,
    /// Clients were accepted before the process could serve them.
    StartedEarly,
}

/// All kinds of violations, in the order in which they are displayed.
pub const VIOLATIONS: [Violation; 12] = [
    Violation::SentToWithdrawn,
    Violation::SentAfterDeparture,
    Violation::SentAfterAnswer,
    Violation::SentPastDeadline,
    Violation::DeadlineOverstated,
    Violation::SecondOut,
    Violation::UnsafeRepeat,
    Violation::UnsafeRefusal,
    Violation::SecondAnswer,
    Violation::LateAnswer,
    Violation::ClosedUnanswered,
    Violation::StartedEarly,
];

/// A violation that occurred, with its details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViolationRecord {
    /// Its kind.
    pub violation: Violation,
    /// When it happened.
    pub at: Time,
    /// The request, if it concerns one.
    pub request: Option<RequestId>,
    /// The member, if it concerns one.
    pub member: Option<MemberId>,
    /// By how much a time limit was exceeded; 0 if none was.
    pub excess: Span,
}

impl fmt::Display for ViolationRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.violation)?;
        if let Some(request) = self.request {
            write!(f, " request {}", request.0)?;
        }
        if let Some(member) = &self.member {
            write!(f, " at {}", member.0)?;
        }
        write!(f, " by {} us", self.excess.0)
    }
}

/// The properties of a request that its invariants depend on.
#[derive(Clone, Copy, Debug)]
pub struct RequestContract {
    /// When its client gives up waiting.
    pub deadline: Time,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// Whether two attempts of it may be in flight at the same time.
    pub copies_allowed: bool,
}

/// The kinds of final answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Answered with the result from a member.
    Served,
    /// Refused, as safe to retry.
    Refused,
    /// Failed; the request may have run.
    Failed,
}

/// An open request.
#[derive(Clone, Debug)]
struct Request {
    contract: RequestContract,
    in_flight: Vec<AttemptNo>,
    may_have_run: bool,
    /// When the client disconnected.
    departed: Option<Time>,
    /// When the first bytes of its answer were passed on, if the answer is a large one.
    begun: Option<Time>,
    answered: bool,
}

/// The record of open requests and the counts of violations.
#[derive(Clone, Debug)]
pub struct Invariants {
    drain_grace: Span,
    requests: BTreeMap<RequestId, Request>,
    /// The members that are not in service, and since when.
    withdrawn: BTreeMap<MemberId, Time>,
    counts: BTreeMap<Violation, u64>,
    recent: VecDeque<ViolationRecord>,
    /// The number of attempts that were checked.
    checked: u64,
}

impl Invariants {
    /// Creates the checks without open requests, with this grace for withdrawn members.
    #[must_use]
    pub fn new(drain_grace: Span) -> Self {
        Self {
            drain_grace,
            requests: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            counts: BTreeMap::new(),
            recent: VecDeque::new(),
            checked: 0,
        }
    }

    /// Changes the grace for withdrawn members.
    pub fn set_drain_grace(&mut self, drain_grace: Span) {
        self.drain_grace = drain_grace;
    }

    /// Records whether a member is in service. One that is already withdrawn stays so from the first time.
    pub fn set_member(&mut self, now: Time, member: &MemberId, in_service: bool) {
        if in_service {
            self.withdrawn.remove(member);
        } else {
            self.withdrawn.entry(member.clone()).or_insert(now);
        }
    }

    /// Records that a member was dropped from the list.
    pub fn forget_member(&mut self, member: &MemberId) {
        self.withdrawn.remove(member);
    }

    /// Records that a request was accepted.
    pub fn request_accepted(&mut self, request: RequestId, contract: RequestContract) {
        let open = Request {
            contract,
            in_flight: Vec::new(),
            may_have_run: false,
            departed: None,
            begun: None,
            answered: false,
        };
        self.requests.insert(request, open);
    }

    /// Records that the first byte of an attempt was written, which carries `timeout` to the member. Returns the
    /// violations.
    pub fn attempt_started(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: AttemptNo,
        member: &MemberId,
        timeout: Span,
    ) -> Vec<ViolationRecord> {
        self.checked += 1;
        let mut violations = Vec::new();
        if let Some(since) = self.withdrawn.get(member) {
            let excess = Span((now - *since).0 - self.drain_grace.0);
            violations.extend((excess > Span(0)).then_some((Violation::SentToWithdrawn, excess)));
        }
        match self.requests.get_mut(&request) {
            None => violations.push((Violation::SentAfterAnswer, Span(0))),
            Some(open) => {
                open.check_start(now, timeout, &mut violations);
                open.in_flight.push(attempt);
            }
        }
        self.record(now, Some(request), Some(member), violations)
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, request: RequestId, attempt: AttemptNo, verdict: Verdict) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let removed = open
            .in_flight
            .iter()
            .position(|number| *number == attempt)
            .map(|index| open.in_flight.swap_remove(index));
        open.may_have_run |= removed.is_some() && !verdict.never_ran();
    }

    /// Records that the first bytes of a large answer are passed on. They have to be in time; the rest takes as long
    /// as its server and its client do.
    pub fn large_answer_begun(&mut self, now: Time, request: RequestId) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.begun.get_or_insert(now);
        }
    }

    /// Records that the client of a request has disconnected.
    pub fn client_departed(&mut self, now: Time, request: RequestId) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.departed.get_or_insert(now);
        }
    }

    /// Records the final answer of a request. Returns the violations.
    pub fn request_answered(
        &mut self,
        now: Time,
        request: RequestId,
        answer: Answer,
    ) -> Vec<ViolationRecord> {
        let Some(open) = self.requests.get_mut(&request) else { return Vec::new() };
        let mut violations = Vec::new();
        if std::mem::replace(&mut open.answered, true) {
            violations.push((Violation::SecondAnswer, Span(0)));
        }
        let late = Span((open.begun.unwrap_or(now) - open.contract.deadline).0 - ANSWER_SLACK.0);
        violations.extend((late > Span(0)).then_some((Violation::LateAnswer, late)));
        let unsafe_refusal = open.may_have_run && open.contract.effect != Effect::Safe;
        if answer == Answer::Refused && unsafe_refusal {
            violations.push((Violation::UnsafeRefusal, Span(0)));
        }
        self.record(now, Some(request), None, violations)
    }

    /// Records that a request is closed: it was answered, or its client has disconnected. Returns the violations.
    pub fn request_closed(&mut self, now: Time, request: RequestId) -> Vec<ViolationRecord> {
        let Some(open) = self.requests.remove(&request) else { return Vec::new() };
        let violations = (!open.answered && open.departed.is_none()).then_some(Violation::ClosedUnanswered);
        self.record(
            now,
            Some(request),
            None,
            violations.into_iter().map(|violation| (violation, Span(0))).collect(),
        )
    }

    /// Records that this side closed a connection with this many complete requests read and not answered. Returns the
    /// violations.
    pub fn connection_closed(&mut self, now: Time, unanswered: usize) -> Vec<ViolationRecord> {
        let violations = vec![(Violation::ClosedUnanswered, Span(0)); unanswered];
        self.record(now, None, None, violations)
    }

    /// Records the end of the process, which leaves open requests of connected clients unanswered. Returns the
    /// violations.
    pub fn process_ended(&mut self, now: Time) -> Vec<ViolationRecord> {
        let unanswered = |open: &Request| !open.answered && open.departed.is_none();
        let unanswered_ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, open)| unanswered(open)).map(|(id, _)| *id).collect();
        unanswered_ids.into_iter().flat_map(|request| self.request_closed(now, request)).collect()
    }

    /// Records that clients are accepted from now on; `ready` is whether the start guard permits that. Returns the
    /// violations.
    pub fn serving_started(&mut self, now: Time, ready: bool) -> Vec<ViolationRecord> {
        let violations = if ready { Vec::new() } else { vec![(Violation::StartedEarly, Span(0))] };
        self.record(now, None, None, violations)
    }

    /// The number of violations of this kind.
    #[must_use]
    pub fn count(&self, violation: Violation) -> u64 {
        self.counts.get(&violation).copied().unwrap_or(0)
    }

    /// The number of violations of all kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// The number of open requests.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn record(
        &mut self,
        at: Time,
        request: Option<RequestId>,
        member: Option<&MemberId>,
        violations: Vec<(Violation, Span)>,
    ) -> Vec<ViolationRecord> {
        let records: Vec<ViolationRecord> = violations
            .into_iter()
            .map(|(violation, excess)| ViolationRecord {
                violation,
                at,
                request,
                member: member.cloned(),
                excess,
            })
            .collect();
        for occurrence in &records {
            *self.counts.entry(occurrence.violation).or_default() += 1;
            if self.recent.len() == MAX_RECENT {
                self.recent.pop_front();
            }
            self.recent.push_back(occurrence.clone());
        }
        records
    }
}

impl Request {
    /// Appends the violations by the start of one more attempt.
    fn check_start(&self, now: Time, timeout: Span, violations: &mut Vec<(Violation, Span)>) {
        let remaining = self.contract.deadline - now;
        if let Some(departed) = self.departed {
            let excess = Span((now - departed).0 - DEPARTURE_SLACK.0);
            violations.extend((excess > Span(0)).then_some((Violation::SentAfterDeparture, excess)));
        }
        if self.answered {
            violations.push((Violation::SentAfterAnswer, Span(0)));
        }
        if remaining <= Span(0) {
            violations.push((Violation::SentPastDeadline, Span(-remaining.0)));
        }
        let overstated = Span(timeout.0.saturating_sub(remaining.0.max(0)).saturating_sub(DEADLINE_SLACK.0));
        violations.extend((overstated > Span(0)).then_some((Violation::DeadlineOverstated, overstated)));
        if !self.in_flight.is_empty() && !self.contract.copies_allowed {
            violations.push((Violation::SecondOut, Span(0)));
        }
        if self.may_have_run && self.contract.effect != Effect::Safe {
            violations.push((Violation::UnsafeRepeat, Span(0)));
        }
    }
}

/// The counts, followed by the details of the latest violations.
impl fmt::Display for Invariants {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invariants checked={} violations={}", self.checked, self.total())?;
        for violation in VIOLATIONS {
            write!(f, " {violation:?}={}", self.count(violation))?;
        }
        self.recent.iter().try_for_each(|occurrence| write!(f, "; {occurrence}"))
    }
}
