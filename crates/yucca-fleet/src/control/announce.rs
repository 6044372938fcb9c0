//! Announcements of targets, and the leases in the answers.
//!
//! A target announces itself to a control host of its own domain. That host has the replicated
//! state, so it sends only changes and a short digest for the renewal to the leader. The lists of
//! keys in announcements and answers stay within the domain.

use std::sync;

use yucca_own::site::{self, admission, lease, target};

use crate::control::Core;
use crate::dialect::operator;
use crate::mesh::message;
use crate::mutex::lock;

impl Core {
    /// Handles an announcement. It is answered only after its changes are committed.
    pub(super) async fn announce(
        self: &sync::Arc<Self>,
        target: target::Target,
        heartbeat: lease::Heartbeat,
    ) -> Result<operator::Answer, message::Refusal> {
        // A state that has never been current may lack the service, and then renews no lease.
        if !self.replica.status().member || !self.has_caught_up() {
            return Err(message::Refusal::NotLeader);
        }
        let next = Some(self.nearest(&target.domain, &target.instance.name));
        let request = self.leader_request(target, &heartbeat);
        if request.announced.is_none() && request.heartbeat.is_none() {
            self.hear(&request.instance);
            return Ok(operator::Answer::Announced { grants: None, next });
        }
        let instance = request.instance.clone();
        let renewal = if self.replica.status().leads {
            self.decide(request).await?
        } else {
            self.request_from_leader(request).await?
        };
        let grants = match renewal {
            Some(renewal) => Some(self.grants(&instance, &renewal).await?),
            None => None,
        };
        Ok(operator::Answer::Announced {
            grants: grants.map(|grants| (grants, self.settings.lease_duration())),
            next,
        })
    }

    /// Returns the part of an announcement that needs the leader.
    fn leader_request(
        &self,
        target: target::Target,
        heartbeat: &lease::Heartbeat,
    ) -> message::LeaderRequest {
        let machine = lock(&self.machine);
        let state = &machine.state;
        let keyed = state
            .items
            .service(&target.service)
            .is_some_and(|service| service.keyed);
        let digest = || match (
            state.ranges.get(&target.service),
            state.targets.instance(&target.instance),
        ) {
            (Some(map), Some(record)) => lease::Digest::new(heartbeat, map, record.number),
            _ => lease::Digest::empty(heartbeat.sequence),
        };
        message::LeaderRequest {
            instance: target.instance.clone(),
            heartbeat: keyed.then(digest),
            announced: state.targets.would_change(&target).then_some(target),
        }
    }

    /// Performs the leader's part of an announcement and returns the renewed lease, if any.
    pub(super) async fn decide(
        self: &sync::Arc<Self>,
        request: message::LeaderRequest,
    ) -> Result<Option<lease::Renewal>, message::Refusal> {
        if !self.replica.status().leads {
            return Err(message::Refusal::NotLeader);
        }
        self.confirm_together().await?;
        // The state of the requesting host may have been out of date.
        let would_change =
            |target: &target::Target| lock(&self.machine).state.targets.would_change(target);
        if let Some(target) = request.announced.filter(would_change) {
            let admission = self.admit(&target);
            if admission != admission::Admission::Register {
                return not_registered(&target, &admission);
            }
            log::info!(
                "target={} service={} address={} phase={} announced",
                target.instance,
                target.service,
                target.address,
                target.phase
            );
            self.propose(&site::Command::Announce(target)).await?;
        }
        let Some(heartbeat) = request.heartbeat else {
            return Ok(None);
        };
        let Some(record) = self.record_heartbeat(&request.instance, &heartbeat) else {
            return Ok(None);
        };
        self.split_busy(&record).await?;
        if let Some(assignment) = self.claim(&record) {
            log::info!(
                "target={} service={} gets {} stripes",
                request.instance,
                assignment.service,
                assignment.stripes.len()
            );
            // The claim must be finished even if the request is dropped before its answer.
            let assigning = tokio::spawn(self.clone().assign(assignment)).await;
            assigning.map_err(|error| message::Refusal::Unavailable(error.to_string()))??;
        }
        Ok(self.renew(record.number))
    }

    /// Decides whether an announced target is registered.
    pub(super) fn admit(&self, target: &target::Target) -> admission::Admission {
        let now = self.clock.now();
        let machine = lock(&self.machine);
        self.with_registry(|leases| admission::admit(&machine.state, leases, target, now))
    }

    /// Decides on the deregistration of a target.
    pub(super) fn depart(
        &self,
        name: &site::item::Name,
        started: Option<u64>,
    ) -> admission::Departure {
        let now = self.clock.now();
        let machine = lock(&self.machine);
        self.with_registry(|leases| admission::depart(&machine.state, leases, name, started, now))
    }

    /// Records that a target was heard from whose announcement does not need the leader.
    fn hear(&self, instance: &target::Instance) {
        let machine = lock(&self.machine);
        if let Some(record) = machine.state.targets.instance(instance) {
            lock(&self.heard).insert(record.number);
        }
    }

    /// Records that targets were heard from, if this host is the leader.
    pub(super) fn record_contacts(&self, numbers: &[target::Number]) {
        if !self.replica.status().leads {
            return;
        }
        let now = self.clock.now();
        let machine = lock(&self.machine);
        let targets = &machine.state.targets;
        let records = numbers.iter().filter_map(|number| targets.get(*number));
        self.with_registry(|registry| {
            for record in records {
                registry.record_contact(record.number, &record.target.service, now);
            }
        });
    }

    async fn assign(
        self: sync::Arc<Self>,
        assignment: site::range::Assignment,
    ) -> Result<(), message::Refusal> {
        let command = site::Command::Assign(assignment.clone());
        let outcome = self.propose(&command).await;
        self.finish_claim(&assignment, &outcome);
        outcome.map(|_| ())
    }

    /// Records a heartbeat and returns the record of its target. Returns `None` if the target is
    /// unknown or the heartbeat is out of date.
    fn record_heartbeat(
        &self,
        instance: &target::Instance,
        heartbeat: &lease::Digest,
    ) -> Option<target::Record> {
        let now = self.clock.now();
        let machine = lock(&self.machine);
        let record = machine.state.targets.instance(instance)?.clone();
        let recorded = self.with_registry(|registry| {
            registry.record_contact(record.number, &record.target.service, now);
            registry.record_heartbeat(&machine.state, &record, heartbeat, now)
        });
        recorded.then_some(record)
    }

    fn claim(&self, record: &target::Record) -> Option<site::range::Assignment> {
        let now = self.clock.now();
        let machine = lock(&self.machine);
        self.with_registry(|registry| registry.claim(&machine.state, record, now))
    }

    /// Splits busy stripes of a target that has to give some away.
    async fn split_busy(&self, record: &target::Record) -> Result<(), message::Refusal> {
        let now = self.clock.now();
        let stripes = {
            let machine = lock(&self.machine);
            self.with_registry(|registry| registry.splits(&machine.state, record, now))
        };
        if stripes.is_empty() {
            return Ok(());
        }
        let service = record.target.service.clone();
        log::info!(
            "target={} service={service} stripes {stripes:?} are busy and split",
            record.target.instance
        );
        let split = site::Command::Split(service, stripes);
        self.propose(&split).await.map(|_| ())
    }

    fn finish_claim(
        &self,
        assignment: &site::range::Assignment,
        outcome: &Result<site::Outcome, message::Refusal>,
    ) {
        self.with_registry(|registry| match outcome {
            Ok(_) => registry.finish_claim(assignment, true),
            Err(message::Refusal::NotLeader) => registry.finish_claim(assignment, false),
            // The assignment may still be committed, so this leader renews its stripes for no
            // target.
            Err(message::Refusal::Unavailable(reason)) => {
                log::warn!(
                    "service={} outcome of an assignment of {} stripes is unknown: {reason}",
                    assignment.service,
                    assignment.stripes.len()
                );
            }
        });
    }

    fn renew(&self, number: target::Number) -> Option<lease::Renewal> {
        let now = self.clock.now();
        let machine = lock(&self.machine);
        let record = machine.state.targets.get(number)?.clone();
        let (renewal, moving) =
            self.with_registry(|registry| registry.renew(&machine.state, &record, now));
        drop(machine);
        if !moving.is_empty() {
            log::info!(
                "target={} service={} gives {} stripes away",
                record.target.instance,
                record.target.service,
                moving.len()
            );
            self.notify_moving(&record.target.service, moving);
        }
        Some(renewal)
    }

    /// Returns the keys of a renewal, once this host has applied the version that it refers to.
    async fn grants(
        &self,
        instance: &target::Instance,
        renewal: &lease::Renewal,
    ) -> Result<Vec<lease::Grant>, message::Refusal> {
        let mut status = self.replica.watch();
        let reached = status.wait_for(|status| status.applied >= renewal.version);
        if reached.await.is_err() {
            let reason = "the replica has stopped".to_owned();
            return Err(message::Refusal::Unavailable(reason));
        }
        let machine = lock(&self.machine);
        let state = &machine.state;
        let grants = state.targets.instance(instance).and_then(|record| {
            let map = state.ranges.get(&record.target.service)?;
            Some(renewal.grants(map, record.number))
        });
        Ok(grants.unwrap_or_default())
    }

    /// Records the measurements of an entry host, if this host is the leader.
    pub(super) fn record_report(&self, report: &site::balance::Report) {
        if self.replica.status().leads {
            let now = self.clock.now();
            self.with_registry(|registry| registry.record_report(report, now));
        }
    }

    /// Calls `then` with the lease registry of the current term, which starts empty in each term.
    fn with_registry<T>(&self, then: impl FnOnce(&mut lease::Registry) -> T) -> T {
        let term = self.replica.status().term.0;
        let mut leases = lock(&self.leases);
        let (_, registry) = match &mut *leases {
            Some(current) if current.0 == term => current,
            slot => slot.insert((
                term,
                lease::Registry::new(self.lease_config(), self.clock.now()),
            )),
        };
        then(registry)
    }
}

/// Answers an announcement that is not registered. That of a ready target renews nothing and may come
/// again. One that drains must not count as acknowledged, as nothing stores that it drains.
fn not_registered(
    target: &target::Target,
    admission: &admission::Admission,
) -> Result<Option<lease::Renewal>, message::Refusal> {
    let reason = admission.to_string();
    log::debug!(
        "target={} service={} address={} not registered: {reason}",
        target.instance,
        target.service,
        target.address
    );
    metrics::counter!("yucca_fleet_targets_not_registered_total").increment(1);
    if target.phase == target::Phase::Ready {
        Ok(None)
    } else {
        Err(message::Refusal::Unavailable(reason))
    }
}
