//! Routing decisions. Configuration, events and actions: `src/routing/types.rs`. Rationale:
//! `docs/design.md`.
//!
//! The ordinary path is Preble's E2 (exploit a cached prefix, else explore by load); everything else
//! handles a failure mode that its comment names.

mod admission;
pub(crate) mod call_permit;
pub(crate) mod close_permit;
mod decode_placement;
mod health;
pub(crate) mod kv_state;
mod membership;
mod outcomes;
mod placement;
pub(crate) mod send_permit;
mod sending;
mod slow_start;

use crate::routing::model::{
    DecodeTimeouts, LearnedRates, PerRole, Phase, PrefixTable, Request, TenantQuotas,
    TimeoutBackoff, Worker, merge_classes,
};
use crate::routing::types::{
    Action, EndReason, Event, Micros, ReleaseReason, RequestId, RoutingConfig, TimerId, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// A prefix last sent to a prefill worker this long ago no longer counts as cached there.
const PREFIX_TTL: Micros = 30_000_000;
/// A prefill worker whose load exceeds this multiple of the mean is not picked for its cached prefix.
const MAX_LOAD_IMBALANCE: f64 = 2.0;
/// Weight of a new sample in the moving averages: about ten samples count, enough to outlast one outlier.
const EWMA_WEIGHT: f64 = 0.1;
/// Share of the time-to-first-token objective for one stage; the remaining third leaves room for a retry.
const STAGE_SHARE: f64 = 1.0 / 3.0;
/// Failure rate above which a worker is ejected.
const EJECTION_THRESHOLD: f64 = 0.5;
/// Largest exponent of a doubling backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Sweeps within the KV state hold limit: often enough that no hold comes near it.
const SWEEPS_PER_HOLD_LIMIT: Micros = 12;
/// Shortest interval between sweeps, unless the batch interval is longer.
const MIN_SWEEP_INTERVAL: Micros = 1_000;
/// Longest interval between sweeps.
const MAX_SWEEP_INTERVAL: Micros = 100_000;
/// Half-life of load reports and of recent outcomes: workers queue for seconds before they reject.
const LOAD_HALF_LIFE: Micros = 2_000_000;
/// Half-life of stream statistics: streams last for seconds.
const STREAM_HALF_LIFE: Micros = 4 * LOAD_HALF_LIFE;
/// With more queued requests than this, dispatching is batched.
const MAX_QUEUED_FOR_IMMEDIATE_DISPATCH: usize = 16;
/// Delay of a batched dispatch: far less than a request takes, far more than one pass over the queue.
const DISPATCH_DELAY: Micros = 10_000;
/// Timer of the periodic sweep.
const SWEEP_TIMER: TimerId = TimerId(1);
/// Timer of a batched dispatch.
const DISPATCH_TIMER: TimerId = TimerId(2);

/// The timers that are set.
#[derive(Default)]
struct Timers {
    is_sweep_scheduled: bool,
    is_dispatch_scheduled: bool,
}

/// Retries of the endpoint list's subscription.
#[derive(Default)]
struct EndpointFetch {
    /// Failures in a row.
    failures: u32,
    /// When to try again.
    due: Option<Micros>,
}

/// The routing decisions of one router: a state machine without I/O.
#[derive(Default)]
pub struct Policy {
    config: RoutingConfig,
    seed: u64,
    now: Micros,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    requests: BTreeMap<RequestId, Request>,
    /// The attempts without an outcome at each worker, as indices into their request's attempts.
    in_flight: BTreeMap<WorkerId, BTreeSet<(RequestId, usize)>>,
    prefix_cache: PrefixTable,
    quotas: TenantQuotas,
    learned: LearnedRates,
    decode_timeouts: DecodeTimeouts,
    timeout_backoff: TimeoutBackoff,
    /// Largest number of workers of each role seen ready at once.
    max_ready: PerRole<usize>,
    /// Nothing goes to workers in slow start before: a predecessor process may have sent to them.
    slow_start_from: Micros,
    timers: Timers,
    endpoint_fetch: EndpointFetch,
}

impl Policy {
    /// A router that knows no workers yet. `seed` makes its random draws differ from those of its peers.
    pub fn new(config: RoutingConfig, seed: u64) -> Self {
        let mut policy = Policy {
            seed,
            slow_start_from: Micros::MAX,
            ..Policy::default()
        };
        policy.update_config(config);
        policy
    }

    /// Applies a new configuration. Requests in flight keep their class and their number of attempts.
    pub fn update_config(&mut self, config: RoutingConfig) {
        self.quotas.update_config(&config);
        // Both are keyed by class index, which may now mean another class.
        for worker in self.workers.values_mut() {
            worker.answers_by_class.clear();
            worker.full_until.clear();
        }
        let requests = self.requests.values_mut();
        self.config = RoutingConfig {
            classes: merge_classes(&self.config.classes, &config.classes, requests),
            ..config
        };
    }

    /// Processes one event and appends the resulting actions. `now` never runs backwards: an earlier time
    /// counts as the latest one seen.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let may_free_capacity = matches!(
            event,
            Event::AttemptCompleted(_)
                | Event::StreamStarted { .. }
                | Event::EndpointsUpdated { .. }
                | Event::HealthCheckCompleted { .. }
        );
        match event {
            Event::EndpointsUpdated {
                update: kind,
                endpoints: entries,
            } => self.apply_endpoints(kind, entries),
            Event::RequestArrived(spec) => self.on_request_arrived(spec, out),
            Event::StreamStarted {
                request,
                attempt,
                elapsed,
            } => self.on_stream_started(request, attempt, elapsed),
            Event::AttemptCompleted(completed) => self.on_attempt_completed(completed, out),
            Event::ClientDisconnected { request } => self.close(request, out),
            Event::Timer(SWEEP_TIMER) => self.on_sweep_timer(out),
            Event::Timer(DISPATCH_TIMER) => {
                self.timers.is_dispatch_scheduled = false;
                self.dispatch_queued(false, out);
            }
            Event::HealthCheckCompleted { worker, report, .. } => {
                self.record_load_report(&worker, report);
            }
            Event::SlowStart { allowed } => {
                let from = now.saturating_add(self.slow_start_window());
                self.slow_start_from = if allowed { from } else { Micros::MAX };
            }
            // Routers don't gossip, and reserve no capacity: the decode worker is picked after the prefill.
            Event::Timer(_) | Event::ReservationResult { .. } | Event::GossipReceived { .. } => {}
        }
        if may_free_capacity {
            self.schedule_dispatch(out);
        }
        let needs_sweep = !self.requests.is_empty() || self.endpoint_fetch.due.is_some();
        if !self.timers.is_sweep_scheduled && needs_sweep {
            self.timers.is_sweep_scheduled = true;
            out.push(Action::Timer {
                at: self.now + self.sweep_interval(),
                timer: SWEEP_TIMER,
            });
        }
    }

    fn sweep_interval(&self) -> Micros {
        let shortest = self.config.batch_interval.max(MIN_SWEEP_INTERVAL);
        (self.config.kv_state_hold_limit / SWEEPS_PER_HOLD_LIMIT)
            .clamp(shortest, MAX_SWEEP_INTERVAL)
    }

    /// Handles what only time changes: overdue attempts, KV state holds, queued requests, cache entries,
    /// retries of the subscription.
    fn on_sweep_timer(&mut self, out: &mut Vec<Action>) {
        self.timers.is_sweep_scheduled = false;
        if self.endpoint_fetch.due.is_some_and(|due| due <= self.now) {
            self.endpoint_fetch.due = None;
            out.push(Action::Subscribe);
        }
        self.prefix_cache
            .expire(self.now.saturating_sub(PREFIX_TTL));
        self.dispatch_queued(true, out);
    }

    /// Dispatches the queue: at once while it is short, else batched. Guards against a process that spends
    /// all of its time on passes over a long queue, one for each completed attempt.
    fn schedule_dispatch(&mut self, out: &mut Vec<Action>) {
        let queued = self
            .requests
            .values()
            .filter(|request| matches!(request.phase, Phase::Queued | Phase::AwaitingDecode))
            .count();
        if queued <= MAX_QUEUED_FOR_IMMEDIATE_DISPATCH {
            return self.dispatch_queued(false, out);
        }
        if !self.timers.is_dispatch_scheduled {
            self.timers.is_dispatch_scheduled = true;
            out.push(Action::Timer {
                at: self.now + DISPATCH_DELAY,
                timer: DISPATCH_TIMER,
            });
        }
    }

    /// Advances queued requests, those with KV state first, then by priority weight; with
    /// `include_in_flight` also those whose attempt may be overdue.
    fn dispatch_queued(&mut self, include_in_flight: bool, out: &mut Vec<Action>) {
        let mut queue = Vec::new();
        for (id, request) in &self.requests {
            let weight = match request.phase {
                Phase::AwaitingDecode => f64::MAX,
                Phase::Queued => self.priority_weight(request),
                Phase::Prefilling | Phase::DecodeRequested if include_in_flight => {
                    self.priority_weight(request)
                }
                _ => continue,
            };
            queue.push((*id, weight));
        }
        queue.sort_by(|(id, weight), (other_id, other_weight)| {
            other_weight.total_cmp(weight).then(id.cmp(other_id))
        });
        for (id, _) in queue {
            self.advance(id, out);
        }
    }

    /// Takes a request as far as it can go now.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let margin = 2 * self.sweep_interval();
        let is_deadline_near = self.now + margin >= request.spec.deadline;
        // Of unknown fate, and no worker may repeat it: waiting gains its client nothing.
        let may_retry = !request.may_have_run()
            || self
                .workers
                .values()
                .any(|worker| self.may_repeat_at(request, worker));
        match request.phase {
            Phase::Streaming | Phase::Done => {}
            // The attempt's timeout is capped at the deadline; its outcome comes within the response grace.
            Phase::Prefilling if self.now < request.spec.deadline => {}
            Phase::DecodeRequested if self.now < request.spec.deadline => {
                self.release_behind_send(id, out);
            }
            Phase::Prefilling | Phase::DecodeRequested => {
                self.end_unanswered(id, EndReason::DeadlineExceeded, out);
            }
            _ if is_deadline_near => self.end_unanswered(id, EndReason::DeadlineExceeded, out),
            _ if request.attempts_exhausted() => {
                self.end_unanswered(id, EndReason::AttemptsExhausted, out);
            }
            _ if !may_retry => self.end_unanswered(id, EndReason::RetryNotAllowed, out),
            Phase::Queued => self.start(id, out),
            Phase::AwaitingDecode => self.advance_held(id, out),
        }
    }

    /// Sends a request with held KV state to a decode worker, or releases the state when its limit is near.
    fn advance_held(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let margin = self.release_margin(kv_state::SWEEPS_BEFORE_RELEASE);
        let limit = self.config.kv_state_hold_limit.saturating_sub(margin);
        if self.now >= request.kv_state.release_by(limit) {
            self.release(id, ReleaseReason::HoldExpiring, out);
            if let Some(request) = self.requests.get_mut(&id) {
                request.phase = Phase::Queued;
            }
            self.start(id, out);
        } else if let Some(worker) = self.pick_decode_worker(id, request.kv_state.holder()) {
            self.send(id, &worker, None, out);
        }
    }
}
