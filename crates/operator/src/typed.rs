//! The file as plain types, with what a schema can't check: that networks are networks and bounds fit one another.

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

/// What an operator wants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// The registry that is followed, if one is.
    pub registry: Option<RegistrySettings>,
    /// Tasks of the whole fleet, where there are any.
    pub leases: Option<LeaseSettings>,
    /// Machines out for work, where the poolers see to it.
    pub work: Option<WorkSettings>,
    /// What is known of changes of primary.
    pub primary: PrimarySettings,
    /// What is written to standard error.
    pub log: LogSettings,
}

/// How long a change of primary takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryChangeSettings {
    /// None is over sooner.
    pub minimum: Duration,
    /// Most are over by then.
    pub typical: Duration,
}

/// What is known of changes of primary before any was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimarySettings {
    /// Of those by plan.
    pub planned: Option<PrimaryChangeSettings>,
    /// Of all others.
    pub unplanned: Option<PrimaryChangeSettings>,
}

/// What is asked of a registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReadMode {
    /// All, and then what changes.
    #[default]
    Delta,
    /// All, each time.
    Full,
    /// One application, each time.
    App,
    /// One virtual address, each time.
    Vip,
}

/// A registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// Its servers.
    pub servers: Vec<Server>,
    /// The applications whose instances are boxes.
    pub apps: Vec<String>,
    /// Where boxes may lie.
    pub networks: Vec<Network>,
    /// What is asked for.
    pub read: ReadMode,
    /// The virtual address, where that is read.
    pub vip: String,
    /// How often it is asked.
    pub interval: Duration,
    /// How long a call may take.
    pub timeout: Duration,
    /// The longest pause while all servers fail.
    pub max_pause: Duration,
    /// A larger body is not read, in bytes.
    pub max_body_bytes: u64,
    /// The share of boxes in service that a list may lack and still be believed.
    pub lost_share: f64,
    /// For how long a list has to tell the same until it is believed; `None` for ever.
    pub believe_after: Option<Duration>,
    /// Whether an override that is taken back lifts a drain.
    pub override_removal_ends_drain: bool,
    /// The metadata keys.
    pub metadata: Metadata,
    /// The role of a primary.
    pub primary_value: String,
    /// The group of who names none.
    pub default_group: Option<i64>,
    /// Whether boxes are reached on their secure port.
    pub secure_port: bool,
    /// Who calls.
    pub credentials: Option<Credentials>,
    /// Who may vouch for servers.
    pub ca: Option<PathBuf>,
    /// The own certificate and key.
    pub identity: Option<(PathBuf, PathBuf)>,
    /// What this pooler says of itself.
    pub registration: Option<Registration>,
}

/// A server of a registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its URL.
    pub url: String,
    /// Where a host that is a name listens.
    pub address: Option<SocketAddr>,
}

/// A network with its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Network {
    /// The network.
    pub prefix: IpNet,
    /// The zone of what lies in it, where that is known.
    pub zone: Option<String>,
}

/// The keys of an instance's metadata.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Metadata {
    /// Of the group.
    pub group: String,
    /// Of the zone.
    pub zone: String,
    /// Of the role.
    pub role: String,
    /// Of the last start.
    pub started: String,
}

/// Who calls, by name and password.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Credentials {
    /// The name.
    pub name: String,
    /// The file that holds the password.
    pub password_file: PathBuf,
}

/// What the pooler says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Its application.
    pub app: String,
    /// Its id; by default its name and where it listens.
    pub id: Option<String>,
    /// How often it renews that.
    pub renew_interval: Duration,
    /// After how long without that it may be dropped.
    pub lease_duration: Duration,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is written to standard error.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LogSettings {
    /// The least level: `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// How lines are written.
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
    register: Option<RawOwn>,
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
struct RawOwn {
    app: String,
    id: Option<String>,
    renew: String,
    expires: String,
}

/// Collects what is wrong, by path.
struct Checker<'t> {
    tree: &'t Tree,
    faults: Vec<Diagnostic>,
}

impl Checker<'_> {
    fn fault(&mut self, path: &str, what: impl Into<String>) {
        self.faults.push(self.tree.diagnostic(path, what.into()));
    }

    fn duration(&mut self, path: &str, text: &str, range: (Duration, Duration)) -> Duration {
        let unit = text.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(text.len());
        let number: u64 = text[..unit].parse().unwrap_or(0);
        let ms = match &text[unit..] {
            "ms" => number,
            "s" => number * 1_000,
            "m" => number * 60_000,
            _ => number * 3_600_000,
        };
        let duration = Duration::from_millis(ms);
        if duration < range.0 || duration > range.1 {
            self.fault(path, format!("{text} is not between {:?} and {:?}", range.0, range.1));
        }
        duration
    }
}

const SECOND: Duration = Duration::from_secs(1);
const DAY: Duration = Duration::from_secs(86_400);
const HOUR: Duration = Duration::from_secs(3_600);
const MOST_SERVERS: usize = 16;
const MOST_NETWORKS: usize = 10_000;

pub(crate) fn decode(tree: &Tree) -> Result<OperatorSettings, Vec<Diagnostic>> {
    let raw: RawFile = serde_json::from_value(tree.value.clone())
        .map_err(|error| vec![Diagnostic { location: Location::default(), message: error.to_string() }])?;
    let mut check = Checker { tree, faults: Vec::new() };
    let registry = raw.registry.map(|raw| registry(raw, &mut check));
    let leases = raw.leases.map(|raw| leases::decode(raw, &mut check));
    let work = raw.work.map(|raw| work::decode(raw, leases.as_ref(), &mut check));
    let primary = PrimarySettings {
        planned: raw.primary.planned.map(|raw| change("primary.planned", &raw, &mut check)),
        unplanned: raw.primary.unplanned.map(|raw| change("primary.unplanned", &raw, &mut check)),
    };
    check.faults.sort();
    if check.faults.is_empty() {
        Ok(OperatorSettings { registry, leases, work, primary, log: raw.log })
    } else {
        Err(check.faults)
    }
}

fn change(path: &str, raw: &RawChange, check: &mut Checker<'_>) -> PrimaryChangeSettings {
    let range = (Duration::from_millis(1), HOUR);
    let minimum = check.duration(&format!("{path}.least"), &raw.least, range);
    let typical = check.duration(&format!("{path}.usual"), &raw.usual, range);
    if typical < minimum {
        check.fault(&format!("{path}.usual"), "it is shorter than 'least'");
    }
    PrimaryChangeSettings { minimum, typical }
}

fn registry(raw: RawRegistry, check: &mut Checker<'_>) -> RegistrySettings {
    for (what, count, most) in [
        ("servers", raw.servers.len(), MOST_SERVERS),
        ("apps", raw.apps.len(), 256),
        ("networks", raw.networks.len(), MOST_NETWORKS),
    ] {
        if count == 0 || count > most {
            check.fault(&format!("registry.{what}"), format!("{count} are named, and 1 to {most} can be"));
        }
    }
    let mut servers: Vec<Server> = Vec::new();
    for (at, server) in raw.servers.into_iter().enumerate() {
        let path = format!("registry.servers[{at}]");
        let address = server.at.as_ref().map(|text| text.parse::<SocketAddr>());
        if let Some(Err(error)) = &address {
            check.fault(&format!("{path}.at"), format!("{error}"));
        }
        if servers.iter().any(|other| other.url == server.url) {
            check.fault(&format!("{path}.url"), "it is named twice");
        }
        servers.push(Server { url: server.url, address: address.and_then(Result::ok) });
    }
    let mut networks: Vec<Network> = Vec::new();
    let mut seen = std::collections::HashSet::new();
    for (at, network) in raw.networks.into_iter().enumerate() {
        let path = format!("registry.networks[{at}].prefix");
        match network.prefix.parse::<IpNet>() {
            Ok(prefix) if prefix.trunc() != prefix => {
                check.fault(
                    &path,
                    format!("{prefix} has bits set behind its length; {} is meant", prefix.trunc()),
                );
            }
            Ok(prefix) if !seen.insert(prefix) => check.fault(&path, format!("{prefix} is named twice")),
            Ok(prefix) => {
                networks.push(Network { prefix, zone: Some(network.zone).filter(|zone| !zone.is_empty()) });
            }
            Err(error) => check.fault(&path, error.to_string()),
        }
    }
    if raw.read == ReadMode::App && raw.apps.len() > 1 {
        check.fault("registry.read", "\"app\" reads one application, and several are named");
    }
    if (raw.read == ReadMode::Vip) == raw.vip.is_empty() {
        check.fault("registry.vip", "it goes with read: \"vip\", and with nothing else");
    }
    let believe_after = match raw.believe_after.as_str() {
        "never" => None,
        text => Some(check.duration("registry.believe_after", text, (SECOND, 30 * DAY))),
    };
    let interval = check.duration("registry.interval", &raw.interval, (SECOND / 10, HOUR));
    let registration = raw.register.map(|own| {
        let renew_interval = check.duration("registry.register.renew", &own.renew, (SECOND, HOUR));
        let lease_duration = check.duration("registry.register.expires", &own.expires, (SECOND, DAY));
        if lease_duration < renew_interval * 2 {
            check.fault(
                "registry.register.expires",
                "one renewal that is lost must not end it: twice 'renew' at least",
            );
        }
        Registration { app: own.app, id: own.id, renew_interval, lease_duration }
    });
    let (number, unit) = raw.most_body.split_at(raw.most_body.len() - 2);
    let max_body_bytes =
        number.parse::<u64>().unwrap_or(0) * if unit == "KB" { 1_024 } else { 1_024 * 1_024 };
    if !(64 * 1_024..=1_024 * 1_024 * 1_024).contains(&max_body_bytes) {
        check.fault("registry.most_body", "between 64KB and 1024MB");
    }
    RegistrySettings {
        servers,
        apps: raw.apps,
        networks,
        read: raw.read,
        vip: raw.vip,
        interval,
        timeout: check.duration("registry.patience", &raw.patience, (SECOND / 10, 10 * 60 * SECOND)),
        max_pause: check.duration("registry.longest_pause", &raw.longest_pause, (SECOND / 10, HOUR)),
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
