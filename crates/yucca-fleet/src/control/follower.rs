//! Tells those who follow the state of its newest version, and what changed when they ask.

use std::net;
use std::sync;
use std::time;

use tokio::sync::mpsc;
use yucca_control::directory;
use yucca_own::site::{item, range};
use yucca_wire::id;

use crate::control::{Core, lock};
use crate::mesh::{link, message};

/// How often followers are told of a version that does not change.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// How long versions are gathered before followers are told of the newest, for each follower.
const GATHER: time::Duration = time::Duration::from_millis(1);

/// Who is connected to this process.
#[derive(Debug)]
pub struct Follower {
    peer: message::Hello,
    link: link::Link,
}

impl Follower {
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
        lock(&self.followers).insert(id, Follower { peer, link });
        if entry {
            self.tell();
        }
    }

    /// Keeps the control hosts that were heard of, for the upkeep of the log's membership.
    pub(super) fn note_hosts(&self, peer: &message::Hello) {
        let entry = directory::Entry {
            domain: peer.domain.clone(),
            address: self.settings.mesh_of(peer.ip),
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
            message::Message::Hello(_)
            | message::Message::Ping
            | message::Message::Notice(_)
            | message::Message::Moving { .. }
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
        for follower in lock(&self.followers).values() {
            if follower.peer.role == message::Role::Entry {
                // One that reads too slowly hears the next notice.
                let _ = follower.link.send(message::Message::Notice(notice.clone()));
            }
        }
    }

    /// Tells followers of stripes whose owner is about to release them.
    pub(super) fn tell_moving(&self, service: &item::Name, stripes: Vec<(u32, range::Token)>) {
        let message = message::Message::Moving {
            service: service.clone(),
            stripes,
        };
        for follower in lock(&self.followers).values() {
            if follower.peer.role == message::Role::Entry {
                // One that does not hear of it is told by the owner that it does not hold the key.
                let _ = follower.link.send(message.clone());
            }
        }
    }

    fn notice(&self) -> message::Notice {
        let standing = self.replica.standing();
        let version = lock(&self.machine).state.version;
        let members = standing.members.iter();
        let controls = members.filter_map(|member| member.host.as_str().parse().ok());
        let controls: Vec<net::IpAddr> = controls.collect();
        let followers = lock(&self.followers);
        let mut entries: Vec<(net::IpAddr, id::Domain)> = followers
            .values()
            .filter(|follower| follower.peer.role == message::Role::Entry)
            .map(|follower| (follower.peer.ip, follower.peer.domain.clone()))
            .collect();
        entries.sort();
        entries.dedup();
        let leader = standing.leader.as_ref();
        message::Notice {
            version,
            leader: leader.and_then(|host| host.as_str().parse().ok()),
            current: standing.member && standing.settled && standing.applied >= standing.commit,
            controls,
            entries,
        }
    }
}
