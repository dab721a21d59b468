//! Runs many processes of the program and injects faults between them: processes started as the platform starts
//! them, a UDP relay between pairs of poolers, TCP links to servers, and a history on a single monotonic clock.

pub mod fleet;
pub mod history;
pub mod http_head;
pub mod process;
pub mod records;
pub mod relay;
pub mod tcp_links;
