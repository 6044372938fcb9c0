//! Restarts at each step of a write, before and after its sync.
#![allow(clippy::unwrap_used)]

mod fake;

use std::time::Duration;

use fake::{Net, millis};

/// Time between the points at which a restart is tried.
const STEP: Duration = Duration::from_micros(100);
/// Number of these points.
const STEPS: u32 = 40;

#[test]
fn a_restart_at_any_step_loses_no_acknowledged_entry() {
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
fn a_full_restart_loses_no_acknowledged_entry() {
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
