//! Requests that are refused because they crash targets, and what this host tells others of them.

use std::sync;
use std::time;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{mpsc, oneshot};
use yucca_lane::shared::quarantine;
use yucca_own::site::target as site;

use crate::entry::{Core, crash, view};
use crate::mutex::lock;

/// Maximum number of messages that wait to be sent to control hosts.
const MAX_QUEUED: usize = 256;

/// Minimum interval between questions to the leader about one request.
const TRIAL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum time that a request waits for the leader's answer. Without one it is refused.
const TRIAL_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// What this host knows of requests that crash targets.
pub struct Quarantine {
    table: sync::Mutex<quarantine::Table>,
    queue: mpsc::Sender<Outgoing>,
    /// Questions to the leader about refused requests, with the time of each.
    trials: sync::Mutex<IndexMap<quarantine::Digest, (time::Duration, oneshot::Sender<()>)>>,
}

/// Message to control hosts.
pub enum Outgoing {
    /// Changes to tell all of them.
    News(quarantine::News),
    /// Question to the leader whether this host may send a refused request once.
    Trial(quarantine::Digest),
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> (Self, mpsc::Receiver<Outgoing>) {
        let (queue, receiver) = mpsc::channel(MAX_QUEUED);
        let quarantine = Self {
            table: sync::Mutex::default(),
            queue,
            trials: sync::Mutex::default(),
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
        add(&mut table, &news.crashes, now);
        for digest in &news.cleared {
            table.clear(digest);
        }
        count_refused(&table, now);
    }

    /// Asks the leader whether this host may send a refused request once. Returns a receiver of the
    /// permission, or `None` if a trial is not due or the leader was asked a moment ago.
    fn ask(
        &self,
        digest: quarantine::Digest,
        now: time::Duration,
    ) -> Option<oneshot::Receiver<()>> {
        if !lock(&self.table).is_trial_due(&digest, now) {
            return None;
        }
        let mut trials = lock(&self.trials);
        trials.retain(|_, (asked, _)| now < *asked + TRIAL_INTERVAL);
        if trials.contains_key(&digest) {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.queue.try_send(Outgoing::Trial(digest)).ok()?;
        trials.insert(digest, (now, sender));
        Some(receiver)
    }

    /// Handles the leader's permission to send a refused request once.
    pub fn permit(&self, digest: &quarantine::Digest) {
        let asked = lock(&self.trials).swap_remove(digest);
        if let Some((_, sender)) = asked {
            // The request may have given up.
            sender.send(()).ok();
        }
    }

    /// Returns all that is known, for a control host that may have started after it.
    pub fn all(&self, now: time::Duration) -> quarantine::News {
        quarantine::News {
            crashes: lock(&self.table).all(now),
            ..quarantine::News::default()
        }
    }

    fn record_crash(&self, crash: &[quarantine::Evidence], now: time::Duration) {
        let crashes = add(&mut lock(&self.table), crash, now);
        if !crashes.is_empty() {
            self.tell(quarantine::News {
                crashes,
                ..quarantine::News::default()
            });
        }
    }

    fn tell(&self, news: quarantine::News) {
        if self.queue.try_send(Outgoing::News(news)).is_err() {
            log::warn!(
                "{MAX_QUEUED} messages about quarantined requests wait for control hosts; one is lost"
            );
        }
    }
}

/// Adds evidence to a table, and logs which requests are refused from now on. Returns all that is
/// known of the requests of which that is more than before.
fn add(
    table: &mut quarantine::Table,
    seen: &[quarantine::Evidence],
    now: time::Duration,
) -> Vec<quarantine::Evidence> {
    let digests: IndexSet<quarantine::Digest> = seen.iter().map(|part| part.digest).collect();
    let accepted: Vec<quarantine::Digest> = digests
        .into_iter()
        .filter(|digest| !table.is_refused(digest, now))
        .collect();
    let more = table.merge_all(seen, now);
    for digest in accepted {
        if table.is_refused(&digest, now) {
            let targets = table.crashed(&digest);
            let targets: Vec<String> = targets.iter().map(ToString::to_string).collect();
            log::warn!(
                "digest={digest} refused: it was sent again each time, and targets {} ended while \
                 they ran it",
                targets.join(" ")
            );
        }
    }
    count_refused(table, now);
    more.into_values().flatten().collect()
}

fn count_refused(table: &quarantine::Table, now: time::Duration) {
    metrics::gauge!("yucca_entry_quarantined_requests").set(table.refused_count(now) as f64);
}

/// Attempt that ended without an answer.
pub(super) struct Lost {
    /// The request.
    pub digest: quarantine::Digest,
    /// The instance that it was sent to.
    pub number: site::Number,
    /// When it was sent.
    pub sent: time::Duration,
    /// When its connection ended.
    pub ended: time::Duration,
}

impl Core {
    /// Checks whether a target has ended while it ran a request.
    pub(super) async fn check_crash(self: sync::Arc<Self>, lost: Lost, target: view::Target) {
        if !crash::has_ended(target.address).await {
            return;
        }
        let Lost {
            digest,
            number,
            sent,
            ended,
        } = lost;
        metrics::counter!("yucca_entry_crashes_total").increment(1);
        log::info!(
            "target={} number={number} ended; ran digest={digest} for {:?}",
            target.name,
            ended.saturating_sub(sent)
        );
        let now = self.clock.now();
        let [sent, ended] = [sent, ended].map(|at| now.saturating_sub(at));
        let crash = quarantine::Evidence::crash(digest, number, sent, ended);
        self.quarantine.record_crash(&crash, now);
    }

    /// Returns whether a refused request may be sent once, to find out whether it still crashes
    /// targets.
    pub(super) async fn may_try(&self, digest: quarantine::Digest) -> bool {
        let Some(permission) = self.quarantine.ask(digest, self.clock.now()) else {
            return false;
        };
        let permitted = tokio::time::timeout(TRIAL_TIMEOUT, permission).await;
        matches!(permitted, Ok(Ok(())))
    }
}
