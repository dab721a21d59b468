//! Eureka's REST API, the client's side, without I/O: bodies, instances, what they mean for membership, and when to
//! ask for what.

pub mod body;
pub mod lease;
pub mod list_reader;
pub mod mapping;
pub mod mirror;
pub mod model;
pub mod poller;
