//! The messages between processes.

use std::net;

use serde::{Deserialize, Serialize};
use yucca_log::message as log_message;
use yucca_own::site::{balance, delta, item, range, target};
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
    /// The control hosts.
    pub controls: Vec<net::IpAddr>,
    /// The entry hosts with their failure domains.
    pub entries: Vec<(net::IpAddr, id::Domain)>,
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
    /// A control host's version and hosts.
    Notice(Notice),
    /// Asks for what changed since a version.
    Pull {
        /// The version that the sender has.
        have: id::Version,
    },
    /// Answers [`Message::Pull`].
    Delta(Box<delta::Delta>),
    /// Stripes whose owner is about to release them. Until they get another token, requests for
    /// them wait.
    Moving {
        /// The service.
        service: item::Name,
        /// The stripes with their tokens.
        stripes: Vec<(u32, range::Token)>,
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
}
