//! The state machine of a domain's log.

use bytes::Bytes;
use yucca_own::domain;
use yucca_wire::id;

use crate::machine::{self, Machine};
use crate::version::feed;

/// The targets, owners and lanes of a domain.
#[derive(Debug)]
pub struct Domain {
    /// The state.
    pub state: domain::State,
    /// The newest version applied.
    pub version: id::Version,
}

impl Domain {
    /// Returns the initial state of a domain.
    pub fn new(name: id::Domain) -> Self {
        Self {
            state: domain::State::new(name),
            version: id::Version(0),
        }
    }
}

impl Machine for Domain {
    fn apply(&mut self, version: id::Version, entry: &[u8]) -> Bytes {
        self.version = version;
        match rmp_serde::from_slice::<domain::Command>(entry) {
            Ok(command) => machine::pack(&self.state.apply(version, &command)),
            // All replicas apply the same bytes, so each of them skips the entry.
            Err(error) => {
                let name = self.state.domain();
                log::error!("log=domain.{name} version={version} entry skipped: {error}");
                machine::pack(&domain::Reply::Stale)
            }
        }
    }

    fn clear(&mut self) {
        *self = Self::new(self.state.domain().clone());
    }

    fn save(&self) -> Bytes {
        machine::pack(&self.state)
    }

    fn restore(&mut self, version: id::Version, state: &[u8]) -> Result<(), String> {
        let restored = rmp_serde::from_slice(state);
        self.state = restored.map_err(|error| error.to_string())?;
        self.version = version;
        Ok(())
    }

    fn publish(&self, feed: &feed::Feed) {
        // The domain's log stores the global part that the domain has applied, so that it survives
        // a restart of all hosts of the domain.
        feed.offer_global(self.state.global());
        feed.offer_local(self.state.table());
    }
}
