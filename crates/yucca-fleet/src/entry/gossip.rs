//! Load digests: entry hosts tell each other how many requests they have at which targets.

use std::net;
use std::sync;
use std::time;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use yucca_own::site::target;

use crate::entry::Core;
use crate::mesh::message;

/// How often a host tells the others of its own domain.
const NEAR_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Hosts of other domains are told once in so many times, as bytes between domains are dear.
const FAR_EVERY: u64 = 5;

/// What a host said is forgotten after this time.
const EXPIRY: time::Duration = time::Duration::from_millis(700);

/// The most bytes of a datagram.
const MAX_BYTES: usize = 8 << 10;

/// Another entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its address.
    pub ip: net::IpAddr,
    /// Whether it is in this host's domain.
    pub near: bool,
}

/// What another host last said.
struct Heard {
    sequence: u64,
    at: time::Duration,
    loads: Vec<(target::Number, u32)>,
}

/// Tells and hears loads until the process ends.
pub async fn run(core: sync::Arc<Core>, socket: UdpSocket) {
    let mut heard: IndexMap<net::IpAddr, Heard> = IndexMap::new();
    let mut buffer = vec![0; MAX_BYTES];
    let mut interval = tokio::time::interval(NEAR_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut teller = Teller::default();
    loop {
        tokio::select! {
            _ = interval.tick() => teller.tell(&core, &socket),
            received = socket.recv(&mut buffer) => {
                let Ok(length) = received else {
                    continue;
                };
                match rmp_serde::from_slice::<message::Load>(&buffer[..length]) {
                    Ok(load) => {
                        if take(&core, &mut heard, load) {
                            share(&core, &mut heard);
                        }
                    }
                    Err(error) => log::warn!("load digest unreadable: {error}"),
                }
            }
        }
    }
}

/// Tells others of this host's load.
#[derive(Default)]
struct Teller {
    sequence: u64,
    near: Vec<(target::Number, u32)>,
    far: Vec<(target::Number, u32)>,
}

impl Teller {
    fn tell(&mut self, core: &Core, socket: &UdpSocket) {
        self.sequence += 1;
        let loads = core.desk.loads();
        let far = self.sequence.is_multiple_of(FAR_EVERY);
        let tell_near = loads != self.near || (far && !loads.is_empty());
        let tell_far = far && (loads != self.far || !loads.is_empty());
        if !tell_near && !tell_far {
            return;
        }
        let load = message::Load {
            sequence: self.sequence,
            ip: core.settings.ip,
            loads,
        };
        let Ok(datagram) = rmp_serde::to_vec(&load) else {
            return;
        };
        for peer in core.peers.load().iter() {
            if (peer.near && tell_near) || (!peer.near && tell_far) {
                let address = core.settings.mesh_of(peer.ip);
                // A digest that can't be sent is as good as one that was lost.
                socket.try_send_to(&datagram, address).ok();
            }
        }
        if tell_near {
            self.near.clone_from(&load.loads);
        }
        if tell_far {
            self.far = load.loads;
        }
    }
}

fn take(core: &Core, heard: &mut IndexMap<net::IpAddr, Heard>, load: message::Load) -> bool {
    let now = core.clock.now();
    let late = heard
        .get(&load.ip)
        .is_some_and(|known| known.sequence >= load.sequence && now < known.at + EXPIRY);
    if !late {
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
    let mut others: IndexMap<target::Number, u32> = IndexMap::new();
    for known in heard.values() {
        for (number, load) in &known.loads {
            *others.entry(*number).or_default() += load;
        }
    }
    core.desk.set_others(&others, now);
}
