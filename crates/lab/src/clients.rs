//! Clients that ask for all classes, each with a session of its own, and look at what they are answered.

use crate::ledger::{Ledger, Seen};
use crate::lock;
use linnetdeal_net::pg::{self, write};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The classes, as the lab's settings name them.
pub const CLASSES: [&str; 5] = ["bundle-menu", "my-recent", "usage-history", "balance-check", "top-up"];
/// How long a client waits for an answer.
pub const DEADLINE: Duration = Duration::from_millis(1_000);

/// A crowd of clients.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// So many clients of the pooler at `address`, each asking anew `pause` after its answer, until they are stopped.
    #[must_use]
    pub fn start(
        address: SocketAddr,
        count: usize,
        pause: Duration,
        seed: u64,
        ledger: &Arc<Mutex<Ledger>>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|at| {
            let (stop, ledger) = (stop.clone(), ledger.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(address, at, seed);
                while !stop.load(Ordering::SeqCst) {
                    client.ask(&ledger);
                    std::thread::sleep(pause);
                }
            })
        });
        Self { threads: threads.collect(), stop }
    }

    /// Stops them once each has its answer.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// One client.
pub struct Client {
    address: SocketAddr,
    session: String,
    asked: u64,
    deadline: Duration,
    rng: ChaCha8Rng,
    stream: Option<TcpStream>,
    read: Vec<u8>,
    told: Option<Duration>,
}

impl Client {
    /// The client of this number.
    #[must_use]
    pub fn new(address: SocketAddr, at: usize, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ at as u64);
        Self {
            address,
            session: format!("acc{at}"),
            asked: 0,
            deadline: DEADLINE,
            rng,
            stream: None,
            read: Vec::new(),
            told: None,
        }
    }

    /// The same, waiting so long for each answer.
    #[must_use]
    pub fn within(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// When to come back, as the last refusal told.
    #[must_use]
    pub fn told(&self) -> Option<Duration> {
        self.told
    }

    /// The id of what it asked last.
    #[must_use]
    pub fn last_id(&self) -> String {
        format!("{}x{}", self.session, self.asked)
    }

    /// Asks once, for a class by chance; what became of it is in the ledger.
    pub fn ask(&mut self, ledger: &Mutex<Ledger>) -> String {
        let dice = self.rng.next_u32() % 100;
        let class = [(41, 0), (65, 1), (85, 2), (89, 3)].into_iter().find(|(below, _)| dice < *below);
        self.ask_for(class.map_or(4, |(_, class)| class), ledger)
    }

    /// Asks once for a class.
    pub fn ask_for(&mut self, class: usize, ledger: &Mutex<Ledger>) -> String {
        self.asked += 1;
        let id = self.last_id();
        let (session, name, ms) = (&self.session, CLASSES[class], self.deadline.as_millis());
        let comment = format!("/* id={id},c={name},d={ms},cluster=2 */");
        let statement = if class == 4 {
            format!(
                "INSERT INTO kv (name, content) VALUES ('{session}', '\\x01') RETURNING content {comment}"
            )
        } else {
            format!("SELECT content FROM kv WHERE name = '{session}' {comment}")
        };
        let needed = match class {
            0 => now_ms() - 1_500,
            1 => lock(ledger).must_see(session, false),
            3 => lock(ledger).must_see(session, true),
            _ => 0,
        };
        let part = lock(ledger).asked();
        let end = Instant::now() + self.deadline;
        let (how, value) = match self.exchange(&statement, end) {
            Ok(answer) => answer,
            Err(error) => {
                self.stream = None;
                (format!("broken: {error}"), None)
            }
        };
        let told = value.as_deref().and_then(|value| value.split_once(' '));
        let position =
            told.filter(|(of, _)| *of == id).and_then(|(_, position)| position.parse::<i64>().ok());
        let how = if how == "served" && position.is_none() { "another's answer".to_owned() } else { how };
        if Instant::now() <= end + Duration::from_millis(50) && !how.starts_with("broken") {
            let commit = position.filter(|_| class == 4);
            let read = position.filter(|_| class != 4).map(|position| (needed, position));
            lock(ledger).answer(&id, part, &how, &self.session, Seen { commit, read });
        }
        how
    }

    fn exchange(&mut self, statement: &str, end: Instant) -> std::io::Result<(String, Option<String>)> {
        let mut out = Vec::new();
        if self.stream.is_none() {
            let stream = TcpStream::connect(self.address)?;
            stream.set_nodelay(true)?;
            self.stream = Some(stream);
            self.read.clear();
            write::startup(&mut out, "backend", "store");
            self.write(&out)?;
            self.answer(end)?;
        }
        out.clear();
        write::query(&mut out, statement);
        self.write(&out)?;
        self.answer(end)
    }

    fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream
            .as_mut()
            .map_or(Err(std::io::ErrorKind::NotConnected.into()), |stream| stream.write_all(bytes))
    }

    fn answer(&mut self, end: Instant) -> std::io::Result<(String, Option<String>)> {
        let bad = || std::io::Error::from(std::io::ErrorKind::InvalidData);
        let (mut how, mut value) = ("nothing".to_owned(), None);
        let mut bytes = [0; 16 * 1024];
        loop {
            while let Some(message) = pg::server_message(&self.read).map_err(|_| bad())? {
                let (tag, size) = (message.tag, message.size);
                match tag {
                    b'D' => {
                        let row = pg::row_value(message.body).map_err(|_| bad())?;
                        value = row.and_then(|row| String::from_utf8(row.to_vec()).ok());
                    }
                    b'C' => how = "served".to_owned(),
                    b'E' => {
                        let fields = message.body.split(|byte| *byte == 0);
                        let told = fields.clone().find_map(|field| field.strip_prefix(b"D"));
                        let told = told.and_then(|text| std::str::from_utf8(text).ok()?.parse().ok());
                        self.told = told.map(Duration::from_millis);
                        let code = fields.filter_map(|field| field.strip_prefix(b"C")).next().unwrap_or(b"");
                        how = match code {
                            b"53300" | b"57P03" => "refused".to_owned(),
                            other => format!("failed {}", String::from_utf8_lossy(other)),
                        };
                    }
                    _ => {}
                }
                self.read.drain(..size);
                if tag == b'Z' {
                    return Ok((how, value));
                }
            }
            let left = end.saturating_duration_since(Instant::now()) + Duration::from_millis(100);
            let stream = self.stream.as_mut().ok_or(std::io::ErrorKind::NotConnected)?;
            stream.set_read_timeout(Some(left))?;
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
