//! Registry of accepted tickets: the digest of each and the version at which it took effect.

use std::collections::VecDeque;
use std::sync;

use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::ticket;

/// Number of the newest tickets that are stored with their sender and summary.
const RECENT_TICKETS: usize = 1024;
/// Maximum size of the stored content of the newest tickets, in bytes.
const RECENT_BYTES: usize = 1 << 20;
/// Maximum number of tickets in one chunk of the registry. Clones of the registry share chunks.
const CHUNK_TICKETS: usize = 1024;

/// Acceptance of a ticket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Number of the ticket.
    pub number: id::Ticket,
    /// Digest of its content.
    pub digest: ticket::Digest,
    /// Version at which it took effect.
    pub version: id::Version,
    /// Sender, summary and content, as long as the ticket is among the newest.
    pub detail: Option<Detail>,
}

/// Details that are stored of the newest tickets only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Detail {
    /// Sender whose submission was accepted.
    pub sender: String,
    /// Summary given in the ticket.
    pub summary: String,
    /// Whole ticket, as long as the size limit allows.
    pub content: Option<sync::Arc<ticket::Checked>>,
    /// Encoded length of the stored content, in bytes.
    bytes: usize,
}

/// Registry of all accepted tickets. It stores 24 bytes for each, and the details of the newest.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Registry {
    /// Chunks of entries. Chunks and the entries within them are sorted by number.
    chunks: Vec<sync::Arc<Vec<Entry>>>,
    /// Details of the newest tickets in the order of acceptance, the newest last.
    recent: VecDeque<Recent>,
    /// Size of the stored content of the newest tickets, in bytes.
    recent_bytes: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Entry {
    number: id::Ticket,
    digest: ticket::Digest,
    version: id::Version,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Recent {
    number: id::Ticket,
    detail: Detail,
}

impl Registry {
    /// Returns the number of accepted tickets.
    pub fn len(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.len()).sum()
    }

    /// Returns whether no ticket was accepted.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns the acceptance of a ticket, or `None` if no ticket of this number was accepted.
    pub fn get(&self, number: id::Ticket) -> Option<Acceptance> {
        let chunk = self.chunks.get(self.chunk_of(number))?;
        let at = chunk.binary_search_by_key(&number, |e| e.number).ok()?;
        let entry = chunk[at];
        let recent = self.recent.iter().rev();
        let detail = recent.clone().find(|recent| recent.number == number);
        Some(Acceptance {
            number,
            digest: entry.digest,
            version: entry.version,
            detail: detail.map(|recent| recent.detail.clone()),
        })
    }

    /// Returns the newest accepted tickets, the newest first.
    pub fn recent(&self) -> impl Iterator<Item = Acceptance> {
        let numbers = self.recent.iter().rev().map(|recent| recent.number);
        numbers.filter_map(|number| self.get(number))
    }

    /// Adds an accepted ticket. Its number must not be registered yet.
    pub(super) fn insert(
        &mut self,
        ticket: &ticket::Checked,
        digest: ticket::Digest,
        version: id::Version,
        sender: &str,
    ) {
        let entry = Entry {
            number: ticket.number,
            digest,
            version,
        };
        self.insert_entry(entry);
        let bytes = ticket.bytes();
        let fits = bytes <= RECENT_BYTES;
        let detail = Detail {
            sender: sender.into(),
            summary: ticket.summary.clone(),
            content: fits.then(|| sync::Arc::new(ticket.clone())),
            bytes: if fits { bytes } else { 0 },
        };
        self.recent_bytes += detail.bytes;
        self.recent.push_back(Recent {
            number: ticket.number,
            detail,
        });
        self.trim();
    }

    fn chunk_of(&self, number: id::Ticket) -> usize {
        let starts_after = |chunk: &sync::Arc<Vec<Entry>>| {
            chunk.first().is_some_and(|first| first.number <= number)
        };
        let after = self.chunks.partition_point(starts_after);
        after.saturating_sub(1)
    }

    fn insert_entry(&mut self, entry: Entry) {
        let index = self.chunk_of(entry.number);
        let Some(chunk) = self.chunks.get_mut(index) else {
            return self.chunks.push(sync::Arc::new(vec![entry]));
        };
        let chunk = sync::Arc::make_mut(chunk);
        let at = chunk.partition_point(|other| other.number < entry.number);
        chunk.insert(at, entry);
        if chunk.len() > CHUNK_TICKETS {
            let appended = at + 1 == chunk.len();
            let keep = if appended { at } else { CHUNK_TICKETS / 2 };
            let rest = chunk.split_off(keep);
            self.chunks.insert(index + 1, sync::Arc::new(rest));
        }
    }

    /// Removes details, and then content, of the oldest tickets with details until the limits hold.
    fn trim(&mut self) {
        while self.recent.len() > RECENT_TICKETS {
            if let Some(oldest) = self.recent.pop_front() {
                self.recent_bytes -= oldest.detail.bytes;
            }
        }
        let mut excess = self.recent_bytes.saturating_sub(RECENT_BYTES);
        let holders = self.recent.iter_mut().map(|recent| &mut recent.detail);
        for detail in holders.filter(|detail| detail.bytes > 0) {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(detail.bytes);
            self.recent_bytes -= detail.bytes;
            detail.bytes = 0;
            detail.content = None;
        }
    }
}
