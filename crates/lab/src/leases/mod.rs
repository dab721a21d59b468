//! Proof of the leases: scripts that run processes of the program with injected faults, a gate that checks
//! fencing tokens, and an audit of the gate's history; and a model check of the same protocol code, which must
//! also find a violation in each mutant.

pub mod audit;
pub mod check;
pub mod gate;
pub mod mutants;
pub mod proof;
pub mod runner;
pub mod script;
