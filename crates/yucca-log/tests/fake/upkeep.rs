//! Upkeep of the membership of a spread log, as the owner of the leader does it. The first letter of
//! a host's name is its domain.
#![allow(dead_code, clippy::unwrap_used)]

use std::time::Duration;

use yucca_log::membership::spread;
use yucca_log::node;
use yucca_wire::id;

use super::{Net, host};

/// Time without a reply after which the owner of a replica reports a voter as dead.
pub const REPLACE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the owner checks the membership, and repeats that a voter is about to stop.
pub const INTERVAL: Duration = Duration::from_millis(50);

/// Starts a host without records, which asks the others to join.
pub fn join(net: &mut Net, name: &str) {
    let mut config = node::Config::new(host(name), "test");
    config.peers = net.names();
    config.snapshot_entries = 50;
    config.keep_entries = 10;
    let incarnation = net.hosts.len() as u64 + 100;
    net.add_with(
        config,
        yucca_log::storage::Recovered::empty(incarnation),
        false,
    );
}

/// Ends a process and deletes its records.
pub fn wipe(net: &mut Net, name: &id::Host) {
    net.hosts[name].diskless = true;
    net.crash(name);
    net.hosts[name].diskless = false;
    net.hosts[name].config.peers = net.names();
}

/// Starts the change that the rule requires, as the owner of the leader would.
pub fn maintain(net: &mut Net) {
    let Some(leader) = net.leader() else {
        return;
    };
    let node = net.node(&leader);
    let joining = net.hosts[&leader].joining.iter().filter(|replica| {
        let joined = net.hosts[&replica.host].node.as_ref();
        joined.is_some_and(|node| node.replica() == *replica) && !node.members().contains(replica)
    });
    let statuses = node.members().iter().chain(joining).map(|replica| {
        let silence = node.time_since_contact(replica);
        spread::Status {
            replica: replica.clone(),
            domain: replica.host.as_str()[..1].parse().unwrap(),
            disk: true,
            alive: silence.is_none_or(|silence| silence < REPLACE_TIMEOUT),
            caught_up: node.is_caught_up(replica),
            leaving: net.hosts[&leader].leaving.contains(replica),
        }
    });
    let statuses: Vec<spread::Status> = statuses.collect();
    if let Some(change) = spread::next_change(node.members(), node.replica(), &statuses) {
        net.start_change(&leader, change);
    }
}

/// Runs for a time with maintenance of the membership, while entries are proposed.
pub fn run(net: &mut Net, span: Duration) {
    let end = net.now + span;
    while net.now < end {
        if let Some(leader) = net.leader() {
            net.propose(&leader, format!("at {:?}", net.now));
        }
        net.run(INTERVAL.min(end - net.now));
        maintain(net);
    }
}
