//! Elections: one leader per term, quick replacement of a lost leader, stable terms.

mod fake;

use fake::{Net, millis};
use test_case::test_case;
use yucca_log::node;

#[test_case(1; "alone")]
#[test_case(3; "three")]
#[test_case(5; "five")]
fn a_leader_is_elected_and_commits(count: usize) {
    let names = ["a", "b", "c", "d", "e"];
    let mut net = Net::new(&names[..count], 1);
    net.commit("one");
    net.settle();
}

#[test]
fn a_lost_leader_is_replaced_within_a_second() {
    for seed in 0..200 {
        let mut net = Net::new(&["a", "b", "c"], seed);
        net.commit("one");
        let old = net.leader().unwrap();
        net.crash(&old);
        let took = net.run_until(millis(5_000), |net| net.leader().is_some());
        assert!(took < millis(900), "seed {seed} took {took:?}");
        net.commit("two");
        net.settle();
    }
}

#[test]
fn a_steady_leader_keeps_its_term() {
    let mut net = Net::new(&["a", "b", "c", "d", "e"], 3);
    let leader = net.await_leader();
    let term = net.node(&leader).term();
    net.run(millis(60_000));
    assert_eq!(net.leader(), Some(leader.clone()));
    assert_eq!(net.node(&leader).term(), term);
}

#[test]
fn leadership_is_handed_over_on_request() {
    let mut net = Net::new(&["a", "b", "c"], 4);
    net.commit("one");
    let old = net.leader().unwrap();
    let next = net.followers()[0].clone();
    let to = Some(next.clone());
    net.input(&old, node::Input::Transfer { to });
    let took = net.run_until(millis(1_000), |net| net.leader().as_ref() == Some(&next));
    assert!(took < millis(50), "took {took:?}");
    net.settle();
}

/// When all processes start at once, callers are refused until one of them leads.
#[test]
fn a_leader_is_elected_soon_after_a_full_start() {
    let election = Net::new(&["a", "b", "c"], 0).hosts[0]
        .config
        .election_timeout;
    for seed in 0..40 {
        let mut net = Net::new(&["a", "b", "c"], seed);
        net.await_leader();
        net.commit("kept");
        for name in net.names() {
            net.crash(&name);
        }
        net.run(election);
        for name in net.names() {
            net.restart(&name);
        }
        let took = net.run_until(election * 10, |net| net.leader().is_some());
        assert!(took < election, "seed {seed}: {took:?}");
    }
}

/// A restarted replica asks for votes early; the others must keep the leader that they follow.
#[test]
fn a_restart_does_not_disturb_the_leader() {
    for seed in 0..40 {
        let mut net = Net::new(&["a", "b", "c"], seed);
        let leader = net.await_leader();
        let term = net.node(&leader).term();
        net.settle();
        let follower = net.followers()[0].clone();
        for _ in 0..4 {
            net.crash(&follower);
            net.run(millis(30));
            net.restart(&follower);
            net.run(millis(300));
        }
        assert_eq!(net.leader(), Some(leader.clone()), "seed {seed}");
        assert_eq!(net.node(&leader).term(), term, "seed {seed}");
    }
}
