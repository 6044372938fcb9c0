//! The state machine of the global log.

use bytes::Bytes;
use yucca_own::global;
use yucca_wire::id;

use crate::machine::{self, Machine};
use crate::version::feed;

/// Tickets and the home domains of shards.
#[derive(Debug, Default)]
pub struct Global {
    /// The state.
    pub state: global::State,
    /// The newest version applied.
    pub version: id::Version,
}

impl Machine for Global {
    fn apply(&mut self, version: id::Version, entry: &[u8]) -> Bytes {
        self.version = version;
        match rmp_serde::from_slice::<global::Command>(entry) {
            Ok(command) => machine::pack(&self.state.apply(version, &command)),
            // All replicas apply the same bytes, so each of them skips the entry.
            Err(error) => {
                log::error!("log=global version={version} entry skipped: {error}");
                machine::pack(&global::Reply::Stale)
            }
        }
    }

    fn clear(&mut self) {
        *self = Self::default();
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
        feed.offer_global(self.state.table());
    }
}
