//! A request in flight and its attempts.

use super::Distance;
use crate::routing::policy::kv_state::KvStateHold;
use crate::routing::types::{AttemptOutcome, Micros, RequestSpec, WorkerId};

/// Where a request stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Phase {
    /// No attempt in flight and no KV state held.
    Queued,
    /// A prefill is in flight.
    Prefilling,
    /// KV state is held at a prefill worker; no attempt in flight.
    AwaitingDecode,
    /// A send to a decode worker is in flight.
    DecodeRequested,
    /// The response streams to the client.
    Streaming,
    /// Answered; attempts may still be in flight.
    Done,
}

/// A request that this router has taken.
pub(crate) struct Request {
    pub spec: RequestSpec,
    /// Index of its class in the configuration.
    pub class: usize,
    pub arrived_at: Micros,
    /// Its tenant's quota was used up when it arrived.
    pub over_quota: bool,
    /// Attempts allowed by the configuration under which it arrived.
    pub max_attempts: u32,
    pub phase: Phase,
    pub attempts: Vec<Attempt>,
    /// KV state that a prefill worker may hold for it.
    pub kv_state: KvStateHold,
}

impl Request {
    pub fn new(
        spec: RequestSpec,
        class: usize,
        now: Micros,
        over_quota: bool,
        max_attempts: u32,
    ) -> Self {
        Request {
            spec,
            class,
            arrived_at: now,
            over_quota,
            max_attempts,
            phase: Phase::Queued,
            attempts: Vec::new(),
            kv_state: KvStateHold::default(),
        }
    }

    /// The attempts without an outcome.
    pub fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
    }

    /// Whether some attempt may have had an effect, or still may. An attempt in flight counts wherever it
    /// is: its fate is unknown until it ends.
    pub fn may_have_run(&self) -> bool {
        self.in_flight().next().is_some() || self.possible_runs().next().is_some()
    }

    /// The attempts at decode workers whose outcome does not rule out an effect.
    pub fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| {
            let ruled_out = attempt
                .outcome
                .is_some_and(AttemptOutcome::proves_no_run_at_decode_worker);
            attempt.is_decode && !ruled_out
        })
    }

    /// Whether all allowed attempts have been made.
    pub fn attempts_exhausted(&self) -> bool {
        self.attempts.len() as u32 >= self.max_attempts
    }

    /// Whether an attempt has timed out.
    pub fn has_timed_out(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == Some(AttemptOutcome::TimedOut))
    }

    /// Whether an attempt at this worker has failed. A prefill that timed out does not count: its prompt
    /// may be cached there.
    pub fn failed_at(&self, worker: &WorkerId) -> bool {
        self.attempts.iter().any(|attempt| {
            let failed = match attempt.outcome {
                None | Some(AttemptOutcome::Prefilled) => false,
                Some(AttemptOutcome::TimedOut) => attempt.is_decode,
                Some(_) => true,
            };
            attempt.worker == *worker && failed
        })
    }

    /// Whether time is short for the KV state held: the hold limit ran on during the last attempt, which
    /// never proved to have arrived.
    pub fn is_hold_expiring(&self) -> bool {
        let last = self.attempts.last();
        let last_unproven = last
            .and_then(|attempt| attempt.outcome)
            .is_some_and(|outcome| !outcome.proves_arrival());
        self.kv_state.is_held() && last_unproven
    }
}

/// One send of a request to a worker.
pub(crate) struct Attempt {
    pub worker: WorkerId,
    /// It asks for the response, not for a prefill only.
    pub is_decode: bool,
    pub distance: Distance,
    pub sent_at: Micros,
    /// When it is overdue.
    pub due_at: Micros,
    /// Tokens that it adds to the worker's load.
    pub tokens: f64,
    /// Tokens that the worker has to process until it answers, its queue included.
    pub work: f64,
    pub outcome: Option<AttemptOutcome>,
    /// When the first output token came.
    pub first_token_at: Option<Micros>,
}
