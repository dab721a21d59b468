//! Machines out for work, with processes of the program, stand-in servers, a list, clients and a worker; faults between them; and
//! an audit by what the servers and the worker have seen.

pub mod model;
pub mod play;
pub mod proof;
pub mod script;
pub mod site;
