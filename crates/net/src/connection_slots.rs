//! The seats of client connections: how many there are, and who makes room for whom.
//!
//! A client with an open request keeps its seat. Of the others those go first that were told that they have to
//! go, then those that have asked nothing yet, oldest first, then those idle longest. Clients that have asked
//! nothing share a part of the seats among themselves, so that a silent crowd pushes out nobody but its own.
//! Who has asked gets a part as well: where clients may hold only so many connections, those that ask once and
//! keep theirs would leave none for others.

use super::flag::Flag;
use async_io::Timer;
use event_listener::Event as Bell;
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
    Parting,
    /// It has asked nothing yet.
    Silent,
    /// It is between two requests.
    Idle,
}

impl EvictionRank {
    /// One that came to its seat more lately may be about to send.
    const fn least(self) -> Duration {
        match self {
            Self::Parting | Self::Silent => Duration::from_millis(5),
            Self::Idle => Duration::from_millis(20),
        }
    }
}

type At = (EvictionRank, Instant, u64);

/// All seats.
#[derive(Debug)]
pub struct ConnectionSlots {
    most: usize,
    /// For clients that are accepted only to be refused.
    spare: usize,
    most_silent: usize,
    /// Clients that have asked, busy ones included, beyond which the idle make room.
    most_known: usize,
    in_use: Cell<usize>,
    number: Cell<u64>,
    freed: Bell,
    /// Who can be asked to go.
    waiting: RefCell<BTreeMap<At, Rc<Flag>>>,
    silent: Cell<usize>,
    /// Nobody came before.
    started: Instant,
}

impl ConnectionSlots {
    /// So many seats, a few more for those that are refused, and so many for clients that have asked.
    #[must_use]
    pub fn new(most: usize, spare: usize, most_known: usize) -> Self {
        Self {
            most,
            spare,
            most_silent: (most / 4).max(1),
            most_known,
            in_use: Cell::new(0),
            number: Cell::new(0),
            freed: Bell::new(),
            waiting: RefCell::default(),
            silent: Cell::new(0),
            started: Instant::now(),
        }
    }

    /// How many are taken, but for those whose clients have been asked to go.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Whether a client that comes now finds a seat.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.in_use.get() < self.most
    }

    /// Waits until one more client can be accepted, others being asked to make room if need be. False if it
    /// can only be refused: all who sit there are being served.
    pub async fn room(&self) -> bool {
        loop {
            let unknown = self.waiting.borrow().range(..(EvictionRank::Idle, self.started, 0)).count();
            if self.in_use.get().saturating_sub(unknown) >= self.most_known {
                self.ask_one_to_go(EvictionRank::Idle..=EvictionRank::Idle);
            }
            let crowd = self.silent.get() >= self.most_silent;
            let full = self.in_use.get() >= self.most;
            if !(crowd || full)
                || self.ask_one_to_go(
                    EvictionRank::Parting..=if full { EvictionRank::Idle } else { EvictionRank::Silent },
                )
            {
                return true;
            }
            // The crowd is too young to be told from clients that are about to send.
            if !crowd && self.in_use.get() < self.most + self.spare {
                return false;
            }
            let freed = self.freed.listen();
            or(freed, async {
                let _ = Timer::after(EvictionRank::Silent.least()).await;
            })
            .await;
        }
    }

    /// Asks one client of these ranks to make room; false if nobody can be asked.
    pub fn ask_one_to_go(&self, ranks: RangeInclusive<EvictionRank>) -> bool {
        let waiting = self.waiting.borrow();
        let ranks = [EvictionRank::Parting, EvictionRank::Silent, EvictionRank::Idle]
            .into_iter()
            .filter(|rank| ranks.contains(rank));
        let oldest = |rank| {
            waiting.range((rank, self.started, 0)..).next().map(|(at, _)| *at).filter(|at| at.0 == rank)
        };
        let old_enough = |at: &At| at.1.elapsed() >= at.0.least();
        let Some(at) = ranks.filter_map(oldest).find(old_enough) else { return false };
        drop(waiting);
        if let Some(flag) = self.leave(at) {
            self.in_use.set(self.in_use.get() - 1);
            flag.raise();
        }
        true
    }

    fn leave(&self, at: At) -> Option<Rc<Flag>> {
        let flag = self.waiting.borrow_mut().remove(&at);
        if flag.is_some() && at.0 == EvictionRank::Silent {
            self.silent.set(self.silent.get() - 1);
        }
        flag
    }

    /// Takes a seat for a new client.
    pub fn take(&self) -> ConnectionSlot<'_> {
        self.number.set(self.number.get() + 1);
        self.in_use.set(self.in_use.get() + 1);
        ConnectionSlot { seats: self, number: self.number.get(), asked: Cell::new(false) }
    }
}

/// A client's seat, given up when it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot<'a> {
    seats: &'a ConnectionSlots,
    number: u64,
    /// Its client has been asked to go: the seat counts no longer.
    asked: Cell<bool>,
}

impl ConnectionSlot<'_> {
    /// Does `work` in a state in which the client can be asked to make room; `None` if it was, and `work` had
    /// not ended by then. What has ended goes before: a client whose request can be read stays.
    pub async fn yielding<T>(
        &self,
        rank: EvictionRank,
        since: Instant,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let (flag, at) = (Rc::new(Flag::default()), (rank, since, self.number));
        self.seats.waiting.borrow_mut().insert(at, flag.clone());
        if rank == EvictionRank::Silent {
            self.seats.silent.set(self.seats.silent.get() + 1);
        }
        let wait = Wait { seat: self, at, flag };
        let done = or(async { Some(work.await) }, async {
            wait.flag.raised().await;
            None
        });
        let done = done.await;
        drop(wait);
        if done.is_some() && self.asked.replace(false) {
            // It stays after all.
            self.seats.in_use.set(self.seats.in_use.get() + 1);
        }
        done
    }
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        if !self.asked.get() {
            self.seats.in_use.set(self.seats.in_use.get() - 1);
        }
        self.seats.freed.notify(1);
    }
}

/// A client that can be asked to go.
struct Wait<'a> {
    seat: &'a ConnectionSlot<'a>,
    at: At,
    flag: Rc<Flag>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.seat.seats.leave(self.at);
        self.seat.asked.set(self.flag.is_up());
    }
}
