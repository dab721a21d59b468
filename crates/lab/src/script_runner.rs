//! Runs a script with stand-in servers, a stand-in registry, the pooler as a process that knows its servers from the
//! registry alone, and clients. The results are taken from the recorder.

use crate::boxes::{Log, StandInServer};
use crate::clients::Clients;
use crate::eureka::{Peer, Registration, Registrations};
use crate::lock;
use crate::pooler::{Pooler, WAIT_TIMEOUT};
use crate::recorder::{Recorder, Verdict};
use crate::script::{Act, Script};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The address that the servers listen on, inside of the networks that the pooler accepts.
const BOX_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 10, 0, 1);
/// An address outside of these networks.
const OUTSIDE_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 20, 0, 1);
/// How often the pooler polls the registry.
pub const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long a server takes for a statement.
const SERVICE_TIME: Duration = Duration::from_millis(6);
const CLIENT_COUNT: usize = 8;
/// How long a client waits between an answer and its next request.
const REQUEST_PAUSE: Duration = Duration::from_millis(4);
/// The phase at a script's end in which statements to idle and busy servers are counted.
const FINAL_PHASE: Duration = Duration::from_millis(700);

/// A fleet of stand-in servers with its registry, all on loopback.
pub struct Testbed {
    /// Records the traffic on the sockets.
    pub recorder: Arc<Mutex<Recorder>>,
    /// The registrations that the registry's servers share.
    pub registrations: Registrations,
    /// The servers of the registry.
    pub peers: Vec<Peer>,
    /// The stand-in servers, by id.
    pub boxes: BTreeMap<String, StandInServer>,
    log: Arc<Log>,
    /// The offset of the servers' clock in milliseconds.
    clock_offset_ms: i64,
    /// Whether the operator's configuration lets the removal of an override end a drain.
    accepts_override_removal: bool,
}

impl Testbed {
    /// Starts this many servers, of which the first is the primary, and this many peers of the registry.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub fn new(boxes: usize, peers: usize) -> io::Result<Self> {
        let (recorder, registrations) = (Arc::new(Mutex::new(Recorder::default())), Registrations::default());
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let peers = (0..peers)
            .map(|_| Peer::start(&registrations, &recorder, any_port))
            .collect::<io::Result<_>>()?;
        let mut testbed = Self {
            recorder,
            registrations,
            peers,
            boxes: BTreeMap::new(),
            log: Arc::default(),
            clock_offset_ms: 0,
            accepts_override_removal: false,
        };
        for number in 1..=boxes {
            testbed.add_box(&format!("s-{number}"), number == 1)?;
        }
        testbed.registrations.clear_history();
        Ok(testbed)
    }

    fn start_box(&mut self, name: &str, primary: bool) -> io::Result<SocketAddr> {
        let (log, recorder) = (self.log.clone(), self.recorder.clone());
        let server =
            StandInServer::start(name, IpAddr::V4(BOX_ADDRESS), primary, SERVICE_TIME, log, recorder)?;
        let address = server.address;
        self.boxes.insert(name.to_owned(), server);
        Ok(address)
    }

    /// Starts a server and registers it.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn add_box(&mut self, name: &str, primary: bool) -> io::Result<()> {
        let address = self.start_box(name, primary)?;
        let role = if primary { "primary" } else { "replica" };
        let metadata = [("group", "2"), ("role", role), ("zone", "adum")];
        let metadata = metadata.map(|(key, value)| (key.to_owned(), value.to_owned()));
        self.registrations.register(Registration {
            app: "DB".into(),
            id: name.to_owned(),
            ip: address.ip().to_string(),
            port: address.port(),
            status: "UP".into(),
            overridden: "UNKNOWN".into(),
            dirty: self.next_timestamp(),
            metadata: BTreeMap::from(metadata),
            ..Registration::default()
        });
        Ok(())
    }

    fn next_timestamp(&self) -> i64 {
        self.registrations.next_timestamp() + self.clock_offset_ms
    }

    /// Changes a registration as the server itself would, with a timestamp of its own clock.
    fn update_by_box(&self, name: &str, change: impl FnOnce(&mut Registration)) {
        let timestamp = self.next_timestamp();
        self.registrations.update(name, false, |registration| {
            change(registration);
            registration.dirty = timestamp;
        });
    }

    /// The operator's file for a pooler of this fleet, with `extra` in the `registry` record.
    #[must_use]
    pub fn operator_file(&self, extra: &str) -> String {
        let servers = self.peers.iter().map(|peer| format!("{{url: \"http://{}/eureka\"}}", peer.address));
        let servers: Vec<String> = servers.collect();
        let interval = POLL_INTERVAL.as_millis();
        format!(
            "package linnetdeal\n\nregistry: {{\n\tservers: [{}]\n\tapps: [\"DB\"]\n\
             \tnetworks: [{{prefix: \"127.10.0.0/16\"}}]\n\
             \tinterval: \"{interval}ms\"\n\tlongest_pause: \"1s\"\n\t{extra}\n}}\n",
            servers.join(", ")
        )
    }

    /// Performs an event of a script.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound, or the pooler cannot be sent a signal.
    pub fn apply(&mut self, act: &Act, pooler: &Pooler) -> io::Result<()> {
        let set_status = |status: &'static str| {
            move |registration: &mut Registration| registration.status = status.to_owned()
        };
        match act {
            Act::Drain(name) => self.update_by_box(name, set_status("OUT_OF_SERVICE")),
            Act::Up(name) => self.update_by_box(name, set_status("UP")),
            Act::Starting(name) => self.update_by_box(name, set_status("STARTING")),
            Act::Override(name, status) => self.registrations.update(name, false, |registration| {
                registration.status.clone_from(status);
                registration.overridden.clone_from(status);
            }),
            Act::Lift(name) => {
                if self.accepts_override_removal {
                    lock(&self.recorder).accept_override_removal(name);
                }
                self.registrations.update(name, false, |registration| {
                    registration.status = "UP".into();
                    registration.overridden = "UNKNOWN".into();
                });
            }
            Act::Remove(name) => drop(self.registrations.cancel(name)),
            Act::Come(name, role) => self.add_box(name, role == "primary")?,
            Act::Restart(name) => {
                let started = self.next_timestamp().to_string();
                self.update_by_box(name, |registration| {
                    registration.status = "UP".into();
                    registration.metadata.insert("startedAtMs".into(), started);
                });
            }
            Act::Move(name) => {
                let address = self.start_box(&format!("{name}-moved"), false)?;
                self.update_by_box(name, |registration| registration.port = address.port());
            }
            Act::Twin(name) => {
                let address = self.start_box(&format!("{name}-twin"), false)?;
                self.registrations.update(name, false, |registration| registration.port = address.port());
            }
            Act::Outside(name) => {
                let address = self.listen_outside()?;
                let mut registration = self.registrations.get("s-1").unwrap_or_default();
                (registration.id, registration.dirty) = (name.clone(), self.next_timestamp());
                (registration.ip, registration.port) = (address.ip().to_string(), address.port());
                self.registrations.register(registration);
            }
            Act::Stray(name) => {
                let address = self.listen_outside()?;
                self.update_by_box(name, |registration| {
                    (registration.ip, registration.port) = (address.ip().to_string(), address.port())
                });
            }
            Act::Forget => self.registrations.clear(),
            Act::Return(pause) => {
                let names: Vec<String> = self.boxes.keys().cloned().collect();
                for name in names {
                    let server = &self.boxes[&name];
                    let role = if name == "s-1" { "primary" } else { "replica" };
                    let metadata = [("group", "2"), ("role", role), ("zone", "adum")];
                    self.registrations.register(Registration {
                        app: "DB".into(),
                        id: name.clone(),
                        ip: server.address.ip().to_string(),
                        port: server.address.port(),
                        status: "UP".into(),
                        overridden: "UNKNOWN".into(),
                        dirty: self.next_timestamp(),
                        metadata: metadata.map(|(key, value)| (key.to_owned(), value.to_owned())).into(),
                        ..Registration::default()
                    });
                    std::thread::sleep(Duration::from_millis(*pause));
                }
            }
            Act::Behave(peer, mode) => self.peers[*peer].set_mode(mode.clone()),
            Act::Lag(peer, ms) => self.peers[*peer].set_lag(Duration::from_millis(*ms)),
            Act::Step(ms) => self.clock_offset_ms += ms,
            Act::Behind(name, ms) => self.boxes.get(name).into_iter().for_each(|server| server.set_lag(*ms)),
            Act::Down(name) => self.boxes.get(name).into_iter().for_each(|server| server.set_down(true)),
            Act::Terminate => pooler.signal("TERM")?,
        }
        Ok(())
    }

    /// Listens on an address outside of the pooler's networks and counts connections to it.
    fn listen_outside(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((OUTSIDE_ADDRESS, 0))?;
        let address = listener.local_addr()?;
        let recorder = self.recorder.clone();
        std::thread::spawn(move || {
            for _ in listener.incoming() {
                lock(&recorder).outside_connection(address);
            }
        });
        Ok(address)
    }
}

/// Waits until a condition holds.
///
/// # Errors
///
/// If it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if holds() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Err(io::Error::other(format!("timed out while waiting: {condition}")))
}

/// The result of a script.
#[derive(Clone, Debug)]
pub struct ScriptOutcome {
    /// The script's name.
    pub name: String,
    /// The counts of the recorder.
    pub verdict: Verdict,
    /// Descriptions of the expectations that were not met, followed by the end of the pooler's log.
    pub missed: Vec<String>,
    /// The share of requests that was served, without those of the first 300 ms.
    pub served_share: f64,
}

/// Runs a script with the program at `program`.
///
/// # Errors
///
/// If the script cannot be run; expectations that are not met are part of the outcome instead.
pub fn run_script(script: &Script, program: &Path, seed: u64) -> io::Result<ScriptOutcome> {
    let mut testbed = Testbed::new(script.boxes, script.peers)?;
    testbed.accepts_override_removal = script.operator.contains("lifts: \"override\"");
    testbed.peers.iter().for_each(|peer| peer.set_encoding(script.xml, true));
    let empty_list = serde_json::json!({"generation": 0, "reset": true, "instances": []});
    let mut pooler = Pooler::start(program, Some(&testbed.operator_file(&script.operator)), &empty_list)?;
    pooler.wait_for_log("instances read")?;
    let recorder = testbed.recorder.clone();
    let clients = Clients::start(pooler.address, CLIENT_COUNT, REQUEST_PAUSE, seed, &recorder);
    let started = Instant::now();
    let sleep_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));
    sleep_until(Duration::from_millis(300));
    lock(&recorder).begin_phase();
    for step in &script.steps {
        sleep_until(Duration::from_millis(step.at));
        testbed.apply(&step.act, &pooler)?;
    }
    let end = Duration::from_millis(script.ms);
    sleep_until(end.saturating_sub(FINAL_PHASE));
    let names: Vec<String> = script.expect.idle.iter().chain(&script.expect.busy).cloned().collect();
    let statement_counts = |recorder: &Mutex<Recorder>| {
        names.iter().map(|name| lock(recorder).statement_count(name)).collect::<Vec<_>>()
    };
    let before = statement_counts(&recorder);
    sleep_until(end);
    let after = statement_counts(&recorder);
    clients.stop();
    let (served, asked) = lock(&recorder).phase_counts();
    let served_share = served as f64 / asked.max(1) as f64;
    let mut missed = Vec::new();
    if served_share < script.expect.served {
        let outcomes = lock(&recorder).outcome_counts().clone();
        missed.push(format!("served {served_share:.4} and not {}: {outcomes:?}", script.expect.served));
    }
    for (at, name) in names.iter().enumerate() {
        let (received, idle) = (after[at] - before[at], at < script.expect.idle.len());
        if idle != (received == 0) {
            missed.push(format!("{name} got {received} at the end"));
        }
    }
    for text in &script.expect.log {
        if !pooler.log().iter().any(|line| line.contains(text)) {
            missed.push(format!("no '{text}' in the log"));
        }
    }
    // An unavailable registry must not delay the pooler's termination.
    let terminated_at = Instant::now();
    pooler.signal("TERM")?;
    let status = pooler.wait_for_exit()?;
    if !status.success() || terminated_at.elapsed() > Duration::from_millis(3_700) {
        missed.push(format!("it ended with {status} after {:?}", terminated_at.elapsed()));
    }
    let verdict = lock(&recorder).verdict();
    if !missed.is_empty() {
        missed.extend(pooler.log().into_iter().rev().take(12).rev());
    }
    Ok(ScriptOutcome { name: script.name.clone(), verdict, missed, served_share })
}

/// The path of the pooler's program: that in the environment variable `LINNETDEAL`, or `linnetdeal` in this program's
/// folder.
#[must_use]
pub fn program() -> PathBuf {
    std::env::var_os("LINNETDEAL").map(PathBuf::from).unwrap_or_else(|| {
        let own = std::env::current_exe().unwrap_or_default();
        own.parent().unwrap_or(Path::new(".")).join("linnetdeal")
    })
}
