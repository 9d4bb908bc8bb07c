//! What a started answer and an ended attempt teach, and what follows for their request.

use super::*;

impl Policy {
    pub(super) fn on_stream_started(
        &mut self,
        id: RequestId,
        attempt: AttemptIndex,
        elapsed: Micros,
    ) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(attempt.0 as usize) else {
            return;
        };
        a.first_token_at = Some(self.now);
        self.timeout_backoff[1] = self.timeout_backoff[1].saturating_sub(1);
        let (worker, work, pace, sent, class) = (
            a.worker.clone(),
            a.work,
            Some(a.distance),
            a.sent_at,
            r.class,
        );
        if r.phase != Phase::Done {
            r.phase = Phase::Streaming;
        }
        r.kv_state.clear();
        self.record_success(&worker, sent, class);
        self.learn_latency(&worker, pace, elapsed, work);
    }

    pub(super) fn learn_latency(
        &mut self,
        worker: &WorkerId,
        far: Option<usize>,
        elapsed: Micros,
        work: f64,
    ) {
        let pace = far.map_or(&mut self.learned.prefill_us_per_token, |far| {
            &mut self.learned.first_token_us_per_token[far]
        });
        let sample = elapsed as f64 / work.max(1.0);
        // One that hangs says little of its peers: a sample counts as twice the average at the most.
        let bounded = sample.min(2.0 * pace.value_or(sample));
        if far.is_some() {
            self.learned
                .mean_first_token_us_per_token
                .add(bounded, EWMA_WEIGHT);
        }
        let ratio = sample / pace.value_or(sample).max(1e-9);
        pace.add(bounded, EWMA_WEIGHT);
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        w.latency_factor.add(ratio.clamp(0.1, 10.0), EWMA_WEIGHT);
        let role = w.role;
        self.learn_median_latency_factor(role);
    }

    pub(super) fn on_attempt_completed(&mut self, end: AttemptCompleted, out: &mut Vec<Action>) {
        let AttemptCompleted {
            request: id,
            attempt,
            outcome,
            elapsed,
            request_finished: settled,
            cached_tokens: kept,
            report,
        } = end;
        let (now, i) = (self.now, attempt.0 as usize);
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(i).filter(|a| a.outcome.is_none()) else {
            return;
        };
        a.outcome = Some(outcome);
        if let Some(out) = self.in_flight.get_mut(&a.worker) {
            out.remove(&(id, i));
        }
        match outcome {
            AttemptOutcome::Prefilled => {
                self.timeout_backoff[0] = self.timeout_backoff[0].saturating_sub(1)
            }
            AttemptOutcome::TimedOut if a.first_token_at.is_none() => {
                let p = &mut self.timeout_backoff[usize::from(a.is_decode)];
                *p = (*p + 1).min(MAX_BACKOFF_DOUBLINGS);
            }
            _ => {}
        }
        if a.is_decode {
            r.kv_state.send_ended(outcome, now);
        }
        let (worker, writes, work, sent) = (a.worker.clone(), a.is_decode, a.work, a.sent_at);
        let (far, first, tokens) = (a.distance, a.first_token_at, a.tokens);
        let unread = r.spec.prompt_tokens.saturating_sub(kept) as f64;
        let (class, kind) = (r.class, (r.class, r.spec.tenant.clone()));
        if outcome == AttemptOutcome::Prefilled && r.phase != Phase::Done {
            r.kv_state.hold(worker.clone(), now);
        } else if outcome == AttemptOutcome::KvStateMissing || !writes && !outcome.proves_no_run() {
            // A read may have ended well as it was given up or broke; what this writer doesn't find may be
            // elsewhere. What is left is held like any state.
            r.kv_state.clear();
            out.push(Action::Release {
                request: id,
                reason: ReleaseReason::AttemptEnded,
            });
        }
        self.record_load_report(&worker, report);
        if let (Some(at), Some(w)) = (first, self.workers.get_mut(&worker)) {
            let ended = f64::from(u8::from(outcome == AttemptOutcome::Served));
            w.streams[0].add(now, STREAM_HALF_LIFE, (now - at) as f64);
            w.streams[1].add(now, STREAM_HALF_LIFE, ended);
        }
        match outcome {
            AttemptOutcome::Prefilled => {
                self.learned.uncached_tokens.add(unread, EWMA_WEIGHT);
                self.record_success(&worker, sent, class);
                self.learn_latency(&worker, None, elapsed, work - tokens + unread);
            }
            AttemptOutcome::Served if first.is_none() => self.record_success(&worker, sent, class),
            // Full, perhaps for this kind of request alone: others may still go there.
            AttemptOutcome::Rejected => {
                let until = now + LOAD_HALF_LIFE / 2;
                self.workers
                    .entry(worker.clone())
                    .and_modify(|w| w.mark_full(kind, now, until));
            }
            // One sent later was answered: this one doesn't wait there, its answer was lost on the way.
            // Guards against setting workers aside, or taking them to be full, while most answers come.
            AttemptOutcome::TimedOut
                if self
                    .workers
                    .get(&worker)
                    .is_some_and(|w| w.latest_answered_send > sent) =>
            {
                if let Some(w) = self.workers.get_mut(&worker) {
                    w.answers.entry(class).or_default()[0].add(now, LOAD_HALF_LIFE, 1.0);
                }
            }
            AttemptOutcome::TimedOut => {
                self.learn_latency(&worker, writes.then_some(far), elapsed, work);
                self.record_failure(&worker, sent);
                if writes {
                    let hung = if far > 0 {
                        &mut self.remote_timeouts
                    } else {
                        &mut self.local_timeouts
                    };
                    hung.add(now, LOAD_HALF_LIFE, 1.0);
                }
                // Without a report, it's as if it had told of so much work.
                let waiting = elapsed as f64
                    / self
                        .learned
                        .prefill_us_per_token
                        .value_or(f64::MAX)
                        .max(1e-9);
                if !writes && self.config.load_unknown() {
                    self.workers
                        .entry(worker.clone())
                        .and_modify(|w| w.inferred_queued_tokens.add(now, LOAD_HALF_LIFE, waiting));
                }
            }
            AttemptOutcome::Error | AttemptOutcome::ConnectionLost => {
                self.workers
                    .entry(worker.clone())
                    .and_modify(|w| w.faults[0].add(now, PREFIX_TTL, 1.0));
                self.record_failure(&worker, sent);
            }
            AttemptOutcome::ConnectFailed => {
                // Twice in a row: once may be a full table of connections.
                self.workers.entry(worker.clone()).and_modify(|w| {
                    (w.unreachable, w.connect_failed_at) = (
                        w.unreachable || w.failure_rate >= EJECTION_THRESHOLD,
                        Some(now),
                    );
                });
                self.record_failure(&worker, sent);
            }
            AttemptOutcome::Served
            | AttemptOutcome::KvStateMissing
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => {}
        }
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if settled || r.phase == Phase::Done {
            // Whatever the attempt left behind is let go, also what a drop or a late read left.
            if outcome != AttemptOutcome::Served {
                r.kv_state.hold(worker, now);
            }
            self.close(id, out);
            return;
        }
        r.phase = if r.kv_state.is_held() {
            Phase::AwaitingDecode
        } else {
            Phase::Queued
        };
        self.advance(id, out);
    }
}
