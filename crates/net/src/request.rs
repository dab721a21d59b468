//! The life cycle of one request: from its registration with the router to its single final answer. The protocol that
//! carries attempts is behind [`Transport`].

use super::driver::{Driver, PendingAnswer, RequestAction};
use crate::config::{duration, span_of};
use crate::mutants::{self, Mutant};
use futures_lite::future::{or, poll_fn};
use linnetdeal_core::guard::{SendDenied, SendFacts};
use linnetdeal_core::invariants::RequestContract;
use linnetdeal_core::sent_ids::IdDigest;
use linnetdeal_core::*;
use std::cell::Cell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Maximum number of concurrent attempts of a request for which a second copy is allowed.
const MAX_CONCURRENT_ATTEMPTS: usize = 2;

/// Carries attempts to members.
pub trait Transport {
    /// A client's query in the form in which it is sent to a member.
    type Query;
    /// A member's answer to a query.
    type Reply;

    /// Makes one attempt and waits for its result until `until` at the latest. Implementations must not send
    /// the query again themselves. Once the future completes or is dropped, nothing of the attempt remains in
    /// flight. `gate` is consulted each time the first byte is about to be written, that is, again after every
    /// wait; if it denies, nothing is sent.
    fn attempt(
        &self,
        member: &MemberId,
        query: &Self::Query,
        until: Instant,
        gate: &dyn SendGate,
    ) -> impl Future<Output = AttemptResult<Self::Reply>>;
}

/// Decides whether an attempt may write its first byte.
pub trait SendGate {
    /// Returns the timeout to announce to the member if the attempt may start now.
    ///
    /// # Errors
    ///
    /// The reason why the attempt may not start.
    fn admit(&self, member_in_service: bool) -> Result<Duration, SendDenied>;

    /// Records that the first byte was written and that `timeout` was announced to the member.
    fn began(&self, timeout: Duration);
}

/// Tells when a request has to be abandoned: its client may leave, or this process may end.
pub trait AbortSource {
    /// The reason to abandon the request, as far as it can be observed at this moment.
    fn abort_reason(&self) -> Option<AbortReason>;

    /// The reason not to begin an attempt at this moment: one to abandon the request, or one that leaves attempts that are
    /// in flight as they are.
    fn reason_not_to_send(&self) -> Option<AbortReason>;

    /// Waits until there is a reason to abandon the request.
    fn aborted(&self) -> impl Future<Output = AbortReason>;
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// How the attempt ended.
    pub verdict: Verdict,
    /// What the member reported about its role and position.
    pub note: Option<Note>,
    /// The load report that came with the answer.
    pub report: Option<Vec<f64>>,
    /// The answer, present if the verdict is [`Verdict::Ok`].
    pub reply: Option<R>,
}

impl<R> AttemptResult<R> {
    /// A result without an answer, a note or a load report.
    #[must_use]
    pub fn without_answer(verdict: Verdict) -> Self {
        Self { verdict, note: None, report: None, reply: None }
    }
}

/// A client's request, as the protocol side submits it.
#[derive(Debug)]
pub struct ClientRequest<Q> {
    /// Class of the request.
    pub class: ClassId,
    /// Tenant, if the settings name it.
    pub tenant: Option<TenantId>,
    /// Session, in classes that have sessions.
    pub session: Option<SessionKey>,
    /// Group that the request is routed to.
    pub group: GroupId,
    /// Time at which the client stops waiting.
    pub deadline: Time,
    /// Last commit of the session, where clients report it.
    pub last_write: Option<Time>,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
    /// Whether a second attempt may run beside the first: the settings, when the request was taken, and its
    /// class allow it.
    pub copies_allowed: bool,
    /// Effect of running the request more than once.
    pub effect: Effect,
    /// Its id, if a request with this id must not run twice.
    pub unique_id: Option<IdDigest>,
    /// The query that is sent to a member.
    pub query: Q,
}

/// Why a request is abandoned without a decision of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// The client has disconnected.
    ClientLeft,
    /// The process terminates before the deadline.
    ProcessEnds,
    /// The client has sent so much ahead that the end of its stream may be hidden: it may have disconnected.
    ClientHidden,
    /// A request with the same id may have run.
    IdUsed,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer<R> {
    /// A member answered.
    Served(R),
    /// Refused, with the time after which to retry, if known; nothing was executed, so that a retry is safe.
    Refused(Option<Span>),
    /// Failed; the request may or may not have been executed.
    Failed {
        /// The last member that may have executed it, if any may have.
        member: Option<MemberId>,
    },
    /// The client has disconnected; no answer can be sent.
    Gone,
}

/// How the processing of a request concludes.
enum Conclusion<R> {
    Served(R),
    Refused(Option<Span>),
    Failed,
    Aborted(AbortReason),
}

/// The next event in the processing of a request.
enum NextStep<R> {
    AttemptEnded(FinishedAttempt<R>),
    Action(RequestAction),
    Aborted(AbortReason),
}

/// Serves one request. The returned [`PendingAnswer`] stays open until the answer has been written to the client.
pub async fn serve<C: Transport>(
    driver: &Rc<Driver>,
    transport: &C,
    client_request: &ClientRequest<C::Query>,
    abort_source: &impl AbortSource,
) -> (FinalAnswer<C::Reply>, PendingAnswer) {
    let max_running = if client_request.copies_allowed { MAX_CONCURRENT_ATTEMPTS } else { 1 };
    let mut abort_signal = pin!(abort_source.aborted());
    let mut attempt_numbers = (0..).map(AttemptNo);
    let mut running = Vec::new();
    let mut may_have_run = None;
    let id_claimed = Rc::new(Cell::new(false));

    // Registers the request; the router decides what to do with it.
    let handle = driver.register_request(|id, now| Request {
        id,
        class: client_request.class,
        tenant: client_request.tenant,
        session: client_request.session,
        left: client_request.deadline - now,
        group: client_request.group,
        last_write: client_request.last_write.map(|at| now - at),
        cost: None,
        retry: client_request.retry,
    });
    let promise = RequestContract {
        deadline: client_request.deadline,
        effect: client_request.effect,
        copies_allowed: client_request.copies_allowed,
    };
    let pending_answer = driver.expect_answer(handle.id(), promise);
    loop {
        // A finished attempt takes precedence over the router's actions, and both over the client's disconnect.
        // The router orders an attempt or the final answer, or lets the request wait.
        let attempt_ended = async { NextStep::AttemptEnded(next_finished(&mut running).await) };
        let action = async { NextStep::Action(handle.next_action().await) };
        let aborted = async { NextStep::Aborted(abort_signal.as_mut().await) };
        let next_step = or(attempt_ended, or(action, aborted)).await;
        let (finished, conclusion) = match next_step {
            // The client may have left, or the process may be about to end, in the same poll in which this
            // action was received, a connection was verified or a dial succeeded. The gate checks this before
            // the first byte, whatever happened before.
            NextStep::Action(RequestAction::Send { member, until }) => {
                let number = attempt_numbers.next().unwrap_or(AttemptNo(u32::MAX));
                if running.len() >= max_running {
                    (Some(FinishedAttempt::unsent(driver, number, member)), None)
                } else {
                    driver.counters.sent.add();
                    let sent_at = driver.clock.now();
                    let started = Rc::new(Cell::new(false));
                    let gate = RequestGate {
                        driver,
                        abort_source,
                        request: handle.id(),
                        attempt: number,
                        member: member.clone(),
                        until: until.min(client_request.deadline),
                        requested_timeout: until - sent_at,
                        copies_allowed: client_request.copies_allowed,
                        effect: client_request.effect,
                        other_attempts: running.len(),
                        may_have_run: may_have_run.is_some(),
                        unique_id: client_request.unique_id,
                        id_claimed: id_claimed.clone(),
                        aborted: Cell::new(None),
                        started: started.clone(),
                    };
                    let future = Box::pin(attempt(
                        transport,
                        &client_request.query,
                        driver.clock.instant(until),
                        gate,
                    ));
                    running.push(Attempt { number, member, sent_at, started, future });
                    continue;
                }
            }
            NextStep::Action(RequestAction::Cancel { attempt }) => {
                let index = running.iter().position(|candidate| candidate.number == attempt);
                (index.map(|index| running.remove(index).abandon()), None)
            }
            NextStep::Action(RequestAction::Refuse { retry_after }) => {
                (None, Some(Conclusion::Refused(retry_after)))
            }
            NextStep::Action(RequestAction::Fail) => (None, Some(Conclusion::Failed)),
            NextStep::Aborted(reason) => (None, Some(Conclusion::Aborted(reason))),
            NextStep::AttemptEnded(mut finished) => {
                let served = finished.result.reply.take().map(Conclusion::Served);
                let conclusion = served.or(finished.aborted.map(Conclusion::Aborted));
                (Some(finished), conclusion)
            }
        };

        // Attempts that are still running when the final answer is known are abandoned. The router is notified
        // only now that all of them are over, and the connections of abandoned ones are closed.
        let abandoned: Vec<_> = match conclusion {
            Some(_) => running.drain(..).map(Attempt::abandon).collect(),
            None => Vec::new(),
        };
        if matches!(conclusion, Some(Conclusion::Aborted(_))) {
            driver.feed(Event::Gone(handle.id()));
        }
        if matches!(conclusion, Some(Conclusion::Aborted(AbortReason::ClientLeft))) {
            pending_answer.client_left();
        }
        for finished in finished.into_iter().chain(abandoned) {
            if !finished.result.verdict.never_ran() {
                may_have_run = Some(finished.member.clone());
            }
            finished.report_outcome(driver, handle.id(), conclusion.is_some());
        }

        // Without a conclusion, the router has just been notified of the outcome and decides what happens next.
        let Some(conclusion) = conclusion else { continue };
        for (member, number) in handle.take_unsent().zip(attempt_numbers) {
            FinishedAttempt::<C::Reply>::unsent(driver, number, member).report_outcome(
                driver,
                handle.id(),
                true,
            );
        }
        if let Some(id) = client_request.unique_id.filter(|_| id_claimed.get() && may_have_run.is_none()) {
            driver.sent_ids.release(&id);
        }
        let answer = match conclusion {
            Conclusion::Served(reply) => {
                driver.counters.served.add();
                FinalAnswer::Served(reply)
            }
            Conclusion::Refused(retry_after) => refused(driver, retry_after),
            Conclusion::Failed => failed(driver, may_have_run),
            Conclusion::Aborted(reason) => aborted_answer(driver, reason, may_have_run),
        };
        return (answer, pending_answer);
    }
}

/// Runs one attempt; also returns the abort reason if the gate saw one before the first byte.
async fn attempt<C: Transport, P: AbortSource>(
    transport: &C,
    query: &C::Query,
    until: Instant,
    gate: RequestGate<'_, P>,
) -> (AttemptResult<C::Reply>, Option<AbortReason>) {
    let result = transport.attempt(&gate.member, query, until, &gate).await;
    (result, gate.aborted.get())
}

/// The gate of one attempt: combines the state of the client, the process, the settings and the router.
struct RequestGate<'a, P> {
    driver: &'a Driver,
    abort_source: &'a P,
    request: RequestId,
    attempt: AttemptNo,
    member: MemberId,
    /// The end of the attempt or the client's deadline, whichever comes first.
    until: Time,
    /// The timeout that the router set for the attempt.
    requested_timeout: Span,
    copies_allowed: bool,
    effect: Effect,
    /// Counted when the attempt was ordered: the number can only shrink afterwards, and a second attempt is
    /// ordered while the first one is counted.
    other_attempts: usize,
    may_have_run: bool,
    /// The id of a request that must not run twice.
    unique_id: Option<IdDigest>,
    /// Whether this request has claimed its id, shared by its attempts.
    id_claimed: Rc<Cell<bool>>,
    /// The abort reason last seen by the gate.
    aborted: Cell<Option<AbortReason>>,
    started: Rc<Cell<bool>>,
}

impl<P> RequestGate<'_, P> {
    /// Claims the request's id before its first byte, unless an earlier attempt of it has.
    fn claim_id(&self) -> Result<(), SendDenied> {
        let Some(id) = self.unique_id.filter(|_| !self.id_claimed.get()) else { return Ok(()) };
        if self.driver.sent_ids.claim(id) {
            self.id_claimed.set(true);
            return Ok(());
        }
        self.aborted.set(Some(AbortReason::IdUsed));
        Err(SendDenied::IdUsed)
    }
}

impl<P: AbortSource> SendGate for RequestGate<'_, P> {
    fn admit(&self, member_in_service: bool) -> Result<Duration, SendDenied> {
        let abort_reason = self.abort_source.reason_not_to_send();
        self.aborted.set(abort_reason);
        let time_left = self.until - self.driver.clock.now();
        let facts = SendFacts {
            member_in_service,
            client_connected: abort_reason != Some(AbortReason::ClientLeft),
            client_observed: abort_reason != Some(AbortReason::ClientHidden),
            process_serving: abort_reason != Some(AbortReason::ProcessEnds),
            data_fresh: self.driver.is_fresh(self.request, &self.member),
            time_left,
            other_attempts: self.other_attempts,
            copies_allowed: self.copies_allowed,
            may_have_run: self.may_have_run,
            effect: self.effect,
        };
        if !mutants::is_active(Mutant::UnguardedSend) {
            facts.check().and_then(|()| self.claim_id()).inspect_err(|denied| {
                self.driver.counters.denied(*denied);
                tracing::debug!(target: "requests", request = self.request.0, attempt = self.attempt.0, member = &*self.member.0, ?denied, "not sent");
            })?;
        }
        let timeout =
            if mutants::is_active(Mutant::OrderedDeadline) { self.requested_timeout } else { time_left };
        Ok(duration(timeout))
    }

    fn began(&self, timeout: Duration) {
        self.started.set(true);
        let (request, attempt) = (self.request, self.attempt);
        self.driver.check(|now, invariants| {
            invariants.attempt_started(now, request, attempt, &self.member, span_of(timeout))
        });
        tracing::debug!(target: "requests", request = request.0, attempt = attempt.0, member = &*self.member.0,
            told_ms = timeout.as_millis() as u64, freshness = ?self.driver.freshness(request, &self.member), "sent");
    }
}

/// A running attempt.
struct Attempt<F> {
    number: AttemptNo,
    member: MemberId,
    sent_at: Time,
    /// Whether its first byte may have been written.
    started: Rc<Cell<bool>>,
    /// Boxed to keep it out of the request's own state: most clients have no attempt running.
    future: Pin<Box<F>>,
}

impl<F, R> Attempt<F>
where
    F: Future<Output = (AttemptResult<R>, Option<AbortReason>)>,
{
    /// Drops the attempt, which closes its connection. One that is dropped before its first byte never ran.
    fn abandon(self) -> FinishedAttempt<R> {
        let verdict = if self.started.get() { Verdict::Cancelled } else { Verdict::Moot };
        self.finish(AttemptResult::without_answer(verdict), None)
    }

    fn finish(self, result: AttemptResult<R>, aborted: Option<AbortReason>) -> FinishedAttempt<R> {
        let Self { number, member, sent_at, .. } = self;
        FinishedAttempt { number, member, sent_at, result, aborted }
    }
}

/// Waits for the first of these attempts to finish, the earlier one if several have; never completes if none is
/// running.
async fn next_finished<F, R>(running: &mut Vec<Attempt<F>>) -> FinishedAttempt<R>
where
    F: Future<Output = (AttemptResult<R>, Option<AbortReason>)>,
{
    poll_fn(|context| {
        for index in 0..running.len() {
            if let Poll::Ready((result, aborted)) = running[index].future.as_mut().poll(context) {
                return Poll::Ready(running.remove(index).finish(result, aborted));
            }
        }
        Poll::Pending
    })
    .await
}

/// A finished attempt, of which nothing is in flight any more.
struct FinishedAttempt<R> {
    number: AttemptNo,
    member: MemberId,
    sent_at: Time,
    result: AttemptResult<R>,
    aborted: Option<AbortReason>,
}

impl<R> FinishedAttempt<R> {
    /// An attempt that was ordered but never started.
    fn unsent(driver: &Driver, number: AttemptNo, member: MemberId) -> Self {
        driver.counters.sent.add();
        let sent_at = driver.clock.now();
        Self { number, member, sent_at, result: AttemptResult::without_answer(Verdict::Moot), aborted: None }
    }

    /// Reports the outcome to the router; `closed` tells it that the request has its final answer.
    fn report_outcome(self, driver: &Driver, request: RequestId, closed: bool) {
        let Self { number: attempt, member, sent_at, result, .. } = self;
        let AttemptResult { verdict, note, report, .. } = result;
        driver.counters.outcome(verdict);
        driver.attempt_ended(request, attempt, verdict);
        let took = driver.clock.now() - sent_at;
        tracing::debug!(target: "requests", request = request.0, attempt = attempt.0, member = &*member.0,
            ?verdict, took_us = took.0, closed, "attempt ended");
        driver.feed(Event::Outcome(Outcome {
            request,
            attempt,
            member,
            verdict,
            note,
            took,
            closed,
            report,
        }));
    }
}

fn refused<R>(driver: &Driver, retry_after: Option<Span>) -> FinalAnswer<R> {
    driver.counters.refused.add();
    FinalAnswer::Refused(retry_after)
}

fn failed<R>(driver: &Driver, member: Option<MemberId>) -> FinalAnswer<R> {
    driver.counters.failed.add();
    FinalAnswer::Failed { member }
}

/// A request that is abandoned may be refused only if it cannot have been executed.
fn aborted_answer<R>(driver: &Driver, reason: AbortReason, may_have_run: Option<MemberId>) -> FinalAnswer<R> {
    match reason {
        AbortReason::ClientLeft => {
            driver.counters.gone.add();
            FinalAnswer::Gone
        }
        AbortReason::ProcessEnds | AbortReason::ClientHidden if may_have_run.is_some() => {
            failed(driver, may_have_run)
        }
        AbortReason::ProcessEnds | AbortReason::ClientHidden => refused(driver, None),
        AbortReason::IdUsed => failed(driver, may_have_run),
    }
}
