//! A plan, which never changes, and its record, which says how far each machine is.

use crate::lease::Token;
use linnetdeal_core::membership::fnv1a;

/// No plan names more machines: its record has to fit into one datagram.
pub const MAX_MACHINES: usize = 256;
/// Machines that one letter names.
pub const PART: usize = 22;

/// What kind of machines a plan is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum MachineKind {
    /// Those of servers, known by what stands for their ids.
    #[default]
    Servers,
    /// Those of poolers, known by their numbers.
    Poolers,
}

/// Which machines need work, in the order in which they were named.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Plan {
    /// What they are.
    pub kind: MachineKind,
    /// Which they are: what stands for a server's id (`membership::stands_for`), or a pooler's number.
    pub machines: Vec<u64>,
    /// Tells plans of the same machines apart.
    pub nonce: u64,
}

/// A plan's name: what stands for all that is in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub u64);

impl PlanId {
    /// No plan.
    pub const NONE: Self = Self(0);
}

impl Plan {
    /// Its name. A name that stands for no plan is not drawn.
    #[must_use]
    pub fn id(&self) -> PlanId {
        let head = [u8::from(self.kind == MachineKind::Poolers)].into_iter().chain(self.nonce.to_be_bytes());
        PlanId(fnv1a(head.chain(self.machines.iter().flat_map(|of| of.to_be_bytes()))).max(1))
    }
}

/// How far a machine is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MachineState {
    /// In use, its turn is to come.
    #[default]
    Waiting,
    /// Somebody else is to be made the primary first.
    HandingOver,
    /// It gets nothing new; some may have something out there.
    Leaving,
    /// Nobody has anything there: work may begin.
    Free,
    /// Work has begun.
    AtWork,
    /// Used as a cold one.
    Warming,
    /// Used as before.
    Back,
    /// Staff left it out.
    Skipped,
    /// It is not there any more.
    Gone,
    /// Nobody else became the primary.
    NotHandedOver,
    /// The plan was cancelled before its turn.
    Cancelled,
    /// Waiting, and to go next whatever the limits say.
    Forced,
    /// Leaving, whatever the limits say.
    ForcedLeaving,
    /// Free, whatever the limits say.
    ForcedFree,
}

impl MachineState {
    /// All, by their numbers.
    pub const ALL: [Self; 14] = [
        Self::Waiting,
        Self::HandingOver,
        Self::Leaving,
        Self::Free,
        Self::AtWork,
        Self::Warming,
        Self::Back,
        Self::Skipped,
        Self::Gone,
        Self::NotHandedOver,
        Self::Cancelled,
        Self::Forced,
        Self::ForcedLeaving,
        Self::ForcedFree,
    ];

    /// Whether nothing new may go there.
    #[must_use]
    pub fn is_out(self) -> bool {
        self.is_leaving() || self.is_free() || self == Self::AtWork
    }

    /// Whether it gets nothing new and isn't known to be empty.
    #[must_use]
    pub fn is_leaving(self) -> bool {
        matches!(self, Self::Leaving | Self::ForcedLeaving)
    }

    /// Whether work may begin.
    #[must_use]
    pub fn is_free(self) -> bool {
        matches!(self, Self::Free | Self::ForcedFree)
    }

    /// Whether it counts against the limits.
    #[must_use]
    pub fn counts_against_limits(self) -> bool {
        self.is_out() || self == Self::Warming
    }

    /// Whether nothing more becomes of it.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Back | Self::Skipped | Self::Gone | Self::NotHandedOver | Self::Cancelled)
    }

    /// In a word.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::HandingOver => "handing over",
            Self::Leaving => "leaving",
            Self::Free => "free",
            Self::AtWork => "at work",
            Self::Warming => "warming",
            Self::Back => "back",
            Self::Skipped => "skipped by hand",
            Self::Gone => "skipped, gone",
            Self::NotHandedOver => "skipped, nobody else became the primary",
            Self::Cancelled => "skipped, cancelled",
            Self::Forced => "waiting, forced",
            Self::ForcedLeaving => "leaving, forced",
            Self::ForcedFree => "free, forced",
        }
    }
}

/// How a plan goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Mode {
    /// There is none, or all is done.
    #[default]
    Idle,
    /// Steps are taken.
    Running,
    /// Nothing more goes out.
    Paused,
    /// What is not at work comes back, and no more goes out.
    Cancelled,
}

impl Mode {
    /// All, by their numbers.
    pub const ALL: [Self; 4] = [Self::Idle, Self::Running, Self::Paused, Self::Cancelled];

    /// In a word.
    #[must_use]
    pub fn label(self) -> &'static str {
        ["over", "running", "paused", "cancelled"][self as usize]
    }
}

/// How far a plan is. Of two records the one with the higher token counts, and of one token's the one with the higher version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    /// Whose it is.
    pub token: Token,
    /// Grows with each change of one holder.
    pub version: u32,
    /// The plan.
    pub plan: PlanId,
    /// How it goes on.
    pub mode: Mode,
    /// By the plan's machines.
    pub states: Vec<MachineState>,
}

impl Record {
    /// What orders records.
    #[must_use]
    pub fn revision(&self) -> (Token, u32) {
        (self.token, self.version)
    }

    /// The places of those that nothing new may go to.
    pub fn out(&self) -> impl Iterator<Item = usize> {
        self.states.iter().enumerate().filter(|(_, state)| state.is_out()).map(|(at, _)| at)
    }
}

/// Which places are meant: one bit each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MachineSet(Vec<u8>);

impl MachineSet {
    /// These.
    #[must_use]
    pub fn of(places: impl IntoIterator<Item = usize>) -> Self {
        let mut bits = Vec::new();
        for at in places.into_iter().filter(|at| *at < MAX_MACHINES) {
            if bits.len() <= at / 8 {
                bits.resize(at / 8 + 1, 0);
            }
            bits[at / 8] |= 1 << (at % 8);
        }
        Self(bits)
    }

    /// Whether a place is meant.
    #[must_use]
    pub fn has(&self, at: usize) -> bool {
        self.0.get(at / 8).is_some_and(|bits| bits & 1 << (at % 8) != 0)
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }

    pub(crate) fn read(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }
}

/// What a pooler bears of one group, in requests a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupLoad {
    /// The group.
    pub group: u16,
    /// Now.
    pub current: u16,
    /// At the busiest minute of the last hour.
    pub peak: u16,
}

/// What a pooler says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// The record that it acts on.
    pub plan: PlanId,
    /// Its token.
    pub token: Token,
    /// Its version.
    pub version: u32,
    /// Of the machines that are out, those where it has nothing out and nothing idle.
    pub clear: MachineSet,
    /// It is a voter that knows nothing yet.
    pub blank: bool,
    /// What stands for its zone.
    pub zone: u16,
    /// Servers that fail it.
    pub failing: Vec<u64>,
    /// What it bears, by group.
    pub loads: Vec<GroupLoad>,
}

impl Heartbeat {
    /// Servers that one names.
    pub const MOST_FAILING: usize = 6;
    /// Groups that one names.
    pub const MOST_LOADS: usize = 12;
}

/// What staff want done with a plan, or with one of its machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Begin it.
    Submit,
    /// Nothing more goes out.
    Pause,
    /// Go on.
    Resume,
    /// End it.
    Cancel,
    /// Leave this machine out.
    Skip,
    /// This one next whatever the limits say; one that is leaving counts as free.
    Force,
    /// Work on it begins.
    Begin,
    /// Work on it is done.
    Done,
}

impl Command {
    /// All, by their numbers.
    pub const ALL: [Self; 8] = [
        Self::Submit,
        Self::Pause,
        Self::Resume,
        Self::Cancel,
        Self::Skip,
        Self::Force,
        Self::Begin,
        Self::Done,
    ];
}

/// How a call came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandResult {
    /// It is done, and outlives its holder.
    Done,
    /// The plan or machine is not in a state for this.
    InvalidState,
    /// Another plan is under way.
    Busy,
    /// There is no such plan or machine.
    NotFound,
    /// The limits can never be met, whatever comes back.
    Infeasible,
    /// Who was asked does not hold the lease.
    NotHolder,
}

impl CommandResult {
    /// All, by their numbers.
    pub const ALL: [Self; 6] =
        [Self::Done, Self::InvalidState, Self::Busy, Self::NotFound, Self::Infeasible, Self::NotHolder];
}

/// What poolers tell each other of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// What is the newest record? With a token: and store nothing older from now on. `own` is the number of a blank voter that asks.
    Read {
        /// The reader's round.
        round: u32,
        /// Nothing older is to be stored.
        promise: Token,
        /// Drawn by a blank voter.
        own: u32,
    },
    /// The answer of a voter.
    Seen {
        /// The round.
        round: u32,
        /// The number that this voter has drawn.
        own: u32,
        /// It knows nothing yet.
        blank: bool,
        /// It stores nothing older than this.
        promised: Token,
        /// What it has.
        record: Record,
    },
    /// Store this. `numbers` are those of the voters, in their order, as the writer knows them.
    Write {
        /// The numbers; 0 for one that is not known.
        numbers: Vec<u32>,
        /// The record.
        record: Record,
    },
    /// A voter has stored a record, or has promised a later one.
    Stored {
        /// The record's token.
        token: Token,
        /// The record's version.
        version: u32,
        /// The number that this voter has drawn.
        own: u32,
        /// It is blank, or knows newer numbers: it has not stored it.
        refused: bool,
        /// It stores nothing older than this.
        promised: Token,
    },
    /// A majority has stored this.
    Tell {
        /// The record.
        record: Record,
    },
    /// What a pooler says of itself.
    Heartbeat(Heartbeat),
    /// I lack the plan's machines from this place on.
    Wants {
        /// The plan.
        plan: PlanId,
        /// The first place.
        at: u16,
    },
    /// Machines of a plan.
    Part {
        /// The plan.
        plan: PlanId,
        /// Its kind.
        kind: MachineKind,
        /// Its nonce.
        nonce: u64,
        /// How many machines it has.
        count: u16,
        /// The first place of these.
        at: u16,
        /// The machines.
        machines: Vec<u64>,
    },
    /// Staff want this.
    Call {
        /// Tells calls of one pooler's life apart.
        call: u32,
        /// What.
        verb: Command,
        /// The plan.
        plan: PlanId,
        /// The place of the machine.
        at: u16,
    },
    /// How it came out.
    Reply {
        /// The call.
        call: u32,
        /// The outcome.
        said: CommandResult,
    },
}
