//! Arrival times of a client's bytes: the time of a request counts from its last byte, even if it waits behind
//! another one.

use linnetdeal_core::{Span, Time};
use std::collections::VecDeque;

/// Bytes that arrive within this time count as one arrival, since clients give their timeouts in whole milliseconds.
const RESOLUTION: Span = Span::millis(1);
/// Maximum number of arrivals that are tracked. Further bytes are added to the last one, which makes their time
/// too early.
const MAX_TRACKED: usize = 64;

/// The arrivals on one connection.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Total number of bytes received.
    received: u64,
    /// For each arrival, the total number of bytes up to its end, and when it began.
    chunks: VecDeque<(u64, Time)>,
}

impl Arrivals {
    /// Records that `count` bytes arrived at `now`.
    pub fn record(&mut self, count: usize, now: Time) {
        self.received += count as u64;
        let full = self.chunks.len() >= MAX_TRACKED;
        match self.chunks.back_mut() {
            Some((end, at)) if full || now - *at < RESOLUTION => *end = self.received,
            _ => self.chunks.push_back((self.received, now)),
        }
    }

    /// Arrival time of the last byte of a command that is followed by `bytes_after` bytes; earlier arrivals are
    /// forgotten.
    pub fn arrival_time(&mut self, bytes_after: usize) -> Option<Time> {
        let end = self.received.saturating_sub(bytes_after as u64);
        while self.chunks.front().is_some_and(|chunk| chunk.0 < end) {
            self.chunks.pop_front();
        }
        self.chunks.front().map(|chunk| chunk.1)
    }
}
