//! What is due when: in the order of times, and of entering where these are equal.

use linnetdeal_core::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

#[derive(Clone, Debug)]
struct Due<E> {
    at: Time,
    number: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    /// The earliest is the greatest; of equal times the one that was entered first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events that are due.
#[derive(Clone, Debug)]
pub struct EventQueue<E> {
    due: BinaryHeap<Due<E>>,
    number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { due: BinaryHeap::new(), number: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Enters one.
    pub fn schedule(&mut self, at: Time, event: E) {
        self.number += 1;
        self.due.push(Due { at, number: self.number, event });
    }

    /// When the next is due.
    #[must_use]
    pub fn next_time(&self) -> Option<Time> {
        self.due.peek().map(|due| due.at)
    }

    /// Takes the next.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        self.due.pop().map(|due| (due.at, due.event))
    }
}
