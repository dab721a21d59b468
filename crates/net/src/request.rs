//! The life of a request, from when it is taken to its one final answer. Which protocol carries it is for
//! [`Carrier`] to know.

use super::driver::{Driver, Order};
use crate::config::duration;
use futures_lite::future::or;
use linnetdeal_core::*;
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// What takes an attempt to a member.
pub trait Carrier {
    /// What the client asks, ready to be sent on.
    type Query;
    /// What a member gave for it.
    type Reply;

    /// Makes one attempt and waits no longer than `wait` for its end. Nothing below this may send it again.
    /// When the future ends or is dropped, nothing of the attempt is out any more. In the poll that writes the first byte
    /// to a member that may be sent to, `begins` is asked, once; if it says no, nothing is sent.
    fn attempt(
        &self,
        member: &MemberId,
        query: &Self::Query,
        wait: Duration,
        begins: &dyn Fn() -> bool,
    ) -> impl Future<Output = Ended<Self::Reply>>;
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

enum Turn<R> {
    Ended(Ended<R>),
    Ordered(Order),
    Cut(Cut),
}

/// Serves one request.
pub async fn serve<C: Carrier>(
    driver: &Rc<Driver>,
    carrier: &C,
    asked: &Asked<C::Query>,
    patron: &impl Patron,
) -> Final<C::Reply> {
    let mut cut = pin!(patron.end());
    let mut sends = 0;
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
    loop {
        // It orders an attempt or the final answer, or lets the request wait.
        let order = async { Turn::<C::Reply>::Ordered(ticket.order().await) };
        let left = async { Turn::Cut(cut.as_mut().await) };
        let (member, wait) = match or(order, left).await {
            Turn::Ordered(Order::Send { member, wait }) => (member, wait),
            Turn::Ordered(Order::Refuse { retry_after }) => return refused(driver, retry_after),
            Turn::Ordered(Order::Fail) => return failed(driver, may_have_run),
            Turn::Ordered(Order::Cancel) | Turn::Ended(_) => continue,
            Turn::Cut(why) => {
                driver.feed(Event::Gone(ticket.id()));
                return end_early(driver, why, may_have_run);
            }
        };

        // Sent: an answer that is there goes before the module's recall, and both before the client's leaving. But the client
        // may have left, or the process be about to end, in the same poll as the order came, a connection was proved or a
        // dial came up: that is looked for before the first byte, whatever came before it.
        driver.counters.sent.add();
        let sent = driver.clock.now();
        let (begun, stopped) = (Cell::new(false), Cell::new(None));
        let begins = || {
            stopped.set(patron.ended());
            begun.set(stopped.get().is_none());
            begun.get()
        };
        let turn = {
            let attempt = carrier.attempt(&member, &asked.query, duration(wait), &begins);
            let attempt = async { Turn::Ended(attempt.await) };
            let recall = async { Turn::Ordered(ticket.order().await) };
            let left = async { Turn::Cut(cut.as_mut().await) };
            or(attempt, or(recall, left)).await
        };

        // The attempt is over, with its connection if it was given up; only now is the module told. One that was given up before
        // its first byte never ran.
        let given_up = if begun.get() { Verdict::Cancelled } else { Verdict::Moot };
        let (ended, after) = match turn {
            Turn::Ended(ended) => (ended, stopped.get().map(Err)),
            Turn::Ordered(order) => (Ended::without_answer(given_up), Some(Ok(order))),
            Turn::Cut(why) => (Ended::without_answer(given_up), Some(Err(why))),
        };
        let Ended { verdict, note, report, reply } = ended;
        if !verdict.never_ran() {
            may_have_run = Some(member.clone());
        }
        if matches!(after, Some(Err(_))) {
            driver.feed(Event::Gone(ticket.id()));
        }
        driver.counters.outcome(verdict);
        driver.feed(Event::Outcome(Outcome {
            request: ticket.id(),
            attempt: AttemptNo(sends),
            member,
            verdict,
            note,
            took: driver.clock.now() - sent,
            closed: reply.is_some() || !matches!(after, None | Some(Ok(Order::Cancel))),
            report,
        }));
        sends += 1;

        // The final answer, if this was it; else the module has been asked again.
        match (reply, after) {
            (Some(reply), _) => {
                driver.counters.served.add();
                return Final::Served(reply);
            }
            (None, Some(Ok(Order::Refuse { retry_after }))) => return refused(driver, retry_after),
            (None, Some(Ok(Order::Fail))) => return failed(driver, may_have_run),
            (None, Some(Err(why))) => return end_early(driver, why, may_have_run),
            (None, None | Some(Ok(_))) => {}
        }
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
