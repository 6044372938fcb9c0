//! Tells those who follow the state of its newest version, and what changed when they ask.

use std::collections::BTreeSet;
use std::net;
use std::sync;
use std::time;

use indexmap::IndexMap;
use tokio::sync::mpsc;
use yucca_control::directory;
use yucca_own::site::{item, range};
use yucca_wire::id;

use crate::control::Core;
use crate::mesh::{link, message};
use crate::mutex::lock;

/// How often followers are told of a version that does not change.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// How long versions are gathered before followers are told of the newest, for each follower.
const GATHER: time::Duration = time::Duration::from_millis(1);

/// How often followers in other domains are told at the most, as bytes between domains are dear. They
/// hear of versions from a control host of their own domain, or ask.
const FAR_INTERVAL: time::Duration = NOTICE_INTERVAL;

/// Who is connected to this process.
#[derive(Debug)]
pub struct Follower {
    peer: message::Hello,
    link: link::Link,
    /// When it was last told of a version.
    told: time::Duration,
    /// The hosts that it was told of.
    hosts: message::Hosts,
}

impl Follower {
    /// Tells of the version, and of the hosts where they have changed. One that reads too slowly
    /// hears the next notice.
    fn tell(&mut self, notice: &message::Notice, hosts: message::Hosts) {
        if self.hosts != hosts && self.link.send(message::Message::Hosts(hosts.clone())) {
            self.hosts = hosts;
        }
        let _ = self.link.send(message::Message::Notice(notice.clone()));
    }

    /// Returns who it is.
    pub fn peer(&self) -> &message::Hello {
        &self.peer
    }
}

impl Core {
    /// Takes in what happens on connections.
    pub(super) async fn hear(self: sync::Arc<Self>, mut events: mpsc::Receiver<link::Event>) {
        while let Some(event) = events.recv().await {
            match event {
                link::Event::Opened { link, peer } => self.note_opened(link, peer),
                link::Event::Message { id, message } => self.note_message(id, message),
                link::Event::Closed { id, reason } => {
                    if let Some(follower) = lock(&self.followers).swap_remove(&id) {
                        let host = follower.peer.host;
                        log::info!("peer={host} connection={id} lost: {reason}");
                    }
                }
            }
        }
    }

    fn note_opened(&self, link: link::Link, peer: message::Hello) {
        log::info!(
            "peer={} role={:?} connection={} opened",
            peer.host,
            peer.role,
            link.id
        );
        if peer.role == message::Role::Control {
            self.note_hosts(&peer);
        }
        let id = link.id;
        let entry = peer.role == message::Role::Entry;
        let follower = Follower {
            peer,
            link,
            told: time::Duration::ZERO,
            hosts: message::Hosts::default(),
        };
        lock(&self.followers).insert(id, follower);
        if entry {
            self.tell();
        }
    }

    /// Keeps the control hosts that were heard of, for the upkeep of the log's membership.
    pub(super) fn note_hosts(&self, peer: &message::Hello) {
        let entry = directory::Entry {
            domain: peer.domain.clone(),
            address: self.settings.mesh_address(peer.ip),
            disk: true,
        };
        let known = self.hosts.load();
        if known.hosts.get(&peer.host) == Some(&entry) {
            return;
        }
        let mut next = directory::Directory::clone(&known);
        next.hosts.insert(peer.host.clone(), entry);
        self.hosts.store(sync::Arc::new(next));
    }

    fn note_message(self: &sync::Arc<Self>, id: link::Id, message: message::Message) {
        match message {
            message::Message::Log(message) => {
                if let Some(from) = self.host_of(id) {
                    self.replica.receive(from, *message);
                }
            }
            message::Message::Ask { ticket, ask } => {
                if let Some(from) = self.host_of(id) {
                    self.answer_ask(from, ticket, *ask);
                }
            }
            message::Message::Reply { ticket, reply } => self.note_reply(ticket, reply),
            message::Message::Pull { have } => self.answer_pull(id, have),
            message::Message::Report(report) => self.note_report(&report),
            moving @ message::Message::Moving { .. } => self.relay_moving(&moving),
            message::Message::Hello(_)
            | message::Message::Ping
            | message::Message::Notice(_)
            | message::Message::Hosts(_)
            | message::Message::Delta(_) => {}
        }
    }

    fn host_of(&self, id: link::Id) -> Option<id::Host> {
        let followers = lock(&self.followers);
        followers
            .get(&id)
            .map(|follower| follower.peer.host.clone())
    }

    fn answer_pull(&self, id: link::Id, have: id::Version) {
        let delta = lock(&self.machine).state.delta(have);
        if let Some(follower) = lock(&self.followers).get(&id) {
            // The follower asks again when it hears of a version that it lacks.
            let _ = follower.link.send(message::Message::Delta(Box::new(delta)));
        }
    }

    /// Tells followers of each new version.
    pub(super) async fn publish(self: sync::Arc<Self>) {
        let mut standing = self.replica.watch();
        loop {
            // The sender lives as long as the replica, which this process owns.
            let changed = tokio::time::timeout(NOTICE_INTERVAL, standing.changed()).await;
            if matches!(changed, Ok(Err(_))) {
                return;
            }
            let followers = lock(&self.followers).len();
            tokio::time::sleep(GATHER * followers as u32).await;
            standing.mark_unchanged();
            self.tell();
        }
    }

    fn tell(&self) {
        let notice = self.notice();
        let standing = self.replica.standing();
        let members = standing.members.iter();
        let controls = members.filter_map(|member| member.host.as_str().parse().ok());
        let controls: Vec<net::IpAddr> = controls.collect();
        let now = self.clock.now();
        let mut followers = lock(&self.followers);
        let domains = entries_by_domain(followers.values());
        let entries = domains.values().map(BTreeSet::len).sum();
        for follower in followers.values_mut() {
            if follower.peer.role == message::Role::Entry {
                let near = follower.peer.domain == self.settings.domain;
                if near || now >= follower.told + FAR_INTERVAL {
                    follower.told = now;
                    let near = domains.get(&follower.peer.domain);
                    let hosts = message::Hosts {
                        controls: controls.clone(),
                        near: near.into_iter().flatten().copied().collect(),
                        entries,
                    };
                    follower.tell(&notice, hosts);
                }
            }
        }
    }

    /// Tells entry hosts of stripes whose owner is about to release them; those of other domains
    /// through one control host there. One that does not hear of it is told by the owner that it
    /// does not hold the key.
    pub(super) fn tell_moving(&self, service: &item::Name, stripes: Vec<(u32, range::Token)>) {
        let message = message::Message::Moving {
            service: service.clone(),
            stripes,
        };
        let followers = lock(&self.followers);
        let controls = followers
            .values()
            .filter(|follower| follower.peer.role == message::Role::Control)
            .filter(|follower| follower.peer.domain != self.settings.domain);
        let relays: IndexMap<&id::Domain, &Follower> = controls
            .map(|follower| (&follower.peer.domain, follower))
            .collect();
        let entries = followers
            .values()
            .filter(|follower| follower.peer.role == message::Role::Entry)
            .filter(|follower| !relays.contains_key(&follower.peer.domain));
        for follower in relays.values().copied().chain(entries) {
            let _ = follower.link.send(message.clone());
        }
    }

    /// Passes on, to the entry hosts of this domain, what the leader told of stripes that move.
    fn relay_moving(&self, message: &message::Message) {
        for follower in lock(&self.followers).values() {
            let entry = follower.peer.role == message::Role::Entry;
            if entry && follower.peer.domain == self.settings.domain {
                let _ = follower.link.send(message.clone());
            }
        }
    }

    fn notice(&self) -> message::Notice {
        let standing = self.replica.standing();
        let leader = standing.leader.as_ref();
        message::Notice {
            version: lock(&self.machine).state.version,
            leader: leader.and_then(|host| host.as_str().parse().ok()),
            current: standing.member && standing.settled && standing.applied >= standing.commit,
        }
    }
}

fn entries_by_domain<'a>(
    followers: impl Iterator<Item = &'a Follower>,
) -> IndexMap<id::Domain, BTreeSet<net::IpAddr>> {
    let mut domains: IndexMap<id::Domain, BTreeSet<net::IpAddr>> = IndexMap::new();
    for follower in followers {
        if follower.peer.role == message::Role::Entry {
            let domain = domains.entry(follower.peer.domain.clone()).or_default();
            domain.insert(follower.peer.ip);
        }
    }
    domains
}
