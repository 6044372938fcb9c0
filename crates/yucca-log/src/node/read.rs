//! Linearizable reads: after a read arrives, a quorum confirms that the leader still leads.

use crate::node::leader::{Read, Scope};
use crate::node::{Node, Output, Refusal, State};

impl Node {
    pub(super) fn read(&mut self, request_id: u64) {
        let leader = self.leader().cloned();
        let State::Leader(lead) = &mut self.state else {
            let refusal = Refusal::NotLeader { leader };
            self.outputs.push(Output::ReadRefused {
                request_id,
                refusal,
            });
            return;
        };
        // Reads that arrive while a round is unanswered share the next one.
        let round = lead.round + 1;
        let idle = lead.reads.is_empty();
        lead.reads.push_back(Read { request_id, round });
        if idle {
            self.start_round(Scope::Voters);
        }
    }

    /// Answers the reads whose round a quorum has answered.
    pub(super) fn answer_reads(&mut self) {
        let confirmed = self.confirmed_round();
        let commit = self.commit;
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        if commit < lead.first || lead.reads.is_empty() {
            return;
        }
        let ready = lead.reads.partition_point(|read| read.round <= confirmed);
        let answered: Vec<Read> = lead.reads.drain(..ready).collect();
        let needs_round = lead
            .reads
            .front()
            .is_some_and(|read| read.round > lead.round);
        for read in &answered {
            self.outputs.push(Output::ReadReady {
                request_id: read.request_id,
                version: commit,
            });
        }
        if needs_round && !answered.is_empty() {
            self.start_round(Scope::Voters);
        }
    }

    /// Returns the newest round that a quorum has answered.
    fn confirmed_round(&self) -> u64 {
        let State::Leader(lead) = &self.state else {
            return 0;
        };
        self.quorum_value(lead.round, |progress| progress.round)
    }
}
