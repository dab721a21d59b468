//! A model of a fleet in virtual time: boxes with queues, slow start and pauses; groups with a replicated log;
//! clients, a network, and lists that arrive late. It drives the same [`linnetdeal_core::Router`] and membership as
//! the daemon does, and is deterministic for a seed.
//!
//! [`server`], [`group`] and [`fleet`] are independent of any clock: the caller passes the current time in. [`sim`]
//! drives them in virtual time; the lab also drives them on sockets. Everything that happens is recorded in a
//! [`record::Log`], which [`audit`] checks against the rules without using any of the pooler's code.

pub mod audit;
pub mod discovery;
pub mod even;
pub mod event_queue;
pub mod faults;
pub mod fleet;
pub mod group;
pub mod record;
pub mod scenario;
pub mod server;
pub mod service_level;
pub mod sim;
pub mod traffic;
