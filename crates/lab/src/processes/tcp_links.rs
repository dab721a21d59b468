//! TCP links between poolers and servers: a forwarder for each pair. A link that is cut accepts connections and
//! forwards nothing.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::{block_on, or};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often the stop flag and the state of a link are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The links; their thread ends when this is dropped.
pub struct TcpLinks {
    links: BTreeMap<(usize, usize), (SocketAddr, Arc<AtomicBool>)>,
    stopped: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl TcpLinks {
    /// Starts links from this many poolers to the servers at these addresses.
    ///
    /// # Errors
    ///
    /// When a socket can't be bound.
    pub fn start(poolers: usize, servers: &[SocketAddr]) -> std::io::Result<Self> {
        let (mut links, mut listeners) = (BTreeMap::new(), Vec::new());
        for pooler in 0..poolers {
            for (index, server) in servers.iter().enumerate() {
                let listener = TcpListener::bind("127.0.0.1:0")?;
                let cut = Arc::new(AtomicBool::new(false));
                links.insert((pooler, index), (listener.local_addr()?, cut.clone()));
                listeners.push((listener, *server, cut));
            }
        }
        let stopped = Arc::new(AtomicBool::new(false));
        let stop_flag = stopped.clone();
        let thread = std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            for (listener, server, cut) in listeners {
                let Ok(listener) = Async::new(listener) else { return };
                let connections = executor.clone();
                let accept_loop = async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        connections.spawn(forward(stream, server, cut.clone())).detach();
                    }
                };
                executor.spawn(accept_loop).detach();
            }
            block_on(executor.run(async {
                while !stop_flag.load(Ordering::SeqCst) {
                    Timer::after(POLL_INTERVAL).await;
                }
            }));
        });
        Ok(Self { links, stopped, thread: Some(thread) })
    }

    /// The address at which a pooler reaches a server.
    #[must_use]
    pub fn address_for(&self, pooler: usize, server: usize) -> Option<SocketAddr> {
        self.links.get(&(pooler, server)).map(|(address, _)| *address)
    }

    /// Cuts or restores a link.
    pub fn set_cut(&self, pooler: usize, server: usize, cut: bool) {
        if let Some((_, flag)) = self.links.get(&(pooler, server)) {
            flag.store(cut, Ordering::SeqCst);
        }
    }

    /// Restores all links.
    pub fn heal(&self) {
        self.links.values().for_each(|(_, flag)| flag.store(false, Ordering::SeqCst));
    }
}

impl Drop for TcpLinks {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn forward(pooler: Async<TcpStream>, server: SocketAddr, cut: Arc<AtomicBool>) {
    while cut.load(Ordering::SeqCst) {
        Timer::after(POLL_INTERVAL).await;
        // A connection that the pooler has closed in the meantime is not forwarded.
        if pooler.get_ref().peek(&mut [0]).is_ok_and(|size| size == 0) {
            return;
        }
    }
    let Ok(server) = Async::<TcpStream>::connect(server).await else { return };
    let _ = (pooler.get_ref().set_nodelay(true), server.get_ref().set_nodelay(true));
    let (a, b) = (Rc::new(pooler), Rc::new(server));
    or(copy(a.clone(), b.clone(), &cut), copy(b, a, &cut)).await;
}

/// Copies bytes until either side closes; while the link is cut, received bytes are held back.
async fn copy(from: Rc<Async<TcpStream>>, to: Rc<Async<TcpStream>>, cut: &AtomicBool) {
    let mut bytes = vec![0; 16 * 1024];
    let (mut from, mut to) = (&*from, &*to);
    while let Ok(size @ 1..) = from.read(&mut bytes).await {
        while cut.load(Ordering::SeqCst) {
            Timer::after(POLL_INTERVAL).await;
        }
        if to.write_all(&bytes[..size]).await.is_err() {
            return;
        }
    }
}
