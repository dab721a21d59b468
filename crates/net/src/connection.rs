//! One connection to a server: whether it can carry a request, and what it still owes.

use super::buffer::{ReadBuffer, write_all};
use super::pg::{self, Code, PgError};
use super::system_errors::is_shortage;
use async_io::Async;
use event_listener::Event;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An empty query. Its answer shows that the connection lives, and that nothing else was to come before.
pub(crate) const PING_QUERY: &[u8] = b"Q\0\0\0\x05\0";

/// How many connections there may be, and are.
#[derive(Debug)]
pub(crate) struct Budget {
    pub(crate) used: Cell<usize>,
    pub(crate) max: usize,
    pub(crate) released: Event,
}

/// What is open or under way at a member: connections, and attempts that may still open one.
#[derive(Debug)]
pub(crate) struct MemberUse(Rc<Cell<usize>>);

impl MemberUse {
    pub(crate) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for MemberUse {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The right to one connection.
#[derive(Debug)]
pub(crate) struct Permit {
    budget: Rc<Budget>,
    _member_use: MemberUse,
}

impl Permit {
    /// Takes one of the budget, for a connection to where `presence` is.
    pub(crate) fn take(budget: &Rc<Budget>, member_use: MemberUse) -> Self {
        budget.used.set(budget.used.get() + 1);
        Self { budget: budget.clone(), _member_use: member_use }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - 1);
        self.budget.released.notify(1);
    }
}

/// Why no answer came.
pub(crate) enum ExchangeError {
    /// No descriptor or port was to be had here.
    LocalShortage,
    /// A call of this machine's system failed for a moment.
    LocalTransient,
    /// Nobody listens.
    ConnectRefused,
    /// Nobody answers.
    NoResponse,
    /// The connection broke: somebody was there.
    Broken,
    /// The member is not to be sent anything new.
    MemberWithdrawn,
    /// The server said no before the query.
    ServerError(Code),
}

impl From<io::Error> for ExchangeError {
    /// What this machine ran out of says nothing of the member.
    fn from(error: io::Error) -> Self {
        if is_shortage(&error) { Self::LocalShortage } else { Self::Broken }
    }
}

impl From<PgError> for ExchangeError {
    fn from(_: PgError) -> Self {
        Self::Broken
    }
}

/// A connection that stands at ReadyForQuery, but for the answers of empty queries.
#[derive(Debug)]
pub(crate) struct Connection {
    // Declared first: the descriptor is closed before the budget learns of it.
    pub(crate) stream: Async<TcpStream>,
    pub(crate) address: SocketAddr,
    pub(crate) buffer: ReadBuffer,
    pub(crate) idle_since: Instant,
    /// What brings one more answer is known to bring nothing else: an empty query behind the last request was
    /// answered, or none was sent yet.
    pub(crate) boundary_verified: bool,
    /// Empty queries whose answers have not come.
    pending_pings: u8,
    /// The first of them has had its EmptyQueryResponse.
    ping_response_seen: bool,
    _permit: Permit,
}

/// What a look at an idle connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleState {
    /// It can carry a request, or will when what it owes has come.
    Usable,
    /// It has ended, is too old, or leads to where the member no longer listens.
    Closed,
    /// It brought what was nobody's.
    UnexpectedData,
}

impl Connection {
    /// One that has just been opened.
    pub(crate) fn new(
        stream: Async<TcpStream>,
        address: SocketAddr,
        buffer: ReadBuffer,
        permit: Permit,
    ) -> Self {
        let idle_since = Instant::now();
        Self {
            stream,
            address,
            buffer,
            idle_since,
            boundary_verified: true,
            pending_pings: 0,
            ping_response_seen: false,
            _permit: permit,
        }
    }

    /// Whether it can carry a request: to where the member listens, open, and with nothing unread. Takes in what has
    /// come of what it owes.
    pub(crate) fn check_idle(&mut self, address: Option<SocketAddr>, max_idle: Duration) -> IdleState {
        if address != Some(self.address) || self.idle_since.elapsed() >= max_idle {
            return IdleState::Closed;
        }
        if self.pending_pings > 0 {
            match self.buffer.try_fill(self.stream.get_ref()) {
                Ok(0) => return IdleState::Closed,
                Ok(_) if self.consume_ping_answers().is_err() => return IdleState::UnexpectedData,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return IdleState::Usable,
                Err(_) => return IdleState::Closed,
            }
        }
        // The end of the stream may stand right behind what came.
        match self.stream.get_ref().peek(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Usable,
            Err(_) | Ok(0) => IdleState::Closed,
            Ok(_) if self.pending_pings > 0 => IdleState::Usable,
            Ok(_) => IdleState::UnexpectedData,
        }
    }

    /// An empty query was written behind a request.
    pub(crate) fn sent_with_ping(&mut self) {
        self.pending_pings += 1;
        self.boundary_verified = false;
    }

    /// The request that is sent on it next has none behind it.
    pub(crate) fn sent_without_ping(&mut self) {
        self.boundary_verified = false;
    }

    /// Whether nothing is outstanding.
    pub(crate) fn is_settled(&self) -> bool {
        self.pending_pings == 0
    }

    /// Takes from the buffer what is there of the answers that it owes; false while there is more to come.
    ///
    /// # Errors
    ///
    /// When anything else comes before them or behind them.
    pub(crate) fn consume_ping_answers(&mut self) -> Result<bool, ExchangeError> {
        self.boundary_verified |= self.pending_pings > 0;
        while self.pending_pings > 0 {
            let Some(message) = pg::server_message(self.buffer.data())? else { return Ok(false) };
            let size = message.size;
            match message.tag {
                b'I' if !self.ping_response_seen => self.ping_response_seen = true,
                b'S' | b'N' if self.ping_response_seen => {}
                b'Z' if self.ping_response_seen && pg::is_ready_for_query(message.body) => {
                    self.ping_response_seen = false;
                    self.pending_pings -= 1;
                }
                _ => return Err(ExchangeError::Broken),
            }
            self.buffer.consume(size);
        }
        if self.buffer.data().is_empty() { Ok(true) } else { Err(ExchangeError::Broken) }
    }

    /// Waits for what it owes.
    pub(crate) async fn settle(&mut self) -> Result<(), ExchangeError> {
        while !self.consume_ping_answers()? {
            if self.buffer.fill(&self.stream).await? == 0 {
                return Err(ExchangeError::Broken);
            }
        }
        Ok(())
    }

    /// Has an empty query answered, with nothing before the answer and nothing behind it.
    pub(crate) async fn ping(&mut self) -> Result<(), ExchangeError> {
        write_all(&self.stream, &[PING_QUERY]).await?;
        self.pending_pings += 1;
        self.settle().await
    }
}
