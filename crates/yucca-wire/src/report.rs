//! Reports of entry processes to control processes, and the table updates they get in response.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::announce;
use crate::id;
use crate::table;

/// Path on a control process that receives reports.
pub const PATH: &str = "/control/report";

/// Heartbeat of an entry process to a control process of its domain.
///
/// The response, an [`Update`], is delayed until there is a change or the heartbeat interval ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Host that sends the report.
    pub host: id::Host,
    /// Incarnation of the process; it increases with each start.
    pub incarnation: u64,
    /// Version of the global part that is in effect at the host.
    pub global: id::Version,
    /// Versions of the domains' parts that are in effect at the host.
    pub locals: IndexMap<id::Domain, id::Version>,
    /// Announcements of targets that the host received since the last report.
    #[serde(with = "as_border_text")]
    pub announced: Vec<announce::Announce>,
    /// Reports of the host's lanes, by target.
    pub lanes: IndexMap<id::Target, Lane>,
    /// Whether the process is stopping and its lanes must be handed over.
    pub stopping: bool,
}

/// State of a lane, and its observations since the last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Lane {
    /// Fencing token of the lane.
    pub token: id::Token,
    /// Whether the target responds, as far as the lane can observe over new connections.
    pub alive: bool,
    /// Shards and pins that the lane no longer sends to the target: their work in flight ended and
    /// the target returned their grant, or their requests can no longer reach the target.
    pub released: Vec<Release>,
    /// Standby that has a complete copy of the ledger, if any.
    pub copied: Option<id::Host>,
    /// Work done by shard, in slot-microseconds.
    pub work: IndexMap<id::Shard, u64>,
    /// Work done for the hottest keys, in slot-microseconds.
    pub hot: IndexMap<Bytes, u64>,
    /// Whether a lane that must end (in the table, its target has this token and no lane) sends
    /// nothing more to its target. A host at which that table is in effect and that reports no lane
    /// for the target is treated in the same way.
    #[serde(default)]
    pub left: bool,
}

/// Shard or pin that a lane no longer sends to its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Released shard, or the shard of the released key.
    pub shard: id::Shard,
    /// Key, if a pin is released.
    pub key: Option<Bytes>,
    /// Fencing token of the grant that ended.
    pub token: id::Token,
}

/// Response to a report: the parts of the table that are newer than those at the host, and leases.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Global part, if newer.
    pub global: Option<Change<table::Global>>,
    /// Parts of the domains that are newer.
    pub locals: Vec<Change<table::Local>>,
    /// Lease of the host, in microseconds from the time at which it sent the report: its lanes may
    /// send during the lease. If absent, the host's current lease is not renewed.
    #[serde(default)]
    pub lease_us: Option<u64>,
    /// Time for which the host may serve the shards of each service that moves when its domain is
    /// partitioned, in microseconds from the time at which it sent the report. It replaces the
    /// previous map; a service that is not listed may be served without a time limit.
    #[serde(default)]
    pub home_leases_us: IndexMap<id::Service, u64>,
    /// Whether the domain's leader received the report and the host may hold lanes: its lease is
    /// renewed from the time at which it sent the report.
    #[serde(default)]
    pub leased: bool,
}

/// Change to a part of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change<T> {
    /// Complete part.
    Snapshot(T),
    /// Difference from the reported version, encoded by `yucca_own::delta`.
    Delta {
        /// Version to which the difference applies.
        from: id::Version,
        /// The part with only the entries that changed.
        changed: T,
        /// Paths of the removed entries, such as `targets/NAME`.
        removed: Vec<String>,
    },
}

/// Serializes announcements as JSON text, the format in which targets send them: JSON can omit
/// fields, the positional encoding of our own messages cannot.
mod as_border_text {
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de, ser};

    use crate::announce;

    pub fn serialize<S: Serializer>(
        announced: &[announce::Announce],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut texts = Vec::with_capacity(announced.len());
        for announce in announced {
            texts.push(serde_json::to_string(announce).map_err(ser::Error::custom)?);
        }
        texts.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<announce::Announce>, D::Error> {
        let texts = Vec::<String>::deserialize(deserializer)?;
        let parse = |text: &String| serde_json::from_str(text).map_err(de::Error::custom);
        texts.iter().map(parse).collect()
    }
}
