//! KV state held for a request between its two stages, and until when it must be fetched or released.
//!
//! KV state is held from the end of a prefill until a running decode worker fetches it or a running worker
//! takes a release. Writing a request to a connection proves neither; only an answer does
//! ([`AttemptOutcome::proves_arrival`]). So the hold limit runs on behind a send until the decode worker
//! has answered, and a release is ordered near the limit though the send is still in flight. If the send
//! has arrived, that release has no effect, since it releases only what no attempt waits for; if not, it
//! keeps the limit.

use super::Policy;
use crate::routing::types::{Action, AttemptOutcome, Micros, ReleaseReason, RequestId, WorkerId};

/// Sweeps before the hold limit at which KV state that no decode worker has fetched is released.
pub(super) const SWEEPS_BEFORE_RELEASE: Micros = 2;
/// The same while a send is in flight without an answer: the workers asked first for the release may not
/// answer either.
const SWEEPS_BEFORE_RELEASE_BEHIND_SEND: Micros = 3;

/// The KV state that may be held for one request.
#[derive(Debug, Default)]
pub(crate) struct KvStateHold {
    /// The worker where it may be held; `None`: none is known to be held.
    holder: Option<WorkerId>,
    /// Since when it may have been held without an attempt that has proved to arrive at a running worker.
    since: Micros,
    /// A release was ordered while the latest send was in flight.
    is_released_behind_send: bool,
}

impl KvStateHold {
    /// The worker where KV state may be held.
    pub fn holder(&self) -> Option<&WorkerId> {
        self.holder.as_ref()
    }

    /// Whether KV state may be held.
    pub fn is_held(&self) -> bool {
        self.holder.is_some()
    }

    /// An attempt at `worker` has ended and may have left KV state there.
    pub fn hold(&mut self, worker: WorkerId, now: Micros) {
        *self = KvStateHold {
            holder: Some(worker),
            since: now,
            is_released_behind_send: false,
        };
    }

    /// Ends the hold: the KV state was fetched, or is about to be released. Returns whether some may have
    /// been held.
    pub fn clear(&mut self) -> bool {
        self.is_released_behind_send = false;
        self.holder.take().is_some()
    }

    /// A send to a decode worker has ended. That restarts the hold limit only if the send is known to have
    /// arrived, or if a release was ordered behind it in case it had not.
    pub fn send_ended(&mut self, outcome: AttemptOutcome, now: Micros) {
        let released = std::mem::take(&mut self.is_released_behind_send);
        if released && !outcome.may_have_arrived() {
            self.holder = None;
        } else if released || outcome.proves_arrival() {
            self.since = now;
        }
    }

    /// The moment by which it must be fetched or released, for a hold limit.
    pub fn release_by(&self, limit: Micros) -> Micros {
        self.since.saturating_add(limit)
    }

    /// Until when a connection for the next send may take to come up: half of the time that is left, so
    /// that there is some for another decode worker, and in the end for the release.
    pub fn connect_by(&self, now: Micros, limit: Micros) -> Option<Micros> {
        self.is_held()
            .then(|| now.saturating_add(self.release_by(limit).saturating_sub(now) / 2))
    }

    /// Whether a release has to be ordered though a send is in flight: `margin` before the limit, once for
    /// each send.
    pub fn is_due_behind_send(&self, now: Micros, limit: Micros, margin: Micros) -> bool {
        let due = self.release_by(limit.saturating_sub(margin));
        self.is_held() && !self.is_released_behind_send && now >= due
    }

    /// The release that was due behind the send in flight has been ordered.
    pub fn set_released_behind_send(&mut self) {
        self.is_released_behind_send = true;
    }
}

impl Policy {
    /// How long before the hold limit a release is ordered.
    pub(super) fn release_margin(&self, sweeps: Micros) -> Micros {
        sweeps * self.sweep_interval() + self.config.batch_interval
    }

    /// Orders a release near the hold limit though a send is in flight: that the send was written does not
    /// prove that it has arrived.
    pub(super) fn release_behind_send(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let limit = self.config.kv_state_hold_limit;
        let margin = self.release_margin(SWEEPS_BEFORE_RELEASE_BEHIND_SEND);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.kv_state.is_due_behind_send(self.now, limit, margin) {
            request.kv_state.set_released_behind_send();
            out.push(Action::Release {
                request: id,
                reason: ReleaseReason::SendUnanswered,
            });
        }
    }

    /// Releases the KV state of a request, if some may be held.
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
