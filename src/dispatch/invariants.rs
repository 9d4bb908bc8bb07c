//! Run-time check of the routing invariants, by an independent account of each request.
//!
//! Routing decides by [`crate::routing::policy::send_permit`] and [`crate::routing::policy::kv_state`]. This monitor sees the same
//! orders and completions, knows nothing of the reasons, and checks the result. The dispatcher counts and logs each
//! violation; builds with debug assertions panic, unless a stalled process may explain it.

use crate::routing::types::{AttemptOutcome, Idempotency, Micros};

/// How long a process may stall between a decision and the next check.
const STALL_ALLOWANCE: Micros = 150_000;

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// An attempt was sent while another one was in flight.
    #[error("sent while another attempt was out")]
    ConcurrentAttempt,
    /// A request that is not idempotent was sent again though it may have run.
    #[error("sent again though it may have run")]
    RetryAfterPossibleRun,
    /// A request that is not idempotent was rejected, which promises that a retry is harmless, though it may have run.
    #[error("refused though it may have run")]
    RejectionAfterPossibleRun,
    /// KV state that may be held was neither fetched nor released in time.
    #[error("what may be held was not released in time")]
    KvStateHeldTooLong,
}

impl InvariantViolation {
    /// Whether a stall of the process may explain it, without a fault of the program.
    pub fn may_come_of_a_stall(self) -> bool {
        self == InvariantViolation::KvStateHeldTooLong
    }
}

/// What the monitor knows of one attempt.
struct Attempt {
    is_prefill: bool,
    outcome: Option<AttemptOutcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        !self.is_prefill
            && !self
                .outcome
                .is_some_and(AttemptOutcome::proves_no_run_at_decode_worker)
    }
}

/// Account of one request.
pub(super) struct InvariantMonitor {
    idempotency: Idempotency,
    attempts: Vec<Attempt>,
    /// Since when KV state may be held with neither a release ordered nor an attempt known to have arrived.
    held_since: Option<Micros>,
    /// A release was ordered since the latest attempt was sent.
    is_released: bool,
}

impl InvariantMonitor {
    /// Account of a request of a class with this idempotency.
    pub fn new(idempotency: Idempotency) -> Self {
        InvariantMonitor {
            idempotency,
            attempts: Vec::new(),
            held_since: None,
            is_released: false,
        }
    }

    /// An attempt is about to be sent.
    ///
    /// # Errors
    /// It breaks a rule.
    pub fn sent(&mut self, is_prefill: bool) -> Result<(), InvariantViolation> {
        let may_have_run = self.attempts.iter().any(Attempt::may_have_run);
        let has_attempt_in_flight = self
            .attempts
            .iter()
            .any(|attempt| attempt.outcome.is_none());
        self.attempts.push(Attempt {
            is_prefill,
            outcome: None,
        });
        self.is_released = false;
        if has_attempt_in_flight {
            return Err(InvariantViolation::ConcurrentAttempt);
        }
        if may_have_run && self.idempotency == Idempotency::NonIdempotent {
            return Err(InvariantViolation::RetryAfterPossibleRun);
        }
        Ok(())
    }

    /// An attempt has completed.
    pub fn attempt_completed(&mut self, index: usize, outcome: AttemptOutcome, now: Micros) {
        let Some(attempt) = self.attempts.get_mut(index) else {
            return;
        };
        attempt.outcome = Some(outcome);
        let is_prefill = attempt.is_prefill;
        let was_released = std::mem::take(&mut self.is_released);
        match outcome {
            AttemptOutcome::Prefilled => self.held_since = Some(now),
            AttemptOutcome::Served => self.held_since = None,
            _ if is_prefill => {}
            _ if outcome.proves_arrival() => self.held_since = self.held_since.map(|_| now),
            _ if was_released && outcome.may_have_arrived() => self.held_since = Some(now),
            _ => {}
        }
    }

    /// A release was ordered.
    pub fn released(&mut self) {
        self.held_since = None;
        self.is_released = true;
    }

    /// A stream has started: everything that was held is released by itself.
    pub fn stream_started(&mut self) {
        self.held_since = None;
    }

    /// Whether the request may be rejected, which promises that a retry is harmless.
    ///
    /// # Errors
    /// It may not.
    pub fn check_rejection(&self) -> Result<(), InvariantViolation> {
        let may_have_run = self.attempts.iter().any(Attempt::may_have_run);
        if self.idempotency.is_harmless_to_repeat() || !may_have_run {
            Ok(())
        } else {
            Err(InvariantViolation::RejectionAfterPossibleRun)
        }
    }

    /// Whether KV state that may be held is still within its limit; reported once for each.
    ///
    /// # Errors
    /// It is not.
    pub fn check_held(&mut self, now: Micros, limit: Micros) -> Result<(), InvariantViolation> {
        let max_held = limit.saturating_add(STALL_ALLOWANCE);
        match self.held_since {
            Some(since) if now.saturating_sub(since) > max_held => {
                self.held_since = None;
                Err(InvariantViolation::KvStateHeldTooLong)
            }
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
