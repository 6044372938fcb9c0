//! The quorum rule of a domain's log: n local voters and n - 1 remote witnesses.
//!
//! There are never fewer local voters than witnesses. Every quorum therefore includes a local voter,
//! and no other domain can act for a domain that is cut off. When there are more local voters than
//! witnesses, the local voters alone are a quorum, and a domain that is cut off continues to work.

use crate::membership::{Change, Members, Replica};

/// Maximum number of local voters of a domain, whatever its size.
const MAX_LOCALS: usize = 3;

/// Status of a replica that is or could be a member, as seen by the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The replica, with the host's current incarnation.
    pub replica: Replica,
    /// Whether the host is in the log's own domain.
    pub local: bool,
    /// Whether its records survive a restart.
    pub disk: bool,
    /// Whether it replies.
    pub alive: bool,
    /// Whether it is a learner that has caught up and may be promoted.
    pub caught_up: bool,
}

/// Returns whether every quorum of these numbers of local voters and witnesses includes a local.
pub fn quorum_holds_local(locals: usize, witnesses: usize) -> bool {
    let quorum = (locals + witnesses) / 2 + 1;
    quorum > witnesses
}

/// Returns the membership change that a leader should make next, or `None` if the rule is met.
///
/// `statuses` contains each host that the leader knows of, with its current incarnation. A member
/// with an older incarnation counts as dead, and a member whose host is missing counts as a dead
/// witness. The leader itself must be included, alive and local: a witness that leads should
/// transfer its leadership first. Call this function again once the change is committed. Only
/// replicas that have not replied for a long time should be reported as dead.
pub fn next_change(members: &Members, leader: &Replica, statuses: &[Status]) -> Option<Change> {
    let view = View {
        members,
        leader,
        statuses,
    };
    view.remove_dead_learner()
        .or_else(|| view.remove_dead_local())
        .or_else(|| view.remove_witness())
        .or_else(|| view.remove_surplus_local())
        .or_else(|| view.add_local())
        .or_else(|| view.add_witness())
}

struct View<'a> {
    members: &'a Members,
    leader: &'a Replica,
    statuses: &'a [Status],
}

impl View<'_> {
    fn replica_status(&self, replica: &Replica) -> Option<&Status> {
        let mut all = self.statuses.iter();
        all.find(|status| &status.replica == replica)
    }

    /// Returns the status of the replica's host, whatever its incarnation.
    fn host_status(&self, replica: &Replica) -> Option<&Status> {
        let mut all = self.statuses.iter();
        all.find(|status| status.replica.host == replica.host)
    }

    fn is_local(&self, replica: &Replica) -> bool {
        self.host_status(replica).is_some_and(|s| s.local)
    }

    fn is_alive(&self, replica: &Replica) -> bool {
        replica == self.leader || self.replica_status(replica).is_some_and(|s| s.alive)
    }

    fn has_disk(&self, replica: &Replica) -> bool {
        self.host_status(replica).is_some_and(|s| s.disk)
    }

    fn voters(&self, local: bool) -> Vec<&Replica> {
        let voters = self.members.voters().iter();
        voters.filter(|v| self.is_local(v) == local).collect()
    }

    /// Returns the intended number of local voters: all local replicas that are alive, up to the
    /// limit.
    fn wanted_locals(&self) -> usize {
        let alive = self.statuses.iter().filter(|s| s.local && s.alive);
        alive.count().clamp(1, MAX_LOCALS)
    }

    /// Returns the maximum number of witnesses. It allows for local replicas that are alive but not
    /// voters yet, so that witnesses are not removed just before such a replica is promoted.
    fn max_witnesses(&self) -> usize {
        self.wanted_locals() - 1
    }

    /// Returns the number of witnesses that the current local voters allow.
    fn wanted_witnesses(&self) -> usize {
        let locals = self.voters(true).len().min(self.wanted_locals());
        locals.saturating_sub(1)
    }

    /// Returns whether the replica may be removed: it is not the leader, and the remaining voters
    /// that are alive form a quorum, so that the log still makes progress.
    fn may_remove(&self, replica: &Replica) -> bool {
        let rest = self.members.voters().iter().filter(|v| *v != replica);
        let rest: Vec<&Replica> = rest.collect();
        let alive = rest.iter().filter(|v| self.is_alive(v)).count();
        replica != self.leader && alive > rest.len() / 2
    }

    fn remove_dead_learner(&self) -> Option<Change> {
        let mut learners = self.members.learners().iter();
        let dead = learners.find(|learner| !self.is_alive(learner))?;
        Some(Change::Remove(dead.clone()))
    }

    /// Removes a dead local voter. Witnesses that would then outnumber the local voters are removed
    /// first.
    fn remove_dead_local(&self) -> Option<Change> {
        let locals = self.voters(true);
        let witnesses = self.voters(false);
        let dead = locals.iter().find(|local| !self.is_alive(local))?;
        if !quorum_holds_local(locals.len() - 1, witnesses.len()) {
            return self.pick_witness_removal(&witnesses);
        }
        self.removal(dead)
    }

    fn removal(&self, replica: &Replica) -> Option<Change> {
        let removable = self.may_remove(replica);
        removable.then(|| Change::Remove(replica.clone()))
    }

    fn pick_witness_removal(&self, witnesses: &[&Replica]) -> Option<Change> {
        let dead = witnesses.iter().find(|w| !self.is_alive(w));
        let last = witnesses.iter().rfind(|w| **w != self.leader);
        self.removal(dead.or(last)?)
    }

    /// Removes a witness beyond the maximum, or a dead one.
    ///
    /// A dead witness stays a member while no other domain can be reached, unless enough local
    /// voters have disks to form a quorum after a restart of the whole domain.
    fn remove_witness(&self) -> Option<Change> {
        let witnesses = self.voters(false);
        if witnesses.len() > self.max_witnesses() {
            return self.pick_witness_removal(&witnesses);
        }
        let dead = witnesses.iter().find(|w| !self.is_alive(w))?;
        if self.reaches_other_domain() || self.locals_survive_restart() {
            return self.removal(dead);
        }
        None
    }

    fn reaches_other_domain(&self) -> bool {
        self.statuses.iter().any(|s| !s.local && s.alive)
    }

    fn locals_survive_restart(&self) -> bool {
        let locals = self.voters(true);
        let durable = locals.iter().filter(|local| self.has_disk(local)).count();
        durable > locals.len() / 2
    }

    /// Removes a local voter beyond the limit, preferably one without a disk.
    fn remove_surplus_local(&self) -> Option<Change> {
        let locals = self.voters(true);
        if locals.len() <= MAX_LOCALS {
            return None;
        }
        let others = || locals.iter().rev().filter(|local| **local != self.leader);
        let worst = others().find(|local| !self.has_disk(local));
        self.removal(worst.or(others().next())?)
    }

    fn ready_learner(&self, local: bool) -> Option<&Replica> {
        let learners = self.members.learners().iter();
        let ready = |learner: &&Replica| {
            let status = self.replica_status(learner);
            status.is_some_and(|s| s.local == local && s.alive && s.caught_up)
        };
        learners
            .filter(|l| ready(l))
            .find(|l| self.has_no_voter_on_host(l))
    }

    fn has_no_voter_on_host(&self, replica: &Replica) -> bool {
        let mut voters = self.members.voters().iter();
        !voters.any(|voter| voter.host == replica.host)
    }

    fn is_learning(&self, local: bool) -> bool {
        let mut learners = self.members.learners().iter();
        learners.any(|learner| self.is_local(learner) == local)
    }

    fn add_local(&self) -> Option<Change> {
        let locals = self.voters(true);
        if locals.len() < self.wanted_locals() {
            return self.add_or_promote(true);
        }
        let mut others = locals.iter().filter(|local| **local != self.leader);
        let lacks_disk = others.any(|local| !self.has_disk(local));
        lacks_disk.then(|| self.add_local_with_disk())?
    }

    /// Promotes a spare local replica with a disk before the voter without one that it replaces is
    /// removed, so that the log does not tolerate fewer losses in between.
    fn add_local_with_disk(&self) -> Option<Change> {
        let ready = self
            .ready_learner(true)
            .filter(|ready| self.has_disk(ready));
        if let Some(ready) = ready {
            return Some(Change::Promote(ready.clone()));
        }
        if self.is_learning(true) {
            return None;
        }
        self.spare(true, true)
    }

    fn add_witness(&self) -> Option<Change> {
        if self.voters(false).len() >= self.wanted_witnesses() {
            return None;
        }
        self.add_or_promote(false)
    }

    /// Promotes a learner that has caught up, or else adds a spare replica as a learner.
    fn add_or_promote(&self, local: bool) -> Option<Change> {
        if let Some(ready) = self.ready_learner(local) {
            return Some(Change::Promote(ready.clone()));
        }
        if self.is_learning(local) {
            return None;
        }
        self.spare(local, true).or_else(|| self.spare(local, false))
    }

    fn spare(&self, local: bool, disk: bool) -> Option<Change> {
        let mut spares = self.statuses.iter();
        let fits = |s: &&Status| {
            let wanted = s.local == local && s.alive && s.disk == disk;
            wanted && !self.members.contains(&s.replica) && self.has_no_voter_on_host(&s.replica)
        };
        let spare = spares.find(fits)?;
        Some(Change::AddLearner(spare.replica.clone()))
    }
}
