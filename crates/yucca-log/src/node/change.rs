//! Membership changes, one at a time.

use crate::entry;
use crate::membership;
use crate::node::{Node, Refusal, State};

impl Node {
    pub(super) fn change(&mut self, request_id: u64, change: &membership::Change) {
        let members = match self.check_change(change) {
            Ok(members) => members,
            Err(refusal) => {
                self.refuse(request_id, refusal);
                return;
            }
        };
        let version = self.append_own(entry::Body::Members(members));
        self.update_progress(version);
        self.await_commit(request_id, version, 0);
    }

    fn check_change(&self, change: &membership::Change) -> Result<membership::Members, Refusal> {
        if let Some(refusal) = self.refusal(0) {
            return Err(refusal);
        }
        let State::Leader(lead) = &self.state else {
            return Err(Refusal::NotLeader { leader: None });
        };
        // Quorums overlap only between consecutive memberships, and the leader knows which
        // membership is the newest only after it has committed an entry of its own term.
        let settled = self.log.members_version() <= self.commit && lead.first <= self.commit;
        if !settled {
            return Err(Refusal::ChangePending);
        }
        match change {
            membership::Change::Remove(replica) if *replica == self.replica => {
                return Err(Refusal::RemovesLeader);
            }
            membership::Change::Promote(replica) => self.check_caught_up(lead, replica)?,
            _ => {}
        }
        self.log.members().with(change).map_err(Refusal::Membership)
    }

    fn check_caught_up(
        &self,
        lead: &super::leader::Leadership,
        replica: &membership::Replica,
    ) -> Result<(), Refusal> {
        let Some(progress) = lead.progress.get(replica) else {
            return Ok(());
        };
        let entries = self.log.last().version.0 - progress.matched.0;
        let silent = self.now > progress.last_contact + self.election_timeout();
        if entries > self.config.promote_lag || silent || !progress.answered {
            return Err(Refusal::Lagging { entries });
        }
        Ok(())
    }

    /// Returns whether a learner has caught up, so that it may be promoted.
    pub fn is_caught_up(&self, replica: &membership::Replica) -> bool {
        let State::Leader(lead) = &self.state else {
            return false;
        };
        let known = lead.progress.contains_key(replica);
        known && self.check_caught_up(lead, replica).is_ok()
    }

    /// Returns the time since the request of a member's newest reply was sent, or, before its first
    /// reply in this term, since this replica began to send to it. `None` if this replica does not
    /// lead or the other is not a member.
    pub fn time_since_contact(&self, replica: &membership::Replica) -> Option<std::time::Duration> {
        let State::Leader(lead) = &self.state else {
            return None;
        };
        let progress = lead.progress.get(replica)?;
        Some(self.now.saturating_sub(progress.last_contact))
    }
}
