//! Requests go to the entry hosts in turn, as the platform's balancer sends them.

use std::net;
use std::sync::atomic;

use futures_util::future::BoxFuture;

use super::Router;
use crate::load::client;
use crate::load::trace;

/// The deployment's entry hosts.
#[derive(Debug)]
pub struct Entries {
    client: client::Client,
    addresses: Vec<net::SocketAddr>,
    next: atomic::AtomicUsize,
}

impl Entries {
    /// Returns a router over these entry hosts, of which there is at least one.
    pub fn new(client: client::Client, addresses: Vec<net::SocketAddr>) -> Self {
        Self {
            client,
            addresses,
            next: atomic::AtomicUsize::new(0),
        }
    }
}

impl Router for Entries {
    fn send<'a>(
        &'a self,
        arrival: &'a trace::Arrival,
    ) -> BoxFuture<'a, Result<client::Reply, client::Error>> {
        let turn = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let address = self.addresses[turn % self.addresses.len()];
        Box::pin(self.client.send(address, arrival))
    }
}
