//! Signal handling: SIGTERM and SIGINT drain the pooler, SIGHUP reloads the configuration, SIGUSR1 logs the
//! counters.

use crate::classes::Classes;
use crate::config::{Config, duration, span_of};
use crate::connection_slots::ConnectionSlots;
use crate::counters::{Counters, StatusLog};
use crate::discovery::Source;
use crate::driver::Driver;
use crate::flag::Flag;
use crate::hot_restart::SharedState;
use crate::lifecycle::Lifecycle;
use crate::mutants::{self, Mutant};
use crate::tenants::Tenants;
use crate::upstream::Pool;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use linnetdeal_core::hot_restart::ShutdownSchedule;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Interval between checks of the conditions that a stage waits for. Also the pause after a failed read of the
/// signal pipe.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the buffer for the pipe's wake-up bytes.
const WAKE_BUFFER_BYTES: usize = 64;
/// Minimum time for writing the final answers.
const MIN_FINAL_ANSWER_TIME: Duration = Duration::from_millis(100);

/// What the signals act on.
pub(crate) struct Handler {
    /// Runs the tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// The stages of the shutdown.
    pub(crate) lifecycle: Rc<Lifecycle>,
    /// The slots of client connections, with the number still connected.
    pub(crate) slots: Rc<ConnectionSlots>,
    /// The counters, and everything else that is logged on request.
    pub(crate) status_log: Rc<StatusLog>,
    /// The discovery endpoint being followed.
    pub(crate) source: Rc<Source>,
    /// The path of the configuration, for reloads.
    pub(crate) config_file: PathBuf,
    /// State shared with a process that succeeds this one.
    pub(crate) shared: Option<Rc<SharedState>>,
    /// The request classes of the current settings.
    pub(crate) classes: Rc<Classes>,
    /// The tenants of the current settings.
    pub(crate) tenants: Rc<Tenants>,
    /// Runs the router.
    pub(crate) driver: Rc<Driver>,
    /// The connections to servers.
    pub(crate) pool: Rc<Pool>,
}

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// Reload the configuration.
    Reload,
    /// Log the counters.
    LogCounters,
    /// Drain and exit.
    Shutdown,
}

/// Received signals that have not been handled yet. Each signal sets a flag. The bytes in the pipe only wake
/// the task that checks the flags, so it does not matter how many bytes one read returns, or whether it fails.
#[derive(Debug)]
pub struct Signals {
    wake_receiver: Async<UnixStream>,
    raised: Vec<(Action, Arc<AtomicBool>)>,
}

/// Registers the signal handlers. Signals received from now on are kept until the pooler handles them; without
/// a handler each of them would terminate the process.
///
/// # Errors
///
/// When a handler can't be registered or the pipe can't be created.
pub fn install() -> io::Result<Signals> {
    let (wake_receiver, wake_sender) = UnixStream::pair()?;
    let mut raised = Vec::new();
    for (signal, action) in [
        (SIGHUP, Action::Reload),
        (SIGUSR1, Action::LogCounters),
        (SIGTERM, Action::Shutdown),
        (SIGINT, Action::Shutdown),
    ] {
        let flag = Arc::new(AtomicBool::new(false));
        // The flag is registered before the pipe, so that it is set by the time the task wakes up.
        signal_hook::flag::register(signal, flag.clone())?;
        signal_hook::low_level::pipe::register(signal, wake_sender.try_clone()?)?;
        raised.push((action, flag));
    }
    Ok(Signals { wake_receiver: Async::new(wake_receiver)?, raised })
}

impl Signals {
    /// Waits for the next requested action. Requests for the same action that arrive before it is taken are
    /// merged into one.
    async fn next(&self, counters: &Counters) -> Action {
        loop {
            let raised = self.raised.iter().find(|(_, flag)| flag.swap(false, Ordering::SeqCst));
            if let Some((action, _)) = raised {
                return *action;
            }
            match self
                .wake_receiver
                .read_with(|mut wake_receiver| wake_receiver.read(&mut [0; WAKE_BUFFER_BYTES]))
                .await
            {
                Ok(1..) => {}
                Err(_) if mutants::is_active(Mutant::SignalErrorEnds) => return Action::Shutdown,
                // The flags are checked regardless, after a short pause.
                Ok(0) | Err(_) => {
                    counters.signal_errors.add();
                    Timer::after(POLL_INTERVAL).await;
                }
            }
        }
    }
}

/// Starts the task that handles signals.
pub(crate) fn spawn_handler(handler: &Rc<Handler>, signals: Signals) {
    let context = handler.clone();
    let task = async move {
        let mut draining = false;
        loop {
            match signals.next(&context.status_log.counters).await {
                Action::LogCounters => context.status_log.log(),
                Action::Reload => reload(&context),
                Action::Shutdown if std::mem::replace(&mut draining, true) => {}
                Action::Shutdown => {
                    let handler = context.clone();
                    context.executor.spawn(async move { drain(&handler).await }).detach();
                }
            }
        }
    };
    handler.executor.spawn(task).detach();
}

/// Reloads the configuration: applies its settings in one step and follows discovery at its address. Listening
/// addresses and limits take effect at the next start only. The list of servers, connections and open requests
/// are kept. An unusable file changes nothing.
fn reload(handler: &Handler) {
    match Config::load(&handler.config_file) {
        Ok(config) => {
            let (settings, host) = (config.settings, config.host);
            let max_deadline = host.longest_deadline;
            let (fleet, drain_grace) = (settings.fleet, settings.drain_grace);
            if !handler.driver.update_settings(settings, &handler.classes, &handler.tenants, max_deadline) {
                tracing::warn!(
                    "configuration kept as it was: too many classes or tenants in addition to those of earlier settings"
                );
                return;
            }
            // Done in the same step, since load reports are decoded by the field names that the router uses.
            handler.pool.set_host_settings(host);
            handler.source.reconfigure(fleet, drain_grace);
            handler.status_log.counters.reloads.add();
            tracing::info!("configuration read again, discovery at {:?}", config.discovery);
            handler.source.set_address(config.discovery);
        }
        Err(error) => tracing::warn!("configuration kept as it was: {error}"),
    }
}

/// Drains the pooler on schedule: it keeps serving for a while, and ends early once no client is connected.
async fn drain(handler: &Handler) {
    let started = Instant::now();
    let lifecycle = &handler.lifecycle;
    let superseded = handler.shared.as_ref().is_some_and(|shared| shared.is_superseded());
    let schedule = ShutdownSchedule::plan(span_of(handler.classes.longest_deadline()), superseded);
    lifecycle.draining.raise();
    let clients = handler.slots.in_use();
    tracing::info!(
        "draining with {clients} clients connected{}",
        if superseded { ", for a newer process" } else { "" }
    );
    if superseded && wait_for_successor(handler, &schedule, started).await {
        let lifecycle = &handler.lifecycle;
        tracing::warn!("the newer process is gone: clients are taken again");
        lifecycle.handing_over_clients.set_on(false);
        lifecycle.accept_paused.set_on(false);
        // Continues as a process without a successor, but with the same start of the schedule.
        let schedule_alone = ShutdownSchedule::plan(span_of(handler.classes.longest_deadline()), false);
        run_stages(handler, &schedule_alone, started).await;
        return;
    }
    run_stages(handler, &schedule, started).await;
}

/// Leaves new clients to the newer process until the idle ones are to be closed. Returns true if the newer
/// process died meanwhile.
async fn wait_for_successor(handler: &Handler, schedule: &ShutdownSchedule, started: Instant) -> bool {
    let lifecycle = &handler.lifecycle;
    lifecycle.handing_over_clients.set_on(true);
    lifecycle.accept_paused.set_on(true);
    while started.elapsed() < duration(schedule.close_idle) {
        if handler.shared.as_ref().is_some_and(|shared| shared.successor_is_dead()) {
            return true;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    false
}

/// Goes through the remaining stages of the schedule in order.
async fn run_stages(handler: &Handler, schedule: &ShutdownSchedule, started: Instant) {
    let lifecycle = &handler.lifecycle;
    let mut steps =
        vec![(schedule.close_idle, None), (schedule.stop_accepting, Some(&lifecycle.accept_paused))];
    steps.sort_by_key(|(due, _)| *due);
    for (due, switch) in steps {
        if let Some(delay) = duration(due).checked_sub(started.elapsed()) {
            Timer::after(delay).await;
        }
        match switch {
            Some(switch) => switch.set_on(true),
            None => lifecycle.closing_idle.raise(),
        }
    }
    while handler.slots.in_use() > 0 && started.elapsed() < duration(schedule.answer_open) {
        Timer::after(POLL_INTERVAL).await;
    }
    raise_stage(handler, &lifecycle.terminating, "open requests are answered", started);
    // If the process was stopped past the deadline, the answers still get a minimum of time.
    let exit = duration(schedule.exit).max(started.elapsed() + MIN_FINAL_ANSWER_TIME);
    finish_answers(handler, exit, started).await;
    raise_stage(handler, &lifecycle.terminated, "the process exits", started);
}

/// Waits until no client is connected, at most until `exit`, and beyond that for as long as answers are being
/// written: the process never cuts off a value that its server still gives and its client still takes. An answer
/// that makes no progress ends by its own time limits, as it does at any other time.
async fn finish_answers(handler: &Handler, exit: Duration, started: Instant) {
    let (mut latest, mut announced) = (exit, false);
    while handler.slots.in_use() > 0 {
        let (elapsed, in_progress) = (started.elapsed(), handler.lifecycle.answers_in_progress());
        if in_progress > 0 {
            // A connection is closed in order behind its answer.
            latest = latest.max(elapsed + MIN_FINAL_ANSWER_TIME);
        }
        if elapsed >= latest {
            return;
        }
        if elapsed >= exit && !std::mem::replace(&mut announced, true) {
            tracing::info!("the process stays beyond its schedule, for {in_progress} answers in progress");
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Raises a flag of the lifecycle and logs what follows from it.
fn raise_stage(handler: &Handler, stage: &Flag, what: &str, started: Instant) {
    stage.raise();
    tracing::info!(
        "{what} {} ms after the signal, with {} clients connected and {} answers in progress",
        started.elapsed().as_millis(),
        handler.slots.in_use(),
        handler.lifecycle.answers_in_progress(),
    );
}
