//! Membership: learners, promotion, removal, bootstrap, and replicas that lost their records.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Net, host, millis, replica};
use yucca_log::membership::Change;
use yucca_log::{membership, node, storage};

fn add_empty(net: &mut Net, name: &str, incarnation: u64, diskless: bool) {
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
fn a_new_replica_joins_and_is_promoted() {
    let mut net = Net::new(&["a", "b", "c"], 1);
    for number in 0..200 {
        net.commit(&format!("{number}"));
    }
    add_empty(&mut net, "d", 9, false);
    net.run(millis(1_000));
    let leader = net.leader().unwrap();
    let new = replica("d", 9);
    assert!(net.hosts[&leader].joining.contains(&new));
    net.change(Change::AddLearner(new.clone())).unwrap();
    promote(&mut net, &new);
    assert!(net.hosts[&host("d")].installs > 0);
    assert_eq!(net.node(&leader).members().voters().len(), 4);
    net.settle();
}

#[test]
fn a_lagging_learner_is_not_promoted() {
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
fn concurrent_changes_and_leader_removal_are_refused() {
    let mut net = Net::new(&["a", "b", "c"], 3);
    net.commit("one");
    let leader = net.leader().unwrap();
    let own = net.node(&leader).replica().clone();
    assert_eq!(
        net.change(Change::Remove(own)),
        Err(node::Refusal::RemovesLeader)
    );
    for (request_id, name) in [(901, "x"), (902, "y")] {
        let change = Change::AddLearner(replica(name, 1));
        net.input(&leader, node::Input::Change { request_id, change });
    }
    net.run(millis(100));
    assert!(net.answers[&901].is_ok());
    assert_eq!(net.answers[&902], Err(node::Refusal::ChangePending));
}

#[test]
fn a_removed_voter_rejoins_without_disturbing_the_leader() {
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
    assert!(net.hosts[&leader].joining.contains(&removed));
    net.change(Change::AddLearner(removed.clone())).unwrap();
    promote(&mut net, &removed);
    net.settle();
}

#[test]
fn a_diskless_voter_returns_as_a_new_replica() {
    let mut net = Net::new(&["a", "b", "c"], 5);
    net.commit("one");
    let lost = net.followers()[0].clone();
    net.hosts[&lost].diskless = true;
    let old = net.node(&lost).replica().clone();
    net.restart(&lost);
    net.run(millis(2_000));
    assert_eq!(
        net.node(&lost).cluster(),
        None,
        "it took part with its old incarnation"
    );
    let leader = net.leader().unwrap();
    let new = net.node(&lost).replica().clone();
    assert_ne!(new, old);
    assert!(net.hosts[&leader].joining.contains(&new));
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
fn a_loss_after_a_repair_loses_no_entry() {
    let mut net = Net::new(&["a", "b", "c"], 6);
    net.commit("one");
    for lost in ["a", "b"] {
        let lost = host(lost);
        net.crash(&lost);
        net.commit("during the loss");
        let old = replica(lost.as_str(), 1);
        let spare = format!("{lost}-spare");
        add_empty(&mut net, &spare, 1, false);
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
fn a_log_is_bootstrapped_once_by_empty_hosts() {
    let mut net = Net::empty(7);
    let names = ["a", "b", "c"];
    let bootstrap_members: Vec<_> = names.iter().map(|name| host(name)).collect();
    for name in names {
        let mut config = node::Config::new(host(name), "test");
        config.bootstrap_members = bootstrap_members.clone();
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
        "it bootstrapped another log"
    );
    net.commit("two");
    assert_eq!(net.node(&host("b")).cluster(), cluster);
}

#[test]
fn no_log_is_bootstrapped_while_a_peer_has_one() {
    let mut net = Net::new(&["w1", "w2", "w3"], 8);
    net.commit("one");
    let bootstrap_members: Vec<_> = ["a", "b"].map(host).into();
    for name in ["a", "b"] {
        let mut config = node::Config::new(host(name), "test");
        config.bootstrap_members = bootstrap_members.clone();
        config.peers = vec![host("w3")];
        net.add_with(config, storage::Recovered::empty(1), true);
    }
    net.run(millis(5_000));
    assert_eq!(
        net.node(&host("a")).cluster(),
        None,
        "it bootstrapped another log"
    );
}

#[test]
fn a_crash_during_bootstrap_leaves_one_log() {
    for step in 0..60 {
        let mut net = Net::empty(step);
        let bootstrap_members: Vec<_> = ["a", "b", "c"].map(host).into();
        for name in ["a", "b", "c"] {
            let mut config = node::Config::new(host(name), "test");
            config.bootstrap_members = bootstrap_members.clone();
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
            .hosts
            .values()
            .filter_map(|host| host.node.as_ref()?.cluster());
        assert!(
            others.into_iter().all(|other| Some(other) == cluster),
            "step {step}"
        );
    }
}
