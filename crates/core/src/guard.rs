//! The guard before each irreversible step: sending the first byte of an attempt (including repeats), closing a
//! client's connection, and starting to serve. Hosts call it immediately before the step, after everything that
//! they had to wait for, with the facts as they are then. Nothing here performs I/O or reads a clock.

use crate::interface::{Effect, Span};

/// The facts that decide whether an attempt may begin, just before its first byte is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendFacts {
    /// The member takes new work, according to the current list.
    pub member_in_service: bool,
    /// The client is still connected.
    pub client_connected: bool,
    /// The client was known to be connected shortly before.
    pub client_observed: bool,
    /// The process is not about to end, so that it may begin new attempts.
    pub process_serving: bool,
    /// The member's data is recent enough for the class, or the member checks that itself.
    pub data_fresh: bool,
    /// The time remaining for the attempt and for its client.
    pub time_left: Span,
    /// The number of other attempts of the request that are in flight.
    pub other_attempts: usize,
    /// The settings and the class allow a second attempt beside the first.
    pub copies_allowed: bool,
    /// An earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether and how the request may be repeated.
    pub effect: Effect,
}

/// The reason for which an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SendDenied {
    /// The client has closed its connection or cancelled.
    ClientLeft,
    /// The client has sent so much ahead that it is not known whether it is still connected.
    ClientHidden,
    /// The process is about to end.
    ProcessEnds,
    /// The member drains, is gone, or is unknown.
    MemberWithdrawn,
    /// No time is left.
    TimeOver,
    /// Another attempt is in flight and copies are not allowed.
    AnotherOut,
    /// The request may have run already and must not run again.
    MayHaveRun,
    /// The member's data has become too old while the attempt waited, for example for a connection.
    DataTooOld,
    /// A request with this id may have run already and must not run again.
    IdUsed,
}

impl SendFacts {
    /// Checks whether the attempt may begin.
    ///
    /// # Errors
    ///
    /// Returns the first reason against it. Reasons that end the request come before those that end only the
    /// attempt.
    pub fn check(&self) -> Result<(), SendDenied> {
        let reasons = [
            (!self.client_connected, SendDenied::ClientLeft),
            (!self.client_observed, SendDenied::ClientHidden),
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

/// The facts that decide whether a client's connection may be closed from this side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CloseFacts {
    /// The number of complete requests that were read from it and have no final answer.
    pub requests_unanswered: usize,
    /// The client has closed its side, or the connection has failed.
    pub client_left: bool,
}

impl CloseFacts {
    /// Whether it may be closed now: a client that is still connected gets an answer to each request that was read.
    #[must_use]
    pub fn may_close(&self) -> bool {
        self.client_left || self.requests_unanswered == 0
    }
}

/// The facts that decide whether a process may begin to accept clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartFacts {
    /// The initial list of servers is loaded.
    pub list_held: bool,
    /// Its signal handlers are installed, so that no request to stop or to reload the configuration is lost.
    pub signals_handled: bool,
    /// If it replaces another process: discovery has delivered a list, or its time to do so has elapsed.
    pub discovery_waited_for: bool,
}

impl StartFacts {
    /// Whether clients may be accepted.
    #[must_use]
    pub fn may_serve(&self) -> bool {
        self.list_held && self.signals_handled && self.discovery_waited_for
    }
}
