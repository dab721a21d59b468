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
pub(crate) const MARK: &[u8] = b"Q\0\0\0\x05\0";

/// How many connections there may be, and are.
#[derive(Debug)]
pub(crate) struct Budget {
    pub(crate) used: Cell<usize>,
    pub(crate) most: usize,
    pub(crate) freed: Event,
}

/// What is open or under way at a member: connections, and attempts that may still open one.
#[derive(Debug)]
pub(crate) struct Presence(Rc<Cell<usize>>);

impl Presence {
    pub(crate) fn at(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The right to one connection.
#[derive(Debug)]
pub(crate) struct Permit {
    budget: Rc<Budget>,
    _presence: Presence,
}

impl Permit {
    /// Takes one of the budget, for a connection to where `presence` is.
    pub(crate) fn take(budget: &Rc<Budget>, presence: Presence) -> Self {
        budget.used.set(budget.used.get() + 1);
        Self { budget: budget.clone(), _presence: presence }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - 1);
        self.budget.freed.notify(1);
    }
}

/// Why no answer came.
pub(crate) enum Lost {
    /// No descriptor or port was to be had here.
    Short,
    /// A call of this machine's system failed for a moment.
    Momentary,
    /// Nobody listens.
    Down,
    /// Nobody answers.
    Silent,
    /// The connection broke: somebody was there.
    Broken,
    /// The member is not to be sent anything new.
    Withdrawn,
    /// The server said no before the query.
    Said(Code),
}

impl From<io::Error> for Lost {
    /// What this machine ran out of says nothing of the member.
    fn from(error: io::Error) -> Self {
        if is_shortage(&error) { Self::Short } else { Self::Broken }
    }
}

impl From<PgError> for Lost {
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
    pub(crate) alone: bool,
    /// Empty queries whose answers have not come.
    owed: u8,
    /// The first of them has had its EmptyQueryResponse.
    half: bool,
    _permit: Permit,
}

/// What a look at an idle connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Look {
    /// It can carry a request, or will when what it owes has come.
    Good,
    /// It has ended, is too old, or leads to where the member no longer listens.
    Over,
    /// It brought what was nobody's.
    Noise,
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
        Self { stream, address, buffer, idle_since, alone: true, owed: 0, half: false, _permit: permit }
    }

    /// Whether it can carry a request: to where the member listens, open, and with nothing unread. Takes in what has
    /// come of what it owes.
    pub(crate) fn look(&mut self, address: Option<SocketAddr>, longest: Duration) -> Look {
        if address != Some(self.address) || self.idle_since.elapsed() >= longest {
            return Look::Over;
        }
        if self.owed > 0 {
            match self.buffer.fill_now(self.stream.get_ref()) {
                Ok(0) => return Look::Over,
                Ok(_) if self.take().is_err() => return Look::Noise,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Look::Good,
                Err(_) => return Look::Over,
            }
        }
        // The end of the stream may stand right behind what came.
        match self.stream.get_ref().peek(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Look::Good,
            Err(_) | Ok(0) => Look::Over,
            Ok(_) if self.owed > 0 => Look::Good,
            Ok(_) => Look::Noise,
        }
    }

    /// An empty query was written behind a request.
    pub(crate) fn marked(&mut self) {
        self.owed += 1;
        self.alone = false;
    }

    /// The request that is sent on it next has none behind it.
    pub(crate) fn unmarked(&mut self) {
        self.alone = false;
    }

    /// Whether nothing is outstanding.
    pub(crate) fn rests(&self) -> bool {
        self.owed == 0
    }

    /// Takes from the buffer what is there of the answers that it owes; false while there is more to come.
    ///
    /// # Errors
    ///
    /// When anything else comes before them or behind them.
    pub(crate) fn take(&mut self) -> Result<bool, Lost> {
        self.alone |= self.owed > 0;
        while self.owed > 0 {
            let Some(message) = pg::server_message(self.buffer.data())? else { return Ok(false) };
            let size = message.size;
            match message.tag {
                b'I' if !self.half => self.half = true,
                b'S' | b'N' if self.half => {}
                b'Z' if self.half && pg::ready(message.body) => {
                    self.half = false;
                    self.owed -= 1;
                }
                _ => return Err(Lost::Broken),
            }
            self.buffer.consume(size);
        }
        if self.buffer.data().is_empty() { Ok(true) } else { Err(Lost::Broken) }
    }

    /// Waits for what it owes.
    pub(crate) async fn rest(&mut self) -> Result<(), Lost> {
        while !self.take()? {
            if self.buffer.fill(&self.stream).await? == 0 {
                return Err(Lost::Broken);
            }
        }
        Ok(())
    }

    /// Has an empty query answered, with nothing before the answer and nothing behind it.
    pub(crate) async fn ask(&mut self) -> Result<(), Lost> {
        write_all(&self.stream, &[MARK]).await?;
        self.owed += 1;
        self.rest().await
    }
}
