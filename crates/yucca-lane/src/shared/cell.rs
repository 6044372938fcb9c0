//! Groups of the entry hosts of a domain.

/// Maximum number of hosts in a group.
const MAX_HOSTS: usize = 10;

/// Group of an entry host: its hosts tell each other their load, and prefer the same targets for
/// requests without a key.
///
/// Load pattern: 57 hosts of a domain share 38 targets of three slots. If each told all others its
/// load, a digest could be sent only every half second; several requests come and go at a target in
/// that time, and hosts that choose by old digests all choose the same targets. Ten hosts that share
/// a tenth of the targets know each other's load within a tenth of a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cell {
    /// Its index, below `count`.
    pub index: usize,
    /// Number of groups in the domain, at least one.
    pub count: usize,
}

impl Cell {
    /// Returns the group of the host with a rank, from 0, among the `hosts` of its domain. The
    /// sizes of groups differ by one host at most.
    pub fn of(rank: usize, hosts: usize) -> Self {
        let hosts = hosts.max(1);
        let count = hosts.div_ceil(MAX_HOSTS);
        Self {
            index: rank.min(hosts - 1) * count / hosts,
            count,
        }
    }
}

impl Default for Cell {
    fn default() -> Self {
        Self::of(0, 1)
    }
}
