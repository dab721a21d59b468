//! Follows a registry for as long as the pooler runs, and keeps the pooler registered there. This module only performs
//! the I/O: the polling schedule and the lease are in [`crate::eureka`], decisions about members in the core.

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

/// The receiver of a follower's updates and log lines, which also provides the clock.
pub trait Sink {
    /// The Unix time in microseconds; it never runs backwards.
    fn now(&self) -> Time;
    /// Applies an update to the membership.
    fn apply_update(&self, update: SourceUpdate) -> UpdateOutcome;
    /// Logs a line for the operators.
    fn log(&self, line: &dyn fmt::Display);
}

/// The pooler's own registration.
#[derive(Clone, Debug)]
pub struct Registration {
    /// The application under which poolers register.
    pub app: String,
    /// The instance id of this pooler.
    pub id: String,
    /// The address on which it listens.
    pub address: std::net::SocketAddr,
    /// The interval at which the lease is renewed.
    pub renew_interval: Span,
    /// The time without renewal after which the registry may remove the registration.
    pub lease_duration: Span,
}

/// The options for following a registry.
#[derive(Clone, Debug)]
pub struct RegistryOptions {
    /// The registry's servers, the preferred one first.
    pub servers: Vec<Server>,
    /// The credentials and certificates for calling them.
    pub access: Access,
    /// The timeout of a call.
    pub timeout: Duration,
    /// The options of polling.
    pub poll: PollOptions,
    /// The maximum size of a response body in bytes, after decompression.
    pub max_body_bytes: u64,
    /// The mapping of instances to members.
    pub mapping: Mapping,
    /// When a list that lacks members is not believed.
    pub shrink_policy: ShrinkPolicy,
    /// The path of the full list, such as `/apps`.
    pub list_path: String,
    /// The pooler's own registration, if it is to be registered.
    pub registration: Option<Registration>,
}

/// Counters of a registry; they are logged under the names of the fields.
#[derive(Debug, Default)]
pub struct Counters {
    /// Full lists applied.
    pub fulls: Cell<u64>,
    /// Deltas applied.
    pub deltas: Cell<u64>,
    /// Failed fetches.
    pub failures: Cell<u64>,
    /// Responses whose hash code did not match the local copy.
    pub mismatches: Cell<u64>,
    /// Lists that were suspect and therefore not believed.
    pub doubted: Cell<u64>,
    /// Claims that were ignored because a newer one is held.
    pub stale: Cell<u64>,
    /// Of these, claims that would have returned a draining or gone member to service.
    pub kept_out: Cell<u64>,
    /// Claims that show two members under one id.
    pub conflicts: Cell<u64>,
    /// Instances with invalid fields.
    pub unreadable: Cell<u64>,
    /// Instances of our applications that can't be members.
    pub refused: Cell<u64>,
    /// Of these, instances outside of the allowed networks.
    pub outside: Cell<u64>,
    /// Calls for the pooler's own registration that were accepted.
    pub own_taken: Cell<u64>,
    /// Calls for the pooler's own registration that failed.
    pub own_failed: Cell<u64>,
}

fn add(count: &Cell<u64>, increment: usize) {
    count.set(count.get().saturating_add(increment as u64));
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

/// Polls a registry and passes updates to a [`Sink`].
pub struct Follower<S> {
    registry: RegistryOptions,
    client: Client,
    poller: Poller,
    mirror: Mirror,
    sink: S,
    counters: Rc<Counters>,
    /// The registry's state at the last log line, so that only changes are logged.
    last_logged: LogState,
    /// Whether unreadable and refused instances have been logged.
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
    /// Creates a follower; `seed` is for the jitter of the polling. All files of the options are read here.
    ///
    /// # Errors
    ///
    /// When a file can't be used or TLS can't be set up.
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

    /// Performs the next fetch now, even if it is not due yet, and returns the outcome of the update.
    ///
    /// # Errors
    ///
    /// When the fetch fails; the next one is already scheduled then.
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
        let body_error = |error: crate::eureka::body::BodyError| CallError::Body(error.to_string());
        reader.ok_or(CallError::ContentType(String::new()))?.finish(mirror).map_err(body_error)
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
        // The same instances are refused with each full list, so they are logged only once.
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

    /// Polls whenever a fetch is due, without end.
    pub async fn run(mut self) {
        loop {
            wait_until(self.sink.now(), self.poller.due()).await;
            // Errors have been counted and logged, and the next fetch is scheduled.
            let _ = self.poll().await;
        }
    }
}

/// Keeps the pooler registered until it has ended and is deregistered. It uses a connection of its own, because a long
/// response to the follower must not delay the report of a drain.
pub struct Registrar<S> {
    servers: Vec<Server>,
    client: Client,
    registration: Registration,
    sink: S,
    counters: Rc<Counters>,
}

impl<S: Sink> Registrar<S> {
    /// Creates a registrar; `None` if the options contain no registration.
    ///
    /// # Errors
    ///
    /// When a file can't be used or TLS can't be set up.
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

    /// Registers the pooler with its current status, renews the lease, and returns once the pooler is deregistered.
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
                    // A change of status does not wait for a server that does not answer: it is sent at once, to the next
                    // server.
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

/// The pooler's status as it is to be registered, shared between the pooler and its registrar.
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
    /// The status of a pooler that is starting.
    #[must_use]
    pub fn starting() -> Self {
        Self {
            status: Cell::new(Some(Status::Starting)),
            changed: Event::new(),
            deregistered: DeregisteredFlag::default(),
        }
    }

    /// The current status; `None` once the pooler has ended.
    #[must_use]
    pub fn status(&self) -> Option<Status> {
        self.status.get()
    }

    /// Sets the status; `None` deregisters the pooler.
    pub fn set(&self, status: Option<Status>) {
        self.status.set(status);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the pooler is deregistered, but no longer than the timeout.
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

/// Makes a call for the pooler's registration.
async fn send_action(
    client: &mut Client,
    server: &Server,
    registration: &Registration,
    action: LeaseAction,
    dirty_ms: i64,
) -> LeaseResult {
    use hyper::Method;
    let (app, id) = (&registration.app, &registration.id);
    let (method, path, body) = match action {
        LeaseAction::Register(status) => {
            (Method::POST, format!("/apps/{app}"), Some(registration_body(registration, status, dirty_ms)))
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

fn registration_body(registration: &Registration, status: Status, dirty_ms: i64) -> Vec<u8> {
    let seconds = |span: Span| (span.0 / 1_000_000).max(1);
    serde_json::json!({"instance": {
        "instanceId": registration.id, "app": registration.app.to_ascii_uppercase(),
        "hostName": registration.address.ip().to_string(), "ipAddr": registration.address.ip().to_string(),
        "vipAddress": registration.app.to_ascii_lowercase(),
        "port": {"$": registration.address.port(), "@enabled": "true"},
        "securePort": {"$": 443, "@enabled": "false"},
        "status": status.name(), "overriddenstatus": "UNKNOWN",
        "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
        "leaseInfo": {
            "renewalIntervalInSecs": seconds(registration.renew_interval),
            "durationInSecs": seconds(registration.lease_duration)
        },
        "lastDirtyTimestamp": dirty_ms.to_string(),
    }})
    .to_string()
    .into_bytes()
}
