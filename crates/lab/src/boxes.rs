//! Boxes that speak as much of PostgreSQL as a pooler needs, with a role, a log position and a lag.

use crate::recorder::Recorder;
use crate::{lock, pg_reply};
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
const MAX_CONTACTS: usize = 1_000;

/// A box.
#[derive(Clone)]
pub struct StandInServer {
    /// Its id.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    primary: Arc<AtomicBool>,
    lag_ms: Arc<AtomicI64>,
    replayed: Arc<AtomicI64>,
    down: Arc<AtomicBool>,
    /// While somebody works on it: whoever connects or sends is written down.
    record_contacts: Arc<AtomicBool>,
    contacts: Arc<Mutex<Vec<Instant>>>,
}

impl StandInServer {
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
        recorder: Arc<Mutex<Recorder>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let one = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            primary: Arc::new(AtomicBool::new(primary)),
            lag_ms: Arc::new(AtomicI64::new(10)),
            down: Arc::default(),
            record_contacts: Arc::default(),
            contacts: Arc::default(),
            replayed: Arc::default(),
        };
        let server = one.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                server.record_contact();
                if server.down.load(Ordering::SeqCst) {
                    continue;
                }
                let (one, log, recorder) = (server.clone(), log.clone(), recorder.clone());
                std::thread::spawn(move || one.serve(stream, work, &log, &recorder));
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
        self.record_contacts.store(on, Ordering::SeqCst);
        std::mem::take(&mut lock(&self.contacts))
    }

    fn record_contact(&self) {
        if self.record_contacts.load(Ordering::SeqCst) {
            let mut contacts = lock(&self.contacts);
            if contacts.len() < MAX_CONTACTS {
                contacts.push(Instant::now());
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
        let replayed = Log::now() - self.lag_ms.load(Ordering::SeqCst);
        // A position never goes back: who falls behind stands still first.
        replayed.max(self.replayed.fetch_max(replayed, Ordering::SeqCst))
    }

    fn serve(&self, mut stream: TcpStream, work: Duration, log: &Log, recorder: &Mutex<Recorder>) {
        let _ = stream.set_nodelay(true);
        let mut read = Vec::new();
        let mut bytes = vec![0; 16 * 1024];
        let mut session_started = false;
        let mut first_byte_at = None;
        loop {
            let mut out = Vec::new();
            if !session_started {
                if let Ok(Some((_, size))) = pg::startup(&read) {
                    read.drain(..size);
                    write::session_start(&mut out, 1, 1);
                    session_started = true;
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
                    first_byte_at.take().unwrap_or_else(Instant::now),
                    work,
                    log,
                    recorder,
                    &mut out,
                );
                first_byte_at = (!read.is_empty()).then(Instant::now);
            }
            if !out.is_empty() {
                if self.down.load(Ordering::SeqCst) || stream.write_all(&out).is_err() {
                    return;
                }
                continue;
            }
            match stream.read(&mut bytes) {
                Ok(count @ 1..) => {
                    self.record_contact();
                    first_byte_at.get_or_insert_with(Instant::now);
                    read.extend_from_slice(&bytes[..count]);
                }
                _ => return,
            }
        }
    }

    fn statement(
        &self,
        statement: &str,
        first_byte_at: Instant,
        work: Duration,
        log: &Log,
        recorder: &Mutex<Recorder>,
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
            pg_reply::single_row(
                out,
                format!("x0={seconds:.3},x1={role}").as_bytes(),
                primary,
                self.position(log),
            );
            write::ready_for_query(out);
            return;
        }
        lock(recorder).statement_received(&self.name, first_byte_at);
        let id = comment_field(statement, "id").unwrap_or("");
        if statement.starts_with("INSERT") {
            if !primary {
                write::error_response(out, write::Severity::Error, "25006", "read only", None);
                pg_reply::status_parameters(out, primary, self.position(log));
                write::ready_for_query(out);
                return;
            }
            std::thread::sleep(work);
            lock(recorder).write_executed(id);
            let commit = log.commit();
            pg_reply::single_row(out, format!("{id} {commit}").as_bytes(), primary, commit);
            write::ready_for_query(out);
            return;
        }
        // What a read sees is what the box has when the read begins.
        let position = self.position(log);
        std::thread::sleep(work);
        pg_reply::single_row(out, format!("{id} {position}").as_bytes(), primary, position);
        write::ready_for_query(out);
    }
}

/// A value of a statement's comment.
#[must_use]
pub fn comment_field<'s>(statement: &'s str, name: &str) -> Option<&'s str> {
    let comment = statement.rsplit_once("/*")?.1.split("*/").next()?.trim();
    comment
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
