//! One hop of a request: from the host where it entered to the host of its lane, or to a relay.

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

/// The path on which a host hears requests for its lanes.
pub const LANE_PATH: &str = "/lane/request";

/// The longest a request may wait for one answer of a peer beyond its deadline: the trip back.
const ANSWER_SLACK: Duration = Duration::from_millis(20);

/// Sends a request to the host of a lane, or to one that relays it, and returns the answer.
///
/// # Errors
/// Tells whether the other host may have the request.
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

/// Passes a request of a host that cannot reach the lane's host on to it.
pub async fn relay(
    shared: &shared::Shared,
    address: net::SocketAddr,
    head: head::Request,
    stream: body::Stream,
    deadline: time::Instant,
) -> answer::Answer {
    let marked = head::Request {
        relayed: true,
        ..head
    };
    match exchange(shared, address, &marked, stream, deadline).await {
        Ok(answer) => answer,
        Err(failure) => answer::Answer::refusal(failure.problem(), head::Load::default()),
    }
}

/// Why an exchange with a peer brought no answer.
pub enum Failure {
    /// The other host certainly has nothing of the request.
    NotSent(String),
    /// The other host may have it.
    MaybeSent(String),
}

impl Failure {
    /// Returns the problem that it is for the caller.
    pub fn problem(self) -> problem::Problem {
        match self {
            Self::NotSent(detail) => problem::Problem::not_run(problem::Kind::Unreachable, detail),
            Self::MaybeSent(detail) => problem::Problem::unknown(problem::Kind::TargetLost, detail),
        }
    }
}
