//! Discovery as each pooler's agent has it: the list in versions, watches that tell changes, and watches that fall silent, are
//! reset or refused. What binds a pooler from when is told to the judge.

use super::faults::FaultKind;
use super::servers::Server;
use super::world::World;
use crate::clients::now_ms;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An empty line comes this often.
const LINE: Duration = Duration::from_secs(2);
/// What a silent watch misses binds so long after it fell silent.
const SILENT_BINDS: Duration = Duration::from_secs(6);
/// What a pooler may miss while its configuration moves discovery binds so long after that.
const MOVE_BINDS: Duration = Duration::from_secs(4);

/// What the list says of a server.
#[derive(Clone, Debug)]
struct Entry {
    lifecycle: &'static str,
    started_ms: i64,
    changed: u64,
}

/// The list, in versions.
pub struct Discovery {
    servers: Vec<Rc<Server>>,
    entries: RefCell<Vec<Entry>>,
    version: Cell<u64>,
    changed: Event,
    /// By pooler.
    agents: RefCell<Vec<Rc<Agent>>>,
}

/// The agent beside one pooler, at two addresses, one of which is in use.
pub struct Agent {
    pooler: usize,
    addresses: [SocketAddr; 2],
    used: Cell<usize>,
    /// Where the pooler finds each server.
    views: Vec<SocketAddr>,
    /// Since when what changes is not delivered, and from when it binds at the latest.
    silent: Cell<Option<(Instant, Duration)>>,
    down: Cell<bool>,
    refuses: Cell<Option<Instant>>,
    up: Event,
    resets: Event,
}

impl Discovery {
    /// A list of these servers, all up.
    #[must_use]
    pub fn new(servers: Vec<Rc<Server>>) -> Rc<Self> {
        let entry = |_| Entry { lifecycle: "up", started_ms: 0, changed: 1 };
        let entries = RefCell::new(servers.iter().map(entry).collect());
        let (version, agents) = (Cell::new(1), RefCell::default());
        Rc::new(Self { servers, entries, version, changed: Event::new(), agents })
    }

    /// Starts the agent of a pooler that finds servers at these addresses.
    ///
    /// # Errors
    ///
    /// When it can't listen.
    pub fn agent(self: &Rc<Self>, world: &Rc<World>, views: Vec<SocketAddr>) -> std::io::Result<Rc<Agent>> {
        let mut listeners = Vec::new();
        for _ in 0..2 {
            listeners.push(Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?);
        }
        let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); 2];
        for (address, listener) in addresses.iter_mut().zip(&listeners) {
            *address = listener.get_ref().local_addr()?;
        }
        let agent = Rc::new(Agent {
            pooler: self.agents.borrow().len(),
            addresses,
            used: Cell::new(0),
            views,
            silent: Cell::new(None),
            down: Cell::new(false),
            refuses: Cell::new(None),
            up: Event::new(),
            resets: Event::new(),
        });
        self.agents.borrow_mut().push(agent.clone());
        for (at, listener) in listeners.into_iter().enumerate() {
            let (of, list, all) = (agent.clone(), self.clone(), world.clone());
            let accept = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (agent, list, world) = (of.clone(), list.clone(), all.clone());
                    let task = async move {
                        let reset = agent.resets.listen();
                        let watch = async {
                            let _ = agent.watch(&world, &list, &stream, at).await;
                        };
                        or(watch, reset).await;
                    };
                    all.executor.spawn(task).detach();
                }
            };
            world.executor.spawn(accept).detach();
        }
        Ok(agent)
    }

    /// The list says this of a server from now on.
    pub fn say(&self, world: &World, server: usize, lifecycle: &'static str, started: bool) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let mut entries = self.entries.borrow_mut();
        let entry = &mut entries[server];
        (entry.lifecycle, entry.changed) = (lifecycle, version);
        if started {
            entry.started_ms = now_ms();
        }
        let (now, in_service) = (Instant::now(), lifecycle == "up");
        let mut audit = world.audit.borrow_mut();
        for agent in self.agents.borrow().iter() {
            let late = agent.silent.get().map_or(now, |(since, binds)| now.max(since + binds));
            // While it is down the agent learns nothing; what it gets at the return binds then.
            let binds = if agent.down.get() { now + Duration::from_secs(3_600) } else { late };
            audit.note(agent.pooler, &format!("{lifecycle} {} version {version}", self.servers[server].id));
            audit.word(
                agent.pooler,
                &self.servers[server].id,
                in_service,
                if in_service { now } else { binds },
            );
        }
        drop(entries);
        self.changed.notify(usize::MAX);
    }

    /// Whether a server is up by the list.
    #[must_use]
    pub fn is_up(&self, server: usize) -> bool {
        self.entries.borrow()[server].lifecycle == "up"
    }

    /// What a pooler was last told, as a start has it.
    #[must_use]
    pub fn known(&self, agent: &Agent) -> Value {
        self.list(agent, 0, true)
    }

    fn list(&self, agent: &Agent, since: u64, whole: bool) -> Value {
        let entries = self.entries.borrow();
        let shown = entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| if whole { entry.lifecycle != "removed" } else { entry.changed > since });
        let instances: Vec<Value> = shown
            .map(|(at, entry)| {
                let server = &self.servers[at];
                let part = if server.primary { "master" } else { "replica" };
                json!({"instanceId": server.id, "hostPort": agent.views[at].to_string(), "zone": "adum",
                    "machineType": "m", "cell": server.group, "lifecycle": entry.lifecycle, "weight": 1.0,
                    "startedAtMs": entry.started_ms, "part": part})
            })
            .collect();
        json!({"generation": self.version.get(), "reset": whole, "instances": instances})
    }
}

impl Agent {
    /// Where it answers now.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses[self.used.get()]
    }

    /// Its open watches say nothing more, and stay open.
    pub fn fall_silent(&self) {
        if self.silent.get().is_none() {
            self.silent.set(Some((Instant::now(), SILENT_BINDS)));
        }
    }

    fn note(&self, world: &World, what: &str) {
        world.audit.borrow_mut().note(self.pooler, what);
    }

    /// It answers at its other address from now on, and the old one says nothing more.
    pub fn move_away(&self) {
        self.used.set(1 - self.used.get());
        self.silent.set(Some((Instant::now(), MOVE_BINDS)));
    }

    /// Its watches are reset, and new ones refused for so long: what it has meanwhile can't be had.
    pub fn refuse(&self, length: Duration) {
        self.refuses.set(Some(Instant::now() + length));
        self.fall_silent();
        self.reset();
    }

    /// All its open watches are reset.
    pub fn reset(&self) {
        self.resets.notify(usize::MAX);
    }

    /// It is down, or up again: then all that changed meanwhile binds at once.
    pub fn set_down(&self, world: &World, down: bool) {
        self.note(world, if down { "discovery down" } else { "discovery up" });
        self.down.set(down);
        if !down {
            // A watch that had fallen silent before stays so.
            let now = Instant::now();
            let binds = self.silent.get().map_or(now, |(since, binds)| now.max(since + binds));
            world.audit.borrow_mut().delivered(self.pooler, binds);
            self.up.notify(usize::MAX);
        }
    }

    async fn watch(
        &self,
        world: &World,
        list: &Discovery,
        mut stream: &Async<TcpStream>,
        at: usize,
    ) -> std::io::Result<()> {
        let mut read = Vec::new();
        let mut bytes = [0; 1_024];
        while !read.windows(4).any(|four| four == b"\r\n\r\n") {
            match stream.read(&mut bytes).await? {
                0 => return Ok(()),
                count => read.extend_from_slice(&bytes[..count]),
            }
        }
        while self.down.get() {
            world.faults.borrow_mut().injected(FaultKind::DiscoveryDown);
            self.up.listen().await;
        }
        if self.refuses.get().is_some_and(|until| Instant::now() < until) {
            world.faults.borrow_mut().injected(FaultKind::WatchRefused);
            return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n").await;
        }
        let opened = Instant::now();
        self.note(world, &format!("watch opened at address {at}"));
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).await?;
        // The whole list: what a pooler was started with may be of any version.
        let mut told = 0;
        loop {
            while self.down.get() {
                // It learns nothing and says nothing; at its return it tells on the watches that are open.
                let up = self.up.listen();
                let closed = async { while matches!(stream.read(&mut bytes).await, Ok(1..)) {} };
                or(up, closed).await;
                if self.down.get() {
                    return Ok(());
                }
            }
            let silent = self.silent.get().is_some_and(|(since, _)| since > opened);
            if silent || at != self.used.get() {
                // It stays open and says nothing, until it is closed.
                self.note(world, &format!("watch silent at address {at}"));
                while stream.read(&mut bytes).await? > 0 {}
                self.note(world, "silent watch closed");
                return Ok(());
            }
            let changed = list.changed.listen();
            let version = list.version.get();
            let line = if version > told {
                let whole = told == 0;
                let text = list.list(self, told, whole);
                told = version;
                if world.chance(300) { format!("{text:#}\n") } else { format!("{text}\n") }
            } else {
                "\n".to_owned()
            };
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            if self.silent.get().is_some() {
                // A watch that was opened since: the pooler is in step again.
                self.silent.set(None);
                self.note(world, "in step again");
                world.audit.borrow_mut().delivered(self.pooler, Instant::now());
            }
            or(changed, async {
                Timer::after(LINE).await;
            })
            .await;
        }
    }
}
