//! Clients: connections are accepted within a budget, and each has a task that reads its commands in order.

use super::arrivals::Arrivals;
use super::buffer::{ReadBuffer, read_and_discard, write_all};
use super::connection_slots::{ConnectionSlot, ConnectionSlots, EvictionRank};
use super::pg::write::{self, Severity};
use super::pg::{self, PgError, Startup, StatementKind};
use super::request::{AbortReason, AbortSource, ClientRequest, FinalAnswer, serve};
use super::system_errors::is_shortage;
use super::upstream::{Pool, Reply, Statement};
use crate::classes::Classes;
use crate::counters::{CloseReason, Counters};
use crate::driver::Driver;
use crate::in_doubt::InDoubtWrites;
use crate::lifecycle::Lifecycle;
use crate::mutants::{self, Mutant};
use crate::tenants::Tenants;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use linnetdeal_core::guard::CloseFacts;
use linnetdeal_core::invariants::Answer;
use linnetdeal_core::*;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections that wait to be accepted; a burst after a restart must not overflow it.
const LISTEN_BACKLOG: i32 = 1_024;
/// How long accepting rests when descriptors have run out.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(20);
/// A client gets this long for its first command from when it was accepted, and for the rest of any command
/// that has begun; and this long to take an answer. Connections without an open request may be closed after 2 s,
/// and who sends nothing whole is pending_answer a close within 3 s of connecting, part of which it may wait in the backlog.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a client that was told why its connection ends may go on writing: enough for 60 MB.
const LINGER_TIMEOUT: Duration = Duration::from_secs(3);
/// Who sends what can't be served rests for so long after each error, and is told to go after so many: the
/// same thing, sent again as soon as it was turned away, would keep others waiting.
const ERROR_DELAY: Duration = Duration::from_millis(50);
const MAX_ERRORS: u32 = 8;
/// A client may ask for each of TLS and GSS once, as PostgreSQL has it.
const MAX_ENCRYPTION_REQUESTS: u32 = 2;
/// Emptied by hand, it goes on as before for so long: the front asks ten times a second and stops 0.2 s after a no.
const DRAINED_GRACE: Duration = Duration::from_millis(600);
/// What a client may send ahead while its request is out; beyond it nothing more is read until then, and its end, which
/// stands behind what is not read, is asked for so often: a request whose client has left is not sent on 0.3 s later.
const MAX_READ_AHEAD: usize = 16 * 1024;
/// A broken variant forgets one answer in so many.
const FORGET_ANSWER_EVERY: u64 = 50;
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

/// The listening socket that the platform holds and handed down as a descriptor of this number: clients who connect while
/// one process takes another's place find it open all the time. It is duplicated, since nobody here can know that
/// the number is not in use otherwise.
///
/// # Errors
///
/// When there is no such descriptor, or it can't be had.
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
        Ok(false) => Err(not_listening("nobody listens on it")),
        Err(error) => Err(not_listening(&error.to_string())),
    }
}

/// What those need who serve clients.
pub(crate) struct FrontendContext {
    /// What carries the tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// The module and its mailboxes.
    pub(crate) driver: Rc<Driver>,
    /// The connections to the members.
    pub(crate) pool: Rc<Pool>,
    /// What is counted.
    pub(crate) counters: Rc<Counters>,
    /// How far the pooler's life has come.
    pub(crate) life: Rc<Lifecycle>,
    /// The seats of the connections.
    pub(crate) slots: Rc<ConnectionSlots>,
    /// The classes.
    pub(crate) classes: Rc<Classes>,
    /// The tenants.
    pub(crate) tenants: Rc<Tenants>,
    /// Writes whose outcome nobody knows.
    pub(crate) in_doubt: Rc<InDoubtWrites>,
    /// The clients' ids of the requests that are open: at most one a connection.
    pub(crate) open_ids: RefCell<HashSet<Box<str>>>,
    /// Where bytes are read to that nobody wants.
    pub(crate) scratch: RefCell<Vec<u8>>,
}

/// Accepts clients until the pooler turns deaf; again when it is needed after all, which it can be only where the platform holds
/// the listening socket (`kept`). One of its own is closed, so that nobody waits in it.
pub(crate) async fn run(context: Rc<FrontendContext>, listener: Async<TcpListener>, inherited: bool) {
    loop {
        let accepted = async {
            let room = context.slots.wait_for_room().await;
            Some(listener.accept().await.map(|(stream, _)| (stream, room)))
        };
        let accept_paused = async {
            context.life.accept_paused.wait_on().await;
            None
        };
        match or(accepted, accept_paused).await {
            None if inherited => context.life.accept_paused.wait_off().await,
            None => return,
            Some(Ok((stream, room))) => {
                // It may have been waited for long since all seats were taken.
                let room = room || context.slots.has_free_slot();
                admit(&context, stream, room);
                // A flood of connections holds up nobody who is already here.
                yield_now().await;
            }
            // Out of descriptors: neither spin nor end. An idle connection is let go to make room.
            Some(Err(error)) if is_shortage(&error) => {
                context.counters.short.add();
                if !context.pool.close_one_idle() {
                    context.slots.evict_one(EvictionRank::Closing..=EvictionRank::Idle);
                }
                Timer::after(SHORTAGE_PAUSE).await;
            }
            // The client gave up before it was accepted; should it be something that lasts, it must not spin.
            Some(Err(_)) => {
                Timer::after(Duration::from_millis(1)).await;
            }
        }
    }
}

fn admit(context: &Rc<FrontendContext>, stream: Async<TcpStream>, room: bool) {
    context.counters.clients.add();
    // An answer that the system holds back until an earlier one is acknowledged would go if the connection was reset.
    if let Err(error) = stream.get_ref().set_nodelay(true) {
        tracing::debug!(target: "clients", "TCP_NODELAY: {error}");
    }
    let owner = context.clone();
    let task = async move {
        let slot = owner.slots.acquire();
        let mut client = Client {
            context: &owner,
            // Closed before the seat counts as free.
            stream,
            buffer: ReadBuffer::default(),
            arrivals: Arrivals::default(),
            slot,
            stage: Stage::Startup,
            since: Instant::now(),
            errors: 0,
            close_reason: Cell::new(CloseReason::ClientLeft),
        };
        // What went wrong on one client's connection concerns nobody else: it is closed.
        let ended = client.run(room).await;
        client.note_close(ended);
    };
    context.executor.spawn(task).detach();
}

/// Why a client's connection ends.
#[derive(Debug, thiserror::Error)]
enum ClientError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Pg(#[from] PgError),
    #[error("too slow")]
    Slow,
}

/// What reading from a client gave.
enum ReadOutcome {
    /// More bytes.
    More,
    /// Nothing: the connection ends.
    End(CloseReason),
}

/// How far a client has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its startup is not all there.
    Startup,
    /// It has not made a request yet.
    Silent,
    /// It has.
    Known,
}

struct Client<'a> {
    context: &'a Rc<FrontendContext>,
    stream: Async<TcpStream>,
    buffer: ReadBuffer,
    arrivals: Arrivals,
    slot: ConnectionSlot<'a>,
    stage: Stage,
    /// When it came to its seat, or last had an answer.
    since: Instant,
    /// Its commands that were no use.
    errors: u32,
    /// Why its connection ends, as far as is known by now.
    close_reason: Cell<CloseReason>,
}

/// What a command comes down to.
enum Command {
    /// A request to route.
    Request(ClientRequest<Statement>, OpenId),
    /// Something answered here; the answer is in the buffer given.
    Answered,
    /// Something that is not served: the code and words of its error.
    Rejected(&'static str, String),
    /// The connection ends.
    End,
}

impl Client<'_> {
    async fn run(&mut self, room: bool) -> Result<(), ClientError> {
        let ended = match self.start_session(room).await {
            Ok(true) => self.run_commands().await,
            other => other.map(drop),
        };
        match ended {
            Err(ClientError::Pg(error)) => {
                self.context.counters.rejected.add();
                self.close_reason.set(CloseReason::Protocol);
                // What makes no sense can't be told from requests any more.
                self.buffer = ReadBuffer::default();
                self.close_with_error("08P01", &error.to_string(), None).await
            }
            other => other,
        }
    }

    /// Sends the last words on a connection, and reads what the client is still writing: to close before that
    /// would reset the connection, and the words might be lost with it.
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
        self.buffer = ReadBuffer::default();
        self.linger().await;
        Ok(())
    }

    async fn send(&self, pieces: &[&[u8]]) -> Result<(), ClientError> {
        let slow = async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(ClientError::Slow)
        };
        or(async { Ok(write_all(&self.stream, pieces).await?) }, slow).await
    }

    /// The startup; false if there is no session after it.
    async fn start_session(&mut self, room: bool) -> Result<bool, ClientError> {
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
            } else if !self.read_more().await? {
                return Ok(false);
            }
        }
        if !room {
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
                if !self.read_more().await? {
                    return Ok(());
                }
                continue;
            };
            let (tag, size) = (message.tag, message.size);
            let arrived = self.arrivals.arrival_time(self.buffer.data().len() - size);
            // After an error in the extended protocol all is skipped up to Sync.
            if skipping && tag != b'S' && tag != b'X' {
                self.buffer.consume(size);
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
                Command::Rejected(code, words) => {
                    self.context.counters.rejected.add();
                    self.errors += 1;
                    // A request that was read behind it is owed its answer first.
                    let may_close = self.close_facts().may_close();
                    if self.errors >= MAX_ERRORS && may_close {
                        self.close_reason.set(CloseReason::Errors);
                        return self.close_with_error(code, &words, None).await;
                    }
                    write::error_response(&mut out, Severity::Error, code, &words, None);
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
            // Many commands sent at once hold up nobody else.
            yield_now().await;
            if out.capacity() > 4 * 1024 {
                out = Vec::new();
            }
        }
    }

    /// Reads more; false if there will be none, or the client has to go: it makes room, took too long for a
    /// command, or the process ends. What is readable goes before all that.
    async fn read_more(&mut self) -> Result<bool, ClientError> {
        let Self { context, stream, buffer, arrivals, slot, stage, since, .. } = self;
        let between_commands = buffer.data().is_empty() && *stage != Stage::Startup;
        buffer.release_if_empty();
        // The first bytes of a command that has begun came just now; they don't grant more time again.
        let limit = match *stage {
            Stage::Known if between_commands => None,
            _ => Some(*since + COMMAND_TIMEOUT),
        };
        let read = async {
            let count = buffer.fill(stream).await?;
            arrivals.record(count, context.driver.clock.now());
            Ok(if count > 0 { ReadOutcome::More } else { ReadOutcome::End(CloseReason::ClientLeft) })
        };
        let late = async {
            match limit {
                Some(at) => drop(Timer::at(at).await),
                None => std::future::pending().await,
            }
            Ok(ReadOutcome::End(CloseReason::Slow))
        };
        let ending = async {
            let flag = if between_commands { &context.life.closing_idle } else { &context.life.terminating };
            flag.raised().await;
            Ok(ReadOutcome::End(CloseReason::ProcessEnds))
        };
        // Emptied by hand: who is known here is let go once the front sends nobody more.
        let emptied = async {
            if !between_commands || *stage != Stage::Known {
                std::future::pending::<()>().await;
            }
            let since = context.life.drained.wait_on().await;
            let _ = Timer::at(since + DRAINED_GRACE).await;
            Ok(ReadOutcome::End(CloseReason::Emptied))
        };
        let ending = or(ending, emptied);
        let rank = if *stage == Stage::Known { EvictionRank::Idle } else { EvictionRank::New };
        let done: Option<Result<ReadOutcome, ClientError>> =
            slot.run_evictable(rank, *since, or(read, or(late, ending))).await;
        if between_commands && *stage == Stage::Known {
            *since = Instant::now();
        }
        match done.unwrap_or(Ok(ReadOutcome::End(CloseReason::MadeRoom)))? {
            ReadOutcome::More => Ok(true),
            ReadOutcome::End(why) => {
                self.close_reason.set(why);
                Ok(false)
            }
        }
    }

    /// What bears on whether the connection may be closed from this side now.
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

    /// The connection is about to close: why is counted and logged, and whether all that was read has been answered.
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

    /// Reads the command at the front of the buffer and uses it up.
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
                        let open = OpenId::enter(self.context, comment.id);
                        if let (Some(client_request), Some(open)) = (client_request, open) {
                            let timeout_range = comment.timeout_range.clone();
                            let effect =
                                self.context.classes.get(client_request.class).map(|(.., effect)| effect);
                            let must_not_repeat =
                                effect != Some(Effect::Safe) && effect != Some(Effect::Keyed);
                            let (bytes, at) = self.buffer.detach(size);
                            let range = at.start + 5..at.end;
                            let timeout_range =
                                timeout_range.start + range.start..timeout_range.end + range.start;
                            return Ok(Command::Request(
                                client_request.with_query(Statement {
                                    bytes,
                                    range,
                                    timeout_range,
                                    must_not_repeat,
                                }),
                                open,
                            ));
                        }
                        rejected = Some(("42601", "no class of this site, or an id in use".to_owned()));
                    }
                    Ok(StatementKind::Empty) if self.context.life.drained.on_since().is_some() => {
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
        Ok(rejected.map_or(Command::Answered, |(code, words)| Command::Rejected(code, words)))
    }

    /// Serves a request and writes its one answer; false if the connection ends with it.
    async fn serve_request(
        &mut self,
        client_request: ClientRequest<Statement>,
        id: &str,
        out: &mut Vec<u8>,
    ) -> Result<bool, ClientError> {
        let Self { context, stream, buffer, arrivals, .. } = self;
        let read_ahead = RefCell::new((buffer, arrivals));
        let client_watch = ClientWatch { life: &context.life, driver: &context.driver, stream, read_ahead };
        let (answer, pending_answer) =
            serve(&context.driver, &*context.pool, &client_request, &client_watch).await;
        if let (FinalAnswer::Failed { member: Some(member) }, Some((class, Need::Write, _))) =
            (&answer, context.classes.get(client_request.class))
        {
            context.in_doubt.add(id, &class, Some(member.clone()), context.driver.clock.now());
        }
        self.buffer.reuse(client_request.query.bytes);
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
        let written = self.answer(answer, out).await;
        match (&written, how) {
            (Ok(_), Some(how)) => pending_answer.answered(how),
            // It can't be told any more.
            (Ok(_), None) | (Err(_), _) => pending_answer.client_left(),
        }
        written
    }

    /// Whether this is a request whose answer a broken variant forgets.
    fn drops_answer(&self) -> bool {
        let taken = self.context.counters.taken.get();
        mutants::is_active(Mutant::ForgottenAnswer) && taken % FORGET_ANSWER_EVERY == 0
    }

    async fn answer(&self, answer: FinalAnswer<Reply>, out: &mut Vec<u8>) -> Result<bool, ClientError> {
        match answer {
            FinalAnswer::Gone => Ok(false),
            FinalAnswer::Served(mut reply) if reply.is_large() => {
                let sent_so_far: Vec<&[u8]> = reply.pieces().collect();
                self.send(&sent_so_far).await?;
                // What can't be finished ends with the connection: the client sees that it is not whole.
                while let Some(piece) = self.context.pool.next_chunk(&mut reply).await? {
                    self.send(&[&piece]).await?;
                    yield_now().await;
                }
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

    /// Sends a final answer; false if the connection ends with it.
    async fn finish(&self, pieces: &[&[u8]]) -> Result<bool, ClientError> {
        if self.should_hand_over() {
            self.send_last(pieces).await?;
            return Ok(false);
        }
        self.send(pieces).await?;
        Ok(true)
    }

    /// Whether the client goes over to a newer process with the next answer: not while it has sent more already.
    fn should_hand_over(&self) -> bool {
        let would_block = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.context.life.handing_over_clients.is_on()
            && self.buffer.data().is_empty()
            && self.stream.get_ref().peek(&mut [0]).is_err_and(would_block)
    }

    /// Sends the last answer on a connection, with the end of the connection in the same segment: the client can't have
    /// begun anything that this end would cross. What it sends all the same is read, since a reset would take the answer.
    async fn send_last(&self, pieces: &[&[u8]]) -> Result<(), ClientError> {
        self.close_reason.set(CloseReason::HandedOver);
        let stream = self.stream.get_ref();
        // Without it the end may come in a segment of its own; the answer goes out all the same.
        if let Err(error) = rustix::net::sockopt::set_tcp_cork(stream, true) {
            tracing::debug!(target: "clients", "TCP_CORK: {error}");
        }
        self.send(pieces).await?;
        stream.shutdown(Shutdown::Write)?;
        self.linger().await;
        Ok(())
    }

    /// Reads what the client still writes, until it has closed as well or enough time has passed.
    async fn linger(&self) {
        let discarded = async {
            // One that sends at full speed holds up nobody else.
            while matches!(read_and_discard(&self.stream, &self.context.scratch).await, Ok(1..)) {
                yield_now().await;
            }
        };
        let enough = async {
            Timer::after(LINGER_TIMEOUT).await;
        };
        let work = or(discarded, or(enough, self.context.life.terminating.raised()));
        self.slot.run_evictable(EvictionRank::Closing, Instant::now(), work).await;
    }
}

/// A client with a request. What it sends ahead is kept, within bounds. One that has closed its side has left, as the
/// protocol has it: that it still reads can't be seen.
struct ClientWatch<'a> {
    life: &'a Lifecycle,
    stream: &'a Async<TcpStream>,
    driver: &'a Driver,
    /// What it sends ahead, and when that came. Not borrowed across a wait.
    read_ahead: RefCell<(&'a mut ReadBuffer, &'a mut Arrivals)>,
}

impl ClientWatch<'_> {
    /// Whether no more is read for now.
    fn read_ahead_full(&self) -> bool {
        self.read_ahead.borrow().0.data().len() >= MAX_READ_AHEAD
    }

    fn has_left(&self) -> bool {
        while !self.read_ahead_full() {
            let (buffer, arrivals) = &mut *self.read_ahead.borrow_mut();
            match buffer.try_fill(self.stream.get_ref()) {
                Ok(count @ 1..) => arrivals.record(count, self.driver.clock.now()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
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
        self.life.terminating.is_up().then_some(AbortReason::ProcessEnds)
    }

    async fn aborted(&self) -> AbortReason {
        loop {
            if let Some(reason) = self.abort_reason() {
                return reason;
            }
            // What can't be waited for is given up: to look again at once would never end.
            let readable = async {
                if self.read_ahead_full() {
                    Timer::after(HANGUP_POLL_INTERVAL).await;
                    return None;
                }
                self.stream.readable().await.is_err().then_some(AbortReason::ClientLeft)
            };
            let ending = async {
                self.life.terminating.raised().await;
                None
            };
            if let Some(reason) = or(readable, ending).await {
                return reason;
            }
        }
    }
}

/// Whether the other side has ended the connection, whatever stands unread before its end.
fn peer_closed(stream: &Async<TcpStream>) -> bool {
    use rustix::event::{PollFd, PollFlags, Timespec, poll};
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    poll(&mut polled, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|count| count > 0)
        && polled[0].revents().intersects(ends)
}

/// The id of a request that is open, given free when it is dropped: nobody else may use it meanwhile.
struct OpenId {
    context: Rc<FrontendContext>,
    id: Box<str>,
}

impl OpenId {
    /// `None` if a request with this id is open.
    fn enter(context: &Rc<FrontendContext>, id: &str) -> Option<Self> {
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
    /// The request that a statement makes whose last byte came at this time; `None` if its class is unknown. Its client counts
    /// from there, however long it waited behind others of its connection.
    fn client_request(
        &self,
        statement: &str,
        comment: &pg::Comment<'_>,
        arrived: Option<Time>,
    ) -> Option<ClientRequest<()>> {
        let class = self.classes.named(comment.class)?;
        let longest = Span(i64::try_from(self.classes.longest_deadline().as_micros()).unwrap_or(i64::MAX));
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
                + Span((comment.timeout_ms * 1_000.0) as i64).min(longest),
            last_write: comment.last_commit_ms.map(|ms| Time((ms * 1_000.0) as i64)),
            retry: comment.retry,
            copies_allowed: self.classes.may_be_copied(class),
            effect: self.classes.get(class)?.2,
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
            query,
        }
    }
}
