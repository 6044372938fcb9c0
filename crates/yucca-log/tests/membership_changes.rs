//! Membership: learners, promotion, removal, founding, and replicas that lost their promises.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Net, host, millis, replica};
use yucca_log::membership::Change;
use yucca_log::{membership, node, storage};

fn add_blank(net: &mut Net, name: &str, incarnation: u64, diskless: bool) {
    let mut config = node::Config::new(host(name), "test");
    config.bootstrap_members = net.names();
    config.snapshot_entries = 50;
    config.keep_entries = 10;
    net.add_with(config, storage::Recovered::empty(incarnation), diskless);
}

fn promote(net: &mut Net, name: &membership::Replica) {
    net.run_until(millis(10_000), |net| {
        let leader = net.leader();
        leader.is_some_and(|leader| net.node(&leader).is_caught_up(name))
    });
    net.change(Change::Promote(name.clone())).unwrap();
}

#[test]
fn a_new_replica_asks_to_join_learns_and_counts() {
    let mut net = Net::new(&["a", "b", "c"], 1);
    for number in 0..200 {
        net.commit(&format!("{number}"));
    }
    add_blank(&mut net, "d", 9, false);
    net.run(millis(1_000));
    let leader = net.leader().unwrap();
    let new = replica("d", 9);
    assert!(net.slots[&leader].joining.contains(&new));
    net.change(Change::AddLearner(new.clone())).unwrap();
    promote(&mut net, &new);
    assert!(net.slots[&host("d")].installs > 0);
    assert_eq!(net.node(&leader).members().voters().len(), 4);
    net.settle();
}

#[test]
fn a_learner_that_lags_is_not_promoted() {
    let mut net = Net::new(&["a", "b", "c"], 2);
    for number in 0..200 {
        net.commit(&format!("{number}"));
    }
    let absent = replica("d", 9);
    net.change(Change::AddLearner(absent.clone())).unwrap();
    let refusal = net.change(Change::Promote(absent)).unwrap_err();
    assert!(
        matches!(refusal, node::Refusal::Lagging { .. }),
        "{refusal}"
    );
    net.settle();
}

#[test]
fn changes_go_one_at_a_time_and_not_against_the_leader() {
    let mut net = Net::new(&["a", "b", "c"], 3);
    net.commit("one");
    let leader = net.leader().unwrap();
    let own = net.node(&leader).replica().clone();
    assert_eq!(
        net.change(Change::Remove(own)),
        Err(node::Refusal::RemovesLeader)
    );
    for (ticket, name) in [(901, "x"), (902, "y")] {
        let change = Change::AddLearner(replica(name, 1));
        net.input(&leader, node::Input::Change { ticket, change });
    }
    net.run(millis(100));
    assert!(net.answers[&901].is_ok());
    assert_eq!(net.answers[&902], Err(node::Refusal::ChangePending));
}

#[test]
fn a_removed_voter_does_not_disturb_and_may_come_back() {
    let mut net = Net::new(&["a", "b", "c"], 4);
    net.commit("one");
    let gone = net.followers()[0].clone();
    let removed = net.node(&gone).replica().clone();
    net.isolate(&gone);
    net.change(Change::Remove(removed.clone())).unwrap();
    let leader = net.leader().unwrap();
    let term = net.node(&leader).term();
    net.heal();
    net.run(millis(10_000));
    assert_eq!(net.leader(), Some(leader.clone()));
    assert_eq!(net.node(&leader).term(), term);
    assert!(net.slots[&leader].joining.contains(&removed));
    net.change(Change::AddLearner(removed.clone())).unwrap();
    promote(&mut net, &removed);
    net.settle();
}

#[test]
fn a_diskless_voter_comes_back_as_a_new_replica() {
    let mut net = Net::new(&["a", "b", "c"], 5);
    net.commit("one");
    let lost = net.followers()[0].clone();
    net.slots[&lost].diskless = true;
    let old = net.node(&lost).replica().clone();
    net.restart(&lost);
    net.run(millis(2_000));
    assert_eq!(
        net.node(&lost).cluster(),
        None,
        "it took part as its old self"
    );
    let leader = net.leader().unwrap();
    let new = net.node(&lost).replica().clone();
    assert_ne!(new, old);
    assert!(net.slots[&leader].joining.contains(&new));
    net.change(Change::AddLearner(new.clone())).unwrap();
    let refusal = net.change(Change::Promote(new.clone())).unwrap_err();
    assert!(
        !matches!(refusal, node::Refusal::ChangePending),
        "{refusal}"
    );
    net.change(Change::Remove(old)).unwrap();
    promote(&mut net, &new);
    net.settle();
}

#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut net = Net::new(&["a", "b", "c"], 6);
    net.commit("one");
    for lost in ["a", "b"] {
        let lost = host(lost);
        net.crash(&lost);
        net.commit("during the loss");
        let old = replica(lost.as_str(), 1);
        let spare = format!("{lost}-spare");
        add_blank(&mut net, &spare, 1, false);
        let new = replica(&spare, 1);
        net.change(Change::AddLearner(new.clone())).unwrap();
        net.change(Change::Remove(old)).unwrap();
        promote(&mut net, &new);
    }
    net.crash(&host("c"));
    net.commit("two spares lead");
    net.settle();
}

#[test]
fn a_log_is_founded_once_and_only_by_blank_hosts() {
    let mut net = Net::empty(7);
    let names = ["a", "b", "c"];
    let founders: Vec<_> = names.iter().map(|name| host(name)).collect();
    for name in names {
        let mut config = node::Config::new(host(name), "test");
        config.bootstrap_members = founders.clone();
        net.add_with(config, storage::Recovered::empty(1), true);
    }
    net.commit("one");
    let cluster = net.node(&host("b")).cluster();
    assert!(cluster.is_some());
    net.restart(&host("a"));
    net.run(millis(10_000));
    assert_eq!(
        net.node(&host("a")).cluster(),
        None,
        "it founded another log"
    );
    net.commit("two");
    assert_eq!(net.node(&host("b")).cluster(), cluster);
}

#[test]
fn no_log_is_founded_while_a_peer_is_a_member_of_one() {
    let mut net = Net::new(&["w1", "w2", "w3"], 8);
    net.commit("one");
    let founders: Vec<_> = ["a", "b"].map(host).into();
    for name in ["a", "b"] {
        let mut config = node::Config::new(host(name), "test");
        config.bootstrap_members = founders.clone();
        config.peers = vec![host("w3")];
        net.add_with(config, storage::Recovered::empty(1), true);
    }
    net.run(millis(5_000));
    assert_eq!(
        net.node(&host("a")).cluster(),
        None,
        "it founded another log"
    );
}

#[test]
fn a_founder_lost_at_any_point_of_the_founding_leaves_one_log() {
    for step in 0..60 {
        let mut net = Net::empty(step);
        let founders: Vec<_> = ["a", "b", "c"].map(host).into();
        for name in ["a", "b", "c"] {
            let mut config = node::Config::new(host(name), "test");
            config.bootstrap_members = founders.clone();
            net.add_with(config, storage::Recovered::empty(1), true);
        }
        net.run_until(millis(5_000), |net| {
            net.node(&host("a")).cluster().is_some()
        });
        net.run(std::time::Duration::from_micros(100 * step));
        net.restart(&host("a"));
        net.run(millis(10_000));
        net.commit("one");
        let leader = net.leader().unwrap();
        let cluster = net.node(&leader).cluster();
        let others = net
            .slots
            .values()
            .filter_map(|slot| slot.node.as_ref()?.cluster());
        assert!(
            others.into_iter().all(|other| Some(other) == cluster),
            "step {step}"
        );
    }
}
