//! The membership rule of a log whose voters are spread over the failure domains.
//!
//! The number of voters is odd, but for the changes between two odd numbers: an even number needs a
//! larger quorum and tolerates no more losses. Further hosts are learners: they have the state and
//! know the leader, and replace a voter that is lost or about to stop without first having to catch
//! up.

use indexmap::IndexMap;
use yucca_wire::id;

use crate::membership::{Change, Members, Replica};

/// Number of voters below which a lost voter is removed only once another replica can replace it.
const MIN_VOTERS: usize = 3;

/// Maximum number of voters, but for the changes that replace one.
const MAX_VOTERS: usize = 5;

/// Maximum number of learners. Each costs the leader as many messages as a voter. Hosts beyond it
/// redirect to the leader.
const MAX_LEARNERS: usize = 20;

/// Status of a replica that is or could be a member, as seen by the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The replica.
    pub replica: Replica,
    /// The failure domain of its host.
    pub domain: id::Domain,
    /// Whether its records survive a restart.
    pub disk: bool,
    /// Whether it replies.
    pub alive: bool,
    /// Whether it is a learner that has caught up and may be promoted.
    pub caught_up: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Returns the membership change that a leader should make next, or `None` if the rule is met.
///
/// `statuses` contains each replica that the leader knows of, itself included; a member that is
/// missing counts as dead. Call this function again once the change is committed.
///
/// Load pattern: one loss after another, each as soon as the rule is met again or at any moment of a
/// planned replacement, and silences of hosts that are not lost.
pub fn next_change(members: &Members, leader: &Replica, statuses: &[Status]) -> Option<Change> {
    let view = View {
        members,
        leader,
        statuses,
    };
    view.remove_dead_learner()
        .or_else(|| view.remove_dead_voter())
        .or_else(|| view.remove_leaving())
        .or_else(|| view.promote())
        .or_else(|| view.add_learner())
        .or_else(|| view.remove_surplus())
}

struct View<'a> {
    members: &'a Members,
    leader: &'a Replica,
    statuses: &'a [Status],
}

impl View<'_> {
    fn status(&self, replica: &Replica) -> Option<&Status> {
        let mut all = self.statuses.iter();
        all.find(|status| status.replica == *replica)
    }

    fn is_alive(&self, replica: &Replica) -> bool {
        replica == self.leader || self.status(replica).is_some_and(|s| s.alive)
    }

    fn voter_count(&self) -> usize {
        self.members.voters().len()
    }

    fn alive_count(&self) -> usize {
        let voters = self.members.voters().iter();
        voters.filter(|voter| self.is_alive(voter)).count()
    }

    fn dead_voters(&self) -> impl Iterator<Item = &Replica> {
        let voters = self.members.voters().iter();
        voters.filter(|voter| !self.is_alive(voter))
    }

    fn leaving_voter(&self) -> Option<&Replica> {
        let mut voters = self.members.voters().iter();
        voters.find(|voter| {
            *voter != self.leader && self.status(voter).is_some_and(|status| status.leaving)
        })
    }

    /// Returns the number of voters that reply, by domain.
    fn voters_by_domain(&self) -> IndexMap<&id::Domain, usize> {
        let mut domains = IndexMap::new();
        for voter in self.members.voters() {
            if let Some(status) = self.status(voter).filter(|_| self.is_alive(voter)) {
                *domains.entry(&status.domain).or_default() += 1;
            }
        }
        domains
    }

    /// Returns whether the replica could vote: no other replica of its host does.
    fn is_free(&self, status: &Status) -> bool {
        let mut voters = self.members.voters().iter();
        let usable = status.alive && status.disk && !status.leaving;
        usable && !voters.any(|v| v.host == status.replica.host && self.is_alive(v))
    }

    /// Returns the replica in the domain with the fewest voters.
    fn best<'s>(&self, statuses: impl Iterator<Item = &'s Status>) -> Option<&'s Status> {
        let domains = self.voters_by_domain();
        statuses.min_by_key(|status| domains.get(&status.domain).copied().unwrap_or(0))
    }

    fn ready_learners(&self) -> impl Iterator<Item = &Status> {
        let learners = self.members.learners().iter();
        let known = learners.filter_map(|learner| self.status(learner));
        known.filter(|status| status.caught_up && self.is_free(status))
    }

    fn remove_dead_learner(&self) -> Option<Change> {
        let mut learners = self.members.learners().iter();
        let dead = learners.find(|learner| !self.is_alive(learner))?;
        Some(Change::Remove(dead.clone()))
    }

    /// Removes a dead voter if a learner can replace it at once, or if the other voters tolerate
    /// more losses without it.
    fn remove_dead_voter(&self) -> Option<Change> {
        let alive = self.alive_count();
        let dead = self.pick_dead_voter()?;
        let replaceable = self.ready_learners().next().is_some();
        // The quorum of those that reply is smaller than that of all.
        let tolerates_more = alive >= MIN_VOTERS && alive / 2 < self.voter_count() / 2;
        let has_quorum = alive > (self.voter_count() - 1) / 2;
        let removable = (replaceable || tolerates_more) && has_quorum;
        removable.then(|| Change::Remove(dead.clone()))
    }

    /// Returns a dead voter, preferably one whose host has a learner that could replace it.
    fn pick_dead_voter(&self) -> Option<&Replica> {
        let returned = |voter: &&Replica| {
            let mut ready = self.ready_learners();
            ready.any(|status| status.replica.host == voter.host)
        };
        let mut dead = self.dead_voters();
        dead.find(returned).or_else(|| self.dead_voters().next())
    }

    /// Removes a voter that is about to stop, once its replacement is a voter.
    fn remove_leaving(&self) -> Option<Change> {
        let replaced = self.voter_count() > MIN_VOTERS && self.voter_count().is_multiple_of(2);
        let leaving = self.leaving_voter().filter(|_| replaced)?;
        Some(Change::Remove(leaving.clone()))
    }

    /// Promotes a learner to reach an odd number of voters, or to replace one that replies: it is
    /// removed afterwards, so that the log never tolerates fewer losses.
    fn promote(&self) -> Option<Change> {
        let best = self.best(self.ready_learners())?;
        let voters = self.voter_count();
        if voters > MAX_VOTERS {
            return None;
        }
        let pair = voters < MAX_VOTERS && self.ready_learners().count() >= 2;
        let wanted = voters < MIN_VOTERS
            || voters.is_multiple_of(2)
            || pair
            || self.leaving_voter().is_some()
            || self.evens_out(best);
        wanted.then(|| Change::Promote(best.replica.clone()))
    }

    /// Returns whether the replica is in a domain with two voters fewer than another, which a loss
    /// of that domain would make matter.
    fn evens_out(&self, status: &Status) -> bool {
        let domains = self.voters_by_domain();
        let own = domains.get(&status.domain).copied().unwrap_or(0);
        domains.values().any(|other| *other >= own + 2)
    }

    fn add_learner(&self) -> Option<Change> {
        if self.members.learners().len() >= MAX_LEARNERS {
            return None;
        }
        let spares = self.statuses.iter();
        let spares = spares.filter(|s| !self.members.contains(&s.replica) && self.is_free(s));
        let best = self.best(spares)?;
        Some(Change::AddLearner(best.replica.clone()))
    }

    /// Removes a voter beyond an odd number, from the domain with the most voters, unless a learner
    /// may be promoted to make the number odd.
    fn remove_surplus(&self) -> Option<Change> {
        let voters = self.voter_count();
        let even = voters > MIN_VOTERS && voters.is_multiple_of(2);
        let grows = voters < MAX_VOTERS && !self.members.learners().is_empty();
        if !even || grows || self.dead_voters().next().is_some() {
            return None;
        }
        let domains = self.voters_by_domain();
        let voters = self.members.voters().iter();
        let others = voters.filter(|voter| *voter != self.leader);
        let surplus = others.max_by_key(|voter| {
            let domain = self.status(voter).map(|status| &status.domain);
            domain.and_then(|domain| domains.get(domain)).copied()
        })?;
        Some(Change::Remove(surplus.clone()))
    }
}
