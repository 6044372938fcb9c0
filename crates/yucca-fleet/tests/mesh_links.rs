//! Connections between processes: early messages are sent, and broken connections are detected.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::net;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use yucca_fleet::mesh::{link, message};
use yucca_lane::shared::quarantine;
use yucca_own::site::{balance, item, target};
use yucca_wire::id;

fn hello(name: &str) -> message::Hello {
    message::Hello {
        role: message::Role::Control,
        host: name.parse().unwrap(),
        ip: net::Ipv4Addr::LOCALHOST.into(),
        domain: "d".parse().unwrap(),
    }
}

/// Load pattern: all control hosts start and campaign at the same time. The first vote request must
/// not be lost because its connection is not open yet.
#[tokio::test]
async fn a_message_queued_before_the_connection_opens_arrives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, _receiver) = mpsc::channel(16);
    let dialer = link::Dialer::start(address, hello("a"), events);
    assert!(dialer.send(message::Message::Pull {
        have: id::Version(7),
    }));
    let (events, mut received) = mpsc::channel(16);
    let accepting = tokio::spawn(link::accept(listener, hello("b"), events));
    let Some(link::Event::Opened { peer, .. }) = received.recv().await else {
        panic!("the peer did not send its description");
    };
    assert_eq!(peer, hello("a"));
    let Some(link::Event::Message { message, .. }) = received.recv().await else {
        panic!("no message arrived");
    };
    assert_eq!(
        message,
        message::Message::Pull {
            have: id::Version(7),
        }
    );
    accepting.abort();
}

#[tokio::test]
async fn a_connection_that_breaks_is_opened_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, mut seen) = mpsc::channel(16);
    let _dialer = link::Dialer::start(address, hello("a"), events);
    let (first, _) = listener.accept().await.unwrap();
    drop(first);
    let (_second, _) = listener.accept().await.unwrap();
    let closed = seen.recv().await.unwrap();
    assert!(matches!(closed, link::Event::Closed { .. }), "{closed:?}");
}

/// To the operating system a silent connection looks open. Only the missing pings show the failure.
#[tokio::test(start_paused = true)]
async fn a_silent_connection_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, mut seen) = mpsc::channel(16);
    let _dialer = link::Dialer::start(address, hello("a"), events);
    let (_silent, _) = listener.accept().await.unwrap();
    let closed = seen.recv().await.unwrap();
    let link::Event::Closed { reason, .. } = closed else {
        panic!("{closed:?}");
    };
    assert_eq!(reason, "the other side is silent");
}

/// Load pattern: a hundred hosts request the whole state at the same time, over slow links. The
/// state repeats the same names many times.
#[tokio::test]
async fn a_large_message_is_compressed_and_arrives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, _receiver) = mpsc::channel(16);
    let dialer = link::Dialer::start(address, hello("a"), events);
    let names = (0..4_000).map(|number| item::Name(format!("catalogue-of-the-season-{number}")));
    let report = message::Message::Report(Box::new(balance::Report {
        demand: names.map(|name| (name, Vec::new())).collect(),
        times: Vec::new(),
    }));
    assert!(dialer.send(report.clone()));
    let (stream, _) = listener.accept().await.unwrap();
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    let _hello = frames.next().await.unwrap().unwrap();
    let size = frames.next().await.unwrap().unwrap().len();
    assert!(size < 4_000 * 15, "{size} bytes, of 4000 names of 25 to 28");
    drop(frames);
    let (events, mut received) = mpsc::channel(16);
    let accepting = tokio::spawn(link::accept(listener, hello("b"), events));
    // A message sent on the broken connection is lost, so it is sent on the next one.
    let opened = received.recv().await.unwrap();
    assert!(matches!(opened, link::Event::Opened { .. }), "{opened:?}");
    assert!(dialer.send(report.clone()));
    let Some(link::Event::Message { message, .. }) = received.recv().await else {
        panic!("no message arrived");
    };
    assert_eq!(message, report);
    accepting.abort();
}

fn crash() -> message::Message {
    message::Message::Quarantine(Box::new(quarantine::News {
        crashes: vec![quarantine::Evidence {
            digest: quarantine::Digest::new(&[b"GET", b"host", b"/path", b""]),
            targets: vec![target::Number(7)],
            age: std::time::Duration::from_millis(3),
        }],
        cleared: Vec::new(),
    }))
}

/// Processes of an older build read an optional message as a ping, and those of this build read the
/// message.
#[tokio::test]
async fn an_optional_message_follows_a_ping() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, _receiver) = mpsc::channel(16);
    let dialer = link::Dialer::start(address, hello("a"), events);
    assert!(dialer.send(crash()));
    let (stream, _) = listener.accept().await.unwrap();
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    let _hello = frames.next().await.unwrap().unwrap();
    let frame = frames.next().await.unwrap().unwrap();
    assert!(frame.len() < 100, "{} bytes", frame.len());
    let older: message::Message = rmp_serde::from_slice(&frame[1..]).unwrap();
    assert_eq!(older, message::Message::Ping);
    let (events, mut received) = mpsc::channel(16);
    let accepting = tokio::spawn(link::accept(listener, hello("b"), events));
    let mut sending = Framed::new(
        TcpStream::connect(address).await.unwrap(),
        LengthDelimitedCodec::new(),
    );
    // What follows a ping and can't be read is ignored; so is a ping by itself.
    let ping = frame[..frame.len() - 1].to_vec();
    for bytes in [ping, frame.to_vec()] {
        sending.send(Bytes::from(bytes)).await.unwrap();
    }
    let arrived = loop {
        match received.recv().await.unwrap() {
            link::Event::Message { message, .. } => break message,
            link::Event::Opened { .. } => {}
            closed @ link::Event::Closed { .. } => panic!("{closed:?}"),
        }
    };
    assert_eq!(arrived, crash());
    accepting.abort();
}

/// A frame that is empty, truncated, of an unknown kind or claims to be huge only ends its
/// connection.
#[test_case(&[]; "empty")]
#[test_case(&[7, 1, 2]; "unknown kind")]
#[test_case(&[1, 0xff, 0xff, 0xff, 0xff, 1]; "claims four gigabytes")]
#[test_case(&[1, 9, 0, 0, 0, 0x30]; "truncated")]
#[tokio::test]
async fn an_unreadable_frame_ends_its_connection(bytes: &'static [u8]) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, mut received) = mpsc::channel(16);
    let accepting = tokio::spawn(link::accept(listener, hello("b"), events));
    let stream = TcpStream::connect(address).await.unwrap();
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    frames.send(Bytes::from_static(bytes)).await.unwrap();
    let closed = received.recv().await.unwrap();
    let link::Event::Closed { reason, .. } = closed else {
        panic!("{closed:?}");
    };
    assert!(reason.starts_with("unreadable message"), "{reason}");
    accepting.abort();
}
