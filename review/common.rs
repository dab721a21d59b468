// Stand-ins and helpers that the cases share: a PostgreSQL server with a replicated log, the agent that pushes the
// list of servers, clients, the platform that starts and signals poolers, and the record. Standard library only.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as f64 / 1_000.0
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---- The record

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Writes one line to `record.txt`, with the time since the start in ms.
pub fn note(line: impl AsRef<str>) {
    if let Some((file, start)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:9.1} {}", start.elapsed().as_micros() as f64 / 1_000.0, line.as_ref());
    }
}

/// Opens the record and begins the limit of time: a case that takes longer could not run.
pub fn begin(folder: &str, limit: Duration) {
    let file = File::create(Path::new(folder).join("record.txt")).expect("record.txt");
    RECORD.set((Mutex::new(file), Instant::now())).ok();
    std::panic::set_hook(Box::new(|why| {
        note(format!("could not run: {why}"));
        eprintln!("could not run: {why}");
        end(2);
    }));
    thread::spawn(move || {
        thread::sleep(limit);
        note("could not run: out of time");
        end(2);
    });
}

/// Ends all processes that were started, then this one. 1: the rule was broken, 0: it held, 2: could not run.
pub fn end(code: i32) -> ! {
    for pid in PIDS.lock().unwrap_or_else(|held| held.into_inner()).iter() {
        signal(*pid, "KILL");
    }
    note(format!("exit {code}"));
    std::process::exit(code)
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- The platform

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).stderr(Stdio::null()).status();
}

/// A folder that is removed by `run.sh`.
pub fn temporary(name: &str) -> PathBuf {
    let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP")).join(name);
    std::fs::create_dir_all(&folder).expect("temporary folder");
    folder
}

/// A free port on the loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("run in the deploy file");
    line["run = ".len()..].trim().trim_matches('"').to_owned()
}

pub struct Pooler {
    pub child: Child,
    pub name: String,
}

impl Pooler {
    /// Starts `run` by `/bin/sh -c` from the root, with the listening socket as descriptor 3 if one is passed down.
    pub fn start(name: &str, config: &Path, tmpdir: &Path, socket: Option<&TcpListener>, env: &[(&str, String)]) -> Self {
        let log = File::create(temporary("logs").join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        let run = run_command();
        match socket {
            Some(socket) => {
                let fd: OwnedFd = socket.try_clone().unwrap().into();
                command.arg("-c").arg(format!("exec 3<&0 0</dev/null; {run}")).stdin(Stdio::from(fd));
                command.env("GW_LISTEN_FD", "3");
            }
            None => {
                command.arg("-c").arg(run).stdin(Stdio::null());
            }
        }
        command.env("GW_CONFIG", config).env("TMPDIR", tmpdir).env("GW_NAME", "n1");
        for (key, value) in env {
            command.env(key, value);
        }
        command.stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().expect("start of run");
        PIDS.lock().unwrap().push(child.id());
        // For `run.sh`, should this program itself be ended from outside.
        let pids = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP")).join("pids");
        let mut pids = File::options().create(true).append(true).open(pids).unwrap();
        writeln!(pids, "{}", child.id()).unwrap();
        note(format!("platform: started {name}, process {}", child.id()));
        Self { child, name: name.to_owned() }
    }

    pub fn signal(&self, name: &str) {
        note(format!("platform: SIG{name} to {}", self.name));
        signal(self.child.id(), name);
    }

    pub fn exited(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Waits until an empty query is answered with EmptyQueryResponse, as the front does.
    pub fn wait_admitted(&mut self, address: SocketAddr) {
        let start = Instant::now();
        loop {
            if let Ok(mut client) = Client::connect(address, Duration::from_millis(500)) {
                if matches!(client.query("", Duration::from_millis(500)), Answer::Empty) {
                    note(format!("front: {} admitted", self.name));
                    return;
                }
            }
            if let Some(status) = self.exited() {
                panic!("{} ended before it was admitted: {status}", self.name);
            }
            assert!(start.elapsed() < Duration::from_secs(30), "{} not admitted within 30 s", self.name);
            sleep_ms(50);
        }
    }
}

/// One call to the second address; the status, or `None` without an answer within 1 s.
pub fn call(address: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n").ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head[9..12]).ok()?.parse().ok()
}

// ---- Discovery: the agent on the pooler's machine, which pushes

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub part: Option<&'static str>,
    pub lifecycle: &'static str,
    /// The last start as Unix time in ms; 0 for long ago.
    pub started: f64,
}

impl Entry {
    fn json(&self) -> String {
        let part = self.part.map_or(String::new(), |part| format!(",\"part\":\"{part}\""));
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":1,\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{:.0}{part}}}",
            self.id, self.address, self.lifecycle, self.started
        )
    }
}

pub fn list_json(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(","))
}

pub struct Discovery {
    pub address: SocketAddr,
    entries: Mutex<(u64, Vec<Entry>)>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = Arc::new(Self { address, entries: Mutex::new((41, entries)) });
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = shared.clone();
                thread::spawn(move || drop(discovery.serve(stream)));
            }
        });
        discovery
    }

    pub fn list(&self) -> String {
        let held = self.entries.lock().unwrap();
        let present: Vec<Entry> = held.1.iter().filter(|entry| entry.lifecycle != "removed").cloned().collect();
        list_json(held.0, true, &present)
    }

    /// Changes an entry and pushes it.
    pub fn update(&self, id: &str, change: impl FnOnce(&mut Entry)) {
        let mut held = self.entries.lock().unwrap();
        held.0 += 1;
        let version = held.0;
        let entry = held.1.iter_mut().find(|entry| entry.id == id).expect("entry");
        change(entry);
        note(format!("discovery: {id} is {} in version {version}", entry.lifecycle));
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let first = head.lines().next().unwrap_or("").to_owned();
        note(format!("discovery: {first}"));
        if !first.contains("follow=1") {
            let list = self.list();
            return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        }
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let line = format!("{}\n", self.list());
        write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
        let (mut told, mut beat) = (self.entries.lock().unwrap().0, Instant::now());
        loop {
            sleep_ms(20);
            let held = self.entries.lock().unwrap().clone();
            if held.0 != told {
                told = held.0;
                // An entry that is told again as it was changes nothing.
                let line = format!("{}\n", list_json(held.0, false, &held.1));
                write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
                beat = Instant::now();
            } else if beat.elapsed() > Duration::from_secs(2) {
                beat = Instant::now();
                stream.write_all(b"1\r\n\n\r\n")?;
            }
        }
    }
}

// ---- Servers: one primary and replicas that apply its log

/// A stretch of time in which a replica applies the log at a part of the usual speed.
#[derive(Clone, Copy)]
pub struct Lag {
    pub from_ms: f64,
    pub to_ms: f64,
    /// How far the position moves on, in ms for each ms of time.
    pub rate: f64,
}

/// The log of a group: commits in order, with their keys and values.
#[derive(Default)]
pub struct Log {
    commits: Mutex<Vec<(f64, String, Vec<u8>)>>,
}

impl Log {
    fn commit(&self, key: &str, value: &[u8]) -> f64 {
        let mut commits = self.commits.lock().unwrap();
        // Whole milliseconds, each commit later than the one before.
        let at = now_ms().ceil().max(commits.last().map_or(0.0, |last| last.0 + 1.0));
        commits.push((at, key.to_owned(), value.to_vec()));
        at
    }

    fn read(&self, key: &str, position: f64) -> Vec<u8> {
        let commits = self.commits.lock().unwrap();
        let found = commits.iter().rev().find(|(at, name, _)| *at <= position && name == key);
        found.map_or(b"none".to_vec(), |(.., value)| value.clone())
    }
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub primary: bool,
    pub log: Arc<Log>,
    pub lag: Mutex<Option<Lag>>,
    pub work_ms: AtomicU64,
    /// Values of other sizes, by key, given in pieces: size, size of a piece, ms between two pieces.
    pub large: Mutex<HashMap<String, (usize, usize, u64)>>,
    /// Holds statements back for so long, as a server that hangs does.
    pub silent: AtomicBool,
    pub statements: AtomicU64,
    /// The process is dead: its connections are reset and new ones refused.
    down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    /// Since when it is back after a crash, and the position at which it stood.
    back: Mutex<Option<(f64, f64)>>,
    /// Keys of values that could not be given to their end, since the connection broke.
    pub cut: Mutex<Vec<String>>,
}

/// Usual delay of a replica.
pub const SHIP_MS: f64 = 11.0;

impl Server {
    pub fn start(id: &str, primary: bool, log: Arc<Log>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            primary,
            log,
            lag: Mutex::new(None),
            work_ms: AtomicU64::new(12),
            large: Mutex::default(),
            silent: AtomicBool::new(false),
            statements: AtomicU64::new(0),
            down: AtomicBool::new(false),
            open: Mutex::default(),
            back: Mutex::default(),
            cut: Mutex::default(),
        });
        server.clone().listen(listener);
        server
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if self.down.load(Ordering::SeqCst) {
                    return;
                }
                self.open.lock().unwrap().push(stream.try_clone().unwrap());
                let server = self.clone();
                thread::Builder::new().stack_size(256 * 1024).spawn(move || drop(server.serve(stream))).unwrap();
            }
        });
    }

    /// The process dies.
    pub fn crash(&self) {
        note(format!("server {}: crashes", self.id));
        self.down.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(self.address));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// It starts again and goes on from where it stood. Its thread is busy for half its time as usual, so that it
    /// catches up by one second a second.
    pub fn come_back(self: &Arc<Self>, stood_at: f64) {
        *self.back.lock().unwrap() = Some((now_ms(), stood_at - SHIP_MS));
        self.down.store(false, Ordering::SeqCst);
        note(format!("server {}: is back, {:.0} ms behind", self.id, now_ms() - stood_at));
        self.clone().listen(TcpListener::bind(self.address).expect("the server's address again"));
    }

    pub fn entry(&self, part: Option<&'static str>) -> Entry {
        Entry { id: self.id.clone(), address: self.address, part, lifecycle: "up", started: 0.0 }
    }

    /// The position: Unix time in ms up to which all commits are applied. It never goes back.
    pub fn position(&self) -> f64 {
        let now = now_ms();
        if self.primary {
            return now;
        }
        let mut usual = now - SHIP_MS;
        if let Some((back, stood_at)) = *self.back.lock().unwrap() {
            usual = usual.min(stood_at + (now - back) * 2.0);
        }
        match *self.lag.lock().unwrap() {
            Some(lag) if now >= lag.from_ms && now < lag.to_ms => {
                lag.from_ms - SHIP_MS + (now - lag.from_ms) * lag.rate
            }
            _ => usual,
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut wire = Wire::new(stream);
        wire.startup()?;
        let mut out = Vec::new();
        message(&mut out, b'R', &[0, 0, 0, 0]);
        message(&mut out, b'Z', b"I");
        wire.stream.write_all(&out)?;
        loop {
            let (tag, body) = wire.message()?;
            if tag != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            let mut out = Vec::new();
            if text.trim().is_empty() {
                message(&mut out, b'I', b"");
                message(&mut out, b'Z', b"I");
            } else if text == "SHOW gauges" {
                let report =
                    format!("x0={:.6},x1={},util=0.30", self.position() / 1_000.0, u8::from(self.primary));
                row_head(&mut out);
                row(&mut out, report.as_bytes());
                message(&mut out, b'C', b"SHOW\0");
                message(&mut out, b'Z', b"I");
            } else if text == "SELECT 1" {
                row_head(&mut out);
                row(&mut out, b"1");
                message(&mut out, b'C', b"SELECT 1\0");
                message(&mut out, b'Z', b"I");
            } else if !text.contains("/*") {
                message(&mut out, b'C', b"SET\0");
                message(&mut out, b'Z', b"I");
            } else {
                self.statement(&mut wire, &text, &mut out)?;
            }
            wire.stream.write_all(&out)?;
        }
    }

    fn statement(&self, wire: &mut Wire, text: &str, out: &mut Vec<u8>) -> io::Result<()> {
        self.statements.fetch_add(1, Ordering::SeqCst);
        let (id, key) = (field(text, "id"), quoted(text));
        let write = text.starts_with("INSERT");
        while self.silent.load(Ordering::SeqCst) {
            sleep_ms(20);
        }
        sleep_ms(self.work_ms.load(Ordering::SeqCst));
        if write && !self.primary {
            note(format!("server {}: {id} turned away, 25006", self.id));
            error(out, "25006");
            message(out, b'Z', b"I");
            return Ok(());
        }
        let (value, told) = if write {
            let value = unhex(text.split("'\\x").nth(1).and_then(|rest| rest.split('\'').next()).unwrap_or(""));
            let at = self.log.commit(&key, &value);
            (value, at)
        } else {
            // Data and position of one moment; the position is told rounded down.
            let position = self.position();
            (self.log.read(&key, position), position.floor())
        };
        let large = self.large.lock().unwrap().get(&key).copied();
        if let Some((size, piece, pause)) = large.filter(|_| !write) {
            self.give_slowly(wire, &id, &key, size, piece, pause)?;
        } else {
            // The many reads of articles are left out of the record.
            if key != "article" {
                let kind = if write { "write" } else { "read" };
                let shown = String::from_utf8_lossy(&value[..value.len().min(24)]).into_owned();
                note(format!("server {}: {id} ran, {kind} {key} = {shown}", self.id));
            }
            row_head(out);
            row(out, &value);
        }
        message(out, b'C', if write { b"INSERT 0 1\0" } else { b"SELECT 1\0" });
        let part = if self.primary { "master" } else { "replica" };
        message(out, b'S', format!("part\0{part}\0").as_bytes());
        message(out, b'S', format!("caught_up_to\0{told}\0").as_bytes());
        message(out, b'Z', b"I");
        Ok(())
    }

    /// Writes a row of `size` bytes in pieces, with a pause before each.
    fn give_slowly(&self, wire: &mut Wire, id: &str, key: &str, size: usize, piece: usize, pause: u64) -> io::Result<()> {
        let mut out = Vec::new();
        row_head(&mut out);
        out.push(b'D');
        out.extend_from_slice(&(size as u32 + 10).to_be_bytes());
        out.extend_from_slice(&[0, 1]);
        out.extend_from_slice(&(size as u32).to_be_bytes());
        wire.stream.write_all(&out)?;
        let (bytes, mut given) = (vec![b'v'; piece], 0);
        note(format!("server {}: {id} begins a value of {size} bytes", self.id));
        while given < size {
            sleep_ms(pause);
            let count = piece.min(size - given);
            if let Err(broken) = wire.stream.write_all(&bytes[..count]) {
                note(format!("server {}: {id} cut off after {given} of {size} bytes: {broken}", self.id));
                self.cut.lock().unwrap().push(key.to_owned());
                return Err(broken);
            }
            given += count;
        }
        note(format!("server {}: {id} gave all {size} bytes", self.id));
        Ok(())
    }
}

pub fn field(text: &str, name: &str) -> String {
    let comment = text.rsplit("/*").next().unwrap_or("").trim().trim_end_matches("*/").trim().to_owned();
    let found = comment.split(',').find_map(|pair| pair.trim().strip_prefix(&format!("{name}=")).map(str::to_owned));
    found.unwrap_or_default()
}

fn quoted(text: &str) -> String {
    text.split('\'').nth(1).unwrap_or("").to_owned()
}

pub fn unhex(text: &str) -> Vec<u8> {
    text.as_bytes().chunks(2).filter_map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// ---- The wire protocol

pub fn message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

fn row_head(out: &mut Vec<u8>) {
    let mut body = vec![0, 1];
    body.extend_from_slice(b"content\0");
    body.extend_from_slice(&[0, 0, 0, 0, 0, 0]);
    body.extend_from_slice(&17u32.to_be_bytes());
    body.extend_from_slice(&[0xff, 0xff]);
    body.extend_from_slice(&[0xff, 0xff, 0xff, 0xff, 0, 1]);
    message(out, b'T', &body);
}

fn row(out: &mut Vec<u8>, value: &[u8]) {
    let mut body = vec![0, 1];
    body.extend_from_slice(&(value.len() as u32).to_be_bytes());
    body.extend_from_slice(value);
    message(out, b'D', &body);
}

fn error(out: &mut Vec<u8>, code: &str) {
    message(out, b'E', format!("SERROR\0C{code}\0Mturned away\0\0").as_bytes());
}

pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn need(&mut self, count: usize) -> io::Result<()> {
        let mut chunk = [0; 64 * 1024];
        while self.buffer.len() < count {
            match self.stream.read(&mut chunk)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                read => self.buffer.extend_from_slice(&chunk[..read]),
            }
        }
        Ok(())
    }

    fn startup(&mut self) -> io::Result<()> {
        self.need(4)?;
        let size = u32::from_be_bytes([self.buffer[0], self.buffer[1], self.buffer[2], self.buffer[3]]) as usize;
        self.need(size)?;
        self.buffer.drain(..size);
        Ok(())
    }

    pub fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        self.need(5)?;
        let size =
            u32::from_be_bytes([self.buffer[1], self.buffer[2], self.buffer[3], self.buffer[4]]) as usize;
        self.need(1 + size)?;
        let body = self.buffer[5..1 + size].to_vec();
        let tag = self.buffer[0];
        self.buffer.drain(..1 + size);
        Ok((tag, body))
    }

    /// Bytes that were read of a message that is not complete.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }
}

// ---- Clients

#[derive(Debug)]
pub enum Answer {
    /// The value of the row.
    Served(Vec<u8>),
    /// An answer to an empty query.
    Empty,
    /// The code of the error.
    Error(String),
    /// The connection ended without a whole answer, after so many bytes of it.
    Ended(usize),
    /// No whole answer in time.
    TimedOut(usize),
}

pub struct Client {
    pub wire: Wire,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let mut wire = Wire::new(stream);
        let mut body = vec![0, 3, 0, 0];
        body.extend_from_slice(b"user\0backend\0database\0store\0\0");
        let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
        out.extend_from_slice(&body);
        wire.stream.write_all(&out)?;
        loop {
            let (tag, body) = wire.message()?;
            match tag {
                b'Z' => return Ok(Self { wire }),
                b'E' => return Err(io::Error::other(error_code(&body))),
                _ => {}
            }
        }
    }

    pub fn query(&mut self, text: &str, timeout: Duration) -> Answer {
        let mut body = text.as_bytes().to_vec();
        body.push(0);
        let mut out = Vec::new();
        message(&mut out, b'Q', &body);
        if self.wire.stream.write_all(&out).is_err() {
            return Answer::Ended(0);
        }
        self.answer(timeout)
    }

    pub fn answer(&mut self, timeout: Duration) -> Answer {
        let _ = self.wire.stream.set_read_timeout(Some(timeout));
        let (mut value, mut code, mut empty, mut whole, mut got) = (None, None, false, false, 0);
        loop {
            match self.wire.message() {
                Ok((tag, body)) => {
                    got += body.len() + 5;
                    match tag {
                        b'D' => value = Some(body[6..].to_vec()),
                        b'C' => whole = true,
                        b'E' => code = Some(error_code(&body)),
                        b'I' => empty = true,
                        b'Z' => break,
                        _ => {}
                    }
                }
                Err(error) => {
                    if let Some(code) = code {
                        return Answer::Error(code);
                    }
                    let got = got + self.wire.pending();
                    let slow = matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
                    return if slow { Answer::TimedOut(got) } else { Answer::Ended(got) };
                }
            }
        }
        match (code, value.filter(|_| whole), empty) {
            (Some(code), ..) => Answer::Error(code),
            (None, Some(value), _) => Answer::Served(value),
            (None, None, true) => Answer::Empty,
            _ => Answer::Error("incomplete".to_owned()),
        }
    }
}

fn error_code(body: &[u8]) -> String {
    let fields = body.split(|byte| *byte == 0);
    let code = fields.filter_map(|field| field.strip_prefix(b"C")).next();
    code.map_or("?".to_owned(), |code| String::from_utf8_lossy(code).into_owned())
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A new id of a request.
pub fn new_id() -> String {
    format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

pub fn select(id: &str, key: &str, class: &str, deadline: u64) -> String {
    format!("SELECT content FROM kv WHERE name = '{key}' /* id={id},c={class},d={deadline},cluster=1 */")
}

pub fn insert(id: &str, key: &str, value: &[u8], class: &str, deadline: u64) -> String {
    format!(
        "INSERT INTO kv (name, content) VALUES ('{key}', '\\x{}') RETURNING content /* id={id},c={class},d={deadline},cluster=1 */",
        hex(value)
    )
}
