//! Plans changes of the logs that this host leads, and proposes them.

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

/// Maximum time between two contacts of a domain's leader with the leader of the global log.
const GLOBAL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Timeout of a command to the leader of the global log.
const GLOBAL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Maximum time that planning waits until its proposals are committed.
const COMMIT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Plans for the global log while this host leads it.
pub(super) async fn run_global(core: sync::Arc<Core>) {
    let mut led_term = None;
    let mut ticks = tokio::time::interval(core.settings.timing.plan.0);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(hosted) = core.global() else {
            continue;
        };
        let status = hosted.replica.status();
        let leads = status.leads.then_some(status.term);
        // Evidence of an earlier term is dropped: another host may have been the leader meanwhile.
        if leads.is_some() && leads != led_term {
            *lock(&hosted.evidence) = global::Evidence::new(core.now());
        }
        led_term = leads;
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
    // A leader that lost its quorum detects this by its own clock and stops planning.
    tokio::time::timeout(COMMIT_TIMEOUT, all).await.ok();
}

/// Plans for the logs of domains that this host leads.
pub(super) async fn run_domains(core: sync::Arc<Core>) {
    let mut led: IndexMap<id::Domain, Leadership> = IndexMap::new();
    let mut ticks = tokio::time::interval(core.settings.timing.plan.0);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.plan_now.notified() => {}
        }
        for hosted in core.domains() {
            let status = hosted.replica.status();
            if !status.leads {
                led.swap_remove(&hosted.domain);
                continue;
            }
            // Evidence of an earlier term is dropped: another host may have been the leader
            // meanwhile and granted leases that this one does not know of.
            let known = led.get(&hosted.domain).map(|leadership| leadership.term);
            if known != Some(status.term) {
                *lock(&hosted.evidence) = domain::Evidence::new(core.now());
                lock(&hosted.last_reports).clear();
                led.insert(hosted.domain.clone(), Leadership::new(status.term));
            }
            if let Some(leadership) = led.get_mut(&hosted.domain) {
                plan_domain(&core, &hosted, leadership).await;
            }
        }
    }
}

/// What this host did as the leader of a domain's log.
#[derive(Debug)]
struct Leadership {
    /// The term in which it is the leader.
    term: entry::Term,
    /// When commands were last sent to the leader of the global log.
    last_sent: Option<time::Duration>,
    /// The commands that were last sent.
    commands: Vec<global::Command>,
}

impl Leadership {
    fn new(term: entry::Term) -> Self {
        Self {
            term,
            last_sent: None,
            commands: Vec::new(),
        }
    }
}

async fn plan_domain(
    core: &sync::Arc<Core>,
    hosted: &sync::Arc<hosted::Domain>,
    leadership: &mut Leadership,
) {
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
    tokio::time::timeout(COMMIT_TIMEOUT, all).await.ok();
    send_global_commands(core, hosted, leadership);
}

/// Sends the commands of the domain to the leader of the global log, if they changed or are due.
fn send_global_commands(
    core: &sync::Arc<Core>,
    hosted: &sync::Arc<hosted::Domain>,
    leadership: &mut Leadership,
) {
    let now = core.now();
    let commands = global_commands(&lock(&hosted.machine).state);
    if commands.is_empty() {
        return;
    }
    let due = leadership
        .last_sent
        .is_none_or(|sent| now >= sent + GLOBAL_INTERVAL);
    if commands == leadership.commands && !due {
        return;
    }
    leadership.last_sent = Some(now);
    leadership.commands.clone_from(&commands);
    let core = core.clone();
    let hosted = hosted.clone();
    tokio::spawn(async move {
        let all = commands.into_iter().map(|command| propose(&core, command));
        // Commands without an answer are sent again after `GLOBAL_INTERVAL`.
        future::join_all(all).await;
        renew(&core, &hosted).await;
    });
}

/// Returns the commands of the domain for the global log; none until a ticket names the domain.
fn global_commands(state: &domain::State) -> Vec<global::Command> {
    if !state.global().domains.contains_key(state.domain()) {
        return Vec::new();
    }
    state.global_commands()
}

/// Renews the home lease of the domain if any service moves when its domain is cut off.
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
    match core.ask_leader(request, GLOBAL_TIMEOUT).await? {
        message::ProposeReply::Applied(receipt) => rmp_serde::from_slice(&receipt.reply).ok(),
        _ => None,
    }
}
