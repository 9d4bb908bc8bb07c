//! Permits for attempts: the only place that decides whether a request may be sent, retried or rejected.
//!
//! Every attempt requires a [`SendPermit`]. Only [`Policy::permit_send`] creates one, so that no other code
//! can write a request to a connection. A permit is created when the send is decided and checked again
//! ([`SendPermit::check_write`]) before the first byte is written, up to a connect timeout later. Releases,
//! tool calls and their results require a permit of [`super::call_permit`]; closing a client connection
//! requires one of [`super::close_permit`].
//!
//! A permit depends on what is known of each earlier attempt: whether it was written, was answered, has
//! ended, or is proved not to have run. Until an attempt has ended, it is unknown whether it has arrived. So
//! it counts as run where a second run would be harmful (retries, rejections), and as not arrived where KV
//! state would otherwise be held too long (see [`super::kv_state`]).

use super::Policy;
use crate::routing::model::{Phase, Request, Worker};
use crate::routing::types::{DeduplicationScope, Idempotency, Micros, RequestId, Status, WorkerId};

/// Permission to send one attempt to one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendPermit {
    send_by: Option<Micros>,
    connect_by: Option<Micros>,
    is_prefill: bool,
}

/// Why an attempt must not be sent or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendDenial {
    /// The request or the worker is unknown.
    #[error("the request or the worker is unknown")]
    Unknown,
    /// The request already has an answer, or its response is being streamed.
    #[error("the request has already been answered")]
    Answered,
    /// The maximum number of attempts has been made.
    #[error("the maximum number of attempts has been made")]
    AttemptsExhausted,
    /// Another attempt of the request is in flight.
    #[error("another attempt of the request is in flight")]
    InFlight,
    /// The request may have run and must not run again at this worker or at this time.
    #[error("the request may have run and must not be repeated at this worker now")]
    MayHaveRun,
    /// The worker is draining or no longer listed.
    #[error("the worker is not in service")]
    NotInService,
    /// The worker is in slow start and this router's share of its budget is used up.
    #[error("the worker is in slow start and this router's share of its budget is used up")]
    SlowStart,
    /// The client has disconnected, so that there is no one to receive a response.
    #[error("the client has disconnected")]
    ClientDisconnected,
}

/// Conditions at the time when an attempt is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct WriteState {
    /// Current time on the router's monotonic clock.
    pub now: Micros,
    /// Whether the worker is listed as in service.
    pub is_in_service: bool,
    /// Whether the client has disconnected.
    pub is_client_disconnected: bool,
}

/// Permission to write one attempt to its connection immediately.
#[derive(Debug)]
pub struct WritePermit(());

impl SendPermit {
    /// Creates a permit for a prefill without a decision, for tests.
    #[cfg(test)]
    pub(crate) fn for_test(send_by: Option<Micros>) -> Self {
        SendPermit {
            send_by,
            connect_by: None,
            is_prefill: true,
        }
    }

    /// Time by which the last byte of the request must be written; `None` if there is no limit. After that
    /// time the attempt could run in addition to an earlier one.
    pub fn send_by(&self) -> Option<Micros> {
        self.send_by
    }

    /// Time by which the connection must be established, if KV state is held for the request; else `None`.
    /// The hold limit continues to run while a connection is being established.
    pub fn connect_by(&self) -> Option<Micros> {
        self.connect_by
    }

    /// Whether the attempt asks for a prefill only, which has no effect beyond KV state.
    pub fn is_prefill(&self) -> bool {
        self.is_prefill
    }

    /// Decides whether the attempt may be written now, which may be up to a connect timeout after the send
    /// was decided.
    ///
    /// # Errors
    /// Returns the reason if the attempt must not be written.
    pub fn check_write(&self, state: WriteState) -> Result<WritePermit, SendDenial> {
        if !state.is_in_service {
            return Err(SendDenial::NotInService);
        }
        if state.is_client_disconnected {
            return Err(SendDenial::ClientDisconnected);
        }
        if self.send_by.is_some_and(|send_by| state.now >= send_by) {
            return Err(SendDenial::MayHaveRun);
        }
        Ok(WritePermit(()))
    }
}

impl Policy {
    /// Decides whether a request may be sent to a worker now, and until when.
    ///
    /// # Errors
    /// Returns the first rule that denies the send.
    pub(super) fn permit_send(
        &self,
        id: RequestId,
        worker_id: &WorkerId,
        is_decode: bool,
    ) -> Result<SendPermit, SendDenial> {
        let request = self.requests.get(&id).ok_or(SendDenial::Unknown)?;
        let worker = self.workers.get(worker_id).ok_or(SendDenial::Unknown)?;
        if matches!(request.phase, Phase::Done | Phase::Streaming) {
            return Err(SendDenial::Answered);
        }
        if request.in_flight().next().is_some() {
            return Err(SendDenial::InFlight);
        }
        if request.attempts_exhausted() {
            return Err(SendDenial::AttemptsExhausted);
        }
        if request.may_have_run() && !self.may_repeat_at(request, worker) {
            return Err(SendDenial::MayHaveRun);
        }
        if worker.status != Status::Ready {
            return Err(SendDenial::NotInService);
        }
        if self.is_warming_up(worker) && !self.has_slow_start_budget(worker_id, worker) {
            return Err(SendDenial::SlowStart);
        }
        let hold_limit = self.config.kv_state_hold_limit;
        Ok(SendPermit {
            send_by: self
                .repeat_deadline(request, worker)
                .filter(|deadline| *deadline < Micros::MAX),
            connect_by: request.kv_state.connect_by(self.now, hold_limit),
            is_prefill: !is_decode,
        })
    }

    /// Time until which a request may be written to a worker, or `None` if it may not be written there. A
    /// request that may have run and is not safe to repeat may be sent only to workers that deduplicate it
    /// against each earlier attempt, and only within the deduplication window of that attempt.
    fn repeat_deadline(&self, request: &Request, worker: &Worker) -> Option<Micros> {
        let class = &self.config.classes[request.class];
        if class.idempotency == Idempotency::Idempotent {
            return Some(Micros::MAX);
        }
        let deduplicates_against = |earlier: &Worker| match class.idempotency {
            Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All) => true,
            Idempotency::WithKey(DeduplicationScope::Zone) => earlier.zone == worker.zone,
            Idempotency::WithKey(DeduplicationScope::Cell) => earlier.cell == worker.cell,
            Idempotency::NonIdempotent => false,
        };
        let mut deadline = Micros::MAX;
        for attempt in request.possible_runs() {
            let earlier = self.workers.get(&attempt.worker)?;
            if !deduplicates_against(earlier) {
                return None;
            }
            deadline = deadline.min(attempt.sent_at.saturating_add(class.deduplication_window));
        }
        Some(deadline)
    }

    /// Whether a request that may have run may be repeated at this worker, including the time for
    /// establishing a connection.
    pub(super) fn may_repeat_at(&self, request: &Request, worker: &Worker) -> bool {
        let latest_write = self.now.saturating_add(self.config.connect_timeout);
        self.repeat_deadline(request, worker)
            .is_some_and(|deadline| latest_write < deadline)
    }

    /// Whether a request may be rejected, which tells its client that a retry is safe.
    pub(super) fn may_reject(&self, request: &Request) -> bool {
        let idempotency = self.config.classes[request.class].idempotency;
        idempotency.is_harmless_to_repeat() || !request.may_have_run()
    }
}

#[cfg(test)]
mod tests;
