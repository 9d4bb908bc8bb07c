//! Plain data that the decisions in `src/routing/policy.rs` keep. No decision and no tuned value is made here.

mod prefix_table;

pub(crate) use prefix_table::PrefixTable;

use crate::routing::policy::kv_state::KvStateHold;
use crate::routing::types::{
    AttemptOutcome, Idempotency, LoadReport, Micros, RequestClass, RequestSpec, Role,
    RoutingConfig, Status, Tenant,
};
use crate::routing::types::{RequestId, WorkerId};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The part that is left of something at `at` when half of it is forgotten every `half_life`.
pub(crate) fn decay(now: Micros, at: Micros, half_life: Micros) -> f64 {
    0.5f64.powf(now.saturating_sub(at) as f64 / half_life as f64)
}

/// A sum that is forgotten by halves; never below zero.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    pub value: f64,
    pub at: Micros,
}

impl DecayingSum {
    pub fn value_at(&self, now: Micros, half_life: Micros) -> f64 {
        self.value * decay(now, self.at, half_life)
    }

    pub fn add(&mut self, now: Micros, half_life: Micros, amount: f64) {
        *self = DecayingSum {
            value: (self.value_at(now, half_life) + amount).max(0.0),
            at: now,
        };
    }
}

/// A moving average: the plain mean until `weight` is the larger part for a new sample.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ewma {
    value: f64,
    samples: f64,
}

impl Ewma {
    /// An average that begins as if it had seen `samples` of that value.
    pub fn from_prior(value: f64, samples: f64) -> Self {
        Ewma { value, samples }
    }

    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * weight.max(1.0 / self.samples);
    }

    pub fn value_or(&self, default: f64) -> f64 {
        if self.samples > 0.0 {
            self.value
        } else {
            default
        }
    }
}

/// A report without figures that can't be.
pub(crate) fn without_invalid_values(report: LoadReport) -> LoadReport {
    let sane = |figure: Option<f64>| figure.filter(|v| v.is_finite() && *v >= 0.0);
    let (memory_share, tokens_waiting) = (sane(report.memory_share), sane(report.queued_tokens));
    LoadReport {
        memory_share,
        queued_tokens: tokens_waiting,
        ..report
    }
}

/// When the sends of the last while were made, oldest first.
#[derive(Default)]
pub(crate) struct RecentSends(VecDeque<Micros>);

impl RecentSends {
    /// Enters one, and forgets those that are older than `keep`.
    pub fn push(&mut self, now: Micros, keep: Micros) {
        self.0.retain(|at| at.saturating_add(keep) >= now);
        self.0.push_back(now);
    }

    /// How many were made within that time, its ends included.
    pub fn within(&self, now: Micros, time: Micros) -> usize {
        self.0
            .iter()
            .rev()
            .take_while(|at| at.saturating_add(time) >= now)
            .count()
    }
}

/// The middle one of some values, the upper one of two; 1 where there are none.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut all: Vec<f64> = values.collect();
    let middle = all.len() / 2;
    match all.is_empty() {
        true => 1.0,
        false => *all.select_nth_unstable_by(middle, f64::total_cmp).1,
    }
}

/// What this router has measured of the fleet.
#[derive(Default)]
pub(crate) struct LearnedRates {
    pub prefill_us_per_token: Ewma,
    pub first_token_us_per_token: [Ewma; 3], // to the first token; the state moves in a cell, in a zone, or between zones
    pub mean_first_token_us_per_token: Ewma, // the same over all distances
    pub completions_per_us: [Ewma; 3], // of each role: what one warm worker of weight 1 completes in a microsecond
    pub median_latency_factor: [f64; 3], // of each role: the median of its workers, learned with each change
    pub uncached_tokens: Ewma,
    pub prompt_tokens: Ewma,
}

/// What a router knows of a worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub role: Role,
    pub zone: String,
    pub cell: u64,
    pub weight: f64,
    pub memory_tokens: f64,
    pub status: Status,
    /// Start of its process, as listed.
    pub started: Option<Micros>,
    /// What this router has sent it of late.
    pub slow_start_sends: RecentSends,
    /// Work that it was seen to complete.
    pub completed: DecayingSum,
    pub report: Option<(Micros, LoadReport)>,
    /// Writers' part over readers' part, in its cell and in its zone.
    pub local_decode_share: [f64; 2],
    /// Tokens that unanswered reads tell of.
    pub inferred_queued_tokens: DecayingSum,
    /// Time taken over time expected, for each kind of work.
    pub latency_factor: Ewma,
    pub failure_rate: f64,
    /// Its failures of late, and its good answers.
    pub faults: [DecayingSum; 2],
    pub last_success_at: Micros,
    /// When the latest was sent of those that it has answered.
    pub latest_answered_send: Micros,
    pub ejected_until: Micros,
    pub ejections_in_a_row: u32,
    pub unreachable: bool,
    /// When it was last not reached.
    pub connect_failed_at: Option<Micros>,
    /// Attempts of each class whose answers were lost, and those whose answers came.
    pub answers: BTreeMap<usize, [DecayingSum; 2]>,
    /// The time that streams have run there, of those that are over, and how many of them came to their end.
    pub streams: [DecayingSum; 2],
    /// Until when it is taken to be full, for requests of a class and tenant.
    pub full_until: BTreeMap<(usize, Option<String>), Micros>,
}

impl Worker {
    /// It has turned such a request away. What is over is dropped: tenants are whatever names clients write, and
    /// the entries of all of them would be kept for as long as the worker is.
    pub fn mark_full(&mut self, kind: (usize, Option<String>), now: Micros, until: Micros) {
        self.full_until.retain(|_, until| *until > now);
        self.full_until.insert(kind, until);
    }

    /// Whether it answered within that time, and could be reached ever since.
    pub fn answered_within(&self, now: Micros, time: Micros) -> bool {
        self.last_success_at + time > now
            && self
                .connect_failed_at
                .is_none_or(|at| at < self.last_success_at)
    }

    /// Whether new requests pass it by though it is listed: it drains, was set aside after failures, or could not be
    /// reached and has not answered since.
    pub fn is_avoided(&self, now: Micros) -> bool {
        match self.status {
            Status::Ready => self.unreachable || self.ejected_until > now,
            Status::Draining => true,
            Status::Gone => false,
        }
    }

    /// Whether it is taken to be full for such a request.
    pub fn is_full(&self, kind: &(usize, Option<String>), now: Micros) -> bool {
        self.full_until.get(kind).is_some_and(|until| *until > now)
    }
}

/// Where a request stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Phase {
    /// Nothing out, nothing held.
    Queued,
    /// A read is out.
    Prefilling,
    /// The state waits at a reader; nothing out.
    AwaitingDecode,
    /// A send to a writer is out.
    DecodeRequested,
    /// The answer streams; the client has it from here.
    Streaming,
    /// Answered; attempts may still be out.
    Done,
}

/// A request that this router has taken.
pub(crate) struct Request {
    pub spec: RequestSpec,
    /// Its class's place in the settings.
    pub class: usize,
    pub arrived_at: Micros,
    pub over_quota: bool,
    /// Attempts allowed, by the settings it began under.
    pub max_attempts: u32,
    pub phase: Phase,
    pub attempts: Vec<Attempt>,
    /// What a reader may hold for it.
    pub kv_state: KvStateHold,
}

impl Request {
    /// Whether some attempt may have had an effect, or still may. One that is out counts wherever it is: until it
    /// has ended nobody knows.
    pub fn may_have_run(&self) -> bool {
        self.in_flight().next().is_some() || self.possible_runs().next().is_some()
    }

    /// The attempts that may have had an effect, or still may: those at writers without an outcome that rules it out.
    pub fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        let ruled_out = |a: &Attempt| {
            a.outcome
                .is_some_and(AttemptOutcome::proves_no_run_at_decode_worker)
        };
        self.attempts
            .iter()
            .filter(move |a| a.is_decode && !ruled_out(a))
    }

    /// Whether all its attempts have been made.
    pub fn attempts_exhausted(&self) -> bool {
        self.attempts.len() as u32 >= self.max_attempts
    }

    /// Whether an attempt got no answer in time.
    pub fn has_timed_out(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| a.outcome == Some(AttemptOutcome::TimedOut))
    }

    /// Whether an attempt there has failed. A read that wasn't answered in time may have left its text there.
    pub fn failed_at(&self, worker: &WorkerId) -> bool {
        let failed = |a: &Attempt| match a.outcome {
            None | Some(AttemptOutcome::Prefilled) => false,
            Some(AttemptOutcome::TimedOut) => a.is_decode,
            Some(_) => true,
        };
        self.attempts
            .iter()
            .any(|a| a.worker == *worker && failed(a))
    }

    /// Whether time is short for what is held: it ran on during the last attempt, which nothing was heard of.
    pub fn is_hold_expiring(&self) -> bool {
        let unheard = |a: &Attempt| a.outcome.is_some_and(|outcome| !outcome.proves_arrival());
        self.kv_state.is_held() && self.attempts.last().is_some_and(unheard)
    }

    pub fn new(
        ask: RequestSpec,
        class: usize,
        now: Micros,
        over_share: bool,
        most_attempts: u32,
    ) -> Self {
        let (arrived, phase) = (now, Phase::Queued);
        let (attempts, held) = (Vec::new(), KvStateHold::default());
        Request {
            spec: ask,
            class,
            arrived_at: arrived,
            over_quota: over_share,
            max_attempts: most_attempts,
            phase,
            attempts,
            kv_state: held,
        }
    }

    /// The attempts without an outcome.
    pub fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.outcome.is_none())
    }
}

/// The place of a class; the last one if the settings don't name it.
pub(crate) fn class_index(classes: &[RequestClass], name: &str) -> usize {
    classes
        .iter()
        .position(|c| c.name == name && !name.is_empty())
        .unwrap_or(classes.len() - 1)
}

/// The classes of new settings, and behind them those of requests in hand, which keep theirs with effect, worth and
/// times. What is not the request's own (rules, permissions) is the new for all.
pub(crate) fn merge_classes<'a>(
    old: &[RequestClass],
    new: &[RequestClass],
    requests: impl Iterator<Item = &'a mut Request>,
) -> Vec<RequestClass> {
    let mut all = new.to_vec();
    let mut moved = BTreeMap::new();
    for request in requests {
        let class = request.class;
        request.class = *moved.entry(class).or_insert_with(|| {
            // Without a name no new request finds it.
            all.push(RequestClass {
                name: String::new(),
                ..old[class].clone()
            });
            all.len() - 1
        });
    }
    // The last one is of requests whose class the settings don't name: never repeated, worth least.
    all.push(RequestClass {
        idempotency: Idempotency::NonIdempotent,
        ..RequestClass::default()
    });
    all
}

/// This router's part of each tenant's promised rate, with the level that the tenant had.
pub(crate) fn levels(
    settings: &RoutingConfig,
    held: &BTreeMap<String, (f64, f64, Micros)>,
) -> BTreeMap<String, (f64, f64, Micros)> {
    let tenant = |t: &Tenant| {
        let (_, level, at) = held.get(&t.name).copied().unwrap_or((0.0, f64::MAX, 0));
        (
            t.name.clone(),
            (
                t.quota_per_s / f64::from(settings.routers.max(1)),
                level,
                at,
            ),
        )
    };
    settings.tenants.iter().map(tenant).collect()
}

/// One send of a request.
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub is_decode: bool,
    /// 0 within the cell, 1 within the zone, 2 beyond.
    pub distance: usize,
    pub sent_at: Micros,
    pub due_at: Micros,
    pub tokens: f64,
    pub work: f64,
    pub outcome: Option<AttemptOutcome>,
    pub first_token_at: Option<Micros>,
}

/// A reader as one decision sees it.
pub(crate) struct View<'a> {
    pub id: &'a WorkerId,
    pub slow: f64,
    pub load: f64,
    /// Prompt tokens not kept there.
    pub rest: f64,
    pub rank: u64,
}

/// Keeps those that are liked, if there are any.
pub(crate) fn retain_preferred<T>(all: &mut Vec<T>, like: impl Fn(&T) -> bool) {
    if all.iter().any(&like) {
        all.retain(like);
    }
}

/// A hash as a number between 0 and 1, neither of them.
pub(crate) fn hash_to_unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// What all routers hash alike: the shared text and which of its `homes` the session has, else the session; else
/// something of this router's own.
pub(crate) fn affinity_key(ask: &RequestSpec, own: u64, homes: u64) -> u64 {
    let RequestId(id) = ask.request;
    let session = ask
        .session
        .as_ref()
        .map_or(id ^ own, |s| xxh3_64(s.as_bytes()));
    match &ask.prefix {
        Some(prefix) if homes > 1 => xxh3_64_with_seed(prefix.as_bytes(), session % homes),
        Some(prefix) => xxh3_64(prefix.as_bytes()),
        None => session,
    }
}

#[cfg(test)]
mod tests;
