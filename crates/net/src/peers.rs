//! Datagrams between poolers. They may get lost, come late or be anybody's: only what comes from a pooler's own address
//! is handed to the module, which looks into it.

use crate::config::PeerAddresses;
use crate::driver::Driver;
use crate::leases::Leases;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use linnetdeal_coordination::lease::MAGIC;
use linnetdeal_core::Event;
use linnetdeal_core::peers::{MAX_DATAGRAM_LEN, To};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// So many datagrams may wait to be sent; more are lost.
pub const MOST_WAITING: usize = 64;
/// A socket that fails to read is left alone for so long.
const PAUSE: Duration = Duration::from_millis(20);

/// How often an address is tried that is not to be had.
const AGAIN: Duration = Duration::from_millis(500);

/// The socket, and who is who.
pub struct Talk {
    socket: Async<UdpSocket>,
    addresses: PeerAddresses,
    numbers: HashMap<SocketAddr, u32>,
    driver: Rc<Driver>,
    leases: Option<Rc<Leases>>,
}

impl Talk {
    /// Opens the socket. The process whose place this one takes may hold the address still, and service needs no talk:
    /// it is tried until it is free.
    pub async fn open(addresses: PeerAddresses, driver: Rc<Driver>, leases: Option<Rc<Leases>>) -> Self {
        let numbers = (0..).zip(&addresses.each).map(|(at, address)| (*address, at)).collect();
        let mut told = false;
        loop {
            match Async::<UdpSocket>::bind(addresses.listen) {
                Ok(socket) => {
                    if let Some(leases) = &leases {
                        leases.socket_opened();
                    }
                    return Self { socket, addresses, numbers, driver, leases };
                }
                Err(error) if !told => {
                    tracing::warn!("other poolers are not heard yet, {}: {error}", addresses.listen);
                    told = true;
                }
                Err(_) => {}
            }
            // Leases are kept for this process for a while only.
            Timer::after(if leases.is_some() { AGAIN / 20 } else { AGAIN }).await;
        }
    }

    /// Sends what is to be told and hands on what comes. Runs as long as the module does.
    pub async fn run(self, tells: Receiver<(To, Vec<u8>)>) {
        or(or(self.send(tells), self.send_letters()), self.receive()).await;
    }

    async fn send_letters(&self) {
        let Some(leases) = &self.leases else { return std::future::pending().await };
        while let Some((to, bytes)) = leases.next_datagram().await {
            for address in self.whom(to) {
                let _ = self.socket.send_to(&bytes, address).await;
            }
            leases.datagram_sent();
        }
        // The tasks of a pooler that leaves are given back: nothing more is to be sent.
        std::future::pending().await
    }

    async fn send(&self, tells: Receiver<(To, Vec<u8>)>) {
        while let Ok((to, bytes)) = tells.recv().await {
            for address in self.whom(to) {
                self.put(&bytes, address).await;
            }
        }
    }

    /// The addresses of whom a datagram is for.
    fn whom(&self, to: To) -> Vec<SocketAddr> {
        match (to, self.addresses.all) {
            (To::All, Some(all)) => vec![all],
            (To::All, None) => self.addresses.each.clone(),
            (To::One(number), _) => self.addresses.each.get(number as usize).copied().into_iter().collect(),
        }
    }

    /// What can't be sent is lost.
    async fn put(&self, bytes: &[u8], to: SocketAddr) {
        self.driver.counters.told.add();
        let _ = self.socket.send_to(bytes, to).await;
    }

    async fn receive(&self) {
        // One byte more than any has, so that a longer one is not taken for a whole one.
        let mut buffer = [0; MAX_DATAGRAM_LEN + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((size, sender)) => match self.numbers.get(&sender) {
                    Some(from) => {
                        if let (Some(leases), MAGIC) = (&self.leases, buffer[0]) {
                            leases.receive(*from, &buffer[..size]);
                        } else {
                            self.driver.counters.heard.add();
                            self.driver.feed(Event::Told { from: *from, bytes: buffer[..size].to_vec() });
                        }
                    }
                    None => self.driver.counters.strangers.add(),
                },
                // Such as what an earlier datagram met where nobody listened.
                Err(_) => drop(Timer::after(PAUSE).await),
            }
            // A flood of datagrams holds up nobody else.
            yield_now().await;
        }
    }
}
