//! Datagrams between poolers. They may be lost, delayed or sent by anyone: only datagrams from the address of a
//! pooler are passed on, and the receiving component validates their content.

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

/// Maximum number of datagrams waiting to be sent; further ones are dropped.
pub const MAX_QUEUED_DATAGRAMS: usize = 64;
/// Pause after a failed read of the socket.
const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval between attempts to bind an address that is in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The socket for datagrams between poolers, with the addresses of the poolers.
pub struct PeerSocket {
    socket: Async<UdpSocket>,
    addresses: PeerAddresses,
    numbers: HashMap<SocketAddr, u32>,
    driver: Rc<Driver>,
    leases: Option<Rc<Leases>>,
}

impl PeerSocket {
    /// Opens the socket, retrying until the address is free: a process that this one succeeds may still use it.
    /// Requests can be served meanwhile, since they don't depend on communication between poolers.
    pub async fn open(addresses: PeerAddresses, driver: Rc<Driver>, leases: Option<Rc<Leases>>) -> Self {
        let numbers = (0..).zip(&addresses.each).map(|(index, address)| (*address, index)).collect();
        let mut logged = false;
        loop {
            match Async::<UdpSocket>::bind(addresses.listen) {
                Ok(socket) => {
                    if let Some(leases) = &leases {
                        leases.socket_opened();
                    }
                    return Self { socket, addresses, numbers, driver, leases };
                }
                Err(error) if !logged => {
                    tracing::warn!("other poolers are not heard yet, {}: {error}", addresses.listen);
                    logged = true;
                }
                Err(_) => {}
            }
            // Leases stay reserved for this process for a limited time only, so the attempts are more frequent.
            Timer::after(if leases.is_some() { BIND_RETRY_INTERVAL / 20 } else { BIND_RETRY_INTERVAL }).await;
        }
    }

    /// Sends the queued datagrams and passes on the received ones, as long as the router runs.
    pub async fn run(self, datagrams: Receiver<(To, Vec<u8>)>) {
        or(or(self.send(datagrams), self.send_lease_datagrams()), self.receive()).await;
    }

    async fn send_lease_datagrams(&self) {
        let Some(leases) = &self.leases else { return std::future::pending().await };
        while let Some((to, bytes)) = leases.next_datagram().await {
            for address in self.targets(to) {
                let _ = self.socket.send_to(&bytes, address).await;
            }
            leases.datagram_sent();
        }
        // A pooler that leaves has released its tasks: there is nothing more to send.
        std::future::pending().await
    }

    async fn send(&self, datagrams: Receiver<(To, Vec<u8>)>) {
        while let Ok((to, bytes)) = datagrams.recv().await {
            for address in self.targets(to) {
                self.send_counted(&bytes, address).await;
            }
        }
    }

    /// The addresses that a datagram is sent to.
    fn targets(&self, to: To) -> Vec<SocketAddr> {
        match (to, self.addresses.all) {
            (To::All, Some(all)) => vec![all],
            (To::All, None) => self.addresses.each.clone(),
            (To::One(number), _) => self.addresses.each.get(number as usize).copied().into_iter().collect(),
        }
    }

    /// Sends a datagram; it is lost if that fails.
    async fn send_counted(&self, bytes: &[u8], to: SocketAddr) {
        self.driver.counters.told.add();
        let _ = self.socket.send_to(bytes, to).await;
    }

    async fn receive(&self) {
        // One byte longer than any valid datagram, so that a truncated longer one is not taken for a valid one.
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
                // Such as the error reported for an earlier datagram to an address without a listener.
                Err(_) => drop(Timer::after(READ_RETRY_DELAY).await),
            }
            // Keeps a flood of datagrams from starving the other tasks.
            yield_now().await;
        }
    }
}
