//! Maps an instance to a claim about a member, as configured in the operator's file: which applications count, in which
//! networks servers may be, and which metadata hold the group, zone, role and start time. No I/O.

use super::model::{ActionType, Instance, Status};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use linnetdeal_core::membership::{Claim, ClaimVersion};
use linnetdeal_core::{GroupId, ListState, MemberId, Time};
use prefix_trie::PrefixMap;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// The networks in which servers may be, each with the zone of its servers if that is known.
#[derive(Clone, Debug, Default)]
pub struct Networks {
    v4: PrefixMap<Ipv4Net, Option<Arc<str>>>,
    v6: PrefixMap<Ipv6Net, Option<Arc<str>>>,
}

impl Networks {
    /// Adds a network. Returns false, and changes nothing, if the network was added before.
    pub fn add(&mut self, network: IpNet, zone: Option<Arc<str>>) -> bool {
        match network.trunc() {
            IpNet::V4(net) => !self.v4.contains_key(&net) && self.v4.insert(net, zone).is_none(),
            IpNet::V6(net) => !self.v6.contains_key(&net) && self.v6.insert(net, zone).is_none(),
        }
    }

    /// Looks up the smallest network that contains an address and returns its zone, which may be unknown; the outer
    /// `None` means that no network contains the address.
    #[must_use]
    pub fn zone(&self, address: IpAddr) -> Option<Option<Arc<str>>> {
        match address.to_canonical() {
            IpAddr::V4(address) => self.v4.get_lpm(&address.into()).map(|(_, zone)| zone.clone()),
            IpAddr::V6(address) => self.v6.get_lpm(&address.into()).map(|(_, zone)| zone.clone()),
        }
    }
}

/// What returns a drained instance to service. Relevant for operators who remove a status override: that changes the
/// status but leaves the instance's `lastDirtyTimestamp` as it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainEnd {
    /// Only a new registration with a later `lastDirtyTimestamp`.
    #[default]
    NewerRegistration,
    /// Also the removal of an override, if the same registry server reports it for the same lease with a later
    /// update time.
    OverrideRemoval,
}

/// The configuration by which instances are mapped to members.
#[derive(Clone, Debug, Default)]
pub struct Mapping {
    /// The applications whose instances are servers, in upper case.
    pub apps: BTreeSet<String>,
    /// The networks in which servers may be.
    pub networks: Networks,
    /// The metadata key of the group; its value is an integer.
    pub group_key: String,
    /// The group of instances that name none; `None` rejects such instances.
    pub default_group: Option<i64>,
    /// The metadata key of the zone.
    pub zone_key: String,
    /// The metadata key of the role.
    pub role_key: String,
    /// The value of the role that denotes a primary.
    pub primary_value: String,
    /// The metadata key of the last start time, in ms since 1970.
    pub started_key: String,
    /// Whether members are connected to on their secure port.
    pub secure_port: bool,
    /// What ends a drain.
    pub drain_end: DrainEnd,
}

/// Why an instance can't be mapped to a member.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MappingError {
    /// It belongs to another application.
    #[error("of another application")]
    OtherApplication,
    /// It has no IP address with an enabled port.
    #[error("invalid address: '{0}'")]
    InvalidAddress(String),
    /// Its address is outside of all allowed networks.
    #[error("{0} lies outside of the networks in which boxes may lie")]
    OutsideNetworks(IpAddr),
    /// It names no group, or one that is not a number.
    #[error("missing or invalid group: '{0}'")]
    InvalidGroup(String),
}

impl Mapping {
    /// Returns the claim about a member that an instance stands for. `server` is the index of the registry server that
    /// reported it.
    ///
    /// # Errors
    ///
    /// When it can't be a member. An instance of ours that drains or is gone never fails, whatever else it reports.
    pub fn claim(&self, instance: &Instance, server: usize) -> Result<Claim, MappingError> {
        if !self.apps.contains(&instance.app.to_ascii_uppercase()) {
            return Err(MappingError::OtherApplication);
        }
        let metadata_value =
            |key: &str| instance.metadata.get(key).map(String::as_str).filter(|text| !text.is_empty());
        let state = match (instance.action, instance.status) {
            (ActionType::Deleted, _) => ListState::Gone,
            (_, Status::Up) => ListState::Healthy,
            _ => ListState::Draining,
        };
        let address_and_zone = self.resolve_address(instance);
        let group = match metadata_value(&self.group_key) {
            Some(text) => text
                .parse()
                .map(Some)
                .map_err(|_| MappingError::InvalidGroup(text.chars().take(64).collect())),
            None => self.default_group.map(Some).ok_or_else(|| MappingError::InvalidGroup(String::new())),
        };
        // An instance that drains or is gone is accepted even if its address or group is invalid.
        let (address_and_zone, group) = match state {
            ListState::Healthy => (Some(address_and_zone?), group?),
            _ => (address_and_zone.ok(), group.ok().flatten()),
        };
        let zone = metadata_value(&self.zone_key).map(str::to_owned);
        let zone = zone
            .or_else(|| address_and_zone.as_ref().and_then(|(_, zone)| zone.as_deref().map(str::to_owned)));
        let started =
            metadata_value(&self.started_key).and_then(|text| text.parse::<i64>().ok()).filter(|ms| *ms > 0);
        let started = started.map(|ms| Time(ms.saturating_mul(1_000)));
        // A registration that is not ready yet is ordered before the same registration in service.
        let ready =
            !matches!(instance.status, Status::Starting | Status::Unknown) || state == ListState::Gone;
        let stamp = instance.dirty_ms.saturating_mul(2).saturating_add(i64::from(ready));
        let registry_lease =
            (self.drain_end == DrainEnd::OverrideRemoval).then_some((server, instance.registered_ms));
        Ok(Claim {
            member: MemberId(Arc::from(instance.id.as_str())),
            address: address_and_zone.map(|(address, _)| address),
            group: group.map(GroupId),
            zone: zone.unwrap_or_default(),
            machine: String::new(),
            primary: metadata_value(&self.role_key).is_some_and(|role| role == self.primary_value),
            started,
            state,
            version: ClaimVersion { started, stamp, registry_lease, lease_updated: instance.updated_ms },
        })
    }

    fn resolve_address(&self, instance: &Instance) -> Result<(SocketAddr, Option<Arc<str>>), MappingError> {
        let port = if self.secure_port { instance.secure_port } else { instance.port };
        let address = instance.ip.parse::<IpAddr>().ok().zip(port);
        let Some((ip, port)) = address else {
            return Err(MappingError::InvalidAddress(format!(
                "{}:{port:?}",
                instance.ip.chars().take(64).collect::<String>()
            )));
        };
        let ip = ip.to_canonical();
        let zone = self.networks.zone(ip).ok_or(MappingError::OutsideNetworks(ip))?;
        Ok((SocketAddr::new(ip, port), zone))
    }
}
