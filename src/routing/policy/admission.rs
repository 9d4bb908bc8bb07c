//! Which requests begin, which wait, and which end without an answer of a worker.

use super::*;

/// Readers may be this many times as fast as the stated share of the aim says.
const MAX_PREFILL_SPEEDUP: f64 = 2.0;

/// Requests of a tenant that may come at once, and two seconds' worth at least: fewer are chance, not excess.
const MIN_QUOTA_BURST: f64 = 10.0;

impl Policy {
    pub(super) fn on_request_arrived(&mut self, ask: RequestSpec, out: &mut Vec<Action>) {
        let id = ask.request;
        let class = class_index(&self.config.classes, &ask.class);
        let over_share = self.take_quota_token(ask.tenant.as_deref());
        self.learned
            .prompt_tokens
            .add(ask.prompt_tokens as f64, EWMA_WEIGHT);
        self.learn_rates();
        self.prefix_cache.record_request(&ask, self.now, PREFIX_TTL);
        self.requests.insert(
            id,
            Request::new(ask, class, self.now, over_share, self.config.max_attempts),
        );
        self.advance(id, out);
    }

    pub(super) fn take_quota_token(&mut self, tenant: Option<&str>) -> bool {
        let Some((rate, level, at)) = tenant.and_then(|t| self.tenants.get_mut(t)) else {
            return false;
        };
        let refill = *rate * (self.now - *at) as f64 / 1e6;
        (*level, *at) = (
            (*level + refill).min(MIN_QUOTA_BURST.max(*rate * 2.0)),
            self.now,
        );
        let over = *level < 1.0;
        *level -= if over { 0.0 } else { 1.0 };
        over
    }

    pub(super) fn priority_weight(&self, r: &Request) -> f64 {
        let worth = self.config.classes[r.class].priority_weight;
        if r.over_quota {
            worth * self.config.over_quota_weight
        } else {
            worth
        }
    }

    pub(super) fn ttft_objective(&self, r: &Request) -> Micros {
        let class = &self.config.classes[r.class];
        let grown =
            class.ttft_objective_per_1000_tokens as f64 * r.spec.prompt_tokens as f64 / 1000.0;
        class.ttft_objective.saturating_add(grown as Micros)
    }

    /// Starts a request if both stages can be in time, or half its read at most is ahead; else waits or ends.
    pub(super) fn start(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (readers, mixed) = (self.usable(Role::Prefill, id), self.usable(Role::Mixed, id));
        let writers = self.usable(Role::Decode, id).len() + mixed.len();
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let prompt = r.spec.prompt_tokens as f64;
        let short = prompt <= self.learned.prompt_tokens.value_or(0.0);
        let direct = !mixed.is_empty() && (short || readers.is_empty())
            || readers.is_empty() && self.config.decode_workers_prefill;
        let target = if direct {
            self.pick_decode_worker(id, None).map(|w| (w, 0.0))
        } else {
            // A read whose writers can't take it would only gather states at the readers.
            self.pick_prefill_worker(r, &readers)
                .filter(|_| writers > 0)
        };
        let Some((target, unread)) = target else {
            return;
        };
        let ahead = self.queued_tokens(&target, 0.0);
        // What nobody has measured yet is not free, or all that waits would begin at once.
        let unmeasured = self.expected_prefill_us_per_token() / MAX_PREFILL_SPEEDUP;
        let pace =
            self.learned.prefill_us_per_token.value_or(unmeasured) * self.latency_factor(&target);
        let takes = |work: f64| pace * (work + self.learned.uncached_tokens.value_or(0.0));
        let (aim, waited) = (
            self.ttft_objective(r) as f64,
            (self.now - r.arrived_at) as f64,
        );
        let reads = 2.0 * ahead <= unread || takes(ahead + unread) <= aim * (1.0 - STAGE_SHARE);
        let coming: Vec<f64> = (self.requests.values())
            .filter(|r| {
                matches!(
                    r.phase,
                    Phase::Prefilling | Phase::AwaitingDecode | Phase::DecodeRequested
                )
            })
            .map(|r| r.spec.prompt_tokens as f64)
            .collect();
        let pace = if direct {
            self.learned.first_token_us_per_token[2]
        } else {
            self.learned.mean_first_token_us_per_token
        };
        let first =
            |work: f64| pace.value_or(0.0) * (work + self.learned.prompt_tokens.value_or(0.0));
        let crowd = coming.iter().sum::<f64>() / writers.max(1) as f64;
        let writes = coming.len() < writers || first(crowd + prompt) <= aim * STAGE_SHARE;
        // Can't begin before its client leaves, or in time after a read that wasn't answered: another one
        // would feed the jam. Guards against short deadlines, and jams that grow by repeats of what is late.
        let left = r.spec.deadline.saturating_sub(self.now) as f64;
        let doomed = !coming.is_empty() && takes(ahead + unread) + first(prompt) > left;
        let late = waited + takes(unread) + first(prompt) > aim;
        let doomed = doomed || r.has_timed_out() && waited + takes(unread) > aim;
        if reads && writes && !doomed {
            self.send(id, &target, (!direct).then_some(unread), out);
        } else if doomed {
            self.end_unanswered(id, EndReason::DeadlineUnreachable, out);
        } else if late || r.over_quota {
            self.end_unanswered(id, EndReason::NoCapacity, out);
        }
    }

    /// Gives the final answer, at once: a refusal with advice where trying again is harmless, else a failure.
    pub(super) fn end_unanswered(
        &mut self,
        id: RequestId,
        reason: EndReason,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        if matches!(r.phase, Phase::Done | Phase::Streaming) {
            return;
        }
        if self.may_reject(r) {
            let retry_after = self.config.advises_retry_after.then(|| {
                // Spread, so that those refused together don't come back together.
                let spread = xxh3_64_with_seed(&id.0.to_le_bytes(), self.seed) % 1000;
                self.config.max_retry_after / 2 + self.config.max_retry_after / 2 * spread / 1000
            });
            out.push(Action::Reject {
                request: id,
                reason,
                retry_after,
            });
        } else {
            out.push(Action::Fail {
                request: id,
                reason,
            });
        }
        self.close(id, out);
    }

    /// Lets go of all that an answered request still has.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.phase = Phase::Done;
            if self.config.cancellation_allowed {
                let open = |a: &Attempt| a.outcome.is_none() && a.first_token_at.is_none();
                let open = (0..).zip(&r.attempts).filter(|(_, a)| open(a));
                out.extend(open.map(|(i, _)| Action::Cancel {
                    request: id,
                    attempt: AttemptIndex(i),
                }));
            }
        }
        self.release(id, ReleaseReason::RequestFinished, out);
        if self
            .requests
            .get(&id)
            .is_some_and(|r| r.in_flight().next().is_none())
        {
            self.requests.remove(&id);
        }
    }
}
