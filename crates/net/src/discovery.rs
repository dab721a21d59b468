//! Follows the platform's list of servers by a watch of discovery. Each change is applied as soon as it has
//! been read.

use super::buffer::{ReadBuffer, write_all};
use super::http::{self, HttpError};
use super::objects::{ObjectSplitter, SplitError, StreamItem};
use crate::config::{ServerList, duration, span_of};
use crate::counters::Counters;
use crate::flag::Flag;
use crate::members::{Feed, PLATFORM};
use crate::mutants::{self, Mutant};
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::{or, yield_now};
use linnetdeal_core::backoff::{Backoff, WatchEnd};
use linnetdeal_core::{ListState, Span};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A watch that delivers nothing complete for this long is closed. By the protocol an empty line arrives every
/// 2 s, and changes that a silent watch missed are binding 6 s after it fell silent. The timeout of 1.6
/// heartbeats tolerates one late line and leaves close to half of the 6 s for opening a new watch.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_200);

/// The address of discovery; it may change while the pooler runs.
#[derive(Debug)]
pub struct Source {
    address: Cell<Option<SocketAddr>>,
    address_changed: Event,
    /// The fleet size and the drain's grace period of reloaded settings, until the next pause applies them.
    pending_settings: Cell<Option<(u32, Span)>>,
}

impl Source {
    /// Creates a source at `address`, or one without an address yet.
    #[must_use]
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self { address: Cell::new(address), address_changed: Event::new(), pending_settings: Cell::new(None) }
    }

    /// Sets the fleet size and the drain's grace period that determine the pauses between watches.
    pub fn reconfigure(&self, fleet: u32, drain_grace: Span) {
        self.pending_settings.set(Some((fleet, drain_grace)));
    }

    /// Changes the address of discovery.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.address_changed.notify(usize::MAX);
        }
    }
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(#[from] HttpError),
    #[error("invalid list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Split(#[from] SplitError),
}

/// Follows the platform's list and applies it to the members.
pub struct Follower {
    source: Rc<Source>,
    feed: Feed,
    counters: Rc<Counters>,
    /// The number of messages so far. Claims of later messages count as newer, unless the list's version
    /// contradicts.
    message_count: Cell<i64>,
    /// The version of the newest list.
    newest_version: Cell<u64>,
    /// Whether the version of the next list is comparable to `newest_version`.
    versions_comparable: Cell<bool>,
    heard_flag: Rc<Flag>,
}

impl Follower {
    /// Creates a follower that applies the lists of `source` to `feed`.
    #[must_use]
    pub fn new(source: Rc<Source>, feed: Feed, counters: Rc<Counters>) -> Self {
        Self {
            source,
            feed,
            counters,
            message_count: Cell::new(0),
            newest_version: Cell::new(0),
            versions_comparable: Cell::new(true),
            heard_flag: Rc::default(),
        }
    }

    /// Raised once discovery has sent anything, including a heartbeat without changes.
    #[must_use]
    pub fn heard_from(&self) -> Rc<Flag> {
        self.heard_flag.clone()
    }

    /// Applies a list; `whole` marks it as a full one, whatever its own flag says. A list older than the
    /// current version does not bring back members that are draining or gone, since those states are newer. An
    /// outdated full list becomes the new base for comparing versions.
    pub fn apply_list(&self, mut list: ServerList, whole: bool) {
        let number = self.message_count.get() + 1;
        self.message_count.set(number);
        if mutants::is_active(Mutant::IgnoredDrains) {
            list.instances.retain(|server| server.state() == ListState::Healthy);
        }
        let outdated = self.versions_comparable.replace(true) && list.generation < self.newest_version.get();
        if outdated {
            list.instances.retain(|server| !self.feed.would_revive(&server.claim(number)));
        }
        if whole || list.reset || !outdated {
            self.newest_version.set(list.generation);
        }
        self.feed.apply_update(PLATFORM, list.source_update(number, whole));
    }
}

/// Follows discovery from the current version on, with the pauses of `backoff` between watches; never returns.
pub async fn run(follower: Follower, mut backoff: Backoff) {
    let (mut logged, mut last_address) = (false, None);
    loop {
        let (previous_version, opened) = (follower.newest_version.get(), Instant::now());
        let (address_changed, current_address) =
            (follower.source.address_changed.listen(), follower.source.address.get());
        let Some(address) = current_address else {
            address_changed.await;
            continue;
        };
        // The address has changed, during a watch or a pause: versions of the new source are not comparable to
        // the earlier ones.
        if last_address.replace(address).is_some_and(|last_address| last_address != address) {
            follower.versions_comparable.set(false);
        }
        follower.counters.watches.add();
        // The old address may stay silent, while changes at the new one become binding soon: the watch moves at
        // once.
        let relocated = async {
            address_changed.await;
            Ok(())
        };
        let answered = Cell::new(false);
        let ended = or(watch(&follower, address, previous_version, &answered), relocated).await;
        let rejected = matches!(ended, Err(WatchError::Http(HttpError::Status(_))));
        let watch_end = WatchEnd::classify(
            rejected,
            answered.get(),
            follower.newest_version.get() != previous_version,
            span_of(opened.elapsed()),
        );
        match ended {
            // A dropped connection is not logged; an invalid answer is, once.
            Err(WatchError::Io(_)) | Ok(()) => {}
            Err(error) if !logged => {
                tracing::warn!("discovery: {error}");
                logged = true;
            }
            Err(_) => {}
        }
        if follower.source.address.get() != current_address {
            continue;
        }
        if let Some((fleet, drain_grace)) = follower.source.pending_settings.take() {
            backoff.reconfigure(fleet, drain_grace);
        }
        let pause = duration(backoff.pause(watch_end));
        tracing::debug!(target: "watch", "watch ended after {:?}, {watch_end:?}; again in {pause:?}", opened.elapsed());
        let address_changed = follower.source.address_changed.listen();
        if follower.source.address.get() == current_address {
            or(address_changed, async {
                let _ = Timer::after(pause).await;
            })
            .await;
        }
    }
}

/// Runs `operation` with a deadline; fails with `TimedOut` when it passes.
async fn before_deadline<T>(
    deadline: Instant,
    operation: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let expired = async {
        let _ = Timer::at(deadline).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(operation, expired).await
}

/// Runs one watch until its connection ends or falls silent.
async fn watch(
    follower: &Follower,
    address: SocketAddr,
    since: u64,
    answered: &Cell<bool>,
) -> Result<(), WatchError> {
    let mut deadline = Instant::now() + SILENCE_TIMEOUT;
    let stream = before_deadline(deadline, Async::<TcpStream>::connect(address)).await?;
    let request = format!(
        "GET /discovery/hosts?follow=1&since={since} HTTP/1.1\r\nHost: {address}\r\n\
         Accept: application/json\r\n\r\n"
    );
    before_deadline(deadline, write_all(&stream, &[request.as_bytes()])).await?;
    let mut buffer = ReadBuffer::default();
    let head = loop {
        if let Some(head) = http::head(buffer.data())? {
            break head;
        }
        yield_now().await;
        if before_deadline(deadline, buffer.fill(&stream)).await? == 0 {
            return Ok(());
        }
    };
    buffer.consume(head.size);
    answered.set(true);
    deadline = Instant::now() + SILENCE_TIMEOUT;
    let mut splitter = ObjectSplitter::default();
    loop {
        while !buffer.data().is_empty() {
            let (body, size) = if head.chunked {
                match http::chunk(buffer.data())? {
                    Some(([], _)) => return Ok(()),
                    Some(chunk) => chunk,
                    None => break,
                }
            } else {
                (buffer.data(), buffer.data().len())
            };
            splitter.push_bytes(body);
            buffer.consume(size);
            while let Some(item) = splitter.next_item()? {
                follower.heard_flag.raise();
                deadline = Instant::now() + SILENCE_TIMEOUT;
                if let StreamItem::Object(text) = item {
                    follower.apply_list(serde_json::from_slice(&text)?, false);
                }
            }
        }
        buffer.release_if_empty();
        // A source that sends at full speed must not hold up the clients.
        yield_now().await;
        if before_deadline(deadline, buffer.fill(&stream)).await? == 0 {
            return Ok(());
        }
    }
}
