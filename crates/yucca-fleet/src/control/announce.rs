//! Announcements of targets, and the leases in the answers.
//!
//! A target announces itself to the control host of its own domain. That host knows the replicated
//! state, so only what is news, or a short question for the renewal, goes to the leader: the rows
//! of keys in announcements and answers stay within the domain.

use std::sync;

use yucca_own::site::{self, lease, target};

use crate::control::Core;
use crate::dialect::operator;
use crate::mesh::message;
use crate::mutex::lock;

impl Core {
    /// Takes in an announcement. It is answered only once what it changes is agreed on.
    pub(super) async fn announce(
        self: &sync::Arc<Self>,
        target: target::Target,
        beat: lease::Heartbeat,
    ) -> Result<operator::Answer, message::Refusal> {
        let domain = target.domain.clone();
        let ask = self.ask_of(target, &beat);
        let next = Some(self.nearest(&domain));
        if ask.news.is_none() && ask.beat.is_none() {
            return Ok(operator::Answer::Announced { grants: None, next });
        }
        let life = ask.life.clone();
        let renewal = if self.replica.standing().leads {
            self.decide(ask).await?
        } else {
            self.ask_leader(ask).await?
        };
        let grants = match renewal {
            Some(renewal) => Some(self.rows(&life, &renewal).await?),
            None => None,
        };
        Ok(operator::Answer::Announced {
            grants: grants.map(|grants| (grants, self.settings.lease_duration())),
            next,
        })
    }

    /// Returns what an announcement asks of the leader.
    fn ask_of(&self, target: target::Target, beat: &lease::Heartbeat) -> message::Ask {
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
            (Some(map), Some(kept)) => lease::Digest::new(beat, map, kept.number),
            _ => lease::Digest::empty(beat.sequence),
        };
        message::Ask {
            life: target.instance.clone(),
            beat: keyed.then(digest),
            news: state.targets.would_change(&target).then_some(target),
        }
    }

    /// Decides on an announcement, as the leader.
    pub(super) async fn decide(
        self: &sync::Arc<Self>,
        ask: message::Ask,
    ) -> Result<Option<lease::Renewal>, message::Refusal> {
        if !self.replica.standing().leads {
            return Err(message::Refusal::NotLeader);
        }
        self.confirm_together().await?;
        // The host that asks may have lagged behind.
        let is_news =
            |target: &target::Target| lock(&self.machine).state.targets.would_change(target);
        if let Some(target) = ask.news.filter(is_news) {
            log::info!(
                "target={} service={} address={} phase={} announced",
                target.instance,
                target.service,
                target.address,
                target.phase
            );
            self.propose(&site::Command::Announce(target)).await?;
        }
        let Some(beat) = ask.beat else {
            return Ok(None);
        };
        let Some(kept) = self.hear_beat(&ask.life, &beat) else {
            return Ok(None);
        };
        self.split_busy(&kept).await?;
        if let Some(assignment) = self.claim(&kept) {
            log::info!(
                "target={} service={} gets {} stripes",
                ask.life,
                assignment.service,
                assignment.stripes.len()
            );
            // The claim must be settled also where nobody waits for the answer any more.
            let assigning = tokio::spawn(self.clone().assign(assignment)).await;
            assigning.map_err(|error| message::Refusal::Unavailable(error.to_string()))??;
        }
        Ok(self.renew(kept.number))
    }

    async fn assign(
        self: sync::Arc<Self>,
        assignment: site::range::Assignment,
    ) -> Result<(), message::Refusal> {
        let command = site::Command::Assign(assignment.clone());
        let outcome = self.propose(&command).await;
        self.settle(&assignment, &outcome);
        outcome.map(|_| ())
    }

    /// Takes in a heartbeat; none for one that is older than another that was heard.
    fn hear_beat(&self, life: &target::Instance, beat: &lease::Digest) -> Option<target::Record> {
        let now = self.clock.now();
        let machine = lock(&self.machine);
        let kept = machine.state.targets.instance(life)?.clone();
        let heard = self.with_book(|book| {
            book.record_contact(kept.number, &kept.target.service, now);
            book.record_heartbeat(&machine.state, &kept, beat, now)
        });
        heard.then_some(kept)
    }

    fn claim(&self, kept: &target::Record) -> Option<site::range::Assignment> {
        let now = self.clock.now();
        let machine = lock(&self.machine);
        self.with_book(|book| book.claim(&machine.state, kept, now))
    }

    /// Splits busy stripes of a target that is to give some away.
    async fn split_busy(&self, kept: &target::Record) -> Result<(), message::Refusal> {
        let now = self.clock.now();
        let stripes = {
            let machine = lock(&self.machine);
            self.with_book(|book| book.splits(&machine.state, kept, now))
        };
        if stripes.is_empty() {
            return Ok(());
        }
        let service = kept.target.service.clone();
        log::info!(
            "target={} service={service} stripes {stripes:?} are busy and split",
            kept.target.instance
        );
        let split = site::Command::Split(service, stripes);
        self.propose(&split).await.map(|_| ())
    }

    fn settle(
        &self,
        assignment: &site::range::Assignment,
        outcome: &Result<site::Outcome, message::Refusal>,
    ) {
        self.with_book(|book| match outcome {
            Ok(_) => book.finish_claim(assignment, true),
            Err(message::Refusal::NotLeader) => book.finish_claim(assignment, false),
            // It may yet be agreed on, so its stripes are renewed for nobody by this leader.
            Err(message::Refusal::Unavailable(reason)) => {
                log::warn!(
                    "service={} assignment of {} stripes is in doubt: {reason}",
                    assignment.service,
                    assignment.stripes.len()
                );
            }
        });
    }

    fn renew(&self, number: target::Number) -> Option<lease::Renewal> {
        let now = self.clock.now();
        let machine = lock(&self.machine);
        let kept = machine.state.targets.get(number)?.clone();
        let (renewal, moving) = self.with_book(|book| book.renew(&machine.state, &kept, now));
        drop(machine);
        if !moving.is_empty() {
            log::info!(
                "target={} service={} gives {} stripes away",
                kept.target.instance,
                kept.target.service,
                moving.len()
            );
            self.tell_moving(&kept.target.service, moving);
        }
        Some(renewal)
    }

    /// Returns the keys of a renewal, once this host has the state that it is about.
    async fn rows(
        &self,
        life: &target::Instance,
        renewal: &lease::Renewal,
    ) -> Result<Vec<lease::Grant>, message::Refusal> {
        let mut standing = self.replica.watch();
        let reached = standing.wait_for(|standing| standing.applied >= renewal.version);
        if reached.await.is_err() {
            let reason = "the replica has stopped".to_owned();
            return Err(message::Refusal::Unavailable(reason));
        }
        let machine = lock(&self.machine);
        let state = &machine.state;
        let grants = state.targets.instance(life).and_then(|kept| {
            let map = state.ranges.get(&kept.target.service)?;
            Some(renewal.grants(map, kept.number))
        });
        Ok(grants.unwrap_or_default())
    }

    /// Takes in what an entry host has measured, if this host leads.
    pub(super) fn note_report(&self, report: &site::balance::Report) {
        if self.replica.standing().leads {
            let now = self.clock.now();
            self.with_book(|book| book.record_report(report, now));
        }
    }

    /// Uses the book of the present term, which starts empty with each term.
    fn with_book<T>(&self, then: impl FnOnce(&mut lease::Registry) -> T) -> T {
        let term = self.replica.standing().term.0;
        let mut book = lock(&self.book);
        let (_, book) = match &mut *book {
            Some(held) if held.0 == term => held,
            slot => slot.insert((
                term,
                lease::Registry::new(self.lease_config(), self.clock.now()),
            )),
        };
        then(book)
    }
}
