//! Runs the pooler as a process, with its files in a folder of its own.

pub use crate::processes::process::WAIT_TIMEOUT;

use crate::processes::process::Process;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::Path;

/// The settings of the lab's poolers: the classes of the site, with members that check neither staleness nor duplicates
/// themselves.
#[must_use]
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, objective: f64, deadline: f64, worth: f64| {
        json!({"Name": name, "Effect": effect, "Objective": objective, "Deadline": deadline, "Worth": worth,
               "LateValue": 0.2, "KeyScope": "all", "Stream": false})
    };
    json!({"FleetSize": 1, "Zone": "adum", "Discovery": "push",
        "Lanes": [class("bundle-menu", "retryable", 400.0, 1000.0, 3.0),
                  class("my-recent", "retryable", 400.0, 1000.0, 1.0),
                  class("usage-history", "retryable", 300.0, 1000.0, 2.0),
                  class("balance-check", "retryable", 300.0, 1000.0, 1.0),
                  class("top-up", "fragile", 300.0, 5000.0, 3.0)],
        "FamilyInfo": {"NeedsByClass": ["lag_bound", "causal", "eventual", "strong", "mutate"],
                       "OldestData": [1500.0, 0.0, 0.0, 0.0, 0.0],
                       "WhenBehind": "none", "SessionMarks": "kept", "Zero": 0.0},
        "Report": {"Fields": ["x0", "x1"], "How": "probe"},
        "Limits": {"SendCap": 10, "MayDuplicate": false, "Probing": true, "Cancel": true, "RetryAfter": true,
                   "MaxRetryAfter": 2000.0, "DialTimeout": 250.0, "Keepalive": 60000.0},
        "Rules": {"DrainGrace": 250.0, "ColdFrom": 0.16, "Cold": 16000.0, "FallMultiple": 2.5, "Fall": 3000.0}})
}

/// The parts of a pooler's configuration that vary between tests.
#[derive(Clone, Copy, Debug)]
pub struct PoolerSetup {
    /// The number of poolers in the fleet.
    pub fleet_size: u32,
    /// The limit on its file descriptors.
    pub sockets: u32,
    /// The address to listen on; a free port of 127.0.0.1 by default.
    pub listen: Option<SocketAddr>,
    /// The address of the platform's discovery; none by default.
    pub discovery: Option<SocketAddr>,
}

impl Default for PoolerSetup {
    fn default() -> Self {
        Self { fleet_size: 1, sockets: 1_024, listen: None, discovery: None }
    }
}

/// A running pooler, which is killed when dropped.
pub struct Pooler {
    process: Process,
    /// The address that it listens on.
    pub address: SocketAddr,
}

impl Deref for Pooler {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for Pooler {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl Pooler {
    /// Starts `program` with an operator's file of this text and `known` as the configured list of servers.
    ///
    /// # Errors
    ///
    /// If it does not start and listen in time.
    pub fn start(program: &Path, operator: Option<&str>, known: &Value) -> std::io::Result<Self> {
        Self::start_with_setup(program, operator, known, PoolerSetup::default())
    }

    /// As [`Pooler::start`], with another set-up than the default.
    ///
    /// # Errors
    ///
    /// If it does not start and listen in time.
    pub fn start_with_setup(
        program: &Path,
        operator: Option<&str>,
        known: &Value,
        setup: PoolerSetup,
    ) -> std::io::Result<Self> {
        Self::start_with_settings(program, operator, known, setup, settings())
    }

    /// As [`Pooler::start_with_setup`], with other settings than the lab's.
    ///
    /// # Errors
    ///
    /// If it does not start and listen in time.
    pub fn start_with_settings(
        program: &Path,
        operator: Option<&str>,
        known: &Value,
        setup: PoolerSetup,
        mut settings: Value,
    ) -> std::io::Result<Self> {
        settings["FleetSize"] = setup.fleet_size.into();
        let listen = setup.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let config = json!({"name": "lab", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
            "discovery": setup.discovery.map(|address| address.to_string()),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": setup.sockets}, "known": known,
            "settings": settings});
        let mut process = Process::start(program, &config, operator, &[])?;
        let address = process.wait_until_listening()?;
        Ok(Self { process, address })
    }
}
