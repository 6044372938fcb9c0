//! Checks that no two servers hold the same key.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::record::{Record, lock};
use crate::server::KEYS;

/// Time for which two servers may hold the same key.
const MAX_OVERLAP: Duration = Duration::from_millis(500);

/// Leases of all servers, and what was seen of keys with two holders.
pub struct Owners {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// For each server and key, the fencing token and the end of the lease.
    leases: Vec<Vec<Option<(u64, Instant)>>>,
    /// Requests at work, as server and key.
    at_work: Vec<(usize, usize)>,
    /// For each pair of servers that hold a key together now, since when.
    overlaps: HashMap<(usize, usize), Overlap>,
    /// What broke the rule.
    pub findings: Vec<String>,
}

struct Overlap {
    since: Instant,
    keys: usize,
    /// Whether each of the two has begun a request on a shared key.
    begun: [bool; 2],
    /// Whether it was reported.
    told: [bool; 2],
}

impl Owners {
    pub fn new(servers: usize) -> Self {
        let state = State {
            leases: vec![vec![None; KEYS]; servers],
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Records a lease. Another server must not be at work on the key while its own lease lasts.
    pub fn set(&self, server: usize, key: usize, fence: u64, until: Instant, record: &Record) {
        let mut state = lock(&self.state);
        let is_new = state.leases[server][key].replace((fence, until)).is_none();
        if !is_new || state.at_work.is_empty() {
            return;
        }
        let now = Instant::now();
        let others = state
            .at_work
            .iter()
            .filter(|(other, at)| *other != server && *at == key);
        let held = |other: usize| state.leases[other][key].is_some_and(|(_, until)| until > now);
        let other = others.map(|(other, _)| *other).find(|other| held(*other));
        if let Some(other) = other {
            let text =
                format!("server {server} is given key {key}, on which server {other} is at work");
            record.say(&format!("OWNER: {text}"));
            state.findings.push(text);
        }
    }

    /// Records the end of a server, which holds nothing from then on.
    pub fn end(&self, server: usize) {
        let mut state = lock(&self.state);
        if let Some(leases) = state.leases.get_mut(server) {
            leases.fill(None);
        }
        state.at_work.retain(|(other, _)| *other != server);
    }

    /// Records that a server has ended a request on a key.
    pub fn finish(&self, server: usize, key: Option<usize>) {
        let mut state = lock(&self.state);
        let ended = state
            .at_work
            .iter()
            .position(|work| Some(*work) == key.map(|key| (server, key)));
        if let Some(ended) = ended {
            state.at_work.swap_remove(ended);
        }
    }

    /// Records the end of a lease.
    pub fn clear(&self, server: usize, key: usize) {
        lock(&self.state).leases[server][key] = None;
    }

    /// Records that a server begins a request on a key.
    pub fn begin(&self, server: usize, key: Option<usize>, id: &str, record: &Record) {
        let Some(key) = key else { return };
        let mut state = lock(&self.state);
        state.at_work.push((server, key));
        let now = Instant::now();
        let held = |lease: &Option<(u64, Instant)>| lease.is_some_and(|(_, until)| until > now);
        let others: Vec<usize> = (0..state.leases.len())
            .filter(|other| *other != server && held(&state.leases[*other][key]))
            .collect();
        for other in others {
            let pair = (server.min(other), server.max(other));
            let overlap = state
                .overlaps
                .entry(pair)
                .or_insert_with(|| Overlap::new(now));
            overlap.begun[usize::from(server > other)] = true;
            let broken = overlap.begun == [true, true] && !overlap.told[0];
            record.line(&format!(
                "key {key}: server {server} begins {id}, server {other} holds it too"
            ));
            if broken {
                overlap.told[0] = true;
                let text = format!(
                    "servers {} and {} hold the same keys, and both began requests on them",
                    pair.0, pair.1
                );
                record.say(&format!("OWNER: {text}"));
                state.findings.push(text);
            }
        }
    }

    /// Looks for keys with two holders. To be called every few milliseconds.
    pub fn check(&self, record: &Record) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let mut shared: HashMap<(usize, usize), usize> = HashMap::new();
        for key in 0..KEYS {
            let mut first = None;
            for server in 0..state.leases.len() {
                if !state.leases[server][key].is_some_and(|(_, until)| until > now) {
                    continue;
                }
                match first {
                    None => first = Some(server),
                    Some(first) => *shared.entry((first, server)).or_default() += 1,
                }
            }
        }
        state.overlaps.retain(|pair, overlap| {
            let ended = !shared.contains_key(pair);
            if ended {
                let time = now.duration_since(overlap.since).as_secs_f64();
                record.line(&format!(
                    "servers {pair:?} held {} keys together for {time:.3} s",
                    overlap.keys
                ));
            }
            !ended
        });
        let mut found = Vec::new();
        for (pair, keys) in shared {
            let overlap = state
                .overlaps
                .entry(pair)
                .or_insert_with(|| Overlap::new(now));
            overlap.keys = overlap.keys.max(keys);
            let time = now.duration_since(overlap.since);
            if time > MAX_OVERLAP && !overlap.told[1] {
                overlap.told[1] = true;
                found.push(format!(
                    "servers {} and {} hold {keys} keys together for over half a second",
                    pair.0, pair.1
                ));
            }
        }
        for text in found {
            record.say(&format!("OWNER: {text}"));
            state.findings.push(text);
        }
    }

    /// Returns what broke the rule.
    pub fn findings(&self) -> Vec<String> {
        lock(&self.state).findings.clone()
    }
}

impl Overlap {
    fn new(since: Instant) -> Self {
        Self {
            since,
            keys: 0,
            begun: [false; 2],
            told: [false; 2],
        }
    }
}
