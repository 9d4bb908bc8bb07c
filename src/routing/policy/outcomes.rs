//! What a started answer and an ended attempt teach, and what follows for their request.

use super::*;

impl Policy {
    pub(super) fn started(&mut self, id: RequestId, attempt: AttemptIndex, elapsed: Micros) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(attempt.0 as usize) else {
            return;
        };
        a.first = Some(self.now);
        self.patience[1] = self.patience[1].saturating_sub(1);
        let (worker, work, pace, sent, class) =
            (a.worker.clone(), a.work, Some(a.far), a.sent, r.class);
        if r.phase != Phase::Done {
            r.phase = Phase::Streaming;
        }
        r.held.clear();
        self.good(&worker, sent, class);
        self.learn(&worker, pace, elapsed, work);
    }

    pub(super) fn learn(
        &mut self,
        worker: &WorkerId,
        far: Option<usize>,
        elapsed: Micros,
        work: f64,
    ) {
        let pace = far.map_or(&mut self.learned.read_pace, |far| {
            &mut self.learned.write_pace[far]
        });
        let sample = elapsed as f64 / work.max(1.0);
        // One that hangs says little of its peers: a sample counts as twice the average at the most.
        let bounded = sample.min(2.0 * pace.or(sample));
        if far.is_some() {
            self.learned.first_pace.add(bounded, LEARN);
        }
        let ratio = sample / pace.or(sample).max(1e-9);
        pace.add(bounded, LEARN);
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        w.slowness.add(ratio.clamp(0.1, 10.0), LEARN);
        let role = w.role;
        self.learn_slowness(role);
    }

    pub(super) fn ended(&mut self, end: AttemptCompleted, out: &mut Vec<Action>) {
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
        if let Some(out) = self.out.get_mut(&a.worker) {
            out.remove(&(id, i));
        }
        match outcome {
            AttemptOutcome::Prefilled => self.patience[0] = self.patience[0].saturating_sub(1),
            AttemptOutcome::TimedOut if a.first.is_none() => {
                let p = &mut self.patience[usize::from(a.writes)];
                *p = (*p + 1).min(MAX_DOUBLINGS);
            }
            _ => {}
        }
        if a.writes {
            r.held.send_ended(outcome, now);
        }
        let (worker, writes, work, sent) = (a.worker.clone(), a.writes, a.work, a.sent);
        let (far, first, tokens) = (a.far, a.first, a.tokens);
        let unread = r.ask.prompt_tokens.saturating_sub(kept) as f64;
        let (class, kind) = (r.class, (r.class, r.ask.tenant.clone()));
        if outcome == AttemptOutcome::Prefilled && r.phase != Phase::Done {
            r.held.hold(worker.clone(), now);
        } else if outcome == AttemptOutcome::KvStateMissing || !writes && !outcome.never_ran() {
            // A read may have ended well as it was given up or broke; what this writer doesn't find may be
            // elsewhere. What is left is held like any state.
            r.held.clear();
            out.push(Action::Release {
                request: id,
                reason: ReleaseReason::AttemptEnded,
            });
        }
        self.heard(&worker, report);
        if let (Some(at), Some(w)) = (first, self.workers.get_mut(&worker)) {
            let ended = f64::from(u8::from(outcome == AttemptOutcome::Served));
            w.streams[0].add(now, STREAMS_HALF_LIFE, (now - at) as f64);
            w.streams[1].add(now, STREAMS_HALF_LIFE, ended);
        }
        match outcome {
            AttemptOutcome::Prefilled => {
                self.learned.unread.add(unread, LEARN);
                self.good(&worker, sent, class);
                self.learn(&worker, None, elapsed, work - tokens + unread);
            }
            AttemptOutcome::Served if first.is_none() => self.good(&worker, sent, class),
            // Full, perhaps for this kind of request alone: others may still go there.
            AttemptOutcome::Rejected => {
                let until = now + HALF_LIFE / 2;
                self.workers
                    .entry(worker.clone())
                    .and_modify(|w| w.turned_away(kind, now, until));
            }
            // One sent later was answered: this one doesn't wait there, its answer was lost on the way.
            // Guards against setting workers aside, or taking them to be full, while most answers come.
            AttemptOutcome::TimedOut
                if self
                    .workers
                    .get(&worker)
                    .is_some_and(|w| w.good_sent > sent) =>
            {
                if let Some(w) = self.workers.get_mut(&worker) {
                    w.answers.entry(class).or_default()[0].add(now, HALF_LIFE, 1.0);
                }
            }
            AttemptOutcome::TimedOut => {
                self.learn(&worker, writes.then_some(far), elapsed, work);
                self.bad(&worker, sent);
                if writes {
                    let hung = if far > 0 {
                        &mut self.hung_far
                    } else {
                        &mut self.hung_near
                    };
                    hung.add(now, HALF_LIFE, 1.0);
                }
                // Without a report, it's as if it had told of so much work.
                let waiting = elapsed as f64 / self.learned.read_pace.or(f64::MAX).max(1e-9);
                if !writes && self.set.load_unknown() {
                    self.workers
                        .entry(worker.clone())
                        .and_modify(|w| w.others.add(now, HALF_LIFE, waiting));
                }
            }
            AttemptOutcome::Error | AttemptOutcome::ConnectionLost => {
                self.workers
                    .entry(worker.clone())
                    .and_modify(|w| w.faults[0].add(now, PREFIX_TTL, 1.0));
                self.bad(&worker, sent);
            }
            AttemptOutcome::ConnectFailed => {
                // Twice in a row: once may be a full table of connections.
                self.workers.entry(worker.clone()).and_modify(|w| {
                    (w.lost, w.unreached) = (w.lost || w.failing >= SICK, Some(now));
                });
                self.bad(&worker, sent);
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
                r.held.hold(worker, now);
            }
            self.close(id, out);
            return;
        }
        r.phase = if r.held.is_held() {
            Phase::Held
        } else {
            Phase::Waiting
        };
        self.step(id, out);
    }
}
