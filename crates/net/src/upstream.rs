//! Connections to servers: opened when none is free, reused last in first out, within a budget.

use super::buffer::{ReadBuffer, write_all, write_now, write_rest};
use super::connection::{Budget, Connection, ExchangeError, IdleState, MemberUse, PING_QUERY, Permit};
use super::counters::Counters;
use super::members::Members;
use super::pg::{self, AnswerPart, Code, StatusParameters};
use super::request::{AttemptResult, SendGate, Transport};
use super::system_errors::{is_shortage, is_transient};
use super::timer_queue::TimerQueue;
use crate::config::{HostSettings, span_of};
use crate::mutants::{self, Mutant};
use crate::stall::StallDetector;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::{or, yield_now};
use linnetdeal_core::connection_reuse::{Reuse, ReusePolicy};
use linnetdeal_core::guard::SendDenied;
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
/// The statement that asks for a load report, with its zero byte.
const PROBE: &[u8] = b"SHOW gauges\0";
/// The part of the servers' idle limit after which an idle connection is dropped here: one that the server
/// closes while a request is on its way would lose that request.
const IDLE_FRACTION: f64 = 2.0 / 3.0;
/// A probe's time limit.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long what waits for room looks away, should nobody tell it.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A dial that this machine's system fails for a moment is tried again so often.
const MAX_TRANSIENT_RETRIES: u32 = 5;

/// So many bytes of a large answer are read at a time, and no more are held for each.
const STREAM_CHUNK_SIZE: usize = 32 * 1024;
/// A large answer that brings nothing for so long has ended.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// More than this no answer takes up, notices and all.
const MAX_ANSWER_SIZE: usize = 2 * pg::MAX_VALUE_SIZE;
/// What a server sends too much comes just behind an answer, and must not be taken for the next: a connection
/// rests for this long after one while there are others.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// After so many kept connections that did not, a new one is opened; and at once where one stays silent for so
/// long, ten times what the farthest servers take: others may still answer.
const MAX_REUSE_CHECKS: usize = 2;
const REUSE_CHECK_TIMEOUT: Duration = Duration::from_millis(25);

/// A statement of a client, in the buffer that it was read into. Only the wait is rewritten for an attempt.
#[derive(Debug)]
pub struct Statement {
    /// The buffer.
    pub bytes: Vec<u8>,
    /// The statement in it, with its zero byte.
    pub range: Range<usize>,
    /// The digits of the wait in it.
    pub timeout_range: Range<usize>,
    /// It must not run twice: what is lost of it can't be sent again.
    pub must_not_repeat: bool,
}

/// A server's answer, in the buffer that it was read into.
#[derive(Debug)]
pub struct Reply {
    bytes: Vec<u8>,
    pieces: Vec<Range<usize>>,
    /// What is still to come of a large one, on the connection that brings it.
    remainder: Option<LargeAnswer>,
}

/// A row that has begun, and all that follows it.
#[derive(Debug)]
struct LargeAnswer {
    member: MemberId,
    connection: Connection,
    answer: pg::Answer,
    /// Bytes of the row that are not read yet, or not taken out of the buffer.
    row_bytes_left: usize,
    /// ReadyForQuery has come.
    complete: bool,
}

impl Reply {
    /// Whether more of it is to come.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.remainder.is_some()
    }

    /// The messages of the answer, from RowDescription to CommandComplete.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map(|piece| &self.bytes[piece.clone()])
    }
}

/// What `work` gives within a time limit.
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
    /// Waiting for room in the own budget.
    Waiting,
    /// Opening a connection, or asking whether a kept one lives.
    Dialing,
    /// The statement's last byte is not written yet.
    Writing,
    /// All is written: it may run.
    Sent,
}

/// What is known of an attempt under way, also when it is given up.
struct AttemptProgress {
    stage: Cell<Stage>,
    /// It went at once on a kept connection and has had nothing of an answer.
    unverified_reuse: Cell<bool>,
    /// Bytes of the statement, and bytes that the system has taken of it and of what goes behind it.
    size: Cell<usize>,
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
    /// How far it has come. With its last byte out a statement may run, though what goes behind it was not written.
    fn stage(&self) -> Stage {
        let (stage, size) = (self.stage.get(), self.size.get());
        let all = size > 0 && self.written.get() >= size;
        if stage == Stage::Writing && all { Stage::Sent } else { stage }
    }
}

/// What is sent to a server.
enum Query<'a> {
    /// A request for its load report.
    Probe,
    /// A client's statement.
    Statement(&'a Statement),
}

/// A query as it goes out, with the wait that is told in it.
struct Message<'a> {
    head: [u8; 5],
    before: &'a [u8],
    timeout: String,
    after: &'a [u8],
}

impl<'a> Query<'a> {
    /// It must not run twice.
    fn must_not_repeat(&self) -> bool {
        matches!(self, Self::Statement(statement) if statement.must_not_repeat)
    }

    fn message(&self, attempt_timeout: Duration) -> Message<'a> {
        let (before, timeout, after): (&[u8], String, &[u8]) = match self {
            Self::Probe => (PROBE, String::new(), b""),
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

/// A probe goes to whoever takes new work, while it has time.
struct ProbeGate {
    until: Instant,
}

impl SendGate for ProbeGate {
    fn admit(&self, member_in_service: bool) -> Result<Duration, SendDenied> {
        let remaining = self.until.saturating_duration_since(Instant::now());
        if member_in_service { Ok(remaining) } else { Err(SendDenied::MemberWithdrawn) }
    }

    fn began(&self, _told: Duration) {}
}

/// What was read up to ReadyForQuery, or until the server ended the connection.
struct Exchange {
    verdict: Verdict,
    notes: StatusParameters,
    /// The answer's messages in the buffer.
    pieces: Vec<Range<usize>>,
    /// The answer and what of its row is to come, if that is too long to be held; the buffer ends within it.
    large: Option<(pg::Answer, usize)>,
    /// The row's value in the buffer.
    value: Option<Range<usize>>,
    /// The bytes of the exchange in the buffer.
    size: usize,
    /// The connection is at ReadyForQuery.
    ready: bool,
}

/// The connections to all servers.
pub struct Pool {
    members: Rc<Members>,
    counters: Rc<Counters>,
    host: RefCell<HostSettings>,
    stall: Rc<StallDetector>,
    budget: Rc<Budget>,
    idle: RefCell<HashMap<MemberId, VecDeque<Connection>>>,
    trust: RefCell<ReusePolicy>,
    timers: TimerQueue,
    started: Instant,
    /// What is open or under way, by member.
    member_uses: RefCell<HashMap<MemberId, Rc<Cell<usize>>>>,
    /// Where somebody wants to know what is sent and what fails.
    stats: RefCell<Option<SendStats>>,
}

/// What is sent, by group, and members that fail, with how many attempts in a row they have failed.
#[derive(Debug, Default)]
pub(crate) struct SendStats {
    /// Attempts so far.
    pub(crate) sent: HashMap<GroupId, u64>,
    /// Attempts in a row that found nobody, of members that are known.
    pub(crate) failed: HashMap<MemberId, u32>,
}

impl Pool {
    /// A pool of at most `most` connections.
    #[must_use]
    pub fn new(
        members: Rc<Members>,
        counters: Rc<Counters>,
        host: HostSettings,
        stall: Rc<StallDetector>,
        max: usize,
    ) -> Self {
        let budget = Rc::new(Budget { used: Cell::new(0), max, released: Event::new() });
        Self {
            members,
            counters,
            host: RefCell::new(host),
            stall,
            budget,
            idle: RefCell::default(),
            trust: RefCell::default(),
            timers: TimerQueue::default(),
            started: Instant::now(),
            member_uses: RefCell::default(),
            stats: RefCell::default(),
        }
    }

    /// Counts what is sent and what fails from now on.
    pub(crate) fn enable_stats(&self) {
        self.stats.borrow_mut().get_or_insert_default();
    }

    /// What was counted.
    pub(crate) fn with_stats<T>(&self, access: impl FnOnce(&mut SendStats) -> T) -> Option<T> {
        self.stats.borrow_mut().as_mut().map(access)
    }

    /// Whether nothing is out, idle or being opened at a member.
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

    /// Goes by these settings from now on, also for connections that are kept already.
    pub fn set_host_settings(&self, host: HostSettings) {
        self.host.replace(host);
    }

    /// What load reports hold, by the present settings.
    pub(crate) fn report_fields(&self) -> Vec<Field> {
        self.host.borrow().report.iter().map(|(_, field)| *field).collect()
    }

    fn max_idle(&self) -> Duration {
        self.host.borrow().keepalive.mul_f64(IDLE_FRACTION)
    }

    /// Closes idle connections that are of no more use.
    pub fn close_stale_idle(&self) {
        let max_idle = self.max_idle();
        self.idle.borrow_mut().retain(|member, connections| {
            let address = self.members.address(member).filter(|_| self.members.in_service(member));
            connections
                .retain_mut(|connection| connection.check_idle(address, max_idle) == IdleState::Usable);
            !connections.is_empty()
        });
    }

    /// Closes idle connections that are of no more use. Runs for ever.
    pub async fn run_upkeep(&self) {
        loop {
            Timer::after(Duration::from_millis(500)).await;
            self.close_stale_idle();
            self.trust.borrow_mut().evict_stale(self.now());
            self.member_uses.borrow_mut().retain(|_, count| Rc::strong_count(count) > 1);
            // Who is forgotten is not held here either.
            self.with_stats(|stats| stats.failed.retain(|member, _| self.members.group(member).is_some()));
        }
    }

    /// Ends attempts whose time is over. Runs for ever.
    pub async fn run_timers(&self) {
        self.timers.run().await;
    }

    /// Closes the connection that has been idle longest, if there is one.
    pub fn close_one_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since);
        oldest.is_some_and(|connections| connections.pop_front().is_some())
    }

    /// On the clock of [`ReusePolicy`], which only counts differences.
    fn now(&self) -> Time {
        Time(0) + span_of(self.started.elapsed())
    }

    fn release(&self, member: &MemberId, mut connection: Connection) {
        if !self.members.in_service(member) {
            return;
        }
        match connection.consume_ping_answers() {
            Ok(true) => connection.buffer.release_if_empty(),
            Ok(false) => {}
            Err(_) => return self.record_unsettled(member, Reuse::AfterPing),
        }
        connection.idle_since = Instant::now();
        self.idle.borrow_mut().entry(member.clone()).or_default().push_back(connection);
    }

    /// A kept connection broke, fell silent or brought what was nobody's.
    fn record_unsettled(&self, member: &MemberId, used: Reuse) {
        self.counters.unsettled.add();
        self.trust.borrow_mut().record_failure(member, self.now(), used);
    }

    /// A free connection; the latest used first, so that the others can grow old and go, but for those that
    /// have only just brought an answer.
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

    /// Room for one more connection, made by closing an idle one if need be. It waits while there is none:
    /// the own shortage must not look like the member's failure.
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

    /// A connection for one request, and how it was come by: `None` if it is a new one.
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
                let mut reuse = self.trust.borrow().reuse(member, self.now(), idle_for, must_not_repeat);
                // Nothing told yet that its last answer came alone.
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
                // It has ended, fell silent, or brought what was nobody's: it is closed, with nothing sent on it.
                self.record_unsettled(member, Reuse::AfterPing);
                if matches!(settled, Err(ExchangeError::NoResponse)) {
                    break;
                }
            }
            stage.set(Stage::Waiting);
            let permit = self.permit(member).await;
            // Room may have been long in coming: who was taken out meanwhile is not called either.
            if !self.members.in_service(member) {
                return Err(ExchangeError::MemberWithdrawn);
            }
            stage.set(Stage::Dialing);
            let dial_timeout = self.host.borrow().dial_timeout;
            match with_timeout(&self.timers, dial_timeout, self.dial(member, permit)).await {
                // The system is out of something though the budget is not: wait, and let an idle one go.
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
                // It lasts: as far as this machine can tell, nobody is there.
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
        let mut buffer = ReadBuffer::default();
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
            if buffer.fill(&stream).await? == 0 {
                return Err(ExchangeError::Broken);
            }
        }
    }

    /// Sends one simple query and reads up to ReadyForQuery. The caller learns through `course` how far it came.
    async fn exchange(
        &self,
        member: &MemberId,
        query: &Query<'_>,
        progress: &AttemptProgress,
        gate: &dyn SendGate,
    ) -> Result<(Connection, Exchange), ExchangeError> {
        let AttemptProgress { stage, unverified_reuse, .. } = progress;
        // Who has been taken out since is not even called: work may begin there as soon as nothing is under way.
        if !self.members.in_service(member) {
            return Err(ExchangeError::MemberWithdrawn);
        }
        let (mut connection, reuse) = self.connection(member, query.must_not_repeat(), stage).await?;
        // What came while the process stood still is taken first: it may say that the member is withdrawn. The connection may
        // have ended meanwhile.
        if self.stall.just_resumed() {
            yield_now().await;
            if connection.check_idle(self.members.address(member), self.max_idle()) != IdleState::Usable {
                return Err(ExchangeError::Broken);
            }
        }
        stage.set(Stage::Writing);
        // Behind it goes an empty query whose answer nobody waits for: it shows, before the next request is sent,
        // that nothing but one answer came.
        let with_ping = self.trust.borrow().needs_trailing_ping(member, self.now());
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
        self.trust.borrow_mut().record_answer(member, self.now());
        Ok((connection, exchange))
    }

    /// Writes a query. **The one place before a first byte**: whatever was waited for before (room, a dial, a proof, and here
    /// that the socket takes anything), the list may have changed meanwhile, the client have left, and its time have passed.
    /// So the gate is asked whenever the first byte is about to be written, and the time that is told is what is left then.
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

    /// [`Pool::exchange`] within a time limit, with its end told apart by how far it came.
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
            // Nothing was sent, and nothing is known of the member.
            (Some(Err(ExchangeError::MemberWithdrawn)), _) | (None, Stage::Waiting) => Err(Verdict::Moot),
            (None, Stage::Sent) => Err(Verdict::Timeout),
            // Silence for less than the dial's own limit: nothing was sent, and it may be this connection's alone.
            (None, Stage::Dialing) => Err(Verdict::Broken),
            (Some(Err(_)), Stage::Sent) => Err(lost_answer_verdict()),
            (None, Stage::Writing) | (Some(Err(ExchangeError::ConnectRefused)), _) => {
                Err(Verdict::ConnectFailed)
            }
            (Some(Err(ExchangeError::NoResponse)), _) => Err(Verdict::Unreachable),
            (Some(Err(_)), _) => Err(Verdict::Broken),
        }
    }

    /// StatementKind a member for its load report.
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
    /// The next piece of a large answer, its last messages included; `None` once all of it is out. The server is read no
    /// faster than pieces are taken.
    ///
    /// # Errors
    ///
    /// When it ends too soon, is spoilt or falls silent: what was passed on is not whole.
    pub async fn next_chunk(&self, reply: &mut Reply) -> io::Result<Option<Vec<u8>>> {
        let truncated = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let Some(remainder) = reply.remainder.as_mut() else { return Ok(None) };
        let work = async {
            loop {
                let buffer = &mut remainder.connection.buffer;
                if remainder.row_bytes_left > 0 && !buffer.data().is_empty() {
                    let piece = buffer.take_up_to(remainder.row_bytes_left).to_vec();
                    remainder.row_bytes_left -= piece.len();
                    return Ok(Some(piece));
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
                        return Ok(Some(tail));
                    }
                    if remainder.complete {
                        return Ok(None);
                    }
                }
                buffer.grow(STREAM_CHUNK_SIZE);
                if buffer.fill(&remainder.connection.stream).await? == 0 {
                    return if remainder.answer.is_complete() { Ok(None) } else { Err(truncated()) };
                }
            }
        };
        let idle_timeout = async {
            Timer::after(STREAM_IDLE_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let piece = or(work, idle_timeout).await;
        if matches!(piece, Ok(None)) {
            if let Some(LargeAnswer { member, connection, .. }) = reply.remainder.take() {
                self.release(&member, connection);
            }
        }
        piece
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
                let Exchange { verdict, notes, pieces, large, size, ready, .. } = exchange;
                let mut reply = (verdict == Verdict::Ok).then(|| {
                    let (bytes, range) = connection.buffer.detach(size);
                    let moved = |piece: Range<usize>| piece.start + range.start..piece.end + range.start;
                    Reply { bytes, pieces: pieces.into_iter().map(moved).collect(), remainder: None }
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
                        complete: false,
                    });
                } else if ready {
                    self.release(member, connection);
                }
                AttemptResult {
                    verdict,
                    note: notes.note(),
                    report: notes.report(&self.host.borrow().report),
                    reply,
                }
            }
        }
    }
}

/// What an error tells that came in place of a session: no statement was sent.
fn startup_error_verdict(code: Code) -> Verdict {
    if &code.0 == b"57P03" { Verdict::Full } else { error_verdict(code) }
}

/// The end of an attempt whose answer was lost once all of it was written: it may have run.
fn lost_answer_verdict() -> Verdict {
    if mutants::is_active(Mutant::LostAnswerNeverRan) { Verdict::ConnectFailed } else { Verdict::Reset }
}

/// What a server's error in answer to a statement tells: only these codes prove that nothing ran.
fn error_verdict(code: Code) -> Verdict {
    match &code.0 {
        b"53300" => Verdict::Full,
        b"25006" | b"72000" => Verdict::Miss,
        _ => Verdict::Error,
    }
}

/// Reads one answer up to ReadyForQuery; what was whole before the connection ended counts. A spoilt one may
/// have run, like one that never came.
async fn read_answer(stream: &Async<TcpStream>, buffer: &mut ReadBuffer) -> Result<Exchange, ExchangeError> {
    let mut answer = pg::Answer::default();
    let mut pieces: Vec<Range<usize>> = Vec::new();
    let (mut value, mut at, mut ready) = (None, 0, false);
    'reading: loop {
        loop {
            if let Some(row) = pg::large_row(&buffer.data()[at..]).filter(|_| answer.expects_row()) {
                let (end, all) = (at + row, buffer.data().len());
                pieces.push(at..all.min(end));
                let (large, size) = (Some((answer, end.saturating_sub(all))), all.min(end));
                let notes = StatusParameters::default();
                return Ok(Exchange { verdict: Verdict::Ok, notes, pieces, large, value, size, ready });
            }
            let Some(message) = pg::server_message(&buffer.data()[at..])? else { break };
            let piece = at..at + message.size;
            at = piece.end;
            match answer.take(&message)? {
                AnswerPart::Value(size) => {
                    if message.tag == b'D' {
                        value = Some(at - size..at);
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
        // More than any answer has means that the stream makes no sense; it is not kept in memory.
        if buffer.data().len() > MAX_ANSWER_SIZE {
            return Err(ExchangeError::Broken);
        }
        match buffer.fill(stream).await {
            Ok(1..) => {}
            Ok(0) | Err(_) if answer.is_complete() => break,
            _ => return Err(ExchangeError::Broken),
        }
    }
    let verdict = answer.error_code().map_or(Verdict::Ok, error_verdict);
    Ok(Exchange { verdict, notes: answer.into_status(), pieces, large: None, value, size: at, ready })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The system may take the statement and not the empty query behind it, and then the connection breaks: a write that was
    /// taken for never run would be sent again, and run twice.
    #[test]
    fn a_statement_may_run_from_its_last_byte_on_whatever_goes_behind_it() {
        let progress = AttemptProgress::default();
        assert_eq!(progress.stage(), Stage::Waiting);
        progress.stage.set(Stage::Writing);
        assert_eq!(progress.stage(), Stage::Writing, "nothing is known of its size yet");
        progress.size.set(100);
        for (written, stage) in
            [(0, Stage::Writing), (99, Stage::Writing), (100, Stage::Sent), (103, Stage::Sent)]
        {
            progress.written.set(written);
            assert_eq!(progress.stage(), stage, "{written} of 100");
        }
    }
}
