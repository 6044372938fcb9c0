//! The faults that can be brought about in a running deployment.

use serde::{Deserialize, Serialize};
use yucca_wire::announce;
use yucca_wire::id;

use crate::target;

/// A fault, or its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// A target takes connections, and nothing answers.
    Freeze {
        /// The target.
        target: id::Target,
    },
    /// A frozen target goes on.
    Thaw {
        /// The target.
        target: id::Target,
    },
    /// A target's open connections go silent for good, while new ones work.
    Silence {
        /// The target.
        target: id::Target,
    },
    /// A target loses its connections and its memory of grants, and is cold.
    Restart {
        /// The target.
        target: id::Target,
    },
    /// A target is gone, and its port refuses connections.
    Lose {
        /// The target.
        target: id::Target,
    },
    /// A target announces another state.
    Announce {
        /// The target.
        target: id::Target,
        /// The state.
        state: announce::State,
    },
    /// A target's health and load endpoints state this, whatever is true.
    Mislead {
        /// The target.
        target: id::Target,
        /// What they state; none lets them tell.
        report: Option<target::Report>,
    },
    /// The entry process of a host ends abruptly.
    StopEntry {
        /// The host.
        host: id::Host,
    },
    /// The entry process of a host starts again at the same addresses.
    StartEntry {
        /// The host.
        host: id::Host,
    },
    /// The entry process of a host stops gracefully.
    DrainEntry {
        /// The host.
        host: id::Host,
    },
    /// The control process of a host ends abruptly.
    StopControl {
        /// The host.
        host: id::Host,
    },
    /// The control process of a host starts again, at the same addresses and with its disk.
    StartControl {
        /// The host.
        host: id::Host,
    },
    /// Two domains lose each other.
    Cut {
        /// One domain.
        one: id::Domain,
        /// The other.
        other: id::Domain,
    },
    /// Two domains reach each other again.
    Heal {
        /// One domain.
        one: id::Domain,
        /// The other.
        other: id::Domain,
    },
}
