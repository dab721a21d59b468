//! The faults of a soak, and how often each was injected.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// SIGTERM, and a start from nothing.
    Stop,
    /// SIGKILL, and a start from nothing.
    Kill,
    /// SIGSTOP for at most 0.15 s.
    Pause,
    /// SIGHUP with a changed configuration.
    Reload,
    /// Two reloads in quick succession, the first with an invalid configuration.
    ReloadTwice,
    /// SIGHUP with another address of discovery.
    MoveDiscovery,
    /// A server drains, and returns restarted.
    Drain,
    /// A server is removed from the list, and returns restarted.
    Remove,
    /// A server resets all connections and refuses new ones for a while.
    ServerDown,
    /// A server answers nothing for a while.
    ServerHang,
    /// A server is slow for a while.
    ServerSlow,
    /// A server answers with errors for a while.
    ServerErrors,
    /// A server rejects all requests for a while, as if it had no connection slots left.
    ServerFull,
    /// A server answers a statement with 57P03, which does not prove that the statement has not run.
    ServerOddCode,
    /// A replica's lag grows.
    ReplicaLag,
    /// Connections to servers are slow to open.
    LateConnect,
    /// Connections are reset after a statement has been sent completely.
    ResetAfter,
    /// Connections are reset in the middle of a statement.
    ResetMiddle,
    /// Servers close idle connections.
    IdleClose,
    /// Answers are truncated.
    HalfAnswer,
    /// An unsolicited message follows an answer.
    Noise,
    /// Data to and from servers arrives in small pieces.
    Dribble,
    /// Open watches fall silent.
    WatchSilent,
    /// Open watches are reset.
    WatchReset,
    /// Discovery refuses new watches.
    WatchRefused,
    /// Discovery is down: it learns and answers nothing.
    DiscoveryDown,
    /// A client disconnects while its request is open.
    ClientLeaves,
    /// A client stops in the middle of a command and stays connected.
    ClientStops,
    /// A client sends garbage.
    ClientGarbage,
    /// A client pipelines many requests.
    ClientPipelines,
    /// A client writes a few bytes at a time.
    ClientDribbles,
    /// Hundreds of clients connect and stay silent, in the runs that have crowds.
    ClientCrowd,
}

/// The scheduled faults; the clients' own faults are drawn for each request.
pub const SCHEDULED_FAULTS: [FaultKind; 26] = [
    FaultKind::Stop,
    FaultKind::Kill,
    FaultKind::Pause,
    FaultKind::Reload,
    FaultKind::ReloadTwice,
    FaultKind::MoveDiscovery,
    FaultKind::Drain,
    FaultKind::Remove,
    FaultKind::ServerDown,
    FaultKind::ServerHang,
    FaultKind::ServerSlow,
    FaultKind::ServerErrors,
    FaultKind::ServerFull,
    FaultKind::ServerOddCode,
    FaultKind::ReplicaLag,
    FaultKind::LateConnect,
    FaultKind::ResetAfter,
    FaultKind::ResetMiddle,
    FaultKind::IdleClose,
    FaultKind::HalfAnswer,
    FaultKind::Noise,
    FaultKind::Dribble,
    FaultKind::WatchSilent,
    FaultKind::WatchReset,
    FaultKind::WatchRefused,
    FaultKind::DiscoveryDown,
];

/// The active faults, and how often each kind was injected.
#[derive(Debug, Default)]
pub struct Faults {
    active_until: BTreeMap<FaultKind, Instant>,
    injected: BTreeMap<FaultKind, u64>,
}

impl Faults {
    /// Makes a fault active for this long from now, or longer if it already is.
    pub fn activate(&mut self, kind: FaultKind, duration: Duration) {
        let end = Instant::now() + duration;
        let until = self.active_until.entry(kind).or_insert(end);
        *until = end.max(*until);
    }

    /// Whether a fault is active.
    #[must_use]
    pub fn is_active(&self, kind: FaultKind) -> bool {
        self.active_until.get(&kind).is_some_and(|until| Instant::now() < *until)
    }

    /// Counts one effect of a fault.
    pub fn count_injection(&mut self, kind: FaultKind) {
        *self.injected.entry(kind).or_default() += 1;
    }

    /// How often each fault took effect.
    #[must_use]
    pub fn counts(&self) -> &BTreeMap<FaultKind, u64> {
        &self.injected
    }
}
