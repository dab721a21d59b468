//! The decisions of linnetdeal, a pooler that routes reads and writes over replicated databases.
//!
//! [`Router`] is a pure state machine: the host feeds it [`Event`]s with the time at which they happened and carries
//! out the [`Action`]s that it appends. [`membership`] settles who the members are by what several sources say. Nothing
//! here performs I/O, reads a clock or starts a thread; the same events give the same actions.
//!
//! The hosts are the packages `linnetdeal-net`, on real sockets, and `linnetdeal-simhost`, with one decoder of the
//! [`settings`]. The README shows how they fit and an example, which is tested with the documentation.

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
pub mod peers;
pub mod retune;
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
