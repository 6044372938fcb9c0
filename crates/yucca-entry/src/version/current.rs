//! The version in force at this host.

use std::sync;

use arc_swap::ArcSwap;
use tokio::sync::watch;
use yucca_wire::id;
use yucca_wire::table;

use crate::version::view;

/// The version in force at this host; it only rises.
pub struct Current {
    view: ArcSwap<view::View>,
    changes: watch::Sender<u64>,
    // Serialises writers, so that no slower one puts back an older part.
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
    /// Returns the view in force.
    pub fn load(&self) -> sync::Arc<view::View> {
        self.view.load_full()
    }

    /// Returns a receiver that wakes at each change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Takes in parts of the table; a part that is not newer than what is in force is passed over.
    ///
    /// Returns whether anything changed.
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

    /// Returns the versions in force.
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

/// The versions of a table's parts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Versions {
    /// The global part's.
    pub global: id::Version,
    /// The domains' parts'.
    pub locals: indexmap::IndexMap<id::Domain, id::Version>,
}
