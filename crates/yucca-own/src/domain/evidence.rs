//! What the leader of a domain's log saw itself; it is never replicated.

use std::time;

use indexmap::{IndexMap, IndexSet};
use yucca_wire::announce;
use yucca_wire::id;
use yucca_wire::report;

use super::index;
use super::rates::Rates;
use super::{Announce, State};
use crate::lease;

/// How long a target that the state does not know is remembered after it was heard.
const KEEP_UNKNOWN: time::Duration = time::Duration::from_secs(10);
/// How often work is evened out.
const BALANCE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// What the leader saw, on the clock of its process.
#[derive(Debug, Clone)]
pub struct Evidence {
    /// When this process became leader.
    since: time::Duration,
    pub(super) hosts: IndexMap<id::Host, Host>,
    pub(super) targets: IndexMap<id::Target, Target>,
    pub(super) rates: IndexMap<id::Service, Rates>,
    /// When the last renewal of the home lease was sent that was granted.
    home_renewed: Option<time::Duration>,
    /// When work was last due to be evened out.
    balance_due: time::Duration,
    index: index::Index,
}

/// What was heard of a host.
#[derive(Debug, Clone)]
pub(super) struct Host {
    /// The start of its process.
    pub incarnation: u64,
    /// When it was last heard.
    pub heard: time::Duration,
    /// When its lease was last renewed.
    leased: time::Duration,
    /// Its lease lapsed; it is not renewed before its lanes were taken away.
    pub lapsed: bool,
    /// Since when it wants its lanes handed over.
    pub stopping: Option<time::Duration>,
    /// The global version in force there.
    pub global: id::Version,
    /// The domain versions in force there.
    pub locals: IndexMap<id::Domain, id::Version>,
    /// The targets whose lanes it reported last.
    lanes: IndexSet<id::Target>,
    /// When it was first heard without a gap.
    pub steady_since: time::Duration,
}

/// What was heard of a target.
#[derive(Debug, Clone, Default)]
pub(super) struct Target {
    /// What it last said of itself.
    pub announced: Option<Announce>,
    /// When it last said so.
    pub heard: time::Duration,
    /// When its lane first found it dead.
    pub dead_since: Option<time::Duration>,
    /// When its lane last found it alive.
    pub alive_at: Option<time::Duration>,
    /// The hosts whose lanes found it dead.
    pub dead_from: IndexSet<id::Host>,
    /// The token of the lane that reported last.
    pub token: id::Token,
    /// What its lane released and the state still waits for.
    pub released: Vec<report::Release>,
    /// The standby that has a whole copy of the ledger.
    pub copied: Option<id::Host>,
    /// The lane said that it sends nothing more.
    pub left: bool,
}

impl Host {
    fn new(leased: time::Duration, heard: time::Duration) -> Self {
        Self {
            incarnation: 0,
            heard,
            leased,
            lapsed: false,
            stopping: None,
            global: id::Version::default(),
            locals: IndexMap::new(),
            lanes: IndexSet::new(),
            steady_since: heard,
        }
    }
}

impl Target {
    fn is_recent(&self, now: time::Duration) -> bool {
        self.announced.is_some() && now.saturating_sub(self.heard) <= KEEP_UNKNOWN
    }
}

impl Evidence {
    /// Returns the knowledge of a process that has just become leader.
    pub fn new(now: time::Duration) -> Self {
        Self {
            since: now,
            hosts: IndexMap::new(),
            targets: IndexMap::new(),
            rates: IndexMap::new(),
            home_renewed: None,
            balance_due: now,
            index: index::Index::default(),
        }
    }

    /// Takes in the report of a host.
    pub fn record_report(&mut self, report: &report::Report, now: time::Duration) {
        if !self.record_host(report, now) {
            return;
        }
        for announced in &report.announced {
            self.record_announcement(announced, now);
        }
        for (target, lane) in &report.lanes {
            self.record_lane(&report.host, target, lane, now);
        }
    }

    /// Takes in what was applied; call it after each application, and before `plan`.
    pub fn observe(&mut self, state: &State, now: time::Duration) {
        self.index.follow(&state.table());
        if now.saturating_sub(self.balance_due) >= BALANCE_INTERVAL {
            self.balance_due = now;
        }
        self.judge_leases(state, now);
        let table = &state.table;
        self.targets
            .retain(|name, seen| table.targets.contains_key(name) || seen.is_recent(now));
        for (name, seen) in &mut self.targets {
            let Some(target) = table.targets.get(name) else {
                seen.released.clear();
                continue;
            };
            let waits = |release: &report::Release| state.waits_for(name, target, release);
            seen.released.retain(waits);
        }
        self.rates
            .retain(|service, _| state.global.services.contains_key(service));
    }

    /// Decides which leases lapsed. From then on a host gets no lease before its lanes were taken
    /// away, although it may be heard again while the log still decides that.
    fn judge_leases(&mut self, state: &State, now: time::Duration) {
        let since = self.since;
        for (name, known) in state.hosts.iter().filter(|(_, known)| known.up) {
            let host = self.hosts.entry(name.clone()).or_insert_with(|| Host {
                incarnation: known.incarnation,
                ..Host::new(since, since)
            });
            let silent = now.saturating_sub(host.leased) > lease::grantor(lease::HOST);
            host.lapsed |= silent || host.incarnation != known.incarnation;
        }
        for (name, host) in &mut self.hosts {
            let gone = state.hosts.get(name).is_none_or(|known| !known.up);
            if host.lapsed && gone {
                host.lapsed = false;
                host.leased = now;
            }
        }
    }

    /// Tells whether a report of a host may be answered by a lease. Only a leader that a quorum
    /// has confirmed since the report came may say so.
    pub fn may_lease(&self, state: &State, host: &id::Host) -> bool {
        let seen = self.hosts.get(host);
        seen.is_some_and(|seen| !seen.lapsed && state.is_up(host, seen.incarnation))
    }

    /// Returns what each host reported last, to tell where a version is in force.
    pub fn versions(
        &self,
    ) -> impl Iterator<Item = (&id::Host, id::Version, &IndexMap<id::Domain, id::Version>)> {
        let hosts = self.hosts.iter();
        hosts.map(|(name, host)| (name, host.global, &host.locals))
    }

    /// Notes that the renewal of the home lease that was sent at this time was granted.
    pub fn record_renewal(&mut self, sent: time::Duration) {
        self.home_renewed = self.home_renewed.max(Some(sent));
    }

    /// Returns when the last renewal was sent that was granted.
    pub(super) fn home_renewed(&self) -> Option<time::Duration> {
        self.home_renewed
    }

    /// Returns the global version in force at a host, as far as it was heard.
    pub(super) fn version_at(&self, host: &id::Host) -> id::Version {
        let host = self.hosts.get(host);
        host.map_or(id::Version::default(), |host| host.global)
    }

    /// Tells whether work is due to be evened out.
    pub(super) fn is_balance_due(&self, now: time::Duration) -> bool {
        now.saturating_sub(self.balance_due) < BALANCE_INTERVAL / 10
    }

    /// Returns when this process became leader.
    pub(super) fn since(&self) -> time::Duration {
        self.since
    }

    /// Tells whether a host that has this version in force reported no lane of the target.
    pub(super) fn closed(
        &self,
        host: &id::Host,
        domain: &id::Domain,
        target: &id::Target,
        version: id::Version,
    ) -> bool {
        let seen = self.hosts.get(host);
        seen.is_some_and(|seen| {
            let held = seen.locals.get(domain).copied().unwrap_or_default();
            held >= version && !seen.lanes.contains(target)
        })
    }

    /// Returns the shards of a target.
    pub(super) fn owned(&self, target: &id::Target) -> impl Iterator<Item = id::Shard> {
        self.index.shards(target)
    }

    fn record_host(&mut self, report: &report::Report, now: time::Duration) -> bool {
        let since = self.since;
        let host = self
            .hosts
            .entry(report.host.clone())
            .or_insert_with(|| Host {
                incarnation: report.incarnation,
                ..Host::new(since, now)
            });
        if report.incarnation < host.incarnation {
            return false;
        }
        if report.incarnation > host.incarnation {
            host.lapsed = true;
            host.incarnation = report.incarnation;
            host.steady_since = now;
        }
        if now.saturating_sub(host.leased) > lease::grantor(lease::HOST) {
            host.lapsed = true;
            host.steady_since = now;
        }
        if !host.lapsed {
            host.leased = now;
        }
        host.heard = now;
        host.stopping = report.stopping.then(|| host.stopping.unwrap_or(now));
        host.global = report.global;
        host.locals.clone_from(&report.locals);
        host.lanes = report.lanes.keys().cloned().collect();
        true
    }

    fn record_announcement(&mut self, announced: &announce::Announce, now: time::Duration) {
        let Some(announce) = convert(announced) else {
            return;
        };
        let seen = self.targets.entry(announce.target.clone()).or_default();
        let older = seen.announced.as_ref();
        if older.is_some_and(|older| older.incarnation > announce.incarnation) {
            return;
        }
        if older.is_none_or(|older| older.incarnation < announce.incarnation) {
            seen.dead_since = None;
            seen.dead_from.clear();
        }
        seen.heard = now;
        seen.announced = Some(announce);
    }

    fn record_lane(
        &mut self,
        host: &id::Host,
        name: &id::Target,
        lane: &report::Lane,
        now: time::Duration,
    ) {
        let seen = self.targets.entry(name.clone()).or_default();
        if lane.token < seen.token {
            return;
        }
        if lane.token > seen.token {
            seen.token = lane.token;
            seen.released.clear();
            seen.left = false;
            seen.copied = None;
            seen.dead_since = None;
        }
        if lane.alive {
            seen.alive_at = Some(now);
            seen.dead_since = None;
            seen.dead_from.clear();
        } else {
            seen.dead_since.get_or_insert(now);
            seen.dead_from.insert(host.clone());
        }
        for release in &lane.released {
            if !seen.released.contains(release) {
                seen.released.push(release.clone());
            }
        }
        seen.left |= lane.left;
        if lane.copied.is_some() {
            seen.copied.clone_from(&lane.copied);
        }
        if let Some(announced) = &seen.announced {
            let service = announced.service.clone();
            self.rates.entry(service).or_default().add(lane, now);
        }
    }
}

/// Reads an announcement; one that names no valid target is passed over.
fn convert(given: &announce::Announce) -> Option<Announce> {
    let state = given.state.as_ref();
    Some(Announce {
        target: given.target.parse().ok()?,
        service: given.service.parse().ok()?,
        address: given.address.parse().ok()?,
        incarnation: given.incarnation,
        slots: id::Slots(given.slots.get()),
        connections: given.connections.get(),
        checks_tokens: given.checks_tokens,
        draining: matches!(state, Some(announce::State::Draining)),
        leaving: matches!(state, Some(announce::State::Leaving)),
        warm: given.warm.unwrap_or(1.0).clamp(0.0, 1.0) as f32,
    })
}
