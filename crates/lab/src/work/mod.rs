//! Proof of maintenance work: scripts that run pooler processes with stand-in servers, discovery, clients, a
//! worker and injected faults, with an audit of what the servers and the worker observed; and a simulation of
//! the order of machines.

pub mod environment;
pub mod proof;
pub mod runner;
pub mod script;
pub mod simulation;
