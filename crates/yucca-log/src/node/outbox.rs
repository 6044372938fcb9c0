//! Outputs of records and messages. A message is sent at once or after the records are synced.

use crate::membership;
use crate::message;
use crate::node::{Node, Output, writer};

impl Node {
    pub(super) fn persist(&mut self, work: writer::Write) {
        self.outputs.push(Output::Persist {
            sequence: work.sequence,
            records: work.records,
        });
    }

    pub(super) fn on_synced(&mut self, upto: u64) {
        for effect in self.writer.synced(upto) {
            self.perform(effect);
        }
    }

    pub(super) fn on_disk_full(&mut self, sequence: u64) {
        self.writer.mark_full(sequence, self.now);
        if self.is_leader() && self.writer.is_full() {
            self.transfer(None);
        }
    }

    pub(super) fn perform(&mut self, effect: writer::Effect) {
        match effect {
            writer::Effect::Send { to, message } => {
                self.outputs.push(Output::Send { to, message });
            }
            writer::Effect::OwnVote(term) => self.on_own_vote(term),
        }
    }

    pub(super) fn message(
        &self,
        to: &membership::Replica,
        body: message::Body,
    ) -> message::Message {
        message::Message {
            group: self.group,
            cluster: self.cluster,
            from: self.replica.incarnation,
            to: Some(to.incarnation),
            term: self.term,
            body,
        }
    }

    /// Sends a message without waiting for the disk.
    pub(super) fn send_now(&mut self, to: &membership::Replica, body: message::Body) {
        let message = self.message(to, body);
        let to = to.host.clone();
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends a message once all records so far are synced.
    pub(super) fn send_after_sync(&mut self, to: &membership::Replica, body: message::Body) {
        let message = self.message(to, body);
        let to = to.host.clone();
        self.defer(writer::Effect::Send { to, message });
    }

    pub(super) fn defer(&mut self, effect: writer::Effect) {
        if let Some(effect) = self.writer.defer(effect) {
            self.perform(effect);
        }
    }
}
