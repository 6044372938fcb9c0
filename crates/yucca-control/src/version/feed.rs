//! The newest table that this process knows, and updates from older versions to it.

use std::sync;
use std::time;

use indexmap::IndexMap;
use tokio::sync::watch;
use yucca_own::delta;
use yucca_wire::{id, report, table};

/// Number of versions of each part that are retained to compute deltas.
const RETAINED_VERSIONS: usize = 32;

/// The newest known parts of the table. Versions only increase, in whatever order parts arrive.
#[derive(Debug)]
pub struct Feed {
    parts: sync::Mutex<Parts>,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct Parts {
    global: delta::History<table::Global>,
    locals: IndexMap<id::Domain, delta::History<table::Local>>,
}

impl Default for Parts {
    fn default() -> Self {
        Self {
            global: delta::History::new(RETAINED_VERSIONS),
            locals: IndexMap::new(),
        }
    }
}

/// The versions of the parts that a process has.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Known {
    /// The global version.
    pub global: id::Version,
    /// The domain versions.
    pub locals: IndexMap<id::Domain, id::Version>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            parts: sync::Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl Feed {
    fn lock(&self) -> sync::MutexGuard<'_, Parts> {
        self.parts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Stores a global part if it is newer; returns whether it was.
    pub fn offer_global(&self, part: sync::Arc<table::Global>) -> bool {
        let newer = offer(&mut self.lock().global, part);
        self.notify(newer)
    }

    /// Stores a domain's part if it is newer; returns whether it was.
    pub fn offer_local(&self, part: sync::Arc<table::Local>) -> bool {
        let mut parts = self.lock();
        let domain = part.domain.clone();
        let history = parts.locals.entry(domain).or_insert_with(new_local);
        let newer = offer(history, part);
        drop(parts);
        self.notify(newer)
    }

    fn notify(&self, newer: bool) -> bool {
        if newer {
            self.changes.send_modify(|count| *count += 1);
        }
        newer
    }

    /// Applies an update of another process; returns whether any part was newer.
    pub fn merge(&self, update: report::Update) -> bool {
        let mut newer = false;
        let mut parts = self.lock();
        if let Some(change) = update.global {
            newer |= merge_part(&mut parts.global, change);
        }
        for change in update.locals {
            let domain = domain_of(&change).clone();
            let history = parts.locals.entry(domain).or_insert_with(new_local);
            newer |= merge_part(history, change);
        }
        drop(parts);
        self.notify(newer)
    }

    /// Returns the table.
    pub fn table(&self) -> table::Table {
        let parts = self.lock();
        let mut locals = IndexMap::new();
        for (domain, history) in &parts.locals {
            if let Some(part) = history.newest() {
                locals.insert(domain.clone(), part.clone());
            }
        }
        table::Table {
            global: parts.global.newest().cloned().unwrap_or_default(),
            locals,
        }
    }

    /// Returns the newest global part.
    pub fn global(&self) -> sync::Arc<table::Global> {
        self.lock().global.newest().cloned().unwrap_or_default()
    }

    /// Returns the newest part of a domain.
    pub fn local(&self, domain: &id::Domain) -> Option<sync::Arc<table::Local>> {
        self.lock().locals.get(domain)?.newest().cloned()
    }

    /// Returns the versions of the newest parts.
    pub fn known(&self) -> Known {
        let parts = self.lock();
        let versions = parts.locals.iter();
        Known {
            global: version(&parts.global),
            locals: versions
                .map(|(domain, history)| (domain.clone(), version(history)))
                .collect(),
        }
    }

    /// Returns the parts that are newer than the known versions.
    pub fn since(&self, known: &Known) -> report::Update {
        let parts = self.lock();
        let locals = parts.locals.iter().filter_map(|(domain, history)| {
            let version = known.locals.get(domain).copied().unwrap_or_default();
            history.since(version)
        });
        report::Update {
            global: parts.global.since(known.global),
            locals: locals.collect(),
            ..report::Update::default()
        }
    }

    /// Returns the parts that are newer as soon as there are any, or an empty update after
    /// `timeout`.
    pub async fn wait(&self, known: &Known, timeout: time::Duration) -> report::Update {
        let mut changes = self.changes.subscribe();
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            changes.mark_unchanged();
            let update = self.since(known);
            if update.global.is_some() || !update.locals.is_empty() {
                return update;
            }
            let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return update;
            }
        }
    }

    /// Returns a receiver that is notified of each newer part.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

fn merge_part<T: delta::Part>(history: &mut delta::History<T>, change: report::Change<T>) -> bool {
    let (report::Change::Snapshot(part) | report::Change::Delta { changed: part, .. }) = &change;
    if part.version() <= version(history) {
        // The part arrived from another process meanwhile.
        return false;
    }
    let held = history.newest().cloned();
    match delta::apply(held.as_deref(), change) {
        Ok(part) => offer(history, sync::Arc::new(part)),
        Err(error) => {
            // The next poll names the version that is held here and gets a matching update.
            metrics::counter!("yucca_control_deltas_refused_total").increment(1);
            log::debug!("{error}");
            false
        }
    }
}

/// Stores a part if it is newer; returns whether it was.
///
/// Version 0 means that there is no part, so no delta is computed from it.
fn offer<T: delta::Part>(history: &mut delta::History<T>, part: sync::Arc<T>) -> bool {
    let newer = part.version() > version(history);
    if newer {
        history.push(part);
    }
    newer
}

fn version<T: delta::Part>(history: &delta::History<T>) -> id::Version {
    history
        .newest()
        .map_or(id::Version(0), |part| part.version())
}

fn new_local() -> delta::History<table::Local> {
    delta::History::new(RETAINED_VERSIONS)
}

fn domain_of(change: &report::Change<table::Local>) -> &id::Domain {
    match change {
        report::Change::Snapshot(part) => &part.domain,
        report::Change::Delta { changed, .. } => &changed.domain,
    }
}
