//! The driver owns the router, feeds it events, and dispatches each of its actions to the addressee: the
//! request that waits for it, the prober, the sender of messages to peers, or the wake timer. It makes no
//! decisions itself.

use super::classes::Classes;
use super::clock::Clock;
use super::counters::Counters;
use super::tenants::Tenants;
use crate::sent_ids::SentIdLog;
use crate::stall::StallDetector;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::{or, poll_fn};
use linnetdeal_core::Router;
use linnetdeal_core::handover::Phase;
use linnetdeal_core::invariants::{Answer, Invariants, RequestContract, ViolationRecord};
use linnetdeal_core::peers::To;
use linnetdeal_core::*;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

/// A wake that is later than this indicates that the process was stalled.
const LATE_WAKE: Span = Span::millis(5);
/// Long enough for one turn of the reactor.
const REACTOR_TURN: Duration = Duration::from_millis(1);

/// An action of the router for one request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestAction {
    /// Start an attempt.
    Send {
        /// Member to send the attempt to.
        member: MemberId,
        /// Time until which to wait for its answer.
        until: Time,
    },
    /// Answer that the request is refused.
    Refuse {
        /// Time after which the client should retry.
        retry_after: Option<Span>,
    },
    /// Answer that the request has failed.
    Fail,
    /// Abandon an attempt.
    Cancel {
        /// Number of the attempt.
        attempt: AttemptNo,
    },
}

/// The router with its clock and a mailbox for each open request.
pub struct Driver {
    /// The clock of all times that the router sees.
    pub clock: Clock,
    /// Counters of the process.
    pub counters: Rc<Counters>,
    /// Detects whether the process has just been stalled.
    pub stall: Rc<StallDetector>,
    /// The ids of requests that may have run and must not run again.
    pub sent_ids: SentIdLog,
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
    /// Creates a driver of `router`. Members to probe go to `probes`, and messages for other poolers to
    /// `peer_messages`.
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
            sent_ids: SentIdLog::default(),
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

    /// Feeds an event to the router and dispatches the actions that result from it.
    pub fn feed(&self, event: Event) {
        // These lines of all poolers together allow a day to be counted over the whole fleet; see
        // docs/design/fleet-scale.md.
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
            // Messages between poolers may get lost anywhere; if the channel is full, this one is dropped here.
            Action::Tell { to, bytes } => drop(self.peer_messages.try_send((to, bytes))),
            // Both channels are unbounded, and their receivers live as long as the process.
            Action::Probe { member } => drop(self.probes.try_send(member)),
            Action::Wake { at } => drop(self.wakes.0.try_send(at)),
            // The list of servers is always followed.
            Action::Subscribe => {}
            Action::Log { line } => tracing::info!(target: "decisions", "{line}"),
        }
    }

    fn log_given_up(&self, request: RequestId, how: &str) {
        let why = self.router.borrow().given_up().reason_for(request);
        tracing::debug!(target: "requests", request = request.0, ?why, "{how} by the module");
    }

    /// Actions for a request that has ended, and has no mailbox any more, are dropped.
    fn post_action(&self, request: RequestId, action: RequestAction) {
        if let Some(mailbox) = self.mailboxes.borrow().get(&request) {
            mailbox.post(action);
        }
    }

    /// Applies new settings. `classes` and `tenants` get all classes and tenants of every version so far, with
    /// the numbers of those that are current. Returns false, with nothing changed, if there are too many in
    /// total.
    pub fn update_settings(
        &self,
        mut settings: Settings,
        classes: &Classes,
        tenants: &Tenants,
        longest_deadline: Duration,
    ) -> bool {
        let merged = retune::merge_classes(self.router.borrow().classes(), &settings.classes);
        let Some((all_classes, current_classes)) = merged else { return false };
        let Some((all_tenants, current_tenants)) = retune::merge_tenants(&tenants.all(), &settings.tenants)
        else {
            return false;
        };
        classes.set(&all_classes, current_classes, longest_deadline, settings.second_copies);
        tenants.set(&all_tenants, current_tenants);
        (settings.classes, settings.tenants) = (all_classes, all_tenants);
        self.invariants.borrow_mut().set_drain_grace(settings.drain_grace);
        self.router.borrow_mut().update_settings(settings);
        true
    }

    /// Whether a member's data is recent enough for a request that would be sent now.
    #[must_use]
    pub fn is_fresh(&self, request: RequestId, member: &MemberId) -> bool {
        self.router.borrow().is_fresh(self.clock.now(), request, member)
    }

    /// What [`Driver::is_fresh`] compares; `None` if the request has ended or the member is not known.
    #[must_use]
    pub fn freshness(&self, request: RequestId, member: &MemberId) -> Option<Freshness> {
        self.router.borrow().freshness(self.clock.now(), request, member)
    }

    /// Records something in the run-time check of the invariants and logs the violations that it finds.
    pub fn check(&self, record: impl FnOnce(Time, &mut Invariants) -> Vec<ViolationRecord>) {
        let violations = record(self.clock.now(), &mut self.invariants.borrow_mut());
        for violation in violations {
            tracing::warn!(target: "invariants", "violated: {violation}");
        }
    }

    /// Records that the request's client is to receive an answer.
    pub(crate) fn expect_answer(
        self: &Rc<Self>,
        request: RequestId,
        promise: RequestContract,
    ) -> PendingAnswer {
        self.invariants.borrow_mut().request_accepted(request, promise);
        PendingAnswer { driver: self.clone(), request }
    }

    pub(crate) fn attempt_ended(&self, request: RequestId, attempt: AttemptNo, verdict: Verdict) {
        self.invariants.borrow_mut().attempt_ended(request, attempt, verdict);
    }

    /// Updates the run-time check about withdrawn members before the router processes the event.
    fn track_members(&self, event: &Event) {
        let Event::List(listing) = event else { return };
        let (now, mut invariants) = (self.clock.now(), self.invariants.borrow_mut());
        match listing {
            Listing::Full(entries) | Listing::Changes(entries) => {
                for entry in entries {
                    invariants.set_member(now, &entry.member, entry.state == ListState::Healthy);
                }
            }
            Listing::Forgotten(members) => members.iter().for_each(|member| invariants.forget_member(member)),
            Listing::Failed => {}
        }
    }

    /// Opens a mailbox under a new id and feeds the request that `make_request` builds with it to the router.
    pub fn register_request(
        self: &Rc<Self>,
        make_request: impl FnOnce(RequestId, Time) -> Request,
    ) -> RequestHandle {
        let id = RequestId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        let mailbox = Rc::new(Mailbox::default());
        self.mailboxes.borrow_mut().insert(id, mailbox.clone());
        self.counters.taken.add();
        self.feed(Event::Request(make_request(id, self.clock.now())));
        RequestHandle { driver: self.clone(), id, mailbox }
    }

    /// Wakes the router at the times it asks for. A later wake time replaces an earlier one: the router asks
    /// for a new one only if it is sooner, or if the earlier one has passed.
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
                // Requests whose answers are already readable are to read them before the router counts them as
                // overdue. Tasks that were woken in the same turn of the reactor run first; if this process was
                // stalled, the reactor gets another turn to find what became readable.
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
    /// The members that are regarded as primaries, by group, and the groups whose primary is changing.
    #[must_use]
    pub fn primaries(&self) -> (HashMap<GroupId, MemberId>, Vec<GroupId>) {
        let router = self.router.borrow();
        let (mut primaries, mut changing) = (HashMap::new(), Vec::new());
        for (group, tracker) in router.primaries() {
            if let Some(mark) = tracker.mark() {
                primaries.insert(group, mark.clone());
            }
            if matches!(tracker.phase(), Phase::Without | Phase::Found | Phase::Releasing) {
                changing.push(group);
            }
        }
        (primaries, changing)
    }
}

/// The answer that a client is to receive. Dropping it before the answer was written, with the client still
/// connected, is a violation of an invariant.
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

    /// The first bytes of a large answer are written now.
    pub fn begun(&self) {
        self.driver.check(|now, invariants| {
            invariants.large_answer_begun(now, self.request);
            Vec::new()
        });
    }

    /// The last byte of the answer was written.
    pub fn answered(&self, how: Answer) {
        self.driver.check(|now, invariants| invariants.request_answered(now, self.request, how));
    }

    /// The client has left or its connection has failed: no answer can be delivered.
    pub fn client_left(&self) {
        self.driver.check(|now, invariants| {
            invariants.client_departed(now, self.request);
            Vec::new()
        });
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.driver.check(|now, invariants| invariants.request_closed(now, self.request));
    }
}

/// Prints the counters of the run-time check as one line.
pub struct InvariantsReport(pub Rc<Driver>);

impl fmt::Display for InvariantsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {}", self.0.invariants.borrow(), self.0.router.borrow().given_up())
    }
}

/// Prints how many commits of sessions are remembered and were evicted.
pub struct SessionsReport(pub Rc<Driver>);

impl fmt::Display for SessionsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.router.borrow().sessions().fmt(f)
    }
}

/// Prints the state of each group's primary with its latest changes.
impl fmt::Display for Driver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "changes of primary")?;
        for (group, tracker) in self.router.borrow().primaries() {
            let mark = tracker.mark().map_or("-", |mark| &mark.0);
            write!(f, "; group {}: {:?} at {mark}, {}", group.0, tracker.phase(), tracker.record)?;
        }
        Ok(())
    }
}

/// Actions for a request that it has not taken yet. There are at most five: with two attempts running, the
/// router orders nothing but their cancellation and the final answer until it has been notified of the end of
/// one. An async channel would also work, but takes two kilobytes per request.
#[derive(Default)]
struct Mailbox {
    actions: RefCell<VecDeque<RequestAction>>,
    /// The waker of the request's own task, the only one that waits.
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

    /// Waits for the next action for the request.
    pub async fn next_action(&self) -> RequestAction {
        self.mailbox.next_action().await
    }

    /// Takes the members of attempts that were ordered but not started because the request had ended.
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
