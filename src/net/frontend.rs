//! Clients: connections are accepted within a budget, and each has a task that reads its commands in order.

use super::Node;
use super::buffer::{ReadBuffer, write_all};
use super::flag::Flag;
use super::pg::write::{self, Severity};
use super::pg::{self, Asks, PgError, Startup};
use super::request::{Asked, Cut, Final, serve};
use super::upstream::{Reply, Statement};
use crate::interface::*;
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections that wait to be accepted; a burst after a restart must not overflow it.
const BACKLOG: i32 = 1_024;
/// How long accepting rests when descriptors have run out.
const SHORT_PAUSE: Duration = Duration::from_millis(20);
/// A client gets this long to finish its startup, and to take an answer.
const STARTUP_WAIT: Duration = Duration::from_secs(10);
const WRITE_WAIT: Duration = Duration::from_secs(30);
/// How long a client that was told why its connection ends may go on writing.
const PARTING: Duration = Duration::from_millis(250);
/// One that has been idle for less may be about to send: it is not asked to make room.
const LEAST_IDLE: Duration = Duration::from_millis(20);
/// What a client may send ahead while its request is out; beyond it nothing more is read until then.
const AHEAD: usize = 16 * 1024;

/// Opens the listening socket.
///
/// # Errors
///
/// When the address can't be listened on.
pub fn listen(address: std::net::SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Async::new(listener)
}

/// Accepts clients until the node turns deaf.
pub async fn run(node: Rc<Node>, listener: Async<TcpListener>) {
    loop {
        let accepted = async {
            room(&node).await;
            Some(listener.accept().await)
        };
        let deaf = async {
            node.deaf.raised().await;
            None
        };
        match or(accepted, deaf).await {
            None => return,
            Some(Ok((stream, _))) => admit(&node, stream),
            // Out of descriptors: neither spin nor end. An idle connection is let go to make room.
            Some(Err(error)) if super::upstream::shortage(&error) => {
                node.counters.short.add();
                if !node.pool.close_one_idle() {
                    node.close_idle_client();
                }
                Timer::after(SHORT_PAUSE).await;
            }
            // The client gave up before it was accepted; should it be something that lasts, it must not spin.
            Some(Err(_)) => {
                Timer::after(Duration::from_millis(1)).await;
            }
        }
    }
}

/// Waits while even the spare room is taken by clients that are being refused. They go soon; whoever comes
/// meanwhile waits to be accepted. Seen with 64 descriptors: a client that was accepted only to be closed at
/// once, with 53300 but its request unread, lost that request.
async fn room(node: &Node) {
    while node.clients.get() >= node.most_clients + node.spare_clients {
        let ended = node.client_ended.listen();
        if node.clients.get() >= node.most_clients + node.spare_clients {
            ended.await;
        }
    }
}

fn admit(node: &Rc<Node>, stream: Async<TcpStream>) {
    node.counters.clients.add();
    let open = node.clients.get() + 1;
    node.clients.set(open);
    // Over the budget the client that has been idle longest makes room, else the new one is refused.
    let room = open <= node.most_clients || node.close_idle_client();
    let owner = node.clone();
    let task = async move {
        let mut client = Client { node: &owner, stream, buffer: ReadBuffer::default() };
        // What went wrong on one client's connection concerns nobody else: it is closed.
        let _ = client.run(room).await;
        owner.clients.set(owner.clients.get() - 1);
        owner.client_ended.notify(1);
    };
    node.executor.spawn(task).detach();
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

struct Client<'a> {
    node: &'a Rc<Node>,
    stream: Async<TcpStream>,
    buffer: ReadBuffer,
}

/// What a command comes down to.
enum Command {
    /// A request to route.
    Request(Asked<Statement>),
    /// Something answered here; the answer is in the buffer given.
    Answered,
    /// The connection ends.
    End,
}

impl Client<'_> {
    async fn run(&mut self, room: bool) -> Result<(), ClientError> {
        let begun = or(self.begin(room), async {
            Timer::after(STARTUP_WAIT).await;
            Err(ClientError::Slow)
        });
        match begun.await {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            Err(ClientError::Pg(error)) => return self.complain(error).await,
            Err(error) => return Err(error),
        }
        match self.commands().await {
            Err(ClientError::Pg(error)) => self.complain(error).await,
            other => other,
        }
    }

    /// Tells the client what is wrong with its messages, as its connection ends.
    async fn complain(&mut self, error: PgError) -> Result<(), ClientError> {
        let mut out = Vec::new();
        write::error(&mut out, Severity::Fatal, "08P01", &error.to_string(), None);
        self.part(&out).await
    }

    /// Sends the last words on a connection, and reads what the client is still writing: to close before that
    /// would reset the connection, and the words might be lost with it.
    async fn part(&mut self, words: &[u8]) -> Result<(), ClientError> {
        self.send(&[words]).await?;
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        let Self { stream, buffer, .. } = self;
        let rest = async {
            while matches!(buffer.fill(stream).await, Ok(1..)) {
                buffer.consume(buffer.data().len());
            }
        };
        let enough = async {
            Timer::after(PARTING).await;
        };
        or(rest, enough).await;
        Ok(())
    }

    async fn send(&self, pieces: &[&[u8]]) -> Result<(), ClientError> {
        let slow = async {
            Timer::after(WRITE_WAIT).await;
            Err(ClientError::Slow)
        };
        or(async { Ok(write_all(&self.stream, pieces).await?) }, slow).await
    }

    /// The startup; false if there is no session after it.
    async fn begin(&mut self, room: bool) -> Result<bool, ClientError> {
        loop {
            if let Some((kind, size)) = pg::startup(self.buffer.data())? {
                self.buffer.consume(size);
                match kind {
                    Startup::Encryption => self.send(&[b"N"]).await?,
                    Startup::Cancel => return Ok(false),
                    Startup::Session => break,
                }
            } else if self.buffer.fill(&self.stream).await? == 0 {
                return Ok(false);
            }
        }
        let mut out = Vec::with_capacity(256);
        if !room {
            self.node.counters.crowded_out.add();
            write::error(&mut out, Severity::Fatal, "53300", "too many clients", Some("250"));
            self.part(&out).await?;
            return Ok(false);
        }
        write::welcome(&mut out, std::process::id(), 0);
        self.send(&[&out]).await?;
        Ok(true)
    }

    async fn commands(&mut self) -> Result<(), ClientError> {
        let mut skipping = false;
        let mut out = Vec::new();
        loop {
            let Some(message) = pg::message(self.buffer.data())? else {
                if !self.wait_for_more().await? {
                    return Ok(());
                }
                continue;
            };
            let (tag, size) = (message.tag, message.size);
            // After an error in the extended protocol all is skipped up to Sync.
            if skipping && tag != b'S' && tag != b'X' {
                self.buffer.consume(size);
                continue;
            }
            out.clear();
            match self.command(size, &mut out)? {
                Command::End => return Ok(()),
                Command::Answered => {
                    skipping = !matches!(tag, b'Q' | b'S');
                    if !skipping {
                        write::ready(&mut out);
                    }
                    self.send(&[&out]).await?;
                }
                Command::Request(asked) => {
                    if !self.request(asked, &mut out).await? {
                        return Ok(());
                    }
                }
            }
            if out.capacity() > 4 * 1024 {
                out = Vec::new();
            }
        }
    }

    /// Waits idle for the next command; false if there will be none. What is readable goes before closing.
    async fn wait_for_more(&mut self) -> Result<bool, ClientError> {
        let Self { node, stream, buffer } = self;
        let between = buffer.data().is_empty();
        buffer.rest();
        let more = async { Ok(buffer.fill(stream).await? > 0) };
        if !between {
            // The rest of a command is waited for to the last.
            let ending = async {
                node.ending.raised().await;
                Ok(false)
            };
            return or(more, ending).await;
        }
        let seat = node.sit_down();
        let leave = async {
            or(seat.left.raised(), node.closing.raised()).await;
            Ok(false)
        };
        or(more, leave).await
    }

    /// Reads the command at the front of the buffer and uses it up.
    fn command(&mut self, size: usize, out: &mut Vec<u8>) -> Result<Command, ClientError> {
        let Some(message) = pg::message(self.buffer.data())? else { return Ok(Command::End) };
        let tag = message.tag;
        match tag {
            b'Q' => {
                let statement = pg::query_text(message.body)?;
                match pg::request(statement) {
                    Ok(Asks::Request(comment)) => match self.node.asked(statement, &comment) {
                        Some(asked) => {
                            let wait = comment.wait_at.clone();
                            let (bytes, at) = self.buffer.detach(size);
                            let whole = at.start + 5..at.end;
                            let wait = wait.start + whole.start..wait.end + whole.start;
                            return Ok(Command::Request(asked.with(Statement { bytes, whole, wait })));
                        }
                        None => self.reject(out, "42601", "the request names no class of this site"),
                    },
                    Ok(Asks::Nothing) => write::empty_query(out),
                    Ok(Asks::Session(command)) => write::complete(out, command),
                    Ok(Asks::Unknown) => {
                        self.reject(out, "0A000", "only requests with their comment are routed")
                    }
                    Err(error) => self.reject(out, "42601", &error.to_string()),
                }
            }
            b'X' => return Ok(Command::End),
            b'S' => {}
            b'P' | b'B' | b'E' | b'D' | b'C' | b'H' | b'F' => {
                self.reject(out, "0A000", "only simple queries are spoken here");
            }
            b'd' | b'c' | b'f' => {}
            _ => return Err(PgError::Malformed("message type").into()),
        }
        self.buffer.consume(size);
        Ok(Command::Answered)
    }

    fn reject(&self, out: &mut Vec<u8>, code: &str, words: &str) {
        self.node.counters.rejected.add();
        write::error(out, Severity::Error, code, words, None);
    }

    /// Serves a request and writes its one answer; false if the connection ends with it.
    async fn request(&mut self, asked: Asked<Statement>, out: &mut Vec<u8>) -> Result<bool, ClientError> {
        let Self { node, stream, buffer } = self;
        let left = async {
            client_left(stream, buffer).await;
            Cut::ClientLeft
        };
        let ending = async {
            node.ending.raised().await;
            Cut::ProcessEnds
        };
        let answer = serve(&node.driver, &node.pool, &asked, or(left, ending)).await;
        self.buffer.give_back(asked.query.bytes);
        self.answer(answer, out).await
    }

    async fn answer(&self, answer: Final<Reply>, out: &mut Vec<u8>) -> Result<bool, ClientError> {
        match answer {
            Final::Gone => return Ok(false),
            Final::Served(reply) => {
                write::ready(out);
                let pieces: Vec<&[u8]> = reply.pieces().chain([out.as_slice()]).collect();
                self.send(&pieces).await?;
            }
            Final::Refused(retry_after) => {
                let ms = retry_after.map(|after| after.0.max(0).unsigned_abs().div_ceil(1_000).to_string());
                write::error(
                    out,
                    Severity::Error,
                    "53300",
                    "refused, nothing is harmed by a retry",
                    ms.as_deref(),
                );
                write::ready(out);
                self.send(&[out]).await?;
            }
            Final::Failed => {
                write::error(out, Severity::Error, "08007", "no answer; it may have been carried out", None);
                write::ready(out);
                self.send(&[out]).await?;
            }
        }
        Ok(true)
    }
}

/// Ends when the client has closed its connection. What it sends ahead is kept, within bounds.
async fn client_left(stream: &Async<TcpStream>, buffer: &mut ReadBuffer) {
    while buffer.data().len() < AHEAD {
        if !matches!(buffer.fill(stream).await, Ok(1..)) {
            return;
        }
    }
    std::future::pending().await
}

/// The place of an idle client among the others; given up when it is dropped.
pub struct Seat<'a> {
    node: &'a Node,
    at: (Instant, u64),
    /// Raised when the client has to make room.
    pub left: Rc<Flag>,
}

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        self.node.idle_clients.borrow_mut().remove(&self.at);
    }
}

impl Node {
    /// Counts a client as idle.
    fn sit_down(&self) -> Seat<'_> {
        let number = self.seats.get() + 1;
        self.seats.set(number);
        let (at, left) = ((Instant::now(), number), Rc::new(Flag::default()));
        self.idle_clients.borrow_mut().insert(at, left.clone());
        Seat { node: self, at, left }
    }

    /// Asks the client that has been idle longest to make room; false if all are busy.
    fn close_idle_client(&self) -> bool {
        let mut idle = self.idle_clients.borrow_mut();
        let oldest = idle.first_entry().filter(|oldest| oldest.key().0.elapsed() >= LEAST_IDLE);
        oldest.is_some_and(|oldest| {
            oldest.remove().raise();
            true
        })
    }

    /// The request that a statement makes; `None` if its class is unknown.
    fn asked(&self, statement: &str, comment: &pg::Comment<'_>) -> Option<Asked<()>> {
        let at = self.classes.iter().position(|(name, _)| name == comment.class)?;
        let keyed = matches!(self.classes[at].1, Need::Write | Need::Session);
        let session = pg::key(statement).filter(|_| keyed).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            SessionKey(hasher.finish())
        });
        Some(Asked {
            class: ClassId(at),
            session,
            group: GroupId(comment.cluster),
            deadline: self.driver.clock.now() + Span((comment.wait_ms * 1_000.0) as i64),
            last_write: comment.after_ms.map(|ms| Time((ms * 1_000.0) as i64)),
            query: (),
        })
    }
}

impl Asked<()> {
    fn with(self, query: Statement) -> Asked<Statement> {
        let Self { class, session, group, deadline, last_write, .. } = self;
        Asked { class, session, group, deadline, last_write, query }
    }
}
