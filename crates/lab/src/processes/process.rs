//! A process of the program with its files in a folder of its own. It is killed when dropped, so that no failure
//! leaves it behind.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of every wait for a process; it only keeps a failed run from hanging.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The latest lines of a log, of which at most this many are kept.
const MAX_LOG_LINES: usize = 20_000;

/// Held while a process is spawned, and while sockets are open whose addresses are about to be given to others:
/// until it executes its program, a child process holds all descriptors that are open in this process.
pub(super) static SPAWN_LOCK: Mutex<()> = Mutex::new(());

static STARTED: AtomicUsize = AtomicUsize::new(0);
static ENDED: AtomicUsize = AtomicUsize::new(0);

/// How many processes were started, and how many of them have ended and been reaped.
#[must_use]
pub fn counts() -> (usize, usize) {
    (STARTED.load(Ordering::SeqCst), ENDED.load(Ordering::SeqCst))
}

/// A line of a log, and when it was read.
pub type LogLine = (Instant, String);

/// A running process.
pub struct Process {
    child: Child,
    log: Arc<Mutex<Vec<LogLine>>>,
    folder: PathBuf,
    reader: Option<std::thread::JoinHandle<()>>,
    reaped: bool,
}

impl Process {
    /// Starts `program` with this configuration, an operator's file with this text, and these environment
    /// variables.
    ///
    /// # Errors
    ///
    /// When the process can't be started.
    pub fn start(
        program: &Path,
        config: &Value,
        operator: Option<&str>,
        variables: &[(&str, String)],
    ) -> std::io::Result<Self> {
        Self::start_on(program, config, operator, variables, None)
    }

    /// Like [`Self::start`], with a listening socket of the platform passed as standard input.
    ///
    /// # Errors
    ///
    /// When the process can't be started.
    pub fn start_on(
        program: &Path,
        config: &Value,
        operator: Option<&str>,
        variables: &[(&str, String)],
        listener: Option<OwnedFd>,
    ) -> std::io::Result<Self> {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("linnetdeal-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let mut command = Command::new(program);
        command.env("GW_CONFIG", folder.join("config.json"));
        for inherited in
            ["LINNETDEAL_OPERATOR", "LINNETDEAL_BEND", "LINNETDEAL_MUTANT", "GW_LISTEN_FD", "GW_OPERATOR"]
        {
            command.env_remove(inherited);
        }
        if let Some(text) = operator {
            std::fs::write(folder.join("operator.cue"), text)?;
            command.env("LINNETDEAL_OPERATOR", folder.join("operator.cue"));
        }
        if let Some(listener) = listener {
            command.stdin(listener).env("GW_LISTEN_FD", "0");
        }
        command.envs(variables.iter().map(|(name, value)| (name, value)));
        let guard = crate::lock(&SPAWN_LOCK);
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        drop(guard);
        STARTED.fetch_add(1, Ordering::SeqCst);
        let lines = child.stderr.take().map(BufReader::new);
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        let reader = std::thread::spawn(move || {
            for line in lines.into_iter().flat_map(BufRead::lines).map_while(Result::ok) {
                let mut kept = crate::lock(&kept);
                if kept.len() == MAX_LOG_LINES {
                    kept.drain(..MAX_LOG_LINES / 2);
                }
                kept.push((Instant::now(), line));
            }
        });
        Ok(Self { child, log, folder, reader: Some(reader), reaped: false })
    }

    /// Waits until the process listens, and returns the address that it logged.
    ///
    /// # Errors
    ///
    /// When it exits or does not listen in time, or the address can't be parsed.
    pub fn wait_until_listening(&mut self) -> std::io::Result<SocketAddr> {
        let line = self.wait_for_log(" listening on ")?;
        let address = line.rsplit(' ').next().and_then(|text| text.parse().ok());
        address.ok_or_else(|| std::io::Error::other(format!("no socket address in the log line '{line}'")))
    }

    /// Waits for a log line that contains `text`, and returns the line.
    ///
    /// # Errors
    ///
    /// When the process exits first, or no such line appears in time.
    pub fn wait_for_log(&mut self, text: &str) -> std::io::Result<String> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some((_, line)) = crate::lock(&self.log).iter().find(|(_, line)| line.contains(text)) {
                return Ok(line.clone());
            }
            if let Some(status) = self.exit_status()? {
                let log = self.log().join("\n");
                return Err(std::io::Error::other(format!("the pooler exited with {status}:\n{log}")));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Err(std::io::Error::other(format!("no log line containing '{text}':\n{}", self.log().join("\n"))))
    }

    /// All log lines so far.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        crate::lock(&self.log).iter().map(|(_, line)| line.clone()).collect()
    }

    /// All log lines so far, each with the time when it was read.
    #[must_use]
    pub fn timed_log(&self) -> Vec<LogLine> {
        crate::lock(&self.log).clone()
    }

    /// Overwrites the process's configuration file.
    ///
    /// # Errors
    ///
    /// When the file can't be written.
    pub fn write_config(&self, text: &str) -> std::io::Result<()> {
        std::fs::write(self.folder.join("config.json"), text)
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, for example `TERM`.
    ///
    /// # Errors
    ///
    /// When the name is unknown, the process has ended, or the signal can't be sent.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let signal = match name {
            "TERM" => Signal::TERM,
            "INT" => Signal::INT,
            "HUP" => Signal::HUP,
            "USR1" => Signal::USR1,
            "KILL" => Signal::KILL,
            "STOP" => Signal::STOP,
            "CONT" => Signal::CONT,
            _ => return Err(std::io::Error::other(format!("unsupported signal: {name}"))),
        };
        // A process that has been reaped has no id any more; the id may be that of another process by now.
        if self.reaped {
            return Err(std::io::Error::other("the process has already ended"));
        }
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// The exit status, if the process has ended; its log is complete then.
    ///
    /// # Errors
    ///
    /// When the status can't be read.
    pub fn exit_status(&mut self) -> std::io::Result<Option<std::process::ExitStatus>> {
        let status = self.child.try_wait()?;
        if status.is_some() {
            self.mark_reaped();
        }
        Ok(status)
    }

    /// Waits until the process ends.
    ///
    /// # Errors
    ///
    /// When it does not end in time.
    pub fn wait_for_exit(&mut self) -> std::io::Result<std::process::ExitStatus> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Err(std::io::Error::other("the pooler did not exit in time"))
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        if !self.reaped {
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.mark_reaped();
        }
    }

    /// Marks the process as reaped and waits for the end of its log.
    fn mark_reaped(&mut self) {
        if !std::mem::replace(&mut self.reaped, true) {
            ENDED.fetch_add(1, Ordering::SeqCst);
        }
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
