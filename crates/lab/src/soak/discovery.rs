//! Discovery as each pooler's agent has it: the list in versions, watches that tell changes, and watches that fall silent, are
//! reset or refused. What binds a pooler from when is told to the judge.

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

/// An empty line comes this often.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// What a silent watch misses binds so long after it fell silent.
const SILENT_WATCH_GRACE: Duration = Duration::from_secs(6);
/// What a pooler may miss while its configuration moves discovery binds so long after that.
const ADDRESS_CHANGE_GRACE: Duration = Duration::from_secs(4);

/// What the list says of a server.
#[derive(Clone, Debug)]
struct Entry {
    lifecycle: &'static str,
    started_ms: i64,
    changed_in: u64,
}

/// The list, in versions.
pub struct Discovery {
    servers: Vec<Rc<Server>>,
    entries: RefCell<Vec<Entry>>,
    version: Cell<u64>,
    change_event: Event,
    /// By pooler.
    agents: RefCell<Vec<Rc<Agent>>>,
}

/// The agent beside one pooler, at two addresses, one of which is in use.
pub struct Agent {
    pooler: usize,
    addresses: [SocketAddr; 2],
    active: Cell<usize>,
    /// Where the pooler finds each server.
    server_addresses: Vec<SocketAddr>,
    /// Since when what changes is not delivered, and from when it binds at the latest.
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

    /// Starts the agent of a pooler that finds servers at these addresses.
    ///
    /// # Errors
    ///
    /// When it can't listen.
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
            let (listener_agent, list, task_context) = (agent.clone(), self.clone(), context.clone());
            let accept_loop = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (agent, list, context) = (listener_agent.clone(), list.clone(), task_context.clone());
                    let task = async move {
                        let reset = agent.reset_event.listen();
                        let watch = async {
                            let _ = agent.serve_watch(&context, &list, &stream, address_index).await;
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

    /// The list says this of a server from now on.
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
            // While it is down the agent learns nothing; what it gets at the return binds then.
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

    /// Whether a server is up by the list.
    #[must_use]
    pub fn is_up(&self, server: usize) -> bool {
        self.entries.borrow()[server].lifecycle == "up"
    }

    /// What a pooler was last told, as a start has it.
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
    /// Where it answers now.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses[self.active.get()]
    }

    /// Its open watches say nothing more, and stay open.
    pub fn silence_watches(&self) {
        if self.undelivered.get().is_none() {
            self.undelivered.set(Some((Instant::now(), SILENT_WATCH_GRACE)));
        }
    }

    fn note(&self, context: &Context, what: &str) {
        context.audit.borrow_mut().note(self.pooler, what);
    }

    /// It answers at its other address from now on, and the old one says nothing more.
    pub fn switch_address(&self) {
        self.active.set(1 - self.active.get());
        self.undelivered.set(Some((Instant::now(), ADDRESS_CHANGE_GRACE)));
    }

    /// Its watches are reset, and new ones refused for so long: what it has meanwhile can't be had.
    pub fn refuse_watches(&self, duration: Duration) {
        self.refusing_until.set(Some(Instant::now() + duration));
        self.silence_watches();
        self.reset_watches();
    }

    /// All its open watches are reset.
    pub fn reset_watches(&self) {
        self.reset_event.notify(usize::MAX);
    }

    /// It is down, or up again: then all that changed meanwhile binds at once.
    pub fn set_down(&self, context: &Context, down: bool) {
        self.note(context, if down { "discovery down" } else { "discovery up" });
        self.down.set(down);
        if !down {
            // A watch that had fallen silent before stays so.
            let now = Instant::now();
            let effective_at = self.undelivered.get().map_or(now, |(since, grace)| now.max(since + grace));
            context.audit.borrow_mut().list_delivered(self.pooler, effective_at);
            self.recovery_event.notify(usize::MAX);
        }
    }

    async fn serve_watch(
        &self,
        context: &Context,
        list: &Discovery,
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
        // The whole list: what a pooler was started with may be of any version.
        let mut sent_version = 0;
        loop {
            while self.down.get() {
                // It learns nothing and says nothing; at its return it tells on the watches that are open.
                let recovered = self.recovery_event.listen();
                let closed = async { while matches!(stream.read(&mut bytes).await, Ok(1..)) {} };
                or(recovered, closed).await;
                if self.down.get() {
                    return Ok(());
                }
            }
            let silent = self.undelivered.get().is_some_and(|(since, _)| since > opened);
            if silent || address_index != self.active.get() {
                // It stays open and says nothing, until it is closed.
                self.note(context, &format!("watch silent at address {address_index}"));
                while stream.read(&mut bytes).await? > 0 {}
                self.note(context, "silent watch closed");
                return Ok(());
            }
            let changed = list.change_event.listen();
            let version = list.version.get();
            let line = if version > sent_version {
                let full = sent_version == 0;
                let text = list.list_json(self, sent_version, full);
                sent_version = version;
                if context.chance(300) { format!("{text:#}\n") } else { format!("{text}\n") }
            } else {
                "\n".to_owned()
            };
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            if self.undelivered.get().is_some() {
                // A watch that was opened since: the pooler is in step again.
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
