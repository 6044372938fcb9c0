//! Deregistrations that arrive before the announcement of their target.
#![allow(clippy::unwrap_used)]

use std::time;

use test_case::test_case;
use yucca_own::site::{Command, State, admission, item, lease, target};
use yucca_wire::id;

const CONFIG: lease::Config = lease::Config {
    duration: time::Duration::from_secs(3),
    contact_timeout: time::Duration::from_secs(3),
    claim_delay: time::Duration::from_secs(1),
};

/// Time at which no target that was heard from before may be up.
const LATER: time::Duration = time::Duration::from_secs(60);

fn name(text: &str) -> item::Name {
    item::Name(text.into())
}

fn ready(text: &str, started: u64, port: u16) -> target::Target {
    target::Target {
        instance: target::Instance {
            name: name(text),
            started,
        },
        service: name("s"),
        address: ([10, 0, 0, 1], port).into(),
        domain: name("d"),
        slots: 3,
        phase: target::Phase::Ready,
    }
}

#[derive(Default)]
struct Log {
    state: State,
    version: u64,
}

impl Log {
    fn apply(&mut self, command: Command) {
        self.version += 1;
        self.state.apply(id::Version(self.version), command);
    }

    fn decide(&self, text: &str, started: Option<u64>) -> admission::Departure {
        let leases = lease::Registry::new(CONFIG, time::Duration::ZERO);
        admission::depart(&self.state, &leases, &name(text), started, LATER)
    }

    /// Deregisters an instance, as a leader does. Returns whether that is acknowledged.
    fn depart(&mut self, text: &str, started: Option<u64>) -> bool {
        match self.decide(text, started) {
            admission::Departure::Leave(instance) => self.apply(Command::Leave(instance)),
            admission::Departure::Store(target) => self.apply(Command::Announce(target)),
            admission::Departure::Superseded => {}
            admission::Departure::Refuse(_) => return false,
        }
        true
    }

    fn phase(&self, text: &str) -> target::Phase {
        self.state.targets.latest(&name(text)).unwrap().target.phase
    }
}

/// Guards against requests to a target that has deregistered, since its first announcement arrives
/// after that. What is known of it outlasts a snapshot.
#[test_case(false; "at once")]
#[test_case(true; "after a snapshot")]
fn a_late_announcement_does_not_register_a_target_that_left(snapshot: bool) {
    let mut log = Log::default();
    assert!(log.depart("a", Some(5)));
    if snapshot {
        log.state = State::restore(&log.state.save().unwrap()).unwrap();
    }
    log.apply(Command::Announce(ready("a", 5, 80)));
    log.apply(Command::Announce(ready("a", 5, 80)));
    assert_eq!(log.phase("a"), target::Phase::Left);
    // Its next start is another instance.
    log.apply(Command::Announce(ready("a", 6, 80)));
    assert_eq!(log.phase("a"), target::Phase::Ready);
}

#[test]
fn followers_learn_of_a_target_that_left() {
    let mut log = Log::default();
    log.apply(Command::Announce(ready("b", 1, 81)));
    let mut follower = log.state.clone();
    assert!(log.depart("a", Some(5)));
    assert!(follower.apply_delta(log.state.delta(follower.version)));
    let known = follower.targets.latest(&name("a")).unwrap();
    assert_eq!(known.target.phase, target::Phase::Left);
}

/// The deregistration of the next start of a target arrives before the announcement of that start.
#[test]
fn the_next_start_may_leave_first() {
    let mut log = Log::default();
    log.apply(Command::Announce(ready("a", 5, 80)));
    assert!(log.depart("a", Some(6)));
    for started in [5, 6] {
        log.apply(Command::Announce(ready("a", started, 80)));
        assert_eq!(log.phase("a"), target::Phase::Left, "start {started}");
    }
}

/// A stranger with the name of a target does not end it.
#[test]
fn a_later_start_of_a_target_that_is_up_is_not_acknowledged() {
    let mut log = Log::default();
    log.apply(Command::Announce(ready("a", 5, 80)));
    let number = log.state.targets.latest(&name("a")).unwrap().number;
    let mut leases = lease::Registry::new(CONFIG, time::Duration::ZERO);
    leases.record_contact(number, &name("s"), LATER);
    let decide = |now| admission::depart(&log.state, &leases, &name("a"), Some(6), now);
    assert!(matches!(decide(LATER), admission::Departure::Refuse(_)));
    let silent = decide(LATER + CONFIG.expiry());
    assert!(matches!(silent, admission::Departure::Store(_)));
}

#[test]
fn an_earlier_start_changes_nothing() {
    let mut log = Log::default();
    log.apply(Command::Announce(ready("a", 5, 80)));
    assert_eq!(log.decide("a", Some(4)), admission::Departure::Superseded);
}

#[test]
fn the_latest_instance_leaves_without_a_start_time() {
    let mut log = Log::default();
    assert!(!log.depart("a", None), "nothing could be stored");
    log.apply(Command::Announce(ready("a", 5, 80)));
    assert!(log.depart("a", None));
    assert_eq!(log.phase("a"), target::Phase::Left);
}

/// Many targets that are never announced deregister, and none displaces another. What is stored of
/// them is bounded, and registered targets can still leave.
#[test]
fn the_number_of_unannounced_targets_is_bounded() {
    let mut log = Log::default();
    log.apply(Command::Announce(ready("a", 5, 80)));
    let stored =
        (0..5_000).filter(|number| log.depart(&format!("x{number}"), Some(5_000 - number)));
    let stored: Vec<u64> = stored.collect();
    assert_eq!(stored.len(), 1024);
    for number in &stored {
        assert_eq!(log.phase(&format!("x{number}")), target::Phase::Left);
    }
    assert!(log.depart("a", Some(5)));
    // A late announcement of one makes room.
    log.apply(Command::Announce(ready("x3", 4_997, 83)));
    assert!(log.depart("y", Some(1)));
    assert!(!log.depart("z", Some(1)));
}
