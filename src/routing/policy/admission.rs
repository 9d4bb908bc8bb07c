//! Admission: which requests start, which stay queued, and which end without a worker's answer.

use super::{EWMA_WEIGHT, PREFIX_TTL, Policy, STAGE_SHARE};
use crate::routing::model::{Attempt, Distance, Phase, Request, class_index};
use crate::routing::types::{
    Action, AttemptIndex, EndReason, Micros, ReleaseReason, RequestId, RequestSpec, Role, WorkerId,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Factor by which prefill workers may be faster than the configured objectives suggest.
const MAX_PREFILL_SPEEDUP: f64 = 2.0;
/// Number of distinct values of retry advice.
const RETRY_SPREAD_STEPS: Micros = 1_000;

/// First stage that is planned for a queued request.
struct StartPlan {
    worker: WorkerId,
    /// Whether the request skips the prefill stage and goes to a worker that both prefills and decodes it.
    is_direct: bool,
    /// Prompt tokens that the prefill worker has to process; 0 if `is_direct`.
    uncached_tokens: f64,
    /// Number of workers that could decode the request.
    decode_worker_count: usize,
}

/// Admission decision for a queued request.
enum Admission {
    Start,
    Wait,
    End(EndReason),
}

impl Policy {
    pub(super) fn on_request_arrived(&mut self, spec: RequestSpec, out: &mut Vec<Action>) {
        let id = spec.request;
        let class = class_index(&self.config.classes, &spec.class);
        let over_quota = !self.quotas.try_take(spec.tenant.as_deref(), self.now);
        self.learned
            .prompt_tokens
            .add(spec.prompt_tokens as f64, EWMA_WEIGHT);
        self.learn_completion_rates();
        self.prefix_cache
            .record_request(&spec, self.now, PREFIX_TTL);
        let max_attempts = self.config.max_attempts;
        let request = Request::new(spec, class, self.now, over_quota, max_attempts);
        self.requests.insert(id, request);
        self.advance(id, out);
    }

    /// The request's priority relative to other queued requests.
    pub(super) fn priority_weight(&self, request: &Request) -> f64 {
        let weight = self.config.classes[request.class].priority_weight;
        if request.over_quota {
            weight * self.config.over_quota_weight
        } else {
            weight
        }
    }

    /// Time-to-first-token objective of the request's class, including the part for the length of the prompt.
    pub(super) fn ttft_objective(&self, request: &Request) -> Micros {
        let class = &self.config.classes[request.class];
        let per_1000_tokens = class.ttft_objective_per_1000_tokens as f64;
        let prompt_part = per_1000_tokens * request.spec.prompt_tokens as f64 / 1000.0;
        class.ttft_objective.saturating_add(prompt_part as Micros)
    }

    /// Starts a queued request if both stages can meet its objective, ends it if it can't be answered in
    /// time, and otherwise leaves it queued.
    pub(super) fn start(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(plan) = self.plan_start(id, request) else {
            return;
        };
        match self.admit(request, &plan) {
            Admission::Start => {
                let uncached_tokens = (!plan.is_direct).then_some(plan.uncached_tokens);
                self.send(id, &plan.worker, uncached_tokens, out);
            }
            Admission::Wait => {}
            Admission::End(reason) => self.end_unanswered(id, reason, out),
        }
    }

    /// Picks the worker for the first stage. Returns `None` if no worker is usable now.
    fn plan_start(&self, id: RequestId, request: &Request) -> Option<StartPlan> {
        let prefill_workers = self.usable_workers(Role::Prefill, id);
        let mixed_workers = self.usable_workers(Role::Mixed, id);
        let decode_worker_count = self.usable_workers(Role::Decode, id).len() + mixed_workers.len();
        let mean_prompt_tokens = self.learned.prompt_tokens.value_or(0.0);
        let is_short = request.spec.prompt_tokens as f64 <= mean_prompt_tokens;
        let goes_to_mixed = !mixed_workers.is_empty() && (is_short || prefill_workers.is_empty());
        let is_direct =
            goes_to_mixed || prefill_workers.is_empty() && self.config.decode_workers_prefill;
        let (worker, uncached_tokens) = if is_direct {
            (self.pick_decode_worker(id, None)?, 0.0)
        } else {
            let picked = self.pick_prefill_worker(request, &prefill_workers)?;
            if decode_worker_count == 0 {
                // KV state from prefills would accumulate without a decode worker to fetch it.
                return None;
            }
            picked
        };
        Some(StartPlan {
            worker,
            is_direct,
            uncached_tokens,
            decode_worker_count,
        })
    }

    /// Decides whether a request may start according to this plan.
    fn admit(&self, request: &Request, plan: &StartPlan) -> Admission {
        let prompt = request.spec.prompt_tokens as f64;
        let uncached = plan.uncached_tokens;
        let queued = self.queued_tokens(&plan.worker, 0.0);
        let objective = self.ttft_objective(request) as f64;
        let waiting_time = (self.now - request.arrived_at) as f64;

        // Until a rate has been measured a default is used. With a rate of zero all queued requests would
        // start at once.
        let default_rate = self.expected_prefill_us_per_token() / MAX_PREFILL_SPEEDUP;
        let prefill_us_per_token = self.learned.prefill_us_per_token.value_or(default_rate)
            * self.latency_factor(&plan.worker);
        let mean_uncached = self.learned.uncached_tokens.value_or(0.0);
        let prefill_us = |tokens: f64| prefill_us_per_token * (tokens + mean_uncached);

        let first_token_us_per_token = if plan.is_direct {
            self.learned.first_token_us_per_token[Distance::Remote]
        } else {
            self.learned.mean_first_token_us_per_token
        };
        let mean_prompt = self.learned.prompt_tokens.value_or(0.0);
        let first_token_us =
            |tokens: f64| first_token_us_per_token.value_or(0.0) * (tokens + mean_prompt);

        let prompts_before_first_token: Vec<f64> = (self.requests.values())
            .filter(|request| {
                matches!(
                    request.phase,
                    Phase::Prefilling | Phase::AwaitingDecode | Phase::DecodeRequested
                )
            })
            .map(|request| request.spec.prompt_tokens as f64)
            .collect();
        let tokens_per_decode_worker =
            prompts_before_first_token.iter().sum::<f64>() / plan.decode_worker_count.max(1) as f64;

        let can_prefill = 2.0 * queued <= uncached
            || prefill_us(queued + uncached) <= objective * (1.0 - STAGE_SHARE);
        let can_decode = prompts_before_first_token.len() < plan.decode_worker_count
            || first_token_us(tokens_per_decode_worker + prompt) <= objective * STAGE_SHARE;

        // The request ends here if its stream can't start before the deadline, or if it has timed out and
        // can't meet its objective any more. This guards against clients with short deadlines, and against
        // overload that grows because late requests are prefilled again.
        let remaining = request.spec.deadline.saturating_sub(self.now) as f64;
        let misses_deadline = !prompts_before_first_token.is_empty()
            && prefill_us(queued + uncached) + first_token_us(prompt) > remaining;
        let misses_objective_after_timeout =
            request.has_timed_out() && waiting_time + prefill_us(uncached) > objective;
        if misses_deadline || misses_objective_after_timeout {
            return Admission::End(EndReason::DeadlineUnreachable);
        }
        if can_prefill && can_decode {
            return Admission::Start;
        }
        let misses_objective =
            waiting_time + prefill_us(uncached) + first_token_us(prompt) > objective;
        if misses_objective || request.over_quota {
            return Admission::End(EndReason::NoCapacity);
        }
        Admission::Wait
    }

    /// Ends a request without a worker's answer. Rejects it, with retry advice, if a retry is safe; otherwise
    /// fails it, which makes no promise about the request's effect.
    pub(super) fn end_unanswered(
        &mut self,
        id: RequestId,
        reason: EndReason,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if matches!(request.phase, Phase::Done | Phase::Streaming) {
            return;
        }
        let action = if self.may_reject(request) {
            Action::Reject {
                request: id,
                reason,
                retry_after: self
                    .config
                    .advises_retry_after
                    .then(|| self.retry_after(id)),
            }
        } else {
            Action::Fail {
                request: id,
                reason,
            }
        };
        out.push(action);
        self.close(id, out);
    }

    /// Retry advice. Its values are spread, so that requests rejected at the same time are not all retried at
    /// the same time.
    fn retry_after(&self, id: RequestId) -> Micros {
        let half = self.config.max_retry_after / 2;
        let step = xxh3_64_with_seed(&id.0.to_le_bytes(), self.seed) % RETRY_SPREAD_STEPS;
        half + half * step / RETRY_SPREAD_STEPS
    }

    /// Closes a request that is answered or abandoned: cancels its attempts, releases its KV state, and
    /// removes it once no attempt is in flight.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Done;
            if self.config.cancellation_allowed {
                let is_unanswered = |attempt: &Attempt| {
                    attempt.outcome.is_none() && attempt.first_token_at.is_none()
                };
                let attempts = (0..).zip(&request.attempts);
                let unanswered = attempts.filter(|(_, attempt)| is_unanswered(attempt));
                out.extend(unanswered.map(|(index, _)| Action::Cancel {
                    request: id,
                    attempt: AttemptIndex(index),
                }));
            }
        }
        self.release(id, ReleaseReason::RequestFinished, out);
        let is_idle = |request: &Request| request.in_flight().next().is_none();
        if self.requests.get(&id).is_some_and(is_idle) {
            self.requests.remove(&id);
        }
    }
}
