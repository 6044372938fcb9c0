//! Leadership transfer.

use yucca_wire::id;

use crate::message;
use crate::node::leader::Transfer;
use crate::node::{Node, State};

impl Node {
    pub(super) fn transfer(&mut self, to: Option<id::Host>) {
        let until = self.now + self.election_timeout();
        let voters = self.log.members().voters().to_vec();
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let known = lead.progress.iter().filter(|(replica, progress)| {
            let wanted = to.as_ref().is_none_or(|host| *host == replica.host);
            wanted && progress.answered && voters.contains(replica)
        });
        let best = known.max_by_key(|(_, progress)| progress.matched);
        let Some(to) = best.map(|(replica, _)| replica.clone()) else {
            return;
        };
        lead.transfer = Some(Transfer { to, until });
        self.try_transfer();
    }

    /// Asks the next leader to campaign once its log is complete.
    pub(super) fn try_transfer(&mut self) {
        let last = self.log.last().version;
        let State::Leader(lead) = &self.state else {
            return;
        };
        let Some(transfer) = &lead.transfer else {
            return;
        };
        let to = transfer.to.clone();
        let ready = lead.progress.get(&to).is_some_and(|p| p.matched == last);
        if ready {
            self.send_now(&to, message::Body::Campaign);
        }
    }
}
