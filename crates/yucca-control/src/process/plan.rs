//! What the leaders of the logs decide, and how they propose it.

use std::sync;
use std::time;

use futures_util::future;
use indexmap::IndexMap;
use yucca_log::entry;
use yucca_own::{domain, global};
use yucca_wire::{id, table};

use crate::machine;
use crate::message;
use crate::mutex::lock;
use crate::process::core::Core;
use crate::process::hosted;

/// How often a domain's leader is heard by the leader of the global log, at least.
const UPWARD: time::Duration = time::Duration::from_secs(1);

/// How long the leader of the global log may take to answer a domain's leader.
const UPWARD_PATIENCE: time::Duration = time::Duration::from_secs(1);

/// How long planning waits for the commit of what it proposed.
const COMMIT_PATIENCE: time::Duration = time::Duration::from_secs(2);

/// Plans for the global log while this host leads it.
pub(super) async fn run_global(core: sync::Arc<Core>) {
    let mut led = None;
    let mut ticks = tokio::time::interval(core.settings.timing.plan.0);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(hosted) = core.global() else {
            continue;
        };
        let status = hosted.replica.status();
        let leads = status.leads.then_some(status.term);
        // What was seen in an earlier term does not count: another host may have led meanwhile.
        if leads.is_some() && leads != led {
            *lock(&hosted.evidence) = global::Evidence::new(core.now());
        }
        led = leads;
        if leads.is_some() {
            plan_global(&core, &hosted).await;
        }
    }
}

async fn plan_global(core: &Core, hosted: &hosted::Global) {
    let now = core.now();
    let commands = {
        let mut evidence = lock(&hosted.evidence);
        let machine = lock(&hosted.machine);
        evidence.observe(&machine.state, now);
        machine.state.plan(&evidence, now)
    };
    let proposals = commands
        .iter()
        .map(|c| hosted.replica.propose(machine::pack(c)));
    let all = future::join_all(proposals);
    // A leader that lost its quorum learns so by its own clock, and then plans no more.
    tokio::time::timeout(COMMIT_PATIENCE, all).await.ok();
}

/// Plans for the domains' logs that this host leads.
pub(super) async fn run_domains(core: sync::Arc<Core>) {
    let mut led: IndexMap<id::Domain, Led> = IndexMap::new();
    let mut ticks = tokio::time::interval(core.settings.timing.plan.0);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.urgent.notified() => {}
        }
        for hosted in core.domains() {
            let status = hosted.replica.status();
            if !status.leads {
                led.swap_remove(&hosted.domain);
                continue;
            }
            // What was heard in an earlier term does not count: another host may have led
            // meanwhile and given leases that this one does not know of.
            let known = led.get(&hosted.domain).map(|led| led.term);
            if known != Some(status.term) {
                *lock(&hosted.evidence) = domain::Evidence::new(core.now());
                lock(&hosted.last_reports).clear();
                led.insert(hosted.domain.clone(), Led::new(status.term));
            }
            if let Some(led) = led.get_mut(&hosted.domain) {
                plan_domain(&core, &hosted, led).await;
            }
        }
    }
}

/// What a leader of a domain's log did.
#[derive(Debug)]
struct Led {
    /// The term in which it leads.
    term: entry::Term,
    /// When the global log's leader was last told of the domain.
    told: Option<time::Duration>,
    /// What it was told.
    commands: Vec<global::Command>,
}

impl Led {
    fn new(term: entry::Term) -> Self {
        Self {
            term,
            told: None,
            commands: Vec::new(),
        }
    }
}

async fn plan_domain(core: &sync::Arc<Core>, hosted: &sync::Arc<hosted::Domain>, led: &mut Led) {
    let now = core.now();
    let mut commands = {
        let mut evidence = lock(&hosted.evidence);
        let machine = lock(&hosted.machine);
        evidence.observe(&machine.state, now);
        machine.state.plan(&evidence, now)
    };
    let global = core.feed.global();
    let newer = lock(&hosted.machine).state.global_update(&global);
    if let Some(command) = newer {
        commands.insert(0, command);
    }
    let proposals = commands
        .iter()
        .map(|c| hosted.replica.propose(machine::pack(c)));
    let all = future::join_all(proposals);
    tokio::time::timeout(COMMIT_PATIENCE, all).await.ok();
    tell_upward(core, hosted, led);
}

/// Tells the leader of the global log what it should know of the domain.
fn tell_upward(core: &sync::Arc<Core>, hosted: &sync::Arc<hosted::Domain>, led: &mut Led) {
    let now = core.now();
    let commands = global_commands(&lock(&hosted.machine).state);
    if commands.is_empty() {
        return;
    }
    let due = led.told.is_none_or(|told| now >= told + UPWARD);
    if commands == led.commands && !due {
        return;
    }
    led.told = Some(now);
    led.commands.clone_from(&commands);
    let core = core.clone();
    let hosted = hosted.clone();
    tokio::spawn(async move {
        let all = commands.into_iter().map(|command| propose(&core, command));
        // Without an answer it is told again.
        future::join_all(all).await;
        renew(&core, &hosted).await;
    });
}

/// Returns nothing until a ticket has named the domain.
fn global_commands(state: &domain::State) -> Vec<global::Command> {
    if !state.global().domains.contains_key(state.domain()) {
        return Vec::new();
    }
    state.global_commands()
}

/// Renews the home lease, where a service moves when its domain is cut off.
async fn renew(core: &Core, hosted: &hosted::Domain) {
    let command = {
        let evidence = lock(&hosted.evidence);
        let machine = lock(&hosted.machine);
        let global = machine.state.global();
        let mut services = global.services.values();
        let leased = services.any(|service| matches!(service.on_cut, table::Cut::MoveAfter(_)));
        leased.then(|| machine.state.renewal(&evidence))
    };
    let Some(command) = command else {
        return;
    };
    let sent = core.now();
    if propose(core, command).await == Some(global::Reply::Done) {
        lock(&hosted.evidence).record_renewal(sent);
    }
}

async fn propose(core: &Core, command: global::Command) -> Option<global::Reply> {
    let request = message::Propose {
        log: message::Log::Global,
        entry: machine::pack(&command),
    };
    match core.ask_leader(request, UPWARD_PATIENCE).await? {
        message::ProposeReply::Applied(receipt) => rmp_serde::from_slice(&receipt.reply).ok(),
        _ => None,
    }
}
