//! Stand-ins for the cases of the second review: servers, discovery, clients, and the processes of the project.
//! Standard library only; each case includes this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case ends by itself within this time.
const TIME_LIMIT: Duration = Duration::from_secs(110);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

// ---- The record of a run

pub struct Record {
    started: Instant,
    file: Mutex<std::fs::File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Milliseconds since the case began.
pub fn now_ms() -> u64 {
    RECORD.get().unwrap().started.elapsed().as_millis() as u64
}

/// Writes one line to `record.txt`.
pub fn note(text: impl AsRef<str>) {
    let record = RECORD.get().unwrap();
    let line = format!("{:>7} {}\n", record.started.elapsed().as_millis(), text.as_ref());
    let _ = record.file.lock().unwrap().write_all(line.as_bytes());
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Opens the record and the temporary folder, and runs the case: Ok(violations), or Err if it could not run.
/// Arguments of the program: the folder of the case and the root of the repository.
pub fn main_of(case: impl FnOnce(&Path) -> Result<Vec<String>, String> + Send + 'static) -> ! {
    let mut arguments = std::env::args().skip(1);
    let folder = PathBuf::from(arguments.next().expect("the folder of the case"));
    let root = PathBuf::from(arguments.next().expect("the root of the repository"));
    let file = std::fs::File::create(folder.join("record.txt")).expect("record.txt");
    let _ = RECORD.set(Record { started: Instant::now(), file: Mutex::new(file) });
    let temporary = std::env::temp_dir().join(format!("linnetdeal-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let _ = FOLDER.set(temporary.clone());
    note(format!("TROUBLE={}", u8::from(trouble())));
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        note("out of time");
        finish(2);
    });
    let result = std::thread::spawn(move || case(&root)).join();
    let code = match result {
        Ok(Ok(violations)) if violations.is_empty() => {
            note("result: the rule held");
            println!("the rule held");
            0
        }
        Ok(Ok(violations)) => {
            for violation in violations.iter().take(40) {
                note(format!("violation: {violation}"));
            }
            note(format!("result: the rule was broken {} times", violations.len()));
            println!("the rule was broken {} times, such as: {}", violations.len(), violations[0]);
            1
        }
        Ok(Err(error)) => {
            note(format!("result: could not run: {error}"));
            println!("could not run: {error}");
            2
        }
        Err(_) => {
            note("result: the case panicked");
            2
        }
    };
    finish(code);
}

fn finish(code: i32) -> ! {
    for pid in PROCESSES.lock().unwrap().iter() {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid} 2>/dev/null")).status();
    }
    if let Some(folder) = FOLDER.get() {
        // What the processes logged, for the reader of the record.
        let mut logs: Vec<_> = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|e| e.path()).collect();
        logs.sort();
        for log in logs.iter().filter(|path| path.extension().is_some_and(|e| e == "log")) {
            let text = std::fs::read(log).unwrap_or_default();
            let text = String::from_utf8_lossy(&text);
            for line in text.lines().take(60) {
                note(format!("{}: {}", log.file_stem().unwrap().to_string_lossy(), line.chars().take(300).collect::<String>()));
            }
        }
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

/// The temporary folder of this run.
pub fn folder() -> &'static Path {
    FOLDER.get().unwrap()
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// ---- Processes of the project

pub struct Process {
    pub child: Child,
    pub name: String,
}

impl Process {
    /// Starts the deploy file's `run` from the root with these variables, and `listener` as descriptor 3 if given.
    pub fn start(root: &Path, name: &str, variables: &[(&str, String)], listener: Option<&TcpListener>) -> Self {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).and_then(|rest| rest.split('"').next());
        let run = run.expect("the deploy file's `run`").to_owned();
        let log = std::fs::File::create(folder().join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        let text = if listener.is_some() { format!("exec 3<&0 </dev/null; {run}") } else { run };
        command.arg("-c").arg(text).current_dir(root);
        for variable in ["LINNETDEAL_OPERATOR", "GW_LISTEN_FD", "GW_OPERATOR", "GW_CONFIG"] {
            command.env_remove(variable);
        }
        command.envs(variables.iter().map(|(name, value)| (*name, value.as_str())));
        command.stdout(log.try_clone().unwrap()).stderr(log);
        match listener {
            Some(listener) => {
                command.env("GW_LISTEN_FD", "3");
                command.stdin(Stdio::from(std::os::fd::OwnedFd::from(listener.try_clone().unwrap())));
            }
            None => {
                command.stdin(Stdio::null());
            }
        }
        let child = command.spawn().expect("the pooler starts");
        PROCESSES.lock().unwrap().push(child.id());
        // For run.sh, which ends them if it is ended itself.
        if let Ok(path) = std::env::var("REVIEW_PIDS") {
            let file = std::fs::File::options().create(true).append(true).open(path);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        note(format!("{name} started"));
        Self { child, name: name.to_owned() }
    }

    pub fn signal(&self, signal: &str) {
        note(format!("{signal} to {}", self.name));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {}", self.child.id())).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

/// Waits until the pooler answers an empty query with EmptyQueryResponse.
pub fn wait_serving(address: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if let Ok(mut client) = Client::connect(address) {
            if client.empty_query() {
                return Ok(());
            }
        }
        sleep_ms(20);
    }
    Err("the pooler does not serve within 30 s".to_owned())
}

/// One call on the second address; returns the status.
pub fn call(address: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n").ok()?;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).split(' ').nth(1)?.parse().ok()
}

// ---- PostgreSQL's messages

pub struct Wire {
    pub stream: TcpStream,
    read: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
        Self { stream, read: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 65_536];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(count) => {
                    self.read.extend_from_slice(&bytes[..count]);
                    return Ok(count > 0);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// The startup message; false at the end of the stream.
    pub fn startup(&mut self) -> io::Result<bool> {
        loop {
            if self.read.len() >= 4 {
                let size = u32::from_be_bytes(self.read[..4].try_into().unwrap()) as usize;
                if self.read.len() >= size {
                    self.read.drain(..size);
                    return Ok(true);
                }
            }
            if !self.fill()? {
                return Ok(false);
            }
        }
    }

    /// The next message; `None` at the end of the stream.
    pub fn message(&mut self) -> io::Result<Option<(u8, Vec<u8>)>> {
        loop {
            if self.read.len() >= 5 {
                let size = 1 + u32::from_be_bytes(self.read[1..5].try_into().unwrap()) as usize;
                if self.read.len() >= size {
                    let message = (self.read[0], self.read[5..size].to_vec());
                    self.read.drain(..size);
                    return Ok(Some(message));
                }
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }
}

pub fn push(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

pub fn push_row(out: &mut Vec<u8>, value: &[u8]) {
    push(out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut row = vec![0, 1];
    row.extend_from_slice(&(value.len() as u32).to_be_bytes());
    row.extend_from_slice(value);
    push(out, b'D', &row);
    push(out, b'C', b"SELECT 1\0");
}

pub fn push_error(out: &mut Vec<u8>, code: &str) {
    push(out, b'E', format!("SERROR\0VERROR\0C{code}\0Mstand-in\0\0").as_bytes());
}

// ---- Servers

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Statement {
    pub id: String,
    pub class: String,
    pub key: String,
    pub write: bool,
    /// When its first bytes were read, in ms since the case began. The whole statement is read by then, as a rule.
    pub at_ms: u64,
}

/// What a server answers.
pub enum Reply {
    /// A value, the role and the position in Unix ms.
    Row(String, bool, u64),
    /// An error with this code, the role and the position.
    Error(&'static str, bool, u64),
}

pub type Handler = dyn Fn(&Statement) -> Reply + Send + Sync;
pub type Report = dyn Fn() -> String + Send + Sync;

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
}

fn comment_value(statement: &str, name: &str) -> Option<String> {
    let inner = statement.rsplit_once("/*")?.1.rsplit_once("*/")?.0.to_owned();
    inner.split(',').find_map(|pair| pair.trim().strip_prefix(&format!("{name}=")).map(str::to_owned))
}

impl Server {
    /// A sound server at a free port. `handle` answers requests, on the connection's own thread; `report` is the load
    /// report that a probe gets.
    pub fn start(id: &str, handle: Arc<Handler>, report: Arc<Report>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handle, report) = (handle.clone(), report.clone());
                std::thread::spawn(move || drop(serve(Wire::new(stream), &*handle, &*report)));
            }
        });
        Self { id: id.to_owned(), address }
    }
}

fn serve(mut wire: Wire, handle: &dyn Fn(&Statement) -> Reply, report: &dyn Fn() -> String) -> io::Result<()> {
    if !wire.startup()? {
        return Ok(());
    }
    let mut out = Vec::new();
    push(&mut out, b'R', &[0; 4]);
    push(&mut out, b'Z', b"I");
    wire.stream.write_all(&out)?;
    while let Some((tag, body)) = wire.message()? {
        let at_ms = now_ms();
        if tag != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
        let mut out = Vec::new();
        if text.trim().is_empty() {
            push(&mut out, b'I', b"");
        } else if text == "SHOW gauges" {
            push_row(&mut out, report().as_bytes());
        } else if text == "SELECT 1" {
            push_row(&mut out, b"1");
        } else if let (Some(id), Some(class)) = (comment_value(&text, "id"), comment_value(&text, "c")) {
            let key = text.split('\'').nth(1).unwrap_or("").to_owned();
            let statement = Statement { id, class, key, write: text.starts_with("INSERT"), at_ms };
            let (primary, position) = match handle(&statement) {
                Reply::Row(value, primary, position) => {
                    push_row(&mut out, value.as_bytes());
                    (primary, position)
                }
                Reply::Error(code, primary, position) => {
                    push_error(&mut out, code);
                    (primary, position)
                }
            };
            let part = if primary { "master" } else { "replica" };
            push(&mut out, b'S', format!("part\0{part}\0").as_bytes());
            push(&mut out, b'S', format!("caught_up_to\0{position}\0").as_bytes());
        } else {
            push_error(&mut out, "08P01");
        }
        push(&mut out, b'Z', b"I");
        wire.stream.write_all(&out)?;
    }
    Ok(())
}

// ---- Groups of servers with a log

/// What a replica is behind the primary by, in ms.
pub const LAG_MS: u64 = 10;
/// How many seconds of the log a server that has to catch up applies in a second: its thread is busy for 57% of the time
/// at the usual load (`apply_use`).
pub const APPLY_RATE: f64 = 1.75;

struct Place {
    primary: bool,
    draining: bool,
    /// Where a process began that started from a copy, and when it started.
    copy: Option<(u64, u64)>,
    /// Whether a process listens there.
    up: bool,
    /// The group that the process belongs to.
    group: u32,
    /// Counts the processes at this address.
    life: u64,
    connections: Vec<TcpStream>,
    received: u64,
    /// When the process got requests of another group than its own, in ms since the case began, with their ids.
    strange: Vec<(u64, String)>,
}

impl Place {
    /// The position up to which the process at this address has applied the log, in Unix ms.
    fn applied(&self) -> u64 {
        let now = unix_ms();
        match self.copy {
            _ if self.primary => now,
            Some((copy, started)) => (copy + ((now - started) as f64 * APPLY_RATE) as u64).min(now - LAG_MS),
            None => now - LAG_MS,
        }
    }
}

/// The server processes at one address, one after the other. A value tells the position that it was read at.
#[derive(Clone)]
pub struct Host {
    pub address: SocketAddr,
    place: Arc<Mutex<Place>>,
}

impl Host {
    /// A server that checks nothing: a read is answered from the data that it has.
    pub fn start(primary: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Vec::new();
        let place = Place { primary, draining: false, copy: None, up: true, group: 0, life: 0, connections, received: 0, strange: Vec::new() };
        let host = Self { address, place: Arc::new(Mutex::new(place)) };
        let shared = host.clone();
        std::thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let up = shared.place.lock().unwrap().up;
                if !up {
                    // Without a listener the system refuses connections.
                    listener = None;
                } else if listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                }
                let accepted = listener.as_ref().filter(|listener| listener.set_nonblocking(true).is_ok());
                match accepted.map(TcpListener::accept) {
                    Some(Ok((stream, _))) => shared.take(stream),
                    _ => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        host
    }

    fn take(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let mut place = self.place.lock().unwrap();
        let life = place.life;
        if let Ok(stream) = stream.try_clone() {
            place.connections.push(stream);
        }
        drop(place);
        let host = self.clone();
        std::thread::spawn(move || drop(host.serve_life(life, stream)));
    }

    fn serve_life(&self, life: u64, stream: TcpStream) -> io::Result<()> {
        let handle = |statement: &Statement| {
            let mut place = self.place.lock().unwrap();
            let (primary, position) = (place.primary, place.applied());
            if place.draining {
                return Reply::Error("53300", primary, position);
            }
            place.received += 1;
            let group = place.group;
            if group != 0 {
                place.strange.push((statement.at_ms, statement.id.clone()));
            }
            drop(place);
            sleep_ms(15);
            if group != 0 {
                // A server of another group answers from what its own group has under that name.
                return Reply::Row(format!("of group {group}"), primary, position);
            }
            match (statement.write, primary) {
                (true, false) => Reply::Error("25006", primary, position),
                (true, true) => {
                    let commit = unix_ms() + 1;
                    Reply::Row(commit.to_string(), primary, commit)
                }
                (false, _) => Reply::Row(position.to_string(), primary, position),
            }
        };
        let report = || {
            let place = self.place.lock().unwrap();
            format!("x0={:.3},x1={}", place.applied() as f64 / 1_000.0, u8::from(place.primary))
        };
        // A connection that was accepted as the process ended belongs to the one before.
        if self.place.lock().unwrap().life != life {
            return Ok(());
        }
        serve(Wire::new(stream), &handle, &report)
    }

    /// From now on the process completes what it has, and turns away what is new.
    pub fn drain(&self) {
        self.place.lock().unwrap().draining = true;
    }

    /// The process ends, and another server starts at the same address, from a copy of this age.
    pub fn replace(&self, copy_age_ms: u64) {
        self.end();
        let mut place = self.place.lock().unwrap();
        place.copy = Some((unix_ms() - copy_age_ms, unix_ms()));
        place.up = true;
    }

    /// The process ends: its connections end, and new ones are refused.
    pub fn end(&self) {
        let mut place = self.place.lock().unwrap();
        place.life += 1;
        (place.up, place.draining, place.received) = (false, false, 0);
        for connection in place.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// A server of another group starts at this address, some time after the process before has ended.
    pub fn start_of_group(&self, group: u32) {
        let mut place = self.place.lock().unwrap();
        (place.up, place.group, place.primary) = (true, group, false);
    }

    /// The requests of group 0 that a server of another group got here, with the time of each.
    pub fn strange(&self) -> Vec<(u64, String)> {
        self.place.lock().unwrap().strange.clone()
    }

    /// The requests that the present process has got, and the position that it has applied.
    pub fn state(&self) -> (u64, u64) {
        let place = self.place.lock().unwrap();
        (place.received, place.applied())
    }
}

/// What a run of sessions has seen.
#[derive(Default)]
pub struct Seen {
    pub writes: usize,
    pub reads: usize,
    pub not_served: usize,
    pub stale: Vec<String>,
}

/// A session that writes, and then reads its own write again and again, one request at a time, until `stop`. A read is
/// judged by the latest write that was answered at least 150 ms before it was sent.
pub fn run_session(
    listen: SocketAddr,
    number: usize,
    stop: &std::sync::atomic::AtomicBool,
    seen: &Mutex<Seen>,
) {
    let key = format!("session-{number}");
    let mut client = None;
    std::thread::sleep(Duration::from_millis(number as u64 * 97 % 3_000));
    while !stop.load(Ordering::SeqCst) {
        let mut commit = None;
        for step in 0..9 {
            if client.is_none() {
                client = Client::connect(listen).ok();
            }
            let Some(connection) = client.as_mut() else { continue };
            let write = step == 0;
            let (class, timeout) = if write { ("write", 5_000) } else { ("own-read", 1_000) };
            let (id, statement) = request(class, write, &key, timeout, "");
            let sent = now_ms();
            let answer = connection.execute(&statement);
            let mut seen = seen.lock().unwrap();
            match &answer {
                Answer::Served(value) if write => {
                    commit = value.parse::<u64>().ok();
                    seen.writes += 1;
                }
                Answer::Served(value) => {
                    seen.reads += 1;
                    let position = value.parse::<u64>().unwrap_or(0);
                    if let Some(commit) = commit.filter(|commit| position < *commit) {
                        let stale = format!(
                            "{sent} ms: {key} read ({id}) data as of {} ms before its own write, which had been answered",
                            commit - position
                        );
                        note(&stale);
                        seen.stale.push(stale);
                    }
                }
                Answer::Error(_) => seen.not_served += 1,
                Answer::Closed => {
                    seen.not_served += 1;
                    client = None;
                }
            }
            drop(seen);
            std::thread::sleep(Duration::from_millis(300 + (number as u64 * 31 + step) % 200));
        }
    }
}

/// Reads of group 0 that any member may answer, until `stop`; counts the values, the other answers, and those values that
/// come from a server of another group.
pub fn run_reads(
    listen: SocketAddr,
    class: &str,
    timeout_ms: u64,
    number: usize,
    stop: &std::sync::atomic::AtomicBool,
    seen: &Mutex<Seen>,
) {
    let mut client = None;
    while !stop.load(Ordering::SeqCst) {
        if client.is_none() {
            client = Client::connect(listen).ok();
        }
        let Some(connection) = client.as_mut() else {
            sleep_ms(10);
            continue;
        };
        let (id, statement) = request(class, false, &format!("name-{number}"), timeout_ms, "");
        let sent = now_ms();
        let answer = connection.execute(&statement);
        let mut seen = seen.lock().unwrap();
        match &answer {
            Answer::Served(value) => {
                seen.reads += 1;
                if value.starts_with("of group") {
                    let foreign = format!("{sent} ms: client {number} asked group 0 ({id}) and was served a value {value}");
                    note(&foreign);
                    seen.stale.push(foreign);
                }
            }
            Answer::Error(_) => seen.not_served += 1,
            Answer::Closed => {
                seen.not_served += 1;
                client = None;
            }
        }
        drop(seen);
        sleep_ms(70);
    }
}

// ---- Clients

pub struct Client {
    pub wire: Wire,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    /// Any ErrorResponse, by its code.
    Error(String),
    /// The connection ended without a whole answer.
    Closed,
}

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// A statement with a new id; returns the id as well.
pub fn request(class: &str, write: bool, key: &str, timeout_ms: u64, more: &str) -> (String, String) {
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let id = format!("{:08x}{number:08x}", std::process::id());
    let comment = format!("/* id={id},c={class},d={timeout_ms},cluster=0{more} */");
    let statement = if write {
        format!("INSERT INTO kv (name, content) VALUES ('{key}', '\\x9f03') RETURNING content {comment}")
    } else {
        format!("SELECT content FROM kv WHERE name = '{key}' {comment}")
    };
    (id, statement)
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let mut wire = Wire::new(TcpStream::connect_timeout(&address, Duration::from_secs(2))?);
        let mut startup = vec![0, 3, 0, 0];
        startup.extend_from_slice(b"user\0backend\0database\0store\0\0");
        let mut out = (startup.len() as u32 + 4).to_be_bytes().to_vec();
        out.extend_from_slice(&startup);
        wire.stream.write_all(&out)?;
        loop {
            match wire.message()? {
                Some((b'Z', _)) => return Ok(Self { wire }),
                Some((b'E', _)) | None => return Err(io::ErrorKind::ConnectionAborted.into()),
                Some(_) => {}
            }
        }
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        let mut out = Vec::new();
        push(&mut out, b'Q', format!("{statement}\0").as_bytes());
        self.wire.stream.write_all(&out)
    }

    pub fn empty_query(&mut self) -> bool {
        let mut seen = false;
        if self.send("").is_err() {
            return false;
        }
        while let Ok(Some((tag, _))) = self.wire.message() {
            seen |= tag == b'I';
            if tag == b'Z' {
                return seen;
            }
        }
        false
    }

    /// Reads one whole answer.
    pub fn answer(&mut self) -> Answer {
        let (mut value, mut error) = (None, None);
        while let Ok(Some((tag, body))) = self.wire.message() {
            match tag {
                b'D' => value = Some(String::from_utf8_lossy(&body[6..]).into_owned()),
                b'E' => {
                    let fields = body.split(|byte| *byte == 0).map(|field| String::from_utf8_lossy(field).into_owned());
                    error = fields.into_iter().find_map(|field| field.strip_prefix('C').map(str::to_owned));
                }
                b'Z' => break,
                _ => {}
            }
        }
        match (value, error) {
            (_, Some(code)) => Answer::Error(code),
            (Some(value), None) => Answer::Served(value),
            (None, None) => Answer::Closed,
        }
    }

    pub fn execute(&mut self, statement: &str) -> Answer {
        match self.send(statement) {
            Ok(()) => self.answer(),
            Err(_) => Answer::Closed,
        }
    }

    /// Whether the pooler has ended the connection, or does so within this time.
    pub fn ends_within(&mut self, time: Duration) -> bool {
        let _ = self.wire.stream.set_read_timeout(Some(time));
        let ended = matches!(self.wire.stream.read(&mut [0]), Ok(0))
            || matches!(self.wire.stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::ConnectionReset);
        let _ = self.wire.stream.set_read_timeout(Some(Duration::from_secs(60)));
        ended
    }
}

// ---- Discovery

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Up,
    /// Watches have ended, and each call ends in 503.
    Down,
    /// Watches stay open and bring nothing, and no call is answered, until it is back.
    Silent,
}

struct DiscoveryState {
    generation: u64,
    /// By id: the version of the last change, and the entry.
    entries: BTreeMap<String, (u64, String)>,
    service: Service,
    /// Watches that are open now.
    watches: usize,
    /// How long a call takes before its answer begins.
    delay: Duration,
}

/// Discovery as the protocol page has it: whole lists, and watches with changes and an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

/// An entry of a list, of group 0.
pub fn entry(id: &str, address: SocketAddr, lifecycle: &str, started_at_ms: u64, part: Option<&str>) -> String {
    entry_of(0, id, address, lifecycle, started_at_ms, part)
}

/// An entry of a list.
pub fn entry_of(group: u32, id: &str, address: SocketAddr, lifecycle: &str, started_at_ms: u64, part: Option<&str>) -> String {
    let part = part.map_or(String::new(), |part| format!(",\"part\":\"{part}\""));
    format!(
        "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":{group},\
         \"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":{started_at_ms}{part}}}"
    )
}

fn list(generation: u64, reset: bool, entries: &[String]) -> String {
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(","))
}

impl Discovery {
    pub fn start(entries: &[(&str, String)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let entries = entries.iter().map(|(id, entry)| ((*id).to_owned(), (41, entry.clone()))).collect();
        let state = DiscoveryState { generation: 41, entries, service: Service::Up, watches: 0, delay: Duration::ZERO };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || drop(serve_discovery(stream, &shared)));
            }
        });
        Self { address, state }
    }

    /// The list as it is now, in the form of `known`.
    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let entries: Vec<String> = state.entries.values().map(|(_, entry)| entry.clone()).collect();
        list(state.generation, true, &entries)
    }

    /// Changes one entry, and writes it to all open watches.
    pub fn change(&self, id: &str, entry: String) {
        let mut state = self.state.0.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        note(format!("discovery has version {generation}: {entry}; watches open: {}", state.watches));
        state.entries.insert(id.to_owned(), (generation, entry));
        self.state.1.notify_all();
    }

    pub fn set_service(&self, service: Service) {
        note(format!("discovery is {service:?}"));
        self.state.0.lock().unwrap().service = service;
        self.state.1.notify_all();
    }

    /// From now on each call takes so long before its answer begins.
    pub fn set_delay(&self, delay: Duration) {
        note(format!("discovery takes {delay:?} for each call"));
        self.state.0.lock().unwrap().delay = delay;
    }

    pub fn watches(&self) -> usize {
        self.state.0.lock().unwrap().watches
    }
}

fn serve_discovery(mut stream: TcpStream, shared: &(Mutex<DiscoveryState>, Condvar)) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut bytes = [0; 4_096];
        let count = stream.read(&mut bytes)?;
        if count == 0 {
            return Ok(());
        }
        head.extend_from_slice(&bytes[..count]);
    }
    let line = String::from_utf8_lossy(&head).lines().next().unwrap_or("").to_owned();
    let (state, changed) = shared;
    let delay = state.lock().unwrap().delay;
    if !delay.is_zero() {
        note(format!("discovery: {line}: called"));
        // Who has closed its connection meanwhile gets no answer.
        stream.set_read_timeout(Some(delay))?;
        if matches!(stream.peek(&mut [0]), Ok(0)) {
            note("discovery: the caller has closed its connection without waiting for the answer");
            return Ok(());
        }
    }
    let mut held = state.lock().unwrap();
    if held.service == Service::Silent {
        note(format!("discovery: {line}: silence"));
        while held.service == Service::Silent {
            held = changed.wait(held).unwrap();
        }
    }
    if held.service == Service::Down {
        note(format!("discovery: {line}: 503"));
        drop(held);
        return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
    note(format!("discovery: {line}: 200"));
    let since = line.split("since=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse::<u64>().ok());
    if !line.contains("follow=1") {
        let entries: Vec<String> = held.entries.values().map(|(_, entry)| entry.clone()).collect();
        let body = list(held.generation, true, &entries);
        drop(held);
        return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
    }
    held.watches += 1;
    let result = watch(&mut stream, since.unwrap_or(0), held, state, changed);
    state.lock().unwrap().watches -= 1;
    let _ = stream.shutdown(Shutdown::Both);
    result
}

fn watch<'s>(
    stream: &mut TcpStream,
    since: u64,
    mut held: std::sync::MutexGuard<'s, DiscoveryState>,
    state: &'s Mutex<DiscoveryState>,
    changed: &Condvar,
) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let (mut told, mut first) = (since, true);
    loop {
        while held.service == Service::Silent {
            held = changed.wait(held).unwrap();
        }
        if held.service == Service::Down {
            return Ok(());
        }
        let news: Vec<String> =
            held.entries.values().filter(|(version, _)| *version > told).map(|(_, entry)| entry.clone()).collect();
        let text = match news.is_empty() && !first {
            true => "\n".to_owned(),
            false => list(held.generation, false, &news) + "\n",
        };
        (told, first) = (held.generation, false);
        drop(held);
        write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        // The client's end of a watch shows as an end of the stream.
        stream.set_nonblocking(true)?;
        let gone = matches!(stream.peek(&mut [0]), Ok(0));
        stream.set_nonblocking(false)?;
        if gone {
            return Ok(());
        }
        held = state.lock().unwrap();
        let until = Instant::now() + Duration::from_secs(2);
        while held.service == Service::Up && held.generation <= told && Instant::now() < until {
            held = changed.wait_timeout(held, until.saturating_duration_since(Instant::now())).unwrap().0;
        }
    }
}

// ---- Configurations

/// A class: name, deadline, effect, worth, objective, need, oldest data, worth when late.
pub struct Class(pub &'static str, pub u64, pub &'static str, pub f64, pub u64, pub &'static str, pub u64, pub f64);

/// What differs between the sites.
pub struct Site {
    pub classes: Vec<Class>,
    pub when_behind: &'static str,
    pub discovery: &'static str,
    pub drain_grace_ms: u64,
    pub fleet: u32,
    pub tokens: &'static str,
    pub send_cap: u32,
    pub copies: bool,
    pub cold: (f64, u64, f64, u64),
}

/// The settings of `portal-kumasi`.
pub fn portal_kumasi() -> Site {
    Site {
        classes: vec![
            Class("bundle-menu", 1_000, "retryable", 3.0, 400, "lag_bound", 1_500, 0.2),
            Class("my-recent", 1_000, "retryable", 1.0, 400, "causal", 0, 0.0),
            Class("usage-history", 1_000, "retryable", 2.0, 300, "eventual", 0, 0.2),
            Class("balance-check", 1_000, "retryable", 1.0, 300, "strong", 0, 0.0),
            Class("top-up", 5_000, "fragile", 3.0, 300, "mutate", 0, 0.3),
        ],
        when_behind: "await",
        discovery: "push",
        drain_grace_ms: 250,
        fleet: 3,
        tokens: "kept",
        send_cap: 10,
        copies: false,
        cold: (0.16, 16_000, 2.5, 3_000),
    }
}

/// The settings of `news-platform`.
pub fn news_platform() -> Site {
    Site {
        classes: vec![
            Class("article-read", 1_000, "retryable", 2.0, 400, "lag_bound", 200, 0.0),
            Class("own-read", 1_000, "retryable", 1.0, 250, "causal", 0, 0.0),
            Class("write", 5_000, "fragile", 6.0, 500, "mutate", 0, 0.5),
        ],
        when_behind: "none",
        discovery: "push",
        drain_grace_ms: 500,
        fleet: 2,
        tokens: "kept",
        send_cap: 10,
        copies: false,
        cold: (0.19, 12_000, 3.0, 1_000),
    }
}

/// The settings of `nom-tunis`.
pub fn nom_tunis() -> Site {
    Site {
        classes: vec![
            Class("flow-view", 500, "retryable", 1.0, 200, "lag_bound", 3_000, 0.0),
            Class("own-noms", 1_200, "retryable", 2.0, 300, "causal", 0, 0.2),
            Class("alloc-hist", 750, "retryable", 2.0, 250, "eventual", 0, 0.0),
            Class("submit-nom", 3_000, "fragile", 3.0, 1_000, "mutate", 0, 0.5),
        ],
        when_behind: "bounce",
        discovery: "ask",
        drain_grace_ms: 500,
        fleet: 3,
        tokens: "brought",
        send_cap: 8,
        copies: true,
        cold: (0.15, 18_000, 2.0, 1_500),
    }
}

impl Site {
    pub fn settings(&self) -> String {
        let lanes: Vec<String> = self
            .classes
            .iter()
            .map(|Class(name, deadline, effect, worth, objective, _, _, late)| {
                format!(
                    "{{\"Name\":\"{name}\",\"Deadline\":{deadline}.0,\"Effect\":\"{effect}\",\"KeyScope\":\"all\",\
                     \"LateValue\":{late},\"Objective\":{objective}.0,\"Stream\":false,\"Window\":5000.0,\"Worth\":{worth}}}"
                )
            })
            .collect();
        let needs: Vec<String> = self.classes.iter().map(|class| format!("\"{}\"", class.5)).collect();
        let bounds: Vec<String> = self.classes.iter().map(|class| format!("{}.0", class.6)).collect();
        let (cold_from, cold, multiple, fall) = self.cold;
        format!(
            "{{\"Clients\":{{\"MarksRetry\":false}},\"Discovery\":\"{}\",\
             \"FamilyInfo\":{{\"HoldsFor\":20.0,\"NeedsByClass\":[{}],\"OldestData\":[{}],\
             \"SessionMarks\":\"{}\",\"ShowsRole\":\"none\",\"TellsPosition\":true,\"WaitsForCopy\":false,\
             \"WhenBehind\":\"{}\",\"Zero\":0.0}},\"FleetSize\":{},\"Kinds\":[\"m\"],\"Lanes\":[{}],\"Layer\":0,\
             \"Limits\":{{\"Cancel\":true,\"DialTimeout\":250.0,\"Keepalive\":30000.0,\"MaxRetryAfter\":1000.0,\
             \"MayDuplicate\":{},\"Peers\":false,\"Probing\":true,\"RetryAfter\":true,\"SendCap\":{},\"StreamsPerConn\":1}},\
             \"ObjectiveMix\":{{\"Whole\":0.6,\"WorstClass\":0.2,\"WorstTenant\":0.0,\"WorstWindow\":0.2}},\
             \"OverShareWorth\":0.1,\"Rank\":0,\"Report\":{{\"Fields\":[\"x0\",\"x1\"],\"How\":\"probe\"}},\
             \"Resolution\":5.0,\"Rules\":{{\"AnswerSlack\":20.0,\"AskEvery\":10000.0,\"Cold\":{cold}.0,\"ColdFrom\":{cold_from},\
             \"DrainGrace\":{}.0,\"Fall\":{fall}.0,\"FallMultiple\":{multiple}}},\"ServiceType\":\"replicas\",\
             \"Tenants\":[],\"Tiers\":[\"db\"],\"WeightSource\":\"none\",\"WorthBy\":\"request\",\"Zone\":\"a\",\"Zones\":[\"a\"]}}",
            self.discovery,
            needs.join(","),
            bounds.join(","),
            self.tokens,
            self.when_behind,
            self.fleet,
            lanes.join(","),
            self.copies,
            self.send_cap,
            self.drain_grace_ms,
        )
    }

    /// A configuration; `discovery` is left out if it is `None`.
    pub fn config(&self, listen: SocketAddr, discovery: Option<SocketAddr>, operator: Option<SocketAddr>, known: &str) -> String {
        let discovery = discovery.map_or(String::new(), |address| format!("\"discovery\":\"{address}\","));
        let operator = operator.map_or(String::new(), |address| format!("\"operator\":\"{address}\","));
        format!(
            "{{\"name\":\"n1\",\"listen\":\"{listen}\",{discovery}{operator}\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"peers\":[],\"known\":{known},\"settings\":{}}}",
            unix_ms(),
            self.settings()
        )
    }
}

/// Writes a file of the temporary folder whole, by renaming; returns its path.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let (path, new) = (folder().join(name), folder().join(format!("{name}.new")));
    std::fs::write(&new, text).unwrap();
    std::fs::rename(&new, &path).unwrap();
    path
}
