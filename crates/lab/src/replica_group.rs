//! A group of stand-in boxes with one ledger that is replicated: a write is answered once a replica has it, and a
//! primary can be made to die at any step of a write, in any way. Then a replica takes over after a while.

use crate::boxes::comment_field;
use crate::lock;
use crate::pg_reply::{single_row, status_parameters};
use linnetdeal_net::pg::{self, write};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Where in a write its primary dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Nobody is connected any more, and nobody listens.
    BeforeDial,
    /// Somebody has connected and is not welcomed.
    DuringDial,
    /// A connection is open, and nothing of the write has come.
    BeforeFirstByte,
    /// A part of the write has been read.
    MidStatement,
    /// All of it has been read, and it has not run.
    BeforeRun,
    /// It has run, and is not committed.
    BeforeCommit,
    /// It is committed, and no replica has it.
    BeforeShipped,
    /// A replica has it, and it is not answered.
    BeforeAnswer,
    /// Half of the answer is out.
    HalfAnswer,
    /// All of it is out but for ReadyForQuery.
    BeforeReady,
}

impl Step {
    /// All, in their order.
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

/// How it dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// All connections are reset, and new ones refused.
    Reset,
    /// All connections end, and new ones are refused.
    Closed,
    /// It says nothing more; new connections come up and hear nothing.
    Silent,
}

impl Way {
    /// All.
    pub const ALL: [Self; 3] = [Self::Reset, Self::Closed, Self::Silent];
}

#[derive(Debug, Default)]
struct State {
    primary: Option<usize>,
    /// Those that died, and how.
    dead: HashMap<usize, Way>,
    /// The next step at which the primary dies.
    armed: Option<(Step, Way)>,
    died: Option<Instant>,
    /// It hands over: nothing new is taken.
    draining: Option<usize>,
    /// The positions of replicas stand still from here on while there is no primary.
    still: i64,
    /// Rows that have run, by id: how often, and whether a replica has them.
    rows: HashMap<String, (u32, bool)>,
    last_commit: i64,
    /// One that was the primary, and says that it still is; its position stands still.
    claims: Option<usize>,
    /// Probes that came.
    probes: usize,
    /// Statements that came, whole: at which box, when, and whether it was a write.
    sent: Vec<(usize, Instant, bool)>,
    /// A box that started anew: which, when, its share of capacity then, and after how long it is warm; and when it will
    /// be through with what it has.
    cold: Option<(usize, Instant, f64, Duration)>,
    through: Option<Instant>,
}

/// A group.
#[derive(Clone, Debug)]
pub struct ReplicaGroup {
    state: Arc<Mutex<State>>,
    /// Where each of them listens; the first is the primary at the start.
    pub addresses: Vec<SocketAddr>,
}

const WORK: Duration = Duration::from_millis(4);
/// How far replicas are behind.
const SHIP_MS: i64 = 8;
/// How soon a connection finds that its box has died.
const LOOK: Duration = Duration::from_millis(2);

fn now_ms() -> i64 {
    crate::clients::now_ms()
}

impl ReplicaGroup {
    /// So many boxes on `ip`.
    ///
    /// # Errors
    ///
    /// When one can't listen.
    pub fn start(count: usize, ip: std::net::IpAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State { primary: Some(0), ..State::default() }));
        let listeners =
            (0..count).map(|_| TcpListener::bind((ip, 0))).collect::<std::io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
        let group = Self { state, addresses };
        for (at, listener) in listeners.into_iter().enumerate() {
            listener.set_nonblocking(true)?;
            let group = group.clone();
            std::thread::spawn(move || group.listen(at, listener));
        }
        Ok(group)
    }

    /// Makes the primary die at a step of the next write.
    pub fn arm(&self, step: Step, way: Way) {
        let mut state = lock(&self.state);
        state.armed = Some((step, way));
        if matches!(step, Step::BeforeDial | Step::BeforeFirstByte) {
            state.die(step);
        }
    }

    /// When the primary died.
    #[must_use]
    pub fn died(&self) -> Option<Instant> {
        lock(&self.state).died
    }

    /// The primary takes nothing new from now on.
    pub fn drain(&self) {
        let mut state = lock(&self.state);
        state.draining = state.primary;
        state.still = now_ms() - SHIP_MS;
    }

    /// A box takes over; the old primary, if it lives, is a replica.
    pub fn promote(&self, at: usize) {
        let mut state = lock(&self.state);
        state.primary = Some(at);
        state.draining = None;
    }

    /// A box that died is back, as a replica.
    pub fn revive(&self, at: usize) {
        lock(&self.state).dead.remove(&at);
    }

    /// A box that died is back, and says that it is the primary still. It takes writes, and as no replica follows it any more
    /// it never answers them.
    pub fn revive_claiming(&self, at: usize) {
        let mut state = lock(&self.state);
        state.dead.remove(&at);
        state.claims = Some(at);
    }

    /// A box starts anew, cold: it does one statement at a time, each in the usual time divided by the part of its
    /// capacity that it has by then. What answers at once whatever it is sent would say that it has room for more.
    pub fn start_cold(&self, at: usize, share: f64, warm: Duration) {
        lock(&self.state).cold = Some((at, Instant::now(), share, warm));
    }

    /// Does one statement's work.
    fn work(&self, at: usize) {
        let now = Instant::now();
        let until = {
            let mut state = lock(&self.state);
            match state.cold.filter(|(cold, ..)| *cold == at) {
                None => now + WORK,
                Some((_, started, share, warm)) => {
                    let begins = state.through.map_or(now, |through| through.max(now));
                    let age = (begins - started).as_secs_f64() / warm.as_secs_f64();
                    let ends = begins + WORK.div_f64((share + (1.0 - share) * age).min(1.0));
                    state.through = Some(ends);
                    ends
                }
            }
        };
        std::thread::sleep(until.saturating_duration_since(now));
    }

    /// The statements that came, whole: at which box, when, and whether it was a write.
    #[must_use]
    pub fn sent(&self) -> Vec<(usize, Instant, bool)> {
        lock(&self.state).sent.clone()
    }

    /// How many probes came.
    #[must_use]
    pub fn probes(&self) -> usize {
        lock(&self.state).probes
    }

    /// The rows that count: how often each ran, of those that a replica has.
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

    /// The rows that ran more than once, kept or not.
    #[must_use]
    pub fn doubled(&self) -> usize {
        lock(&self.state).rows.values().filter(|(count, _)| *count > 1).count()
    }

    fn dead(&self, at: usize) -> Option<Way> {
        lock(&self.state).dead.get(&at).copied()
    }

    /// Whether the box dies here.
    fn dies(&self, at: usize, step: Step) -> bool {
        let mut state = lock(&self.state);
        let here = state.primary == Some(at) && state.armed.is_some_and(|(of, _)| of == step);
        here && state.die(step)
    }

    fn listen(&self, at: usize, listener: TcpListener) {
        // While it is down nobody listens at its port.
        let mut open = Some(listener);
        let address = self.addresses[at];
        loop {
            let way = self.dead(at);
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
                        std::thread::spawn(move || group.serve(at, stream));
                    }
                }
                _ => {}
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Ends a connection as its box has died.
    fn end(&self, at: usize, stream: &TcpStream) {
        match self.dead(at) {
            Some(Way::Reset) => {
                let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
            }
            Some(Way::Silent) => {
                while self.dead(at) == Some(Way::Silent) {
                    std::thread::sleep(LOOK);
                }
                let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
            }
            _ => {}
        }
    }

    fn serve(&self, at: usize, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(LOOK));
        let mut read = Vec::new();
        let mut bytes = vec![0; 16 * 1024];
        let mut greeted = false;
        loop {
            if self.dead(at).is_some() {
                return self.end(at, &stream);
            }
            let mut out = Vec::new();
            if !greeted {
                if let Ok(Some((_, size))) = pg::startup(&read) {
                    if self.dies(at, Step::DuringDial) {
                        return self.end(at, &stream);
                    }
                    read.drain(..size);
                    write::session_start(&mut out, 1, 1);
                    greeted = true;
                }
            } else if read.first() == Some(&b'Q')
                && read.get(5..).is_some_and(|statement| statement.starts_with(b"INSERT"))
                && self.dies(at, Step::MidStatement)
            {
                return self.end(at, &stream);
            }
            if greeted && out.is_empty() {
                if let Ok(Some(message)) = pg::message(&read) {
                    let (tag, size) = (message.tag, message.size);
                    let statement = pg::query_text(message.body).unwrap_or("").to_owned();
                    read.drain(..size);
                    if tag != b'Q' {
                        return;
                    }
                    if self.statement(at, &statement, &mut out).is_none() {
                        let _ = stream.write_all(&out);
                        return self.end(at, &stream);
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

    /// Answers a statement; `None` if the box dies with it, after what is in `out`.
    fn statement(&self, at: usize, statement: &str, out: &mut Vec<u8>) -> Option<()> {
        if statement.is_empty() {
            write::empty_query_response(out);
            write::ready_for_query(out);
            return Some(());
        }
        let (primary, claims, draining, position) = {
            let mut state = lock(&self.state);
            if !statement.starts_with("SHOW") {
                state.sent.push((at, Instant::now(), statement.starts_with("INSERT")));
            }
            let claims = state.claims == Some(at);
            (state.primary == Some(at) || claims, claims, state.draining == Some(at), state.position(at))
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
            self.work(at);
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
        if claims {
            while self.dead(at).is_none() && lock(&self.state).claims == Some(at) {
                std::thread::sleep(LOOK);
            }
            return None;
        }
        let dies = |step| self.dies(at, step);
        if dies(Step::BeforeRun) {
            return None;
        }
        self.work(at);
        if dies(Step::BeforeCommit) {
            return None;
        }
        let commit = lock(&self.state).commit(&id);
        if dies(Step::BeforeShipped) {
            return None;
        }
        // Whoever died meanwhile ships nothing more.
        if self.dead(at).is_some() {
            return None;
        }
        if let Some(row) = lock(&self.state).rows.get_mut(&id) {
            row.1 = true;
        }
        if dies(Step::BeforeAnswer) {
            return None;
        }
        single_row(out, format!("{id} {commit}").as_bytes(), true, commit);
        if dies(Step::HalfAnswer) {
            out.truncate(out.len() / 2);
            return None;
        }
        if dies(Step::BeforeReady) {
            return None;
        }
        write::ready_for_query(out);
        Some(())
    }
}

impl State {
    fn die(&mut self, step: Step) -> bool {
        let Some((of, way)) = self.armed.filter(|(of, _)| *of == step) else { return false };
        debug_assert_eq!(of, step);
        if let Some(primary) = self.primary.take() {
            self.dead.insert(primary, way);
            self.still = now_ms() - SHIP_MS;
            self.died = Some(Instant::now());
        }
        self.armed = None;
        true
    }

    /// Up to where a box has applied the log, in ms.
    fn position(&self, at: usize) -> i64 {
        match self.primary {
            _ if self.claims == Some(at) => self.still,
            Some(primary) if primary == at && self.draining.is_none() => now_ms().max(self.last_commit),
            Some(_) if self.draining.is_none() => now_ms() - SHIP_MS,
            _ => self.still,
        }
    }

    fn commit(&mut self, id: &str) -> i64 {
        self.rows.entry(id.to_owned()).or_default().0 += 1;
        self.last_commit = now_ms().max(self.last_commit + 1);
        self.last_commit
    }
}
