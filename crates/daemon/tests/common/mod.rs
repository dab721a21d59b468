//! Shared test support: runs the built pooler as a process between scripted servers, discovery and clients on
//! loopback sockets.
#![allow(dead_code)]

use linnetdeal_net::pg::{self, write};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The replication position that the scripted servers report.
pub const REPORTED_POSITION: &str = "1767225600123";

/// Upper bound on every wait of a test: it only keeps a failed test from hanging.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// One end of a connection that exchanges PostgreSQL protocol messages.
pub struct PgConnection {
    pub stream: TcpStream,
    read: Vec<u8>,
    /// Whether the other side has reset the connection.
    pub reset: bool,
}

impl PgConnection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self { stream, read: Vec::new(), reset: false }
    }

    /// Reads more bytes into the buffer; false at the end of the stream.
    fn read_more(&mut self) -> bool {
        let mut bytes = [0; 65_536];
        match self.stream.read(&mut bytes) {
            Ok(count) => {
                self.read.extend_from_slice(&bytes[..count]);
                count > 0
            }
            // The system does not restart a read with a timeout after a signal, such as SIGCHLD when a child is
            // stopped.
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => self.read_more(),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {
                self.reset = true;
                false
            }
            Err(error) => panic!("a scripted peer could not read: {error}"),
        }
    }

    /// Reads the startup message; false if the other side has closed before it.
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

    /// Whether bytes behind the latest message have been read already.
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

    /// Writes bytes; a failure is ignored.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        // The pooler may have closed the connection already.
        let _ = self.stream.write_all(bytes);
    }

    /// Sends a server's answer with one value, its role and its replication position.
    pub fn send_row(&mut self, value: &[u8], part: &str, caught_up_to: &str) {
        self.send_row_and(value, part, caught_up_to, b"");
    }

    /// The same, with `more` appended in the same write.
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

    /// Sends a server's error response with this SQLSTATE, and its role.
    pub fn send_error(&mut self, code: &str, part: &str) {
        let mut out = Vec::new();
        write::error_response(&mut out, write::Severity::Error, code, "scripted", None);
        push_message(&mut out, b'S', format!("part\0{part}\0").as_bytes());
        write::ready_for_query(&mut out);
        self.send_bytes(&out);
    }

    /// Waits until the other side's kernel has acknowledged all that was written, which on a busy machine may
    /// be later than the return of the write call.
    pub fn wait_acknowledged(&self) {
        self.wait_tcp_state(|_, unsent| unsent == 0);
    }

    /// Closes this side and waits until the other side's kernel has acknowledged that.
    pub fn close_and_wait(self) {
        self.stream.shutdown(std::net::Shutdown::Write).unwrap();
        // 5 is FIN_WAIT2; a connection that no longer exists is accepted as well.
        self.wait_tcp_state(|state, _| state == 5);
    }

    /// Waits until the predicate holds for the connection's TCP state and its count of unacknowledged bytes, or
    /// until the connection no longer exists.
    fn wait_tcp_state(&self, holds: impl Fn(u8, u32) -> bool) {
        let port = |socket: SocketAddr| format!(":{:04X}", socket.port());
        let own = port(self.stream.local_addr().unwrap());
        // The other side may have reset the connection by now.
        let Ok(other) = self.stream.peer_addr().map(port) else { return };
        let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let line = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
            let line =
                line.into_iter().find(|fields| fields[1].ends_with(&own) && fields[2].ends_with(&other));
            let Some(line) = line else { return };
            let unsent = line[4].split(':').next().unwrap();
            if holds(u8::from_str_radix(line[3], 16).unwrap(), u32::from_str_radix(unsent, 16).unwrap()) {
                return;
            }
            assert!(std::time::Instant::now() < deadline, "{line:?}");
            std::thread::yield_now();
        }
    }

    /// Reads and discards until the other side has closed; then true.
    pub fn wait_closed(&mut self) -> bool {
        while self.read_more() {}
        true
    }
}

/// Appends a protocol message.
fn push_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&u32::try_from(body.len() + 4).unwrap().to_be_bytes());
    out.extend_from_slice(body);
}

/// Passes each connection to a new loopback address to `handle_connection`, on a thread of its own; returns the
/// address.
fn spawn_listener(mut handle_connection: impl FnMut(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            handle_connection(stream.unwrap());
        }
    });
    address
}

/// A server that accepts every session and passes each statement to `handle_statement`, which returns whether
/// to read on. It records the statements that it was sent, except for probes and empty queries.
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

    /// A server whose handler is passed the empty queries as well; otherwise they are answered for it.
    pub fn raw(
        id: &'static str,
        handle_statement: impl Fn(&mut PgConnection, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        Self::start(id, || {}, handle_statement)
    }

    /// A server that calls `before_session` before it answers a startup message.
    pub fn with_accept_hook(
        id: &'static str,
        before_session: impl Fn() + Send + Sync + 'static,
        handle_statement: impl Fn(&mut PgConnection, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        Self::start(id, before_session, move |conn, statement| {
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
        before_session: impl Fn() + Send + Sync + 'static,
        handle_statement: impl Fn(&mut PgConnection, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        let received = Arc::new(Mutex::new(Vec::new()));
        let (log, hooks) = (received.clone(), Arc::new((before_session, handle_statement)));
        let address = spawn_listener(move |stream| {
            let (log, hooks) = (log.clone(), hooks.clone());
            std::thread::spawn(move || {
                let mut conn = PgConnection::new(stream);
                if !conn.read_startup() {
                    return;
                }
                hooks.0();
                let mut out = Vec::new();
                write::session_start(&mut out, 1, 1);
                conn.send_bytes(&out);
                while let Some((b'Q', body)) = conn.next_message() {
                    let statement = pg::query_text(&body).unwrap();
                    if !statement.is_empty() && !statement.starts_with("SHOW") {
                        log.lock().unwrap().push(statement.to_owned());
                    }
                    if !hooks.1(&mut conn, statement) {
                        return;
                    }
                }
            });
        });
        Self { id, address, received }
    }

    /// The statements that the server was sent.
    pub fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    /// Its entry in a list of servers.
    pub fn entry(&self, lifecycle: &str, part: &str) -> Value {
        json!({"instanceId": self.id, "hostPort": self.address.to_string(), "zone": "adum",
               "machineType": "quad-std", "cell": 2, "lifecycle": lifecycle, "weight": 1.0,
               "startedAtMs": 0, "part": part, "unheardOf": [1]})
    }
}

/// A server that answers each statement with its own id.
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

/// A server that answers no statement until the returned sender is dropped.
pub fn blocked_server(id: &'static str) -> (Sender<()>, Server) {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = Server::new(id, move |conn, _| {
        assert!(released.lock().unwrap().recv().is_err());
        conn.send_row(id.as_bytes(), "replica", REPORTED_POSITION);
        true
    });
    (release, server)
}

/// A server that answers each statement as the test directs, by [`ControlledServer::answer`].
pub struct ControlledServer {
    pub server: Server,
    commands: Sender<&'static str>,
    finished: Receiver<()>,
}

impl ControlledServer {
    pub fn new(id: &'static str) -> Self {
        Self::with_part(id, "replica")
    }

    pub fn with_part(id: &'static str, part: &'static str) -> Self {
        let ((commands, pending), (finish, finished)) = (channel::<&'static str>(), channel());
        let ends = Mutex::new((pending, finish));
        let server = Server::raw(id, move |conn, statement| {
            let (pending, finish) = &*ends.lock().unwrap();
            if statement.is_empty() {
                conn.send_bytes(b"I\0\0\0\x04Z\0\0\0\x05I");
            } else if statement.starts_with("SHOW") {
                let role = u8::from(part == "master");
                conn.send_row(format!("x0=1767225600.1,x1={role}").as_bytes(), part, REPORTED_POSITION);
            } else {
                match pending.recv() {
                    Ok("closed") => {
                        // Only the empty query that was sent along with the statement may still arrive.
                        let more = std::iter::from_fn(|| conn.next_message());
                        if more.filter(|(_, body)| body != b"\0").count() == 0 {
                            let _ = finish.send(());
                        }
                        return false;
                    }
                    Ok("row") => conn.send_row(b"done", part, REPORTED_POSITION),
                    Ok(code) => conn.send_error(code, part),
                    Err(_) => return false,
                }
            }
            // The statement and all that was sent along with it have been answered.
            if !conn.has_buffered() {
                conn.wait_acknowledged();
                let _ = finish.send(());
            }
            true
        });
        Self { server, commands, finished }
    }

    /// Answers the pending statement with a row (`row`), with an error of the SQLSTATE given, or not at all
    /// (`closed`): then the connection has to be closed by the pooler with nothing more sent on it.
    pub fn answer(&self, how: &'static str) {
        self.commands.send(how).unwrap();
        self.finished.recv_timeout(WAIT_TIMEOUT).unwrap();
    }
}

/// Waits until the condition holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "condition not met within {WAIT_TIMEOUT:?}");
        std::thread::yield_now();
    }
}

/// Makes one call of the operators' API, given as method and path; returns its status code.
pub fn call(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
        .write_all(format!("{request} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").as_bytes())
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.split(' ').nth(1).unwrap_or("").to_owned()
}

/// The beginning of an answer with one row of `size` bytes: everything before its value.
pub fn row_head(size: usize) -> Vec<u8> {
    let column: &[u8] = b"T\0\0\0\x20\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    let size = u32::try_from(size).unwrap();
    [column, b"D", &(size + 10).to_be_bytes(), b"\0\x01", &size.to_be_bytes()].concat()
}

/// The end of such an answer: everything behind its value.
pub const ROW_TAIL: &[u8] = b"C\0\0\0\x0dSELECT 1\0S\0\0\0\x11part\0replica\0Z\0\0\0\x05I";

/// The request ids of the statements that the server was sent.
pub fn ids_at(server: &Server) -> Vec<String> {
    let id = |sent: &String| sent.split_once("id=").unwrap().1.split_once(',').unwrap().0.to_owned();
    server.received().iter().map(id).collect()
}

/// A scripted discovery service. `watches` yields the request line of each watch and a sender: a value is sent
/// to the pooler as a line, and `None` ends the watch.
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
                    // A string is sent verbatim.
                    let line = list.as_str().map_or_else(|| format!("{list}\n"), str::to_owned);
                    // Two chunks, so that the line is split between them.
                    let (first, rest) = line.split_at(line.len().min(7));
                    for part in [first, rest].into_iter().filter(|part| !part.is_empty()) {
                        let _ = stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
                    }
                }
            });
        });
        Self { address, watches }
    }

    /// Waits for the next watch that the pooler opens.
    pub fn next_watch(&self) -> (String, Sender<Option<Value>>) {
        self.watches.recv_timeout(WAIT_TIMEOUT).unwrap()
    }
}

/// The site's settings in the pooler's configuration.
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

/// A message of discovery: all servers if `reset`, otherwise changes.
pub fn server_list(generation: u64, reset: bool, instances: Vec<Value>) -> Value {
    json!({"generation": generation, "reset": reset, "instances": instances})
}

/// A configuration with these servers known from the start.
pub fn config(discovery: &Discovery, known: Vec<Value>, sockets: usize) -> String {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "peers": [], "known": server_list(41, true, known), "settings": settings()})
    .to_string()
}

/// A process of the built pooler; killed when dropped.
pub struct Pooler {
    pub child: Child,
    pub address: SocketAddr,
    log: Receiver<String>,
    file: std::path::PathBuf,
}

/// Starts the pooler with `config` as its configuration file; returns the file's path as well.
pub fn spawn_process(config: &str) -> (Child, std::path::PathBuf) {
    spawn_process_with(config, |_| {})
}

/// The same, with the command adjusted by `prepare`.
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

    /// A pooler with this limit on its file descriptors.
    pub fn with_sockets(discovery: &Discovery, known: Vec<Value>, sockets: usize) -> Self {
        Self::with_config(&config(discovery, known, sockets))
    }

    /// A pooler with this configuration.
    pub fn with_config(config: &str) -> Self {
        Self::start_prepared(config, |_| {})
    }

    /// One of several processes that inherit the same listening socket and share a folder.
    pub fn sharing_listener(config: &str, listener: &TcpListener, folder: &std::path::Path) -> Self {
        use std::os::fd::AsRawFd;
        rustix::io::fcntl_setfd(listener, rustix::io::FdFlags::empty()).unwrap();
        Self::start_prepared(config, |command| {
            command.env("GW_LISTEN_FD", listener.as_raw_fd().to_string()).env("TMPDIR", folder);
        })
    }

    fn start_prepared(config: &str, prepare: impl FnOnce(&mut Command)) -> Self {
        let mut pooler = Self::launch(config, prepare);
        pooler.wait_listening();
        pooler
    }

    /// A process that has been started and may not listen yet.
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
        // From here on the process is killed by the drop, whatever fails.
        Self { child, address: ([127, 0, 0, 1], 0).into(), log, file }
    }

    /// Waits until the process has logged the address that it listens on.
    pub fn wait_listening(&mut self) {
        self.address = self.wait_for_log("listening on ").rsplit(' ').next().unwrap().parse().unwrap();
    }

    /// Sends the process a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(status.unwrap().success());
    }

    /// Stops the process with SIGSTOP and waits until it has stopped: once resumed, it finds all that arrived
    /// meanwhile in the same poll.
    pub fn suspend(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().rsplit(") ").next().unwrap().starts_with('T') {
            std::thread::yield_now();
        }
    }

    /// Continues a stopped process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Waits until the line of counters contains `expected`.
    pub fn wait_for_counter(&self, expected: &str) {
        let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
        while !self.counters().contains(expected) {
            assert!(std::time::Instant::now() < deadline, "counters never contained{expected}");
        }
    }

    /// The line of counters that the process logs on SIGUSR1.
    pub fn counters(&self) -> String {
        self.signal("USR1");
        self.wait_for_log("counters")
    }

    /// Overwrites the configuration file.
    pub fn write_config(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
    }

    /// Waits for the next log line that contains `fragment`.
    pub fn wait_for_log(&self, fragment: &str) -> String {
        loop {
            let line = self.log.recv_timeout(WAIT_TIMEOUT).unwrap();
            if line.contains(fragment) {
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

/// An answer up to ReadyForQuery or the end of the connection.
#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    /// The tags of its messages.
    pub tags: String,
    /// The value of its row.
    pub value: Option<Vec<u8>>,
    /// The SQLSTATE of its error.
    pub code: Option<String>,
    /// The detail of its error: for how many milliseconds to wait before a retry.
    pub detail: Option<String>,
}

/// A client of the pooler.
pub struct Client(pub PgConnection);

impl Client {
    /// Connects and waits for ReadyForQuery.
    pub fn connect(pooler: &Pooler) -> Self {
        let mut client = Self::connect_with(pooler, b"");
        assert!(client.answer().tags.ends_with('Z'));
        client
    }

    /// Connects, and writes the startup message and, immediately after it, `more`.
    pub fn connect_with(pooler: &Pooler, more: &[u8]) -> Self {
        Self::start_session(TcpStream::connect(pooler.address).unwrap(), more)
    }

    /// Writes the startup message and a query on a connection.
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

    /// Sends a statement.
    pub fn send(&mut self, statement: &str) {
        let mut out = Vec::new();
        write::query(&mut out, statement);
        self.0.send_bytes(&out);
    }

    /// Sends a statement and waits for its answer.
    pub fn execute(&mut self, statement: &str) -> Answer {
        self.send(statement);
        self.answer()
    }

    /// Waits for the next answer.
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

/// A read of the class `bundle-menu`, as clients write it.
pub fn menu(id: &str) -> String {
    format!("SELECT content FROM kv WHERE name = 'm1' /* id={id},c=bundle-menu,d=8000,cluster=2 */")
}

/// A write of the class `top-up`, as clients write it.
pub fn top_up(id: &str) -> String {
    format!(
        "INSERT INTO kv (name, content) VALUES ('a1', '\\x9f03') RETURNING content \
         /* id={id},c=top-up,d=8000,cluster=2 */"
    )
}
