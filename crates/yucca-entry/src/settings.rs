//! Settings of an entry process.

use std::net;

use yucca_wire::auth;
use yucca_wire::id;
use yucca_wire::unit;

yucca_settings::section! {
    /// Settings of an entry process.
    #[derive(Debug, Clone)]
    pub struct Settings {
        /// Name of the deployment. Messages from processes of other deployments are rejected.
        pub deployment: String,
        /// Name of this host.
        pub host: id::Host,
        /// Failure domain of this host.
        pub domain: id::Domain,
        /// Address of the listener for callers.
        pub callers: net::SocketAddr,
        /// Address of the listener for other entry hosts.
        pub peer: net::SocketAddr,
        /// Address of the listener for the platform's balancer, with `/ready` and `/live`, and for
        /// scraping `/metrics`.
        pub balancer: net::SocketAddr,
        /// Address of the listener for announcements of targets.
        pub announce: net::SocketAddr,
        /// Local IP address of connections to peers. If absent, the system chooses one.
        pub local: Option<net::IpAddr>,
        /// Addresses of the domain's control processes, that of this host first.
        pub control: Vec<net::SocketAddr>,
        /// Secret shared with peers and control processes.
        pub peer_secret: auth::Secret,
        /// Secret that targets must send with announcements.
        pub announce_secret: auth::Secret,
        /// Interval of reports to the control process.
        pub heartbeat: unit::Span = "200ms",
        /// Maximum time that a graceful stop waits for requests in flight.
        pub stop_limit: unit::Span = "30s",
        /// Maximum size of the head of a caller's request.
        pub head_limit: unit::Size = "32KiB",
        /// Maximum number of callers' requests in flight.
        pub request_limit: u32 = 10000,
    }
}

impl Settings {
    /// Returns settings with default limits and listeners on loopback ports that the system
    /// chooses.
    pub fn new(deployment: &str, host: id::Host, domain: id::Domain) -> Self {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self {
            deployment: deployment.into(),
            host,
            domain,
            callers: any,
            peer: any,
            balancer: any,
            announce: any,
            local: None,
            control: Vec::new(),
            peer_secret: auth::Secret::new("peer"),
            announce_secret: auth::Secret::new("announce"),
            heartbeat: unit::Span::from_millis(200),
            stop_limit: unit::Span::from_millis(30_000),
            head_limit: unit::Size(32 << 10),
            request_limit: 10_000,
        }
    }
}
