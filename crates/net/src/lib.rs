//! The pooler on real sockets: runs the router of `linnetdeal-core` with clients, servers, discovery and other
//! poolers. One executor on one thread runs all tasks.

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
pub mod hot_restart;
pub mod http;
pub mod in_doubt;
pub mod leases;
pub mod lifecycle;
pub mod members;
pub mod memory;
pub mod mutants;
pub mod objects;
pub mod operator_api;
pub mod peers;
pub mod pg;
pub mod probes;
pub mod request;
pub mod sent_ids;
pub mod signals;
pub mod stall;
pub mod system_errors;
pub mod tenants;
pub mod timer_queue;
pub mod upstream;
pub mod work;

use crate::config::{Config, MEGABYTE};
use async_executor::LocalExecutor;
use async_io::Timer;
use connection_slots::ConnectionSlots;
use counters::StatusLog;
use discovery::{Follower, Source};
use driver::{Driver, InvariantsReport, SessionsReport};
use flag::Flag;
use futures_lite::future::or;
use hot_restart::SharedState;
use in_doubt::InDoubtWrites;
use leases::{LeaseOptions, Leases};
use lifecycle::Lifecycle;
use linnetdeal_core::backoff::Backoff;
use linnetdeal_core::guard::StartFacts;
use linnetdeal_core::memory_budget::MemoryPlan;
use linnetdeal_core::{Checks, Router};
use members::{Feed, Members};
use memory::MemoryBudget;
use signals::Signals;
use std::cell::RefCell;
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tenants::Tenants;
use upstream::Pool;
use work::{WorkOptions, WorkService};

/// Maximum time that a process succeeding another one waits for the first message of discovery before it
/// accepts clients.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer for data that is read and discarded, in bytes.
const DISCARD_BUFFER_BYTES: usize = 64 * 1024;

/// Why the pooler could not start.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A listening socket can't be opened.
    #[error("listening on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
}

/// A pooler that is set up and listening but not running yet. Further sources of members can be added before it
/// runs.
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
    /// Sets up a pooler. `config_file` is the path of `config`, for reloads on SIGHUP. `leases` take effect
    /// only if the settings allow communication between poolers. `signals` are those received since the process
    /// started.
    ///
    /// # Errors
    ///
    /// When a listening socket can't be opened.
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
        let (probes, probe_requests) = async_channel::unbounded();
        let classes = Rc::new(classes::Classes::default());
        let ids = (0..config.settings.classes.len()).map(linnetdeal_core::ClassId).collect();
        let (max_deadline, copies) = (config.host.longest_deadline, config.settings.second_copies);
        classes.set(&config.settings.classes, ids, max_deadline, copies);
        let tenants = Rc::new(Tenants::default());
        let ids = (0..config.settings.tenants.len()).map(linnetdeal_core::TenantId).collect();
        tenants.set(&config.settings.tenants, ids);
        tracing::debug!(target: "settings", "{:?}", config.settings);
        let backoff = Backoff::new(config.seed, config.settings.fleet, config.settings.drain_grace);
        let checks = config.settings.checks != Checks::None;
        let router = Router::new(config.seed, config.settings);
        let (datagrams_out, datagrams) = async_channel::bounded(peers::MAX_QUEUED_DATAGRAMS);
        let driver = Rc::new(Driver::new(router, counters.clone(), probes, datagrams_out));
        let inherited_fd = std::env::var("GW_LISTEN_FD").ok();
        let sockets = config.sockets;
        // Some descriptors are reserved for the process itself and for clients that are accepted only to be
        // refused.
        let reserve = (sockets / 4).min(40);
        let available = sockets - reserve;
        let (refusal_slots, max_upstream) = ((available / 24).max(8).min(available / 4), available * 3 / 8);
        // Two overlapping processes together may hold no more descriptors than one. The number of clients is
        // the same whichever process they are connected to; the share for servers is halved where a listening
        // socket can be inherited.
        let server_limit = if inherited_fd.is_some() { max_upstream / 2 } else { max_upstream };
        let memory_plan = MemoryPlan::new(config.memory_bytes, sockets);
        if let Some(recommended) = memory_plan.recommended_limit {
            tracing::warn!(
                "limits.memory_mb is too small for {sockets} descriptors (limits.sockets): it should be {} at least; large \
                 statements are refused when memory runs out",
                recommended.div_ceil(MEGABYTE)
            );
        }
        let memory = MemoryBudget::new(memory_plan);
        let pool = Rc::new(Pool::new(
            members.clone(),
            counters.clone(),
            config.host,
            driver.stall.clone(),
            memory.clone(),
            server_limit,
        ));
        let source = Rc::new(Source::new(config.discovery));
        let member_table = members.clone();
        let slots =
            ConnectionSlots::new(available - max_upstream - refusal_slots, refusal_slots, sockets / 4);
        let slots = Rc::new(slots);
        let in_doubt = Rc::new(InDoubtWrites::default());
        let shared_dir = std::env::var_os("TMPDIR").filter(|_| config.operator.is_some()).map(PathBuf::from);
        let shared = shared_dir.and_then(|shared_dir| {
            let opened = SharedState::open(&shared_dir);
            let log_failure = |error: &std::io::Error| {
                tracing::warn!(
                    "nothing is shared with other processes of this pooler, {}: {error}",
                    shared_dir.display()
                );
            };
            opened.inspect_err(log_failure).ok().map(Rc::new)
        });
        status_log.add(in_doubt.clone());
        status_log.add(Rc::new(InvariantsReport(driver.clone())));
        status_log.add(Rc::new(SessionsReport(driver.clone())));
        status_log.add(driver.clone());
        status_log.add(memory.clone());
        if leases.is_some() && config.peers.is_none() {
            tracing::warn!(
                "leases are off: the settings do not allow communication between poolers, or not all of them are named"
            );
        }
        let leases = leases.filter(|_| config.peers.is_some()).map(|options| {
            let leases = Rc::new(Leases::new(options.setup));
            status_log.add(leases.clone());
            for call in options.calls {
                executor.spawn(leases.clone().run_calls(executor.clone(), call)).detach();
            }
            if options.positions.is_some() && !checks {
                tracing::warn!("leases: members check nothing here, so that nobody is told their positions");
            }
            if let Some((term, interval)) = options.positions.filter(|_| checks) {
                let (driver, pool, members) = (driver.clone(), pool.clone(), member_table.clone());
                let task_executor = executor.clone();
                let position_polling = leases::PositionPolling {
                    term,
                    interval,
                    executor: task_executor,
                    driver,
                    pool,
                    members,
                };
                executor.spawn(leases.clone().poll_members(Rc::new(position_polling))).detach();
            }
            let runner = leases.clone();
            executor.spawn(async move { runner.run().await }).detach();
            leases
        });
        let feed = Feed::new(member_table.clone(), driver.clone());
        let work_service = work.zip(leases.clone()).map(|(options, leases)| {
            let deps = work::Dependencies {
                leases,
                feed: feed.clone(),
                members: member_table,
                driver: driver.clone(),
                pool: pool.clone(),
                lifecycle: lifecycle.clone(),
                slots: slots.clone(),
                shared: shared.clone(),
                executor: executor.clone(),
            };
            Rc::new(WorkService::new(options, deps))
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
            memory,
            open_ids: RefCell::default(),
            scratch: RefCell::new(vec![0; DISCARD_BUFFER_BYTES]),
        };

        // Servers drained by an operator stay drained whatever the list says, so the drains are applied before
        // the list.
        let changes = shared.as_ref().map(|shared| shared.poll_operator_drains());
        match changes {
            Some(Ok((changes, foreign))) => {
                feed.adopt_operator_drains(&changes);
                if foreign > 0 {
                    tracing::warn!("{foreign} files in the folder of drained servers name no server");
                }
            }
            Some(Err(error)) => tracing::warn!("servers drained by an operator are not known: {error}"),
            None => {}
        }
        // Starts from the list in the configuration, so that the pooler can serve while discovery is down.
        let follower = Follower::new(source, feed.clone(), counters);
        follower.apply_list(config.known, true);
        let start_driver = driver.clone();
        let mut start = StartFacts { list_held: true, ..StartFacts::default() };
        let listener = match &inherited_fd {
            Some(number) => {
                let not_a_number =
                    |_| std::io::Error::new(std::io::ErrorKind::InvalidInput, "GW_LISTEN_FD is not a number");
                number.trim().parse().map_err(not_a_number).and_then(frontend::inherit)
            }
            None => frontend::listen(config.listen),
        };
        let listener = listener.map_err(|error| RunError::Listen(config.listen, error))?;
        let listening = listener.get_ref().local_addr().unwrap_or(config.listen);
        signals::spawn_handler(&Rc::new(handler), signals);
        start.signals_handled = true;
        let (wake_driver, upkeep_pool, timer_pool) = (driver.clone(), pool.clone(), pool.clone());
        executor.spawn(async move { wake_driver.run_wakes().await }).detach();
        executor.spawn(async move { upkeep_pool.run_upkeep().await }).detach();
        executor.spawn(async move { timer_pool.run_timers().await }).detach();
        if let Some(shared) = shared.clone() {
            if let Err(error) = shared.share_sent_ids(&driver.sent_ids) {
                tracing::warn!("ids of requests are not shared with other processes: {error}");
            }
            if let Err(error) = shared.register_as_newest() {
                tracing::warn!("an older process of this pooler won't notice this one: {error}");
            }
            let feed = feed.clone();
            let follow_drains =
                async move { shared.follow(|changes| feed.adopt_operator_drains(&changes)).await };
            executor.spawn(follow_drains).detach();
        }
        // A process that inherited the listening socket waits for discovery before it accepts clients: the list
        // in its configuration may name servers that are long gone, and the older process still accepts clients
        // meanwhile.
        let open = Rc::new(Flag::default());
        let first_message = inherited_fd.is_some().then(|| {
            let message_flag = follower.heard_from();
            or(async move { message_flag.raised().await }, async {
                let _ = Timer::after(FIRST_MESSAGE_TIMEOUT).await;
            })
        });
        if first_message.is_none() && work_service.is_none() {
            open.raise();
        } else {
            let (open, work_service) = (open.clone(), work_service.clone());
            let wait_ready = async move {
                if let Some(first_message) = first_message {
                    first_message.await;
                }
                // No client is accepted before it is known which machines are out for work.
                if let Some(work_service) = work_service {
                    work_service.wait_started().await;
                }
                open.raise();
            };
            executor.spawn(wait_ready).detach();
        }
        if let Some(work_service) = &work_service {
            executor.spawn(work_service.clone().run()).detach();
        }
        if let Some(address) = config.operator {
            let operator_listener =
                operator_api::listen(address).map_err(|error| RunError::Listen(address, error))?;
            let (executor, lifecycle, feed) = (executor.clone(), lifecycle.clone(), feed.clone());
            let (shared, open, leases) = (shared.clone(), open.clone(), leases.clone());
            let task_executor = executor.clone();
            let work_service = work_service.clone();
            let api = operator_api::OperatorApi {
                executor: task_executor,
                lifecycle,
                feed,
                shared,
                open,
                leases,
                work_service,
            };
            let api = Rc::new(api);
            executor.spawn(operator_api::run(api, operator_listener)).detach();
        }
        if let Some(addresses) = config.peers {
            let (driver, lifecycle, inherited) = (driver.clone(), lifecycle.clone(), inherited_fd.is_some());
            let peer_leases = leases.clone();
            let peer_task = async move {
                peers::PeerSocket::open(addresses, driver, peer_leases).await.run(datagrams).await
            };
            // The newer process takes over the address as soon as this one closes the socket, so the leases are
            // released before that.
            let (own_leases, shared_ref) = (leases.clone(), shared.clone());
            let withdraw = async move {
                lifecycle.draining.raised().await;
                if let Some(leases) = &own_leases {
                    leases.leave(shared_ref.is_some_and(|shared| shared.is_superseded())).await;
                }
                if !inherited {
                    std::future::pending::<()>().await;
                }
            };
            executor.spawn(or(peer_task, withdraw)).detach();
        }
        executor.spawn(probes::run(executor.clone(), driver, pool, probe_requests)).detach();
        executor.spawn(discovery::run(follower, backoff)).detach();
        let checked_driver = start_driver.clone();
        executor
            .spawn(async move {
                open.raised().await;
                // `open` is raised only once discovery has answered or the wait has timed out.
                start.discovery_waited_for = true;
                checked_driver.check(|now, invariants| invariants.serving_started(now, start.may_serve()));
                frontend::run(Rc::new(context), listener, inherited_fd.is_some()).await;
            })
            .detach();
        Ok(Self { executor, lifecycle, status_log, feed, driver: start_driver, name: config.name, listening })
    }

    /// The entry point for updates from further sources of members.
    #[must_use]
    pub fn feed(&self) -> Feed {
        self.feed.clone()
    }

    /// The address that it listens on for clients.
    #[must_use]
    pub fn listening(&self) -> SocketAddr {
        self.listening
    }

    /// The stages of its shutdown.
    #[must_use]
    pub fn lifecycle(&self) -> Rc<Lifecycle> {
        self.lifecycle.clone()
    }

    /// Spawns a task that runs as long as the pooler does.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Registers an entry that is logged with the counters, on request and at exit.
    pub fn add_status(&self, entry: Rc<dyn Display>) {
        self.status_log.add(entry);
    }

    /// Serves until the pooler has drained after a signal, then runs `last` and logs the counters.
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
