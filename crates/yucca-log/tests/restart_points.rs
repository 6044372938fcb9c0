//! Restarts at each point of a write, with the sync done and not done.
#![allow(clippy::unwrap_used)]

mod fake;

use std::time::Duration;

use fake::{Net, millis};

/// A restart is tried after each of so many steps of this length.
const STEP: Duration = Duration::from_micros(100);
const STEPS: u32 = 40;

#[test]
fn nothing_acknowledged_is_lost_whichever_replica_restarts_when() {
    for step in 0..STEPS {
        for victim in 0..3 {
            let mut net = Net::new(&["a", "b", "c"], u64::from(step));
            net.commit("one");
            let leader = net.leader().unwrap();
            net.propose(&leader, "two");
            net.run(STEP * step);
            let name = net.names()[victim].clone();
            net.restart(&name);
            net.settle();
        }
    }
}

#[test]
fn nothing_acknowledged_is_lost_when_all_restart_at_once() {
    for step in 0..STEPS {
        let mut net = Net::new(&["a", "b", "c"], u64::from(step));
        net.commit("one");
        let leader = net.leader().unwrap();
        net.propose(&leader, "two");
        net.run(STEP * step);
        for name in net.names() {
            net.restart(&name);
        }
        net.settle();
    }
}

#[test]
fn many_proposals_share_a_sync() {
    let mut net = Net::new(&["a", "b", "c"], 3);
    let leader = net.await_leader();
    net.run(millis(100));
    let before = net.appends;
    for number in 0..500 {
        net.propose(&leader, format!("{number}"));
    }
    net.run_until(millis(5_000), |net| net.answers.len() == 500);
    let syncs = net.appends - before;
    assert!(syncs <= 12, "{syncs} syncs at three replicas");
    net.settle();
}
