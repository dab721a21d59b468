//! The watch of discovery: each change is taken as soon as it has been read.

use super::buffer::{ReadBuffer, write_all};
use super::http::{self, HttpError};
use crate::config::{ServerList, duration, span_of};
use crate::counters::Counters;
use crate::flag::Flag;
use crate::members::{Feed, PLATFORM};
use async_io::{Async, Timer};
use event_listener::Event as Bell;
use futures_lite::future::or;
use linnetdeal_core::backoff::{Backoff, Ended};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Empty lines come every 2 s. A watch that misses one is given up and opened anew, since what it would have
/// told binds 6 s later, arrived or not.
const SILENCE: Duration = Duration::from_millis(3_200);
/// A line longer than this is no list.
const LONGEST_LINE: usize = 8 * 1024 * 1024;

/// Where discovery is followed; it may move while the pooler runs.
#[derive(Debug)]
pub struct Source {
    address: Cell<Option<SocketAddr>>,
    moved: Bell,
}

impl Source {
    /// One that is followed at `address`, or nowhere yet.
    #[must_use]
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self { address: Cell::new(address), moved: Bell::new() }
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
    #[error("a line that is no list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("a line without an end")]
    Line,
}

/// What follows the platform's list.
pub struct Follower {
    source: Rc<Source>,
    feed: Feed,
    counters: Rc<Counters>,
    /// The number of the last message: what comes later is newer.
    messages: Cell<i64>,
    heard: Rc<Flag>,
}

impl Follower {
    /// One that follows `source` and tells `feed`.
    #[must_use]
    pub fn new(source: Rc<Source>, feed: Feed, counters: Rc<Counters>) -> Self {
        Self { source, feed, counters, messages: Cell::new(0), heard: Rc::default() }
    }

    /// Raised once discovery has said anything, be it that there is nothing new.
    #[must_use]
    pub fn heard(&self) -> Rc<Flag> {
        self.heard.clone()
    }

    /// Takes a list in; `whole` overrides what it says of itself.
    pub fn take(&self, list: &ServerList, whole: bool) {
        let number = self.messages.get() + 1;
        self.messages.set(number);
        self.feed.tell(PLATFORM, list.news(number, whole));
    }
}

/// Follows discovery for ever, from the version that is known, with the pauses of `backoff`.
pub async fn run(node: Follower, mut generation: u64, mut backoff: Backoff) {
    let mut told = false;
    loop {
        let (before, opened) = (generation, Instant::now());
        let (moved, followed) = (node.source.moved.listen(), node.source.address.get());
        let Some(address) = followed else {
            moved.await;
            continue;
        };
        node.counters.watches.add();
        // An old address may stay silent, and what the new one has to tell binds soon: the watch moves at once.
        let left = async {
            moved.await;
            Ok(())
        };
        let answered = Cell::new(false);
        let ended = or(watch(&node, address, &mut generation, &answered), left).await;
        let refused = matches!(ended, Err(WatchError::Http(HttpError::Status(_))));
        let why = Ended::of(refused, answered.get(), generation != before, span_of(opened.elapsed()));
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
        let pause = duration(backoff.pause(why));
        let moved = node.source.moved.listen();
        if node.source.address.get() == followed {
            or(moved, async {
                let _ = Timer::after(pause).await;
            })
            .await;
        }
    }
}

/// What `work` gives, unless it takes longer than the bound on silence.
async fn bounded<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let silence = async {
        Timer::after(SILENCE).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(work, silence).await
}

/// One watch, until its connection ends or falls silent.
async fn watch(
    node: &Follower,
    address: SocketAddr,
    generation: &mut u64,
    answered: &Cell<bool>,
) -> Result<(), WatchError> {
    let stream = bounded(Async::<TcpStream>::connect(address)).await?;
    let ask = format!(
        "GET /discovery/hosts?follow=1&since={generation} HTTP/1.1\r\nHost: {address}\r\n\
         Accept: application/json\r\n\r\n"
    );
    bounded(write_all(&stream, &[ask.as_bytes()])).await?;
    let mut buffer = ReadBuffer::default();
    let head = loop {
        if let Some(head) = http::head(buffer.data())? {
            break head;
        }
        if bounded(buffer.fill(&stream)).await? == 0 {
            return Ok(());
        }
    };
    buffer.consume(head.size);
    answered.set(true);
    let mut line: Vec<u8> = Vec::new();
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
            line.extend_from_slice(body);
            buffer.consume(size);
            take_lines(node, &mut line, generation)?;
        }
        buffer.rest();
        if bounded(buffer.fill(&stream)).await? == 0 {
            return Ok(());
        }
    }
}

/// Takes all whole lines out of `text`; an empty one only tells that the watch lives.
fn take_lines(node: &Follower, text: &mut Vec<u8>, generation: &mut u64) -> Result<(), WatchError> {
    while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
        let line = text[..end].trim_ascii();
        node.heard.raise();
        if !line.is_empty() {
            let list: ServerList = serde_json::from_slice(line)?;
            *generation = list.generation;
            node.take(&list, false);
        }
        text.drain(..=end);
    }
    if text.len() > LONGEST_LINE { Err(WatchError::Line) } else { Ok(()) }
}
