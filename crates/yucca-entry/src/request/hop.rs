//! One hop of a request: from the host that received it to the host of its lane, or to a relay.

use std::net;
use std::time::Duration;

use tokio::time;
use yucca_wire::head;
use yucca_wire::problem;

use crate::connection::framed;
use crate::connection::peers;
use crate::process::shared;
use crate::request::answer;
use crate::request::body;

/// Path on which a host receives requests for its lanes.
pub const LANE_PATH: &str = "/lane/request";

/// Time after the deadline in which the answer of a peer may still arrive, since its transfer takes
/// time.
const ANSWER_SLACK: Duration = Duration::from_millis(20);

/// Sends a request to the host of a lane, or to one that relays it, and returns the answer.
///
/// # Errors
/// The failure says whether the other host may have received the request.
pub async fn exchange(
    shared: &shared::Shared,
    address: net::SocketAddr,
    head: &head::Request,
    stream: body::Stream,
    deadline: time::Instant,
) -> Result<answer::Answer, Failure> {
    let message = framed::write(shared.deployment, head, stream)
        .map_err(|error| Failure::NotSent(error.to_string()))?;
    let exchange = async {
        let response = shared.peers.post(address, LANE_PATH, message).await?;
        Ok::<_, peers::Error>(framed::read(shared.deployment, response.into_body()).await)
    };
    match time::timeout_at(deadline + ANSWER_SLACK, exchange).await {
        Ok(Ok(Ok((head, body)))) => Ok(answer::Answer { head, body }),
        Ok(Ok(Err(error))) => Err(Failure::MaybeSent(error.to_string())),
        Ok(Err(error)) if error.not_sent() => Err(Failure::NotSent(error.to_string())),
        Ok(Err(error)) => Err(Failure::MaybeSent(error.to_string())),
        Err(_) => {
            let detail = format!("peer {address} did not answer in time");
            Err(Failure::MaybeSent(detail))
        }
    }
}

/// Relays a request to the lane's host for a host that cannot reach it.
pub async fn relay(
    shared: &shared::Shared,
    address: net::SocketAddr,
    head: head::Request,
    stream: body::Stream,
    deadline: time::Instant,
) -> answer::Answer {
    let relayed = head::Request {
        relayed: true,
        ..head
    };
    match exchange(shared, address, &relayed, stream, deadline).await {
        Ok(answer) => answer,
        Err(failure) => answer::Answer::refusal(failure.problem(), head::Load::default()),
    }
}

/// Failure of an exchange with a peer.
pub enum Failure {
    /// The other host is known not to have received the request.
    NotSent(String),
    /// The other host may have received the request.
    MaybeSent(String),
}

impl Failure {
    /// Returns the problem to report to the caller.
    pub fn problem(self) -> problem::Problem {
        match self {
            Self::NotSent(detail) => problem::Problem::not_run(problem::Kind::Unreachable, detail),
            Self::MaybeSent(detail) => problem::Problem::unknown(problem::Kind::TargetLost, detail),
        }
    }
}
