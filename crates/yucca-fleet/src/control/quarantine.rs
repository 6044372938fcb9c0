//! Collects what entry hosts know of requests that crash targets, and tells all of them.

use std::time;

use yucca_lane::shared::quarantine;

use crate::control::Core;
use crate::control::peer::Peer;
use crate::mesh::message;
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

    /// Tells an entry host that has just connected all that is known.
    pub(super) fn tell_quarantine(&self, peer: &Peer) {
        let known = lock(&self.quarantine).all(self.clock.now()).into_iter();
        tell(
            peer,
            &quarantine::News {
                crashes: known.filter(concerns_all).collect(),
                ..quarantine::News::default()
            },
        );
    }

    /// Returns the changes that concern all hosts.
    fn merge(&self, news: &quarantine::News, now: time::Duration) -> quarantine::News {
        let mut table = lock(&self.quarantine);
        let mut told = quarantine::News::default();
        for seen in &news.crashes {
            let added = table.merge(seen, now);
            told.crashes.extend(added.filter(concerns_all));
        }
        let cleared = news.cleared.iter().filter(|digest| table.clear(digest));
        told.cleared.extend(cleared);
        told
    }
}

/// Returns whether other hosts have to know of the request, to refuse it or to report an answer.
fn concerns_all(evidence: &quarantine::Evidence) -> bool {
    evidence.targets.len() >= quarantine::SUSPECT_CRASHES
}

/// Sends changes to an entry host. One that misses them gets all when it connects again.
fn tell(peer: &Peer, news: &quarantine::News) {
    if peer.hello().role == message::Role::Entry && !news.is_empty() {
        let _ = peer.send(message::Message::Quarantine(Box::new(news.clone())));
    }
}
