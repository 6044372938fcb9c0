//! Sends requests to the entry hosts in turn, as the platform's load balancer does.

use std::net;
use std::sync::atomic;

use futures_util::future::BoxFuture;

use super::Router;
use crate::load::client;
use crate::load::trace;

/// Round-robin router over the entry hosts of a deployment.
#[derive(Debug)]
pub struct Entries {
    client: client::Client,
    addresses: Vec<net::SocketAddr>,
    next: atomic::AtomicUsize,
}

impl Entries {
    /// Returns a router over `addresses`, which must not be empty.
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
