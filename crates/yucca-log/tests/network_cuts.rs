//! Network cuts: silent, one-way and partial, and a leader that resumes after it was replaced.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Net, millis};
use test_case::test_case;
use yucca_log::node;

const FIVE: [&str; 5] = ["a", "b", "c", "d", "e"];

#[derive(Clone, Copy)]
enum Cut {
    Both,
    Incoming,
    Outgoing,
}

#[test_case(Cut::Both)]
#[test_case(Cut::Incoming; "incoming")]
#[test_case(Cut::Outgoing; "outgoing")]
fn a_leader_cut_off_steps_down_and_is_replaced(cut: Cut) {
    for seed in 0..50 {
        let mut net = Net::new(&FIVE, seed);
        net.commit("one");
        let old = net.leader().unwrap();
        for other in net.followers() {
            match cut {
                Cut::Both => net.cut(&old, &other),
                Cut::Incoming => net.cut_one_way(&other, &old),
                Cut::Outgoing => net.cut_one_way(&old, &other),
            }
        }
        let lost = net.propose(&old, "lost");
        let took = net.run_until(millis(5_000), |net| {
            net.leader().is_some_and(|leader| leader != old)
        });
        assert!(took < millis(1_000), "seed {seed} took {took:?}");
        net.run(millis(300));
        assert_ne!(net.node(&old).role(), node::Role::Leader);
        let refusal = net.answers[&lost].clone().unwrap_err();
        assert_eq!(refusal, node::Refusal::Unknown);
        net.commit("two");
        net.settle();
    }
}

#[test]
fn a_member_behind_a_partial_cut_does_not_raise_terms() {
    let mut net = Net::new(&["a", "b", "c"], 5);
    let leader = net.await_leader();
    let term = net.node(&leader).term();
    let cut = net.followers()[0].clone();
    net.cut(&leader, &cut);
    net.run(millis(30_000));
    assert_eq!(net.leader(), Some(leader.clone()));
    assert_eq!(net.node(&leader).term(), term);
    net.heal();
    net.run(millis(3_000));
    assert_eq!(net.leader(), Some(leader.clone()));
    assert_eq!(net.node(&leader).term(), term);
    net.settle();
}

#[test]
fn an_isolated_member_returns_without_disturbing_the_leader() {
    let mut net = Net::new(&["a", "b", "c"], 6);
    let leader = net.await_leader();
    let term = net.node(&leader).term();
    let cut = net.followers()[0].clone();
    net.isolate(&cut);
    net.run(millis(60_000));
    net.heal();
    net.run(millis(3_000));
    assert_eq!(net.node(&cut).term(), term);
    assert_eq!(net.leader(), Some(leader));
    net.settle();
}

#[test]
fn a_resumed_leader_serves_no_request() {
    let mut net = Net::new(&["a", "b", "c"], 7);
    net.commit("one");
    let old = net.leader().unwrap();
    net.pause(&old);
    net.run(millis(10_000));
    net.commit("two");
    // The first inputs after the pause arrive before any message of the new term.
    for other in net.names() {
        net.cut_one_way(&other, &old);
    }
    net.hosts[&old].paused = None;
    let read = net.read(&old);
    let write = net.propose(&old, "stale");
    net.run(millis(1_000));
    assert!(net.reads[&read].is_err());
    assert!(net.answers[&write].is_err());
    assert_ne!(net.node(&old).role(), node::Role::Leader);
    net.settle();
}

#[test]
fn replies_from_before_a_pause_do_not_prolong_leadership() {
    let mut net = Net::new(&["a", "b", "c"], 8);
    net.commit("one");
    let old = net.leader().unwrap();
    net.propose(&old, "two");
    net.pause(&old);
    net.run(millis(20));
    let held = net.hosts[&old].paused.as_ref().map_or(0, Vec::len);
    assert!(held > 0, "no reply arrived");
    net.isolate(&old);
    net.run(millis(10_000));
    net.resume(&old);
    assert_ne!(net.node(&old).role(), node::Role::Leader);
}

#[test]
fn a_three_way_cut_leaves_no_leader_and_heals() {
    let mut net = Net::new(&["a", "b", "c"], 9);
    net.commit("one");
    for name in net.names() {
        net.isolate(&name);
    }
    net.run(millis(60_000));
    let terms: Vec<u64> = net
        .hosts
        .values()
        .map(|s| s.node.as_ref().unwrap().term().0)
        .collect();
    assert!(net.leader().is_none());
    assert!(
        terms.iter().all(|term| *term <= 2),
        "terms rose to {terms:?}"
    );
    net.settle();
}

#[test]
fn reads_wait_for_a_quorum() {
    let mut net = Net::new(&["a", "b", "c"], 10);
    let version = net.commit("one");
    let leader = net.leader().unwrap();
    let read = net.read(&leader);
    net.run(millis(10));
    assert!(net.reads[&read].clone().unwrap() >= version);
    net.isolate(&leader);
    let cut = net.read(&leader);
    net.run(millis(100));
    assert!(!net.reads.contains_key(&cut));
    net.run(millis(1_000));
    assert!(net.reads[&cut].is_err());
    let follower = net.followers()[0].clone();
    let refused = net.read(&follower);
    assert!(net.reads[&refused].is_err());
}

#[test]
fn a_member_with_lost_records_causes_no_message_storm() {
    let mut net = Net::new(&["a", "b", "c"], 11);
    for number in 0..20 {
        net.commit(&format!("{number}"));
    }
    let broken = net.followers()[0].clone();
    net.crash(&broken);
    net.hosts[&broken].image.entries.truncate(5);
    net.start(&broken);
    let before = net.sent;
    net.commit("the others go on");
    net.run(millis(2_000));
    let sent = net.sent - before;
    assert!(sent < 400, "{sent} messages in 2 s");
}
