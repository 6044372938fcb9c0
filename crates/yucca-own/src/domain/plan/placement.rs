//! Balances work among the targets of a service: pins hot keys, and moves shards if the gain
//! exceeds the cost of the move.
//!
//! All thresholds are in slot-microseconds, the unit of work, and none in numbers of requests.

use bytes::Bytes;
use indexmap::IndexMap;
use yucca_wire::id;

use super::loads::{Load, Loads};
use crate::domain::{Command, Pin, Shift, State};

/// Relative excess over the mean load above which a target gives work away.
const HIGH_BAND: f32 = 0.15;
/// Relative shortfall below the mean load above which a target receives work, one shard at a time.
const LOW_BAND: f32 = 0.4;
/// Minimum difference from the mean load that justifies a move, in slot-microseconds per second and
/// slot.
const MIN_EXCESS: f32 = 10_000.0;
/// Cost of a move, in slot-microseconds: requests that wait, and work that the new owner repeats.
const MOVE_COST: f32 = 50_000.0;
/// Time within which the gain of a move must exceed its cost, in seconds.
const PAYBACK_SECONDS: f32 = 30.0;
/// Maximum number of shards of a service that move at a time for balance.
const MAX_MOVING_SHARDS: usize = 8;
/// Maximum number of pins of a service; beyond it, placement pins no more keys.
const MAX_PINS: usize = 256;
/// Share of the mean work of a target from which on a key is hot.
const HOT_SHARE: f32 = 0.2;
/// Share of the mean work of a target below which the pin of a key ends.
const COLD_SHARE: f32 = 0.04;

/// Plans the pins and moves of one service.
pub(super) fn plan(
    state: &State,
    service: &id::Service,
    loads: &mut Loads<'_>,
    commands: &mut Vec<Command>,
) {
    if loads.targets.len() < 2 {
        return;
    }
    let mut planner = Planner {
        state,
        service,
        loads,
        shifts: Vec::new(),
    };
    let pinned = planner.pin_hot(commands);
    planner.unpin_cold(commands);
    if pinned == 0 {
        // Shards are moved only if no key was pinned.
        planner.balance();
    }
    let shifts = planner.shifts;
    if !shifts.is_empty() {
        commands.push(Command::Move {
            service: service.clone(),
            shifts,
        });
    }
}

struct Planner<'a, 'b> {
    state: &'a State,
    service: &'a id::Service,
    loads: &'a mut Loads<'b>,
    shifts: Vec<Shift>,
}

impl Planner<'_, '_> {
    /// Pins hot keys of overloaded targets to other targets, and returns the number of new pins.
    fn pin_hot(&mut self, commands: &mut Vec<Command>) -> usize {
        let mean_work = self.loads.mean_work();
        let held = self.state.pins.get(self.service).map_or(0, IndexMap::len);
        let room = MAX_PINS.saturating_sub(held);
        let mut pinned = 0;
        let mut hot: Vec<(Bytes, f32)> = self.loads.hot(HOT_SHARE * mean_work);
        hot.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (key, work) in hot {
            if pinned == room {
                break;
            }
            if let Some(pin) = self.pin_for(&key, work) {
                commands.push(Command::Pin(pin));
                pinned += 1;
            }
        }
        pinned
    }

    fn pin_for(&mut self, key: &Bytes, work: f32) -> Option<Pin> {
        let shard = self.state.shard_of(self.service, key)?;
        let owner = self.state.table.owner(self.service, shard, key)?;
        let known = self.state.pins.get(self.service).and_then(|p| p.get(key));
        let operator = known.is_some_and(|known| known.operator);
        if owner.moving || operator || !self.state.is_home(self.service, shard) {
            return None;
        }
        let mean = self.loads.mean();
        let from = self.loads.get(&owner.target)?.clone();
        let to = self.loads.least()?.clone();
        let high = from.relative() - mean;
        let after = (to.work + work) / to.weight;
        // The move must not only shift the overload to the other target.
        let improves = after < from.relative() * (1.0 - HIGH_BAND);
        let pays = work * PAYBACK_SECONDS > MOVE_COST;
        if high < (HIGH_BAND * mean).max(MIN_EXCESS) || !improves || !pays {
            return None;
        }
        self.loads.shift(&from.target, &to.target, work);
        Some(Pin {
            service: self.service.clone(),
            key: key.clone(),
            token: owner.token,
            to: to.target,
            operator: false,
        })
    }

    /// Ends pins whose keys are no longer hot.
    fn unpin_cold(&self, commands: &mut Vec<Command>) {
        let pins = self.state.table.pins.get(self.service);
        if !self.loads.has_history() {
            return;
        }
        let limit = COLD_SHARE * self.loads.mean_work();
        for (key, owner) in pins.into_iter().flatten() {
            let known = self.state.pins.get(self.service).and_then(|p| p.get(key));
            let operator = known.is_some_and(|known| known.operator);
            if !operator && !owner.moving && self.loads.key(key) < limit {
                commands.push(Command::Unpin {
                    service: self.service.clone(),
                    key: key.clone(),
                    token: owner.token,
                });
            }
        }
    }

    /// Moves shards from the most loaded target to the least loaded one.
    fn balance(&mut self) {
        let moving = self.state.shifts.get(self.service).map_or(0, IndexMap::len);
        for _ in moving..MAX_MOVING_SHARDS {
            let (Some(from), Some(to)) = (self.loads.most(), self.loads.least()) else {
                return;
            };
            let (from, to) = (from.clone(), to.clone());
            let mean = self.loads.mean();
            let high = from.relative() - mean > (HIGH_BAND * mean).max(MIN_EXCESS);
            let low = mean - to.relative() > (LOW_BAND * mean).max(MIN_EXCESS);
            let first = moving == 0 && self.shifts.is_empty();
            let worth = high || (low && first);
            if !worth {
                return;
            }
            let Some((shift, work)) = self.choose(&from, &to) else {
                return;
            };
            self.loads.shift(&from.target, &to.target, work);
            self.shifts.push(shift);
        }
    }

    /// Chooses the shard whose move best evens out the loads of two targets.
    fn choose(&self, from: &Load, to: &Load) -> Option<(Shift, f32)> {
        let slots = from.weight + to.weight;
        let ideal = (from.work * to.weight - to.work * from.weight) / slots;
        let owned = self.loads.shards(&from.target);
        let mut best: Option<(id::Shard, f32)> = None;
        for shard in owned {
            let work = self.loads.shard(shard);
            let pays = work * PAYBACK_SECONDS > MOVE_COST;
            let better = best.is_none_or(|(_, most)| work > most);
            let chosen = self.shifts.iter().any(|shift| shift.shard == shard);
            if pays && better && work <= ideal && !chosen && self.is_free(shard) {
                best = Some((shard, work));
            }
        }
        let (shard, work) = best?;
        let owner = self.state.owner(self.service, shard)?;
        let shift = Shift {
            shard,
            token: owner.token,
            to: to.target.clone(),
        };
        Some((shift, work))
    }

    fn is_free(&self, shard: id::Shard) -> bool {
        let owner = self.state.owner(self.service, shard);
        owner.is_some_and(|owner| !owner.moving) && self.state.is_home(self.service, shard)
    }
}
