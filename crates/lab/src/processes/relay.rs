//! A UDP relay between poolers: one socket for each ordered pair, and rules that drop, duplicate, corrupt or
//! delay datagrams.

use crate::lock;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::{block_on, or};
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The poolers send no longer datagrams; longer ones are truncated here, and so rejected by the receiver.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// A duplicated datagram arrives again after up to this time.
const MAX_DUPLICATE_DELAY_MS: u32 = 1_500;
/// The maximum number of delayed datagrams; further ones are lost.
const MAX_DELAYED: usize = 10_000;

/// The faults of datagrams; probabilities are in parts per thousand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Noise {
    /// Lost.
    pub lost: u32,
    /// Delivered once more, up to 1.5 s later.
    pub doubled: u32,
    /// Delivered with one bit flipped.
    pub flipped: u32,
    /// Delayed by up to this many milliseconds, and so reordered.
    pub late: u32,
}

/// The rules in force.
#[derive(Debug, Default)]
struct Rules {
    noise: Noise,
    /// Ordered pairs of sender and receiver between which nothing is delivered.
    cut: std::collections::BTreeSet<(usize, usize)>,
    /// A pooler, and how many more datagrams about maintenance work it sends until it is isolated, as if its
    /// process had ended at that point.
    isolate_after: Option<(usize, usize)>,
    isolated: bool,
}

/// Offset of the message kind in a datagram, behind the magic byte and the header, and the first kind that
/// concerns maintenance work.
const MESSAGE_KIND_OFFSET: usize = 28;
const FIRST_WORK_KIND: u8 = 16;

/// Statistics of the relayed datagrams.
#[derive(Debug, Default)]
pub struct RelayStats {
    /// Number of datagrams that poolers sent.
    pub sent: AtomicUsize,
    /// Size of the longest of them, in bytes.
    pub max_bytes: AtomicUsize,
    /// Number of datagrams by sender.
    sent_by_pooler: Mutex<BTreeMap<usize, usize>>,
}

impl RelayStats {
    /// How many datagrams each pooler has sent.
    #[must_use]
    pub fn sent_by_pooler(&self) -> BTreeMap<usize, usize> {
        lock(&self.sent_by_pooler).clone()
    }
}

/// The relay; its thread ends when this is dropped.
pub struct Relay {
    rules: Arc<Mutex<Rules>>,
    stopped: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
    /// Statistics of the relayed datagrams.
    pub stats: Arc<RelayStats>,
    /// The address at which a pooler reaches another one, by sender and receiver.
    addresses: BTreeMap<(usize, usize), SocketAddr>,
}

struct Link {
    from: usize,
    to: usize,
    socket: Rc<Async<UdpSocket>>,
    /// The socket from which the receiver expects the sender's datagrams.
    back: Rc<Async<UdpSocket>>,
    sender: [SocketAddr; 2],
    receiver: [SocketAddr; 2],
}

impl Relay {
    /// Starts a relay between poolers that listen at these addresses, for the pairs that `relayed` selects. Each
    /// pooler has a second address for a duplicate process of the same name: a datagram for one of them is
    /// delivered to both, and datagrams from both are relayed as from one pooler.
    ///
    /// # Errors
    ///
    /// When a socket can't be bound.
    pub fn start(
        listen: &[[SocketAddr; 2]],
        seed: u64,
        relayed: impl Fn(usize, usize) -> bool,
    ) -> std::io::Result<Self> {
        let mut sockets = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for from in 0..listen.len() {
            for to in (0..listen.len()).filter(|to| *to != from && relayed(from, *to)) {
                let socket = UdpSocket::bind((listen[from][0].ip(), 0))?;
                addresses.insert((from, to), socket.local_addr()?);
                sockets.insert((from, to), socket);
            }
        }
        let (rules, stopped, stats) = <(Arc<Mutex<Rules>>, Arc<AtomicBool>, Arc<RelayStats>)>::default();
        let (task_rules, task_stopped, task_stats) = (rules.clone(), stopped.clone(), stats.clone());
        let listen = listen.to_vec();
        let thread = std::thread::spawn(move || {
            let executor = LocalExecutor::new();
            let sockets: Result<BTreeMap<_, _>, _> = sockets
                .into_iter()
                .map(|(pair, socket)| Ok::<_, std::io::Error>((pair, Rc::new(Async::new(socket)?))))
                .collect();
            let Ok(sockets) = sockets else { return };
            let delayed = Rc::new(AtomicUsize::new(0));
            for ((from, to), socket) in &sockets {
                let Some(back) = sockets.get(&(*to, *from)) else { continue };
                let link = Link {
                    from: *from,
                    to: *to,
                    socket: socket.clone(),
                    back: back.clone(),
                    sender: listen[*from],
                    receiver: listen[*to],
                };
                let rng = ChaCha8Rng::seed_from_u64(seed ^ ((*from as u64) << 32 | *to as u64));
                let (rules, stats, delayed) = (task_rules.clone(), task_stats.clone(), delayed.clone());
                executor.spawn(forward(link, rng, rules, stats, delayed)).detach();
            }
            block_on(executor.run(async {
                while !task_stopped.load(Ordering::SeqCst) {
                    Timer::after(Duration::from_millis(10)).await;
                }
            }));
        });
        Ok(Self { rules, stopped, thread: Some(thread), stats, addresses })
    }

    /// The address at which `from` reaches `to`; `None` if there is no relay between them.
    #[must_use]
    pub fn address_for(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.addresses.get(&(from, to)).copied()
    }

    /// Sets the faults of all datagrams from now on.
    pub fn set_noise(&self, noise: Noise) {
        lock(&self.rules).noise = noise;
    }

    /// Cuts or restores delivery from one pooler to another.
    pub fn set_cut(&self, from: usize, to: usize, cut: bool) {
        let mut rules = lock(&self.rules);
        if cut {
            rules.cut.insert((from, to));
        } else {
            rules.cut.remove(&(from, to));
        }
    }

    /// Isolates a pooler in both directions once it has sent this many more datagrams about maintenance work.
    pub fn isolate_after(&self, pooler: usize, datagrams: usize) {
        let mut rules = lock(&self.rules);
        (rules.isolate_after, rules.isolated) = (Some((pooler, datagrams)), false);
    }

    /// Whether that pooler has been isolated.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        lock(&self.rules).isolated
    }

    /// Ends the isolation, or cancels it before it begins.
    pub fn clear_isolation(&self) {
        lock(&self.rules).isolate_after = None;
    }

    /// Restores all deliveries that were cut.
    pub fn heal(&self) {
        lock(&self.rules).cut.clear();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn forward(
    link: Link,
    mut rng: ChaCha8Rng,
    rules: Arc<Mutex<Rules>>,
    stats: Arc<RelayStats>,
    delayed: Rc<AtomicUsize>,
) {
    let executor = LocalExecutor::new();
    let receive_loop = async {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((size, sender)) = link.socket.recv_from(&mut buffer).await else {
                Timer::after(Duration::from_millis(2)).await;
                continue;
            };
            if !link.sender.contains(&sender) {
                continue;
            }
            stats.sent.fetch_add(1, Ordering::Relaxed);
            stats.max_bytes.fetch_max(size, Ordering::Relaxed);
            *lock(&stats.sent_by_pooler).entry(link.from).or_default() += 1;
            let (noise, cut) = {
                let mut rules = lock(&rules);
                let mut isolated = false;
                if let Some((isolated_pooler, remaining)) = rules.isolate_after {
                    let is_work = buffer[0] == linnetdeal_coordination::lease::MAGIC
                        && size > MESSAGE_KIND_OFFSET
                        && buffer[MESSAGE_KIND_OFFSET] >= FIRST_WORK_KIND;
                    if isolated_pooler == link.from && is_work && remaining > 0 {
                        rules.isolate_after = Some((isolated_pooler, remaining - 1));
                    } else if remaining == 0 && (isolated_pooler == link.from || isolated_pooler == link.to) {
                        rules.isolated = true;
                        isolated = true;
                    }
                }
                (rules.noise, isolated || rules.cut.contains(&(link.from, link.to)))
            };
            let mut draw = |per_mille: u32| per_mille > 0 && rng.next_u32() % 1_000 < per_mille;
            if cut || draw(noise.lost) {
                continue;
            }
            let (doubled, flipped) = (draw(noise.doubled), draw(noise.flipped));
            let mut bytes = buffer[..size].to_vec();
            if flipped && size > 0 {
                let bit = rng.next_u32() as usize % (size * 8);
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            let delay = if noise.late > 0 { rng.next_u32() % noise.late } else { 0 };
            let mut delays = vec![delay];
            if doubled {
                delays.push(delay + rng.next_u32() % MAX_DUPLICATE_DELAY_MS);
            }
            for delay in delays {
                if delay == 0 {
                    for receiver in link.receiver {
                        let _ = link.back.send_to(&bytes, receiver).await;
                    }
                } else if delayed.fetch_add(1, Ordering::Relaxed) < MAX_DELAYED {
                    let (back, receiver, bytes) = (link.back.clone(), link.receiver, bytes.clone());
                    let delayed = delayed.clone();
                    let deliver_later = async move {
                        Timer::after(Duration::from_millis(delay.into())).await;
                        for receiver in receiver {
                            let _ = back.send_to(&bytes, receiver).await;
                        }
                        delayed.fetch_sub(1, Ordering::Relaxed);
                    };
                    executor.spawn(deliver_later).detach();
                } else {
                    delayed.fetch_sub(1, Ordering::Relaxed);
                }
            }
        }
    };
    or(executor.run(std::future::pending::<()>()), receive_loop).await;
}
