//! Discovery as a pooler's agent provides it: a versioned list, watches that stream changes, and watches that
//! fall silent, are reset or refused. The checker learns from when each change binds a pooler.

use super::context::Context;
use super::faults::FaultKind;
use super::servers::Server;
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

/// Interval of the empty lines on an idle watch.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Changes that a silent watch misses become binding this long after it fell silent.
const SILENT_WATCH_GRACE: Duration = Duration::from_secs(6);
/// Changes that a pooler may miss while it moves to another discovery address become binding this long after the
/// move.
const ADDRESS_CHANGE_GRACE: Duration = Duration::from_secs(4);

/// The listed state of a server.
#[derive(Clone, Debug)]
struct Entry {
    lifecycle: &'static str,
    started_ms: i64,
    changed_in: u64,
}

/// The versioned list of servers.
pub struct Discovery {
    servers: Vec<Rc<Server>>,
    entries: RefCell<Vec<Entry>>,
    version: Cell<u64>,
    change_event: Event,
    /// The agents, by pooler.
    agents: RefCell<Vec<Rc<Agent>>>,
}

/// The agent beside one pooler. It has two addresses, one of which is active.
pub struct Agent {
    pooler: usize,
    addresses: [SocketAddr; 2],
    active: Cell<usize>,
    /// The addresses at which the pooler reaches the servers.
    server_addresses: Vec<SocketAddr>,
    /// Since when changes are not delivered, and how long after that they become binding at the latest.
    undelivered: Cell<Option<(Instant, Duration)>>,
    down: Cell<bool>,
    refusing_until: Cell<Option<Instant>>,
    recovery_event: Event,
    reset_event: Event,
}

impl Discovery {
    /// A list of these servers, all up.
    #[must_use]
    pub fn new(servers: Vec<Rc<Server>>) -> Rc<Self> {
        let entry = |_| Entry { lifecycle: "up", started_ms: 0, changed_in: 1 };
        let entries = RefCell::new(servers.iter().map(entry).collect());
        let (version, agents) = (Cell::new(1), RefCell::default());
        Rc::new(Self { servers, entries, version, change_event: Event::new(), agents })
    }

    /// Starts the agent of a pooler that reaches the servers at these addresses.
    ///
    /// # Errors
    ///
    /// When a socket can't be bound.
    pub fn agent(
        self: &Rc<Self>,
        context: &Rc<Context>,
        server_addresses: Vec<SocketAddr>,
    ) -> std::io::Result<Rc<Agent>> {
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
            active: Cell::new(0),
            server_addresses,
            undelivered: Cell::new(None),
            down: Cell::new(false),
            refusing_until: Cell::new(None),
            recovery_event: Event::new(),
            reset_event: Event::new(),
        });
        self.agents.borrow_mut().push(agent.clone());
        for (address_index, listener) in listeners.into_iter().enumerate() {
            let (listener_agent, discovery, task_context) = (agent.clone(), self.clone(), context.clone());
            let accept_loop = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (agent, discovery, context) =
                        (listener_agent.clone(), discovery.clone(), task_context.clone());
                    let task = async move {
                        let reset = agent.reset_event.listen();
                        let watch = async {
                            let _ = agent.serve_watch(&context, &discovery, &stream, address_index).await;
                        };
                        or(watch, reset).await;
                    };
                    task_context.executor.spawn(task).detach();
                }
            };
            context.executor.spawn(accept_loop).detach();
        }
        Ok(agent)
    }

    /// Sets the listed state of a server. `restarted`: its process has been started anew.
    pub fn set_lifecycle(&self, context: &Context, server: usize, lifecycle: &'static str, restarted: bool) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let mut entries = self.entries.borrow_mut();
        let entry = &mut entries[server];
        (entry.lifecycle, entry.changed_in) = (lifecycle, version);
        if restarted {
            entry.started_ms = now_ms();
        }
        let (now, in_service) = (Instant::now(), lifecycle == "up");
        let mut audit = context.audit.borrow_mut();
        for agent in self.agents.borrow().iter() {
            let latest = agent.undelivered.get().map_or(now, |(since, grace)| now.max(since + grace));
            // While the agent is down it learns nothing; what it delivers after its recovery becomes binding
            // then.
            let effective_at = if agent.down.get() { now + Duration::from_secs(3_600) } else { latest };
            audit.note(agent.pooler, &format!("{lifecycle} {} version {version}", self.servers[server].id));
            audit.announce(
                agent.pooler,
                &self.servers[server].id,
                in_service,
                if in_service { now } else { effective_at },
            );
        }
        drop(entries);
        self.change_event.notify(usize::MAX);
    }

    /// Whether a server is listed as up.
    #[must_use]
    pub fn is_up(&self, server: usize) -> bool {
        self.entries.borrow()[server].lifecycle == "up"
    }

    /// The last known list of a pooler, as a start configures it.
    #[must_use]
    pub fn known_servers(&self, agent: &Agent) -> Value {
        self.list_json(agent, 0, true)
    }

    fn list_json(&self, agent: &Agent, since_version: u64, full: bool) -> Value {
        let entries = self.entries.borrow();
        let selected = entries.iter().enumerate().filter(|(_, entry)| {
            if full { entry.lifecycle != "removed" } else { entry.changed_in > since_version }
        });
        let instances: Vec<Value> = selected
            .map(|(index, entry)| {
                let server = &self.servers[index];
                let part = if server.primary { "master" } else { "replica" };
                json!({"instanceId": server.id, "hostPort": agent.server_addresses[index].to_string(), "zone": "adum",
                    "machineType": "m", "cell": server.group, "lifecycle": entry.lifecycle, "weight": 1.0,
                    "startedAtMs": entry.started_ms, "part": part})
            })
            .collect();
        json!({"generation": self.version.get(), "reset": full, "instances": instances})
    }
}

impl Agent {
    /// The active address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses[self.active.get()]
    }

    /// Open watches stay open and deliver nothing more.
    pub fn silence_watches(&self) {
        if self.undelivered.get().is_none() {
            self.undelivered.set(Some((Instant::now(), SILENT_WATCH_GRACE)));
        }
    }

    fn note(&self, context: &Context, what: &str) {
        context.audit.borrow_mut().note(self.pooler, what);
    }

    /// Makes the other address the active one; the old one delivers nothing more.
    pub fn switch_address(&self) {
        self.active.set(1 - self.active.get());
        self.undelivered.set(Some((Instant::now(), ADDRESS_CHANGE_GRACE)));
    }

    /// Resets all watches and refuses new ones for this long: changes can't be received in the meantime.
    pub fn refuse_watches(&self, duration: Duration) {
        self.refusing_until.set(Some(Instant::now() + duration));
        self.silence_watches();
        self.reset_watches();
    }

    /// Resets all open watches.
    pub fn reset_watches(&self) {
        self.reset_event.notify(usize::MAX);
    }

    /// Sets whether the agent is down. At its recovery, all changes made in the meantime become binding.
    pub fn set_down(&self, context: &Context, down: bool) {
        self.note(context, if down { "discovery down" } else { "discovery up" });
        self.down.set(down);
        if !down {
            // A watch that had fallen silent before stays silent.
            let now = Instant::now();
            let effective_at = self.undelivered.get().map_or(now, |(since, grace)| now.max(since + grace));
            context.audit.borrow_mut().list_delivered(self.pooler, effective_at);
            self.recovery_event.notify(usize::MAX);
        }
    }

    async fn serve_watch(
        &self,
        context: &Context,
        discovery: &Discovery,
        mut stream: &Async<TcpStream>,
        address_index: usize,
    ) -> std::io::Result<()> {
        let mut received = Vec::new();
        let mut bytes = [0; 1_024];
        while !received.windows(4).any(|four| four == b"\r\n\r\n") {
            match stream.read(&mut bytes).await? {
                0 => return Ok(()),
                count => received.extend_from_slice(&bytes[..count]),
            }
        }
        while self.down.get() {
            context.faults.borrow_mut().count_injection(FaultKind::DiscoveryDown);
            self.recovery_event.listen().await;
        }
        if self.refusing_until.get().is_some_and(|until| Instant::now() < until) {
            context.faults.borrow_mut().count_injection(FaultKind::WatchRefused);
            return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n").await;
        }
        let opened = Instant::now();
        self.note(context, &format!("watch opened at address {address_index}"));
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).await?;
        // A watch begins with the full list, since the list that the pooler was started with may be of any
        // version.
        let mut sent_version = 0;
        loop {
            while self.down.get() {
                // The agent learns and delivers nothing; after its recovery it goes on with the watches that are
                // still open.
                let recovered = self.recovery_event.listen();
                let closed = async { while matches!(stream.read(&mut bytes).await, Ok(1..)) {} };
                or(recovered, closed).await;
                if self.down.get() {
                    return Ok(());
                }
            }
            let silent = self.undelivered.get().is_some_and(|(since, _)| since > opened);
            if silent || address_index != self.active.get() {
                // The watch stays open and delivers nothing until the pooler closes it.
                self.note(context, &format!("watch silent at address {address_index}"));
                while stream.read(&mut bytes).await? > 0 {}
                self.note(context, "silent watch closed");
                return Ok(());
            }
            let changed = discovery.change_event.listen();
            let version = discovery.version.get();
            let line = if version > sent_version {
                let full = sent_version == 0;
                let text = discovery.list_json(self, sent_version, full);
                sent_version = version;
                if context.chance(300) { format!("{text:#}\n") } else { format!("{text}\n") }
            } else {
                "\n".to_owned()
            };
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            if self.undelivered.get().is_some() {
                // This watch was opened after the fault: the pooler is up to date again.
                self.undelivered.set(None);
                self.note(context, "in step again");
                context.audit.borrow_mut().list_delivered(self.pooler, Instant::now());
            }
            or(changed, async {
                Timer::after(EMPTY_LINE_INTERVAL).await;
            })
            .await;
        }
    }
}
