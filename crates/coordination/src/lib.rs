//! What many poolers settle among themselves while some of them are dead, stopped or cut off. Pure: bytes and times come in,
//! bytes and times go out; `net/leases.rs` is the host.

pub mod lease;
pub mod work;
