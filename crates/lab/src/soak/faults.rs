//! The troubles of a soak, and how often each was injected.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// SIGTERM, and a start from nothing.
    Stop,
    /// SIGKILL, and a start from nothing.
    Kill,
    /// SIGSTOP for no more than 0.15 s.
    Pause,
    /// SIGHUP with a changed configuration.
    Reload,
    /// Two such in quick succession, the first of which can't be used.
    ReloadTwice,
    /// SIGHUP with another address of discovery.
    MoveDiscovery,
    /// A server drains, and comes back started anew.
    Drain,
    /// A server is taken off the list, and comes back started anew.
    Remove,
    /// A server resets all connections and refuses new ones for a while.
    ServerDown,
    /// A server answers nothing for a while.
    ServerHang,
    /// A server is slow for a while.
    ServerSlow,
    /// A server answers with errors for a while.
    ServerErrors,
    /// A server turns all away for a while.
    ServerFull,
    /// A server answers with 57P03, which proves nothing behind a statement.
    ServerOddCode,
    /// A replica falls behind.
    ReplicaLag,
    /// Connections to servers come up late.
    LateConnect,
    /// Connections are reset once a statement is all sent.
    ResetAfter,
    /// Connections are reset in the middle of a statement.
    ResetMiddle,
    /// Idle connections are closed by the servers.
    IdleClose,
    /// Answers break off in the middle.
    HalfAnswer,
    /// Something comes behind an answer that is nobody's.
    Noise,
    /// Bytes to and from servers come one by one.
    Dribble,
    /// Open watches fall silent.
    WatchSilent,
    /// Open watches are reset.
    WatchReset,
    /// Discovery refuses new watches.
    WatchRefused,
    /// Discovery is down: nothing is learned, nothing answered.
    DiscoveryDown,
    /// A client leaves while its request is open.
    ClientLeaves,
    /// A client stops in the middle of a command and stays.
    ClientStops,
    /// A client sends what makes no sense.
    ClientGarbage,
    /// A client sends many requests at once.
    ClientPipelines,
    /// A client writes a byte at a time.
    ClientDribbles,
}

/// All that are scheduled; clients' own come by chance with their requests.
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

/// What holds, and what was injected.
#[derive(Debug, Default)]
pub struct Faults {
    active_until: BTreeMap<FaultKind, Instant>,
    injected: BTreeMap<FaultKind, u64>,
}

impl Faults {
    /// A kind holds for so long from now.
    pub fn activate(&mut self, kind: FaultKind, duration: Duration) {
        let end = Instant::now() + duration;
        let until = self.active_until.entry(kind).or_insert(end);
        *until = end.max(*until);
    }

    /// Whether it holds.
    #[must_use]
    pub fn is_active(&self, kind: FaultKind) -> bool {
        self.active_until.get(&kind).is_some_and(|until| Instant::now() < *until)
    }

    /// It took effect once.
    pub fn count_injection(&mut self, kind: FaultKind) {
        *self.injected.entry(kind).or_default() += 1;
    }

    /// How often each took effect.
    #[must_use]
    pub fn counts(&self) -> &BTreeMap<FaultKind, u64> {
        &self.injected
    }
}
