//! Change tickets: reading them and collecting everything that is wrong in them.

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

/// The longest text of a ticket, in bytes.
pub const MAX_BYTES: usize = 1 << 20;

/// The format of a ticket's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// JSON.
    Json,
    /// TOML. It has no null: the text `"removed"` in place of a service removes it.
    Toml,
}

/// A ticket without findings: the whole new state of everything that it names.
///
/// Maps are in the order of their keys, so that equal content has equal bytes whatever the
/// format and order of the text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checked {
    /// The number.
    pub number: id::Ticket,
    /// What it is for.
    pub summary: String,
    /// The services that it sets, or removes.
    pub services: IndexMap<id::Service, Option<table::Service>>,
    /// The whole set of pins of each service that it names.
    pub pins: IndexMap<id::Service, IndexMap<Bytes, id::Target>>,
    /// The whole set of drained targets of each service that it names.
    pub drains: IndexMap<id::Service, Vec<id::Target>>,
    /// The domains that it sets; the generation is not an operator's to set and is 0.
    pub domains: IndexMap<id::Domain, table::Domain>,
}

/// A hash of a ticket's whole content.
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

    /// Puts every map in the order of its keys.
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

/// Reads a ticket.
///
/// # Errors
/// Returns every finding, in the order of the text; nothing of such a ticket takes effect.
pub fn check(text: &[u8], format: Format) -> Result<Checked, Vec<finding::Finding>> {
    let text = read(text)?;
    let mut findings = findings::Findings::new(text);
    let parsed = match format {
        Format::Json => text::json(text),
        Format::Toml => text::toml(text),
    };
    let node = match parsed {
        Ok(node) => node,
        Err(faults) => {
            for fault in faults {
                findings.add_at(fault.at, "", fault.reason, "mend the syntax");
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

fn read(text: &[u8]) -> Result<&str, Vec<finding::Finding>> {
    let explain = |problem: String, remedy: &str| {
        vec![finding::Finding {
            place: finding::Place::default(),
            problem,
            remedy: remedy.into(),
        }]
    };
    if text.len() > MAX_BYTES {
        return Err(explain(
            format!("ticket has {} bytes, the limit is {MAX_BYTES}", text.len()),
            "divide it into several tickets",
        ));
    }
    std::str::from_utf8(text).map_err(|error| {
        explain(
            format!("not UTF-8 at byte {}", error.valid_up_to()),
            "save it as UTF-8",
        )
    })
}
