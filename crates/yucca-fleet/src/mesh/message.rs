//! Messages between the processes of a deployment.

use std::net;

use serde::{Deserialize, Serialize};
use yucca_lane::shared::quarantine;
use yucca_log::message as log_message;
use yucca_own::site::{balance, delta, item, lease, range, target};
use yucca_wire::id;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Takes part in the log.
    Control,
    /// Handles requests of callers.
    Entry,
}

/// Description of the sending process; the first message of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its role.
    pub role: Role,
    /// Its host.
    pub host: id::Host,
    /// The IP address of its host.
    pub ip: net::IpAddr,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// State version of a control host, sent to entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The version that the control host has applied.
    pub version: id::Version,
    /// Whether the control host is in contact with the leader and has applied all that it knows to
    /// be committed, so that this is the newest version except for a short delay.
    pub current: bool,
    /// The leader of the log, if known.
    pub leader: Option<net::IpAddr>,
}

/// Hosts that a control host knows, as sent to one entry host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// The control hosts.
    pub controls: Vec<net::IpAddr>,
    /// The entry hosts in the domain of the receiver.
    pub near: Vec<net::IpAddr>,
    /// Number of entry hosts in all domains.
    pub entries: usize,
}

/// Part of a target's announcement that needs the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRequest {
    /// The announced target, if it differs from the state of the host that received the
    /// announcement.
    pub announced: Option<target::Target>,
    /// The instance of the target.
    pub instance: target::Instance,
    /// Digest of the keys that it holds, if its service is divided by key.
    pub heartbeat: Option<lease::Digest>,
}

/// Why a control host does not perform a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The host is not the leader.
    NotLeader,
    /// The request was not performed, or it is unknown whether it was.
    Unavailable(String),
}

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Describes the sender.
    Hello(Hello),
    /// Shows that the sender is alive.
    Ping,
    /// Message between replicas of the log.
    Log(Box<log_message::Message>),
    /// The state version of a control host.
    Notice(Notice),
    /// The known hosts, sent when they change.
    Hosts(Hosts),
    /// Requests the changes since a version.
    Pull {
        /// The version that the sender has.
        have: id::Version,
    },
    /// Answers [`Message::Pull`].
    Delta(Box<delta::Delta>),
    /// Stripes that their owner is about to release. Requests for them wait until the stripes get
    /// another token. A control host forwards the message to the entry hosts of its domain.
    Moving {
        /// The service.
        service: item::Name,
        /// The stripes with their tokens.
        stripes: Vec<(u32, range::Token)>,
    },
    /// Request of a control host to the leader, for a target that announced itself to that host.
    #[serde(rename = "Ask")]
    LeaderRequest {
        /// Identifier of the request, returned in [`Message::LeaderReply`].
        request_id: u64,
        /// The request.
        request: Box<LeaderRequest>,
    },
    /// Answers [`Message::LeaderRequest`].
    #[serde(rename = "Reply")]
    LeaderReply {
        /// Identifier of the request.
        request_id: u64,
        /// The renewal of the target's lease. `None` renews nothing.
        reply: Result<Option<lease::Renewal>, Refusal>,
    },
    /// Measurements of an entry host.
    Report(Box<balance::Report>),
    /// Requests that crash targets, from an entry host to all control hosts and from those to all
    /// entry hosts.
    Quarantine(Box<quarantine::News>),
    /// Targets that the sender has heard from and told the leader nothing of, from a control host to
    /// the leader.
    Contacts(Vec<target::Number>),
    /// From an entry host to the leader: may it send this request once, though it is refused? The
    /// leader answers with the same message if it may, else not at all.
    Trial(quarantine::Digest),
}

impl Message {
    /// Returns whether the receiver may ignore the message. It is sent after a ping in the same
    /// frame, of which processes that don't know it read only the ping.
    pub fn is_optional(&self) -> bool {
        matches!(
            self,
            Self::Quarantine(_) | Self::Contacts(_) | Self::Trial(_)
        )
    }
}

/// Load digest: the open requests of one entry host at targets, sent as a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Sequence number, which increases with each datagram of a process; see
    /// [`yucca_lane::shared::digest::Sequence`].
    pub sequence: u64,
    /// The IP address of the entry host.
    pub ip: net::IpAddr,
    /// Number of open requests by target; targets that are not listed have none.
    pub loads: Vec<(target::Number, u32)>,
    /// Answers since the last datagram, by target: their number and their total service time in
    /// microseconds.
    pub times: Vec<(target::Number, u32, u64)>,
}
