//! Detection of messages that were recorded and sent again.

use std::collections::VecDeque;
use std::sync;

use indexmap::{IndexMap, IndexSet};
use yucca_wire::id;

/// Number of sequence numbers by which a message may lag behind the newest one of its sender.
const WINDOW: u64 = 1024;

/// Maximum number of earlier incarnations remembered of each sender.
const MAX_RETIRED: usize = 64;

/// Remembers the messages received from each sender.
///
/// The starts of a sender's process are distinguished by a random number and not by a clock, which
/// may be set back. A process that has just started cannot recognize the replay of a message that
/// it never received.
#[derive(Debug, Default)]
pub struct Filter {
    senders: sync::Mutex<IndexMap<id::Host, Sender>>,
}

#[derive(Debug, Default)]
struct Sender {
    incarnation: u64,
    retired: VecDeque<u64>,
    newest: u64,
    recent: IndexSet<u64>,
}

impl Filter {
    /// Records a message and returns whether it is accepted.
    ///
    /// Refuses a message that was received before, that lags too far behind the newest one of its
    /// sender to tell, or that comes from a remembered earlier incarnation of the sender.
    pub fn accept(&self, from: &id::Host, incarnation: u64, sequence: u64) -> bool {
        let mut senders = self
            .senders
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let sender = senders.entry(from.clone()).or_default();
        if sender.incarnation != incarnation {
            if sender.retired.contains(&incarnation) {
                return false;
            }
            sender.restart(incarnation);
        }
        sender.accept(sequence)
    }
}

impl Sender {
    fn restart(&mut self, incarnation: u64) {
        self.retired.push_back(self.incarnation);
        if self.retired.len() > MAX_RETIRED {
            self.retired.pop_front();
        }
        self.incarnation = incarnation;
        self.newest = 0;
        self.recent.clear();
    }

    fn accept(&mut self, sequence: u64) -> bool {
        let stale = sequence + WINDOW <= self.newest;
        if stale || !self.recent.insert(sequence) {
            return false;
        }
        if sequence > self.newest {
            self.newest = sequence;
        }
        if self.recent.len() as u64 > 2 * WINDOW {
            let floor = self.newest.saturating_sub(WINDOW);
            self.recent.retain(|sequence| *sequence > floor);
        }
        true
    }
}
