//! The daemon: the decisions on real sockets. One executor on one thread carries all tasks.

pub mod arrivals;
pub mod buffer;
pub mod classes;
pub mod clock;
pub mod config;
mod connection;
pub mod connection_slots;
pub mod counters;
pub mod discovery;
pub mod driver;
pub mod flag;
pub mod frontend;
pub mod http;
pub mod in_doubt;
pub mod leases;
pub mod lifecycle;
pub mod members;
pub mod mutants;
pub mod objects;
pub mod operator_api;
pub mod peers;
pub mod pg;
pub mod probes;
pub mod request;
pub mod signals;
pub mod stall;
pub mod succession;
pub mod system_errors;
pub mod tenants;
pub mod timer_queue;
pub mod upstream;
pub mod work;

use crate::config::Config;
use async_executor::LocalExecutor;
use async_io::Timer;
use connection_slots::ConnectionSlots;
use counters::StatusLog;
use discovery::{Follower, Source};
use driver::{Driver, InvariantsReport};
use flag::Flag;
use futures_lite::future::or;
use in_doubt::InDoubtWrites;
use leases::{LeaseOptions, Leases};
use lifecycle::Lifecycle;
use linnetdeal_core::backoff::Backoff;
use linnetdeal_core::guard::StartFacts;
use linnetdeal_core::{Checks, Router};
use members::{Feed, Members};
use signals::Signals;
use std::cell::RefCell;
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use succession::SharedState;
use tenants::Tenants;
use upstream::Pool;
use work::{WorkOptions, WorkService};

/// A process that takes another's place waits no longer for the first word of discovery.
const FIRST_WORD: Duration = Duration::from_millis(500);
/// Bytes that nobody wants are read so many at a time.
const SCRATCH: usize = 64 * 1024;

/// Why the daemon ended.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Clients can't be listened for.
    #[error("listening on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
}

/// A pooler that listens, with nothing served yet. Further sources of members are put beside it before it runs.
pub struct Pooler {
    executor: Rc<LocalExecutor<'static>>,
    lifecycle: Rc<Lifecycle>,
    status_log: Rc<StatusLog>,
    feed: Feed,
    driver: Rc<Driver>,
    name: String,
    listening: SocketAddr,
}

impl Pooler {
    /// Opens all that a pooler needs. `config_file` is where `config` was read, and is read again on SIGHUP. `leases` hold
    /// only where the settings allow poolers to talk. `signals` were kept since the start.
    ///
    /// # Errors
    ///
    /// When it can't listen.
    pub fn new(
        config: Config,
        config_file: PathBuf,
        leases: Option<LeaseOptions>,
        work: Option<WorkOptions>,
        signals: Signals,
    ) -> Result<Self, RunError> {
        let (status_log, lifecycle) = (Rc::new(StatusLog::default()), Rc::new(Lifecycle::default()));
        let counters = status_log.counters.clone();
        let members = Rc::new(Members::default());
        let executor = Rc::new(LocalExecutor::new());
        let (probes, wanted) = async_channel::unbounded();
        let classes = Rc::new(classes::Classes::default());
        let present = (0..config.settings.classes.len()).map(linnetdeal_core::ClassId).collect();
        let (longest, copies) = (config.host.longest_deadline, config.settings.second_copies);
        classes.set(&config.settings.classes, present, longest, copies);
        let tenants = Rc::new(Tenants::default());
        let present = (0..config.settings.tenants.len()).map(linnetdeal_core::TenantId).collect();
        tenants.set(&config.settings.tenants, present);
        tracing::debug!(target: "settings", "{:?}", config.settings);
        let backoff = Backoff::new(config.seed, config.settings.fleet, config.settings.drain_grace);
        let checks = config.settings.checks != Checks::None;
        let router = Router::new(config.seed, config.settings);
        let (tells, told) = async_channel::bounded(peers::MOST_WAITING);
        let driver = Rc::new(Driver::new(router, counters.clone(), probes, tells));
        let handed = std::env::var("GW_LISTEN_FD").ok();
        let sockets = config.sockets;
        // Of the descriptors some are kept for the process itself and for clients that are told to go away.
        let reserve = (sockets / 4).min(40);
        let rest = sockets - reserve;
        let (spare_clients, most_upstream) = ((rest / 24).max(8).min(rest / 4), rest * 3 / 8);
        // Two processes that overlap may hold no more descriptors than one. Their clients are the same, whichever of them
        // each came to; the servers' part is halved where one can be handed the listening socket.
        let to_servers = if handed.is_some() { most_upstream / 2 } else { most_upstream };
        let pool = Rc::new(Pool::new(
            members.clone(),
            counters.clone(),
            config.host,
            driver.stall.clone(),
            to_servers,
        ));
        let source = Rc::new(Source::new(config.discovery));
        let known = members.clone();
        let slots = ConnectionSlots::new(rest - most_upstream - spare_clients, spare_clients, sockets / 4);
        let slots = Rc::new(slots);
        let in_doubt = Rc::new(InDoubtWrites::default());
        let folder = std::env::var_os("TMPDIR").filter(|_| config.operator.is_some()).map(PathBuf::from);
        let shared = folder.and_then(|folder| {
            let opened = SharedState::open(&folder);
            let failed = |error: &std::io::Error| {
                tracing::warn!(
                    "nothing is shared with other processes of this pooler, {}: {error}",
                    folder.display()
                );
            };
            opened.inspect_err(failed).ok().map(Rc::new)
        });
        status_log.add(in_doubt.clone());
        status_log.add(Rc::new(InvariantsReport(driver.clone())));
        status_log.add(driver.clone());
        if leases.is_some() && config.peers.is_none() {
            tracing::warn!("leases are off: the platform lets poolers not talk, or names not all of them");
        }
        let leases = leases.filter(|_| config.peers.is_some()).map(|wanted| {
            let leases = Rc::new(Leases::new(wanted.setup));
            status_log.add(leases.clone());
            for call in wanted.calls {
                executor.spawn(leases.clone().run_calls(executor.clone(), call)).detach();
            }
            if wanted.positions.is_some() && !checks {
                tracing::warn!("leases: members check nothing here, so that nobody is told their positions");
            }
            if let Some((term, interval)) = wanted.positions.filter(|_| checks) {
                let (driver, pool, members) = (driver.clone(), pool.clone(), known.clone());
                let executor_of = executor.clone();
                let of =
                    leases::PositionPolling { term, interval, executor: executor_of, driver, pool, members };
                executor.spawn(leases.clone().poll_members(Rc::new(of))).detach();
            }
            let run = leases.clone();
            executor.spawn(async move { run.run().await }).detach();
            leases
        });
        let feed = Feed::new(known.clone(), driver.clone());
        let works = work.zip(leases.clone()).map(|(wanted, leases)| {
            let deps = work::Dependencies {
                leases,
                feed: feed.clone(),
                members: known,
                driver: driver.clone(),
                pool: pool.clone(),
                lifecycle: lifecycle.clone(),
                slots: slots.clone(),
                shared: shared.clone(),
                executor: executor.clone(),
            };
            Rc::new(WorkService::new(wanted, deps))
        });
        let handler = signals::Handler {
            executor: executor.clone(),
            lifecycle: lifecycle.clone(),
            slots: slots.clone(),
            status_log: status_log.clone(),
            source: source.clone(),
            config_file,
            shared: shared.clone(),
            classes: classes.clone(),
            tenants: tenants.clone(),
            driver: driver.clone(),
            pool: pool.clone(),
        };
        let context = frontend::FrontendContext {
            executor: executor.clone(),
            driver: driver.clone(),
            pool: pool.clone(),
            counters: counters.clone(),
            lifecycle: lifecycle.clone(),
            slots,
            classes,
            tenants,
            in_doubt,
            open_ids: RefCell::default(),
            scratch: RefCell::new(vec![0; SCRATCH]),
        };

        // Who was out by hand stays out, whatever the list says; it must be known before it.
        let changes = shared.as_ref().map(|shared| shared.poll_operator_drains());
        match changes {
            Some(Ok((changes, strange))) => {
                feed.by_word(&changes);
                if strange > 0 {
                    tracing::warn!("{strange} files among those of the servers out by hand name no server");
                }
            }
            Some(Err(error)) => tracing::warn!("who was out by hand is not known: {error}"),
            None => {}
        }
        // The list last held comes first: a pooler serves from it while discovery is down.
        let follower = Follower::new(source, feed.clone(), counters);
        follower.take(config.known, true);
        let driver_of_start = driver.clone();
        let mut start = StartFacts { list_held: true, ..StartFacts::default() };
        let listener = match &handed {
            Some(number) => {
                let bad =
                    |_| std::io::Error::new(std::io::ErrorKind::InvalidInput, "GW_LISTEN_FD is no number");
                number.trim().parse().map_err(bad).and_then(frontend::inherit)
            }
            None => frontend::listen(config.listen),
        };
        let listener = listener.map_err(|error| RunError::Listen(config.listen, error))?;
        let listening = listener.get_ref().local_addr().unwrap_or(config.listen);
        signals::spawn_handler(&Rc::new(handler), signals);
        start.signals_handled = true;
        let (a, b, c) = (driver.clone(), pool.clone(), pool.clone());
        executor.spawn(async move { a.run_wakes().await }).detach();
        executor.spawn(async move { b.run_upkeep().await }).detach();
        executor.spawn(async move { c.run_timers().await }).detach();
        if let Some(shared) = shared.clone() {
            if let Err(error) = shared.register_as_newest() {
                tracing::warn!("an older process of this pooler won't know of this one: {error}");
            }
            let feed = feed.clone();
            let look = async move { shared.follow(|changes| feed.by_word(&changes)).await };
            executor.spawn(look).detach();
        }
        // An older process goes on taking clients meanwhile; by the list that it was started with, this one would send
        // to servers that are long gone.
        let open = Rc::new(Flag::default());
        let first = handed.is_some().then(|| {
            let heard = follower.heard();
            or(async move { heard.raised().await }, async {
                let _ = Timer::after(FIRST_WORD).await;
            })
        });
        if first.is_none() && works.is_none() {
            open.raise();
        } else {
            let (open, works) = (open.clone(), works.clone());
            let wait = async move {
                if let Some(first) = first {
                    first.await;
                }
                // Nor is a client taken that might be sent where work is done.
                if let Some(works) = works {
                    works.wait_started().await;
                }
                open.raise();
            };
            executor.spawn(wait).detach();
        }
        if let Some(works) = &works {
            executor.spawn(works.clone().run()).detach();
        }
        if let Some(address) = config.operator {
            let calls = operator_api::listen(address).map_err(|error| RunError::Listen(address, error))?;
            let (executor, lifecycle, feed) = (executor.clone(), lifecycle.clone(), feed.clone());
            let (shared, open, leases) = (shared.clone(), open.clone(), leases.clone());
            let executor_of = executor.clone();
            let works = works.clone();
            let desk =
                operator_api::Desk { executor: executor_of, lifecycle, feed, shared, open, leases, works };
            let desk = Rc::new(desk);
            executor.spawn(operator_api::run(desk, calls)).detach();
        }
        if let Some(addresses) = config.peers {
            let (driver, lifecycle, replaced) = (driver.clone(), lifecycle.clone(), handed.is_some());
            let of_talk = leases.clone();
            let talk = async move { peers::Talk::open(addresses, driver, of_talk).await.run(told).await };
            // The address is the newer process's as soon as this one leaves, and so are its leases, which are given back first.
            let (own, taken) = (leases.clone(), shared.clone());
            let left = async move {
                lifecycle.draining.raised().await;
                if let Some(leases) = &own {
                    leases.leave(taken.is_some_and(|shared| shared.is_superseded())).await;
                }
                if !replaced {
                    std::future::pending::<()>().await;
                }
            };
            executor.spawn(or(talk, left)).detach();
        }
        executor.spawn(probes::run(executor.clone(), driver, pool, wanted)).detach();
        executor.spawn(discovery::run(follower, backoff)).detach();
        let checked = driver_of_start.clone();
        executor
            .spawn(async move {
                open.raised().await;
                // Raised only once what was to be waited for is there, or its time is over.
                start.discovery_waited_for = true;
                checked.check(|now, invariants| invariants.serving_started(now, start.may_serve()));
                frontend::run(Rc::new(context), listener, handed.is_some()).await;
            })
            .detach();
        Ok(Self {
            executor,
            lifecycle,
            status_log,
            feed,
            driver: driver_of_start,
            name: config.name,
            listening,
        })
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

    /// How far its life has come.
    #[must_use]
    pub fn lifecycle(&self) -> Rc<Lifecycle> {
        self.lifecycle.clone()
    }

    /// Has a task run beside the others, for as long as the pooler does.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Has this shown beside the counters, on request and at the end.
    pub fn show(&self, what: Rc<dyn Display>) {
        self.status_log.add(what);
    }

    /// Serves until it has drained after a signal, and then does the `last` thing.
    pub fn run(self, last: impl Future<Output = ()>) {
        tracing::info!("{} listening on {}", self.name, self.listening);
        async_io::block_on(self.executor.run(async {
            self.lifecycle.terminated.raised().await;
            last.await;
        }));
        self.driver.check(|now, invariants| invariants.process_ended(now));
        self.status_log.log();
    }
}
