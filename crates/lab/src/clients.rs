//! Clients that send requests of all classes, each in a session of its own, and check the answers.

use crate::lock;
use crate::recorder::{AnswerData, Recorder};
use linnetdeal_net::pg::{self, write};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The names of the request classes in the lab's settings.
pub const CLASSES: [&str; 5] = ["bundle-menu", "my-recent", "usage-history", "balance-check", "top-up"];
/// How long a client waits for an answer by default.
pub const DEADLINE: Duration = Duration::from_millis(1_000);

/// Clients that run concurrently, each on a thread of its own.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients of the pooler at `address`, each of which sends its next request `pause` after an answer,
    /// until they are stopped.
    #[must_use]
    pub fn start(
        address: SocketAddr,
        count: usize,
        pause: Duration,
        seed: u64,
        recorder: &Arc<Mutex<Recorder>>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|number| {
            let (stop, recorder) = (stop.clone(), recorder.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(address, number, seed);
                while !stop.load(Ordering::SeqCst) {
                    client.request(&recorder);
                    std::thread::sleep(pause);
                }
            })
        });
        Self { threads: threads.collect(), stop }
    }

    /// Stops the clients once each has its answer.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// One client, with a session and a connection.
pub struct Client {
    session: String,
    request_count: u64,
    deadline: Duration,
    group: u32,
    rng: ChaCha8Rng,
    connection: ClientConnection,
}

impl Client {
    /// Creates a client; `number` determines its session and, with `seed`, its random choices.
    #[must_use]
    pub fn new(address: SocketAddr, number: usize, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ number as u64);
        Self {
            session: format!("acc{number}"),
            request_count: 0,
            deadline: DEADLINE,
            group: 2,
            rng,
            connection: ClientConnection::new(address),
        }
    }

    /// Sets how long the client waits for each answer.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the group that the client's requests go to.
    #[must_use]
    pub fn with_group(mut self, group: u32) -> Self {
        self.group = group;
        self
    }

    /// After what time to retry, by the latest refusal.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.connection.retry_after
    }

    /// The id of its latest request.
    #[must_use]
    pub fn last_request_id(&self) -> String {
        format!("{}x{}", self.session, self.request_count)
    }

    /// Sends one request of a random class and returns its outcome, which is recorded too.
    pub fn request(&mut self, recorder: &Mutex<Recorder>) -> String {
        let class = class_from_draw(self.rng.next_u32() % 100);
        self.request_class(class, recorder)
    }

    /// Sends one request of a class and returns its outcome, which is recorded if the answer came in time.
    pub fn request_class(&mut self, class: usize, recorder: &Mutex<Recorder>) -> String {
        self.request_count += 1;
        let id = self.last_request_id();
        let session = &self.session;
        let statement = statement_for(class, session, &id, self.deadline, self.group);
        // The position that a read must see, by the consistency that the settings give its class.
        let required = match class {
            0 => now_ms() - 1_500,
            1 => lock(recorder).required_position(session, false),
            3 => lock(recorder).required_position(session, true),
            _ => 0,
        };
        let phase = lock(recorder).request_started();
        let end = Instant::now() + self.deadline;
        let (outcome, value) = match self.connection.exchange(&statement, end) {
            Ok(answer) => answer,
            Err(error) => {
                self.connection.close();
                (format!("broken: {error}"), None)
            }
        };
        let id_and_position = value.as_deref().and_then(|value| value.split_once(' '));
        let position = id_and_position
            .filter(|(answered, _)| *answered == id)
            .and_then(|(_, position)| position.parse::<i64>().ok());
        let outcome =
            if outcome == "served" && position.is_none() { "another's answer".to_owned() } else { outcome };
        if Instant::now() <= end + Duration::from_millis(50) && !outcome.starts_with("broken") {
            let commit = position.filter(|_| class == 4);
            let read = position.filter(|_| class != 4).map(|position| (required, position));
            lock(recorder).request_answered(&id, phase, &outcome, &self.session, AnswerData { commit, read });
        }
        outcome
    }
}

/// Maps a random number below 100 to a class: two fifths are reads with bounded staleness, a ninth are writes.
#[must_use]
pub fn class_from_draw(draw: u32) -> usize {
    let class = [(41, 0), (65, 1), (85, 2), (89, 3)].into_iter().find(|(below, _)| draw < *below);
    class.map_or(4, |(_, class)| class)
}

/// The statement of a request of a session, for group 2.
#[must_use]
pub fn statement(class: usize, session: &str, id: &str, deadline: Duration) -> String {
    statement_for(class, session, id, deadline, 2)
}

/// The statement of a request of a session, for a group.
#[must_use]
pub fn statement_for(class: usize, session: &str, id: &str, deadline: Duration, group: u32) -> String {
    let (name, ms) = (CLASSES[class], deadline.as_millis());
    let comment = format!("/* id={id},c={name},d={ms},cluster={group} */");
    if class == 4 {
        format!("INSERT INTO kv (name, content) VALUES ('{session}', '\\x01') RETURNING content {comment}")
    } else {
        format!("SELECT content FROM kv WHERE name = '{session}' {comment}")
    }
}

/// A client's connection, opened on demand.
pub struct ClientConnection {
    address: SocketAddr,
    stream: Option<TcpStream>,
    read: Vec<u8>,
    /// After what time to retry, by the latest refusal.
    pub retry_after: Option<Duration>,
}

impl ClientConnection {
    /// Creates a connection to `address`, which is not opened yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None, read: Vec::new(), retry_after: None }
    }

    /// The address that it connects to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the connection; the next request opens another.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Sends a statement and returns the outcome and the value of the row. Waits until 100 ms after `end`.
    ///
    /// # Errors
    ///
    /// If no answer arrives. The caller should then close the connection, on which the answer may still arrive.
    pub fn exchange(&mut self, statement: &str, end: Instant) -> std::io::Result<(String, Option<String>)> {
        let mut out = Vec::new();
        self.open(end)?;
        write::query(&mut out, statement);
        self.write(&out)?;
        self.answer(end)
    }

    /// Opens the connection and starts a session, unless it is open.
    ///
    /// # Errors
    ///
    /// If the connection is refused or the session's start is not answered.
    pub fn open(&mut self, end: Instant) -> std::io::Result<()> {
        // A connection that the peer closed after the last answer is reopened; no request is pending on it.
        if let Some(stream) = &self.stream {
            stream.set_nonblocking(true)?;
            let closed = matches!(stream.peek(&mut [0]), Ok(0));
            stream.set_nonblocking(false)?;
            if closed {
                self.close();
            }
        }
        if self.stream.is_some() {
            return Ok(());
        }
        let stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        self.stream = Some(stream);
        self.read.clear();
        let mut out = Vec::new();
        write::startup(&mut out, "backend", "store");
        self.write(&out)?;
        self.answer(end).map(drop)
    }

    fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream
            .as_mut()
            .map_or(Err(std::io::ErrorKind::NotConnected.into()), |stream| stream.write_all(bytes))
    }

    fn answer(&mut self, end: Instant) -> std::io::Result<(String, Option<String>)> {
        let invalid = || std::io::Error::from(std::io::ErrorKind::InvalidData);
        let (mut outcome, mut value) = ("nothing".to_owned(), None);
        let mut bytes = [0; 16 * 1024];
        loop {
            while let Some(message) = pg::server_message(&self.read).map_err(|_| invalid())? {
                let (tag, size) = (message.tag, message.size);
                match tag {
                    b'D' => {
                        let row = pg::row_value(message.body).map_err(|_| invalid())?;
                        value = row.and_then(|row| String::from_utf8(row.to_vec()).ok());
                    }
                    b'C' => outcome = "served".to_owned(),
                    b'E' => {
                        let fields = message.body.split(|byte| *byte == 0);
                        let retry_after = fields.clone().find_map(|field| field.strip_prefix(b"D"));
                        let retry_after =
                            retry_after.and_then(|text| std::str::from_utf8(text).ok()?.parse().ok());
                        self.retry_after = retry_after.map(Duration::from_millis);
                        let code = fields.filter_map(|field| field.strip_prefix(b"C")).next().unwrap_or(b"");
                        outcome = match code {
                            b"53300" | b"57P03" => "refused".to_owned(),
                            other => format!("failed {}", String::from_utf8_lossy(other)),
                        };
                    }
                    _ => {}
                }
                self.read.drain(..size);
                if tag == b'Z' {
                    return Ok((outcome, value));
                }
            }
            let remaining = end.saturating_duration_since(Instant::now()) + Duration::from_millis(100);
            let stream = self.stream.as_mut().ok_or(std::io::ErrorKind::NotConnected)?;
            stream.set_read_timeout(Some(remaining))?;
            match stream.read(&mut bytes)? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                count => self.read.extend_from_slice(&bytes[..count]),
            }
        }
    }
}

/// Unix time in milliseconds.
#[must_use]
pub fn now_ms() -> i64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    i64::try_from(now.as_millis()).unwrap_or(i64::MAX)
}
