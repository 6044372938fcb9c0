//! Messages between the hosts of a lane: ledger copies, outcomes, handovers and queries.

use std::sync;
use std::time::Duration;

use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use tokio::time;
use yucca_lane::lane;
use yucca_lane::ledger;
use yucca_lane::standby;
use yucca_wire::codec;
use yucca_wire::id;

use crate::process::lanes::runtime;
use crate::process::lanes::standbys;
use crate::process::shared;
use crate::request::body;

/// Timeout of a message. Most messages are sent within a domain.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which a lane that was handed over is assumed to occupy no slots, because its longest
/// request should have ended. Each new report of its slots restarts the time.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_secs(60);

/// Path that receives these messages.
pub const PATH: &str = "/lane/message";

/// Message about the lane of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Target of the lane.
    pub target: id::Target,
    /// Fencing token of the lane that sends the message.
    pub token: id::Token,
    /// Start of the standby's process that the message is for, if known.
    pub start: Option<Start>,
    /// Content of the message.
    pub kind: Kind,
}

/// Identifier of one start of an entry process. A standby loses its ledgers when it restarts, so it
/// must reject copies that are meant for an earlier start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Start(pub u64);

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks the standby for the start of its process.
    #[serde(rename = "Greet")]
    AskStart,
    /// Asks whether the receiver's lane of the target knows the request.
    Knows(id::Request),
    /// Asks the standby to store the entry and to permit the send.
    Copy(ledger::Entry),
    /// Sends the standby a complete copy of the ledger.
    CopyAll {
        /// Number of the copy.
        number: u64,
        /// Ledger of the sender.
        ledger: ledger::Snapshot,
    },
    /// Sends the outcome of a request to the standby, or to the host that the lane was handed over
    /// to.
    Settle(ledger::Entry),
    /// Hands the lane over to the receiving host.
    HandOver {
        /// Ledger of the sender.
        ledger: ledger::Snapshot,
        /// Number of slots that the sender still occupies.
        held: id::Slots,
    },
    /// Reports the number of slots that the sender still occupies after a handover.
    #[serde(rename = "Held")]
    HeldSlots(id::Slots),
    /// Asks the lane of a shard's previous owner for the ledger entries of the shard.
    Ledger(id::Shard),
}

/// Reply to a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Start of the receiver's process.
    Started(Start),
    /// Whether the lane knows the request.
    Knows(bool),
    /// The message was processed. For [`Kind::Copy`], the send is permitted.
    Done,
    /// The send is not permitted: the sender's lane was taken over.
    TakenOver,
    /// The send is not permitted: the standby first needs a complete copy of the ledger.
    NoCopy,
    /// The send is not permitted: the standby's ledger is full.
    Full,
    /// The send is not permitted: the standby has a newer entry of the id.
    Stale,
    /// Ledger entries and gaps of a shard.
    Ledger(ledger::Snapshot),
    /// The receiver does not have the lane.
    NotHere,
}

impl Reply {
    /// Returns the reply of a standby that does not permit a send.
    pub fn permit_refused(reason: lane::Reason) -> Self {
        match reason {
            lane::Reason::TakenOver => Self::TakenOver,
            lane::Reason::NoCopy => Self::NoCopy,
            lane::Reason::Full => Self::Full,
            lane::Reason::Stale => Self::Stale,
            lane::Reason::Unreachable => Self::NotHere,
        }
    }

    fn reason(&self) -> lane::Reason {
        match self {
            Self::TakenOver => lane::Reason::TakenOver,
            Self::NoCopy => lane::Reason::NoCopy,
            Self::Full => lane::Reason::Full,
            Self::Stale => lane::Reason::Stale,
            Self::Done | Self::Ledger(_) | Self::NotHere | Self::Started(_) | Self::Knows(_) => {
                lane::Reason::Unreachable
            }
        }
    }
}

/// Sends an output of a lane to another host, and reports the reply to the lane.
pub async fn send_output(
    shared: &sync::Arc<shared::Shared>,
    runtime: &sync::Arc<runtime::Runtime>,
    output: lane::Output,
) {
    match output {
        lane::Output::Copy { standby, entry } => {
            let (id, seq) = (entry.id, entry.seq);
            let reply = send(shared, runtime, &standby, Kind::Copy(entry)).await;
            let input = match reply {
                Some(Reply::Done) => lane::Input::Permit { id, seq },
                other => lane::Input::PermitRefused {
                    id,
                    seq,
                    reason: other.map_or(lane::Reason::Unreachable, |reply| reply.reason()),
                },
            };
            runtime.step(shared, input);
        }
        lane::Output::CopyAll {
            standby,
            number,
            ledger,
        } => {
            // The copy states the start that answered, so that a later one rejects it.
            let answered = send(shared, runtime, &standby, Kind::AskStart).await;
            let Some(Reply::Started(start)) = answered else {
                return;
            };
            runtime.set_standby_start(start);
            let kind = Kind::CopyAll { number, ledger };
            if let Some(Reply::Done) = send(shared, runtime, &standby, kind).await {
                runtime.step(shared, lane::Input::Copied { standby, number });
            }
        }
        lane::Output::Settle { to, entry } => {
            send(shared, runtime, &to, Kind::Settle(entry)).await;
        }
        lane::Output::HandOver { to, ledger, held } => {
            send(shared, runtime, &to, Kind::HandOver { ledger, held }).await;
        }
        lane::Output::HeldSlots { to, slots } => {
            send(shared, runtime, &to, Kind::HeldSlots(slots)).await;
        }
        _ => {}
    }
}

async fn send(
    shared: &sync::Arc<shared::Shared>,
    runtime: &sync::Arc<runtime::Runtime>,
    to: &id::Host,
    kind: Kind,
) -> Option<Reply> {
    let message = Message {
        target: runtime.target().clone(),
        token: runtime.token(),
        start: runtime.standby_start(),
        kind,
    };
    post(shared, to, &message).await
}

async fn post(
    shared: &sync::Arc<shared::Shared>,
    to: &id::Host,
    message: &Message,
) -> Option<Reply> {
    if *to == shared.settings.host {
        return Some(answer(shared, message.clone()));
    }
    let address = shared.current.load().table.peer(to)?;
    let frame = codec::encode(shared.deployment, message).ok()?;
    let exchange = async {
        let posted = shared.peers.post(address, PATH, body::full(frame)).await;
        let collected = posted.ok()?.into_body().collect().await.ok()?;
        codec::decode(shared.deployment, &collected.to_bytes()).ok()
    };
    time::timeout(TIMEOUT, exchange).await.ok().flatten()
}

/// Returns the ledger entries of a shard from the lane of its previous owner.
///
/// Without an answer, the result is a gap that lasts one ledger window.
pub async fn ledger(
    shared: &sync::Arc<shared::Shared>,
    earlier: &id::Target,
    shard: id::Shard,
) -> ledger::Snapshot {
    match ask_ledger(shared, earlier, shard).await {
        Some(Reply::Ledger(ledger)) => ledger,
        _ => ledger::Snapshot {
            entries: Vec::new(),
            gaps: vec![ledger::Gap {
                shard: Some(shard),
                remaining: standbys::LEDGER_WINDOW,
            }],
        },
    }
}

/// Returns whether the lane of a target knows a request, or `None` if there was no answer.
pub async fn knows(
    shared: &sync::Arc<shared::Shared>,
    target: &id::Target,
    request: id::Request,
) -> Option<bool> {
    let host = shared.current.load().target(target)?.1.lane.clone()?;
    let message = Message {
        target: target.clone(),
        token: id::Token::default(),
        start: None,
        kind: Kind::Knows(request),
    };
    match post(shared, &host, &message).await? {
        Reply::Knows(knows) => Some(knows),
        _ => None,
    }
}

async fn ask_ledger(
    shared: &sync::Arc<shared::Shared>,
    earlier: &id::Target,
    shard: id::Shard,
) -> Option<Reply> {
    let host = shared.current.load().target(earlier)?.1.lane.clone()?;
    let message = Message {
        target: earlier.clone(),
        token: id::Token::default(),
        start: None,
        kind: Kind::Ledger(shard),
    };
    post(shared, &host, &message).await
}

/// Processes a message and returns the reply.
pub fn answer(shared: &sync::Arc<shared::Shared>, message: Message) -> Reply {
    let Message {
        target,
        token,
        start,
        kind,
    } = message;
    let standbys = &shared.lanes.standbys;
    let now = shared.now();
    let needs_ledger = matches!(kind, Kind::Copy(_) | Kind::CopyAll { .. });
    if needs_ledger && start != Some(shared.process_start) {
        return Reply::NoCopy;
    }
    match kind {
        Kind::AskStart => Reply::Started(shared.process_start),
        Kind::Knows(id) => match shared.lanes.get(&target) {
            Some(runtime) => Reply::Knows(runtime.knows(id)),
            None => Reply::NotHere,
        },
        Kind::Copy(entry) => standbys.step(&target, standby::Input::Copy { token, entry }, now),
        Kind::CopyAll { number, ledger } => {
            let input = standby::Input::CopyAll {
                token,
                number,
                ledger,
            };
            standbys.step(&target, input, now)
        }
        Kind::Settle(entry) => {
            if let Some(runtime) = shared.lanes.get(&target) {
                runtime.step(shared, lane::Input::Settled { entry });
                return Reply::Done;
            }
            standbys.step(&target, standby::Input::Settle { token, entry }, now)
        }
        Kind::HandOver { ledger, held } => {
            let takeover = lane::Takeover {
                ledger,
                predecessor_slots: held,
                predecessor_until: now + PREDECESSOR_TIMEOUT,
            };
            match shared.lanes.get(&target) {
                Some(runtime) => runtime.step(shared, lane::Input::TakeOver(takeover)),
                None => standbys.store_takeover(&target, takeover),
            }
            Reply::Done
        }
        Kind::HeldSlots(slots) => {
            if let Some(runtime) = shared.lanes.get(&target) {
                let until = now + PREDECESSOR_TIMEOUT;
                runtime.step(shared, lane::Input::PredecessorSlots { slots, until });
            }
            Reply::Done
        }
        Kind::Ledger(shard) => match shared.lanes.get(&target) {
            Some(runtime) => Reply::Ledger(runtime.ledger(shard)),
            None => Reply::NotHere,
        },
    }
}
