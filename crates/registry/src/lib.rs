//! Members from a registry. [`eureka`] is the protocol without I/O; [`client`] takes it over HTTP, and [`follow`] keeps
//! asking and hands what comes to whoever it is given.

pub mod client;
pub mod eureka;
pub mod follow;
