//! A request in the dispatcher's table.

use super::invariants::InvariantMonitor;
use super::{Attempt, ReleaseProgress};
use crate::exchange::{AnswerHandle, UpstreamRequest};
use crate::routing::policy::call_permit::ReleaseHistory;
use crate::routing::types::{
    AttemptIndex, AttemptOutcome, Idempotency, Micros, RequestId, SendPermit, WorkerId,
};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that has no final answer yet, or attempts in flight.
pub(super) struct OpenRequest {
    pub upstream_request: Rc<UpstreamRequest>,
    pub deadline: Micros,
    /// `None` once the final answer is given.
    pub answer: Option<AnswerHandle>,
    /// Whether its client has disconnected.
    client_disconnected: Rc<Cell<bool>>,
    /// By the configuration under which it began.
    max_attempts: u32,
    pub attempts: Vec<AttemptState>,
    /// The last release, from its order until a stream has started.
    pub release: Option<Rc<ReleaseProgress>>,
    /// Decides whether another release begins.
    pub release_history: ReleaseHistory,
    /// Independent account of the request, by which orders are checked.
    pub monitor: InvariantMonitor,
}

/// One attempt of an open request.
pub(super) struct AttemptState {
    pub sent_at: Micros,
    /// Dropped to cancel the attempt.
    cancel: Option<oneshot::Sender<()>>,
    pub outcome: Option<AttemptOutcome>,
    pub is_streaming: bool,
}

impl AttemptState {
    /// Cancels the attempt if it is still in flight.
    pub fn cancel(&mut self) {
        self.cancel = None;
    }
}

impl OpenRequest {
    pub fn new(
        call: Rc<UpstreamRequest>,
        deadline: Micros,
        answer: AnswerHandle,
        client_disconnected: Rc<Cell<bool>>,
        max_attempts: u32,
        idempotency: Idempotency,
    ) -> Self {
        OpenRequest {
            upstream_request: call,
            deadline,
            answer: Some(answer),
            client_disconnected,
            max_attempts,
            attempts: Vec::new(),
            release: None,
            release_history: ReleaseHistory::default(),
            monitor: InvariantMonitor::new(idempotency),
        }
    }

    /// Whether it has its final answer and no attempt in flight.
    pub fn is_finished(&self) -> bool {
        self.answer.is_none()
            && self
                .attempts
                .iter()
                .all(|attempt| attempt.outcome.is_some())
    }

    /// Whether the last release has neither been taken nor stopped.
    pub fn is_releasing(&self) -> bool {
        self.release
            .as_ref()
            .is_some_and(|release| release.is_active())
    }

    /// Adds an attempt that is sent at `now`.
    pub fn begin_attempt(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        now: Micros,
        first_event_deadline: Micros,
        permit: SendPermit,
    ) -> Attempt {
        let attempt = AttemptIndex(self.attempts.len() as u32);
        let (cancel, cancelled) = oneshot::channel();
        self.attempts.push(AttemptState {
            sent_at: now,
            cancel: Some(cancel),
            outcome: None,
            is_streaming: false,
        });
        let release = self.release.clone();
        Attempt {
            request,
            attempt,
            worker,
            upstream_request: self.upstream_request.clone(),
            max_attempts: self.max_attempts,
            first_event_deadline,
            wait_for_release: release.filter(|release| permit.is_prefill() && release.is_active()),
            permit,
            cancelled,
            client_disconnected: self.client_disconnected.clone(),
        }
    }
}
