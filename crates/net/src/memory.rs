//! Counts the memory of buffers against the budget that all connections share. `core/memory_budget.rs` decides who gets
//! memory.

use event_listener::Event;
use futures_lite::future::or;
use linnetdeal_core::memory_budget::{MemoryPlan, Purpose, SMALL_BUFFER_BYTES};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Instant;

/// The budget and what is in use of it.
#[derive(Debug)]
pub struct MemoryBudget {
    plan: MemoryPlan,
    used: Cell<usize>,
    peak: Cell<usize>,
    denied: Cell<u64>,
    released: Event,
}

impl MemoryBudget {
    /// A budget of which nothing is in use.
    #[must_use]
    pub fn new(plan: MemoryPlan) -> Rc<Self> {
        Rc::new(Self {
            plan,
            used: Cell::new(0),
            peak: Cell::new(0),
            denied: Cell::new(0),
            released: Event::new(),
        })
    }

    /// A reservation of nothing, which can be enlarged.
    #[must_use]
    pub fn reservation(self: &Rc<Self>) -> Reservation {
        Reservation { budget: Some(self.clone()), bytes: 0 }
    }

    fn set_used(&self, used: usize) {
        if used < self.used.replace(used) {
            self.released.notify(1);
        }
        self.peak.set(self.peak.get().max(used));
    }
}

impl fmt::Display for MemoryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "memory of buffers used={} peak={} limit={} denied={}",
            self.used.get(),
            self.peak.get(),
            self.plan.buffer_bytes,
            self.denied.get()
        )
    }
}

/// A part of the budget, returned when it is dropped. Sizes up to [`SMALL_BUFFER_BYTES`] are not counted. The default
/// belongs to no budget and grants any size.
#[derive(Debug, Default)]
pub struct Reservation {
    budget: Option<Rc<MemoryBudget>>,
    /// Number of bytes counted in the budget.
    bytes: usize,
}

impl Reservation {
    /// The size that a buffer with this reservation may have, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        if self.budget.is_some() { self.bytes.max(SMALL_BUFFER_BYTES) } else { usize::MAX }
    }

    /// Enlarges the reservation to `size` bytes if the budget grants that. Returns whether the reservation has at least
    /// that size now.
    pub fn try_enlarge(&mut self, size: usize, purpose: Purpose) -> bool {
        let additional = size.saturating_sub(self.bytes);
        let Some(budget) = self.budget.clone().filter(|_| size > self.capacity()) else { return true };
        let granted = budget.plan.grants(purpose, budget.used.get(), additional);
        if granted {
            self.set(size);
            // There may be enough for another one that waits, too.
            budget.released.notify(1);
        } else {
            budget.denied.set(budget.denied.get() + 1);
        }
        granted
    }

    /// Sets the size of what exists already, whether or not the budget grants that.
    pub fn set(&mut self, size: usize) {
        let bytes = if size > SMALL_BUFFER_BYTES { size } else { 0 };
        if let Some(budget) = &self.budget {
            budget.set_used(budget.used.get() + bytes - self.bytes);
        }
        self.bytes = bytes;
    }

    /// Splits off the whole reservation; a reservation of nothing remains.
    #[must_use]
    pub fn take(&mut self) -> Self {
        let empty = Self { budget: self.budget.clone(), bytes: 0 };
        std::mem::replace(self, empty)
    }

    /// This reservation, reduced to nothing.
    #[must_use]
    pub fn emptied(mut self) -> Self {
        self.set(0);
        self
    }

    /// Waits until the budget may grant more, or until `deadline`.
    pub async fn released(&self, deadline: Instant) {
        let Some(budget) = &self.budget else { return };
        let released = budget.released.listen();
        or(released, async {
            let _ = async_io::Timer::at(deadline).await;
        })
        .await;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
