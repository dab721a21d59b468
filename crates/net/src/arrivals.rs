//! When the bytes of a client came: a request's time counts from its last byte, also while it waits behind another.

use linnetdeal_core::{Span, Time};
use std::collections::VecDeque;

/// Requests tell their time in whole milliseconds: what comes within one counts as one arrival.
const RESOLUTION: Span = Span::millis(1);
/// So many arrivals are told apart; what comes beyond them while all are held counts with the last, so as too early.
const MAX_TRACKED: usize = 64;

/// The arrivals on one connection.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Bytes that have come in all.
    received: u64,
    /// How many had come by the end of each arrival, and when it began.
    chunks: VecDeque<(u64, Time)>,
}

impl Arrivals {
    /// So many bytes came now.
    pub fn record(&mut self, count: usize, now: Time) {
        self.received += count as u64;
        let full = self.chunks.len() >= MAX_TRACKED;
        match self.chunks.back_mut() {
            Some((end, at)) if full || now - *at < RESOLUTION => *end = self.received,
            _ => self.chunks.push_back((self.received, now)),
        }
    }

    /// When the last byte came of the command that has `behind` more bytes read after it; earlier ones are forgotten.
    pub fn arrival_time(&mut self, bytes_after: usize) -> Option<Time> {
        let end = self.received.saturating_sub(bytes_after as u64);
        while self.chunks.front().is_some_and(|chunk| chunk.0 < end) {
            self.chunks.pop_front();
        }
        self.chunks.front().map(|chunk| chunk.1)
    }
}
