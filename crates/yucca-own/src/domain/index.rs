//! Index of the shards that each target owns, updated incrementally from versions of the table.

use std::sync;

use indexmap::{IndexMap, IndexSet};
use yucca_wire::id;
use yucca_wire::shards;
use yucca_wire::table;

/// Shards that each target owns.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    /// Version of the table that the index describes.
    table: Option<sync::Arc<table::Local>>,
    owned: IndexMap<id::Target, IndexSet<id::Shard>>,
}

impl Index {
    /// Returns the shards that a target owns.
    pub(super) fn shards(&self, target: &id::Target) -> impl Iterator<Item = id::Shard> {
        let owned = self.owned.get(target);
        owned.into_iter().flatten().copied()
    }

    /// Updates the index to this version of the table. The cost depends on the number of changes.
    pub(super) fn update(&mut self, table: &sync::Arc<table::Local>) {
        let before = self.table.replace(sync::Arc::clone(table));
        if before
            .as_ref()
            .is_some_and(|before| sync::Arc::ptr_eq(before, table))
        {
            return;
        }
        let none = shards::Owners::new();
        let old_of = |service: &id::Service| {
            let owners = before
                .as_ref()
                .and_then(|before| before.owners.get(service));
            owners.unwrap_or(&none)
        };
        let removed = before.iter().flat_map(|before| before.owners.keys());
        let removed = removed.filter(|service| !table.owners.contains_key(*service));
        let services: Vec<&id::Service> = table.owners.keys().chain(removed).collect();
        let owned = &mut self.owned;
        for service in services {
            let old = old_of(service);
            let new = table.owners.get(service).unwrap_or(&none);
            new.changes(old, |shard, owner| {
                let was = old.get(&shard).map(|owner| &owner.target);
                let is = owner.map(|owner| &owner.target);
                if was == is {
                    return;
                }
                if let Some(shards) = was.and_then(|was| owned.get_mut(was)) {
                    shards.swap_remove(&shard);
                }
                if let Some(is) = is {
                    owned.entry(is.clone()).or_default().insert(shard);
                }
            });
        }
    }
}
