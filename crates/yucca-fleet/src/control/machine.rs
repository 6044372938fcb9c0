//! State machine of the log.

use bytes::Bytes;
use yucca_control::{machine, version::feed};
use yucca_own::site;
use yucca_wire::id;

/// Replicated state of the deployment.
#[derive(Debug, Default)]
pub struct Site {
    /// The state.
    pub state: site::State,
}

impl machine::Machine for Site {
    fn apply(&mut self, version: id::Version, entry: &[u8]) -> Bytes {
        match rmp_serde::from_slice::<site::Command>(entry) {
            Ok(command) => machine::pack(&self.state.apply(version, command)),
            // Every replica reads the same bytes, so all of them skip the entry.
            Err(error) => {
                log::error!("log=site version={version} entry skipped: {error}");
                Bytes::new()
            }
        }
    }

    fn clear(&mut self) {
        *self = Self::default();
    }

    fn save(&self) -> Bytes {
        machine::pack(&self.state)
    }

    fn restore(&mut self, _version: id::Version, state: &[u8]) -> Result<(), String> {
        let restored = site::State::restore(state);
        self.state = restored.map_err(|error| error.to_string())?;
        Ok(())
    }

    /// Does nothing: entry hosts are notified when the version that the replica has applied
    /// changes.
    fn publish(&self, _feed: &feed::Feed) {}
}
