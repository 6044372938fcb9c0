//! Rates of work that fade, as the leader of a domain keeps them.

use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::report;

/// The window of the rates of shards.
const SHARD_WINDOW: time::Duration = time::Duration::from_secs(10);
/// The window of the rates of hot keys; short, so that a pin comes before shards have moved.
const KEY_WINDOW: time::Duration = time::Duration::from_millis(1500);
/// The most hot keys of a service whose rates are kept.
const MAX_KEYS: usize = 1024;

/// An exponentially fading sum of work.
#[derive(Debug, Clone, Copy, Default)]
struct Fading {
    sum: f32,
    at: time::Duration,
}

impl Fading {
    /// Adds work, in slot-microseconds.
    fn add(&mut self, work: u64, now: time::Duration, window: time::Duration) {
        self.sum = self.faded(now, window) + work as f32;
        self.at = now;
    }

    /// Returns the rate of work, in slot-microseconds a second.
    fn rate(&self, now: time::Duration, window: time::Duration) -> f32 {
        self.faded(now, window) / window.as_secs_f32()
    }

    fn faded(&self, now: time::Duration, window: time::Duration) -> f32 {
        let passed = now.saturating_sub(self.at).as_secs_f32();
        self.sum * (-passed / window.as_secs_f32()).exp()
    }
}

/// The rates of work of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct Rates {
    shards: IndexMap<id::Shard, Fading>,
    keys: IndexMap<Bytes, Key>,
}

/// The rates of a hot key: over a short time, and over the same time as those of shards.
#[derive(Debug, Clone, Default)]
struct Key {
    short: Fading,
    long: Fading,
}

impl Rates {
    /// Returns the rate of a shard, in slot-microseconds a second.
    pub fn shard(&self, shard: id::Shard, now: time::Duration) -> f32 {
        let fading = self.shards.get(&shard);
        fading.map_or(0.0, |fading| fading.rate(now, SHARD_WINDOW))
    }

    /// Returns the hot keys and their rates.
    pub fn keys(&self, now: time::Duration) -> impl Iterator<Item = (&Bytes, f32)> {
        let keys = self.keys.iter();
        keys.map(move |(key, rates)| (key, rates.short.rate(now, KEY_WINDOW)))
    }

    /// Returns the part of a key's work that the rate of its shard holds, in slot-microseconds a
    /// second.
    pub fn key_in_shard(&self, key: &Bytes, now: time::Duration) -> f32 {
        let rates = self.keys.get(key);
        rates.map_or(0.0, |rates| rates.long.rate(now, SHARD_WINDOW))
    }

    pub fn add(&mut self, lane: &report::Lane, now: time::Duration) {
        for (shard, work) in &lane.work {
            let fading = self.shards.entry(*shard).or_default();
            fading.add(*work, now, SHARD_WINDOW);
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
