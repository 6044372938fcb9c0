//! Joining: how a replica finds or bootstraps a log, and how the leader learns of new replicas.

use std::time::Duration;

use indexmap::IndexSet;
use rand::Rng;
use yucca_wire::id;

use crate::entry;
use crate::membership;
use crate::message;
use crate::node::{Node, Output};
use crate::storage;

/// Time for which a host's word that it leads counts. A replica that is not a member asks again
/// at least once a second, so one lost answer does not matter.
const CLAIM_TTL: Duration = Duration::from_millis(2_500);

/// A host's word that it leads the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Claim {
    pub host: id::Host,
    /// Time at which it expires, since process start.
    pub until: Duration,
}

impl Node {
    /// Periodically sends [`message::Body::Join`] to all known hosts until a leader is in contact.
    pub(super) fn tick_non_voter(&mut self) {
        if self.now < self.join_at {
            return;
        }
        self.join_at = self.now + self.config.election_timeout;
        if self.has_active_leader() {
            return;
        }
        // A learner does not campaign, so only time tells it that its leader may be lost.
        self.set_leader(None);
        self.try_bootstrap();
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
        self.report_non_member(&sender);
        let reply = match self.cluster {
            None => message::JoinReply::Empty,
            Some(_) => message::JoinReply::Member(self.leader().cloned()),
        };
        self.send_now(&sender, message::Body::JoinReply(reply));
    }

    /// Reports a sender that is not a member to the owner, if this replica leads.
    pub(super) fn report_non_member(&mut self, sender: &membership::Replica) {
        if self.is_leader() && !self.members().contains(sender) {
            let replica = sender.clone();
            self.outputs.push(Output::Joining { replica });
        }
    }

    pub(super) fn on_join_reply(&mut self, sender: membership::Replica, reply: message::JoinReply) {
        match reply {
            message::JoinReply::Empty => {
                self.empty_peers.retain(|peer| peer.host != sender.host);
                self.empty_peers.insert(sender);
            }
            message::JoinReply::Member(leader) => {
                self.log_exists = true;
                // Only the leader's own word counts: others may name one that no longer leads.
                match leader {
                    Some(leader) if leader == sender.host => {
                        self.claimed_leader = Some(Claim {
                            host: leader,
                            until: self.now + CLAIM_TTL,
                        });
                    }
                    Some(leader) => self.send_join(leader),
                    None => {}
                }
            }
        }
    }

    /// Bootstraps the log if this replica is the first bootstrap member, all others have reported
    /// since the last attempt that they are empty, and no host has reported that it is a member of a
    /// log.
    fn try_bootstrap(&mut self) {
        let empty_peers = std::mem::take(&mut self.empty_peers);
        let bootstrap_members = &self.config.bootstrap_members;
        if self.cluster.is_some()
            || self.log_exists
            || bootstrap_members.first() != Some(&self.config.id)
        {
            return;
        }
        let mut others = bootstrap_members.iter().skip(1);
        let all_empty = others.all(|host| empty_peers.iter().any(|peer| peer.host == *host));
        if !all_empty {
            return;
        }
        let voters = empty_peers
            .into_iter()
            .filter(|b| bootstrap_members.contains(&b.host));
        let members = membership::Members::new(voters.chain([self.replica.clone()]));
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

    /// Returns whether a message belongs to this replica's log. An empty replica accepts requests of
    /// any log that address its incarnation, and joins the first log that sends it entries from the
    /// start or a snapshot. Replies of replicas that have not joined a log are accepted too.
    pub(super) fn accepts_cluster(
        &mut self,
        cluster: Option<entry::Cluster>,
        to: Option<u64>,
        body: &message::Body,
    ) -> bool {
        let addressed = to == Some(self.replica.incarnation);
        let Some(theirs) = cluster else {
            return addressed && is_reply(body);
        };
        if let Some(own) = self.cluster {
            return own == theirs;
        }
        if addressed && starts_log(body) {
            self.join_cluster(theirs);
        }
        addressed && !is_reply(body)
    }
}

/// Returns whether a message carries the first entries of a log, or a snapshot.
fn starts_log(body: &message::Body) -> bool {
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
