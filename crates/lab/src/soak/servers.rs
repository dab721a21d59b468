//! Stand-in servers: groups of one primary and its replicas, with a position, a lag, and modes of misbehaving.

use super::configuration::{Class, STALENESS_BOUND_MS};
use super::context::Context;
use super::faults::FaultKind;
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
    Normal,
    /// Answers nothing.
    Hanging,
    /// Answers after this.
    Slow(Duration),
    /// Answers with this error, and runs nothing.
    Failing(&'static str),
    /// Runs a write and answers with this error.
    RunThenFail(&'static str),
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
    max_position: Cell<i64>,
    /// Notified when all connections are to be reset.
    reset_event: Event,
}

impl Server {
    /// Starts one on a free port.
    ///
    /// # Errors
    ///
    /// When it can't listen.
    pub fn start(context: &Rc<Context>, id: &str, group: usize, primary: bool) -> std::io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let server = Rc::new(Self {
            id: id.to_owned(),
            group,
            primary,
            address: listener.get_ref().local_addr()?,
            mode: Cell::new((Mode::Normal, None)),
            lag_ms: Cell::new(10),
            max_position: Cell::new(0),
            reset_event: Event::new(),
        });
        let (listener_server, task_context) = (server.clone(), context.clone());
        let accept_loop = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, context) = (listener_server.clone(), task_context.clone());
                let task = async move {
                    let reset = server.reset_event.listen();
                    let serve = async {
                        let _ = server.serve(&context, &stream).await;
                    };
                    or(serve, reset).await;
                };
                task_context.executor.spawn(task).detach();
            }
        };
        context.executor.spawn(accept_loop).detach();
        Ok(server)
    }

    /// Behaves so for a while, and well again after it.
    pub fn set_mode(&self, mode: Mode, duration: Duration) {
        self.mode.set((mode, Some(Instant::now() + duration)));
        if mode == Mode::Down {
            self.reset_event.notify(usize::MAX);
        }
    }

    /// It has started anew: nobody is connected, and it behaves well.
    pub fn restart(&self) {
        self.mode.set((Mode::Normal, None));
        self.reset_event.notify(usize::MAX);
    }

    /// From now on it is so far behind.
    pub fn set_lag(&self, ms: i64) {
        self.lag_ms.set(ms);
    }

    fn mode(&self) -> Mode {
        match self.mode.get() {
            (mode, Some(until)) if Instant::now() < until => mode,
            _ => Mode::Normal,
        }
    }

    /// A primary stands at the present; a replica's position never goes back.
    fn position(&self) -> i64 {
        let current = if self.primary { now_ms() } else { now_ms() - self.lag_ms.get() };
        self.max_position.set(current.max(self.max_position.get()));
        self.max_position.get()
    }

    async fn serve(&self, context: &Context, stream: &Async<TcpStream>) -> std::io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let (mut received, mut bytes, mut started) = (Vec::new(), vec![0; 16 * 1024], false);
        let mut stream = stream;
        loop {
            if self.mode() == Mode::Down {
                return Ok(());
            }
            let mut out = Vec::new();
            if !started {
                if let Ok(Some((_, size))) = pg::startup(&received) {
                    received.drain(..size);
                    write::session_start(&mut out, 1, 1);
                    started = true;
                }
            } else if let Ok(Some(message)) = pg::message(&received) {
                let (tag, size) = (message.tag, message.size);
                let statement = pg::query_text(message.body).unwrap_or("").to_owned();
                received.drain(..size);
                if tag != b'Q' {
                    return Ok(());
                }
                self.run_statement(context, &statement, &mut out).await;
            }
            if !out.is_empty() {
                stream.write_all(&out).await?;
                continue;
            }
            match stream.read(&mut bytes).await? {
                0 => return Ok(()),
                count => received.extend_from_slice(&bytes[..count]),
            }
        }
    }

    async fn run_statement(&self, context: &Context, statement: &str, out: &mut Vec<u8>) {
        if statement.is_empty() {
            write::empty_query_response(out);
            return write::ready_for_query(out);
        }
        let mode = self.mode();
        if mode == Mode::Hanging {
            context.faults.borrow_mut().count_injection(FaultKind::ServerHang);
            return std::future::pending().await;
        }
        if statement.starts_with("SHOW") {
            let (seconds, role) = (self.position() as f64 / 1_000.0, u8::from(self.primary));
            say::row(out, format!("x0={seconds:.3},x1={role}").as_bytes(), self.primary, self.position());
            return write::ready_for_query(out);
        }
        self.run_request(context, statement, mode, out).await;
        write::ready_for_query(out);
    }

    async fn run_request(&self, context: &Context, statement: &str, mode: Mode, out: &mut Vec<u8>) {
        let id = field(statement, "id").unwrap_or("");
        let class = field(statement, "c").and_then(Class::from_name);
        let write = statement.starts_with("INSERT");
        if write && !self.primary {
            return self.error(out, "25006");
        }
        let position = self.position();
        let service_time = match mode {
            Mode::Slow(delay) => {
                context.faults.borrow_mut().count_injection(FaultKind::ServerSlow);
                delay
            }
            _ => Duration::from_millis(2 + context.random_below(8)),
        };
        match mode {
            Mode::Failing(code) => {
                let kind = if code == "53300" { FaultKind::ServerFull } else { FaultKind::ServerErrors };
                context.faults.borrow_mut().count_injection(kind);
                return self.error(out, code);
            }
            Mode::RunThenFail(code) => {
                context.faults.borrow_mut().count_injection(FaultKind::ServerOddCode);
                context.audit.borrow_mut().statement_ran(id);
                return self.error(out, code);
            }
            _ => {}
        }
        if let Some(shortfall) = class.and_then(|class| class.shortfall_ms(position, now_ms(), id)) {
            context.audit.borrow_mut().stale_read(id, &self.id, shortfall);
        }
        Timer::after(service_time).await;
        if self.mode() == Mode::Hanging {
            context.faults.borrow_mut().count_injection(FaultKind::ServerHang);
            return std::future::pending().await;
        }
        context.audit.borrow_mut().statement_ran(id);
        let answer_position = if write { self.position() } else { position };
        say::row(out, format!("{id} {answer_position}").as_bytes(), self.primary, answer_position);
    }

    fn error(&self, out: &mut Vec<u8>, code: &str) {
        write::error_response(out, write::Severity::Error, code, "as the soak has it", None);
        say::notes(out, self.primary, self.position());
    }
}

impl Class {
    /// By how much a server that stands at `position` falls short of what a read of this class must see, in ms.
    fn shortfall_ms(self, position: i64, now: i64, id: &str) -> Option<i64> {
        let must_see = match self {
            Self::BundleMenu => now - STALENESS_BOUND_MS - CLOCK_SLACK_MS,
            // The id tells when the client asked, and the latest commit that its session was told of.
            Self::BalanceCheck => id_number(id, 't')? - CLOCK_SLACK_MS,
            Self::MyRecent => id_number(id, 'm').filter(|commit| *commit > 0)?,
            Self::UsageHistory | Self::TopUp => return None,
        };
        (position < must_see).then_some(must_see - position)
    }
}

/// The clocks of two processes and the way of a statement differ by so much; the rules have 50 ms.
const CLOCK_SLACK_MS: i64 = 60;

/// The number behind a letter in an id.
fn id_number(id: &str, letter: char) -> Option<i64> {
    let digits = id.split('-').find_map(|part| part.strip_prefix(letter))?;
    digits.parse().ok()
}
