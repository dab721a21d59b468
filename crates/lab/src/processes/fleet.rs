//! A fleet of processes of the program, named, numbered and configured as the platform does.

use super::history::{Event, History};
use super::process::{PATIENCE, Process};
use super::relay::Relay;
use crate::pooler::settings;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{Error, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// How a fleet is set up.
pub struct Spec {
    /// The program.
    pub program: PathBuf,
    /// How many poolers.
    pub count: usize,
    /// For their seeds and the relay's.
    pub seed: u64,
    /// The list of servers as last held, by pooler: addresses may differ.
    pub known: Box<dyn Fn(usize) -> Value + Send>,
    /// Where discovery answers a pooler; nowhere for none.
    pub discovery: Vec<SocketAddr>,
    /// The zones that poolers lie in, in turn; the settings' own for none.
    pub zones: Vec<String>,
    /// Between whom a relay stands.
    pub between: Box<dyn Fn(usize, usize) -> bool + Send>,
}

/// One pooler's place: its name and addresses stay over restarts.
struct Place {
    peer_listen: SocketAddr,
    operator: SocketAddr,
    process: Option<Process>,
    /// The clients' socket, which all processes of this place inherit, and the folder that they share.
    listener: TcpListener,
    folder: PathBuf,
    /// Where another process of the same name listens, and that process.
    twin_listen: SocketAddr,
    twin: Option<Process>,
    /// Starts so far: each has a seed of its own.
    starts: u64,
    /// Lines of the log that were looked at.
    read: usize,
    stopped: bool,
}

/// The fleet.
pub struct Fleet {
    spec: Spec,
    places: Vec<Place>,
    /// What lies between the poolers.
    pub relay: Relay,
    /// What has happened.
    pub history: History,
    /// The settings of all who start from now on; the fleet's size, numbers and talk are put in.
    pub settings: Value,
    /// Logs of processes that have ended, and of all at the end.
    logs: Vec<(usize, Vec<String>)>,
}

/// An address of the loopback net that no other fleet of this machine uses, so that ports need not be held.
pub(crate) fn own_address() -> Ipv4Addr {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let (process, number) = (std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
    let [_, a, b, c] = (process.wrapping_mul(0x9e37_79b1) ^ number.wrapping_mul(0x85eb_ca6b)).to_be_bytes();
    Ipv4Addr::new(127, a.clamp(1, 254), b, c.clamp(1, 254))
}

impl Fleet {
    /// Lays a fleet out; nobody is started yet.
    ///
    /// # Errors
    ///
    /// When addresses can't be had.
    pub fn lay(spec: Spec) -> std::io::Result<Self> {
        let address = own_address();
        let mut places = Vec::new();
        // All are held until all are had, so that no two are the same.
        let nobody_starts = crate::lock(&super::process::SPAWNING);
        let mut held = Vec::new();
        for _ in 0..spec.count {
            let [peers, twin] = [UdpSocket::bind((address, 0))?, UdpSocket::bind((address, 0))?];
            let operator = TcpListener::bind((address, 0))?;
            let operator_at = operator.local_addr()?;
            let folder = std::env::temp_dir().join(format!(
                "linnetdeal-place-{}-{}",
                address,
                peers.local_addr()?.port()
            ));
            std::fs::create_dir_all(&folder)?;
            places.push(Place {
                listener: TcpListener::bind("127.0.0.1:0")?,
                folder,
                peer_listen: peers.local_addr()?,
                operator: operator_at,
                process: None,
                twin_listen: twin.local_addr()?,
                twin: None,
                starts: 0,
                read: 0,
                stopped: false,
            });
            held.push((peers, twin, operator));
        }
        let listen: Vec<_> = places.iter().map(|place| [place.peer_listen, place.twin_listen]).collect();
        let relay = Relay::start(&listen, spec.seed, &spec.between)?;
        drop(held);
        drop(nobody_starts);
        Ok(Self { spec, places, relay, history: History::default(), settings: settings(), logs: Vec::new() })
    }

    /// How many poolers there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.places.len()
    }

    /// Who runs, stopped ones among them.
    #[must_use]
    pub fn running(&self) -> BTreeSet<usize> {
        (0..self.count()).filter(|at| self.places[*at].process.is_some()).collect()
    }

    /// Who runs and is stopped.
    #[must_use]
    pub fn stopped(&self) -> BTreeSet<usize> {
        (0..self.count()).filter(|at| self.places[*at].stopped).collect()
    }

    /// Starts a pooler from nothing, with this operator's file and these variables, and does not wait for it.
    ///
    /// # Errors
    ///
    /// When it can't be started.
    pub fn start(&mut self, at: usize, operator: &str, variables: &[(&str, String)]) -> std::io::Result<()> {
        let process = self.process(at, false, operator, variables)?;
        let place = &mut self.places[at];
        (place.read, place.stopped) = (0, false);
        place.process = Some(process);
        self.fault(&format!("start {at} {variables:?}"));
        Ok(())
    }

    /// Starts a second process of a pooler's name and number beside the first, as a mistake would.
    ///
    /// # Errors
    ///
    /// When it can't be started.
    pub fn twin(&mut self, at: usize, operator: &str) -> std::io::Result<()> {
        let mut process = self.process(at, true, operator, &[])?;
        process.listening()?;
        self.places[at].twin = Some(process);
        self.fault(&format!("a second process of the name of {at}"));
        Ok(())
    }

    fn process(
        &mut self,
        at: usize,
        twin: bool,
        operator: &str,
        variables: &[(&str, String)],
    ) -> std::io::Result<Process> {
        let count = self.count();
        let peers: Vec<String> = (0..count)
            .map(|to| {
                let own = if twin { self.places[to].twin_listen } else { self.places[to].peer_listen };
                self.relay.view(at, to).unwrap_or(own).to_string()
            })
            .collect();
        let place = &mut self.places[at];
        place.starts += 1;
        let mut settings = self.settings.clone();
        settings["FleetSize"] = count.into();
        settings["Rank"] = at.into();
        settings["Limits"]["Peers"] = true.into();
        settings["Costs"]["Peer"] = 0.016.into();
        let seed = self.spec.seed.wrapping_mul(1_000_003).wrapping_add(at as u64 * 1_009 + place.starts);
        let listen = if twin { place.twin_listen } else { place.peer_listen };
        // Nobody calls the second process.
        let operator_at = if twin { "127.0.0.1:0".to_owned() } else { place.operator.to_string() };
        let known = (self.spec.known)(at);
        if !self.spec.zones.is_empty() {
            settings["Zone"] = self.spec.zones[at % self.spec.zones.len()].clone().into();
        }
        let mut config = json!({"name": format!("n{at}"), "listen": "127.0.0.1:0", "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": known,
            "peer_listen": listen.to_string(), "peers": peers,
            "operator": operator_at, "settings": settings});
        if let Some(address) = self.spec.discovery.get(at) {
            config["discovery"] = address.to_string().into();
        }
        if twin {
            return Process::start(&self.spec.program, &config, Some(operator), variables);
        }
        let mut variables = variables.to_vec();
        variables.push(("TMPDIR", place.folder.display().to_string()));
        let listener = place.listener.try_clone()?;
        Process::start_on(&self.spec.program, &config, Some(operator), &variables, Some(listener.into()))
    }

    /// Starts a newer process of a pooler's place, waits until it serves, and tells the older one to end.
    ///
    /// # Errors
    ///
    /// When the newer one does not serve, or the older one does not end.
    pub fn replace(&mut self, at: usize, operator: &str) -> std::io::Result<()> {
        let nobody_starts = crate::lock(&super::process::SPAWNING);
        let held = TcpListener::bind((self.places[at].operator.ip(), 0))?;
        let own = held.local_addr()?;
        drop(held);
        drop(nobody_starts);
        // Its second address is new; all else stays.
        let before = std::mem::replace(&mut self.places[at].operator, own);
        let mut newer = self.process(at, false, operator, &[])?;
        newer.listening()?;
        let end = Instant::now() + PATIENCE;
        while self.call(at, "GET", "/-/ready").map_or(0, |(status, _)| status) != 200 {
            if Instant::now() > end {
                self.places[at].operator = before;
                return Err(Error::other("the newer process is never ready"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.fault(&format!("a newer process takes the place of {at}"));
        let place = &mut self.places[at];
        let Some(mut older) = place.process.replace(newer) else {
            return Err(Error::other(format!("pooler {at} does not run")));
        };
        (place.read, place.stopped) = (0, false);
        older.signal("TERM")?;
        let status = older.ended()?;
        self.logs.push((at, older.log()));
        if status.success() {
            Ok(())
        } else {
            Err(Error::other(format!("the older process ended with {status}")))
        }
    }

    /// Waits until a pooler listens.
    ///
    /// # Errors
    ///
    /// When it does not.
    pub fn ready(&mut self, at: usize) -> std::io::Result<SocketAddr> {
        self.running_one(at)?.listening()
    }

    /// Sends a pooler a signal.
    ///
    /// # Errors
    ///
    /// When it does not run.
    pub fn signal(&mut self, at: usize, name: &str) -> std::io::Result<()> {
        self.running_one(at)?.signal(name)?;
        match name {
            "STOP" => self.places[at].stopped = true,
            "CONT" => self.places[at].stopped = false,
            _ => {}
        }
        self.fault(&format!("signal {name} {at}"));
        Ok(())
    }

    /// Kills a pooler outright.
    pub fn kill(&mut self, at: usize) {
        self.fault(&format!("kill {at}"));
        if let Some(process) = &mut self.places[at].process {
            process.kill();
        }
        self.look();
        self.forget(at);
    }

    /// Tells a pooler to end, and waits for that.
    ///
    /// # Errors
    ///
    /// When it does not end, or not with success.
    pub fn end(&mut self, at: usize) -> std::io::Result<()> {
        self.signal(at, "TERM")?;
        let status = self.running_one(at)?.ended()?;
        self.look();
        self.forget(at);
        if status.success() { Ok(()) } else { Err(Error::other(format!("pooler {at} ended with {status}"))) }
    }

    /// A call to a pooler's second address; its status and body.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub fn call(&self, at: usize, method: &str, path: &str) -> std::io::Result<(u16, String)> {
        self.send(at, method, path, "")
    }

    /// The same with a body.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub fn send(&self, at: usize, method: &str, path: &str, body: &str) -> std::io::Result<(u16, String)> {
        let mut stream = TcpStream::connect(self.places[at].operator)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let size = body.len();
        let head = format!("{method} {path} HTTP/1.1\r\nhost: lab\r\ncontent-length: {size}\r\n\r\n{body}");
        stream.write_all(head.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        let status = answer.split(' ').nth(1).and_then(|code| code.parse().ok());
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        Ok((status.ok_or_else(|| Error::other("no status"))?, body.to_owned()))
    }

    /// Reads what the logs have new, and puts the tasks gained into the history. Fails where a process has ended by itself.
    pub fn look(&mut self) -> Vec<usize> {
        let mut gone = Vec::new();
        for (at, place) in self.places.iter_mut().enumerate() {
            let Some(process) = &mut place.process else { continue };
            if matches!(process.exited(), Ok(Some(_)) | Err(_)) {
                gone.push(at);
            }
            let lines = process.lines();
            for (when, line) in &lines[place.read.min(lines.len())..] {
                if let Some((task, token)) = gained(line) {
                    self.history.add_at(*when, Event::Gained { task, token, by: at });
                }
            }
            place.read = lines.len();
        }
        gone
    }

    /// The log of a pooler's present process.
    #[must_use]
    pub fn log(&self, at: usize) -> Vec<String> {
        self.places[at].process.as_ref().map(Process::log).unwrap_or_default()
    }

    /// The logs of all processes of the fleet so far.
    #[must_use]
    pub fn logs(&self) -> Vec<(usize, Vec<String>)> {
        let running = (0..self.count()).map(|at| (at, self.log(at)));
        self.logs.iter().cloned().chain(running).collect()
    }

    /// Writes down what was done.
    pub fn fault(&self, words: &str) {
        self.history.add(Event::Fault { words: words.to_owned() });
    }

    fn forget(&mut self, at: usize) {
        let place = &mut self.places[at];
        if let Some(process) = place.process.take() {
            self.logs.push((at, process.log()));
        }
        if let Some(twin) = place.twin.take() {
            self.logs.push((at, twin.log()));
        }
        (place.stopped, place.read) = (false, 0);
    }

    fn running_one(&mut self, at: usize) -> std::io::Result<&mut Process> {
        let process = self.places.get_mut(at).and_then(|place| place.process.as_mut());
        process.ok_or_else(|| Error::other(format!("pooler {at} does not run")))
    }
}

/// The task and the token in a line that tells of one gained.
fn gained(line: &str) -> Option<(String, u64)> {
    let (_, rest) = line.split_once("leases: ")?;
    let (task, rest) = rest.split_once(" gained, token ")?;
    Some((task.to_owned(), rest.trim().parse().ok()?))
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
