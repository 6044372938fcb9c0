//! The path of tickets, reports and updates through all hosts of a deployment.

#![allow(clippy::unwrap_used)]

mod common;

use std::time;

use yucca_wire::id;

const SEED: u64 = 11;

#[tokio::test(start_paused = true)]
async fn one_process_serves_alone() {
    let alone = [common::Domain {
        name: "colombo",
        hosts: 1,
        disks: 0,
    }];
    let deployment = common::Deployment::start(&alone, None, SEED);
    deployment.wait_ready().await;
    let text = common::first_ticket(&deployment, 1);
    let version = deployment.submit("colombo-1", &text).await;
    let mut entry = common::Entry::new(&deployment, "colombo-1");
    entry.announced = vec![common::announce("desk-1", "ticket-desk", 9001)];
    let owned = |entry: &common::Entry| {
        let service: id::Service = "ticket-desk".parse().unwrap();
        let table = entry.table.table();
        let local = table.locals.values().next();
        local.is_some_and(|local| local.owners.get(&service).is_some_and(|o| o.len() == 64))
    };
    let start = tokio::time::Instant::now();
    while !owned(&entry) || !entry.leased {
        entry.report().await;
        assert!(
            start.elapsed() < time::Duration::from_secs(30),
            "{:?}",
            entry.table.table()
        );
    }
    assert!(entry.table.known().global.0 >= version);
}

#[tokio::test(start_paused = true)]
async fn any_of_eleven_hosts_accepts_a_ticket() {
    let deployment = common::Deployment::start(&common::KELANI, None, SEED);
    deployment.wait_ready().await;
    let text = common::first_ticket(&deployment, 1);
    let mut version = deployment.submit("colombo-3", &text).await;
    deployment.wait_for_version(version).await;
    for (index, name) in deployment.names().into_iter().enumerate() {
        let text = common::small_ticket(index as u64 + 2, "from each host");
        version = deployment.submit(&name, &text).await;
        let took = deployment.wait_for_version(version).await;
        assert!(took < time::Duration::from_secs(1), "{took:?}");
    }
    let shown = deployment.ask("maradana-4", "GET", "/tickets/3", "").await;
    assert_eq!(shown.status, 200);
    assert_eq!(shown.body["sender"], "nimal");
    assert_eq!(shown.body["content"]["summary"], "from each host");
    let list = deployment.ask("ratmalana-1", "GET", "/tickets", "").await;
    assert_eq!(list.body["accepted"], 12);
}
