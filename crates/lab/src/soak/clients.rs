//! Clients of a soak: they send requests one by one or pipelined, disconnect, stop in the middle of a command,
//! write slowly, or send garbage, and report what they see to the checker.

use super::audit::{LOST_AFTER, Outcome, Rule};
use super::configuration::{Class, MAX_DEADLINE};
use super::context::Context;
use super::faults::FaultKind;
use super::poolers::Pooler;
use crate::clients::now_ms;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use linnetdeal_net::pg::{self, write};
use std::io::{Error, ErrorKind};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client that violates the protocol has to receive an error or be disconnected within 3 s; a busy machine may
/// delay that by 0.6 s.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000 + 600);
/// Maximum pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// Maximum of an occasional longer pause, in which servers and poolers may close idle connections.
const MAX_IDLE_MS: u64 = 900;
/// Maximum number of requests on one connection.
const MAX_REQUESTS_PER_CONNECTION: u64 = 40;
/// How many of a thousand requests meet each kind of client fault; departures are more frequent while connections
/// to servers are slow.
const FAULT_PER_MILLE: u64 = 30;
const DEPARTURE_PER_MILLE: u64 = 200;

/// A client's session, with the latest commit position that it knows of its own writes.
struct Session {
    name: String,
    request_count: u64,
    last_commit: i64,
    /// The start of the pooler that reported that position.
    pooler_start: u64,
}

/// An answer to a request.
struct Answer {
    outcome: Outcome,
    value: Option<String>,
}

/// A request that was sent.
struct ClientRequest {
    id: String,
    class: Class,
    statement: String,
    sent_at: Instant,
    deadline: Instant,
}

/// Why a request got no answer.
enum NoAnswer {
    /// The connection was closed or failed.
    Closed,
    /// No answer arrived in time.
    TimedOut,
}

/// Runs one client of a pooler until the soak sends no more requests.
pub async fn run(context: Rc<Context>, pooler: Rc<Pooler>, number: usize) {
    let name = format!("p{}c{number}", pooler.number());
    let mut session = Session { name, request_count: 0, last_commit: 0, pooler_start: 0 };
    while !context.finished.get() {
        if !pooler.takes_clients() {
            Timer::after(Duration::from_millis(5)).await;
            continue;
        }
        if context.chance(FAULT_PER_MILLE) {
            misbehave(&context, &pooler).await;
        }
        if let Ok(mut connection) = Connection::open(&pooler).await {
            run_connection(&context, &pooler, &mut session, &mut connection).await;
        } else {
            Timer::after(Duration::from_millis(10)).await;
        }
    }
}

/// Sends requests on one connection, for as long as it lasts.
async fn run_connection(
    context: &Context,
    pooler: &Pooler,
    session: &mut Session,
    connection: &mut Connection,
) {
    for _ in 0..context.random_below(MAX_REQUESTS_PER_CONNECTION) {
        let pause = if context.chance(FAULT_PER_MILLE) { MAX_IDLE_MS } else { MAX_PAUSE_MS };
        Timer::after(Duration::from_millis(context.random_below(pause))).await;
        if context.finished.get() {
            return;
        }
        let connected = if context.chance(FAULT_PER_MILLE) {
            send_pipelined(context, pooler, session, connection).await
        } else {
            send_one(context, pooler, session, connection).await
        };
        if !connected {
            return;
        }
    }
}

impl Session {
    fn new_request(
        &mut self,
        context: &Context,
        pooler: &Pooler,
        class: Class,
        timeout: Duration,
    ) -> ClientRequest {
        self.request_count += 1;
        if self.pooler_start != pooler.starts() {
            (self.last_commit, self.pooler_start) = (0, pooler.starts());
        }
        let id = format!("{}-{}-t{}-m{}", self.name, self.request_count, now_ms(), self.last_commit);
        let sent_at = Instant::now();
        let request = ClientRequest {
            statement: statement(class, &self.name, &id, timeout),
            id,
            class,
            sent_at,
            deadline: sent_at + timeout,
        };
        context.audit.borrow_mut().request_sent(&request.id, class == Class::TopUp, request.deadline);
        request
    }

    fn record_answer(&mut self, pooler: &Pooler, request: &ClientRequest, answer: &Answer) {
        let position = answer.value.as_deref().and_then(|value| value.split_once(' ')?.1.parse().ok());
        if let Some(position) =
            position.filter(|_| request.class == Class::TopUp && self.pooler_start == pooler.starts())
        {
            self.last_commit = position;
        }
    }
}

fn statement(class: Class, key: &str, id: &str, timeout: Duration) -> String {
    let comment = format!("/* id={id},c={},d={},cluster=0 */", class.name(), timeout.as_millis());
    if class == Class::TopUp {
        format!("INSERT INTO kv (name, content) VALUES ('{key}', '\\x01') RETURNING content {comment}")
    } else {
        format!("SELECT content FROM kv WHERE name = '{key}' {comment}")
    }
}

/// Sends one request; false if the connection can't be used any more.
async fn send_one(
    context: &Context,
    pooler: &Pooler,
    session: &mut Session,
    connection: &mut Connection,
) -> bool {
    let class = Class::from_draw(context.random_below(100));
    let class_timeout = if class == Class::TopUp { MAX_DEADLINE } else { Duration::from_millis(1_000) };
    let timeout = if context.chance(50) {
        Duration::from_millis(20 + context.random_below(100))
    } else {
        class_timeout
    };
    let request = session.new_request(context, pooler, class, timeout);
    // More frequent while connections to servers are slow: the pooler has not sent the first byte of the requests
    // then.
    let late_connect = context.faults.borrow().is_active(FaultKind::LateConnect);
    let departure = context
        .chance(if late_connect { DEPARTURE_PER_MILLE } else { FAULT_PER_MILLE })
        .then(|| Duration::from_millis(context.random_below(150)));
    if connection.send(context, &request.statement, context.chance(FAULT_PER_MILLE)).await.is_err() {
        return retry_on_new_connection(context, pooler, session, request).await;
    }
    let answer = async { Some(connection.next_answer(request.deadline + LOST_AFTER).await) };
    let departing = async {
        match departure {
            Some(after) => drop(Timer::after(after).await),
            None => std::future::pending().await,
        }
        None
    };
    match or(answer, departing).await {
        None => {
            context.faults.borrow_mut().count_injection(FaultKind::ClientLeaves);
            connection.close();
            context.audit.borrow_mut().client_left(&request.id, Instant::now());
            false
        }
        Some(Ok(answer)) => {
            report_answer(context, &request.id, &answer);
            session.record_answer(pooler, &request, &answer);
            true
        }
        Some(Err(NoAnswer::Closed)) => retry_on_new_connection(context, pooler, session, request).await,
        Some(Err(NoAnswer::TimedOut)) => {
            report_lost(context, pooler, &request, "no answer");
            false
        }
    }
}

fn report_answer(context: &Context, id: &str, answer: &Answer) {
    let value = answer.value.as_deref().and_then(|value| value.split(' ').next());
    context.audit.borrow_mut().request_answered(id, answer.outcome, value, Instant::now());
}

fn report_lost(context: &Context, pooler: &Pooler, request: &ClientRequest, why: &str) {
    if pooler.killed_since(request.sent_at) {
        context.audit.borrow_mut().request_excused();
    } else {
        let detail = format!(
            "{} at pooler {}: {why} after {:?}",
            request.id,
            pooler.number(),
            request.sent_at.elapsed()
        );
        context.audit.borrow_mut().record_violation(Rule::Lost, &detail);
    }
}

/// Handles a connection that was closed while a request was open. The close may have crossed the request, so it
/// is sent once more on a new connection. Always false.
async fn retry_on_new_connection(
    context: &Context,
    pooler: &Pooler,
    session: &mut Session,
    request: ClientRequest,
) -> bool {
    if pooler.killed_since(request.sent_at) {
        context.audit.borrow_mut().request_excused();
        return false;
    }
    let connection = if pooler.takes_clients() { Connection::open(pooler).await.ok() } else { None };
    let Some(mut connection) = connection else {
        // No pooler accepts the request any more.
        context.audit.borrow_mut().request_excused();
        return false;
    };
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    let statement = statement(request.class, &session.name, &request.id, remaining);
    let sent = connection.send(context, &statement, false).await;
    let answer = match sent {
        Ok(()) => connection.next_answer(request.deadline + LOST_AFTER).await,
        Err(_) => Err(NoAnswer::Closed),
    };
    match answer {
        Ok(answer) => {
            report_answer(context, &request.id, &answer);
            session.record_answer(pooler, &request, &answer);
        }
        Err(NoAnswer::Closed) if pooler.crowded_since(request.sent_at) => {
            context.audit.borrow_mut().request_excused();
        }
        Err(_) => {
            report_lost(context, pooler, &request, "its second connection ended as well, or told nothing")
        }
    }
    false
}

/// Sends several requests at once; false if the connection can't be used any more.
async fn send_pipelined(
    context: &Context,
    pooler: &Pooler,
    session: &mut Session,
    connection: &mut Connection,
) -> bool {
    context.faults.borrow_mut().count_injection(FaultKind::ClientPipelines);
    let classes = [Class::UsageHistory, Class::BundleMenu, Class::BalanceCheck];
    let timeout = Duration::from_millis(1_000);
    let count = 2 + context.random_below(6) as usize;
    let requests: Vec<ClientRequest> = (0..count)
        .map(|_| session.new_request(context, pooler, classes[context.random_below(3) as usize], timeout))
        .collect();
    let mut out = Vec::new();
    requests.iter().for_each(|request| write::query(&mut out, &request.statement));
    let mut closed = connection.write(&out).await.is_err();
    for request in requests {
        let answer = if closed {
            Err(NoAnswer::Closed)
        } else {
            connection.next_answer(request.deadline + LOST_AFTER).await
        };
        match answer {
            Ok(answer) => {
                report_answer(context, &request.id, &answer);
            }
            Err(NoAnswer::TimedOut) => {
                report_lost(context, pooler, &request, "no answer");
                connection.close();
                closed = true;
            }
            // A close may cross the pipelined requests behind an answer, as it may cross a request that follows a
            // pause.
            Err(NoAnswer::Closed) => {
                closed = true;
                retry_on_new_connection(context, pooler, session, request).await;
            }
        }
    }
    !closed
}

/// Opens a connection and violates the protocol on it: the client has to receive an error or be disconnected in
/// time.
async fn misbehave(context: &Context, pooler: &Pooler) {
    let Ok(mut connection) = Connection::open(pooler).await else { return };
    let began = Instant::now();
    let (kind, bytes) = match context.random_below(4) {
        0 => {
            let mut half = Vec::new();
            write::query(&mut half, &statement(Class::UsageHistory, "k", "half", Duration::from_secs(1)));
            half.truncate(1 + context.random_below(half.len() as u64 - 1) as usize);
            (FaultKind::ClientStops, half)
        }
        1 => (FaultKind::ClientGarbage, (0..200).map(|_| context.random_below(256) as u8).collect()),
        2 => {
            let mut unsupported = Vec::new();
            (0..20).for_each(|_| write::query(&mut unsupported, "SELECT 1"));
            (FaultKind::ClientGarbage, unsupported)
        }
        _ => (FaultKind::ClientGarbage, vec![b'Q', 0xff, 0xff, 0xff, 0xff]),
    };
    context.faults.borrow_mut().count_injection(kind);
    if connection.write(&bytes).await.is_err() {
        return;
    }
    if connection
        .next_answer(began + BAD_CLIENT_TIMEOUT)
        .await
        .is_err_and(|error| matches!(error, NoAnswer::TimedOut))
        && !pooler.killed_since(began)
    {
        let detail = format!("{kind:?} at pooler {} after {:?}", pooler.number(), began.elapsed());
        context.audit.borrow_mut().record_violation(Rule::BadClientKept, &detail);
    }
}

/// A client's connection.
struct Connection {
    stream: Option<Async<TcpStream>>,
    received: Vec<u8>,
}

impl Connection {
    /// Opens a connection and waits until the pooler is ready for queries.
    async fn open(pooler: &Pooler) -> std::io::Result<Self> {
        let mut connection = Self { stream: Some(pooler.connect().await?), received: Vec::new() };
        let mut out = Vec::new();
        write::startup(&mut out, "backend", "store");
        connection.write(&out).await?;
        match connection.next_answer(Instant::now() + Duration::from_secs(2)).await {
            Ok(_) => Ok(connection),
            Err(_) => Err(ErrorKind::ConnectionAborted.into()),
        }
    }

    fn close(&mut self) {
        self.stream = None;
    }

    async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let mut stream = self.stream.as_ref().ok_or(Error::from(ErrorKind::NotConnected))?;
        stream.write_all(bytes).await
    }

    /// Sends a query; a few bytes at a time if `in_chunks`.
    async fn send(&mut self, context: &Context, statement: &str, in_chunks: bool) -> std::io::Result<()> {
        let mut out = Vec::new();
        write::query(&mut out, statement);
        if !in_chunks {
            return self.write(&out).await;
        }
        context.faults.borrow_mut().count_injection(FaultKind::ClientDribbles);
        for piece in out.chunks(30) {
            self.write(piece).await?;
            Timer::after(Duration::from_millis(1)).await;
        }
        Ok(())
    }

    /// Waits for the next answer until `end`.
    async fn next_answer(&mut self, end: Instant) -> Result<Answer, NoAnswer> {
        let timed_out = async {
            Timer::at(end).await;
            Err(NoAnswer::TimedOut)
        };
        or(self.read_answer(), timed_out).await
    }

    async fn read_answer(&mut self) -> Result<Answer, NoAnswer> {
        let (mut outcome, mut value) = (Outcome::Failed, None);
        let mut bytes = [0; 4 * 1024];
        loop {
            while let Some(message) = pg::server_message(&self.received).map_err(|_| NoAnswer::Closed)? {
                let (tag, size) = (message.tag, message.size);
                match tag {
                    b'D' => {
                        let row = pg::row_value(message.body).ok().flatten();
                        value = row.and_then(|row| String::from_utf8(row.to_vec()).ok());
                    }
                    b'C' => outcome = Outcome::Served,
                    b'E' => {
                        let code =
                            message.body.split(|byte| *byte == 0).find_map(|field| field.strip_prefix(b"C"));
                        let refused = matches!(code, Some(b"53300" | b"57P03"));
                        outcome = if refused { Outcome::Refused } else { Outcome::Failed };
                    }
                    _ => {}
                }
                let fatal = tag == b'E' && message.body.windows(6).any(|six| six == b"FATAL\0");
                self.received.drain(..size);
                if tag == b'Z' || fatal {
                    return Ok(Answer { outcome, value });
                }
            }
            let mut stream = self.stream.as_ref().ok_or(NoAnswer::Closed)?;
            match stream.read(&mut bytes).await {
                Ok(count @ 1..) => self.received.extend_from_slice(&bytes[..count]),
                _ => return Err(NoAnswer::Closed),
            }
        }
    }
}
