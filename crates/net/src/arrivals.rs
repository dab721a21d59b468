//! When the bytes of a client came: a request's time counts from its last byte, also while it waits behind another.

use linnetdeal_core::{Span, Time};
use std::collections::VecDeque;

/// Requests tell their time in whole milliseconds: what comes within one counts as one arrival.
const ONE: Span = Span::millis(1);
/// So many arrivals are told apart; what comes beyond them while all are held counts with the last, so as too early.
const MOST: usize = 64;

/// The arrivals on one connection.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Bytes that have come in all.
    read: u64,
    /// How many had come by the end of each arrival, and when it began.
    marks: VecDeque<(u64, Time)>,
}

impl Arrivals {
    /// So many bytes came now.
    pub fn came(&mut self, count: usize, now: Time) {
        self.read += count as u64;
        let full = self.marks.len() >= MOST;
        match self.marks.back_mut() {
            Some((end, at)) if full || now - *at < ONE => *end = self.read,
            _ => self.marks.push_back((self.read, now)),
        }
    }

    /// When the last byte came of the command that has `behind` more bytes read after it; earlier ones are forgotten.
    pub fn of(&mut self, behind: usize) -> Option<Time> {
        let end = self.read.saturating_sub(behind as u64);
        while self.marks.front().is_some_and(|mark| mark.0 < end) {
            self.marks.pop_front();
        }
        self.marks.front().map(|mark| mark.1)
    }
}
