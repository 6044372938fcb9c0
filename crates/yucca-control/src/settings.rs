//! The settings of a control process.

use std::net;
use std::path;

use indexmap::IndexSet;
use yucca_settings::reader;
use yucca_wire::{auth, finding, id, unit};

yucca_settings::section! {
    /// Settings of a control process, which runs once on each host.
    #[derive(Debug, Clone)]
    pub struct Settings {
        /// Name of the deployment. Messages from processes of other deployments are rejected.
        pub deployment: String,
        /// Name of this host.
        pub host: id::Host,
        /// Failure domain of this host.
        pub domain: id::Domain,
        /// Folder for durable state. Absent on a host without a disk.
        pub data: Option<path::PathBuf>,
        /// Local IP address of connections to peers. If absent, the system chooses one.
        pub local: Option<net::IpAddr>,
        /// Addresses of the listeners.
        pub addresses: Addresses,
        /// Secrets that clients must send.
        pub secrets: Secrets,
        /// Intervals and timeouts.
        pub timing: Timing,
        /// Control processes that bootstrap the deployment, including this one. The list is the
        /// same on each host; hosts that are added later are named in tickets. If the list is
        /// empty, the process runs alone.
        pub peers: Vec<Peer>,
    }
}

yucca_settings::section! {
    /// Addresses of the listeners of a control process.
    #[derive(Debug, Clone)]
    pub struct Addresses {
        /// Address of the listener for operators.
        pub operator: net::SocketAddr,
        /// Address of the listener for control and entry processes of this deployment.
        pub peer: net::SocketAddr,
        /// Address of the listener for `/ready`, `/live` and `/metrics`.
        pub health: net::SocketAddr,
    }
}

yucca_settings::section! {
    /// Secrets that clients must send as a bearer token.
    #[derive(Debug, Clone)]
    pub struct Secrets {
        /// Secret of operators.
        pub operator: auth::Secret,
        /// Secret shared by the processes of the deployment.
        pub peer: auth::Secret,
    }
}

yucca_settings::section! {
    /// Intervals and timeouts of a control process.
    #[derive(Debug, Clone, Copy)]
    pub struct Timing {
        /// Maximum time that the answer to a report is delayed while there is no newer version.
        pub heartbeat: unit::Span = "200ms",
        /// Interval at which the leaders of the logs plan changes.
        pub plan: unit::Span = "100ms",
        /// Timeout of an answer of another control process.
        pub answer: unit::Span = "1s",
        /// Maximum time that an operator's change waits for a leader and its quorum.
        pub accept: unit::Span = "5s",
        /// Maximum time that a graceful stop waits for requests in flight.
        pub stop: unit::Span = "5s",
    }
}

yucca_settings::section! {
    /// A control process that bootstraps the deployment.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub struct Peer {
        /// Name of its host.
        pub host: id::Host,
        /// Failure domain of its host.
        pub domain: id::Domain,
        /// Address of its listener for peers.
        pub address: net::SocketAddr,
        /// Whether its host has a disk.
        pub disk: bool = false,
    }
}

/// Reads and checks settings.
///
/// # Errors
/// Returns all findings, ordered by their place.
pub fn read(text: &str, file: &str) -> Result<Settings, Vec<finding::Finding>> {
    yucca_settings::read_checked(text, file, check)
}

fn check(settings: &Settings) -> Vec<reader::Violation> {
    let mut violations = check_names(settings);
    violations.extend(check_own_entry(settings));
    if settings.timing.heartbeat.0.is_zero() {
        violations.push(violation(
            "timing.heartbeat",
            "the heartbeat is zero",
            "use a value such as \"200ms\"",
        ));
    }
    if settings.timing.plan.0.is_zero() {
        violations.push(violation(
            "timing.plan",
            "the interval is zero",
            "use a value such as \"100ms\"",
        ));
    }
    violations
}

fn check_names(settings: &Settings) -> Vec<reader::Violation> {
    let mut hosts = IndexSet::new();
    let mut violations = Vec::new();
    for (index, peer) in settings.peers.iter().enumerate() {
        if !hosts.insert(&peer.host) {
            let problem = format!("host `{}` is listed twice", peer.host);
            let path = format!("peers[{index}].host");
            violations.push(violation(&path, &problem, "list each host once"));
        }
    }
    violations
}

fn check_own_entry(settings: &Settings) -> Option<reader::Violation> {
    let own = settings
        .peers
        .iter()
        .find(|peer| peer.host == settings.host)?;
    if own.domain != settings.domain {
        let problem = format!(
            "this host is in domain `{}`, but in domain `{}` according to its entry in `peers`",
            settings.domain, own.domain
        );
        return Some(violation(
            "domain",
            &problem,
            "use the same domain in both places",
        ));
    }
    if own.disk != settings.data.is_some() {
        let problem = format!(
            "`data` and the value of `disk` of `{}` in `peers` contradict each other",
            own.host
        );
        let remedy = "set `data` on a host with a disk, and leave it out on a host without one";
        return Some(violation("host", &problem, remedy));
    }
    None
}

fn violation(path: &str, problem: &str, remedy: &str) -> reader::Violation {
    reader::Violation {
        path: path.into(),
        problem: problem.into(),
        remedy: remedy.into(),
    }
}
