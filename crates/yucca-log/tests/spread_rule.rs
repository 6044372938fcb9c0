//! The membership rule of a log whose voters are spread over the domains.
#![allow(clippy::unwrap_used, clippy::panic)]

use test_case::test_case;
use yucca_log::membership::{Change, Members, Replica, spread};

/// Returns a replica. The first letter of its name is its domain.
fn replica(name: &str) -> Replica {
    let (host, incarnation) = name.split_once('#').unwrap_or((name, "1"));
    Replica {
        host: host.parse().unwrap(),
        incarnation: incarnation.parse().unwrap(),
    }
}

fn status(name: &str, alive: bool) -> spread::Status {
    spread::Status {
        replica: replica(name),
        domain: name[..1].parse().unwrap(),
        disk: true,
        alive,
        caught_up: alive,
        leaving: false,
    }
}

fn names<'a>(replicas: impl Iterator<Item = &'a Replica>) -> Vec<String> {
    let name = |replica: &Replica| match replica.incarnation {
        1 => replica.host.to_string(),
        incarnation => format!("{}#{incarnation}", replica.host),
    };
    replicas.map(name).collect()
}

/// Applies the rule until it is met. The first host that is alive leads. Each change must leave a
/// quorum, and the losses that are tolerated must not become fewer. Returns the voters and learners.
fn settle(voters: &[&str], alive: &[&str], dead: &[&str]) -> (Vec<String>, Vec<String>) {
    let mut members = Members::new(voters.iter().map(|name| replica(name)));
    let mut statuses: Vec<spread::Status> = alive.iter().map(|name| status(name, true)).collect();
    statuses.extend(dead.iter().map(|name| status(name, false)));
    let leader = replica(alive[0]);
    let tolerated = |members: &Members| {
        let voters = members.voters().iter();
        let replies = |voter: &&Replica| statuses.iter().any(|s| s.replica == **voter && s.alive);
        voters.filter(replies).count().checked_sub(members.quorum())
    };
    for _ in 0..30 {
        let Some(change) = spread::next_change(&members, &leader, &statuses) else {
            let learners = names(members.learners().iter());
            return (names(members.voters().iter()), learners);
        };
        let next = members.with(&change).unwrap();
        assert!(tolerated(&next) >= tolerated(&members), "{change}: {next}");
        members = next;
    }
    panic!("the rule is not met after 30 changes: {members}");
}

#[test_case(&["a1", "b1", "c1"], &["a1", "b1", "c1"], &[], &["a1", "b1", "c1"], &[]; "nothing to do")]
#[test_case(&["a1"], &["a1", "b1", "c1"], &[], &["a1", "b1", "c1"], &[]; "grows to three")]
#[test_case(&["a1", "b1", "c1"], &["a1", "b1", "c1", "c2"], &[], &["a1", "b1", "c1"], &["c2"]; "a fourth host is a learner")]
#[test_case(&["a1", "b1", "c1"], &["a1", "b1", "c1", "a2", "b2"], &[], &["a1", "a2", "b1", "b2", "c1"], &[]; "two more hosts vote")]
#[test_case(&["a1", "b1", "c1"], &["a1", "b1"], &["c1"], &["a1", "b1", "c1"], &[]; "no replacement for a silent host")]
#[test_case(&["a1", "b1", "c1"], &["a1", "b1", "c2"], &["c1"], &["a1", "b1", "c2"], &[]; "a lost host is replaced")]
#[test_case(&["a1", "b1", "c1"], &["a1", "b1", "c1#2"], &["c1"], &["a1", "b1", "c1#2"], &[]; "a host that lost its records returns")]
#[test_case(&["a1", "b1", "c1", "c2"], &["a1", "b1", "c2"], &["c1"], &["a1", "b1", "c2"], &[]; "a fourth voter that is lost is removed")]
#[test_case(&["a1", "b1", "c1", "c2"], &["a1", "b1", "c1", "c2"], &[], &["a1", "b1", "c1"], &["c2"]; "a fourth voter becomes a learner")]
#[test_case(&["a1", "b1", "c1", "a2", "b2"], &["a1", "b1", "c1", "a2"], &["b2"], &["a1", "a2", "b1", "b2", "c1"], &[]; "one of five is waited for")]
#[test_case(&["a1", "b1", "c1", "a2", "b2"], &["a1", "b1", "c1"], &["a2", "b2"], &["a1", "b1", "c1"], &[]; "two of five are removed")]
#[test_case(&["a1", "b1", "c1", "a2", "b2"], &["a1", "b1", "c1", "a2", "c2"], &["b2"], &["a1", "a2", "b1", "c1", "c2"], &[]; "one of five is replaced")]
#[test_case(&["a1", "a2", "b1"], &["a1", "a2", "b1", "c1"], &[], &["a1", "b1", "c1"], &["a2"]; "a domain without a voter gets one")]
#[test_case(&["a1", "b1", "c1"], &["a1", "b1", "a2"], &["c1"], &["a1", "a2", "b1"], &[]; "replaced from another domain")]
#[test_case(
    &["a1", "b1", "c1"],
    &["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3", "d1", "d2", "d3", "e1", "e2", "e3"],
    &[],
    &["a1", "b1", "c1", "d1", "e1"],
    &["a2", "a3", "b2", "b3", "c2", "c3", "d2", "d3", "e2", "e3"];
    "hosts beyond the voters are learners"
)]
#[test_case(
    &["a1", "a2", "b1", "b2", "c1"],
    &["a1", "a2", "b1", "b2", "c1", "d1", "e1"],
    &[],
    &["a1", "b1", "c1", "d1", "e1"],
    &["a2", "b2"];
    "voters move to domains without one"
)]
fn the_rule_settles(
    voters: &[&str],
    alive: &[&str],
    dead: &[&str],
    expected: &[&str],
    learners: &[&str],
) {
    assert_eq!(
        settle(voters, alive, dead),
        (
            expected.iter().map(ToString::to_string).collect(),
            learners.iter().map(ToString::to_string).collect()
        )
    );
}

#[test]
fn a_lost_voter_is_removed_only_once_its_replacement_has_caught_up() {
    let members = Members::new(["a1", "b1", "c1"].map(replica));
    let members = members.with(&Change::AddLearner(replica("c2"))).unwrap();
    let mut statuses = vec![
        status("a1", true),
        status("b1", true),
        status("c1", false),
        status("c2", true),
    ];
    statuses[3].caught_up = false;
    let leader = replica("a1");
    assert_eq!(spread::next_change(&members, &leader, &statuses), None);
    statuses[3].caught_up = true;
    let remove = Change::Remove(replica("c1"));
    assert_eq!(
        spread::next_change(&members, &leader, &statuses),
        Some(remove.clone())
    );
    let members = members.with(&remove).unwrap();
    assert_eq!(
        spread::next_change(&members, &leader, &statuses),
        Some(Change::Promote(replica("c2")))
    );
}

#[test]
fn a_voter_that_is_about_to_stop_is_removed_after_its_replacement_votes() {
    let members = Members::new(["a1", "b1", "c1"].map(replica));
    let members = members.with(&Change::AddLearner(replica("c2"))).unwrap();
    let mut statuses = Vec::from(["a1", "b1", "c1", "c2"].map(|name| status(name, true)));
    statuses[2].leaving = true;
    let leader = replica("a1");
    let promote = Change::Promote(replica("c2"));
    assert_eq!(
        spread::next_change(&members, &leader, &statuses),
        Some(promote.clone())
    );
    let members = members.with(&promote).unwrap();
    assert_eq!(
        spread::next_change(&members, &leader, &statuses),
        Some(Change::Remove(replica("c1")))
    );
}

#[test]
fn a_voter_that_is_about_to_stop_stays_without_a_replacement() {
    let members = Members::new(["a1", "b1", "c1"].map(replica));
    let mut statuses = Vec::from(["a1", "b1", "c1"].map(|name| status(name, true)));
    statuses[2].leaving = true;
    let change = spread::next_change(&members, &replica("a1"), &statuses);
    assert_eq!(change, None);
}

#[test]
fn a_learner_that_falls_silent_is_removed() {
    let members = Members::new(["a1", "b1", "c1"].map(replica));
    let members = members.with(&Change::AddLearner(replica("c2"))).unwrap();
    let mut statuses = Vec::from(["a1", "b1", "c1"].map(|name| status(name, true)));
    statuses.push(status("c2", false));
    let change = spread::next_change(&members, &replica("a1"), &statuses);
    assert_eq!(change, Some(Change::Remove(replica("c2"))));
}

/// A domain with its hosts, or any two hosts, do not reply; later they do again.
#[test]
fn fifteen_hosts_regain_five_voters_after_each_pattern_of_loss() {
    let hosts: Vec<String> = ["a", "b", "c", "d", "e"]
        .iter()
        .flat_map(|domain| (1..=3).map(move |number| format!("{domain}{number}")))
        .collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    let domains = ["a", "b", "c", "d", "e"].map(|domain| {
        let lost = hosts.iter().filter(|host| host.starts_with(domain));
        lost.copied().collect::<Vec<_>>()
    });
    let pairs = hosts.iter().enumerate().flat_map(|(index, one)| {
        let later = hosts[index + 1..].iter();
        later.map(move |other| vec![*one, *other])
    });
    for lost in domains.into_iter().chain(pairs) {
        let alive: Vec<&str> = hosts
            .iter()
            .copied()
            .filter(|host| !lost.contains(host))
            .collect();
        let (voters, learners) = settle(&["a1", "b1", "c1", "d1", "e1"], &alive, &lost);
        assert_eq!((voters.len(), learners.len()), (5, alive.len() - 5));
        let running = voters.iter().all(|voter| alive.contains(&voter.as_str()));
        assert!(running, "lost {lost:?}: {voters:?}");
        let voters: Vec<&str> = voters.iter().map(String::as_str).collect();
        let mut returned = voters.clone();
        returned.extend(hosts.iter().filter(|host| !voters.contains(host)));
        let (voters, learners) = settle(&voters, &returned, &[]);
        assert_eq!((voters.len(), learners.len()), (5, 10));
        let mut domains: Vec<&str> = voters.iter().map(|voter| &voter[..1]).collect();
        domains.dedup();
        assert_eq!(domains.len(), 5, "lost {lost:?}: {voters:?}");
    }
}

#[test]
fn a_host_without_a_disk_gets_no_vote() {
    let members = Members::new(["a1", "b1", "c1"].map(replica));
    let mut statuses = Vec::from(["a1", "b1", "c2"].map(|name| status(name, true)));
    statuses[2].disk = false;
    statuses.push(status("c1", false));
    let change = spread::next_change(&members, &replica("a1"), &statuses);
    assert_eq!(change, None);
}
