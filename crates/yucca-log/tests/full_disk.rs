//! Full disks: new proposals are refused and no acknowledged entry is lost.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Net, millis};
use yucca_log::node;

#[test]
fn a_leader_with_a_full_disk_transfers_leadership() {
    let mut net = Net::new(&["a", "b", "c"], 1);
    net.commit("one");
    let old = net.leader().unwrap();
    net.hosts[&old].full = true;
    let waits = net.propose(&old, "waits");
    let moved = net.run_until(millis(3_000), |net| {
        net.leader().is_some_and(|leader| leader != old)
    });
    assert!(moved < millis(1_000), "{moved:?}");
    let _ = waits;
    net.commit("two");
    net.settle();
}

#[test]
fn proposals_are_refused_while_every_disk_is_full() {
    let mut net = Net::new(&["a", "b", "c"], 2);
    let version = net.commit("one");
    for name in net.names() {
        net.hosts[&name].full = true;
    }
    let leader = net.leader().unwrap();
    let first = net.propose(&leader, "not kept anywhere yet");
    net.run(millis(5_000));
    assert!(!matches!(net.answers.get(&first), Some(Ok(_))));
    let leader = net.leader().unwrap();
    let second = net.propose(&leader, "refused");
    net.run(millis(20));
    let refusal = net.answers[&second].clone().unwrap_err();
    assert!(
        matches!(refusal, node::Refusal::Full | node::Refusal::Transferring),
        "{refusal}"
    );
    assert!(net.history.contains_key(&version));
    net.settle();
}

#[test]
fn a_follower_with_a_full_disk_does_not_acknowledge() {
    let mut net = Net::new(&["a", "b", "c"], 3);
    net.commit("one");
    let followers = net.followers();
    net.hosts[&followers[0]].full = true;
    net.crash(&followers[1]);
    let leader = net.leader().unwrap();
    let request_id = net.propose(&leader, "two");
    net.run(millis(5_000));
    assert!(
        !net.answers.contains_key(&request_id),
        "{:?}",
        net.answers[&request_id]
    );
    net.hosts[&followers[0]].full = false;
    net.run(millis(2_000));
    assert!(net.answers[&request_id].is_ok());
    net.settle();
}
