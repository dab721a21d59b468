//! Discovers members through a registry that speaks Eureka's REST API. [`eureka`] implements the protocol without I/O,
//! [`client`] is the HTTP client, and [`follow`] polls the registry and passes updates to a [`follow::Sink`].

pub mod client;
pub mod eureka;
pub mod follow;
