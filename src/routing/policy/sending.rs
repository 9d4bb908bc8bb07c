//! Sends: permit, load and timeout of one attempt.

use super::{MAX_LOAD_IMBALANCE, Policy, STAGE_SHARE};
use crate::routing::model::{Attempt, Distance, Ewma, Phase, Request, Worker};
use crate::routing::types::{Action, Idempotency, Micros, RequestClass, RequestId, WorkerId};

/// An attempt is overdue at this multiple of its expected time: more than other routers' queues explain.
const OVERDUE_FACTOR: f64 = 4.0;
/// Largest factor by which timeouts of prefills grow while capacity is in slow start.
const MAX_SLOW_START_TIMEOUT_FACTOR: f64 = 4.0;

/// What an attempt means for a worker.
struct AttemptEstimate {
    distance: Distance,
    /// Tokens that it adds to the worker's load.
    tokens: f64,
    /// Tokens that the worker has to process until it answers, its queue included.
    work: f64,
    /// Prompt tokens in that work; the rest of the prompt is added if the cached prefix has been evicted.
    prompt_tokens: f64,
    us_per_token: Ewma,
}

impl Request {
    /// Expected output tokens: the client's hint as time at the inter-token objective, else half of the
    /// maximum.
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
    /// Sends a request to a worker, if every rule allows it: for a prefill, where `uncached_tokens` of the
    /// prompt are to be processed, or for the response. Everything that goes to a worker goes through here.
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
            Err(refusal) => {
                return out.push(Action::SendDenied {
                    request: id,
                    worker: worker.clone(),
                    denial: refusal,
                });
            }
        };
        let (Some(request), Some(target)) = (self.requests.get(&id), self.workers.get(worker))
        else {
            return;
        };
        let estimate = self.estimate(request, worker, target, uncached_tokens);
        let due = self.due_after(request, worker, target, &estimate, is_decode);
        // A decode that may not be retried at will is waited for until the deadline: giving up gains
        // nothing.
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
                tokens: uncached_tokens,
                work: self.queued_tokens(worker, 0.0) + uncached_tokens + mean_uncached,
                prompt_tokens: uncached_tokens,
                us_per_token: self.learned.prefill_us_per_token,
            };
        }
        let class = &self.config.classes[request.class];
        let queued: f64 = (self.in_flight_at(worker))
            .filter(|attempt| attempt.first_token_at.is_none())
            .map(|attempt| attempt.tokens)
            .sum::<f64>();
        AttemptEstimate {
            distance,
            tokens: prompt + request.expected_output_tokens(class),
            work: queued + prompt + self.learned.prompt_tokens.value_or(0.0),
            prompt_tokens: prompt,
            us_per_token: self.learned.first_token_us_per_token[distance],
        }
    }

    /// How long after its send an attempt is overdue: well past its expected time, but early enough for a
    /// retry to take as long again, if there is time for one.
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
        let us = |work: f64| estimate.us_per_token.value_or(0.0) * work * latency_factor;
        let expected = (us(estimate.work) as Micros) << self.timeout_backoff.doublings(is_decode);
        // The cached prefix may have been evicted: then the whole prompt has to be prefilled.
        let without_cache =
            (MAX_LOAD_IMBALANCE * us(estimate.work + prompt - estimate.prompt_tokens)) as Micros;
        let overdue = (OVERDUE_FACTOR * expected as f64) as Micros;
        let by_work = self
            .config
            .connect_timeout
            .saturating_add(without_cache.max(overdue));
        let stage_share = self.timeout_stage_share(target, is_decode);
        let by_objective = (self.ttft_objective(request) as f64 * stage_share) as Micros;
        let due = by_work.max(by_objective);
        let left = request.spec.deadline.saturating_sub(self.now);
        if left / 2 > expected {
            due.min(left - expected)
        } else {
            left
        }
    }

    /// Share of the time-to-first-token objective for which an attempt is waited for at least.
    fn timeout_stage_share(&self, target: &Worker, is_decode: bool) -> f64 {
        if is_decode {
            return STAGE_SHARE;
        }
        let share = if self.config.load_unknown() {
            1.0 - STAGE_SHARE
        } else {
            STAGE_SHARE
        };
        // With much of the role in slow start, no other worker is better off, and a retry prefills the
        // whole prompt anew: guards against a jam that feeds itself.
        let (mut capacity, mut weight) = (0.0, 1e-9);
        for (_, peer) in self.ready(target.role) {
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
            tokens: estimate.tokens,
            work: estimate.work,
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
