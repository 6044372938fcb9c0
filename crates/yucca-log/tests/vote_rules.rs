//! The rules for votes and commits, tested on a single replica.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use yucca_log::message::{Append, AppendReply, Body, Message, VoteReply, VoteRequest};
use yucca_log::{entry, membership, message, node, storage};
use yucca_wire::id;

const NAMES: [&str; 3] = ["a", "b", "c"];

fn position(term: u64, version: u64) -> entry::Position {
    entry::Position {
        term: entry::Term(term),
        version: id::Version(version),
    }
}

/// Returns replica `a` of three, with an entry of term 1 at version 2 that may be uncommitted.
fn replica() -> node::Node {
    node::Node::new(node::Config::new("a".parse().unwrap(), "test"), recovered())
}

fn recovered() -> storage::Recovered {
    let voters = NAMES.map(|name| membership::Replica {
        host: name.parse().unwrap(),
        incarnation: 1,
    });
    let members = membership::Members::new(voters);
    let mut start = storage::Recovered::bootstrapped(1, entry::Cluster(1), members);
    start.image.vote.term = entry::Term(2);
    start.image.entries.push(entry::Entry {
        position: position(1, 2),
        body: entry::Body::Data("old".into()),
    });
    start
}

/// Delivers a message and returns the messages that are sent at once.
fn deliver(node: &mut node::Node, from: &str, term: u64, body: Body) -> Vec<Body> {
    let message = Message {
        group: message::Group::new("test"),
        cluster: Some(entry::Cluster(1)),
        from: 1,
        to: Some(1),
        term: entry::Term(term),
        body,
    };
    let from = from.parse().unwrap();
    step(node, node::Input::Message { from, message })
}

fn step(node: &mut node::Node, input: node::Input) -> Vec<Body> {
    let outputs = node.step(input, Duration::ZERO);
    let sent = outputs.into_iter().filter_map(|output| match output {
        node::Output::Send { message, .. } => Some(message.body),
        _ => None,
    });
    sent.collect()
}

fn granted() -> VoteReply {
    VoteReply {
        granted: true,
        leader: None,
    }
}

fn vote_request(term: u64, version: u64) -> Body {
    Body::Vote(VoteRequest {
        last: position(term, version),
        transfer: false,
    })
}

fn candidate() -> node::Node {
    campaigning(replica())
}

fn campaigning(mut node: node::Node) -> node::Node {
    step(&mut node, node::Input::Campaign);
    let sent = deliver(&mut node, "b", 2, Body::PreVoteReply(granted()));
    assert_eq!(
        sent,
        [],
        "a vote was requested before the own vote was synced"
    );
    let sent = step(&mut node, node::Input::Synced { upto: 1 });
    assert!(matches!(sent[0], Body::Vote(_)));
    node
}

#[test]
fn a_vote_is_synced_first_and_granted_once() {
    let mut node = replica();
    assert_eq!(deliver(&mut node, "b", 3, vote_request(1, 2)), []);
    let sent = step(&mut node, node::Input::Synced { upto: 1 });
    assert_eq!(sent, [Body::VoteReply(granted())]);
    let sent = deliver(&mut node, "c", 3, vote_request(1, 2));
    let refused = VoteReply {
        granted: false,
        leader: None,
    };
    assert_eq!(sent, [Body::VoteReply(refused)]);
}

#[test]
fn a_candidate_that_lacks_entries_gets_no_vote() {
    for (term, version) in [(0, 1), (0, 9), (1, 1)] {
        let mut node = replica();
        deliver(&mut node, "b", 3, vote_request(term, version));
        let sent = step(&mut node, node::Input::Synced { upto: 1 });
        let refused = VoteReply {
            granted: false,
            leader: None,
        };
        assert_eq!(
            sent,
            [Body::VoteReply(refused)],
            "term {term}, version {version}"
        );
    }
}

#[test]
fn an_earlier_term_commits_only_with_the_current_one() {
    let mut node = candidate();
    deliver(&mut node, "b", 3, Body::VoteReply(granted()));
    assert_eq!(node.role(), node::Role::Leader);
    step(&mut node, node::Input::Synced { upto: 2 });
    let reply = |matched| {
        Body::AppendReply(AppendReply {
            round: 1,
            matched: id::Version(matched),
            mismatch: None,
        })
    };
    deliver(&mut node, "b", 3, reply(2));
    deliver(&mut node, "c", 3, reply(2));
    assert_eq!(node.commit(), id::Version(0));
    deliver(&mut node, "b", 3, reply(3));
    assert_eq!(node.commit(), id::Version(3));
}

#[test]
fn a_message_of_another_log_or_incarnation_is_ignored() {
    let mut node = replica();
    let message = |change: fn(&mut Message)| {
        let mut message = Message {
            group: message::Group::new("test"),
            cluster: Some(entry::Cluster(1)),
            from: 1,
            to: Some(1),
            term: entry::Term(9),
            body: Body::Append(Append {
                round: 1,
                previous: position(1, 2),
                commit: id::Version(2),
                entries: Vec::new(),
            }),
        };
        change(&mut message);
        node::Input::Message {
            from: "b".parse().unwrap(),
            message,
        }
    };
    step(
        &mut node,
        message(|m| m.group = message::Group::new("other")),
    );
    step(&mut node, message(|m| m.cluster = Some(entry::Cluster(2))));
    step(&mut node, message(|m| m.cluster = None));
    step(&mut node, message(|m| m.to = Some(2)));
    assert_eq!(node.term(), entry::Term(2));
    step(&mut node, message(|_| {}));
    assert_eq!(node.term(), entry::Term(9));
    assert_eq!(node.commit(), id::Version(2));
}

#[test]
fn a_leader_counts_itself_only_after_its_sync() {
    let mut node = candidate();
    deliver(&mut node, "b", 3, Body::VoteReply(granted()));
    let reply = Body::AppendReply(AppendReply {
        round: 1,
        matched: id::Version(3),
        mismatch: None,
    });
    deliver(&mut node, "b", 3, reply);
    assert_eq!(node.commit(), id::Version(0));
    step(&mut node, node::Input::Synced { upto: 2 });
    assert_eq!(node.commit(), id::Version(3));
}

#[test]
fn replaced_entries_are_not_acknowledged_before_they_are_synced() {
    let mut node = replica();
    let append = |previous, entries| {
        Body::Append(Append {
            round: 1,
            previous,
            commit: id::Version(0),
            entries,
        })
    };
    let entry = entry::Entry {
        position: position(3, 2),
        body: entry::Body::Noop,
    };
    let accepted = |matched| {
        [Body::AppendReply(AppendReply {
            round: 1,
            matched: id::Version(matched),
            mismatch: None,
        })]
    };
    assert_eq!(
        deliver(&mut node, "b", 3, append(position(0, 1), vec![entry])),
        []
    );
    let sent = deliver(&mut node, "b", 3, append(position(3, 2), Vec::new()));
    assert_eq!(sent, accepted(1));
    let sent = step(&mut node, node::Input::Synced { upto: 1 });
    assert_eq!(sent, accepted(2));
}

#[test]
fn a_new_leader_changes_no_membership_before_it_commits() {
    let mut start = recovered();
    let members = match &start.image.entries[0].body {
        entry::Body::Members(members) => members.clone(),
        body => panic!("{body:?}"),
    };
    start.image.snapshot = Some(entry::Snapshot {
        position: position(0, 1),
        members,
        state: bytes::Bytes::new(),
    });
    let config = node::Config::new("a".parse().unwrap(), "test");
    let mut node = campaigning(node::Node::new(config, start));
    deliver(&mut node, "b", 3, Body::VoteReply(granted()));
    let change = membership::Change::AddLearner(membership::Replica {
        host: "d".parse().unwrap(),
        incarnation: 1,
    });
    let request_id = 1;
    let outputs = node.step(node::Input::Change { request_id, change }, Duration::ZERO);
    let result = Err(node::Refusal::ChangePending);
    assert!(outputs.contains(&node::Output::Proposed { request_id, result }));
}

/// A restarted replica that has the newest entries must not report its commit as current before the
/// leader has committed an entry of its own term.
#[test]
fn a_commit_is_current_after_an_entry_of_the_term() {
    let mut node = replica();
    let append = |commit: u64, entries: Vec<entry::Entry>| {
        Body::Append(Append {
            round: 1,
            previous: position(1, 2),
            commit: id::Version(commit),
            entries,
        })
    };
    deliver(&mut node, "b", 2, append(0, Vec::new()));
    assert!(node.leader().is_some());
    assert!(
        !node.is_commit_current(),
        "nothing is known to be committed"
    );
    deliver(&mut node, "b", 2, append(2, Vec::new()));
    assert!(
        !node.is_commit_current(),
        "the commit is from an earlier term"
    );
    let own = entry::Entry {
        position: position(2, 3),
        body: entry::Body::Noop,
    };
    let outputs = {
        let message = Message {
            group: message::Group::new("test"),
            cluster: Some(entry::Cluster(1)),
            from: 1,
            to: Some(1),
            term: entry::Term(2),
            body: append(3, vec![own]),
        };
        let from = "b".parse().unwrap();
        node.step(node::Input::Message { from, message }, Duration::ZERO)
    };
    for output in outputs {
        if let node::Output::Persist { sequence, .. } = output {
            node.step(node::Input::Synced { upto: sequence }, Duration::ZERO);
        }
    }
    deliver(
        &mut node,
        "b",
        2,
        Body::Append(Append {
            round: 2,
            previous: position(2, 3),
            commit: id::Version(3),
            entries: Vec::new(),
        }),
    );
    assert!(node.is_commit_current());
}
