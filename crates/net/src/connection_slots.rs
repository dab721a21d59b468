//! The seats of client connections: how many there are, and who makes room for whom.
//!
//! A client with an open request keeps its seat. Of the others those go first that were told that they have to
//! go, then those that have asked nothing yet, oldest first, then those idle longest. Clients that have asked
//! nothing share a part of the seats among themselves, so that a silent crowd pushes out nobody but its own.
//! Who has asked gets a part as well: where clients may hold only so many connections, those that ask once and
//! keep theirs would leave none for others.

use super::flag::Flag;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How readily a client without an open request makes room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// It was told that its connection ends.
    Closing,
    /// It has asked nothing yet.
    New,
    /// It is between two requests.
    Idle,
}

impl EvictionRank {
    /// One that came to its seat more lately may be about to send.
    const fn min_age(self) -> Duration {
        match self {
            Self::Closing | Self::New => Duration::from_millis(5),
            Self::Idle => Duration::from_millis(20),
        }
    }
}

type EvictionKey = (EvictionRank, Instant, u64);

/// All seats.
#[derive(Debug)]
pub struct ConnectionSlots {
    max_slots: usize,
    /// For clients that are accepted only to be refused.
    reject_reserve: usize,
    max_new: usize,
    /// Clients that have asked, busy ones included, beyond which the idle make room.
    max_established: usize,
    in_use: Cell<usize>,
    last_id: Cell<u64>,
    released: Event,
    /// Who can be asked to go.
    evictable: RefCell<BTreeMap<EvictionKey, Rc<Flag>>>,
    new_clients: Cell<usize>,
    /// Nobody came before.
    created_at: Instant,
}

impl ConnectionSlots {
    /// So many seats, a few more for those that are refused, and so many for clients that have asked.
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

    /// How many are taken, but for those whose clients have been asked to go.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Whether a client that comes now finds a seat.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.in_use.get() < self.max_slots
    }

    /// Waits until one more client can be accepted, others being asked to make room if need be. False if it
    /// can only be refused: all who sit there are being served.
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
            // The crowd is too young to be told from clients that are about to send.
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

    /// Asks one client of these ranks to make room; false if nobody can be asked.
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

    /// Takes a seat for a new client.
    pub fn acquire(&self) -> ConnectionSlot<'_> {
        self.last_id.set(self.last_id.get() + 1);
        self.in_use.set(self.in_use.get() + 1);
        ConnectionSlot { slots: self, id: self.last_id.get(), evicted: Cell::new(false) }
    }
}

/// A client's seat, given up when it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot<'a> {
    slots: &'a ConnectionSlots,
    id: u64,
    /// Its client has been asked to go: the seat counts no longer.
    evicted: Cell<bool>,
}

impl ConnectionSlot<'_> {
    /// Does `work` in a state in which the client can be asked to make room; `None` if it was, and `work` had
    /// not ended by then. What has ended goes before: a client whose request can be read stays.
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
        let done = or(async { Some(work.await) }, async {
            guard.flag.raised().await;
            None
        });
        let done = done.await;
        drop(guard);
        if done.is_some() && self.evicted.replace(false) {
            // It stays after all.
            self.slots.in_use.set(self.slots.in_use.get() + 1);
        }
        done
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

/// A client that can be asked to go.
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
