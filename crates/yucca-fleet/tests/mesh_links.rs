//! Connections between processes: what was queued early is sent, and breaks are noticed.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::net;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use yucca_fleet::mesh::{link, message};
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
