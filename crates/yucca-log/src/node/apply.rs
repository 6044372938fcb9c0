//! Applies committed entries to the state machine, in order.

use yucca_wire::id;

use crate::entry;
use crate::node::{Node, Output, State};

impl Node {
    pub(super) fn apply(&mut self) {
        while self.applied < self.commit {
            let version = entry::after(self.applied);
            let Some(entry) = self.log.get(version) else {
                break;
            };
            let output = match &entry.body {
                entry::Body::Noop => None,
                entry::Body::Data(data) => Some(Output::Apply {
                    version,
                    entry: data.clone(),
                }),
                entry::Body::Members(members) => Some(Output::Members(members.clone())),
            };
            self.outputs.extend(output);
            self.applied = version;
        }
        self.answer_proposals();
    }

    fn answer_proposals(&mut self) {
        let applied = self.applied;
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let done = lead.proposals.partition_point(|p| p.version <= applied);
        for proposal in lead.proposals.drain(..done) {
            lead.pending_bytes -= proposal.bytes;
            self.outputs.push(Output::Proposed {
                request_id: proposal.request_id,
                result: Ok(proposal.version),
            });
        }
    }

    /// Returns the newest version passed to the state machine.
    pub fn applied(&self) -> id::Version {
        self.applied
    }
}
