//! What control processes say to each other.

use std::fmt;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yucca_log::message;
use yucca_wire::{id, report};

/// The path of [`Batch`]; the answer is another one.
pub const LOG_PATH: &str = "/control/log";

/// The path of [`Poll`]; the answer is a [`PollReply`].
pub const POLL_PATH: &str = "/control/follow";

/// The path of [`ForwardReport`]; the answer is a [`ForwardReportReply`].
pub const FORWARD_REPORT_PATH: &str = "/control/hear";

/// The path of [`Propose`]; the answer is a [`ProposeReply`].
pub const PROPOSE_PATH: &str = "/control/propose";

/// The path of [`Query`]; the answer is a [`QueryReply`].
pub const QUERY_PATH: &str = "/control/question";

/// A message with what tells it from one that was recorded and sent again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The sender.
    pub from: id::Host,
    /// Tells the lives of the sender's process apart.
    pub incarnation: u64,
    /// Rises with each message of the sender to the receiver.
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
    /// The whole state of a deployment that has one log.
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

/// Asks for the parts of the table that are newer than these versions.
///
/// The answer is held back until there is news or the heartbeat interval ends.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// The global version that the asker has.
    pub global: id::Version,
    /// The domain versions that the asker has.
    pub locals: IndexMap<id::Domain, id::Version>,
}

/// The answer to [`Poll`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PollReply {
    /// What is newer.
    pub update: report::Update,
    /// Whether the process that answers is ready.
    pub current: bool,
    /// The leader of its domain, as far as it knows.
    pub leader: Option<id::Host>,
}

/// Passes a report on to the leader of the domain's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardReport {
    /// The domain of the host that reports.
    pub domain: id::Domain,
    /// The report.
    pub report: report::Report,
}

/// The answer to [`ForwardReport`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardReportReply {
    /// The leader took it in.
    #[serde(rename = "Yes")]
    Accepted {
        /// How long after it sent the report the host's lanes may send, in microseconds; none
        /// where its lease does not run anew.
        lease_us: Option<u64>,
        /// How long after it sent the report the host may serve each service that moves when its
        /// domain is cut off, in microseconds.
        home_leases_us: IndexMap<id::Service, u64>,
    },
    /// The receiver does not lead; it follows this host.
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

/// The answer to [`Propose`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ProposeReply {
    /// The entry is committed and applied.
    Applied(Receipt),
    /// The receiver does not lead; it follows this host.
    NotLeader(Option<id::Host>),
    /// Whether the entry will be committed is not known.
    Unknown(String),
}

/// What became of a committed entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The version of the entry.
    pub version: id::Version,
    /// What the state machine answered.
    pub reply: Bytes,
}

/// Asks another control process what it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The tickets, from the leader of the global log.
    Tickets,
    /// One ticket, from the leader of the global log.
    Ticket(id::Ticket),
    /// The hosts of a domain as its leader hears them.
    Hosts(id::Domain),
    /// What the process itself sees of the logs.
    Logs,
}

/// The answer to [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryReply {
    /// The answer, as JSON.
    Json(String),
    /// The receiver does not lead; it follows this host.
    NotLeader(Option<id::Host>),
    /// The receiver cannot tell.
    Unknown(String),
}
