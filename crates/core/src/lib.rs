//! The routing core of linnetdeal, a pooler that distributes reads and writes over replicated databases.
//!
//! [`Router`] is a pure state machine: the host passes it [`Event`]s with the time at which they happened and carries
//! out the [`Action`]s that it appends. [`membership`] merges what several sources report of the members. Nothing
//! here performs I/O, reads a clock or starts a thread, and the same events lead to the same actions.
//!
//! The hosts are the packages `linnetdeal-net`, which uses real sockets, and `linnetdeal-simhost`, which runs in a
//! simulator; both use the decoder in [`settings`]. The README shows how they work together, with an example that is
//! tested as part of the documentation.

#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;

pub mod backoff;
mod choice;
pub mod connection_reuse;
pub mod given_up;
pub mod guard;
pub mod handover;
pub mod hot_restart;
mod interface;
pub mod invariants;
mod latency;
pub mod membership;
pub mod memory_budget;
pub mod peers;
pub mod retune;
pub mod sent_ids;
pub mod sessions;
pub mod settings;
mod slow_start;
mod slowness;
mod state;
pub mod subset;

pub use choice::Router;
pub use interface::*;
pub use latency::LatencyEstimate;
pub use slow_start::SlowStart;
pub use slowness::Slowness;
