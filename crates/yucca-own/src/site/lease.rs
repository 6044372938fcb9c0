//! Leases of keys, as the leader of the log keeps them in memory.
//!
//! A target holds keys until its lease ends; each answer to a heartbeat renews it. A stripe may get
//! another owner only when the present one surely holds it no more: it said so, its lease has ended
//! on the slowest clock allowed, or another life of it is known. A new leader does not know the
//! renewals of the one before, so it takes every lease as renewed in the moment of its election.

mod beat;

use std::time;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3;

use crate::site::{State, balance, item, range, target};

pub use beat::{Beat, Digest, Grant, Held, Release, Renewal};

/// How much slower than ours a target's clock may run, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Added to the end of a lease for timers that fire late.
const EXPIRY_MARGIN: time::Duration = time::Duration::from_millis(60);

/// The most rows of one target; a row takes 20 bytes, so that an answer stays under 4 KiB.
const MAX_ROWS: u32 = 190;

/// Up to so many stripes a target's claim needs no merging of neighbours to stay under the limit.
const SCATTERED_STRIPES: u32 = 128;

/// A target gives stripes away when its work exceeds its share by this factor.
const SURPLUS_FACTOR: f64 = 1.25;

/// A target that has less than this part of its share gets stripes from all that exceed theirs.
const POOR_FACTOR: f64 = 0.6;

/// Of its surplus, a target gives this part away at one heartbeat.
const SHED_PART: f64 = 0.7;

/// Up to so many targets, each may have more stripes than fit, since neighbours merge.
const FEW_TARGETS: usize = 6;

/// How the book decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// How long a renewal lasts.
    pub hold: time::Duration,
    /// A target that was silent for longer gets no further keys.
    pub silence: time::Duration,
    /// How long the first sharing out of a service waits for further targets.
    pub settle: time::Duration,
}

impl Config {
    /// Returns the time after a renewal at which its lease has ended on any clock.
    pub fn expiry(&self) -> time::Duration {
        self.hold + self.hold * CLOCK_DRIFT_PERCENT / 100 + EXPIRY_MARGIN
    }
}

/// What the leader knows of one target.
#[derive(Debug, Clone, Default)]
struct Holder {
    heard: time::Duration,
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
pub struct Book {
    config: Config,
    since: time::Duration,
    holders: IndexMap<target::Number, Holder>,
    handovers: IndexMap<(item::Name, u32), String>,
    /// Stripes that are about to get another owner, with the one they have. They are not renewed.
    changing: IndexMap<(item::Name, u32), Option<target::Number>>,
    balance: balance::Balance,
    /// Since when a service always had stripes that could be claimed.
    free_since: IndexMap<item::Name, time::Duration>,
    /// When the first target of a service was heard.
    first: IndexMap<item::Name, time::Duration>,
}

impl Book {
    /// Returns the book of a leader elected at `since`.
    pub fn new(config: Config, since: time::Duration) -> Self {
        Self {
            config,
            since,
            holders: IndexMap::new(),
            handovers: IndexMap::new(),
            changing: IndexMap::new(),
            balance: balance::Balance::default(),
            free_since: IndexMap::new(),
            first: IndexMap::new(),
        }
    }

    /// Returns the settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Notes that a target of a service was heard, whether or not the service is divided by key.
    pub fn note(&mut self, number: target::Number, service: &item::Name, now: time::Duration) {
        self.first.entry(service.clone()).or_insert(now);
        self.holder(number).heard = now;
    }

    /// Takes in what an entry host has measured.
    pub fn report(&mut self, report: &balance::Report, now: time::Duration) {
        self.balance.note(report, now);
    }

    /// Takes in what a heartbeat says of keys. Returns false for one that is older than another
    /// that was heard, which must be answered without any grant.
    pub fn hear(
        &mut self,
        state: &State,
        kept: &target::Kept,
        beat: &Digest,
        now: time::Duration,
    ) -> bool {
        let Some(map) = state.ranges.get(&kept.target.service) else {
            return self.advance(kept.number, beat.sequence);
        };
        if !self.advance(kept.number, beat.sequence) {
            return false;
        }
        for (stripes, handover) in &beat.released {
            for stripe in stripes {
                let key = (kept.target.service.clone(), *stripe);
                self.handovers.insert(key, handover.clone());
            }
        }
        self.forget_used_handovers(kept, map, beat);
        // A late heartbeat from before the target got its keys says that it does not hold them. Only one
        // that has been heard to hold them can have released them since.
        let settled = now >= self.since + self.config.expiry();
        let holder = self.holder(kept.number);
        match &beat.held {
            Held::Owned => holder.seen_whole = true,
            Held::Stripes(held) if holder.seen_whole || settled => {
                for (stripe, since) in &holder.leaving {
                    if *since < beat.sequence && !held.contains(stripe) {
                        holder.released.insert(*stripe);
                    }
                }
            }
            Held::Stripes(_) => {}
        }
        true
    }

    /// Returns the stripes that a target should get now, to be agreed on before they are granted.
    /// [`Book::settle`] must be told when that is over.
    pub fn claim(
        &mut self,
        state: &State,
        kept: &target::Kept,
        now: time::Duration,
    ) -> Option<range::Assignment> {
        let service = &kept.target.service;
        if kept.target.phase != target::Phase::Ready {
            return None;
        }
        let eligible = self.eligible(state, service, now);
        let shared_out = state.ranges.get(service);
        let first = self.first.get(service).copied().unwrap_or(now);
        if shared_out.is_none() && now < first + self.config.settle {
            return None;
        }
        let fresh;
        let map = match shared_out {
            Some(map) => map,
            None => {
                fresh = range::Map::new(range::stripe_count(eligible.len()));
                &fresh
            }
        };
        let shares = self.balance.shares(&eligible);
        let share = shares.get(&kept.number).copied().unwrap_or(0.0);
        let scale = self.balance.scale(service, map);
        let quota = scale.total() * share;
        let owned: Vec<u32> = self.kept_stripes(service, map, kept.number).collect();
        let mut work = scale.sum(owned.iter().copied());
        if work >= quota && !self.free_since.contains_key(service) {
            return None;
        }
        let free = map
            .iter()
            .filter(|(number, _)| !self.changing.contains_key(&(service.clone(), *number)))
            .filter(|(number, stripe)| self.is_free(state, *number, stripe, kept.number, now));
        let mut free: Vec<(u32, range::Token)> = free
            .map(|(number, stripe)| (number, stripe.token))
            .collect();
        let expected = (f64::from(map.count()) * share).ceil() as u32;
        let group = expected.div_ceil(SCATTERED_STRIPES).next_power_of_two();
        free.sort_by_key(|(number, _)| (scatter(*number / group), *number));
        let any = !free.is_empty();
        let room = if eligible.len() > FEW_TARGETS {
            MAX_ROWS.saturating_sub(rows(map, &owned))
        } else {
            range::MAX_STRIPES
        };
        let most = free.len().div_ceil(eligible.len().max(1));
        free.truncate(room as usize);
        let spare = any && self.is_unwanted(service, now);
        let mut taken = 0;
        for (number, _) in &free {
            if work >= quota && !(spare && taken < most) {
                break;
            }
            work += scale.weight(*number);
            taken += 1;
        }
        free.truncate(taken);
        let count = map.count();
        self.note_free(service, any, now);
        let owners: Vec<Option<target::Number>> = free
            .iter()
            .map(|(number, _)| map.get(*number).and_then(|stripe| stripe.owner))
            .collect();
        for ((number, _), owner) in free.iter().zip(owners) {
            self.changing.insert((service.clone(), *number), owner);
        }
        (!free.is_empty()).then(|| range::Assignment {
            service: service.clone(),
            count,
            owner: kept.number,
            stripes: free,
        })
    }

    /// Tells whether stripes stay free although all targets have been heard since: those that would
    /// have them by their share have no room for further rows.
    fn is_unwanted(&self, service: &item::Name, now: time::Duration) -> bool {
        let since = self.free_since.get(service);
        since.is_some_and(|since| now >= *since + self.config.settle)
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
    pub fn settle(&mut self, claim: &range::Assignment, agreed: bool) {
        for (number, _) in &claim.stripes {
            let key = (claim.service.clone(), *number);
            let owner = self.changing.swap_remove(&key).flatten();
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
        kept: &target::Kept,
        now: time::Duration,
    ) -> (Renewal, Vec<(u32, range::Token)>) {
        let expires = now + self.config.expiry();
        let moving = self.shed(state, kept, now);
        let holder = self.holder(kept.number);
        holder.expires = expires;
        let service = &kept.target.service;
        let Some(map) = state.ranges.get(service) else {
            return (Renewal::default(), Vec::new());
        };
        let kept_stripes: IndexSet<u32> = self.kept_stripes(service, map, kept.number).collect();
        let owned = map.owned(kept.number);
        let handovers = kept_stripes.iter().filter_map(|stripe| {
            let handover = self.handovers.get(&(service.clone(), *stripe))?;
            Some((*stripe, handover.clone()))
        });
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
    fn shed(&mut self, state: &State, kept: &target::Kept, now: time::Duration) -> Vec<u32> {
        let Some(map) = state.ranges.get(&kept.target.service) else {
            return Vec::new();
        };
        let owned: Vec<u32> = self
            .kept_stripes(&kept.target.service, map, kept.number)
            .collect();
        let given = if kept.target.phase == target::Phase::Ready {
            self.surplus(state, map, kept, owned, now)
        } else {
            owned
        };
        let holder = self.holder(kept.number);
        let sequence = holder.sequence;
        for stripe in &given {
            holder.leaving.insert(*stripe, sequence);
        }
        given
    }

    /// Returns the stripes that a target has too many, where another one lacks some.
    fn surplus(
        &self,
        state: &State,
        map: &range::Map,
        kept: &target::Kept,
        mut owned: Vec<u32>,
        now: time::Duration,
    ) -> Vec<u32> {
        // Right after an election a release can't be told from an old heartbeat.
        if now < self.since + self.config.expiry() {
            return Vec::new();
        }
        let service = &kept.target.service;
        let eligible = self.eligible(state, service, now);
        let shares = self.balance.shares(&eligible);
        let scale = self.balance.scale(service, map);
        let share = |number| shares.get(&number).copied().unwrap_or(0.0);
        let quota = scale.total() * share(kept.number);
        let work = scale.sum(owned.iter().copied());
        if work <= quota {
            return Vec::new();
        }
        let poorest = eligible
            .iter()
            .filter(|other| other.number != kept.number)
            .filter(|other| has_room(map, other.number, eligible.len()))
            .map(|other| {
                let has = scale.sum(map.owned(other.number));
                has / (scale.total() * share(other.number))
            })
            .fold(f64::INFINITY, f64::min);
        let worth_it = work > quota * SURPLUS_FACTOR && poorest < 1.0;
        if !worth_it && poorest >= POOR_FACTOR {
            return Vec::new();
        }
        let mut surplus = (work - quota) * SHED_PART;
        // The heaviest first, so that few change hands; one that is too heavy stays.
        let weight = |stripe: &u32| scale.weight(*stripe);
        owned.sort_by(|one, other| weight(other).total_cmp(&weight(one)));
        owned.retain(|stripe| {
            let fits = weight(stripe) <= surplus;
            if fits {
                surplus -= weight(stripe);
            }
            fits
        });
        owned
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
    fn forget_used_handovers(&mut self, kept: &target::Kept, map: &range::Map, beat: &Digest) {
        let Held::Stripes(held) = &beat.held else {
            let service = &kept.target.service;
            self.handovers.retain(|(of, stripe), _| {
                let owner = map.get(*stripe).and_then(|stripe| stripe.owner);
                of != service || owner != Some(kept.number)
            });
            return;
        };
        for number in held {
            if map
                .get(*number)
                .is_some_and(|s| s.owner == Some(kept.number))
            {
                self.handovers
                    .swap_remove(&(kept.target.service.clone(), *number));
            }
        }
    }

    /// Returns the stripes that a target owns and is to keep.
    fn kept_stripes<'a>(
        &'a self,
        service: &'a item::Name,
        map: &'a range::Map,
        number: target::Number,
    ) -> impl Iterator<Item = u32> + 'a {
        let holder = self.holders.get(&number);
        map.owned(number)
            .filter(move |stripe| holder.is_none_or(|h| !h.leaving.contains_key(stripe)))
            .filter(move |stripe| {
                self.changing.is_empty() || !self.changing.contains_key(&(service.clone(), *stripe))
            })
    }

    /// Tells whether a stripe may be given to a target that does not own it.
    fn is_free(
        &self,
        state: &State,
        number: u32,
        stripe: &range::Stripe,
        to: target::Number,
        now: time::Duration,
    ) -> bool {
        let Some(owner) = stripe.owner else {
            return true;
        };
        let ended = state
            .targets
            .get(owner)
            .is_none_or(|kept| kept.target.phase == target::Phase::Gone);
        if ended {
            return true;
        }
        match self.holders.get(&owner) {
            // What the target itself has given back is given anew, under another token.
            Some(holder) if owner == to => holder.released.contains(&number),
            None if owner == to => false,
            Some(holder) => now >= holder.expires || holder.released.contains(&number),
            None => now >= self.since + self.config.expiry(),
        }
    }

    /// Returns the targets of a service that may get keys.
    fn eligible<'a>(
        &self,
        state: &'a State,
        service: &item::Name,
        now: time::Duration,
    ) -> Vec<&'a target::Kept> {
        let all = state.targets.iter();
        all.filter(|kept| kept.target.service == *service)
            .filter(|kept| kept.target.phase == target::Phase::Ready)
            .filter(|kept| {
                let heard = self
                    .holders
                    .get(&kept.number)
                    .map_or(self.since, |h| h.heard);
                now < heard + self.config.silence
            })
            .collect()
    }
}

/// Tells whether a target has room for further rows.
fn has_room(map: &range::Map, number: target::Number, targets: usize) -> bool {
    let owned: Vec<u32> = map.owned(number).collect();
    targets <= FEW_TARGETS || rows(map, &owned) < MAX_ROWS
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
