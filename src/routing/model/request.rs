//! A request at this router and its attempts.

use super::Distance;
use crate::routing::policy::kv_state::KvStateHold;
use crate::routing::types::{AttemptOutcome, Micros, RequestSpec, WorkerId};

/// Processing phase of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Phase {
    /// Waits for its first stage: no attempt is in flight and no KV state is held.
    Queued,
    /// A prefill is in flight.
    Prefilling,
    /// Waits for a decode worker: a prefill worker holds its KV state and no attempt is in flight.
    AwaitingDecode,
    /// A send to a decode worker is in flight and has not been answered.
    DecodeRequested,
    /// The response is being streamed to the client.
    Streaming,
    /// Answered, or abandoned by its client. Attempts may still be in flight.
    Done,
}

/// A request that this router has accepted.
pub(crate) struct Request {
    pub spec: RequestSpec,
    /// Index of the request's class in the configuration.
    pub class: usize,
    pub arrived_at: Micros,
    /// The tenant's quota was used up when the request arrived.
    pub over_quota: bool,
    /// Maximum number of attempts by the configuration under which the request arrived.
    pub max_attempts: u32,
    pub phase: Phase,
    pub attempts: Vec<Attempt>,
    /// KV state that a prefill worker may hold for the request.
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

    /// Whether some attempt may have had an effect, or may still have one. An attempt in flight always
    /// counts, since its outcome is unknown until it ends.
    pub fn may_have_run(&self) -> bool {
        self.in_flight().next().is_some() || self.possible_runs().next().is_some()
    }

    /// The attempts at decode workers whose outcome does not rule out an effect.
    pub fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| {
            let is_ruled_out = attempt
                .outcome
                .is_some_and(AttemptOutcome::proves_no_run_at_decode_worker);
            attempt.is_decode && !is_ruled_out
        })
    }

    /// Whether the maximum number of attempts has been made.
    pub fn attempts_exhausted(&self) -> bool {
        self.attempts.len() as u32 >= self.max_attempts
    }

    /// Whether any attempt has timed out.
    pub fn has_timed_out(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == Some(AttemptOutcome::TimedOut))
    }

    /// Whether an attempt at this worker has failed. A prefill that timed out does not count, since the
    /// worker may have cached the prompt.
    pub fn failed_at(&self, worker: &WorkerId) -> bool {
        self.attempts.iter().any(|attempt| {
            let has_failed = match attempt.outcome {
                None | Some(AttemptOutcome::Prefilled) => false,
                Some(AttemptOutcome::TimedOut) => attempt.is_decode,
                Some(_) => true,
            };
            attempt.worker == *worker && has_failed
        })
    }

    /// Whether KV state is held and its hold limit continued to run during the last attempt, because the
    /// outcome of that attempt does not prove its arrival.
    pub fn is_hold_expiring(&self) -> bool {
        let last = self.attempts.last();
        let is_arrival_unproven = last
            .and_then(|attempt| attempt.outcome)
            .is_some_and(|outcome| !outcome.proves_arrival());
        self.kv_state.is_held() && is_arrival_unproven
    }
}

/// One send of a request to a worker.
pub(crate) struct Attempt {
    pub worker: WorkerId,
    /// Asks for the response rather than for a prefill alone.
    pub is_decode: bool,
    pub distance: Distance,
    pub sent_at: Micros,
    /// Time from which the attempt counts as overdue.
    pub due_at: Micros,
    /// Tokens by which the attempt increases the worker's load.
    pub load_tokens: f64,
    /// Tokens that the worker has to process before it answers, including its queue.
    pub work_tokens: f64,
    pub outcome: Option<AttemptOutcome>,
    /// Arrival time of the first output token; `None` if none has arrived.
    pub first_token_at: Option<Micros>,
}
