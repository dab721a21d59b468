//! Boxes that speak as much of PostgreSQL as a pooler needs, with a role, a log position and a lag.

use crate::ledger::Ledger;
use crate::{lock, say};
use linnetdeal_net::pg::{self, write};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The log of a group: the primary writes, replicas have it a little later.
#[derive(Debug, Default)]
pub struct Log {
    last: AtomicI64,
}

impl Log {
    fn now() -> i64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        i64::try_from(now.as_millis()).unwrap_or(i64::MAX)
    }

    /// A commit's position: the time, and later than all before.
    fn commit(&self) -> i64 {
        let now = Self::now();
        let before = self.last.fetch_max(now, Ordering::SeqCst);
        if before >= now { self.last.fetch_add(1, Ordering::SeqCst) + 1 } else { now }
    }
}

/// More than so many are not written down: one is too many.
const MOST_TOUCHES: usize = 1_000;

/// A box.
#[derive(Clone)]
pub struct StandIn {
    /// Its id.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    primary: Arc<AtomicBool>,
    lag_ms: Arc<AtomicI64>,
    reached: Arc<AtomicI64>,
    down: Arc<AtomicBool>,
    /// While somebody works on it: whoever connects or sends is written down.
    watched: Arc<AtomicBool>,
    touched: Arc<Mutex<Vec<Instant>>>,
}

impl StandIn {
    /// One that listens on a free port of `ip` and answers after `work`.
    ///
    /// # Errors
    ///
    /// When it can't listen there.
    pub fn start(
        name: &str,
        ip: IpAddr,
        primary: bool,
        work: Duration,
        log: Arc<Log>,
        ledger: Arc<Mutex<Ledger>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let one = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            primary: Arc::new(AtomicBool::new(primary)),
            lag_ms: Arc::new(AtomicI64::new(10)),
            down: Arc::default(),
            watched: Arc::default(),
            touched: Arc::default(),
            reached: Arc::default(),
        };
        let door = one.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                door.touch();
                if door.down.load(Ordering::SeqCst) {
                    continue;
                }
                let (one, log, ledger) = (door.clone(), log.clone(), ledger.clone());
                std::thread::spawn(move || one.serve(stream, work, &log, &ledger));
            }
        });
        Ok(one)
    }

    /// From now on it is this.
    pub fn set_primary(&self, primary: bool) {
        self.primary.store(primary, Ordering::SeqCst);
    }

    /// How far it is behind, in ms.
    pub fn set_lag(&self, ms: i64) {
        self.lag_ms.store(ms, Ordering::SeqCst);
    }

    /// From now on who connects or sends is written down, or no longer; when that was, since it was asked last.
    pub fn watch(&self, on: bool) -> Vec<Instant> {
        self.watched.store(on, Ordering::SeqCst);
        std::mem::take(&mut lock(&self.touched))
    }

    fn touch(&self) {
        if self.watched.load(Ordering::SeqCst) {
            let mut touched = lock(&self.touched);
            if touched.len() < MOST_TOUCHES {
                touched.push(Instant::now());
            }
        }
    }

    /// Whether it is the primary.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.primary.load(Ordering::SeqCst)
    }

    /// Whether it closes whoever comes.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    fn position(&self, log: &Log) -> i64 {
        // A primary has all that it has committed, two commits in one millisecond included.
        if self.primary.load(Ordering::SeqCst) {
            return Log::now().max(log.last.load(Ordering::SeqCst));
        }
        let reached = Log::now() - self.lag_ms.load(Ordering::SeqCst);
        // A position never goes back: who falls behind stands still first.
        reached.max(self.reached.fetch_max(reached, Ordering::SeqCst))
    }

    fn serve(&self, mut stream: TcpStream, work: Duration, log: &Log, ledger: &Mutex<Ledger>) {
        let _ = stream.set_nodelay(true);
        let mut read = Vec::new();
        let mut bytes = vec![0; 16 * 1024];
        let mut greeted = false;
        let mut first = None;
        loop {
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
                    return;
                }
                self.statement(
                    &statement,
                    first.take().unwrap_or_else(Instant::now),
                    work,
                    log,
                    ledger,
                    &mut out,
                );
                first = (!read.is_empty()).then(Instant::now);
            }
            if !out.is_empty() {
                if self.down.load(Ordering::SeqCst) || stream.write_all(&out).is_err() {
                    return;
                }
                continue;
            }
            match stream.read(&mut bytes) {
                Ok(count @ 1..) => {
                    self.touch();
                    first.get_or_insert_with(Instant::now);
                    read.extend_from_slice(&bytes[..count]);
                }
                _ => return,
            }
        }
    }

    fn statement(
        &self,
        statement: &str,
        first: Instant,
        work: Duration,
        log: &Log,
        ledger: &Mutex<Ledger>,
        out: &mut Vec<u8>,
    ) {
        let primary = self.primary.load(Ordering::SeqCst);
        if statement.is_empty() {
            write::empty_query_response(out);
            write::ready_for_query(out);
            return;
        }
        if statement.starts_with("SHOW") {
            let (seconds, role) = (self.position(log) as f64 / 1_000.0, u8::from(primary));
            say::row(out, format!("x0={seconds:.3},x1={role}").as_bytes(), primary, self.position(log));
            write::ready_for_query(out);
            return;
        }
        lock(ledger).sent(&self.name, first);
        let id = field(statement, "id").unwrap_or("");
        if statement.starts_with("INSERT") {
            if !primary {
                write::error_response(out, write::Severity::Error, "25006", "read only", None);
                say::notes(out, primary, self.position(log));
                write::ready_for_query(out);
                return;
            }
            std::thread::sleep(work);
            lock(ledger).ran(id);
            let commit = log.commit();
            say::row(out, format!("{id} {commit}").as_bytes(), primary, commit);
            write::ready_for_query(out);
            return;
        }
        // What a read sees is what the box has when the read begins.
        let position = self.position(log);
        std::thread::sleep(work);
        say::row(out, format!("{id} {position}").as_bytes(), primary, position);
        write::ready_for_query(out);
    }
}

/// A value of a statement's comment.
#[must_use]
pub fn field<'s>(statement: &'s str, name: &str) -> Option<&'s str> {
    let comment = statement.rsplit_once("/*")?.1.split("*/").next()?.trim();
    comment
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
