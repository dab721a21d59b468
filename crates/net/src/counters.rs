//! Counters of clients, requests, attempts and answers.

use linnetdeal_core::Verdict;
use linnetdeal_core::guard::SendDenied;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

/// A counter that only increases; it saturates.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// Adds one.
    pub fn add(&self) {
        self.0.set(self.0.get().saturating_add(1));
    }

    /// The current value.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.get().fmt(f)
    }
}

/// All counters since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Client connections accepted.
    pub clients: Count,
    /// Client connections refused because all connection slots were taken.
    pub crowded_out: Count,
    /// Requests accepted.
    pub taken: Count,
    /// Statements that were not requests and were answered with an error.
    pub rejected: Count,
    /// Attempts passed to the connection pool.
    pub sent: Count,
    /// Requests answered successfully.
    pub served: Count,
    /// Requests refused.
    pub refused: Count,
    /// Requests that failed.
    pub failed: Count,
    /// Requests whose client disconnected before the answer.
    pub gone: Count,
    /// Connection attempts to servers.
    pub dials: Count,
    /// Server connections closed because unexpected data followed an answer.
    pub unsettled: Count,
    /// Times a connection had to wait because the process's budget of descriptors was used up.
    pub short: Count,
    /// Statements refused unread because there was no memory for them.
    pub short_of_memory: Count,
    /// Probes sent.
    pub probes: Count,
    /// Datagrams sent to other poolers; one sent to the address of all poolers counts once.
    pub told: Count,
    /// Datagrams received from other poolers.
    pub heard: Count,
    /// Datagrams received from unknown addresses.
    pub strangers: Count,
    /// Configuration reloads.
    pub reloads: Count,
    /// Discovery watches opened.
    pub watches: Count,
    /// Failed reads of the signal pipe.
    pub signal_errors: Count,
    outcomes: [Count; 11],
    denials: [Count; 9],
    closes: [Count; 10],
}

/// Why a client connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, with or without a termination message.
    ClientLeft,
    /// The connection broke.
    Broken,
    /// The client violated the protocol.
    Protocol,
    /// The client took too long to send a command or to read an answer.
    Slow,
    /// Too many commands were invalid.
    Errors,
    /// All connection slots were taken when it was accepted.
    NoRoom,
    /// It was idle and closed to free its slot for another client.
    MadeRoom,
    /// The process ends.
    ProcessEnds,
    /// The pooler was drained by an operator or a maintenance plan.
    Emptied,
    /// A newer process takes over the clients.
    HandedOver,
}

impl CloseReason {
    /// Whether the client was no longer connected.
    #[must_use]
    pub fn is_client_disconnect(self) -> bool {
        matches!(self, Self::ClientLeft | Self::Broken)
    }
}

/// Logged on request and at exit: the counters, and the entries that other components have registered.
#[derive(Default)]
pub struct StatusLog {
    /// The counters.
    pub counters: Rc<Counters>,
    entries: RefCell<Vec<Rc<dyn fmt::Display>>>,
}

impl StatusLog {
    /// Registers a further entry.
    pub fn add(&self, entry: Rc<dyn fmt::Display>) {
        self.entries.borrow_mut().push(entry);
    }

    /// Logs the counters and all entries, one line each.
    pub fn log(&self) {
        tracing::info!("{}", self.counters);
        for entry in self.entries.borrow().iter() {
            tracing::info!("{entry}");
        }
    }
}

const VERDICTS: [(Verdict, &str); 11] = [
    (Verdict::Ok, "ok"),
    (Verdict::Error, "error"),
    (Verdict::Full, "full"),
    (Verdict::Timeout, "timeout"),
    (Verdict::ConnectFailed, "connect_failed"),
    (Verdict::Unreachable, "unreachable"),
    (Verdict::Broken, "broken"),
    (Verdict::Reset, "reset"),
    (Verdict::Cancelled, "cancelled"),
    (Verdict::Moot, "moot"),
    (Verdict::Miss, "miss"),
];

const DENIALS: [(SendDenied, &str); 9] = [
    (SendDenied::ClientLeft, "client_left"),
    (SendDenied::ClientHidden, "client_hidden"),
    (SendDenied::ProcessEnds, "process_ends"),
    (SendDenied::MemberWithdrawn, "member_withdrawn"),
    (SendDenied::TimeOver, "time_over"),
    (SendDenied::AnotherOut, "another_out"),
    (SendDenied::MayHaveRun, "may_have_run"),
    (SendDenied::DataTooOld, "data_too_old"),
    (SendDenied::IdUsed, "id_used"),
];

const CLOSES: [(CloseReason, &str); 10] = [
    (CloseReason::ClientLeft, "client_left"),
    (CloseReason::Broken, "broken"),
    (CloseReason::Protocol, "protocol"),
    (CloseReason::Slow, "slow"),
    (CloseReason::Errors, "errors"),
    (CloseReason::NoRoom, "no_room"),
    (CloseReason::MadeRoom, "made_room"),
    (CloseReason::ProcessEnds, "process_ends"),
    (CloseReason::Emptied, "emptied"),
    (CloseReason::HandedOver, "handed_over"),
];

impl Counters {
    /// Counts a closed client connection.
    pub fn closed(&self, why: CloseReason) {
        for ((key, _), count) in CLOSES.iter().zip(&self.closes) {
            if *key == why {
                count.add();
            }
        }
    }

    /// Counts an attempt that the send guard denied.
    pub fn denied(&self, why: SendDenied) {
        for ((key, _), count) in DENIALS.iter().zip(&self.denials) {
            if *key == why {
                count.add();
            }
        }
    }

    /// Counts the outcome of an attempt.
    pub fn outcome(&self, verdict: Verdict) {
        for ((key, _), count) in VERDICTS.iter().zip(&self.outcomes) {
            if *key == verdict {
                count.add();
            }
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let labeled = [
            ("clients", &self.clients),
            ("crowded_out", &self.crowded_out),
            ("taken", &self.taken),
            ("rejected", &self.rejected),
            ("sent", &self.sent),
            ("served", &self.served),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("gone", &self.gone),
            ("dials", &self.dials),
            ("unsettled", &self.unsettled),
            ("short", &self.short),
            ("short_of_memory", &self.short_of_memory),
            ("probes", &self.probes),
            ("told", &self.told),
            ("heard", &self.heard),
            ("strangers", &self.strangers),
            ("reloads", &self.reloads),
            ("watches", &self.watches),
            ("signal_errors", &self.signal_errors),
        ];
        write!(f, "counters")?;
        for (name, count) in labeled {
            write!(f, " {name}={}", count.0.get())?;
        }
        for ((_, name), count) in VERDICTS.iter().zip(&self.outcomes) {
            write!(f, " outcome.{name}={}", count.0.get())?;
        }
        for ((_, name), count) in CLOSES.iter().zip(&self.closes) {
            write!(f, " closed.{name}={}", count.0.get())?;
        }
        for ((_, name), count) in DENIALS.iter().zip(&self.denials) {
            write!(f, " denied.{name}={}", count.0.get())?;
        }
        Ok(())
    }
}
