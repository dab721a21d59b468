//! Environment of the poolers under test: stand-in servers, the discovery service and the handover service.

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

/// A server of the environment.
#[derive(Clone)]
pub struct Server {
    /// Id in the list of servers.
    pub id: String,
    /// Number of its group.
    pub group: usize,
    /// Name of its zone.
    pub zone: String,
    /// The stand-in server.
    pub stand_in: StandInServer,
}

/// What discovery publishes about a server.
#[derive(Clone, Debug)]
struct ListEntry {
    lifecycle: String,
    started_ms: u64,
}

struct EnvironmentState {
    generation: u64,
    entries: Vec<ListEntry>,
    /// Open watch connections, with the pooler of each.
    watchers: Vec<(usize, TcpStream)>,
    /// Highest fencing token of a handover request.
    token: u64,
    rejected_old_tokens: usize,
    denies_handovers: bool,
    handovers: usize,
}

/// The environment; its services stop when it is dropped.
pub struct Environment {
    /// The stand-in servers.
    pub servers: Vec<Server>,
    /// Address of the discovery service, by pooler.
    pub discovery: Vec<SocketAddr>,
    /// Address of the handover service.
    pub handover: SocketAddr,
    state: Arc<Mutex<EnvironmentState>>,
    stopped: Arc<AtomicBool>,
    listener_addresses: Vec<SocketAddr>,
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

impl Environment {
    /// Starts groups of `members` servers each, which are spread over the zones in turn, and discovery for
    /// `poolers` poolers. A server takes `service_time` for an answer.
    ///
    /// # Errors
    ///
    /// When no listening socket can be opened.
    pub fn start(
        (groups, members, zones): (usize, usize, usize),
        poolers: usize,
        service_time: Duration,
        recorder: &Arc<Mutex<Recorder>>,
    ) -> std::io::Result<Self> {
        let mut servers = Vec::new();
        for group in 0..groups {
            let log = Arc::new(Log::default());
            for member in 0..members {
                let id = format!("s{group}{member}");
                let primary = member == group % members;
                let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
                let stand_in =
                    StandInServer::start(&id, ip, primary, service_time, log.clone(), recorder.clone())?;
                let zone = char::from(b'a' + (member % zones) as u8).to_string();
                servers.push(Server { id, group, zone, stand_in });
            }
        }
        let entry = || ListEntry { lifecycle: "up".to_owned(), started_ms: 0 };
        let state = Arc::new(Mutex::new(EnvironmentState {
            generation: 1,
            entries: servers.iter().map(|_| entry()).collect(),
            watchers: Vec::new(),
            token: 0,
            rejected_old_tokens: 0,
            denies_handovers: false,
            handovers: 0,
        }));
        let stopped = Arc::new(AtomicBool::new(false));
        let mut listener_addresses = Vec::new();
        let mut discovery = Vec::new();
        for pooler in 0..poolers {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            discovery.push(listener.local_addr()?);
            let (state, stopped) = (state.clone(), stopped.clone());
            std::thread::spawn(move || {
                for stream in listener.incoming() {
                    if stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let Ok(mut stream) = stream else { continue };
                    if !matches!(RequestHead::read(&mut stream), Ok(Some(_))) {
                        continue;
                    }
                    let mut state = lock(&state);
                    let answer =
                        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n";
                    // An empty line is a heartbeat of the watch.
                    if stream.write_all(answer.as_bytes()).and_then(|()| stream.write_all(b"\n")).is_ok() {
                        state.watchers.push((pooler, stream));
                    }
                }
            });
        }
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let handover = listener.local_addr()?;
        let (handover_state, handover_stopped, handover_servers) =
            (state.clone(), stopped.clone(), servers.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if handover_stopped.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(stream) = stream {
                    let _ = handle_handover(stream, &handover_state, &handover_servers);
                }
            }
        });
        listener_addresses.extend(discovery.iter().copied());
        listener_addresses.push(handover);
        Ok(Self { servers, discovery, handover, state, stopped, listener_addresses })
    }

    /// The list of servers that a pooler starts with; `address` returns the address under which it reaches a
    /// server.
    #[must_use]
    pub fn known_servers(servers: &[Server], address: &dyn Fn(usize) -> SocketAddr) -> Value {
        let entries: Vec<Value> = servers
            .iter()
            .enumerate()
            .map(|(index, server)| {
                let part = if server.stand_in.is_primary() { "master" } else { "replica" };
                json!({"instanceId": server.id, "hostPort": address(index).to_string(), "zone": server.zone,
                    "machineType": "m", "cell": server.group, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
                    "part": part})
            })
            .collect();
        json!({"generation": 1, "reset": true, "instances": entries})
    }

    /// Publishes a lifecycle for a server; `restarted` also sets its start time to now.
    pub fn set_lifecycle(&self, index: usize, lifecycle: &str, restarted: bool) {
        let mut state = lock(&self.state);
        state.entries[index].lifecycle = lifecycle.to_owned();
        if restarted {
            state.entries[index].started_ms = now_ms();
        }
        state.generation += 1;
        let (generation, entry) = (state.generation, state.entries[index].clone());
        let server = &self.servers[index];
        // The address is left out, so that each pooler keeps the one that it knows.
        let line = json!({"generation": generation, "reset": false, "instances": [{"instanceId": server.id,
            "zone": server.zone, "machineType": "m", "cell": server.group, "lifecycle": entry.lifecycle,
            "weight": 1.0, "startedAtMs": entry.started_ms}]});
        let line = format!("{line}\n");
        state.watchers.retain_mut(|(_, stream)| stream.write_all(line.as_bytes()).is_ok());
    }

    /// Sets whether handovers are refused.
    pub fn set_denies_handovers(&self, denies: bool) {
        lock(&self.state).denies_handovers = denies;
    }

    /// Number of handovers made, and of requests rejected because of an old token.
    #[must_use]
    pub fn handovers(&self) -> (usize, usize) {
        let state = lock(&self.state);
        (state.handovers, state.rejected_old_tokens)
    }

    /// Index of the server with this id.
    #[must_use]
    pub fn server_index(&self, id: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.id == id)
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Connects to each listener once, so that its blocked thread notices the flag.
        for address in &self.listener_addresses {
            let _ = TcpStream::connect(address);
        }
        for (_, stream) in &lock(&self.state).watchers {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn handle_handover(
    mut stream: TcpStream,
    state: &Mutex<EnvironmentState>,
    servers: &[Server],
) -> std::io::Result<()> {
    let Some(head) = RequestHead::read(&mut stream)? else { return Ok(()) };
    let header = |name: &str| head.header(name);
    let mut state = lock(state);
    let status = match header("fencing-token").parse::<u64>() {
        Err(_) => "400 Bad Request",
        Ok(token) if token < state.token => {
            state.rejected_old_tokens += 1;
            "409 Conflict"
        }
        Ok(token) => {
            state.token = token;
            let from = servers.iter().position(|server| server.id == header("from"));
            match from {
                None => "404 Not Found",
                Some(_) if state.denies_handovers => "503 Service Unavailable",
                Some(from) => {
                    let current = &servers[from];
                    let successor = servers.iter().enumerate().find(|(index, server)| {
                        server.group == current.group
                            && *index != from
                            && state.entries[*index].lifecycle == "up"
                    });
                    if let (true, Some((_, successor))) = (current.stand_in.is_primary(), successor) {
                        current.stand_in.set_primary(false);
                        successor.stand_in.set_primary(true);
                        state.handovers += 1;
                    }
                    "200 OK"
                }
            }
        }
    };
    drop(state);
    stream
        .write_all(format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").as_bytes())
}

/// Work on a machine, as the worker records it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name of the machine.
    pub machine: String,
    /// When the command `begin` was accepted.
    pub began: Instant,
    /// When the work ended and the machine was up again.
    pub finished: Option<Instant>,
    /// Whether the command `done` was accepted.
    pub confirmed: bool,
}
