//! What all parts of a soak share. They run on one thread, so that all of them observe events in the same order.

use super::audit::Audit;
use super::faults::Faults;
use async_executor::{LocalExecutor, Task};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The shared parts.
pub struct Context {
    /// Runs all tasks.
    pub executor: Tasks,
    /// The checker.
    pub audit: RefCell<Audit>,
    /// The faults that are active at present, and how often each was injected.
    pub faults: RefCell<Faults>,
    /// No new requests are sent any more.
    pub finished: Cell<bool>,
    /// For the schedule of faults, which the seed determines; `rng` is for draws of tasks, whose order may differ
    /// between runs.
    schedule_rng: RefCell<ChaCha8Rng>,
    rng: RefCell<ChaCha8Rng>,
}

/// Runs tasks. The tasks hold what holds this, so that they have to be cancelled for anything to be released.
#[derive(Default)]
pub struct Tasks(RefCell<Rc<LocalExecutor<'static>>>);

impl Tasks {
    /// Starts a task.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.0.borrow().spawn(future)
    }

    /// Runs all tasks until `future` completes, and then cancels them.
    pub fn run_until<T>(&self, future: impl Future<Output = T>) -> T {
        let executor = self.0.borrow().clone();
        let output = async_io::block_on(executor.run(future));
        self.0.take();
        output
    }
}

impl Context {
    /// A context whose random numbers come from this seed.
    #[must_use]
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            executor: Tasks::default(),
            audit: RefCell::default(),
            faults: RefCell::default(),
            finished: Cell::new(false),
            schedule_rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(!seed)),
        })
    }

    /// A random number below `limit`.
    pub fn random_below(&self, limit: u64) -> u64 {
        self.rng.borrow_mut().next_u64() % limit.max(1)
    }

    /// The next random number of the schedule, below `limit`.
    pub fn scheduled_below(&self, limit: u64) -> u64 {
        self.schedule_rng.borrow_mut().next_u64() % limit.max(1)
    }

    /// True with a probability of this many in a thousand.
    pub fn chance(&self, per_mille: u64) -> bool {
        self.random_below(1_000) < per_mille
    }
}
