//! A state of the search of the replicated log, and its steps.

use std::fmt::Write;
use std::hash;
use std::rc;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3;
use yucca_log::{entry, membership, message, node, storage};
use yucca_wire::id;

use crate::replica::{Mutant, Setup, leads, replicas};

/// Time of every step; later than the start, so that a lease may have been renewed.
const NOW: Duration = Duration::from_millis(1);

/// A host.
#[derive(Clone)]
struct Host {
    node: rc::Rc<node::Node>,
    disk: rc::Rc<storage::Image>,
    pending: Option<rc::Rc<Pending>>,
    incarnation: u64,
    /// Digest of the other fields.
    digest: u128,
}

/// Records that are not synced yet.
struct Pending {
    sequence: u64,
    records: Vec<storage::Record>,
}

/// A message in flight.
#[derive(Clone)]
struct Envelope {
    from: usize,
    to: usize,
    message: rc::Rc<message::Message>,
    digest: u128,
}

/// Number of steps of each bounded kind that are still allowed.
#[derive(Debug, Clone)]
struct Budget {
    campaigns: Vec<u8>,
    crashes: Vec<u8>,
    proposals: u8,
    duplicates: u8,
    changes: Vec<bool>,
}

/// A committed entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Committed {
    /// Term in which the entry was proposed.
    entry: entry::Term,
    /// Term of the leader that committed it.
    by: entry::Term,
}

/// A state of the search.
#[derive(Clone)]
pub struct State {
    hosts: Vec<Host>,
    messages: Vec<Envelope>,
    budget: Budget,
    /// Leader of each term.
    leaders: IndexMap<entry::Term, usize>,
    /// Entries that were committed.
    committed: IndexMap<id::Version, Committed>,
    violation: Option<String>,
    label: String,
    digest: u128,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for State {}

impl hash::Hash for State {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

fn digest_of(value: &impl std::fmt::Debug) -> u128 {
    xxh3::xxh3_128(format!("{value:?}").as_bytes())
}

impl Host {
    fn update_digest(&mut self) {
        let mut text = format!("{:?}{:?}{}", self.node, self.disk, self.incarnation);
        if let Some(pending) = &self.pending {
            // Writing to a string does not fail.
            let _ = write!(text, "{}{:?}", pending.sequence, pending.records);
        }
        self.digest = xxh3::xxh3_128(text.as_bytes());
    }

    /// Writes the pending records to the disk and returns their sequence number.
    fn write_pending(&mut self) -> Option<u64> {
        let pending = self.pending.take()?;
        let mut image = storage::Image::clone(&self.disk);
        for record in pending.records.clone() {
            image.apply(record);
        }
        self.disk = rc::Rc::new(image);
        Some(pending.sequence)
    }
}

impl State {
    /// Returns the initial state.
    pub fn new(setup: &Setup) -> Self {
        let members = membership::Members::new(replicas(setup.hosts));
        let start = storage::Recovered::bootstrapped(1, entry::Cluster(1), members);
        let hosts = replicas(setup.hosts).into_iter().map(|replica| {
            let config = config(setup, replica.host);
            Host {
                node: rc::Rc::new(node::Node::new(config, start.clone())),
                disk: rc::Rc::new(start.image.clone()),
                pending: None,
                incarnation: 1,
                digest: 0,
            }
        });
        let mut state = Self {
            hosts: hosts.collect(),
            messages: Vec::new(),
            budget: Budget {
                campaigns: setup.campaigns.clone(),
                crashes: setup.crashes.clone(),
                proposals: setup.proposals,
                duplicates: setup.duplicates,
                changes: vec![true; setup.changes.len()],
            },
            leaders: IndexMap::new(),
            committed: IndexMap::new(),
            violation: None,
            label: "start".into(),
            digest: 0,
        };
        for host in &mut state.hosts {
            host.update_digest();
        }
        if let Some(cut) = setup.cut {
            state.lead_and_cut(setup, cut);
        }
        state.normalize();
        state
    }

    /// Elects replica 0 and delivers all messages. In all later steps, replica `cut` is cut off
    /// from replica 0.
    fn lead_and_cut(&mut self, setup: &Setup, cut: usize) {
        let connected = Setup {
            cut: None,
            ..setup.clone()
        };
        self.budget.campaigns[0] += 1;
        if let Some(next) = self.campaign(&connected, 0) {
            *self = next;
        }
        while let Some(next) = self.deliver(&connected, 0, false) {
            *self = next;
        }
        self.label = format!("replica 0 leads, {cut} is cut off from it");
    }

    /// Returns the number of messages in flight.
    pub fn message_count(&self) -> usize {
        self.messages.len()
    }

    /// Returns the violated invariant, if any.
    pub fn violation(&self) -> Option<String> {
        self.violation.clone()
    }

    /// Returns a description of the step that led to this state.
    pub fn label(&self) -> &str {
        &self.label
    }

    /// Drops messages without effect, sorts the others and updates the digest.
    fn normalize(&mut self) {
        // The receiver would only refuse a message of an earlier term; it counts as lost.
        let terms: Vec<entry::Term> = self.hosts.iter().map(|h| h.node.term()).collect();
        self.messages
            .retain(|envelope| envelope.message.term >= terms[envelope.to]);
        self.messages.sort_by_key(|envelope| envelope.digest);
        self.messages.dedup_by_key(|envelope| envelope.digest);
        let hosts: Vec<u128> = self.hosts.iter().map(|host| host.digest).collect();
        let messages: Vec<u128> = self.messages.iter().map(|l| l.digest).collect();
        // What was observed so far is part of a state: later steps are checked against it.
        let history = (&self.leaders, &self.committed, &self.violation);
        self.digest = digest_of(&(hosts, messages, history, &self.budget));
    }

    fn after(&self, label: String) -> Self {
        let mut next = self.clone();
        next.label = label;
        next
    }

    /// The election timer of a replica expires.
    pub fn campaign(&self, setup: &Setup, host: usize) -> Option<Self> {
        if self.budget.campaigns[host] == 0 || leads(&self.hosts[host].node) {
            return None;
        }
        let mut next = self.after(format!("{host} campaigns"));
        next.budget.campaigns[host] -= 1;
        next.step(setup, host, node::Input::Campaign);
        if !setup.asks_pre_votes() {
            next.grant_pre_votes(setup, host);
        }
        next.normalize();
        Some(next)
    }

    fn grant_pre_votes(&mut self, setup: &Setup, candidate: usize) {
        for (other, replica) in replicas(setup.hosts).into_iter().enumerate() {
            if other == candidate {
                continue;
            }
            let node = &self.hosts[candidate].node;
            let reply = message::VoteReply {
                granted: true,
                leader: None,
            };
            let message = message::Message {
                group: message::Group::new(GROUP),
                cluster: node.cluster(),
                from: self.hosts[other].incarnation,
                to: Some(self.hosts[candidate].incarnation),
                term: node.term(),
                body: message::Body::PreVoteReply(reply),
            };
            let from = replica.host;
            self.step(setup, candidate, node::Input::Message { from, message });
        }
    }

    /// The pending records of a replica are synced.
    pub fn sync(&self, setup: &Setup, host: usize) -> Option<Self> {
        self.hosts[host].pending.as_ref()?;
        let mut next = self.after(format!("{host} syncs"));
        next.finish_sync(setup, host);
        next.normalize();
        Some(next)
    }

    fn finish_sync(&mut self, setup: &Setup, host: usize) {
        if let Some(upto) = self.hosts[host].write_pending() {
            self.step(setup, host, node::Input::Synced { upto });
        }
    }

    /// A replica proposes an entry, if it leads.
    pub fn propose(&self, setup: &Setup, host: usize) -> Option<Self> {
        if self.budget.proposals == 0 || !leads(&self.hosts[host].node) {
            return None;
        }
        let mut next = self.after(format!("{host} proposes"));
        next.budget.proposals -= 1;
        let entry = vec![self.budget.proposals].into();
        let request_id = u64::from(self.budget.proposals);
        next.step(setup, host, node::Input::Propose { request_id, entry });
        next.normalize();
        Some(next)
    }

    /// A replica changes the membership, if it leads.
    pub fn change(&self, setup: &Setup, host: usize, index: usize) -> Option<Self> {
        if !self.budget.changes[index] || !leads(&self.hosts[host].node) {
            return None;
        }
        let change = setup.changes[index].clone();
        let mut next = self.after(format!("{host}: {change}"));
        next.budget.changes[index] = false;
        let before = self.hosts[host].node.last();
        let request_id = 1_000 + index as u64;
        next.step(setup, host, node::Input::Change { request_id, change });
        let accepted = next.hosts[host].node.last() != before;
        next.normalize();
        accepted.then_some(next)
    }

    /// The process of a replica restarts. With `written`, its pending records reach the disk before;
    /// otherwise they are lost.
    pub fn crash(&self, setup: &Setup, host: usize, written: bool) -> Option<Self> {
        let idle = self.hosts[host].pending.is_none();
        if self.budget.crashes[host] == 0 || (written && idle) {
            return None;
        }
        let mut next = self.after(format!(
            "{host} restarts, pending records written: {written}"
        ));
        next.budget.crashes[host] -= 1;
        let restarted = &mut next.hosts[host];
        if written {
            restarted.write_pending();
        }
        restarted.pending = None;
        if setup.diskless == Some(host) {
            restarted.disk = rc::Rc::default();
            restarted.incarnation += u64::from(setup.mutant != Mutant::IncarnationReused);
        }
        let recovered = storage::Recovered {
            incarnation: restarted.incarnation,
            image: storage::Image::clone(&restarted.disk),
        };
        let config = config(setup, replicas(setup.hosts)[host].host.clone());
        restarted.node = rc::Rc::new(node::Node::new(config, recovered));
        restarted.update_digest();
        next.normalize();
        Some(next)
    }

    /// A message arrives. With `again`, it also stays in flight, to be delivered a second time.
    pub fn deliver(&self, setup: &Setup, index: usize, again: bool) -> Option<Self> {
        if again && self.budget.duplicates == 0 {
            return None;
        }
        let envelope = self.messages.get(index)?.clone();
        let (from, to) = (envelope.from, envelope.to);
        let mut next = self.after(format!("{from} -> {to}: {:?}", envelope.message.body));
        if again {
            next.budget.duplicates -= 1;
        } else {
            next.messages.remove(index);
        }
        let input = node::Input::Message {
            from: replicas(setup.hosts)[from].host.clone(),
            message: message::Message::clone(&envelope.message),
        };
        next.step(setup, to, input);
        next.normalize();
        Some(next)
    }

    fn step(&mut self, setup: &Setup, host: usize, input: node::Input) {
        let mut node = node::Node::clone(&self.hosts[host].node);
        let outputs = node.step(input, NOW);
        self.hosts[host].node = rc::Rc::new(node);
        self.record_commits(host);
        for output in outputs {
            self.output(setup, host, output);
        }
        self.hosts[host].update_digest();
        if self.hosts[host].pending.is_some() && !setup.slow_sync {
            self.finish_sync(setup, host);
        }
    }

    fn output(&mut self, setup: &Setup, host: usize, output: node::Output) {
        match output {
            node::Output::Send { to, message } => self.send(setup, host, &to, message),
            node::Output::Lead { term } => self.record_leader(host, term),
            node::Output::Persist { sequence, records } => {
                self.hosts[host].pending = Some(rc::Rc::new(Pending { sequence, records }));
                if setup.mutant == Mutant::SyncSkipped {
                    self.hosts[host].pending = None;
                    self.step(setup, host, node::Input::Synced { upto: sequence });
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, setup: &Setup, from: usize, to: &id::Host, message: message::Message) {
        let names = replicas(setup.hosts);
        let Some(to) = names.iter().position(|replica| replica.host == *to) else {
            return;
        };
        let cut = setup.cut.is_some_and(|cut| {
            let ends = [from, to];
            ends.contains(&cut) && ends.contains(&0)
        });
        if cut || is_left_out(setup, &message.body) {
            return;
        }
        let digest = digest_of(&(from, to, &message));
        let message = rc::Rc::new(message);
        self.messages.push(Envelope {
            from,
            to,
            message,
            digest,
        });
    }

    /// Records a leader. Checks that its term has no other leader, and that it has all entries that
    /// were committed in earlier terms. A leader that is elected late, in a term that is over, may
    /// lack entries of later terms.
    fn record_leader(&mut self, host: usize, term: entry::Term) {
        let other = self.leaders.insert(term, host);
        if other.is_some_and(|other| other != host) {
            self.violation = Some(format!("two leaders in term {term}"));
        }
        let node = &self.hosts[host].node;
        let before = self.committed.iter().filter(|(_, known)| known.by < term);
        for (version, known) in before {
            let found = node.entry(*version).map(|entry| entry.position.term);
            if found != Some(known.entry) {
                self.violation = Some(format!("committed entry {version} is lost"));
            }
        }
    }

    /// Records the entries that are committed on a host. Checks that no other entry was committed
    /// at the same version.
    fn record_commits(&mut self, host: usize) {
        let node = rc::Rc::clone(&self.hosts[host].node);
        for version in 1..=node.commit().0 {
            let version = id::Version(version);
            let Some(entry) = node.entry(version) else {
                continue;
            };
            let found = Committed {
                entry: entry.position.term,
                by: node.term(),
            };
            let known = *self.committed.entry(version).or_insert(found);
            if known.entry != found.entry {
                self.violation = Some(format!("two entries are committed at {version}"));
            }
        }
    }

    /// Returns the greatest term of any replica.
    pub fn term(&self) -> entry::Term {
        let terms = self.hosts.iter().map(|host| host.node.term());
        terms.max().unwrap_or_default()
    }
}

/// Name of the log.
const GROUP: &str = "spec";

fn config(setup: &Setup, host: id::Host) -> node::Config {
    let mut config = node::Config::new(host, GROUP);
    config.election_timeout = setup.election_timeout();
    config.promote_lag = 0;
    config
}

/// Returns whether a message is left out of the model, as if lost: heartbeats, refused votes,
/// joins, and pre-votes if they count as granted.
fn is_left_out(setup: &Setup, body: &message::Body) -> bool {
    match body {
        message::Body::Append(append) => append.entries.is_empty(),
        message::Body::VoteReply(reply) => !reply.granted,
        message::Body::PreVote(_) | message::Body::PreVoteReply(_) => !setup.asks_pre_votes(),
        message::Body::Join
        | message::Body::JoinReply(_)
        | message::Body::Leave
        | message::Body::Left => true,
        _ => false,
    }
}
