//! HTTP server that checks fencing tokens: a task's holder calls it for each act. It rejects a call if it has
//! seen a later token.

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
struct GateState {
    /// Highest token seen, by task.
    highest: BTreeMap<String, u64>,
    /// Delay of the calls of each pooler, as over a slow network.
    delays: BTreeMap<usize, Duration>,
}

/// A running gate; it stops when dropped.
pub struct Gate {
    /// Address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<GateState>>,
    stopped: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Gate {
    /// Starts a gate that records each call in `history`; without `strict` it lets all calls through.
    ///
    /// # Errors
    ///
    /// When no listening socket can be opened.
    pub fn start(history: History, strict: bool) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (state, stopped) = (Arc::new(Mutex::new(GateState::default())), Arc::new(AtomicBool::new(false)));
        let (thread_state, thread_stopped) = (state.clone(), stopped.clone());
        let thread = std::thread::spawn(move || {
            for stream in listener.incoming() {
                if thread_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (Ok(stream), state, history) = (stream, thread_state.clone(), history.clone()) else {
                    continue;
                };
                std::thread::spawn(move || drop(handle_call(stream, &state, &history, strict)));
            }
        });
        Ok(Self { address, state, stopped, thread: Some(thread) })
    }

    /// Delays the calls of a pooler by `delay`; zero ends that.
    pub fn set_delay(&self, pooler: usize, delay: Duration) {
        lock(&self.state).delays.insert(pooler, delay);
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Connects once, so that the blocked listener notices the flag.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn handle_call(
    mut stream: TcpStream,
    state: &Mutex<GateState>,
    history: &History,
    strict: bool,
) -> std::io::Result<()> {
    let Some(head) = RequestHead::read(&mut stream)? else { return Ok(()) };
    let header = |name: &str| head.header(name);
    let (task, step, by) = (header("task"), header("step"), header("pooler"));
    let Ok(token) = header("fencing-token").parse::<u64>() else {
        return stream.write_all(b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n");
    };
    let number = by.split('/').next().and_then(|number| number.parse().ok());
    let delay = number.and_then(|number: usize| lock(state).delays.get(&number).copied());
    if let Some(delay) = delay.filter(|delay| !delay.is_zero()) {
        std::thread::sleep(delay);
    }
    // Check and record are one atomic step, so that the history has the order of the gate's decisions.
    let mut locked = lock(state);
    let highest = locked.highest.entry(task.clone()).or_default();
    let through = !strict || token >= *highest;
    *highest = token.max(*highest);
    let highest = *highest;
    history.add(Event::Act { task, token, by, step, through });
    drop(locked);
    let (status, reason) = if through { (200, "OK") } else { (409, "Conflict") };
    let response = format!(
        "HTTP/1.1 {status} {reason}\r\nfencing-token: {highest}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(response.as_bytes())
}
