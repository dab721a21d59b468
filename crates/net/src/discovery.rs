//! The watch of discovery: each change is taken as soon as it has been read.

use super::buffer::{ReadBuffer, write_all};
use super::http::{self, HttpError};
use super::objects::{ObjectSplitter, SplitError, StreamItem};
use crate::config::{ServerList, duration, span_of};
use crate::counters::Counters;
use crate::flag::Flag;
use crate::members::{Feed, PLATFORM};
use crate::mutants::{self, Mutant};
use async_io::{Async, Timer};
use event_listener::Event as Bell;
use futures_lite::future::or;
use linnetdeal_core::backoff::{Backoff, WatchEnd};
use linnetdeal_core::{ListState, Span};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// As the protocol has it, an empty line comes every 2 s, and what a silent watch misses binds 6 s after it fell silent.
/// A watch is given up that brings nothing whole for the time of 1.6 lines: one may be late, and close to half of the 6 s is
/// left to open it anew.
const SILENCE: Duration = Duration::from_millis(3_200);

/// Where discovery is followed; it may move while the pooler runs.
#[derive(Debug)]
pub struct Source {
    address: Cell<Option<SocketAddr>>,
    moved: Bell,
    /// The number of poolers and the grace of drains by settings that are newer than those of the start.
    retuned: Cell<Option<(u32, Span)>>,
}

impl Source {
    /// One that is followed at `address`, or nowhere yet.
    #[must_use]
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self { address: Cell::new(address), moved: Bell::new(), retuned: Cell::new(None) }
    }

    /// Pauses go by this number of poolers and this grace of drains from now on.
    pub fn retune(&self, fleet: u32, drain_grace: Span) {
        self.retuned.set(Some((fleet, drain_grace)));
    }

    /// Follows discovery at `address` from now on.
    pub fn follow(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.moved.notify(usize::MAX);
        }
    }
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(#[from] HttpError),
    #[error("not a list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Text(#[from] SplitError),
}

/// What follows the platform's list.
pub struct Follower {
    source: Rc<Source>,
    feed: Feed,
    counters: Rc<Counters>,
    /// The number of the last message: what comes later is newer, unless its version says otherwise.
    messages: Cell<i64>,
    /// The version of the newest list, and whether that of the next may be held against it.
    newest: Cell<u64>,
    related: Cell<bool>,
    heard: Rc<Flag>,
}

impl Follower {
    /// One that follows `source` and tells `feed`.
    #[must_use]
    pub fn new(source: Rc<Source>, feed: Feed, counters: Rc<Counters>) -> Self {
        Self {
            source,
            feed,
            counters,
            messages: Cell::new(0),
            newest: Cell::new(0),
            related: Cell::new(true),
            heard: Rc::default(),
        }
    }

    /// Raised once discovery has said anything, be it that there is nothing new.
    #[must_use]
    pub fn heard(&self) -> Rc<Flag> {
        self.heard.clone()
    }

    /// Takes a list in; `whole` overrides what it says of itself. One that is older than what is held brings nobody back
    /// who drains or is gone: that was told since. If it is a whole one, its source counts anew from there.
    pub fn take(&self, mut list: ServerList, whole: bool) {
        let number = self.messages.get() + 1;
        self.messages.set(number);
        if mutants::is_active(Mutant::IgnoredDrains) {
            list.instances.retain(|server| server.state() == ListState::Healthy);
        }
        let older = self.related.replace(true) && list.generation < self.newest.get();
        if older {
            list.instances.retain(|server| !self.feed.keeps_out(&server.claim(number)));
        }
        if whole || list.reset || !older {
            self.newest.set(list.generation);
        }
        self.feed.tell(PLATFORM, list.news(number, whole));
    }
}

/// Follows discovery for ever, from the version that is known, with the pauses of `backoff`.
pub async fn run(node: Follower, mut backoff: Backoff) {
    let (mut told, mut last) = (false, None);
    loop {
        let (before, opened) = (node.newest.get(), Instant::now());
        let (moved, followed) = (node.source.moved.listen(), node.source.address.get());
        let Some(address) = followed else {
            moved.await;
            continue;
        };
        // Another source, whether it moved under a watch or in a pause: how its versions stand to the earlier ones is not known.
        if last.replace(address).is_some_and(|last| last != address) {
            node.related.set(false);
        }
        node.counters.watches.add();
        // An old address may stay silent, and what the new one has to tell binds soon: the watch moves at once.
        let left = async {
            moved.await;
            Ok(())
        };
        let answered = Cell::new(false);
        let ended = or(watch(&node, address, before, &answered), left).await;
        let refused = matches!(ended, Err(WatchError::Http(HttpError::Status(_))));
        let why = WatchEnd::classify(
            refused,
            answered.get(),
            node.newest.get() != before,
            span_of(opened.elapsed()),
        );
        match ended {
            // A dropped watch is nothing to report; an answer that makes no sense is, once.
            Err(WatchError::Io(_)) | Ok(()) => {}
            Err(error) if !told => {
                tracing::warn!("discovery: {error}");
                told = true;
            }
            Err(_) => {}
        }
        if node.source.address.get() != followed {
            continue;
        }
        if let Some((fleet, drain_grace)) = node.source.retuned.take() {
            backoff.reconfigure(fleet, drain_grace);
        }
        let pause = duration(backoff.pause(why));
        tracing::debug!(target: "watch", "watch ended after {:?}, {why:?}; again in {pause:?}", opened.elapsed());
        let moved = node.source.moved.listen();
        if node.source.address.get() == followed {
            or(moved, async {
                let _ = Timer::after(pause).await;
            })
            .await;
        }
    }
}

/// What `work` gives, unless nothing whole has come by then.
async fn by<T>(end: Instant, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let silence = async {
        let _ = Timer::at(end).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(work, silence).await
}

/// One watch, until its connection ends or falls silent.
async fn watch(
    node: &Follower,
    address: SocketAddr,
    since: u64,
    answered: &Cell<bool>,
) -> Result<(), WatchError> {
    let mut end = Instant::now() + SILENCE;
    let stream = by(end, Async::<TcpStream>::connect(address)).await?;
    let ask = format!(
        "GET /discovery/hosts?follow=1&since={since} HTTP/1.1\r\nHost: {address}\r\n\
         Accept: application/json\r\n\r\n"
    );
    by(end, write_all(&stream, &[ask.as_bytes()])).await?;
    let mut buffer = ReadBuffer::default();
    let head = loop {
        if let Some(head) = http::head(buffer.data())? {
            break head;
        }
        if by(end, buffer.fill(&stream)).await? == 0 {
            return Ok(());
        }
    };
    buffer.consume(head.size);
    answered.set(true);
    end = Instant::now() + SILENCE;
    let mut lists = ObjectSplitter::default();
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
            lists.push_bytes(body);
            buffer.consume(size);
            while let Some(part) = lists.next_item()? {
                node.heard.raise();
                end = Instant::now() + SILENCE;
                if let StreamItem::Object(text) = part {
                    node.take(serde_json::from_slice(&text)?, false);
                }
            }
        }
        buffer.release_if_empty();
        if by(end, buffer.fill(&stream)).await? == 0 {
            return Ok(());
        }
    }
}
