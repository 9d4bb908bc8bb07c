//! What a router knows of one worker.

use super::{DecayingSum, Ewma, RecentSends};
use crate::routing::types::{LoadReport, Micros, Role, Status};
use std::collections::BTreeMap;

/// Recent good and bad outcomes.
#[derive(Clone, Copy, Default)]
pub(crate) struct OutcomeCounts {
    pub failures: DecayingSum,
    pub successes: DecayingSum,
}

/// Recent streams of a decode worker that are over.
#[derive(Clone, Copy, Default)]
pub(crate) struct StreamStats {
    /// Sum of the time that they ran, in microseconds.
    pub duration: DecayingSum,
    /// How many of them were served to their end.
    pub completions: DecayingSum,
}

/// Decode capacity over prefill capacity near a worker, each as a share of the fleet's; above 1 there is
/// decode capacity to spare.
#[derive(Clone, Copy, Default)]
pub(crate) struct LocalDecodeShare {
    pub cell: f64,
    pub zone: f64,
}

/// The requests that a worker rejects alike for lack of capacity: those of one class (by index) and tenant.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CapacityKey {
    pub class: usize,
    pub tenant: Option<String>,
}

/// A worker and its state as this router sees it.
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
    /// This router's recent sends to it.
    pub recent_sends: RecentSends,
    /// Requests that it has completed of late.
    pub completed: DecayingSum,
    /// Its latest load report and when it came.
    pub report: Option<(Micros, LoadReport)>,
    pub local_decode_share: LocalDecodeShare,
    /// Queued tokens inferred from prefills that timed out, for workers that report no load.
    pub inferred_queued_tokens: DecayingSum,
    /// Time taken over time expected, over all its work.
    pub latency_factor: Ewma,
    /// Share of recent outcomes that were failures, newest weighted most.
    pub failure_rate: f64,
    pub outcomes: OutcomeCounts,
    pub last_success_at: Micros,
    /// Send time of the latest-sent attempt that it has answered.
    pub latest_answered_send: Micros,
    /// Ejected (as an outlier) until then.
    pub ejected_until: Micros,
    pub ejections_in_a_row: u32,
    /// Its connections fail, and it has not answered since.
    pub unreachable: bool,
    pub connect_failed_at: Option<Micros>,
    /// Answers lost and received, by class index.
    pub answers_by_class: BTreeMap<usize, OutcomeCounts>,
    pub streams: StreamStats,
    /// Until when it is taken to be full for requests of a class and tenant.
    pub full_until: BTreeMap<CapacityKey, Micros>,
}

impl Worker {
    /// The worker has rejected such a request for lack of capacity. Expired entries are removed: tenants
    /// are whatever names clients send, and the map would grow with them.
    pub fn mark_full(&mut self, key: CapacityKey, now: Micros, until: Micros) {
        self.full_until.retain(|_, until| *until > now);
        self.full_until.insert(key, until);
    }

    /// Whether it is taken to be full for such a request.
    pub fn is_full(&self, key: &CapacityKey, now: Micros) -> bool {
        self.full_until.get(key).is_some_and(|until| *until > now)
    }

    /// Whether it answered within the window that ends now and no connection to it has failed since.
    pub fn answered_within(&self, now: Micros, window: Micros) -> bool {
        self.last_success_at + window > now
            && self
                .connect_failed_at
                .is_none_or(|at| at < self.last_success_at)
    }

    /// Whether it is listed but gets no ordinary traffic: draining, ejected or unreachable.
    pub fn is_avoided(&self, now: Micros) -> bool {
        match self.status {
            Status::Ready => self.unreachable || self.ejected_until > now,
            Status::Draining => true,
            Status::Gone => false,
        }
    }
}
