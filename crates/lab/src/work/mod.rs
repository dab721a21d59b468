//! Machines out for work, with processes of the program, stand-in servers, a list, clients and a worker; faults between them; and
//! an audit by what the servers and the worker have seen.

pub mod environment;
pub mod proof;
pub mod runner;
pub mod script;
pub mod simulation;
