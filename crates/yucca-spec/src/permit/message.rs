//! Messages on their way.

use yucca_lane::lane;
use yucca_lane::request;
use yucca_lane::standby;

/// Which of the two lanes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Side {
    Old,
    New,
}

/// A message on its way.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Message {
    /// To the standby, and to which of its incarnations.
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
    /// Messages on a connection to the target are never doubled, nor are their results.
    pub(super) fn may_double(&self) -> bool {
        match self {
            Self::Standby(..) => true,
            Self::Lane(_, input) => matches!(input, lane::Input::Permit { .. }),
            Self::Target { .. } => false,
        }
    }
}
