//! Load digests: the entry hosts of a group send each other how many requests they have at each
//! target.

use std::net;
use std::sync;
use std::time;

use indexmap::{IndexMap, IndexSet};
use tokio::net::UdpSocket;
use yucca_lane::shared::{cell, target};
use yucca_own::site::target as site;

use crate::entry::Core;
use crate::mesh::message;

/// Interval between checks whether there is a digest to send.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Maximum number of datagrams that a host sends in a second. Each costs about 20 us at either end.
const MAX_RATE: f64 = 120.0;

/// Time in which received digests are gathered before the dispatcher gets them.
const GATHER_TIME: time::Duration = time::Duration::from_millis(20);

/// Time after which a digest of another host expires.
const EXPIRY: time::Duration = time::Duration::from_millis(1_000);

/// Number of times that an unchanged load is sent within [`EXPIRY`], as datagrams get lost.
const SENDS_BEFORE_EXPIRY: u32 = 3;

/// Maximum size of a received datagram.
const MAX_BYTES: usize = 8 << 10;

/// Other entry hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Peers {
    /// The entry hosts in this host's domain.
    pub near: IndexSet<net::IpAddr>,
    /// Those of them that are in this host's group.
    pub group: Vec<net::IpAddr>,
    /// The group.
    pub cell: cell::Cell,
    /// Number of entry hosts in other domains.
    pub far: usize,
}

impl Peers {
    /// Returns the other entry hosts of `own`: those in its domain, and a number of others.
    pub fn new(own: net::IpAddr, near: IndexSet<net::IpAddr>, far: usize) -> Self {
        let mut hosts: Vec<net::IpAddr> = near.iter().copied().chain([own]).collect();
        hosts.sort_unstable();
        let cell = |rank| cell::Cell::of(rank, hosts.len());
        let rank = hosts.binary_search(&own).unwrap_or(0);
        let group = hosts.iter().enumerate();
        let group = group.filter(|(other, ip)| **ip != own && cell(*other) == cell(rank));
        Self {
            group: group.map(|(_, ip)| *ip).collect(),
            cell: cell(rank),
            near,
            far,
        }
    }

    /// Returns the number of other entry hosts for each one of this host's group.
    fn outside(&self) -> f64 {
        (self.count() - self.group.len()) as f64 / (self.group.len() + 1) as f64
    }

    /// Returns the number of other entry hosts.
    pub fn count(&self) -> usize {
        self.near.len() + self.far
    }
}

/// Latest digest of another host.
struct Digest {
    sequence: u64,
    at: time::Duration,
    loads: Vec<(site::Number, u32)>,
}

/// Sends and receives load digests until the process ends.
pub async fn run(core: sync::Arc<Core>, socket: UdpSocket) {
    let mut digests: IndexMap<net::IpAddr, Digest> = IndexMap::new();
    let mut buffer = vec![0; MAX_BYTES];
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sender = Sender::default();
    let mut apply_at: Option<tokio::time::Instant> = None;
    loop {
        let due = apply_at;
        tokio::select! {
            _ = interval.tick() => sender.send(&core, &socket),
            () = wait(due) => {
                apply_at = None;
                apply(&core, &mut digests);
            }
            received = socket.recv(&mut buffer) => {
                let length = match received {
                    Ok(length) => length,
                    Err(error) => {
                        log::warn!("load digest not received: {error}");
                        continue;
                    }
                };
                match rmp_serde::from_slice::<message::Load>(&buffer[..length]) {
                    Ok(load) => {
                        if receive(&core, &mut digests, load) && apply_at.is_none() {
                            apply_at = Some(tokio::time::Instant::now() + GATHER_TIME);
                        }
                    }
                    Err(error) => log::warn!("load digest unreadable: {error}"),
                }
            }
        }
    }
}

async fn wait(until: Option<tokio::time::Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}

/// Sender of this host's load to the other hosts of its group. Traffic between domains is expensive,
/// and each datagram costs processor time, so the load of further hosts is extrapolated instead.
#[derive(Default)]
struct Sender {
    sequence: u64,
    sent: Vec<(site::Number, u32)>,
    sent_at: time::Duration,
}

impl Sender {
    fn send(&mut self, core: &Core, socket: &UdpSocket) {
        let now = core.clock.now();
        let peers = core.peers.load();
        let pause = time::Duration::from_secs_f64(peers.group.len() as f64 / MAX_RATE);
        if now < self.sent_at + pause {
            return;
        }
        let loads = core.dispatcher.loads();
        let again = !loads.is_empty() && now > self.sent_at + EXPIRY / SENDS_BEFORE_EXPIRY;
        if loads == self.sent && !again {
            return;
        }
        self.sequence += 1;
        self.sent_at = now;
        let measurements = core.dispatcher.take_unshared().into_iter();
        let load = message::Load {
            sequence: self.sequence,
            ip: core.settings.ip,
            loads,
            times: measurements
                .map(|(number, measurement)| {
                    let micros = u64::try_from(measurement.time.as_micros()).unwrap_or(u64::MAX);
                    (number, measurement.count, micros)
                })
                .collect(),
        };
        match rmp_serde::to_vec(&load) {
            Ok(datagram) => {
                for ip in &peers.group {
                    let address = core.settings.mesh_address(*ip);
                    // A digest that can't be sent counts as lost.
                    socket.try_send_to(&datagram, address).ok();
                }
            }
            Err(error) => log::error!("load digest not encoded: {error}"),
        }
        self.sent = load.loads;
    }
}

/// Stores a received digest. Returns false if one with the same or a higher sequence number was
/// received within [`EXPIRY`]; a process that restarts begins with low numbers again.
fn receive(core: &Core, digests: &mut IndexMap<net::IpAddr, Digest>, load: message::Load) -> bool {
    let now = core.clock.now();
    let outdated = digests
        .get(&load.ip)
        .is_some_and(|known| known.sequence >= load.sequence && now < known.at + EXPIRY);
    if !outdated {
        for (number, count, micros) in load.times {
            let measurement = target::Measurement {
                count,
                time: time::Duration::from_micros(micros),
            };
            core.dispatcher.add_measurement(number, measurement);
        }
        digests.insert(
            load.ip,
            Digest {
                sequence: load.sequence,
                at: now,
                loads: load.loads,
            },
        );
    }
    !outdated
}

/// Gives the loads of the other hosts to the dispatcher.
fn apply(core: &Core, digests: &mut IndexMap<net::IpAddr, Digest>) {
    let now = core.clock.now();
    digests.retain(|_, known| now < known.at + EXPIRY);
    let mut others: IndexMap<site::Number, u32> = IndexMap::new();
    for known in digests.values() {
        for (number, load) in &known.loads {
            *others.entry(*number).or_default() += load;
        }
    }
    let peers = core.peers.load();
    core.dispatcher.set_cell(peers.cell);
    core.dispatcher.set_others(&others, peers.outside(), now);
}
