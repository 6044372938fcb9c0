//! The two sample deployments at their current sizes.

use std::fmt;
use std::str;
use std::sync;
use std::time;

use yucca_wire::id;
use yucca_wire::ticket;

use crate::work;

/// Sample ticket of Kelani.
const KELANI: &str = include_str!("../../../tickets/kelani.toml");

/// Sample ticket of Brightwater.
const BRIGHTWATER: &str = include_str!("../../../tickets/brightwater.toml");

/// Reason why a sample deployment cannot be created.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No sample deployment has this name.
    Name {
        /// The rejected text.
        text: String,
    },
    /// A sample ticket does not parse.
    Ticket {
        /// The deployment.
        name: Name,
        /// Error of the parser, with the position in the file.
        reason: String,
    },
    /// A name in the sample ticket is malformed.
    Id(id::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name { text } => write!(
                f,
                "no deployment is named {text:?}; use \"kelani\" or \"brightwater\""
            ),
            Self::Ticket { name, reason } => write!(f, "tickets/{name}.toml: {reason}"),
            Self::Id(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<id::Error> for Error {
    fn from(error: id::Error) -> Self {
        Self::Id(error)
    }
}

/// Name of a sample deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Name {
    /// Kelani Municipal Steam Utility.
    Kelani,
    /// Brightwater Glow Cooperative.
    Brightwater,
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kelani => "kelani",
            Self::Brightwater => "brightwater",
        })
    }
}

impl str::FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "kelani" => Ok(Self::Kelani),
            "brightwater" => Ok(Self::Brightwater),
            _ => Err(Error::Name { text: text.into() }),
        }
    }
}

/// A sample deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name.
    pub name: Name,
    /// Ticket that creates the services and domains.
    pub ticket: ticket::Ticket,
    /// Targets of each service.
    pub groups: Vec<Group>,
}

/// Targets of one service.
#[derive(Debug, Clone)]
pub struct Group {
    /// The service.
    pub service: id::Service,
    /// Definition of the service in the ticket.
    pub rules: sync::Arc<ticket::Service>,
    /// Number of targets, distributed over the domains.
    pub targets: usize,
    /// Distribution of the service times.
    pub model: work::Model,
}

/// Service times of long work: archive searches and catalogue pulls.
const LONG: work::Distribution = work::Distribution {
    median: time::Duration::from_millis(60),
    sigma: 1.0,
    max: time::Duration::from_secs(2),
};

/// Service times of lookups.
const LOOKUP: work::Distribution = work::Distribution {
    median: time::Duration::from_millis(8),
    sigma: 0.6,
    max: time::Duration::from_millis(200),
};

/// Service times of renewals, orders and deposits.
const RENEWAL: work::Distribution = work::Distribution {
    median: time::Duration::from_millis(12),
    sigma: 0.5,
    max: time::Duration::from_millis(200),
};

/// Current number of targets of a service, and the service times of its short work.
struct Size {
    service: &'static str,
    targets: usize,
    short: work::Distribution,
}

const fn size(service: &'static str, targets: usize, short: work::Distribution) -> Size {
    Size {
        service,
        targets,
        short,
    }
}

const KELANI_SIZES: [Size; 3] = [
    size("ticket-desk", 13, LOOKUP),
    size("renewal-office", 10, RENEWAL),
    size("records-vault", 13, LOOKUP),
];

const BRIGHTWATER_SIZES: [Size; 3] = [
    size("shelf", 13, LOOKUP),
    size("till", 7, RENEWAL),
    size("almanac", 13, LOOKUP),
];

impl Deployment {
    /// Returns a sample deployment at its current size.
    ///
    /// # Errors
    /// Fails if the sample ticket is malformed.
    pub fn new(name: Name) -> Result<Self, Error> {
        let (text, sizes) = match name {
            Name::Kelani => (KELANI, &KELANI_SIZES),
            Name::Brightwater => (BRIGHTWATER, &BRIGHTWATER_SIZES),
        };
        let parsed = toml::from_str::<ticket::Ticket>(text);
        let ticket = parsed.map_err(|error| Error::Ticket {
            name,
            reason: error.to_string(),
        })?;
        let groups = sizes.iter().map(|size| group(name, &ticket, size));
        let groups = groups.collect::<Result<_, _>>()?;
        Ok(Self {
            name,
            ticket,
            groups,
        })
    }

    /// Reduces each service to at most `targets` targets.
    #[must_use]
    pub fn limit_targets(mut self, targets: usize) -> Self {
        for group in &mut self.groups {
            group.targets = group.targets.min(targets);
        }
        self
    }

    /// Reduces each failure domain to at most `hosts` hosts.
    #[must_use]
    pub fn limit_hosts(mut self, hosts: usize) -> Self {
        for domain in self.ticket.domains.values_mut() {
            domain.hosts.truncate(hosts);
        }
        self
    }

    /// Returns the failure domains.
    ///
    /// # Errors
    /// Fails if a domain's name is malformed.
    pub fn domains(&self) -> Result<Vec<id::Domain>, Error> {
        let names = self.ticket.domains.keys();
        names.map(|name| Ok(name.parse()?)).collect()
    }
}

fn group(name: Name, ticket: &ticket::Ticket, size: &Size) -> Result<Group, Error> {
    let rules = ticket.services.get(size.service).cloned().flatten();
    let rules = rules.ok_or_else(|| Error::Ticket {
        name,
        reason: format!("service {} is missing", size.service),
    })?;
    Ok(Group {
        service: size.service.parse()?,
        rules: sync::Arc::new(rules),
        targets: size.targets,
        model: work::Model {
            short: size.short,
            long: LONG,
        },
    })
}
