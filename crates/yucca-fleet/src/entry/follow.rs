//! Follows the committed state of the control hosts.

use std::net;
use std::sync;
use std::time;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::mpsc;
use yucca_lane::shared::{quarantine as shared_quarantine, target as shared};
use yucca_own::site::{self, delta, item, target};
use yucca_wire::id;

use crate::entry::{Core, gossip, quarantine, request, view};
use crate::mesh::{link, message};
use crate::mutex::lock;

/// Time without an answer after which the state is requested again. On a slow link the whole state
/// takes most of a second; if it were requested again earlier, it would be sent twice.
const PULL_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// Interval between reports of measurements, and between checks for a newer state.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// Time after which a control host that no other one names any more is disconnected, unless it is a
/// seed.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(30);

/// Local copy of the state, and the connections to control hosts.
struct Follower {
    core: sync::Arc<Core>,
    hello: message::Hello,
    events: mpsc::Sender<link::Event>,
    state: site::State,
    /// Connections to control hosts, with the time at which each host was last named.
    dialers: IndexMap<net::IpAddr, (link::Dialer, time::Duration)>,
    links: IndexMap<link::Id, Control>,
    /// When the state was last requested, while there is no answer.
    pulled: Option<time::Duration>,
    /// The leader, according to the latest notice of a control host in contact with it.
    leader: Option<net::IpAddr>,
    /// The newest version of which a control host in contact with the leader sent a notice.
    newest: Option<id::Version>,
}

/// Connected control host.
struct Control {
    link: link::Link,
    peer: message::Hello,
    /// The version in its latest notice.
    version: id::Version,
    /// Whether that was the newest version, see [`message::Notice::current`].
    current: bool,
    hosts: message::Hosts,
}

/// Follows the state until the process ends.
pub async fn run(
    core: sync::Arc<Core>,
    hello: message::Hello,
    events: mpsc::Sender<link::Event>,
    mut received: mpsc::Receiver<link::Event>,
    mut quarantined: mpsc::Receiver<quarantine::Outgoing>,
) {
    let mut follower = Follower {
        hello,
        events,
        state: site::State::default(),
        dialers: IndexMap::new(),
        links: IndexMap::new(),
        pulled: None,
        leader: None,
        newest: None,
        core,
    };
    let mut seeds = follower.core.seeds.subscribe();
    seeds.mark_changed();
    let mut reports = tokio::time::interval(REPORT_INTERVAL);
    reports.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = received.recv() => match event {
                Some(link::Event::Opened { link, peer }) => follower.handle_opened(link, peer),
                Some(link::Event::Closed { id, reason }) => follower.handle_closed(id, &reason),
                Some(link::Event::Message { id, message }) => follower.handle_message(id, message),
                None => return,
            },
            _ = reports.tick() => follower.tick(),
            Some(outgoing) = quarantined.recv() => match outgoing {
                quarantine::Outgoing::News(news) => follower.tell(&news),
                quarantine::Outgoing::Trial(digest) => follower.ask_leader(digest),
            },
            Ok(()) = seeds.changed() => {
                let named = seeds.borrow_and_update().clone();
                log::info!("seeds={named:?} in effect");
                follower.dial(&named);
            }
        }
    }
}

impl Follower {
    fn dial(&mut self, ips: &[net::IpAddr]) {
        let now = self.core.clock.now();
        for ip in ips {
            let address = self.core.settings.mesh_address(*ip);
            match self.dialers.get_mut(ip) {
                Some((_, named)) => *named = now,
                None => {
                    let hello = self.hello.clone();
                    let dialer = link::Dialer::start(address, hello, self.events.clone());
                    self.dialers.insert(*ip, (dialer, now));
                }
            }
        }
        let seeds = self.core.seeds.borrow();
        self.dialers
            .retain(|ip, (_, named)| now < *named + FORGET_AFTER || seeds.contains(ip));
    }

    fn tick(&mut self) {
        let controls: IndexSet<net::IpAddr> = self
            .links
            .values()
            .flat_map(|control| control.hosts.controls.iter().copied())
            .collect();
        let controls: Vec<net::IpAddr> = controls.into_iter().collect();
        self.dial(&controls);
        self.pull();
        self.poll();
        self.report();
    }

    /// Reports measurements to the leader. A report that can't be sent is lost; the next one has
    /// newer measurements.
    fn report(&mut self) {
        let report = self.core.dispatcher.report(self.core.clock.now());
        let mut links = self.links.values();
        let leader = links.find(|control| Some(control.peer.ip) == self.leader);
        if let (Some(leader), false) = (leader, report.is_empty()) {
            let sent = leader.link.send(message::Message::Report(Box::new(report)));
            if !sent {
                log::warn!("control={} report lost", leader.peer.host);
            }
        }
    }

    fn handle_opened(&mut self, link: link::Link, peer: message::Hello) {
        log::info!("control={} connection={} opened", peer.host, link.id);
        let control = Control {
            peer,
            version: id::Version::default(),
            current: false,
            hosts: message::Hosts::default(),
            link,
        };
        let known = self.core.quarantine.all(self.core.clock.now());
        if !known.is_empty() {
            let _ = control
                .link
                .send(message::Message::Quarantine(Box::new(known)));
        }
        self.links.insert(control.link.id, control);
    }

    /// Tells all control hosts of requests that crash targets. One that misses it is told all when
    /// the connection is opened again.
    fn tell(&self, news: &shared_quarantine::News) {
        for control in self.links.values() {
            let message = message::Message::Quarantine(Box::new(news.clone()));
            let _ = control.link.send(message);
        }
    }

    /// Asks the leader whether this host may send a refused request once. If the question is lost, the
    /// request is refused.
    fn ask_leader(&self, digest: shared_quarantine::Digest) {
        let mut links = self.links.values();
        let leader = links.find(|control| Some(control.peer.ip) == self.leader);
        if let Some(leader) = leader {
            let _ = leader.link.send(message::Message::Trial(digest));
        }
    }

    fn handle_closed(&mut self, id: link::Id, reason: &str) {
        if let Some(control) = self.links.swap_remove(&id) {
            log::info!(
                "control={} connection={id} lost: {reason}",
                control.peer.host
            );
        }
        self.pulled = None;
        self.update_peers();
    }

    fn handle_message(&mut self, id: link::Id, message: message::Message) {
        match message {
            message::Message::Notice(notice) => self.handle_notice(id, &notice),
            message::Message::Hosts(hosts) => self.handle_hosts(id, hosts),
            message::Message::Delta(delta) => self.handle_delta(*delta),
            message::Message::Moving { service, stripes } => {
                self.core
                    .dispatcher
                    .move_stripes(&service, &stripes, self.core.clock.now());
            }
            message::Message::Quarantine(news) => {
                let now = self.core.clock.now();
                self.core.quarantine.merge(&news, now);
            }
            message::Message::Trial(digest) => self.core.quarantine.permit(&digest),
            message::Message::Hello(_)
            | message::Message::Ping
            | message::Message::Log(_)
            | message::Message::LeaderRequest { .. }
            | message::Message::LeaderReply { .. }
            | message::Message::Report(_)
            | message::Message::Pull { .. }
            | message::Message::Contacts(_) => {}
        }
    }

    fn handle_hosts(&mut self, id: link::Id, hosts: message::Hosts) {
        self.dial(&hosts.controls);
        if let Some(control) = self.links.get_mut(&id) {
            control.hosts = hosts;
        }
        self.update_peers();
    }

    /// Handles a notice. The state is requested from a control host of this domain at once, and
    /// from others if the newest version has not arrived by the next tick, or if no control host of
    /// this domain has it.
    fn handle_notice(&mut self, id: link::Id, notice: &message::Notice) {
        if notice.current {
            self.leader = notice.leader;
            self.newest = self.newest.max(Some(notice.version));
        }
        if let Some(control) = self.links.get_mut(&id) {
            control.version = notice.version;
            control.current = notice.current;
            let near = control.peer.domain == self.core.settings.domain;
            if near || !self.has_near_source() {
                self.pull();
            }
        }
        self.update_synced();
    }

    /// Returns whether a control host of this domain has the newest version. One that has lost
    /// contact with the leader stays connected and sends old ones.
    fn has_near_source(&self) -> bool {
        let own = &self.core.settings.domain;
        let mut links = self.links.values();
        links.any(|control| control.current && control.peer.domain == *own)
    }

    /// Requests changes since this host's version, preferably in this domain.
    fn pull(&mut self) {
        let have = self.state.version;
        let own = &self.core.settings.domain;
        let newer = self.links.values().filter(|control| control.version > have);
        let best = newer.min_by_key(|control| control.peer.domain != *own);
        if let Some(control) = best {
            let link = control.link.clone();
            self.pull_from(&link);
        }
    }

    /// Requests changes if no control host of this domain has the newest version, since those of
    /// other domains rarely send notices.
    fn poll(&mut self) {
        if self.has_near_source() {
            return;
        }
        let links = self.links.values();
        let newest = links.max_by_key(|control| (control.current, control.version));
        if let Some(control) = newest {
            let link = control.link.clone();
            self.pull_from(&link);
        }
    }

    fn pull_from(&mut self, link: &link::Link) {
        let now = self.core.clock.now();
        let waiting = self.pulled.is_some_and(|at| now < at + PULL_TIMEOUT);
        let have = self.state.version;
        if !waiting && link.send(message::Message::Pull { have }) {
            self.pulled = Some(now);
        }
    }

    fn handle_delta(&mut self, mut delta: delta::Delta) {
        self.pulled = None;
        let to = delta.to;
        // The owners of keys are stored in the dispatcher.
        let ranges = std::mem::take(&mut delta.ranges);
        let only_ranges = delta.items.is_empty() && delta.targets.is_empty();
        if self.state.apply_delta(delta) {
            log::info!("state version={to} in effect");
            if only_ranges {
                let view = self.core.view.load().at(to);
                self.core.view.store(sync::Arc::new(view));
            } else {
                self.publish_view();
            }
            let now = self.core.clock.now();
            for ranges in &ranges {
                self.core.dispatcher.update_owners(to, ranges, now);
            }
        }
        self.update_synced();
    }

    fn update_synced(&self) {
        let newest = self
            .newest
            .is_some_and(|newest| self.state.version >= newest);
        if newest && !*self.core.synced.borrow() {
            log::info!("state version={} is the newest; ready", self.state.version);
            self.core.synced.send_replace(true);
        }
    }

    fn publish_view(&self) {
        let now = self.core.clock.now();
        let view = view::View::new(&self.state);
        let limits = request::connection_limits(view.limits.as_ref());
        self.core.view.store(sync::Arc::new(view));
        let changed = self.core.limits.send_if_modified(|known| {
            let before = std::mem::replace(known, limits);
            before != limits
        });
        if changed {
            log::info!("{limits:?} in effect; connections with others end after their request");
        }
        let mut facts: IndexMap<&item::Name, Vec<shared::Facts>> = IndexMap::new();
        for (key, _) in self.state.items.active() {
            if key.kind == item::Kind::Service {
                facts.entry(&key.name).or_default();
            }
        }
        for record in self.state.targets.iter() {
            let of_service = facts.entry(&record.target.service).or_default();
            of_service.push(self.facts(record));
        }
        for (service, facts) in facts {
            let known = self.state.items.service(service);
            let keyed = known.is_some_and(|known| known.keyed);
            self.core
                .dispatcher
                .update_service(service, &facts, keyed, now);
        }
    }

    fn facts(&self, record: &target::Record) -> shared::Facts {
        shared::Facts {
            number: record.number,
            near: record.target.domain.0 == self.core.settings.domain.as_str(),
            slots: record.target.slots,
            open: record.target.phase == target::Phase::Ready,
        }
    }

    /// Updates the known entry hosts from those that the connected control hosts name. While none is
    /// connected, or none has named any, they stay as they are.
    ///
    /// Load pattern: all control hosts are lost at the same moment. The entry hosts go on sending to
    /// the same targets.
    fn update_peers(&self) {
        let own = self.core.settings.ip;
        let controls = self.links.values();
        let near = controls.clone().flat_map(|control| &control.hosts.near);
        let near: IndexSet<net::IpAddr> = near.filter(|ip| **ip != own).copied().collect();
        let entries = controls.map(|control| control.hosts.entries).max();
        let Some(entries) = entries.filter(|entries| *entries > 0) else {
            return;
        };
        let far = entries.saturating_sub(near.len() + 1);
        let peers = gossip::Peers::new(own, near, far);
        let now = self.core.clock.now();
        lock(&self.core.host_peak).record(peers.count() + 1, now);
        lock(&self.core.near_peak).record(peers.near.len() + 1, now);
        if peers != **self.core.peers.load() {
            self.core.peers.store(sync::Arc::new(peers));
        }
    }
}
