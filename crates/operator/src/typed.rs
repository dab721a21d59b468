//! The settings as Rust types, with the checks that the schema can't express, such as valid network prefixes and limits
//! that must be consistent with each other.

mod leases;
mod work;

use crate::eval::{Diagnostic, Location, Tree};
use ipnet::IpNet;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use leases::RawLeases;
pub use leases::{HolderCall, LeaseSettings, Task};
use work::RawWork;
pub use work::{OutLimits, WorkSettings};

/// All settings of an operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// The service registry to follow, if any.
    pub registry: Option<RegistrySettings>,
    /// Leases, for tasks that one pooler of the fleet executes at a time.
    pub leases: Option<LeaseSettings>,
    /// Limits of maintenance work, if the poolers coordinate it.
    pub work: Option<WorkSettings>,
    /// Expected durations of primary changes.
    pub primary: PrimarySettings,
    /// Logging to standard error.
    pub log: LogSettings,
}

/// Expected duration of a primary change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryChangeSettings {
    /// No change takes less time.
    pub minimum: Duration,
    /// Most changes take no more time.
    pub typical: Duration,
}

/// Expected durations of primary changes, used until the pooler has observed two changes of the kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimarySettings {
    /// Planned changes (handovers).
    pub planned: Option<PrimaryChangeSettings>,
    /// Unplanned changes (failovers).
    pub unplanned: Option<PrimaryChangeSettings>,
}

/// What is read from a registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReadMode {
    /// Everything once, then changes only.
    #[default]
    Delta,
    /// Everything, each time.
    Full,
    /// One application, each time.
    App,
    /// One virtual address, each time.
    Vip,
}

/// A service registry that speaks Eureka's REST API.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// The registry's servers, in the order in which they are tried.
    pub servers: Vec<Server>,
    /// The applications whose instances are the members.
    pub apps: Vec<String>,
    /// The networks in which members may be. Instances elsewhere are ignored, so nothing is sent to them.
    pub networks: Vec<Network>,
    /// What is read.
    pub read: ReadMode,
    /// The virtual address to read; empty except with [`ReadMode::Vip`].
    pub vip: String,
    /// The polling interval.
    pub interval: Duration,
    /// The timeout of a call.
    pub timeout: Duration,
    /// The maximum pause between attempts while all registry servers fail.
    pub max_pause: Duration,
    /// Maximum size of a response body in bytes.
    pub max_body_bytes: u64,
    /// The share of the members in service that a list may lack. A list that lacks more is suspect.
    pub lost_share: f64,
    /// How long lists must have been suspect before one is accepted; `None` if never.
    pub believe_after: Option<Duration>,
    /// Whether removing a status override in the registry ends the drain. Otherwise a newer registration does.
    pub override_removal_ends_drain: bool,
    /// The keys of the instances' metadata.
    pub metadata: Metadata,
    /// The metadata value that marks a primary.
    pub primary_value: String,
    /// The group of instances that name none.
    pub default_group: Option<i64>,
    /// Whether members are reached on their secure port.
    pub secure_port: bool,
    /// Credentials for calls to the registry.
    pub credentials: Option<Credentials>,
    /// The file of the certificate authorities for the registry's TLS certificates.
    pub ca: Option<PathBuf>,
    /// The files of the client certificate and its key.
    pub identity: Option<(PathBuf, PathBuf)>,
    /// How this pooler registers itself, if it does.
    pub registration: Option<Registration>,
}

/// A server of a registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The server's URL.
    pub url: String,
    /// The address, required if the URL's host is a name: names are not looked up.
    pub address: Option<SocketAddr>,
}

/// A network in which members may be, with its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Network {
    /// The network prefix.
    pub prefix: IpNet,
    /// The zone of members in this network, if known.
    pub zone: Option<String>,
}

/// The metadata keys that hold an instance's properties.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Metadata {
    /// Key of the group.
    pub group: String,
    /// Key of the zone.
    pub zone: String,
    /// Key of the role.
    pub role: String,
    /// Key of the time of the last start.
    pub started: String,
}

/// User name and password for calls to the registry.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Credentials {
    /// The user name.
    pub name: String,
    /// The file with the password.
    pub password_file: PathBuf,
}

/// How the pooler registers itself in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The application name.
    pub app: String,
    /// The instance id. The default is the pooler's name and listening address.
    pub id: Option<String>,
    /// How often the registration is renewed.
    pub renew_interval: Duration,
    /// How long the registration is valid without renewal.
    pub lease_duration: Duration,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Logging to standard error.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LogSettings {
    /// The minimum level: `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// The format of lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".into(), format: LogFormat::Text }
    }
}

#[derive(Deserialize)]
struct RawFile {
    registry: Option<RawRegistry>,
    leases: Option<RawLeases>,
    work: Option<RawWork>,
    primary: RawPrimary,
    log: LogSettings,
}

#[derive(Deserialize)]
struct RawPrimary {
    planned: Option<RawChange>,
    unplanned: Option<RawChange>,
}

#[derive(Deserialize)]
struct RawChange {
    least: String,
    usual: String,
}

#[derive(Deserialize)]
struct RawRegistry {
    servers: Vec<RawServer>,
    apps: Vec<String>,
    networks: Vec<RawNetwork>,
    read: ReadMode,
    vip: String,
    interval: String,
    patience: String,
    longest_pause: String,
    most_body: String,
    lost_share: f64,
    believe_after: String,
    lifts: String,
    metadata: Metadata,
    primary: String,
    group: Option<i64>,
    secure_port: bool,
    user: Option<Credentials>,
    ca: Option<PathBuf>,
    identity: Option<RawIdentity>,
    register: Option<RawRegistration>,
}

#[derive(Deserialize)]
struct RawServer {
    url: String,
    at: Option<String>,
}

#[derive(Deserialize)]
struct RawNetwork {
    prefix: String,
    zone: String,
}

#[derive(Deserialize)]
struct RawIdentity {
    certificate: PathBuf,
    key: PathBuf,
}

#[derive(Deserialize)]
struct RawRegistration {
    app: String,
    id: Option<String>,
    renew: String,
    expires: String,
}

/// Checks values and collects the errors, each with its path.
struct Validator<'t> {
    tree: &'t Tree,
    diagnostics: Vec<Diagnostic>,
}

impl Validator<'_> {
    fn report(&mut self, path: &str, message: impl Into<String>) {
        self.diagnostics.push(self.tree.diagnostic(path, message.into()));
    }

    /// Parses a duration, which the schema has checked to be a number with a unit, and checks its range.
    fn duration(&mut self, path: &str, text: &str, range: (Duration, Duration)) -> Duration {
        let unit_start = text.find(|character: char| !character.is_ascii_digit()).unwrap_or(text.len());
        let number: u64 = text[..unit_start].parse().unwrap_or(0);
        let ms = match &text[unit_start..] {
            "ms" => number,
            "s" => number * 1_000,
            "m" => number * 60_000,
            _ => number * 3_600_000,
        };
        let duration = Duration::from_millis(ms);
        if duration < range.0 || duration > range.1 {
            self.report(path, format!("{text} is not between {:?} and {:?}", range.0, range.1));
        }
        duration
    }
}

const SECOND: Duration = Duration::from_secs(1);
const DAY: Duration = Duration::from_secs(86_400);
const HOUR: Duration = Duration::from_secs(3_600);
const MAX_SERVERS: usize = 16;
const MAX_NETWORKS: usize = 10_000;

pub(crate) fn decode(tree: &Tree) -> Result<OperatorSettings, Vec<Diagnostic>> {
    let raw: RawFile = serde_json::from_value(tree.value.clone())
        .map_err(|error| vec![Diagnostic { location: Location::default(), message: error.to_string() }])?;
    let mut validator = Validator { tree, diagnostics: Vec::new() };
    let registry = raw.registry.map(|raw| decode_registry(raw, &mut validator));
    let leases = raw.leases.map(|raw| leases::decode(raw, &mut validator));
    let work = raw.work.map(|raw| work::decode(raw, leases.as_ref(), &mut validator));
    let primary = PrimarySettings {
        planned: raw.primary.planned.map(|raw| decode_change("primary.planned", &raw, &mut validator)),
        unplanned: raw.primary.unplanned.map(|raw| decode_change("primary.unplanned", &raw, &mut validator)),
    };
    validator.diagnostics.sort();
    if validator.diagnostics.is_empty() {
        Ok(OperatorSettings { registry, leases, work, primary, log: raw.log })
    } else {
        Err(validator.diagnostics)
    }
}

fn decode_change(path: &str, raw: &RawChange, validator: &mut Validator<'_>) -> PrimaryChangeSettings {
    let range = (Duration::from_millis(1), HOUR);
    let minimum = validator.duration(&format!("{path}.least"), &raw.least, range);
    let typical = validator.duration(&format!("{path}.usual"), &raw.usual, range);
    if typical < minimum {
        validator.report(&format!("{path}.usual"), "it is shorter than 'least'");
    }
    PrimaryChangeSettings { minimum, typical }
}

fn decode_registry(raw: RawRegistry, validator: &mut Validator<'_>) -> RegistrySettings {
    for (field, count, max) in [
        ("servers", raw.servers.len(), MAX_SERVERS),
        ("apps", raw.apps.len(), 256),
        ("networks", raw.networks.len(), MAX_NETWORKS),
    ] {
        if count == 0 || count > max {
            validator
                .report(&format!("registry.{field}"), format!("{count} are named, 1 to {max} are allowed"));
        }
    }
    let mut servers: Vec<Server> = Vec::new();
    for (index, server) in raw.servers.into_iter().enumerate() {
        let path = format!("registry.servers[{index}]");
        let address = server.at.as_ref().map(|text| text.parse::<SocketAddr>());
        if let Some(Err(error)) = &address {
            validator.report(&format!("{path}.at"), format!("{error}"));
        }
        if servers.iter().any(|other| other.url == server.url) {
            validator.report(&format!("{path}.url"), "it is named twice");
        }
        servers.push(Server { url: server.url, address: address.and_then(Result::ok) });
    }
    let mut networks: Vec<Network> = Vec::new();
    let mut seen = std::collections::HashSet::new();
    for (index, network) in raw.networks.into_iter().enumerate() {
        let path = format!("registry.networks[{index}].prefix");
        match network.prefix.parse::<IpNet>() {
            Ok(prefix) if prefix.trunc() != prefix => {
                validator.report(
                    &path,
                    format!("{prefix} has bits set beyond its prefix length; use {}", prefix.trunc()),
                );
            }
            Ok(prefix) if !seen.insert(prefix) => validator.report(&path, format!("{prefix} is named twice")),
            Ok(prefix) => {
                networks.push(Network { prefix, zone: Some(network.zone).filter(|zone| !zone.is_empty()) });
            }
            Err(error) => validator.report(&path, error.to_string()),
        }
    }
    if raw.read == ReadMode::App && raw.apps.len() > 1 {
        validator.report("registry.read", "\"app\" reads a single application, but several are named");
    }
    if (raw.read == ReadMode::Vip) == raw.vip.is_empty() {
        validator.report("registry.vip", "it goes with read: \"vip\", and with nothing else");
    }
    let believe_after = match raw.believe_after.as_str() {
        "never" => None,
        text => Some(validator.duration("registry.believe_after", text, (SECOND, 30 * DAY))),
    };
    let interval = validator.duration("registry.interval", &raw.interval, (SECOND / 10, HOUR));
    let registration = raw.register.map(|raw_registration| {
        let renew_interval =
            validator.duration("registry.register.renew", &raw_registration.renew, (SECOND, HOUR));
        let lease_duration =
            validator.duration("registry.register.expires", &raw_registration.expires, (SECOND, DAY));
        if lease_duration < renew_interval * 2 {
            validator.report(
                "registry.register.expires",
                "one renewal that is lost must not end it: use at least twice 'renew'",
            );
        }
        Registration { app: raw_registration.app, id: raw_registration.id, renew_interval, lease_duration }
    });
    let (number, unit) = raw.most_body.split_at(raw.most_body.len() - 2);
    let max_body_bytes =
        number.parse::<u64>().unwrap_or(0) * if unit == "KB" { 1_024 } else { 1_024 * 1_024 };
    if !(64 * 1_024..=1_024 * 1_024 * 1_024).contains(&max_body_bytes) {
        validator.report("registry.most_body", "it is not between 64KB and 1024MB");
    }
    RegistrySettings {
        servers,
        apps: raw.apps,
        networks,
        read: raw.read,
        vip: raw.vip,
        interval,
        timeout: validator.duration("registry.patience", &raw.patience, (SECOND / 10, 10 * 60 * SECOND)),
        max_pause: validator.duration("registry.longest_pause", &raw.longest_pause, (SECOND / 10, HOUR)),
        max_body_bytes,
        lost_share: raw.lost_share,
        believe_after,
        override_removal_ends_drain: raw.lifts == "override",
        metadata: raw.metadata,
        primary_value: raw.primary,
        default_group: raw.group,
        secure_port: raw.secure_port,
        credentials: raw.user,
        ca: raw.ca,
        identity: raw.identity.map(|identity| (identity.certificate, identity.key)),
        registration,
    }
}
