//! A soak over a few dozen processes of the program on loopback: clients, servers, a proxy between each pooler and each
//! server, and discovery, all of them misbehaving, under signals, restarts and failing calls of the system, with two or three
//! troubles at a time. One seed draws all of it. What was seen is judged by [`audit`], which shares nothing with the program.
//!
//! A soak that can't fail shows nothing: each trouble is counted as it is injected, and broken variants of the program
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
