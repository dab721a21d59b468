//! A registry beside the pooler: from the operator's file to what follows it.

use linnetdeal_core::membership::{ShrinkPolicy, SourceUpdate, UpdateOutcome};
use linnetdeal_core::{ListState, Span, Time};
use linnetdeal_net::Pooler;
use linnetdeal_net::members::{Feed, REGISTRY};
use linnetdeal_operator::{ReadWhat, RegistrySettings};
use linnetdeal_registry::client::{Access, Client, Server, SetupError};
use linnetdeal_registry::eureka::mapping::{Lifts, Mapping, Networks};
use linnetdeal_registry::eureka::model::Status;
use linnetdeal_registry::eureka::poller::Pace;
use linnetdeal_registry::follow::{Counters, Follower, Life, Own, Registrar, Registry, Sink};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long the end of the process may wait for the registry to hear of it. What the platform grants beyond the last
/// answers is more than that.
const LAST_WORD: Duration = Duration::from_millis(100);

fn span(duration: Duration) -> Span {
    Span(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}

/// An id that can stand in a URL, whatever the platform calls this pooler.
fn plain(id: &str) -> String {
    let fits = |letter: &char| letter.is_ascii_alphanumeric() || "._:-".contains(*letter);
    id.chars().take(128).map(|letter| if fits(&letter) { letter } else { '-' }).collect()
}

/// What the follower needs, from what the operator wants.
///
/// # Errors
///
/// When a URL can't be called.
pub fn registry(
    settings: &RegistrySettings,
    own: Option<(&str, SocketAddr)>,
) -> Result<Registry, SetupError> {
    let servers = settings.servers.iter().map(|server| Server::new(&server.url, server.at));
    let mut networks = Networks::default();
    for network in &settings.networks {
        networks.add(network.prefix, network.zone.as_deref().map(Arc::from));
    }
    let own = settings.register.as_ref().zip(own).map(|(register, (name, address))| Own {
        app: register.app.clone(),
        id: register.id.clone().unwrap_or_else(|| plain(&format!("{name}:{address}"))),
        address,
        renew: span(register.renew),
        expires: span(register.expires),
    });
    let list = match settings.read {
        ReadWhat::Delta | ReadWhat::Full => "/apps".to_owned(),
        ReadWhat::App => format!("/apps/{}", settings.apps.first().map_or("", String::as_str)),
        ReadWhat::Vip => format!("/vips/{}", settings.vip),
    };
    Ok(Registry {
        servers: servers.collect::<Result<_, _>>()?,
        access: Access {
            user: settings.user.as_ref().map(|user| (user.name.clone(), user.password_file.clone())),
            ca: settings.ca.clone(),
            identity: settings.identity.clone(),
        },
        patience: settings.patience,
        pace: Pace {
            interval: span(settings.interval),
            longest_pause: span(settings.longest_pause),
            deltas: settings.read == ReadWhat::Delta,
        },
        most_body: settings.most_body,
        mapping: Mapping {
            apps: settings.apps.iter().map(|app| app.to_ascii_uppercase()).collect(),
            networks,
            group_key: settings.metadata.group.clone(),
            group: settings.group,
            zone_key: settings.metadata.zone.clone(),
            role_key: settings.metadata.role.clone(),
            primary: settings.primary.clone(),
            started_key: settings.metadata.started.clone(),
            secure_port: settings.secure_port,
            lifts: if settings.lifts_overrides { Lifts::Override } else { Lifts::Registration },
        },
        doubt: ShrinkPolicy {
            lost_share: settings.lost_share,
            believe_after: settings.believe_after.map(span),
        },
        list,
        own,
    })
}

/// Whether all files that the settings name can be used.
///
/// # Errors
///
/// When one can't, or a URL can't be called.
pub fn check(settings: &RegistrySettings) -> Result<(), SetupError> {
    let registry = registry(settings, None)?;
    let tls = registry.servers.iter().any(Server::is_tls);
    Client::new(&registry.access, tls, registry.patience).map(drop)
}

struct Members {
    feed: Feed,
    life: Rc<Life>,
}

impl Sink for Members {
    fn now(&self) -> Time {
        self.feed.now()
    }

    fn tell(&self, news: SourceUpdate) -> UpdateOutcome {
        let taken = self.feed.tell(REGISTRY, news);
        // It can serve once it knows somebody to serve from.
        let serves = taken.changed.iter().any(|entry| entry.state == ListState::Healthy);
        if serves && self.life.status() == Some(Status::Starting) {
            self.life.set(Some(Status::Up));
        }
        taken
    }

    fn log(&self, line: &dyn fmt::Display) {
        tracing::warn!("{line}");
    }
}

/// Has a registry followed, and this pooler registered there if that is wanted. What is given is the last thing to do
/// before the process ends.
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
    let (life, counters) = (Rc::new(Life::starting()), Rc::new(Counters::default()));
    let sink = || Members { feed: pooler.feed(), life: life.clone() };
    pooler.feed().doubt(REGISTRY, registry.doubt);
    if let Some(registrar) = Registrar::new(&registry, sink(), counters.clone())? {
        pooler.spawn(registrar.run(life.clone()));
        let (whole, life) = (pooler.lifecycle(), life.clone());
        pooler.spawn(async move {
            whole.draining.raised().await;
            life.set(Some(Status::OutOfService));
        });
    }
    let registers = registry.own.is_some();
    let follower = Follower::new(registry, seed, sink(), counters.clone())?;
    pooler.show(counters);
    pooler.spawn(follower.run());
    Ok(async move {
        if registers {
            life.set(None);
            life.left(LAST_WORD).await;
        }
    })
}
