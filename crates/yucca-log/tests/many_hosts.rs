//! Logs with more hosts than voters: all of them know the leader and can take a lost voter's place.
#![allow(clippy::unwrap_used)]

mod fake;

use std::time::Duration;

use fake::upkeep::{join, run, wipe};
use fake::{Net, millis};
use test_case::test_case;
use yucca_log::membership::Members;
use yucca_wire::id;

/// Time after a loss within which all hosts must know the new leader and five voters must run.
const RECOVERY: Duration = Duration::from_secs(4);

/// Returns a log with three hosts in each of five domains, of which three bootstrapped it.
fn started(seed: u64) -> Net {
    let mut net = Net::new(&["a1", "b1", "c1"], seed);
    net.await_leader();
    for domain in ["a", "b", "c", "d", "e"] {
        for number in 1..=3 {
            let name = format!("{domain}{number}");
            if !net.hosts.contains_key(&fake::host(&name)) {
                join(&mut net, &name);
            }
        }
    }
    run(&mut net, RECOVERY);
    net
}

fn running(net: &Net) -> Vec<id::Host> {
    let hosts = net.hosts.iter().filter(|(_, host)| host.node.is_some());
    hosts.map(|(name, _)| name.clone()).collect()
}

fn members(net: &Net) -> Members {
    net.node(&net.leader().unwrap()).members().clone()
}

/// Checks that five voters run and that all running hosts name the leader.
fn assert_whole(net: &Net) {
    let leader = net.leader().unwrap();
    let hosts = running(net);
    for name in &hosts {
        let known = net.node(name).leader_hint();
        assert_eq!(known, Some(&leader), "{name} does not know the leader");
    }
    let members = members(net);
    let voters = members.voters().iter();
    let voting = voters
        .filter(|voter| hosts.contains(&voter.host) && net.node(&voter.host).replica() == *voter);
    assert_eq!(voting.count(), 5, "{members}");
    assert_eq!(members.voters().len(), 5, "{members}");
}

#[test]
fn all_hosts_become_members_and_know_the_leader() {
    let net = started(1);
    assert_whole(&net);
    assert_eq!(members(&net).learners().len(), 10);
}

/// Two hosts or one domain lose their power, with or without their records, and the next loss
/// follows before those return. Which hosts are lost depends on the seed.
#[test_case(true; "records lost")]
#[test_case(false; "records kept")]
fn losses_in_a_row_leave_a_leader_that_all_know(wiped: bool) {
    for seed in 0..12_u64 {
        let mut net = started(seed);
        let mut lost: Vec<id::Host> = Vec::new();
        for round in 0..3_u64 {
            let returning = std::mem::take(&mut lost);
            lost = pick(&net, seed * 3 + round);
            for name in &lost {
                if wiped {
                    wipe(&mut net, name);
                } else {
                    net.crash(name);
                }
            }
            run(&mut net, RECOVERY);
            assert_whole(&net);
            net.commit(&format!("{seed} after loss {round}"));
            for name in returning {
                net.start(&name);
            }
            run(&mut net, RECOVERY);
            assert_whole(&net);
        }
        for (version, entry) in &net.acknowledged {
            assert_eq!(&net.history[version].0, entry, "{version} was lost");
        }
    }
}

/// Returns the running hosts to lose: each third time those of the leader's domain, else the leader
/// with a voter, or with a learner.
fn pick(net: &Net, number: u64) -> Vec<id::Host> {
    let leader = net.leader().unwrap();
    let members = members(net);
    let hosts = running(net);
    match number % 3 {
        0 => {
            let domain = &leader.as_str()[..1];
            let hosts = hosts.into_iter();
            hosts
                .filter(|name| name.as_str().starts_with(domain))
                .collect()
        }
        kind => {
            let others = if kind == 1 {
                members.voters()
            } else {
                members.learners()
            };
            let others = others.iter().filter(|other| other.host != leader);
            let other = others.map(|other| other.host.clone());
            other.take(1).chain([leader.clone()]).collect()
        }
    }
}

/// Time in which a host that is not a member knows a new leader: it asks once a second.
const ASKED_AGAIN: Duration = Duration::from_millis(2_500);

/// Hosts beyond the greatest number of members learn of the leader by asking, and forget it if it
/// does not answer any more.
#[test]
fn a_host_that_is_not_a_member_knows_the_leader() {
    let mut net = started(3);
    for number in 10..25 {
        join(&mut net, &format!("f{number}"));
    }
    run(&mut net, RECOVERY);
    let outside: Vec<id::Host> = {
        let members = members(&net);
        let hosts = running(&net).into_iter();
        let member = |name: &id::Host| members.iter().any(|member| member.host == *name);
        hosts.filter(|name| !member(name)).collect()
    };
    assert!(outside.len() >= 5, "{outside:?}");
    assert_whole(&net);
    let first = net.leader().unwrap();
    net.crash(&first);
    run(&mut net, ASKED_AGAIN);
    let second = net.leader().unwrap();
    assert_ne!(first, second);
    for name in &outside {
        assert_eq!(net.node(name).leader_hint(), Some(&second), "{name}");
    }
    for name in &outside {
        net.isolate(name);
    }
    run(&mut net, ASKED_AGAIN + millis(500));
    for name in &outside {
        assert_eq!(net.node(name).leader_hint(), None, "{name}");
    }
}
