//! The server side: connections to servers, opened when none is idle, reused last in first out, within a budget.

use super::buffer::{Detached, ReadBuffer, write_all, write_now, write_rest};
use super::connection::{
    Budget, Connection, ExchangeError, IdleState, MAX_CONTROL_BYTES, MemberUse, PING_QUERY, Permit,
};
use super::counters::Counters;
use super::members::Members;
use super::pg::{self, AnswerPart, Code, StatusParameters};
use super::request::{AttemptResult, SendGate, Transport};
use super::system_errors::{is_shortage, is_transient};
use super::timer_queue::TimerQueue;
use crate::config::{HostSettings, span_of};
use crate::memory::{MemoryBudget, Reservation};
use crate::mutants::{self, Mutant};
use crate::stall::StallDetector;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::{or, yield_now};
use linnetdeal_core::connection_reuse::{Reuse, ReusePolicy};
use linnetdeal_core::guard::SendDenied;
use linnetdeal_core::memory_budget::Purpose;
use linnetdeal_core::*;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::TcpStream;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

const USER: &str = "backend";
const DATABASE: &str = "store";
/// The statement that asks for a load report, with its terminating zero byte.
const PROBE_QUERY: &[u8] = b"SHOW gauges\0";
/// Idle connections are closed after this fraction of the servers' idle limit: if the server closed one while a
/// request is on its way, that request would be lost.
const IDLE_FRACTION: f64 = 2.0 / 3.0;
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before a dial is retried after a shortage on this machine, and the longest wait for a connection
/// permit before the budget is checked again.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a dial is retried that failed because of a transient error on this machine.
const MAX_TRANSIENT_RETRIES: u32 = 5;

/// Size of the chunks in which a large answer is read, and thereby its memory use.
const STREAM_CHUNK_SIZE: usize = 32 * 1024;
/// A large answer that brings no bytes for this long is abandoned. Servers that hang go on after up to half of it.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How often it is checked, while a large answer brings no bytes, whether its client has left.
const STREAM_IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Room for the usual messages behind a row, in bytes.
const TAIL_SIZE: usize = 512;
/// Upper limit for the size of an answer, including notices.
const MAX_ANSWER_SIZE: usize = 2 * pg::MAX_VALUE_SIZE;
/// A connection is not reused for this long after an answer while there are others: excess bytes from a server
/// arrive right behind an answer and must not be taken for the next one.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// After this many idle connections that failed the check before their reuse, a new one is opened.
const MAX_REUSE_CHECKS: usize = 2;
/// A new connection is also opened after a single idle one that does not answer the check within this time, ten
/// times what the most distant servers take: servers may still answer on other connections.
const REUSE_CHECK_TIMEOUT: Duration = Duration::from_millis(25);

/// A client's statement in the buffer that it was read into. Only the timeout in it is rewritten for each attempt.
#[derive(Debug)]
pub struct Statement {
    /// The buffer.
    pub bytes: Vec<u8>,
    /// The statement in the buffer, with its terminating zero byte.
    pub range: Range<usize>,
    /// The digits of the timeout in the buffer.
    pub timeout_range: Range<usize>,
    /// The statement must not run twice, so that it can't be sent again after its answer was lost.
    pub must_not_repeat: bool,
    /// Keeps the buffer counted.
    pub reservation: Reservation,
}

/// A server's answer in the buffer that it was read into.
#[derive(Debug)]
pub struct Reply {
    bytes: Vec<u8>,
    pieces: Vec<Range<usize>>,
    /// Keeps the buffer counted.
    _reservation: Reservation,
    /// The part of a large answer that has not been read yet.
    remainder: Option<LargeAnswer>,
}

/// A chunk of a large answer.
#[derive(Debug)]
enum Chunk {
    /// So many bytes of the row at the front of the connection's buffer.
    Row(usize),
    /// The messages behind the row.
    Tail(Vec<u8>),
}

/// A large answer whose row has begun, with the connection that delivers the rest of it.
#[derive(Debug)]
struct LargeAnswer {
    member: MemberId,
    connection: Connection,
    answer: pg::Answer,
    /// Bytes of the row that are not yet read or not yet taken out of the buffer.
    row_bytes_left: usize,
    /// The chunk that was returned last.
    chunk: Chunk,
    /// Bytes of the messages behind the row.
    bytes_behind_row: usize,
    /// Whether ReadyForQuery has been received.
    complete: bool,
}

impl Reply {
    /// Whether more of the answer is still to be read.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.remainder.is_some()
    }

    /// The chunk that [`Pool::next_chunk`] has read.
    #[must_use]
    pub fn chunk(&self) -> &[u8] {
        match self.remainder.as_ref().map(|remainder| (&remainder.chunk, &remainder.connection.buffer)) {
            Some((Chunk::Row(size), buffer)) => &buffer.data()[..*size],
            Some((Chunk::Tail(tail), _)) => tail,
            None => &[],
        }
    }

    /// The messages of the answer, from RowDescription to CommandComplete.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map(|piece| &self.bytes[piece.clone()])
    }
}

/// Runs `work` with a timeout.
async fn with_timeout<T>(
    timers: &TimerQueue,
    timeout: Duration,
    work: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    let limit = async {
        timers.wait_until(Instant::now() + timeout).await;
        Err(ExchangeError::NoResponse)
    };
    or(work, limit).await
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Waiting for a permit from the connection budget.
    Waiting,
    /// Opening a connection, or checking that an idle one is alive.
    Dialing,
    /// The last byte of the statement is not written yet.
    Writing,
    /// Everything is written: the statement may run.
    Sent,
}

/// The progress of an attempt, which remains available when the attempt is dropped.
struct AttemptProgress {
    stage: Cell<Stage>,
    /// The statement was sent on an idle connection without a check, and no byte of an answer has been received.
    unverified_reuse: Cell<bool>,
    /// Size of the statement in bytes.
    size: Cell<usize>,
    /// Bytes that the system has accepted of the statement and of the ping behind it.
    written: Cell<usize>,
}

impl Default for AttemptProgress {
    fn default() -> Self {
        Self {
            stage: Cell::new(Stage::Waiting),
            unverified_reuse: Cell::new(false),
            size: Cell::new(0),
            written: Cell::new(0),
        }
    }
}

impl AttemptProgress {
    /// The stage reached. Once its last byte is written a statement may run, even if the ping behind it was not
    /// written.
    fn stage(&self) -> Stage {
        let (stage, size) = (self.stage.get(), self.size.get());
        let all = size > 0 && self.written.get() >= size;
        if stage == Stage::Writing && all { Stage::Sent } else { stage }
    }
}

/// What is sent to a server.
enum Query<'a> {
    /// A request for the load report.
    Probe,
    /// A client's statement.
    Statement(&'a Statement),
}

/// A query as it is sent, with the timeout that is announced in it.
struct Message<'a> {
    head: [u8; 5],
    before: &'a [u8],
    timeout: String,
    after: &'a [u8],
}

impl<'a> Query<'a> {
    /// Whether the query must not run twice.
    fn must_not_repeat(&self) -> bool {
        matches!(self, Self::Statement(statement) if statement.must_not_repeat)
    }

    fn message(&self, attempt_timeout: Duration) -> Message<'a> {
        let (before, timeout, after): (&[u8], String, &[u8]) = match self {
            Self::Probe => (PROBE_QUERY, String::new(), b""),
            Self::Statement(Statement { bytes, range, timeout_range, .. }) => {
                let digits = attempt_timeout.as_micros().div_ceil(1_000).max(1).to_string();
                (&bytes[range.start..timeout_range.start], digits, &bytes[timeout_range.end..range.end])
            }
        };
        let head = pg::write::query_head(before.len() + timeout.len() + after.len());
        Message { head, before, timeout, after }
    }
}

impl Message<'_> {
    fn size(&self) -> usize {
        self.head.len() + self.before.len() + self.timeout.len() + self.after.len()
    }

    fn pieces(&self) -> Vec<&[u8]> {
        vec![&self.head, self.before, self.timeout.as_bytes(), self.after]
    }
}

/// Admits a probe as long as the member is in service and time remains.
struct ProbeGate {
    until: Instant,
}

impl SendGate for ProbeGate {
    fn admit(&self, member_in_service: bool) -> Result<Duration, SendDenied> {
        let remaining = self.until.saturating_duration_since(Instant::now());
        if member_in_service { Ok(remaining) } else { Err(SendDenied::MemberWithdrawn) }
    }

    fn began(&self, _timeout: Duration) {}
}

/// What was read up to ReadyForQuery, or until the server closed the connection.
struct Exchange {
    verdict: Verdict,
    status: StatusParameters,
    /// The answer's messages in the buffer.
    pieces: Vec<Range<usize>>,
    /// The answer and the missing bytes of its row, if the row is too large to be buffered; the buffer ends
    /// within it.
    large: Option<(pg::Answer, usize)>,
    /// The row's value in the buffer.
    value: Option<Range<usize>>,
    /// Bytes of the exchange in the buffer.
    size: usize,
    /// Whether the connection is at ReadyForQuery.
    ready: bool,
}

/// The connections to all servers.
pub struct Pool {
    members: Rc<Members>,
    counters: Rc<Counters>,
    host: RefCell<HostSettings>,
    stall: Rc<StallDetector>,
    memory: Rc<MemoryBudget>,
    budget: Rc<Budget>,
    idle: RefCell<HashMap<MemberId, VecDeque<Connection>>>,
    reuse_policy: RefCell<ReusePolicy>,
    timers: TimerQueue,
    started: Instant,
    /// Number of connections and attempts by member, see [`MemberUse`].
    member_uses: RefCell<HashMap<MemberId, Rc<Cell<usize>>>>,
    /// Statistics of what is sent and what fails, if enabled.
    stats: RefCell<Option<SendStats>>,
}

/// Statistics of attempts and of failing members.
#[derive(Debug, Default)]
pub(crate) struct SendStats {
    /// Number of attempts so far, by group.
    pub(crate) sent: HashMap<GroupId, u64>,
    /// Number of consecutive attempts that could not reach the member, for members in the list.
    pub(crate) failed: HashMap<MemberId, u32>,
}

impl Pool {
    /// A pool of at most `max` connections.
    #[must_use]
    pub fn new(
        members: Rc<Members>,
        counters: Rc<Counters>,
        host: HostSettings,
        stall: Rc<StallDetector>,
        memory: Rc<MemoryBudget>,
        max: usize,
    ) -> Self {
        let budget = Rc::new(Budget { used: Cell::new(0), max, released: Event::new() });
        Self {
            members,
            counters,
            host: RefCell::new(host),
            stall,
            memory,
            budget,
            idle: RefCell::default(),
            reuse_policy: RefCell::default(),
            timers: TimerQueue::default(),
            started: Instant::now(),
            member_uses: RefCell::default(),
            stats: RefCell::default(),
        }
    }

    /// Starts to collect statistics of what is sent and what fails.
    pub(crate) fn enable_stats(&self) {
        self.stats.borrow_mut().get_or_insert_default();
    }

    /// Accesses the statistics, if they are enabled.
    pub(crate) fn with_stats<T>(&self, access: impl FnOnce(&mut SendStats) -> T) -> Option<T> {
        self.stats.borrow_mut().as_mut().map(access)
    }

    /// Whether no connection to a member exists or is being opened, and no attempt at it is running.
    #[must_use]
    pub fn has_no_connections(&self, member: &MemberId) -> bool {
        self.member_uses.borrow().get(member).is_none_or(|count| count.get() == 0)
    }

    fn member_use(&self, member: &MemberId) -> MemberUse {
        MemberUse::new(self.member_uses.borrow_mut().entry(member.clone()).or_default())
    }

    fn record_stats(&self, member: &MemberId, sent: bool, verdict: Verdict) {
        let mut stats = self.stats.borrow_mut();
        let Some(stats) = stats.as_mut() else { return };
        if sent {
            if let Some(group) = self.members.group(member) {
                *stats.sent.entry(group).or_default() += 1;
            }
        }
        match verdict {
            Verdict::ConnectFailed | Verdict::Unreachable | Verdict::Broken => {
                *stats.failed.entry(member.clone()).or_default() += 1
            }
            Verdict::Moot | Verdict::Timeout | Verdict::Reset | Verdict::Cancelled => {}
            _ => drop(stats.failed.remove(member)),
        }
    }

    /// Applies new settings, also to connections that exist already.
    pub fn set_host_settings(&self, host: HostSettings) {
        self.host.replace(host);
    }

    /// The fields of load reports by the current settings.
    pub(crate) fn report_fields(&self) -> Vec<Field> {
        self.host.borrow().report.iter().map(|(_, field)| *field).collect()
    }

    fn max_idle(&self) -> Duration {
        self.host.borrow().keepalive.mul_f64(IDLE_FRACTION)
    }

    /// Closes idle connections that can't be reused.
    pub fn close_stale_idle(&self) {
        let max_idle = self.max_idle();
        self.idle.borrow_mut().retain(|member, connections| {
            let address = self.members.address(member).filter(|_| self.members.in_service(member));
            connections
                .retain_mut(|connection| connection.check_idle(address, max_idle) == IdleState::Usable);
            !connections.is_empty()
        });
    }

    /// Periodically closes idle connections that can't be reused and drops the state of forgotten members.
    /// Never returns.
    pub async fn run_upkeep(&self) {
        loop {
            Timer::after(Duration::from_millis(500)).await;
            self.close_stale_idle();
            self.reuse_policy.borrow_mut().evict_stale(self.now());
            self.member_uses.borrow_mut().retain(|_, count| Rc::strong_count(count) > 1);
            // Members that were forgotten need no statistics either.
            self.with_stats(|stats| stats.failed.retain(|member, _| self.members.group(member).is_some()));
        }
    }

    /// Runs the timers that end attempts. Never returns.
    pub async fn run_timers(&self) {
        self.timers.run().await;
    }

    /// Closes the connection that has been idle longest; false if there is none.
    pub fn close_one_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since);
        oldest.is_some_and(|connections| connections.pop_front().is_some())
    }

    /// The time for [`ReusePolicy`], which only uses differences.
    fn now(&self) -> Time {
        Time(0) + span_of(self.started.elapsed())
    }

    fn release(&self, member: &MemberId, mut connection: Connection) {
        if !self.members.in_service(member) {
            return;
        }
        match connection.consume_ping_answers() {
            Ok(_) => connection.buffer.release_if_empty(),
            Err(_) => return self.record_unsettled(member, Reuse::AfterPing),
        }
        connection.idle_since = Instant::now();
        self.idle.borrow_mut().entry(member.clone()).or_default().push_back(connection);
    }

    /// Records that an idle connection was broken, did not answer, or had received unexpected data.
    fn record_unsettled(&self, member: &MemberId, used: Reuse) {
        self.counters.unsettled.add();
        self.reuse_policy.borrow_mut().record_failure(member, self.now(), used);
    }

    /// Takes an idle connection, the most recently used first so that the others can age out, except for those
    /// that have only just brought an answer.
    fn take_idle(&self, member: &MemberId) -> Option<Connection> {
        let address = self.members.address(member);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(member)?;
        loop {
            let rested_index =
                connections.iter().rposition(|connection| connection.idle_since.elapsed() >= REUSE_DELAY);
            let mut connection = connections.remove(rested_index.unwrap_or(0))?;
            match connection.check_idle(address, self.max_idle()) {
                IdleState::Usable => return Some(connection),
                IdleState::Closed => {}
                IdleState::UnexpectedData => self.record_unsettled(member, Reuse::AfterPing),
            }
        }
    }

    /// Takes a permit for one more connection, closing an idle one if necessary. Waits while there is none: a
    /// shortage on this side must not look like a failure of the member.
    async fn permit(&self, member: &MemberId) -> Permit {
        while self.budget.used.get() >= self.budget.max && !self.close_one_idle() {
            self.counters.short.add();
            let released = self.budget.released.listen();
            or(released, async {
                let _ = Timer::after(SHORTAGE_RETRY_DELAY).await;
            })
            .await;
        }
        Permit::take(&self.budget, self.member_use(member))
    }

    /// A connection for one request, and how it is reused; `None` for a new connection.
    async fn connection(
        &self,
        member: &MemberId,
        must_not_repeat: bool,
        stage: &Cell<Stage>,
    ) -> Result<(Connection, Option<Reuse>), ExchangeError> {
        let mut failures = 0;
        loop {
            for _ in 0..MAX_REUSE_CHECKS {
                let Some(mut connection) = self.take_idle(member) else { break };
                stage.set(Stage::Dialing);
                let idle_for = span_of(connection.idle_since.elapsed());
                let mut reuse =
                    self.reuse_policy.borrow().reuse(member, self.now(), idle_for, must_not_repeat);
                // Nothing has shown yet that the last answer on it was followed by nothing else.
                if connection.is_settled() && !connection.boundary_verified {
                    reuse = Reuse::AfterPing;
                }
                let settled = match reuse {
                    Reuse::Immediate if connection.is_settled() => Ok(()),
                    Reuse::Immediate => {
                        with_timeout(&self.timers, REUSE_CHECK_TIMEOUT, connection.settle()).await
                    }
                    Reuse::AfterPing => {
                        with_timeout(&self.timers, REUSE_CHECK_TIMEOUT, connection.ping()).await
                    }
                };
                if settled.is_ok() {
                    return Ok((connection, Some(reuse)));
                }
                // It was closed, did not answer, or had received unexpected data: drop it, with nothing sent on it.
                self.record_unsettled(member, Reuse::AfterPing);
                if matches!(settled, Err(ExchangeError::NoResponse)) {
                    break;
                }
            }
            stage.set(Stage::Waiting);
            let permit = self.permit(member).await;
            // The permit may have taken long: a member that was withdrawn meanwhile is not dialed either.
            if !self.members.in_service(member) {
                return Err(ExchangeError::MemberWithdrawn);
            }
            stage.set(Stage::Dialing);
            let dial_timeout = self.host.borrow().dial_timeout;
            match with_timeout(&self.timers, dial_timeout, self.dial(member, permit)).await {
                // The system lacks a resource although the budget is not used up: close an idle connection and wait.
                Err(ExchangeError::LocalShortage) => {
                    stage.set(Stage::Waiting);
                    self.counters.short.add();
                    self.close_one_idle();
                    Timer::after(SHORTAGE_RETRY_DELAY).await;
                }
                Err(ExchangeError::LocalTransient) if failures < MAX_TRANSIENT_RETRIES => {
                    failures += 1;
                    stage.set(Stage::Waiting);
                    self.counters.short.add();
                    Timer::after(SHORTAGE_RETRY_DELAY).await;
                }
                // The error persists: as far as this machine can tell, the member does not respond.
                Err(ExchangeError::LocalTransient) => return Err(ExchangeError::NoResponse),
                other => return other.map(|connection| (connection, None)),
            }
        }
    }

    async fn dial(&self, member: &MemberId, permit: Permit) -> Result<Connection, ExchangeError> {
        let address = self.members.address(member).ok_or(ExchangeError::ConnectRefused)?;
        self.counters.dials.add();
        let stream = Async::<TcpStream>::connect(address).await.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionReset => ExchangeError::Broken,
            io::ErrorKind::ConnectionRefused => ExchangeError::ConnectRefused,
            _ if is_shortage(&error) => ExchangeError::LocalShortage,
            _ if is_transient(&error) => ExchangeError::LocalTransient,
            _ => ExchangeError::NoResponse,
        })?;
        stream.get_ref().set_nodelay(true)?;
        let mut startup = Vec::with_capacity(64);
        pg::write::startup(&mut startup, USER, DATABASE);
        write_all(&stream, &[&startup]).await?;
        let mut buffer = ReadBuffer::with_reservation(self.memory.reservation());
        let mut received = 0;
        loop {
            while let Some(message) = pg::server_message(buffer.data())? {
                let (tag, size) = (message.tag, message.size);
                match tag {
                    b'E' => return Err(ExchangeError::ServerError(pg::error_fields(message.body)?.code)),
                    b'R' if message.body != [0; 4] => return Err(ExchangeError::Broken),
                    _ => {}
                }
                buffer.consume(size);
                if tag == b'Z' {
                    return Ok(Connection::new(stream, address, buffer, permit));
                }
            }
            let count = buffer.fill(&stream).await?;
            received += count;
            if count == 0 || received > MAX_CONTROL_BYTES {
                return Err(ExchangeError::Broken);
            }
            yield_now().await;
        }
    }

    /// Sends one simple query and reads up to ReadyForQuery. `progress` tells the caller how far it came.
    async fn exchange(
        &self,
        member: &MemberId,
        query: &Query<'_>,
        progress: &AttemptProgress,
        gate: &dyn SendGate,
    ) -> Result<(Connection, Exchange), ExchangeError> {
        let AttemptProgress { stage, unverified_reuse, .. } = progress;
        // A withdrawn member is not even dialed: maintenance may begin there as soon as nothing is in use.
        if !self.members.in_service(member) {
            return Err(ExchangeError::MemberWithdrawn);
        }
        let (mut connection, reuse) = self.connection(member, query.must_not_repeat(), stage).await?;
        // Events that arrived while the process was stalled are handled first: they may withdraw the member.
        // The connection may also have been closed meanwhile.
        if self.stall.just_resumed() {
            yield_now().await;
            if connection.check_idle(self.members.address(member), self.max_idle()) != IdleState::Usable {
                return Err(ExchangeError::Broken);
            }
        }
        stage.set(Stage::Writing);
        // The ping, an empty query sent behind the statement, is not waited for: its answer shows, before the
        // next request is sent on this connection, that exactly one answer was received.
        let with_ping = self.reuse_policy.borrow().needs_trailing_ping(member, self.now());
        if with_ping {
            connection.sent_with_ping();
        } else {
            connection.sent_without_ping();
        }
        self.write_query(&connection, member, query, with_ping, progress, gate).await?;
        stage.set(Stage::Sent);
        unverified_reuse.set(reuse == Some(Reuse::Immediate));
        let exchange = read_answer(&connection.stream, &mut connection.buffer).await;
        unverified_reuse.set(unverified_reuse.get() && connection.buffer.data().is_empty());
        let exchange = exchange?;
        unverified_reuse.set(false);
        self.reuse_policy.borrow_mut().record_answer(member, self.now());
        Ok((connection, exchange))
    }

    /// Writes a query. **This is the only place that writes a first byte.** Whatever was waited for before (a
    /// permit, a dial, a check, or here the socket becoming writable), meanwhile the list may have changed, the
    /// client may have left, and its time may have passed. So the gate is consulted each time the first byte is
    /// about to be written, and the timeout announced to the member is the time that remains then.
    async fn write_query(
        &self,
        connection: &Connection,
        member: &MemberId,
        query: &Query<'_>,
        with_ping: bool,
        progress: &AttemptProgress,
        gate: &dyn SendGate,
    ) -> Result<(), ExchangeError> {
        let AttemptProgress { written, .. } = progress;
        loop {
            let timeout =
                gate.admit(self.members.in_service(member)).map_err(|_| ExchangeError::MemberWithdrawn)?;
            let message = query.message(timeout);
            progress.size.set(message.size());
            let mut pieces = message.pieces();
            if with_ping {
                pieces.push(PING_QUERY);
            }
            match write_now(connection.stream.get_ref(), &pieces, written) {
                Ok(()) => {
                    gate.began(timeout);
                    return Ok(write_rest(&connection.stream, &pieces, written).await?);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    connection.stream.writable().await?
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Runs [`Pool::exchange`] until a deadline and derives the verdict from how far it came.
    async fn exchange_within(
        &self,
        until: Instant,
        member: &MemberId,
        query: &Query<'_>,
        gate: &dyn SendGate,
    ) -> Result<(Connection, Exchange), Verdict> {
        let progress = AttemptProgress::default();
        let _member_use = self.member_use(member);
        let answer = async { Some(self.exchange(member, query, &progress, gate).await) };
        let limit = async {
            self.timers.wait_until(until).await;
            None
        };
        let ended = or(answer, limit).await;
        if progress.unverified_reuse.get() && !matches!(ended, Some(Ok(_))) {
            self.record_unsettled(member, Reuse::Immediate);
        }
        match (ended, progress.stage()) {
            (Some(Ok(exchange)), _) => Ok(exchange),
            (Some(Err(ExchangeError::ServerError(code))), _) => Err(startup_error_verdict(code)),
            // Nothing was sent, and nothing is known about the member.
            (Some(Err(ExchangeError::MemberWithdrawn)), _) | (None, Stage::Waiting) => Err(Verdict::Moot),
            (None, Stage::Sent) => Err(Verdict::Timeout),
            // Silence for less than the dial timeout: nothing was sent, and the cause may be this connection alone.
            (None, Stage::Dialing) => Err(Verdict::Broken),
            (Some(Err(_)), Stage::Sent) => Err(lost_answer_verdict()),
            (None, Stage::Writing) | (Some(Err(ExchangeError::ConnectRefused)), _) => {
                Err(Verdict::ConnectFailed)
            }
            (Some(Err(ExchangeError::NoResponse)), _) => Err(Verdict::Unreachable),
            (Some(Err(_)), _) => Err(Verdict::Broken),
        }
    }

    /// Requests a member's load report.
    pub async fn probe(&self, member: &MemberId) -> (Verdict, Option<Vec<f64>>) {
        let until = Instant::now() + PROBE_TIMEOUT;
        match self.exchange_within(until, member, &Query::Probe, &ProbeGate { until }).await {
            Err(verdict) => {
                self.record_stats(member, false, verdict);
                (verdict, None)
            }
            Ok((mut connection, exchange)) => {
                self.record_stats(member, false, exchange.verdict);
                let value = exchange.value.and_then(|range| connection.buffer.data().get(range));
                let text = value.and_then(|value| std::str::from_utf8(value).ok());
                let report = text.and_then(|text| pg::load_report(text, &self.host.borrow().report));
                if exchange.ready {
                    connection.buffer.consume(exchange.size);
                    self.release(member, connection);
                }
                (exchange.verdict, report)
            }
        }
    }
}

impl Pool {
    /// Reads the next chunk of a large answer, including its last messages, for [`Reply::chunk`]; returns false once all of
    /// it has been returned. The server is read no faster than chunks are taken.
    ///
    /// # Errors
    ///
    /// When the answer ends early, is malformed or stops coming, or its client has left meanwhile: what was passed on
    /// is incomplete.
    pub async fn next_chunk(
        &self,
        reply: &mut Reply,
        client_has_left: impl Fn() -> bool,
    ) -> io::Result<bool> {
        let truncated = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let Some(remainder) = reply.remainder.as_mut() else { return Ok(false) };
        if let Chunk::Row(size) = std::mem::replace(&mut remainder.chunk, Chunk::Row(0)) {
            remainder.connection.buffer.consume(size);
        }
        let work = async {
            loop {
                let buffer = &mut remainder.connection.buffer;
                if remainder.row_bytes_left > 0 && !buffer.data().is_empty() {
                    let size = buffer.data().len().min(remainder.row_bytes_left);
                    remainder.row_bytes_left -= size;
                    remainder.chunk = Chunk::Row(size);
                    return Ok(true);
                }
                if remainder.row_bytes_left == 0 {
                    remainder.answer.skip_row();
                    let mut tail = Vec::new();
                    while !remainder.complete {
                        let Some(message) = pg::server_message(buffer.data()).map_err(|_| truncated())?
                        else {
                            break;
                        };
                        let size = message.size;
                        remainder.bytes_behind_row += size;
                        if remainder.bytes_behind_row > MAX_CONTROL_BYTES {
                            return Err(truncated());
                        }
                        let part = remainder.answer.take(&message).map_err(|_| truncated())?;
                        if matches!(part, AnswerPart::Value(_)) {
                            tail.extend_from_slice(&buffer.data()[..size]);
                        }
                        buffer.consume(size);
                        if part == AnswerPart::Ready {
                            remainder.complete = true;
                            break;
                        }
                    }
                    if !tail.is_empty() {
                        remainder.chunk = Chunk::Tail(tail);
                        return Ok(true);
                    }
                    if remainder.complete {
                        return Ok(false);
                    }
                }
                buffer.grow(STREAM_CHUNK_SIZE, Purpose::Answer);
                if buffer.fill(&remainder.connection.stream).await? == 0 {
                    return if remainder.answer.is_complete() { Ok(false) } else { Err(truncated()) };
                }
                yield_now().await;
            }
        };
        let idle_timeout = async {
            let idle_since = Instant::now();
            loop {
                Timer::after(STREAM_IDLE_CHECK_INTERVAL).await;
                if idle_since.elapsed() >= STREAM_IDLE_TIMEOUT || client_has_left() {
                    break;
                }
            }
            Err(io::ErrorKind::TimedOut.into())
        };
        let more = or(work, idle_timeout).await;
        if matches!(more, Ok(false)) {
            if let Some(LargeAnswer { member, connection, .. }) = reply.remainder.take() {
                self.release(&member, connection);
            }
        }
        more
    }
}

impl Transport for Pool {
    type Query = Statement;
    type Reply = Reply;

    async fn attempt(
        &self,
        member: &MemberId,
        query: &Statement,
        until: Instant,
        gate: &dyn SendGate,
    ) -> AttemptResult<Reply> {
        match self.exchange_within(until, member, &Query::Statement(query), gate).await {
            Err(verdict) => {
                self.record_stats(member, true, verdict);
                AttemptResult::without_answer(verdict)
            }
            Ok((mut connection, exchange)) => {
                self.record_stats(member, true, exchange.verdict);
                let Exchange { verdict, status, pieces, large, size, ready, .. } = exchange;
                let mut reply = (verdict == Verdict::Ok).then(|| {
                    let Detached { bytes, range, reservation } = connection.buffer.detach(size);
                    let moved = |piece: Range<usize>| piece.start + range.start..piece.end + range.start;
                    Reply {
                        bytes,
                        pieces: pieces.into_iter().map(moved).collect(),
                        _reservation: reservation,
                        remainder: None,
                    }
                });
                if reply.is_none() {
                    connection.buffer.consume(size);
                }
                if let Some((reply, (answer, row_bytes_left))) = reply.as_mut().zip(large) {
                    reply.remainder = Some(LargeAnswer {
                        member: member.clone(),
                        connection,
                        answer,
                        row_bytes_left,
                        chunk: Chunk::Row(0),
                        bytes_behind_row: 0,
                        complete: false,
                    });
                } else if ready {
                    self.release(member, connection);
                }
                AttemptResult {
                    verdict,
                    note: status.note(),
                    report: status.report(&self.host.borrow().report),
                    reply,
                }
            }
        }
    }
}

/// The verdict for an error that the server sent instead of starting a session: no statement was sent.
fn startup_error_verdict(code: Code) -> Verdict {
    if &code.0 == b"57P03" { Verdict::Full } else { error_verdict(code) }
}

/// The verdict for an attempt whose answer was lost after all of it was written: it may have run.
fn lost_answer_verdict() -> Verdict {
    if mutants::is_active(Mutant::LostAnswerNeverRan) { Verdict::ConnectFailed } else { Verdict::Reset }
}

/// The verdict for a server's error in answer to a statement: only these codes prove that nothing ran.
fn error_verdict(code: Code) -> Verdict {
    match &code.0 {
        b"53300" => Verdict::Full,
        b"25006" | b"72000" => Verdict::Miss,
        _ => Verdict::Error,
    }
}

/// The size of the row at `offset`, if it is to be passed on in chunks: it is too large to be buffered, or there is no
/// memory for it now.
fn streamed_row(buffer: &mut ReadBuffer, offset: usize) -> Option<usize> {
    let data = &buffer.data()[offset..];
    let (large_row, row) = (pg::large_row(data), pg::single_value_row(data)?);
    let incomplete = row > data.len();
    large_row.or_else(|| {
        let denied = incomplete && !buffer.try_reserve(offset + row + TAIL_SIZE, Purpose::Answer);
        denied.then_some(row)
    })
}

/// Reads one answer up to ReadyForQuery. An answer that was complete before the connection ended is valid;
/// after a malformed one the statement may have run, as after none at all.
async fn read_answer(stream: &Async<TcpStream>, buffer: &mut ReadBuffer) -> Result<Exchange, ExchangeError> {
    let mut answer = pg::Answer::default();
    let mut pieces: Vec<Range<usize>> = Vec::new();
    let (mut value, mut offset, mut ready) = (None, 0, false);
    'reading: loop {
        loop {
            if let Some(row) = streamed_row(buffer, offset).filter(|_| answer.expects_row()) {
                let (end, available) = (offset + row, buffer.data().len());
                pieces.push(offset..available.min(end));
                let (large, size) = (Some((answer, end.saturating_sub(available))), available.min(end));
                let status = StatusParameters::default();
                return Ok(Exchange { verdict: Verdict::Ok, status, pieces, large, value, size, ready });
            }
            let Some(message) = pg::server_message(&buffer.data()[offset..])? else { break };
            let piece = offset..offset + message.size;
            offset = piece.end;
            match answer.take(&message)? {
                AnswerPart::Value(size) => {
                    if message.tag == b'D' {
                        value = Some(offset - size..offset);
                    }
                    match pieces.last_mut().filter(|last| last.end == piece.start) {
                        Some(last) => last.end = piece.end,
                        None => pieces.push(piece),
                    }
                }
                AnswerPart::Ignored => {}
                AnswerPart::Fatal => break 'reading,
                AnswerPart::Ready => {
                    ready = true;
                    break 'reading;
                }
            }
        }
        // A larger answer means that the stream is not valid; it is not buffered any further.
        if buffer.data().len() > MAX_ANSWER_SIZE {
            return Err(ExchangeError::Broken);
        }
        // Everything but the row is small.
        if buffer.is_full() && !buffer.try_reserve(2 * buffer.data().len(), Purpose::Answer) {
            return Err(ExchangeError::Broken);
        }
        match buffer.fill(stream).await {
            Ok(1..) => {}
            Ok(0) | Err(_) if answer.is_complete() => break,
            _ => return Err(ExchangeError::Broken),
        }
    }
    let verdict = answer.error_code().map_or(Verdict::Ok, error_verdict);
    Ok(Exchange { verdict, status: answer.into_status(), pieces, large: None, value, size: offset, ready })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The system may accept the statement but not the ping behind it before the connection breaks. If that
    /// counted as never sent, the write would be sent again and run twice.
    #[test]
    fn a_statement_may_run_once_its_last_byte_is_written_whether_or_not_the_ping_is() {
        let progress = AttemptProgress::default();
        assert_eq!(progress.stage(), Stage::Waiting);
        progress.stage.set(Stage::Writing);
        assert_eq!(progress.stage(), Stage::Writing, "its size is not known yet");
        progress.size.set(100);
        for (written, stage) in
            [(0, Stage::Writing), (99, Stage::Writing), (100, Stage::Sent), (103, Stage::Sent)]
        {
            progress.written.set(written);
            assert_eq!(progress.stage(), stage, "{written} of 100");
        }
    }
}
