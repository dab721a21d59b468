//! An instance as Eureka servers write it: JSON by Jackson or XML by XStream. Both write numbers as strings, ports as
//! objects and lists of one element as plain objects, so all values are parsed leniently. Required fields are checked
//! here.
//!
//! Source: the wiki page "Eureka REST operations" and the schema given there.

use serde::Deserialize;
use serde::de::{self, MapAccess, Visitor};
use std::collections::BTreeMap;
use std::fmt;

/// The maximum size of the text of an instance, in bytes.
pub const MAX_INSTANCE_BYTES: usize = 256 * 1024;

/// Why an instance can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InstanceError {
    /// It is not the JSON or XML of an instance.
    #[error("malformed instance: {0}")]
    Malformed(String),
    /// A required field is missing, or a field is invalid.
    #[error("instance '{id}': {field} is '{value}'")]
    InvalidField {
        /// The id of the instance, cut to 64 characters.
        id: String,
        /// The name of the field.
        field: &'static str,
        /// Its value, cut to 64 characters.
        value: String,
    },
}

/// The status of an instance in a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// Down.
    Down,
    /// Deliberately out of service.
    OutOfService,
    /// Not ready yet.
    Starting,
    /// Not known.
    Unknown,
    /// In service.
    Up,
}

impl Status {
    /// All statuses, in the order in which they appear in a hash code.
    pub const ALL: [Self; 5] = [Self::Down, Self::OutOfService, Self::Starting, Self::Unknown, Self::Up];

    /// The name of the status in bodies and URLs.
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

    /// Returns the status with this name, in any case. Other names count as unknown, as in Eureka's own clients.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self::ALL.into_iter().find(|status| status.name().eq_ignore_ascii_case(name)).unwrap_or(Self::Unknown)
    }
}

/// How an instance changed, according to a delta.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ActionType {
    /// It registered.
    #[default]
    Added,
    /// It changed.
    Modified,
    /// It was removed.
    Deleted,
}

/// An instance that is registered with Eureka.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its id; the host name if the registry reports none, as in Eureka's own clients.
    pub id: String,
    /// Its application.
    pub app: String,
    /// Its IP address as text.
    pub ip: String,
    /// Its host name.
    pub host: String,
    /// Its port; `None` if it is missing or disabled.
    pub port: Option<u16>,
    /// Its TLS port; `None` if it is missing or disabled.
    pub secure_port: Option<u16>,
    /// Its virtual addresses, separated by commas.
    pub vip: String,
    /// The effective status: the registry has already replaced the instance's own status by an override.
    pub status: Status,
    /// The status override; [`Status::Unknown`] if there is none.
    pub overridden: Status,
    /// When the instance last changed its registration, in ms on its own clock (`lastDirtyTimestamp`).
    pub dirty_ms: i64,
    /// When the registry last changed the entry, in ms on the registry's clock (`lastUpdatedTimestamp`).
    pub updated_ms: i64,
    /// When its lease started, in ms on the clock of the registry server that reports it (`registrationTimestamp`).
    pub registered_ms: i64,
    /// How it changed, according to a delta.
    pub action: ActionType,
    /// Its metadata.
    pub metadata: BTreeMap<String, String>,
}

/// A value as text. It may be written plainly, or within an object beside attributes.
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

/// The fields that are parsed; all others are ignored.
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
    /// Parses an instance from a JSON object.
    ///
    /// # Errors
    ///
    /// When it is malformed, or a required field is missing or invalid.
    pub fn from_json(bytes: &[u8]) -> Result<Self, InstanceError> {
        let raw: RawInstance =
            serde_json::from_slice(bytes).map_err(|error| InstanceError::Malformed(error.to_string()))?;
        raw.validate()
    }

    /// Parses an instance from an XML element.
    ///
    /// # Errors
    ///
    /// See [`Instance::from_json`].
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
