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

    /// Reports a voter that is about to stop to the owner, or replies once it is no longer one.
    pub(super) fn on_leave(&mut self, sender: membership::Replica) {
        if !self.is_leader() {
            return;
        }
        let committed = self.log.members_version() <= self.commit;
        if self.members().is_voter(&sender) {
            self.outputs.push(Output::Leaving { replica: sender });
        } else if committed {
            self.send_now(&sender, message::Body::Left);
        }
    }

    pub(super) fn on_left(&mut self, sender: &membership::Replica, term: entry::Term) {
        if term == self.term && self.leader.as_ref() == Some(sender) {
            self.outputs.push(Output::Left);
        }
    }
}
