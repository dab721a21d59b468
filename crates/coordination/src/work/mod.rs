//! Machines out for work: [`Plan`] and [`Record`] are what there is to do and how far it is, [`Store`] and [`Writer`] keep the record in
//! voters' memory, [`next`] decides what goes out, [`Work`] is all of one pooler. `docs/design/work.md` has the reasons.

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
    Command, CommandResult, GroupLoad, Heartbeat, MAX_MACHINES, MachineKind, MachineSet, MachineState,
    Message, Mode, PART, Plan, PlanId, Record,
};
pub use register::{FullRegisterRules, RegisterRules, VoterStore, Writer};
pub use wire::MAX_VOTERS;
pub(crate) use wire::{decode, encode};
