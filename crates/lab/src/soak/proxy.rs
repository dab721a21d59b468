//! What lies between one pooler and one server: a proxy that carries bytes, tells the judge what was sent when, and resets,
//! delays, cuts short and adds to what it carries.

use super::faults::FaultKind;
use super::servers::Server;
use super::world::World;
use crate::boxes::field;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use linnetdeal_net::pg;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// While connections come up late, so many of a thousand do, by up to so much.
const LATE: (u64, u64) = (330, 1_500);
/// While other faults hold, so many of a thousand statements, answers or connections meet them.
const OFTEN: u64 = 120;
/// An idle connection is closed after so long.
const IDLE: Duration = Duration::from_millis(150);
/// A second attempt is judged so much later: the end of the first may be read after it.
const JUDGED_AFTER: Duration = Duration::from_millis(150);

/// Opens a proxy; where the pooler finds the server.
///
/// # Errors
///
/// When it can't listen.
pub fn open(world: &Rc<World>, pooler: usize, server: &Rc<Server>) -> std::io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    let (all, server) = (world.clone(), server.clone());
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let way = Way {
                world: all.clone(),
                pooler,
                server: server.clone(),
                queries: RefCell::default(),
                passing: RefCell::default(),
                half: Cell::new(false),
                reset: Cell::new(false),
            };
            all.executor.spawn(way.carry(stream)).detach();
        }
    };
    world.executor.spawn(accept).detach();
    Ok(address)
}

/// A statement whose answer has not passed, or something else that will be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Query {
    Request { id: String, number: u64 },
    Other,
}

/// One connection.
struct Way {
    world: Rc<World>,
    pooler: usize,
    server: Rc<Server>,
    queries: RefCell<VecDeque<Query>>,
    /// Queries whose answers are being passed on.
    passing: RefCell<Vec<Query>>,
    /// The next answer breaks off in the middle.
    half: Cell<bool>,
    /// It ends with a reset.
    reset: Cell<bool>,
}

impl Way {
    async fn carry(self, pooler: Async<TcpStream>) {
        if self.meets(FaultKind::LateConnect, LATE.0) {
            let late = Timer::after(Duration::from_millis(self.world.below(LATE.1)));
            let left = async {
                // Whoever has given it up meanwhile is not carried on.
                let _ = pooler.readable().await;
                std::future::pending::<()>().await;
            };
            or(
                async {
                    late.await;
                },
                left,
            )
            .await;
        }
        if let Ok(server) = Async::<TcpStream>::connect(self.server.address).await {
            let _ = (pooler.get_ref().set_nodelay(true), server.get_ref().set_nodelay(true));
            let up = async {
                let _ = self.up(&pooler, &server).await;
            };
            let down = async {
                let _ = self.down(&server, &pooler).await;
            };
            or(up, down).await;
        }
        if self.reset.get() {
            let _ = rustix::net::sockopt::set_socket_linger(pooler.get_ref(), Some(Duration::ZERO));
        }
        drop(pooler);
        for query in self.queries.take().into_iter().chain(self.passing.take()) {
            self.over(query);
        }
    }

    /// Whether a trouble holds and this meets it.
    fn meets(&self, kind: FaultKind, per_mille: u64) -> bool {
        let meets = self.world.faults.borrow().holds(kind) && self.world.chance(per_mille);
        if meets {
            self.world.faults.borrow_mut().injected(kind);
        }
        meets
    }

    fn over(&self, query: Query) {
        if let Query::Request { id, number } = query {
            self.world.audit.borrow_mut().over(&id, number);
        }
    }

    /// From the pooler to the server.
    async fn up(&self, mut from: &Async<TcpStream>, mut to: &Async<TcpStream>) -> std::io::Result<()> {
        let (mut read, mut bytes, mut greeted) = (Vec::new(), vec![0; 16 * 1024], false);
        let mut first: Option<Instant> = None;
        loop {
            let next = async { from.read(&mut bytes).await };
            let idle = async {
                if !self.world.faults.borrow().holds(FaultKind::IdleClose)
                    || !self.queries.borrow().is_empty()
                {
                    std::future::pending::<()>().await;
                }
                Timer::after(IDLE).await;
                self.world.faults.borrow_mut().injected(FaultKind::IdleClose);
                Ok(0)
            };
            let count = or(next, idle).await?;
            if count == 0 {
                return Ok(());
            }
            read.extend_from_slice(&bytes[..count]);
            let mut reset = false;
            if !greeted {
                if let Ok(Some((_, size))) = pg::startup(&read) {
                    read.drain(..size);
                    greeted = true;
                    self.queries.borrow_mut().push_back(Query::Other);
                }
            }
            while greeted && !read.is_empty() {
                let began = *first.get_or_insert_with(Instant::now);
                let Ok(Some(message)) = pg::message(&read) else { break };
                let (size, statement) = (message.size, pg::query_text(message.body).unwrap_or("").to_owned());
                read.drain(..size);
                first = None;
                reset |= self.query(&statement, began);
            }
            // The beginning of a statement that never comes whole at the server: it must not run.
            if greeted && !read.is_empty() && self.meets(FaultKind::ResetMiddle, OFTEN) {
                self.reset.set(true);
                return Ok(());
            }
            self.write(to, &bytes[..count]).await?;
            if reset {
                Timer::after(Duration::from_millis(self.world.below(12))).await;
                self.reset.set(true);
                to.close().await?;
                return Ok(());
            }
        }
    }

    /// Takes down a query that is all sent; whether the connection is to be reset behind it.
    fn query(&self, statement: &str, first: Instant) -> bool {
        let id = field(statement, "id");
        let Some(id) = id else {
            self.queries.borrow_mut().push_back(Query::Other);
            return false;
        };
        let wait = field(statement, "d").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let wait = Duration::from_millis(wait);
        let mut audit = self.world.audit.borrow_mut();
        let number = audit.sent(self.pooler, &self.server.id, id, wait, first);
        let before = audit.others_out(id, number);
        drop(audit);
        if !before.is_empty() {
            let (world, id) = (self.world.clone(), id.to_owned());
            let judge = async move {
                Timer::after(JUDGED_AFTER).await;
                world.audit.borrow_mut().still_out(&id, &before);
            };
            self.world.executor.spawn(judge).detach();
        }
        self.queries.borrow_mut().push_back(Query::Request { id: id.to_owned(), number });
        self.half.set(self.half.get() || self.meets(FaultKind::HalfAnswer, OFTEN));
        self.meets(FaultKind::ResetAfter, OFTEN)
    }

    /// From the server to the pooler.
    async fn down(&self, mut from: &Async<TcpStream>, to: &Async<TcpStream>) -> std::io::Result<()> {
        let (mut read, mut bytes) = (Vec::new(), vec![0; 16 * 1024]);
        loop {
            let count = from.read(&mut bytes).await?;
            if count == 0 {
                return Ok(());
            }
            read.extend_from_slice(&bytes[..count]);
            let mut size = 0;
            while let Ok(Some(message)) = pg::server_message(&read[size..]) {
                size += message.size;
                if message.tag == b'Z' {
                    let answered = self.queries.borrow_mut().pop_front();
                    self.passing.borrow_mut().extend(answered);
                }
            }
            read.drain(..size);
            let requests = self.passing.borrow().iter().any(|query| *query != Query::Other);
            if requests && self.half.replace(false) {
                self.write(to, &bytes[..count / 2]).await?;
                // Half of them end there, the others stay open and silent.
                if self.world.chance(500) {
                    std::future::pending::<()>().await;
                }
                self.reset.set(self.world.chance(500));
                return Ok(());
            }
            self.write(to, &bytes[..count]).await?;
            self.passing.take().into_iter().for_each(|query| self.over(query));
            if requests && self.meets(FaultKind::Noise, OFTEN) {
                self.write(to, b"C\0\0\0\x06x\0").await?;
            }
        }
    }

    async fn write(&self, mut to: &Async<TcpStream>, bytes: &[u8]) -> std::io::Result<()> {
        if !self.meets(FaultKind::Dribble, OFTEN) {
            return to.write_all(bytes).await;
        }
        for piece in bytes.chunks(1 + bytes.len() / 4) {
            to.write_all(piece).await?;
            Timer::after(Duration::from_millis(1)).await;
        }
        Ok(())
    }
}
