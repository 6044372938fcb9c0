//! Change tickets: parses them and collects all findings about them.

mod convert;
mod findings;
mod schema;
mod text;

pub(crate) use findings::suggest;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;
use yucca_wire::finding;
use yucca_wire::id;
use yucca_wire::table;

/// Maximum length of a ticket's text in bytes.
pub const MAX_BYTES: usize = 1 << 20;

/// Format of a ticket's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// JSON.
    Json,
    /// TOML. It has no null, so the string `"removed"` in place of a service removes the service.
    Toml,
}

/// A valid ticket: the complete new state of everything that it names.
///
/// Maps are sorted by key, so that equal content has an equal encoding, whatever the format and
/// order of the text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checked {
    /// The ticket number.
    pub number: id::Ticket,
    /// Purpose of the ticket, as its author describes it.
    pub summary: String,
    /// Services that it sets; none for those that it removes.
    pub services: IndexMap<id::Service, Option<table::Service>>,
    /// Complete set of pins of each service that it names.
    pub pins: IndexMap<id::Service, IndexMap<Bytes, id::Target>>,
    /// Complete set of drained targets of each service that it names.
    pub drains: IndexMap<id::Service, Vec<id::Target>>,
    /// Domains that it sets. Their generation is 0, because operators can't set it.
    pub domains: IndexMap<id::Domain, table::Domain>,
}

/// Hash of a ticket's complete content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl Checked {
    /// Returns the hash of the content.
    pub fn digest(&self) -> Digest {
        let bytes = rmp_serde::to_vec(self).unwrap_or_default();
        Digest(xxh3::xxh3_64(&bytes))
    }

    /// Returns the length of the encoded content in bytes.
    pub fn bytes(&self) -> usize {
        rmp_serde::to_vec(self).map_or(0, |bytes| bytes.len())
    }

    /// Sorts all maps by key, and the lists of drained targets.
    fn sort(&mut self) {
        self.services.sort_unstable_keys();
        self.pins.sort_unstable_keys();
        self.drains.sort_unstable_keys();
        self.domains.sort_unstable_keys();
        for service in self.services.values_mut().flatten() {
            service.objectives.sort_unstable_keys();
        }
        for pins in self.pins.values_mut() {
            pins.sort_unstable_keys();
        }
        for drains in self.drains.values_mut() {
            drains.sort_unstable();
            drains.dedup();
        }
        for domain in self.domains.values_mut() {
            domain.hosts.sort_unstable_keys();
        }
    }
}

/// Parses and checks a ticket.
///
/// # Errors
/// Returns all findings, up to a limit, in the order of the text. A ticket with findings has no
/// effect.
pub fn check(text: &[u8], format: Format) -> Result<Checked, Vec<finding::Finding>> {
    let text = decode(text)?;
    let mut findings = findings::Findings::new(text);
    let parsed = match format {
        Format::Json => text::json(text),
        Format::Toml => text::toml(text),
    };
    let node = match parsed {
        Ok(node) => node,
        Err(faults) => {
            for fault in faults {
                findings.add_at(fault.at, "", fault.reason, "fix the syntax");
            }
            return Err(findings.into_vec());
        }
    };
    let node = match format {
        Format::Json => node,
        Format::Toml => convert::with_removals(node),
    };
    schema::check(&node, &mut findings);
    let checked = convert::convert(&node, &mut findings);
    match checked {
        Some(mut checked) if findings.len() == 0 => {
            checked.sort();
            Ok(checked)
        }
        _ => Err(findings.into_vec()),
    }
}

fn decode(text: &[u8]) -> Result<&str, Vec<finding::Finding>> {
    let finding = |problem: String, remedy: &str| {
        vec![finding::Finding {
            place: finding::Place::default(),
            problem,
            remedy: remedy.into(),
        }]
    };
    if text.len() > MAX_BYTES {
        return Err(finding(
            format!("ticket has {} bytes, the limit is {MAX_BYTES}", text.len()),
            "divide it into several tickets",
        ));
    }
    std::str::from_utf8(text).map_err(|error| {
        finding(
            format!("not UTF-8 at byte {}", error.valid_up_to()),
            "save it as UTF-8",
        )
    })
}
