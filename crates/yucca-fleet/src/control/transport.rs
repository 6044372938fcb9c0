//! Sends messages to other control hosts.

use std::net;
use std::sync;

use indexmap::IndexMap;
use tokio::sync::mpsc;
use yucca_control::replica;
use yucca_log::message as log_message;
use yucca_wire::id;

use crate::mesh::{link, message};
use crate::mutex::lock;
use crate::settings;

/// Connections to other control hosts, one for each.
pub struct Transport {
    hello: message::Hello,
    port: u16,
    events: mpsc::Sender<link::Event>,
    dialers: sync::Mutex<IndexMap<net::IpAddr, link::Dialer>>,
}

impl Transport {
    /// Creates a transport without connections.
    pub fn new(
        settings: &settings::Settings,
        hello: message::Hello,
        events: mpsc::Sender<link::Event>,
    ) -> Self {
        Self {
            hello,
            port: settings.addresses.mesh.port(),
            events,
            dialers: sync::Mutex::default(),
        }
    }

    /// Sends a message without waiting. It may be lost, so a caller that needs an answer must retry
    /// after a timeout.
    pub fn send_message(&self, to: &id::Host, message: message::Message) {
        match to.as_str().parse::<net::IpAddr>() {
            Ok(ip) => {
                let _ = self.with_dialer(ip, |dialer| dialer.send(message));
            }
            Err(_) => log::error!("host {to} can't be reached: its name is not an IP address"),
        }
    }

    /// Opens connections to hosts, so that the first message to them does not wait.
    pub fn dial(&self, ips: &[net::IpAddr]) {
        for ip in ips.iter().filter(|ip| **ip != self.hello.ip) {
            self.with_dialer(*ip, |_| ());
        }
    }

    fn with_dialer<T>(&self, ip: net::IpAddr, then: impl FnOnce(&link::Dialer) -> T) -> T {
        let mut dialers = lock(&self.dialers);
        let dialer = dialers.entry(ip).or_insert_with(|| {
            let address = net::SocketAddr::new(ip, self.port);
            link::Dialer::start(address, self.hello.clone(), self.events.clone())
        });
        then(dialer)
    }
}

impl replica::Transport for Transport {
    fn send(&self, to: &id::Host, message: log_message::Message) {
        self.send_message(to, message::Message::Log(Box::new(message)));
    }
}
