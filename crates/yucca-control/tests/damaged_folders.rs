//! Data folders that are damaged or belong to another host.

#![allow(clippy::unwrap_used)]

mod common;

use std::fs;

use yucca_control::message;
use yucca_control::process::core;
use yucca_log::storage;

const SEED: u64 = 111;

async fn started(folder: &std::path::Path) -> common::Deployment {
    let data = Some(folder.to_path_buf());
    let deployment = common::Deployment::start(&common::KELANI, data, SEED);
    deployment.wait_ready().await;
    let text = common::first_ticket(&deployment, 1);
    deployment.submit("colombo-1", &text).await;
    for number in 2..30 {
        let text = common::small_ticket(number, "before the damage");
        deployment.submit("colombo-1", &text).await;
    }
    deployment
}

#[tokio::test(start_paused = true)]
async fn damaged_log_is_set_aside_and_the_host_rejoins() {
    let folder = tempfile::tempdir().unwrap();
    let mut deployment = started(folder.path()).await;
    let log = message::Log::Global;
    let damaged = "ratmalana-2";
    let before = deployment.core(damaged).status(&log).unwrap();
    deployment.kill(damaged);
    // The folder is unlocked only after the last append has finished.
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let file = folder.path().join(damaged).join("global/log");
    let mut bytes = fs::read(&file).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    fs::write(&file, &bytes).unwrap();
    deployment.boot(damaged);
    assert!(
        folder
            .path()
            .join(damaged)
            .join("global/log.damaged")
            .exists()
    );
    let back = |d: &common::Deployment| {
        let status = d.core(damaged).status(&log).unwrap();
        let voters = status.members.voters();
        let own = voters.iter().find(|voter| voter.host.as_str() == damaged);
        let new = own.is_some_and(|own| !before.members.voters().contains(own));
        new && status.applied >= before.applied
    };
    deployment.wait_until("the host as a new voter", back).await;
    let shown = deployment.ask(damaged, "GET", "/tickets/29", "").await;
    assert_eq!(shown.status, 200);
}

#[tokio::test(start_paused = true)]
async fn folder_of_another_host_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let mut deployment = started(folder.path()).await;
    deployment.kill("colombo-1");
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let mut settings = deployment.settings("ratmalana-1");
    settings.data = Some(folder.path().join("colombo-1"));
    let sender = deployment.network.sender(deployment.address("ratmalana-1"));
    let other = core::Core::new(settings, std::sync::Arc::new(sender), SEED);
    let refused = core::run(&other).map(|_| ());
    assert!(
        matches!(refused, Err(storage::Error::OtherHost { .. })),
        "{refused:?}"
    );
}
