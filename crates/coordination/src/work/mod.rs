//! Maintenance plans: [`Plan`] lists the machines that need work, and [`Record`] says how far each of them is.
//! [`VoterStore`] and [`Writer`] keep the record in the memory of the voters, [`next_step`] decides which
//! machines go out, and [`Coordinator`] is one pooler's part in all of that. `docs/design/work.md` has the
//! reasons.

mod coordinator;
mod order;
mod record;
mod register;
mod wire;

pub use coordinator::{Coordinator, CoordinatorSetup, LocalState, MachineView, PlanView};
pub use order::{
    FleetInfo, Limits, MachineInfo, NextStep, OrderPolicy, WaitReason, check_feasible, next_step,
};
pub use record::{
    Command, CommandResult, GroupLoad, Heartbeat, MACHINES_PER_CHUNK, MAX_MACHINES, MachineKind, MachineSet,
    MachineState, Message, Mode, Plan, PlanId, Record,
};
pub use register::{FullRegisterRules, RegisterRules, VoterStore, Writer};
pub use wire::MAX_VOTERS;
pub(crate) use wire::{decode, encode};
