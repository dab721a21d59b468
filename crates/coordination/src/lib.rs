//! Protocols that the poolers of an installation run among themselves, and that tolerate poolers that are dead,
//! stopped or partitioned: leases ([`lease`]) and the replicated record of a maintenance plan ([`work`]). The
//! crate does no I/O: datagrams and timestamps go in, datagrams and deadlines come out. The host is
//! `net/leases.rs`.

pub mod lease;
pub mod work;
