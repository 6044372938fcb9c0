//! The settings of a process.

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
        /// The folder for durable state, on control hosts.
        pub data: Option<path::PathBuf>,
        /// Whether the deployment is founded by this start; only with empty disks.
        pub bootstrap: bool = false,
        /// The IP addresses of some control hosts. They need not be up, nor be all there are.
        pub seeds: Vec<net::IpAddr>,
        /// Where the process listens.
        pub addresses: Addresses,
        /// How long things may take.
        pub timing: Timing,
        /// How many retries all hosts together may send.
        pub retries: Retries,
    }
}

yucca_settings::section! {
    /// Where a process listens.
    #[derive(Debug, Clone)]
    pub struct Addresses {
        /// For callers, on entry hosts.
        pub callers: Option<net::SocketAddr>,
        /// For the balancer's questions, on entry hosts.
        pub health: Option<net::SocketAddr>,
        /// For operators and targets, on control hosts. The port is the same on all of them.
        pub operator: Option<net::SocketAddr>,
        /// For processes of this deployment, over TCP, and for load digests, over UDP. The port is
        /// the same on all hosts.
        pub mesh: net::SocketAddr,
        /// For `/metrics`.
        pub metrics: Option<net::SocketAddr>,
    }
}

yucca_settings::section! {
    /// How long things may take.
    #[derive(Debug, Clone, Copy)]
    pub struct Timing {
        /// How often a target announces itself.
        pub announce: unit::Span = "1s",
        /// The longest lease that a target takes.
        pub hold_limit: unit::Span = "10s",
        /// How long a process may take to stop.
        pub stop: unit::Span = "6s",
    }
}

yucca_settings::section! {
    /// How many retries all hosts together may send, for each service.
    #[derive(Debug, Clone, Copy)]
    pub struct Retries {
        /// The time over which they are counted.
        pub window: unit::Span = "10s",
        /// Retries for each request.
        pub ratio: f64 = 0.2,
        /// Retries beyond that.
        pub extra: f64 = 10.0,
    }
}

/// A lease lasts so many announcements, so that one may be lost.
const HOLD_ANNOUNCEMENTS: f64 = 2.2;

/// Added to the lease for an election of the control hosts.
const HOLD_ELECTION: time::Duration = time::Duration::from_secs(1);

impl Settings {
    /// Returns the name of this host.
    ///
    /// # Errors
    /// Fails where the address makes no name, which none does.
    pub fn host(&self) -> Result<id::Host, id::Error> {
        self.ip.to_string().parse()
    }

    /// Returns where the process of a host listens for others of this deployment.
    pub fn mesh_address(&self, ip: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(ip, self.addresses.mesh.port())
    }

    /// Returns how long a renewal of a lease lasts.
    pub fn lease_duration(&self) -> time::Duration {
        let wanted = self.timing.announce.0.mul_f64(HOLD_ANNOUNCEMENTS) + HOLD_ELECTION;
        wanted.min(self.timing.hold_limit.0)
    }
}
