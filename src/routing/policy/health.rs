//! Which workers may be used: what their answers, failures and silences say of them.

use super::*;

impl Policy {
    pub(super) fn record_load_report(&mut self, worker: &WorkerId, report: Option<LoadReport>) {
        if let (Some(w), Some(report)) = (self.workers.get_mut(worker), report) {
            w.report = Some((self.now, without_invalid_values(report)));
        }
    }

    pub(super) fn record_success(&mut self, worker: &WorkerId, sent: Micros, class: usize) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.answers.entry(class).or_default()[1].add(self.now, LOAD_HALF_LIFE, 1.0);
            w.last_success_at = self.now;
            w.faults[1].add(self.now, PREFIX_TTL, 1.0);
            w.latest_answered_send = w.latest_answered_send.max(sent);
            w.unreachable = false;
            w.completed.add(self.now, LOAD_HALF_LIFE, 1.0);
            w.failure_rate *= EJECTION_THRESHOLD;
            if w.failure_rate < EJECTION_THRESHOLD {
                (w.ejections_in_a_row, w.ejected_until) = (0, 0);
            }
        }
    }

    /// Failures set a worker aside for a few connection time-outs, twice as long after each failed trial.
    pub(super) fn record_failure(&mut self, worker: &WorkerId, sent: Micros) {
        let (now, base) = (
            self.now,
            self.config.connect_timeout.max(self.config.batch_interval) * 4,
        );
        if let Some(w) = self.workers.get_mut(worker) {
            w.failure_rate += (1.0 - w.failure_rate) * EJECTION_THRESHOLD;
            if (w.failure_rate > EJECTION_THRESHOLD || w.unreachable) && sent >= w.ejected_until {
                w.ejected_until = now + (base << w.ejections_in_a_row);
                w.ejections_in_a_row = (w.ejections_in_a_row + 1).min(MAX_BACKOFF_DOUBLINGS);
            }
        }
    }

    pub(super) fn latency_factor(&self, worker: &WorkerId) -> f64 {
        let Some(w) = self.workers.get(worker) else {
            return 1.0;
        };
        let slow = w.latency_factor.value_or(1.0)
            / self.learned.median_latency_factor[w.role as usize].max(0.1);
        // Ordinary differences between workers are noise here.
        (if slow < 1.5 { 1.0 } else { slow }).max(1.0 / self.capacity_fraction(w))
    }

    pub(super) fn learn_median_latency_factor(&mut self, role: Role) {
        let peers = self.workers.values().filter(|p| p.role == role);
        self.learned.median_latency_factor[role as usize] =
            median(peers.map(|p| p.latency_factor.value_or(1.0)));
    }

    pub(super) fn ready(&self, role: Role) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers
            .iter()
            .filter(move |(_, w)| w.role == role && w.status == Status::Ready)
    }

    /// Zones of which nothing has come since several workers there could not be reached. Guards against a try
    /// at each of them by each of many routers, before the list tells of it.
    pub(super) fn unreachable_zones(&self) -> BTreeSet<&str> {
        let mut seen = BTreeMap::<&str, (u32, Micros, Micros)>::new();
        for w in self.workers.values() {
            let (count, last, good) = seen.entry(&w.zone).or_default();
            let fresh = w
                .connect_failed_at
                .filter(|at| at + 2 * LOAD_HALF_LIFE > self.now);
            *count += u32::from(fresh.is_some());
            (*last, *good) = (
                (*last).max(fresh.unwrap_or(0)),
                (*good).max(w.last_success_at),
            );
        }
        seen.into_iter()
            .filter(|(_, (n, last, good))| *n > 1 && good < last)
            .map(|(zone, _)| zone)
            .collect()
    }

    /// The workers of a role that may be sent this request now, healthy ones first.
    pub(super) fn usable(&self, role: Role, id: RequestId) -> Vec<WorkerId> {
        let request = self.requests.get(&id);
        let any_warm = self.ready(role).any(|(_, w)| !self.is_warming_up(w));
        let turn = request
            .filter(|_| role == Role::Prefill && any_warm)
            .map(|r| self.slow_start_reader(r));
        let mut ready: Vec<(&WorkerId, &Worker)> = (self.ready(role))
            .filter(|(_, w)| request.is_none_or(|r| !r.may_have_run() || self.may_repeat_at(r, w)))
            .filter(|(id, w)| {
                !self.is_warming_up(w)
                    || self.has_slow_start_budget(id, w)
                        && turn.as_ref().is_none_or(|t| t.as_ref() == Some(id))
            })
            .collect();
        let reached = ready.iter().filter(|(_, w)| !w.unreachable).count();
        let kind = request.map(|r| (r.class, r.spec.tenant.clone()));
        let full = |w: &Worker| kind.as_ref().is_some_and(|k| w.is_full(k, self.now));
        retain_preferred(&mut ready, |(_, w)| !full(w));
        // Another one than those that have just failed it, and out of zones that seem lost.
        let lost = self.unreachable_zones();
        retain_preferred(&mut ready, |(_, w)| !lost.contains(&*w.zone));
        retain_preferred(&mut ready, |(id, _)| {
            request.is_none_or(|r| !r.failed_at(id))
        });
        if request.is_some_and(Request::is_hold_expiring) {
            // Where something just came from, as from the state's reader: a zone may be cut off.
            let just = self
                .workers
                .values()
                .filter(|w| w.answered_within(self.now, self.config.kv_state_hold_limit));
            let zones: BTreeSet<&str> = just.map(|w| &*w.zone).collect();
            retain_preferred(&mut ready, |(_, w)| zones.contains(&*w.zone));
            retain_preferred(&mut ready, |(_, w)| {
                w.answered_within(self.now, 2 * LOAD_HALF_LIFE)
            });
        }
        let healthy: Vec<WorkerId> = (ready.iter())
            .filter(|(id, w)| {
                // A trial is out, or an answer is overdue and nothing good has come since: hung, cut off.
                let on_trial = w.failure_rate > EJECTION_THRESHOLD || w.unreachable;
                let bad = |a: &Attempt| {
                    on_trial || a.due_at <= self.now && w.last_success_at <= a.sent_at
                };
                w.ejected_until <= self.now
                    && !self
                        .in_flight_at(id)
                        .any(|a| a.first_token_at.is_none() && bad(a))
            })
            .map(|(id, _)| (*id).clone())
            .collect();
        // When most of a role looks bad the cause is elsewhere (a link, the load), and all are used again.
        // Those that can't be reached stay out all the same, but for their trials, while any other is left.
        if healthy.len() * 2 >= reached && !healthy.is_empty() {
            return healthy;
        }
        // Writers that read by themselves stand in for readers of which none can be reached.
        let stand_in = role == Role::Prefill && self.config.decode_workers_prefill;
        let all = ready
            .iter()
            .filter(|(id, w)| !w.unreachable || reached == 0 && !stand_in || healthy.contains(id));
        all.map(|(id, _)| (*id).clone()).collect()
    }
}
