//! Follows a registry for as long as the pooler runs: asks, reads, and hands on what comes. It decides nothing about
//! members; when to ask and what to tell of oneself stand in [`crate::eureka`].

use crate::client::{Access, Call, CallError, Chunk, Client, Server, SetupError};
use crate::eureka::body::Format;
use crate::eureka::lease::{Lease, LeaseAction, LeaseResult};
use crate::eureka::list_reader::{ListReader, ListUpdate};
use crate::eureka::mapping::Mapping;
use crate::eureka::mirror::Mirror;
use crate::eureka::model::Status;
use crate::eureka::poller::{Failure, FetchKind, PollOptions, Poller};
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
        let fields = [
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
        fields.iter().try_for_each(|(name, count)| write!(f, " {name}={}", count.get()))
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
    last_logged: LogState,
    rejections_logged: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogState {
    Initial,
    Healthy,
    Unreachable,
    SuspectList,
    HashMismatch,
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
        let (last_logged, rejections_logged) = (LogState::Initial, false);
        Ok(Self { registry, client, poller, mirror, sink, counters, last_logged, rejections_logged })
    }

    /// Asks once, whatever is due, and gives what was taken.
    ///
    /// # Errors
    ///
    /// When no answer came that can be used; it will be asked again in time.
    pub async fn poll(&mut self) -> Result<UpdateOutcome, CallError> {
        let (server, kind) = self.poller.next_fetch(self.sink.now());
        match self.fetch(server, kind).await {
            Ok(update) => {
                let hash_matches =
                    update.hash_code.as_ref().is_none_or(|code| *code == self.mirror.hash_code());
                self.poller.record_answer(self.sink.now(), kind, hash_matches);
                Ok(self.apply(server, kind, update, hash_matches))
            }
            Err(error) => {
                let failure = match &error {
                    CallError::Status { status, retry_after } => Failure::Status(*status, *retry_after),
                    _ => Failure::Unusable,
                };
                self.poller.record_failure(self.sink.now(), kind, failure);
                add(&self.counters.failures, 1);
                if self.poller.consecutive_failures() as usize >= self.registry.servers.len() {
                    let name = self.registry.servers[server].name().to_owned();
                    self.log_change(
                        LogState::Unreachable,
                        &format_args!("registry: {name}: {error}; carrying on with what is known"),
                    );
                }
                Err(error)
            }
        }
    }

    async fn fetch(&mut self, server: usize, kind: FetchKind) -> Result<ListUpdate, CallError> {
        let Self { registry, client, mirror, .. } = self;
        let path = match kind {
            FetchKind::Full => registry.list_path.clone(),
            FetchKind::Delta => "/apps/delta".to_owned(),
        };
        let mut reader: Option<ListReader<'_>> = None;
        let mut on_chunk = |chunk: Chunk<'_>| match (chunk, &mut reader) {
            (Chunk::ContentType(content_type), new_reader) => {
                let format = match content_type.split(';').next().unwrap_or("").trim() {
                    "application/json" => Format::Json,
                    "application/xml" | "text/xml" => Format::Xml,
                    _ => return Err("type".to_owned()),
                };
                *new_reader = Some(ListReader::new(
                    &registry.mapping,
                    mirror.empty_with_same_hasher(),
                    server,
                    kind,
                    format,
                    registry.max_body_bytes,
                ));
                Ok(())
            }
            (Chunk::Data(data), Some(reader)) => reader.push(data).map_err(|error| error.to_string()),
            (Chunk::Data(_), None) => Err("no type".to_owned()),
        };
        client.call(&registry.servers[server], Call::get(&path), &mut on_chunk).await?;
        let body = |error: crate::eureka::body::BodyError| CallError::Body(error.to_string());
        reader.ok_or(CallError::ContentType(String::new()))?.finish(mirror).map_err(body)
    }

    fn apply(
        &mut self,
        server: usize,
        kind: FetchKind,
        update: ListUpdate,
        hash_matches: bool,
    ) -> UpdateOutcome {
        let (instances, hash_code) = (update.instances, update.hash_code.unwrap_or_default());
        let outcome = self.sink.apply_update(update.source_update);
        let counters = self.counters.clone();
        add(if kind == FetchKind::Full { &counters.fulls } else { &counters.deltas }, 1);
        add(&counters.mismatches, usize::from(!hash_matches));
        add(&counters.doubted, usize::from(outcome.suspect_list.is_some()));
        add(&counters.stale, outcome.stale);
        add(&counters.kept_out, outcome.kept_out);
        add(&counters.conflicts, outcome.conflicts);
        add(&counters.unreadable, update.unreadable);
        add(&counters.refused, update.refused);
        add(&counters.outside, update.outside);
        // Whoever is refused is refused with each whole list: it is said once.
        if !update.problems.is_empty() && !std::mem::replace(&mut self.rejections_logged, true) {
            for problem in &update.problems {
                self.sink.log(&format_args!("registry: {problem}"));
            }
        }
        let name = self.registry.servers[server].name().to_owned();
        if let Some((lost, known)) = outcome.suspect_list {
            self.log_change(
                LogState::SuspectList,
                &format_args!("registry: {name}: a list that lacks {lost} of {known} members is not believed; carrying on with what is known"),
            );
        } else if kind == FetchKind::Full && !hash_matches {
            let computed = self.mirror.hash_code();
            self.log_change(
                LogState::HashMismatch,
                &format_args!("registry: {name}: a list whose hash code '{hash_code}' does not agree with what it holds, '{computed}'"),
            );
        } else if hash_matches {
            self.log_change(LogState::Healthy, &format_args!("registry: {name}: {instances} instances read"));
        }
        outcome
    }

    fn log_change(&mut self, state: LogState, line: &dyn fmt::Display) {
        if std::mem::replace(&mut self.last_logged, state) != state {
            self.sink.log(line);
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
        let mut server = 0;
        loop {
            let changed = pooler_status.changed.listen();
            lease.set_status(self.sink.now(), pooler_status.status.get());
            match (lease.next_action(self.sink.now()), lease.due()) {
                (None, None) => return pooler_status.deregistered.signal(),
                (None, Some(due)) => or(wait_until(self.sink.now(), due), changed).await,
                (Some(action), _) => {
                    let call = send_action(
                        &mut self.client,
                        &self.servers[server],
                        &self.registration,
                        action,
                        lease.dirty_ms(),
                    );
                    // A status that changes while a server keeps silent is told at once, elsewhere if need be.
                    let result = or(call, async {
                        changed.await;
                        LeaseResult::Failed
                    });
                    let result = result.await;
                    lease.record_result(self.sink.now(), action, result);
                    let counters = &self.counters;
                    add(
                        if result == LeaseResult::Accepted {
                            &counters.own_taken
                        } else {
                            &counters.own_failed
                        },
                        1,
                    );
                    if result == LeaseResult::Failed {
                        server = (server + 1) % self.servers.len();
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
    deregistered: DeregisteredFlag,
}

#[derive(Debug, Default)]
struct DeregisteredFlag {
    is_set: Cell<bool>,
    event: Event,
}

impl DeregisteredFlag {
    fn signal(&self) {
        self.is_set.set(true);
        self.event.notify(usize::MAX);
    }
}

impl PoolerStatus {
    /// One of a pooler that is starting.
    #[must_use]
    pub fn starting() -> Self {
        Self {
            status: Cell::new(Some(Status::Starting)),
            changed: Event::new(),
            deregistered: DeregisteredFlag::default(),
        }
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
    pub async fn wait_deregistered(&self, timeout: Duration) {
        let deregistration = async {
            while !self.deregistered.is_set.get() {
                let listener = self.deregistered.event.listen();
                if !self.deregistered.is_set.get() {
                    listener.await;
                }
            }
        };
        let timed_out = async {
            Timer::after(timeout).await;
        };
        or(deregistration, timed_out).await;
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
async fn send_action(
    client: &mut Client,
    server: &Server,
    own: &Registration,
    action: LeaseAction,
    dirty_ms: i64,
) -> LeaseResult {
    use hyper::Method;
    let (app, id) = (&own.app, &own.id);
    let (method, path, body) = match action {
        LeaseAction::Register(status) => {
            (Method::POST, format!("/apps/{app}"), Some(registration_body(own, status, dirty_ms)))
        }
        LeaseAction::Renew(status) => {
            let status = status.name();
            (Method::PUT, format!("/apps/{app}/{id}?status={status}&lastDirtyTimestamp={dirty_ms}"), None)
        }
        LeaseAction::Cancel => (Method::DELETE, format!("/apps/{app}/{id}"), None),
    };
    match client.call(server, Call { method, path: &path, body }, &mut |_| Ok(())).await {
        Ok(()) => LeaseResult::Accepted,
        Err(CallError::Status { status: 404, .. }) => LeaseResult::NotFound,
        Err(_) => LeaseResult::Failed,
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
