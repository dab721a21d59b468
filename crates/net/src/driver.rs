//! The driver: it owns the module, feeds it what happens, and hands each action to whom it concerns: the
//! request that is waiting for it, the prober, or the wake timer. It decides nothing.

use super::classes::Classes;
use super::clock::Clock;
use super::counters::Counters;
use super::tenants::Tenants;
use crate::stall::StallDetector;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::{or, poll_fn};
use linnetdeal_core::Router;
use linnetdeal_core::handover::Phase;
use linnetdeal_core::invariants::{Answer, Breach, Invariants, Promise};
use linnetdeal_core::peers::To;
use linnetdeal_core::*;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

/// A wake later than this tells that the process stood still.
const LATE_WAKE: Span = Span::millis(5);
/// Long enough for one turn of the reactor.
const REACTOR_TURN: Duration = Duration::from_millis(1);

/// What the module wants done for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestAction {
    /// Start an attempt.
    Send {
        /// Where to.
        member: MemberId,
        /// Until when to wait for its answer.
        until: Time,
    },
    /// Answer that it is refused.
    Refuse {
        /// When the client should come back.
        retry_after: Option<Span>,
    },
    /// Answer that it has failed.
    Fail,
    /// Give an attempt up.
    Cancel {
        /// Which.
        attempt: AttemptNo,
    },
}

/// The module with its clock and mailboxes.
pub struct Driver {
    /// The clock that all of the module's times are on.
    pub clock: Clock,
    /// What is counted.
    pub counters: Rc<Counters>,
    /// Whether the process has just stood still.
    pub stall: Rc<StallDetector>,
    router: RefCell<Router>,
    actions: RefCell<Vec<Action>>,
    mailboxes: RefCell<HashMap<RequestId, Rc<Mailbox>>>,
    last_id: Cell<u64>,
    wakes: (Sender<Time>, Receiver<Time>),
    probes: Sender<MemberId>,
    peer_messages: Sender<(To, Vec<u8>)>,
    invariants: RefCell<Invariants>,
}

impl Driver {
    /// A driver of `router`; members to probe go to `probes`, and what other poolers are told to `tells`.
    #[must_use]
    pub fn new(
        router: Router,
        counters: Rc<Counters>,
        probes: Sender<MemberId>,
        peer_messages: Sender<(To, Vec<u8>)>,
    ) -> Self {
        let invariants = RefCell::new(Invariants::new(router.drain_grace()));
        Self {
            clock: Clock::start(),
            counters,
            stall: Rc::default(),
            router: RefCell::new(router),
            actions: RefCell::default(),
            mailboxes: RefCell::default(),
            last_id: Cell::new(0),
            wakes: async_channel::unbounded(),
            probes,
            peer_messages,
            invariants,
        }
    }

    /// Tells the module what has happened and passes its actions on.
    pub fn feed(&self, event: Event) {
        // With these lines of all poolers a day is counted over the whole fleet; see docs/design/fleet-scale.md.
        tracing::debug!(target: "events", "{event:?}");
        self.stall.record_activity();
        self.track_members(&event);
        let mut actions = self.actions.take();
        self.router.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.dispatch(action);
        }
        self.actions.replace(actions);
    }

    fn dispatch(&self, action: Action) {
        tracing::debug!(target: "actions", "{action:?}");
        match action {
            Action::Send { request, member, timeout } => {
                self.post_action(request, RequestAction::Send { member, until: self.clock.now() + timeout });
            }
            Action::Refuse { request, retry_after } => {
                self.log_given_up(request, "refused");
                self.post_action(request, RequestAction::Refuse { retry_after });
            }
            Action::Fail { request } => {
                self.log_given_up(request, "failed");
                self.post_action(request, RequestAction::Fail);
            }
            Action::Cancel { request, attempt } => {
                self.post_action(request, RequestAction::Cancel { attempt })
            }
            // A message may get lost anywhere; where there is no room, it is here.
            Action::Tell { to, bytes } => drop(self.peer_messages.try_send((to, bytes))),
            // Both channels are unbounded, and their other ends live as long as the process.
            Action::Probe { member } => drop(self.probes.try_send(member)),
            Action::Wake { at } => drop(self.wakes.0.try_send(at)),
            // The list is always followed.
            Action::Subscribe => {}
            Action::Log { line } => tracing::info!(target: "decisions", "{line}"),
        }
    }

    fn log_given_up(&self, request: RequestId, how: &str) {
        let why = self.router.borrow().given_up().reason_for(request);
        tracing::debug!(target: "requests", request = request.0, ?why, "{how} by the module");
    }

    /// A request that has ended already has no mailbox; an order for it is void.
    fn post_action(&self, request: RequestId, action: RequestAction) {
        if let Some(mailbox) = self.mailboxes.borrow().get(&request) {
            mailbox.post(action);
        }
    }

    /// Goes by these settings from now on, and gives all classes and tenants with the numbers of the present ones; false,
    /// with nothing changed, if there are too many by now.
    pub fn retune(
        &self,
        mut settings: Settings,
        classes: &Classes,
        tenants: &Tenants,
        longest_deadline: Duration,
    ) -> bool {
        let merged = retune::merge_classes(self.router.borrow().classes(), &settings.classes);
        let Some((all, present)) = merged else { return false };
        let Some((shares, named)) = retune::merge_tenants(&tenants.all(), &settings.tenants) else {
            return false;
        };
        classes.set(&all, present, longest_deadline, settings.second_copies);
        tenants.set(&shares, named);
        (settings.classes, settings.tenants) = (all, shares);
        self.invariants.borrow_mut().set_drain_grace(settings.drain_grace);
        self.router.borrow_mut().update_settings(settings);
        true
    }

    /// Whether a member's data is recent enough for a request, if it was sent now.
    #[must_use]
    pub fn is_fresh(&self, request: RequestId, member: &MemberId) -> bool {
        self.router.borrow().is_fresh(self.clock.now(), request, member)
    }

    /// Tells the run-time check of something, and reports what that breaks.
    pub fn check(&self, event: impl FnOnce(Time, &mut Invariants) -> Vec<Breach>) {
        let breaches = event(self.clock.now(), &mut self.invariants.borrow_mut());
        for breach in breaches {
            tracing::warn!(target: "invariants", "violated: {breach}");
        }
    }

    /// A request's client is pending_answer an answer from now on.
    pub(crate) fn expect_answer(self: &Rc<Self>, request: RequestId, promise: Promise) -> PendingAnswer {
        self.invariants.borrow_mut().taken(request, promise);
        PendingAnswer { driver: self.clone(), request }
    }

    pub(crate) fn attempt_ended(&self, request: RequestId, attempt: AttemptNo, verdict: Verdict) {
        self.invariants.borrow_mut().ended(request, attempt, verdict);
    }

    /// The run-time check hears of who is withdrawn before the module does.
    fn track_members(&self, event: &Event) {
        let Event::List(listing) = event else { return };
        let (now, mut invariants) = (self.clock.now(), self.invariants.borrow_mut());
        match listing {
            Listing::Full(entries) | Listing::Changes(entries) => {
                for entry in entries {
                    invariants.member(now, &entry.member, entry.state == ListState::Healthy);
                }
            }
            Listing::Forgotten(members) => members.iter().for_each(|member| invariants.forget(member)),
            Listing::Failed => {}
        }
    }

    /// Opens a mailbox under a new id, and tells the module of the request that `event` makes with it.
    pub fn register_request(
        self: &Rc<Self>,
        event: impl FnOnce(RequestId, Time) -> Request,
    ) -> RequestHandle {
        let id = RequestId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        let mailbox = Rc::new(Mailbox::default());
        self.mailboxes.borrow_mut().insert(id, mailbox.clone());
        self.counters.taken.add();
        self.feed(Event::Request(event(id, self.clock.now())));
        RequestHandle { driver: self.clone(), id, mailbox }
    }

    /// Wakes the module when it asked for it. A later wish takes the place of an earlier one: the module
    /// voices one only if it is sooner, or the earlier has passed.
    pub async fn run_wakes(&self) {
        let mut due: Option<Time> = None;
        loop {
            let next = async { self.wakes.1.recv().await.ok() };
            let wake_due = async {
                match due {
                    Some(at) => {
                        let _ = Timer::at(self.clock.instant(at)).await;
                    }
                    None => std::future::pending().await,
                }
                None
            };
            let previous = due;
            due = or(next, wake_due).await;
            if due.is_none() {
                // Requests whose answers are readable by now get to read them before the module counts
                // them as overdue. The tasks that the same turn of the reactor woke come first; and where
                // this process itself stood still, the reactor gets another turn to find them.
                if previous.is_some_and(|at| self.clock.now() - at > LATE_WAKE) {
                    Timer::after(REACTOR_TURN).await;
                }
                futures_lite::future::yield_now().await;
                self.feed(Event::Wake);
            }
        }
    }
}

impl Driver {
    /// The members that are held to be primaries, by group, and the groups where that changes.
    #[must_use]
    pub fn primaries(&self) -> (HashMap<GroupId, MemberId>, Vec<GroupId>) {
        let router = self.router.borrow();
        let (mut primaries, mut changing) = (HashMap::new(), Vec::new());
        for (group, change) in router.primaries() {
            if let Some(mark) = change.mark() {
                primaries.insert(group, mark.clone());
            }
            if matches!(change.phase(), Phase::Without | Phase::Found | Phase::Releasing) {
                changing.push(group);
            }
        }
        (primaries, changing)
    }
}

/// The answer that a client is pending_answer. Dropped before it was written, with the client still there, it is a violation.
pub struct PendingAnswer {
    driver: Rc<Driver>,
    request: RequestId,
}

impl PendingAnswer {
    /// The request's id.
    #[must_use]
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// The last byte of the answer was written.
    pub fn answered(&self, how: Answer) {
        self.driver.check(|now, invariants| invariants.answered(now, self.request, how));
    }

    /// The client has left, or its connection has failed: nobody is there to be told.
    pub fn client_left(&self) {
        self.driver.check(|now, invariants| {
            invariants.departed(now, self.request);
            Vec::new()
        });
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.driver.check(|now, invariants| invariants.closed(now, self.request));
    }
}

/// What the run-time check has counted, as one line of what is shown.
pub struct InvariantsReport(pub Rc<Driver>);

impl fmt::Display for InvariantsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {}", self.0.invariants.borrow(), self.0.router.borrow().given_up())
    }
}

/// What is known of each group's primary, with its latest turns.
impl fmt::Display for Driver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "changes of primary")?;
        for (group, change) in self.router.borrow().primaries() {
            let mark = change.mark().map_or("-", |mark| &mark.0);
            write!(f, "; group {}: {:?} at {mark}, {}", group.0, change.phase(), change.record)?;
        }
        Ok(())
    }
}

/// The orders for a request that it has not taken yet: five at most, since with two attempts out the module orders nothing
/// more but the final answer, and their end, before it has heard of the end of one. A channel would do, for two kilobytes a
/// request.
#[derive(Default)]
struct Mailbox {
    actions: RefCell<VecDeque<RequestAction>>,
    /// Who waits for one: only the request's own task does.
    waiting: Cell<Option<Waker>>,
}

impl Mailbox {
    fn post(&self, action: RequestAction) {
        self.actions.borrow_mut().push_back(action);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    async fn next_action(&self) -> RequestAction {
        poll_fn(|context| match self.actions.borrow_mut().pop_front() {
            Some(action) => Poll::Ready(action),
            None => {
                self.waiting.set(Some(context.waker().clone()));
                Poll::Pending
            }
        })
        .await
    }
}

/// A request's side of its mailbox.
pub struct RequestHandle {
    driver: Rc<Driver>,
    id: RequestId,
    mailbox: Rc<Mailbox>,
}

impl RequestHandle {
    /// The request's id.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// The next order for the request.
    pub async fn next_action(&self) -> RequestAction {
        self.mailbox.next_action().await
    }

    /// Takes the members that attempts were ordered to and not begun: the request has ended before.
    pub fn take_unsent(&self) -> impl Iterator<Item = MemberId> {
        let actions = self.mailbox.actions.take();
        actions.into_iter().filter_map(|action| match action {
            RequestAction::Send { member, .. } => Some(member),
            _ => None,
        })
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.driver.mailboxes.borrow_mut().remove(&self.id);
    }
}
