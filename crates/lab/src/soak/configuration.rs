//! The configuration of the poolers of a soak, and its variations.

use crate::pooler::settings;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum age of the data of `bundle-menu`.
pub const STALENESS_BOUND_MS: i64 = 1_500;
/// The longest deadline of any request.
pub const MAX_DEADLINE: Duration = Duration::from_millis(2_000);
/// The longest deadline with [`Variation::short_writes`].
pub const SHORT_MAX_DEADLINE: Duration = Duration::from_millis(1_000);
/// Maximum number of sockets per process.
const MAX_DESCRIPTORS: u32 = 256;

/// The classes of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A read of bounded staleness.
    BundleMenu,
    /// A read that sees its session's writes.
    MyRecent,
    /// A read without requirements on staleness.
    UsageHistory,
    /// A read that sees all committed writes.
    BalanceCheck,
    /// A write that must not run twice.
    TopUp,
}

impl Class {
    /// The class with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [Self::BundleMenu, Self::MyRecent, Self::UsageHistory, Self::BalanceCheck, Self::TopUp];
        all.into_iter().find(|class| class.name() == name)
    }

    /// Its name in the settings.
    pub const fn name(self) -> &'static str {
        match self {
            Self::BundleMenu => "bundle-menu",
            Self::MyRecent => "my-recent",
            Self::UsageHistory => "usage-history",
            Self::BalanceCheck => "balance-check",
            Self::TopUp => "top-up",
        }
    }

    /// The class for a random number below 100.
    pub const fn from_draw(draw: u64) -> Self {
        match draw {
            0..30 => Self::BundleMenu,
            30..50 => Self::MyRecent,
            50..65 => Self::UsageHistory,
            65..75 => Self::BalanceCheck,
            _ => Self::TopUp,
        }
    }
}

/// What varies between configurations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variation {
    /// The fields of load reports are configured in reverse order.
    pub fields_swapped: bool,
    /// The idle timeout that servers are configured to have.
    pub keepalive: Option<Duration>,
    /// The deadline of writes is one second.
    pub short_writes: bool,
}

/// The addresses of one pooler.
#[derive(Clone, Debug)]
pub struct PoolerAddresses {
    /// The pooler's number.
    pub number: usize,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
}

/// The configuration of a pooler.
pub fn pooler_config(
    addresses: &PoolerAddresses,
    fleet: usize,
    seed: u64,
    known: &Value,
    variation: Variation,
) -> Value {
    let mut settings = settings();
    settings["FleetSize"] = fleet.into();
    settings["Rank"] = addresses.number.into();
    let longest_deadline = if variation.short_writes { SHORT_MAX_DEADLINE } else { MAX_DEADLINE };
    settings["Lanes"][4]["Deadline"] = (longest_deadline.as_millis() as f64).into();
    if variation.fields_swapped {
        settings["Report"]["Fields"] = json!(["x1", "x0"]);
    }
    if let Some(keepalive) = variation.keepalive {
        settings["Limits"]["Keepalive"] = (keepalive.as_millis() as f64).into();
    }
    json!({"name": format!("n{}", addresses.number), "listen": addresses.listen.to_string(),
        "discovery": addresses.discovery.to_string(), "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": MAX_DESCRIPTORS},
        "peers": [], "known": known, "settings": settings})
}
