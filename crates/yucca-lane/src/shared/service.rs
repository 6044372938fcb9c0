//! Waiting requests of one service at this host, and the targets of the service.

use std::time;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3;
use yucca_own::site::{balance, delta, item, range, target as site};
use yucca_wire::{id, unit};

use crate::estimate;
use crate::shared::{cell, limit, survey, target};

/// Maximum number of requests at a target beyond its slots. They hide the network round trip.
const QUEUE_DEPTH: u32 = 1;

/// First pause for a stripe after its owner answered that it does not hold it. The pause doubles
/// with each further such answer.
const NOT_OWNER_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Maximum time that requests wait for the next owner of a moving stripe: twice the interval between
/// heartbeats of a target.
const MOVE_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// Maximum number of times that the pause doubles.
const MAX_DENIAL_DOUBLINGS: u32 = 3;

/// Time for which a denial is stored after its pause, so that the next denial of the stripe doubles
/// the pause.
const DENIAL_MEMORY: time::Duration = time::Duration::from_secs(1);

/// Weight of a new answer in the time that targets outside this host's group are expected to take.
const OUTSIDE_WEIGHT: f64 = 0.5;

/// Time constant with which that time returns to the usual one while there are no answers.
const OUTSIDE_WINDOW: time::Duration = time::Duration::from_millis(500);

/// Number of service times that a refusal by such a target counts as.
const OUTSIDE_REFUSAL_TIMES: f64 = 5.0;

/// Minimum number of targets that a group of hosts prefers. With fewer, one that is slow or lost
/// would make up too much of them.
const MIN_CELL_TARGETS: usize = 4;

/// Divisor of the remaining time, which gives the time after which a refused caller should retry.
const RETURN_DIVISOR: u32 = 3;

/// The same divisor for a caller whose target was full.
const FULL_RETURN_DIVISOR: u32 = 4;

/// Time after which a caller should retry if a target with free slots refused its request: one
/// round trip, so that the retry can still be in time.
const SHED_RETURN: time::Duration = time::Duration::from_millis(25);

/// Divisor of a request's total time, which gives its minimum wait before it is refused, even if it
/// cannot be in time.
const MIN_WAIT_DIVISOR: u32 = 4;

/// Maximum number of unknown requests that are assumed for each known one. Load pattern: of 285
/// hosts, one knows the load of nine others, as often as its link and its processor allow. Each
/// request of those would count as thirty, and an idle target as full.
const MAX_EXTRAPOLATION: f64 = 3.0;

/// Part of a target's limit that the hosts of its domain use if its service is not divided by key.
/// Those of other domains send to it only when their own targets have no room.
const NEAR_SHARE: f64 = 0.75;

/// The entry hosts that send to the same targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hosts {
    /// Number of hosts of this domain, this one included.
    pub near: usize,
    /// Number of hosts of all domains, this one included.
    pub all: usize,
    /// Random number of this host, from 0 to 1, that spreads its requests and those of other hosts
    /// over time.
    pub phase: f64,
}

impl Hosts {
    /// Returns the share of a target's limit that this host may use. The shares of all hosts add up
    /// to 1 at most.
    fn share(&self, keyed: bool, near: bool) -> f64 {
        let even = 1.0 / self.all.max(1) as f64;
        if keyed || self.all <= self.near {
            return even;
        }
        if near {
            NEAR_SHARE / self.near.max(1) as f64
        } else {
            // The number of hosts in the target's own domain is not known.
            (1.0 - NEAR_SHARE) * even
        }
    }
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its number, unique at this host.
    pub number: u64,
    /// The key, if the caller gave one.
    pub key: Option<u16>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Time at which it arrived.
    pub arrived: time::Duration,
    /// Time by which its answer meets the latency objective.
    pub objective_at: time::Duration,
    /// Time at which the caller gives up or must get an answer.
    pub limit_at: time::Duration,
    /// Targets that it was already sent to.
    pub tried: Vec<site::Number>,
}

/// Decision about a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send the request.
    Send {
        /// The request.
        number: u64,
        /// The target.
        target: site::Number,
        /// The fencing token of the key's stripe, if the service is divided by key.
        token: Option<range::Token>,
    },
    /// Refuse the request. It has not run.
    Refuse {
        /// The request.
        number: u64,
        /// Time after which the caller should retry.
        retry_after: time::Duration,
    },
}

/// Outcome of a request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered after this time.
    Answered(time::Duration),
    /// The target refused the request before running it because it has no capacity.
    Shed,
    /// The target answered that it does not hold the key.
    NotOwner {
        /// The key.
        key: u16,
        /// The token that the request was sent with.
        token: range::Token,
    },
    /// The target could not be reached, stopped answering or closed the connection.
    Failed,
    /// The caller gave up or the deadline passed.
    Dropped,
}

/// Denial: a stripe that its owner does not hold, or is about to release.
#[derive(Debug, Clone, Copy)]
struct Denial {
    token: range::Token,
    times: u32,
    until: time::Duration,
}

/// Scheduler of one service at this host.
#[derive(Debug, Clone, Default)]
pub struct Service {
    targets: IndexMap<site::Number, target::Target>,
    /// Whether each key is owned by one target.
    keyed: bool,
    /// The owners of the keys, once they are assigned.
    map: Option<range::Map>,
    /// Denials by stripe.
    denied: IndexMap<u32, Denial>,
    waiting: IndexMap<u64, Request>,
    /// Service times of all targets together.
    times: estimate::Estimate,
    /// Number of requests by key since the last report.
    demand: IndexMap<u16, u32>,
    /// The group of this host among those of its domain.
    cell: cell::Cell,
    /// Targets that this host's group does not prefer.
    outside: Outside,
    /// Time of the latest dispatch, which has considered all that was due by then.
    dispatched_at: time::Duration,
}

/// Targets outside a host's group, of whose load it knows nothing: the time that they have recently
/// taken, including waits.
///
/// Load pattern: more is offered than all targets of the deployment can do. The targets of other
/// groups and domains always seem to have room, but requests sent there are late or refused. While
/// only this domain has too much, they are served in time.
#[derive(Debug, Clone, Copy, Default)]
struct Outside {
    /// Excess over the usual service time, in seconds.
    excess: f64,
    updated: time::Duration,
}

impl Outside {
    fn excess(&self, now: time::Duration) -> f64 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.excess * (-passed / OUTSIDE_WINDOW.as_secs_f64()).exp()
    }

    fn record(&mut self, excess: f64, now: time::Duration) {
        let before = self.excess(now);
        self.excess = before + (excess.max(0.0) - before) * OUTSIDE_WEIGHT;
        self.updated = now;
    }

    fn record_answer(
        &mut self,
        took: time::Duration,
        typical: time::Duration,
        now: time::Duration,
    ) {
        self.record(took.as_secs_f64() - typical.as_secs_f64(), now);
    }

    fn record_refusal(&mut self, typical: time::Duration, now: time::Duration) {
        self.record(typical.as_secs_f64() * OUTSIDE_REFUSAL_TIMES, now);
    }

    /// Returns the time that one more request is expected to take there.
    fn expected_time(&self, typical: time::Duration, now: time::Duration) -> time::Duration {
        typical + time::Duration::from_secs_f64(self.excess(now))
    }
}

impl Service {
    /// Sets the targets of the service. Targets that are not in `facts` are removed.
    pub fn set_targets(&mut self, facts: &[target::Facts]) {
        let named: IndexSet<site::Number> = facts.iter().map(|fact| fact.number).collect();
        self.targets.retain(|number, _| named.contains(number));
        for fact in facts {
            let known = self.targets.entry(fact.number);
            known
                .and_modify(|target| target.facts = *fact)
                .or_insert_with(|| target::Target::new(*fact));
        }
        self.prefer();
    }

    /// Sets the group of this host, which decides which targets it prefers.
    pub fn set_cell(&mut self, cell: cell::Cell) {
        if self.cell != cell {
            self.cell = cell;
            self.prefer();
        }
    }

    /// Divides the near targets over the groups of hosts, each group at least [`MIN_CELL_TARGETS`].
    fn prefer(&mut self) {
        let mut near: Vec<site::Number> = self
            .targets
            .values()
            .filter(|target| target.facts.near)
            .map(|target| target.facts.number)
            .collect();
        near.sort_unstable();
        let most = (near.len() / MIN_CELL_TARGETS).max(1);
        let count = self.cell.count.clamp(1, most);
        for (rank, number) in near.into_iter().enumerate() {
            if let Some(target) = self.targets.get_mut(&number) {
                target.preferred = rank % count == self.cell.index % count;
            }
        }
    }

    /// Sets whether the service is divided by key.
    pub fn set_keyed(&mut self, keyed: bool) {
        self.keyed = keyed;
    }

    /// Applies changes of the owners of keys.
    pub fn update_owners(&mut self, version: id::Version, ranges: &delta::Ranges) {
        let map = self
            .map
            .get_or_insert_with(|| range::Map::new(ranges.count));
        map.apply_changes(version, &ranges.owners);
    }

    /// Marks stripes as moving: their owner is about to release them. Requests for them wait until
    /// the stripes have another token, or until a timeout in case that update is lost.
    pub fn move_stripes(&mut self, stripes: &[(u32, range::Token)], now: time::Duration) {
        for (number, token) in stripes {
            let denial = Denial {
                token: *token,
                times: MAX_DENIAL_DOUBLINGS,
                until: now + MOVE_TIMEOUT,
            };
            self.denied.insert(*number, denial);
        }
    }

    /// Sets the number of requests that the other hosts of this host's group have at the targets.
    ///
    /// Requests with a key go to its owner from every group alike, so the other hosts, `far` times
    /// as many as those of the group, are assumed to have as much as the recent average of the
    /// group, unless they are more than [`MAX_EXTRAPOLATION`] times as many. Services without keys
    /// use preferred targets while these have room, so `far` does not apply; near targets of other
    /// groups are assumed to be as loaded as those of this one.
    pub fn set_others(
        &mut self,
        loads: &IndexMap<site::Number, u32>,
        far: f64,
        now: time::Duration,
    ) {
        let extrapolated = self.keyed && far <= MAX_EXTRAPOLATION;
        let far = if extrapolated { far } else { 0.0 };
        for (number, target) in &mut self.targets {
            let known = loads.get(number).copied().unwrap_or(0);
            target.set_others(known, far, now);
        }
        if !self.keyed {
            self.assume_equal_load();
        }
    }

    fn assume_equal_load(&mut self) {
        let preferred = self.targets.values().filter(|target| target.preferred);
        let (count, load) = preferred.fold((0_u32, 0), |(count, load), target| {
            (count + 1, load + target.load())
        });
        let mean = (load + count / 2).checked_div(count).unwrap_or(0);
        for target in self.targets.values_mut() {
            if target.facts.near && !target.preferred {
                target.others = target.others.max(mean);
            }
        }
    }

    /// Adds another host's measurement of a target. Load pattern: one of a hundred hosts gets two
    /// answers from a target in a minute, and could not find out by itself which targets are slow.
    pub fn add_measurement(&mut self, number: site::Number, measure: target::Measurement) {
        if let Some(target) = self.targets.get_mut(&number) {
            target.add_measurement(measure);
            if let Some(mean) = measure.mean() {
                self.times.record_batch(measure.count, mean);
            }
        }
    }

    /// Returns the measurements since the last call, for the other hosts of the group.
    pub fn take_unshared(&mut self) -> Vec<(site::Number, target::Measurement)> {
        let targets = self.targets.iter_mut();
        let measures = targets.map(|(number, target)| (*number, target.take_unshared()));
        measures.filter(|(_, measure)| measure.count > 0).collect()
    }

    /// Returns the assumed service time of a target without measurements.
    fn typical(&self) -> time::Duration {
        self.times.mean_or(target::DEFAULT_SERVICE_TIME)
    }

    /// Returns the number of this host's unanswered requests by target.
    pub fn loads(&self) -> impl Iterator<Item = (site::Number, u32)> + '_ {
        let busy = self.targets.iter().filter(|(_, target)| target.own > 0);
        busy.map(|(number, target)| (*number, target.own))
    }

    /// Returns a target.
    pub fn target(&self, number: site::Number) -> Option<&target::Target> {
        self.targets.get(&number)
    }

    /// Returns why the targets that might get a request with this key get none.
    pub fn survey(&self, key: Option<u16>, now: time::Duration) -> survey::Survey {
        let mut survey = survey::Survey::default();
        if self.keyed {
            let owner = key.and_then(|key| self.owner_of_key(key));
            owner.iter().for_each(|owner| survey.add(owner, now));
        } else {
            let targets = self.targets.values();
            targets.for_each(|target| survey.add(target, now));
        }
        survey
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request and returns the decisions that are due.
    pub fn arrive(&mut self, request: Request, now: time::Duration) -> Vec<Decision> {
        if let (Some(key), true) = (request.key, self.keyed) {
            *self.demand.entry(key).or_default() += 1;
        }
        self.waiting.insert(request.number, request);
        self.dispatch(now)
    }

    /// Adds the measurements since the last call to a report. The report is used to balance the
    /// owners of keys only, so services without keys add nothing.
    pub fn report(&mut self, name: &item::Name, report: &mut balance::Report, now: time::Duration) {
        if !self.keyed {
            return;
        }
        let demand: Vec<(u16, u32)> = self.demand.drain(..).collect();
        if !demand.is_empty() {
            report.demand.push((name.clone(), demand));
        }
        for (number, target) in &mut self.targets {
            let measure = target.take_measured(now);
            if measure.count > 0 {
                let micros = u64::try_from(measure.time.as_micros()).unwrap_or(u64::MAX);
                report.times.push((*number, measure.count, micros));
            }
        }
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.shift_remove(&number);
    }

    /// Returns the time after which a caller should retry a request that the target refused, if
    /// there is no budget to retry it here. Load pattern: faulty targets refuse half of their
    /// requests while slots are free. The caller's own retry is as likely to succeed, but must be
    /// soon to be in time.
    pub fn retry_after(&self, number: site::Number, left: time::Duration) -> time::Duration {
        let target = self.targets.get(&number);
        if target.is_some_and(target::Target::has_shed_with_room) {
            return SHED_RETURN.min(left / RETURN_DIVISOR);
        }
        left / FULL_RETURN_DIVISOR
    }

    /// Records that a request was not sent after all.
    pub fn cancel_send(&mut self, number: site::Number) {
        if let Some(target) = self.targets.get_mut(&number) {
            target.cancel_send();
        }
    }

    /// Applies the limit that a target stated in an answer, or the end of its limit. The limit is
    /// for the requests of all `hosts`. Returns whether that began or ended a limit.
    pub fn set_limit(
        &mut self,
        number: site::Number,
        stated: Option<unit::Rate>,
        hosts: Hosts,
        now: time::Duration,
    ) -> Option<limit::Change> {
        let keyed = self.keyed;
        let target = self.targets.get_mut(&number)?;
        let share = limit::Share {
            rate: hosts.share(keyed, target.facts.near),
            phase: hosts.phase,
        };
        target.set_limit(stated, share, now)
    }

    /// Records that a target wants no request from this host for a time. Returns whether it did not
    /// rest before.
    pub fn set_rest(
        &mut self,
        number: site::Number,
        rest: time::Duration,
        now: time::Duration,
    ) -> bool {
        let Some(target) = self.targets.get_mut(&number) else {
            return false;
        };
        let began = !target.rests(now);
        target.rest_until(now.saturating_add(rest));
        began
    }

    /// Records that a target said that it leaves. Returns whether it had not said so before.
    pub fn set_leaving(&mut self, number: site::Number, now: time::Duration) -> bool {
        let Some(target) = self.targets.get_mut(&number) else {
            return false;
        };
        let began = !target.leaves();
        target.leave(now);
        began
    }

    /// Records the outcome of a request and returns the decisions that are due.
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
                    if target.record_answer(took) {
                        self.times.record(took);
                    }
                    if !target.preferred {
                        self.outside.record_answer(took, typical, now);
                    }
                }
                Outcome::Failed => target.record_failure(now),
                Outcome::Shed => {
                    target.record_refusal(typical, now);
                    if !target.preferred {
                        self.outside.record_refusal(typical, now);
                    }
                }
                Outcome::NotOwner { .. } => target.record_not_owner(typical, now),
                Outcome::Dropped => {}
            }
            target.own = target.own.saturating_sub(1);
        }
        if let (Outcome::NotOwner { key, token }, Some(map)) = (outcome, &self.map) {
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
        let pause = NOT_OWNER_PAUSE * 2u32.pow(times.min(MAX_DENIAL_DOUBLINGS));
        let denial = Denial {
            token,
            times,
            until: now + pause,
        };
        self.denied.insert(stripe, denial);
    }

    /// Returns the time of the next [`Service::dispatch`] that is needed without another event. It has
    /// passed if something has come due since the latest dispatch.
    pub fn next_wake(&self) -> Option<time::Duration> {
        if self.waiting.is_empty() {
            return None;
        }
        let considered = self.dispatched_at;
        let denied = self.denied.values().map(|denial| denial.until);
        let targets = self.targets.values();
        let paused = targets.flat_map(|target| [target.paused_until, target.rests_until()]);
        let limited = self.targets.values().filter_map(target::Target::limit);
        let allowed = limited.map(|limit| limit.next_at(considered));
        let usable = denied.chain(paused).chain(allowed);
        let usable = usable.filter(|at| *at > considered);
        // Measurements since the latest dispatch may have made a refusal due at an earlier time.
        let refused = self.waiting.values().map(|request| self.refuse_at(request));
        usable.chain(refused).min()
    }

    /// Decides about the waiting requests: sends those that can be sent and refuses those that can
    /// no longer be served.
    pub fn dispatch(&mut self, now: time::Duration) -> Vec<Decision> {
        self.dispatched_at = now;
        self.denied
            .retain(|_, denial| denial.until + DENIAL_MEMORY > now);
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
        // Number of more urgent requests that wait for each owner, and, without keys, for any target.
        let mut ahead: IndexMap<Option<site::Number>, u32> = IndexMap::new();
        for (_, _, _, number) in order {
            let Some(request) = self.waiting.get(&number) else {
                continue;
            };
            if let Some((target, token)) = self.place(request, now) {
                self.waiting.shift_remove(&number);
                if let Some(target) = self.targets.get_mut(&target) {
                    target.record_send(now);
                }
                decisions.push(Decision::Send {
                    number,
                    target,
                    token,
                });
            } else if self.refuse_at(request) <= now || self.cannot_be_served(request, &ahead, now)
            {
                let left = request.limit_at.saturating_sub(now);
                self.waiting.shift_remove(&number);
                decisions.push(Decision::Refuse {
                    number,
                    retry_after: left / RETURN_DIVISOR,
                });
            } else {
                let owner = self.owner_of(request);
                *ahead
                    .entry(owner.map(|owner| owner.facts.number))
                    .or_default() += 1;
            }
        }
        decisions
    }

    /// Returns the time at which a waiting request is refused. Load pattern: at a load peak more
    /// requests arrive than targets can process, for seconds. A request that can no longer be in
    /// time would wait for nothing, since requests that still can be go first; its caller should
    /// retry after the peak. A key that changes owners is served again within a heartbeat interval,
    /// so requests for it wait as long as they can.
    fn refuse_at(&self, request: &Request) -> time::Duration {
        let typical = self.typical();
        let times = self
            .targets
            .values()
            .map(|target| target.service_time(typical));
        let time = times.min().unwrap_or_default();
        let latest = request.limit_at.saturating_sub(time);
        if self.awaits_owner(request) {
            return latest;
        }
        let in_time = request.objective_at.saturating_sub(time);
        let left = request.limit_at.saturating_sub(request.arrived);
        let min_wait = request.arrived + left / MIN_WAIT_DIVISOR;
        in_time.max(min_wait).min(latest)
    }

    /// Returns whether a request is known not to be served before it is refused.
    ///
    /// Load patterns: a domain is cut off, and half of the keys have owners in other domains. Or
    /// one key gets ten times the requests that its owner can process: its slots are busy all the
    /// time, and each host has requests that wait for them. One waiting request per host is enough
    /// to keep the slots busy; further ones would wait for nothing. Or the owner of a key, or every
    /// target of a service without keys, states a limit that allows this host no further request in
    /// time, or wants rest until then.
    fn cannot_be_served(
        &self,
        request: &Request,
        ahead: &IndexMap<Option<site::Number>, u32>,
        now: time::Duration,
    ) -> bool {
        let until = self.refuse_at(request);
        let waiting = |owner| ahead.get(&owner).copied().unwrap_or(0);
        if let Some(owner) = self.owner_of(request) {
            let ahead = waiting(Some(owner.facts.number));
            let full = owner.is_busy() && ahead > 0;
            let limited = owner.turns(until, now).is_some_and(|turns| turns <= ahead);
            return full || limited || owner.rests(until) || owner.is_out_of_reach(until);
        }
        if self.keyed {
            return false;
        }
        let open = self
            .targets
            .values()
            .filter(|target| target.facts.open && !request.tried.contains(&target.facts.number));
        let turns = open.map(|target| {
            if target.rests(until) {
                Some(0)
            } else {
                target.turns(until, now)
            }
        });
        // `None` if any target has no limit.
        let turns: Option<Vec<u32>> = turns.collect();
        turns.is_some_and(|turns| {
            let all = turns.iter().copied().reduce(u32::saturating_add);
            all.is_some_and(|all| all <= waiting(None))
        })
    }

    /// Returns the target that owns a request's key.
    fn owner_of(&self, request: &Request) -> Option<&target::Target> {
        let key = request.key.filter(|_| self.keyed)?;
        self.owner_of_key(key)
    }

    fn owner_of_key(&self, key: u16) -> Option<&target::Target> {
        let map = self.map.as_ref()?;
        let stripe = map.get(map.stripe_of(key))?;
        self.targets.get(&stripe.owner?)
    }

    /// Returns whether the key of a request has no owner at present, or a denied one.
    fn awaits_owner(&self, request: &Request) -> bool {
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

    /// Returns the target that a request can be sent to now, and the fencing token of the key's
    /// stripe if the service is divided by key.
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
        (has_room(target) && target.is_usable(now)).then_some((owner, Some(stripe.token)))
    }

    /// Returns the best target for a request without a key; one that leaves only if there is no
    /// other. Preferred targets with a free slot go first, then those where it would queue and still
    /// be in time, then other near ones in the same order, as this saves traffic between domains,
    /// then far ones. It never queues where it would be late: others that are still in time would
    /// wait behind it. Of equally good targets two are drawn and the faster one is taken, so that
    /// hosts with the same information do not all choose the same target.
    fn best(&self, request: &Request, now: time::Duration) -> Option<site::Number> {
        let may_take = |target: &&target::Target| {
            has_room(target) && !request.tried.contains(&target.facts.number)
        };
        let targets = || self.targets.values().filter(may_take);
        let typical = self.typical();
        let outside = self.may_go_outside(request, now);
        let queued = |target: &target::Target| target.load() >= target.facts.slots;
        let late = |target: &target::Target| {
            queued(target) && now + target.expected_time(typical) > request.objective_at
        };
        let usable: Vec<&target::Target> = targets()
            .filter(|target| target.is_usable(now))
            .filter(|target| target.preferred || outside)
            .collect();
        if usable.is_empty() {
            return self.least_suspect(targets(), now);
        }
        let rank = |target: &&target::Target| {
            let far = !target.facts.near;
            (target.leaves(), far, !target.preferred, queued(target))
        };
        let in_time = usable.into_iter().filter(|target| !late(target));
        let in_time: Vec<&target::Target> = in_time.collect();
        let best = in_time.iter().map(rank).min()?;
        let equal: Vec<&&target::Target> = in_time.iter().filter(|t| rank(t) == best).collect();
        let drawn = [0, 1].map(|draw| equal[draw_index(request.number, draw, equal.len())]);
        let chosen = drawn
            .into_iter()
            .min_by_key(|target| target.expected_time(typical));
        chosen.map(|target| target.facts.number)
    }
}

impl Service {
    /// Returns whether a request without a key may go to a target that this host's group does not
    /// prefer: if it is likely in time there, or if no preferred target may be used.
    fn may_go_outside(&self, request: &Request, now: time::Duration) -> bool {
        let expected = self.outside.expected_time(self.typical(), now);
        let mut preferred = self.targets.values().filter(|target| target.preferred);
        now + expected <= request.objective_at || !preferred.any(|target| target.is_usable(now))
    }

    /// Returns the target to try when all are paused after failures. Load pattern: each target has
    /// failed once, during a short fault of this host or of all targets. Without this, no target
    /// would be tried and every request would be refused.
    fn least_suspect<'a>(
        &self,
        targets: impl Iterator<Item = &'a target::Target>,
        now: time::Duration,
    ) -> Option<site::Number> {
        if self.targets.values().any(|target| target.is_up(now)) {
            return None;
        }
        let suspects = targets
            .filter(|target| target.is_suspect() && target.limit_allows(now) && !target.rests(now))
            .filter(|target| !target.has_left(now));
        let first = suspects.min_by_key(|target| target.paused_until);
        first.map(|target| target.facts.number)
    }
}

/// Returns whether a target may get a request, to process or to queue.
pub(super) fn has_room(target: &target::Target) -> bool {
    target.load() < target.facts.slots.saturating_add(QUEUE_DEPTH)
}

/// Draws an index below `count` from the request's number alone, so that the same inputs give the
/// same decisions.
fn draw_index(number: u64, draw: u64, count: usize) -> usize {
    let mixed = xxh3::xxh3_64_with_seed(&number.to_le_bytes(), draw);
    (mixed % count.max(1) as u64) as usize
}
