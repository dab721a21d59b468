//! Signals: SIGTERM or SIGINT drains the pooler, SIGHUP reads the configuration again, SIGUSR1 prints the counters.

use crate::classes::Classes;
use crate::config::{Config, duration, span_of};
use crate::connection_slots::ConnectionSlots;
use crate::counters::{Counters, StatusLog};
use crate::discovery::Source;
use crate::driver::Driver;
use crate::lifecycle::Lifecycle;
use crate::mutants::{self, Mutant};
use crate::succession::SharedState;
use crate::tenants::Tenants;
use crate::upstream::Pool;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use linnetdeal_core::succession::Leaving;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(10);
/// Bytes that wake who waits for signals are read so many at a time.
const WAKES: usize = 64;
/// The least time in which last answers are written.
const LAST_WORDS: Duration = Duration::from_millis(100);

/// What signals act on.
pub(crate) struct Handler {
    /// What carries the tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// How far the pooler's life has come.
    pub(crate) life: Rc<Lifecycle>,
    /// The clients' seats: who is still there.
    pub(crate) slots: Rc<ConnectionSlots>,
    /// What is counted.
    pub(crate) shown: Rc<StatusLog>,
    /// Where the platform's list is followed.
    pub(crate) source: Rc<Source>,
    /// Where the configuration was read, and is read again.
    pub(crate) config_file: PathBuf,
    /// What is shared with a process that takes this one's place.
    pub(crate) shared: Option<Rc<SharedState>>,
    /// The classes, by the present settings.
    pub(crate) classes: Rc<Classes>,
    /// The tenants, by the present settings.
    pub(crate) tenants: Rc<Tenants>,
    /// The module.
    pub(crate) driver: Rc<Driver>,
    /// The connections to servers.
    pub(crate) pool: Rc<Pool>,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// To read the configuration again.
    Reload,
    /// To print what is counted.
    Show,
    /// To end.
    End,
}

/// Signals that are kept until they are handled. Each raises a flag; the bytes of the pipe only wake who looks at the flags, so
/// that nothing rests on how many of them are read at once, or whether reading fails.
#[derive(Debug)]
pub struct Signals {
    wakes: Async<UnixStream>,
    raised: Vec<(Asked, Arc<AtomicBool>)>,
}

/// Keeps signals from here on, to be handled once the pooler is there: before that each of them would end the process.
///
/// # Errors
///
/// When signals can't be had.
pub fn keep() -> io::Result<Signals> {
    let (wakes, wake) = UnixStream::pair()?;
    let mut raised = Vec::new();
    for (signal, asked) in
        [(SIGHUP, Asked::Reload), (SIGUSR1, Asked::Show), (SIGTERM, Asked::End), (SIGINT, Asked::End)]
    {
        let flag = Arc::new(AtomicBool::new(false));
        // The flag first: whoever is woken finds it up.
        signal_hook::flag::register(signal, flag.clone())?;
        signal_hook::low_level::pipe::register(signal, wake.try_clone()?)?;
        raised.push((asked, flag));
    }
    Ok(Signals { wakes: Async::new(wakes)?, raised })
}

impl Signals {
    /// The next thing that was asked for. What was asked for twice before it was looked at is done once.
    async fn next(&self, counters: &Counters) -> Asked {
        loop {
            let raised = self.raised.iter().find(|(_, flag)| flag.swap(false, Ordering::SeqCst));
            if let Some((asked, _)) = raised {
                return *asked;
            }
            match self.wakes.read_with(|mut wakes| wakes.read(&mut [0; WAKES])).await {
                Ok(1..) => {}
                Err(_) if mutants::is_active(Mutant::SignalErrorEnds) => return Asked::End,
                // The flags are looked at all the same, a little later.
                Ok(0) | Err(_) => {
                    counters.signal_errors.add();
                    Timer::after(LOOK).await;
                }
            }
        }
    }
}

/// Handles signals until the pooler has drained.
pub(crate) fn listen(handler: &Rc<Handler>, signals: Signals) {
    let listener = handler.clone();
    let task = async move {
        let mut draining = false;
        loop {
            match signals.next(&listener.shown.counters).await {
                Asked::Show => listener.shown.log(),
                Asked::Reload => reload(&listener),
                Asked::End if std::mem::replace(&mut draining, true) => {}
                Asked::End => {
                    let handler = listener.clone();
                    listener.executor.spawn(async move { drain(&handler).await }).detach();
                }
            }
        }
    };
    handler.executor.spawn(task).detach();
}

/// Reads the configuration again, goes by its settings in one step and follows discovery where it says. Addresses and limits
/// hold from the next start; the list that is held, the connections and the open requests stay as they are. A file that can't be used changes nothing.
fn reload(handler: &Handler) {
    match Config::load(&handler.config_file) {
        Ok(config) => {
            let (settings, host) = (config.settings, config.host);
            let longest = host.longest_deadline;
            let (fleet, drain_grace) = (settings.fleet, settings.drain_grace);
            if !handler.driver.retune(settings, &handler.classes, &handler.tenants, longest) {
                tracing::warn!(
                    "configuration kept as it was: more classes or tenants than can be held beside the earlier ones"
                );
                return;
            }
            // In the same step: what reports hold is read by the names that the module counts by.
            handler.pool.set_host_settings(host);
            handler.source.retune(fleet, drain_grace);
            handler.shown.counters.reloads.add();
            tracing::info!("configuration read again, discovery at {:?}", config.discovery);
            handler.source.follow(config.discovery);
        }
        Err(error) => tracing::warn!("configuration kept as it was: {error}"),
    }
}

/// Leaves by the plan: serves on while there is time, and ends when no client is left.
async fn drain(handler: &Handler) {
    let started = Instant::now();
    let life = &handler.life;
    let taken = handler.shared.as_ref().is_some_and(|shared| shared.is_superseded());
    let plan = Leaving::plan(span_of(handler.classes.longest_deadline()), taken);
    life.draining.raise();
    let clients = handler.slots.in_use();
    tracing::info!(
        "draining with {clients} clients connected{}",
        if taken { ", for a newer process" } else { "" }
    );
    if taken && leave_place(handler, &plan, started).await {
        let life = &handler.life;
        tracing::warn!("the newer process is gone: clients are taken again");
        life.handing_over_clients.set_on(false);
        life.accept_paused.set_on(false);
        // As one that has no newer one, except that it has no more time than before.
        let alone = Leaving::plan(span_of(handler.classes.longest_deadline()), false);
        stages(handler, &alone, started).await;
        return;
    }
    stages(handler, &plan, started).await;
}

/// Leaves the clients to the newer process until they are gone; true if that died meanwhile.
async fn leave_place(handler: &Handler, plan: &Leaving, started: Instant) -> bool {
    let life = &handler.life;
    life.handing_over_clients.set_on(true);
    life.accept_paused.set_on(true);
    while started.elapsed() < duration(plan.closing) {
        if handler.shared.as_ref().is_some_and(|shared| shared.successor_is_dead()) {
            return true;
        }
        Timer::after(LOOK).await;
    }
    false
}

/// The steps that are still to be taken, in their order.
async fn stages(handler: &Handler, plan: &Leaving, started: Instant) {
    let life = &handler.life;
    let mut steps = vec![(plan.closing, None), (plan.deaf, Some(&life.accept_paused))];
    steps.sort_by_key(|(at, _)| *at);
    for (at, switch) in steps {
        if let Some(wait) = duration(at).checked_sub(started.elapsed()) {
            Timer::after(wait).await;
        }
        match switch {
            Some(switch) => switch.set_on(true),
            None => life.closing_idle.raise(),
        }
    }
    let mut until = duration(plan.ending);
    for stage in [&life.terminating, &life.terminated] {
        while handler.slots.in_use() > 0 && started.elapsed() < until {
            Timer::after(LOOK).await;
        }
        stage.raise();
        // What is open is answered now. Should this process have stood still past all of it, the answers still get some time.
        until = duration(plan.ended).max(started.elapsed() + LAST_WORDS);
    }
}
