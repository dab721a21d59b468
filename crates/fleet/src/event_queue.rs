//! A priority queue of events in virtual time, ordered by due time and, for equal times, by order of insertion.

use linnetdeal_core::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

#[derive(Clone, Debug)]
struct Scheduled<E> {
    at: Time,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Reversed for the max-heap: the earliest event is the greatest; of equal times the one that was inserted first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Scheduled events, earliest first.
#[derive(Clone, Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    last_sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), last_sequence: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Time, event: E) {
        self.last_sequence += 1;
        self.heap.push(Scheduled { at, sequence: self.last_sequence, event });
    }

    /// The time of the next event.
    #[must_use]
    pub fn next_time(&self) -> Option<Time> {
        self.heap.peek().map(|next| next.at)
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        self.heap.pop().map(|next| (next.at, next.event))
    }
}
