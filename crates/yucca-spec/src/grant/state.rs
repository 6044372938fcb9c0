//! A state of the search: the domain's log, the hosts, the targets and the network.

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

/// The targets of the search.
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

/// Parses a name of the model; panics if it is invalid. All names are constants, so an invalid one
/// shows at the start of the search.
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
    /// The view of a host that has applied this state.
    pub view: View,
    version: u64,
}

/// The distinct states of the log that the search has reached, and the transitions between them.
#[derive(Debug, Default)]
pub(super) struct Logs {
    states: IndexMap<Vec<u8>, Log>,
    /// Index of the state after an action; `None` if the action has no effect.
    after: IndexMap<(usize, Action), Option<usize>>,
}

impl Logs {
    /// Returns the state of the log with this index.
    pub fn get(&self, index: usize) -> &Log {
        &self.states[index]
    }

    /// Returns the index of the state after an action, or `None` if the action has no effect.
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

/// The table as a host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct View {
    /// Host and token of each target's lane.
    pub lanes: [(Option<usize>, id::Token); 2],
    /// Host of each target's standby.
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

/// A host. It runs the lanes that its own view of the table assigns to it, even if that view is out
/// of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Host {
    pub view: View,
    /// Whether it has a lease.
    pub leased: bool,
    /// A request that was checked and has not arrived yet.
    pub sending: Option<Send>,
    /// Newest grant that it released.
    pub released: id::Token,
    /// Newest lane of each target that it ended.
    pub ended_lanes: [id::Token; 2],
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
    /// Highest token of a lane that it has received.
    pub fence: id::Token,
    /// Grant of the shard that it holds, if any.
    pub granted: Option<id::Token>,
    /// Whether it works on a request for the shard.
    pub working: bool,
    pub incarnation: u64,
}

/// Number of steps of each bounded kind so far.
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
    /// Index of the log's state.
    pub(super) log: usize,
    pub(super) hosts: [Host; 2],
    pub(super) targets: [Target; 2],
    pub(super) network: Vec<Action>,
    pub(super) used: Used,
    /// Whether the token of the shard fell, or did not rise with a new owner.
    pub(super) token_not_raised: bool,
    /// The step that led to this state; not compared.
    pub(super) step: Step,
}

/// A step of the search.
#[derive(Debug, Clone, Copy)]
pub(super) enum Step {
    /// The initial state.
    Start,
    /// A command is applied to the log.
    Log(Action),
    /// A step of a host, by its index.
    Host(usize, &'static str),
    /// A step of a target, by its index.
    Target(usize, &'static str),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start => f.write_str("start"),
            Self::Log(action) => write!(f, "applied: {action:?}"),
            Self::Host(host, step) => write!(f, "{} {step}", HOSTS[*host]),
            Self::Target(target, step) => write!(f, "{} {step}", TARGETS[*target]),
        }
    }
}

impl State {
    /// Returns the initial state: the first target owns the shard, and the first host has both
    /// lanes.
    pub(super) fn start(logs: &mut Logs) -> Self {
        let log = first_log(logs);
        let host = Host {
            view: logs.get(log).view,
            leased: true,
            sending: None,
            released: id::Token::default(),
            ended_lanes: [id::Token::default(); 2],
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
            token_not_raised: false,
            step: Step::Start,
        }
    }

    /// Returns whether the second target works on a request for the shard.
    pub(super) fn is_moved(&self) -> bool {
        self.targets[1].working
    }

    /// Returns whether an invariant is violated: both targets work on requests for the shard, or
    /// the token of its grant did not rise.
    pub(super) fn is_violation(&self) -> bool {
        self.token_not_raised || self.targets.iter().all(|target| target.working)
    }

    pub(super) fn label(&self) -> String {
        self.step.to_string()
    }

    fn key(&self) -> impl Eq + hash::Hash + '_ {
        let parts = (self.log, &self.hosts, &self.targets);
        (parts, &self.network, self.used, self.token_not_raised)
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.log == other.log
            && self.hosts == other.hosts
            && self.targets == other.targets
            && self.network == other.network
            && self.used == other.used
            && self.token_not_raised == other.token_not_raised
    }
}

impl Eq for State {}

impl hash::Hash for State {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        hash::Hash::hash(&self.key(), state);
    }
}

/// Builds the initial state of the log by applying commands.
fn first_log(logs: &mut Logs) -> usize {
    let mut state = domain::State::new(name("d"));
    state.apply(id::Version(1), &domain::Command::Global(global_table()));
    let mut log = logs.add(state, 1);
    let mut apply = |action: Action| {
        if let Some(after) = logs.after(log, action) {
            log = after;
        }
    };
    for host in 0..HOSTS.len() {
        apply(Action::HostUp(host));
    }
    for target in 0..TARGETS.len() {
        let incarnation = 1;
        apply(Action::Announce {
            target,
            incarnation,
        });
        apply(Action::Lane(target, 0));
        apply(Action::Standby(target, 1));
    }
    apply(Action::Own(0));
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
