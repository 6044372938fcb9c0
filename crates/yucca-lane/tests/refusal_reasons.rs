//! What the log says of targets that get no request.

use std::time;

use indexmap::IndexMap;
use yucca_lane::shared::{service, survey, target};
use yucca_own::site::{delta, item, range, target as site};
use yucca_wire::{id, unit};

const NOW: time::Duration = time::Duration::from_secs(10);

fn service() -> service::Service {
    let mut service = service::Service::default();
    let facts = (0..7).map(|number| target::Facts {
        number: site::Number(number),
        near: true,
        slots: 1,
        open: number != 0,
    });
    service.set_targets(&facts.collect::<Vec<_>>());
    service
}

#[test]
fn each_reason_is_counted_once() {
    let mut service = service();
    service.set_leaving(site::Number(1), time::Duration::ZERO);
    service.set_rest(site::Number(2), NOW, NOW);
    service.finish(site::Number(3), service::Outcome::Failed, NOW);
    let hosts = service::Hosts {
        near: 1,
        all: 1,
        phase: 0.5,
    };
    service.set_limit(site::Number(4), Some(unit::Rate(0.1)), hosts, NOW);
    service.set_others(&IndexMap::from([(site::Number(5), 4)]), 0.0, NOW);
    let found = service.survey(None, NOW);
    let expected = survey::Survey {
        targets: 7,
        closed: 1,
        left: 1,
        resting: 1,
        paused: 1,
        limited: 1,
        full: 1,
        own: 0,
        others: 4,
    };
    assert_eq!(found, expected);
    assert_eq!(
        found.to_string(),
        "targets=7 closed=1 left=1 resting=1 paused=1 limited=1 full=1 own=0 others=4"
    );
}

#[test]
fn only_the_owner_counts_for_a_key() {
    let mut service = service();
    service.set_keyed(true);
    assert_eq!(service.survey(Some(7), NOW), survey::Survey::default());
    let ranges = delta::Ranges {
        service: item::Name("s".into()),
        count: 1,
        owners: vec![(site::Number(6), range::Token(1), vec![0])],
    };
    service.update_owners(id::Version(1), &ranges);
    assert_eq!(service.survey(Some(7), NOW).targets, 1);
    assert_eq!(service.survey(None, NOW).targets, 0);
}
