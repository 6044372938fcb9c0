//! Connections between processes: what was queued early is sent, and breaks are noticed.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::net;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use yucca_fleet::mesh::{link, message};
use yucca_own::site::{balance, item};
use yucca_wire::id;

fn hello(name: &str) -> message::Hello {
    message::Hello {
        role: message::Role::Control,
        host: name.parse().unwrap(),
        ip: net::Ipv4Addr::LOCALHOST.into(),
        domain: "d".parse().unwrap(),
    }
}

/// Load pattern: all control hosts start at once and campaign at once. The first vote request must not
/// be lost because its connection is not open yet.
#[tokio::test]
async fn a_message_queued_before_the_connection_is_open_arrives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, _kept) = mpsc::channel(16);
    let dialer = link::Dialer::start(address, hello("a"), events);
    assert!(dialer.send(message::Message::Pull {
        have: id::Version(7),
    }));
    let (events, mut received) = mpsc::channel(16);
    let accepting = tokio::spawn(link::accept(listener, hello("b"), events));
    let Some(link::Event::Opened { peer, .. }) = received.recv().await else {
        panic!("the other side did not say who it is");
    };
    assert_eq!(peer, hello("a"));
    let Some(link::Event::Message { message, .. }) = received.recv().await else {
        panic!("no message came");
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

/// A silent connection looks open to the system; only the missing pings show it.
#[tokio::test(start_paused = true)]
async fn a_silent_connection_is_given_up() {
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

/// Load pattern: a hundred hosts ask for the whole state at once, over thin links. It has the same
/// names again and again.
#[tokio::test]
async fn a_large_message_is_sent_small_and_arrives_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, _kept) = mpsc::channel(16);
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
    // What is sent on the broken connection is lost, so it is sent on the next one.
    let opened = received.recv().await.unwrap();
    assert!(matches!(opened, link::Event::Opened { .. }), "{opened:?}");
    assert!(dialer.send(report.clone()));
    let Some(link::Event::Message { message, .. }) = received.recv().await else {
        panic!("no message came");
    };
    assert_eq!(message, report);
    accepting.abort();
}

/// A frame that claims to be huge, is torn or is of an unknown form ends its connection only.
#[test_case(&[]; "empty")]
#[test_case(&[7, 1, 2]; "unknown form")]
#[test_case(&[1, 0xff, 0xff, 0xff, 0xff, 1]; "claims four gigabytes")]
#[test_case(&[1, 9, 0, 0, 0, 0x30]; "torn")]
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
