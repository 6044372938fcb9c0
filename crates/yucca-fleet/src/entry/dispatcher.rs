//! The services at this host, and the requests that wait for a decision.

use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use rand::Rng;
use tokio::sync::{Notify, oneshot};
use yucca_lane::shared::{service, target, window};
use yucca_own::site::{balance, delta, item, range, target as site};
use yucca_wire::id;

use crate::mutex::lock;

/// All services of this host.
pub struct Desk {
    budget: window::Config,
    counters: sync::Mutex<IndexMap<item::Name, Counter>>,
    changed: Notify,
    next: atomic::AtomicU64,
}

/// One service, and those who wait for its decisions.
struct Counter {
    service: service::Service,
    window: window::Window,
    waiters: IndexMap<u64, oneshot::Sender<service::Decision>>,
}

impl Desk {
    /// Returns a desk without any service.
    pub fn new(budget: window::Config) -> Self {
        Self {
            budget,
            counters: sync::Mutex::default(),
            changed: Notify::new(),
            // Hosts draw from different numbers.
            next: atomic::AtomicU64::new(u64::from(rand::rng().random::<u32>()) << 32),
        }
    }

    /// Takes in the targets of a service, and whether it is divided by key.
    pub fn update(
        &self,
        name: &item::Name,
        facts: &[target::Facts],
        keyed: bool,
        now: time::Duration,
    ) {
        self.with(name, |counter| {
            counter.service.set_targets(facts);
            counter.service.set_keyed(keyed);
            counter.service.dispatch(now)
        });
    }

    /// Takes in owners of a service's keys that have changed.
    pub fn follow(&self, version: id::Version, ranges: &delta::Ranges, now: time::Duration) {
        self.with(&ranges.service, |counter| {
            counter.service.update_owners(version, ranges);
            counter.service.dispatch(now)
        });
    }

    /// Takes in how many requests other hosts of this domain have at targets. Hosts elsewhere are
    /// presumed to have `far` times as many as those of this domain.
    pub fn set_others(&self, loads: &IndexMap<site::Number, u32>, far: f64, now: time::Duration) {
        let names: Vec<item::Name> = lock(&self.counters).keys().cloned().collect();
        for name in names {
            self.with(&name, |counter| {
                counter.service.set_others(loads, far, now);
                counter.service.dispatch(now)
            });
        }
    }

    /// Takes in that the owner of some stripes is about to release them.
    pub fn move_stripes(
        &self,
        name: &item::Name,
        stripes: &[(u32, range::Token)],
        now: time::Duration,
    ) {
        self.with(name, |counter| {
            counter.service.move_stripes(stripes, now);
            Vec::new()
        });
    }

    /// Returns the requests of this host at targets.
    pub fn loads(&self) -> Vec<(site::Number, u32)> {
        let counters = lock(&self.counters);
        let all = counters
            .values()
            .flat_map(|counter| counter.service.loads());
        all.collect()
    }

    /// Returns what was measured of targets since the last call, for the other hosts of this domain.
    pub fn take_unshared(&self) -> Vec<(site::Number, target::Measurement)> {
        let mut counters = lock(&self.counters);
        let counters = counters.values_mut();
        counters
            .flat_map(|counter| counter.service.take_unshared())
            .collect()
    }

    /// Takes in what another host of this domain measured of a target.
    pub fn note_measure(&self, number: site::Number, measure: target::Measurement) {
        for counter in lock(&self.counters).values_mut() {
            counter.service.add_measurement(number, measure);
        }
    }

    /// Returns what was measured since the last call.
    pub fn report(&self) -> balance::Report {
        let mut report = balance::Report::default();
        for (name, counter) in lock(&self.counters).iter_mut() {
            counter.service.report(name, &mut report);
        }
        report
    }

    /// Counts a request of a caller for a service.
    pub fn count(&self, name: &item::Name, now: time::Duration) {
        self.with(name, |counter| {
            counter.window.record_request(now);
            Vec::new()
        });
    }

    /// Takes a repeat out of the budget of a service, where there is one.
    pub fn repeat(&self, name: &item::Name, hosts: usize, now: time::Duration) -> bool {
        let mut granted = false;
        self.with(name, |counter| {
            granted = counter.window.try_retry(hosts, now);
            Vec::new()
        });
        granted
    }

    /// Returns when a caller should return whose request a target did not run.
    pub fn retry_after(
        &self,
        name: &item::Name,
        target: site::Number,
        left: time::Duration,
    ) -> time::Duration {
        let counters = lock(&self.counters);
        let counter = counters.get(name);
        counter.map_or(left, |counter| counter.service.retry_after(target, left))
    }

    /// Asks what is to become of a request.
    pub fn ask(
        self: &sync::Arc<Self>,
        name: &item::Name,
        mut request: service::Request,
        now: time::Duration,
    ) -> Waiter {
        let number = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        request.number = number;
        let (sender, receiver) = oneshot::channel();
        self.with(name, |counter| {
            counter.waiters.insert(number, sender);
            counter.service.arrive(request, now)
        });
        Waiter {
            desk: self.clone(),
            service: name.clone(),
            number,
            receiver,
        }
    }

    /// Takes in what became of a request that was sent.
    pub fn finish(
        &self,
        name: &item::Name,
        target: site::Number,
        outcome: service::Outcome,
        now: time::Duration,
    ) {
        self.with(name, |counter| counter.service.finish(target, outcome, now));
    }

    /// Sends and refuses what is due.
    pub fn dispatch(&self, now: time::Duration) {
        let names: Vec<item::Name> = lock(&self.counters).keys().cloned().collect();
        for name in names {
            self.with(&name, |counter| counter.service.dispatch(now));
        }
    }

    /// Returns when something is due by itself.
    pub fn next_wake(&self, now: time::Duration) -> Option<time::Duration> {
        let counters = lock(&self.counters);
        let all = counters.values();
        all.filter_map(|counter| counter.service.next_wake(now))
            .min()
    }

    /// Waits until [`Desk::next_wake`] may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn with(&self, name: &item::Name, event: impl FnOnce(&mut Counter) -> Vec<service::Decision>) {
        let mut counters = lock(&self.counters);
        if !counters.contains_key(name) {
            let counter = Counter {
                service: service::Service::default(),
                window: window::Window::new(self.budget),
                waiters: IndexMap::new(),
            };
            counters.insert(name.clone(), counter);
        }
        let Some(counter) = counters.get_mut(name) else {
            return;
        };
        for decision in event(counter) {
            counter.tell(decision);
        }
        if counter.service.waiting() > 0 {
            self.changed.notify_one();
        }
    }
}

impl Counter {
    fn tell(&mut self, decision: service::Decision) {
        let number = match decision {
            service::Decision::Send { number, .. } | service::Decision::Refuse { number, .. } => {
                number
            }
        };
        if let Some(waiter) = self.waiters.swap_remove(&number) {
            // A waiter that is gone has taken its request back, see `Waiter::drop`.
            waiter.send(decision).ok();
        }
    }
}

/// A request that waits for its decision. Dropped, it takes the request back.
pub struct Waiter {
    desk: sync::Arc<Desk>,
    service: item::Name,
    number: u64,
    receiver: oneshot::Receiver<service::Decision>,
}

impl Waiter {
    /// Waits for the decision; none where the service ended.
    pub async fn decision(&mut self) -> Option<service::Decision> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let unheard = self.receiver.try_recv().ok();
        let number = self.number;
        self.desk.with(&self.service, |counter| {
            counter.waiters.swap_remove(&number);
            counter.service.cancel(number);
            match unheard {
                Some(service::Decision::Send { target, .. }) => {
                    counter.service.cancel_send(target);
                }
                Some(service::Decision::Refuse { .. }) | None => {}
            }
            Vec::new()
        });
    }
}
