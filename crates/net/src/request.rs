//! The life of a request, from when it is taken to its one final answer. Which protocol carries it is for
//! [`Carrier`] to know.

use super::driver::{Driver, Order, Owed};
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
const MOST_OUT: usize = 2;

/// What takes an attempt to a member.
pub trait Carrier {
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
        gate: &dyn Gate,
    ) -> impl Future<Output = Ended<Self::Reply>>;
}

/// What an attempt asks before its first byte.
pub trait Gate {
    /// Whether it may begin now, and how long the member is told to wait.
    ///
    /// # Errors
    ///
    /// Why it may not.
    fn admit(&self, member_in_service: bool) -> Result<Duration, SendDenied>;

    /// The first byte was written, and the member told to wait so long.
    fn began(&self, told: Duration);
}

/// The client that asks, and the process that serves it.
pub trait Patron {
    /// Why the request is to go no further, by all that can be seen at this moment.
    fn ended(&self) -> Option<Cut>;

    /// Waits until there is a reason.
    fn end(&self) -> impl Future<Output = Cut>;
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended<R> {
    /// The outcome.
    pub verdict: Verdict,
    /// What the member said of itself.
    pub note: Option<Note>,
    /// Its load report.
    pub report: Option<Vec<f64>>,
    /// The answer, if the outcome is [`Verdict::Ok`].
    pub reply: Option<R>,
}

impl<R> Ended<R> {
    /// An end without an answer or a note.
    #[must_use]
    pub fn without_answer(verdict: Verdict) -> Self {
        Self { verdict, note: None, report: None, reply: None }
    }
}

/// A request as a client's side hands it in.
#[derive(Debug)]
pub struct Asked<Q> {
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
    pub copies: bool,
    /// What a repeat of it does.
    pub effect: Effect,
    /// What is sent to a member.
    pub query: Q,
}

/// Why a request ends without the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Its client has left.
    ClientLeft,
    /// The process ends before its deadline.
    ProcessEnds,
}

/// The final answer.
#[derive(Debug)]
pub enum Final<R> {
    /// A member's answer.
    Served(R),
    /// Refused; trying again does no harm.
    Refused(Option<Span>),
    /// Failed; nothing is promised. Named is the last member that may have run it, if one may.
    Failed {
        /// The member.
        at: Option<MemberId>,
    },
    /// Nobody is there to be told.
    Gone,
}

/// How a request ends.
enum Last<R> {
    Served(R),
    Refused(Option<Span>),
    Failed,
    Cut(Cut),
}

/// What comes next for a request.
enum Turn<R> {
    Ended(Over<R>),
    Ordered(Order),
    Cut(Cut),
}

/// Serves one request. Its client is owed the answer until it has been written.
pub async fn serve<C: Carrier>(
    driver: &Rc<Driver>,
    carrier: &C,
    asked: &Asked<C::Query>,
    patron: &impl Patron,
) -> (Final<C::Reply>, Owed) {
    let most_out = if asked.copies { MOST_OUT } else { 1 };
    let mut cut = pin!(patron.end());
    let mut sends = (0..).map(AttemptNo);
    let mut out = Vec::new();
    let mut may_have_run = None;

    // Taken: the module is asked what to do.
    let ticket = driver.take(|id, now| Request {
        id,
        class: asked.class,
        tenant: asked.tenant,
        session: asked.session,
        left: asked.deadline - now,
        group: asked.group,
        last_write: asked.last_write.map(|at| now - at),
        cost: None,
        retry: asked.retry,
    });
    let promise = Promise { deadline: asked.deadline, effect: asked.effect, copies_allowed: asked.copies };
    let owed = driver.owe(ticket.id(), promise);
    loop {
        // An answer that is there goes before the module's orders, and both before the client's leaving. The module orders an
        // attempt or the final answer, or lets the request wait.
        let ended = async { Turn::Ended(first_to_end(&mut out).await) };
        let order = async { Turn::Ordered(ticket.order().await) };
        let left = async { Turn::Cut(cut.as_mut().await) };
        let turn = or(ended, or(order, left)).await;
        let (over, last) = match turn {
            // Sent: the client may have left, or the process be about to end, in the same poll as the order came, a connection
            // was proved or a dial came up: that is looked for before the first byte, whatever came before it.
            Turn::Ordered(Order::Send { member, until }) => {
                let number = sends.next().unwrap_or(AttemptNo(u32::MAX));
                if out.len() >= most_out {
                    (Some(Over::unsent(driver, number, member)), None)
                } else {
                    driver.counters.sent.add();
                    let sent = driver.clock.now();
                    let begun = Rc::new(Cell::new(false));
                    let gate = RequestGate {
                        driver,
                        patron,
                        request: ticket.id(),
                        attempt: number,
                        member: member.clone(),
                        until: until.min(asked.deadline),
                        ordered: until - sent,
                        copies_allowed: asked.copies,
                        effect: asked.effect,
                        other_attempts: out.len(),
                        may_have_run: may_have_run.is_some(),
                        stopped: Cell::new(None),
                        begun: begun.clone(),
                    };
                    let work = Box::pin(attempt(carrier, &asked.query, driver.clock.instant(until), gate));
                    out.push(Attempt { number, member, sent, begun, work });
                    continue;
                }
            }
            Turn::Ordered(Order::Cancel { attempt }) => {
                let at = out.iter().position(|one| one.number == attempt);
                (at.map(|at| out.remove(at).give_up()), None)
            }
            Turn::Ordered(Order::Refuse { retry_after }) => (None, Some(Last::Refused(retry_after))),
            Turn::Ordered(Order::Fail) => (None, Some(Last::Failed)),
            Turn::Cut(why) => (None, Some(Last::Cut(why))),
            Turn::Ended(mut over) => {
                let served = over.ended.reply.take().map(Last::Served);
                let last = served.or(over.stopped.map(Last::Cut));
                (Some(over), last)
            }
        };

        // What is still out when the final answer is known is given up. Attempts are over, with their connections if they were
        // given up; only now is the module told.
        let given_up: Vec<_> = match last {
            Some(_) => out.drain(..).map(Attempt::give_up).collect(),
            None => Vec::new(),
        };
        if matches!(last, Some(Last::Cut(_))) {
            driver.feed(Event::Gone(ticket.id()));
        }
        if matches!(last, Some(Last::Cut(Cut::ClientLeft))) {
            owed.departed();
        }
        for over in over.into_iter().chain(given_up) {
            if !over.ended.verdict.never_ran() {
                may_have_run = Some(over.member.clone());
            }
            over.tell(driver, ticket.id(), last.is_some());
        }

        // The final answer, if this was it; else the module has been asked again.
        let Some(last) = last else { continue };
        for (member, number) in ticket.unsent().zip(sends) {
            Over::<C::Reply>::unsent(driver, number, member).tell(driver, ticket.id(), true);
        }
        let answer = match last {
            Last::Served(reply) => {
                driver.counters.served.add();
                Final::Served(reply)
            }
            Last::Refused(retry_after) => refused(driver, retry_after),
            Last::Failed => failed(driver, may_have_run),
            Last::Cut(why) => end_early(driver, why, may_have_run),
        };
        return (answer, owed);
    }
}

/// One attempt, and why the request was stopped, if the client or the process stopped it before the first byte.
async fn attempt<C: Carrier, P: Patron>(
    carrier: &C,
    query: &C::Query,
    until: Instant,
    gate: RequestGate<'_, P>,
) -> (Ended<C::Reply>, Option<Cut>) {
    let ended = carrier.attempt(&gate.member, query, until, &gate).await;
    (ended, gate.stopped.get())
}

/// The gate of a request's attempt: it brings together what client, process, settings and module say.
struct RequestGate<'a, P> {
    driver: &'a Driver,
    patron: &'a P,
    request: RequestId,
    attempt: AttemptNo,
    member: MemberId,
    /// When the attempt or its client's time is over.
    until: Time,
    /// The wait as it was ordered.
    ordered: Span,
    copies_allowed: bool,
    effect: Effect,
    /// As of when the attempt was ordered: only fewer are out later, and a second one is ordered with the first known.
    other_attempts: usize,
    may_have_run: bool,
    /// Why the request goes no further, once that was seen.
    stopped: Cell<Option<Cut>>,
    begun: Rc<Cell<bool>>,
}

impl<P: Patron> Gate for RequestGate<'_, P> {
    fn admit(&self, member_in_service: bool) -> Result<Duration, SendDenied> {
        let cut = self.patron.ended();
        self.stopped.set(cut);
        let time_left = self.until - self.driver.clock.now();
        let facts = SendFacts {
            member_in_service,
            client_connected: cut != Some(Cut::ClientLeft),
            process_serving: cut != Some(Cut::ProcessEnds),
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
        let told = if mutants::is_active(Mutant::OrderedDeadline) { self.ordered } else { time_left };
        Ok(duration(told))
    }

    fn began(&self, told: Duration) {
        self.begun.set(true);
        let (request, attempt) = (self.request, self.attempt);
        self.driver
            .check(|now, invariants| invariants.began(now, request, attempt, &self.member, span_of(told)));
        tracing::debug!(target: "requests", request = request.0, attempt = attempt.0, member = &*self.member.0, told_ms = told.as_millis() as u64, "sent");
    }
}

/// An attempt that is out.
struct Attempt<F> {
    number: AttemptNo,
    member: MemberId,
    sent: Time,
    /// Its first byte may have been written.
    begun: Rc<Cell<bool>>,
    /// Out of the request's own state: most clients have none out.
    work: Pin<Box<F>>,
}

impl<F, R> Attempt<F>
where
    F: Future<Output = (Ended<R>, Option<Cut>)>,
{
    /// Closes its connection. One that is given up before its first byte never ran.
    fn give_up(self) -> Over<R> {
        let verdict = if self.begun.get() { Verdict::Cancelled } else { Verdict::Moot };
        self.over(Ended::without_answer(verdict), None)
    }

    fn over(self, ended: Ended<R>, stopped: Option<Cut>) -> Over<R> {
        let Self { number, member, sent, .. } = self;
        Over { number, member, sent, ended, stopped }
    }
}

/// The first of these attempts that ends, the earlier one where two do; never while none is out.
async fn first_to_end<F, R>(out: &mut Vec<Attempt<F>>) -> Over<R>
where
    F: Future<Output = (Ended<R>, Option<Cut>)>,
{
    poll_fn(|context| {
        for at in 0..out.len() {
            if let Poll::Ready((ended, stopped)) = out[at].work.as_mut().poll(context) {
                return Poll::Ready(out.remove(at).over(ended, stopped));
            }
        }
        Poll::Pending
    })
    .await
}

/// An attempt that is over, and nothing of it is out any more.
struct Over<R> {
    number: AttemptNo,
    member: MemberId,
    sent: Time,
    ended: Ended<R>,
    stopped: Option<Cut>,
}

impl<R> Over<R> {
    /// One that was ordered and never begun.
    fn unsent(driver: &Driver, number: AttemptNo, member: MemberId) -> Self {
        driver.counters.sent.add();
        let sent = driver.clock.now();
        Self { number, member, sent, ended: Ended::without_answer(Verdict::Moot), stopped: None }
    }

    /// Tells the module, and whether the client has its final answer.
    fn tell(self, driver: &Driver, request: RequestId, closed: bool) {
        let Self { number: attempt, member, sent, ended, .. } = self;
        let Ended { verdict, note, report, .. } = ended;
        driver.counters.outcome(verdict);
        driver.attempt_ended(request, attempt, verdict);
        let took = driver.clock.now() - sent;
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

fn refused<R>(driver: &Driver, retry_after: Option<Span>) -> Final<R> {
    driver.counters.refused.add();
    Final::Refused(retry_after)
}

fn failed<R>(driver: &Driver, at: Option<MemberId>) -> Final<R> {
    driver.counters.failed.add();
    Final::Failed { at }
}

/// At the end of the process a refusal is an honest answer only to what can't have run.
fn end_early<R>(driver: &Driver, why: Cut, may_have_run: Option<MemberId>) -> Final<R> {
    match why {
        Cut::ClientLeft => {
            driver.counters.gone.add();
            Final::Gone
        }
        Cut::ProcessEnds if may_have_run.is_some() => failed(driver, may_have_run),
        Cut::ProcessEnds => refused(driver, None),
    }
}
