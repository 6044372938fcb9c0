//! Confirms that a domain's leader still leads, for many reports at once.
//!
//! Each confirmation costs a round of messages to the quorum, so reports wait for the next one
//! instead of asking for one each.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::watch;

use crate::process::core::Core;
use crate::process::hosted;

/// How often leadership is confirmed while reports wait.
const INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How long a report waits for confirmation.
const PATIENCE: time::Duration = time::Duration::from_millis(400);

/// When leadership was last confirmed, on the clock of the process.
#[derive(Debug, Default)]
pub struct Confirmation {
    wanted: atomic::AtomicBool,
    /// When the newest confirmation that succeeded was asked for.
    asked: watch::Sender<time::Duration>,
}

impl Confirmation {
    /// Waits until it is confirmed that this host led at a time after `since`; false where that
    /// does not come.
    pub async fn wait(&self, since: time::Duration) -> bool {
        self.wanted.store(true, atomic::Ordering::Release);
        let mut asked = self.asked.subscribe();
        let confirmed = asked.wait_for(|asked| *asked >= since);
        matches!(tokio::time::timeout(PATIENCE, confirmed).await, Ok(Ok(_)))
    }
}

/// Confirms leadership of domains for which reports wait.
pub(super) async fn run(core: sync::Arc<Core>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for hosted in core.domains() {
            if hosted
                .confirmation
                .wanted
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
            .asked
            .send_if_modified(|asked| std::mem::replace(asked, now.max(*asked)) < now);
    }
}
