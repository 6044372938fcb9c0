//! Faults that can be injected into a running deployment.

use serde::{Deserialize, Serialize};
use yucca_wire::announce;
use yucca_wire::id;

use crate::target;

/// A fault to inject or to end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// A target accepts connections but answers nothing.
    Freeze {
        /// The target.
        target: id::Target,
    },
    /// A frozen target continues.
    Thaw {
        /// The target.
        target: id::Target,
    },
    /// A target's open connections are blocked permanently; new ones work.
    Silence {
        /// The target.
        target: id::Target,
    },
    /// A target restarts: it loses its connections and grants, and is cold.
    Restart {
        /// The target.
        target: id::Target,
    },
    /// A target ends abruptly and its port refuses connections.
    Lose {
        /// The target.
        target: id::Target,
    },
    /// A target announces this state.
    Announce {
        /// The target.
        target: id::Target,
        /// Announced state.
        state: announce::State,
    },
    /// A target's health and load endpoints return a false report.
    Mislead {
        /// The target.
        target: id::Target,
        /// The false report; `None` restores true reports.
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
    /// Traffic between the hosts of two domains is blocked in both directions; connections stay
    /// open.
    Cut {
        /// One domain.
        one: id::Domain,
        /// The other.
        other: id::Domain,
    },
    /// The cut between two domains ends; blocked data is delivered.
    Heal {
        /// One domain.
        one: id::Domain,
        /// The other.
        other: id::Domain,
    },
}
