//! The requests of one service that wait at this host, and the targets that they may go to.

use std::time;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3;
use yucca_own::site::{balance, delta, item, range, target as site};
use yucca_wire::id;

use crate::estimate;
use crate::shared::target;

/// How many requests a target may have beyond its slots. They hide the way to it and back.
const DEPTH: u32 = 1;

/// How long a stripe waits after its owner said that it does not hold it; the wait doubles each time.
const DENIED_PAUSE: time::Duration = time::Duration::from_millis(60);

/// How long requests wait for the next owner of a stripe that is being moved: two announcements.
const MOVE_PATIENCE: time::Duration = time::Duration::from_millis(2_000);

/// How often the wait doubles at the most.
const DENIED_DOUBLINGS: u32 = 3;

/// How long it is remembered that a stripe was denied before.
const DENIED_MEMORY: time::Duration = time::Duration::from_secs(1);

/// The part of the time left after which a refused caller should return.
const RETURN_SHARE: u32 = 3;

/// The part of the time left after which a caller should return to a target that was full.
const FULL_RETURN_SHARE: u32 = 4;

/// When a caller should return whose request was turned away by a target with slots free: a way there
/// and back, so that it can still be in time.
const FREE_RETURN: time::Duration = time::Duration::from_millis(25);

/// What can't be in time when it comes waits for this part of the time that it has.
const WAIT_DIVISOR: u32 = 4;

/// A request that waits for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its number at this host.
    pub number: u64,
    /// The key, where the caller gave one.
    pub key: Option<u16>,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// When it came.
    pub arrived: time::Duration,
    /// When an answer stops being worth the most.
    pub objective_at: time::Duration,
    /// When the caller gives up, or may be kept waiting no longer.
    pub limit_at: time::Duration,
    /// Targets that it was sent to before.
    pub tried: Vec<site::Number>,
}

/// What is to become of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send it.
    Send {
        /// The request.
        number: u64,
        /// To this target.
        target: site::Number,
        /// Under this token, where the service is divided by key.
        token: Option<range::Token>,
    },
    /// Refuse it; it has not run.
    Refuse {
        /// The request.
        number: u64,
        /// When the caller should return.
        retry_after: time::Duration,
    },
}

/// What became of a request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered after this time.
    Answered(time::Duration),
    /// The target said that it has not run it, for want of room.
    Shed,
    /// The target said that it does not hold the key.
    Denied {
        /// The key.
        key: u16,
        /// The token under which it was sent.
        token: range::Token,
    },
    /// The target could not be reached, fell silent or broke off.
    Failed,
    /// The request was given up by its caller or for its deadline.
    Dropped,
}

/// A stripe that its owner denied to hold.
#[derive(Debug, Clone, Copy)]
struct Denial {
    token: range::Token,
    times: u32,
    until: time::Duration,
}

/// One service at this host.
#[derive(Debug, Clone, Default)]
pub struct Service {
    targets: IndexMap<site::Number, target::Target>,
    /// Whether the targets divide the keys among themselves.
    keyed: bool,
    /// The owners of the keys, once they are shared out.
    map: Option<range::Map>,
    /// Stripes that their owner denied to hold.
    denied: IndexMap<u32, Denial>,
    waiting: IndexMap<u64, Request>,
    /// The service times of all targets together.
    times: estimate::Estimate,
    /// Requests by key since the last report.
    demand: IndexMap<u16, u32>,
}

impl Service {
    /// Takes in the targets; those that are not named are forgotten.
    pub fn set_targets(&mut self, facts: &[target::Facts]) {
        let named: IndexSet<site::Number> = facts.iter().map(|fact| fact.number).collect();
        self.targets.retain(|number, _| named.contains(number));
        for fact in facts {
            let known = self.targets.entry(fact.number);
            known
                .and_modify(|target| target.facts = *fact)
                .or_insert_with(|| target::Target::new(*fact));
        }
    }

    /// Takes in whether the service is divided by key.
    pub fn set_keyed(&mut self, keyed: bool) {
        self.keyed = keyed;
    }

    /// Takes in owners of keys that have changed.
    pub fn update_owners(&mut self, version: id::Version, ranges: &delta::Ranges) {
        let map = self
            .map
            .get_or_insert_with(|| range::Map::new(ranges.count));
        map.apply_changes(version, &ranges.owners);
    }

    /// Takes in that the owner of some stripes is about to release them. Requests for them wait until
    /// they have another token, or for so long that the news must have been lost.
    pub fn move_stripes(&mut self, stripes: &[(u32, range::Token)], now: time::Duration) {
        for (number, token) in stripes {
            let denial = Denial {
                token: *token,
                times: DENIED_DOUBLINGS,
                until: now + MOVE_PATIENCE,
            };
            self.denied.insert(*number, denial);
        }
    }

    /// Takes in how many requests other hosts of this domain have at the targets. Keys are sent to
    /// their owner from every domain alike, so hosts elsewhere are presumed to have `far` times as
    /// many there as those of this domain have had on average lately; what they have just now is
    /// independent of that. Other services are served near where there is room.
    pub fn set_others(
        &mut self,
        loads: &IndexMap<site::Number, u32>,
        far: f64,
        now: time::Duration,
    ) {
        let far = if self.keyed { far } else { 0.0 };
        for (number, target) in &mut self.targets {
            let near = loads.get(number).copied().unwrap_or(0);
            target.note_others(near, far, now);
        }
    }

    /// Takes in what another host of this domain measured of a target. Load pattern: one of a hundred
    /// hosts gets two answers of a target in a minute, and would never learn which are slow.
    pub fn add_measurement(&mut self, number: site::Number, measure: target::Measurement) {
        if let Some(target) = self.targets.get_mut(&number) {
            target.add_measurement(measure);
            if let Some(mean) = measure.mean() {
                self.times.batch(measure.count, mean);
            }
        }
    }

    /// Returns what was measured since the last call, for the other hosts of this domain.
    pub fn take_unshared(&mut self) -> Vec<(site::Number, target::Measurement)> {
        let targets = self.targets.iter_mut();
        let measures = targets.map(|(number, target)| (*number, target.take_unshared()));
        measures.filter(|(_, measure)| measure.count > 0).collect()
    }

    /// Returns the service time of a target of which nothing is known.
    fn typical(&self) -> time::Duration {
        self.times.mean_or(target::PRESUMED_TIME)
    }

    /// Returns the requests of this host at its targets.
    pub fn loads(&self) -> impl Iterator<Item = (site::Number, u32)> + '_ {
        let busy = self.targets.iter().filter(|(_, target)| target.own > 0);
        busy.map(|(number, target)| (*number, target.own))
    }

    /// Returns what is known of a target.
    pub fn target(&self, number: site::Number) -> Option<&target::Target> {
        self.targets.get(&number)
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes in a request.
    pub fn arrive(&mut self, request: Request, now: time::Duration) -> Vec<Decision> {
        if let (Some(key), true) = (request.key, self.keyed) {
            *self.demand.entry(key).or_default() += 1;
        }
        self.waiting.insert(request.number, request);
        self.dispatch(now)
    }

    /// Adds what was measured since the last call to a report. Only the owners of keys are balanced
    /// by it, so other services report nothing.
    pub fn report(&mut self, name: &item::Name, report: &mut balance::Report) {
        if !self.keyed {
            return;
        }
        let demand: Vec<(u16, u32)> = self.demand.drain(..).collect();
        if !demand.is_empty() {
            report.demand.push((name.clone(), demand));
        }
        for (number, target) in &mut self.targets {
            let measure = target.take_measured();
            if measure.count > 0 {
                let micros = u64::try_from(measure.time.as_micros()).unwrap_or(u64::MAX);
                report.times.push((*number, measure.count, micros));
            }
        }
    }

    /// Forgets a request that waits, whose caller has gone.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.shift_remove(&number);
    }

    /// Returns when a caller should return whose request the target did not run, while there is no
    /// budget to send it again from here. Load pattern: faulty targets refuse half of what they get
    /// with slots free. The caller's own next try is as good as ours, and only soon it is in time.
    pub fn retry_after(&self, number: site::Number, left: time::Duration) -> time::Duration {
        let target = self.targets.get(&number);
        if target.is_some_and(target::Target::has_shed_with_room) {
            return FREE_RETURN.min(left / RETURN_SHARE);
        }
        left / FULL_RETURN_SHARE
    }

    /// Takes in that a request was not sent after all.
    pub fn cancel_send(&mut self, number: site::Number) {
        if let Some(target) = self.targets.get_mut(&number) {
            target.own = target.own.saturating_sub(1);
        }
    }

    /// Takes in what became of a request that was sent.
    pub fn finish(
        &mut self,
        number: site::Number,
        outcome: Outcome,
        now: time::Duration,
    ) -> Vec<Decision> {
        let typical = self.typical();
        if let Some(target) = self.targets.get_mut(&number) {
            match outcome {
                Outcome::Answered(took) => {
                    if target.answered(took) {
                        self.times.sample(took);
                    }
                }
                Outcome::Failed => target.failed(now),
                Outcome::Shed => target.refused(typical, now),
                Outcome::Denied { .. } => target.denied(typical, now),
                Outcome::Dropped => {}
            }
            target.own = target.own.saturating_sub(1);
        }
        if let (Outcome::Denied { key, token }, Some(map)) = (outcome, &self.map) {
            let stripe = map.stripe_of(key);
            self.deny(stripe, token, now);
        }
        self.dispatch(now)
    }

    fn deny(&mut self, stripe: u32, token: range::Token, now: time::Duration) {
        let known = self.denied.get(&stripe);
        let known = known.filter(|known| known.token == token);
        if known.is_some_and(|known| known.until > now) {
            return;
        }
        let times = known.map_or(0, |known| known.times + 1);
        let pause = DENIED_PAUSE * 2u32.pow(times.min(DENIED_DOUBLINGS));
        let denial = Denial {
            token,
            times,
            until: now + pause,
        };
        self.denied.insert(stripe, denial);
    }

    /// Returns the time at which [`Service::dispatch`] has something to do by itself.
    pub fn next_wake(&self, now: time::Duration) -> Option<time::Duration> {
        let limits = self
            .waiting
            .values()
            .map(|request| self.give_up_at(request));
        let denied = self.denied.values().map(|denial| denial.until);
        let paused = self.targets.values().map(|target| target.paused_until);
        let waits = !self.waiting.is_empty();
        let all = limits.chain(denied).chain(paused);
        all.filter(|at| waits && *at > now).min()
    }

    /// Sends what can be sent and refuses what can't be served any more.
    pub fn dispatch(&mut self, now: time::Duration) -> Vec<Decision> {
        self.denied
            .retain(|_, denial| denial.until + DENIED_MEMORY > now);
        let mut order: Vec<(bool, u8, time::Duration, u64)> = self
            .waiting
            .values()
            .map(|request| {
                let late = request.objective_at <= now;
                (late, request.priority, request.objective_at, request.number)
            })
            .collect();
        order.sort_unstable();
        let mut decisions = Vec::new();
        // Owners of keys for which a more urgent request waits.
        let mut ahead: IndexSet<site::Number> = IndexSet::new();
        for (_, _, _, number) in order {
            let Some(request) = self.waiting.get(&number) else {
                continue;
            };
            if let Some((target, token)) = self.place(request, now) {
                self.waiting.shift_remove(&number);
                if let Some(target) = self.targets.get_mut(&target) {
                    target.own += 1;
                }
                decisions.push(Decision::Send {
                    number,
                    target,
                    token,
                });
            } else if self.give_up_at(request) <= now || self.is_hopeless(request, &ahead) {
                let left = request.limit_at.saturating_sub(now);
                self.waiting.shift_remove(&number);
                decisions.push(Decision::Refuse {
                    number,
                    retry_after: left / RETURN_SHARE,
                });
            } else if let Some(owner) = self.owner_of(request) {
                ahead.insert(owner.facts.number);
            }
        }
        decisions
    }

    /// Returns when a request that waits is refused. Load pattern: at a crest more work comes than
    /// targets can do, for seconds. What can't be in time any more then waits in vain, since what
    /// can still be goes first; its caller does better to return after the crest. A key that
    /// changes hands is served again within a heartbeat, so requests for it wait as long as they
    /// can.
    fn give_up_at(&self, request: &Request) -> time::Duration {
        let typical = self.typical();
        let times = self.targets.values().map(|target| target.time(typical));
        let time = times.min().unwrap_or_default();
        let latest = request.limit_at.saturating_sub(time);
        if self.is_between_owners(request) {
            return latest;
        }
        let in_time = request.objective_at.saturating_sub(time);
        let left = request.limit_at.saturating_sub(request.arrived);
        let patience = request.arrived + left / WAIT_DIVISOR;
        in_time.max(patience).min(latest)
    }

    /// Tells whether it is known that a request can't be served before it is given up.
    ///
    /// Load patterns: a domain is cut off, and half of the keys have owners elsewhere. Or one key gets
    /// ten times what its owner can do: its slots are busy all the time, and each host has requests
    /// that wait for them. One of them is enough to keep the slots busy; further ones wait in vain.
    fn is_hopeless(&self, request: &Request, ahead: &IndexSet<site::Number>) -> bool {
        let Some(owner) = self.owner_of(request) else {
            return false;
        };
        let full = owner.is_busy() && ahead.contains(&owner.facts.number);
        full || owner.is_out_of_reach(self.give_up_at(request))
    }

    /// Returns the target that owns a request's key.
    fn owner_of(&self, request: &Request) -> Option<&target::Target> {
        let (true, Some(key), Some(map)) = (self.keyed, request.key, &self.map) else {
            return None;
        };
        let stripe = map.get(map.stripe_of(key))?;
        self.targets.get(&stripe.owner?)
    }

    /// Tells whether a request waits for its key to have an owner.
    fn is_between_owners(&self, request: &Request) -> bool {
        let (true, Some(key)) = (self.keyed, request.key) else {
            return false;
        };
        let Some(map) = &self.map else {
            return true;
        };
        let number = map.stripe_of(key);
        let stripe = map.get(number).copied().unwrap_or_default();
        let denied = self.denied.get(&number);
        denied.is_some_and(|denial| denial.token == stripe.token)
            || stripe
                .owner
                .is_none_or(|owner| !self.targets.contains_key(&owner))
    }

    /// Returns the target that a request should go to now.
    fn place(
        &self,
        request: &Request,
        now: time::Duration,
    ) -> Option<(site::Number, Option<range::Token>)> {
        if !self.keyed {
            return self.best(request, now).map(|number| (number, None));
        }
        self.owner(self.map.as_ref()?, request.key?, now)
    }

    fn owner(
        &self,
        map: &range::Map,
        key: u16,
        now: time::Duration,
    ) -> Option<(site::Number, Option<range::Token>)> {
        let number = map.stripe_of(key);
        let stripe = map.get(number)?;
        let denied = self.denied.get(&number);
        if denied.is_some_and(|denial| denial.token == stripe.token && denial.until > now) {
            return None;
        }
        let owner = stripe.owner?;
        let target = self.targets.get(&owner)?;
        let room = target.load() < target.facts.slots + DEPTH;
        (room && target.is_usable(now)).then_some((owner, Some(stripe.token)))
    }

    /// Near targets with a free slot go first, then those where it would queue and still be in time,
    /// then far ones; at last those where it would be late. Among equals two are drawn and the one
    /// that answers sooner is taken, so that hosts which know the same do not all choose the same
    /// target.
    fn best(&self, request: &Request, now: time::Duration) -> Option<site::Number> {
        let has_room = |target: &&target::Target| {
            target.load() < target.facts.slots + DEPTH
                && !request.tried.contains(&target.facts.number)
        };
        let targets = || self.targets.values().filter(has_room);
        let usable: Vec<&target::Target> = targets().filter(|t| t.is_usable(now)).collect();
        if usable.is_empty() {
            return self.least_suspect(targets(), now);
        }
        let typical = self.typical();
        let rank = |target: &&target::Target| {
            let queued = target.load() >= target.facts.slots;
            let late = queued && now + target.expected(typical) > request.objective_at;
            (late, !target.facts.near, queued)
        };
        let best = usable.iter().map(rank).min()?;
        let equal: Vec<&&target::Target> = usable.iter().filter(|t| rank(t) == best).collect();
        let drawn = [0, 1].map(|draw| equal[draw_index(request.number, draw, equal.len())]);
        let chosen = drawn
            .into_iter()
            .min_by_key(|target| target.expected(typical));
        chosen.map(|target| target.facts.number)
    }
}

impl Service {
    /// Load pattern: each target has failed once, as when a fault of this host or of all targets is
    /// passing. Paused all together, none would be tried and all work be refused.
    fn least_suspect<'a>(
        &self,
        targets: impl Iterator<Item = &'a target::Target>,
        now: time::Duration,
    ) -> Option<site::Number> {
        if self.targets.values().any(|target| target.is_usable(now)) {
            return None;
        }
        let suspects = targets.filter(|target| target.is_suspect());
        let first = suspects.min_by_key(|target| target.paused_until);
        first.map(|target| target.facts.number)
    }
}

/// Draws an index below `count`, from the request's number alone so that equal inputs give equal
/// decisions.
fn draw_index(number: u64, draw: u64, count: usize) -> usize {
    let mixed = xxh3::xxh3_64_with_seed(&number.to_le_bytes(), draw);
    (mixed % count.max(1) as u64) as usize
}
