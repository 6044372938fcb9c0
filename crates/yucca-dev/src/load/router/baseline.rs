//! Baselines that send requests directly to targets: by hash for keyed services, at random for
//! pools.

use std::net;
use std::sync::atomic;

use futures_util::future::BoxFuture;
use indexmap::IndexMap;
use rand::Rng;
use xxhash_rust::xxh3;
use yucca_wire::id;

use super::queue;
use super::{Kind, Router};
use crate::fleet;
use crate::load::client;
use crate::load::trace;

/// Client-side router over targets.
#[derive(Debug)]
pub struct Baseline {
    client: client::Client,
    two_choices: bool,
    services: IndexMap<id::Service, Vec<Member>>,
}

#[derive(Debug)]
struct Member {
    address: net::SocketAddr,
    queue: queue::Queue,
    /// Number of requests that wait in the queue or are at the target.
    in_flight: atomic::AtomicUsize,
}

impl Baseline {
    /// Returns the baseline of a kind over `targets`.
    pub fn new(client: client::Client, kind: Kind, targets: &[fleet::Listing]) -> Self {
        let policy = match kind {
            Kind::OneQueue => queue::Policy::Slot,
            Kind::Hashing => queue::Policy::Class,
            Kind::Direct | Kind::Yuccahill => queue::Policy::Connection,
        };
        let mut services: IndexMap<id::Service, Vec<Member>> = IndexMap::new();
        for target in targets {
            let members = services.entry(target.service.clone()).or_default();
            members.push(Member {
                address: target.address,
                queue: queue::Queue::new(policy),
                in_flight: atomic::AtomicUsize::new(0),
            });
        }
        Self {
            client,
            two_choices: policy != queue::Policy::Connection,
            services,
        }
    }

    fn choose(&self, arrival: &trace::Arrival) -> Option<&Member> {
        let members = self.services.get(&arrival.service)?;
        if let Some(key) = arrival.key {
            let hash = xxh3::xxh3_64(&key.to_le_bytes());
            return members.get(hash as usize % members.len());
        }
        let mut rng = rand::rng();
        let first = members.get(rng.random_range(0..members.len()))?;
        if !self.two_choices {
            return Some(first);
        }
        let second = members.get(rng.random_range(0..members.len()))?;
        Some(if second.in_flight() < first.in_flight() {
            second
        } else {
            first
        })
    }

    async fn forward(&self, arrival: &trace::Arrival) -> Result<client::Reply, client::Error> {
        let Some(member) = self.choose(arrival) else {
            return Err(client::Error::Response {
                address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
                reason: format!("no target serves {}", arrival.service),
            });
        };
        let _in_flight = InFlight::new(&member.in_flight);
        let _permit = member.queue.acquire(arrival.class).await;
        self.client.send(member.address, arrival).await
    }
}

impl Member {
    fn in_flight(&self) -> usize {
        self.in_flight.load(atomic::Ordering::Relaxed)
    }
}

/// Counts a request as in flight until dropped.
struct InFlight<'a>(&'a atomic::AtomicUsize);

impl<'a> InFlight<'a> {
    fn new(count: &'a atomic::AtomicUsize) -> Self {
        count.fetch_add(1, atomic::Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Router for Baseline {
    fn send<'a>(
        &'a self,
        arrival: &'a trace::Arrival,
    ) -> BoxFuture<'a, Result<client::Reply, client::Error>> {
        Box::pin(self.forward(arrival))
    }
}
