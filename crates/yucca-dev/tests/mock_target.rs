//! Mock targets: answers, slots, tokens and faults.
#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use http_body_util::{BodyExt, Full};
use support::{Client, harness, order, request, settings, token};
use test_case::test_case;
use yucca_dev::journal;
use yucca_wire::{grant, key};

const KEY_PATH: &str = "/ticket-desk/engine-7";

fn shard() -> u32 {
    key::shard(b"engine-7", 1024).0
}

#[tokio::test]
async fn answers_echo_the_request_and_count_runs() {
    let harness = harness(settings("desk-1", false)).await;
    let mut client = harness.client().await;
    let headers = [
        ("x-echo", "e1"),
        (grant::REQUEST_HEADER, "0a"),
        ("x-work-us", "0"),
    ];
    for run in ["1", "2"] {
        let answer = client.send(request("POST", KEY_PATH, &headers)).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["x-target"], "desk-1");
        assert_eq!(answer.headers()["x-run"], run);
        assert_eq!(answer.headers()["x-echo"], "e1");
        assert_eq!(answer.body(), "a body");
    }
    let runs = harness.journal.runs("e1");
    assert_eq!(runs.len(), 2);
    assert_eq!(runs[1].key.as_deref(), Some("engine-7"));
    assert_eq!(harness.journal.totals().repeats, 1);
}

#[test_case(Some(token(4)), 409; "a lower token")]
#[test_case(Some(token(5)), 200; "the same token")]
#[test_case(Some(token(6)), 200; "a higher token")]
#[test_case(None, 409; "no token")]
#[tokio::test]
async fn requests_without_a_current_token_are_refused(
    given: Option<yucca_wire::id::Token>,
    status: u16,
) {
    let harness = harness(settings("desk-1", true)).await;
    let mut client = harness.client().await;
    assert_eq!(client.send(order(5, &[shard()], &[])).await.status(), 200);
    let given = given.map(|token| token.to_string());
    let mut headers = vec![("x-work-us", "0"), ("x-echo", "e1")];
    headers.extend(given.as_deref().map(|given| (grant::TOKEN_HEADER, given)));
    let answer = client.send(request("GET", KEY_PATH, &headers)).await;
    assert_eq!(answer.status(), status);
    assert_eq!(
        answer.headers().contains_key(grant::REFUSED_HEADER),
        status == 409
    );
    assert_eq!(harness.journal.runs("e1").is_empty(), status == 409);
}

#[tokio::test]
async fn keys_that_are_not_granted_are_refused() {
    let harness = harness(settings("desk-1", true)).await;
    let mut client = harness.client().await;
    let headers = [("x-work-us", "0"), (grant::TOKEN_HEADER, "1.9.0")];
    let mut status = async || {
        let answer = client.send(request("GET", KEY_PATH, &headers)).await;
        answer.status().as_u16()
    };
    assert_eq!(status().await, 409);
    let mut lane = harness.client().await;
    lane.send(order(9, &[shard()], &[])).await;
    assert_eq!(status().await, 200);
    assert_eq!(
        lane.send(order(8, &[], &[shard()])).await.status(),
        409,
        "lower than 9"
    );
    assert_eq!(status().await, 200);
    lane.send(order(9, &[], &[shard()])).await;
    assert_eq!(status().await, 409);
}

#[tokio::test]
async fn a_restart_drops_all_grants() {
    let harness = harness(settings("desk-1", true)).await;
    harness.client().await.send(order(8, &[shard()], &[])).await;
    assert_eq!(harness.target.grant_count(), 1);
    harness.target.restart();
    let headers = [("x-work-us", "0"), (grant::TOKEN_HEADER, "1.8.0")];
    let answer = harness
        .client()
        .await
        .send(request("GET", KEY_PATH, &headers))
        .await;
    assert_eq!(answer.status(), 409);
}

#[tokio::test]
async fn a_frozen_target_answers_after_thawing() {
    let frozen = harness(settings("desk-1", false)).await;
    let other = harness(settings("desk-2", false)).await;
    let mut early = frozen.client().await;
    frozen.target.freeze();
    let mut late = frozen.client().await;
    let headers = [("x-work-us", "0"), ("x-echo", "e1")];
    let early = tokio::spawn(async move { early.send(request("GET", KEY_PATH, &headers)).await });
    let late = tokio::spawn(async move { late.send(request("GET", KEY_PATH, &headers)).await });
    let mut client = other.client().await;
    for _ in 0..100 {
        client.send(request("GET", KEY_PATH, &headers)).await;
    }
    assert!(!early.is_finished() && !late.is_finished());
    assert!(frozen.journal.runs("e1").is_empty());
    frozen.target.thaw();
    assert_eq!(early.await.unwrap().status(), 200);
    assert_eq!(late.await.unwrap().status(), 200);
}

#[tokio::test]
async fn silence_blocks_open_connections_only() {
    let harness = harness(settings("desk-1", false)).await;
    let mut old = harness.client().await;
    let headers = [("x-work-us", "0"), ("x-echo", "e1")];
    old.send(request("GET", KEY_PATH, &headers)).await;
    harness.target.silence();
    let silent = tokio::spawn(async move { old.send(request("GET", KEY_PATH, &headers)).await });
    let mut new = harness.client().await;
    for _ in 0..100 {
        assert_eq!(
            new.send(request("GET", KEY_PATH, &headers)).await.status(),
            200
        );
    }
    assert!(!silent.is_finished());
    silent.abort();
}

#[tokio::test]
async fn closing_the_connection_stops_the_work() {
    let harness = harness(settings("desk-1", false)).await;
    let mut client = harness.client().await;
    let headers = [("x-work-us", "3600000000"), ("x-echo", "e1")];
    let sent = client.send(request("GET", KEY_PATH, &headers));
    tokio::select! {
        _ = sent => panic!("an hour's work was answered"),
        () = harness.until("e1", |run| run.end == journal::End::Running) => {}
    }
    client.close();
    harness
        .until("e1", |run| run.end == journal::End::Cancelled)
        .await;
}

#[tokio::test]
async fn resetting_the_stream_stops_the_work() {
    let harness = harness(settings("desk-1", false)).await;
    let stream = tokio::net::TcpStream::connect(harness.target.address())
        .await
        .unwrap();
    let io = hyper_util::rt::TokioIo::new(stream);
    let executor = hyper_util::rt::TokioExecutor::new();
    let (mut sender, driver) = hyper::client::conn::http2::handshake(executor, io)
        .await
        .unwrap();
    let driver = tokio::spawn(driver);
    let url = format!("http://stand-in{KEY_PATH}");
    let long = request(
        "GET",
        &url,
        &[("x-work-us", "3600000000"), ("x-echo", "e1")],
    );
    tokio::select! {
        _ = sender.send_request(long) => panic!("an hour's work was answered"),
        () = harness.until("e1", |run| run.end == journal::End::Running) => {}
    }
    harness
        .until("e1", |run| run.end == journal::End::Cancelled)
        .await;
    let short: http::Request<Full<_>> = request("GET", &url, &[("x-work-us", "0")]);
    let answer = sender.send_request(short).await.unwrap();
    assert_eq!(
        answer.into_body().collect().await.unwrap().to_bytes(),
        "a body"
    );
    driver.abort();
}

#[tokio::test]
async fn the_deadline_stops_the_work() {
    let harness = harness(settings("desk-1", false)).await;
    let headers = [
        ("x-work-us", "3600000000"),
        ("x-echo", "e1"),
        (grant::DEADLINE_HEADER, "1"),
    ];
    let answer = harness
        .client()
        .await
        .send(request("GET", KEY_PATH, &headers))
        .await;
    assert_eq!(answer.status(), 504);
    assert!(!answer.headers().contains_key(grant::REFUSED_HEADER));
    assert_eq!(harness.journal.runs("e1")[0].end, journal::End::Deadline);
}

#[tokio::test]
async fn a_full_queue_refuses_requests() {
    let harness = harness(settings("desk-1", false)).await;
    let mut held = Vec::new();
    for index in 0..3 {
        let mut client: Client = harness.client().await;
        let echo = format!("running-{index}");
        held.push(tokio::spawn(async move {
            let headers = [("x-work-us", "3600000000"), ("x-echo", echo.as_str())];
            client.send(request("GET", KEY_PATH, &headers)).await
        }));
        harness.until(&format!("running-{index}"), |_| true).await;
    }
    // The queue holds four requests and the fifth is refused. The order of arrival is not fixed.
    let mut waiting = tokio::task::JoinSet::new();
    for _ in 0..5 {
        let mut client = harness.client().await;
        waiting.spawn(async move {
            let headers = [("x-work-us", "0"), ("x-echo", "waiting")];
            client.send(request("GET", KEY_PATH, &headers)).await
        });
    }
    let first = waiting.join_next().await.unwrap().unwrap();
    assert_eq!(first.status(), 503);
    assert!(first.headers().contains_key(grant::REFUSED_HEADER));
    assert!(harness.journal.runs("waiting").is_empty());
    held.iter().for_each(|task| task.abort());
}

#[tokio::test]
async fn health_and_load_return_a_false_report() {
    let harness = harness(settings("desk-1", false)).await;
    let mut client = harness.client().await;
    assert_eq!(
        client.send(request("GET", "/health", &[])).await.status(),
        200
    );
    let report = yucca_dev::target::Report {
        healthy: false,
        running: 3,
        waiting: 9,
    };
    harness.target.mislead(Some(report));
    let answer = client.send(request("GET", "/load", &[])).await;
    assert_eq!(answer.status(), 503);
    let received: yucca_dev::target::Report = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(received, report);
}

#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let mut settings = settings("desk-1", false);
    settings.connections = 1;
    let harness = harness(settings).await;
    let mut first = harness.client().await;
    let headers = [("x-work-us", "0")];
    first.send(request("GET", KEY_PATH, &headers)).await;
    let stream = tokio::net::TcpStream::connect(harness.target.address()).await;
    let mut byte = [0];
    let read = tokio::io::AsyncReadExt::read(&mut stream.unwrap(), &mut byte).await;
    assert_eq!(read.unwrap_or(0), 0);
    assert_eq!(
        first
            .send(request("GET", KEY_PATH, &headers))
            .await
            .status(),
        200
    );
}
