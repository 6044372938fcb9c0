//! Exhaustive search of the quorum rule of a domain's log: which voters a leader retains while
//! hosts are lost and return and the domain is cut off.
//!
//! A state is a membership, the hosts that are alive, and the voters that hold the newest committed
//! entry. Membership changes are those of the product's own rule. A commit may reach any smallest
//! quorum that contains the leader.

use yucca_log::membership::{Change, Members, Replica, Status, next_change, quorum_holds_local};

use crate::search;

/// A fault built into the model, to show that the search detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault: the product's own rule.
    None,
    /// Lost local voters are removed, but no witnesses.
    WitnessesRetained,
    /// A diskless voter votes under its old incarnation after a restart.
    IncarnationReused,
}

/// A host of the model.
#[derive(Debug, Clone)]
pub struct Host {
    /// Whether it is in the log's own domain.
    pub local: bool,
    /// Whether its records survive a restart.
    pub disk: bool,
}

/// The bounds of a search.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The hosts. The initial voters are the first three local hosts and the first two others.
    pub hosts: Vec<Host>,
    /// Maximum number of losses of hosts.
    pub losses: u8,
    /// Whether the domain may be cut off from the others.
    pub cuts: bool,
    /// The built-in fault.
    pub mutant: Mutant,
}

impl Setup {
    /// Returns the bounds for a domain of `locals` hosts, the first `disks` of which have a disk,
    /// and `witnesses` hosts with disks in other domains.
    pub fn new(locals: usize, disks: usize, witnesses: usize, losses: u8) -> Self {
        let local = |number| Host {
            local: true,
            disk: number < disks,
        };
        let witness = Host {
            local: false,
            disk: true,
        };
        let mut hosts: Vec<Host> = (0..locals).map(local).collect();
        hosts.extend(vec![witness; witnesses]);
        Self {
            hosts,
            losses,
            cuts: true,
            mutant: Mutant::None,
        }
    }

    fn is_local(&self, replica: &Replica) -> bool {
        self.hosts[index(replica)].local
    }

    fn has_disk(&self, replica: &Replica) -> bool {
        self.hosts[index(replica)].disk
    }
}

/// Names of the hosts, in order.
const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

pub(crate) fn replica(index: usize, incarnation: u64) -> Option<Replica> {
    let host = NAMES.get(index)?.parse().ok()?;
    Some(Replica { host, incarnation })
}

pub(crate) fn index(replica: &Replica) -> usize {
    let position = NAMES.iter().position(|name| *name == replica.host.as_str());
    position.unwrap_or_default()
}

/// A state of the search.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    members: Members,
    incarnations: Vec<u64>,
    alive: Vec<bool>,
    /// Voters that hold the newest committed entry.
    holders: Vec<Replica>,
    /// Whether the domain is cut off from all others.
    cut: bool,
    /// Number of losses that may still happen.
    losses: u8,
    /// Number of voters that may still be lost before the rule is met again.
    tolerated: usize,
    step: Step,
}

/// Description of the step that led to a state. All steps are equal, so that states are compared
/// without them.
#[derive(Debug, Clone)]
pub(crate) struct Step(pub(crate) String);

impl PartialEq for Step {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for Step {}

impl std::hash::Hash for Step {
    fn hash<H: std::hash::Hasher>(&self, _state: &mut H) {}
}

impl State {
    fn replicas(&self) -> Vec<Replica> {
        let present = self.incarnations.iter().enumerate();
        present
            .filter_map(|(i, incarnation)| replica(i, *incarnation))
            .collect()
    }

    fn is_present(&self, replica: &Replica) -> bool {
        self.incarnations[index(replica)] == replica.incarnation
    }

    /// Returns whether the replica answers the domain's hosts.
    fn answers(&self, setup: &Setup, replica: &Replica) -> bool {
        let reachable = setup.is_local(replica) || !self.cut;
        self.is_present(replica) && self.alive[index(replica)] && reachable
    }

    fn answering(&self, setup: &Setup, members: &Members) -> Vec<Replica> {
        let voters = members.voters().iter();
        let answering = voters.filter(|voter| self.answers(setup, voter));
        answering.cloned().collect()
    }

    fn count(&self, setup: &Setup, local: bool) -> usize {
        let voters = self.members.voters().iter();
        voters.filter(|v| setup.is_local(v) == local).count()
    }

    fn change(&self, setup: &Setup, leader: &Replica) -> Option<Change> {
        let replicas = self.replicas();
        if setup.mutant == Mutant::WitnessesRetained {
            let mut voters = self.members.voters().iter();
            let lost = voters.find(|v| setup.is_local(v) && !self.answers(setup, v));
            return lost.cloned().map(Change::Remove);
        }
        let statuses = replicas.into_iter().map(|replica| Status {
            local: setup.is_local(&replica),
            disk: setup.has_disk(&replica),
            alive: self.answers(setup, &replica),
            caught_up: true,
            replica,
        });
        let statuses: Vec<Status> = statuses.collect();
        next_change(&self.members, leader, &statuses)
    }

    /// Returns the local voters that a quorum could elect now.
    fn leaders(&self, setup: &Setup) -> Vec<Replica> {
        let answering = self.answering(setup, &self.members);
        if answering.len() < self.members.quorum() {
            return Vec::new();
        }
        let candidates = answering.into_iter();
        candidates
            .filter(|voter| setup.is_local(voter) && self.holders.contains(voter))
            .collect()
    }

    fn after(&self, step: String) -> Self {
        Self {
            step: Step(step),
            ..self.clone()
        }
    }

    /// Returns whether the rule is met, all voters are alive and the domain is not cut off.
    fn is_healthy(&self, setup: &Setup) -> bool {
        let answering = self.answering(setup, &self.members);
        let leaders = self.leaders(setup);
        let met = leaders
            .iter()
            .all(|leader| self.change(setup, leader).is_none());
        let complete = answering.len() == self.members.voters().len();
        complete && met && !leaders.is_empty() && !self.cut
    }

    /// Resets the number of tolerated losses if the state is healthy: all local voters but one may
    /// be lost.
    fn reset_tolerated(mut self, setup: &Setup) -> Self {
        if self.is_healthy(setup) {
            self.tolerated = self.count(setup, true) - 1;
        }
        self
    }

    fn lose(&self, setup: &Setup, host: usize) -> Option<Self> {
        let replica = replica(host, self.incarnations[host])?;
        let votes = self.members.is_voter(&replica);
        let allowed = !votes || self.tolerated > 0;
        if !self.alive[host] || self.losses == 0 || self.cut || !allowed {
            return None;
        }
        let mut next = self.after(format!("{replica} is lost"));
        next.alive[host] = false;
        next.losses -= 1;
        next.tolerated -= usize::from(votes);
        if !setup.hosts[host].disk {
            next.holders.retain(|holder| *holder != replica);
            next.incarnations[host] += u64::from(setup.mutant != Mutant::IncarnationReused);
        }
        Some(next)
    }

    fn restart(&self, host: usize) -> Option<Self> {
        if self.alive[host] {
            return None;
        }
        let mut next = self.after(format!("{} restarts", NAMES[host]));
        next.alive[host] = true;
        Some(next)
    }

    /// Cuts the domain off or reconnects it. A cut happens in a healthy state only: it is tolerated
    /// only while the rule is met.
    fn toggle_cut(&self, setup: &Setup) -> Option<Self> {
        if !setup.cuts || (!self.cut && !self.is_healthy(setup)) {
            return None;
        }
        let mut next = self.after(format!("the domain is cut off: {}", !self.cut));
        next.cut = !self.cut;
        next.tolerated = 0;
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
        let answering = self.answering(setup, &members);
        let quorums = quorums(&answering, members.quorum(), leader);
        let committed = quorums.into_iter().map(|holders| Self {
            members: members.clone(),
            holders,
            ..self.after(format!("{leader}: {label}"))
        });
        committed.collect()
    }
}

/// Returns the smallest quorums of these voters that contain the leader.
pub(crate) fn quorums(voters: &[Replica], size: usize, leader: &Replica) -> Vec<Vec<Replica>> {
    let subsets = 0_u32..1 << voters.len();
    let quorum_sized = subsets.filter(|subset| subset.count_ones() as usize == size);
    let chosen = quorum_sized.map(|subset| {
        let members = voters.iter().enumerate();
        let inside = members.filter(|(i, _)| subset & (1 << i) != 0);
        inside.map(|(_, voter)| voter.clone()).collect()
    });
    chosen
        .filter(|quorum: &Vec<Replica>| quorum.contains(leader))
        .collect()
}

impl search::Model for Setup {
    type State = State;

    fn initial_states(&self) -> Vec<State> {
        let hosts = self.hosts.len();
        let locals = (0..hosts).filter(|i| self.hosts[*i].local).take(3);
        let others = (0..hosts).filter(|i| !self.hosts[*i].local).take(2);
        let voters = locals.chain(others).filter_map(|host| replica(host, 1));
        let members = Members::new(voters);
        let start = State {
            holders: members.voters().to_vec(),
            members,
            incarnations: vec![1; hosts],
            alive: vec![true; hosts],
            cut: false,
            losses: self.losses,
            tolerated: 0,
            step: Step("start".into()),
        };
        vec![start.reset_tolerated(self)]
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for host in 0..self.hosts.len() {
            next.extend(state.lose(self, host));
            next.extend(state.restart(host));
        }
        next.extend(state.toggle_cut(self));
        for leader in state.leaders(self) {
            next.extend(state.commit(self, &leader));
        }
        next.into_iter()
            .map(|state| state.reset_tolerated(self))
            .collect()
    }

    fn violation(&self, state: &State) -> Option<String> {
        let (locals, witnesses) = (state.count(self, true), state.count(self, false));
        if !quorum_holds_local(locals, witnesses) {
            return Some("a quorum without a local voter is possible".into());
        }
        let quorum = state.members.quorum();
        let able_to_vote = state.members.voters().iter().filter(|voter| {
            let alive_or_disk = state.alive[index(voter)] || self.has_disk(voter);
            state.is_present(voter) && (alive_or_disk || self.mutant == Mutant::IncarnationReused)
        });
        let lacking = able_to_vote.filter(|voter| !state.holders.contains(voter));
        if lacking.count() >= quorum {
            return Some("a quorum lacks the newest committed entry".into());
        }
        if state.answering(self, &state.members).len() < quorum {
            return Some("a tolerated loss leaves no quorum".into());
        }
        None
    }

    fn label(&self, state: &State) -> String {
        format!("{} ({})", state.step.0, state.members)
    }
}
