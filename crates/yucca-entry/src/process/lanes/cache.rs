//! Answers to work that ran and runs once only, kept for callers who ask again.

use indexmap::IndexMap;
use yucca_wire::id;

use crate::process::lanes::attempt;

/// The most bytes of answers that one lane keeps.
const MAX_BYTES: usize = 1 << 20;

/// Answers by request id, the oldest first.
#[derive(Default)]
pub struct Answers {
    answers: IndexMap<id::Request, attempt::Received>,
    bytes: usize,
}

impl Answers {
    /// Keeps an answer, if it is whole, and drops the oldest where there is no room.
    pub fn insert(&mut self, id: id::Request, received: attempt::Received) {
        let Some(bytes) = received.buffered_bytes() else {
            return;
        };
        if bytes > MAX_BYTES {
            return;
        }
        self.bytes += bytes;
        if let Some(earlier) = self.answers.insert(id, received) {
            self.bytes -= earlier.buffered_bytes().unwrap_or_default();
        }
        while self.bytes > MAX_BYTES {
            let Some((_, oldest)) = self.answers.shift_remove_index(0) else {
                return;
            };
            self.bytes -= oldest.buffered_bytes().unwrap_or_default();
        }
    }

    /// Returns a kept answer.
    pub fn get(&mut self, id: id::Request) -> Option<attempt::Received> {
        self.answers.get_mut(&id)?.share()
    }
}
