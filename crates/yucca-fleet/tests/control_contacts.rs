//! Which control hosts entry hosts and targets talk to, at hundreds of entry hosts.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net;

use indexmap::IndexMap;
use yucca_control::directory;
use yucca_fleet::contact;
use yucca_log::membership;

fn control(domain: u8, number: u8) -> net::IpAddr {
    net::Ipv4Addr::new(10, 0, domain, number).into()
}

fn replica(ip: net::IpAddr) -> membership::Replica {
    membership::Replica {
        host: ip.to_string().parse().unwrap(),
        incarnation: 1,
    }
}

/// Returns the members of a log with this many control hosts in each domain, of which the first one
/// of each of the first five domains votes.
fn deployment(domains: u8, hosts: u8) -> (membership::Members, directory::Directory) {
    let voters = (0..domains.min(5)).map(|domain| replica(control(domain, 0)));
    let mut members = membership::Members::new(voters);
    let mut directory = directory::Directory::default();
    for domain in 0..domains {
        for number in 0..hosts {
            let ip = control(domain, number);
            let entry = directory::Entry {
                domain: format!("d{domain}").parse().unwrap(),
                address: net::SocketAddr::new(ip, 1),
                disk: true,
            };
            directory.hosts.insert(replica(ip).host, entry);
            let learner = membership::Change::AddLearner(replica(ip));
            members = members.with(&learner).unwrap_or(members);
        }
    }
    (members, directory)
}

fn contacts(deployment: &(membership::Members, directory::Directory), domain: &str) -> Vec<String> {
    let (members, directory) = deployment;
    let contacts = contact::contacts(members, directory, &domain.parse().unwrap());
    let mut contacts: Vec<String> = contacts.iter().map(ToString::to_string).collect();
    contacts.sort();
    contacts
}

#[test]
fn few_control_hosts_are_all_contacts() {
    let deployment = deployment(3, 1);
    assert_eq!(
        contacts(&deployment, "d1"),
        ["10.0.0.0", "10.0.1.0", "10.0.2.0"]
    );
    assert_eq!(contacts(&deployment, "elsewhere").len(), 3);
}

#[test]
fn learners_of_other_domains_are_no_contacts() {
    let deployment = deployment(5, 3);
    assert_eq!(
        contacts(&deployment, "d1"),
        [
            "10.0.0.0", "10.0.1.0", "10.0.1.1", "10.0.1.2", "10.0.2.0", "10.0.3.0", "10.0.4.0"
        ]
    );
}

/// All voters have all entry hosts as clients, whichever of them leads next.
#[test]
fn each_voter_is_a_contact_in_each_domain() {
    let deployment = deployment(5, 4);
    for domain in 0..5 {
        let contacts = contacts(&deployment, &format!("d{domain}"));
        for voter in deployment.0.voters() {
            assert!(contacts.contains(&voter.host.to_string()), "{voter}");
        }
    }
}

fn clients() -> impl Iterator<Item = net::IpAddr> {
    (0..300_u32).map(|number| net::Ipv4Addr::from(0x0a01_0000 + number).into())
}

#[test]
fn clients_are_spread_over_the_control_hosts_of_a_domain() {
    let controls: BTreeSet<net::IpAddr> = (0..3).map(|number| control(1, number)).collect();
    let mut counts: IndexMap<net::IpAddr, usize> = IndexMap::new();
    for client in clients() {
        let source = contact::source(&controls, client).unwrap();
        *counts.entry(source).or_default() += 1;
    }
    assert_eq!(counts.len(), 3);
    assert!(counts.values().all(|count| *count > 60), "{counts:?}");
}

#[test]
fn a_lost_control_host_moves_only_its_own_clients() {
    let all: BTreeSet<net::IpAddr> = (0..3).map(|number| control(1, number)).collect();
    let lost = control(1, 1);
    let left: BTreeSet<net::IpAddr> = all.iter().copied().filter(|ip| *ip != lost).collect();
    for client in clients() {
        let before = contact::source(&all, client).unwrap();
        let after = contact::source(&left, client).unwrap();
        assert!(before == after || before == lost, "{client}");
    }
    assert_eq!(contact::source(&BTreeSet::new(), lost), None);
}
