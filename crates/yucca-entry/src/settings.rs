//! The settings of an entry process.

use std::net;

use yucca_wire::auth;
use yucca_wire::id;
use yucca_wire::unit;

yucca_settings::section! {
    /// The settings of an entry process.
    #[derive(Debug, Clone)]
    pub struct Settings {
        /// The deployment's name; processes of other deployments are refused.
        pub deployment: String,
        /// This host's name.
        pub host: id::Host,
        /// The failure domain of this host.
        pub domain: id::Domain,
        /// Where callers are heard.
        pub callers: net::SocketAddr,
        /// Where other entry hosts are heard.
        pub peer: net::SocketAddr,
        /// Where the platform's balancer asks for `/ready` and `/live`, and metrics are scraped.
        pub balancer: net::SocketAddr,
        /// Where targets announce themselves.
        pub announce: net::SocketAddr,
        /// The IP address from which connections to peers are opened; the system chooses one
        /// where it is absent.
        pub local: Option<net::IpAddr>,
        /// The control processes of this domain, the one of this host first.
        pub control: Vec<net::SocketAddr>,
        /// The secret of peers and control processes.
        pub peer_secret: auth::Secret,
        /// The secret of targets that announce themselves.
        pub announce_secret: auth::Secret,
        /// The interval of reports to control.
        pub heartbeat: unit::Span = "200ms",
        /// How long a graceful stop waits for requests in flight.
        pub stop_limit: unit::Span = "30s",
        /// The largest head of a caller's request.
        pub head_limit: unit::Size = "32KiB",
        /// The most requests in flight from callers.
        pub request_limit: u32 = 10000,
    }
}

impl Settings {
    /// Returns settings with the default limits, on loopback ports that the system chooses.
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
