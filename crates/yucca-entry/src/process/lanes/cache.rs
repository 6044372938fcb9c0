//! Cache of answers to non-idempotent requests, for callers that send a request with the same id
//! again.

use indexmap::IndexMap;
use yucca_wire::id;

use crate::process::lanes::attempt;

/// Maximum size of the cached answers of one lane, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Cached answers by request id, oldest first.
#[derive(Default)]
pub struct Answers {
    answers: IndexMap<id::Request, attempt::Received>,
    bytes: usize,
}

impl Answers {
    /// Stores a buffered answer that is not too large, and evicts the oldest ones above the limit.
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

    /// Returns a cached answer.
    pub fn get(&mut self, id: id::Request) -> Option<attempt::Received> {
        self.answers.get_mut(&id)?.share()
    }
}
