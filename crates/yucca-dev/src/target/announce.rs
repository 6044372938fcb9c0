//! Heartbeats with which a target announces itself to an entry host of its domain.

use std::num;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;
use tokio::time as clock;
use yucca_wire::announce as border;

use super::{Recipients, Shared};

/// Path of the announce listener.
const PATH: &str = "/announce";

/// Interval between heartbeats.
const INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Maximum time to wait for the answer to a heartbeat before it is sent to the next host.
const TIMEOUT: time::Duration = time::Duration::from_millis(300);

type Client = legacy::Client<connect::HttpConnector, Full<Bytes>>;

/// Sends heartbeats until the task is aborted.
pub async fn run(shared: sync::Arc<Shared>, recipients: Recipients) {
    let client: Client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let mut ticks = clock::interval(INTERVAL);
    ticks.set_missed_tick_behavior(clock::MissedTickBehavior::Delay);
    let mut host = 0;
    loop {
        ticks.tick().await;
        shared.gate.thawed().await;
        for _ in 0..recipients.hosts.len() {
            if send(&client, &shared, &recipients, host).await {
                break;
            }
            host = (host + 1) % recipients.hosts.len();
        }
    }
}

/// Sends one heartbeat and returns whether the host accepted it.
async fn send(client: &Client, shared: &Shared, recipients: &Recipients, host: usize) -> bool {
    let Some(address) = recipients.hosts.get(host) else {
        return false;
    };
    let Ok(body) = serde_json::to_vec(&message(shared)) else {
        return false;
    };
    let request = http::Request::post(format!("http://{address}{PATH}"))
        .header(http::header::AUTHORIZATION, recipients.secret.header())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else {
        return false;
    };
    match clock::timeout(TIMEOUT, client.request(request)).await {
        Ok(Ok(answer)) => answer.status().is_success(),
        _ => false,
    }
}

fn message(shared: &Shared) -> border::Announce {
    let warm = shared.warm();
    let settings = &shared.settings;
    let instance = shared.instance();
    border::Announce {
        address: shared.address.to_string(),
        checks_tokens: settings.checks_tokens,
        connections: at_least_one(settings.connections),
        incarnation: instance.incarnation,
        service: settings.service.to_string(),
        slots: at_least_one(settings.slots.0),
        state: Some(instance.state),
        target: settings.name.to_string(),
        warm: Some(warm),
    }
}

fn at_least_one(count: u16) -> num::NonZeroU16 {
    num::NonZeroU16::new(count).unwrap_or(num::NonZeroU16::MIN)
}
