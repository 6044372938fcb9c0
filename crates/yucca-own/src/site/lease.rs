//! Leases of keys, which the leader of the log stores in memory.
//!
//! A target holds keys until its lease expires; each answer to a heartbeat renews it. A stripe gets
//! another owner only once its present owner is known not to hold it: the owner has released it, its
//! lease has expired on the slowest allowed clock, or the target has started again at its address. A
//! new leader does not know the renewals of its predecessor, so it treats every lease as renewed at
//! its election.

mod heartbeat;
mod plan;

use std::time;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3;

use crate::site::{State, balance, item, range, target};

pub use heartbeat::{Digest, Grant, Heartbeat, Held, Release, Renewal};

/// Maximum amount by which a target's clock runs slower than the leader's, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Added to the duration of a lease for timers that fire late.
const EXPIRY_MARGIN: time::Duration = time::Duration::from_millis(60);

/// Maximum number of rows of one target. A row takes 20 bytes, so an answer stays under 4 KiB.
const MAX_ROWS: u32 = 190;

/// Up to this number of stripes, a target stays under the limit of rows without merged neighbours.
/// If it is expected to own more, it gets groups of neighbours.
const SCATTERED_STRIPES: u32 = 128;

/// Up to this number of targets, the rows of a target are not limited, because neighbouring stripes
/// merge into one row.
const FEW_TARGETS: usize = 6;

/// Settings of the leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Duration of a lease from each renewal.
    pub duration: time::Duration,
    /// A target without contact for this time gets no further keys.
    pub contact_timeout: time::Duration,
    /// How long the first assignment of a service waits for further targets. Also how long free
    /// stripes wait for targets that lack work before other targets get them.
    pub claim_delay: time::Duration,
}

impl Config {
    /// Returns the time after a renewal at which the lease has expired on every allowed clock.
    pub fn expiry(&self) -> time::Duration {
        self.duration + self.duration * CLOCK_DRIFT_PERCENT / 100 + EXPIRY_MARGIN
    }
}

/// State of one target, as known to the leader.
#[derive(Debug, Clone, Default)]
struct Holder {
    last_contact: time::Duration,
    sequence: u64,
    /// Whether a heartbeat to this leader has reported that it holds all stripes that it owns.
    reported_all: bool,
    /// Time at which its last renewal has expired on every allowed clock.
    expires: time::Duration,
    /// Stripes that are no longer renewed, with the sequence number of the heartbeat whose answer
    /// first left them out.
    leaving: IndexMap<u32, u64>,
    /// Stripes of `leaving` that it has reported as no longer held.
    released: IndexSet<u32>,
}

/// Leases granted by one leader.
#[derive(Debug, Clone)]
pub struct Registry {
    config: Config,
    elected_at: time::Duration,
    holders: IndexMap<target::Number, Holder>,
    /// Handover tokens of released stripes, by service.
    handovers: IndexMap<item::Name, IndexMap<u32, String>>,
    /// Stripes with a pending claim, with their present owner. They are not renewed.
    pending: IndexMap<item::Name, IndexMap<u32, Option<target::Number>>>,
    balance: balance::Balance,
    plans: IndexMap<item::Name, plan::Plan>,
    /// Time since which a service has always had free stripes.
    free_since: IndexMap<item::Name, time::Duration>,
    /// Time of the first contact with a target of a service.
    first_contact: IndexMap<item::Name, time::Duration>,
}

impl Registry {
    /// Returns the registry of a leader elected at `elected_at`.
    pub fn new(config: Config, elected_at: time::Duration) -> Self {
        Self {
            config,
            elected_at,
            holders: IndexMap::new(),
            handovers: IndexMap::new(),
            pending: IndexMap::new(),
            balance: balance::Balance::default(),
            plans: IndexMap::new(),
            free_since: IndexMap::new(),
            first_contact: IndexMap::new(),
        }
    }

    /// Returns the settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Records the contact with a target, whether or not its service is keyed.
    pub fn record_contact(
        &mut self,
        number: target::Number,
        service: &item::Name,
        now: time::Duration,
    ) {
        self.first_contact.entry(service.clone()).or_insert(now);
        self.holder(number).last_contact = now;
    }

    /// Returns whether a target may still be up or hold keys. A target that has deregistered sends no
    /// further heartbeats, so only its lease counts.
    pub fn may_be_up(&self, record: &target::Record, now: time::Duration) -> bool {
        let from_election = self.elected_at + self.config.expiry();
        let Some(holder) = self.holders.get(&record.number) else {
            return now < from_election;
        };
        let silent_from = holder.last_contact + self.config.expiry();
        match record.target.phase {
            target::Phase::Ready | target::Phase::Draining => now < holder.expires.max(silent_from),
            target::Phase::Left => now < holder.expires,
            target::Phase::Gone => false,
        }
    }

    /// Records the measurements of an entry host.
    pub fn record_report(&mut self, report: &balance::Report, now: time::Duration) {
        self.balance.record_report(report, now);
    }

    /// Records the keys in a heartbeat. Returns false if this heartbeat or a newer one was already
    /// received; it must then be answered without a grant.
    pub fn record_heartbeat(
        &mut self,
        state: &State,
        record: &target::Record,
        heartbeat: &Digest,
        now: time::Duration,
    ) -> bool {
        let Some(map) = state.ranges.get(&record.target.service) else {
            return self.accept_sequence(record.number, heartbeat.sequence);
        };
        if !self.accept_sequence(record.number, heartbeat.sequence) {
            return false;
        }
        if !heartbeat.released.is_empty() {
            let handovers = self.handovers.entry(record.target.service.clone());
            let handovers = handovers.or_default();
            for (stripes, handover) in &heartbeat.released {
                handovers.extend(stripes.iter().map(|stripe| (*stripe, handover.clone())));
            }
        }
        self.drop_used_handovers(record, map, heartbeat);
        // A delayed heartbeat from before the target got its keys also reports them as not held. So
        // missing stripes count as released only if the target has reported all its stripes as held,
        // or all leases from before the election have expired.
        let earlier_expired = now >= self.elected_at + self.config.expiry();
        let holder = self.holder(record.number);
        match &heartbeat.held {
            Held::Owned => holder.reported_all = true,
            Held::Stripes(held) if holder.reported_all || earlier_expired => {
                for (stripe, since) in &holder.leaving {
                    if *since < heartbeat.sequence && !held.contains(stripe) {
                        holder.released.insert(*stripe);
                    }
                }
            }
            Held::Stripes(_) => {}
        }
        true
    }

    /// Returns busy stripes of a target that should be split before it hands some over.
    pub fn splits(
        &mut self,
        state: &State,
        record: &target::Record,
        now: time::Duration,
    ) -> Vec<u32> {
        let service = &record.target.service;
        let Some(map) = state.ranges.get(service) else {
            return Vec::new();
        };
        if !self.may_move(now) || record.target.phase != target::Phase::Ready {
            return Vec::new();
        }
        self.refresh_plan(state, service, map, now);
        let plan = self.plans.get(service);
        let owned = self.retained_stripes(service, map, record.number);
        let splits = plan.map(|plan| plan.split(record.number, map, owned));
        let splits = splits.unwrap_or_default();
        if !splits.is_empty() {
            // The plan has weights of the stripes, not of their keys.
            self.plans.swap_remove(service);
        }
        splits
    }

    /// Returns the stripes that a target should get now. The assignment must be committed before
    /// they are granted, and its result be passed to [`Registry::finish_claim`].
    pub fn claim(
        &mut self,
        state: &State,
        record: &target::Record,
        now: time::Duration,
    ) -> Option<range::Assignment> {
        let service = &record.target.service;
        if record.target.phase != target::Phase::Ready {
            return None;
        }
        let assigned = state.ranges.get(service);
        let first = self.first_contact.get(service).copied().unwrap_or(now);
        if assigned.is_none() && now < first + self.config.claim_delay {
            return None;
        }
        let fresh;
        let map = match assigned {
            Some(map) => map,
            None => {
                let eligible = self.eligible(state, service, now);
                fresh = range::Map::new(range::stripe_count(eligible.len()));
                &fresh
            }
        };
        self.refresh_plan(state, service, map, now);
        let stripes = self.select_free(state, map, record, now)?;
        let count = map.count();
        let pending = self.pending.entry(service.clone()).or_default();
        for (number, _) in &stripes {
            pending.insert(*number, map.get(*number).and_then(|stripe| stripe.owner));
        }
        (!stripes.is_empty()).then(|| range::Assignment {
            service: service.clone(),
            count,
            owner: record.number,
            stripes,
        })
    }

    /// Selects free stripes for a target, and returns them with their present tokens.
    fn select_free(
        &mut self,
        state: &State,
        map: &range::Map,
        record: &target::Record,
        now: time::Duration,
    ) -> Option<Vec<(u32, range::Token)>> {
        let service = &record.target.service;
        let plan = self.plans.get(service)?;
        let mut entry = *plan.entry(record.number)?;
        if entry.work >= entry.quota && !self.free_since.contains_key(service) {
            return None;
        }
        let targets = plan.targets();
        let share = entry.quota / plan.scale().total();
        let expected = (f64::from(map.count()) * share).ceil() as u32;
        let group = expected.div_ceil(SCATTERED_STRIPES).next_power_of_two();
        let free = self.free(state, map, record, now);
        let any = !free.is_empty();
        let most = free.len().div_ceil(targets.max(1));
        let owned: Vec<u32> = self.retained_stripes(service, map, record.number).collect();
        let room = free_rows(map, &owned, targets) as usize;
        let spare = any && self.is_free_overdue(service, now);
        let mut taken = Vec::new();
        let mut gained = 0.0;
        for number in first_scattered(free, room, group) {
            let weight = plan.scale().weight(map, number);
            if entry.accepts(weight) || (spare && taken.len() < most) {
                entry.work += weight;
                gained += weight;
                let token = map.get(number).map(|stripe| stripe.token);
                taken.push((number, token.unwrap_or_default()));
            }
        }
        if let Some(plan) = self.plans.get_mut(service) {
            plan.add_work(record.number, gained);
        }
        self.update_free_since(service, any, now);
        Some(taken)
    }

    /// Returns the stripes that can be assigned to a target.
    fn free(
        &self,
        state: &State,
        map: &range::Map,
        record: &target::Record,
        now: time::Duration,
    ) -> Vec<u32> {
        let pending = self.pending.get(&record.target.service);
        let mut free: Vec<u32> = map.unowned().collect();
        for owner in map.owners() {
            if owner != record.number && self.has_ended(state, owner, now) {
                free.extend(map.owned(owner));
            } else if let Some(holder) = self.holders.get(&owner) {
                // Stripes that the target itself has released are assigned again with a new token.
                let released = holder.released.iter().copied();
                free.extend(
                    released.filter(|n| map.get(*n).is_some_and(|s| s.owner == Some(owner))),
                );
            }
        }
        free.retain(|number| pending.is_none_or(|pending| !pending.contains_key(number)));
        free
    }

    /// Returns whether a target is known not to hold any keys. If another target has its name or
    /// address, its lease still counts: it may be up, and only the other one says that it is not.
    fn has_ended(&self, state: &State, number: target::Number, now: time::Duration) -> bool {
        let Some(record) = state.targets.get(number) else {
            return true;
        };
        let target = &record.target;
        let latest = state.targets.latest(&target.instance.name);
        let restarted = latest.is_some_and(|latest| target.is_restarted_as(&latest.target));
        if target.phase == target::Phase::Gone && restarted {
            return true;
        }
        let holder = self.holders.get(&number);
        now >= holder.map_or(self.elected_at + self.config.expiry(), |holder| {
            holder.expires
        })
    }

    /// Replaces the plan of a service if it is out of date.
    fn refresh_plan(
        &mut self,
        state: &State,
        service: &item::Name,
        map: &range::Map,
        now: time::Duration,
    ) {
        let eligible = self.eligible(state, service, now);
        let plan = self.plans.get(service);
        if plan.is_some_and(|plan| plan.is_current(&eligible, now)) {
            return;
        }
        let shares = self.balance.shares(&eligible);
        let scale = self.balance.scale(service, map, now);
        let entries = shares.into_iter().map(|(number, share)| {
            let owned: Vec<u32> = self.retained_stripes(service, map, number).collect();
            let measured = owned.iter().map(|stripe| scale.measured(*stripe)).sum();
            let entry = plan::Entry {
                work: scale.sum(map, owned.iter().copied()),
                deviation: scale.deviation(measured),
                quota: scale.total() * share,
                has_room: free_rows(map, &owned, eligible.len()) > 0,
                surplus: 0.0,
            };
            (number, entry)
        });
        let entries = entries.collect();
        let plan = plan::Plan::new(entries, scale, now);
        self.plans.insert(service.clone(), plan);
    }

    /// Returns whether stripes have stayed free for so long that all targets have sent heartbeats in
    /// the meantime. The targets that lack work then have no room for further rows.
    fn is_free_overdue(&self, service: &item::Name, now: time::Duration) -> bool {
        let since = self.free_since.get(service);
        since.is_some_and(|since| now >= *since + self.config.claim_delay)
    }

    fn update_free_since(&mut self, service: &item::Name, any: bool, now: time::Duration) {
        if any {
            self.free_since.entry(service.clone()).or_insert(now);
        } else {
            self.free_since.swap_remove(service);
        }
    }

    /// Records whether a claim was committed. It must not be called while that is uncertain: the
    /// stripes then stay without renewal until leadership, and with it this registry, ends.
    pub fn finish_claim(&mut self, claim: &range::Assignment, committed: bool) {
        for (number, _) in &claim.stripes {
            let pending = self.pending.get_mut(&claim.service);
            let owner = pending.and_then(|pending| pending.swap_remove(number));
            let owner = owner.flatten();
            let Some(holder) = owner.and_then(|owner| self.holders.get_mut(&owner)) else {
                continue;
            };
            if committed {
                holder.leaving.swap_remove(number);
                holder.released.swap_remove(number);
            }
        }
    }

    /// Renews the lease of a target. It must only be called after a quorum has confirmed the
    /// leadership of this host since the heartbeat arrived. Also returns the stripes that the target
    /// must release from now on, with their tokens.
    pub fn renew(
        &mut self,
        state: &State,
        record: &target::Record,
        now: time::Duration,
    ) -> (Renewal, Vec<(u32, range::Token)>) {
        let expires = now + self.config.expiry();
        let moving = self.select_releases(state, record, now);
        let holder = self.holder(record.number);
        holder.expires = expires;
        let service = &record.target.service;
        let Some(map) = state.ranges.get(service) else {
            return (Renewal::default(), Vec::new());
        };
        let retained_stripes: IndexSet<u32> =
            self.retained_stripes(service, map, record.number).collect();
        let owned = map.owned(record.number);
        let handovers = self.handovers.get(service).into_iter().flatten();
        let handovers = handovers
            .filter(|(stripe, _)| retained_stripes.contains(*stripe))
            .map(|(stripe, handover)| (*stripe, handover.clone()));
        let renewal = Renewal {
            version: state.version,
            without: owned
                .filter(|stripe| !retained_stripes.contains(stripe))
                .collect(),
            handovers: handovers.collect(),
        };
        let moving = moving
            .into_iter()
            .filter_map(|number| Some((number, map.get(number)?.token)));
        (renewal, moving.collect())
    }

    /// Selects the stripes that a target must release, and stops renewing them.
    fn select_releases(
        &mut self,
        state: &State,
        record: &target::Record,
        now: time::Duration,
    ) -> Vec<u32> {
        let Some(map) = state.ranges.get(&record.target.service) else {
            return Vec::new();
        };
        let owned: Vec<u32> = self
            .retained_stripes(&record.target.service, map, record.number)
            .collect();
        let to_release = if record.target.phase != target::Phase::Ready {
            owned
        } else if self.may_move(now) {
            self.refresh_plan(state, &record.target.service, map, now);
            let plan = self.plans.get_mut(&record.target.service);
            plan.map(|plan| plan.shed(record.number, map, owned))
                .unwrap_or_default()
        } else {
            Vec::new()
        };
        let holder = self.holder(record.number);
        let sequence = holder.sequence;
        for stripe in &to_release {
            holder.leaving.insert(*stripe, sequence);
        }
        to_release
    }

    /// Returns whether stripes may move to balance the work. Right after an election they may not,
    /// because a release can't be distinguished from a delayed heartbeat.
    fn may_move(&self, now: time::Duration) -> bool {
        now >= self.elected_at + self.config.expiry()
    }

    fn holder(&mut self, number: target::Number) -> &mut Holder {
        let expires = self.elected_at + self.config.expiry();
        self.holders.entry(number).or_insert_with(|| Holder {
            expires,
            ..Holder::default()
        })
    }

    fn accept_sequence(&mut self, number: target::Number, sequence: u64) -> bool {
        let holder = self.holder(number);
        let newer = holder.sequence < sequence;
        if newer {
            holder.sequence = sequence;
        }
        newer
    }

    /// Removes the handover tokens of stripes that the new owner reports as held. Until then they are
    /// repeated in each renewal.
    fn drop_used_handovers(
        &mut self,
        record: &target::Record,
        map: &range::Map,
        heartbeat: &Digest,
    ) {
        let Some(handovers) = self.handovers.get_mut(&record.target.service) else {
            return;
        };
        handovers.retain(|stripe, _| {
            let held = match &heartbeat.held {
                Held::Owned => true,
                Held::Stripes(held) => held.contains(stripe),
            };
            let owner = map.get(*stripe).and_then(|stripe| stripe.owner);
            !held || owner != Some(record.number)
        });
    }

    /// Returns the stripes that a target owns and should retain.
    fn retained_stripes<'a>(
        &'a self,
        service: &'a item::Name,
        map: &'a range::Map,
        number: target::Number,
    ) -> impl Iterator<Item = u32> + 'a {
        let holder = self.holders.get(&number);
        let pending = self.pending.get(service);
        map.owned(number)
            .filter(move |stripe| holder.is_none_or(|h| !h.leaving.contains_key(stripe)))
            .filter(move |stripe| pending.is_none_or(|pending| !pending.contains_key(stripe)))
    }

    /// Returns the targets of a service that are ready and in contact.
    fn eligible<'a>(
        &self,
        state: &'a State,
        service: &item::Name,
        now: time::Duration,
    ) -> Vec<&'a target::Record> {
        let all = state.targets.iter();
        all.filter(|record| record.target.service == *service)
            .filter(|record| record.target.phase == target::Phase::Ready)
            .filter(|record| {
                let last_contact = self
                    .holders
                    .get(&record.number)
                    .map_or(self.elected_at, |h| h.last_contact);
                now < last_contact + self.config.contact_timeout
            })
            .collect()
    }
}

/// Returns how many further rows a target may have, without a limit if there are few targets.
fn free_rows(map: &range::Map, owned: &[u32], targets: usize) -> u32 {
    if targets <= FEW_TARGETS {
        return u32::MAX;
    }
    MAX_ROWS.saturating_sub(rows(map, owned))
}

/// Returns up to `most` stripes in a scattered order, in which each `group` of neighbours stays
/// together.
fn first_scattered(free: Vec<u32>, most: usize, group: u32) -> Vec<u32> {
    let mut order: Vec<(u64, u32)> = free
        .into_iter()
        .map(|number| (scatter(number / group), number))
        .collect();
    if order.len() > most {
        order.select_nth_unstable(most);
        order.truncate(most);
    }
    order.sort_unstable();
    order.into_iter().map(|(_, number)| number).collect()
}

/// Returns the number of rows for sorted stripes: neighbours with the same token share a row.
fn rows(map: &range::Map, stripes: &[u32]) -> u32 {
    let token = |stripe: u32| map.get(stripe).map(|stripe| stripe.token);
    let breaks = stripes
        .windows(2)
        .filter(|pair| pair[0] + 1 != pair[1] || token(pair[0]) != token(pair[1]));
    breaks.count() as u32 + u32::from(!stripes.is_empty())
}

/// Returns the position of a group in the scattered order, in which neighbours are far apart.
fn scatter(number: u32) -> u64 {
    xxh3::xxh3_64(&number.to_le_bytes())
}
