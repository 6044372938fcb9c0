//! Which control hosts an entry host or a target talks to.

use std::collections::BTreeSet;
use std::hash::Hash;
use std::net;

use yucca_control::directory;
use yucca_log::membership;
use yucca_wire::id;

/// Returns the control hosts to which the entry hosts of a domain keep connections: all voters, and
/// the learners in the domain.
///
/// Load pattern: hundreds of entry hosts, and several times as many control hosts as voters. If each
/// were connected to all, connections and notices would grow with the product. The learners of a
/// domain send the state to its entry hosts; each voter may become the leader, to which all of them
/// report, and knows their number without delay.
pub fn contacts(
    members: &membership::Members,
    directory: &directory::Directory,
    domain: &id::Domain,
) -> Vec<net::IpAddr> {
    let near = |replica: &&membership::Replica| {
        let host = directory.hosts.get(&replica.host);
        host.is_some_and(|host| host.domain == *domain)
    };
    let learners = members.learners().iter().filter(near);
    let hosts = members.voters().iter().chain(learners);
    hosts
        .filter_map(|replica| replica.host.as_str().parse().ok())
        .collect()
}

/// Returns which of the control hosts of a domain serves a client there: it sends each notice to an
/// entry host at once, or answers a target's announcements.
///
/// Load pattern: as for [`contacts`]. The choice is the highest hash of the pair, so that clients are
/// spread evenly, and only those of a control host that is lost move to others.
pub fn source(controls: &BTreeSet<net::IpAddr>, client: impl Hash + Copy) -> Option<net::IpAddr> {
    let weight = |control: &&net::IpAddr| {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        (client, *control).hash(&mut hasher);
        hasher.digest()
    };
    controls.iter().max_by_key(weight).copied()
}
