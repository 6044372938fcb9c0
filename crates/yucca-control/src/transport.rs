//! Sends the messages of logs to other hosts, in order and without ever blocking the logs.
//!
//! Messages that a host produces at once in response to a batch are returned with the reply to the
//! batch instead of in a separate call: most messages are heartbeats and their replies.

use std::collections::VecDeque;
use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::task;
use yucca_log::message as log_message;
use yucca_wire::id;

use crate::client;
use crate::directory;
use crate::message;
use crate::mutex::lock;
use crate::replica;

/// Maximum number of messages queued for one host. Beyond it the oldest are dropped, which the logs
/// tolerate.
const QUEUE_MESSAGES: usize = 1024;

/// Maximum number of messages in one batch.
const BATCH_MESSAGES: usize = 128;

/// Timeout of one batch. It is shorter than the election timeout, so that a connection that no
/// longer responds is replaced before a follower starts an election.
const BATCH_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Time for which the reply to a batch waits for messages to the sender.
const REPLY_WAIT: time::Duration = time::Duration::from_millis(2);

/// Receives the messages that another host returned with its reply.
pub type Sink = Box<dyn Fn(&id::Host, Vec<log_message::Message>) + Send + Sync>;

/// Sends messages, with one queue and one task for each host.
pub struct Transport {
    client: sync::Arc<client::Client>,
    hosts: directory::Hosts,
    sink: sync::Arc<sync::OnceLock<Sink>>,
    queues: sync::Mutex<Queues>,
}

#[derive(Default)]
struct Queues {
    by_host: IndexMap<id::Host, sync::Arc<Queue>>,
    tasks: task::JoinSet<()>,
}

/// The messages that wait for one host.
#[derive(Default)]
struct Queue {
    messages: sync::Mutex<VecDeque<log_message::Message>>,
    /// Wakes the worker that sends batches to the host.
    filled: Notify,
    /// Wakes a reply that waits for messages.
    replied: Notify,
    /// Number of replies to the host that are being assembled.
    open_replies: atomic::AtomicUsize,
}

impl Transport {
    /// Returns a transport that finds hosts in the directory.
    pub fn new(client: sync::Arc<client::Client>, hosts: directory::Hosts) -> Self {
        Self {
            client,
            hosts,
            sink: sync::Arc::default(),
            queues: sync::Mutex::default(),
        }
    }

    /// Sets the receiver of messages that other hosts return; only the first call has an effect.
    pub fn set_sink(&self, sink: Sink) {
        self.sink.get_or_init(|| sink);
    }

    /// Calls `deliver`, which delivers a batch of the host `from`, and returns the messages to that
    /// host that are available within `REPLY_WAIT`.
    pub async fn reply(
        &self,
        from: &id::Host,
        deliver: impl FnOnce(),
    ) -> Vec<log_message::Message> {
        let queue = self.queue(from);
        let _open = OpenReply::new(&queue);
        deliver();
        if queue.is_empty() {
            let replied = queue.replied.notified();
            tokio::time::timeout(REPLY_WAIT, replied).await.ok();
        }
        queue.take()
    }

    fn queue(&self, host: &id::Host) -> sync::Arc<Queue> {
        let mut queues = lock(&self.queues);
        if let Some(queue) = queues.by_host.get(host) {
            return queue.clone();
        }
        let queue = sync::Arc::new(Queue::default());
        let worker = Worker {
            client: self.client.clone(),
            hosts: self.hosts.clone(),
            sink: self.sink.clone(),
            to: host.clone(),
            queue: queue.clone(),
        };
        queues.tasks.spawn(worker.run());
        queues.by_host.insert(host.clone(), queue.clone());
        queue
    }

    /// Stops immediately; queued messages are lost.
    pub fn abort(&self) {
        let mut queues = lock(&self.queues);
        queues.tasks.abort_all();
        queues.by_host.clear();
    }
}

impl replica::Transport for Transport {
    fn send(&self, to: &id::Host, message: log_message::Message) {
        self.queue(to).push(message);
    }
}

impl Queue {
    fn push(&self, message: log_message::Message) {
        let mut messages = lock(&self.messages);
        if messages.len() >= QUEUE_MESSAGES {
            messages.pop_front();
            metrics::counter!("yucca_control_log_messages_lost_total").increment(1);
        }
        messages.push_back(message);
        drop(messages);
        if self.open_replies.load(atomic::Ordering::Acquire) > 0 {
            self.replied.notify_one();
        } else {
            self.filled.notify_one();
        }
    }

    fn is_empty(&self) -> bool {
        lock(&self.messages).is_empty()
    }

    fn take(&self) -> Vec<log_message::Message> {
        let mut messages = lock(&self.messages);
        let count = messages.len().min(BATCH_MESSAGES);
        messages.drain(..count).collect()
    }

    fn clear(&self) {
        lock(&self.messages).clear();
    }
}

/// Keeps the worker from sending messages that a reply will return.
struct OpenReply<'a>(&'a Queue);

impl<'a> OpenReply<'a> {
    fn new(queue: &'a Queue) -> Self {
        queue.open_replies.fetch_add(1, atomic::Ordering::AcqRel);
        Self(queue)
    }
}

impl Drop for OpenReply<'_> {
    fn drop(&mut self) {
        self.0.open_replies.fetch_sub(1, atomic::Ordering::AcqRel);
        self.0.filled.notify_one();
    }
}

/// Sends the queued messages to one host.
struct Worker {
    client: sync::Arc<client::Client>,
    hosts: directory::Hosts,
    sink: sync::Arc<sync::OnceLock<Sink>>,
    to: id::Host,
    queue: sync::Arc<Queue>,
}

impl Worker {
    async fn run(self) {
        loop {
            if self.is_idle() {
                self.queue.filled.notified().await;
                continue;
            }
            let batch = message::Batch {
                messages: self.queue.take(),
            };
            let Some(address) = (self.hosts)().address(&self.to) else {
                continue;
            };
            let sent = self
                .client
                .send(address, message::LOG_PATH, batch, BATCH_TIMEOUT)
                .await;
            match sent {
                Ok(message::Batch { messages }) => self.deliver(messages),
                Err(_) => {
                    metrics::counter!("yucca_control_log_batches_failed_total").increment(1);
                    // The messages queued meanwhile are stale; the logs repeat what is still
                    // needed.
                    self.queue.clear();
                }
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.queue.open_replies.load(atomic::Ordering::Acquire) > 0 || self.queue.is_empty()
    }

    fn deliver(&self, messages: Vec<log_message::Message>) {
        if let (Some(sink), false) = (self.sink.get(), messages.is_empty()) {
            sink(&self.to, messages);
        }
    }
}
