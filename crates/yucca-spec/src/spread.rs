//! Exhaustive search of the membership rule of a spread log: which voters it has while hosts are
//! stopped by plan, lost with or without their records, return, and are replaced by others.
//!
//! A state is a membership, the hosts, and the replicas that hold the newest committed entry.
//! Membership changes are those of the product's own rule. A loss is noticed in a step of its own,
//! so that the rule also decides before. A commit may reach any smallest quorum that contains the
//! leader; other members catch up later.

use yucca_log::membership::spread::{Status, next_change};
use yucca_log::membership::{Change, Members, Replica};

use crate::quorum::{Step, index, quorums, replica};
use crate::search;

/// A fault built into the model, to show that the search detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault: the product's own rule.
    None,
    /// Each learner that has caught up is promoted, and a dead voter is removed only if another
    /// can replace it.
    GrowsByOne,
    /// A voter that is about to stop is removed before its replacement is promoted.
    LeavingRemovedFirst,
    /// A host that lost its records returns under its old incarnation.
    IncarnationReused,
}

/// The bounds of a search.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of initial voters, an odd one. The loss of less than half of them is tolerated.
    pub voters: usize,
    /// Number of hosts that may join later.
    pub spares: usize,
    /// Maximum number of losses of hosts.
    pub losses: u8,
    /// Maximum number of planned stops.
    pub stops: u8,
    /// The built-in fault.
    pub mutant: Mutant,
}

/// State of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Host {
    /// It has not been started yet.
    Absent,
    /// It runs.
    Up,
    /// It runs and is about to stop for good.
    Leaving,
    /// It does not run or can't be reached, and may return with its records.
    Silent,
    /// It does not run, has lost its records, and may return.
    Wiped,
    /// It has stopped for good.
    Gone,
}

/// A state of the search.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    members: Members,
    hosts: Vec<Host>,
    incarnations: Vec<u64>,
    /// Whether the members know that the host is silent.
    noticed: Vec<bool>,
    /// Replicas that hold the newest committed entry.
    holders: Vec<Replica>,
    losses: u8,
    stops: u8,
    /// Number of voters that may be lost now.
    tolerated: usize,
    step: Step,
}

impl State {
    fn current(&self, host: usize) -> Option<Replica> {
        replica(host, self.incarnations[host])
    }

    fn is_current(&self, replica: &Replica) -> bool {
        self.incarnations[index(replica)] == replica.incarnation
    }

    fn answers(&self, replica: &Replica) -> bool {
        let host = self.hosts[index(replica)];
        self.is_current(replica) && matches!(host, Host::Up | Host::Leaving)
    }

    /// Returns whether the leader takes the replica for alive.
    fn seems_alive(&self, replica: &Replica) -> bool {
        self.answers(replica) || !self.noticed[index(replica)]
    }

    fn answering(&self, members: &Members) -> Vec<Replica> {
        let voters = members.voters().iter();
        voters.filter(|v| self.answers(v)).cloned().collect()
    }

    /// Returns the voters that a quorum could elect now.
    fn leaders(&self) -> Vec<Replica> {
        let answering = self.answering(&self.members);
        if answering.len() < self.members.quorum() {
            return Vec::new();
        }
        let candidates = answering.into_iter();
        candidates
            .filter(|voter| self.holders.contains(voter))
            .collect()
    }

    fn statuses(&self) -> Vec<Status> {
        let joining = (0..self.hosts.len()).filter_map(|host| self.current(host));
        let joining = joining.filter(|replica| !self.members.contains(replica));
        let joining = joining.filter(|replica| self.answers(replica));
        let members = self.members.iter().cloned();
        let all = members.chain(joining);
        let statuses = all.filter_map(|replica| {
            let domain = replica.host.as_str().parse().ok()?;
            Some(Status {
                domain,
                disk: true,
                alive: self.seems_alive(&replica),
                caught_up: self.answers(&replica) && self.holders.contains(&replica),
                leaving: self.answers(&replica) && self.hosts[index(&replica)] == Host::Leaving,
                replica,
            })
        });
        statuses.collect()
    }

    fn change(&self, setup: &Setup, leader: &Replica) -> Option<Change> {
        let statuses = self.statuses();
        let mutant = match setup.mutant {
            Mutant::None | Mutant::IncarnationReused => None,
            Mutant::GrowsByOne => self.grow(&statuses),
            Mutant::LeavingRemovedFirst => self.remove_leaving(leader, &statuses),
        };
        if setup.mutant == Mutant::GrowsByOne {
            return mutant;
        }
        mutant.or_else(|| next_change(&self.members, leader, &statuses))
    }

    fn ready<'s>(&self, statuses: &'s [Status]) -> Option<&'s Status> {
        let mut ready = statuses.iter().filter(|s| s.caught_up);
        ready.find(|s| self.members.is_learner(&s.replica))
    }

    fn grow(&self, statuses: &[Status]) -> Option<Change> {
        let mut members = statuses.iter().filter(|s| !s.alive);
        let dead = members.find(|s| self.members.contains(&s.replica));
        let ready = self.ready(statuses);
        match (dead, ready) {
            (Some(dead), _) if self.members.is_learner(&dead.replica) => {
                Some(Change::Remove(dead.replica.clone()))
            }
            (Some(dead), Some(_)) => Some(Change::Remove(dead.replica.clone())),
            (None, Some(ready)) => Some(Change::Promote(ready.replica.clone())),
            _ => {
                let mut spares = statuses.iter();
                let spare = spares.find(|s| !self.members.contains(&s.replica))?;
                Some(Change::AddLearner(spare.replica.clone()))
            }
        }
    }

    fn remove_leaving(&self, leader: &Replica, statuses: &[Status]) -> Option<Change> {
        self.ready(statuses)?;
        let mut leaving = statuses.iter().filter(|s| s.leaving);
        let voter = leaving.find(|s| self.members.is_voter(&s.replica) && s.replica != *leader)?;
        Some(Change::Remove(voter.replica.clone()))
    }

    fn after(&self, step: String) -> Self {
        Self {
            step: Step(step),
            ..self.clone()
        }
    }

    /// Returns whether the rule is met, each silence is noticed and no member has to catch up.
    fn is_at_rest(&self, setup: &Setup) -> bool {
        let leaders = self.leaders();
        let mut changes = leaders.iter().map(|leader| self.change(setup, leader));
        let mut members = self.members.iter();
        let settled = members.all(|member| {
            if self.answers(member) {
                self.holders.contains(member)
            } else {
                self.noticed[index(member)]
            }
        });
        settled && !leaders.is_empty() && changes.all(|change| change.is_none())
    }

    /// Allows the next losses of voters if the state is at rest and as many hosts run as at the
    /// start.
    fn reset_tolerated(mut self, setup: &Setup) -> Self {
        let running = self.hosts.iter().filter(|host| **host == Host::Up);
        if running.count() >= setup.voters && self.is_at_rest(setup) {
            self.tolerated = setup.voters / 2;
        }
        self
    }

    /// Ends a host. The loss of a voter uses up what is tolerated.
    fn lose(&self, host: usize, how: Host) -> Option<Self> {
        let replica = self.current(host)?;
        let votes = self.members.is_voter(&replica);
        let runs = matches!(self.hosts[host], Host::Up | Host::Leaving);
        if !runs || self.losses == 0 || (votes && self.tolerated == 0) {
            return None;
        }
        let mut next = self.after(format!("{replica} is lost: {how:?}"));
        next.hosts[host] = how;
        next.noticed[host] = false;
        next.losses -= 1;
        next.tolerated -= usize::from(votes);
        if how != Host::Silent {
            next.holders.retain(|holder| *holder != replica);
        }
        Some(next)
    }

    fn notice(&self, host: usize) -> Option<Self> {
        let silent = matches!(self.hosts[host], Host::Silent | Host::Wiped | Host::Gone);
        if !silent || self.noticed[host] {
            return None;
        }
        let mut next = self.after(format!("the silence of host {host} is noticed"));
        next.noticed[host] = true;
        Some(next)
    }

    /// Starts a host: a spare one, or one that returns.
    fn start(&self, setup: &Setup, host: usize) -> Option<Self> {
        let wiped = match self.hosts[host] {
            Host::Absent | Host::Silent => false,
            Host::Wiped => true,
            Host::Up | Host::Leaving | Host::Gone => return None,
        };
        let mut next = self.after(format!("host {host} starts"));
        next.hosts[host] = Host::Up;
        next.incarnations[host] += u64::from(wiped && setup.mutant != Mutant::IncarnationReused);
        next.noticed[host] = wiped;
        Some(next)
    }

    fn stop(&self, host: usize) -> Option<Self> {
        if self.hosts[host] != Host::Up || self.stops == 0 {
            return None;
        }
        let mut next = self.after(format!("host {host} is told to stop"));
        next.hosts[host] = Host::Leaving;
        next.stops -= 1;
        Some(next)
    }

    /// Ends a host that was told to stop and is no longer a voter.
    fn exit(&self, host: usize) -> Option<Self> {
        let replica = self.current(host)?;
        if self.hosts[host] != Host::Leaving || self.members.is_voter(&replica) {
            return None;
        }
        let mut next = self.after(format!("{replica} has left"));
        next.hosts[host] = Host::Gone;
        next.noticed[host] = true;
        next.holders.retain(|holder| *holder != replica);
        Some(next)
    }

    fn catch_up(&self, host: usize) -> Option<Self> {
        let replica = self.current(host)?;
        let lacks = self.members.contains(&replica) && !self.holders.contains(&replica);
        if !lacks || !self.answers(&replica) || self.leaders().is_empty() {
            return None;
        }
        let mut next = self.after(format!("{replica} catches up"));
        next.holders.push(replica);
        next.holders.sort();
        Some(next)
    }

    /// Commits the membership change that the rule requires, or else an entry, as this leader.
    fn commit(&self, setup: &Setup, leader: &Replica) -> Vec<Self> {
        let change = self.change(setup, leader);
        let members = match &change {
            None => self.members.clone(),
            Some(change) => match self.members.with(change) {
                Ok(members) => members,
                Err(_) => return Vec::new(),
            },
        };
        let label = change.map_or("commits".into(), |change| change.to_string());
        let quorums = quorums(&self.answering(&members), members.quorum(), leader);
        let committed = quorums.into_iter().map(|holders| Self {
            members: members.clone(),
            holders,
            ..self.after(format!("{leader}: {label}"))
        });
        committed.collect()
    }
}

impl search::Model for Setup {
    type State = State;

    fn initial_states(&self) -> Vec<State> {
        let count = self.voters + self.spares;
        let members = Members::new((0..self.voters).filter_map(|host| replica(host, 1)));
        let state = |host| {
            if host < self.voters {
                Host::Up
            } else {
                Host::Absent
            }
        };
        let start = State {
            holders: members.voters().to_vec(),
            members,
            hosts: (0..count).map(state).collect(),
            incarnations: vec![1; count],
            noticed: vec![false; count],
            losses: self.losses,
            stops: self.stops,
            tolerated: 0,
            step: Step("start".into()),
        };
        vec![start.reset_tolerated(self)]
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for host in 0..state.hosts.len() {
            for how in [Host::Silent, Host::Wiped, Host::Gone] {
                next.extend(state.lose(host, how));
            }
            next.extend(state.notice(host));
            next.extend(state.start(self, host));
            next.extend(state.stop(host));
            next.extend(state.exit(host));
            next.extend(state.catch_up(host));
        }
        for leader in state.leaders() {
            next.extend(state.commit(self, &leader));
        }
        next.into_iter()
            .map(|state| state.reset_tolerated(self))
            .collect()
    }

    fn violation(&self, state: &State) -> Option<String> {
        let quorum = state.members.quorum();
        if state.answering(&state.members).len() < quorum {
            return Some("a tolerated loss leaves no quorum".into());
        }
        let voters = state.members.voters().iter();
        let able_to_vote = voters.filter(|voter| {
            let lost = matches!(state.hosts[index(voter)], Host::Wiped | Host::Gone);
            state.is_current(voter) && !lost
        });
        let lacking = able_to_vote.filter(|voter| !state.holders.contains(voter));
        if lacking.count() >= quorum {
            return Some("a quorum lacks the newest committed entry".into());
        }
        if state.leaders().is_empty() {
            return Some("no voter that answers holds the newest committed entry".into());
        }
        None
    }

    fn label(&self, state: &State) -> String {
        format!("{} ({})", state.step.0, state.members)
    }
}
