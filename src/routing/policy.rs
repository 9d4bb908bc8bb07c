//! The decisions. Settings, events and actions: `src/routing/types.rs`. Why it is built so: `docs/design.md`.
//!
//! Preble's E2 decides the ordinary path; everything else answers a trouble and says which.

mod admission;
pub(crate) mod call_permit;
pub(crate) mod close_permit;
mod health;
pub(crate) mod kv_state;
mod membership;
mod outcomes;
mod placement;
pub(crate) mod send_permit;
mod sending;
mod slow_start;

use crate::routing::model::*;
use crate::routing::types::*;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A prefix not sent to a reader for this long is no longer credited there (the design's value).
const PREFIX_TTL: Micros = 30_000_000;
/// A reader whose load passes this multiple of the mean is not exploited (the design's value).
const MAX_LOAD_IMBALANCE: f64 = 2.0;
/// Weight of a new sample in every learned average: the last ten or so count, enough to outlast one outlier.
const EWMA_WEIGHT: f64 = 0.1;
/// The part of its aim that a read, and a writer's beginning, may take: the third is for another try.
const STAGE_SHARE: f64 = 1.0 / 3.0;
/// A worker is set aside when this share of its recent outcomes failed: most of them.
const EJECTION_THRESHOLD: f64 = 0.5;
/// Most trials of a sick worker in a row that double the wait before the next one.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Sweeps in each release limit: fine enough that nothing held comes near it.
const SWEEPS_PER_HOLD_LIMIT: Micros = 12;
/// News of load is worth half after this: the queues that workers hold without refusing are of seconds.
const LOAD_HALF_LIFE: Micros = 2_000_000;
/// What is known of streams is worth half after this: they last for seconds.
const STREAM_HALF_LIFE: Micros = 4 * LOAD_HALF_LIFE;
/// More requests than this that wait are gone on with together.
const MAX_QUEUED_FOR_IMMEDIATE_DISPATCH: usize = 16;
/// How long those wait for each other: far less than a request takes, far more than a look at all of them.
const DISPATCH_DELAY: Micros = 10_000;
const SWEEP_TIMER: TimerId = TimerId(1);
const DISPATCH_TIMER: TimerId = TimerId(2);

/// The decision module of one router.
#[derive(Default)]
pub struct Policy {
    config: RoutingConfig,
    seed: u64,
    now: Micros,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    requests: BTreeMap<RequestId, Request>,
    /// The attempts without an outcome at each worker.
    in_flight: BTreeMap<WorkerId, BTreeSet<(RequestId, usize)>>,
    prefix_cache: PrefixTable,
    tenants: BTreeMap<String, (f64, f64, Micros)>, // this router's part of the promised rate, level, since
    learned: LearnedRates,
    local_timeouts: DecayingSum, // sends to writers in the reader's cell that did not begin in time
    remote_timeouts: DecayingSum, // states that did not reach a writer out of the reader's cell in time
    timeout_backoff: [u32; 2],
    max_ready: [usize; 3],   // workers of each role seen in service at once
    slow_start_from: Micros, // nothing goes to workers in slow start before: a predecessor may have sent
    is_sweep_scheduled: bool,
    is_dispatch_scheduled: bool,
    endpoint_fetch_failures: u32,
    endpoint_fetch_due: Option<Micros>,
}

impl Policy {
    /// A module that knows nothing yet.
    pub fn new(settings: RoutingConfig, seed: u64) -> Self {
        let mut policy = Policy {
            seed,
            slow_start_from: Micros::MAX,
            ..Policy::default()
        };
        policy.update_config(settings);
        policy
    }

    /// New requests begin under these settings; see `settle` for what those in hand keep.
    pub fn update_config(&mut self, settings: RoutingConfig) {
        self.tenants = levels(&settings, &self.tenants);
        self.workers
            .values_mut()
            .for_each(|w| (w.answers, w.full_until) = Default::default());
        let requests = self.requests.values_mut();
        self.config = RoutingConfig {
            classes: merge_classes(&self.config.classes, &settings.classes, requests),
            ..settings
        };
    }

    /// Takes one event in and appends the actions that answer it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let ended = matches!(
            event,
            Event::AttemptCompleted(_)
                | Event::StreamStarted { .. }
                | Event::EndpointsUpdated { .. }
                | Event::HealthCheckCompleted { .. }
        );
        match event {
            Event::EndpointsUpdated { kind, entries } => self.apply_endpoints(kind, entries),
            Event::RequestArrived(ask) => self.on_request_arrived(ask, out),
            Event::StreamStarted {
                request,
                attempt,
                elapsed,
            } => self.on_stream_started(request, attempt, elapsed),
            Event::AttemptCompleted(end) => self.on_attempt_completed(end, out),
            Event::ClientDisconnected { request } => self.close(request, out),
            Event::Timer(timer) if timer == SWEEP_TIMER => self.on_sweep_timer(out),
            Event::Timer(timer) if timer == DISPATCH_TIMER => {
                self.is_dispatch_scheduled = false;
                self.dispatch_queued(false, out);
            }
            Event::HealthCheckCompleted { worker, report, .. } => {
                self.record_load_report(&worker, report)
            }
            Event::SlowStart { allowed } => {
                let from = now.saturating_add(self.slow_start_window());
                self.slow_start_from = if allowed { from } else { Micros::MAX };
            }
            // Nothing is told to peers. Places are never held ahead: the writer is picked after the read.
            Event::Timer(_) | Event::ReservationResult { .. } | Event::GossipReceived { .. } => {}
        }
        if ended {
            self.schedule_dispatch(out);
        }
        if !self.is_sweep_scheduled
            && (!self.requests.is_empty() || self.endpoint_fetch_due.is_some())
        {
            self.is_sweep_scheduled = true;
            out.push(Action::Timer {
                at: self.now + self.sweep_interval(),
                timer: SWEEP_TIMER,
            });
        }
    }

    fn sweep_interval(&self) -> Micros {
        (self.config.kv_state_hold_limit / SWEEPS_PER_HOLD_LIMIT)
            .clamp(self.config.batch_interval.max(1_000), 100_000)
    }

    /// Looks after all that time alone changes: overdue answers, held states, waiting requests, old entries.
    fn on_sweep_timer(&mut self, out: &mut Vec<Action>) {
        self.is_sweep_scheduled = false;
        if self.endpoint_fetch_due.is_some_and(|due| due <= self.now) {
            self.endpoint_fetch_due = None;
            out.push(Action::Subscribe);
        }
        self.prefix_cache
            .expire(self.now.saturating_sub(PREFIX_TTL));
        self.dispatch_queued(true, out);
    }

    /// Goes on with what waits: at once, or, where much waits, with all that happens in the next moment
    /// together. Guards against a process that a jam takes all of its time: each end of an attempt had
    /// everything that waits looked at.
    fn schedule_dispatch(&mut self, out: &mut Vec<Action>) {
        let waits = |r: &&Request| matches!(r.phase, Phase::Queued | Phase::AwaitingDecode);
        if self.requests.values().filter(waits).count() <= MAX_QUEUED_FOR_IMMEDIATE_DISPATCH {
            return self.dispatch_queued(false, out);
        }
        if !std::mem::replace(&mut self.is_dispatch_scheduled, true) {
            out.push(Action::Timer {
                at: self.now + DISPATCH_DELAY,
                timer: DISPATCH_TIMER,
            });
        }
    }

    /// Goes on with what waits, what is worth most first; at a sweep also with what may be overdue.
    fn dispatch_queued(&mut self, all: bool, out: &mut Vec<Action>) {
        let mut open: Vec<(RequestId, f64)> = (self.requests.iter())
            .filter(|(_, r)| match r.phase {
                Phase::Queued | Phase::AwaitingDecode => true,
                Phase::Prefilling | Phase::DecodeRequested => all,
                Phase::Streaming | Phase::Done => false,
            })
            .map(|(id, r)| {
                (
                    *id,
                    if r.phase == Phase::AwaitingDecode {
                        f64::MAX
                    } else {
                        self.priority_weight(r)
                    },
                )
            })
            .collect();
        open.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        for (id, _) in open {
            self.advance(id, out);
        }
    }

    /// Takes a request as far as it can go now.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let margin = 2 * self.sweep_interval();
        // Of unknown fate, and no worker may repeat it: waiting gains its client nothing.
        let stuck = r.may_have_run() && !self.workers.values().any(|w| self.may_repeat_at(r, w));
        let hopeless = self.now + margin >= r.spec.deadline;
        match r.phase {
            Phase::Streaming | Phase::Done => {}
            // Its time-out is trimmed to the deadline and its outcome comes within the slack.
            Phase::Prefilling if self.now < r.spec.deadline => {}
            Phase::DecodeRequested if self.now < r.spec.deadline => {
                self.release_behind_send(id, out)
            }
            Phase::Prefilling | Phase::DecodeRequested => {
                self.end_unanswered(id, EndReason::DeadlineExceeded, out)
            }
            _ if hopeless => self.end_unanswered(id, EndReason::DeadlineExceeded, out),
            _ if r.attempts_exhausted() => {
                self.end_unanswered(id, EndReason::AttemptsExhausted, out)
            }
            _ if stuck => self.end_unanswered(id, EndReason::RetryNotAllowed, out),
            Phase::Queued => self.start(id, out),
            Phase::AwaitingDecode => {
                let release_at = r.kv_state.release_by(
                    self.config
                        .kv_state_hold_limit
                        .saturating_sub(self.release_margin(kv_state::SWEEPS_BEFORE_RELEASE)),
                );
                if self.now >= release_at {
                    self.release(id, ReleaseReason::HoldExpiring, out);
                    self.requests
                        .entry(id)
                        .and_modify(|r| r.phase = Phase::Queued);
                    self.start(id, out);
                } else if let Some(writer) = self.pick_decode_worker(id, r.kv_state.reader()) {
                    self.send(id, &writer, None, out);
                }
            }
        }
    }
}
