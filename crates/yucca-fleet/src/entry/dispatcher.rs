//! Services at this host, and the requests that wait for a decision.

use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use rand::Rng;
use tokio::sync::{Notify, oneshot};
use yucca_lane::shared::{cell, limit, service, survey, target, window};
use yucca_own::site::{balance, delta, item, range, target as site};
use yucca_wire::{id, unit};

use crate::clock;
use crate::mutex::lock;

/// Dispatcher of requests to all services.
pub struct Dispatcher {
    clock: clock::Clock,
    budget: window::Config,
    queues: sync::Mutex<IndexMap<item::Name, Queue>>,
    changed: Notify,
    next_number: atomic::AtomicU64,
}

/// One service, with its retry budget and the requests that wait for its decisions.
struct Queue {
    service: service::Service,
    window: window::Window,
    waiters: IndexMap<u64, oneshot::Sender<service::Decision>>,
}

impl Dispatcher {
    /// Creates a dispatcher without services.
    pub fn new(clock: clock::Clock, budget: window::Config) -> Self {
        Self {
            clock,
            budget,
            queues: sync::Mutex::default(),
            changed: Notify::new(),
            // Starts with a random upper half, so that numbers of different hosts differ.
            next_number: atomic::AtomicU64::new(u64::from(rand::rng().random::<u32>()) << 32),
        }
    }

    /// Sets the targets of a service, and whether it is divided by key.
    pub fn update_service(
        &self,
        name: &item::Name,
        facts: &[target::Facts],
        keyed: bool,
        now: time::Duration,
    ) {
        self.with_queue(name, |queue| {
            queue.service.set_targets(facts);
            queue.service.set_keyed(keyed);
            queue.service.dispatch(now)
        });
    }

    /// Applies changed owners of a service's keys.
    pub fn update_owners(&self, version: id::Version, ranges: &delta::Ranges, now: time::Duration) {
        self.with_queue(&ranges.service, |queue| {
            queue.service.update_owners(version, ranges);
            queue.service.dispatch(now)
        });
    }

    /// Sets the group of this host, which decides which targets it prefers.
    pub fn set_cell(&self, cell: cell::Cell) {
        for queue in lock(&self.queues).values_mut() {
            queue.service.set_cell(cell);
        }
    }

    /// Sets the number of requests that the other hosts of this host's group have at targets. All
    /// others are assumed to have `far` times as many as the group, see
    /// [`service::Service::set_others`].
    pub fn set_others(&self, loads: &IndexMap<site::Number, u32>, far: f64, now: time::Duration) {
        let names: Vec<item::Name> = lock(&self.queues).keys().cloned().collect();
        for name in names {
            self.with_queue(&name, |queue| {
                queue.service.set_others(loads, far, now);
                queue.service.dispatch(now)
            });
        }
    }

    /// Records that the owner of these stripes is about to release them.
    pub fn move_stripes(
        &self,
        name: &item::Name,
        stripes: &[(u32, range::Token)],
        now: time::Duration,
    ) {
        self.with_queue(name, |queue| {
            queue.service.move_stripes(stripes, now);
            Vec::new()
        });
    }

    /// Returns the number of requests of this host at each target.
    pub fn loads(&self) -> Vec<(site::Number, u32)> {
        let queues = lock(&self.queues);
        let all = queues.values().flat_map(|queue| queue.service.loads());
        all.collect()
    }

    /// Returns the measurements of targets since the last call, for the other hosts of the group.
    pub fn take_unshared(&self) -> Vec<(site::Number, target::Measurement)> {
        let mut queues = lock(&self.queues);
        let queues = queues.values_mut();
        queues
            .flat_map(|queue| queue.service.take_unshared())
            .collect()
    }

    /// Adds a measurement of a target by another host of the group.
    pub fn add_measurement(&self, number: site::Number, measurement: target::Measurement) {
        for queue in lock(&self.queues).values_mut() {
            queue.service.add_measurement(number, measurement);
        }
    }

    /// Returns the measurements since the last call, for the leader.
    pub fn report(&self, now: time::Duration) -> balance::Report {
        let mut report = balance::Report::default();
        for (name, queue) in lock(&self.queues).iter_mut() {
            queue.service.report(name, &mut report, now);
        }
        report
    }

    /// Counts a caller's request in the retry budget of a service.
    pub fn record_request(&self, name: &item::Name, now: time::Duration) {
        self.with_queue(name, |queue| {
            queue.window.record_request(now);
            Vec::new()
        });
    }

    /// Takes one retry out of the budget of a service, which `hosts` hosts share. Returns whether
    /// there was one.
    pub fn try_retry(&self, name: &item::Name, hosts: usize, now: time::Duration) -> bool {
        let mut granted = false;
        self.with_queue(name, |queue| {
            granted = queue.window.try_retry(hosts, now);
            Vec::new()
        });
        granted
    }

    /// Returns the time after which a caller should retry a request that `target` did not run.
    pub fn retry_after(
        &self,
        name: &item::Name,
        target: site::Number,
        left: time::Duration,
    ) -> time::Duration {
        let queues = lock(&self.queues);
        let queue = queues.get(name);
        queue.map_or(left, |queue| queue.service.retry_after(target, left))
    }

    /// Returns why the targets that might get a request with this key get none.
    pub fn survey(
        &self,
        name: &item::Name,
        key: Option<u16>,
        now: time::Duration,
    ) -> survey::Survey {
        let queues = lock(&self.queues);
        let queue = queues.get(name);
        queue.map_or_else(survey::Survey::default, |queue| {
            queue.service.survey(key, now)
        })
    }

    /// Submits a request for a decision.
    pub fn submit(
        self: &sync::Arc<Self>,
        name: &item::Name,
        mut request: service::Request,
        now: time::Duration,
    ) -> Waiter {
        let number = self.next_number.fetch_add(1, atomic::Ordering::Relaxed);
        request.number = number;
        let (sender, receiver) = oneshot::channel();
        self.with_queue(name, |queue| {
            queue.waiters.insert(number, sender);
            queue.service.arrive(request, now)
        });
        Waiter {
            dispatcher: self.clone(),
            service: name.clone(),
            number,
            receiver,
        }
    }

    /// Applies the limit that a target stated in an answer, or the end of its limit. Returns whether
    /// that began or ended a limit.
    pub fn set_limit(
        &self,
        name: &item::Name,
        target: site::Number,
        stated: Option<unit::Rate>,
        hosts: service::Hosts,
        now: time::Duration,
    ) -> Option<limit::Change> {
        let mut change = None;
        self.with_queue(name, |queue| {
            change = queue.service.set_limit(target, stated, hosts, now);
            Vec::new()
        });
        change
    }

    /// Records that a target wants no request from this host for a time. Returns whether it did not
    /// rest before.
    pub fn set_rest(
        &self,
        name: &item::Name,
        target: site::Number,
        rest: time::Duration,
        now: time::Duration,
    ) -> bool {
        let mut began = false;
        self.with_queue(name, |queue| {
            began = queue.service.set_rest(target, rest, now);
            Vec::new()
        });
        began
    }

    /// Records that a target said that it leaves. Returns whether it had not said so before.
    pub fn set_leaving(
        &self,
        name: &item::Name,
        target: site::Number,
        now: time::Duration,
    ) -> bool {
        let mut began = false;
        self.with_queue(name, |queue| {
            began = queue.service.set_leaving(target, now);
            Vec::new()
        });
        began
    }

    /// Records the outcome of a request that was sent.
    pub fn finish(
        &self,
        name: &item::Name,
        target: site::Number,
        outcome: service::Outcome,
        now: time::Duration,
    ) {
        self.with_queue(name, |queue| queue.service.finish(target, outcome, now));
    }

    /// Sends and refuses the requests that are due.
    pub fn dispatch(&self, now: time::Duration) {
        let names: Vec<item::Name> = lock(&self.queues).keys().cloned().collect();
        for name in names {
            self.with_queue(&name, |queue| queue.service.dispatch(now));
        }
    }

    /// Dispatches waiting requests when the next of them is due, until the process ends.
    pub async fn run(&self) {
        loop {
            let next = self.next_wake();
            tokio::select! {
                biased;
                () = self.clock.sleep_until(next) => self.dispatch(self.clock.now()),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Returns the next time at which a dispatch is due without another event, which may have passed.
    fn next_wake(&self) -> Option<time::Duration> {
        let queues = lock(&self.queues);
        let all = queues.values();
        all.filter_map(|queue| queue.service.next_wake()).min()
    }

    fn with_queue(
        &self,
        name: &item::Name,
        event: impl FnOnce(&mut Queue) -> Vec<service::Decision>,
    ) {
        let mut queues = lock(&self.queues);
        if !queues.contains_key(name) {
            let queue = Queue {
                service: service::Service::default(),
                window: window::Window::new(self.budget),
                waiters: IndexMap::new(),
            };
            queues.insert(name.clone(), queue);
        }
        let Some(queue) = queues.get_mut(name) else {
            return;
        };
        for decision in event(queue) {
            queue.deliver(decision);
        }
        if queue.service.waiting() > 0 {
            self.changed.notify_one();
        }
    }
}

impl Queue {
    fn deliver(&mut self, decision: service::Decision) {
        let number = match decision {
            service::Decision::Send { number, .. } | service::Decision::Refuse { number, .. } => {
                number
            }
        };
        if let Some(waiter) = self.waiters.swap_remove(&number) {
            // A dropped waiter has already cancelled its request, see `Waiter::drop`.
            waiter.send(decision).ok();
        }
    }
}

/// Request that waits for its decision. Dropping it cancels the request.
pub struct Waiter {
    dispatcher: sync::Arc<Dispatcher>,
    service: item::Name,
    number: u64,
    receiver: oneshot::Receiver<service::Decision>,
}

impl Waiter {
    /// Waits for the decision until a time, so that the request ends even if the task that dispatches
    /// waiting requests doesn't. Returns `None` if there is no decision by then.
    pub async fn decision(&mut self, until: time::Duration) -> Option<service::Decision> {
        let clock = self.dispatcher.clock;
        tokio::select! {
            biased;
            decision = &mut self.receiver => decision.ok(),
            () = clock.sleep_until(Some(until)) => None,
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let undelivered = self.receiver.try_recv().ok();
        let number = self.number;
        let now = self.dispatcher.clock.now();
        self.dispatcher.with_queue(&self.service, |queue| {
            queue.waiters.swap_remove(&number);
            queue.service.cancel(number);
            match undelivered {
                Some(service::Decision::Send { target, .. }) => {
                    queue.service.cancel_send(target);
                    queue.service.dispatch(now)
                }
                Some(service::Decision::Refuse { .. }) | None => Vec::new(),
            }
        });
    }
}
