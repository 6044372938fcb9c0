//! Requests that are refused because they crash targets, and what this host tells others of them.

use std::sync;
use std::time;

use tokio::sync::mpsc;
use yucca_lane::shared::quarantine;
use yucca_own::site::target as site;

use crate::entry::{Core, crash, view};
use crate::mutex::lock;

/// Maximum number of changes that wait to be told to control hosts.
const MAX_QUEUED_NEWS: usize = 256;

/// What this host knows of requests that crash targets.
pub struct Quarantine {
    table: sync::Mutex<quarantine::Table>,
    news: mpsc::Sender<quarantine::News>,
}

/// Changes to tell the control hosts.
pub type News = mpsc::Receiver<quarantine::News>;

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> (Self, News) {
        let (news, receiver) = mpsc::channel(MAX_QUEUED_NEWS);
        let quarantine = Self {
            table: sync::Mutex::default(),
            news,
        };
        (quarantine, receiver)
    }

    /// Returns whether a request is refused. Its digest is not needed while nothing is known of any
    /// request.
    pub fn refuses(
        &self,
        digest: impl FnOnce() -> quarantine::Digest,
        now: time::Duration,
    ) -> bool {
        let table = lock(&self.table);
        let refused = !table.is_empty() && table.is_refused(&digest(), now);
        if refused {
            metrics::counter!("yucca_entry_quarantine_refusals_total").increment(1);
        }
        refused
    }

    /// Clears a request that a target answered.
    pub fn clear(&self, digest: impl FnOnce() -> quarantine::Digest, now: time::Duration) {
        let mut table = lock(&self.table);
        if table.is_empty() {
            return;
        }
        let digest = digest();
        if table.clear(&digest) {
            count_refused(&table, now);
            drop(table);
            log::info!("digest={digest} was answered; no longer suspected of crashing targets");
            self.tell(quarantine::News {
                cleared: vec![digest],
                ..quarantine::News::default()
            });
        }
    }

    /// Adds what a control host has told.
    pub fn merge(&self, news: &quarantine::News, now: time::Duration) {
        let mut table = lock(&self.table);
        for seen in &news.crashes {
            add(&mut table, seen, now);
        }
        for digest in &news.cleared {
            table.clear(digest);
        }
        count_refused(&table, now);
    }

    /// Returns all that is known, for a control host that may have started after it.
    pub fn all(&self, now: time::Duration) -> quarantine::News {
        quarantine::News {
            crashes: lock(&self.table).all(now),
            ..quarantine::News::default()
        }
    }

    fn record_crash(&self, seen: &quarantine::Evidence, now: time::Duration) {
        let added = add(&mut lock(&self.table), seen, now);
        if let Some(evidence) = added {
            self.tell(quarantine::News {
                crashes: vec![evidence],
                ..quarantine::News::default()
            });
        }
    }

    fn tell(&self, news: quarantine::News) {
        if self.news.try_send(news).is_err() {
            log::warn!(
                "{MAX_QUEUED_NEWS} changes of quarantined requests wait for control hosts; one is lost"
            );
        }
    }
}

/// Adds evidence to a table, and logs that a request is refused from now on.
fn add(
    table: &mut quarantine::Table,
    seen: &quarantine::Evidence,
    now: time::Duration,
) -> Option<quarantine::Evidence> {
    let before = table.is_refused(&seen.digest, now);
    let added = table.merge(seen, now)?;
    if !before && table.is_refused(&seen.digest, now) {
        let targets: Vec<String> = added.targets.iter().map(ToString::to_string).collect();
        log::warn!(
            "digest={} refused: targets {} ended while they ran it",
            seen.digest,
            targets.join(" ")
        );
    }
    count_refused(table, now);
    Some(added)
}

fn count_refused(table: &quarantine::Table, now: time::Duration) {
    metrics::gauge!("yucca_entry_quarantined_requests").set(table.refused_count(now) as f64);
}

impl Core {
    /// Checks whether a target has ended while it ran a request.
    pub(super) async fn check_crash(
        self: sync::Arc<Self>,
        digest: quarantine::Digest,
        number: site::Number,
        target: view::Target,
    ) {
        if !crash::has_ended(target.address).await {
            return;
        }
        metrics::counter!("yucca_entry_crashes_total").increment(1);
        log::info!(
            "target={} number={number} ended; ran digest={digest}",
            target.name
        );
        let seen = quarantine::Evidence {
            digest,
            targets: vec![number],
            age: time::Duration::ZERO,
        };
        self.quarantine.record_crash(&seen, self.clock.now());
    }
}
