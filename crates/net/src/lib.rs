//! The daemon: the decisions on real sockets. One executor on one thread carries all tasks.

pub mod buffer;
pub mod clock;
pub mod config;
pub mod counters;
pub mod discovery;
pub mod driver;
pub mod flag;
pub mod frontend;
pub mod http;
pub mod members;
pub mod pg;
pub mod probes;
pub mod request;
pub mod seats;
pub mod signals;
pub mod upstream;

use crate::config::Config;
use async_executor::LocalExecutor;
use counters::Counters;
use discovery::{Follower, Source};
use driver::Driver;
use flag::Flag;
use linnetdeal_core::Need;
use linnetdeal_core::Router;
use members::{Feed, Members};
use seats::Seats;
use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use upstream::Pool;

/// Bytes that nobody wants are read so many at a time.
const SCRATCH: usize = 64 * 1024;

/// Why the daemon ended.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Clients can't be listened for.
    #[error("listening on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// Signals can't be had.
    #[error("signals: {0}")]
    Signals(std::io::Error),
}

/// What the tasks that serve clients share.
struct Node {
    /// What carries the tasks.
    executor: Rc<LocalExecutor<'static>>,
    /// The module and its mailboxes.
    driver: Rc<Driver>,
    /// The connections to the members.
    pool: Rc<Pool>,
    /// What is counted.
    counters: Rc<Counters>,
    source: Rc<Source>,
    config_file: PathBuf,
    longest_deadline: Duration,
    classes: Vec<(String, Need)>,
    seats: Seats,
    /// The clients' ids of the requests that are open.
    open_ids: RefCell<HashSet<Box<str>>>,
    /// Where bytes are read to that nobody wants.
    scratch: RefCell<Vec<u8>>,
    /// What else is shown beside the counters.
    shown: RefCell<Vec<Rc<dyn Display>>>,
    /// The pooler has been told to end: it serves on, but wants nothing new for longer than that.
    draining: Rc<Flag>,
    /// Idle clients are closed.
    closing: Flag,
    /// Nobody is accepted any more.
    deaf: Flag,
    /// What is open gets its answer now.
    ending: Flag,
    /// All is done.
    ended: Flag,
}

impl Node {
    /// Writes the counters to the log.
    fn show(&self) {
        tracing::info!("{}", self.counters);
        for what in self.shown.borrow().iter() {
            tracing::info!("{what}");
        }
    }
}

/// A pooler that listens, with nothing served yet. Further sources of members are put beside it before it runs.
pub struct Pooler {
    node: Rc<Node>,
    feed: Feed,
    name: String,
    listening: SocketAddr,
}

impl Pooler {
    /// Opens all that a pooler needs. `config_file` is where `config` was read, and is read again on SIGHUP.
    ///
    /// # Errors
    ///
    /// When it can't listen, or signals can't be had.
    pub fn new(config: Config, config_file: PathBuf) -> Result<Self, RunError> {
        let counters = Rc::new(Counters::default());
        let members = Rc::new(Members::default());
        let executor = Rc::new(LocalExecutor::new());
        let (probes, wanted) = async_channel::unbounded();
        let classes = config.settings.classes.iter().map(|class| (class.name.clone(), class.need)).collect();
        let router = Router::new(config.seed, config.settings);
        let driver = Rc::new(Driver::new(router, counters.clone(), probes));
        let longest_deadline = config.host.longest_deadline;
        // Of the descriptors some are kept for the process itself and for clients that are told to go away.
        let reserve = (config.sockets / 4).min(40);
        let shared = config.sockets - reserve;
        let (spare_clients, most_upstream) = ((shared / 24).max(8).min(shared / 4), shared * 3 / 8);
        let pool = Rc::new(Pool::new(members.clone(), counters.clone(), config.host, most_upstream));
        let source = Rc::new(Source::new(config.discovery));
        let feed = Feed::new(members, driver.clone());
        let node = Rc::new(Node {
            executor: executor.clone(),
            driver: driver.clone(),
            pool: pool.clone(),
            counters: counters.clone(),
            source: source.clone(),
            config_file,
            longest_deadline,
            classes,
            seats: Seats::new(shared - most_upstream - spare_clients, spare_clients, config.sockets / 4),
            open_ids: RefCell::default(),
            scratch: RefCell::new(vec![0; SCRATCH]),
            shown: RefCell::default(),
            draining: Rc::default(),
            closing: Flag::default(),
            deaf: Flag::default(),
            ending: Flag::default(),
            ended: Flag::default(),
        });

        // The list last held comes first: a pooler serves from it while discovery is down.
        let follower = Follower::new(source, feed.clone(), counters);
        follower.take(&config.known, true);
        let listener =
            frontend::listen(config.listen).map_err(|error| RunError::Listen(config.listen, error))?;
        let listening = listener.get_ref().local_addr().unwrap_or(config.listen);
        signals::listen(&node).map_err(RunError::Signals)?;
        let (a, b) = (driver.clone(), pool.clone());
        executor.spawn(async move { a.run_wakes().await }).detach();
        executor.spawn(async move { b.run_upkeep().await }).detach();
        executor.spawn(probes::run(executor.clone(), driver, pool, wanted)).detach();
        executor.spawn(discovery::run(follower, config.known.generation)).detach();
        executor.spawn(frontend::run(node.clone(), listener)).detach();
        Ok(Self { node, feed, name: config.name, listening })
    }

    /// The way in for what a further source of members tells.
    #[must_use]
    pub fn feed(&self) -> Feed {
        self.feed.clone()
    }

    /// Where it listens.
    #[must_use]
    pub fn listening(&self) -> SocketAddr {
        self.listening
    }

    /// Raised as soon as the pooler is told to end.
    #[must_use]
    pub fn draining(&self) -> Rc<Flag> {
        self.node.draining.clone()
    }

    /// Has a task run beside the others, for as long as the pooler does.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.node.executor.spawn(task).detach();
    }

    /// Has this shown beside the counters, on request and at the end.
    pub fn show(&self, what: Rc<dyn Display>) {
        self.node.shown.borrow_mut().push(what);
    }

    /// Serves until it has drained after a signal, and then does the `last` thing.
    pub fn run(self, last: impl Future<Output = ()>) {
        tracing::info!("{} listening on {}", self.name, self.listening);
        let node = &self.node;
        async_io::block_on(node.executor.run(async {
            node.ended.raised().await;
            last.await;
        }));
        node.show();
    }
}
