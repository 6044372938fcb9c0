//! The listener for other entry hosts: requests for lanes of this host or to be relayed, and
//! messages between lanes and standbys.

use std::sync;
use std::time::Duration;

use http::header;
use http_body_util::{BodyExt, Limited};
use tokio::time;
use yucca_wire::codec;
use yucca_wire::head;
use yucca_wire::id;
use yucca_wire::problem;

use crate::connection::framed;
use crate::process::lanes;
use crate::process::lanes::message;
use crate::process::shared;
use crate::request::answer;
use crate::request::body;
use crate::request::hop;

/// Answers one request on the peer listener.
pub async fn serve(
    shared: sync::Arc<shared::Shared>,
    request: http::Request<hyper::body::Incoming>,
) -> http::Response<body::Stream> {
    let given = request.headers().get(header::AUTHORIZATION);
    let secret = &shared.settings.peer_secret;
    if !secret.authorizes(given.map(|value| value.as_bytes())) {
        metrics::counter!("yucca_unauthorized_total", "listener" => "peer").increment(1);
        return status(http::StatusCode::UNAUTHORIZED);
    }
    let path = request.uri().path().to_owned();
    let stream = body::unlimited(request.into_body());
    match path.as_str() {
        hop::LANE_PATH => lane_request(&shared, stream).await,
        message::PATH => lane_message(&shared, stream).await,
        _ => status(http::StatusCode::NOT_FOUND),
    }
}

fn status(status: http::StatusCode) -> http::Response<body::Stream> {
    let mut response = http::Response::new(body::full(bytes::Bytes::new()));
    *response.status_mut() = status;
    response
}

async fn lane_request(
    shared: &sync::Arc<shared::Shared>,
    stream: body::Stream,
) -> http::Response<body::Stream> {
    let read = framed::read::<head::Request>(shared.deployment, stream).await;
    let (head, rest) = match read {
        Ok(read) => read,
        Err(error) => {
            metrics::counter!("yucca_peer_messages_refused_total").increment(1);
            log::debug!("{error}");
            return status(http::StatusCode::BAD_REQUEST);
        }
    };
    let deadline = time::Instant::now() + Duration::from_micros(head.remaining_us);
    let answer = match relay_address(shared, &head) {
        Some(address) => hop::relay(shared, address, head, rest, deadline).await,
        None => lanes::run(shared, head, rest, deadline).await,
    };
    match framed::write(shared.deployment, &answer.head, answer.body) {
        Ok(message) => http::Response::new(message),
        Err(error) => {
            log::error!("cannot encode the answer of a lane: {error}");
            status(http::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

async fn lane_message(
    shared: &sync::Arc<shared::Shared>,
    stream: body::Stream,
) -> http::Response<body::Stream> {
    let Ok(collected) = Limited::new(stream, codec::MAX_BODY_BYTES).collect().await else {
        return status(http::StatusCode::BAD_REQUEST);
    };
    let decoded = codec::decode::<message::Message>(shared.deployment, &collected.to_bytes());
    let message = match decoded {
        Ok(message) => message,
        Err(error) => {
            metrics::counter!("yucca_peer_messages_refused_total").increment(1);
            log::debug!("{error}");
            return status(http::StatusCode::BAD_REQUEST);
        }
    };
    let reply = message::answer(shared, message);
    match codec::encode(shared.deployment, &reply) {
        Ok(frame) => http::Response::new(body::full(frame)),
        Err(_) => status(http::StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns the address to relay a request to: the host of its lane, if it is in another domain and
/// the request was not relayed before.
fn relay_address(shared: &shared::Shared, head: &head::Request) -> Option<std::net::SocketAddr> {
    if head.relayed {
        return None;
    }
    let view = shared.current.load();
    let (domain, target) = view.target(&head.target)?;
    if *domain == shared.settings.domain {
        return None;
    }
    let host: &id::Host = target.lane.as_ref()?;
    view.table.peer(host)
}

/// Returns the refusal of a request whose lane is not on this host.
pub fn not_here(target: &id::Target) -> answer::Answer {
    let detail = format!("this host does not hold the lane of {target}");
    let problem = problem::Problem::not_run(problem::Kind::NoOwner, detail);
    answer::Answer::refusal(problem, head::Load::default())
}
