//! What lies between poolers: a socket for each one's view of each other one, and rules for what becomes of a datagram.

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

/// No datagram of the poolers is longer; one that is comes to nothing here either.
const LONGEST: usize = 2_048;
/// A datagram that is let come again does so up to so much later.
const AGAIN: u32 = 1_500;
/// Datagrams that are on their way at once; more are lost.
const MOST_DELAYED: usize = 10_000;

/// What becomes of datagrams, in parts of a thousand and milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Noise {
    /// Lost.
    pub lost: u32,
    /// Come once more, up to 1.5 s later.
    pub doubled: u32,
    /// A bit is flipped in them.
    pub flipped: u32,
    /// Come late by up to so many milliseconds, and so out of order.
    pub late: u32,
}

/// What holds now.
#[derive(Debug, Default)]
struct Rules {
    noise: Noise,
    /// From whom to whom nothing comes.
    cut: std::collections::BTreeSet<(usize, usize)>,
    /// Nothing more comes from or to this one once it has sent so many more letters of this kind, as if it had died there.
    ends: Option<(usize, usize)>,
    ended: bool,
}

/// Where the form of a letter between poolers stands, the magic byte of letters, and the first form of those of work.
const FORM: usize = 28;
const FIRST_OF_WORK: u8 = 16;

/// What passed.
#[derive(Debug, Default)]
pub struct Passed {
    /// Datagrams that poolers sent.
    pub sent: AtomicUsize,
    /// The longest of them, in bytes.
    pub longest: AtomicUsize,
    /// By sender.
    by: Mutex<BTreeMap<usize, usize>>,
}

impl Passed {
    /// How many datagrams each pooler has sent.
    #[must_use]
    pub fn by(&self) -> BTreeMap<usize, usize> {
        lock(&self.by).clone()
    }
}

/// The relay; its thread ends when this is dropped.
pub struct Relay {
    rules: Arc<Mutex<Rules>>,
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
    /// What passed.
    pub passed: Arc<Passed>,
    /// By viewer and viewed.
    views: BTreeMap<(usize, usize), SocketAddr>,
}

struct Way {
    from: usize,
    to: usize,
    socket: Rc<Async<UdpSocket>>,
    /// The socket that the receiver knows the sender by.
    back: Rc<Async<UdpSocket>>,
    sender: [SocketAddr; 2],
    receiver: [SocketAddr; 2],
}

impl Relay {
    /// A relay between poolers that listen at these addresses, for the pairs that `between` names. Each has a second address,
    /// for another process of the same name: what comes for one comes for both, and both are taken for one.
    ///
    /// # Errors
    ///
    /// When a socket can't be had.
    pub fn start(
        listen: &[[SocketAddr; 2]],
        seed: u64,
        between: impl Fn(usize, usize) -> bool,
    ) -> std::io::Result<Self> {
        let mut sockets = BTreeMap::new();
        let mut views = BTreeMap::new();
        for from in 0..listen.len() {
            for to in (0..listen.len()).filter(|to| *to != from && between(from, *to)) {
                let socket = UdpSocket::bind((listen[from][0].ip(), 0))?;
                views.insert((from, to), socket.local_addr()?);
                sockets.insert((from, to), socket);
            }
        }
        let (rules, over, passed) = <(Arc<Mutex<Rules>>, Arc<AtomicBool>, Arc<Passed>)>::default();
        let (of_rules, of_over, of_passed) = (rules.clone(), over.clone(), passed.clone());
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
                let way = Way {
                    from: *from,
                    to: *to,
                    socket: socket.clone(),
                    back: back.clone(),
                    sender: listen[*from],
                    receiver: listen[*to],
                };
                let rng = ChaCha8Rng::seed_from_u64(seed ^ ((*from as u64) << 32 | *to as u64));
                let (rules, passed, delayed) = (of_rules.clone(), of_passed.clone(), delayed.clone());
                executor.spawn(carry(way, rng, rules, passed, delayed)).detach();
            }
            block_on(executor.run(async {
                while !of_over.load(Ordering::SeqCst) {
                    Timer::after(Duration::from_millis(10)).await;
                }
            }));
        });
        Ok(Self { rules, over, thread: Some(thread), passed, views })
    }

    /// Where `from` finds `to`; `None` where the two have no relay between them.
    #[must_use]
    pub fn view(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.views.get(&(from, to)).copied()
    }

    /// Has this become of all datagrams from now on.
    pub fn noise(&self, noise: Noise) {
        lock(&self.rules).noise = noise;
    }

    /// Cuts or mends the way from one to another.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        let mut rules = lock(&self.rules);
        if cut {
            rules.cut.insert((from, to));
        } else {
            rules.cut.remove(&(from, to));
        }
    }

    /// Nothing more comes from or to a pooler once it has sent so many more letters about work.
    pub fn end_after(&self, pooler: usize, letters: usize) {
        let mut rules = lock(&self.rules);
        (rules.ends, rules.ended) = (Some((pooler, letters)), false);
    }

    /// Whether that has come to pass.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        lock(&self.rules).ended
    }

    /// That is over.
    pub fn end_none(&self) {
        lock(&self.rules).ends = None;
    }

    /// Mends all that was cut.
    pub fn heal(&self) {
        lock(&self.rules).cut.clear();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn carry(
    way: Way,
    mut rng: ChaCha8Rng,
    rules: Arc<Mutex<Rules>>,
    passed: Arc<Passed>,
    delayed: Rc<AtomicUsize>,
) {
    let executor = LocalExecutor::new();
    let take = async {
        let mut buffer = vec![0; LONGEST];
        loop {
            let Ok((size, sender)) = way.socket.recv_from(&mut buffer).await else {
                Timer::after(Duration::from_millis(2)).await;
                continue;
            };
            if !way.sender.contains(&sender) {
                continue;
            }
            passed.sent.fetch_add(1, Ordering::Relaxed);
            passed.longest.fetch_max(size, Ordering::Relaxed);
            *lock(&passed.by).entry(way.from).or_default() += 1;
            let (noise, cut) = {
                let mut rules = lock(&rules);
                let mut gone = false;
                if let Some((who, left)) = rules.ends {
                    let of_work = buffer[0] == linnetdeal_coordination::lease::MAGIC
                        && size > FORM
                        && buffer[FORM] >= FIRST_OF_WORK;
                    if who == way.from && of_work && left > 0 {
                        rules.ends = Some((who, left - 1));
                    } else if left == 0 && (who == way.from || who == way.to) {
                        rules.ended = true;
                        gone = true;
                    }
                }
                (rules.noise, gone || rules.cut.contains(&(way.from, way.to)))
            };
            let mut hits = |of: u32| of > 0 && rng.next_u32() % 1_000 < of;
            if cut || hits(noise.lost) {
                continue;
            }
            let (doubled, flipped) = (hits(noise.doubled), hits(noise.flipped));
            let mut bytes = buffer[..size].to_vec();
            if flipped && size > 0 {
                let bit = rng.next_u32() as usize % (size * 8);
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            let late = if noise.late > 0 { rng.next_u32() % noise.late } else { 0 };
            let mut times = vec![late];
            if doubled {
                times.push(late + rng.next_u32() % AGAIN);
            }
            for late in times {
                if late == 0 {
                    for receiver in way.receiver {
                        let _ = way.back.send_to(&bytes, receiver).await;
                    }
                } else if delayed.fetch_add(1, Ordering::Relaxed) < MOST_DELAYED {
                    let (back, receiver, bytes) = (way.back.clone(), way.receiver, bytes.clone());
                    let delayed = delayed.clone();
                    let later = async move {
                        Timer::after(Duration::from_millis(late.into())).await;
                        for receiver in receiver {
                            let _ = back.send_to(&bytes, receiver).await;
                        }
                        delayed.fetch_sub(1, Ordering::Relaxed);
                    };
                    executor.spawn(later).detach();
                } else {
                    delayed.fetch_sub(1, Ordering::Relaxed);
                }
            }
        }
    };
    or(executor.run(std::future::pending::<()>()), take).await;
}
