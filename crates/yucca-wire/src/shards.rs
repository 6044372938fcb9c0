//! Compact maps from shards to their homes and owners.

use std::ops;
use std::sync;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::id;
use crate::table;

/// Number of consecutive shards in one page of [`Owners`].
const PAGE_SHARDS: u32 = 256;

/// Home domain of each shard of a service, as runs of consecutive shards.
///
/// Keys are hashed uniformly to shards, so consecutive shards spread the keys as evenly as any
/// other selection. Runs keep the map and its deltas small.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Homes {
    runs: Vec<Run>,
}

/// Run of consecutive shards with the same home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Shard after the last shard of the run.
    pub end: u32,
    /// Home domain of every shard in the run.
    pub domain: id::Domain,
}

impl Homes {
    /// Returns the home of the shard with this index.
    pub fn get(&self, shard: usize) -> Option<&id::Domain> {
        let shard = u32::try_from(shard).ok()?;
        let at = self.runs.partition_point(|run| run.end <= shard);
        self.runs.get(at).map(|run| &run.domain)
    }

    /// Returns the number of shards that have a home.
    pub fn len(&self) -> usize {
        self.runs.last().map_or(0, |run| run.end as usize)
    }

    /// Returns whether no shard has a home.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Assigns the shards of a range to a domain.
    ///
    /// Does nothing if the range is empty, or if it starts beyond [`len`](Self::len): the shards in
    /// between would have no home.
    pub fn assign(&mut self, range: ops::Range<u32>, domain: &id::Domain) {
        if range.is_empty() || range.start as usize > self.len() {
            return;
        }
        let mut runs: Vec<Run> = Vec::with_capacity(self.runs.len() + 2);
        let mut push = |end: u32, domain: &id::Domain| match runs.last_mut() {
            Some(last) if last.domain == *domain => last.end = end,
            _ => runs.push(Run {
                end,
                domain: domain.clone(),
            }),
        };
        let mut start = 0;
        for run in &self.runs {
            if start < range.start {
                push(run.end.min(range.start), &run.domain);
            }
            start = run.end;
        }
        push(range.end, domain);
        for run in self.runs.iter().filter(|run| run.end > range.end) {
            push(run.end, &run.domain);
        }
        self.runs = runs;
    }

    /// Returns the runs in the order of their shards.
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }

    /// Returns the home of every shard, in order.
    pub fn iter(&self) -> impl Iterator<Item = &id::Domain> {
        let mut start = 0;
        self.runs.iter().flat_map(move |run| {
            let length = run.end - start;
            start = run.end;
            std::iter::repeat_n(&run.domain, length as usize)
        })
    }
}

impl FromIterator<id::Domain> for Homes {
    fn from_iter<I: IntoIterator<Item = id::Domain>>(domains: I) -> Self {
        let mut runs: Vec<Run> = Vec::new();
        let mut end = 0;
        for domain in domains {
            end += 1;
            match runs.last_mut() {
                Some(last) if last.domain == domain => last.end = end,
                _ => runs.push(Run { end, domain }),
            }
        }
        Self { runs }
    }
}

impl From<Vec<id::Domain>> for Homes {
    fn from(domains: Vec<id::Domain>) -> Self {
        domains.into_iter().collect()
    }
}

/// Owners of the shards of one service, in pages that clones share.
///
/// A clone increments one reference count per page, and a change copies one page, so the cost of a
/// new version of a table is proportional to the number of changes.
#[derive(Debug, Clone, Default)]
pub struct Owners {
    pages: Vec<sync::Arc<Page>>,
    len: usize,
}

/// Entries of one page, in the order of their shards.
type Page = Vec<Entry>;

/// Shard and its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the shard.
    pub shard: id::Shard,
    /// Owner of the shard.
    pub owner: table::Owner,
}

fn page_of(shard: id::Shard) -> usize {
    (shard.0 / PAGE_SHARDS) as usize
}

fn find(page: &Page, shard: id::Shard) -> Result<usize, usize> {
    page.binary_search_by_key(&shard, |entry| entry.shard)
}

impl Owners {
    /// Returns a map without owners.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the owner of a shard.
    pub fn get(&self, shard: &id::Shard) -> Option<&table::Owner> {
        let page = self.pages.get(page_of(*shard))?;
        let at = find(page, *shard).ok()?;
        Some(&page[at].owner)
    }

    /// Sets the owner of a shard and returns the previous one.
    pub fn insert(&mut self, shard: id::Shard, owner: table::Owner) -> Option<table::Owner> {
        let index = page_of(shard);
        if self.pages.len() <= index {
            self.pages.resize_with(index + 1, sync::Arc::default);
        }
        let page = sync::Arc::make_mut(&mut self.pages[index]);
        match find(page, shard) {
            Ok(at) => Some(std::mem::replace(&mut page[at].owner, owner)),
            Err(at) => {
                page.insert(at, Entry { shard, owner });
                self.len += 1;
                None
            }
        }
    }

    /// Removes the owner of a shard and returns it.
    pub fn remove(&mut self, shard: &id::Shard) -> Option<table::Owner> {
        let page = self.pages.get_mut(page_of(*shard))?;
        let at = find(page, *shard).ok()?;
        self.len -= 1;
        Some(sync::Arc::make_mut(page).remove(at).owner)
    }

    /// Returns the number of shards that have an owner.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no shard has an owner.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the shards and their owners, in the order of the shards.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Shard, &table::Owner)> {
        let entries = self.pages.iter().flat_map(|page| page.iter());
        entries.map(|entry| (&entry.shard, &entry.owner))
    }

    /// Returns the owners, in the order of their shards.
    pub fn values(&self) -> impl Iterator<Item = &table::Owner> {
        self.iter().map(|(_, owner)| owner)
    }

    /// Returns the shards that have an owner, in order.
    pub fn keys(&self) -> impl Iterator<Item = &id::Shard> {
        self.iter().map(|(shard, _)| shard)
    }

    /// Calls `visit` for each shard whose owner differs from that in `older`, with the shard and
    /// its owner in `self`.
    ///
    /// Pages that both maps share are skipped.
    pub fn changes<'a>(
        &'a self,
        older: &Self,
        mut visit: impl FnMut(id::Shard, Option<&'a table::Owner>),
    ) {
        let none = sync::Arc::new(Page::new());
        for index in 0..self.pages.len().max(older.pages.len()) {
            let new = self.pages.get(index);
            let old = older.pages.get(index).unwrap_or(&none);
            if new.is_some_and(|new| sync::Arc::ptr_eq(new, old)) {
                continue;
            }
            let new = new.map_or(&[][..], |page| page.as_slice());
            for entry in new {
                let before = find(old, entry.shard).ok().map(|at| &old[at].owner);
                if before != Some(&entry.owner) {
                    visit(entry.shard, Some(&entry.owner));
                }
            }
            for entry in old.iter() {
                if new.binary_search_by_key(&entry.shard, |e| e.shard).is_err() {
                    visit(entry.shard, None);
                }
            }
        }
    }
}

impl PartialEq for Owners {
    fn eq(&self, other: &Self) -> bool {
        if self.len != other.len {
            return false;
        }
        let mut same = true;
        self.changes(other, |_, _| same = false);
        same
    }
}

impl FromIterator<(id::Shard, table::Owner)> for Owners {
    fn from_iter<I: IntoIterator<Item = (id::Shard, table::Owner)>>(entries: I) -> Self {
        let mut owners = Self::new();
        for (shard, owner) in entries {
            owners.insert(shard, owner);
        }
        owners
    }
}

/// Encoded form of the entries of one target: grouping writes each target's name only once.
#[derive(Serialize, Deserialize)]
struct Group {
    target: id::Target,
    shards: Vec<Grant>,
}

/// Shard of a [`Group`].
#[derive(Serialize, Deserialize)]
struct Grant {
    shard: id::Shard,
    token: id::Token,
    moving: bool,
}

impl Serialize for Owners {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut groups: indexmap::IndexMap<&id::Target, Vec<Grant>> = indexmap::IndexMap::new();
        for (shard, owner) in self.iter() {
            groups.entry(&owner.target).or_default().push(Grant {
                shard: *shard,
                token: owner.token,
                moving: owner.moving,
            });
        }
        serializer.collect_seq(groups.into_iter().map(|(target, shards)| Group {
            target: target.clone(),
            shards,
        }))
    }
}

impl<'de> Deserialize<'de> for Owners {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let groups = Vec::<Group>::deserialize(deserializer)?;
        let mut entries: Vec<(id::Shard, table::Owner)> = Vec::new();
        for group in groups {
            entries.extend(group.shards.into_iter().map(|grant| {
                let owner = table::Owner {
                    target: group.target.clone(),
                    token: grant.token,
                    moving: grant.moving,
                };
                (grant.shard, owner)
            }));
        }
        entries.sort_unstable_by_key(|(shard, _)| *shard);
        Ok(entries.into_iter().collect())
    }
}
