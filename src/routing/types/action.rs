//! Actions: the outputs of the routing state machine.

use super::{
    AttemptIndex, EndReason, Micros, ReleaseReason, RequestId, SendDenial, SendPermit, TimerId,
    WorkerId,
};

/// An output of the state machine, for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a worker.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Timeout of the attempt, from its send; `None`: the client's deadline.
        timeout: Option<Micros>,
        /// Permission to send, with its time limits.
        permit: SendPermit,
    },
    /// A send that was decided is not permitted. Nothing to do but to log it.
    SendDenied {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Why.
        denial: SendDenial,
    },
    /// Reject the request: a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Why.
        reason: EndReason,
        /// Delay after which the client should retry.
        retry_after: Option<Micros>,
    },
    /// Fail the request: it may have run.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: EndReason,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
    },
    /// Release all KV state held for the request.
    Release {
        /// The request.
        request: RequestId,
        /// Why.
        reason: ReleaseReason,
    },
    /// Set a timer.
    Timer {
        /// When it expires.
        at: Micros,
        /// Handed back in [`Event::Timer`](super::Event::Timer).
        timer: TimerId,
    },
    /// Subscribe to endpoint updates.
    Subscribe,
}
