//! What poolers stand among: servers, the list of them, and who hands primaries over.

use crate::boxes::{Log, StandInServer};
use crate::lock;
use crate::processes::http_head::RequestHead;
use crate::recorder::Recorder;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A server.
#[derive(Clone)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Its group.
    pub group: usize,
    /// Its zone.
    pub zone: String,
    /// The stand-in.
    pub stand_in: StandInServer,
}

/// What the list says of a server.
#[derive(Clone, Debug)]
struct Entry {
    lifecycle: String,
    started_ms: u64,
}

struct Inside {
    generation: u64,
    entries: Vec<Entry>,
    /// By pooler.
    watchers: Vec<(usize, TcpStream)>,
    /// The highest token that asked for a hand-over.
    token: u64,
    old_tokens: usize,
    denies: bool,
    handovers: usize,
}

/// All of them.
pub struct Environment {
    /// The servers.
    pub servers: Vec<Server>,
    /// Where the list is followed, by pooler.
    pub discovery: Vec<SocketAddr>,
    /// Who hands primaries over.
    pub handover: SocketAddr,
    inside: Arc<Mutex<Inside>>,
    over: Arc<AtomicBool>,
    doors: Vec<SocketAddr>,
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

impl Environment {
    /// So many groups of so many servers each, in zones in turn, for so many poolers. Answers take `work`.
    ///
    /// # Errors
    ///
    /// When addresses can't be had.
    pub fn start(
        (groups, members, zones): (usize, usize, usize),
        poolers: usize,
        work: Duration,
        recorder: &Arc<Mutex<Recorder>>,
    ) -> std::io::Result<Self> {
        let mut servers = Vec::new();
        for group in 0..groups {
            let log = Arc::new(Log::default());
            for member in 0..members {
                let id = format!("s{group}{member}");
                let primary = member == group % members;
                let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
                let stand_in = StandInServer::start(&id, ip, primary, work, log.clone(), recorder.clone())?;
                let zone = char::from(b'a' + (member % zones) as u8).to_string();
                servers.push(Server { id, group, zone, stand_in });
            }
        }
        let entry = || Entry { lifecycle: "up".to_owned(), started_ms: 0 };
        let inside = Arc::new(Mutex::new(Inside {
            generation: 1,
            entries: servers.iter().map(|_| entry()).collect(),
            watchers: Vec::new(),
            token: 0,
            old_tokens: 0,
            denies: false,
            handovers: 0,
        }));
        let over = Arc::new(AtomicBool::new(false));
        let mut doors = Vec::new();
        let mut discovery = Vec::new();
        for pooler in 0..poolers {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            discovery.push(listener.local_addr()?);
            let (inside, over) = (inside.clone(), over.clone());
            std::thread::spawn(move || {
                for stream in listener.incoming() {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    let Ok(mut stream) = stream else { continue };
                    if !matches!(RequestHead::read(&mut stream), Ok(Some(_))) {
                        continue;
                    }
                    let mut inside = lock(&inside);
                    let answer =
                        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n";
                    // An empty line only tells that the watch lives.
                    if stream.write_all(answer.as_bytes()).and_then(|()| stream.write_all(b"\n")).is_ok() {
                        inside.watchers.push((pooler, stream));
                    }
                }
            });
        }
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let handover = listener.local_addr()?;
        let (of_inside, of_over, of_servers) = (inside.clone(), over.clone(), servers.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if of_over.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(stream) = stream {
                    let _ = hand_over(stream, &of_inside, &of_servers);
                }
            }
        });
        doors.extend(discovery.iter().copied());
        doors.push(handover);
        Ok(Self { servers, discovery, handover, inside, over, doors })
    }

    /// The list as a pooler that starts has held it last; `address` is where it finds each.
    #[must_use]
    pub fn known(servers: &[Server], address: &dyn Fn(usize) -> SocketAddr) -> Value {
        let entries: Vec<Value> = servers
            .iter()
            .enumerate()
            .map(|(at, server)| {
                let part = if server.stand_in.is_primary() { "master" } else { "replica" };
                json!({"instanceId": server.id, "hostPort": address(at).to_string(), "zone": server.zone,
                    "machineType": "m", "cell": server.group, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
                    "part": part})
            })
            .collect();
        json!({"generation": 1, "reset": true, "instances": entries})
    }

    /// The list says this of a server from now on; `started` when it has started anew.
    pub fn list(&self, at: usize, lifecycle: &str, started: bool) {
        let mut inside = lock(&self.inside);
        inside.entries[at].lifecycle = lifecycle.to_owned();
        if started {
            inside.entries[at].started_ms = now_ms();
        }
        inside.generation += 1;
        let (generation, entry) = (inside.generation, inside.entries[at].clone());
        let server = &self.servers[at];
        // Its address is left out, and stays as each pooler knows it.
        let line = json!({"generation": generation, "reset": false, "instances": [{"instanceId": server.id,
            "zone": server.zone, "machineType": "m", "cell": server.group, "lifecycle": entry.lifecycle,
            "weight": 1.0, "startedAtMs": entry.started_ms}]});
        let line = format!("{line}\n");
        inside.watchers.retain_mut(|(_, stream)| stream.write_all(line.as_bytes()).is_ok());
    }

    /// Hand-overs are refused, or made again.
    pub fn deny(&self, denies: bool) {
        lock(&self.inside).denies = denies;
    }

    /// Hand-overs that were made, and those that were asked for with a token older than one seen.
    #[must_use]
    pub fn handovers(&self) -> (usize, usize) {
        let inside = lock(&self.inside);
        (inside.handovers, inside.old_tokens)
    }

    /// The place of a server by its id.
    #[must_use]
    pub fn place(&self, id: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.id == id)
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        // Wakes all who listen, so that they see that.
        for door in &self.doors {
            let _ = TcpStream::connect(door);
        }
        for (_, stream) in &lock(&self.inside).watchers {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn hand_over(mut stream: TcpStream, inside: &Mutex<Inside>, servers: &[Server]) -> std::io::Result<()> {
    let Some(head) = RequestHead::read(&mut stream)? else { return Ok(()) };
    let field = |name: &str| head.header(name);
    let mut inside = lock(inside);
    let status = match field("fencing-token").parse::<u64>() {
        Err(_) => "400 Bad Request",
        Ok(token) if token < inside.token => {
            inside.old_tokens += 1;
            "409 Conflict"
        }
        Ok(token) => {
            inside.token = token;
            let from = servers.iter().position(|server| server.id == field("from"));
            match from {
                None => "404 Not Found",
                Some(_) if inside.denies => "503 Service Unavailable",
                Some(from) => {
                    let of = &servers[from];
                    let heir = servers.iter().enumerate().find(|(at, server)| {
                        server.group == of.group && *at != from && inside.entries[*at].lifecycle == "up"
                    });
                    if let (true, Some((_, heir))) = (of.stand_in.is_primary(), heir) {
                        of.stand_in.set_primary(false);
                        heir.stand_in.set_primary(true);
                        inside.handovers += 1;
                    }
                    "200 OK"
                }
            }
        }
    };
    drop(inside);
    stream
        .write_all(format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").as_bytes())
}

/// Machines that somebody works on, and what is audited of that.
#[derive(Clone, Debug)]
pub struct Job {
    /// The machine.
    pub machine: String,
    /// When the call that begins it was answered with yes.
    pub began: Instant,
    /// When it was over, and the machine there again.
    pub over: Option<Instant>,
    /// The call that ends it was answered with yes.
    pub done: bool,
}
