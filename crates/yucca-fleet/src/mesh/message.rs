//! The messages between processes.

use std::net;

use serde::{Deserialize, Serialize};
use yucca_log::message as log_message;
use yucca_own::site::{balance, delta, item, lease, range, target};
use yucca_wire::id;

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Takes part in the log.
    Control,
    /// Takes requests of callers.
    Entry,
}

/// Who a process is; the first message of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// What it does.
    pub role: Role,
    /// Its host.
    pub host: id::Host,
    /// The address of its host.
    pub ip: net::IpAddr,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// What a control host tells those who follow the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The version that it has.
    pub version: id::Version,
    /// Whether it is in touch with the leader, so that this is the newest version but for
    /// moments.
    pub current: bool,
    /// The leader of the log, where it is known.
    pub leader: Option<net::IpAddr>,
}

/// The hosts that a control host knows of, for one follower.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// The control hosts.
    pub controls: Vec<net::IpAddr>,
    /// The entry hosts in the follower's domain.
    pub near: Vec<net::IpAddr>,
    /// How many entry hosts there are in all domains.
    pub entries: usize,
}

/// What a target's announcement asks of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// What the target says of itself, where that is news to the host that heard it.
    pub news: Option<target::Target>,
    /// Which target.
    pub life: target::Instance,
    /// What it says of its keys, where its service is divided by key.
    pub beat: Option<lease::Digest>,
}

/// Why the leader gives no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The host does not lead.
    NotLeader,
    /// It was not done, or whether it was done is not known.
    Unavailable(String),
}

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Who the sender is.
    Hello(Hello),
    /// The sender lives.
    Ping,
    /// Between replicas of the log.
    Log(Box<log_message::Message>),
    /// A control host's version.
    Notice(Notice),
    /// The hosts, when they have changed.
    Hosts(Hosts),
    /// Asks for what changed since a version.
    Pull {
        /// The version that the sender has.
        have: id::Version,
    },
    /// Answers [`Message::Pull`].
    Delta(Box<delta::Delta>),
    /// Stripes whose owner is about to release them. Until they get another token, requests for
    /// them wait. A control host passes it on to the entry hosts of its domain.
    Moving {
        /// The service.
        service: item::Name,
        /// The stripes with their tokens.
        stripes: Vec<(u32, range::Token)>,
    },
    /// A control host asks the leader, for a target that announced itself there.
    Ask {
        /// Comes back in [`Message::Reply`].
        ticket: u64,
        /// What is asked.
        ask: Box<Ask>,
    },
    /// Answers [`Message::Ask`].
    Reply {
        /// The ticket of the question.
        ticket: u64,
        /// What the target may hold; none renews nothing.
        reply: Result<Option<lease::Renewal>, Refusal>,
    },
    /// What an entry host has measured.
    Report(Box<balance::Report>),
}

/// The requests that one entry host has at targets, sent as a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Rises with each datagram of a process.
    pub sequence: u64,
    /// The host.
    pub ip: net::IpAddr,
    /// Targets with the requests there; those that are not named have none.
    pub loads: Vec<(target::Number, u32)>,
    /// Targets with the answers since the last datagram: their number, and their whole service time
    /// in microseconds.
    pub times: Vec<(target::Number, u32, u64)>,
}
