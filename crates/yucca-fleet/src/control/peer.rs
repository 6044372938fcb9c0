//! Connected processes: notifies entry hosts of new state versions and sends changes on request.

use std::collections::BTreeSet;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use tokio::sync::mpsc;
use yucca_control::{directory, replica};
use yucca_own::site::{delta, item, range};
use yucca_wire::id;

use crate::contact;
use crate::control::Core;
use crate::mesh::{link, message};
use crate::mutex::lock;

/// Interval between notices while the version does not change.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// Time in which versions are gathered before a notice of the newest one is sent. It is multiplied
/// by the number of connected processes, which limits the rate of notices.
const GATHER_TIME: time::Duration = time::Duration::from_millis(1);

/// Minimum interval between notices to entry hosts that get each notice from another control host:
/// those in other domains, as traffic between domains is expensive, and those in this domain of
/// which another control host is the [`contact::source`]. They poll if it falls silent.
const FAR_NOTICE_INTERVAL: time::Duration = NOTICE_INTERVAL;

/// Process that is connected to this one.
#[derive(Debug)]
pub struct Peer {
    hello: message::Hello,
    link: link::Link,
    /// When the last notice was sent.
    notified_at: time::Duration,
    /// The known hosts, as last sent.
    hosts: message::Hosts,
}

impl Peer {
    /// Sends a notice, and the known hosts if they have changed. A process that reads too slowly
    /// misses messages and gets the next ones.
    fn notify(&mut self, notice: &message::Notice, hosts: message::Hosts) {
        if self.hosts != hosts && self.link.send(message::Message::Hosts(hosts.clone())) {
            self.hosts = hosts;
        }
        let _ = self.link.send(message::Message::Notice(notice.clone()));
    }

    /// Queues a message without waiting. Returns false if it is lost.
    pub fn send(&self, message: message::Message) -> bool {
        self.link.send(message)
    }

    /// Returns the description that the process gave of itself.
    pub fn hello(&self) -> &message::Hello {
        &self.hello
    }
}

impl Core {
    /// Handles events of connections until the process ends.
    pub(super) async fn handle_events(
        self: sync::Arc<Self>,
        mut events: mpsc::Receiver<link::Event>,
    ) {
        while let Some(event) = events.recv().await {
            match event {
                link::Event::Opened { link, peer } => self.handle_opened(link, peer),
                link::Event::Message { id, message } => self.handle_message(id, message),
                link::Event::Closed { id, reason } => {
                    if let Some(peer) = lock(&self.peers).swap_remove(&id) {
                        let host = peer.hello.host;
                        log::info!("peer={host} connection={id} lost: {reason}");
                    }
                }
            }
        }
    }

    fn handle_opened(&self, link: link::Link, hello: message::Hello) {
        log::info!(
            "peer={} role={:?} connection={} opened",
            hello.host,
            hello.role,
            link.id
        );
        if hello.role == message::Role::Control {
            self.record_host(&hello);
        }
        let id = link.id;
        let entry = hello.role == message::Role::Entry;
        let peer = Peer {
            hello,
            link,
            notified_at: time::Duration::ZERO,
            hosts: message::Hosts::default(),
        };
        if entry {
            self.tell_quarantine(&peer);
        }
        lock(&self.peers).insert(id, peer);
        if entry {
            self.notify_entries();
        }
    }

    /// Stores a control host in the directory, from which the log's membership is maintained.
    pub(super) fn record_host(&self, hello: &message::Hello) {
        let entry = directory::Entry {
            domain: hello.domain.clone(),
            address: self.settings.mesh_address(hello.ip),
            disk: true,
        };
        let known = self.hosts.load();
        if known.hosts.get(&hello.host) == Some(&entry) {
            return;
        }
        let mut next = directory::Directory::clone(&known);
        next.hosts.insert(hello.host.clone(), entry);
        self.hosts.store(sync::Arc::new(next));
    }

    fn handle_message(self: &sync::Arc<Self>, id: link::Id, message: message::Message) {
        match message {
            message::Message::Log(message) => {
                if let Some(from) = self.host_of(id) {
                    self.replica.receive(from, *message);
                }
            }
            message::Message::LeaderRequest {
                request_id,
                request,
            } => {
                if let Some(from) = self.host_of(id) {
                    self.handle_leader_request(from, request_id, *request);
                }
            }
            message::Message::LeaderReply { request_id, reply } => {
                self.handle_leader_reply(request_id, reply);
            }
            message::Message::Pull { have } => self.answer_pull(id, have),
            message::Message::Report(report) => self.record_report(&report),
            moving @ message::Message::Moving { .. } => self.forward_moving(&moving),
            message::Message::Quarantine(news) => self.handle_quarantine(&news),
            message::Message::Trial(digest) => self.handle_trial(id, digest),
            message::Message::Contacts(numbers) => self.record_contacts(&numbers),
            message::Message::Hello(_)
            | message::Message::Ping
            | message::Message::Notice(_)
            | message::Message::Hosts(_)
            | message::Message::Delta(_) => {}
        }
    }

    fn host_of(&self, id: link::Id) -> Option<id::Host> {
        let peers = lock(&self.peers);
        peers.get(&id).map(|peer| peer.hello.host.clone())
    }

    fn answer_pull(&self, id: link::Id, have: id::Version) {
        let delta = if self.has_caught_up() {
            lock(&self.machine).state.delta(have)
        } else {
            // Without changes. The peer may then ask another host at once.
            delta::Delta {
                from: have,
                to: have,
                ..delta::Delta::default()
            }
        };
        if let Some(peer) = lock(&self.peers).get(&id) {
            // If the delta is lost, the peer requests it again while it lacks a version that it
            // knows of.
            let _ = peer.link.send(message::Message::Delta(Box::new(delta)));
        }
    }

    /// Notifies entry hosts of each new version.
    pub(super) async fn publish(self: sync::Arc<Self>) {
        let mut status = self.replica.watch();
        loop {
            // The sender exists as long as the replica, which this process owns.
            let changed = tokio::time::timeout(NOTICE_INTERVAL, status.changed()).await;
            if matches!(changed, Ok(Err(_))) {
                return;
            }
            let peers = lock(&self.peers).len();
            tokio::time::sleep(GATHER_TIME * peers as u32).await;
            status.mark_unchanged();
            self.dial_members();
            self.notify_entries();
        }
    }

    /// Opens connections to all members, so that this host can take over any role at once.
    fn dial_members(&self) {
        let members = self.replica.status().members;
        let ips = members
            .iter()
            .filter_map(|member| member.host.as_str().parse().ok());
        let ips: Vec<net::IpAddr> = ips.collect();
        self.transport.dial(&ips);
    }

    fn notify_entries(&self) {
        let notice = self.notice();
        let members = self.replica.status().members;
        let directory = self.hosts.load();
        let now = self.clock.now();
        let mut peers = lock(&self.peers);
        let entries = entries_by_domain(peers.values());
        let count = entries.values().map(BTreeSet::len).sum();
        let mut contacts: IndexMap<id::Domain, Vec<net::IpAddr>> = IndexMap::new();
        for domain in entries.keys() {
            let named = contact::contacts(&members, &directory, domain);
            contacts.insert(domain.clone(), named);
        }
        let sources = self.near_controls(&peers, &self.settings.domain);
        for peer in peers.values_mut() {
            if peer.hello.role != message::Role::Entry {
                continue;
            }
            let near = peer.hello.domain == self.settings.domain;
            let source = near && contact::source(&sources, peer.hello.ip) == Some(self.settings.ip);
            if source || now >= peer.notified_at + FAR_NOTICE_INTERVAL {
                peer.notified_at = now;
                let domain = &peer.hello.domain;
                let hosts = message::Hosts {
                    controls: contacts.get(domain).cloned().unwrap_or_default(),
                    near: entries.get(domain).into_iter().flatten().copied().collect(),
                    entries: count,
                };
                peer.notify(&notice, hosts);
            }
        }
    }

    /// Returns the members of the log in a domain that this host is connected to, or is itself.
    pub(super) fn near_controls(
        &self,
        peers: &IndexMap<link::Id, Peer>,
        domain: &id::Domain,
    ) -> BTreeSet<net::IpAddr> {
        let members = self.replica.status().members;
        let connected = peers
            .values()
            .filter(|peer| peer.hello.role == message::Role::Control)
            .map(|peer| (&peer.hello.domain, peer.hello.ip));
        let own = (&self.settings.domain, self.settings.ip);
        let all = connected.chain([own]).filter(|(of, _)| *of == domain);
        let all = all.map(|(_, ip)| ip);
        all.filter(|ip| {
            let mut members = members.iter();
            members.any(|member| member.host.as_str().parse() == Ok(*ip))
        })
        .collect()
    }

    /// Notifies entry hosts of stripes that their owner is about to release. Entry hosts in another
    /// domain are notified through one control host there. A host that misses the notice learns of
    /// the move when the owner answers that it does not hold the key.
    pub(super) fn notify_moving(&self, service: &item::Name, stripes: Vec<(u32, range::Token)>) {
        let message = message::Message::Moving {
            service: service.clone(),
            stripes,
        };
        let peers = lock(&self.peers);
        let controls = peers
            .values()
            .filter(|peer| peer.hello.role == message::Role::Control)
            .filter(|peer| peer.hello.domain != self.settings.domain);
        let relays: IndexMap<&id::Domain, &Peer> =
            controls.map(|peer| (&peer.hello.domain, peer)).collect();
        let entries = peers
            .values()
            .filter(|peer| peer.hello.role == message::Role::Entry)
            .filter(|peer| !relays.contains_key(&peer.hello.domain));
        for peer in relays.values().copied().chain(entries) {
            let _ = peer.link.send(message.clone());
        }
    }

    /// Forwards a notice of moving stripes from the leader to the entry hosts of this domain.
    fn forward_moving(&self, message: &message::Message) {
        for peer in lock(&self.peers).values() {
            let entry = peer.hello.role == message::Role::Entry;
            if entry && peer.hello.domain == self.settings.domain {
                let _ = peer.link.send(message.clone());
            }
        }
    }

    /// Returns the newest version, or version 0 while entry hosts must not get the state.
    fn notice(&self) -> message::Notice {
        let status = self.replica.status();
        let leader = status.leader.as_ref();
        let version = lock(&self.machine).state.version;
        message::Notice {
            version: if self.has_caught_up() {
                version
            } else {
                id::Version::default()
            },
            leader: leader.and_then(|host| host.as_str().parse().ok()),
            current: is_current(&status),
        }
    }

    pub(super) fn has_caught_up(&self) -> bool {
        let known = self.caught_up.load(atomic::Ordering::Relaxed);
        if known || !is_current(&self.replica.status()) {
            return known;
        }
        let version = lock(&self.machine).state.version;
        log::info!("log=site version={version} is current; entry hosts get the state from here");
        self.caught_up.store(true, atomic::Ordering::Relaxed);
        true
    }
}

/// Returns whether the state contains all that is known to be committed.
fn is_current(status: &replica::Status) -> bool {
    status.member && status.commit_current && status.applied >= status.commit
}

fn entries_by_domain<'a>(
    peers: impl Iterator<Item = &'a Peer>,
) -> IndexMap<id::Domain, BTreeSet<net::IpAddr>> {
    let mut domains: IndexMap<id::Domain, BTreeSet<net::IpAddr>> = IndexMap::new();
    for peer in peers {
        if peer.hello.role == message::Role::Entry {
            let domain = domains.entry(peer.hello.domain.clone()).or_default();
            domain.insert(peer.hello.ip);
        }
    }
    domains
}
