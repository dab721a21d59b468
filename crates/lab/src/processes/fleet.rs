//! A fleet of processes of the program, named, numbered and configured as the platform does.

use super::history::{Event, History};
use super::process::{Process, WAIT_TIMEOUT};
use super::relay::Relay;
use crate::pooler::settings;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{Error, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The set-up of a fleet.
pub struct Spec {
    /// The program.
    pub program: PathBuf,
    /// Number of poolers.
    pub count: usize,
    /// Seed for the poolers' seeds and the relay's.
    pub seed: u64,
    /// The last known list of servers, by pooler: the addresses may differ between poolers.
    pub known_servers: Box<dyn Fn(usize) -> Value + Send>,
    /// The address of discovery for each pooler; none for poolers beyond the end.
    pub discovery: Vec<SocketAddr>,
    /// The zones, assigned to the poolers in turn; if empty, the zone of the settings.
    pub zones: Vec<String>,
    /// Whether the datagrams between two poolers pass through the relay.
    pub relayed: Box<dyn Fn(usize, usize) -> bool + Send>,
}

/// What stays the same over the restarts of one pooler: its name, its addresses and its shared folder.
struct PoolerSlot {
    peer_listen: SocketAddr,
    operator: SocketAddr,
    process: Option<Process>,
    /// The clients' listening socket, which all processes of this pooler inherit, and the folder that they share.
    listener: TcpListener,
    folder: PathBuf,
    /// A duplicate process with the same name, and the address where it receives datagrams.
    duplicate_listen: SocketAddr,
    duplicate: Option<Process>,
    /// Number of starts so far; each start has its own seed.
    starts: u64,
    /// Number of log lines that have been processed.
    lines_read: usize,
    stopped: bool,
}

/// A running fleet.
pub struct Fleet {
    spec: Spec,
    slots: Vec<PoolerSlot>,
    /// The relay between the poolers.
    pub relay: Relay,
    /// The history of faults and gained tasks.
    pub history: History,
    /// The settings of all processes started from now on; fleet size, ranks and gossip settings are filled in.
    pub settings: Value,
    /// Logs of processes that have ended.
    logs: Vec<(usize, Vec<String>)>,
}

/// A loopback address that no other fleet on this machine uses, so that its ports need not be kept bound.
pub(crate) fn unique_loopback() -> Ipv4Addr {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let (process, number) = (std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
    let [_, a, b, c] = (process.wrapping_mul(0x9e37_79b1) ^ number.wrapping_mul(0x85eb_ca6b)).to_be_bytes();
    Ipv4Addr::new(127, a.clamp(1, 254), b, c.clamp(1, 254))
}

impl Fleet {
    /// Prepares a fleet without starting any process.
    ///
    /// # Errors
    ///
    /// When a socket can't be bound or a folder can't be created.
    pub fn new(spec: Spec) -> std::io::Result<Self> {
        let address = unique_loopback();
        let mut slots = Vec::new();
        // All sockets stay bound until all addresses are known, so that no two are the same.
        let spawn_guard = crate::lock(&super::process::SPAWN_LOCK);
        let mut held = Vec::new();
        for _ in 0..spec.count {
            let [peer_socket, duplicate_socket] =
                [UdpSocket::bind((address, 0))?, UdpSocket::bind((address, 0))?];
            let operator = TcpListener::bind((address, 0))?;
            let operator_address = operator.local_addr()?;
            let folder = std::env::temp_dir().join(format!(
                "linnetdeal-place-{}-{}",
                address,
                peer_socket.local_addr()?.port()
            ));
            std::fs::create_dir_all(&folder)?;
            slots.push(PoolerSlot {
                listener: TcpListener::bind("127.0.0.1:0")?,
                folder,
                peer_listen: peer_socket.local_addr()?,
                operator: operator_address,
                process: None,
                duplicate_listen: duplicate_socket.local_addr()?,
                duplicate: None,
                starts: 0,
                lines_read: 0,
                stopped: false,
            });
            held.push((peer_socket, duplicate_socket, operator));
        }
        let listen: Vec<_> = slots.iter().map(|slot| [slot.peer_listen, slot.duplicate_listen]).collect();
        let relay = Relay::start(&listen, spec.seed, &spec.relayed)?;
        drop(held);
        drop(spawn_guard);
        Ok(Self { spec, slots, relay, history: History::default(), settings: settings(), logs: Vec::new() })
    }

    /// Number of poolers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.slots.len()
    }

    /// The poolers with a running process, including stopped (SIGSTOP) ones.
    #[must_use]
    pub fn running(&self) -> BTreeSet<usize> {
        (0..self.count()).filter(|pooler| self.slots[*pooler].process.is_some()).collect()
    }

    /// The poolers whose process is stopped (SIGSTOP).
    #[must_use]
    pub fn stopped(&self) -> BTreeSet<usize> {
        (0..self.count()).filter(|pooler| self.slots[*pooler].stopped).collect()
    }

    /// Starts a pooler's process with this operator's file and these environment variables, without waiting until
    /// it listens.
    ///
    /// # Errors
    ///
    /// When the process can't be started.
    pub fn start(
        &mut self,
        pooler: usize,
        operator: &str,
        variables: &[(&str, String)],
    ) -> std::io::Result<()> {
        let process = self.spawn(pooler, false, operator, variables)?;
        let slot = &mut self.slots[pooler];
        (slot.lines_read, slot.stopped) = (0, false);
        slot.process = Some(process);
        self.record_fault(&format!("start {pooler} {variables:?}"));
        Ok(())
    }

    /// Starts a duplicate process with a pooler's name and number, as a configuration mistake would.
    ///
    /// # Errors
    ///
    /// When the process can't be started or does not listen.
    pub fn start_duplicate(&mut self, pooler: usize, operator: &str) -> std::io::Result<()> {
        let mut process = self.spawn(pooler, true, operator, &[])?;
        process.wait_until_listening()?;
        self.slots[pooler].duplicate = Some(process);
        self.record_fault(&format!("a second process of the name of {pooler}"));
        Ok(())
    }

    fn spawn(
        &mut self,
        pooler: usize,
        duplicate: bool,
        operator: &str,
        variables: &[(&str, String)],
    ) -> std::io::Result<Process> {
        let count = self.count();
        let peers: Vec<String> = (0..count)
            .map(|to| {
                let direct =
                    if duplicate { self.slots[to].duplicate_listen } else { self.slots[to].peer_listen };
                self.relay.address_for(pooler, to).unwrap_or(direct).to_string()
            })
            .collect();
        let slot = &mut self.slots[pooler];
        slot.starts += 1;
        let mut settings = self.settings.clone();
        settings["FleetSize"] = count.into();
        settings["Rank"] = pooler.into();
        settings["Limits"]["Peers"] = true.into();
        settings["Costs"]["Peer"] = 0.016.into();
        let seed = self.spec.seed.wrapping_mul(1_000_003).wrapping_add(pooler as u64 * 1_009 + slot.starts);
        let listen = if duplicate { slot.duplicate_listen } else { slot.peer_listen };
        // No calls are made to the duplicate's operator API.
        let operator_address = if duplicate { "127.0.0.1:0".to_owned() } else { slot.operator.to_string() };
        let known = (self.spec.known_servers)(pooler);
        if !self.spec.zones.is_empty() {
            settings["Zone"] = self.spec.zones[pooler % self.spec.zones.len()].clone().into();
        }
        let mut config = json!({"name": format!("n{pooler}"), "listen": "127.0.0.1:0", "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": known,
            "peer_listen": listen.to_string(), "peers": peers,
            "operator": operator_address, "settings": settings});
        if let Some(address) = self.spec.discovery.get(pooler) {
            config["discovery"] = address.to_string().into();
        }
        if duplicate {
            return Process::start(&self.spec.program, &config, Some(operator), variables);
        }
        let mut variables = variables.to_vec();
        variables.push(("TMPDIR", slot.folder.display().to_string()));
        let listener = slot.listener.try_clone()?;
        Process::start_on(&self.spec.program, &config, Some(operator), &variables, Some(listener.into()))
    }

    /// Starts a newer process for a pooler, waits until it is ready, and terminates the older one (a hot
    /// restart).
    ///
    /// # Errors
    ///
    /// When the newer process does not become ready, or the older one does not exit with success.
    pub fn replace(&mut self, pooler: usize, operator: &str) -> std::io::Result<()> {
        let spawn_guard = crate::lock(&super::process::SPAWN_LOCK);
        let held = TcpListener::bind((self.slots[pooler].operator.ip(), 0))?;
        let operator_address = held.local_addr()?;
        drop(held);
        drop(spawn_guard);
        // The newer process has another address for the operator API; all else stays.
        let old_operator = std::mem::replace(&mut self.slots[pooler].operator, operator_address);
        let mut newer = self.spawn(pooler, false, operator, &[])?;
        newer.wait_until_listening()?;
        let end = Instant::now() + WAIT_TIMEOUT;
        while self.call(pooler, "GET", "/-/ready").map_or(0, |(status, _)| status) != 200 {
            if Instant::now() > end {
                self.slots[pooler].operator = old_operator;
                return Err(Error::other("the newer process did not become ready in time"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.record_fault(&format!("a newer process takes the place of {pooler}"));
        let slot = &mut self.slots[pooler];
        let Some(mut older) = slot.process.replace(newer) else {
            return Err(Error::other(format!("pooler {pooler} is not running")));
        };
        (slot.lines_read, slot.stopped) = (0, false);
        older.signal("TERM")?;
        let status = older.wait_for_exit()?;
        self.logs.push((pooler, older.log()));
        if status.success() {
            Ok(())
        } else {
            Err(Error::other(format!("the older process exited with {status}")))
        }
    }

    /// Waits until a pooler listens, and returns the address.
    ///
    /// # Errors
    ///
    /// When it does not run or does not listen in time.
    pub fn wait_until_listening(&mut self, pooler: usize) -> std::io::Result<SocketAddr> {
        self.running_process(pooler)?.wait_until_listening()
    }

    /// Sends a signal to a pooler's process.
    ///
    /// # Errors
    ///
    /// When it does not run, or the signal can't be sent.
    pub fn signal(&mut self, pooler: usize, name: &str) -> std::io::Result<()> {
        self.running_process(pooler)?.signal(name)?;
        match name {
            "STOP" => self.slots[pooler].stopped = true,
            "CONT" => self.slots[pooler].stopped = false,
            _ => {}
        }
        self.record_fault(&format!("signal {name} {pooler}"));
        Ok(())
    }

    /// Kills a pooler's process with SIGKILL.
    pub fn kill(&mut self, pooler: usize) {
        self.record_fault(&format!("kill {pooler}"));
        if let Some(process) = &mut self.slots[pooler].process {
            process.kill();
        }
        self.poll_logs();
        self.remove_process(pooler);
    }

    /// Sends SIGTERM to a pooler's process and waits until it exits.
    ///
    /// # Errors
    ///
    /// When it does not exit in time, or not with success.
    pub fn terminate(&mut self, pooler: usize) -> std::io::Result<()> {
        self.signal(pooler, "TERM")?;
        let status = self.running_process(pooler)?.wait_for_exit()?;
        self.poll_logs();
        self.remove_process(pooler);
        if status.success() {
            Ok(())
        } else {
            Err(Error::other(format!("pooler {pooler} exited with {status}")))
        }
    }

    /// Calls a pooler's operator API; returns the status code and the body.
    ///
    /// # Errors
    ///
    /// When the pooler does not answer.
    pub fn call(&self, pooler: usize, method: &str, path: &str) -> std::io::Result<(u16, String)> {
        self.call_with_body(pooler, method, path, "")
    }

    /// Like [`Self::call`], with a request body.
    ///
    /// # Errors
    ///
    /// When the pooler does not answer.
    pub fn call_with_body(
        &self,
        pooler: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> std::io::Result<(u16, String)> {
        let mut stream = TcpStream::connect(self.slots[pooler].operator)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let size = body.len();
        let head = format!("{method} {path} HTTP/1.1\r\nhost: lab\r\ncontent-length: {size}\r\n\r\n{body}");
        stream.write_all(head.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        let status = answer.split(' ').nth(1).and_then(|code| code.parse().ok());
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        Ok((status.ok_or_else(|| Error::other("no status code in the answer"))?, body.to_owned()))
    }

    /// Reads the new lines of all logs and adds the gained tasks to the history. Returns the poolers whose
    /// process has ended by itself.
    pub fn poll_logs(&mut self) -> Vec<usize> {
        let mut exited_poolers = Vec::new();
        for (pooler, slot) in self.slots.iter_mut().enumerate() {
            let Some(process) = &mut slot.process else { continue };
            if matches!(process.exit_status(), Ok(Some(_)) | Err(_)) {
                exited_poolers.push(pooler);
            }
            let lines = process.timed_log();
            for (when, line) in &lines[slot.lines_read.min(lines.len())..] {
                if let Some((task, token)) = parse_gained(line) {
                    self.history.add_at(*when, Event::Gained { task, token, by: pooler });
                }
            }
            slot.lines_read = lines.len();
        }
        exited_poolers
    }

    /// The log of a pooler's current process.
    #[must_use]
    pub fn log(&self, pooler: usize) -> Vec<String> {
        self.slots[pooler].process.as_ref().map(Process::log).unwrap_or_default()
    }

    /// The logs of all processes of the fleet so far.
    #[must_use]
    pub fn logs(&self) -> Vec<(usize, Vec<String>)> {
        let running = (0..self.count()).map(|pooler| (pooler, self.log(pooler)));
        self.logs.iter().cloned().chain(running).collect()
    }

    /// Records an injected fault in the history.
    pub fn record_fault(&self, words: &str) {
        self.history.add(Event::Fault { words: words.to_owned() });
    }

    fn remove_process(&mut self, pooler: usize) {
        let slot = &mut self.slots[pooler];
        if let Some(process) = slot.process.take() {
            self.logs.push((pooler, process.log()));
        }
        if let Some(duplicate) = slot.duplicate.take() {
            self.logs.push((pooler, duplicate.log()));
        }
        (slot.stopped, slot.lines_read) = (false, 0);
    }

    fn running_process(&mut self, pooler: usize) -> std::io::Result<&mut Process> {
        let process = self.slots.get_mut(pooler).and_then(|slot| slot.process.as_mut());
        process.ok_or_else(|| Error::other(format!("pooler {pooler} is not running")))
    }
}

/// The task and the token of a log line that reports a gained task.
fn parse_gained(line: &str) -> Option<(String, u64)> {
    let (_, rest) = line.split_once("leases: ")?;
    let (task, rest) = rest.split_once(" gained, token ")?;
    Some((task.to_owned(), rest.trim().parse().ok()?))
}

impl Drop for PoolerSlot {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
