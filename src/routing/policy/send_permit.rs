//! Permits for attempts: the one place that decides whether a request may be sent, retried or rejected.
//!
//! Every attempt needs a [`SendPermit`], which only [`Policy::permit_send`] makes, so that no other code
//! can put a request on a connection. It is given when the send is decided and checked again
//! ([`SendPermit::check_write`]) when the first byte is about to be written, up to a connect timeout later.
//! Releases, tool calls and their results need a permit of [`super::call_permit`], closes of client
//! connections one of [`super::close_permit`].
//!
//! A permit goes by what is known of each earlier attempt: written, answered, ended, proved not to have
//! run. Until an attempt has ended nobody knows whether it has arrived. So it counts as run where that is
//! the danger (retries, rejections), and as not arrived where that is (KV state holds, see
//! [`super::kv_state`]).

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

/// Why an attempt is not sent, or not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendDenial {
    /// The request or the worker is not known.
    #[error("the request or the worker is not known")]
    Unknown,
    /// The request has been answered.
    #[error("the request is answered")]
    Answered,
    /// All attempts of the request have been made.
    #[error("all attempts are spent")]
    AttemptsExhausted,
    /// An attempt of the request is in flight.
    #[error("another attempt is out")]
    InFlight,
    /// The request may have run, and must not run again at this worker or at this time.
    #[error("it may have run and must not be repeated there now")]
    MayHaveRun,
    /// The worker is draining or gone.
    #[error("the worker is not in service")]
    NotInService,
    /// The worker is in slow start and this router's share of its budget is used up.
    #[error("the worker is in slow start and has no room")]
    SlowStart,
    /// The client has disconnected.
    #[error("the client has left")]
    ClientDisconnected,
}

/// What is known when an attempt is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct WriteState {
    /// Now.
    pub now: Micros,
    /// Whether the worker is listed as in service.
    pub is_in_service: bool,
    /// Whether the client has disconnected.
    pub is_client_disconnected: bool,
}

/// Permission to write one attempt, now.
#[derive(Debug)]
pub struct WritePermit(());

impl SendPermit {
    /// A permit for a prefill.
    #[cfg(test)]
    pub(crate) fn for_test(send_by: Option<Micros>) -> Self {
        SendPermit {
            send_by,
            connect_by: None,
            is_prefill: true,
        }
    }

    /// The moment by which the request's last byte must be written, if there is one: after it, the attempt
    /// could be a second run of an earlier one.
    pub fn send_by(&self) -> Option<Micros> {
        self.send_by
    }

    /// The moment by which its connection has to be up, if KV state is held for the request: the hold limit
    /// runs on while connections fail to come up.
    pub fn connect_by(&self) -> Option<Micros> {
        self.connect_by
    }

    /// Whether the attempt asks for a prefill only, so that it has no effect however it ends.
    pub fn is_prefill(&self) -> bool {
        self.is_prefill
    }

    /// Whether the attempt may be written now, up to a connect timeout after it was decided.
    ///
    /// # Errors
    /// Why it may not.
    pub fn check_write(&self, state: WriteState) -> Result<WritePermit, SendDenial> {
        if !state.is_in_service {
            return Err(SendDenial::NotInService);
        }
        if state.is_client_disconnected {
            return Err(SendDenial::ClientDisconnected);
        }
        if self.send_by.is_some_and(|by| state.now >= by) {
            return Err(SendDenial::MayHaveRun);
        }
        Ok(WritePermit(()))
    }
}

impl Policy {
    /// Whether a request may be sent to a worker now, and until when.
    ///
    /// # Errors
    /// The first rule that denies it.
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

    /// Until when a request may be written to a worker, if at all. A request that may have run and is not
    /// harmless to repeat may go only to workers that deduplicate it against each earlier attempt, within
    /// that attempt's deduplication window.
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

    /// Whether a request that may have run may go to this worker again, with time for a connection to come
    /// up.
    pub(super) fn may_repeat_at(&self, request: &Request, worker: &Worker) -> bool {
        let latest_write = self.now.saturating_add(self.config.connect_timeout);
        self.repeat_deadline(request, worker)
            .is_some_and(|deadline| latest_write < deadline)
    }

    /// Whether a request may be rejected, which tells its client that a retry is harmless.
    pub(super) fn may_reject(&self, request: &Request) -> bool {
        let idempotency = self.config.classes[request.class].idempotency;
        idempotency.is_harmless_to_repeat() || !request.may_have_run()
    }
}

#[cfg(test)]
mod tests;
