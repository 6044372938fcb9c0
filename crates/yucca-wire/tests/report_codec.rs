//! Encoding of reports, with announcements that omit optional fields.

#![allow(clippy::unwrap_used)]

use indexmap::IndexMap;
use test_case::test_case;
use yucca_wire::{announce, codec, id, report};

fn report(announced: Vec<announce::Announce>) -> report::Report {
    report::Report {
        host: "colombo-1".parse().unwrap(),
        incarnation: 1,
        global: id::Version(2),
        locals: IndexMap::new(),
        announced,
        lanes: IndexMap::new(),
        stopping: false,
    }
}

#[test_case(r#"{"target":"a","service":"b","address":"127.0.0.1:1","incarnation":1,"slots":3}"#; "required fields only")]
#[test_case(r#"{"target":"a","service":"b","address":"127.0.0.1:1","incarnation":1,"slots":3,"connections":9,"checks_tokens":true,"state":"leaving","warm":0.5}"#; "all fields")]
fn announcements_survive_encoding(text: &str) {
    let announced: announce::Announce = serde_json::from_str(text).unwrap();
    let sent = report(vec![announced]);
    let deployment = codec::Deployment::new("kelani");
    let frame = codec::encode(deployment, &sent).unwrap();
    let received: report::Report = codec::decode(deployment, &frame).unwrap();
    assert_eq!(received, sent);
}
