//! Requests to the leader, from control hosts that targets announce themselves to.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use tokio::sync::oneshot;
use yucca_own::site::{item, lease, target};
use yucca_wire::id;

use crate::contact;
use crate::control::Core;
use crate::mesh::message;
use crate::mutex::lock;

/// Maximum time to wait for an answer of the leader. Targets wait one second for their answer.
const LEADER_TIMEOUT: time::Duration = time::Duration::from_millis(700);

type Reply = Result<Option<lease::Renewal>, message::Refusal>;

/// Requests that wait for an answer of the leader.
#[derive(Default)]
pub struct PendingRequests {
    next_id: atomic::AtomicU64,
    open: sync::Mutex<IndexMap<u64, oneshot::Sender<Reply>>>,
}

/// A request that waits for an answer of the leader. Dropping it ends the wait.
pub struct Pending<'a> {
    requests: &'a PendingRequests,
    id: u64,
    receiver: oneshot::Receiver<Reply>,
}

impl PendingRequests {
    /// Opens a request.
    pub fn open(&self) -> Pending<'_> {
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&self.open).insert(id, sender);
        Pending {
            requests: self,
            id,
            receiver,
        }
    }

    /// Passes an answer to the request that waits for it, if it still does.
    fn answer(&self, id: u64, reply: Reply) {
        let sender = lock(&self.open).swap_remove(&id);
        if let Some(sender) = sender {
            // The request may have timed out.
            sender.send(reply).ok();
        }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        lock(&self.requests.open).swap_remove(&self.id);
    }
}

impl Core {
    /// Sends a request to the leader and waits for the answer.
    pub(super) async fn request_from_leader(&self, request: message::LeaderRequest) -> Reply {
        let status = self.replica.status();
        let Some(leader) = status.leader.filter(|_| !status.leads) else {
            return Err(message::Refusal::NotLeader);
        };
        let mut pending = self.leader_requests.open();
        let request = message::Message::LeaderRequest {
            request_id: pending.id,
            request: Box::new(request),
        };
        self.transport.send_message(&leader, request);
        let reply = tokio::time::timeout(LEADER_TIMEOUT, &mut pending.receiver).await;
        match reply {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => {
                let reason = format!("leader {leader} did not answer in time");
                Err(message::Refusal::Unavailable(reason))
            }
        }
    }

    /// Performs and answers a request of another control host.
    pub(super) fn handle_leader_request(
        self: &sync::Arc<Self>,
        from: id::Host,
        request_id: u64,
        request: message::LeaderRequest,
    ) {
        let core = self.clone();
        tokio::spawn(async move {
            let reply = core.decide(request).await;
            core.transport
                .send_message(&from, message::Message::LeaderReply { request_id, reply });
        });
    }

    /// Passes an answer of the leader to the waiting request.
    pub(super) fn handle_leader_reply(&self, request_id: u64, reply: Reply) {
        self.leader_requests.answer(request_id, reply);
    }

    /// Tells the leader at each announcement interval which targets were heard from.
    pub(super) async fn tell_contacts(self: sync::Arc<Self>) {
        loop {
            tokio::time::sleep(self.settings.timing.announce.0).await;
            let heard: Vec<target::Number> = lock(&self.heard).drain(..).collect();
            let status = self.replica.status();
            if status.leads {
                self.record_contacts(&heard);
            } else if let Some(leader) = status.leader.filter(|_| !heard.is_empty()) {
                self.transport
                    .send_message(&leader, message::Message::Contacts(heard));
            }
        }
    }

    /// Returns the address at which a target of a domain should announce itself: this host if it is
    /// in the domain, or else a connected control host there, if any.
    pub(super) fn nearest(&self, domain: &item::Name, target: &item::Name) -> net::SocketAddr {
        let own = net::SocketAddr::new(self.settings.ip, self.operator_port);
        if domain.0 == self.settings.domain.as_str() {
            return own;
        }
        let Ok(domain) = domain.0.parse() else {
            return own;
        };
        let controls = self.near_controls(&lock(&self.peers), &domain);
        let near = contact::source(&controls, target.0.as_str());
        near.map_or(own, |near| net::SocketAddr::new(near, self.operator_port))
    }
}
