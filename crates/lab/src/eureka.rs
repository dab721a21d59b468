//! A stand-in for a cluster of Eureka servers: peers that share a set of registrations, each with its own lag and fault
//! mode. It implements the server's side of the published REST API, and records which status of which server each
//! response has delivered.

use crate::lock;
use crate::recorder::Recorder;
use flate2::Compression;
use flate2::write::GzEncoder;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Upper bound on the earlier states that are kept for lagging peers.
const MAX_STATES: usize = 4_096;
/// How long deltas contain a change by default.
const DELTA_RETENTION: Duration = Duration::from_millis(3_000);

/// The registration of an instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Registration {
    /// The application's name.
    pub app: String,
    /// The instance's id.
    pub id: String,
    /// The address that it listens on.
    pub ip: String,
    /// The port that it listens on.
    pub port: u16,
    /// The effective status.
    pub status: String,
    /// The status that overrides its own, or `UNKNOWN`.
    pub overridden: String,
    /// When the instance last changed its registration, in milliseconds (`lastDirtyTimestamp`).
    pub dirty: i64,
    /// When the registry last changed it, in milliseconds (`lastUpdatedTimestamp`).
    pub updated: i64,
    /// When its lease began, in milliseconds.
    pub registered: i64,
    /// The kind of its latest change, as deltas report it (`actionType`).
    pub action: String,
    /// The metadata that its operators have set.
    pub metadata: BTreeMap<String, String>,
}

#[derive(Clone, Debug, Default)]
struct State {
    all: BTreeMap<(String, String), Registration>,
    recent: VecDeque<(Option<Instant>, Registration)>,
    /// Instances that have deregistered, with their last timestamp.
    removed: BTreeMap<String, i64>,
}

/// States with the times from which they applied.
type StateHistory = VecDeque<(Instant, Arc<State>)>;

/// All registrations, with their earlier states for peers that lag.
#[derive(Clone)]
pub struct Registrations {
    states: Arc<Mutex<StateHistory>>,
    delta_retention: Duration,
    clock: Arc<Mutex<i64>>,
}

impl Default for Registrations {
    fn default() -> Self {
        let states = VecDeque::from([(Instant::now(), Arc::new(State::default()))]);
        Self {
            states: Arc::new(Mutex::new(states)),
            delta_retention: DELTA_RETENTION,
            clock: Arc::new(Mutex::new(crate::clients::now_ms())),
        }
    }
}

impl Registrations {
    /// Sets how long deltas contain a change.
    #[must_use]
    pub fn with_delta_retention(mut self, delta_retention: Duration) -> Self {
        self.delta_retention = delta_retention;
        self
    }

    /// Drops all earlier states, so that a peer with any lag serves at least the current one.
    pub fn clear_history(&self) {
        let mut states = lock(&self.states);
        let last = states.pop_back();
        states.clear();
        states.extend(last);
    }

    /// Returns a timestamp in milliseconds that is later than all earlier ones.
    #[must_use]
    pub fn next_timestamp(&self) -> i64 {
        let mut clock = lock(&self.clock);
        *clock = crate::clients::now_ms().max(*clock + 1);
        *clock
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut states = lock(&self.states);
        let mut state = states.back().map_or_else(State::default, |(_, state)| State::clone(state));
        change(&mut state);
        let now = Instant::now();
        state.recent.retain(|(at, _)| at.is_none_or(|at| now - at < self.delta_retention));
        states.push_back((now, Arc::new(state)));
        if states.len() > MAX_STATES {
            states.pop_front();
        }
    }

    fn state(&self, lag: Duration) -> Arc<State> {
        let states = lock(&self.states);
        let then = Instant::now().checked_sub(lag);
        let known = states.iter().rev().find(|(at, _)| then.is_some_and(|then| *at <= then));
        known.or(states.front()).map_or_else(Arc::default, |(_, state)| state.clone())
    }

    /// Adds or replaces a registration.
    pub fn register(&self, mut registration: Registration) {
        registration.updated = self.next_timestamp();
        registration.registered = registration.updated;
        self.change(|state| {
            registration.action = "ADDED".into();
            state.removed.remove(&registration.id);
            state.recent.push_back((Some(Instant::now()), registration.clone()));
            state.all.insert((registration.app.clone(), registration.id.clone()), registration);
        });
    }

    /// Adds many registrations at once without an entry in the deltas.
    pub fn register_all(&self, all: impl IntoIterator<Item = Registration>) {
        self.change(|state| {
            state.all.extend(
                all.into_iter()
                    .map(|registration| ((registration.app.clone(), registration.id.clone()), registration)),
            );
        });
    }

    /// Returns the registration with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<Registration> {
        self.state(Duration::ZERO).all.values().find(|registration| registration.id == id).cloned()
    }

    /// Changes the status of many instances at once, as if each had reported it itself.
    pub fn set_statuses(&self, ids: &[String], status: &str) {
        let (timestamp, now) = (self.next_timestamp(), Instant::now());
        self.change(|state| {
            for id in ids {
                if let Some(registration) = state.all.get_mut(&("DB".to_owned(), id.clone())) {
                    registration.status = status.to_owned();
                    (registration.dirty, registration.updated) = (timestamp, timestamp);
                    registration.action = "MODIFIED".into();
                    state.recent.push_back((Some(now), registration.clone()));
                }
            }
        });
    }

    /// Changes a registration; with `by_instance` as if by the instance itself, with a newer timestamp.
    pub fn update(&self, id: &str, by_instance: bool, change: impl FnOnce(&mut Registration)) {
        let (timestamp, updated) = (self.next_timestamp(), self.next_timestamp());
        self.change(|state| {
            if let Some(registration) = state.all.values_mut().find(|registration| registration.id == id) {
                change(registration);
                registration.updated = updated;
                registration.action = "MODIFIED".into();
                if by_instance {
                    registration.dirty = timestamp;
                }
                let registration = registration.clone();
                state.recent.push_back((Some(Instant::now()), registration));
            }
        });
    }

    /// Removes a registration; returns whether it existed.
    pub fn cancel(&self, id: &str) -> bool {
        let mut found = false;
        self.change(|state| {
            let key =
                state.all.iter().find(|(_, registration)| registration.id == id).map(|(key, _)| key.clone());
            if let Some(mut registration) = key.and_then(|key| state.all.remove(&key)) {
                registration.action = "DELETED".into();
                state.removed.insert(registration.id.clone(), registration.dirty);
                state.recent.push_back((Some(Instant::now()), registration));
                found = true;
            }
        });
        found
    }

    /// Loses all registrations without an entry in the deltas, as a restart of the registry does.
    pub fn clear(&self) {
        self.change(|state| {
            state.all.clear();
            state.recent.clear();
        });
    }

    /// The ids of all registrations.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.state(Duration::ZERO).all.values().map(|registration| registration.id.clone()).collect()
    }
}

/// How a peer answers reads; `Refuse`, `Silent` and `Status` apply to all calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerMode {
    /// Normally.
    #[default]
    Well,
    /// Closes every connection without an answer.
    Refuse,
    /// Accepts requests and does not answer.
    Silent,
    /// Answers with this status and, if given, a `Retry-After` in seconds.
    Status(u16, Option<u32>),
    /// Sends only the first half of the body.
    Half,
    /// Sends this many MB of pseudo-random bytes.
    Noise(usize),
    /// Sends JSON that is nested this deeply.
    Deep(usize),
    /// Sends an empty list.
    Empty,
    /// Sends only this many of the registrations.
    Few(usize),
    /// Sends a wrong hash code.
    WrongHash,
    /// Sends deltas without the changes.
    LostDelta,
    /// Sends deltas in reverse order with each change twice.
    Tangled,
}

/// Counts of the calls that a peer has received, and the calls of poolers about themselves.
#[derive(Clone, Debug, Default)]
pub struct RequestCounts {
    /// Requests for full lists.
    pub fulls: u64,
    /// Requests for deltas.
    pub deltas: u64,
    /// Calls by which poolers registered, renewed and deregistered themselves, such as `POST POOLER UP`.
    pub self_reports: Vec<String>,
    /// Accepted connections.
    pub connections: u64,
}

#[derive(Clone, Debug)]
struct PeerConfig {
    mode: AnswerMode,
    lag: Duration,
    xml: bool,
    gzip: bool,
    /// Whether a list with a single item is written as that item, as Eureka's JSON encoder does.
    unwrap_single: bool,
    authorization: Option<String>,
}

/// A server of the registry.
#[derive(Clone)]
pub struct Peer {
    /// The address that it listens on.
    pub address: SocketAddr,
    config: Arc<Mutex<PeerConfig>>,
    request_counts: Arc<Mutex<RequestCounts>>,
}

impl Peer {
    /// Starts a peer that serves `registrations` on `listen`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(
        registrations: &Registrations,
        recorder: &Arc<Mutex<Recorder>>,
        listen: SocketAddr,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let config = PeerConfig {
            mode: AnswerMode::Well,
            lag: Duration::ZERO,
            xml: false,
            gzip: true,
            unwrap_single: true,
            authorization: None,
        };
        let address = listener.local_addr()?;
        let peer = Self { address, config: Arc::new(Mutex::new(config)), request_counts: Arc::default() };
        let (listening_peer, registrations, recorder) =
            (peer.clone(), registrations.clone(), recorder.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                lock(&listening_peer.request_counts).connections += 1;
                if lock(&listening_peer.config).mode == AnswerMode::Refuse {
                    continue;
                }
                let (peer, registrations, recorder) =
                    (listening_peer.clone(), registrations.clone(), recorder.clone());
                std::thread::spawn(move || {
                    let _ = peer.serve(&stream, &registrations, &recorder);
                });
            }
        });
        Ok(peer)
    }

    /// Sets how it answers.
    pub fn set_mode(&self, mode: AnswerMode) {
        lock(&self.config).mode = mode;
    }

    /// Sets by how much its data is out of date.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.config).lag = lag;
    }

    /// Sets the encoding of lists: XML or JSON, and whether gzip is used if the client accepts it.
    pub fn set_encoding(&self, xml: bool, gzip: bool) {
        let mut config = lock(&self.config);
        (config.xml, config.gzip) = (xml, gzip);
    }

    /// Rejects requests whose `Authorization` header is not this one.
    pub fn require_authorization(&self, authorization: &str) {
        lock(&self.config).authorization = Some(authorization.to_owned());
    }

    /// The calls received so far.
    #[must_use]
    pub fn request_counts(&self) -> RequestCounts {
        lock(&self.request_counts).clone()
    }

    fn serve(
        &self,
        stream: &TcpStream,
        registrations: &Registrations,
        recorder: &Mutex<Recorder>,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let Some(request) = read_request(&mut reader)? else { return Ok(()) };
            let config = lock(&self.config).clone();
            if config.authorization.is_some() && config.authorization != request.authorization {
                respond(stream, 401, "", "text/plain", b"", false)?;
                continue;
            }
            let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
            let parts = if parts.first() == Some(&"eureka") { &parts[1..] } else { &parts[..] };
            match (request.method.as_str(), parts) {
                ("GET", ["apps", "delta"]) => {
                    lock(&self.request_counts).deltas += 1;
                    self.list(stream, &config, registrations, recorder, &request, true, &|_| true)?;
                }
                ("GET", ["apps"]) => {
                    lock(&self.request_counts).fulls += 1;
                    self.list(stream, &config, registrations, recorder, &request, false, &|_| true)?;
                }
                ("GET", ["apps", app]) => {
                    lock(&self.request_counts).fulls += 1;
                    let app = app.to_ascii_uppercase();
                    self.list(stream, &config, registrations, recorder, &request, false, &|registration| {
                        registration.app == app
                    })?;
                }
                ("GET", ["vips", vip]) => {
                    lock(&self.request_counts).fulls += 1;
                    let app = vip.to_ascii_uppercase();
                    self.list(stream, &config, registrations, recorder, &request, false, &|registration| {
                        registration.app == app
                    })?;
                }
                ("GET", ["instances", id] | ["apps", _, id]) => match registrations.get(id) {
                    Some(registration) => {
                        let body = json!({"instance": instance(&registration)}).to_string();
                        respond(stream, 200, "", "application/json", body.as_bytes(), false)?;
                    }
                    None => respond(stream, 404, "", "text/plain", b"", false)?,
                },
                _ => self.write(stream, &config, registrations, &request, parts)?,
            }
        }
    }

    /// Handles the calls that change registrations, including renewals of leases.
    fn write(
        &self,
        stream: &TcpStream,
        config: &PeerConfig,
        registrations: &Registrations,
        request: &Request,
        parts: &[&str],
    ) -> std::io::Result<()> {
        match &config.mode {
            AnswerMode::Silent => {
                std::thread::sleep(Duration::from_secs(60));
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            AnswerMode::Refuse => return Err(std::io::ErrorKind::ConnectionAborted.into()),
            AnswerMode::Status(code, retry_after) => {
                return respond(stream, *code, &retry_after_header(*retry_after), "text/plain", b"", false);
            }
            _ => {}
        }
        let query_value = |name: &str| {
            let pairs = request.query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let mut self_report = None;
        let status = match (request.method.as_str(), parts) {
            ("POST", ["apps", app]) => match serde_json::from_slice::<Value>(&request.body) {
                Ok(body) => {
                    let registration = parse_registration(&body["instance"], app);
                    self_report = Some(format!("POST {app} {}", registration.status));
                    registrations.register(registration);
                    204
                }
                Err(_) => 400,
            },
            ("PUT", ["apps", app, id]) => {
                self_report = Some(format!("PUT {app} {}", query_value("status").unwrap_or_default()));
                if registrations.get(id).is_some() { 200 } else { 404 }
            }
            ("PUT", ["apps", _, id, "status"]) => {
                let value = query_value("value").unwrap_or_default();
                registrations.update(id, false, |registration| {
                    registration.status.clone_from(&value);
                    registration.overridden = value;
                });
                200
            }
            ("DELETE", ["apps", _, id, "status"]) => {
                registrations.update(id, false, |registration| {
                    registration.status = "UP".into();
                    registration.overridden = "UNKNOWN".into();
                });
                200
            }
            ("DELETE", ["apps", app, id]) => {
                self_report = Some(format!("DELETE {app}"));
                if registrations.cancel(id) { 200 } else { 404 }
            }
            _ => 405,
        };
        lock(&self.request_counts).self_reports.extend(self_report);
        respond(stream, status, "", "text/plain", b"", false)
    }

    #[allow(clippy::too_many_arguments)]
    fn list(
        &self,
        mut stream: &TcpStream,
        config: &PeerConfig,
        registrations: &Registrations,
        recorder: &Mutex<Recorder>,
        request: &Request,
        delta: bool,
        wanted: &dyn Fn(&Registration) -> bool,
    ) -> std::io::Result<()> {
        let state = registrations.state(config.lag);
        let mut instances: Vec<Registration> = if delta {
            state.recent.iter().map(|(_, registration)| registration.clone()).collect()
        } else {
            state
                .all
                .values()
                .cloned()
                .map(|registration| Registration { action: "ADDED".into(), ..registration })
                .collect()
        };
        instances.retain(|registration| wanted(registration));
        let mut code = hash_code(state.all.values());
        // A complete list of the current state reports the instances that have deregistered by leaving them out.
        let mut authoritative = !delta && config.lag.is_zero();
        match &config.mode {
            AnswerMode::Silent => {
                std::thread::sleep(Duration::from_secs(60));
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            AnswerMode::Refuse => return Err(std::io::ErrorKind::ConnectionAborted.into()),
            AnswerMode::Status(code, retry_after) => {
                return respond(stream, *code, &retry_after_header(*retry_after), "text/plain", b"", false);
            }
            AnswerMode::Noise(mb) => {
                let noise: Vec<u8> =
                    (0..1_048_576_u32).map(|at| (at.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    mb << 20
                )?;
                for _ in 0..*mb {
                    stream.write_all(&noise)?;
                }
                return Ok(());
            }
            AnswerMode::Deep(depth) => {
                let body = format!("{{\"applications\":{}", "{\"a\":[".repeat(*depth));
                return respond(stream, 200, "", "application/json", body.as_bytes(), false);
            }
            AnswerMode::Empty => {
                (instances, code, authoritative) = (Vec::new(), String::new(), false);
            }
            AnswerMode::Few(few) => {
                let listed: Vec<&Registration> = state.all.values().take(*few).collect();
                instances.retain(|registration| listed.iter().any(|other| other.id == registration.id));
                (code, authoritative) = (hash_code(listed.into_iter()), false);
            }
            AnswerMode::WrongHash => code.push_str("DOWN_99_"),
            AnswerMode::LostDelta if delta => instances.clear(),
            AnswerMode::Tangled if delta => {
                instances.reverse();
                instances = instances.iter().chain(&instances).cloned().collect();
            }
            _ => {}
        }
        let body = if config.xml {
            as_xml(&instances, &code)
        } else {
            as_json(&instances, &code, config.unwrap_single).to_string()
        };
        let content_type = if config.xml { "application/xml" } else { "application/json" };
        if config.mode == AnswerMode::Half {
            let half = &body.as_bytes()[..body.len() / 2];
            return respond(stream, 200, "", content_type, half, false);
        }
        respond(stream, 200, "", content_type, body.as_bytes(), config.gzip && request.gzip)?;
        // The pooler counts as informed from here on.
        let (now, mut recorder) = (Instant::now(), lock(recorder));
        for registration in instances.iter().filter(|registration| registration.app == "DB") {
            recorder.status_delivered(
                &registration.id,
                registration.status == "UP" && registration.action != "DELETED",
                (registration.dirty, registration.updated),
                now,
            );
        }
        for (id, dirty) in state.removed.iter().filter(|_| authoritative) {
            recorder.status_delivered(id, false, (*dirty, i64::MAX), now);
        }
        Ok(())
    }
}

fn retry_after_header(retry_after: Option<u32>) -> String {
    retry_after.map_or(String::new(), |seconds| format!("Retry-After: {seconds}\r\n"))
}

struct Request {
    method: String,
    path: String,
    query: String,
    gzip: bool,
    authorization: Option<String>,
    body: Vec<u8>,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_ascii_whitespace();
    let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut request = Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        gzip: false,
        authorization: None,
        body: Vec::new(),
    };
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "accept-encoding" => request.gzip = value.contains("gzip"),
            "authorization" => request.authorization = Some(value.trim().to_owned()),
            _ => {}
        }
    }
    request.body = vec![0; length.min(1 << 20)];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

fn respond(
    mut stream: &TcpStream,
    status: u16,
    headers: &str,
    content_type: &str,
    body: &[u8],
    gzip: bool,
) -> std::io::Result<()> {
    let compressed = if gzip {
        let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(body)?;
        encoder.finish()?
    } else {
        body.to_vec()
    };
    let encoding = if gzip { "Content-Encoding: gzip\r\n" } else { "" };
    let length =
        if status == 204 { String::new() } else { format!("Content-Length: {}\r\n", compressed.len()) };
    let head =
        format!("HTTP/1.1 {status} OK\r\nContent-Type: {content_type}\r\n{length}{encoding}{headers}\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(&compressed)
}

fn parse_registration(body: &Value, app: &str) -> Registration {
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    Registration {
        app: app.to_ascii_uppercase(),
        id: text(&body["instanceId"]),
        ip: text(&body["ipAddr"]),
        port: body["port"]["$"].as_u64().and_then(|port| u16::try_from(port).ok()).unwrap_or(0),
        status: text(&body["status"]),
        overridden: "UNKNOWN".into(),
        dirty: text(&body["lastDirtyTimestamp"]).parse().unwrap_or(0),
        ..Registration::default()
    }
}

fn hash_code<'r>(all: impl Iterator<Item = &'r Registration>) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for registration in all {
        *counts.entry(&registration.status).or_default() += 1;
    }
    counts.iter().map(|(status, count)| format!("{status}_{count}_")).collect()
}

/// An instance in the JSON form of Eureka's servers, which use Jackson.
#[must_use]
pub fn instance(registration: &Registration) -> Value {
    let mut metadata = serde_json::Map::new();
    if registration.metadata.is_empty() {
        metadata.insert("@class".into(), "java.util.Collections$EmptyMap".into());
    }
    metadata.extend(registration.metadata.iter().map(|(key, value)| (key.clone(), value.as_str().into())));
    json!({
        "instanceId": registration.id, "app": registration.app, "hostName": registration.ip,
        "ipAddr": registration.ip, "status": registration.status,
        "overriddenstatus": registration.overridden, "vipAddress": registration.app.to_ascii_lowercase(),
        "port": {"$": registration.port, "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"},
        "countryId": 1,
        "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
        "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": 90,
                      "registrationTimestamp": registration.registered,
                      "lastRenewalTimestamp": registration.updated, "evictionTimestamp": 0,
                      "serviceUpTimestamp": registration.registered},
        "metadata": metadata, "homePageUrl": format!("http://{}:{}/", registration.ip, registration.port),
        "isCoordinatingDiscoveryServer": "false", "lastUpdatedTimestamp": registration.updated.to_string(),
        "lastDirtyTimestamp": registration.dirty.to_string(), "actionType": registration.action})
}

fn as_json(instances: &[Registration], hash: &str, unwrap_single: bool) -> Value {
    let mut apps: BTreeMap<&str, Vec<Value>> = BTreeMap::new();
    for registration in instances {
        apps.entry(&registration.app).or_default().push(instance(registration));
    }
    let unwrap = |mut list: Vec<Value>| {
        if unwrap_single && list.len() == 1 { list.remove(0) } else { Value::from(list) }
    };
    let apps = apps.into_iter().map(|(name, all)| json!({"name": name, "instance": unwrap(all)}));
    json!({"applications": {"versions__delta": "1", "apps__hashcode": hash, "application": unwrap(apps.collect())}})
}

fn as_xml(instances: &[Registration], hash: &str) -> String {
    let escape = |text: &str| text.replace('&', "&amp;").replace('<', "&lt;");
    let mut apps: BTreeMap<&str, String> = BTreeMap::new();
    for registration in instances {
        let metadata: String = registration
            .metadata
            .iter()
            .map(|(key, value)| format!("<{key}>{}</{key}>", escape(value)))
            .collect();
        *apps.entry(&registration.app).or_default() += &format!(
            "<instance><instanceId>{}</instanceId><hostName>{ip}</hostName><app>{}</app><ipAddr>{ip}</ipAddr>\
             <status>{}</status><overriddenstatus>{}</overriddenstatus><port enabled=\"true\">{}</port>\
             <securePort enabled=\"false\">443</securePort><countryId>1</countryId>\
             <dataCenterInfo class=\"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo\"><name>MyOwn</name>\
             </dataCenterInfo><leaseInfo><registrationTimestamp>{}</registrationTimestamp></leaseInfo>\
             <metadata>{metadata}</metadata><lastUpdatedTimestamp>{}</lastUpdatedTimestamp>\
             <lastDirtyTimestamp>{}</lastDirtyTimestamp><actionType>{}</actionType></instance>",
            escape(&registration.id),
            registration.app,
            registration.status,
            registration.overridden,
            registration.port,
            registration.registered,
            registration.updated,
            registration.dirty,
            registration.action,
            ip = registration.ip
        );
    }
    let apps =
        apps.iter().map(|(name, all)| format!("<application><name>{name}</name>{all}</application>\n"));
    let apps: String = apps.collect();
    format!(
        "<?xml version=\"1.0\"?>\n<!-- a <comment> -->\n<applications>\n<versions__delta>1</versions__delta><apps__hashcode>{hash}</apps__hashcode>\n{apps}</applications>\n"
    )
}
