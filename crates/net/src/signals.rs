//! Signals: SIGTERM or SIGINT drains the pooler, SIGHUP reads the configuration again, SIGUSR1 prints the counters.

use crate::config::Config;
use crate::counters::Shown;
use crate::discovery::Source;
use crate::life::Life;
use crate::seats::Seats;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections keep arriving for up to 0.4 s after SIGTERM; until a little later nothing changes for clients,
const ARRIVALS: Duration = Duration::from_millis(500);
/// and for as long as there is this much time left for what is under way. Who has a connection has no other
/// pooler while it lasts, so to close it early fails what would have been asked on it.
const PARTING: Duration = Duration::from_millis(700);
/// For this long after that a straggler is still accepted, served and closed.
const STRAGGLERS: Duration = Duration::from_millis(250);
/// SIGKILL comes no earlier than the longest deadline, counted as no more than this, and a grace.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
const KILL_GRACE: Duration = Duration::from_millis(700);
/// What is still open so long before SIGKILL is answered at once.
const MARGIN: Duration = Duration::from_millis(400);
/// The time in which those last answers are written.
const FLUSH: Duration = Duration::from_millis(150);
const LOOK: Duration = Duration::from_millis(10);

/// What signals act on.
pub(crate) struct Handler {
    /// What carries the tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// How far the pooler's life has come.
    pub(crate) life: Rc<Life>,
    /// The clients' seats: who is still there.
    pub(crate) seats: Rc<Seats>,
    /// What is counted.
    pub(crate) shown: Rc<Shown>,
    /// Where the platform's list is followed.
    pub(crate) source: Rc<Source>,
    /// Where the configuration was read, and is read again.
    pub(crate) config_file: PathBuf,
    /// The longest deadline of any class.
    pub(crate) longest_deadline: Duration,
}

/// Handles signals until the pooler has drained.
///
/// # Errors
///
/// When signals can't be had.
pub(crate) fn listen(handler: &Rc<Handler>) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1])?;
    let listener = handler.clone();
    let task = async move {
        let mut draining = false;
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => listener.shown.log(),
                Ok(Signal::Hup) => reload(&listener),
                _ if std::mem::replace(&mut draining, true) => {}
                _ => {
                    let handler = listener.clone();
                    listener.executor.spawn(async move { drain(&handler).await }).detach();
                }
            }
        }
    };
    handler.executor.spawn(task).detach();
    Ok(())
}

/// Reads the configuration again and follows discovery where it says. All else in it holds from the next start;
/// the list that is held, the connections and the open requests stay as they are. A file that can't be used
/// changes nothing.
fn reload(handler: &Handler) {
    match Config::load(&handler.config_file) {
        Ok(config) => {
            handler.shown.counters.reloads.add();
            tracing::info!("configuration read again, discovery at {:?}", config.discovery);
            handler.source.follow(config.discovery);
        }
        Err(error) => tracing::warn!("configuration kept as it was: {error}"),
    }
}

/// Serves on while there is time, then closes clients as they fall idle, and ends when none is left.
async fn drain(handler: &Handler) {
    let started = Instant::now();
    handler.life.draining.raise();
    tracing::info!("draining with {} clients connected", handler.seats.taken());
    let last = handler.longest_deadline.min(LONGEST_COUNTED) + KILL_GRACE - MARGIN;
    Timer::after(last.saturating_sub(PARTING).max(ARRIVALS)).await;
    handler.life.closing.raise();
    Timer::after(STRAGGLERS).await;
    handler.life.deaf.raise();
    while handler.seats.taken() > 0 && started.elapsed() < last {
        Timer::after(LOOK).await;
    }
    handler.life.ending.raise();
    let last = last + FLUSH;
    while handler.seats.taken() > 0 && started.elapsed() < last {
        Timer::after(LOOK).await;
    }
    handler.life.ended.raise();
}
