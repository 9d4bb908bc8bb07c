//! Outcomes of attempts: what a started stream and a completed attempt teach, and what follows for their
//! request.

use super::{
    EJECTION_THRESHOLD, EWMA_WEIGHT, LOAD_HALF_LIFE, MAX_BACKOFF_DOUBLINGS, PREFIX_TTL, Policy,
    STREAM_HALF_LIFE,
};
use crate::routing::model::{CapacityKey, Distance, Phase};
use crate::routing::types::{
    Action, AttemptCompleted, AttemptIndex, AttemptOutcome, Micros, ReleaseReason, RequestId,
    WorkerId,
};

/// How long a worker that rejected a request for lack of capacity is taken to be full.
const FULL_PERIOD: Micros = LOAD_HALF_LIFE / 2;
/// A latency sample counts as at most this multiple of the average: one hung worker says little of its
/// peers.
const MAX_SAMPLE_FACTOR: f64 = 2.0;
/// Bounds of one sample of a worker's latency factor.
const LATENCY_FACTOR_BOUNDS: (f64, f64) = (0.1, 10.0);

/// A completed attempt and what matters of its request.
struct CompletedAttempt {
    worker: WorkerId,
    is_decode: bool,
    distance: Distance,
    sent_at: Micros,
    first_token_at: Option<Micros>,
    tokens: f64,
    work: f64,
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
        let (distance, work) = (attempt.distance, attempt.work);
        if request.phase != Phase::Done {
            request.phase = Phase::Streaming;
        }
        request.kv_state.clear();
        let class = request.class;
        self.record_success(&worker, sent_at, class);
        self.learn_latency(&worker, Some(distance), elapsed, work);
    }

    /// Learns from the time that a prefill (`distance`: `None`) or a first token took for its work in
    /// tokens.
    fn learn_latency(
        &mut self,
        worker: &WorkerId,
        distance: Option<Distance>,
        elapsed: Micros,
        work: f64,
    ) {
        let us_per_token = match distance {
            Some(distance) => &mut self.learned.first_token_us_per_token[distance],
            None => &mut self.learned.prefill_us_per_token,
        };
        let sample = elapsed as f64 / work.max(1.0);
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
            // Whatever the attempt left behind is released, also by a cancelled or late prefill.
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

    /// Enters the outcome of an attempt. `None`: there is no such attempt in flight.
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
            tokens: attempt.tokens,
            work: attempt.work,
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

    /// Begins the hold of KV state that a prefill has left, or releases what an attempt may have left.
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
            // A prefill may have completed as it was given up or its connection broke; state that this
            // decode worker doesn't find may be elsewhere.
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

    /// Learns from the outcome of an attempt.
    fn record_outcome(&mut self, attempt: &CompletedAttempt) {
        let (id, sent_at) = (&attempt.worker, attempt.sent_at);
        match attempt.outcome {
            AttemptOutcome::Prefilled => self.record_prefill(attempt),
            AttemptOutcome::Served if attempt.first_token_at.is_none() => {
                self.record_success(id, sent_at, attempt.class);
            }
            AttemptOutcome::Rejected => {
                // Full, perhaps for this class and tenant alone: other requests may still go there.
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
                    // Twice in a row: once may be a full connection table.
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
        let work = attempt.work - attempt.tokens + uncached_tokens;
        self.learn_latency(&attempt.worker, None, attempt.elapsed, work);
    }

    fn record_timeout(&mut self, attempt: &CompletedAttempt) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(&attempt.worker)
            && worker.latest_answered_send > attempt.sent_at
        {
            // A later send was answered, so this one is not queued there: its answer was lost on the way.
            // Guards against ejecting workers, or taking them to be full, while most answers come.
            let answers = worker.answers_by_class.entry(attempt.class).or_default();
            answers.failures.add(now, LOAD_HALF_LIFE, 1.0);
            return;
        }
        let distance = attempt.is_decode.then_some(attempt.distance);
        self.learn_latency(&attempt.worker, distance, attempt.elapsed, attempt.work);
        self.record_failure(&attempt.worker, attempt.sent_at);
        if attempt.is_decode {
            self.decode_timeouts
                .record(attempt.distance, now, LOAD_HALF_LIFE);
        } else if self.config.load_unknown() {
            // Without load reports, the timeout stands for one that names as much queued work.
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
