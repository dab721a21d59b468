//! The troubles of a soak, and how often each was injected.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
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
pub const KINDS: [Kind; 26] = [
    Kind::Stop,
    Kind::Kill,
    Kind::Pause,
    Kind::Reload,
    Kind::ReloadTwice,
    Kind::MoveDiscovery,
    Kind::Drain,
    Kind::Remove,
    Kind::ServerDown,
    Kind::ServerHang,
    Kind::ServerSlow,
    Kind::ServerErrors,
    Kind::ServerFull,
    Kind::ServerOddCode,
    Kind::ReplicaLag,
    Kind::LateConnect,
    Kind::ResetAfter,
    Kind::ResetMiddle,
    Kind::IdleClose,
    Kind::HalfAnswer,
    Kind::Noise,
    Kind::Dribble,
    Kind::WatchSilent,
    Kind::WatchReset,
    Kind::WatchRefused,
    Kind::DiscoveryDown,
];

/// What holds, and what was injected.
#[derive(Debug, Default)]
pub struct Troubles {
    until: BTreeMap<Kind, Instant>,
    injected: BTreeMap<Kind, u64>,
}

impl Troubles {
    /// A kind holds for so long from now.
    pub fn begin(&mut self, kind: Kind, length: Duration) {
        let end = Instant::now() + length;
        let until = self.until.entry(kind).or_insert(end);
        *until = end.max(*until);
    }

    /// Whether it holds.
    #[must_use]
    pub fn holds(&self, kind: Kind) -> bool {
        self.until.get(&kind).is_some_and(|until| Instant::now() < *until)
    }

    /// It took effect once.
    pub fn injected(&mut self, kind: Kind) {
        *self.injected.entry(kind).or_default() += 1;
    }

    /// How often each took effect.
    #[must_use]
    pub fn counts(&self) -> &BTreeMap<Kind, u64> {
        &self.injected
    }
}
