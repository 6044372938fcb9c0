//! Load digests: the entry hosts of a group send each other how many requests they have at each
//! target.

use std::net;
use std::sync;
use std::time;

use indexmap::IndexSet;
use rand::Rng;
use tokio::net::UdpSocket;
use yucca_lane::shared::{cell, digest, target};
use yucca_own::site::target as site;

use crate::entry::Core;
use crate::mesh::message;

/// Interval between checks whether there is a digest to send.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Maximum number of datagrams that a host sends in a second. Each costs about 20 us at either end.
const MAX_RATE: f64 = 120.0;

/// Number of times that an unchanged load is sent within [`digest::EXPIRY`], as datagrams get lost.
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

/// Sends and receives load digests until the process ends.
pub async fn run(core: sync::Arc<Core>, socket: UdpSocket) {
    let mut digests = digest::Table::default();
    let mut buffer = vec![0; MAX_BYTES];
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sender = Sender::new();
    loop {
        tokio::select! {
            _ = interval.tick() => sender.send(&core, &socket),
            () = core.clock.sleep_until(Some(digests.next_apply())) => apply(&core, &mut digests),
            received = socket.recv(&mut buffer) => {
                let length = match received {
                    Ok(length) => length,
                    Err(error) => {
                        log::warn!("load digest not received: {error}");
                        continue;
                    }
                };
                match rmp_serde::from_slice::<message::Load>(&buffer[..length]) {
                    Ok(load) => receive(&core, &mut digests, load),
                    Err(error) => log::warn!("load digest unreadable: {error}"),
                }
            }
        }
    }
}

/// Sender of this host's load to the other hosts of its group. Traffic between domains is expensive,
/// and each datagram costs processor time, so the load of further hosts is extrapolated instead.
struct Sender {
    sequence: digest::Sequence,
    sent: Vec<(site::Number, u32)>,
    sent_at: time::Duration,
}

impl Sender {
    fn new() -> Self {
        Self {
            sequence: digest::Sequence::first(rand::rng().random()),
            sent: Vec::new(),
            sent_at: time::Duration::ZERO,
        }
    }

    fn send(&mut self, core: &Core, socket: &UdpSocket) {
        let now = core.clock.now();
        let peers = core.peers.load();
        let pause = time::Duration::from_secs_f64(peers.group.len() as f64 / MAX_RATE);
        if now < self.sent_at + pause {
            return;
        }
        let loads = core.dispatcher.loads();
        let again = !loads.is_empty() && now > self.sent_at + digest::EXPIRY / SENDS_BEFORE_EXPIRY;
        if loads == self.sent && !again {
            return;
        }
        self.sequence = self.sequence.next();
        self.sent_at = now;
        let measurements = core.dispatcher.take_unshared().into_iter();
        let load = message::Load {
            sequence: self.sequence.0,
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

/// Stores a received digest, unless it is outdated.
fn receive(core: &Core, digests: &mut digest::Table, load: message::Load) {
    let sequence = digest::Sequence(load.sequence);
    if !digests.insert(load.ip, sequence, load.loads, core.clock.now()) {
        return;
    }
    for (number, count, micros) in load.times {
        let measurement = target::Measurement {
            count,
            time: time::Duration::from_micros(micros),
        };
        core.dispatcher.add_measurement(number, measurement);
    }
}

/// Gives the loads of the other hosts to the dispatcher.
fn apply(core: &Core, digests: &mut digest::Table) {
    let now = core.clock.now();
    let others = digests.apply(now);
    let peers = core.peers.load();
    core.dispatcher.set_cell(peers.cell);
    core.dispatcher.set_others(&others, peers.outside(), now);
}
