//! Scripted peers on loopback sockets: servers, discovery and clients round the built pooler.
#![allow(dead_code)]

use linnetdeal_net::pg::{self, write};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A position that servers tell.
pub const REPORTED_POSITION: &str = "1767225600123";

/// No step of a story takes this long; it only keeps a broken one from hanging.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// One end of a connection that speaks PostgreSQL's messages.
pub struct PgConnection {
    pub stream: TcpStream,
    read: Vec<u8>,
    /// The other side reset the connection.
    pub reset: bool,
}

impl PgConnection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(STEP_TIMEOUT)).unwrap();
        Self { stream, read: Vec::new(), reset: false }
    }

    /// Reads more; false at the end of the stream.
    fn read_more(&mut self) -> bool {
        let mut bytes = [0; 65_536];
        match self.stream.read(&mut bytes) {
            Ok(count) => {
                self.read.extend_from_slice(&bytes[..count]);
                count > 0
            }
            // A read with a time limit is not resumed after a signal, such as the one of a stopped child.
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => self.read_more(),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {
                self.reset = true;
                false
            }
            Err(error) => panic!("a peer waits in vain: {error}"),
        }
    }

    pub fn read_startup(&mut self) -> bool {
        loop {
            if let Some((_, size)) = pg::startup(&self.read).unwrap() {
                self.read.drain(..size);
                return true;
            }
            if !self.read_more() {
                return false;
            }
        }
    }

    /// More has come along with what was read last.
    pub fn has_buffered(&self) -> bool {
        !self.read.is_empty()
    }

    /// The next message; `None` once the other side has closed.
    pub fn next_message(&mut self) -> Option<(u8, Vec<u8>)> {
        loop {
            if let Some(message) = pg::message(&self.read).unwrap() {
                let (tag, body, size) = (message.tag, message.body.to_vec(), message.size);
                self.read.drain(..size);
                return Some((tag, body));
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        // A pooler that has given up need not take it.
        let _ = self.stream.write_all(bytes);
    }

    /// A server's answer with one value, its role and position.
    pub fn send_row(&mut self, value: &[u8], part: &str, caught_up_to: &str) {
        self.send_row_and(value, part, caught_up_to, b"");
    }

    /// The same with `more` behind it, in one write.
    pub fn send_row_and(&mut self, value: &[u8], part: &str, caught_up_to: &str, more: &[u8]) {
        let mut out = Vec::new();
        push_message(&mut out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
        let mut row = vec![0, 1];
        row.extend_from_slice(&u32::try_from(value.len()).unwrap().to_be_bytes());
        row.extend_from_slice(value);
        push_message(&mut out, b'D', &row);
        write::command_complete(&mut out, "SELECT 1");
        for (name, value) in [("part", part), ("caught_up_to", caught_up_to)] {
            push_message(&mut out, b'S', format!("{name}\0{value}\0").as_bytes());
        }
        write::ready_for_query(&mut out);
        out.extend_from_slice(more);
        self.send_bytes(&out);
    }

    pub fn send_error(&mut self, code: &str, part: &str) {
        let mut out = Vec::new();
        write::error_response(&mut out, write::Severity::Error, code, "scripted", None);
        push_message(&mut out, b'S', format!("part\0{part}\0").as_bytes());
        write::ready_for_query(&mut out);
        self.send_bytes(&out);
    }

    /// Waits until the other side's system has all that was written: on a busy machine it comes later than the call returns.
    pub fn wait_acknowledged(&self) {
        self.wait_tcp_state(|_, unsent| unsent == 0);
    }

    /// Closes this side, once the other side's system knows that.
    pub fn close_and_wait(self) {
        self.stream.shutdown(std::net::Shutdown::Write).unwrap();
        // FIN_WAIT2, or gone altogether.
        self.wait_tcp_state(|state, _| state == 5);
    }

    /// Waits until the system's state of this connection, and the count of bytes that the other side has not acknowledged, are
    /// such, or it knows it no more.
    fn wait_tcp_state(&self, holds: impl Fn(u8, u32) -> bool) {
        let port = |at: SocketAddr| format!(":{:04X}", at.port());
        let own = port(self.stream.local_addr().unwrap());
        // The other side may have reset it by now.
        let Ok(other) = self.stream.peer_addr().map(port) else { return };
        let end = std::time::Instant::now() + STEP_TIMEOUT;
        loop {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let line = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
            let line = line.into_iter().find(|of| of[1].ends_with(&own) && of[2].ends_with(&other));
            let Some(line) = line else { return };
            let unsent = line[4].split(':').next().unwrap();
            if holds(u8::from_str_radix(line[3], 16).unwrap(), u32::from_str_radix(unsent, 16).unwrap()) {
                return;
            }
            assert!(std::time::Instant::now() < end, "{line:?}");
            std::thread::yield_now();
        }
    }

    /// Waits until the other side has closed.
    pub fn wait_closed(&mut self) -> bool {
        while self.read_more() {}
        true
    }
}

fn push_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&u32::try_from(body.len() + 4).unwrap().to_be_bytes());
    out.extend_from_slice(body);
}

fn spawn_listener(mut each: impl FnMut(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            each(stream.unwrap());
        }
    });
    address
}

/// A server that welcomes everybody and hands each statement to `handle_statement`, which says whether to read on.
/// What it was sent, probes aside, is kept.
pub struct Server {
    pub id: &'static str,
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<String>>>,
}

impl Server {
    pub fn new(
        id: &'static str,
        handle_statement: impl Fn(&mut PgConnection, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        Self::with_accept_hook(id, || {}, handle_statement)
    }

    /// One whose script gets the empty queries as well.
    pub fn raw(
        id: &'static str,
        handle_statement: impl Fn(&mut PgConnection, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        Self::start(id, || {}, handle_statement)
    }

    /// One that calls `before_welcome` before it welcomes a connection.
    pub fn with_accept_hook(
        id: &'static str,
        before_welcome: impl Fn() + Send + Sync + 'static,
        handle_statement: impl Fn(&mut PgConnection, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        Self::start(id, before_welcome, move |conn, statement| {
            if statement.is_empty() {
                let mut out = Vec::new();
                write::empty_query_response(&mut out);
                write::ready_for_query(&mut out);
                conn.send_bytes(&out);
                return true;
            }
            handle_statement(conn, statement)
        })
    }

    fn start(
        id: &'static str,
        before_welcome: impl Fn() + Send + Sync + 'static,
        handle_statement: impl Fn(&mut PgConnection, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        let received = Arc::new(Mutex::new(Vec::new()));
        let (log, scripts) = (received.clone(), Arc::new((before_welcome, handle_statement)));
        let address = spawn_listener(move |stream| {
            let (log, scripts) = (log.clone(), scripts.clone());
            std::thread::spawn(move || {
                let mut conn = PgConnection::new(stream);
                if !conn.read_startup() {
                    return;
                }
                scripts.0();
                let mut out = Vec::new();
                write::session_start(&mut out, 1, 1);
                conn.send_bytes(&out);
                while let Some((b'Q', body)) = conn.next_message() {
                    let statement = pg::query_text(&body).unwrap();
                    if !statement.is_empty() && !statement.starts_with("SHOW") {
                        log.lock().unwrap().push(statement.to_owned());
                    }
                    if !scripts.1(&mut conn, statement) {
                        return;
                    }
                }
            });
        });
        Self { id, address, received }
    }

    pub fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    /// Its entry in a list.
    pub fn entry(&self, lifecycle: &str, part: &str) -> Value {
        json!({"instanceId": self.id, "hostPort": self.address.to_string(), "zone": "adum",
               "machineType": "quad-std", "cell": 2, "lifecycle": lifecycle, "weight": 1.0,
               "startedAtMs": 0, "part": part, "unheardOf": [1]})
    }
}

/// A server that answers everything with its own name.
pub fn id_server(id: &'static str, part: &'static str) -> Server {
    Server::new(id, move |conn, statement| {
        if statement.starts_with("SHOW") {
            let role = u8::from(part == "master");
            conn.send_row(format!("x0=1767225600.1,x1={role}").as_bytes(), part, REPORTED_POSITION);
        } else {
            conn.send_row(id.as_bytes(), part, REPORTED_POSITION);
        }
        true
    })
}

/// A server that answers once the sender is dropped.
pub fn blocked_server(id: &'static str) -> (Sender<()>, Server) {
    let (open, opened) = channel::<()>();
    let opened = Mutex::new(opened);
    let server = Server::new(id, move |conn, _| {
        assert!(opened.lock().unwrap().recv().is_err());
        conn.send_row(id.as_bytes(), "replica", REPORTED_POSITION);
        true
    });
    (open, server)
}

/// A server that says when it has a statement, and does with it what it is told.
pub struct ControlledServer {
    pub server: Server,
    go: Sender<&'static str>,
    done: Receiver<()>,
}

impl ControlledServer {
    pub fn new(id: &'static str) -> Self {
        Self::with_part(id, "replica")
    }

    pub fn with_part(id: &'static str, part: &'static str) -> Self {
        let ((go, told), (end, done)) = (channel::<&'static str>(), channel());
        let ends = Mutex::new((told, end));
        let server = Server::raw(id, move |conn, statement| {
            let (told, end) = &*ends.lock().unwrap();
            if statement.is_empty() {
                conn.send_bytes(b"I\0\0\0\x04Z\0\0\0\x05I");
            } else if statement.starts_with("SHOW") {
                let role = u8::from(part == "master");
                conn.send_row(format!("x0=1767225600.1,x1={role}").as_bytes(), part, REPORTED_POSITION);
            } else {
                match told.recv() {
                    Ok("closed") => {
                        // What came along with the statement is no more.
                        let more = std::iter::from_fn(|| conn.next_message());
                        if more.filter(|(_, body)| body != b"\0").count() == 0 {
                            let _ = end.send(());
                        }
                        return false;
                    }
                    Ok("row") => conn.send_row(b"done", part, REPORTED_POSITION),
                    Ok(code) => conn.send_error(code, part),
                    Err(_) => return false,
                }
            }
            // All that came along has been answered.
            if !conn.has_buffered() {
                conn.wait_acknowledged();
                let _ = end.send(());
            }
            true
        });
        Self { server, go, done }
    }

    /// With a row, with the error of this code, or with nothing (`closed`): then it waits for the connection's end, with
    /// nothing more sent there.
    pub fn answer(&self, how: &'static str) {
        self.go.send(how).unwrap();
        self.done.recv_timeout(STEP_TIMEOUT).unwrap();
    }
}

pub fn wait_until(mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + STEP_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "in vain");
        std::thread::yield_now();
    }
}

/// The clients' ids of what it was sent.
pub fn received_ids(server: &Server) -> Vec<String> {
    let id = |of: &String| of.split_once("id=").unwrap().1.split_once(',').unwrap().0.to_owned();
    server.received().iter().map(id).collect()
}

/// Discovery: each watch is announced by its request line, and then sends the lines given until told to end.
pub struct Discovery {
    pub address: SocketAddr,
    pub watches: Receiver<(String, Sender<Option<Value>>)>,
}

impl Discovery {
    pub fn new() -> Self {
        let (announce, watches) = channel();
        let address = spawn_listener(move |stream| {
            let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
            let Some(Ok(first)) = lines.next() else { return };
            while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let (sender, receiver) = channel::<Option<Value>>();
            announce.send((first, sender)).unwrap_or(());
            std::thread::spawn(move || {
                let mut stream = stream;
                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
                while let Ok(Some(list)) = receiver.recv() {
                    // A text is sent as it is.
                    let line = list.as_str().map_or_else(|| format!("{list}\n"), str::to_owned);
                    // In two chunks, cut inside the line.
                    let (first, rest) = line.split_at(line.len().min(7));
                    for part in [first, rest].into_iter().filter(|part| !part.is_empty()) {
                        let _ = stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
                    }
                }
            });
        });
        Self { address, watches }
    }

    pub fn next_watch(&self) -> (String, Sender<Option<Value>>) {
        self.watches.recv_timeout(STEP_TIMEOUT).unwrap()
    }
}

/// The settings of the site, as a pooler gets them.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, worth: f64| {
        json!({"Name": name, "Effect": effect, "Objective": 8000.0, "Deadline": 9000.0, "Worth": worth,
               "LateValue": 0.2, "KeyScope": "all", "Stream": false})
    };
    json!({"FleetSize": 1, "Zone": "adum", "Discovery": "push", "Unknown": {"Key": [1, 2]},
        "Lanes": [class("bundle-menu", "retryable", 3.0), class("my-recent", "retryable", 1.0),
                  class("top-up", "fragile", 3.0)],
        "FamilyInfo": {"NeedsByClass": ["eventual", "causal", "mutate"], "OldestData": [0.0, 0.0, 0.0],
                       "WhenBehind": "await", "SessionMarks": "kept", "Zero": 530002038.635},
        "Report": {"Fields": ["x0", "x1"], "How": "probe"},
        "Limits": {"SendCap": 10, "MayDuplicate": false, "Probing": true, "Cancel": true, "RetryAfter": true,
                   "MaxRetryAfter": 2000.0, "DialTimeout": 20000.0, "Keepalive": 60000.0},
        "Rules": {"DrainGrace": 250.0, "ColdFrom": 0.16, "Cold": 16000.0, "FallMultiple": 2.5, "Fall": 3000.0}})
}

pub fn server_list(generation: u64, reset: bool, instances: Vec<Value>) -> Value {
    json!({"generation": generation, "reset": reset, "instances": instances})
}

/// A configuration with this list known.
pub fn config(discovery: &Discovery, known: Vec<Value>, sockets: usize) -> String {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "peers": [], "known": server_list(41, true, known), "settings": settings()})
    .to_string()
}

/// The built pooler; killed when dropped.
pub struct Pooler {
    pub child: Child,
    pub address: SocketAddr,
    log: Receiver<String>,
    file: std::path::PathBuf,
}

/// Starts the pooler on what `config` holds.
pub fn spawn_process(config: &str) -> (Child, std::path::PathBuf) {
    spawn_process_with(config, |_| {})
}

/// The same with a command that `prepare` has changed.
fn spawn_process_with(config: &str, prepare: impl FnOnce(&mut Command)) -> (Child, std::path::PathBuf) {
    static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("linnetdeal-{}-{number}.json", std::process::id()));
    std::fs::write(&file, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_linnetdeal"));
    prepare(command.env("GW_CONFIG", &file).stderr(Stdio::piped()));
    (command.spawn().unwrap(), file)
}

impl Pooler {
    pub fn new(discovery: &Discovery, known: Vec<Value>) -> Self {
        Self::with_sockets(discovery, known, 1_024)
    }

    /// One that may hold so many descriptors.
    pub fn with_sockets(discovery: &Discovery, known: Vec<Value>, sockets: usize) -> Self {
        Self::with_config(&config(discovery, known, sockets))
    }

    /// One with this configuration.
    pub fn with_config(config: &str) -> Self {
        Self::start_with(config, |_| {})
    }

    /// One of several processes that the listening socket is handed down to, and that share a folder.
    pub fn sharing_listener(config: &str, listener: &TcpListener, folder: &std::path::Path) -> Self {
        use std::os::fd::AsRawFd;
        rustix::io::fcntl_setfd(listener, rustix::io::FdFlags::empty()).unwrap();
        Self::start_with(config, |command| {
            command.env("GW_LISTEN_FD", listener.as_raw_fd().to_string()).env("TMPDIR", folder);
        })
    }

    fn start_with(config: &str, prepare: impl FnOnce(&mut Command)) -> Self {
        let mut pooler = Self::launch(config, prepare);
        pooler.wait_listening();
        pooler
    }

    /// One that has only just been started.
    pub fn launch(config: &str, prepare: impl FnOnce(&mut Command)) -> Self {
        let (mut child, file) = spawn_process_with(config, prepare);
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (sender, log) = channel();
        std::thread::spawn(move || {
            while let Some(Ok(line)) = lines.next() {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        // Whatever goes wrong from here on, the process is ended when this is dropped.
        Self { child, address: ([127, 0, 0, 1], 0).into(), log, file }
    }

    /// Waits until it says where it listens.
    pub fn wait_listening(&mut self) {
        self.address = self.wait_log("listening on ").rsplit(' ').next().unwrap().parse().unwrap();
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(status.unwrap().success());
    }

    /// Stops it, and waits until it wait_tcp_state: what comes from here on it finds all at once.
    pub fn suspend(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().rsplit(") ").next().unwrap().starts_with('T') {
            std::thread::yield_now();
        }
    }

    /// Has it go on.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Waits until it has counted this.
    pub fn wait_counter(&self, what: &str) {
        let end = std::time::Instant::now() + STEP_TIMEOUT;
        while !self.counters().contains(what) {
            assert!(std::time::Instant::now() < end, "never counted{what}");
        }
    }

    /// What it has counted so far.
    pub fn counters(&self) -> String {
        self.signal("USR1");
        self.wait_log("counters")
    }

    /// Puts other text in the place of its configuration.
    pub fn write_config(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
    }

    /// The next log line that has this in it.
    pub fn wait_log(&self, start: &str) -> String {
        loop {
            let line = self.log.recv_timeout(STEP_TIMEOUT).unwrap();
            if line.contains(start) {
                return line;
            }
        }
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// An answer up to ReadyForQuery, or to the end of the connection.
#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    /// The messages' tags.
    pub tags: String,
    pub value: Option<Vec<u8>>,
    pub code: Option<String>,
    pub detail: Option<String>,
}

pub struct Client(pub PgConnection);

impl Client {
    pub fn connect(pooler: &Pooler) -> Self {
        let mut client = Self::connect_with(pooler, b"");
        assert!(client.answer().tags.ends_with('Z'));
        client
    }

    /// Writes the startup message and, straight after it, `more`.
    pub fn connect_with(pooler: &Pooler, more: &[u8]) -> Self {
        Self::start_session(TcpStream::connect(pooler.address).unwrap(), more)
    }

    /// Writes the startup message and a query to a connection.
    pub fn from_stream(stream: TcpStream, statement: &str) -> Self {
        let mut out = Vec::new();
        write::query(&mut out, statement);
        Self::start_session(stream, &out)
    }

    fn start_session(stream: TcpStream, more: &[u8]) -> Self {
        let mut out = Vec::new();
        write::startup(&mut out, "backend", "store");
        out.extend_from_slice(more);
        let mut client = Self(PgConnection::new(stream));
        client.0.send_bytes(&out);
        client
    }

    pub fn send(&mut self, statement: &str) {
        let mut out = Vec::new();
        write::query(&mut out, statement);
        self.0.send_bytes(&out);
    }

    pub fn execute(&mut self, statement: &str) -> Answer {
        self.send(statement);
        self.answer()
    }

    pub fn answer(&mut self) -> Answer {
        let mut answer = Answer::default();
        while let Some((tag, body)) = self.0.next_message() {
            answer.tags.push(char::from(tag));
            match tag {
                b'D' => answer.value = pg::row_value(&body).unwrap().map(<[u8]>::to_vec),
                b'E' => {
                    for field in body.split(|byte| *byte == 0).filter(|field| !field.is_empty()) {
                        let text = Some(String::from_utf8(field[1..].to_vec()).unwrap());
                        match field[0] {
                            b'C' => answer.code = text,
                            b'D' => answer.detail = text,
                            _ => {}
                        }
                    }
                }
                b'Z' => break,
                _ => {}
            }
        }
        answer
    }
}

/// Statements as clients write them.
pub fn menu(id: &str) -> String {
    format!("SELECT content FROM kv WHERE name = 'm1' /* id={id},c=bundle-menu,d=8000,cluster=2 */")
}

pub fn top_up(id: &str) -> String {
    format!(
        "INSERT INTO kv (name, content) VALUES ('a1', '\\x9f03') RETURNING content \
         /* id={id},c=top-up,d=8000,cluster=2 */"
    )
}
