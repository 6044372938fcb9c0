//! Leaving: a voter that is about to stop gives its vote to a learner.

use crate::entry;
use crate::membership;
use crate::message;
use crate::node::{Node, Output};

impl Node {
    pub(super) fn leave(&mut self) {
        if let Some(leader) = self.leader.clone().filter(|_| !self.is_leader()) {
            self.send_now(&leader, message::Body::Leave);
        }
    }

    /// Reports a member that is about to stop to the owner, so that it is not promoted, and replies
    /// once it does not vote.
    pub(super) fn on_leave(&mut self, sender: membership::Replica) {
        if !self.is_leader() {
            return;
        }
        let committed = self.log.members_version() <= self.commit;
        if !self.members().is_voter(&sender) && committed {
            self.send_now(&sender, message::Body::Left);
        }
        if self.members().contains(&sender) {
            self.outputs.push(Output::Leaving { replica: sender });
        }
    }

    pub(super) fn on_left(&mut self, sender: &membership::Replica, term: entry::Term) {
        if term == self.term && self.leader.as_ref() == Some(sender) {
            self.outputs.push(Output::Left);
        }
    }
}
