//! What all parts of a soak share. They run on one thread, so that what one of them sees has happened for all.

use super::audit::Audit;
use super::faults::Faults;
use async_executor::LocalExecutor;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The shared parts.
pub struct Context {
    /// Carries all tasks.
    pub executor: LocalExecutor<'static>,
    /// The judge.
    pub audit: RefCell<Audit>,
    /// The troubles that hold at present, and how often each was injected.
    pub faults: RefCell<Faults>,
    /// Nothing new is asked any more.
    pub finished: Cell<bool>,
    /// For the schedule of troubles, which one seed fixes; and for what tasks draw in whatever order they run.
    schedule_rng: RefCell<ChaCha8Rng>,
    rng: RefCell<ChaCha8Rng>,
}

impl Context {
    /// One in which chance comes from this seed.
    #[must_use]
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            executor: LocalExecutor::new(),
            audit: RefCell::default(),
            faults: RefCell::default(),
            finished: Cell::new(false),
            schedule_rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(!seed)),
        })
    }

    /// A number below `most`, by chance.
    pub fn random_below(&self, limit: u64) -> u64 {
        self.rng.borrow_mut().next_u64() % limit.max(1)
    }

    /// The next number of the schedule, below `most`.
    pub fn scheduled_below(&self, limit: u64) -> u64 {
        self.schedule_rng.borrow_mut().next_u64() % limit.max(1)
    }

    /// True in so many of a thousand cases.
    pub fn chance(&self, per_mille: u64) -> bool {
        self.random_below(1_000) < per_mille
    }
}
