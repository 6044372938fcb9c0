//! Elections: pre-vote, vote, and entering a term.

use std::time::Duration;

use indexmap::IndexSet;

use crate::entry;
use crate::membership;
use crate::message;
use crate::node::{Node, Output, State, writer};
use crate::storage;

/// Divisor of the election timeout of a replica that has had no contact with a leader since its
/// start. Its first campaign and its retries use the shorter timeout.
///
/// When all replicas start at once, no request is served until one of them leads, so such a replica
/// campaigns early. The pre-vote keeps it from disturbing a leader that the others follow.
const STARTUP_DIVISOR: u32 = 5;

impl Node {
    pub(super) fn reset_election(&mut self) {
        let span = match self.leader_contact {
            Some(_) => self.config.election_timeout,
            None => self.config.election_timeout / STARTUP_DIVISOR,
        };
        self.election_at = self.now + span + self.jitter(span);
    }

    pub(super) fn tick_voter(&mut self) {
        if self.now >= self.election_at {
            self.pre_campaign();
        }
    }

    pub(super) fn campaign_now(&mut self) {
        if self.is_voter() && !self.is_leader() {
            self.pre_campaign();
        }
    }

    /// Starts a pre-vote, which does not raise the term.
    fn pre_campaign(&mut self) {
        self.reset_election();
        let own = IndexSet::from([self.replica.clone()]);
        self.state = State::PreCandidate(own);
        self.set_leader(None);
        let body = message::Body::PreVote(self.vote_request(false));
        self.send_to_voters(self.term.next(), &body, false);
        self.check_pre_votes();
    }

    fn campaign(&mut self, transfer: bool) {
        self.reset_election();
        self.state = State::Candidate(IndexSet::new());
        self.leader = None;
        self.enter_term(self.term.next(), Some(self.replica.clone()));
        let body = message::Body::Vote(self.vote_request(transfer));
        self.send_to_voters(self.term, &body, true);
        self.defer(writer::Effect::OwnVote(self.term));
    }

    fn vote_request(&self, transfer: bool) -> message::VoteRequest {
        message::VoteRequest {
            last: self.log.last(),
            transfer,
        }
    }

    fn send_to_voters(&mut self, term: entry::Term, body: &message::Body, synced: bool) {
        for voter in self.members().voters().to_vec() {
            if voter == self.replica {
                continue;
            }
            let mut message = self.message(&voter, body.clone());
            message.term = term;
            let to = voter.host;
            if synced {
                self.defer(writer::Effect::Send { to, message });
            } else {
                self.outputs.push(Output::Send { to, message });
            }
        }
    }

    /// Enters a term, optionally with a vote, and persists both.
    fn enter_term(&mut self, term: entry::Term, vote: Option<membership::Replica>) {
        self.term = term;
        self.vote = vote.clone();
        self.writer.push(storage::Record::Vote(storage::Vote {
            term,
            candidate: vote,
        }));
    }

    /// Becomes a follower in this term or a newer one, with the leader if it is known.
    pub(super) fn become_follower(
        &mut self,
        term: entry::Term,
        leader: Option<membership::Replica>,
    ) {
        if term > self.term {
            self.enter_term(term, None);
            self.set_leader(None);
        }
        if let State::Leader(lead) = std::mem::replace(&mut self.state, State::Follower) {
            self.refuse_pending(*lead);
            self.set_leader(None);
            self.reset_election();
        }
        self.set_leader(leader);
    }

    pub(super) fn set_leader(&mut self, leader: Option<membership::Replica>) {
        if leader.is_some() {
            self.leader_contact = Some(self.now);
            self.reset_election();
        }
        if self.leader != leader {
            self.leader = leader;
            self.report_follow();
        }
    }

    fn report_follow(&mut self) {
        self.outputs.push(Output::Follow {
            term: self.term,
            leader: self.leader().cloned(),
        });
    }

    /// Returns whether this replica leads or had contact with its leader within the election
    /// timeout, so that it votes for another only in a leadership transfer.
    pub(super) fn has_active_leader(&self) -> bool {
        let is_recent = |contact| self.now < contact + self.config.election_timeout;
        let recent = self.leader_contact.is_some_and(is_recent);
        self.is_leader() || (self.leader.is_some() && recent)
    }

    fn would_vote(&self, term: entry::Term, request: &message::VoteRequest) -> bool {
        term > self.term && request.last >= self.log.last() && !self.has_active_leader()
    }

    pub(super) fn on_pre_vote(
        &mut self,
        sender: &membership::Replica,
        term: entry::Term,
        request: &message::VoteRequest,
    ) {
        self.report_non_member(sender);
        let reply = message::VoteReply {
            granted: self.would_vote(term, request),
            leader: self.leader().cloned(),
        };
        self.send_now(sender, message::Body::PreVoteReply(reply));
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        sender: membership::Replica,
        term: entry::Term,
        reply: &message::VoteReply,
    ) {
        if term > self.term {
            self.become_follower(term, None);
            return;
        }
        let State::PreCandidate(granted) = &mut self.state else {
            return;
        };
        if reply.granted {
            granted.insert(sender);
            self.check_pre_votes();
        } else if let Some(leader) = reply.leader.clone() {
            self.send_join(leader);
        }
    }

    fn check_pre_votes(&mut self) {
        let State::PreCandidate(granted) = &self.state else {
            return;
        };
        if self.members().is_quorum(granted) {
            self.campaign(false);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        sender: &membership::Replica,
        term: entry::Term,
        request: &message::VoteRequest,
    ) {
        self.report_non_member(sender);
        if self.has_active_leader() && !request.transfer {
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        let free = self.vote.as_ref().is_none_or(|vote| vote == sender);
        let granted = term == self.term && free && request.last >= self.log.last();
        if granted && self.vote.is_none() {
            self.enter_term(term, Some(sender.clone()));
            self.reset_election();
        }
        let reply = message::VoteReply {
            granted,
            leader: None,
        };
        self.send_after_sync(sender, message::Body::VoteReply(reply));
    }

    pub(super) fn on_vote_reply(
        &mut self,
        sender: membership::Replica,
        term: entry::Term,
        reply: &message::VoteReply,
    ) {
        if term > self.term {
            self.become_follower(term, None);
        } else if term == self.term && reply.granted {
            self.count_vote(sender);
        }
    }

    pub(super) fn on_own_vote(&mut self, term: entry::Term) {
        if term == self.term {
            self.count_vote(self.replica.clone());
        }
    }

    fn count_vote(&mut self, voter: membership::Replica) {
        let State::Candidate(granted) = &mut self.state else {
            return;
        };
        granted.insert(voter);
        let State::Candidate(granted) = &self.state else {
            return;
        };
        if self.members().is_quorum(granted) && granted.contains(&self.replica) {
            self.become_leader();
        }
    }

    /// Campaigns without a pre-vote because the leader transfers its leadership.
    pub(super) fn on_campaign(&mut self, sender: &membership::Replica, term: entry::Term) {
        let from_leader = self.leader.as_ref() == Some(sender) && term == self.term;
        if from_leader && self.is_voter() && !self.is_leader() {
            self.campaign(true);
        }
    }

    /// Returns the minimum time without contact with a leader after which a follower campaigns.
    pub(super) fn election_timeout(&self) -> Duration {
        self.config.election_timeout
    }
}
