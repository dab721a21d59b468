//! The pooler as a process, on files of a folder of its own.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long anything may take that is waited for; it only keeps a broken run from hanging.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The settings that the lab's poolers get: the site's classes, with members that check nothing themselves.
#[must_use]
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, aim: f64, deadline: f64, worth: f64| {
        json!({"Name": name, "Effect": effect, "Objective": aim, "Deadline": deadline, "Worth": worth,
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

/// How a pooler is set up.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// How many poolers there are.
    pub fleet: u32,
    /// Its descriptors.
    pub sockets: u32,
    /// Where it listens; anywhere by default.
    pub listen: Option<SocketAddr>,
    /// Where the platform's discovery answers; nowhere by default.
    pub discovery: Option<SocketAddr>,
}

impl Default for Setup {
    fn default() -> Self {
        Self { fleet: 1, sockets: 1_024, listen: None, discovery: None }
    }
}

/// A running pooler; killed when dropped.
pub struct Pooler {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    folder: PathBuf,
}

impl Pooler {
    /// Starts `program` with an operator's file of this text.
    ///
    /// # Errors
    ///
    /// When it does not start.
    pub fn start(program: &Path, operator: Option<&str>, known: &Value) -> std::io::Result<Self> {
        Self::start_as(program, operator, known, Setup::default())
    }

    /// Starts it, set up so.
    ///
    /// # Errors
    ///
    /// When it does not start.
    pub fn start_as(
        program: &Path,
        operator: Option<&str>,
        known: &Value,
        setup: Setup,
    ) -> std::io::Result<Self> {
        Self::start_with(program, operator, known, setup, settings())
    }

    /// Starts it with other settings than the lab's.
    ///
    /// # Errors
    ///
    /// When it does not start.
    pub fn start_with(
        program: &Path,
        operator: Option<&str>,
        known: &Value,
        setup: Setup,
        mut settings: Value,
    ) -> std::io::Result<Self> {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("linnetdeal-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        settings["FleetSize"] = setup.fleet.into();
        let listen = setup.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let config = json!({"name": format!("lab{number}"), "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
            "discovery": setup.discovery.map(|address| address.to_string()),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": setup.sockets}, "known": known,
            "settings": settings});
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let mut command = Command::new(program);
        command.env("GW_CONFIG", folder.join("config.json")).env_remove("LINNETDEAL_OPERATOR");
        if let Some(text) = operator {
            std::fs::write(folder.join("operator.cue"), text)?;
            command.env("LINNETDEAL_OPERATOR", folder.join("operator.cue"));
        }
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let lines = child.stderr.take().map(BufReader::new);
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        std::thread::spawn(move || {
            for line in lines.into_iter().flat_map(BufRead::lines).map_while(Result::ok) {
                crate::lock(&kept).push(line);
            }
        });
        let mut pooler = Self { child, address: SocketAddr::from(([127, 0, 0, 1], 0)), log, folder };
        let line = pooler.logged(" listening on ")?;
        let address = line.rsplit(' ').next().and_then(|text| text.parse().ok());
        pooler.address = address.ok_or_else(|| std::io::Error::other(format!("no address in '{line}'")))?;
        Ok(pooler)
    }

    /// Waits for a log line with this in it.
    ///
    /// # Errors
    ///
    /// When none comes.
    pub fn logged(&mut self, text: &str) -> std::io::Result<String> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(line) = crate::lock(&self.log).iter().find(|line| line.contains(text)) {
                return Ok(line.clone());
            }
            if let Some(status) = self.child.try_wait()? {
                std::thread::sleep(Duration::from_millis(50));
                let log = crate::lock(&self.log).join("\n");
                return Err(std::io::Error::other(format!("the pooler ended with {status}:\n{log}")));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Err(std::io::Error::other(format!("no line with '{text}':\n{}", crate::lock(&self.log).join("\n"))))
    }

    /// All lines so far.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        crate::lock(&self.log).clone()
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal by name.
    ///
    /// # Errors
    ///
    /// When that can't be done.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().map(drop)
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// When it does not end.
    pub fn ended(&mut self) -> std::io::Result<std::process::ExitStatus> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Err(std::io::Error::other("the pooler does not end"))
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
