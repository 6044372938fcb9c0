//! Snapshots: truncation of the log, installation in chunks, restart from a snapshot.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Net, millis};
use test_case::test_case;

fn fill(net: &mut Net, count: usize) {
    for number in 0..count {
        net.commit(&format!("entry {number}"));
    }
}

#[test]
fn the_log_is_truncated() {
    let mut net = Net::new(&["a", "b", "c"], 1);
    fill(&mut net, 500);
    net.run(millis(200));
    for name in net.names() {
        let held = net.hosts[&name].image.entries.len();
        assert!(held < 80, "{name} retains {held} entries");
    }
    net.settle();
}

#[test_case(0.0; "calm")]
#[test_case(0.2; "lossy")]
fn a_lagging_follower_receives_a_snapshot_in_chunks(loss: f64) {
    let mut net = Net::new(&["a", "b", "c"], 2);
    net.state_bytes = 3 << 20;
    net.await_leader();
    let behind = net.followers()[0].clone();
    net.crash(&behind);
    fill(&mut net, 300);
    net.conditions.loss = loss;
    net.conditions.duplication = loss;
    net.start(&behind);
    let leader = net.leader().unwrap();
    let commit = net.node(&leader).commit();
    net.run_until(millis(20_000), |net| net.hosts[&behind].applied >= commit);
    assert!(net.hosts[&behind].installs > 0);
    net.settle();
}

#[test]
fn a_snapshot_is_restored_after_a_restart() {
    let mut net = Net::new(&["a", "b", "c"], 3);
    fill(&mut net, 300);
    for name in net.names() {
        net.restart(&name);
    }
    for name in net.names() {
        assert!(net.hosts[&name].installs > 0);
    }
    net.settle();
}

#[test]
fn a_snapshot_is_resent_after_its_sender_crashes() {
    let mut net = Net::new(&["a", "b", "c"], 4);
    net.state_bytes = 8 << 20;
    net.await_leader();
    let behind = net.followers()[0].clone();
    net.crash(&behind);
    fill(&mut net, 200);
    net.start(&behind);
    net.run(millis(10));
    assert_eq!(
        net.hosts[&behind].installs, 0,
        "the snapshot was installed before the crash"
    );
    let old = net.leader().unwrap();
    net.crash(&old);
    net.run_until(millis(10_000), |net| net.hosts[&behind].installs > 0);
    assert!(net.hosts[&behind].installs > 0);
    net.settle();
}
