//! Carries the messages of the log to other control hosts.

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

/// One connection to each control host that the log has messages for.
pub struct Carrier {
    hello: message::Hello,
    port: u16,
    events: mpsc::Sender<link::Event>,
    dialers: sync::Mutex<IndexMap<net::IpAddr, link::Dialer>>,
}

impl Carrier {
    /// Returns a carrier without any connection.
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

    /// Sends a message without waiting; it may be lost, and who waits for an answer then waits in
    /// vain and tries again.
    pub fn say(&self, to: &id::Host, message: message::Message) {
        match to.as_str().parse::<net::IpAddr>() {
            Ok(ip) => {
                let _ = self.with(ip, |dialer| dialer.send(message));
            }
            Err(_) => log::error!("host {to} is not named by an address and can't be reached"),
        }
    }

    /// Opens connections to hosts, so that the first message to them need not wait.
    pub fn dial(&self, ips: &[net::IpAddr]) {
        for ip in ips.iter().filter(|ip| **ip != self.hello.ip) {
            self.with(*ip, |_| ());
        }
    }

    fn with<T>(&self, ip: net::IpAddr, then: impl FnOnce(&link::Dialer) -> T) -> T {
        let mut dialers = lock(&self.dialers);
        let dialer = dialers.entry(ip).or_insert_with(|| {
            let address = net::SocketAddr::new(ip, self.port);
            link::Dialer::start(address, self.hello.clone(), self.events.clone())
        });
        then(dialer)
    }
}

impl replica::Carrier for Carrier {
    fn send(&self, to: &id::Host, message: log_message::Message) {
        self.say(to, message::Message::Log(Box::new(message)));
    }
}
