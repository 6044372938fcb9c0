//! Messages with arbitrary contents: a replica must not panic, nor commit entries that it lacks.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use proptest::prelude::*;
use yucca_log::message::{
    Append, AppendReply, Body, Chunk, ChunkReply, JoinReply, Message, Mismatch, VoteReply,
    VoteRequest,
};
use yucca_log::{entry, membership, message, node, storage};
use yucca_wire::id;

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0_u64..6, 1 => any::<u64>(), 1 => Just(u64::MAX)]
}

fn version() -> impl Strategy<Value = id::Version> {
    number().prop_map(id::Version)
}

fn position() -> impl Strategy<Value = entry::Position> {
    (number(), version()).prop_map(|(term, version)| entry::Position {
        term: entry::Term(term),
        version,
    })
}

fn entries() -> impl Strategy<Value = Vec<entry::Entry>> {
    let entry = position().prop_map(|position| entry::Entry {
        position,
        body: entry::Body::Data("x".into()),
    });
    proptest::collection::vec(entry, 0..4)
}

fn members() -> membership::Members {
    membership::Members::new(["a", "b", "c"].map(|name| membership::Replica {
        host: name.parse().unwrap(),
        incarnation: 1,
    }))
}

fn body() -> impl Strategy<Value = Body> {
    let vote_request =
        || (position(), any::<bool>()).prop_map(|(last, transfer)| VoteRequest { last, transfer });
    let vote_reply = || {
        any::<bool>().prop_map(|granted| VoteReply {
            granted,
            leader: Some("b".parse().unwrap()),
        })
    };
    let mismatch = (version(), version()).prop_map(|(previous, retry_after)| Mismatch {
        previous,
        retry_after,
    });
    let reply = (number(), version(), proptest::option::of(mismatch));
    let append = (number(), position(), version(), entries());
    let chunk = (number(), position(), number(), number(), any::<Vec<u8>>());
    prop_oneof![
        vote_request().prop_map(Body::PreVote),
        vote_reply().prop_map(Body::PreVoteReply),
        vote_request().prop_map(Body::Vote),
        vote_reply().prop_map(Body::VoteReply),
        append.prop_map(|(round, previous, commit, entries)| Body::Append(Append {
            round,
            previous,
            commit,
            entries,
        })),
        reply.prop_map(|(round, matched, mismatch)| Body::AppendReply(AppendReply {
            round,
            matched,
            mismatch,
        })),
        chunk.prop_map(
            |(round, position, total, offset, data)| Body::Snapshot(Chunk {
                round,
                position,
                members: members(),
                total,
                offset,
                data: data.into(),
            })
        ),
        (number(), version(), number()).prop_map(|(round, version, held)| {
            Body::ChunkReply(ChunkReply {
                round,
                version,
                held,
            })
        }),
        Just(Body::Campaign),
        Just(Body::Join),
        Just(Body::Leave),
        Just(Body::Left),
        Just(Body::JoinReply(JoinReply::Empty)),
    ]
}

fn message() -> impl Strategy<Value = node::Input> {
    (number(), body()).prop_map(|(term, body)| node::Input::Message {
        from: "b".parse().unwrap(),
        message: Message {
            group: message::Group::new("test"),
            cluster: Some(entry::Cluster(1)),
            from: 1,
            to: Some(1),
            term: entry::Term(term),
            body,
        },
    })
}

fn input() -> impl Strategy<Value = node::Input> {
    prop_oneof![
        10 => message(),
        1 => Just(node::Input::Tick),
        1 => Just(node::Input::Campaign),
        1 => Just(node::Input::Propose { request_id: 1, entry: "y".into() }),
        1 => Just(node::Input::Read { request_id: 2 }),
        1 => (0_u64..9).prop_map(|upto| node::Input::Synced { upto }),
        1 => (0_u64..9).prop_map(|sequence| node::Input::Full { sequence }),
        1 => version().prop_map(|version| node::Input::Snapshot { version, state: "s".into() }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_input_keeps_the_invariants(inputs in proptest::collection::vec(input(), 1..40)) {
        let start = storage::Recovered::bootstrapped(1, entry::Cluster(1), members());
        let mut config = node::Config::new("a".parse().unwrap(), "test");
        config.snapshot_entries = 3;
        let mut node = node::Node::new(config, start);
        let mut now = Duration::ZERO;
        for input in inputs {
            now += Duration::from_millis(40);
            node.step(input, now);
            prop_assert!(node.commit() <= node.last().version);
            prop_assert!(node.applied() <= node.commit());
            prop_assert!(node.durable() <= node.last().version);
        }
    }
}
