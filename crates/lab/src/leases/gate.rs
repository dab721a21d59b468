//! The gated address: what a task's holder acts on. It lets a call through unless it has seen a later token.

use crate::lock;
use crate::processes::history::{Event, History};
use crate::processes::http_head::RequestHead;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct Inside {
    /// The highest token of each task.
    highest: BTreeMap<String, u64>,
    /// Calls of these poolers come so much later, as over a slow way.
    held: BTreeMap<usize, Duration>,
}

/// The gate; it ends when this is dropped.
pub struct Gate {
    /// Where it listens.
    pub address: SocketAddr,
    inside: Arc<Mutex<Inside>>,
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Gate {
    /// A gate that writes down each call; one that is not `strict` lets all through.
    ///
    /// # Errors
    ///
    /// When it can't listen.
    pub fn start(history: History, strict: bool) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (inside, over) = (Arc::new(Mutex::new(Inside::default())), Arc::new(AtomicBool::new(false)));
        let (of_inside, of_over) = (inside.clone(), over.clone());
        let thread = std::thread::spawn(move || {
            for stream in listener.incoming() {
                if of_over.load(Ordering::SeqCst) {
                    return;
                }
                let (Ok(stream), inside, history) = (stream, of_inside.clone(), history.clone()) else {
                    continue;
                };
                std::thread::spawn(move || drop(answer(stream, &inside, &history, strict)));
            }
        });
        Ok(Self { address, inside, over, thread: Some(thread) })
    }

    /// Has calls of a pooler come late, or no longer.
    pub fn hold(&self, pooler: usize, by: Duration) {
        lock(&self.inside).held.insert(pooler, by);
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        // Wakes it, so that it sees that.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn answer(
    mut stream: TcpStream,
    inside: &Mutex<Inside>,
    history: &History,
    strict: bool,
) -> std::io::Result<()> {
    let Some(head) = RequestHead::read(&mut stream)? else { return Ok(()) };
    let field = |name: &str| head.header(name);
    let (task, step, by) = (field("task"), field("step"), field("pooler"));
    let Ok(token) = field("fencing-token").parse::<u64>() else {
        return stream.write_all(b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n");
    };
    let number = by.split('/').next().and_then(|number| number.parse().ok());
    let held = number.and_then(|number: usize| lock(inside).held.get(&number).copied());
    if let Some(held) = held.filter(|held| !held.is_zero()) {
        std::thread::sleep(held);
    }
    // Looked at and written down in one step.
    let mut locked = lock(inside);
    let highest = locked.highest.entry(task.clone()).or_default();
    let through = !strict || token >= *highest;
    *highest = token.max(*highest);
    let highest = *highest;
    history.add(Event::Act { task, token, by, step, through });
    drop(locked);
    let (status, words) = if through { (200, "OK") } else { (409, "Conflict") };
    let answer = format!(
        "HTTP/1.1 {status} {words}\r\nfencing-token: {highest}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(answer.as_bytes())
}
