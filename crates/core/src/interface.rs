//! The plain types between the decisions (`choice.rs`) and whoever hosts them: settings, events,
//! actions, ids and outcomes. No decision and no tuned value stands here.

use std::ops::{Add, Sub};
use std::sync::Arc;

/// A moment on the host's clock, in microseconds. Only differences matter; it never runs backwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub i64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub i64);

impl Span {
    /// A span of so many whole milliseconds.
    #[must_use]
    pub const fn millis(ms: i64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// The span times a factor; a factor that is not finite counts as zero.
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

/// The address of a database as the list names it. Ids are sorted, and carry no other meaning.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub Arc<str>);

/// A replication group: one primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub i64);

/// One try of a client. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// An index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// A client session; its reads must see its writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);

/// The number of an attempt of a request, from 0 in the order of its sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNo(pub u32);

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Carries a key by which its repeats are discarded, for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// How current the data must be that a class is answered from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A write: only the primary takes it.
    Write,
    /// Any member will do.
    Any,
    /// Data no older than this when the request is sent.
    Bounded(Span),
    /// All that the session has written.
    Session,
    /// All that was written before the request came in.
    Fresh,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, for log lines only.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// How current its data must be.
    pub need: Need,
    /// Answered within this time it has its full worth.
    pub aim: Span,
    /// The aim is extended by this multiple of the request's own expected work.
    pub aim_stretch: f64,
    /// What one request is worth.
    pub worth: f64,
    /// The share of the worth that an answer after the aim still has.
    pub late_worth: f64,
}

/// What a member does with a read for which it is too far behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checks {
    /// It answers from what it has.
    None,
    /// It turns the read away untouched, at once or after a wait.
    Refuse,
}

/// Where a session read's token comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tokens {
    /// The request says how long ago its session last wrote.
    Carried,
    /// The router remembers the commits that it has seen.
    Remembered,
}

/// How the list of members reaches the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Unasked.
    Push,
    /// Only after [`Action::Subscribe`].
    Ask,
}

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The log position, in seconds after [`Settings::zero`].
    Position,
    /// 1 from a primary.
    Primary,
    /// Anything else; not decided by.
    Other,
}

impl Field {
    /// The value that a report calls so.
    #[must_use]
    pub fn named(name: &str) -> Self {
        match name {
            "x0" => Self::Position,
            "x1" => Self::Primary,
            _ => Self::Other,
        }
    }
}

/// A customer whose traffic has a share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, for log lines only.
    pub name: String,
    /// Requests a second within its share, over all routers.
    pub quota: f64,
}

/// What a router is told when it starts, and by [`crate::Router::update_settings`] later on.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, by [`ClassId`].
    pub classes: Vec<Class>,
    /// The tenants, by [`TenantId`].
    pub tenants: Vec<Tenant>,
    /// How many routers share the members.
    pub fleet: u32,
    /// The zone of this router.
    pub zone: String,
    /// How the list arrives.
    pub discovery: Discovery,
    /// What members do with a read they are too far behind for.
    pub checks: Checks,
    /// Where session tokens come from.
    pub tokens: Tokens,
    /// Position zero of notes and reports, on the host's clock.
    pub zero: Time,
    /// What load reports hold, in order.
    pub report: Vec<Field>,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be out together.
    pub second_copies: bool,
    /// Whether [`Action::Probe`] is allowed.
    pub probes: bool,
    /// Whether [`Action::Cancel`] is allowed.
    pub cancels: bool,
    /// Whether clients are shown a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that a client heeds.
    pub max_retry_after: Span,
    /// Nothing new to a member later than this after it was listed as draining or gone.
    pub drain_grace: Span,
    /// The drain rule binds only members that were seen draining.
    pub soft_removal: bool,
    /// A started member has this share of its capacity, or more.
    pub cold_share: f64,
    /// A started member is warm after this.
    pub cold_span: Span,
    /// A cold member that is sent more than this multiple of its capacity
    pub fall_multiple: f64,
    /// for this long falls over.
    pub fall_span: Span,
    /// How much work over its tenant's share is worth, as a part of the usual.
    pub over_share_worth: f64,
    /// What the operators weigh.
    pub goal: Goal,
    /// How long planned changes of primary take, and others, as far as the operators know.
    pub changes: [Option<Expected>; 2],
    /// Whether [`Action::Tell`] is allowed.
    pub peers: bool,
    /// The own number among the routers of the fleet; [`Settings::NO_RANK`] where it was not told.
    pub rank: u32,
    /// What one full message (256 bytes) for each request costs, as a part of G.
    pub peer_price: f64,
}

/// How long changes of primary take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// None is over sooner.
    pub least: Span,
    /// Most are over by then.
    pub usual: Span,
}

/// The operators' weights of service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Goal {
    /// All that was asked for.
    pub whole: f64,
    /// The worst-served class.
    pub worst_class: f64,
}

impl Settings {
    /// Stands for a number that was not told.
    pub const NO_RANK: u32 = u32::MAX;
}

impl Default for Settings {
    /// The most careful reading of every setting: no classes, nothing optional allowed.
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

/// What the list says of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListState {
    /// In service.
    #[default]
    Healthy,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The member.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its state.
    pub state: ListState,
    /// Whether the list holds it to be the primary.
    pub primary: bool,
    /// When it last started; `None` for long ago.
    pub started: Option<Time>,
    /// Its zone.
    pub zone: String,
}

/// News of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Listing {
    /// The whole list.
    Full(Vec<Entry>),
    /// Changed entries only.
    Changes(Vec<Entry>),
    /// A call for the list failed, or the subscription broke.
    Failed,
    /// Members that were gone for so long that nothing needs to be known of them any more.
    Forgotten(Vec<MemberId>),
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant; `None` for one that the settings don't name. Such a request counts in nobody's share.
    pub tenant: Option<TenantId>,
    /// Its session.
    pub session: Option<SessionKey>,
    /// The time left until the client gives this try up.
    pub left: Span,
    /// The group whose data it is about.
    pub group: GroupId,
    /// How long before its arrival its session last committed, where tokens are carried.
    pub last_write: Option<Span>,
    /// The expected work, where it is known.
    pub cost: Option<Span>,
    /// Its client marks it as a retry of an earlier one; never where clients mark none.
    pub retry: bool,
}

/// What a member said of its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It is the primary.
    Primary,
    /// It is a replica.
    Replica,
}

/// The note in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    /// The role; `None` if the note is unreadable.
    pub role: Option<Role>,
    /// The log position, or for a write its commit; `None` where it is not told.
    pub position: Option<Time>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Fulfilled.
    Ok,
    /// The member returned an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection: nobody listens; it never ran.
    ConnectFailed,
    /// No connection: nobody answers, be it that the member is gone or that the way to it is; it never ran.
    Unreachable,
    /// A connection to a member that lives broke before all was sent; it never ran.
    Broken,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent at all.
    Moot,
    /// Turned away untouched: not the primary, or too far behind.
    Miss,
}

impl Verdict {
    /// Whether the outcome proves that nothing ran.
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
    /// Which of its attempts.
    pub attempt: AttemptNo,
    /// The member.
    pub member: MemberId,
    /// How it ended.
    pub verdict: Verdict,
    /// The member's note.
    pub note: Option<Note>,
    /// The time since the attempt was sent.
    pub took: Span,
    /// Whether the client has its final answer.
    pub closed: bool,
    /// The member's load report, in the order of [`Settings::report`].
    pub report: Option<Vec<f64>>,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list. The first one after the start is the list last held, possibly old.
    List(Listing),
    /// A client asks.
    Request(Request),
    /// A client has left, or the answer is overdue.
    Gone(RequestId),
    /// A wake-up that was asked for.
    Wake,
    /// A streamed answer has begun; the attempt belongs to the client now.
    Streaming(RequestId),
    /// An attempt has ended.
    Outcome(Outcome),
    /// Another router has told something; it may be late, or anything at all.
    Told {
        /// The router's number, by the address that it came from.
        from: u32,
        /// What came.
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

/// Something for the host to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        member: MemberId,
        /// Its time-out.
        timeout: Span,
    },
    /// Final answer: refused; a retry does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client should come back.
        retry_after: Option<Span>,
    },
    /// Final answer: failed; nothing is promised.
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
    /// Ask a member for its report.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Tell other routers; it may come late or never.
    Tell {
        /// Whom.
        to: crate::peers::To,
        /// What, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Give an [`Event::Wake`] at this time.
    Wake {
        /// When.
        at: Time,
    },
    /// Subscribe to the list.
    Subscribe,
    /// A line for the people on call.
    Log {
        /// The text, one line.
        line: String,
    },
}
