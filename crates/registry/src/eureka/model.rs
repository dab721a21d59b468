//! An instance as Eureka's servers write it: JSON by Jackson or XML by XStream. Both put numbers into text, ports into
//! objects and lists of one into plain objects, so all values are read leniently; what must be there is checked here.
//!
//! Source: the wiki page "Eureka REST operations" and the schema given there.

use serde::Deserialize;
use serde::de::{self, MapAccess, Visitor};
use std::collections::BTreeMap;
use std::fmt;

/// A larger instance is not read.
pub const MAX_INSTANCE_BYTES: usize = 256 * 1024;

/// Why an instance can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InstanceError {
    /// It is no JSON or no XML of this kind.
    #[error("an instance that can't be read: {0}")]
    Malformed(String),
    /// It lacks a field, or has an unreadable one.
    #[error("instance '{id}': {field} is '{value}'")]
    InvalidField {
        /// The instance, as far as it was told.
        id: String,
        /// The field.
        field: &'static str,
        /// What it holds, cut to 64 characters.
        value: String,
    },
}

/// What a registry says of an instance's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// Down.
    Down,
    /// Taken out of service on purpose.
    OutOfService,
    /// Not ready yet.
    Starting,
    /// Not known.
    Unknown,
    /// In service.
    Up,
}

impl Status {
    /// All, in the order in which a hash code names them.
    pub const ALL: [Self; 5] = [Self::Down, Self::OutOfService, Self::Starting, Self::Unknown, Self::Up];

    /// As it is written.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Down => "DOWN",
            Self::OutOfService => "OUT_OF_SERVICE",
            Self::Starting => "STARTING",
            Self::Unknown => "UNKNOWN",
            Self::Up => "UP",
        }
    }

    /// The one that is written so; any other word counts as unknown, as in Eureka's own clients.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self::ALL.into_iter().find(|status| status.name().eq_ignore_ascii_case(name)).unwrap_or(Self::Unknown)
    }
}

/// What a delta says became of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ActionType {
    /// It registered.
    #[default]
    Added,
    /// It changed.
    Modified,
    /// It is gone.
    Deleted,
}

/// An instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its id; the host name where a registry gives none, as in Eureka's own clients.
    pub id: String,
    /// Its application.
    pub app: String,
    /// Its IP address as text.
    pub ip: String,
    /// Its host name.
    pub host: String,
    /// Its port, unless it is switched off.
    pub port: Option<u16>,
    /// Its port for TLS, unless it is switched off.
    pub secure_port: Option<u16>,
    /// Its virtual addresses, by commas.
    pub vip: String,
    /// The status that counts: the registry has put the overridden one in its place already.
    pub status: Status,
    /// The status that somebody set over its own; [`Status::Unknown`] for none.
    pub overridden: Status,
    /// When it last changed itself, in ms by its own clock.
    pub dirty_ms: i64,
    /// When the registry last changed it, in ms by the registry's clock.
    pub updated_ms: i64,
    /// When its lease began, in ms by the clock of the registry's server that tells it.
    pub registered_ms: i64,
    /// What a delta says became of it.
    pub action: ActionType,
    /// What its operators say of it.
    pub metadata: BTreeMap<String, String>,
}

/// A value as text, wherever it stands: plain, or in an object beside attributes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Scalar {
    text: String,
    enabled: Option<bool>,
}

impl<'de> Deserialize<'de> for Scalar {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ScalarVisitor;
        impl<'de> Visitor<'de> for ScalarVisitor {
            type Value = Scalar;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a plain value")
            }
            fn visit_str<E: de::Error>(self, text: &str) -> Result<Scalar, E> {
                Ok(Scalar { text: text.to_owned(), enabled: None })
            }
            fn visit_i64<E: de::Error>(self, number: i64) -> Result<Scalar, E> {
                Ok(Scalar { text: number.to_string(), enabled: None })
            }
            fn visit_u64<E: de::Error>(self, number: u64) -> Result<Scalar, E> {
                Ok(Scalar { text: number.to_string(), enabled: None })
            }
            fn visit_f64<E: de::Error>(self, number: f64) -> Result<Scalar, E> {
                Ok(Scalar { text: number.to_string(), enabled: None })
            }
            fn visit_bool<E: de::Error>(self, flag: bool) -> Result<Scalar, E> {
                Ok(Scalar { text: flag.to_string(), enabled: None })
            }
            fn visit_unit<E: de::Error>(self) -> Result<Scalar, E> {
                Ok(Scalar::default())
            }
            fn visit_none<E: de::Error>(self) -> Result<Scalar, E> {
                Ok(Scalar::default())
            }
            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Scalar, A::Error> {
                let mut scalar = Scalar::default();
                while let Some(key) = map.next_key::<String>()? {
                    match key.as_str() {
                        "$" | "$text" => scalar.text = map.next_value::<Scalar>()?.text,
                        "@enabled" => scalar.enabled = Some(map.next_value::<Scalar>()?.text == "true"),
                        _ => drop(map.next_value::<de::IgnoredAny>()?),
                    }
                }
                Ok(scalar)
            }
        }
        deserializer.deserialize_any(ScalarVisitor)
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct LeaseInfo {
    registration_timestamp: Scalar,
}

/// The fields that are read; all others are passed over.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawInstance {
    #[serde(default)]
    instance_id: Scalar,
    #[serde(default)]
    app: Scalar,
    #[serde(default)]
    ip_addr: Scalar,
    #[serde(default)]
    host_name: Scalar,
    #[serde(default)]
    port: Scalar,
    #[serde(default)]
    secure_port: Scalar,
    #[serde(default)]
    vip_address: Scalar,
    #[serde(default)]
    status: Scalar,
    #[serde(default, alias = "overriddenStatus")]
    overriddenstatus: Scalar,
    #[serde(default)]
    last_dirty_timestamp: Scalar,
    #[serde(default)]
    last_updated_timestamp: Scalar,
    #[serde(default)]
    lease_info: LeaseInfo,
    #[serde(default)]
    action_type: Scalar,
    #[serde(default)]
    metadata: BTreeMap<String, Scalar>,
}

impl Instance {
    /// Reads one from JSON.
    ///
    /// # Errors
    ///
    /// When it is no such object, or a field that is needed is missing or unreadable.
    pub fn from_json(bytes: &[u8]) -> Result<Self, InstanceError> {
        let raw: RawInstance =
            serde_json::from_slice(bytes).map_err(|error| InstanceError::Malformed(error.to_string()))?;
        raw.validate()
    }

    /// Reads one from an XML element.
    ///
    /// # Errors
    ///
    /// As [`Instance::from_json`].
    pub fn from_xml(bytes: &[u8]) -> Result<Self, InstanceError> {
        let text = std::str::from_utf8(bytes).map_err(|error| InstanceError::Malformed(error.to_string()))?;
        let raw: RawInstance =
            quick_xml::de::from_str(text).map_err(|error| InstanceError::Malformed(error.to_string()))?;
        raw.validate()
    }
}

impl RawInstance {
    fn validate(self) -> Result<Instance, InstanceError> {
        let id = if self.instance_id.text.is_empty() { &self.host_name.text } else { &self.instance_id.text };
        let id = id.clone();
        let invalid = |field, value: &str| InstanceError::InvalidField {
            id: id.chars().take(64).collect(),
            field,
            value: value.chars().take(64).collect(),
        };
        if id.is_empty() || id.len() > 256 {
            return Err(invalid("instanceId", &id));
        }
        let number = |field, input: &Scalar| match input.text.trim() {
            "" => Ok(0),
            text => text.parse::<i64>().map_err(|_| invalid(field, text)),
        };
        let port = |field, input: &Scalar| match input.text.trim() {
            "" => Ok(None),
            text => {
                let port = text.parse::<u16>().map_err(|_| invalid(field, text))?;
                Ok(Some(port).filter(|port| *port != 0 && input.enabled != Some(false)))
            }
        };
        let action = match self.action_type.text.as_str() {
            "" | "ADDED" => ActionType::Added,
            "MODIFIED" => ActionType::Modified,
            "DELETED" => ActionType::Deleted,
            other => return Err(invalid("actionType", other)),
        };
        let metadata = self.metadata.into_iter().filter(|(key, _)| !key.starts_with('@'));
        Ok(Instance {
            port: port("port", &self.port)?,
            secure_port: port("securePort", &self.secure_port)?,
            dirty_ms: number("lastDirtyTimestamp", &self.last_dirty_timestamp)?,
            updated_ms: number("lastUpdatedTimestamp", &self.last_updated_timestamp)?,
            registered_ms: number("registrationTimestamp", &self.lease_info.registration_timestamp)?,
            status: Status::from_name(&self.status.text),
            overridden: Status::from_name(&self.overriddenstatus.text),
            app: self.app.text,
            ip: self.ip_addr.text,
            host: self.host_name.text,
            vip: self.vip_address.text,
            metadata: metadata.map(|(key, value)| (key, value.text)).collect(),
            action,
            id,
        })
    }
}
