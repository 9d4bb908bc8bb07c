//! Checks at run time, by its own account of each request, that what the decision module orders keeps the rules.
//!
//! The module decides by [`crate::routing::policy::send_permit`] and [`crate::routing::policy::kv_state`]; this is the second opinion. It
//! sees the same orders and ends and knows nothing of the reasons. A violation is counted and logged by the driver, in
//! builds with debug assertions also a panic, unless it is one that a process held up by its machine may show.

use crate::routing::types::{AttemptOutcome, Idempotency, Micros};

/// How long a process may be held up between a decision and the next look at it.
const HELD_UP: Micros = 150_000;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// An attempt was sent while another was out.
    #[error("sent while another attempt was out")]
    SecondCopy,
    /// An attempt was sent though the request may have run and must not run twice.
    #[error("sent again though it may have run")]
    UnsafeRepeat,
    /// The client was told that trying again is harmless, though the request may have run and must not run twice.
    #[error("refused though it may have run")]
    UnsafeRefusal,
    /// What may be held was neither taken nor released in time.
    #[error("what may be held was not released in time")]
    HeldTooLong,
}

impl Violation {
    /// Whether a process that its machine held up may show it, without a fault of its own.
    pub fn may_come_of_a_hold_up(self) -> bool {
        self == Violation::HeldTooLong
    }
}

/// One attempt, as far as it matters here.
struct Attempt {
    reads: bool,
    outcome: Option<AttemptOutcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        !self.reads
            && !self
                .outcome
                .is_some_and(AttemptOutcome::proves_no_run_at_decode_worker)
    }
}

/// The account of one request.
pub(super) struct Monitor {
    effect: Idempotency,
    attempts: Vec<Attempt>,
    /// Since when something may have been held with neither a release ordered nor an attempt known to have arrived.
    exposed_since: Option<Micros>,
    /// A release was ordered since the latest attempt was sent.
    is_released: bool,
}

impl Monitor {
    /// The account of a request of a class with this effect.
    pub fn new(effect: Idempotency) -> Self {
        Monitor {
            effect,
            attempts: Vec::new(),
            exposed_since: None,
            is_released: false,
        }
    }

    /// An attempt is about to be sent.
    ///
    /// # Errors
    /// It breaks a rule.
    pub fn sent(&mut self, reads: bool) -> Result<(), Violation> {
        let is_repeat = self.attempts.iter().any(|a| a.may_have_run());
        let is_out = self.attempts.iter().any(|a| a.outcome.is_none());
        self.attempts.push(Attempt {
            reads,
            outcome: None,
        });
        self.is_released = false;
        if is_out {
            return Err(Violation::SecondCopy);
        }
        if is_repeat && self.effect == Idempotency::NonIdempotent {
            return Err(Violation::UnsafeRepeat);
        }
        Ok(())
    }

    /// An attempt has ended.
    pub fn ended(&mut self, index: usize, outcome: AttemptOutcome, now: Micros) {
        let Some(attempt) = self.attempts.get_mut(index) else {
            return;
        };
        attempt.outcome = Some(outcome);
        let reads = attempt.reads;
        let was_released = std::mem::take(&mut self.is_released);
        match outcome {
            AttemptOutcome::Prefilled => self.exposed_since = Some(now),
            AttemptOutcome::Served => self.exposed_since = None,
            _ if reads => {}
            _ if outcome.proves_arrival() => self.exposed_since = self.exposed_since.map(|_| now),
            _ if was_released && outcome.may_have_arrived() => self.exposed_since = Some(now),
            _ => {}
        }
    }

    /// A release was ordered.
    pub fn released(&mut self) {
        self.exposed_since = None;
        self.is_released = true;
    }

    /// An answer has begun: all that was held goes by itself.
    pub fn streams(&mut self) {
        self.exposed_since = None;
    }

    /// Whether the client may be told that trying again is harmless.
    ///
    /// # Errors
    /// It may not.
    pub fn check_refusal(&self) -> Result<(), Violation> {
        let may_have_run = self.attempts.iter().any(|a| a.may_have_run());
        match self.effect.is_harmless_to_repeat() || !may_have_run {
            true => Ok(()),
            false => Err(Violation::UnsafeRefusal),
        }
    }

    /// Whether what may be held is still within its time; reported once for each.
    ///
    /// # Errors
    /// It is not.
    pub fn check_held(&mut self, now: Micros, limit: Micros) -> Result<(), Violation> {
        let most = limit.saturating_add(HELD_UP);
        match self.exposed_since {
            Some(since) if now.saturating_sub(since) > most => {
                self.exposed_since = None;
                Err(Violation::HeldTooLong)
            }
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
