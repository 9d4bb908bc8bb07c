//! Events: inputs of the routing state machine.

use super::{
    AttemptIndex, AttemptOutcome, Endpoint, EndpointUpdate, Micros, RequestId, RequestSpec,
    TimerId, WorkerId,
};

/// A worker's report of its load. Values that the worker does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests at the worker, including those whose KV state it holds.
    pub active_requests: Option<f64>,
    /// Number of requests in the worker's queue.
    pub queued_requests: Option<f64>,
    /// Fraction of the worker's KV memory that is in use, from 0 to 1.
    pub memory_share: Option<f64>,
    /// Prompt tokens queued for prefill or for a KV transfer, including cached ones.
    pub queued_tokens: Option<f64>,
}

/// Result of a completed attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCompleted {
    /// Request to which the attempt belongs.
    pub request: RequestId,
    /// Index within the request of the attempt that has completed.
    pub attempt: AttemptIndex,
    /// How the attempt ended, with the kind of failure if it failed.
    pub outcome: AttemptOutcome,
    /// Time between the attempt's send and its completion.
    pub elapsed: Micros,
    /// Whether the request needs no further attempt: its client has received the final answer or the start of
    /// a stream, or has disconnected.
    pub request_finished: bool,
    /// Prompt tokens that the worker found in its prefix cache; set with `Prefilled` and `Served`, else 0.
    pub cached_tokens: u64,
    /// Load report that came with the response, if any.
    pub report: Option<LoadReport>,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery has sent an update of the endpoint list.
    EndpointsUpdated {
        /// Whether the update is complete, incremental, restored or failed.
        update: EndpointUpdate,
        /// Endpoints contained in the update.
        endpoints: Vec<Endpoint>,
    },
    /// A request has arrived from a client.
    RequestArrived(RequestSpec),
    /// The first output token of a response has arrived.
    StreamStarted {
        /// Request whose response has started.
        request: RequestId,
        /// Attempt that streams the response.
        attempt: AttemptIndex,
        /// Time between the attempt's send and its first token.
        elapsed: Micros,
    },
    /// An attempt of a request has ended, successfully or not.
    AttemptCompleted(AttemptCompleted),
    /// Result of a capacity reservation. Sent only by the simulator's protocol; ignored.
    ReservationResult {
        /// Request for which capacity was to be reserved.
        request: RequestId,
        /// Worker that was asked for the reservation.
        worker: WorkerId,
        /// Whether the worker holds the capacity reserved.
        held: bool,
    },
    /// The client has disconnected, or the dispatcher itself has rejected or failed the request.
    ClientDisconnected {
        /// Request that has no client waiting for it any more.
        request: RequestId,
    },
    /// A timer set by [`Action::Timer`](super::Action::Timer) has expired.
    Timer(TimerId),
    /// Result of a health check. Sent only by the simulator's protocol.
    HealthCheckCompleted {
        /// Worker to which the health check was sent.
        worker: WorkerId,
        /// `Served`, or the kind of failure.
        outcome: AttemptOutcome,
        /// Load report that came with the result, if any.
        report: Option<LoadReport>,
    },
    /// Whether this process may send to workers in slow start. Of two processes of one router only one may.
    /// Until the first such event it is not allowed.
    SlowStart {
        /// If true, sends are allowed after a pause of one slow start window.
        allowed: bool,
    },
    /// A message from another router. Sent only by the simulator's protocol; ignored.
    GossipReceived {
        /// Index of the router that sent the message.
        from: u32,
        /// Content of the message, which the routing policy does not decode.
        payload: Vec<u8>,
    },
}
