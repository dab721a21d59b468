//! Machines out for work: [`Plan`] and [`Record`] are what there is to do and how far it is, [`Store`] and [`Writer`] keep the record in
//! voters' memory, [`next`] decides what goes out, [`Work`] is all of one pooler. `docs/design/work.md` has the reasons.

mod desk;
mod order;
mod record;
mod register;
mod wire;

pub use desk::{Machine, Own, View, Work, WorkSetup};
pub use order::{Fact, Facts, Limits, Next, Scheme, Why, next, possible};
pub use record::{
    Kind, Load, MOST_MACHINES, Message, Mode, PART, Places, Plan, PlanId, Record, Said, State, Verb, Word,
};
pub use register::{Keeping, Store, Whole, Writer};
pub use wire::MOST_VOTERS;
pub(crate) use wire::{put, take};
