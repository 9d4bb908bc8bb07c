//! Sends: the permit, the load estimate and the timeout of one attempt.

use super::{MAX_LOAD_IMBALANCE, Policy, STAGE_SHARE};
use crate::routing::model::{Attempt, Distance, Ewma, Phase, Request, Worker};
use crate::routing::types::{Action, Idempotency, Micros, RequestClass, RequestId, WorkerId};

/// Ratio of an attempt's duration to its expected duration from which it is overdue: more than queued work of
/// other routers explains.
const OVERDUE_FACTOR: f64 = 4.0;
/// Maximum factor by which prefill timeouts grow while part of the capacity is in slow start.
const MAX_SLOW_START_TIMEOUT_FACTOR: f64 = 4.0;

/// Estimated load and duration of an attempt.
struct AttemptEstimate {
    distance: Distance,
    /// Tokens by which the attempt increases the worker's load.
    load_tokens: f64,
    /// Tokens that the worker has to process before it answers, including its queue.
    work_tokens: f64,
    /// Prompt tokens included in `work_tokens`. The rest of the prompt is added if the cached prefix has been
    /// evicted.
    prompt_tokens: f64,
    us_per_token: Ewma,
}

impl Request {
    /// Expected number of output tokens: derived from the client's duration hint and the inter-token
    /// objective, else half of the maximum.
    fn expected_output_tokens(&self, class: &RequestClass) -> f64 {
        let half = self.spec.max_tokens as f64 / 2.0;
        match self.spec.duration_hint {
            Some(hint) if class.inter_token_objective > 0 => {
                (hint as f64 / class.inter_token_objective as f64).min(half * 2.0)
            }
            _ => half,
        }
    }
}

impl Policy {
    /// Sends a request to a worker if all rules permit it. With `uncached_tokens` it is sent for a prefill in
    /// which that many prompt tokens are to be processed, else for the response. All sends to workers use
    /// this function.
    pub(super) fn send(
        &mut self,
        id: RequestId,
        worker: &WorkerId,
        uncached_tokens: Option<f64>,
        out: &mut Vec<Action>,
    ) {
        let is_decode = uncached_tokens.is_none();
        let permit = match self.permit_send(id, worker, is_decode) {
            Ok(permit) => permit,
            Err(denial) => {
                return out.push(Action::SendDenied {
                    request: id,
                    worker: worker.clone(),
                    denial,
                });
            }
        };
        let (Some(request), Some(target)) = (self.requests.get(&id), self.workers.get(worker))
        else {
            return;
        };
        let estimate = self.estimate(request, worker, target, uncached_tokens);
        let due = self.due_after(request, worker, target, &estimate, is_decode);
        // A decode that may not be retried without restriction has no timeout before the deadline, since an
        // earlier end would not allow a retry.
        let class = &self.config.classes[request.class];
        let may_time_out = !is_decode || class.idempotency == Idempotency::Idempotent;
        self.record_send(id, worker, &estimate, due, is_decode);
        out.push(Action::Send {
            request: id,
            worker: worker.clone(),
            timeout: may_time_out.then_some(due),
            permit,
        });
    }

    fn estimate(
        &self,
        request: &Request,
        worker: &WorkerId,
        target: &Worker,
        uncached_tokens: Option<f64>,
    ) -> AttemptEstimate {
        let prompt = request.spec.prompt_tokens as f64;
        let distance = self.distance(request.kv_state.holder(), target);
        if let Some(uncached_tokens) = uncached_tokens {
            let mean_uncached = self.learned.uncached_tokens.value_or(prompt);
            return AttemptEstimate {
                distance,
                load_tokens: uncached_tokens,
                work_tokens: self.queued_tokens(worker, 0.0) + uncached_tokens + mean_uncached,
                prompt_tokens: uncached_tokens,
                us_per_token: self.learned.prefill_us_per_token,
            };
        }
        let class = &self.config.classes[request.class];
        let queued: f64 = (self.in_flight_at(worker))
            .filter(|attempt| attempt.first_token_at.is_none())
            .map(|attempt| attempt.load_tokens)
            .sum::<f64>();
        AttemptEstimate {
            distance,
            load_tokens: prompt + request.expected_output_tokens(class),
            work_tokens: queued + prompt + self.learned.prompt_tokens.value_or(0.0),
            prompt_tokens: prompt,
            us_per_token: self.learned.first_token_us_per_token[distance],
        }
    }

    /// Time after its send from which an attempt is overdue: well after its expected end, but early enough
    /// that a retry of the same duration can complete before the deadline, if there is time for one.
    fn due_after(
        &self,
        request: &Request,
        worker: &WorkerId,
        target: &Worker,
        estimate: &AttemptEstimate,
        is_decode: bool,
    ) -> Micros {
        let prompt = request.spec.prompt_tokens as f64;
        let latency_factor = self.latency_factor(worker);
        let duration_us =
            |tokens: f64| estimate.us_per_token.value_or(0.0) * tokens * latency_factor;
        let expected = (duration_us(estimate.work_tokens) as Micros)
            << self.timeout_backoff.doublings(is_decode);
        // If the cached prefix has been evicted, the whole prompt has to be prefilled.
        let without_cache = (MAX_LOAD_IMBALANCE
            * duration_us(estimate.work_tokens + prompt - estimate.prompt_tokens))
            as Micros;
        let overdue = (OVERDUE_FACTOR * expected as f64) as Micros;
        let by_work = self
            .config
            .connect_timeout
            .saturating_add(without_cache.max(overdue));
        let stage_share = self.timeout_stage_share(target, is_decode);
        let by_objective = (self.ttft_objective(request) as f64 * stage_share) as Micros;
        let due = by_work.max(by_objective);
        let remaining = request.spec.deadline.saturating_sub(self.now);
        if remaining / 2 > expected {
            due.min(remaining - expected)
        } else {
            remaining
        }
    }

    /// Minimum timeout of an attempt, as a fraction of the time-to-first-token objective.
    fn timeout_stage_share(&self, target: &Worker, is_decode: bool) -> f64 {
        if is_decode {
            return STAGE_SHARE;
        }
        let share = if self.config.load_unknown() {
            1.0 - STAGE_SHARE
        } else {
            STAGE_SHARE
        };
        // If much of the role is in slow start, other workers are no faster, and a retry prefills the whole
        // prompt again. Longer timeouts keep such retries from adding to the overload.
        let (mut capacity, mut weight) = (0.0, 1e-9);
        for (_, peer) in self.ready_workers(target.role) {
            capacity += self.capacity(peer);
            weight += peer.weight;
        }
        let slow_start_factor = (weight / capacity).powi(3);
        share * slow_start_factor.min(MAX_SLOW_START_TIMEOUT_FACTOR)
    }

    fn record_send(
        &mut self,
        id: RequestId,
        worker: &WorkerId,
        estimate: &AttemptEstimate,
        due: Micros,
        is_decode: bool,
    ) {
        let now = self.now;
        let window = self.slow_start_window();
        if let Some(target) = self.workers.get_mut(worker) {
            target.recent_sends.push(now, window);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !is_decode {
            self.prefix_cache.insert(&request.spec, worker, now);
            request.kv_state.clear();
        }
        let in_flight = self.in_flight.entry(worker.clone()).or_default();
        in_flight.insert((id, request.attempts.len()));
        request.attempts.push(Attempt {
            worker: worker.clone(),
            is_decode,
            distance: estimate.distance,
            sent_at: now,
            due_at: now + due,
            load_tokens: estimate.load_tokens,
            work_tokens: estimate.work_tokens,
            outcome: None,
            first_token_at: None,
        });
        request.phase = if is_decode {
            Phase::DecodeRequested
        } else {
            Phase::Prefilling
        };
    }
}
