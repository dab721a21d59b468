//! A plan, which never changes, and its record, which says how far each machine is.

use crate::lease::Token;
use linnetdeal_core::membership::fnv1a;

/// Maximum number of machines in a plan: its record has to fit into one datagram.
pub const MAX_MACHINES: usize = 256;
/// Maximum number of machines in one [`Message::PlanChunk`].
pub const MACHINES_PER_CHUNK: usize = 22;

/// What kind of machines a plan is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum MachineKind {
    /// Machines of servers, identified by the hash of the server's id.
    #[default]
    Servers,
    /// Machines of poolers, identified by the pooler's number.
    Poolers,
}

/// The machines that need work, in the order in which they were named.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Plan {
    /// The kind of its machines.
    pub kind: MachineKind,
    /// The machines: hash of a server's id (`membership::id_hash`), or a pooler's number.
    pub machines: Vec<u64>,
    /// Tells plans with the same machines apart.
    pub nonce: u64,
}

/// Identifies a plan: a hash of its contents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub u64);

impl PlanId {
    /// No plan.
    pub const NONE: Self = Self(0);
}

impl Plan {
    /// Hash of its contents; never [`PlanId::NONE`].
    #[must_use]
    pub fn id(&self) -> PlanId {
        let head = [u8::from(self.kind == MachineKind::Poolers)].into_iter().chain(self.nonce.to_be_bytes());
        PlanId(fnv1a(head.chain(self.machines.iter().flat_map(|machine| machine.to_be_bytes()))).max(1))
    }
}

/// How far a machine is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MachineState {
    /// In use; its turn is still to come.
    #[default]
    Waiting,
    /// Another member is to be made the primary first.
    HandingOver,
    /// It gets no new requests; some poolers may still have requests or connections there.
    Leaving,
    /// All poolers have confirmed that they have nothing there: work may begin.
    Free,
    /// Work has begun.
    AtWork,
    /// In use again, in slow start.
    Warming,
    /// In use as before.
    Back,
    /// Left out by an operator.
    Skipped,
    /// No longer listed.
    Gone,
    /// Left out because no other member became the primary in time.
    NotHandedOver,
    /// The plan was cancelled before its turn.
    Cancelled,
    /// Waiting, to go out next whatever the limits say.
    Forced,
    /// Leaving, whatever the limits say.
    ForcedLeaving,
    /// Free, whatever the limits say.
    ForcedFree,
}

impl MachineState {
    /// All states, in the order of their numbers in datagrams.
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

    /// Whether no new requests may go there.
    #[must_use]
    pub fn is_out(self) -> bool {
        self.is_leaving() || self.is_free() || self == Self::AtWork
    }

    /// Whether it gets no new requests and is not yet known to be free.
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

    /// Whether the state is final.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Back | Self::Skipped | Self::Gone | Self::NotHandedOver | Self::Cancelled)
    }

    /// The state as shown to operators.
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

/// Mode of a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Mode {
    /// There is no plan, or all of its machines are in a final state.
    #[default]
    Idle,
    /// Steps are taken.
    Running,
    /// No more machines go out.
    Paused,
    /// Machines that are not at work come back, and no more go out.
    Cancelled,
}

impl Mode {
    /// All modes, in the order of their numbers in datagrams.
    pub const ALL: [Self; 4] = [Self::Idle, Self::Running, Self::Paused, Self::Cancelled];

    /// The mode as shown to operators.
    #[must_use]
    pub fn label(self) -> &'static str {
        ["over", "running", "paused", "cancelled"][self as usize]
    }
}

/// The progress of a plan. Of two records the one with the higher token is newer, and among those with the same
/// token the one with the higher version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    /// Token of the holder that wrote it.
    pub token: Token,
    /// Grows with each change by one holder.
    pub version: u32,
    /// The plan.
    pub plan: PlanId,
    /// The plan's mode.
    pub mode: Mode,
    /// The states of the plan's machines, in their order.
    pub states: Vec<MachineState>,
}

impl Record {
    /// Token and version, which order records.
    #[must_use]
    pub fn revision(&self) -> (Token, u32) {
        (self.token, self.version)
    }

    /// Indexes of the machines to which no new requests may go.
    pub fn out(&self) -> impl Iterator<Item = usize> {
        self.states.iter().enumerate().filter(|(_, state)| state.is_out()).map(|(index, _)| index)
    }
}

/// A set of machines by their indexes in the plan, as a bitmap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MachineSet(Vec<u8>);

impl MachineSet {
    /// The set of these indexes.
    #[must_use]
    pub fn of(indexes: impl IntoIterator<Item = usize>) -> Self {
        let mut bits = Vec::new();
        for index in indexes.into_iter().filter(|index| *index < MAX_MACHINES) {
            if bits.len() <= index / 8 {
                bits.resize(index / 8 + 1, 0);
            }
            bits[index / 8] |= 1 << (index % 8);
        }
        Self(bits)
    }

    /// Whether an index is in the set.
    #[must_use]
    pub fn has(&self, index: usize) -> bool {
        self.0.get(index / 8).is_some_and(|bits| bits & 1 << (index % 8) != 0)
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }
}

/// The load that one pooler puts on a group, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupLoad {
    /// The group.
    pub group: u16,
    /// The present load.
    pub current: u16,
    /// The load at the busiest minute of the last hour.
    pub peak: u16,
}

/// State that a pooler sends periodically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// The plan of the record that it acts on.
    pub plan: PlanId,
    /// The record's token.
    pub token: Token,
    /// The record's version.
    pub version: u32,
    /// The machines that are out and where it has neither requests nor idle connections.
    pub clear: MachineSet,
    /// It is a voter that has started with empty memory and has not read from a majority yet.
    pub blank: bool,
    /// Hash of its zone's name.
    pub zone: u16,
    /// Servers that fail its requests.
    pub failing: Vec<u64>,
    /// Its load by group.
    pub loads: Vec<GroupLoad>,
}

impl Heartbeat {
    /// Maximum number of failing servers in one heartbeat.
    pub const MAX_FAILING: usize = 6;
    /// Maximum number of groups in one heartbeat.
    pub const MAX_LOADS: usize = 12;
}

/// What an operator wants done with a plan, or with one of its machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Begin the plan.
    Submit,
    /// Take no more machines out.
    Pause,
    /// Go on.
    Resume,
    /// End the plan.
    Cancel,
    /// Leave this machine out.
    Skip,
    /// Take this machine out next whatever the limits say; one that is leaving counts as free.
    Force,
    /// Work on this machine begins.
    Begin,
    /// Work on this machine is done.
    Done,
}

impl Command {
    /// All commands, in the order of their numbers in datagrams.
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

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandResult {
    /// It is done, and is kept when the holder changes.
    Done,
    /// The plan or machine is not in a state that allows it.
    InvalidState,
    /// Another plan is active.
    Busy,
    /// There is no such plan or machine.
    NotFound,
    /// The limits can never be met.
    Infeasible,
    /// The pooler that was asked does not hold the lease.
    NotHolder,
}

impl CommandResult {
    /// All results, in the order of their numbers in datagrams.
    pub const ALL: [Self; 6] =
        [Self::Done, Self::InvalidState, Self::Busy, Self::NotFound, Self::Infeasible, Self::NotHolder];
}

/// What poolers send to each other about a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks a voter for its record. With a token the voter also promises to store nothing with a lower one from
    /// now on.
    Read {
        /// The reader's round.
        round: u32,
        /// The token to promise; 0 for none.
        promise: Token,
        /// The memory id of a blank voter that reads; 0 for others.
        memory_id: u32,
    },
    /// Answers a read.
    ReadReply {
        /// The round that is answered.
        round: u32,
        /// The voter's memory id.
        memory_id: u32,
        /// Whether the voter has started with empty memory and has not read from a majority yet.
        blank: bool,
        /// The voter stores nothing with a lower token.
        promised: Token,
        /// The voter's record.
        record: Record,
    },
    /// Asks a voter to store a record.
    Write {
        /// The voters' memory ids as known to the writer, in the order of the voters; 0 for one that is not
        /// known.
        memory_ids: Vec<u32>,
        /// The record.
        record: Record,
    },
    /// Answers a write.
    WriteReply {
        /// The record's token.
        token: Token,
        /// The record's version.
        version: u32,
        /// The voter's memory id.
        memory_id: u32,
        /// The voter has not stored it: it is blank, knows newer memory ids, or has promised a later token.
        refused: bool,
        /// The voter stores nothing with a lower token.
        promised: Token,
    },
    /// Announces a record that a majority has stored.
    Publish {
        /// The record.
        record: Record,
    },
    /// The sender's state.
    Heartbeat(Heartbeat),
    /// Asks for the plan's machines from an index on.
    FetchPlan {
        /// The plan.
        plan: PlanId,
        /// The first index.
        index: u16,
    },
    /// A part of a plan's machines.
    PlanChunk {
        /// The plan.
        plan: PlanId,
        /// Its kind.
        kind: MachineKind,
        /// Its nonce.
        nonce: u64,
        /// The number of its machines.
        count: u16,
        /// Index of the first machine in this chunk.
        index: u16,
        /// The machines.
        machines: Vec<u64>,
    },
    /// Forwards an operator's command to the holder.
    Command {
        /// Identifies the command among those of one process.
        id: u32,
        /// The command.
        command: Command,
        /// The plan.
        plan: PlanId,
        /// Index of the machine.
        index: u16,
    },
    /// Answers a command.
    CommandReply {
        /// The command's id.
        id: u32,
        /// The result.
        result: CommandResult,
    },
}
