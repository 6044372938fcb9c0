//! Performs the outputs of the core of the log.

use std::collections::VecDeque;

use bytes::Bytes;
use yucca_log::{node, storage as log_storage};
use yucca_wire::id;

use crate::message;
use crate::replica::Error;
use crate::replica::run;

impl run::Run {
    /// Feeds an input to the core and performs the outputs, including those of inputs that follow.
    pub fn step(&mut self, input: node::Input) {
        let mut inputs = VecDeque::from([input]);
        let applied = self.node.applied();
        while let Some(input) = inputs.pop_front() {
            let now = self.now();
            for output in self.node.step(input, now) {
                inputs.extend(self.perform(output));
            }
            self.replies.clear();
        }
        if self.node.applied() != applied {
            self.machine().publish(&self.parts.feed);
        }
        self.publish_status();
    }

    fn perform(&mut self, output: node::Output) -> Option<node::Input> {
        match output {
            node::Output::Send { to, message } => self.parts.transport.send(&to, message),
            node::Output::Persist { sequence, records } => return self.persist(sequence, records),
            node::Output::Apply { version, entry } => self.apply(version, &entry),
            node::Output::Install { version, state } => self.install(version, &state),
            node::Output::Proposed { request_id, result } => {
                self.answer_proposal(request_id, result)
            }
            node::Output::ReadReady {
                request_id,
                version,
            } => self.answer_read(request_id, Ok(version)),
            node::Output::ReadRefused {
                request_id,
                refusal,
            } => {
                self.answer_read(request_id, Err(Error::Refused(refusal)));
            }
            node::Output::Lead { term } => self.handle_lead(term),
            node::Output::Follow { term, leader } => self.handle_follow(term, leader.as_ref()),
            node::Output::Members(members) => {
                log::info!("log={} members: {members}", self.parts.log);
                // A replacement takes several changes.
                self.maintenance_at = self.now();
            }
            node::Output::TakeSnapshot { version } => {
                let state = self.machine().save();
                return Some(node::Input::Snapshot { version, state });
            }
            node::Output::Joining { replica } => {
                let now = self.now();
                self.joining.insert(replica, now);
            }
            node::Output::Leaving { replica } => {
                let now = self.now();
                self.leaving.insert(replica, now);
                self.maintenance_at = now;
            }
            node::Output::Left => self.left = true,
        }
        None
    }

    fn persist(&mut self, sequence: u64, records: Vec<log_storage::Record>) -> Option<node::Input> {
        let mut store = self.store.take()?;
        if self.blocking {
            self.writing = Some(tokio::task::spawn_blocking(move || {
                let result = store.append(&records);
                run::Written {
                    store,
                    sequence,
                    result,
                }
            }));
            return None;
        }
        let result = store.append(&records);
        self.store = Some(store);
        match result {
            Ok(()) => Some(node::Input::Synced { upto: sequence }),
            Err(log_storage::Error::Full { .. }) => Some(node::Input::Full { sequence }),
            Err(error) => {
                self.failed = Some(error);
                None
            }
        }
    }

    fn apply(&mut self, version: id::Version, entry: &[u8]) {
        let reply = self.machine().apply(version, entry);
        self.replies.insert(version, reply);
    }

    fn install(&mut self, version: id::Version, state: &Bytes) {
        let restored = self.machine().restore(version, state);
        if let Err(reason) = restored {
            let log = &self.parts.log;
            log::error!("log={log} version={version} cannot restore the snapshot: {reason}");
            self.failed = Some(log_storage::Error::Io {
                path: log.to_string().into(),
                action: "restore the snapshot",
                reason,
            });
        }
    }

    fn answer_proposal(&mut self, request_id: u64, result: Result<id::Version, node::Refusal>) {
        let Some(answer) = self.proposals.swap_remove(&request_id) else {
            return;
        };
        let receipt = result.map_err(Error::Refused).map(|version| {
            let reply = self.replies.get(&version).cloned().unwrap_or_default();
            message::Receipt { version, reply }
        });
        // The proposer may have stopped waiting; the entry stays committed.
        answer.send(receipt).ok();
    }

    fn answer_read(&mut self, request_id: u64, result: Result<id::Version, Error>) {
        if let Some(answer) = self.reads.swap_remove(&request_id) {
            answer.send(result).ok();
        }
    }

    fn handle_lead(&mut self, term: yucca_log::entry::Term) {
        log::info!("log={} term={term} this host leads", self.parts.log);
        metrics::counter!("yucca_control_elections_won_total").increment(1);
    }

    fn handle_follow(&mut self, term: yucca_log::entry::Term, leader: Option<&id::Host>) {
        self.tolerated = None;
        let log = &self.parts.log;
        match leader {
            Some(leader) => log::info!("log={log} term={term} {leader} leads"),
            None => {
                let members = self.node.members();
                let quorum = members.quorum();
                log::info!("log={log} term={term} no leader is known; {members}, quorum {quorum}");
            }
        }
    }
}
