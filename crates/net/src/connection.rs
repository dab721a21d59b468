//! One connection to a server: whether it can carry a request, and which answers are still outstanding on it.

use super::buffer::{ReadBuffer, write_all};
use super::pg::{self, Code, PgError};
use super::system_errors::is_shortage;
use async_io::Async;
use event_listener::Event;
use futures_lite::future::yield_now;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An empty query, used as a ping: its answer shows that the connection is alive and that nothing else was
/// received before.
pub(crate) const PING_QUERY: &[u8] = b"Q\0\0\0\x05\0";

/// Maximum number of bytes that a server may send before its session is ready, or in answer to pings. The messages
/// in them may be any number of notices and parameters.
pub(crate) const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// The connection budget: the number of connections in use and its limit.
#[derive(Debug)]
pub(crate) struct Budget {
    /// Permits in use.
    pub(crate) used: Cell<usize>,
    /// Maximum number of permits.
    pub(crate) max: usize,
    /// Notified when a permit is released.
    pub(crate) released: Event,
}

/// Counts one use of a member while it exists: a connection, or an attempt that may still open one.
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

/// The permit for one connection.
#[derive(Debug)]
pub(crate) struct Permit {
    budget: Rc<Budget>,
    _member_use: MemberUse,
}

impl Permit {
    /// Takes one permit from the budget for a connection to the member that `member_use` counts.
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

/// Why an exchange with a server failed.
pub(crate) enum ExchangeError {
    /// This machine is out of descriptors, memory or ports.
    LocalShortage,
    /// A system call failed because of a transient condition on this machine.
    LocalTransient,
    /// The server refused the connection.
    ConnectRefused,
    /// The server did not respond.
    NoResponse,
    /// The connection was closed or the stream was invalid: a server was there.
    Broken,
    /// The member may not be sent anything new.
    MemberWithdrawn,
    /// The server answered the startup message with an error.
    ServerError(Code),
}

impl From<io::Error> for ExchangeError {
    /// A shortage on this machine says nothing about the member.
    fn from(error: io::Error) -> Self {
        if is_shortage(&error) { Self::LocalShortage } else { Self::Broken }
    }
}

impl From<PgError> for ExchangeError {
    fn from(_: PgError) -> Self {
        Self::Broken
    }
}

/// A connection at ReadyForQuery, except for the outstanding answers to pings.
#[derive(Debug)]
pub(crate) struct Connection {
    // Declared first, so that the descriptor is closed before the permit is released.
    pub(crate) stream: Async<TcpStream>,
    pub(crate) address: SocketAddr,
    pub(crate) buffer: ReadBuffer,
    pub(crate) idle_since: Instant,
    /// Whether the last answer is known to have been followed by nothing else: the ping behind the last request
    /// was answered, or no request has been sent yet.
    pub(crate) boundary_verified: bool,
    /// Pings whose answers have not been received.
    pending_pings: u8,
    /// Whether the EmptyQueryResponse of the first of them has been received.
    ping_response_seen: bool,
    _permit: Permit,
}

/// The state of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleState {
    /// It can carry a request, possibly after the outstanding answers to pings.
    Usable,
    /// It was closed, is too old, or leads to an address at which the member no longer listens.
    Closed,
    /// It received data that belongs to no request.
    UnexpectedData,
}

impl Connection {
    /// A connection that has just been opened.
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

    /// Checks whether it can carry a request: it must lead to the member's address, be open and have nothing
    /// unread. Consumes the answers to pings that have been received.
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
        // The end of the stream may follow right behind these answers.
        match self.stream.get_ref().peek(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Usable,
            Err(_) | Ok(0) => IdleState::Closed,
            Ok(_) if self.pending_pings > 0 => IdleState::Usable,
            Ok(_) => IdleState::UnexpectedData,
        }
    }

    /// Records that a request is sent with a ping behind it.
    pub(crate) fn sent_with_ping(&mut self) {
        self.pending_pings += 1;
        self.boundary_verified = false;
    }

    /// Records that a request is sent without a ping behind it.
    pub(crate) fn sent_without_ping(&mut self) {
        self.boundary_verified = false;
    }

    /// Whether no answer to a ping is outstanding.
    pub(crate) fn is_settled(&self) -> bool {
        self.pending_pings == 0
    }

    /// Consumes the answers to pings that are in the buffer; returns false while more are outstanding.
    ///
    /// # Errors
    ///
    /// When anything else precedes or follows them.
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

    /// Waits for the outstanding answers to pings.
    pub(crate) async fn settle(&mut self) -> Result<(), ExchangeError> {
        let mut received = 0;
        while !self.consume_ping_answers()? {
            let count = self.buffer.fill(&self.stream).await?;
            received += count;
            if count == 0 || received > MAX_CONTROL_BYTES {
                return Err(ExchangeError::Broken);
            }
            yield_now().await;
        }
        Ok(())
    }

    /// Sends a ping and waits for its answer; fails if anything else precedes or follows it.
    pub(crate) async fn ping(&mut self) -> Result<(), ExchangeError> {
        write_all(&self.stream, &[PING_QUERY]).await?;
        self.pending_pings += 1;
        self.settle().await
    }
}
