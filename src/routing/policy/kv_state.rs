//! KV state that is held for a request between its two stages, and the time by which it must be fetched or
//! released.
//!
//! KV state is held from the end of a prefill until a running decode worker fetches it or a running worker
//! accepts its release. Writing a request to a connection proves neither; only an answer does
//! ([`AttemptOutcome::proves_arrival`]). So the hold limit continues to run after a send until the decode
//! worker has answered, and near the limit a release is ordered even if the send is still in flight. If the
//! send has arrived, that release has no effect, since workers only release KV state for which no attempt
//! waits. If it has not arrived, the release keeps the hold within its limit.

use super::Policy;
use crate::routing::types::{Action, AttemptOutcome, Micros, ReleaseReason, RequestId, WorkerId};

/// How many sweeps before the hold limit KV state is released if no send is in flight.
pub(super) const SWEEPS_BEFORE_RELEASE: Micros = 2;
/// How many sweeps before the hold limit KV state is released if a send is in flight and unanswered. Larger,
/// because the first workers that are asked for the release may not answer either.
const SWEEPS_BEFORE_RELEASE_DURING_SEND: Micros = 3;

/// Hold of the KV state of one request.
#[derive(Debug, Default)]
pub(crate) struct KvStateHold {
    /// Worker that may hold the KV state; `None` if no KV state is known to be held.
    holder: Option<WorkerId>,
    /// Start of the hold limit: time since which KV state may have been held without proof that an attempt
    /// has arrived at a running worker.
    held_since: Micros,
    /// A release was ordered while the latest send was in flight.
    is_released_during_send: bool,
}

impl KvStateHold {
    /// The worker that may hold KV state; `None` if no KV state is known to be held.
    pub fn holder(&self) -> Option<&WorkerId> {
        self.holder.as_ref()
    }

    /// Whether KV state may be held.
    pub fn is_held(&self) -> bool {
        self.holder.is_some()
    }

    /// Starts a hold: an attempt at `worker` has ended and may have left KV state there.
    pub fn hold(&mut self, worker: WorkerId, now: Micros) {
        *self = KvStateHold {
            holder: Some(worker),
            held_since: now,
            is_released_during_send: false,
        };
    }

    /// Ends the hold, because the KV state was fetched or is about to be released. Returns whether any may
    /// have been held.
    pub fn clear(&mut self) -> bool {
        self.is_released_during_send = false;
        self.holder.take().is_some()
    }

    /// Records the end of a send to a decode worker. The hold limit restarts only if the send is known to
    /// have arrived, or if a release was ordered during the send, which covers the case that it had not
    /// arrived.
    pub fn send_ended(&mut self, outcome: AttemptOutcome, now: Micros) {
        let was_released = std::mem::take(&mut self.is_released_during_send);
        if was_released && !outcome.may_have_arrived() {
            self.holder = None;
        } else if was_released || outcome.proves_arrival() {
            self.held_since = now;
        }
    }

    /// Time by which the KV state must be fetched or released, for a hold limit.
    pub fn release_by(&self, limit: Micros) -> Micros {
        self.held_since.saturating_add(limit)
    }

    /// Time by which the connection for the next send must be established, if KV state is held. It gets half
    /// of the time left until the limit, so that time remains for another decode worker and finally for the
    /// release.
    pub fn connect_by(&self, now: Micros, limit: Micros) -> Option<Micros> {
        self.is_held()
            .then(|| now.saturating_add(self.release_by(limit).saturating_sub(now) / 2))
    }

    /// Whether a release has to be ordered although a send is in flight. It is due `margin` before the limit,
    /// once per send.
    pub fn is_release_due_during_send(&self, now: Micros, limit: Micros, margin: Micros) -> bool {
        let due_at = self.release_by(limit.saturating_sub(margin));
        self.is_held() && !self.is_released_during_send && now >= due_at
    }

    /// Records that a release was ordered during the send in flight.
    pub fn set_released_during_send(&mut self) {
        self.is_released_during_send = true;
    }
}

impl Policy {
    /// Time before the hold limit at which a release is ordered.
    pub(super) fn release_margin(&self, sweeps: Micros) -> Micros {
        sweeps * self.sweep_interval() + self.config.batch_interval
    }

    /// Near the hold limit, orders a release although a send is in flight, since a written send may not have
    /// arrived.
    pub(super) fn release_during_send(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let limit = self.config.kv_state_hold_limit;
        let margin = self.release_margin(SWEEPS_BEFORE_RELEASE_DURING_SEND);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request
            .kv_state
            .is_release_due_during_send(self.now, limit, margin)
        {
            request.kv_state.set_released_during_send();
            out.push(Action::Release {
                request: id,
                reason: ReleaseReason::SendUnanswered,
            });
        }
    }

    /// Releases the KV state of a request, if any may be held.
    pub(super) fn release(&mut self, id: RequestId, reason: ReleaseReason, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.kv_state.clear() {
            out.push(Action::Release {
                request: id,
                reason,
            });
        }
    }
}

#[cfg(test)]
mod tests;
