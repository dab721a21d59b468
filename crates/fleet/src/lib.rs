//! A model of a fleet in virtual time: boxes with queues, warm-up and pauses; groups with a log that is replicated;
//! clients, a network and late lists. It drives the same [`linnetdeal_core::Router`] and membership as the daemon does, and
//! is deterministic from one seed.
//!
//! [`server`] and [`group`] are pure and are handed the time, so that other hosts can use them. [`sim`] is the host in virtual
//! time. What happened stands in a [`record::Log`], which [`audit`] holds to the rules without any of the pooler's code.

pub mod audit;
pub mod faults;
pub mod group;
pub mod record;
pub mod scenario;
pub mod server;
pub mod sim;
