//! Settings of a process.

use std::net;
use std::path;
use std::time;

use yucca_wire::{id, unit};

yucca_settings::section! {
    /// Settings of a process of a deployment with one log group.
    #[derive(Debug, Clone)]
    pub struct Settings {
        /// The IP address of this host, which is also its name.
        pub ip: net::IpAddr,
        /// The failure domain of this host.
        pub domain: id::Domain,
        /// Folder for durable state. Required on control hosts.
        pub data: Option<path::PathBuf>,
        /// Whether the seeds create the deployment at this start. Takes effect only with empty
        /// disks.
        pub bootstrap: bool = false,
        /// IP addresses of some of the control hosts. They need not be up.
        pub seeds: Vec<net::IpAddr>,
        /// Addresses that the process listens on.
        pub addresses: Addresses,
        /// Intervals and time limits.
        pub timing: Timing,
        /// Retry budget of all hosts together.
        pub retries: Retries,
        /// Memory that the process may use. Bodies of requests and answers take half of it at most.
        pub memory: unit::Size = "256MiB",
    }
}

yucca_settings::section! {
    /// Addresses that a process listens on.
    #[derive(Debug, Clone)]
    pub struct Addresses {
        /// Address for callers, on entry hosts.
        pub callers: Option<net::SocketAddr>,
        /// Address for health checks of the load balancer, on entry hosts.
        pub health: Option<net::SocketAddr>,
        /// Address for operators and targets, on control hosts. All control hosts use the same
        /// port.
        pub operator: Option<net::SocketAddr>,
        /// Address for other processes of this deployment, over TCP, and for load digests, over
        /// UDP. All hosts use the same port.
        pub mesh: net::SocketAddr,
        /// Address for `/metrics`.
        pub metrics: Option<net::SocketAddr>,
    }
}

yucca_settings::section! {
    /// Intervals and time limits.
    #[derive(Debug, Clone, Copy)]
    pub struct Timing {
        /// Interval between the announcements of a target.
        pub announce: unit::Span = "1s",
        /// Maximum duration of a lease that a target accepts.
        pub hold_limit: unit::Span = "10s",
        /// Maximum time that a process takes to stop.
        pub stop: unit::Span = "6s",
    }
}

yucca_settings::section! {
    /// Retry budget of all hosts together, for each service.
    #[derive(Debug, Clone, Copy)]
    pub struct Retries {
        /// Time window over which requests and retries are counted.
        pub window: unit::Span = "10s",
        /// Number of retries allowed for each request.
        pub ratio: f64 = 0.2,
        /// Number of additional retries allowed in a window.
        pub extra: f64 = 10.0,
    }
}

/// Duration of a lease in intervals between announcements, so that one announcement may be lost.
const LEASE_ANNOUNCEMENTS: f64 = 2.2;

/// Added to the duration of a lease, for an election among the control hosts.
const LEASE_ELECTION_MARGIN: time::Duration = time::Duration::from_secs(1);

impl Settings {
    /// Returns the name of this host.
    ///
    /// # Errors
    /// Fails if the address is not a valid host name, which does not happen for an IP address.
    pub fn host(&self) -> Result<id::Host, id::Error> {
        self.ip.to_string().parse()
    }

    /// Returns the address on which a host accepts connections of this deployment.
    pub fn mesh_address(&self, ip: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(ip, self.addresses.mesh.port())
    }

    /// Returns the duration of a renewed lease.
    pub fn lease_duration(&self) -> time::Duration {
        let wanted = self.timing.announce.0.mul_f64(LEASE_ANNOUNCEMENTS) + LEASE_ELECTION_MARGIN;
        wanted.min(self.timing.hold_limit.0)
    }
}
