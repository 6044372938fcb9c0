//! Observations of the leader of a domain's log; they are never replicated.

use std::time;

use indexmap::{IndexMap, IndexSet};
use yucca_wire::announce;
use yucca_wire::id;
use yucca_wire::report;

use super::index;
use super::rates::Rates;
use super::{Announce, State};
use crate::lease;

/// Time for which a target that is not in the state is remembered after its last announcement.
const UNKNOWN_TARGET_RETENTION: time::Duration = time::Duration::from_secs(10);
/// Interval at which work is balanced among targets.
const BALANCE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Observations of a leader. All times are on the clock of its process.
#[derive(Debug, Clone)]
pub struct Evidence {
    /// When this process became leader.
    since: time::Duration,
    pub(super) hosts: IndexMap<id::Host, Host>,
    pub(super) targets: IndexMap<id::Target, Target>,
    pub(super) rates: IndexMap<id::Service, Rates>,
    /// Send time of the last renewal of the home lease that was granted.
    home_renewed: Option<time::Duration>,
    /// When balancing was last due.
    balance_due: time::Duration,
    index: index::Index,
}

/// Observations about a host.
#[derive(Debug, Clone)]
pub(super) struct Host {
    /// Incarnation of its process.
    pub incarnation: u64,
    /// When its last report arrived.
    pub last_report: time::Duration,
    /// When its lease was last renewed.
    leased: time::Duration,
    /// Whether its lease lapsed or its process was restarted. The lease is not renewed before the
    /// log has taken the lanes of the host away.
    pub lapsed: bool,
    /// Since when it asks for its lanes to be handed over.
    pub stopping: Option<time::Duration>,
    /// Global version in effect at the host.
    pub global: id::Version,
    /// Versions of the domains in effect at the host.
    pub locals: IndexMap<id::Domain, id::Version>,
    /// Targets whose lanes were in its last report.
    lanes: IndexSet<id::Target>,
    /// Since when its reports arrive without a gap.
    pub steady_since: time::Duration,
}

/// Observations about a target.
#[derive(Debug, Clone, Default)]
pub(super) struct Target {
    /// Its last announcement.
    pub announced: Option<Announce>,
    /// When its last announcement arrived.
    pub last_announced: time::Duration,
    /// Since when its lane cannot reach it.
    pub unreachable_since: Option<time::Duration>,
    /// When its lane last reached it.
    pub reachable_at: Option<time::Duration>,
    /// Hosts whose lanes could not reach it.
    pub unreachable_from: IndexSet<id::Host>,
    /// Token of the newest lane that reported.
    pub token: id::Token,
    /// Releases of its lane that the log has not applied yet.
    pub released: Vec<report::Release>,
    /// Standby that has a complete copy of the ledger.
    pub copied: Option<id::Host>,
    /// Whether the lane confirmed that it sends nothing more.
    pub left: bool,
}

impl Host {
    fn new(leased: time::Duration, last_report: time::Duration) -> Self {
        Self {
            incarnation: 0,
            last_report,
            leased,
            lapsed: false,
            stopping: None,
            global: id::Version::default(),
            locals: IndexMap::new(),
            lanes: IndexSet::new(),
            steady_since: last_report,
        }
    }
}

impl Target {
    fn is_recent(&self, now: time::Duration) -> bool {
        self.announced.is_some()
            && now.saturating_sub(self.last_announced) <= UNKNOWN_TARGET_RETENTION
    }
}

impl Evidence {
    /// Returns the empty evidence of a process that became leader at `now`.
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

    /// Records the report of a host. Reports of an earlier incarnation are ignored.
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

    /// Updates the evidence from the applied state. Call it after each applied command, and before
    /// [`State::plan`].
    pub fn observe(&mut self, state: &State, now: time::Duration) {
        self.index.update(&state.table());
        if now.saturating_sub(self.balance_due) >= BALANCE_INTERVAL {
            self.balance_due = now;
        }
        self.mark_lapsed_leases(state, now);
        let table = &state.table;
        self.targets
            .retain(|name, seen| table.targets.contains_key(name) || seen.is_recent(now));
        for (name, seen) in &mut self.targets {
            let Some(target) = table.targets.get(name) else {
                seen.released.clear();
                continue;
            };
            let waits = |release: &report::Release| state.awaits_release(name, target, release);
            seen.released.retain(waits);
        }
        self.rates
            .retain(|service, _| state.global.services.contains_key(service));
    }

    /// Marks the hosts whose leases lapsed or whose processes were restarted. Such a host gets no new
    /// lease before the log has taken its lanes away, even if its reports arrive again in the
    /// meantime.
    fn mark_lapsed_leases(&mut self, state: &State, now: time::Duration) {
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

    /// Returns whether a report of a host may be answered with a lease. Only a leader that a quorum
    /// has confirmed since the report arrived may answer so.
    pub fn may_lease(&self, state: &State, host: &id::Host) -> bool {
        let seen = self.hosts.get(host);
        seen.is_some_and(|seen| !seen.lapsed && state.is_up(host, seen.incarnation))
    }

    /// Returns the global version and the versions of the domains that each host last reported as
    /// in effect.
    pub fn versions(
        &self,
    ) -> impl Iterator<Item = (&id::Host, id::Version, &IndexMap<id::Domain, id::Version>)> {
        let hosts = self.hosts.iter();
        hosts.map(|(name, host)| (name, host.global, &host.locals))
    }

    /// Records that the renewal of the home lease that was sent at this time was granted.
    pub fn record_renewal(&mut self, sent: time::Duration) {
        self.home_renewed = self.home_renewed.max(Some(sent));
    }

    /// Returns the send time of the last renewal of the home lease that was granted.
    pub(super) fn home_renewed(&self) -> Option<time::Duration> {
        self.home_renewed
    }

    /// Returns the global version that a host last reported as in effect.
    pub(super) fn version_at(&self, host: &id::Host) -> id::Version {
        let host = self.hosts.get(host);
        host.map_or(id::Version::default(), |host| host.global)
    }

    /// Returns whether balancing is due.
    pub(super) fn is_balance_due(&self, now: time::Duration) -> bool {
        now.saturating_sub(self.balance_due) < BALANCE_INTERVAL / 10
    }

    /// Returns when this process became leader.
    pub(super) fn since(&self) -> time::Duration {
        self.since
    }

    /// Returns whether a host has this version of the domain, or a newer one, in effect and reported
    /// no lane of the target.
    pub(super) fn has_closed_lane(
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

    /// Returns the shards that a target owns.
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
        host.last_report = now;
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
            seen.unreachable_since = None;
            seen.unreachable_from.clear();
        }
        seen.last_announced = now;
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
            seen.unreachable_since = None;
        }
        if lane.alive {
            seen.reachable_at = Some(now);
            seen.unreachable_since = None;
            seen.unreachable_from.clear();
        } else {
            seen.unreachable_since.get_or_insert(now);
            seen.unreachable_from.insert(host.clone());
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

/// Converts an announcement, or returns `None` if a name or the address is invalid.
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
