//! An open request in the dispatcher's table.

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

/// A request that has no final answer yet, or that still has attempts in flight.
pub(super) struct OpenRequest {
    pub upstream_request: Rc<UpstreamRequest>,
    pub deadline: Micros,
    /// Handle for the final answer; `None` once the answer has been given or the client has disconnected.
    pub answer: Option<AnswerHandle>,
    /// Whether the client has disconnected.
    client_disconnected: Rc<Cell<bool>>,
    /// Maximum number of attempts by the configuration under which the request was accepted.
    max_attempts: u32,
    pub attempts: Vec<AttemptState>,
    /// Latest release, from its order until a stream starts.
    pub release: Option<Rc<ReleaseProgress>>,
    /// Decides whether another release may start.
    pub release_history: ReleaseHistory,
    /// Independent record of the request, against which the policy's actions are checked.
    pub monitor: InvariantMonitor,
}

/// One attempt of an open request.
pub(super) struct AttemptState {
    pub sent_at: Micros,
    /// Cancels the attempt when dropped.
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
        upstream_request: Rc<UpstreamRequest>,
        deadline: Micros,
        answer: AnswerHandle,
        client_disconnected: Rc<Cell<bool>>,
        max_attempts: u32,
        idempotency: Idempotency,
    ) -> Self {
        OpenRequest {
            upstream_request,
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

    /// Whether the request has its final answer and no attempt in flight.
    pub fn is_finished(&self) -> bool {
        self.answer.is_none()
            && self
                .attempts
                .iter()
                .all(|attempt| attempt.outcome.is_some())
    }

    /// Tells the request's record whether it may have run by now.
    pub fn note_possible_run(&self) {
        if let Some(record) = &self.upstream_request.run_record {
            record.set_may_have_run(self.monitor.may_have_run());
        }
    }

    /// Tells the request's record that its answer has begun.
    pub fn note_stream_started(&self) {
        if let Some(record) = &self.upstream_request.run_record {
            record.note_started();
        }
    }

    /// Tells the request's record that no attempt is in flight any more.
    pub fn note_attempts_ended(&self) {
        if let Some(record) = &self.upstream_request.run_record {
            record.note_attempts_ended();
        }
    }

    /// Whether the latest release has been neither accepted nor stopped.
    pub fn is_releasing(&self) -> bool {
        self.release
            .as_ref()
            .is_some_and(|release| release.is_active())
    }

    /// Adds an attempt that is sent at `now` and times out at `first_event_deadline`.
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
