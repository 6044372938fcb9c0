//! The quorum rule of a domain's log: which voters a leader keeps while hosts are lost, return and
//! the domain is cut off.
//!
//! A state is a membership, what lives, and who holds the newest committed entry; the changes are
//! those of the product's own rule. An adversary picks the quorum that each commit reaches.

use yucca_log::membership::{Change, Members, Replica, Status, next_change, quorum_holds_local};

use crate::search;

/// A fault put into the model to show that the search would find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// None: the product as it is.
    None,
    /// Lost locals are dropped and witnesses are kept.
    WitnessesRetained,
    /// A diskless voter votes again after a restart.
    IncarnationReused,
}

/// One host.
#[derive(Debug, Clone)]
pub struct Host {
    /// Whether it is in the log's own domain.
    pub local: bool,
    /// Whether its records outlive a restart.
    pub disk: bool,
}

/// The bounds of a search.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The hosts. The first voters are the first three locals and the first two others.
    pub hosts: Vec<Host>,
    /// How many losses may happen in all.
    pub losses: u8,
    /// Whether the domain may be cut off.
    pub cuts: bool,
    /// The fault put in.
    pub mutant: Mutant,
}

impl Setup {
    /// Returns a domain of so many hosts, some with disks, and so many witnesses with disks.
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

/// The names of hosts, in order.
const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn replica(index: usize, incarnation: u64) -> Option<Replica> {
    let host = NAMES.get(index)?.parse().ok()?;
    Some(Replica { host, incarnation })
}

fn index(replica: &Replica) -> usize {
    let position = NAMES.iter().position(|name| *name == replica.host.as_str());
    position.unwrap_or_default()
}

/// A state of the search.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    members: Members,
    incarnations: Vec<u64>,
    alive: Vec<bool>,
    /// The voters that hold the newest committed entry.
    holders: Vec<Replica>,
    /// Whether the domain is cut off from all others.
    cut: bool,
    losses: u8,
    /// How many more voters may be lost before the rule is met again.
    tolerated: usize,
    step: Step,
}

/// The step that led to a state. All steps are equal, so that they do not tell states apart.
#[derive(Debug, Clone)]
struct Step(String);

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
        present.filter_map(|(i, life)| replica(i, *life)).collect()
    }

    fn is_present(&self, replica: &Replica) -> bool {
        self.incarnations[index(replica)] == replica.incarnation
    }

    /// Whether the replica answers the domain's hosts.
    fn answers(&self, setup: &Setup, replica: &Replica) -> bool {
        let reached = setup.is_local(replica) || !self.cut;
        self.is_present(replica) && self.alive[index(replica)] && reached
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
        let able = answering.into_iter();
        able.filter(|voter| setup.is_local(voter) && self.holders.contains(voter))
            .collect()
    }

    fn after(&self, step: String) -> Self {
        Self {
            step: Step(step),
            ..self.clone()
        }
    }

    /// Whether the rule is met, all voters live and nothing is cut.
    fn is_whole(&self, setup: &Setup) -> bool {
        let answering = self.answering(setup, &self.members);
        let leaders = self.leaders(setup);
        let met = leaders
            .iter()
            .all(|leader| self.change(setup, leader).is_none());
        let whole = answering.len() == self.members.voters().len();
        whole && met && !leaders.is_empty() && !self.cut
    }

    /// Restores the tolerated losses once the rule is met.
    fn settle(mut self, setup: &Setup) -> Self {
        if self.is_whole(setup) {
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

    fn come_back(&self, host: usize) -> Option<Self> {
        if self.alive[host] {
            return None;
        }
        let mut next = self.after(format!("{} comes back", NAMES[host]));
        next.alive[host] = true;
        Some(next)
    }

    /// The domain is cut off, which is tolerated where the rule is met, or reached again.
    fn toggle_cut(&self, setup: &Setup) -> Option<Self> {
        if !setup.cuts || (!self.cut && !self.is_whole(setup)) {
            return None;
        }
        let mut next = self.after(format!("the domain is cut off: {}", !self.cut));
        next.cut = !self.cut;
        next.tolerated = 0;
        Some(next)
    }

    /// A leader makes the change that the rule asks for, or commits an entry.
    fn act(&self, setup: &Setup, leader: &Replica) -> Vec<Self> {
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

/// Returns the smallest quorums among the voters that hold the leader.
fn quorums(voters: &[Replica], size: usize, leader: &Replica) -> Vec<Vec<Replica>> {
    let subsets = 0_u32..1 << voters.len();
    let fitting = subsets.filter(|subset| subset.count_ones() as usize == size);
    let chosen = fitting.map(|subset| {
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
        vec![start.settle(self)]
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for host in 0..self.hosts.len() {
            next.extend(state.lose(self, host));
            next.extend(state.come_back(host));
        }
        next.extend(state.toggle_cut(self));
        for leader in state.leaders(self) {
            next.extend(state.act(self, &leader));
        }
        next.into_iter().map(|state| state.settle(self)).collect()
    }

    fn violation(&self, state: &State) -> Option<String> {
        let (locals, witnesses) = (state.count(self, true), state.count(self, false));
        if !quorum_holds_local(locals, witnesses) {
            return Some("a quorum without a local is possible".into());
        }
        let quorum = state.members.quorum();
        let able = state.members.voters().iter().filter(|voter| {
            let back = state.alive[index(voter)] || self.has_disk(voter);
            state.is_present(voter) && (back || self.mutant == Mutant::IncarnationReused)
        });
        let forgetful = able.filter(|voter| !state.holders.contains(voter));
        if forgetful.count() >= quorum {
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
