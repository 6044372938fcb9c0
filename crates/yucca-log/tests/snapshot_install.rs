//! Snapshots: truncation, installation in chunks, restarts from one.
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
        let held = net.slots[&name].image.entries.len();
        assert!(held < 80, "{name} keeps {held} entries");
    }
    net.settle();
}

#[test_case(0.0; "calm")]
#[test_case(0.2; "lossy")]
fn a_follower_left_behind_takes_a_snapshot_in_chunks(loss: f64) {
    let mut net = Net::new(&["a", "b", "c"], 2);
    net.state_bytes = 3 << 20;
    net.await_leader();
    let behind = net.followers()[0].clone();
    net.crash(&behind);
    fill(&mut net, 300);
    net.weather.loss = loss;
    net.weather.duplication = loss;
    net.start(&behind);
    let leader = net.leader().unwrap();
    let commit = net.node(&leader).commit();
    net.run_until(millis(20_000), |net| net.slots[&behind].applied >= commit);
    assert!(net.slots[&behind].installs > 0);
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
        assert!(net.slots[&name].installs > 0);
    }
    net.settle();
}

#[test]
fn a_leader_lost_during_a_snapshot_is_replaced_and_the_snapshot_is_sent_anew() {
    let mut net = Net::new(&["a", "b", "c"], 4);
    net.state_bytes = 8 << 20;
    net.await_leader();
    let behind = net.followers()[0].clone();
    net.crash(&behind);
    fill(&mut net, 200);
    net.start(&behind);
    net.run(millis(10));
    assert_eq!(net.slots[&behind].installs, 0, "the snapshot went too fast");
    let old = net.leader().unwrap();
    net.crash(&old);
    net.run_until(millis(10_000), |net| net.slots[&behind].installs > 0);
    assert!(net.slots[&behind].installs > 0);
    net.settle();
}
