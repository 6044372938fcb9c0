//! How a replica finds a log, or founds one, and how the leader learns of it.

use indexmap::IndexSet;
use rand::Rng;
use yucca_wire::id;

use crate::entry;
use crate::membership;
use crate::message;
use crate::node::{Node, Output};
use crate::storage;

impl Node {
    /// Looks for a leader that would let this replica join.
    pub(super) fn tick_stranger(&mut self) {
        if self.now < self.join_at {
            return;
        }
        self.join_at = self.now + self.config.election_timeout;
        if self.hears_leader() {
            return;
        }
        self.try_founding();
        let members = self.members().iter().map(|member| member.host.clone());
        let mut hosts: IndexSet<id::Host> = members.collect();
        hosts.extend(self.config.bootstrap_members.iter().cloned());
        hosts.extend(self.config.peers.iter().cloned());
        hosts.shift_remove(&self.config.id);
        for host in hosts {
            self.send_join(host);
        }
    }

    pub(super) fn send_join(&mut self, to: id::Host) {
        if to == self.config.id {
            return;
        }
        let message = message::Message {
            group: self.group,
            cluster: self.cluster,
            from: self.replica.incarnation,
            to: None,
            term: self.term,
            body: message::Body::Join,
        };
        self.outputs.push(Output::Send { to, message });
    }

    pub(super) fn on_join(&mut self, sender: membership::Replica, cluster: Option<entry::Cluster>) {
        if cluster.is_some() && cluster != self.cluster {
            return;
        }
        if self.is_leader() {
            self.notice(&sender);
            return;
        }
        let reply = match self.cluster {
            None => message::JoinReply::Empty,
            Some(_) => message::JoinReply::Member(self.leader().cloned()),
        };
        self.send_free(&sender, message::Body::JoinReply(reply));
    }

    /// Reports a sender that is no member, if this replica leads.
    pub(super) fn notice(&mut self, sender: &membership::Replica) {
        if self.is_leader() && !self.members().contains(sender) {
            let replica = sender.clone();
            self.outputs.push(Output::Joining { replica });
        }
    }

    pub(super) fn on_join_reply(&mut self, sender: membership::Replica, reply: message::JoinReply) {
        match reply {
            message::JoinReply::Empty => {
                self.blanks.retain(|blank| blank.host != sender.host);
                self.blanks.insert(sender);
            }
            message::JoinReply::Member(leader) => {
                self.log_exists = true;
                if let Some(leader) = leader.filter(|leader| *leader != sender.host) {
                    self.send_join(leader);
                }
            }
        }
    }

    /// Founds the log, if this replica is the one to do it and every founder is blank.
    fn try_founding(&mut self) {
        let blanks = std::mem::take(&mut self.blanks);
        let founders = &self.config.bootstrap_members;
        if self.cluster.is_some() || self.log_exists || founders.first() != Some(&self.config.id) {
            return;
        }
        let mut others = founders.iter().skip(1);
        let all = others.all(|host| blanks.iter().any(|blank| blank.host == *host));
        if !all {
            return;
        }
        let founding = blanks.into_iter().filter(|b| founders.contains(&b.host));
        let members = membership::Members::new(founding.chain([self.replica.clone()]));
        let cluster = entry::Cluster(self.rng.random());
        self.join_cluster(cluster);
        let entry = storage::bootstrap_entry(members);
        self.log.push(entry.clone());
        self.writer.push(storage::Record::Append(vec![entry]));
        self.election_at = self.now;
    }

    fn join_cluster(&mut self, cluster: entry::Cluster) {
        self.cluster = Some(cluster);
        self.writer.push(storage::Record::Cluster(cluster));
    }

    /// Tells whether a message is of this replica's log. A blank replica answers any log that calls
    /// it by its incarnation, and joins the first that teaches it from the start.
    pub(super) fn accepts_cluster(
        &mut self,
        cluster: Option<entry::Cluster>,
        to: Option<u64>,
        body: &message::Body,
    ) -> bool {
        let called = to == Some(self.replica.incarnation);
        let Some(theirs) = cluster else {
            return called && is_reply(body);
        };
        if let Some(own) = self.cluster {
            return own == theirs;
        }
        if called && teaches(body) {
            self.join_cluster(theirs);
        }
        called && !is_reply(body)
    }
}

/// Tells whether a message gives a blank replica the start of a log.
fn teaches(body: &message::Body) -> bool {
    match body {
        message::Body::Append(append) => {
            append.previous.version.0 == 0 && !append.entries.is_empty()
        }
        message::Body::Snapshot(_) => true,
        _ => false,
    }
}

fn is_reply(body: &message::Body) -> bool {
    matches!(
        body,
        message::Body::PreVoteReply(_)
            | message::Body::VoteReply(_)
            | message::Body::AppendReply(_)
            | message::Body::ChunkReply(_)
    )
}
