//! What the daemon is told: its configuration and the lists of discovery, decoded into plain types.
//! Keys that mean nothing here are ignored.

use linnetdeal_core::membership::{Claim, ClaimVersion, SourceUpdate};
use linnetdeal_core::settings::{Pairs, Unused, span_from_ms};
use linnetdeal_core::*;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// With fewer descriptors there are none for clients and servers beside those that the process itself needs.
const LEAST_SOCKETS: usize = 16;

/// Settings that this host puts aside, whatever they say, and why. `Config::decode` does so.
pub const PUT_ASIDE: [(&str, &str); 2] = [
    ("Discovery", "the list is watched, whoever says that it is pushed or asked for"),
    ("FamilyInfo.Zero", "positions on sockets are Unix times"),
];

/// Why the configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration {path}: {error}")]
    Read {
        /// Its path.
        path: String,
        /// What went wrong.
        error: std::io::Error,
    },
    /// It is not the JSON that was expected; the error has the line and column.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// The file at a path is wrong.
    #[error("{path}: {error}")]
    In {
        /// The path.
        path: String,
        /// What is wrong.
        error: Box<ConfigError>,
    },
    /// The settings lack something.
    #[error("configuration: {0}")]
    Settings(String),
    /// The seed is no hexadecimal number.
    #[error("configuration: seed '{0}' is no hexadecimal number")]
    Seed(String),
}

/// The configuration of a pooler.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers; `None` where members are known from elsewhere.
    pub discovery: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// The descriptors that the process may hold.
    pub sockets: usize,
    /// The list of servers as last held.
    pub known: ServerList,
    /// Where other poolers reach this one, and all of them in the order of their numbers; none where they don't talk.
    pub peers: Option<PeerAddresses>,
    /// Where the people on call reach it; nowhere by default.
    pub operator: Option<SocketAddr>,
    /// What the module is told.
    pub settings: Settings,
    /// What the sockets are told.
    pub host: HostSettings,
}

/// Where poolers reach each other with datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddresses {
    /// The own address.
    pub listen: SocketAddr,
    /// All poolers, this one included, by their numbers.
    pub each: Vec<SocketAddr>,
    /// Reaches every pooler of the tier.
    pub all: Option<SocketAddr>,
}

/// The settings that concern the host rather than the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// A connection that is not up after this has failed.
    pub dial_timeout: Duration,
    /// Servers close connections idle for this.
    pub keepalive: Duration,
    /// The longest deadline of any class.
    pub longest_deadline: Duration,
    /// What load reports hold, by name.
    pub report: Vec<(String, Field)>,
}

/// What of a configuration's settings has no effect on this program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NoEffect {
    /// Known settings that nothing goes by.
    pub unused: Vec<Unused>,
    /// Keys that no schema names.
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
struct Limits {
    #[serde(default = "Limits::sockets")]
    sockets: usize,
}

impl Limits {
    fn sockets() -> usize {
        1_024
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self { sockets: Self::sockets() }
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
        let inside = |error| ConfigError::In { path: path.display().to_string(), error: Box::new(error) };
        let mut config = Self::decode(&text).map_err(inside)?;
        // Told to each process by itself, so that two of them can be called while one takes the other's place.
        if let Ok(own) = std::env::var("GW_OPERATOR") {
            let wrong = |_| ConfigError::Settings(format!("GW_OPERATOR '{own}' is no address"));
            config.operator = Some(own.trim().parse().map_err(wrong)?);
        }
        Ok(config)
    }

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// When it is not what `DEPLOY` describes, or a setting is missing or unreadable.
    pub fn decode(text: &str) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let (mut settings, host) = decode_settings(&Pairs::from_json(&file.settings))?;
        if settings.max_attempts == 0 {
            return Err(ConfigError::Settings("setting Limits.SendCap is not above 0".to_owned()));
        }
        if file.limits.sockets < LEAST_SOCKETS {
            let words = format!("limits.sockets {} is under {LEAST_SOCKETS}", file.limits.sockets);
            return Err(ConfigError::Settings(words));
        }
        // The two of `PUT_ASIDE`. Positions on sockets are Unix times, and so is the clock of this host.
        settings.zero = Time(0);
        // This host keeps the list followed by itself.
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
        let talks = settings.peers && settings.fleet as usize == each.len();
        let peers = peer_listen.filter(|_| talks);
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

impl NoEffect {
    /// Of the configuration at `path`.
    ///
    /// # Errors
    ///
    /// When it can't be read or is no configuration.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        Self::of(&read(path)?)
    }

    /// Of a configuration.
    ///
    /// # Errors
    ///
    /// When it is no configuration.
    pub fn of(text: &str) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let pairs = Pairs::from_json(&file.settings);
        let mut unused = pairs.unused();
        let aside = PUT_ASIDE.into_iter().filter(|(path, _)| pairs.keys().any(|key| key == *path));
        unused.extend(aside.map(|(path, why)| Unused { path: path.to_owned(), why }));
        unused.sort();
        Ok(Self { unused, unknown: pairs.unknown().into_iter().map(str::to_owned).collect() })
    }
}

/// What the module is told and what the sockets are, as the pairs have it.
///
/// # Errors
///
/// When a setting is missing or unreadable.
pub fn decode_settings(pairs: &Pairs) -> Result<(Settings, HostSettings), ConfigError> {
    let settings = pairs.settings().map_err(ConfigError::Settings)?;
    Ok((settings, HostSettings::decode(pairs).map_err(ConfigError::Settings)?))
}

impl HostSettings {
    fn decode(pairs: &Pairs) -> Result<Self, String> {
        let time = |key: &str, absent| Ok::<_, String>(duration(span_from_ms(pairs.number_or(key, absent)?)));
        let positive = |key: &str, time: Duration| {
            if time.is_zero() { Err(format!("setting {key} is not above 0")) } else { Ok(time) }
        };
        let mut longest_deadline = Duration::ZERO;
        for at in 0..pairs.number("Lanes.count")? as usize {
            let key = format!("Lanes.{at}.Deadline");
            pairs.number(&key)?;
            longest_deadline = longest_deadline.max(positive(&key, time(&key, 0.0)?)?);
        }
        let names = pairs.text("Report.Fields").unwrap_or("").split(',').filter(|name| !name.is_empty());
        Ok(Self {
            dial_timeout: positive("Limits.DialTimeout", time("Limits.DialTimeout", 250.0)?)?,
            keepalive: time("Limits.Keepalive", 30_000.0)?,
            longest_deadline,
            report: names.map(|name| (name.to_owned(), Field::named(name))).collect(),
        })
    }
}

/// The span as the standard library has it; none for a negative one.
#[must_use]
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(u64::try_from(span.0).unwrap_or(0))
}

/// The time as the module has it.
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
    /// Whether it is the whole list.
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
    /// Who it is, at every pooler and after a restart. Addresses may differ between poolers.
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
    /// Who it is.
    #[must_use]
    pub fn member(&self) -> MemberId {
        MemberId(Arc::from(self.instance_id.as_str()))
    }

    /// Where it listens, as far as the entry tells.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.host_port.parse().ok()
    }

    /// Its state. One that is not known here gets nothing new, as if it drained.
    #[must_use]
    pub fn state(&self) -> ListState {
        match self.lifecycle.as_str() {
            "up" => ListState::Healthy,
            "removed" => ListState::Gone,
            _ => ListState::Draining,
        }
    }

    /// What the entry says, as the message of this number.
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
    /// What the list says, as the message of this number. The platform's messages come in order and are believed.
    #[must_use]
    pub fn news(&self, number: i64, whole: bool) -> SourceUpdate {
        let claims = self.instances.iter().map(|server| server.claim(number)).collect();
        if whole || self.reset {
            SourceUpdate::Full { claims, view: number }
        } else {
            SourceUpdate::Changes(claims)
        }
    }
}
