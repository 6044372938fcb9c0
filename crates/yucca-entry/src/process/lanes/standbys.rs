//! Ledgers that this host stores as a standby, and state that earlier lanes handed over to it.

use std::sync;
use std::time::Duration;

use indexmap::IndexMap;
use yucca_lane::lane;
use yucca_lane::standby;
use yucca_wire::id;

use crate::process::lanes::message;

/// Time for which the outcome of a non-idempotent request is stored.
pub const LEDGER_WINDOW: Duration = Duration::from_secs(10 * 60);

/// Maximum number of requests of one lane whose outcome is stored.
pub const LEDGER_ENTRIES: usize = 100_000;

/// Standby ledgers and handovers, by target.
#[derive(Default)]
pub struct Standbys {
    // After the map of lanes and before the state of one lane in the lock order.
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

    /// Processes a message from a lane to its standby.
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

    /// Stores the state that an earlier lane hands over until the lane opens on this host.
    pub fn store_takeover(&self, target: &id::Target, takeover: lane::Takeover) {
        self.lock().entry(target.clone()).or_default().handed_over = Some(takeover);
    }

    /// Takes over the lane with token `earlier`, which gets no more send permits.
    ///
    /// Returns the state that it handed over, or else the standby's copy.
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

    /// Removes the targets for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&id::Target) -> bool) {
        self.lock().retain(|target, _| keep(target));
    }
}
