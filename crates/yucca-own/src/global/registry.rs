//! The record of accepted tickets: which content a number stands for, and the answer it got.

use std::collections::VecDeque;
use std::sync;

use serde::{Deserialize, Serialize};
use yucca_wire::id;

use crate::ticket;

/// How many of the newest tickets are kept with their sender and summary.
const RECENT_TICKETS: usize = 1024;
/// The most bytes of content kept of the newest tickets.
const RECENT_BYTES: usize = 1 << 20;
/// The number of tickets in one chunk of the record, which clones share.
const CHUNK_TICKETS: usize = 1024;

/// An accepted ticket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Its number.
    pub number: id::Ticket,
    /// The hash of its content.
    pub digest: ticket::Digest,
    /// The version at which it took effect.
    pub version: id::Version,
    /// Who sent it and what it said, while it is among the newest.
    pub detail: Option<Detail>,
}

/// What is kept of the newest tickets only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Detail {
    /// Who sent it first.
    pub sender: String,
    /// What it is for.
    pub summary: String,
    /// Its whole content, while there is room.
    pub content: Option<sync::Arc<ticket::Checked>>,
    /// The encoded length of the content, in bytes.
    bytes: usize,
}

/// All accepted tickets: 24 bytes for each, and the details of the newest.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Registry {
    /// Chunks sorted by number, the entries within them too.
    chunks: Vec<sync::Arc<Vec<Entry>>>,
    /// The newest tickets by order of acceptance, the newest last.
    recent: VecDeque<Recent>,
    /// The bytes of content that the newest hold.
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

    /// Tells whether no ticket was accepted.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns what is known of a ticket.
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

    /// Returns the newest tickets, the newest first.
    pub fn recent(&self) -> impl Iterator<Item = Acceptance> {
        let numbers = self.recent.iter().rev().map(|recent| recent.number);
        numbers.filter_map(|number| self.get(number))
    }

    /// Adds an accepted ticket, whose number is not taken.
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

    /// Drops details, and then content, of the oldest among the newest.
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
