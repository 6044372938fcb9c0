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
        /// The name of the deployment. Processes of other deployments are refused.
        pub deployment: String,
        /// The name of this host.
        pub host: id::Host,
        /// The failure domain of this host.
        pub domain: id::Domain,
        /// The folder for durable state. A host without a disk leaves it out.
        pub data: Option<path::PathBuf>,
        /// The IP address from which connections to peers are opened; the system chooses one
        /// where it is absent.
        pub local: Option<net::IpAddr>,
        /// Where the process listens.
        pub addresses: Addresses,
        /// The keys that others must show.
        pub secrets: Secrets,
        /// How long things may take.
        pub timing: Timing,
        /// The control processes that found the deployment, this one included. The list is the
        /// same on each host; hosts that come later are named in tickets. Without any the process
        /// is alone.
        pub peers: Vec<Peer>,
    }
}

yucca_settings::section! {
    /// Where a control process listens.
    #[derive(Debug, Clone)]
    pub struct Addresses {
        /// For operators.
        pub operator: net::SocketAddr,
        /// For control and entry processes of this deployment.
        pub peer: net::SocketAddr,
        /// For `/ready`, `/live` and `/metrics`.
        pub health: net::SocketAddr,
    }
}

yucca_settings::section! {
    /// The keys that others must show as a bearer token.
    #[derive(Debug, Clone)]
    pub struct Secrets {
        /// The key of the operators.
        pub operator: auth::Secret,
        /// The key of the deployment's own processes.
        pub peer: auth::Secret,
    }
}

yucca_settings::section! {
    /// How long things may take.
    #[derive(Debug, Clone, Copy)]
    pub struct Timing {
        /// How long the answer to a report is held back when there is no news.
        pub heartbeat: unit::Span = "200ms",
        /// How often the leaders of the logs look at what there is to decide.
        pub plan: unit::Span = "100ms",
        /// How long an answer of another control process may take.
        pub answer: unit::Span = "1s",
        /// How long an operator's change may wait for a leader and its quorum.
        pub accept: unit::Span = "5s",
        /// How long requests in flight may take when the process stops.
        pub stop: unit::Span = "5s",
    }
}

yucca_settings::section! {
    /// A control process that founds the deployment.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub struct Peer {
        /// The name of its host.
        pub host: id::Host,
        /// The failure domain of its host.
        pub domain: id::Domain,
        /// Where it listens for peers.
        pub address: net::SocketAddr,
        /// Whether its host has a disk.
        pub disk: bool = false,
    }
}

/// Reads and checks settings.
///
/// # Errors
/// Gives all findings, ordered by their place.
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
            "use such as \"200ms\"",
        ));
    }
    if settings.timing.plan.0.is_zero() {
        violations.push(violation(
            "timing.plan",
            "the interval is zero",
            "use such as \"100ms\"",
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
            "this host is in `{}`, and in `{}` by its entry in `peers`",
            settings.domain, own.domain
        );
        return Some(violation(
            "domain",
            &problem,
            "name the same domain in both places",
        ));
    }
    if own.disk != settings.data.is_some() {
        let problem = format!("`data` and `disk` of `{}` in `peers` disagree", own.host);
        let remedy = "give a data folder on a host with a disk, and none on one without";
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
