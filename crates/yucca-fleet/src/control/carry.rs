//! Carries the messages of the log to other control hosts.

use std::net;
use std::sync;

use indexmap::IndexMap;
use tokio::sync::mpsc;
use yucca_control::replica;
use yucca_log::message as log_message;
use yucca_wire::id;

use crate::control::lock;
use crate::mesh::{link, message};
use crate::settings;

/// One connection to each control host that the log has messages for.
pub struct Carrier {
    hello: message::Hello,
    port: u16,
    events: mpsc::Sender<link::Event>,
    dialers: sync::Mutex<IndexMap<id::Host, link::Dialer>>,
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
        let mut dialers = lock(&self.dialers);
        if !dialers.contains_key(to) {
            let Ok(ip) = to.as_str().parse::<net::IpAddr>() else {
                log::error!("host {to} is not named by an address and can't be reached");
                return;
            };
            let address = net::SocketAddr::new(ip, self.port);
            let dialer = link::Dialer::start(address, self.hello.clone(), self.events.clone());
            dialers.insert(to.clone(), dialer);
        }
        if let Some(dialer) = dialers.get(to) {
            let _ = dialer.send(message);
        }
    }
}

impl replica::Carrier for Carrier {
    fn send(&self, to: &id::Host, message: log_message::Message) {
        self.say(to, message::Message::Log(Box::new(message)));
    }
}
