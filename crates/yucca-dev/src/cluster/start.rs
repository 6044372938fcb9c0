//! Bring-up of a started deployment: submits its ticket and waits until all services answer.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;
use tokio::time as clock;
use yucca_wire::{auth, ticket};

use super::{Cluster, Error, OPERATOR_SECRET};

/// Interval between attempts.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Number of keys of each keyed service that are requested at each entry host.
const PROBED_KEYS: usize = 64;

/// Sender of the ticket.
const SENDER: &str = "yucca-dev";

type Client = legacy::Client<connect::HttpConnector, Full<Bytes>>;

/// Status and body of an answer.
struct Answer {
    status: http::StatusCode,
    body: Bytes,
}

/// Submits the deployment's ticket until it is accepted, then waits until every entry host serves
/// every service.
///
/// # Errors
/// Fails if the ticket is refused.
pub async fn serve(cluster: &Cluster) -> Result<(), Error> {
    let client: Client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let ticket = cluster.ticket().await;
    submit(&client, cluster.operator().await, &ticket).await?;
    cluster.ready().await;
    for entry in cluster.entries().await {
        for path in probes(&ticket) {
            wait_served(&client, entry.callers, &path).await;
        }
    }
    Ok(())
}

async fn submit(
    client: &Client,
    operator: net::SocketAddr,
    ticket: &ticket::Ticket,
) -> Result<(), Error> {
    let text = serde_json::to_vec(ticket).unwrap_or_default();
    loop {
        let request = http::Request::post(format!("http://{operator}/tickets"))
            .header(
                http::header::AUTHORIZATION,
                auth::Secret::new(OPERATOR_SECRET).header(),
            )
            .header(auth::SENDER_HEADER, SENDER)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(text.clone())));
        let answer = exchange(client, request).await;
        match answer {
            Some(answer) if answer.status.is_success() => return Ok(()),
            Some(answer) if answer.status.is_client_error() => {
                let reason = String::from_utf8_lossy(&answer.body).into_owned();
                return Err(Error::Ticket { reason });
            }
            _ => clock::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Returns request paths for each service: [`PROBED_KEYS`] for a keyed service, one for a pool.
fn probes(ticket: &ticket::Ticket) -> Vec<String> {
    let services = ticket.services.values().flatten();
    let paths = services.flat_map(|service| {
        let count = match service.kind {
            ticket::Kind::Keyed(_) => PROBED_KEYS,
            ticket::Kind::Pool => 1,
        };
        (0..count).map(|key| format!("{}/probe-{key}", service.prefix))
    });
    paths.collect()
}

async fn wait_served(client: &Client, entry: net::SocketAddr, path: &str) {
    loop {
        let request = http::Request::get(format!("http://{entry}{path}"))
            .header("x-work-us", "0")
            .body(Full::default());
        match exchange(client, request).await {
            Some(answer) if answer.status.is_success() => return,
            _ => clock::sleep(RETRY_INTERVAL).await,
        }
    }
}

async fn exchange(
    client: &Client,
    request: http::Result<http::Request<Full<Bytes>>>,
) -> Option<Answer> {
    let answer = client.request(request.ok()?).await.ok()?;
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some(Answer { status, body })
}
