//! A replication group of stand-in servers: a write is answered once a replica has it, and the primary can be made to
//! fail at any step of a write, in any of several ways. The caller then promotes a replica.

use crate::boxes::comment_field;
use crate::lock;
use crate::pg_reply::{single_row, status_parameters};
use linnetdeal_net::pg::{self, write};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The step of a write at which the primary fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// All connections are gone and the listener is closed.
    BeforeDial,
    /// A client has connected and gets no answer to its startup message.
    DuringDial,
    /// A connection is open, and no byte of the write has arrived.
    BeforeFirstByte,
    /// A part of the statement has been read.
    MidStatement,
    /// The whole statement has been read, and it has not run.
    BeforeRun,
    /// The statement has run and is not committed.
    BeforeCommit,
    /// The write is committed, and no replica has it.
    BeforeShipped,
    /// A replica has the write, and it is not answered.
    BeforeAnswer,
    /// Half of the answer has been sent.
    HalfAnswer,
    /// All of the answer has been sent except ReadyForQuery.
    BeforeReady,
}

impl Step {
    /// All steps, in the order in which a write passes them.
    pub const ALL: [Self; 10] = [
        Self::BeforeDial,
        Self::DuringDial,
        Self::BeforeFirstByte,
        Self::MidStatement,
        Self::BeforeRun,
        Self::BeforeCommit,
        Self::BeforeShipped,
        Self::BeforeAnswer,
        Self::HalfAnswer,
        Self::BeforeReady,
    ];
}

/// How the primary fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// All connections are reset, and new ones refused.
    Reset,
    /// All connections end, and new ones are refused.
    Closed,
    /// The server sends nothing more; new connections are accepted and get no answer.
    Silent,
}

impl Way {
    /// All ways to fail.
    pub const ALL: [Self; 3] = [Self::Reset, Self::Closed, Self::Silent];
}

#[derive(Debug, Default)]
struct State {
    primary: Option<usize>,
    /// The servers that are down, and how they failed.
    failures: HashMap<usize, Way>,
    /// The step at which the primary is to fail next.
    armed: Option<(Step, Way)>,
    failed_at: Option<Instant>,
    /// The primary that hands over: it takes no new writes.
    draining: Option<usize>,
    /// The position at which the replicas stay while there is no primary.
    frozen_position: i64,
    /// Rows that were written, by id: how often, and whether a replica has them.
    rows: HashMap<String, (u32, bool)>,
    last_commit: i64,
    /// A former primary that still reports itself as the primary; its position does not advance.
    stale_primary: Option<usize>,
    /// Number of probes received.
    probes: usize,
    /// Complete statements received: the server's index, when, and whether it was a write.
    statements: Vec<(usize, Instant, bool)>,
    /// A server in slow start: its index, when it started, its share of capacity then, and after how long it is warm.
    cold: Option<(usize, Instant, f64, Duration)>,
    /// When that server will have finished the work that it has accepted.
    busy_until: Option<Instant>,
}

/// A primary and its replicas, all served from this process.
#[derive(Clone, Debug)]
pub struct ReplicaGroup {
    state: Arc<Mutex<State>>,
    /// Addresses of the servers; the first is the primary at the start.
    pub addresses: Vec<SocketAddr>,
}

/// Time that a warm server works on a statement.
const STATEMENT_TIME: Duration = Duration::from_millis(4);
/// Replication lag of the replicas.
const LAG_MS: i64 = 8;
/// Interval at which connections and listeners check whether their server is down.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

fn now_ms() -> i64 {
    crate::clients::now_ms()
}

impl ReplicaGroup {
    /// Starts `count` servers on `ip`.
    ///
    /// # Errors
    ///
    /// When a server can't listen.
    pub fn start(count: usize, ip: std::net::IpAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State { primary: Some(0), ..State::default() }));
        let listeners =
            (0..count).map(|_| TcpListener::bind((ip, 0))).collect::<std::io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
        let group = Self { state, addresses };
        for (member, listener) in listeners.into_iter().enumerate() {
            listener.set_nonblocking(true)?;
            let group = group.clone();
            std::thread::spawn(move || group.listen(member, listener));
        }
        Ok(group)
    }

    /// Makes the primary fail at this step of the next write.
    pub fn arm(&self, step: Step, way: Way) {
        let mut state = lock(&self.state);
        state.armed = Some((step, way));
        if matches!(step, Step::BeforeDial | Step::BeforeFirstByte) {
            state.fail(step);
        }
    }

    /// When a primary last failed.
    #[must_use]
    pub fn failed_at(&self) -> Option<Instant> {
        lock(&self.state).failed_at
    }

    /// Starts a planned handover: the primary takes no new writes from now on.
    pub fn drain(&self) {
        let mut state = lock(&self.state);
        state.draining = state.primary;
        state.frozen_position = now_ms() - LAG_MS;
    }

    /// Promotes a server; the old primary, if it is up, becomes a replica.
    pub fn promote(&self, member: usize) {
        let mut state = lock(&self.state);
        state.primary = Some(member);
        state.draining = None;
    }

    /// Brings a failed server back as a replica.
    pub fn restart_as_replica(&self, member: usize) {
        lock(&self.state).failures.remove(&member);
    }

    /// Brings a failed server back that still reports itself as the primary. It takes writes, and never answers them
    /// because no replica follows it any more.
    pub fn restart_as_stale_primary(&self, member: usize) {
        let mut state = lock(&self.state);
        state.failures.remove(&member);
        state.stale_primary = Some(member);
    }

    /// Restarts a server cold: it processes one statement at a time, each in the usual time divided by the share of
    /// its capacity that it has by then. A server that answered at once whatever it is sent would report spare
    /// capacity.
    pub fn start_cold(&self, member: usize, share: f64, warm: Duration) {
        lock(&self.state).cold = Some((member, Instant::now(), share, warm));
    }

    /// Takes the time of one statement's work.
    fn work(&self, member: usize) {
        let now = Instant::now();
        let until = {
            let mut state = lock(&self.state);
            match state.cold.filter(|(cold, ..)| *cold == member) {
                None => now + STATEMENT_TIME,
                Some((_, started, share, warm)) => {
                    let begins = state.busy_until.map_or(now, |busy_until| busy_until.max(now));
                    let age = (begins - started).as_secs_f64() / warm.as_secs_f64();
                    let ends = begins + STATEMENT_TIME.div_f64((share + (1.0 - share) * age).min(1.0));
                    state.busy_until = Some(ends);
                    ends
                }
            }
        };
        std::thread::sleep(until.saturating_duration_since(now));
    }

    /// Complete statements received: the server's index, when, and whether it was a write.
    #[must_use]
    pub fn statements(&self) -> Vec<(usize, Instant, bool)> {
        lock(&self.state).statements.clone()
    }

    /// Number of probes received.
    #[must_use]
    pub fn probes(&self) -> usize {
        lock(&self.state).probes
    }

    /// The rows that a replica has, and how often each was written.
    #[must_use]
    pub fn rows(&self) -> HashMap<String, u32> {
        let state = lock(&self.state);
        state
            .rows
            .iter()
            .filter(|(_, (_, kept))| *kept)
            .map(|(id, (count, _))| (id.clone(), *count))
            .collect()
    }

    /// Number of rows that were written more than once, whether a replica has them or not.
    #[must_use]
    pub fn duplicate_row_count(&self) -> usize {
        lock(&self.state).rows.values().filter(|(count, _)| *count > 1).count()
    }

    fn failure(&self, member: usize) -> Option<Way> {
        lock(&self.state).failures.get(&member).copied()
    }

    /// Lets the server fail if it is the primary and armed for this step; returns whether it did.
    fn fails_at(&self, member: usize, step: Step) -> bool {
        let mut state = lock(&self.state);
        let matches_step = state.primary == Some(member) && state.armed.is_some_and(|(of, _)| of == step);
        matches_step && state.fail(step)
    }

    fn listen(&self, member: usize, listener: TcpListener) {
        // While the server is down its port is closed.
        let mut open = Some(listener);
        let address = self.addresses[member];
        loop {
            let way = self.failure(member);
            match (way, &open) {
                (Some(Way::Reset | Way::Closed), Some(_)) => open = None,
                (None, None) => {
                    open = TcpListener::bind(address).ok();
                    if let Some(open) = &open {
                        let _ = open.set_nonblocking(true);
                    }
                }
                (None, Some(listening)) => {
                    while let Ok((stream, _)) = listening.accept() {
                        let group = self.clone();
                        std::thread::spawn(move || group.serve(member, stream));
                    }
                }
                _ => {}
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Ends a connection in the way in which its server failed.
    fn end_connection(&self, member: usize, stream: &TcpStream) {
        match self.failure(member) {
            Some(Way::Reset) => {
                let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
            }
            Some(Way::Silent) => {
                while self.failure(member) == Some(Way::Silent) {
                    std::thread::sleep(POLL_INTERVAL);
                }
                let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
            }
            _ => {}
        }
    }

    fn serve(&self, member: usize, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(POLL_INTERVAL));
        let mut read = Vec::new();
        let mut bytes = vec![0; 16 * 1024];
        let mut session_started = false;
        loop {
            if self.failure(member).is_some() {
                return self.end_connection(member, &stream);
            }
            let mut out = Vec::new();
            if !session_started {
                if let Ok(Some((_, size))) = pg::startup(&read) {
                    if self.fails_at(member, Step::DuringDial) {
                        return self.end_connection(member, &stream);
                    }
                    read.drain(..size);
                    write::session_start(&mut out, 1, 1);
                    session_started = true;
                }
            } else if read.first() == Some(&b'Q')
                && read.get(5..).is_some_and(|statement| statement.starts_with(b"INSERT"))
                && self.fails_at(member, Step::MidStatement)
            {
                return self.end_connection(member, &stream);
            }
            if session_started && out.is_empty() {
                if let Ok(Some(message)) = pg::message(&read) {
                    let (tag, size) = (message.tag, message.size);
                    let statement = pg::query_text(message.body).unwrap_or("").to_owned();
                    read.drain(..size);
                    if tag != b'Q' {
                        return;
                    }
                    if self.statement(member, &statement, &mut out).is_none() {
                        let _ = stream.write_all(&out);
                        return self.end_connection(member, &stream);
                    }
                }
            }
            if !out.is_empty() {
                if stream.write_all(&out).is_err() {
                    return;
                }
                continue;
            }
            match stream.read(&mut bytes) {
                Ok(count @ 1..) => read.extend_from_slice(&bytes[..count]),
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                _ => return,
            }
        }
    }

    /// Answers a statement; `None` if the server fails during it, after sending what is in `out`.
    fn statement(&self, member: usize, statement: &str, out: &mut Vec<u8>) -> Option<()> {
        if statement.is_empty() {
            write::empty_query_response(out);
            write::ready_for_query(out);
            return Some(());
        }
        let (primary, stale_primary, draining, position) = {
            let mut state = lock(&self.state);
            if !statement.starts_with("SHOW") {
                state.statements.push((member, Instant::now(), statement.starts_with("INSERT")));
            }
            let stale_primary = state.stale_primary == Some(member);
            (
                state.primary == Some(member) || stale_primary,
                stale_primary,
                state.draining == Some(member),
                state.position(member),
            )
        };
        if statement.starts_with("SHOW") {
            lock(&self.state).probes += 1;
            let role = u8::from(primary && !draining);
            let value = format!("x0={:.3},x1={role}", position as f64 / 1_000.0);
            single_row(out, value.as_bytes(), primary, position);
            write::ready_for_query(out);
            return Some(());
        }
        let id = comment_field(statement, "id").unwrap_or("").to_owned();
        if !statement.starts_with("INSERT") {
            self.work(member);
            single_row(out, format!("{id} {position}").as_bytes(), primary, position);
            write::ready_for_query(out);
            return Some(());
        }
        if draining || !primary {
            let code = if draining { "53300" } else { "25006" };
            write::error_response(out, write::Severity::Error, code, "not here", None);
            status_parameters(out, primary, position);
            write::ready_for_query(out);
            return Some(());
        }
        if stale_primary {
            while self.failure(member).is_none() && lock(&self.state).stale_primary == Some(member) {
                std::thread::sleep(POLL_INTERVAL);
            }
            return None;
        }
        let fails_at = |step| self.fails_at(member, step);
        if fails_at(Step::BeforeRun) {
            return None;
        }
        self.work(member);
        if fails_at(Step::BeforeCommit) {
            return None;
        }
        let commit = lock(&self.state).commit(&id);
        if fails_at(Step::BeforeShipped) {
            return None;
        }
        // A server that failed meanwhile replicates nothing more.
        if self.failure(member).is_some() {
            return None;
        }
        if let Some(row) = lock(&self.state).rows.get_mut(&id) {
            row.1 = true;
        }
        if fails_at(Step::BeforeAnswer) {
            return None;
        }
        single_row(out, format!("{id} {commit}").as_bytes(), true, commit);
        if fails_at(Step::HalfAnswer) {
            out.truncate(out.len() / 2);
            return None;
        }
        if fails_at(Step::BeforeReady) {
            return None;
        }
        write::ready_for_query(out);
        Some(())
    }
}

impl State {
    fn fail(&mut self, step: Step) -> bool {
        let Some((of, way)) = self.armed.filter(|(of, _)| *of == step) else { return false };
        debug_assert_eq!(of, step);
        if let Some(primary) = self.primary.take() {
            self.failures.insert(primary, way);
            self.frozen_position = now_ms() - LAG_MS;
            self.failed_at = Some(Instant::now());
        }
        self.armed = None;
        true
    }

    /// Position up to which a server has applied the log, in ms.
    fn position(&self, member: usize) -> i64 {
        match self.primary {
            _ if self.stale_primary == Some(member) => self.frozen_position,
            Some(primary) if primary == member && self.draining.is_none() => now_ms().max(self.last_commit),
            Some(_) if self.draining.is_none() => now_ms() - LAG_MS,
            _ => self.frozen_position,
        }
    }

    fn commit(&mut self, id: &str) -> i64 {
        self.rows.entry(id.to_owned()).or_default().0 += 1;
        self.last_commit = now_ms().max(self.last_commit + 1);
        self.last_commit
    }
}
