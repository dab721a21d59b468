//! The data types shared by the router (`choice.rs`) and its hosts: settings, events, actions, ids and outcomes.
//! Routing logic and tuned constants live elsewhere.

use std::ops::{Add, Sub};
use std::sync::Arc;

/// A timestamp on the host's monotonic clock, in microseconds. Only differences are meaningful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub i64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub i64);

impl Span {
    /// The span of the given number of milliseconds.
    #[must_use]
    pub const fn millis(ms: i64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Multiplies the span by a factor; a factor that is not finite counts as zero.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self((self.0 as f64 * if factor.is_finite() { factor } else { 0.0 }) as i64)
    }
}

impl Add<Span> for Time {
    type Output = Self;
    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Self;
    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Sub for Time {
    type Output = Span;
    fn sub(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// The id of a database server: its address as the list names it. Ids are opaque apart from their order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub Arc<str>);

/// A replication group: one primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub i64);

/// The id of one request of a client; a client's retry has another. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// An index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// A client session, whose reads must see its own writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);

/// The number of an attempt of a request, counted from 0 in the order in which they were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNo(pub u32);

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to execute any number of times.
    Safe,
    /// Carries an idempotency key by which the server discards repeats, for a limited time.
    Keyed,
    /// Must never be executed twice.
    Unsafe,
}

/// How current the data must be from which requests of a class are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A write, which only the primary accepts.
    Write,
    /// A read that any member may answer.
    Any,
    /// A read of data no older than this when the request is sent.
    Bounded(Span),
    /// A read that must see everything that its session has written.
    Session,
    /// A read that must see everything that was written before the request arrived.
    Fresh,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, used in log lines only.
    pub name: String,
    /// Whether its requests may be repeated.
    pub effect: Effect,
    /// The consistency that its requests need.
    pub need: Need,
    /// The latency objective: a request answered within this time has its full worth.
    pub aim: Span,
    /// The latency objective is extended by this multiple of the request's own expected work.
    pub aim_stretch: f64,
    /// The worth of one request.
    pub worth: f64,
    /// The fraction of the worth that remains when the answer comes after the latency objective.
    pub late_worth: f64,
}

/// What a member does with a read for which its data is too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checks {
    /// It answers from the data that it has.
    None,
    /// It rejects the read without executing it, immediately or after a wait.
    Refuse,
}

/// Where the position that a session's reads must see comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tokens {
    /// Each request carries how long ago its session last wrote.
    Carried,
    /// The router remembers the commits of the sessions that it has served.
    Remembered,
}

/// How the list of members reaches the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Updates arrive without a subscription.
    Push,
    /// Updates arrive only after [`Action::Subscribe`].
    Ask,
}

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The replication log position, in seconds after [`Settings::zero`].
    Position,
    /// 1 if the member is the primary.
    Primary,
    /// Any other field; no decision uses it.
    Other,
}

impl Field {
    /// The field of this name in the settings.
    #[must_use]
    pub fn named(name: &str) -> Self {
        match name {
            "x0" => Self::Position,
            "x1" => Self::Primary,
            _ => Self::Other,
        }
    }
}

/// A customer with a share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, used in log lines only.
    pub name: String,
    /// Its share in requests per second, over all routers of the fleet.
    pub quota: f64,
}

/// The settings with which a router starts; [`crate::Router::update_settings`] replaces them later on.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, by [`ClassId`].
    pub classes: Vec<Class>,
    /// The tenants, by [`TenantId`].
    pub tenants: Vec<Tenant>,
    /// The number of routers that share the members.
    pub fleet: u32,
    /// The zone of this router.
    pub zone: String,
    /// How the list of members arrives.
    pub discovery: Discovery,
    /// What members do with a read for which their data is too old.
    pub checks: Checks,
    /// Where the positions of sessions come from.
    pub tokens: Tokens,
    /// The time on the host's clock that corresponds to position zero in notes and load reports.
    pub zero: Time,
    /// The fields of a load report, in order.
    pub report: Vec<Field>,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub second_copies: bool,
    /// Whether [`Action::Probe`] is allowed.
    pub probes: bool,
    /// Whether [`Action::Cancel`] is allowed.
    pub cancels: bool,
    /// Whether refusals carry a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that clients honour.
    pub max_retry_after: Span,
    /// No attempt may start later than this after its member was listed as draining or gone.
    pub drain_grace: Span,
    /// If set, the drain grace applies only to members that were listed as draining; one that is removed without that
    /// may still be sent requests.
    pub soft_removal: bool,
    /// The share of its capacity that a member has when it has just started.
    pub cold_share: f64,
    /// The time after its start in which a member reaches its full capacity.
    pub cold_span: Span,
    /// A cold member fails when it is sent more than this multiple of its current capacity for [`Self::fall_span`].
    pub fall_multiple: f64,
    /// How long such an overload must last for a cold member to fail.
    pub fall_span: Span,
    /// The fraction of its worth that a request beyond its tenant's share has.
    pub over_share_worth: f64,
    /// The operators' weights of the service objectives.
    pub goal: Goal,
    /// The expected durations of planned and of unplanned changes of primary, where the operators give them.
    pub changes: [Option<Expected>; 2],
    /// Whether [`Action::Tell`] is allowed.
    pub peers: bool,
    /// This router's number in the fleet; [`Settings::NO_RANK`] if it is not configured.
    pub rank: u32,
    /// The price of one full gossip datagram (256 bytes) per request, as a fraction of the service objective G.
    pub peer_price: f64,
}

/// The expected duration of a change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// No change is shorter.
    pub least: Span,
    /// Most changes are complete by then.
    pub usual: Span,
}

/// The operators' weights of the service objectives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Goal {
    /// Weight of all requests together.
    pub whole: f64,
    /// Weight of the class that is served worst.
    pub worst_class: f64,
}

impl Settings {
    /// The rank of a router whose number is not configured.
    pub const NO_RANK: u32 = u32::MAX;
}

impl Default for Settings {
    /// The most restrictive value of every setting: no classes, and every optional feature off.
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            tenants: Vec::new(),
            fleet: 1,
            zone: String::new(),
            discovery: Discovery::Push,
            checks: Checks::None,
            tokens: Tokens::Remembered,
            zero: Time(0),
            report: Vec::new(),
            max_attempts: 1,
            second_copies: false,
            probes: false,
            cancels: false,
            retry_after: false,
            max_retry_after: Span(0),
            drain_grace: Span(0),
            soft_removal: false,
            cold_share: 1.0,
            cold_span: Span(0),
            fall_multiple: 1.0,
            fall_span: Span(0),
            over_share_worth: 1.0,
            goal: Goal::default(),
            changes: [None; 2],
            peers: false,
            rank: 0,
            peer_price: 0.0,
        }
    }
}

/// The state of a member in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListState {
    /// In service.
    #[default]
    Healthy,
    /// It finishes its open work and must not be sent anything new.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list of members.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The member's id.
    pub member: MemberId,
    /// Its replication group.
    pub group: GroupId,
    /// Its state.
    pub state: ListState,
    /// Whether the list names it as the primary.
    pub primary: bool,
    /// When it last started; `None` if that is unknown or long ago.
    pub started: Option<Time>,
    /// Its zone.
    pub zone: String,
}

/// An update of the list of members.
#[derive(Clone, Debug, PartialEq)]
pub enum Listing {
    /// The complete list.
    Full(Vec<Entry>),
    /// Only the entries that changed.
    Changes(Vec<Entry>),
    /// Fetching the list failed, or the subscription ended with an error.
    Failed,
    /// Members that have been gone for so long that their state can be dropped.
    Forgotten(Vec<MemberId>),
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant; `None` if the settings don't name it. Such a request counts towards no share.
    pub tenant: Option<TenantId>,
    /// Its session.
    pub session: Option<SessionKey>,
    /// The time remaining until the client abandons this request.
    pub left: Span,
    /// The group that holds its data.
    pub group: GroupId,
    /// How long before its arrival its session last committed, with [`Tokens::Carried`].
    pub last_write: Option<Span>,
    /// The expected work, if known.
    pub cost: Option<Span>,
    /// Whether its client marks it as a retry of an earlier request; false where clients don't mark retries.
    pub retry: bool,
}

/// The role that a member reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It is the primary.
    Primary,
    /// It is a replica.
    Replica,
}

/// The note in an answer, with which a member reports its role and position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    /// The member's role; `None` if the note is unreadable.
    pub role: Option<Role>,
    /// The member's log position, or for a write that of its commit; `None` if the note has none.
    pub position: Option<Time>,
}

/// The two log positions that decide whether a member's data is recent enough for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// The position that the request requires; `None` if any will do.
    pub required: Option<Time>,
    /// The position that the member is known to have applied; `None` if it is not known.
    pub position: Option<Time>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answered successfully.
    Ok,
    /// The member returned an error; the request may have run.
    Error,
    /// The member rejected it because it was full; the request never ran.
    Full,
    /// No answer within the timeout; the request may have run.
    Timeout,
    /// The connection was refused; the request never ran.
    ConnectFailed,
    /// Connecting had no answer, because the member or the network path to it is down; the request never ran.
    Unreachable,
    /// The connection to a live member broke before the request was sent completely; the request never ran.
    Broken,
    /// The connection broke after the request was sent; the request may have run.
    Reset,
    /// It was cancelled; the request may have run.
    Cancelled,
    /// It was never sent, because it was no longer needed.
    Moot,
    /// The member rejected it without executing it: it is not the primary, or its data is too old.
    Miss,
}

impl Verdict {
    /// Whether this outcome proves that the request did not run.
    #[must_use]
    pub const fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Full | Self::ConnectFailed | Self::Unreachable | Self::Broken | Self::Moot | Self::Miss
        )
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNo,
    /// The member.
    pub member: MemberId,
    /// How it ended.
    pub verdict: Verdict,
    /// The note in the member's answer.
    pub note: Option<Note>,
    /// The time since the attempt was sent.
    pub took: Span,
    /// Whether the client already has its final answer.
    pub closed: bool,
    /// The member's load report, in the order of [`Settings::report`].
    pub report: Option<Vec<f64>>,
}

/// An input to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of members changed. The first update after the start is the list last known, possibly out of date.
    List(Listing),
    /// A client sent a request.
    Request(Request),
    /// The client has disconnected, or its deadline has passed.
    Gone(RequestId),
    /// A timer set by [`Action::Wake`] has fired.
    Wake,
    /// A streamed answer has begun; the router no longer controls the attempt or answers the client.
    Streaming(RequestId),
    /// An attempt has ended.
    Outcome(Outcome),
    /// A datagram from another router arrived. It may be late, and its contents are not trusted.
    Told {
        /// The sender's number, derived from its address.
        from: u32,
        /// The datagram's contents.
        bytes: Vec<u8>,
    },
    /// A probe has ended.
    Probed {
        /// The member.
        member: MemberId,
        /// How it ended.
        verdict: Verdict,
        /// The time since it was sent.
        took: Span,
        /// The member's report.
        report: Option<Vec<f64>>,
    },
}

/// An output of the router, which the host carries out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The member to send it to.
        member: MemberId,
        /// The attempt's timeout.
        timeout: Span,
    },
    /// Answer the client: refused, and safe to retry.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Option<Span>,
    },
    /// Answer the client: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Ask a member for its load report.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Send a datagram to other routers; delivery is not guaranteed.
    Tell {
        /// The receivers.
        to: crate::peers::To,
        /// The datagram, at most [`crate::peers::MAX_DATAGRAM_LEN`] bytes.
        bytes: Vec<u8>,
    },
    /// Deliver an [`Event::Wake`] at this time.
    Wake {
        /// The time of the wake-up.
        at: Time,
    },
    /// Subscribe to the list of members.
    Subscribe,
    /// Write a line to the log for the operators.
    Log {
        /// The text, a single line.
        line: String,
    },
}
