//! Sets up following a service registry, and registering the pooler there, from the operator's file.

use linnetdeal_core::membership::{ShrinkPolicy, SourceUpdate, UpdateOutcome};
use linnetdeal_core::{ListState, Span, Time};
use linnetdeal_net::Pooler;
use linnetdeal_net::members::{Feed, REGISTRY};
use linnetdeal_operator::{ReadMode, RegistrySettings};
use linnetdeal_registry::client::{Access, Client, Server, SetupError};
use linnetdeal_registry::eureka::mapping::{DrainEnd, Mapping, Networks};
use linnetdeal_registry::eureka::model::Status;
use linnetdeal_registry::eureka::poller::PollOptions;
use linnetdeal_registry::follow::{
    Counters, Follower, PoolerStatus, Registrar, Registration, RegistryOptions, Sink,
};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long the process waits at exit for its deregistration. The platform allows more time than this after the
/// last answers.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(100);

fn span(duration: Duration) -> Span {
    Span(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}

/// Replaces all characters of an id that need escaping in a URL, and limits its length.
fn url_safe_id(id: &str) -> String {
    let is_allowed = |character: &char| character.is_ascii_alphanumeric() || "._:-".contains(*character);
    id.chars().take(128).map(|character| if is_allowed(&character) { character } else { '-' }).collect()
}

/// Converts the operator's settings to the setup of a registry follower. `own` is the name and address to register.
///
/// # Errors
///
/// When a URL is invalid.
pub fn registry(
    settings: &RegistrySettings,
    own: Option<(&str, SocketAddr)>,
) -> Result<RegistryOptions, SetupError> {
    let servers = settings.servers.iter().map(|server| Server::new(&server.url, server.address));
    let mut networks = Networks::default();
    for network in &settings.networks {
        networks.add(network.prefix, network.zone.as_deref().map(Arc::from));
    }
    let registration =
        settings.registration.as_ref().zip(own).map(|(register, (name, address))| Registration {
            app: register.app.clone(),
            id: register.id.clone().unwrap_or_else(|| url_safe_id(&format!("{name}:{address}"))),
            address,
            renew_interval: span(register.renew_interval),
            lease_duration: span(register.lease_duration),
        });
    let list_path = match settings.read {
        ReadMode::Delta | ReadMode::Full => "/apps".to_owned(),
        ReadMode::App => format!("/apps/{}", settings.apps.first().map_or("", String::as_str)),
        ReadMode::Vip => format!("/vips/{}", settings.vip),
    };
    Ok(RegistryOptions {
        servers: servers.collect::<Result<_, _>>()?,
        access: Access {
            user: settings.credentials.as_ref().map(|user| (user.name.clone(), user.password_file.clone())),
            ca: settings.ca.clone(),
            identity: settings.identity.clone(),
        },
        timeout: settings.timeout,
        poll: PollOptions {
            interval: span(settings.interval),
            max_pause: span(settings.max_pause),
            use_deltas: settings.read == ReadMode::Delta,
        },
        max_body_bytes: settings.max_body_bytes,
        mapping: Mapping {
            apps: settings.apps.iter().map(|app| app.to_ascii_uppercase()).collect(),
            networks,
            group_key: settings.metadata.group.clone(),
            default_group: settings.default_group,
            zone_key: settings.metadata.zone.clone(),
            role_key: settings.metadata.role.clone(),
            primary_value: settings.primary_value.clone(),
            started_key: settings.metadata.started.clone(),
            secure_port: settings.secure_port,
            drain_end: if settings.override_removal_ends_drain {
                DrainEnd::OverrideRemoval
            } else {
                DrainEnd::NewerRegistration
            },
        },
        shrink_policy: ShrinkPolicy {
            lost_share: settings.lost_share,
            believe_after: settings.believe_after.map(span),
        },
        list_path,
        registration,
    })
}

/// Checks that all files named in the settings can be used.
///
/// # Errors
///
/// When a file can't be used, or a URL is invalid.
pub fn check(settings: &RegistrySettings) -> Result<(), SetupError> {
    let registry = registry(settings, None)?;
    let tls = registry.servers.iter().any(Server::is_tls);
    Client::new(&registry.access, tls, registry.timeout).map(drop)
}

struct RegistrySink {
    feed: Feed,
    pooler_status: Rc<PoolerStatus>,
}

impl Sink for RegistrySink {
    fn now(&self) -> Time {
        self.feed.now()
    }

    fn apply_update(&self, update: SourceUpdate) -> UpdateOutcome {
        let outcome = self.feed.apply_update(REGISTRY, update);
        // The pooler can serve once it knows a server that accepts requests.
        let has_serving_member = outcome.changed.iter().any(|entry| entry.state == ListState::Healthy);
        if has_serving_member && self.pooler_status.status() == Some(Status::Starting) {
            self.pooler_status.set(Some(Status::Up));
        }
        outcome
    }

    fn log(&self, line: &dyn fmt::Display) {
        tracing::warn!("{line}");
    }
}

/// Starts following a registry, and registering this pooler there if configured. Returns a future to be run at
/// exit, which deregisters the pooler.
///
/// # Errors
///
/// When a file or a URL can't be used.
pub fn follow(
    pooler: &Pooler,
    settings: &RegistrySettings,
    name: &str,
    seed: u64,
) -> Result<impl Future<Output = ()> + use<>, SetupError> {
    let registry = registry(settings, Some((name, pooler.listening())))?;
    let (pooler_status, counters) = (Rc::new(PoolerStatus::starting()), Rc::new(Counters::default()));
    let sink = || RegistrySink { feed: pooler.feed(), pooler_status: pooler_status.clone() };
    pooler.feed().set_shrink_policy(REGISTRY, registry.shrink_policy);
    if let Some(registrar) = Registrar::new(&registry, sink(), counters.clone())? {
        pooler.spawn(registrar.run(pooler_status.clone()));
        let (pooler_lifecycle, pooler_status) = (pooler.lifecycle(), pooler_status.clone());
        pooler.spawn(async move {
            pooler_lifecycle.draining.raised().await;
            pooler_status.set(Some(Status::OutOfService));
        });
    }
    let registers = registry.registration.is_some();
    let follower = Follower::new(registry, seed, sink(), counters.clone())?;
    pooler.add_status(counters);
    pooler.spawn(follower.run());
    Ok(async move {
        if registers {
            pooler_status.set(None);
            pooler_status.wait_deregistered(DEREGISTRATION_TIMEOUT).await;
        }
    })
}
