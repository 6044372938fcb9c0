//! Announcements of targets, and the leases in the answers.

use std::sync;

use yucca_own::site::{self, lease, target};

use crate::control::call::Failure;
use crate::control::{Core, lock};
use crate::dialect::operator;

/// What a claim of keys needs: the target, and what is to be agreed on.
struct Claim {
    kept: target::Kept,
    assignment: Option<site::range::Assignment>,
}

impl Core {
    /// Takes in an announcement. It is answered only once what it changes is agreed on.
    pub(super) async fn announce(
        self: &sync::Arc<Self>,
        target: target::Target,
        beat: lease::Beat,
    ) -> Result<operator::Answer, Failure> {
        if !self.replica.standing().leads {
            return Err(Failure::NotLeader);
        }
        if self.is_news(&target) {
            log::info!(
                "target={} service={} address={} phase={} announced",
                target.life,
                target.service,
                target.address,
                target.phase
            );
            self.propose(&site::Command::Announce(target.clone()))
                .await?;
        }
        let grants = if self.is_keyed(&target) {
            self.confirm().await?;
            self.grant(&target, &beat).await?
        } else {
            None
        };
        Ok(operator::Answer::Heard {
            grants: grants.map(|grants| (grants, self.settings.hold())),
            next: self.settings.addresses.operator,
        })
    }

    fn is_news(&self, target: &target::Target) -> bool {
        lock(&self.machine).state.targets.is_news(target)
    }

    fn is_keyed(&self, target: &target::Target) -> bool {
        let machine = lock(&self.machine);
        let service = machine.state.items.service(&target.service);
        service.is_some_and(|service| service.keyed)
    }

    /// Renews what the target holds and gives it what it should get.
    async fn grant(
        self: &sync::Arc<Self>,
        target: &target::Target,
        beat: &lease::Beat,
    ) -> Result<Option<Vec<lease::Grant>>, Failure> {
        let Some(claim) = self.hear_beat(target, beat) else {
            return Ok(None);
        };
        if let Some(assignment) = claim.assignment {
            log::info!(
                "target={} service={} gets {} stripes",
                claim.kept.target.life,
                assignment.service,
                assignment.stripes.len()
            );
            // The claim must be settled also where nobody waits for the answer any more.
            let assigning = tokio::spawn(self.clone().assign(assignment)).await;
            assigning.map_err(|error| Failure::Unavailable(error.to_string()))??;
        }
        Ok(self.renew(&claim.kept))
    }

    async fn assign(
        self: sync::Arc<Self>,
        assignment: site::range::Assignment,
    ) -> Result<(), Failure> {
        let command = site::Command::Assign(assignment.clone());
        let outcome = self.propose(&command).await;
        self.settle(&assignment, &outcome);
        outcome.map(|_| ())
    }

    fn hear_beat(&self, target: &target::Target, beat: &lease::Beat) -> Option<Claim> {
        let now = self.clock.now();
        let machine = lock(&self.machine);
        let kept = machine.state.targets.life(&target.life)?.clone();
        self.with_book(|book| {
            book.note(kept.number, &kept.target.service, now);
            if !book.hear(&machine.state, &kept, beat) {
                return None;
            }
            let assignment = book.claim(&machine.state, &kept, now);
            Some(Claim {
                kept: kept.clone(),
                assignment,
            })
        })
    }

    fn settle(
        &self,
        assignment: &site::range::Assignment,
        outcome: &Result<site::Outcome, Failure>,
    ) {
        self.with_book(|book| match outcome {
            Ok(_) => book.settle(assignment, true),
            Err(Failure::NotLeader) => book.settle(assignment, false),
            // It may yet be agreed on, so its stripes are renewed for nobody by this leader.
            Err(Failure::Unavailable(reason)) => {
                log::warn!(
                    "service={} assignment of {} stripes is in doubt: {reason}",
                    assignment.service,
                    assignment.stripes.len()
                );
            }
        });
    }

    fn renew(&self, kept: &target::Kept) -> Option<Vec<lease::Grant>> {
        let now = self.clock.now();
        let machine = lock(&self.machine);
        let kept = machine.state.targets.get(kept.number)?.clone();
        let renewal = self.with_book(|book| book.renew(&machine.state, &kept, now));
        drop(machine);
        if !renewal.moving.is_empty() {
            log::info!(
                "target={} service={} gives {} stripes away",
                kept.target.life,
                kept.target.service,
                renewal.moving.len()
            );
            self.tell_moving(&kept.target.service, renewal.moving);
        }
        Some(renewal.grants)
    }

    /// Takes in what an entry host has measured, if this host leads.
    pub(super) fn note_report(&self, report: &site::balance::Report) {
        if self.replica.standing().leads {
            let now = self.clock.now();
            self.with_book(|book| book.report(report, now));
        }
    }

    /// Uses the book of the present term, which starts empty with each term.
    fn with_book<T>(&self, then: impl FnOnce(&mut lease::Book) -> T) -> T {
        let term = self.replica.standing().term.0;
        let mut book = lock(&self.book);
        let (_, book) = match &mut *book {
            Some(held) if held.0 == term => held,
            slot => slot.insert((
                term,
                lease::Book::new(self.lease_config(), self.clock.now()),
            )),
        };
        then(book)
    }
}
