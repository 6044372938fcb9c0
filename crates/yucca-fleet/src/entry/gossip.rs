//! Load digests: entry hosts tell each other how many requests they have at which targets.

use std::net;
use std::sync;
use std::time;

use indexmap::{IndexMap, IndexSet};
use tokio::net::UdpSocket;
use yucca_lane::shared::target;
use yucca_own::site::target as site;

use crate::entry::Core;
use crate::mesh::message;

/// How often a host looks whether there is something to tell.
const INTERVAL: time::Duration = time::Duration::from_millis(40);

/// The most digests that a host sends in a second. Each costs about 20 us at either end.
const MAX_RATE: f64 = 120.0;

/// How often what was heard is handed on, at the most.
const SHARE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// What a host said is forgotten after this time.
const EXPIRY: time::Duration = time::Duration::from_millis(1_000);

/// A load that does not change is told so often before it would be forgotten, as datagrams get lost.
const REPEATS: u32 = 3;

/// The most bytes of a datagram.
const MAX_BYTES: usize = 8 << 10;

/// The other entry hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Peers {
    /// Those in this host's domain.
    pub near: IndexSet<net::IpAddr>,
    /// How many there are in other domains.
    pub far: usize,
}

impl Peers {
    /// Returns how many there are.
    pub fn count(&self) -> usize {
        self.near.len() + self.far
    }
}

/// What another host last said.
struct Heard {
    sequence: u64,
    at: time::Duration,
    loads: Vec<(site::Number, u32)>,
}

/// Tells and hears loads until the process ends.
pub async fn run(core: sync::Arc<Core>, socket: UdpSocket) {
    let mut heard: IndexMap<net::IpAddr, Heard> = IndexMap::new();
    let mut buffer = vec![0; MAX_BYTES];
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut teller = Teller::default();
    let mut dirty: Option<tokio::time::Instant> = None;
    loop {
        let due = dirty;
        tokio::select! {
            _ = interval.tick() => teller.tell(&core, &socket),
            () = wait(due) => {
                dirty = None;
                share(&core, &mut heard);
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
                        if take(&core, &mut heard, load) && dirty.is_none() {
                            dirty = Some(tokio::time::Instant::now() + SHARE_INTERVAL);
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

/// Tells the hosts of its own domain of this host's load. Bytes between domains are dear, so the
/// load of hosts elsewhere is extrapolated instead.
#[derive(Default)]
struct Teller {
    sequence: u64,
    told: Vec<(site::Number, u32)>,
    told_at: time::Duration,
}

impl Teller {
    fn tell(&mut self, core: &Core, socket: &UdpSocket) {
        let now = core.clock.now();
        let peers = core.peers.load();
        let pause = time::Duration::from_secs_f64(peers.near.len() as f64 / MAX_RATE);
        if now < self.told_at + pause {
            return;
        }
        let loads = core.desk.loads();
        let again = !loads.is_empty() && now > self.told_at + EXPIRY / REPEATS;
        if loads == self.told && !again {
            return;
        }
        self.sequence += 1;
        self.told_at = now;
        let measures = core.desk.take_unshared().into_iter();
        let load = message::Load {
            sequence: self.sequence,
            ip: core.settings.ip,
            loads,
            times: measures
                .map(|(number, measure)| {
                    let micros = u64::try_from(measure.time.as_micros()).unwrap_or(u64::MAX);
                    (number, measure.count, micros)
                })
                .collect(),
        };
        match rmp_serde::to_vec(&load) {
            Ok(datagram) => {
                for ip in &peers.near {
                    let address = core.settings.mesh_address(*ip);
                    // A digest that can't be sent is as good as one that was lost.
                    socket.try_send_to(&datagram, address).ok();
                }
            }
            Err(error) => log::error!("a load digest has no encoding: {error}"),
        }
        self.told = load.loads;
    }
}

fn take(core: &Core, heard: &mut IndexMap<net::IpAddr, Heard>, load: message::Load) -> bool {
    let now = core.clock.now();
    let late = heard
        .get(&load.ip)
        .is_some_and(|known| known.sequence >= load.sequence && now < known.at + EXPIRY);
    if !late {
        for (number, count, micros) in load.times {
            let measure = target::Measurement {
                count,
                time: time::Duration::from_micros(micros),
            };
            core.desk.note_measure(number, measure);
        }
        heard.insert(
            load.ip,
            Heard {
                sequence: load.sequence,
                at: now,
                loads: load.loads,
            },
        );
    }
    !late
}

fn share(core: &Core, heard: &mut IndexMap<net::IpAddr, Heard>) {
    let now = core.clock.now();
    heard.retain(|_, known| now < known.at + EXPIRY);
    let mut others: IndexMap<site::Number, u32> = IndexMap::new();
    for known in heard.values() {
        for (number, load) in &known.loads {
            *others.entry(*number).or_default() += load;
        }
    }
    let peers = core.peers.load();
    let far = peers.far as f64 / (peers.near.len() + 1) as f64;
    core.desk.set_others(&others, far, now);
}
