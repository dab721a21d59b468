//! The one guard before each irreversible step: an attempt's first byte (also that of a repeat), the end of a client's
//! connection, and the start of service. It is asked in the moment of the step, after whatever was waited for, and looks at
//! facts as they stand then. No I/O and no clock.

use crate::interface::{Effect, Span};

/// All that bears on whether an attempt may begin, in the moment before its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendFacts {
    /// The member takes new work, by the list as known now.
    pub member_in_service: bool,
    /// The client is still connected.
    pub client_connected: bool,
    /// The process may still begin something.
    pub process_serving: bool,
    /// What the member knows is recent enough for the class, or the member checks that itself.
    pub data_fresh: bool,
    /// How long the attempt and its client still have.
    pub time_left: Span,
    /// Other attempts of the request that are out.
    pub other_attempts: usize,
    /// The settings and the class allow a second copy.
    pub copies_allowed: bool,
    /// An earlier attempt may have run.
    pub may_have_run: bool,
    /// What a repeat of the request does.
    pub effect: Effect,
}

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SendDenied {
    /// The client has closed its connection or cancelled.
    ClientLeft,
    /// The process ends.
    ProcessEnds,
    /// The member drains, is gone, or is not known.
    MemberWithdrawn,
    /// No time is left.
    TimeOver,
    /// Another attempt is out and copies are not allowed.
    AnotherOut,
    /// It may have run already and must not run again.
    MayHaveRun,
    /// The member's data has become too old while the attempt waited.
    DataTooOld,
}

impl SendFacts {
    /// Whether the attempt may begin.
    ///
    /// # Errors
    ///
    /// The first reason against it; what ends the request comes before what ends only the attempt.
    pub fn check(&self) -> Result<(), SendDenied> {
        let reasons = [
            (!self.client_connected, SendDenied::ClientLeft),
            (!self.process_serving, SendDenied::ProcessEnds),
            (!self.member_in_service, SendDenied::MemberWithdrawn),
            (self.time_left <= Span(0), SendDenied::TimeOver),
            (self.other_attempts > 0 && !self.copies_allowed, SendDenied::AnotherOut),
            (self.may_have_run && self.effect != Effect::Safe, SendDenied::MayHaveRun),
            (!self.data_fresh, SendDenied::DataTooOld),
        ];
        let denied = reasons.into_iter().find_map(|(holds, why)| holds.then_some(why));
        denied.map_or(Ok(()), Err)
    }
}

/// All that bears on whether a client's connection may be closed from this side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CloseFacts {
    /// Whole requests that were read from it and have no final answer.
    pub requests_unanswered: usize,
    /// The client has closed its side, or the connection has failed.
    pub client_left: bool,
}

impl CloseFacts {
    /// Whether it may be closed now: whoever is still there is owed an answer to each request that was read.
    #[must_use]
    pub fn may_close(&self) -> bool {
        self.client_left || self.requests_unanswered == 0
    }
}

/// All that bears on whether a process may begin to take clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartFacts {
    /// The list that it was started with is held.
    pub list_held: bool,
    /// Its signals are handled: a stop or a new configuration that comes from now on is not lost.
    pub signals_handled: bool,
    /// Where it takes another process's place: discovery has spoken, or was given its time to.
    pub discovery_waited_for: bool,
}

impl StartFacts {
    /// Whether clients may be taken.
    #[must_use]
    pub fn may_serve(&self) -> bool {
        self.list_held && self.signals_handled && self.discovery_waited_for
    }
}
