//! Leases of keys, as the leader of the log keeps them in memory.
//!
//! A target holds keys until its lease ends; each answer to a heartbeat renews it. A stripe may get
//! another owner only when the present one surely holds it no more: it said so, its lease has ended
//! on the slowest clock allowed, or another life of it is known. A new leader does not know the
//! renewals of the one before, so it takes every lease as renewed in the moment of its election.

mod heartbeat;
mod plan;

use std::time;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3;

use crate::site::{State, balance, item, range, target};

pub use heartbeat::{Digest, Grant, Heartbeat, Held, Release, Renewal};

/// How much slower than ours a target's clock may run, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Added to the end of a lease for timers that fire late.
const EXPIRY_MARGIN: time::Duration = time::Duration::from_millis(60);

/// The most rows of one target; a row takes 20 bytes, so that an answer stays under 4 KiB.
const MAX_ROWS: u32 = 190;

/// Up to so many stripes a target's claim needs no merging of neighbours to stay under the limit.
const SCATTERED_STRIPES: u32 = 128;

/// Up to so many targets, each may have more stripes than fit, since neighbours merge.
const FEW_TARGETS: usize = 6;

/// How the book decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// How long a renewal lasts.
    pub duration: time::Duration,
    /// A target that was silent for longer gets no further keys.
    pub contact_timeout: time::Duration,
    /// How long the first sharing out of a service waits for further targets.
    pub initial_delay: time::Duration,
}

impl Config {
    /// Returns the time after a renewal at which its lease has ended on any clock.
    pub fn expiry(&self) -> time::Duration {
        self.duration + self.duration * CLOCK_DRIFT_PERCENT / 100 + EXPIRY_MARGIN
    }
}

/// What the leader knows of one target.
#[derive(Debug, Clone, Default)]
struct Holder {
    last_contact: time::Duration,
    sequence: u64,
    /// Whether this leader has heard it hold all that it owns.
    seen_whole: bool,
    /// When its last renewal has surely ended.
    expires: time::Duration,
    /// Stripes that are no longer renewed, with the heartbeat whose answer left them out.
    leaving: IndexMap<u32, u64>,
    /// Stripes of `leaving` that it said it no longer holds.
    released: IndexSet<u32>,
}

/// The leases that one leader gives.
#[derive(Debug, Clone)]
pub struct Registry {
    config: Config,
    since: time::Duration,
    holders: IndexMap<target::Number, Holder>,
    /// The marks of released stripes, by service.
    handovers: IndexMap<item::Name, IndexMap<u32, String>>,
    /// Stripes that are about to get another owner, with the one they have. They are not renewed.
    changing: IndexMap<item::Name, IndexMap<u32, Option<target::Number>>>,
    balance: balance::Balance,
    plans: IndexMap<item::Name, plan::Plan>,
    /// Since when a service always had stripes that could be claimed.
    free_since: IndexMap<item::Name, time::Duration>,
    /// When the first target of a service was heard.
    first: IndexMap<item::Name, time::Duration>,
}

impl Registry {
    /// Returns the book of a leader elected at `since`.
    pub fn new(config: Config, since: time::Duration) -> Self {
        Self {
            config,
            since,
            holders: IndexMap::new(),
            handovers: IndexMap::new(),
            changing: IndexMap::new(),
            balance: balance::Balance::default(),
            plans: IndexMap::new(),
            free_since: IndexMap::new(),
            first: IndexMap::new(),
        }
    }

    /// Returns the settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Notes that a target of a service was heard, whether or not the service is divided by key.
    pub fn record_contact(
        &mut self,
        number: target::Number,
        service: &item::Name,
        now: time::Duration,
    ) {
        self.first.entry(service.clone()).or_insert(now);
        self.holder(number).last_contact = now;
    }

    /// Takes in what an entry host has measured.
    pub fn record_report(&mut self, report: &balance::Report, now: time::Duration) {
        self.balance.record_report(report, now);
    }

    /// Takes in what a heartbeat says of keys. Returns false for one that is older than another
    /// that was heard, which must be answered without any grant.
    pub fn record_heartbeat(
        &mut self,
        state: &State,
        record: &target::Record,
        heartbeat: &Digest,
        now: time::Duration,
    ) -> bool {
        let Some(map) = state.ranges.get(&record.target.service) else {
            return self.advance(record.number, heartbeat.sequence);
        };
        if !self.advance(record.number, heartbeat.sequence) {
            return false;
        }
        if !heartbeat.released.is_empty() {
            let handovers = self.handovers.entry(record.target.service.clone());
            let handovers = handovers.or_default();
            for (stripes, handover) in &heartbeat.released {
                handovers.extend(stripes.iter().map(|stripe| (*stripe, handover.clone())));
            }
        }
        self.forget_used_handovers(record, map, heartbeat);
        // A late heartbeat from before the target got its keys says that it does not hold them. Only one
        // that has been heard to hold them can have released them since.
        let settled = now >= self.since + self.config.expiry();
        let holder = self.holder(record.number);
        match &heartbeat.held {
            Held::Owned => holder.seen_whole = true,
            Held::Stripes(held) if holder.seen_whole || settled => {
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

    /// Returns busy stripes of a target that should be split before it gives some away.
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
        self.make_plan(state, service, map, now);
        let plan = self.plans.get(service);
        let owned = self.kept_stripes(service, map, record.number);
        let splits = plan.map(|plan| plan.split(record.number, map, owned));
        let splits = splits.unwrap_or_default();
        if !splits.is_empty() {
            // The plan knows the weight of the stripes, not of their keys.
            self.plans.swap_remove(service);
        }
        splits
    }

    /// Returns the stripes that a target should get now, to be agreed on before they are granted.
    /// [`Registry::finish_claim`] must be told when that is over.
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
        let shared_out = state.ranges.get(service);
        let first = self.first.get(service).copied().unwrap_or(now);
        if shared_out.is_none() && now < first + self.config.initial_delay {
            return None;
        }
        let fresh;
        let map = match shared_out {
            Some(map) => map,
            None => {
                let eligible = self.eligible(state, service, now);
                fresh = range::Map::new(range::stripe_count(eligible.len()));
                &fresh
            }
        };
        self.make_plan(state, service, map, now);
        let stripes = self.choose(state, map, record, now)?;
        let count = map.count();
        let changing = self.changing.entry(service.clone()).or_default();
        for (number, _) in &stripes {
            changing.insert(*number, map.get(*number).and_then(|stripe| stripe.owner));
        }
        (!stripes.is_empty()).then(|| range::Assignment {
            service: service.clone(),
            count,
            owner: record.number,
            stripes,
        })
    }

    /// Returns the free stripes that a target takes, with their present tokens.
    fn choose(
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
        let owned: Vec<u32> = self.kept_stripes(service, map, record.number).collect();
        let room = free_rows(map, &owned, targets) as usize;
        let spare = any && self.is_unwanted(service, now);
        let mut taken = Vec::new();
        let mut gained = 0.0;
        for number in first_scattered(free, room, group) {
            let weight = plan.scale().weight(map, number);
            if entry.takes(weight) || (spare && taken.len() < most) {
                entry.work += weight;
                gained += weight;
                let token = map.get(number).map(|stripe| stripe.token);
                taken.push((number, token.unwrap_or_default()));
            }
        }
        if let Some(plan) = self.plans.get_mut(service) {
            plan.take(record.number, gained);
        }
        self.note_free(service, any, now);
        Some(taken)
    }

    /// Returns the stripes that a target may be given.
    fn free(
        &self,
        state: &State,
        map: &range::Map,
        record: &target::Record,
        now: time::Duration,
    ) -> Vec<u32> {
        let changing = self.changing.get(&record.target.service);
        let mut free: Vec<u32> = map.unowned().collect();
        for owner in map.owners() {
            if owner != record.number && self.has_surely_ended(state, owner, now) {
                free.extend(map.owned(owner));
            } else if let Some(holder) = self.holders.get(&owner) {
                // What the target itself has given back is given anew, under another token.
                let released = holder.released.iter().copied();
                free.extend(
                    released.filter(|n| map.get(*n).is_some_and(|s| s.owner == Some(owner))),
                );
            }
        }
        free.retain(|number| changing.is_none_or(|changing| !changing.contains_key(number)));
        free
    }

    /// Tells whether a target surely holds nothing any more.
    fn has_surely_ended(&self, state: &State, number: target::Number, now: time::Duration) -> bool {
        let record = state.targets.get(number);
        if record.is_none_or(|record| record.target.phase == target::Phase::Gone) {
            return true;
        }
        let holder = self.holders.get(&number);
        now >= holder.map_or(self.since + self.config.expiry(), |holder| holder.expires)
    }

    /// Makes the plan of a service anew where it is out of date.
    fn make_plan(
        &mut self,
        state: &State,
        service: &item::Name,
        map: &range::Map,
        now: time::Duration,
    ) {
        let eligible = self.eligible(state, service, now);
        let plan = self.plans.get(service);
        if plan.is_some_and(|plan| plan.fits(&eligible, now)) {
            return;
        }
        let shares = self.balance.shares(&eligible);
        let scale = self.balance.scale(service, map, now);
        let entries = shares.into_iter().map(|(number, share)| {
            let owned: Vec<u32> = self.kept_stripes(service, map, number).collect();
            let measured = owned.iter().map(|stripe| scale.measured(*stripe)).sum();
            let entry = plan::Entry {
                work: scale.sum(map, owned.iter().copied()),
                deviation: scale.deviation(measured),
                quota: scale.total() * share,
                room: free_rows(map, &owned, eligible.len()) > 0,
                surplus: 0.0,
            };
            (number, entry)
        });
        let entries = entries.collect();
        let plan = plan::Plan::new(entries, scale, now);
        self.plans.insert(service.clone(), plan);
    }

    /// Tells whether stripes stay free although all targets have been heard since: those that would
    /// have them by their share have no room for further rows.
    fn is_unwanted(&self, service: &item::Name, now: time::Duration) -> bool {
        let since = self.free_since.get(service);
        since.is_some_and(|since| now >= *since + self.config.initial_delay)
    }

    fn note_free(&mut self, service: &item::Name, any: bool, now: time::Duration) {
        if any {
            self.free_since.entry(service.clone()).or_insert(now);
        } else {
            self.free_since.swap_remove(service);
        }
    }

    /// Notes that a claim was agreed on, or surely was not. Where that is not known, leadership is
    /// lost and so is this book.
    pub fn finish_claim(&mut self, claim: &range::Assignment, agreed: bool) {
        for (number, _) in &claim.stripes {
            let changing = self.changing.get_mut(&claim.service);
            let owner = changing.and_then(|changing| changing.swap_remove(number));
            let owner = owner.flatten();
            let Some(holder) = owner.and_then(|owner| self.holders.get_mut(&owner)) else {
                continue;
            };
            if agreed {
                holder.leaving.swap_remove(number);
                holder.released.swap_remove(number);
            }
        }
    }

    /// Renews what a target may keep. Call it only after a quorum has confirmed, since the
    /// heartbeat came, that this leader leads. Also returns stripes that the target is to give away
    /// from now on, with their tokens.
    pub fn renew(
        &mut self,
        state: &State,
        record: &target::Record,
        now: time::Duration,
    ) -> (Renewal, Vec<(u32, range::Token)>) {
        let expires = now + self.config.expiry();
        let moving = self.shed(state, record, now);
        let holder = self.holder(record.number);
        holder.expires = expires;
        let service = &record.target.service;
        let Some(map) = state.ranges.get(service) else {
            return (Renewal::default(), Vec::new());
        };
        let kept_stripes: IndexSet<u32> = self.kept_stripes(service, map, record.number).collect();
        let owned = map.owned(record.number);
        let handovers = self.handovers.get(service).into_iter().flatten();
        let handovers = handovers
            .filter(|(stripe, _)| kept_stripes.contains(*stripe))
            .map(|(stripe, handover)| (*stripe, handover.clone()));
        let renewal = Renewal {
            version: state.version,
            without: owned
                .filter(|stripe| !kept_stripes.contains(stripe))
                .collect(),
            handovers: handovers.collect(),
        };
        let moving = moving
            .into_iter()
            .filter_map(|number| Some((number, map.get(number)?.token)));
        (renewal, moving.collect())
    }

    /// Decides which stripes a target is to give away, and stops renewing them.
    fn shed(&mut self, state: &State, record: &target::Record, now: time::Duration) -> Vec<u32> {
        let Some(map) = state.ranges.get(&record.target.service) else {
            return Vec::new();
        };
        let owned: Vec<u32> = self
            .kept_stripes(&record.target.service, map, record.number)
            .collect();
        let given = if record.target.phase != target::Phase::Ready {
            owned
        } else if self.may_move(now) {
            self.make_plan(state, &record.target.service, map, now);
            let plan = self.plans.get_mut(&record.target.service);
            plan.map(|plan| plan.give(record.number, map, owned))
                .unwrap_or_default()
        } else {
            Vec::new()
        };
        let holder = self.holder(record.number);
        let sequence = holder.sequence;
        for stripe in &given {
            holder.leaving.insert(*stripe, sequence);
        }
        given
    }

    /// Right after an election a release can't be told from an old heartbeat, so nothing is moved.
    fn may_move(&self, now: time::Duration) -> bool {
        now >= self.since + self.config.expiry()
    }

    fn holder(&mut self, number: target::Number) -> &mut Holder {
        let expires = self.since + self.config.expiry();
        self.holders.entry(number).or_insert_with(|| Holder {
            expires,
            ..Holder::default()
        })
    }

    fn advance(&mut self, number: target::Number, sequence: u64) -> bool {
        let holder = self.holder(number);
        let newer = holder.sequence < sequence;
        if newer {
            holder.sequence = sequence;
        }
        newer
    }

    /// A handover is repeated until the new owner is seen to hold the stripe.
    fn forget_used_handovers(
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

    /// Returns the stripes that a target owns and is to keep.
    fn kept_stripes<'a>(
        &'a self,
        service: &'a item::Name,
        map: &'a range::Map,
        number: target::Number,
    ) -> impl Iterator<Item = u32> + 'a {
        let holder = self.holders.get(&number);
        let changing = self.changing.get(service);
        map.owned(number)
            .filter(move |stripe| holder.is_none_or(|h| !h.leaving.contains_key(stripe)))
            .filter(move |stripe| changing.is_none_or(|c| !c.contains_key(stripe)))
    }

    /// Returns the targets of a service that may get keys.
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
                    .map_or(self.since, |h| h.last_contact);
                now < last_contact + self.config.contact_timeout
            })
            .collect()
    }
}

/// Returns how many further rows a target may have; with few targets rows don't limit it.
fn free_rows(map: &range::Map, owned: &[u32], targets: usize) -> u32 {
    if targets <= FEW_TARGETS {
        return u32::MAX;
    }
    MAX_ROWS.saturating_sub(rows(map, owned))
}

/// Returns the first stripes in an order in which neighbours, or groups of neighbours, are far apart.
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

/// Returns how many rows some stripes, in order, take: neighbours under one token share a row.
fn rows(map: &range::Map, stripes: &[u32]) -> u32 {
    let token = |stripe: u32| map.get(stripe).map(|stripe| stripe.token);
    let breaks = stripes
        .windows(2)
        .filter(|pair| pair[0] + 1 != pair[1] || token(pair[0]) != token(pair[1]));
    breaks.count() as u32 + u32::from(!stripes.is_empty())
}

/// Orders stripes so that neighbours are far apart.
fn scatter(number: u32) -> u64 {
    xxh3::xxh3_64(&number.to_le_bytes())
}
