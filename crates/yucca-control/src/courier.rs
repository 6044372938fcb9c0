//! Carries the messages of logs to other hosts, in order and without ever blocking the logs.

use std::sync;
use std::time;

use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::task;
use yucca_log::message as log_message;
use yucca_wire::id;

use crate::directory;
use crate::message;
use crate::post;

/// The most messages that wait for one host; more are lost, as the logs allow.
const QUEUE_MESSAGES: usize = 1024;

/// The most messages in one batch.
const BATCH_MESSAGES: usize = 128;

/// How long one batch may take. It is shorter than a follower's patience with its leader, so that
/// a connection that went silent is replaced before an election.
const PATIENCE: time::Duration = time::Duration::from_millis(150);

/// Carries messages, with one queue and one task for each host.
pub struct Courier {
    post: sync::Arc<post::Post>,
    hosts: directory::Hosts,
    queues: sync::Mutex<Queues>,
}

#[derive(Default)]
struct Queues {
    senders: IndexMap<id::Host, mpsc::Sender<log_message::Message>>,
    tasks: task::JoinSet<()>,
}

impl Courier {
    /// Returns a courier that finds hosts in the directory.
    pub fn new(post: sync::Arc<post::Post>, hosts: directory::Hosts) -> Self {
        Self {
            post,
            hosts,
            queues: sync::Mutex::default(),
        }
    }

    /// Queues a message; it may be lost.
    pub fn send(&self, to: &id::Host, message: log_message::Message) {
        let mut queues = self
            .queues
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let sender = match queues.senders.get(to) {
            Some(sender) => sender.clone(),
            None => self.open(to, &mut queues),
        };
        if sender.try_send(message).is_err() {
            metrics::counter!("yucca_control_log_messages_lost_total").increment(1);
        }
    }

    fn open(&self, to: &id::Host, queues: &mut Queues) -> mpsc::Sender<log_message::Message> {
        let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
        let carrier = Carrier {
            post: self.post.clone(),
            hosts: self.hosts.clone(),
            to: to.clone(),
            queue: receiver,
        };
        queues.tasks.spawn(carrier.run());
        queues.senders.insert(to.clone(), sender.clone());
        sender
    }

    /// Ends at once; what is queued is lost.
    pub fn abort(&self) {
        let mut queues = self
            .queues
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        queues.tasks.abort_all();
        queues.senders.clear();
    }
}

/// Carries messages to one host.
struct Carrier {
    post: sync::Arc<post::Post>,
    hosts: directory::Hosts,
    to: id::Host,
    queue: mpsc::Receiver<log_message::Message>,
}

impl Carrier {
    async fn run(mut self) {
        let mut messages = Vec::new();
        while self.queue.recv_many(&mut messages, BATCH_MESSAGES).await > 0 {
            let batch = message::Batch {
                messages: std::mem::take(&mut messages),
            };
            let Some(address) = (self.hosts)().address(&self.to) else {
                continue;
            };
            let sent: Result<(), _> = self
                .post
                .send(address, message::LOG_PATH, batch, PATIENCE)
                .await;
            if sent.is_err() {
                metrics::counter!("yucca_control_log_batches_failed_total").increment(1);
                self.drop_stale();
            }
        }
    }

    /// Messages that waited while a batch failed are out of date; the logs send what matters again.
    fn drop_stale(&mut self) {
        while self.queue.try_recv().is_ok() {}
    }
}
