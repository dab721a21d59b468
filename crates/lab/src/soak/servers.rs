//! Stand-in servers: groups of one primary and its replicas, with a position, a lag, and modes of misbehaving.

use super::configuration::{BOUND_MS, Class};
use super::faults::FaultKind;
use super::world::World;
use crate::boxes::field;
use crate::clients::now_ms;
use crate::say;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use linnetdeal_net::pg::{self, write};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a server does with statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Answers them.
    Well,
    /// Answers nothing.
    Hangs,
    /// Answers after this.
    Slow(Duration),
    /// Answers with this error, and runs nothing.
    Says(&'static str),
    /// Runs a write and answers with this error.
    RunsAndSays(&'static str),
    /// Listens to nobody.
    Down,
}

/// A server.
pub struct Server {
    /// Its id.
    pub id: String,
    /// Its group.
    pub group: usize,
    /// Whether it is its group's primary.
    pub primary: bool,
    /// Where it listens, behind the proxies.
    pub address: SocketAddr,
    mode: Cell<(Mode, Option<Instant>)>,
    /// How far it is behind, and up to where it has ever been.
    lag_ms: Cell<i64>,
    reached: Cell<i64>,
    /// Notified when all connections are to be reset.
    resets: Event,
}

impl Server {
    /// Starts one on a free port.
    ///
    /// # Errors
    ///
    /// When it can't listen.
    pub fn start(world: &Rc<World>, id: &str, group: usize, primary: bool) -> std::io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let server = Rc::new(Self {
            id: id.to_owned(),
            group,
            primary,
            address: listener.get_ref().local_addr()?,
            mode: Cell::new((Mode::Well, None)),
            lag_ms: Cell::new(10),
            reached: Cell::new(0),
            resets: Event::new(),
        });
        let (of, all) = (server.clone(), world.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, world) = (of.clone(), all.clone());
                let task = async move {
                    let reset = server.resets.listen();
                    let serve = async {
                        let _ = server.serve(&world, &stream).await;
                    };
                    or(serve, reset).await;
                };
                all.executor.spawn(task).detach();
            }
        };
        world.executor.spawn(accept).detach();
        Ok(server)
    }

    /// Behaves so for a while, and well again after it.
    pub fn behave(&self, mode: Mode, length: Duration) {
        self.mode.set((mode, Some(Instant::now() + length)));
        if mode == Mode::Down {
            self.resets.notify(usize::MAX);
        }
    }

    /// It has started anew: nobody is connected, and it behaves well.
    pub fn restart(&self) {
        self.mode.set((Mode::Well, None));
        self.resets.notify(usize::MAX);
    }

    /// From now on it is so far behind.
    pub fn set_lag(&self, ms: i64) {
        self.lag_ms.set(ms);
    }

    fn mode(&self) -> Mode {
        match self.mode.get() {
            (mode, Some(until)) if Instant::now() < until => mode,
            _ => Mode::Well,
        }
    }

    /// A primary stands at the present; a replica's position never goes back.
    fn position(&self) -> i64 {
        let reached = if self.primary { now_ms() } else { now_ms() - self.lag_ms.get() };
        self.reached.set(reached.max(self.reached.get()));
        self.reached.get()
    }

    async fn serve(&self, world: &World, stream: &Async<TcpStream>) -> std::io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let (mut read, mut bytes, mut greeted) = (Vec::new(), vec![0; 16 * 1024], false);
        let mut stream = stream;
        loop {
            if self.mode() == Mode::Down {
                return Ok(());
            }
            let mut out = Vec::new();
            if !greeted {
                if let Ok(Some((_, size))) = pg::startup(&read) {
                    read.drain(..size);
                    write::session_start(&mut out, 1, 1);
                    greeted = true;
                }
            } else if let Ok(Some(message)) = pg::message(&read) {
                let (tag, size) = (message.tag, message.size);
                let statement = pg::query_text(message.body).unwrap_or("").to_owned();
                read.drain(..size);
                if tag != b'Q' {
                    return Ok(());
                }
                self.statement(world, &statement, &mut out).await;
            }
            if !out.is_empty() {
                stream.write_all(&out).await?;
                continue;
            }
            match stream.read(&mut bytes).await? {
                0 => return Ok(()),
                count => read.extend_from_slice(&bytes[..count]),
            }
        }
    }

    async fn statement(&self, world: &World, statement: &str, out: &mut Vec<u8>) {
        if statement.is_empty() {
            write::empty_query_response(out);
            return write::ready_for_query(out);
        }
        let mode = self.mode();
        if mode == Mode::Hangs {
            world.faults.borrow_mut().injected(FaultKind::ServerHang);
            return std::future::pending().await;
        }
        if statement.starts_with("SHOW") {
            let (seconds, role) = (self.position() as f64 / 1_000.0, u8::from(self.primary));
            say::row(out, format!("x0={seconds:.3},x1={role}").as_bytes(), self.primary, self.position());
            return write::ready_for_query(out);
        }
        self.request(world, statement, mode, out).await;
        write::ready_for_query(out);
    }

    async fn request(&self, world: &World, statement: &str, mode: Mode, out: &mut Vec<u8>) {
        let id = field(statement, "id").unwrap_or("");
        let class = field(statement, "c").and_then(Class::named);
        let write = statement.starts_with("INSERT");
        if write && !self.primary {
            return self.error(out, "25006");
        }
        let position = self.position();
        let work = match mode {
            Mode::Slow(work) => {
                world.faults.borrow_mut().injected(FaultKind::ServerSlow);
                work
            }
            _ => Duration::from_millis(2 + world.below(8)),
        };
        match mode {
            Mode::Says(code) => {
                let kind = if code == "53300" { FaultKind::ServerFull } else { FaultKind::ServerErrors };
                world.faults.borrow_mut().injected(kind);
                return self.error(out, code);
            }
            Mode::RunsAndSays(code) => {
                world.faults.borrow_mut().injected(FaultKind::ServerOddCode);
                world.audit.borrow_mut().ran(id);
                return self.error(out, code);
            }
            _ => {}
        }
        if let Some(behind) = class.and_then(|class| class.behind(position, now_ms(), id)) {
            world.audit.borrow_mut().stale(id, &self.id, behind);
        }
        Timer::after(work).await;
        if self.mode() == Mode::Hangs {
            world.faults.borrow_mut().injected(FaultKind::ServerHang);
            return std::future::pending().await;
        }
        world.audit.borrow_mut().ran(id);
        let at = if write { self.position() } else { position };
        say::row(out, format!("{id} {at}").as_bytes(), self.primary, at);
    }

    fn error(&self, out: &mut Vec<u8>, code: &str) {
        write::error_response(out, write::Severity::Error, code, "as the soak has it", None);
        say::notes(out, self.primary, self.position());
    }
}

impl Class {
    /// By how much a server that stands at `position` falls short of what a read of this class must see, in ms.
    fn behind(self, position: i64, now: i64, id: &str) -> Option<i64> {
        let must_see = match self {
            Self::BundleMenu => now - BOUND_MS - SLACK_MS,
            // The id tells when the client asked, and the latest commit that its session was told of.
            Self::BalanceCheck => stamp(id, 't')? - SLACK_MS,
            Self::MyRecent => stamp(id, 'm').filter(|commit| *commit > 0)?,
            Self::UsageHistory | Self::TopUp => return None,
        };
        (position < must_see).then_some(must_see - position)
    }
}

/// The clocks of two processes and the way of a statement differ by so much; the rules have 50 ms.
const SLACK_MS: i64 = 60;

/// The number behind a letter in an id.
fn stamp(id: &str, letter: char) -> Option<i64> {
    let digits = id.split('-').find_map(|part| part.strip_prefix(letter))?;
    digits.parse().ok()
}
