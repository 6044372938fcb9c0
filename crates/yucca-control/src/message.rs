//! Messages between control processes.

use std::fmt;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_log::message;
use yucca_wire::{id, report};

/// The path of [`Batch`]; the reply is another one.
pub const LOG_PATH: &str = "/control/log";

/// The path of [`Poll`]; the reply is a [`PollReply`].
pub const POLL_PATH: &str = "/control/follow";

/// The path of [`ForwardReport`]; the reply is a [`ForwardReportReply`].
pub const FORWARD_REPORT_PATH: &str = "/control/hear";

/// The path of [`Propose`]; the reply is a [`ProposeReply`].
pub const PROPOSE_PATH: &str = "/control/propose";

/// The path of [`Query`]; the reply is a [`QueryReply`].
pub const QUERY_PATH: &str = "/control/question";

/// A message with the fields by which a receiver detects replays.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The sender.
    pub from: id::Host,
    /// Random number that distinguishes the starts of the sender's process.
    pub incarnation: u64,
    /// Number that increases with each message of the sender to the receiver.
    pub sequence: u64,
    /// The message.
    pub body: T,
}

/// Names a replicated log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Log {
    /// Tickets and the home domains of shards.
    Global,
    /// The targets, owners and lanes of a domain.
    Domain(id::Domain),
    /// The whole state of a deployment that has only one log.
    Site,
}

impl fmt::Display for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Global => f.write_str("global"),
            Self::Domain(domain) => write!(f, "domain.{domain}"),
            Self::Site => f.write_str("site"),
        }
    }
}

/// Messages between the replicas of logs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The messages, in order.
    pub messages: Vec<message::Message>,
}

/// Requests the parts of the table that are newer than these versions.
///
/// The reply is delayed until there is a newer part or the heartbeat interval ends.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// The global version that the sender has.
    pub global: id::Version,
    /// The domain versions that the sender has.
    pub locals: IndexMap<id::Domain, id::Version>,
}

/// The reply to [`Poll`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PollReply {
    /// The newer parts.
    pub update: report::Update,
    /// Whether the process that replies has current versions.
    pub current: bool,
    /// The leader of its domain, if it knows one.
    pub leader: Option<id::Host>,
}

/// Forwards the report of a host to the leader of the domain's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardReport {
    /// The domain of the host that reports.
    pub domain: id::Domain,
    /// The report.
    pub report: report::Report,
}

/// The reply to [`ForwardReport`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardReportReply {
    /// The leader recorded the report.
    #[serde(rename = "Yes")]
    Accepted {
        /// Time for which the host's lanes may send, counted from the sending of the report, in
        /// microseconds; `None` if the lease of the host is not renewed.
        lease_us: Option<u64>,
        /// Time for which the host may serve each service that moves when its domain is cut off,
        /// counted from the sending of the report, in microseconds.
        home_leases_us: IndexMap<id::Service, u64>,
    },
    /// The receiver is not the leader; it knows this one, if any.
    NotLeader(Option<id::Host>),
}

/// Asks the leader of a log to add an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Propose {
    /// The log.
    pub log: Log,
    /// The entry.
    pub entry: Bytes,
}

/// The reply to [`Propose`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ProposeReply {
    /// The entry is committed and applied.
    Applied(Receipt),
    /// The receiver is not the leader; it knows this one, if any.
    NotLeader(Option<id::Host>),
    /// It is not known whether the entry will be committed, for this reason.
    Unknown(String),
}

/// The result of a committed entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The version of the entry.
    pub version: id::Version,
    /// The reply of the state machine.
    pub reply: Bytes,
}

/// Queries the state that another control process knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The tickets, from the leader of the global log.
    Tickets,
    /// One ticket, from the leader of the global log.
    Ticket(id::Ticket),
    /// The hosts of a domain, with the last report that its leader received of each.
    Hosts(id::Domain),
    /// The status of the logs that the receiver takes part in.
    Logs,
}

/// The reply to [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryReply {
    /// The result, as JSON.
    Json(String),
    /// The receiver is not the leader; it knows this one, if any.
    NotLeader(Option<id::Host>),
    /// The receiver cannot answer, for this reason.
    Unknown(String),
}
