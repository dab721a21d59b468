//! The leases of this pooler: runs the lease node of `linnetdeal-coordination`, and makes the calls of tasks
//! whose holder calls an address. Datagrams are sent and received by the socket of `peers.rs`.

use crate::clock;
use crate::config::duration;
use crate::counters::Count;
use crate::driver::Driver;
use crate::flag::Flag;
use crate::members::Members;
use crate::probes::probe;
use crate::upstream::Pool;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use linnetdeal_coordination::lease::{
    DatagramError, FullLeaseRules, LeaseEvent, LeaseSetup, Node, PoolerInstance, Position, TaskId, TaskSetup,
    Token,
};
use linnetdeal_coordination::work;
use linnetdeal_core::peers::To;
use linnetdeal_core::{Event as RouterEvent, Field, GroupId, ListState, MemberId, Span, Verdict};
use serde_json::json;
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of datagrams waiting to be sent; further ones are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 512;
/// Timeout of a holder's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a pooler that does not hold a task checks for it, in case it missed a notification.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The header with the fencing token of a call; in a response, the highest token that the receiver has seen.
const TOKEN_HEADER: &str = "fencing-token";

/// Options for leases, from the operator's file.
pub struct LeaseOptions {
    /// The lease node's setup.
    pub setup: LeaseSetup,
    /// The calls made by holders.
    pub calls: Vec<HolderCall>,
    /// The lease term and polling interval if one pooler per group polls the members' replication positions.
    pub positions: Option<(Duration, Duration)>,
}

/// Polling of replication positions: one pooler per group probes the members and publishes the positions to the
/// other poolers.
pub(crate) struct PositionPolling {
    pub(crate) term: Duration,
    pub(crate) interval: Duration,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) driver: Rc<Driver>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) members: Rc<Members>,
}

impl PositionPolling {
    /// The index of a field in load reports, by the current settings.
    fn field_index(&self, field: Field) -> Option<usize> {
        self.pool.report_fields().iter().position(|report_field| *report_field == field)
    }

    /// Applies positions published by a holder, as load reports of the members. A position only grows, so that
    /// it stays a valid lower bound however late it arrives. A member that checks the position required by a
    /// request rejects one that was overstated.
    fn apply(&self, published: &[Position]) {
        if published.is_empty() {
            return;
        }
        let members = self.members.all();
        for published_position in published {
            let member =
                members.iter().map(|(id, _)| id).find(|id| TaskId::of(&id.0) == published_position.member);
            let (Some(member), Some(index)) = (member, self.field_index(Field::Position)) else { continue };
            let mut report = vec![f64::NAN; self.pool.report_fields().len()];
            report[index] = published_position.position as f64 / 1e6;
            if let Some(index) = self.field_index(Field::Primary) {
                report[index] = f64::from(u8::from(published_position.primary));
            }
            let (member, report) = (member.clone(), Some(report));
            self.driver.feed(RouterEvent::Probed { member, verdict: Verdict::Ok, took: Span(0), report });
        }
    }

    /// The position in a member's load report, for publishing.
    fn extract(&self, member: &MemberId, report: &[f64]) -> Option<Position> {
        let position = *report.get(self.field_index(Field::Position)?)?;
        let primary = self
            .field_index(Field::Primary)
            .and_then(|field_at| report.get(field_at))
            .is_some_and(|role| *role >= 0.5);
        // Rounded down, so that no position is overstated.
        let position_entry =
            Position { member: TaskId::of(&member.0), position: (position * 1e6).floor() as i64, primary };
        position.is_finite().then_some(position_entry)
    }
}

/// A call that a task's holder makes periodically. Each act consists of a call at its begin and one at its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCall {
    /// The task's name.
    pub task: String,
    /// The address that is called.
    pub address: SocketAddr,
    /// The path of the request.
    pub path: String,
    /// The pause between two acts.
    pub interval: Duration,
    /// The time from the begin of an act to its end.
    pub act_duration: Duration,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    /// It was carried out, or it is unknown whether it was.
    Done,
    /// The receiver rejected it, since it has seen this later token.
    Superseded(Token),
    /// Nothing was sent, since the task is no longer held.
    NotSent,
}

/// The leases of this pooler.
pub struct Leases {
    node: RefCell<Node<FullLeaseRules>>,
    me: PoolerInstance,
    /// The names of the tasks by their ids.
    task_names: RefCell<BTreeMap<TaskId, String>>,
    /// Datagrams waiting to be sent.
    outbox: RefCell<VecDeque<(To, Vec<u8>)>>,
    outbox_filled: Event,
    /// Notified when a message arrived or a lease changed.
    changed: Event,
    /// Raised once the pooler has released its leases at shutdown.
    has_left: Flag,
    sent: Count,
    received: Count,
    /// Rejected datagrams by reason, in the order of [`counter_index`].
    rejected: [Count; 7],
    acts: Count,
    acts_rejected: Count,
    positions_sent: Count,
    positions_received: Count,
    polling: RefCell<Option<Rc<PositionPolling>>>,
}

impl Leases {
    /// Creates the lease node of this pooler.
    #[must_use]
    pub fn new(setup: LeaseSetup) -> Self {
        let task_names = setup.tasks.iter().map(|task| (TaskId::of(&task.name), task.name.clone())).collect();
        Self {
            me: setup.me,
            node: RefCell::new(Node::new(clock::steady(), setup)),
            task_names: RefCell::new(task_names),
            outbox: RefCell::default(),
            outbox_filled: Event::new(),
            changed: Event::new(),
            has_left: Flag::default(),
            sent: Count::default(),
            received: Count::default(),
            rejected: Default::default(),
            acts: Count::default(),
            acts_rejected: Count::default(),
            positions_sent: Count::default(),
            positions_received: Count::default(),
            polling: RefCell::default(),
        }
    }

    /// The current fencing token, if this pooler holds the task. To be checked before each act and after each wait.
    #[must_use]
    pub fn holds(&self, task: TaskId) -> Option<Token> {
        self.node.borrow().holds(clock::steady(), task)
    }

    /// To be called once this process has opened the peer socket. Until then another process may have used it.
    pub(crate) fn socket_opened(&self) {
        self.node.borrow_mut().socket_opened(clock::steady(), clock::wall_ms());
        self.changed.notify(usize::MAX);
    }

    /// Processes a datagram received from the address of a pooler.
    pub(crate) fn receive(&self, from: u32, bytes: &[u8]) {
        let Ok(from) = u16::try_from(from) else { return };
        let outcome = self.node.borrow_mut().receive(clock::steady(), from, bytes);
        match outcome {
            Ok(()) => self.received.add(),
            Err(datagram_error) => self.rejected[counter_index(datagram_error)].add(),
        }
        let published = self.node.borrow_mut().take_positions();
        let polling = self.polling.borrow().clone();
        if let Some(polling) = polling {
            published.iter().for_each(|_| self.positions_received.add());
            polling.apply(&published);
        }
        self.flush();
    }

    /// Runs the node's timers; never returns.
    pub(crate) async fn run(&self) {
        loop {
            let changed = self.changed.listen();
            let delay = self.node.borrow().due() - clock::steady();
            if delay.0 > 0 {
                let timer = async {
                    let _ = Timer::after(duration(delay)).await;
                };
                or(timer, changed).await;
            }
            let now = clock::steady();
            if self.node.borrow().due() <= now {
                self.node.borrow_mut().tick(now);
                self.flush();
            }
        }
    }

    /// Waits for the next datagram to be sent; `None` once this pooler has left and the queue is empty.
    pub(crate) async fn next_datagram(&self) -> Option<(To, Vec<u8>)> {
        loop {
            let filled = self.outbox_filled.listen();
            if let Some(datagram) = self.outbox.borrow_mut().pop_front() {
                return Some(datagram);
            }
            if self.has_left.is_up() {
                return None;
            }
            filled.await;
        }
    }

    /// Counts a datagram that was sent or dropped by the socket.
    pub(crate) fn datagram_sent(&self) {
        self.sent.add();
    }

    /// Releases all tasks, reserving them for the newer process of this pooler if it was replaced, and waits
    /// briefly until the queue is sent.
    pub(crate) async fn leave(&self, replaced: bool) {
        self.node.borrow_mut().leave(clock::steady(), replaced);
        self.flush();
        for _ in 0..50 {
            if self.outbox.borrow().is_empty() {
                break;
            }
            Timer::after(Duration::from_millis(2)).await;
        }
        self.has_left.raise();
        self.outbox_filled.notify(usize::MAX);
    }

    /// The holders of the tasks and the times since voters were last heard, as JSON.
    pub(crate) fn status_json(&self) -> String {
        let now = clock::steady();
        let node = self.node.borrow();
        let tasks: Vec<_> = node
            .view(now)
            .into_iter()
            .map(|task| {
                let holder = task.holder.map(|held| {
                    json!({"pooler": held.instance.number, "life": format!("{:016x}", held.instance.incarnation),
                           "token": held.token.0, "left_ms": held.remaining.0 / 1_000})
                });
                let own = task
                    .own
                    .map(|(token, remaining)| json!({"token": token.0, "left_ms": remaining.0 / 1_000}));
                json!({"task": task.name, "holder": holder, "own": own, "highest": task.highest.0})
            })
            .collect();
        let voters = node.last_heard(now).into_iter();
        let voters: Vec<_> = voters
            .map(|(voter, age)| json!({"pooler": voter, "heard_ms_ago": age.map(|age| age.0 / 1_000)}))
            .collect();
        json!({"tasks": tasks, "voters": voters, "silent": node.is_silent(now)}).to_string()
    }

    /// Executes an operator's command: `acquire`, `release`, or `hand` over to the pooler `successor`.
    ///
    /// # Errors
    ///
    /// When the task is unknown or not held by this pooler; with a message for the operator.
    pub(crate) fn operator_command(
        &self,
        task_name: &str,
        command: &str,
        successor: Option<u16>,
    ) -> Result<String, String> {
        let task = TaskId::of(task_name);
        if !self.task_names.borrow().contains_key(&task) {
            return Err(format!("no task is called {task_name}"));
        }
        let now = clock::steady();
        let result = if command == "acquire" {
            self.node.borrow_mut().acquire(now, task);
            Ok("asking for it".to_owned())
        } else {
            let released_token = self.node.borrow_mut().release(now, task, successor);
            let token = released_token.ok_or_else(|| format!("{task_name} is not this pooler's"))?;
            let recipient =
                successor.map_or("free".to_owned(), |successor| format!("for pooler {successor}"));
            Ok(format!("given up with token {}, {recipient}", token.0))
        };
        self.flush();
        result
    }

    /// Polls the members of each group whose task this pooler holds, and publishes their positions; never returns.
    pub(crate) async fn poll_members(self: Rc<Self>, polling: Rc<PositionPolling>) {
        *self.polling.borrow_mut() = Some(polling.clone());
        loop {
            Timer::after(polling.interval).await;
            let mut groups: BTreeMap<GroupId, Vec<MemberId>> = BTreeMap::new();
            for (id, member_info) in polling.members.all() {
                if member_info.state == ListState::Healthy {
                    groups.entry(member_info.group).or_default().push(id);
                }
            }
            for (group, members) in groups {
                let name = format!("positions/{}", group.0);
                let (task, term) = (TaskId::of(&name), crate::config::span_of(polling.term));
                let setup = TaskSetup { name: name.clone(), term, wanted: true };
                if !self.task_names.borrow().contains_key(&task) {
                    if !self.node.borrow_mut().add(clock::steady(), setup) {
                        continue;
                    }
                    self.task_names.borrow_mut().insert(task, name);
                }
                if self.holds(task).is_some() {
                    let leases = self.clone();
                    let (group_polling, executor) = (polling.clone(), polling.executor.clone());
                    executor
                        .spawn(async move { leases.poll_group(&group_polling, task, members).await })
                        .detach();
                }
            }
        }
    }

    /// Probes the members of one group and publishes their positions.
    async fn poll_group(&self, polling: &Rc<PositionPolling>, task: TaskId, members: Vec<MemberId>) {
        let probe_member = |member: MemberId| {
            let source = polling.clone();
            polling.executor.spawn(async move {
                let report = probe(&source.driver, &source.pool, member.clone()).await;
                report.and_then(|report| source.extract(&member, &report))
            })
        };
        let probe_tasks: Vec<_> = members.into_iter().map(probe_member).collect();
        let mut reported = Vec::new();
        for probe_task in probe_tasks {
            reported.extend(probe_task.await);
        }
        reported.iter().for_each(|_| self.positions_sent.add());
        self.node.borrow_mut().publish_positions(clock::steady(), task, &reported);
        self.flush();
    }

    /// Makes a task's calls while this pooler holds the task; never returns.
    pub(crate) async fn run_calls(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>, call: HolderCall) {
        let task = TaskId::of(&call.task);
        loop {
            let changed = self.changed.listen();
            let Some(token) = self.holds(task) else {
                or(changed, async {
                    let _ = Timer::after(HOLDER_POLL_INTERVAL).await;
                })
                .await;
                continue;
            };
            for (delay, step) in [(Duration::ZERO, "begin"), (call.act_duration, "end")] {
                if !delay.is_zero() {
                    Timer::after(delay).await;
                }
                let timed_out = async {
                    let _ = Timer::after(CALL_TIMEOUT).await;
                    Ok(CallOutcome::Done)
                };
                let outcome = or(self.send_call(&executor, &call, task, token, step), timed_out).await;
                match outcome {
                    Ok(CallOutcome::Done) => self.acts.add(),
                    Ok(CallOutcome::NotSent) => break,
                    Ok(CallOutcome::Superseded(highest)) => {
                        self.acts_rejected.add();
                        tracing::warn!(
                            "leases: {} was turned away with token {}, {} was seen there",
                            call.task,
                            token.0,
                            highest.0
                        );
                        let mut node = self.node.borrow_mut();
                        node.observe_token(clock::steady(), task, highest);
                        node.release(clock::steady(), task, None);
                        drop(node);
                        self.flush();
                        break;
                    }
                    Err(error) => {
                        tracing::debug!("leases: {} at {}: {error}", call.task, call.address);
                        break;
                    }
                }
            }
            Timer::after(call.interval).await;
        }
    }

    /// Makes one call with the fencing token, unless the task is no longer held.
    async fn send_call(
        &self,
        executor: &LocalExecutor<'static>,
        call: &HolderCall,
        task: TaskId,
        token: Token,
        step: &str,
    ) -> Result<CallOutcome, Box<dyn std::error::Error>> {
        let stream = Async::<TcpStream>::connect(call.address).await?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await?;
        let connection_task = executor.spawn(connection);
        let request = Request::post(&call.path)
            .header("host", call.address.to_string())
            .header("connection", "close")
            .header("task", &call.task)
            .header("step", step)
            .header("pooler", format!("{}/{:016x}", self.me.number, self.me.incarnation))
            .header(TOKEN_HEADER, token.0)
            .body(Empty::<Bytes>::new())?;
        // Checked after the last wait and before the first byte is sent. From here on only the receiver can
        // reject an outdated token.
        if self.holds(task) != Some(token) {
            return Ok(CallOutcome::NotSent);
        }
        let answer: Response<_> = sender.send_request(request).await?;
        drop(connection_task);
        if answer.status() != StatusCode::CONFLICT {
            return Ok(CallOutcome::Done);
        }
        let highest = answer.headers().get(TOKEN_HEADER).and_then(|text| text.to_str().ok()?.parse().ok());
        Ok(CallOutcome::Superseded(Token(highest.unwrap_or(token.0))))
    }

    /// Takes the received messages about maintenance work.
    pub(crate) fn take_work_messages(&self) -> Vec<(PoolerInstance, work::Message)> {
        self.node.borrow_mut().take_work_messages()
    }

    /// Sends messages about maintenance work.
    pub(crate) fn send_work(&self, messages: Vec<(To, work::Message)>) {
        if messages.is_empty() {
            return;
        }
        let mut node = self.node.borrow_mut();
        messages.into_iter().for_each(|(to, message)| node.send_work(to, message));
        drop(node);
        self.flush();
    }

    /// The number of the pooler that holds a task, as far as is known.
    pub(crate) fn holder(&self, name: &str) -> Option<u16> {
        let task_views = self.node.borrow().view(clock::steady());
        task_views.into_iter().find(|task| task.name == name)?.holder.map(|holder| holder.instance.number)
    }

    /// Releases all tasks and stops being a candidate, or becomes a candidate again for the tasks in
    /// `candidate_for`.
    pub(crate) fn abstain(&self, withdraw: bool, candidate_for: &[TaskId]) {
        let now = clock::steady();
        let tasks: Vec<TaskId> = self.task_names.borrow().keys().copied().collect();
        let mut node = self.node.borrow_mut();
        for task in tasks {
            if withdraw {
                node.abstain(now, task);
            } else if candidate_for.contains(&task) {
                node.acquire(now, task);
            }
        }
        drop(node);
        self.flush();
    }

    /// Returns a listener that is notified when a message arrived or a lease changed.
    pub(crate) fn listen_for_changes(&self) -> event_listener::EventListener {
        self.changed.listen()
    }

    /// Queues the node's outgoing datagrams and logs its events.
    fn flush(&self) {
        let mut node = self.node.borrow_mut();
        let (datagrams, events) = (node.take_datagrams(), node.take_events());
        drop(node);
        let mut queue = self.outbox.borrow_mut();
        for datagram in datagrams {
            if queue.len() < MAX_QUEUED_DATAGRAMS {
                queue.push_back(datagram);
            }
        }
        if !queue.is_empty() {
            self.outbox_filled.notify(1);
        }
        drop(queue);
        for event in events {
            let names = self.task_names.borrow();
            let task_name = |task: TaskId| names.get(&task).map_or("", String::as_str);
            match event {
                LeaseEvent::Gained(task, token) => {
                    tracing::info!("leases: {} gained, token {}", task_name(task), token.0)
                }
                LeaseEvent::Lost(task, token) => {
                    tracing::info!("leases: {} lost, token {}", task_name(task), token.0)
                }
                LeaseEvent::Released(task, token) => {
                    tracing::info!("leases: {} released, token {}", task_name(task), token.0);
                }
                LeaseEvent::VersionMismatch(from, version) => {
                    tracing::warn!("leases: pooler {from} is refused, it goes by version {version}");
                }
                LeaseEvent::SiteMismatch(from) => tracing::warn!(
                    "leases: pooler {from} is refused, it is of another site or counts with other terms or drift"
                ),
                LeaseEvent::DuplicateVoter(from) => tracing::warn!(
                    "leases: two processes answer for voter {from}, and neither counts until one of them ends"
                ),
                LeaseEvent::BadSignature(from) => tracing::warn!(
                    "leases: what comes from pooler {from} is refused, it is altered or signed with another key"
                ),
            }
        }
        self.changed.notify(usize::MAX);
    }
}

/// The index of a reason in the counters of rejected datagrams.
fn counter_index(rejection: DatagramError) -> usize {
    match rejection {
        DatagramError::Malformed => 0,
        DatagramError::SiteMismatch => 1,
        DatagramError::VersionMismatch(_) => 2,
        DatagramError::BadSignature => 3,
        DatagramError::SenderMismatch => 4,
        DatagramError::Replayed => 5,
        DatagramError::RateLimited => 6,
    }
}

impl fmt::Display for Leases {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "leases: sent={} heard={}", self.sent, self.received)?;
        let reasons = ["malformed", "site", "version", "code", "stranger", "replayed", "flood"];
        for (reason, count) in reasons.iter().zip(&self.rejected) {
            write!(f, " refused_{reason}={count}")?;
        }
        write!(f, " acts={} turned_away={}", self.acts, self.acts_rejected)?;
        write!(f, " positions_told={} positions_heard={}", self.positions_sent, self.positions_received)
    }
}

/// Returns a number that identifies this start of the pooler. It is hashed from the seed, the process id and
/// both clocks.
#[must_use]
pub fn new_incarnation(seed: u64) -> u64 {
    let text =
        format!("{seed}/{}/{}/{:?}", std::process::id(), clock::steady().0, std::time::SystemTime::now());
    linnetdeal_core::membership::fnv1a(text.bytes())
}
