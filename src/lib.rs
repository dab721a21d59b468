//! linnetdeal: a pooler that routes reads and writes over replicated databases.
//!
//! [`Router`] is a pure state machine: the host feeds it [`Event`]s with the time at which they
//! happened and carries out the [`Action`]s that it appends. It performs no I/O, reads no clock
//! and starts no thread; the same events give the same actions.
//!
//! It has two hosts: [`net`] on real sockets and [`wire`] for the simulator, with one decoder of the
//! [`settings`]. The README shows how they fit and an example, which is tested with the documentation.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

mod choice;
pub mod config;
mod interface;
pub mod net;
pub mod settings;
mod state;
pub mod wire;

pub use choice::Router;
pub use interface::*;
