//! Plays a script: stand-in boxes, a stand-in registry, the pooler as a process that knows its boxes from the registry
//! alone, and clients. What comes out is in the ledger.

use crate::boxes::{Log, StandIn};
use crate::clients::Crowd;
use crate::eureka::{Peer, Registered, World};
use crate::ledger::{Ledger, Verdict};
use crate::lock;
use crate::pooler::{Pooler, WAIT_TIMEOUT};
use crate::script::{Act, Script};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Where boxes lie, and where none may.
const INSIDE: Ipv4Addr = Ipv4Addr::new(127, 10, 0, 1);
const OUTSIDE: Ipv4Addr = Ipv4Addr::new(127, 20, 0, 1);
/// How often the pooler asks.
pub const INTERVAL: Duration = Duration::from_millis(200);
/// What a box does for a request.
const WORK: Duration = Duration::from_millis(6);
const CLIENTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(4);
/// The part at a script's end in which its boxes are looked at.
const LAST: Duration = Duration::from_millis(700);

/// A fleet with its registry, all on loopback.
pub struct Stage {
    /// What passes on the sockets.
    pub ledger: Arc<Mutex<Ledger>>,
    /// What is registered.
    pub world: World,
    /// The registry's servers.
    pub peers: Vec<Peer>,
    /// The boxes.
    pub boxes: BTreeMap<String, StandIn>,
    log: Arc<Log>,
    /// How far the clock of all of them is off.
    off: i64,
    /// Whether the operator counts the taking back of an override.
    lifts: bool,
}

impl Stage {
    /// So many boxes, the first of them the primary, and so many peers.
    ///
    /// # Errors
    ///
    /// When something can't listen.
    pub fn new(boxes: usize, peers: usize) -> io::Result<Self> {
        let (ledger, world) = (Arc::new(Mutex::new(Ledger::default())), World::default());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let peers = (0..peers).map(|_| Peer::start(&world, &ledger, any)).collect::<io::Result<_>>()?;
        let mut stage =
            Self { ledger, world, peers, boxes: BTreeMap::new(), log: Arc::default(), off: 0, lifts: false };
        for at in 1..=boxes {
            stage.come(&format!("s-{at}"), at == 1)?;
        }
        stage.world.begin();
        Ok(stage)
    }

    fn open(&mut self, name: &str, primary: bool) -> io::Result<SocketAddr> {
        let (log, ledger) = (self.log.clone(), self.ledger.clone());
        let one = StandIn::start(name, IpAddr::V4(INSIDE), primary, WORK, log, ledger)?;
        let address = one.address;
        self.boxes.insert(name.to_owned(), one);
        Ok(address)
    }

    /// A box comes and registers.
    ///
    /// # Errors
    ///
    /// When it can't listen.
    pub fn come(&mut self, name: &str, primary: bool) -> io::Result<()> {
        let address = self.open(name, primary)?;
        let role = if primary { "primary" } else { "replica" };
        let metadata = [("group", "2"), ("role", role), ("zone", "adum")];
        let metadata = metadata.map(|(key, value)| (key.to_owned(), value.to_owned()));
        self.world.register(Registered {
            app: "DB".into(),
            id: name.to_owned(),
            ip: address.ip().to_string(),
            port: address.port(),
            status: "UP".into(),
            overridden: "UNKNOWN".into(),
            dirty: self.stamp(),
            metadata: BTreeMap::from(metadata),
            ..Registered::default()
        });
        Ok(())
    }

    fn stamp(&self) -> i64 {
        self.world.stamp() + self.off
    }

    /// A box changes itself: its stamp is its own clock's.
    fn own(&self, name: &str, change: impl FnOnce(&mut Registered)) {
        let stamp = self.stamp();
        self.world.alter(name, false, |one| {
            change(one);
            one.dirty = stamp;
        });
    }

    /// The operator's file for a pooler of this fleet, with `more` in the registry's record.
    #[must_use]
    pub fn operator(&self, more: &str) -> String {
        let servers = self.peers.iter().map(|peer| format!("{{url: \"http://{}/eureka\"}}", peer.address));
        let servers: Vec<String> = servers.collect();
        let interval = INTERVAL.as_millis();
        format!(
            "package linnetdeal\n\nregistry: {{\n\tservers: [{}]\n\tapps: [\"DB\"]\n\tnetworks: [{{prefix: \"127.10.0.0/16\"}}]\n\
             \tinterval: \"{interval}ms\"\n\tlongest_pause: \"1s\"\n\t{more}\n}}\n",
            servers.join(", ")
        )
    }

    /// Does what a script says.
    ///
    /// # Errors
    ///
    /// When something can't listen, or the pooler can't be told.
    pub fn act(&mut self, act: &Act, pooler: &Pooler) -> io::Result<()> {
        let status = |to: &'static str| move |one: &mut Registered| one.status = to.to_owned();
        match act {
            Act::Drain(name) => self.own(name, status("OUT_OF_SERVICE")),
            Act::Up(name) => self.own(name, status("UP")),
            Act::Starting(name) => self.own(name, status("STARTING")),
            Act::Override(name, to) => self.world.alter(name, false, |one| {
                one.status.clone_from(to);
                one.overridden.clone_from(to);
            }),
            Act::Lift(name) => {
                if self.lifts {
                    lock(&self.ledger).lift(name);
                }
                self.world.alter(name, false, |one| {
                    one.status = "UP".into();
                    one.overridden = "UNKNOWN".into();
                });
            }
            Act::Remove(name) => drop(self.world.cancel(name)),
            Act::Come(name, role) => self.come(name, role == "primary")?,
            Act::Restart(name) => {
                let started = self.stamp().to_string();
                self.own(name, |one| {
                    one.status = "UP".into();
                    one.metadata.insert("startedAtMs".into(), started);
                });
            }
            Act::Move(name) => {
                let address = self.open(&format!("{name}-moved"), false)?;
                self.own(name, |one| one.port = address.port());
            }
            Act::Twin(name) => {
                let address = self.open(&format!("{name}-twin"), false)?;
                self.world.alter(name, false, |one| one.port = address.port());
            }
            Act::Outside(name) => {
                let address = self.trap()?;
                let mut one = self.world.get("s-1").unwrap_or_default();
                (one.id, one.dirty) = (name.clone(), self.stamp());
                (one.ip, one.port) = (address.ip().to_string(), address.port());
                self.world.register(one);
            }
            Act::Stray(name) => {
                let address = self.trap()?;
                self.own(name, |one| (one.ip, one.port) = (address.ip().to_string(), address.port()));
            }
            Act::Forget => self.world.forget(),
            Act::Return(pause) => {
                let names: Vec<String> = self.boxes.keys().cloned().collect();
                for name in names {
                    let one = &self.boxes[&name];
                    let role = if name == "s-1" { "primary" } else { "replica" };
                    let metadata = [("group", "2"), ("role", role), ("zone", "adum")];
                    self.world.register(Registered {
                        app: "DB".into(),
                        id: name.clone(),
                        ip: one.address.ip().to_string(),
                        port: one.address.port(),
                        status: "UP".into(),
                        overridden: "UNKNOWN".into(),
                        dirty: self.stamp(),
                        metadata: metadata.map(|(key, value)| (key.to_owned(), value.to_owned())).into(),
                        ..Registered::default()
                    });
                    std::thread::sleep(Duration::from_millis(*pause));
                }
            }
            Act::Behave(peer, manner) => self.peers[*peer].behave(manner.clone()),
            Act::Lag(peer, ms) => self.peers[*peer].set_lag(Duration::from_millis(*ms)),
            Act::Step(ms) => self.off += ms,
            Act::Behind(name, ms) => self.boxes.get(name).into_iter().for_each(|one| one.set_lag(*ms)),
            Act::Down(name) => self.boxes.get(name).into_iter().for_each(|one| one.set_down(true)),
            Act::Terminate => pooler.signal("TERM")?,
        }
        Ok(())
    }

    /// Where no box may lie; whoever connects is counted.
    fn trap(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((OUTSIDE, 0))?;
        let address = listener.local_addr()?;
        let ledger = self.ledger.clone();
        std::thread::spawn(move || {
            for _ in listener.incoming() {
                lock(&ledger).outside(address);
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
pub fn wait(what: &str, mut holds: impl FnMut() -> bool) -> io::Result<()> {
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
pub struct Outcome {
    /// Its name.
    pub name: String,
    /// By the ledger.
    pub verdict: Verdict,
    /// What was expected and did not come, in words.
    pub missed: Vec<String>,
    /// While the script ran, without its first moments: served and asked.
    pub share: f64,
}

/// Plays a script with the program at `program`.
///
/// # Errors
///
/// When it can't be played; what comes out wrong is no error.
pub fn play(script: &Script, program: &Path, seed: u64) -> io::Result<Outcome> {
    let mut stage = Stage::new(script.boxes, script.peers)?;
    stage.lifts = script.operator.contains("lifts: \"override\"");
    stage.peers.iter().for_each(|peer| peer.write_as(script.xml, true));
    let none = serde_json::json!({"generation": 0, "reset": true, "instances": []});
    let mut pooler = Pooler::start(program, Some(&stage.operator(&script.operator)), &none)?;
    pooler.wait_for_log("instances read")?;
    let ledger = stage.ledger.clone();
    let crowd = Crowd::start(pooler.address, CLIENTS, PAUSE, seed, &ledger);
    let started = Instant::now();
    let sleep_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));
    sleep_until(Duration::from_millis(300));
    lock(&ledger).begin_part();
    for step in &script.steps {
        sleep_until(Duration::from_millis(step.at));
        stage.act(&step.act, &pooler)?;
    }
    let end = Duration::from_millis(script.ms);
    sleep_until(end.saturating_sub(LAST));
    let names: Vec<String> = script.expect.idle.iter().chain(&script.expect.busy).cloned().collect();
    let sends =
        |ledger: &Mutex<Ledger>| names.iter().map(|name| lock(ledger).sends(name)).collect::<Vec<_>>();
    let early = sends(&ledger);
    sleep_until(end);
    let late = sends(&ledger);
    crowd.stop();
    let (served, asked) = lock(&ledger).in_part();
    let share = served as f64 / asked.max(1) as f64;
    let mut missed = Vec::new();
    if share < script.expect.served {
        let outcomes = lock(&ledger).outcomes().clone();
        missed.push(format!("served {share:.4} and not {}: {outcomes:?}", script.expect.served));
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
    let verdict = lock(&ledger).verdict();
    if !missed.is_empty() {
        missed.extend(pooler.log().into_iter().rev().take(12).rev());
    }
    Ok(Outcome { name: script.name.clone(), verdict, missed, share })
}

/// The pooler's program: what `LINNETDEAL` names, or the one beside this program.
#[must_use]
pub fn program() -> PathBuf {
    std::env::var_os("LINNETDEAL").map(PathBuf::from).unwrap_or_else(|| {
        let own = std::env::current_exe().unwrap_or_default();
        own.parent().unwrap_or(Path::new(".")).join("linnetdeal")
    })
}
