//! The quorum rule of a domain's log: n local voters and n - 1 remote witnesses.
//!
//! Locals are never fewer than witnesses, so every quorum holds a local and no other domain can
//! act for one that is cut off. Where locals are more than witnesses, the locals alone are a
//! quorum and a cut domain goes on.

use crate::membership::{Change, Members, Replica};

/// The most local voters of a domain, however large the domain.
const MAX_LOCALS: usize = 3;

/// What the leader knows of one replica that could be a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The replica, in its present life.
    pub replica: Replica,
    /// Whether the host is in the log's own domain.
    pub local: bool,
    /// Whether its records outlive a restart.
    pub disk: bool,
    /// Whether it answers.
    pub alive: bool,
    /// Whether, as a learner, it holds all that is committed.
    pub caught_up: bool,
}

/// Tells whether each quorum of so many local voters and witnesses holds a local.
pub fn quorum_holds_local(locals: usize, witnesses: usize) -> bool {
    let quorum = (locals + witnesses) / 2 + 1;
    quorum > witnesses
}

/// Returns the change that a leader should make next, or none where the rule is met.
///
/// `statuses` names each host that the leader knows of in its present life; a member in an older
/// life counts as dead, and one whose host is not named as a dead witness. The leader itself must
/// be named, alive and local: a witness that leads should hand over first. Call it again once the
/// change is committed. Only replicas that have been silent for long should be named dead.
pub fn next_change(members: &Members, leader: &Replica, statuses: &[Status]) -> Option<Change> {
    let view = View {
        members,
        leader,
        statuses,
    };
    view.drop_dead_learner()
        .or_else(|| view.drop_dead_local())
        .or_else(|| view.drop_witness())
        .or_else(|| view.drop_surplus_local())
        .or_else(|| view.add_local())
        .or_else(|| view.add_witness())
}

struct View<'a> {
    members: &'a Members,
    leader: &'a Replica,
    statuses: &'a [Status],
}

impl View<'_> {
    fn status(&self, replica: &Replica) -> Option<&Status> {
        let mut all = self.statuses.iter();
        all.find(|status| &status.replica == replica)
    }

    /// Returns what is known of the replica's host, in whichever life.
    fn host(&self, replica: &Replica) -> Option<&Status> {
        let mut all = self.statuses.iter();
        all.find(|status| status.replica.host == replica.host)
    }

    fn is_local(&self, replica: &Replica) -> bool {
        self.host(replica).is_some_and(|s| s.local)
    }

    fn is_alive(&self, replica: &Replica) -> bool {
        replica == self.leader || self.status(replica).is_some_and(|s| s.alive)
    }

    fn has_disk(&self, replica: &Replica) -> bool {
        self.host(replica).is_some_and(|s| s.disk)
    }

    fn voters(&self, local: bool) -> Vec<&Replica> {
        let voters = self.members.voters().iter();
        voters.filter(|v| self.is_local(v) == local).collect()
    }

    /// The number of locals to aim for: those that live, up to the limit.
    fn wanted_locals(&self) -> usize {
        let alive = self.statuses.iter().filter(|s| s.local && s.alive);
        alive.count().clamp(1, MAX_LOCALS)
    }

    /// The number of witnesses to keep. Where a spare local will soon count, those for it stay.
    fn kept_witnesses(&self) -> usize {
        self.wanted_locals() - 1
    }

    /// The number of witnesses that the locals that count already allow.
    fn wanted_witnesses(&self) -> usize {
        let locals = self.voters(true).len().min(self.wanted_locals());
        locals.saturating_sub(1)
    }

    /// A removal is safe for progress where the living voters that remain are a quorum.
    fn may_remove(&self, replica: &Replica) -> bool {
        let rest = self.members.voters().iter().filter(|v| *v != replica);
        let rest: Vec<&Replica> = rest.collect();
        let alive = rest.iter().filter(|v| self.is_alive(v)).count();
        replica != self.leader && alive > rest.len() / 2
    }

    fn drop_dead_learner(&self) -> Option<Change> {
        let mut learners = self.members.learners().iter();
        let dead = learners.find(|learner| !self.is_alive(learner))?;
        Some(Change::Remove(dead.clone()))
    }

    /// Drops a dead local. Witnesses that would outnumber the locals go first.
    fn drop_dead_local(&self) -> Option<Change> {
        let locals = self.voters(true);
        let witnesses = self.voters(false);
        let dead = locals.iter().find(|local| !self.is_alive(local))?;
        if !quorum_holds_local(locals.len() - 1, witnesses.len()) {
            return self.pick_witness(&witnesses);
        }
        self.removal(dead)
    }

    fn removal(&self, replica: &Replica) -> Option<Change> {
        let removable = self.may_remove(replica);
        removable.then(|| Change::Remove(replica.clone()))
    }

    fn pick_witness(&self, witnesses: &[&Replica]) -> Option<Change> {
        let dead = witnesses.iter().find(|w| !self.is_alive(w));
        let last = witnesses.iter().rfind(|w| **w != self.leader);
        self.removal(dead.or(last)?)
    }

    /// Drops a witness beyond the rule, or a dead one.
    ///
    /// A dead witness is kept while no other domain can be reached, unless enough locals have
    /// disks to be a quorum after a restart of the whole domain.
    fn drop_witness(&self) -> Option<Change> {
        let witnesses = self.voters(false);
        if witnesses.len() > self.kept_witnesses() {
            return self.pick_witness(&witnesses);
        }
        let dead = witnesses.iter().find(|w| !self.is_alive(w))?;
        if self.reaches_others() || self.locals_survive_restart() {
            return self.removal(dead);
        }
        None
    }

    fn reaches_others(&self) -> bool {
        self.statuses.iter().any(|s| !s.local && s.alive)
    }

    fn locals_survive_restart(&self) -> bool {
        let locals = self.voters(true);
        let durable = locals.iter().filter(|local| self.has_disk(local)).count();
        durable > locals.len() / 2
    }

    /// Drops a local beyond the limit, one without a disk first.
    fn drop_surplus_local(&self) -> Option<Change> {
        let locals = self.voters(true);
        if locals.len() <= MAX_LOCALS {
            return None;
        }
        let others = || locals.iter().rev().filter(|local| **local != self.leader);
        let worst = others().find(|local| !self.has_disk(local));
        self.removal(worst.or(others().next())?)
    }

    fn learner(&self, local: bool) -> Option<&Replica> {
        let learners = self.members.learners().iter();
        let ready = |learner: &&Replica| {
            let status = self.status(learner);
            status.is_some_and(|s| s.local == local && s.alive && s.caught_up)
        };
        learners.filter(|l| ready(l)).find(|l| self.is_free(l))
    }

    fn is_free(&self, replica: &Replica) -> bool {
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
            return self.grow(true);
        }
        let mut others = locals.iter().filter(|local| **local != self.leader);
        let lacks_disk = others.any(|local| !self.has_disk(local));
        lacks_disk.then(|| self.add_disk())?
    }

    /// Counts a spare local with a disk before one without makes room for it, so that no fewer
    /// losses are tolerated meanwhile.
    fn add_disk(&self) -> Option<Change> {
        let ready = self.learner(true).filter(|ready| self.has_disk(ready));
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
        self.grow(false)
    }

    /// Promotes a learner that has caught up, else teaches a spare.
    fn grow(&self, local: bool) -> Option<Change> {
        if let Some(ready) = self.learner(local) {
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
            wanted && !self.members.contains(&s.replica) && self.is_free(&s.replica)
        };
        let spare = spares.find(fits)?;
        Some(Change::AddLearner(spare.replica.clone()))
    }
}
