//! The life of a request, from when it is taken to its one final answer. Which protocol carries it is for
//! [`Transport`] to know.

use super::driver::{Driver, PendingAnswer, RequestAction};
use crate::config::{duration, span_of};
use crate::mutants::{self, Mutant};
use futures_lite::future::{or, poll_fn};
use linnetdeal_core::guard::{SendDenied, SendFacts};
use linnetdeal_core::invariants::Promise;
use linnetdeal_core::*;
use std::cell::Cell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Where second copies are allowed, so many attempts of a request may be out at once.
const MAX_CONCURRENT_ATTEMPTS: usize = 2;

/// What takes an attempt to a member.
pub trait Transport {
    /// What the client asks, ready to be sent on.
    type Query;
    /// What a member gave for it.
    type Reply;

    /// Makes one attempt and waits no longer than `until` for its end. Nothing below this may send it again.
    /// When the future ends or is dropped, nothing of the attempt is out any more. Whenever the first byte is about to be
    /// written, `gate` is asked, again after each wait; if it says no, nothing is sent.
    fn attempt(
        &self,
        member: &MemberId,
        query: &Self::Query,
        until: Instant,
        gate: &dyn SendGate,
    ) -> impl Future<Output = AttemptResult<Self::Reply>>;
}

/// What an attempt asks before its first byte.
pub trait SendGate {
    /// Whether it may begin now, and how long the member is told to wait.
    ///
    /// # Errors
    ///
    /// Why it may not.
    fn admit(&self, member_in_service: bool) -> Result<Duration, SendDenied>;

    /// The first byte was written, and the member told to wait so long.
    fn began(&self, timeout: Duration);
}

/// The client that asks, and the process that serves it.
pub trait AbortSource {
    /// Why the request is to go no further, by all that can be seen at this moment.
    fn abort_reason(&self) -> Option<AbortReason>;

    /// Waits until there is a reason.
    fn aborted(&self) -> impl Future<Output = AbortReason>;
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// The outcome.
    pub verdict: Verdict,
    /// What the member said of itself.
    pub note: Option<Note>,
    /// Its load report.
    pub report: Option<Vec<f64>>,
    /// The answer, if the outcome is [`Verdict::Ok`].
    pub reply: Option<R>,
}

impl<R> AttemptResult<R> {
    /// An end without an answer or a note.
    #[must_use]
    pub fn without_answer(verdict: Verdict) -> Self {
        Self { verdict, note: None, report: None, reply: None }
    }
}

/// A request as a client's side hands it in.
#[derive(Debug)]
pub struct ClientRequest<Q> {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if the settings name it.
    pub tenant: Option<TenantId>,
    /// Its session, in classes that have them.
    pub session: Option<SessionKey>,
    /// Its group.
    pub group: GroupId,
    /// When the client gives up.
    pub deadline: Time,
    /// When its session last committed, where clients say so.
    pub last_write: Option<Time>,
    /// Its client marks it as a retry.
    pub retry: bool,
    /// A second attempt may be out beside the first: the settings allowed it when the request was taken, and so does its class.
    pub copies_allowed: bool,
    /// What a repeat of it does.
    pub effect: Effect,
    /// What is sent to a member.
    pub query: Q,
}

/// Why a request ends without the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// Its client has left.
    ClientLeft,
    /// The process ends before its deadline.
    ProcessEnds,
}

/// The final answer.
#[derive(Debug)]
pub enum FinalAnswer<R> {
    /// A member's answer.
    Served(R),
    /// Refused; trying again does no harm.
    Refused(Option<Span>),
    /// Failed; nothing is promised. Named is the last member that may have run it, if one may.
    Failed {
        /// The member.
        member: Option<MemberId>,
    },
    /// Nobody is there to be told.
    Gone,
}

/// How a request ends.
enum Conclusion<R> {
    Served(R),
    Refused(Option<Span>),
    Failed,
    Aborted(AbortReason),
}

/// What comes next for a request.
enum NextStep<R> {
    AttemptEnded(FinishedAttempt<R>),
    Action(RequestAction),
    Aborted(AbortReason),
}

/// Serves one request. Its client is pending_answer the answer until it has been written.
pub async fn serve<C: Transport>(
    driver: &Rc<Driver>,
    carrier: &C,
    client_request: &ClientRequest<C::Query>,
    abort_source: &impl AbortSource,
) -> (FinalAnswer<C::Reply>, PendingAnswer) {
    let max_running = if client_request.copies_allowed { MAX_CONCURRENT_ATTEMPTS } else { 1 };
    let mut abort = pin!(abort_source.aborted());
    let mut attempt_numbers = (0..).map(AttemptNo);
    let mut running = Vec::new();
    let mut may_have_run = None;

    // Taken: the module is asked what to do.
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
    let promise = Promise {
        deadline: client_request.deadline,
        effect: client_request.effect,
        copies_allowed: client_request.copies_allowed,
    };
    let pending_answer = driver.expect_answer(handle.id(), promise);
    loop {
        // An answer that is there goes before the module's orders, and both before the client's leaving. The module orders an
        // attempt or the final answer, or lets the request wait.
        let ended = async { NextStep::AttemptEnded(next_finished(&mut running).await) };
        let action = async { NextStep::Action(handle.next_action().await) };
        let aborted = async { NextStep::Aborted(abort.as_mut().await) };
        let next_step = or(ended, or(action, aborted)).await;
        let (finished, conclusion) = match next_step {
            // Sent: the client may have left, or the process be about to end, in the same poll as the order came, a connection
            // was proved or a dial came up: that is looked for before the first byte, whatever came before it.
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
                        aborted: Cell::new(None),
                        started: started.clone(),
                    };
                    let future =
                        Box::pin(attempt(carrier, &client_request.query, driver.clock.instant(until), gate));
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
                let served = finished.ended.reply.take().map(Conclusion::Served);
                let conclusion = served.or(finished.aborted.map(Conclusion::Aborted));
                (Some(finished), conclusion)
            }
        };

        // What is still out when the final answer is known is given up. Attempts are over, with their connections if they were
        // given up; only now is the module told.
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
            if !finished.ended.verdict.never_ran() {
                may_have_run = Some(finished.member.clone());
            }
            finished.report_outcome(driver, handle.id(), conclusion.is_some());
        }

        // The final answer, if this was it; else the module has been asked again.
        let Some(conclusion) = conclusion else { continue };
        for (member, number) in handle.take_unsent().zip(attempt_numbers) {
            FinishedAttempt::<C::Reply>::unsent(driver, number, member).report_outcome(
                driver,
                handle.id(),
                true,
            );
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

/// One attempt, and why the request was stopped, if the client or the process stopped it before the first byte.
async fn attempt<C: Transport, P: AbortSource>(
    carrier: &C,
    query: &C::Query,
    until: Instant,
    gate: RequestGate<'_, P>,
) -> (AttemptResult<C::Reply>, Option<AbortReason>) {
    let ended = carrier.attempt(&gate.member, query, until, &gate).await;
    (ended, gate.aborted.get())
}

/// The gate of a request's attempt: it brings together what client, process, settings and module say.
struct RequestGate<'a, P> {
    driver: &'a Driver,
    abort_source: &'a P,
    request: RequestId,
    attempt: AttemptNo,
    member: MemberId,
    /// When the attempt or its client's time is over.
    until: Time,
    /// The wait as it was ordered.
    requested_timeout: Span,
    copies_allowed: bool,
    effect: Effect,
    /// As of when the attempt was ordered: only fewer are out later, and a second one is ordered with the first known.
    other_attempts: usize,
    may_have_run: bool,
    /// Why the request goes no further, once that was seen.
    aborted: Cell<Option<AbortReason>>,
    started: Rc<Cell<bool>>,
}

impl<P: AbortSource> SendGate for RequestGate<'_, P> {
    fn admit(&self, member_in_service: bool) -> Result<Duration, SendDenied> {
        let abort_reason = self.abort_source.abort_reason();
        self.aborted.set(abort_reason);
        let time_left = self.until - self.driver.clock.now();
        let facts = SendFacts {
            member_in_service,
            client_connected: abort_reason != Some(AbortReason::ClientLeft),
            process_serving: abort_reason != Some(AbortReason::ProcessEnds),
            data_fresh: self.driver.is_fresh(self.request, &self.member),
            time_left,
            other_attempts: self.other_attempts,
            copies_allowed: self.copies_allowed,
            may_have_run: self.may_have_run,
            effect: self.effect,
        };
        if !mutants::is_active(Mutant::UnguardedSend) {
            facts.check().inspect_err(|denied| {
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
        self.driver
            .check(|now, invariants| invariants.began(now, request, attempt, &self.member, span_of(timeout)));
        tracing::debug!(target: "requests", request = request.0, attempt = attempt.0, member = &*self.member.0, told_ms = timeout.as_millis() as u64, "sent");
    }
}

/// An attempt that is out.
struct Attempt<F> {
    number: AttemptNo,
    member: MemberId,
    sent_at: Time,
    /// Its first byte may have been written.
    started: Rc<Cell<bool>>,
    /// Out of the request's own state: most clients have none out.
    future: Pin<Box<F>>,
}

impl<F, R> Attempt<F>
where
    F: Future<Output = (AttemptResult<R>, Option<AbortReason>)>,
{
    /// Closes its connection. One that is given up before its first byte never ran.
    fn abandon(self) -> FinishedAttempt<R> {
        let verdict = if self.started.get() { Verdict::Cancelled } else { Verdict::Moot };
        self.finish(AttemptResult::without_answer(verdict), None)
    }

    fn finish(self, ended: AttemptResult<R>, aborted: Option<AbortReason>) -> FinishedAttempt<R> {
        let Self { number, member, sent_at, .. } = self;
        FinishedAttempt { number, member, sent_at, ended, aborted }
    }
}

/// The first of these attempts that ends, the earlier one where two do; never while none is out.
async fn next_finished<F, R>(running: &mut Vec<Attempt<F>>) -> FinishedAttempt<R>
where
    F: Future<Output = (AttemptResult<R>, Option<AbortReason>)>,
{
    poll_fn(|context| {
        for index in 0..running.len() {
            if let Poll::Ready((ended, aborted)) = running[index].future.as_mut().poll(context) {
                return Poll::Ready(running.remove(index).finish(ended, aborted));
            }
        }
        Poll::Pending
    })
    .await
}

/// An attempt that is over, and nothing of it is out any more.
struct FinishedAttempt<R> {
    number: AttemptNo,
    member: MemberId,
    sent_at: Time,
    ended: AttemptResult<R>,
    aborted: Option<AbortReason>,
}

impl<R> FinishedAttempt<R> {
    /// One that was ordered and never begun.
    fn unsent(driver: &Driver, number: AttemptNo, member: MemberId) -> Self {
        driver.counters.sent.add();
        let sent_at = driver.clock.now();
        Self { number, member, sent_at, ended: AttemptResult::without_answer(Verdict::Moot), aborted: None }
    }

    /// Tells the module, and whether the client has its final answer.
    fn report_outcome(self, driver: &Driver, request: RequestId, closed: bool) {
        let Self { number: attempt, member, sent_at, ended, .. } = self;
        let AttemptResult { verdict, note, report, .. } = ended;
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

/// At the end of the process a refusal is an honest answer only to what can't have run.
fn aborted_answer<R>(driver: &Driver, reason: AbortReason, may_have_run: Option<MemberId>) -> FinalAnswer<R> {
    match reason {
        AbortReason::ClientLeft => {
            driver.counters.gone.add();
            FinalAnswer::Gone
        }
        AbortReason::ProcessEnds if may_have_run.is_some() => failed(driver, may_have_run),
        AbortReason::ProcessEnds => refused(driver, None),
    }
}
