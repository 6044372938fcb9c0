//! Losses that a domain's log must tolerate: three local voters, some with disks, and two witnesses.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Net, host, millis};
use test_case::test_case;
use yucca_log::membership::{Change, Status, next_change};
use yucca_log::node;

const LOCALS: [&str; 3] = ["l1", "l2", "l3"];
const WITNESSES: [&str; 2] = ["w1", "w2"];

/// Returns a log with some acknowledged entries, in which the first `disks` locals have a disk.
fn domain(disks: usize, seed: u64) -> Net {
    let names = [LOCALS.as_slice(), WITNESSES.as_slice()].concat();
    let mut net = Net::new(&names, seed);
    for name in &LOCALS[disks..] {
        net.hosts[&host(name)].diskless = true;
    }
    for number in 0..20 {
        net.commit(&format!("{number}"));
    }
    net
}

fn check_acknowledged(net: &Net) {
    let leader = net.leader().unwrap();
    let applied = net.hosts[&leader].applied;
    let newest = net.acknowledged.keys().max().unwrap();
    assert!(applied >= *newest);
    for (version, entry) in &net.acknowledged {
        assert_eq!(&net.history[version].0, entry, "{version} was lost");
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_domain_restart_loses_no_entry(disks: usize) {
    for seed in 0..20 {
        let mut net = domain(disks, seed);
        for name in LOCALS {
            net.restart(&host(name));
        }
        net.commit("after the restart");
        check_acknowledged(&net);
    }
}

#[test_case(1)]
#[test_case(3)]
fn any_two_voters_may_crash(disks: usize) {
    let names = [LOCALS.as_slice(), WITNESSES.as_slice()].concat();
    for first in 0..names.len() {
        for second in 0..first {
            let mut net = domain(disks, first as u64);
            net.crash(&host(names[first]));
            net.crash(&host(names[second]));
            net.commit("after the losses");
            check_acknowledged(&net);
        }
    }
}

#[test]
fn only_locals_continue_when_a_domain_is_cut_off() {
    let mut net = domain(1, 1);
    for local in LOCALS {
        for witness in WITNESSES {
            net.cut(&host(local), &host(witness));
        }
    }
    net.run(millis(2_000));
    let leader = net.leader().unwrap();
    assert!(LOCALS.contains(&leader.as_str()), "{leader} leads");
    net.commit("during the cut");
    for name in LOCALS {
        net.crash(&host(name));
    }
    net.run(millis(30_000));
    assert_eq!(net.leader(), None);
}

/// Applies the quorum rule as an owner would, until it is met.
fn repair(net: &mut Net) {
    for _ in 0..20 {
        net.run(millis(500));
        let leader = net.await_leader();
        if leader.as_str().starts_with('w') {
            let to = Some(host("l1"));
            net.input(&leader, node::Input::Transfer { to });
            continue;
        }
        let node = net.node(&leader);
        let statuses = net.hosts.iter().filter_map(|(name, host)| {
            let replica = host.node.as_ref()?.replica().clone();
            Some(Status {
                local: name.as_str().starts_with('l'),
                disk: !host.diskless,
                alive: true,
                caught_up: node.is_caught_up(&replica),
                replica,
            })
        });
        let statuses: Vec<Status> = statuses.collect();
        let change = next_change(node.members(), node.replica(), &statuses);
        match change {
            // The rule waits for a learner that has not caught up.
            None if node.members().learners().is_empty() => return,
            None => {}
            Some(change) => drop(net.change(change)),
        }
    }
}

#[test]
fn successive_losses_shrink_and_restore_the_membership() {
    let mut net = domain(3, 2);
    for lost in ["l3", "l2"] {
        net.crash(&host(lost));
        net.commit("during the loss");
        repair(&mut net);
    }
    let leader = net.leader().unwrap();
    let voters = net.node(&leader).members().voters();
    assert_eq!(voters.len(), 1, "{voters:?}");
    for back in ["l2", "l3"] {
        net.start(&host(back));
        net.run(millis(500));
        repair(&mut net);
    }
    let members = net.node(&leader).members();
    assert_eq!(members.voters().len(), 5, "{members}");
    net.settle();
}

#[test]
fn a_restarted_diskless_voter_rejoins_with_a_new_incarnation() {
    let mut net = domain(1, 3);
    let old = net.node(&host("l3")).replica().clone();
    net.restart(&host("l3"));
    net.run(millis(500));
    repair(&mut net);
    let leader = net.leader().unwrap();
    let members = net.node(&leader).members().clone();
    let new = net.node(&host("l3")).replica().clone();
    assert!(
        members.is_voter(&new) && !members.contains(&old),
        "{members}"
    );
    assert_eq!(members.voters().len(), 5, "{members}");
    let again = net.change(Change::AddLearner(new));
    assert!(again.is_err());
    net.settle();
}
