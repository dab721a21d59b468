//! A soak test over a few dozen processes of the program on loopback: clients, servers, a proxy between each pooler
//! and each server, and discovery, all of them misbehaving, together with signals, restarts and failing system calls,
//! two or three faults at a time. All of it is drawn from one seed. What was observed is checked by [`audit`], which
//! shares no code with the program.
//!
//! To show that the soak is able to fail, each fault is counted as it is injected, and broken variants of the program
//! (`LINNETDEAL_MUTANT`, debug builds only) have to be found.

pub mod audit;
mod clients;
mod configuration;
mod context;
mod discovery;
mod faults;
mod poolers;
pub mod proof;
mod proxy;
mod report;
mod run;
mod servers;

pub use faults::{FaultKind, SCHEDULED_FAULTS};
pub use report::Report;
pub use run::{Spec, run_soak};
