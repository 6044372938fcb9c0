//! Confirms that this host still leads a domain's log, for many reports at once.
//!
//! Each confirmation costs a round of messages to the quorum, so reports share the next one instead
//! of requesting one each.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::watch;

use crate::process::core::Core;
use crate::process::hosted;

/// Interval of confirmations while reports wait.
const INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Maximum time that a report waits for a confirmation.
const TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Confirmation of leadership, on the clock of the process.
#[derive(Debug, Default)]
pub struct Confirmation {
    requested: atomic::AtomicBool,
    /// When the newest successful confirmation was started.
    started: watch::Sender<time::Duration>,
}

impl Confirmation {
    /// Waits until it is confirmed that this host was the leader at `since` or later; returns false
    /// if there is no confirmation in time.
    pub async fn wait(&self, since: time::Duration) -> bool {
        self.requested.store(true, atomic::Ordering::Release);
        let mut started = self.started.subscribe();
        let confirmed = started.wait_for(|started| *started >= since);
        matches!(tokio::time::timeout(TIMEOUT, confirmed).await, Ok(Ok(_)))
    }
}

/// Confirms leadership of the domains for which reports wait, until the task is aborted.
pub(super) async fn run(core: sync::Arc<Core>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for hosted in core.domains() {
            if hosted
                .confirmation
                .requested
                .swap(false, atomic::Ordering::AcqRel)
            {
                let core = core.clone();
                tokio::spawn(async move { confirm(&core, &hosted).await });
            }
        }
    }
}

async fn confirm(core: &Core, hosted: &hosted::Domain) {
    let now = core.now();
    if hosted.replica.read().await.is_ok() {
        hosted
            .confirmation
            .started
            .send_if_modified(|started| std::mem::replace(started, now.max(*started)) < now);
    }
}
