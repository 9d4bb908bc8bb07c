//! Run-time check of the routing invariants, based on an independent record of each request.
//!
//! The policy decides according to [`crate::routing::policy::send_permit`] and [`crate::routing::policy::kv_state`].
//! This monitor sees the same actions and completions without the reasons, and checks that no invariant is violated.
//! The dispatcher counts and logs each violation. Builds with debug assertions panic, unless a stalled process may
//! explain the violation.

use crate::routing::types::{AttemptOutcome, Idempotency, Micros};

/// Time for which the process may stall between a decision and the next check.
const STALL_ALLOWANCE: Micros = 150_000;

/// A violation of a routing invariant, as found by the monitor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// An attempt was sent while another one was in flight.
    #[error("sent while another attempt was in flight")]
    ConcurrentAttempt,
    /// A non-idempotent request was sent again although it may have run.
    #[error("sent again although it may have run")]
    RetryAfterPossibleRun,
    /// A request that is not safe to repeat was rejected, which tells the client that a retry is safe, although it may
    /// have run.
    #[error("rejected although it may have run")]
    RejectionAfterPossibleRun,
    /// KV state that may be held was neither fetched nor released in time. Tools match the text of this error.
    #[error("what may be held was not released in time")]
    KvStateHeldTooLong,
}

impl InvariantViolation {
    /// Whether a stall of the process may explain the violation, rather than a fault of the program.
    pub fn may_be_due_to_a_stall(self) -> bool {
        self == InvariantViolation::KvStateHeldTooLong
    }
}

/// The monitor's record of one attempt.
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

/// Record of one request, for checking the invariants.
pub(super) struct InvariantMonitor {
    idempotency: Idempotency,
    attempts: Vec<Attempt>,
    /// Time since which KV state may be held without an ordered release or an attempt that is known to have arrived.
    held_since: Option<Micros>,
    /// A release was ordered after the latest attempt was sent.
    is_released: bool,
}

impl InvariantMonitor {
    /// Starts the record of a request whose class has this idempotency.
    pub fn new(idempotency: Idempotency) -> Self {
        InvariantMonitor {
            idempotency,
            attempts: Vec::new(),
            held_since: None,
            is_released: false,
        }
    }

    /// Whether the request may have run, by any attempt so far.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Records that an attempt is about to be sent.
    ///
    /// # Errors
    /// Returns the invariant that the send violates.
    pub fn sent(&mut self, is_prefill: bool) -> Result<(), InvariantViolation> {
        let may_have_run = self.may_have_run();
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

    /// Records the completion of an attempt.
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

    /// Records that a release was ordered.
    pub fn released(&mut self) {
        self.held_since = None;
        self.is_released = true;
    }

    /// Records that a stream has started, which frees all held KV state.
    pub fn stream_started(&mut self) {
        self.held_since = None;
    }

    /// Checks whether the request may be rejected, which tells the client that a retry is safe.
    ///
    /// # Errors
    /// Returns a violation if the request may have run and is not safe to repeat.
    pub fn check_rejection(&self) -> Result<(), InvariantViolation> {
        if self.idempotency.is_harmless_to_repeat() || !self.may_have_run() {
            Ok(())
        } else {
            Err(InvariantViolation::RejectionAfterPossibleRun)
        }
    }

    /// Checks whether KV state that may be held is still within its limit.
    ///
    /// # Errors
    /// Returns a violation, once per hold, if the limit is exceeded.
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
