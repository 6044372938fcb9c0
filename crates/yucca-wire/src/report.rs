//! What entry processes and control processes tell each other.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::announce;
use crate::id;
use crate::table;

/// The path on which a control process hears entry processes.
pub const PATH: &str = "/control/report";

/// A heartbeat of an entry process to a control process of its domain.
///
/// The answer, an [`Update`], is held back until there is news or the heartbeat interval ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The host that reports.
    pub host: id::Host,
    /// Rises with each start of the process.
    pub incarnation: u64,
    /// The global version in force at the host.
    pub global: id::Version,
    /// The domain versions in force at the host.
    pub locals: IndexMap<id::Domain, id::Version>,
    /// The heartbeats of targets that the host heard since the last report.
    #[serde(with = "as_border_text")]
    pub announced: Vec<announce::Announce>,
    /// What the host's lanes saw.
    pub lanes: IndexMap<id::Target, Lane>,
    /// Whether the process is stopping and wants its lanes handed over.
    pub stopping: bool,
}

/// What a lane saw since the last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Lane {
    /// The fencing token of the lane that reports.
    pub token: id::Token,
    /// Whether the target answers, as far as the lane can tell over new connections.
    pub alive: bool,
    /// Shards whose in-flight work ended and whose grant the target gave back, or that no longer
    /// can reach the target.
    pub released: Vec<Release>,
    /// The standby that has a whole copy of the ledger, where one has.
    pub copied: Option<id::Host>,
    /// The work done, in slot-microseconds, by shard.
    pub work: IndexMap<id::Shard, u64>,
    /// The work done for the hottest keys, in slot-microseconds.
    pub hot: IndexMap<Bytes, u64>,
    /// Whether a lane that was to end sends nothing more to its target.
    #[serde(default)]
    pub left: bool,
}

/// What a lane no longer sends to its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The shard, or the shard of the key.
    pub shard: id::Shard,
    /// The key, where a pin is released.
    pub key: Option<Bytes>,
    /// The fencing token of the grant that ended.
    pub token: id::Token,
}

/// The answer to a report: the parts of the table that are newer than those reported.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The global part, where newer.
    pub global: Option<Change<table::Global>>,
    /// The domains' parts that are newer.
    pub locals: Vec<Change<table::Local>>,
    /// How long after it sent the report the host's lanes may send, in microseconds; where absent
    /// the lease that the host has is not renewed.
    #[serde(default)]
    pub lease_us: Option<u64>,
    /// How long after it sent the report the host may serve the shards of each service that moves
    /// when its domain is cut off, in microseconds; it replaces what was told before. Services
    /// that are not named may be served without end.
    #[serde(default)]
    pub home_leases_us: IndexMap<id::Service, u64>,
    /// The domain's leader heard the report and the host may hold lanes: its lease runs anew from
    /// when it sent the report.
    #[serde(default)]
    pub leased: bool,
}

/// A change to a part of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change<T> {
    /// The whole part.
    Snapshot(T),
    /// What differs from the reported version, as encoded by the part's owner.
    Delta {
        /// The version to which it applies.
        from: id::Version,
        /// The changed entries: the part with only those entries that changed.
        changed: T,
        /// The paths of the entries that went away.
        removed: Vec<String>,
    },
}

/// Announcements keep their border form, JSON: it may leave fields out, which the positional
/// encoding of our own messages cannot.
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
