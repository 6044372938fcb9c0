//! A replica of a log: its timers, storage, messages and state machine.

mod maintenance;
mod output;
mod run;
pub mod storage;

use std::fmt;
use std::sync;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task;
use tokio::time;
use yucca_log::{entry, membership, message as log_message, node};
use yucca_wire::id;

use crate::directory;
use crate::machine;
use crate::message;
use crate::version::feed;

/// Maximum number of requests queued for a replica.
const QUEUE_REQUESTS: usize = 4096;

/// Interval at which a voter that is about to stop reports so to the leader.
const LEAVE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A state machine shared by its replica and the process.
pub type Shared = sync::Arc<sync::Mutex<dyn machine::Machine>>;

/// Sends the messages of a log to other hosts.
pub trait Transport: Send + Sync {
    /// Sends a message without waiting; it may be lost.
    fn send(&self, to: &id::Host, message: log_message::Message);
}

/// The parts of which a replica is made.
pub struct Parts {
    /// The log.
    pub log: message::Log,
    /// The configuration of the core of the log.
    pub config: node::Config,
    /// Opens the storage.
    pub opener: Box<dyn storage::Opener>,
    /// The state machine.
    pub machine: Shared,
    /// Sends messages to the other replicas.
    pub transport: sync::Arc<dyn Transport>,
    /// Receives new versions of the table.
    pub feed: sync::Arc<feed::Feed>,
    /// Returns the latest directory of hosts.
    pub hosts: directory::Hosts,
    /// The rule by which the membership is maintained.
    pub rule: Rule,
}

/// How the membership of a log is maintained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rule {
    /// Up to five voters, spread over the domains.
    Spread,
    /// Voters in this domain, and one fewer witness in other domains.
    Local(id::Domain),
}

/// The state of a log as its replica knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// The leader, if known. If this replica is not a member, it is the host that last said so of
    /// itself, which may be out of date.
    pub leader: Option<id::Host>,
    /// Whether this replica is the leader.
    pub leads: bool,
    /// The term.
    pub term: entry::Term,
    /// The newest version applied.
    pub applied: id::Version,
    /// The newest version known to be committed.
    pub commit: id::Version,
    /// Whether an entry of the leader's term is known to be committed. If so, `commit` covers all
    /// that was committed in earlier terms.
    pub commit_current: bool,
    /// The newest membership known.
    pub members: membership::Members,
    /// Whether this replica is a member.
    pub member: bool,
    /// Whether this replica, which is about to stop, is no longer a voter.
    pub left: bool,
    /// The storage error that stopped the replica, if any.
    pub fault: Option<String>,
}

/// Why a proposal or read failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The core of the log refused it.
    Refused(node::Refusal),
    /// The replica has stopped.
    Stopped,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => refusal.fmt(f),
            Self::Stopped => f.write_str("the replica has stopped; ask another control process"),
        }
    }
}

impl std::error::Error for Error {}

/// A request to the task of a replica.
enum Request {
    Message {
        from: id::Host,
        message: log_message::Message,
    },
    Propose {
        entry: Bytes,
        answer: oneshot::Sender<Result<message::Receipt, Error>>,
    },
    Read {
        answer: oneshot::Sender<Result<id::Version, Error>>,
    },
    Transfer,
    Leave,
}

/// A running replica.
pub struct Replica {
    log: message::Log,
    rule: Rule,
    group: log_message::Group,
    requests: mpsc::Sender<Request>,
    status: watch::Receiver<Status>,
    task: task::AbortHandle,
}

impl Replica {
    /// Starts a replica.
    ///
    /// # Errors
    /// Fails if the storage cannot be opened.
    pub fn start(parts: Parts) -> Result<Self, yucca_log::storage::Error> {
        let (requests, receiver) = mpsc::channel(QUEUE_REQUESTS);
        let (status, watched) = watch::channel(Status::default());
        let log = parts.log.clone();
        let rule = parts.rule.clone();
        let run = run::Run::new(parts, receiver, status)?;
        let task = tokio::spawn(run.run()).abort_handle();
        Ok(Self {
            group: log_message::Group::new(&log.to_string()),
            log,
            rule,
            requests,
            status: watched,
            task,
        })
    }

    /// Returns the log.
    pub fn log(&self) -> &message::Log {
        &self.log
    }

    /// Returns the identifier of the log in its messages.
    pub fn group(&self) -> log_message::Group {
        self.group
    }

    /// Queues a message of another replica, or drops it if the queue is full.
    pub fn receive(&self, from: id::Host, message: log_message::Message) {
        let request = Request::Message { from, message };
        if self.requests.try_send(request).is_err() {
            metrics::counter!("yucca_control_log_messages_lost_total").increment(1);
        }
    }

    /// Proposes an entry and waits until it is committed and applied.
    ///
    /// # Errors
    /// Fails if this replica is not the leader or loses its quorum.
    pub async fn propose(&self, entry: Bytes) -> Result<message::Receipt, Error> {
        let (answer, result) = oneshot::channel();
        let request = Request::Propose { entry, answer };
        self.ask(request, result).await
    }

    /// Waits until the state machine has applied all that was committed before the call.
    ///
    /// # Errors
    /// Fails if this replica is not the leader or loses its quorum.
    pub async fn read(&self) -> Result<id::Version, Error> {
        let (answer, result) = oneshot::channel();
        self.ask(Request::Read { answer }, result).await
    }

    async fn ask<T>(
        &self,
        request: Request,
        result: oneshot::Receiver<Result<T, Error>>,
    ) -> Result<T, Error> {
        let sent = self.requests.send(request).await;
        sent.map_err(|_| Error::Stopped)?;
        result.await.unwrap_or(Err(Error::Stopped))
    }

    /// Returns the state of the log as the replica knows it.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Returns a receiver that is notified of changes of the status.
    pub fn watch(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// Prepares to stop, for `timeout` at most: transfers leadership, then gives the vote to a
    /// learner if there is one, so that the log tolerates as many losses without this replica.
    pub async fn hand_over(&self, timeout: time::Duration) {
        let prepared = async {
            self.transfer().await;
            self.leave().await;
        };
        // If it does not finish in time, the others elect a leader and replace the silent voter.
        tokio::time::timeout(timeout, prepared).await.ok();
    }

    /// Transfers leadership and waits until another replica leads.
    async fn transfer(&self) {
        let status = self.status();
        if !status.leads || status.members.voters().len() < 2 {
            return;
        }
        if self.requests.send(Request::Transfer).await.is_err() {
            return;
        }
        let mut status = self.status.clone();
        let handed = status.wait_for(|status| !status.leads && status.leader.is_some());
        handed.await.ok();
    }

    /// Reports to the leader that this replica is about to stop, until it is no longer a voter. If
    /// the leader is lost meanwhile, this replica may have to hand over again.
    async fn leave(&self) {
        let mut status = self.status.clone();
        while self.rule == Rule::Spread && !self.status().members.learners().is_empty() {
            let request = if self.status().leads {
                Request::Transfer
            } else {
                Request::Leave
            };
            if self.requests.send(request).await.is_err() {
                return;
            }
            let left = status.wait_for(|status| status.left);
            if tokio::time::timeout(LEAVE_INTERVAL, left).await.is_ok() {
                return;
            }
        }
    }

    /// Stops the replica immediately.
    pub fn abort(&self) {
        self.task.abort();
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.abort();
    }
}
