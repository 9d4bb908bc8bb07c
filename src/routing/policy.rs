//! The decisions. Settings, events and actions: `src/routing/types.rs`. Why it is built so: `docs/design.md`.
//!
//! Preble's E2 decides the ordinary path; everything else answers a trouble and says which.

mod admission;
pub(crate) mod call_permission;
pub(crate) mod close_permission;
mod health;
pub(crate) mod held_state;
mod membership;
mod outcomes;
pub(crate) mod permission;
mod placement;
mod sending;
mod slow_start;

use crate::routing::model::*;
use crate::routing::types::*;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A prefix not sent to a reader for this long is no longer credited there (the design's value).
const PREFIX_TTL: Micros = 30_000_000;
/// A reader whose load passes this multiple of the mean is not exploited (the design's value).
const IMBALANCE: f64 = 2.0;
/// Weight of a new sample in every learned average: the last ten or so count, enough to outlast one outlier.
const LEARN: f64 = 0.1;
/// The part of its aim that a read, and a writer's beginning, may take: the third is for another try.
const STAGE_PART: f64 = 1.0 / 3.0;
/// A worker is set aside when this share of its recent outcomes failed: most of them.
const SICK: f64 = 0.5;
/// Most trials of a sick worker in a row that double the wait before the next one.
const MAX_DOUBLINGS: u32 = 4;
/// Sweeps in each release limit: fine enough that nothing held comes near it.
const SWEEPS: Micros = 12;
/// News of load is worth half after this: the queues that workers hold without refusing are of seconds.
const HALF_LIFE: Micros = 2_000_000;
/// What is known of streams is worth half after this: they last for seconds.
const STREAMS_HALF_LIFE: Micros = 4 * HALF_LIFE;
/// More requests than this that wait are gone on with together.
const MANY_WAITING: usize = 16;
/// How long those wait for each other: far less than a request takes, far more than a look at all of them.
const RESUME_WITHIN: Micros = 10_000;
const SWEEP: TimerId = TimerId(1);
const RESUME: TimerId = TimerId(2);

/// The decision module of one router.
#[derive(Default)]
pub struct Policy {
    set: RoutingConfig,
    seed: u64,
    now: Micros,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    requests: BTreeMap<RequestId, Request>,
    out: BTreeMap<WorkerId, BTreeSet<(RequestId, usize)>>, // the attempts without an outcome at each worker
    kept: PrefixTable,
    tenants: BTreeMap<String, (f64, f64, Micros)>, // this router's part of the promised rate, level, since
    learned: Learned,
    hung_near: Fading, // sends to writers in the reader's cell that did not begin in time
    hung_far: Fading,  // states that did not reach a writer out of the reader's cell in time
    patience: [u32; 2],
    most: [usize; 3],        // workers of each role seen in service at once
    slow_start_from: Micros, // nothing goes to workers in slow start before: a predecessor may have sent
    swept: bool,
    is_resume_due: bool,
    call_failures: u32,
    call_due: Option<Micros>,
}

impl Policy {
    /// A module that knows nothing yet.
    pub fn new(settings: RoutingConfig, seed: u64) -> Self {
        let mut policy = Policy {
            seed,
            slow_start_from: Micros::MAX,
            ..Policy::default()
        };
        policy.set(settings);
        policy
    }

    /// New requests begin under these settings; see `settle` for what those in hand keep.
    pub fn set(&mut self, settings: RoutingConfig) {
        self.tenants = levels(&settings, &self.tenants);
        self.workers
            .values_mut()
            .for_each(|w| (w.answers, w.full) = Default::default());
        let requests = self.requests.values_mut();
        self.set = RoutingConfig {
            classes: settle(&self.set.classes, &settings.classes, requests),
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
            Event::EndpointsUpdated { kind, entries } => self.list(kind, entries),
            Event::RequestArrived(ask) => self.ask(ask, out),
            Event::StreamStarted {
                request,
                attempt,
                elapsed,
            } => self.started(request, attempt, elapsed),
            Event::AttemptCompleted(end) => self.ended(end, out),
            Event::ClientDisconnected { request } => self.close(request, out),
            Event::Timer(timer) if timer == SWEEP => self.sweep(out),
            Event::Timer(timer) if timer == RESUME => {
                self.is_resume_due = false;
                self.resume(false, out);
            }
            Event::HealthCheckCompleted { worker, report, .. } => self.heard(&worker, report),
            Event::SlowStart { allowed } => {
                let from = now.saturating_add(self.slow_start_window());
                self.slow_start_from = if allowed { from } else { Micros::MAX };
            }
            // Nothing is told to peers. Places are never held ahead: the writer is picked after the read.
            Event::Timer(_) | Event::ReservationResult { .. } | Event::GossipReceived { .. } => {}
        }
        if ended {
            self.resume_soon(out);
        }
        if !self.swept && (!self.requests.is_empty() || self.call_due.is_some()) {
            self.swept = true;
            out.push(Action::Timer {
                at: self.now + self.sweep_every(),
                timer: SWEEP,
            });
        }
    }

    fn sweep_every(&self) -> Micros {
        (self.set.kv_state_hold_limit / SWEEPS).clamp(self.set.batch_interval.max(1_000), 100_000)
    }

    /// Looks after all that time alone changes: overdue answers, held states, waiting requests, old entries.
    fn sweep(&mut self, out: &mut Vec<Action>) {
        self.swept = false;
        if self.call_due.is_some_and(|due| due <= self.now) {
            self.call_due = None;
            out.push(Action::Subscribe);
        }
        self.kept.expire(self.now.saturating_sub(PREFIX_TTL));
        self.resume(true, out);
    }

    /// Goes on with what waits: at once, or, where much waits, with all that happens in the next moment
    /// together. Guards against a process that a jam takes all of its time: each end of an attempt had
    /// everything that waits looked at.
    fn resume_soon(&mut self, out: &mut Vec<Action>) {
        let waits = |r: &&Request| matches!(r.phase, Phase::Waiting | Phase::Held);
        if self.requests.values().filter(waits).count() <= MANY_WAITING {
            return self.resume(false, out);
        }
        if !std::mem::replace(&mut self.is_resume_due, true) {
            out.push(Action::Timer {
                at: self.now + RESUME_WITHIN,
                timer: RESUME,
            });
        }
    }

    /// Goes on with what waits, what is worth most first; at a sweep also with what may be overdue.
    fn resume(&mut self, all: bool, out: &mut Vec<Action>) {
        let mut open: Vec<(RequestId, f64)> = (self.requests.iter())
            .filter(|(_, r)| match r.phase {
                Phase::Waiting | Phase::Held => true,
                Phase::Reading | Phase::Writing => all,
                Phase::Streaming | Phase::Done => false,
            })
            .map(|(id, r)| {
                (
                    *id,
                    if r.phase == Phase::Held {
                        f64::MAX
                    } else {
                        self.worth(r)
                    },
                )
            })
            .collect();
        open.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        for (id, _) in open {
            self.step(id, out);
        }
    }

    /// Takes a request as far as it can go now.
    fn step(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let margin = 2 * self.sweep_every();
        // Of unknown fate, and no worker may repeat it: waiting gains its client nothing.
        let stuck = r.may_have_run() && !self.workers.values().any(|w| self.may_repeat_at(r, w));
        let hopeless = self.now + margin >= r.ask.deadline;
        match r.phase {
            Phase::Streaming | Phase::Done => {}
            // Its time-out is trimmed to the deadline and its outcome comes within the slack.
            Phase::Reading if self.now < r.ask.deadline => {}
            Phase::Writing if self.now < r.ask.deadline => self.release_behind_send(id, out),
            Phase::Reading | Phase::Writing => self.finish(id, EndReason::DeadlineExceeded, out),
            _ if hopeless => self.finish(id, EndReason::DeadlineExceeded, out),
            _ if r.spent() => self.finish(id, EndReason::AttemptsExhausted, out),
            _ if stuck => self.finish(id, EndReason::RetryNotAllowed, out),
            Phase::Waiting => self.begin(id, out),
            Phase::Held => {
                let release_at = r.held.release_by(
                    self.set
                        .kv_state_hold_limit
                        .saturating_sub(self.release_margin(held_state::SWEEPS_BEFORE_RELEASE)),
                );
                if self.now >= release_at {
                    self.release(id, ReleaseReason::HoldExpiring, out);
                    self.requests
                        .entry(id)
                        .and_modify(|r| r.phase = Phase::Waiting);
                    self.begin(id, out);
                } else if let Some(writer) = self.pick_writer(id, r.held.reader()) {
                    self.send(id, &writer, None, out);
                }
            }
        }
    }
}
