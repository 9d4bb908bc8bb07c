//! Slow start: the capacity of recently started workers, and this router's share of it.

use super::{EWMA_WEIGHT, LOAD_HALF_LIFE, Policy};
use crate::routing::model::{Request, Worker, affinity_key, hash_to_unit};
use crate::routing::types::{Micros, Role, WorkerId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of sends below which a budget may exceed its mean by two standard deviations; larger budgets may
/// exceed it by one.
const SMALL_BUDGET: f64 = 30.0;
/// Fraction of the slow start duration after which a worker has its full capacity.
const RAMP_FRACTION: f64 = 0.7;
/// Lower bound of the estimated capacity fraction.
const MIN_CAPACITY_FRACTION: f64 = 0.05;
/// Factor by which completion rates are averaged more slowly than other estimates, because each sample covers
/// only a few requests.
const RATE_SMOOTHING: f64 = 5.0;

impl Policy {
    /// Minimum fraction of its warm capacity that a worker has now.
    pub(super) fn capacity_fraction(&self, worker: &Worker) -> f64 {
        let age = worker
            .started
            .map_or(f64::MAX, |at| self.now.saturating_sub(at) as f64);
        let ramp = RAMP_FRACTION * self.config.slow_start_duration.max(1) as f64;
        let initial = self.config.slow_start_initial_capacity;
        let fraction = initial + (1.0 - initial) * (age / ramp).min(1.0);
        fraction.max(MIN_CAPACITY_FRACTION)
    }

    /// A worker's current capacity, relative to a warm worker of weight 1.
    pub(super) fn capacity(&self, worker: &Worker) -> f64 {
        worker.weight * self.capacity_fraction(worker)
    }

    /// Whether a worker is in slow start.
    pub(super) fn is_warming_up(&self, worker: &Worker) -> bool {
        worker
            .started
            .is_some_and(|at| self.now < at.saturating_add(self.config.slow_start_duration))
    }

    /// The only prefill worker in slow start that may get this request, in at most one of its attempts. For
    /// the first attempt of a request whose session is not cached anywhere, it is a worker whose small budget
    /// is currently granted to this router; otherwise it is the owner of the prefix.
    pub(super) fn slow_start_prefill_worker(&self, request: &Request) -> Option<WorkerId> {
        let key = affinity_key(&request.spec, self.seed, 1);
        let is_first = request.attempts.is_empty();
        let picked = (self.ready_workers(Role::Prefill))
            .filter(|(id, worker)| {
                is_first
                    && !self.prefix_cache.has_session(&request.spec)
                    && self.is_warming_up(worker)
                    && self.is_budget_concentrated(worker)
                    && self.has_slow_start_budget(id, worker)
            })
            .max_by_key(|(id, _)| xxh3_64_with_seed(id.0.as_bytes(), key))
            .map(|(id, _)| id.clone());
        let owner = || {
            let ready: Vec<WorkerId> = (self.ready_workers(Role::Prefill))
                .map(|(id, _)| id.clone())
                .collect();
            self.rendezvous_owner(&request.spec, &ready)
        };
        picked
            .or_else(owner)
            .filter(|id| request.attempts.iter().all(|attempt| attempt.worker != *id))
    }

    /// Updates the completion rate of a warm worker of each role; called when a request arrives. A rate is
    /// kept while no worker of the role is warm.
    pub(super) fn learn_completion_rates(&mut self) {
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            let warm = || {
                self.ready_workers(role)
                    .filter(|(_, worker)| !self.is_warming_up(worker))
                    .map(|(_, worker)| worker)
            };
            let completions: f64 = warm()
                .map(|worker| worker.completions.value_at(self.now, LOAD_HALF_LIFE))
                .sum();
            let weight: f64 = warm().map(|worker| worker.weight).sum();
            if weight > 0.0 {
                let rate = completions / weight * std::f64::consts::LN_2 / LOAD_HALF_LIFE as f64;
                self.learned.completions_per_us[role].add(rate, EWMA_WEIGHT / RATE_SMOOTHING);
            }
        }
    }

    /// Number of sends that a worker in slow start may get from all routers within the overload window: its
    /// fraction of what a warm worker completes, or of its share of the tenants' quotas if that is more, plus
    /// an allowance for random fluctuation.
    pub(super) fn slow_start_budget(&self, worker: &Worker) -> f64 {
        let quota_per_us = self.quotas.total_rate_per_s() / 1e6;
        let per_worker = self.learned.completions_per_us[worker.role]
            .value_or(0.0)
            .max(quota_per_us / self.max_ready[worker.role].max(1) as f64)
            * worker.weight;
        // Uses the capacity at the start of the window, since the growth within it is not specified.
        let age = self
            .now
            .saturating_sub(worker.started.unwrap_or(0))
            .saturating_sub(self.config.overload_window);
        let age_fraction = age as f64 / self.config.slow_start_duration.max(1) as f64;
        let initial = self.config.slow_start_initial_capacity;
        let capacity_fraction = initial + (1.0 - initial) * age_fraction.min(1.0);
        let expected = per_worker
            * f64::from(self.config.routers)
            * capacity_fraction
            * self.config.overload_window as f64;
        let mean = (expected * self.config.overload_factor).max(1.0);
        let any_warm = self
            .ready_workers(worker.role)
            .any(|(_, peer)| !self.is_warming_up(peer));
        // If all workers are in slow start, sends are not placed at random, and no allowance is needed.
        let deviations = if !any_warm {
            0.0
        } else if mean < SMALL_BUDGET {
            2.0
        } else {
            1.0
        };
        mean + deviations * (mean.sqrt() + 1.0)
    }

    /// Window in which sends count against the slow start budget. It is a connect timeout longer than the
    /// overload window, because sends are counted when they are decided and may be written a connect timeout
    /// later.
    pub(super) fn slow_start_window(&self) -> Micros {
        self.config
            .overload_window
            .max(1)
            .saturating_add(self.config.connect_timeout)
    }

    /// Whether a worker's budget has fewer sends than there are routers, so that only some routers get one.
    pub(super) fn is_budget_concentrated(&self, worker: &Worker) -> bool {
        self.slow_start_budget(worker) < f64::from(self.config.routers)
    }

    /// Whether this router may send once more to a worker in slow start. It may use its share of the budget
    /// per window, and half of it per half window. If the budget has fewer sends than there are routers,
    /// routers take turns with one send each.
    pub(super) fn has_slow_start_budget(&self, id: &WorkerId, worker: &Worker) -> bool {
        let routers = f64::from(self.config.routers.max(1));
        let window = self.slow_start_window();
        let budget = self.slow_start_budget(worker);
        let overload_window = self.config.overload_window.max(1) as f64;
        let sending_routers =
            budget / self.config.overload_factor.max(1.0) * window as f64 / overload_window;
        let all_routers_share = if budget < routers {
            sending_routers.min(budget).max(1.0)
        } else {
            budget
        };
        let share = (all_routers_share / routers + self.turn_position(id, worker)) as usize;
        let sends_within = |window| worker.recent_sends.count_within(self.now, window);
        self.now >= self.slow_start_from
            && sends_within(window) < share
            && sends_within(window / 2) < share.div_ceil(2)
    }

    /// This router's current position, from 0 to 1, in the order in which routers take turns at a worker.
    /// Without a configured index it is 0, and the router never gets a fractional send.
    fn turn_position(&self, id: &WorkerId, worker: &Worker) -> f64 {
        let Some(index) = self.config.index else {
            return 0.0;
        };
        let routers = f64::from(self.config.routers.max(1));
        let windows = self.now as f64 / self.slow_start_window() as f64;
        let seed = worker.started.unwrap_or(0);
        let offset = hash_to_unit(xxh3_64_with_seed(id.0.as_bytes(), seed));
        ((f64::from(index) + windows) / routers + offset).fract()
    }
}
