//! One send: its permit, its time-out, and what is kept of it.

use super::*;

/// An attempt is overdue at this multiple of what it should take: more than other routers' queues explain.
const OVERDUE_FACTOR: f64 = 4.0;

impl Request {
    fn expected_output_tokens(&self, class: &RequestClass) -> f64 {
        let half = self.spec.max_tokens as f64 / 2.0;
        match self.spec.hint {
            Some(hint) if class.inter_token_objective > 0 => {
                (hint as f64 / class.inter_token_objective as f64).min(half * 2.0)
            }
            _ => half,
        }
    }
}

impl Policy {
    /// Sends, if every rule allows it: unanswered request, worker in service, attempts left, no second copy,
    /// no effect twice. Everything that goes to a worker goes through here.
    pub(super) fn send(
        &mut self,
        id: RequestId,
        worker: &WorkerId,
        unread: Option<f64>,
        out: &mut Vec<Action>,
    ) {
        let writes = unread.is_none();
        let permit = match self.permit_send(id, worker, writes) {
            Ok(permit) => permit,
            Err(refusal) => {
                return out.push(Action::SendDenied {
                    request: id,
                    worker: worker.clone(),
                    refusal,
                });
            }
        };
        let (Some(r), Some(w)) = (self.requests.get(&id), self.workers.get(worker)) else {
            return;
        };
        let class = &self.config.classes[r.class];
        let left = r.spec.deadline.saturating_sub(self.now);
        let prompt = r.spec.prompt_tokens as f64;
        let far = self.distance(r.kv_state.reader(), w);
        let (tokens, work, pace) = if let Some(unread) = unread {
            let work = self.queued_tokens(worker, 0.0)
                + unread
                + self.learned.uncached_tokens.value_or(prompt);
            (unread, work, self.learned.prefill_us_per_token)
        } else {
            let waiting = self
                .in_flight_at(worker)
                .filter(|a| a.first_token_at.is_none());
            let work = waiting.map(|a| a.tokens).sum::<f64>()
                + prompt
                + self.learned.prompt_tokens.value_or(0.0);
            (
                prompt + r.expected_output_tokens(class),
                work,
                self.learned.first_token_us_per_token[far],
            )
        };
        // Well past what this work takes, but leaving as long again for another try, if there may be one.
        let last = writes && class.idempotency != Idempotency::Idempotent;
        let takes = |work: f64| pace.value_or(0.0) * work * self.latency_factor(worker);
        let expected =
            (takes(work) as Micros) << self.timeout_backoff[usize::from(writes)].saturating_sub(1);
        // Kept text may be gone: a read may have to do the whole prompt.
        let whole =
            (MAX_LOAD_IMBALANCE * takes(work + prompt - unread.unwrap_or(prompt))) as Micros;
        let due = self
            .config
            .connect_timeout
            .saturating_add(whole.max((OVERDUE_FACTOR * expected as f64) as Micros));
        let part = if writes || !self.config.load_unknown() {
            STAGE_SHARE
        } else {
            1.0 - STAGE_SHARE
        };
        // With much of the role cold, no other is better off, and a repeat reads the whole prompt anew:
        // guards against a jam that feeds itself.
        let (can, of) = self.ready(w.role).fold((0.0, 1e-9), |(c, a), (_, w)| {
            (c + self.capacity(w), a + w.weight)
        });
        let part = if writes {
            part
        } else {
            part * (of / can).powi(3).min(4.0)
        };
        let due = due.max((self.ttft_objective(r) as f64 * part) as Micros);
        let due = if left / 2 > expected {
            due.min(left - expected)
        } else {
            left
        };
        let timeout = (!last).then_some(due);
        if !writes {
            self.prefix_cache.credit(&r.spec, worker, self.now);
        }
        let (now, window) = (self.now, self.slow_start_window());
        self.workers
            .entry(worker.clone())
            .and_modify(|w| w.slow_start_sends.push(now, window));
        let (due, sent, outcome, first) = (self.now + due, self.now, None, None);
        let attempt = Attempt {
            worker: worker.clone(),
            is_decode: writes,
            distance: far,
            sent_at: sent,
            due_at: due,
            tokens,
            work,
            outcome,
            first_token_at: first,
        };
        if let Some(r) = self.requests.get_mut(&id) {
            self.in_flight
                .entry(worker.clone())
                .or_default()
                .insert((id, r.attempts.len()));
            r.attempts.push(attempt);
            r.phase = if writes {
                Phase::DecodeRequested
            } else {
                Phase::Prefilling
            };
            if !writes {
                r.kv_state.clear();
            }
        }
        out.push(Action::Send {
            request: id,
            worker: worker.clone(),
            timeout,
            permit,
        });
    }
}
