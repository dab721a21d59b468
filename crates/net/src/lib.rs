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
use discovery::Source;
use driver::Driver;
use flag::Flag;
use linnetdeal_core::Router;
use linnetdeal_core::{Event, Need};
use members::Members;
use seats::Seats;
use std::cell::RefCell;
use std::collections::HashSet;
use std::io::Write;
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

/// What the tasks of a pooler share.
pub struct Node {
    /// What carries the tasks.
    pub executor: LocalExecutor<'static>,
    /// The module and its mailboxes.
    pub driver: Rc<Driver>,
    /// Who the members are.
    pub members: Rc<Members>,
    /// The connections to them.
    pub pool: Pool,
    /// What is counted.
    pub counters: Rc<Counters>,
    discovery: Source,
    config_file: PathBuf,
    longest_deadline: Duration,
    classes: Vec<(String, Need)>,
    seats: Seats,
    /// The clients' ids of the requests that are open.
    open_ids: RefCell<HashSet<Box<str>>>,
    /// Where bytes are read to that nobody wants.
    scratch: RefCell<Vec<u8>>,
    /// Idle clients are closed.
    closing: Flag,
    /// Nobody is accepted any more.
    deaf: Flag,
    /// What is open gets its answer now.
    ending: Flag,
    /// All is done.
    ended: Flag,
}

/// Writes a line to standard error. Where nobody reads it, it is lost, and nothing else happens.
fn log(line: &dyn std::fmt::Display) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// Runs a pooler until it has drained after a signal. `config_file` is where `config` was read, and is read
/// again on SIGHUP.
///
/// # Errors
///
/// When it can't start.
pub fn run(config: Config, config_file: PathBuf) -> Result<(), RunError> {
    let counters = Rc::new(Counters::default());
    let members = Rc::new(Members::default());
    let (probes, wanted) = async_channel::unbounded();
    let classes = config.settings.classes.iter().map(|class| (class.name.clone(), class.need)).collect();
    let router = Router::new(config.seed, config.settings);
    let driver = Rc::new(Driver::new(router, counters.clone(), probes));
    let longest_deadline = config.host.longest_deadline;
    // Of the descriptors some are kept for the process itself and for clients that are told to go away.
    let reserve = (config.sockets / 4).min(40);
    let shared = config.sockets - reserve;
    let (spare_clients, most_upstream) = ((shared / 24).max(8).min(shared / 4), shared * 3 / 8);
    let node = Rc::new(Node {
        executor: LocalExecutor::new(),
        driver,
        members: members.clone(),
        pool: Pool::new(members, counters.clone(), config.host, most_upstream),
        counters,
        discovery: Source::new(config.discovery),
        config_file,
        longest_deadline,
        classes,
        seats: Seats::new(shared - most_upstream - spare_clients, spare_clients, config.sockets / 4),
        open_ids: RefCell::default(),
        scratch: RefCell::new(vec![0; SCRATCH]),
        closing: Flag::default(),
        deaf: Flag::default(),
        ending: Flag::default(),
        ended: Flag::default(),
    });

    // The list last held comes first: a pooler serves from it while discovery is down.
    node.driver.feed(Event::List(node.members.take(&config.known, true)));
    let listener = frontend::listen(config.listen).map_err(|error| RunError::Listen(config.listen, error))?;
    let listening = listener.get_ref().local_addr().unwrap_or(config.listen);
    signals::listen(&node).map_err(RunError::Signals)?;
    let (a, b, c, d, e) = (node.clone(), node.clone(), node.clone(), node.clone(), node.clone());
    node.executor.spawn(async move { a.driver.run_wakes().await }).detach();
    node.executor.spawn(async move { b.pool.run_upkeep().await }).detach();
    node.executor.spawn(probes::run(c, wanted)).detach();
    node.executor.spawn(discovery::run(d, config.known.generation)).detach();
    node.executor.spawn(frontend::run(e, listener)).detach();
    log(&format_args!("{} listening on {listening}", config.name));
    async_io::block_on(node.executor.run(node.ended.raised()));
    log(&node.counters);
    Ok(())
}
