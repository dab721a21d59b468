//! A model of a fleet in virtual time: boxes with queues, warm-up and pauses; groups with a log that is replicated;
//! clients, a network and late lists. It drives the same [`linnetdeal_core::Router`] and membership as the daemon does, and
//! is deterministic from one seed.
//!
//! [`server`], [`group`] and the [`fleet`] of them are pure and are handed the time: [`sim`] is their host in virtual time, and
//! others can have them on sockets. What happened stands in a [`record::Log`], which [`audit`] holds to the rules without any of the pooler's code.

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
