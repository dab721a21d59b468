//! What lies between poolers and servers: a forwarder for each pair. A way that is cut takes connections and carries nothing.

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

/// How long it takes until something looks whether it is over.
const LOOK: Duration = Duration::from_millis(10);

/// The ways; their thread ends when this is dropped.
pub struct Ways {
    views: BTreeMap<(usize, usize), (SocketAddr, Arc<AtomicBool>)>,
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Ways {
    /// Ways from so many poolers to servers at these addresses.
    ///
    /// # Errors
    ///
    /// When a socket can't be had.
    pub fn start(poolers: usize, servers: &[SocketAddr]) -> std::io::Result<Self> {
        let (mut views, mut doors) = (BTreeMap::new(), Vec::new());
        for pooler in 0..poolers {
            for (at, server) in servers.iter().enumerate() {
                let listener = TcpListener::bind("127.0.0.1:0")?;
                let cut = Arc::new(AtomicBool::new(false));
                views.insert((pooler, at), (listener.local_addr()?, cut.clone()));
                doors.push((listener, *server, cut));
            }
        }
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let thread = std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            for (listener, server, cut) in doors {
                let Ok(listener) = Async::new(listener) else { return };
                let of = executor.clone();
                let door = async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        of.spawn(carry(stream, server, cut.clone())).detach();
                    }
                };
                executor.spawn(door).detach();
            }
            block_on(executor.run(async {
                while !ends.load(Ordering::SeqCst) {
                    Timer::after(LOOK).await;
                }
            }));
        });
        Ok(Self { views, over, thread: Some(thread) })
    }

    /// Where a pooler finds a server.
    #[must_use]
    pub fn view(&self, pooler: usize, server: usize) -> Option<SocketAddr> {
        self.views.get(&(pooler, server)).map(|(address, _)| *address)
    }

    /// Cuts a way, or mends it.
    pub fn cut(&self, pooler: usize, server: usize, cut: bool) {
        if let Some((_, flag)) = self.views.get(&(pooler, server)) {
            flag.store(cut, Ordering::SeqCst);
        }
    }

    /// Mends all.
    pub fn heal(&self) {
        self.views.values().for_each(|(_, flag)| flag.store(false, Ordering::SeqCst));
    }
}

impl Drop for Ways {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn carry(pooler: Async<TcpStream>, server: SocketAddr, cut: Arc<AtomicBool>) {
    while cut.load(Ordering::SeqCst) {
        Timer::after(LOOK).await;
        // Whoever has given it up meanwhile is not carried on.
        if pooler.get_ref().peek(&mut [0]).is_ok_and(|size| size == 0) {
            return;
        }
    }
    let Ok(server) = Async::<TcpStream>::connect(server).await else { return };
    let _ = (pooler.get_ref().set_nodelay(true), server.get_ref().set_nodelay(true));
    let (a, b) = (Rc::new(pooler), Rc::new(server));
    or(one_way(a.clone(), b.clone(), &cut), one_way(b, a, &cut)).await;
}

/// Carries bytes until either side ends; what comes while it is cut waits.
async fn one_way(from: Rc<Async<TcpStream>>, to: Rc<Async<TcpStream>>, cut: &AtomicBool) {
    let mut bytes = vec![0; 16 * 1024];
    let (mut from, mut to) = (&*from, &*to);
    while let Ok(size @ 1..) = from.read(&mut bytes).await {
        while cut.load(Ordering::SeqCst) {
            Timer::after(LOOK).await;
        }
        if to.write_all(&bytes[..size]).await.is_err() {
            return;
        }
    }
}
