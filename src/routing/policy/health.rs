//! Worker health: outlier ejection, unreachable workers and zones, and the selection of workers that are
//! usable for a request.

use super::{EJECTION_THRESHOLD, LOAD_HALF_LIFE, MAX_BACKOFF_DOUBLINGS, PREFIX_TTL, Policy};
use crate::routing::model::{
    Attempt, CapacityKey, Request, Worker, median, retain_preferred, without_invalid_values,
};
use crate::routing::types::{LoadReport, Micros, RequestId, Role, Status, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Duration of the first ejection, in connect timeouts.
const BASE_EJECTION_CONNECT_TIMEOUTS: Micros = 4;
/// Latency factor below which a worker counts as normal, since workers differ by as much.
const MIN_LATENCY_FACTOR: f64 = 1.5;
/// Time for which a failed connection counts as evidence against the worker's zone, and an answer as evidence
/// that the worker is reachable.
const REACHABILITY_WINDOW: Micros = 2 * LOAD_HALF_LIFE;

/// Recent connect failures and answers of the workers of one zone.
#[derive(Default)]
struct ZoneReachability {
    recent_connect_failures: u32,
    last_connect_failure: Micros,
    last_success: Micros,
}

impl Policy {
    pub(super) fn record_load_report(&mut self, worker: &WorkerId, report: Option<LoadReport>) {
        if let (Some(worker), Some(report)) = (self.workers.get_mut(worker), report) {
            worker.report = Some((self.now, without_invalid_values(report)));
        }
    }

    /// Records that a worker has answered an attempt successfully. `class` is the index of the request's
    /// class.
    pub(super) fn record_success(&mut self, worker: &WorkerId, sent_at: Micros, class: usize) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        let answers = worker.answers_by_class.entry(class).or_default();
        answers.successes.add(now, LOAD_HALF_LIFE, 1.0);
        worker.last_success_at = now;
        worker.outcomes.successes.add(now, PREFIX_TTL, 1.0);
        worker.latest_answered_send = worker.latest_answered_send.max(sent_at);
        worker.unreachable = false;
        worker.completions.add(now, LOAD_HALF_LIFE, 1.0);
        worker.failure_rate *= EJECTION_THRESHOLD;
        if worker.failure_rate < EJECTION_THRESHOLD {
            worker.ejections_in_a_row = 0;
            worker.ejected_until = 0;
        }
    }

    /// Records that an attempt at a worker has failed. Ejects the worker for a few connect timeouts if most
    /// of its recent attempts failed. Each failed trial after an ejection doubles the duration of the next
    /// one.
    pub(super) fn record_failure(&mut self, worker: &WorkerId, sent_at: Micros) {
        let connect_timeout = self.config.connect_timeout.max(self.config.batch_interval);
        let base_ejection_time = connect_timeout * BASE_EJECTION_CONNECT_TIMEOUTS;
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        worker.failure_rate += (1.0 - worker.failure_rate) * EJECTION_THRESHOLD;
        let is_outlier = worker.failure_rate > EJECTION_THRESHOLD || worker.unreachable;
        if is_outlier && sent_at >= worker.ejected_until {
            worker.ejected_until = self.now + (base_ejection_time << worker.ejections_in_a_row);
            worker.ejections_in_a_row = (worker.ejections_in_a_row + 1).min(MAX_BACKOFF_DOUBLINGS);
        }
    }

    /// Ratio of a worker's latency to the median of its role, 1 for normal workers. At least the slowdown
    /// that slow start explains.
    pub(super) fn latency_factor(&self, worker: &WorkerId) -> f64 {
        let Some(worker) = self.workers.get(worker) else {
            return 1.0;
        };
        let median = self.learned.median_latency_factor[worker.role];
        let factor = worker.latency_factor.value_or(1.0) / median.max(0.1);
        let factor = if factor < MIN_LATENCY_FACTOR {
            1.0
        } else {
            factor
        };
        factor.max(1.0 / self.capacity_fraction(worker))
    }

    pub(super) fn learn_median_latency_factor(&mut self, role: Role) {
        let peers = self.workers.values().filter(|worker| worker.role == role);
        self.learned.median_latency_factor[role] =
            median(peers.map(|worker| worker.latency_factor.value_or(1.0)));
    }

    /// The workers of a role that are listed as ready, whatever their health.
    pub(super) fn ready_workers(&self, role: Role) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers
            .iter()
            .filter(move |(_, worker)| worker.role == role && worker.status == Status::Ready)
    }

    /// Zones in which connections to several workers failed and no worker has answered since. Without this,
    /// each of many routers would try every worker of a lost zone until the endpoint list reports the loss.
    fn unreachable_zones(&self) -> BTreeSet<&str> {
        let mut zones = BTreeMap::<&str, ZoneReachability>::new();
        for worker in self.workers.values() {
            let zone = zones.entry(&worker.zone).or_default();
            let recent_failure = worker
                .connect_failed_at
                .filter(|at| at + REACHABILITY_WINDOW > self.now);
            zone.recent_connect_failures += u32::from(recent_failure.is_some());
            zone.last_connect_failure = zone.last_connect_failure.max(recent_failure.unwrap_or(0));
            zone.last_success = zone.last_success.max(worker.last_success_at);
        }
        zones
            .into_iter()
            .filter(|(_, zone)| {
                zone.recent_connect_failures > 1 && zone.last_success < zone.last_connect_failure
            })
            .map(|(name, _)| name)
            .collect()
    }

    /// The workers of a role that may be sent this request now. Ejected and suspect workers are left out as
    /// long as enough others remain.
    pub(super) fn usable_workers(&self, role: Role, id: RequestId) -> Vec<WorkerId> {
        let request = self.requests.get(&id);
        let mut ready = self.permitted_workers(role, request);
        let reachable_count = ready
            .iter()
            .filter(|(_, worker)| !worker.unreachable)
            .count();
        self.retain_preferred_workers(&mut ready, request);
        let healthy: Vec<WorkerId> = (ready.iter())
            .filter(|(id, worker)| self.is_healthy(id, worker))
            .map(|(id, _)| (*id).clone())
            .collect();
        // If most workers of a role look unhealthy, the cause is elsewhere (a link, or the load), and all are
        // used. Unreachable workers are still sent only trials as long as another worker is left.
        if healthy.len() * 2 >= reachable_count && !healthy.is_empty() {
            return healthy;
        }
        // Decode workers that prefill can replace unreachable prefill workers.
        let has_substitute = role == Role::Prefill && self.config.decode_workers_prefill;
        let may_use_unreachable = reachable_count == 0 && !has_substitute;
        ready
            .iter()
            .filter(|(id, worker)| {
                !worker.unreachable || may_use_unreachable || healthy.contains(id)
            })
            .map(|(id, _)| (*id).clone())
            .collect()
    }

    /// The ready workers of a role that the rules for retries and slow start permit for a request.
    fn permitted_workers(
        &self,
        role: Role,
        request: Option<&Request>,
    ) -> Vec<(&WorkerId, &Worker)> {
        let any_warm = self
            .ready_workers(role)
            .any(|(_, worker)| !self.is_warming_up(worker));
        // If any prefill worker is warm, a request may go to at most one of those in slow start.
        let slow_start_pick = request
            .filter(|_| role == Role::Prefill && any_warm)
            .map(|request| self.slow_start_prefill_worker(request));
        let may_retry = |worker: &Worker| {
            request.is_none_or(|request| {
                !request.may_have_run() || self.may_repeat_at(request, worker)
            })
        };
        let may_use_in_slow_start = |id: &WorkerId, worker: &Worker| {
            self.has_slow_start_budget(id, worker)
                && slow_start_pick
                    .as_ref()
                    .is_none_or(|pick| pick.as_ref() == Some(id))
        };
        self.ready_workers(role)
            .filter(|(id, worker)| {
                may_retry(worker)
                    && (!self.is_warming_up(worker) || may_use_in_slow_start(id, worker))
            })
            .collect()
    }

    /// Removes workers that are likely to fail this request, unless no worker would be left.
    fn retain_preferred_workers(
        &self,
        workers: &mut Vec<(&WorkerId, &Worker)>,
        request: Option<&Request>,
    ) {
        if let Some(request) = request {
            let key = CapacityKey {
                class: request.class,
                tenant: request.spec.tenant.clone(),
            };
            retain_preferred(workers, |(_, worker)| !worker.is_full(&key, self.now));
        }
        let unreachable_zones = self.unreachable_zones();
        retain_preferred(workers, |(_, worker)| {
            !unreachable_zones.contains(&*worker.zone)
        });
        let Some(request) = request else {
            return;
        };
        retain_preferred(workers, |(id, _)| !request.failed_at(id));
        if request.is_hold_expiring() {
            // Prefer zones that have answered within the hold limit, such as that of the KV state's holder,
            // because others may be cut off.
            let hold_limit = self.config.kv_state_hold_limit;
            let answering_zones: BTreeSet<&str> = (self.workers.values())
                .filter(|worker| worker.answered_within(self.now, hold_limit))
                .map(|worker| &*worker.zone)
                .collect();
            retain_preferred(workers, |(_, worker)| {
                answering_zones.contains(&*worker.zone)
            });
            retain_preferred(workers, |(_, worker)| {
                worker.answered_within(self.now, REACHABILITY_WINDOW)
            });
        }
    }

    /// Whether a worker is healthy. It is not while it is ejected, while it is on trial and already has an
    /// attempt in flight, or while an answer is overdue and no success has arrived since that attempt's send
    /// (the worker may hang or be cut off).
    fn is_healthy(&self, id: &WorkerId, worker: &Worker) -> bool {
        let is_on_trial = worker.failure_rate > EJECTION_THRESHOLD || worker.unreachable;
        let is_overdue = |attempt: &Attempt| {
            attempt.due_at <= self.now && worker.last_success_at <= attempt.sent_at
        };
        let is_suspect = |attempt: &Attempt| {
            attempt.first_token_at.is_none() && (is_on_trial || is_overdue(attempt))
        };
        worker.ejected_until <= self.now && !self.in_flight_at(id).any(is_suspect)
    }
}
