//! Secrets of operators and peers, and refusal of replayed and malformed messages.

#![allow(clippy::unwrap_used)]

mod common;

use std::time;

use http_body_util::{BodyExt, Full};
use test_case::test_case;
use yucca_control::peer::Handler;
use yucca_control::{message, peer, process, request};
use yucca_wire::{auth, codec, report};

const SEED: u64 = 21;

fn frame(deployment: &str, sequence: u64) -> bytes::Bytes {
    let envelope = message::Envelope {
        from: "ratmalana-9".parse().unwrap(),
        incarnation: 5,
        sequence,
        body: message::Batch {
            messages: Vec::new(),
        },
    };
    codec::encode(codec::Deployment::new(deployment), &envelope).unwrap()
}

fn with_newer_version(frame: &bytes::Bytes) -> bytes::Bytes {
    let mut bytes = frame.to_vec();
    bytes[2..4].copy_from_slice(&(codec::WIRE_VERSION + 1).to_be_bytes());
    bytes.into()
}

async fn deliver(
    deployment: &common::Deployment,
    frame: bytes::Bytes,
) -> Result<(), peer::Refusal> {
    let core = deployment.core("colombo-1");
    let answer = core.handle(message::LOG_PATH.into(), frame).await;
    answer.map(|_| ())
}

#[tokio::test(start_paused = true)]
async fn replayed_message_is_refused() {
    let deployment = common::Deployment::start(&common::KELANI, None, SEED);
    for sequence in [1, 3, 2] {
        deliver(&deployment, frame(common::DEPLOYMENT, sequence))
            .await
            .unwrap();
    }
    for sequence in [1, 2, 3] {
        let again = deliver(&deployment, frame(common::DEPLOYMENT, sequence)).await;
        let refusal = again.unwrap_err();
        assert_eq!(refusal.status(), 409, "{refusal}");
    }
    deliver(&deployment, frame(common::DEPLOYMENT, 2000))
        .await
        .unwrap();
    let late = deliver(&deployment, frame(common::DEPLOYMENT, 4)).await;
    assert!(matches!(late, Err(peer::Refusal::Replayed { .. })));
}

#[test_case(|f| f.slice(..f.len() - 1), "should have"; "truncated")]
#[test_case(|f| f.slice(..5), "should have"; "truncated in its prefix")]
#[test_case(|_| frame("brightwater", 9), "another deployment"; "of another deployment")]
#[test_case(|f| with_newer_version(&f), "wire version"; "of a newer wire version")]
#[test_case(|f| [&f[..], b"x"].concat().into(), "should have"; "followed by more")]
#[tokio::test(start_paused = true)]
async fn malformed_frame_is_refused(corrupt: fn(bytes::Bytes) -> bytes::Bytes, reason: &str) {
    let deployment = common::Deployment::start(&common::KELANI, None, SEED);
    let corrupted = corrupt(frame(common::DEPLOYMENT, 9));
    let refusal = deliver(&deployment, corrupted).await.unwrap_err();
    assert_eq!(refusal.status(), 400);
    assert!(refusal.to_string().contains(reason), "{refusal}");
    // A refused frame is not recorded as received.
    deliver(&deployment, frame(common::DEPLOYMENT, 9))
        .await
        .unwrap();
}

#[test_case("operator", "/tickets", None; "an operator without a secret")]
#[test_case("operator", "/tickets", Some("peer-key-of-the-tests"); "a peer's secret for an operator")]
#[test_case("operator", "/status", Some("operator-key-of-test"); "a shorter secret")]
#[test_case("peer", report::PATH, Some("operator-key-of-tests"); "an operator's secret for a peer")]
#[test_case("peer", message::LOG_PATH, None; "a peer without a secret")]
#[tokio::test(start_paused = true)]
async fn request_with_a_wrong_secret_is_refused(listener: &str, path: &str, key: Option<&str>) {
    let alone = [common::Domain {
        name: "colombo",
        hosts: 1,
        disks: 0,
    }];
    let deployment = common::Deployment::start(&alone, None, SEED);
    let services = request::Services::new(deployment.core("colombo-1"));
    let service = if listener == "peer" {
        services.peer
    } else {
        services.operator
    };
    let mut request = http::Request::post(path).header("host", "test");
    if let Some(key) = key {
        let value = auth::Secret::new(key).header();
        request = request.header(http::header::AUTHORIZATION, value);
    }
    let request = request.body(Full::new(bytes::Bytes::new())).unwrap();
    assert_eq!(common::send(service, request).await.status, 401);
}

#[tokio::test(start_paused = true)]
async fn ticket_without_a_sender_is_refused() {
    let alone = [common::Domain {
        name: "colombo",
        hosts: 1,
        disks: 0,
    }];
    let deployment = common::Deployment::start(&alone, None, SEED);
    deployment.wait_ready().await;
    let services = request::Services::new(deployment.core("colombo-1"));
    let request = http::Request::post("/tickets")
        .header("host", "test")
        .header(
            http::header::AUTHORIZATION,
            auth::Secret::new(common::OPERATOR).header(),
        )
        .body(Full::new(common::small_ticket(1, "whose").into()))
        .unwrap();
    assert_eq!(common::send(services.operator, request).await.status, 400);
    let list = deployment.ask("colombo-1", "GET", "/tickets", "").await;
    assert_eq!(list.body["accepted"], 0);
}

/// This test uses sockets and the real clock; no assertion depends on how long anything takes.
#[tokio::test]
async fn listeners_answer_over_sockets() {
    let text = "deployment = \"kelani\"\nhost = \"colombo-1\"\ndomain = \"colombo\"\n[addresses]\noperator = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\n[secrets]\noperator = \"operator-key-of-tests\"\npeer = \"peer-key-of-the-tests\"\n[timing]\naccept = \"1h\"\nanswer = \"1h\"\n";
    let settings = yucca_control::settings::read(text, "test").unwrap();
    let running = process::Process::start(settings).await.unwrap();
    let operator = running.addresses().operator;
    let ticket =
        serde_json::json!({"number": 1, "services": {"ticket-desk": common::service("/t")}});
    let status = post(operator, &ticket.to_string(), common::OPERATOR).await;
    assert_eq!(status, 200);
    assert_eq!(
        post(operator, &ticket.to_string(), "another key").await,
        401
    );
    running.stop().await;
    let refused = tokio::net::TcpStream::connect(operator).await;
    assert!(refused.is_err());
}

async fn post(to: std::net::SocketAddr, text: &str, key: &str) -> u16 {
    let stream = tokio::net::TcpStream::connect(to).await.unwrap();
    let stream = hyper_util::rt::TokioIo::new(stream);
    let (mut client, connection) = hyper::client::conn::http1::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::post("/tickets")
        .header("host", "test")
        .header(http::header::AUTHORIZATION, auth::Secret::new(key).header())
        .header(auth::SENDER_HEADER, "nimal")
        .body(Full::new(bytes::Bytes::from(text.to_string())))
        .unwrap();
    let response = client.send_request(request).await.unwrap();
    let status = response.status().as_u16();
    response.into_body().collect().await.unwrap();
    status
}

#[tokio::test(start_paused = true)]
async fn call_without_an_answer_times_out() {
    let network = peer::memory::Network::new(time::Duration::ZERO);
    let near = ([127, 0, 0, 1], 1).into();
    let far = ([127, 0, 0, 1], 2).into();
    network.cut(near, far);
    let call = peer::Call {
        to: far,
        path: message::LOG_PATH,
        frame: bytes::Bytes::new(),
        timeout: time::Duration::from_millis(5),
    };
    let answer = peer::Peer::call(&network.sender(near), call).await;
    assert_eq!(answer, Err(peer::Error::Timeout { to: far }));
}
