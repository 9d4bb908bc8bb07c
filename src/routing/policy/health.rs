//! Health of workers: outlier ejection, unreachable workers and zones, and which workers are usable for a
//! request.

use super::{EJECTION_THRESHOLD, LOAD_HALF_LIFE, MAX_BACKOFF_DOUBLINGS, PREFIX_TTL, Policy};
use crate::routing::model::{
    Attempt, CapacityKey, Request, Worker, median, retain_preferred, without_invalid_values,
};
use crate::routing::types::{LoadReport, Micros, RequestId, Role, Status, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// First ejection time in connect timeouts.
const EJECTION_CONNECT_TIMEOUTS: Micros = 4;
/// Latency factors below this are ordinary differences between workers.
const MIN_LATENCY_FACTOR: f64 = 1.5;
/// How long a failed connection counts against the worker's zone, and an answer for the worker.
const REACHABILITY_WINDOW: Micros = 2 * LOAD_HALF_LIFE;

/// Connect failures and answers of one zone's workers.
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

    /// A worker has answered an attempt of a class (by index) well.
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
        worker.completed.add(now, LOAD_HALF_LIFE, 1.0);
        worker.failure_rate *= EJECTION_THRESHOLD;
        if worker.failure_rate < EJECTION_THRESHOLD {
            worker.ejections_in_a_row = 0;
            worker.ejected_until = 0;
        }
    }

    /// A worker has failed an attempt. Ejects it for a few connect timeouts when most recent attempts
    /// failed, twice as long after each failed trial.
    pub(super) fn record_failure(&mut self, worker: &WorkerId, sent_at: Micros) {
        let connect_timeout = self.config.connect_timeout.max(self.config.batch_interval);
        let ejection_time = connect_timeout * EJECTION_CONNECT_TIMEOUTS;
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        worker.failure_rate += (1.0 - worker.failure_rate) * EJECTION_THRESHOLD;
        let is_outlier = worker.failure_rate > EJECTION_THRESHOLD || worker.unreachable;
        if is_outlier && sent_at >= worker.ejected_until {
            worker.ejected_until = self.now + (ejection_time << worker.ejections_in_a_row);
            worker.ejections_in_a_row = (worker.ejections_in_a_row + 1).min(MAX_BACKOFF_DOUBLINGS);
        }
    }

    /// How much longer a worker takes than its peers, 1 for ordinary ones; warming up counts as well.
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

    pub(super) fn ready(&self, role: Role) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers
            .iter()
            .filter(move |(_, worker)| worker.role == role && worker.status == Status::Ready)
    }

    /// Zones without an answer since connections to several of their workers failed. Guards against many
    /// routers each trying every worker of a lost zone before the endpoint list says so.
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

    /// The workers of a role that may be sent this request now, without ejected and suspect ones while
    /// enough others are left.
    pub(super) fn usable(&self, role: Role, id: RequestId) -> Vec<WorkerId> {
        let request = self.requests.get(&id);
        let mut ready = self.permitted(role, request);
        let reachable = ready.iter().filter(|(_, w)| !w.unreachable).count();
        self.retain_preferred_workers(&mut ready, request);
        let healthy: Vec<WorkerId> = (ready.iter())
            .filter(|(id, worker)| self.is_healthy(id, worker))
            .map(|(id, _)| (*id).clone())
            .collect();
        // When most of a role looks bad, the cause is elsewhere (a link, the load), and all are used again.
        // Unreachable ones still get nothing but trials while any other worker is left.
        if healthy.len() * 2 >= reachable && !healthy.is_empty() {
            return healthy;
        }
        // Decode workers that prefill replace unreachable prefill workers.
        let has_substitute = role == Role::Prefill && self.config.decode_workers_prefill;
        let may_use_unreachable = reachable == 0 && !has_substitute;
        ready
            .iter()
            .filter(|(id, worker)| {
                !worker.unreachable || may_use_unreachable || healthy.contains(id)
            })
            .map(|(id, _)| (*id).clone())
            .collect()
    }

    /// The ready workers of a role that the rules on retries and on slow start allow for a request.
    fn permitted(&self, role: Role, request: Option<&Request>) -> Vec<(&WorkerId, &Worker)> {
        let any_warm = self
            .ready(role)
            .any(|(_, worker)| !self.is_warming_up(worker));
        // Of the prefill workers in slow start, at most one may get a given request while others are warm.
        let only_warming_up = request
            .filter(|_| role == Role::Prefill && any_warm)
            .map(|request| self.slow_start_prefill_worker(request));
        let may_retry = |worker: &Worker| {
            request.is_none_or(|request| {
                !request.may_have_run() || self.may_repeat_at(request, worker)
            })
        };
        let may_start_slowly = |id: &WorkerId, worker: &Worker| {
            self.has_slow_start_budget(id, worker)
                && only_warming_up
                    .as_ref()
                    .is_none_or(|only| only.as_ref() == Some(id))
        };
        self.ready(role)
            .filter(|(id, worker)| {
                may_retry(worker) && (!self.is_warming_up(worker) || may_start_slowly(id, worker))
            })
            .collect()
    }

    /// Drops workers that are likely to fail this request, unless none would be left.
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
            // Zones that have just answered, such as that of the KV state's holder: another may be cut off.
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

    /// Whether a worker is neither ejected nor on trial with an attempt in flight, nor overdue with an
    /// answer while nothing good has come since (hung, cut off).
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
