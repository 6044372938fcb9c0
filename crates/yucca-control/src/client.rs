//! Client of other control processes: numbers messages, encodes them and sends them.

use std::net;
use std::sync;
use std::time;

use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;
use yucca_wire::{codec, id};

use crate::message;
use crate::peer;

/// Sends messages to other control processes.
pub struct Client {
    peer: sync::Arc<dyn peer::Peer>,
    deployment: codec::Deployment,
    host: id::Host,
    incarnation: u64,
    sequences: sync::Mutex<IndexMap<net::SocketAddr, u64>>,
}

impl Client {
    /// Returns the client of a process on `host`; `incarnation` distinguishes its starts.
    pub fn new(
        peer: sync::Arc<dyn peer::Peer>,
        deployment: codec::Deployment,
        host: id::Host,
        incarnation: u64,
    ) -> Self {
        Self {
            peer,
            deployment,
            host,
            incarnation,
            sequences: sync::Mutex::default(),
        }
    }

    fn next_sequence(&self, to: net::SocketAddr) -> u64 {
        let mut sequences = self
            .sequences
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let sequence = sequences.entry(to).or_default();
        *sequence += 1;
        *sequence
    }

    /// Sends a message and returns the reply.
    ///
    /// # Errors
    /// Fails if the message is refused or there is no reply within `timeout`.
    pub async fn send<M: Serialize, A: DeserializeOwned>(
        &self,
        to: net::SocketAddr,
        path: &'static str,
        message: M,
        timeout: time::Duration,
    ) -> Result<A, peer::Error> {
        let envelope = message::Envelope {
            from: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.next_sequence(to),
            body: message,
        };
        let malformed = |error: codec::Error| peer::Error::Connection {
            to,
            reason: error.to_string(),
        };
        let frame = codec::encode(self.deployment, &envelope).map_err(malformed)?;
        let call = peer::Call {
            to,
            path,
            frame,
            timeout,
        };
        let answer = self.peer.call(call).await?;
        codec::decode(self.deployment, &answer).map_err(malformed)
    }
}
