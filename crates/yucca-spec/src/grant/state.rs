//! The state of the search: the domain's log, its hosts, its targets and the network.

use std::fmt;
use std::hash;
use std::str::FromStr;
use std::sync;

use indexmap::IndexMap;
use yucca_own::domain;
use yucca_own::global;
use yucca_own::ticket;
use yucca_wire::id;
use yucca_wire::table;

use super::action::Action;

/// The targets and hosts of the search.
pub(super) const TARGETS: [&str; 2] = ["t0", "t1"];
/// The hosts of the search.
pub(super) const HOSTS: [&str; 2] = ["h0", "h1"];
/// The only shard.
pub(super) const SHARD: id::Shard = id::Shard(0);

/// The ticket that creates the service and the domain.
const TICKET: &str = r#"{"number": 1,
    "services": {"s": {"prefix": "/s", "deadline": "1s",
        "kind": {"keyed": {"key": {"segment": 0}, "shards": 1}}}},
    "domains": {"d": {"region": "r", "hosts": {
        "h0": {"peer": "127.0.0.1:1", "control": "127.0.0.1:2"},
        "h1": {"peer": "127.0.0.2:1", "control": "127.0.0.2:2"}}}}}"#;

/// Reads a name that is known to be valid; any other one ends the search at its start.
pub(super) fn name<T: FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Display,
{
    match text.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("{error}"),
    }
}

/// A state of the domain's log.
#[derive(Debug)]
pub(super) struct Log {
    pub state: domain::State,
    /// What a host sees that takes it in.
    pub view: View,
    version: u64,
}

/// All states of the log that the search met, each once, and where commands lead from them.
#[derive(Debug, Default)]
pub(super) struct Logs {
    states: IndexMap<Vec<u8>, Log>,
    after: IndexMap<(usize, Action), Option<usize>>,
}

impl Logs {
    /// Returns the log with this index.
    pub fn get(&self, index: usize) -> &Log {
        &self.states[index]
    }

    /// Returns the log after an action, or nothing where it has no effect.
    pub fn after(&mut self, index: usize, action: Action) -> Option<usize> {
        if let Some(known) = self.after.get(&(index, action)) {
            return *known;
        }
        let log = &self.states[index];
        let mut state = log.state.clone();
        let version = log.version + 1;
        let reply = state.apply(id::Version(version), &action.command(&log.view));
        let after = (reply == domain::Reply::Done).then(|| self.add(state, version));
        self.after.insert((index, action), after);
        after
    }

    fn add(&mut self, state: domain::State, version: u64) -> usize {
        let encoded = rmp_serde::to_vec(&state).unwrap_or_default();
        let log = Log {
            view: View::of(&state.table()),
            state,
            version,
        };
        self.states.insert_full(encoded, log).0
    }
}

/// What a host knows of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct View {
    /// The host of each target's lane, and the token of the lane.
    pub lanes: [(Option<usize>, id::Token); 2],
    /// The host of each target's standby.
    pub standbys: [Option<usize>; 2],
    /// The owner of the shard.
    pub owner: Option<Owner>,
}

/// The owner of the shard as a host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Owner {
    pub target: usize,
    pub token: id::Token,
    pub moving: bool,
}

impl View {
    pub fn of(table: &table::Local) -> Self {
        let lane = |target: &str| {
            let found = table.targets.get(&name::<id::Target>(target));
            let host = found.and_then(|found| found.lane.as_ref());
            let host = host.and_then(|host| index(&HOSTS, host.as_str()));
            (
                host,
                found.map_or(id::Token::default(), |found| found.token),
            )
        };
        let standby = |target: &str| {
            let found = table.targets.get(&name::<id::Target>(target))?;
            index(&HOSTS, found.standby.as_ref()?.as_str())
        };
        let owners = table.owners.get(&name::<id::Service>("s"));
        let owner = owners.and_then(|owners| owners.get(&SHARD));
        let owner = owner.and_then(|owner| {
            Some(Owner {
                target: index(&TARGETS, owner.target.as_str())?,
                token: owner.token,
                moving: owner.moving,
            })
        });
        Self {
            lanes: TARGETS.map(lane),
            standbys: TARGETS.map(standby),
            owner,
        }
    }
}

fn index(names: &[&str], name: &str) -> Option<usize> {
    names.iter().position(|other| *other == name)
}

/// A host and the lanes that it believes to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Host {
    pub view: View,
    /// Its lease lasts.
    pub leased: bool,
    /// A send that was checked and has not arrived.
    pub sending: Option<Send>,
    /// The newest grant that it gave back.
    pub released: id::Token,
    /// The newest lane of each target that it ended.
    pub left: [id::Token; 2],
}

/// A request on its way to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Send {
    pub target: usize,
    /// The token of the lane.
    pub lane: id::Token,
    /// The token of the grant.
    pub grant: id::Token,
}

/// A target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Target {
    /// The highest token of a lane that it saw.
    pub fence: id::Token,
    /// The grant of the shard that it holds.
    pub granted: Option<id::Token>,
    /// Whether it works on a request of the shard.
    pub working: bool,
    pub incarnation: u64,
}

/// How often each kind of step was taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Used {
    pub moves: u8,
    pub expiries: u8,
    pub restarts: u8,
    pub handovers: u8,
}

/// A state of the search.
#[derive(Debug, Clone)]
pub struct State {
    /// The index of the log's state.
    pub(super) log: usize,
    pub(super) hosts: [Host; 2],
    pub(super) targets: [Target; 2],
    pub(super) network: Vec<Action>,
    pub(super) used: Used,
    /// A token of the shard did not rise.
    pub(super) fell: bool,
    /// The step that led here; states are compared without it.
    pub(super) step: Step,
}

/// A step of the search.
#[derive(Debug, Clone, Copy)]
pub(super) enum Step {
    /// Nothing yet.
    Start,
    /// A command took effect.
    Log(Action),
    /// A host did something.
    Host(usize, &'static str),
    /// A target did something.
    Target(usize, &'static str),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start => f.write_str("start"),
            Self::Log(action) => write!(f, "applied: {action:?}"),
            Self::Host(host, what) => write!(f, "{} {what}", HOSTS[*host]),
            Self::Target(target, what) => write!(f, "{} {what}", TARGETS[*target]),
        }
    }
}

impl State {
    /// Returns the state from which the search starts: the first target owns the shard, and the
    /// first host holds both lanes.
    pub(super) fn start(logs: &mut Logs) -> Self {
        let log = first_log(logs);
        let host = Host {
            view: logs.get(log).view,
            leased: true,
            sending: None,
            released: id::Token::default(),
            left: [id::Token::default(); 2],
        };
        let target = Target {
            fence: id::Token::default(),
            granted: None,
            working: false,
            incarnation: 1,
        };
        Self {
            log,
            hosts: [host; 2],
            targets: [target; 2],
            network: Vec::new(),
            used: Used::default(),
            fell: false,
            step: Step::Start,
        }
    }

    /// Tells whether the second target works on a request of the shard.
    pub(super) fn is_moved(&self) -> bool {
        self.targets[1].working
    }

    /// Tells whether an invariant is broken: two targets work on requests of one shard, or the
    /// token of its grant did not rise.
    pub(super) fn is_broken(&self) -> bool {
        self.fell || self.targets.iter().all(|target| target.working)
    }

    pub(super) fn label(&self) -> String {
        self.step.to_string()
    }

    fn key(&self) -> impl Eq + hash::Hash + '_ {
        let parts = (self.log, &self.hosts, &self.targets);
        (parts, &self.network, self.used, self.fell)
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.log == other.log
            && self.hosts == other.hosts
            && self.targets == other.targets
            && self.network == other.network
            && self.used == other.used
            && self.fell == other.fell
    }
}

impl Eq for State {}

impl hash::Hash for State {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        hash::Hash::hash(&self.key(), state);
    }
}

/// Builds the first state of the log by commands.
fn first_log(logs: &mut Logs) -> usize {
    let mut state = domain::State::new(name("d"));
    state.apply(id::Version(1), &domain::Command::Global(global_table()));
    let mut log = logs.add(state, 1);
    let mut take = |action: Action| {
        if let Some(after) = logs.after(log, action) {
            log = after;
        }
    };
    for host in 0..HOSTS.len() {
        take(Action::HostUp(host));
    }
    for target in 0..TARGETS.len() {
        let incarnation = 1;
        take(Action::Announce {
            target,
            incarnation,
        });
        take(Action::Lane(target, 0));
        take(Action::Standby(target, 1));
    }
    take(Action::Own(0));
    log
}

fn global_table() -> sync::Arc<table::Global> {
    let mut state = global::State::default();
    let checked = ticket::check(TICKET.as_bytes(), ticket::Format::Json);
    if let Ok(ticket) = checked {
        let submit = global::Command::Submit {
            ticket: Box::new(ticket),
            sender: "search".into(),
        };
        state.apply(id::Version(1), &submit);
    }
    let homes = vec![name::<id::Domain>("d")];
    let assign = global::Command::Assign {
        service: name("s"),
        base: id::Version(1),
        homes: homes.into(),
        cause: global::Cause::Unowned,
    };
    state.apply(id::Version(2), &assign);
    state.table()
}
