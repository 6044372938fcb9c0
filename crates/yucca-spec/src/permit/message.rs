//! Messages in flight.

use yucca_lane::lane;
use yucca_lane::request;
use yucca_lane::standby;

/// One of the two lanes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Side {
    Old,
    New,
}

/// A message in flight.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Message {
    /// To an incarnation of the standby.
    Standby(u8, standby::Input),
    /// To a lane.
    Lane(Side, lane::Input),
    /// A request on a connection to the target.
    Target {
        side: Side,
        attempt: u32,
        caller: request::Caller,
    },
}

impl Message {
    /// Returns whether the message may be delivered twice. Requests on a connection to the target
    /// and their results are never duplicated.
    pub(super) fn may_duplicate(&self) -> bool {
        match self {
            Self::Standby(..) => true,
            Self::Lane(_, input) => matches!(input, lane::Input::Permit { .. }),
            Self::Target { .. } => false,
        }
    }
}
