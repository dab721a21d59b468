//! Plays a script: stand-in boxes, a stand-in registry, the pooler as a process that knows its boxes from the registry
//! alone, and clients. What comes out is in the ledger.

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

/// Where boxes lie, and where none may.
const BOX_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 10, 0, 1);
const OUTSIDE_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 20, 0, 1);
/// How often the pooler asks.
pub const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// What a box does for a request.
const SERVICE_TIME: Duration = Duration::from_millis(6);
const CLIENT_COUNT: usize = 8;
const REQUEST_PAUSE: Duration = Duration::from_millis(4);
/// The part at a script's end in which its boxes are looked at.
const FINAL_PHASE: Duration = Duration::from_millis(700);

/// A fleet with its registry, all on loopback.
pub struct Testbed {
    /// What passes on the sockets.
    pub recorder: Arc<Mutex<Recorder>>,
    /// What is registered.
    pub registrations: Registrations,
    /// The registry's servers.
    pub peers: Vec<Peer>,
    /// The boxes.
    pub boxes: BTreeMap<String, StandInServer>,
    log: Arc<Log>,
    /// How far the clock of all of them is off.
    clock_offset_ms: i64,
    /// Whether the operator counts the taking back of an override.
    accepts_override_removal: bool,
}

impl Testbed {
    /// So many boxes, the first of them the primary, and so many peers.
    ///
    /// # Errors
    ///
    /// When something can't listen.
    pub fn new(boxes: usize, peers: usize) -> io::Result<Self> {
        let (recorder, registrations) = (Arc::new(Mutex::new(Recorder::default())), Registrations::default());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let peers =
            (0..peers).map(|_| Peer::start(&registrations, &recorder, any)).collect::<io::Result<_>>()?;
        let mut testbed = Self {
            recorder,
            registrations,
            peers,
            boxes: BTreeMap::new(),
            log: Arc::default(),
            clock_offset_ms: 0,
            accepts_override_removal: false,
        };
        for at in 1..=boxes {
            testbed.add_box(&format!("s-{at}"), at == 1)?;
        }
        testbed.registrations.clear_history();
        Ok(testbed)
    }

    fn start_box(&mut self, name: &str, primary: bool) -> io::Result<SocketAddr> {
        let (log, recorder) = (self.log.clone(), self.recorder.clone());
        let one = StandInServer::start(name, IpAddr::V4(BOX_ADDRESS), primary, SERVICE_TIME, log, recorder)?;
        let address = one.address;
        self.boxes.insert(name.to_owned(), one);
        Ok(address)
    }

    /// A box comes and registers.
    ///
    /// # Errors
    ///
    /// When it can't listen.
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

    /// A box changes itself: its stamp is its own clock's.
    fn update_by_box(&self, name: &str, change: impl FnOnce(&mut Registration)) {
        let stamp = self.next_timestamp();
        self.registrations.update(name, false, |one| {
            change(one);
            one.dirty = stamp;
        });
    }

    /// The operator's file for a pooler of this fleet, with `more` in the registry's record.
    #[must_use]
    pub fn operator_file(&self, extra: &str) -> String {
        let servers = self.peers.iter().map(|peer| format!("{{url: \"http://{}/eureka\"}}", peer.address));
        let servers: Vec<String> = servers.collect();
        let interval = POLL_INTERVAL.as_millis();
        format!(
            "package linnetdeal\n\nregistry: {{\n\tservers: [{}]\n\tapps: [\"DB\"]\n\tnetworks: [{{prefix: \"127.10.0.0/16\"}}]\n\
             \tinterval: \"{interval}ms\"\n\tlongest_pause: \"1s\"\n\t{extra}\n}}\n",
            servers.join(", ")
        )
    }

    /// Does what a script says.
    ///
    /// # Errors
    ///
    /// When something can't listen, or the pooler can't be told.
    pub fn apply(&mut self, act: &Act, pooler: &Pooler) -> io::Result<()> {
        let status = |to: &'static str| move |one: &mut Registration| one.status = to.to_owned();
        match act {
            Act::Drain(name) => self.update_by_box(name, status("OUT_OF_SERVICE")),
            Act::Up(name) => self.update_by_box(name, status("UP")),
            Act::Starting(name) => self.update_by_box(name, status("STARTING")),
            Act::Override(name, to) => self.registrations.update(name, false, |one| {
                one.status.clone_from(to);
                one.overridden.clone_from(to);
            }),
            Act::Lift(name) => {
                if self.accepts_override_removal {
                    lock(&self.recorder).accept_override_removal(name);
                }
                self.registrations.update(name, false, |one| {
                    one.status = "UP".into();
                    one.overridden = "UNKNOWN".into();
                });
            }
            Act::Remove(name) => drop(self.registrations.cancel(name)),
            Act::Come(name, role) => self.add_box(name, role == "primary")?,
            Act::Restart(name) => {
                let started = self.next_timestamp().to_string();
                self.update_by_box(name, |one| {
                    one.status = "UP".into();
                    one.metadata.insert("startedAtMs".into(), started);
                });
            }
            Act::Move(name) => {
                let address = self.start_box(&format!("{name}-moved"), false)?;
                self.update_by_box(name, |one| one.port = address.port());
            }
            Act::Twin(name) => {
                let address = self.start_box(&format!("{name}-twin"), false)?;
                self.registrations.update(name, false, |one| one.port = address.port());
            }
            Act::Outside(name) => {
                let address = self.listen_outside()?;
                let mut one = self.registrations.get("s-1").unwrap_or_default();
                (one.id, one.dirty) = (name.clone(), self.next_timestamp());
                (one.ip, one.port) = (address.ip().to_string(), address.port());
                self.registrations.register(one);
            }
            Act::Stray(name) => {
                let address = self.listen_outside()?;
                self.update_by_box(name, |one| {
                    (one.ip, one.port) = (address.ip().to_string(), address.port())
                });
            }
            Act::Forget => self.registrations.clear(),
            Act::Return(pause) => {
                let names: Vec<String> = self.boxes.keys().cloned().collect();
                for name in names {
                    let one = &self.boxes[&name];
                    let role = if name == "s-1" { "primary" } else { "replica" };
                    let metadata = [("group", "2"), ("role", role), ("zone", "adum")];
                    self.registrations.register(Registration {
                        app: "DB".into(),
                        id: name.clone(),
                        ip: one.address.ip().to_string(),
                        port: one.address.port(),
                        status: "UP".into(),
                        overridden: "UNKNOWN".into(),
                        dirty: self.next_timestamp(),
                        metadata: metadata.map(|(key, value)| (key.to_owned(), value.to_owned())).into(),
                        ..Registration::default()
                    });
                    std::thread::sleep(Duration::from_millis(*pause));
                }
            }
            Act::Behave(peer, manner) => self.peers[*peer].set_mode(manner.clone()),
            Act::Lag(peer, ms) => self.peers[*peer].set_lag(Duration::from_millis(*ms)),
            Act::Step(ms) => self.clock_offset_ms += ms,
            Act::Behind(name, ms) => self.boxes.get(name).into_iter().for_each(|one| one.set_lag(*ms)),
            Act::Down(name) => self.boxes.get(name).into_iter().for_each(|one| one.set_down(true)),
            Act::Terminate => pooler.signal("TERM")?,
        }
        Ok(())
    }

    /// Where no box may lie; whoever connects is counted.
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

/// Waits until something holds.
///
/// # Errors
///
/// When it does not hold in time.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if holds() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Err(io::Error::other(format!("waited in vain: {what}")))
}

/// What came out of a script.
#[derive(Clone, Debug)]
pub struct ScriptOutcome {
    /// Its name.
    pub name: String,
    /// By the ledger.
    pub verdict: Verdict,
    /// What was expected and did not come, in words.
    pub missed: Vec<String>,
    /// While the script ran, without its first moments: served and asked.
    pub served_share: f64,
}

/// Plays a script with the program at `program`.
///
/// # Errors
///
/// When it can't be played; what comes out wrong is no error.
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
    let sends = |recorder: &Mutex<Recorder>| {
        names.iter().map(|name| lock(recorder).statement_count(name)).collect::<Vec<_>>()
    };
    let early = sends(&recorder);
    sleep_until(end);
    let late = sends(&recorder);
    clients.stop();
    let (served, asked) = lock(&recorder).phase_counts();
    let served_share = served as f64 / asked.max(1) as f64;
    let mut missed = Vec::new();
    if served_share < script.expect.served {
        let outcomes = lock(&recorder).outcome_counts().clone();
        missed.push(format!("served {served_share:.4} and not {}: {outcomes:?}", script.expect.served));
    }
    for (at, name) in names.iter().enumerate() {
        let (got, idle) = (late[at] - early[at], at < script.expect.idle.len());
        if idle != (got == 0) {
            missed.push(format!("{name} got {got} at the end"));
        }
    }
    for text in &script.expect.log {
        if !pooler.log().iter().any(|line| line.contains(text)) {
            missed.push(format!("no '{text}' in the log"));
        }
    }
    // Nobody's end is delayed by a registry that is away.
    let stopping = Instant::now();
    pooler.signal("TERM")?;
    let status = pooler.wait_for_exit()?;
    if !status.success() || stopping.elapsed() > Duration::from_millis(3_700) {
        missed.push(format!("it ended with {status} after {:?}", stopping.elapsed()));
    }
    let verdict = lock(&recorder).verdict();
    if !missed.is_empty() {
        missed.extend(pooler.log().into_iter().rev().take(12).rev());
    }
    Ok(ScriptOutcome { name: script.name.clone(), verdict, missed, served_share })
}

/// The pooler's program: what `LINNETDEAL` names, or the one beside this program.
#[must_use]
pub fn program() -> PathBuf {
    std::env::var_os("LINNETDEAL").map(PathBuf::from).unwrap_or_else(|| {
        let own = std::env::current_exe().unwrap_or_default();
        own.parent().unwrap_or(Path::new(".")).join("linnetdeal")
    })
}
