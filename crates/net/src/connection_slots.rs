//! Slots for client connections: how many there are, and which clients are evicted to make room for others.
//!
//! A client with an open request keeps its slot. Of the others, clients that were told that their connection
//! ends are evicted first, then clients that have made no request yet, the oldest first, then the clients that
//! have been idle longest. Clients without a request share a limited part of the slots, so that many of them
//! displace only each other. Clients that have made a request are limited to a part as well: where a platform
//! limits the number of connections, clients that send one request and keep their connections would otherwise
//! leave no slots for others.

use super::flag::Flag;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The order in which clients without an open request are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// The client was told that its connection ends.
    Closing,
    /// The client has made no request yet.
    New,
    /// The client is between two requests.
    Idle,
}

impl EvictionRank {
    /// Minimum time in this state before an eviction: a client that entered it more recently may be about to send.
    const fn min_age(self) -> Duration {
        match self {
            Self::Closing | Self::New => Duration::from_millis(5),
            Self::Idle => Duration::from_millis(20),
        }
    }
}

/// Sort key of an evictable client: its rank, since when it has had it, and the id of its slot.
type EvictionKey = (EvictionRank, Instant, u64);

/// All slots for client connections.
#[derive(Debug)]
pub struct ConnectionSlots {
    /// Slots for clients that are served.
    max_slots: usize,
    /// Additional slots for clients that are accepted only to be refused.
    reject_reserve: usize,
    /// Limit for evictable clients that have made no request.
    max_new: usize,
    /// Number of clients with a request, busy ones included, from which on idle ones are evicted.
    max_established: usize,
    /// Slots in use, except those whose clients are being evicted.
    in_use: Cell<usize>,
    last_id: Cell<u64>,
    released: Event,
    /// The clients that can be evicted.
    evictable: RefCell<BTreeMap<EvictionKey, Rc<Flag>>>,
    /// Number of evictable clients that have made no request.
    new_clients: Cell<usize>,
    /// No client was accepted before this time.
    created_at: Instant,
}

impl ConnectionSlots {
    /// Creates `max_slots` slots, `reject_reserve` more for clients to be refused, and a limit for clients with
    /// a request.
    #[must_use]
    pub fn new(max_slots: usize, reject_reserve: usize, max_established: usize) -> Self {
        Self {
            max_slots,
            reject_reserve,
            max_new: (max_slots / 4).max(1),
            max_established,
            in_use: Cell::new(0),
            last_id: Cell::new(0),
            released: Event::new(),
            evictable: RefCell::default(),
            new_clients: Cell::new(0),
            created_at: Instant::now(),
        }
    }

    /// How many slots are in use, except those whose clients are being evicted.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Whether a slot is free for a new client.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.in_use.get() < self.max_slots
    }

    /// Waits until another client can be accepted, evicting one if necessary. Returns false if it can only be
    /// refused because all others are being served.
    pub async fn wait_for_room(&self) -> bool {
        loop {
            let not_established =
                self.evictable.borrow().range(..(EvictionRank::Idle, self.created_at, 0)).count();
            if self.in_use.get().saturating_sub(not_established) >= self.max_established {
                self.evict_one(EvictionRank::Idle..=EvictionRank::Idle);
            }
            let too_many_new = self.new_clients.get() >= self.max_new;
            let full = self.in_use.get() >= self.max_slots;
            if !(too_many_new || full)
                || self.evict_one(
                    EvictionRank::Closing..=if full { EvictionRank::Idle } else { EvictionRank::New },
                )
            {
                return true;
            }
            // New clients that connected very recently can't be told from clients that are about to send: with
            // too many of them, wait until one is old enough.
            if !too_many_new && self.in_use.get() < self.max_slots + self.reject_reserve {
                return false;
            }
            let released = self.released.listen();
            or(released, async {
                let _ = Timer::after(EvictionRank::New.min_age()).await;
            })
            .await;
        }
    }

    /// Evicts one client of these ranks; returns false if there is none to evict.
    pub fn evict_one(&self, ranks: RangeInclusive<EvictionRank>) -> bool {
        let evictable = self.evictable.borrow();
        let ranks = [EvictionRank::Closing, EvictionRank::New, EvictionRank::Idle]
            .into_iter()
            .filter(|rank| ranks.contains(rank));
        let oldest = |rank| {
            evictable
                .range((rank, self.created_at, 0)..)
                .next()
                .map(|(key, _)| *key)
                .filter(|key| key.0 == rank)
        };
        let old_enough = |key: &EvictionKey| key.1.elapsed() >= key.0.min_age();
        let Some(key) = ranks.filter_map(oldest).find(old_enough) else { return false };
        drop(evictable);
        if let Some(flag) = self.remove_evictable(key) {
            self.in_use.set(self.in_use.get() - 1);
            flag.raise();
        }
        true
    }

    fn remove_evictable(&self, key: EvictionKey) -> Option<Rc<Flag>> {
        let flag = self.evictable.borrow_mut().remove(&key);
        if flag.is_some() && key.0 == EvictionRank::New {
            self.new_clients.set(self.new_clients.get() - 1);
        }
        flag
    }

    /// Takes a slot for a new client.
    pub fn acquire(&self) -> ConnectionSlot<'_> {
        self.last_id.set(self.last_id.get() + 1);
        self.in_use.set(self.in_use.get() + 1);
        ConnectionSlot { slots: self, id: self.last_id.get(), evicted: Cell::new(false) }
    }
}

/// A client's slot, released when it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot<'a> {
    slots: &'a ConnectionSlots,
    id: u64,
    /// The client is being evicted: the slot is no longer counted as in use.
    evicted: Cell<bool>,
}

impl ConnectionSlot<'_> {
    /// Runs `work` while the client may be evicted. Returns `None` if it was evicted before `work` completed.
    /// Completion takes precedence: a client whose request can be read stays.
    pub async fn run_evictable<T>(
        &self,
        rank: EvictionRank,
        since: Instant,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let (flag, key) = (Rc::new(Flag::default()), (rank, since, self.id));
        self.slots.evictable.borrow_mut().insert(key, flag.clone());
        if rank == EvictionRank::New {
            self.slots.new_clients.set(self.slots.new_clients.get() + 1);
        }
        let guard = EvictableGuard { slot: self, key, flag };
        let outcome = or(async { Some(work.await) }, async {
            guard.flag.raised().await;
            None
        });
        let outcome = outcome.await;
        drop(guard);
        if outcome.is_some() && self.evicted.replace(false) {
            // It was asked to leave, but stays after all.
            self.slots.in_use.set(self.slots.in_use.get() + 1);
        }
        outcome
    }
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        if !self.evicted.get() {
            self.slots.in_use.set(self.slots.in_use.get() - 1);
        }
        self.slots.released.notify(1);
    }
}

/// Registers a client as evictable until dropped.
struct EvictableGuard<'a> {
    slot: &'a ConnectionSlot<'a>,
    key: EvictionKey,
    flag: Rc<Flag>,
}

impl Drop for EvictableGuard<'_> {
    fn drop(&mut self) {
        self.slot.slots.remove_evictable(self.key);
        self.slot.evicted.set(self.flag.is_up());
    }
}
