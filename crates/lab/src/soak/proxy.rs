//! The proxy between one pooler and one server. It forwards bytes, reports to the checker what was sent when, and
//! resets, delays, truncates and adds to what it forwards.

use super::context::Context;
use super::faults::FaultKind;
use super::servers::Server;
use crate::boxes::comment_field;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use linnetdeal_net::pg;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// While connections are slow: how many of a thousand are, and by up to how many milliseconds.
const LATE_CONNECT: (u64, u64) = (330, 1_500);
/// While another fault is active, how many of a thousand statements, answers or connections it affects.
const FAULT_PER_MILLE: u64 = 120;
/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before a second attempt is checked, since the end of the first may be read after it.
const CONCURRENCY_CHECK_DELAY: Duration = Duration::from_millis(150);

/// Opens a proxy; returns the address at which the pooler reaches the server.
///
/// # Errors
///
/// When the socket can't be bound.
pub fn open(context: &Rc<Context>, pooler: usize, server: &Rc<Server>) -> std::io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    let (task_context, server) = (context.clone(), server.clone());
    let accept_loop = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = ProxiedConnection {
                context: task_context.clone(),
                pooler,
                server: server.clone(),
                pending: RefCell::default(),
                forwarding: RefCell::default(),
                truncate_next: Cell::new(false),
                reset_on_close: Cell::new(false),
            };
            task_context.executor.spawn(connection.forward(stream)).detach();
        }
    };
    context.executor.spawn(accept_loop).detach();
    Ok(address)
}

/// A request whose answer has not been forwarded yet, or another message that will be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Query {
    Request { id: String, number: u64 },
    Other,
}

/// One proxied connection.
struct ProxiedConnection {
    context: Rc<Context>,
    pooler: usize,
    server: Rc<Server>,
    pending: RefCell<VecDeque<Query>>,
    /// Queries whose answers are being forwarded.
    forwarding: RefCell<Vec<Query>>,
    /// Whether the next answer is truncated.
    truncate_next: Cell<bool>,
    /// Whether the connection is closed with a reset.
    reset_on_close: Cell<bool>,
}

impl ProxiedConnection {
    async fn forward(self, pooler: Async<TcpStream>) {
        if self.injects(FaultKind::LateConnect, LATE_CONNECT.0) {
            let delay = Timer::after(Duration::from_millis(self.context.random_below(LATE_CONNECT.1)));
            let departure = async {
                // A close by the pooler does not shorten the delay; the connection then ends once it is forwarded.
                let _ = pooler.readable().await;
                std::future::pending::<()>().await;
            };
            or(
                async {
                    delay.await;
                },
                departure,
            )
            .await;
        }
        if let Ok(server) = Async::<TcpStream>::connect(self.server.address).await {
            let _ = (pooler.get_ref().set_nodelay(true), server.get_ref().set_nodelay(true));
            let upstream = async {
                let _ = self.pooler_to_server(&pooler, &server).await;
            };
            let downstream = async {
                let _ = self.server_to_pooler(&server, &pooler).await;
            };
            or(upstream, downstream).await;
        }
        if self.reset_on_close.get() {
            let _ = rustix::net::sockopt::set_socket_linger(pooler.get_ref(), Some(Duration::ZERO));
        }
        drop(pooler);
        for query in self.pending.take().into_iter().chain(self.forwarding.take()) {
            self.attempt_ended(query);
        }
    }

    /// Whether a fault is active and affects this event.
    fn injects(&self, kind: FaultKind, per_mille: u64) -> bool {
        let injects = self.context.faults.borrow().is_active(kind) && self.context.chance(per_mille);
        if injects {
            self.context.faults.borrow_mut().count_injection(kind);
        }
        injects
    }

    fn attempt_ended(&self, query: Query) {
        if let Query::Request { id, number } = query {
            self.context.audit.borrow_mut().attempt_ended(&id, number);
        }
    }

    /// Forwards from the pooler to the server.
    async fn pooler_to_server(
        &self,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
    ) -> std::io::Result<()> {
        let (mut received, mut bytes, mut started) = (Vec::new(), vec![0; 16 * 1024], false);
        let mut first_byte_at: Option<Instant> = None;
        loop {
            let read = async { from.read(&mut bytes).await };
            let idle = async {
                if !self.context.faults.borrow().is_active(FaultKind::IdleClose)
                    || !self.pending.borrow().is_empty()
                {
                    std::future::pending::<()>().await;
                }
                Timer::after(IDLE_TIMEOUT).await;
                self.context.faults.borrow_mut().count_injection(FaultKind::IdleClose);
                Ok(0)
            };
            let count = or(read, idle).await?;
            if count == 0 {
                return Ok(());
            }
            received.extend_from_slice(&bytes[..count]);
            let mut reset_after = false;
            if !started {
                if let Ok(Some((_, size))) = pg::startup(&received) {
                    received.drain(..size);
                    started = true;
                    self.pending.borrow_mut().push_back(Query::Other);
                }
            }
            while started && !received.is_empty() {
                let began = *first_byte_at.get_or_insert_with(Instant::now);
                let Ok(Some(message)) = pg::message(&received) else { break };
                let (size, statement) = (message.size, pg::query_text(message.body).unwrap_or("").to_owned());
                received.drain(..size);
                first_byte_at = None;
                reset_after |= self.record_query(&statement, began);
            }
            // Cuts off a statement that has not arrived completely: it must not run.
            if started && !received.is_empty() && self.injects(FaultKind::ResetMiddle, FAULT_PER_MILLE) {
                self.reset_on_close.set(true);
                return Ok(());
            }
            self.write_to(to, &bytes[..count]).await?;
            if reset_after {
                Timer::after(Duration::from_millis(self.context.random_below(12))).await;
                self.reset_on_close.set(true);
                to.close().await?;
                return Ok(());
            }
        }
    }

    /// Records a query that has arrived completely; whether the connection is to be reset after it.
    fn record_query(&self, statement: &str, first_byte_at: Instant) -> bool {
        let id = comment_field(statement, "id");
        let Some(id) = id else {
            self.pending.borrow_mut().push_back(Query::Other);
            return false;
        };
        let timeout = comment_field(statement, "d").and_then(|timeout| timeout.parse().ok()).unwrap_or(0);
        let timeout = Duration::from_millis(timeout);
        let mut audit = self.context.audit.borrow_mut();
        let number = audit.attempt_sent(self.pooler, &self.server.id, id, timeout, first_byte_at);
        let earlier = audit.other_attempts(id, number);
        drop(audit);
        if !earlier.is_empty() {
            let (context, id) = (self.context.clone(), id.to_owned());
            let check = async move {
                Timer::after(CONCURRENCY_CHECK_DELAY).await;
                context.audit.borrow_mut().check_concurrent(&id, &earlier);
            };
            self.context.executor.spawn(check).detach();
        }
        self.pending.borrow_mut().push_back(Query::Request { id: id.to_owned(), number });
        self.truncate_next
            .set(self.truncate_next.get() || self.injects(FaultKind::HalfAnswer, FAULT_PER_MILLE));
        self.injects(FaultKind::ResetAfter, FAULT_PER_MILLE)
    }

    /// Forwards from the server to the pooler.
    async fn server_to_pooler(
        &self,
        mut from: &Async<TcpStream>,
        to: &Async<TcpStream>,
    ) -> std::io::Result<()> {
        let (mut received, mut bytes) = (Vec::new(), vec![0; 16 * 1024]);
        loop {
            let count = from.read(&mut bytes).await?;
            if count == 0 {
                return Ok(());
            }
            received.extend_from_slice(&bytes[..count]);
            let mut size = 0;
            while let Ok(Some(message)) = pg::server_message(&received[size..]) {
                size += message.size;
                if message.tag == b'Z' {
                    let answered = self.pending.borrow_mut().pop_front();
                    self.forwarding.borrow_mut().extend(answered);
                }
            }
            received.drain(..size);
            let requests = self.forwarding.borrow().iter().any(|query| *query != Query::Other);
            if requests && self.truncate_next.replace(false) {
                self.write_to(to, &bytes[..count / 2]).await?;
                // Half of the truncated connections are closed, the others stay open and silent.
                if self.context.chance(500) {
                    std::future::pending::<()>().await;
                }
                self.reset_on_close.set(self.context.chance(500));
                return Ok(());
            }
            self.write_to(to, &bytes[..count]).await?;
            self.forwarding.take().into_iter().for_each(|query| self.attempt_ended(query));
            if requests && self.injects(FaultKind::Noise, FAULT_PER_MILLE) {
                self.write_to(to, b"C\0\0\0\x06x\0").await?;
            }
        }
    }

    async fn write_to(&self, mut to: &Async<TcpStream>, bytes: &[u8]) -> std::io::Result<()> {
        if !self.injects(FaultKind::Dribble, FAULT_PER_MILLE) {
            return to.write_all(bytes).await;
        }
        for piece in bytes.chunks(1 + bytes.len() / 4) {
            to.write_all(piece).await?;
            Timer::after(Duration::from_millis(1)).await;
        }
        Ok(())
    }
}
