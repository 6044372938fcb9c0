//! Questions to the leader, from control hosts that targets announce themselves to.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use tokio::sync::oneshot;
use yucca_own::site::{item, lease};
use yucca_wire::id;

use crate::control::Core;
use crate::mesh::message;
use crate::mutex::lock;

/// How long an answer of the leader is waited for; targets wait a second for theirs.
const PATIENCE: time::Duration = time::Duration::from_millis(700);

type Reply = Result<Option<lease::Renewal>, message::Refusal>;

/// Questions that wait for their answer.
#[derive(Default)]
pub struct Questions {
    next: atomic::AtomicU64,
    open: sync::Mutex<IndexMap<u64, oneshot::Sender<Reply>>>,
}

impl Core {
    /// Asks the leader.
    pub(super) async fn ask_leader(&self, ask: message::Ask) -> Reply {
        let standing = self.replica.standing();
        let Some(leader) = standing.leader.filter(|_| !standing.leads) else {
            return Err(message::Refusal::NotLeader);
        };
        let ticket = self.questions.next.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&self.questions.open).insert(ticket, sender);
        let ask = Box::new(ask);
        self.carrier
            .say(&leader, message::Message::Ask { ticket, ask });
        let reply = tokio::time::timeout(PATIENCE, receiver).await;
        lock(&self.questions.open).swap_remove(&ticket);
        match reply {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => {
                let reason = format!("leader {leader} did not answer in time");
                Err(message::Refusal::Unavailable(reason))
            }
        }
    }

    /// Answers a question of another control host.
    pub(super) fn answer_ask(
        self: &sync::Arc<Self>,
        from: id::Host,
        ticket: u64,
        ask: message::Ask,
    ) {
        let core = self.clone();
        tokio::spawn(async move {
            let reply = core.decide(ask).await;
            core.carrier
                .say(&from, message::Message::Reply { ticket, reply });
        });
    }

    /// Takes in the leader's answer.
    pub(super) fn note_reply(&self, ticket: u64, reply: Reply) {
        let waiting = lock(&self.questions.open).swap_remove(&ticket);
        if let Some(waiting) = waiting {
            // Whoever asked may have gone.
            waiting.send(reply).ok();
        }
    }

    /// Returns where a target of a domain should announce itself: at a control host of that domain
    /// which is in touch, else here.
    pub(super) fn nearest(&self, domain: &item::Name) -> net::SocketAddr {
        let own = net::SocketAddr::new(self.settings.ip, self.operator_port);
        if domain.0 == self.settings.domain.as_str() {
            return own;
        }
        let followers = lock(&self.followers);
        let near = followers.values().find(|follower| {
            let peer = follower.peer();
            peer.role == message::Role::Control && peer.domain.as_str() == domain.0
        });
        near.map_or(own, |near| {
            net::SocketAddr::new(near.peer().ip, self.operator_port)
        })
    }
}
