//! Memory for the bodies of requests and answers.
#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::sync;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;
use yucca_fleet::body::{self, Budget, Error};
use yucca_wire::unit;

const LIMIT: usize = 64 << 20;

/// Returns a budget of 8 MiB for bodies.
fn budget() -> sync::Arc<Budget> {
    Budget::new(unit::Size(16 << 20))
}

fn full(length: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; length]))
}

/// Returns a body that doesn't state its length.
fn parts(
    count: usize,
    length: usize,
) -> impl hyper::body::Body<Data = Bytes, Error = Infallible> + Unpin {
    let part = Bytes::from(vec![b'x'; length]);
    StreamBody::new(stream::iter(0..count).map(move |_| Ok(Frame::data(part.clone()))))
}

#[tokio::test]
async fn room_is_free_once_the_last_copy_is_dropped() {
    let budget = budget();
    let first = body::read(&mut full(5 << 20), &budget, || LIMIT)
        .await
        .unwrap();
    let copy = first.slice(1..10);
    drop(first);
    assert_eq!(budget.held(), 5 << 20);
    let second = body::read(&mut full(5 << 20), &budget, || LIMIT).await;
    assert_eq!(second, Err(Error::NoRoom));
    drop(copy);
    assert_eq!(budget.held(), 0);
    let third = body::read(&mut full(5 << 20), &budget, || LIMIT).await;
    assert_eq!(third.unwrap().len(), 5 << 20);
    assert_eq!(budget.held(), 0);
}

/// Large bodies never keep out small ones.
#[tokio::test]
async fn small_bodies_need_no_room() {
    let budget = budget();
    let _large = body::read(&mut full(8 << 20), &budget, || LIMIT)
        .await
        .unwrap();
    for length in [0, 1, 64 << 10] {
        let small = body::read(&mut full(length), &budget, || LIMIT).await;
        assert_eq!(small.unwrap().len(), length);
    }
    let larger = body::read(&mut full((64 << 10) + 1), &budget, || LIMIT).await;
    assert_eq!(larger, Err(Error::NoRoom));
}

/// Guards against bodies without end that take all memory together.
#[tokio::test]
async fn bodies_without_a_length_are_counted_as_they_arrive() {
    let budget = budget();
    let _first = body::read(&mut parts(60, 100_000), &budget, || LIMIT)
        .await
        .unwrap();
    assert_eq!(budget.held(), 6_000_000);
    let endless = body::read(&mut parts(usize::MAX, 100_000), &budget, || LIMIT).await;
    assert_eq!(endless, Err(Error::NoRoom));
    assert_eq!(budget.held(), 6_000_000);
    let tiny = body::read(&mut parts(usize::MAX, 1), &budget, || 1 << 20).await;
    assert_eq!(tiny, Err(Error::TooLarge(1 << 20)));
    assert_eq!(budget.held(), 6_000_000);
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let budget = budget();
    let refused = body::read(&mut full(101), &budget, || 100).await;
    assert_eq!(refused, Err(Error::TooLarge(100)));
    let allowed = body::read(&mut full(100), &budget, || 100).await;
    assert_eq!(allowed.unwrap().len(), 100);
}
