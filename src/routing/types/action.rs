//! Actions: outputs of the routing state machine.

use super::{
    AttemptIndex, EndReason, Micros, ReleaseReason, RequestId, SendDenial, SendPermit, TimerId,
    WorkerId,
};

/// An output of the state machine, to be executed by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a worker as its next attempt.
    Send {
        /// Number of the request of which this is an attempt.
        request: RequestId,
        /// Worker that receives the attempt.
        worker: WorkerId,
        /// Timeout of the attempt, counted from its send. With `None` it ends at the client's deadline.
        timeout: Option<Micros>,
        /// Permission to send, with its time limits.
        permit: SendPermit,
    },
    /// A planned send was denied. The caller only logs it.
    SendDenied {
        /// Request that was not sent.
        request: RequestId,
        /// Worker to which it would have been sent.
        worker: WorkerId,
        /// Rule that denied the send.
        denial: SendDenial,
    },
    /// Reject the request. Tells the client that a retry is safe.
    Reject {
        /// Request to reject, which either has not run or does no harm when it is repeated.
        request: RequestId,
        /// Why no worker answers it.
        reason: EndReason,
        /// Delay after which the client should retry; `None` if retry advice is not configured.
        retry_after: Option<Micros>,
    },
    /// Fail the request without promising that a retry is safe, because it may have run.
    Fail {
        /// Request to fail; an attempt of it may have run.
        request: RequestId,
        /// Why no worker answers it.
        reason: EndReason,
    },
    /// Cancel an attempt that has not started to stream.
    Cancel {
        /// Request to which the attempt belongs.
        request: RequestId,
        /// Index within the request of the attempt to cancel.
        attempt: AttemptIndex,
    },
    /// Release all KV state that workers hold for the request.
    Release {
        /// Request whose KV state is released.
        request: RequestId,
        /// Why the KV state is no longer needed.
        reason: ReleaseReason,
    },
    /// Set a timer. It comes back as [`Event::Timer`](super::Event::Timer) when it expires.
    Timer {
        /// Time at which the timer expires.
        at: Micros,
        /// Identifier to return in [`Event::Timer`](super::Event::Timer).
        timer: TimerId,
    },
    /// Subscribe to updates of the endpoint list.
    Subscribe,
}
