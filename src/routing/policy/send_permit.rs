//! The one place that decides whether something may be sent, repeated or refused now.
//!
//! Every attempt needs a [`SendPermit`], which only [`Policy::permit_send`] makes, so that no other code can
//! put a request on a connection. A permit is given when the send is decided and checked again when its
//! first byte is about to be written, a connection's time later ([`SendPermit::check_write`]). Releases,
//! calls of tools and their results need a permit of [`super::call_permit`], closes of clients'
//! connections one of [`super::close_permit`].
//!
//! A permit for an attempt goes by what is known of each earlier one: written, answered, ended, never ran.
//! Until an attempt has ended nobody
//! knows whether it has arrived, so it counts as run where that is the danger (repeats, refusals), and as
//! not arrived where that is (held state, see [`super::kv_state`]).

use super::Policy;
use crate::routing::model::{Phase, Request, Worker};
use crate::routing::types::{
    DeduplicationScope, Idempotency, Micros, RequestClass, RequestId, Status, WorkerId,
};

/// Permission to send one attempt to one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendPermit {
    send_by: Option<Micros>,
    connect_by: Option<Micros>,
    reads: bool,
}

/// Why an attempt is not sent, or not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendDenial {
    /// The request or the worker is not known.
    #[error("the request or the worker is not known")]
    Unknown,
    /// The request has its answer.
    #[error("the request is answered")]
    Answered,
    /// All attempts of the request are spent.
    #[error("all attempts are spent")]
    AttemptsExhausted,
    /// An attempt of the request is out.
    #[error("another attempt is out")]
    InFlight,
    /// The request may have run, and must not be repeated at this worker or at this time.
    #[error("it may have run and must not be repeated there now")]
    MayHaveRun,
    /// The worker drains or is gone.
    #[error("the worker is not in service")]
    NotInService,
    /// The worker is in slow start and this router's share of its budget is used up.
    #[error("the worker is in slow start and has no room")]
    SlowStart,
    /// The client has left.
    #[error("the client has left")]
    ClientDisconnected,
}

/// What is known at the moment in which an attempt is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct WriteState {
    /// Now.
    pub now: Micros,
    /// Whether the worker is listed as in service.
    pub is_in_service: bool,
    /// Whether the client has left.
    pub has_client_left: bool,
}

/// Permission to write one attempt, now.
#[derive(Debug)]
pub struct WritePermit(());

impl SendPermit {
    /// A permit to read that no module has given.
    #[cfg(test)]
    pub(crate) fn for_test(send_by: Option<Micros>) -> Self {
        SendPermit {
            send_by,
            connect_by: None,
            reads: true,
        }
    }

    /// The moment by which the request's last byte must be written, where there is one: later the attempt
    /// would be a second run of what an earlier one may have done.
    pub fn send_by(&self) -> Option<Micros> {
        self.send_by
    }

    /// When its connection has to be up, where a state is held for the request: the time that it may be held
    /// runs on while connections fail to come up.
    pub fn connect_by(&self) -> Option<Micros> {
        self.connect_by
    }

    /// Whether the attempt is to read a prompt only, so that it has no effect however it ends.
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Whether the attempt may be written now. It was decided a connection's time ago.
    ///
    /// # Errors
    /// Why it may not.
    pub fn check_write(&self, state: WriteState) -> Result<WritePermit, SendDenial> {
        if !state.is_in_service {
            return Err(SendDenial::NotInService);
        }
        if state.has_client_left {
            return Err(SendDenial::ClientDisconnected);
        }
        if self.send_by.is_some_and(|by| state.now >= by) {
            return Err(SendDenial::MayHaveRun);
        }
        Ok(WritePermit(()))
    }
}

impl Policy {
    /// Whether a request may be sent to a worker now, and what that send must keep to.
    pub(super) fn permit_send(
        &self,
        id: RequestId,
        worker: &WorkerId,
        writes: bool,
    ) -> Result<SendPermit, SendDenial> {
        let request = self.requests.get(&id).ok_or(SendDenial::Unknown)?;
        let to = self.workers.get(worker).ok_or(SendDenial::Unknown)?;
        if matches!(request.phase, Phase::Done | Phase::Streaming) {
            return Err(SendDenial::Answered);
        }
        if request.in_flight().next().is_some() {
            return Err(SendDenial::InFlight);
        }
        if request.attempts_exhausted() {
            return Err(SendDenial::AttemptsExhausted);
        }
        if request.may_have_run() && !self.may_repeat_at(request, to) {
            return Err(SendDenial::MayHaveRun);
        }
        if to.status != Status::Ready {
            return Err(SendDenial::NotInService);
        }
        if self.is_warming_up(to) && !self.has_slow_start_budget(worker, to) {
            return Err(SendDenial::SlowStart);
        }
        Ok(SendPermit {
            send_by: self
                .repeat_deadline(request, to)
                .filter(|by| *by < Micros::MAX),
            connect_by: request
                .kv_state
                .connect_by(self.now, self.config.kv_state_hold_limit),
            reads: !writes,
        })
    }

    /// Until when a request may be written to a worker, if at all: what may have run, and is not harmless to
    /// repeat, only inside the group and the window of each earlier attempt.
    fn repeat_deadline(&self, request: &Request, to: &Worker) -> Option<Micros> {
        let RequestClass {
            idempotency: effect,
            deduplication_window: repeat_window,
            ..
        } = self.config.classes[request.class];
        let drops_repeats_of = |first: &Worker| match effect {
            Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All) => true,
            Idempotency::WithKey(DeduplicationScope::Zone) => first.zone == to.zone,
            Idempotency::WithKey(DeduplicationScope::Cell) => first.cell == to.cell,
            Idempotency::NonIdempotent => false,
        };
        if effect == Idempotency::Idempotent {
            return Some(Micros::MAX);
        }
        let mut until = Micros::MAX;
        for attempt in request.possible_runs() {
            let first = self.workers.get(&attempt.worker);
            first.filter(|first| drops_repeats_of(first))?;
            until = until.min(attempt.sent_at.saturating_add(repeat_window));
        }
        Some(until)
    }

    /// Whether what may have run may go to this worker again: a connection may take its whole time-out.
    pub(super) fn may_repeat_at(&self, request: &Request, to: &Worker) -> bool {
        let until = self.repeat_deadline(request, to);
        until.is_some_and(|by| self.now.saturating_add(self.config.connect_timeout) < by)
    }

    /// Whether a request may be refused, which tells its client that trying again is harmless.
    pub(super) fn may_reject(&self, request: &Request) -> bool {
        self.config.classes[request.class]
            .idempotency
            .is_harmless_to_repeat()
            || !request.may_have_run()
    }
}

#[cfg(test)]
mod tests;
