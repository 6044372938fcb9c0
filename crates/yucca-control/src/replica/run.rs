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

/// Minimum time between two checks of the timers.
const MIN_SLEEP: time::Duration = time::Duration::from_millis(1);

/// Delay before storage that failed is opened again.
const REOPEN_DELAY: time::Duration = time::Duration::from_millis(250);

/// Time after the start of a replica during which, if it is not a member, it asks to join at the
/// interval that the core of the log sets.
const FAST_JOIN_PERIOD: time::Duration = time::Duration::from_secs(5);

/// Interval at which a replica that is not a member asks to join after [`FAST_JOIN_PERIOD`].
const JOIN_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum number of requests handled before timers and storage are checked again.
const MAX_BURST: usize = 256;

/// An append in progress on a blocking thread.
pub(super) type Writing = task::JoinHandle<Written>;

/// The result of an append.
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
    /// The storage; `None` while an append is in progress.
    pub store: Option<Box<dyn log_storage::Store>>,
    pub writing: Option<Writing>,
    /// Whether appends block and run on a thread of their own.
    pub blocking: bool,
    pub failed: Option<log_storage::Error>,
    pub last_request_id: u64,
    pub proposals: IndexMap<u64, oneshot::Sender<Result<message::Receipt, Error>>>,
    pub reads: IndexMap<u64, oneshot::Sender<Result<id::Version, Error>>>,
    /// The replies of the state machine in this step, by version.
    pub replies: IndexMap<id::Version, Bytes>,
    /// Replicas that are not members and asked to join, with the time of the last request.
    pub joining: IndexMap<membership::Replica, time::Duration>,
    /// Members that are about to stop, with the time of the last report.
    pub leaving: IndexMap<membership::Replica, time::Duration>,
    /// Whether this replica, which is about to stop, is no longer a voter.
    pub left: bool,
    /// When the membership is checked next.
    pub maintenance_at: time::Duration,
    /// When the core last received a tick.
    pub last_tick: time::Duration,
    /// Number of voters whose loss this replica, as the leader, last reported as tolerated.
    pub tolerated: Option<usize>,
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
            // A previous process of this host may still be closing the folder.
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
            blocking: opened.blocking,
            failed,
            last_request_id: 0,
            proposals: IndexMap::new(),
            reads: IndexMap::new(),
            replies: IndexMap::new(),
            joining: IndexMap::new(),
            leaving: IndexMap::new(),
            left: false,
            maintenance_at: time::Duration::ZERO,
            last_tick: time::Duration::ZERO,
            tolerated: None,
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
            let due = self.next_tick().min(self.maintenance_at);
            let wake = self.start + due.max(self.now() + MIN_SLEEP);
            tokio::select! {
                biased;
                written = written(&mut self.writing) => self.finish(written),
                request = self.requests.recv() => match request {
                    Some(request) => self.handle_burst(request),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => self.wake(),
            }
        }
    }

    /// Returns the time of the next tick.
    ///
    /// A spare replica may remain a non-member for a long time, so it asks to join less often than
    /// the core would.
    fn next_tick(&self) -> time::Duration {
        let due = self.node.next_wake();
        let member = self.node.members().contains(self.node.replica());
        if member || due < FAST_JOIN_PERIOD {
            return due;
        }
        due.max(self.last_tick + JOIN_INTERVAL)
    }

    fn wake(&mut self) {
        let now = self.now();
        if now >= self.next_tick() {
            self.last_tick = now;
            self.step(node::Input::Tick);
        }
        if now >= self.maintenance_at {
            self.maintain_members();
        }
    }

    fn handle_burst(&mut self, first: Request) {
        self.handle(first);
        for _ in 1..MAX_BURST {
            match self.requests.try_recv() {
                Ok(request) => self.handle(request),
                Err(_) => break,
            }
        }
    }

    fn handle(&mut self, request: Request) {
        match request {
            Request::Message { from, message } => {
                self.step(node::Input::Message { from, message });
            }
            Request::Propose { entry, answer } => {
                let request_id = self.next_request_id();
                self.proposals.insert(request_id, answer);
                self.step(node::Input::Propose { request_id, entry });
            }
            Request::Read { answer } => {
                let request_id = self.next_request_id();
                self.reads.insert(request_id, answer);
                self.step(node::Input::Read { request_id });
            }
            Request::Transfer => self.step(node::Input::Transfer { to: None }),
            Request::Leave => self.step(node::Input::Leave),
        }
    }

    pub fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    fn finish(&mut self, written: Result<Written, task::JoinError>) {
        self.writing = None;
        match written {
            Ok(written) => {
                self.store = Some(written.store);
                self.handle_written(written.sequence, written.result);
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

    pub fn handle_written(&mut self, sequence: u64, result: Result<(), log_storage::Error>) {
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

    /// Restarts the replica from its storage after a failure of the storage.
    async fn reopen(&mut self, mut error: log_storage::Error) {
        self.store = None;
        self.fail_pending();
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
            tokio::time::sleep(REOPEN_DELAY).await;
            match self.parts.opener.open() {
                Ok(opened) => return self.restart(opened),
                Err(again) => error = again,
            }
        }
    }

    fn fail_pending(&mut self) {
        for (_, answer) in self.proposals.drain(..) {
            answer.send(Err(Error::Stopped)).ok();
        }
        for (_, answer) in self.reads.drain(..) {
            answer.send(Err(Error::Stopped)).ok();
        }
    }

    fn restart(&mut self, opened: storage::Opened) {
        log::info!("log={} replica restarts", self.parts.log);
        self.machine().clear();
        self.store = Some(opened.store);
        self.node = node::Node::new(self.parts.config.clone(), opened.recovered);
        self.start = tokio::time::Instant::now();
        self.maintenance_at = time::Duration::ZERO;
        self.last_tick = time::Duration::ZERO;
        self.joining.clear();
        self.leaving.clear();
        self.left = false;
        self.tolerated = None;
        self.step(node::Input::Tick);
    }

    pub fn machine(&self) -> sync::MutexGuard<'_, dyn crate::machine::Machine + 'static> {
        let machine = self.parts.machine.lock();
        machine.unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Publishes the status if it changed.
    pub fn publish_status(&mut self) {
        let node = &self.node;
        let status = Status {
            leader: node.leader_hint().cloned(),
            leads: node.role() == node::Role::Leader,
            term: node.term(),
            applied: node.applied(),
            commit: node.commit(),
            commit_current: node.is_commit_current(),
            members: node.members().clone(),
            member: node.members().contains(node.replica()),
            left: self.left,
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
