//! Elections: pre-vote, vote, and how a replica enters a term.

use std::time::Duration;

use indexmap::IndexSet;

use crate::entry;
use crate::membership;
use crate::message;
use crate::node::{Node, Output, State, writer};
use crate::storage;

/// A replica that has heard no leader since its start asks for votes after this part of the election
/// time, and so often again. A pre-vote disturbs no leader that others hear, and where all replicas
/// start at once nobody serves until one leads.
const START_DIVISOR: u32 = 5;

impl Node {
    pub(super) fn reset_election(&mut self) {
        let span = match self.heard_leader {
            Some(_) => self.config.election_timeout,
            None => self.config.election_timeout / START_DIVISOR,
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

    /// Asks who would vote for this replica, without raising the term.
    fn pre_campaign(&mut self) {
        self.reset_election();
        let own = IndexSet::from([self.replica.clone()]);
        self.state = State::PreCandidate(own);
        self.set_leader(None);
        let body = message::Body::PreVote(self.vote_request(false));
        self.ask_voters(self.term.next(), &body, false);
        self.check_pre_votes();
    }

    fn campaign(&mut self, transfer: bool) {
        self.reset_election();
        self.state = State::Candidate(IndexSet::new());
        self.leader = None;
        self.enter(self.term.next(), Some(self.replica.clone()));
        let body = message::Body::Vote(self.vote_request(transfer));
        self.ask_voters(self.term, &body, true);
        self.gate(writer::Effect::OwnVote(self.term));
    }

    fn vote_request(&self, transfer: bool) -> message::VoteRequest {
        message::VoteRequest {
            last: self.log.last(),
            transfer,
        }
    }

    fn ask_voters(&mut self, term: entry::Term, body: &message::Body, synced: bool) {
        for voter in self.members().voters().to_vec() {
            if voter == self.replica {
                continue;
            }
            let mut message = self.message(&voter, body.clone());
            message.term = term;
            let to = voter.host;
            if synced {
                self.gate(writer::Effect::Send { to, message });
            } else {
                self.outputs.push(Output::Send { to, message });
            }
        }
    }

    /// Enters a term with a vote in it, and keeps both.
    fn enter(&mut self, term: entry::Term, vote: Option<membership::Replica>) {
        self.term = term;
        self.vote = vote.clone();
        self.writer.push(storage::Record::Vote(storage::Vote {
            term,
            candidate: vote,
        }));
    }

    /// Follows a leader of this term, or of a newer one.
    pub(super) fn follow(&mut self, term: entry::Term, leader: Option<membership::Replica>) {
        if term > self.term {
            self.enter(term, None);
            self.set_leader(None);
        }
        if let State::Leader(lead) = std::mem::replace(&mut self.state, State::Follower) {
            self.abandon(*lead);
            self.set_leader(None);
            self.reset_election();
        }
        self.set_leader(leader);
    }

    fn set_leader(&mut self, leader: Option<membership::Replica>) {
        if leader.is_some() {
            self.heard_leader = Some(self.now);
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

    /// Tells whether a leader was heard so lately that no other is needed.
    pub(super) fn hears_leader(&self) -> bool {
        let lately = |heard| self.now < heard + self.config.election_timeout;
        let heard = self.heard_leader.is_some_and(lately);
        self.is_leader() || (self.leader.is_some() && heard)
    }

    fn would_vote(&self, term: entry::Term, request: &message::VoteRequest) -> bool {
        term > self.term && request.last >= self.log.last() && !self.hears_leader()
    }

    pub(super) fn on_pre_vote(
        &mut self,
        sender: &membership::Replica,
        term: entry::Term,
        request: &message::VoteRequest,
    ) {
        self.notice(sender);
        let reply = message::VoteReply {
            granted: self.would_vote(term, request),
            leader: self.leader().cloned(),
        };
        self.send_free(sender, message::Body::PreVoteReply(reply));
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        sender: membership::Replica,
        term: entry::Term,
        reply: &message::VoteReply,
    ) {
        if term > self.term {
            self.follow(term, None);
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
        self.notice(sender);
        if self.hears_leader() && !request.transfer {
            return;
        }
        if term > self.term {
            self.follow(term, None);
        }
        let free = self.vote.as_ref().is_none_or(|vote| vote == sender);
        let granted = term == self.term && free && request.last >= self.log.last();
        if granted && self.vote.is_none() {
            self.enter(term, Some(sender.clone()));
            self.reset_election();
        }
        let reply = message::VoteReply {
            granted,
            leader: None,
        };
        self.send_synced(sender, message::Body::VoteReply(reply));
    }

    pub(super) fn on_vote_reply(
        &mut self,
        sender: membership::Replica,
        term: entry::Term,
        reply: &message::VoteReply,
    ) {
        if term > self.term {
            self.follow(term, None);
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
            self.lead();
        }
    }

    /// Campaigns at once, because the leader hands over.
    pub(super) fn on_campaign(&mut self, sender: &membership::Replica, term: entry::Term) {
        let asked = self.leader.as_ref() == Some(sender) && term == self.term;
        if asked && self.is_voter() && !self.is_leader() {
            self.campaign(true);
        }
    }

    /// Returns the time by which a follower that hears nothing campaigns.
    pub(super) fn silence(&self) -> Duration {
        self.config.election_timeout
    }
}
