//! Collects what entry hosts know of requests that crash targets, and tells all of them.

use std::time;

use yucca_lane::shared::quarantine;

use crate::control::Core;
use crate::control::peer::Peer;
use crate::mesh::{link, message};
use crate::mutex::lock;

impl Core {
    /// Handles changes that an entry host tells. Each entry host tells every control host, so that
    /// those tell each other nothing.
    pub(super) fn handle_quarantine(&self, news: &quarantine::News) {
        let told = self.merge(news, self.clock.now());
        if told.is_empty() {
            return;
        }
        for peer in lock(&self.peers).values() {
            tell(peer, &told);
        }
    }

    /// Lets an entry host send a refused request once, if that is due and this host is the leader.
    pub(super) fn handle_trial(&self, id: link::Id, digest: quarantine::Digest) {
        if !self.replica.status().leads {
            return;
        }
        let peers = lock(&self.peers);
        let due = lock(&self.quarantine).start_trial(&digest, self.clock.now());
        if let Some(peer) = peers.get(&id).filter(|_| due) {
            log::info!("digest={digest} may be sent once by {}", peer.hello().host);
            let _ = peer.send(message::Message::Trial(digest));
        }
    }

    /// Tells an entry host that has just connected all that is known.
    pub(super) fn tell_quarantine(&self, peer: &Peer) {
        let table = lock(&self.quarantine);
        let known = table.all(self.clock.now()).into_iter();
        let crashes = known.filter(|evidence| table.concerns_all(&evidence.digest));
        let news = quarantine::News {
            crashes: crashes.collect(),
            ..quarantine::News::default()
        };
        drop(table);
        tell(peer, &news);
    }

    /// Returns the changes that concern all hosts.
    fn merge(&self, news: &quarantine::News, now: time::Duration) -> quarantine::News {
        let mut table = lock(&self.quarantine);
        let mut told = quarantine::News::default();
        for (digest, known) in table.merge_all(&news.crashes, now) {
            if table.concerns_all(&digest) {
                told.crashes.extend(known);
            }
        }
        let cleared = news.cleared.iter().filter(|digest| table.clear(digest));
        told.cleared.extend(cleared);
        told
    }
}

/// Sends changes to an entry host. One that misses them gets all when it connects again.
fn tell(peer: &Peer, news: &quarantine::News) {
    if peer.hello().role == message::Role::Entry && !news.is_empty() {
        let _ = peer.send(message::Message::Quarantine(Box::new(news.clone())));
    }
}
