//! Attempt outcomes: updates estimates and health from started streams and completed attempts, and advances
//! their requests.

use super::{
    EJECTION_THRESHOLD, EWMA_WEIGHT, LOAD_HALF_LIFE, MAX_BACKOFF_DOUBLINGS, PREFIX_TTL, Policy,
    STREAM_HALF_LIFE,
};
use crate::routing::model::{CapacityKey, Distance, Phase};
use crate::routing::types::{
    Action, AttemptCompleted, AttemptIndex, AttemptOutcome, Micros, ReleaseReason, RequestId,
    WorkerId,
};

/// Time for which a worker counts as full after it has rejected a request for lack of capacity.
const FULL_PERIOD: Micros = LOAD_HALF_LIFE / 2;
/// Maximum ratio of a latency sample to the average. Larger samples are capped, so that one hung worker has
/// little effect on the average over all workers.
const MAX_SAMPLE_FACTOR: f64 = 2.0;
/// Minimum and maximum of one sample of a worker's latency factor.
const LATENCY_FACTOR_BOUNDS: (f64, f64) = (0.1, 10.0);

/// A completed attempt, with the data of its request that the update needs.
struct CompletedAttempt {
    worker: WorkerId,
    is_decode: bool,
    distance: Distance,
    sent_at: Micros,
    first_token_at: Option<Micros>,
    load_tokens: f64,
    work_tokens: f64,
    outcome: AttemptOutcome,
    elapsed: Micros,
    /// Prompt tokens that the worker had not cached.
    uncached_tokens: f64,
    class: usize,
    capacity_key: CapacityKey,
}

impl Policy {
    pub(super) fn on_stream_started(
        &mut self,
        id: RequestId,
        index: AttemptIndex,
        elapsed: Micros,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(index.0 as usize) else {
            return;
        };
        attempt.first_token_at = Some(self.now);
        self.timeout_backoff.decrease(true);
        let (worker, sent_at) = (attempt.worker.clone(), attempt.sent_at);
        let (distance, work_tokens) = (attempt.distance, attempt.work_tokens);
        if request.phase != Phase::Done {
            request.phase = Phase::Streaming;
        }
        request.kv_state.clear();
        let class = request.class;
        self.record_success(&worker, sent_at, class);
        self.learn_latency(&worker, Some(distance), elapsed, work_tokens);
    }

    /// Updates latency estimates with the time `elapsed` that a prefill (`distance` is `None`) or a first
    /// token took for the given work.
    fn learn_latency(
        &mut self,
        worker: &WorkerId,
        distance: Option<Distance>,
        elapsed: Micros,
        work_tokens: f64,
    ) {
        let us_per_token = match distance {
            Some(distance) => &mut self.learned.first_token_us_per_token[distance],
            None => &mut self.learned.prefill_us_per_token,
        };
        let sample = elapsed as f64 / work_tokens.max(1.0);
        let average = us_per_token.value_or(sample);
        let bounded = sample.min(MAX_SAMPLE_FACTOR * average);
        us_per_token.add(bounded, EWMA_WEIGHT);
        if distance.is_some() {
            self.learned
                .mean_first_token_us_per_token
                .add(bounded, EWMA_WEIGHT);
        }
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        let (min, max) = LATENCY_FACTOR_BOUNDS;
        let factor = sample / average.max(1e-9);
        worker
            .latency_factor
            .add(factor.clamp(min, max), EWMA_WEIGHT);
        let role = worker.role;
        self.learn_median_latency_factor(role);
    }

    pub(super) fn on_attempt_completed(
        &mut self,
        completed: AttemptCompleted,
        out: &mut Vec<Action>,
    ) {
        let id = completed.request;
        let Some(attempt) = self.complete_attempt(&completed) else {
            return;
        };
        self.update_kv_state_hold(id, &attempt, out);
        self.record_load_report(&attempt.worker, completed.report);
        self.record_stream(&attempt);
        self.record_outcome(&attempt);
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if completed.request_finished || request.phase == Phase::Done {
            // A cancelled or late prefill may have left KV state, which is released as well.
            if attempt.outcome != AttemptOutcome::Served {
                request.kv_state.hold(attempt.worker, now);
            }
            self.close(id, out);
            return;
        }
        request.phase = if request.kv_state.is_held() {
            Phase::AwaitingDecode
        } else {
            Phase::Queued
        };
        self.advance(id, out);
    }

    /// Records the outcome of an attempt. Returns `None` if there is no such attempt in flight.
    fn complete_attempt(&mut self, completed: &AttemptCompleted) -> Option<CompletedAttempt> {
        let (id, index) = (completed.request, completed.attempt.0 as usize);
        let outcome = completed.outcome;
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(index)?;
        if attempt.outcome.is_some() {
            return None;
        }
        attempt.outcome = Some(outcome);
        if let Some(in_flight) = self.in_flight.get_mut(&attempt.worker) {
            in_flight.remove(&(id, index));
        }
        match outcome {
            AttemptOutcome::Prefilled => self.timeout_backoff.decrease(false),
            AttemptOutcome::TimedOut if attempt.first_token_at.is_none() => self
                .timeout_backoff
                .increase(attempt.is_decode, MAX_BACKOFF_DOUBLINGS),
            _ => {}
        }
        if attempt.is_decode {
            request.kv_state.send_ended(outcome, self.now);
        }
        let prompt_tokens = request.spec.prompt_tokens;
        Some(CompletedAttempt {
            worker: attempt.worker.clone(),
            is_decode: attempt.is_decode,
            distance: attempt.distance,
            sent_at: attempt.sent_at,
            first_token_at: attempt.first_token_at,
            load_tokens: attempt.load_tokens,
            work_tokens: attempt.work_tokens,
            outcome,
            elapsed: completed.elapsed,
            uncached_tokens: prompt_tokens.saturating_sub(completed.cached_tokens) as f64,
            class: request.class,
            capacity_key: CapacityKey {
                class: request.class,
                tenant: request.spec.tenant.clone(),
            },
        })
    }

    /// Starts the hold of KV state that a prefill has left, or releases KV state that an attempt may have
    /// left.
    fn update_kv_state_hold(
        &mut self,
        id: RequestId,
        attempt: &CompletedAttempt,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let outcome = attempt.outcome;
        let may_have_left_state = !attempt.is_decode && !outcome.proves_no_run();
        if outcome == AttemptOutcome::Prefilled && request.phase != Phase::Done {
            request.kv_state.hold(attempt.worker.clone(), now);
        } else if outcome == AttemptOutcome::KvStateMissing || may_have_left_state {
            // The prefill may have completed when it was cancelled or its connection broke. KV state that
            // this decode worker does not find may be held elsewhere.
            request.kv_state.clear();
            out.push(Action::Release {
                request: id,
                reason: ReleaseReason::AttemptEnded,
            });
        }
    }

    fn record_stream(&mut self, attempt: &CompletedAttempt) {
        let now = self.now;
        let worker = self.workers.get_mut(&attempt.worker);
        if let (Some(first_token_at), Some(worker)) = (attempt.first_token_at, worker) {
            let completion = f64::from(u8::from(attempt.outcome == AttemptOutcome::Served));
            let duration = (now - first_token_at) as f64;
            worker.streams.duration.add(now, STREAM_HALF_LIFE, duration);
            worker
                .streams
                .completions
                .add(now, STREAM_HALF_LIFE, completion);
        }
    }

    /// Updates health and estimates from the outcome of an attempt.
    fn record_outcome(&mut self, attempt: &CompletedAttempt) {
        let (id, sent_at) = (&attempt.worker, attempt.sent_at);
        match attempt.outcome {
            AttemptOutcome::Prefilled => self.record_prefill(attempt),
            AttemptOutcome::Served if attempt.first_token_at.is_none() => {
                self.record_success(id, sent_at, attempt.class);
            }
            AttemptOutcome::Rejected => {
                // The worker may be full for this class and tenant only, so other requests may still be sent
                // to it.
                let until = self.now + FULL_PERIOD;
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.mark_full(attempt.capacity_key.clone(), self.now, until);
                }
            }
            AttemptOutcome::TimedOut => self.record_timeout(attempt),
            AttemptOutcome::Error | AttemptOutcome::ConnectionLost => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.outcomes.failures.add(self.now, PREFIX_TTL, 1.0);
                }
                self.record_failure(id, sent_at);
            }
            AttemptOutcome::ConnectFailed => {
                if let Some(worker) = self.workers.get_mut(id) {
                    // Only after two consecutive failures: a single one may be due to a full connection
                    // table.
                    worker.unreachable |= worker.failure_rate >= EJECTION_THRESHOLD;
                    worker.connect_failed_at = Some(self.now);
                }
                self.record_failure(id, sent_at);
            }
            AttemptOutcome::Served
            | AttemptOutcome::KvStateMissing
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => {}
        }
    }

    fn record_prefill(&mut self, attempt: &CompletedAttempt) {
        let uncached_tokens = attempt.uncached_tokens;
        self.learned
            .uncached_tokens
            .add(uncached_tokens, EWMA_WEIGHT);
        self.record_success(&attempt.worker, attempt.sent_at, attempt.class);
        let work_tokens = attempt.work_tokens - attempt.load_tokens + uncached_tokens;
        self.learn_latency(&attempt.worker, None, attempt.elapsed, work_tokens);
    }

    fn record_timeout(&mut self, attempt: &CompletedAttempt) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(&attempt.worker)
            && worker.latest_answered_send > attempt.sent_at
        {
            // A later send was answered, so this one is not queued at the worker: its answer was lost. A
            // worker that still answers most requests must be neither ejected nor considered full.
            let answers = worker.answers_by_class.entry(attempt.class).or_default();
            answers.failures.add(now, LOAD_HALF_LIFE, 1.0);
            return;
        }
        let distance = attempt.is_decode.then_some(attempt.distance);
        self.learn_latency(
            &attempt.worker,
            distance,
            attempt.elapsed,
            attempt.work_tokens,
        );
        self.record_failure(&attempt.worker, attempt.sent_at);
        if attempt.is_decode {
            self.decode_timeouts
                .record(attempt.distance, now, LOAD_HALF_LIFE);
        } else if self.config.load_unknown() {
            // Without load reports, a timeout is taken as evidence of as much queued work as fits into its
            // duration.
            let us_per_token = self.learned.prefill_us_per_token.value_or(f64::MAX);
            let queued_tokens = attempt.elapsed as f64 / us_per_token.max(1e-9);
            if let Some(worker) = self.workers.get_mut(&attempt.worker) {
                worker
                    .inferred_queued_tokens
                    .add(now, LOAD_HALF_LIFE, queued_tokens);
            }
        }
    }
}
