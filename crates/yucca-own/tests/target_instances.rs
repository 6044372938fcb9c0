//! Instances of targets: late announcements, restarts, and addresses that other targets take over.

use yucca_own::site::{Command, State, item, target};
use yucca_wire::id;

fn target(name: &str, started: u64, port: u16, phase: target::Phase) -> target::Target {
    target::Target {
        instance: target::Instance {
            name: item::Name(name.into()),
            started,
        },
        service: item::Name("s".into()),
        address: ([10, 0, 0, 1], port).into(),
        domain: item::Name("d".into()),
        slots: 3,
        phase,
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

    fn announce(&mut self, target: target::Target) {
        self.apply(Command::Announce(target));
    }

    fn phase(&self, name: &str, started: u64) -> Option<target::Phase> {
        let all = self.state.targets.iter();
        let mut instances = all.filter(|record| {
            record.target.instance.name.0 == name && record.target.instance.started == started
        });
        instances.next().map(|record| record.target.phase)
    }
}

#[test]
fn a_late_announcement_does_not_end_draining() {
    let mut log = Log::default();
    log.announce(target("a", 1, 80, target::Phase::Ready));
    log.announce(target("a", 1, 80, target::Phase::Draining));
    log.announce(target("a", 1, 80, target::Phase::Ready));
    assert_eq!(log.phase("a", 1), Some(target::Phase::Draining));
}

#[test]
fn a_deregistered_target_stays_deregistered() {
    let mut log = Log::default();
    log.announce(target("a", 1, 80, target::Phase::Ready));
    let instance = target("a", 1, 80, target::Phase::Ready).instance;
    log.apply(Command::Leave(instance));
    log.announce(target("a", 1, 80, target::Phase::Ready));
    assert_eq!(log.phase("a", 1), Some(target::Phase::Left));
}

#[test]
fn a_new_instance_ends_the_previous_one() {
    let mut log = Log::default();
    log.announce(target("a", 1, 80, target::Phase::Ready));
    log.announce(target("a", 2, 81, target::Phase::Ready));
    assert_eq!(log.phase("a", 1), Some(target::Phase::Gone));
    assert_eq!(log.phase("a", 2), Some(target::Phase::Ready));
    log.announce(target("a", 1, 80, target::Phase::Ready));
    assert_eq!(log.phase("a", 2), Some(target::Phase::Ready));
    let latest = log.state.targets.latest(&item::Name("a".into()));
    assert_eq!(latest.unwrap().target.instance.started, 2);
}

#[test]
fn a_later_target_takes_over_the_address() {
    let mut log = Log::default();
    log.announce(target("a", 1, 80, target::Phase::Ready));
    log.announce(target("b", 2, 80, target::Phase::Ready));
    assert_eq!(log.phase("a", 1), Some(target::Phase::Gone));
    log.announce(target("c", 1, 80, target::Phase::Ready));
    assert_eq!(
        log.phase("c", 1),
        None,
        "an earlier target can't take over the address"
    );
}

#[test]
fn a_known_announcement_changes_nothing() {
    let mut log = Log::default();
    let ready = target("a", 1, 80, target::Phase::Ready);
    assert!(log.state.targets.would_change(&ready));
    log.announce(ready.clone());
    assert!(!log.state.targets.would_change(&ready));
    let moved = target("a", 1, 81, target::Phase::Ready);
    assert!(log.state.targets.would_change(&moved));
}
