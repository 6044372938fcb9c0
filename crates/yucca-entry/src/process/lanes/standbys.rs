//! The ledgers that this host keeps as a standby, and what earlier lanes handed over to it.

use std::sync;
use std::time::Duration;

use indexmap::IndexMap;
use yucca_lane::lane;
use yucca_lane::standby;
use yucca_wire::id;

use crate::process::lanes::message;

/// How long the fate of a non-idempotent request is remembered.
pub const LEDGER_WINDOW: Duration = Duration::from_secs(10 * 60);

/// The most requests of one lane whose fate is remembered.
pub const LEDGER_ENTRIES: usize = 100_000;

/// The ledgers that this host keeps as a standby.
#[derive(Default)]
pub struct Standbys {
    // Before one lane's state in the lock order, after the registry of lanes.
    entries: sync::Mutex<IndexMap<id::Target, Entry>>,
}

struct Entry {
    standby: standby::Standby,
    handed_over: Option<lane::Takeover>,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            standby: standby::Standby::new(LEDGER_WINDOW, LEDGER_ENTRIES),
            handed_over: None,
        }
    }
}

impl Standbys {
    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<id::Target, Entry>> {
        self.entries
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Takes in what a lane asks of its standby.
    pub fn step(
        &self,
        target: &id::Target,
        input: standby::Input,
        now: Duration,
    ) -> message::Reply {
        let mut entries = self.lock();
        let entry = entries.entry(target.clone()).or_default();
        match entry.standby.step(input, now) {
            None | Some(standby::Output::Copied { .. } | standby::Output::Permit { .. }) => {
                message::Reply::Done
            }
            Some(standby::Output::PermitRefused { reason, .. }) => {
                message::Reply::permit_refused(reason)
            }
        }
    }

    /// Keeps what an earlier lane hands over until the lane opens here.
    pub fn store_takeover(&self, target: &id::Target, takeover: lane::Takeover) {
        self.lock().entry(target.clone()).or_default().handed_over = Some(takeover);
    }

    /// Ends the lane with token `earlier`, which gets no more leave, and returns what is known
    /// of its work: what it handed over, or the standby's copy.
    pub fn take_over(
        &self,
        target: &id::Target,
        earlier: id::Token,
        now: Duration,
    ) -> Option<lane::Takeover> {
        let mut entries = self.lock();
        let entry = entries.get_mut(target)?;
        let copied = entry.standby.take_over(earlier, now);
        entry.handed_over.take().or(Some(copied))
    }

    /// Forgets the targets for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(&id::Target) -> bool) {
        self.lock().retain(|target, _| keep(target));
    }
}
