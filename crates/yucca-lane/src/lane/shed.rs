//! Early refusal and load shedding.

use std::time::Duration;

use yucca_wire::id;
use yucca_wire::problem;
use yucca_wire::table;
use yucca_wire::unit;

use super::Lane;
use super::admit::rank;
use crate::evidence;
use crate::request;

/// Maximum predicted wait of an idempotent request, as a share of the time to its deadline. The
/// rest is left for requests that take longer than the mean and for non-idempotent requests, which
/// may use all of their time.
const IDEMPOTENT_SHARE: f64 = 0.6;

impl Lane {
    /// Makes room for a request in the queue of its class by shedding less important requests.
    ///
    /// # Errors
    /// Returns a problem if the predicted wait is too long for the deadline or the queues are full.
    pub(super) fn make_room(&mut self, arrival: &request::Arrival) -> Result<(), problem::Problem> {
        let silent = self.evidence.state() == evidence::State::Silent;
        while !silent && self.is_late(arrival) {
            let Some(victim) = self.victim_ahead(arrival) else {
                return Err(self.too_late(arrival));
            };
            self.shed(victim);
        }
        self.make_space(arrival)
    }

    /// Makes space for a request within the limits on waiting requests and bytes.
    ///
    /// # Errors
    /// Returns a problem if the queues are full and no less important request waits.
    pub(super) fn make_space(
        &mut self,
        arrival: &request::Arrival,
    ) -> Result<(), problem::Problem> {
        while !self.has_space(arrival) {
            let Some(victim) = self.victim(arrival) else {
                return Err(self.queue_full());
            };
            self.shed(victim);
        }
        Ok(())
    }

    /// Predicts how long a new request with this deadline waits for a slot. Returns zero without an
    /// estimate of the service time.
    pub(super) fn predicted_wait(&self, class: table::Class, deadline: Duration) -> Duration {
        let Some(mean) = self.estimate(class).mean() else {
            return Duration::ZERO;
        };
        let (queue, servers, busy) = match class {
            table::Class::Short => {
                let servers = self.slots.usable().saturating_sub(self.slots.held_long());
                let busy = self.slots.held() - self.slots.held_long();
                (&self.short, servers, busy)
            }
            table::Class::Long => {
                let servers = self.slots.long_limit();
                (&self.long, servers, self.slots.held_long())
            }
        };
        let free = servers.saturating_sub(busy);
        let ahead = queue.ahead(deadline) + 1;
        let waits = ahead.saturating_sub(usize::from(free));
        mean.mul_f64(waits as f64 / f64::from(servers.max(1)))
    }

    fn is_late(&self, arrival: &request::Arrival) -> bool {
        let wait = self.predicted_wait(arrival.class, arrival.deadline);
        let share = if arrival.idempotent {
            IDEMPOTENT_SHARE
        } else {
            1.0
        };
        let left = arrival.deadline.saturating_sub(self.now);
        !wait.is_zero() && wait > left.mul_f64(share)
    }

    fn has_space(&self, arrival: &request::Arrival) -> bool {
        let limits = &self.config.limits;
        let count = self.waiting() < limits.queue_requests as usize;
        let bytes = self.waiting_bytes.saturating_add(arrival.bytes) <= limits.queue_bytes.0;
        count && bytes
    }

    /// Returns the least important waiting request that is less important than the arrival.
    fn victim(&self, arrival: &request::Arrival) -> Option<id::Request> {
        if rank(arrival) == 0 {
            return None;
        }
        let queues = [&self.long, &self.short, &self.held, &self.delayed];
        let waiting = queues.iter().flat_map(|queue| queue.iter().rev());
        let known = waiting.filter_map(|entry| self.requests.get(&entry.id));
        let lesser = known.filter(|active| rank(&active.arrival) < rank(arrival));
        let least = lesser.min_by_key(|active| rank(&active.arrival));
        least.map(|active| active.arrival.id)
    }

    /// Returns a less important request in the arrival's own queue that is due no later than it.
    fn victim_ahead(&self, arrival: &request::Arrival) -> Option<id::Request> {
        let queue = match arrival.class {
            table::Class::Short => &self.short,
            table::Class::Long => &self.long,
        };
        let ahead = queue.iter().take(queue.ahead(arrival.deadline)).rev();
        let known = ahead.filter_map(|entry| self.requests.get(&entry.id));
        let mut lesser = known.filter(|active| rank(&active.arrival) < rank(arrival));
        lesser.next().map(|active| active.arrival.id)
    }

    fn shed(&mut self, id: id::Request) {
        let detail = format!(
            "shed by the lane of {} for more important work",
            self.config.target
        );
        let problem = problem::Problem::not_run(problem::Kind::Shed, detail);
        let problem = problem.retry_after(self.backlog_time());
        self.refuse_waiting(id, &problem);
    }

    fn too_late(&self, arrival: &request::Arrival) -> problem::Problem {
        let wait = self.predicted_wait(arrival.class, arrival.deadline);
        let left = arrival.deadline.saturating_sub(self.now);
        let detail = format!(
            "the predicted wait for {} is {} ms and the deadline is in {} ms",
            self.config.target,
            wait.as_millis(),
            left.as_millis()
        );
        let problem = problem::Problem::not_run(problem::Kind::TooLate, detail);
        problem.retry_after(self.backlog_time())
    }

    fn queue_full(&self) -> problem::Problem {
        let detail = format!(
            "{} requests with {} bytes wait for {}",
            self.waiting(),
            self.waiting_bytes,
            self.config.target
        );
        let problem = problem::Problem::not_run(problem::Kind::QueueFull, detail);
        problem.retry_after(self.backlog_time())
    }

    /// Returns the expected time until the waiting short requests have started, in whole
    /// milliseconds and at least 1.
    fn backlog_time(&self) -> unit::Span {
        let wait = self.predicted_wait(table::Class::Short, Duration::MAX);
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        unit::Span::from_millis(millis.saturating_add(1))
    }
}
