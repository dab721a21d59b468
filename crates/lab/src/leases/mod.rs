//! Leases put to the proof: processes of the program with faults between them, a gate that they act on, an audit of what
//! the gate saw; and the same decisions through all orders of events, with each part of them taken away once.

pub mod audit;
pub mod check;
pub mod gate;
pub mod mutants;
pub mod play;
pub mod proof;
pub mod script;
