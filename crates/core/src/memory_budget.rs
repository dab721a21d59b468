//! Divides the memory limit of the process: what the process and its connections need in any case, and the rest, which
//! buffers beyond a small size share. Decides who gets memory as it runs out. No I/O and no allocation.
//!
//! Who is denied has a way on that needs no further memory: a client is not read ahead of its open request, an answer is
//! passed on in small pieces instead of being buffered whole, and a statement waits in the system's buffers for
//! [`MAX_WAIT`], after which it is read without being kept and refused. A statement that was read keeps its memory until
//! its request has its final answer.

use crate::interface::Span;

/// Size up to which a buffer of a connection is not counted: each connection has that much in any case.
pub const SMALL_BUFFER_BYTES: usize = 4 * 1024;
/// How long a statement waits for memory. Its client's time may be over by then; an answer is lost half a second after it.
pub const MAX_WAIT: Span = Span::millis(250);

/// The program, its tables, lists of servers and the state of the router.
const PROCESS_BYTES: usize = 8_000_000;
/// A connection's task and its small buffers.
const DESCRIPTOR_BYTES: usize = 6_000;
/// The share of the rest that buffers may fill; what is lost between allocations takes the remainder.
const BUFFER_SHARE: f64 = 0.75;
/// Buffers get at least this much, whatever the limits: some statements of the largest size.
const MIN_BUFFER_BYTES: usize = 1_000_000;

/// What memory is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A statement of a client without an open request.
    Statement,
    /// An answer, or a part of one, on its way from a server to a client.
    Answer,
    /// What a client sends ahead of its open request.
    ReadAhead,
}

impl Purpose {
    /// The share of the budget up to which this purpose is granted memory. What is denied an answer or a read-ahead
    /// costs little, so that some is left for statements.
    fn share(self) -> f64 {
        match self {
            Self::Statement => 1.0,
            Self::Answer => 0.75,
            Self::ReadAhead => 0.5,
        }
    }
}

/// The budget that the buffers of all connections share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Maximum size of all counted buffers together, in bytes.
    pub buffer_bytes: usize,
    /// The limit that the configured descriptors call for, in bytes, if the actual one is lower.
    pub recommended_limit: Option<usize>,
}

impl MemoryPlan {
    /// Derives the budget from the limits of the process.
    #[must_use]
    pub fn new(limit_bytes: usize, max_descriptors: usize) -> Self {
        let fixed = PROCESS_BYTES + max_descriptors * DESCRIPTOR_BYTES;
        let available = (limit_bytes.saturating_sub(fixed) as f64 * BUFFER_SHARE) as usize;
        let recommended_limit = fixed + (MIN_BUFFER_BYTES as f64 / BUFFER_SHARE).ceil() as usize;
        Self {
            buffer_bytes: available.max(MIN_BUFFER_BYTES),
            recommended_limit: (available < MIN_BUFFER_BYTES).then_some(recommended_limit),
        }
    }

    /// Whether `additional` bytes are granted while `used` are in use.
    #[must_use]
    pub fn grants(&self, purpose: Purpose, used: usize, additional: usize) -> bool {
        let ceiling = (self.buffer_bytes as f64 * purpose.share()) as usize;
        used.saturating_add(additional) <= ceiling
    }
}
