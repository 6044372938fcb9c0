//! The task of a replica.

use std::sync;
use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task;
use yucca_log::{membership, node, storage as log_storage};
use yucca_wire::id;

use crate::message;
use crate::replica::{Error, Parts, Request, Status, storage};

/// The shortest time between two looks at the timers.
const MIN_SLEEP: time::Duration = time::Duration::from_millis(1);

/// How long to wait before storage that failed is opened again.
const REOPEN_PAUSE: time::Duration = time::Duration::from_millis(250);

/// How long a replica that is no member asks often to become one.
const EAGER: time::Duration = time::Duration::from_secs(5);

/// How often a replica that is no member asks to become one after that.
const PATIENT: time::Duration = time::Duration::from_secs(1);

/// How many requests are taken before timers and storage are looked at again.
const BURST: usize = 256;

/// An append on its way to the disk.
pub(super) type Writing = task::JoinHandle<Written>;

/// What came of an append.
pub(super) struct Written {
    pub store: Box<dyn log_storage::Store>,
    pub sequence: u64,
    pub result: Result<(), log_storage::Error>,
}

/// The state of the task.
pub(super) struct Run {
    pub parts: Parts,
    pub node: node::Node,
    pub start: tokio::time::Instant,
    /// The storage; none while an append is on its way.
    pub store: Option<Box<dyn log_storage::Store>>,
    pub writing: Option<Writing>,
    pub slow: bool,
    pub failed: Option<log_storage::Error>,
    pub tickets: u64,
    pub proposals: IndexMap<u64, oneshot::Sender<Result<message::Receipt, Error>>>,
    pub reads: IndexMap<u64, oneshot::Sender<Result<id::Version, Error>>>,
    /// The answers of the state machine in this step, by version.
    pub replies: IndexMap<id::Version, Bytes>,
    /// Replicas that are no members and ask to join, and when they last did.
    pub joining: IndexMap<membership::Replica, time::Duration>,
    pub steward_at: time::Duration,
    /// When the core was last told that time has passed.
    pub ticked: time::Duration,
    /// When this replica became leader.
    pub leads_since: Option<time::Duration>,
    requests: mpsc::Receiver<Request>,
    status: watch::Sender<Status>,
}

impl Run {
    pub fn new(
        mut parts: Parts,
        requests: mpsc::Receiver<Request>,
        status: watch::Sender<Status>,
    ) -> Result<Self, log_storage::Error> {
        let mut failed = None;
        let opened = match parts.opener.open() {
            // An earlier life of this process may still be closing the folder.
            Err(error @ log_storage::Error::Locked { .. }) => {
                failed = Some(error);
                storage::Opened::none()
            }
            opened => opened?,
        };
        Ok(Self {
            node: node::Node::new(parts.config.clone(), opened.recovered),
            parts,
            start: tokio::time::Instant::now(),
            store: Some(opened.store),
            writing: None,
            slow: opened.slow,
            failed,
            tickets: 0,
            proposals: IndexMap::new(),
            reads: IndexMap::new(),
            replies: IndexMap::new(),
            joining: IndexMap::new(),
            steward_at: time::Duration::ZERO,
            ticked: time::Duration::ZERO,
            leads_since: None,
            requests,
            status,
        })
    }

    pub fn now(&self) -> time::Duration {
        self.start.elapsed()
    }

    pub async fn run(mut self) {
        if self.failed.is_none() {
            self.step(node::Input::Tick);
        }
        loop {
            if let Some(error) = self.failed.take() {
                self.reopen(error).await;
            }
            let due = self.next_tick().min(self.steward_at);
            let wake = self.start + due.max(self.now() + MIN_SLEEP);
            tokio::select! {
                biased;
                written = written(&mut self.writing) => self.finish(written),
                request = self.requests.recv() => match request {
                    Some(request) => self.take_burst(request),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => self.wake(),
            }
        }
    }

    /// A spare replica may wait for long, so it asks to join less often than the core would.
    fn next_tick(&self) -> time::Duration {
        let due = self.node.next_wake();
        let member = self.node.members().contains(self.node.replica());
        if member || due < EAGER {
            return due;
        }
        due.max(self.ticked + PATIENT)
    }

    fn wake(&mut self) {
        let now = self.now();
        if now >= self.next_tick() {
            self.ticked = now;
            self.step(node::Input::Tick);
        }
        if now >= self.steward_at {
            self.keep_members();
        }
    }

    fn take_burst(&mut self, first: Request) {
        self.take(first);
        for _ in 1..BURST {
            match self.requests.try_recv() {
                Ok(request) => self.take(request),
                Err(_) => break,
            }
        }
    }

    fn take(&mut self, request: Request) {
        match request {
            Request::Message { from, message } => {
                self.step(node::Input::Message { from, message });
            }
            Request::Propose { entry, answer } => {
                let ticket = self.next_ticket();
                self.proposals.insert(ticket, answer);
                self.step(node::Input::Propose { ticket, entry });
            }
            Request::Read { answer } => {
                let ticket = self.next_ticket();
                self.reads.insert(ticket, answer);
                self.step(node::Input::Read { ticket });
            }
            Request::Transfer => self.step(node::Input::Transfer { to: None }),
        }
    }

    pub fn next_ticket(&mut self) -> u64 {
        self.tickets += 1;
        self.tickets
    }

    fn finish(&mut self, written: Result<Written, task::JoinError>) {
        self.writing = None;
        match written {
            Ok(written) => {
                self.store = Some(written.store);
                self.note_written(written.sequence, written.result);
            }
            Err(error) => {
                self.failed = Some(log_storage::Error::Io {
                    path: "".into(),
                    action: "append",
                    reason: error.to_string(),
                });
            }
        }
    }

    pub fn note_written(&mut self, sequence: u64, result: Result<(), log_storage::Error>) {
        match result {
            Ok(()) => self.step(node::Input::Synced { upto: sequence }),
            Err(error @ log_storage::Error::Full { .. }) => {
                log::error!("log={} storage full: {error}", self.parts.log);
                metrics::counter!("yucca_control_storage_full_total").increment(1);
                self.step(node::Input::Full { sequence });
            }
            Err(error) => self.failed = Some(error),
        }
    }

    /// Starts the replica anew from its storage, whose last append failed.
    async fn reopen(&mut self, mut error: log_storage::Error) {
        self.store = None;
        self.abandon();
        loop {
            log::error!("log={} replica stopped: {error}", self.parts.log);
            metrics::counter!("yucca_control_storage_failures_total").increment(1);
            self.status.send_modify(|status| {
                *status = Status {
                    fault: Some(error.to_string()),
                    applied: status.applied,
                    ..Status::default()
                };
            });
            tokio::time::sleep(REOPEN_PAUSE).await;
            match self.parts.opener.open() {
                Ok(opened) => return self.restart(opened),
                Err(again) => error = again,
            }
        }
    }

    fn abandon(&mut self) {
        for (_, answer) in self.proposals.drain(..) {
            answer.send(Err(Error::Stopped)).ok();
        }
        for (_, answer) in self.reads.drain(..) {
            answer.send(Err(Error::Stopped)).ok();
        }
    }

    fn restart(&mut self, opened: storage::Opened) {
        log::info!("log={} replica starts anew", self.parts.log);
        self.machine().clear();
        self.store = Some(opened.store);
        self.node = node::Node::new(self.parts.config.clone(), opened.recovered);
        self.start = tokio::time::Instant::now();
        self.steward_at = time::Duration::ZERO;
        self.ticked = time::Duration::ZERO;
        self.joining.clear();
        self.leads_since = None;
        self.step(node::Input::Tick);
    }

    pub fn machine(&self) -> sync::MutexGuard<'_, dyn crate::machine::Machine + 'static> {
        let machine = self.parts.machine.lock();
        machine.unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Tells others what changed.
    pub fn tell(&mut self) {
        let node = &self.node;
        let status = Status {
            leader: node.leader().cloned(),
            leads: node.role() == node::Role::Leader,
            term: node.term(),
            applied: node.applied(),
            commit: node.commit(),
            commit_current: node.is_commit_current(),
            members: node.members().clone(),
            member: node.members().contains(node.replica()),
            fault: None,
        };
        self.status.send_if_modified(|known| {
            let changed = *known != status;
            *known = status;
            changed
        });
    }
}

async fn written(writing: &mut Option<Writing>) -> Result<Written, task::JoinError> {
    match writing {
        Some(writing) => writing.await,
        None => std::future::pending().await,
    }
}
