//! Messages between the hosts of a lane: copies of the ledger, takeovers and handovers.

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

/// How long a message to a host of the same domain may take.
const TIMEOUT: Duration = Duration::from_millis(200);

/// How long a lane that handed over may hold slots; its longest request ends before.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_secs(60);

/// The path on which a host hears these messages.
pub const PATH: &str = "/lane/message";

/// A message about the lane of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The target.
    pub target: id::Target,
    /// The fencing token of the lane that sends it.
    pub token: id::Token,
    /// The start of the standby's process that the sender means, where it matters.
    pub start: Option<Start>,
    /// What it says.
    pub kind: Kind,
}

/// One start of an entry process. A standby that restarted has lost its ledgers, so that a message
/// to an earlier start must not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Start(pub u64);

/// What a message says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// To the standby: which start of your process is this?
    #[serde(rename = "Greet")]
    AskStart,
    /// Does this host's lane of the target know the request?
    Knows(id::Request),
    /// To the standby: write this entry and give leave to send.
    Copy(ledger::Entry),
    /// To the standby: here is the whole ledger.
    CopyAll {
        /// The number of the copy.
        number: u64,
        /// The ledger.
        ledger: ledger::Snapshot,
    },
    /// To whom knows the request as perhaps run: this became of it.
    Settle(ledger::Entry),
    /// To the host that takes the lane over in a planned stop.
    HandOver {
        /// The ledger.
        ledger: ledger::Snapshot,
        /// How many slots the sender still holds.
        held: id::Slots,
    },
    /// The sender of a handover still holds so many slots.
    #[serde(rename = "Held")]
    HeldSlots(id::Slots),
    /// To the lane of a shard's earlier owner: what does the ledger hold of it?
    Ledger(id::Shard),
}

/// The answer to a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The start of the receiver's process.
    Started(Start),
    /// Whether the lane knows the request.
    Knows(bool),
    /// Done; for a copy: leave to send.
    Done,
    /// Leave is not given: the sender's lane was taken over.
    TakenOver,
    /// Leave is not given: the whole ledger is needed first.
    NoCopy,
    /// Leave is not given: there is no room.
    Full,
    /// Leave is not given: a newer entry of the id is known.
    Stale,
    /// What the ledger holds of a shard.
    Ledger(ledger::Snapshot),
    /// The receiver knows nothing of the lane.
    NotHere,
}

impl Reply {
    /// Returns the reply of a standby that gives no leave.
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

/// Carries an output of a lane to another host and the reply back to the lane.
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
            // The copy names the start that answered, so that it counts for no later one.
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

/// Asks the lane of a shard's earlier owner what its ledger holds of the shard.
///
/// Where no answer comes, what ran there is not known for a whole window.
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

/// Asks the lane of a target whether it knows a request; none where no answer came.
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

/// Answers a message.
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
