//! The life of a request, from when it is taken to its one final answer. Which protocol carries it is for
//! [`Carrier`] to know.

use super::driver::{Driver, Order};
use crate::config::duration;
use futures_lite::future::{or, poll_fn};
use linnetdeal_core::*;
use std::cell::Cell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Where second copies are allowed, so many attempts of a request may be out at once.
const MOST_OUT: usize = 2;

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
    /// A second attempt may be out beside the first: the settings allowed it when the request was taken, and so does its class.
    pub copies: bool,
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

/// Serves one request.
pub async fn serve<C: Carrier>(
    driver: &Rc<Driver>,
    carrier: &C,
    asked: &Asked<C::Query>,
    patron: &impl Patron,
) -> Final<C::Reply> {
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
            Turn::Ordered(Order::Send { member, wait }) => {
                let number = sends.next().unwrap_or(AttemptNo(u32::MAX));
                if out.len() >= most_out {
                    (Some(Over::unsent(driver, number, member)), None)
                } else {
                    driver.counters.sent.add();
                    let sent = driver.clock.now();
                    let begun = Rc::new(Cell::new(false));
                    let (to, begins) = (member.clone(), begun.clone());
                    let work = Box::pin(attempt(carrier, to, &asked.query, duration(wait), patron, begins));
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
        return match last {
            Last::Served(reply) => {
                driver.counters.served.add();
                Final::Served(reply)
            }
            Last::Refused(retry_after) => refused(driver, retry_after),
            Last::Failed => failed(driver, may_have_run),
            Last::Cut(why) => end_early(driver, why, may_have_run),
        };
    }
}

/// One attempt, and why it was stopped if the client or the process stopped it before its first byte.
async fn attempt<C: Carrier>(
    carrier: &C,
    member: MemberId,
    query: &C::Query,
    wait: Duration,
    patron: &impl Patron,
    begun: Rc<Cell<bool>>,
) -> (Ended<C::Reply>, Option<Cut>) {
    let stopped = Cell::new(None);
    let begins = || {
        stopped.set(patron.ended());
        begun.set(stopped.get().is_none());
        begun.get()
    };
    let ended = carrier.attempt(&member, query, wait, &begins).await;
    (ended, stopped.get())
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
        let took = driver.clock.now() - sent;
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
