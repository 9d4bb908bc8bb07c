//! Slow start: what a worker that has just started can do, and this router's share of it.

use super::*;

/// A worker in slow start that bears fewer calls than this may get three roots of them more, not two.
const SMALL_BUDGET: f64 = 30.0;

impl Policy {
    /// The least part that a worker can do now of what it does when warm.
    pub(super) fn capacity_fraction(&self, w: &Worker) -> f64 {
        let age = w
            .started
            .map_or(f64::MAX, |at| self.now.saturating_sub(at) as f64);
        let part = (age / (0.7 * self.config.slow_start_duration.max(1) as f64)).min(1.0);
        (self.config.slow_start_initial_capacity
            + (1.0 - self.config.slow_start_initial_capacity) * part)
            .max(0.05)
    }

    pub(super) fn capacity(&self, w: &Worker) -> f64 {
        w.weight * self.capacity_fraction(w)
    }

    pub(super) fn is_warming_up(&self, w: &Worker) -> bool {
        w.started
            .is_some_and(|at| self.now < at.saturating_add(self.config.slow_start_duration))
    }

    /// The one reader in slow start that may get this request, once: one in whose budget this router is one
    /// of few with a share, for a session of which it knows no reader, else the home of its text.
    pub(super) fn slow_start_reader(&self, r: &Request) -> Option<WorkerId> {
        let ready = || self.ready(Role::Prefill);
        let rank =
            |id: &WorkerId| xxh3_64_with_seed(id.0.as_bytes(), affinity_key(&r.spec, self.seed, 1));
        let shares = |id, w| {
            self.is_warming_up(w) && self.is_concentrated(w) && self.has_slow_start_budget(id, w)
        };
        let known = self.prefix_cache.knows_session(&r.spec);
        let one = ready().filter(|(id, w)| r.attempts.is_empty() && !known && shares(id, w));
        let one = one.max_by_key(|(id, _)| rank(id)).map(|(id, _)| id.clone());
        let home = || {
            self.rendezvous_owner(
                &r.spec,
                &ready().map(|(id, _)| id.clone()).collect::<Vec<_>>(),
            )
        };
        one.or_else(home)
            .filter(|id| r.attempts.iter().all(|a| a.worker != *id))
    }

    /// Learns what a warm worker of each role completes, as requests arrive; that stands while none is warm.
    pub(super) fn learn_rates(&mut self) {
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            let warm = || {
                self.ready(role)
                    .filter(|(_, w)| !self.is_warming_up(w))
                    .map(|(_, w)| w)
            };
            let done: f64 = warm()
                .map(|w| w.completed.value_at(self.now, LOAD_HALF_LIFE))
                .sum();
            let size: f64 = warm().map(|w| w.weight).sum();
            if size > 0.0 {
                let rate = done / size * std::f64::consts::LN_2 / LOAD_HALF_LIFE as f64;
                // Five times slower than else: one sample sums up only a few requests.
                self.learned.completions_per_us[role as usize].add(rate, EWMA_WEIGHT / 5.0);
            }
        }
    }

    /// The sends that a worker in slow start may get from all routers within `fall`: what it bears by what
    /// warm ones complete or its part of the promised, and half of what the rule puts down to chance.
    pub(super) fn slow_start_budget(&self, w: &Worker) -> f64 {
        let promised = self.tenants.values().map(|t| t.0).sum::<f64>() / 1e6;
        let role = w.role as usize;
        let each = self.learned.completions_per_us[role]
            .value_or(0.0)
            .max(promised / self.max_ready[role].max(1) as f64)
            * w.weight;
        // What it could do at the beginning of the window: how it grows is not stated.
        let age = self
            .now
            .saturating_sub(w.started.unwrap_or(0))
            .saturating_sub(self.config.overload_window);
        let age = age as f64 / self.config.slow_start_duration.max(1) as f64;
        let part = self.config.slow_start_initial_capacity
            + (1.0 - self.config.slow_start_initial_capacity) * age.min(1.0);
        let all = each * f64::from(self.config.routers) * part * self.config.overload_window as f64;
        let bears = (all * self.config.overload_factor).max(1.0);
        // Where all are in slow start nothing is drawn, so nothing is put down to chance.
        let roots = match self.ready(w.role).any(|(_, p)| !self.is_warming_up(p)) {
            false => 0.0,
            true if bears < SMALL_BUDGET => 2.0,
            true => 1.0,
        };
        bears + roots * (bears.sqrt() + 1.0)
    }

    /// Sends are counted as they are decided, and written up to a connect time-out later.
    pub(super) fn slow_start_window(&self) -> Micros {
        self.config
            .overload_window
            .max(1)
            .saturating_add(self.config.connect_timeout)
    }

    /// Whether too many routers share a worker's budget for each to have a part of it.
    pub(super) fn is_concentrated(&self, w: &Worker) -> bool {
        self.slow_start_budget(w) < f64::from(self.config.routers)
    }

    /// Whether a worker in slow start may get another send of this router: its share of the budget in a
    /// window, half of it in half of that. Of too many routers, some have one send each, in turns.
    pub(super) fn has_slow_start_budget(&self, id: &WorkerId, w: &Worker) -> bool {
        let (routers, window) = (
            f64::from(self.config.routers.max(1)),
            self.slow_start_window(),
        );
        let budget = self.slow_start_budget(w);
        let senders = budget / self.config.overload_factor.max(1.0) * window as f64
            / self.config.overload_window.max(1) as f64;
        let start = hash_to_unit(xxh3_64_with_seed(id.0.as_bytes(), w.started.unwrap_or(0)));
        let turn = |index| (f64::from(index) + self.now as f64 / window as f64) / routers + start;
        // A router without a number counts on no rest.
        let place = self.config.index.map_or(0.0, |index| turn(index).fract());
        let share = (if budget < routers {
            senders.min(budget).max(1.0)
        } else {
            budget
        } / routers
            + place) as usize;
        let room = |time, most| w.slow_start_sends.within(self.now, time) < most;
        self.now >= self.slow_start_from
            && room(window, share)
            && room(window / 2, share.div_ceil(2))
    }
}
