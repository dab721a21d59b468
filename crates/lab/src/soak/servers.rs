//! Stand-in servers: a group of one primary and its replicas, with replication positions, lag, and modes of
//! failure.

use super::configuration::{Class, STALENESS_BOUND_MS};
use super::context::Context;
use super::faults::FaultKind;
use crate::boxes::comment_field;
use crate::clients::now_ms;
use crate::pg_reply;
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
    /// Answers after this delay.
    Slow(Duration),
    /// Answers with this SQLSTATE and runs nothing.
    Failing(&'static str),
    /// Runs the statement and answers with this SQLSTATE.
    RunThenFail(&'static str),
    /// Closes all connections, new ones included.
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
    /// Its replication lag, and the latest position that it has reported.
    lag_ms: Cell<i64>,
    max_position: Cell<i64>,
    /// Notified when all connections are to be reset.
    reset_event: Event,
}

impl Server {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// When the socket can't be bound.
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

    /// Sets a mode for this duration; the server is in normal mode after that.
    pub fn set_mode(&self, mode: Mode, duration: Duration) {
        self.mode.set((mode, Some(Instant::now() + duration)));
        if mode == Mode::Down {
            self.reset_event.notify(usize::MAX);
        }
    }

    /// Restarts the server: all connections are closed, and it is in normal mode.
    pub fn restart(&self) {
        self.mode.set((Mode::Normal, None));
        self.reset_event.notify(usize::MAX);
    }

    /// Sets its replication lag.
    pub fn set_lag(&self, ms: i64) {
        self.lag_ms.set(ms);
    }

    fn mode(&self) -> Mode {
        match self.mode.get() {
            (mode, Some(until)) if Instant::now() < until => mode,
            _ => Mode::Normal,
        }
    }

    /// A primary's position is the present time; a replica's position lags behind and never goes back.
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
            pg_reply::single_row(
                out,
                format!("x0={seconds:.3},x1={role}").as_bytes(),
                self.primary,
                self.position(),
            );
            return write::ready_for_query(out);
        }
        self.run_request(context, statement, mode, out).await;
        write::ready_for_query(out);
    }

    async fn run_request(&self, context: &Context, statement: &str, mode: Mode, out: &mut Vec<u8>) {
        let id = comment_field(statement, "id").unwrap_or("");
        let class = comment_field(statement, "c").and_then(Class::from_name);
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
        pg_reply::single_row(
            out,
            format!("{id} {answer_position}").as_bytes(),
            self.primary,
            answer_position,
        );
    }

    fn error(&self, out: &mut Vec<u8>, code: &str) {
        write::error_response(out, write::Severity::Error, code, "injected by the soak", None);
        pg_reply::status_parameters(out, self.primary, self.position());
    }
}

impl Class {
    /// By how many milliseconds a server at `position` falls short of what a read of this class must see.
    fn shortfall_ms(self, position: i64, now: i64, id: &str) -> Option<i64> {
        let must_see = match self {
            Self::BundleMenu => now - STALENESS_BOUND_MS - CLOCK_SLACK_MS,
            // The id contains the time when the client sent the request, and the latest commit position of its
            // session.
            Self::BalanceCheck => id_number(id, 't')? - CLOCK_SLACK_MS,
            Self::MyRecent => id_number(id, 'm').filter(|commit| *commit > 0)?,
            Self::UsageHistory | Self::TopUp => return None,
        };
        (position < must_see).then_some(must_see - position)
    }
}

/// Allowance for the clocks of two processes and the transfer of a statement; the program's rules allow 50 ms.
const CLOCK_SLACK_MS: i64 = 60;

/// The number behind a letter in a request's id.
fn id_number(id: &str, letter: char) -> Option<i64> {
    let digits = id.split('-').find_map(|part| part.strip_prefix(letter))?;
    digits.parse().ok()
}
