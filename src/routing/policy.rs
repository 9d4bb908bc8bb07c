//! Routing decisions. Configuration, events and actions are defined in `src/routing/types.rs`; the rationale
//! is in `docs/design.md`.
//!
//! Without failures, placement follows the E2 algorithm of Preble: exploit a cached prefix, else explore by
//! load. All other code handles failure modes, which the comments name.

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

/// Time after its last send to a prefill worker from which a prefix no longer counts as cached there.
const PREFIX_TTL: Micros = 30_000_000;
/// Maximum ratio of a prefill worker's load to the mean load at which it is picked for its cached prefix.
const MAX_LOAD_IMBALANCE: f64 = 2.0;
/// Weight of a new sample in the moving averages. They cover about ten samples, so that one outlier has
/// little effect.
const EWMA_WEIGHT: f64 = 0.1;
/// Fraction of the time-to-first-token objective that one stage may take. The remaining third is reserved for
/// a retry.
const STAGE_SHARE: f64 = 1.0 / 3.0;
/// Failure rate above which a worker is ejected.
const EJECTION_THRESHOLD: f64 = 0.5;
/// Maximum number of doublings in exponential backoffs.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Number of sweeps within the KV state hold limit: frequent enough that no hold gets close to the limit
/// unnoticed.
const SWEEPS_PER_HOLD_LIMIT: Micros = 12;
/// Minimum interval between sweeps, unless the batch interval is longer.
const MIN_SWEEP_INTERVAL: Micros = 1_000;
const MAX_SWEEP_INTERVAL: Micros = 100_000;
/// Half-life of load reports and of recent outcomes. Workers queue requests for seconds before they reject
/// any, so load changes on this time scale.
const LOAD_HALF_LIFE: Micros = 2_000_000;
/// Half-life of stream statistics. Streams last for seconds.
const STREAM_HALF_LIFE: Micros = 4 * LOAD_HALF_LIFE;
/// Number of queued requests up to which the queue is dispatched immediately rather than batched.
const MAX_QUEUED_FOR_IMMEDIATE_DISPATCH: usize = 16;
/// Delay of a batched dispatch: far shorter than a request and far longer than one pass over the queue.
const DISPATCH_DELAY: Micros = 10_000;
/// Identifies the timer of the periodic sweep.
const SWEEP_TIMER: TimerId = TimerId(1);
/// Identifies the timer of a batched dispatch.
const DISPATCH_TIMER: TimerId = TimerId(2);

/// Which timers are currently set.
#[derive(Default)]
struct Timers {
    is_sweep_scheduled: bool,
    is_dispatch_scheduled: bool,
}

/// Retry state of the subscription to the endpoint list.
#[derive(Default)]
struct EndpointFetch {
    /// Number of consecutive failures, up to `MAX_BACKOFF_DOUBLINGS`.
    failures: u32,
    /// Time of the next attempt, if one is scheduled.
    retry_at: Option<Micros>,
}

/// Routing decisions of one router, as a state machine without I/O.
#[derive(Default)]
pub struct Policy {
    config: RoutingConfig,
    seed: u64,
    now: Micros,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    requests: BTreeMap<RequestId, Request>,
    /// Attempts without an outcome at each worker: the request and the index into its attempts.
    in_flight: BTreeMap<WorkerId, BTreeSet<(RequestId, usize)>>,
    prefix_cache: PrefixTable,
    quotas: TenantQuotas,
    learned: LearnedRates,
    decode_timeouts: DecodeTimeouts,
    timeout_backoff: TimeoutBackoff,
    /// Maximum number of workers of each role that were ready at the same time.
    max_ready: PerRole<usize>,
    /// Time before which nothing is sent to workers in slow start, because the previous process of this
    /// router may have sent to them.
    slow_start_from: Micros,
    timers: Timers,
    endpoint_fetch: EndpointFetch,
}

impl Policy {
    /// Creates a policy that knows no workers yet. `seed` makes its random draws differ from those of other
    /// routers.
    pub fn new(config: RoutingConfig, seed: u64) -> Self {
        let mut policy = Policy {
            seed,
            slow_start_from: Micros::MAX,
            ..Policy::default()
        };
        policy.update_config(config);
        policy
    }

    /// Applies a new configuration. Requests in flight keep their class and their maximum number of attempts.
    pub fn update_config(&mut self, config: RoutingConfig) {
        self.quotas.update_config(&config);
        // Both maps are keyed by class index, and an index may now refer to another class.
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

    /// Processes one event and appends the resulting actions to `out`. If `now` is earlier than in a previous
    /// call, the latest time seen is used instead.
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
            Event::EndpointsUpdated { update, endpoints } => {
                self.apply_endpoints(update, endpoints);
            }
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
                let allowed_from = now.saturating_add(self.slow_start_window());
                self.slow_start_from = if allowed { allowed_from } else { Micros::MAX };
            }
            // Routers exchange no gossip. They reserve no capacity either, because the decode worker is
            // picked after the prefill.
            Event::Timer(_) | Event::ReservationResult { .. } | Event::GossipReceived { .. } => {}
        }
        if may_free_capacity {
            self.schedule_dispatch(out);
        }
        let needs_sweep = !self.requests.is_empty() || self.endpoint_fetch.retry_at.is_some();
        if !self.timers.is_sweep_scheduled && needs_sweep {
            self.timers.is_sweep_scheduled = true;
            out.push(Action::Timer {
                at: self.now + self.sweep_interval(),
                timer: SWEEP_TIMER,
            });
        }
    }

    fn sweep_interval(&self) -> Micros {
        let min_interval = self.config.batch_interval.max(MIN_SWEEP_INTERVAL);
        (self.config.kv_state_hold_limit / SWEEPS_PER_HOLD_LIMIT)
            .clamp(min_interval, MAX_SWEEP_INTERVAL)
    }

    /// Handles everything that changes with time alone: overdue attempts, KV state holds, queued requests,
    /// expired cache entries and retries of the subscription.
    fn on_sweep_timer(&mut self, out: &mut Vec<Action>) {
        self.timers.is_sweep_scheduled = false;
        if self
            .endpoint_fetch
            .retry_at
            .is_some_and(|at| at <= self.now)
        {
            self.endpoint_fetch.retry_at = None;
            out.push(Action::Subscribe);
        }
        self.prefix_cache
            .expire(self.now.saturating_sub(PREFIX_TTL));
        self.dispatch_queued(true, out);
    }

    /// Dispatches the queue immediately if it is short, else as a batch. With a long queue, one pass per
    /// completed attempt would take all of the process's time.
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

    /// Advances queued requests: first those whose KV state is held, then the others by descending priority
    /// weight. With `include_in_flight` it also advances requests that wait for an answer, whose attempts may
    /// be overdue.
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

    /// Advances a request: sends it, ends it, or leaves it waiting.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let margin = 2 * self.sweep_interval();
        let is_deadline_near = self.now + margin >= request.spec.deadline;
        // If the request may have run and no worker may repeat it, waiting can't lead to an answer.
        let may_retry = !request.may_have_run()
            || self
                .workers
                .values()
                .any(|worker| self.may_repeat_at(request, worker));
        match request.phase {
            Phase::Streaming | Phase::Done => {}
            // The attempt's timeout ends at the deadline at the latest; its outcome arrives within the
            // response grace.
            Phase::Prefilling if self.now < request.spec.deadline => {}
            Phase::DecodeRequested if self.now < request.spec.deadline => {
                self.release_during_send(id, out);
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
            Phase::AwaitingDecode => self.advance_held_request(id, out),
        }
    }

    /// Sends a request with held KV state to a decode worker. Near the hold limit, releases the KV state and
    /// starts the request again instead.
    fn advance_held_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
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
