//! The client side of Eureka's REST API, without I/O: parsing of bodies and instances, their mapping to members, and
//! the schedules of polling and of the pooler's own lease.

pub mod body;
pub mod lease;
pub mod list_reader;
pub mod mapping;
pub mod mirror;
pub mod model;
pub mod poller;
