//! Load digests: what the other hosts of a group say of their open requests at targets.

use std::net;
use std::time;

use indexmap::IndexMap;
use yucca_own::site::target;

/// Time after which a digest expires. A host repeats an unchanged digest within it, unless it has no
/// open requests.
pub const EXPIRY: time::Duration = time::Duration::from_millis(1_000);

/// Time in which received digests are gathered before they take effect together.
const GATHER_TIME: time::Duration = time::Duration::from_millis(20);

/// Maximum time between two times at which the loads take effect, also if there is no digest.
/// Averages of the load are of about the last second.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Maximum number of digests by which one that was delayed on its way is behind. One that is further
/// behind comes from a process that has restarted, as processes start with random numbers.
const MAX_REORDERED: u64 = 1 << 16;

/// Sequence number of a digest. It increases with each digest of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sequence(pub u64);

impl Sequence {
    /// Returns the first number of a process. `random` should differ between its restarts.
    pub fn first(random: u32) -> Self {
        Self(u64::from(random) * (MAX_REORDERED + 1))
    }

    /// Returns the next number.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }

    /// Returns whether a digest with this number is as old as the one with `known` or older.
    fn is_outdated(self, known: Self) -> bool {
        known.0.wrapping_sub(self.0) <= MAX_REORDERED
    }
}

/// Latest digest of a host.
#[derive(Debug, Clone)]
struct Digest {
    sequence: Sequence,
    received: time::Duration,
    loads: Vec<(target::Number, u32)>,
}

/// The latest digests of other hosts, at most one for each host that sent one within [`EXPIRY`], and
/// when they take effect.
///
/// Load pattern: a host that has many requests is lost, and its neighbours have few. The load of a
/// lost host ends with time alone; otherwise its targets would seem full for as long as no other host
/// has anything to say.
#[derive(Debug, Clone, Default)]
pub struct Table {
    digests: IndexMap<net::IpAddr, Digest>,
    /// When the first digest that has not taken effect yet was received.
    changed: Option<time::Duration>,
    /// When the digests last took effect.
    applied: time::Duration,
}

impl Table {
    /// Stores a digest. Returns false if it is older than the one that is known, which has not
    /// expired.
    pub fn insert(
        &mut self,
        host: net::IpAddr,
        sequence: Sequence,
        loads: Vec<(target::Number, u32)>,
        now: time::Duration,
    ) -> bool {
        self.expire(now);
        let known = self.digests.get(&host);
        if known.is_some_and(|known| sequence.is_outdated(known.sequence)) {
            return false;
        }
        let digest = Digest {
            sequence,
            received: now,
            loads,
        };
        self.digests.insert(host, digest);
        self.changed.get_or_insert(now);
        true
    }

    /// Returns when [`Table::apply`] is due, which may have passed.
    pub fn next_apply(&self) -> time::Duration {
        let refresh = self.applied + REFRESH_INTERVAL;
        let gathered = self.changed.map(|changed| changed + GATHER_TIME);
        let received = self.digests.values().map(|digest| digest.received);
        let expiry = received.min().map(|received| received + EXPIRY);
        let early = gathered.into_iter().chain(expiry).min();
        early.map_or(refresh, |early| early.min(refresh))
    }

    /// Removes expired digests, and returns the sum of the loads in the others.
    pub fn apply(&mut self, now: time::Duration) -> IndexMap<target::Number, u32> {
        self.applied = now;
        self.changed = None;
        self.expire(now);
        let mut sums: IndexMap<target::Number, u32> = IndexMap::new();
        for digest in self.digests.values() {
            for (number, load) in &digest.loads {
                let sum = sums.entry(*number).or_default();
                *sum = sum.saturating_add(*load);
            }
        }
        sums
    }

    /// Returns whether no digest is stored.
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }

    fn expire(&mut self, now: time::Duration) {
        self.digests
            .retain(|_, digest| now < digest.received + EXPIRY);
    }
}
