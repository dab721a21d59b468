//! Follows a registry for as long as the pooler runs: asks, reads, and hands on what comes. It decides nothing about
//! members; when to ask and what to tell of oneself stand in [`crate::eureka`].

use crate::client::{Access, Call, CallError, Chunk, Client, Server, SetupError};
use crate::eureka::body::Format;
use crate::eureka::lease::{Act, Came, Lease};
use crate::eureka::mapping::Mapping;
use crate::eureka::mirror::Mirror;
use crate::eureka::model::Status;
use crate::eureka::poller::{Ask, Failure, PollOptions, Poller};
use crate::eureka::reading::{Read, Reading};
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use linnetdeal_core::membership::{ShrinkPolicy, SourceUpdate, UpdateOutcome};
use linnetdeal_core::{Span, Time};
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// What the follower is given: a way in for its news, and a clock.
pub trait Sink {
    /// The time, Unix in microseconds, never running backwards.
    fn now(&self) -> Time;
    /// Takes news in.
    fn apply_update(&self, update: SourceUpdate) -> UpdateOutcome;
    /// A line for the people on call.
    fn log(&self, line: &dyn fmt::Display);
}

/// What the pooler says of itself in the registry.
#[derive(Clone, Debug)]
pub struct Registration {
    /// The application under which poolers register.
    pub app: String,
    /// The id of this one.
    pub id: String,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// How often the registration is renewed.
    pub renew_interval: Span,
    /// After how long without that the registry may drop it.
    pub lease_duration: Span,
}

/// What is followed, and how.
#[derive(Clone, Debug)]
pub struct RegistryOptions {
    /// Its servers, the preferred one first.
    pub servers: Vec<Server>,
    /// How they are called.
    pub access: Access,
    /// How long a call may take.
    pub timeout: Duration,
    /// How often to ask.
    pub poll: PollOptions,
    /// A body is no larger.
    pub max_body_bytes: u64,
    /// How instances become members.
    pub mapping: Mapping,
    /// When a list is not believed.
    pub shrink_policy: ShrinkPolicy,
    /// The whole list is asked for by this path, such as `/apps`.
    pub list_path: String,
    /// What this pooler says of itself, if anything.
    pub registration: Option<Registration>,
}

/// What was seen of the registry.
#[derive(Debug, Default)]
pub struct Counters {
    /// Whole lists taken.
    pub fulls: Cell<u64>,
    /// Deltas taken.
    pub deltas: Cell<u64>,
    /// Calls that gave nothing.
    pub failures: Cell<u64>,
    /// Answers whose hash code did not agree.
    pub mismatches: Cell<u64>,
    /// Lists that were not believed.
    pub doubted: Cell<u64>,
    /// Claims that were older than what is held.
    pub stale: Cell<u64>,
    /// Of these, claims that would have brought back who drains or is gone.
    pub kept_out: Cell<u64>,
    /// Claims of two members under one id.
    pub conflicts: Cell<u64>,
    /// Instances that could not be read.
    pub unreadable: Cell<u64>,
    /// Instances of ours that could not be members.
    pub refused: Cell<u64>,
    /// Of these, those outside of the networks.
    pub outside: Cell<u64>,
    /// Own registrations, renewals and the rest that were taken.
    pub own_taken: Cell<u64>,
    /// Those that were not.
    pub own_failed: Cell<u64>,
}

fn add(count: &Cell<u64>, more: usize) {
    count.set(count.get().saturating_add(more as u64));
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = [
            ("fulls", &self.fulls),
            ("deltas", &self.deltas),
            ("failures", &self.failures),
            ("mismatches", &self.mismatches),
            ("doubted", &self.doubted),
            ("stale", &self.stale),
            ("kept_out", &self.kept_out),
            ("conflicts", &self.conflicts),
            ("unreadable", &self.unreadable),
            ("refused", &self.refused),
            ("outside", &self.outside),
            ("own_taken", &self.own_taken),
            ("own_failed", &self.own_failed),
        ];
        write!(f, "registry")?;
        named.iter().try_for_each(|(name, count)| write!(f, " {name}={}", count.get()))
    }
}

/// Follows a registry.
pub struct Follower<S> {
    registry: RegistryOptions,
    client: Client,
    poller: Poller,
    mirror: Mirror,
    sink: S,
    counters: Rc<Counters>,
    /// What was last said of the registry's state, so that it is said once.
    said: Said,
    told: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Said {
    Nothing,
    Well,
    Away,
    Sick,
    Apart,
}

impl<S: Sink> Follower<S> {
    /// One that is ready to ask. All files are read now.
    ///
    /// # Errors
    ///
    /// When a file can't be used.
    pub fn new(
        registry: RegistryOptions,
        seed: u64,
        sink: S,
        counters: Rc<Counters>,
    ) -> Result<Self, SetupError> {
        let tls = registry.servers.iter().any(Server::is_tls);
        let client = Client::new(&registry.access, tls, registry.timeout)?;
        let poller = Poller::new(registry.servers.len(), registry.poll, seed, sink.now());
        let mirror = Mirror::default();
        let (said, told) = (Said::Nothing, false);
        Ok(Self { registry, client, poller, mirror, sink, counters, said, told })
    }

    /// Asks once, whatever is due, and gives what was taken.
    ///
    /// # Errors
    ///
    /// When no answer came that can be used; it will be asked again in time.
    pub async fn poll(&mut self) -> Result<UpdateOutcome, CallError> {
        let (at, ask) = self.poller.ask(self.sink.now());
        match self.read(at, ask).await {
            Ok(read) => {
                let adds_up = read.hash_code.as_ref().is_none_or(|code| *code == self.mirror.hash_code());
                self.poller.answered(self.sink.now(), ask, adds_up);
                Ok(self.taken(at, ask, read, adds_up))
            }
            Err(error) => {
                let failure = match &error {
                    CallError::Status { status, retry_after } => Failure::Status(*status, *retry_after),
                    _ => Failure::Broken,
                };
                self.poller.failed(self.sink.now(), ask, failure);
                add(&self.counters.failures, 1);
                if self.poller.failures() as usize >= self.registry.servers.len() {
                    let name = self.registry.servers[at].name().to_owned();
                    self.say(
                        Said::Away,
                        &format_args!("registry: {name}: {error}; carrying on with what is known"),
                    );
                }
                Err(error)
            }
        }
    }

    async fn read(&mut self, at: usize, ask: Ask) -> Result<Read, CallError> {
        let Self { registry, client, mirror, .. } = self;
        let path = match ask {
            Ask::Full => registry.list_path.clone(),
            Ask::Delta => "/apps/delta".to_owned(),
        };
        let mut reading: Option<Reading<'_>> = None;
        let mut take = |chunk: Chunk<'_>| match (chunk, &mut reading) {
            (Chunk::Type(kind), of) => {
                let format = match kind.split(';').next().unwrap_or("").trim() {
                    "application/json" => Format::Json,
                    "application/xml" | "text/xml" => Format::Xml,
                    _ => return Err("type".to_owned()),
                };
                *of = Some(Reading::new(
                    &registry.mapping,
                    mirror.empty(),
                    at,
                    ask,
                    format,
                    registry.max_body_bytes,
                ));
                Ok(())
            }
            (Chunk::Data(data), Some(reading)) => reading.push(data).map_err(|error| error.to_string()),
            (Chunk::Data(_), None) => Err("no type".to_owned()),
        };
        client.call(&registry.servers[at], Call::get(&path), &mut take).await?;
        let body = |error: crate::eureka::body::BodyError| CallError::Body(error.to_string());
        reading.ok_or(CallError::Type(String::new()))?.finish(mirror).map_err(body)
    }

    fn taken(&mut self, at: usize, ask: Ask, read: Read, adds_up: bool) -> UpdateOutcome {
        let (instances, hash_code) = (read.instances, read.hash_code.unwrap_or_default());
        let taken = self.sink.apply_update(read.news);
        let counters = self.counters.clone();
        add(if ask == Ask::Full { &counters.fulls } else { &counters.deltas }, 1);
        add(&counters.mismatches, usize::from(!adds_up));
        add(&counters.doubted, usize::from(taken.suspect_list.is_some()));
        add(&counters.stale, taken.stale);
        add(&counters.kept_out, taken.kept_out);
        add(&counters.conflicts, taken.conflicts);
        add(&counters.unreadable, read.unreadable);
        add(&counters.refused, read.refused);
        add(&counters.outside, read.outside);
        // Whoever is refused is refused with each whole list: it is said once.
        if !read.named.is_empty() && !std::mem::replace(&mut self.told, true) {
            for words in &read.named {
                self.sink.log(&format_args!("registry: {words}"));
            }
        }
        let name = self.registry.servers[at].name().to_owned();
        if let Some((lost, of)) = taken.suspect_list {
            self.say(
                Said::Sick,
                &format_args!("registry: {name}: a list that lacks {lost} of {of} members is not believed; carrying on with what is known"),
            );
        } else if ask == Ask::Full && !adds_up {
            let own = self.mirror.hash_code();
            self.say(
                Said::Apart,
                &format_args!("registry: {name}: a list whose hash code '{hash_code}' does not agree with what it holds, '{own}'"),
            );
        } else if adds_up {
            self.say(Said::Well, &format_args!("registry: {name}: {instances} instances read"));
        }
        taken
    }

    fn say(&mut self, what: Said, words: &dyn fmt::Display) {
        if std::mem::replace(&mut self.said, what) != what {
            self.sink.log(words);
        }
    }

    /// Asks for ever.
    pub async fn run(mut self) {
        loop {
            wait_until(self.sink.now(), self.poller.due()).await;
            // What went wrong has been counted and said; the poller knows when to ask again.
            let _ = self.poll().await;
        }
    }
}

/// Keeps the pooler's own registration until its life has ended and the registry knows of it. It has a connection of
/// its own: a list that takes long must not hold up the word of a drain.
pub struct Registrar<S> {
    servers: Vec<Server>,
    client: Client,
    registration: Registration,
    sink: S,
    counters: Rc<Counters>,
}

impl<S: Sink> Registrar<S> {
    /// One for what `registry` says of this pooler; `None` where it says nothing.
    ///
    /// # Errors
    ///
    /// When a file can't be used.
    pub fn new(
        registry: &RegistryOptions,
        sink: S,
        counters: Rc<Counters>,
    ) -> Result<Option<Self>, SetupError> {
        let Some(registration) = registry.registration.clone() else { return Ok(None) };
        let tls = registry.servers.iter().any(Server::is_tls);
        let client = Client::new(&registry.access, tls, registry.timeout)?;
        Ok(Some(Self { servers: registry.servers.clone(), client, registration, sink, counters }))
    }

    /// Tells the registry of this pooler for as long as it lives, and of its end.
    pub async fn run(mut self, pooler_status: Rc<PoolerStatus>) {
        let mut lease = Lease::new(self.registration.renew_interval, self.sink.now());
        let mut at = 0;
        loop {
            let changed = pooler_status.changed.listen();
            lease.want(self.sink.now(), pooler_status.status.get());
            match (lease.act(self.sink.now()), lease.due()) {
                (None, None) => return pooler_status.gone.raise(),
                (None, Some(due)) => or(wait_until(self.sink.now(), due), changed).await,
                (Some(act), _) => {
                    let call =
                        tell(&mut self.client, &self.servers[at], &self.registration, act, lease.dirty_ms());
                    // A status that changes while a server keeps silent is told at once, elsewhere if need be.
                    let came = or(call, async {
                        changed.await;
                        Came::Nothing
                    });
                    let came = came.await;
                    lease.done(self.sink.now(), act, came);
                    let counters = &self.counters;
                    add(if came == Came::Taken { &counters.own_taken } else { &counters.own_failed }, 1);
                    if came == Came::Nothing {
                        at = (at + 1) % self.servers.len();
                    }
                }
            }
        }
    }
}

/// What a registrar has to know of the pooler's life.
#[derive(Debug)]
pub struct PoolerStatus {
    status: Cell<Option<Status>>,
    changed: Event,
    gone: Gone,
}

#[derive(Debug, Default)]
struct Gone {
    up: Cell<bool>,
    event: Event,
}

impl Gone {
    fn raise(&self) {
        self.up.set(true);
        self.event.notify(usize::MAX);
    }
}

impl PoolerStatus {
    /// One of a pooler that is starting.
    #[must_use]
    pub fn starting() -> Self {
        Self { status: Cell::new(Some(Status::Starting)), changed: Event::new(), gone: Gone::default() }
    }

    /// What it was last set to.
    #[must_use]
    pub fn status(&self) -> Option<Status> {
        self.status.get()
    }

    /// The pooler's status from now on; `None` for its end.
    pub fn set(&self, status: Option<Status>) {
        self.status.set(status);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the registry knows of the end, but no longer than this.
    pub async fn wait_deregistered(&self, longest: Duration) {
        let told = async {
            while !self.gone.up.get() {
                let listener = self.gone.event.listen();
                if !self.gone.up.get() {
                    listener.await;
                }
            }
        };
        let enough = async {
            Timer::after(longest).await;
        };
        or(told, enough).await;
    }
}

fn wait_until(now: Time, due: Time) -> impl Future<Output = ()> {
    let wait = Duration::from_micros(u64::try_from((due - now).0).unwrap_or(0));
    async move {
        if !wait.is_zero() {
            Timer::after(wait).await;
        }
    }
}

/// Tells a server of this pooler.
async fn tell(client: &mut Client, server: &Server, own: &Registration, act: Act, dirty_ms: i64) -> Came {
    use hyper::Method;
    let (app, id) = (&own.app, &own.id);
    let (method, path, body) = match act {
        Act::Register(status) => {
            (Method::POST, format!("/apps/{app}"), Some(registration_body(own, status, dirty_ms)))
        }
        Act::Renew(status) => {
            let status = status.name();
            (Method::PUT, format!("/apps/{app}/{id}?status={status}&lastDirtyTimestamp={dirty_ms}"), None)
        }
        Act::Cancel => (Method::DELETE, format!("/apps/{app}/{id}"), None),
    };
    match client.call(server, Call { method, path: &path, body }, &mut |_| Ok(())).await {
        Ok(()) => Came::Taken,
        Err(CallError::Status { status: 404, .. }) => Came::Unknown,
        Err(_) => Came::Nothing,
    }
}

fn registration_body(own: &Registration, status: Status, dirty_ms: i64) -> Vec<u8> {
    let seconds = |span: Span| (span.0 / 1_000_000).max(1);
    serde_json::json!({"instance": {
        "instanceId": own.id, "app": own.app.to_ascii_uppercase(), "hostName": own.address.ip().to_string(),
        "ipAddr": own.address.ip().to_string(), "vipAddress": own.app.to_ascii_lowercase(),
        "port": {"$": own.address.port(), "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"},
        "status": status.name(), "overriddenstatus": "UNKNOWN",
        "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
        "leaseInfo": {"renewalIntervalInSecs": seconds(own.renew_interval), "durationInSecs": seconds(own.lease_duration)},
        "lastDirtyTimestamp": dirty_ms.to_string(),
    }})
    .to_string()
    .into_bytes()
}
