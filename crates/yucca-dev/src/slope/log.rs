//! Slopes of the replicated log: heartbeats.

use std::hint;

use yucca_log::entry;
use yucca_log::message;
use yucca_log::node;
use yucca_wire::codec;
use yucca_wire::id;

use super::probe;
use super::{Error, Slope};

const ROUNDS: u32 = 100_000;

/// Measures a heartbeat, its reply, and the rate of bytes between a leader and one follower.
pub fn measure() -> Result<Vec<Slope>, Error> {
    let deployment = codec::Deployment::new("slope");
    let position = entry::Position {
        term: entry::Term(7),
        version: id::Version(1_000_000),
    };
    let append = message(message::Body::Append(message::Append {
        round: 1_000_000,
        previous: position,
        commit: position.version,
        entries: Vec::new(),
    }));
    let reply = message(message::Body::AppendReply(message::AppendReply {
        round: 1_000_000,
        matched: position.version,
        mismatch: None,
    }));
    let append_frame = frame(deployment, &append)?;
    let reply_frame = frame(deployment, &reply)?;
    let encode = probe::micros_per_round(ROUNDS, || {
        hint::black_box(frame(deployment, &append)?);
        Ok(())
    })?;
    let decode = probe::micros_per_round(ROUNDS, || {
        let decoded = codec::decode::<message::Message>(deployment, &append_frame);
        hint::black_box(decoded.map_err(|error| Error::Codec(error.to_string()))?);
        Ok(())
    })?;
    let exchange_bytes = (append_frame.len() + reply_frame.len()) as f64;
    let config = node::Config::new(probe::name("a0")?, "slope");
    let interval = config.heartbeat_interval.as_secs_f64();
    Ok(vec![
        Slope::new("log heartbeat, framed", append_frame.len() as f64, "B"),
        Slope::new(
            "log heartbeat's answer, framed",
            reply_frame.len() as f64,
            "B",
        ),
        Slope::new("log heartbeat, encode", encode, "us"),
        Slope::new("log heartbeat, decode", decode, "us"),
        Slope::new(
            "log heartbeats a follower, both ways",
            exchange_bytes / interval,
            "B/s",
        ),
    ])
}

fn message(body: message::Body) -> message::Message {
    message::Message {
        group: message::Group::new("global"),
        cluster: Some(entry::Cluster(u64::MAX)),
        from: 1_000_000,
        to: Some(1_000_000),
        term: entry::Term(7),
        body,
    }
}

fn frame(deployment: codec::Deployment, message: &message::Message) -> Result<bytes::Bytes, Error> {
    codec::encode(deployment, message).map_err(|error| Error::Codec(error.to_string()))
}
