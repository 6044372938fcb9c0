//! The table version in effect at this host.

use std::sync;

use arc_swap::ArcSwap;
use tokio::sync::watch;
use yucca_wire::id;
use yucca_wire::table;

use crate::version::view;

/// The table in effect at this host. Versions of its parts never decrease.
pub struct Current {
    view: ArcSwap<view::View>,
    changes: watch::Sender<u64>,
    // Serializes writers, so that a slow one does not restore an older part.
    writer: sync::Mutex<()>,
}

impl Default for Current {
    fn default() -> Self {
        Self {
            view: ArcSwap::default(),
            changes: watch::Sender::new(0),
            writer: sync::Mutex::new(()),
        }
    }
}

impl Current {
    /// Returns the view of the table that is in effect.
    pub fn load(&self) -> sync::Arc<view::View> {
        self.view.load_full()
    }

    /// Returns a receiver that is notified of each change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Replaces parts of the table. Parts that are not newer than those in effect are ignored.
    ///
    /// Returns whether a part was replaced.
    pub fn advance(
        &self,
        global: Option<sync::Arc<table::Global>>,
        locals: Vec<sync::Arc<table::Local>>,
    ) -> bool {
        let _guard = self
            .writer
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        let mut table = self.load().table.clone();
        let mut changed = false;
        if let Some(global) = global
            && global.version > table.global.version
        {
            table.global = global;
            changed = true;
        }
        for local in locals {
            let known = table.locals.get(&local.domain);
            let newer = known.is_none_or(|known| local.version > known.version);
            if newer {
                table.locals.insert(local.domain.clone(), local);
                changed = true;
            }
        }
        if changed {
            self.view.store(sync::Arc::new(view::View::new(table)));
            self.changes.send_modify(|count| *count += 1);
        }
        changed
    }

    /// Returns the versions of the parts in effect.
    pub fn versions(&self) -> Versions {
        let view = self.load();
        let locals = view.table.locals.iter();
        Versions {
            global: view.table.global.version,
            locals: locals
                .map(|(name, local)| (name.clone(), local.version))
                .collect(),
        }
    }
}

/// Versions of the parts of a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Versions {
    /// Version of the global part.
    pub global: id::Version,
    /// Versions of the domains' parts.
    pub locals: indexmap::IndexMap<id::Domain, id::Version>,
}
