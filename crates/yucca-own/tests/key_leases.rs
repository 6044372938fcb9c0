//! Leases of keys: no two targets hold a key at once, whatever is lost, late or slow.
#![allow(clippy::unwrap_used)]

use std::ops;
use std::time;

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;
use yucca_own::site::{Command, State, balance, item, lease, range, target};
use yucca_wire::id;

const LEASE: time::Duration = time::Duration::from_millis(2_000);
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
const STEP: time::Duration = time::Duration::from_millis(10);

/// Targets ignore answers that arrive later than this.
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(1_000);

fn config() -> lease::Config {
    lease::Config {
        duration: LEASE,
        contact_timeout: HEARTBEAT_INTERVAL * 3,
        claim_delay: HEARTBEAT_INTERVAL,
    }
}

/// Simulated target, which follows the lease protocol: it holds the keys in the last timely answer, by
/// a clock that may run 2% slow.
struct SimulatedTarget {
    name: item::Name,
    started: u64,
    slots: u32,
    sequence: u64,
    next_heartbeat: time::Duration,
    /// Held stripes by their first key.
    holds: IndexMap<u16, HeldStripe>,
    released: Vec<lease::Release>,
    highest: IndexMap<u16, range::Token>,
    running: bool,
    disconnected: bool,
    draining: bool,
}

/// Stripe that a target holds, with its token and the true time at which the lease ends.
struct HeldStripe {
    keys: ops::RangeInclusive<u16>,
    token: range::Token,
    until: time::Duration,
}

/// Answer to a heartbeat that has not arrived yet.
struct Answer {
    at: time::Duration,
    sent: time::Duration,
    target: usize,
    sequence: u64,
    grants: Vec<lease::Grant>,
}

struct World {
    state: State,
    version: u64,
    leases: lease::Registry,
    targets: Vec<SimulatedTarget>,
    answers: Vec<Answer>,
    now: time::Duration,
    rng: ChaCha8Rng,
    /// Keys that are checked for holders.
    sampled_keys: Vec<u16>,
}

impl World {
    fn new(seed: u64, config: lease::Config) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sampled_keys = (0..40).map(|_| rng.random()).collect();
        let targets = (0..5u64)
            .map(|number| SimulatedTarget {
                name: item::Name(format!("t{number}")),
                started: 1,
                slots: 3,
                sequence: 0,
                next_heartbeat: HEARTBEAT_INTERVAL * number as u32 / 5,
                holds: IndexMap::new(),
                released: Vec::new(),
                highest: IndexMap::new(),
                running: true,
                disconnected: false,
                draining: false,
            })
            .collect();
        Self {
            state: State::default(),
            version: 0,
            leases: lease::Registry::new(config, time::Duration::ZERO),
            targets,
            answers: Vec::new(),
            now: time::Duration::ZERO,
            rng,
            sampled_keys,
        }
    }

    fn apply(&mut self, command: Command) {
        self.version += 1;
        let split = matches!(command, Command::Split(..));
        self.state.apply(id::Version(self.version), command);
        if split && let Some(map) = self.state.ranges.values().next() {
            for target in &mut self.targets {
                split_holds(map, &mut target.holds);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for target in &mut self.targets {
            target.holds.retain(|_, hold| hold.until > now);
        }
        let due: Vec<Answer> = {
            let all = std::mem::take(&mut self.answers);
            let (due, later) = all.into_iter().partition(|answer| answer.at <= now);
            self.answers = later;
            due
        };
        for answer in due {
            self.deliver(answer);
        }
        for index in 0..self.targets.len() {
            let target = &self.targets[index];
            if target.running && target.next_heartbeat <= now {
                self.send_heartbeat(index);
            }
        }
    }

    fn deliver(&mut self, answer: Answer) {
        let now = self.now;
        let target = &mut self.targets[answer.target];
        let late = now > answer.sent + ANSWER_LIMIT || answer.sequence != target.sequence;
        if !target.running || target.disconnected || late {
            return;
        }
        // The slowest clock that the protocol allows.
        let until = answer.sent + LEASE + LEASE * 2 / 100;
        let mut holds = IndexMap::new();
        let map = self.state.ranges.values().next();
        for grant in &answer.grants {
            let stripes = map.into_iter().flat_map(|map| {
                let within = map.within(grant.keys.clone());
                within.map(|stripe| map.keys(stripe))
            });
            for keys in stripes {
                let first = *keys.start();
                if target.highest.get(&first).is_none_or(|t| *t <= grant.token) {
                    target.highest.insert(first, grant.token);
                    let token = grant.token;
                    holds.insert(first, HeldStripe { keys, token, until });
                }
            }
        }
        let before = std::mem::replace(&mut target.holds, holds);
        let lost: Vec<ops::RangeInclusive<u16>> = before
            .into_iter()
            .filter(|(first, _)| !target.holds.contains_key(first))
            .map(|(_, hold)| hold.keys)
            .collect();
        if !lost.is_empty() {
            target.next_heartbeat = now + STEP;
            for keys in lost {
                let handover = format!("{}-{}", target.name, keys.start());
                target.released.push(lease::Release { keys, handover });
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now = self.now;
        let target = &mut self.targets[index];
        target.next_heartbeat = now + HEARTBEAT_INTERVAL;
        target.sequence += 1;
        let sequence = target.sequence;
        let holds = target.holds.values();
        let heartbeat = lease::Heartbeat {
            sequence,
            holds: holds.map(|hold| (hold.keys.clone(), hold.token)).collect(),
            released: target.released.clone(),
        };
        if target.disconnected || self.rng.random_bool(0.1) {
            return;
        }
        let announced = target::Target {
            instance: target::Instance {
                name: target.name.clone(),
                started: target.started,
            },
            service: item::Name("s".into()),
            address: ([10, 0, 0, index as u8], 80).into(),
            domain: item::Name("d".into()),
            slots: target.slots,
            phase: if target.draining {
                target::Phase::Draining
            } else {
                target::Phase::Ready
            },
        };
        if self.state.targets.would_change(&announced) {
            self.apply(Command::Announce(announced.clone()));
        }
        let grants = self.grant(&announced.instance, &heartbeat);
        if self.rng.random_bool(0.1) {
            return;
        }
        let delay = if self.rng.random_bool(0.1) {
            time::Duration::from_millis(self.rng.random_range(0..1_500))
        } else {
            time::Duration::from_millis(2)
        };
        let target = &mut self.targets[index];
        if delay < ANSWER_LIMIT {
            target.released.clear();
        }
        self.answers.push(Answer {
            at: now + delay,
            sent: now,
            target: index,
            sequence,
            grants,
        });
    }

    fn grant(
        &mut self,
        instance: &target::Instance,
        heartbeat: &lease::Heartbeat,
    ) -> Vec<lease::Grant> {
        let Some(record) = self.state.targets.instance(instance).cloned() else {
            return Vec::new();
        };
        self.leases
            .record_contact(record.number, &record.target.service, self.now);
        let digest = match self.state.ranges.get(&record.target.service) {
            Some(map) => lease::Digest::new(heartbeat, map, record.number),
            None => lease::Digest::empty(heartbeat.sequence),
        };
        if !self
            .leases
            .record_heartbeat(&self.state, &record, &digest, self.now)
        {
            return Vec::new();
        }
        let busy = self.leases.splits(&self.state, &record, self.now);
        if !busy.is_empty() {
            self.apply(Command::Split(record.target.service.clone(), busy));
        }
        if let Some(claim) = self.leases.claim(&self.state, &record, self.now) {
            self.apply(Command::Assign(claim.clone()));
            self.leases.finish_claim(&claim, true);
        }
        let record = self.state.targets.get(record.number).unwrap().clone();
        let (renewal, _) = self.leases.renew(&self.state, &record, self.now);
        let map = self.state.ranges.get(&record.target.service);
        map.map(|map| renewal.grants(map, record.number))
            .unwrap_or_default()
    }

    /// Injects a random fault or change at a target or the leader.
    fn inject_fault(&mut self, config: lease::Config) {
        let index = self.rng.random_range(0..self.targets.len());
        match self.rng.random_range(0..7) {
            0 => self.targets[index].disconnected = true,
            1 => {
                for target in &mut self.targets {
                    target.disconnected = false;
                }
            }
            2 => self.targets[index].running = false,
            3 => {
                let now = self.now;
                let target = &mut self.targets[index];
                if !target.running {
                    target.running = true;
                    target.started += 1;
                    target.sequence = 0;
                    target.holds.clear();
                    target.released.clear();
                    target.highest.clear();
                    target.next_heartbeat = now + STEP;
                    target.draining = false;
                }
            }
            // A new leader is elected, which does not know the previous renewals.
            4 => self.leases = lease::Registry::new(config, self.now),
            5 => {
                let drained = self.targets.iter().filter(|target| target.draining).count();
                self.targets[index].draining = drained < 2;
            }
            _ => self.report(),
        }
    }

    /// Reports a few busy keys and one slow target.
    fn report(&mut self) {
        let slow = target::Number(self.rng.random_range(0..5));
        let hot = self.rng.random_range(0..100);
        let report = balance::Report {
            demand: vec![(item::Name("s".into()), vec![(hot, 200), (hot + 1, 50)])],
            times: vec![(slow, 20, 6_000_000)],
        };
        self.leases.record_report(&report, self.now);
    }

    /// Returns the running targets that hold a key.
    fn holders(&self, key: u16) -> Vec<usize> {
        let Some(map) = self.state.ranges.values().next() else {
            return Vec::new();
        };
        let first = *map.keys(map.stripe_of(key)).start();
        let all = self.targets.iter().enumerate();
        all.filter(|(_, target)| target.running && target.holds.contains_key(&first))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the number of keys that a target holds.
    fn keys_of(&self, index: usize) -> usize {
        let holds = self.targets[index].holds.values();
        holds.map(|hold| hold.keys.clone().count()).sum()
    }

    /// Returns a key that two running targets hold.
    fn doubly_held(&self) -> Option<u16> {
        let mut sampled_keys = self.sampled_keys.iter().copied();
        sampled_keys.find(|key| self.holders(*key).len() > 1)
    }

    fn held_samples(&self) -> usize {
        let held = |key: &&u16| !self.holders(**key).is_empty();
        self.sampled_keys.iter().filter(held).count()
    }
}

/// Splits those held stripes of a target that the map has split.
fn split_holds(map: &range::Map, holds: &mut IndexMap<u16, HeldStripe>) {
    for (_, hold) in std::mem::take(holds) {
        for stripe in map.within(hold.keys.clone()) {
            let keys = map.keys(stripe);
            let first = *keys.start();
            let (token, until) = (hold.token, hold.until);
            holds.insert(first, HeldStripe { keys, token, until });
        }
    }
}

/// Simulates 40 seconds with a fault about every 400 ms, and returns the first time at which two
/// targets held a key.
fn simulate(seed: u64, config: lease::Config) -> Option<time::Duration> {
    let mut world = World::new(seed, config);
    for _ in 0..4_000 {
        world.step();
        if world.now > HEARTBEAT_INTERVAL * 4 && world.rng.random_bool(0.025) {
            world.inject_fault(config);
        }
        if world.doubly_held().is_some() {
            return Some(world.now);
        }
    }
    None
}

#[test]
fn no_key_is_held_twice() {
    for seed in 0..24 {
        assert_eq!(simulate(seed, config()), None, "seed {seed}");
    }
}

/// Guards the check itself: a leader that assumes shorter leases must be found to grant too early.
#[test]
fn the_check_detects_early_grants() {
    let wrong = lease::Config {
        duration: LEASE / 4,
        ..config()
    };
    assert!((0..12).any(|seed| simulate(seed, wrong).is_some()));
}

#[test]
fn all_keys_are_held_again_after_a_loss() {
    let mut world = World::new(1, config());
    world.rng = ChaCha8Rng::seed_from_u64(0);
    run(&mut world, time::Duration::from_secs(4));
    assert_eq!(world.held_samples(), world.sampled_keys.len());
    world.targets[2].running = false;
    run(&mut world, config().expiry() + HEARTBEAT_INTERVAL * 4);
    assert_eq!(world.held_samples(), world.sampled_keys.len());
}

fn run(world: &mut World, time: time::Duration) {
    let end = world.now + time;
    while world.now < end {
        world.step();
    }
}

#[test]
fn a_draining_target_releases_all_its_keys() {
    let mut world = World::new(2, config());
    run(&mut world, time::Duration::from_secs(4));
    world.targets[0].draining = true;
    run(&mut world, HEARTBEAT_INTERVAL * 6);
    assert!(world.targets[0].holds.is_empty());
    assert_eq!(world.held_samples(), world.sampled_keys.len());
}

/// Right after an election, heartbeats arrive that a network cut had delayed since before the target
/// got its keys. They must not count as a release, although the target is draining.
#[test]
fn late_heartbeats_do_not_count_as_releases() {
    let mut world = World::new(7, config());
    run(&mut world, time::Duration::from_secs(4));
    world.targets[0].draining = true;
    let record = world.state.targets.latest(&world.targets[0].name).unwrap();
    let mut announced = record.target.clone();
    announced.phase = target::Phase::Draining;
    world.apply(Command::Announce(announced.clone()));
    world.leases = lease::Registry::new(config(), world.now);
    for sequence in [1, 2, 3] {
        let late = lease::Heartbeat {
            sequence,
            ..lease::Heartbeat::default()
        };
        world.grant(&announced.instance, &late);
    }
    let other = world.state.targets.latest(&world.targets[1].name).unwrap();
    let claim = world.leases.claim(&world.state, &other.clone(), world.now);
    let taken = claim.map_or(0, |claim| claim.stripes.len());
    assert_eq!(taken, 0, "stripes that the draining target still holds");
}

#[test]
fn a_target_that_joins_gets_its_share() {
    let mut world = World::new(3, config());
    world.targets[4].running = false;
    run(&mut world, time::Duration::from_secs(4));
    assert!(world.targets[4].holds.is_empty());
    world.targets[4].running = true;
    run(&mut world, time::Duration::from_secs(6));
    let share = world.keys_of(4);
    assert!(share > 65_536 / 10, "{share} keys");
}

/// Load pattern: a slow target among fast ones. With equal numbers it would have a fifth of the keys.
#[test]
fn a_slow_target_gets_fewer_keys() {
    let mut world = World::new(4, config());
    run(&mut world, time::Duration::from_secs(4));
    for _ in 0..8 {
        let times = (0..5).map(|number| {
            let millis = if number == 3 { 300 } else { 100 };
            (target::Number(number), 30, 30 * millis * 1_000)
        });
        let report = balance::Report {
            demand: Vec::new(),
            times: times.collect(),
        };
        world.leases.record_report(&report, world.now);
        run(&mut world, HEARTBEAT_INTERVAL * 2);
    }
    let number = |target: &SimulatedTarget| {
        let record = world.state.targets.latest(&target.name).unwrap();
        record.number
    };
    let slow = world
        .targets
        .iter()
        .position(|target| number(target) == target::Number(3));
    let slow = world.keys_of(slow.unwrap());
    assert!(slow < 65_536 / 10, "the slow target holds {slow} keys");
}

/// Load pattern: a run of neighbouring keys gets most of the requests. Its stripes have several
/// owners from the start.
#[test]
fn neighbouring_stripes_have_several_owners() {
    let mut world = World::new(5, config());
    run(&mut world, time::Duration::from_secs(4));
    for first in [0u16, 20_000, 65_000] {
        let owners: std::collections::BTreeSet<usize> = (first..first + 500)
            .flat_map(|key| world.holders(key))
            .collect();
        assert!(owners.len() >= 2, "keys from {first} have {owners:?}");
    }
}

/// Load pattern: a few neighbouring keys, all in one stripe, get half of the requests. The stripe is
/// split, and its keys are distributed over the targets.
#[test]
fn a_busy_stripe_is_split_and_distributed() {
    let mut world = World::new(8, config());
    run(&mut world, time::Duration::from_secs(4));
    let map = world.state.ranges.values().next().unwrap();
    let keys = map.keys(map.stripe_of(30_000));
    let busy: Vec<u16> = keys.take(20).collect();
    for _ in 0..10 {
        let mut demand: Vec<(u16, u32)> = (0..200).map(|n| (n * 300, 1)).collect();
        demand.extend(busy.iter().map(|key| (*key, 10)));
        let report = balance::Report {
            demand: vec![(item::Name("s".into()), demand)],
            times: Vec::new(),
        };
        world.leases.record_report(&report, world.now);
        run(&mut world, HEARTBEAT_INTERVAL);
    }
    run(&mut world, HEARTBEAT_INTERVAL * 3);
    let mut held = [0; 5];
    for key in &busy {
        for holder in world.holders(*key) {
            held[holder] += 1;
        }
    }
    assert_eq!(held.iter().sum::<i32>(), 20, "{held:?}");
    assert!(held.iter().all(|keys| *keys <= 8), "{held:?}");
}

/// Load pattern: the targets have similar work, and the measured demand is mostly noise, which must
/// not move stripes.
#[test]
fn noise_moves_few_stripes() {
    let mut world = World::new(9, config());
    run(&mut world, time::Duration::from_secs(4));
    let owner = |world: &World| -> Vec<Option<target::Number>> {
        let map = world.state.ranges.values().next().unwrap();
        map.iter().map(|(_, stripe)| stripe.owner).collect()
    };
    let mut before = owner(&world);
    let mut moved = 0;
    for _ in 0..40 {
        let demand = (0..10).map(|_| (world.rng.random(), 1)).collect();
        let report = balance::Report {
            demand: vec![(item::Name("s".into()), demand)],
            times: Vec::new(),
        };
        world.leases.record_report(&report, world.now);
        run(&mut world, HEARTBEAT_INTERVAL);
        let after = owner(&world);
        moved += before.iter().zip(&after).filter(|(b, a)| b != a).count();
        before = after;
    }
    assert!(
        moved < before.len() / 2,
        "{moved} of {} moved",
        before.len()
    );
}

/// A host that follows by deltas has the same owners, whichever versions it missed, even if a busy
/// stripe was split in the meantime.
#[test]
fn followers_apply_splits_in_deltas() {
    let mut world = World::new(10, config());
    run(&mut world, time::Duration::from_secs(2));
    let mut follower = State::default();
    for round in 0..60u16 {
        let demand = (0..30).map(|key| (round * 700 + key, 20)).collect();
        let report = balance::Report {
            demand: vec![(item::Name("s".into()), demand)],
            times: Vec::new(),
        };
        world.leases.record_report(&report, world.now);
        run(&mut world, HEARTBEAT_INTERVAL);
        if round % 3 == 0 {
            follower.apply_delta(world.state.delta(follower.version));
            let (map, theirs) = (&world.state.ranges[0], &follower.ranges[0]);
            for key in 0..=u16::MAX {
                let own = map.get(map.stripe_of(key)).unwrap();
                let known = theirs.get(theirs.stripe_of(key)).unwrap();
                assert_eq!((own.owner, own.token), (known.owner, known.token), "{key}");
            }
        }
    }
    let restored = State::restore(&world.state.save().unwrap()).unwrap();
    assert!(restored == world.state);
}

/// Load pattern: some of many targets are lost, and the fast ones have no room for further rows. The
/// other targets must take the remaining stripes, beyond their quota.
#[test]
fn no_key_stays_free_if_fast_targets_are_full() {
    let mut world = World::new(6, config());
    for number in 5..13u8 {
        world.targets.push(SimulatedTarget {
            name: item::Name(format!("t{number}")),
            started: 1,
            slots: 3,
            sequence: 0,
            next_heartbeat: HEARTBEAT_INTERVAL * u32::from(number) / 13,
            holds: IndexMap::new(),
            released: Vec::new(),
            highest: IndexMap::new(),
            running: true,
            disconnected: false,
            draining: false,
        });
    }
    run(&mut world, time::Duration::from_secs(4));
    let times = (0..13).map(|number| {
        let millis = if number % 3 == 0 { 60 } else { 180 };
        (target::Number(number), 100, 100 * millis * 1_000)
    });
    let report = balance::Report {
        demand: Vec::new(),
        times: times.collect(),
    };
    world.leases.record_report(&report, world.now);
    for index in 8..13 {
        world.targets[index].running = false;
    }
    run(&mut world, config().expiry() + HEARTBEAT_INTERVAL * 12);
    assert_eq!(world.held_samples(), world.sampled_keys.len());
}

#[test_case(1; "one")]
#[test_case(1_560; "odd width")]
#[test_case(8_192; "the most")]
fn stripes_cover_all_keys(count: u32) {
    let map = range::Map::new(count);
    let mut next = 0u32;
    for (stripe, _) in map.iter() {
        let keys = map.keys(stripe);
        assert_eq!(u32::from(*keys.start()), next);
        assert_eq!(map.stripe_of(*keys.start()), stripe);
        assert_eq!(map.stripe_of(*keys.end()), stripe);
        next = u32::from(*keys.end()) + 1;
    }
    assert_eq!(next, range::KEYS);
}
