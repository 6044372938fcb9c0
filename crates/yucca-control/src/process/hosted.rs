//! The logs that this host takes part in.

use std::sync;
use std::time;

use indexmap::IndexMap;
use yucca_own::{domain, global};
use yucca_wire::{id, report};

use crate::directory;
use crate::machine;
use crate::message;
use crate::process::confirm;
use crate::replica;

/// Maximum number of hosts that run a replica of the global log; those beyond its voters are
/// spares.
const MAX_GLOBAL: usize = 9;

/// Maximum number of bootstrap members of the global log.
const GLOBAL_BOOTSTRAP: usize = 5;

/// Maximum number of hosts of a domain that run a replica of its log.
const MAX_LOCALS: usize = 8;

/// Maximum number of bootstrap members of a domain's log in the domain itself.
const LOCAL_BOOTSTRAP: usize = 3;

/// Maximum number of hosts of other domains that run a replica of a domain's log.
const MAX_WITNESSES: usize = 4;

/// The global log on this host.
pub struct Global {
    /// The replica.
    pub replica: replica::Replica,
    /// The state.
    pub machine: sync::Arc<sync::Mutex<machine::global::Global>>,
    /// Facts that this host observed as the leader.
    pub evidence: sync::Mutex<global::Evidence>,
}

/// A domain's log on this host.
pub struct Domain {
    /// The domain.
    pub domain: id::Domain,
    /// The replica.
    pub replica: replica::Replica,
    /// The state.
    pub machine: sync::Arc<sync::Mutex<machine::domain::Domain>>,
    /// Facts that this host observed as the leader.
    pub evidence: sync::Mutex<domain::Evidence>,
    /// The last report of each host, while this host is the leader.
    pub last_reports: sync::Mutex<IndexMap<id::Host, LastReport>>,
    /// Confirms that this host is still the leader, for many reports at once.
    pub confirmation: confirm::Confirmation,
}

/// The state of a host as of its last report.
#[derive(Debug, Clone)]
pub struct LastReport {
    /// When the report was received.
    pub received: time::Duration,
    /// The incarnation of the host's process.
    pub incarnation: u64,
    /// The global version in effect on the host.
    pub global: id::Version,
    /// The domain versions in effect on the host.
    pub locals: IndexMap<id::Domain, id::Version>,
}

impl LastReport {
    /// Returns the state of the host that sent the report.
    pub fn new(report: &report::Report, received: time::Duration) -> Self {
        Self {
            received,
            incarnation: report.incarnation,
            global: report.global,
            locals: report.locals.clone(),
        }
    }
}

/// The hosts that run replicas of a log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// The hosts that bootstrap the log; the first of them creates it.
    pub bootstrap_members: Vec<id::Host>,
    /// All hosts that run a replica, bootstrap members first.
    pub hosts: Vec<id::Host>,
}

/// Returns the hosts that run replicas of a log.
pub fn placement(directory: &directory::Directory, log: &message::Log) -> Placement {
    match log {
        message::Log::Global => global_placement(directory),
        message::Log::Domain(domain) => domain_placement(directory, domain),
        // Hosts of a deployment with one log run it through yucca-fleet.
        message::Log::Site => Placement::default(),
    }
}

/// Chooses hosts with disks from the domains in turn.
fn global_placement(directory: &directory::Directory) -> Placement {
    let columns = directory.domains().into_iter().map(|domain| {
        let hosts = directory.of_domain(&domain).into_iter();
        hosts.filter(|host| has_disk(directory, host)).collect()
    });
    let mut hosts = in_turn(columns.collect());
    if hosts.is_empty() {
        // Without any disk the log is lost when all its hosts stop.
        hosts = directory.hosts.keys().cloned().collect();
    }
    hosts.truncate(MAX_GLOBAL);
    let mut bootstrap_members = hosts.clone();
    bootstrap_members.truncate(GLOBAL_BOOTSTRAP);
    if bootstrap_members.len().is_multiple_of(2) {
        // An even number of voters tolerates no more losses than one voter fewer.
        bootstrap_members.pop();
    }
    Placement {
        bootstrap_members,
        hosts,
    }
}

fn domain_placement(directory: &directory::Directory, domain: &id::Domain) -> Placement {
    let mut locals = directory.of_domain(domain);
    locals.sort_by_key(|host| !has_disk(directory, host));
    locals.truncate(MAX_LOCALS);
    let witnesses = witnesses(directory, domain);
    let count = locals.len().min(LOCAL_BOOTSTRAP);
    let mut bootstrap_members = locals[..count].to_vec();
    let wanted = count.saturating_sub(1);
    bootstrap_members.extend(witnesses.iter().take(wanted).cloned());
    let mut hosts = bootstrap_members.clone();
    hosts.extend(locals.into_iter().skip(count));
    hosts.extend(witnesses.into_iter().skip(wanted));
    Placement {
        bootstrap_members,
        hosts,
    }
}

/// Chooses witnesses from the other domains in turn, starting with the next one, so that the
/// domains share the work.
fn witnesses(directory: &directory::Directory, domain: &id::Domain) -> Vec<id::Host> {
    let mut domains = directory.domains();
    let own = domains.iter().position(|other| other == domain);
    let Some(own) = own else {
        return Vec::new();
    };
    domains.rotate_left(own);
    let others = domains.into_iter().skip(1).map(|other| {
        let mut hosts = directory.of_domain(&other);
        hosts.sort_by_key(|host| !has_disk(directory, host));
        hosts
    });
    let mut witnesses = in_turn(others.collect());
    witnesses.truncate(MAX_WITNESSES);
    witnesses
}

fn has_disk(directory: &directory::Directory, host: &id::Host) -> bool {
    directory.hosts.get(host).is_some_and(|entry| entry.disk)
}

/// Returns the first of each column, then the second of each, and so on.
fn in_turn(columns: Vec<Vec<id::Host>>) -> Vec<id::Host> {
    let longest = columns.iter().map(Vec::len).max().unwrap_or(0);
    let rows = (0..longest).flat_map(|row| columns.iter().filter_map(move |c| c.get(row)));
    rows.cloned().collect()
}
