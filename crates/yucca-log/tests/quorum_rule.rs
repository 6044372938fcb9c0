//! The quorum rule of a domain's log.
#![allow(clippy::unwrap_used, clippy::panic)]

use test_case::test_case;
use yucca_log::membership::{Change, Members, Replica, Status, next_change, quorum_holds_local};

/// Returns a replica. The first letter of its name is its kind: `l` is local with a disk, `m` local
/// without a disk, `w` a witness.
fn replica(name: &str) -> Replica {
    Replica {
        host: name.parse().unwrap(),
        incarnation: 1,
    }
}

fn status(name: &str, alive: bool) -> Status {
    Status {
        replica: replica(name),
        local: !name.starts_with('w'),
        disk: !name.starts_with('m'),
        alive,
        caught_up: true,
    }
}

/// Applies the rule until it is met and checks each change. Returns the voters.
fn settle(voters: &[&str], alive: &[&str], dead: &[&str]) -> Vec<String> {
    let mut members = Members::new(voters.iter().map(|name| replica(name)));
    let mut statuses: Vec<Status> = alive.iter().map(|name| status(name, true)).collect();
    statuses.extend(dead.iter().map(|name| status(name, false)));
    let leader = replica(alive[0]);
    for _ in 0..30 {
        let Some(change) = next_change(&members, &leader, &statuses) else {
            let voters = members.voters().iter();
            return voters.map(|voter| voter.host.to_string()).collect();
        };
        members = members.with(&change).unwrap();
        let is_witness = |voter: &&Replica| voter.host.as_str().starts_with('w');
        let witnesses = members.voters().iter().filter(is_witness).count();
        let locals = members.voters().len() - witnesses;
        assert!(
            quorum_holds_local(locals, witnesses),
            "after {change}: {members}"
        );
        let is_alive = |voter: &&Replica| alive.contains(&voter.host.as_str());
        let alive_voters = members.voters().iter().filter(is_alive).count();
        assert!(
            alive_voters >= members.quorum(),
            "after {change}: {members}"
        );
    }
    panic!("the rule is not met after 30 changes");
}

#[test_case(&["l1"], &["l1", "l2", "l3", "w1", "w2"], &[], &["l1", "l2", "l3", "w1", "w2"]; "grows")]
#[test_case(&["l1", "l2", "l3", "w1", "w2"], &["l1", "l2", "w1", "w2"], &["l3"], &["l1", "l2", "w1"]; "a local lost")]
#[test_case(&["l1", "l2", "w1"], &["l1", "w1"], &["l2"], &["l1"]; "two locals lost")]
#[test_case(&["l1", "l2", "l3", "w1", "w2"], &["l1", "l2", "l4", "w1", "w2"], &["l3"], &["l1", "l2", "l4", "w1", "w2"]; "a spare local")]
#[test_case(&["l1", "l2", "l3", "w1", "w2"], &["l1", "l2", "l3", "w1", "w3"], &["w2"], &["l1", "l2", "l3", "w1", "w3"]; "a spare witness")]
#[test_case(&["l1", "l2", "l3", "w1", "w2"], &["l1", "l2", "l3"], &["w1", "w2"], &["l1", "l2", "l3"]; "cut off with disks")]
#[test_case(&["l1", "m2", "m3", "w1", "w2"], &["l1", "m2", "m3"], &["w1", "w2"], &["l1", "m2", "m3", "w1", "w2"]; "cut off with one disk")]
#[test_case(&["l1", "m2", "m3", "w1", "w2"], &["l1", "m2", "m3", "l4", "w1", "w2"], &[], &["l1", "l4", "m2", "w1", "w2"]; "a disk replaces memory")]
#[test_case(&["l1", "l2", "l3", "w1", "w2"], &["l1", "l2", "l3", "l4", "l5", "w1", "w2"], &[], &["l1", "l2", "l3", "w1", "w2"]; "never more than three locals")]
fn the_rule_reaches_the_expected_voters(
    voters: &[&str],
    alive: &[&str],
    dead: &[&str],
    expected: &[&str],
) {
    assert_eq!(settle(voters, alive, dead), expected);
}

#[test]
fn a_spare_is_a_learner_before_it_is_promoted() {
    let members = Members::new(["l1", "l2", "w1"].map(replica));
    let mut statuses = ["l1", "l2", "l3", "w1", "w2"].map(|name| status(name, true));
    statuses[2].caught_up = false;
    let leader = replica("l1");
    let first = next_change(&members, &leader, &statuses).unwrap();
    assert_eq!(first, Change::AddLearner(replica("l3")));
    let members = members.with(&first).unwrap();
    assert_eq!(next_change(&members, &leader, &statuses), None);
    statuses[2].caught_up = true;
    let next = next_change(&members, &leader, &statuses).unwrap();
    assert_eq!(next, Change::Promote(replica("l3")));
}

#[test]
fn a_returned_host_replaces_its_old_incarnation() {
    let old = replica("m2");
    let new = Replica {
        incarnation: 2,
        ..old.clone()
    };
    let mut members = Members::new([
        replica("l1"),
        old,
        replica("l3"),
        replica("w1"),
        replica("w2"),
    ]);
    let mut statuses = vec![status("m2", false)];
    statuses.extend(["l1", "l3", "w1", "w2"].map(|name| status(name, true)));
    let mut back = status("m2", true);
    back.replica = new.clone();
    statuses.push(back);
    let leader = replica("l1");
    while let Some(change) = next_change(&members, &leader, &statuses) {
        members = members.with(&change).unwrap();
    }
    assert!(members.is_voter(&new), "{members}");
    assert_eq!(members.voters().len(), 5);
}

#[test]
fn no_quorum_of_witnesses_alone() {
    for locals in 0..6 {
        for witnesses in 0..6_usize {
            let quorum = (locals + witnesses) / 2 + 1;
            assert_eq!(quorum_holds_local(locals, witnesses), witnesses < quorum);
        }
    }
}
