//! Exponentially decaying rates of work, as observed by the leader of a domain.

use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::report;

/// Time constant of the rates of shards.
const SHARD_WINDOW: time::Duration = time::Duration::from_secs(10);
/// Time constant of the rates of hot keys. It is short, so that a hot key is pinned before shards
/// are moved.
const KEY_WINDOW: time::Duration = time::Duration::from_millis(1500);
/// Maximum number of hot keys of a service whose rates are stored.
const MAX_KEYS: usize = 1024;

/// Exponentially decaying sum of work, in slot-microseconds.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSum {
    sum: f32,
    at: time::Duration,
}

impl DecayingSum {
    /// Adds work, in slot-microseconds.
    fn add(&mut self, work: u64, now: time::Duration, window: time::Duration) {
        self.sum = self.decayed(now, window) + work as f32;
        self.at = now;
    }

    /// Returns the rate of work, in slot-microseconds per second.
    fn rate(&self, now: time::Duration, window: time::Duration) -> f32 {
        self.decayed(now, window) / window.as_secs_f32()
    }

    fn decayed(&self, now: time::Duration, window: time::Duration) -> f32 {
        let passed = now.saturating_sub(self.at).as_secs_f32();
        self.sum * (-passed / window.as_secs_f32()).exp()
    }
}

/// Rates of work of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct Rates {
    shards: IndexMap<id::Shard, DecayingSum>,
    keys: IndexMap<Bytes, Key>,
}

/// Rates of a hot key: with a short time constant, and with that of shards.
#[derive(Debug, Clone, Default)]
struct Key {
    short: DecayingSum,
    long: DecayingSum,
}

impl Rates {
    /// Returns the rate of a shard, in slot-microseconds per second.
    pub fn shard(&self, shard: id::Shard, now: time::Duration) -> f32 {
        let sum = self.shards.get(&shard);
        sum.map_or(0.0, |sum| sum.rate(now, SHARD_WINDOW))
    }

    /// Returns the hot keys and their short-term rates, in slot-microseconds per second.
    pub fn keys(&self, now: time::Duration) -> impl Iterator<Item = (&Bytes, f32)> {
        let keys = self.keys.iter();
        keys.map(move |(key, rates)| (key, rates.short.rate(now, KEY_WINDOW)))
    }

    /// Returns the key's contribution to the rate of its shard, in slot-microseconds per second.
    pub fn key_in_shard(&self, key: &Bytes, now: time::Duration) -> f32 {
        let rates = self.keys.get(key);
        rates.map_or(0.0, |rates| rates.long.rate(now, SHARD_WINDOW))
    }

    pub fn add(&mut self, lane: &report::Lane, now: time::Duration) {
        for (shard, work) in &lane.work {
            let sum = self.shards.entry(*shard).or_default();
            sum.add(*work, now, SHARD_WINDOW);
        }
        for (key, work) in &lane.hot {
            let rates = self.keys.entry(key.clone()).or_default();
            rates.short.add(*work, now, KEY_WINDOW);
            rates.long.add(*work, now, SHARD_WINDOW);
        }
        if self.keys.len() > MAX_KEYS {
            let mut rates: Vec<f32> = self.keys(now).map(|(_, rate)| rate).collect();
            rates.sort_by(f32::total_cmp);
            let least = rates[rates.len() - MAX_KEYS / 2];
            self.keys
                .retain(|_, rates| rates.short.rate(now, KEY_WINDOW) >= least);
        }
    }
}
