//! The client side: accepts connections within a budget and runs one task per connection, which reads its
//! commands in order.

use super::arrivals::Arrivals;
use super::buffer::{Detached, ReadBuffer, read_and_discard, write_rest};
use super::connection_slots::{ConnectionSlot, ConnectionSlots, EvictionRank};
use super::pg::write::{self, Severity};
use super::pg::{self, PgError, Startup, StatementKind};
use super::request::{AbortReason, AbortSource, ClientRequest, FinalAnswer, serve};
use super::system_errors::is_shortage;
use super::upstream::{Pool, Reply, Statement};
use crate::classes::Classes;
use crate::config::duration;
use crate::counters::{CloseReason, Counters};
use crate::driver::Driver;
use crate::in_doubt::InDoubtWrites;
use crate::lifecycle::Lifecycle;
use crate::memory::MemoryBudget;
use crate::mutants::{self, Mutant};
use crate::sent_ids;
use crate::tenants::Tenants;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use linnetdeal_core::guard::CloseFacts;
use linnetdeal_core::invariants::Answer;
use linnetdeal_core::memory_budget::{MAX_WAIT, Purpose};
use linnetdeal_core::*;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Length of the listen backlog; it must hold the burst of connections after a restart.
const LISTEN_BACKLOG: i32 = 1_024;
/// Pause in accepting after this process has run out of descriptors.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(20);
/// Time for a client to complete its first command, counted from when it was accepted, and later any command
/// that it has begun. Connections without an open request may be closed after 2 s, and a client that sends no
/// complete command must be closed within 3 s of connecting, part of which it may spend in the listen backlog.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that takes no byte of what is written to it for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a client may go on sending after it was told that its connection ends; enough for 60 MB.
const LINGER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after a large answer its last bytes may still be on their way, and how long its connection is then kept
/// for a client that does not close its side.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the system's send buffer of a connection from its first large answer on. It bounds what is still on its way
/// once an answer has been written.
const LARGE_ANSWER_SEND_BUFFER: usize = 64 * 1024;
/// Delay after each command that can't be served: a client that repeats such a command as soon as it is
/// rejected would otherwise keep other clients waiting.
const ERROR_DELAY: Duration = Duration::from_millis(50);
/// Number of commands that can't be served after which the connection is closed.
const MAX_ERRORS: u32 = 8;
/// A client may request each of TLS and GSS encryption once, as in PostgreSQL.
const MAX_ENCRYPTION_REQUESTS: u32 = 2;
/// How long a drained pooler keeps its idle clients: the front checks readiness ten times a second and stops sending
/// clients 0.2 s after a negative answer.
const DRAINED_GRACE: Duration = Duration::from_millis(600);
/// How many bytes are read ahead while a client's request is open, if the memory budget grants that: a message of the
/// largest size, or hundreds of small ones. Beyond that nothing more is read, and the end of the stream, which may be
/// hidden behind the unread bytes, is polled for at [`HANGUP_POLL_INTERVAL`].
const MAX_READ_AHEAD: usize = pg::MAX_MESSAGE_SIZE + 16 * 1024;
/// No attempt begins when it has not been known for this long that the client is connected. One that begins more than
/// 0.1 s after its client has left is a lost request.
const MAX_UNOBSERVED: Duration = Duration::from_millis(80);
/// [`Mutant::ForgottenAnswer`] drops one answer in this many requests.
const FORGET_ANSWER_EVERY: u64 = 50;
/// How often the end of the stream is polled for while no more is read ahead.
const HANGUP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Opens the listening socket.
///
/// # Errors
///
/// When the address can't be listened on.
pub fn listen(address: std::net::SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(address)?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Async::new(listener)
}

/// Takes over the listening socket that the platform holds and passes down as the descriptor of this number:
/// clients that connect while one process replaces another always find it open. The descriptor is duplicated,
/// since this process can't know whether the number is in use otherwise.
///
/// # Errors
///
/// When there is no such descriptor, it can't be duplicated, or it is not a listening TCP socket.
pub fn inherit(number: i32) -> io::Result<Async<TcpListener>> {
    use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
    let own = pidfd_open(getpid(), PidfdFlags::empty())?;
    let taken = pidfd_getfd(own, number, PidfdGetfdFlags::empty());
    let missing =
        |error| io::Error::new(io::ErrorKind::InvalidInput, format!("descriptor {number}: {error}"));
    let listener = TcpListener::from(taken.map_err(missing)?);
    let not_listening = |words: &str| {
        let words = format!("descriptor {number} is no listening TCP socket: {words}");
        io::Error::new(io::ErrorKind::InvalidInput, words)
    };
    listener.local_addr().map_err(|error| not_listening(&error.to_string()))?;
    match rustix::net::sockopt::socket_acceptconn(&listener) {
        Ok(true) => Async::new(listener),
        Ok(false) => Err(not_listening("not in the listening state")),
        Err(error) => Err(not_listening(&error.to_string())),
    }
}

/// Everything that serving clients needs, shared by all client tasks.
pub(crate) struct FrontendContext {
    /// Runs the tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// The router with its mailboxes.
    pub(crate) driver: Rc<Driver>,
    /// The connections to the members.
    pub(crate) pool: Rc<Pool>,
    /// Counters of the process.
    pub(crate) counters: Rc<Counters>,
    /// The stage of this process's life cycle.
    pub(crate) lifecycle: Rc<Lifecycle>,
    /// The slots for client connections.
    pub(crate) slots: Rc<ConnectionSlots>,
    /// The classes of requests.
    pub(crate) classes: Rc<Classes>,
    /// The tenants.
    pub(crate) tenants: Rc<Tenants>,
    /// Writes whose outcome is unknown.
    pub(crate) in_doubt: Rc<InDoubtWrites>,
    /// The clients' ids of the open requests, at most one per connection.
    pub(crate) open_ids: RefCell<HashSet<Box<str>>>,
    /// Counts the memory of buffers.
    pub(crate) memory: Rc<MemoryBudget>,
    /// Buffer for bytes that are read and discarded.
    pub(crate) scratch: RefCell<Vec<u8>>,
}

/// Accepts clients while accepting is not paused. It can resume only with a listening socket inherited from the
/// platform (`inherited`); a socket of its own is closed, so that no client waits in its backlog.
pub(crate) async fn run(context: Rc<FrontendContext>, listener: Async<TcpListener>, inherited: bool) {
    loop {
        let accepted = async {
            let has_room = context.slots.wait_for_room().await;
            Some(listener.accept().await.map(|(stream, _)| (stream, has_room)))
        };
        let accept_paused = async {
            context.lifecycle.accept_paused.wait_on().await;
            None
        };
        match or(accepted, accept_paused).await {
            None if inherited => context.lifecycle.accept_paused.wait_off().await,
            None => return,
            Some(Ok((stream, has_room))) => {
                // With all slots in use the connection may have been waited for so long that a slot is free by now.
                let has_room = has_room || context.slots.has_free_slot();
                admit(&context, stream, has_room);
                // A burst of connections must not hold up the clients that are already connected.
                yield_now().await;
            }
            // Out of descriptors: neither spin nor return. An idle connection is closed to make room.
            Some(Err(error)) if is_shortage(&error) => {
                context.counters.short.add();
                if !context.pool.close_one_idle() {
                    context.slots.evict_one(EvictionRank::Closing..=EvictionRank::Idle);
                }
                Timer::after(SHORTAGE_PAUSE).await;
            }
            // The client closed the connection before it was accepted. The pause prevents a busy loop if the
            // error persists.
            Some(Err(_)) => {
                Timer::after(Duration::from_millis(1)).await;
            }
        }
    }
}

fn admit(context: &Rc<FrontendContext>, stream: Async<TcpStream>, has_room: bool) {
    context.counters.clients.add();
    // Without TCP_NODELAY, an answer that the system delays until an earlier one is acknowledged would be lost
    // on a reset.
    if let Err(error) = stream.get_ref().set_nodelay(true) {
        tracing::debug!(target: "clients", "TCP_NODELAY: {error}");
    }
    let owner = context.clone();
    let task = async move {
        let slot = owner.slots.acquire();
        let mut client = Client {
            context: &owner,
            // Dropped before the slot: the descriptor is closed before the slot counts as free.
            stream,
            buffer: ReadBuffer::with_reservation(owner.memory.reservation()),
            arrivals: Arrivals::default(),
            unread_since: None,
            observed_at: Cell::new(Instant::now()),
            slot,
            stage: Stage::Startup,
            since: Instant::now(),
            errors: 0,
            close_reason: Cell::new(CloseReason::ClientLeft),
            large_answer_at: Cell::new(None),
        };
        // An error on one client's connection affects no other: the connection is closed.
        let ended = client.run(has_room).await;
        if ended.is_ok() {
            client.deliver_large_answer().await;
        }
        client.note_close(ended);
    };
    context.executor.spawn(task).detach();
}

/// Errors that end a client's connection.
#[derive(Debug, thiserror::Error)]
enum ClientError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Pg(#[from] PgError),
    #[error("too slow")]
    Slow,
}

/// The result of reading from a client.
enum ReadOutcome {
    /// More bytes were read.
    More,
    /// Nothing more is read: the connection ends.
    End(CloseReason),
}

/// How far a client's connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its startup message is not complete.
    Startup,
    /// It has made no request yet.
    Silent,
    /// It has made a request.
    Known,
}

/// One client connection.
struct Client<'a> {
    context: &'a Rc<FrontendContext>,
    stream: Async<TcpStream>,
    buffer: ReadBuffer,
    arrivals: Arrivals,
    /// Since when bytes may have waited unread in the system's buffer, because there was no memory for them.
    unread_since: Option<Time>,
    /// When it was last known to be connected: everything that it had sent was read, and its stream had not ended.
    observed_at: Cell<Instant>,
    slot: ConnectionSlot<'a>,
    stage: Stage,
    /// When it was accepted, or last received an answer.
    since: Instant,
    /// Number of its commands that could not be served.
    errors: u32,
    /// Why the connection ends, as far as known so far.
    close_reason: Cell<CloseReason>,
    /// When the latest large answer was written.
    large_answer_at: Cell<Option<Instant>>,
}

/// The result of parsing a command.
enum Command {
    /// A request to route.
    Request(ClientRequest<Statement>, OpenId),
    /// A command that is answered locally; the answer is in the output buffer.
    Answered,
    /// A command that is not served: SQLSTATE and message of the error.
    Rejected(&'static str, String),
    /// The connection ends.
    End,
}

impl Client<'_> {
    async fn run(&mut self, has_room: bool) -> Result<(), ClientError> {
        let ended = match self.start_session(has_room).await {
            Ok(true) => self.run_commands().await,
            other => other.map(drop),
        };
        match ended {
            Err(ClientError::Pg(error)) => {
                self.context.counters.rejected.add();
                self.close_reason.set(CloseReason::Protocol);
                // After a protocol error the buffered bytes can't be told from requests any more.
                self.buffer.clear();
                self.close_with_error("08P01", &error.to_string(), None).await
            }
            other => other,
        }
    }

    /// Sends a fatal error and discards what the client is still sending: closing the connection before that
    /// would reset it, and the error might be lost.
    async fn close_with_error(
        &mut self,
        code: &str,
        message: &str,
        detail: Option<&str>,
    ) -> Result<(), ClientError> {
        let mut out = Vec::new();
        write::error_response(&mut out, Severity::Fatal, code, message, detail);
        self.send(&[&out]).await?;
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        self.buffer.clear();
        self.linger().await;
        Ok(())
    }

    async fn send(&self, pieces: &[&[u8]]) -> Result<(), ClientError> {
        let written = Cell::new(0);
        loop {
            let written_before = written.get();
            let all_written = async { write_rest(&self.stream, pieces, &written).await.map(|()| true) };
            let timeout = async {
                Timer::after(WRITE_TIMEOUT).await;
                Ok(false)
            };
            if or(all_written, timeout).await? {
                return Ok(());
            }
            if written.get() == written_before {
                return Err(ClientError::Slow);
            }
        }
    }

    /// Handles the startup messages; returns false if no session follows.
    async fn start_session(&mut self, has_room: bool) -> Result<bool, ClientError> {
        let mut encryption_requests = 0;
        loop {
            if let Some((kind, size)) = pg::startup(self.buffer.data())? {
                self.buffer.consume(size);
                match kind {
                    Startup::Encryption if encryption_requests == MAX_ENCRYPTION_REQUESTS => {
                        return Err(PgError::Malformed("encryption request").into());
                    }
                    Startup::Encryption => self.send(&[b"N"]).await?,
                    Startup::Cancel => return Ok(false),
                    Startup::Session => break,
                }
                encryption_requests += 1;
                continue;
            }
            if self.buffer.is_full() {
                // Clients that have not made a request are few.
                self.buffer.reserve(pg::MAX_STARTUP_SIZE);
            }
            if !self.read_more(None).await? {
                return Ok(false);
            }
        }
        if !has_room {
            self.context.counters.crowded_out.add();
            self.close_reason.set(CloseReason::NoRoom);
            self.close_with_error("53300", "too many clients", Some("250")).await?;
            return Ok(false);
        }
        self.stage = Stage::Silent;
        let mut out = Vec::with_capacity(256);
        write::session_start(&mut out, std::process::id(), 0);
        self.send(&[&out]).await?;
        Ok(true)
    }

    async fn run_commands(&mut self) -> Result<(), ClientError> {
        let mut skipping = false;
        let mut out = Vec::new();
        loop {
            let Some(message) = pg::message(self.buffer.data())? else {
                if !self.read_message(skipping, &mut out).await? {
                    return Ok(());
                }
                continue;
            };
            let (tag, size) = (message.tag, message.size);
            self.unread_since = None;
            let arrived = self.arrivals.arrival_time(self.buffer.data().len() - size);
            // After an error in the extended protocol, everything up to Sync is skipped.
            if skipping && tag != b'S' && tag != b'X' {
                self.buffer.consume(size);
                yield_now().await;
                continue;
            }
            out.clear();
            match self.command(size, arrived, &mut out)? {
                Command::End => return Ok(()),
                Command::Answered => {
                    skipping &= tag != b'S';
                    if matches!(tag, b'Q' | b'S') {
                        write::ready_for_query(&mut out);
                    }
                    if self.should_hand_over() {
                        return self.send_last(&[&out]).await;
                    }
                    self.send(&[&out]).await?;
                }
                Command::Rejected(code, error_text) => {
                    self.context.counters.rejected.add();
                    self.errors += 1;
                    // A request that was already read behind this command must be answered before the
                    // connection may close.
                    let may_close = self.close_facts().may_close();
                    if self.errors >= MAX_ERRORS && may_close {
                        self.close_reason.set(CloseReason::Errors);
                        return self.close_with_error(code, &error_text, None).await;
                    }
                    write::error_response(&mut out, Severity::Error, code, &error_text, None);
                    skipping = tag != b'Q';
                    if !skipping {
                        write::ready_for_query(&mut out);
                    }
                    self.send(&[&out]).await?;
                    let delay = async {
                        Timer::after(ERROR_DELAY).await;
                    };
                    if !may_close {
                        delay.await;
                    } else if self.slot.run_evictable(EvictionRank::New, self.since, delay).await.is_none() {
                        self.close_reason.set(CloseReason::MadeRoom);
                        return Ok(());
                    }
                }
                Command::Request(client_request, open) => {
                    self.stage = Stage::Known;
                    if !self.serve_request(client_request, &open.id, &mut out).await? {
                        return Ok(());
                    }
                    drop(open);
                }
            }
            if self.stage == Stage::Known {
                self.since = Instant::now();
            }
            // Many commands sent at once must not hold up other clients.
            yield_now().await;
            if out.capacity() > 4 * 1024 {
                out = Vec::new();
            }
        }
    }

    /// Reads more of the message at the front of the buffer. A message for which there is no memory in time is discarded
    /// as it arrives, and refused. Returns false if the connection ends.
    async fn read_message(&mut self, skipping: bool, out: &mut Vec<u8>) -> Result<bool, ClientError> {
        let size = pg::message_size(self.buffer.data()).unwrap_or(0);
        if self.reserve_memory(size).await {
            return self.read_more(None).await;
        }
        let tag = self.buffer.data().first().copied();
        let mut missing = size - self.buffer.data().len();
        self.buffer.clear();
        while missing > 0 {
            if !self.read_more(Some(&mut missing)).await? {
                return Ok(false);
            }
            yield_now().await;
        }
        self.unread_since = None;
        if skipping {
            return Ok(true);
        }
        if tag != Some(b'Q') {
            return Err(PgError::Malformed("message size").into());
        }
        self.context.counters.short_of_memory.add();
        let retry_after = duration(MAX_WAIT).as_millis().to_string();
        let error_text = "no memory for a statement of this size, nothing is harmed by a retry";
        out.clear();
        write::error_response(out, Severity::Error, "53300", error_text, Some(&retry_after));
        write::ready_for_query(out);
        self.finish(&[out]).await
    }

    /// Reserves memory for a message of `size` bytes; waits for it for a limited time. Returns whether it was granted.
    async fn reserve_memory(&mut self, size: usize) -> bool {
        if self.buffer.try_reserve(size, Purpose::Statement) {
            return true;
        }
        self.unread_since.get_or_insert(self.context.driver.clock.now());
        let deadline = Instant::now() + duration(MAX_WAIT);
        while Instant::now() < deadline {
            self.buffer.memory_released(deadline).await;
            if self.buffer.try_reserve(size, Purpose::Statement) {
                return true;
            }
        }
        false
    }

    /// Reads more bytes into the buffer, or up to `discard` bytes that are discarded and subtracted from it. Returns false
    /// if the connection ends: the client has closed it, is evicted, took too long for a command, or the process ends.
    /// Readable bytes take precedence over all of that.
    async fn read_more(&mut self, mut discard: Option<&mut usize>) -> Result<bool, ClientError> {
        let Self { context, stream, buffer, arrivals, slot, stage, since, large_answer_at, .. } = self;
        let (unread_since, observed_at) = (&mut self.unread_since, &self.observed_at);
        // A client to which a large answer is still on its way does not count as idle yet.
        let delivered = large_answer_at.get().map(|at| at + DELIVERY_TIMEOUT);
        let evictable_since = delivered.map_or(*since, |delivered| delivered.max(*since));
        let between_commands = discard.is_none() && buffer.data().is_empty() && *stage != Stage::Startup;
        buffer.release_if_empty();
        // The time for a command counts from `since`, also when its first bytes have only just arrived.
        let limit = match *stage {
            Stage::Known if between_commands => None,
            _ => Some(*since + COMMAND_TIMEOUT),
        };
        let read = async {
            let mut arrived_at = None;
            let count = match &mut discard {
                Some(missing) => {
                    let count = read_and_discard(stream, &context.scratch, **missing).await?;
                    **missing -= count;
                    count
                }
                None => match buffer.try_fill(stream.get_ref()) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        *unread_since = None;
                        let count = buffer.fill(stream).await?;
                        observed_at.set(Instant::now());
                        count
                    }
                    other => {
                        arrived_at = *unread_since;
                        other?
                    }
                },
            };
            arrivals.record(count, arrived_at.unwrap_or_else(|| context.driver.clock.now()));
            Ok(if count > 0 { ReadOutcome::More } else { ReadOutcome::End(CloseReason::ClientLeft) })
        };
        let timed_out = async {
            match limit {
                Some(at) => drop(Timer::at(at).await),
                None => std::future::pending().await,
            }
            Ok(ReadOutcome::End(CloseReason::Slow))
        };
        let ending = async {
            let flag = if between_commands {
                &context.lifecycle.closing_idle
            } else {
                &context.lifecycle.terminating
            };
            flag.raised().await;
            Ok(ReadOutcome::End(CloseReason::ProcessEnds))
        };
        // While the pooler is drained, idle clients that have made a request are closed once the front sends no
        // more clients.
        let drained = async {
            if !between_commands || *stage != Stage::Known {
                std::future::pending::<()>().await;
            }
            let since = context.lifecycle.drained.wait_on().await;
            let _ = Timer::at(since + DRAINED_GRACE).await;
            Ok(ReadOutcome::End(CloseReason::Emptied))
        };
        let ending = or(ending, drained);
        let rank = if *stage == Stage::Known { EvictionRank::Idle } else { EvictionRank::New };
        let work = or(read, or(timed_out, ending));
        // A client that has made a request and is in the middle of the next one is not idle.
        let outcome: Option<Result<ReadOutcome, ClientError>> = if *stage == Stage::Known && !between_commands
        {
            Some(work.await)
        } else {
            slot.run_evictable(rank, evictable_since, work).await
        };
        if between_commands && *stage == Stage::Known {
            *since = Instant::now();
        }
        match outcome.unwrap_or(Ok(ReadOutcome::End(CloseReason::MadeRoom)))? {
            ReadOutcome::More => Ok(true),
            ReadOutcome::End(why) => {
                self.close_reason.set(why);
                Ok(false)
            }
        }
    }

    /// The facts that decide whether this side may close the connection now.
    fn close_facts(&self) -> CloseFacts {
        let (mut data, mut requests_unanswered) = (self.buffer.data(), 0);
        while let Ok(Some(message)) = pg::message(data) {
            let statement = (message.tag == b'Q').then(|| pg::query_text(message.body).ok()).flatten();
            let kind = statement.map(pg::parse_statement);
            requests_unanswered += usize::from(matches!(kind, Some(Ok(StatementKind::Request(_)))));
            data = &data[message.size..];
        }
        CloseFacts { requests_unanswered, client_left: false }
    }

    /// Counts and logs why the connection closes, and checks that every request that was read has been answered.
    fn note_close(&self, ended: Result<(), ClientError>) {
        let closes = match &ended {
            Ok(()) => self.close_reason.get(),
            Err(ClientError::Io(_)) => CloseReason::Broken,
            Err(ClientError::Pg(_)) => CloseReason::Protocol,
            Err(ClientError::Slow) => CloseReason::Slow,
        };
        self.context.counters.closed(closes);
        let facts = CloseFacts { client_left: closes.is_client_disconnect(), ..self.close_facts() };
        if !facts.may_close() {
            let unanswered = facts.requests_unanswered;
            self.context.driver.check(|now, invariants| invariants.connection_closed(now, unanswered));
        }
        tracing::debug!(target: "clients", ?closes, stage = ?self.stage, errors = self.errors, "connection closed");
    }

    /// Parses and consumes the command at the front of the buffer.
    fn command(
        &mut self,
        size: usize,
        arrived: Option<Time>,
        out: &mut Vec<u8>,
    ) -> Result<Command, ClientError> {
        let Some(message) = pg::message(self.buffer.data())? else { return Ok(Command::End) };
        let mut rejected = None;
        match message.tag {
            b'Q' => {
                let statement = pg::query_text(message.body)?;
                match pg::parse_statement(statement) {
                    Ok(StatementKind::Request(comment)) => {
                        let client_request = self.context.client_request(statement, &comment, arrived);
                        let open = OpenId::reserve(self.context, comment.id);
                        if let (Some(client_request), Some(open)) = (client_request, open) {
                            let timeout_range = comment.timeout_range.clone();
                            let effect =
                                self.context.classes.get(client_request.class).map(|(.., effect)| effect);
                            let must_not_repeat =
                                effect != Some(Effect::Safe) && effect != Some(Effect::Keyed);
                            let Detached { bytes, range, reservation } = self.buffer.detach(size);
                            let range = range.start + 5..range.end;
                            let timeout_range =
                                timeout_range.start + range.start..timeout_range.end + range.start;
                            return Ok(Command::Request(
                                client_request.with_query(Statement {
                                    bytes,
                                    range,
                                    timeout_range,
                                    must_not_repeat,
                                    reservation,
                                }),
                                open,
                            ));
                        }
                        rejected = Some(("42601", "no class of this site, or an id in use".to_owned()));
                    }
                    Ok(StatementKind::Empty) if self.context.lifecycle.drained.on_since().is_some() => {
                        rejected = Some(("57P03", "drained by hand".to_owned()));
                    }
                    Ok(StatementKind::Empty) => write::empty_query_response(out),
                    Ok(StatementKind::SessionCommand(command)) => write::command_complete(out, command),
                    Ok(StatementKind::Unsupported) => {
                        rejected = Some(("0A000", "only requests with their comment are routed".to_owned()));
                    }
                    Err(error) => rejected = Some(("42601", error.to_string())),
                }
            }
            b'X' => return Ok(Command::End),
            b'S' => {}
            b'P' | b'B' | b'E' | b'D' | b'C' | b'H' | b'F' => {
                rejected = Some(("0A000", "only simple queries are spoken here".to_owned()));
            }
            b'd' | b'c' | b'f' => {}
            _ => return Err(PgError::Malformed("message type").into()),
        }
        self.buffer.consume(size);
        Ok(rejected.map_or(Command::Answered, |(code, error_text)| Command::Rejected(code, error_text)))
    }

    /// Serves a request and writes its answer; returns false if the connection ends with it.
    async fn serve_request(
        &mut self,
        client_request: ClientRequest<Statement>,
        id: &str,
        out: &mut Vec<u8>,
    ) -> Result<bool, ClientError> {
        let Self { context, stream, buffer, arrivals, observed_at, .. } = self;
        let read_ahead = RefCell::new((buffer, arrivals));
        let client_watch = ClientWatch {
            lifecycle: &context.lifecycle,
            driver: &context.driver,
            stream,
            read_ahead,
            observed_at,
        };
        let (answer, pending_answer) =
            serve(&context.driver, &*context.pool, &client_request, &client_watch).await;
        if let (FinalAnswer::Failed { member: Some(member) }, Some((class, Need::Write, _))) =
            (&answer, context.classes.get(client_request.class))
        {
            context.in_doubt.add(id, &class, Some(member.clone()), context.driver.clock.now());
        }
        let Statement { bytes, reservation, .. } = client_request.query;
        self.buffer.reuse(bytes);
        drop(reservation);
        let how = match &answer {
            FinalAnswer::Served(_) => Some(Answer::Served),
            FinalAnswer::Refused(_) => Some(Answer::Refused),
            FinalAnswer::Failed { .. } => Some(Answer::Failed),
            FinalAnswer::Gone => None,
        };
        tracing::debug!(target: "requests", request = pending_answer.request().0, client_id = id, ?how, "final answer");
        if how.is_some() && self.drops_answer() {
            return Ok(false);
        }
        if matches!(&answer, FinalAnswer::Served(reply) if reply.is_large()) {
            pending_answer.begun();
        }
        let in_progress = self.context.lifecycle.begin_answer();
        let written = self.answer(answer, out).await;
        drop(in_progress);
        match (&written, how) {
            (Ok(_), Some(how)) => pending_answer.answered(how),
            // The answer can't be delivered any more.
            (Ok(_), None) | (Err(_), _) => pending_answer.client_left(),
        }
        written
    }

    /// Whether [`Mutant::ForgottenAnswer`] drops the answer to this request.
    fn drops_answer(&self) -> bool {
        let taken = self.context.counters.taken.get();
        mutants::is_active(Mutant::ForgottenAnswer) && taken % FORGET_ANSWER_EVERY == 0
    }

    async fn answer(&self, answer: FinalAnswer<Reply>, out: &mut Vec<u8>) -> Result<bool, ClientError> {
        match answer {
            FinalAnswer::Gone => Ok(false),
            FinalAnswer::Served(mut reply) if reply.is_large() => {
                let stream = self.stream.get_ref();
                if let Err(error) =
                    rustix::net::sockopt::set_socket_send_buffer_size(stream, LARGE_ANSWER_SEND_BUFFER)
                {
                    tracing::debug!(target: "clients", "SO_SNDBUF: {error}");
                }
                let first_pieces: Vec<&[u8]> = reply.pieces().collect();
                self.send(&first_pieces).await?;
                // If the answer can't be completed, the connection ends: the client sees that the answer is
                // truncated.
                let client_has_left = || peer_closed(&self.stream);
                while self.context.pool.next_chunk(&mut reply, client_has_left).await? {
                    self.send(&[reply.chunk()]).await?;
                    yield_now().await;
                }
                self.large_answer_at.set(Some(Instant::now()));
                write::ready_for_query(out);
                self.finish(&[out]).await
            }
            FinalAnswer::Served(reply) => {
                write::ready_for_query(out);
                let pieces: Vec<&[u8]> = reply.pieces().chain([out.as_slice()]).collect();
                self.finish(&pieces).await
            }
            FinalAnswer::Refused(retry_after) => {
                let ms = retry_after.map(|after| after.0.max(0).unsigned_abs().div_ceil(1_000).to_string());
                write::error_response(
                    out,
                    Severity::Error,
                    "53300",
                    "refused, nothing is harmed by a retry",
                    ms.as_deref(),
                );
                write::ready_for_query(out);
                self.finish(&[out]).await
            }
            FinalAnswer::Failed { .. } => {
                write::error_response(
                    out,
                    Severity::Error,
                    "08007",
                    "no answer; it may have been carried out",
                    None,
                );
                write::ready_for_query(out);
                self.finish(&[out]).await
            }
        }
    }

    /// Sends a final answer; returns false if the connection ends with it.
    async fn finish(&self, pieces: &[&[u8]]) -> Result<bool, ClientError> {
        if self.should_hand_over() {
            self.send_last(pieces).await?;
            return Ok(false);
        }
        self.send(pieces).await?;
        Ok(true)
    }

    /// Whether the connection ends with the next answer because a newer process takes over; not while the
    /// client has already sent more.
    fn should_hand_over(&self) -> bool {
        let would_block = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.context.lifecycle.handing_over_clients.is_on()
            && self.buffer.data().is_empty()
            && self.stream.get_ref().peek(&mut [0]).is_err_and(would_block)
    }

    /// Sends the last answer on a connection with the end of the stream in the same segment, so that the client
    /// can't begin a request that crosses the close. Whatever it sends nevertheless is read, since a reset
    /// might discard the answer.
    async fn send_last(&self, pieces: &[&[u8]]) -> Result<(), ClientError> {
        self.close_reason.set(CloseReason::HandedOver);
        let stream = self.stream.get_ref();
        // Without TCP_CORK the end of the stream may go out in a segment of its own, after the answer.
        if let Err(error) = rustix::net::sockopt::set_tcp_cork(stream, true) {
            tracing::debug!(target: "clients", "TCP_CORK: {error}");
        }
        self.send(pieces).await?;
        stream.shutdown(Shutdown::Write)?;
        if !self.is_delivering() {
            self.linger().await;
        }
        Ok(())
    }

    /// Whether a large answer may still be on its way to the client.
    fn is_delivering(&self) -> bool {
        self.large_answer_at.get().is_some_and(|at| at.elapsed() < DELIVERY_TIMEOUT)
    }

    /// Ends the stream behind a large answer that may still be on its way, and waits until the client has closed its
    /// side as well. If the connection were closed before, a command that the client sends meanwhile would reset it,
    /// and the rest of the answer would be lost. Such a command is not read: the client sends it again, on a new
    /// connection.
    async fn deliver_large_answer(&self) {
        let closes = self.close_reason.get();
        if !self.is_delivering() || closes.is_client_disconnect() || closes == CloseReason::MadeRoom {
            return;
        }
        let _in_progress = self.context.lifecycle.begin_answer();
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let until = Instant::now() + DELIVERY_TIMEOUT;
        while !peer_closed(&self.stream) && Instant::now() < until {
            Timer::after(HANGUP_POLL_INTERVAL).await;
        }
    }

    /// Discards what the client still sends, until it has closed its side as well or [`LINGER_TIMEOUT`] has passed.
    async fn linger(&self) {
        let discarded = async {
            // A client that sends at full speed must not hold up others.
            let scratch = &self.context.scratch;
            while matches!(read_and_discard(&self.stream, scratch, usize::MAX).await, Ok(1..)) {
                yield_now().await;
            }
        };
        let time_limit = async {
            Timer::after(LINGER_TIMEOUT).await;
        };
        let work = or(discarded, or(time_limit, self.context.lifecycle.terminating.raised()));
        self.slot.run_evictable(EvictionRank::Closing, Instant::now(), work).await;
    }
}

/// Watches the client of an open request. What it sends ahead is buffered up to a limit. A client that has
/// closed its side counts as having left: whether it still reads can't be observed.
struct ClientWatch<'a> {
    lifecycle: &'a Lifecycle,
    stream: &'a Async<TcpStream>,
    driver: &'a Driver,
    /// The bytes sent ahead and their arrival times. Never borrowed across an await point.
    read_ahead: RefCell<(&'a mut ReadBuffer, &'a mut Arrivals)>,
    /// When the client was last known to be connected.
    observed_at: &'a Cell<Instant>,
}

impl ClientWatch<'_> {
    /// Whether more may be read ahead now. Enlarges the buffer if that is necessary and granted.
    fn can_read_ahead(&self) -> bool {
        let buffer = &mut *self.read_ahead.borrow_mut().0;
        let size = buffer.data().len();
        if buffer.is_full() {
            let enlarged = (2 * size).min(MAX_READ_AHEAD);
            return enlarged > size && buffer.try_reserve(enlarged, Purpose::ReadAhead);
        }
        size < MAX_READ_AHEAD
    }

    fn has_left(&self) -> bool {
        while self.can_read_ahead() {
            let (buffer, arrivals) = &mut *self.read_ahead.borrow_mut();
            match buffer.try_fill(self.stream.get_ref()) {
                Ok(count @ 1..) => arrivals.record(count, self.driver.clock.now()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.observed_at.set(Instant::now());
                    return false;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Ok(0) | Err(_) => return true,
            }
        }
        peer_closed(self.stream)
    }
}

impl AbortSource for ClientWatch<'_> {
    fn abort_reason(&self) -> Option<AbortReason> {
        if self.has_left() {
            return Some(AbortReason::ClientLeft);
        }
        self.lifecycle.terminating.is_up().then_some(AbortReason::ProcessEnds)
    }

    fn reason_not_to_send(&self) -> Option<AbortReason> {
        let abort_reason = self.abort_reason();
        let unobserved = self.observed_at.get().elapsed() > MAX_UNOBSERVED;
        abort_reason.or(unobserved.then_some(AbortReason::ClientHidden))
    }

    async fn aborted(&self) -> AbortReason {
        loop {
            if let Some(reason) = self.abort_reason() {
                return reason;
            }
            // An error while waiting counts as a disconnect: retrying at once would loop forever.
            let readable = async {
                if !self.can_read_ahead() {
                    Timer::after(HANGUP_POLL_INTERVAL).await;
                    return None;
                }
                self.stream.readable().await.is_err().then_some(AbortReason::ClientLeft)
            };
            let ending = async {
                self.lifecycle.terminating.raised().await;
                None
            };
            if let Some(reason) = or(readable, ending).await {
                return reason;
            }
        }
    }
}

/// Whether the peer has closed the connection, even if unread bytes precede the end of the stream.
fn peer_closed(stream: &Async<TcpStream>) -> bool {
    use rustix::event::{PollFd, PollFlags, Timespec, poll};
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    poll(&mut polled, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|count| count > 0)
        && polled[0].revents().intersects(closed)
}

/// The id of an open request, which no other request may use until this is dropped.
struct OpenId {
    context: Rc<FrontendContext>,
    id: Box<str>,
}

impl OpenId {
    /// Returns `None` if a request with this id is open.
    fn reserve(context: &Rc<FrontendContext>, id: &str) -> Option<Self> {
        let id: Box<str> = id.into();
        let new = context.open_ids.borrow_mut().insert(id.clone());
        new.then(|| Self { context: context.clone(), id })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.context.open_ids.borrow_mut().remove(&self.id);
    }
}

impl FrontendContext {
    /// Builds the request for a statement whose last byte arrived at `arrived`; `None` if its class is unknown.
    /// The client's waiting time counts from then, however long the statement waited behind others of its
    /// connection.
    fn client_request(
        &self,
        statement: &str,
        comment: &pg::Comment<'_>,
        arrived: Option<Time>,
    ) -> Option<ClientRequest<()>> {
        let class = self.classes.named(comment.class)?;
        let max_wait = Span(i64::try_from(self.classes.longest_deadline().as_micros()).unwrap_or(i64::MAX));
        let has_session = matches!(self.classes.get(class)?.1, Need::Write | Need::Session);
        let session = pg::quoted_key(statement).filter(|_| has_session).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            SessionKey(hasher.finish())
        });
        Some(ClientRequest {
            class,
            tenant: comment.tenant.and_then(|name| self.tenants.named(name)),
            session,
            group: GroupId(comment.group),
            deadline: arrived.unwrap_or_else(|| self.driver.clock.now())
                + Span((comment.timeout_ms * 1_000.0) as i64).min(max_wait),
            last_write: comment.last_commit_ms.map(|ms| Time((ms * 1_000.0) as i64)),
            retry: comment.retry,
            copies_allowed: self.classes.may_be_copied(class),
            effect: self.classes.get(class)?.2,
            unique_id: (self.classes.get(class)?.2 != Effect::Safe).then(|| sent_ids::digest(comment.id)),
            query: (),
        })
    }
}

impl ClientRequest<()> {
    fn with_query(self, query: Statement) -> ClientRequest<Statement> {
        let Self {
            class,
            tenant,
            session,
            group,
            deadline,
            last_write,
            retry,
            copies_allowed,
            effect,
            unique_id,
            query: (),
        } = self;
        ClientRequest {
            class,
            tenant,
            session,
            group,
            deadline,
            last_write,
            retry,
            copies_allowed,
            effect,
            unique_id,
            query,
        }
    }
}
