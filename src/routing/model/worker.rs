//! State that a router keeps for one worker.

use super::{DecayingSum, Ewma, RecentSends};
use crate::routing::types::{LoadReport, Micros, Role, Status};
use std::collections::BTreeMap;

/// Decayed counts of recent failures and successes.
#[derive(Clone, Copy, Default)]
pub(crate) struct OutcomeCounts {
    pub failures: DecayingSum,
    pub successes: DecayingSum,
}

/// Recently ended streams of a decode worker.
#[derive(Clone, Copy, Default)]
pub(crate) struct StreamStats {
    /// Sum of the streams' durations, in microseconds.
    pub duration: DecayingSum,
    /// Number of streams that were served completely.
    pub completions: DecayingSum,
}

/// Ratio of decode capacity to prefill capacity near a worker, each as a fraction of all workers' capacity.
/// Above 1 there is spare decode capacity.
#[derive(Clone, Copy, Default)]
pub(crate) struct LocalDecodeShare {
    pub cell: f64,
    pub zone: f64,
}

/// Class (by index) and tenant of requests. Workers may reject these for lack of capacity while they accept
/// others.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CapacityKey {
    pub class: usize,
    pub tenant: Option<String>,
}

/// A worker and its state as known to this router.
#[derive(Default)]
pub(crate) struct Worker {
    pub role: Role,
    pub zone: String,
    pub cell: u64,
    pub weight: f64,
    pub memory_tokens: f64,
    pub status: Status,
    /// Start time of the worker's process according to the endpoint list.
    pub started: Option<Micros>,
    /// Recent sends of this router to the worker.
    pub recent_sends: RecentSends,
    /// Requests that the worker recently completed.
    pub completions: DecayingSum,
    /// Latest load report and the time of its arrival.
    pub report: Option<(Micros, LoadReport)>,
    pub local_decode_share: LocalDecodeShare,
    /// Queued tokens inferred from timed-out prefills, for workers that report no load.
    pub inferred_queued_tokens: DecayingSum,
    /// Average ratio of actual to expected duration of the worker's work.
    pub latency_factor: Ewma,
    /// Moving average of failures among recent outcomes; the newest has the largest weight.
    pub failure_rate: f64,
    pub outcomes: OutcomeCounts,
    pub last_success_at: Micros,
    /// Latest send time among the attempts that the worker has answered.
    pub latest_answered_send: Micros,
    /// The worker is ejected as an outlier until this time.
    pub ejected_until: Micros,
    pub ejections_in_a_row: u32,
    /// Connections to the worker fail, and it has not answered since.
    pub unreachable: bool,
    pub connect_failed_at: Option<Micros>,
    /// Lost answers (failures) and received answers (successes), by class index.
    pub answers_by_class: BTreeMap<usize, OutcomeCounts>,
    pub streams: StreamStats,
    /// Time until which the worker is assumed to be full for requests of a class and tenant.
    pub full_until: BTreeMap<CapacityKey, Micros>,
}

impl Worker {
    /// Records that the worker has rejected such a request for lack of capacity. Removes expired entries,
    /// since the map would otherwise grow with every tenant name that clients send.
    pub fn mark_full(&mut self, key: CapacityKey, now: Micros, until: Micros) {
        self.full_until.retain(|_, until| *until > now);
        self.full_until.insert(key, until);
    }

    /// Whether the worker is assumed to be full for such a request.
    pub fn is_full(&self, key: &CapacityKey, now: Micros) -> bool {
        self.full_until.get(key).is_some_and(|until| *until > now)
    }

    /// Whether the worker answered within the window that ends now and no connection to it has failed since.
    pub fn answered_within(&self, now: Micros, window: Micros) -> bool {
        self.last_success_at + window > now
            && self
                .connect_failed_at
                .is_none_or(|at| at < self.last_success_at)
    }

    /// Whether the worker is listed but gets no regular traffic, because it is draining, ejected or
    /// unreachable.
    pub fn is_avoided(&self, now: Micros) -> bool {
        match self.status {
            Status::Ready => self.unreachable || self.ejected_until > now,
            Status::Draining => true,
            Status::Gone => false,
        }
    }
}
