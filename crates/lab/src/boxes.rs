//! Stand-in servers (boxes) that speak the part of PostgreSQL's protocol that a pooler needs, with a role, a
//! replication position and a replication lag.

use crate::recorder::Recorder;
use crate::{lock, pg_reply};
use linnetdeal_net::pg::{self, write};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The replication log of a group: the primary appends commits, and replicas have them a little later. Positions are
/// Unix times in milliseconds.
#[derive(Debug, Default)]
pub struct Log {
    last: AtomicI64,
}

impl Log {
    fn now() -> i64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        i64::try_from(now.as_millis()).unwrap_or(i64::MAX)
    }

    /// Appends a commit and returns its position: the current time, or one more than the latest commit where that is
    /// later.
    fn commit(&self) -> i64 {
        let now = Self::now();
        let before = self.last.fetch_max(now, Ordering::SeqCst);
        if before >= now { self.last.fetch_add(1, Ordering::SeqCst) + 1 } else { now }
    }
}

/// Upper bound on the recorded contacts; a single one is already a fault.
const MAX_CONTACTS: usize = 1_000;

/// A stand-in server.
#[derive(Clone)]
pub struct StandInServer {
    /// Its id in the registry.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    primary: Arc<AtomicBool>,
    lag_ms: Arc<AtomicI64>,
    replayed: Arc<AtomicI64>,
    down: Arc<AtomicBool>,
    /// Whether each connection and each read is recorded, as during maintenance of its machine.
    record_contacts: Arc<AtomicBool>,
    contacts: Arc<Mutex<Vec<Instant>>>,
}

impl StandInServer {
    /// Starts a server that listens on a free port of `ip` and takes `service_time` for each statement.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(
        name: &str,
        ip: IpAddr,
        primary: bool,
        service_time: Duration,
        log: Arc<Log>,
        recorder: Arc<Mutex<Recorder>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            primary: Arc::new(AtomicBool::new(primary)),
            lag_ms: Arc::new(AtomicI64::new(10)),
            down: Arc::default(),
            record_contacts: Arc::default(),
            contacts: Arc::default(),
            replayed: Arc::default(),
        };
        let acceptor = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                acceptor.record_contact();
                if acceptor.down.load(Ordering::SeqCst) {
                    continue;
                }
                let (server, log, recorder) = (acceptor.clone(), log.clone(), recorder.clone());
                std::thread::spawn(move || server.serve(stream, service_time, &log, &recorder));
            }
        });
        Ok(server)
    }

    /// Makes it the primary or a replica.
    pub fn set_primary(&self, primary: bool) {
        self.primary.store(primary, Ordering::SeqCst);
    }

    /// Sets the replication lag in milliseconds; it has an effect on replicas only.
    pub fn set_lag(&self, ms: i64) {
        self.lag_ms.store(ms, Ordering::SeqCst);
    }

    /// Starts or stops recording connections and reads; returns the times of those recorded since the previous call.
    pub fn record_contacts(&self, on: bool) -> Vec<Instant> {
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

    /// Whether it is the primary at present.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.primary.load(Ordering::SeqCst)
    }

    /// Makes it close every connection without an answer, or serve again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    fn position(&self, log: &Log) -> i64 {
        // A primary has all of its commits, also when two in one millisecond put the latest ahead of the clock.
        if self.primary.load(Ordering::SeqCst) {
            return Log::now().max(log.last.load(Ordering::SeqCst));
        }
        let replayed = Log::now() - self.lag_ms.load(Ordering::SeqCst);
        // A position never decreases: a replica whose lag grows first stays where it is.
        replayed.max(self.replayed.fetch_max(replayed, Ordering::SeqCst))
    }

    fn serve(&self, mut stream: TcpStream, service_time: Duration, log: &Log, recorder: &Mutex<Recorder>) {
        let _ = stream.set_nodelay(true);
        let mut read = Vec::new();
        let mut buffer = vec![0; 16 * 1024];
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
                    service_time,
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
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => {
                    self.record_contact();
                    first_byte_at.get_or_insert_with(Instant::now);
                    read.extend_from_slice(&buffer[..count]);
                }
                _ => return,
            }
        }
    }

    fn statement(
        &self,
        statement: &str,
        first_byte_at: Instant,
        service_time: Duration,
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
            std::thread::sleep(service_time);
            lock(recorder).write_executed(id);
            let commit = log.commit();
            pg_reply::single_row(out, format!("{id} {commit}").as_bytes(), primary, commit);
            write::ready_for_query(out);
            return;
        }
        // A read sees the data that the server has when the read begins.
        let position = self.position(log);
        std::thread::sleep(service_time);
        pg_reply::single_row(out, format!("{id} {position}").as_bytes(), primary, position);
        write::ready_for_query(out);
    }
}

/// Returns the value of a key in a statement's trailing comment, as in `/* id=1,c=top-up */`.
#[must_use]
pub fn comment_field<'s>(statement: &'s str, name: &str) -> Option<&'s str> {
    let comment = statement.rsplit_once("/*")?.1.split("*/").next()?.trim();
    comment
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
