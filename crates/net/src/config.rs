//! The pooler's configuration and the lists of discovery, decoded into plain types. Unknown keys are ignored.

use linnetdeal_core::membership::{Claim, ClaimVersion, SourceUpdate};
use linnetdeal_core::settings::{Pairs, Unused, span_from_ms};
use linnetdeal_core::*;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// The unit of `limits.memory_mb`, in bytes.
pub const MEGABYTE: usize = 1_000_000;
/// Minimum number of descriptors. With fewer, none are left for clients and servers beside those that the
/// process itself needs.
const MIN_SOCKETS: usize = 16;

/// Settings that this program overrides whatever their value, with the reasons. [`Config::decode`] overrides them.
pub const OVERRIDDEN: [(&str, &str); 2] = [
    ("Discovery", "the list is watched, whoever says that it is pushed or asked for"),
    ("FamilyInfo.Zero", "positions on sockets are Unix times"),
];

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration {path}: {error}")]
    Read {
        /// Its path.
        path: String,
        /// The error of the file system.
        error: std::io::Error,
    },
    /// It is not valid JSON of the expected form; the error has the line and column.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// The content of the file at a path is invalid.
    #[error("{path}: {error}")]
    InFile {
        /// The path.
        path: String,
        /// The error in its content.
        error: Box<ConfigError>,
    },
    /// A setting is missing or invalid.
    #[error("configuration: {0}")]
    Settings(String),
    /// The seed is not a hexadecimal number.
    #[error("configuration: seed '{0}' is not a hexadecimal number")]
    Seed(String),
}

/// The configuration of a pooler.
#[derive(Clone, Debug)]
pub struct Config {
    /// The pooler's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery; `None` if the members are known from another source.
    pub discovery: Option<SocketAddr>,
    /// The seed of the random numbers.
    pub seed: u64,
    /// Maximum number of descriptors that the process may hold.
    pub sockets: usize,
    /// Maximum amount of memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The list of servers to start with.
    pub known: ServerList,
    /// The addresses for datagrams between poolers; `None` if the settings allow none, or not all poolers are
    /// named.
    pub peers: Option<PeerAddresses>,
    /// The address of the operators' API; none by default.
    pub operator: Option<SocketAddr>,
    /// The router's settings.
    pub settings: Settings,
    /// The settings of the sockets.
    pub host: HostSettings,
}

/// The addresses for datagrams between poolers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddresses {
    /// This pooler's address.
    pub listen: SocketAddr,
    /// The addresses of all poolers, this one included, in the order of their numbers.
    pub each: Vec<SocketAddr>,
    /// An address that reaches all poolers at once.
    pub all: Option<SocketAddr>,
}

/// The settings that concern the sockets rather than the router.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Timeout for opening a connection to a server.
    pub dial_timeout: Duration,
    /// Servers close connections that are idle for this long.
    pub keepalive: Duration,
    /// The longest deadline of any class.
    pub longest_deadline: Duration,
    /// The fields of load reports, by name, in their order.
    pub report: Vec<(String, Field)>,
}

/// The settings of a configuration that have no effect on this program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IneffectiveSettings {
    /// Known settings that are not used, with the reasons.
    pub unused: Vec<Unused>,
    /// Keys that are not in the schema.
    pub unknown: Vec<String>,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: ServerList,
    #[serde(default)]
    operator: Option<SocketAddr>,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    /// The limits of a configuration that gives none.
    fn default() -> Self {
        Self { sockets: 1_024, memory_mb: 192 }
    }
}

impl Config {
    /// Reads the configuration at `path`.
    ///
    /// # Errors
    ///
    /// When it can't be read or decoded.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = read(path)?;
        let in_file =
            |error| ConfigError::InFile { path: path.display().to_string(), error: Box::new(error) };
        let mut config = Self::decode(&text).map_err(in_file)?;
        // Given to each process separately, so that both can be called while one succeeds the other.
        if let Ok(address_text) = std::env::var("GW_OPERATOR") {
            let invalid =
                |_| ConfigError::Settings(format!("GW_OPERATOR '{address_text}' is not an address"));
            config.operator = Some(address_text.trim().parse().map_err(invalid)?);
        }
        Ok(config)
    }

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// When it does not have the documented form, or a setting is missing or invalid.
    pub fn decode(text: &str) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let (mut settings, host) = decode_settings(&Pairs::from_json(&file.settings))?;
        if settings.max_attempts == 0 {
            return Err(ConfigError::Settings("setting Limits.SendCap is not above 0".to_owned()));
        }
        if file.limits.sockets < MIN_SOCKETS {
            let message = format!("limits.sockets {} is under {MIN_SOCKETS}", file.limits.sockets);
            return Err(ConfigError::Settings(message));
        }
        if file.limits.memory_mb == 0 {
            return Err(ConfigError::Settings("limits.memory_mb is not above 0".to_owned()));
        }
        // The settings of `OVERRIDDEN`. Positions on sockets are Unix times, and so is the clock of this process.
        settings.zero = Time(0);
        // The list is followed by this program itself.
        settings.discovery = Discovery::Push;
        let seed = match &file.seed {
            Value::Null => 0,
            Value::Number(number) => number.as_u64().unwrap_or(0),
            other => {
                let text = other.as_str().unwrap_or("");
                u64::from_str_radix(text, 16).map_err(|_| ConfigError::Seed(text.to_owned()))?
            }
        };
        let File {
            name,
            listen,
            discovery,
            limits,
            known,
            operator,
            peer_listen,
            peers: each,
            peers_all,
            ..
        } = file;
        let communicates = settings.peers && settings.fleet as usize == each.len();
        let peers = peer_listen.filter(|_| communicates);
        let peers = peers.map(|listen| PeerAddresses { listen, each, all: peers_all });
        settings.peers = peers.is_some();
        Ok(Self {
            operator,
            peers,
            name,
            listen,
            discovery,
            seed,
            sockets: limits.sockets,
            memory_bytes: limits.memory_mb.saturating_mul(MEGABYTE),
            known,
            settings,
            host,
        })
    }
}

fn read(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path)
        .map_err(|error| ConfigError::Read { path: path.display().to_string(), error })
}

impl IneffectiveSettings {
    /// Finds them in the configuration at `path`.
    ///
    /// # Errors
    ///
    /// When the file can't be read or is not a configuration.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        Self::find_in(&read(path)?)
    }

    /// Finds them in the text of a configuration.
    ///
    /// # Errors
    ///
    /// When it is not a configuration.
    pub fn find_in(text: &str) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let pairs = Pairs::from_json(&file.settings);
        let mut unused = pairs.unused();
        let overridden = OVERRIDDEN.into_iter().filter(|(path, _)| pairs.keys().any(|key| key == *path));
        unused.extend(overridden.map(|(path, why)| Unused { path: path.to_owned(), why }));
        unused.sort();
        Ok(Self { unused, unknown: pairs.unknown().into_iter().map(str::to_owned).collect() })
    }
}

/// Decodes the settings of the router and of the sockets.
///
/// # Errors
///
/// When a setting is missing or invalid.
pub fn decode_settings(pairs: &Pairs) -> Result<(Settings, HostSettings), ConfigError> {
    let settings = pairs.settings().map_err(ConfigError::Settings)?;
    Ok((settings, HostSettings::decode(pairs).map_err(ConfigError::Settings)?))
}

impl HostSettings {
    fn decode(pairs: &Pairs) -> Result<Self, String> {
        let duration_of =
            |key: &str, absent| Ok::<_, String>(duration(span_from_ms(pairs.number_or(key, absent)?)));
        let positive_duration = |key: &str, value: Duration| {
            if value.is_zero() { Err(format!("setting {key} is not above 0")) } else { Ok(value) }
        };
        let mut longest_deadline = Duration::ZERO;
        for index in 0..pairs.number("Lanes.count")? as usize {
            let key = format!("Lanes.{index}.Deadline");
            pairs.number(&key)?;
            longest_deadline = longest_deadline.max(positive_duration(&key, duration_of(&key, 0.0)?)?);
        }
        let names = pairs.text("Report.Fields").unwrap_or("").split(',').filter(|name| !name.is_empty());
        Ok(Self {
            dial_timeout: positive_duration("Limits.DialTimeout", duration_of("Limits.DialTimeout", 250.0)?)?,
            keepalive: duration_of("Limits.Keepalive", 30_000.0)?,
            longest_deadline,
            report: names.map(|name| (name.to_owned(), Field::named(name))).collect(),
        })
    }
}

/// Converts a span to the standard library's type; a negative one becomes zero.
#[must_use]
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(u64::try_from(span.0).unwrap_or(0))
}

/// Converts a duration to the router's type; it saturates.
#[must_use]
pub fn span_of(time: Duration) -> Span {
    Span(i64::try_from(time.as_micros()).unwrap_or(i64::MAX))
}

/// A list of servers, or the changes since an earlier one.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ServerList {
    /// Its version.
    #[serde(default)]
    pub generation: u64,
    /// Whether it is a full list rather than changes.
    #[serde(default)]
    pub reset: bool,
    /// The entries.
    #[serde(default)]
    pub instances: Vec<Server>,
}

/// One server of a list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Server {
    /// The server's id, the same at every pooler and after a restart. Addresses may differ between poolers.
    pub instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: Option<f64>,
    #[serde(default)]
    lifecycle: String,
    #[serde(default)]
    started_at_ms: Option<f64>,
    #[serde(default)]
    part: Option<String>,
}

impl Server {
    /// The server's id.
    #[must_use]
    pub fn member(&self) -> MemberId {
        MemberId(Arc::from(self.instance_id.as_str()))
    }

    /// The server's address, if the entry has a valid one.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.host_port.parse().ok()
    }

    /// The server's state. An unknown state counts as draining, so that the server gets no new requests.
    #[must_use]
    pub fn state(&self) -> ListState {
        match self.lifecycle.as_str() {
            "up" => ListState::Healthy,
            "removed" => ListState::Gone,
            _ => ListState::Draining,
        }
    }

    /// The entry as a claim, versioned by the number of its message.
    #[must_use]
    pub fn claim(&self, number: i64) -> Claim {
        Claim {
            member: self.member(),
            address: self.address(),
            group: self.cell.map(|cell| GroupId(cell as i64)),
            state: self.state(),
            primary: self.part.as_deref() == Some("master"),
            started: self.started_at_ms.filter(|ms| *ms > 0.0).map(|ms| Time(span_from_ms(ms).0)),
            zone: self.zone.clone(),
            machine: self.machine_type.clone(),
            version: ClaimVersion { stamp: number, ..ClaimVersion::default() },
        }
    }
}

impl ServerList {
    /// The list as an update of its source, versioned by the number of its message. The platform's messages
    /// arrive in order and are trusted.
    #[must_use]
    pub fn source_update(&self, number: i64, whole: bool) -> SourceUpdate {
        let claims = self.instances.iter().map(|server| server.claim(number)).collect();
        if whole || self.reset {
            SourceUpdate::Full { claims, view: number }
        } else {
            SourceUpdate::Changes(claims)
        }
    }
}
