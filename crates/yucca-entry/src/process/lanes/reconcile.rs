//! Reconciles the lanes of this host with the current table version.

use std::sync;

use indexmap::IndexMap;
use yucca_lane::lane;
use yucca_lane::owners;
use yucca_wire::id;
use yucca_wire::table;

use crate::process::lanes::grants;
use crate::process::lanes::runtime;
use crate::process::lanes::standbys;
use crate::process::shared;
use crate::version::view;

/// Opens, configures, hands over and closes the lanes of this host according to the current table
/// version.
///
/// `earlier` is the table that was in effect before.
pub fn reconcile(shared: &sync::Arc<shared::Shared>, earlier: &table::Table) {
    let view = shared.current.load();
    let Some(local) = view.table.locals.get(&shared.settings.domain) else {
        return;
    };
    let own_targets: IndexMap<&id::Target, &table::Target> = local
        .targets
        .iter()
        .filter(|(_, target)| target.lane.as_ref() == Some(&shared.settings.host))
        .collect();
    close_moved_lanes(shared, local, &own_targets);
    for (name, target) in &own_targets {
        open_or_configure(shared, &view, earlier, name, target);
    }
    update_ownership(shared, &view, local, earlier);
    let exists = |target: &id::Target| view.target(target).is_some();
    shared.loads.retain(exists);
    shared.lanes.standbys.retain(exists);
}

fn close_moved_lanes(
    shared: &sync::Arc<shared::Shared>,
    local: &table::Local,
    own_targets: &IndexMap<&id::Target, &table::Target>,
) {
    for runtime in shared.lanes.all() {
        if own_targets.contains_key(runtime.target()) {
            continue;
        }
        let next = local.targets.get(runtime.target());
        // While the lane moves, the table states no host for it; the standby will be the next one.
        let to = next.and_then(|target| target.lane.clone().or_else(|| target.standby.clone()));
        match to {
            Some(to) => runtime.hand_over(shared, to),
            None if runtime.is_idle() => shared.lanes.close(&runtime),
            None => {}
        }
    }
}

fn open_or_configure(
    shared: &sync::Arc<shared::Shared>,
    view: &view::View,
    earlier: &table::Table,
    name: &id::Target,
    target: &table::Target,
) {
    let Some(service) = view.table.global.services.get(&target.service) else {
        return;
    };
    let hosts = view.table.global.domains.get(&shared.settings.domain);
    let single_host = hosts.is_none_or(|domain| domain.hosts.len() <= 1);
    let config = config(name, target, service, single_host);
    let drained = view.table.global.drains.get(&target.service);
    let drain = target.state != table::State::Serving
        || drained.is_some_and(|drained| drained.contains(name));
    let existing = shared.lanes.get(name);
    if let Some(runtime) = &existing
        && runtime.token() == target.token
        && runtime.pool.address() == target.address
    {
        runtime.configure(shared, config, drain);
        return;
    }
    let earlier = earlier_lane(earlier, &shared.settings.domain, name);
    open(
        shared,
        Opening {
            name,
            target,
            service,
            earlier,
        },
        config,
        existing,
    );
}

fn config(
    name: &id::Target,
    target: &table::Target,
    service: &table::Service,
    single_host: bool,
) -> lane::Config {
    lane::Config {
        target: name.clone(),
        token: target.token,
        slots: target.slots,
        limits: service.limits.clone(),
        retry: service.retry.clone(),
        standby: target.standby.clone(),
        single_host,
        warm: target.warm,
        ledger_window: standbys::LEDGER_WINDOW,
        ledger_entries: standbys::LEDGER_ENTRIES,
        ledger_gap: false,
        keyed: matches!(service.kind, table::Kind::Keyed { .. }),
        stops_on_close: true,
        lease: None,
        seed: target.token.version,
    }
}

/// Lane to open on this host.
struct Opening<'a> {
    name: &'a id::Target,
    target: &'a table::Target,
    service: &'a table::Service,
    earlier: Option<id::Token>,
}

/// Returns the token of the lane that a target had in an earlier table.
fn earlier_lane(
    earlier: &table::Table,
    domain: &id::Domain,
    name: &id::Target,
) -> Option<id::Token> {
    let target = earlier.locals.get(domain)?.targets.get(name)?;
    target.lane.as_ref().map(|_| target.token)
}

fn open(
    shared: &sync::Arc<shared::Shared>,
    opening: Opening<'_>,
    config: lane::Config,
    existing: Option<sync::Arc<runtime::Runtime>>,
) {
    let Opening {
        name,
        target,
        service,
        earlier,
    } = opening;
    let shards = match &service.kind {
        table::Kind::Keyed { shards, .. } => Some(*shards),
        table::Kind::Pool => None,
    };
    let config = lane::Config {
        ledger_gap: earlier.is_some(),
        lease: Some(shared.lanes.lease(&target.service)),
        ..config
    };
    let lane = lane::Lane::new(config.clone(), shared.now());
    let runtime = sync::Arc::new(runtime::Runtime::new(name, target, shards, lane, config));
    let takeover = match existing {
        Some(existing) => {
            existing.grants.close();
            Some(existing.takeover(shared.now()))
        }
        None => {
            earlier.and_then(|token| shared.lanes.standbys.take_over(name, token, shared.now()))
        }
    };
    if let Some(takeover) = takeover {
        runtime.step(shared, lane::Input::TakeOver(takeover));
    }
    shared
        .lanes
        .lock()
        .insert(name.clone(), sync::Arc::clone(&runtime));
    tokio::spawn(grants::run_worker(
        sync::Arc::clone(shared),
        sync::Arc::clone(&runtime),
    ));
    let warming = sync::Arc::clone(&runtime);
    tokio::spawn(async move { warming.pool.warm().await });
    runtime.step(shared, lane::Input::Tick);
    log::info!(
        "host {} holds the lane of {name} under token {}",
        shared.settings.host,
        target.token
    );
}

/// Updates the shards and pins that the target of each lane owns.
fn update_ownership(
    shared: &sync::Arc<shared::Shared>,
    view: &view::View,
    local: &table::Local,
    earlier: &table::Table,
) {
    let mut desired: IndexMap<id::Target, IndexMap<owners::Scope, grants::Desired>> = shared
        .lanes
        .all()
        .iter()
        .map(|runtime| (runtime.target().clone(), IndexMap::new()))
        .collect();
    for (service, owned) in &local.owners {
        for (shard, owner) in owned.iter() {
            let Some(scopes) = desired.get_mut(&owner.target) else {
                continue;
            };
            let before = earlier_owner(earlier, service, *shard);
            let previous = before.filter(|before| **before != owner.target);
            let desired = grants::Desired {
                owner: owner.clone(),
                previous_owner: previous.cloned(),
            };
            scopes.insert(owners::Scope::Shard(*shard), desired);
        }
    }
    for (service, pins) in &local.pins {
        let Some(table::Service {
            kind: table::Kind::Keyed { shards, .. },
            ..
        }) = view.table.global.services.get(service)
        else {
            continue;
        };
        for (key, owner) in pins {
            if let Some(scopes) = desired.get_mut(&owner.target) {
                let scope = owners::Scope::Pin {
                    shard: yucca_wire::key::shard(key, *shards),
                    key: key.clone(),
                };
                let desired = grants::Desired {
                    owner: owner.clone(),
                    previous_owner: None,
                };
                scopes.insert(scope, desired);
            }
        }
    }
    for runtime in shared.lanes.all() {
        if let Some(scopes) = desired.get(runtime.target()) {
            for change in runtime.grants.reconcile(scopes) {
                runtime.step(shared, lane::Input::Owners(change));
            }
        }
    }
}

fn earlier_owner<'a>(
    table: &'a table::Table,
    service: &id::Service,
    shard: id::Shard,
) -> Option<&'a id::Target> {
    let mut locals = table.locals.values();
    locals.find_map(|local| Some(&local.owners.get(service)?.get(&shard)?.target))
}
