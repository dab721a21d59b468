//! What the pooler took in, sent and answered.

use linnetdeal_core::Verdict;
use linnetdeal_core::guard::SendDenied;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

/// A count that only grows.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// One more.
    pub fn add(&self) {
        self.0.set(self.0.get().saturating_add(1));
    }

    /// How many so far.
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

/// All counts since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Client connections accepted.
    pub clients: Count,
    /// Client connections turned away for want of room.
    pub crowded_out: Count,
    /// Requests taken.
    pub taken: Count,
    /// Statements that were no request and got an error.
    pub rejected: Count,
    /// Attempts handed to the upstream side.
    pub sent: Count,
    /// Requests answered with a value.
    pub served: Count,
    /// Requests refused.
    pub refused: Count,
    /// Requests failed.
    pub failed: Count,
    /// Requests whose client left first.
    pub gone: Count,
    /// Connections opened to servers.
    pub dials: Count,
    /// Connections closed for what came behind an answer.
    pub unsettled: Count,
    /// Times that a connection had to wait for room in the own budget.
    pub short: Count,
    /// Probes sent.
    pub probes: Count,
    /// Datagrams sent to other poolers; one to the address of all counts once.
    pub told: Count,
    /// Datagrams of other poolers.
    pub heard: Count,
    /// Datagrams of anybody else.
    pub strangers: Count,
    /// Configurations read again.
    pub reloads: Count,
    /// Watches of discovery opened.
    pub watches: Count,
    /// Waits for signals that failed.
    pub signal_errors: Count,
    outcomes: [Count; 11],
    denials: [Count; 7],
    closes: [Count; 10],
}

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or said that it ends.
    ClientLeft,
    /// It broke.
    Broken,
    /// What came on it is no message of the protocol.
    Protocol,
    /// A command, or the taking of an answer, took too long.
    Slow,
    /// Too many commands were no use.
    Errors,
    /// All places were taken when it came.
    NoRoom,
    /// It was idle and made room for others.
    MadeRoom,
    /// The process ends.
    ProcessEnds,
    /// The people on call have emptied the pooler.
    Emptied,
    /// A newer process takes the client over.
    HandedOver,
}

impl CloseReason {
    /// Whether nobody was there any more.
    #[must_use]
    pub fn is_client_disconnect(self) -> bool {
        matches!(self, Self::ClientLeft | Self::Broken)
    }
}

/// What is shown on request and at the end: the counters, and what others count beside them.
#[derive(Default)]
pub struct StatusLog {
    /// The counters.
    pub counters: Rc<Counters>,
    beside: RefCell<Vec<Rc<dyn fmt::Display>>>,
}

impl StatusLog {
    /// Has this shown as well.
    pub fn add(&self, what: Rc<dyn fmt::Display>) {
        self.beside.borrow_mut().push(what);
    }

    /// Writes all to the log, a line each.
    pub fn log(&self) {
        tracing::info!("{}", self.counters);
        for what in self.beside.borrow().iter() {
            tracing::info!("{what}");
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

const DENIALS: [(SendDenied, &str); 7] = [
    (SendDenied::ClientLeft, "client_left"),
    (SendDenied::ProcessEnds, "process_ends"),
    (SendDenied::MemberWithdrawn, "member_withdrawn"),
    (SendDenied::TimeOver, "time_over"),
    (SendDenied::AnotherOut, "another_out"),
    (SendDenied::MayHaveRun, "may_have_run"),
    (SendDenied::DataTooOld, "data_too_old"),
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
    /// Counts a client's connection that was closed.
    pub fn closed(&self, why: CloseReason) {
        for ((of, _), count) in CLOSES.iter().zip(&self.closes) {
            if *of == why {
                count.add();
            }
        }
    }

    /// Counts an attempt that the guard did not let begin.
    pub fn denied(&self, why: SendDenied) {
        for ((of, _), count) in DENIALS.iter().zip(&self.denials) {
            if *of == why {
                count.add();
            }
        }
    }

    /// Counts the end of an attempt.
    pub fn outcome(&self, verdict: Verdict) {
        for ((of, _), count) in VERDICTS.iter().zip(&self.outcomes) {
            if *of == verdict {
                count.add();
            }
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = [
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
            ("probes", &self.probes),
            ("told", &self.told),
            ("heard", &self.heard),
            ("strangers", &self.strangers),
            ("reloads", &self.reloads),
            ("watches", &self.watches),
            ("signal_errors", &self.signal_errors),
        ];
        write!(f, "counters")?;
        for (name, count) in named {
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
