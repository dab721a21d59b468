//! Signals: SIGTERM or SIGINT drains the pooler, SIGHUP reads the configuration again, SIGUSR1 prints the counters.

use crate::Node;
use crate::config::Config;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;
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

/// Handles signals until the pooler has drained.
///
/// # Errors
///
/// When signals can't be had.
pub(crate) fn listen(node: &Rc<Node>) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1])?;
    let listener = node.clone();
    let task = async move {
        let mut draining = false;
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => listener.show(),
                Ok(Signal::Hup) => reload(&listener),
                _ if std::mem::replace(&mut draining, true) => {}
                _ => {
                    let node = listener.clone();
                    listener.executor.spawn(async move { drain(&node).await }).detach();
                }
            }
        }
    };
    node.executor.spawn(task).detach();
    Ok(())
}

/// Reads the configuration again and follows discovery where it says. All else in it holds from the next start;
/// the list that is held, the connections and the open requests stay as they are. A file that can't be used
/// changes nothing.
fn reload(node: &Node) {
    match Config::load(&node.config_file) {
        Ok(config) => {
            node.counters.reloads.add();
            tracing::info!("configuration read again, discovery at {:?}", config.discovery);
            node.source.follow(config.discovery);
        }
        Err(error) => tracing::warn!("configuration kept as it was: {error}"),
    }
}

/// Serves on while there is time, then closes clients as they fall idle, and ends when none is left.
async fn drain(node: &Node) {
    let started = Instant::now();
    node.draining.raise();
    tracing::info!("draining with {} clients connected", node.seats.taken());
    let last = node.longest_deadline.min(LONGEST_COUNTED) + KILL_GRACE - MARGIN;
    Timer::after(last.saturating_sub(PARTING).max(ARRIVALS)).await;
    node.closing.raise();
    Timer::after(STRAGGLERS).await;
    node.deaf.raise();
    while node.seats.taken() > 0 && started.elapsed() < last {
        Timer::after(LOOK).await;
    }
    node.ending.raise();
    let last = last + FLUSH;
    while node.seats.taken() > 0 && started.elapsed() < last {
        Timer::after(LOOK).await;
    }
    node.ended.raise();
}
